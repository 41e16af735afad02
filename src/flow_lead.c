#include <string.h>

#include "admission.h"
#include "flow_lead.h"
#include "msg.h"
#include "placer.h"
#include "straggler.h"
#include "track.h"

/* Longest time between two rounds of decisions, in ms. */
#define ROUND_MS 50

/* Interval of the line about load, in ms. */
#define LOAD_MS 1000

/* Interval of the search for stragglers, in ms. */
#define JUDGE_MS 150

/* Time for an entry to answer a question, in ms. */
#define ASK_MS 4000

/* An entry that carries questions, one at a time. */
struct lane {
	uint64_t entry;
	uint64_t offered_at;
	uint64_t ask; /* 0 when it is free */
	uint64_t asked_at;
};

struct gyp_flow_lead {
	struct gyp_flows_listener listener;
	struct gyp_flows *flows;
	struct gyp_events *events;
	struct gyp_fleet *fleet;
	struct gyp_admission *admission;
	struct gyp_placer *placer;
	struct gyp_track *track;
	uint64_t judge_at;
	uint64_t load_at;
	GArray *stops;  /* struct stop, of the current judgement */
	GArray *judged; /* struct gyp_straggler_count by row, likewise */
	GHashTable *judged_queues; /* name -> the same, likewise */
	GHashTable *lanes;         /* entry -> struct lane */
	GQueue cmds;               /* Gyp__Cmd */
	GQueue asks;               /* struct sent_ask */
	uint64_t now;
	uint64_t round_at;
	uint64_t noted_flow; /* whose start was told last */
	const struct gyp_flow_unit *noted_unit;
};

/* A run that the judgement wants to stop. */
struct stop {
	uint64_t flow;
	uint32_t task;
	uint32_t row;
	enum gyp_straggler_word word;
	const struct gyp_straggler_count *queue;
};

struct sent_ask {
	uint64_t entry;
	Gyp__Ask *ask;
};

/* ---- Tables ------------------------------------------------------------- */

/* One line for the tasks of a unit that one command started. */
static void
note_start(
    struct gyp_flow_lead *lead, const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	const struct gyp_host *h =
	    gyp_host_at(lead->flows, flow->tasks[task].host);

	if (lead->noted_flow == flow->id && lead->noted_unit == u)
		return;
	lead->noted_flow = flow->id;
	lead->noted_unit = u;
	gyp_events_add(lead->events, "run-started",
	    "flow=%016" G_GINT64_MODIFIER "x time=%u step=%u run=%u open=%u "
	    "left=%u priority=%u age_ms=%" G_GUINT64_FORMAT
	    " first_endpoint=%s",
	    flow->id, u->time, u->number, flow->tasks[task].run, u->open,
	    u->left, flow->spec->queue->priority,
	    flow->tasks[task].since_ms - flow->accepted_ms, h->spec->id);
}

static void
note_end(struct gyp_flow_lead *lead, const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	uint64_t at = flow->tasks[task].since_ms;

	if (u->left == 0)
		gyp_events_add(lead->events, "step-done",
		    "flow=%016" G_GINT64_MODIFIER
		    "x time=%u step=%u tasks=%u age_ms=%" G_GUINT64_FORMAT,
		    flow->id, u->time, u->number, u->step->count,
		    at - flow->accepted_ms);
	if (!gyp_flow_is_alive(flow) && flow->open == 0)
		gyp_events_add(lead->events, "flow-over",
		    "flow=%016" G_GINT64_MODIFIER
		    "x state=%s age_ms=%" G_GUINT64_FORMAT,
		    flow->id, gyp_flow_state_name(flow->state),
		    at - flow->accepted_ms);
}

static void
on_started(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_lead *lead = (struct gyp_flow_lead *)l;
	const char *ticket = gyp_admission_ticket(lead->admission, flow,
	    gyp_flow_unit_of(flow, task), flow->tasks[task].host, lead->now);

	gyp_track_started(lead->track, flow->tasks[task].host, lead->now);
	gyp_fleet_started(lead->fleet, flow, task, ticket);
	note_start(lead, flow, task);
}

