#ifndef GYP_ADMISSION_H
#define GYP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "flow.h"

/*
 * NAME
 *	admission - which endpoints a policy service allows for a step
 *
 * DESCRIPTION
 *	Load pattern answered: the service takes one call at a time from each
 *	VM, and a call takes long; so questions are spread over the entries,
 *	name few endpoints, and what was learnt is kept. Whether an endpoint
 *	may run a step does not change; the ticket that says so is valid for a
 *	while only, and for one life of the endpoint.
 *
 *	Steps are asked about by repetition. No input or output here: the
 *	caller hands the questions to the entries and their answers back.
 */

enum gyp_admission_state {
	GYP_ADMISSION_UNKNOWN,
	GYP_ADMISSION_PENDING, /* a question that names it is under way */
	GYP_ADMISSION_DENIED,
	GYP_ADMISSION_EXPIRED, /* allowed, but the ticket ran out */
	GYP_ADMISSION_ALLOWED
};

struct gyp_admission;

/* What is known of the endpoints for one unit. */
struct gyp_admission_unit;

/* Questions are numbered from first_id on, which no earlier leader used. */
struct gyp_admission *gyp_admission_new(struct gyp_flows *, uint64_t first_id);
void gyp_admission_free(struct gyp_admission *);

/* NULL when nothing is known; valid until the next question or answer. */
const struct gyp_admission_unit *gyp_admission_unit(
    const struct gyp_admission *, const struct gyp_flow *,
    const struct gyp_flow_unit *);

/* The unit may be NULL. */
enum gyp_admission_state gyp_admission_state(const struct gyp_admission *,
    const struct gyp_admission_unit *, uint32_t row, uint64_t now);

/*
 * Rows that were ever allowed for the unit, which may be NULL; the word says
 * whether they are still. Valid until the next answer.
 */
const uint32_t *gyp_admission_allowed_rows(
    const struct gyp_admission_unit *, guint *n);

/* Share of the endpoints that the service allows for steps of a queue. */
double gyp_admission_allowed_share(
    const struct gyp_admission *, const char *queue);

/* The valid ticket, or NULL; owned by the table until the next answer. */
const char *gyp_admission_ticket(const struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint32_t row,
    uint64_t now);

/* True while a question about the unit, which may be NULL, is under way. */
bool gyp_admission_has_pending_query(const struct gyp_admission_unit *);

/*
 * There is nothing to ask about the unit, which may be NULL, until that time.
 * Load pattern answered: units that wait for room with all answers known; to
 * find out that nothing is left to ask takes a look at all endpoints.
 */
void gyp_admission_pause_queries(struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint64_t until);
bool gyp_admission_is_paused(const struct gyp_admission_unit *, uint64_t now);

/* Notes a question about these rows; returns it for an entry. */
Gyp__Ask *gyp_admission_begin_query(struct gyp_admission *, uint64_t now,
    const struct gyp_flow *, const struct gyp_flow_unit *, const uint32_t *rows,
    guint n);

/* Takes the answer to a question; unknown ones are ignored. */
void gyp_admission_record_answer(
    struct gyp_admission *, uint64_t now, const Gyp__Advised *);

/* The question got no answer: its endpoints are unknown again. */
void gyp_admission_drop_query(struct gyp_admission *, uint64_t query);

/* The endpoint refused the ticket. */
void gyp_admission_ticket_refused(struct gyp_admission *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint32_t row);

/* Forgets what is known of a flow. */
void gyp_admission_forget_flow(struct gyp_admission *, const struct gyp_flow *);

#endif
