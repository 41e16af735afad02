#ifndef GYP_RAFT_INT_H
#define GYP_RAFT_INT_H

#include "raft.h"

/*
 * NAME
 *	raft_int - internal interface of the replicated log
 *
 * DESCRIPTION
 *	raft_config.c	configurations and majorities
 *	raft_log.c	entries in memory, records written to disk
 *	raft_send.c	messages, messages deferred until a sync, replication
 *	raft_elect.c	terms, votes, leaders, transfer of leadership
 *	raft_append.c	appends from a leader, replies to it, commit
 *	raft_snap.c	snapshots: compaction, transfer, installation
 *	raft.c		public functions, dispatch of messages
 */

/* Replication progress of another member, kept by the leader. */
struct gyp_raft_progress {
	uint64_t id;
	uint64_t next;  /* next index to send */
	uint64_t match; /* last index known to be on its disk */
	/* When the latest answered message was sent, by the leader's clock. */
	uint64_t acked_sent_at;
	uint64_t sent_at;           /* time of the latest message */
	uint64_t answered_at;       /* time of the latest answer */
	uint64_t offset;            /* bytes of the snapshot that it holds */
	uint64_t offset_changed_at; /* time of the latest change of offset */
	uint32_t inflight;          /* unanswered appends */
	bool sending_snapshot;
	bool append_full; /* the latest append reached append_bytes */
};

/* A record that is not known to be synced. */
struct gyp_raft_unsynced {
	uint64_t seq;
	uint64_t last_index; /* of the log when it was written */
};

/* A message that is sent once all records up to seq are synced. */
struct gyp_raft_deferred {
	uint64_t seq;
	uint64_t to;
	GBytes *packed;
};

struct gyp_raft {
	struct gyp_raft_io *io;
	struct gyp_raft_config cfg;
	GRand *rand;
	uint64_t now;
	uint64_t started_at; /* time of the first tick */

	enum gyp_raft_role role;
	uint64_t term;
	uint64_t previous_term; /* of the last entry before this one led */
	uint64_t vote;
	uint64_t leader;
	uint64_t leader_contact; /* time of the latest message of a leader */
	uint64_t election_at;
	uint32_t elections_started; /* since the latest contact with a leader */
	bool was_leader;            /* this replica was elected in this term */
	/* Early campaigns since this replica last became leader. */
	uint32_t reelection_attempts;
	bool leader_resigned; /* the leader of the term no longer leads it */
	uint64_t heartbeat_at;
	uint64_t transfer_target; /* voter to transfer leadership to, or 0 */
	/* When the transfer ends and proposals are accepted again. */
	uint64_t transfer_deadline;
	uint64_t prevote_at; /* start of the latest pre-vote */
	bool suspended;      /* by gyp_raft_suspend() */
	bool forced; /* vote requests carry `force`: voters ignore the lease */

	GArray *log; /* struct gyp_log_entry, from index snap_index + 1 */
	uint64_t log_bytes;
	uint64_t snap_index;
	uint64_t snap_term;
	GBytes *snap_file;
	struct { /* snapshot being received */
		uint64_t index;
		uint64_t from;
		GByteArray *data;
	} incoming;

	uint64_t commit;
	uint64_t applied;
	uint64_t term_start; /* index of the leader's first entry of its term */

	Gyp__Config *config;   /* newest known to be committed */
	uint64_t config_index; /* configurations up to here are committed */
	/*
	 * Once this index is committed, a majority has received the commit of
	 * config.
	 */
	uint64_t config_settled_index;
	/* config made this replica a non-voter; it was a voter before. */
	bool former_voter;
	Gyp__Config *pending; /* appended after config, or NULL */
	uint64_t pending_index;

	GArray *peers;     /* struct gyp_raft_progress */
	GHashTable *votes; /* ids of members that granted their vote */

	uint64_t write_seq;
	uint64_t synced_seq;
	uint64_t persisted_index; /* last index synced to this replica's disk */
	GArray *unsynced;         /* struct gyp_raft_unsynced */
	GQueue deferred;          /* struct gyp_raft_deferred */
};

/* A predicate on a member; arg is an index, a time or unused. */
typedef bool (*gyp_raft_member_test)(
    const struct gyp_raft *, uint64_t id, uint64_t arg);