/* Tasks of a step that tell how long the others take. */
#define TELLING_TASKS 2

/* How long a task of the unit usually runs, or 0 when that is not known. */
static uint64_t
usual_time(const struct gyp_flow_lead *lead, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u)
{
	if (u->done >= TELLING_TASKS)
		return u->done_ms / u->done;
	return gyp_track_usual(
	    lead->track, flow->spec->queue->name, u->step->estimate_ms);
}

static const char *
endpoint_name(const struct gyp_flow_lead *lead, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(lead->flows, row);

	return h != NULL ? h->spec->id : "gone";
}

static void
track_end(struct gyp_flow_lead *lead, struct gyp_flow *flow, uint32_t task,
    uint32_t host, Gyp__FlowHow how)
{
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	const struct gyp_run_view *view =
	    gyp_fleet_view(lead->fleet, flow->id, task);
	uint64_t ran_ms;

	if (how == GYP__FLOW_HOW__FLOW_FAILED) {
		if (gyp_track_failed(
			lead->track, flow->id, task, host, lead->now))
			gyp_events_add(lead->events, "endpoint-quarantined",
			    "endpoint=%s for_ms=%u", endpoint_name(lead, host),
			    GYP_TRACK_FOR_MS);
		return;
	}
	if (how != GYP__FLOW_HOW__FLOW_DONE) {
		gyp_track_over(lead->track, host);
		return;
	}
	if (view == NULL || !view->timed) {
		gyp_track_done(
		    lead->track, flow->id, task, host, 0, 0, lead->now);
		return;
	}
	ran_ms = lead->now - view->up_at;
	gyp_track_done(lead->track, flow->id, task, host, ran_ms,
	    u->step->lasting ? 0 : usual_time(lead, flow, u), lead->now);
	/* A later run may have begun at a checkpoint. */
	if (flow->tasks[task].run == 1)
		gyp_track_estimate(lead->track, flow->spec->queue->name,
		    u->step->estimate_ms, ran_ms);
	u->done++;
	u->done_ms += ran_ms;
}

static void
on_ended(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task,
    uint32_t host, Gyp__FlowHow how)
{
	struct gyp_flow_lead *lead = (struct gyp_flow_lead *)l;

	lead->noted_unit = NULL;
	track_end(lead, flow, task, host, how);
	note_end(lead, flow, task);
	gyp_fleet_ended(lead->fleet, flow, task);
	lead->round_at = 0;
}

static void
on_unwanted(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_lead *lead = (struct gyp_flow_lead *)l;

	gyp_fleet_unwanted(lead->fleet, flow, task);
}

static void
on_dropped(struct gyp_flows_listener *l, struct gyp_flow *flow)
{
	struct gyp_flow_lead *lead = (struct gyp_flow_lead *)l;

	gyp_admission_forget_flow(lead->admission, flow);
}

static const struct gyp_flows_listener_ops listener_ops = {
    .started = on_started,
    .ended = on_ended,
    .unwanted = on_unwanted,
    .dropped = on_dropped};

/* ---- Questions ---------------------------------------------------------- */

void
gyp_flow_lead_offer(struct gyp_flow_lead *lead, uint64_t now, uint64_t entry)
{
	struct lane *lane = g_hash_table_lookup(lead->lanes, &entry);

	if (lane == NULL) {
		lane = g_new0(struct lane, 1);
		lane->entry = entry;
		g_hash_table_insert(lead->lanes, &lane->entry, lane);
	}
	lane->offered_at = now;
}

/* Frees lanes whose answer is overdue; drops those not offered lately. */
static uint32_t
free_lanes(struct gyp_flow_lead *lead)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, lead->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lane *lane = value;
		bool here = lead->now <= lane->offered_at + ROUND_MS;

		if (lane->ask != 0 &&
		    (!here || lead->now >= lane->asked_at + ASK_MS)) {
			gyp_admission_drop_query(lead->admission, lane->ask);
			lane->ask = 0;
		}
		if (!here)
			g_hash_table_iter_remove(&iter);
		else
			n += lane->ask == 0;
	}
	return n;
}

