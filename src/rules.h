#ifndef GYP_RULES_H
#define GYP_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "buf.h"
#include "state.h"
#include "status.h"

/*
 * NAME
 *	rules - scheduling rules of the operators, one per line
 *
 * DESCRIPTION
 *	A line consists of a verb, a subject where the verb has one, key=value
 *	pairs and a comment with the name of the person who requested the rule
 *	and the reason:
 *
 *	weight CLASS waiting=N packing=N	# name: reason
 *	quota TEAM cpu=N memory=SIZE accel=N slots=N
 *	share TEAM N
 *	urgent CLASS within=TIME
 *	limit endpoint tasks=N
 *	limit rack tasks=N			tasks of one job in one rack
 *	spread CLASS over=rack|data-centre
 *	reserve cpu=N% memory=N%		kept free for urgent work
 *	retry CLASS attempts=N budget=N%
 *	preempt CLASS by=CLASS
 *	quarantine failures=N within=TIME for=TIME
 *	learn CLASS margin=N%
 *
 *	CLASS and TEAM may be "*", the fallback for those not named. Times have
 *	the unit ms, s or m, sizes KiB, MiB or GiB. Empty lines and comment
 *	lines are allowed. A rule without a comment, an unknown verb or key, a
 *	wrong unit and a duplicate rule are errors, reported with file, line
 *	and column.
 *
 *	Parsed rules are read-only and hold no pointer into the text.
 */

/* Largest text of rules, in bytes. */
#define GYP_RULES_MAX (64 * 1024)

enum gyp_rule_verb {
	GYP_RULE_WEIGHT,
	GYP_RULE_QUOTA,
	GYP_RULE_SHARE,
	GYP_RULE_URGENT,
	GYP_RULE_LIMIT,
	GYP_RULE_SPREAD,
	GYP_RULE_RESERVE,
	GYP_RULE_RETRY,
	GYP_RULE_PREEMPT,
	GYP_RULE_QUARANTINE,
	GYP_RULE_LEARN
};

enum gyp_spread_domain {
	GYP_SPREAD_NONE,
	GYP_SPREAD_RACK,
	GYP_SPREAD_DATA_CENTRE
};

/* Amounts that mean "no limit". */
#define GYP_UNLIMITED        UINT32_MAX
#define GYP_UNLIMITED_MEMORY UINT64_MAX

/* One rule; `line` counts from 1 and is 0 for a built-in default. */
struct gyp_rule {
	enum gyp_rule_verb verb;
	uint32_t line;
	char *subject; /* class, team, "endpoint", "rack", or "" */
	char *text;    /* the line as written */
	char *comment; /* "name: reason" */
	union {
		struct {
			uint32_t waiting; /* relative weights */
			uint32_t packing;
		} weight;
		struct gyp_res quota; /* most booked by the team at a time */
		uint32_t share;       /* relative */
		uint32_t within_ms; /* of urgent; GYP_UNLIMITED if not urgent */
		uint32_t tasks;     /* of limit */
		enum gyp_spread_domain over;
		struct {
			uint32_t cpu_percent;
			uint32_t memory_percent;
		} reserve;
		struct {
			uint32_t attempts;
			uint32_t budget_percent; /* retries per 100 starts */
		} retry;
		char *by; /* class that may preempt the subject */
		struct {
			uint32_t failures; /* of different jobs */
			uint32_t within_ms;
			uint32_t for_ms;
		} quarantine;
		uint32_t margin_percent; /* of learn */
	} u;
};

struct gyp_rules;

/* Parses a text; name is for messages. Returns NULL on failure. */
struct gyp_rules *gyp_rules_parse(
    const char *name, struct gyp_slice text, struct gyp_error *);

/* Returns rules without lines, which consist of the built-in defaults. */
struct gyp_rules *gyp_rules_defaults(void);
void gyp_rules_free(struct gyp_rules *);

/*
 * Lookups return the rule for a class or team: its own line, else that of "*",
 * else the built-in default. Reserve, quarantine and learn have no default and
 * may return NULL; the others never do.
 */
const struct gyp_rule *gyp_rules_weight(
    const struct gyp_rules *, const char *class_name);
const struct gyp_rule *gyp_rules_quota(
    const struct gyp_rules *, const char *team);
const struct gyp_rule *gyp_rules_share(
    const struct gyp_rules *, const char *team);
const struct gyp_rule *gyp_rules_urgent(
    const struct gyp_rules *, const char *class_name);
const struct gyp_rule *gyp_rules_limit(
    const struct gyp_rules *, const char *scope);
const struct gyp_rule *gyp_rules_spread(
    const struct gyp_rules *, const char *class_name);
const struct gyp_rule *gyp_rules_retry(
    const struct gyp_rules *, const char *class_name);
const struct gyp_rule *gyp_rules_reserve(const struct gyp_rules *);
const struct gyp_rule *gyp_rules_quarantine(const struct gyp_rules *);
const struct gyp_rule *gyp_rules_learn(
    const struct gyp_rules *, const char *class_name);

/* Returns the rule that lets class `by` preempt `victim`, or NULL. */
const struct gyp_rule *gyp_rules_preempt(
    const struct gyp_rules *, const char *victim, const char *by);

/* All lines in the order of the file. */
uint32_t gyp_rules_count(const struct gyp_rules *);
const struct gyp_rule *gyp_rules_at(const struct gyp_rules *, uint32_t);

/*
 * Returns a text of the pairs of lines that contradict each other, one
 * paragraph per pair with both lines and their comments; "" if there is none.
 * The caller frees it with g_free().
 */
char *gyp_rules_conflicts(const struct gyp_rules *);

#endif
