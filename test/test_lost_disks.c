#include <stdlib.h>

#include <glib.h>

#include "members_fixture.h"
#include "state.h"

/*
 * Guards against the loss of acknowledged changes, and against a cell that
 * serves no more, when two of nine disks are lost while other machines lose
 * power. Random runs; GYP_SEED=n runs one seed, GYP_SEEDS=n that many random
 * ones.
 */

#define SEEDS 12

/* Losses in each run; each is followed by a full recovery. */
#define LOSSES 6

/* Settings of the deployment. */
#define CELL_VOTERS      5
#define CELL_ELECTION_MS 200
#define CATCH_UP_MS      6000

/* Time limit for the cell to serve once all replicas are back, in ms. */
#define SERVE_MS 15000

/* Shortest time without power, in ms. */
#define DOWN_MS 1500

/*
 * Lease of the endpoints that the run announces, in ms. It is longer than a
 * run, so that none of them is removed.
 */
#define ENDPOINT_LEASE_MS (60 * 60 * 1000)

/* Interval of the check of all acknowledged changes under one leader, in ms. */
#define CHECK_MS 500

enum moment {
	AT_ANY_TIME,
	AFTER_ACK,
	DURING_CHANGE,   /* of the members */
	DURING_SNAPSHOT, /* just after a snapshot is sent */
	AFTER_REPAIR,    /* the earliest moment that the promise covers */
	AFTER_POWER_CUT, /* of all replicas, while they come back */
	N_MOMENTS
};

struct run {
	struct cell cell; /* the first member, see on_reply() */
	GRand *rand;
	uint32_t seed;
	GArray *acknowledged;       /* call ids, uint64_t */
	uint64_t latest_ack;        /* call id */
	uint64_t checked_term;      /* of the leader at the latest check */
	uint64_t check_at;          /* when the next check is due */
	uint64_t written_at[NODES]; /* when the disk was new */
	uint64_t restart_at[NODES]; /* 0 while it runs */
	uint64_t all_back_at;
	bool isolated;  /* all voters but holders[] were cut off, or all but one
			 */
	int holders[2]; /* the leader and another voter */
	uint32_t moments[N_MOMENTS]; /* losses at each */
};

static int
random_int(struct run *r, int begin, int end)
{
	return g_rand_int_range(r->rand, begin, end);
}

/* ---- Changes and their acknowledgement ---------------------------------- */

static void
on_reply(struct cell *c, const Gyp__Reply *reply)
{
	struct run *r = (struct run *)c;

	if (reply->code != GYP__CODE__CODE_OK)
		return;
	r->latest_ack = MAX(r->latest_ack, reply->id);
	g_array_append_val(r->acknowledged, reply->id);
}

static void
send_change(struct run *r)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res capacity = GYP__RES__INIT;
	char name[16];

	if (cell_leader(&r->cell) < 0)
		return;
	msg.id = ++r->cell.calls;
	g_snprintf(name, sizeof(name), "vm-%d", (int)msg.id);
	capacity.cpu_milli = 1000;
	capacity.slots = 1;
	ep.name = name;
	ep.address = "10.1.0.1:1";
	ep.rack = ep.data_centre = "a";
	ep.capacity = &capacity;
	ep.connections = 1;
	ep.incarnation = msg.id;
	msg.c_case = GYP__CALL__C_ANNOUNCE;
	msg.announce = &ep;
	cell_send_call(&r->cell, &msg);
}

static void
check_change(const struct run *r, const struct gyp_state *state, uint64_t id)
{
	char name[16];

	g_snprintf(name, sizeof(name), "vm-%d", (int)id);
	if (gyp_state_endpoint_by_name(state, name) == NULL)
		g_error("seed %u at %" G_GUINT64_FORMAT
			": %s was acknowledged and is lost",
		    r->seed, r->cell.now, name);
}

/*
 * The leader shows all acknowledged changes. All of them are checked when the
 * term has changed, and from time to time.
 */
static void
check_acknowledged(struct run *r)
{
	int leader = cell_leader(&r->cell);
	const struct gyp_replica *replica;
	uint64_t term;
	guint i;

	if (leader < 0)
		return;
	replica = r->cell.nodes[leader].replica;
	term = gyp_raft_term(gyp_replica_raft(replica));
	if (term == r->checked_term && r->cell.now < r->check_at)
		return;
	r->checked_term = term;
	r->check_at = r->cell.now + CHECK_MS;
	for (i = 0; i < r->acknowledged->len; i++)
		check_change(r, gyp_replica_state(replica),
		    g_array_index(r->acknowledged, uint64_t, i));
}

/* ---- Time --------------------------------------------------------------- */

static void
start_due(struct run *r)
{
	int i;

	for (i = 0; i < NODES; i++) {
		struct node *n = &r->cell.nodes[i];

		if (r->restart_at[i] == 0 || r->restart_at[i] > r->cell.now)
			continue;
		r->restart_at[i] = 0;
		if (n->id == 0)
			r->written_at[i] = r->cell.now;
		cell_start(&r->cell, i);
	}
}

