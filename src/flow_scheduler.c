#include <string.h>

#include "admission.h"
#include "admission_query.h"
#include "flow_scheduler.h"
#include "lasting_watch.h"
#include "msg.h"
#include "run_stats.h"
#include "straggler.h"

/* Longest time between two placement rounds, in ms. */
#define ROUND_MS 50

/* Interval of the load line in the log, in ms. */
#define LOAD_LOG_MS 1000

/* Interval of the forecasts in the log, in ms. */
#define FORECAST_LOG_MS 5000

/* Interval of the straggler check, in ms. */
#define STRAGGLER_CHECK_MS 150

/* Time for an entry to answer an admission query, in ms. */
#define QUERY_TIMEOUT_MS 4000

/*
 * The answer to a query about a lasting unit is overdue when it takes this much
 * longer than the service does, in ms.
 */
#define OVERDUE_MS 500

/*
 * Answers that are late by less than LATE_MS count as in time. Entries are
 * compared by how late their answers are in units of as much.
 */
#define LATE_MS 250

/* An entry that carries admission queries, one at a time. */
struct query_slot {
	uint64_t entry;
	uint64_t offered_at;
	uint64_t query_id; /* 0 if the slot is free */
	bool lasting;      /* it is about a lasting unit */
	uint64_t queried_at;
	uint64_t usual_ms; /* time that the service takes for the query */
	uint64_t late_ms;  /* what the latest answer took beyond that */
	uint32_t failures; /* failed queries since the last answer */
};

struct gyp_flow_scheduler {
	struct gyp_flows_listener listener;
	struct gyp_flows *flows;
	struct gyp_events *events;
	struct gyp_counters *counters;
	struct gyp_fleet *fleet;
	struct gyp_admission *admission;
	struct gyp_placer *placer;
	struct gyp_run_stats *stats;
	struct gyp_lasting_watch *lasting;
	uint64_t check_at;
	uint64_t load_log_at;
	uint64_t forecast_log_at;
	GArray *stragglers;       /* struct straggler, of the current check */
	GArray *endpoint_counts;  /* struct gyp_straggler_count by row */
	GHashTable *queue_counts; /* name -> struct gyp_straggler_count */
	GHashTable *slots;        /* entry -> struct query_slot */
	GHashTable *pools;        /* interned name -> struct gyp_pool_load */
	GQueue cmds;              /* Gyp__Cmd */
	GQueue queries;           /* struct sent_query */
	uint64_t now;
	uint64_t round_at;
	uint64_t logged_flow; /* flow whose start was logged last */
	const struct gyp_flow_unit *logged_unit;
};

/* A run that the check classifies as stalled or slow. */
struct straggler {
	uint64_t flow;
	uint32_t task;
	uint32_t row;
	enum gyp_straggler_verdict verdict;
	const struct gyp_straggler_count *queue_count;
};

struct sent_query {
	uint64_t entry;
	Gyp__Ask *query;
};

/* ---- Listener of the tables --------------------------------------------- */

/* Logs one line for all tasks of a unit that one command starts. */
static void
log_start(
    struct gyp_flow_scheduler *fs, const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	const struct gyp_host *h =
	    gyp_host_at(fs->flows, flow->tasks[task].row);

	if (fs->logged_flow == flow->id && fs->logged_unit == u)
		return;
	fs->logged_flow = flow->id;
	fs->logged_unit = u;
	gyp_events_add(fs->events, "run-started",
	    "flow=%016" G_GINT64_MODIFIER "x time=%u step=%u run=%u open=%u "
	    "left=%u priority=%u age_ms=%" G_GUINT64_FORMAT
	    " first_endpoint=%s",
	    flow->id, u->repetition, u->step_number, flow->tasks[task].run,
	    u->open, u->left, flow->spec->queue->priority,
	    flow->tasks[task].changed_ms - flow->accepted_ms, h->spec->id);
}

