#include "raft_int.h"
#include "raft_net.h"

/*
 * A term has one leader, and its log holds all entries committed in earlier
 * terms.
 */
void
net_check_leader(struct net *net, const struct node *n)
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
	for (i = gyp_raft_snapshot_index(n->raft) + 1; i < net->committed->len;
	     i++) {
		const struct committed_entry *e =
		    &g_array_index(net->committed, struct committed_entry, i);

		if (e->known_term < term)
			g_assert_cmpuint(
			    gyp_raft_entry_term(n->raft, i), ==, e->term);
	}
}

/*
 * A leader that holds its lease may answer reads without a quorum, so no other
 * replica may lead a later term. During a transfer it answers no reads.
 */
static void
check_lease(struct net *net, const struct node *n)
{
	int i;

	if (!gyp_raft_has_lease(n->raft, net->now) ||
	    n->raft->transfer_target != 0)
		return;
	for (i = 0; i < NET_SLOTS; i++) {
		const struct node *other = &net->nodes[i];

		if (other->raft != NULL &&
		    gyp_raft_role(other->raft) == GYP_RAFT_LEADER)
			g_assert_cmpuint(gyp_raft_term(other->raft), <=,
			    gyp_raft_term(n->raft));
	}
}

/* A configuration that is not pending has been committed. */
static void
check_config(struct net *net, const struct node *n)
{
	const Gyp__Config *c = gyp_raft_members(n->raft);
	GBytes *packed;

	if (gyp_raft_is_reconfiguring(n->raft) || c->n_members == 0)
		return;
	packed = gyp_message_pack(&c->base);
	g_assert_true(g_hash_table_contains(
	    net->configs, GUINT_TO_POINTER(g_bytes_hash(packed))));
	g_bytes_unref(packed);
}

/* If two logs have equal terms at an index, they are equal up to it. */
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

void
net_check_logs(struct net *net)
{
	int i, k;

	for (i = 0; i < NET_SLOTS; i++) {
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

/* Returns the last index up to limit at which n holds the committed entry. */
static uint64_t
last_committed_held(const struct net *net, const struct node *n, uint64_t limit)
{
	uint64_t snap = gyp_raft_snapshot_index(n->raft);
	uint64_t i = MIN(limit, net->committed->len - 1);

	while (
	    i > snap &&
	    gyp_raft_entry_term(n->raft, i) !=
		g_array_index(net->committed, struct committed_entry, i).term)
		i--;
	return i;
}

/*
 * A committed entry that a replica has synced stays in its log, or in its
 * snapshot, until its disk is lost. Otherwise fewer disks than a majority may
 * hold the entry.
 */
static void
check_kept(struct net *net, const struct node *n)
{
	struct kept_entries *kept = &net->kept[n->slot];
	uint64_t held =
	    last_committed_held(net, n, gyp_raft_last_index(n->raft));

	if (kept->id != n->id)
		kept->index = 0;
	kept->id = n->id;
	g_assert_cmpuint(held, >=, kept->index);
	kept->index = MAX(
	    kept->index, last_committed_held(net, n, n->raft->persisted_index));
}

void
net_check_node(struct net *net, const struct node *n)
{
	net_check_leader(net, n);
	check_lease(net, n);
	check_kept(net, n);
}