static void
step(struct run *r)
{
	start_due(r);
	if (random_int(r, 0, 8) == 0)
		send_change(r);
	check_acknowledged(r);
	cell_run(&r->cell, 10);
	check_acknowledged(r);
}

static void
run_for(struct run *r, uint32_t ms)
{
	uint64_t end = r->cell.now + ms;

	while (r->cell.now < end)
		step(r);
}

static bool
is_changing(const struct run *r)
{
	int leader = cell_leader(&r->cell);

	return leader >= 0 && gyp_raft_is_reconfiguring(gyp_replica_raft(
				  r->cell.nodes[leader].replica));
}

/* Runs until the moment comes, or for 3 s. */
static void
wait_for_moment(struct run *r, enum moment moment)
{
	uint64_t ack = r->latest_ack, end = r->cell.now + 3000;
	uint32_t snapshots = r->cell.snapshots;

	if (moment == AT_ANY_TIME)
		run_for(r, (uint32_t)random_int(r, 0, 3000));
	while (r->cell.now < end &&
	       ((moment == AFTER_ACK && r->latest_ack == ack) ||
		   (moment == DURING_CHANGE && !is_changing(r)) ||
		   ((moment == DURING_SNAPSHOT || moment == AFTER_POWER_CUT) &&
		       r->cell.snapshots == snapshots)))
		step(r);
}

/* ---- Faults ------------------------------------------------------------- */

/* Cuts two replicas off so that they miss changes, or lose their votes. */
static void
cut_minority(struct run *r)
{
	int a = random_int(r, 0, NODES);
	int b = random_int(r, 0, NODES);

	r->cell.nodes[a].cut = r->cell.nodes[b].cut = true;
	run_for(r, (uint32_t)random_int(r, 10, 3000));
}

static bool
is_connected(const struct run *r, int i)
{
	return r->cell.nodes[i].replica != NULL && !r->cell.nodes[i].cut;
}

/*
 * Cuts all voters but the leader and one or two others off, until the leader
 * and one of these are lost. Nothing may be acknowledged with two copies; with
 * three, the copy that remains must prevail over the replicas that were cut
 * off, also when the lost ones return.
 */
static void
isolate_voters(struct run *r)
{
	int leader = cell_leader(&r->cell);
	uint64_t sent, end = r->cell.now + CELL_ELECTION_MS;
	int others = random_int(r, 1, 3);
	int i, first = random_int(r, 0, NODES);

	if (leader < 0)
		return;
	r->isolated = true;
	r->holders[0] = r->holders[1] = leader;
	for (i = first; i < first + NODES; i++) {
		int node = i % NODES;

		if (node == leader ||
		    !cell_is_voter(&r->cell, r->cell.nodes[node].id))
			continue;
		if (others > 0 && is_connected(r, node)) {
			others--;
			r->holders[1] = node;
		} else {
			r->cell.nodes[node].cut = true;
		}
	}
	send_change(r);
	sent = r->cell.calls;
	while (r->cell.now < end && r->latest_ack < sent)
		step(r);
}

/* Returns the replica, other than `except`, whose disk has lasted longest. */
static int
find_oldest(const struct run *r, int except)
{
	int i, oldest = -1;

	for (i = 0; i < NODES; i++) {
		if (i != except &&
		    (oldest < 0 || r->written_at[i] < r->written_at[oldest]))
			oldest = i;
	}
	return oldest;
}

/* Picks two replicas: the oldest, the leader and another, or any. */
static void
pick_victims(struct run *r, int victims[2])
{
	int mode = random_int(r, 0, 3);
	int leader = cell_leader(&r->cell);

	victims[0] = random_int(r, 0, NODES);
	victims[1] = (victims[0] + random_int(r, 1, NODES)) % NODES;
	if (r->isolated) {
		victims[0] = r->holders[0];
		victims[1] = r->holders[1];
	} else if (mode == 0) {
		victims[0] = find_oldest(r, -1);
		victims[1] = find_oldest(r, victims[0]);
	} else if (mode == 1 && leader >= 0 && victims[1] != leader) {
		victims[0] = leader;
	}
}

/* Cuts the power of a replica, unless it has none, and plans its restart. */
static void
cut_power(struct run *r, int i)
{
	if (r->cell.nodes[i].replica != NULL)
		cell_cut_power(&r->cell, i);
	r->restart_at[i] =
	    r->cell.now + DOWN_MS + (uint64_t)random_int(r, 0, 1500);
}

/*
 * Cuts the power of all replicas. They return one by one, and send snapshots
 * over logs whose entries were acknowledged before.
 */
static void
cut_all_power(struct run *r)
{
	int i;

	for (i = 0; i < NODES; i++)
		cut_power(r, i);
	cell_drop_frames(&r->cell);
	run_for(r, DOWN_MS);
}

/*
 * Loses two disks at once, or none in one of eight cases. The others lose
 * power: all, some, or none.
 */