static void
log_end(
    struct gyp_flow_scheduler *fs, const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	uint64_t at = flow->tasks[task].changed_ms;

	if (u->left == 0)
		gyp_events_add(fs->events, "step-done",
		    "flow=%016" G_GINT64_MODIFIER
		    "x time=%u step=%u tasks=%u age_ms=%" G_GUINT64_FORMAT,
		    flow->id, u->repetition, u->step_number, u->step->count,
		    at - flow->accepted_ms);
	if (!gyp_flow_is_alive(flow) && flow->open == 0)
		gyp_events_add(fs->events, "flow-over",
		    "flow=%016" G_GINT64_MODIFIER
		    "x state=%s age_ms=%" G_GUINT64_FORMAT,
		    flow->id, gyp_flow_state_name(flow->state),
		    at - flow->accepted_ms);
}

static void
on_started(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_scheduler *fs = (struct gyp_flow_scheduler *)l;
	const char *ticket = gyp_admission_ticket(fs->admission, flow,
	    gyp_flow_unit_of(flow, task), flow->tasks[task].row, fs->now);

	gyp_run_stats_started(fs->stats, flow->tasks[task].row, fs->now);
	gyp_fleet_run_started(fs->fleet, flow, task, ticket);
	log_start(fs, flow, task);
}

static const char *
endpoint_name(const struct gyp_flow_scheduler *fs, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(fs->flows, row);

	return h != NULL ? h->spec->id : "gone";
}

/* The tables learn from the run only after this. */
static void
count_forecast_error(struct gyp_flow_scheduler *fs, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u, uint64_t ran_ms)
{
	uint64_t forecast_ms =
	    gyp_run_forecast_ms(gyp_flows_forecast(fs->flows), flow, u, 0.5);
	char labels[GYP_LABELS_MAX];

	if (fs->counters == NULL || u->step->lasting)
		return;
	gyp_observe_ms(fs->counters, "gyp_run_forecast_error_seconds",
	    gyp_labels(labels, "queue", flow->spec->queue->name, NULL),
	    MAX(ran_ms, forecast_ms) - MIN(ran_ms, forecast_ms));
}

static void
record_end(struct gyp_flow_scheduler *fs, struct gyp_flow *flow, uint32_t task,
    uint32_t row, Gyp__FlowHow how)
{
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	const struct gyp_run_view *view =
	    gyp_fleet_run_view(fs->fleet, flow->id, task);
	uint64_t ran_ms;

	if (how == GYP__FLOW_HOW__FLOW_FAILED) {
		if (gyp_run_stats_failed(
			fs->stats, flow->id, task, row, fs->now))
			gyp_events_add(fs->events, "endpoint-quarantined",
			    "endpoint=%s for_ms=%u", endpoint_name(fs, row),
			    GYP_RUN_STATS_QUARANTINE_MS);
		return;
	}
	if (how != GYP__FLOW_HOW__FLOW_DONE) {
		gyp_run_stats_ended(fs->stats, row);
		return;
	}
	if (view == NULL || !view->start_observed) {
		gyp_run_stats_done(
		    fs->stats, flow->id, task, row, 0, 0, fs->now);
		return;
	}
	ran_ms = fs->now - view->confirmed_at;
	gyp_run_stats_done(fs->stats, flow->id, task, row, ran_ms,
	    u->step->lasting
		? 0
		: gyp_run_stats_time_ms(fs->stats, flow, u, GYP_RUN_SPEED),
	    fs->now);
	/* A later run may have resumed from a checkpoint. */
	if (flow->tasks[task].run == 1) {
		count_forecast_error(fs, flow, u, ran_ms);
		gyp_run_stats_add_estimate(fs->stats, flow->spec->queue->name,
		    u->step->estimate_ms, ran_ms);
	}
	u->timed_runs++;
	u->timed_ms += ran_ms;
}

static void
on_ended(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task,
    uint32_t row, Gyp__FlowHow how)
{
	struct gyp_flow_scheduler *fs = (struct gyp_flow_scheduler *)l;

	fs->logged_unit = NULL;
	record_end(fs, flow, task, row, how);
	log_end(fs, flow, task);
	gyp_lasting_watch_ended(fs->lasting, fs->now, flow, task, how);
	gyp_fleet_run_ended(fs->fleet, flow, task);
	fs->round_at = 0;
}

