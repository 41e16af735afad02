#ifndef GYP_RUN_STATS_H
#define GYP_RUN_STATS_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"

/*
 * NAME
 *	track - how well and how fast endpoints run tasks of flows
 *
 * DESCRIPTION
 *	Load patterns answered: endpoints that fail all they are given in no
 *	time, and so look the least loaded; endpoints that turn slow. Blame is
 *	shared as in health: a few tasks that fail at an endpoint without
 *	a success in between put it into quarantine, a task that fails at
 *	several endpoints which others do well at is itself to blame. After a
 *	quarantine one run at a time goes there until one ends well. Endpoints
 *	that fail part of what they get, see cusum, are left alone likewise.
 *
 *	An endpoint's pace is the time that its tasks take against the mean of
 *	their step, 1 for as usual, above for slower; it is a moving mean.
 *
 *	Kept by a leader only, by row of the endpoint; a new one begins anew.
 */

/* Quarantine after so many tasks that failed within so many ms, for so long. */
#define GYP_RUN_STATS_FAILURES      3
#define GYP_RUN_STATS_WINDOW_MS     5000
#define GYP_RUN_STATS_QUARANTINE_MS 1500

struct gyp_run_stats;

struct gyp_run_stats *gyp_run_stats_new(void);
void gyp_run_stats_free(struct gyp_run_stats *);

/* The task's run there ended as done after ran_ms; mean_ms of its step or 0. */
void gyp_run_stats_done(struct gyp_run_stats *, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t ran_ms, uint64_t mean_ms, uint64_t now);

/* It failed there, or stood still; true when a quarantine begins. */
bool gyp_run_stats_failed(struct gyp_run_stats *, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t now);

/* A run begins there; one that ended neither as done nor as failed is over. */
void gyp_run_stats_started(struct gyp_run_stats *, uint32_t row, uint64_t now);
void gyp_run_stats_ended(struct gyp_run_stats *, uint32_t row);

enum gyp_run_stats_state {
	GYP_RUN_STATS_GOOD,
	GYP_RUN_STATS_SUSPECT, /* more failed there lately than is usual */
	GYP_RUN_STATS_PROBE,   /* takes one run, which tells */
	GYP_RUN_STATS_PROBING, /* that run is under way */
	GYP_RUN_STATS_BLOCKED
};

enum gyp_run_stats_state gyp_run_stats_state(
    const struct gyp_run_stats *, uint32_t row, uint64_t now);

/*
 * For so long after its latest failure a task avoids endpoints where it, or
 * before its last attempt any task, failed, in ms. Then it takes what there
 * is: work must not wait for ever for an endpoint that nothing was tried at.
 */
#define GYP_RUN_STATS_AVOID_MS 1500

bool gyp_run_stats_failed_recently(
    const struct gyp_run_stats *, uint64_t flow, uint32_t task, uint64_t now);

/* True when the task failed there and has not ended well since. */
bool gyp_run_stats_failed_at(
    const struct gyp_run_stats *, uint64_t flow, uint32_t task, uint32_t row);

/* The estimate for a task of the queue, and how long it ran. */
void gyp_run_stats_add_estimate(struct gyp_run_stats *, const char *queue,
    uint64_t estimate_ms, uint64_t ran_ms);

/*
 * How long a task with that estimate usually runs; 0 while the queue's
 * estimates are not known to be good.
 */
uint64_t gyp_run_stats_usual_ms(
    const struct gyp_run_stats *, const char *queue, uint64_t estimate_ms);

/*
 * How long a task with that estimate is expected to run: the estimate as far as
 * the queue's estimates told the differences between its tasks so far, and the
 * usual time of its tasks for the rest. 0 when nothing is known.
 */
uint64_t gyp_run_stats_expected_ms(
    const struct gyp_run_stats *, const char *queue, uint64_t estimate_ms);

double gyp_run_stats_slowdown(const struct gyp_run_stats *, uint32_t row);

/* The endpoint began a new life. */
void gyp_run_stats_reset(struct gyp_run_stats *, uint32_t row);

#endif
