#ifndef GYP_FLOW_H
#define GYP_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	flow - replicated tables of flows, their endpoints and the manifest
 *	(the list of queues)
 *
 * DESCRIPTION
 *	A flow is a job of steps that depend on each other, optionally repeated
 *	at given times. Its tasks are numbered consecutively across all
 *	repetitions and steps. A unit is one step of one repetition; its tasks
 *	have consecutive numbers.
 *
 *	The tables change only in gyp_flows_apply(), by committed commands, in
 *	gyp_flows_drop_expired(), by cell time, and in gyp_flows_restore().
 *	They keep these invariants: a task has at most one open run, and its
 *	next run starts only after the end of the previous one is committed; a
 *	step starts only after the steps that it depends on are done; a task
 *	gets no run after its last allowed failure; the resources booked on an
 *	endpoint never exceed its capacity; no start raises what the open runs
 *	of a workspace book above its cap; a cancelled or failed flow gets no
 *	new run, also if it was cancelled before it was submitted.
 *
 *	Rows of endpoints are never reused, so a row number identifies one
 *	endpoint permanently. Incarnations of an endpoint are distinguished by
 *	their start time.
 */

/* Maximum number of tasks of a flow, over all repetitions. */
#define GYP_FLOW_TASKS_MAX 20000

/* Length of a flow's id as text, in hexadecimal digits. */
#define GYP_FLOW_ID_DIGITS 16

/*
 * Parses an id of exactly GYP_FLOW_ID_DIGITS digits. It is a number; bit i of
 * *capitals says that digit i from the left is a capital letter, so that the
 * caller's text can be formatted again.
 */
bool gyp_flow_id_parse(const char *text, uint64_t *id, uint32_t *capitals);
void gyp_flow_id_format(
    uint64_t id, uint32_t capitals, char text[GYP_FLOW_ID_DIGITS + 1]);

/* How long an ended flow stays in the tables, in ms of cell time. */
#define GYP_FLOW_RETENTION_MS (10 * 60 * 1000)

/* Maximum number of flows in the tables; further ones are refused. */
#define GYP_FLOWS_MAX 20000

enum gyp_flow_state {
	GYP_FLOW_QUEUED,  /* no task has started */
	GYP_FLOW_RUNNING, /* also between two runs */
	GYP_FLOW_COMPLETED,
	GYP_FLOW_FAILED,
	GYP_FLOW_CANCELLED
};

enum gyp_flow_task_state {
	GYP_FLOW_TASK_WAITING,
	GYP_FLOW_TASK_OPEN, /* a run may be in progress */
	GYP_FLOW_TASK_DONE
};

/* Identifies a task or a unit of a flow; a hash table key. */
struct gyp_flow_key {
	uint64_t flow;
	uint32_t index;
};

guint gyp_flow_key_hash(gconstpointer);
gboolean gyp_flow_key_equal(gconstpointer, gconstpointer);

struct gyp_flow_task {
	enum gyp_flow_task_state state;
	uint32_t run;        /* number of the latest run, 0 for none */
	uint32_t row;        /* of the endpoint of the open run */
	uint32_t failures;   /* of a gang: counted at its first task */
	char *checkpoint;    /* the next run resumes from it, or NULL */
	uint64_t changed_ms; /* cell time of the latest change */
	/*
	 * Incarnation of the endpoint that has the open run: no start of it
	 * is under way, so no other one will ever have it. 0 if not known.
	 */
	uint64_t confirmed_born_ms;
	/*
	 * One start of the open run was or will be sent, not more, by the
	 * leader that proposed it. A list that has the run shows that this
	 * start was carried out, and by whom.
	 */
	bool sent_once;
};

struct gyp_flow_unit {
	const Gyp__FlowStep *step;
	struct gyp_res size;  /* resources that a run books */
	uint32_t repetition;  /* counted from 0 */
	uint32_t step_number; /* index of the step in the flow */
	uint32_t first;       /* number of its first task */
	uint32_t left;        /* tasks that are not done */
	uint32_t open;        /* tasks with an open run */
	uint32_t failed_run;  /* of a gang: latest run that failed */
	uint32_t timed_runs;  /* runs timed by this leader; not replicated */
	uint64_t timed_ms;    /* sum of their run times */
};

struct gyp_flow {
	uint64_t id;
	uint64_t seq; /* order of acceptance */
	Gyp__FlowSpec *spec;
	const char *pool;              /* pool of its endpoints, interned */
	struct gyp_workspace_use *use; /* of its workspace, or NULL */
	enum gyp_flow_state state;
	bool begun; /* a task has started at least once */
	uint64_t accepted_ms;
	uint64_t ended_ms;
	uint32_t open; /* tasks with an open run */
	uint32_t left; /* units that are not done */
	uint32_t n_units;
	uint32_t n_tasks;
	struct gyp_flow_unit *units;
	struct gyp_flow_task *tasks;
};