static void
on_unwanted(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_scheduler *fs = (struct gyp_flow_scheduler *)l;

	gyp_fleet_run_unwanted(fs->fleet, flow, task);
}

static void
on_dropped(struct gyp_flows_listener *l, struct gyp_flow *flow)
{
	struct gyp_flow_scheduler *fs = (struct gyp_flow_scheduler *)l;

	gyp_admission_forget_flow(fs->admission, flow);
}

static const struct gyp_flows_listener_ops listener_ops = {
    .started = on_started,
    .ended = on_ended,
    .unwanted = on_unwanted,
    .dropped = on_dropped};

/* ---- Admission queries -------------------------------------------------- */

void
gyp_flow_scheduler_offer_entry(
    struct gyp_flow_scheduler *fs, uint64_t now, uint64_t entry)
{
	struct query_slot *slot = g_hash_table_lookup(fs->slots, &entry);

	if (slot == NULL) {
		slot = g_new0(struct query_slot, 1);
		slot->entry = entry;
		g_hash_table_insert(fs->slots, &slot->entry, slot);
	}
	slot->offered_at = now;
}

/*
 * Lasting tasks must run again within seconds, so their endpoints are queried
 * about through another entry when one does not answer in time.
 */
static void
give_up_waiting(struct gyp_flow_scheduler *fs, const struct query_slot *slot)
{
	if (slot->query_id != 0 && slot->lasting &&
	    fs->now >= slot->queried_at + slot->usual_ms + OVERDUE_MS)
		gyp_admission_query_overdue(fs->admission, slot->query_id);
}

/*
 * Frees slots whose query has timed out and removes those that were not offered
 * within ROUND_MS. Returns the number of free slots.
 */
static uint32_t
reclaim_slots(struct gyp_flow_scheduler *fs)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, fs->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct query_slot *slot = value;
		bool offered = fs->now <= slot->offered_at + ROUND_MS;

		give_up_waiting(fs, slot);
		if (slot->query_id != 0 &&
		    (!offered ||
			fs->now >= slot->queried_at + QUERY_TIMEOUT_MS)) {
			gyp_admission_drop_query(fs->admission, slot->query_id);
			slot->query_id = 0;
			slot->failures++;
		}
		if (!offered)
			g_hash_table_iter_remove(&iter);
		else
			n += slot->query_id == 0;
	}
	return n;
}

static gint
by_usefulness(gconstpointer a, gconstpointer b)
{
	const struct query_slot *x = *(const struct query_slot *const *)a;
	const struct query_slot *y = *(const struct query_slot *const *)b;

	if (x->failures != y->failures)
		return x->failures < y->failures ? -1 : 1;
	if (x->late_ms / LATE_MS != y->late_ms / LATE_MS)
		return x->late_ms < y->late_ms ? -1 : 1;
	if (x->queried_at != y->queried_at)
		return x->queried_at < y->queried_at ? -1 : 1;
	return x->entry < y->entry ? -1 : x->entry > y->entry;
}

/*
 * Returns the free slots, those of entries whose queries fail last. An entry
 * that does not reach the admission service is free again soonest, and would
 * otherwise get the next query about the same unit each time. Before them come
 * those whose answers are late: their tickets may be over when a start arrives.
 */
static GPtrArray *
rank_free_slots(const struct gyp_flow_scheduler *fs)
{
	GPtrArray *slots = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fs->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct query_slot *)value)->query_id == 0)
			g_ptr_array_add(slots, value);
	}
	g_ptr_array_sort(slots, by_usefulness);
	return slots;
}

/* Records the query in the slot of the entry that carries it. */
static void
occupy_slot(const struct gyp_flow_scheduler *fs, struct query_slot *slot,
    const Gyp__Ask *query)
{
	const Gyp__FlowSpec *spec = gyp_flow_get(fs->flows, query->flow)->spec;

	slot->query_id = query->id;
	slot->lasting = spec->steps[query->step]->lasting;
	slot->queried_at = fs->now;
	slot->usual_ms =
	    (uint64_t)gyp_admission_service_ms(spec->queue, query->n_endpoints);
}

