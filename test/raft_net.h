#ifndef RAFT_NET_H
#define RAFT_NET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"
#include "raft.h"

/*
 * NAME
 *	raft_net - simulated network of log replicas in one process
 *
 * DESCRIPTION
 *	Simulated disks keep the synced records and a random prefix of the
 *	rest. A seeded random generator loses, duplicates, delays and reorders
 *	messages, cuts links in one or both directions, stops and freezes
 *	replicas, loses disks and changes members. The invariants of the log
 *	are checked as it runs.
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
	guint synced;    /* number of synced records on disk */
	guint start_len; /* records on disk when the process started */
	bool frozen;
	GPtrArray *inbox; /* messages that arrived while frozen */
	uint64_t index;   /* state machine: last applied index */
	uint64_t hash;    /* state machine: hash of all applied entries */
};

/* An entry that some replica has applied. */
struct committed_entry {
	uint64_t hash;       /* of all entries up to this one */
	uint64_t term;       /* of the entry */
	uint64_t known_term; /* term of the replica that first applied it */
};

/* Committed entries that a replica is known to have on its disk. */
struct kept_entries {
	uint64_t id;    /* of the replica */
	uint64_t index; /* of the last one */
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
	uint32_t chunks;     /* snapshot chunks sent */
	uint32_t drop_chunk; /* drops one chunk in this many, 0 for none */
	int target_voters;   /* voters that update_members() aims for */
	int fault_rate;      /* 1 is lowest */
	bool no_proposals;
	bool no_compact;
	bool keep_voters; /* no random demotions or removals of voters */
	uint32_t disks_lost, config_changes, snapshots_restored;
	bool cut[NET_SLOTS][NET_SLOTS];
	bool hold_cut;       /* cut links hold messages until they heal */
	GPtrArray *held;     /* Gyp__RaftMsg */
	GArray *committed;   /* struct committed_entry, from index 1 */
	GHashTable *leaders; /* term -> id */
	struct kept_entries kept[NET_SLOTS];
	uint64_t watched_id; /* for net_watched_is_voter(), 0 for none */
	GHashTable *configs; /* hashes of committed configurations */
};

/* raft_net.c */
bool net_chance(struct net *net, int one_in);
void net_compact(struct node *n);
void net_start(struct node *n);
void net_stop(struct node *n);
void net_lose_disk(struct node *n);
struct node *net_random_node(struct net *net);
struct node *net_settled_leader(struct net *net);
void net_init(struct net *net, guint32 seed);
void net_clear(struct net *net);

/* raft_net_check.c: invariants of a new leader, a running replica, all logs */
void net_check_leader(struct net *net, const struct node *n);
void net_check_node(struct net *net, const struct node *n);
void net_check_logs(struct net *net);

/* raft_net.c */
void net_unfreeze(struct net *net, struct node *n);
const Gyp__Member *net_member(const Gyp__Config *c, uint64_t id);
int net_count_voters(struct net *net, const Gyp__Config *c, int *intact);
void net_cut_links(struct net *net, int a);
void net_heal(struct net *net);
bool net_watched_is_voter(struct net *net);
void net_step(struct net *net, bool faults);
void net_print_nodes(struct net *net);

#endif
