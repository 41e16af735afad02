#include "admission_prefetch.h"
#include "admission_query.h"

/*
 * A step of which no task waits ends soon if the ticket is valid for
 * TICKET_MARGIN_FACTOR times its expected run time, or if at most one in
 * OPEN_DIVISOR of its tasks still runs.
 */
#define TICKET_MARGIN_FACTOR 2
#define OPEN_DIVISOR         2

/* An endpoint that is silent for this long is expected to be gone, in ms. */
#define GONE_SILENT_MS 2000

/*
 * The answer to a query about tasks on such an endpoint should arrive one part
 * in TICKET_LEAD_DIVISOR of the validity of its tickets before the lease is
 * over: the answer may be late by as much, and so may the end of the runs.
 */
#define TICKET_LEAD_DIVISOR 2

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

/* Time before the end of a lease at which its tasks are queried about, in ms.
 */
static double
lead_ms(const Gyp__FlowQueue *q)
{
	return gyp_admission_query_ms(q) +
	       (double)q->ticket_ms / TICKET_LEAD_DIVISOR;
}

static void
add_lost_run(struct gyp_lost_runs *lost, uint64_t left_ms, double lead)
{
	lost->silent++;
	if ((double)left_ms > lead)
		return;
	lost->ending++;
	lost->ending_ms = MAX(lost->ending_ms, left_ms);
}

struct gyp_lost_runs
gyp_admission_lost_runs(const struct gyp_fleet *fleet,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit)
{
	double lead = lead_ms(flow->spec->queue);
	struct gyp_lost_runs lost = {.silent = 0};
	uint32_t i;

	if (!flow->spec->queue->admission || !unit->step->lasting ||
	    unit->step->gang)
		return lost;
	for (i = unit->first; i < unit->first + unit->step->count; i++) {
		const struct gyp_flow_task *t = &flow->tasks[i];
		uint64_t left_ms;

		if (t->state == GYP_FLOW_TASK_OPEN &&
		    gyp_fleet_lease_runs_out(
			fleet, t->row, GONE_SILENT_MS, &left_ms))
			add_lost_run(&lost, left_ms, lead);
	}
	return lost;
}
