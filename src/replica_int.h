#ifndef GYP_REPLICA_INT_H
#define GYP_REPLICA_INT_H

#include "counters.h"
#include "flow_intake.h"
#include "flow_scheduler.h"
#include "leases.h"
#include "replica.h"
#include "reported_attempts.h"
#include "rules.h"
#include "usage.h"
#include "workspace_metrics.h"

/*
 * NAME
 *	replica_int - declarations shared by the files of a replica
 *
 * DESCRIPTION
 *	replica.c	log, queues, leadership and incoming frames
 *	replica_batch.c	decisions and batches of commands
 *	replica_calls.c	calls of entries and their replies
 *	replica_orders.c starts, stops and queries that entries send
 *	replica_rules.c	versions of the rules and when they are in force
 *	replica_lead.c	a leader's periodic work and its frames to entries
 *	replica_flow_requests.c	requests to queues: submit, read, cancel
 *	replica_flows.c	endpoints, the manifest, and calls to endpoints
 *	replica_heartbeats.c heartbeats of endpoints, at leader and followers
 *	replica_members.c	membership and votes
 *	admin.c		reports for operators, as JSON
 */

struct gyp_replica_listener {
	struct gyp_state_listener base;
	struct gyp_replica *replica;
};

/* Maximum entries of a cell; an endpoint's connections are divided by it. */
#define GYP_ENTRIES_MAX 7

/* The leader's record of an entry. */
struct gyp_entry_peer {
	uint64_t id;
	uint64_t last_seen; /* 0 before the first frame of a term or link */
	uint64_t lease_end; /* by the leader's clock, with margin */
	uint64_t round;     /* of its latest frame, to be echoed */
	uint64_t rules_version;
	bool draining;            /* gets no new starts */
	char *name;               /* NULL until received */
	bool frame_due;           /* a frame must be sent at once */
	uint64_t frame_due_at;    /* or by this time; 0 for none */
	GPtrArray *replies;       /* Gyp__Reply, owned */
	GPtrArray *orders;        /* Gyp__Order, owned */
	GPtrArray *queries;       /* Gyp__Ask, owned */
	GPtrArray *host_calls;    /* Gyp__HostCall, owned */
	char *address;            /* where it listens; NULL until received */
	uint64_t replicas_due_at; /* next time to send the list of replicas */
	GQueue unsent_starts; /* struct gyp_task_ref, placed but not ordered */
};

/* A call that is answered once the batch with its command is applied. */
struct gyp_waiting_call {
	uint64_t entry;
	uint64_t index; /* of the batch; 0 until it is proposed */
	guint position; /* of its command in pending_cmds, until proposed */
	Gyp__Call *call;
};

/* A call of an entry that gets another reply when the job finishes. */
struct gyp_subscriber {
	uint64_t entry;
	uint64_t call;
};

/* An operator's removal of a member that is not committed yet. */
struct gyp_member_removal {
	uint64_t member; /* 0 for none */
	uint64_t entry;
	uint64_t call;
};

/* What a follower keeps about the heartbeats that it relays. */
struct gyp_heartbeat_relay {
	GPtrArray *heartbeats;      /* Gyp__HostBeat, buffered */
	uint64_t due_at;            /* when to send them */
	uint64_t leader;            /* to which the latest were sent */
	uint64_t confirm_at;        /* when to ask for a confirmation again */
	uint64_t unconfirmed_since; /* first unanswered request; 0: none */
	uint64_t checked_at;        /* latest check for a pause */
	uint64_t paused_until;      /* nothing is relayed before */
};

struct gyp_replica {
	struct gyp_raft_io io;
	struct gyp_replica_config cfg;
	struct gyp_raft *raft;
	struct gyp_state *state;
	struct gyp_policy *policy;
	struct gyp_replica_listener listener;
	GQueue out_frames; /* struct gyp_out_frame */
	GQueue records;    /* struct gyp_record */
	uint64_t now;
	uint64_t compact_at; /* when to make the snapshot that is due, or 0 */
	/* The replica that last sent its address, and that address. */
	uint64_t last_sender_id;
	char *last_sender_address;

	/* Parsed from the newest kept version that parses. */
	struct gyp_rules *rules;
	uint64_t rules_version;
	uint64_t rules_index; /* log index of this version */

	/* The rest is valid only while leading, unless noted. */
	bool leading;
	bool transferring;
	uint64_t leader_term;
	uint64_t lead_since;
	uint64_t time_base;       /* cell time at lead_since */
	uint64_t led_until;       /* also kept while following; 0: never */
	GPtrArray *pending_cmds;  /* Gyp__Cmd, owned */
	uint64_t batch_index;     /* log index of the uncommitted batch, or 0 */
	GPtrArray *waiting_calls; /* struct gyp_waiting_call */
	GHashTable *subscribers;  /* job -> GArray of struct gyp_subscriber */
	GHashTable *entries;      /* id -> struct gyp_entry_peer */
	struct gyp_leases *leases;
	struct gyp_usage *usage;
	struct gyp_reported_attempts *reported_attempts;
	struct gyp_counters *counters; /* also kept while following */
	/* Also kept while following. */
	struct gyp_workspace_metrics *workspace_metrics;
	uint64_t workspaces_at; /* next report on workspaces */
	uint64_t periodic_work_at;
	uint64_t query_check_at;
	GPtrArray *rules_waits;    /* struct rules_wait (replica_rules.c) */
	Gyp__Member *join_request; /* member that asked to join, or NULL */
	struct gyp_member_removal member_removal;
	struct gyp_flow_scheduler *flow_scheduler; /* NULL while not leading */
	struct gyp_flow_intake *flow_intake;       /* NULL while not leading */
	struct gyp_carriers *carriers;             /* NULL while not leading */
	GQueue own_endpoint_calls; /* struct gyp_fleet_call, not yet made */
	struct gyp_events *events;
	GQueue local_replies; /* Gyp__Reply */
	struct gyp_heartbeat_relay relay;
	uint64_t wall_ms; /* Unix time, only for due times of flows */
};

