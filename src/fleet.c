#include <string.h>

#include "fleet_int.h"
#include "msg.h"

/* Interval of the sweep over all endpoints, in ms. */
#define SWEEP_MS 50

/* Interval of the check for overdue calls, in ms. */
#define EXPIRE_MS 500

/* An endpoint that is silent for this long gets no new run, in ms. */
#define SILENT_MS 4500

/*
 * Longest wait of a long poll, in ms. A lost answer delays the ends that it
 * lists by about this much.
 */
#define POLL_WAIT_MS 400

/*
 * Interval of polls, and pause before a start, while an endpoint does not
 * answer, in ms.
 */
#define UNANSWERED_RETRY_MS 250

/* An idle endpoint that is silent for this long is removed, in ms. */
#define REMOVE_IDLE_MS 60000

void
gyp_fleet_count(const struct gyp_fleet *f, const char *name)
{
	if (f->cfg.counters != NULL)
		gyp_count(f->cfg.counters, name, "", 1);
}

/* ---- Runs --------------------------------------------------------------- */

static void
free_run(gpointer p)
{
	struct gyp_fleet_run *run = p;

	g_free(run->ticket);
	g_free(run->checkpoint);
	g_free(run);
}

static void
free_pending(gpointer p)
{
	struct gyp_fleet_pending *pending = p;

	g_free(pending->address);
	g_free(pending);
}

struct gyp_fleet_run *
gyp_fleet_find_run(const struct gyp_fleet *f, const struct gyp_flow_key *key)
{
	return g_hash_table_lookup(f->runs, key);
}

void
gyp_fleet_enqueue_run(struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	g_queue_push_tail(&f->to_send, g_memdup2(&run->key, sizeof(run->key)));
}

static struct gyp_fleet_run *
add_run(struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_fleet_run *run = g_new0(struct gyp_fleet_run, 1);
	struct gyp_fleet_endpoint *endpoint;

	run->key.flow = flow->id;
	run->key.index = task;
	run->flow = flow;
	run->run = flow->tasks[task].run;
	run->row = flow->tasks[task].row;
	run->opened_at = f->now;
	g_hash_table_insert(f->runs, &run->key, run);
	endpoint = gyp_fleet_get_endpoint(f, run->row);
	if (endpoint->runs->len == 0)
		endpoint->busy_at = f->now;
	g_ptr_array_add(endpoint->runs, run);
	return run;
}

/*
 * Returns the latest checkpoint that was listed of the run, or of any member of
 * its gang, or NULL. A member whose end was proposed before may have ended with
 * a later one.
 */
static const char *
listed_checkpoint(const struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	const struct gyp_flow_unit *u =
	    gyp_flow_unit_of(run->flow, run->key.index);
	const struct gyp_fleet_run *latest = run;
	struct gyp_flow_key key = run->key;

	if (!u->step->gang)
		return run->checkpoint;
	for (key.index = u->first; key.index < u->first + u->step->count;
	     key.index++) {
		const struct gyp_fleet_run *m = gyp_fleet_find_run(f, &key);

		if (m == NULL || (m != run && m->end_proposed))
			return NULL;
		if (m->checkpoint != NULL &&
		    (latest->checkpoint == NULL ||
			m->view.listed_at > latest->view.listed_at))
			latest = m;
	}
	return latest->checkpoint;
}

void
gyp_fleet_propose_end(struct gyp_fleet *f, struct gyp_fleet_run *run,
    Gyp__FlowHow how, const char *checkpoint)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	const struct gyp_host *h = gyp_host_at(f->flows, run->row);

	if (run->end_proposed)
		return;
	run->end_proposed = true;
	run->end_proposed_at = f->now;
	if (how != GYP__FLOW_HOW__FLOW_DONE && h != NULL)
		gyp_events_add(f->cfg.events, "run-ended",
		    RUN_ID " how=%s endpoint=%s starts_sent=%u confirmed=%d",
		    RUN_ARGS(run), gyp_flow_how_name(how), h->spec->id,
		    run->starts_sent, run->phase == GYP_RUN_CONFIRMED);
	end.flow = run->key.flow;
	end.task = run->key.index;
	end.run = run->run;
	end.host = run->row;
	end.how = how;
	if (checkpoint == NULL)
		checkpoint = listed_checkpoint(f, run);
	end.checkpoint = (char *)(checkpoint != NULL ? checkpoint : "");
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

