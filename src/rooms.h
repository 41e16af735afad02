#ifndef GYP_ROOMS_H
#define GYP_ROOMS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "flow.h"
#include "preempt.h"
#include "run_stats.h"
#include "slack.h"

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
struct gyp_room {
	const struct gyp_host *host; /* NULL when it takes nothing */
	uint32_t round;              /* in which it was measured */
	struct gyp_res left;
	struct gyp_res coming; /* when runs that are being stopped have ended */
	bool serves;           /* runs tasks with a bound on their tail */
	bool filled;           /* runs tasks that take what is left */
	enum gyp_run_stats_state word;
	double pace;
};

/* A unit with waiting tasks. */
struct gyp_candidate {
	struct gyp_flow *flow;
	struct gyp_flow_unit *unit;
	enum gyp_slack_word slack;
};

struct gyp_rooms;

struct gyp_rooms *gyp_rooms_new(const struct gyp_flows *,
    const struct gyp_fleet *, const struct gyp_run_stats *,
    const struct gyp_preempt *);
void gyp_rooms_free(struct gyp_rooms *);

/* Begins a round at time now. */
void gyp_rooms_begin(struct gyp_rooms *, uint64_t now);

struct gyp_room *gyp_rooms_at(const struct gyp_rooms *, uint32_t row);
uint32_t gyp_rooms_size(const struct gyp_rooms *);

/* Time of the round. */
uint64_t gyp_rooms_now(const struct gyp_rooms *);

/*
 * The i-th row in the order of free processors at the start of the round, the
 * most first, as far as half processors tell; false from the first one on that
 * certainly had fewer than cpu_milli.
 */
bool gyp_rooms_nth(
    struct gyp_rooms *, guint i, uint64_t cpu_milli, uint32_t *row);

/* Comparisons of an endpoint with a unit in this round; adds n to them. */
uint64_t gyp_rooms_compared(const struct gyp_rooms *);
void gyp_rooms_count(struct gyp_rooms *, guint n);

/* True when an empty endpoint like this one could take tasks of the unit. */
bool gyp_room_suits(const struct gyp_room *, const struct gyp_candidate *);

/*
 * True when the unit's tasks go together on few endpoints, the fullest first.
 * Load pattern answered: tasks of one accelerator beside gangs of which each
 * task needs two, four or all eight of an endpoint: spread over all endpoints,
 * the small ones leave room for none of the large.
 */
bool gyp_candidate_packs(const struct gyp_candidate *);

/* How many more tasks of the unit the endpoint can take; it must suit. */
uint32_t gyp_room_count(const struct gyp_room *, const struct gyp_candidate *);

/* Likewise, if it had that much free. */
uint32_t gyp_room_count_of(const struct gyp_room *,
    const struct gyp_candidate *, const struct gyp_res *have);

/* How good the endpoint is for the unit; higher is better. */
double gyp_room_score(const struct gyp_room *, const struct gyp_candidate *);

/* Books one task of the unit there. */
void gyp_room_take(struct gyp_room *, const struct gyp_candidate *);

#endif