static void
lose_disks(struct run *r)
{
	int victims[2], i;
	int none_lost = random_int(r, 0, 8) == 0;
	int others = random_int(r, 0, 8); /* 0: stay up; 1: half of them */

	pick_victims(r, victims);
	r->isolated = false;
	for (i = 0; i < NODES; i++) {
		bool lost = !none_lost && (i == victims[0] || i == victims[1]);

		r->cell.nodes[i].cut = false;
		if (!lost &&
		    (others == 0 || (others == 1 && random_int(r, 0, 2) == 0)))
			continue;
		cut_power(r, i);
		if (lost)
			cell_lose_disk(&r->cell, i);
	}
	if (others > 1)
		cell_drop_frames(&r->cell);
}

static void
wait_for_all(struct run *r)
{
	uint64_t until = r->cell.now;
	int i;

	for (i = 0; i < NODES; i++)
		until = MAX(until, r->restart_at[i]);
	while (r->cell.now <= until)
		step(r);
	r->all_back_at = r->cell.now;
}

static void
print_replicas(const struct run *r)
{
	int i;
	size_t k;

	for (i = 0; i < NODES; i++) {
		const struct gyp_raft *raft =
		    gyp_replica_raft(r->cell.nodes[i].replica);
		const Gyp__Config *c = gyp_raft_members(raft);

		g_printerr("# %d id %d role %d term %d log %d-%d commit %d"
			   " changing %d:",
		    i, (int)r->cell.nodes[i].id, gyp_raft_role(raft),
		    (int)gyp_raft_term(raft),
		    (int)gyp_raft_snapshot_index(raft),
		    (int)gyp_raft_last_index(raft),
		    (int)gyp_raft_commit_index(raft),
		    gyp_raft_is_reconfiguring(raft));
		for (k = 0; k < c->n_members; k++)
			g_printerr(" %d%s", (int)c->members[k]->id,
			    c->members[k]->voter ? "v" : "");
		g_printerr("\n");
	}
}

/* A change that is sent from now on must be acknowledged within the limit. */
static void
wait_for_service(struct run *r)
{
	uint64_t sent = r->cell.calls;

	while (r->latest_ack <= sent) {
		if (r->cell.now > r->all_back_at + SERVE_MS) {
			print_replicas(r);
			g_error("seed %u at %" G_GUINT64_FORMAT
				": the cell does not serve",
			    r->seed, r->cell.now);
		}
		step(r);
	}
}

/* ---- Runs --------------------------------------------------------------- */

static void
start_run(struct run *r, uint32_t seed)
{
	r->seed = seed;
	r->rand = g_rand_new_with_seed(seed);
	cell_prepare(&r->cell, seed);
	r->cell.rand = r->rand;
	r->cell.sync_max_ms = seed % 3 == 0 ? 80 : 20;
	r->acknowledged = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	r->cell.endpoint_lease_ms = ENDPOINT_LEASE_MS;
	r->cell.voters = CELL_VOTERS;
	r->cell.election_ms = CELL_ELECTION_MS;
	r->cell.catch_up_ms = CATCH_UP_MS;
	r->cell.replied = on_reply;
	cell_populate(&r->cell, seed % 2 == 0 ? "aaabbbccc" : "aaaabbbcd");
	cell_settle(&r->cell);
}

static void
run_seed(uint32_t seed)
{
	struct run *r = g_new0(struct run, 1);
	uint64_t worst = 0;
	int i;

	start_run(r, seed);
	r->all_back_at = r->cell.now;
	for (i = 0; i < LOSSES; i++) {
		enum moment moment = (enum moment)random_int(r, 0, N_MOMENTS);

		if (random_int(r, 0, 4) == 0)
			cut_minority(r);
		if (moment == AFTER_POWER_CUT)
			cut_all_power(r);
		wait_for_moment(r, moment);
		if (random_int(r, 0, 3) == 0)
			isolate_voters(r);
		r->moments[moment]++;
		lose_disks(r);
		wait_for_all(r);
		wait_for_service(r);
		worst = MAX(worst, r->cell.now - r->all_back_at);
		/* Until then the replicas that were replaced count as lost. */
		while (r->cell.now < r->all_back_at + CATCH_UP_MS)
			step(r);
	}
	g_test_message("seed %u: %" G_GUINT64_FORMAT
		       " changes sent, %u acknowledged, served after at most "
		       "%" G_GUINT64_FORMAT
		       " ms, %u snapshots; moments %u %u %u %u %u %u",
	    seed, r->cell.calls, r->acknowledged->len, worst, r->cell.snapshots,
	    r->moments[0], r->moments[1], r->moments[2], r->moments[3],
	    r->moments[4], r->moments[5]);
	cell_clear(&r->cell);
	g_array_free(r->acknowledged, TRUE);
	g_rand_free(r->rand);
	g_free(r);
}

static void
test_random(void)
{
	const char *one = g_getenv("GYP_SEED");
	const char *many = g_getenv("GYP_SEEDS");
	uint32_t i, n = many != NULL ? (uint32_t)atoi(many) : SEEDS;

	if (one != NULL) {
		run_seed((uint32_t)strtoul(one, NULL, 10));
		return;
	}
	for (i = 1; i <= n; i++)
		run_seed(many != NULL ? g_random_int() : i);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lost-disks/random", test_random);
	return g_test_run();
}
