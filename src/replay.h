#ifndef GYP_REPLAY_H
#define GYP_REPLAY_H

#include <stdint.h>
#include <stdio.h>

#include "policy.h"
#include "trace.h"

/*
 * NAME
 *	replay - a trace fed to the tables and a policy in virtual time
 *
 * DESCRIPTION
 *	Arrivals come at their times, tasks end after their true run time, and
 *	after each moment the policy decides and its proposals are applied.
 *	Commits and messages take no time. A start at a bad endpoint fails
 *	after 5 ms. An evicted task ends after 100 ms and keeps its work.
 *
 *	Waiting is from the submit to a task's first start. Packing is the
 *	mean over time of what is booked, as a share of the endpoints that
 *	hold at least one task. Both count up to the last arrival.
 */

struct gyp_replay;

struct gyp_replay *gyp_replay_new(const struct gyp_policy_ops *, uint32_t seed);
void gyp_replay_free(struct gyp_replay *);
struct gyp_policy *gyp_replay_policy(struct gyp_replay *);

/* Lets time pass up to an event, in order of their times, and takes it. */
void gyp_replay_event(struct gyp_replay *, const struct gyp_trace_event *);

/* Lets time pass until nothing waits or runs, at most for ms. */
void gyp_replay_finish(struct gyp_replay *, uint64_t ms);

/* One line a job: key, outcome, wait of its first task, endpoint. */
void gyp_replay_print_outcomes(const struct gyp_replay *, FILE *);

/* key=value lines: waiting per class, packing, counts. */
void gyp_replay_print_summary(const struct gyp_replay *, FILE *);

#endif
