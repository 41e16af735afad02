#ifndef GYP_ADMISSION_QUERY_H
#define GYP_ADMISSION_QUERY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admission.h"
#include "capacity_index.h"

/*
 * NAME
 *	admission_query - which endpoints to name in an admission query
 *
 * DESCRIPTION
 *	Handles this load: a query takes 30 to 700 ms, more with each endpoint
 *	named, and each VM sends one at a time. A query therefore names the
 *	endpoints with the most free capacity first, and enough of them that
 *	the allowed ones should take all waiting tasks, judging by earlier
 *	answers for the queue: one query about many endpoints is faster than two
 *	about half of them each. Where naming an endpoint is cheap compared with
 *	the query itself, it also names some that are full now but may have free
 *	capacity before the ticket expires. No query is sent while no endpoint
 *	has free capacity for a task of the unit. Endpoints that would have to
 *	be cleared of filling tasks (see clearing.h) count as having it, but
 *	come after the others.
 *
 *	And this one: lasting tasks that lost their runs, all of which must run
 *	again within seconds. Their endpoints are divided among several queries
 *	under way at a time, since each answer takes longer with each endpoint
 *	named, and other work takes the room meanwhile.
 */

/* Most queries under way about a lasting unit; other units have one. */
#define GYP_LASTING_QUERIES_MAX 4

/* Time that the service takes for a query about n endpoints, in ms. */
double gyp_admission_service_ms(const Gyp__FlowQueue *, size_t n);

/* Usual time of a query about as many endpoints as are cheap to name, in ms. */
double gyp_admission_query_ms(const Gyp__FlowQueue *);

/*
 * Returns a query about the unit, recorded as pending, or NULL when there is
 * none to send. slots is the number of queries about the unit that may still be
 * sent now, at least 1.
 */
Gyp__Ask *gyp_admission_query_new(struct gyp_admission *,
    struct gyp_capacity_index *, const struct gyp_candidate *, uint32_t waiting,
    uint32_t slots, uint64_t now);

#endif
