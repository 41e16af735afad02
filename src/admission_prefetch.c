#include "admission_prefetch.h"

/* A ticket must outlive the expected end so many times. */
#define TICKET_MARGIN_FACTOR 2

/* The part of a step's tasks that must be over when the step is a long one. */
#define DONE_DIVISOR 2

/* True when the step's unit is about to be over. */
static bool
ends_soon(const struct gyp_track *stats, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u)
{
	const Gyp__FlowQueue *q = flow->spec->queue;
	uint64_t run_ms =
	    gyp_track_expect(stats, q->name, u->step->estimate_ms);

	if (u->left == 0)
		return true;
	if (u->left > u->open)
		return false;
	return run_ms * TICKET_MARGIN_FACTOR <= q->ticket_ms ||
	       u->left * DONE_DIVISOR <= u->step->count;
}

bool
gyp_admission_prefetch_due(const struct gyp_track *stats,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit)
{
	const struct gyp_flow_unit *base = unit - unit->number;
	size_t i;

	if (!flow->spec->queue->admission || unit->left == 0 || unit->open > 0)
		return false;
	for (i = 0; i < unit->step->n_after; i++) {
		if (!ends_soon(stats, flow, &base[unit->step->after[i]]))
			return false;
	}
	return unit->step->n_after > 0;
}
