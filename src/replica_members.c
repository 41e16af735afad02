#include <string.h>

#include "msg.h"
#include "replica_int.h"

/* A learner this close to the end of the log may get a vote, in entries. */
#define CAUGHT_UP_ENTRIES 64

/*
 * A spare takes the place of a voter that was silent for this part of the time
 * to catch up: each change of leader counts the silence anew.
 */
#define VOTER_GONE_DIVISOR 4

/* Learners kept beside the voters; those that never return count too. */
#define SPARES_MAX 16

/* Removed ids that are remembered. */
#define REMOVED_MAX 256

/* ---- Looking at a configuration ----------------------------------------- */

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

/* The member that holds an address under another id: its disk was lost. */
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
voters_in(const Gyp__Config *c, const char *data_centre)
{
	size_t i, n = 0;

	for (i = 0; i < c->n_members; i++)
		n += c->members[i]->voter &&
		     strcmp(c->members[i]->data_centre, data_centre) == 0;
	return n;
}

static bool
heard_within(const struct gyp_replica *r, const Gyp__Member *m, uint32_t ms)
{
	return m->id == r->cfg.id ||
	       gyp_raft_last_seen(r->raft, m->id) + ms > r->now;
}

static bool
caught_up(const struct gyp_replica *r, const Gyp__Member *m)
{
	return heard_within(r, m, r->cfg.election_ms) &&
	       gyp_raft_match_index(r->raft, m->id) > 0 &&
	       gyp_raft_match_index(r->raft, m->id) + CAUGHT_UP_ENTRIES >=
		   gyp_raft_last_index(r->raft);
}

/* ---- Changes ------------------------------------------------------------ */

/* A configuration being made; members and ids are borrowed or in `own`. */
struct change {
	Gyp__Config next;
	Gyp__Member own[2];
	size_t n_own;
};

static void
change_init(struct change *ch, const Gyp__Config *c)
{
	size_t i;

	gyp__config__init(&ch->next);
	ch->n_own = 0;
	ch->next.members = g_new(Gyp__Member *, c->n_members + 1);
	ch->next.n_members = c->n_members;
	for (i = 0; i < c->n_members; i++)
		ch->next.members[i] = c->members[i];
	ch->next.removed = g_new(uint64_t, c->n_removed + 1);
	ch->next.n_removed = c->n_removed;
	for (i = 0; i < c->n_removed; i++)
		ch->next.removed[i] = c->removed[i];
}

static void
change_add(struct change *ch, const Gyp__Member *m)
{
	Gyp__Member *copy = &ch->own[ch->n_own++];

	*copy = *m;
	copy->voter = false;
	ch->next.members[ch->next.n_members++] = copy;
}

static void
change_vote(struct change *ch, const Gyp__Member *m, bool voter)
{
	Gyp__Member *copy = &ch->own[ch->n_own++];
	size_t i;

	*copy = *m;
	copy->voter = voter;
	for (i = 0; i < ch->next.n_members; i++) {
		if (ch->next.members[i]->id == m->id)
			ch->next.members[i] = copy;
	}
}

/* The id is kept, so that it can never join again. */
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

static bool
change_propose(struct gyp_replica *r, struct change *ch)
{
	bool proposed = gyp_raft_propose_config(r->raft, &ch->next) != 0;

	g_free(ch->next.members);
	g_free(ch->next.removed);
	return proposed;
}

/* ---- Joining and votes -------------------------------------------------- */

/* The addresses that a joiner was told may all be followers. */
static void
relay_join(struct gyp_replica *r, const Gyp__Join *join)
{
	uint64_t leader = gyp_raft_leader(r->raft);
	const char *address = gyp_replica_member_address(r, leader);
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join relayed = *join;
	struct gyp_out *out;

	if (address == NULL || leader == r->cfg.id)
		return;
	relayed.relayed = true;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &relayed;
	out = g_new0(struct gyp_out, 1);
	out->to = leader;
	out->address = g_strdup(address);
	out->packed = gyp_message_pack(&frame.base);
	g_queue_push_tail(&r->out, out);
}

void
gyp_replica_join(struct gyp_replica *r, const Gyp__Join *join)
{
	const Gyp__Member *m = join->member;

	if (!r->leading && !join->relayed)
		relay_join(r, join);
	if (!r->leading || m == NULL || m->id == 0 || m->address[0] == '\0' ||
	    was_removed(gyp_raft_members(r->raft), m->id))
		return;
	gyp_message_free(r->joiner);
	r->joiner = gyp_message_copy(&m->base);
}

/*
 * A predecessor without a vote goes at once; one with a vote goes when its
 * successor gets it. One that still answers is no predecessor: two replicas
 * were given the same address.
 */
static void
add_learner(struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *m)
{
	const Gyp__Member *old = find_predecessor(c, m);
	struct change ch;

	if (find_id(c, m->id) != NULL)
		return;
	if (old != NULL && heard_within(r, old, r->cfg.election_ms))
		return;
	if (old == NULL && c->n_members >= r->cfg.voters + SPARES_MAX)
		return;
	change_init(&ch, c);
	if (old != NULL && !old->voter)
		change_remove(&ch, old->id);
	change_add(&ch, m);
	change_propose(r, &ch);
}

