#ifndef GYP_RUN_STATS_H
#define GYP_RUN_STATS_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "run_forecast.h"

/*
 * NAME
 *	run_stats - failure and run time statistics of endpoints
 *
 * DESCRIPTION
 *	Detects endpoints that fail every task immediately and therefore appear
 *	least loaded, and endpoints that become slow. Failures are attributed
 *	as in health.h: a few tasks that fail at an endpoint without a success
 *	in between put it into quarantine; a task that fails at several
 *	endpoints where others succeed is itself at fault. After a quarantine
 *	the endpoint gets one run at a time until one succeeds or has not failed
 *	for a while. Endpoints that fail part of their runs, see cusum.h, are
 *	avoided too.
 *
 *	An endpoint's slowdown is a moving mean of the run time of its tasks
 *	divided by the usual run time of their step: 1 is as usual, more is
 *	slower.
 *
 *	The statistics are indexed by row of the endpoint and exist on a leader
 *	only. They are not replicated: a new leader starts without any.
 */

/*
 * FAILURES tasks that fail within WINDOW_MS put an endpoint into quarantine for
 * QUARANTINE_MS.
 */
#define GYP_RUN_STATS_FAILURES      3
#define GYP_RUN_STATS_WINDOW_MS     5000
#define GYP_RUN_STATS_QUARANTINE_MS 1500

/*
 * Longest quarantine, after probes that failed, in ms. In a full service the
 * endpoints with room are those in quarantine, so an endpoint that has
 * recovered must soon be probed.
 */
#define GYP_RUN_STATS_QUARANTINE_MAX_MS 4000

/*
 * A probe that has not failed after this long, in ms, opens the endpoint to
 * other runs, although the next failure still puts it into quarantine: a
 * lasting task never ends as done.
 */
#define GYP_RUN_STATS_PROBE_MS 2000

struct gyp_run_stats;

struct gyp_run_stats *gyp_run_stats_new(void);
void gyp_run_stats_free(struct gyp_run_stats *);

/*
 * Records that a run ended as done after ran_ms. usual_ms is the usual run time
 * of a task of its step, or 0 if unknown.
 */
void gyp_run_stats_done(struct gyp_run_stats *, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t ran_ms, uint64_t usual_ms, uint64_t now);

/*
 * Records that a run failed or stalled; true if the endpoint is blocked because
 * of it: its quarantine starts or is renewed, or its sum reaches GYP_CUSUM_BAD.
 */
bool gyp_run_stats_failed(struct gyp_run_stats *, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t now);

/* Records a start, and an end that was neither done nor failed. */
void gyp_run_stats_started(struct gyp_run_stats *, uint32_t row, uint64_t now);
void gyp_run_stats_ended(struct gyp_run_stats *, uint32_t row);

enum gyp_run_stats_state {
	GYP_RUN_STATS_GOOD,
	GYP_RUN_STATS_SUSPECT,   /* fails more runs than usual */
	GYP_RUN_STATS_PROBE_DUE, /* gets one run as a probe */
	GYP_RUN_STATS_PROBING,   /* the probe is running */
	GYP_RUN_STATS_BLOCKED    /* gets no runs */
};

enum gyp_run_stats_state gyp_run_stats_state(
    const struct gyp_run_stats *, uint32_t row, uint64_t now);

/*
 * For this long after its latest failure, in ms, a task avoids endpoints where
 * it failed; before its last attempt it also avoids those where any task
 * failed. After that it accepts any endpoint: it must not wait forever for one
 * without a failure.
 */
#define GYP_RUN_STATS_AVOID_MS 1500

/* True if the task failed anywhere within GYP_RUN_STATS_AVOID_MS. */
bool gyp_run_stats_failed_recently(
    const struct gyp_run_stats *, uint64_t flow, uint32_t task, uint64_t now);

/* True if the task failed at the endpoint and has not succeeded since. */
bool gyp_run_stats_failed_at(
    const struct gyp_run_stats *, uint64_t flow, uint32_t task, uint32_t row);

/* Records the estimate and the run time of a task of the queue. */
void gyp_run_stats_add_estimate(struct gyp_run_stats *, const char *queue,
    uint64_t estimate_ms, uint64_t ran_ms);

/*
 * The usual run time of a task with that estimate; 0 while the queue's
 * estimates are not known to be accurate.
 */
uint64_t gyp_run_stats_usual_ms(
    const struct gyp_run_stats *, const char *queue, uint64_t estimate_ms);

/*
 * The expected run time of a task with that estimate, from a regression of run
 * times on the queue's estimates. The less the estimates explain, the closer
 * the result is to the geometric mean run time. Returns estimate_ms, which may
 * be 0, while too few tasks have run.
 */
uint64_t gyp_run_stats_expected_ms(
    const struct gyp_run_stats *, const char *queue, uint64_t estimate_ms);

/* What the run time of a task is needed for. */
enum gyp_run_use {
	GYP_RUN_ORDER,    /* whether the flow can still meet its objective */
	GYP_RUN_RESTART,  /* whether it has the time to run again */
	GYP_RUN_PREFETCH, /* whether it ends while a ticket is valid */
	GYP_RUN_SPEED,    /* the usual time, to compare endpoints with */
	GYP_RUN_STRAGGLER /* the usual time, to compare a run with */
};

/*
 * The run time of a task of the unit, in ms; 0 if it is not known, for the last
 * two uses also if it is not reliable. All decisions that need a run time call
 * this function. It uses the forecast, if there is one, or else the statistics
 * of this module.
 */
uint64_t gyp_run_stats_time_ms(const struct gyp_run_stats *,
    const struct gyp_flow *, const struct gyp_flow_unit *, enum gyp_run_use);

/* Sets the forecast to use, which must stay valid, or NULL for none. */
void gyp_run_stats_use_forecast(
    struct gyp_run_stats *, const struct gyp_run_forecast *);

/*
 * The slowdown of the endpoint, 1 if unknown. With a forecast, the learned
 * slowdown is multiplied by the mean ratio of the latest run times to those
 * expected with it, if that is above 1.
 */
double gyp_run_stats_slowdown(const struct gyp_run_stats *, uint32_t row);

/* Discards the statistics of the row: the endpoint has restarted. */
void gyp_run_stats_reset(struct gyp_run_stats *, uint32_t row);

#endif
