#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "bootstrap.h"
#include "members_fixture.h"
#include "msg.h"
#include "replica_int.h"

/* Membership, votes, and catching up after a replica was stopped. */

/* Each data centre gets a voter, in whatever order replicas join. */
static void
test_spread(void)
{
	static const char *const orders[][2] = {{"abc", "abc"}, {"aabc", "abc"},
	    {"aaabc", "abc"}, {"abbbbc", "abc"}, {"aabb", "aab"},
	    {"aaa", "aaa"}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		struct cell c;
		char *found;

		cell_init(&c, i + 1, orders[i][0]);
		cell_settle(&c);
		found = cell_voting_centres(&c);
		if (strcmp(orders[i][0], "aabb") == 0)
			g_assert_true(strcmp(found, "aab") == 0 ||
				      strcmp(found, "abb") == 0);
		else
			g_assert_cmpstr(found, ==, orders[i][1]);
		g_assert_cmpuint(cell_members(&c)->n_members, ==, c.n);
		g_free(found);
		cell_clear(&c);
	}
}

/*
 * A replica whose disk was lost returns with a new id, which replaces the old
 * one in a single change. If a second disk is lost right after, the remaining
 * majority must still commit.
 */
static void
test_second_loss(void)
{
	int first, second;

	for (first = 0; first < 3; first++) {
		for (second = 0; second < 3; second++) {
			struct cell c;
			uint64_t old;
			int i;

			if (first == second)
				continue;
			cell_init(&c, (uint32_t)(first * 3 + second), "abc");
			cell_settle(&c);
			old = c.nodes[first].id;
			cell_lose_disk(&c, first);
			cell_start(&c, first);
			for (i = 0; i < 2000; i++) {
				cell_run(&c, 10);
				if (cell_leader(&c) >= 0 &&
				    cell_is_voter(&c, c.nodes[first].id) &&
				    !gyp_raft_is_reconfiguring(gyp_replica_raft(
					c.nodes[cell_leader(&c)].replica)))
					break;
			}
			g_assert_cmpint(i, <, 2000);
			g_assert_null(cell_find_member(cell_members(&c), old));
			g_assert_cmpuint(cell_members(&c)->n_members, ==, 3);
			cell_lose_disk(&c, second);
			cell_run(&c, 10 * ELECTION_MS);
			g_assert_true(cell_announce(&c, 1));
			cell_clear(&c);
		}
	}
}

static void
test_removal(void)
{
	struct cell c;
	char id[32];
	int lead, other, i;

	cell_init(&c, 1, "abcd");
	cell_settle(&c);
	lead = cell_leader(&c);
	g_assert_cmpint(cell_remove_member(&c, "10.9.9.9:1"), ==,
	    GYP__CODE__CODE_NOT_FOUND);
	g_assert_cmpint(cell_remove_member(&c, c.nodes[lead].address), ==,
	    GYP__CODE__CODE_CONFLICT);
	other = (lead + 1) % 3;
	snprintf(
	    id, sizeof(id), "%016" G_GINT64_MODIFIER "x", c.nodes[other].id);
	g_assert_cmpint(cell_remove_member(&c, id), ==, GYP__CODE__CODE_OK);
	g_assert_nonnull(strstr(c.reply->json, id));
	cell_settle(&c);

	/*
	 * The spare has the vote; requests of the removed id to join are
	 * ignored.
	 */
	g_assert_true(cell_is_voter(&c, c.nodes[3].id));
	g_assert_null(cell_find_member(cell_members(&c), c.nodes[other].id));

	/*
	 * With one voter stopped, the removal of another is refused: the rest
	 * would not be a majority.
	 */
	for (i = 0; i < c.n; i++) {
		if (i != lead && i != other)
			break;
	}
	cell_stop(&c, i);
	cell_run(&c, 3 * ELECTION_MS);
	for (i = 0; i < c.n; i++) {
		if (i != cell_leader(&c) && i != other &&
		    c.nodes[i].replica != NULL)
			break;
	}
	g_assert_cmpint(cell_remove_member(&c, c.nodes[i].address), ==,
	    GYP__CODE__CODE_CONFLICT);
	cell_clear(&c);
}

