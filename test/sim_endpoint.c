#include <string.h>

#include "mutant.h"
#include "sim.h"

/* Interval of heartbeats and time limit of a call to an entry, in ms. */
#define HEARTBEAT_MS    300
#define CALL_TIMEOUT_MS 1500

/* Time from the acknowledgement of a leave to the exit, in ms. */
#define EXIT_DELAY_MS 6000

enum run_state { RUN_RUNNING, RUN_DONE, RUN_FAILED, RUN_REFUSED };

/* How an endpoint runs tasks and reports their ends. */
enum behaviour {
	BEHAVIOUR_CORRECT,
	BEHAVIOUR_FAILS_ALL,
	BEHAVIOUR_REPORTS_TWICE
};

struct run {
	uint64_t id;
	char *key;
	Gyp__Attempt attempt_id;
	struct sim_job *job;
	struct gyp_res size;
	enum run_state state;
	uint64_t end; /* in virtual time */
	bool async;
	uint32_t reports_left; /* reports still to send */
	bool reporting;
	uint64_t report_at;
	char *answer;
};

/* An order on its way to an endpoint, or its result on the way back. */
struct sim_exchange {
	uint64_t due;
	int entry;
	uint64_t start_count; /* of the entry, when it sent the order */
	uint64_t id;
	Gyp__Order *order;
	bool returning;
	bool waiting; /* held open at the endpoint until its run ends */
	enum gyp_attempt_state state;
	char *answer;
};

struct sim_endpoint {
	char name[16];
	uint64_t incarnation;
	uint64_t handle; /* 0 until announced */
	struct gyp_res capacity;
	enum behaviour behaviour;
	uint64_t lease_end; /* on the endpoint's clock */
	uint64_t heartbeat_at;
	bool calling;
	bool leaving;
	uint64_t leave_acked_at; /* 0 until the leave is acknowledged */
	uint32_t answer_count;
	uint32_t list;    /* number of the list of runs last sent */
	char *list_text;  /* its contents; NULL sends it in full */
	GHashTable *runs; /* attempt -> struct run */
};

static int
endpoint_node(int nth)
{
	return SIM_ENDPOINT + nth;
}

static void
free_run(gpointer p)
{
	struct run *r = p;

	g_free(r->key);
	g_free(r->answer);
	g_free(r);
}

static void
free_exchange(gpointer p)
{
	struct sim_exchange *x = p;

	gyp_message_free(x->order);
	g_free(x->answer);
	g_free(x);
}

/* ---- Record of actual runs --------------------------------------------- */

static void
check_capacity(struct sim *s, const struct sim_endpoint *ep)
{
	struct gyp_res sum = {0, 0, 0, 0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ep->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		if (r->state == RUN_RUNNING)
			gyp_res_add(&sum, &r->size);
	}
	if (!gyp_res_fits(&sum, &ep->capacity))
		sim_fail(s, "%s exceeds its capacity: cpu %u of %u", ep->name,
		    sum.cpu_milli, ep->capacity.cpu_milli);
}

static void
record_start(struct sim *s, const struct sim_endpoint *ep, const struct run *r)
{
	struct sim_job *job = r->job;
	uint32_t t = r->attempt_id.task;

	s->n_starts++;
	if (job->running[t] > 0)
		sim_fail(s, "%s task %u runs in two places", job->key, t);
	if (!job->spec.idempotent && job->starts[t] > 0)
		sim_fail(s, "%s task %u is not idempotent and starts again",
		    job->key, t);
	if (job->not_run[t])
		sim_fail(s, "%s task %u starts after not_run was reported",
		    job->key, t);
	if (ep->leave_acked_at != 0 &&
	    s->now > ep->leave_acked_at + SIM_LEAVE_BOUND_MS)
		sim_fail(s,
		    "%s receives a start %" G_GUINT64_FORMAT
		    " ms after its leave was acknowledged",
		    ep->name, s->now - ep->leave_acked_at);
	job->starts[t]++;
	job->running[t]++;
	check_capacity(s, ep);
}

static void
end_run(struct run *r, enum run_state state)
{
	char *produced;

	g_assert(r->job != NULL && r->state == RUN_RUNNING);
	r->job->running[r->attempt_id.task]--;
	r->state = state;
	if (state != RUN_DONE)
		return;
	produced = g_strdup_printf("%u %s", r->attempt_id.task, r->answer);
	g_hash_table_add(r->job->answers, produced);
}

