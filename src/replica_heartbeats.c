#include <string.h>

#include "msg.h"
#include "rendezvous.h"
#include "replica_int.h"

/* Longest time for which a follower holds heartbeats back, in ms. */
#define RELAY_DELAY_MS 50

/* Heartbeats that a follower holds back; further ones are dropped. */
#define RELAY_MAX 4096

/*
 * True when the tables hold what the endpoint reports, or a later incarnation
 * of it: there is nothing to commit.
 */
static bool
is_recorded(const struct gyp_host *h, const Gyp__CmdHost *reported)
{
	if (h == NULL)
		return false;
	if (h->spec->born_ms != reported->born_ms)
		return h->spec->born_ms > reported->born_ms;
	return !h->spec->gone && (h->spec->draining || !reported->draining) &&
	       strcmp(h->spec->address, reported->address) == 0;
}

static bool
relays_heartbeats(const struct gyp_replica *r)
{
	return r->cfg.relay_heartbeats_from > 0 &&
	       gyp_hosts_count(gyp_state_flows(r->state)) >=
		   r->cfg.relay_heartbeats_from;
}

/* ---- Followers ---------------------------------------------------------- */

/*
 * A heartbeat of an earlier incarnation, and one that reports news, goes to the
 * leader.
 */
static bool
may_relay(const struct gyp_replica *r, const struct gyp_host *h,
    const Gyp__CmdHost *reported)
{
	return relays_heartbeats(r) && gyp_raft_has_leader(r->raft) &&
	       is_recorded(h, reported) &&
	       h->spec->born_ms == reported->born_ms;
}

static void
hold_back(struct gyp_replica *r, const struct gyp_host *h, uint64_t clock_ms)
{
	Gyp__HostBeat *beat;

	if (r->relayed_beats->len >= RELAY_MAX)
		return;
	if (r->relayed_beats->len == 0)
		r->relay_at = r->now + RELAY_DELAY_MS;
	beat = g_new(Gyp__HostBeat, 1);
	gyp__host_beat__init(beat);
	beat->host = h->row;
	beat->born_ms = h->spec->born_ms;
	beat->clock_ms = clock_ms;
	g_ptr_array_add(r->relayed_beats, beat);
}

void
gyp_replica_relay_heartbeats(struct gyp_replica *r)
{
	uint64_t leader = gyp_raft_leader(r->raft);
	const char *address = gyp_replica_member_address(r, leader);
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__HostBeats beats = GYP__HOST_BEATS__INIT;
	struct gyp_out_frame *out;

	if (r->relayed_beats->len == 0 || r->now < r->relay_at)
		return;
	if (gyp_raft_has_leader(r->raft) && address != NULL) {
		beats.n_beats = r->relayed_beats->len;
		beats.beats = (Gyp__HostBeat **)r->relayed_beats->pdata;
		frame.body_case = GYP__FRAME__BODY_BEATS;
		frame.beats = &beats;
		out = g_new0(struct gyp_out_frame, 1);
		out->to = leader;
		out->address = g_strdup(address);
		out->packed = gyp_message_pack(&frame.base);
		g_queue_push_tail(&r->out_frames, out);
	}
	g_ptr_array_set_size(r->relayed_beats, 0);
}

/* ---- Leader ------------------------------------------------------------- */

void
gyp_replica_handle_beats(struct gyp_replica *r, const Gyp__HostBeats *beats)
{
	struct gyp_fleet *fleet;
	size_t i;

	if (!gyp_replica_serving(r))
		return;
	fleet = gyp_flow_scheduler_fleet(r->flow_scheduler);
	for (i = 0; i < beats->n_beats; i++) {
		const Gyp__HostBeat *beat = beats->beats[i];

		if (gyp_host_at(gyp_state_flows(r->state), beat->host) != NULL)
			gyp_fleet_heartbeat(fleet, r->now, beat->host,
			    beat->born_ms, beat->clock_ms);
	}
}

const char *
gyp_replica_heartbeat_address(const struct gyp_replica *r, const char *endpoint)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	uint64_t best_weight = 0;
	const char *best = NULL;
	size_t i;

	if (!gyp_replica_serving(r) || !relays_heartbeats(r))
		return NULL;
	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		uint64_t weight =
		    gyp_rendezvous_weight(m->id, g_str_hash(endpoint));

		if (m->id != r->cfg.id && weight >= best_weight &&
		    gyp_raft_last_seen(r->raft, m->id) + r->cfg.election_ms >=
			r->now) {
			best = m->address;
			best_weight = weight;
		}
	}
	return best;
}

enum gyp_heartbeat_result
gyp_replica_heartbeat(struct gyp_replica *r, uint64_t now,
    const Gyp__CmdHost *reported, uint64_t clock_ms)
{
	const struct gyp_host *h;

	gyp_replica_advance(r, now);
	h = gyp_host_by_id(gyp_state_flows(r->state), reported->id);
	if (gyp_replica_serving(r)) {
		if (h != NULL)
			gyp_fleet_heartbeat(
			    gyp_flow_scheduler_fleet(r->flow_scheduler), r->now,
			    h->row, reported->born_ms, clock_ms);
		return is_recorded(h, reported) ? GYP_HEARTBEAT_TAKEN
						: GYP_HEARTBEAT_NEWS;
	}
	if (!may_relay(r, h, reported))
		return GYP_HEARTBEAT_NO_LEADER;
	hold_back(r, h, clock_ms);
	return GYP_HEARTBEAT_TAKEN;
}