static void
format_id(const struct cell *c, int node, char *id, size_t len)
{
	g_snprintf(id, len, "%016" G_GINT64_MODIFIER "x", c->nodes[node].id);
}

/* Runs until a replica leads; the election needs no more than this. */
static void
wait_for_leader(struct cell *c)
{
	int tries;

	for (tries = 0; tries < 100 && cell_leader(c) < 0; tries++)
		cell_run(c, 100);
	g_assert_cmpint(cell_leader(c), >=, 0);
}

static void
assert_removed(const struct cell *c, const char *id)
{
	char *json = g_strdup_printf("{\"removed\":\"%s\"}", id);

	g_assert_nonnull(c->reply);
	g_assert_cmpint(c->reply->code, ==, GYP__CODE__CODE_OK);
	g_assert_cmpstr(c->reply->json, ==, json);
	g_free(json);
}

/*
 * The leader restarts some time after it was sent a removal and before it
 * answers; the entry sends the same call to the next leader.
 */
static void
check_resent_removal(uint32_t seed, int node, bool by_address, uint32_t ms)
{
	struct cell c;
	char id[32];
	const char *name;
	int lead;

	cell_init(&c, seed, "abca");
	cell_settle(&c);
	lead = cell_leader(&c);
	if (node < VOTERS)
		node = (lead + 1) % VOTERS;
	format_id(&c, node, id, sizeof(id));
	name = by_address ? c.nodes[node].address : id;
	cell_stop(&c, node);
	cell_send_removal(&c, 7, name);
	cell_run(&c, ms);
	if (c.reply == NULL) {
		cell_stop(&c, lead);
		cell_start(&c, lead);
		wait_for_leader(&c);
		cell_send_removal(&c, 7, name);
		cell_run(&c, 2000);
	}
	assert_removed(&c, id);
	g_assert_null(cell_find_member(cell_members(&c), c.nodes[node].id));

	/* The operator repeats the request, which is another call. */
	g_assert_cmpint(cell_remove_member(&c, name), ==, GYP__CODE__CODE_OK);
	assert_removed(&c, id);
	cell_clear(&c);
}

/*
 * Guards against a 404 from the next leader for a resent removal that was
 * carried out.
 */
static void
test_resent_removal(void)
{
	uint32_t ms;

	for (ms = 10; ms <= 300; ms += 10) {
		check_resent_removal(ms / 10, VOTERS, false, ms);
		check_resent_removal(ms / 10, VOTERS, true, ms);
		check_resent_removal(ms / 10, 0, false, ms);
	}
}

/*
 * Guards against a resent removal by address that removes the replica which has
 * joined at this address since.
 */
static void
test_resent_removal_of_successor(void)
{
	struct cell c;
	char first[32], second[32];

	cell_init(&c, 1, "abca");
	cell_settle(&c);
	format_id(&c, VOTERS, first, sizeof(first));
	cell_lose_disk(&c, VOTERS);
	cell_run(&c, 2 * ELECTION_MS);
	cell_send_removal(&c, 7, c.nodes[VOTERS].address);
	cell_run(&c, 1000);
	assert_removed(&c, first);
	cell_start(&c, VOTERS);
	cell_settle(&c);
	format_id(&c, VOTERS, second, sizeof(second));
	g_assert_nonnull(
	    cell_find_member(cell_members(&c), c.nodes[VOTERS].id));
	cell_send_removal(&c, 7, c.nodes[VOTERS].address);
	cell_run(&c, 1000);
	assert_removed(&c, first);
	g_assert_nonnull(
	    cell_find_member(cell_members(&c), c.nodes[VOTERS].id));

	/* Another call by address means the replica that is there now. */
	g_assert_cmpint(cell_remove_member(&c, c.nodes[VOTERS].address), ==,
	    GYP__CODE__CODE_OK);
	assert_removed(&c, second);
	g_assert_null(cell_find_member(cell_members(&c), c.nodes[VOTERS].id));
	g_assert_cmpint(cell_remove_member(&c, first), ==, GYP__CODE__CODE_OK);
	assert_removed(&c, first);

	/* A name that was never a member is still reported. */
	g_assert_cmpint(cell_remove_member(&c, "00000000000000ff"), ==,
	    GYP__CODE__CODE_NOT_FOUND);
	g_assert_cmpint(
	    cell_remove_member(&c, ""), ==, GYP__CODE__CODE_NOT_FOUND);
	cell_clear(&c);
}

