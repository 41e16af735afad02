#include "raft_int.h"

/* ---- Terms and roles ---------------------------------------------------- */

/*
 * Limit on early campaigns of a former leader. More than one, since the links
 * that it needs may still be opening.
 */
#define REELECTION_ATTEMPTS_MAX 8

void
gyp_raft_reset_election(struct gyp_raft *r)
{
	r->election_at =
	    r->now + r->cfg.election_ms +
	    (uint64_t)g_rand_int_range(r->rand, 0, (gint32)r->cfg.election_ms);
}

/*
 * When all replicas, or the leader alone, are killed and restart at once, all
 * callers wait. The leader of the term has stopped or stepped down, so its
 * lease is void and no replica needs to wait for the end of that lease. A
 * former leader therefore campaigns after one heartbeat interval instead of an
 * election timeout.
 */
void
gyp_raft_schedule_reelection(struct gyp_raft *r)
{
	if (!r->was_leader || r->reelection_attempts >= REELECTION_ATTEMPTS_MAX)
		return;
	r->reelection_attempts++;
	r->election_at = r->now + r->cfg.heartbeat_ms;
}

void
gyp_raft_set_term(struct gyp_raft *r, uint64_t term, uint64_t vote)
{
	if (term == r->term && vote == r->vote)
		return;
	/* Acknowledgements of an older term may no longer hold. */
	if (term != r->term)
		gyp_raft_drop_deferred(r);
	if (term != r->term)
		r->was_leader = r->leader_resigned = false;
	r->term = term;
	r->vote = vote;
	gyp_raft_write_vote(r);
}

void
gyp_raft_become_follower(struct gyp_raft *r, uint64_t term, uint64_t leader)
{
	if (term > r->term)
		gyp_raft_set_term(r, term, 0);
	if (r->role != GYP_RAFT_FOLLOWER || leader != r->leader)
		gyp_raft_reset_election(r);
	r->role = GYP_RAFT_FOLLOWER;
	r->leader = leader;
}

void
gyp_raft_become_leader(struct gyp_raft *r)
{
	guint i;

	r->role = GYP_RAFT_LEADER;
	r->leader = r->cfg.id;
	r->elections_started = 0;
	r->was_leader = true;
	r->reelection_attempts = 0;
	gyp_raft_write_vote(r);
	r->transfer_target = 0;
	r->heartbeat_at = r->now + r->cfg.heartbeat_ms;
	g_array_set_size(r->peers, 0);
	gyp_raft_update_peers(r);
	for (i = 0; i < r->peers->len; i++) {
		struct gyp_raft_progress *p =
		    &g_array_index(r->peers, struct gyp_raft_progress, i);

		p->acked_sent_at = r->now;
		p->answered_at = r->now;
	}
	r->previous_term = gyp_raft_term_at(r, gyp_raft_last_index(r));
	gyp_raft_append_noop(r);
	r->term_start = gyp_raft_last_index(r);
	r->config_settled_index = r->term_start;
	gyp_raft_replicate_all(r, true);
}

bool
gyp_raft_has_voted(const struct gyp_raft *r, uint64_t id, uint64_t arg)
{
	(void)arg;
	return g_hash_table_contains(r->votes, &id);
}

void
gyp_raft_add_vote(struct gyp_raft *r, uint64_t id)
{
	g_hash_table_add(r->votes, g_memdup2(&id, sizeof(id)));
}

static void
request_votes(struct gyp_raft *r, Gyp__RaftType type, uint64_t term)
{
	guint i;

	g_array_set_size(r->peers, 0);
	gyp_raft_update_peers(r);
	for (i = 0; i < r->peers->len; i++) {
		uint64_t id =
		    g_array_index(r->peers, struct gyp_raft_progress, i).id;
		Gyp__RaftMsg m = gyp_raft_make_message(r, type, id);

		if (!gyp_raft_is_voter(r, id))
			continue;
		m.term = term;
		m.index = gyp_raft_last_index(r);
		m.log_term = gyp_raft_term_at(r, m.index);
		m.force = r->forced;
		m.round = r->prevote_at;
		gyp_raft_send_after_sync(r, &m);
	}
}

/*
 * When a leader is lost and the vote is split between two candidates, all
 * callers wait. The first election without a winner is repeated after 1/4 to
 * 3/4 of an election timeout; later ones after a full timeout, since slow disks
 * may be the cause.
 */
static void
schedule_election_retry(struct gyp_raft *r)
{
	uint32_t quarter = r->cfg.election_ms / 4;

	gyp_raft_reset_election(r);
	if (r->elections_started++ == 0)
		r->election_at = r->now + quarter +
				 (uint64_t)g_rand_int_range(
				     r->rand, 0, (gint32)(2 * quarter + 1));
}