/*
 * What the flows of a workspace use. Rows are never removed: there are as many
 * as workspaces have submitted flows.
 */
struct gyp_workspace_use {
	uint32_t row; /* counted from 0 */
	char *name;
	struct gyp_res cap;     /* of the manifest in force */
	double rate;            /* of that manifest; 0: any */
	struct gyp_res used;    /* booked by open runs */
	struct gyp_res lasting; /* of these, by runs of lasting tasks */
	uint32_t open;          /* open runs */
};

/* An open run on an endpoint. */
struct gyp_host_run {
	struct gyp_flow *flow;
	uint32_t task;
};

/* A registered endpoint and the open runs booked on it. */
struct gyp_host {
	uint32_t row;
	Gyp__CmdHost *spec;
	const char *pool; /* interned */
	struct gyp_res capacity;
	struct gyp_res booked; /* by open runs */
	GArray *runs;          /* struct gyp_host_run */
	uint32_t serving;      /* runs with a bound on tail latency */
	uint32_t filling;      /* runs that use only spare capacity */
};

struct gyp_flows;
struct gyp_flows_listener;
struct gyp_run_forecast;

/*
 * Called while the tables change: dropped() by gyp_flows_drop_expired(), the
 * others by gyp_flows_apply(). ended() is called once the run no longer books
 * resources; the state of the task may change afterwards.
 */
struct gyp_flows_listener_ops {
	/* The start of a run of the task was committed. */
	void (*started)(
	    struct gyp_flows_listener *, struct gyp_flow *, uint32_t task);
	/* The end of the run on that endpoint was committed. */
	void (*ended)(struct gyp_flows_listener *, struct gyp_flow *,
	    uint32_t task, uint32_t row, Gyp__FlowHow);
	/* The open run must be stopped, see gyp_flow_run_is_unwanted(). */
	void (*unwanted)(
	    struct gyp_flows_listener *, struct gyp_flow *, uint32_t task);
	/* The flow is about to be removed from the tables. */
	void (*dropped)(struct gyp_flows_listener *, struct gyp_flow *);
};

struct gyp_flows_listener {
	const struct gyp_flows_listener_ops *ops;
};

struct gyp_flows *gyp_flows_new(void);
void gyp_flows_free(struct gyp_flows *);

/* Sets the only listener; NULL removes it. */
void gyp_flows_set_listener(struct gyp_flows *, struct gyp_flows_listener *);

/* Applies one command at cell time now; false if it is not a flow command. */
bool gyp_flows_apply(struct gyp_flows *, uint64_t now, const Gyp__Cmd *);

/* Applies a manifest as gyp_flows_apply() does, and takes it over. */
void gyp_flows_take_manifest(
    struct gyp_flows *, uint64_t now, Gyp__CmdManifest *);

/*
 * Removes flows that ended GYP_FLOW_RETENTION_MS ago or earlier, and expired
 * cancellations of flows that were never submitted.
 */
void gyp_flows_drop_expired(struct gyp_flows *, uint64_t now);

/*
 * Save puts all tables into a snapshot; restore replaces all tables by one.
 * NULL empties them. Restore returns false if the snapshot is not valid. A
 * saved snapshot refers to the tables and is valid until they change, so it
 * must be copied to be restored to the same tables.
 */
Gyp__SnapFlows *gyp_flows_save(const struct gyp_flows *);
void gyp_flows_free_saved(Gyp__SnapFlows *);
bool gyp_flows_restore(struct gyp_flows *, const Gyp__SnapFlows *);

/*
 * Aborts the program if the tables are inconsistent: counts of open runs,
 * endpoints of open runs, units left of completed flows, booked CPU and memory.
 */
void gyp_flows_check(const struct gyp_flows *);

struct gyp_flow *gyp_flow_get(const struct gyp_flows *, uint64_t id);

/* Flows that have not ended or still have open runs, oldest first. */
const GQueue *gyp_flows_active(const struct gyp_flows *);
uint32_t gyp_flows_count(const struct gyp_flows *);

/*
 * True if that workspace cancelled a flow of that id before it was submitted,
 * see early_cancels.h. When the flow arrives, it is cancelled at once.
 */
bool gyp_flows_is_cancelled_early(
    const struct gyp_flows *, uint64_t id, const char *workspace);

/* Appends the flows that were accepted at since_ms of cell time or later. */
void gyp_flows_list_recent(
    const struct gyp_flows *, uint64_t since_ms, GPtrArray *list);

