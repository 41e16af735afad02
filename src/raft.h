#ifndef GYP_RAFT_H
#define GYP_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "record.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	raft - replicated log with elections and membership change
 *
 * DESCRIPTION
 *	A deterministic state machine: time and messages come in as arguments,
 *	messages and records go out through struct gyp_raft_io, whose send and
 *	write functions must only queue. Elections use a pre-vote. A leader
 *	steps down when no majority has answered messages that it sent within
 *	the last election timeout.
 *
 *	Records written get increasing sequence numbers. Votes and
 *	acknowledgements are held back until gyp_raft_synced() covers the
 *	records that they depend on.
 *
 *	Membership changes by one configuration entry at a time. From the
 *	append of this entry until its commit, commits and elections need a
 *	majority of the old and of the new configuration. One entry may
 *	therefore replace a lost replica by its successor.
 *
 *	All times are milliseconds of a monotonic clock.
 */

enum gyp_raft_role {
	GYP_RAFT_FOLLOWER,
	GYP_RAFT_PRECANDIDATE,
	GYP_RAFT_CANDIDATE,
	GYP_RAFT_LEADER
};

struct gyp_raft_io;

struct gyp_raft_io_ops {
	/* Queues a message; msg is valid during the call only. */
	void (*send)(struct gyp_raft_io *, uint64_t to, const Gyp__RaftMsg *);
	/* Queues a record; sequence numbers start at 1, in call order. */
	void (*write)(struct gyp_raft_io *, const struct gyp_record *);
	/* Applies one committed entry; called in index order. */
	void (*apply)(struct gyp_raft_io *, const struct gyp_log_entry *);
	/* Replaces all applied state by the state of a snapshot. */
	void (*restore)(struct gyp_raft_io *, const Gyp__SnapshotFile *);
};

struct gyp_raft_io {
	const struct gyp_raft_io_ops *ops;
};

struct gyp_raft_config {
	uint64_t id;          /* this replica, never 0 */
	uint32_t election_ms; /* shortest election timeout; longest: twice */
	uint32_t heartbeat_ms;
	uint32_t seed;         /* of the random election timeouts */
	uint32_t append_bytes; /* of entries per message, 0 for the default */
	uint32_t chunk_bytes; /* of a snapshot per message, 0 for the default */
};

struct gyp_raft;

struct gyp_raft *gyp_raft_new(
    const struct gyp_raft_config *, struct gyp_raft_io *);
void gyp_raft_free(struct gyp_raft *);

/*
 * Starts a new log with these members. All of them must be bootstrapped with
 * the same list, so that their first entries are equal.
 */
void gyp_raft_bootstrap(struct gyp_raft *, const Gyp__Config *);

/* Loads one stored record; called in write order, before the first tick. */
void gyp_raft_load(struct gyp_raft *, const struct gyp_record *);

/* Advances time; call at least once every heartbeat interval. */
void gyp_raft_tick(struct gyp_raft *, uint64_t now);

/* Handles one received message. */
void gyp_raft_step(struct gyp_raft *, uint64_t now, const Gyp__RaftMsg *);

/* Reports that all records up to sequence number seq are synced to disk. */
void gyp_raft_synced(struct gyp_raft *, uint64_t now, uint64_t seq);

/*
 * Appends an entry and returns its index; 0 when this replica does not lead or
 * is transferring its leadership.
 */
uint64_t gyp_raft_propose(struct gyp_raft *, uint32_t kind, GBytes *data);

/*
 * Appends a configuration entry and returns its index; 0 when this replica is
 * not a ready leader, is transferring its leadership, or another change is in
 * progress.
 */
uint64_t gyp_raft_propose_config(struct gyp_raft *, const Gyp__Config *);

/*
 * Replaces the log up to index, which must be applied, by a snapshot; state is
 * the packed state at that index.
 */
void gyp_raft_compact(struct gyp_raft *, uint64_t index, GBytes *state);

/*
 * Starts a transfer of leadership to the voter with the highest match index
 * among those that answered within two heartbeat intervals; it is sent a
 * timeout-now message, which makes it campaign, as soon as it holds all
 * entries. Returns false when there is none. Proposals are refused until then,
 * for one election timeout at most. May be called again.
 */
