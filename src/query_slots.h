#ifndef GYP_QUERY_SLOTS_H
#define GYP_QUERY_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "admission.h"
#include "capacity_index.h"

/*
 * NAME
 *	query_slots - which units send admission queries in a round
 *
 * DESCRIPTION
 *	Handles this load: more units wait than entries are free to carry a
 *	query each. Units are considered in the order of the round, and slow
 *	queries leave some slots free for quick ones, which are about urgent
 *	work. A unit gets several queries at a time only while many slots are
 *	free. One interrupted unit without a query comes first in each round:
 *	its tasks must run again within seconds, however much urgent work waits.
 */

/* The free query slots of a round. */
struct gyp_query_slots {
	struct gyp_admission *admission;
	struct gyp_capacity_index *capacities;
	uint64_t now;
	uint32_t free;
	uint32_t total;     /* including those in use */
	GPtrArray *queries; /* Gyp__Ask to send, at most one for each free slot
			     */
};

/* True when queries about the unit are answered sooner than a run stops. */
bool gyp_query_is_quick(const struct gyp_candidate *);

/* True for an interrupted unit about which nothing is asked yet. */
bool gyp_query_slots_need_first(
    const struct gyp_query_slots *, const struct gyp_candidate *);

/*
 * Adds the first query of the round, about tasks of such a unit, in any free
 * slot. False if there is no endpoint to query about.
 */
bool gyp_query_slots_use_first(
    struct gyp_query_slots *, const struct gyp_candidate *, uint32_t tasks);

/* Adds queries about tasks of the unit when slots are free for them. */
void gyp_query_slots_use(
    struct gyp_query_slots *, const struct gyp_candidate *, uint32_t tasks);

/*
 * The same for a unit that is not ready yet: keeps some of the slots free for
 * units that become ready.
 */
void gyp_query_slots_prefetch(
    struct gyp_query_slots *, const struct gyp_candidate *, uint32_t tasks);

#endif
