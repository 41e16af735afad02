#include "msg.h"
#include "replica_int.h"

/* ---- Orders ------------------------------------------------------------ */

/*
 * Cell time after which no leader sends the start of a placement. Cell time
 * never decreases, and a new leader continues from the latest committed one.
 */
static uint64_t
start_deadline(const struct gyp_replica *r, const struct gyp_task *t)
{
	return t->changed_ms + r->cfg.start_window_ms;
}

static uint64_t
cell_time_at(const struct gyp_replica *r, uint64_t at)
{
	return r->time_base + (at - r->lead_since);
}

static void
add_order(struct gyp_replica *r, struct gyp_entry_peer *peer,
    const struct gyp_job *job, uint32_t task, Gyp__OrderType type,
    uint64_t not_after, uint32_t cpu_limit_milli)
{
	const struct gyp_task *t = &job->tasks[task];
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint(r->state, t->endpoint);
	Gyp__Order order = GYP__ORDER__INIT;
	Gyp__Attempt attempt = GYP__ATTEMPT__INIT;

	attempt.job = job->id;
	attempt.task = task;
	attempt.attempt = t->attempt;
	order.type = type;
	order.attempt = &attempt;
	order.address = ep->spec->address;
	order.incarnation = ep->spec->incarnation;
	order.kind = job->spec->kind;
	order.cap = MAX(ep->spec->connections / GYP_ENTRIES_MAX, 1);
	order.cpu_limit_milli = cpu_limit_milli;
	if (type == GYP__ORDER_TYPE__ORDER_START) {
		order.not_after_ms = not_after;
		order.valid_ms = r->cfg.start_window_ms;
		order.until_ms = start_deadline(r, t);
		order.size = job->spec->size;
		order.payload = job->spec->payload;
	}
	g_ptr_array_add(peer->orders, gyp_message_copy(&order.base));
	peer->frame_due = true;
}

/*
 * Any live entry may send an order other than a start; only the entry that the
 * placement names may send the start.
 */
static void
queue_order(struct gyp_replica *r, const struct gyp_job *job, uint32_t task,
    Gyp__OrderType type, uint32_t cpu_limit_milli)
{
	const struct gyp_task *t = &job->tasks[task];
	uint64_t id = t->entry;

	if (!gyp_replica_can_take_orders(
		r, g_hash_table_lookup(r->entries, &id)))
		id = gyp_replica_pick_entry(r, job, t->endpoint);
	if (id != 0)
		add_order(r, gyp_replica_entry_peer(r, id), job, task, type, 0,
		    cpu_limit_milli);
}

void
gyp_replica_queue_order(struct gyp_replica *r, const struct gyp_job *job,
    uint32_t task, Gyp__OrderType type)
{
	/* A task that is not idempotent could not be started again. */
	if (type == GYP__ORDER_TYPE__ORDER_CHECKPOINT && !job->spec->idempotent)
		return;
	queue_order(r, job, task, type, 0);
}

void
gyp_replica_queue_throttle(struct gyp_replica *r, const struct gyp_job *job,
    uint32_t task, uint32_t cpu_limit_milli)
{
	queue_order(
	    r, job, task, GYP__ORDER_TYPE__ORDER_THROTTLE, cpu_limit_milli);
}

/*
 * Time left to send the start, in ms, or 0. A new leader does not send the
 * start of an earlier placement to an endpoint that gets no new work: the time
 * without a leader passes at the endpoint, but not in cell time.
 */
static uint32_t
start_window_left(const struct gyp_replica *r, const struct gyp_task *t)
{
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint(r->state, t->endpoint);
	uint64_t now = gyp_replica_cell_time(r);
	uint64_t until = start_deadline(r, t);

	if (now >= until ||
	    (ep->state != GYP_ENDPOINT_ACTIVE && t->changed_ms <= r->time_base))
		return 0;
	return (uint32_t)(until - now);
}

/* Queues a start for its entry; false when it must be tried again later. */
static bool
send_start(struct gyp_replica *r, struct gyp_entry_peer *peer,
    const struct gyp_task_ref *ref)
{
	const struct gyp_job *job = gyp_state_job(r->state, ref->job);
	const struct gyp_task *t;
	uint64_t not_after;
	uint32_t window_ms;

	if (job == NULL)
		return true;
	t = &job->tasks[ref->task];
	if (t->state != GYP_TASK_PLACED || t->entry != peer->id)
		return true;
	if (job->cancelled || job->restarting) {
		add_order(
		    r, peer, job, ref->task, GYP__ORDER_TYPE__ORDER_STOP, 0, 0);
		return true;
	}
	window_ms = start_window_left(r, t);
	if (window_ms == 0)
		return true; /* the attempt is queried later */
	if (!gyp_leases_not_after(
		r->leases, t->endpoint, r->now, window_ms, &not_after))
		return false;
	add_order(r, peer, job, ref->task, GYP__ORDER_TYPE__ORDER_START,
	    not_after, 0);
	return true;
}

