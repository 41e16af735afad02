#ifndef GYP_QUERY_HOLDS_H
#define GYP_QUERY_HOLDS_H

#include <stdint.h>

#include "admission.h"
#include "capacity_index.h"

/*
 * NAME
 *	query_holds - room held for lasting units while they are queried about
 *
 * DESCRIPTION
 *	Handles this load: lasting tasks that wait for the answer to an
 *	admission query in a nearly full pool. Each time that it came, less
 *	urgent work had taken the room at the endpoints allowed.
 *
 *	And this one: the same for tasks whose endpoints are silent and whose
 *	leases there are over soon, from the query about them to the end of
 *	their runs.
 *
 *	Room is held at the endpoints that a pending query names, and at those
 *	allowed before whose tickets have expired. It is held for one round, and
 *	only against units that come later in the order of the round and are
 *	less urgent or do not last. Another lasting unit of the same rank may
 *	use it: that one could start now, while the first may not be allowed
 *	there. No runs are stopped. Nothing is held for a unit whose latest
 *	query got no answer.
 */

struct gyp_query_holds;

struct gyp_query_holds *gyp_query_holds_new(
    struct gyp_capacity_index *, const struct gyp_admission *);
void gyp_query_holds_free(struct gyp_query_holds *);

/* Starts a round without holds. */
void gyp_query_holds_clear(struct gyp_query_holds *);

/*
 * Adds tasks of the unit that wait for an answer. Has no effect unless the unit
 * lasts; nor for gangs, which need room for all tasks at once.
 */
void gyp_query_holds_add(
    struct gyp_query_holds *, const struct gyp_candidate *, uint32_t tasks);

/*
 * The same for tasks whose runs are expected to end soon; also holds room at
 * endpoints for which the unit has a valid ticket.
 */
void gyp_query_holds_add_lost(
    struct gyp_query_holds *, const struct gyp_candidate *, uint32_t tasks);

/*
 * Deducts from the capacities of the round what is held against the next unit
 * and those after it.
 */
void gyp_query_holds_apply(
    struct gyp_query_holds *, const struct gyp_candidate *next);

#endif
