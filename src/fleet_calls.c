#include <string.h>

#include "fleet_int.h"
#include "mutant.h"

/*
 * Timeouts of calls, in ms; for a poll, its wait_ms is added. Some endpoints
 * leave a share of the calls unanswered, and a start can safely be repeated:
 * its first call therefore times out early, and each further one has twice the
 * timeout of the one before.
 */
#define START_TIMEOUT_MS 150
#define STOP_TIMEOUT_MS  500
#define POLL_TIMEOUT_MS  250

/*
 * A call without an answer counts as lost this long after its timeout, in ms.
 */
#define OVERDUE_MS 1000

/* Unanswered starts of a run before it is stopped. */
#define STARTS_MAX 4

/*
 * Pause before a stop that failed or a poll that was refused is sent again, in
 * ms.
 */
#define RETRY_MS 250

/*
 * Most time that is added to an endpoint's clock after its last reading, in ms:
 * an endpoint that has shown no clock for longer may have restarted.
 */
#define CLOCK_AGE_MAX_MS 2500

/* ---- Making calls ------------------------------------------------------- */

static struct gyp_fleet_call *
new_call(struct gyp_fleet *f, const struct gyp_host *h,
    enum gyp_fleet_call_kind kind, uint32_t timeout_ms)
{
	struct gyp_fleet_call *call = g_new0(struct gyp_fleet_call, 1);
	struct gyp_fleet_pending *p = g_new0(struct gyp_fleet_pending, 1);

	call->id = f->next_call++;
	call->kind = kind;
	call->row = h->row;
	call->address = g_strdup(h->spec->address);
	call->endpoint = g_strdup(h->spec->id);
	call->fence =
	    gyp_fleet_endpoint_fence(f, gyp_fleet_get_endpoint(f, h->row));
	call->timeout_ms = timeout_ms;
	p->id = call->id;
	p->kind = kind;
	p->row = h->row;
	p->sent_at = f->now;
	p->address = g_strdup(h->spec->address);
	p->give_up_at = f->now + timeout_ms + OVERDUE_MS;
	call->give_up_at = p->give_up_at;
	g_hash_table_insert(f->pending, &p->id, p);
	g_queue_push_tail(&f->calls, call);
	return call;
}

static void
set_call_run(struct gyp_fleet *f, struct gyp_fleet_call *call,
    const struct gyp_fleet_run *run)
{
	const struct gyp_flow_unit *u =
	    gyp_flow_unit_of(run->flow, run->key.index);
	struct gyp_fleet_pending *p =
	    g_hash_table_lookup(f->pending, &call->id);

	call->flow = run->key.flow;
	call->id_capitals = run->flow->spec->id_capitals;
	call->repetition = u->repetition;
	call->step = u->step_number;
	call->index = run->key.index - u->first;
	call->run = run->run;
	p->key = run->key;
	p->run = run->run;
}

/*
 * Returns the end of the lease to send in a call, 0 for none: a lease that is
 * bounded in the tables is not extended before that is withdrawn. Extends the
 * lease on record unless the latest call to the endpoint got no answer or its
 * latest poll was not carried out: a poll that was refused, or lost with its
 * carrier, granted no lease. The latest end on record may be far ahead, see
 * gyp_fleet_endpoint_update_clock(), but no call grants more than one whole
 * lease from now: the next leader relies on this bound.
 */
static uint64_t
extend_lease(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	uint64_t elapsed, until;

	if (endpoint->clock_at == 0 || !endpoint->contacted ||
	    gyp_fleet_endpoint_is_bounded(f, endpoint))
		return 0;
	elapsed = MIN(f->now, endpoint->clock_seen_at + CLOCK_AGE_MAX_MS) -
		  endpoint->clock_at;
	until = endpoint->clock_ms + elapsed - elapsed / GYP_CLOCK_SLOW +
		f->cfg.lease_ms;
	if (endpoint->failures > 0 || endpoint->poll_failed)
		until = MIN(endpoint->until_ms, until);
	endpoint->until_ms = MAX(endpoint->until_ms, until);
	endpoint->sent_until_ms = MAX(endpoint->sent_until_ms, until);
	return until;
}

void
gyp_fleet_send_start(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	const struct gyp_host *h = gyp_host_at(f->flows, run->row);
	const struct gyp_flow_task *t = &run->flow->tasks[run->key.index];
	struct gyp_fleet_call *call = new_call(f, h, GYP_FLEET_START,
	    START_TIMEOUT_MS << MIN(run->starts_sent, STARTS_MAX));

	set_call_run(f, call, run);
	call->until_ms = extend_lease(f, gyp_fleet_get_endpoint(f, run->row));
	call->payload = g_strdup(run->flow->spec->payload);
	call->checkpoint = g_strdup(t->checkpoint);
	call->ticket = g_strdup(run->ticket);
	run->phase = GYP_RUN_STARTING;
	run->start_pending = true;
	run->starts_sent++;
	run->start_sent_at = f->now;
}

