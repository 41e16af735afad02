#include <string.h>

#include "msg.h"
#include "replica_int.h"

/*
 * A learner is a member without a vote. A spare is a learner that has caught up
 * and whose address no other member has; it may become a voter or replace one.
 */

/* A learner at most this many log entries behind may get a vote. */
#define CAUGHT_UP_ENTRIES 64

/*
 * A spare replaces a voter that was silent for this fraction of the catch-up
 * time. Only a fraction, because a change of leader restarts the count.
 */
#define VOTER_SILENT_DIVISOR 4

/* Maximum learners beside the voters; learners that never return count too. */
#define LEARNERS_MAX 16

/* Maximum removed ids that are kept. */
#define REMOVED_MAX 256

/*
 * Maximum removals by operators that are kept with their address and call.
 * Calls are resent for seconds, and operators repeat a request for minutes.
 */
#define REMOVALS_MAX 16

/* ---- Queries on a configuration ----------------------------------------- */

static Gyp__Member *
find_id(const Gyp__Config *c, uint64_t id)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == id)
			return c->members[i];
	}
	return NULL;
}

/*
 * Returns the first member with the same address and another id. Normally it is
 * the predecessor, whose disk was lost.
 */
static Gyp__Member *
find_predecessor(const Gyp__Config *c, const Gyp__Member *m)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id != m->id &&
		    strcmp(c->members[i]->address, m->address) == 0)
			return c->members[i];
	}
	return NULL;
}

static bool
was_removed(const Gyp__Config *c, uint64_t id)
{
	size_t i;

	for (i = 0; i < c->n_removed; i++) {
		if (c->removed[i] == id)
			return true;
	}
	return false;
}

static size_t
count_voters(const Gyp__Config *c)
{
	size_t i, n = 0;

	for (i = 0; i < c->n_members; i++)
		n += c->members[i]->voter;
	return n;
}

static size_t
count_voters_in(const Gyp__Config *c, const char *data_centre)
{
	size_t i, n = 0;

	for (i = 0; i < c->n_members; i++)
		n += c->members[i]->voter &&
		     strcmp(c->members[i]->data_centre, data_centre) == 0;
	return n;
}

static bool
seen_within(const struct gyp_replica *r, const Gyp__Member *m, uint32_t ms)
{
	return m->id == r->cfg.id ||
	       gyp_raft_last_seen(r->raft, m->id) + ms > r->now;
}

static bool
caught_up(const struct gyp_replica *r, const Gyp__Member *m)
{
	return seen_within(r, m, r->cfg.election_ms) &&
	       gyp_raft_match_index(r->raft, m->id) > 0 &&
	       gyp_raft_match_index(r->raft, m->id) + CAUGHT_UP_ENTRIES >=
		   gyp_raft_last_index(r->raft);
}

/* ---- Changes ------------------------------------------------------------ */

/* A new configuration; its members are borrowed, or stored in copies. */
struct change {
	Gyp__Config next;
	Gyp__Member copies[2];
	size_t n_copies;
	Gyp__Removal removal;
};

static void
change_init(struct change *ch, const Gyp__Config *c)
{
	size_t i;

	gyp__config__init(&ch->next);
	ch->n_copies = 0;
	ch->next.members = g_new(Gyp__Member *, c->n_members + 1);
	ch->next.n_members = c->n_members;
	for (i = 0; i < c->n_members; i++)
		ch->next.members[i] = c->members[i];
	ch->next.removed = g_new(uint64_t, c->n_removed + c->n_members);
	ch->next.n_removed = c->n_removed;
	for (i = 0; i < c->n_removed; i++)
		ch->next.removed[i] = c->removed[i];
	ch->next.removals = g_new(Gyp__Removal *, c->n_removals + 1);
	ch->next.n_removals = c->n_removals;
	for (i = 0; i < c->n_removals; i++)
		ch->next.removals[i] = c->removals[i];
}

static void
change_add(struct change *ch, const Gyp__Member *m)
{
	Gyp__Member *copy = &ch->copies[ch->n_copies++];

	*copy = *m;
	copy->voter = false;
	ch->next.members[ch->next.n_members++] = copy;
}

/* Replaces the member by a copy with or without a vote. */
static void
change_set_voter(struct change *ch, const Gyp__Member *m, bool voter)
{
	Gyp__Member *copy = &ch->copies[ch->n_copies++];
	size_t i;

	*copy = *m;
	copy->voter = voter;
	for (i = 0; i < ch->next.n_members; i++) {
		if (ch->next.members[i]->id == m->id)
			ch->next.members[i] = copy;
	}
}

/*
 * Adds the id to the removed ids, so that it cannot join again; drops the
 * oldest of more than REMOVED_MAX.
 */