/* ---- Attempts at an endpoint ------------------------------------------- */

static char *
attempt_key(const Gyp__Attempt *a)
{
	return g_strdup_printf(
	    "%" G_GINT64_MODIFIER "x.%x.%x", a->job, a->task, a->attempt);
}

static struct run *
find_run(struct sim_endpoint *ep, const Gyp__Attempt *a)
{
	char *key = attempt_key(a);
	struct run *r = g_hash_table_lookup(ep->runs, key);

	g_free(key);
	return r;
}

static struct run *
new_run(struct sim_endpoint *ep, const Gyp__Attempt *a, enum run_state state)
{
	struct run *r = g_new0(struct run, 1);

	r->key = attempt_key(a);
	r->attempt_id = *a;
	r->state = state;
	g_hash_table_insert(ep->runs, r->key, r);
	return r;
}

static char *
make_answer(struct sim *s, struct sim_endpoint *ep, const struct run *r)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s ran %s as %s nr %u ", ep->name, r->job->key,
	    r->key, ep->answer_count++);
	if (sim_one_in(s, 20))
		g_string_append_printf(text, "%*s", 3000, "long");
	return g_string_free(text, FALSE);
}

static void
start_run(struct sim *s, int nth, const Gyp__Order *order)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	uint64_t clock = sim_clock(s, endpoint_node(nth));
	char *key =
	    g_strndup((const char *)order->payload.data, order->payload.len);
	struct run *r;

	if (clock > order->not_after_ms || clock > ep->lease_end) {
		new_run(ep, order->attempt, RUN_REFUSED);
		g_free(key);
		return;
	}
	r = new_run(ep, order->attempt, RUN_RUNNING);
	r->id = sim_new_id(s);
	r->job = g_hash_table_lookup(s->by_key, key);
	g_assert(r->job != NULL && r->attempt_id.task < r->job->spec.tasks);
	r->size = gyp_res_from(order->size);
	r->async = order->kind != GYP__KIND__KIND_REQUEST;
	r->end = s->now + (uint64_t)sim_random(s, 10, 800);
	if (order->kind == GYP__KIND__KIND_WATCHER)
		r->end = UINT64_MAX;
	if (ep->behaviour == BEHAVIOUR_FAILS_ALL)
		r->end = s->now + 5;
	if (sim_one_in(s, 30) && r->end != UINT64_MAX)
		r->end += 5000;
	r->answer = make_answer(s, ep, r);
	r->reports_left = ep->behaviour == BEHAVIOUR_REPORTS_TWICE ? 2 : 1;
	sim_trace(s, "%s starts %s of %s", ep->name, r->key, key);
	record_start(s, ep, r);
	g_free(key);
}

static enum gyp_attempt_state
attempt_state_of(const struct run *r)
{
	static const enum gyp_attempt_state states[] = {
	    [RUN_RUNNING] = GYP_ATTEMPT_RUNNING,
	    [RUN_DONE] = GYP_ATTEMPT_DONE,
	    [RUN_FAILED] = GYP_ATTEMPT_FAILED,
	    [RUN_REFUSED] = GYP_ATTEMPT_NOT_STARTED};

	return states[r->state];
}

/*
 * Carries out an order and returns the run that it concerns. Any order but a
 * start records an unknown attempt as refused, so that a later start fails.
 */
static struct run *
apply_order(struct sim *s, int nth, const Gyp__Order *order)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	struct run *r = find_run(ep, order->attempt);

	if (r == NULL && order->type == GYP__ORDER_TYPE__ORDER_START)
		start_run(s, nth, order);
	else if (r == NULL)
		new_run(ep, order->attempt, RUN_REFUSED);
	else if (order->type == GYP__ORDER_TYPE__ORDER_STOP &&
		 r->state == RUN_RUNNING)
		end_run(r, RUN_FAILED);
	return find_run(ep, order->attempt);
}

/* ---- Exchanges --------------------------------------------------------- */

static int
endpoint_index(const char *address)
{
	return address[strlen("10.0.1.")] - '0';
}

