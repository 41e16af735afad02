#ifndef GYP_FLOW_H
#define GYP_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	flow - tables of flows, of the endpoints that run them, and the manifest
 *
 * DESCRIPTION
 *	A flow is a job of steps that depend on each other, perhaps repeated at
 *	given times. Its tasks are counted through all repetitions and steps.
 *	A unit is one step of one repetition; its tasks have consecutive
 *	numbers.
 *
 *	The tables change by gyp_flows_apply() only, with committed commands.
 *	They keep these promises: a task has at most one open run, and the next
 *	run begins only after the end of the last is committed; a step begins
 *	only after those that it depends on; a task gets no run after its last
 *	allowed failure; what is booked on an endpoint never exceeds its
 *	capacity; a flow that was cancelled or failed gets no new run.
 *
 *	Endpoints have rows that are never given out again, so that a row
 *	number names one endpoint for good. Its lives are told apart by the
 *	time of its birth.
 */

/* Most tasks of a flow, over all repetitions. */
#define GYP_FLOW_TASKS_MAX 20000

/* How long an ended flow is known, in ms of cell time. */
#define GYP_FLOW_RETENTION_MS (10 * 60 * 1000)

/* Most flows that are known; further ones are refused. */
#define GYP_FLOWS_MAX 20000

enum gyp_flow_state {
	GYP_FLOW_QUEUED,  /* no task has begun */
	GYP_FLOW_RUNNING, /* or between two runs */
	GYP_FLOW_COMPLETED,
	GYP_FLOW_FAILED,
	GYP_FLOW_CANCELLED
};

enum gyp_flow_task_state {
	GYP_FLOW_TASK_WAITING,
	GYP_FLOW_TASK_OPEN, /* a run may be under way */
	GYP_FLOW_TASK_DONE
};

/* Names a task, or a unit, of a flow: a key of hash tables. */
struct gyp_flow_key {
	uint64_t flow;
	uint32_t index;
};

guint gyp_flow_key_hash(gconstpointer);
gboolean gyp_flow_key_equal(gconstpointer, gconstpointer);

struct gyp_flow_task {
	enum gyp_flow_task_state state;
	uint32_t run;        /* number of the latest run, 0 for none */
	uint32_t host;       /* row of the endpoint of the open run */
	uint32_t failures;   /* of a gang: with its first task */
	char *checkpoint;    /* to resume from, or NULL */
	uint64_t changed_ms; /* cell time of the latest change */
};

struct gyp_flow_unit {
	const Gyp__FlowStep *step;
	struct gyp_res size; /* what a run of it books on an endpoint */
	uint32_t time;       /* repetition */
	uint32_t number;     /* of the step */
	uint32_t first;      /* task */
	uint32_t left;       /* tasks that are not done */
	uint32_t open;       /* tasks with an open run */
	uint32_t failed_run; /* of a gang: the last run that failed */
	uint32_t timed_runs; /* runs that a leader timed; not replicated */
	uint64_t timed_ms;   /* their sum */
};

struct gyp_flow {
	uint64_t id;
	uint64_t seq; /* order of acceptance */
	Gyp__FlowSpec *spec;
	const char *pool; /* of its endpoints, interned */
	enum gyp_flow_state state;
	bool begun; /* a task was started once */
	uint64_t accepted_ms;
	uint64_t ended_ms;
	uint32_t open; /* tasks with an open run */
	uint32_t left; /* units that are not done */
	uint32_t n_units;
	uint32_t n_tasks;
	struct gyp_flow_unit *units;
	struct gyp_flow_task *tasks;
};

/* An open run on an endpoint. */
struct gyp_host_run {
	struct gyp_flow *flow;
	uint32_t task;
};

struct gyp_host {
	uint32_t row;
	Gyp__CmdHost *spec;
	const char *pool; /* interned */
	struct gyp_res capacity;
	struct gyp_res booked; /* by open runs */
	GArray *runs;          /* struct gyp_host_run */
	uint32_t serving;      /* runs with a bound on their tail */
	uint32_t filling;      /* runs that take what others leave */
};

struct gyp_flows;
struct gyp_flows_listener;

