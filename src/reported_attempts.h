#ifndef GYP_REPORTED_ATTEMPTS_H
#define GYP_REPORTED_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	reported_attempts - attempts that endpoints report as running
 *
 * DESCRIPTION
 *	Volatile table of the leader. A heartbeat carries the list of running
 *	attempts only when the list changed, and otherwise only the list's
 *	number: while no task starts or ends, heartbeats cost the same with
 *	22,000 running tasks as with none. Runs of flows are not in this table,
 *	see fleet.h.
 *
 *	The leader queries an attempt that is missing from a list, first after
 *	GYP_ATTEMPT_QUERY_MIN_MS and then at intervals that double.
 */

/* Bounds of the interval between queries for one attempt, in ms. */
#define GYP_ATTEMPT_QUERY_MIN_MS 1000
#define GYP_ATTEMPT_QUERY_MAX_MS 64000

struct gyp_reported_attempts;

struct gyp_reported_attempts *gyp_reported_attempts_new(void);
void gyp_reported_attempts_free(struct gyp_reported_attempts *);
void gyp_reported_attempts_reset(struct gyp_reported_attempts *);

/*
 * Stores the list of a heartbeat. False when the heartbeat has only the number
 * of its list and that list is not stored.
 */
bool gyp_reported_attempts_update(
    struct gyp_reported_attempts *, uint64_t now, const Gyp__Beat *);
void gyp_reported_attempts_drop_endpoint(
    struct gyp_reported_attempts *, uint64_t endpoint);

/* Time of the latest heartbeat that carried or confirmed a list; 0: none. */
uint64_t gyp_reported_attempts_last_seen(
    const struct gyp_reported_attempts *, uint64_t endpoint);

/* Returns the latest list, valid until the next change; NULL for none. */
const Gyp__Attempt *gyp_reported_attempts_get(
    const struct gyp_reported_attempts *, uint64_t endpoint, uint32_t *n);

/* True when the endpoint's latest list has the attempt. */
bool gyp_reported_attempts_contain(const struct gyp_reported_attempts *,
    uint64_t endpoint, const Gyp__Attempt *);

/*
 * Called for an attempt that should be listed and is not. Returns the number
 * of the query to send now, 0 when none is due.
 */
uint32_t gyp_reported_attempts_query_due(
    struct gyp_reported_attempts *, uint64_t now, const Gyp__Attempt *);
/* Forgets the queries for the latest attempt of the task. */
void gyp_reported_attempts_drop_task(
    struct gyp_reported_attempts *, uint64_t job, uint32_t task);

#endif
