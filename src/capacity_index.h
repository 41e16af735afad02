#ifndef GYP_CAPACITY_INDEX_H
#define GYP_CAPACITY_INDEX_H

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
 *	capacity_index - free capacity of endpoints during a placement round
 *
 * DESCRIPTION
 *	Handles this load: a long queue for a full pool. Hundreds of units
 *	wait, each round visits all of them, and nearly every endpoint is full.
 *	The index therefore keeps endpoints in the order of their free CPU, so
 *	that a unit is compared only with endpoints that may take one of its
 *	tasks, and computes the capacity of an endpoint on its first use in a
 *	round: most rounds use few of a thousand.
 *
 *	The index is valid for one round; capacity that the round assigns is
 *	deducted at once.
 */

/* Capacity of an endpoint during a round. */
struct gyp_capacity {
	const struct gyp_host *host; /* NULL when the endpoint takes no runs */
	uint32_t round;              /* round in which this was computed */
	struct gyp_res available;
	struct gyp_res releasing; /* becomes free when runs being stopped end */
	bool runs_serving;        /* runs tasks with a bound on tail latency */
	bool runs_filling;        /* runs tasks that use all spare capacity */
	bool may_clear;           /* of these, all could be stopped */
	bool held;   /* no filling task may start, see clearing.h */
	bool silent; /* not heard from lately */
	enum gyp_run_stats_state state;
	double slowdown;
};

/* A unit with tasks that wait for a run. */
struct gyp_candidate {
	struct gyp_flow *flow;
	struct gyp_flow_unit *unit;
	enum gyp_slack_state slack;
	uint32_t rank;       /* see gyp_flow_rank() */
	uint64_t asked_at;   /* see gyp_admission_asked_at() */
	uint64_t down_since; /* see gyp_slack_down_since() */
	/* Time at which tickets are needed, if later than now. */
	uint64_t needed_at;
};

/*
 * Sets the host and what is available and runs there by the tables alone. The
 * host stays NULL if more is booked than the endpoint has.
 */
void gyp_capacity_set_tables(struct gyp_capacity *, const struct gyp_host *);

struct gyp_capacity_index;

struct gyp_capacity_index *gyp_capacity_index_new(const struct gyp_flows *,
    const struct gyp_fleet *, const struct gyp_run_stats *,
    const struct gyp_preempt *);
void gyp_capacity_index_free(struct gyp_capacity_index *);

/* Starts a round at time now. */
void gyp_capacity_index_begin_round(struct gyp_capacity_index *, uint64_t now);

struct gyp_capacity *gyp_capacity_index_at(
    const struct gyp_capacity_index *, uint32_t row);
uint32_t gyp_capacity_index_size(const struct gyp_capacity_index *);

/* Returns the time of the round. */
uint64_t gyp_capacity_index_now(const struct gyp_capacity_index *);

/* Number of endpoints in the order of gyp_capacity_index_nth(). */
uint32_t gyp_capacity_index_count(struct gyp_capacity_index *);

/*
 * Gets the i-th row in descending order of free CPU at the start of the round,
 * to a resolution of half a processor. Returns false when the row certainly has
 * less than cpu_milli free; *row is set all the same, and all later rows have
 * less too. Past the last row, returns false and leaves *row unchanged.
 */
bool gyp_capacity_index_nth(
    struct gyp_capacity_index *, guint i, uint64_t cpu_milli, uint32_t *row);

/*
 * Returns the number of comparisons of an endpoint with a unit in this round;
 * the second function adds n to it.
 */
uint64_t gyp_capacity_index_comparisons(const struct gyp_capacity_index *);
void gyp_capacity_index_add_comparisons(struct gyp_capacity_index *, guint n);

/* Why an endpoint may not run tasks of a unit. */
enum gyp_misfit {
	GYP_MISFIT_NONE,
	GYP_MISFIT_POOL,     /* of another pool */
	GYP_MISFIT_CONTACT,  /* not in contact, or leaving */
	GYP_MISFIT_FAILURES, /* quarantined, or its probe is running */
	GYP_MISFIT_SIZE,     /* too small even when empty */
	GYP_MISFIT_LABEL,    /* lacks the label of the step */
	GYP_MISFIT_SHARING,  /* serving and filling tasks do not share one */
	GYP_MISFITS          /* number of these values */
};

enum gyp_misfit gyp_capacity_misfit(
    const struct gyp_capacity *, const struct gyp_candidate *);

/* Counts the endpoints of the flow's pool by enum gyp_misfit. */
void gyp_capacity_index_count_misfits(const struct gyp_capacity_index *,
    const struct gyp_candidate *, uint32_t counts[GYP_MISFITS]);

/*
 * True when the endpoint may run tasks of the unit, regardless of how much of
 * its capacity is free now.
 */
bool gyp_capacity_suits(
    const struct gyp_capacity *, const struct gyp_candidate *);

/* True when endpoints may be cleared of filling tasks for the unit. */
bool gyp_candidate_clears(const struct gyp_candidate *);

/*
 * True when the endpoint would suit if the filling tasks there were stopped,
 * and they may be, see clearing.h.
 */
bool gyp_capacity_suits_when_cleared(
    const struct gyp_capacity *, const struct gyp_candidate *);

/*
 * True when the tasks of the unit are packed on few endpoints, the fullest
 * first.
 *
 * Handles this load: tasks that use one accelerator, next to gangs whose tasks
 * need two, four or all eight of an endpoint. If the small tasks were spread
 * over all endpoints, none could take the large ones.
 */
bool gyp_candidate_packs(const struct gyp_candidate *);

/*
 * Returns how many more tasks of the unit the endpoint can take. Requires
 * gyp_capacity_suits() or gyp_capacity_suits_when_cleared().
 */
uint32_t gyp_capacity_count_tasks(
    const struct gyp_capacity *, const struct gyp_candidate *);

/* The same, for the given free capacity. */
uint32_t gyp_capacity_count_tasks_in(const struct gyp_capacity *,
    const struct gyp_candidate *, const struct gyp_res *available);

/* Rates the endpoint for the unit; higher is better. */
double gyp_capacity_score(
    const struct gyp_capacity *, const struct gyp_candidate *);

/* Deducts one task of the unit from the free capacity. */
void gyp_capacity_book(struct gyp_capacity *, const struct gyp_candidate *);

#endif
