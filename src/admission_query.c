#include <string.h>

#include "admission_query.h"
#include "endpoint_ranking.h"

/*
 * Fewest and most endpoints named in one query; the admission service accepts
 * 100.
 */
#define QUERY_ENDPOINTS_MIN 6
#define QUERY_ENDPOINTS_MAX 100

/* Pause after no endpoint was found to query for a unit, in ms. */
#define PAUSE_MS 40

/*
 * Most endpoints with room compared for one query, unless tasks are packed:
 * endpoints come in descending order of free CPU, so the best are among these.
 * Those with free CPU that lack memory, for instance, are not counted: where
 * memory is scarce, they come before all that have room.
 */
#define COMPARISONS_MAX (2 * QUERY_ENDPOINTS_MAX)

/* Overdue queries about a unit besides which it gets as many as usual. */
#define OVERDUE_MAX 4

/*
 * Score bonuses for an endpoint with free capacity, and for one that was
 * allowed before.
 */
#define AVAILABLE_BONUS 100
#define ALLOWED_BONUS   10

/* The first is smaller for an endpoint that must be cleared before. */
#define CLEARED_BONUS 50

/*
 * Returns the number of endpoints whose naming costs a quarter of the query
 * itself.
 */
static guint
cheap_endpoint_count(const Gyp__FlowQueue *q)
{
	double n = q->admission_each_ms > 0
		       ? q->admission_ms / (4 * q->admission_each_ms)
		       : QUERY_ENDPOINTS_MAX;

	return (guint)CLAMP(n, QUERY_ENDPOINTS_MIN, QUERY_ENDPOINTS_MAX);
}

double
gyp_admission_service_ms(const Gyp__FlowQueue *q, size_t n)
{
	return q->admission_ms + q->admission_each_ms * (double)n;
}

double
gyp_admission_query_ms(const Gyp__FlowQueue *q)
{
	return gyp_admission_service_ms(q, cheap_endpoint_count(q));
}

/*
 * Endpoints that are claimed by other queries come later, but are not left out:
 * a query that finds no other would have to wait for their answers. No penalty
 * for packed tasks: they are to share endpoints.
 */
static double
claim_penalty(const struct gyp_capacity *cap, const struct gyp_candidate *c,
    const struct gyp_res *claimed)
{
	if (gyp_candidate_packs(c))
		return 0;
	return (double)claimed->cpu_milli / (cap->host->capacity.cpu_milli + 1);
}

static double
available_bonus(uint32_t tasks, bool cleared)
{
	if (tasks == 0)
		return 0;
	return cleared ? CLEARED_BONUS : AVAILABLE_BONUS;
}

/*
 * Adds the endpoint to the ranking unless it is unsuitable or its answer is
 * already known or pending. Returns true when it was added and has free
 * capacity.
 */
static bool
add_if_unanswered(GArray *ranking, const struct gyp_admission *a,
    const struct gyp_capacity *cap, uint32_t row,
    enum gyp_admission_state state, const struct gyp_candidate *c)
{
	struct gyp_ranked_endpoint endpoint = {.row = row};
	bool cleared = gyp_capacity_suits_when_cleared(cap, c);
	struct gyp_res claimed;

	if ((state != GYP_ADMISSION_UNKNOWN &&
		state != GYP_ADMISSION_EXPIRED) ||
	    (!cleared && !gyp_capacity_suits(cap, c)))
		return false;
	claimed = gyp_admission_claimed(a, row);
	endpoint.count = gyp_capacity_count_tasks(cap, c);
	endpoint.allowed_before = state == GYP_ADMISSION_EXPIRED;
	endpoint.score = gyp_capacity_score(cap, c) -
			 claim_penalty(cap, c, &claimed) +
			 (endpoint.allowed_before ? ALLOWED_BONUS : 0) +
			 available_bonus(endpoint.count, cleared);
	g_array_append_val(ranking, endpoint);
	return endpoint.count > 0;
}

/*
 * Returns the endpoints worth querying for tickets that are needed at that
 * time, best first; none when none of them has free capacity.
 */
static GArray *
rank_unanswered(const struct gyp_admission *a,
    struct gyp_capacity_index *capacities, const struct gyp_candidate *c,
    uint64_t needed_at, guint cheap_count)
{
	GArray *ranking = gyp_ranking_new();
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(a, c->flow, c->unit);
	guint available = 0;
	uint32_t row;
	guint i;

	for (i = 0; i < gyp_capacity_index_count(capacities); i++) {
		bool may_fit = gyp_capacity_index_nth(
		    capacities, i, c->unit->size.cpu_milli, &row);

		if (!may_fit && (available == 0 || ranking->len >= cheap_count))
			break;
		if (available >= COMPARISONS_MAX && !gyp_candidate_packs(c))
			break;
		available += add_if_unanswered(ranking, a,
		    gyp_capacity_index_at(capacities, row), row,
		    gyp_admission_state(a, answers, row, needed_at), c);
	}
	gyp_capacity_index_add_comparisons(capacities, i);
	gyp_ranking_keep_best(ranking, available > 0 ? QUERY_ENDPOINTS_MAX : 0);
	return ranking;
}