/*
 * Guards against a 404 for a repeated removal by id once more replicas were
 * removed than addresses are kept (16), also after a restart.
 */
static void
test_many_removals(void)
{
	struct cell c;
	char id[20][32];
	int i, lead;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	cell_add_node(&c, 'a');
	for (i = 0; i < 20; i++) {
		cell_settle(&c);
		format_id(&c, VOTERS, id[i], sizeof(id[i]));
		cell_stop(&c, VOTERS);
		g_assert_cmpint(
		    cell_remove_member(&c, id[i]), ==, GYP__CODE__CODE_OK);
		cell_lose_disk(&c, VOTERS);
		cell_start(&c, VOTERS);
	}
	cell_settle(&c);
	lead = cell_leader(&c);
	cell_stop(&c, lead);
	cell_start(&c, lead);
	wait_for_leader(&c);
	cell_settle(&c);
	for (i = 0; i < 20; i++) {
		g_assert_cmpint(
		    cell_remove_member(&c, id[i]), ==, GYP__CODE__CODE_OK);
		assert_removed(&c, id[i]);
	}
	cell_clear(&c);
}

/*
 * A voter that stays stopped loses its vote to the spare, and returns as a
 * spare.
 */
static void
test_spare(void)
{
	struct cell c;
	int stopped;

	cell_init(&c, 1, "abca");
	cell_settle(&c);
	cell_assert_centres(&c, "abc");
	stopped = (cell_leader(&c) + 1) % 3;
	cell_stop(&c, stopped);
	cell_run(&c, 20000);
	g_assert_true(cell_is_voter(&c, c.nodes[stopped].id));
	cell_run(&c, 20000);
	g_assert_false(cell_is_voter(&c, c.nodes[stopped].id));
	g_assert_true(cell_is_voter(&c, c.nodes[3].id));
	g_assert_nonnull(
	    cell_find_member(cell_members(&c), c.nodes[stopped].id));
	cell_start(&c, stopped);
	cell_settle(&c);
	cell_assert_centres(&c, "abc");
	g_assert_true(cell_announce(&c, 1));
	cell_clear(&c);
}

/*
 * When VMs with a disk are replaced one after the other, each at a new address,
 * the successor must get its vote within the catch-up time, even if the leader
 * changes meanwhile. Otherwise two replaced voters and one more lost disk leave
 * no majority.
 */
static void
check_successor(uint32_t seed, bool leader_stops, uint32_t leader_stops_at)
{
	const uint32_t catch_up_ms = 4000;
	struct cell c;
	int stopped, node, lead;

	cell_init(&c, seed, "abc");
	cell_settle(&c);
	for (node = 0; node < VOTERS; node++) {
		cell_stop(&c, node);
		c.catch_up_ms = catch_up_ms;
		cell_start(&c, node);
		cell_settle(&c);
	}
	stopped = (cell_leader(&c) + 1) % VOTERS;
	cell_stop(&c, stopped);
	node = cell_add_node(&c, "abc"[stopped]);
	cell_run(&c, leader_stops_at);
	lead = cell_leader(&c);
	if (leader_stops && lead >= 0) {
		cell_stop(&c, lead);
		cell_start(&c, lead);
	}
	cell_run(&c, catch_up_ms - leader_stops_at);
	g_assert_cmpint(cell_leader(&c), >=, 0);
	g_assert_true(cell_is_voter(&c, c.nodes[node].id));
	g_assert_false(cell_is_voter(&c, c.nodes[stopped].id));

	/* Another lost disk leaves a majority. */
	cell_lose_disk(&c, (stopped + 1) % VOTERS);
	cell_run(&c, 10 * ELECTION_MS);
	g_assert_true(cell_announce(&c, 1));
	cell_clear(&c);
}

