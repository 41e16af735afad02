#ifndef GYP_REPLICA_H
#define GYP_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "counters.h"
#include "event.h"
#include "fleet.h"
#include "policy.h"
#include "raft.h"
#include "record.h"
#include "state.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	replica - one replica of the cell: log, tables and decisions
 *
 * DESCRIPTION
 *	Deterministic: time, frames and sync notices come in as arguments;
 *	frames and records go out through two queues that the caller empties
 *	after each call. While it leads, it answers the entries' calls, places
 *	queued tasks and tells entries which starts to send. A start is told
 *	only after its placement is committed.
 *
 *	Commands are proposed as one batch at a time; what arrives while a
 *	batch is under way goes into the next one.
 *
 *	Times are milliseconds of a monotonic clock that counts suspension.
 */

struct gyp_replica_config {
	uint64_t id;
	const char *address;     /* "ip:port" where other processes reach it */
	const char *data_centre; /* NULL when unknown */
	uint32_t seed;
	uint32_t election_ms;
	uint32_t heartbeat_ms;
	uint32_t endpoint_lease_ms;
	uint32_t entry_lease_ms;
	uint32_t start_window_ms; /* life of a start order */
	uint32_t voters; /* members with a vote; further ones are spares */
	uint32_t
	    catch_up_ms; /* in which a VM's successor gets the vote, or 0 */
	uint64_t compact_bytes; /* log size that makes a snapshot worthwhile */
	uint32_t run_lease_ms;  /* longest lease of endpoints that run flows */
	uint32_t stop_grace_ms; /* longest time that a stop takes there */
};

/* Time in which the successor of a voter's VM gets its vote, unless set. */
#define GYP_CATCH_UP_MS (2 * 60 * 1000)

/* A frame for another process. */
struct gyp_out_frame {
	uint64_t to;    /* replica id or entry incarnation */
	bool entry;     /* which of the two */
	char *address;  /* of a replica; NULL for entries */
	GBytes *packed; /* Gyp__Frame */
};

/*
 * Load pattern answered: all replicas' logs grow alike, and packing a snapshot
 * takes one from its work. So that they do not all pack at the same moment,
 * each has a limit of its own, from a half to three halves of compact_bytes.
 */
uint64_t gyp_replica_compact_limit(const struct gyp_replica_config *);

struct gyp_replica;

struct gyp_replica *gyp_replica_new(const struct gyp_replica_config *);
void gyp_replica_free(struct gyp_replica *);

/*
 * Starts a new cell. Without members, this replica is the only one; else
 * each of the members must start with the same list.
 */
void gyp_replica_bootstrap(struct gyp_replica *, const Gyp__Config *members);

/* Feeds stored records, in order, before the first tick. */
void gyp_replica_load(struct gyp_replica *, const struct gyp_record *);

/* Call every GYP_TICK_MS. */
#define GYP_TICK_MS 20
void gyp_replica_tick(struct gyp_replica *, uint64_t now);

/* A frame from the process that introduced itself by the id `from`. */
void gyp_replica_receive(
    struct gyp_replica *, uint64_t now, uint64_t from, const Gyp__Frame *);

/*
 * The same in two parts. Load pattern answered: a burst in which many frames
 * wait at once. What they make possible is done once after all of them, not
 * after each.
 */
void gyp_replica_accept(
    struct gyp_replica *, uint64_t now, uint64_t from, const Gyp__Frame *);
void gyp_replica_process_accepted(struct gyp_replica *, uint64_t now);

/* The connection of an entry was opened anew. */
void gyp_replica_entry_connected(
    struct gyp_replica *, uint64_t now, uint64_t entry);

/* Records up to the sequence number are on the disk. */
void gyp_replica_synced(struct gyp_replica *, uint64_t now, uint64_t seq);

/* Takes the next frame to send; the caller frees address and packed. */
bool gyp_replica_pop_frame(struct gyp_replica *, struct gyp_out_frame *);

/* Takes the next record to write; the caller unrefs data when not NULL. */
bool gyp_replica_pop_record(struct gyp_replica *, struct gyp_record *);

/* Stops serving and asks another replica to lead. */
void gyp_replica_transfer_leadership(struct gyp_replica *);

/* True while this replica leads and may answer calls. */
bool gyp_replica_serving(const struct gyp_replica *);

/*
 * A call of this very process; false when this replica does not serve. Its
 * reply is popped later, unless leadership is lost before.
 */
bool gyp_replica_local_call(
    struct gyp_replica *, uint64_t now, const Gyp__Call *);
Gyp__Reply *gyp_replica_pop_local_reply(struct gyp_replica *);

/* A heartbeat of an endpoint that runs flows; false when it is not serving. */
bool gyp_replica_heartbeat(struct gyp_replica *, uint64_t now,
    const char *endpoint, uint64_t born_ms, uint64_t clock_ms);

/* Calls to make at endpoints that run flows, and their answers. */
struct gyp_fleet_call *gyp_replica_pop_endpoint_call(struct gyp_replica *);
void gyp_replica_endpoint_call_answered(
    struct gyp_replica *, uint64_t now, const struct gyp_fleet_answer *);

/* Lines for the log; the caller releases the fields. */
struct gyp_events *gyp_replica_events(struct gyp_replica *);

/* Where the leader listens, or NULL when it is not known. */
const char *gyp_replica_leader_address(const struct gyp_replica *);

/* Unix time, for due times of repeated flows. */
void gyp_replica_set_wall_clock(struct gyp_replica *, uint64_t wall_ms);

/* Counted while this replica leads; the sum over replicas is the cell's. */
struct gyp_counters *gyp_replica_counters(const struct gyp_replica *);

const struct gyp_raft *gyp_replica_raft(const struct gyp_replica *);
const struct gyp_state *gyp_replica_state(const struct gyp_replica *);

#endif
