#ifndef GYP_POLICY_H
#define GYP_POLICY_H

#include "rules.h"
#include "state.h"

/*
 * NAME
 *	policy - which queued task goes where, and which must make room
 *
 * DESCRIPTION
 *	Lives with a leader. It watches the tables and keeps an index of free
 *	capacity, a queue per team and class, and sums per team, so that a
 *	round costs what has changed and not what is there. It changes no
 *	table: its decisions are proposals.
 *
 *	A plain policy takes jobs by age and passes over those that don't fit;
 *	its score alone decides on places. The weighted policy follows the
 *	rules: urgent work first, by the time that is left; then class weight,
 *	age and the team's share; quotas, limits, spread and reserve; a
 *	reservation for the oldest job that does not fit, with backfill round
 *	it; and preemption for urgent work.
 *
 *	Times are milliseconds of cell time. Deterministic: equal histories
 *	give equal decisions.
 */

/* After this, a job that no endpoint could hold is refused, in ms. */
#define GYP_INFEASIBLE_GRACE_MS 10000

/* Most jobs that wait in one team's queue of one class. */
#define GYP_QUEUE_MAX 10000

struct gyp_policy;

/* An endpoint as a score sees it. */
struct gyp_score_input {
	const struct gyp_res *capacity;
	const struct gyp_res *remaining; /* free, with the task placed */
	uint32_t row;                    /* order of announcement, roughly */
	uint32_t random;                 /* from the policy's seed */
};

struct gyp_policy_ops {
	const char *name;
	bool weighted; /* by the rules; else plain */
	/* The highest wins. Only called where the task fits. */
	double (*score)(
	    const struct gyp_res *size, const struct gyp_score_input *);
};

/* The project's own policy, and the plain ones that it is compared with. */
extern const struct gyp_policy_ops gyp_policy_weighted;
extern const struct gyp_policy_ops gyp_policy_first_fit;
extern const struct gyp_policy_ops gyp_policy_random;
extern const struct gyp_policy_ops gyp_policy_least_loaded;
extern const struct gyp_policy_ops gyp_policy_best_fit;

/* Policy of that name, or NULL. */
const struct gyp_policy_ops *gyp_policy_by_name(const char *name);

/* How endpoints are searched. */
enum gyp_search {
	GYP_SEARCH_INDEX,  /* grid of free capacity */
	GYP_SEARCH_LINEAR, /* all of them */
	GYP_SEARCH_SAMPLE  /* a few drawn at random, then all */
};

/* One placement; those of equal group take effect together or not at all. */
struct gyp_placement {
	uint64_t job;
	uint32_t task;
	uint64_t endpoint;
	uint32_t group;
};

/* An open attempt that must make room; it is idempotent. */
struct gyp_eviction {
	uint64_t job;
	uint32_t task;
	uint64_t preemptor;
	uint32_t rule_line;
};

/* A queued job that must not wait any longer. */
struct gyp_refusal {
	uint64_t job;
	char *reason;
};

/* An endpoint whose state should change from active, or back to it. */
struct gyp_endpoint_transition {
	uint64_t endpoint;
	enum gyp_endpoint_state from;
	enum gyp_endpoint_state state;
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

/* Reads the tables and watches them from now on; now is cell time. */
void gyp_policy_attach(struct gyp_policy *, struct gyp_state *, uint64_t now);
void gyp_policy_detach(struct gyp_policy *);

/* Rules to follow; not owned, and valid until the next call. */
void gyp_policy_set_rules(struct gyp_policy *, const struct gyp_rules *);

/* True when a round could decide something new. */
bool gyp_policy_is_due(const struct gyp_policy *, uint64_t now);

/*
 * One round: at most budget placements. What the last round proposed counts
 * only as far as the tables hold it by now.
 */
void gyp_policy_decide(
    struct gyp_policy *, uint64_t now, uint32_t budget, struct gyp_decision *);

/*
 * Why a job waits, or where it was placed, with the rule lines that decided;
 * readable text, to be freed with g_free().
 */
char *gyp_policy_explain(struct gyp_policy *, const struct gyp_job *);

struct gyp_headroom;

/* Whether urgent work got its time, and what is kept free for it. */
const struct gyp_headroom *gyp_policy_headroom(const struct gyp_policy *);

/* Sums for reports. */
struct gyp_policy_counters {
	uint64_t rounds;
	uint64_t placed;
	uint64_t endpoints_examined; /* endpoints that were scored or refused */
	uint64_t evicted;
	uint64_t refused;
	uint64_t quarantined;
};
const struct gyp_policy_counters *gyp_policy_counters(
    const struct gyp_policy *);

#endif