static void
change_remove(struct change *ch, uint64_t id)
{
	size_t i, kept = 0;

	for (i = 0; i < ch->next.n_members; i++) {
		if (ch->next.members[i]->id != id)
			ch->next.members[kept++] = ch->next.members[i];
	}
	ch->next.n_members = kept;
	ch->next.removed[ch->next.n_removed++] = id;
	if (ch->next.n_removed > REMOVED_MAX)
		memmove(ch->next.removed, ch->next.removed + 1,
		    --ch->next.n_removed * sizeof(*ch->next.removed));
}

/* Records who requested the removal; drops the oldest of REMOVALS_MAX. */
static void
change_record_removal(
    struct change *ch, const Gyp__Member *m, uint64_t entry, uint64_t call)
{
	size_t i;

	gyp__removal__init(&ch->removal);
	ch->removal.member = m->id;
	ch->removal.address = m->address;
	ch->removal.entry = entry;
	ch->removal.call = call;
	ch->next.removals[ch->next.n_removals++] = &ch->removal;
	if (ch->next.n_removals <= REMOVALS_MAX)
		return;
	ch->next.n_removals--;
	for (i = 0; i < ch->next.n_removals; i++)
		ch->next.removals[i] = ch->next.removals[i + 1];
}

static bool
change_propose(struct gyp_replica *r, struct change *ch)
{
	bool proposed = gyp_raft_propose_config(r->raft, &ch->next) != 0;

	g_free(ch->next.members);
	g_free(ch->next.removed);
	g_free(ch->next.removals);
	return proposed;
}

/* ---- Joining and votes -------------------------------------------------- */

/*
 * Forwards the request to the leader: the addresses that the joining replica
 * has may all be of followers.
 */
static void
forward_join(struct gyp_replica *r, const Gyp__Join *join)
{
	uint64_t leader = gyp_raft_leader(r->raft);
	const char *address = gyp_replica_member_address(r, leader);
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join relayed = *join;
	struct gyp_out_frame *out;

	if (address == NULL || leader == r->cfg.id)
		return;
	relayed.relayed = true;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &relayed;
	out = g_new0(struct gyp_out_frame, 1);
	out->to = leader;
	out->address = g_strdup(address);
	out->packed = gyp_message_pack(&frame.base);
	g_queue_push_tail(&r->out_frames, out);
}

void
gyp_replica_join(struct gyp_replica *r, const Gyp__Join *join)
{
	const Gyp__Member *m = join->member;

	if (!r->leading && !join->relayed)
		forward_join(r, join);
	if (!r->leading || m == NULL || m->id == 0 || m->address[0] == '\0' ||
	    was_removed(gyp_raft_members(r->raft), m->id))
		return;
	gyp_message_free(r->join_request);
	r->join_request = gyp_message_copy(&m->base);
}

/* Returns whether a replica with another id answers at the member's address. */
static bool
is_address_taken(
    const struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *m)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id != m->id &&
		    strcmp(c->members[i]->address, m->address) == 0 &&
		    seen_within(r, c->members[i], r->cfg.election_ms))
			return true;
	}
	return false;
}

/* Removes all members without a vote at the address. */
static void
change_remove_learners_at(
    struct change *ch, const Gyp__Config *c, const char *address)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (!c->members[i]->voter &&
		    strcmp(c->members[i]->address, address) == 0)
			change_remove(ch, c->members[i]->id);
	}
}

/*
 * Predecessors without a vote are removed at once, one with a vote when its
 * successor gets the vote. If one of them still answers, two replicas were
 * given the same address, and the request is ignored.
 */
static void
add_learner(struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *m)
{
	struct change ch;

	if (find_id(c, m->id) != NULL || is_address_taken(r, c, m))
		return;
	if (find_predecessor(c, m) == NULL &&
	    c->n_members >= r->cfg.voters + LEARNERS_MAX)
		return;
	change_init(&ch, c);
	change_remove_learners_at(&ch, c, m->address);
	change_add(&ch, m);
	change_propose(r, &ch);
}

/* Moves the vote of a silent voter to a learner at the same address. */
static bool
replace_predecessor(struct gyp_replica *r, const Gyp__Config *c)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		const Gyp__Member *old = find_predecessor(c, m);
		struct change ch;

		if (m->voter || old == NULL || !old->voter ||
		    seen_within(r, old, r->cfg.election_ms) || !caught_up(r, m))
			continue;
		change_init(&ch, c);
		change_set_voter(&ch, m, true);
		change_remove(&ch, old->id);
		return change_propose(r, &ch);
	}
	return false;
}

/*
 * Returns the caught-up learner whose data centre has the fewest voters, or
 * NULL.
 */
