#ifndef GYP_SLACK_H
#define GYP_SLACK_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "run_stats.h"

/*
 * NAME
 *	slack - whether waiting work can still meet its objective
 *
 * DESCRIPTION
 *	Handles this load: more work than a pool can do for many seconds.
 *	Ordered by age alone, all of it would end late, since each flow would
 *	start when its time has just run out. A flow that can no longer meet its
 *	objective is therefore ordered after the flows of its priority that can,
 *	and no runs are stopped for it. It starts when capacity is free, and
 *	moves to the front of its priority when it has been late for
 *	GYP_SLACK_STARVE_MS, so that it ends however long the load lasts.
 *
 *	The objective is set by the queue: a multiple of the longest chain of
 *	dependent steps, plus a fixed time. Run times are those measured so far,
 *	see run_stats.h.
 *
 *	And this one: a full service in which lasting tasks lose their runs
 *	while others wait for their first one. Callers rely on those that ran,
 *	so they go before all other work of their priority, those that
 *	have been down longest first.
 */

/* Longest time for which late work is ordered after other work, in ms. */
#define GYP_SLACK_STARVE_MS 20000

enum gyp_slack_state {
	GYP_SLACK_INTERRUPTED, /* lasting tasks lost their runs: ordered first
				*/
	GYP_SLACK_STARVING,    /* late for too long: ordered next */
	GYP_SLACK_IN_TIME,     /* also without an objective */
	GYP_SLACK_LATE
};

/*
 * Returns the slack of the flow, in ms, if the unit starts at cell time now_ms;
 * negative when it is late, DBL_MAX for work without an objective.
 */
double gyp_slack_ms(const struct gyp_run_stats *, const struct gyp_flow *,
    const struct gyp_flow_unit *, uint64_t now_ms);

/*
 * Returns the state of the unit at cell time now_ms; now is the time of the
 * statistics.
 */
enum gyp_slack_state gyp_slack_state(const struct gyp_run_stats *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t now,
    uint64_t now_ms);

/*
 * True if the lasting task waits for another run, not for its first, and has
 * not failed recently: one that fails at once again and again must not go
 * before other work each time.
 */
bool gyp_slack_is_interrupted(const struct gyp_run_stats *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint32_t task,
    uint64_t now);

/*
 * Returns the cell time at which the longest of these outages of the unit
 * began, UINT64_MAX if none of its tasks is interrupted.
 */
uint64_t gyp_slack_down_since(const struct gyp_run_stats *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t now);

#endif