static void
send_queries(struct gyp_flow_scheduler *fs, GPtrArray *queries)
{
	GPtrArray *slots;
	guint i;

	if (queries->len == 0)
		return;
	slots = rank_free_slots(fs);
	g_assert(queries->len <= slots->len);
	for (i = 0; i < queries->len; i++) {
		struct query_slot *slot = slots->pdata[i];
		struct sent_query *sent = g_new0(struct sent_query, 1);

		sent->entry = slot->entry;
		sent->query = queries->pdata[i];
		occupy_slot(fs, slot, sent->query);
		gyp_events_add(fs->events, "asked",
		    "ask=%" G_GUINT64_FORMAT " flow=%016" G_GINT64_MODIFIER
		    "x time=%u step=%u endpoints=%zu",
		    sent->query->id, sent->query->flow, sent->query->time,
		    sent->query->step, sent->query->n_endpoints);
		g_queue_push_tail(&fs->queries, sent);
	}
	g_ptr_array_free(slots, TRUE);
}

/* How late the answer is that arrives now, in ms. */
static uint64_t
late_ms(const struct query_slot *slot, uint64_t now)
{
	uint64_t due = slot->queried_at + slot->usual_ms;

	return now > due ? now - due : 0;
}

void
gyp_flow_scheduler_query_answered(struct gyp_flow_scheduler *fs, uint64_t now,
    uint64_t entry, const Gyp__Advised *answer)
{
	struct query_slot *slot = g_hash_table_lookup(fs->slots, &entry);

	fs->now = MAX(fs->now, now);
	gyp_events_add(fs->events, "admitted",
	    "ask=%" G_GUINT64_FORMAT " ok=%d endpoints=%zu valid_ms=%u "
	    "took_ms=%" G_GUINT64_FORMAT,
	    answer->id, answer->ok, answer->n_tickets, answer->valid_ms,
	    slot != NULL ? fs->now - slot->queried_at : 0);
	if (slot != NULL && slot->query_id == answer->id) {
		slot->query_id = 0;
		slot->failures = answer->ok ? 0 : slot->failures + 1;
		slot->late_ms = late_ms(slot, fs->now);
	}
	gyp_admission_record_answer(fs->admission, fs->now, answer);
	fs->round_at = 0;
}

/* ---- Stragglers --------------------------------------------------------- */

static void
count_run(struct gyp_straggler_count *count, enum gyp_straggler_verdict verdict)
{
	count->runs++;
	count->slow += verdict == GYP_STRAGGLER_SLOW;
}

static struct gyp_straggler_count *
endpoint_count(const struct gyp_flow_scheduler *fs, uint32_t row)
{
	return &g_array_index(
	    fs->endpoint_counts, struct gyp_straggler_count, row);
}

static struct gyp_straggler_count *
queue_count(const struct gyp_flow_scheduler *fs, const char *name)
{
	struct gyp_straggler_count *count =
	    g_hash_table_lookup(fs->queue_counts, name);

	if (count == NULL) {
		count = g_new0(struct gyp_straggler_count, 1);
		g_hash_table_insert(fs->queue_counts, g_strdup(name), count);
	}
	return count;
}

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
	struct gyp_flow_scheduler *fs = arg;
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	struct gyp_straggler_run r = {
	    .elapsed_ms =
		view->start_observed ? view->listed_at - view->confirmed_at : 0,
	    .stalled_ms = view->listed_at - view->progress_at,
	    .percent = view->percent,
	    .usual_ms =
		gyp_run_stats_time_ms(fs->stats, flow, u, GYP_RUN_STRAGGLER),
	    .checkpoints = u->step->checkpoints};
	struct straggler straggler = {
	    .flow = flow->id, .task = task, .row = row};

	if (!is_judged(u, view, r.usual_ms))
		return;
	straggler.verdict = gyp_straggler_classify(&r);
	straggler.queue_count = queue_count(fs, flow->spec->queue->name);
	if (view->start_observed && r.usual_ms != 0) {
		count_run(endpoint_count(fs, row), straggler.verdict);
		count_run(queue_count(fs, flow->spec->queue->name),
		    straggler.verdict);
	}
	if (straggler.verdict != GYP_STRAGGLER_KEEP)
		g_array_append_val(fs->stragglers, straggler);
}

