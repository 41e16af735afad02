#include <string.h>

#include "entry.h"
#include "msg.h"

/* Pause before a question about a lost exchange is repeated, in ms. */
#define ASK_MS 500

/* Pause before a replica that knows no leader is left, in ms. */
#define ROTATE_MS 100

/* Time for a report to be committed before it is repeated, in ms. */
#define REPORT_MS 10000

struct call {
	uint64_t id;
	Gyp__Call *msg;
	void *owner;
	uint64_t deadline;
	uint64_t epoch; /* connection that it was sent on, 0 for none */
	uint64_t job;
	bool sent;
	bool report;       /* made by the table itself */
	char *attempt_key; /* of a report */
};

enum phase {
	PHASE_SENDING, /* the start is under way */
	PHASE_RUNNING, /* the endpoint took it and will report */
	PHASE_ASKING,  /* a question is under way or due */
	PHASE_REPORTING
};

struct attempt {
	char *key;
	Gyp__Order *order;
	enum phase phase;
	bool started_here; /* this entry sent the start */
	uint64_t exchange;
	uint64_t ask_at; /* 0 while an exchange is under way */
};

struct gyp_entry_core {
	struct gyp_entry_config cfg;
	GPtrArray *cells; /* addresses, owned */
	uint64_t now;
	uint64_t term;
	uint64_t lease_end;
	guint target;
	bool connected;
	uint64_t epoch; /* rises with each connection or target */
	uint64_t heard; /* last frame, or start of the current target */
	uint64_t rotate_at;
	uint64_t sent_at;
	bool due;
	uint64_t next_id;
	GHashTable *calls;     /* id -> struct call */
	GHashTable *attempts;  /* key -> struct attempt */
	GHashTable *exchanges; /* id -> key of the attempt */
	GQueue frames;         /* GBytes */
	GQueue todo;           /* struct gyp_exchange */
	GQueue answers;        /* struct gyp_answer */
	uint64_t rules_version;
	char *rules;
};

static void
free_call(gpointer p)
{
	struct call *c = p;

	gyp_message_free(c->msg);
	g_free(c->attempt_key);
	g_free(c);
}

static void
free_attempt(gpointer p)
{
	struct attempt *a = p;

	gyp_message_free(a->order);
	g_free(a->key);
	g_free(a);
}

static char *
make_key(const Gyp__Attempt *a)
{
	return g_strdup_printf(
	    "%" G_GINT64_MODIFIER "x.%x.%x", a->job, a->task, a->attempt);
}

/* ---- Choice of replica ------------------------------------------------- */

static const char *
target_address(const struct gyp_entry_core *e)
{
	return e->cells->pdata[e->target];
}

static void
set_target(struct gyp_entry_core *e, guint target)
{
	e->target = target;
	e->epoch++;
	e->heard = e->now;
	e->rotate_at = 0;
	e->due = true;
}

static void
rotate(struct gyp_entry_core *e)
{
	set_target(e, (e->target + 1) % e->cells->len);
}

static void
go_to(struct gyp_entry_core *e, const char *address)
{
	guint i;

	for (i = 0; i < e->cells->len; i++) {
		if (strcmp(e->cells->pdata[i], address) == 0)
			break;
	}
	if (i == e->cells->len)
		g_ptr_array_add(e->cells, g_strdup(address));
	if (i != e->target)
		set_target(e, i);
}

void
gyp_entry_connected(struct gyp_entry_core *e, uint64_t now, const char *address)
{
	e->now = MAX(e->now, now);
	if (strcmp(address, target_address(e)) != 0)
		return;
	e->epoch++;
	e->heard = e->now;
	e->due = true;
	gyp_entry_tick(e, now);
}

void
gyp_entry_disconnected(
    struct gyp_entry_core *e, uint64_t now, const char *address)
{
	e->now = MAX(e->now, now);
	if (strcmp(address, target_address(e)) == 0 && e->rotate_at == 0)
		e->rotate_at = e->now + ROTATE_MS;
}

/* ---- Calls ------------------------------------------------------------- */

static struct call *
add_call(struct gyp_entry_core *e, const Gyp__Call *msg, uint32_t timeout_ms,
    void *owner)
{
	struct call *c = g_new0(struct call, 1);

	c->id = e->next_id++;
	c->msg = gyp_message_copy(&msg->base);
	c->msg->id = c->id;
	c->owner = owner;
	c->deadline = e->now + timeout_ms;
	g_hash_table_insert(e->calls, &c->id, c);
	e->due = true;
	return c;
}

