#include <string.h>

#include "rules_int.h"

/* Retry limits of classes without a rule. */
#define DEFAULT_RETRY_ATTEMPTS       3
#define DEFAULT_RETRY_BUDGET_PERCENT 20

void
gyp_rule_free(gpointer p)
{
	struct gyp_rule *rule = p;

	if (rule == NULL)
		return;
	if (rule->verb == GYP_RULE_PREEMPT)
		g_free(rule->u.by);
	g_free(rule->subject);
	g_free(rule->text);
	g_free(rule->comment);
	g_free(rule);
}

const char *
gyp_rule_verb_name(enum gyp_rule_verb verb)
{
	static const char *const names[] = {[GYP_RULE_WEIGHT] = "weight",
	    [GYP_RULE_QUOTA] = "quota",
	    [GYP_RULE_SHARE] = "share",
	    [GYP_RULE_URGENT] = "urgent",
	    [GYP_RULE_LIMIT] = "limit",
	    [GYP_RULE_SPREAD] = "spread",
	    [GYP_RULE_RESERVE] = "reserve",
	    [GYP_RULE_RETRY] = "retry",
	    [GYP_RULE_PREEMPT] = "preempt",
	    [GYP_RULE_QUARANTINE] = "quarantine",
	    [GYP_RULE_LEARN] = "learn"};

	return names[verb];
}

/* ---- Defaults ---------------------------------------------------------- */

static struct gyp_rule *
add_default(struct gyp_rules *rules, enum gyp_rule_verb verb)
{
	struct gyp_rule *rule = g_new0(struct gyp_rule, 1);

	rule->verb = verb;
	rule->subject = g_strdup(GYP_RULE_ANY);
	rule->text =
	    g_strdup_printf("built-in default of %s", gyp_rule_verb_name(verb));
	rule->comment = g_strdup("");
	rules->defaults[verb] = rule;
	return rule;
}

struct gyp_rules *
gyp_rules_defaults(void)
{
	struct gyp_rules *rules = g_new0(struct gyp_rules, 1);
	struct gyp_rule *rule;
	int verb;

	rules->lines = g_ptr_array_new_with_free_func(gyp_rule_free);
	for (verb = 0; verb < GYP_RULE_VERB_COUNT; verb++)
		rules->index[verb] = g_hash_table_new(g_str_hash, g_str_equal);
	rule = add_default(rules, GYP_RULE_WEIGHT);
	rule->u.weight.waiting = 1;
	rule->u.weight.packing = 1;
	rule = add_default(rules, GYP_RULE_QUOTA);
	rule->u.quota.cpu_milli = GYP_UNLIMITED;
	rule->u.quota.memory = GYP_UNLIMITED_MEMORY;
	rule->u.quota.accel = GYP_UNLIMITED;
	rule->u.quota.slots = GYP_UNLIMITED;
	add_default(rules, GYP_RULE_SHARE)->u.share = 1;
	add_default(rules, GYP_RULE_URGENT)->u.within_ms = GYP_UNLIMITED;
	add_default(rules, GYP_RULE_LIMIT)->u.tasks = GYP_UNLIMITED;
	add_default(rules, GYP_RULE_SPREAD)->u.over = GYP_SPREAD_NONE;
	rule = add_default(rules, GYP_RULE_RETRY);
	rule->u.retry.attempts = DEFAULT_RETRY_ATTEMPTS;
	rule->u.retry.budget_percent = DEFAULT_RETRY_BUDGET_PERCENT;
	return rules;
}

void
gyp_rules_free(struct gyp_rules *rules)
{
	int verb;

	if (rules == NULL)
		return;
	for (verb = 0; verb < GYP_RULE_VERB_COUNT; verb++) {
		g_hash_table_destroy(rules->index[verb]);
		gyp_rule_free(rules->defaults[verb]);
	}
	g_ptr_array_free(rules->lines, TRUE);
	g_free(rules);
}

/* ---- Lookups ----------------------------------------------------------- */

static const struct gyp_rule *
lookup(
    const struct gyp_rules *rules, enum gyp_rule_verb verb, const char *subject)
{
	GHashTable *index = rules->index[verb];
	const struct gyp_rule *rule = g_hash_table_lookup(index, subject);

	if (rule == NULL)
		rule = g_hash_table_lookup(index, GYP_RULE_ANY);
	return rule != NULL ? rule : rules->defaults[verb];
}

const struct gyp_rule *
gyp_rules_weight(const struct gyp_rules *rules, const char *class_name)
{
	return lookup(rules, GYP_RULE_WEIGHT, class_name);
}

const struct gyp_rule *
gyp_rules_quota(const struct gyp_rules *rules, const char *team)
{
	return lookup(rules, GYP_RULE_QUOTA, team);
}

const struct gyp_rule *
gyp_rules_share(const struct gyp_rules *rules, const char *team)
{
	return lookup(rules, GYP_RULE_SHARE, team);
}

const struct gyp_rule *
gyp_rules_urgent(const struct gyp_rules *rules, const char *class_name)
{
	return lookup(rules, GYP_RULE_URGENT, class_name);
}

const struct gyp_rule *
gyp_rules_limit(const struct gyp_rules *rules, const char *scope)
{
	return lookup(rules, GYP_RULE_LIMIT, scope);
}

const struct gyp_rule *
gyp_rules_spread(const struct gyp_rules *rules, const char *class_name)
{
	return lookup(rules, GYP_RULE_SPREAD, class_name);
}

const struct gyp_rule *
gyp_rules_retry(const struct gyp_rules *rules, const char *class_name)
{
	return lookup(rules, GYP_RULE_RETRY, class_name);
}

const struct gyp_rule *
gyp_rules_reserve(const struct gyp_rules *rules)
{
	return lookup(rules, GYP_RULE_RESERVE, "");
}

const struct gyp_rule *
gyp_rules_quarantine(const struct gyp_rules *rules)
{
	return lookup(rules, GYP_RULE_QUARANTINE, "");
}

const struct gyp_rule *
gyp_rules_learn(const struct gyp_rules *rules, const char *class_name)
{
	return lookup(rules, GYP_RULE_LEARN, class_name);
}

static bool
covers(const char *pattern, const char *name)
{
	return strcmp(pattern, GYP_RULE_ANY) == 0 || strcmp(pattern, name) == 0;
}

const struct gyp_rule *
gyp_rules_preempt(
    const struct gyp_rules *rules, const char *victim, const char *by)
{
	guint i;

	for (i = 0; i < rules->lines->len; i++) {
		const struct gyp_rule *rule = rules->lines->pdata[i];

		if (rule->verb == GYP_RULE_PREEMPT &&
		    covers(rule->subject, victim) && covers(rule->u.by, by))
			return rule;
	}
	return NULL;
}

uint32_t
gyp_rules_count(const struct gyp_rules *rules)
{
	return rules->lines->len;
}

const struct gyp_rule *
gyp_rules_at(const struct gyp_rules *rules, uint32_t i)
{
	return rules->lines->pdata[i];
}
