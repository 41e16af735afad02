#ifndef GYP_CARRIERS_H
#define GYP_CARRIERS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	carriers - assigns the leader's calls to endpoints to entries
 *
 * DESCRIPTION
 *	Bursts can exhaust the leader's CPU time. Most of the cost of a
 *	start is HTTP, so entries that announce themselves as carriers make the
 *	calls; the leader packs many calls into a frame. One carrier at a time
 *	calls an endpoint, which keeps the number of connections low.
 *
 *	A carrier may be stopped, frozen or disconnected. A carrier that was
 *	silent or left a call unanswered gets no calls for a while, and its
 *	open calls are lost: each may still be carried out. One that drains
 *	gets no calls either, but answers the starts and stops that it has.
 *	With no carrier left, the leader makes the calls itself.
 *
 *	When all replicas restart at once, the new leader has to poll all
 *	endpoints before any carrier has found it. Opening hundreds of
 *	connections at once would delay its messages to the followers until
 *	they elect another leader. So it makes direct calls at a bounded rate,
 *	and calls that still wait go to the carriers that connect.
 *
 *	Used by a leader only.
 */

/* A carrier that has sent nothing for this long is lost, in ms. */
#define GYP_CARRIER_SILENT_MS 600

/* Time for a call to reach the carrier and its answer to return, in ms. */
#define GYP_CARRIER_TRANSIT_MS 250

/* Pause after a carrier leaves a call unanswered, in ms. */
#define GYP_CARRIER_BACKOFF_MS 1000

/* Rate limit of the leader's direct calls, per ms, and its largest burst. */
#define GYP_DIRECT_CALLS_PER_MS 1
#define GYP_DIRECT_CALLS_MAX    16

struct gyp_carriers;

struct gyp_carriers *gyp_carriers_new(void);
void gyp_carriers_free(struct gyp_carriers *);

/* Records that a frame from a carrier was received. */
void gyp_carriers_seen(struct gyp_carriers *, uint64_t now, uint64_t entry);

/*
 * Records that a frame from a carrier that drains was received. Its open polls
 * are lost at once.
 */
void gyp_carriers_draining(struct gyp_carriers *, uint64_t now, uint64_t entry);

/*
 * The connection to a carrier was closed: it gets no calls until a frame from
 * it is received, and its open polls are lost at once.
 */
void gyp_carriers_disconnected(struct gyp_carriers *, uint64_t entry);

/* The carrier for calls to the endpoint of that row; 0 for none. */
uint64_t gyp_carriers_pick(struct gyp_carriers *, uint64_t now, uint32_t row);

/* Records that the call was sent to the carrier with that timeout. */
void gyp_carriers_sent(struct gyp_carriers *, uint64_t now, uint64_t call,
    bool poll, uint32_t timeout_ms, uint64_t entry);

/* Closes the call; true if it was open. */
bool gyp_carriers_answered(struct gyp_carriers *, uint64_t call);

/* Pops the next call that was lost with its carrier; false for none. */
bool gyp_carriers_pop_lost(struct gyp_carriers *, uint64_t now, uint64_t *call);

/* True if the rate limit allows a direct call now, which is then counted. */
bool gyp_carriers_take_direct_call(struct gyp_carriers *, uint64_t now);

/* Pops the next change of a carrier: lost or live again; false for none. */
bool gyp_carriers_pop_change(
    struct gyp_carriers *, uint64_t *entry, bool *live);

#endif
