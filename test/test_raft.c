#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "msg.h"
#include "raft.h"

/*
 * Replicas in one process, with disks that keep only what was synced. A
 * seeded random pick loses, doubles, delays and reorders messages, cuts links
 * one way, stops and freezes replicas, loses disks and changes members. What
 * must hold is checked on the way. GYP_SEED runs one seed; GYP_SEEDS or
 * GYP_SECONDS run fresh ones.
 */

#define SLOTS       6
#define SEEDS       48
#define STEPS       3000
#define STEP_MS     10
#define ELECTION_MS 300
#define VOTERS      5
#define CHUNK_BYTES 150

struct net;

struct node {
	struct gyp_raft_io io;
	struct net *net;
	struct gyp_raft *raft; /* NULL while stopped */
	uint64_t id;
	int slot;
	GArray *disk; /* struct gyp_record */
	guint synced; /* records of it */
	guint base;   /* records there when the process started */
	bool frozen;
	bool removed;     /* by a change; its disk must be wiped */
	GPtrArray *inbox; /* messages that arrived while frozen */
	uint64_t index;   /* state machine: last index and hash */
	uint64_t hash;
};

/* What is known to be committed, by index. */
struct truth {
	uint64_t hash;
	uint64_t term;      /* of the entry */
	uint64_t committed; /* a term in which it was known as committed */
};

struct net {
	struct node nodes[SLOTS];
	GPtrArray *wire; /* Gyp__RaftMsg */
	GRand *rand;
	guint32 seed;
	uint64_t now;
	uint64_t max_term;
	uint32_t proposed;
	size_t state_bytes;  /* of a snapshot */
	uint32_t chunks;     /* sent */
	uint32_t drop_chunk; /* one in so many, 0 for none */
	int voters;          /* wanted */
	int pace;            /* of faults, 1 is slowest */
	bool no_proposals;   /* a quiet time */
	bool no_compact;
	bool quiet; /* members are not removed by themselves */
	uint32_t lost, changes, restored; /* how much a run went through */
	bool cut[SLOTS][SLOTS];
	bool hold;           /* cut links keep messages for later */
	GPtrArray *held;     /* Gyp__RaftMsg */
	GArray *truth;       /* struct truth, index 0 unused */
	GHashTable *leaders; /* term -> id */
	uint64_t watched;    /* see vote_settled() */
	GHashTable *configs; /* hashes of committed configurations */
};

/* ---- State machine and disk --------------------------------------------- */

static bool
chance(struct net *net, int one_in)
{
	return g_rand_int_range(net->rand, 0, one_in) == 0;
}

static void
on_send(struct gyp_raft_io *io, uint64_t to, const Gyp__RaftMsg *msg)
{
	struct node *n = (struct node *)io;

	(void)to;
	g_assert_cmpuint(msg->from, ==, n->id);
	if (msg->type == GYP__RAFT_TYPE__RAFT_VOTE_REPLY && !msg->reject)
		g_assert_false(n->removed);
	if (msg->type == GYP__RAFT_TYPE__RAFT_SNAPSHOT &&
	    ++n->net->chunks % MAX(n->net->drop_chunk, 1) == 1)
		return;
	g_ptr_array_add(n->net->wire, gyp_message_copy(&msg->base));
}

static void
on_write(struct gyp_raft_io *io, const struct gyp_record *rec)
{
	struct node *n = (struct node *)io;
	struct gyp_record copy = *rec;

	if (copy.data != NULL)
		g_bytes_ref(copy.data);
	g_array_append_val(n->disk, copy);
}

static void
on_apply(struct gyp_raft_io *io, const struct gyp_entry *e)
{
	struct node *n = (struct node *)io;
	struct truth t = {.term = e->term};
	const struct truth *known;

	g_assert_cmpuint(e->index, ==, n->index + 1);
	n->index = e->index;
	n->hash = (n->hash ^ e->term ^ g_bytes_hash(e->data)) * 0x100000001b3;
	t.hash = n->hash;
	t.committed = gyp_raft_term(n->raft);
	if (n->index == n->net->truth->len)
		g_array_append_val(n->net->truth, t);
	if (e->kind == GYP__ENTRY_KIND__ENTRY_CONFIG)
		g_hash_table_add(
		    n->net->configs, GUINT_TO_POINTER(g_bytes_hash(e->data)));
	known = &g_array_index(n->net->truth, struct truth, n->index);
	g_assert_cmpuint(known->hash, ==, t.hash);
}

