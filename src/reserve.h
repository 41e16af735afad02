#ifndef GYP_RESERVE_H
#define GYP_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "admission.h"
#include "capacity_index.h"
#include "preempt.h"

/*
 * NAME
 *	reserve - capacity kept for units whose tasks cannot be placed now
 *
 * DESCRIPTION
 *	Handles these loads: gangs and wide tasks that wait for a full pool,
 *	whose capacity becomes free piece by piece, and each piece would go to a
 *	smaller task at once; and bursts of urgent work that wait for a pool
 *	full of batch work.
 *
 *	A reservation deducts free capacity and capacity being released (see
 *	preempt.h) from the index of the round, so that units later in the order
 *	do not get it, and has less urgent runs stopped for the rest.
 *	Reservations are made again in each round, in the order of the units, so
 *	that an older unit never waits for a younger one. A gang reserves
 *	nothing if the endpoints together cannot take all of its tasks.
 *	Nothing is reserved at endpoints whose tickets are over for a unit whose
 *	latest query got no answer.
 */

/*
 * Reserves capacity for at most `waiting` tasks of the unit; stops runs for it
 * only when may_preempt is set. Returns the number of tasks for which capacity
 * is reserved.
 */
uint32_t gyp_reserve(struct gyp_capacity_index *, struct gyp_preempt *,
    const struct gyp_admission *, const struct gyp_candidate *,
    uint32_t waiting, bool may_preempt);

#endif