static void
send_back(struct sim *s, struct sim_exchange *x, enum gyp_attempt_state state,
    const char *answer)
{
	x->returning = true;
	x->waiting = false;
	x->state = state;
	x->answer = g_strdup(answer);
	x->due = s->now + (uint64_t)sim_random(s, 0, 30);
	if (s->faults && sim_one_in(s, 25))
		x->state = GYP_ATTEMPT_UNKNOWN;
}

void
sim_exchange(struct sim *s, int entry, struct gyp_exchange *x)
{
	struct sim_exchange *sx = g_new0(struct sim_exchange, 1);

	sx->due = s->now + (uint64_t)(sim_one_in(s, 20) ? sim_random(s, 0, 1500)
							: sim_random(s, 0, 20));
	sx->entry = entry;
	sx->start_count = s->nodes[entry].start_count;
	sx->id = x->id;
	sx->order = x->order;
	if (x->order->type == GYP__ORDER_TYPE__ORDER_START &&
	    sim_clock(s, entry) >= x->send_by)
		send_back(s, sx, GYP_ATTEMPT_NOT_STARTED, NULL);
	g_ptr_array_add(s->exchanges, sx);
}

static void
deliver_order(struct sim *s, struct sim_exchange *x)
{
	int nth = endpoint_index(x->order->address);
	bool start = x->order->type == GYP__ORDER_TYPE__ORDER_START;
	struct run *r;

	if (s->faults && sim_one_in(s, 40)) {
		send_back(s, x, GYP_ATTEMPT_UNKNOWN, NULL);
		return;
	}
	if (!s->nodes[endpoint_node(nth)].up) { /* connection refused */
		send_back(s, x,
		    start ? GYP_ATTEMPT_NOT_STARTED : GYP_ATTEMPT_UNKNOWN,
		    NULL);
		return;
	}
	/*
	 * The order is for another incarnation. A start was certainly not
	 * carried out; for any other order, that incarnation may have run the
	 * attempt.
	 */
	if (x->order->incarnation != s->endpoints[nth]->incarnation &&
	    !GYP_MUTANT(NO_INCARNATION)) {
		send_back(s, x,
		    start ? GYP_ATTEMPT_NOT_STARTED : GYP_ATTEMPT_UNKNOWN,
		    NULL);
		return;
	}
	r = apply_order(s, nth, x->order);
	sim_trace(s, "ep-%d order type %d attempt %s state %d", nth,
	    x->order->type, r->key, r->state);
	if (start && r->state == RUN_RUNNING && !r->async)
		x->waiting = true;
	else
		send_back(s, x, attempt_state_of(r),
		    r->state == RUN_DONE ? r->answer : NULL);
}

static void
check_waiting(struct sim *s, struct sim_exchange *x)
{
	int nth = endpoint_index(x->order->address);
	struct run *r = NULL;

	if (s->nodes[endpoint_node(nth)].up)
		r = find_run(s->endpoints[nth], x->order->attempt);
	if (r == NULL)
		send_back(s, x, GYP_ATTEMPT_UNKNOWN, NULL);
	else if (r->state != RUN_RUNNING)
		send_back(s, x, attempt_state_of(r),
		    r->state == RUN_DONE ? r->answer : NULL);
}

static void
deliver_result(struct sim *s, struct sim_exchange *x)
{
	struct sim_node *n = &s->nodes[x->entry];
	struct gyp_exchange_result res = {.state = x->state,
	    .http_status = 200,
	    .content_type = "text/plain",
	    .reason = ""};

	if (x->state >= GYP_ATTEMPT_DONE && x->answer != NULL) {
		res.answer = (const uint8_t *)x->answer;
		res.answer_len = strlen(x->answer);
	}
	gyp_entry_exchange_done(n->entry, sim_clock(s, x->entry), x->id, &res);
	sim_process_output(s, x->entry);
}

static bool
is_blocked(const struct sim *s, const struct sim_exchange *x)
{
	int node = endpoint_node(endpoint_index(x->order->address));

	return x->returning ? s->blocked[node][x->entry]
			    : s->blocked[x->entry][node];
}

/* Returns true when the exchange has ended. */
static bool
step_exchange(struct sim *s, struct sim_exchange *x)
{
	struct sim_node *n = &s->nodes[x->entry];

	if (x->waiting) {
		check_waiting(s, x);
		return false;
	}
	if (s->now < x->due || is_blocked(s, x))
		return false;
	if (!x->returning) {
		deliver_order(s, x);
		return false;
	}
	if (!n->up || n->start_count != x->start_count)
		return true;
	if (!sim_is_running(s, x->entry))
		return false;
	deliver_result(s, x);
	return true;
}

