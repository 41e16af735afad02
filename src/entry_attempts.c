#include "entry_int.h"
#include "msg.h"

/*
 * Bounds of the delay before an attempt in an unknown state is queried, in ms.
 */
#define QUERY_DELAY_MIN_MS 500
#define QUERY_DELAY_MAX_MS 30000

/* Interval of sending due queries and dropping old starts, in ms. */
#define SWEEP_INTERVAL_MS 50

/* Wait for a report to be committed before it is sent again, in ms. */
#define REPORT_TIMEOUT_MS 10000

void
gyp_entry_free_attempt(gpointer p)
{
	struct gyp_entry_attempt *a = p;

	gyp_message_free(a->order);
	g_free(a->key);
	g_free(a);
}

static char *
format_attempt_key(const Gyp__Attempt *a)
{
	return g_strdup_printf(
	    "%" G_GINT64_MODIFIER "x.%x.%x", a->job, a->task, a->attempt);
}

/* ---- Exchanges --------------------------------------------------------- */

static void
drop_payload(Gyp__Order *order)
{
	g_free(order->payload.data);
	order->payload.data = NULL;
	order->payload.len = 0;
}

/* Queues an exchange for the order and returns its id. */
static uint64_t
push_exchange(struct gyp_entry_core *e, struct gyp_entry_attempt *a,
    const Gyp__Order *order)
{
	struct gyp_exchange *x = g_new0(struct gyp_exchange, 1);

	x->id = e->next_id++;
	x->order = gyp_message_copy(&order->base);
	if (order->type == GYP__ORDER_TYPE__ORDER_START)
		x->send_by = MIN(e->now + order->valid_ms, e->lease_end);
	g_hash_table_insert(
	    e->exchanges, g_memdup2(&x->id, sizeof(x->id)), g_strdup(a->key));
	g_queue_push_tail(&e->new_exchanges, x);
	return x->id;
}

static void
query_endpoint(struct gyp_entry_core *e, struct gyp_entry_attempt *a)
{
	Gyp__Order query = *a->order;

	query.type = GYP__ORDER_TYPE__ORDER_QUERY;
	a->query_at = 0;
	a->exchange = push_exchange(e, a, &query);
}

static struct gyp_entry_attempt *
add_attempt(struct gyp_entry_core *e, const Gyp__Order *order)
{
	struct gyp_entry_attempt *a = g_new0(struct gyp_entry_attempt, 1);

	a->key = format_attempt_key(order->attempt);
	a->order = gyp_message_copy(&order->base);
	drop_payload(a->order);
	a->query_delay_ms = QUERY_DELAY_MIN_MS;
	g_hash_table_insert(e->attempts, a->key, a);
	return a;
}

/* ---- Reports ----------------------------------------------------------- */

static void
report_outcome(struct gyp_entry_core *e, struct gyp_entry_attempt *a,
    Gyp__Outcome outcome, const struct gyp_exchange_result *res)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;
	struct gyp_call *c;

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
	f.checkpointed = res->state == GYP_ATTEMPT_CHECKPOINTED;
	msg.c_case = GYP__CALL__C_REPORT;
	msg.report = &f;
	a->phase = GYP_PHASE_REPORTING;
	c = gyp_entry_add_call(
	    e, GYP_CALL_REPORT, &msg, REPORT_TIMEOUT_MS, NULL);
	c->attempt_key = g_strdup(a->key);
}

/* ---- Orders ------------------------------------------------------------ */

bool
gyp_entry_has_lease(const struct gyp_entry_core *e)
{
	return e->now < e->lease_end;
}

static void
on_start(struct gyp_entry_core *e, const Gyp__Order *order)
{
	struct gyp_entry_attempt *a = add_attempt(e, order);
	struct gyp_exchange_result expired = {.state = GYP_ATTEMPT_NOT_STARTED,
	    .reason = "the entry's lease was over"};

	if (!gyp_entry_has_lease(e)) {
		report_outcome(e, a, GYP__OUTCOME__OUTCOME_NOT_RUN, &expired);
		return;
	}
	a->phase = GYP_PHASE_SENDING;
	a->started_here = true;
	a->exchange = push_exchange(e, a, order);
}

/*
 * Handles an order for an attempt that is already in the table. A query that
 * arrives while the start is open makes an extra exchange, because the start
 * may hang on a connection that was cut without notice. The start's exchange
 * stays the one whose result counts, unless the query returns a final state.
 */
static void
on_known_attempt(struct gyp_entry_core *e, struct gyp_entry_attempt *a,
    const Gyp__Order *order)
{
	if (a->phase == GYP_PHASE_REPORTING ||
	    order->type == GYP__ORDER_TYPE__ORDER_START)
		return;
	if (order->type != GYP__ORDER_TYPE__ORDER_QUERY ||
	    a->phase == GYP_PHASE_SENDING) {
		push_exchange(e, a, order);
		return;
	}
	if (a->phase == GYP_PHASE_RUNNING || a->query_at != 0) {
		a->phase = GYP_PHASE_QUERYING;
		query_endpoint(e, a);
	}
}

