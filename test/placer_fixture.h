#ifndef PLACER_FIXTURE_H
#define PLACER_FIXTURE_H

#include <stdbool.h>

#include "flow_fixture.h"
#include "placer.h"

/*
 * NAME
 *	placer_fixture - a placer over tables built by hand
 *
 * DESCRIPTION
 *	The decisions of a round stay in cmds and queries until the next round;
 *	placer_fixture_apply() commits them.
 */

#define PLACER_QUERY_SLOTS 7

struct placer_fixture {
	struct flow_fixture base;
	struct gyp_admission *admission;
	struct gyp_run_stats *stats;
	struct gyp_placer *placer;
	GPtrArray *cmds;         /* Gyp__Cmd */
	GPtrArray *queries;      /* Gyp__Ask */
	bool silent_is_replaced; /* another endpoint has that one's address */
};

/*
 * Creates the given number of endpoints, named e0, e1 and so on, all contacted.
 */
void placer_fixture_init(struct placer_fixture *, guint endpoints);
void placer_fixture_clear(struct placer_fixture *);

/* Replaces all that a leader keeps by that of a new leader. */
void placer_fixture_new_leader(struct placer_fixture *, uint64_t fence);

/* Sets the priority and admission settings of the queue of a flow. */
void placer_fixture_set_queue(struct placer_fixture *, uint64_t id,
    uint32_t priority, bool admission, double query_ms, double each_ms);

/* Submits a flow of one step, in a queue without admission. */
void placer_fixture_submit(
    struct placer_fixture *, uint64_t id, uint32_t priority, Gyp__FlowStep);

/* Runs one round with the given number of free query slots. */
void placer_fixture_run_round(struct placer_fixture *, uint32_t slots);

/* Returns the i-th command of the round, which must be a start. */
const Gyp__CmdFlowStart *placer_fixture_start(
    const struct placer_fixture *, guint i);

/* Commits all commands of the round. */
void placer_fixture_apply(struct placer_fixture *);

/* Answers the start calls that are due, which confirms their runs. */
void placer_fixture_confirm(struct placer_fixture *);

/* Ends the run of a task; a stopped run leaves a checkpoint. */
void placer_fixture_end_run(
    struct placer_fixture *, uint64_t flow, uint32_t task, Gyp__FlowHow);

/* Answers a query: allows all endpoints that it names. */
void placer_fixture_allow_all(struct placer_fixture *, const Gyp__Ask *);

#endif
