#include <string.h>

#include "ahead.h"
#include "fits.h"
#include "msg.h"
#include "placer.h"
#include "question.h"
#include "reserve.h"

/* Most runs proposed in one round. */
#define RUNS_MAX 256

/* Most units for which room is kept in one round. */
#define RESERVES_MAX 64

/* A question that takes longer leaves one lane in so many free. */
#define SLOW_QUESTION_MS 100
#define KEPT_DIVISOR     5

/* Questions about steps to come leave so much of all lanes free. */
#define AHEAD_KEPT_DIVISOR 3

struct gyp_placer {
	struct gyp_flows *flows;
	struct gyp_fleet *fleet;
	struct gyp_admission *admission;
	const struct gyp_run_stats *track;
	struct gyp_preempt *preempt;
	struct gyp_rooms *rooms; /* of this round */
	GArray *units;           /* struct gyp_candidate, of this round */
	GArray *ahead;           /* likewise, to ask about before their turn */
	GPtrArray *runs;         /* Gyp__FlowRun being collected */
	uint64_t now;
	uint32_t budget;
	uint32_t reserves;
	uint32_t least_urgent; /* priority of the least urgent active flow */
};

/* ---- Candidates --------------------------------------------------------- */

static bool
is_due(const struct gyp_flow *flow, const struct gyp_flow_unit *u,
    uint64_t wall_ms)
{
	const Gyp__FlowSpec *spec = flow->spec;

	if (spec->times == 0)
		return true;
	return wall_ms >=
	       spec->first_ms + (uint64_t)u->time * spec->interval_ms;
}

static gint
by_urgency(gconstpointer a, gconstpointer b)
{
	const struct gyp_candidate *x = a, *y = b;
	uint32_t px = x->flow->spec->queue->priority;
	uint32_t py = y->flow->spec->queue->priority;

	if (px != py)
		return px < py ? -1 : 1;
	if (x->slack != y->slack)
		return x->slack < y->slack ? -1 : 1;
	if (x->flow->seq != y->flow->seq)
		return x->flow->seq < y->flow->seq ? -1 : 1;
	return x->unit < y->unit ? -1 : x->unit > y->unit;
}

/* Has tasks that wait for a run, apart from whether their turn has come. */
static bool
has_waiting(const struct gyp_flow_unit *u)
{
	return u->left > u->open && !(u->step->gang && u->open > 0);
}

static void
add_candidate(struct gyp_placer *p, struct gyp_flow *flow,
    struct gyp_flow_unit *unit, uint64_t wall_ms)
{
	struct gyp_candidate c = {.flow = flow, .unit = unit};

	if (!has_waiting(unit) || !is_due(flow, unit, wall_ms))
		return;
	if (!gyp_flow_unit_is_ready(flow, unit)) {
		if (gyp_admission_unit(p->admission, flow, unit) == NULL &&
		    gyp_ahead_should_ask(p->track, flow, unit))
			g_array_append_val(p->ahead, c);
		return;
	}
	c.slack =
	    gyp_slack_word(p->track, flow, unit, gyp_flows_time(p->flows));
	g_array_append_val(p->units, c);
}

static void
find_candidates(struct gyp_placer *p, uint64_t wall_ms)
{
	const GList *l;
	uint32_t i;

	g_array_set_size(p->units, 0);
	g_array_set_size(p->ahead, 0);
	p->least_urgent = 0;
	for (l = gyp_flows_active(p->flows)->head; l != NULL; l = l->next) {
		struct gyp_flow *flow = l->data;

		if (!gyp_flow_is_alive(flow))
			continue;
		p->least_urgent =
		    MAX(p->least_urgent, flow->spec->queue->priority);
		for (i = 0; i < flow->n_units; i++)
			add_candidate(p, flow, &flow->units[i], wall_ms);
	}
	g_array_sort(p->units, by_urgency);
	g_array_sort(p->ahead, by_urgency);
}

/* ---- Placing ------------------------------------------------------------ */

static void
add_fit(const struct gyp_placer *p, const struct gyp_candidate *c, uint32_t row,
    GArray *fits)
{
	const struct gyp_room *room = gyp_rooms_at(p->rooms, row);
	struct gyp_fit fit = {.row = row};

	if (!gyp_room_suits(room, c))
		return;
	fit.count = gyp_room_count(room, c);
	fit.score = gyp_room_score(room, c);
	if (fit.count > 0)
		g_array_append_val(fits, fit);
}

