#ifndef GYP_RETRY_AFTER_H
#define GYP_RETRY_AFTER_H

#include <stdint.h>

/*
 * NAME
 *	retry_after - when a caller refused in an outage should retry
 *
 * DESCRIPTION
 *	Handles this load: all replicas are down for a second or for many, and
 *	thousands of callers try a few times each. An outage of unknown end is
 *	expected to last about as long again as it has lasted so far, so callers
 *	are asked to retry after that time: soon in a short outage, and in a
 *	long one without using up their tries. A hash of the request spreads
 *	them over half of that time, so that they don't retry all at once.
 */

/* Bounds of the delay before the spread is applied, in ms. */
#define GYP_RETRY_AFTER_MIN_MS 1000
#define GYP_RETRY_AFTER_MAX_MS 4000

/* The delay for a request, in ms, when the outage has lasted outage_ms. */
uint32_t gyp_retry_after_ms(uint64_t outage_ms, uint64_t request);

#endif
