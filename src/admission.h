#ifndef GYP_ADMISSION_H
#define GYP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "flow.h"

/*
 * NAME
 *	admission - which endpoints the admission service allows for a step
 *
 * DESCRIPTION
 *	Handles this load: the admission service takes one call at a time from
 *	each VM, and each call is slow. Queries are therefore spread over the
 *	entries and name few endpoints, and answers are kept. Whether an
 *	endpoint may run a step does not change in one incarnation of the
 *	endpoint, which the next one need not share: it may be of another kind.
 *	The ticket that proves it is valid for a limited time in that
 *	incarnation.
 *
 *	Each repetition of a step is queried separately. This module does no
 *	I/O: the caller passes the queries to the entries and their answers
 *	back.
 */

enum gyp_admission_state {
	GYP_ADMISSION_UNKNOWN,
	GYP_ADMISSION_PENDING, /* named in a query without an answer yet */
	GYP_ADMISSION_DENIED,
	GYP_ADMISSION_EXPIRED, /* allowed, but the ticket has expired */
	GYP_ADMISSION_ALLOWED
};

struct gyp_admission;

/* Answers about the endpoints for one unit. */
struct gyp_admission_unit;

/*
 * Query ids start at first_id; those of earlier leaders are lower. held_ms is
 * the longest time for which an answer to a query of an earlier leader may have
 * waited for this one.
 */
struct gyp_admission *gyp_admission_new(
    struct gyp_flows *, uint64_t first_id, uint64_t held_ms);
void gyp_admission_free(struct gyp_admission *);

/*
 * Returns NULL when the unit was never queried; valid until the next query or
 * answer.
 */
const struct gyp_admission_unit *gyp_admission_unit(
    const struct gyp_admission *, const struct gyp_flow *,
    const struct gyp_flow_unit *);

/* The unit may be NULL. */
enum gyp_admission_state gyp_admission_state(const struct gyp_admission *,
    const struct gyp_admission_unit *, uint32_t row, uint64_t now);

/*
 * Returns the rows that were ever allowed for the unit, which may be NULL;
 * gyp_admission_state() returns whether they still are. Valid until the next
 * answer.
 */
const uint32_t *gyp_admission_granted_rows(
    const struct gyp_admission_unit *, guint *n);

/* The same for the rows that pending queries name. */
const uint32_t *gyp_admission_pending_rows(
    const struct gyp_admission_unit *, guint *n);

/* True if the latest answer allowed the row, even if its ticket has expired. */
bool gyp_admission_was_allowed(const struct gyp_admission_unit *, uint32_t row);

/*
 * Estimated share of endpoints that the admission service allows for steps of
 * the queue.
 */
double gyp_admission_allowed_share(
    const struct gyp_admission *, const char *queue);

/*
 * Returns the valid ticket, or NULL; owned by the table until the next answer.
 */
const char *gyp_admission_ticket(const struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint32_t row,
    uint64_t now);

/* True while a query about the unit, which may be NULL, has no answer yet. */
bool gyp_admission_has_pending_query(const struct gyp_admission_unit *);

/* The queries about a unit that have no answer yet. */
struct gyp_admission_pending {
	uint32_t queries; /* but for overdue ones */
	uint32_t overdue;
	double expected; /* tasks that their endpoints are expected to take */
};

/* The unit may be NULL. */
struct gyp_admission_pending gyp_admission_pending(
    const struct gyp_admission_unit *);

/*
 * Pauses queries about the unit until the given time; has no effect on a unit
 * that was never queried. gyp_admission_is_paused() accepts NULL.
 *
 * Handles this load: units that wait for capacity while the answers about all
 * endpoints are known. Finding that no endpoint is left to query requires a
 * scan of all of them.
 */
void gyp_admission_pause_queries(struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t until);
bool gyp_admission_is_paused(const struct gyp_admission_unit *, uint64_t now);

/* An endpoint named in a query. */
struct gyp_admission_target {
	uint32_t row;
	double expected;      /* tasks that the endpoint is expected to take */
	struct gyp_res claim; /* expected use by the unit once it is allowed */
};

/*
 * Records a query about the given endpoints as pending and returns it, to be
 * sent by an entry.
 */
Gyp__Ask *gyp_admission_begin_query(struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t now,
    const struct gyp_admission_target *, guint n);

/* True if a query about the unit got no answer, and no later one has got one.
 */
bool gyp_admission_query_failed(const struct gyp_admission_unit *);

/* Time of the latest query about the unit, which may be NULL; 0: never. */
uint64_t gyp_admission_asked_at(const struct gyp_admission_unit *);

/*
 * Sum of what the units with pending queries are expected to use on the
 * endpoint.
 *
 * Handles this load: many slow queries at a time, each of which would name the
 * same endpoints with the most free capacity. By the time of the answers the
 * first unit has used it, and the other queries were useless.
 */
struct gyp_res gyp_admission_claimed(
    const struct gyp_admission *, uint32_t row);

/*
 * Records the answer to a query. Of an answer to a query of an earlier leader,
 * it records the tickets, if the answer says what it is about. Ignores answers
 * to other unknown queries.
 */
void gyp_admission_record_answer(
    struct gyp_admission *, uint64_t now, const Gyp__Advised *);

/*
 * Lets the endpoints of an overdue query be queried again; its answer is still
 * recorded when it arrives.
 */
void gyp_admission_query_overdue(struct gyp_admission *, uint64_t query);

/* Closes a query that got no answer: its endpoints can be queried again. */
void gyp_admission_drop_query(struct gyp_admission *, uint64_t query);

/* Invalidates a ticket that the endpoint refused. */
void gyp_admission_ticket_refused(struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint32_t row);

/* Removes all answers and queries for the units of a flow. */
void gyp_admission_forget_flow(struct gyp_admission *, const struct gyp_flow *);

#endif