/* raft_config.c */
Gyp__Config *gyp_raft_copy_config(const Gyp__Config *config);
const Gyp__Member *gyp_raft_find_member(const Gyp__Config *config, uint64_t id);
bool gyp_raft_is_voter(const struct gyp_raft *r, uint64_t id);
void gyp_raft_set_config(struct gyp_raft *r, Gyp__Config *config);
void gyp_raft_commit_pending_config(struct gyp_raft *r);
void gyp_raft_drop_pending_config(struct gyp_raft *r);
void gyp_raft_adopt_config(struct gyp_raft *r, const struct gyp_log_entry *e);

/*
 * True if the test holds for a majority of the voters of config and, if there
 * is a pending configuration, of its voters too.
 */
bool gyp_raft_quorum(
    const struct gyp_raft *r, gyp_raft_member_test test, uint64_t arg);

/* raft_log.c */
struct gyp_log_entry *gyp_raft_entry_at(
    const struct gyp_raft *r, uint64_t index);

/* As gyp_raft_entry_term(), but also returns the term at the snapshot index. */
uint64_t gyp_raft_term_at(const struct gyp_raft *r, uint64_t index);

void gyp_raft_clear_entry(gpointer p);
void gyp_raft_limit_persisted(struct gyp_raft *r, uint64_t last);
void gyp_raft_truncate_from(struct gyp_raft *r, uint64_t index);
void gyp_raft_push_entry(
    struct gyp_raft *r, uint64_t term, uint32_t kind, GBytes *data);
void gyp_raft_write_record(struct gyp_raft *r, const struct gyp_record *rec);
void gyp_raft_write_vote(struct gyp_raft *r);
void gyp_raft_append_entry(
    struct gyp_raft *r, uint64_t term, uint32_t kind, GBytes *data);
void gyp_raft_append_noop(struct gyp_raft *r);

/* raft_send.c */
Gyp__RaftMsg gyp_raft_make_message(
    const struct gyp_raft *r, Gyp__RaftType type, uint64_t to);
void gyp_raft_free_deferred(gpointer p);
void gyp_raft_send_after_sync(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_flush_deferred(struct gyp_raft *r);
void gyp_raft_drop_deferred(struct gyp_raft *r);
struct gyp_raft_progress *gyp_raft_find_peer(
    const struct gyp_raft *r, uint64_t id);
void gyp_raft_update_peers(struct gyp_raft *r);

/*
 * Sends the next chunk of the snapshot; with empty, a chunk without data as a
 * heartbeat.
 */
void gyp_raft_send_snapshot_chunk(
    struct gyp_raft *, struct gyp_raft_progress *, bool empty);

void gyp_raft_replicate(
    struct gyp_raft *r, struct gyp_raft_progress *p, bool force);
void gyp_raft_replicate_all(struct gyp_raft *r, bool force);

/* raft_elect.c */
void gyp_raft_reset_election(struct gyp_raft *r);
void gyp_raft_schedule_reelection(struct gyp_raft *r);
void gyp_raft_set_term(struct gyp_raft *r, uint64_t term, uint64_t vote);
void gyp_raft_become_follower(
    struct gyp_raft *r, uint64_t term, uint64_t leader);
void gyp_raft_become_leader(struct gyp_raft *r);
bool gyp_raft_has_voted(const struct gyp_raft *r, uint64_t id, uint64_t arg);
void gyp_raft_add_vote(struct gyp_raft *r, uint64_t id);
void gyp_raft_start_prevote(struct gyp_raft *r);
void gyp_raft_tick_leader(struct gyp_raft *r);
void gyp_raft_on_prevote(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_vote(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_vote_reply(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_timeout_now(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_send_timeout_now(
    struct gyp_raft *r, const struct gyp_raft_progress *p);

/* raft_append.c */
void gyp_raft_advance_commit(struct gyp_raft *r);
void gyp_raft_apply_committed(struct gyp_raft *r);
void gyp_raft_accept_leader(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_append(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_append_reply(struct gyp_raft *r, const Gyp__RaftMsg *m);

/* raft_snap.c */
bool gyp_raft_install_snapshot(struct gyp_raft *r, GBytes *raw);
void gyp_raft_on_snapshot(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_snapshot_reply(struct gyp_raft *r, const Gyp__RaftMsg *m);

#endif
