#include <string.h>

#include <glib.h>

#include "flow_scheduler.h"
#include "lasting_load.h"
#include "msg.h"

#define GIBIBYTE (1024ULL * 1024 * 1024)

/* Time between two steps, to commit a command, and of a message, in ms. */
#define STEP_MS    10
#define COMMIT_MS  20
#define NETWORK_MS 10

#define HEARTBEAT_MS 1000

/* Most ends in a list. */
#define ENDS_LISTED_MAX 500

#define SAMPLE_MS 50
#define TICKET_MS 2500

/* Time without disturbance, and time with room, see lasting_load.h, in ms. */
#define QUIET_MS 4000
#define ROOM_MS  3000

enum kind { URGENT, WATCH, BATCH, KINDS };

static const struct {
	const char *name;
	double query_ms, each_ms, allowed;
	uint32_t tasks, tasks_max;
	uint32_t cpu_milli, memory_gib;
	uint64_t run_ms;
	double share; /* of the load */
} kinds[KINDS] = {{"urgent", 34, 0.5, 0.7, 10, 57, 4500, 2, 1000, 0.25},
    {"watch", 585, 8.45, 0.35, 20, 120, 9000, 16, 0, 0},
    {"batch", 494, 7, 0.35, 14, 40, 9000, 8, 6000, 0.75}};

struct run {
	uint64_t flow;
	uint32_t repetition, step, index, run;
	struct gyp_res size;
	uint64_t began_at, ends_at; /* 0: does not end */
	bool fails;
};

struct endpoint {
	struct gyp_res capacity, used;
	GArray *runs; /* struct run */
	GArray *ends; /* struct gyp_listed_end */
	uint64_t next_end;
	bool gone;
	bool failing;
};

struct event {
	uint64_t at;
	struct gyp_fleet_call *call;     /* arrives at its endpoint, or */
	uint64_t poll_until;             /* the call is a poll that waits */
	struct gyp_fleet_answer *answer; /* arrives at the leader, or */
	Gyp__Ask *query;      /* its answer arrives at the leader, or */
	uint64_t entry;       /* that carries the query */
	uint64_t answered_at; /* when the service answered it */
	Gyp__Cmd *cmd;        /* is committed */
};

/* What is known of a lasting task. */
struct watch {
	uint64_t down_since; /* 0 while it runs */
	uint64_t room_since; /* 0 without two endpoints with room */
	GArray *since;       /* uint64_t by row, 0 without room */
	bool broken;
};

struct load {
	const struct lasting_load_config *cfg;
	struct lasting_load_result result;
	struct gyp_flows *flows;
	struct gyp_flow_scheduler *fs;
	GRand *rand;
	struct endpoint *endpoints;
	GPtrArray *events;
	GPtrArray *watches; /* struct watch by flow, arrays */
	GArray *watch_ids;
	uint64_t now;
	uint64_t next_id;
	uint64_t next_arrival[KINDS];
	GQueue pending_cmds;  /* Gyp__Cmd, for the next batch */
	uint32_t uncommitted; /* commands of the batch under way */
	uint64_t capacity_milli;
	double used; /* sum over the samples of the share of CPUs in use */
	uint32_t samples;
};

/* ---- Model of the admission service ------------------------------------- */

static enum kind
kind_of(const struct gyp_flow *flow)
{
	return (enum kind)flow->spec->queue->priority;
}

static bool
service_allows(const struct gyp_flow *flow, uint32_t step, uint32_t row)
{
	uint64_t x = flow->id * 0x9e3779b97f4a7c15ULL +
		     (uint64_t)(row + 1) * 0xbf58476d1ce4e5b9ULL + step;

	x ^= x >> 31;
	x *= 0x94d049bb133111ebULL;
	x ^= x >> 29;
	return (double)(x % 10000) < kinds[kind_of(flow)].allowed * 10000;
}

