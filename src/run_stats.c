#include <math.h>

#include <glib.h>

#include "cusum.h"
#include "health.h"
#include "run_stats.h"

/* Weight of one task in the moving mean of an endpoint's slowdown. */
#define SLOWDOWN_WEIGHT 0.2

/* Bounds of one task's slowdown: tasks of one step differ in size. */
#define SLOWDOWN_MIN 0.3
#define SLOWDOWN_MAX 8.0

/*
 * Minimum weight of one task in the moving statistics of a queue's estimates.
 */
#define ESTIMATE_WEIGHT 0.01

/* Endpoints at which a flow has failed before it may itself be at fault. */
#define FAILING_FLOW_ENDPOINTS 2

/* Tasks before estimates are used, and the largest mean error allowed. */
#define ESTIMATES_MIN      60
#define ESTIMATE_ERROR_MAX 0.45

/* Tasks before the regression of run times on estimates is used. */
#define REGRESSION_MIN 20

/* Timed runs of a unit before their mean is used as the usual time. */
#define TIMED_RUNS_MIN 2

/*
 * Confidence from which a forecast counts as reliable, in percent: the kind has
 * the same number of runs.
 */
#define CONFIDENCE_MIN 50

/* Accuracy of a queue's estimates, from the log ratio of real to estimated. */
struct estimates {
	uint32_t n;
	double bias;
	double error; /* mean absolute deviation from the bias */
	/* Regression of the log run time on the log estimate: */
	double mean_estimate;
	double mean_real;
	double variance; /* of the estimates */
	double covariance;
};

struct gyp_run_stats {
	GArray *probes; /* uint64_t by row: start of the probe, 0: none */
	struct gyp_health *task_health; /* its jobs are tasks, see task_key() */
	struct gyp_health *flow_health; /* its jobs are flows */
	struct gyp_cusum *cusum;
	GHashTable *estimates; /* queue name -> struct estimates */
	GArray *slowdowns;     /* double by row */
	const struct gyp_run_forecast *forecast; /* or NULL */
};

static const struct gyp_health_limits limits = {
    .failures = GYP_RUN_STATS_FAILURES,
    .within_ms = GYP_RUN_STATS_WINDOW_MS,
    .for_ms = GYP_RUN_STATS_QUARANTINE_MS,
    .for_max_ms = GYP_RUN_STATS_QUARANTINE_MAX_MS};

/* Combines flow and task number, since failures are attributed to tasks. */
static uint64_t
task_key(uint64_t flow, uint32_t task)
{
	return flow ^ ((uint64_t)(task + 1) << 40);
}

static double *
slowdown_at(struct gyp_run_stats *rs, uint32_t row)
{
	double usual = 1;

	while (row >= rs->slowdowns->len)
		g_array_append_val(rs->slowdowns, usual);
	return &g_array_index(rs->slowdowns, double, row);
}

static uint64_t *
probe_at(struct gyp_run_stats *rs, uint32_t row)
{
	if (row >= rs->probes->len)
		g_array_set_size(rs->probes, row + 1);
	return &g_array_index(rs->probes, uint64_t, row);
}

void
gyp_run_stats_started(struct gyp_run_stats *rs, uint32_t row, uint64_t now)
{
	if (gyp_run_stats_state(rs, row, now) == GYP_RUN_STATS_PROBE_DUE)
		*probe_at(rs, row) = now;
}

void
gyp_run_stats_ended(struct gyp_run_stats *rs, uint32_t row)
{
	*probe_at(rs, row) = 0;
}

void
gyp_run_stats_done(struct gyp_run_stats *rs, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t ran_ms, uint64_t usual_ms, uint64_t now)
{
	double *slowdown = slowdown_at(rs, row);
	double expected_ms = (double)usual_ms;

	if (rs->forecast != NULL)
		expected_ms *= gyp_run_forecast_slowdown(rs->forecast, row);
	gyp_run_stats_ended(rs, row);
	if (gyp_health_on_probation(rs->task_health, row))
		gyp_cusum_probe_passed(rs->cusum, row);
	gyp_health_record_success(rs->task_health, task_key(flow, task), row);
	gyp_health_record_success(rs->flow_health, flow, row);
	gyp_cusum_add(rs->cusum, row, false, now);
	if (usual_ms > 0)
		*slowdown +=
		    SLOWDOWN_WEIGHT * (CLAMP((double)ran_ms / expected_ms,
					   SLOWDOWN_MIN, SLOWDOWN_MAX) -
					  *slowdown);
}

/*
 * A flow that has failed at several endpoints without a success since may
 * itself be at fault: its first failure at another endpoint is no evidence
 * against that endpoint.
 */
