#ifndef GYP_STRAGGLER_CHECK_H
#define GYP_STRAGGLER_CHECK_H

#include <stdint.h>

#include "event.h"
#include "fleet.h"
#include "flow.h"
#include "run_stats.h"

/*
 * NAME
 *	straggler_check - has runs that stall or are slow stopped
 *
 * DESCRIPTION
 *	Compares the runs of the fleet with what tasks like them take, several
 *	times a second, and stops those that straggler.h says to restart
 *	elsewhere.
 */

struct gyp_straggler_check;

/* events may be NULL; the arguments must outlive the result. */
struct gyp_straggler_check *gyp_straggler_check_new(const struct gyp_flows *,
    struct gyp_fleet *, struct gyp_run_stats *, struct gyp_events *events);
void gyp_straggler_check_free(struct gyp_straggler_check *);

/* Checks all runs, if that is due; now is in ms. */
void gyp_straggler_check_tick(struct gyp_straggler_check *, uint64_t now);

#endif
