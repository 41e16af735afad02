#include <stdbool.h>

#include "clearing.h"
#include "endpoint_ranking.h"

/*
 * Time after which an endpoint or a unit that no round has named again is
 * forgotten, in ms. Covers rounds that end before they come to the unit.
 */
#define FORGET_MS 500

/* Score bonus of an endpoint held before, so that it stays the same one. */
#define HELD_BONUS 1e15

/* An endpoint on which no filling task may start. */
struct held_endpoint {
	uint32_t row;
	uint64_t named_at;
};

/* A unit for which endpoints are held. */
struct waiting_unit {
	struct gyp_flow_key key;
	uint64_t since;
	uint64_t named_at;
};

struct gyp_clearing {
	struct gyp_capacity_index *capacities;
	struct gyp_preempt *preempt;
	const struct gyp_admission *admission;
	const struct gyp_run_stats *stats;
	GArray *held;      /* struct held_endpoint */
	GHashTable *units; /* key -> struct waiting_unit */
	uint64_t now;
};

/* ---- Tables ------------------------------------------------------------- */

static struct held_endpoint *
find_held(const struct gyp_clearing *cl, uint32_t row)
{
	guint i;

	for (i = 0; i < cl->held->len; i++) {
		struct held_endpoint *h =
		    &g_array_index(cl->held, struct held_endpoint, i);

		if (h->row == row)
			return h;
	}
	return NULL;
}

static void
hold(struct gyp_clearing *cl, uint32_t row)
{
	struct held_endpoint added = {.row = row, .named_at = cl->now};
	struct held_endpoint *h = find_held(cl, row);

	if (h != NULL)
		h->named_at = cl->now;
	else
		g_array_append_val(cl->held, added);
}

static struct waiting_unit *
ensure_unit(struct gyp_clearing *cl, const struct gyp_candidate *c)
{
	struct gyp_flow_key key = {
	    .flow = c->flow->id, .index = (uint32_t)(c->unit - c->flow->units)};
	struct waiting_unit *u = g_hash_table_lookup(cl->units, &key);

	if (u == NULL) {
		u = g_new0(struct waiting_unit, 1);
		u->key = key;
		u->since = cl->now;
		g_hash_table_insert(cl->units, &u->key, u);
	}
	u->named_at = cl->now;
	return u;
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer arg)
{
	const struct waiting_unit *u = value;
	const struct gyp_clearing *cl = arg;

	(void)key;
	return cl->now > u->named_at + FORGET_MS;
}

void
gyp_clearing_begin_round(struct gyp_clearing *cl)
{
	guint i;

	cl->now = gyp_capacity_index_now(cl->capacities);
	g_hash_table_foreach_remove(cl->units, is_outdated, cl);
	for (i = cl->held->len; i-- > 0;) {
		const struct held_endpoint *h =
		    &g_array_index(cl->held, struct held_endpoint, i);

		if (cl->now > h->named_at + FORGET_MS ||
		    h->row >= gyp_capacity_index_size(cl->capacities))
			g_array_remove_index_fast(cl->held, i);
		else
			gyp_capacity_index_at(cl->capacities, h->row)->held =
			    true;
	}
}

/* ---- Endpoints ---------------------------------------------------------- */

static void
add_endpoint(const struct gyp_clearing *cl, const struct gyp_candidate *c,
    uint32_t row, GArray *ranking)
{
	const struct gyp_capacity *cap =
	    gyp_capacity_index_at(cl->capacities, row);
	struct gyp_ranked_endpoint endpoint = {.row = row};

	if (!gyp_capacity_suits_when_cleared(cap, c))
		return;
	endpoint.count = gyp_capacity_count_tasks(cap, c);
	endpoint.score = -gyp_preempt_clearing_cost(cl->preempt, row) +
			 (find_held(cl, row) != NULL ? HELD_BONUS : 0);
	if (endpoint.count > 0)
		g_array_append_val(ranking, endpoint);
}

/*
 * True if the unit may start on the endpoint, or could until its ticket expired
 * and a query may renew it.
 */
static bool
may_be_allowed(const struct gyp_clearing *cl,
    const struct gyp_admission_unit *answers, uint32_t row)
{
	enum gyp_admission_state state =
	    gyp_admission_state(cl->admission, answers, row, cl->now);

	return state == GYP_ADMISSION_ALLOWED ||
	       (state == GYP_ADMISSION_EXPIRED &&
		   !gyp_admission_query_failed(answers));
}