static const Gyp__Member *
pick_spare(const struct gyp_replica *r, const Gyp__Config *c)
{
	const Gyp__Member *best = NULL;
	size_t i, fewest = 0;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		size_t n = count_voters_in(c, m->data_centre);

		if (m->voter || find_predecessor(c, m) != NULL ||
		    !caught_up(r, m))
			continue;
		if (best == NULL || n < fewest) {
			best = m;
			fewest = n;
		}
	}
	return best;
}

static const Gyp__Member *
find_silent_voter(const struct gyp_replica *r, const Gyp__Config *c)
{
	uint32_t silent_ms = r->cfg.catch_up_ms / VOTER_SILENT_DIVISOR;
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->voter &&
		    !seen_within(r, c->members[i], silent_ms))
			return c->members[i];
	}
	return NULL;
}

/*
 * Returns a voter, other than this leader, that shares its data centre with
 * another voter, or NULL.
 */
static const Gyp__Member *
find_colocated_voter(const struct gyp_replica *r, const Gyp__Config *c)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];

		if (m->voter && m->id != r->cfg.id &&
		    count_voters_in(c, m->data_centre) > 1)
			return m;
	}
	return NULL;
}

/*
 * Returns the voter that should lose its vote to the spare: a silent one, or,
 * when the spare's data centre has no voter, one that shares its data centre
 * with another voter. NULL for none.
 */
static const Gyp__Member *
find_voter_to_demote(
    const struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *spare)
{
	const Gyp__Member *silent = find_silent_voter(r, c);

	if (silent != NULL || count_voters_in(c, spare->data_centre) > 0)
		return silent;
	return find_colocated_voter(r, c);
}

/*
 * A voter that loses its vote stays as a learner: it has its disk and may vote
 * again later.
 */
static bool
promote_spare(struct gyp_replica *r, const Gyp__Config *c)
{
	const Gyp__Member *spare = pick_spare(r, c), *demoted = NULL;
	struct change ch;

	if (spare == NULL)
		return false;
	if (count_voters(c) >= r->cfg.voters) {
		demoted = find_voter_to_demote(r, c, spare);
		if (demoted == NULL)
			return false;
	}
	change_init(&ch, c);
	change_set_voter(&ch, spare, true);
	if (demoted != NULL)
		change_set_voter(&ch, demoted, false);
	return change_propose(r, &ch);
}

/*
 * Removes a silent learner when a replica with another id answers at its
 * address: while both are members, the other one is no spare. The older one
 * stays when it lost its vote to a spare before its successor had caught up,
 * the newer one when its disk was lost too or the older one's is back. A
 * learner counts in no majority, so neither commits nor elections depend on it.
 */
static bool
remove_replaced_learner(struct gyp_replica *r, const Gyp__Config *c)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		struct change ch;

		if (m->voter || seen_within(r, m, r->cfg.election_ms) ||
		    !is_address_taken(r, c, m))
			continue;
		change_init(&ch, c);
		change_remove(&ch, m->id);
		return change_propose(r, &ch);
	}
	return false;
}

/* ---- Removal by operators ----------------------------------------------- */

static void
answer_removal(struct gyp_replica *r, uint64_t entry, uint64_t call,
    Gyp__Code code, const char *message, const char *json)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	msg.id = call;
	msg.code = code;
	msg.message = (char *)message;
	msg.json = (char *)json;
	gyp_replica_reply(r, entry, &msg);
}

static const Gyp__Member *
find_by_address_or_id(const Gyp__Config *c, const char *name)
{
	char *end;
	uint64_t id = g_ascii_strtoull(name, &end, 16);
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (strcmp(c->members[i]->address, name) == 0 ||
		    (*end == '\0' && c->members[i]->id == id))
			return c->members[i];
	}
	return NULL;
}

/*
 * True when the voters that answer are a majority of the voters other than this
 * member.
 */
static bool
majority_without(const struct gyp_replica *r, const Gyp__Config *c,
    const Gyp__Member *excluded)
{
	size_t i, voters = 0, live = 0;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];

		if (!m->voter || m == excluded)
			continue;
		voters++;
		live += seen_within(r, m, r->cfg.election_ms);
	}
	return live > voters / 2;
}

/* Returns the reason why the member cannot be removed, or NULL. */
static const char *
check_removal(
    const struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *m)
{
	if (m->id == r->cfg.id)
		return "it is the leader: stop it first, so that another takes "
		       "over";
	if (m->voter && !majority_without(r, c, m))
		return "the remaining voters that answer would not be a "
		       "majority";
	return NULL;
}

static void
answer_removed(
    struct gyp_replica *r, uint64_t entry, uint64_t call, uint64_t member)
{
	char json[64];

