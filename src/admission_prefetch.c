#include "admission_prefetch.h"

/*
 * A step of which no task waits ends soon if the ticket is valid for
 * TICKET_MARGIN_FACTOR times its expected run time, or if at most one in
 * OPEN_DIVISOR of its tasks still runs.
 */
#define TICKET_MARGIN_FACTOR 2
#define OPEN_DIVISOR         2

/* True when the unit has ended or is expected to end soon. */
static bool
ends_soon(const struct gyp_run_stats *stats, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u)
{
	const Gyp__FlowQueue *q = flow->spec->queue;
	uint64_t run_ms =
	    gyp_run_stats_time_ms(stats, flow, u, GYP_RUN_PREFETCH);

	if (u->left == 0)
		return true;
	if (u->left > u->open)
		return false;
	return run_ms * TICKET_MARGIN_FACTOR <= q->ticket_ms ||
	       u->left * OPEN_DIVISOR <= u->step->count;
}

bool
gyp_admission_prefetch_due(const struct gyp_run_stats *stats,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit)
{
	const struct gyp_flow_unit *first_unit =
	    unit - unit->step_number; /* of the same repetition */
	size_t i;

	if (!flow->spec->queue->admission || unit->left == 0 || unit->open > 0)
		return false;
	for (i = 0; i < unit->step->n_after; i++) {
		if (!ends_soon(stats, flow, &first_unit[unit->step->after[i]]))
			return false;
	}
	return unit->step->n_after > 0;
}
