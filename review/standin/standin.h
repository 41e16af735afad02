#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

/*
 * Stand-ins of the platform for the scripts of this review: workers, a client
 * and the operator, as PROTOCOL.md describes them. Blocking sockets, one thread
 * for each connection; one lock guards all state.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RUNS_MAX  256
#define ENDS_MAX  1024
#define TASKS_MAX 1024

/* Bounds of the deployment, in ms. */
#define HOLD_MAX_MS  6000
#define HEARTBEAT_MS 1500

struct run {
	char task[64];
	unsigned run_id;
	uint64_t ends_at; /* 0: lasts until it is stopped */
};

struct end {
	uint64_t number;
	char task[64];
	unsigned run_id;
	const char *how;
};

struct worker {
	char id[32];
	char address[32]; /* ip:port */
	uint64_t born_ms; /* 0: not up */
	uint64_t clock_zero;
	uint64_t lease_until; /* by the worker's clock */
	uint64_t fence;
	uint64_t seq;
	char kind; /* its first label */
	bool draining;
	bool cut; /* partitioned: sends no reports and answers no calls */
	struct run runs[RUNS_MAX];
	int n_runs;
	struct end ends[ENDS_MAX];
	int n_ends;
	uint64_t last_end;
	struct { /* highest run that ended or was stopped, by task */
		char task[64];
		unsigned run_id;
	} old[TASKS_MAX];
	int n_old;
	char heartbeat_at[64]; /* ip:port for the next status report */
	int next_control;
};

/* Called with the lock held when a worker begins a task. */
extern void (*on_start)(struct worker *, const char *task, unsigned run_id);

/* ---- Time and record ---------------------------------------------------- */
uint64_t now_ms(void); /* steady, since the start of the driver */
void sleep_until(uint64_t ms);
/* Appends a line with the time to the record of the case. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void lock(void);
void unlock(void);

/* ---- HTTP --------------------------------------------------------------- */
struct response {
	int status; /* 0: none in time, or the connection broke */
	char location[128];
	char body[4096];
};

int http_connect(const char *address, int timeout_ms);
/* Sends a request; false when the connection broke. */
bool http_send(int fd, const char *method, const char *path,
    const char *headers, const char *body);
void http_receive(int fd, int timeout_ms, struct response *);
void http_call(const char *address, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms, struct response *);

/* ---- Roles -------------------------------------------------------------- */
extern char *controls[16], *fronts[16]; /* from $CONTROLS and $FRONTS */
extern int n_controls, n_fronts;
void standin_init(void);

/* Capacity of each worker, in thousandths of a core. */
#define WORKER_CPU 32000

/* Begins a life of the worker: its server, its clock and its reports. */
void worker_start(
    struct worker *, const char *id, const char *address, char kind);
/* Ends it at once; nothing that runs there goes on. */
void worker_end(struct worker *);
/* Sends one status report; returns the status of the answer. */
int worker_report(struct worker *);
/* Begins lives of the workers i-0, i-1, ... of kind a at their addresses. */
void workers_start(struct worker *, int n);
/* The address of worker number n; released by free(). */
char *worker_address(int n);
/* Number of up workers at which a run of the task is present. */
int count_runs(const char *task);

/* Sends the manifest as the operator does until it is acknowledged. */
bool put_manifest(const char *text, int timeout_ms);
/* A request of a client to the queue's path plus the job's id. */
void client_call(int front, const char *method, const char *id,
    const char *body, int timeout_ms, struct response *);
/* Waits until an edge node has a leader and all workers are known. */
bool wait_ready(const char *manifest);
/* True unless the environment has TROUBLE=0. */
bool trouble(void);
/* Process id in the environment variable, e.g. EDGE_0 or CORE_1. */
int pid_of(const char *name);

/* ---- Links between machines --------------------------------------------- */

/*
 * A proxy before each replica, see ANNOUNCE in common.sh. While edge 0 is cut
 * off, nothing passes between it and the core: bytes are held and pass after
 * the cut. With one_way, what edge 0 sends on channels that were open when the
 * cut began still arrives; what the core sends on them is lost, and after
 * UNACKED_MS without an acknowledgement they are closed, as the programs have
 * the kernel do (TCP_USER_TIMEOUT). New channels pass nothing before the end of
 * the cut.
 */
#define UNACKED_MS 2000
struct cut {
	bool on;
	bool one_way;
	uint64_t since;
};
extern struct cut cut;
void proxies_start(void);
/* Begins or ends the cut. */
void cut_begin(void);
void cut_end(void);

/* A manifest with one queue; workers of the service run its tasks. */
extern const char one_queue[];
#define QUEUE_HOST   "queue.example"
#define QUEUE_PREFIX "/q/"

#endif
