#ifndef PAIR_FIXTURE_H
#define PAIR_FIXTURE_H

#include "flow_fixture.h"

/*
 * NAME
 *	pair_fixture - two endpoints with a provider's list, for tests
 *
 * DESCRIPTION
 *	Endpoint "a" has the runs of a step of two tasks; "b" answers all its
 *	polls. The first incarnation of "a" starts at time 1.
 */

#define PAIR_FIXTURE_FLOW 0xf1ULL

/* Time by which a list may be out of date, in ms. */
#define PAIR_FIXTURE_LAG_MS 2000

struct pair_fixture {
	struct flow_fixture base;
	uint32_t a, b;        /* rows of the endpoints */
	const char *lists;    /* the ids of each list, a letter each */
	bool a_lost;          /* calls to "a" are lost */
	uint32_t lost_starts; /* starts at "a" that get no answer */
	bool long_polls_wait; /* those of "a" get no answer */
	uint64_t a_incarnation;
	size_t n_up; /* runs that "a" lists */
	struct flow_fixture_run up[2];
};

/* Two endpoints that have been known for a while, and a step of two tasks. */
void pair_fixture_init_with(struct pair_fixture *, bool lasting, bool gang);
/* The same with a lasting step that is no gang. */
void pair_fixture_init(struct pair_fixture *);

const struct gyp_flow_task *pair_fixture_task(
    const struct pair_fixture *, uint32_t task);
bool pair_fixture_is_open(const struct pair_fixture *, uint32_t task);

/* Answers a call, as "a" and "b" do, and frees it. */
void pair_fixture_answer(struct pair_fixture *, struct gyp_fleet_call *);
/* Answers what is due for that time. */
void pair_fixture_play(struct pair_fixture *, uint64_t ms);

/* Tasks 0 to last run on "a", which lists them, for that time. */
void pair_fixture_run_on_a(struct pair_fixture *, uint32_t last, uint64_t ms);
/* "a" answers no call any more, and the lists lack it. */
void pair_fixture_end_a(struct pair_fixture *);

/* The run of task 0 ends within that time. */
void pair_fixture_assert_ends(struct pair_fixture *, uint64_t ms);
/* Only the lease of six seconds ends the run. */
void pair_fixture_assert_waits(struct pair_fixture *);

#endif