static void
on_restore(struct gyp_raft_io *io, const Gyp__SnapshotFile *file)
{
	struct node *n = (struct node *)io;

	g_assert_cmpuint(file->state.len, >=, sizeof(n->hash));
	memcpy(&n->hash, file->state.data, sizeof(n->hash));
	n->index = file->index;
	n->net->restored++;
	g_assert_cmpuint(n->index, <, n->net->truth->len);
	g_assert_cmpuint(
	    g_array_index(n->net->truth, struct truth, n->index).hash, ==,
	    n->hash);
}

static const struct gyp_raft_io_ops ops = {
    on_send, on_write, on_apply, on_restore};

static void
compact(struct node *n)
{
	size_t len = n->net->state_bytes;
	uint8_t *state = g_malloc0(len);
	GBytes *data = g_bytes_new_take(state, len);

	memcpy(state, &n->hash, sizeof(n->hash));
	gyp_raft_compact(n->raft, n->index, data);
	g_bytes_unref(data);
}

static void
clear_record(gpointer p)
{
	struct gyp_record *rec = p;

	if (rec->data != NULL)
		g_bytes_unref(rec->data);
}

static GArray *
new_disk(void)
{
	GArray *disk = g_array_new(FALSE, FALSE, sizeof(struct gyp_record));

	g_array_set_clear_func(disk, clear_record);
	return disk;
}

/* Copies the records that the store would hand over, in its order. */
static GArray *
replayed(const GArray *disk)
{
	GArray *out = new_disk();
	const struct gyp_record *snapshot = NULL;
	guint i, at = 0;

	for (i = 0; i < disk->len; i++) {
		const struct gyp_record *rec =
		    &g_array_index(disk, struct gyp_record, i);

		if (rec->type != GYP_RECORD_SNAPSHOT)
			continue;
		snapshot = rec;
		at = rec->kind == 1 ? i : at;
	}
	if (snapshot != NULL)
		g_array_append_val(out, *snapshot);
	for (i = 0; i < disk->len; i++) {
		const struct gyp_record *rec =
		    &g_array_index(disk, struct gyp_record, i);

		if (rec->type == GYP_RECORD_VOTE ||
		    (rec->type == GYP_RECORD_ENTRY && i >= at))
			g_array_append_val(out, *rec);
	}
	for (i = 0; i < out->len; i++) {
		if (g_array_index(out, struct gyp_record, i).data != NULL)
			g_bytes_ref(
			    g_array_index(out, struct gyp_record, i).data);
	}
	return out;
}

/* ---- Processes ---------------------------------------------------------- */

static void
start(struct node *n)
{
	struct gyp_raft_config cfg = {.id = n->id,
	    .election_ms = ELECTION_MS,
	    .heartbeat_ms = 50,
	    .append_bytes = 60,
	    .chunk_bytes = CHUNK_BYTES,
	    .seed = g_rand_int(n->net->rand)};
	GArray *disk = replayed(n->disk);
	guint i;

	g_array_free(n->disk, TRUE);
	n->disk = disk;
	n->base = n->synced = disk->len;
	n->index = n->hash = 0;
	n->raft = gyp_raft_new(&cfg, &n->io);
	for (i = 0; i < disk->len; i++)
		gyp_raft_load(
		    n->raft, &g_array_index(disk, struct gyp_record, i));
}

/* Of what was not synced, any first part may have reached the disk. */
static void
stop(struct node *n)
{
	guint left = (guint)g_rand_int_range(
	    n->net->rand, (gint32)n->synced, (gint32)n->disk->len + 1);

	g_array_set_size(n->disk, left);
	g_ptr_array_set_size(n->inbox, 0);
	n->frozen = false;
	gyp_raft_free(n->raft);
	n->raft = NULL;
}

static void
lose_disk(struct node *n)
{
	if (n->raft != NULL)
		stop(n);
	g_array_set_size(n->disk, 0);
	n->net->lost++;
	n->id += 100;
	n->removed = false;
}

static void
sync_disk(struct node *n)
{
	guint left = n->disk->len - n->synced;

	if (left == 0 || chance(n->net, 3))
		return;
	n->synced += (guint)g_rand_int_range(n->net->rand, 1, (gint32)left + 1);
	gyp_raft_synced(n->raft, n->net->now, n->synced - n->base);
}

static bool
runs(const struct node *n)
{
	return n->raft != NULL && !n->frozen;
}

