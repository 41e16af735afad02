#ifndef GYP_PREEMPT_H
#define GYP_PREEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "flow.h"
#include "track.h"

/*
 * NAME
 *	preempt - which runs are stopped so that more urgent work can begin
 *
 * DESCRIPTION
 *	Load pattern answered: a burst of urgent work, or a gang, before a
 *	service that is full of work of a lower priority which ends much later.
 *
 *	A run yields to work of a higher priority when it keeps its progress in
 *	checkpoints, or has run for a moment only, is not about to end, and its
 *	flow has time to spare: a stop must not make other work late. Work that
 *	lasts and gangs never yield. Of an endpoint's runs those go that
 *	lose the least. What they held is coming: it counts as free only when
 *	their ends are committed.
 *
 *	At any time runs on at most a part of the endpoints are being stopped,
 *	so that a long queue can't turn a service over at once.
 */

struct gyp_preempt;

struct gyp_preempt_stop {
	uint64_t flow;
	uint32_t task;
	uint32_t row;
	uint64_t for_flow;
	uint64_t lost_ms; /* work that has to be done again */
};

struct gyp_preempt *gyp_preempt_new(const struct gyp_flows *,
    const struct gyp_fleet *, const struct gyp_track *);
void gyp_preempt_free(struct gyp_preempt *);

/* Begins a round at time now; runs that ended are forgotten. */
void gyp_preempt_begin_round(struct gyp_preempt *, uint64_t now);

/* What the endpoint gets when the runs that are being stopped have ended. */
struct gyp_res gyp_preempt_releasing(const struct gyp_preempt *, uint32_t row);

/* What work of that priority could have stopped there. */
struct gyp_res gyp_preempt_reclaimable(
    struct gyp_preempt *, uint32_t row, uint32_t priority);

/*
 * Has runs on the endpoint stopped that hold at least `need` together, for a
 * flow of that priority; *freed is what they hold. False, and nothing is
 * stopped, when they hold less, or when too many are being stopped.
 */
bool gyp_preempt_select(struct gyp_preempt *, uint32_t row, uint32_t priority,
    const struct gyp_res *need, uint64_t for_flow, struct gyp_res *freed);

/* Takes the next run to stop. */
bool gyp_preempt_pop(struct gyp_preempt *, struct gyp_preempt_stop *);

#endif
