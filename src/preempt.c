#include <string.h>

#include "preempt.h"
#include "slack.h"

/*
 * Work without checkpoints can be stopped while it has run for less than this,
 * in ms.
 */
#define LOST_WORK_MAX_MS 300

/*
 * Slack that a flow must have for one of its runs to be stopped, in ms and in
 * expected run times: the run has to wait for another endpoint.
 */
#define SLACK_MIN_MS   2000
#define SLACK_MIN_RUNS 1

/* A run past this progress is about to end and is not stopped, in percent. */
#define NEARLY_DONE_PERCENT 80

/*
 * Limit on the runs being stopped at a time: one per ENDPOINTS_PER_STOP
 * endpoints, but at least STOPS_MIN.
 */
#define ENDPOINTS_PER_STOP 2
#define STOPS_MIN          8

/* A run of an endpoint that may be stopped. */
struct victim {
	struct gyp_flow_key key;
	struct gyp_res size;
	uint32_t run;
	uint64_t lost_ms;
	bool spared; /* not needed, the other victims suffice */
};

/* A run that is being stopped. */
struct stopping_run {
	struct gyp_flow_key key;
	uint32_t run;
	uint32_t row;
	struct gyp_res size;
};

/* Resources that stops on an endpoint would free, cached for the round. */
struct reclaimable {
	bool valid;
	uint32_t rank;
	struct gyp_res res;
};

struct gyp_preempt {
	const struct gyp_flows *flows;
	const struct gyp_fleet *fleet;
	const struct gyp_run_stats *stats;
	uint64_t now;
	GHashTable *stopping; /* key -> struct stopping_run */
	GArray *releasing;    /* struct gyp_res by row */
	GArray *reclaimable;  /* struct reclaimable by row */
	GArray *victims;      /* struct victim, of one endpoint */
	GQueue stops;         /* struct gyp_preempt_stop */
};

/* ---- Runs being stopped ------------------------------------------------- */

static bool
has_ended(const struct gyp_preempt *p, const struct stopping_run *s)
{
	const struct gyp_flow *flow = gyp_flow_get(p->flows, s->key.flow);
	const struct gyp_flow_task *t;

	if (flow == NULL)
		return true;
	t = &flow->tasks[s->key.index];
	return t->state != GYP_FLOW_TASK_OPEN || t->run != s->run;
}

static void
add_releasing(struct gyp_preempt *p, uint32_t row, const struct gyp_res *size)
{
	if (row < p->releasing->len)
		gyp_res_add(
		    &g_array_index(p->releasing, struct gyp_res, row), size);
}

void
gyp_preempt_begin_round(struct gyp_preempt *p, uint64_t now)
{
	GHashTableIter iter;
	gpointer value;

	p->now = now;
	g_array_set_size(p->reclaimable, 0);
	g_array_set_size(p->reclaimable, gyp_hosts_size(p->flows));
	g_array_set_size(p->releasing, 0);
	g_array_set_size(p->releasing, gyp_hosts_size(p->flows));
	g_hash_table_iter_init(&iter, p->stopping);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stopping_run *s = value;

		if (has_ended(p, s))
			g_hash_table_iter_remove(&iter);
		else
			add_releasing(p, s->row, &s->size);
	}
}

struct gyp_res
gyp_preempt_releasing(const struct gyp_preempt *p, uint32_t row)
{
	struct gyp_res none = {0, 0, 0, 0};

	if (row >= p->releasing->len)
		return none;
	return g_array_index(p->releasing, struct gyp_res, row);
}

static guint
max_stops(const struct gyp_preempt *p)
{
	return MAX(STOPS_MIN, gyp_hosts_size(p->flows) / ENDPOINTS_PER_STOP);
}

/* ---- Runs that may be stopped ------------------------------------------- */

/*
 * True when the flow stays in time even if this run has to start again. Does
 * not protect work beyond the rate of its workspace.
 */
static bool
has_slack(const struct gyp_preempt *p, const struct gyp_host_run *r,
    const struct gyp_flow_unit *u)
{
	uint64_t run_ms =
	    gyp_run_stats_time_ms(p->stats, r->flow, u, GYP_RUN_RESTART);
	uint64_t min_ms = MAX(SLACK_MIN_MS, SLACK_MIN_RUNS * run_ms);

	return gyp_slack_ms(p->stats, r->flow, u, gyp_flows_time(p->flows)) >=
	       (double)min_ms;
}

/* Fills in all of v but its key. */
static void
set_loss(const struct gyp_preempt *p, const struct gyp_host_run *r,
    const struct gyp_run_view *view, struct victim *v)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(r->flow, r->task);
	uint64_t up_ms = p->now - MIN(p->now, view->confirmed_at);

	v->lost_ms = u->step->checkpoints ? 0 : up_ms;
	v->size = u->size;
	v->run = r->flow->tasks[r->task].run;
	v->spared = false;
}