static bool
entry_is_late(const struct load *s, uint64_t entry)
{
	return s->now >= s->cfg->late_at && entry <= s->cfg->late_entries;
}

/*
 * The service answers; a late entry passes the answer on only late_ms after
 * that, and the ticket is valid from the service's answer on.
 */
static void
answer_query(struct load *s, const struct event *e)
{
	const Gyp__Ask *q = e->query;
	const struct gyp_flow *flow = gyp_flow_get(s->flows, q->flow);
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket *tickets = g_new(Gyp__Ticket, q->n_endpoints);
	Gyp__Ticket **list = g_new(Gyp__Ticket *, q->n_endpoints);
	char ticket[32];
	size_t i, n = 0;

	g_snprintf(ticket, sizeof(ticket), "%" G_GUINT64_FORMAT,
	    e->answered_at + TICKET_MS);
	for (i = 0; flow != NULL && i < q->n_endpoints; i++) {
		const struct gyp_host *h =
		    gyp_host_by_id(s->flows, q->endpoints[i]);

		if (h == NULL || !service_allows(flow, q->step, h->row))
			continue;
		gyp__ticket__init(&tickets[n]);
		tickets[n].endpoint = q->endpoints[i];
		tickets[n].ticket = ticket;
		list[n] = &tickets[n];
		n++;
	}
	answer.id = q->id;
	answer.ok =
	    !(s->cfg->disturbed_at != 0 && s->now >= s->cfg->disturbed_at &&
		e->entry <= s->cfg->failing_entries);
	answer.valid_ms = TICKET_MS;
	answer.n_tickets = answer.ok ? n : 0;
	answer.tickets = list;
	gyp_flow_scheduler_query_answered(s->fs, s->now, e->entry, &answer);
	g_free(tickets);
	g_free(list);
}

/* ---- Model of the endpoints --------------------------------------------- */

static struct event *
add_event(struct load *s, uint64_t at)
{
	struct event *e = g_new0(struct event, 1);

	e->at = at;
	g_ptr_array_add(s->events, e);
	return e;
}

static struct gyp_listed_run
listed(const struct load *s, const struct run *r)
{
	struct gyp_listed_run l = {.flow = r->flow,
	    .repetition = r->repetition,
	    .step = r->step,
	    .index = r->index,
	    .run = r->run};

	if (r->ends_at > r->began_at)
		l.percent = (uint32_t)(100 * (s->now - r->began_at) /
				       (r->ends_at - r->began_at));
	return l;
}

static void
end_run(struct load *s, struct endpoint *e, guint i, Gyp__FlowHow how)
{
	struct run *r = &g_array_index(e->runs, struct run, i);
	struct gyp_listed_end end = {
	    .number = ++e->next_end, .run = listed(s, r), .how = how};

	gyp_res_sub(&e->used, &r->size);
	g_array_append_val(e->ends, end);
	g_array_remove_index_fast(e->runs, i);
}

static void
set_end(struct load *s, const struct endpoint *e, enum kind kind, struct run *r)
{
	r->began_at = s->now;
	r->fails = g_rand_double(s->rand) < (kind == WATCH ? 0.1 : 0.03);
	if (kind != WATCH)
		r->ends_at =
		    s->now + (uint64_t)((double)kinds[kind].run_ms *
					g_rand_double_range(s->rand, 0.6, 1.4));
	else if (r->fails)
		r->ends_at =
		    s->now + (uint64_t)g_rand_int_range(s->rand, 2000, 12000);
	if (e->failing) {
		r->fails = true;
		r->ends_at = s->now + 100;
	}
}

static void
start_run(struct load *s, struct endpoint *e, const struct gyp_fleet_call *c,
    struct gyp_fleet_answer *a)
{
	const struct gyp_flow *flow = gyp_flow_get(s->flows, c->flow);
	uint32_t task =
	    gyp_flow_task_at(flow, c->repetition, c->step, c->index);
	struct run r = {.flow = c->flow,
	    .repetition = c->repetition,
	    .step = c->step,
	    .index = c->index,
	    .run = c->run,
	    .size = gyp_flow_unit_of(flow, task)->size};
	struct gyp_res left = e->capacity;

