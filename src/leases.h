#ifndef GYP_LEASES_H
#define GYP_LEASES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	leases - the leader's view of endpoint leases
 *
 * DESCRIPTION
 *	One lease per endpoint covers all attempts that run there. The
 *	endpoint measures its lease from the sending of a heartbeat, by its
 *	own clock. The leader measures it from the receipt, by its own clock,
 *	and adds the bound on the clock rates and a margin. So an endpoint
 *	always stops its tasks before the leader treats them as over.
 *
 *	The table belongs to one term: a new leader calls gyp_leases_reset(),
 *	which treats every endpoint as just renewed.
 */

/* Largest difference between the rates of two clocks: 1 in 100. */
#define GYP_CLOCK_RATE_DIVISOR 100

/* Margin of each lease for errors other than the clock rates, in ms. */
#define GYP_LEASE_MARGIN_MS 200

struct gyp_leases;

struct gyp_leases *gyp_leases_new(uint32_t lease_ms);
void gyp_leases_free(struct gyp_leases *);

/*
 * Removes all leases; the lease of an endpoint that stays silent expires a full
 * lease from now.
 */
void gyp_leases_reset(struct gyp_leases *, uint64_t now);

/*
 * Renews the lease on receipt of a heartbeat, which carries the endpoint's
 * clock. False when the lease is closed: the heartbeat must not be answered
 * with a new lease.
 */
bool gyp_leases_renew(
    struct gyp_leases *, uint64_t endpoint, uint64_t now, uint64_t clock_ms);

/*
 * Grants a lease to an endpoint that has announced itself and whose clock is
 * not known yet. False when the lease is closed.
 */
bool gyp_leases_grant(struct gyp_leases *, uint64_t endpoint, uint64_t now);

/*
 * Closes an expired lease for the rest of the term. No heartbeat may renew it
 * between the proposal to remove the endpoint and the commit, since the
 * removal ends the attempts.
 */
void gyp_leases_close(struct gyp_leases *, uint64_t endpoint);

/* True when nothing can run on the endpoint any more; false once closed. */
bool gyp_leases_expired(
    const struct gyp_leases *, uint64_t endpoint, uint64_t now);

/*
 * Computes the latest time, by the endpoint's clock, at which a start sent now
 * may take effect: window_ms from now, but not after the end of its lease.
 * False when no heartbeat was received in this term or the lease is over.
 */
bool gyp_leases_not_after(const struct gyp_leases *, uint64_t endpoint,
    uint64_t now, uint32_t window_ms, uint64_t *not_after);

/* Time after which a lease of lease_ms granted now is over on any clock. */
uint64_t gyp_lease_expiry(uint64_t now, uint32_t lease_ms);

/*
 * Returns the time, in ms, after which no start can take effect on an endpoint
 * whose departure was committed, if a start is valid for start_window_ms. Every
 * placement is older than that commit, and each start carries the latest time
 * at which it may take effect, by the endpoint's own clock.
 */
uint32_t gyp_leave_bound_ms(uint32_t start_window_ms);

#endif
