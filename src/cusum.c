#include <math.h>

#include <glib.h>

#include "cusum.h"

/* Share of runs that fail at a healthy endpoint, and at a faulty one. */
#define HEALTHY_FAILURE_RATE 0.07
#define FAULTY_FAILURE_RATE  0.4

struct sum {
	double value;
	uint64_t at; /* time of the latest change, in ms */
	bool mixed;  /* a run has succeeded since the sum was last 0 */
};

struct gyp_cusum {
	GArray *rows; /* struct sum by row */
};

static double
decayed(const struct sum *s, uint64_t now)
{
	if (s->value == 0 || now <= s->at)
		return s->value;
	return s->value * exp2(-(double)(now - s->at) / GYP_CUSUM_HALF_LIFE_MS);
}

/* The sum that decays to GYP_CUSUM_BAD within GYP_CUSUM_BAD_MAX_MS. */
static double
max_sum(void)
{
	return GYP_CUSUM_BAD *
	       exp2((double)GYP_CUSUM_BAD_MAX_MS / GYP_CUSUM_HALF_LIFE_MS);
}

double
gyp_cusum_add(struct gyp_cusum *c, uint32_t row, bool failed, uint64_t now)
{
	double step =
	    failed
		? log(FAULTY_FAILURE_RATE / HEALTHY_FAILURE_RATE)
		: log((1 - FAULTY_FAILURE_RATE) / (1 - HEALTHY_FAILURE_RATE));
	struct sum *s;

	if (row >= c->rows->len)
		g_array_set_size(c->rows, row + 1);
	s = &g_array_index(c->rows, struct sum, row);
	s->value = CLAMP(decayed(s, now) + step, 0, max_sum());
	s->mixed = s->value > 0 && (s->mixed || !failed);
	s->at = now;
	return s->value;
}

double
gyp_cusum_at(const struct gyp_cusum *c, uint32_t row, uint64_t now)
{
	if (row >= c->rows->len)
		return 0;
	return decayed(&g_array_index(c->rows, struct sum, row), now);
}

void
gyp_cusum_probe_passed(struct gyp_cusum *c, uint32_t row)
{
	if (row < c->rows->len &&
	    !g_array_index(c->rows, struct sum, row).mixed)
		gyp_cusum_reset(c, row);
}

void
gyp_cusum_reset(struct gyp_cusum *c, uint32_t row)
{
	if (row < c->rows->len)
		g_array_index(c->rows, struct sum, row).value = 0;
}

struct gyp_cusum *
gyp_cusum_new(void)
{
	struct gyp_cusum *c = g_new0(struct gyp_cusum, 1);

	c->rows = g_array_new(FALSE, TRUE, sizeof(struct sum));
	return c;
}

void
gyp_cusum_free(struct gyp_cusum *c)
{
	if (c == NULL)
		return;
	g_array_free(c->rows, TRUE);
	g_free(c);
}