	gyp_res_sub(&left, &e->used);
	if (c->ticket == NULL ||
	    g_ascii_strtoull(c->ticket, NULL, 10) < s->now) {
		a->end = GYP_FLEET_REFUSED;
		a->reason = GYP_REASON_TICKET;
	} else if (!gyp_res_fits(&r.size, &left)) {
		a->end = GYP_FLEET_REFUSED;
		a->reason = GYP_REASON_CAPACITY;
	}
	if (a->end == GYP_FLEET_REFUSED) {
		s->result.refused_starts++;
		return;
	}
	set_end(s, e, kind_of(flow), &r);
	gyp_res_add(&e->used, &r.size);
	g_array_append_val(e->runs, r);
}

static void
stop_run(struct load *s, struct endpoint *e, const struct gyp_fleet_call *c)
{
	guint i;

	for (i = 0; i < e->runs->len; i++) {
		const struct run *r = &g_array_index(e->runs, struct run, i);

		if (r->flow == c->flow && r->step == c->step &&
		    r->index == c->index && r->run <= c->run) {
			end_run(s, e, i, GYP__FLOW_HOW__FLOW_STOPPED);
			return;
		}
	}
}

static void
list_runs(struct load *s, struct endpoint *e, const struct gyp_fleet_call *c,
    struct gyp_fleet_answer *a)
{
	guint i;

	while (
	    e->ends->len > 0 &&
	    g_array_index(e->ends, struct gyp_listed_end, 0).number <= c->acked)
		g_array_remove_index(e->ends, 0);
	a->listed = true;
	a->running = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_run));
	a->ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	for (i = 0; i < e->runs->len; i++) {
		struct gyp_listed_run l =
		    listed(s, &g_array_index(e->runs, struct run, i));

		g_array_append_val(a->running, l);
	}
	g_array_append_vals(
	    a->ended, e->ends->data, MIN(e->ends->len, ENDS_LISTED_MAX));
	a->ends_complete = e->ends->len < ENDS_LISTED_MAX;
}

/* Carries out a call; false when it is a poll that goes on waiting. */
static bool
deliver_call(struct load *s, struct event *ev)
{
	const struct gyp_fleet_call *c = ev->call;
	struct endpoint *e = &s->endpoints[c->row];
	struct gyp_fleet_answer *a;
	struct event *reply;

	if (!e->gone && c->kind == GYP_FLEET_POLL && c->wait_ms > 0) {
		bool new_end = e->ends->len > 0 && e->next_end > c->acked;

		if (ev->poll_until == 0)
			ev->poll_until = s->now + c->wait_ms;
		if (!new_end && s->now < ev->poll_until) {
			ev->at = s->now + STEP_MS;
			return false;
		}
	}
	a = g_new0(struct gyp_fleet_answer, 1);
	reply = add_event(s, s->now + (e->gone ? c->timeout_ms : NETWORK_MS));
	reply->answer = a;
	a->call = c->id;
	a->end = e->gone ? GYP_FLEET_LOST : GYP_FLEET_OK;
	if (e->gone)
		return true;
	a->has_clock = true;
	a->clock_ms = s->now;
	a->incarnation_start_ms = 1;
	if (c->kind == GYP_FLEET_START)
		start_run(s, e, c, a);
	else if (c->kind == GYP_FLEET_STOP)
		stop_run(s, e, c);
	else
		list_runs(s, e, c, a);
	return true;
}

static void
free_event(gpointer p)
{
	struct event *e = p;

	if (e->call != NULL)
		gyp_fleet_call_free(e->call);
	if (e->answer != NULL) {
		if (e->answer->running != NULL) {
			g_array_free(e->answer->running, TRUE);
			g_array_free(e->answer->ended, TRUE);
		}
		g_free(e->answer);
	}
	gyp_message_free(e->query);
	gyp_message_free(e->cmd);
	g_free(e);
}

