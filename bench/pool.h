#ifndef BENCH_POOL_H
#define BENCH_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "flow_intake.h"
#include "flow_scheduler.h"

/*
 * NAME
 *	pool - endpoints and the decisions of a leader in virtual time
 *
 * DESCRIPTION
 *	Runs the scheduler and the intake of a leader over the flow tables,
 *	without log and network: commands are committed at once, endpoints
 *	answer at once, and a run is over when its time is. A run that is
 *	stopped keeps its place for POOL_STOP_MS; with checkpoints, its next
 *	run needs POOL_RESUME_MS in addition to what was left.
 */

#define POOL_STEP_MS   10
#define POOL_STOP_MS   400
#define POOL_RESUME_MS 600

/* A task, with the time that it needs. */
struct pool_task {
	uint32_t run_ms;
	uint32_t left_ms;
	uint64_t stop_at; /* end of the run being stopped, or 0 */
};

struct pool {
	struct gyp_flows *flows;
	struct gyp_flow_scheduler *scheduler; /* NULL: no leader */
	struct gyp_flow_intake *intake;
	uint64_t now;
	uint64_t fence;
	GPtrArray *tasks; /* array of struct pool_task by id of the flow */
	GQueue polls;     /* struct gyp_fleet_call, long polls */
	/* Since the start, in thousandths of a CPU times ms: */
	double booked;
	double thrown; /* lost by stops */
};

/* Creates endpoints of the given number of CPUs in the pool "pool". */
void pool_init(struct pool *, uint64_t now, uint32_t endpoints, uint32_t cpus);
void pool_clear(struct pool *);

/* Removes the leader, and creates one from the tables only. */
void pool_lose_leader(struct pool *);
void pool_new_leader(struct pool *);

/*
 * Commits a flow. Its tasks belong to the caller and must stay valid. Ids are
 * small numbers.
 */
void pool_commit_flow(struct pool *, Gyp__FlowSpec *, struct pool_task *tasks);

/* Advances by POOL_STEP_MS and ends the runs whose time is over. */
void pool_advance(struct pool *);

/* Does what the leader has to do now, if there is one. */
void pool_decide(struct pool *);

#endif
