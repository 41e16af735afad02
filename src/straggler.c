#include <glib.h>

#include "straggler.h"

/*
 * A run is stalled after STALL_MS + usual time / STALL_DIVISOR ms without
 * progress; while the usual time is unknown, after STALL_MS and the declared
 * time of STALL_PERCENTS percent. In no case before it has had STALL_PERCENTS
 * times its own mean time for one percent.
 */
#define STALL_MS       900
#define STALL_DIVISOR  8
#define STALL_PERCENTS 4

/* The time without progress is doubled at most so often. */
#define DOUBLINGS_MAX 8

/* A task that was stopped so often is slow itself, not its endpoint. */
#define SLOW_STOPS_MAX 2

/* Elapsed time before a run can count as slow, in ms. */
#define ELAPSED_MIN_MS 400

/* Overhead of another run, in ms: stop, commit, start. */
#define RESTART_MS 250

/* The remaining time must exceed this percentage of another run's time. */
#define GAIN_PERCENT 150

/* Slow runs before their endpoint counts as slow. */
#define SLOW_RUNS_MIN 2

/*
 * With at least QUEUE_RUNS_MIN runs of a queue, its usual time is unreliable if
 * more than one in QUEUE_SLOW_DIVISOR looks slow.
 */
#define QUEUE_RUNS_MIN     10
#define QUEUE_SLOW_DIVISOR 3

/*
 * A run is slow only if its projected total time is at least this multiple of
 * the usual time, because tasks differ in size.
 */
#define SLOW_FACTOR 3

/* Mean time for one percent until the latest progress; 0 if unknown. */
static uint64_t
percent_ms(const struct gyp_straggler_run *r)
{
	if (r->percent == 0 || r->elapsed_ms <= r->stalled_ms)
		return 0;
	return (r->elapsed_ms - r->stalled_ms) / r->percent;
}

static bool
is_stalled(const struct gyp_straggler_run *r)
{
	uint64_t limit = STALL_MS;

	if (r->usual_ms != 0)
		limit += r->usual_ms / STALL_DIVISOR;
	else
		limit += r->declared_ms * STALL_PERCENTS / 100;
	limit = MAX(limit, STALL_PERCENTS * percent_ms(r));
	limit <<= MIN(r->stops, DOUBLINGS_MAX);
	return r->percent < 100 && r->stalled_ms >= limit;
}

static bool
is_slow(const struct gyp_straggler_run *r)
{
	uint64_t remaining, restart;

	if (r->usual_ms == 0 || r->percent == 0 || r->percent >= 100 ||
	    r->elapsed_ms < ELAPSED_MIN_MS || r->stops >= SLOW_STOPS_MAX)
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
