#include <glib.h>

#include "msg.h"
#include "raft.h"

/*
 * Rules of the log that random runs seldom exercise, each tested with
 * handwritten messages to one replica of three.
 */

#define ELECTION_MS 300

struct node {
	struct gyp_raft_io io;
	struct gyp_raft *raft;
	uint64_t written;
	uint64_t now;
	bool granted;       /* it has granted a vote */
	uint64_t sent_to_3; /* entries sent to member 3 */
	uint64_t appends_to_3;
	uint64_t last_to_3; /* index of the last entry sent to member 3 */
	uint64_t applied;
};

static void
on_send(struct gyp_raft_io *io, uint64_t to, const Gyp__RaftMsg *msg)
{
	if (to == 3)
		((struct node *)io)->sent_to_3 += msg->n_entries;
	if (to == 3 && msg->type == GYP__RAFT_TYPE__RAFT_APPEND)
		((struct node *)io)->appends_to_3++;
	if (to == 3 && msg->type == GYP__RAFT_TYPE__RAFT_APPEND)
		((struct node *)io)->last_to_3 = msg->index + msg->n_entries;
	if (msg->type == GYP__RAFT_TYPE__RAFT_VOTE_REPLY && !msg->reject)
		((struct node *)io)->granted = true;
}

static void
on_write(struct gyp_raft_io *io, const struct gyp_record *rec)
{
	(void)rec;
	((struct node *)io)->written++;
}

static void
on_apply(struct gyp_raft_io *io, const struct gyp_log_entry *e)
{
	(void)e;
	((struct node *)io)->applied++;
}

static void
on_restore(struct gyp_raft_io *io, const Gyp__SnapshotFile *file)
{
	(void)io;
	(void)file;
}

static const struct gyp_raft_io_ops ops = {.send = on_send,
    .write = on_write,
    .apply = on_apply,
    .restore = on_restore};

#define MEMBERS_MAX 5

/*
 * Fills in members 1 to n; bit i of voter_mask makes member i + 1 a voter. The
 * arrays must outlive config.
 */
static void
fill_config(Gyp__Config *config, Gyp__Member members[MEMBERS_MAX],
    Gyp__Member *list[MEMBERS_MAX], int n, unsigned voter_mask)
{
	int i;

	gyp__config__init(config);
	for (i = 0; i < n; i++) {
		gyp__member__init(&members[i]);
		members[i].id = (uint64_t)i + 1;
		members[i].address = "a";
		members[i].voter = (voter_mask >> i & 1) != 0;
		list[i] = &members[i];
	}
	config->n_members = (size_t)n;
	config->members = list;
}

/*
 * Sets up replica 1 of the members 1, 2 and 3. Its log holds the configuration
 * and one entry of term 2; voter_mask as in fill_config().
 */
static void
set_up_voters(struct node *n, unsigned voter_mask)
{
	struct gyp_raft_config cfg = {
	    .id = 1, .election_ms = ELECTION_MS, .heartbeat_ms = 50, .seed = 1};
	struct gyp_record rec = {.type = GYP_RECORD_ENTRY,
	    .term = 1,
	    .index = 1,
	    .kind = GYP__ENTRY_KIND__ENTRY_CONFIG};
	Gyp__Config config;
	Gyp__Member members[MEMBERS_MAX], *list[MEMBERS_MAX];

	*n = (struct node){.io = {.ops = &ops}, .now = 1000};
	n->raft = gyp_raft_new(&cfg, &n->io);
	fill_config(&config, members, list, 3, voter_mask);
	rec.data = gyp_message_pack(&config.base);
	gyp_raft_load(n->raft, &rec);
	rec.term = rec.index = 2;
	rec.kind = GYP__ENTRY_KIND__ENTRY_BATCH;
	gyp_raft_load(n->raft, &rec);
	g_bytes_unref(rec.data);
	gyp_raft_tick(n->raft, n->now);
}

static void
set_up(struct node *n)
{
	set_up_voters(n, 7);
}

static void
advance(struct node *n, uint64_t ms)
{
	n->now += ms;
	gyp_raft_tick(n->raft, n->now);
	gyp_raft_synced(n->raft, n->now, n->written);
}

