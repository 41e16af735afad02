#include <math.h>

#include <glib.h>

#include "run_stats.h"
#include "straggler.h"

/* ---- Fault attribution -------------------------------------------------- */

/* An endpoint that fails every task is quarantined after a few. */
static void
test_fails_everything(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();
	uint32_t i;

	g_assert_cmpint(
	    gyp_run_stats_state(rs, 3, 1000), ==, GYP_RUN_STATS_GOOD);
	g_assert_false(gyp_run_stats_failed(rs, 1, 0, 3, 1000));
	for (i = 1; i + 1 < GYP_RUN_STATS_FAILURES; i++) {
		g_assert_cmpint(gyp_run_stats_state(rs, 3, 1000), ==,
		    GYP_RUN_STATS_SUSPECT);
		g_assert_false(gyp_run_stats_failed(rs, 1, i, 3, 1000));
	}
	g_assert_true(gyp_run_stats_failed(rs, 1, i, 3, 1010));
	g_assert_cmpint(
	    gyp_run_stats_state(rs, 3, 1010), ==, GYP_RUN_STATS_BLOCKED);
	g_assert_cmpint(
	    gyp_run_stats_state(rs, 3, 1010 + GYP_RUN_STATS_QUARANTINE_MS), ==,
	    GYP_RUN_STATS_PROBE_DUE);
	/* One failed probe is enough to start another quarantine. */
	g_assert_true(gyp_run_stats_failed(rs, 2, 0, 3, 3000));
	g_assert_cmpint(
	    gyp_run_stats_state(rs, 3, 3000 + GYP_RUN_STATS_QUARANTINE_MS), ==,
	    GYP_RUN_STATS_BLOCKED);
	gyp_run_stats_done(rs, 2, 1, 3, 500, 500, 8000);
	g_assert_cmpint(
	    gyp_run_stats_state(rs, 3, 9000), ==, GYP_RUN_STATS_GOOD);
	gyp_run_stats_free(rs);
}

/*
 * An endpoint that fails two runs in five and completes the others is blocked
 * within some twenty runs, 40 at most. After that it rarely counts as good, as
 * it must not get a task's last attempt.
 */
static void
test_intermittent_failures(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	uint32_t seed;

	for (seed = 0; seed < 20; seed++) {
		struct gyp_run_stats *rs = gyp_run_stats_new();
		uint32_t task, good = 0, first = 0;

		for (task = 0; task < 200; task++) {
			uint64_t now = 1000 + task * 200;

			if (g_rand_int_range(rand, 0, 10) < 4)
				gyp_run_stats_failed(rs, task, 0, 3, now);
			else
				gyp_run_stats_done(
				    rs, task, 0, 3, 500, 500, now);
			if (first == 0 && gyp_run_stats_state(rs, 3, now) ==
					      GYP_RUN_STATS_BLOCKED)
				first = task;
			good += first != 0 && gyp_run_stats_state(rs, 3, now) ==
						  GYP_RUN_STATS_GOOD;
		}
		g_assert_cmpuint(first, >, 0);
		g_assert_cmpuint(first, <=, 40);
		/* It counts as good at most one time in ten. */
		g_assert_cmpuint(good * 10, <=, 200 - first);
		gyp_run_stats_free(rs);
	}
	g_rand_free(rand);
}

/*
 * A step with many tasks while all capacity is booked: the capacity that a
 * failure frees at a bad endpoint goes to the next task of the same flow, which
 * has failed at other endpoints too. The endpoint must still be blocked.
 */
static void
test_repeated_failures_of_flow(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();
	uint32_t task;

	gyp_run_stats_failed(rs, 1, 0, 1, 1000);
	gyp_run_stats_done(rs, 2, 0, 1, 500, 500, 1010);
	gyp_run_stats_failed(rs, 1, 1, 2, 1000);
	gyp_run_stats_done(rs, 2, 1, 2, 500, 500, 1010);
	for (task = 2; task < 50 && gyp_run_stats_state(rs, 3, 1500) !=
					GYP_RUN_STATS_BLOCKED;
	     task++) {
		gyp_run_stats_failed(rs, 1, task, 3, 1100 + task * 80);
		gyp_run_stats_done(rs, 2, task, 3, 500, 500, 1100 + task * 80);
	}
	g_assert_cmpuint(task - 2, <=, 6);
	gyp_run_stats_free(rs);
}

/*
 * Failures of a flow whose tasks all fail are not attributed to endpoints,
 * except to the first few, whose failures show that the flow itself is at
 * fault.
 */
