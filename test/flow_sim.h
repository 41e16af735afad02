#ifndef FLOW_SIM_H
#define FLOW_SIM_H

#include "flow_scheduler.h"

/*
 * NAME
 *	flow_sim - model endpoints for randomised runs of flows
 *
 * DESCRIPTION
 *	Endpoints that carry out calls late, lose answers, are cut off, crash
 *	and are born again under their id, with clocks that are slow. They
 *	keep the truth about runs and abort on a broken promise: two runs of a
 *	task at a time, a run after one that ended as done was acknowledged,
 *	more than the capacity, a run before those that it depends on, too
 *	many failed runs, a start long after a cancellation.
 */

#define FLOW_SIM_ENDPOINTS 6
#define FLOW_SIM_LEASE_MS  6000

struct flow_sim;

struct flow_sim *flow_sim_new(uint32_t seed, struct gyp_flows *);
void flow_sim_free(struct flow_sim *);

/* Faults happen from now on, or no more. */
void flow_sim_set_faults(struct flow_sim *, bool on);

/* Takes a call of the leader; owned. */
void flow_sim_call(struct flow_sim *, uint64_t now, struct gyp_fleet_call *);

/* Lets time pass; answers that arrive are handed to the leader, if any. */
void flow_sim_tick(
    struct flow_sim *, uint64_t now, struct gyp_flow_scheduler *);

/* The registration of endpoint i as it is now. */
void flow_sim_describe(const struct flow_sim *, uint32_t i, Gyp__CmdHost *);
uint64_t flow_sim_clock(const struct flow_sim *, uint32_t i, uint64_t now);
bool flow_sim_is_up(const struct flow_sim *, uint32_t i);

/* A cancellation was committed. */
void flow_sim_flow_cancelled(struct flow_sim *, uint64_t now, uint64_t flow);

uint64_t flow_sim_starts(const struct flow_sim *);

#endif
