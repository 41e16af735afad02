#ifndef GYP_POLICY_INT_H
#define GYP_POLICY_INT_H

#include "headroom.h"
#include "health.h"
#include "policy.h"

/*
 * NAME
 *	policy_int - internals shared by the files of the policy
 *
 * DESCRIPTION
 *	policy.c	rounds and the watched tables
 *	policy_index.c	index of endpoints by free capacity
 *	policy_queue.c	order of teams, classes and jobs
 *	policy_score.c	score functions
 *	policy_gang.c	gangs (all or nothing) and reservations
 *	policy_preempt.c evictions for urgent work
 *	policy_faults.c	quarantine of failing endpoints
 *	policy_explain.c text of why a job waits
 */

/*
 * Interval of full rounds, in ms. A full round tries jobs again that did not
 * fit before, and updates what depends on time alone: headroom, quarantine and
 * the reservation.
 */
#define POLICY_FULL_ROUND_MS 500

/* Most jobs at the head of a queue that one pass over it tries. */
#define POLICY_SCAN_DEPTH 16

/* Wait after which a job that does not fit gets a reservation, in ms. */
#define POLICY_RESERVE_AFTER_MS 10000

/* ---- Endpoints --------------------------------------------------------- */

/* The state of an endpoint, with the bookings of the current round. */
struct endpoint_view {
	uint64_t id; /* 0: unused row */
	struct gyp_res capacity;
	struct gyp_res available;
	const struct gyp_endpoint *ep;
	uint32_t tasks;
	bool usable;  /* active */
	bool probing; /* back from quarantine: one task at a time */
	uint32_t tasks_before_probe; /* placed before the quarantine ended */
	uint64_t back_at;            /* from its latest quarantine */
	uint64_t held_for;   /* job of a reservation or eviction, or 0 */
	uint64_t held_until; /* for evictions only */
	uint32_t bucket;     /* of the grid; UINT32_MAX for none */
	uint32_t pos;        /* in the bucket */
	uint32_t shape;
};

struct index;

/* What an endpoint must satisfy to take a task. */
struct index_query {
	const struct gyp_res *size;
	const struct gyp_job *job;
	uint64_t now;
	bool avoid_failed;  /* skip endpoints where the job failed */
	uint64_t run_ms;    /* expected run time, 0 if unknown */
	uint32_t max_tasks; /* on one endpoint */
	bool urgent;        /* may use endpoints of a reservation */
	bool scan_all;      /* spread or rack limit applies */
	enum gyp_spread_domain over;
	uint32_t rack_limit;
	const GArray *placements; /* of this round; this job's are at the end */
};

struct index *index_new(void);
void index_free(struct index *);

/* Updates the row of an endpoint; NULL if the endpoint was removed. */
void index_update(struct index *, uint64_t id, const struct gyp_endpoint *);

/* Books or releases the size on an endpoint for the current round. */
void index_book(struct index *, struct endpoint_view *, const struct gyp_res *);
void index_release(
    struct index *, struct endpoint_view *, const struct gyp_res *);

/* Returns the fitting endpoint with the best score, or NULL. */
struct endpoint_view *index_find(
    struct gyp_policy *, const struct index_query *);
struct endpoint_view *index_lookup(struct index *, uint64_t id);
uint32_t index_size(const struct index *);
struct endpoint_view *index_at(
    struct index *, uint32_t row); /* NULL if unused */

/*
 * index_is_feasible() returns true if some empty endpoint could hold a task of
 * the size; index_task_capacity() returns how many all empty ones could hold.
 */
bool index_is_feasible(const struct index *, const struct gyp_res *);
uint64_t index_task_capacity(struct index *, const struct gyp_res *);

/*
 * Returns the largest free amount, of each resource separately, among
 * endpoints whose free capacity has grown since the reset.
 */
const struct gyp_res *index_newly_free(const struct index *);
void index_reset_newly_free(struct index *);

/* Totals over usable endpoints. */
void index_totals(
    const struct index *, struct gyp_res *capacity, struct gyp_res *available);

/* ---- Queues ------------------------------------------------------------ */

struct team {
	char *name;
	struct gyp_res booked;
	struct gyp_res proposed; /* placed in this round */
	const struct gyp_rule *quota;
	const struct gyp_rule *share;
};

struct queue_item {
	uint64_t job;              /* 0: removed */
	uint64_t last_tried_round; /* last round that tried it and left tasks
				      queued, or 0 */
	uint64_t not_before_ms;    /* deferred until then; 0 if it never was */
};

