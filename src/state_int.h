#ifndef GYP_STATE_INT_H
#define GYP_STATE_INT_H

#include "flow.h"
#include "state.h"

/*
 * NAME
 *	state_int - definitions shared by the files of the state machine
 *
 * DESCRIPTION
 *	state.c			rows, retention, commands and access
 *	state_transitions.c	state changes of tasks and jobs
 *	state_check.c		invariants
 *	state_save.c		snapshots
 */

struct gyp_state {
	struct gyp_state_listener *listener;
	struct gyp_state_observer *observer;
	uint64_t time_ms;
	uint64_t next_seq;
	struct gyp_table *jobs;
	struct gyp_table *endpoints;
	GHashTable *keys;           /* "team/key" -> struct gyp_job */
	GHashTable *endpoint_names; /* name -> struct gyp_endpoint */
	GQueue queue;               /* struct gyp_job, by link */
	GQueue finished;            /* handles of finished jobs, oldest first */
	uint64_t finished_bytes;
	GHashTable *retired;  /* hash of a key -> whether a job had it */
	GQueue retired_order; /* hashes, oldest first */
	GPtrArray *rules;     /* struct gyp_rules_version, oldest first */
	struct gyp_flows *flows;
};

/* state.c */
void gyp_state_set_reason(struct gyp_job *, const char *reason);
uint64_t gyp_state_job_bytes(const struct gyp_job *);
void gyp_state_retire_key(struct gyp_state *, uint64_t hash, bool had_job);
struct gyp_job *gyp_state_init_job(
    struct gyp_state *, struct gyp_job *, uint64_t id, const Gyp__JobSpec *);
struct gyp_endpoint *gyp_state_init_endpoint(struct gyp_state *,
    struct gyp_endpoint *, uint64_t id, const Gyp__CmdEndpoint *);
void gyp_state_push_rules(struct gyp_state *, uint64_t version,
    uint64_t time_ms, const Gyp__CmdRules *);
void gyp_state_clear(struct gyp_state *);
void gyp_state_notify_endpoint(
    const struct gyp_state *, const struct gyp_endpoint *);
void gyp_state_notify_queued(const struct gyp_state *, const struct gyp_job *);

/* state_transitions.c */
void gyp_state_set_task(struct gyp_state *, struct gyp_job *, struct gyp_task *,
    enum gyp_task_state);
void gyp_state_cancel_job(
    struct gyp_state *, struct gyp_job *, const char *reason);
/* The finish is NULL when the placement is undone. */
void gyp_state_release_booking(struct gyp_state *, struct gyp_job *,
    const struct gyp_task *, const Gyp__CmdFinish *);
void gyp_state_end_attempt(struct gyp_state *, struct gyp_job *, uint32_t task,
    const Gyp__CmdFinish *);

#endif
