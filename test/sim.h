#ifndef SIM_H
#define SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "entry.h"
#include "leases.h"
#include "msg.h"
#include "replica.h"

/*
 * NAME
 *	sim - simulates replicas, entries and endpoints in one process
 *
 * DESCRIPTION
 *	Virtual time advances in fixed steps. Frames between processes wait in
 *	one ordered queue per pair of nodes and direction; exchanges with
 *	endpoints are delivered in any order. All faults are drawn from one
 *	seeded generator, so that a seed repeats a run. Independently of the
 *	code under test, the simulator records the answers that callers
 *	received and the runs that took place, and checks invariants on these
 *	records.
 *
 *	sim_net.c	frame queues, partitions, lost connections
 *	sim_proc.c	replicas with a simulated disk, and entries
 *	sim_endpoint.c	simulated endpoints and the record of actual runs
 *	sim_caller.c	callers and operators, and the answers they received
 *	test_cell.c	faults, phases, seeds
 */

#define SIM_STEP_MS 10

/* Nodes: replicas first, then entries, then endpoints. */
#define SIM_REPLICAS  5
#define SIM_ENTRIES   3
#define SIM_ENDPOINTS 6
#define SIM_ENTRY     SIM_REPLICAS
#define SIM_ENDPOINT  (SIM_ENTRY + SIM_ENTRIES)
#define SIM_NODES     (SIM_ENDPOINT + SIM_ENDPOINTS)

/* Settings of the processes under test, in ms. */
#define SIM_ELECTION_MS       400
#define SIM_HEARTBEAT_MS      50
#define SIM_ENDPOINT_LEASE_MS 2000
#define SIM_LONG_LEASE_MS     60000
#define SIM_ENTRY_LEASE_MS    1500
#define SIM_START_WINDOW_MS   800
#define SIM_KEEPALIVE_MS      200
#define SIM_SILENCE_MS        800

/* Half of the largest difference of two clock rates, in parts per million. */
#define SIM_MAX_CLOCK_PPM (1000000 / GYP_CLOCK_RATE_DIVISOR / 2)

/*
 * Longest time after the acknowledgement of its leave at which an endpoint may
 * still receive a start: the start window of an order sent just before, plus
 * twice the bound on clock rates and one step.
 */
#define SIM_LEAVE_BOUND_MS                                                     \
	(SIM_START_WINDOW_MS + SIM_START_WINDOW_MS / 50 + SIM_STEP_MS)

/*
 * Longest time after the acknowledgement of a version of the rules at which an
 * entry with a lease may still apply an older one: one lease, plus the time
 * for which a deposed leader may still grant leases, plus twice the bound on
 * clock rates.
 */
#define SIM_RULES_BOUND_MS                                                     \
	(SIM_ENTRY_LEASE_MS + 2 * SIM_ELECTION_MS + SIM_ENTRY_LEASE_MS / 50)

struct sim;

struct sim_msg {
	uint64_t due;
	uint64_t from_id; /* replica id or incarnation of the sender */
	uint64_t to_id;   /* incarnation of the receiver, 0 for any */
	bool from_entry;  /* the sender is an entry */
	GBytes *packed;
};

struct sim_node {
	bool up;
	uint64_t id;          /* replica id or incarnation */
	uint64_t start_count; /* starts of this node so far */
	uint64_t frozen_until;
	bool freeze_at_send; /* once it has output, before that is sent */
	bool resume_pending;
	uint64_t restart_at;
	uint64_t clock_offset;
	int32_t clock_ppm;
	char address[24];
	GQueue pending_output; /* struct output, see sim_proc.c */

	/* Replicas. */
	struct gyp_replica *replica;
	GPtrArray *disk;        /* struct gyp_record, owned */
	guint synced;           /* records that survive a kill */
	guint records_at_start; /* records on disk when it started */
	uint64_t sync_at;
	uint64_t full_until; /* the disk has no space; 0 for none */
	uint64_t join_at;
	uint64_t applied; /* applied index at the last check */
	uint64_t rules;   /* version of the rules at the last check */

	/* Entries. */
	struct gyp_entry_core *entry;
	uint64_t reconnect_at[SIM_REPLICAS]; /* UINT64_MAX while connected */
	uint64_t entry_rules;     /* version of the rules at the last check */
	uint64_t max_leader_term; /* highest received from a leader */
};

/* A submitted job, the answers to its caller, and its actual runs. */
struct sim_job {
	char *key;
	Gyp__JobSpec spec;
	Gyp__Res size;
	uint64_t id; /* 0 until an answer names it */
	bool accepted;
	bool cancelled; /* a cancellation was acknowledged */
	uint64_t cancel_acked_at;
	bool want_cancel;
	bool reported;
	bool closed; /* the caller no longer resends */
	uint32_t submits;
	Gyp__Outcome outcome;
	GBytes *answer;
	bool calling;     /* a submit is in progress */
	uint64_t next_at; /* earliest time of the next submit */

	/* By task. */
	uint32_t starts[4];
	uint32_t running[4];
	bool not_run[4]; /* an answer reported not_run */

	GHashTable *answers; /* "TASK ANSWER" of each successful run */
};

