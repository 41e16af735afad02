#include <string.h>

#include "fleet_int.h"
#include "msg.h"

/* Interval of the search for what is due, in ms. */
#define SWEEP_MS 50

/* Interval of the search for calls that are overdue, in ms. */
#define EXPIRE_MS 500

/* An endpoint that was not heard for this long gets no new run, in ms. */
#define SILENT_MS 4500

/*
 * Longest wait of a look for an end, in ms: an answer that is lost delays what
 * ended meanwhile by about this much.
 */
#define LOOK_WAIT_MS 400

/* Pause between looks at an endpoint that does not answer, in ms. */
#define LOOK_RETRY_MS 250

/* An idle endpoint that was not heard for this long is dropped, in ms. */
#define FORGET_MS 60000

/* From an endpoint's word that it ends until its runs count as over, in ms. */
#define GONE_MS 100

/* ---- Runs --------------------------------------------------------------- */

static void
free_run(gpointer p)
{
	struct gyp_fleet_run *run = p;

	g_free(run->ticket);
	g_free(run);
}

struct gyp_fleet_run *
gyp_fleet_find(const struct gyp_fleet *f, const struct gyp_flow_key *key)
{
	return g_hash_table_lookup(f->runs, key);
}

void
gyp_fleet_queue_run(struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	g_queue_push_tail(&f->todo, g_memdup2(&run->key, sizeof(run->key)));
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

	if (run->ending)
		return;
	run->ending = true;
	if (how != GYP__FLOW_HOW__FLOW_DONE && h != NULL)
		gyp_events_add(f->cfg.events, "run-ended",
		    RUN_ID " how=%s endpoint=%s starts_sent=%u confirmed=%d",
		    RUN_ARGS(run), gyp_flow_how_name(how), h->spec->id,
		    run->sends, run->phase == GYP_RUN_UP);
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
gyp_fleet_touch(struct gyp_fleet *f, struct gyp_peer *peer)
{
	if (peer->touched)
		return;
	peer->touched = true;
	g_queue_push_tail(&f->touched, GUINT_TO_POINTER(peer->row));
}

void
gyp_fleet_want_stop(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	if (run->ending || run->stop != GYP_STOP_NONE)
		return;
	if (run->phase == GYP_RUN_DUE) {
		gyp_fleet_propose_end(f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
		return;
	}
	run->stop = GYP_STOP_DUE;
	run->retry_at = 0;
	gyp_fleet_queue_run(f, run);
}

/* ---- Time --------------------------------------------------------------- */

void
gyp_fleet_advance(struct gyp_fleet *f, uint64_t now)
{
	if (now > f->now + REBIRTH_MS)
		f->blind_until = now + REBIRTH_MS;
	f->now = MAX(f->now, now);
}

/* ---- Endpoints ---------------------------------------------------------- */

static void
free_peer(gpointer p)
{
	struct gyp_peer *peer = p;

	if (peer == NULL)
		return;
	g_array_free(peer->seen, TRUE);
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
	peer->quick = true;
	peer->born_ms = h != NULL ? h->spec->born_ms : 0;
	/* An earlier leader's call to an earlier life may be on its way. */
	if (h != NULL &&
	    gyp_host_restarted_within(f->flows, h, CARRIED_LATE_MS))
		peer->late_ms = CARRIED_LATE_MS;
	peer->seen = g_array_new(FALSE, FALSE, sizeof(struct gyp_seen_end));
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
	/* A new life may have another capacity: it has to tell it first. */
	return peer != NULL && peer->born_ms <= h->spec->born_ms && peer->met &&
	       peer->clock_at != 0 && peer->failures == 0 &&
	       peer->gone_at == 0 && f->now < peer->heard_at + SILENT_MS;
}

/* ---- Events ------------------------------------------------------------- */

void
gyp_fleet_started(struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task,
    const char *ticket)
{
	struct gyp_fleet_run *run = add_run(f, flow, task);

	run->ticket = g_strdup(ticket);
	run->phase = GYP_RUN_DUE;
	gyp_fleet_queue_run(f, run);
}

void
gyp_fleet_ended(struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow->id, .index = task};
	struct gyp_fleet_run *run = gyp_fleet_find(f, &key);
	struct gyp_peer *peer;

	if (run == NULL)
		return;
	peer = gyp_fleet_peer(f, run->row);
	g_ptr_array_remove_fast(peer->runs, run);
	if (peer->seen->len > 0)
		gyp_fleet_touch(f, peer);
	g_hash_table_remove(f->runs, &key);
}

void
gyp_fleet_unwanted(struct gyp_fleet *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow->id, .index = task};
	struct gyp_fleet_run *run = gyp_fleet_find(f, &key);

	if (run != NULL)
		gyp_fleet_want_stop(f, run);
}