static void
push_answer(struct gyp_entry_core *e, const struct call *c, bool final,
    const Gyp__Reply *reply)
{
	struct gyp_answer *a = g_new0(struct gyp_answer, 1);

	a->call = c->id;
	a->owner = c->owner;
	a->final = final;
	a->sent = c->sent;
	a->job = c->job;
	if (reply != NULL)
		a->reply = gyp_message_copy(&reply->base);
	g_queue_push_tail(&e->answers, a);
}

static void
on_reply(struct gyp_entry_core *e, const Gyp__Reply *reply)
{
	struct call *c = g_hash_table_lookup(e->calls, &reply->id);
	bool final = reply->code != GYP__CODE__CODE_ACCEPTED;

	if (c == NULL)
		return;
	if (c->report) {
		g_hash_table_remove(e->attempts, c->attempt_key);
		g_hash_table_remove(e->calls, &reply->id);
		return;
	}
	if (reply->job != NULL)
		c->job = reply->job->job;
	push_answer(e, c, final, reply);
	if (final)
		g_hash_table_remove(e->calls, &reply->id);
}

static void
expire_calls(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *c = value;

		if (e->now < c->deadline)
			continue;
		if (c->report) {
			c->deadline = e->now + REPORT_MS;
			c->epoch = 0;
			e->due = true;
			continue;
		}
		push_answer(e, c, true, NULL);
		g_hash_table_iter_remove(&iter);
	}
}

/* ---- Attempts ---------------------------------------------------------- */

static void
push_exchange(struct gyp_entry_core *e, struct attempt *a, Gyp__OrderType type)
{
	struct gyp_exchange *x = g_new0(struct gyp_exchange, 1);

	x->id = e->next_id++;
	x->order = gyp_message_copy(&a->order->base);
	x->order->type = type;
	a->exchange = x->id;
	a->ask_at = 0;
	g_hash_table_insert(
	    e->exchanges, g_memdup2(&x->id, sizeof(x->id)), g_strdup(a->key));
	g_queue_push_tail(&e->todo, x);
}

static struct attempt *
add_attempt(struct gyp_entry_core *e, const Gyp__Order *order)
{
	struct attempt *a = g_new0(struct attempt, 1);

	a->key = make_key(order->attempt);
	a->order = gyp_message_copy(&order->base);
	g_hash_table_insert(e->attempts, a->key, a);
	return a;
}

static void
report(struct gyp_entry_core *e, struct attempt *a, Gyp__Outcome outcome,
    const struct gyp_exchange_result *res)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;
	struct call *c;

	f.job = a->order->attempt->job;
	f.task = a->order->attempt->task;
	f.attempt = a->order->attempt->attempt;
	f.outcome = outcome;
	f.http_status = res->http_status;
	f.content_type =
	    res->content_type != NULL ? (char *)res->content_type : "";
	f.reason = res->reason != NULL ? (char *)res->reason : "";
	f.answer.data = (uint8_t *)res->answer;
	f.answer.len = res->answer_len;
	f.answer_dropped = res->answer_dropped;
	msg.c_case = GYP__CALL__C_REPORT;
	msg.report = &f;
	a->phase = PHASE_REPORTING;
	c = add_call(e, &msg, REPORT_MS, NULL);
	c->report = true;
	c->attempt_key = g_strdup(a->key);
}

static void
refuse_start(struct gyp_entry_core *e, struct attempt *a, const char *reason)
{
	struct gyp_exchange_result res = {
	    .fate = GYP_FATE_NOT_STARTED, .reason = reason};

	report(e, a, GYP__OUTCOME__OUTCOME_NOT_RUN, &res);
}

bool
gyp_entry_has_lease(const struct gyp_entry_core *e)
{
	return e->now < e->lease_end;
}

static void
on_start(struct gyp_entry_core *e, const Gyp__Order *order)
{
	struct attempt *a = add_attempt(e, order);

	if (!gyp_entry_has_lease(e)) {
		refuse_start(e, a, "the entry's lease was over");
		return;
	}
	a->phase = PHASE_SENDING;
	a->started_here = true;
	push_exchange(e, a, GYP__ORDER_TYPE__ORDER_START);
}

/* Questions and stops are told apart from starts by the endpoint only. */
static void
on_question(struct gyp_entry_core *e, const Gyp__Order *order)
{
	struct attempt *a = add_attempt(e, order);

	a->phase = PHASE_ASKING;
	push_exchange(e, a, order->type);
}

