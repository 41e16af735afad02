#ifndef GYP_PLACER_CANDIDATES_H
#define GYP_PLACER_CANDIDATES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "admission.h"
#include "capacity_index.h"
#include "fleet.h"
#include "flow.h"
#include "run_stats.h"

/*
 * NAME
 *	placer_candidates - the units that a placement round considers
 *
 * DESCRIPTION
 *	Handles these loads: bursts of urgent flows on a full pool, so units are
 *	ordered by priority, then slack, then age; and lasting tasks that lose
 *	their runs in a full service, so the units of these go first in their
 *	priority and take turns with their admission queries.
 */

struct gyp_placer_candidates {
	const struct gyp_flows *flows;
	const struct gyp_fleet *fleet;
	const struct gyp_admission *admission;
	const struct gyp_run_stats *stats;
	/* All of struct gyp_candidate, the most urgent first: */
	GArray *units;         /* with tasks that can start */
	GArray *prefetch;      /* become ready soon */
	GArray *expiring;      /* lasting, with runs that may be lost */
	uint32_t least_urgent; /* highest rank of the active flows */
};

struct gyp_placer_candidates *gyp_placer_candidates_new(
    const struct gyp_flows *, const struct gyp_fleet *,
    const struct gyp_admission *, const struct gyp_run_stats *);
void gyp_placer_candidates_free(struct gyp_placer_candidates *);

/* Replaces the lists by those of a round at time now; wall_ms is Unix time. */
void gyp_placer_candidates_find(
    struct gyp_placer_candidates *, uint64_t now, uint64_t wall_ms);

/* True if all lists are empty. */
bool gyp_placer_candidates_are_none(const struct gyp_placer_candidates *);

/*
 * Counts the tasks of the flow that need a run: those that could start now, and
 * those that wait for other steps or for their time.
 */
void gyp_placer_count_waiting(const struct gyp_flow *, uint64_t wall_ms,
    uint32_t *waiting, uint32_t *later);

/* True unless the unit is of a repetition that is due later. */
bool gyp_placer_unit_is_due(
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t wall_ms);

#endif
