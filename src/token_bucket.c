#include <math.h>

#include <glib.h>

#include "token_bucket.h"

/* Tolerance for the rounding of refills, in tokens. */
#define TOLERANCE_TOKENS 1e-6

double
gyp_token_bucket_unspent(
    const struct gyp_token_bucket *b, double rate, uint64_t now)
{
	double elapsed_s = (double)(now - MIN(now, b->refilled_at)) / 1000;

	return b->refilled_at == 0 ? INFINITY : b->tokens + elapsed_s * rate;
}

static double
tokens_at(const struct gyp_token_bucket *b, double rate, uint64_t now)
{
	return MIN(gyp_token_bucket_unspent(b, rate, now), MAX(rate, 1));
}

bool
gyp_token_bucket_take(struct gyp_token_bucket *b, double rate, uint64_t now)
{
	double tokens = tokens_at(b, rate, now);

	b->refilled_at = MAX(MAX(now, 1), b->refilled_at);
	if (tokens < 1 - TOLERANCE_TOKENS) {
		b->tokens = tokens;
		return false;
	}
	b->tokens = MAX(tokens - 1, 0);
	return true;
}

uint32_t
gyp_token_bucket_wait_ms(
    const struct gyp_token_bucket *b, double rate, uint64_t now)
{
	double tokens = tokens_at(b, rate, now);
	double wait_ms;

	if (tokens >= 1 - TOLERANCE_TOKENS)
		return 0;
	wait_ms = rate > 0 ? (1 - tokens) / rate * 1000 : UINT32_MAX;
	return (uint32_t)MIN(ceil(wait_ms), UINT32_MAX);
}
