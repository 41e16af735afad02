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
 *	after each call. A leader answers the entries' calls, places queued
 *	tasks and orders entries to send their starts. It orders a start only
 *	after the placement is committed.
 *
 *	Commands are proposed as one batch at a time; commands that arrive
 *	while a batch is not committed yet go into the next one.
 *
 *	Times are milliseconds of a monotonic clock that includes suspension.
 */

struct gyp_replica_config {
	uint64_t id;
	const char *address; /* "ip:port" at which other processes reach it */
	const char *data_centre; /* NULL when unknown */
	uint32_t seed;
	uint32_t election_ms;
	uint32_t heartbeat_ms;
	uint32_t endpoint_lease_ms;
	uint32_t entry_lease_ms;
	uint32_t start_window_ms; /* validity of a start order */
	uint32_t voters;          /* members with a vote; others are learners */
	/* Longest time until a lost voter is replaced; 0: default. */
	uint32_t catch_up_ms;
	uint64_t compact_bytes; /* see gyp_replica_compact_limit() */
	uint32_t run_lease_ms;  /* longest lease of endpoints that run flows */
	uint32_t stop_grace_ms; /* longest time that a stop takes there */
	/* Followers relay heartbeats from this number of endpoints on. */
	uint32_t relay_heartbeats_from; /* 0: never */
	bool learn_run_times;           /* decisions use learned run times */
	bool fence_incarnations;        /* see struct gyp_fleet_config */
	bool inventory;                 /* see struct gyp_fleet_config */
};

/*
 * Default time in which the replica that replaces a lost voter gets the vote,
 * in ms.
 */
#define GYP_CATCH_UP_MS (2 * 60 * 1000)

/* A frame for another process. */
struct gyp_out_frame {
	uint64_t to;    /* replica id or entry incarnation */
	bool entry;     /* true when `to` is an entry */
	char *address;  /* of the replica, NULL when unknown or for an entry */
	GBytes *packed; /* Gyp__Frame */
};

/*
 * Bytes of applied entries at which this replica makes a snapshot: from a half
 * to three halves of the sum of compact_bytes and the size of its last
 * snapshot, depending on the replica's id.
 *
 * A replica does nothing else while it packs a snapshot, which takes as long as
 * the tables are large. With a log of the size of the snapshot this is a fixed
 * share of its time, also when single entries have megabytes.
 *
 * The logs of all replicas grow at the same rate. Different limits keep the
 * replicas from packing at the same moment.
 */
uint64_t gyp_replica_compact_limit(
    const struct gyp_replica_config *, uint64_t snapshot_bytes);

/*
 * How long this replica waits with a snapshot from then on, in ms. An entry of
 * megabytes brings several replicas to their limits at once, and a leader keeps
 * its lease only if most of them answer.
 */
uint32_t gyp_replica_compact_delay_ms(const struct gyp_replica_config *);

struct gyp_replica;

struct gyp_replica *gyp_replica_new(const struct gyp_replica_config *);
void gyp_replica_free(struct gyp_replica *);

/*
 * Starts a new cell. When members is NULL, this replica is the only one;
 * otherwise each member must start with the same list.
 */
void gyp_replica_bootstrap(struct gyp_replica *, const Gyp__Config *members);

/* Loads a stored record; call for all in order before the first tick. */
void gyp_replica_load(struct gyp_replica *, const struct gyp_record *);

/* Interval at which the caller calls gyp_replica_tick(), in ms. */
#define GYP_TICK_MS 20
void gyp_replica_tick(struct gyp_replica *, uint64_t now);

/*
 * Handles a frame from the process that introduced itself with the id `from`.
 */
void gyp_replica_receive(
    struct gyp_replica *, uint64_t now, uint64_t from, const Gyp__Frame *);

/*
 * gyp_replica_receive() in two steps: accepts frames, then processes them.
 *
 * In a burst many frames wait at once: the work that they allow is done once
 * after all of them, not after each.
 */
void gyp_replica_accept(
    struct gyp_replica *, uint64_t now, uint64_t from, const Gyp__Frame *);
void gyp_replica_process_accepted(struct gyp_replica *, uint64_t now);

/* An entry has reconnected; orders sent before may be lost. */
void gyp_replica_entry_connected(
    struct gyp_replica *, uint64_t now, uint64_t entry);

/* The connection of an entry was closed. */
void gyp_replica_entry_disconnected(
    struct gyp_replica *, uint64_t now, uint64_t entry);

/* All records up to sequence number seq are on the disk. */
void gyp_replica_synced(struct gyp_replica *, uint64_t now, uint64_t seq);

