#include <stdlib.h>
#include <string.h>

#include "raft_net.h"

/*
 * Random runs and single faults of the replicated log. GYP_SEED=n runs one
 * seed, GYP_SEEDS=n runs n random seeds, GYP_SECONDS=n runs random seeds for n
 * seconds.
 */

#define SEEDS 48
#define STEPS 3000

/* ---- Random runs -------------------------------------------------------- */

static void
recover_all(struct net *net)
{
	int i;

	net_heal(net);
	for (i = 0; i < NET_SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (n->raft == NULL)
			net_start(n);
		else if (n->frozen)
			net_unfreeze(net, n);
	}
}

static void
run_seed(guint32 seed)
{
	struct net net;
	guint before;
	int i;

	net_init(&net, seed);
	net.target_voters = seed % 2 == 0 ? 3 : 5;
	net.fault_rate = 1 + (int)(seed % 3);
	for (i = 0; i < 300; i++)
		net_step(&net, false);
	for (i = 0; i < STEPS; i++) {
		net_step(&net, true);
		if (i % 10 == 0)
			net_check_logs(&net);
	}
	recover_all(&net);
	for (i = 0; i < 300; i++)
		net_step(&net, false);
	before = net.committed->len;
	for (i = 0; i < 300; i++)
		net_step(&net, false);
	net_check_logs(&net);
	if (net.committed->len <= before)
		net_print_nodes(&net);
	g_assert_cmpuint(net.committed->len, >, before);
	for (i = 0; i < NET_SLOTS; i++) {
		if (net.nodes[i].index < before - 1)
			net_print_nodes(&net);
		g_assert_cmpuint(net.nodes[i].index, >=, before - 1);
	}
	g_test_message("seed %u: %u committed, %u terms, %u disks lost, "
		       "%u membership changes, %u snapshots restored",
	    seed, net.committed->len - 1, g_hash_table_size(net.leaders),
	    net.disks_lost, net.config_changes, net.snapshots_restored);
	net_clear(&net);
}

/* Prints the command that repeats this run, in case it fails. */
static void
print_and_run_seed(guint32 seed)
{
	g_printerr("# GYP_SEED=%u test_raft -p /raft/random\n", seed);
	run_seed(seed);
}

static void
test_random(void)
{
	const char *seed = g_getenv("GYP_SEED");
	const char *seeds = g_getenv("GYP_SEEDS");
	const char *seconds = g_getenv("GYP_SECONDS");
	/* Seeds of earlier failures. */
	static const guint32 regressions[] = {
	    3253819846, 120578944, 4244982503, 1473705378, 935916715};
	gint64 end = g_get_monotonic_time();
	guint32 i;

	if (seed != NULL) {
		print_and_run_seed((guint32)strtoul(seed, NULL, 10));
	} else if (seeds != NULL) {
		for (i = 0; i < strtoul(seeds, NULL, 10); i++)
			print_and_run_seed(g_random_int());
	} else if (seconds != NULL) {
		end += (gint64)strtoul(seconds, NULL, 10) * 1000000;
		while (g_get_monotonic_time() < end)
			print_and_run_seed(g_random_int());
	} else {
		for (i = 1; i <= SEEDS; i++)
			print_and_run_seed(i);
		for (i = 0; i < G_N_ELEMENTS(regressions); i++)
			print_and_run_seed(regressions[i]);
	}
}

/* ---- Single faults ------------------------------------------------------ */

static void
net_run(struct net *net, int steps)
{
	while (steps-- > 0)
		net_step(net, false);
}

/*
 * Starts a net of five voters and a spare, runs it without faults until it is
 * settled and returns the leader.
 */
static struct node *
net_init_settled(struct net *net, guint32 seed)
{
	struct node *leader;
	int voters = 0, intact, i;

	net_init(net, seed);
	net->keep_voters = true;
	for (i = 0; i < 1000 && voters < NET_VOTERS; i++) {
		net_step(net, false);
		leader = net_settled_leader(net);
		if (leader != NULL)
			voters = net_count_voters(
			    net, gyp_raft_members(leader->raft), &intact);
	}
	net_run(net, 100);
	leader = net_settled_leader(net);
	g_assert_nonnull(leader);
	return leader;
}

