#include <glib.h>

#include "running.h"
#include "state.h"

struct list {
	uint64_t endpoint; /* key */
	uint32_t number;
	uint64_t heard;
	GArray *attempts; /* Gyp__Attempt, without usage */
};

struct question {
	struct gyp_task_ref ref; /* key */
	uint32_t attempt;
	uint32_t asked;
	uint32_t delay_ms;
	uint64_t due;
};

struct gyp_running {
	GHashTable *lists;     /* struct list by its endpoint */
	GHashTable *questions; /* struct question by its ref */
};

static void
free_list(gpointer p)
{
	struct list *l = p;

	g_array_free(l->attempts, TRUE);
	g_free(l);
}

struct gyp_running *
gyp_running_new(void)
{
	struct gyp_running *r = g_new0(struct gyp_running, 1);

	r->lists =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_list);
	r->questions = g_hash_table_new_full(
	    gyp_task_ref_hash, gyp_task_ref_equal, NULL, g_free);
	return r;
}

void
gyp_running_free(struct gyp_running *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->lists);
	g_hash_table_destroy(r->questions);
	g_free(r);
}

void
gyp_running_reset(struct gyp_running *r)
{
	g_hash_table_remove_all(r->lists);
	g_hash_table_remove_all(r->questions);
}

/* ---- Lists ------------------------------------------------------------- */

static void
fill_list(struct list *l, const Gyp__Beat *beat)
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
gyp_running_take(struct gyp_running *r, uint64_t now, const Gyp__Beat *beat)
{
	struct list *l = g_hash_table_lookup(r->lists, &beat->endpoint);

	if (beat->unchanged && (l == NULL || l->number != beat->list))
		return false;
	if (l == NULL) {
		l = g_new0(struct list, 1);
		l->endpoint = beat->endpoint;
		l->attempts = g_array_new(FALSE, FALSE, sizeof(Gyp__Attempt));
		g_hash_table_insert(r->lists, &l->endpoint, l);
	}
	/* Of heartbeats that overtook each other the newest list counts. */
	if (!beat->unchanged && (l->heard == 0 || beat->list >= l->number))
		fill_list(l, beat);
	l->heard = now;
	return true;
}

void
gyp_running_drop_endpoint(struct gyp_running *r, uint64_t endpoint)
{
	g_hash_table_remove(r->lists, &endpoint);
}

uint64_t
gyp_running_heard(const struct gyp_running *r, uint64_t endpoint)
{
	const struct list *l = g_hash_table_lookup(r->lists, &endpoint);

	return l != NULL ? l->heard : 0;
}

const Gyp__Attempt *
gyp_running_list(const struct gyp_running *r, uint64_t endpoint, uint32_t *n)
{
	const struct list *l = g_hash_table_lookup(r->lists, &endpoint);

	*n = l != NULL ? l->attempts->len : 0;
	return l != NULL ? (const Gyp__Attempt *)(void *)l->attempts->data
			 : NULL;
}

bool
gyp_running_lists(
    const struct gyp_running *r, uint64_t endpoint, const Gyp__Attempt *a)
{
	uint32_t i, n;
	const Gyp__Attempt *list = gyp_running_list(r, endpoint, &n);

	for (i = 0; i < n; i++) {
		if (list[i].job == a->job && list[i].task == a->task &&
		    list[i].attempt == a->attempt)
			return true;
	}
	return false;
}

/* ---- Questions --------------------------------------------------------- */

uint32_t
gyp_running_question(struct gyp_running *r, uint64_t now, const Gyp__Attempt *a)
{
	struct gyp_task_ref ref = {.job = a->job, .task = a->task};
	struct question *q = g_hash_table_lookup(r->questions, &ref);

	if (q == NULL || q->attempt != a->attempt) {
		q = g_new0(struct question, 1);
		q->ref = ref;
		q->attempt = a->attempt;
		q->delay_ms = GYP_ASK_MIN_MS;
		q->due = now + q->delay_ms;
		g_hash_table_replace(r->questions, &q->ref, q);
	}
	if (now < q->due)
		return 0;
	q->delay_ms = MIN(q->delay_ms * 2, GYP_ASK_MAX_MS);
	q->due = now + q->delay_ms;
	return ++q->asked;
}

void
gyp_running_drop_task(struct gyp_running *r, uint64_t job, uint32_t task)
{
	struct gyp_task_ref ref = {.job = job, .task = task};

	g_hash_table_remove(r->questions, &ref);
}
