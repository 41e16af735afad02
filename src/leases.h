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
 *	endpoint counts its lease from the sending of a heartbeat, by its own
 *	clock; the leader counts from the receipt, by its own clock, and adds
 *	the bound on the clocks' rates and a margin. So an endpoint always
 *	stops its tasks before the leader takes them as over.
 *
 *	The table belongs to one term of leadership: a new leader starts with
 *	gyp_leases_reset(), which takes every endpoint as just renewed.
 */

/* Largest difference between the rates of two clocks: 1 in 100. */
#define GYP_CLOCK_RATE_DIVISOR 100

/* Added to each lease for what the rate bound does not cover, in ms. */
#define GYP_LEASE_MARGIN_MS 200

struct gyp_leases;

struct gyp_leases *gyp_leases_new(uint32_t lease_ms);
void gyp_leases_free(struct gyp_leases *);

/* Forgets all; endpoints that stay silent expire one full lease from now. */
void gyp_leases_reset(struct gyp_leases *, uint64_t now);

/*
 * Renews at the receipt of a heartbeat that named the endpoint's clock. False
 * when the lease has ended: the endpoint must not be told of a new one.
 */
bool gyp_leases_renew(
    struct gyp_leases *, uint64_t endpoint, uint64_t now, uint64_t clock_ms);

/*
 * Grants a lease to an endpoint that has announced itself, before its clock
 * is known. False when the lease has ended.
 */
bool gyp_leases_grant(struct gyp_leases *, uint64_t endpoint, uint64_t now);

/*
 * Ends an expired lease for good. From the proposal to remove the endpoint
 * until its commit no heartbeat may renew it: the removal ends the attempts.
 */
void gyp_leases_close(struct gyp_leases *, uint64_t endpoint);

/* True, until the lease is ended, when nothing can run there any more. */
bool gyp_leases_expired(
    const struct gyp_leases *, uint64_t endpoint, uint64_t now);

/*
 * Latest time, in the endpoint's clock, at which a start sent now may take
 * effect: window_ms from now, but never past the endpoint's own lease. False
 * when the endpoint has not been heard in this term or its lease is over.
 */
bool gyp_leases_not_after(const struct gyp_leases *, uint64_t endpoint,
    uint64_t now, uint32_t window_ms, uint64_t *not_after);

/* Time after which a lease of lease_ms granted now is over for everyone. */
uint64_t gyp_lease_expiry(uint64_t now, uint32_t lease_ms);

/*
 * Longest time, in ms, from the commit of an endpoint's leaving until nothing
 * new can arrive there, with the given life of a start: every placement is
 * older than that commit, and a start carries its end in the endpoint's own
 * clock.
 */
uint32_t gyp_leave_bound_ms(uint32_t start_window_ms);

#endif