static void
test_successor(void)
{
	check_successor(1, false, 0);
	check_successor(2, true, 300);
	check_successor(3, true, 900);
	check_successor(4, true, 1500);
}

/*
 * Guards against a replica that can never get a vote again. Its disk is lost,
 * it joins under a new id and is cut off, so a spare gets the vote of its old
 * id. The old id stays as a learner at the same address, and must not keep the
 * replica from replacing the next voter that is lost.
 */
static void
test_successor_of_demoted(void)
{
	struct cell c;
	uint64_t old;
	int lost, next;

	cell_prepare(&c, 1);
	c.catch_up_ms = 6000;
	cell_populate(&c, "abca");
	cell_settle(&c);
	lost = (cell_leader(&c) + 1) % VOTERS;
	old = c.nodes[lost].id;
	cell_lose_disk(&c, lost);
	cell_run(&c, 2 * ELECTION_MS);
	cell_start(&c, lost);
	while (cell_find_member(cell_members(&c), c.nodes[lost].id) == NULL)
		cell_run(&c, 10);
	c.nodes[lost].cut = true;
	cell_settle(&c);
	g_assert_false(cell_is_voter(&c, old));
	g_assert_true(cell_is_voter(&c, c.nodes[3].id));

	c.nodes[lost].cut = false;
	cell_settle(&c);
	next = cell_leader(&c) == 3 ? (lost + 1) % VOTERS : 3;
	cell_stop(&c, next);
	cell_run(&c, c.catch_up_ms);
	g_assert_true(cell_is_voter(&c, c.nodes[lost].id));
	g_assert_false(cell_is_voter(&c, c.nodes[next].id));
	g_assert_null(cell_find_member(cell_members(&c), old));
	cell_clear(&c);
}

/* Counts the members with the address of this node. */
static guint
members_at(const struct cell *c, int node)
{
	const Gyp__Config *config = cell_members(c);
	guint n = 0;
	size_t i;

	for (i = 0; i < config->n_members; i++)
		n += g_str_equal(
		    config->members[i]->address, c->nodes[node].address);
	return n;
}

/* Starts a replica on a new disk and runs until it is a member. */
static void
rejoin(struct cell *c, int node)
{
	int tries;

	cell_lose_disk(c, node);
	cell_run(c, 2 * ELECTION_MS);
	cell_start(c, node);
	for (tries = 0; tries < 500; tries++) {
		if (cell_find_member(cell_members(c), c->nodes[node].id))
			return;
		cell_run(c, 10);
	}
	g_assert_not_reached();
}

/*
 * Guards against an id that stays as a learner after its disk was lost before
 * it had caught up: its successor at the same address would get no vote again
 * once it has lost its vote. The first id has its vote or was demoted.
 */
static void
check_disk_lost_twice(bool demoted)
{
	struct cell c;
	uint64_t first;
	int lost;

	cell_prepare(&c, 1);
	c.catch_up_ms = 6000;
	cell_populate(&c, demoted ? "abca" : "abc");
	cell_settle(&c);
	lost = (cell_leader(&c) + 1) % VOTERS;
	first = c.nodes[lost].id;
	rejoin(&c, lost);
	if (demoted) {
		c.nodes[lost].cut = true;
		cell_settle(&c);
		c.nodes[lost].cut = false;
	}
	g_assert_cmpint(cell_is_voter(&c, first), ==, !demoted);
	rejoin(&c, lost);
	cell_settle(&c);
	g_assert_cmpuint(members_at(&c, lost), ==, 1);
	cell_assert_centres(&c, "abc");
	cell_clear(&c);
}

