#ifndef GYP_STATE_H
#define GYP_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "table.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	state - the cell's tables of jobs, endpoints and rules
 *
 * DESCRIPTION
 *	The replicated state machine. Only gyp_state_apply() changes the
 *	tables, with the committed entries of the replicated log, so that every
 *	replica holds the same tables. It reads no clock and applies no policy:
 *	cell time comes with each batch. A command that does not fit the
 *	current tables is ignored as a whole; its proposer reads the tables
 *	afterwards to see whether it took effect.
 *
 *	The guarantees about outcomes are enforced here: capacity is checked
 *	before a placement takes effect, a task has at most one open attempt,
 *	and a task that is not idempotent never gets a second attempt.
 */

/* Maximum number of tasks of one job. */
#define GYP_TASKS_MAX 256

/* Maximum size of a stored payload and of a stored answer, in bytes. */
#define GYP_PAYLOAD_MAX (64 * 1024)
#define GYP_ANSWER_MAX  (64 * 1024)

/* Retention of a finished job and its key, in ms of cell time. */
#define GYP_JOB_RETENTION_MS (24ULL * 3600 * 1000)

/* Maximum finished jobs kept, and bytes of their payloads and answers. */
#define GYP_RETAINED_JOBS_MAX  20000
#define GYP_RETAINED_BYTES_MAX (8ULL * 1024 * 1024)

/* Maximum number of retired keys kept: keys of removed jobs, refused keys. */
#define GYP_RETIRED_KEYS_MAX 262144

/* Failures that end an idempotent task, unless its job sets a number. */
#define GYP_TASK_FAILURES_MAX 3

/* Number of versions of the rules that are kept. */
#define GYP_RULES_VERSIONS_MAX 64

/* An amount of each resource. */
struct gyp_res {
	uint32_t cpu_milli; /* thousandths of a processor */
	uint64_t memory;    /* bytes */
	uint32_t accel;     /* accelerators */
	uint32_t slots;
};

enum gyp_task_state {
	GYP_TASK_QUEUED,
	GYP_TASK_PLACED, /* an attempt is open: it may be running */
	GYP_TASK_ENDED
};

struct gyp_task {
	enum gyp_task_state state;
	uint32_t attempt; /* number of the latest attempt, 0 for none */
	uint64_t endpoint;
	uint64_t entry; /* incarnation of the entry that may send the start */
	uint64_t changed_ms;
	uint32_t failures;
	Gyp__Outcome last_outcome; /* of the latest ended attempt */
	Gyp__CmdFinish *finish;    /* of the attempt that ended it, or NULL */
};

struct gyp_job {
	uint64_t id;           /* handle */
	uint64_t seq;          /* order of submission */
	uint64_t finished_seq; /* order in which jobs finished */
	Gyp__JobSpec *spec;
	struct gyp_res size; /* of one task */
	uint64_t submitted_ms;
	uint64_t finished_ms;
	Gyp__Outcome outcome; /* NONE until every task has ended */
	bool cancelled;
	bool restarting; /* a gang: queued again once all tasks end */
	char *reason;
	uint32_t n_tasks;
	uint32_t n_queued;
	uint32_t n_placed;
	struct gyp_task *tasks;
	GList link; /* in the queue while n_queued > 0 */
};

enum gyp_endpoint_state {
	GYP_ENDPOINT_ACTIVE = 1,
	GYP_ENDPOINT_LEAVING = 2, /* departing: never gets new work again */
	GYP_ENDPOINT_QUARANTINED = 3,
	GYP_ENDPOINT_REMOVED = 4, /* only in commands: removes the row */
	GYP_ENDPOINT_DRAINED = 5  /* by an operator, who may undo it */
};

struct gyp_endpoint {
	uint64_t id; /* handle */
	Gyp__CmdEndpoint *spec;
	enum gyp_endpoint_state state;
	struct gyp_res capacity;
	struct gyp_res booked;
	GArray *attempts; /* struct gyp_task_ref */
};

struct gyp_task_ref {
	uint64_t job;
	uint32_t task;
};

/* For hash tables whose keys are struct gyp_task_ref. */
guint gyp_task_ref_hash(gconstpointer);
gboolean gyp_task_ref_equal(gconstpointer, gconstpointer);

struct gyp_rules_version {
	uint64_t version;
	uint64_t time_ms;
	Gyp__CmdRules *cmd;
};

struct gyp_state;
struct gyp_state_listener;

