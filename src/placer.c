#include <string.h>

#include "admission_prefetch.h"
#include "cap_hold.h"
#include "clearing.h"
#include "endpoint_ranking.h"
#include "msg.h"
#include "placer.h"
#include "query_holds.h"
#include "query_slots.h"
#include "quota.h"
#include "reserve.h"

/* A round places no further units after it has proposed this many runs. */
#define RUNS_MAX 256

/* Most units for which one round reserves capacity. */
#define RESERVATIONS_MAX 64

/* What a round has decided for a workspace. */
struct workspace_round {
	struct gyp_res proposed;  /* booked by the runs that it proposes */
	struct gyp_res waiting;   /* tasks that may start but have no room */
	double cap_wait_ms;       /* see gyp_placer_cap_wait_ms() */
	struct gyp_cap_hold hold; /* for a unit that has waited too long */
	enum gyp_placer_wait wait;
};

struct gyp_placer {
	struct gyp_flows *flows;
	struct gyp_fleet *fleet;
	struct gyp_admission *admission;
	const struct gyp_run_stats *stats;
	struct gyp_preempt *preempt;
	struct gyp_capacity_index *capacities;    /* of this round */
	struct gyp_placer_candidates *candidates; /* of this round */
	struct gyp_query_holds *holds;
	struct gyp_clearing *clearing;
	GPtrArray *runs; /* Gyp__FlowRun of the unit being placed */
	uint64_t now;
	uint32_t runs_left; /* runs that this round may still propose */
	uint32_t reservations;
	GArray *workspaces;  /* struct workspace_round by row */
	GHashTable *waiting; /* interned pool -> double, see placer.h */
	struct gyp_placer_summary summary;
};

/* ---- Caps --------------------------------------------------------------- */

static struct workspace_round *
workspace_of(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	return &g_array_index(
	    p->workspaces, struct workspace_round, c->flow->use->row);
}

/* What counts under the workspace's cap, with what this round has proposed. */
static struct gyp_res
use_with_proposed(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	struct gyp_res used = c->flow->use->used;

	gyp_res_add(&used, &workspace_of(p, c)->proposed);
	return used;
}

/* The cap has no room for the unit: keeps some if it has waited too long. */
static void
hold_cap(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	struct gyp_res used = use_with_proposed(p, c);

	gyp_cap_hold_add(
	    &workspace_of(p, c)->hold, p->flows, p->stats, c, &used);
}

/*
 * Returns how many of the waiting tasks may start under the workspace's cap,
 * with the runs that this round has proposed; all or none of a gang.
 */
static uint32_t
allowed_by_cap(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	uint32_t waiting = c->unit->left - c->unit->open, n;
	const struct gyp_workspace_use *use = c->flow->use;
	/* A previewed flow may be of a workspace without flows. */
	bool is_known = use != NULL && use->row < p->workspaces->len;
	struct gyp_res used;

	if (use == NULL)
		return waiting;
	used = is_known ? use_with_proposed(p, c) : use->used;
	n = gyp_quota_count(&use->cap, &used, &c->unit->size, waiting);
	if (is_known)
		n = gyp_cap_hold_count(
		    &workspace_of(p, c)->hold, p->flows, p->stats, c, n);
	return c->unit->step->gang && n < waiting ? 0 : n;
}

static void
add_proposed(struct gyp_placer *p, const struct gyp_candidate *c, guint runs)
{
	struct workspace_round *w;
	guint i;

	if (c->flow->use == NULL)
		return;
	w = workspace_of(p, c);
	gyp_cap_hold_note_start(&w->hold, p->flows, p->stats, c, runs);
	for (i = 0; i < runs; i++)
		gyp_res_add(&w->proposed, &c->unit->size);
}

/*
 * Returns how many of the waiting tasks may start at all before runs of the
 * workspace end: several units may each be allowed what is left under its cap.
 */
