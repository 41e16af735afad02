#include <string.h>

#include "mutant.h"
#include "sim.h"

/* Interval of heartbeats and time for a call of an endpoint, in ms. */
#define BEAT_MS 300
#define CALL_MS 1500

/* Time that an endpoint stays after its leave was acknowledged, in ms. */
#define LEFT_MS 6000

enum run_state { RUN_RUNNING, RUN_DONE, RUN_FAILED, RUN_REFUSED };

/* How an endpoint treats its work. */
enum manner { MANNER_GOOD, MANNER_FAILS_ALL, MANNER_ANSWERS_TWICE };

struct run {
	uint64_t nr;
	char *key;
	Gyp__Attempt at;
	struct sim_job *job;
	struct gyp_res size;
	enum run_state state;
	uint64_t end; /* virtual time */
	bool async;
	uint32_t to_deliver; /* reports still to be made */
	bool delivering;
	uint64_t deliver_at;
	char *answer;
};

/* An exchange on its way, out or back. */
struct sim_exchange {
	uint64_t due;
	int entry;
	uint64_t life; /* of the entry */
	uint64_t id;
	Gyp__Order *order;
	bool back;
	bool waits; /* at the endpoint, for the end of its run */
	enum gyp_attempt_state state;
	char *answer;
};

struct sim_endpoint {
	char name[16];
	uint64_t incarnation;
	uint64_t handle; /* 0 before the announcement */
	struct gyp_res capacity;
	enum manner manner;
	uint64_t lease_end; /* own clock */
	uint64_t beat_at;
	bool calling;
	bool leaving;
	uint64_t left_at; /* the leave was acknowledged, 0 for not yet */
	uint32_t counter;
	uint32_t list;    /* number of the list of runs last sent */
	char *list_text;  /* and its contents; NULL to send it anew */
	GHashTable *runs; /* attempt -> struct run */
};

static int
node_of(int nth)
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

/* ---- Truth about runs -------------------------------------------------- */

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
		sim_fail(s, "%s runs more than it holds: cpu %u of %u",
		    ep->name, sum.cpu_milli, ep->capacity.cpu_milli);
}

static void
note_start(struct sim *s, const struct sim_endpoint *ep, const struct run *r)
{
	struct sim_job *job = r->job;
	uint32_t t = r->at.task;

	s->n_starts++;
	if (job->running[t] > 0)
		sim_fail(s, "%s task %u runs in two places", job->key, t);
	if (!job->spec.idempotent && job->starts[t] > 0)
		sim_fail(s, "%s task %u is not idempotent and starts again",
		    job->key, t);
	if (job->not_run[t])
		sim_fail(
		    s, "%s task %u starts after not_run was told", job->key, t);
	if (ep->left_at != 0 && s->now > ep->left_at + SIM_LEAVE_BOUND_MS)
		sim_fail(s,
		    "%s gets a start %" G_GUINT64_FORMAT
		    " ms after its leave was acknowledged",
		    ep->name, s->now - ep->left_at);
	job->starts[t]++;
	job->running[t]++;
	check_capacity(s, ep);
}

static void
end_run(struct run *r, enum run_state state)
{
	char *produced;

	g_assert(r->job != NULL && r->state == RUN_RUNNING);
	r->job->running[r->at.task]--;
	r->state = state;
	if (state != RUN_DONE)
		return;
	produced = g_strdup_printf("%u %s", r->at.task, r->answer);
	g_hash_table_add(r->job->answers, produced);
}

/* ---- Attempts at an endpoint ------------------------------------------- */

static char *
make_key(const Gyp__Attempt *a)
{
	return g_strdup_printf(
	    "%" G_GINT64_MODIFIER "x.%x.%x", a->job, a->task, a->attempt);
}

static struct run *
find_run(struct sim_endpoint *ep, const Gyp__Attempt *a)
{
	char *key = make_key(a);
	struct run *r = g_hash_table_lookup(ep->runs, key);

	g_free(key);
	return r;
}

static struct run *
new_run(struct sim_endpoint *ep, const Gyp__Attempt *a, enum run_state state)
{
	struct run *r = g_new0(struct run, 1);

	r->key = make_key(a);
	r->at = *a;
	r->state = state;
	g_hash_table_insert(ep->runs, r->key, r);
	return r;
}

static char *
draw_answer(struct sim *s, struct sim_endpoint *ep, const struct run *r)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s ran %s as %s nr %u ", ep->name, r->job->key,
	    r->key, ep->counter++);
	if (sim_one_in(s, 20))
		g_string_append_printf(text, "%*s", 3000, "long");
	return g_string_free(text, FALSE);
}

