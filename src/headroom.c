#include <glib.h>

#include "headroom.h"

/* Change of the share in one adjustment. */
#define RISE_STEP 0.01
#define FALL_STEP 0.0005

/* A wait over 1/PRESSURE_DIVISOR of the time allowed counts as pressure. */
#define PRESSURE_DIVISOR 4

void
gyp_headroom_record(struct gyp_headroom *h, uint64_t waited_ms,
    uint64_t within_ms, bool started)
{
	if (waited_ms > within_ms / PRESSURE_DIVISOR)
		h->under_pressure = true;
	if (!started)
		return;
	if (waited_ms <= within_ms)
		h->in_time++;
	else
		h->late++;
}

void
gyp_headroom_adjust(struct gyp_headroom *h)
{
	h->share += h->under_pressure ? RISE_STEP : -FALL_STEP;
	h->share = CLAMP(h->share, 0, GYP_HEADROOM_MAX);
	h->under_pressure = false;
}