/* Called during apply, after the tables have changed. */
struct gyp_flows_listener_ops {
	/* An open run of the task was committed. */
	void (*started)(
	    struct gyp_flows_listener *, struct gyp_flow *, uint32_t task);
	/* The run on that endpoint is over. */
	void (*ended)(struct gyp_flows_listener *, struct gyp_flow *,
	    uint32_t task, uint32_t host, Gyp__FlowHow);
	/* The open run must be stopped, see gyp_flow_run_is_unwanted(). */
	void (*unwanted)(
	    struct gyp_flows_listener *, struct gyp_flow *, uint32_t task);
	/* A flow is about to be dropped from the tables. */
	void (*dropped)(struct gyp_flows_listener *, struct gyp_flow *);
};

struct gyp_flows_listener {
	const struct gyp_flows_listener_ops *ops;
};

struct gyp_flows *gyp_flows_new(void);
void gyp_flows_free(struct gyp_flows *);

/* Sets the one listener; NULL for none. */
void gyp_flows_set_listener(struct gyp_flows *, struct gyp_flows_listener *);

/* Applies one command at cell time now; false when it is none of flows. */
bool gyp_flows_apply(struct gyp_flows *, uint64_t now, const Gyp__Cmd *);

/* Drops flows that ended long ago. */
void gyp_flows_drop_expired(struct gyp_flows *, uint64_t now);

/* Packs all tables; and replaces all tables; NULL empties them. */
Gyp__SnapFlows *gyp_flows_save(const struct gyp_flows *);
bool gyp_flows_restore(struct gyp_flows *, const Gyp__SnapFlows *);

/* Aborts the program when a promise does not hold. */
void gyp_flows_check(const struct gyp_flows *);

struct gyp_flow *gyp_flow_get(const struct gyp_flows *, uint64_t id);

/* Flows that have not ended, or still have open runs; oldest first. */
const GQueue *gyp_flows_active(const struct gyp_flows *);
uint32_t gyp_flows_count(const struct gyp_flows *);

/* A row, or NULL when it is gone. */
struct gyp_host *gyp_host_at(const struct gyp_flows *, uint32_t row);
uint32_t gyp_hosts_size(const struct gyp_flows *);
struct gyp_host *gyp_host_by_id(const struct gyp_flows *, const char *id);

/*
 * True when the endpoint's life began less than ms of cell time before the
 * latest command, or may have.
 */
bool gyp_host_restarted_within(
    const struct gyp_flows *, const struct gyp_host *, uint32_t ms);

/* Cell time of the latest command, 0 for none. */
uint64_t gyp_flows_time(const struct gyp_flows *);

/* The newest manifest, or NULL. */
const Gyp__CmdManifest *gyp_flows_manifest(const struct gyp_flows *);

/*
 * The queue of the longest prefix of path at that host, or NULL; *rest is
 * what follows the prefix.
 */
const Gyp__FlowQueue *gyp_manifest_queue(const Gyp__CmdManifest *,
    const char *host, const char *path, const char **rest);

/* Unit of a task; task of a repetition, step and index, or UINT32_MAX. */
struct gyp_flow_unit *gyp_flow_unit_of(const struct gyp_flow *, uint32_t task);
uint32_t gyp_flow_task_at(
    const struct gyp_flow *, uint32_t time, uint32_t step, uint32_t index);

/* True when all units that this one depends on are done. */
bool gyp_flow_unit_is_ready(
    const struct gyp_flow *, const struct gyp_flow_unit *);

/* True when it neither completed nor failed nor was cancelled. */
bool gyp_flow_is_alive(const struct gyp_flow *);

/*
 * True when the open run must be stopped: its flow is over, or another run
 * of its gang is.
 */
bool gyp_flow_run_is_unwanted(const struct gyp_flow *, uint32_t task);

/* NULL when the specification can be accepted, else what is wrong with it. */
const char *gyp_flow_check_spec(const Gyp__FlowSpec *);

/*
 * True when the task waits for its next run, so that it may be told yet that
 * its latest run, which was given up with its lease, had ended as done.
 */
bool gyp_flow_accepts_late_done(const struct gyp_flow *, uint32_t task);

const char *gyp_flow_state_name(enum gyp_flow_state);
const char *gyp_flow_how_name(Gyp__FlowHow);

#endif
