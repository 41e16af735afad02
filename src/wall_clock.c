#include <string.h>

#include <glib.h>

#include "wall_clock.h"

/* Interval of the readings that are kept, in ms. */
#define SAMPLE_MS 1000

#define SAMPLES_MAX (GYP_WALL_CLOCK_WINDOW_MS / SAMPLE_MS + 1)

struct gyp_wall_clock {
	int64_t offsets[SAMPLES_MAX]; /* Unix time less the monotonic one */
	guint n;                      /* of them that are known */
	guint next;                   /* the oldest one, once all are known */
	uint64_t sample_at;
	int64_t median;
};

static int
compare_offsets(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Of an even number, the lower one: what is due is rather late than early. */
static int64_t
median_of(const int64_t *offsets, guint n)
{
	int64_t sorted[SAMPLES_MAX];

	memcpy(sorted, offsets, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_offsets);
	return sorted[(n - 1) / 2];
}

uint64_t
gyp_wall_clock_ms(struct gyp_wall_clock *c, uint64_t now, uint64_t unix_ms)
{
	if (now >= c->sample_at) {
		c->sample_at = now + SAMPLE_MS;
		c->offsets[c->next] = (int64_t)unix_ms - (int64_t)now;
		c->next = (c->next + 1) % SAMPLES_MAX;
		c->n = MIN(c->n + 1, SAMPLES_MAX);
		c->median = median_of(c->offsets, c->n);
	}
	return (uint64_t)MAX((int64_t)now + c->median, 0);
}

struct gyp_wall_clock *
gyp_wall_clock_new(void)
{
	return g_new0(struct gyp_wall_clock, 1);
}

void
gyp_wall_clock_free(struct gyp_wall_clock *c)
{
	g_free(c);
}