static void
start_election(struct gyp_raft *r)
{
	r->role = GYP_RAFT_CANDIDATE;
	r->leader = 0;
	gyp_raft_set_term(r, r->term + 1, r->cfg.id);
	schedule_election_retry(r);
	g_hash_table_remove_all(r->votes);
	request_votes(r, GYP__RAFT_TYPE__RAFT_VOTE, r->term);
	/* This replica's own vote counts once synced: gyp_raft_synced(). */
}

void
gyp_raft_start_prevote(struct gyp_raft *r)
{
	gyp_raft_reset_election(r);
	gyp_raft_schedule_reelection(r);
	r->leader = 0;
	/*
	 * A replica that is no longer a voter in the newest configuration
	 * campaigns too. The others may not have received that commit: they
	 * would still need its vote, and could not win it with a shorter log.
	 */
	if (!gyp_raft_is_voter(r, r->cfg.id) && !r->former_voter)
		return;
	r->role = GYP_RAFT_PRECANDIDATE;
	r->forced = r->was_leader;
	r->prevote_at = r->now;
	g_hash_table_remove_all(r->votes);
	gyp_raft_add_vote(r, r->cfg.id);
	if (gyp_raft_quorum(r, gyp_raft_has_voted, 0)) {
		start_election(r);
		return;
	}
	request_votes(r, GYP__RAFT_TYPE__RAFT_PREVOTE, r->term + 1);
}

static bool
acked_since(const struct gyp_raft *r, uint64_t id, uint64_t since)
{
	const struct gyp_raft_progress *p;

	if (id == r->cfg.id)
		return true;
	p = gyp_raft_find_peer(r, id);
	return p != NULL && p->acked_sent_at >= since;
}

bool
gyp_raft_has_lease(const struct gyp_raft *r, uint64_t now)
{
	uint64_t window = r->cfg.election_ms - r->cfg.heartbeat_ms;

	return r->role == GYP_RAFT_LEADER &&
	       gyp_raft_quorum(r, acked_since, now > window ? now - window : 0);
}

void
gyp_raft_tick_leader(struct gyp_raft *r)
{
	uint64_t window = r->cfg.election_ms;

	if (!gyp_raft_quorum(
		r, acked_since, r->now > window ? r->now - window : 0)) {
		gyp_raft_become_follower(r, r->term, 0);
		gyp_raft_schedule_reelection(r);
		return;
	}
	if (r->now >= r->transfer_deadline)
		r->transfer_target = 0;
	if (r->now >= r->heartbeat_at) {
		r->heartbeat_at = r->now + r->cfg.heartbeat_ms;
		gyp_raft_replicate_all(r, true);
	}
}

/* ---- Votes -------------------------------------------------------------- */

static bool
log_is_up_to_date(const struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	uint64_t last = gyp_raft_last_index(r);
	uint64_t last_term = gyp_raft_term_at(r, last);

	return m->log_term > last_term ||
	       (m->log_term == last_term && m->index >= last);
}

/*
 * True while a leader may hold a lease that relies on this replica. Protects a
 * live leader from a replica that has only lost contact with it. A restarted
 * replica may have answered a leader just before it stopped, so it assumes one
 * for an election timeout.
 */
static bool
leader_is_live(const struct gyp_raft *r)
{
	if (r->role == GYP_RAFT_LEADER)
		return gyp_raft_has_lease(r, r->now);
	if (r->was_leader || r->leader_resigned)
		return false;
	if (r->now < r->started_at + r->cfg.election_ms)
		return true;
	return r->leader != 0 &&
	       r->now < r->leader_contact + r->cfg.election_ms;
}

/*
 * True when the candidate led this replica's current term, or received a
 * timeout-now message from the leader of that term: no lease of that term is in
 * force any more. If this replica's term is newer, it may have a leader that
 * the candidate has not had contact with.
 */
static bool
waives_lease(const struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	return m->force && m->term == r->term + 1;
}

/*
 * Only the former leader of a term requests a forced pre-vote, and it never
 * leads that term again. If its log lacks entries that this replica holds, it
 * cannot win, so this replica campaigns within two heartbeat intervals.
 */
static void
record_resignation(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	uint64_t soon = r->now + (uint64_t)g_rand_int_range(r->rand, 0,
				     (gint32)(2 * r->cfg.heartbeat_ms));

	if (!waives_lease(r, m) || r->role == GYP_RAFT_LEADER ||
	    r->leader_resigned)
		return;
	r->leader_resigned = true;
	if (!log_is_up_to_date(r, m))
		r->election_at = MIN(r->election_at, soon);
}

