#ifndef GYP_ADMISSION_PREFETCH_H
#define GYP_ADMISSION_PREFETCH_H

#include <stdbool.h>

#include "flow.h"
#include "track.h"

/*
 * NAME
 *	ahead - when to ask the admission service about a step to come
 *
 * DESCRIPTION
 *	Load pattern answered: flows of several steps with little time to spare,
 *	each of which begins with a question of 30 to 700 ms. So the question
 *	is asked while the steps before still run: late enough that the ticket
 *	will hold when they end, and only on lanes that nothing else needs.
 */

/*
 * True when the unit waits for others all of which run to their last task and
 * should be over within the life of a ticket.
 */
bool gyp_admission_prefetch_due(const struct gyp_track *,
    const struct gyp_flow *, const struct gyp_flow_unit *);

#endif
