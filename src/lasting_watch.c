#include "lasting_watch.h"
#include "endpoint_ranking.h"

/* Times of the lines about an outage, in ms; further ones follow each 5 s. */
static const uint64_t first_lines_ms[] = {GYP_LASTING_LOGGED_MS, 3000, 6000};
#define NEXT_LINES_MS 5000

#define TASK_ID      "flow=%016" G_GINT64_MODIFIER "x task=%u"
#define TASK_ARGS(d) (d)->key.flow, (d)->key.index

/* Fields that all lines about a task that is down have in common. */
#define DOWN                                                                   \
	"step=%u for_ms=%" G_GUINT64_FORMAT " run=%u last_end=%s refused=%u "  \
	"refuse_reason=%s"
#define DOWN_ARGS(w, o)                                                        \
	(o)->unit->step_number, (w)->now - (o)->down->since,                   \
	    (o)->flow->tasks[(o)->down->key.index].run, (o)->down->last_end,   \
	    (o)->down->refused, (o)->down->refuse_reason

/* A task that is down. */
struct down_task {
	struct gyp_flow_key key;
	uint64_t since;
	uint64_t next_line_ms;     /* time down at which it is logged next */
	uint64_t scan;             /* latest scan that saw it down */
	uint32_t after_run;        /* the run that it lost, 0 for none */
	uint32_t refused;          /* starts that were refused since */
	const char *refuse_reason; /* of the latest of these */
	const char *last_end;      /* how its latest run since has ended */
};

/* A task that is due to be logged in the current scan. */
struct overdue_task {
	struct gyp_flow *flow;
	struct gyp_flow_unit *unit;
	struct down_task *down;
};

/* Endpoints of the pool of a unit. */
struct endpoint_counts {
	uint32_t suits;
	uint32_t fits;        /* of these, with free capacity for a task */
	uint32_t room;        /* with capacity for a task by the tables */
	uint32_t no_contact;  /* of the latter */
	uint32_t blocked;     /* of the latter */
	uint32_t suspect;     /* of the latter */
	uint32_t sharing;     /* with room, but with filling or serving tasks */
	uint32_t uncontacted; /* see gyp_fleet_is_contacted() */
	uint32_t admission[GYP_ADMISSION_ALLOWED + 1]; /* of those that fit */
};

struct gyp_lasting_watch {
	struct gyp_lasting_sources from;
	uint64_t began;    /* start of the term */
	uint64_t began_ms; /* cell time of the latest command before */
	uint64_t now;
	uint64_t scan_at;
	uint64_t scans;
	uint32_t n_down;  /* tasks down for GYP_LASTING_LOGGED_MS */
	GHashTable *down; /* key -> struct down_task */
	GArray *overdue;  /* struct overdue_task, of the current scan */
	const struct gyp_capacity_index *capacities; /* of the current scan */
};

/* ---- Tasks that are down ------------------------------------------------ */

static struct down_task *
find_down(
    const struct gyp_lasting_watch *w, const struct gyp_flow *f, uint32_t task)
{
	struct gyp_flow_key key = {.flow = f->id, .index = task};

	return g_hash_table_lookup(w->down, &key);
}

static struct down_task *
add_down(struct gyp_lasting_watch *w, const struct gyp_flow *flow,
    uint32_t task, uint64_t since, uint32_t after_run)
{
	struct down_task *d = g_new0(struct down_task, 1);

	d->key.flow = flow->id;
	d->key.index = task;
	d->since = since;
	d->after_run = after_run;
	d->next_line_ms = first_lines_ms[0];
	d->refuse_reason = "none";
	d->last_end = "none";
	g_hash_table_insert(w->down, &d->key, d);
	return d;
}

/*
 * The leader's time of a cell time before the term. Cell time stands still
 * between two leaders, so the age of the tables at the start of the term is
 * added.
 */
static uint64_t
time_before_term(const struct gyp_lasting_watch *w, uint64_t cell_ms)
{
	uint64_t before_ms = w->began_ms - cell_ms + w->from.tables_age_ms;

	return w->began - MIN(w->began, before_ms);
}

