#ifndef FLOW_SIM_H
#define FLOW_SIM_H

#include "flow_lead.h"

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

#define SIM_ENDPOINTS 6
#define SIM_LEASE_MS  6000

struct sim;

struct sim *sim_new(uint32_t seed, struct gyp_flows *);
void sim_free(struct sim *);

/* Faults happen from now on, or no more. */
void sim_set_faults(struct sim *, bool on);

/* Takes a call of the leader; owned. */
void sim_call(struct sim *, uint64_t now, struct gyp_fleet_call *);

/* Lets time pass; answers that arrive are handed to the leader, if any. */
void sim_tick(struct sim *, uint64_t now, struct gyp_flow_lead *);

/* The registration of endpoint i as it is now. */
void sim_describe(const struct sim *, uint32_t i, Gyp__CmdHost *);
uint64_t sim_clock(const struct sim *, uint32_t i, uint64_t now);
bool sim_is_up(const struct sim *, uint32_t i);

/* A cancellation was committed. */
void sim_cancelled(struct sim *, uint64_t now, uint64_t flow);

uint64_t sim_starts(const struct sim *);

#endif
