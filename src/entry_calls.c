#include "entry_int.h"
#include "msg.h"
#include "mutant.h"

/* Wait for a report to be committed before it is sent again, in ms. */
#define REPORT_TIMEOUT_MS 10000

/* Most bytes of calls in a frame; a larger call is sent alone. */
#define CALL_BYTES_MAX (1024 * 1024)

/* Delay of a heartbeat so that others can share its frame, in ms. */
#define HEARTBEAT_DELAY_MS 50

/* Budget for calls that are sent again: bytes per second, and its maximum. */
#define RESEND_BYTES_PER_S (2 * 1024 * 1024)

void
gyp_entry_free_call(gpointer p)
{
	struct gyp_call *c = p;

	gyp_message_free(c->msg);
	g_free(c->attempt_key);
	g_free(c);
}

/* ---- Messages ---------------------------------------------------------- */

/* Replaces the message of a call without queuing it. */
static void
set_message(struct gyp_entry_core *e, struct gyp_call *c, const Gyp__Call *msg)
{
	e->call_bytes -= c->bytes;
	gyp_message_free(c->msg);
	c->msg = gyp_message_copy(&msg->base);
	c->msg->id = c->id;
	if (c->msg->c_case == GYP__CALL__C_FLOW)
		c->msg->flow->received_ms = e->cell_time;
	c->bytes = protobuf_c_message_get_packed_size(&c->msg->base);
	e->call_bytes += c->bytes;
}

static void
queue_call(struct gyp_entry_core *e, struct gyp_call *c)
{
	c->epoch = 0;
	g_queue_push_tail(&e->unsent, g_memdup2(&c->id, sizeof(c->id)));
	if (c->msg->c_case == GYP__CALL__C_BEAT)
		e->next_frame_at =
		    MIN(e->next_frame_at, e->now + HEARTBEAT_DELAY_MS);
	else
		e->frame_due = true;
}

static void
set_deadline(struct gyp_entry_core *e, struct gyp_call *c, uint32_t timeout_ms)
{
	c->deadline = e->now + timeout_ms;
	e->expire_at = MIN(e->expire_at, c->deadline);
}

static void
remove_call(struct gyp_entry_core *e, struct gyp_call *c)
{
	uint64_t id = c->id;

	e->call_bytes -= c->bytes;
	g_hash_table_remove(e->calls, &id);
}

struct gyp_call *
gyp_entry_add_call(struct gyp_entry_core *e, enum gyp_call_kind kind,
    const Gyp__Call *msg, uint32_t timeout_ms, void *owner)
{
	struct gyp_call *c = g_new0(struct gyp_call, 1);

	c->id = e->next_id++;
	c->kind = kind;
	c->owner = owner;
	set_message(e, c, msg);
	set_deadline(e, c, timeout_ms);
	g_hash_table_insert(e->calls, &c->id, c);
	queue_call(e, c);
	return c;
}

/* ---- Answers ----------------------------------------------------------- */

static void
push_answer(struct gyp_entry_core *e, const struct gyp_call *c, bool final,
    const Gyp__Reply *reply)
{
	struct gyp_answer *a = g_new0(struct gyp_answer, 1);

	a->call = c->id;
	a->owner = c->owner;
	a->final = final;
	a->sent = c->sends > 0;
	a->job = c->job;
	a->refused = c->kind == GYP_CALL_REFUSAL && reply != NULL &&
		     reply->code == GYP__CODE__CODE_REFUSED;
	a->refused |= GYP_MUTANT(UNANSWERED_NOT_RUN) && reply == NULL;
	if (reply != NULL)
		a->reply = gyp_message_copy(&reply->base);
	g_queue_push_tail(&e->answers, a);
}

/*
 * Replaces an accepted submit by a subscription to the job's end, so that the
 * specification is not sent again.
 */
static void
subscribe_to_end(struct gyp_entry_core *e, struct gyp_call *c)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__ReadJob read = GYP__READ_JOB__INIT;

	read.job = c->job;
	read.answer = true;
	read.subscribe = true;
	msg.c_case = GYP__CALL__C_READ_JOB;
	msg.read_job = &read;
	set_message(e, c, &msg);
}