static uint32_t
count_waiting_under_cap(
    struct gyp_placer *p, const struct gyp_candidate *c, uint32_t tasks)
{
	const struct gyp_workspace_use *use = c->flow->use;
	struct gyp_res used;
	uint32_t n, i;

	if (use == NULL)
		return tasks;
	used = use_with_proposed(p, c);
	gyp_res_add(&used, &workspace_of(p, c)->waiting);
	n = gyp_quota_count(&use->cap, &used, &c->unit->size, tasks);
	for (i = 0; i < n; i++)
		gyp_res_add(&workspace_of(p, c)->waiting, &c->unit->size);
	return n;
}

/* ---- Why a workspace waits ---------------------------------------------- */

/* Keeps the first reason of a round: the most urgent unit comes first. */
static void
note_wait(struct gyp_placer *p, const struct gyp_candidate *c,
    enum gyp_placer_wait why)
{
	struct workspace_round *w;

	if (c->flow->use == NULL)
		return;
	w = workspace_of(p, c);
	if (w->wait == GYP_PLACER_WAIT_NONE)
		w->wait = why;
}

/* Why a unit waits that its cap keeps from starting in full. */
static enum gyp_placer_wait
cap_wait_of(const struct gyp_candidate *c)
{
	switch (gyp_cap_fit(c->flow->use, c->unit)) {
	case GYP_CAP_LASTING:
		return GYP_PLACER_WAIT_LASTING;
	case GYP_CAP_TOO_LOW:
		return GYP_PLACER_WAIT_HIGHER_CAP;
	case GYP_CAP_FITS:
	default:
		return GYP_PLACER_WAIT_CAP;
	}
}

enum gyp_placer_wait
gyp_placer_wait(const struct gyp_placer *p, const struct gyp_workspace_use *use)
{
	return use->row < p->workspaces->len
		   ? g_array_index(
			 p->workspaces, struct workspace_round, use->row)
			 .wait
		   : GYP_PLACER_WAIT_NONE;
}

/* ---- Placement ---------------------------------------------------------- */

static void
add_endpoint(const struct gyp_placer *p, const struct gyp_candidate *c,
    uint32_t row, GArray *ranking)
{
	const struct gyp_capacity *cap =
	    gyp_capacity_index_at(p->capacities, row);
	struct gyp_ranked_endpoint endpoint = {.row = row};

	if (!gyp_capacity_suits(cap, c))
		return;
	endpoint.count = gyp_capacity_count_tasks(cap, c);
	endpoint.score = gyp_capacity_score(cap, c);
	if (endpoint.count > 0)
		g_array_append_val(ranking, endpoint);
}

/*
 * Adds those whose tickets are valid when they are needed. Checks free capacity
 * before the admission state: few endpoints have free capacity, while each unit
 * has an admission state for many.
 */
static void
add_allowed_endpoints(
    const struct gyp_placer *p, const struct gyp_candidate *c, GArray *ranking)
{
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(p->admission, c->flow, c->unit);
	const uint32_t *rows;
	guint i, n;

	rows = gyp_admission_granted_rows(answers, &n);
	for (i = 0; i < n; i++) {
		if (rows[i] < gyp_capacity_index_size(p->capacities) &&
		    gyp_res_fits(&c->unit->size,
			&gyp_capacity_index_at(p->capacities, rows[i])
			     ->available) &&
		    gyp_admission_state(p->admission, answers, rows[i],
			MAX(p->now, c->needed_at)) == GYP_ADMISSION_ALLOWED)
			add_endpoint(p, c, rows[i], ranking);
	}
	gyp_capacity_index_add_comparisons(p->capacities, n);
}

static void
add_all_endpoints(
    const struct gyp_placer *p, const struct gyp_candidate *c, GArray *ranking)
{
	uint32_t row;
	guint i;

	for (i = 0; gyp_capacity_index_nth(
		 p->capacities, i, c->unit->size.cpu_milli, &row);
	     i++)
		add_endpoint(p, c, row, ranking);
	gyp_capacity_index_add_comparisons(p->capacities, i);
}