static void
start_run(struct sim *s, int nth, const Gyp__Order *order)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	uint64_t clock = sim_clock(s, node_of(nth));
	char *key =
	    g_strndup((const char *)order->payload.data, order->payload.len);
	struct run *r;

	if (clock > order->not_after_ms || clock > ep->lease_end) {
		new_run(ep, order->attempt, RUN_REFUSED);
		g_free(key);
		return;
	}
	r = new_run(ep, order->attempt, RUN_RUNNING);
	r->nr = sim_new_id(s);
	r->job = g_hash_table_lookup(s->by_key, key);
	g_assert(r->job != NULL && r->at.task < r->job->spec.tasks);
	r->size = gyp_res_from(order->size);
	r->async = order->kind != GYP__KIND__KIND_REQUEST;
	r->end = s->now + (uint64_t)sim_pick(s, 10, 800);
	if (order->kind == GYP__KIND__KIND_WATCHER)
		r->end = UINT64_MAX;
	if (ep->manner == MANNER_FAILS_ALL)
		r->end = s->now + 5;
	if (sim_one_in(s, 30) && r->end != UINT64_MAX)
		r->end += 5000;
	r->answer = draw_answer(s, ep, r);
	r->to_deliver = ep->manner == MANNER_ANSWERS_TWICE ? 2 : 1;
	sim_trace(s, "%s starts %s of %s", ep->name, r->key, key);
	note_start(s, ep, r);
	g_free(key);
}

static enum gyp_attempt_state
fate_of(const struct run *r)
{
	static const enum gyp_attempt_state fates[] = {
	    [RUN_RUNNING] = GYP_ATTEMPT_RUNNING,
	    [RUN_DONE] = GYP_ATTEMPT_DONE,
	    [RUN_FAILED] = GYP_ATTEMPT_FAILED,
	    [RUN_REFUSED] = GYP_ATTEMPT_NOT_STARTED};

	return fates[r->state];
}

/* A question about an attempt never seen refuses it from then on. */
static struct run *
take_order(struct sim *s, int nth, const Gyp__Order *order)
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
endpoint_of(const char *address)
{
	return address[strlen("10.0.1.")] - '0';
}

static void
send_back(struct sim *s, struct sim_exchange *x, enum gyp_attempt_state state,
    const char *answer)
{
	x->back = true;
	x->waits = false;
	x->state = state;
	x->answer = g_strdup(answer);
	x->due = s->now + (uint64_t)sim_pick(s, 0, 30);
	if (s->faults && sim_one_in(s, 25))
		x->state = GYP_ATTEMPT_UNKNOWN;
}

void
sim_exchange(struct sim *s, int entry, struct gyp_exchange *x)
{
	struct sim_exchange *sx = g_new0(struct sim_exchange, 1);

	sx->due = s->now + (uint64_t)(sim_one_in(s, 20) ? sim_pick(s, 0, 1500)
							: sim_pick(s, 0, 20));
	sx->entry = entry;
	sx->life = s->nodes[entry].life;
	sx->id = x->id;
	sx->order = x->order;
	if (x->order->type == GYP__ORDER_TYPE__ORDER_START &&
	    sim_clock(s, entry) >= x->send_by)
		send_back(s, sx, GYP_ATTEMPT_NOT_STARTED, NULL);
	g_ptr_array_add(s->pool, sx);
}

static void
arrive(struct sim *s, struct sim_exchange *x)
{
	int nth = endpoint_of(x->order->address);
	bool start = x->order->type == GYP__ORDER_TYPE__ORDER_START;
	struct run *r;

	if (s->faults && sim_one_in(s, 40)) {
		send_back(s, x, GYP_ATTEMPT_UNKNOWN, NULL);
		return;
	}
	if (!s->nodes[node_of(nth)].up) { /* no connection is made */
		send_back(s, x,
		    start ? GYP_ATTEMPT_NOT_STARTED : GYP_ATTEMPT_UNKNOWN,
		    NULL);
		return;
	}
	/* An earlier life may have run it; only of a start can one be sure. */
	if (x->order->incarnation != s->endpoints[nth]->incarnation &&
	    !GYP_MUTANT(NO_INCARNATION)) {
		send_back(s, x,
		    start ? GYP_ATTEMPT_NOT_STARTED : GYP_ATTEMPT_UNKNOWN,
		    NULL);
		return;
	}
	r = take_order(s, nth, x->order);
	sim_trace(s, "ep-%d order type %d attempt %s state %d", nth,
	    x->order->type, r->key, r->state);
	if (start && r->state == RUN_RUNNING && !r->async)
		x->waits = true;
	else
		send_back(
		    s, x, fate_of(r), r->state == RUN_DONE ? r->answer : NULL);
}