void
gyp_entry_on_order(struct gyp_entry_core *e, const Gyp__Order *order)
{
	struct gyp_entry_attempt *a;
	char *key;

	if (order->attempt == NULL)
		return;
	key = format_attempt_key(order->attempt);
	a = g_hash_table_lookup(e->attempts, key);
	g_free(key);
	if (a != NULL) {
		on_known_attempt(e, a, order);
	} else if (order->type == GYP__ORDER_TYPE__ORDER_START) {
		on_start(e, order);
	} else {
		a = add_attempt(e, order);
		a->phase = GYP_PHASE_QUERYING;
		a->exchange = push_exchange(e, a, order);
	}
}

/* ---- Results ----------------------------------------------------------- */

/*
 * The entry queries attempts of unknown state that it started itself. Others it
 * drops: the leader queries them again.
 */
static void
drop_or_schedule_query(struct gyp_entry_core *e, struct gyp_entry_attempt *a)
{
	if (!a->started_here) {
		g_hash_table_remove(e->attempts, a->key);
		return;
	}
	a->phase = GYP_PHASE_QUERYING;
	a->query_at = e->now + a->query_delay_ms;
	a->query_delay_ms = MIN(a->query_delay_ms * 2, QUERY_DELAY_MAX_MS);
}

static void
handle_result(struct gyp_entry_core *e, struct gyp_entry_attempt *a,
    const struct gyp_exchange_result *res)
{
	switch (res->state) {
	case GYP_ATTEMPT_DONE:
		report_outcome(e, a, GYP__OUTCOME__OUTCOME_DONE, res);
		break;
	case GYP_ATTEMPT_FAILED:
	case GYP_ATTEMPT_CHECKPOINTED:
		report_outcome(e, a, GYP__OUTCOME__OUTCOME_FAILED, res);
		break;
	case GYP_ATTEMPT_NOT_STARTED:
		report_outcome(e, a, GYP__OUTCOME__OUTCOME_NOT_RUN, res);
		break;
	case GYP_ATTEMPT_RUNNING:
		a->phase = GYP_PHASE_RUNNING;
		if (!a->started_here)
			g_hash_table_remove(e->attempts, a->key);
		break;
	case GYP_ATTEMPT_UNKNOWN:
	default:
		drop_or_schedule_query(e, a);
		break;
	}
}

static bool
is_final(enum gyp_attempt_state state)
{
	return state != GYP_ATTEMPT_UNKNOWN && state != GYP_ATTEMPT_RUNNING;
}

/*
 * Once an exchange has returned a final state, results of the attempt's other
 * exchanges are ignored.
 */
void
gyp_entry_exchange_done(struct gyp_entry_core *e, uint64_t now,
    uint64_t exchange, const struct gyp_exchange_result *res)
{
	const char *key;
	struct gyp_entry_attempt *a;

	e->now = MAX(e->now, now);
	key = g_hash_table_lookup(e->exchanges, &exchange);
	a = key != NULL ? g_hash_table_lookup(e->attempts, key) : NULL;
	g_hash_table_remove(e->exchanges, &exchange);
	if (a != NULL && a->phase != GYP_PHASE_REPORTING &&
	    (a->exchange == exchange || is_final(res->state)))
		handle_result(e, a, res);
	gyp_entry_tick(e, now);
}

/* ---- Periodic work ----------------------------------------------------- */

static void
send_due_queries(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gyp_entry_attempt *a = value;

		if (a->phase == GYP_PHASE_QUERYING && a->query_at != 0 &&
		    e->now >= a->query_at)
			query_endpoint(e, a);
	}
}

/*
 * True if the state is unknown and the delay of the entry's queries has reached
 * its maximum. An answer "running" in between does not reset the delay: running
 * attempts are dropped as well. The leader queries the attempt too, or ends it
 * with its endpoint.
 */
static bool
is_given_up(const struct gyp_entry_attempt *a)
{
	return a->phase == GYP_PHASE_QUERYING && a->query_at != 0 &&
	       a->query_delay_ms >= QUERY_DELAY_MAX_MS;
}

/*
 * Keeps a running attempt, or one of unknown state, as long as a leader may
 * send its start again, to prevent a second start. After that, the endpoint
 * reports the end itself, and the leader queries the attempt if necessary.
 */
static void
drop_old_starts(struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_entry_attempt *a = value;

		if ((a->phase == GYP_PHASE_RUNNING || is_given_up(a)) &&
		    a->order->until_ms != 0 &&
		    e->cell_time > a->order->until_ms)
			g_hash_table_iter_remove(&iter);
	}
}

void
gyp_entry_sweep_attempts(struct gyp_entry_core *e)
{
	if (e->now < e->sweep_at)
		return;
	e->sweep_at = e->now + SWEEP_INTERVAL_MS;
	send_due_queries(e);
	drop_old_starts(e);
}

uint32_t
gyp_entry_open_attempts(const struct gyp_entry_core *e)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, e->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_entry_attempt *a = value;

		n += a->phase != GYP_PHASE_RUNNING;
	}
	return n;
}
