#ifndef GYP_REPLAY_INT_H
#define GYP_REPLAY_INT_H

#include "replay.h"

/*
 * NAME
 *	replay_int - structures shared by replay.c and replay_report.c
 */

/* Scheduled end of a running attempt. */
struct attempt_end {
	uint64_t at;
	uint64_t seq; /* breaks ties: insertion order */
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	bool checkpoint; /* evicted or cancelled: fails but keeps progress */
};

/* A job of the trace and its progress in the replay. */
struct replay_job {
	uint64_t id;
	struct gyp_trace_event event;
	uint64_t *remaining_ms; /* true run time left, per task */
	uint64_t *wait_ms; /* to the first start, per task; UINT64_MAX: none */
	char *endpoint;    /* name, of the first task's last attempt */
};

struct class_stats {
	char *name;
	GArray *waits; /* double, ms, one per started task */
	uint64_t jobs;
	uint64_t not_started; /* tasks */
};

struct team_stats {
	char *name;
	double demand; /* CPU times true run time, milli-CPU ms */
	double served; /* milli-CPU ms of attempts ended by window_end */
};

struct gyp_replay {
	struct gyp_state_listener listener;
	struct gyp_state *state;
	struct gyp_policy *policy;
	struct gyp_decision *decision;
	uint64_t now;
	uint64_t decide_at;      /* time of the next round without an event */
	GPtrArray *attempt_ends; /* min-heap of struct attempt_end by time */
	uint64_t next_seq;
	GHashTable *jobs_by_id; /* job id -> struct replay_job */
	GPtrArray *jobs;
	GHashTable *bad_endpoints; /* set of names */
	GPtrArray *classes;
	GPtrArray *teams;
	bool in_window; /* the last event is still to come */
	uint64_t window_end;
	/*
	 * Sums over time up to the last event. time_ms: ms; empty_ms: ms, over
	 * the empty endpoints; the others: milli-CPU ms and byte ms, over the
	 * endpoints with attempts.
	 */
	double time_ms, used_cpu, used_memory, cap_cpu, cap_memory, empty_ms;
	uint64_t starts, evictions, retries, rounds;
	uint64_t outcomes[5]; /* finished jobs, by Gyp__Outcome */
	uint64_t refused, expired;
};

/* Return the statistics of a class or team, created on first use. */
struct class_stats *gyp_replay_class_stats(
    struct gyp_replay *, const char *name);
struct team_stats *gyp_replay_team_stats(struct gyp_replay *, const char *name);

#endif