void
gyp_fleet_beat(struct gyp_fleet *f, uint64_t now, uint32_t row,
    uint64_t born_ms, uint64_t clock_ms)
{
	struct gyp_peer *peer = gyp_fleet_peer(f, row);

	gyp_fleet_advance(f, now);
	if (born_ms < peer->born_ms)
		return;
	if (born_ms > peer->born_ms)
		gyp_peer_reborn(f, peer, born_ms);
	peer->heard_at = f->now;
	if (clock_ms != 0)
		gyp_peer_read_clock(f, peer, clock_ms);
	if (!peer->met || peer->failures > 0) {
		peer->quick = true;
		gyp_fleet_touch(f, peer);
	}
}

void
gyp_fleet_gone(struct gyp_fleet *f, uint64_t now, uint32_t row)
{
	struct gyp_peer *peer = gyp_fleet_peer(f, row);

	gyp_fleet_advance(f, now);
	if (peer->gone_at == 0)
		peer->gone_at = f->now;
}

/* ---- What is due -------------------------------------------------------- */

static void
propose_gone(struct gyp_fleet *f, struct gyp_peer *peer)
{
	const struct gyp_host *h = gyp_host_at(f->flows, peer->row);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host;

	if (h == NULL || h->spec->gone || peer->gone_proposed)
		return;
	peer->gone_proposed = true;
	gyp_events_add(f->cfg.events, "endpoint-gone",
	    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT, h->spec->id,
	    peer->runs->len, gyp_peer_silence(f, peer));
	host = *h->spec;
	host.gone = true;
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = &host;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

static void
end_all(struct gyp_fleet *f, struct gyp_peer *peer, Gyp__FlowHow how)
{
	guint i;

	for (i = 0; i < peer->runs->len; i++)
		gyp_fleet_propose_end(f, peer->runs->pdata[i], how, NULL);
}

/* A run whose start was never sent need not wait for an endpoint in doubt. */
static void
give_up_unsent(struct gyp_fleet *f, struct gyp_peer *peer)
{
	guint i;

	for (i = 0; i < peer->runs->len; i++) {
		struct gyp_fleet_run *run = peer->runs->pdata[i];

		if (run->phase == GYP_RUN_DUE)
			gyp_fleet_propose_end(
			    f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	}
}

static void
look_if_due(struct gyp_fleet *f, struct gyp_peer *peer)
{
	bool busy = peer->runs->len > 0 || peer->seen->len > 0;

	if (f->now < peer->look_at)
		return;
	gyp_peer_settle_ends(f, peer);
	if (peer->failures > 0 || !peer->met) {
		if (peer->looks == 0 && (busy || peer->quick)) {
			peer->look_at = f->now + LOOK_RETRY_MS;
			gyp_fleet_send_look(f, peer, 0);
		}
		return;
	}
	if (peer->quick && peer->looks < GYP_LOOKS_MAX) {
		gyp_fleet_send_look(f, peer, 0);
		return;
	}
	if (peer->looks > 0 || peer->seen->len > 0)
		return;
	if (busy)
		gyp_fleet_send_look(f, peer, LOOK_WAIT_MS);
	else if (peer->acked > peer->acked_sent)
		gyp_fleet_send_look(f, peer, 0);
}

static void
repeat_runs(struct gyp_fleet *f, struct gyp_peer *peer)
{
	guint i;

	for (i = 0; i < peer->runs->len; i++) {
		struct gyp_fleet_run *run = peer->runs->pdata[i];

		if (run->retry_at == 0 || f->now < run->retry_at)
			continue;
		run->retry_at = 0;
		gyp_fleet_queue_run(f, run);
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
	if (peer->gone_at != 0) {
		if (f->now >= peer->gone_at + GONE_MS) {
			end_all(f, peer, GYP__FLOW_HOW__FLOW_LOST);
			propose_gone(f, peer);
		}
		return;
	}
	if (f->now >= gyp_peer_lease_over_at(f, peer) && peer->runs->len > 0) {
		gyp_events_add(f->cfg.events, "lease-over",
		    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT
		    " failures=%u",
		    h->spec->id, peer->runs->len, gyp_peer_silence(f, peer),
		    peer->failures);
		end_all(f, peer, GYP__FLOW_HOW__FLOW_LAPSED);
	}
	if (peer->runs->len == 0 &&
	    f->now >= MAX(peer->heard_at, f->since) + FORGET_MS)
		propose_gone(f, peer);
	if (peer->failures > 0)
		give_up_unsent(f, peer);
	repeat_runs(f, peer);
	look_if_due(f, peer);
}

static void
sweep(struct gyp_fleet *f)
{
	guint i;

	f->sweep_at = f->now + SWEEP_MS;
	if (f->now >= f->expire_at) {
		f->expire_at = f->now + EXPIRE_MS;
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

/* Looks after the endpoints that something happened to since the last time. */
static void
sweep_touched(struct gyp_fleet *f)
{
	guint n = f->touched.length;

	while (n-- > 0) {
		guint row = GPOINTER_TO_UINT(g_queue_pop_head(&f->touched));
		struct gyp_peer *peer = f->peers->pdata[row];

		if (peer == NULL)
			continue;
		peer->touched = false;
		sweep_peer(f, peer);
	}
}

static void
send_run(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	const struct gyp_peer *peer = gyp_fleet_peer(f, run->row);

	if (run->ending || gyp_host_at(f->flows, run->row) == NULL)
		return;
	if (run->stop == GYP_STOP_DUE)
		gyp_fleet_send_stop(f, run);
	else if (run->stop != GYP_STOP_NONE || run->sending)
		return;
	else if (gyp_flow_run_is_unwanted(run->flow, run->key.index))
		gyp_fleet_want_stop(f, run);
	else if (run->phase == GYP_RUN_DUE || run->phase == GYP_RUN_STARTING) {
		if (peer->failures > 0)
			run->retry_at = f->now + LOOK_RETRY_MS;
		else
			gyp_fleet_send_start(f, run);
	}
}

void
gyp_fleet_tick(struct gyp_fleet *f, uint64_t now)
{
	struct gyp_flow_key *key;

	gyp_fleet_advance(f, now);
	if (f->now >= f->sweep_at)
		sweep(f);
	sweep_touched(f);
	while ((key = g_queue_pop_head(&f->todo)) != NULL) {
		struct gyp_fleet_run *run = gyp_fleet_find(f, key);

		if (run != NULL)
			send_run(f, run);
		g_free(key);
	}
}

/* ---- Access ------------------------------------------------------------- */

const struct gyp_run_view *
gyp_fleet_view(const struct gyp_fleet *f, uint64_t flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};
	const struct gyp_fleet_run *run = gyp_fleet_find(f, &key);

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

		if (run->phase == GYP_RUN_UP && !run->ending &&
		    run->stop == GYP_STOP_NONE)
			fn(arg, run->flow, run->key.index, run->row,
			    &run->view);
	}
}

void
gyp_fleet_stop_run(struct gyp_fleet *f, uint64_t flow, uint32_t task)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};
	struct gyp_fleet_run *run = gyp_fleet_find(f, &key);

	if (run != NULL)
		gyp_fleet_want_stop(f, run);
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
				gyp_fleet_want_stop(f, run);
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
	f->since = now;
	f->now = now;
	f->next_call = (fence << 32) + 1; /* no earlier term used these */
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
	g_queue_clear_full(&f->todo, g_free);
	g_queue_clear(&f->touched);
	g_queue_clear_full(&f->bad_tickets, g_free);
	g_hash_table_destroy(f->pending);
	g_hash_table_destroy(f->runs);
	g_ptr_array_foreach(f->peers, (GFunc)(void (*)(void))free_peer, NULL);
	g_ptr_array_free(f->peers, TRUE);
	g_free(f);
}