/*
 * Guards against a needless election: when a replica that was frozen, or cut
 * off from the leader or from all others, reconnects, leader and term stay.
 */
static void
test_reconnect_keeps_leader(void)
{
	guint32 seed;

	for (seed = 1; seed <= 30; seed++) {
		struct net net;
		struct node *leader = net_init_settled(&net, seed), *n;
		uint64_t term = net.max_term;
		int round;

		for (round = 0; round < 10; round++) {
			while ((n = net_random_node(&net)) == leader)
				continue;
			net.hold_cut = net_chance(&net, 2);
			net.no_proposals = net_chance(&net, 2);
			if (net_chance(&net, 3))
				n->frozen = true;
			else if (net_chance(&net, 2))
				net.cut[leader->slot][n->slot] = true;
			else
				net_cut_links(&net, n->slot);
			net_run(&net, g_rand_int_range(net.rand, 10, 150));
			net_heal(&net);
			if (n->frozen)
				net_unfreeze(&net, n);
			net_run(&net, 60);
			if (net.max_term != term)
				g_error("seed %u: a reconnecting replica "
					"raised the term",
				    seed);
		}
		g_assert_true(net_settled_leader(&net) == leader);
		net_clear(&net);
	}
}

/* Returns the time until another replica is a settled leader, in ms. */
static uint64_t
time_without_leader(struct net *net, const struct node *old)
{
	uint64_t since = net->now;
	int i;

	for (i = 0; i < 500; i++) {
		const struct node *leader = net_settled_leader(net);

		if (leader != NULL && leader != old)
			return net->now - since;
		net_step(net, false);
	}
	g_error("seed %u: no new leader", net->seed);
}

/*
 * Two of five voters lose their disks and one of them is replaced. As soon as
 * that change is complete, the leader's disk and all its messages in flight are
 * lost too. The remaining three voters must still elect a leader and commit.
 */
static void
test_loss_after_replacement(void)
{
	guint32 seed;

	for (seed = 1; seed <= 40; seed++) {
		struct net net;
		struct node *leader = net_init_settled(&net, seed), *a, *b;
		guint before;
		int i;

		for (i = 0; i < NET_SLOTS; i++) {
			a = &net.nodes[i];
			if (net_member(gyp_raft_members(leader->raft), a->id) ==
				NULL ||
			    !net_member(gyp_raft_members(leader->raft), a->id)
				 ->voter)
				net_lose_disk(a); /* the spare */
		}
		for (a = net.nodes; a == leader || a->raft == NULL; a++)
			continue;
		for (b = a + 1; b == leader || b->raft == NULL; b++)
			continue;
		net_lose_disk(a);
		net_lose_disk(b);
		net_start(a);
		net.watched_id = a->id;
		for (i = 0; i < 1000 && !net_watched_is_voter(&net); i++)
			net_step(&net, false);
		net.watched_id = 0;
		leader = net_settled_leader(&net);
		g_assert_cmpint(i, <, 1000);
		g_assert_true(leader != a);
		for (i = (int)net.in_flight->len - 1; i >= 0; i--) {
			Gyp__RaftMsg *m = net.in_flight->pdata[i];

			if (m->from == leader->id)
				g_ptr_array_remove_index(
				    net.in_flight, (guint)i);
		}
		net_lose_disk(leader);
		before = net.committed->len;
		net_run(&net, 300);
		if (net.committed->len <= before + 10)
			g_error("seed %u: no commits after the loss of three "
				"voters",
			    seed);
		net_clear(&net);
	}
}

/*
 * A transfer leaves the cell without a leader for less than an election
 * timeout.
 */
