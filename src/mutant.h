#ifndef GYP_MUTANT_H
#define GYP_MUTANT_H

/*
 * NAME
 *	mutant - deliberate faults that the tests must catch
 *
 * DESCRIPTION
 *	A program built with GYP_MUTANTS contains these faults; gyp_mutant
 *	selects the one that is active. `make mutants` shows that test_cell, or
 *	test_flows, catches each. In any other build GYP_MUTANT() is 0 and the
 *	compiler removes the code.
 */

enum gyp_mutant {
	GYP_MUTANT_NONE,
	/* Entries count as committed before a majority has synced them. */
	GYP_MUTANT_EARLY_COMMIT,
	/* The expiry of a lease ignores the bound on clock rates. */
	GYP_MUTANT_NO_CLOCK_BOUND,
	/* A replica that has lost its disk keeps its id. */
	GYP_MUTANT_REUSED_ID,
	/* A restart loses the newest rules. */
	GYP_MUTANT_RULES_LOST,
	/* A call without an answer counts as not run. */
	GYP_MUTANT_UNANSWERED_NOT_RUN,
	/* The tasks of a gang are placed one by one. */
	GYP_MUTANT_SPLIT_GANG,
	/* A record is acknowledged before the sync. */
	GYP_MUTANT_EARLY_ACK,
	/* An entry accepts orders of a deposed leader. */
	GYP_MUTANT_OLD_TERM,
	/* A task that is not idempotent gets a second attempt. */
	GYP_MUTANT_RETRY_NON_IDEMPOTENT,
	/* Cancelled tasks are not stopped. */
	GYP_MUTANT_NO_STOP,
	/* An order stays valid for the next incarnation of an endpoint. */
	GYP_MUTANT_NO_INCARNATION,
	/* A start that was answered confirms the run for an incarnation. */
	GYP_MUTANT_CONFIRM_UNLISTED,
	/* A run is confirmed although its start was sent again. */
	GYP_MUTANT_CONFIRM_REPEATED,
	/* A lease that is bounded in the tables is extended. */
	GYP_MUTANT_BOUND_EXTENDED,
	/* Bounds stay valid over a leader of a version without them. */
	GYP_MUTANT_BOUND_OUTDATED,
	/* An endpoint that announced its shutdown counts as ended. */
	GYP_MUTANT_ANNOUNCED_END,
	GYP_MUTANT_COUNT
};

#ifdef GYP_MUTANTS
extern int gyp_mutant;
#define GYP_MUTANT(which) (gyp_mutant == GYP_MUTANT_##which)
#else
#define GYP_MUTANT(which) 0
#endif

#endif
