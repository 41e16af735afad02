#ifndef GYP_RETRY_AFTER_H
#define GYP_RETRY_AFTER_H

#include <stdint.h>

/*
 * NAME
 *	comeback - when a caller that was refused in an outage should return
 *
 * DESCRIPTION
 *	Load pattern answered: all replicas gone, for a second or for many, and
 *	thousands of callers who try a few times each. An outage without a known
 *	end lasts about as long again as it has lasted so far, so callers are
 *	told to return after that time: in a short outage soon, in a long one
 *	without using up their tries. They are spread over half of that time by
 *	a hash of what they ask for, so that they don't return at one moment.
 */

/* Shortest and longest time named, before the spread, in ms. */
#define GYP_RETRY_AFTER_MIN_MS 1000
#define GYP_RETRY_AFTER_MAX_MS 4000

/* After an outage of so many ms up to now; in ms. */
uint32_t gyp_retry_after_ms(uint64_t outage_ms, uint64_t request);

#endif
