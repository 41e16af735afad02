#ifndef FLOW_SIM_LASTING_H
#define FLOW_SIM_LASTING_H

#include "flow_sim.h"

/*
 * NAME
 *	flow_sim_lasting - faults and checks of runs with lasting steps
 *
 * DESCRIPTION
 *	Checks this promise: a lasting task that lost its run runs again, from
 *	6 s after the end of the run on, within any 3 s in which two endpoints
 *	have room for it, if nothing is disturbed in these 3 s and the 4 s
 *	before; how full the pool is does not matter. The ends of runs are those
 *	at the endpoints. Room is the capacity without the actual runs, at an
 *	endpoint that is up, connected and allowed.
 *
 *	Faults come in bursts with calm times of 8 to 15 s in between.
 */

/* The share of endpoints that the admission service allows for a step. */
#define FLOW_SIM_ALLOWED_PERCENT 35

/* Adds endpoints and turns the simulation into one with lasting steps. */
void flow_sim_use_lasting(struct flow_sim *, uint32_t seed);

/* True if the admission service allows the endpoint for the step. */
bool flow_sim_allows(uint64_t flow, uint32_t step, const char *id);

/* Records a disturbance of the caller's, as a change of leader. */
void flow_sim_disturbed(struct flow_sim *);

/*
 * From now on endpoints restart at times while a start is on its way, until the
 * faults are turned off.
 */
void flow_sim_use_restarts_at_start(struct flow_sim *);

/* A fault of one endpoint, as in a burst, unless it has one already. */
void flow_sim_disturb_endpoint(struct flow_sim *);

/* True in a burst of faults. */
bool flow_sim_in_burst(const struct flow_sim *);

/* Aborts if a lasting task waited too long; call after each step. */
void flow_sim_check_lasting(
    struct flow_sim *, uint64_t now, const struct gyp_flow_scheduler *);

/*
 * The number of runs that lasting tasks lost, and of the windows in which a
 * task waited for 6 s or longer, all conditions held and it got its run.
 */
uint64_t flow_sim_lost_runs(const struct flow_sim *);
uint64_t flow_sim_judged_windows(const struct flow_sim *);

#endif