/* When the latest run of a waiting task ended, if that was before this term. */
static uint64_t
waits_since(const struct gyp_lasting_watch *w, const struct gyp_flow_task *t)
{
	if (t->run == 0 || t->changed_ms > w->began_ms)
		return w->now;
	return time_before_term(w, t->changed_ms);
}

/*
 * When the shutdown of the endpoint was recorded, if that was before this term
 * and the run, which has ended now, was not seen since.
 */
static uint64_t
lost_since(const struct gyp_lasting_watch *w, const struct gyp_flow *flow,
    uint32_t task, const struct gyp_run_diagnosis *run)
{
	const struct gyp_host *h =
	    gyp_host_at(w->from.flows, flow->tasks[task].row);

	if (run->confirmed_at != 0 || h == NULL || !gyp_host_has_ended(h) ||
	    h->spec->ended_ms > w->began_ms)
		return w->now;
	return time_before_term(w, h->spec->ended_ms);
}

/* As far as this leader knows. */
static uint64_t
open_since(
    const struct gyp_lasting_watch *w, const struct gyp_run_diagnosis *run)
{
	if (w->scans == 1)
		return w->began;
	return MAX(w->began, w->now - MIN(w->now, run->silent_ms));
}

/*
 * Adds the task; run is NULL if it has no open run. A run whose start was never
 * confirmed is none that the task lost.
 */
static struct down_task *
add_down_now(struct gyp_lasting_watch *w, const struct gyp_flow *flow,
    uint32_t task, const struct gyp_run_diagnosis *run)
{
	const struct gyp_flow_task *t = &flow->tasks[task];
	uint64_t since = run != NULL ? open_since(w, run) : waits_since(w, t);
	uint32_t after_run = run != NULL && !run->began ? 0 : t->run;

	return add_down(w, flow, task, since, after_run);
}

/*
 * Ends the outage of a task whose run was confirmed. If that is the run it was
 * down with, its endpoint was silent or restarted, and the task may have run.
 */
static void
end_outage(struct gyp_lasting_watch *w, struct down_task *d, uint32_t number,
    const struct gyp_run_diagnosis *run)
{
	uint64_t up_at =
	    run->confirmed_at > d->since ? run->confirmed_at : w->now;
	uint64_t down_ms = up_at - d->since;

	if (w->from.counters != NULL && d->after_run != 0 &&
	    d->after_run != number)
		gyp_observe_ms(w->from.counters, "gyp_lasting_outage_seconds",
		    "", down_ms);
	if (down_ms >= GYP_LASTING_LOGGED_MS)
		gyp_events_add(w->from.events, "lasting-up",
		    TASK_ID " down_ms=%" G_GUINT64_FORMAT
			    " run=%u after_run=%u refused=%u endpoint=%s",
		    TASK_ARGS(d), down_ms, number, d->after_run, d->refused,
		    run->endpoint);
	g_hash_table_remove(w->down, &d->key);
}

void
gyp_lasting_watch_ended(struct gyp_lasting_watch *w, uint64_t now,
    const struct gyp_flow *flow, uint32_t task, Gyp__FlowHow how)
{
	struct gyp_run_diagnosis run;
	struct down_task *d;

	if (!gyp_flow_unit_of(flow, task)->step->lasting ||
	    !gyp_flow_is_alive(flow) ||
	    !gyp_fleet_run_diagnosis(w->from.fleet, flow->id, task, &run))
		return;
	w->now = now;
	d = find_down(w, flow, task);
	/* Its run was confirmed and has ended between two scans. */
	if (d != NULL && run.confirmed_at > d->since) {
		end_outage(w, d, flow->tasks[task].run, &run);
		d = NULL;
	}
	if (d == NULL)
		d = add_down_now(w, flow, task, &run);
	if (d->after_run == flow->tasks[task].run)
		d->since = MIN(d->since, lost_since(w, flow, task, &run));
	d->last_end = gyp_flow_how_name(how);
	if (run.refused == NULL)
		return;
	d->refused++;
	d->refuse_reason = run.refused;
}

