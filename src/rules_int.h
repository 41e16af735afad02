#ifndef GYP_RULES_INT_H
#define GYP_RULES_INT_H

#include "rules.h"

/*
 * NAME
 *	rules_int - internals shared by the files of the rules
 *
 * DESCRIPTION
 *	rules_parse.c		parser
 *	rules.c			lookups and defaults
 *	rules_conflicts.c	pairs of lines that contradict each other
 */

#define GYP_RULE_VERB_COUNT (GYP_RULE_LEARN + 1)

/* Subject that matches every class or team without its own line. */
#define GYP_RULE_ANY "*"

struct gyp_rules {
	GPtrArray *lines;                       /* struct gyp_rule, owned */
	GHashTable *index[GYP_RULE_VERB_COUNT]; /* subject -> struct gyp_rule */
	struct gyp_rule *defaults[GYP_RULE_VERB_COUNT]; /* NULL if none */
};

const char *gyp_rule_verb_name(enum gyp_rule_verb);
void gyp_rule_free(gpointer);

#endif
