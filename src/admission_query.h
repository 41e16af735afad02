#ifndef GYP_ADMISSION_QUERY_H
#define GYP_ADMISSION_QUERY_H

#include <stdbool.h>
#include <stdint.h>

#include "admission.h"
#include "capacity_index.h"

/*
 * NAME
 *	question - which endpoints to ask the admission service about
 *
 * DESCRIPTION
 *	Load pattern answered: a question takes 30 to 700 ms, more with each
 *	endpoint named, and each VM has one under way at a time. So it names
 *	the endpoints with the most room first, and so many that about enough
 *	of them are expected to be allowed, by what earlier answers for the
 *	queue told: two questions take longer than one that names as many.
 *	Where naming one is cheap against the question itself, it also names
 *	some that are full now and may have room before the ticket runs out. No
 *	question is asked while no endpoint has room for a task of the unit.
 */

/* Returns the question about the unit, noted as under way, or NULL. */
Gyp__Ask *gyp_admission_query_new(struct gyp_admission *,
    struct gyp_capacity_index *, const struct gyp_candidate *, uint32_t waiting,
    uint64_t now);

#endif
