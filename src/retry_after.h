#ifndef GYP_RETRY_AFTER_H
#define GYP_RETRY_AFTER_H

#include <stdint.h>

/*
 * NAME
 *	retry_after - when a caller refused in an outage should retry
 *
 * DESCRIPTION
 *	When all replicas are down, for one second or for many, thousands of
 *	callers try a few times each. An outage of unknown end is expected to
 *	last about as long again as it has lasted so far, and callers are asked
 *	to retry after that time. In a short outage they retry soon; in a long
 *	one they do not use up their tries. A hash of the request spreads the
 *	retries over half of that time, so that they do not all come at once.
 */

/* Bounds of the delay before the spread is applied, in ms. */
#define GYP_RETRY_AFTER_MIN_MS 1000
#define GYP_RETRY_AFTER_MAX_MS 4000

/*
 * The delay for a request, in ms, when the outage has lasted outage_ms. request
 * identifies the request, for instance by a hash.
 */
uint32_t gyp_retry_after_ms(uint64_t outage_ms, uint64_t request);

#endif
