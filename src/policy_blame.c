#include "policy_int.h"

static void
add_verdict(struct round *round, const struct spot *s,
    enum gyp_endpoint_state from, enum gyp_endpoint_state state)
{
	struct gyp_verdict v = {
	    .endpoint = s->id, .from = from, .state = state};

	g_array_append_val(round->out->verdicts, v);
}

static void
judge_endpoint(
    struct round *round, struct spot *s, const struct gyp_health_limits *limits)
{
	struct gyp_policy *p = round->policy;

	s->probing = gyp_health_on_probation(p->health, s->id);
	if (s->usable &&
	    gyp_health_is_faulty_endpoint(p->health, s->id, limits, p->now)) {
		gyp_health_quarantine(p->health, s->id, limits, p->now);
		add_verdict(
		    round, s, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_QUARANTINED);
		p->counters.quarantined++;
	} else if (s->ep->state == GYP_ENDPOINT_QUARANTINED &&
		   gyp_health_may_probe(p->health, s->id, p->now)) {
		add_verdict(
		    round, s, GYP_ENDPOINT_QUARANTINED, GYP_ENDPOINT_ACTIVE);
	}
}

void
blame_endpoints(struct round *round)
{
	struct gyp_policy *p = round->policy;
	const struct gyp_rule *rule = gyp_rules_quarantine(p->rules);
	struct gyp_health_limits limits;
	uint32_t i;

	if (rule == NULL)
		return;
	limits.failures = rule->u.quarantine.failures;
	limits.within_ms = rule->u.quarantine.within_ms;
	limits.for_ms = rule->u.quarantine.for_ms;
	for (i = 0; i < index_size(p->index); i++) {
		struct spot *s = index_at(p->index, i);

		if (s != NULL)
			judge_endpoint(round, s, &limits);
	}
}
