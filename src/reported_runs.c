#include <glib.h>

#include "reported_runs.h"
#include "state.h"

struct run_report {
	uint64_t endpoint; /* key */
	uint32_t number;
	uint64_t received_at;
	GArray *attempts; /* Gyp__Attempt, without usage */
};

struct attempt_query {
	struct gyp_task_ref ref; /* key */
	uint32_t attempt;
	uint32_t n_queries;
	uint32_t delay_ms;
	uint64_t due;
};

struct gyp_reported_runs {
	GHashTable *reports; /* endpoint -> struct run_report */
	GHashTable *queries; /* ref -> struct attempt_query */
};

static void
free_report(gpointer p)
{
	struct run_report *l = p;

	g_array_free(l->attempts, TRUE);
	g_free(l);
}

struct gyp_reported_runs *
gyp_reported_runs_new(void)
{
	struct gyp_reported_runs *r = g_new0(struct gyp_reported_runs, 1);

	r->reports = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_report);
	r->queries = g_hash_table_new_full(
	    gyp_task_ref_hash, gyp_task_ref_equal, NULL, g_free);
	return r;
}

void
gyp_reported_runs_free(struct gyp_reported_runs *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->reports);
	g_hash_table_destroy(r->queries);
	g_free(r);
}

void
gyp_reported_runs_reset(struct gyp_reported_runs *r)
{
	g_hash_table_remove_all(r->reports);
	g_hash_table_remove_all(r->queries);
}

/* ---- Reports ----------------------------------------------------------- */

static void
fill_report(struct run_report *l, const Gyp__Beat *beat)
{
	size_t i;

	g_array_set_size(l->attempts, 0);
	for (i = 0; i < beat->n_running; i++) {
		Gyp__Attempt a = GYP__ATTEMPT__INIT;

		a.job = beat->running[i]->job;
		a.task = beat->running[i]->task;
		a.attempt = beat->running[i]->attempt;
		g_array_append_val(l->attempts, a);
	}
	l->number = beat->list;
}

bool
gyp_reported_runs_update(
    struct gyp_reported_runs *r, uint64_t now, const Gyp__Beat *beat)
{
	struct run_report *l = g_hash_table_lookup(r->reports, &beat->endpoint);

	if (beat->unchanged && (l == NULL || l->number != beat->list))
		return false;
	if (l == NULL) {
		l = g_new0(struct run_report, 1);
		l->endpoint = beat->endpoint;
		l->attempts = g_array_new(FALSE, FALSE, sizeof(Gyp__Attempt));
		g_hash_table_insert(r->reports, &l->endpoint, l);
	}
	/* Ignores the list of a heartbeat that a newer one has overtaken. */
	if (!beat->unchanged &&
	    (l->received_at == 0 || beat->list >= l->number))
		fill_report(l, beat);
	l->received_at = now;
	return true;
}

void
gyp_reported_runs_drop_endpoint(struct gyp_reported_runs *r, uint64_t endpoint)
{
	g_hash_table_remove(r->reports, &endpoint);
}

uint64_t
gyp_reported_runs_last_seen(
    const struct gyp_reported_runs *r, uint64_t endpoint)
{
	const struct run_report *l = g_hash_table_lookup(r->reports, &endpoint);

	return l != NULL ? l->received_at : 0;
}

const Gyp__Attempt *
gyp_reported_runs_get(
    const struct gyp_reported_runs *r, uint64_t endpoint, uint32_t *n)
{
	const struct run_report *l = g_hash_table_lookup(r->reports, &endpoint);

	*n = l != NULL ? l->attempts->len : 0;
	return l != NULL ? (const Gyp__Attempt *)(void *)l->attempts->data
			 : NULL;
}

bool
gyp_reported_runs_contain(
    const struct gyp_reported_runs *r, uint64_t endpoint, const Gyp__Attempt *a)
{
	uint32_t i, n;
	const Gyp__Attempt *list = gyp_reported_runs_get(r, endpoint, &n);

	for (i = 0; i < n; i++) {
		if (list[i].job == a->job && list[i].task == a->task &&
		    list[i].attempt == a->attempt)
			return true;
	}
	return false;
}

/* ---- Queries ----------------------------------------------------------- */

uint32_t
gyp_reported_runs_query_due(
    struct gyp_reported_runs *r, uint64_t now, const Gyp__Attempt *a)
{
	struct gyp_task_ref ref = {.job = a->job, .task = a->task};
	struct attempt_query *q = g_hash_table_lookup(r->queries, &ref);

	if (q == NULL || q->attempt != a->attempt) {
		q = g_new0(struct attempt_query, 1);
		q->ref = ref;
		q->attempt = a->attempt;
		q->delay_ms = GYP_ATTEMPT_QUERY_MIN_MS;
		q->due = now + q->delay_ms;
		g_hash_table_replace(r->queries, &q->ref, q);
	}
	if (now < q->due)
		return 0;
	q->delay_ms = MIN(q->delay_ms * 2, GYP_ATTEMPT_QUERY_MAX_MS);
	q->due = now + q->delay_ms;
	return ++q->n_queries;
}

void
gyp_reported_runs_drop_task(
    struct gyp_reported_runs *r, uint64_t job, uint32_t task)
{
	struct gyp_task_ref ref = {.job = job, .task = task};

	g_hash_table_remove(r->queries, &ref);
}
