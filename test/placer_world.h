#ifndef PLACER_WORLD_H
#define PLACER_WORLD_H

#include <stdbool.h>

#include "flow_fixture.h"
#include "placer.h"

/*
 * NAME
 *	placer_world - a placer over tables that are made by hand
 *
 * DESCRIPTION
 *	What a round decides stands in cmds and asks until the next one;
 *	placer_world_apply() commits it.
 */

#define PLACER_LANES 7

struct placer_world {
	struct flow_fixture w;
	struct gyp_admission *admission;
	struct gyp_run_stats *track;
	struct gyp_placer *placer;
	GPtrArray *cmds; /* Gyp__Cmd */
	GPtrArray *asks; /* Gyp__Ask */
};

/* With so many endpoints, e0 and on, that have been met. */
void placer_world_init(struct placer_world *, guint endpoints);
void placer_world_clear(struct placer_world *);

/* Changes the queue of a flow. */
void placer_world_queue(struct placer_world *, uint64_t id, uint32_t priority,
    bool admission, double question_ms, double each_ms);

/* A flow of one step, in a queue without questions. */
void placer_world_submit(
    struct placer_world *, uint64_t id, uint32_t priority, Gyp__FlowStep);

/* One round with so many free lanes. */
void placer_world_decide(struct placer_world *, uint32_t lanes);

/* The i-th command of the round, which must be a start. */
const Gyp__CmdFlowStart *placer_world_start(
    const struct placer_world *, guint i);

/* Commits all starts of the round. */
void placer_world_apply(struct placer_world *);

/* Answers the starts that are due: the runs are up. */
void placer_world_confirm(struct placer_world *);

/* Ends a task's run; with a checkpoint when it is stopped. */
void placer_world_end(
    struct placer_world *, uint64_t flow, uint32_t task, Gyp__FlowHow);

/* Answers a question: all that it names are allowed. */
void placer_world_allow(struct placer_world *, const Gyp__Ask *);

#endif
