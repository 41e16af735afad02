#ifndef GYP_STRAGGLER_H
#define GYP_STRAGGLER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	straggler - whether a run should be stopped and begun elsewhere
 *
 * DESCRIPTION
 *	Load patterns answered: tasks that stand still on an endpoint that
 *	looks well; endpoints that turn several times slower. A run is stopped
 *	when it made no progress for long, or when what is left of it at its
 *	pace takes much longer than all of it usually does elsewhere. The
 *	caller makes sure that no second run begins before the first is over.
 */

enum gyp_straggler_verdict {
	GYP_STRAGGLER_KEEP,
	GYP_STRAGGLER_STALLED, /* it stands still */
	GYP_STRAGGLER_SLOW     /* it is several times slower than usual */
};

struct gyp_straggler_run {
	uint64_t elapsed_ms; /* since it began */
	uint64_t stalled_ms; /* since its progress last changed */
	uint32_t percent;    /* done, 0 to 100 */
	uint64_t usual_ms;   /* of the whole task; 0 when it is not known */
	bool checkpoints;    /* another run resumes from about here */
};

enum gyp_straggler_verdict gyp_straggler_classify(
    const struct gyp_straggler_run *);

/* Runs whose pace can be told, at an endpoint or of a queue, and slow ones. */
struct gyp_straggler_count {
	uint32_t runs;
	uint32_t slow;
};

/*
 * Whether slow runs at the endpoint are stopped. Sizes of tasks differ, so one
 * long run tells nothing of its endpoint: most of the runs there must be slow,
 * and more than one.
 *
 * Load pattern answered: a new leader learns how long a queue's tasks take
 * from those that end first, which are the shortest; then all others look slow
 * at once. Where a large part of the queue's runs look slow, what is usual is
 * not known yet, and none is stopped.
 */
bool gyp_straggler_endpoint_is_slow(const struct gyp_straggler_count *endpoint,
    const struct gyp_straggler_count *queue);

#endif
