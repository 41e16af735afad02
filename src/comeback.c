#include <glib.h>

#include "comeback.h"
#include "rendezvous.h"

/* Steps in which returns are spread. */
#define STEPS 64

uint32_t
gyp_comeback_ms(uint64_t outage_ms, uint64_t request)
{
	uint32_t base = (uint32_t)CLAMP(
	    outage_ms, GYP_COMEBACK_MIN_MS, GYP_COMEBACK_MAX_MS);
	uint32_t step =
	    (uint32_t)(gyp_rendezvous_weight(request, 0) >> 32) % STEPS;

	return base - base / 4 + base / 2 * step / STEPS;
}
