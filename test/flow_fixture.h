#ifndef FLOW_FIXTURE_H
#define FLOW_FIXTURE_H

#include "event.h"
#include "fleet.h"
#include "flow.h"

/*
 * NAME
 *	flow_fixture - flow tables and a fleet for tests, without log or network
 *
 * DESCRIPTION
 *	Commands are applied at once, as if they were committed immediately.
 *	The test pops and answers the calls of the fleet.
 */

#define FLOW_FIXTURE_LEASE_MS 6000

struct flow_fixture {
	struct gyp_flows_listener listener;
	struct gyp_flows *flows;
	struct gyp_fleet *fleet;
	uint64_t now;
	const char *ticket;    /* ticket of runs that start */
	uint64_t clock_lag_ms; /* age of the clocks in answers */
	/* Workspace of flows that are submitted; NULL for none. */
	const char *workspace;
	bool excess;             /* they are beyond its rate */
	bool fence_incarnations; /* of leaders from then on */
	bool inventory;          /* leaders from then on request lists */
	bool lease_bounds;       /* leaders from then on keep to bounds */
	bool sent_once; /* runs from then on get one start, see flow.h */
	uint64_t term;  /* fence number of the latest leader */
	uint64_t manifest_version;
	const char *checkpoint;    /* of runs in lists; NULL for none */
	bool more_ends;            /* lists are the first part of the ends */
	struct gyp_events *events; /* of leaders from then on; may be NULL */
};

void flow_fixture_init(struct flow_fixture *);
void flow_fixture_clear(struct flow_fixture *);

/* A copy of the snapshot of the tables, which the caller frees. */
Gyp__SnapFlows *flow_fixture_snapshot(const struct gyp_flows *);

/* Replaces the fleet by that of a new leader, built from the tables only. */
void flow_fixture_new_leader(struct flow_fixture *, uint64_t fence);

/* Adds an endpoint of 10 CPUs, 10 GiB and 8 accelerators; returns its row. */
uint32_t flow_fixture_add_host(
    struct flow_fixture *, const char *id, uint64_t incarnation_start_ms);

/* The same with that address; the others have 127.0.0.1:1. */
uint32_t flow_fixture_add_host_at(struct flow_fixture *, const char *id,
    uint64_t incarnation_start_ms, const char *address);

/* The endpoint's incarnation reports that it drains. */
void flow_fixture_drain(struct flow_fixture *, uint32_t row);

/* Commits that the incarnation of the endpoint of that id has ended. */
void flow_fixture_commit_end(
    struct flow_fixture *, const char *id, uint64_t incarnation_start_ms);

/* A step with count tasks of one CPU and 1 GiB each. */
Gyp__FlowStep flow_fixture_step(uint32_t count);

struct gyp_flow *flow_fixture_submit(
    struct flow_fixture *, uint64_t id, Gyp__FlowStep *steps, size_t n);

/* A workspace and the CPUs of its cap, in thousandths. */
struct flow_fixture_cap {
	const char *workspace;
	uint32_t cpu_milli;
};

/* Commits a manifest that lists exactly these n workspaces, at most 4. */
void flow_fixture_set_caps(
    struct flow_fixture *, const struct flow_fixture_cap *, size_t n);

/*
 * Commits the start of tasks first to last of the flow on the endpoint, with
 * that run number.
 */
void flow_fixture_start(struct flow_fixture *, uint64_t flow, uint32_t first,
    uint32_t last, uint32_t run, uint32_t row);
void flow_fixture_cancel(struct flow_fixture *, uint64_t flow);

/* Advances time in steps and applies the commands that the fleet proposes. */
void flow_fixture_advance(struct flow_fixture *, uint64_t ms);

/*
 * The next call of that kind, or NULL. Earlier calls of other kinds are dropped
 * without an answer. The test frees the call or answers it.
 */
struct gyp_fleet_call *flow_fixture_next_call(
    struct flow_fixture *, enum gyp_fleet_call_kind);

/* Answers a call and frees it. Endpoints' clocks show the fixture's time. */
void flow_fixture_answer(
    struct flow_fixture *, struct gyp_fleet_call *, enum gyp_fleet_call_result);

/* A run, or the end of one, in the answer to a poll. */
struct flow_fixture_run {
	uint64_t flow;
	uint32_t index; /* task of the first step */
	uint32_t run;
	uint64_t number; /* sequence number of an end */
	Gyp__FlowHow how;
};

/* Answers a poll with lists of running and ended runs and frees the call. */
void flow_fixture_answer_poll(struct flow_fixture *, struct gyp_fleet_call *,
    uint64_t incarnation_start_ms, const struct flow_fixture_run *running,
    size_t n_running, const struct flow_fixture_run *ended, size_t n_ended);

/* Answers polls of all endpoints with empty lists until none is due. */
void flow_fixture_contact_all(struct flow_fixture *);

#endif
