#include "placer_candidates.h"
#include "admission_prefetch.h"

bool
gyp_placer_unit_is_due(const struct gyp_flow *flow,
    const struct gyp_flow_unit *u, uint64_t wall_ms)
{
	const Gyp__FlowSpec *spec = flow->spec;

	if (spec->times == 0)
		return true;
	return wall_ms >=
	       spec->first_ms + (uint64_t)u->repetition * spec->interval_ms;
}

/*
 * Interrupted units, and those whose runs may be lost, take turns with their
 * queries: by age alone, the oldest ones would take all query slots until the
 * last of their tasks runs.
 */
static gint
by_urgency(gconstpointer a, gconstpointer b)
{
	const struct gyp_candidate *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->slack != y->slack)
		return x->slack < y->slack ? -1 : 1;
	if (x->slack == GYP_SLACK_INTERRUPTED && x->asked_at != y->asked_at)
		return x->asked_at < y->asked_at ? -1 : 1;
	if (x->down_since != y->down_since)
		return x->down_since < y->down_since ? -1 : 1;
	if (x->flow->seq != y->flow->seq)
		return x->flow->seq < y->flow->seq ? -1 : 1;
	return x->unit < y->unit ? -1 : x->unit > y->unit;
}

/* True when tasks of the unit need a run, whether or not the unit is ready. */
static bool
has_waiting(const struct gyp_flow_unit *u)
{
	return u->left > u->open && !(u->step->gang && u->open > 0);
}

void
gyp_placer_count_waiting(const struct gyp_flow *flow, uint64_t wall_ms,
    uint32_t *waiting, uint32_t *later)
{
	uint32_t i;

	*waiting = 0;
	*later = 0;
	if (!gyp_flow_is_alive(flow))
		return;
	for (i = 0; i < flow->n_units; i++) {
		const struct gyp_flow_unit *u = &flow->units[i];
		uint32_t *n = gyp_placer_unit_is_due(flow, u, wall_ms) &&
				      gyp_flow_unit_is_ready(flow, u)
				  ? waiting
				  : later;

		if (has_waiting(u))
			*n += u->left - u->open;
	}
}

static uint64_t
asked_at(const struct gyp_placer_candidates *cs, const struct gyp_candidate *c)
{
	return gyp_admission_asked_at(
	    gyp_admission_unit(cs->admission, c->flow, c->unit));
}

static void
add_candidate(struct gyp_placer_candidates *cs, struct gyp_flow *flow,
    struct gyp_flow_unit *unit, uint64_t now, uint64_t wall_ms)
{
	uint64_t now_ms = gyp_flows_time(cs->flows);
	struct gyp_candidate c = {
	    .flow = flow, .unit = unit, .rank = gyp_flow_rank(flow, now_ms)};

	if (gyp_admission_lost_runs(cs->fleet, flow, unit).silent > 0) {
		c.slack = GYP_SLACK_INTERRUPTED;
		c.asked_at = asked_at(cs, &c);
		g_array_append_val(cs->expiring, c);
	}
	if (!has_waiting(unit) || !gyp_placer_unit_is_due(flow, unit, wall_ms))
		return;
	if (!gyp_flow_unit_is_ready(flow, unit)) {
		if (gyp_admission_unit(cs->admission, flow, unit) == NULL &&
		    gyp_admission_prefetch_due(cs->stats, flow, unit))
			g_array_append_val(cs->prefetch, c);
		return;
	}
	c.slack = gyp_slack_state(cs->stats, flow, unit, now, now_ms);
	c.down_since = gyp_slack_down_since(cs->stats, flow, unit, now);
	c.asked_at = asked_at(cs, &c);
	g_array_append_val(cs->units, c);
}

void
gyp_placer_candidates_find(
    struct gyp_placer_candidates *cs, uint64_t now, uint64_t wall_ms)
{
	uint64_t now_ms = gyp_flows_time(cs->flows);
	const GList *l;
	uint32_t i;

	g_array_set_size(cs->units, 0);
	g_array_set_size(cs->prefetch, 0);
	g_array_set_size(cs->expiring, 0);
	cs->least_urgent = 0;
	for (l = gyp_flows_active(cs->flows)->head; l != NULL; l = l->next) {
		struct gyp_flow *flow = l->data;

		if (!gyp_flow_is_alive(flow))
			continue;
		cs->least_urgent =
		    MAX(cs->least_urgent, gyp_flow_rank(flow, now_ms));
		for (i = 0; i < flow->n_units; i++)
			add_candidate(cs, flow, &flow->units[i], now, wall_ms);
	}
	g_array_sort(cs->units, by_urgency);
	g_array_sort(cs->prefetch, by_urgency);
	g_array_sort(cs->expiring, by_urgency);
}

bool
gyp_placer_candidates_are_none(const struct gyp_placer_candidates *cs)
{
	return cs->units->len + cs->prefetch->len + cs->expiring->len == 0;
}

struct gyp_placer_candidates *
gyp_placer_candidates_new(const struct gyp_flows *flows,
    const struct gyp_fleet *fleet, const struct gyp_admission *admission,
    const struct gyp_run_stats *stats)
{
	struct gyp_placer_candidates *cs =
	    g_new0(struct gyp_placer_candidates, 1);

	cs->flows = flows;
	cs->fleet = fleet;
	cs->admission = admission;
	cs->stats = stats;
	cs->units = g_array_new(FALSE, FALSE, sizeof(struct gyp_candidate));
	cs->prefetch = g_array_new(FALSE, FALSE, sizeof(struct gyp_candidate));
	cs->expiring = g_array_new(FALSE, FALSE, sizeof(struct gyp_candidate));
	return cs;
}

void
gyp_placer_candidates_free(struct gyp_placer_candidates *cs)
{
	if (cs == NULL)
		return;
	g_array_free(cs->units, TRUE);
	g_array_free(cs->prefetch, TRUE);
	g_array_free(cs->expiring, TRUE);
	g_free(cs);
}
