#ifndef GYP_STRAGGLER_H
#define GYP_STRAGGLER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	straggler - decides whether to stop a run and restart it elsewhere
 *
 * DESCRIPTION
 *	Guards against tasks that stall on an endpoint that appears healthy and
 *	against endpoints that become several times slower. A run is stopped if
 *	it has made no progress for long, or if its remaining work takes much
 *	longer at the present rate than the whole task usually does elsewhere.
 *	Progress is shown in whole percent, so that of a long task stands for a
 *	while: how long depends on the usual or declared time of the task and on
 *	the progress it has made. A task that stalls or is slow on one endpoint
 *	and on the next is rather a long one: each stop doubles the time that
 *	its progress may stand, and after two it does not count as slow.
 *	The caller ensures that no second run starts before the first has
 *	ended.
 */

enum gyp_straggler_verdict {
	GYP_STRAGGLER_KEEP,
	GYP_STRAGGLER_STALLED, /* it makes no progress */
	GYP_STRAGGLER_SLOW     /* it is several times slower than usual */
};

struct gyp_straggler_run {
	uint64_t elapsed_ms;  /* since it started; 0 if unknown */
	uint64_t stalled_ms;  /* since its progress last changed */
	uint32_t percent;     /* done, 0 to 100 */
	uint64_t usual_ms;    /* of the whole task; 0 if unknown */
	bool checkpoints;     /* another run resumes near this point */
	uint64_t declared_ms; /* by the caller, of the whole task; 0: none */
	uint32_t stops; /* of earlier runs of the task, as stalled or slow */
};

enum gyp_straggler_verdict gyp_straggler_classify(
    const struct gyp_straggler_run *);

/*
 * Counts of runs with a known usual time, at an endpoint or of a queue, and of
 * the slow ones among them.
 */
struct gyp_straggler_count {
	uint32_t runs;
	uint32_t slow;
};

/*
 * True if slow runs at the endpoint are to be stopped. Tasks differ in size, so
 * one long run is no evidence against its endpoint: more than half of the runs
 * there must be slow, and more than one.
 *
 * A new leader estimates a queue's usual time from the tasks that end first,
 * which are the shortest, so that all others look slow. If a large part of the
 * queue's runs look slow, the usual time is therefore not reliable yet, and no
 * run is stopped.
 */
bool gyp_straggler_endpoint_is_slow(const struct gyp_straggler_count *endpoint,
    const struct gyp_straggler_count *queue);

#endif
