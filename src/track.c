#include <math.h>

#include <glib.h>

#include "cusum.h"
#include "health.h"
#include "track.h"

/* Weight of one task in an endpoint's pace. */
#define PACE_WEIGHT 0.2

/* Bounds of one task's share in a pace: sizes of one step differ. */
#define PACE_MIN 0.3
#define PACE_MAX 8.0

/* Weight of one task in what is known of a queue's estimates. */
#define ESTIMATE_WEIGHT 0.01

/* Endpoints at which a flow fails before it may be hopeless. */
#define HOPELESS_ENDPOINTS 2

/* Tasks before estimates are judged, and mean error that makes them good. */
#define ESTIMATES_MIN  60
#define ESTIMATE_ERROR 0.45

/* Tasks before the relation of estimates to real times is used. */
#define RELATION_MIN 20

/* How a queue's estimates turned out, as logarithms of real to estimated. */
struct estimates {
	uint32_t n;
	double bias;
	double error; /* mean distance from the bias */
	/* Of the logarithms of both: */
	double mean_estimate;
	double mean_real;
	double variance; /* of the estimates */
	double covariance;
};

struct gyp_track {
	GArray *probes; /* uint32_t by row: runs begun on probation */
	struct gyp_health *health;
	struct gyp_health *flows; /* likewise, but by flow, not by task */
	struct gyp_cusum *sums;
	GHashTable *estimates; /* name of the queue -> struct estimates */
	GArray *paces;         /* double by row */
};

static const struct gyp_health_limits limits = {.failures = GYP_TRACK_FAILURES,
    .within_ms = GYP_TRACK_WITHIN_MS,
    .for_ms = GYP_TRACK_FOR_MS};

/* Tasks share a flow's id; blame is by task. */
static uint64_t
key_of(uint64_t flow, uint32_t task)
{
	return flow ^ ((uint64_t)(task + 1) << 40);
}

static double *
pace_at(struct gyp_track *t, uint32_t row)
{
	double usual = 1;

	while (row >= t->paces->len)
		g_array_append_val(t->paces, usual);
	return &g_array_index(t->paces, double, row);
}

static uint32_t *
probes_at(struct gyp_track *t, uint32_t row)
{
	if (row >= t->probes->len)
		g_array_set_size(t->probes, row + 1);
	return &g_array_index(t->probes, uint32_t, row);
}

void
gyp_track_started(struct gyp_track *t, uint32_t row, uint64_t now)
{
	if (gyp_track_word(t, row, now) == GYP_TRACK_PROBE)
		*probes_at(t, row) += 1;
}

void
gyp_track_over(struct gyp_track *t, uint32_t row)
{
	*probes_at(t, row) = 0;
}

void
gyp_track_done(struct gyp_track *t, uint64_t flow, uint32_t task, uint32_t row,
    uint64_t ran_ms, uint64_t mean_ms, uint64_t now)
{
	double *pace = pace_at(t, row);

	gyp_track_over(t, row);
	if (gyp_health_on_probation(t->health, row))
		gyp_cusum_recovered(t->sums, row);
	gyp_health_record_success(t->health, key_of(flow, task), row);
	gyp_health_record_success(t->flows, flow, row);
	gyp_cusum_add(t->sums, row, false, now);
	if (mean_ms > 0)
		*pace += PACE_WEIGHT * (CLAMP((double)ran_ms / (double)mean_ms,
					    PACE_MIN, PACE_MAX) -
					   *pace);
}

/*
 * A flow that has failed at some endpoints, and nowhere ended well since, may
 * be hopeless: its first failure at a further one says nothing of that one.
 */
static bool
tells_nothing(const struct gyp_track *t, uint64_t flow, uint32_t row)
{
	return gyp_health_failed_endpoints(t->flows, flow) >=
		   HOPELESS_ENDPOINTS &&
	       !gyp_health_failed_at(t->flows, flow, row);
}

/* True when the endpoint counts as bad from now on. */
static bool
add_failure(struct gyp_track *t, uint64_t flow, uint32_t row, uint64_t now)
{
	double before = gyp_cusum_at(t->sums, row, now);
	bool counts = !tells_nothing(t, flow, row);

	gyp_health_record_failure(t->flows, flow, row, now);
	if (!counts)
		return false;
	return gyp_cusum_add(t->sums, row, true, now) >= GYP_CUSUM_BAD &&
	       before < GYP_CUSUM_BAD;
}

bool
gyp_track_failed(struct gyp_track *t, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t now)
{
	bool crossed = add_failure(t, flow, row, now);

	gyp_track_over(t, row);
	gyp_health_record_failure(t->health, key_of(flow, task), row, now);
	if (!gyp_health_is_faulty_endpoint(t->health, row, &limits, now))
		return crossed;
	gyp_health_quarantine(t->health, row, &limits, now);
	return true;
}

