#ifndef GYP_CLEARING_H
#define GYP_CLEARING_H

#include <stdint.h>

#include "admission.h"
#include "capacity_index.h"
#include "preempt.h"
#include "run_stats.h"

/*
 * NAME
 *	clearing - endpoints cleared of filling tasks for lasting tasks
 *
 * DESCRIPTION
 *	Handles this load: filling work on all endpoints that a lasting task
 *	with a latency bound may use. The two share no endpoint, filling work
 *	books no CPU, and new filling tasks start as others end, so the task
 *	would wait for as long as such work comes, however much capacity is
 *	free.
 *
 *	For the tasks of such a unit that can neither be placed nor have
 *	capacity reserved, endpoints are held on which room and the admission
 *	service allow them: no further filling task starts there, and no later
 *	unit of the round gets the room. If a unit still waits after
 *	GYP_CLEARING_WAIT_MS, the filling runs there are stopped. Endpoints
 *	whose stops lose the least work come first, those held before them all.
 *
 *	Filling work takes what other work leaves, so its priority does not
 *	matter here. It stays on all endpoints that are not held, and no more
 *	are held than the tasks need. Lasting runs and gangs are never stopped;
 *	an endpoint with filling runs of that kind is not cleared. None is
 *	stopped while the tasks have no valid ticket for the endpoint. Tasks
 *	that have just failed hold nothing, so one that fails at once each time
 *	leaves filling work some time in between.
 */

/* Time for which filling runs may end by themselves, in ms. */
#define GYP_CLEARING_WAIT_MS 1000

struct gyp_clearing;

struct gyp_clearing *gyp_clearing_new(struct gyp_capacity_index *,
    struct gyp_preempt *, const struct gyp_admission *,
    const struct gyp_run_stats *);
void gyp_clearing_free(struct gyp_clearing *);

/*
 * Keeps filling units off the endpoints held before; call before the round
 * places any unit.
 */
void gyp_clearing_begin_round(struct gyp_clearing *);

/*
 * Holds or clears endpoints for at most `waiting` tasks of the unit. Has no
 * effect unless it lasts and has a latency bound, nor for gangs.
 */
void gyp_clearing_add(
    struct gyp_clearing *, const struct gyp_candidate *, uint32_t waiting);

#endif