/* The endpoint of a row, or NULL if it was removed. */
struct gyp_host *gyp_host_at(const struct gyp_flows *, uint32_t row);
/* Its id, or "gone"; for logs. */
const char *gyp_host_name(const struct gyp_flows *, uint32_t row);
uint32_t gyp_hosts_size(const struct gyp_flows *);  /* rows */
uint32_t gyp_hosts_count(const struct gyp_flows *); /* endpoints */
struct gyp_host *gyp_host_by_id(const struct gyp_flows *, const char *id);

/*
 * What is left, in ms of cell time at the latest command, of a period of that
 * length since the latest restart of the endpoint that was reported or
 * registered. 0 for an endpoint that has not restarted, and for one that
 * refuses calls from before its latest restart.
 */
uint64_t gyp_host_restart_left_ms(
    const struct gyp_flows *, const struct gyp_host *, uint32_t period_ms);

/*
 * True if the latest incarnation of the endpoint that the tables know announced
 * its shutdown. The tables still take runs there, as those of replicas that do
 * not know of it do; no leader starts one.
 */
bool gyp_host_has_ended(const struct gyp_host *);

/*
 * The latest term whose leader keeps to the bounds of leases, as all leaders
 * have since the oldest of the bounds; 0 if that is not known, and the bounds
 * are not valid.
 */
uint64_t gyp_flows_bounds_term(const struct gyp_flows *);

/* Commands about bounds that this process has applied. */
uint64_t gyp_flows_bounds_applied(const struct gyp_flows *);

/* Cell time of the latest command, 0 for none. */
uint64_t gyp_flows_time(const struct gyp_flows *);

/* Run times learned from the ends of runs; valid as long as the tables. */
struct gyp_run_forecast *gyp_flows_forecast(const struct gyp_flows *);

/* The newest manifest, or NULL. */
const Gyp__CmdManifest *gyp_flows_manifest(const struct gyp_flows *);

/*
 * The newest manifest if it was in force at that cell time, else the one before
 * it, or NULL if that is not known. Manifests before these two are not known,
 * so for a time long ago the result may be too new.
 */
const Gyp__CmdManifest *gyp_flows_manifest_when(
    const struct gyp_flows *, uint64_t ms);

/*
 * Workspaces whose flows are in the tables, by row. A workspace that the
 * manifest does not list has no cap.
 */
uint32_t gyp_workspaces_size(const struct gyp_flows *);
struct gyp_workspace_use *gyp_workspace_at(
    const struct gyp_flows *, uint32_t row);
/* The workspace of that name, or NULL if it has submitted no flow. */
struct gyp_workspace_use *gyp_workspace_use_by_name(
    const struct gyp_flows *, const char *name);

/*
 * Rank of a flow in the order of work at that cell time, the most urgent first:
 * 0 or more. A flow beyond the rate of its workspace ranks behind all others,
 * whatever the priorities of their queues. GYP_FLOW_EXCESS_WAIT_MS after its
 * acceptance it ranks by its priority, since work within the rates may fill a
 * pool for good and an accepted flow must end.
 */
#define GYP_FLOW_EXCESS_WAIT_MS 300000
uint32_t gyp_flow_rank(const struct gyp_flow *, uint64_t now_ms);

/*
 * The queue for that HTTP Host header with the longest prefix of path, or NULL.
 * *rest is set to the part of path after the prefix.
 */
const Gyp__FlowQueue *gyp_manifest_queue(const Gyp__CmdManifest *,
    const char *http_host, const char *path, const char **rest);

/*
 * The unit of a task, and the number of a task by repetition, step and index;
 * UINT32_MAX if there is none.
 */
struct gyp_flow_unit *gyp_flow_unit_of(const struct gyp_flow *, uint32_t task);
uint32_t gyp_flow_task_at(const struct gyp_flow *, uint32_t repetition,
    uint32_t step, uint32_t index);

/* True if all units that this one depends on are done. */
bool gyp_flow_unit_is_ready(
    const struct gyp_flow *, const struct gyp_flow_unit *);

/* True if the flow has not completed, failed or been cancelled. */
bool gyp_flow_is_alive(const struct gyp_flow *);

/*
 * True if the open run must be stopped: its flow has ended, or another run of
 * its gang has.
 */
bool gyp_flow_run_is_unwanted(const struct gyp_flow *, uint32_t task);

/* NULL if the specification is valid, else a description of the error. */
const char *gyp_flow_check_spec(const Gyp__FlowSpec *);

/*
 * True if the latest run of a waiting task may still be reported as done, as
 * when it was given up because its lease expired. Never for lasting steps,
 * gangs and flows that have ended.
 */
bool gyp_flow_accepts_late_done(const struct gyp_flow *, uint32_t task);

const char *gyp_flow_state_name(enum gyp_flow_state);
const char *gyp_flow_how_name(Gyp__FlowHow);

#endif