void
sim_step_exchanges(struct sim *s)
{
	guint i = 0;

	while (i < s->exchanges->len) {
		struct sim_exchange *x = s->exchanges->pdata[i];

		if (step_exchange(s, x))
			g_ptr_array_remove_index(s->exchanges, i);
		else
			i++;
	}
}

/* ---- Calls to entries -------------------------------------------------- */

static void
on_heartbeat_answer(
    struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_endpoint *ep = c->subject;
	const Gyp__Reply *reply = a != NULL ? a->reply : NULL;
	size_t i;

	if (c->tag != ep->incarnation)
		return;
	ep->calling = false;
	if (reply == NULL || (s->faults && sim_one_in(s, 30)))
		return;
	if (reply->code == GYP__CODE__CODE_NOT_FOUND)
		ep->handle = 0;
	if (reply->code != GYP__CODE__CODE_OK)
		return;
	if (reply->resend)
		g_clear_pointer(&ep->list_text, g_free);
	ep->handle = reply->endpoint;
	ep->lease_end = MAX(ep->lease_end, c->sent_at + reply->lease_ms);
	for (i = 0; i < reply->n_stop; i++) {
		struct run *r = find_run(ep, reply->stop[i]);

		if (r != NULL && r->state == RUN_RUNNING)
			end_run(r, RUN_FAILED);
	}
}

static const struct sim_call_ops heartbeat_ops = {on_heartbeat_answer};

static void
on_leave_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_endpoint *ep = c->subject;

	if (c->tag == ep->incarnation && a != NULL && a->reply != NULL &&
	    a->reply->code == GYP__CODE__CODE_OK && ep->leave_acked_at == 0) {
		ep->leave_acked_at = s->now;
		s->n_leaves++;
	}
}

static const struct sim_call_ops leave_ops = {on_leave_answer};

static void
fill_res(const struct gyp_res *from, Gyp__Res *to)
{
	gyp__res__init(to);
	to->cpu_milli = from->cpu_milli;
	to->memory = from->memory;
	to->accel = from->accel;
	to->slots = from->slots;
}

static struct sim_call *
announce(struct sim *s, int nth, int entry)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint cmd = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res capacity;

	fill_res(&ep->capacity, &capacity);
	cmd.name = ep->name;
	cmd.address = s->nodes[endpoint_node(nth)].address;
	cmd.rack = nth % 2 ? "rack-1" : "rack-2";
	cmd.data_centre = nth % 3 ? "dc-1" : "dc-2";
	cmd.capacity = &capacity;
	cmd.connections = 64;
	cmd.incarnation = ep->incarnation;
	call.c_case = GYP__CALL__C_ANNOUNCE;
	call.announce = &cmd;
	return sim_call(s, entry, &call, CALL_TIMEOUT_MS, &heartbeat_ops, ep);
}

static struct sim_call *
heartbeat(struct sim *s, int nth, int entry)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Beat msg = GYP__BEAT__INIT;
	Gyp__Res used = GYP__RES__INIT;
	GPtrArray *running = g_ptr_array_new();
	GString *text = g_string_new("");
	struct sim_call *c;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ep->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *r = value;

		if (r->state != RUN_RUNNING)
			continue;
		g_ptr_array_add(running, &r->attempt_id);
		g_string_append(text, r->key);
	}
	msg.unchanged = g_strcmp0(text->str, ep->list_text) == 0;
	g_free(ep->list_text);
	ep->list_text = g_string_free(text, FALSE);
	ep->list += !msg.unchanged;
	msg.list = ep->list;
	msg.incarnation = ep->incarnation;
	msg.endpoint = ep->handle;
	msg.clock_ms = sim_clock(s, endpoint_node(nth));
	msg.used = &used;
	msg.n_running = msg.unchanged ? 0 : running->len;
	msg.running = (Gyp__Attempt **)running->pdata;
	call.c_case = GYP__CALL__C_BEAT;
	call.beat = &msg;
	c = sim_call(s, entry, &call, CALL_TIMEOUT_MS, &heartbeat_ops, ep);
	g_ptr_array_free(running, TRUE);
	return c;
}