static void
test_leadership_transfer(void)
{
	/* worst[0] is after a transfer, worst[1] after a kill. */
	uint64_t transferred = 0, killed = 0, worst[2] = {0, 0}, took;
	guint32 seed;

	for (seed = 1; seed <= 20; seed++) {
		struct net net;
		struct node *leader = net_init_settled(&net, seed);

		g_assert_true(gyp_raft_transfer_leadership(leader->raft));
		took = time_without_leader(&net, leader);
		g_assert_cmpuint(took, <, NET_ELECTION_MS);
		transferred += took;
		worst[0] = MAX(worst[0], took);
		net_run(&net, 100);
		leader = net_settled_leader(&net);
		net_stop(leader);
		took = time_without_leader(&net, leader);
		killed += took;
		worst[1] = MAX(worst[1], took);
		net_clear(&net);
	}
	g_test_message("without a leader, in election timeouts: after a "
		       "transfer %.2f (worst %.2f), after a kill %.2f "
		       "(worst %.2f)",
	    (double)transferred / 20 / NET_ELECTION_MS,
	    (double)worst[0] / NET_ELECTION_MS,
	    (double)killed / 20 / NET_ELECTION_MS,
	    (double)worst[1] / NET_ELECTION_MS);
}

/* Kills all replicas at once, and restarts all except one. */
static void
restart_all(struct net *net, const struct node *except)
{
	int i;

	for (i = 0; i < NET_SLOTS; i++)
		net_stop(&net->nodes[i]);
	for (i = 0; i < NET_SLOTS; i++) {
		if (&net->nodes[i] != except)
			net_start(&net->nodes[i]);
	}
}

/*
 * All replicas are killed and restart at once: a leader is elected within an
 * election timeout, the former one unless its disk lacks entries that others
 * have synced.
 */
static void
test_all_killed(void)
{
	int returned = 0;
	guint32 seed;

	for (seed = 1; seed <= 20; seed++) {
		struct net net;
		struct node *leader = net_init_settled(&net, seed);

		restart_all(&net, NULL);
		g_assert_cmpuint(
		    time_without_leader(&net, NULL), <, NET_ELECTION_MS);
		returned += net_settled_leader(&net) == leader;
		net_clear(&net);
	}
	g_assert_cmpint(returned, >=, 10);
}

/* As above, but the leader does not restart: the others elect another. */
static void
test_all_but_leader_restarted(void)
{
	guint32 seed;

	for (seed = 1; seed <= 20; seed++) {
		struct net net;
		struct node *leader = net_init_settled(&net, seed);

		restart_all(&net, leader);
		g_assert_cmpuint(
		    time_without_leader(&net, leader), <, 4 * NET_ELECTION_MS);
		net_clear(&net);
	}
}

/* Lost chunks are sent again without restarting the transfer. */
static void
test_snapshot_resumes(void)
{
	struct net net;
	struct node *leader = net_init_settled(&net, 1), *n;
	uint32_t chunks;

	net.state_bytes = 15000;
	net_compact(leader);
	net_compact(leader);
	for (n = net.nodes; n == leader; n++)
		continue;
	net_lose_disk(n);
	net.no_compact = true;
	net.chunks = 0;
	net.drop_chunk = 7;
	net_start(n);
	net_run(&net, 1000);
	chunks = net.chunks;
	g_test_message(
	    "%u chunks sent for %u", chunks, 15000 / NET_CHUNK_BYTES);
	g_assert_cmpuint(chunks, >=, 15000 / NET_CHUNK_BYTES);
	g_assert_cmpuint(chunks, <, 15000 / NET_CHUNK_BYTES * 3 / 2);
	g_assert_cmpuint(n->index, >=, net.committed->len - 10);
	net_clear(&net);
}

/* ---- One replica, message by message ------------------------------------ */

static Gyp__RaftMsg
make_message(Gyp__RaftType type, uint64_t from, uint64_t term, uint64_t index,
    uint64_t log_term)
{
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;

	m.type = type;
	m.from = from;
	m.to = 1;
	m.term = term;
	m.index = index;
	m.log_term = log_term;
	return m;
}

