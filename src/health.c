#include "health.h"

/* Endpoints remembered for a failing job. */
#define JOB_ENDPOINTS 4

struct failure {
	uint64_t job;
	uint64_t at;
};

struct endpoint_record {
	uint64_t id;
	struct failure recent[GYP_HEALTH_RECENT]; /* since the last success */
	uint32_t n_recent;
	uint64_t until; /* end of the quarantine */
	uint32_t backoff;
	bool probation;
};

struct job_record {
	uint64_t id;
	uint64_t endpoints[JOB_ENDPOINTS];
	uint32_t n_endpoints;
	uint64_t at; /* of the latest failure */
	GList link;  /* oldest first */
};

struct gyp_health {
	GHashTable *endpoints; /* id -> struct endpoint_record */
	GHashTable *jobs;      /* id -> struct job_record */
	GQueue job_order;
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
	if (h->job_order.length >= GYP_HEALTH_JOBS)
		drop_job(h, h->job_order.head->data);
	j = g_new0(struct job_record, 1);
	j->id = id;
	j->link.data = j;
	g_hash_table_insert(h->jobs, &j->id, j);
	g_queue_push_tail_link(&h->job_order, &j->link);
	return j;
}

static void
note_endpoint(struct job_record *j, uint64_t endpoint)
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
note_failure(struct endpoint_record *e, uint64_t job, uint64_t now)
{
	uint32_t i;

	for (i = 0; i < e->n_recent; i++) {
		if (e->recent[i].job == job) {
			e->recent[i].at = now;
			return;
		}
	}
	if (e->n_recent == GYP_HEALTH_RECENT) {
		for (i = 1; i < e->n_recent; i++)
			e->recent[i - 1] = e->recent[i];
		e->n_recent--;
	}
	e->recent[e->n_recent].job = job;
	e->recent[e->n_recent].at = now;
	e->n_recent++;
}

/* ---- Events ------------------------------------------------------------ */

void
gyp_health_succeeded(struct gyp_health *h, uint64_t job, uint64_t endpoint)
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
gyp_health_failed(
    struct gyp_health *h, uint64_t job, uint64_t endpoint, uint64_t now)
{
	struct endpoint_record *e = endpoint_record(h, endpoint);

	note_failure(e, job, now);
	note_endpoint(job_record(h, job), endpoint);
	job_record(h, job)->at = now;
}

void
gyp_health_forget_endpoint(struct gyp_health *h, uint64_t endpoint)
{
	g_hash_table_remove(h->endpoints, &endpoint);
}

/* ---- Blame ------------------------------------------------------------- */

/* True when no other job failed there since its last success. */
static bool
others_do_well(const struct gyp_health *h, uint64_t endpoint, uint64_t job)
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

	return j != NULL && now < j->at + ms;
}

uint32_t
gyp_health_endpoints_of(const struct gyp_health *h, uint64_t job)
{
	const struct job_record *j = g_hash_table_lookup(h->jobs, &job);

	return j != NULL ? j->n_endpoints : 0;
}

bool
gyp_health_is_bad_job(const struct gyp_health *h, uint64_t job)
{
	const struct job_record *j = g_hash_table_lookup(h->jobs, &job);
	uint32_t i, blamed = 0;

	for (i = 0; j != NULL && i < j->n_endpoints; i++)
		blamed += others_do_well(h, j->endpoints[i], job);
	return blamed >= GYP_HEALTH_BAD_JOB;
}

bool
gyp_health_is_bad_endpoint(const struct gyp_health *h, uint64_t endpoint,
    const struct gyp_health_limits *limits, uint64_t now)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);
	uint32_t i, count = 0;

	if (e == NULL || e->until > now)
		return false;
	/* A probe that fails needs no second one. */
	if (e->probation)
		return e->n_recent > 0;
	for (i = 0; i < e->n_recent; i++)
		count += e->recent[i].at + limits->within_ms >= now &&
			 !gyp_health_is_bad_job(h, e->recent[i].job);
	return count >= MIN(limits->failures, GYP_HEALTH_RECENT);
}

void
gyp_health_quarantine(struct gyp_health *h, uint64_t endpoint,
    const struct gyp_health_limits *limits, uint64_t now)
{
	struct endpoint_record *e = endpoint_record(h, endpoint);

	if (e->probation)
		e->backoff = MIN(e->backoff * 2, GYP_HEALTH_BACKOFF_MAX);
	e->until = now + (uint64_t)limits->for_ms * e->backoff;
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

	return e == NULL || now >= e->until;
}

bool
gyp_health_on_probation(const struct gyp_health *h, uint64_t endpoint)
{
	const struct endpoint_record *e =
	    g_hash_table_lookup(h->endpoints, &endpoint);

	return e != NULL && e->probation;
}
