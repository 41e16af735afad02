#ifndef GYP_CAPACITY_INDEX_H
#define GYP_CAPACITY_INDEX_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "flow.h"
#include "preempt.h"
#include "slack.h"
#include "track.h"

/*
 * NAME
 *	rooms - what endpoints have left during a round of placing
 *
 * DESCRIPTION
 *	Load pattern answered: a long queue before a full service. Hundreds of
 *	units wait, each round looks at all of them, and nearly every endpoint
 *	is full. Endpoints are therefore kept in the order of their free
 *	processors, so that a unit is compared only with those that might take
 *	one of its tasks, and each is measured when the round first comes to it:
 *	most rounds come to few of a thousand.
 *
 *	Valid for one round; what the round places is taken off as it goes.
 */

/* An endpoint during a round. */
struct gyp_capacity {
	const struct gyp_host *host; /* NULL when it takes nothing */
	uint32_t round;              /* in which it was measured */
	struct gyp_res available;
	struct gyp_res
	    releasing;     /* when runs that are being stopped have ended */
	bool runs_serving; /* runs tasks with a bound on their tail */
	bool runs_filling; /* runs tasks that take what is left */
	enum gyp_track_word state;
	double slowdown;
};

/* A unit with waiting tasks. */
struct gyp_candidate {
	struct gyp_flow *flow;
	struct gyp_flow_unit *unit;
	enum gyp_slack_state slack;
};

struct gyp_capacity_index;

struct gyp_capacity_index *gyp_capacity_index_new(const struct gyp_flows *,
    const struct gyp_fleet *, const struct gyp_track *,
    const struct gyp_preempt *);
void gyp_capacity_index_free(struct gyp_capacity_index *);

/* Begins a round at time now. */
void gyp_capacity_index_begin_round(struct gyp_capacity_index *, uint64_t now);

struct gyp_capacity *gyp_capacity_index_at(
    const struct gyp_capacity_index *, uint32_t row);
uint32_t gyp_capacity_index_size(const struct gyp_capacity_index *);

/* Time of the round. */
uint64_t gyp_capacity_index_now(const struct gyp_capacity_index *);

/*
 * The i-th row in the order of free processors at the start of the round, the
 * most first, as far as half processors tell; false from the first one on that
 * certainly had fewer than cpu_milli.
 */
bool gyp_capacity_index_nth(
    struct gyp_capacity_index *, guint i, uint64_t cpu_milli, uint32_t *row);

/* Comparisons of an endpoint with a unit in this round; adds n to them. */
uint64_t gyp_capacity_index_comparisons(const struct gyp_capacity_index *);
void gyp_capacity_index_add_comparisons(struct gyp_capacity_index *, guint n);

/* True when an empty endpoint like this one could take tasks of the unit. */
bool gyp_capacity_suits(
    const struct gyp_capacity *, const struct gyp_candidate *);

/*
 * True when the unit's tasks go together on few endpoints, the fullest first.
 * Load pattern answered: tasks of one accelerator beside gangs of which each
 * task needs two, four or all eight of an endpoint: spread over all endpoints,
 * the small ones leave room for none of the large.
 */
bool gyp_candidate_packs(const struct gyp_candidate *);

/* How many more tasks of the unit the endpoint can take; it must suit. */
uint32_t gyp_capacity_count_tasks(
    const struct gyp_capacity *, const struct gyp_candidate *);

/* Likewise, if it had that much free. */
uint32_t gyp_capacity_count_tasks_in(const struct gyp_capacity *,
    const struct gyp_candidate *, const struct gyp_res *available);

/* How good the endpoint is for the unit; higher is better. */
double gyp_capacity_score(
    const struct gyp_capacity *, const struct gyp_candidate *);

/* Books one task of the unit there. */
void gyp_capacity_book(struct gyp_capacity *, const struct gyp_candidate *);

#endif
