#include <float.h>

#include "slack.h"

/* Steps whose chain is looked at; further ones count as short. */
#define STEPS_MAX 32

/* Longest chains of work, in ms. */
struct chains {
	double whole; /* of the flow */
	double left;  /* from a step on, with it */
};

static struct chains
measure(
    const struct gyp_run_stats *track, const Gyp__FlowSpec *spec, uint32_t from)
{
	double left[STEPS_MAX] = {0};
	struct chains c = {0, 0};
	size_t i, k;

	for (i = MIN(spec->n_steps, STEPS_MAX); i-- > 0;) {
		const Gyp__FlowStep *step = spec->steps[i];

		left[i] += (double)gyp_run_stats_expected_ms(
		    track, spec->queue->name, step->estimate_ms);
		for (k = 0; k < step->n_after; k++) {
			uint32_t before = step->after[k];

			left[before] = MAX(left[before], left[i]);
		}
		c.whole = MAX(c.whole, left[i]);
	}
	c.left = from < STEPS_MAX ? left[from] : 0;
	return c;
}

double
gyp_slack_spare(const struct gyp_run_stats *track, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint64_t now_ms)
{
	const Gyp__FlowSpec *spec = flow->spec;
	struct chains c;

	if (spec->times > 0 || unit->step->lasting || spec->queue->stretch <= 0)
		return DBL_MAX;
	c = measure(track, spec, unit->number);
	return flow->accepted_ms + spec->queue->stretch * c.whole +
	       spec->queue->target_ms - (now_ms + c.left);
}

enum gyp_slack_word
gyp_slack_word(const struct gyp_run_stats *track, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint64_t now_ms)
{
	double spare = gyp_slack_spare(track, flow, unit, now_ms);

	if (spare >= 0)
		return GYP_SLACK_IN_TIME;
	return spare < -GYP_SLACK_STARVE_MS ? GYP_SLACK_STARVING
					    : GYP_SLACK_LATE;
}
