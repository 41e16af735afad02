#ifndef GYP_ENTRY_H
#define GYP_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	entry - open calls and start orders of one entry process
 *
 * DESCRIPTION
 *	Deterministic, as the replica is: time, frames and the results of
 *	exchanges with endpoints are arguments. Output goes to queues (frames,
 *	exchanges, answers, admission queries, calls at endpoints) that the
 *	I/O layer empties after each call.
 *
 *	Calls are sent only to a replica that has reported on the current
 *	connection that it leads. A call is sent again to each new leader
 *	until it is answered or times out. Calls are idempotent; a budget in
 *	bytes limits how much is sent again. This entry sends a start order
 *	to the endpoint at most once: when the result of that exchange is
 *	unknown, the entry queries the attempt and never starts it again.
 *
 *	When a submit that was sent times out before it is accepted, the entry
 *	asks the cell to refuse the submit's key, for up to GYP_KEY_REFUSAL_MS.
 *	A job is reported as certainly not run only if its submit was never
 *	sent or the refusal is committed.
 */

/* Longest wait for the refusal of a key to be committed, in ms. */
#define GYP_KEY_REFUSAL_MS 3000

/*
 * Outage of the whole cell, in ms, after which unsent calls about flows are
 * given up and their callers are asked to try again later. Handles this load:
 * all replicas are down at once. A change of leader takes less than this time;
 * a longer outage has no known end.
 */
#define GYP_OUTAGE_THRESHOLD_MS 1500

/* Limits of open calls: their number and their size in bytes. */
#define GYP_ENTRY_CALLS_MAX 4000
#define GYP_ENTRY_BYTES_MAX (8 * 1024 * 1024)

struct gyp_entry_config {
	uint64_t id;                 /* incarnation, random at each start */
	const char *name;            /* shown in reports, or NULL */
	const char *address;         /* listen address, or NULL */
	bool carries;                /* is a carrier */
	const char *const *replicas; /* "ip:port", NULL-terminated */
	uint32_t keepalive_ms;       /* longest time between frames */
	uint32_t silence_ms; /* silence before another replica is tried */
};

/*
 * Largest age, in ms, at which a carrier still makes a call at an endpoint; the
 * leader has given up older ones.
 */
#define GYP_ENDPOINT_CALL_MAX_AGE_MS 1000

/* State of an attempt according to an exchange with its endpoint. */
enum gyp_attempt_state {
	GYP_ATTEMPT_UNKNOWN,     /* no complete answer arrived */
	GYP_ATTEMPT_NOT_STARTED, /* and never will start */
	GYP_ATTEMPT_RUNNING,
	GYP_ATTEMPT_DONE,
	GYP_ATTEMPT_FAILED,
	GYP_ATTEMPT_CHECKPOINTED /* state saved and run ended, as ordered */
};

struct gyp_exchange_result {
	enum gyp_attempt_state state;
	uint32_t http_status;
	const char *content_type;
	const char *reason;
	const uint8_t *answer;
	size_t answer_len;
	bool answer_dropped; /* larger than GYP_ANSWER_MAX */
};

/* An HTTP exchange with an endpoint, to be made by the I/O layer. */
struct gyp_exchange {
	uint64_t id;
	/* Local time from which a start is not sent; 0 for other orders. */
	uint64_t send_by;
	Gyp__Order *order; /* owned by the receiver */
};

/* An answer to a call. */
struct gyp_answer {
	uint64_t call;
	void *owner;
	bool final;   /* false: accepted, a final answer follows */
	bool sent;    /* the call may have reached a replica */
	bool refused; /* the key of the timed-out submit is refused for ever */
	uint64_t job; /* the job's id if known, or 0 */
	Gyp__Reply *reply; /* owned by the receiver; NULL on timeout */
};

struct gyp_entry_core;

struct gyp_entry_core *gyp_entry_new(const struct gyp_entry_config *);
void gyp_entry_free(struct gyp_entry_core *);