static void
test_disk_lost_twice(void)
{
	check_disk_lost_twice(false);
}

static void
test_disk_lost_twice_demoted(void)
{
	check_disk_lost_twice(true);
}

/*
 * Guards against a voter that could never get a vote again. Its disk was not
 * mounted at a start, so an empty one joined under a new id; then the disk is
 * back, and the new id remains as a learner at the same address.
 */
static void
test_disk_back(void)
{
	struct cell c;
	struct node original;
	int node;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	node = (cell_leader(&c) + 1) % VOTERS;
	cell_stop(&c, node);
	original = c.nodes[node];
	c.nodes[node].disk = NULL;
	rejoin(&c, node);
	cell_lose_disk(&c, node);
	c.nodes[node] = original;
	cell_start(&c, node);
	cell_settle(&c);
	g_assert_cmpuint(members_at(&c, node), ==, 1);
	g_assert_true(cell_is_voter(&c, original.id));
	cell_clear(&c);
}

/* Runs until the leader has had an answer of this member. */
static void
wait_for_answer(struct cell *c, int node)
{
	int tries;

	for (tries = 0; tries < 100; tries++) {
		const struct gyp_raft *raft =
		    gyp_replica_raft(c->nodes[cell_leader(c)].replica);

		if (gyp_raft_last_seen(raft, c->nodes[node].id) != 0)
			return;
		cell_run(c, 10);
	}
	g_assert_not_reached();
}

/*
 * Guards against a replica that joins while another one answers at its address.
 * The oldest id there is a silent voter, the second one has just answered.
 */
static void
test_address_taken(void)
{
	struct cell c;
	uint64_t oldest;
	int lost;

	cell_prepare(&c, 1);
	c.election_ms = 5 * ELECTION_MS;
	cell_populate(&c, "abc");
	cell_settle(&c);
	lost = (cell_leader(&c) + 1) % VOTERS;
	oldest = c.nodes[lost].id;
	cell_lose_disk(&c, lost);
	cell_run(&c, 2 * c.election_ms);
	rejoin(&c, lost);
	wait_for_answer(&c, lost);
	cell_lose_disk(&c, lost);
	cell_start(&c, lost);
	cell_run(&c, 3 * JOIN_MS);
	g_assert_true(cell_is_voter(&c, oldest));
	g_assert_null(cell_find_member(cell_members(&c), c.nodes[lost].id));
	cell_settle(&c);
	g_assert_cmpuint(members_at(&c, lost), ==, 1);
	cell_assert_centres(&c, "abc");
	cell_clear(&c);
}

/*
 * Guards against a list of members that grows without limit while a replica
 * loses its disk at each start, before it has caught up.
 */
static void
test_disk_lost_often(void)
{
	struct cell c;
	int lost, i;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	lost = (cell_leader(&c) + 1) % VOTERS;
	for (i = 0; i < 20; i++) {
		rejoin(&c, lost);
		g_assert_cmpuint(members_at(&c, lost), <=, 2);
	}
	cell_settle(&c);
	g_assert_cmpuint(members_at(&c, lost), ==, 1);
	cell_assert_centres(&c, "abc");
	cell_clear(&c);
}

/* A replica that missed hundreds of changes receives them as one snapshot. */
static void
test_catch_up_by_snapshot(void)
{
	struct cell c;
	uint64_t commit;
	uint64_t i;
	int stopped;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	stopped = (cell_leader(&c) + 1) % 3;
	cell_stop(&c, stopped);
	for (i = 1; i <= 400; i++)
		g_assert_true(cell_announce(&c, i));
	commit = gyp_raft_commit_index(
	    gyp_replica_raft(c.nodes[cell_leader(&c)].replica));
	c.snapshots = c.log_entries = 0;
	cell_start(&c, stopped);
	cell_run(&c, 3000);
	g_assert_cmpuint(
	    gyp_raft_applied_index(gyp_replica_raft(c.nodes[stopped].replica)),
	    >=, commit);
	g_test_message("%u snapshots and %u entries for %u changes missed",
	    c.snapshots, c.log_entries, 400);
	g_assert_cmpuint(c.snapshots, ==, 1);
	g_assert_cmpuint(c.log_entries, <, 200);
	cell_clear(&c);
}

