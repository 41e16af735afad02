#include <string.h>

#include "fleet_int.h"
#include "msg.h"

/* Most unknown runs that are stopped after one look. */
#define STRAYS_MAX 50

/* ---- Ends --------------------------------------------------------------- */

static struct gyp_flow_key
key_of(const struct gyp_fleet *f, const struct gyp_listed_run *l)
{
	const struct gyp_flow *flow = gyp_flow_get(f->flows, l->flow);
	struct gyp_flow_key key = {.flow = l->flow, .index = UINT32_MAX};

	if (flow != NULL)
		key.index = gyp_flow_task_at(flow, l->time, l->step, l->index);
	return key;
}

/* The run that an endpoint lists, if the tables hold it as open there. */
static struct gyp_fleet_run *
listed_run(const struct gyp_fleet *f, const struct gyp_peer *peer,
    const struct gyp_flow_key *key, uint32_t number)
{
	struct gyp_fleet_run *run = gyp_fleet_find(f, key);

	if (run == NULL || run->run != number || run->row != peer->row)
		return NULL;
	return run;
}

/* The run was given up with its lease, and no other was begun since. */
static bool
is_late_done(const struct gyp_fleet *f, const struct gyp_peer *peer,
    const struct gyp_flow_key *key, uint32_t number)
{
	const struct gyp_flow *flow = gyp_flow_get(f->flows, key->flow);

	return flow != NULL && key->index < flow->n_tasks &&
	       flow->tasks[key->index].run == number &&
	       flow->tasks[key->index].host == peer->row &&
	       gyp_flow_accepts_late_done(flow, key->index);
}

static void
propose_late_done(struct gyp_fleet *f, const struct gyp_peer *peer,
    const struct gyp_flow_key *key, uint32_t number)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	end.flow = key->flow;
	end.task = key->index;
	end.run = number;
	end.host = peer->row;
	end.how = GYP__FLOW_HOW__FLOW_DONE;
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
	gyp_events_add(f->cfg.events, "late-done",
	    "flow=%016" G_GINT64_MODIFIER "x task=%u run=%u endpoint=%s",
	    key->flow, key->index, number, gyp_peer_name(f, peer->row));
}

static void
take_end(
    struct gyp_fleet *f, struct gyp_peer *peer, const struct gyp_listed_end *e)
{
	struct gyp_flow_key key = key_of(f, &e->run);
	struct gyp_fleet_run *run = listed_run(f, peer, &key, e->run.run);
	struct gyp_seen_end seen = {
	    .number = e->number, .key = key, .run = e->run.run};

	seen.late = run == NULL && e->how == GYP__FLOW_HOW__FLOW_DONE;
	g_array_append_val(peer->seen, seen);
	if (run != NULL)
		gyp_fleet_propose_end(f, run, e->how, e->run.checkpoint);
	else if (seen.late && is_late_done(f, peer, &key, e->run.run))
		propose_late_done(f, peer, &key, e->run.run);
}

static uint64_t
last_seen(const struct gyp_peer *peer)
{
	if (peer->seen->len == 0)
		return peer->acked;
	return g_array_index(
	    peer->seen, struct gyp_seen_end, peer->seen->len - 1)
	    .number;
}

static void
take_ends(struct gyp_fleet *f, struct gyp_peer *peer, const GArray *ended)
{
	guint i;

	for (i = 0; i < ended->len; i++) {
		const struct gyp_listed_end *e =
		    &g_array_index(ended, struct gyp_listed_end, i);

		if (e->number > last_seen(peer))
			take_end(f, peer, e);
	}
}

void
gyp_peer_settle_ends(struct gyp_fleet *f, struct gyp_peer *peer)
{
	guint done = 0;

	while (done < peer->seen->len) {
		const struct gyp_seen_end *e =
		    &g_array_index(peer->seen, struct gyp_seen_end, done);

		if (listed_run(f, peer, &e->key, e->run) != NULL ||
		    (e->late && is_late_done(f, peer, &e->key, e->run)))
			break;
		peer->acked = e->number;
		done++;
	}
	if (done > 0)
		g_array_remove_range(peer->seen, 0, done);
}

