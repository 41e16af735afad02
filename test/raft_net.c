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
	g_ptr_array_add(n->net->in_flight, gyp_message_copy(&msg->base));
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
	struct committed_entry applied = {.term = e->term};
	const struct committed_entry *known;

	g_assert_cmpuint(e->index, ==, n->index + 1);
	n->index = e->index;
	n->hash = (n->hash ^ e->term ^ g_bytes_hash(e->data)) * 0x100000001b3;
	applied.hash = n->hash;
	applied.known_term = gyp_raft_term(n->raft);
	if (n->index == n->net->committed->len)
		g_array_append_val(n->net->committed, applied);
	if (e->kind == GYP__ENTRY_KIND__ENTRY_CONFIG)
		g_hash_table_add(
		    n->net->configs, GUINT_TO_POINTER(g_bytes_hash(e->data)));
	known =
	    &g_array_index(n->net->committed, struct committed_entry, n->index);
	g_assert_cmpuint(known->hash, ==, applied.hash);
}

static void
on_restore(struct gyp_raft_io *io, const Gyp__SnapshotFile *file)
{
	struct node *n = (struct node *)io;

	g_assert_cmpuint(file->state.len, >=, sizeof(n->hash));
	memcpy(&n->hash, file->state.data, sizeof(n->hash));
	n->index = file->index;
	n->net->snapshots_restored++;
	g_assert_cmpuint(n->index, <, n->net->committed->len);
	g_assert_cmpuint(
	    g_array_index(n->net->committed, struct committed_entry, n->index)
		.hash,
	    ==, n->hash);
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

/* Copies the records that the store would load, in the order of the store. */
static GArray *
copy_replayed_records(const GArray *disk)
{
	GArray *records = new_disk();
	const struct gyp_record *snapshot = NULL;
	guint i, first_entry = 0;

	/* A snapshot from another replica (kind 1) voids earlier entries. */
	for (i = 0; i < disk->len; i++) {
		const struct gyp_record *rec =
		    &g_array_index(disk, struct gyp_record, i);

		if (rec->type != GYP_RECORD_SNAPSHOT)
			continue;
		snapshot = rec;
		first_entry = rec->kind == 1 ? i : first_entry;
	}
	if (snapshot != NULL)
		g_array_append_val(records, *snapshot);
	for (i = 0; i < disk->len; i++) {
		const struct gyp_record *rec =
		    &g_array_index(disk, struct gyp_record, i);

		if (rec->type == GYP_RECORD_VOTE ||
		    (rec->type == GYP_RECORD_ENTRY && i >= first_entry))
			g_array_append_val(records, *rec);
	}
	for (i = 0; i < records->len; i++) {
		if (g_array_index(records, struct gyp_record, i).data != NULL)
			g_bytes_ref(
			    g_array_index(records, struct gyp_record, i).data);
	}
	return records;
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
	GArray *disk = copy_replayed_records(n->disk);
	guint i;

	g_array_free(n->disk, TRUE);
	n->disk = disk;
	n->start_len = n->synced = disk->len;
	n->index = n->hash = 0;
	n->raft = gyp_raft_new(&cfg, &n->io);
	for (i = 0; i < disk->len; i++)
		gyp_raft_load(
		    n->raft, &g_array_index(disk, struct gyp_record, i));
}

/* Any prefix of the unsynced records may have reached the disk. */
void
net_stop(struct node *n)
{
	guint kept = (guint)g_rand_int_range(
	    n->net->rand, (gint32)n->synced, (gint32)n->disk->len + 1);

	g_array_set_size(n->disk, kept);
	g_ptr_array_set_size(n->inbox, 0);
	n->frozen = false;
	gyp_raft_free(n->raft);
	n->raft = NULL;
}

/* Stops the replica and erases its disk; its successor has a new id. */
void
net_lose_disk(struct node *n)
{
	if (n->raft != NULL)
		net_stop(n);
	g_array_set_size(n->disk, 0);
	n->net->disks_lost++;
	n->id += 100;
}

static void
sync_disk(struct node *n)
{
	guint unsynced = n->disk->len - n->synced;

	if (unsynced == 0 || net_chance(n->net, 3))
		return;
	n->synced +=
	    (guint)g_rand_int_range(n->net->rand, 1, (gint32)unsynced + 1);
	gyp_raft_synced(n->raft, n->net->now, n->synced - n->start_len);
}

static bool
is_running(const struct node *n)
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

/* Returns the leader of the newest term if it is ready for a change. */
struct node *
net_settled_leader(struct net *net)
{
	int i;

	for (i = 0; i < NET_SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (is_running(n) && gyp_raft_ready(n->raft) &&
		    gyp_raft_term(n->raft) == net->max_term &&
		    !gyp_raft_is_reconfiguring(n->raft))
			return n;
	}
	return NULL;
}

/* Makes the first node the only member. */
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
	struct committed_entry none = {0, 0, 0};
	int i;

	memset(net, 0, sizeof(*net));
	net->seed = seed;
	net->rand = g_rand_new_with_seed(seed);
	net->in_flight = g_ptr_array_new_with_free_func(gyp_message_free);
	net->held = g_ptr_array_new_with_free_func(gyp_message_free);
	net->committed =
	    g_array_new(FALSE, FALSE, sizeof(struct committed_entry));
	g_array_append_val(net->committed, none);
	net->configs = g_hash_table_new(NULL, NULL);
	net->leaders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	net->state_bytes = 400;
	net->target_voters = NET_VOTERS;
	net->fault_rate = 1;
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
	g_ptr_array_free(net->in_flight, TRUE);
	g_ptr_array_free(net->held, TRUE);
	g_array_free(net->committed, TRUE);
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
	guint i =
	    (guint)g_rand_int_range(net->rand, 0, (gint32)net->in_flight->len);
	Gyp__RaftMsg *m = net->in_flight->pdata[i];
	struct node *to = find_node(net, m->to);
	int roll = faults ? g_rand_int_range(net->rand, 0, 100) : 50;

	/* A message may still carry the id of a lost disk: to is NULL then. */
	if (roll >= 5 && to != NULL && to->raft != NULL) {
		if (!net->cut[slot_of(m->from)][to->slot])
			deliver(net, to, m);
		else if (net->hold_cut)
			g_ptr_array_add(net->held, gyp_message_copy(&m->base));
	}
	if (roll < 95) /* else it is delivered again later */
		g_ptr_array_remove_index_fast(net->in_flight, i);
}

