#include "straggler_check.h"
#include "straggler.h"

/* Interval of the check, in ms. */
#define CHECK_MS 150

/* A run that the check classifies as stalled or slow. */
struct straggler {
	uint64_t flow;
	uint32_t task;
	uint32_t row;
	enum gyp_straggler_verdict verdict;
	const struct gyp_straggler_count *queue_count;
};

struct gyp_straggler_check {
	const struct gyp_flows *flows;
	struct gyp_fleet *fleet;
	struct gyp_run_stats *stats;
	struct gyp_events *events;
	uint64_t due_at;
	GArray *stragglers;       /* struct straggler, of the current check */
	GArray *endpoint_counts;  /* struct gyp_straggler_count by row */
	GHashTable *queue_counts; /* name -> struct gyp_straggler_count */
	GHashTable *stops; /* struct gyp_flow_key, owned -> stopped runs */
};

static void
count_run(struct gyp_straggler_count *count, enum gyp_straggler_verdict verdict)
{
	count->runs++;
	count->slow += verdict == GYP_STRAGGLER_SLOW;
}

static struct gyp_straggler_count *
endpoint_count(const struct gyp_straggler_check *sc, uint32_t row)
{
	return &g_array_index(
	    sc->endpoint_counts, struct gyp_straggler_count, row);
}

static struct gyp_straggler_count *
queue_count(const struct gyp_straggler_check *sc, const char *name)
{
	struct gyp_straggler_count *count =
	    g_hash_table_lookup(sc->queue_counts, name);

	if (count == NULL) {
		count = g_new0(struct gyp_straggler_count, 1);
		g_hash_table_insert(sc->queue_counts, g_strdup(name), count);
	}
	return count;
}

/* ---- Tasks that were stopped -------------------------------------------- */

static guint
stops_of(const struct gyp_straggler_check *sc, uint64_t flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};

	return GPOINTER_TO_UINT(g_hash_table_lookup(sc->stops, &key));
}

static void
add_stop(struct gyp_straggler_check *sc, uint64_t flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};
	guint n = stops_of(sc, flow, task);

	g_hash_table_replace(
	    sc->stops, g_memdup2(&key, sizeof(key)), GUINT_TO_POINTER(n + 1));
}

static gboolean
is_over(gpointer key, gpointer value, gpointer user)
{
	const struct gyp_flow_key *k = key;
	const struct gyp_straggler_check *sc = user;
	const struct gyp_flow *flow = gyp_flow_get(sc->flows, k->flow);

	(void)value;
	return flow == NULL || !gyp_flow_is_alive(flow) ||
	       flow->tasks[k->index].state == GYP_FLOW_TASK_DONE;
}

/* ---- The check ---------------------------------------------------------- */

/*
 * Of a run whose start this leader did not see, it is not known how long it
 * takes. It may stall all the same, but that shows only if the usual time is
 * known: a slow run that has done much work must not be stopped.
 */
static bool
is_judged(const struct gyp_flow_unit *u, const struct gyp_run_view *view,
    uint64_t usual_ms)
{
	return !u->step->lasting && !u->step->gang && !u->step->fills &&
	       view->listed_at > view->confirmed_at &&
	       (view->start_observed || usual_ms != 0);
}

static void
check_run(void *arg, struct gyp_flow *flow, uint32_t task, uint32_t row,
    const struct gyp_run_view *view)
{
	struct gyp_straggler_check *sc = arg;
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	struct gyp_straggler_run r = {
	    .elapsed_ms =
		view->start_observed ? view->listed_at - view->confirmed_at : 0,
	    .stalled_ms = view->listed_at - view->progress_at,
	    .percent = view->percent,
	    .usual_ms =
		gyp_run_stats_time_ms(sc->stats, flow, u, GYP_RUN_STRAGGLER),
	    .checkpoints = u->step->checkpoints,
	    .declared_ms = u->step->estimate_ms,
	    .stops = stops_of(sc, flow->id, task)};
	struct straggler straggler = {
	    .flow = flow->id, .task = task, .row = row};

	if (!is_judged(u, view, r.usual_ms))
		return;
	straggler.verdict = gyp_straggler_classify(&r);
	straggler.queue_count = queue_count(sc, flow->spec->queue->name);
	if (view->start_observed && r.usual_ms != 0) {
		count_run(endpoint_count(sc, row), straggler.verdict);
		count_run(queue_count(sc, flow->spec->queue->name),
		    straggler.verdict);
	}
	if (straggler.verdict != GYP_STRAGGLER_KEEP)
		g_array_append_val(sc->stragglers, straggler);
}

/*
 * A stall counts against the endpoint if it is the first stop of the task: the
 * next ones show that the task is a long one.
 */
static void
note_stop(
    struct gyp_straggler_check *sc, const struct straggler *s, uint64_t now)
{
	if (s->verdict == GYP_STRAGGLER_STALLED &&
	    stops_of(sc, s->flow, s->task) == 0)
		gyp_run_stats_failed(sc->stats, s->flow, s->task, s->row, now);
	add_stop(sc, s->flow, s->task);
}

void
gyp_straggler_check_tick(struct gyp_straggler_check *sc, uint64_t now)
{
	guint i;

	if (now < sc->due_at)
		return;
	sc->due_at = now + CHECK_MS;
	g_array_set_size(sc->stragglers, 0);
	g_array_set_size(sc->endpoint_counts, 0);
	g_array_set_size(sc->endpoint_counts, gyp_hosts_size(sc->flows));
	g_hash_table_remove_all(sc->queue_counts);
	g_hash_table_foreach_remove(sc->stops, is_over, sc);
	gyp_fleet_each_run(sc->fleet, check_run, sc);
	for (i = 0; i < sc->stragglers->len; i++) {
		const struct straggler *s =
		    &g_array_index(sc->stragglers, struct straggler, i);

		if (s->verdict == GYP_STRAGGLER_SLOW &&
		    !gyp_straggler_endpoint_is_slow(
			endpoint_count(sc, s->row), s->queue_count))
			continue;
		gyp_events_add(sc->events, "straggler-stopped",
		    "flow=%016" G_GINT64_MODIFIER
		    "x task=%u endpoint=%s why=%s",
		    s->flow, s->task, gyp_host_name(sc->flows, s->row),
		    s->verdict == GYP_STRAGGLER_STALLED ? "still" : "slow");
		note_stop(sc, s, now);
		gyp_fleet_stop_run(sc->fleet, s->flow, s->task);
	}
}

struct gyp_straggler_check *
gyp_straggler_check_new(const struct gyp_flows *flows, struct gyp_fleet *fleet,
    struct gyp_run_stats *stats, struct gyp_events *events)
{
	struct gyp_straggler_check *sc = g_new0(struct gyp_straggler_check, 1);

	sc->flows = flows;
	sc->fleet = fleet;
	sc->stats = stats;
	sc->events = events;
	sc->stragglers = g_array_new(FALSE, FALSE, sizeof(struct straggler));
	sc->endpoint_counts =
	    g_array_new(FALSE, TRUE, sizeof(struct gyp_straggler_count));
	sc->queue_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sc->stops = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, g_free, NULL);
	return sc;
}

void
gyp_straggler_check_free(struct gyp_straggler_check *sc)
{
	if (sc == NULL)
		return;
	g_array_free(sc->stragglers, TRUE);
	g_array_free(sc->endpoint_counts, TRUE);
	g_hash_table_destroy(sc->queue_counts);
	g_hash_table_destroy(sc->stops);
	g_free(sc);
}
