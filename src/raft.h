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
 *	messages and records go out through struct gyp_raft_io, whose functions
 *	must only queue. Elections use a pre-vote and a leader gives up when it
 *	has not heard from a majority for one election timeout.
 *
 *	Records written get rising sequence numbers. Votes and acknowledgements
 *	wait in here until gyp_raft_synced() covers the records they rest on.
 *
 *	Membership changes one configuration entry at a time. From the append
 *	of such an entry until its commit, commits and elections need a majority
 *	of the old and of the new configuration; one entry may therefore replace
 *	a lost replica by its successor.
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
	/* Queues a record; sequence numbers count from 1 in call order. */
	void (*write)(struct gyp_raft_io *, const struct gyp_record *);
	/* Hands over one committed entry, in index order. */
	void (*apply)(struct gyp_raft_io *, const struct gyp_log_entry *);
	/* Replaces all applied state by that of a snapshot. */
	void (*restore)(struct gyp_raft_io *, const Gyp__SnapshotFile *);
};

struct gyp_raft_io {
	const struct gyp_raft_io_ops *ops;
};

struct gyp_raft_config {
	uint64_t id;          /* this replica, never 0 */
	uint32_t election_ms; /* shortest election timeout; longest is twice */
	uint32_t heartbeat_ms;
	uint32_t seed;         /* for the spread of election timeouts */
	uint32_t append_bytes; /* entries in one message, 0 for the default */
	uint32_t chunk_bytes;  /* of a snapshot in one message, likewise */
};

struct gyp_raft;

struct gyp_raft *gyp_raft_new(
    const struct gyp_raft_config *, struct gyp_raft_io *);
void gyp_raft_free(struct gyp_raft *);

/*
 * Makes a new log with these members. Where there are several, each of them
 * must begin with the same list, so that their first entries are equal.
 */
void gyp_raft_bootstrap(struct gyp_raft *, const Gyp__Config *);

/* Feeds one stored record, in order, before the first tick. */
void gyp_raft_load(struct gyp_raft *, const struct gyp_record *);

/* Advances time; call at least every heartbeat interval. */
void gyp_raft_tick(struct gyp_raft *, uint64_t now);

void gyp_raft_step(struct gyp_raft *, uint64_t now, const Gyp__RaftMsg *);

/* All records up to sequence number seq are on the disk. */
void gyp_raft_synced(struct gyp_raft *, uint64_t now, uint64_t seq);

/* Appends an entry; returns its index, or 0 when not (or no longer) leading. */
uint64_t gyp_raft_propose(struct gyp_raft *, uint32_t kind, GBytes *data);

/* Proposes a configuration; 0 when not possible now. */
uint64_t gyp_raft_change(struct gyp_raft *, const Gyp__Config *);

/* Drops the log up to index; state is the packed state at that index. */
void gyp_raft_compact(struct gyp_raft *, uint64_t index, GBytes *state);

/*
 * Lets the most advanced of the voters that answer take over, as soon as it
 * holds all entries; false when there is none. Proposals are refused until
 * then, for one election timeout at most. May be called again.
 */
bool gyp_raft_hand_over(struct gyp_raft *);

/* True while a majority answered within the shortest election timeout. */
bool gyp_raft_has_lease(const struct gyp_raft *, uint64_t now);

/* True when the latest entry of the leader's own term is applied. */
bool gyp_raft_ready(const struct gyp_raft *);

enum gyp_raft_role gyp_raft_role(const struct gyp_raft *);
uint64_t gyp_raft_id(const struct gyp_raft *);
uint64_t gyp_raft_term(const struct gyp_raft *);
uint64_t gyp_raft_leader(const struct gyp_raft *);
/* True when no leader has spoken to it for four election timeouts. */
bool gyp_raft_is_alone(const struct gyp_raft *);
uint64_t gyp_raft_commit(const struct gyp_raft *);

/*
 * Load pattern answered: all replicas are back with a long log and learn at
 * once that it is committed, while dozens of frames wait in each turn of the
 * loop. What makes the commit known applies so many entries at most; the rest
 * is left to gyp_raft_go_on(), once a turn, so that heartbeats go on.
 */
#define GYP_RAFT_APPLY_MAX 256
bool gyp_raft_has_unapplied(const struct gyp_raft *);
void gyp_raft_go_on(struct gyp_raft *);

uint64_t gyp_raft_applied(const struct gyp_raft *);
uint64_t gyp_raft_last_index(const struct gyp_raft *);
uint64_t gyp_raft_snapshot_index(const struct gyp_raft *);

/* Term of an entry in the log; 0 when it is not there or compacted. */
uint64_t gyp_raft_entry_term(const struct gyp_raft *, uint64_t index);

/* Bytes of entries held since the last snapshot. */
uint64_t gyp_raft_log_bytes(const struct gyp_raft *);

/* The newest configuration, committed or not; never NULL. */
const Gyp__Config *gyp_raft_members(const struct gyp_raft *);

/* True while a configuration entry awaits its commit. */
bool gyp_raft_changing(const struct gyp_raft *);

/* How far a member is known to hold the log; 0 when unknown. Leader only. */
uint64_t gyp_raft_match(const struct gyp_raft *, uint64_t id);

/* When a member last answered, in ms; 0 for never. Leader only. */
uint64_t gyp_raft_heard(const struct gyp_raft *, uint64_t id);

#endif
