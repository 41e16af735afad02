#ifndef GYP_TRACK_H
#define GYP_TRACK_H

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
#define GYP_TRACK_FAILURES  3
#define GYP_TRACK_WITHIN_MS 5000
#define GYP_TRACK_FOR_MS    1500

struct gyp_track;

struct gyp_track *gyp_track_new(void);
void gyp_track_free(struct gyp_track *);

/* The task's run there ended as done after ran_ms; mean_ms of its step or 0. */
void gyp_track_done(struct gyp_track *, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t ran_ms, uint64_t mean_ms, uint64_t now);

/* It failed there, or stood still; true when a quarantine begins. */
bool gyp_track_failed(struct gyp_track *, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t now);

/* A run begins there; one that ended neither as done nor as failed is over. */
void gyp_track_started(struct gyp_track *, uint32_t row, uint64_t now);
void gyp_track_over(struct gyp_track *, uint32_t row);

enum gyp_track_word {
	GYP_TRACK_GOOD,
	GYP_TRACK_DOUBTFUL, /* more failed there lately than is usual */
	GYP_TRACK_PROBE,    /* takes one run, which tells */
	GYP_TRACK_PROBING,  /* that run is under way */
	GYP_TRACK_BLOCKED
};

enum gyp_track_word gyp_track_word(
    const struct gyp_track *, uint32_t row, uint64_t now);

/*
 * For so long after its latest failure a task avoids endpoints where it, or
 * before its last attempt any task, failed, in ms. Then it takes what there
 * is: work must not wait for ever for an endpoint that nothing was tried at.
 */
#define GYP_TRACK_AVOID_MS 1500

bool gyp_track_avoids(
    const struct gyp_track *, uint64_t flow, uint32_t task, uint64_t now);

/* True when the task failed there and has not ended well since. */
bool gyp_track_failed_at(
    const struct gyp_track *, uint64_t flow, uint32_t task, uint32_t row);

/* The estimate for a task of the queue, and how long it ran. */
void gyp_track_estimate(struct gyp_track *, const char *queue,
    uint64_t estimate_ms, uint64_t ran_ms);

/*
 * How long a task with that estimate usually runs; 0 while the queue's
 * estimates are not known to be good.
 */
uint64_t gyp_track_usual(
    const struct gyp_track *, const char *queue, uint64_t estimate_ms);

/*
 * How long a task with that estimate is expected to run: the estimate as far as
 * the queue's estimates told the differences between its tasks so far, and the
 * usual time of its tasks for the rest. 0 when nothing is known.
 */
uint64_t gyp_track_expect(
    const struct gyp_track *, const char *queue, uint64_t estimate_ms);

double gyp_track_pace(const struct gyp_track *, uint32_t row);

/* The endpoint began a new life. */
void gyp_track_forget(struct gyp_track *, uint32_t row);

#endif
