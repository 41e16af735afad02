#include <glib.h>

#include "usage.h"

struct endpoint_usage {
	uint64_t endpoint; /* key */
	struct gyp_usage_sample sample;
};

struct task_usage {
	struct gyp_task_ref key;
	uint32_t attempt;
	struct gyp_usage_sample sample;
};

struct gyp_usage {
	GHashTable *endpoints; /* endpoint -> struct endpoint_usage */
	GHashTable *tasks;     /* key -> struct task_usage */
};

struct gyp_usage *
gyp_usage_new(void)
{
	struct gyp_usage *u = g_new0(struct gyp_usage, 1);

	u->endpoints =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	u->tasks = g_hash_table_new_full(
	    gyp_task_ref_hash, gyp_task_ref_equal, NULL, g_free);
	return u;
}

void
gyp_usage_free(struct gyp_usage *u)
{
	if (u == NULL)
		return;
	g_hash_table_destroy(u->endpoints);
	g_hash_table_destroy(u->tasks);
	g_free(u);
}

void
gyp_usage_reset(struct gyp_usage *u)
{
	g_hash_table_remove_all(u->endpoints);
	g_hash_table_remove_all(u->tasks);
}

void
gyp_usage_put_endpoint(
    struct gyp_usage *u, uint64_t endpoint, const struct gyp_usage_sample *s)
{
	struct endpoint_usage *usage =
	    g_hash_table_lookup(u->endpoints, &endpoint);

	if (usage == NULL) {
		usage = g_new0(struct endpoint_usage, 1);
		usage->endpoint = endpoint;
		g_hash_table_insert(u->endpoints, &usage->endpoint, usage);
	}
	usage->sample = *s;
}

void
gyp_usage_put_attempt(struct gyp_usage *u, uint64_t job, uint32_t task,
    uint32_t attempt, const struct gyp_usage_sample *s)
{
	struct gyp_task_ref key = {.job = job, .task = task};
	struct task_usage *usage = g_hash_table_lookup(u->tasks, &key);

	if (usage == NULL) {
		usage = g_new0(struct task_usage, 1);
		usage->key = key;
		g_hash_table_insert(u->tasks, &usage->key, usage);
	}
	usage->attempt = attempt;
	usage->sample = *s;
}

void
gyp_usage_drop_endpoint(struct gyp_usage *u, uint64_t endpoint)
{
	g_hash_table_remove(u->endpoints, &endpoint);
}

void
gyp_usage_drop_task(struct gyp_usage *u, uint64_t job, uint32_t task)
{
	struct gyp_task_ref key = {.job = job, .task = task};

	g_hash_table_remove(u->tasks, &key);
}

bool
gyp_usage_of_endpoint(
    const struct gyp_usage *u, uint64_t endpoint, struct gyp_usage_sample *out)
{
	const struct endpoint_usage *usage =
	    g_hash_table_lookup(u->endpoints, &endpoint);

	if (usage == NULL)
		return false;
	*out = usage->sample;
	return true;
}

bool
gyp_usage_of_attempt(const struct gyp_usage *u, uint64_t job, uint32_t task,
    uint32_t attempt, struct gyp_usage_sample *out)
{
	struct gyp_task_ref key = {.job = job, .task = task};
	const struct task_usage *usage = g_hash_table_lookup(u->tasks, &key);

	if (usage == NULL || usage->attempt != attempt)
		return false;
	*out = usage->sample;
	return true;
}
