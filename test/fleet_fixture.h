#ifndef FLEET_FIXTURE_H
#define FLEET_FIXTURE_H

#include "flow_fixture.h"

/*
 * NAME
 *	fleet_fixture - one endpoint and one flow, for tests of the fleet
 *
 * DESCRIPTION
 *	The incarnation of endpoint "a" starts at time 1. Tests write its
 *	answers themselves.
 */

#define FLEET_FIXTURE_FLOW 0xf1ULL

struct fleet_fixture {
	struct flow_fixture base;
	uint32_t a; /* row of the endpoint */
};

/* One contacted endpoint, and a flow of one step with n tasks. */
void fleet_fixture_init(struct fleet_fixture *, uint32_t n, bool gang);

const struct gyp_flow_task *fleet_fixture_task(
    const struct fleet_fixture *, uint32_t task);

/* Answers the next start and returns its run number. */
uint32_t fleet_fixture_answer_start(
    struct fleet_fixture *, enum gyp_fleet_call_result);

/* The next poll; the test fails if none is sent within that time. */
struct gyp_fleet_call *fleet_fixture_next_poll(
    struct fleet_fixture *, uint64_t within_ms);

#endif