static void
check_stragglers(struct gyp_flow_scheduler *fs)
{
	guint i;

	fs->check_at = fs->now + STRAGGLER_CHECK_MS;
	g_array_set_size(fs->stragglers, 0);
	g_array_set_size(fs->endpoint_counts, 0);
	g_array_set_size(fs->endpoint_counts, gyp_hosts_size(fs->flows));
	g_hash_table_remove_all(fs->queue_counts);
	gyp_fleet_each_run(fs->fleet, check_run, fs);
	for (i = 0; i < fs->stragglers->len; i++) {
		const struct straggler *s =
		    &g_array_index(fs->stragglers, struct straggler, i);

		if (s->verdict == GYP_STRAGGLER_SLOW &&
		    !gyp_straggler_endpoint_is_slow(
			endpoint_count(fs, s->row), s->queue_count))
			continue;
		gyp_events_add(fs->events, "straggler-stopped",
		    "flow=%016" G_GINT64_MODIFIER
		    "x task=%u endpoint=%s why=%s",
		    s->flow, s->task, endpoint_name(fs, s->row),
		    s->verdict == GYP_STRAGGLER_STALLED ? "still" : "slow");
		if (s->verdict == GYP_STRAGGLER_STALLED)
			gyp_run_stats_failed(
			    fs->stats, s->flow, s->task, s->row, fs->now);
		gyp_fleet_stop_run(fs->fleet, s->flow, s->task);
	}
}

/* ---- Placement rounds --------------------------------------------------- */

static void
report_refused_tickets(struct gyp_flow_scheduler *fs)
{
	uint64_t id;
	uint32_t task, row;

	while (gyp_fleet_pop_refused_ticket(fs->fleet, &id, &task, &row)) {
		const struct gyp_flow *flow = gyp_flow_get(fs->flows, id);

		if (flow != NULL)
			gyp_admission_ticket_refused(fs->admission, flow,
			    gyp_flow_unit_of(flow, task), row);
	}
}

static void
add_pool_capacity(struct gyp_flow_scheduler *fs, const struct gyp_host *h)
{
	struct gyp_pool_load *load = g_hash_table_lookup(fs->pools, h->pool);

	if (load == NULL) {
		load = g_new0(struct gyp_pool_load, 1);
		g_hash_table_insert(fs->pools, (gpointer)h->pool, load);
	}
	load->capacity_milli += h->capacity.cpu_milli;
	load->booked_milli += h->booked.cpu_milli;
}

struct gyp_pool_load
gyp_flow_scheduler_load(const struct gyp_flow_scheduler *fs, const char *pool,
    const struct gyp_workspace_use *use)
{
	const struct gyp_pool_load *known =
	    g_hash_table_lookup(fs->pools, g_intern_string(pool));
	struct gyp_pool_load load = {.capacity_milli = 0};

	if (known != NULL)
		load = *known;
	load.waiting_milli_ms = gyp_placer_waiting(fs->placer, pool);
	if (use != NULL)
		load.cap_wait_ms = gyp_placer_cap_wait_ms(fs->placer, use);
	return load;
}