static void
check_waiting(struct sim *s, struct sim_exchange *x)
{
	int nth = endpoint_of(x->order->address);
	struct run *r = NULL;

	if (s->nodes[node_of(nth)].up)
		r = find_run(s->endpoints[nth], x->order->attempt);
	if (r == NULL)
		send_back(s, x, GYP_ATTEMPT_UNKNOWN, NULL);
	else if (r->state != RUN_RUNNING)
		send_back(
		    s, x, fate_of(r), r->state == RUN_DONE ? r->answer : NULL);
}

static void
come_back(struct sim *s, struct sim_exchange *x)
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
	sim_pump(s, x->entry);
}

static bool
is_cut(const struct sim *s, const struct sim_exchange *x)
{
	int node = node_of(endpoint_of(x->order->address));

	return x->back ? s->cut[node][x->entry] : s->cut[x->entry][node];
}

/* True when the exchange is over. */
static bool
step_exchange(struct sim *s, struct sim_exchange *x)
{
	struct sim_node *n = &s->nodes[x->entry];

	if (x->waits) {
		check_waiting(s, x);
		return false;
	}
	if (s->now < x->due || is_cut(s, x))
		return false;
	if (!x->back) {
		arrive(s, x);
		return false;
	}
	if (!n->up || n->life != x->life)
		return true;
	if (!sim_runs(s, x->entry))
		return false;
	come_back(s, x);
	return true;
}

void
sim_step_pool(struct sim *s)
{
	guint i = 0;

	while (i < s->pool->len) {
		struct sim_exchange *x = s->pool->pdata[i];

		if (step_exchange(s, x))
			g_ptr_array_remove_index(s->pool, i);
		else
			i++;
	}
}

/* ---- Calls to entries -------------------------------------------------- */

static void
on_beat_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
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

static const struct sim_call_ops beat_ops = {on_beat_answer};

static void
on_leave_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_endpoint *ep = c->subject;

	if (c->tag == ep->incarnation && a != NULL && a->reply != NULL &&
	    a->reply->code == GYP__CODE__CODE_OK && ep->left_at == 0) {
		ep->left_at = s->now;
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
	cmd.address = s->nodes[node_of(nth)].address;
	cmd.rack = nth % 2 ? "rack-1" : "rack-2";
	cmd.data_centre = nth % 3 ? "dc-1" : "dc-2";
	cmd.capacity = &capacity;
	cmd.connections = 64;
	cmd.incarnation = ep->incarnation;
	call.c_case = GYP__CALL__C_ANNOUNCE;
	call.announce = &cmd;
	return sim_call(s, entry, &call, CALL_MS, &beat_ops, ep);
}

static struct sim_call *
beat(struct sim *s, int nth, int entry)
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
		g_ptr_array_add(running, &r->at);
		g_string_append(text, r->key);
	}
	msg.unchanged = g_strcmp0(text->str, ep->list_text) == 0;
	g_free(ep->list_text);
	ep->list_text = g_string_free(text, FALSE);
	ep->list += !msg.unchanged;
	msg.list = ep->list;
	msg.incarnation = ep->incarnation;
	msg.endpoint = ep->handle;
	msg.clock_ms = sim_clock(s, node_of(nth));
	msg.used = &used;
	msg.n_running = msg.unchanged ? 0 : running->len;
	msg.running = (Gyp__Attempt **)running->pdata;
	call.c_case = GYP__CALL__C_BEAT;
	call.beat = &msg;
	c = sim_call(s, entry, &call, CALL_MS, &beat_ops, ep);
	g_ptr_array_free(running, TRUE);
	return c;
}

static int
reachable_entry(struct sim *s, int nth)
{
	int e = sim_any_entry(s);

	if (e < 0 || s->cut[node_of(nth)][e] || s->cut[e][node_of(nth)] ||
	    (s->faults && sim_one_in(s, 20)))
		return -1;
	return e;
}

static void
send_beat(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	int entry = reachable_entry(s, nth);
	struct sim_call *c;

	ep->beat_at = s->now + BEAT_MS;
	if (entry < 0 || (ep->handle == 0 && ep->leaving))
		return;
	ep->calling = true;
	c = ep->handle == 0 ? announce(s, nth, entry) : beat(s, nth, entry);
	c->sent_at = sim_clock(s, node_of(nth));
	c->tag = ep->incarnation;
	sim_pump(s, entry);
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

		if (r->nr != c->tag)
			continue;
		r->delivering = false;
		if (a != NULL && a->reply != NULL && r->to_deliver > 0 &&
		    !(s->faults && sim_one_in(s, 20)))
			r->to_deliver--;
	}
}

static const struct sim_call_ops report_ops = {on_report_answer};