void
gyp_fleet_mark_dirty(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->dirty)
		return;
	endpoint->dirty = true;
	g_queue_push_tail(&f->dirty, GUINT_TO_POINTER(endpoint->row));
}

void
gyp_fleet_request_stop(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	if (run->end_proposed || run->stop != GYP_STOP_NONE)
		return;
	if (run->phase == GYP_RUN_UNSENT) {
		gyp_fleet_propose_end(f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
		return;
	}
	run->stop = GYP_STOP_DUE;
	run->retry_at = 0;
	gyp_fleet_enqueue_run(f, run);
}

/* ---- Time --------------------------------------------------------------- */

void
gyp_fleet_advance(struct gyp_fleet *f, uint64_t now)
{
	uint64_t elapsed = now > f->now ? now - f->now : 0;

	if (elapsed > RESTART_MIN_MS)
		f->stale_until = now + RESTART_MIN_MS;
	f->now = MAX(f->now, now);
	gyp_fleet_inventory_paused(f, elapsed);
}

/* ---- Endpoints ---------------------------------------------------------- */

static void
free_endpoint(gpointer p)
{
	struct gyp_fleet_endpoint *endpoint = p;

	if (endpoint == NULL)
		return;
	g_array_free(endpoint->unacked, TRUE);
	g_ptr_array_free(endpoint->runs, TRUE);
	g_free(endpoint);
}

struct gyp_fleet_endpoint *
gyp_fleet_get_endpoint(struct gyp_fleet *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f->flows, row);
	struct gyp_fleet_endpoint *endpoint;

	if (row >= f->endpoints->len)
		g_ptr_array_set_size(f->endpoints, (gint)row + 1);
	endpoint = f->endpoints->pdata[row];
	if (endpoint != NULL)
		return endpoint;
	endpoint = g_new0(struct gyp_fleet_endpoint, 1);
	endpoint->row = row;
	endpoint->added_at = f->now;
	endpoint->poll_due = true;
	/* The latest one may have been seen before its first heartbeat. */
	if (h != NULL)
		endpoint->incarnation_start_ms =
		    MAX(h->spec->born_ms, h->spec->seen_born_ms);
	/* A call to an earlier incarnation may still be under way. */
	if (h != NULL)
		endpoint->late_grant_ms =
		    gyp_host_restart_left_ms(f->flows, h, LATE_CALL_MAX_MS);
	endpoint->unacked =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_unacked_end));
	endpoint->runs = g_ptr_array_new();
	f->endpoints->pdata[row] = endpoint;
	return endpoint;
}

bool
gyp_fleet_usable(const struct gyp_fleet *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f->flows, row);
	const struct gyp_fleet_endpoint *endpoint;

	if (h == NULL || h->spec->draining || h->spec->gone ||
	    row >= f->endpoints->len)
		return false;
	endpoint = f->endpoints->pdata[row];
	/* A new incarnation must report its capacity, which may differ. */
	return endpoint != NULL &&
	       endpoint->incarnation_start_ms <= h->spec->born_ms &&
	       endpoint->contacted && endpoint->clock_at != 0 &&
	       endpoint->failures == 0 && endpoint->replaced_at == 0 &&
	       endpoint->leaving_at == 0 &&
	       !gyp_fleet_endpoint_is_delisted(endpoint) &&
	       !gyp_fleet_endpoint_lacks_lease(f, endpoint) &&
	       !gyp_fleet_endpoint_is_bounded(f, endpoint) &&
	       f->now < endpoint->last_seen_at + SILENT_MS;
}

/* ---- Commits and heartbeats --------------------------------------------- */

void
gyp_fleet_run_started(struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task,
    const char *ticket)
{
	struct gyp_fleet_run *run = add_run(f, flow, task);

	run->ticket = g_strdup(ticket);
	run->phase = GYP_RUN_UNSENT;
	gyp_fleet_enqueue_run(f, run);
}