/* ---- Runs --------------------------------------------------------------- */

/* Stops what no table knows; nobody waits for the answer. */
static void
stop_stray(struct gyp_fleet *f, const struct gyp_peer *peer,
    const struct gyp_listed_run *l)
{
	const struct gyp_host *h = gyp_host_at(f->flows, peer->row);
	struct gyp_fleet_call *call = g_new0(struct gyp_fleet_call, 1);

	call->id = f->next_call++;
	call->kind = GYP_FLEET_STOP;
	call->row = h->row;
	call->address = g_strdup(h->spec->address);
	call->endpoint = g_strdup(h->spec->id);
	call->fence = f->fence;
	call->timeout_ms = 1000;
	call->give_up_at = f->now + 1000;
	call->flow = l->flow;
	call->time = l->time;
	call->step = l->step;
	call->index = l->index;
	call->run = l->run;
	g_queue_push_tail(&f->calls, call);
}

void
gyp_fleet_confirm(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	if (run->phase == GYP_RUN_UP)
		return;
	run->view.timed = run->phase == GYP_RUN_STARTING;
	run->phase = GYP_RUN_UP;
	run->confirmed_at = f->now;
	if (run->stop == GYP_STOP_NONE)
		run->retry_at = 0;
	run->view.up = true;
	run->view.up_at = f->now;
	run->view.moved_at = f->now;
}

static void
view_run(struct gyp_fleet *f, struct gyp_fleet_run *run,
    const struct gyp_listed_run *l)
{
	gyp_fleet_confirm(f, run);
	if (run->view.percent != l->percent)
		run->view.moved_at = f->now;
	run->view.percent = l->percent;
	run->view.load = l->load;
	run->view.seen_at = f->now;
}

static GHashTable *
take_running(struct gyp_fleet *f, struct gyp_peer *peer, const GArray *running)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);
	guint i, strays = 0;

	for (i = 0; i < running->len; i++) {
		const struct gyp_listed_run *l =
		    &g_array_index(running, struct gyp_listed_run, i);
		struct gyp_flow_key key = key_of(f, l);
		struct gyp_fleet_run *run = listed_run(f, peer, &key, l->run);

		if (run != NULL) {
			g_hash_table_add(listed, run);
			view_run(f, run, l);
		} else if (strays++ < STRAYS_MAX) {
			stop_stray(f, peer, l);
		}
	}
	return listed;
}

static bool
is_seen(const struct gyp_peer *peer, const struct gyp_fleet_run *run)
{
	guint i;

	for (i = 0; i < peer->seen->len; i++) {
		const struct gyp_seen_end *e =
		    &g_array_index(peer->seen, struct gyp_seen_end, i);

		if (e->key.flow == run->key.flow &&
		    e->key.index == run->key.index && e->run == run->run)
			return true;
	}
	return false;
}

/* The endpoint has neither begun the run nor told its end. */
static void
run_is_missing(struct gyp_fleet *f, struct gyp_fleet_run *run, uint64_t sent_at)
{
	bool should_be_there =
	    run->phase == GYP_RUN_INHERITED ||
	    (run->phase == GYP_RUN_UP && run->confirmed_at <= sent_at);

	if (run->stop == GYP_STOP_OK && run->stopped_at <= sent_at &&
	    !run->sending)
		gyp_fleet_propose_end(f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	else if (run->stop == GYP_STOP_NONE && should_be_there)
		gyp_fleet_want_stop(f, run);
}

void
gyp_fleet_take_lists(struct gyp_fleet *f, struct gyp_peer *peer,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	GHashTable *listed;
	guint i;

	peer->listed_at = f->now;
	take_ends(f, peer, a->ended);
	gyp_peer_settle_ends(f, peer);
	listed = take_running(f, peer, a->running);
	for (i = 0; i < peer->runs->len; i++) {
		struct gyp_fleet_run *run = peer->runs->pdata[i];

		if (!run->ending && !g_hash_table_contains(listed, run) &&
		    !is_seen(peer, run))
			run_is_missing(f, run, p->sent_at);
	}
	g_hash_table_destroy(listed);
}