/* Makes the replica leader: grants all its vote requests. */
static void
win_election(struct net *net, struct node *n)
{
	while (gyp_raft_role(n->raft) != GYP_RAFT_LEADER) {
		net->now += NET_STEP_MS;
		gyp_raft_tick(n->raft, net->now);
		n->synced = n->disk->len;
		gyp_raft_synced(n->raft, net->now, n->synced);
		while (net->in_flight->len > 0) {
			Gyp__RaftMsg *m = net->in_flight->pdata[0];
			Gyp__RaftMsg reply =
			    make_message(m->type + 1, m->to, m->term, 0, 0);

			reply.round = m->round;
			if (m->type == GYP__RAFT_TYPE__RAFT_PREVOTE ||
			    m->type == GYP__RAFT_TYPE__RAFT_VOTE)
				gyp_raft_step(n->raft, net->now, &reply);
			g_ptr_array_remove_index(net->in_flight, 0);
		}
	}
}

/*
 * A snapshot that differs from the log voids entries whose records are not yet
 * synced. Their sync must not count for later entries with the same indexes,
 * which would be committed before they are on disk.
 */
static void
test_snapshot_over_unsynced(void)
{
	struct net net;
	struct node *n = &net.nodes[0];
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__Member members[3];
	Gyp__Member *list[3];
	Gyp__SnapshotFile file = GYP__SNAPSHOT_FILE__INIT;
	Gyp__LogEntry entries[9];
	Gyp__LogEntry *ptrs[9];
	Gyp__RaftMsg m;
	GBytes *data = g_bytes_new_static("", 0);
	uint8_t packed[200];
	int i;

	net_init(&net, 1);
	gyp_raft_free(n->raft);
	n->raft = NULL;
	g_array_set_size(n->disk, 0);
	net_start(n);
	for (i = 0; i < 3; i++) {
		gyp__member__init(&members[i]);
		members[i].id = (uint64_t)i + 1;
		members[i].voter = true;
		list[i] = &members[i];
	}
	config.n_members = 3;
	config.members = list;
	m = make_message(GYP__RAFT_TYPE__RAFT_APPEND, 2, 1, 0, 0);
	for (i = 0; i < 9; i++) {
		gyp__log_entry__init(&entries[i]);
		entries[i].index = (uint64_t)i + 1;
		entries[i].term = 1;
		ptrs[i] = &entries[i];
	}
	m.n_entries = 9;
	m.entries = ptrs;
	gyp_raft_step(n->raft, net.now, &m);

	g_array_set_size(net.committed, 6);
	file.index = 5;
	file.term = 2;
	file.config = &config;
	file.state.len = sizeof(n->hash);
	file.state.data =
	    (uint8_t *)&g_array_index(net.committed, struct committed_entry, 5);
	m = make_message(GYP__RAFT_TYPE__RAFT_SNAPSHOT, 3, 2, 5, 2);
	m.chunk.len = gyp__snapshot_file__pack(&file, packed);
	m.chunk.data = packed;
	m.total = m.chunk.len;
	gyp_raft_step(n->raft, net.now, &m);
	g_assert_cmpuint(gyp_raft_last_index(n->raft), ==, 5);

	win_election(&net, n);
	for (i = 0; i < 5; i++)
		gyp_raft_propose(n->raft, GYP__ENTRY_KIND__ENTRY_NOOP, data);
	g_bytes_unref(data);
	m = make_message(
	    GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2, gyp_raft_term(n->raft), 8, 0);
	m.round = net.now;
	gyp_raft_step(n->raft, net.now, &m);
	g_assert_cmpuint(gyp_raft_commit_index(n->raft), ==, 5);
	gyp_raft_synced(n->raft, net.now, n->disk->len);
	g_assert_cmpuint(gyp_raft_commit_index(n->raft), ==, 8);
	net_clear(&net);
}

/* Starts the replica anew, without any record. */
static void
start_empty(struct node *n)
{
	gyp_raft_free(n->raft);
	n->raft = NULL;
	g_array_set_size(n->disk, 0);
	net_start(n);
}

/* Sends it entries 1 to 9 of term 1, which are not synced yet. */
static void
append_nine(struct net *net, struct node *n)
{
	Gyp__LogEntry entries[9];
	Gyp__LogEntry *ptrs[9];
	Gyp__RaftMsg m = make_message(GYP__RAFT_TYPE__RAFT_APPEND, 2, 1, 0, 0);
	int i;

	for (i = 0; i < 9; i++) {
		gyp__log_entry__init(&entries[i]);
		entries[i].index = (uint64_t)i + 1;
		entries[i].term = 1;
		ptrs[i] = &entries[i];
	}
	m.n_entries = 9;
	m.entries = ptrs;
	gyp_raft_step(n->raft, net->now, &m);
}