void
gyp_fleet_send_stop(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	const struct gyp_host *h = gyp_host_at(f->flows, run->row);

	set_call_run(f, new_call(f, h, GYP_FLEET_STOP, STOP_TIMEOUT_MS), run);
	run->stop = GYP_STOP_SENT;
}

/*
 * Returns the acknowledgement to send, 0 if the endpoint may have restarted
 * since its last list. Each incarnation numbers its ends from the start, so an
 * older number would make it forget ends that this leader has not received;
 * with 0 it lists all ends that it still holds. After a pause of this process
 * an answer may have been buffered for as long as the pause, so it does not
 * show that the incarnation is the same.
 */
static uint64_t
current_ack(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	bool same_incarnation = endpoint->listed_at != 0 &&
				endpoint->failures == 0 &&
				f->now >= f->stale_until &&
				f->now <= endpoint->listed_at + RESTART_MIN_MS;

	return same_incarnation ? endpoint->acked : 0;
}

void
gyp_fleet_send_poll(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint, uint32_t wait_ms)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	struct gyp_fleet_call *call =
	    new_call(f, h, GYP_FLEET_POLL, wait_ms + POLL_TIMEOUT_MS);
	struct gyp_fleet_pending *p =
	    g_hash_table_lookup(f->pending, &call->id);

	call->until_ms = extend_lease(f, endpoint);
	call->acked = current_ack(f, endpoint);
	call->wait_ms = wait_ms;
	p->long_poll = wait_ms > 0;
	endpoint->polls++;
	endpoint->long_poll = endpoint->long_poll || wait_ms > 0;
	endpoint->poll_due = false;
	endpoint->acked_sent = call->acked;
}

struct gyp_fleet_call *
gyp_fleet_pop_call(struct gyp_fleet *f)
{
	return g_queue_pop_head(&f->calls);
}

void
gyp_fleet_call_free(struct gyp_fleet_call *call)
{
	g_free(call->address);
	g_free(call->endpoint);
	g_free(call->payload);
	g_free(call->checkpoint);
	g_free(call->ticket);
	g_free(call);
}

/* ---- Answers ------------------------------------------------------------ */

static void
clear_run(gpointer p)
{
	g_free(((struct gyp_listed_run *)p)->checkpoint);
}

static void
clear_end(gpointer p)
{
	clear_run(&((struct gyp_listed_end *)p)->run);
}

void
gyp_fleet_answer_init(struct gyp_fleet_answer *a, uint64_t call)
{
	memset(a, 0, sizeof(*a));
	a->call = call;
	a->running = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_run));
	a->ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	g_array_set_clear_func(a->running, clear_run);
	g_array_set_clear_func(a->ended, clear_end);
}

void
gyp_fleet_answer_clear(struct gyp_fleet_answer *a)
{
	g_array_free(a->running, TRUE);
	g_array_free(a->ended, TRUE);
}

static void
record_refused_ticket(struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	struct gyp_refused_ticket *refused =
	    g_new0(struct gyp_refused_ticket, 1);

	refused->key = run->key;
	refused->row = run->row;
	g_queue_push_tail(&f->refused_tickets, refused);
}

static const char *
reason_name(enum gyp_fleet_reason reason)
{
	static const char *const names[] = {[GYP_REASON_NONE] = "none",
	    [GYP_REASON_FENCE] = "fence",
	    [GYP_REASON_OLD_RUN] = "old-run",
	    [GYP_REASON_LATE] = "late",
	    [GYP_REASON_CAPACITY] = "room",
	    [GYP_REASON_TICKET] = "ticket",
	    [GYP_REASON_BUSY] = "busy",
	    [GYP_REASON_OTHER] = "other",
	    [GYP_REASON_UNREADABLE] = "unreadable",
	    [GYP_REASON_TOO_LARGE] = "too-large"};

	return names[reason];
}

