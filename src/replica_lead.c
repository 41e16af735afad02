#include <string.h>

#include "msg.h"
#include "rendezvous.h"
#include "replica_int.h"

/* Interval of the leader's periodic work, in ms. */
#define PERIODIC_WORK_MS 100

/* Interval of the search for attempts that must be queried, in ms. */
#define QUERY_CHECK_MS 1000

/*
 * Interval at which the list of replicas is sent to an entry, in ms, and its
 * maximum length.
 */
#define REPLICA_LIST_INTERVAL_MS 2000
#define REPLICA_LIST_MAX         32

/*
 * Maximum bytes of replies, orders and calls in one frame, unless the first one
 * is larger.
 */
#define FRAME_BYTES_MAX (1024 * 1024)

/* ---- Entries ----------------------------------------------------------- */

void
gyp_free_entry_peer(gpointer p)
{
	struct gyp_entry_peer *peer = p;

	g_free(peer->name);
	g_ptr_array_free(peer->replies, TRUE);
	g_ptr_array_free(peer->orders, TRUE);
	g_ptr_array_free(peer->queries, TRUE);
	g_ptr_array_free(peer->host_calls, TRUE);
	g_free(peer->address);
	g_queue_clear_full(&peer->unsent_starts, g_free);
	g_free(peer);
}

/*
 * Returns the record of an entry, and makes it if there is none. An entry that
 * a committed placement names counts as live for one lease after the change of
 * leader: it may hold a start from the old leader.
 */
struct gyp_entry_peer *
gyp_replica_entry_peer(struct gyp_replica *r, uint64_t id)
{
	struct gyp_entry_peer *peer = g_hash_table_lookup(r->entries, &id);

	if (peer != NULL)
		return peer;
	peer = g_new0(struct gyp_entry_peer, 1);
	peer->id = id;
	peer->lease_end =
	    gyp_lease_expiry(r->lead_since, r->cfg.entry_lease_ms);
	peer->replies = g_ptr_array_new_with_free_func(gyp_message_free);
	peer->orders = g_ptr_array_new_with_free_func(gyp_message_free);
	peer->queries = g_ptr_array_new_with_free_func(gyp_message_free);
	peer->host_calls = g_ptr_array_new_with_free_func(gyp_message_free);
	g_hash_table_insert(r->entries, &peer->id, peer);
	return peer;
}

static bool
is_peer_live(const struct gyp_replica *r, const struct gyp_entry_peer *peer)
{
	return r->now <= peer->lease_end;
}

/*
 * An entry gets orders only if it has sent a frame since the term and its
 * connection began, and within the last entry lease.
 */
bool
gyp_replica_can_take_orders(
    const struct gyp_replica *r, const struct gyp_entry_peer *peer)
{
	return peer != NULL && peer->last_seen != 0 &&
	       r->now < peer->last_seen + r->cfg.entry_lease_ms;
}

/* An entry that shuts down finishes its open work and gets no new starts. */
static bool
can_take_starts(const struct gyp_replica *r, const struct gyp_entry_peer *peer)
{
	return gyp_replica_can_take_orders(r, peer) && !peer->draining;
}

static uint64_t
subscribed_entry(const struct gyp_replica *r, const struct gyp_job *job)
{
	const GArray *list = g_hash_table_lookup(r->subscribers, &job->id);
	guint i;

	for (i = 0; list != NULL && i < list->len; i++) {
		uint64_t id =
		    g_array_index(list, struct gyp_subscriber, i).entry;

		if (can_take_starts(r, g_hash_table_lookup(r->entries, &id)))
			return id;
	}
	return 0;
}

/*
 * Prefers the entry at which the caller waits. Otherwise rendezvous hashing
 * keeps the number of entries that connect to an endpoint small. Returns 0 when
 * no entry can take starts.
 */
