#include "straggler.h"

/* Shortest time without progress, in ms, and its share of the usual time. */
#define STALL_MS      900
#define STALL_DIVISOR 8

/* Time before a run is judged by its pace, in ms. */
#define MIN_ELAPSED_MS 400

/* What another run costs beside its work, in ms: stop, commit, start. */
#define RESTART_MS 250

/* What is left must exceed another run by this, in percent. */
#define GAIN_PERCENT 150

/* Runs that must be slow before their endpoint counts as slow. */
#define SLOW_RUNS_MIN 2

/* Runs of a queue that tell something, and the part that is large. */
#define QUEUE_RUNS_MIN     10
#define QUEUE_SLOW_DIVISOR 3

/* The whole run must take so many times the usual time: sizes differ. */
#define SLOW_FACTOR 3

static bool
is_stalled(const struct gyp_straggler_run *r)
{
	uint64_t limit = STALL_MS + r->usual_ms / STALL_DIVISOR;

	return r->percent < 100 && r->stalled_ms >= limit;
}

static bool
is_slow(const struct gyp_straggler_run *r)
{
	uint64_t remaining, restart;

	if (r->usual_ms == 0 || r->percent == 0 || r->percent >= 100 ||
	    r->elapsed_ms < MIN_ELAPSED_MS)
		return false;
	if (r->elapsed_ms * 100 / r->percent < SLOW_FACTOR * r->usual_ms)
		return false;
	remaining = r->elapsed_ms * (100 - r->percent) / r->percent;
	restart = r->usual_ms + RESTART_MS;
	if (r->checkpoints)
		restart = r->usual_ms * (100 - r->percent) / 100 + RESTART_MS;
	return remaining * 100 > restart * GAIN_PERCENT;
}

enum gyp_straggler_verdict
gyp_straggler_classify(const struct gyp_straggler_run *r)
{
	if (is_stalled(r))
		return GYP_STRAGGLER_STALLED;
	return is_slow(r) ? GYP_STRAGGLER_SLOW : GYP_STRAGGLER_KEEP;
}

bool
gyp_straggler_endpoint_is_slow(const struct gyp_straggler_count *endpoint,
    const struct gyp_straggler_count *queue)
{
	if (queue->runs >= QUEUE_RUNS_MIN &&
	    queue->slow * QUEUE_SLOW_DIVISOR > queue->runs)
		return false;
	return endpoint->slow >= SLOW_RUNS_MIN &&
	       endpoint->slow * 2 > endpoint->runs;
}
