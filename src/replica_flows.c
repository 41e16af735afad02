#include <string.h>

#include "carriers.h"
#include "host_msg.h"
#include "msg.h"
#include "replica_int.h"

/* Interval of the gauges and the log line of workspaces, in ms. */
#define WORKSPACES_REPORT_MS 5000

/* ---- Endpoints and the manifest ----------------------------------------- */

static void
reply_ok(struct gyp_replica *r, uint64_t entry, uint64_t call)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	msg.id = call;
	msg.code = GYP__CODE__CODE_OK;
	msg.message = (char *)"";
	gyp_replica_reply(r, entry, &msg);
}

/*
 * An endpoint announces its shutdown. It does not announce it again once it is
 * confirmed, so that is committed first, if it is known which incarnation ends.
 */
static void
handle_departure(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const struct gyp_host *h =
	    gyp_host_by_id(gyp_state_flows(r->state), call->host->id);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHostEnded ended = GYP__CMD_HOST_ENDED__INIT;

	if (h != NULL)
		ended.born_ms = gyp_fleet_departed(
		    gyp_flow_scheduler_fleet(r->flow_scheduler), r->now, h->row,
		    call->host->born_ms);
	if (h == NULL || ended.born_ms <= h->spec->ended_born_ms) {
		reply_ok(r, entry, call->id);
		return;
	}
	ended.id = call->host->id;
	cmd.c_case = GYP__CMD__C_HOST_ENDED;
	cmd.host_ended = &ended;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

void
gyp_replica_handle_host(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (call->host->gone) {
		handle_departure(r, entry, call);
		return;
	}
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = call->host;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

/* True if the tables hold a manifest of that version or a higher one. */
static bool
has_manifest(const struct gyp_replica *r, uint64_t version)
{
	const Gyp__CmdManifest *m =
	    gyp_flows_manifest(gyp_state_flows(r->state));

	return m != NULL && version <= m->version;
}

void
gyp_replica_handle_manifest(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (has_manifest(r, call->manifest->version)) {
		reply_ok(r, entry, call->id);
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

bool
gyp_replica_local_manifest(
    struct gyp_replica *r, uint64_t now, Gyp__CmdManifest *m)
{
	Gyp__Cmd *cmd;

	gyp_replica_advance(r, now);
	if (!gyp_replica_serving(r))
		return false;
	if (has_manifest(r, m->version)) {
		gyp_message_free(m);
		return true;
	}
	cmd = g_new(Gyp__Cmd, 1);
	gyp__cmd__init(cmd);
	cmd->c_case = GYP__CMD__C_MANIFEST;
	cmd->manifest = m;
	g_ptr_array_add(r->pending_cmds, cmd);
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

bool
gyp_replica_pop_inventory_request(struct gyp_replica *r, uint64_t *request)
{
	return r->flow_scheduler != NULL && gyp_replica_serving(r) &&
	       gyp_fleet_pop_inventory_request(
		   gyp_flow_scheduler_fleet(r->flow_scheduler), request);
}

void
gyp_replica_inventory_answered(
    struct gyp_replica *r, uint64_t now, const struct gyp_inventory_answer *a)
{
	gyp_replica_advance(r, now);
	if (r->flow_scheduler == NULL)
		return;
	gyp_fleet_handle_inventory(
	    gyp_flow_scheduler_fleet(r->flow_scheduler), r->now, a);
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
	    .tables_age_ms = gyp_replica_leaderless_ms(r),
	    .fence_incarnations = r->cfg.fence_incarnations,
	    .cell_time_ms = r->time_base,
	    .inventory = r->cfg.inventory,
	    .lease_bounds = true,
	    .previous_term = gyp_raft_previous_term(r->raft)};

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
		gyp_carriers_draining(r->carriers, r->now, peer->id);
	else
		gyp_carriers_seen(r->carriers, r->now, peer->id);
	for (i = 0; i < up->n_host_answers; i++) {
		struct gyp_fleet_answer a;

		gyp_carriers_answered(r->carriers, up->host_answers[i]->call);
		gyp_host_msg_to_answer(up->host_answers[i], &a);
		gyp_flow_scheduler_call_answered(r->flow_scheduler, r->now, &a);
		gyp_fleet_answer_clear(&a);
	}
}

void
gyp_replica_entry_disconnected(
    struct gyp_replica *r, uint64_t now, uint64_t entry)
{
	gyp_replica_advance(r, now);
	if (r->carriers != NULL)
		gyp_carriers_disconnected(r->carriers, entry);
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
	gyp_carriers_sent(r->carriers, r->now, call->id,
	    call->kind == GYP_FLEET_POLL, call->timeout_ms, entry);
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
