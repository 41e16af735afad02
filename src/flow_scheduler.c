#include <string.h>

#include "admission.h"
#include "flow_scheduler.h"
#include "lasting_watch.h"
#include "msg.h"
#include "query_entries.h"
#include "run_stats.h"
#include "straggler_check.h"

/* Longest time between two placement rounds, in ms. */
#define ROUND_MS 50

/* Interval of the load line in the log, in ms. */
#define LOAD_LOG_MS 1000

/* Interval of the forecasts in the log, in ms. */
#define FORECAST_LOG_MS 5000

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
	uint64_t load_log_at;
	uint64_t forecast_log_at;
	struct gyp_straggler_check *stragglers;
	struct gyp_query_entries *entries;
	GHashTable *pools; /* interned name -> struct gyp_pool_load */
	GQueue cmds;       /* Gyp__Cmd */
	uint64_t now;
	uint64_t round_at;
	uint64_t logged_flow; /* flow whose start was logged last */
	const struct gyp_flow_unit *logged_unit;
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
			    "endpoint=%s for_ms=%u",
			    gyp_host_name(fs->flows, row),
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
	    gyp_query_entries_count(fs->entries), free_slots, last->units,
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
		    stop.flow, stop.task, gyp_host_name(fs->flows, stop.row),
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
	free_slots = gyp_query_entries_reclaim(fs->entries, fs->now);
	if (fs->now >= fs->load_log_at)
		log_load(fs, free_slots);
	if (fs->now >= fs->forecast_log_at) {
		fs->forecast_log_at = fs->now + FORECAST_LOG_MS;
		gyp_run_forecast_log(gyp_flows_forecast(fs->flows), fs->events);
	}
	gyp_placer_round(fs->placer, fs->now, wall_ms, free_slots,
	    gyp_query_entries_count(fs->entries), cmds, queries);
	for (i = 0; i < cmds->len; i++)
		g_queue_push_tail(&fs->cmds, cmds->pdata[i]);
	gyp_query_entries_send(fs->entries, fs->now, queries);
	stop_preempted(fs);
	g_ptr_array_free(cmds, TRUE);
	g_ptr_array_free(queries, TRUE);
}

void
gyp_flow_scheduler_offer_entry(
    struct gyp_flow_scheduler *fs, uint64_t now, uint64_t entry)
{
	gyp_query_entries_offer(fs->entries, now, entry);
}

void
gyp_flow_scheduler_query_answered(struct gyp_flow_scheduler *fs, uint64_t now,
    uint64_t entry, const Gyp__Advised *answer)
{
	fs->now = MAX(fs->now, now);
	gyp_query_entries_answered(fs->entries, fs->now, entry, answer);
	fs->round_at = 0;
}

void
gyp_flow_scheduler_round(
    struct gyp_flow_scheduler *fs, uint64_t now, uint64_t wall_ms, bool place)
{
	Gyp__Cmd *cmd;

	fs->now = MAX(fs->now, now);
	gyp_straggler_check_tick(fs->stragglers, fs->now);
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
	return gyp_query_entries_pop(fs->entries, entry);
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
	fs->stragglers =
	    gyp_straggler_check_new(flows, fs->fleet, fs->stats, fs->events);
	fs->entries = gyp_query_entries_new(flows, fs->admission, fs->events);
	fs->placer = gyp_placer_new(flows, fs->fleet, fs->admission, fs->stats);
	fs->lasting = new_lasting_watch(fs, cfg->tables_age_ms);
	fs->pools = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	gyp_flows_set_listener(flows, &fs->listener);
	return fs;
}

void
gyp_flow_scheduler_free(struct gyp_flow_scheduler *fs)
{
	Gyp__Cmd *cmd;

	if (fs == NULL)
		return;
	gyp_flows_set_listener(fs->flows, NULL);
	while ((cmd = gyp_flow_scheduler_pop_cmd(fs)) != NULL)
		gyp_message_free(cmd);
	gyp_query_entries_free(fs->entries);
	gyp_straggler_check_free(fs->stragglers);
	g_hash_table_destroy(fs->pools);
	gyp_lasting_watch_free(fs->lasting);
	gyp_placer_free(fs->placer);
	gyp_admission_free(fs->admission);
	gyp_run_stats_free(fs->stats);
	gyp_fleet_free(fs->fleet);
	g_free(fs);
}