/* Logs one line a second with the capacity and the booked resources. */
static void
log_load(struct gyp_flow_scheduler *fs, uint32_t free_slots)
{
	struct gyp_res capacity = {0, 0, 0, 0}, booked = {0, 0, 0, 0};
	const struct gyp_placer_summary *last = gyp_placer_summary(fs->placer);
	uint32_t row, usable = 0, waiting = 0;
	const GList *l;

	fs->load_log_at = fs->now + LOAD_LOG_MS;
	g_hash_table_remove_all(fs->pools);
	for (row = 0; row < gyp_hosts_size(fs->flows); row++) {
		const struct gyp_host *h = gyp_host_at(fs->flows, row);

		if (h == NULL)
			continue;
		if (!h->spec->draining && !h->spec->gone)
			add_pool_capacity(fs, h);
		if (!gyp_fleet_usable(fs->fleet, row))
			continue;
		usable++;
		gyp_res_add(&capacity, &h->capacity);
		gyp_res_add(&booked, &h->booked);
	}
	for (l = gyp_flows_active(fs->flows)->head; l != NULL; l = l->next)
		waiting += !((const struct gyp_flow *)l->data)->begun;
	gyp_events_add(fs->events, "load",
	    "endpoints=%u cpu_milli=%u booked_milli=%u accel=%u "
	    "booked_accel=%u flows=%u not_begun=%u lanes=%u free_lanes=%u "
	    "units=%u over_quota=%u no_capacity=%u queried=%u",
	    usable, capacity.cpu_milli, booked.cpu_milli, capacity.accel,
	    booked.accel, gyp_flows_active(fs->flows)->length, waiting,
	    g_hash_table_size(fs->slots), free_slots, last->units,
	    last->over_cap, last->no_capacity, last->queried);
}

/* Stops the runs that the placer preempts for more urgent work. */
static void
stop_preempted(struct gyp_flow_scheduler *fs)
{
	struct gyp_preempt_stop stop;

	while (gyp_placer_pop_stop(fs->placer, &stop)) {
		gyp_events_add(fs->events, "preempted",
		    "flow=%016" G_GINT64_MODIFIER
		    "x task=%u endpoint=%s for=%016" G_GINT64_MODIFIER
		    "x lost_ms=%" G_GUINT64_FORMAT,
		    stop.flow, stop.task, endpoint_name(fs, stop.row),
		    stop.for_flow, stop.lost_ms);
		gyp_fleet_stop_run(fs->fleet, stop.flow, stop.task);
	}
}

static void
place_tasks(struct gyp_flow_scheduler *fs, uint64_t wall_ms)
{
	GPtrArray *cmds = g_ptr_array_new();
	GPtrArray *queries = g_ptr_array_new();
	uint32_t free_slots;
	guint i;

	fs->round_at = fs->now + ROUND_MS;
	free_slots = reclaim_slots(fs);
	if (fs->now >= fs->load_log_at)
		log_load(fs, free_slots);
	if (fs->now >= fs->forecast_log_at) {
		fs->forecast_log_at = fs->now + FORECAST_LOG_MS;
		gyp_run_forecast_log(gyp_flows_forecast(fs->flows), fs->events);
	}
	gyp_placer_round(fs->placer, fs->now, wall_ms, free_slots,
	    g_hash_table_size(fs->slots), cmds, queries);
	for (i = 0; i < cmds->len; i++)
		g_queue_push_tail(&fs->cmds, cmds->pdata[i]);
	send_queries(fs, queries);
	stop_preempted(fs);
	g_ptr_array_free(cmds, TRUE);
	g_ptr_array_free(queries, TRUE);
}

void
gyp_flow_scheduler_round(
    struct gyp_flow_scheduler *fs, uint64_t now, uint64_t wall_ms, bool place)
{
	Gyp__Cmd *cmd;

	fs->now = MAX(fs->now, now);
	if (fs->now >= fs->check_at)
		check_stragglers(fs);
	gyp_fleet_tick(fs->fleet, fs->now);
	report_refused_tickets(fs);
	while ((cmd = gyp_fleet_pop_cmd(fs->fleet)) != NULL)
		g_queue_push_tail(&fs->cmds, cmd);
	gyp_lasting_watch_tick(fs->lasting, fs->now, wall_ms);
	if (place && fs->now >= fs->round_at)
		place_tasks(fs, wall_ms);
}

void
gyp_flow_scheduler_request_round(struct gyp_flow_scheduler *fs)
{
	fs->round_at = 0;
}

void
gyp_flow_scheduler_call_answered(struct gyp_flow_scheduler *fs, uint64_t now,
    const struct gyp_fleet_answer *a)
{
	fs->now = MAX(fs->now, now);
	gyp_fleet_handle_answer(fs->fleet, fs->now, a);
}

Gyp__Cmd *
gyp_flow_scheduler_pop_cmd(struct gyp_flow_scheduler *fs)
{
	return g_queue_pop_head(&fs->cmds);
}

