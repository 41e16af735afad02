#ifndef GYP_RECORD_H
#define GYP_RECORD_H

#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	record - records that a replica writes to its disk
 *
 * DESCRIPTION
 *	The Raft code hands records to the store in order; the store writes
 *	them and reports each batch once it is synced. An entry record
 *	replaces all earlier entry records at its index and above.
 */

enum gyp_record_type {
	GYP_RECORD_VOTE = 1,    /* term and vote */
	GYP_RECORD_ENTRY = 2,   /* one log entry */
	GYP_RECORD_SNAPSHOT = 3 /* replaces the log up to index */
};

enum gyp_vote_flag {
	/* The newest configuration took the replica's vote away. */
	GYP_VOTE_FORMER_VOTER = 1,
	/* The replica was the leader of the term. */
	GYP_VOTE_WAS_LEADER = 2
};

struct gyp_record {
	uint64_t term;
	uint64_t vote; /* replica id, 0 for none */
	/*
	 * Log index of an entry or snapshot; in a vote record, the highest
	 * index up to which configurations are known to be committed.
	 */
	uint64_t index;
	GBytes *data; /* entry data, or a packed Gyp__SnapshotFile */
	enum gyp_record_type type;
	/*
	 * Of an entry, its Gyp__EntryKind; of a snapshot, 1 if it voids all
	 * entries; of a vote, flags of enum gyp_vote_flag.
	 */
	uint32_t kind;
};

/* One entry of the log in memory; data is owned. */
struct gyp_log_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	GBytes *data;
};

#endif
