#ifndef GYP_RESERVE_H
#define GYP_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "admission.h"
#include "capacity_index.h"
#include "preempt.h"

/*
 * NAME
 *	reserve - room that is kept for a unit whose tasks find none now
 *
 * DESCRIPTION
 *	Load pattern answered: gangs and wide tasks before a full service, whose
 *	places free one by one and would each go to a smaller task at once; and
 *	bursts of urgent work before a service full of batch work.
 *
 *	A reservation takes what is free and what is coming (see preempt) off
 *	the rooms of a round, so that units of later turn don't get it, and has
 *	less urgent runs stopped for the rest. It is made anew in each round, in
 *	the order of the work, so that an older unit never waits for a younger
 *	one. A gang reserves all of its places or none.
 */

/*
 * Reserves for at most `waiting` tasks of the unit, which has runs stopped
 * only when `preempts`; returns for how many there will be room.
 */
uint32_t gyp_reserve(struct gyp_capacity_index *, struct gyp_preempt *,
    const struct gyp_admission *, const struct gyp_candidate *,
    uint32_t waiting, bool may_preempt);

#endif