uint64_t
gyp_replica_pick_entry(
    const struct gyp_replica *r, const struct gyp_job *job, uint64_t endpoint)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t best = 0, best_weight = 0;

	if (job != NULL && (best = subscribed_entry(r, job)) != 0)
		return best;
	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_entry_peer *peer = value;
		uint64_t weight = gyp_rendezvous_weight(peer->id, endpoint);

		if (can_take_starts(r, peer) &&
		    (best == 0 || weight > best_weight)) {
			best = peer->id;
			best_weight = weight;
		}
	}
	return best;
}

/* ---- Expiry ------------------------------------------------------------ */

/*
 * True when nothing more can arrive at a leaving endpoint: no attempt is open.
 */
static bool
is_leaving_idle(const struct gyp_endpoint *ep)
{
	return ep->state == GYP_ENDPOINT_LEAVING && ep->attempts->len == 0;
}

static void
expire_endpoints(struct gyp_replica *r)
{
	const struct gyp_table *t = gyp_state_endpoints(r->state);
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		uint64_t id;
		const struct gyp_endpoint *ep = gyp_table_at(t, i, &id);
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

		if (ep == NULL || (!gyp_leases_expired(r->leases, id, r->now) &&
				      !is_leaving_idle(ep)))
			continue;
		gyp_leases_close(r->leases, id);
		gyp_usage_drop_endpoint(r->usage, id);
		gyp_reported_attempts_drop_endpoint(r->reported_attempts, id);
		es.endpoint = id;
		es.state = GYP_ENDPOINT_REMOVED;
		cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
		cmd.endpoint_state = &es;
		gyp_replica_propose(r, &cmd);
	}
}

static void
expire_entries(struct gyp_replica *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!is_peer_live(r, value))
			g_hash_table_iter_remove(&iter);
	}
}

static void
expire_deadlines(struct gyp_replica *r)
{
	uint64_t time_ms = gyp_replica_cell_time(r);
	const GList *l;

	for (l = gyp_state_queue(r->state)->head; l != NULL; l = l->next) {
		const struct gyp_job *job = l->data;
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

		if (job->spec->deadline_ms == 0 || job->n_placed > 0 ||
		    time_ms < job->submitted_ms + job->spec->deadline_ms)
			continue;
		cancel.job = job->id;
		cancel.reason = "not started by its deadline";
		cmd.c_case = GYP__CMD__C_CANCEL;
		cmd.cancel = &cancel;
		gyp_replica_propose(r, &cmd);
	}
}

/* ---- Periodic work and frames ------------------------------------------ */

void
gyp_replica_periodic_work(struct gyp_replica *r)
{
	r->periodic_work_at = r->now + PERIODIC_WORK_MS;
	expire_entries(r);
	if (r->batch_index == 0) {
		expire_endpoints(r);
		expire_deadlines(r);
	}
	if (r->now >= r->query_check_at) {
		r->query_check_at = r->now + QUERY_CHECK_MS;
		gyp_replica_query_unlisted(r);
	}
	gyp_replica_check_rules_waits(r);
	gyp_replica_update_members(r);
}

static void
fill_rules(const struct gyp_replica *r, const struct gyp_entry_peer *peer,
    Gyp__EntryDown *down)
{
	const struct gyp_rules_version *v = gyp_state_rules(r->state);

	if (v == NULL)
		return;
	down->rules_version = v->version;
	if (peer->rules_version < v->version)
		down->rules = v->cmd->text;
}

/*
 * Adds the voters, or the learners, to the first n of the list as far as they
 * fit; returns the new number.
 */
static size_t
add_members(const Gyp__Config *c, bool voters, char **list, size_t n)
{
	size_t i;

	for (i = 0; i < c->n_members && n < REPLICA_LIST_MAX; i++) {
		if (c->members[i]->voter == voters)
			list[n++] = c->members[i]->address;
	}
	return n;
}

/*
 * Adds the list of replicas, voters first: it changes, and an entry starts with
 * only a few of them.
 */
