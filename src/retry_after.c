#include <glib.h>

#include "rendezvous.h"
#include "retry_after.h"

/* Number of distinct delays over which retries are spread. */
#define SPREAD_STEPS 64

uint32_t
gyp_retry_after_ms(uint64_t outage_ms, uint64_t request)
{
	uint32_t base = (uint32_t)CLAMP(
	    outage_ms, GYP_RETRY_AFTER_MIN_MS, GYP_RETRY_AFTER_MAX_MS);
	uint32_t step =
	    (uint32_t)(gyp_rendezvous_weight(request, 0) >> 32) % SPREAD_STEPS;

	return base - base / 4 + base / 2 * step / SPREAD_STEPS;
}