static bool
is_uninformative(const struct gyp_run_stats *rs, uint64_t flow, uint32_t row)
{
	return gyp_health_failed_endpoints(rs->flow_health, flow) >=
		   FAILING_FLOW_ENDPOINTS &&
	       !gyp_health_failed_at(rs->flow_health, flow, row);
}

/* True if this failure makes the endpoint count as bad. */
static bool
add_failure(struct gyp_run_stats *rs, uint64_t flow, uint32_t row, uint64_t now)
{
	double before = gyp_cusum_at(rs->cusum, row, now);
	bool counts = !is_uninformative(rs, flow, row);

	gyp_health_record_failure(rs->flow_health, flow, row, now);
	if (!counts)
		return false;
	return gyp_cusum_add(rs->cusum, row, true, now) >= GYP_CUSUM_BAD &&
	       before < GYP_CUSUM_BAD;
}

bool
gyp_run_stats_failed(struct gyp_run_stats *rs, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t now)
{
	bool crossed = add_failure(rs, flow, row, now);

	gyp_run_stats_ended(rs, row);
	gyp_health_record_failure(
	    rs->task_health, task_key(flow, task), row, now);
	if (!gyp_health_is_faulty_endpoint(rs->task_health, row, &limits, now))
		return crossed;
	gyp_health_quarantine(rs->task_health, row, &limits, now);
	return true;
}

static enum gyp_run_stats_state
probation_state(const struct gyp_run_stats *rs, uint32_t row, uint64_t now)
{
	uint64_t probe = row < rs->probes->len
			     ? g_array_index(rs->probes, uint64_t, row)
			     : 0;

	if (probe == 0)
		return GYP_RUN_STATS_PROBE_DUE;
	return now < probe + GYP_RUN_STATS_PROBE_MS ? GYP_RUN_STATS_PROBING
						    : GYP_RUN_STATS_SUSPECT;
}

enum gyp_run_stats_state
gyp_run_stats_state(const struct gyp_run_stats *rs, uint32_t row, uint64_t now)
{
	double sum = gyp_cusum_at(rs->cusum, row, now);
	bool clear = gyp_health_is_clear(rs->task_health, row);

	if (clear && sum < GYP_CUSUM_SUSPECT)
		return GYP_RUN_STATS_GOOD;
	if (sum >= GYP_CUSUM_BAD ||
	    (!clear && !gyp_health_may_probe(rs->task_health, row, now)))
		return GYP_RUN_STATS_BLOCKED;
	if (gyp_health_on_probation(rs->task_health, row))
		return probation_state(rs, row, now);
	return GYP_RUN_STATS_SUSPECT;
}

bool
gyp_run_stats_failed_recently(
    const struct gyp_run_stats *rs, uint64_t flow, uint32_t task, uint64_t now)
{
	return gyp_health_failed_within(
	    rs->task_health, task_key(flow, task), GYP_RUN_STATS_AVOID_MS, now);
}

bool
gyp_run_stats_failed_at(
    const struct gyp_run_stats *rs, uint64_t flow, uint32_t task, uint32_t row)
{
	return gyp_health_failed_at(rs->task_health, task_key(flow, task), row);
}

/* Updates the moving moments of the regression of run times on estimates. */
static void
update_regression(
    struct estimates *e, double estimate, double real, double weight)
{
	double deviation = estimate - e->mean_estimate;

	e->mean_estimate += weight * deviation;
	e->variance +=
	    weight * ((1 - weight) * deviation * deviation - e->variance);
	e->covariance +=
	    weight *
	    ((1 - weight) * deviation * (real - e->mean_real) - e->covariance);
	e->mean_real += weight * (real - e->mean_real);
}

void
gyp_run_stats_add_estimate(struct gyp_run_stats *rs, const char *queue,
    uint64_t estimate_ms, uint64_t ran_ms)
{
	struct estimates *e = g_hash_table_lookup(rs->estimates, queue);
	double ratio, weight;

	if (estimate_ms == 0 || ran_ms == 0)
		return;
	if (e == NULL) {
		e = g_new0(struct estimates, 1);
		g_hash_table_insert(rs->estimates, g_strdup(queue), e);
	}
	ratio = log((double)ran_ms / (double)estimate_ms);
	e->n++;
	weight = MAX(ESTIMATE_WEIGHT, 1.0 / e->n);
	e->error += weight * (fabs(ratio - e->bias) - e->error);
	e->bias += weight * (ratio - e->bias);
	update_regression(
	    e, log((double)estimate_ms), log((double)ran_ms), weight);
}