static void
handle_start_answer(struct gyp_fleet *f, struct gyp_fleet_run *run,
    const struct gyp_fleet_answer *a)
{
	run->start_pending = false;
	if (a->end == GYP_FLEET_OK) {
		run->start_answered = true;
		gyp_fleet_confirm_run(f, run);
		gyp_fleet_list_soon(f, run);
		if (GYP_MUTANT(CONFIRM_UNLISTED))
			gyp_fleet_confirm_incarnation(f, run,
			    gyp_fleet_get_endpoint(f, run->row)
				->incarnation_start_ms,
			    f->now);
		return;
	}
	if (a->end == GYP_FLEET_REFUSED) {
		run->refused = reason_name(a->reason);
		gyp_events_add(f->cfg.events, "start-refused",
		    RUN_ID " reason=%s endpoint=%s starts_sent=%u",
		    RUN_ARGS(run), run->refused,
		    gyp_fleet_endpoint_name(f, run->row), run->starts_sent);
	}
	if (a->reason == GYP_REASON_TICKET)
		record_refused_ticket(f, run);
	/* An earlier start that was lost may still be carried out. */
	if (a->end == GYP_FLEET_REFUSED || run->starts_sent >= STARTS_MAX)
		gyp_fleet_request_stop(f, run);
	else
		run->retry_at = f->now + 1;
}

static void
handle_stop_answer(struct gyp_fleet *f, struct gyp_fleet_run *run,
    const struct gyp_fleet_answer *a)
{
	struct gyp_fleet_endpoint *endpoint =
	    gyp_fleet_get_endpoint(f, run->row);

	if (a->end != GYP_FLEET_OK) {
		run->stop_refused |= a->end == GYP_FLEET_REFUSED;
		run->stop = GYP_STOP_DUE;
		run->retry_at = f->now + RETRY_MS;
		return;
	}
	run->stop = GYP_STOP_CONFIRMED;
	run->stopped_at = f->now;
	endpoint->poll_due = true;
	gyp_fleet_mark_dirty(f, endpoint);
}

/* Another process listens at the endpoint's address, so it has ended. */
static void
mark_replaced(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->replaced_at == 0)
		endpoint->replaced_at = f->now;
}

static void
log_first_failure(struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_fleet_answer *a)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	if (endpoint->failures == 1 && h != NULL)
		gyp_events_add(f->cfg.events, "endpoint-silent",
		    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT
		    " answer=%s",
		    h->spec->id, endpoint->runs->len,
		    gyp_fleet_endpoint_silence_ms(f, endpoint),
		    reason_name(a->reason));
}

/*
 * An endpoint that carries out a call so long after the notice goes on, unless
 * the shutdown of this incarnation is recorded: then it will end.
 */
static void
withdraw_leaving(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p)
{
	if (endpoint->leaving_at == 0 ||
	    p->sent_at < endpoint->leaving_at + DEPARTURE_GRACE_MS ||
	    gyp_fleet_endpoint_end_is_recorded(f, endpoint))
		return;
	endpoint->leaving_at = 0;
	gyp_events_add(f->cfg.events, "endpoint-stays",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT,
	    gyp_fleet_endpoint_name(f, endpoint->row),
	    endpoint->incarnation_start_ms);
}

/*
 * Answers to starts and stops need not name the incarnation. One that is known
 * by its clock only is called again once a poll has named it.
 */
static bool
is_from_unknown_incarnation(const struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	return a->incarnation_start_ms == 0 && a->has_clock &&
	       gyp_fleet_endpoint_clock_restarted(
		   endpoint, p->sent_at, a->clock_ms);
}

static void
update_contact(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	if (a->end == GYP_FLEET_CARRIER_LOST) {
		gyp_fleet_mark_dirty(f, endpoint);
		return;
	}
	if (a->end == GYP_FLEET_LOST) {
		endpoint->failures++;
		log_first_failure(f, endpoint, a);
		gyp_fleet_mark_dirty(f, endpoint);
		return;
	}
	if (a->end == GYP_FLEET_WRONG_ENDPOINT) {
		mark_replaced(f, endpoint);
		return;
	}
	if (is_from_unknown_incarnation(endpoint, p, a)) {
		gyp_fleet_endpoint_restarted(
		    f, endpoint, endpoint->incarnation_start_ms);
		endpoint->contacted = false;
		return;
	}
	if (a->incarnation_start_ms > endpoint->incarnation_start_ms)
		gyp_fleet_endpoint_restarted(
		    f, endpoint, a->incarnation_start_ms);
	if (endpoint->failures > 0)
		gyp_events_add(f->cfg.events, "endpoint-answers",
		    "endpoint=%s after_failures=%u",
		    gyp_fleet_endpoint_name(f, endpoint->row),
		    endpoint->failures);
	endpoint->failures = 0;
	endpoint->contacted = true;
	withdraw_leaving(f, endpoint, p);
	endpoint->last_seen_at = f->now;
	endpoint->answered_at = f->now;
	gyp_fleet_endpoint_heard(endpoint);
	if (a->has_clock)
		gyp_fleet_endpoint_update_clock(f, endpoint, a->clock_ms);
	/*
	 * Answers to starts and stops need not name the incarnation. After a
	 * restart the call shows it, see gyp_fleet_endpoint_fenced().
	 */
	if (a->has_clock && a->end == GYP_FLEET_OK &&
	    (a->incarnation_start_ms != 0 || endpoint->restarts > 0))
		gyp_fleet_endpoint_fenced(f, endpoint, p->id, a->clock_ms);
}