/* Fills in v; false when the run must not be stopped for that rank. */
static bool
init_victim(const struct gyp_preempt *p, const struct gyp_host_run *r,
    uint32_t rank, struct victim *v)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(r->flow, r->task);
	const struct gyp_run_view *view;

	if (gyp_flow_rank(r->flow, gyp_flows_time(p->flows)) <= rank ||
	    u->step->lasting || u->step->gang ||
	    gyp_flow_run_is_unwanted(r->flow, r->task))
		return false;
	v->key.flow = r->flow->id;
	v->key.index = r->task;
	view = gyp_fleet_run_view(p->fleet, r->flow->id, r->task);
	if (view == NULL || !view->confirmed ||
	    view->percent > NEARLY_DONE_PERCENT ||
	    g_hash_table_contains(p->stopping, &v->key))
		return false;
	set_loss(p, r, view, v);
	return v->lost_ms < LOST_WORK_MAX_MS &&
	       (r->flow->spec->excess || has_slack(p, r, u));
}

static void
find_victims(struct gyp_preempt *p, uint32_t row, uint32_t rank)
{
	const struct gyp_host *h = gyp_host_at(p->flows, row);
	guint i;

	g_array_set_size(p->victims, 0);
	for (i = 0; h != NULL && i < h->runs->len; i++) {
		struct victim v;

		if (init_victim(p,
			&g_array_index(h->runs, struct gyp_host_run, i), rank,
			&v))
			g_array_append_val(p->victims, v);
	}
}

struct gyp_res
gyp_preempt_reclaimable(struct gyp_preempt *p, uint32_t row, uint32_t rank)
{
	struct gyp_res none = {0, 0, 0, 0};
	struct reclaimable *cached;
	guint i;

	if (row >= p->reclaimable->len)
		return none;
	cached = &g_array_index(p->reclaimable, struct reclaimable, row);
	if (cached->valid && cached->rank == rank)
		return cached->res;
	cached->valid = true;
	cached->rank = rank;
	cached->res = none;
	find_victims(p, row, rank);
	for (i = 0; i < p->victims->len; i++)
		gyp_res_add(&cached->res,
		    &g_array_index(p->victims, struct victim, i).size);
	return cached->res;
}

/* ---- Selection ---------------------------------------------------------- */

/*
 * Orders by lost run time multiplied by CPU, then by CPU, smallest first, then
 * by flow and task.
 */
static gint
by_loss(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a, *y = b;
	uint64_t lost_x = x->lost_ms * x->size.cpu_milli;
	uint64_t lost_y = y->lost_ms * y->size.cpu_milli;

	if (lost_x != lost_y)
		return lost_x < lost_y ? -1 : 1;
	if (x->size.cpu_milli != y->size.cpu_milli)
		return x->size.cpu_milli < y->size.cpu_milli ? -1 : 1;
	if (x->key.flow != y->key.flow)
		return x->key.flow < y->key.flow ? -1 : 1;
	return x->key.index < y->key.index ? -1 : 1;
}

/*
 * Selects the first victims that together free `need`, and spares each of them
 * that turns out to be unnecessary. Returns false when all victims together
 * free less.
 */
static bool
select_victims(struct gyp_preempt *p, const struct gyp_res *need)
{
	struct gyp_res sum = {0, 0, 0, 0};
	guint i, n;

	for (n = 0; n < p->victims->len && !gyp_res_fits(need, &sum); n++)
		gyp_res_add(
		    &sum, &g_array_index(p->victims, struct victim, n).size);
	if (!gyp_res_fits(need, &sum))
		return false;
	g_array_set_size(p->victims, n);
	for (i = n; i-- > 0;) {
		struct victim *v = &g_array_index(p->victims, struct victim, i);
		struct gyp_res without = sum;

		gyp_res_sub(&without, &v->size);
		v->spared = gyp_res_fits(need, &without);
		if (v->spared)
			sum = without;
	}
	return true;
}

static void
stop_victim(struct gyp_preempt *p, const struct victim *v, uint32_t row,
    uint64_t for_flow)
{
	struct stopping_run *s = g_new0(struct stopping_run, 1);
	struct gyp_preempt_stop *stop = g_new0(struct gyp_preempt_stop, 1);

	s->key = v->key;
	s->run = v->run;
	s->row = row;
	s->size = v->size;
	g_hash_table_insert(p->stopping, &s->key, s);
	add_releasing(p, row, &v->size);
	g_array_index(p->reclaimable, struct reclaimable, row).valid = false;
	stop->flow = v->key.flow;
	stop->task = v->key.index;
	stop->row = row;
	stop->for_flow = for_flow;
	stop->lost_ms = v->lost_ms;
	g_queue_push_tail(&p->stops, stop);
}