void
net_unfreeze(struct net *net, struct node *n)
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

	if (!is_running(n) || gyp_raft_role(n->raft) != GYP_RAFT_LEADER)
		return;
	data = g_bytes_new(&net->proposed, sizeof(net->proposed));
	net->proposed++;
	gyp_raft_propose(n->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
}

/* ---- Members ------------------------------------------------------------ */

/*
 * Proposes a change: the ids of a learner to add, a learner to promote, a
 * voter to demote and a member to remove; 0 for none.
 */
static void
propose_change(struct node *leader, uint64_t add, uint64_t promote,
    uint64_t demote, uint64_t remove)
{
	const Gyp__Config *c = gyp_raft_members(leader->raft);
	Gyp__Config next = GYP__CONFIG__INIT;
	Gyp__Member copies[NET_SLOTS * 2];
	Gyp__Member *list[NET_SLOTS * 2 + 1];
	size_t i;

	next.members = list;
	g_assert_cmpuint(c->n_members, <, NET_SLOTS * 2);
	for (i = 0; i < c->n_members; i++) {
		copies[i] = *c->members[i];
		copies[i].voter = (copies[i].voter && copies[i].id != demote) ||
				  copies[i].id == promote;
		if (copies[i].id != remove)
			list[next.n_members++] = &copies[i];
	}
	if (add != 0) {
		gyp__member__init(&copies[i]);
		copies[i].id = add;
		copies[i].address = "a";
		list[next.n_members++] = &copies[i];
	}
	if (gyp_raft_propose_config(leader->raft, &next) != 0)
		leader->net->config_changes++;
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

/* Counts the voters; in intact, those whose disk is not lost. */
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

/*
 * Returns the id of a member with another id in the same slot, a voter or a
 * learner as asked; 0 for none.
 */
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

/* Adds, promotes, demotes or removes one random member, as the rules allow. */
static void
update_members(struct net *net)
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
		propose_change(
		    leader, n->id, 0, 0, predecessor(c, n->id, false));
	} else if (!m->voter && gyp_raft_match_index(leader->raft, n->id) + 20 >
				    gyp_raft_last_index(leader->raft)) {
		old = predecessor(c, n->id, true);
		if (old != 0 || voters < net->target_voters)
			propose_change(leader, 0, n->id, 0, old);
		else if (!net->keep_voters && net_chance(net, 10))
			propose_change(leader, 0, n->id, any_voter(net, c), 0);
	} else if (m->voter && voters > net->target_voters - 2 && voters > 3 &&
		   intact - 1 > (voters - 1) / 2 && !net->keep_voters &&
		   net_chance(net, 60)) {
		propose_change(leader, 0, 0, 0, n->id);
	}
}