static void
add_allowed_endpoints(const struct gyp_clearing *cl,
    const struct gyp_candidate *c, GArray *ranking)
{
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(cl->admission, c->flow, c->unit);
	const uint32_t *rows;
	guint i, n;

	rows = gyp_admission_granted_rows(answers, &n);
	for (i = 0; i < n; i++) {
		if (rows[i] < gyp_capacity_index_size(cl->capacities) &&
		    may_be_allowed(cl, answers, rows[i]))
			add_endpoint(cl, c, rows[i], ranking);
	}
}

/* Returns the endpoints worth clearing for the unit, cheapest first. */
static GArray *
rank_endpoints(const struct gyp_clearing *cl, const struct gyp_candidate *c)
{
	GArray *ranking = gyp_ranking_new();
	uint32_t row;

	if (c->flow->spec->queue->admission)
		add_allowed_endpoints(cl, c, ranking);
	else
		for (row = 0; row < gyp_capacity_index_size(cl->capacities);
		     row++)
			add_endpoint(cl, c, row, ranking);
	gyp_ranking_sort(ranking);
	return ranking;
}

/* ---- Units -------------------------------------------------------------- */

/* Runs are stopped only for a task that can start once they have ended. */
static bool
may_stop(const struct gyp_clearing *cl, const struct gyp_candidate *c,
    const struct waiting_unit *u, uint32_t row)
{
	return cl->now >= u->since + GYP_CLEARING_WAIT_MS &&
	       (!c->flow->spec->queue->admission ||
		   gyp_admission_state(cl->admission,
		       gyp_admission_unit(cl->admission, c->flow, c->unit), row,
		       cl->now) == GYP_ADMISSION_ALLOWED);
}

/* Counts the waiting tasks of the unit that have not just failed. */
static uint32_t
count_tasks(const struct gyp_clearing *cl, const struct gyp_candidate *c)
{
	const struct gyp_flow_unit *u = c->unit;
	uint32_t i, n = 0;

	for (i = u->first; i < u->first + u->step->count; i++)
		n += c->flow->tasks[i].state == GYP_FLOW_TASK_WAITING &&
		     !gyp_run_stats_failed_recently(
			 cl->stats, c->flow->id, i, cl->now);
	return n;
}

void
gyp_clearing_add(
    struct gyp_clearing *cl, const struct gyp_candidate *c, uint32_t waiting)
{
	const struct waiting_unit *u;
	GArray *ranking;
	uint32_t tasks;
	guint i;

	if (!gyp_candidate_clears(c) || waiting == 0)
		return;
	tasks = MIN(waiting, count_tasks(cl, c));
	if (tasks == 0)
		return;
	u = ensure_unit(cl, c);
	ranking = rank_endpoints(cl, c);
	for (i = 0; i < ranking->len && tasks > 0; i++) {
		const struct gyp_ranked_endpoint *endpoint =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, i);
		uint32_t n = MIN(tasks, endpoint->count);

		tasks -= n;
		hold(cl, endpoint->row);
		if (may_stop(cl, c, u, endpoint->row))
			gyp_preempt_clear(
			    cl->preempt, endpoint->row, c->flow->id);
		while (n-- > 0)
			gyp_capacity_book(gyp_capacity_index_at(
					      cl->capacities, endpoint->row),
			    c);
	}
	g_array_free(ranking, TRUE);
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_clearing *
gyp_clearing_new(struct gyp_capacity_index *capacities,
    struct gyp_preempt *preempt, const struct gyp_admission *admission,
    const struct gyp_run_stats *stats)
{
	struct gyp_clearing *cl = g_new0(struct gyp_clearing, 1);

	cl->capacities = capacities;
	cl->preempt = preempt;
	cl->admission = admission;
	cl->stats = stats;
	cl->held = g_array_new(FALSE, FALSE, sizeof(struct held_endpoint));
	cl->units = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, g_free);
	return cl;
}

void
gyp_clearing_free(struct gyp_clearing *cl)
{
	if (cl == NULL)
		return;
	g_array_free(cl->held, TRUE);
	g_hash_table_destroy(cl->units);
	g_free(cl);
}