bool gyp_raft_transfer_leadership(struct gyp_raft *);

/*
 * Stops taking part while records cannot be written: a leader asks another
 * voter to take over and steps down; messages held back for a sync are dropped.
 * Until gyp_raft_resume() this replica handles no message, does not vote,
 * acknowledge or campaign. Records that were written before may be reported as
 * synced meanwhile.
 */
void gyp_raft_suspend(struct gyp_raft *, uint64_t now);
void gyp_raft_resume(struct gyp_raft *, uint64_t now);
bool gyp_raft_is_suspended(const struct gyp_raft *);

/*
 * True while this replica leads and a majority has answered messages sent
 * within the last election_ms - heartbeat_ms.
 */
bool gyp_raft_has_lease(const struct gyp_raft *, uint64_t now);

/*
 * True when this replica leads and has applied the first entry of its term,
 * and so every entry committed in earlier terms.
 */
bool gyp_raft_ready(const struct gyp_raft *);

enum gyp_raft_role gyp_raft_role(const struct gyp_raft *);
uint64_t gyp_raft_id(const struct gyp_raft *);
uint64_t gyp_raft_term(const struct gyp_raft *);

/*
 * The term of the last log entry before the first one of this leader; 0 for an
 * empty log. Every leader in between that was ready has an entry in the log.
 */
uint64_t gyp_raft_previous_term(const struct gyp_raft *);

/* The id of the leader, which may be this replica; 0 when unknown. */
uint64_t gyp_raft_leader(const struct gyp_raft *);

/*
 * True when this replica does not lead and no leader has contacted it for four
 * election timeouts.
 */
bool gyp_raft_is_leaderless(const struct gyp_raft *);

/*
 * True while another replica leads and has contacted this one within an
 * election timeout.
 */
bool gyp_raft_has_leader(const struct gyp_raft *);

/* Time of the latest message of another leader, 0 for none. */
uint64_t gyp_raft_leader_contact(const struct gyp_raft *);
uint64_t gyp_raft_commit_index(const struct gyp_raft *);

/*
 * When all replicas restart with a long log, they receive its commit index in
 * one message, while dozens of frames wait in each iteration of the event loop.
 * The call that advances the commit index therefore applies at most
 * GYP_RAFT_APPLY_MAX entries, and gyp_raft_apply_more(), called once per
 * iteration, applies the rest in steps of the same size, so that heartbeats are
 * not delayed.
 */
#define GYP_RAFT_APPLY_MAX 256
bool gyp_raft_has_unapplied(const struct gyp_raft *);
void gyp_raft_apply_more(struct gyp_raft *);

uint64_t gyp_raft_applied_index(const struct gyp_raft *);
uint64_t gyp_raft_last_index(const struct gyp_raft *);
uint64_t gyp_raft_snapshot_index(const struct gyp_raft *);

/* Term of an entry in the log; 0 when it is absent or compacted. */
uint64_t gyp_raft_entry_term(const struct gyp_raft *, uint64_t index);

/* Bytes of the entries after the last snapshot. */
uint64_t gyp_raft_log_bytes(const struct gyp_raft *);

/* The newest configuration, committed or not; never NULL. */
const Gyp__Config *gyp_raft_members(const struct gyp_raft *);

/*
 * True while a configuration entry is uncommitted; on the leader also until a
 * majority has acknowledged its commit.
 */
bool gyp_raft_is_reconfiguring(const struct gyp_raft *);

/* Last index that a member is known to hold; 0 when unknown. Leader only. */
uint64_t gyp_raft_match_index(const struct gyp_raft *, uint64_t id);

/*
 * Time of the last contact with a member, counted from the sending: when the
 * leader sent the latest message that the member answered, in ms. Before its
 * first answer the time of the election, or 0 for a member added since; 0 also
 * for an unknown member. Leader only.
 */
uint64_t gyp_raft_last_seen(const struct gyp_raft *, uint64_t id);

#endif
