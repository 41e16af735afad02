#ifndef GYP_POLICY_H
#define GYP_POLICY_H

#include "rules.h"
#include "state.h"

/*
 * NAME
 *	policy - decides on placements, evictions and refusals
 *
 * DESCRIPTION
 *	Runs on the leader. Watches the tables and keeps an index of free
 *	capacity, a queue per team and class, and totals per team, so that the
 *	cost of a round depends on what has changed and not on the size of the
 *	tables. Changes no table: decisions are proposals.
 *
 *	A plain policy takes jobs by age, skips those that do not fit and
 *	selects endpoints by score alone. The weighted policy follows the
 *	rules: urgent work first, by remaining time; then by class weight, age
 *	and the team's share. It applies quotas, limits, spread and reserve,
 *	holds endpoints for one long-waiting job that does not fit while others
 *	backfill them, and preempts for urgent work.
 *
 *	Times are milliseconds of cell time. Deterministic: the same seed and
 *	the same history give the same decisions.
 */

/* Time before a job that no endpoint could ever hold is refused, in ms. */
#define GYP_INFEASIBLE_GRACE_MS 10000

/* Most jobs in the queue of one team and class. */
#define GYP_QUEUE_MAX 10000

struct gyp_policy;

/* Input of a score function: one endpoint that fits. */
struct gyp_score_input {
	const struct gyp_res *capacity;
	const struct gyp_res *remaining; /* free with the task placed */
	uint32_t row;                    /* roughly in order of announcement */
	uint32_t random;                 /* from the policy's seed */
};

struct gyp_policy_ops {
	const char *name;
	bool weighted; /* follows the rules; else plain */
	/* The highest score wins. Called only where the task fits. */
	double (*score)(
	    const struct gyp_res *size, const struct gyp_score_input *);
};

/* The default policy, and plain ones to compare it with. */
extern const struct gyp_policy_ops gyp_policy_weighted;
extern const struct gyp_policy_ops gyp_policy_first_fit;
extern const struct gyp_policy_ops gyp_policy_random;
extern const struct gyp_policy_ops gyp_policy_least_loaded;
extern const struct gyp_policy_ops gyp_policy_best_fit;

/* Returns the policy of that name, or NULL. */
const struct gyp_policy_ops *gyp_policy_by_name(const char *name);

/* How endpoints are searched. */
enum gyp_search {
	GYP_SEARCH_INDEX,  /* grid of free capacity */
	GYP_SEARCH_LINEAR, /* every endpoint */
	GYP_SEARCH_SAMPLE  /* a random sample; all if none of it fits */
};

/* A placement; those of one group take effect together or not at all. */
struct gyp_placement {
	uint64_t job;
	uint32_t task;
	uint64_t endpoint;
	uint32_t group;
};

/* An open attempt of an idempotent job, to be stopped for the preemptor. */
struct gyp_eviction {
	uint64_t job;
	uint32_t task;
	uint64_t preemptor;
	uint32_t rule_line;
};

/* A queued job to be ended as not run. */
struct gyp_refusal {
	uint64_t job;
	char *reason;
};

/* A proposed change of an endpoint between active and quarantined. */
struct gyp_endpoint_transition {
	uint64_t endpoint;
	enum gyp_endpoint_state from;
	enum gyp_endpoint_state to;
};

struct gyp_decision {
	GArray *placements;  /* struct gyp_placement */
	GArray *evictions;   /* struct gyp_eviction */
	GArray *refusals;    /* struct gyp_refusal */
	GArray *transitions; /* struct gyp_endpoint_transition */
};

struct gyp_decision *gyp_decision_new(void);
void gyp_decision_free(struct gyp_decision *);

struct gyp_policy *gyp_policy_new(const struct gyp_policy_ops *, uint32_t seed);
void gyp_policy_free(struct gyp_policy *);
void gyp_policy_set_search(struct gyp_policy *, enum gyp_search);

/* Reads the tables and watches them for changes; now is cell time. */
void gyp_policy_attach(struct gyp_policy *, struct gyp_state *, uint64_t now);
void gyp_policy_detach(struct gyp_policy *);

/* Sets the rules; not owned, must stay valid until the next call. */
void gyp_policy_set_rules(struct gyp_policy *, const struct gyp_rules *);

/* Returns true if a round could decide something new. */
bool gyp_policy_is_due(const struct gyp_policy *, uint64_t now);

/*
 * Runs one round. Once there are budget placements, no further job is tried;
 * a gang is never split, so it may exceed the budget. Proposals of the previous
 * round that are not in the tables by now are dropped, and their tasks are
 * tried again.
 */
void gyp_policy_decide(
    struct gyp_policy *, uint64_t now, uint32_t budget, struct gyp_decision *);

/*
 * Returns text that states why a job waits or where it is placed, with the
 * rule lines that decided; the caller frees it with g_free().
 */
char *gyp_policy_explain(struct gyp_policy *, const struct gyp_job *);

struct gyp_headroom;

/* Returns the share kept free for urgent work and its start counts. */
const struct gyp_headroom *gyp_policy_headroom(const struct gyp_policy *);

/* Counters for reports. */
struct gyp_policy_counters {
	uint64_t rounds;
	uint64_t placed;
	uint64_t endpoints_examined; /* scored or found unfit */
	uint64_t evicted;
	uint64_t refused;
	uint64_t quarantined;
};
const struct gyp_policy_counters *gyp_policy_counters(
    const struct gyp_policy *);

#endif