/*
 * The logs of all replicas grow at the same rate. Making a snapshot takes a
 * hundredth of the time in which the log grows by its mean limit, so limits
 * that differ by more than a hundredth of it are not reached at the same
 * moment.
 */
static void
check_limits(uint64_t snapshot_bytes, uint64_t mean)
{
	struct gyp_replica_config cfg = {.compact_bytes = 4 << 20};
	uint64_t limits[9], i, k, close_limits;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		char address[32];

		g_snprintf(address, sizeof(address), "10.%d.0.%d:7500",
		    (int)i % 4 + 1, (int)i + 14);
		cfg.id = gyp_bootstrap_id(address);
		limits[i] = gyp_replica_compact_limit(&cfg, snapshot_bytes);
		g_assert_cmpuint(limits[i], >=, mean / 2);
		g_assert_cmpuint(limits[i], <, mean * 3 / 2);
	}
	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		close_limits = 0;
		for (k = 0; k < G_N_ELEMENTS(limits); k++)
			close_limits += limits[k] + mean / 100 >= limits[i] &&
					limits[k] <= limits[i] + mean / 100;
		g_assert_cmpuint(close_limits, <, 3);
	}
}

static void
test_snapshots_apart(void)
{
	check_limits(0, 4 << 20);
	check_limits(1 << 20, 5 << 20);
}

/*
 * Guards against a leader that loses its lease as several voters are busy: one
 * entry of megabytes brought them to their limits at the same moment. Of nine
 * replicas no three make their snapshots within 100 ms.
 */
static void
test_delayed_snapshots_apart(void)
{
	struct gyp_replica_config cfg = {.compact_bytes = 4 << 20};
	uint32_t delays[9], i, k, close_delays;

	for (i = 0; i < G_N_ELEMENTS(delays); i++) {
		char address[32];

		g_snprintf(address, sizeof(address), "10.%d.0.%d:7500",
		    (int)i % 4 + 1, (int)i + 14);
		cfg.id = gyp_bootstrap_id(address);
		delays[i] = gyp_replica_compact_delay_ms(&cfg);
		g_assert_cmpuint(delays[i], <, 2000);
	}
	for (i = 0; i < G_N_ELEMENTS(delays); i++) {
		close_delays = 0;
		for (k = 0; k < G_N_ELEMENTS(delays); k++)
			close_delays += delays[k] >= delays[i] &&
					delays[k] < delays[i] + 100;
		g_assert_cmpuint(close_delays, <, 3);
	}
}

/*
 * Guards against a snapshot after each change of a large manifest: entries and
 * snapshots of megabytes reached the limit each time.
 */
static void
test_large_snapshots_are_rare(void)
{
	check_limits(16 << 20, 20 << 20);
}

/*
 * Guards against a leader that serves, votes or acknowledges while its disk is
 * full, and against a cell without a leader for longer than an election timeout
 * because of it.
 */
static void
test_full_leader(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 10; seed++) {
		const struct gyp_raft *raft;
		struct cell c;
		uint64_t term;
		int lead;

		cell_init(&c, seed, "abc");
		cell_settle(&c);
		lead = cell_leader(&c);
		raft = gyp_replica_raft(c.nodes[lead].replica);
		term = gyp_raft_term(raft);
		cell_fill_disk(&c, lead);
		g_assert_false(gyp_replica_serving(c.nodes[lead].replica));
		g_assert_cmpint(gyp_raft_role(raft), ==, GYP_RAFT_FOLLOWER);
		cell_run(&c, ELECTION_MS);
		g_assert_cmpint(cell_leader(&c), >=, 0);
		g_assert_cmpint(cell_leader(&c), !=, lead);
		g_assert_true(cell_announce(&c, 1));
		cell_run(&c, 20 * ELECTION_MS);
		g_assert_cmpuint(gyp_raft_term(raft), ==, term);
		g_assert_cmpuint(c.frames_while_full, ==, 0);

		term = gyp_raft_term(
		    gyp_replica_raft(c.nodes[cell_leader(&c)].replica));
		cell_free_disk(&c, lead);
		cell_run(&c, 2 * ELECTION_MS);
		g_assert_cmpuint(gyp_raft_term(raft), ==, term);
		g_assert_cmpuint(gyp_raft_applied_index(raft), ==,
		    gyp_raft_applied_index(
			gyp_replica_raft(c.nodes[cell_leader(&c)].replica)));
		cell_clear(&c);
	}
}

