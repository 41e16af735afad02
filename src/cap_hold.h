#ifndef GYP_CAP_HOLD_H
#define GYP_CAP_HOLD_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "placer_candidates.h"
#include "run_stats.h"

/*
 * NAME
 *	cap_hold - what the cap of a workspace keeps for a unit that has waited
 *	too long
 *
 * DESCRIPTION
 *	Handles these loads: a gang or a large task next to a stream of small
 *	tasks of its workspace, which would take what it needs each time that a
 *	run ends; and the same behind long or lasting runs, where the small
 *	tasks must not wait for it in vain.
 *
 *	In each round, the first starving unit of a workspace that its cap
 *	keeps from starting gets a reservation: a time from which it is expected
 *	to fit, by the expected ends of the runs. Lasting runs are not expected
 *	to end; if it does not fit beside them, it gets none. Until it starts,
 *	other tasks of the workspace start only if they are expected to end
 *	before that time, or fit beside it at that time. (This is backfill with
 *	one reservation, as EASY of Lifka, 1995, does it.)
 *
 *	A run that goes on for longer than expected is taken to go on for as
 *	long again as it is late. Once the unit would fit but for runs that
 *	began while it waited, they are taken to end at once instead, so that
 *	its delay is bounded even if all expectations are wrong: by the longest
 *	run that was let ahead of it. Times are cell time, in ms.
 */

/* Whether a unit can start under the cap of its workspace. */
enum gyp_cap_fit {
	GYP_CAP_FITS,    /* once enough runs that are not lasting have ended */
	GYP_CAP_LASTING, /* not beside the lasting runs of the workspace */
	GYP_CAP_TOO_LOW  /* not even alone under the whole cap */
};

/* The use may be a copy; units of flows without a workspace fit. */
enum gyp_cap_fit gyp_cap_fit(
    const struct gyp_workspace_use *, const struct gyp_flow_unit *);

/* What a cap keeps in one round; all zeroes: nothing. */
struct gyp_cap_hold {
	const struct gyp_flow_unit *holder; /* NULL: nothing is kept */
	uint64_t from_ms;      /* cell time from which it is expected to fit */
	struct gyp_res beside; /* what others may use beyond that time */
};

/*
 * Reserves for the unit, if it is starving, nothing is kept yet, and it fits
 * beside the lasting runs. `used` is what counts under the cap now. Reads all
 * open runs of the workspace.
 */
void gyp_cap_hold_add(struct gyp_cap_hold *, const struct gyp_flows *,
    const struct gyp_run_stats *, const struct gyp_candidate *,
    const struct gyp_res *used);

/*
 * Returns how many of n tasks of the unit, which fit under the cap, may start
 * in spite of the reservation.
 */
uint32_t gyp_cap_hold_count(const struct gyp_cap_hold *,
    const struct gyp_flows *, const struct gyp_run_stats *,
    const struct gyp_candidate *, uint32_t n);

/* Notes that so many tasks of the unit are started by this round. */
void gyp_cap_hold_note_start(struct gyp_cap_hold *, const struct gyp_flows *,
    const struct gyp_run_stats *, const struct gyp_candidate *, uint32_t tasks);

#endif