/* Takes the next frame to send; the caller frees address and unrefs packed. */
bool gyp_replica_pop_frame(struct gyp_replica *, struct gyp_out_frame *);

/* Takes the next record to write; the caller unrefs data when not NULL. */
bool gyp_replica_pop_record(struct gyp_replica *, struct gyp_record *);

/*
 * Transfers leadership to another replica, if one is able to lead; from then on
 * this one does not serve.
 */
void gyp_replica_transfer_leadership(struct gyp_replica *);

/*
 * The disk is full: leadership is given up at once, and until the resumption
 * this replica neither serves, votes nor acknowledges.
 */
void gyp_replica_suspend(struct gyp_replica *, uint64_t now);
void gyp_replica_resume(struct gyp_replica *, uint64_t now);

/* True while this replica leads and may answer calls. */
bool gyp_replica_serving(const struct gyp_replica *);

/*
 * Handles a call from this process; false when this replica is not serving. The
 * reply can be popped later, unless leadership is lost first.
 */
bool gyp_replica_local_call(
    struct gyp_replica *, uint64_t now, const Gyp__Call *);
Gyp__Reply *gyp_replica_pop_local_reply(struct gyp_replica *);

/*
 * Proposes a manifest of this process and takes it over; false, and the
 * manifest stays with the caller, when this replica is not serving. Nothing is
 * proposed if the tables hold a manifest of that version or a higher one. The
 * proposal has succeeded when they do; it may be lost with the leadership.
 */
bool gyp_replica_local_manifest(
    struct gyp_replica *, uint64_t now, Gyp__CmdManifest *);

enum gyp_heartbeat_result {
	/* Nothing new; the leader has it, or gets it from this follower. */
	GYP_HEARTBEAT_TAKEN,
	/* It reports a change, which this leader must commit. */
	GYP_HEARTBEAT_CHANGED,
	/* This replica does not lead and may not answer for the leader. */
	GYP_HEARTBEAT_NO_LEADER
};

/*
 * Handles a heartbeat of an endpoint that runs flows, with the reading of its
 * clock or 0.
 *
 * Handles this load: thousands of endpoints whose heartbeats would take most of
 * the leader's CPU time, and which would all look for the new leader at once.
 * From cfg.relay_heartbeats_from endpoints on, a follower that is in contact
 * with the leader answers a heartbeat that reports nothing new, and relays it
 * with others in one frame. When the leader does not confirm these frames,
 * endpoints are redirected to it: an endpoint without heartbeats at the leader
 * gets no runs and is removed in the end.
 */
enum gyp_heartbeat_result gyp_replica_heartbeat(struct gyp_replica *,
    uint64_t now, const Gyp__CmdHost *reported, uint64_t clock_ms);

/*
 * Address ("ip:port") of the replica to which an endpoint is to send its next
 * heartbeats; NULL if any will do. Spreads the endpoints over the followers
 * that are in contact; leader only.
 */
const char *gyp_replica_heartbeat_address(
    const struct gyp_replica *, const char *endpoint);

/*
 * Pops a call to make at an endpoint that runs flows, owned by the caller; NULL
 * if none may be made now. Its answer is passed to
 * gyp_replica_endpoint_call_answered().
 */
struct gyp_fleet_call *gyp_replica_pop_endpoint_call(struct gyp_replica *);
void gyp_replica_endpoint_call_answered(
    struct gyp_replica *, uint64_t now, const struct gyp_fleet_answer *);

/*
 * Pops the number of a request for the provider's list of endpoints; false if
 * none may be made now. The list is passed to gyp_replica_inventory_answered().
 */
bool gyp_replica_pop_inventory_request(struct gyp_replica *, uint64_t *request);
void gyp_replica_inventory_answered(
    struct gyp_replica *, uint64_t now, const struct gyp_inventory_answer *);

/* Lines for the log; the caller releases the fields. */
struct gyp_events *gyp_replica_events(struct gyp_replica *);

/* Address at which the leader listens, or NULL when it is unknown. */
const char *gyp_replica_leader_address(const struct gyp_replica *);

/* Sets the Unix time, which is used for the due times of repeated flows. */
void gyp_replica_set_wall_clock(struct gyp_replica *, uint64_t wall_ms);

/*
 * Counters of this replica's time as leader; the cell's are the sum over all
 * replicas.
 */
struct gyp_counters *gyp_replica_counters(const struct gyp_replica *);

const struct gyp_raft *gyp_replica_raft(const struct gyp_replica *);
const struct gyp_state *gyp_replica_state(const struct gyp_replica *);

#endif