/* Guards against commits that rely on two voters whose disks are full. */
static void
test_full_majority(void)
{
	struct cell c;
	uint64_t commit;
	int lead, i;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	lead = cell_leader(&c);
	commit = gyp_raft_commit_index(gyp_replica_raft(c.nodes[lead].replica));
	for (i = 0; i < c.n; i++) {
		if (i != lead)
			cell_fill_disk(&c, i);
	}
	g_assert_false(cell_announce(&c, 1));
	cell_run(&c, 20 * ELECTION_MS);
	g_assert_cmpint(cell_leader(&c), ==, -1);
	g_assert_cmpuint(
	    gyp_raft_commit_index(gyp_replica_raft(c.nodes[lead].replica)), ==,
	    commit);
	g_assert_cmpuint(c.frames_while_full, ==, 0);
	cell_free_disk(&c, (lead + 1) % 3);
	cell_run(&c, 6 * ELECTION_MS);
	g_assert_true(cell_announce(&c, 2));
	cell_clear(&c);
}

/* Guards against a cell of one replica that stays down once there is space. */
static void
test_full_single(void)
{
	struct cell c;

	cell_init(&c, 1, "a");
	cell_settle(&c);
	g_assert_true(cell_announce(&c, 1));
	cell_fill_disk(&c, 0);
	cell_run(&c, 20 * ELECTION_MS);
	g_assert_cmpint(cell_leader(&c), ==, -1);
	cell_free_disk(&c, 0);
	cell_run(&c, 4 * ELECTION_MS);
	g_assert_true(cell_announce(&c, 2));
	cell_clear(&c);
}

/* Passes the disk's and the clock's progress to a cell of one voter. */
static void
run_alone(struct gyp_replica *r, uint64_t *seq, uint64_t now)
{
	struct gyp_record rec;

	gyp_replica_tick(r, now);
	while (gyp_replica_pop_record(r, &rec)) {
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
		++*seq;
	}
	gyp_replica_synced(r, now, *seq);
}

/* Returns whether a frame to an entry lists the address. */
static bool
lists_replica(struct gyp_replica *r, const char *address)
{
	struct gyp_out_frame out;
	bool found = false;
	size_t i;

	while (gyp_replica_pop_frame(r, &out)) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(out.packed, &len);
		Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);

		for (i = 0; out.entry && i < frame->down->n_cells; i++)
			found = found ||
				g_str_equal(frame->down->cells[i], address);
		gyp_message_free(frame);
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
	return found;
}

/*
 * Entries of a cell with more members than the list holds got no list, and
 * could not find a leader that they did not start with.
 */
static void
test_list_of_large_cell(void)
{
	struct gyp_replica_config cfg = {.id = 64,
	    .address = "10.0.0.64:1",
	    .election_ms = ELECTION_MS,
	    .heartbeat_ms = 50,
	    .entry_lease_ms = 1500,
	    .voters = 1,
	    .compact_bytes = 1 << 20};
	struct gyp_replica *r = gyp_replica_new(&cfg);
	Gyp__Member members[64], *list[64];
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	uint64_t now, seq = 0;
	bool listed = false;
	char address[64][16];
	guint i;

	for (i = 0; i < 64; i++) {
		g_snprintf(address[i], 16, "10.0.0.%u:1", i + 1);
		gyp__member__init(&members[i]);
		members[i].id = i + 1;
		members[i].address = address[i];
		members[i].voter = i == 63;
		list[i] = &members[i];
	}
	config.n_members = 64;
	config.members = list;
	gyp_replica_bootstrap(r, &config);
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	for (now = 5000; now < 9000 && !listed; now += 20) {
		run_alone(r, &seq, now);
		gyp_replica_receive(r, now, ENTRY_ID, &frame);
		listed = lists_replica(r, cfg.address);
	}
	g_assert_true(listed);
	gyp_replica_free(r);
}