/* ---- Log lines ---------------------------------------------------------- */

static const char *
slack_name(enum gyp_slack_state slack)
{
	static const char *const names[] = {
	    [GYP_SLACK_INTERRUPTED] = "interrupted",
	    [GYP_SLACK_STARVING] = "starving",
	    [GYP_SLACK_IN_TIME] = "in-time",
	    [GYP_SLACK_LATE] = "late"};

	return names[slack];
}

static const char *
query_name(const struct gyp_lasting_watch *w, const struct gyp_candidate *c)
{
	const struct gyp_admission_unit *u =
	    gyp_admission_unit(w->from.admission, c->flow, c->unit);

	if (gyp_admission_has_pending_query(u))
		return "pending";
	return gyp_admission_is_paused(u, w->now) ? "paused" : "none";
}

/* Counts the endpoints that have room by the tables, and why they get none. */
static void
count_by_tables(const struct gyp_lasting_watch *w,
    const struct gyp_candidate *c, struct endpoint_counts *n)
{
	uint32_t row;

	for (row = 0; row < gyp_hosts_size(w->from.flows); row++) {
		const struct gyp_host *h = gyp_host_at(w->from.flows, row);
		struct gyp_capacity cap = {.host = NULL};
		enum gyp_run_stats_state state;
		enum gyp_misfit misfit;

		if (h == NULL || h->spec->draining || h->spec->gone)
			continue;
		n->uncontacted += h->pool == c->flow->pool &&
				  !gyp_fleet_is_contacted(w->from.fleet, row);
		gyp_capacity_set_tables(&cap, h);
		misfit = gyp_capacity_misfit(&cap, c);
		if ((misfit != GYP_MISFIT_NONE &&
			misfit != GYP_MISFIT_SHARING) ||
		    gyp_capacity_count_tasks(&cap, c) == 0)
			continue;
		n->sharing += misfit == GYP_MISFIT_SHARING;
		if (misfit == GYP_MISFIT_SHARING)
			continue;
		state = gyp_run_stats_state(w->from.stats, row, w->now);
		n->room++;
		n->no_contact += !gyp_fleet_usable(w->from.fleet, row);
		n->blocked += state >= GYP_RUN_STATS_PROBING;
		n->suspect += state == GYP_RUN_STATS_SUSPECT;
	}
}

static void
count_by_placer(const struct gyp_lasting_watch *w,
    const struct gyp_candidate *c, struct endpoint_counts *n)
{
	const struct gyp_admission_unit *u =
	    gyp_admission_unit(w->from.admission, c->flow, c->unit);
	GArray *ranking = gyp_placer_preview(w->from.placer, c);
	uint32_t misfits[GYP_MISFITS];
	guint i;

	gyp_capacity_index_count_misfits(w->capacities, c, misfits);
	n->suits = misfits[GYP_MISFIT_NONE];
	n->fits = ranking->len;
	for (i = 0; i < ranking->len; i++) {
		const struct gyp_ranked_endpoint *e =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, i);

		n->admission[gyp_admission_state(
		    w->from.admission, u, e->row, w->now)]++;
	}
	g_array_free(ranking, TRUE);
}

