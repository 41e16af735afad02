#ifndef GYP_PLACER_H
#define GYP_PLACER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "admission.h"
#include "capacity_index.h"
#include "fleet.h"
#include "flow.h"
#include "placer_candidates.h"
#include "preempt.h"
#include "run_stats.h"

/*
 * NAME
 *	placer - which tasks of flows start where, and which admission queries
 *	are sent
 *
 * DESCRIPTION
 *	Handles these loads:
 *	- bursts of urgent flows on top of a pool that is three quarters full:
 *	  units are ordered by priority, then slack, then age;
 *	- wide steps and gangs next to narrow ones: a gang is placed as a whole
 *	  or not at all;
 *	- a slow admission service: queries are sent in the order of the units,
 *	  one per unit at a time, more for lasting units while many slots are
 *	  free, and name the endpoints with the most free capacity first;
 *	- endpoints that fail or become slow: they get no runs, a single probe,
 *	  or fewer runs, see run_stats.h, and for a while a task is not retried
 *	  where it failed.
 *
 *	For units that the cap of their workspace holds up, room under it is
 *	kept (see cap_hold.h).
 *
 *	For tasks that cannot be placed, capacity is reserved (see reserve.h)
 *	and less urgent runs are stopped (see preempt.h). Endpoints are cleared
 *	of filling work for lasting tasks that serve (see clearing.h).
 *
 *	A round reads the tables, the fleet and the admission state, and returns
 *	commands and admission queries. It changes none of the tables: a
 *	proposed run counts in later rounds only after its command is committed.
 */

struct gyp_placer;

struct gyp_placer *gyp_placer_new(struct gyp_flows *, struct gyp_fleet *,
    struct gyp_admission *, const struct gyp_run_stats *);
void gyp_placer_free(struct gyp_placer *);

/*
 * Runs one round at time now; wall_ms is Unix time. Appends Gyp__Cmd to cmds
 * and at most free_slots Gyp__Ask to queries; total_slots is the number of all
 * query slots, including those in use. The caller owns both arrays.
 */
void gyp_placer_round(struct gyp_placer *, uint64_t now, uint64_t wall_ms,
    uint32_t free_slots, uint32_t total_slots, GPtrArray *cmds,
    GPtrArray *queries);

/*
 * Pops the next run to be stopped for more urgent work; false when none is
 * left.
 */
bool gyp_placer_pop_stop(struct gyp_placer *, struct gyp_preempt_stop *);

/* What the latest round did with the units whose tasks waited. */
struct gyp_placer_summary {
	uint32_t units;       /* units with waiting tasks that were due */
	uint32_t over_cap;    /* of these, without room under the cap */
	uint32_t no_capacity; /* of these, without an endpoint for all tasks */
	uint32_t queried;     /* of the latter, with a query under way */
};

const struct gyp_placer_summary *gyp_placer_summary(const struct gyp_placer *);

/*
 * Work of the pool that could start and found no room in the latest round, in
 * thousandths of a processor times ms. Work that waits for a cap is left out.
 */
double gyp_placer_waiting(const struct gyp_placer *, const char *pool);

/* Why tasks of a workspace that could start have no run. */
enum gyp_placer_wait {
	GYP_PLACER_WAIT_NONE,
	GYP_PLACER_WAIT_CAP,        /* the cap of the workspace */
	GYP_PLACER_WAIT_LASTING,    /* lasting runs use what it needs of it */
	GYP_PLACER_WAIT_HIGHER_CAP, /* it needs more than the cap */
	GYP_PLACER_WAIT_CAPACITY,   /* endpoints have no room */
	GYP_PLACER_WAIT_QUERY       /* an admission query is under way */
};

/*
 * Returns why the most urgent unit of the workspace that was not placed as a
 * whole in the latest round waits.
 */
enum gyp_placer_wait gyp_placer_wait(
    const struct gyp_placer *, const struct gyp_workspace_use *);

/*
 * Previews of flows that are not in the tables. They propose nothing and change
 * no later round.
 */

/* Computes the capacities, which stay valid until the next round. */
const struct gyp_capacity_index *gyp_placer_begin_preview(
    struct gyp_placer *, uint64_t now);

/*
 * Returns the endpoints that can take tasks of the unit now, whatever the
 * admission service allows; unsorted, see gyp_ranking_keep_best().
 */
GArray *gyp_placer_preview(
    const struct gyp_placer *, const struct gyp_candidate *);

/*
 * Returns how many of the unit's waiting tasks may start under the cap of
 * flow->use. If its row is not in the tables, only the committed use counts.
 */
uint32_t gyp_placer_allowance(
    const struct gyp_placer *, const struct gyp_candidate *);

/*
 * Time in which the workspace could do the work that it had waiting in the
 * latest round, if it used its whole cap, in ms. Work that cannot start beside
 * its lasting runs is left out.
 */
double gyp_placer_cap_wait_ms(
    const struct gyp_placer *, const struct gyp_workspace_use *);

/* Number of comparisons of a unit with an endpoint in the latest round. */
uint64_t gyp_placer_comparisons(const struct gyp_placer *);

#endif