uint64_t
gyp_run_stats_expected_ms(
    const struct gyp_run_stats *rs, const char *queue, uint64_t estimate_ms)
{
	const struct estimates *e = g_hash_table_lookup(rs->estimates, queue);
	double slope;

	if (e == NULL || e->n < REGRESSION_MIN)
		return estimate_ms;
	if (estimate_ms == 0 || e->variance <= 0)
		return (uint64_t)exp(e->mean_real);
	slope = CLAMP(e->covariance / e->variance, 0, 1);
	return (uint64_t)exp(e->mean_real + slope * (log((double)estimate_ms) -
							e->mean_estimate));
}

uint64_t
gyp_run_stats_usual_ms(
    const struct gyp_run_stats *rs, const char *queue, uint64_t estimate_ms)
{
	const struct estimates *e = g_hash_table_lookup(rs->estimates, queue);

	if (e == NULL || e->n < ESTIMATES_MIN || e->error > ESTIMATE_ERROR_MAX)
		return 0;
	return (uint64_t)((double)estimate_ms * exp(e->bias));
}

/*
 * The quantile of the forecast for each use. The order weighs flows against
 * each other, and a median errs equally often in both directions. A restart and
 * a prefetched ticket fail if the run takes longer, so both expect a run longer
 * than three in four. A straggler is compared with the long runs of its kind,
 * or each run in the tail would look like a fault of its endpoint.
 */
static double
quantile_for(enum gyp_run_use use)
{
	switch (use) {
	case GYP_RUN_RESTART:
	case GYP_RUN_PREFETCH:
		return 0.75;
	case GYP_RUN_STRAGGLER:
		return 0.9;
	case GYP_RUN_ORDER:
	case GYP_RUN_SPEED:
	default:
		return 0.5;
	}
}

static bool
is_usual_time(enum gyp_run_use use)
{
	return use == GYP_RUN_SPEED || use == GYP_RUN_STRAGGLER;
}

static uint64_t
forecast_ms(const struct gyp_run_stats *rs, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u, enum gyp_run_use use)
{
	if (is_usual_time(use) &&
	    gyp_run_forecast_confidence(rs->forecast, flow, u) < CONFIDENCE_MIN)
		return 0;
	return gyp_run_forecast_ms(rs->forecast, flow, u, quantile_for(use));
}

uint64_t
gyp_run_stats_time_ms(const struct gyp_run_stats *rs,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u,
    enum gyp_run_use use)
{
	const char *queue = flow->spec->queue->name;

	if (rs->forecast != NULL)
		return forecast_ms(rs, flow, u, use);
	if (!is_usual_time(use))
		return gyp_run_stats_expected_ms(
		    rs, queue, u->step->estimate_ms);
	if (u->timed_runs >= TIMED_RUNS_MIN)
		return u->timed_ms / u->timed_runs;
	return gyp_run_stats_usual_ms(rs, queue, u->step->estimate_ms);
}

void
gyp_run_stats_use_forecast(
    struct gyp_run_stats *rs, const struct gyp_run_forecast *forecast)
{
	rs->forecast = forecast;
}

double
gyp_run_stats_slowdown(const struct gyp_run_stats *rs, uint32_t row)
{
	double latest = row < rs->slowdowns->len
			    ? g_array_index(rs->slowdowns, double, row)
			    : 1;

	if (rs->forecast == NULL)
		return latest;
	return gyp_run_forecast_slowdown(rs->forecast, row) * MAX(latest, 1);
}

void
gyp_run_stats_reset(struct gyp_run_stats *rs, uint32_t row)
{
	gyp_health_forget_endpoint(rs->task_health, row);
	gyp_health_forget_endpoint(rs->flow_health, row);
	gyp_cusum_reset(rs->cusum, row);
	*slowdown_at(rs, row) = 1;
}

struct gyp_run_stats *
gyp_run_stats_new(void)
{
	struct gyp_run_stats *rs = g_new0(struct gyp_run_stats, 1);

	rs->task_health = gyp_health_new();
	rs->flow_health = gyp_health_new();
	rs->cusum = gyp_cusum_new();
	rs->estimates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rs->slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	rs->probes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	return rs;
}

void
gyp_run_stats_free(struct gyp_run_stats *rs)
{
	if (rs == NULL)
		return;
	gyp_health_free(rs->task_health);
	gyp_health_free(rs->flow_health);
	gyp_cusum_free(rs->cusum);
	g_hash_table_destroy(rs->estimates);
	g_array_free(rs->slowdowns, TRUE);
	g_array_free(rs->probes, TRUE);
	g_free(rs);
}