static void
deliver_due(struct load *s)
{
	guint i = 0, n = s->events->len;

	while (i < n) {
		struct event *e = s->events->pdata[i];

		if (s->now < e->at ||
		    (e->call != NULL && !deliver_call(s, e))) {
			i++;
			continue;
		}
		if (e->answer != NULL)
			gyp_flow_scheduler_call_answered(
			    s->fs, s->now, e->answer);
		if (e->query != NULL)
			answer_query(s, e);
		if (e->cmd != NULL) {
			gyp_flows_apply(s->flows, s->now, e->cmd);
			s->uncommitted--;
		}
		/* Keeps the order: commands commit in the order proposed. */
		g_ptr_array_remove_index(s->events, i);
		n--;
	}
}

static void
run_endpoints(struct load *s)
{
	uint32_t row;
	guint i;

	for (row = 0; row < s->cfg->endpoints; row++) {
		struct endpoint *e = &s->endpoints[row];

		for (i = e->runs->len; i-- > 0;) {
			const struct run *r =
			    &g_array_index(e->runs, struct run, i);

			if (r->ends_at != 0 && s->now >= r->ends_at)
				end_run(s, e, i,
				    r->fails ? GYP__FLOW_HOW__FLOW_FAILED
					     : GYP__FLOW_HOW__FLOW_DONE);
		}
		if (!e->gone && (s->now + row * 7) % HEARTBEAT_MS == 0)
			gyp_fleet_heartbeat(gyp_flow_scheduler_fleet(s->fs),
			    s->now, row, 1, s->now);
	}
}

static void
disturb(struct load *s)
{
	const struct lasting_load_config *cfg = s->cfg;
	uint32_t i;

	if (cfg->disturbed_at == 0)
		return;
	for (i = 0; i < cfg->gone && s->now == cfg->disturbed_at; i++) {
		struct endpoint *e = &s->endpoints[i];

		e->gone = true;
		g_array_set_size(e->runs, 0);
	}
	for (i = cfg->gone; i < cfg->gone + cfg->failing; i++) {
		struct endpoint *e = &s->endpoints[i];
		guint k;

		if (s->now == cfg->disturbed_at) {
			e->failing = true;
			for (k = 0; k < e->runs->len; k++) {
				struct run *r =
				    &g_array_index(e->runs, struct run, k);

				r->fails = true;
				r->ends_at = s->now;
			}
		}
		if (s->now == cfg->disturbed_at + cfg->failing_ms)
			e->failing = false;
	}
}

/* ---- Arrivals ----------------------------------------------------------- */

static void
submit(struct load *s, enum kind kind)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow flow = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT, *steps[] = {&step};
	Gyp__Res size = GYP__RES__INIT;
	bool wide = g_rand_int_range(s->rand, 0, 10) == 0;

	size.cpu_milli = kinds[kind].cpu_milli;
	size.memory = kinds[kind].memory_gib * GIBIBYTE;
	if (kind == WATCH && wide)
		size.cpu_milli = 15000;
	step.count = wide ? kinds[kind].tasks_max : kinds[kind].tasks;
	step.size = &size;
	step.estimate_ms = kinds[kind].run_ms;
	step.lasting = kind == WATCH;
	step.checkpoints = kind == BATCH;
	step.spread = kind == WATCH ? 2 : 0;
	queue.name = (char *)kinds[kind].name;
	queue.pool = "pool";
	queue.attempts = 3;
	queue.priority = kind;
	queue.admission = true;
	queue.admission_ms = kinds[kind].query_ms;
	queue.admission_each_ms = kinds[kind].each_ms;
	queue.ticket_ms = TICKET_MS;
	queue.stretch = kind == WATCH ? 0 : 3;
	queue.target_ms = 2000;
	spec.id = s->next_id++;
	spec.queue = &queue;
	spec.n_steps = 1;
	spec.steps = steps;
	flow.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &flow;
	gyp_flows_apply(s->flows, s->now, &cmd);
	if (kind == WATCH) {
		struct watch *w = g_new0(struct watch, step.count);
		uint32_t i;

		for (i = 0; i < step.count; i++)
			w[i].since = NULL;
		g_ptr_array_add(s->watches, w);
		g_array_append_val(s->watch_ids, spec.id);
	}
}