/*
 * Replaces a replica that is no longer a member by a new one with an empty disk
 * and a new id.
 */
static void
replace_removed(struct net *net)
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

/* Loses a disk, unless the intact voters would be no majority without it. */
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

/* Cuts all links of a replica: to it, from it or in both directions. */
void
net_cut_links(struct net *net, int a)
{
	/* 0: both directions, 1: to the replica, 2: from it */
	int direction = g_rand_int_range(net->rand, 0, 3), i;

	for (i = 0; i < NET_SLOTS; i++) {
		net->cut[a][i] = net->cut[a][i] || direction != 1;
		net->cut[i][a] = net->cut[i][a] || direction != 2;
	}
}

void
net_heal(struct net *net)
{
	guint i;

	memset(net->cut, 0, sizeof(net->cut));
	for (i = 0; i < net->held->len; i++)
		g_ptr_array_add(
		    net->in_flight, gyp_message_copy(net->held->pdata[i]));
	g_ptr_array_set_size(net->held, 0);
	net->hold_cut = net_chance(net, 2);
}

static void
inject_fault(struct net *net)
{
	struct node *n = net_random_node(net);

	if (n->raft == NULL && net_chance(net, 10 / net->fault_rate))
		net_start(n);
	else if (n->raft != NULL && net_chance(net, 100 / net->fault_rate))
		net_stop(n);
	else if (is_running(n) && net_chance(net, 100))
		n->frozen = true;
	else if (n->frozen && net_chance(net, 15))
		net_unfreeze(net, n);
	if (net_chance(net, 80 / net->fault_rate))
		net_cut_links(net, net_random_node(net)->slot);
	if (net_chance(net, 40 / net->fault_rate))
		net_heal(net);
	if (net_chance(net, 60))
		maybe_lose_disk(net);
}

/* True when the settled leader's configuration makes watched_id a voter. */
bool
net_watched_is_voter(struct net *net)
{
	const struct node *leader;
	const Gyp__Member *m;

	if (net->watched_id == 0 || (leader = net_settled_leader(net)) == NULL)
		return false;
	m = net_member(gyp_raft_members(leader->raft), net->watched_id);
	return m != NULL && m->voter;
}

void
net_step(struct net *net, bool faults)
{
	int i;

	net->now += NET_STEP_MS;
	for (i = 0; i < NET_SLOTS; i++) {
		struct node *n = &net->nodes[i];

		if (!is_running(n))
			continue;
		gyp_raft_tick(n->raft, net->now);
		gyp_raft_apply_more(n->raft);
		sync_disk(n);
		net_check_node(net, n);
		if (!net->no_compact && net_chance(net, 60))
			net_compact(n);
	}
	for (i = 0; i < 60 && net->in_flight->len > 0; i++) {
		if (net_watched_is_voter(net))
			return;
		deliver_one(net, faults);
	}
	for (i = 0; i < 4 && !net->no_proposals; i++)
		propose(net);
	update_members(net);
	replace_removed(net);
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
		    (int)gyp_raft_commit_index(n->raft),
		    gyp_raft_is_reconfiguring(n->raft));
		for (k = 0; k < c->n_members; k++)
			g_printerr(" %d%s", (int)c->members[k]->id,
			    c->members[k]->voter ? "v" : "");
		g_printerr("\n");
	}
}