/*
 * Returns a running entry that the endpoint can reach, or -1; with faults,
 * sometimes -1 although there is one.
 */
static int
reachable_entry(struct sim *s, int nth)
{
	int e = sim_random_entry(s);

	if (e < 0 || s->blocked[endpoint_node(nth)][e] ||
	    s->blocked[e][endpoint_node(nth)] ||
	    (s->faults && sim_one_in(s, 20)))
		return -1;
	return e;
}

static void
announce_or_heartbeat(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	int entry = reachable_entry(s, nth);
	struct sim_call *c;

	ep->heartbeat_at = s->now + HEARTBEAT_MS;
	if (entry < 0 || (ep->handle == 0 && ep->leaving))
		return;
	ep->calling = true;
	c = ep->handle == 0 ? announce(s, nth, entry)
			    : heartbeat(s, nth, entry);
	c->sent_at = sim_clock(s, endpoint_node(nth));
	c->tag = ep->incarnation;
	sim_process_output(s, entry);
}

static void
on_report_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_endpoint *ep = c->subject;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ep->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *r = value;

		if (r->id != c->tag)
			continue;
		r->reporting = false;
		if (a != NULL && a->reply != NULL && r->reports_left > 0 &&
		    !(s->faults && sim_one_in(s, 20)))
			r->reports_left--;
	}
}

static const struct sim_call_ops report_ops = {on_report_answer};

/* Reports the end of an attempt that was accepted to run asynchronously. */
static void
report(struct sim *s, int nth, struct run *r, uint32_t attempt)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;
	int entry = reachable_entry(s, nth);

	if (entry < 0)
		return;
	f.job = r->attempt_id.job;
	f.task = r->attempt_id.task;
	f.attempt = attempt;
	f.outcome = r->state == RUN_DONE ? GYP__OUTCOME__OUTCOME_DONE
					 : GYP__OUTCOME__OUTCOME_FAILED;
	f.http_status = 200;
	f.content_type = "text/plain";
	f.reason = "";
	f.answer.data = (uint8_t *)r->answer;
	f.answer.len = strlen(r->answer);
	call.c_case = GYP__CALL__C_REPORT;
	call.report = &f;
	r->reporting = attempt == r->attempt_id.attempt;
	sim_call(
	    s, entry, &call, CALL_TIMEOUT_MS, &report_ops, s->endpoints[nth])
	    ->tag = r->reporting ? r->id : 0;
	sim_process_output(s, entry);
}

/* ---- Steps ------------------------------------------------------------- */

static void
step_run(struct sim *s, int nth, struct run *r)
{
	struct sim_endpoint *ep = s->endpoints[nth];

	if (r->state == RUN_RUNNING &&
	    sim_clock(s, endpoint_node(nth)) > ep->lease_end)
		end_run(r, RUN_FAILED);
	else if (r->state == RUN_RUNNING && s->now >= r->end)
		end_run(
		    r, ep->behaviour == BEHAVIOUR_FAILS_ALL || sim_one_in(s, 25)
			   ? RUN_FAILED
			   : RUN_DONE);
	if (!r->async || r->state == RUN_RUNNING || r->state == RUN_REFUSED ||
	    r->reports_left == 0 || r->reporting || s->now < r->report_at)
		return;
	r->report_at = s->now + 300;
	if (ep->behaviour == BEHAVIOUR_REPORTS_TWICE &&
	    r->attempt_id.attempt > 1)
		report(s, nth, r, r->attempt_id.attempt - 1);
	report(s, nth, r, r->attempt_id.attempt);
}

static void
step_endpoint(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	GHashTableIter iter;
	gpointer value;

	if (!ep->calling && s->now >= ep->heartbeat_at)
		announce_or_heartbeat(s, nth);
	g_hash_table_iter_init(&iter, ep->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		step_run(s, nth, value);
}

/* Returns true when a leaving endpoint is due to exit. */
static bool
exit_due(const struct sim *s, int nth)
{
	const struct sim_endpoint *ep = s->endpoints[nth];

	return ep->leave_acked_at != 0 &&
	       s->now > ep->leave_acked_at + EXIT_DELAY_MS;
}

void
sim_step_endpoints(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_ENDPOINTS; i++) {
		struct sim_node *n = &s->nodes[endpoint_node(i)];

		if (n->up && exit_due(s, i))
			sim_endpoint_kill(s, i);
		else if (n->up)
			step_endpoint(s, i);
		else if (s->now >= n->restart_at)
			sim_endpoint_start(s, i);
	}
}

