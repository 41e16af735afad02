#ifndef GYP_PREEMPT_H
#define GYP_PREEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "flow.h"
#include "run_stats.h"

/*
 * NAME
 *	preempt - which runs are stopped so that more urgent work can start
 *
 * DESCRIPTION
 *	Handles these loads: a burst of urgent work, or a gang, that waits for a
 *	pool full of lower-priority work which ends much later. Priority 0 is
 *	the most urgent; a higher priority is a lower number.
 *
 *	A run can be stopped for work of a lower rank when it saves its
 *	progress in checkpoints or has only just started, is not about to end,
 *	and its flow has slack: a stop must not make other work late. Work
 *	beyond the rate of its workspace needs no slack. Lasting tasks and gangs
 *	are never stopped. On each endpoint, the runs that lose the least work
 *	are stopped. Their resources count as being released, and as free only
 *	after their ends are committed.
 *
 *	Filling runs are besides stopped for lasting tasks that serve, whatever
 *	their priority and what is lost: see clearing.h, which decides when.
 *
 *	The number of runs being stopped at a time is limited, so that a long
 *	queue does not replace all work of the pool at once.
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
    const struct gyp_fleet *, const struct gyp_run_stats *);
void gyp_preempt_free(struct gyp_preempt *);

/* Starts a round at time now; drops the runs being stopped that have ended. */
void gyp_preempt_begin_round(struct gyp_preempt *, uint64_t now);

/*
 * Returns the resources that become free on the endpoint when the runs being
 * stopped have ended.
 */
struct gyp_res gyp_preempt_releasing(const struct gyp_preempt *, uint32_t row);

/*
 * Returns the resources that stops for work of that rank, see gyp_flow_rank(),
 * could free on the endpoint.
 */
struct gyp_res gyp_preempt_reclaimable(
    struct gyp_preempt *, uint32_t row, uint32_t rank);

/*
 * Selects runs on the endpoint to stop for a flow of that rank, so that
 * together they free at least `need`; *freed is set to what they free. Returns
 * false, and stops nothing, when they free less or too many runs are being
 * stopped.
 */
bool gyp_preempt_select(struct gyp_preempt *, uint32_t row, uint32_t rank,
    const struct gyp_res *need, uint64_t for_flow, struct gyp_res *freed);

/*
 * True when all filling runs on the endpoint may be stopped for a task that
 * serves: none of them lasts or is of a gang.
 */
bool gyp_preempt_may_clear(const struct gyp_preempt *, uint32_t row);

/*
 * Work lost if the filling runs on the endpoint that are not being stopped were
 * stopped, in thousandths of a processor times ms.
 */
double gyp_preempt_clearing_cost(const struct gyp_preempt *, uint32_t row);

/*
 * Stops the filling runs on the endpoint for a flow, as far as the limit on
 * stops allows. Those that are not confirmed yet are left to a later round.
 */
void gyp_preempt_clear(struct gyp_preempt *, uint32_t row, uint64_t for_flow);

/* Pops the next run to stop; false when none is left. */
bool gyp_preempt_pop(struct gyp_preempt *, struct gyp_preempt_stop *);

#endif
