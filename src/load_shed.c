#include <math.h>

#include <glib.h>

#include "load_shed.h"

uint32_t
gyp_load_shed_delay_ms(const struct gyp_pool_load *load)
{
	double delay_ms;

	if (load->capacity_milli <= 0)
		return UINT32_MAX;
	delay_ms = MAX(
	    load->waiting_milli_ms / load->capacity_milli, load->cap_wait_ms);
	return (uint32_t)MIN(delay_ms, UINT32_MAX);
}

bool
gyp_load_shed_accepts(const struct gyp_pool_load *load, double max_delay_ms)
{
	return gyp_load_shed_delay_ms(load) <= max_delay_ms;
}

uint32_t
gyp_load_shed_retry_ms(
    uint64_t now, uint64_t *slot_ms, double rate, uint32_t token_wait_ms)
{
	double token_ms = rate > 0 ? 1000 / rate : GYP_LOAD_SHED_RETRY_MAX_MS;
	uint64_t interval_ms =
	    (uint64_t)ceil(MIN(token_ms, GYP_LOAD_SHED_RETRY_MAX_MS));
	uint64_t slot = MAX(*slot_ms + interval_ms, now + token_wait_ms);

	*slot_ms = MIN(slot, now + GYP_LOAD_SHED_RETRY_MAX_MS);
	return (uint32_t)CLAMP(*slot_ms - now, GYP_LOAD_SHED_RETRY_MIN_MS,
	    GYP_LOAD_SHED_RETRY_MAX_MS);
}