static void
sync_all(struct net *net, struct node *n)
{
	n->synced = n->disk->len;
	gyp_raft_synced(n->raft, net->now, n->synced);
}

/* Sends it a snapshot at index 5, from a leader of term 2. */
static void
send_snapshot(struct net *net, struct node *n)
{
	Gyp__Member member = GYP__MEMBER__INIT;
	Gyp__Member *list[] = {&member};
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__SnapshotFile file = GYP__SNAPSHOT_FILE__INIT;
	Gyp__RaftMsg m =
	    make_message(GYP__RAFT_TYPE__RAFT_SNAPSHOT, 3, 2, 5, 1);
	uint8_t packed[200];

	member.id = 3;
	member.voter = true;
	config.n_members = 1;
	config.members = list;
	file.index = 5;
	file.term = 1;
	file.config = &config;
	file.state.len = sizeof(n->hash);
	file.state.data = (uint8_t *)&g_array_index(
	    net->committed, struct committed_entry, 5);
	m.chunk.len = gyp__snapshot_file__pack(&file, packed);
	m.chunk.data = packed;
	m.total = m.chunk.len;
	gyp_raft_step(n->raft, net->now, &m);
}

/* Fills in the hashes of the entries that append_nine() sends. */
static void
set_committed(struct net *net)
{
	GBytes *empty = g_bytes_new_static("", 0);
	struct committed_entry e = {.hash = 0, .term = 1, .known_term = 1};
	int i;

	for (i = 0; i < 9; i++) {
		e.hash =
		    (e.hash ^ e.term ^ g_bytes_hash(empty)) * 0x100000001b3;
		g_array_append_val(net->committed, e);
	}
	g_bytes_unref(empty);
}

/*
 * Guards against the loss of entries that this replica acknowledged and that
 * follow a snapshot which agrees with its log. After a restart its commit index
 * is low, and a leader that finds an uncommitted entry of an older term sends
 * it the snapshot. If two more of five disks are lost before the entries are
 * sent again, no replica has them.
 */
static void
test_snapshot_keeps_entries(void)
{
	struct net net;
	struct node *n = &net.nodes[0];

	net_init(&net, 1);
	set_committed(&net);
	start_empty(n);
	append_nine(&net, n);
	sync_all(&net, n);
	send_snapshot(&net, n);
	g_assert_cmpuint(gyp_raft_commit_index(n->raft), >=, 5);
	g_assert_cmpuint(gyp_raft_last_index(n->raft), ==, 9);
	g_assert_cmpuint(gyp_raft_entry_term(n->raft, 9), ==, 1);

	n->synced = n->disk->len;
	net_stop(n);
	net_start(n);
	g_assert_cmpuint(gyp_raft_last_index(n->raft), ==, 9);
	net_clear(&net);
}

/*
 * Guards against an acknowledgement of entries that are not on disk yet, when a
 * snapshot agrees with the log.
 */
static void
test_snapshot_over_unsynced_equal(void)
{
	struct net net;
	struct node *n = &net.nodes[0];
	guint sent;

	net_init(&net, 1);
	set_committed(&net);
	start_empty(n);
	sent = net.in_flight->len;
	append_nine(&net, n);
	send_snapshot(&net, n);
	g_assert_cmpuint(gyp_raft_commit_index(n->raft), >=, 5);
	g_assert_cmpuint(net.in_flight->len, ==, sent);
	sync_all(&net, n);
	g_assert_cmpuint(net.in_flight->len, >, sent);
	net_clear(&net);
}

/* ---- Large entries ------------------------------------------------------ */

/* Bytes of an entry that is larger than the appends of the net. */
#define LARGE_BYTES 1000

static bool
has_large_entry(const Gyp__RaftMsg *m)
{
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		if (m->entries[i]->data.len >= LARGE_BYTES)
			return true;
	}
	return false;
}