void
gyp_fleet_run_ended(struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow->id, .index = task};
	struct gyp_fleet_run *run = gyp_fleet_find_run(f, &key);
	struct gyp_fleet_endpoint *endpoint;

	if (run == NULL)
		return;
	endpoint = gyp_fleet_get_endpoint(f, run->row);
	g_ptr_array_remove_fast(endpoint->runs, run);
	if (endpoint->unacked->len > 0)
		gyp_fleet_mark_dirty(f, endpoint);
	g_hash_table_remove(f->runs, &key);
}

void
gyp_fleet_run_unwanted(
    struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow->id, .index = task};
	struct gyp_fleet_run *run = gyp_fleet_find_run(f, &key);

	if (run != NULL)
		gyp_fleet_request_stop(f, run);
}

void
gyp_fleet_heartbeat(struct gyp_fleet *f, uint64_t now, uint32_t row,
    uint64_t incarnation_start_ms, uint64_t clock_ms)
{
	struct gyp_fleet_endpoint *endpoint;

	gyp_fleet_advance(f, now);
	endpoint = gyp_fleet_get_endpoint(f, row);
	if (incarnation_start_ms < endpoint->incarnation_start_ms)
		return;
	if (incarnation_start_ms > endpoint->incarnation_start_ms)
		gyp_fleet_endpoint_restarted(f, endpoint, incarnation_start_ms);
	endpoint->last_seen_at = f->now;
	gyp_fleet_endpoint_heard(endpoint);
	if (clock_ms != 0)
		gyp_fleet_endpoint_update_clock(f, endpoint, clock_ms);
	if (!endpoint->contacted || endpoint->failures > 0 ||
	    endpoint->poll_failed) {
		endpoint->poll_due = true;
		gyp_fleet_mark_dirty(f, endpoint);
	}
}

/* ---- Due work ----------------------------------------------------------- */

/*
 * Ends the runs whose start may have been sent: no lease bounds the others. The
 * lease of an endpoint that had no run for long has already expired when its
 * next start is sent.
 */
static void
lapse_runs(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	guint i, lapsed = 0;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (run->phase == GYP_RUN_UNSENT)
			continue;
		gyp_fleet_propose_end(f, run, GYP__FLOW_HOW__FLOW_LAPSED, NULL);
		lapsed++;
	}
	if (lapsed > 0)
		gyp_events_add(f->cfg.events, "lease-over",
		    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT
		    " failures=%u",
		    h->spec->id, lapsed,
		    gyp_fleet_endpoint_silence_ms(f, endpoint),
		    endpoint->failures);
}

/* Ends the runs whose start was not sent: they need not wait for the lease. */
static void
end_unsent_runs(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (run->phase == GYP_RUN_UNSENT)
			gyp_fleet_propose_end(
			    f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	}
}

static void
poll_if_due(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	bool busy = endpoint->runs->len > 0 || endpoint->unacked->len > 0;

	if (f->now < endpoint->next_poll_at)
		return;
	gyp_fleet_endpoint_advance_acked(f, endpoint);
	if (endpoint->failures > 0 || !endpoint->contacted) {
		if (endpoint->polls == 0 && (busy || endpoint->poll_due)) {
			endpoint->next_poll_at = f->now + UNANSWERED_RETRY_MS;
			gyp_fleet_send_poll(f, endpoint, 0);
		}
		return;
	}
	if (endpoint->poll_due && endpoint->polls < GYP_POLLS_MAX) {
		gyp_fleet_send_poll(f, endpoint, 0);
		return;
	}
	if (endpoint->polls > 0 || endpoint->unacked->len > 0)
		return;
	if (busy)
		gyp_fleet_send_poll(f, endpoint, POLL_WAIT_MS);
	else if (endpoint->acked > endpoint->acked_sent)
		gyp_fleet_send_poll(f, endpoint, 0);
}

static void
retry_runs(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (run->retry_at == 0 || f->now < run->retry_at)
			continue;
		run->retry_at = 0;
		gyp_fleet_enqueue_run(f, run);
	}
}