static void
on_order(struct gyp_entry_core *e, const Gyp__Order *order)
{
	char *key;
	struct attempt *a;

	if (order->attempt == NULL)
		return;
	key = make_key(order->attempt);
	a = g_hash_table_lookup(e->attempts, key);
	g_free(key);
	if (a == NULL && order->type == GYP__ORDER_TYPE__ORDER_START)
		on_start(e, order);
	else if (a == NULL)
		on_question(e, order);
	else if (order->type == GYP__ORDER_TYPE__ORDER_STOP &&
		 a->phase != PHASE_REPORTING)
		push_exchange(e, a, GYP__ORDER_TYPE__ORDER_STOP);
}

static void
forget_or_ask_again(struct gyp_entry_core *e, struct attempt *a)
{
	if (!a->started_here) {
		g_hash_table_remove(e->attempts, a->key);
		return;
	}
	a->phase = PHASE_ASKING;
	a->ask_at = e->now + ASK_MS;
}

static void
settle_attempt(struct gyp_entry_core *e, struct attempt *a,
    const struct gyp_exchange_result *res)
{
	switch (res->fate) {
	case GYP_FATE_DONE:
		report(e, a, GYP__OUTCOME__OUTCOME_DONE, res);
		break;
	case GYP_FATE_FAILED:
		report(e, a, GYP__OUTCOME__OUTCOME_FAILED, res);
		break;
	case GYP_FATE_NOT_STARTED:
		report(e, a, GYP__OUTCOME__OUTCOME_NOT_RUN, res);
		break;
	case GYP_FATE_RUNNING:
		if (a->started_here)
			a->phase = PHASE_RUNNING;
		else
			g_hash_table_remove(e->attempts, a->key);
		break;
	case GYP_FATE_LOST:
	default:
		forget_or_ask_again(e, a);
		break;
	}
}

void
gyp_entry_exchange_done(struct gyp_entry_core *e, uint64_t now,
    uint64_t exchange, const struct gyp_exchange_result *res)
{
	const char *key;
	struct attempt *a;

	e->now = MAX(e->now, now);
	key = g_hash_table_lookup(e->exchanges, &exchange);
	a = key != NULL ? g_hash_table_lookup(e->attempts, key) : NULL;
	g_hash_table_remove(e->exchanges, &exchange);
	/* Once one exchange told the end, the others tell nothing new. */
	if (a != NULL && a->phase != PHASE_REPORTING &&
	    (a->exchange == exchange || res->fate >= GYP_FATE_DONE))
		settle_attempt(e, a, res);
	gyp_entry_tick(e, now);
}

static void
ask_again(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct attempt *a = value;

		if (a->phase == PHASE_ASKING && a->ask_at != 0 &&
		    e->now >= a->ask_at)
			push_exchange(e, a, GYP__ORDER_TYPE__ORDER_QUERY);
	}
}

/* ---- Frames ------------------------------------------------------------ */

static void
take_rules(struct gyp_entry_core *e, const Gyp__EntryDown *down)
{
	if (down->rules_version <= e->rules_version || down->rules[0] == '\0')
		return;
	g_free(e->rules);
	e->rules = g_strdup(down->rules);
	e->rules_version = down->rules_version;
	e->due = true;
}

static void
on_refusal(struct gyp_entry_core *e, const Gyp__EntryDown *down)
{
	if (down->leader_address[0] != '\0')
		go_to(e, down->leader_address);
	else if (e->rotate_at == 0)
		e->rotate_at = e->now + ROTATE_MS;
}

/*
 * A leader of a new term knows nothing of the calls that were sent before,
 * even when it is the same process on the same connection.
 */
static void
follow_term(struct gyp_entry_core *e, uint64_t term)
{
	e->term = term;
	e->epoch++;
	e->due = true;
}

static void
on_down(
    struct gyp_entry_core *e, const char *address, const Gyp__EntryDown *down)
{
	size_t i;

	/* A deposed leader's orders must not be carried out. */
	if (down->term < e->term)
		return;
	if (!down->leader) {
		if (strcmp(address, target_address(e)) == 0)
			on_refusal(e, down);
		return;
	}
	if (down->term > e->term)
		follow_term(e, down->term);
	e->heard = e->now;
	e->rotate_at = 0;
	if (down->round != 0)
		e->lease_end = MAX(e->lease_end, down->round + down->lease_ms);
	take_rules(e, down);
	for (i = 0; i < down->n_replies; i++)
		on_reply(e, down->replies[i]);
	for (i = 0; i < down->n_orders; i++)
		on_order(e, down->orders[i]);
}

