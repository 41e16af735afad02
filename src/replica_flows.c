#include <string.h>

#include "carriers.h"
#include "host_msg.h"
#include "msg.h"
#include "replica_int.h"
#include "workspace.h"

/*
 * Retry delay sent with "busy" replies, such as before the first manifest, in
 * ms.
 */
#define BUSY_RETRY_MS 1000

/* Interval of the gauges and the log line of workspaces, in ms. */
#define WORKSPACES_REPORT_MS 5000

/* Hexadecimal digits of a flow's id in a path. */
#define FLOW_ID_DIGITS 16

/* ---- Replies ------------------------------------------------------------ */

/*
 * Replies with a code. Logs each code other than CODE_OK, and adds the retry
 * delay to CODE_BUSY.
 */
static void
reply_and_log(struct gyp_replica *r, uint64_t entry, uint64_t call,
    Gyp__Code code, const char *message)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	msg.id = call;
	msg.code = code;
	msg.message = (char *)message;
	if (code != GYP__CODE__CODE_OK)
		gyp_events_add(r->events, "request-refused",
		    "entry=%016" G_GINT64_MODIFIER "x call=%" G_GUINT64_FORMAT
		    " code=%d reason=\"%s\"",
		    entry, call, code, message);
	if (code == GYP__CODE__CODE_BUSY)
		msg.retry_ms = BUSY_RETRY_MS;
	gyp_replica_reply(r, entry, &msg);
}

static void
reply_view(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const Gyp__FlowView *view)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	msg.id = call;
	msg.code = GYP__CODE__CODE_OK;
	msg.flow = (Gyp__FlowView *)view;
	gyp_replica_reply(r, entry, &msg);
}

static void
reply_state(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const struct gyp_flow *flow)
{
	Gyp__FlowView view = GYP__FLOW_VIEW__INIT;

	view.state = flow->state;
	reply_view(r, entry, call, &view);
}

/* ---- Requests to queues ------------------------------------------------- */

static bool
parse_flow_id(const char *text, uint64_t *id)
{
	return strlen(text) == FLOW_ID_DIGITS &&
	       g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, id, NULL);
}

/* Finds the flow's id at the end of a path, whose queue is not known here. */
static bool
find_flow_id(const char *path, uint64_t *id)
{
	size_t len = strlen(path);

	return len >= FLOW_ID_DIGITS &&
	       parse_flow_id(path + len - FLOW_ID_DIGITS, id);
}

/*
 * A flow that was accepted may be submitted again by the entry, as when the
 * answer was lost, after its route was dropped. Returns the queue by the
 * manifest at the time when the entry received the request, if the flow is
 * known, else NULL.
 */
static const Gyp__FlowQueue *
find_queue_of_accepted(
    const struct gyp_replica *r, const Gyp__Call *call, const char **rest)
{
	const struct gyp_flows *flows = gyp_state_flows(r->state);
	const Gyp__CmdManifest *m =
	    gyp_flows_manifest_when(flows, call->flow->received_ms);
	const Gyp__FlowQueue *q;
	const struct gyp_flow *flow;
	uint64_t id;

	if (m == NULL || call->flow->submit == NULL)
		return NULL;
	q = gyp_manifest_queue(m, call->flow->host, call->flow->path, rest);
	if (q == NULL || !parse_flow_id(*rest, &id))
		return NULL;
	flow = gyp_flow_get(flows, id);
	return flow != NULL && strcmp(flow->spec->queue->host, q->host) == 0 &&
		       strcmp(flow->spec->queue->prefix, q->prefix) == 0
		   ? q
		   : NULL;
}

/* Finds the queue of a request; replies and returns NULL when there is none. */
static const Gyp__FlowQueue *
find_queue(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    const char **rest)
{
	const Gyp__CmdManifest *m =
	    gyp_flows_manifest(gyp_state_flows(r->state));
	const Gyp__FlowQueue *q;

	if (m == NULL) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_BUSY,
		    "no manifest yet");
		return NULL;
	}
	q = find_queue_of_accepted(r, call, rest);
	if (q == NULL)
		q = gyp_manifest_queue(
		    m, call->flow->host, call->flow->path, rest);
	if (q == NULL)
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_NOT_FOUND,
		    "no such queue");
	return q;
}