static void
reply(struct node *n, Gyp__RaftType type, uint64_t from, uint64_t term,
    uint64_t index)
{
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;

	m.type = type;
	m.from = from;
	m.to = 1;
	m.term = term;
	m.index = index;
	m.round = n->now;
	gyp_raft_step(n->raft, n->now, &m);
}

static void
elect(struct node *n)
{
	advance(n, 3 * ELECTION_MS);
	reply(n, GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY, 2,
	    gyp_raft_term(n->raft) + 1, 0);
	advance(n, 1);
	reply(n, GYP__RAFT_TYPE__RAFT_VOTE_REPLY, 2, gyp_raft_term(n->raft), 0);
	advance(n, 1);
	g_assert_cmpint(gyp_raft_role(n->raft), ==, GYP_RAFT_LEADER);
}

/*
 * An entry of an older term is committed only through an entry of the leader's
 * own term.
 */
static void
test_older_term_commit(void)
{
	struct node n;

	set_up(&n);
	elect(&n);
	reply(
	    &n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2, gyp_raft_term(n.raft), 2);
	g_assert_cmpuint(gyp_raft_commit_index(n.raft), <, 2);
	reply(
	    &n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2, gyp_raft_term(n.raft), 3);
	g_assert_cmpuint(gyp_raft_commit_index(n.raft), ==, 3);
	gyp_raft_free(n.raft);
}

/*
 * Lets members 2 to last acknowledge all entries until the change is complete.
 */
static void
finish_changes(struct node *n, uint64_t last)
{
	uint64_t id;

	while (gyp_raft_is_reconfiguring(n->raft) && n->now < 10000) {
		advance(n, 1);
		for (id = 2; id <= last; id++)
			reply(n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, id,
			    gyp_raft_term(n->raft),
			    gyp_raft_last_index(n->raft));
	}
}

/* A change needs a majority of the old and of the new voters. */
static void
test_joint_quorum(void)
{
	struct node n;
	Gyp__Config config;
	Gyp__Member members[MEMBERS_MAX], *list[MEMBERS_MAX];
	uint64_t term, index;

	set_up(&n);
	elect(&n);
	term = gyp_raft_term(n.raft);
	finish_changes(&n, 3);
	fill_config(&config, members, list, 5, 7);
	g_assert_cmpuint(gyp_raft_propose_config(n.raft, &config), !=, 0);
	finish_changes(&n, 5);
	fill_config(&config, members, list, 5, 1 | 8 | 16);
	index = gyp_raft_propose_config(n.raft, &config);
	g_assert_cmpuint(index, !=, 0);
	advance(&n, 1);
	reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 4, term, index);
	reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 5, term, index);
	g_assert_cmpuint(gyp_raft_commit_index(n.raft), <, index);
	reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2, term, index);
	g_assert_cmpuint(gyp_raft_commit_index(n.raft), >=, index);
	gyp_raft_free(n.raft);
}

/* A candidate whose log lacks an entry gets no vote. */
static void
test_outdated_log_gets_no_vote(void)
{
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;
	struct node n;

	set_up(&n);
	n.now += ELECTION_MS + 1;
	m.type = GYP__RAFT_TYPE__RAFT_VOTE;
	m.from = 2;
	m.to = 1;
	m.term = 7;
	m.index = 9;
	m.log_term = 1;
	gyp_raft_step(n.raft, n.now, &m);
	advance(&n, 0);
	g_assert_false(n.granted);
	m.term = 8;
	m.index = 2;
	m.log_term = 2;
	gyp_raft_step(n.raft, n.now, &m);
	advance(&n, 0);
	g_assert_true(n.granted);
	gyp_raft_free(n.raft);
}

/*
 * A member that does not answer is probed without entries: the whole log at
 * each heartbeat would fill its link.
 */
