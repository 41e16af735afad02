#ifndef GYP_TOKEN_BUCKET_H
#define GYP_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	token_bucket - whether events are within a rate
 *
 * DESCRIPTION
 *	The bucket holds the tokens of one second, but at least one, and starts
 *	full. Any sequence of events that is within the rate in each window of
 *	a second is allowed.
 *
 *	Times are in ms and may lie in the past, as long as they do not
 *	decrease.
 */

struct gyp_token_bucket {
	double tokens;
	uint64_t refilled_at; /* 0: never used, and therefore full */
};

/* Takes a token; false if there is none. rate is per second. */
bool gyp_token_bucket_take(
    struct gyp_token_bucket *, double rate, uint64_t now);

/*
 * Tokens that the bucket would hold if it had no bound; infinite for a bucket
 * that was never used. It tells how long nobody has wanted a token.
 */
double gyp_token_bucket_unspent(
    const struct gyp_token_bucket *, double rate, uint64_t now);

/* Time until a token is available, in ms; 0 if one is. */
uint32_t gyp_token_bucket_wait_ms(
    const struct gyp_token_bucket *, double rate, uint64_t now);

#endif