static void
read_queue(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    const Gyp__FlowQueue *q)
{
	Gyp__FlowView view = GYP__FLOW_VIEW__INIT;
	const GList *l = gyp_flows_active(gyp_state_flows(r->state))->head;

	view.is_queue = true;
	for (; l != NULL; l = l->next) {
		const struct gyp_flow *flow = l->data;

		view.pending +=
		    flow->state == GYP_FLOW_QUEUED &&
		    strcmp(flow->spec->queue->host, q->host) == 0 &&
		    strcmp(flow->spec->queue->prefix, q->prefix) == 0;
	}
	reply_view(r, entry, call->id, &view);
}

/*
 * Returns the call that submits the flow and whose command is not committed
 * yet, or NULL.
 */
static const Gyp__Call *
find_uncommitted_submit(const struct gyp_replica *r, uint64_t id)
{
	guint i;

	for (i = 0; i < r->waiting_calls->len; i++) {
		const struct gyp_waiting_call *w = r->waiting_calls->pdata[i];
		uint64_t other;

		if (w->call->c_case == GYP__CALL__C_FLOW &&
		    w->call->flow->submit != NULL &&
		    find_flow_id(w->call->flow->path, &other) && other == id)
			return w->call;
	}
	return NULL;
}

/* Name of the workspace in commands, "" for none. */
static char *
workspace_name(const Gyp__Workspace *ws)
{
	return ws != NULL ? ws->name : (char *)"";
}

/* True if the call has a key of that workspace, which may be NULL. */
static bool
is_of_workspace(const struct gyp_replica *r, const Gyp__Call *call,
    const Gyp__Workspace *ws)
{
	return gyp_workspace_by_key(
		   gyp_flows_manifest(gyp_state_flows(r->state)),
		   &call->flow->key_digest) == ws;
}

/* Refuses a flow beyond the workspace's rate; commits nothing. */
static void
refuse_flow(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const Gyp__FlowSpec *spec, const Gyp__Workspace *ws,
    const struct gyp_pool_load *load, uint32_t retry_ms)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	msg.id = call;
	msg.code = GYP__CODE__CODE_OVER_RATE;
	msg.retry_ms = retry_ms;
	gyp_events_add(r->events, "flow-refused",
	    "flow=%016" G_GINT64_MODIFIER
	    "x queue=%s workspace=%s rate=%.3g delay_ms=%u retry_ms=%u",
	    spec->id, spec->queue->name, ws->name, ws->rate,
	    gyp_load_shed_delay_ms(load), retry_ms);
	gyp_replica_reply(r, entry, &msg);
}

/*
 * Decides on a new flow and marks it when it is beyond the workspace's rate.
 * Replies and returns false when it is refused.
 */
static bool
admit_flow(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    const Gyp__Workspace *ws, Gyp__FlowSpec *spec)
{
	struct gyp_flows *flows = gyp_state_flows(r->state);
	uint64_t now = gyp_replica_cell_time(r);
	enum gyp_intake_verdict verdict = GYP_INTAKE_REFUSE;
	uint32_t retry_ms = GYP_LOAD_SHED_RETRY_MIN_MS;
	struct gyp_pool_load load;

	if (ws == NULL)
		return true;
	load = gyp_flow_scheduler_load(r->flow_scheduler, spec->queue->pool,
	    gyp_workspace_use_by_name(flows, ws->name));
	/*
	 * The delay is bounded by target_ms, not by the flow's whole slack:
	 * the other flows of the queue need theirs.
	 */
	if (!gyp_flow_intake_is_outdated(
		r->flow_intake, now, spec->id, call->flow->received_ms))
		verdict = gyp_flow_intake_decide(r->flow_intake, now, ws,
		    spec->id, spec->queue->target_ms, &load, &retry_ms);
	spec->excess = verdict == GYP_INTAKE_ACCEPT_EXCESS;
	gyp_workspace_metrics_submit(
	    r->workspace_metrics, ws->name, gyp_intake_verdict_name(verdict));
	if (verdict != GYP_INTAKE_REFUSE)
		return true;
	refuse_flow(r, entry, call->id, spec, ws, &load, retry_ms);
	return false;
}

