#ifndef PLACER_FIXTURE_H
#define PLACER_FIXTURE_H

#include <stdbool.h>

#include "flow_world.h"
#include "placer.h"

/*
 * NAME
 *	placer_world - a placer over tables that are made by hand
 *
 * DESCRIPTION
 *	What a round decides stands in cmds and asks until the next one;
 *	placer_world_apply() commits it.
 */

#define PLACER_QUERY_SLOTS 7

struct placer_fixture {
	struct flow_world base;
	struct gyp_admission *admission;
	struct gyp_track *stats;
	struct gyp_placer *placer;
	GPtrArray *cmds;    /* Gyp__Cmd */
	GPtrArray *queries; /* Gyp__Ask */
};

/* With so many endpoints, e0 and on, that have been met. */
void placer_fixture_init(struct placer_fixture *, guint endpoints);
void placer_fixture_clear(struct placer_fixture *);

/* Changes the queue of a flow. */
void placer_fixture_set_queue(struct placer_fixture *, uint64_t id,
    uint32_t priority, bool admission, double query_ms, double each_ms);

/* A flow of one step, in a queue without questions. */
void placer_fixture_submit(
    struct placer_fixture *, uint64_t id, uint32_t priority, Gyp__FlowStep);

/* One round with so many free lanes. */
void placer_fixture_run_round(struct placer_fixture *, uint32_t slots);

/* The i-th command of the round, which must be a start. */
const Gyp__CmdFlowStart *placer_fixture_start(
    const struct placer_fixture *, guint i);

/* Commits all starts of the round. */
void placer_fixture_apply(struct placer_fixture *);

/* Answers the starts that are due: the runs are up. */
void placer_fixture_confirm(struct placer_fixture *);

/* Ends a task's run; with a checkpoint when it is stopped. */
void placer_fixture_end_run(
    struct placer_fixture *, uint64_t flow, uint32_t task, Gyp__FlowHow);

/* Answers a question: all that it names are allowed. */
void placer_fixture_allow_all(struct placer_fixture *, const Gyp__Ask *);

#endif
