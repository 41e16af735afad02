#ifndef GYP_POLICY_H
#define GYP_POLICY_H

#include "state.h"

/*
 * NAME
 *	policy - which queued task goes where
 *
 * DESCRIPTION
 *	Reads the tables, changes nothing and knows neither log nor sockets.
 *	The order of jobs and the search for endpoints are common; what
 *	differs between policies is the score of a fit.
 */

struct gyp_policy;

struct gyp_policy_ops {
	const char *name;
	/*
	 * Score of putting a task on an endpoint that would keep `left` free;
	 * the highest wins. Only called where the task fits.
	 */
	double (*score)(const struct gyp_policy *, const struct gyp_job *,
	    const struct gyp_endpoint *, const struct gyp_res *left);
};

struct gyp_policy {
	const struct gyp_policy_ops *ops;
};

/* One placement; those of equal group take effect together or not at all. */
struct gyp_choice {
	uint64_t job;
	uint32_t task;
	uint64_t endpoint;
	uint32_t group;
};

/* Fills the endpoints that are most used already. */
struct gyp_policy *gyp_policy_best_fit(void);

/*
 * Chooses places for at most budget queued tasks and appends struct
 * gyp_choice rows to choices.
 */
void gyp_policy_decide(const struct gyp_policy *, const struct gyp_state *,
    uint32_t budget, GArray *choices);

/* True when some announced endpoint could hold one task if it were empty. */
bool gyp_policy_feasible(const struct gyp_state *, const struct gyp_job *);

#endif
