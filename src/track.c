#include <glib.h>

#include "health.h"
#include "track.h"

/* Weight of one task in an endpoint's pace. */
#define PACE_WEIGHT 0.2

/* Bounds of one task's share in a pace: sizes of one step differ. */
#define PACE_MIN 0.3
#define PACE_MAX 8.0

struct gyp_track {
	struct gyp_health *health;
	GArray *paces; /* double by row */
};

static const struct gyp_health_limits limits = {.failures = GYP_TRACK_FAILURES,
    .within_ms = GYP_TRACK_WITHIN_MS,
    .for_ms = GYP_TRACK_FOR_MS};

/* Tasks share a flow's id; blame is by task. */
static uint64_t
key_of(uint64_t flow, uint32_t task)
{
	return flow ^ ((uint64_t)(task + 1) << 40);
}

static double *
pace_at(struct gyp_track *t, uint32_t row)
{
	double usual = 1;

	while (row >= t->paces->len)
		g_array_append_val(t->paces, usual);
	return &g_array_index(t->paces, double, row);
}

void
gyp_track_done(struct gyp_track *t, uint64_t flow, uint32_t task, uint32_t row,
    uint64_t ran_ms, uint64_t mean_ms)
{
	double *pace = pace_at(t, row);

	gyp_health_succeeded(t->health, key_of(flow, task), row);
	if (mean_ms > 0)
		*pace += PACE_WEIGHT *
			 (CLAMP((double)ran_ms / (double)mean_ms, PACE_MIN,
			      PACE_MAX) -
			     *pace);
}

bool
gyp_track_failed(struct gyp_track *t, uint64_t flow, uint32_t task,
    uint32_t row, uint64_t now)
{
	gyp_health_failed(t->health, key_of(flow, task), row, now);
	if (!gyp_health_is_bad_endpoint(t->health, row, &limits, now))
		return false;
	gyp_health_quarantine(t->health, row, &limits, now);
	return true;
}

enum gyp_track_word
gyp_track_word(const struct gyp_track *t, uint32_t row, uint64_t now)
{
	if (!gyp_health_may_probe(t->health, row, now))
		return GYP_TRACK_BLOCKED;
	if (gyp_health_on_probation(t->health, row))
		return GYP_TRACK_PROBE;
	return gyp_health_is_clear(t->health, row) ? GYP_TRACK_GOOD
						   : GYP_TRACK_DOUBTFUL;
}

bool
gyp_track_failed_at(
    const struct gyp_track *t, uint64_t flow, uint32_t task, uint32_t row)
{
	return gyp_health_failed_at(t->health, key_of(flow, task), row);
}

double
gyp_track_pace(const struct gyp_track *t, uint32_t row)
{
	return row < t->paces->len ? g_array_index(t->paces, double, row) : 1;
}

void
gyp_track_forget(struct gyp_track *t, uint32_t row)
{
	gyp_health_forget_endpoint(t->health, row);
	*pace_at(t, row) = 1;
}

struct gyp_track *
gyp_track_new(void)
{
	struct gyp_track *t = g_new0(struct gyp_track, 1);

	t->health = gyp_health_new();
	t->paces = g_array_new(FALSE, FALSE, sizeof(double));
	return t;
}

void
gyp_track_free(struct gyp_track *t)
{
	if (t == NULL)
		return;
	gyp_health_free(t->health);
	g_array_free(t->paces, TRUE);
	g_free(t);
}
