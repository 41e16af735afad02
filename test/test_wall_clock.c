#include <glib.h>

#include "wall_clock.h"

/* Unix time at the monotonic time 0, in ms. */
#define EPOCH_MS 1788277010000ULL

/* Reads the clocks each 100 ms while the wall clock is wrong by step_ms. */
static void
run(struct gyp_wall_clock *c, uint64_t *now, uint64_t ms, int64_t step_ms)
{
	uint64_t end;

	for (end = *now + ms; *now < end; *now += 100)
		gyp_wall_clock_ms(c, *now, EPOCH_MS + *now + (uint64_t)step_ms);
}

/* How far the time shown is ahead of the true one, in ms. */
static int64_t
error_ms(struct gyp_wall_clock *c, uint64_t now, int64_t step_ms)
{
	uint64_t shown =
	    gyp_wall_clock_ms(c, now, EPOCH_MS + now + (uint64_t)step_ms);

	return (int64_t)(shown - (EPOCH_MS + now));
}

/* Guards against a start before its time, as the wall clock jumped ahead. */
static void
test_short_steps(void)
{
	static const int64_t steps[] = {2000, -2000, 3600000};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		struct gyp_wall_clock *c = gyp_wall_clock_new();
		uint64_t now = 5000;

		run(c, &now, GYP_WALL_CLOCK_WINDOW_MS, 0);
		run(c, &now, GYP_WALL_CLOCK_WINDOW_MS / 2 - 2000, steps[i]);
		g_assert_cmpint(error_ms(c, now, steps[i]), ==, 0);
		run(c, &now, 1000, 0);
		g_assert_cmpint(error_ms(c, now, 0), ==, 0);
		gyp_wall_clock_free(c);
	}
}

/* Guards against due times that stay wrong after a clock was set. */
static void
test_lasting_step(void)
{
	struct gyp_wall_clock *c = gyp_wall_clock_new();
	uint64_t now = 5000;

	run(c, &now, 2 * GYP_WALL_CLOCK_WINDOW_MS, 7000);
	run(c, &now, GYP_WALL_CLOCK_WINDOW_MS / 2 + 2000, 0);
	g_assert_cmpint(error_ms(c, now, 0), ==, 0);
	gyp_wall_clock_free(c);
}

/* The first reading is shown at once. */
static void
test_first_reading(void)
{
	struct gyp_wall_clock *c = gyp_wall_clock_new();

	g_assert_cmpint(error_ms(c, 77, 0), ==, 0);
	g_assert_cmpint(error_ms(c, 99, 0), ==, 0);
	gyp_wall_clock_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wall-clock/short-steps", test_short_steps);
	g_test_add_func("/wall-clock/lasting-step", test_lasting_step);
	g_test_add_func("/wall-clock/first-reading", test_first_reading);
	return g_test_run();
}