/* The replica that leads, once one does. */
static const struct gyp_replica *
next_leader(struct cell *c)
{
	int i;

	for (i = 0; i < 2000 && cell_leader(c) < 0; i++)
		cell_run(c, 10);
	g_assert_cmpint(cell_leader(c), >=, 0);
	return c->nodes[cell_leader(c)].replica;
}

/*
 * Outages over an election were counted too short: cell time stands still then,
 * so a new leader must know how old its tables are.
 */
static void
test_tables_age(void)
{
	struct cell c;
	uint64_t lost_at, age_ms;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	lost_at = c.now;
	cell_stop(&c, cell_leader(&c));
	age_ms = gyp_replica_leaderless_ms(next_leader(&c));
	g_assert_cmpuint(age_ms, >=, ELECTION_MS);
	g_assert_cmpuint(age_ms, <=, c.now - lost_at + ELECTION_MS / 4);
	cell_clear(&c);
}

/* The same of a leader that stepped down, with no other one in between. */
static void
test_tables_age_of_same_leader(void)
{
	struct cell c;
	uint64_t lost_at, age_ms;

	cell_init(&c, 1, "a");
	cell_settle(&c);
	lost_at = c.now;
	cell_fill_disk(&c, 0);
	cell_run(&c, 300);
	g_assert_cmpint(cell_leader(&c), <, 0);
	cell_free_disk(&c, 0);
	age_ms = gyp_replica_leaderless_ms(next_leader(&c));
	g_assert_cmpuint(age_ms, >=, 250);
	g_assert_cmpuint(age_ms, <=, c.now - lost_at);
	cell_clear(&c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/members/spread", test_spread);
	g_test_add_func("/members/second-loss", test_second_loss);
	g_test_add_func("/members/removal", test_removal);
	g_test_add_func("/members/resent-removal", test_resent_removal);
	g_test_add_func("/members/resent-removal-of-successor",
	    test_resent_removal_of_successor);
	g_test_add_func("/members/many-removals", test_many_removals);
	g_test_add_func("/members/spare", test_spare);
	g_test_add_func("/members/successor", test_successor);
	g_test_add_func(
	    "/members/successor-of-demoted", test_successor_of_demoted);
	g_test_add_func("/members/disk-lost-twice", test_disk_lost_twice);
	g_test_add_func(
	    "/members/disk-lost-twice-demoted", test_disk_lost_twice_demoted);
	g_test_add_func("/members/disk-back", test_disk_back);
	g_test_add_func("/members/address-taken", test_address_taken);
	g_test_add_func("/members/disk-lost-often", test_disk_lost_often);
	g_test_add_func("/members/growth", test_catch_up_by_snapshot);
	g_test_add_func(
	    "/members/delayed-snapshots-apart", test_delayed_snapshots_apart);
	g_test_add_func("/members/snapshots-apart", test_snapshots_apart);
	g_test_add_func(
	    "/members/large-snapshots-are-rare", test_large_snapshots_are_rare);
	g_test_add_func("/members/list-of-large-cell", test_list_of_large_cell);
	g_test_add_func("/members/full-leader", test_full_leader);
	g_test_add_func("/members/full-majority", test_full_majority);
	g_test_add_func("/members/full-single", test_full_single);
	g_test_add_func("/members/tables-age", test_tables_age);
	g_test_add_func("/members/tables-age-of-same-leader",
	    test_tables_age_of_same_leader);
	return g_test_run();
}