static void
handle_run_answer(struct gyp_fleet *f, const struct gyp_fleet_pending *p,
    const struct gyp_fleet_answer *a)
{
	struct gyp_fleet_run *run = gyp_fleet_find_run(f, &p->key);

	if (run == NULL || run->run != p->run)
		return;
	if (p->kind == GYP_FLEET_START)
		handle_start_answer(f, run, a);
	else if (p->kind == GYP_FLEET_STOP)
		handle_stop_answer(f, run, a);
}

static void
log_left_out(struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_answer *a)
{
	const char *name = gyp_fleet_endpoint_name(f, endpoint->row);

	if (a->unreadable_rows > 0)
		gyp_events_add(f->cfg.events, "unreadable-rows",
		    "endpoint=%s rows=%u", name, a->unreadable_rows);
	if (a->refused_checkpoints > 0)
		gyp_events_add(f->cfg.events, "checkpoints-refused",
		    "endpoint=%s rows=%u longest_bytes=%u", name,
		    a->refused_checkpoints, GYP_CHECKPOINT_MAX);
}

static void
handle_poll_answer(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	endpoint->polls--;
	endpoint->poll_failed = a->end != GYP_FLEET_OK;
	if (p->long_poll)
		endpoint->long_poll = false;
	gyp_fleet_mark_dirty(f, endpoint);
	log_left_out(f, endpoint, a);
	if (a->end == GYP_FLEET_OK && a->listed &&
	    (a->incarnation_start_ms == 0 ||
		a->incarnation_start_ms >= endpoint->incarnation_start_ms))
		gyp_fleet_apply_lists(f, endpoint, p, a);
	else if (a->end == GYP_FLEET_CARRIER_LOST)
		endpoint->poll_due = true;
	else if (a->end != GYP_FLEET_LOST) {
		endpoint->poll_due = true;
		endpoint->next_poll_at = f->now + RETRY_MS;
	}
}

/*
 * True when an earlier incarnation sent the answer: its clock and its results
 * do not apply to the current one. For an answer without the start time of an
 * incarnation, the call must be newer than the restart.
 */
static bool
is_from_earlier_incarnation(const struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	if (a->incarnation_start_ms != 0)
		return a->incarnation_start_ms < endpoint->incarnation_start_ms;
	return p->id < endpoint->restart_call;
}

/*
 * True when another endpoint answered at an address that the endpoint no longer
 * has: this does not show that it has ended.
 */
static bool
is_wrong_at_old_address(const struct gyp_fleet *f,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	const struct gyp_host *h = gyp_host_at(f->flows, p->row);

	return a->end == GYP_FLEET_WRONG_ENDPOINT && h != NULL &&
	       strcmp(h->spec->address, p->address) != 0;
}

void
gyp_fleet_handle_answer(
    struct gyp_fleet *f, uint64_t now, const struct gyp_fleet_answer *a)
{
	struct gyp_fleet_pending *p = g_hash_table_lookup(f->pending, &a->call);
	const struct gyp_fleet_answer unattributed = {
	    .call = a->call, .end = GYP_FLEET_CARRIER_LOST};
	struct gyp_fleet_endpoint *endpoint;

	gyp_fleet_advance(f, now);
	if (p == NULL)
		return;
	endpoint =
	    p->row < f->endpoints->len ? f->endpoints->pdata[p->row] : NULL;
	if (endpoint != NULL && (is_from_earlier_incarnation(endpoint, p, a) ||
				    is_wrong_at_old_address(f, p, a)))
		a = &unattributed;
	if (endpoint != NULL) {
		update_contact(f, endpoint, p, a);
		if (p->kind == GYP_FLEET_POLL)
			handle_poll_answer(f, endpoint, p, a);
		else
			handle_run_answer(f, p, a);
	}
	g_hash_table_remove(f->pending, &a->call);
}

void
gyp_fleet_expire_calls(struct gyp_fleet *f)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, f->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_fleet_pending *p = value;

		if (f->now >= p->give_up_at)
			g_array_append_val(ids, p->id);
	}
	for (i = 0; i < ids->len; i++) {
		struct gyp_fleet_answer lost = {
		    .call = g_array_index(ids, uint64_t, i),
		    .end = GYP_FLEET_LOST};

		gyp_fleet_handle_answer(f, f->now, &lost);
	}
	g_array_free(ids, TRUE);
}