/* CPUs that the open runs of lasting tasks use, in thousandths. */
static uint64_t
watch_cpu(const struct load *s)
{
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < s->watch_ids->len; i++) {
		const struct gyp_flow *flow = gyp_flow_get(
		    s->flows, g_array_index(s->watch_ids, uint64_t, i));

		sum += (uint64_t)flow->n_tasks * flow->units[0].size.cpu_milli;
	}
	return sum;
}

static void
arrive(struct load *s)
{
	static const enum kind order[] = {URGENT, BATCH};
	double milli =
	    s->cfg->load * (double)s->capacity_milli - (double)watch_cpu(s);
	/* Bursts of urgent work: 5 s in each 20 s. */
	bool burst = s->now / 5000 % 4 == 3;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(order); i++) {
		enum kind k = order[i];
		double tasks = 0.9 * kinds[k].tasks + 0.1 * kinds[k].tasks_max;
		double work =
		    tasks * kinds[k].cpu_milli * (double)kinds[k].run_ms;
		double share = kinds[k].share;
		double mean_ms;

		if (k == URGENT && burst)
			share *= 3;
		mean_ms = work / (milli * share);
		while (s->now >= s->next_arrival[k]) {
			if (s->next_arrival[k] != 0)
				submit(s, k);
			s->next_arrival[k] =
			    MAX(s->now, s->next_arrival[k]) + 1 +
			    (uint64_t)(mean_ms *
				       g_rand_double_range(s->rand, 0, 2));
		}
	}
}

/* ---- Measurement -------------------------------------------------------- */

static bool
has_room(const struct load *s, const struct gyp_flow *flow, uint32_t row)
{
	const struct endpoint *e = &s->endpoints[row];
	const struct gyp_flow_unit *u = &flow->units[0];
	struct gyp_res left = e->capacity;
	uint32_t present = 0;
	guint i;

	if (e->gone || e->failing || !service_allows(flow, 0, row))
		return false;
	gyp_res_sub(&left, &e->used);
	for (i = 0; i < e->runs->len; i++)
		present +=
		    g_array_index(e->runs, struct run, i).flow == flow->id;
	return gyp_res_fits(&u->size, &left) && present < u->step->spread;
}

static bool
disturbed(const struct load *s)
{
	uint64_t at = s->cfg->disturbed_at;

	return at != 0 && s->now >= at &&
	       s->now < at + s->cfg->failing_ms + QUIET_MS;
}

/* Endpoints with room for tasks of the flow, by row. */
static guint
find_room(const struct load *s, const struct gyp_flow *flow, bool *room)
{
	uint32_t row;
	guint n = 0;

	for (row = 0; row < s->cfg->endpoints; row++) {
		room[row] = has_room(s, flow, row);
		n += room[row];
	}
	return n;
}