static void
log_waiting(const struct gyp_lasting_watch *w, const struct overdue_task *o,
    guint left_out)
{
	uint64_t now_ms = gyp_flows_time(w->from.flows);
	struct gyp_candidate c = {.flow = o->flow,
	    .unit = o->unit,
	    .rank = gyp_flow_rank(o->flow, now_ms),
	    .slack = gyp_slack_state(
		w->from.stats, o->flow, o->unit, w->now, now_ms)};
	struct endpoint_counts n = {.suits = 0};

	count_by_tables(w, &c, &n);
	count_by_placer(w, &c, &n);
	gyp_events_add(w->from.events, "lasting-down",
	    TASK_ID " " DOWN
		    " state=waiting rank=%u slack=%s under_cap=%u avoids=%d "
		    "admission=%d query=%s suits=%u fits=%u room=%u "
		    "no_contact=%u blocked=%u suspect=%u unknown=%u pending=%u "
		    "denied=%u expired=%u allowed=%u left_out=%u sharing=%u "
		    "uncontacted=%u",
	    TASK_ARGS(o->down), DOWN_ARGS(w, o), c.rank, slack_name(c.slack),
	    gyp_placer_allowance(w->from.placer, &c),
	    gyp_run_stats_failed_recently(
		w->from.stats, o->flow->id, o->down->key.index, w->now),
	    c.flow->spec->queue->admission, query_name(w, &c), n.suits, n.fits,
	    n.room, n.no_contact, n.blocked, n.suspect,
	    n.admission[GYP_ADMISSION_UNKNOWN],
	    n.admission[GYP_ADMISSION_PENDING],
	    n.admission[GYP_ADMISSION_DENIED],
	    n.admission[GYP_ADMISSION_EXPIRED],
	    n.admission[GYP_ADMISSION_ALLOWED], left_out, n.sharing,
	    n.uncontacted);
}

static void
log_open(const struct gyp_lasting_watch *w, const struct overdue_task *o,
    const struct gyp_run_diagnosis *run, guint left_out)
{
	gyp_events_add(w->from.events, "lasting-down",
	    TASK_ID
	    " " DOWN " state=open endpoint=%s phase=%s stop=%s call=%s "
	    "end_proposed=%d starts_sent=%u silent_ms=%" G_GUINT64_FORMAT
	    " failures=%u departed=%d lease_left_ms=%" G_GUINT64_FORMAT
	    " restarted_ms_ago=%" G_GINT64_FORMAT
	    " left_out=%u end_proposed_ms_ago=%" G_GUINT64_FORMAT,
	    TASK_ARGS(o->down), DOWN_ARGS(w, o), run->endpoint, run->phase,
	    run->stop, run->call, run->end_proposed, run->starts_sent,
	    run->silent_ms, run->failures, run->departed, run->lease_left_ms,
	    run->restarted_ms_ago, left_out, run->end_proposed_ms_ago);
}

static void
log_task(const struct gyp_lasting_watch *w, const struct overdue_task *o,
    guint left_out)
{
	uint32_t task = o->down->key.index;
	struct gyp_run_diagnosis run;

	if (gyp_fleet_run_diagnosis(w->from.fleet, o->flow->id, task, &run))
		log_open(w, o, &run, left_out);
	else if (o->flow->tasks[task].state == GYP_FLOW_TASK_WAITING)
		log_waiting(w, o, left_out);
	else /* An inconsistency: the fleet has each open run. */
		gyp_events_add(w->from.events, "lasting-down",
		    TASK_ID " " DOWN " state=open phase=none left_out=%u",
		    TASK_ARGS(o->down), DOWN_ARGS(w, o), left_out);
}

static uint64_t
next_line_ms(uint64_t for_ms)
{
	const uint64_t last = first_lines_ms[G_N_ELEMENTS(first_lines_ms) - 1];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first_lines_ms); i++) {
		if (for_ms < first_lines_ms[i])
			return first_lines_ms[i];
	}
	return last + ((for_ms - last) / NEXT_LINES_MS + 1) * NEXT_LINES_MS;
}

static gint
by_since(gconstpointer a, gconstpointer b)
{
	const struct overdue_task *x = a, *y = b;

	if (x->down->since == y->down->since)
		return 0;
	return x->down->since < y->down->since ? -1 : 1;
}

/*
 * Logs the tasks that have been down longest. Those left out stay due, so that
 * the next scan logs them.
 */