	g_snprintf(json, sizeof(json),
	    "{\"removed\":\"%016" G_GINT64_MODIFIER "x\"}", member);
	answer_removal(r, entry, call, GYP__CODE__CODE_OK, "", json);
}

/* Answers the removal; called only when no change is uncommitted. */
static void
finish_removal(struct gyp_replica *r)
{
	const struct gyp_member_removal *pending = &r->member_removal;

	if (pending->member != 0)
		answer_removed(
		    r, pending->entry, pending->call, pending->member);
	r->member_removal.member = 0;
}

/* Has finish_removal() answer this call. */
static void
set_pending_removal(
    struct gyp_replica *r, uint64_t entry, uint64_t call, uint64_t member)
{
	r->member_removal.member = member;
	r->member_removal.entry = entry;
	r->member_removal.call = call;
}

/*
 * Returns the member that this very call has removed, or 0. A replica may have
 * joined at the same address since; it must not be removed in its place.
 */
static uint64_t
find_removal_by_call(const Gyp__Config *c, uint64_t entry, uint64_t call)
{
	size_t i;

	/* Call ids of the local entry are not unique across replicas. */
	for (i = 0; i < c->n_removals && entry != GYP_LOCAL_ENTRY; i++) {
		if (c->removals[i]->entry == entry &&
		    c->removals[i]->call == call)
			return c->removals[i]->member;
	}
	return 0;
}

/* Returns the removed member with this id in hex or this address, or 0. */
static uint64_t
find_removal_by_name(const Gyp__Config *c, const char *name)
{
	char *end;
	uint64_t id = g_ascii_strtoull(name, &end, 16);
	size_t i;

	if (*end == '\0' && was_removed(c, id))
		return id;
	for (i = c->n_removals; i > 0; i--) {
		if (strcmp(c->removals[i - 1]->address, name) == 0)
			return c->removals[i - 1]->member;
	}
	return 0;
}

/*
 * Confirms a removal that an earlier request caused, once its change is
 * complete.
 */
static void
confirm_removal(
    struct gyp_replica *r, uint64_t entry, uint64_t call, uint64_t member)
{
	const struct gyp_member_removal *pending = &r->member_removal;

	if (!gyp_raft_is_reconfiguring(r->raft))
		answer_removed(r, entry, call, member);
	else if (pending->member == 0 ||
		 (pending->entry == entry && pending->call == call))
		set_pending_removal(r, entry, call, member);
	else
		answer_removal(r, entry, call, GYP__CODE__CODE_BUSY,
		    "the removal is in progress", "");
}

static void
propose_removal(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const Gyp__Config *c, const Gyp__Member *m)
{
	uint64_t id = m->id;
	struct change ch;

	change_init(&ch, c);
	change_remove(&ch, id);
	change_record_removal(&ch, m, entry, call);
	if (change_propose(r, &ch))
		set_pending_removal(r, entry, call, id);
	else
		answer_removal(r, entry, call, GYP__CODE__CODE_BUSY,
		    "the leader is not ready", "");
}

void
gyp_replica_remove_member(
    struct gyp_replica *r, uint64_t entry, uint64_t call, const char *name)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	const Gyp__Member *m = find_by_address_or_id(c, name);
	const char *reason = m != NULL ? check_removal(r, c, m) : NULL;
	uint64_t removed = find_removal_by_call(c, entry, call);

	if (removed == 0 && m == NULL)
		removed = find_removal_by_name(c, name);
	if (removed != 0) {
		confirm_removal(r, entry, call, removed);
		return;
	}
	if (gyp_raft_is_reconfiguring(r->raft)) {
		answer_removal(r, entry, call, GYP__CODE__CODE_BUSY,
		    "another change of members is in progress", "");
		return;
	}
	if (m == NULL || reason != NULL) {
		answer_removal(r, entry, call,
		    m == NULL ? GYP__CODE__CODE_NOT_FOUND
			      : GYP__CODE__CODE_CONFLICT,
		    m == NULL ? "no such member" : reason, "");
		return;
	}
	finish_removal(r); /* else this one would take its place */
	propose_removal(r, entry, call, c, m);
}

/* ---- Periodic work ------------------------------------------------------ */

void
gyp_replica_drop_member_requests(struct gyp_replica *r)
{
	gyp_message_free(r->join_request);
	r->join_request = NULL;
	r->member_removal.member = 0;
}

void
gyp_replica_update_members(struct gyp_replica *r)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);

	if (gyp_raft_is_reconfiguring(r->raft))
		return;
	finish_removal(r);
	if (replace_predecessor(r, c) || promote_spare(r, c) ||
	    remove_replaced_learner(r, c))
		return;
	if (r->join_request != NULL) {
		add_learner(r, c, r->join_request);
		gyp_message_free(r->join_request);
		r->join_request = NULL;
	}
}