static int
slot_of(uint64_t id)
{
	return (int)((id - 1) % 100);
}

static struct node *
find_node(struct net *net, uint64_t id)
{
	int i;

	for (i = 0; i < SLOTS; i++) {
		if (net->nodes[i].id == id)
			return &net->nodes[i];
	}
	return NULL;
}

static struct node *
random_node(struct net *net)
{
	return &net->nodes[g_rand_int_range(net->rand, 0, SLOTS)];
}

/* The leader of the newest term, when it is ready for changes. */
static struct node *
settled_leader(struct net *net)
{
	int i;

	for (i = 0; i < SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (runs(n) && gyp_raft_ready(n->raft) &&
		    gyp_raft_term(n->raft) == net->max_term &&
		    !gyp_raft_changing(n->raft))
			return n;
	}
	return NULL;
}

static void
net_init(struct net *net, guint32 seed)
{
	struct truth none = {0, 0, 0};
	int i;

	memset(net, 0, sizeof(*net));
	net->seed = seed;
	net->rand = g_rand_new_with_seed(seed);
	net->wire = g_ptr_array_new_with_free_func(gyp_message_free);
	net->held = g_ptr_array_new_with_free_func(gyp_message_free);
	net->truth = g_array_new(FALSE, FALSE, sizeof(struct truth));
	g_array_append_val(net->truth, none);
	net->configs = g_hash_table_new(NULL, NULL);
	net->leaders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	net->state_bytes = 400;
	net->voters = VOTERS;
	net->pace = 1;
	net->now = 1000;
	for (i = 0; i < SLOTS; i++) {
		struct node *n = &net->nodes[i];

		n->io.ops = &ops;
		n->net = net;
		n->slot = i;
		n->id = (uint64_t)i + 1;
		n->disk = new_disk();
		n->inbox = g_ptr_array_new_with_free_func(gyp_message_free);
		start(n);
	}
	gyp_raft_bootstrap(net->nodes[0].raft, "0", "");
}

static void
net_clear(struct net *net)
{
	int i;

	for (i = 0; i < SLOTS; i++) {
		gyp_raft_free(net->nodes[i].raft);
		g_array_free(net->nodes[i].disk, TRUE);
		g_ptr_array_free(net->nodes[i].inbox, TRUE);
	}
	g_ptr_array_free(net->wire, TRUE);
	g_ptr_array_free(net->held, TRUE);
	g_array_free(net->truth, TRUE);
	g_hash_table_destroy(net->leaders);
	g_hash_table_destroy(net->configs);
	g_rand_free(net->rand);
}

/* ---- Checks ------------------------------------------------------------- */

/* One leader a term, and it holds all that earlier terms committed. */
static void
check_leader(struct net *net, const struct node *n)
{
	uint64_t term = gyp_raft_term(n->raft), i;
	const uint64_t *known = g_hash_table_lookup(net->leaders, &term);

	net->max_term = MAX(net->max_term, term);
	if (gyp_raft_role(n->raft) != GYP_RAFT_LEADER)
		return;
	if (known != NULL) {
		g_assert_cmpuint(*known, ==, n->id);
		return;
	}
	g_hash_table_insert(net->leaders, g_memdup2(&term, sizeof(term)),
	    g_memdup2(&n->id, sizeof(n->id)));
	for (i = gyp_raft_snapshot_index(n->raft) + 1; i < net->truth->len;
	     i++) {
		const struct truth *t =
		    &g_array_index(net->truth, struct truth, i);

		if (t->committed < term)
			g_assert_cmpuint(
			    gyp_raft_entry_term(n->raft, i), ==, t->term);
	}
}

/* A configuration that is not pending is a committed one. */
static void
check_config(struct net *net, const struct node *n)
{
	const Gyp__Config *c = gyp_raft_members(n->raft);
	GBytes *packed;

	if (gyp_raft_changing(n->raft) || c->n_members == 0)
		return;
	packed = gyp_message_pack(&c->base);
	g_assert_true(g_hash_table_contains(
	    net->configs, GUINT_TO_POINTER(g_bytes_hash(packed))));
	g_bytes_unref(packed);
}

/* Equal terms at an index mean equal logs up to it. */
static void
check_matching(const struct gyp_raft *a, const struct gyp_raft *b)
{
	uint64_t first =
	    MAX(gyp_raft_snapshot_index(a), gyp_raft_snapshot_index(b)) + 1;
	uint64_t i = MIN(gyp_raft_last_index(a), gyp_raft_last_index(b));
	bool same = false;

	for (; i >= first; i--) {
		bool equal =
		    gyp_raft_entry_term(a, i) == gyp_raft_entry_term(b, i);

		g_assert_true(equal || !same);
		same = same || equal;
	}
}