static void
submit_flow(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    const Gyp__FlowQueue *q, const Gyp__Workspace *ws, uint64_t id)
{
	struct gyp_flows *flows = gyp_state_flows(r->state);
	const struct gyp_flow *flow = gyp_flow_get(flows, id);
	const char *error = gyp_flow_check_spec(call->flow->submit);
	const Gyp__Call *earlier = find_uncommitted_submit(r, id);
	Gyp__FlowSpec spec = *call->flow->submit;
	Gyp__CmdFlow submit = GYP__CMD_FLOW__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (flow != NULL) {
		reply_state(r, entry, call->id, flow);
		return;
	}
	if (error != NULL) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_BAD, error);
		return;
	}
	if (earlier == NULL && gyp_flows_count(flows) >= GYP_FLOWS_MAX) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_BUSY,
		    "too many flows are known");
		return;
	}
	spec.id = id;
	spec.queue = (Gyp__FlowQueue *)q;
	spec.workspace = workspace_name(ws);
	spec.excess = false;
	if (earlier != NULL && !is_of_workspace(r, earlier, ws)) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_BUSY,
		    "another caller submits a flow with that id");
		return;
	}
	/* The flow may be accepted already, so it must not be refused. */
	if (earlier == NULL && !admit_flow(r, entry, call, ws, &spec))
		return;
	submit.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &submit;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

static void
cancel_flow(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    const struct gyp_flow *flow)
{
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (!gyp_flow_is_alive(flow)) {
		reply_state(r, entry, call->id, flow);
		return;
	}
	cancel.flow = flow->id;
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

/*
 * The request that submits the flow may still be on its way, here or at another
 * entry. The caller is told that there is no such flow once it is recorded that
 * it gets no run.
 */
static void
cancel_unknown_flow(struct gyp_replica *r, uint64_t entry,
    const Gyp__Call *call, const Gyp__FlowQueue *q, const Gyp__Workspace *ws,
    uint64_t id)
{
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	cancel.flow = id;
	cancel.early = true;
	cancel.workspace = q->is_public ? (char *)"" : workspace_name(ws);
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

/* Replies and returns false unless access is granted. */
static bool
check_access(struct gyp_replica *r, uint64_t entry, uint64_t call,
    enum gyp_access access)
{
	if (access == GYP_ACCESS_UNAUTHENTICATED)
		reply_and_log(r, entry, call, GYP__CODE__CODE_UNAUTHENTICATED,
		    "no API key that is in force");
	else if (access == GYP_ACCESS_FORBIDDEN)
		reply_and_log(r, entry, call, GYP__CODE__CODE_FORBIDDEN,
		    "the flow belongs to another workspace");
	return access == GYP_ACCESS_GRANTED;
}

void
gyp_replica_handle_flow(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__CmdManifest *m =
	    gyp_flows_manifest(gyp_state_flows(r->state));
	const char *rest;
	const Gyp__FlowQueue *q = find_queue(r, entry, call, &rest);
	const Gyp__Workspace *ws;
	const struct gyp_flow *flow;
	uint64_t id;

	if (q == NULL ||
	    !check_access(r, entry, call->id,
		gyp_workspace_access(m, q, &call->flow->key_digest, &ws)))
		return;
	if (rest[0] == '\0' && call->flow->submit == NULL &&
	    !call->flow->cancel) {
		read_queue(r, entry, call, q);
		return;
	}
	if (!parse_flow_id(rest, &id)) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_BAD,
		    "the path must end with 16 hexadecimal digits");
		return;
	}
	flow = gyp_flow_get(gyp_state_flows(r->state), id);
	if (flow != NULL &&
	    !check_access(r, entry, call->id,
		gyp_workspace_flow_access(m, q, ws, flow->spec)))
		return;
	if (call->flow->submit != NULL)
		submit_flow(r, entry, call, q, ws, id);
	else if (flow == NULL && call->flow->cancel)
		cancel_unknown_flow(r, entry, call, q, ws, id);
	else if (flow == NULL)
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_RETIRED,
		    "no such flow");
	else if (call->flow->cancel)
		cancel_flow(r, entry, call, flow);
	else
		reply_state(r, entry, call->id, flow);
}

