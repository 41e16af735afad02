#ifndef GYP_ENTRY_INT_H
#define GYP_ENTRY_INT_H

#include "entry.h"

/*
 * NAME
 *	entry_int - what the files of the entry's core share
 *
 * DESCRIPTION
 *	entry.c			choice of replica, frames and queues
 *	entry_calls.c		calls of the door, until they are answered
 *	entry_attempts.c	orders of the leader, until they are reported
 */

enum gyp_call_kind {
	GYP_CALL_PLAIN,
	GYP_CALL_SUBMIT,
	GYP_CALL_REFUSAL, /* a submit that was not accepted in its time */
	GYP_CALL_REPORT   /* made by the core itself */
};

struct gyp_call {
	uint64_t id;
	enum gyp_call_kind kind;
	Gyp__Call *msg;
	size_t bytes; /* of msg, packed */
	void *owner;
	uint64_t deadline;
	uint64_t epoch; /* in which it was last sent, 0 for none */
	uint64_t job;
	uint32_t sends;
	char *attempt_key; /* of a report */
};

enum gyp_attempt_phase {
	GYP_PHASE_SENDING,  /* the start is under way */
	GYP_PHASE_RUNNING,  /* the endpoint took it and will report */
	GYP_PHASE_QUERYING, /* a question is under way or due */
	GYP_PHASE_REPORTING
};

struct gyp_entry_attempt {
	char *key;
	Gyp__Order *order; /* without the payload once that was sent */
	enum gyp_attempt_phase phase;
	bool started_here; /* this entry sent the start */
	uint64_t exchange;
	uint64_t query_at; /* 0 while an exchange is under way */
	uint32_t query_delay_ms;
};

struct gyp_entry_core {
	struct gyp_entry_config cfg;
	GPtrArray *replicas; /* addresses, owned */
	uint64_t now;
	uint64_t term;
	uint64_t lease_end;
	guint target;
	guint rotation;           /* the last one that had its turn */
	uint64_t epoch;           /* rises with each connection or target */
	uint64_t name_sent_epoch; /* in which the name was sent */
	uint64_t leader_epoch;    /* in which the target said that it leads */
	uint64_t leader_seen_at;  /* when a leader last spoke */
	uint64_t last_seen; /* last frame, or start of the current target */
	uint64_t rotate_at;
	uint64_t sent_at;
	uint64_t sweep_at;
	uint64_t cell_time;     /* committed, as the leader told it */
	bool frame_due;         /* for a frame */
	uint64_t next_frame_at; /* time of the next frame, if not due before */
	bool draining;
	uint64_t next_id;
	GHashTable *calls; /* id -> struct gyp_call */
	GQueue unsent;     /* ids of calls to send, oldest first */
	uint64_t call_bytes;
	uint64_t resend_bytes; /* left of the budget */
	uint64_t refilled_at;
	uint64_t expire_at;      /* no call's time is over before */
	GHashTable *attempts;    /* key -> struct gyp_entry_attempt */
	GHashTable *exchanges;   /* id -> key of the attempt */
	GQueue frames;           /* GBytes */
	GQueue new_exchanges;    /* struct gyp_exchange */
	GQueue answers;          /* struct gyp_answer */
	GQueue queries;          /* Gyp__Ask */
	GQueue host_calls;       /* Gyp__HostCall, to be made */
	GPtrArray *host_answers; /* Gyp__HostAnswer, to be told */
	uint64_t rules_version;
	char *rules;
};

/* entry_calls.c */
struct gyp_call *gyp_entry_add_call(struct gyp_entry_core *, enum gyp_call_kind,
    const Gyp__Call *, uint32_t timeout_ms, void *owner);
void gyp_entry_on_reply(struct gyp_entry_core *, const Gyp__Reply *);
void gyp_entry_expire_calls(struct gyp_entry_core *);
/* Gives up unsent calls about flows in an outage of unknown length. */
void gyp_entry_shed_calls(struct gyp_entry_core *);
/* All open calls must be sent again, to a new leader or connection. */
void gyp_entry_requeue_calls(struct gyp_entry_core *);
/* Appends the messages of calls to send to the list, up to a frame's size. */
void gyp_entry_append_unsent_calls(struct gyp_entry_core *, GPtrArray *list);
void gyp_entry_free_call(gpointer);

/* entry_attempts.c */
void gyp_entry_on_order(struct gyp_entry_core *, const Gyp__Order *);
void gyp_entry_sweep_attempts(struct gyp_entry_core *);
void gyp_entry_free_attempt(gpointer);

#endif