static void
check_logs(struct net *net)
{
	int i, k;

	for (i = 0; i < SLOTS; i++) {
		if (net->nodes[i].raft != NULL)
			check_config(net, &net->nodes[i]);
		for (k = 0; k < i; k++) {
			if (net->nodes[i].raft != NULL &&
			    net->nodes[k].raft != NULL)
				check_matching(
				    net->nodes[i].raft, net->nodes[k].raft);
		}
	}
}

/* ---- Messages ----------------------------------------------------------- */

static void
deliver(struct net *net, struct node *n, const Gyp__RaftMsg *m)
{
	if (n->frozen) {
		g_ptr_array_add(n->inbox, gyp_message_copy(&m->base));
		return;
	}
	gyp_raft_step(n->raft, net->now, m);
	check_leader(net, n);
}

static void
deliver_one(struct net *net, bool faults)
{
	guint i = (guint)g_rand_int_range(net->rand, 0, (gint32)net->wire->len);
	Gyp__RaftMsg *m = net->wire->pdata[i];
	struct node *to = find_node(net, m->to);
	int luck = faults ? g_rand_int_range(net->rand, 0, 100) : 50;

	/* A lost disk's id may still be on the wire; its sender is gone. */
	if (luck >= 5 && to != NULL && to->raft != NULL) {
		if (!net->cut[slot_of(m->from)][to->slot])
			deliver(net, to, m);
		else if (net->hold)
			g_ptr_array_add(net->held, gyp_message_copy(&m->base));
	}
	if (luck < 95) /* else it is delivered once more later */
		g_ptr_array_remove_index_fast(net->wire, i);
}

static void
thaw(struct net *net, struct node *n)
{
	guint i;

	n->frozen = false;
	for (i = 0; i < n->inbox->len; i++)
		gyp_raft_step(n->raft, net->now, n->inbox->pdata[i]);
	g_ptr_array_set_size(n->inbox, 0);
	check_leader(net, n);
}

static void
propose(struct net *net)
{
	struct node *n = random_node(net);
	GBytes *data;

	if (!runs(n) || gyp_raft_role(n->raft) != GYP_RAFT_LEADER)
		return;
	data = g_bytes_new(&net->proposed, sizeof(net->proposed));
	net->proposed++;
	gyp_raft_propose(n->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
}

/* ---- Members ------------------------------------------------------------ */

/* Adds a member, gives a vote, takes a vote, drops a member; 0 for none. */
static void
change(struct node *leader, uint64_t add, uint64_t vote, uint64_t demote,
    uint64_t out)
{
	const Gyp__Config *c = gyp_raft_members(leader->raft);
	Gyp__Config next = GYP__CONFIG__INIT;
	Gyp__Member own[SLOTS * 2];
	Gyp__Member *list[SLOTS * 2 + 1];
	size_t i;

	next.members = list;
	g_assert_cmpuint(c->n_members, <, SLOTS * 2);
	for (i = 0; i < c->n_members; i++) {
		own[i] = *c->members[i];
		own[i].voter =
		    (own[i].voter && own[i].id != demote) || own[i].id == vote;
		if (own[i].id != out)
			list[next.n_members++] = &own[i];
	}
	if (add != 0) {
		gyp__member__init(&own[i]);
		own[i].id = add;
		own[i].address = "a";
		list[next.n_members++] = &own[i];
	}
	if (gyp_raft_change(leader->raft, &next) != 0)
		leader->net->changes++;
}

static const Gyp__Member *
member(const Gyp__Config *c, uint64_t id)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == id)
			return c->members[i];
	}
	return NULL;
}

/* Voters, and those of them whose disk is there. */
static int
count_voters(struct net *net, const Gyp__Config *c, int *intact)
{
	size_t i;
	int voters = 0;

	*intact = 0;
	for (i = 0; i < c->n_members; i++) {
		if (!c->members[i]->voter)
			continue;
		voters++;
		*intact += find_node(net, c->members[i]->id) != NULL;
	}
	return voters;
}

/* Another id of the same slot, whose disk was lost. */
static uint64_t
predecessor(const Gyp__Config *c, uint64_t id, bool voter)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		const Gyp__Member *m = c->members[i];

		if (m->id != id && slot_of(m->id) == slot_of(id) &&
		    m->voter == voter)
			return m->id;
	}
	return 0;
}