/* Returns the endpoints that can take tasks of the unit now, best first. */
static GArray *
rank_endpoints(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	GArray *ranking = gyp_ranking_new();

	if (c->flow->spec->queue->admission)
		add_allowed_endpoints(p, c, ranking);
	else
		add_all_endpoints(p, c, ranking);
	gyp_ranking_sort(ranking);
	return ranking;
}

const struct gyp_capacity_index *
gyp_placer_begin_preview(struct gyp_placer *p, uint64_t now)
{
	gyp_capacity_index_begin_round(p->capacities, now);
	return p->capacities;
}

GArray *
gyp_placer_preview(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	GArray *ranking = gyp_ranking_new();

	add_all_endpoints(p, c, ranking);
	return ranking;
}

uint32_t
gyp_placer_allowance(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	return allowed_by_cap(p, c);
}

static void
collect_run(struct gyp_placer *p, uint32_t task, uint32_t row)
{
	Gyp__FlowRun *run = g_new(Gyp__FlowRun, 1);

	gyp__flow_run__init(run);
	run->task = task;
	run->host = row;
	g_ptr_array_add(p->runs, run);
}

/* Proposes the collected runs, all with the same run number, as one command. */
static void
propose_runs(struct gyp_placer *p, const struct gyp_candidate *c,
    uint32_t number, GPtrArray *cmds)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowStart start = GYP__CMD_FLOW_START__INIT;

	if (p->runs->len == 0)
		return;
	start.flow = c->flow->id;
	start.run = number;
	start.n_runs = p->runs->len;
	start.runs = (Gyp__FlowRun **)p->runs->pdata;
	start.sent_once = true;
	cmd.c_case = GYP__CMD__C_FLOW_START;
	cmd.flow_start = &start;
	g_ptr_array_add(cmds, gyp_message_copy(&cmd.base));
	add_proposed(p, c, p->runs->len);
	p->runs_left -= MIN(p->runs_left, p->runs->len);
	g_ptr_array_set_size(p->runs, 0);
}

static uint32_t
next_run(const struct gyp_candidate *c)
{
	uint32_t i, run = 0;

	for (i = 0; i < c->unit->step->count; i++)
		run = MAX(run, c->flow->tasks[c->unit->first + i].run);
	return run + 1;
}

/*
 * Returns the next endpoint in the ranking that has free capacity, starting at
 * *pos, or NULL. For some time after a failure, a task avoids the endpoints
 * where it failed, and before its last attempt all endpoints with recent
 * failures.
 */
static struct gyp_ranked_endpoint *
next_endpoint(const struct gyp_placer *p, const struct gyp_candidate *c,
    uint32_t task, GArray *ranking, guint *pos)
{
	const struct gyp_flow_task *t = &c->flow->tasks[task];
	bool last_attempt = t->failures + 1 >= c->flow->spec->queue->attempts;
	bool avoids = t->failures > 0 && gyp_run_stats_failed_recently(p->stats,
					     c->flow->id, task, p->now);
	guint tried;

	for (tried = 0; tried < ranking->len; tried++) {
		struct gyp_ranked_endpoint *endpoint = &g_array_index(
		    ranking, struct gyp_ranked_endpoint, *pos % ranking->len);
		const struct gyp_capacity *cap =
		    gyp_capacity_index_at(p->capacities, endpoint->row);

		if (endpoint->count == 0 || !gyp_candidate_packs(c))
			*pos += 1;
		if (endpoint->count == 0)
			continue;
		if (avoids &&
		    (gyp_run_stats_failed_at(
			 p->stats, c->flow->id, task, endpoint->row) ||
			(last_attempt && cap->state != GYP_RUN_STATS_GOOD))) {
			*pos += gyp_candidate_packs(c);
			continue;
		}
		return endpoint;
	}
	return NULL;
}