void
gyp_raft_on_prevote(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply = gyp_raft_make_message(
	    r, GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY, m->from);

	record_resignation(r, m);
	reply.reject = m->term <= r->term || !log_is_up_to_date(r, m) ||
		       (leader_is_live(r) && !waives_lease(r, m));
	reply.term = reply.reject ? r->term : m->term;
	reply.round = m->round;
	r->io->ops->send(r->io, m->from, &reply);
}

void
gyp_raft_on_vote(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply;
	bool grant;

	if (leader_is_live(r) && !waives_lease(r, m))
		return;
	if (m->term > r->term)
		gyp_raft_become_follower(r, m->term, 0);
	grant = m->term == r->term && (r->vote == 0 || r->vote == m->from) &&
		log_is_up_to_date(r, m);
	if (grant) {
		gyp_raft_set_term(r, r->term, m->from);
		gyp_raft_reset_election(r);
	}
	reply =
	    gyp_raft_make_message(r, GYP__RAFT_TYPE__RAFT_VOTE_REPLY, m->from);
	reply.reject = !grant;
	gyp_raft_send_after_sync(r, &reply);
}

void
gyp_raft_on_vote_reply(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	bool pre = m->type == GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY;

	if (m->reject) {
		if (m->term > r->term)
			gyp_raft_become_follower(r, m->term, 0);
		return;
	}
	/* A grant of an earlier pre-vote may predate a new leader. */
	if (pre && r->role == GYP_RAFT_PRECANDIDATE && m->term == r->term + 1 &&
	    m->round == r->prevote_at) {
		gyp_raft_add_vote(r, m->from);
		if (gyp_raft_quorum(r, gyp_raft_has_voted, 0))
			start_election(r);
	} else if (!pre && r->role == GYP_RAFT_CANDIDATE &&
		   m->term == r->term) {
		gyp_raft_add_vote(r, m->from);
		if (gyp_raft_quorum(r, gyp_raft_has_voted, 0))
			gyp_raft_become_leader(r);
	}
}

/* ---- Leadership transfer ------------------------------------------------ */

void
gyp_raft_on_timeout_now(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	if (m->term != r->term || !gyp_raft_is_voter(r, r->cfg.id))
		return;
	r->forced = true;
	start_election(r);
}

/*
 * Sends p a timeout-now message if it is the target of the transfer and holds
 * all entries; without them it would lose the election.
 */
void
gyp_raft_send_timeout_now(struct gyp_raft *r, const struct gyp_raft_progress *p)
{
	Gyp__RaftMsg m =
	    gyp_raft_make_message(r, GYP__RAFT_TYPE__RAFT_TIMEOUT_NOW, p->id);

	if (p->id == r->transfer_target && p->match == gyp_raft_last_index(r))
		r->io->ops->send(r->io, p->id, &m);
}

bool
gyp_raft_transfer_leadership(struct gyp_raft *r)
{
	uint64_t window = 2 * (uint64_t)r->cfg.heartbeat_ms;
	uint64_t since = r->now > window ? r->now - window : 0;
	const struct gyp_raft_progress *best = NULL;
	guint i;

	if (r->role != GYP_RAFT_LEADER)
		return false;
	for (i = 0; i < r->peers->len; i++) {
		const struct gyp_raft_progress *p =
		    &g_array_index(r->peers, struct gyp_raft_progress, i);

		if (gyp_raft_is_voter(r, p->id) &&
		    acked_since(r, p->id, since) &&
		    (best == NULL || p->match > best->match))
			best = p;
	}
	if (best == NULL)
		return false;
	r->transfer_target = best->id;
	r->transfer_deadline = r->now + r->cfg.election_ms;
	gyp_raft_send_timeout_now(r, best);
	return true;
}

/* ---- Suspension --------------------------------------------------------- */

/*
 * The message to the successor is only queued here; when it is sent, this
 * replica no longer leads and has no lease that the election could violate.
 */
void
gyp_raft_suspend(struct gyp_raft *r, uint64_t now)
{
	gyp_raft_tick(r, now);
	gyp_raft_transfer_leadership(r);
	gyp_raft_become_follower(r, r->term, 0);
	r->transfer_target = 0;
	gyp_raft_drop_deferred(r);
	r->suspended = true;
}

void
gyp_raft_resume(struct gyp_raft *r, uint64_t now)
{
	gyp_raft_tick(r, now);
	r->suspended = false;
	gyp_raft_reset_election(r);
	gyp_raft_schedule_reelection(r);
}

bool
gyp_raft_is_suspended(const struct gyp_raft *r)
{
	return r->suspended;
}
