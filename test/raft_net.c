#include <string.h>

#include "raft_net.h"

/* ---- State machine and disk --------------------------------------------- */

bool
net_chance(struct net *net, int one_in)
{
	return g_rand_int_range(net->rand, 0, one_in) == 0;
}

static void
on_send(struct gyp_raft_io *io, uint64_t to, const Gyp__RaftMsg *msg)
{
	struct node *n = (struct node *)io;

	(void)to;
	g_assert_cmpuint(msg->from, ==, n->id);
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
on_apply(struct gyp_raft_io *io, const struct gyp_log_entry *e)
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

void
net_compact(struct node *n)
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

void
net_start(struct node *n)
{
	struct gyp_raft_config cfg = {.id = n->id,
	    .election_ms = NET_ELECTION_MS,
	    .heartbeat_ms = 50,
	    .append_bytes = 60,
	    .chunk_bytes = NET_CHUNK_BYTES,
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
void
net_stop(struct node *n)
{
	guint left = (guint)g_rand_int_range(
	    n->net->rand, (gint32)n->synced, (gint32)n->disk->len + 1);

	g_array_set_size(n->disk, left);
	g_ptr_array_set_size(n->inbox, 0);
	n->frozen = false;
	gyp_raft_free(n->raft);
	n->raft = NULL;
}

void
net_lose_disk(struct node *n)
{
	if (n->raft != NULL)
		net_stop(n);
	g_array_set_size(n->disk, 0);
	n->net->lost++;
	n->id += 100;
}

static void
sync_disk(struct node *n)
{
	guint left = n->disk->len - n->synced;

	if (left == 0 || net_chance(n->net, 3))
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

	for (i = 0; i < NET_SLOTS; i++) {
		if (net->nodes[i].id == id)
			return &net->nodes[i];
	}
	return NULL;
}

struct node *
net_random_node(struct net *net)
{
	return &net->nodes[g_rand_int_range(net->rand, 0, NET_SLOTS)];
}

/* The leader of the newest term, when it is ready for changes. */
struct node *
net_settled_leader(struct net *net)
{
	int i;

	for (i = 0; i < NET_SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (runs(n) && gyp_raft_ready(n->raft) &&
		    gyp_raft_term(n->raft) == net->max_term &&
		    !gyp_raft_changing(n->raft))
			return n;
	}
	return NULL;
}

/* The first node begins as the only member. */
static void
bootstrap_first(struct net *net)
{
	Gyp__Config alone = GYP__CONFIG__INIT;
	Gyp__Member self = GYP__MEMBER__INIT;
	Gyp__Member *list[] = {&self};

	self.id = net->nodes[0].id;
	self.address = "0";
	self.voter = true;
	alone.n_members = 1;
	alone.members = list;
	gyp_raft_bootstrap(net->nodes[0].raft, &alone);
}

void
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
	net->voters = NET_VOTERS;
	net->pace = 1;
	net->now = 1000;
	for (i = 0; i < NET_SLOTS; i++) {
		struct node *n = &net->nodes[i];

		n->io.ops = &ops;
		n->net = net;
		n->slot = i;
		n->id = (uint64_t)i + 1;
		n->disk = new_disk();
		n->inbox = g_ptr_array_new_with_free_func(gyp_message_free);
		net_start(n);
	}
	bootstrap_first(net);
}

void
net_clear(struct net *net)
{
	int i;

	for (i = 0; i < NET_SLOTS; i++) {
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

/* ---- Messages ----------------------------------------------------------- */

static void
deliver(struct net *net, struct node *n, const Gyp__RaftMsg *m)
{
	if (n->frozen) {
		g_ptr_array_add(n->inbox, gyp_message_copy(&m->base));
		return;
	}
	gyp_raft_step(n->raft, net->now, m);
	net_check_leader(net, n);
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

void
net_thaw(struct net *net, struct node *n)
{
	guint i;

	n->frozen = false;
	for (i = 0; i < n->inbox->len; i++)
		gyp_raft_step(n->raft, net->now, n->inbox->pdata[i]);
	g_ptr_array_set_size(n->inbox, 0);
	net_check_leader(net, n);
}

static void
propose(struct net *net)
{
	struct node *n = net_random_node(net);
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
	Gyp__Member own[NET_SLOTS * 2];
	Gyp__Member *list[NET_SLOTS * 2 + 1];
	size_t i;

	next.members = list;
	g_assert_cmpuint(c->n_members, <, NET_SLOTS * 2);
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

const Gyp__Member *
net_member(const Gyp__Config *c, uint64_t id)
{
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == id)
			return c->members[i];
	}
	return NULL;
}

/* Voters, and those of them whose disk is there. */
int
net_count_voters(struct net *net, const Gyp__Config *c, int *intact)
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
	struct node *leader = net_settled_leader(net),
		    *n = net_random_node(net);
	const Gyp__Config *c;
	const Gyp__Member *m;
	uint64_t old;
	int intact, voters;

	if (leader == NULL || n->raft == NULL)
		return;
	c = gyp_raft_members(leader->raft);
	voters = net_count_voters(net, c, &intact);
	m = net_member(c, n->id);
	if (m == NULL) {
		change(leader, n->id, 0, 0, predecessor(c, n->id, false));
	} else if (!m->voter && gyp_raft_match(leader->raft, n->id) + 20 >
				    gyp_raft_last_index(leader->raft)) {
		old = predecessor(c, n->id, true);
		if (old != 0 || voters < net->voters)
			change(leader, 0, n->id, 0, old);
		else if (!net->quiet && net_chance(net, 10))
			change(leader, 0, n->id, any_voter(net, c), 0);
	} else if (m->voter && voters > net->voters - 2 && voters > 3 &&
		   intact - 1 > (voters - 1) / 2 && !net->quiet &&
		   net_chance(net, 60)) {
		change(leader, 0, 0, 0, n->id);
	}
}

/* A replica that a committed change took out comes back as a new one. */
static void
wipe_removed(struct net *net)
{
	struct node *leader = net_settled_leader(net),
		    *n = net_random_node(net);

	if (leader == NULL || n == leader || n->raft == NULL)
		return;
	if (gyp_raft_snapshot_index(n->raft) + gyp_raft_last_index(n->raft) >
		0 &&
	    net_member(gyp_raft_members(n->raft), n->id) != NULL &&
	    net_member(gyp_raft_members(leader->raft), n->id) == NULL) {
		net_lose_disk(n);
		net_start(n);
	}
}

/* ---- Faults ------------------------------------------------------------- */

/* A disk may go while the others still are a majority. */
static void
maybe_lose_disk(struct net *net)
{
	struct node *leader = net_settled_leader(net),
		    *n = net_random_node(net);
	const Gyp__Member *m;
	int intact, voters;

	if (leader == NULL)
		return;
	m = net_member(gyp_raft_members(leader->raft), n->id);
	voters = net_count_voters(net, gyp_raft_members(leader->raft), &intact);
	if (m != NULL && m->voter && intact - 1 <= voters / 2)
		return;
	net_lose_disk(n);
}

/* All links of a replica, to it, from it or both ways. */
void
net_cut_links(struct net *net, int a)
{
	int way = g_rand_int_range(net->rand, 0, 3), i;

	for (i = 0; i < NET_SLOTS; i++) {
		net->cut[a][i] = net->cut[a][i] || way != 1;
		net->cut[i][a] = net->cut[i][a] || way != 2;
	}
}

void
net_heal(struct net *net)
{
	guint i;

	memset(net->cut, 0, sizeof(net->cut));
	for (i = 0; i < net->held->len; i++)
		g_ptr_array_add(
		    net->wire, gyp_message_copy(net->held->pdata[i]));
	g_ptr_array_set_size(net->held, 0);
	net->hold = net_chance(net, 2);
}

static void
inject_fault(struct net *net)
{
	struct node *n = net_random_node(net);

	if (n->raft == NULL && net_chance(net, 10 / net->pace))
		net_start(n);
	else if (n->raft != NULL && net_chance(net, 100 / net->pace))
		net_stop(n);
	else if (runs(n) && net_chance(net, 100))
		n->frozen = true;
	else if (n->frozen && net_chance(net, 15))
		net_thaw(net, n);
	if (net_chance(net, 80 / net->pace))
		net_cut_links(net, net_random_node(net)->slot);
	if (net_chance(net, 40 / net->pace))
		net_heal(net);
	if (net_chance(net, 60))
		maybe_lose_disk(net);
}

/* The watched replica has its vote, by the word of the leader. */
bool
net_vote_settled(struct net *net)
{
	const struct node *leader;
	const Gyp__Member *m;

	if (net->watched == 0 || (leader = net_settled_leader(net)) == NULL)
		return false;
	m = net_member(gyp_raft_members(leader->raft), net->watched);
	return m != NULL && m->voter;
}

void
net_step(struct net *net, bool faults)
{
	int i;

	net->now += NET_STEP_MS;
	for (i = 0; i < NET_SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (!runs(n))
			continue;
		gyp_raft_tick(n->raft, net->now);
		gyp_raft_go_on(n->raft);
		sync_disk(n);
		net_check_node(net, n);
		if (!net->no_compact && net_chance(net, 60))
			net_compact(n);
	}
	for (i = 0; i < 60 && net->wire->len > 0; i++) {
		if (net_vote_settled(net))
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

void
net_print_nodes(struct net *net)
{
	int i;
	size_t k;

	for (i = 0; i < NET_SLOTS; i++) {
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