static void
test_unresponsive_member(void)
{
	struct node n;
	uint64_t sent;
	int i;

	set_up(&n);
	elect(&n);
	for (i = 0; i < 20; i++) {
		GBytes *data = g_bytes_new_static("entry", 5);

		gyp_raft_propose(n.raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
		g_bytes_unref(data);
		advance(&n, 50);
		reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2,
		    gyp_raft_term(n.raft), gyp_raft_last_index(n.raft));
	}
	sent = n.sent_to_3;
	g_assert_cmpuint(sent, <=, 20);
	for (i = 0; i < 40; i++) {
		advance(&n, 50);
		reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2,
		    gyp_raft_term(n.raft), gyp_raft_last_index(n.raft));
	}
	g_assert_cmpuint(n.sent_to_3, ==, sent);
	reply(
	    &n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 3, gyp_raft_term(n.raft), 1);
	g_assert_cmpuint(n.sent_to_3, >, sent);
	gyp_raft_free(n.raft);
}

/*
 * A learner that has lost contact with its leader must stop naming it as the
 * leader.
 */
static void
test_isolated_learner_clears_leader(void)
{
	struct gyp_raft_config cfg = {
	    .id = 1, .election_ms = ELECTION_MS, .heartbeat_ms = 50, .seed = 1};
	struct node n = {.io = {.ops = &ops}, .now = 1000};
	struct gyp_record rec = {.type = GYP_RECORD_ENTRY,
	    .term = 1,
	    .index = 1,
	    .kind = GYP__ENTRY_KIND__ENTRY_CONFIG};
	Gyp__Config config;
	Gyp__Member members[MEMBERS_MAX], *list[MEMBERS_MAX];
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;

	n.raft = gyp_raft_new(&cfg, &n.io);
	fill_config(&config, members, list, 3, 2 | 4);
	rec.data = gyp_message_pack(&config.base);
	gyp_raft_load(n.raft, &rec);
	g_bytes_unref(rec.data);
	gyp_raft_tick(n.raft, n.now);
	m.type = GYP__RAFT_TYPE__RAFT_APPEND;
	m.from = 2;
	m.to = 1;
	m.term = 1;
	m.index = 1;
	m.log_term = 1;
	gyp_raft_step(n.raft, n.now, &m);
	g_assert_cmpuint(gyp_raft_leader(n.raft), ==, 2);
	advance(&n, 3 * ELECTION_MS);
	g_assert_cmpuint(gyp_raft_leader(n.raft), ==, 0);
	gyp_raft_free(n.raft);
}

/*
 * Returns the time in ms until replica 1 starts a pre-vote; member 2 then
 * grants it.
 */
static uint64_t
time_to_candidate(struct node *n)
{
	uint64_t since = n->now;

	while (gyp_raft_role(n->raft) != GYP_RAFT_PRECANDIDATE)
		advance(n, 1);
	reply(n, GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY, 2,
	    gyp_raft_term(n->raft) + 1, 0);
	g_assert_cmpint(gyp_raft_role(n->raft), ==, GYP_RAFT_CANDIDATE);
	return n->now - since;
}

/*
 * After a split vote the first election is repeated within 3/4 of a timeout,
 * later ones after a full timeout.
 */
static void
test_split_vote(void)
{
	struct node n;

	set_up(&n);
	g_assert_cmpuint(time_to_candidate(&n), >=, ELECTION_MS);
	g_assert_cmpuint(time_to_candidate(&n), <=, ELECTION_MS * 3 / 4 + 1);
	g_assert_cmpuint(time_to_candidate(&n), >=, ELECTION_MS);
	gyp_raft_free(n.raft);
}

/* Requests a vote as member 2; returns whether replica 1 grants it. */
static bool
request_vote(struct node *n, uint64_t term, bool force)
{
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;

	n->granted = false;
	m.type = GYP__RAFT_TYPE__RAFT_VOTE;
	m.from = 2;
	m.to = 1;
	m.term = term;
	m.index = m.log_term = 100;
	m.force = force;
	gyp_raft_step(n->raft, n->now, &m);
	advance(n, 1);
	return n->granted;
}

/*
 * A replica that may recently have answered a leader waits before it votes. It
 * need not wait when the candidate is the former leader of its own term. It
 * must wait when its term is newer than the one that the candidate led: that
 * term may have a leader that the candidate has had no contact with.
 */