/* A learner that succeeds a voter at the same address. */
static bool
replace_predecessor(struct gyp_replica *r, const Gyp__Config *c)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		const Gyp__Member *old = find_predecessor(c, m);
		struct change ch;

		if (m->voter || old == NULL || !old->voter ||
		    heard_within(r, old, r->cfg.election_ms) ||
		    !caught_up(r, m))
			continue;
		change_init(&ch, c);
		change_vote(&ch, m, true);
		change_remove(&ch, old->id);
		return change_propose(r, &ch);
	}
	return false;
}

/* The learner whose data centre has the fewest voters; NULL for none. */
static const Gyp__Member *
pick_spare(const struct gyp_replica *r, const Gyp__Config *c)
{
	const Gyp__Member *best = NULL;
	size_t i, fewest = 0;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];
		size_t n = voters_in(c, m->data_centre);

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
find_gone_voter(const struct gyp_replica *r, const Gyp__Config *c)
{
	uint32_t gone_ms = r->cfg.catch_up_ms / VOTER_GONE_DIVISOR;
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->voter &&
		    !heard_within(r, c->members[i], gone_ms))
			return c->members[i];
	}
	return NULL;
}

/* A voter, not this leader, that shares its data centre with another. */
static const Gyp__Member *
find_crowded_voter(const struct gyp_replica *r, const Gyp__Config *c)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];

		if (m->voter && m->id != r->cfg.id &&
		    voters_in(c, m->data_centre) > 1)
			return m;
	}
	return NULL;
}

/*
 * Whose vote a spare should get: that of a voter that is gone, or of one in a
 * crowded data centre when the spare's has no voter.
 */
static const Gyp__Member *
find_retiring_voter(
    const struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *spare)
{
	const Gyp__Member *gone = find_gone_voter(r, c);

	if (gone != NULL || voters_in(c, spare->data_centre) > 0)
		return gone;
	return find_crowded_voter(r, c);
}

/* A voter that retires stays as a learner: with its disk it may vote again. */
static bool
use_spare(struct gyp_replica *r, const Gyp__Config *c)
{
	const Gyp__Member *spare = pick_spare(r, c), *retiring = NULL;
	struct change ch;

	if (spare == NULL)
		return false;
	if (count_voters(c) >= r->cfg.voters) {
		retiring = find_retiring_voter(r, c, spare);
		if (retiring == NULL)
			return false;
	}
	change_init(&ch, c);
	change_vote(&ch, spare, true);
	if (retiring != NULL)
		change_vote(&ch, retiring, false);
	return change_propose(r, &ch);
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
find_by_name(const Gyp__Config *c, const char *name)
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

/* True when the voters that answer are a majority without this member. */
static bool
majority_without(
    const struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *out)
{
	size_t i, voters = 0, live = 0;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];

		if (!m->voter || m == out)
			continue;
		voters++;
		live += heard_within(r, m, r->cfg.election_ms);
	}
	return live > voters / 2;
}

/* The reason against a removal, or NULL. */
static const char *
refuse_removal(
    const struct gyp_replica *r, const Gyp__Config *c, const Gyp__Member *m)
{
	if (m->id == r->cfg.id)
		return "it is the leader: stop it first, another takes over";
	if (m->voter && !majority_without(r, c, m))
		return "the voters left that answer would be no majority";
	return NULL;
}

void
gyp_replica_remove_member(
    struct gyp_replica *r, uint64_t entry, uint64_t call, const char *name)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	const Gyp__Member *m = find_by_name(c, name);
	const char *reason = m != NULL ? refuse_removal(r, c, m) : NULL;
	uint64_t id = m != NULL ? m->id : 0;
	struct change ch;

	if (gyp_raft_is_reconfiguring(r->raft)) {
		answer_removal(r, entry, call, GYP__CODE__CODE_BUSY,
		    "another change of members is under way", "");
		return;
	}
	if (m == NULL || reason != NULL) {
		answer_removal(r, entry, call,
		    m == NULL ? GYP__CODE__CODE_NOT_FOUND
			      : GYP__CODE__CODE_CONFLICT,
		    m == NULL ? "no such member" : reason, "");
		return;
	}
	change_init(&ch, c);
	change_remove(&ch, id);
	if (!change_propose(r, &ch)) {
		answer_removal(r, entry, call, GYP__CODE__CODE_BUSY,
		    "the leader is not ready", "");
		return;
	}
	r->removal.member = id;
	r->removal.entry = entry;
	r->removal.call = call;
}

/* Answers once the change is committed. */
static void
finish_removal(struct gyp_replica *r)
{
	char json[64];

	if (r->removal.member == 0)
		return;
	g_snprintf(json, sizeof(json),
	    "{\"removed\":\"%016" G_GINT64_MODIFIER "x\"}", r->removal.member);
	answer_removal(
	    r, r->removal.entry, r->removal.call, GYP__CODE__CODE_OK, "", json);
	r->removal.member = 0;
}

/* ---- Periodic work ------------------------------------------------------ */

void
gyp_replica_forget_requests(struct gyp_replica *r)
{
	gyp_message_free(r->joiner);
	r->joiner = NULL;
	r->removal.member = 0;
}

void
gyp_replica_tend_members(struct gyp_replica *r)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);

	if (gyp_raft_is_reconfiguring(r->raft))
		return;
	finish_removal(r);
	if (replace_predecessor(r, c) || use_spare(r, c))
		return;
	if (r->joiner != NULL) {
		add_learner(r, c, r->joiner);
		gyp_message_free(r->joiner);
		r->joiner = NULL;
	}
}
