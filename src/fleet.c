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

/* Interval of polls of an endpoint that does not answer, in ms. */
#define POLL_RETRY_MS 250

/* An idle endpoint that is silent for this long is removed, in ms. */
#define REMOVE_IDLE_MS 60000

/* Time from the notice of a shutdown until the runs count as over, in ms. */
#define DEPARTURE_GRACE_MS 100

/* ---- Runs --------------------------------------------------------------- */

static void
free_run(gpointer p)
{
	struct gyp_fleet_run *run = p;

	g_free(run->ticket);
	g_free(run);
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

	run->key.flow = flow->id;
	run->key.index = task;
	run->flow = flow;
	run->run = flow->tasks[task].run;
	run->row = flow->tasks[task].host;
	g_hash_table_insert(f->runs, &run->key, run);
	g_ptr_array_add(gyp_fleet_peer(f, run->row)->runs, run);
	return run;
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
	end.checkpoint = (char *)(checkpoint != NULL ? checkpoint : "");
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

void
gyp_fleet_mark_dirty(struct gyp_fleet *f, struct gyp_peer *peer)
{
	if (peer->dirty)
		return;
	peer->dirty = true;
	g_queue_push_tail(&f->dirty, GUINT_TO_POINTER(peer->row));
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
	if (now > f->now + RESTART_MIN_MS)
		f->stale_until = now + RESTART_MIN_MS;
	f->now = MAX(f->now, now);
}

/* ---- Endpoints ---------------------------------------------------------- */

static void
free_peer(gpointer p)
{
	struct gyp_peer *peer = p;

	if (peer == NULL)
		return;
	g_array_free(peer->unacked, TRUE);
	g_ptr_array_free(peer->runs, TRUE);
	g_free(peer);
}

struct gyp_peer *
gyp_fleet_peer(struct gyp_fleet *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f->flows, row);
	struct gyp_peer *peer;

	if (row >= f->peers->len)
		g_ptr_array_set_size(f->peers, (gint)row + 1);
	peer = f->peers->pdata[row];
	if (peer != NULL)
		return peer;
	peer = g_new0(struct gyp_peer, 1);
	peer->row = row;
	peer->poll_due = true;
	peer->born_ms = h != NULL ? h->spec->born_ms : 0;
	/* A call to an earlier incarnation may still be under way. */
	if (h != NULL &&
	    gyp_host_restarted_within(f->flows, h, LATE_CALL_MAX_MS))
		peer->late_grant_ms = LATE_CALL_MAX_MS;
	peer->unacked =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_unacked_end));
	peer->runs = g_ptr_array_new();
	f->peers->pdata[row] = peer;
	return peer;
}

bool
gyp_fleet_usable(const struct gyp_fleet *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f->flows, row);
	const struct gyp_peer *peer;

	if (h == NULL || h->spec->draining || h->spec->gone ||
	    row >= f->peers->len)
		return false;
	peer = f->peers->pdata[row];
	/* A new incarnation must report its capacity, which may differ. */
	return peer != NULL && peer->born_ms <= h->spec->born_ms &&
	       peer->contacted && peer->clock_at != 0 && peer->failures == 0 &&
	       peer->departed_at == 0 &&
	       f->now < peer->last_seen_at + SILENT_MS;
}

/* ---- Events ------------------------------------------------------------- */

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
	struct gyp_peer *peer;

	if (run == NULL)
		return;
	peer = gyp_fleet_peer(f, run->row);
	g_ptr_array_remove_fast(peer->runs, run);
	if (peer->unacked->len > 0)
		gyp_fleet_mark_dirty(f, peer);
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
    uint64_t born_ms, uint64_t clock_ms)
{
	struct gyp_peer *peer = gyp_fleet_peer(f, row);

	gyp_fleet_advance(f, now);
	if (born_ms < peer->born_ms)
		return;
	if (born_ms > peer->born_ms)
		gyp_peer_restarted(f, peer, born_ms);
	peer->last_seen_at = f->now;
	if (clock_ms != 0)
		gyp_peer_update_clock(f, peer, clock_ms);
	if (!peer->contacted || peer->failures > 0) {
		peer->poll_due = true;
		gyp_fleet_mark_dirty(f, peer);
	}
}

void
gyp_fleet_departed(struct gyp_fleet *f, uint64_t now, uint32_t row)
{
	struct gyp_peer *peer = gyp_fleet_peer(f, row);

	gyp_fleet_advance(f, now);
	if (peer->departed_at == 0)
		peer->departed_at = f->now;
}

/* ---- Due work ----------------------------------------------------------- */

