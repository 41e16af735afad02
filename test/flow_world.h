#ifndef FLOW_WORLD_H
#define FLOW_WORLD_H

#include "fleet.h"
#include "flow.h"

/*
 * NAME
 *	flow_world - tables of flows and a fleet, without log or network
 *
 * DESCRIPTION
 *	Commands are applied at once, as if each were committed. Calls of the
 *	fleet are popped and answered by the test.
 */

#define WORLD_LEASE_MS 6000

struct flow_world {
	struct gyp_flows_listener listener;
	struct gyp_flows *flows;
	struct gyp_fleet *fleet;
	uint64_t now;
	const char *ticket; /* of runs that start */
};

void flow_world_init(struct flow_world *);
void flow_world_clear(struct flow_world *);

/* A new leader: its fleet knows the tables only. */
void flow_world_lead(struct flow_world *, uint64_t fence);

/* An endpoint of 10 processors, 10 GiB, 8 accelerators; returns its row. */
uint32_t flow_world_host(struct flow_world *, const char *id, uint64_t born_ms);

/* A step of tasks of one processor and 1 GiB. */
Gyp__FlowStep flow_world_step(uint32_t count);

struct gyp_flow *flow_world_flow(
    struct flow_world *, uint64_t id, Gyp__FlowStep *steps, size_t n);

/* Begins tasks first to last of the flow on the endpoint, as run number. */
void flow_world_start(struct flow_world *, uint64_t flow, uint32_t first,
    uint32_t last, uint32_t run, uint32_t row);
void flow_world_cancel(struct flow_world *, uint64_t flow);

/* Lets time pass, in steps, and applies what the fleet proposes. */
void flow_world_pass(struct flow_world *, uint64_t ms);

/* The next call of that kind, or NULL; earlier ones of other kinds get lost
 * without an answer. Released by gyp_fleet_call_free(). */
struct gyp_fleet_call *flow_world_call(
    struct flow_world *, enum gyp_fleet_call_kind);

/* Answers a call and frees it. The clock of endpoints is the world's time. */
void flow_world_answer(
    struct flow_world *, struct gyp_fleet_call *, enum gyp_fleet_call_result);

/* Answers a look with lists; a run or end is named by flow, task, run. */
struct flow_world_row {
	uint64_t flow;
	uint32_t index; /* of the first step */
	uint32_t run;
	uint64_t number; /* of an end */
	Gyp__FlowHow how;
};

void flow_world_lists(struct flow_world *, struct gyp_fleet_call *,
    uint64_t born_ms, const struct flow_world_row *running, size_t n_running,
    const struct flow_world_row *ended, size_t n_ended);

/* Answers looks at all endpoints with nothing until none is due. */
void flow_world_meet(struct flow_world *);

#endif
