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
 *	Changed by gyp_state_apply() only, with the committed entries of the
 *	replicated log, so that every replica holds the same tables. It knows
 *	neither clocks nor policy: cell time comes with each batch. A command
 *	that no longer fits the tables is ignored as a whole; whoever proposed
 *	it looks at the tables afterwards.
 *
 *	The promises about outcomes are kept here: capacity is checked before
 *	a placement takes effect, a task has at most one open attempt, and a
 *	task that is not idempotent never gets a second one.
 */

/* Most tasks of one job. */
#define GYP_TASKS_MAX 256

/* Largest payload and largest answer kept, in bytes. */
#define GYP_PAYLOAD_MAX (64 * 1024)
#define GYP_ANSWER_MAX  (64 * 1024)

/* How long a finished job and its key are kept, in ms of cell time. */
#define GYP_JOB_RETENTION_MS (24ULL * 3600 * 1000)

/* Most finished jobs kept, and most bytes of their payloads and answers. */
#define GYP_RETAINED_JOBS_MAX  20000
#define GYP_RETAINED_BYTES_MAX (8ULL * 1024 * 1024)

/* Most keys remembered after their jobs are gone. */
#define GYP_RETIRED_KEYS_MAX 262144

/* Failures that end an idempotent task, unless its job says otherwise. */
#define GYP_TASK_FAILURES_MAX 3

/* Versions of the rules that are kept. */
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
	Gyp__Outcome last_outcome; /* of the latest attempt that is over */
	Gyp__CmdFinish *finish;    /* set when OVER, NULL if never attempted */
};

struct gyp_job {
	uint64_t id;           /* handle */
	uint64_t seq;          /* order of submission */
	uint64_t finished_seq; /* order of the ends */
	Gyp__JobSpec *spec;
	struct gyp_res size; /* of one task */
	uint64_t submitted_ms;
	uint64_t finished_ms;
	Gyp__Outcome outcome; /* NONE until every task is over */
	bool cancelled;
	bool restarting; /* a gang: all tasks end, then all are queued */
	char *reason;
	uint32_t n_tasks;
	uint32_t n_queued;
	uint32_t n_placed;
	struct gyp_task *tasks;
	GList link; /* in the queue while n_queued > 0 */
};

enum gyp_endpoint_state {
	GYP_ENDPOINT_ACTIVE = 1,
	GYP_ENDPOINT_LEAVING = 2, /* gets no new work, and never will again */
	GYP_ENDPOINT_QUARANTINED = 3,
	GYP_ENDPOINT_REMOVED = 4, /* a command only: the row is removed */
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

/* Called during apply, after the tables have changed. */
struct gyp_state_listener_ops {
	void (*placed)(
	    struct gyp_state_listener *, struct gyp_job *, uint32_t task);
	/* The attempt of a task is over, by whatever way. */
	void (*attempt_ended)(
	    struct gyp_state_listener *, struct gyp_job *, uint32_t task);
	void (*job_finished)(struct gyp_state_listener *, struct gyp_job *);
	/* The open attempts of the job must stop. */
	void (*job_cancelled)(struct gyp_state_listener *, struct gyp_job *);
};

struct gyp_state_listener {
	const struct gyp_state_listener_ops *ops;
};

struct gyp_state_observer;

/* Called during apply; for whoever keeps sums or an index of the tables. */
struct gyp_state_observer_ops {
	/* A row was added, changed or, when NULL is given, removed. */
	void (*endpoint)(struct gyp_state_observer *, uint64_t id,
	    const struct gyp_endpoint *);
	/* A job without queued tasks got some. */
	void (*queued)(struct gyp_state_observer *, const struct gyp_job *);
	/*
	 * A task was booked on its endpoint, or is no longer: by the finish,
	 * or NULL when its placement was undone as a whole.
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

/* Sets the one watcher; NULL for none. It must read the tables itself first. */
void gyp_state_set_observer(struct gyp_state *, struct gyp_state_observer *);

/* Applies one committed batch. */
void gyp_state_apply(struct gyp_state *, const Gyp__Batch *);

/* Packs all tables; and replaces all tables by packed ones. */
GBytes *gyp_state_save(const struct gyp_state *);
bool gyp_state_restore(struct gyp_state *, const uint8_t *, size_t len);

/* Aborts the program when a promise does not hold. */
void gyp_state_check(const struct gyp_state *);

uint64_t gyp_state_time(const struct gyp_state *);
const struct gyp_table *gyp_state_jobs(const struct gyp_state *);
const struct gyp_table *gyp_state_endpoints(const struct gyp_state *);

/* The tables of flows; never NULL, and others after a restore. */
struct gyp_flows;
struct gyp_flows *gyp_state_flows(const struct gyp_state *);

/* Jobs with queued tasks, oldest first: list of struct gyp_job. */
const GQueue *gyp_state_queue(const struct gyp_state *);

struct gyp_job *gyp_state_job(const struct gyp_state *, uint64_t id);
struct gyp_job *gyp_state_job_by_key(
    const struct gyp_state *, const char *team, const char *key);
struct gyp_endpoint *gyp_state_endpoint(const struct gyp_state *, uint64_t id);
struct gyp_endpoint *gyp_state_endpoint_by_name(
    const struct gyp_state *, const char *name);

/* True when the key's job is gone, or the key was refused before a job came. */
bool gyp_state_key_retired(
    const struct gyp_state *, const char *team, const char *key);

/* True when the key was refused before any job had it: nothing ran. */
bool gyp_state_key_refused(
    const struct gyp_state *, const char *team, const char *key);

/* The newest rules, or NULL; and the version made by a request, or NULL. */
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

/* "done", "failed", "not_run", "unknown", or "none". */
const char *gyp_outcome_name(Gyp__Outcome);
const char *gyp_kind_name(Gyp__Kind);

#endif