/* The end of an attempt that was taken with 202. */
static void
report(struct sim *s, int nth, struct run *r, uint32_t attempt)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;
	int entry = reachable_entry(s, nth);

	if (entry < 0)
		return;
	f.job = r->at.job;
	f.task = r->at.task;
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
	r->delivering = attempt == r->at.attempt;
	sim_call(s, entry, &call, CALL_MS, &report_ops, s->endpoints[nth])
	    ->tag = r->delivering ? r->nr : 0;
	sim_pump(s, entry);
}

/* ---- Steps ------------------------------------------------------------- */

static void
step_run(struct sim *s, int nth, struct run *r)
{
	struct sim_endpoint *ep = s->endpoints[nth];

	if (r->state == RUN_RUNNING &&
	    sim_clock(s, node_of(nth)) > ep->lease_end)
		end_run(r, RUN_FAILED);
	else if (r->state == RUN_RUNNING && s->now >= r->end)
		end_run(r, ep->manner == MANNER_FAILS_ALL || sim_one_in(s, 25)
			       ? RUN_FAILED
			       : RUN_DONE);
	if (!r->async || r->state == RUN_RUNNING || r->state == RUN_REFUSED ||
	    r->to_deliver == 0 || r->delivering || s->now < r->deliver_at)
		return;
	r->deliver_at = s->now + 300;
	if (ep->manner == MANNER_ANSWERS_TWICE && r->at.attempt > 1)
		report(s, nth, r, r->at.attempt - 1);
	report(s, nth, r, r->at.attempt);
}

static void
step_endpoint(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	GHashTableIter iter;
	gpointer value;

	if (!ep->calling && s->now >= ep->beat_at)
		send_beat(s, nth);
	g_hash_table_iter_init(&iter, ep->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		step_run(s, nth, value);
}

/* A while after its leave it goes; its next life announces itself anew. */
static bool
has_left(const struct sim *s, int nth)
{
	const struct sim_endpoint *ep = s->endpoints[nth];

	return ep->left_at != 0 && s->now > ep->left_at + LEFT_MS;
}

void
sim_step_endpoints(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_ENDPOINTS; i++) {
		struct sim_node *n = &s->nodes[node_of(i)];

		if (n->up && has_left(s, i))
			sim_endpoint_kill(s, i);
		else if (n->up)
			step_endpoint(s, i);
		else if (s->now >= n->restart_at)
			sim_endpoint_start(s, i);
	}
}

/* ---- Lives ------------------------------------------------------------- */

/* A new life has the same name and address, other capacity and clock. */
void
sim_endpoint_start(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	struct sim_node *n = &s->nodes[node_of(nth)];

	n->up = true;
	n->life++;
	n->clock_offset = (uint64_t)sim_pick(s, 1, 1000000);
	n->clock_ppm = s->slow_clocks
			   ? -SIM_PPM_MAX
			   : sim_pick(s, -SIM_PPM_MAX, SIM_PPM_MAX + 1);
	ep->incarnation = sim_new_id(s);
	ep->handle = 0;
	ep->list = 0;
	g_clear_pointer(&ep->list_text, g_free);
	ep->lease_end = 0;
	ep->left_at = 0;
	ep->leaving = false;
	ep->calling = false;
	ep->beat_at = 0;
	ep->capacity.cpu_milli = 1000 * (uint32_t)sim_pick(s, 2, 5);
	ep->capacity.memory = 1000 * (uint64_t)sim_pick(s, 2, 5);
	ep->capacity.slots = (uint32_t)sim_pick(s, 2, 5);
	if (s->faults && !s->slow_clocks)
		ep->manner = sim_one_in(s, 8)   ? MANNER_FAILS_ALL
			     : sim_one_in(s, 4) ? MANNER_ANSWERS_TWICE
						: MANNER_GOOD;
}

void
sim_endpoint_kill(struct sim *s, int nth)
{
	struct sim_endpoint *ep = s->endpoints[nth];
	struct sim_node *n = &s->nodes[node_of(nth)];
	GHashTableIter iter;
	gpointer value;

	n->up = false;
	n->restart_at = s->now + (uint64_t)sim_pick(s, 50, 5000);
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
	sim_call(s, entry, &call, CALL_MS, &leave_ops, ep)->tag =
	    ep->incarnation;
	sim_pump(s, entry);
}

void
sim_endpoints_init(struct sim *s)
{
	int i;

	s->pool = g_ptr_array_new_with_free_func(free_exchange);
	for (i = 0; i < SIM_ENDPOINTS; i++) {
		struct sim_endpoint *ep = g_new0(struct sim_endpoint, 1);
		struct sim_node *n = &s->nodes[node_of(i)];

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
	g_ptr_array_free(s->pool, TRUE);
}

void
sim_endpoints_all_good(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_ENDPOINTS; i++) {
		struct sim_endpoint *ep = s->endpoints[i];

		ep->manner = MANNER_GOOD;
		if (s->nodes[node_of(i)].up && ep->leaving)
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