static uint64_t
any_voter(struct net *net, const Gyp__Config *c)
{
	const Gyp__Member *m;

	do {
		m = c->members[g_rand_int_range(
		    net->rand, 0, (gint32)c->n_members)];
	} while (!m->voter);
	return m->id;
}

static void
tend_members(struct net *net)
{
	struct node *leader = settled_leader(net), *n = random_node(net);
	const Gyp__Config *c;
	const Gyp__Member *m;
	uint64_t old;
	int intact, voters;

	if (leader == NULL || n->raft == NULL || n->removed)
		return;
	c = gyp_raft_members(leader->raft);
	voters = count_voters(net, c, &intact);
	m = member(c, n->id);
	if (m == NULL) {
		change(leader, n->id, 0, 0, predecessor(c, n->id, false));
	} else if (!m->voter && gyp_raft_match(leader->raft, n->id) + 20 >
				    gyp_raft_last_index(leader->raft)) {
		old = predecessor(c, n->id, true);
		if (old != 0 || voters < net->voters)
			change(leader, 0, n->id, 0, old);
		else if (!net->quiet && chance(net, 10))
			change(leader, 0, n->id, any_voter(net, c), 0);
	} else if (m->voter && voters > net->voters - 2 && voters > 3 &&
		   intact - 1 > (voters - 1) / 2 && !net->quiet &&
		   chance(net, 60)) {
		change(leader, 0, 0, 0, n->id);
	}
}

/* A replica that a committed change took out comes back as a new one. */
static void
wipe_removed(struct net *net)
{
	struct node *leader = settled_leader(net), *n = random_node(net);

	if (leader == NULL || n == leader || n->raft == NULL)
		return;
	if (gyp_raft_snapshot_index(n->raft) + gyp_raft_last_index(n->raft) >
		0 &&
	    member(gyp_raft_members(n->raft), n->id) != NULL &&
	    member(gyp_raft_members(leader->raft), n->id) == NULL) {
		lose_disk(n);
		start(n);
	}
}

/* ---- Faults ------------------------------------------------------------- */

/* A disk may go while the others still are a majority. */
static void
maybe_lose_disk(struct net *net)
{
	struct node *leader = settled_leader(net), *n = random_node(net);
	const Gyp__Member *m;
	int intact, voters;

	if (leader == NULL)
		return;
	m = member(gyp_raft_members(leader->raft), n->id);
	voters = count_voters(net, gyp_raft_members(leader->raft), &intact);
	if (m != NULL && m->voter && intact - 1 <= voters / 2)
		return;
	lose_disk(n);
}

/* All links of a replica, to it, from it or both ways. */
static void
cut_links(struct net *net, int a)
{
	int way = g_rand_int_range(net->rand, 0, 3), i;

	for (i = 0; i < SLOTS; i++) {
		net->cut[a][i] = net->cut[a][i] || way != 1;
		net->cut[i][a] = net->cut[i][a] || way != 2;
	}
}

static void
heal(struct net *net)
{
	guint i;

	memset(net->cut, 0, sizeof(net->cut));
	for (i = 0; i < net->held->len; i++)
		g_ptr_array_add(
		    net->wire, gyp_message_copy(net->held->pdata[i]));
	g_ptr_array_set_size(net->held, 0);
	net->hold = chance(net, 2);
}

static void
inject_fault(struct net *net)
{
	struct node *n = random_node(net);

	if (n->raft == NULL && chance(net, 10 / net->pace))
		start(n);
	else if (n->raft != NULL && chance(net, 100 / net->pace))
		stop(n);
	else if (runs(n) && chance(net, 100))
		n->frozen = true;
	else if (n->frozen && chance(net, 15))
		thaw(net, n);
	if (chance(net, 80 / net->pace))
		cut_links(net, random_node(net)->slot);
	if (chance(net, 40 / net->pace))
		heal(net);
	if (chance(net, 60))
		maybe_lose_disk(net);
}

/* The watched replica has its vote, by the word of the leader. */
static bool
vote_settled(struct net *net)
{
	const struct node *leader;
	const Gyp__Member *m;

	if (net->watched == 0 || (leader = settled_leader(net)) == NULL)
		return false;
	m = member(gyp_raft_members(leader->raft), net->watched);
	return m != NULL && m->voter;
}