/* Logs a submit or cancel that is committed. */
static void
log_flow_command(
    struct gyp_replica *r, const Gyp__Call *call, const struct gyp_flow *flow)
{
	if (call->flow->cancel)
		gyp_events_add(r->events, "flow-cancelled",
		    "flow=%016" G_GINT64_MODIFIER "x open=%u", flow->id,
		    flow->open);
	else if (call->flow->submit != NULL)
		gyp_events_add(r->events, "flow-accepted",
		    "flow=%016" G_GINT64_MODIFIER
		    "x queue=%s steps=%zu tasks=%u version=%" G_GUINT64_FORMAT
		    " workspace=%s excess=%d",
		    flow->id, flow->spec->queue->name, flow->spec->n_steps,
		    flow->n_tasks,
		    gyp_flows_manifest(gyp_state_flows(r->state))->version,
		    flow->use != NULL ? flow->use->name : "-",
		    flow->spec->excess);
}

/* True if the call cancelled a flow that is not known. */
static bool
is_cancelled_early(
    const struct gyp_replica *r, const Gyp__Call *call, uint64_t id)
{
	const struct gyp_flows *flows = gyp_state_flows(r->state);
	const Gyp__CmdManifest *m = gyp_flows_manifest(flows);
	const Gyp__Workspace *ws;
	const Gyp__FlowQueue *q;
	const char *rest;

	if (!call->flow->cancel)
		return false;
	q = gyp_manifest_queue(m, call->flow->host, call->flow->path, &rest);
	if (q == NULL)
		return false;
	gyp_workspace_access(m, q, &call->flow->key_digest, &ws);
	return gyp_flows_is_cancelled_early(
	    flows, id, q->is_public ? "" : workspace_name(ws));
}

void
gyp_replica_answer_flow(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const struct gyp_flow *flow = NULL;
	uint64_t id = 0;

	if (find_flow_id(call->flow->path, &id))
		flow = gyp_flow_get(gyp_state_flows(r->state), id);
	if (is_cancelled_early(r, call, id)) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_RETIRED,
		    "no such flow; it gets no run if it is submitted");
	} else if (flow != NULL) {
		log_flow_command(r, call, flow);
		reply_state(r, entry, call->id, flow);
	} else {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_BUSY,
		    "too many flows or cancellations are on record");
	}
	gyp_flow_scheduler_request_round(r->flow_scheduler);
}

/* ---- Endpoints and the manifest ----------------------------------------- */

void
gyp_replica_handle_host(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	struct gyp_flows *flows = gyp_state_flows(r->state);
	const struct gyp_host *h = gyp_host_by_id(flows, call->host->id);
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (call->host->gone) {
		if (h != NULL)
			gyp_fleet_departed(
			    gyp_flow_scheduler_fleet(r->flow_scheduler), r->now,
			    h->row, call->host->born_ms);
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_OK, "");
		return;
	}
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = call->host;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

