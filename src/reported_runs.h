#ifndef GYP_REPORTED_RUNS_H
#define GYP_REPORTED_RUNS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	running - what endpoints say that they run, and when to ask
 *
 * DESCRIPTION
 *	Volatile table of the leader. A heartbeat carries the list of running
 *	attempts only when it changed, and its number otherwise; so an idle
 *	hour of 22,000 running tasks costs no more than one of none. An
 *	attempt that a list leaves out is asked about, first after
 *	GYP_ATTEMPT_QUERY_MIN_MS and then after twice as long each time.
 */

/* Bounds of the pause between questions about one attempt, in ms. */
#define GYP_ATTEMPT_QUERY_MIN_MS 1000
#define GYP_ATTEMPT_QUERY_MAX_MS 64000

struct gyp_reported_runs;

struct gyp_reported_runs *gyp_reported_runs_new(void);
void gyp_reported_runs_free(struct gyp_reported_runs *);
void gyp_reported_runs_reset(struct gyp_reported_runs *);

/*
 * Takes the list of a heartbeat. False when the heartbeat leaves it out and
 * the list of its number is not known here.
 */
bool gyp_reported_runs_update(
    struct gyp_reported_runs *, uint64_t now, const Gyp__Beat *);
void gyp_reported_runs_drop_endpoint(
    struct gyp_reported_runs *, uint64_t endpoint);

/* Time of the endpoint's latest list or confirmation, 0 for none. */
uint64_t gyp_reported_runs_last_seen(
    const struct gyp_reported_runs *, uint64_t endpoint);

/* The latest list; valid until the next change. */
const Gyp__Attempt *gyp_reported_runs_get(
    const struct gyp_reported_runs *, uint64_t endpoint, uint32_t *n);

bool gyp_reported_runs_contain(
    const struct gyp_reported_runs *, uint64_t endpoint, const Gyp__Attempt *);

/*
 * Called for an attempt that should be listed and is not. Returns 0, or the
 * number of the question when one is due now.
 */
uint32_t gyp_reported_runs_query_due(
    struct gyp_reported_runs *, uint64_t now, const Gyp__Attempt *);
void gyp_reported_runs_drop_task(
    struct gyp_reported_runs *, uint64_t job, uint32_t task);

#endif
