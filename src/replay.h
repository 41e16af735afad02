#ifndef GYP_REPLAY_H
#define GYP_REPLAY_H

#include <stdint.h>
#include <stdio.h>

#include "policy.h"
#include "trace.h"

/*
 * NAME
 *	replay - runs a trace through the state tables and a policy in virtual
 *	time
 *
 * DESCRIPTION
 *	Events apply at the times in the trace and tasks end after their true
 *	run time. After each step in time the policy decides and its proposals
 *	are applied. Commits and messages take no time. A start at a bad
 *	endpoint fails after 5 ms. An evicted task ends after 100 ms and keeps
 *	the progress that it has made.
 *
 *	Waiting time runs from the submit to a task's first start and includes
 *	starts after the last event. Packing is the booked capacity as a share
 *	of the capacity of the endpoints that run at least one task, averaged
 *	over the time up to the last event.
 */

struct gyp_replay;

struct gyp_replay *gyp_replay_new(const struct gyp_policy_ops *, uint32_t seed);
void gyp_replay_free(struct gyp_replay *);
struct gyp_policy *gyp_replay_policy(struct gyp_replay *);

/*
 * Advances virtual time to an event and applies it. Events must come in order
 * of time.
 */
void gyp_replay_event(struct gyp_replay *, const struct gyp_trace_event *);

/* Advances time until no task is queued or running, by at most ms. */
void gyp_replay_finish(struct gyp_replay *, uint64_t ms);

/* Prints a line per job: key, outcome, wait of its first task, endpoint. */
void gyp_replay_print_outcomes(const struct gyp_replay *, FILE *);

/* Prints key=value lines: packing, counts, waiting times per class. */
void gyp_replay_print_summary(const struct gyp_replay *, FILE *);

#endif
