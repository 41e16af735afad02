#include <string.h>

#include "rules_int.h"

/* Appends a paragraph on one pair of lines. */
static void
add_conflict(GString *out, const struct gyp_rule *a, const struct gyp_rule *b,
    const char *why)
{
	g_string_append_printf(out,
	    "%sLines %u and %u disagree: %s.\n    line %u: %s\n    line %u: "
	    "%s\n",
	    out->len > 0 ? "\n" : "", a->line, b->line, why, a->line, a->text,
	    b->line, b->text);
}

static bool
prefers_packing(const struct gyp_rule *weight)
{
	return weight->u.weight.packing > weight->u.weight.waiting;
}

static bool
is_explicit(const struct gyp_rule *rule)
{
	return rule != NULL && rule->line != 0;
}

/* ---- Checks of one line against the others ----------------------------- */

typedef void (*conflict_check)(
    const struct gyp_rules *, const struct gyp_rule *, GString *out);

static void
check_urgent(
    const struct gyp_rules *rules, const struct gyp_rule *urgent, GString *out)
{
	const struct gyp_rule *weight =
	    gyp_rules_weight(rules, urgent->subject);

	if (is_explicit(weight) && prefers_packing(weight))
		add_conflict(out, urgent, weight,
		    "one wants the work started soon, the other lets it wait "
		    "for a full VM");
}

static void
check_spread(
    const struct gyp_rules *rules, const struct gyp_rule *spread, GString *out)
{
	const struct gyp_rule *weight =
	    gyp_rules_weight(rules, spread->subject);

	if (is_explicit(weight) && prefers_packing(weight))
		add_conflict(out, spread, weight,
		    "one spreads tasks out, the other packs them together");
}

static void
check_reserve(
    const struct gyp_rules *rules, const struct gyp_rule *reserve, GString *out)
{
	const struct gyp_rule *weight = gyp_rules_weight(rules, GYP_RULE_ANY);

	if (is_explicit(weight) && prefers_packing(weight) &&
	    (reserve->u.reserve.cpu_percent > 0 ||
		reserve->u.reserve.memory_percent > 0))
		add_conflict(out, reserve, weight,
		    "one keeps capacity free, the other fills VMs");
}

static void
check_limit(
    const struct gyp_rules *rules, const struct gyp_rule *limit, GString *out)
{
	const struct gyp_rule *weight = gyp_rules_weight(rules, GYP_RULE_ANY);

	if (is_explicit(weight) && weight->u.weight.waiting == 0)
		add_conflict(out, limit, weight,
		    "one limits the tasks per endpoint or rack, the other "
		    "weighs packing alone");
}

/* Reports two preempt lines that let each class preempt the other. */
static void
check_preempt_both_ways(
    const struct gyp_rules *rules, const struct gyp_rule *preempt, GString *out)
{
	const struct gyp_rule *reverse =
	    gyp_rules_preempt(rules, preempt->u.by, preempt->subject);

	if (reverse != NULL && reverse->line > preempt->line)
		add_conflict(out, preempt, reverse,
		    "each of two classes may preempt the other");
}

static void
check_preempt_urgent(
    const struct gyp_rules *rules, const struct gyp_rule *preempt, GString *out)
{
	const struct gyp_rule *victim =
	    gyp_rules_urgent(rules, preempt->subject);
	const struct gyp_rule *by = gyp_rules_urgent(rules, preempt->u.by);

	if (is_explicit(victim) &&
	    strcmp(victim->subject, preempt->subject) == 0 &&
	    by->u.within_ms > victim->u.within_ms)
		add_conflict(out, preempt, victim,
		    "one lets less urgent work preempt what the other wants "
		    "started sooner");
}

static void
check_preempt(
    const struct gyp_rules *rules, const struct gyp_rule *preempt, GString *out)
{
	check_preempt_both_ways(rules, preempt, out);
	check_preempt_urgent(rules, preempt, out);
}

static bool
quota_is_below(const struct gyp_res *a, const struct gyp_res *b)
{
	return a->cpu_milli < b->cpu_milli || a->memory < b->memory ||
	       a->accel < b->accel || a->slots < b->slots;
}

/* Reports a team that has a larger share but a smaller quota than another. */
static void
check_share(
    const struct gyp_rules *rules, const struct gyp_rule *share, GString *out)
{
	const struct gyp_rule *quota = gyp_rules_quota(rules, share->subject);
	uint32_t i;

	if (!is_explicit(quota) || strcmp(quota->subject, share->subject) != 0)
		return;
	for (i = 0; i < gyp_rules_count(rules); i++) {
		const struct gyp_rule *other = gyp_rules_at(rules, i);
		const struct gyp_rule *other_quota;
		char *why;

		if (other->verb != GYP_RULE_SHARE ||
		    other->u.share >= share->u.share)
			continue;
		other_quota = gyp_rules_quota(rules, other->subject);
		if (!is_explicit(other_quota) ||
		    !quota_is_below(&quota->u.quota, &other_quota->u.quota))
			continue;
		why = g_strdup_printf(
		    "one gives %s more than %s (line %u), the other lets it "
		    "book less",
		    share->subject, other->subject, other->line);
		add_conflict(out, share, quota, why);
		g_free(why);
		return;
	}
}

static const conflict_check checks[GYP_RULE_VERB_COUNT] = {
    [GYP_RULE_URGENT] = check_urgent,
    [GYP_RULE_SPREAD] = check_spread,
    [GYP_RULE_RESERVE] = check_reserve,
    [GYP_RULE_LIMIT] = check_limit,
    [GYP_RULE_PREEMPT] = check_preempt,
    [GYP_RULE_SHARE] = check_share};

char *
gyp_rules_conflicts(const struct gyp_rules *rules)
{
	GString *out = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < gyp_rules_count(rules); i++) {
		const struct gyp_rule *rule = gyp_rules_at(rules, i);

		if (checks[rule->verb] != NULL)
			checks[rule->verb](rules, rule, out);
	}
	return g_string_free(out, FALSE);
}
