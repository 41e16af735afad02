#include "query_holds.h"
#include "endpoint_ranking.h"

/* Most units for which a round holds room. */
#define HOLDS_MAX 64

/*
 * Score bonus of an endpoint that was allowed before: it comes before those
 * without an answer.
 */
#define ALLOWED_BONUS 10

/*
 * Longest time for which room is held after a query, in ms. Without an answer
 * by then, other work gets the room.
 */
#define HOLD_MAX_MS 2000

/* Tasks of a unit that wait for an answer, or for the end of a run. */
struct hold {
	struct gyp_candidate candidate;
	uint32_t tasks;
	bool waits_for_end; /* its tickets are not used until then */
};

struct gyp_query_holds {
	struct gyp_capacity_index *capacities;
	const struct gyp_admission *admission;
	GArray *holds; /* struct hold, not applied yet, most urgent first */
};

static void
add_with_room(const struct gyp_capacity_index *capacities,
    const struct gyp_admission_unit *answers, const struct gyp_candidate *c,
    uint32_t row, GArray *ranking)
{
	const struct gyp_capacity *cap;
	struct gyp_ranked_endpoint endpoint = {.row = row};

	if (row >= gyp_capacity_index_size(capacities))
		return;
	cap = gyp_capacity_index_at(capacities, row);
	if (!gyp_capacity_suits(cap, c))
		return;
	endpoint.count = gyp_capacity_count_tasks(cap, c);
	endpoint.allowed_before = gyp_admission_was_allowed(answers, row);
	endpoint.score = gyp_capacity_score(cap, c) +
			 (endpoint.allowed_before ? ALLOWED_BONUS : 0);
	if (endpoint.count > 0)
		g_array_append_val(ranking, endpoint);
}

/*
 * False when the service has not answered the latest query in time, or not at
 * all: room would be held again and again, and other work of the same priority
 * would never start.
 */
static bool
may_be_answered(const struct gyp_query_holds *h, const struct gyp_candidate *c)
{
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(h->admission, c->flow, c->unit);

	return !gyp_admission_query_failed(answers) &&
	       gyp_capacity_index_now(h->capacities) <
		   gyp_admission_asked_at(answers) + HOLD_MAX_MS;
}

/* True if room is held at an endpoint in that state. */
static bool
holds_at(const struct hold *hold, bool answer_due, enum gyp_admission_state s)
{
	if (s == GYP_ADMISSION_ALLOWED)
		return hold->waits_for_end;
	return answer_due &&
	       (s == GYP_ADMISSION_PENDING || s == GYP_ADMISSION_EXPIRED);
}

/*
 * Returns the endpoints with room whose answers or tickets are awaited, or
 * whose tickets are kept for later. One that was allowed may also be pending.
 */
static GArray *
rank_awaited(const struct gyp_query_holds *h, const struct hold *hold)
{
	const struct gyp_candidate *c = &hold->candidate;
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(h->admission, c->flow, c->unit);
	uint64_t now = gyp_capacity_index_now(h->capacities);
	bool answer_due = may_be_answered(h, c);
	GArray *ranking = gyp_ranking_new();
	const uint32_t *rows;
	guint i, n;

	rows = gyp_admission_pending_rows(answers, &n);
	for (i = 0; answer_due && i < n; i++) {
		if (!gyp_admission_was_allowed(answers, rows[i]))
			add_with_room(
			    h->capacities, answers, c, rows[i], ranking);
	}
	rows = gyp_admission_granted_rows(answers, &n);
	for (i = 0; i < n; i++) {
		enum gyp_admission_state state =
		    gyp_admission_state(h->admission, answers, rows[i], now);

		if (gyp_admission_was_allowed(answers, rows[i]) &&
		    holds_at(hold, answer_due, state))
			add_with_room(
			    h->capacities, answers, c, rows[i], ranking);
	}
	gyp_ranking_sort(ranking);
	return ranking;
}

/*
 * Holds free capacity for the tasks. The service is expected to allow the usual
 * share of the endpoints without an answer, so more is held than they need.
 */
static void
hold_room(const struct gyp_query_holds *h, const struct hold *hold)
{
	const struct gyp_candidate *c = &hold->candidate;
	double share = gyp_admission_allowed_share(
	    h->admission, c->flow->spec->queue->name);
	GArray *ranking = rank_awaited(h, hold);
	double expected = 0; /* tasks */
	guint i;

	for (i = 0; i < ranking->len && expected < hold->tasks; i++) {
		struct gyp_ranked_endpoint *endpoint =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, i);
		struct gyp_capacity *cap =
		    gyp_capacity_index_at(h->capacities, endpoint->row);

		for (; endpoint->count > 0 && expected < hold->tasks;
		     endpoint->count--) {
			gyp_capacity_book(cap, c);
			expected += endpoint->allowed_before ? 1 : share;
		}
	}
	g_array_free(ranking, TRUE);
}

static void
add_hold(struct gyp_query_holds *h, const struct gyp_candidate *c,
    uint32_t tasks, bool waits_for_end)
{
	struct hold hold = {
	    .candidate = *c, .tasks = tasks, .waits_for_end = waits_for_end};

	if (c->unit->step->lasting && !c->unit->step->gang && tasks > 0 &&
	    c->flow->spec->queue->admission &&
	    (waits_for_end || may_be_answered(h, c)) &&
	    h->holds->len < HOLDS_MAX)
		g_array_append_val(h->holds, hold);
}

void
gyp_query_holds_add(
    struct gyp_query_holds *h, const struct gyp_candidate *c, uint32_t tasks)
{
	add_hold(h, c, tasks, false);
}

void
gyp_query_holds_add_lost(
    struct gyp_query_holds *h, const struct gyp_candidate *c, uint32_t tasks)
{
	add_hold(h, c, tasks, true);
}

void
gyp_query_holds_apply(
    struct gyp_query_holds *h, const struct gyp_candidate *next)
{
	guint i;

	for (i = 0; i < h->holds->len; i++) {
		const struct hold *hold =
		    &g_array_index(h->holds, struct hold, i);

		if (next->unit->step->lasting &&
		    next->rank <= hold->candidate.rank)
			break;
		hold_room(h, hold);
	}
	if (i > 0)
		g_array_remove_range(h->holds, 0, i);
}

void
gyp_query_holds_clear(struct gyp_query_holds *h)
{
	g_array_set_size(h->holds, 0);
}

struct gyp_query_holds *
gyp_query_holds_new(
    struct gyp_capacity_index *capacities, const struct gyp_admission *a)
{
	struct gyp_query_holds *h = g_new0(struct gyp_query_holds, 1);

	h->capacities = capacities;
	h->admission = a;
	h->holds = g_array_new(FALSE, FALSE, sizeof(struct hold));
	return h;
}

void
gyp_query_holds_free(struct gyp_query_holds *h)
{
	if (h == NULL)
		return;
	g_array_free(h->holds, TRUE);
	g_free(h);
}