/* ---- Start and exit ---------------------------------------------------- */

/*
 * Starts a new incarnation with the same name and address, but another
 * capacity, clock and behaviour.
 */
void
sim_endpoint_start(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	struct sim_node *n = &s->nodes[endpoint_node(nth)];

	n->up = true;
	n->start_count++;
	n->clock_offset = (uint64_t)sim_random(s, 1, 1000000);
	n->clock_ppm = s->worst_clocks ? -SIM_MAX_CLOCK_PPM
				       : sim_random(s, -SIM_MAX_CLOCK_PPM,
					     SIM_MAX_CLOCK_PPM + 1);
	ep->incarnation = sim_new_id(s);
	ep->handle = 0;
	ep->list = 0;
	g_clear_pointer(&ep->list_text, g_free);
	ep->lease_end = 0;
	ep->leave_acked_at = 0;
	ep->leaving = false;
	ep->calling = false;
	ep->heartbeat_at = 0;
	ep->capacity.cpu_milli = 1000 * (uint32_t)sim_random(s, 2, 5);
	ep->capacity.memory = 1000 * (uint64_t)sim_random(s, 2, 5);
	ep->capacity.slots = (uint32_t)sim_random(s, 2, 5);
	if (s->faults && !s->worst_clocks)
		ep->behaviour = sim_one_in(s, 8)   ? BEHAVIOUR_FAILS_ALL
				: sim_one_in(s, 4) ? BEHAVIOUR_REPORTS_TWICE
						   : BEHAVIOUR_CORRECT;
}

void
sim_endpoint_kill(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	struct sim_node *n = &s->nodes[endpoint_node(nth)];
	GHashTableIter iter;
	gpointer value;

	n->up = false;
	n->restart_at = s->now + (uint64_t)sim_random(s, 50, 5000);
	g_hash_table_iter_init(&iter, ep->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct run *)value)->state == RUN_RUNNING)
			end_run(value, RUN_FAILED);
	}
	g_hash_table_remove_all(ep->runs);
	s->n_kills++;
	sim_trace(s, "kill %s", ep->name);
}

void
sim_endpoint_leave(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	Gyp__Call call = GYP__CALL__INIT;
	int entry = reachable_entry(s, nth);

	if (ep->handle == 0 || entry < 0)
		return;
	ep->leaving = true;
	call.c_case = GYP__CALL__C_LEAVE;
	call.leave = ep->handle;
	sim_call(s, entry, &call, CALL_TIMEOUT_MS, &leave_ops, ep)->tag =
	    ep->incarnation;
	sim_process_output(s, entry);
}

void
sim_endpoints_init(struct sim *s)
{
	int i;

	s->exchanges = g_ptr_array_new_with_free_func(free_exchange);
	for (i = 0; i < SIM_ENDPOINTS; i++) {
		struct sim_endpoint *ep = g_new0(struct sim_endpoint, 1);
		struct sim_node *n = &s->nodes[endpoint_node(i)];

		s->endpoints[i] = ep;
		ep->runs = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, free_run);
		g_snprintf(ep->name, sizeof(ep->name), "ep-%d", i);
		g_snprintf(n->address, sizeof(n->address), "10.0.1.%d:1", i);
		sim_endpoint_start(s, i);
	}
}

void
sim_endpoints_free(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_ENDPOINTS; i++) {
		g_hash_table_destroy(s->endpoints[i]->runs);
		g_free(s->endpoints[i]->list_text);
		g_free(s->endpoints[i]);
	}
	g_ptr_array_free(s->exchanges, TRUE);
}

void
sim_endpoints_end_faults(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_ENDPOINTS; i++) {
		struct sim_endpoint *ep = s->endpoints[i];

		ep->behaviour = BEHAVIOUR_CORRECT;
		if (s->nodes[endpoint_node(i)].up && ep->leaving)
			sim_endpoint_kill(s, i);
	}
}

bool
sim_endpoints_idle(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_ENDPOINTS; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, s->endpoints[i]->runs);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			if (((struct run *)value)->state == RUN_RUNNING)
				return false;
		}
	}
	return true;
}