/* The rooms are looked at first: they are few and the words of units many. */
static void
add_allowed_fits(
    const struct gyp_placer *p, const struct gyp_candidate *c, GArray *fits)
{
	const struct gyp_admission_unit *known =
	    gyp_admission_unit(p->admission, c->flow, c->unit);
	const uint32_t *rows;
	guint i, n;

	rows = gyp_admission_allowed(known, &n);
	for (i = 0; i < n; i++) {
		if (rows[i] < gyp_rooms_size(p->rooms) &&
		    gyp_res_fits(&c->unit->size,
			&gyp_rooms_at(p->rooms, rows[i])->left) &&
		    gyp_admission_word(p->admission, known, rows[i], p->now) ==
			GYP_ADMISSION_YES)
			add_fit(p, c, rows[i], fits);
	}
	gyp_rooms_count(p->rooms, n);
}

static void
add_all_fits(
    const struct gyp_placer *p, const struct gyp_candidate *c, GArray *fits)
{
	uint32_t row;
	guint i;

	for (i = 0; gyp_rooms_nth(p->rooms, i, c->unit->size.cpu_milli, &row);
	     i++)
		add_fit(p, c, row, fits);
	gyp_rooms_count(p->rooms, i);
}

/* Endpoints that can take tasks of the unit now, best first. */
static GArray *
find_fits(const struct gyp_placer *p, const struct gyp_candidate *c)
{
	GArray *fits = gyp_fits_new();

	if (c->flow->spec->queue->admission)
		add_allowed_fits(p, c, fits);
	else
		add_all_fits(p, c, fits);
	gyp_fits_sort(fits);
	return fits;
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

/* Proposes the collected runs of one number as one command. */
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
	cmd.c_case = GYP__CMD__C_FLOW_START;
	cmd.flow_start = &start;
	g_ptr_array_add(cmds, gyp_message_copy(&cmd.base));
	p->budget -= MIN(p->budget, p->runs->len);
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
 * The next fit with room left, in turn. For a while a task does not go where
 * it failed, and one that must not fail again goes where nothing failed.
 */
static struct gyp_fit *
next_fit(const struct gyp_placer *p, const struct gyp_candidate *c,
    uint32_t task, GArray *fits, guint *at)
{
	const struct gyp_flow_task *t = &c->flow->tasks[task];
	bool last = t->failures + 1 >= c->flow->spec->queue->attempts;
	bool avoids = t->failures > 0 && gyp_run_stats_failed_recently(p->track,
					     c->flow->id, task, p->now);
	guint tried;

	for (tried = 0; tried < fits->len; tried++) {
		struct gyp_fit *fit =
		    &g_array_index(fits, struct gyp_fit, *at % fits->len);
		const struct gyp_room *room = gyp_rooms_at(p->rooms, fit->row);

		if (fit->count == 0 || !gyp_candidate_packs(c))
			*at += 1;
		if (fit->count == 0)
			continue;
		if (avoids && (gyp_run_stats_failed_at(
				   p->track, c->flow->id, task, fit->row) ||
				  (last && room->word != GYP_RUN_STATS_GOOD))) {
			*at += gyp_candidate_packs(c);
			continue;
		}
		return fit;
	}
	return NULL;
}

/* Returns how many tasks still wait. */
static uint32_t
place_unit(struct gyp_placer *p, const struct gyp_candidate *c, GPtrArray *cmds)
{
	struct gyp_flow_unit *u = c->unit;
	uint32_t waiting = u->left - u->open;
	GArray *fits = find_fits(p, c);
	uint32_t i, number;
	guint at = 0;

	if (fits->len == 0 ||
	    (u->step->gang && gyp_fits_total(fits) < waiting)) {
		g_array_free(fits, TRUE);
		return waiting;
	}
	number = next_run(c);
	for (i = u->first; i < u->first + u->step->count; i++) {
		struct gyp_fit *fit;

		if (c->flow->tasks[i].state != GYP_FLOW_TASK_WAITING)
			continue;
		fit = next_fit(p, c, i, fits, &at);
		if (fit == NULL)
			continue;
		fit->count--;
		gyp_room_take(gyp_rooms_at(p->rooms, fit->row), c);
		collect_run(p, i, fit->row);
		waiting--;
	}
	g_array_free(fits, TRUE);
	if (u->step->gang && waiting > 0)
		g_ptr_array_set_size(p->runs, 0);
	propose_runs(p, c, number, cmds);
	return waiting;
}

/* ---- Round -------------------------------------------------------------- */

/* Room for tasks that found none. */
static void
keep_room(struct gyp_placer *p, const struct gyp_candidate *c, uint32_t waiting)
{
	bool preempts = c->flow->spec->queue->priority < p->least_urgent &&
			c->slack != GYP_SLACK_LATE;

	if (p->reserves >= RESERVES_MAX || (!preempts && !c->unit->step->gang))
		return;
	p->reserves++;
	gyp_reserve(p->rooms, p->preempt, p->admission, c, waiting, preempts);
}

/* Slow questions leave a part of the lanes to quick ones. */
static uint32_t
lanes_for(const struct gyp_candidate *c, uint32_t lanes, uint32_t all_lanes)
{
	uint32_t kept = (all_lanes + KEPT_DIVISOR - 1) / KEPT_DIVISOR;

	if (c->flow->spec->queue->admission_ms < SLOW_QUESTION_MS)
		return lanes;
	return lanes > kept ? lanes - kept : 0;
}

/* Asks about the unit when a lane is free for it. */
static void
ask_about(struct gyp_placer *p, const struct gyp_candidate *c, uint32_t tasks,
    uint32_t lanes, GPtrArray *asks)
{
	Gyp__Ask *ask;

	if (asks->len >= lanes)
		return;
	ask = gyp_question_for(p->admission, p->rooms, c, tasks, p->now);
	if (ask != NULL)
		g_ptr_array_add(asks, ask);
}

/* Leaves a part of all lanes free for work whose turn comes. */
static void
ask_ahead(
    struct gyp_placer *p, uint32_t lanes, uint32_t all_lanes, GPtrArray *asks)
{
	uint32_t kept = all_lanes / AHEAD_KEPT_DIVISOR;
	guint i;

	for (i = 0; i < p->ahead->len && asks->len + kept < lanes; i++) {
		const struct gyp_candidate *c =
		    &g_array_index(p->ahead, struct gyp_candidate, i);

		ask_about(p, c, c->unit->left, lanes, asks);
	}
}

void
gyp_placer_round(struct gyp_placer *p, uint64_t now, uint64_t wall_ms,
    uint32_t lanes, uint32_t all_lanes, GPtrArray *cmds, GPtrArray *asks)
{
	guint i;

	p->now = now;
	p->budget = RUNS_MAX;
	p->reserves = 0;
	find_candidates(p, wall_ms);
	if (p->units->len == 0 && p->ahead->len == 0)
		return;
	gyp_preempt_begin(p->preempt, p->now);
	gyp_rooms_begin(p->rooms, p->now);
	for (i = 0; i < p->units->len && p->budget > 0; i++) {
		const struct gyp_candidate *c =
		    &g_array_index(p->units, struct gyp_candidate, i);
		uint32_t waiting = place_unit(p, c, cmds);

		if (waiting == 0)
			continue;
		ask_about(p, c, waiting, lanes_for(c, lanes, all_lanes), asks);
		keep_room(p, c, waiting);
	}
	ask_ahead(p, lanes, all_lanes, asks);
}

bool
gyp_placer_pop_stop(struct gyp_placer *p, struct gyp_preempt_stop *stop)
{
	return gyp_preempt_pop(p->preempt, stop);
}

uint64_t
gyp_placer_compared(const struct gyp_placer *p)
{
	return gyp_rooms_compared(p->rooms);
}

struct gyp_placer *
gyp_placer_new(struct gyp_flows *flows, struct gyp_fleet *fleet,
    struct gyp_admission *admission, const struct gyp_run_stats *track)
{
	struct gyp_placer *p = g_new0(struct gyp_placer, 1);

	p->flows = flows;
	p->fleet = fleet;
	p->admission = admission;
	p->track = track;
	p->preempt = gyp_preempt_new(flows, fleet, track);
	p->rooms = gyp_rooms_new(flows, fleet, track, p->preempt);
	p->units = g_array_new(FALSE, FALSE, sizeof(struct gyp_candidate));
	p->ahead = g_array_new(FALSE, FALSE, sizeof(struct gyp_candidate));
	p->runs = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void
gyp_placer_free(struct gyp_placer *p)
{
	if (p == NULL)
		return;
	gyp_preempt_free(p->preempt);
	gyp_rooms_free(p->rooms);
	g_array_free(p->units, TRUE);
	g_array_free(p->ahead, TRUE);
	g_ptr_array_free(p->runs, TRUE);
	g_free(p);
}