/*
 * Replaces the submit by the refusal of its key. The submit may still be in
 * transit; it has no effect once the refusal is committed. If a job has the key
 * by then, the refusal leaves it alone and the reply is the job's state.
 */
static void
refuse_key(struct gyp_entry_core *e, struct gyp_call *c)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;
	Gyp__Call *submit = c->msg;

	cancel.team = submit->submit->spec->team;
	cancel.key = submit->submit->spec->key;
	cancel.reason = "not accepted in time";
	cancel.unless_job = true;
	msg.c_case = GYP__CALL__C_CANCEL;
	msg.cancel = &cancel;
	c->msg = NULL;
	set_message(e, c, &msg);
	gyp_message_free(submit);
	c->kind = GYP_CALL_REFUSAL;
	set_deadline(e, c, GYP_KEY_REFUSAL_MS);
	queue_call(e, c);
}

static void
on_report_reply(struct gyp_entry_core *e, struct gyp_call *c)
{
	g_hash_table_remove(e->attempts, c->attempt_key);
	remove_call(e, c);
}

/*
 * True if a flow is refused that was sent before: the replica does not know
 * whether an earlier copy that is still in transit will be accepted. That copy
 * may also have been accepted by a manifest that is no longer in force, with
 * other routes and keys. A flow without a key is never accepted where one is
 * required.
 */
static bool
is_uncertain_refusal(const struct gyp_call *c, const Gyp__Reply *reply)
{
	return c->msg->c_case == GYP__CALL__C_FLOW &&
	       c->msg->flow->submit != NULL && c->sends > 1 &&
	       reply->code != GYP__CODE__CODE_OK &&
	       reply->code != GYP__CODE__CODE_ACCEPTED &&
	       (reply->code != GYP__CODE__CODE_UNAUTHENTICATED ||
		   c->msg->flow->key_digest.len > 0);
}

void
gyp_entry_on_reply(struct gyp_entry_core *e, const Gyp__Reply *reply)
{
	struct gyp_call *c = g_hash_table_lookup(e->calls, &reply->id);
	bool final = reply->code != GYP__CODE__CODE_ACCEPTED;

	if (c == NULL)
		return;
	if (c->kind == GYP_CALL_REPORT) {
		on_report_reply(e, c);
		return;
	}
	if (is_uncertain_refusal(c, reply)) {
		push_answer(e, c, true, NULL);
		remove_call(e, c);
		return;
	}
	/* An earlier sending of this submit may have been accepted. */
	if (c->kind == GYP_CALL_SUBMIT && c->sends > 1 &&
	    reply->code == GYP__CODE__CODE_BUSY) {
		refuse_key(e, c);
		return;
	}
	if (reply->job != NULL && c->job == 0) {
		c->job = reply->job->job;
		if (!final && c->kind == GYP_CALL_SUBMIT)
			subscribe_to_end(e, c);
	}
	final = final || c->kind == GYP_CALL_REFUSAL;
	push_answer(e, c, final, reply);
	if (final)
		remove_call(e, c);
}

/* ---- Timeouts and outages ---------------------------------------------- */

/* Returns true when the call is to be removed. */
static bool
expire_call(struct gyp_entry_core *e, struct gyp_call *c)
{
	if (c->kind == GYP_CALL_REPORT) {
		set_deadline(e, c, REPORT_TIMEOUT_MS);
		queue_call(e, c);
		return false;
	}
	if (c->kind == GYP_CALL_SUBMIT && c->job == 0 && c->sends > 0 &&
	    !GYP_MUTANT(UNANSWERED_NOT_RUN)) {
		refuse_key(e, c);
		return false;
	}
	push_answer(e, c, true, NULL);
	e->call_bytes -= c->bytes;
	return true;
}

void
gyp_entry_expire_calls(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	if (e->now < e->expire_at)
		return;
	e->expire_at = UINT64_MAX;
	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gyp_call *c = value;

		if (e->now >= c->deadline && expire_call(e, c))
			g_hash_table_iter_remove(&iter);
		else
			e->expire_at = MIN(e->expire_at, c->deadline);
	}
}

