#ifndef GYP_LOAD_SHED_H
#define GYP_LOAD_SHED_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	load_shed - whether work beyond a rate is accepted, and when to retry
 *
 * DESCRIPTION
 *	Handles this load: a workspace sends many times its rate. What it sends
 *	beyond that is accepted while the pool of endpoints can do it in time,
 *	so that no capacity is left unused, and refused at once when the work
 *	that already waits would make it late. Work within the rate is never
 *	refused here.
 */

/* Load of a pool of endpoints. */
struct gyp_pool_load {
	double capacity_milli;   /* processors of endpoints that stay */
	double booked_milli;     /* of these, booked by open runs */
	double waiting_milli_ms; /* work that could start but has no room */
	/* See gyp_placer_cap_wait_ms(). */
	double cap_wait_ms;
};

/*
 * Time until new work could start if it had to wait for all work that waits
 * now, in the pool or under the workspace's cap, in ms. A pool without
 * endpoints has no such time: UINT32_MAX.
 */
uint32_t gyp_load_shed_delay_ms(const struct gyp_pool_load *);

/*
 * True if work that may be delayed by max_delay_ms is accepted although it is
 * beyond the rate.
 */
bool gyp_load_shed_accepts(const struct gyp_pool_load *, double max_delay_ms);

/* Bounds of the delay before a refused request is sent again, in ms. */
#define GYP_LOAD_SHED_RETRY_MIN_MS 1000
#define GYP_LOAD_SHED_RETRY_MAX_MS 30000

/*
 * The delay for a request that is refused now. *slot_ms is the time for which
 * the workspace's latest refused request was asked to return; each further one
 * is asked to return one token later, so that all of them are within the rate
 * when they do.
 */
uint32_t gyp_load_shed_retry_ms(
    uint64_t now, uint64_t *slot_ms, double rate, uint32_t token_wait_ms);

#endif
