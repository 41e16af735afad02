#include <string.h>

#include "replica_int.h"
#include "workspace.h"

/*
 * Retry delay sent with "busy" replies, such as before the first manifest, in
 * ms.
 */
#define BUSY_RETRY_MS 1000

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
	uint32_t capitals;

	return gyp_flow_id_parse(text, id, &capitals);
}

/* Finds the flow's id at the end of a path, whose queue is not known here. */
static bool
find_flow_id(const char *path, uint64_t *id)
{
	size_t len = strlen(path);

	return len >= GYP_FLOW_ID_DIGITS &&
	       parse_flow_id(path + len - GYP_FLOW_ID_DIGITS, id);
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

/* rest is the part of the path behind the queue's prefix. */
static void
submit_flow(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call,
    const Gyp__FlowQueue *q, const Gyp__Workspace *ws, const char *rest,
    uint64_t id)
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
	gyp_flow_id_parse(rest, &spec.id, &spec.id_capitals);
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
		submit_flow(r, entry, call, q, ws, rest, id);
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
