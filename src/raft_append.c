#include "mutant.h"
#include "raft_int.h"

/* ---- Commit ------------------------------------------------------------- */

static bool
has_persisted(const struct gyp_raft *r, uint64_t id, uint64_t index)
{
	const struct gyp_raft_progress *p;

	if (GYP_MUTANT(EARLY_COMMIT))
		return true;
	if (id == r->cfg.id)
		return r->persisted_index >= index;
	p = gyp_raft_find_peer(r, id);
	return p != NULL && p->match >= index;
}

static void
try_commit(struct gyp_raft *r, uint64_t index)
{
	if (index > r->commit && gyp_raft_term_at(r, index) == r->term &&
	    gyp_raft_quorum(r, has_persisted, index))
		r->commit = index;
}

/*
 * A leader that is no longer a voter transfers its leadership and steps down,
 * but only once the membership change is complete.
 */
static void
step_down_if_not_voter(struct gyp_raft *r)
{
	if (r->role != GYP_RAFT_LEADER || gyp_raft_is_voter(r, r->cfg.id) ||
	    gyp_raft_is_reconfiguring(r))
		return;
	gyp_raft_transfer_leadership(r);
	gyp_raft_become_follower(r, r->term, 0);
}

void
gyp_raft_advance_commit(struct gyp_raft *r)
{
	uint64_t before = r->commit;
	guint i;

	if (r->role != GYP_RAFT_LEADER)
		return;
	try_commit(r, r->persisted_index);
	for (i = 0; i < r->peers->len; i++)
		try_commit(r,
		    g_array_index(r->peers, struct gyp_raft_progress, i).match);
	if (r->commit > before) {
		gyp_raft_apply_committed(r);
		gyp_raft_replicate_all(r, false);
		step_down_if_not_voter(r);
	}
}

/*
 * Until a replica has received the commit of a configuration, its elections
 * also need a majority of the old one, and the loss of another voter could
 * make that impossible. So each replica records the commit, and a change is
 * complete only when a majority has acknowledged a later entry, whose append
 * carries the commit.
 */
static void
commit_config(struct gyp_raft *r)
{
	r->config_index = r->pending_index;
	gyp_raft_commit_pending_config(r);
	gyp_raft_write_vote(r);
	if (r->role != GYP_RAFT_LEADER)
		return;
	gyp_raft_update_peers(r);
	gyp_raft_append_noop(r);
	r->config_settled_index = gyp_raft_last_index(r);
}

void
gyp_raft_apply_committed(struct gyp_raft *r)
{
	uint64_t end = MIN(r->commit, r->applied + GYP_RAFT_APPLY_MAX);

	while (r->applied < end) {
		const struct gyp_log_entry *e =
		    gyp_raft_entry_at(r, r->applied + 1);

		g_assert(e != NULL);
		r->applied++;
		r->applied_bytes += g_bytes_get_size(e->data);
		r->io->ops->apply(r->io, e);
		if (r->pending != NULL && r->pending_index <= r->applied)
			commit_config(r);
	}
}

/* ---- Appends ------------------------------------------------------------ */

/*
 * Index that the leader should probe next after a mismatch at m->index: skips
 * the uncommitted entries of the mismatching term.
 */
static uint64_t
next_probe_index(const struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	uint64_t index = MIN(m->index, gyp_raft_last_index(r) + 1);
	uint64_t term = gyp_raft_term_at(r, m->index);

	while (index > r->commit + 1 && term != 0 &&
	       gyp_raft_term_at(r, index - 1) == term)
		index--;
	return index > 0 ? index - 1 : 0;
}

static void
append_entries(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		const Gyp__LogEntry *le = m->entries[i];
		GBytes *data;

		if (le->index <= r->snap_index ||
		    gyp_raft_term_at(r, le->index) == le->term)
			continue;
		if (le->index <= gyp_raft_last_index(r)) {
			g_assert(le->index > r->commit);
			gyp_raft_truncate_from(r, le->index);
		}
		data = g_bytes_new(le->data.data, le->data.len);
		gyp_raft_append_entry(r, le->term, le->kind, data);
		g_bytes_unref(data);
	}
}

void
gyp_raft_accept_leader(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	gyp_raft_become_follower(r, m->term, m->from);
	r->leader_contact = r->now;
	r->elections_started = 0;
	gyp_raft_reset_election(r);
}

/* True when the entries follow m->index without a gap, as they must. */
static bool
entries_are_consecutive(const Gyp__RaftMsg *m)
{
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		if (m->entries[i]->index != m->index + 1 + i)
			return false;
	}
	return true;
}

void
gyp_raft_on_append(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply;
	uint64_t last = m->index + m->n_entries;

	if (!entries_are_consecutive(m))
		return;
	gyp_raft_accept_leader(r, m);
	reply = gyp_raft_make_message(
	    r, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, m->from);
	reply.round = m->round;
	if (m->index > gyp_raft_last_index(r) ||
	    (m->index > r->snap_index &&
		gyp_raft_term_at(r, m->index) != m->log_term)) {
		reply.reject = true;
		reply.index = next_probe_index(r, m);
		r->io->ops->send(r->io, m->from, &reply);
		return;
	}
	append_entries(r, m);
	if (MIN(m->commit, last) > r->commit) {
		r->commit = MIN(m->commit, last);
		gyp_raft_apply_committed(r);
	}
	reply.index = MAX(last, r->snap_index);
	gyp_raft_send_after_sync(r, &reply);
}

void
gyp_raft_on_append_reply(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	struct gyp_raft_progress *p = gyp_raft_find_peer(r, m->from);
	bool was_receiving;

	if (r->role != GYP_RAFT_LEADER || m->term != r->term || p == NULL)
		return;
	was_receiving = gyp_raft_is_receiving_large(p);
	p->acked_sent_at = MAX(p->acked_sent_at, MIN(m->round, r->now));
	p->answered_at = r->now;
	if (p->inflight > 0)
		p->inflight--;
	if (m->reject) {
		if (m->index + 1 < p->next && m->index >= p->match) {
			p->next = m->index + 1;
			p->inflight = 0;
			gyp_raft_replicate(r, p, true);
		}
		return;
	}
	if (m->index > gyp_raft_last_index(r))
		return;
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	if (p->match + 1 == p->next)
		/* All is acknowledged; lost messages would stay counted. */
		p->inflight = 0;
	if (was_receiving && !gyp_raft_is_receiving_large(p))
		/* It is another voter's turn. */
		gyp_raft_replicate_all(r, false);
	gyp_raft_advance_commit(r);
	p = gyp_raft_find_peer(r, m->from);
	if (r->role != GYP_RAFT_LEADER || p == NULL)
		return;
	/* A learner that has caught up gets entries with heartbeats only. */
	if (gyp_raft_is_voter(r, p->id) || p->append_full ||
	    p->sending_snapshot)
		gyp_raft_replicate(r, p, false);
	gyp_raft_send_timeout_now(r, p);
}