static void
send_asks(struct gyp_flow_lead *lead, GPtrArray *asks)
{
	GHashTableIter iter;
	gpointer value;
	guint i = 0;

	g_hash_table_iter_init(&iter, lead->lanes);
	while (i < asks->len && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lane *lane = value;
		struct sent_ask *sent;

		if (lane->ask != 0)
			continue;
		sent = g_new0(struct sent_ask, 1);
		sent->entry = lane->entry;
		sent->ask = asks->pdata[i++];
		lane->ask = sent->ask->id;
		gyp_events_add(lead->events, "asked",
		    "ask=%" G_GUINT64_FORMAT " flow=%016" G_GINT64_MODIFIER
		    "x time=%u step=%u endpoints=%zu",
		    sent->ask->id, sent->ask->flow, sent->ask->time,
		    sent->ask->step, sent->ask->n_endpoints);
		lane->asked_at = lead->now;
		g_queue_push_tail(&lead->asks, sent);
	}
	g_assert(i == asks->len);
}

void
gyp_flow_lead_advised(struct gyp_flow_lead *lead, uint64_t now, uint64_t entry,
    const Gyp__Advised *answer)
{
	struct lane *lane = g_hash_table_lookup(lead->lanes, &entry);

	lead->now = MAX(lead->now, now);
	gyp_events_add(lead->events, "admitted",
	    "ask=%" G_GUINT64_FORMAT " ok=%d endpoints=%zu valid_ms=%u "
	    "took_ms=%" G_GUINT64_FORMAT,
	    answer->id, answer->ok, answer->n_tickets, answer->valid_ms,
	    lane != NULL ? lead->now - lane->asked_at : 0);
	if (lane != NULL && lane->ask == answer->id)
		lane->ask = 0;
	gyp_admission_record_answer(lead->admission, lead->now, answer);
	lead->round_at = 0;
}

/* ---- Runs that should begin anew ---------------------------------------- */

static void
count_judged(struct gyp_straggler_count *count, enum gyp_straggler_word word)
{
	count->runs++;
	count->slow += word == GYP_STRAGGLER_SLOW;
}

static struct gyp_straggler_count *
judged_at(const struct gyp_flow_lead *lead, uint32_t row)
{
	return &g_array_index(lead->judged, struct gyp_straggler_count, row);
}

static struct gyp_straggler_count *
judged_queue(const struct gyp_flow_lead *lead, const char *name)
{
	struct gyp_straggler_count *count =
	    g_hash_table_lookup(lead->judged_queues, name);

	if (count == NULL) {
		count = g_new0(struct gyp_straggler_count, 1);
		g_hash_table_insert(lead->judged_queues, g_strdup(name), count);
	}
	return count;
}

static void
judge_run(void *arg, struct gyp_flow *flow, uint32_t task, uint32_t row,
    const struct gyp_run_view *view)
{
	struct gyp_flow_lead *lead = arg;
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	struct gyp_straggler_run r = {.up_ms = view->seen_at - view->up_at,
	    .still_ms = view->seen_at - view->moved_at,
	    .percent = view->percent,
	    .usual_ms = usual_time(lead, flow, u),
	    .checkpoints = u->step->checkpoints};
	struct stop stop = {.flow = flow->id, .task = task, .row = row};

	if (u->step->lasting || u->step->gang || u->step->fills ||
	    !view->timed || view->seen_at <= view->up_at)
		return;
	stop.word = gyp_straggler_judge(&r);
	stop.queue = judged_queue(lead, flow->spec->queue->name);
	if (r.usual_ms != 0) {
		count_judged(judged_at(lead, row), stop.word);
		count_judged(
		    judged_queue(lead, flow->spec->queue->name), stop.word);
	}
	if (stop.word != GYP_STRAGGLER_KEEP)
		g_array_append_val(lead->stops, stop);
}