enum gyp_track_word
gyp_track_word(const struct gyp_track *t, uint32_t row, uint64_t now)
{
	double sum = gyp_cusum_at(t->sums, row, now);
	bool clear = gyp_health_is_clear(t->health, row);

	if (clear && sum < GYP_CUSUM_DOUBTFUL)
		return GYP_TRACK_GOOD;
	if (sum >= GYP_CUSUM_BAD ||
	    (!clear && !gyp_health_may_probe(t->health, row, now)))
		return GYP_TRACK_BLOCKED;
	if (gyp_health_on_probation(t->health, row))
		return row < t->probes->len &&
			       g_array_index(t->probes, uint32_t, row) > 0
			   ? GYP_TRACK_PROBING
			   : GYP_TRACK_PROBE;
	return GYP_TRACK_DOUBTFUL;
}

bool
gyp_track_avoids(
    const struct gyp_track *t, uint64_t flow, uint32_t task, uint64_t now)
{
	return gyp_health_failed_within(
	    t->health, key_of(flow, task), GYP_TRACK_AVOID_MS, now);
}

bool
gyp_track_failed_at(
    const struct gyp_track *t, uint64_t flow, uint32_t task, uint32_t row)
{
	return gyp_health_failed_at(t->health, key_of(flow, task), row);
}

/* Moving sums for the regression of real times on estimates. */
static void
learn_relation(struct estimates *e, double estimate, double real, double weight)
{
	double off = estimate - e->mean_estimate;

	e->mean_estimate += weight * off;
	e->variance += weight * ((1 - weight) * off * off - e->variance);
	e->covariance += weight * ((1 - weight) * off * (real - e->mean_real) -
				      e->covariance);
	e->mean_real += weight * (real - e->mean_real);
}

void
gyp_track_estimate(struct gyp_track *t, const char *queue, uint64_t estimate_ms,
    uint64_t ran_ms)
{
	struct estimates *e = g_hash_table_lookup(t->estimates, queue);
	double ratio, weight;

	if (estimate_ms == 0 || ran_ms == 0)
		return;
	if (e == NULL) {
		e = g_new0(struct estimates, 1);
		g_hash_table_insert(t->estimates, g_strdup(queue), e);
	}
	ratio = log((double)ran_ms / (double)estimate_ms);
	e->n++;
	weight = MAX(ESTIMATE_WEIGHT, 1.0 / e->n);
	e->error += weight * (fabs(ratio - e->bias) - e->error);
	e->bias += weight * (ratio - e->bias);
	learn_relation(
	    e, log((double)estimate_ms), log((double)ran_ms), weight);
}

uint64_t
gyp_track_expect(
    const struct gyp_track *t, const char *queue, uint64_t estimate_ms)
{
	const struct estimates *e = g_hash_table_lookup(t->estimates, queue);
	double share;

	if (e == NULL || e->n < RELATION_MIN)
		return estimate_ms;
	if (estimate_ms == 0 || e->variance <= 0)
		return (uint64_t)exp(e->mean_real);
	share = CLAMP(e->covariance / e->variance, 0, 1);
	return (uint64_t)exp(e->mean_real + share * (log((double)estimate_ms) -
							e->mean_estimate));
}

uint64_t
gyp_track_usual(
    const struct gyp_track *t, const char *queue, uint64_t estimate_ms)
{
	const struct estimates *e = g_hash_table_lookup(t->estimates, queue);

	if (e == NULL || e->n < ESTIMATES_MIN || e->error > ESTIMATE_ERROR)
		return 0;
	return (uint64_t)((double)estimate_ms * exp(e->bias));
}

double
gyp_track_pace(const struct gyp_track *t, uint32_t row)
{
	return row < t->paces->len ? g_array_index(t->paces, double, row) : 1;
}

void
gyp_track_forget(struct gyp_track *t, uint32_t row)
{
	gyp_health_forget_endpoint(t->health, row);
	gyp_health_forget_endpoint(t->flows, row);
	gyp_cusum_forget(t->sums, row);
	*pace_at(t, row) = 1;
}

struct gyp_track *
gyp_track_new(void)
{
	struct gyp_track *t = g_new0(struct gyp_track, 1);

	t->health = gyp_health_new();
	t->flows = gyp_health_new();
	t->sums = gyp_cusum_new();
	t->estimates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->paces = g_array_new(FALSE, FALSE, sizeof(double));
	t->probes = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	return t;
}

void
gyp_track_free(struct gyp_track *t)
{
	if (t == NULL)
		return;
	gyp_health_free(t->health);
	gyp_health_free(t->flows);
	gyp_cusum_free(t->sums);
	g_hash_table_destroy(t->estimates);
	g_array_free(t->paces, TRUE);
	g_array_free(t->probes, TRUE);
	g_free(t);
}