static void
sample_task(struct load *s, struct watch *w, const bool *room, guint n_room)
{
	uint64_t first = 0, second = 0;
	uint32_t row;

	if (w->down_since == 0) {
		w->down_since = s->now;
		s->result.waits++;
	}
	s->result.longest_ms =
	    MAX(s->result.longest_ms, s->now - w->down_since);
	if (w->since == NULL)
		w->since = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	g_array_set_size(w->since, s->cfg->endpoints);
	if (n_room < 2)
		w->room_since = 0;
	else if (w->room_since == 0)
		w->room_since = s->now;
	if (w->room_since != 0)
		s->result.longest_room_ms =
		    MAX(s->result.longest_room_ms, s->now - w->room_since);
	for (row = 0; row < s->cfg->endpoints; row++) {
		uint64_t *since = &g_array_index(w->since, uint64_t, row);
		uint64_t ms;

		if (!room[row])
			*since = 0;
		else if (*since == 0)
			*since = s->now;
		ms = *since != 0 ? s->now - *since : 0;
		if (ms > first) {
			second = first;
			first = ms;
		} else {
			second = MAX(second, ms);
		}
	}
	s->result.longest_two_ms = MAX(s->result.longest_two_ms, second);
	if (second >= ROOM_MS && !w->broken) {
		w->broken = true;
		s->result.broken++;
	}
}

static void
reset_task(struct watch *w, bool runs)
{
	w->room_since = 0;
	w->broken = false;
	if (w->since != NULL)
		g_array_set_size(w->since, 0);
	if (runs)
		w->down_since = 0;
}

static void
sample_use(struct load *s)
{
	uint64_t used = 0;
	uint32_t row;

	for (row = 0; row < s->cfg->endpoints; row++)
		used += s->endpoints[row].used.cpu_milli;
	s->used += (double)used / (double)s->capacity_milli;
	s->samples++;
}

static void
sample(struct load *s)
{
	bool *room = g_new(bool, s->cfg->endpoints);
	guint i;
	uint32_t k;

	sample_use(s);

	for (i = 0; i < s->watch_ids->len; i++) {
		const struct gyp_flow *flow = gyp_flow_get(
		    s->flows, g_array_index(s->watch_ids, uint64_t, i));
		struct watch *w = s->watches->pdata[i];
		guint n = find_room(s, flow, room);

		for (k = 0; k < flow->n_tasks; k++) {
			const struct gyp_run_view *view = gyp_fleet_run_view(
			    gyp_flow_scheduler_fleet(s->fs), flow->id, k);
			bool runs = view != NULL && view->confirmed;

			if (runs || disturbed(s))
				reset_task(&w[k], runs);
			else
				sample_task(s, &w[k], room, n);
		}
	}
	g_free(room);
}

/* ---- Main loop ---------------------------------------------------------- */

/* One batch of commands at a time is on its way to the log. */
static void
commit_batch(struct load *s)
{
	Gyp__Cmd *cmd;

	if (s->uncommitted > 0)
		return;
	while ((cmd = g_queue_pop_head(&s->pending_cmds)) != NULL) {
		add_event(s, s->now + COMMIT_MS)->cmd = cmd;
		s->uncommitted++;
	}
}

static void
collect_output(struct load *s)
{
	struct gyp_fleet_call *call;
	Gyp__Ask *query;
	Gyp__Cmd *cmd;
	uint64_t entry;

	while ((cmd = gyp_flow_scheduler_pop_cmd(s->fs)) != NULL)
		g_queue_push_tail(&s->pending_cmds, cmd);
	commit_batch(s);
	while ((call = gyp_flow_scheduler_pop_call(s->fs)) != NULL)
		add_event(s, s->now + NETWORK_MS)->call = call;
	while ((query = gyp_flow_scheduler_pop_query(s->fs, &entry)) != NULL) {
		enum kind k = kind_of(gyp_flow_get(s->flows, query->flow));
		struct event *e = add_event(
		    s, s->now + 2 * NETWORK_MS +
			   (uint64_t)(kinds[k].query_ms +
				      kinds[k].each_ms *
					  (double)query->n_endpoints));

		e->query = query;
		e->entry = entry;
		e->answered_at = e->at - NETWORK_MS;
		if (entry_is_late(s, entry))
			e->at += s->cfg->late_ms;
	}
}