static void
judge_runs(struct gyp_flow_lead *lead)
{
	guint i;

	lead->judge_at = lead->now + JUDGE_MS;
	g_array_set_size(lead->stops, 0);
	g_array_set_size(lead->judged, 0);
	g_array_set_size(lead->judged, gyp_hosts_size(lead->flows));
	g_hash_table_remove_all(lead->judged_queues);
	gyp_fleet_each_run(lead->fleet, judge_run, lead);
	for (i = 0; i < lead->stops->len; i++) {
		const struct stop *s =
		    &g_array_index(lead->stops, struct stop, i);

		if (s->word == GYP_STRAGGLER_SLOW &&
		    !gyp_straggler_blames(judged_at(lead, s->row), s->queue))
			continue;
		gyp_events_add(lead->events, "straggler-stopped",
		    "flow=%016" G_GINT64_MODIFIER
		    "x task=%u endpoint=%s why=%s",
		    s->flow, s->task, endpoint_name(lead, s->row),
		    s->word == GYP_STRAGGLER_STILL ? "still" : "slow");
		if (s->word == GYP_STRAGGLER_STILL)
			gyp_track_failed(
			    lead->track, s->flow, s->task, s->row, lead->now);
		gyp_fleet_stop_run(lead->fleet, s->flow, s->task);
	}
}

/* ---- Rounds ------------------------------------------------------------- */

static void
pass_bad_tickets(struct gyp_flow_lead *lead)
{
	uint64_t id;
	uint32_t task, row;

	while (gyp_fleet_pop_bad_ticket(lead->fleet, &id, &task, &row)) {
		const struct gyp_flow *flow = gyp_flow_get(lead->flows, id);

		if (flow != NULL)
			gyp_admission_ticket_refused(lead->admission, flow,
			    gyp_flow_unit_of(flow, task), row);
	}
}

/* One line a second that tells how full everything is. */
static void
note_load(struct gyp_flow_lead *lead, uint32_t free)
{
	struct gyp_res capacity = {0, 0, 0, 0}, booked = {0, 0, 0, 0};
	uint32_t row, usable = 0, waiting = 0;
	const GList *l;

	lead->load_at = lead->now + LOAD_MS;
	for (row = 0; row < gyp_hosts_size(lead->flows); row++) {
		const struct gyp_host *h = gyp_host_at(lead->flows, row);

		if (h == NULL || !gyp_fleet_usable(lead->fleet, row))
			continue;
		usable++;
		gyp_res_add(&capacity, &h->capacity);
		gyp_res_add(&booked, &h->booked);
	}
	for (l = gyp_flows_active(lead->flows)->head; l != NULL; l = l->next)
		waiting += !((const struct gyp_flow *)l->data)->begun;
	gyp_events_add(lead->events, "load",
	    "endpoints=%u cpu_milli=%u booked_milli=%u accel=%u "
	    "booked_accel=%u flows=%u not_begun=%u lanes=%u free_lanes=%u",
	    usable, capacity.cpu_milli, booked.cpu_milli, capacity.accel,
	    booked.accel, gyp_flows_active(lead->flows)->length, waiting,
	    g_hash_table_size(lead->lanes), free);
}

/* Runs that end for more urgent work, as the placer decided. */
static void
stop_preempted(struct gyp_flow_lead *lead)
{
	struct gyp_preempt_stop stop;

	while (gyp_placer_pop_stop(lead->placer, &stop)) {
		gyp_events_add(lead->events, "preempted",
		    "flow=%016" G_GINT64_MODIFIER
		    "x task=%u endpoint=%s for=%016" G_GINT64_MODIFIER
		    "x lost_ms=%" G_GUINT64_FORMAT,
		    stop.flow, stop.task, endpoint_name(lead, stop.row),
		    stop.for_flow, stop.lost_ms);
		gyp_fleet_stop_run(lead->fleet, stop.flow, stop.task);
	}
}

static void
decide_round(struct gyp_flow_lead *lead, uint64_t wall_ms)
{
	GPtrArray *cmds = g_ptr_array_new();
	GPtrArray *asks = g_ptr_array_new();
	uint32_t free;
	guint i;

	lead->round_at = lead->now + ROUND_MS;
	free = free_lanes(lead);
	if (lead->now >= lead->load_at)
		note_load(lead, free);
	gyp_placer_round(lead->placer, lead->now, wall_ms, free,
	    g_hash_table_size(lead->lanes), cmds, asks);
	for (i = 0; i < cmds->len; i++)
		g_queue_push_tail(&lead->cmds, cmds->pdata[i]);
	send_asks(lead, asks);
	stop_preempted(lead);
	g_ptr_array_free(cmds, TRUE);
	g_ptr_array_free(asks, TRUE);
}