static void
test_former_leader_reelection(void)
{
	struct node n;

	set_up(&n);
	reply(&n, GYP__RAFT_TYPE__RAFT_APPEND, 3, 5, 2);
	g_assert_cmpuint(gyp_raft_term(n.raft), ==, 5);
	g_assert_false(request_vote(&n, 6, false));
	g_assert_false(request_vote(&n, 7, true));
	g_assert_cmpuint(gyp_raft_term(n.raft), ==, 5);
	g_assert_true(request_vote(&n, 6, true));
	gyp_raft_free(n.raft);
}

/*
 * All replicas restart with a long log and receive its commit index in one
 * message: no call applies more than GYP_RAFT_APPLY_MAX entries, so that
 * heartbeats are not delayed.
 */
static void
test_long_log_apply_is_bounded(void)
{
	struct node n;
	struct gyp_record rec = {.type = GYP_RECORD_ENTRY,
	    .term = 2,
	    .kind = GYP__ENTRY_KIND__ENTRY_BATCH,
	    .data = g_bytes_new_static("", 0)};
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;
	uint64_t before;
	int calls;

	set_up(&n);
	for (rec.index = 3; rec.index <= 3000; rec.index++)
		gyp_raft_load(n.raft, &rec);
	g_bytes_unref(rec.data);
	m.type = GYP__RAFT_TYPE__RAFT_APPEND;
	m.from = 3;
	m.to = 1;
	m.term = 3;
	m.index = m.commit = 3000;
	m.log_term = 2;
	gyp_raft_step(n.raft, n.now, &m);
	g_assert_cmpuint(gyp_raft_commit_index(n.raft), ==, 3000);
	g_assert_cmpuint(n.applied, <=, GYP_RAFT_APPLY_MAX);
	for (calls = 0; calls < 1000 && gyp_raft_has_unapplied(n.raft);
	     calls++) {
		before = n.applied;
		advance(&n, 1);
		g_assert_cmpuint(n.applied, ==, before);
		gyp_raft_apply_more(n.raft);
		g_assert_cmpuint(n.applied, >, before);
		g_assert_cmpuint(n.applied - before, <=, GYP_RAFT_APPLY_MAX);
	}
	g_assert_cmpuint(gyp_raft_applied_index(n.raft), ==, 3000);
	gyp_raft_free(n.raft);
}

/* A learner of a busy leader gets entries with heartbeats only. */
static void
test_learner_appends_are_batched(void)
{
	struct node n;
	uint64_t before;
	int i;

	set_up_voters(&n, 3);
	elect(&n);
	before = n.appends_to_3;
	for (i = 0; i < 100; i++) {
		GBytes *data = g_bytes_new_static("entry", 5);

		gyp_raft_propose(n.raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
		g_bytes_unref(data);
		advance(&n, 2);
		reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2,
		    gyp_raft_term(n.raft), gyp_raft_last_index(n.raft));
		reply(&n, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 3,
		    gyp_raft_term(n.raft), n.last_to_3);
	}
	g_assert_cmpuint(n.appends_to_3 - before, <=, 10);
	g_assert_cmpuint(n.sent_to_3, >=, 50);
	gyp_raft_free(n.raft);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/older-term-commit", test_older_term_commit);
	g_test_add_func("/raft/joint-quorum", test_joint_quorum);
	g_test_add_func(
	    "/raft/outdated-log-gets-no-vote", test_outdated_log_gets_no_vote);
	g_test_add_func("/raft/unresponsive-member", test_unresponsive_member);
	g_test_add_func("/raft/isolated-learner-clears-leader",
	    test_isolated_learner_clears_leader);
	g_test_add_func("/raft/split-vote", test_split_vote);
	g_test_add_func(
	    "/raft/long-log-apply-is-bounded", test_long_log_apply_is_bounded);
	g_test_add_func(
	    "/raft/former-leader-reelection", test_former_leader_reelection);
	g_test_add_func("/raft/learner-appends-are-batched",
	    test_learner_appends_are_batched);
	return g_test_run();
}
