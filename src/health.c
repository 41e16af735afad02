#include "health.h"

/* Endpoints recorded for a failing job. */
#define JOB_ENDPOINTS 4

struct failure {
	uint64_t job;
	uint64_t failed_at;
};

struct endpoint_record {
	uint64_t id;
	struct failure recent[GYP_HEALTH_FAILURES_MAX]; /* since a success */
	uint32_t n_recent;
	uint64_t quarantine_until;
	uint32_t backoff;
	bool probation;
};

struct job_record {
	uint64_t id;
	uint64_t endpoints[JOB_ENDPOINTS];
	uint32_t n_endpoints;
	uint64_t failed_at; /* of the latest failure */
	GList link;         /* in job_order */
};

struct gyp_health {
	GHashTable *endpoints; /* id -> struct endpoint_record */
	GHashTable *jobs;      /* id -> struct job_record */
	GQueue job_order;      /* struct job_record, first failed first */
};

struct gyp_health *
gyp_health_new(void)
{
	struct gyp_health *h = g_new0(struct gyp_health, 1);

	h->endpoints =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	h->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return h;
}

void
gyp_health_free(struct gyp_health *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->endpoints);
	g_hash_table_destroy(h->jobs);
	g_free(h);
}

/* ---- Records ----------------------------------------------------------- */

static struct endpoint_record *
endpoint_record(struct gyp_health *h, uint64_t id)
{
	struct endpoint_record *e = g_hash_table_lookup(h->endpoints, &id);

	if (e == NULL) {
		e = g_new0(struct endpoint_record, 1);
		e->id = id;
		e->backoff = 1;
		g_hash_table_insert(h->endpoints, &e->id, e);
	}
	return e;
}

static void
drop_job(struct gyp_health *h, struct job_record *j)
{
	g_queue_unlink(&h->job_order, &j->link);
	g_hash_table_remove(h->jobs, &j->id);
}

static struct job_record *
job_record(struct gyp_health *h, uint64_t id)
{
	struct job_record *j = g_hash_table_lookup(h->jobs, &id);

	if (j != NULL)
		return j;
	if (h->job_order.length >= GYP_HEALTH_JOBS_MAX)
		drop_job(h, h->job_order.head->data);
	j = g_new0(struct job_record, 1);
	j->id = id;
	j->link.data = j;
	g_hash_table_insert(h->jobs, &j->id, j);
	g_queue_push_tail_link(&h->job_order, &j->link);
	return j;
}

static void
record_failed_endpoint(struct job_record *j, uint64_t endpoint)
{
	uint32_t i;

	for (i = 0; i < j->n_endpoints; i++) {
		if (j->endpoints[i] == endpoint)
			return;
	}
	if (j->n_endpoints < JOB_ENDPOINTS)
		j->endpoints[j->n_endpoints++] = endpoint;
}

static void
record_failure(struct endpoint_record *e, uint64_t job, uint64_t now)
{
	uint32_t i;

	for (i = 0; i < e->n_recent; i++) {
		if (e->recent[i].job == job) {
			e->recent[i].failed_at = now;
			return;
		}
	}
	if (e->n_recent == GYP_HEALTH_FAILURES_MAX) {
		for (i = 1; i < e->n_recent; i++)
			e->recent[i - 1] = e->recent[i];
		e->n_recent--;
	}
	e->recent[e->n_recent].job = job;
	e->recent[e->n_recent].failed_at = now;
	e->n_recent++;
}

/* ---- Events ------------------------------------------------------------ */

void
gyp_health_record_success(struct gyp_health *h, uint64_t job, uint64_t endpoint)
{
	struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);
	struct job_record *j = g_hash_table_lookup(h->jobs, &job);

	if (e != NULL)
		g_hash_table_remove(h->endpoints, &endpoint);
	if (j != NULL)
		drop_job(h, j);
}

void
gyp_health_record_failure(
    struct gyp_health *h, uint64_t job, uint64_t endpoint, uint64_t now)
{
	struct endpoint_record *e = endpoint_record(h, endpoint);

	record_failure(e, job, now);
	record_failed_endpoint(job_record(h, job), endpoint);
	job_record(h, job)->failed_at = now;
}