static void
add_endpoints(struct load *s)
{
	static const uint32_t cpus[] = {16, 32, 32, 64};
	uint32_t row;

	s->endpoints = g_new0(struct endpoint, s->cfg->endpoints);
	for (row = 0; row < s->cfg->endpoints; row++) {
		struct endpoint *e = &s->endpoints[row];
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdHost host = GYP__CMD_HOST__INIT;
		Gyp__Res capacity = GYP__RES__INIT;
		char id[16];

		g_snprintf(id, sizeof(id), "e%u", row);
		capacity.cpu_milli = cpus[row % G_N_ELEMENTS(cpus)] * 1000;
		capacity.memory = 2 * GIBIBYTE * cpus[row % G_N_ELEMENTS(cpus)];
		host.id = id;
		host.born_ms = 1;
		host.address = "127.0.0.1:1";
		host.pool = "pool";
		host.capacity = &capacity;
		cmd.c_case = GYP__CMD__C_HOST;
		cmd.host = &host;
		gyp_flows_apply(s->flows, s->now, &cmd);
		e->capacity = gyp_res_from(&capacity);
		s->capacity_milli += capacity.cpu_milli;
		e->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
		e->ends =
		    g_array_new(FALSE, FALSE, sizeof(struct gyp_listed_end));
	}
}

static void
step(struct load *s)
{
	guint i;

	s->now += STEP_MS;
	disturb(s);
	run_endpoints(s);
	deliver_due(s);
	arrive(s);
	for (i = 1; i <= s->cfg->entries; i++)
		gyp_flow_scheduler_offer_entry(s->fs, s->now, i);
	gyp_flow_scheduler_round(s->fs, s->now, 0, s->uncommitted == 0);
	collect_output(s);
	if (s->now % SAMPLE_MS == 0)
		sample(s);
}

static void
free_load(struct load *s)
{
	uint32_t row, k;
	guint i;

	for (i = 0; i < s->watches->len; i++) {
		struct watch *w = s->watches->pdata[i];
		const struct gyp_flow *flow = gyp_flow_get(
		    s->flows, g_array_index(s->watch_ids, uint64_t, i));

		for (k = 0; k < flow->n_tasks; k++) {
			if (w[k].since != NULL)
				g_array_free(w[k].since, TRUE);
		}
		g_free(w);
	}
	for (row = 0; row < s->cfg->endpoints; row++) {
		g_array_free(s->endpoints[row].runs, TRUE);
		g_array_free(s->endpoints[row].ends, TRUE);
	}
	g_free(s->endpoints);
	g_ptr_array_free(s->watches, TRUE);
	g_array_free(s->watch_ids, TRUE);
	g_ptr_array_free(s->events, TRUE);
	g_queue_clear_full(&s->pending_cmds, gyp_message_free);
	gyp_flow_scheduler_free(s->fs);
	gyp_flows_free(s->flows);
	g_rand_free(s->rand);
}

struct lasting_load_result
lasting_load_run(const struct lasting_load_config *cfg)
{
	struct gyp_fleet_config fleet = {
	    .lease_ms = 6000, .stop_grace_ms = 400};
	struct load s = {.cfg = cfg, .now = 100000, .next_id = 1};
	struct lasting_load_config shifted = *cfg;
	uint64_t end = s.now + cfg->duration_ms;
	uint32_t i;

	if (cfg->disturbed_at != 0)
		shifted.disturbed_at += s.now;
	shifted.late_at += s.now;
	s.cfg = &shifted;
	s.rand = g_rand_new_with_seed(cfg->seed);
	s.flows = gyp_flows_new();
	s.events = g_ptr_array_new_with_free_func(free_event);
	s.watches = g_ptr_array_new();
	s.watch_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	add_endpoints(&s);
	s.fs = gyp_flow_scheduler_new(&fleet, s.flows, s.now, 1);
	for (i = 0; i < cfg->watch_flows; i++)
		submit(&s, WATCH);
	while (s.now < end)
		step(&s);
	s.result.used_percent = (uint32_t)(100 * s.used / s.samples);
	free_load(&s);
	return s.result;
}
