#ifndef GYP_SLACK_H
#define GYP_SLACK_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "track.h"

/*
 * NAME
 *	slack - whether work that waits can still meet its objective
 *
 * DESCRIPTION
 *	Load pattern answered: more work than a service can do for many seconds.
 *	In the order of age alone, all of it ends late, since each flow begins
 *	when its time has just run out. So a flow that can no longer meet its
 *	objective goes behind those of its priority that can, and has nothing
 *	stopped for it. It begins when there is room, and comes first in its
 *	priority again when it has been late for GYP_SLACK_STARVE_MS, so that
 *	it ends however long the load lasts.
 *
 *	The objective is what the queue says: a multiple of the longest chain
 *	of work, and a time on top. Times are those that were learnt.
 */

/* Longest time for which late work goes behind other work, in ms. */
#define GYP_SLACK_STARVE_MS 20000

enum gyp_slack_state {
	GYP_SLACK_STARVING, /* late for long: comes first */
	GYP_SLACK_IN_TIME,  /* or without an objective */
	GYP_SLACK_LATE
};

/*
 * Time that the flow has to spare when the unit begins at cell time now_ms, in
 * ms; below 0 when it is late. Very much for work without an objective.
 */
double gyp_slack_ms(const struct gyp_track *, const struct gyp_flow *,
    const struct gyp_flow_unit *, uint64_t now_ms);

/* Of a unit that could begin at cell time now_ms. */
enum gyp_slack_state gyp_slack_state(const struct gyp_track *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t now_ms);

#endif
