#include "policy_int.h"

static void
add_transition(struct round *round, const struct endpoint_view *view,
    enum gyp_endpoint_state from, enum gyp_endpoint_state to)
{
	struct gyp_endpoint_transition transition = {
	    .endpoint = view->id, .from = from, .to = to};

	g_array_append_val(round->out->transitions, transition);
}

/*
 * Counts the attempts from before the end of the quarantine. Those that were
 * placed since are probes; one of them that lasts ends the probation. It ends
 * without a probe as well, because the waiting work may be a gang, whose tasks
 * can't be placed one at a time.
 */
static void
check_probes(struct gyp_policy *p, struct endpoint_view *view)
{
	uint64_t quarantine_end =
	    gyp_health_quarantine_end(p->health, view->id);
	bool has_probe = false;
	guint i;

	view->tasks_before_probe = 0;
	for (i = 0; i < view->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(view->ep->attempts, struct gyp_task_ref, i);
		uint64_t placed_ms = gyp_state_job(p->state, ref->job)
					 ->tasks[ref->task]
					 .changed_ms;

		if (placed_ms < quarantine_end) {
			view->tasks_before_probe++;
			continue;
		}
		has_probe = true;
		if (p->now >= placed_ms + GYP_HEALTH_PROBE_MS)
			view->probing = false;
	}
	/* A transition may take rounds to be applied, in both directions. */
	if (!has_probe &&
	    p->now >= MAX(view->back_at, quarantine_end) + GYP_HEALTH_PROBE_MS)
		view->probing = false;
	if (!view->probing)
		gyp_health_forget_endpoint(p->health, view->id);
}

static void
update_endpoint(struct round *round, struct endpoint_view *view,
    const struct gyp_health_limits *limits)
{
	struct gyp_policy *p = round->policy;

	view->probing = gyp_health_on_probation(p->health, view->id);
	if (view->usable && gyp_health_is_faulty_endpoint(
				p->health, view->id, limits, p->now)) {
		gyp_health_quarantine(p->health, view->id, limits, p->now);
		view->tasks_before_probe = view->ep->attempts->len;
		add_transition(
		    round, view, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_QUARANTINED);
		p->counters.quarantined++;
	} else if (view->ep->state == GYP_ENDPOINT_QUARANTINED &&
		   gyp_health_may_probe(p->health, view->id, p->now)) {
		add_transition(
		    round, view, GYP_ENDPOINT_QUARANTINED, GYP_ENDPOINT_ACTIVE);
		view->back_at = p->now;
		view->tasks_before_probe = view->ep->attempts->len;
	} else if (view->probing && view->usable) {
		check_probes(p, view);
	}
}

/* No quarantine holds without a rule for it: it may have been removed. */
static void
end_quarantines(struct round *round)
{
	struct gyp_policy *p = round->policy;
	uint32_t i;

	for (i = 0; i < index_size(p->index); i++) {
		struct endpoint_view *view = index_at(p->index, i);

		if (view == NULL)
			continue;
		view->probing = false;
		if (view->ep->state == GYP_ENDPOINT_QUARANTINED)
			add_transition(round, view, GYP_ENDPOINT_QUARANTINED,
			    GYP_ENDPOINT_ACTIVE);
	}
}

void
faults_update_endpoints(struct round *round)
{
	struct gyp_policy *p = round->policy;
	const struct gyp_rule *rule = gyp_rules_quarantine(p->rules);
	struct gyp_health_limits limits;
	uint32_t i;

	if (rule == NULL) {
		end_quarantines(round);
		return;
	}
	limits.failures = rule->u.quarantine.failures;
	limits.within_ms = rule->u.quarantine.within_ms;
	limits.for_ms = rule->u.quarantine.for_ms;
	limits.for_max_ms = 0;
	for (i = 0; i < index_size(p->index); i++) {
		struct endpoint_view *view = index_at(p->index, i);

		if (view != NULL)
			update_endpoint(round, view, &limits);
	}
}