struct gyp_fleet_call *
gyp_flow_scheduler_pop_call(struct gyp_flow_scheduler *fs)
{
	return gyp_fleet_pop_call(fs->fleet);
}

Gyp__Ask *
gyp_flow_scheduler_pop_query(struct gyp_flow_scheduler *fs, uint64_t *entry)
{
	struct sent_query *sent = g_queue_pop_head(&fs->queries);
	Gyp__Ask *query;

	if (sent == NULL)
		return NULL;
	query = sent->query;
	*entry = sent->entry;
	g_free(sent);
	return query;
}

struct gyp_fleet *
gyp_flow_scheduler_fleet(struct gyp_flow_scheduler *fs)
{
	return fs->fleet;
}

struct gyp_placer *
gyp_flow_scheduler_placer(const struct gyp_flow_scheduler *fs)
{
	return fs->placer;
}

const struct gyp_run_stats *
gyp_flow_scheduler_stats(const struct gyp_flow_scheduler *fs)
{
	return fs->stats;
}

/* ---- Construction ------------------------------------------------------- */

static struct gyp_lasting_watch *
new_lasting_watch(const struct gyp_flow_scheduler *fs, uint64_t tables_age_ms)
{
	const struct gyp_lasting_sources from = {.flows = fs->flows,
	    .fleet = fs->fleet,
	    .admission = fs->admission,
	    .placer = fs->placer,
	    .stats = fs->stats,
	    .events = fs->events,
	    .counters = fs->counters,
	    .tables_age_ms = tables_age_ms};

	return gyp_lasting_watch_new(&from, fs->now);
}

struct gyp_flow_scheduler *
gyp_flow_scheduler_new(const struct gyp_fleet_config *cfg,
    struct gyp_flows *flows, uint64_t now, uint64_t fence)
{
	struct gyp_flow_scheduler *fs = g_new0(struct gyp_flow_scheduler, 1);

	fs->listener.ops = &listener_ops;
	fs->flows = flows;
	fs->events = cfg->events;
	fs->counters = cfg->counters;
	fs->now = now;
	fs->fleet = gyp_fleet_new(cfg, flows, now, fence);
	fs->admission =
	    gyp_admission_new(flows, (fence << 32) + 1, cfg->tables_age_ms);
	fs->stats = gyp_run_stats_new();
	if (cfg->learn_run_times)
		gyp_run_stats_use_forecast(
		    fs->stats, gyp_flows_forecast(flows));
	fs->stragglers = g_array_new(FALSE, FALSE, sizeof(struct straggler));
	fs->endpoint_counts =
	    g_array_new(FALSE, TRUE, sizeof(struct gyp_straggler_count));
	fs->queue_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fs->placer = gyp_placer_new(flows, fs->fleet, fs->admission, fs->stats);
	fs->lasting = new_lasting_watch(fs, cfg->tables_age_ms);
	fs->pools = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	fs->slots =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	gyp_flows_set_listener(flows, &fs->listener);
	return fs;
}

void
gyp_flow_scheduler_free(struct gyp_flow_scheduler *fs)
{
	Gyp__Cmd *cmd;
	Gyp__Ask *query;
	uint64_t entry;

	if (fs == NULL)
		return;
	gyp_flows_set_listener(fs->flows, NULL);
	while ((cmd = gyp_flow_scheduler_pop_cmd(fs)) != NULL)
		gyp_message_free(cmd);
	while ((query = gyp_flow_scheduler_pop_query(fs, &entry)) != NULL)
		gyp_message_free(query);
	g_hash_table_destroy(fs->slots);
	g_hash_table_destroy(fs->pools);
	gyp_lasting_watch_free(fs->lasting);
	gyp_placer_free(fs->placer);
	gyp_admission_free(fs->admission);
	gyp_run_stats_free(fs->stats);
	g_array_free(fs->stragglers, TRUE);
	g_array_free(fs->endpoint_counts, TRUE);
	g_hash_table_destroy(fs->queue_counts);
	gyp_fleet_free(fs->fleet);
	g_free(fs);
}