void
gyp_flow_lead_round(
    struct gyp_flow_lead *lead, uint64_t now, uint64_t wall_ms, bool decide)
{
	Gyp__Cmd *cmd;

	lead->now = MAX(lead->now, now);
	if (lead->now >= lead->judge_at)
		judge_runs(lead);
	gyp_fleet_tick(lead->fleet, lead->now);
	pass_bad_tickets(lead);
	while ((cmd = gyp_fleet_pop_cmd(lead->fleet)) != NULL)
		g_queue_push_tail(&lead->cmds, cmd);
	if (decide && lead->now >= lead->round_at)
		decide_round(lead, wall_ms);
}

void
gyp_flow_lead_touch(struct gyp_flow_lead *lead)
{
	lead->round_at = 0;
}

void
gyp_flow_lead_answered(
    struct gyp_flow_lead *lead, uint64_t now, const struct gyp_fleet_answer *a)
{
	lead->now = MAX(lead->now, now);
	gyp_fleet_answered(lead->fleet, lead->now, a);
}

Gyp__Cmd *
gyp_flow_lead_pop_cmd(struct gyp_flow_lead *lead)
{
	return g_queue_pop_head(&lead->cmds);
}

struct gyp_fleet_call *
gyp_flow_lead_pop_call(struct gyp_flow_lead *lead)
{
	return gyp_fleet_pop_call(lead->fleet);
}

Gyp__Ask *
gyp_flow_lead_pop_ask(struct gyp_flow_lead *lead, uint64_t *entry)
{
	struct sent_ask *sent = g_queue_pop_head(&lead->asks);
	Gyp__Ask *ask;

	if (sent == NULL)
		return NULL;
	ask = sent->ask;
	*entry = sent->entry;
	g_free(sent);
	return ask;
}

struct gyp_fleet *
gyp_flow_lead_fleet(struct gyp_flow_lead *lead)
{
	return lead->fleet;
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_flow_lead *
gyp_flow_lead_new(const struct gyp_fleet_config *cfg, struct gyp_flows *flows,
    uint64_t now, uint64_t fence)
{
	struct gyp_flow_lead *lead = g_new0(struct gyp_flow_lead, 1);

	lead->listener.ops = &listener_ops;
	lead->flows = flows;
	lead->events = cfg->events;
	lead->now = now;
	lead->fleet = gyp_fleet_new(cfg, flows, now, fence);
	lead->admission = gyp_admission_new(flows, (fence << 32) + 1);
	lead->track = gyp_track_new();
	lead->stops = g_array_new(FALSE, FALSE, sizeof(struct stop));
	lead->judged =
	    g_array_new(FALSE, TRUE, sizeof(struct gyp_straggler_count));
	lead->judged_queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lead->placer =
	    gyp_placer_new(flows, lead->fleet, lead->admission, lead->track);
	lead->lanes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	gyp_flows_listen(flows, &lead->listener);
	return lead;
}

void
gyp_flow_lead_free(struct gyp_flow_lead *lead)
{
	Gyp__Cmd *cmd;
	Gyp__Ask *ask;
	uint64_t entry;

	if (lead == NULL)
		return;
	gyp_flows_listen(lead->flows, NULL);
	while ((cmd = gyp_flow_lead_pop_cmd(lead)) != NULL)
		gyp_message_free(cmd);
	while ((ask = gyp_flow_lead_pop_ask(lead, &entry)) != NULL)
		gyp_message_free(ask);
	g_hash_table_destroy(lead->lanes);
	gyp_placer_free(lead->placer);
	gyp_admission_free(lead->admission);
	gyp_track_free(lead->track);
	g_array_free(lead->stops, TRUE);
	g_array_free(lead->judged, TRUE);
	g_hash_table_destroy(lead->judged_queues);
	gyp_fleet_free(lead->fleet);
	g_free(lead);
}