static void
fill_replicas(struct gyp_replica *r, struct gyp_entry_peer *peer,
    Gyp__EntryDown *down, char **list)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	size_t n = 0;

	if (r->now < peer->replicas_due_at)
		return;
	peer->replicas_due_at = r->now + REPLICA_LIST_INTERVAL_MS;
	n = add_members(c, true, list, n);
	n = add_members(c, false, list, n);
	down->n_cells = n;
	down->cells = list;
}

/*
 * Returns how many messages, from `first` on, still fit in the frame. The first
 * message of a frame always fits.
 */
static guint
count_fitting(const GPtrArray *list, guint first, size_t *bytes)
{
	guint i;

	for (i = first; i < list->len; i++) {
		const ProtobufCMessage *m = list->pdata[i];
		size_t len = protobuf_c_message_get_packed_size(m);

		if (*bytes > 0 && *bytes + len > FRAME_BYTES_MAX)
			break;
		*bytes += len;
	}
	return i - first;
}

static void
push_frame(
    struct gyp_replica *r, struct gyp_entry_peer *peer, Gyp__EntryDown *down)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	struct gyp_out_frame *out = g_new0(struct gyp_out_frame, 1);

	down->term = gyp_raft_term(r->raft);
	down->leader = true;
	down->round = peer->round;
	down->lease_ms = r->cfg.entry_lease_ms;
	down->time_ms = gyp_state_time(r->state);
	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = down;
	out->to = peer->id;
	out->entry = true;
	out->packed = gyp_message_pack(&frame.base);
	g_queue_push_tail(&r->out_frames, out);
}

static void
send_frames(struct gyp_replica *r, struct gyp_entry_peer *peer)
{
	guint replies = 0, orders = 0, calls = 0;

	peer->lease_end =
	    gyp_lease_expiry(peer->last_seen, r->cfg.entry_lease_ms);
	do {
		Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;
		char *addresses[REPLICA_LIST_MAX];
		size_t bytes = 0;

		down.replies = (Gyp__Reply **)peer->replies->pdata + replies;
		down.n_replies = count_fitting(peer->replies, replies, &bytes);
		down.orders = (Gyp__Order **)peer->orders->pdata + orders;
		down.n_orders = count_fitting(peer->orders, orders, &bytes);
		down.host_calls =
		    (Gyp__HostCall **)peer->host_calls->pdata + calls;
		down.n_host_calls =
		    count_fitting(peer->host_calls, calls, &bytes);
		if (replies == 0 && orders == 0 && calls == 0) {
			fill_rules(r, peer, &down);
			fill_replicas(r, peer, &down, addresses);
			down.n_asks = peer->queries->len;
			down.asks = (Gyp__Ask **)peer->queries->pdata;
		}
		replies += down.n_replies;
		orders += down.n_orders;
		calls += down.n_host_calls;
		push_frame(r, peer, &down);
	} while (replies < peer->replies->len || orders < peer->orders->len ||
		 calls < peer->host_calls->len);
	g_ptr_array_set_size(peer->replies, 0);
	g_ptr_array_set_size(peer->orders, 0);
	g_ptr_array_set_size(peer->queries, 0);
	g_ptr_array_set_size(peer->host_calls, 0);
	peer->frame_due = false;
	peer->frame_due_at = 0;
}

/*
 * True when a frame must be sent at once, or the entry has waited long enough
 * for an answer.
 */
static bool
is_frame_due(const struct gyp_replica *r, const struct gyp_entry_peer *peer)
{
	return peer->frame_due ||
	       (peer->frame_due_at != 0 && r->now >= peer->frame_due_at);
}

void
gyp_replica_flush_entries(struct gyp_replica *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gyp_entry_peer *peer = value;

		gyp_replica_send_starts(r, peer);
		if (peer->last_seen != 0 && is_frame_due(r, peer))
			send_frames(r, peer);
	}
}
