#ifndef GYP_DECISION_CMDS_H
#define GYP_DECISION_CMDS_H

#include "policy.h"
#include "state.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	decision_cmds - converts a decision of the policy into commands
 *
 * DESCRIPTION
 *	Makes one command for each group of placements, then one for each
 *	refusal, then one for each change of an endpoint's state. Evictions
 *	are orders, not commands, and are left to the caller.
 */

struct gyp_decision_sink {
	/* Receives each command, which is valid during the call only. */
	void (*cmd)(void *arg, Gyp__Cmd *);
	/*
	 * Returns the entry that sends a start of the job. NULL when starts are
	 * not sent by entries.
	 */
	uint64_t (*pick_entry)(
	    void *arg, const struct gyp_job *, uint64_t endpoint);
	void *arg;
};

void gyp_decision_cmds(const struct gyp_decision *, struct gyp_state *,
    const struct gyp_decision_sink *);

#endif
