#ifndef GYP_RAFT_INT_H
#define GYP_RAFT_INT_H

#include "raft.h"

/*
 * NAME
 *	raft_int - what the files of the replicated log share
 *
 * DESCRIPTION
 *	raft_config.c	configurations and majorities
 *	raft_log.c	entries in memory, records to the disk
 *	raft_send.c	messages, those that wait for a sync, replication
 *	raft_elect.c	terms, votes, leaders, hand-over
 *	raft_append.c	appends from a leader, answers to it, commit
 *	raft_snap.c	snapshots: compaction, transfer, installation
 *	raft.c		door
 */

/* What the leader knows of another member. */
struct gyp_raft_progress {
	uint64_t id;
	uint64_t next;  /* next index to send */
	uint64_t match; /* known to be on its disk */
	uint64_t heard; /* our clock when it got our latest answered message */
	uint64_t sent;  /* time of the latest message */
	uint64_t answered; /* time of the latest answer */
	uint64_t offset;   /* bytes of the snapshot it has */
	uint64_t moved;    /* when that last changed */
	uint32_t inflight;
	bool snapshot; /* is being sent a snapshot */
	bool full;     /* the latest append was as large as may be */
};

/* A record batch that is not known to be synced. */
struct gyp_raft_unsynced {
	uint64_t seq;
	uint64_t last_index;
};

/* A message that waits for a sync. */
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
	uint64_t started; /* time of the first tick */

	enum gyp_raft_role role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	uint64_t leader_contact; /* last time the leader was heard */
	uint64_t election_at;
	uint32_t elections; /* begun here since a leader was heard */
	bool led;           /* this replica was the leader of its term */
	uint32_t returns;   /* times it asked to lead again since then */
	bool vacant;        /* the leader of the term said that it is none */
	uint64_t heartbeat_at;
	uint64_t successor;       /* is to take over, 0 for none */
	uint64_t successor_until; /* then the leader goes on */
	uint64_t prevote_at;      /* when the latest pre-vote was asked for */
	bool forced;              /* the campaign was asked for by the leader */

	GArray
	    *log; /* struct gyp_log_entry; index snap_index + 1 comes first */
	uint64_t log_bytes;
	uint64_t snap_index;
	uint64_t snap_term;
	GBytes *snap_file;
	struct {
		uint64_t index;
		uint64_t from;
		GByteArray *data;
	} incoming;

	uint64_t commit;
	uint64_t applied;
	uint64_t term_start; /* index of the leader's first own entry */

	Gyp__Config *config;   /* newest known to be committed */
	uint64_t config_index; /* no entry up to here can be pending */
	uint64_t settled;      /* a majority knows once this is committed */
	bool former;           /* voted until the newest configuration */
	Gyp__Config *pending;  /* appended after it, or NULL */
	uint64_t pending_index;

	GArray *peers; /* struct gyp_raft_progress */
	GHashTable *votes;

	uint64_t write_seq;
	uint64_t synced_seq;
	uint64_t persisted; /* last index on our own disk */
	GArray *unsynced;
	GQueue deferred; /* struct gyp_raft_deferred */
};

typedef bool (*gyp_raft_member_test)(
    const struct gyp_raft *, uint64_t id, uint64_t arg);

/* raft_config.c */
Gyp__Config *gyp_raft_copy_config(const Gyp__Config *config);
const Gyp__Member *gyp_raft_find_member(const Gyp__Config *config, uint64_t id);
bool gyp_raft_is_voter(const struct gyp_raft *r, uint64_t id);
void gyp_raft_set_config(struct gyp_raft *r, Gyp__Config *config);
void gyp_raft_settle_pending(struct gyp_raft *r);
void gyp_raft_drop_pending(struct gyp_raft *r);
void gyp_raft_adopt_config(struct gyp_raft *r, const struct gyp_log_entry *e);
bool gyp_raft_quorum(
    const struct gyp_raft *r, gyp_raft_member_test test, uint64_t arg);

/* raft_log.c */
struct gyp_log_entry *gyp_raft_entry_at(
    const struct gyp_raft *r, uint64_t index);
uint64_t gyp_raft_term_at(const struct gyp_raft *r, uint64_t index);
void gyp_raft_clear_entry(gpointer p);
void gyp_raft_forget_persisted(struct gyp_raft *r, uint64_t last);
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
void gyp_raft_send_durable(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_flush_deferred(struct gyp_raft *r);
struct gyp_raft_progress *gyp_raft_find_peer(
    const struct gyp_raft *r, uint64_t id);
void gyp_raft_sync_peers(struct gyp_raft *r);
void gyp_raft_send_chunk(
    struct gyp_raft *, struct gyp_raft_progress *, bool empty);
void gyp_raft_replicate(
    struct gyp_raft *r, struct gyp_raft_progress *p, bool force);
void gyp_raft_replicate_all(struct gyp_raft *r, bool force);

/* raft_elect.c */
void gyp_raft_reset_election(struct gyp_raft *r);
void gyp_raft_seek_return(struct gyp_raft *r);
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
void gyp_raft_call_successor(
    struct gyp_raft *r, const struct gyp_raft_progress *p);

/* raft_append.c */
void gyp_raft_advance_commit(struct gyp_raft *r);
void gyp_raft_apply_committed(struct gyp_raft *r);
void gyp_raft_follow(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_append(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_append_reply(struct gyp_raft *r, const Gyp__RaftMsg *m);

/* raft_snap.c */
bool gyp_raft_install(struct gyp_raft *r, GBytes *raw);
void gyp_raft_on_snapshot(struct gyp_raft *r, const Gyp__RaftMsg *m);
void gyp_raft_on_snapshot_reply(struct gyp_raft *r, const Gyp__RaftMsg *m);

#endif
