#ifndef GYP_CARRIERS_H
#define GYP_CARRIERS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	carriers - which entry makes the leader's calls at an endpoint
 *
 * DESCRIPTION
 *	Load pattern answered: bursts in which the leader's processor time runs
 *	out. Most of what a start costs is HTTP, so entries that say that they
 *	carry make the calls; the leader packs many of them into a frame. An
 *	endpoint is spoken to by one carrier at a time, so that few connections
 *	are opened.
 *
 *	Fault answered: a carrier that is stopped, frozen or cut off. One that
 *	was silent, or left a call without an answer, gets no further calls for
 *	a while, and its open calls are lost: each may be carried out yet.
 *	Where no carrier is left, the leader makes the calls itself.
 *
 *	Load pattern answered: all replicas come back at once, and the new
 *	leader has to look at all endpoints before any carrier has found it.
 *	Opening hundreds of connections at once would keep it from its followers
 *	until they elect another. So it makes its own calls at a bounded rate,
 *	and those that still wait go to the carriers that come.
 *
 *	Kept by a leader only.
 */

/* A carrier that was not heard for this long is given up, in ms. */
#define GYP_CARRIER_SILENT_MS 600

/* Time for a call's way to the carrier and back, in ms. */
#define GYP_CARRIER_TRANSIT_MS 250

/* Pause after a carrier left a call without an answer, in ms. */
#define GYP_CARRIER_BACKOFF_MS 1000

/* Calls that the leader makes itself, in a ms, and at once after a pause. */
#define GYP_DIRECT_CALLS_PER_MS 1
#define GYP_DIRECT_CALLS_MAX    16

struct gyp_carriers;

struct gyp_carriers *gyp_carriers_new(void);
void gyp_carriers_free(struct gyp_carriers *);

/* A frame came from an entry that carries. */
void gyp_carriers_seen(struct gyp_carriers *, uint64_t now, uint64_t entry);

/* The entry carries no more; its open calls are lost. */
void gyp_carriers_drop(struct gyp_carriers *, uint64_t entry);

/* The entry to make calls at the endpoint of that row; 0 for none. */
uint64_t gyp_carriers_pick(struct gyp_carriers *, uint64_t now, uint32_t row);

/* The call was handed to the entry, which has timeout_ms for it. */
void gyp_carriers_sent(struct gyp_carriers *, uint64_t now, uint64_t call,
    uint32_t timeout_ms, uint64_t entry);

/* True when the call was open; it is closed. */
bool gyp_carriers_answered(struct gyp_carriers *, uint64_t call);

/* The next call that was lost with its carrier; false when there is none. */
bool gyp_carriers_pop_lost(struct gyp_carriers *, uint64_t now, uint64_t *call);

/* True when the leader may make a call itself now, which is counted. */
bool gyp_carriers_take_direct_call(struct gyp_carriers *, uint64_t now);

/* The next carrier that was lost or is back, once; false for none. */
bool gyp_carriers_pop_change(
    struct gyp_carriers *, uint64_t *entry, bool *live);

#endif