void
gyp_replica_send_starts(struct gyp_replica *r, struct gyp_entry_peer *peer)
{
	guint left = peer->unsent_starts.length;

	if (!gyp_replica_can_take_orders(r, peer))
		return;
	while (left-- > 0) {
		struct gyp_task_ref *ref =
		    g_queue_pop_head(&peer->unsent_starts);

		if (send_start(r, peer, ref))
			g_free(ref);
		else
			g_queue_push_tail(&peer->unsent_starts, ref);
	}
}

typedef void (*attempt_visitor)(
    struct gyp_replica *, const struct gyp_job *, uint32_t task, void *arg);

static void
visit_attempts(struct gyp_replica *r, attempt_visitor visit, void *arg)
{
	const struct gyp_table *t = gyp_state_endpoints(r->state);
	uint32_t i;
	guint k;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		for (k = 0; ep != NULL && k < ep->attempts->len; k++) {
			const struct gyp_task_ref *ref = &g_array_index(
			    ep->attempts, struct gyp_task_ref, k);

			visit(r, gyp_state_job(r->state, ref->job), ref->task,
			    arg);
		}
	}
}

static void
requeue_if_assigned(
    struct gyp_replica *r, const struct gyp_job *job, uint32_t task, void *arg)
{
	struct gyp_entry_peer *peer = arg;
	struct gyp_task_ref ref = {.job = job->id, .task = task};

	(void)r;
	if (job->tasks[task].entry == peer->id)
		g_queue_push_tail(
		    &peer->unsent_starts, g_memdup2(&ref, sizeof(ref)));
}

/*
 * Queues all starts of the entry again; the entry ignores those that it has
 * already sent.
 */
void
gyp_replica_requeue_starts(struct gyp_replica *r, struct gyp_entry_peer *peer)
{
	g_queue_clear_full(&peer->unsent_starts, g_free);
	visit_attempts(r, requeue_if_assigned, peer);
}

/* ---- Queries ----------------------------------------------------------- */

/*
 * True when the endpoint's list was made after the last moment for the start.
 * If it does not contain the attempt, the attempt is over or never started.
 */
static bool
should_be_listed(const struct gyp_replica *r, const struct gyp_task *t)
{
	uint64_t listed_at =
	    gyp_reported_attempts_last_seen(r->reported_attempts, t->endpoint);

	return listed_at != 0 && listed_at >= r->lead_since &&
	       cell_time_at(r, listed_at) >
		   gyp_lease_expiry(
		       start_deadline(r, t), r->cfg.start_window_ms);
}

/*
 * Odd queries go through the entry that the placement names, even ones through
 * an entry that depends on the query's number, since the first may be cut off
 * from the endpoint.
 */
static void
query_if_unlisted(
    struct gyp_replica *r, const struct gyp_job *job, uint32_t task, void *arg)
{
	const struct gyp_task *t = &job->tasks[task];
	Gyp__Attempt a = GYP__ATTEMPT__INIT;
	uint32_t query_number; /* from 1; 0: none is due */
	uint64_t other;

	(void)arg;
	a.job = job->id;
	a.task = task;
	a.attempt = t->attempt;
	if (!should_be_listed(r, t) ||
	    gyp_reported_attempts_contain(
		r->reported_attempts, t->endpoint, &a))
		return;
	query_number =
	    gyp_reported_attempts_query_due(r->reported_attempts, r->now, &a);
	if (query_number == 0)
		return;
	gyp_count(r->counters, "gyp_questions_total", "", 1);
	other = gyp_replica_pick_entry(r, NULL, t->endpoint + query_number);
	if (query_number % 2 == 0 && other != 0)
		add_order(r, gyp_replica_entry_peer(r, other), job, task,
		    GYP__ORDER_TYPE__ORDER_QUERY, 0, 0);
	else
		gyp_replica_queue_order(
		    r, job, task, GYP__ORDER_TYPE__ORDER_QUERY);
}

void
gyp_replica_query_unlisted(struct gyp_replica *r)
{
	visit_attempts(r, query_if_unlisted, NULL);
}