void
gyp_replica_handle_manifest(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__CmdManifest *m =
	    gyp_flows_manifest(gyp_state_flows(r->state));
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (m != NULL && call->manifest->version <= m->version) {
		reply_and_log(r, entry, call->id, GYP__CODE__CODE_OK, "");
		return;
	}
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = call->manifest;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

/* ---- Calls of this process ---------------------------------------------- */

bool
gyp_replica_local_call(
    struct gyp_replica *r, uint64_t now, const Gyp__Call *call)
{
	gyp_replica_advance(r, now);
	if (!gyp_replica_serving(r))
		return false;
	gyp_replica_handle_call(r, GYP_LOCAL_ENTRY, call);
	gyp_replica_process(r);
	return true;
}

Gyp__Reply *
gyp_replica_pop_local_reply(struct gyp_replica *r)
{
	return g_queue_pop_head(&r->local_replies);
}

/* Drops calls whose give-up time has passed. */
static void
drop_expired_calls(struct gyp_replica *r)
{
	struct gyp_fleet_call *call;

	while ((call = g_queue_peek_head(&r->own_endpoint_calls)) != NULL &&
	       r->now >= call->give_up_at)
		gyp_fleet_call_free(g_queue_pop_head(&r->own_endpoint_calls));
}

struct gyp_fleet_call *
gyp_replica_pop_endpoint_call(struct gyp_replica *r)
{
	if (r->flow_scheduler == NULL || !gyp_replica_serving(r))
		return NULL;
	drop_expired_calls(r);
	if (g_queue_is_empty(&r->own_endpoint_calls) ||
	    !gyp_carriers_take_direct_call(r->carriers, r->now))
		return NULL;
	return g_queue_pop_head(&r->own_endpoint_calls);
}

void
gyp_replica_endpoint_call_answered(
    struct gyp_replica *r, uint64_t now, const struct gyp_fleet_answer *a)
{
	gyp_replica_advance(r, now);
	if (r->flow_scheduler == NULL)
		return;
	/*
	 * Handled even if the leader lease may have ended: open calls must be
	 * closed.
	 */
	gyp_flow_scheduler_call_answered(r->flow_scheduler, r->now, a);
	gyp_replica_process(r);
}

struct gyp_events *
gyp_replica_events(struct gyp_replica *r)
{
	return r->events;
}

const char *
gyp_replica_leader_address(const struct gyp_replica *r)
{
	return gyp_replica_member_address(r, gyp_raft_leader(r->raft));
}

void
gyp_replica_set_wall_clock(struct gyp_replica *r, uint64_t wall_ms)
{
	r->wall_ms = wall_ms;
}

/* ---- Leading ------------------------------------------------------------ */

void
gyp_replica_start_flow_scheduler(struct gyp_replica *r)
{
	struct gyp_fleet_config cfg = {.lease_ms = r->cfg.run_lease_ms,
	    .stop_grace_ms = r->cfg.stop_grace_ms,
	    .events = r->events,
	    .counters = r->counters,
	    .learn_run_times = r->cfg.learn_run_times,
	    .fence_incarnations = r->cfg.fence_incarnations};

	r->flow_scheduler = gyp_flow_scheduler_new(
	    &cfg, gyp_state_flows(r->state), r->now, r->leader_term);
	r->flow_intake =
	    gyp_flow_intake_new(gyp_state_flows(r->state), r->time_base);
	r->carriers = gyp_carriers_new();
	r->workspaces_at = r->now + WORKSPACES_REPORT_MS;
}

void
gyp_replica_free_flow_scheduler(struct gyp_replica *r)
{
	gyp_flow_scheduler_free(r->flow_scheduler);
	r->flow_scheduler = NULL;
	gyp_workspace_metrics_clear(r->workspace_metrics);
	gyp_flow_intake_free(r->flow_intake);
	r->flow_intake = NULL;
	gyp_carriers_free(r->carriers);
	r->carriers = NULL;
	g_queue_clear_full(
	    &r->own_endpoint_calls, (GDestroyNotify)gyp_fleet_call_free);
	g_queue_clear_full(&r->local_replies, gyp_message_free);
}

static void
offer_query_slots(struct gyp_replica *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_entry_peer *peer = value;

		if (gyp_replica_can_take_orders(r, peer) && !peer->draining)
			gyp_flow_scheduler_offer_entry(
			    r->flow_scheduler, r->now, peer->id);
	}
}

static void
send_admission_queries(struct gyp_replica *r)
{
	Gyp__Ask *query;
	uint64_t entry;

	while ((query = gyp_flow_scheduler_pop_query(
		    r->flow_scheduler, &entry)) != NULL) {
		struct gyp_entry_peer *peer = gyp_replica_entry_peer(r, entry);

		g_ptr_array_add(peer->queries, query);
		peer->frame_due = true;
	}
}

/* ---- Calls that entries carry ------------------------------------------- */

/*
 * A carrier on the leader's VM would use the CPU time that it is meant to
 * save.
 */
static bool
is_on_same_vm(const struct gyp_replica *r, const struct gyp_entry_peer *peer)
{
	const char *end;

	if (peer->address == NULL)
		return false;
	end = strrchr(peer->address, ':');
	return end != NULL && strncmp(peer->address, r->cfg.address,
				  (size_t)(end - peer->address) + 1) == 0;
}

