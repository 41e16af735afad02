#include <string.h>

#include "msg.h"
#include "rendezvous.h"
#include "replica_int.h"

/* Longest time for which a follower buffers a heartbeat, in ms. */
#define RELAY_DELAY_MS 50

/*
 * Most heartbeats that a follower buffers, and that a leader accepts in one
 * frame.
 */
#define RELAY_MAX 4096

/*
 * Time after which a leader that has not confirmed relayed heartbeats gets them
 * from the endpoints themselves, in ms. With the time between two heartbeats it
 * must stay below the silence after which an endpoint gets no new run.
 */
#define RELAY_CONFIRM_MS 1000

/* Interval at which a follower asks for a confirmation, in ms. */
#define CONFIRM_INTERVAL_MS 250

/*
 * A gap between two ticks that shows that this process was paused, in ms; for
 * as long after it, what is read may be as old as the pause.
 */
#define PAUSE_MS 500

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

/* Drops the heartbeats that were buffered during a pause. */
static void
check_pause(struct gyp_replica *r)
{
	if (r->now > r->relay.checked_at + PAUSE_MS) {
		r->relay.paused_until = r->now + PAUSE_MS;
		g_ptr_array_set_size(r->relay.heartbeats, 0);
	}
	r->relay.checked_at = r->now;
}

/*
 * Only heartbeats of the recorded incarnation that report nothing new are
 * relayed; the endpoint must send others to the leader.
 */
static bool
may_relay(const struct gyp_replica *r, const struct gyp_host *h,
    const Gyp__CmdHost *reported)
{
	return relays_heartbeats(r) && gyp_raft_has_leader(r->raft) &&
	       !gyp_raft_is_suspended(r->raft) &&
	       r->now >= r->relay.paused_until && is_recorded(h, reported) &&
	       h->spec->born_ms == reported->born_ms;
}

/* True while the leader is known to receive what this follower relays. */
static bool
is_confirmed(const struct gyp_replica *r)
{
	return r->relay.leader != gyp_raft_leader(r->raft) ||
	       r->relay.unconfirmed_since == 0 ||
	       r->now < r->relay.unconfirmed_since + RELAY_CONFIRM_MS;
}

/* Returns false when the buffer is full. */
static bool
buffer_heartbeat(
    struct gyp_replica *r, const struct gyp_host *h, uint64_t clock_ms)
{
	Gyp__HostBeat *beat;

	if (r->relay.heartbeats->len >= RELAY_MAX)
		return false;
	if (r->relay.heartbeats->len == 0)
		r->relay.due_at = r->now + RELAY_DELAY_MS;
	beat = g_new(Gyp__HostBeat, 1);
	gyp__host_beat__init(beat);
	beat->host = h->row;
	beat->born_ms = h->spec->born_ms;
	beat->clock_ms = clock_ms;
	g_ptr_array_add(r->relay.heartbeats, beat);
	return true;
}

/* Sends a frame of heartbeats; an empty one confirms a received frame. */
static void
send_heartbeats(struct gyp_replica *r, uint64_t to, Gyp__HostBeats *beats)
{
	const char *address = gyp_replica_member_address(r, to);
	Gyp__Frame frame = GYP__FRAME__INIT;
	struct gyp_out_frame *out;

	if (address == NULL)
		return;
	frame.body_case = GYP__FRAME__BODY_BEATS;
	frame.beats = beats;
	out = g_new0(struct gyp_out_frame, 1);
	out->to = to;
	out->address = g_strdup(address);
	out->packed = gyp_message_pack(&frame.base);
	g_queue_push_tail(&r->out_frames, out);
}

/* Returns whether to ask the leader for a confirmation now. */
static bool
is_confirmation_due(struct gyp_replica *r, uint64_t leader)
{
	if (r->relay.leader == leader && r->now < r->relay.confirm_at)
		return false;
	if (r->relay.leader != leader || r->relay.unconfirmed_since == 0)
		r->relay.unconfirmed_since = r->now;
	r->relay.leader = leader;
	r->relay.confirm_at = r->now + CONFIRM_INTERVAL_MS;
	return true;
}

void
gyp_replica_relay_heartbeats(struct gyp_replica *r)
{
	uint64_t leader = gyp_raft_leader(r->raft);
	Gyp__HostBeats beats = GYP__HOST_BEATS__INIT;

	check_pause(r);
	if (r->relay.heartbeats->len == 0 || r->now < r->relay.due_at)
		return;
	if (gyp_raft_has_leader(r->raft) && !gyp_raft_is_suspended(r->raft)) {
		beats.n_beats = r->relay.heartbeats->len;
		beats.beats = (Gyp__HostBeat **)r->relay.heartbeats->pdata;
		beats.confirm = is_confirmation_due(r, leader);
		send_heartbeats(r, leader, &beats);
	}
	g_ptr_array_set_size(r->relay.heartbeats, 0);
}

/* ---- Leader ------------------------------------------------------------- */

/*
 * Ignores a heartbeat of an endpoint or incarnation that is not in the tables:
 * the follower sent it by an older state of them.
 */
static void
handle_heartbeat(struct gyp_replica *r, const Gyp__HostBeat *beat)
{
	const struct gyp_host *h =
	    gyp_host_at(gyp_state_flows(r->state), beat->host);

	if (h != NULL && h->spec->born_ms == beat->born_ms)
		gyp_fleet_heartbeat(gyp_flow_scheduler_fleet(r->flow_scheduler),
		    r->now, beat->host, beat->born_ms, beat->clock_ms);
}

void
gyp_replica_handle_heartbeats(
    struct gyp_replica *r, uint64_t from, const Gyp__HostBeats *beats)
{
	Gyp__HostBeats confirmation = GYP__HOST_BEATS__INIT;
	size_t i;

	if (beats->n_beats == 0 && from == r->relay.leader)
		r->relay.unconfirmed_since = 0;
	if (beats->n_beats == 0 || beats->n_beats > RELAY_MAX ||
	    !gyp_replica_serving(r) || gyp_raft_last_seen(r->raft, from) == 0)
		return;
	for (i = 0; i < beats->n_beats; i++)
		handle_heartbeat(r, beats->beats[i]);
	if (beats->confirm)
		send_heartbeats(r, from, &confirmation);
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
						: GYP_HEARTBEAT_CHANGED;
	}
	check_pause(r);
	if (!may_relay(r, h, reported) || !buffer_heartbeat(r, h, clock_ms))
		return GYP_HEARTBEAT_NO_LEADER;
	/* Buffered even if unconfirmed: the leader may confirm it later. */
	return is_confirmed(r) ? GYP_HEARTBEAT_TAKEN : GYP_HEARTBEAT_NO_LEADER;
}
