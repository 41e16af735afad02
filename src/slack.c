#include <float.h>

#include "slack.h"

/* Number of steps considered; later ones count as 0 ms. */
#define STEPS_MAX 32

/* Lengths of the longest chains of dependent steps, in ms. */
struct chain_lengths {
	double total;     /* of the flow */
	double remaining; /* from a given step to the end, inclusive */
};

static struct chain_lengths
measure_chains(const struct gyp_run_stats *stats, const struct gyp_flow *flow,
    const struct gyp_flow_unit *from)
{
	const Gyp__FlowSpec *spec = flow->spec;
	const struct gyp_flow_unit *first = from - from->step_number;
	double chain[STEPS_MAX] = {0};
	struct chain_lengths c = {0, 0};
	size_t i, k;

	for (i = MIN(spec->n_steps, STEPS_MAX); i-- > 0;) {
		const Gyp__FlowStep *step = spec->steps[i];

		chain[i] += (double)gyp_run_stats_time_ms(
		    stats, flow, &first[i], GYP_RUN_ORDER);
		for (k = 0; k < step->n_after; k++) {
			uint32_t predecessor = step->after[k];

			chain[predecessor] = MAX(chain[predecessor], chain[i]);
		}
		c.total = MAX(c.total, chain[i]);
	}
	c.remaining =
	    from->step_number < STEPS_MAX ? chain[from->step_number] : 0;
	return c;
}

double
gyp_slack_ms(const struct gyp_run_stats *stats, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint64_t now_ms)
{
	const Gyp__FlowSpec *spec = flow->spec;
	struct chain_lengths c;

	if (spec->times > 0 || unit->step->lasting || spec->queue->stretch <= 0)
		return DBL_MAX;
	c = measure_chains(stats, flow, unit);
	return flow->accepted_ms + spec->queue->stretch * c.total +
	       spec->queue->target_ms - (now_ms + c.remaining);
}

bool
gyp_slack_is_interrupted(const struct gyp_run_stats *stats,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit,
    uint32_t task, uint64_t now)
{
	const struct gyp_flow_task *t = &flow->tasks[task];

	return unit->step->lasting && t->state == GYP_FLOW_TASK_WAITING &&
	       t->run > 0 &&
	       !gyp_run_stats_failed_recently(stats, flow->id, task, now);
}

uint64_t
gyp_slack_down_since(const struct gyp_run_stats *stats,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit, uint64_t now)
{
	uint64_t since = UINT64_MAX;
	uint32_t i;

	if (!unit->step->lasting || unit->left == unit->open)
		return since;
	for (i = unit->first; i < unit->first + unit->step->count; i++) {
		if (gyp_slack_is_interrupted(stats, flow, unit, i, now))
			since = MIN(since, flow->tasks[i].changed_ms);
	}
	return since;
}

enum gyp_slack_state
gyp_slack_state(const struct gyp_run_stats *stats, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint64_t now, uint64_t now_ms)
{
	double slack_ms = gyp_slack_ms(stats, flow, unit, now_ms);

	if (gyp_slack_down_since(stats, flow, unit, now) != UINT64_MAX)
		return GYP_SLACK_INTERRUPTED;
	if (slack_ms >= 0)
		return GYP_SLACK_IN_TIME;
	return slack_ms < -GYP_SLACK_STARVE_MS ? GYP_SLACK_STARVING
					       : GYP_SLACK_LATE;
}