/* Jobs of one team and class. */
struct queue {
	struct team *team;
	char *class_name;
	const struct gyp_rule *weight;
	const struct gyp_rule *urgent;
	const struct gyp_rule *retry;
	const struct gyp_rule *spread;
	GArray *items; /* struct queue_item */
	guint head;
	guint n_jobs;
	double run_ms;       /* mean of successful attempts, 0 if none yet */
	double retry_tokens; /* one per retry */
	uint64_t retry_refill_at;   /* earliest time of the next refill */
	double sort_key;            /* the highest is served first */
	const char *blocked_reason; /* why a job was last not placed */
};

struct gyp_policy {
	struct gyp_state_observer observer;
	const struct gyp_policy_ops *ops;
	struct gyp_state *state;
	const struct gyp_rules *rules;
	struct gyp_rules *defaults;
	GRand *rand;
	enum gyp_search search;
	struct index *index;
	struct gyp_health *health;
	GHashTable *queues; /* "team/class" -> struct queue */
	GPtrArray *queue_list;
	GHashTable *teams;       /* name -> struct team */
	GHashTable *placed_jobs; /* set of jobs placed in this round */
	GArray *dirty;           /* ids of endpoints booked in this round */
	GArray *refusals;        /* struct gyp_refusal, for the next round */
	uint64_t attached_ms;
	uint64_t now;
	uint64_t round;
	uint64_t last_full_round; /* number of the last full round */
	uint64_t next_full_round_at;
	bool due;
	uint64_t reserved_job;   /* job of the reservation, or 0 */
	uint64_t reserved_until; /* backfill must end by then */
	struct gyp_headroom urgent_headroom;
	struct gyp_policy_counters counters;
};

/* The current round. */
struct round {
	struct gyp_policy *policy;
	struct gyp_decision *out;
	uint32_t budget;
	uint32_t next_group;
	uint32_t preempts_left;  /* searches for victims that remain */
	GPtrArray *heap;         /* struct queue, the highest sort_key first */
	struct gyp_res capacity; /* of all usable endpoints */
};

/* policy_queue.c */
/*
 * Return the queue of a job's team and class, and the team of that name; both
 * are created if they don't exist.
 */
struct queue *queue_for_job(struct gyp_policy *, const struct gyp_job *);
struct team *queue_ensure_team(struct gyp_policy *, const char *name);
void queue_add(struct gyp_policy *, const struct gyp_job *);
void queue_refresh_rules(struct gyp_policy *);
void queue_free(gpointer);
void queue_free_team(gpointer);
bool queue_is_urgent(const struct queue *, const struct gyp_job *);
/*
 * Places queued jobs, in the order of the sort keys of their queues, until the
 * budget is used up or nothing more fits.
 */
void queue_run(struct round *);
/*
 * Returns the quota rule that so many more tasks of that size would exceed, or
 * NULL.
 */
const struct gyp_rule *queue_exceeded_quota(
    const struct team *, const struct gyp_res *, uint32_t tasks);
/* Number of tasks of the job that start together: all of a gang, or one. */
uint32_t policy_tasks_at_once(const struct gyp_job *);

/* policy.c */
/* How many of a job's queued tasks were placed. */
enum placed_tasks {
	PLACED_BLOCKED, /* none; blocked before any search */
	PLACED_NONE,
	PLACED_SOME,
	PLACED_ALL
};
enum placed_tasks policy_try_job(
    struct round *, struct queue *, const struct gyp_job *);
/* Returns the longer of declared and learned run time; 0 for a watcher. */
uint64_t policy_expected_run_ms(const struct queue *, const struct gyp_job *);

/* Returns why so many more tasks of the job may not be placed, or NULL. */
const char *policy_block_reason(const struct round *, const struct queue *,
    const struct gyp_job *, uint32_t tasks);
bool policy_place_task(
    struct round *, struct queue *, const struct gyp_job *, uint32_t task);
void policy_undo_placements(struct round *, const struct gyp_job *, guint len);
void policy_refuse(struct gyp_policy *, uint64_t job, char *reason);

/* policy_faults.c: proposes quarantine for failing endpoints, and its end. */
void faults_update_endpoints(struct round *);

/* policy_gang.c */
enum placed_tasks gang_place(
    struct round *, struct queue *, const struct gyp_job *);
void reservation_place(struct round *);
/* Reserves endpoints for a long-waiting job; one job at a time. */
void reservation_consider(struct round *, const struct gyp_job *);
void reservation_release(struct gyp_policy *);

/* policy_preempt.c */
bool preempt_for(struct round *, struct queue *, const struct gyp_job *);

#endif