/* One call of a caller, endpoint or operator at an entry. */
struct sim_call {
	struct sim_call_ops {
		void (*answered)(
		    struct sim *, struct sim_call *, const struct gyp_answer *);
	} const *ops;
	/* struct sim_job, sim_apply or sim_endpoint, depending on ops */
	void *subject;
	uint64_t sent_at; /* clock of the calling endpoint, in ms */
	uint64_t tag;     /* endpoint's incarnation, or id of reported run */
	int entry;
	bool open;
};

struct sim_endpoint;

/* A request of an operator to apply rules. */
struct sim_apply {
	char *request;
	char *text;
	uint64_t base;
	uint64_t version; /* acknowledged, 0 for none */
	uint64_t acked_at;
	bool refused;
	bool calling;
	uint64_t next_at;
};

struct sim {
	guint32 seed;
	GRand *rand;
	uint64_t now;
	bool faults;
	bool trace;

	/*
	 * Endpoints have the slowest clocks, replicas and entries the fastest;
	 * leases are long, and inject_faults() only partitions endpoints.
	 */
	bool worst_clocks;

	uint32_t endpoint_lease_ms;
	int n_replicas;
	int n_entries;
	struct sim_node nodes[SIM_NODES];
	bool blocked[SIM_NODES][SIM_NODES];
	uint64_t heal_at[SIM_NODES];
	GQueue frame_queues[SIM_NODES][SIM_NODES]; /* struct sim_msg */
	GPtrArray *exchanges; /* struct sim_exchange, owned */
	struct sim_endpoint *endpoints[SIM_ENDPOINTS];
	GPtrArray *jobs;          /* struct sim_job, owned */
	GHashTable *by_key;       /* key -> struct sim_job */
	GPtrArray *calls;         /* struct sim_call, owned */
	GPtrArray *applies;       /* struct sim_apply, owned */
	GHashTable *state_hashes; /* applied index -> hash of the tables */
	uint64_t last_id;
	uint64_t next_job_at;
	uint64_t next_apply_at;
	uint64_t faults_ended_at;

	/* Statistics, printed at the end of a seed. */
	uint32_t n_starts, n_kills, n_partitions, n_freezes, n_disks_lost,
	    n_disks_full, n_leaves;
	uint32_t n_done, n_failed, n_not_run, n_unknown, n_applied;
	uint64_t leaderless_since, max_leaderless_ms;
	uint64_t max_rules_lag_ms;
};

/*
 * Reports a violated invariant and aborts; the abort handler of test_cell.c
 * adds the seed and the command that repeats it.
 */
void sim_fail(struct sim *, const char *format, ...)
    G_GNUC_PRINTF(2, 3) G_GNUC_NORETURN;

/* Prints one event when GYP_TRACE is set. */
void sim_trace(const struct sim *, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns a random number from low to high - 1. */
int sim_random(struct sim *, int low, int high);

/* Returns true with probability 1/n. */
bool sim_one_in(struct sim *, int n);

/*
 * Returns the monotonic clock of a node in ms; each node has its own offset and
 * rate.
 */
uint64_t sim_clock(const struct sim *, int node);
uint64_t sim_new_id(struct sim *);
bool sim_is_running(const struct sim *, int node); /* up and not frozen */

/* sim_net.c */
void sim_send(struct sim *, int from, int to, uint64_t to_id, GBytes *);
void sim_break_connections(struct sim *, int a, int b);
void sim_deliver(struct sim *);
void sim_disconnect_node(struct sim *, int node);
void sim_partition(struct sim *, int node, int with, uint32_t ms);
void sim_heal(struct sim *, int node);
void sim_reconnect(struct sim *);

/* sim_proc.c */
void sim_replica_start(struct sim *, int node);
void sim_replica_kill(struct sim *, int node, bool lose_disk);

/* The disk has no space for a while, also after a restart. */
void sim_fill_disk(struct sim *, int node, uint32_t ms);
void sim_entry_start(struct sim *, int node);
void sim_entry_kill(struct sim *, int node);
void sim_receive(struct sim *, int node, const struct sim_msg *);
void sim_step_processes(struct sim *);
void sim_process_output(struct sim *, int node);
int sim_leader(const struct sim *); /* a replica that serves as leader, or -1 */

/* sim_endpoint.c */
void sim_endpoints_init(struct sim *);
void sim_endpoints_free(struct sim *);
void sim_endpoint_start(struct sim *, int nth);
void sim_endpoint_kill(struct sim *, int nth);
void sim_endpoint_leave(struct sim *, int nth);
void sim_step_endpoints(struct sim *);
void sim_exchange(struct sim *, int entry, struct gyp_exchange *);
void sim_step_exchanges(struct sim *);
bool sim_endpoints_idle(struct sim *);
/* Makes all endpoints behave correctly, and kills those that are leaving. */
void sim_endpoints_end_faults(struct sim *);

/* sim_caller.c */
void sim_callers_init(struct sim *);
void sim_callers_free(struct sim *);
void sim_step_callers(struct sim *);
bool sim_callers_done(struct sim *);
void sim_check_final_state(struct sim *);
struct sim_call *sim_call(struct sim *, int entry, const Gyp__Call *,
    uint32_t timeout_ms, const struct sim_call_ops *, void *subject);
int sim_random_entry(struct sim *); /* a running entry, or -1 */

#endif