/* Adds the address of a replica; a known one is ignored. */
void gyp_entry_add_replica(struct gyp_entry_core *, const char *address);

/* Advances the clock: handles timeouts and queues frames that are due. */
void gyp_entry_tick(struct gyp_entry_core *, uint64_t now);

/* Handles a frame from the replica at address. */
void gyp_entry_receive(struct gyp_entry_core *, uint64_t now,
    const char *address, const Gyp__Frame *);

/* Report a change of the connection to the replica at address. */
void gyp_entry_connected(
    struct gyp_entry_core *, uint64_t now, const char *address);
void gyp_entry_disconnected(
    struct gyp_entry_core *, uint64_t now, const char *address);

/*
 * Makes a call and returns its id, which the core puts into the message.
 * Returns 0 when a limit of open calls is reached, and for a call about a flow
 * in an outage of at least GYP_OUTAGE_THRESHOLD_MS.
 */
uint64_t gyp_entry_call(struct gyp_entry_core *, uint64_t now,
    const Gyp__Call *, uint32_t timeout_ms, void *owner);

/* Drops a call without any further answer. */
void gyp_entry_drop_call(struct gyp_entry_core *, uint64_t call);

/* Handles the result of an exchange from gyp_entry_pop_exchange(). */
void gyp_entry_exchange_done(struct gyp_entry_core *, uint64_t now,
    uint64_t exchange, const struct gyp_exchange_result *);

/*
 * Pops a frame for the replica at *address (not owned); false if there is none.
 */
bool gyp_entry_pop_frame(
    struct gyp_entry_core *, const char **address, GBytes **packed);
bool gyp_entry_pop_exchange(struct gyp_entry_core *, struct gyp_exchange *);
bool gyp_entry_pop_answer(struct gyp_entry_core *, struct gyp_answer *);

/*
 * Pops a query for the admission service, or returns NULL. The answer is sent
 * as a call that holds Gyp__Advised. The caller owns the query.
 */
Gyp__Ask *gyp_entry_pop_query(struct gyp_entry_core *);

/*
 * Pops a call to make at an endpoint, or returns NULL. The answer goes to
 * gyp_entry_endpoint_call_answered(). The caller owns the call.
 */
Gyp__HostCall *gyp_entry_pop_endpoint_call(struct gyp_entry_core *);

/*
 * Takes ownership of the answer, which is sent once, to the current leader, at
 * the next tick. All answers until then share a frame as far as they fit.
 */
void gyp_entry_endpoint_call_answered(
    struct gyp_entry_core *, Gyp__HostAnswer *);

/*
 * From now on, each frame requests that the leader sends this entry no new
 * start orders and no calls at endpoints.
 */
void gyp_entry_drain(struct gyp_entry_core *);

/*
 * True once the leader knows that this entry drains and has the answers to the
 * starts and stops at endpoints that it made, or GYP_ENTRY_DRAIN_MAX_MS after
 * the begin: until then the process should not end.
 */
#define GYP_ENTRY_DRAIN_MAX_MS 1000
bool gyp_entry_is_drained(const struct gyp_entry_core *);

/*
 * Number of calls without a final answer, and of attempts whose outcome this
 * entry still has to report. Attempts that the endpoint reports itself are not
 * counted.
 */
uint32_t gyp_entry_open_calls(const struct gyp_entry_core *);
uint32_t gyp_entry_open_attempts(const struct gyp_entry_core *);

/*
 * Version of the rules that this entry has received; *text is their text, owned
 * by the core and NULL before the first rules.
 */
uint64_t gyp_entry_rules(const struct gyp_entry_core *, const char **text);

/*
 * Time in ms since the last frame from a leader; 0 while the replica that
 * frames are sent to is known to lead.
 */
uint64_t gyp_entry_outage_ms(const struct gyp_entry_core *, uint64_t now);

/* True while the entry's lease is valid; no start is sent without it. */
bool gyp_entry_has_lease(const struct gyp_entry_core *);

#endif
