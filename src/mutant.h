#ifndef GYP_MUTANT_H
#define GYP_MUTANT_H

/*
 * NAME
 *	mutant - deliberate faults that the tests must catch
 *
 * DESCRIPTION
 *	A program built with GYP_MUTANTS carries one fault a number, chosen by
 *	gyp_mutant; `make mutants` shows that test_cell catches each. In any
 *	other build GYP_MUTANT() is 0 and the guards vanish.
 */

enum gyp_mutant {
	GYP_MUTANT_NONE,
	GYP_MUTANT_EARLY_COMMIT,       /* starts go out before the commit */
	GYP_MUTANT_NO_CLOCK_BOUND,     /* a lease is over without the bound */
	GYP_MUTANT_REUSED_ID,          /* a lost disk keeps the replica's id */
	GYP_MUTANT_RULES_LOST,         /* a restart forgets the newest rules */
	GYP_MUTANT_UNANSWERED_NOT_RUN, /* a call without an answer was not run
					*/
	GYP_MUTANT_SPLIT_GANG, /* a gang's tasks are placed one by one */
	GYP_MUTANT_EARLY_ACK,  /* acknowledges before the sync */
	GYP_MUTANT_OLD_TERM,   /* an entry obeys a deposed leader */
	GYP_MUTANT_RETRY_NON_IDEMPOTENT, /* a second attempt though not
					    idempotent */
	GYP_MUTANT_NO_STOP,              /* cancelled work goes on */
	GYP_MUTANT_NO_INCARNATION, /* an order counts for the next life too */
	GYP_MUTANT_COUNT
};

#ifdef GYP_MUTANTS
extern int gyp_mutant;
#define GYP_MUTANT(which) (gyp_mutant == GYP_MUTANT_##which)
#else
#define GYP_MUTANT(which) 0
#endif

#endif
