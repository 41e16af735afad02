#ifndef FLOW_SIM_H
#define FLOW_SIM_H

#include "flow_scheduler.h"

/*
 * NAME
 *	flow_sim - simulated endpoints for randomised runs of flows
 *
 * DESCRIPTION
 *	The endpoints carry out calls late, lose answers, are disconnected,
 *	crash and restart under the same id, and have slow clocks. They record
 *	the actual runs and abort when an invariant is violated: two runs of a
 *	task at a time, a run after one that was acknowledged as done, runs
 *	that exceed the capacity, a run before the tasks that it depends on,
 *	too many failed runs, a start sent long after a cancellation, a run
 *	that is confirmed for an incarnation which need not be the only one.
 */

#define FLOW_SIM_ENDPOINTS 6
#define FLOW_SIM_LEASE_MS  6000

/* Number of endpoints of runs with lasting steps, see flow_lasting.h. */
#define FLOW_SIM_LASTING_ENDPOINTS 10

struct flow_sim;

struct flow_sim *flow_sim_new(uint32_t seed, struct gyp_flows *);
void flow_sim_free(struct flow_sim *);

/* Turns faults on or off; off also reconnects all endpoints. */
void flow_sim_set_faults(struct flow_sim *, bool on);

/* Half of the runs from now on last up to that long, the others 3 s. */
void flow_sim_set_longest_run(struct flow_sim *, uint32_t ms);

/* Disconnects about half of the endpoints, for 12 s at most. */
void flow_sim_disconnect_some(struct flow_sim *);

/*
 * Answers a request for the provider's list of endpoints, or loses it. The list
 * is out of date by FLOW_SIM_LIST_MS at most, and may be cut short.
 */
#define FLOW_SIM_LIST_MS 2000
void flow_sim_request_list(struct flow_sim *, uint64_t now, uint64_t request);

/* The number of endpoints. */
uint32_t flow_sim_size(const struct flow_sim *);

/* Sends a call of the leader and takes ownership of it. */
void flow_sim_call(struct flow_sim *, uint64_t now, struct gyp_fleet_call *);

/* Advances to time now and passes answers that arrive to the leader, if any. */
void flow_sim_tick(
    struct flow_sim *, uint64_t now, struct gyp_flow_scheduler *);

/* The present registration, clock and reachability of endpoint i. */
void flow_sim_describe(const struct flow_sim *, uint32_t i, Gyp__CmdHost *);
uint64_t flow_sim_clock(const struct flow_sim *, uint32_t i, uint64_t now);
bool flow_sim_is_up(const struct flow_sim *, uint32_t i);

/*
 * Aborts the program if the confirmation of a run, which is about to be
 * committed, is not true: another incarnation has the run, or may still get it.
 */
void flow_sim_check_confirmed(struct flow_sim *, const Gyp__CmdFlowConfirmed *);

/* The number of runs that were confirmed. */
uint64_t flow_sim_confirmed(const struct flow_sim *);

/* Records that the cancellation of the flow was committed. */
void flow_sim_flow_cancelled(struct flow_sim *, uint64_t now, uint64_t flow);

/*
 * What the endpoints actually run for the workspace, in thousandths of a
 * processor.
 */
uint64_t flow_sim_cpu(
    const struct flow_sim *, const struct gyp_workspace_use *);

/* Prints the tasks of the oldest active flow that are not done. */
void flow_sim_print_unended(const struct gyp_flows *);

/*
 * From now on endpoints drain, announce their shutdown and leave, and others
 * take their places. Some get no acknowledgement and go on for seconds, cut
 * off.
 */
void flow_sim_use_departures(struct flow_sim *, uint32_t seed);

/* The announcement of a shutdown. */
struct flow_sim_departure {
	char id[8];
	uint64_t incarnation_start_ms; /* 0 if it names none */
};

/* The next announcement that arrives, which the caller frees, or NULL. */
struct flow_sim_departure *flow_sim_pop_departure(struct flow_sim *);

/* The number of announcements that were not acknowledged. */
uint64_t flow_sim_departed_in_vain(const struct flow_sim *);

/*
 * Aborts the program if runs of an endpoint that left are open for longer than
 * its lease, under the leader to which it reported that it drained.
 */
void flow_sim_check_departures(
    struct flow_sim *, uint64_t now, uint64_t leader_since);

/* The number of lists that were requested so far. */
uint64_t flow_sim_lists(const struct flow_sim *);

/* The number of runs started so far. */
uint64_t flow_sim_starts(const struct flow_sim *);

#endif