/* A task that waits for a run. */
struct waiting_task {
	uint32_t index;
	uint64_t down_since; /* UINT64_MAX unless it is interrupted */
};

static gint
by_down_since(gconstpointer a, gconstpointer b)
{
	const struct waiting_task *x = a, *y = b;

	if (x->down_since != y->down_since)
		return x->down_since < y->down_since ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

/*
 * Returns the waiting tasks of the unit, as struct waiting_task: those that are
 * interrupted first, and of these the one that has been down longest.
 */
static GArray *
order_waiting_tasks(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	const struct gyp_flow_unit *u = c->unit;
	GArray *tasks = g_array_new(FALSE, FALSE, sizeof(struct waiting_task));
	uint32_t i;

	for (i = u->first; i < u->first + u->step->count; i++) {
		struct waiting_task t = {.index = i, .down_since = UINT64_MAX};

		if (c->flow->tasks[i].state != GYP_FLOW_TASK_WAITING)
			continue;
		if (gyp_slack_is_interrupted(p->stats, c->flow, u, i, p->now))
			t.down_since = c->flow->tasks[i].changed_ms;
		g_array_append_val(tasks, t);
	}
	g_array_sort(tasks, by_down_since);
	return tasks;
}

/*
 * Collects runs for up to `waiting` tasks of the unit that wait, and returns
 * how many of them are left.
 */
static uint32_t
collect_runs(struct gyp_placer *p, const struct gyp_candidate *c,
    GArray *ranking, uint32_t waiting)
{
	GArray *tasks = order_waiting_tasks(p, c);
	guint i, pos = 0;

	for (i = 0; i < tasks->len && waiting > 0; i++) {
		uint32_t task =
		    g_array_index(tasks, struct waiting_task, i).index;
		struct gyp_ranked_endpoint *endpoint =
		    next_endpoint(p, c, task, ranking, &pos);

		if (endpoint == NULL)
			continue;
		endpoint->count--;
		gyp_capacity_book(
		    gyp_capacity_index_at(p->capacities, endpoint->row), c);
		collect_run(p, task, endpoint->row);
		waiting--;
	}
	g_array_free(tasks, TRUE);
	return waiting;
}

/*
 * Proposes runs for waiting tasks of the unit, as far as the cap allows.
 * Returns the number of allowed tasks for which no endpoint was found. A gang
 * is proposed only if that is 0; otherwise the capacity found for its other
 * tasks stays deducted for this round.
 */
static uint32_t
place_unit(struct gyp_placer *p, const struct gyp_candidate *c, GPtrArray *cmds)
{
	struct gyp_flow_unit *u = c->unit;
	uint32_t waiting = allowed_by_cap(p, c);
	GArray *ranking;
	uint32_t number;

	if (waiting == 0) {
		p->summary.over_cap++;
		hold_cap(p, c);
		return 0;
	}
	ranking = rank_endpoints(p, c);
	if (ranking->len == 0 ||
	    (u->step->gang && gyp_ranking_total(ranking) < waiting)) {
		g_array_free(ranking, TRUE);
		return waiting;
	}
	number = next_run(c);
	waiting = collect_runs(p, c, ranking, waiting);
	g_array_free(ranking, TRUE);
	if (u->step->gang && waiting > 0)
		g_ptr_array_set_size(p->runs, 0);
	propose_runs(p, c, number, cmds);
	return waiting;
}

/* ---- Waiting work ------------------------------------------------------- */

static void
add_waiting(struct gyp_placer *p, const struct gyp_candidate *c, uint32_t tasks)
{
	double *sum = g_hash_table_lookup(p->waiting, c->flow->pool);
	uint64_t run_ms =
	    gyp_run_stats_time_ms(p->stats, c->flow, c->unit, GYP_RUN_ORDER);

	if (c->unit->step->lasting)
		return;
	tasks = count_waiting_under_cap(p, c, tasks);
	if (tasks == 0)
		return;
	if (sum == NULL) {
		sum = g_new0(double, 1);
		g_hash_table_insert(p->waiting, (gpointer)c->flow->pool, sum);
	}
	*sum += (double)c->unit->size.cpu_milli * tasks * (double)run_ms;
}

/*
 * Adds the tasks of the unit that this round has not started. Work that doesn't
 * fit beside lasting runs does not count: others would be refused because of
 * it, and it would not be done any sooner.
 */
static void
add_cap_wait(
    struct gyp_placer *p, const struct gyp_candidate *c, uint32_t tasks)
{
	if (c->flow->use == NULL || c->unit->step->lasting ||
	    gyp_cap_fit(c->flow->use, c->unit) != GYP_CAP_FITS)
		return;
	workspace_of(p, c)->cap_wait_ms +=
	    tasks * gyp_dominant_share(&c->unit->size, &c->flow->use->cap) *
	    (double)gyp_run_stats_time_ms(
		p->stats, c->flow, c->unit, GYP_RUN_ORDER);
}

double
gyp_placer_cap_wait_ms(
    const struct gyp_placer *p, const struct gyp_workspace_use *use)
{
	return use->row < p->workspaces->len
		   ? g_array_index(
			 p->workspaces, struct workspace_round, use->row)
			 .cap_wait_ms
		   : 0;
}

double
gyp_placer_waiting(const struct gyp_placer *p, const char *pool)
{
	const double *sum =
	    g_hash_table_lookup(p->waiting, g_intern_string(pool));

	return sum != NULL ? *sum : 0;
}

/* ---- Round -------------------------------------------------------------- */

/*
 * True while a query about the unit is under way that is answered sooner than a
 * run could be stopped.
 *
 * Handles this load: bursts of urgent steps wider than the endpoints known to
 * be allowed. Runs were stopped on those, while others that had not been named
 * yet had room.
 */
static bool
awaits_quick_query(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	return gyp_query_is_quick(c) &&
	       gyp_admission_has_pending_query(
		   gyp_admission_unit(p->admission, c->flow, c->unit));
}

/*
 * Reserves capacity for tasks that could not be placed; returns the number of
 * tasks that have some.
 */
static uint32_t
reserve_capacity(
    struct gyp_placer *p, const struct gyp_candidate *c, uint32_t waiting)
{
	bool may_preempt = c->rank < p->candidates->least_urgent &&
			   c->slack != GYP_SLACK_LATE &&
			   !awaits_quick_query(p, c);

	if (p->reservations >= RESERVATIONS_MAX ||
	    (!may_preempt && !c->unit->step->gang))
		return 0;
	p->reservations++;
	return gyp_reserve(
	    p->capacities, p->preempt, p->admission, c, waiting, may_preempt);
}

/*
 * Adds queries about that many tasks of the unit, unless they have room at
 * endpoints for which it has valid tickets.
 */
static void
query_unless_allowed(const struct gyp_placer *p, const struct gyp_candidate *c,
    uint32_t tasks, struct gyp_query_slots *slots)
{
	GArray *ranking = rank_endpoints(p, c);
	uint64_t room = gyp_ranking_total(ranking);

	if (room < tasks)
		gyp_query_slots_use(slots, c, tasks - (uint32_t)room);
	g_array_free(ranking, TRUE);
}

/*
 * Adds queries about tasks of the unit whose runs may be lost. Those whose
 * leases are over soon need tickets that are still valid then, and room is held
 * for them: not for the others, which may go on running for longer than work
 * can be kept from it.
 */
static void
query_about_lost_runs(const struct gyp_placer *p, const struct gyp_candidate *c,
    struct gyp_query_slots *slots)
{
	struct gyp_lost_runs lost =
	    gyp_admission_lost_runs(p->fleet, c->flow, c->unit);
	uint32_t waiting = c->unit->left - c->unit->open;
	struct gyp_candidate ending = *c;

	ending.needed_at = p->now + lost.ending_ms;
	if (lost.ending > 0)
		query_unless_allowed(p, &ending, waiting + lost.ending, slots);
	query_unless_allowed(p, c, waiting + lost.silent, slots);
	gyp_query_holds_add_lost(p->holds, c, lost.ending);
}

/*
 * A unit whose runs may be lost goes after those of its priority that are
 * interrupted, and before all others.
 */
static bool
lost_goes_before(
    const struct gyp_candidate *lost, const struct gyp_candidate *c)
{
	if (lost->rank != c->rank)
		return lost->rank < c->rank;
	return c->slack != GYP_SLACK_INTERRUPTED;
}

/*
 * Does this for the units, from the i-th on, that go before the given one, or
 * for all if it is NULL. Returns the index of the first one left.
 */
static guint
query_about_lost(const struct gyp_placer *p, guint i,
    const struct gyp_candidate *before, struct gyp_query_slots *slots)
{
	const GArray *expiring = p->candidates->expiring;

	for (; i < expiring->len; i++) {
		const struct gyp_candidate *c =
		    &g_array_index(expiring, struct gyp_candidate, i);

		if (before != NULL && !lost_goes_before(c, before))
			break;
		query_about_lost_runs(p, c, slots);
	}
	return i;
}

/*
 * Adds a query about an interrupted unit about which nothing is asked yet,
 * unless its tasks have room at endpoints that are allowed already.
 */
static void
query_about_interrupted(
    const struct gyp_placer *p, struct gyp_query_slots *slots)
{
	guint i;

	for (i = 0; i < p->candidates->units->len; i++) {
		const struct gyp_candidate *c = &g_array_index(
		    p->candidates->units, struct gyp_candidate, i);
		uint32_t tasks;
		GArray *ranking;
		uint64_t room;

		if (!gyp_query_slots_need_first(slots, c))
			continue;
		tasks = allowed_by_cap(p, c);
		ranking = rank_endpoints(p, c);
		room = gyp_ranking_total(ranking);
		g_array_free(ranking, TRUE);
		if (room < tasks &&
		    gyp_query_slots_use_first(slots, c, tasks - (uint32_t)room))
			return;
	}
}

/* Adds queries about units that are not ready yet. */
static void
prefetch_queries(const struct gyp_placer *p, struct gyp_query_slots *slots)
{
	guint i;

	for (i = 0; i < p->candidates->prefetch->len; i++) {
		const struct gyp_candidate *c = &g_array_index(
		    p->candidates->prefetch, struct gyp_candidate, i);

		gyp_query_slots_prefetch(slots, c, c->unit->left);
	}
}

/* Forgets what the previous round has decided. */
static void
reset_round(struct gyp_placer *p, uint64_t now)
{
	p->now = now;
	p->runs_left = RUNS_MAX;
	p->reservations = 0;
	gyp_query_holds_clear(p->holds);
	memset(&p->summary, 0, sizeof(p->summary));
	g_hash_table_remove_all(p->waiting);
	g_array_set_size(p->workspaces, 0);
	g_array_set_size(p->workspaces, gyp_workspaces_size(p->flows));
}

/* Places the unit, and queries about or reserves what it lacks. */
static void
schedule_unit(struct gyp_placer *p, const struct gyp_candidate *c,
    struct gyp_query_slots *slots, GPtrArray *cmds)
{
	uint32_t tasks = c->unit->left - c->unit->open;
	uint32_t allowed = allowed_by_cap(p, c), waiting;
	bool limited = allowed < tasks, queried;

	if (p->runs_left == 0) {
		add_waiting(p, c, allowed);
		add_cap_wait(p, c, tasks);
		return;
	}
	gyp_query_holds_apply(p->holds, c);
	waiting = place_unit(p, c, cmds);
	add_waiting(p, c, waiting);
	add_cap_wait(p, c, tasks - allowed + waiting);
	if (waiting == 0) {
		if (limited)
			note_wait(p, c, cap_wait_of(c));
		return;
	}
	p->summary.no_capacity++;
	gyp_query_slots_use(slots, c, waiting);
	queried = gyp_admission_has_pending_query(
	    gyp_admission_unit(p->admission, c->flow, c->unit));
	p->summary.queried += queried;
	note_wait(
	    p, c, queried ? GYP_PLACER_WAIT_QUERY : GYP_PLACER_WAIT_CAPACITY);
	waiting -= reserve_capacity(p, c, waiting);
	gyp_query_holds_add(p->holds, c, waiting);
	gyp_clearing_add(p->clearing, c, waiting);
}

void
gyp_placer_round(struct gyp_placer *p, uint64_t now, uint64_t wall_ms,
    uint32_t free_slots, uint32_t total_slots, GPtrArray *cmds,
    GPtrArray *queries)
{
	struct gyp_query_slots slots = {.admission = p->admission,
	    .capacities = p->capacities,
	    .now = now,
	    .free = free_slots,
	    .total = total_slots,
	    .queries = queries};
	guint i, lost = 0;

	reset_round(p, now);
	gyp_placer_candidates_find(p->candidates, p->now, wall_ms);
	p->summary.units = p->candidates->units->len;
	if (gyp_placer_candidates_are_none(p->candidates))
		return;
	gyp_preempt_begin_round(p->preempt, p->now);
	gyp_capacity_index_begin_round(p->capacities, p->now);
	gyp_clearing_begin_round(p->clearing);
	query_about_interrupted(p, &slots);
	for (i = 0; i < p->candidates->units->len; i++) {
		const struct gyp_candidate *c = &g_array_index(
		    p->candidates->units, struct gyp_candidate, i);

		lost = query_about_lost(p, lost, c, &slots);
		schedule_unit(p, c, &slots, cmds);
	}
	query_about_lost(p, lost, NULL, &slots);
	prefetch_queries(p, &slots);
}

bool
gyp_placer_pop_stop(struct gyp_placer *p, struct gyp_preempt_stop *stop)
{
	return gyp_preempt_pop(p->preempt, stop);
}

const struct gyp_placer_summary *
gyp_placer_summary(const struct gyp_placer *p)
{
	return &p->summary;
}

uint64_t
gyp_placer_comparisons(const struct gyp_placer *p)
{
	return gyp_capacity_index_comparisons(p->capacities);
}

struct gyp_placer *
gyp_placer_new(struct gyp_flows *flows, struct gyp_fleet *fleet,
    struct gyp_admission *admission, const struct gyp_run_stats *stats)
{
	struct gyp_placer *p = g_new0(struct gyp_placer, 1);

	p->flows = flows;
	p->fleet = fleet;
	p->admission = admission;
	p->stats = stats;
	p->preempt = gyp_preempt_new(flows, fleet, stats);
	p->capacities = gyp_capacity_index_new(flows, fleet, stats, p->preempt);
	p->candidates =
	    gyp_placer_candidates_new(flows, fleet, admission, stats);
	p->holds = gyp_query_holds_new(p->capacities, admission);
	p->clearing =
	    gyp_clearing_new(p->capacities, p->preempt, admission, stats);
	p->workspaces =
	    g_array_new(FALSE, TRUE, sizeof(struct workspace_round));
	p->waiting = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	p->runs = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void
gyp_placer_free(struct gyp_placer *p)
{
	if (p == NULL)
		return;
	gyp_preempt_free(p->preempt);
	gyp_capacity_index_free(p->capacities);
	gyp_placer_candidates_free(p->candidates);
	gyp_query_holds_free(p->holds);
	gyp_clearing_free(p->clearing);
	g_array_free(p->workspaces, TRUE);
	g_hash_table_destroy(p->waiting);
	g_ptr_array_free(p->runs, TRUE);
	g_free(p);
}
