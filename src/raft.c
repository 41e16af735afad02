#include "raft_int.h"

/* Default number of bytes of entries in one append message. */
#define APPEND_BYTES (256 * 1024)

/* Default number of bytes of a snapshot in one message. */
#define CHUNK_BYTES (256 * 1024)

/* ---- Time --------------------------------------------------------------- */

/* After a restart, restores the commit index as far as records show it. */
static void
restore_commit(struct gyp_raft *r)
{
	r->commit =
	    MAX(r->commit, MIN(r->config_index, gyp_raft_last_index(r)));
	gyp_raft_apply_committed(r);
}

void
gyp_raft_tick(struct gyp_raft *r, uint64_t now)
{
	if (r->now == 0) {
		r->now = now;
		r->started_at = now;
		gyp_raft_reset_election(r);
		gyp_raft_schedule_reelection(r);
		restore_commit(r);
	}
	r->now = MAX(r->now, now);
	if (r->suspended)
		return;
	if (r->role == GYP_RAFT_LEADER)
		gyp_raft_tick_leader(r);
	else if (r->now >= r->election_at)
		gyp_raft_start_prevote(r);
}

/* ---- Messages, proposals, loading --------------------------------------- */

static void
dispatch(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	switch (m->type) {
	case GYP__RAFT_TYPE__RAFT_PREVOTE:
		gyp_raft_on_prevote(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_VOTE:
		gyp_raft_on_vote(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY:
	case GYP__RAFT_TYPE__RAFT_VOTE_REPLY:
		gyp_raft_on_vote_reply(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_APPEND:
		gyp_raft_on_append(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_APPEND_REPLY:
		gyp_raft_on_append_reply(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_SNAPSHOT:
		gyp_raft_on_snapshot(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_SNAPSHOT_REPLY:
		gyp_raft_on_snapshot_reply(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_TIMEOUT_NOW:
		gyp_raft_on_timeout_now(r, m);
		break;
	default:
		break;
	}
}

/*
 * Messages of elections carry a term that the receiver need not adopt. Their
 * types come first in the enum.
 */
static bool
is_vote_type(const Gyp__RaftMsg *m)
{
	return m->type <= GYP__RAFT_TYPE__RAFT_VOTE_REPLY;
}

void
gyp_raft_step(struct gyp_raft *r, uint64_t now, const Gyp__RaftMsg *m)
{
	gyp_raft_tick(r, now);
	if (m->to != r->cfg.id || m->from == r->cfg.id || r->suspended)
		return;
	if (!is_vote_type(m)) {
		if (m->term > r->term)
			gyp_raft_become_follower(r, m->term, 0);
		if (m->term < r->term) {
			/* Informs a deposed leader of the new term. */
			Gyp__RaftMsg reply = gyp_raft_make_message(
			    r, GYP__RAFT_TYPE__RAFT_VOTE_REPLY, m->from);

			reply.reject = true;
			r->io->ops->send(r->io, m->from, &reply);
			return;
		}
	}
	dispatch(r, m);
}

void
gyp_raft_synced(struct gyp_raft *r, uint64_t now, uint64_t seq)
{
	guint done = 0;

	gyp_raft_tick(r, now);
	r->synced_seq = MAX(r->synced_seq, seq);
	while (done < r->unsynced->len) {
		struct gyp_raft_unsynced *u =
		    &g_array_index(r->unsynced, struct gyp_raft_unsynced, done);

		if (u->seq > seq)
			break;
		r->persisted_index = MAX(r->persisted_index, u->last_index);
		done++;
	}
	if (done > 0)
		g_array_remove_range(r->unsynced, 0, done);
	gyp_raft_flush_deferred(r);
	if (r->role == GYP_RAFT_CANDIDATE && r->synced_seq >= r->write_seq &&
	    r->vote == r->cfg.id) {
		gyp_raft_add_vote(r, r->cfg.id);
		if (gyp_raft_quorum(r, gyp_raft_has_voted, 0))
			gyp_raft_become_leader(r);
	}
	gyp_raft_advance_commit(r);
}

uint64_t
gyp_raft_propose(struct gyp_raft *r, uint32_t kind, GBytes *data)
{
	if (r->role != GYP_RAFT_LEADER || r->transfer_target != 0)
		return 0;
	gyp_raft_append_entry(r, r->term, kind, data);
	gyp_raft_replicate_all(r, false);
	return gyp_raft_last_index(r);
}

uint64_t
gyp_raft_propose_config(struct gyp_raft *r, const Gyp__Config *config)
{
	size_t len = gyp__config__get_packed_size(config);
	uint8_t *bytes;
	GBytes *data;
	uint64_t index;

	if (gyp_raft_is_reconfiguring(r) || !gyp_raft_ready(r) ||
	    r->transfer_target != 0)
		return 0;
	bytes = g_malloc(len + 1);
	gyp__config__pack(config, bytes);
	data = g_bytes_new_take(bytes, len);
	gyp_raft_append_entry(r, r->term, GYP__ENTRY_KIND__ENTRY_CONFIG, data);
	g_bytes_unref(data);
	index = gyp_raft_last_index(r);
	gyp_raft_update_peers(r);
	gyp_raft_replicate_all(r, false);
	return index;
}

static void
load_config_index(struct gyp_raft *r, uint64_t index)
{
	r->config_index = MAX(r->config_index, index);
	if (r->pending == NULL || r->pending_index > r->config_index)
		return;
	gyp_raft_commit_pending_config(r);
}

void
gyp_raft_load(struct gyp_raft *r, const struct gyp_record *rec)
{
	switch (rec->type) {
	case GYP_RECORD_VOTE:
		r->term = rec->term;
		r->vote = rec->vote;
		load_config_index(r, rec->index);
		r->former_voter = (rec->kind & GYP_VOTE_FORMER_VOTER) != 0;
		r->was_leader = (rec->kind & GYP_VOTE_WAS_LEADER) != 0;
		break;
	case GYP_RECORD_ENTRY:
		if (rec->index <= r->snap_index)
			break;
		if (rec->index <= gyp_raft_last_index(r))
			gyp_raft_truncate_from(r, rec->index);
		gyp_raft_push_entry(r, rec->term, rec->kind, rec->data);
		break;
	case GYP_RECORD_SNAPSHOT:
		gyp_raft_install_snapshot(r, rec->data);
		break;
	default:
		break;
	}
	r->persisted_index = gyp_raft_last_index(r);
}

void
gyp_raft_bootstrap(struct gyp_raft *r, const Gyp__Config *config)
{
	size_t len = gyp__config__get_packed_size(config);
	uint8_t *bytes = g_malloc(len);
	GBytes *data;

	gyp__config__pack(config, bytes);
	data = g_bytes_new_take(bytes, len);
	gyp_raft_set_term(r, 1, 0);
	gyp_raft_append_entry(r, 1, GYP__ENTRY_KIND__ENTRY_CONFIG, data);
	g_bytes_unref(data);
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_raft *
gyp_raft_new(const struct gyp_raft_config *cfg, struct gyp_raft_io *io)
{
	Gyp__Config empty = GYP__CONFIG__INIT;
	struct gyp_raft *r = g_new0(struct gyp_raft, 1);

	r->io = io;
	r->cfg = *cfg;
	if (r->cfg.append_bytes == 0)
		r->cfg.append_bytes = APPEND_BYTES;
	if (r->cfg.chunk_bytes == 0)
		r->cfg.chunk_bytes = CHUNK_BYTES;
	r->rand = g_rand_new_with_seed(cfg->seed);
	r->log = g_array_new(FALSE, FALSE, sizeof(struct gyp_log_entry));
	g_array_set_clear_func(r->log, gyp_raft_clear_entry);
	r->config = gyp_raft_copy_config(&empty);
	r->peers = g_array_new(FALSE, FALSE, sizeof(struct gyp_raft_progress));
	r->votes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	r->unsynced =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_raft_unsynced));
	r->incoming.data = g_byte_array_new();
	g_queue_init(&r->deferred);
	return r;
}

void
gyp_raft_free(struct gyp_raft *r)
{
	if (r == NULL)
		return;
	gyp_raft_drop_pending_config(r);
	gyp__config__free_unpacked(r->config, NULL);
	if (r->snap_file != NULL)
		g_bytes_unref(r->snap_file);
	g_queue_clear_full(&r->deferred, gyp_raft_free_deferred);
	g_byte_array_free(r->incoming.data, TRUE);
	g_array_free(r->unsynced, TRUE);
	g_hash_table_destroy(r->votes);
	g_array_free(r->peers, TRUE);
	g_array_free(r->log, TRUE);
	g_rand_free(r->rand);
	g_free(r);
}

/* ---- Accessors ---------------------------------------------------------- */

bool
gyp_raft_ready(const struct gyp_raft *r)
{
	return r->role == GYP_RAFT_LEADER && r->applied >= r->term_start;
}

enum gyp_raft_role
gyp_raft_role(const struct gyp_raft *r)
{
	return r->role;
}

uint64_t
gyp_raft_id(const struct gyp_raft *r)
{
	return r->cfg.id;
}

uint64_t
gyp_raft_term(const struct gyp_raft *r)
{
	return r->term;
}

uint64_t
gyp_raft_leader(const struct gyp_raft *r)
{
	return r->leader;
}

bool
gyp_raft_is_leaderless(const struct gyp_raft *r)
{
	return r->role != GYP_RAFT_LEADER &&
	       r->now > MAX(r->leader_contact, r->started_at) +
			    4 * (uint64_t)r->cfg.election_ms;
}

bool
gyp_raft_has_leader(const struct gyp_raft *r)
{
	return r->role == GYP_RAFT_FOLLOWER && r->leader != 0 &&
	       r->leader != r->cfg.id &&
	       r->now < r->leader_contact + r->cfg.election_ms;
}

uint64_t
gyp_raft_previous_term(const struct gyp_raft *r)
{
	return r->previous_term;
}

uint64_t
gyp_raft_leader_contact(const struct gyp_raft *r)
{
	return r->leader_contact;
}

uint64_t
gyp_raft_commit_index(const struct gyp_raft *r)
{
	return r->commit;
}

void
gyp_raft_apply_more(struct gyp_raft *r)
{
	if (gyp_raft_has_unapplied(r))
		gyp_raft_apply_committed(r);
}

bool
gyp_raft_has_unapplied(const struct gyp_raft *r)
{
	return r->applied < r->commit;
}

uint64_t
gyp_raft_applied_index(const struct gyp_raft *r)
{
	return r->applied;
}

uint64_t
gyp_raft_snapshot_index(const struct gyp_raft *r)
{
	return r->snap_index;
}

uint64_t
gyp_raft_entry_term(const struct gyp_raft *r, uint64_t index)
{
	const struct gyp_log_entry *e = gyp_raft_entry_at(r, index);

	return e != NULL ? e->term : 0;
}

uint64_t
gyp_raft_log_bytes(const struct gyp_raft *r)
{
	return r->log_bytes;
}

uint64_t
gyp_raft_match_index(const struct gyp_raft *r, uint64_t id)
{
	const struct gyp_raft_progress *p = gyp_raft_find_peer(r, id);

	return p != NULL ? p->match : 0;
}

uint64_t
gyp_raft_last_seen(const struct gyp_raft *r, uint64_t id)
{
	const struct gyp_raft_progress *p = gyp_raft_find_peer(r, id);

	return p != NULL ? p->acked_sent_at : 0;
}