static void
step(struct net *net, bool faults)
{
	int i;

	net->now += STEP_MS;
	for (i = 0; i < SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (!runs(n))
			continue;
		gyp_raft_tick(n->raft, net->now);
		sync_disk(n);
		check_leader(net, n);
		if (!net->no_compact && chance(net, 60))
			compact(n);
	}
	for (i = 0; i < 60 && net->wire->len > 0; i++) {
		if (vote_settled(net))
			return;
		deliver_one(net, faults);
	}
	for (i = 0; i < 4 && !net->no_proposals; i++)
		propose(net);
	tend_members(net);
	wipe_removed(net);
	if (faults)
		inject_fault(net);
}

static void
print_nodes(struct net *net)
{
	int i;
	size_t k;

	for (i = 0; i < SLOTS; i++) {
		const struct node *n = &net->nodes[i];
		const Gyp__Config *c;

		if (n->raft == NULL)
			continue;
		c = gyp_raft_members(n->raft);
		g_printerr("# %d id %d role %d term %d log %d-%d commit %d"
			   " changing %d:",
		    n->slot, (int)n->id, gyp_raft_role(n->raft),
		    (int)gyp_raft_term(n->raft),
		    (int)gyp_raft_snapshot_index(n->raft),
		    (int)gyp_raft_last_index(n->raft),
		    (int)gyp_raft_commit(n->raft), gyp_raft_changing(n->raft));
		for (k = 0; k < c->n_members; k++)
			g_printerr(" %d%s", (int)c->members[k]->id,
			    c->members[k]->voter ? "v" : "");
		g_printerr("\n");
	}
}

/* ---- Random runs -------------------------------------------------------- */

static void
recover_all(struct net *net)
{
	int i;

	heal(net);
	for (i = 0; i < SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (n->raft == NULL)
			start(n);
		else if (n->frozen)
			thaw(net, n);
	}
}

static void
run_seed(guint32 seed)
{
	struct net net;
	guint before;
	int i;

	net_init(&net, seed);
	net.voters = seed % 2 == 0 ? 3 : 5;
	net.pace = 1 + (int)(seed % 3);
	for (i = 0; i < 300; i++)
		step(&net, false);
	for (i = 0; i < STEPS; i++) {
		step(&net, true);
		if (i % 10 == 0)
			check_logs(&net);
	}
	recover_all(&net);
	for (i = 0; i < 300; i++)
		step(&net, false);
	before = net.truth->len;
	for (i = 0; i < 300; i++)
		step(&net, false);
	check_logs(&net);
	if (net.truth->len <= before)
		print_nodes(&net);
	g_assert_cmpuint(net.truth->len, >, before);
	for (i = 0; i < SLOTS; i++)
		g_assert_cmpuint(net.nodes[i].index, >=, before - 1);
	g_test_message("seed %u: %u committed, %u terms, %u disks lost, "
		       "%u changes of members, %u snapshots loaded",
	    seed, net.truth->len - 1, g_hash_table_size(net.leaders), net.lost,
	    net.changes, net.restored);
	net_clear(&net);
}

/* A failure prints what repeats it. */
static void
run_and_tell(guint32 seed)
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
	gint64 end = g_get_monotonic_time();
	guint32 i;

	if (seed != NULL) {
		run_and_tell((guint32)strtoul(seed, NULL, 10));
	} else if (seeds != NULL) {
		for (i = 0; i < strtoul(seeds, NULL, 10); i++)
			run_and_tell(g_random_int());
	} else if (seconds != NULL) {
		end += (gint64)strtoul(seconds, NULL, 10) * 1000000;
		while (g_get_monotonic_time() < end)
			run_and_tell(g_random_int());
	} else {
		for (i = 1; i <= SEEDS; i++)
			run_and_tell(i);
	}
}

/* ---- Single faults ------------------------------------------------------ */

static void
run_steps(struct net *net, int steps)
{
	while (steps-- > 0)
		step(net, false);
}

/* Five voters and a spare, after a quiet time. */
static struct node *
net_settle(struct net *net, guint32 seed)
{
	struct node *leader;
	int voters = 0, intact, i;

	net_init(net, seed);
	net->quiet = true;
	for (i = 0; i < 1000 && voters < VOTERS; i++) {
		step(net, false);
		leader = settled_leader(net);
		if (leader != NULL)
			voters = count_voters(
			    net, gyp_raft_members(leader->raft), &intact);
	}
	run_steps(net, 100);
	leader = settled_leader(net);
	g_assert_nonnull(leader);
	return leader;
}