void
gyp_health_forget_endpoint(struct gyp_health *h, uint64_t endpoint)
{
	g_hash_table_remove(h->endpoints, &endpoint);
}

/* ---- Fault attribution ------------------------------------------------- */

/* True when no other job failed at the endpoint since its last success. */
static bool
no_other_job_failed(const struct gyp_health *h, uint64_t endpoint, uint64_t job)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);
	uint32_t i;

	for (i = 0; e != NULL && i < e->n_recent; i++) {
		if (e->recent[i].job != job)
			return false;
	}
	return true;
}

bool
gyp_health_failed_at(
    const struct gyp_health *h, uint64_t job, uint64_t endpoint)
{
	const struct job_record *j = g_hash_table_lookup(h->jobs, &job);
	uint32_t i;

	for (i = 0; j != NULL && i < j->n_endpoints; i++) {
		if (j->endpoints[i] == endpoint)
			return true;
	}
	return false;
}

bool
gyp_health_failed_within(
    const struct gyp_health *h, uint64_t job, uint32_t ms, uint64_t now)
{
	const struct job_record *j = g_hash_table_lookup(h->jobs, &job);

	return j != NULL && now < j->failed_at + ms;
}

uint32_t
gyp_health_failed_endpoints(const struct gyp_health *h, uint64_t job)
{
	const struct job_record *j = g_hash_table_lookup(h->jobs, &job);

	return j != NULL ? j->n_endpoints : 0;
}

bool
gyp_health_is_faulty_job(const struct gyp_health *h, uint64_t job)
{
	const struct job_record *j = g_hash_table_lookup(h->jobs, &job);
	uint32_t i, attributed = 0;

	for (i = 0; j != NULL && i < j->n_endpoints; i++)
		attributed += no_other_job_failed(h, j->endpoints[i], job);
	return attributed >= GYP_HEALTH_FAULTY_JOB_ENDPOINTS;
}

/* Attempts from before a quarantine may fail during it: they are no probes. */
static bool
failed_since(const struct endpoint_record *e, uint64_t since)
{
	uint32_t i;

	for (i = 0; i < e->n_recent; i++) {
		if (e->recent[i].failed_at >= since)
			return true;
	}
	return false;
}

bool
gyp_health_is_faulty_endpoint(const struct gyp_health *h, uint64_t endpoint,
    const struct gyp_health_limits *limits, uint64_t now)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);
	uint32_t i, count = 0;

	if (e == NULL || e->quarantine_until > now)
		return false;
	/* A single failed probe is enough. */
	if (e->probation)
		return failed_since(e, e->quarantine_until);
	for (i = 0; i < e->n_recent; i++)
		count += e->recent[i].failed_at + limits->within_ms >= now &&
			 !gyp_health_is_faulty_job(h, e->recent[i].job);
	return count >= MIN(limits->failures, GYP_HEALTH_FAILURES_MAX);
}

static uint64_t
quarantine_ms(const struct gyp_health_limits *limits, uint32_t backoff)
{
	uint64_t ms = (uint64_t)limits->for_ms * backoff;

	return limits->for_max_ms != 0 ? MIN(ms, limits->for_max_ms) : ms;
}

void
gyp_health_quarantine(struct gyp_health *h, uint64_t endpoint,
    const struct gyp_health_limits *limits, uint64_t now)
{
	struct endpoint_record *e = endpoint_record(h, endpoint);

	if (e->probation)
		e->backoff = MIN(e->backoff * 2, GYP_HEALTH_BACKOFF_MAX);
	e->quarantine_until = now + quarantine_ms(limits, e->backoff);
	e->probation = true;
	e->n_recent = 0;
}

bool
gyp_health_is_clear(const struct gyp_health *h, uint64_t endpoint)
{
	return g_hash_table_lookup(h->endpoints, &endpoint) == NULL;
}

bool
gyp_health_may_probe(
    const struct gyp_health *h, uint64_t endpoint, uint64_t now)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);

	return e == NULL || now >= e->quarantine_until;
}

uint64_t
gyp_health_quarantine_end(const struct gyp_health *h, uint64_t endpoint)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);

	return e != NULL ? e->quarantine_until : 0;
}

bool
gyp_health_on_probation(const struct gyp_health *h, uint64_t endpoint)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);

	return e != NULL && e->probation;
}
