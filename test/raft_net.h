#ifndef RAFT_NET_H
#define RAFT_NET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"
#include "raft.h"

/*
 * NAME
 *	raft_net - replicas of the log in one process
 *
 * DESCRIPTION
 *	Disks keep only what was synced. A seeded random pick loses, doubles,
 *	delays and reorders messages, cuts links one way, stops and freezes
 *	replicas, loses disks and changes members. What must hold is checked
 *	on the way.
 */

#define NET_SLOTS       6
#define NET_STEP_MS     10
#define NET_ELECTION_MS 300
#define NET_VOTERS      5
#define NET_CHUNK_BYTES 150

struct net;

struct node {
	struct gyp_raft_io io;
	struct net *net;
	struct gyp_raft *raft; /* NULL while stopped */
	uint64_t id;
	int slot;
	GArray *disk;    /* struct gyp_record */
	guint synced;    /* records of it */
	guint start_len; /* records there when the process started */
	bool frozen;
	GPtrArray *inbox; /* messages that arrived while frozen */
	uint64_t index;   /* state machine: last index and hash */
	uint64_t hash;
};

/* What is known to be committed, by index. */
struct committed_entry {
	uint64_t hash;
	uint64_t term;       /* of the entry */
	uint64_t known_term; /* a term in which it was known as committed */
};

struct net {
	struct node nodes[NET_SLOTS];
	GPtrArray *in_flight; /* Gyp__RaftMsg */
	GRand *rand;
	guint32 seed;
	uint64_t now;
	uint64_t max_term;
	uint32_t proposed;
	size_t state_bytes;  /* of a snapshot */
	uint32_t chunks;     /* sent */
	uint32_t drop_chunk; /* one in so many, 0 for none */
	int target_voters;   /* wanted */
	int fault_rate;      /* of faults, 1 is slowest */
	bool no_proposals;   /* a quiet time */
	bool no_compact;
	bool keep_voters; /* members are not removed by themselves */
	uint32_t disks_lost, config_changes, snapshots_restored;
	bool cut[NET_SLOTS][NET_SLOTS];
	bool hold_cut;       /* cut links keep messages for later */
	GPtrArray *held;     /* Gyp__RaftMsg */
	GArray *committed;   /* struct truth, index 0 unused */
	GHashTable *leaders; /* term -> id */
	uint64_t watched_id; /* see vote_settled() */
	GHashTable *configs; /* hashes of committed configurations */
};

bool net_chance(struct net *net, int one_in);
void net_compact(struct node *n);
void net_start(struct node *n);
void net_stop(struct node *n);
void net_lose_disk(struct node *n);
struct node *net_random_node(struct net *net);
struct node *net_settled_leader(struct net *net);
void net_init(struct net *net, guint32 seed);
void net_clear(struct net *net);
/* raft_net_check.c: what must hold of a new leader, a running replica, all
 * logs. */
void net_check_leader(struct net *net, const struct node *n);
void net_check_node(struct net *net, const struct node *n);
void net_check_logs(struct net *net);
void net_unfreeze(struct net *net, struct node *n);
const Gyp__Member *net_member(const Gyp__Config *c, uint64_t id);
int net_count_voters(struct net *net, const Gyp__Config *c, int *intact);
void net_cut_links(struct net *net, int a);
void net_heal(struct net *net);
bool net_watched_is_voter(struct net *net);
void net_step(struct net *net, bool faults);
void net_print_nodes(struct net *net);

#endif