/* Id that stands for this process among the entries. */
#define GYP_LOCAL_ENTRY 0

/* replica.c */
void gyp_replica_advance(struct gyp_replica *, uint64_t now);
/* The cell time now; leader only. */
uint64_t gyp_replica_cell_time(const struct gyp_replica *);
/*
 * How long this replica has heard of no leader and led no term before the
 * present one, in ms; 0 if it never did. The tables are older.
 */
uint64_t gyp_replica_leaderless_ms(const struct gyp_replica *);
void gyp_replica_process(struct gyp_replica *);
const char *gyp_replica_member_address(const struct gyp_replica *, uint64_t id);

/* replica_batch.c */
/*
 * Runs one round of decisions on jobs; their commands go into the next batch.
 */
void gyp_replica_decide(struct gyp_replica *);
/* Proposes the pending commands, as many as fit in one batch. */
void gyp_replica_propose_batch(struct gyp_replica *);
/* Adds a copy of the command to the next batch. */
void gyp_replica_propose(struct gyp_replica *, const Gyp__Cmd *);

/* replica_calls.c */
void gyp_replica_handle_call(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);
void gyp_replica_answer_committed(struct gyp_replica *, uint64_t index);
void gyp_replica_job_finished(struct gyp_replica *, struct gyp_job *);
void gyp_free_waiting_call(gpointer);
void gyp_replica_reply(
    struct gyp_replica *, uint64_t entry, const Gyp__Reply *);
void gyp_replica_propose_call(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *, const Gyp__Cmd *);

/* replica_flow_requests.c */
void gyp_replica_handle_flow(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);
/* Replies to a submit or cancel whose command was applied. */
void gyp_replica_answer_flow(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);

/* replica_flows.c */
void gyp_replica_handle_host(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);
void gyp_replica_handle_manifest(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);
void gyp_replica_start_flow_scheduler(struct gyp_replica *);
void gyp_replica_free_flow_scheduler(struct gyp_replica *);
/* Handles what an entry's frame reports about its calls as a carrier. */
void gyp_replica_handle_carrier(
    struct gyp_replica *, const struct gyp_entry_peer *, const Gyp__EntryUp *);
void gyp_replica_schedule_flows(struct gyp_replica *, bool decide);

/* replica_heartbeats.c */
/* Sends the heartbeats that this follower has buffered, when they are due. */
void gyp_replica_relay_heartbeats(struct gyp_replica *);
void gyp_replica_handle_heartbeats(
    struct gyp_replica *, uint64_t from, const Gyp__HostBeats *);

/* replica_rules.c */
void gyp_replica_refresh_rules(struct gyp_replica *, uint64_t index);
void gyp_replica_handle_rules(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);
void gyp_replica_answer_rules(
    struct gyp_replica *, uint64_t entry, const Gyp__Call *);
void gyp_replica_check_rules_waits(struct gyp_replica *);
/*
 * True when all live processes have the version. Adds the names of those that
 * do not to missing, unless that is NULL.
 */
bool gyp_replica_rules_in_force(
    const struct gyp_replica *, uint64_t version, GPtrArray *missing);
void gyp_free_rules_wait(gpointer);

/* replica_lead.c */
struct gyp_entry_peer *gyp_replica_entry_peer(
    struct gyp_replica *, uint64_t id);
bool gyp_replica_can_take_orders(
    const struct gyp_replica *, const struct gyp_entry_peer *);
uint64_t gyp_replica_pick_entry(
    const struct gyp_replica *, const struct gyp_job *, uint64_t endpoint);
void gyp_replica_periodic_work(struct gyp_replica *);
void gyp_replica_flush_entries(struct gyp_replica *);
void gyp_free_entry_peer(gpointer);

/* replica_orders.c */
void gyp_replica_queue_order(struct gyp_replica *, const struct gyp_job *,
    uint32_t task, Gyp__OrderType);

/*
 * Orders the endpoint to limit the attempt to this many thousandths of a
 * processor.
 */
void gyp_replica_queue_throttle(struct gyp_replica *, const struct gyp_job *,
    uint32_t task, uint32_t cpu_limit_milli);
void gyp_replica_requeue_starts(struct gyp_replica *, struct gyp_entry_peer *);
void gyp_replica_send_starts(struct gyp_replica *, struct gyp_entry_peer *);
void gyp_replica_query_unlisted(struct gyp_replica *);
/* replica_members.c */
void gyp_replica_update_members(struct gyp_replica *);
void gyp_replica_join(struct gyp_replica *, const Gyp__Join *);
void gyp_replica_remove_member(
    struct gyp_replica *, uint64_t entry, uint64_t call, const char *name);
void gyp_replica_drop_member_requests(struct gyp_replica *);

/* admin.c */
char *gyp_admin_json(struct gyp_replica *, const Gyp__Admin *, Gyp__Code *);

#endif