static void
sweep_endpoint(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	if (h == NULL) {
		f->endpoints->pdata[endpoint->row] = NULL;
		free_endpoint(endpoint);
		return;
	}
	gyp_fleet_note_recorded_end(f, endpoint);
	gyp_fleet_end_runs_of_earlier(f, endpoint);
	if (gyp_fleet_endpoint_is_delisted(endpoint))
		gyp_fleet_end_delisted_runs(f, endpoint);
	if (endpoint->replaced_at != 0) {
		gyp_fleet_end_replaced_runs(f, endpoint);
		return;
	}
	gyp_fleet_check_leaving(f, endpoint);
	if (f->now >= gyp_fleet_endpoint_lease_expiry(f, endpoint))
		lapse_runs(f, endpoint);
	if (endpoint->runs->len == 0 &&
	    gyp_fleet_endpoint_silence_ms(f, endpoint) >= REMOVE_IDLE_MS)
		gyp_fleet_propose_removal(f, endpoint);
	if (endpoint->failures > 0 ||
	    gyp_fleet_endpoint_lacks_lease(f, endpoint))
		end_unsent_runs(f, endpoint);
	gyp_fleet_bound_sweep(f, endpoint);
	retry_runs(f, endpoint);
	poll_if_due(f, endpoint);
}

static void
sweep(struct gyp_fleet *f)
{
	guint i;

	f->next_sweep_at = f->now + SWEEP_MS;
	if (f->now >= f->next_expire_at) {
		f->next_expire_at = f->now + EXPIRE_MS;
		gyp_fleet_expire_calls(f);
		gyp_fleet_log_unconfirmed(f);
	}
	for (i = 0; i < gyp_hosts_size(f->flows); i++) {
		if (gyp_host_at(f->flows, i) != NULL)
			gyp_fleet_get_endpoint(f, i);
	}
	gyp_fleet_bounds_begin(f);
	for (i = 0; i < f->endpoints->len; i++) {
		if (f->endpoints->pdata[i] != NULL)
			sweep_endpoint(f, f->endpoints->pdata[i]);
	}
	gyp_fleet_inventory_sweep(f);
}

/* Sweeps the endpoints that were marked dirty since the last call. */
static void
sweep_dirty(struct gyp_fleet *f)
{
	guint n = f->dirty.length;

	while (n-- > 0) {
		guint row = GPOINTER_TO_UINT(g_queue_pop_head(&f->dirty));
		struct gyp_fleet_endpoint *endpoint = f->endpoints->pdata[row];

		if (endpoint == NULL)
			continue;
		endpoint->dirty = false;
		sweep_endpoint(f, endpoint);
	}
}

/* True if the endpoint drains or may be shutting down. */
static bool
is_leaving(const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	return h->spec->draining || h->spec->gone ||
	       endpoint->leaving_at != 0 || endpoint->replaced_at != 0;
}

/*
 * At an endpoint that leaves, a run that is not confirmed is stopped: an
 * earlier start may still be carried out, and a further one might be late.
 */
static void
send_due_call(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	const struct gyp_fleet_endpoint *endpoint =
	    gyp_fleet_get_endpoint(f, run->row);

	if (run->end_proposed || gyp_host_at(f->flows, run->row) == NULL)
		return;
	if (run->stop == GYP_STOP_DUE)
		gyp_fleet_send_stop(f, run);
	else if (run->stop != GYP_STOP_NONE || run->start_pending)
		return;
	else if (gyp_flow_run_is_unwanted(run->flow, run->key.index))
		gyp_fleet_request_stop(f, run);
	else if (run->phase == GYP_RUN_UNSENT ||
		 run->phase == GYP_RUN_STARTING) {
		if (is_leaving(f, endpoint) ||
		    gyp_fleet_run_age_ms(f, run) >= START_WINDOW_MS)
			gyp_fleet_request_stop(f, run);
		else if (endpoint->failures > 0 ||
			 gyp_fleet_endpoint_is_delisted(endpoint) ||
			 gyp_fleet_endpoint_is_bounded(f, endpoint) ||
			 gyp_fleet_endpoint_lacks_lease(f, endpoint))
			run->retry_at = f->now + UNANSWERED_RETRY_MS;
		else if (!gyp_fleet_may_send_start(f, run))
			run->retry_at = f->now + 1;
		else
			gyp_fleet_send_start(f, run);
	}
}

void
gyp_fleet_tick(struct gyp_fleet *f, uint64_t now)
{
	struct gyp_flow_key *key;

	gyp_fleet_advance(f, now);
	if (f->now >= f->next_sweep_at)
		sweep(f);
	sweep_dirty(f);
	while ((key = g_queue_pop_head(&f->to_send)) != NULL) {
		struct gyp_fleet_run *run = gyp_fleet_find_run(f, key);

		if (run != NULL)
			send_due_call(f, run);
		g_free(key);
	}
}