static void
propose_removal(struct gyp_fleet *f, struct gyp_peer *peer)
{
	const struct gyp_host *h = gyp_host_at(f->flows, peer->row);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host;

	if (h == NULL || h->spec->gone || peer->removal_proposed)
		return;
	peer->removal_proposed = true;
	gyp_events_add(f->cfg.events, "endpoint-gone",
	    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT, h->spec->id,
	    peer->runs->len, gyp_peer_silence_ms(f, peer));
	host = *h->spec;
	host.gone = true;
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = &host;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

static void
end_all_runs(struct gyp_fleet *f, struct gyp_peer *peer, Gyp__FlowHow how)
{
	guint i;

	for (i = 0; i < peer->runs->len; i++)
		gyp_fleet_propose_end(f, peer->runs->pdata[i], how, NULL);
}

/* Ends the runs whose start was not sent: they need not wait for the lease. */
static void
end_unsent_runs(struct gyp_fleet *f, struct gyp_peer *peer)
{
	guint i;

	for (i = 0; i < peer->runs->len; i++) {
		struct gyp_fleet_run *run = peer->runs->pdata[i];

		if (run->phase == GYP_RUN_UNSENT)
			gyp_fleet_propose_end(
			    f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	}
}

static void
poll_if_due(struct gyp_fleet *f, struct gyp_peer *peer)
{
	bool busy = peer->runs->len > 0 || peer->unacked->len > 0;

	if (f->now < peer->next_poll_at)
		return;
	gyp_peer_advance_acked(f, peer);
	if (peer->failures > 0 || !peer->contacted) {
		if (peer->polls == 0 && (busy || peer->poll_due)) {
			peer->next_poll_at = f->now + POLL_RETRY_MS;
			gyp_fleet_send_poll(f, peer, 0);
		}
		return;
	}
	if (peer->poll_due && peer->polls < GYP_POLLS_MAX) {
		gyp_fleet_send_poll(f, peer, 0);
		return;
	}
	if (peer->polls > 0 || peer->unacked->len > 0)
		return;
	if (busy)
		gyp_fleet_send_poll(f, peer, POLL_WAIT_MS);
	else if (peer->acked > peer->acked_sent)
		gyp_fleet_send_poll(f, peer, 0);
}

static void
retry_runs(struct gyp_fleet *f, struct gyp_peer *peer)
{
	guint i;

	for (i = 0; i < peer->runs->len; i++) {
		struct gyp_fleet_run *run = peer->runs->pdata[i];

		if (run->retry_at == 0 || f->now < run->retry_at)
			continue;
		run->retry_at = 0;
		gyp_fleet_enqueue_run(f, run);
	}
}

static void
sweep_peer(struct gyp_fleet *f, struct gyp_peer *peer)
{
	const struct gyp_host *h = gyp_host_at(f->flows, peer->row);

	if (h == NULL) {
		f->peers->pdata[peer->row] = NULL;
		free_peer(peer);
		return;
	}
	if (peer->departed_at != 0) {
		if (f->now >= peer->departed_at + DEPARTURE_GRACE_MS) {
			end_all_runs(f, peer, GYP__FLOW_HOW__FLOW_LOST);
			propose_removal(f, peer);
		}
		return;
	}
	if (f->now >= gyp_peer_lease_expiry(f, peer) && peer->runs->len > 0) {
		gyp_events_add(f->cfg.events, "lease-over",
		    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT
		    " failures=%u",
		    h->spec->id, peer->runs->len, gyp_peer_silence_ms(f, peer),
		    peer->failures);
		end_all_runs(f, peer, GYP__FLOW_HOW__FLOW_LAPSED);
	}
	if (peer->runs->len == 0 &&
	    f->now >= MAX(peer->last_seen_at, f->leader_since) + REMOVE_IDLE_MS)
		propose_removal(f, peer);
	if (peer->failures > 0)
		end_unsent_runs(f, peer);
	retry_runs(f, peer);
	poll_if_due(f, peer);
}

static void
sweep(struct gyp_fleet *f)
{
	guint i;

	f->next_sweep_at = f->now + SWEEP_MS;
	if (f->now >= f->next_expire_at) {
		f->next_expire_at = f->now + EXPIRE_MS;
		gyp_fleet_expire_calls(f);
	}
	for (i = 0; i < gyp_hosts_size(f->flows); i++) {
		if (gyp_host_at(f->flows, i) != NULL)
			gyp_fleet_peer(f, i);
	}
	for (i = 0; i < f->peers->len; i++) {
		if (f->peers->pdata[i] != NULL)
			sweep_peer(f, f->peers->pdata[i]);
	}
}

/* Sweeps the endpoints that were marked dirty since the last call. */
static void
sweep_dirty(struct gyp_fleet *f)
{
	guint n = f->dirty.length;

	while (n-- > 0) {
		guint row = GPOINTER_TO_UINT(g_queue_pop_head(&f->dirty));
		struct gyp_peer *peer = f->peers->pdata[row];

		if (peer == NULL)
			continue;
		peer->dirty = false;
		sweep_peer(f, peer);
	}
}

static void
send_due_call(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	const struct gyp_peer *peer = gyp_fleet_peer(f, run->row);

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
		if (peer->failures > 0)
			run->retry_at = f->now + POLL_RETRY_MS;
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

void
gyp_fleet_each_run(const struct gyp_fleet *f, gyp_fleet_run_fn fn, void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_fleet_run *run = value;

		if (run->phase == GYP_RUN_CONFIRMED && !run->end_proposed &&
		    run->stop == GYP_STOP_NONE)
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
gyp_fleet_pop_bad_ticket(
    struct gyp_fleet *f, uint64_t *flow, uint32_t *task, uint32_t *row)
{
	struct gyp_bad_ticket *bad = g_queue_pop_head(&f->bad_tickets);

	if (bad == NULL)
		return false;
	*flow = bad->key.flow;
	*task = bad->key.index;
	*row = bad->row;
	g_free(bad);
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
	f->peers = g_ptr_array_new();
	f->runs = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, free_run);
	f->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
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
	g_queue_clear_full(&f->bad_tickets, g_free);
	g_hash_table_destroy(f->pending);
	g_hash_table_destroy(f->runs);
	g_ptr_array_foreach(f->peers, (GFunc)(void (*)(void))free_peer, NULL);
	g_ptr_array_free(f->peers, TRUE);
	g_free(f);
}