/* A replica out of touch comes back: the good leader and its term stay. */
static void
test_return(void)
{
	guint32 seed;

	for (seed = 1; seed <= 30; seed++) {
		struct net net;
		struct node *leader = net_settle(&net, seed), *n;
		uint64_t term = net.max_term;
		int round;

		for (round = 0; round < 10; round++) {
			while ((n = random_node(&net)) == leader)
				continue;
			net.hold = chance(&net, 2);
			net.no_proposals = chance(&net, 2);
			if (chance(&net, 3))
				n->frozen = true;
			else
				cut_links(&net, n->slot);
			run_steps(&net, g_rand_int_range(net.rand, 10, 150));
			heal(&net);
			if (n->frozen)
				thaw(&net, n);
			run_steps(&net, 60);
			if (net.max_term != term)
				g_error("seed %u: the term rose", seed);
		}
		g_assert_true(settled_leader(&net) == leader);
		net_clear(&net);
	}
}

/* Time until another replica is ready to lead, in ms. */
static uint64_t
time_without_leader(struct net *net, const struct node *old)
{
	uint64_t since = net->now;
	int i;

	for (i = 0; i < 500; i++) {
		const struct node *leader = settled_leader(net);

		if (leader != NULL && leader != old)
			return net->now - since;
		step(net, false);
	}
	g_error("seed %u: no new leader", net->seed);
}

/*
 * Two disks of five are lost and one of them is replaced. As soon as that
 * change is over the leader's disk goes too, with all that it has just sent.
 * The three that are left go on.
 */
static void
test_second_loss(void)
{
	guint32 seed;

	for (seed = 1; seed <= 40; seed++) {
		struct net net;
		struct node *leader = net_settle(&net, seed), *a, *b;
		guint before;
		int i;

		for (i = 0; i < SLOTS; i++) {
			a = &net.nodes[i];
			if (member(gyp_raft_members(leader->raft), a->id) ==
				NULL ||
			    !member(gyp_raft_members(leader->raft), a->id)
				 ->voter)
				lose_disk(a); /* the spare */
		}
		for (a = net.nodes; a == leader || a->raft == NULL; a++)
			continue;
		for (b = a + 1; b == leader || b->raft == NULL; b++)
			continue;
		lose_disk(a);
		lose_disk(b);
		start(a);
		net.watched = a->id;
		for (i = 0; i < 1000 && !vote_settled(&net); i++)
			step(&net, false);
		net.watched = 0;
		leader = settled_leader(&net);
		g_assert_cmpint(i, <, 1000);
		g_assert_true(leader != a);
		for (i = (int)net.wire->len - 1; i >= 0; i--) {
			Gyp__RaftMsg *m = net.wire->pdata[i];

			if (m->from == leader->id)
				g_ptr_array_remove_index(net.wire, (guint)i);
		}
		lose_disk(leader);
		before = net.truth->len;
		run_steps(&net, 300);
		if (net.truth->len <= before + 10)
			g_error("seed %u: no progress", seed);
		net_clear(&net);
	}
}

/* A leader that hands over leaves the cell without one for a short time. */
static void
test_hand_over(void)
{
	uint64_t handed = 0, killed = 0, worst[2] = {0, 0}, took;
	guint32 seed;

	for (seed = 1; seed <= 20; seed++) {
		struct net net;
		struct node *leader = net_settle(&net, seed);

		g_assert_true(gyp_raft_hand_over(leader->raft));
		took = time_without_leader(&net, leader);
		g_assert_cmpuint(took, <, ELECTION_MS);
		handed += took;
		worst[0] = MAX(worst[0], took);
		run_steps(&net, 100);
		leader = settled_leader(&net);
		stop(leader);
		took = time_without_leader(&net, leader);
		killed += took;
		worst[1] = MAX(worst[1], took);
		net_clear(&net);
	}
	g_test_message("without a leader, in election timeouts: after a "
		       "hand-over %.2f (worst %.2f), after a kill %.2f "
		       "(worst %.2f)",
	    (double)handed / 20 / ELECTION_MS, (double)worst[0] / ELECTION_MS,
	    (double)killed / 20 / ELECTION_MS, (double)worst[1] / ELECTION_MS);
}

