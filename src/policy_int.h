#ifndef GYP_POLICY_INT_H
#define GYP_POLICY_INT_H

#include "balance.h"
#include "health.h"
#include "policy.h"

/*
 * NAME
 *	policy_int - what the files of the policy share
 *
 * DESCRIPTION
 *	policy.c	rounds and the watched tables
 *	policy_index.c	endpoints by free capacity
 *	policy_queue.c	order of teams, classes and jobs
 *	policy_score.c	scores
 *	policy_gang.c	all or nothing, and reservations
 *	policy_preempt.c room for urgent work
 *	policy_blame.c	endpoints that fail, into quarantine and back
 *	policy_explain.c reasons
 */

/* Interval of what depends on time alone, in ms. */
#define POLICY_TURN_MS 500

/* Jobs of one queue that a round looks at. */
#define POLICY_DEPTH 16

/* Wait after which a job that does not fit gets a reservation, in ms. */
#define POLICY_RESERVE_AFTER_MS 10000

/* ---- Endpoints --------------------------------------------------------- */

struct spot {
	uint64_t id; /* 0: no such row */
	struct gyp_res capacity;
	struct gyp_res left;
	const struct gyp_endpoint *ep;
	uint32_t tasks;
	bool usable;       /* active */
	bool probing;      /* back from quarantine: one task at a time */
	uint64_t held_for; /* job that a reservation or eviction keeps it for */
	uint64_t held_until; /* of an eviction; reservations have their own */
	uint32_t cell;       /* of the grid; UINT32_MAX: in none */
	uint32_t pos;        /* in the cell */
	uint32_t shape;
};

struct index;

/* What a task asks for. */
struct query {
	const struct gyp_res *size;
	const struct gyp_job *job;
	uint64_t now;
	bool avoid;         /* endpoints where the job failed */
	uint64_t run_ms;    /* expected; 0 for unknown */
	uint32_t max_tasks; /* of an endpoint */
	bool urgent;        /* may use what is reserved for other work */
	bool domains;       /* spread or rack limit: look at all */
	enum gyp_spread_domain over;
	uint32_t rack_limit;
	const GArray *choices; /* of this round, the job's own last */
};

struct index *index_new(void);
void index_free(struct index *);

/* Row of an endpoint after a change; NULL when it is gone. */
void index_update(struct index *, uint64_t id, const struct gyp_endpoint *);

/* Books on, or gives back to, a row for the length of a round. */
void index_take(struct index *, struct spot *, const struct gyp_res *);
void index_give(struct index *, struct spot *, const struct gyp_res *);

struct spot *index_find(struct gyp_policy *, const struct query *);
struct spot *index_spot(struct index *, uint64_t id);
uint32_t index_size(const struct index *);
struct spot *index_at(struct index *, uint32_t row); /* NULL: free row */

/* Whether any endpoint could hold the size when empty; and how many tasks. */
bool index_could_hold(const struct index *, const struct gyp_res *);
uint64_t index_could_hold_tasks(struct index *, const struct gyp_res *);

/* Largest free amounts, dimension by dimension, that grew since the reset. */
const struct gyp_res *index_grown(const struct index *);
void index_reset_grown(struct index *);

/* Sum over usable endpoints. */
void index_sums(
    const struct index *, struct gyp_res *capacity, struct gyp_res *left);

/* ---- Queues ------------------------------------------------------------ */

struct team {
	char *name;
	struct gyp_res booked;
	struct gyp_res chosen; /* in this round */
	const struct gyp_rule *quota;
	const struct gyp_rule *share;
};

struct item {
	uint64_t job;       /* 0: taken out */
	uint64_t tried;     /* round that found no place, 0 for none */
	uint64_t parked_ms; /* not before this */
};

struct lane {
	struct team *team;
	char *class_name;
	const struct gyp_rule *weight;
	const struct gyp_rule *urgent;
	const struct gyp_rule *retry;
	const struct gyp_rule *spread;
	GArray *items; /* struct item */
	guint head;
	guint live;
	double run_ms;       /* mean of finished attempts, 0 for none yet */
	double retry_tokens; /* in retries */
	uint64_t retry_at;   /* when time brings the next token */
	double key;          /* order within a round */
	const char *blocked; /* why the last look found no place */
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
	GHashTable *lanes; /* "team/class" -> struct lane */
	GPtrArray *lane_list;
	GHashTable *teams;  /* name -> struct team */
	GHashTable *chosen; /* jobs with a choice in this round, as a set */
	GArray *touched;    /* ids of endpoints that this round booked on */
	GArray *refusals;   /* struct gyp_refusal, for the next round */
	uint64_t attached_ms;
	uint64_t now;
	uint64_t round;
	uint64_t full_round; /* last one that looked at every queue */
	uint64_t turn_at;
	bool due;
	uint64_t reserved;       /* job that holds endpoints, or 0 */
	uint64_t reserved_until; /* backfill must be over by then */
	struct gyp_balance balance;
	struct gyp_policy_counters counters;
};

/* A round under way. */
struct round {
	struct gyp_policy *policy;
	struct gyp_decision *out;
	uint32_t budget;
	uint32_t next_group;
	uint32_t preempt_left;   /* searches for victims */
	GPtrArray *heap;         /* struct lane, the highest key first */
	struct gyp_res capacity; /* of all usable endpoints */
};

/* policy_queue.c */
struct lane *queue_lane(struct gyp_policy *, const struct gyp_job *);
struct team *queue_team(struct gyp_policy *, const char *name);
void queue_add(struct gyp_policy *, const struct gyp_job *);
void queue_refresh_rules(struct gyp_policy *);
void queue_free_lane(gpointer);
void queue_free_team(gpointer);
bool queue_is_urgent(const struct lane *, const struct gyp_job *);
void queue_run(struct round *);
/* The quota line that keeps one more task out, or NULL. */
const struct gyp_rule *queue_over_quota(
    const struct team *, const struct gyp_res *size);

/* policy.c */
enum fit {
	FIT_BLOCKED, /* by a rule, before any endpoint was looked at */
	FIT_NONE,
	FIT_SOME,
	FIT_ALL
};
enum fit policy_try_job(struct round *, struct lane *, const struct gyp_job *);
/* Declared or learned run time, whichever is longer; 0 of a service. */
uint64_t policy_expected_run(const struct lane *, const struct gyp_job *);

/* The rule that keeps one more task of the job out, as text, or NULL. */
const char *policy_barred(
    const struct round *, const struct lane *, const struct gyp_job *);
bool policy_choose(
    struct round *, struct lane *, const struct gyp_job *, uint32_t task);
void policy_undo(struct round *, const struct gyp_job *, guint len);
void policy_refuse(struct gyp_policy *, uint64_t job, char *reason);

/* policy_blame.c: puts failing endpoints into quarantine, and out of it. */
void blame_endpoints(struct round *);

/* policy_gang.c */
enum fit gang_try(struct round *, struct lane *, const struct gyp_job *);
void gang_try_reserved(struct round *);
/* Keeps endpoints for a job that has waited long; one job at a time. */
void gang_consider(struct round *, const struct gyp_job *);
void gang_release(struct gyp_policy *);

/* policy_preempt.c */
bool preempt_for(struct round *, struct lane *, const struct gyp_job *);

#endif