static void
log_overdue(struct gyp_lasting_watch *w)
{
	guint lines = MIN(w->overdue->len, GYP_LASTING_LINES_MAX), i;

	if (lines == 0)
		return;
	w->capacities = gyp_placer_begin_preview(w->from.placer, w->now);
	g_array_sort(w->overdue, by_since);
	for (i = 0; i < lines; i++) {
		const struct overdue_task *o =
		    &g_array_index(w->overdue, struct overdue_task, i);

		o->down->next_line_ms = next_line_ms(w->now - o->down->since);
		log_task(w, o, w->overdue->len - lines);
	}
}

/* ---- Scan --------------------------------------------------------------- */

static void
scan_down(struct gyp_lasting_watch *w, struct gyp_flow *flow,
    struct gyp_flow_unit *unit, struct down_task *d)
{
	struct overdue_task o = {.flow = flow, .unit = unit, .down = d};
	uint64_t for_ms = w->now - d->since;

	d->scan = w->scans;
	w->n_down += for_ms >= GYP_LASTING_LOGGED_MS;
	if (for_ms >= d->next_line_ms)
		g_array_append_val(w->overdue, o);
}

static void
scan_task(struct gyp_lasting_watch *w, struct gyp_flow *flow,
    struct gyp_flow_unit *unit, uint32_t task)
{
	struct down_task *d = find_down(w, flow, task);
	struct gyp_run_diagnosis run;
	bool open =
	    gyp_fleet_run_diagnosis(w->from.fleet, flow->id, task, &run);

	if (open && run.running && run.silent_ms < GYP_LASTING_SILENT_MS) {
		if (d != NULL)
			end_outage(w, d, flow->tasks[task].run, &run);
		return;
	}
	if (d == NULL)
		d = add_down_now(w, flow, task, open ? &run : NULL);
	scan_down(w, flow, unit, d);
}

static void
scan_flow(struct gyp_lasting_watch *w, struct gyp_flow *flow, uint64_t wall_ms)
{
	uint32_t i, k;

	for (i = 0; i < flow->n_units; i++) {
		struct gyp_flow_unit *u = &flow->units[i];

		if (!u->step->lasting || !gyp_flow_unit_is_ready(flow, u) ||
		    !gyp_placer_unit_is_due(flow, u, wall_ms))
			continue;
		for (k = 0; k < u->step->count; k++)
			scan_task(w, flow, u, u->first + k);
	}
}

/* True if the task is no longer expected to run, as when its flow has ended. */
static gboolean
is_outdated(gpointer key, gpointer value, gpointer arg)
{
	const struct down_task *d = value;
	const struct gyp_lasting_watch *w = arg;

	(void)key;
	return d->scan != w->scans;
}

void
gyp_lasting_watch_tick(
    struct gyp_lasting_watch *w, uint64_t now, uint64_t wall_ms)
{
	const GList *l;

	if (now < w->scan_at)
		return;
	w->now = now;
	w->scan_at = now + GYP_LASTING_SCAN_MS;
	w->scans++;
	w->n_down = 0;
	g_array_set_size(w->overdue, 0);
	for (l = gyp_flows_active(w->from.flows)->head; l != NULL; l = l->next)
		if (gyp_flow_is_alive(l->data))
			scan_flow(w, l->data, wall_ms);
	g_hash_table_foreach_remove(w->down, is_outdated, w);
	log_overdue(w);
	if (w->from.counters != NULL)
		gyp_gauge(w->from.counters, "gyp_lasting_down", "", w->n_down);
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_lasting_watch *
gyp_lasting_watch_new(const struct gyp_lasting_sources *from, uint64_t now)
{
	struct gyp_lasting_watch *w = g_new0(struct gyp_lasting_watch, 1);

	w->from = *from;
	w->began = now;
	w->began_ms = gyp_flows_time(from->flows);
	w->now = now;
	w->down = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, g_free);
	w->overdue = g_array_new(FALSE, FALSE, sizeof(struct overdue_task));
	return w;
}

void
gyp_lasting_watch_free(struct gyp_lasting_watch *w)
{
	if (w == NULL)
		return;
	g_hash_table_destroy(w->down);
	g_array_free(w->overdue, TRUE);
	g_free(w);
}
