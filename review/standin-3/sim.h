#ifndef SIM_H
#define SIM_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/*
 * NAME
 *	sim - stand-ins of workers, clients, the operator and the provider
 *
 * DESCRIPTION
 *	Each worker follows PROTOCOL.md ("Running tasks", "Service discovery"):
 *	it reports itself, starts and stops tasks, holds a lease on its own
 *	clock, lists what runs and what has ended, and rejects a run that is
 *	not higher than one that ended or was stopped there. One mutex guards
 *	all state.
 */

#define SIM_WORKERS_MAX 16
#define SIM_RUNS_MAX    512
#define SIM_ENDS_MAX    4096
#define SIM_TASK_MAX    64

/* A time that never comes, in ms. */
#define SIM_NEVER UINT64_MAX

struct sim_run {
	char task[SIM_TASK_MAX];
	unsigned number;
	uint64_t started_at; /* sim_now() */
	uint64_t ends_at;    /* sim_now(), or SIM_NEVER */
};

struct sim_end {
	uint64_t number;
	char task[SIM_TASK_MAX];
	unsigned run;
	const char *how;
};

/* The highest run of a task that ended or was stopped on a worker. */
struct sim_last {
	char task[SIM_TASK_MAX];
	unsigned run;
};

struct sim_worker {
	int index;
	char id[32];
	char address[32];
	char beat_address[32]; /* of the next status report, or empty */
	uint64_t born;         /* Unix ms */
	uint64_t clock_zero;   /* sim_now() at clock 0 */
	uint64_t lease_end;    /* own clock, ms */
	uint64_t fence;
	uint64_t seq;
	bool up;
	bool draining;
	bool listed;  /* by the provider */
	bool deaf;    /* nothing that is sent to it arrives */
	bool reports; /* sends status reports */
	struct sim_run runs[SIM_RUNS_MAX];
	int n_runs;
	struct sim_end ends[SIM_ENDS_MAX];
	int n_ends;
	uint64_t last_end;
	struct sim_last last[SIM_ENDS_MAX];
	int n_last;
	int listen_fd;
};

struct sim {
	int base; /* first port */
	int cells;
	int workers;
	bool trouble;
	uint64_t hold_max_ms;
	const char *key; /* API key of the clients' tenant, or NULL */
	bool odd_entry;  /* another writer's entry is on the provider's list */
	char control[8][32];
	char front[32];
	struct sim_worker worker[SIM_WORKERS_MAX];
	pthread_mutex_t lock;
	pthread_cond_t ended;
	/* Decides how long a run takes; SIM_NEVER: it lasts. */
	uint64_t (*task_ms)(const char *task);
	/* Called at each start and end, with the lock held. */
	void (*on_start)(struct sim_worker *, const struct sim_run *);
	void (*on_end)(
	    struct sim_worker *, const struct sim_run *, const char *how);
};

extern struct sim sim;

uint64_t sim_now(void);  /* steady clock, ms */
uint64_t sim_unix(void); /* Unix ms */
void sim_sleep(uint64_t ms);

/* Writes a line with the time since the start to record.txt. */
void sim_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Opens record.txt, starts workers and the provider; exits with 2 if not. */
void sim_start(const char *record);

/*
 * Sends one request on a new channel and returns the status, 0 without a
 * complete answer. body and answer may be NULL. location gets the address of a
 * redirect, or "".
 */
int sim_http(const char *address, const char *method, const char *path,
    const char *host, const char *body, int timeout_ms, char *answer,
    size_t answer_size, char location[32]);

/* The operator's manifest; retried until it is acknowledged. */
bool sim_manifest(const char *manifest, int attempts);

/* Hands in a job; retried while there is no clear answer. Returns the status.
 */
int sim_submit(const char *path, const char *job);

/* The state of a job, or "" if it isn't told. */
void sim_state(const char *path, char *state, size_t size);

/* Reports the worker once; true if it was acknowledged. */
bool sim_beat(struct sim_worker *);

/* Announces the end of a worker at the replicas; the last answer's status. */
int sim_announce_end(struct sim_worker *);

/* Ends all that runs on the worker, and the worker itself. */
void sim_end_worker(struct sim_worker *, const char *why);

/* Worker that has a run of a job, with the run; NULL if none. Locks. */
struct sim_worker *sim_find(const char *job, struct sim_run *run);

/* Number of workers that have a run of a job now. Locks. */
int sim_count(const char *job);

#endif
