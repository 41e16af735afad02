#ifndef GYP_RULES_INT_H
#define GYP_RULES_INT_H

#include "rules.h"

/*
 * NAME
 *	rules_int - what the files of the rules share
 *
 * DESCRIPTION
 *	rules_parse.c	text to lines
 *	rules.c		lookups and defaults
 *	rules_conflicts.c	lines that pull in opposite directions
 */

#define GYP_RULE_VERB_COUNT (GYP_RULE_LEARN + 1)

/* Subject that stands for every class or team not named. */
#define GYP_RULE_ANY "*"

struct gyp_rules {
	GPtrArray *lines;                       /* struct gyp_rule, owned */
	GHashTable *index[GYP_RULE_VERB_COUNT]; /* subject -> struct gyp_rule */
	struct gyp_rule *defaults[GYP_RULE_VERB_COUNT]; /* NULL where none */
};

const char *gyp_rule_verb_name(enum gyp_rule_verb);
void gyp_rule_free(gpointer);

#endif
