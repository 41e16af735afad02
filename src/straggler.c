#include "straggler.h"

/* Shortest time without progress, in ms, and its share of the usual time. */
#define STILL_MS      900
#define STILL_DIVISOR 8

/* Time before a run is judged by its pace, in ms. */
#define JUDGE_MS 400

/* What another run costs beside its work, in ms: stop, commit, start. */
#define RESTART_MS 250

/* What is left must exceed another run by this, in percent. */
#define GAIN_PERCENT 150

/* Runs that must be slow before their endpoint counts as slow. */
#define SLOW_RUNS 2

/* Runs of a queue that tell something, and the part that is large. */
#define MANY_RUNS          10
#define LARGE_PART_DIVISOR 3

/* The whole run must take so many times the usual time: sizes differ. */
#define SLOW_TIMES 3

static bool
stands_still(const struct gyp_straggler_run *r)
{
	uint64_t limit = STILL_MS + r->usual_ms / STILL_DIVISOR;

	return r->percent < 100 && r->still_ms >= limit;
}

static bool
is_slow(const struct gyp_straggler_run *r)
{
	uint64_t left, again;

	if (r->usual_ms == 0 || r->percent == 0 || r->percent >= 100 ||
	    r->up_ms < JUDGE_MS)
		return false;
	if (r->up_ms * 100 / r->percent < SLOW_TIMES * r->usual_ms)
		return false;
	left = r->up_ms * (100 - r->percent) / r->percent;
	again = r->usual_ms + RESTART_MS;
	if (r->checkpoints)
		again = r->usual_ms * (100 - r->percent) / 100 + RESTART_MS;
	return left * 100 > again * GAIN_PERCENT;
}

enum gyp_straggler_word
gyp_straggler_judge(const struct gyp_straggler_run *r)
{
	if (stands_still(r))
		return GYP_STRAGGLER_STILL;
	return is_slow(r) ? GYP_STRAGGLER_SLOW : GYP_STRAGGLER_KEEP;
}

bool
gyp_straggler_blames(const struct gyp_straggler_count *endpoint,
    const struct gyp_straggler_count *queue)
{
	if (queue->runs >= MANY_RUNS &&
	    queue->slow * LARGE_PART_DIVISOR > queue->runs)
		return false;
	return endpoint->slow >= SLOW_RUNS &&
	       endpoint->slow * 2 > endpoint->runs;
}
