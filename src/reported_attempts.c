#include <glib.h>

#include "reported_attempts.h"
#include "state.h"

struct endpoint_report {
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

struct gyp_reported_attempts {
	GHashTable *reports; /* endpoint -> struct endpoint_report */
	GHashTable *queries; /* ref -> struct attempt_query */
};

static void
free_report(gpointer p)
{
	struct endpoint_report *report = p;

	g_array_free(report->attempts, TRUE);
	g_free(report);
}

struct gyp_reported_attempts *
gyp_reported_attempts_new(void)
{
	struct gyp_reported_attempts *r =
	    g_new0(struct gyp_reported_attempts, 1);

	r->reports = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_report);
	r->queries = g_hash_table_new_full(
	    gyp_task_ref_hash, gyp_task_ref_equal, NULL, g_free);
	return r;
}

void
gyp_reported_attempts_free(struct gyp_reported_attempts *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->reports);
	g_hash_table_destroy(r->queries);
	g_free(r);
}

void
gyp_reported_attempts_reset(struct gyp_reported_attempts *r)
{
	g_hash_table_remove_all(r->reports);
	g_hash_table_remove_all(r->queries);
}

/* ---- Reports ----------------------------------------------------------- */

static void
fill_report(struct endpoint_report *report, const Gyp__Beat *beat)
{
	size_t i;

	g_array_set_size(report->attempts, 0);
	for (i = 0; i < beat->n_running; i++) {
		Gyp__Attempt a = GYP__ATTEMPT__INIT;

		a.job = beat->running[i]->job;
		a.task = beat->running[i]->task;
		a.attempt = beat->running[i]->attempt;
		g_array_append_val(report->attempts, a);
	}
	report->number = beat->list;
}

bool
gyp_reported_attempts_update(
    struct gyp_reported_attempts *r, uint64_t now, const Gyp__Beat *beat)
{
	struct endpoint_report *report =
	    g_hash_table_lookup(r->reports, &beat->endpoint);

	if (beat->unchanged && (report == NULL || report->number != beat->list))
		return false;
	if (report == NULL) {
		report = g_new0(struct endpoint_report, 1);
		report->endpoint = beat->endpoint;
		report->attempts =
		    g_array_new(FALSE, FALSE, sizeof(Gyp__Attempt));
		g_hash_table_insert(r->reports, &report->endpoint, report);
	}
	/* Ignores the list of a heartbeat that a newer one has overtaken. */
	if (!beat->unchanged &&
	    (report->received_at == 0 || beat->list >= report->number))
		fill_report(report, beat);
	report->received_at = now;
	return true;
}

void
gyp_reported_attempts_drop_endpoint(
    struct gyp_reported_attempts *r, uint64_t endpoint)
{
	g_hash_table_remove(r->reports, &endpoint);
}

uint64_t
gyp_reported_attempts_last_seen(
    const struct gyp_reported_attempts *r, uint64_t endpoint)
{
	const struct endpoint_report *report =
	    g_hash_table_lookup(r->reports, &endpoint);

	return report != NULL ? report->received_at : 0;
}

const Gyp__Attempt *
gyp_reported_attempts_get(
    const struct gyp_reported_attempts *r, uint64_t endpoint, uint32_t *n)
{
	const struct endpoint_report *report =
	    g_hash_table_lookup(r->reports, &endpoint);

	*n = report != NULL ? report->attempts->len : 0;
	return report != NULL
		   ? (const Gyp__Attempt *)(void *)report->attempts->data
		   : NULL;
}

bool
gyp_reported_attempts_contain(const struct gyp_reported_attempts *r,
    uint64_t endpoint, const Gyp__Attempt *a)
{
	uint32_t i, n;
	const Gyp__Attempt *list = gyp_reported_attempts_get(r, endpoint, &n);

	for (i = 0; i < n; i++) {
		if (list[i].job == a->job && list[i].task == a->task &&
		    list[i].attempt == a->attempt)
			return true;
	}
	return false;
}

/* ---- Queries ----------------------------------------------------------- */

uint32_t
gyp_reported_attempts_query_due(
    struct gyp_reported_attempts *r, uint64_t now, const Gyp__Attempt *a)
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
gyp_reported_attempts_drop_task(
    struct gyp_reported_attempts *r, uint64_t job, uint32_t task)
{
	struct gyp_task_ref ref = {.job = job, .task = task};

	g_hash_table_remove(r->queries, &ref);
}