/* ---- Access ------------------------------------------------------------- */

const struct gyp_run_view *
gyp_fleet_run_view(const struct gyp_fleet *f, uint64_t flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};
	const struct gyp_fleet_run *run = gyp_fleet_find_run(f, &key);

	return run != NULL ? &run->view : NULL;
}

bool
gyp_fleet_run_is_running(const struct gyp_fleet_run *run)
{
	return run->phase == GYP_RUN_CONFIRMED && !run->end_proposed &&
	       run->stop == GYP_STOP_NONE;
}

void
gyp_fleet_each_run(const struct gyp_fleet *f, gyp_fleet_run_fn fn, void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_fleet_run *run = value;

		if (gyp_fleet_run_is_running(run))
			fn(arg, run->flow, run->key.index, run->row,
			    &run->view);
	}
}

void
gyp_fleet_stop_run(struct gyp_fleet *f, uint64_t flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};
	struct gyp_fleet_run *run = gyp_fleet_find_run(f, &key);

	if (run != NULL)
		gyp_fleet_request_stop(f, run);
}

Gyp__Cmd *
gyp_fleet_pop_cmd(struct gyp_fleet *f)
{
	return g_queue_pop_head(&f->cmds);
}

bool
gyp_fleet_pop_refused_ticket(
    struct gyp_fleet *f, uint64_t *flow, uint32_t *task, uint32_t *row)
{
	struct gyp_refused_ticket *refused =
	    g_queue_pop_head(&f->refused_tickets);

	if (refused == NULL)
		return false;
	*flow = refused->key.flow;
	*task = refused->key.index;
	*row = refused->row;
	g_free(refused);
	return true;
}

/* ---- Construction ------------------------------------------------------- */

static void
inherit_runs(struct gyp_fleet *f)
{
	uint32_t row;
	guint i;

	for (row = 0; row < gyp_hosts_size(f->flows); row++) {
		const struct gyp_host *h = gyp_host_at(f->flows, row);

		for (i = 0; h != NULL && i < h->runs->len; i++) {
			const struct gyp_host_run *r =
			    &g_array_index(h->runs, struct gyp_host_run, i);
			struct gyp_fleet_run *run =
			    add_run(f, r->flow, r->task);

			run->phase = GYP_RUN_INHERITED;
			if (gyp_flow_run_is_unwanted(r->flow, r->task))
				gyp_fleet_request_stop(f, run);
		}
	}
}

struct gyp_fleet *
gyp_fleet_new(const struct gyp_fleet_config *cfg, struct gyp_flows *flows,
    uint64_t now, uint64_t fence)
{
	struct gyp_fleet *f = g_new0(struct gyp_fleet, 1);

	f->cfg = *cfg;
	f->flows = flows;
	f->fence = fence;
	f->leader_since = now;
	f->now = now;
	f->next_call = (fence << 32) + 1; /* unique over all terms */
	f->endpoints = g_ptr_array_new();
	f->runs = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, free_run);
	f->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_pending);
	if (cfg->inventory)
		f->inventory = gyp_inventory_new(f->next_call);
	f->bounds_applied_before = gyp_flows_bounds_applied(flows);
	inherit_runs(f);
	return f;
}

void
gyp_fleet_free(struct gyp_fleet *f)
{
	struct gyp_fleet_call *call;
	Gyp__Cmd *cmd;

	if (f == NULL)
		return;
	while ((call = gyp_fleet_pop_call(f)) != NULL)
		gyp_fleet_call_free(call);
	while ((cmd = gyp_fleet_pop_cmd(f)) != NULL)
		gyp_message_free(cmd);
	g_queue_clear_full(&f->to_send, g_free);
	g_queue_clear(&f->dirty);
	g_queue_clear_full(&f->refused_tickets, g_free);
	gyp_inventory_free(f->inventory);
	g_hash_table_destroy(f->pending);
	g_hash_table_destroy(f->runs);
	g_ptr_array_foreach(
	    f->endpoints, (GFunc)(void (*)(void))free_endpoint, NULL);
	g_ptr_array_free(f->endpoints, TRUE);
	g_free(f);
}
