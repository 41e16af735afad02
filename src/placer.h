#ifndef GYP_PLACER_H
#define GYP_PLACER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "admission.h"
#include "fleet.h"
#include "flow.h"
#include "preempt.h"
#include "track.h"

/*
 * NAME
 *	placer - which task of a flow begins where, and what to ask first
 *
 * DESCRIPTION
 *	Load patterns answered: bursts of urgent flows on top of a service that
 *	is three quarters full (order by priority, by slack, then by age); wide
 *steps and gangs beside narrow ones (a gang is placed as a whole or not at
 *all); a slow admission service (questions in the same order as the work, one
 *	a unit at a time, naming the endpoints with the most room); endpoints
 *	that fail or turned slow (see track: none, one or few runs there, and
 *	no task again where it failed). What finds no room now has room kept
 *	for it, see reserve, and less urgent runs stopped, see preempt.
 *
 *	A round reads the tables, the fleet and the admissions, and returns
 *	commands and questions. It changes none of the tables; what a round
 *	proposed counts in the next one only when it was committed.
 */

struct gyp_placer;

struct gyp_placer *gyp_placer_new(struct gyp_flows *, struct gyp_fleet *,
    struct gyp_admission *, const struct gyp_track *);
void gyp_placer_free(struct gyp_placer *);

/*
 * One round at time now, with Unix time wall_ms. Appends Gyp__Cmd to cmds
 * and at most lanes Gyp__Ask to asks, of all_lanes that there are; the caller
 * owns both.
 */
void gyp_placer_round(struct gyp_placer *, uint64_t now, uint64_t wall_ms,
    uint32_t slots, uint32_t all_slots, GPtrArray *cmds, GPtrArray *queries);

/* Takes the next run that is to be stopped for more urgent work. */
bool gyp_placer_pop_stop(struct gyp_placer *, struct gyp_preempt_stop *);

/* How often the latest round compared a unit with an endpoint. */
uint64_t gyp_placer_comparisons(const struct gyp_placer *);

#endif
