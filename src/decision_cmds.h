#ifndef GYP_DECISION_CMDS_H
#define GYP_DECISION_CMDS_H

#include "policy.h"
#include "state.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	decision_cmds - a decision of the policy as commands
 *
 * DESCRIPTION
 *	One command for each group of choices, then for each refusal, then
 *	for each endpoint to blame. Evictions are orders, not commands, and
 *	are left to the caller.
 */

struct gyp_decision_sink {
	/* Gets each command, which is valid during the call. */
	void (*cmd)(void *arg, Gyp__Cmd *);
	/* The entry that sends a job's start, or NULL for none. */
	uint64_t (*pick_entry)(
	    void *arg, const struct gyp_job *, uint64_t endpoint);
	void *arg;
};

void gyp_decision_cmds(const struct gyp_decision *, struct gyp_state *,
    const struct gyp_decision_sink *);

#endif
