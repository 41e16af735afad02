#include <string.h>

#include <glib.h>

#include "msg.h"
#include "raft.h"

/*
 * Five replicas in one process. Messages are lost, doubled, delayed and
 * reordered by a seeded random pick; committed entries must agree.
 */

#define REPLICAS 5
#define SEEDS    20
#define STEPS    4000
#define STEP_MS  10

struct node {
	struct gyp_raft_io io;
	struct gyp_raft *raft;
	uint64_t written;
	GArray *applied; /* uint64_t term << 32 | payload */
	struct net *net;
};

struct net {
	struct node nodes[REPLICAS];
	GPtrArray *wire; /* Gyp__RaftMsg */
	GRand *rand;
	uint64_t now;
	int cut; /* node without links, or -1 */
};

static void
on_send(struct gyp_raft_io *io, uint64_t to, const Gyp__RaftMsg *msg)
{
	struct node *n = (struct node *)io;

	(void)to;
	g_ptr_array_add(n->net->wire, gyp_message_copy(&msg->base));
}

static void
on_write(struct gyp_raft_io *io, const struct gyp_record *rec)
{
	(void)rec;
	((struct node *)io)->written++;
}

static void
on_apply(struct gyp_raft_io *io, const struct gyp_entry *e)
{
	struct node *n = (struct node *)io;
	uint64_t v = e->term << 32 | g_bytes_hash(e->data);

	g_array_append_val(n->applied, v);
}

static void
on_restore(struct gyp_raft_io *io, const Gyp__SnapshotFile *file)
{
	(void)io;
	(void)file;
}

static const struct gyp_raft_io_ops ops = {
    on_send, on_write, on_apply, on_restore};

static void
load_members(struct gyp_raft *raft)
{
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__Member members[REPLICAS];
	Gyp__Member *list[REPLICAS];
	struct gyp_record rec = {.type = GYP_RECORD_ENTRY,
	    .term = 1,
	    .index = 1,
	    .kind = GYP__ENTRY_KIND__ENTRY_CONFIG};
	int i;

	for (i = 0; i < REPLICAS; i++) {
		gyp__member__init(&members[i]);
		members[i].id = (uint64_t)i + 1;
		members[i].address = "127.0.0.1:1";
		members[i].voter = true;
		list[i] = &members[i];
	}
	config.n_members = REPLICAS;
	config.members = list;
	rec.data = gyp_message_pack(&config.base);
	gyp_raft_load(raft, &rec);
	g_bytes_unref(rec.data);
}

static void
setup(struct net *net, guint32 seed)
{
	int i;

	net->rand = g_rand_new_with_seed(seed);
	net->wire = g_ptr_array_new_with_free_func(gyp_message_free);
	net->now = 1000;
	net->cut = -1;
	for (i = 0; i < REPLICAS; i++) {
		struct node *n = &net->nodes[i];
		struct gyp_raft_config cfg = {.id = (uint64_t)i + 1,
		    .election_ms = 300,
		    .heartbeat_ms = 50,
		    .seed = seed * 7 + (guint32)i};

		n->io.ops = &ops;
		n->net = net;
		n->applied = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		n->raft = gyp_raft_new(&cfg, &n->io);
		load_members(n->raft);
	}
}

static void
teardown(struct net *net)
{
	int i;

	for (i = 0; i < REPLICAS; i++) {
		gyp_raft_free(net->nodes[i].raft);
		g_array_free(net->nodes[i].applied, TRUE);
	}
	g_ptr_array_free(net->wire, TRUE);
	g_rand_free(net->rand);
}

static void
deliver_one(struct net *net)
{
	guint i = (guint)g_rand_int_range(net->rand, 0, (gint32)net->wire->len);
	Gyp__RaftMsg *m = net->wire->pdata[i];
	int to = (int)m->to - 1, from = (int)m->from - 1;
	int luck = g_rand_int_range(net->rand, 0, 100);

	if (luck < 10) { /* lost */
		g_ptr_array_remove_index_fast(net->wire, i);
		return;
	}
	if (net->cut != to && net->cut != from)
		gyp_raft_step(net->nodes[to].raft, net->now, m);
	if (luck < 95) /* else it is delivered once more later */
		g_ptr_array_remove_index_fast(net->wire, i);
}

static void
propose(struct net *net, int step)
{
	struct node *n = &net->nodes[g_rand_int_range(net->rand, 0, REPLICAS)];
	GBytes *data = g_bytes_new(&step, sizeof(step));

	gyp_raft_propose(n->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
}

static void
step(struct net *net, int nth, bool faults)
{
	int i;

	net->now += STEP_MS;
	for (i = 0; i < REPLICAS; i++) {
		gyp_raft_tick(net->nodes[i].raft, net->now);
		if (g_rand_int_range(net->rand, 0, 3) > 0)
			gyp_raft_synced(net->nodes[i].raft, net->now,
			    net->nodes[i].written);
	}
	for (i = 0; i < 30 && net->wire->len > 0; i++)
		deliver_one(net);
	if (nth % 5 == 0)
		propose(net, nth);
	if (faults && g_rand_int_range(net->rand, 0, 100) == 0)
		net->cut = g_rand_int_range(net->rand, -1, REPLICAS);
}

/* Every applied sequence is a prefix of the longest. */
static void
check_agreement(struct net *net)
{
	int i;
	guint k;
	const GArray *longest = net->nodes[0].applied;

	for (i = 1; i < REPLICAS; i++) {
		if (net->nodes[i].applied->len > longest->len)
			longest = net->nodes[i].applied;
	}
	for (i = 0; i < REPLICAS; i++) {
		const GArray *a = net->nodes[i].applied;

		for (k = 0; k < a->len; k++)
			g_assert_cmpuint(g_array_index(a, uint64_t, k), ==,
			    g_array_index(longest, uint64_t, k));
	}
}

static void
test_agreement(void)
{
	guint32 seed;
	int i;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct net net;
		guint before;

		setup(&net, seed);
		for (i = 0; i < STEPS; i++) {
			step(&net, i, true);
			if (i % 100 == 0)
				check_agreement(&net);
		}
		net.cut = -1;
		before = net.nodes[0].applied->len;
		for (i = 0; i < 500; i++)
			step(&net, i, false);
		check_agreement(&net);
		if (net.nodes[0].applied->len <= before)
			g_error("seed %u: no progress after healing", seed);
		teardown(&net);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/agreement", test_agreement);
	return g_test_run();
}