/* Called during apply, after the change in the tables, except as noted. */
struct gyp_state_listener_ops {
	void (*placed)(
	    struct gyp_state_listener *, struct gyp_job *, uint32_t task);
	/* The task's attempt has ended; its new state is not set yet. */
	void (*attempt_ended)(
	    struct gyp_state_listener *, struct gyp_job *, uint32_t task);
	void (*job_finished)(struct gyp_state_listener *, struct gyp_job *);
	/*
	 * The job was cancelled, or its gang restarts: the open attempts must
	 * stop.
	 */
	void (*stop_attempts)(struct gyp_state_listener *, struct gyp_job *);
};

struct gyp_state_listener {
	const struct gyp_state_listener_ops *ops;
};

struct gyp_state_observer;

/* Called during apply, for code that keeps sums or an index of the tables. */
struct gyp_state_observer_ops {
	/* A row was added or changed; or removed, when NULL is given. */
	void (*endpoint)(struct gyp_state_observer *, uint64_t id,
	    const struct gyp_endpoint *);
	/* A job without queued tasks got some. */
	void (*queued)(struct gyp_state_observer *, const struct gyp_job *);
	/*
	 * A task was booked on its endpoint, or its booking was released: by
	 * the given finish, or NULL when the whole placement was undone.
	 */
	void (*booked)(
	    struct gyp_state_observer *, const struct gyp_job *, uint32_t task);
	void (*released)(struct gyp_state_observer *, const struct gyp_job *,
	    uint32_t task, const Gyp__CmdFinish *);
};

struct gyp_state_observer {
	const struct gyp_state_observer_ops *ops;
};

/* The listener may be NULL. */
struct gyp_state *gyp_state_new(struct gyp_state_listener *);
void gyp_state_free(struct gyp_state *);

/*
 * Sets the only observer; NULL for none. Existing rows are not reported: the
 * observer reads the tables first.
 */
void gyp_state_set_observer(struct gyp_state *, struct gyp_state_observer *);

/* Applies one committed batch. */
void gyp_state_apply(struct gyp_state *, const Gyp__Batch *);

/*
 * Applies one committed batch, which was unpacked, and frees it. Its manifest
 * is taken over, as a copy of thousands of queues delays heartbeats.
 */
void gyp_state_take(struct gyp_state *, Gyp__Batch *);

/*
 * Packs all tables into a snapshot, and replaces all tables by those of a
 * snapshot. A restore that returns false may leave the tables incomplete.
 */
GBytes *gyp_state_save(const struct gyp_state *);
bool gyp_state_restore(struct gyp_state *, const uint8_t *, size_t len);

/* Aborts the program when an invariant does not hold. */
void gyp_state_check(const struct gyp_state *);

uint64_t gyp_state_time(const struct gyp_state *);
const struct gyp_table *gyp_state_jobs(const struct gyp_state *);
const struct gyp_table *gyp_state_endpoints(const struct gyp_state *);

/* The tables of flows; never NULL. A restore replaces them by new ones. */
struct gyp_flows;
struct gyp_flows *gyp_state_flows(const struct gyp_state *);

/*
 * Jobs with queued tasks, as struct gyp_job: in order of submission, but a job
 * that is queued again goes to the front. A restore sorts all of them by
 * submission.
 */
const GQueue *gyp_state_queue(const struct gyp_state *);

struct gyp_job *gyp_state_job(const struct gyp_state *, uint64_t id);
struct gyp_job *gyp_state_job_by_key(
    const struct gyp_state *, const char *team, const char *key);
struct gyp_endpoint *gyp_state_endpoint(const struct gyp_state *, uint64_t id);
struct gyp_endpoint *gyp_state_endpoint_by_name(
    const struct gyp_state *, const char *name);

/* True when the key's job was removed, or gyp_state_key_refused() is true. */
bool gyp_state_key_retired(
    const struct gyp_state *, const char *team, const char *key);

/* True when the key was refused before any job had it: nothing ran. */
bool gyp_state_key_refused(
    const struct gyp_state *, const char *team, const char *key);

/*
 * The newest version of the rules, the nth newest counted from 0, and the one
 * made by a request; NULL when there is none.
 */
const struct gyp_rules_version *gyp_state_rules(const struct gyp_state *);
const struct gyp_rules_version *gyp_state_rules_at(
    const struct gyp_state *, uint32_t nth);
const struct gyp_rules_version *gyp_state_rules_by_request(
    const struct gyp_state *, const char *request);

/* Arithmetic on resources. */
struct gyp_res gyp_res_from(const Gyp__Res *);
bool gyp_res_fits(const struct gyp_res *need, const struct gyp_res *free);
void gyp_res_add(struct gyp_res *, const struct gyp_res *);
void gyp_res_sub(struct gyp_res *, const struct gyp_res *);

/* Returns "done", "failed", "not_run", "unknown" or "none". */
const char *gyp_outcome_name(Gyp__Outcome);
const char *gyp_kind_name(Gyp__Kind);

#endif