static void
test_failing_flow(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();
	uint32_t row, round;

	for (round = 0; round < 4; round++) {
		for (row = 0; row < 30; row++) {
			uint64_t now = 1000 + round * 300;

			gyp_run_stats_failed(rs, 7, row + round, row, now);
			gyp_run_stats_done(
			    rs, 8 + row, round, row, 500, 500, now);
		}
	}
	for (row = 4; row < 30; row++)
		g_assert_cmpint(
		    gyp_run_stats_state(rs, row, 2200), ==, GYP_RUN_STATS_GOOD);
	gyp_run_stats_free(rs);
}

/* One failure in twenty, usual for a queue, rarely blocks an endpoint. */
static void
test_ordinary_failures(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now = 0;
	uint32_t task, blocked = 0;

	for (task = 0; task < 2000; task++) {
		now += 300;
		if (g_rand_int_range(rand, 0, 20) == 0)
			gyp_run_stats_failed(rs, 1, task, 5, now);
		else
			gyp_run_stats_done(rs, 1, task, 5, 500, 500, now);
		blocked +=
		    gyp_run_stats_state(rs, 5, now) == GYP_RUN_STATS_BLOCKED;
	}
	g_assert_cmpuint(blocked, <, 2000 / 500);
	g_rand_free(rand);
	gyp_run_stats_free(rs);
}

/* A task that fails everywhere does not put endpoints into quarantine. */
static void
test_failing_task(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();

	gyp_run_stats_failed(rs, 7, 0, 1, 1000);
	gyp_run_stats_failed(rs, 7, 0, 2, 1100);
	gyp_run_stats_failed(rs, 7, 0, 3, 1200);
	g_assert_true(gyp_run_stats_failed_at(rs, 7, 0, 2));
	g_assert_false(gyp_run_stats_failed_at(rs, 7, 1, 2));
	/* Another task's failure there is the first that counts. */
	g_assert_false(gyp_run_stats_failed(rs, 8, 0, 3, 1300));
	gyp_run_stats_free(rs);
}

/* Estimates are used, corrected by their bias, once found accurate. */
static void
test_estimates(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();
	int i;

	for (i = 0; i < 60; i++) {
		g_assert_true(
		    i > 0 || gyp_run_stats_usual_ms(rs, "good", 1000) == 0);
		gyp_run_stats_add_estimate(
		    rs, "good", 1000, i % 2 == 0 ? 1800 : 2200);
		gyp_run_stats_add_estimate(
		    rs, "bad", 1000, i % 2 == 0 ? 300 : 3000);
	}
	g_assert_cmpuint(gyp_run_stats_usual_ms(rs, "good", 1000), >, 1700);
	g_assert_cmpuint(gyp_run_stats_usual_ms(rs, "good", 1000), <, 2300);
	g_assert_cmpuint(gyp_run_stats_usual_ms(rs, "bad", 1000), ==, 0);
	gyp_run_stats_free(rs);
}

/* Estimates that explain half of the differences between tasks, or none. */
static void
test_expected_times(void)
{
	struct gyp_run_stats *rs = gyp_run_stats_new();
	guint i;

	g_assert_cmpuint(gyp_run_stats_expected_ms(rs, "half", 1000), ==, 1000);
	for (i = 0; i < 400; i++) {
		gyp_run_stats_add_estimate(rs, "half", i % 2 == 0 ? 500 : 8000,
		    i % 2 == 0 ? 1000 : 4000);
		gyp_run_stats_add_estimate(rs, "none", i % 2 == 0 ? 100 : 9000,
		    i % 4 < 2 ? 1000 : 4000);
	}
	g_assert_cmpfloat(
	    ABS((double)gyp_run_stats_expected_ms(rs, "half", 500) - 1000), <,
	    100);
	g_assert_cmpfloat(
	    ABS((double)gyp_run_stats_expected_ms(rs, "half", 8000) - 4000), <,
	    400);
	g_assert_cmpfloat(
	    ABS((double)gyp_run_stats_expected_ms(rs, "none", 100) - 2000), <,
	    300);
	g_assert_cmpfloat(
	    ABS((double)gyp_run_stats_expected_ms(rs, "none", 9000) - 2000), <,
	    300);
	gyp_run_stats_free(rs);
}

/*
 * Estimates that are off by a factor of about two either way never count as
 * accurate, however many tasks have run.
 */
static void
test_bad_estimates_stay_bad(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	uint32_t seed, i;

	for (seed = 0; seed < 20; seed++) {
		struct gyp_run_stats *rs = gyp_run_stats_new();

		for (i = 0; i < 2000; i++) {
			/* Triangular log ratio with a mean error of 0.6. */
			double x =
			    1.8 * (g_rand_double(rand) - g_rand_double(rand));

			gyp_run_stats_add_estimate(
			    rs, "q", 6000, (uint64_t)(6000 * exp(x)));
			g_assert_cmpuint(
			    gyp_run_stats_usual_ms(rs, "q", 6000), ==, 0);
		}
		gyp_run_stats_free(rs);
	}
	g_rand_free(rand);
}

