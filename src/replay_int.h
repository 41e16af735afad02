#ifndef GYP_REPLAY_INT_H
#define GYP_REPLAY_INT_H

#include "replay.h"

/*
 * NAME
 *	replay_int - what the parts of a replay share
 */

/* End of an attempt that is under way. */
struct attempt_end {
	uint64_t at;
	uint64_t seq; /* ties go by the order of starts */
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	bool checkpoint;
};

/* What the trace says of a job, and what became of it. */
struct replay_job {
	uint64_t id;
	struct gyp_trace_event event;
	uint64_t *remaining_ms; /* true run time left of each task */
	uint64_t *wait_ms;      /* to the first start; UINT64_MAX for none */
	char *endpoint;         /* of the first task's last attempt */
};

struct class_stats {
	char *name;
	GArray *waits; /* double, ms */
	uint64_t jobs;
	uint64_t not_started; /* tasks */
};

struct team_stats {
	char *name;
	double demand; /* processor time of its jobs, up to the window's end */
	double served;
};

struct gyp_replay {
	struct gyp_state_listener listener;
	struct gyp_state *state;
	struct gyp_policy *policy;
	struct gyp_decision *decision;
	uint64_t now;
	uint64_t decide_at;      /* UINT64_MAX: at the next event */
	GPtrArray *attempt_ends; /* struct ending, the earliest first */
	uint64_t next_seq;
	GHashTable *jobs_by_id; /* job -> struct subject */
	GPtrArray *jobs;
	GHashTable *bad_endpoints; /* names, as a set */
	GPtrArray *classes;
	GPtrArray *teams;
	bool in_window; /* before the last arrival */
	uint64_t window_end;
	double time_ms, used_cpu, used_memory, cap_cpu, cap_memory, empty_ms;
	uint64_t starts, evictions, retries, rounds;
	uint64_t outcomes[5];
	uint64_t refused, expired;
};

/* The statistics of a class or team; made when it is new. */
struct class_stats *gyp_replay_class_stats(
    struct gyp_replay *, const char *name);
struct team_stats *gyp_replay_team_stats(struct gyp_replay *, const char *name);

#endif