void
gyp_replica_handle_carrier(struct gyp_replica *r,
    const struct gyp_entry_peer *peer, const Gyp__EntryUp *up)
{
	size_t i;

	if (!up->carries || is_on_same_vm(r, peer))
		return;
	if (up->draining)
		gyp_carriers_drop(r->carriers, peer->id);
	else
		gyp_carriers_seen(r->carriers, r->now, peer->id);
	for (i = 0; i < up->n_host_answers; i++) {
		struct gyp_fleet_answer a;

		gyp_carriers_answered(r->carriers, up->host_answers[i]->call);
		gyp_host_msg_to_answer(up->host_answers[i], &a);
		gyp_flow_scheduler_call_answered(r->flow_scheduler, r->now, &a);
		gyp_host_msg_clear(&a);
	}
}

static void
log_carrier_changes(struct gyp_replica *r, uint32_t lost)
{
	uint64_t entry;
	bool live;

	while (gyp_carriers_pop_change(r->carriers, &entry, &live)) {
		const struct gyp_entry_peer *peer =
		    g_hash_table_lookup(r->entries, &entry);

		gyp_events_add(r->events,
		    live ? "carrier-live" : "carrier-lost",
		    "entry=%016" G_GINT64_MODIFIER
		    "x name=%s lost_calls=%u heard_ms_ago=%" G_GUINT64_FORMAT,
		    entry,
		    peer != NULL && peer->name != NULL ? peer->name : "-", lost,
		    peer != NULL ? r->now - peer->last_seen : 0);
	}
}

static void
handle_lost_calls(struct gyp_replica *r)
{
	struct gyp_fleet_answer a = {.end = GYP_FLEET_CARRIER_LOST};
	uint32_t lost = 0;

	while (gyp_carriers_pop_lost(r->carriers, r->now, &a.call)) {
		gyp_flow_scheduler_call_answered(r->flow_scheduler, r->now, &a);
		lost++;
	}
	log_carrier_changes(r, lost);
}

/* Sends the call to its carrier; false when there is none. */
static bool
send_to_carrier(struct gyp_replica *r, struct gyp_fleet_call *call)
{
	uint64_t entry = gyp_carriers_pick(r->carriers, r->now, call->row);
	struct gyp_entry_peer *peer;

	if (entry == 0)
		return false;
	peer = gyp_replica_entry_peer(r, entry);
	gyp_carriers_sent(
	    r->carriers, r->now, call->id, call->timeout_ms, entry);
	g_ptr_array_add(peer->host_calls, gyp_host_msg_from_call(call));
	peer->frame_due = true;
	gyp_fleet_call_free(call);
	return true;
}

/* Calls that wait to be made by this process are offered to carriers first. */
static void
dispatch_calls(struct gyp_replica *r)
{
	guint waiting = r->own_endpoint_calls.length;
	struct gyp_fleet_call *call;

	while (waiting-- > 0) {
		call = g_queue_pop_head(&r->own_endpoint_calls);
		if (!send_to_carrier(r, call))
			g_queue_push_tail(&r->own_endpoint_calls, call);
	}
	while (
	    (call = gyp_flow_scheduler_pop_call(r->flow_scheduler)) != NULL) {
		if (!send_to_carrier(r, call))
			g_queue_push_tail(&r->own_endpoint_calls, call);
	}
}

/* Updates the gauges of workspaces and logs the busiest ones. */
static void
report_workspaces(struct gyp_replica *r)
{
	GArray *views = gyp_workspace_views(gyp_state_flows(r->state),
	    gyp_flow_scheduler_placer(r->flow_scheduler), r->flow_intake,
	    r->wall_ms);

	r->workspaces_at = r->now + WORKSPACES_REPORT_MS;
	gyp_workspace_metrics_set(r->workspace_metrics, views);
	gyp_workspace_metrics_log(r->workspace_metrics, views, r->events);
	g_array_free(views, TRUE);
}

void
gyp_replica_schedule_flows(struct gyp_replica *r, bool decide)
{
	Gyp__Cmd *cmd;

	handle_lost_calls(r);
	if (decide)
		offer_query_slots(r);
	gyp_flow_scheduler_round(r->flow_scheduler, r->now, r->wall_ms, decide);
	while ((cmd = gyp_flow_scheduler_pop_cmd(r->flow_scheduler)) != NULL)
		g_ptr_array_add(r->pending_cmds, cmd);
	send_admission_queries(r);
	dispatch_calls(r);
	if (r->now >= r->workspaces_at)
		report_workspaces(r);
}