/* Returns how many voters other than the leader a large entry is sent to. */
static int
count_large_transfers(struct net *net, const struct node *leader)
{
	bool receives[NET_SLOTS] = {false};
	int n = 0, i;
	guint k;

	for (k = 0; k < net->in_flight->len; k++) {
		const Gyp__RaftMsg *m = net->in_flight->pdata[k];

		for (i = 0; i < NET_SLOTS && has_large_entry(m); i++)
			receives[i] |= net->nodes[i].id == m->to;
	}
	for (i = 0; i < NET_SLOTS; i++) {
		const Gyp__Member *m = net_member(
		    gyp_raft_members(leader->raft), net->nodes[i].id);

		n += receives[i] && m != NULL && m->voter;
	}
	return n;
}

/*
 * Guards against a leader that loses its lease by sending a large entry: it
 * went to all voters at once, and the heartbeats behind it on their links were
 * answered only after the whole transfer. Two of the four other voters are
 * needed for the lease.
 */
static void
test_large_entry_leaves_lease(void)
{
	guint32 seed;

	for (seed = 1; seed <= 20; seed++) {
		struct net net;
		struct node *leader = net_init_settled(&net, seed);
		GBytes *data =
		    g_bytes_new_take(g_malloc0(LARGE_BYTES), LARGE_BYTES);
		uint64_t index;
		int i;

		net.no_proposals = net.no_compact = true;
		net_run(&net, 100);
		index = gyp_raft_propose(
		    leader->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
		g_bytes_unref(data);
		g_assert_cmpint(count_large_transfers(&net, leader), ==, 2);
		for (i = 0; i < 200; i++) {
			net_step(&net, false);
			g_assert_cmpint(
			    count_large_transfers(&net, leader), <=, 2);
		}
		for (i = 0; i < NET_SLOTS; i++)
			g_assert_cmpuint(net.nodes[i].index, >=, index);
		net_clear(&net);
	}
}

static uint64_t
propose_large(struct node *leader)
{
	GBytes *data = g_bytes_new_take(g_malloc0(LARGE_BYTES), LARGE_BYTES);
	uint64_t index =
	    gyp_raft_propose(leader->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);

	g_bytes_unref(data);
	return index;
}

/* Cuts off the members that a large entry is on its way to. */
static void
cut_receivers(struct net *net, const struct node *leader)
{
	guint k;
	int i, j;

	for (k = 0; k < net->in_flight->len; k++) {
		const Gyp__RaftMsg *m = net->in_flight->pdata[k];

		for (i = 0; i < NET_SLOTS; i++) {
			if (!has_large_entry(m) || net->nodes[i].id != m->to ||
			    &net->nodes[i] == leader)
				continue;
			for (j = 0; j < NET_SLOTS; j++)
				net->cut[i][j] = net->cut[j][i] = true;
		}
	}
}

/*
 * Guards against a large entry that is not committed although a majority could
 * have it: two of five voters lost the one before, and need a snapshot now,
 * whose transfer takes long while they answer.
 */
static void
test_large_entry_beside_snapshots(void)
{
	struct net net;
	struct node *leader = net_init_settled(&net, 1);
	uint64_t index, term;
	int i;

	net.no_proposals = net.no_compact = true;
	net_run(&net, 100);
	term = gyp_raft_term(leader->raft);
	index = propose_large(leader);
	cut_receivers(&net, leader);
	for (i = 0; i < 200; i++)
		net_step(&net, false);
	g_assert_cmpuint(leader->index, >=, index);
	net.state_bytes = 10000 * NET_CHUNK_BYTES; /* the transfer takes long */
	net_compact(leader);
	memset(net.cut, 0, sizeof(net.cut));
	for (i = 0; i < 100; i++)
		net_step(&net, false);
	index = propose_large(leader);
	for (i = 0; i < 200; i++)
		net_step(&net, false);
	g_assert_cmpuint(gyp_raft_term(leader->raft), ==, term);
	g_assert_cmpuint(leader->index, >=, index);
	net_clear(&net);
}

/*
 * Guards against snapshots that replace nothing: a large entry counted as soon
 * as it was proposed, and the leader packed a snapshot without it.
 */
static void
test_unapplied_entries_do_not_count(void)
{
	struct net net;
	struct node *leader = net_init_settled(&net, 1);
	GBytes *data = g_bytes_new_take(g_malloc0(LARGE_BYTES), LARGE_BYTES);
	uint64_t before, index;

	net.no_proposals = net.no_compact = true;
	net_run(&net, 100);
	before = gyp_raft_applied_bytes(leader->raft);
	index =
	    gyp_raft_propose(leader->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
	g_assert_cmpuint(gyp_raft_applied_bytes(leader->raft), ==, before);
	net_run(&net, 100);
	g_assert_cmpuint(leader->index, ==, index);
	g_assert_cmpuint(
	    gyp_raft_applied_bytes(leader->raft), ==, before + LARGE_BYTES);
	net_compact(leader);
	g_assert_cmpuint(gyp_raft_applied_bytes(leader->raft), ==, 0);
	net_clear(&net);
}

/* True if the node holds the entry, or a message with it is on its way. */
static bool
has_or_gets_entry(const struct net *net, const struct node *n, uint64_t index)
{
	bool found = gyp_raft_last_index(n->raft) >= index;
	guint k;

	for (k = 0; k < net->in_flight->len; k++) {
		const Gyp__RaftMsg *m = net->in_flight->pdata[k];

		found =
		    found || (m->to == n->id && m->n_entries > 0 &&
				 m->entries[m->n_entries - 1]->index >= index);
	}
	return found;
}

/*
 * Guards against members that are sent megabytes and restore all tables for a
 * single entry: learners get entries with heartbeats only, and a leader that
 * dropped the entry before had to send its snapshot.
 */
static void
check_compaction(guint32 seed, size_t bytes)
{
	struct net net;
	struct node *leader = net_init_settled(&net, seed);
	GBytes *data;
	uint64_t index;
	int i;

	net.no_proposals = net.no_compact = true;
	net_run(&net, 100);
	data = g_bytes_new_take(g_malloc0(bytes), bytes);
	index =
	    gyp_raft_propose(leader->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
	for (i = 0; i < 200 && leader->index < index; i++)
		net_step(&net, false);
	for (i = 0; i < 200 && !gyp_raft_prepare_compaction(leader->raft); i++)
		net_step(&net, false);
	g_assert_cmpint(i, <, 200);
	for (i = 0; i < NET_SLOTS; i++)
		g_assert_true(has_or_gets_entry(&net, &net.nodes[i], index));
	net_clear(&net);
}

static void
test_compaction_waits_for_members(void)
{
	guint32 seed;

	for (seed = 1; seed <= 20; seed++) {
		check_compaction(seed, 4);
		check_compaction(seed, LARGE_BYTES);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/raft/reconnect-keeps-leader", test_reconnect_keeps_leader);
	g_test_add_func(
	    "/raft/loss-after-replacement", test_loss_after_replacement);
	g_test_add_func("/raft/leadership-transfer", test_leadership_transfer);
	g_test_add_func("/raft/all-killed", test_all_killed);
	g_test_add_func(
	    "/raft/all-but-leader-restarted", test_all_but_leader_restarted);
	g_test_add_func("/raft/snapshot-resumes", test_snapshot_resumes);
	g_test_add_func(
	    "/raft/snapshot-over-unsynced", test_snapshot_over_unsynced);
	g_test_add_func(
	    "/raft/snapshot-keeps-entries", test_snapshot_keeps_entries);
	g_test_add_func("/raft/snapshot-over-unsynced-equal",
	    test_snapshot_over_unsynced_equal);
	g_test_add_func(
	    "/raft/large-entry-leaves-lease", test_large_entry_leaves_lease);
	g_test_add_func("/raft/large-entry-beside-snapshots",
	    test_large_entry_beside_snapshots);
	g_test_add_func("/raft/unapplied-entries-do-not-count",
	    test_unapplied_entries_do_not_count);
	g_test_add_func("/raft/compaction-waits-for-members",
	    test_compaction_waits_for_members);
	g_test_add_func("/raft/random", test_random);
	return g_test_run();
}