bool
gyp_preempt_select(struct gyp_preempt *p, uint32_t row, uint32_t rank,
    const struct gyp_res *need, uint64_t for_flow, struct gyp_res *freed)
{
	guint i;

	memset(freed, 0, sizeof(*freed));
	if (row >= p->reclaimable->len ||
	    g_hash_table_size(p->stopping) >= max_stops(p))
		return false;
	find_victims(p, row, rank);
	g_array_sort(p->victims, by_loss);
	if (!select_victims(p, need))
		return false;
	for (i = 0; i < p->victims->len; i++) {
		const struct victim *v =
		    &g_array_index(p->victims, struct victim, i);

		if (v->spared)
			continue;
		stop_victim(p, v, row, for_flow);
		gyp_res_add(freed, &v->size);
	}
	return true;
}

/* ---- Clearing ----------------------------------------------------------- */

/*
 * Finds the confirmed filling runs on the endpoint that are not being stopped.
 */
static void
find_filling(const struct gyp_preempt *p, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(p->flows, row);
	guint i;

	g_array_set_size(p->victims, 0);
	for (i = 0; h != NULL && i < h->runs->len; i++) {
		const struct gyp_host_run *r =
		    &g_array_index(h->runs, struct gyp_host_run, i);
		const struct gyp_run_view *view =
		    gyp_fleet_run_view(p->fleet, r->flow->id, r->task);
		struct victim v = {
		    .key = {.flow = r->flow->id, .index = r->task}};

		if (!gyp_flow_unit_of(r->flow, r->task)->step->fills ||
		    gyp_flow_run_is_unwanted(r->flow, r->task) ||
		    view == NULL || !view->confirmed ||
		    g_hash_table_contains(p->stopping, &v.key))
			continue;
		set_loss(p, r, view, &v);
		g_array_append_val(p->victims, v);
	}
}

bool
gyp_preempt_may_clear(const struct gyp_preempt *p, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(p->flows, row);
	guint i;

	for (i = 0; h != NULL && i < h->runs->len; i++) {
		const struct gyp_host_run *r =
		    &g_array_index(h->runs, struct gyp_host_run, i);
		const Gyp__FlowStep *step =
		    gyp_flow_unit_of(r->flow, r->task)->step;

		if (step->fills && (step->lasting || step->gang))
			return false;
	}
	return h != NULL;
}

double
gyp_preempt_clearing_cost(const struct gyp_preempt *p, uint32_t row)
{
	double sum = 0;
	guint i;

	find_filling(p, row);
	for (i = 0; i < p->victims->len; i++) {
		const struct victim *v =
		    &g_array_index(p->victims, struct victim, i);
		const struct gyp_flow *flow =
		    gyp_flow_get(p->flows, v->key.flow);
		const Gyp__FlowStep *step =
		    gyp_flow_unit_of(flow, v->key.index)->step;

		/* Filling runs book no processors, but use them. */
		sum += (double)v->lost_ms *
		       (step->size != NULL ? step->size->cpu_milli : 0);
	}
	return sum;
}

void
gyp_preempt_clear(struct gyp_preempt *p, uint32_t row, uint64_t for_flow)
{
	guint i;

	if (row >= p->reclaimable->len)
		return;
	find_filling(p, row);
	for (i = 0; i < p->victims->len &&
		    g_hash_table_size(p->stopping) < max_stops(p);
	     i++)
		stop_victim(p, &g_array_index(p->victims, struct victim, i),
		    row, for_flow);
}

bool
gyp_preempt_pop(struct gyp_preempt *p, struct gyp_preempt_stop *stop)
{
	struct gyp_preempt_stop *next = g_queue_pop_head(&p->stops);

	if (next == NULL)
		return false;
	*stop = *next;
	g_free(next);
	return true;
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_preempt *
gyp_preempt_new(const struct gyp_flows *flows, const struct gyp_fleet *fleet,
    const struct gyp_run_stats *stats)
{
	struct gyp_preempt *p = g_new0(struct gyp_preempt, 1);

	p->flows = flows;
	p->fleet = fleet;
	p->stats = stats;
	p->stopping = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, g_free);
	p->releasing = g_array_new(FALSE, TRUE, sizeof(struct gyp_res));
	p->reclaimable = g_array_new(FALSE, TRUE, sizeof(struct reclaimable));
	p->victims = g_array_new(FALSE, FALSE, sizeof(struct victim));
	return p;
}

void
gyp_preempt_free(struct gyp_preempt *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->stopping);
	g_array_free(p->releasing, TRUE);
	g_array_free(p->reclaimable, TRUE);
	g_array_free(p->victims, TRUE);
	g_queue_clear_full(&p->stops, g_free);
	g_free(p);
}
