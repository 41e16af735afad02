#ifndef GYP_ENTRY_INT_H
#define GYP_ENTRY_INT_H

#include "entry.h"

/*
 * NAME
 *	entry_int - declarations shared by the files of the entry core
 *
 * DESCRIPTION
 *	entry.c			choice of replica, frames and queues
 *	entry_calls.c		calls from the HTTP API until their final answer
 *	entry_attempts.c	orders from the leader until their outcome is
 *				reported
 */

enum gyp_call_kind {
	GYP_CALL_PLAIN,
	GYP_CALL_SUBMIT,
	GYP_CALL_REFUSAL, /* of the key of a timed-out submit */
	GYP_CALL_REPORT   /* of an attempt's outcome, made by the core */
};

struct gyp_call {
	uint64_t id;
	enum gyp_call_kind kind;
	Gyp__Call *msg;
	size_t bytes; /* packed size of msg */
	void *owner;
	uint64_t deadline;
	uint64_t epoch; /* in which it was last sent, 0 while it is queued */
	uint64_t job;   /* id of the accepted job, or 0 */
	uint32_t sends;
	char *attempt_key; /* of a report, else NULL */
};

enum gyp_attempt_phase {
	GYP_PHASE_SENDING,  /* the start exchange is open */
	GYP_PHASE_RUNNING,  /* the endpoint accepted it and reports its end */
	GYP_PHASE_QUERYING, /* a query is open or scheduled */
	GYP_PHASE_REPORTING
};

struct gyp_entry_attempt {
	char *key;
	Gyp__Order *order; /* without the payload */
	enum gyp_attempt_phase phase;
	bool started_here; /* this entry sent the start */
	uint64_t exchange;
	uint64_t query_at; /* 0 while an exchange is open */
	uint32_t query_delay_ms;
};

struct gyp_entry_core {
	struct gyp_entry_config cfg;
	GPtrArray *replicas; /* addresses, owned */
	uint64_t now;
	uint64_t term;
	uint64_t lease_end;
	guint target;   /* index of the replica that frames are sent to */
	guint rotation; /* the last replica tried in rotation */
	uint64_t epoch; /* raised by each new connection, target or term */
	uint64_t name_sent_epoch; /* epoch in which the name was sent */
	uint64_t leader_epoch;    /* equal to epoch while the target is known to
				     lead, else older or 0 */
	uint64_t leader_seen_at;  /* time of the last frame from a leader */
	uint64_t last_seen;       /* last leader frame or new connection */
	uint64_t rotate_at;       /* 0 while no rotation is scheduled */
	uint64_t sent_at;         /* time of the last frame */
	uint64_t sweep_at;        /* time of the next sweep of the attempts */
	uint64_t cell_time; /* committed time of the cell, from the leader */
	bool frame_due;     /* a frame is to be sent now */
	uint64_t next_frame_at; /* latest time of the next frame */
	bool draining;
	uint64_t drain_since;
	uint64_t last_word_at;    /* round of the last frame that the leader
				     must have before this entry ends; 0: none */
	uint64_t confirmed_round; /* latest one that a leader echoed */
	uint64_t next_id;
	GHashTable *calls; /* id -> struct gyp_call */
	GQueue unsent;     /* ids of calls to send, oldest first */
	uint64_t call_bytes;
	uint64_t resend_bytes;   /* what is left of the budget */
	uint64_t refilled_at;    /* last refill of resend_bytes */
	uint64_t expire_at;      /* no call expires earlier */
	GHashTable *attempts;    /* key -> struct gyp_entry_attempt */
	GHashTable *exchanges;   /* id -> key of the attempt */
	GQueue frames;           /* GBytes */
	GQueue new_exchanges;    /* struct gyp_exchange */
	GQueue answers;          /* struct gyp_answer */
	GQueue queries;          /* Gyp__Ask */
	GQueue host_calls;       /* Gyp__HostCall */
	GHashTable *carried;     /* ids of starts and stops to answer */
	GPtrArray *host_answers; /* Gyp__HostAnswer, to be sent */
	uint64_t rules_version;
	char *rules;
};

/* entry_calls.c */
struct gyp_call *gyp_entry_add_call(struct gyp_entry_core *, enum gyp_call_kind,
    const Gyp__Call *, uint32_t timeout_ms, void *owner);
void gyp_entry_on_reply(struct gyp_entry_core *, const Gyp__Reply *);
void gyp_entry_expire_calls(struct gyp_entry_core *);
/* In an outage, gives up the unsent calls about flows. */
void gyp_entry_shed_calls(struct gyp_entry_core *);
/* Queues all open calls for a new leader or connection. */
void gyp_entry_requeue_calls(struct gyp_entry_core *);
/*
 * Appends the messages of unsent calls to the list, up to the size of a frame,
 * and counts them as sent.
 */
void gyp_entry_append_unsent_calls(struct gyp_entry_core *, GPtrArray *list);
void gyp_entry_free_call(gpointer);

/* entry_attempts.c */
void gyp_entry_on_order(struct gyp_entry_core *, const Gyp__Order *);
void gyp_entry_sweep_attempts(struct gyp_entry_core *);
void gyp_entry_free_attempt(gpointer);

#endif