uint64_t
gyp_entry_outage_ms(const struct gyp_entry_core *e, uint64_t now)
{
	if (e->leader_epoch == e->epoch || e->leader_seen_at == 0 ||
	    now <= e->leader_seen_at)
		return 0;
	return now - e->leader_seen_at;
}

static bool
in_outage(const struct gyp_entry_core *e)
{
	return gyp_entry_outage_ms(e, e->now) >= GYP_OUTAGE_THRESHOLD_MS;
}

void
gyp_entry_shed_calls(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	if (!in_outage(e))
		return;
	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gyp_call *c = value;

		if (c->msg->c_case != GYP__CALL__C_FLOW || c->sends > 0)
			continue;
		push_answer(e, c, true, NULL);
		e->call_bytes -= c->bytes;
		g_hash_table_iter_remove(&iter);
	}
}

/* ---- Sending ----------------------------------------------------------- */

static gint
by_id(gconstpointer a, gconstpointer b, gpointer user)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	(void)user;
	return x < y ? -1 : x > y;
}

void
gyp_entry_requeue_calls(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	g_queue_clear_full(&e->unsent, g_free);
	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		queue_call(e, value);
	g_queue_sort(&e->unsent, by_id, NULL);
}

/*
 * Limits calls that are sent again, so that they don't double the load on an
 * overloaded cell. Returns false when the budget is used up.
 */
static bool
take_resend_budget(struct gyp_entry_core *e, const struct gyp_call *c)
{
	if (c->sends == 0)
		return true;
	if (e->resend_bytes < c->bytes)
		return false;
	e->resend_bytes -= c->bytes;
	return true;
}

static void
refill_resend_budget(struct gyp_entry_core *e)
{
	uint64_t elapsed = e->now - e->refilled_at;

	e->refilled_at = e->now;
	e->resend_bytes = MIN(RESEND_BYTES_PER_S,
	    e->resend_bytes + MIN(elapsed, 1000) * (RESEND_BYTES_PER_S / 1000));
}

void
gyp_entry_append_unsent_calls(struct gyp_entry_core *e, GPtrArray *list)
{
	size_t bytes = 0;
	uint64_t *id;

	refill_resend_budget(e);
	while ((id = g_queue_peek_head(&e->unsent)) != NULL) {
		struct gyp_call *c = g_hash_table_lookup(e->calls, id);

		if (c != NULL && c->epoch != e->epoch) {
			if ((bytes > 0 && bytes + c->bytes > CALL_BYTES_MAX) ||
			    !take_resend_budget(e, c))
				return;
			bytes += c->bytes;
			c->epoch = e->epoch;
			c->sends++;
			g_ptr_array_add(list, c->msg);
		}
		g_free(g_queue_pop_head(&e->unsent));
	}
}

/* ---- Public functions -------------------------------------------------- */

uint64_t
gyp_entry_call(struct gyp_entry_core *e, uint64_t now, const Gyp__Call *msg,
    uint32_t timeout_ms, void *owner)
{
	enum gyp_call_kind kind = msg->c_case == GYP__CALL__C_SUBMIT
				      ? GYP_CALL_SUBMIT
				      : GYP_CALL_PLAIN;
	uint64_t id;

	e->now = MAX(e->now, now);
	if (g_hash_table_size(e->calls) >= GYP_ENTRY_CALLS_MAX ||
	    e->call_bytes >= GYP_ENTRY_BYTES_MAX ||
	    (msg->c_case == GYP__CALL__C_FLOW && in_outage(e)))
		return 0;
	id = gyp_entry_add_call(e, kind, msg, timeout_ms, owner)->id;
	gyp_entry_tick(e, now);
	return id;
}

void
gyp_entry_drop_call(struct gyp_entry_core *e, uint64_t call)
{
	struct gyp_call *c = g_hash_table_lookup(e->calls, &call);

	if (c != NULL)
		remove_call(e, c);
}

uint32_t
gyp_entry_open_calls(const struct gyp_entry_core *e)
{
	return g_hash_table_size(e->calls);
}