/* ---- Stragglers --------------------------------------------------------- */

struct straggler_row {
	struct gyp_straggler_run run;
	enum gyp_straggler_verdict verdict;
};

static void
test_straggler(void)
{
	static const struct straggler_row rows[] = {/* a usual run, half done */
	    {{500, 50, 50, 1000, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* too short to classify */
	    {{300, 50, 2, 1000, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* six times slower */
	    {{600, 50, 10, 1000, false, 0, 0}, GYP_STRAGGLER_SLOW},
	    /* six times slower too, but nearly done */
	    {{5700, 50, 95, 1000, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* nearly done; resuming from a checkpoint gains nothing either */
	    {{5700, 50, 95, 1000, true, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* twice as long as other tasks */
	    {{1000, 50, 50, 1000, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* its usual time is unknown */
	    {{4000, 50, 10, 0, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* no progress for long */
	    {{2000, 1100, 40, 1000, false, 0, 0}, GYP_STRAGGLER_STALLED},
	    /* a long task reports progress rarely */
	    {{2000, 1100, 20, 8000, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* done, its end is not yet reported */
	    {{2000, 2000, 100, 1000, false, 0, 0}, GYP_STRAGGLER_KEEP},
	    /* no progress yet, and nothing is known of the task */
	    {{1000, 1000, 0, 0, false, 0, 0}, GYP_STRAGGLER_STALLED},
	    /* a long task, by its caller: one percent takes 3 s */
	    {{2900, 2900, 0, 0, false, 300000, 0}, GYP_STRAGGLER_KEEP},
	    /* likewise by its own progress */
	    {{6100, 2950, 1, 0, false, 1000, 0}, GYP_STRAGGLER_KEEP},
	    /* its progress has become much slower */
	    {{20000, 14000, 2, 30000, false, 0, 0}, GYP_STRAGGLER_STALLED},
	    /* it stood still on two endpoints already */
	    {{3200, 3200, 0, 0, false, 0, 2}, GYP_STRAGGLER_KEEP},
	    {{3700, 3700, 0, 0, false, 0, 2}, GYP_STRAGGLER_STALLED},
	    /* six times slower, on the third endpoint */
	    {{600, 50, 10, 1000, false, 0, 2}, GYP_STRAGGLER_KEEP}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("row %u", i);
		g_assert_cmpint(
		    gyp_straggler_classify(&rows[i].run), ==, rows[i].verdict);
	}
}

struct slow_endpoint_row {
	struct gyp_straggler_count endpoint;
	struct gyp_straggler_count queue;
	bool slow;
};

/* Endpoints count as slow by their own runs and those of the whole queue. */
static void
test_slow_endpoint(void)
{
	static const struct slow_endpoint_row rows[] = {
	    /* one long run is no evidence */
	    {{1, 1}, {60, 3}, false}, {{4, 2}, {60, 8}, false},
	    /* a slow endpoint among others */
	    {{4, 4}, {60, 8}, true},
	    /* three in ten endpoints are slow */
	    {{5, 4}, {60, 18}, true},
	    /* a new leader has timed only the shortest tasks of the queue */
	    {{4, 4}, {150, 100}, false}, {{3, 3}, {40, 36}, false},
	    /* too few runs of the queue for a comparison */
	    {{2, 2}, {4, 2}, true}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("row %u", i);
		g_assert_cmpint(gyp_straggler_endpoint_is_slow(
				    &rows[i].endpoint, &rows[i].queue),
		    ==, rows[i].slow);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run-stats/fails-everything", test_fails_everything);
	g_test_add_func("/run-stats/ordinary-failures", test_ordinary_failures);
	g_test_add_func(
	    "/run-stats/intermittent-failures", test_intermittent_failures);
	g_test_add_func("/run-stats/failing-task", test_failing_task);
	g_test_add_func("/run-stats/repeated-failures-of-flow",
	    test_repeated_failures_of_flow);
	g_test_add_func("/run-stats/failing-flow", test_failing_flow);
	g_test_add_func("/run-stats/estimates", test_estimates);
	g_test_add_func(
	    "/run-stats/bad-estimates-stay-bad", test_bad_estimates_stay_bad);
	g_test_add_func("/run-stats/straggler", test_straggler);
	g_test_add_func("/run-stats/slow-endpoint", test_slow_endpoint);
	g_test_add_func("/run-stats/expected-times", test_expected_times);
	return g_test_run();
}
