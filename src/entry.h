#ifndef GYP_ENTRY_H
#define GYP_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	entry - request table and start orders of one entry process
 *
 * DESCRIPTION
 *	Deterministic like the replica: time, frames and results of exchanges
 *	with endpoints come in as arguments; frames, exchanges to make and
 *	replies go out through three queues that the caller empties after each
 *	call.
 *
 *	Calls go only to a replica that said on this connection that it leads.
 *	A call is repeated to each new leader until it is answered or its time
 *	is over; calls are idempotent, and repeating has a budget in bytes. A
 *	start order is carried out at most once by this entry: an exchange
 *	whose end is not known is followed by questions, never by another
 *	start.
 *
 *	A submit whose time is over without acceptance is followed by the
 *	refusal of its key for GYP_KEY_REFUSAL_MS. Not run is certain only when
 *the submit was never sent or that refusal is committed.
 */

/* Time for the refusal of a key to be committed, in ms. */
#define GYP_KEY_REFUSAL_MS 3000

/*
 * Load pattern answered: all replicas gone at once. A change of leader is over
 * within this time, in ms; an outage that lasts longer has no known end, so
 * requests about flows that were not sent are given up and told to return.
 */
#define GYP_OUTAGE_THRESHOLD_MS 1500

/* Most open calls, and most bytes of them. */
#define GYP_ENTRY_CALLS_MAX 4000
#define GYP_ENTRY_BYTES_MAX (8 * 1024 * 1024)

struct gyp_entry_config {
	uint64_t id;         /* incarnation, drawn at random at each start */
	const char *name;    /* for reports, or NULL */
	const char *address; /* where it listens, or NULL */
	bool carries;        /* makes calls at endpoints for the leader */
	const char *const *cells; /* "ip:port" of replicas, NULL-terminated */
	uint32_t keepalive_ms;    /* longest pause between frames */
	uint32_t silence_ms;      /* after which another replica is tried */
};

/*
 * A call at an endpoint that is older than this, in ms, is not made any more:
 * the leader has given it up.
 */
#define GYP_ENDPOINT_CALL_MAX_AGE_MS 1000

/* What an exchange with an endpoint told about an attempt. */
enum gyp_attempt_state {
	GYP_ATTEMPT_UNKNOWN,     /* no whole answer: nothing is known */
	GYP_ATTEMPT_NOT_STARTED, /* and never will be */
	GYP_ATTEMPT_RUNNING,
	GYP_ATTEMPT_DONE,
	GYP_ATTEMPT_FAILED,
	GYP_ATTEMPT_CHECKPOINTED /* saved and ended, by order */
};

struct gyp_exchange_result {
	enum gyp_attempt_state state;
	uint32_t http_status;
	const char *content_type;
	const char *reason;
	const uint8_t *answer;
	size_t answer_len;
	bool answer_dropped; /* it was larger than GYP_ANSWER_MAX */
};

/* An exchange that the caller is to make with an endpoint. */
struct gyp_exchange {
	uint64_t id;
	uint64_t send_by;  /* of a start: drop it from then on, our clock */
	Gyp__Order *order; /* owned by the receiver */
};

/* The answer to a call. */
struct gyp_answer {
	uint64_t call;
	void *owner;
	bool final;        /* false: accepted, the end follows */
	bool sent;         /* the call may have reached a replica */
	bool refused;      /* of a late submit: its key is refused for good */
	uint64_t job;      /* known job, or 0 */
	Gyp__Reply *reply; /* owned by the receiver; NULL when time is over */
};

struct gyp_entry_core;

struct gyp_entry_core *gyp_entry_new(const struct gyp_entry_config *);
void gyp_entry_free(struct gyp_entry_core *);

/* Another address of a replica; known ones are ignored. */
void gyp_entry_add_replica(struct gyp_entry_core *, const char *address);

void gyp_entry_tick(struct gyp_entry_core *, uint64_t now);

/* A frame came from the replica at address. */
void gyp_entry_receive(struct gyp_entry_core *, uint64_t now,
    const char *address, const Gyp__Frame *);

void gyp_entry_connected(
    struct gyp_entry_core *, uint64_t now, const char *address);
void gyp_entry_disconnected(
    struct gyp_entry_core *, uint64_t now, const char *address);

/*
 * Makes a call; its id field is filled in. Returns the id; 0 when full, and
 * for a call about a flow in an outage longer than GYP_OUTAGE_THRESHOLD_MS.
 */
uint64_t gyp_entry_call(struct gyp_entry_core *, uint64_t now,
    const Gyp__Call *, uint32_t timeout_ms, void *owner);

/* Drops a call; nothing more is answered to it. */
void gyp_entry_drop_call(struct gyp_entry_core *, uint64_t call);

void gyp_entry_exchange_done(struct gyp_entry_core *, uint64_t now,
    uint64_t exchange, const struct gyp_exchange_result *);

/* Frame for the replica at *address (not owned); false when there is none. */
bool gyp_entry_pop_frame(
    struct gyp_entry_core *, const char **address, GBytes **packed);
bool gyp_entry_pop_exchange(struct gyp_entry_core *, struct gyp_exchange *);
bool gyp_entry_pop_answer(struct gyp_entry_core *, struct gyp_answer *);

/*
 * A question to carry to the admission service, or NULL; to be answered by a
 * call that holds Gyp__Advised. The caller owns it.
 */
Gyp__Ask *gyp_entry_pop_query(struct gyp_entry_core *);

/*
 * A call to be made at an endpoint, or NULL; its answer is to be handed back.
 * The caller owns it.
 */
Gyp__HostCall *gyp_entry_pop_endpoint_call(struct gyp_entry_core *);

/*
 * Takes the answer; it is told once, to the leader of now, by the next tick:
 * one frame holds all answers until then.
 */
void gyp_entry_endpoint_call_answered(
    struct gyp_entry_core *, Gyp__HostAnswer *);

/* From now on the leader is told to name this entry for no new start. */
void gyp_entry_drain(struct gyp_entry_core *);

/*
 * Calls without a final answer, and attempts that this entry must see
 * through. An attempt that the endpoint will report by itself is none.
 */
uint32_t gyp_entry_open_calls(const struct gyp_entry_core *);
uint32_t gyp_entry_open_attempts(const struct gyp_entry_core *);

/* Version and text of the rules in force at this entry. */
uint64_t gyp_entry_rules(const struct gyp_entry_core *, const char **text);

/* How long no leader has spoken to this entry, in ms; 0 while one does. */
uint64_t gyp_entry_outage_ms(const struct gyp_entry_core *, uint64_t now);

/* True while the leader's grant lasts; without it no start is sent. */
bool gyp_entry_has_lease(const struct gyp_entry_core *);

#endif