/* Lost chunks are sent again; the transfer does not start over. */
static void
test_snapshot_resumes(void)
{
	struct net net;
	struct node *leader = net_settle(&net, 1), *n;
	uint32_t chunks;

	net.state_bytes = 15000;
	compact(leader);
	compact(leader);
	for (n = net.nodes; n == leader; n++)
		continue;
	lose_disk(n);
	net.no_compact = true;
	net.chunks = 0;
	net.drop_chunk = 7;
	start(n);
	run_steps(&net, 1000);
	chunks = net.chunks;
	g_test_message("%u chunks sent for %u", chunks, 15000 / CHUNK_BYTES);
	g_assert_cmpuint(chunks, >=, 15000 / CHUNK_BYTES);
	g_assert_cmpuint(chunks, <, 15000 / CHUNK_BYTES * 3 / 2);
	g_assert_cmpuint(n->index, >=, net.truth->len - 10);
	net_clear(&net);
}

/* ---- One replica, message by message ------------------------------------ */

static Gyp__RaftMsg
message(Gyp__RaftType type, uint64_t from, uint64_t term, uint64_t index,
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

/* Makes the replica leader: grants all that it asks for. */
static void
win_election(struct net *net, struct node *n)
{
	while (gyp_raft_role(n->raft) != GYP_RAFT_LEADER) {
		net->now += STEP_MS;
		gyp_raft_tick(n->raft, net->now);
		n->synced = n->disk->len;
		gyp_raft_synced(n->raft, net->now, n->synced);
		while (net->wire->len > 0) {
			Gyp__RaftMsg *m = net->wire->pdata[0];
			Gyp__RaftMsg reply =
			    message(m->type + 1, m->to, m->term, 0, 0);

			reply.round = m->round;
			if (m->type == GYP__RAFT_TYPE__RAFT_PREVOTE ||
			    m->type == GYP__RAFT_TYPE__RAFT_VOTE)
				gyp_raft_step(n->raft, net->now, &reply);
			g_ptr_array_remove_index(net->wire, 0);
		}
	}
}

/*
 * A snapshot voids entries whose records are not synced yet. Their sync must
 * not count for other entries of the same indexes.
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
	start(n);
	for (i = 0; i < 3; i++) {
		gyp__member__init(&members[i]);
		members[i].id = (uint64_t)i + 1;
		members[i].voter = true;
		list[i] = &members[i];
	}
	config.n_members = 3;
	config.members = list;
	m = message(GYP__RAFT_TYPE__RAFT_APPEND, 2, 1, 0, 0);
	for (i = 0; i < 9; i++) {
		gyp__log_entry__init(&entries[i]);
		entries[i].index = (uint64_t)i + 1;
		entries[i].term = 1;
		ptrs[i] = &entries[i];
	}
	m.n_entries = 9;
	m.entries = ptrs;
	gyp_raft_step(n->raft, net.now, &m);

	g_array_set_size(net.truth, 6);
	file.index = 5;
	file.term = 1;
	file.config = &config;
	file.state.len = sizeof(n->hash);
	file.state.data = (uint8_t *)&g_array_index(net.truth, struct truth, 5);
	m = message(GYP__RAFT_TYPE__RAFT_SNAPSHOT, 3, 2, 5, 1);
	m.chunk.len = gyp__snapshot_file__pack(&file, packed);
	m.chunk.data = packed;
	m.total = m.chunk.len;
	gyp_raft_step(n->raft, net.now, &m);
	g_assert_cmpuint(gyp_raft_last_index(n->raft), ==, 5);

	win_election(&net, n);
	for (i = 0; i < 5; i++)
		gyp_raft_propose(n->raft, GYP__ENTRY_KIND__ENTRY_NOOP, data);
	g_bytes_unref(data);
	m = message(
	    GYP__RAFT_TYPE__RAFT_APPEND_REPLY, 2, gyp_raft_term(n->raft), 8, 0);
	m.round = net.now;
	gyp_raft_step(n->raft, net.now, &m);
	g_assert_cmpuint(gyp_raft_commit(n->raft), ==, 5);
	gyp_raft_synced(n->raft, net.now, n->disk->len);
	g_assert_cmpuint(gyp_raft_commit(n->raft), ==, 8);
	net_clear(&net);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/return", test_return);
	g_test_add_func("/raft/second-loss", test_second_loss);
	g_test_add_func("/raft/hand-over", test_hand_over);
	g_test_add_func("/raft/snapshot-resumes", test_snapshot_resumes);
	g_test_add_func(
	    "/raft/snapshot-over-unsynced", test_snapshot_over_unsynced);
	g_test_add_func("/raft/random", test_random);
	return g_test_run();
}