void
gyp_entry_receive(struct gyp_entry_core *e, uint64_t now, const char *address,
    const Gyp__Frame *frame)
{
	e->now = MAX(e->now, now);
	if (frame->body_case == GYP__FRAME__BODY_DOWN)
		on_down(e, address, frame->down);
	gyp_entry_tick(e, now);
}

static void
send_up(struct gyp_entry_core *e)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *c = value;

		if (c->epoch == e->epoch)
			continue;
		c->epoch = e->epoch;
		c->sent = true;
		g_ptr_array_add(list, c->msg);
	}
	up.n_calls = list->len;
	up.calls = (Gyp__Call **)list->pdata;
	up.rules_version = e->rules_version;
	up.round = e->now;
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	g_queue_push_tail(&e->frames, gyp_message_pack(&frame.base));
	g_ptr_array_free(list, TRUE);
	e->sent_at = e->now;
	e->due = false;
}

void
gyp_entry_tick(struct gyp_entry_core *e, uint64_t now)
{
	if (e->now == 0)
		e->heard = now;
	e->now = MAX(e->now, now);
	expire_calls(e);
	ask_again(e);
	if ((e->rotate_at != 0 && e->now >= e->rotate_at) ||
	    e->now >= e->heard + e->cfg.silence_ms)
		rotate(e);
	if (e->due || e->now >= e->sent_at + e->cfg.keepalive_ms)
		send_up(e);
}

bool
gyp_entry_pop_frame(
    struct gyp_entry_core *e, const char **address, GBytes **packed)
{
	*packed = g_queue_pop_head(&e->frames);
	*address = target_address(e);
	return *packed != NULL;
}

bool
gyp_entry_pop_exchange(struct gyp_entry_core *e, struct gyp_exchange *x)
{
	struct gyp_exchange *head = g_queue_pop_head(&e->todo);

	if (head == NULL)
		return false;
	*x = *head;
	g_free(head);
	return true;
}

bool
gyp_entry_pop_answer(struct gyp_entry_core *e, struct gyp_answer *a)
{
	struct gyp_answer *head = g_queue_pop_head(&e->answers);

	if (head == NULL)
		return false;
	*a = *head;
	g_free(head);
	return true;
}

/* ---- Door -------------------------------------------------------------- */

uint64_t
gyp_entry_call(struct gyp_entry_core *e, uint64_t now, const Gyp__Call *msg,
    uint32_t timeout_ms, void *owner)
{
	uint64_t id;

	e->now = MAX(e->now, now);
	id = add_call(e, msg, timeout_ms, owner)->id;
	gyp_entry_tick(e, now);
	return id;
}

void
gyp_entry_forget(struct gyp_entry_core *e, uint64_t call)
{
	g_hash_table_remove(e->calls, &call);
}

uint32_t
gyp_entry_open_calls(const struct gyp_entry_core *e)
{
	return g_hash_table_size(e->calls);
}

uint32_t
gyp_entry_open_attempts(const struct gyp_entry_core *e)
{
	return g_hash_table_size(e->attempts);
}

uint64_t
gyp_entry_rules(const struct gyp_entry_core *e, const char **text)
{
	if (text != NULL)
		*text = e->rules;
	return e->rules_version;
}

struct gyp_entry_core *
gyp_entry_new(const struct gyp_entry_config *cfg)
{
	struct gyp_entry_core *e = g_new0(struct gyp_entry_core, 1);
	const char *const *cell;

	e->cfg = *cfg;
	e->cells = g_ptr_array_new_with_free_func(g_free);
	for (cell = cfg->cells; *cell != NULL; cell++)
		g_ptr_array_add(e->cells, g_strdup(*cell));
	g_assert(e->cells->len > 0);
	e->target = (guint)(cfg->id % e->cells->len);
	e->epoch = 1;
	e->next_id = 1;
	e->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
	e->attempts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_attempt);
	e->exchanges =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return e;
}

void
gyp_entry_free(struct gyp_entry_core *e)
{
	struct gyp_exchange x;
	struct gyp_answer a;
	const char *address;
	GBytes *packed;

	if (e == NULL)
		return;
	while (gyp_entry_pop_frame(e, &address, &packed))
		g_bytes_unref(packed);
	while (gyp_entry_pop_exchange(e, &x))
		gyp_message_free(x.order);
	while (gyp_entry_pop_answer(e, &a))
		gyp_message_free(a.reply);
	g_hash_table_destroy(e->calls);
	g_hash_table_destroy(e->exchanges);
	g_hash_table_destroy(e->attempts);
	g_ptr_array_free(e->cells, TRUE);
	g_free(e->rules);
	g_free(e);
}