/*
 * Returns how many endpoints to name so that the allowed ones are expected to
 * take the waiting tasks; allowed_share is the share of endpoints without an
 * answer that the admission service allows.
 */
static guint
count_endpoints(const GArray *ranking, double waiting, guint cheap_count,
    double allowed_share)
{
	double expected = 0; /* tasks */
	guint n;

	for (n = 0; n < ranking->len && n < QUERY_ENDPOINTS_MAX; n++) {
		const struct gyp_ranked_endpoint *endpoint =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, n);

		/* Those without free capacity come last. */
		if (n >= cheap_count &&
		    (expected >= waiting || endpoint->count == 0))
			break;
		expected += endpoint->count *
			    (endpoint->allowed_before ? 1 : allowed_share);
	}
	return n;
}

/*
 * Fills in the endpoints of a query. Those that come first claim what the
 * waiting tasks are expected to use, see count_endpoints().
 */
static void
fill_targets(const GArray *ranking, const struct gyp_candidate *c,
    double waiting, double allowed_share, struct gyp_admission_target *targets,
    guint n)
{
	const struct gyp_res *size = &c->unit->size;
	double left = waiting;
	guint i;

	memset(targets, 0, n * sizeof(targets[0]));
	for (i = 0; i < n; i++) {
		const struct gyp_ranked_endpoint *endpoint =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, i);
		double tasks = endpoint->count *
			       (endpoint->allowed_before ? 1 : allowed_share);

		targets[i].expected = tasks;
		tasks = MIN(tasks, left);
		left -= tasks;
		targets[i].row = endpoint->row;
		targets[i].claim.cpu_milli =
		    (uint32_t)(tasks * size->cpu_milli);
		targets[i].claim.memory =
		    (uint64_t)(tasks * (double)size->memory);
		targets[i].claim.accel = (uint32_t)(tasks * size->accel);
	}
}

/*
 * Returns how many of n endpoints a query names when further queries name the
 * others: not fewer than are cheap to name.
 */
static guint
divide_endpoints(guint n, guint cheap_count, uint32_t queries)
{
	return MIN(n, MAX(cheap_count, (n + queries - 1) / queries));
}

/* Returns how many more queries about the unit may be under way. */
static uint32_t
queries_left(const struct gyp_candidate *c,
    const struct gyp_admission_pending *pending, uint32_t waiting)
{
	uint32_t most = c->unit->step->lasting ? GYP_LASTING_QUERIES_MAX : 1;
	uint32_t unanswered = pending->queries + pending->overdue;

	if (pending->queries >= most || unanswered >= most + OVERDUE_MAX ||
	    (pending->queries > 0 && pending->expected >= waiting))
		return 0;
	return MIN(most - pending->queries, most + OVERDUE_MAX - unanswered);
}

Gyp__Ask *
gyp_admission_query_new(struct gyp_admission *a,
    struct gyp_capacity_index *capacities, const struct gyp_candidate *c,
    uint32_t waiting, uint32_t slots, uint64_t now)
{
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(a, c->flow, c->unit);
	guint cheap_count = cheap_endpoint_count(c->flow->spec->queue);
	struct gyp_admission_target targets[QUERY_ENDPOINTS_MAX];
	double share =
	    gyp_admission_allowed_share(a, c->flow->spec->queue->name);
	struct gyp_admission_pending pending = gyp_admission_pending(answers);
	uint32_t queries = MIN(slots, queries_left(c, &pending, waiting));
	double missing = waiting - pending.expected;
	GArray *ranking;
	guint n;

	if (!c->flow->spec->queue->admission || queries == 0 ||
	    gyp_admission_is_paused(answers, now))
		return NULL;
	ranking = rank_unanswered(
	    a, capacities, c, MAX(now, c->needed_at), cheap_count);
	n = count_endpoints(ranking, missing, cheap_count, share);
	n = divide_endpoints(n, cheap_count, queries);
	fill_targets(ranking, c, missing, share, targets, n);
	g_array_free(ranking, TRUE);
	if (n == 0) {
		gyp_admission_pause_queries(
		    a, c->flow, c->unit, now + PAUSE_MS);
		return NULL;
	}
	return gyp_admission_begin_query(a, c->flow, c->unit, now, targets, n);
}
