#include <math.h>
#include <string.h>

#include "flow_int.h"
#include "msg.h"
#include "placer_fixture.h"
#include "run_forecast.h"

/* A kind of task and the random numbers of its run times. */
struct kind {
	Gyp__FlowQueue queue;
	Gyp__FlowSpec spec;
	Gyp__FlowStep step;
	struct gyp_flow flow;
	struct gyp_flow_unit unit;
};

static GRand *random_numbers;

static void
kind_init(struct kind *k, const char *queue, const char *image)
{
	*k = (struct kind){.unit.size = {.cpu_milli = 1000, .memory = 1 << 30}};
	gyp__flow_queue__init(&k->queue);
	gyp__flow_spec__init(&k->spec);
	gyp__flow_step__init(&k->step);
	k->queue.name = (char *)queue;
	k->spec.queue = &k->queue;
	k->step.image = (char *)image;
	k->flow.spec = &k->spec;
	k->unit.step = &k->step;
}

static uint64_t
forecast(const struct gyp_run_forecast *f, struct kind *k, uint64_t estimate_ms,
    double quantile)
{
	k->step.estimate_ms = estimate_ms;
	return gyp_run_forecast_ms(f, &k->flow, &k->unit, quantile);
}

static void
run(struct gyp_run_forecast *f, struct kind *k, uint64_t estimate_ms,
    double ran_ms)
{
	k->step.estimate_ms = estimate_ms;
	gyp_run_forecast_add(f, &k->flow, &k->unit, 0, (uint64_t)ran_ms);
}

/* A log-normal value. */
static double
around(double median, double spread)
{
	double u = 1 - g_rand_double(random_numbers);
	double v = g_rand_double(random_numbers);

	return median * exp(spread * sqrt(-2 * log(u)) * cos(2 * G_PI * v));
}

static void
assert_near(uint64_t value, double expected, double tolerance)
{
	g_assert_cmpfloat(fabs((double)value / expected - 1), <, tolerance);
}

/* Random estimates must not move the forecasts of a kind with steady runs. */
static void
test_useless_estimates(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct kind k;
	int i;

	kind_init(&k, "q", "a");
	g_assert_cmpuint(forecast(f, &k, 700, 0.5), ==, 700);
	for (i = 0; i < 300; i++)
		run(f, &k, (uint64_t)around(5000, 1.5), around(2000, 0.1));
	assert_near(forecast(f, &k, 100, 0.5), 2000, 0.25);
	assert_near(forecast(f, &k, 50000, 0.5), 2000, 0.25);
	assert_near(forecast(f, &k, 0, 0.5), 2000, 0.25);
	gyp_run_forecast_free(f);
}

/*
 * Estimates that are exact, or off by a constant factor, must be used: run
 * times of one kind differ a hundredfold.
 */
static void
test_informative_estimates(void)
{
	static const double factors[] = {0.25, 1, 4};
	guint n;

	for (n = 0; n < G_N_ELEMENTS(factors); n++) {
		double factor = factors[n];
		struct gyp_run_forecast *f = gyp_run_forecast_new();
		struct kind k;
		int i;

		kind_init(&k, "q", "a");
		for (i = 0; i < 300; i++) {
			double real = around(3000, 1);

			run(f, &k, (uint64_t)(real * factor), real);
		}
		assert_near(forecast(f, &k, 1000, 0.5), 1000 / factor, 0.15);
		assert_near(forecast(f, &k, 30000, 0.5), 30000 / factor, 0.15);
		gyp_run_forecast_free(f);
	}
}

/* A long tail must widen the upper quantiles and leave the median in place. */
static void
test_long_tail(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct kind k;
	uint32_t i, n = 0, below_median = 0, below_p90 = 0;

	kind_init(&k, "q", "a");
	for (i = 0; i < 2000; i++) {
		double real = around(1000, 0.2) * (i % 5 == 0 ? 8 : 1);

		if (i >= 100) {
			n++;
			below_median += real <= forecast(f, &k, 0, 0.5);
			below_p90 += real <= forecast(f, &k, 0, 0.9);
		}
		run(f, &k, 0, real);
	}
	g_assert_cmpuint(below_median * 100, >, n * 40);
	g_assert_cmpuint(below_median * 100, <, n * 60);
	g_assert_cmpuint(below_p90 * 100, >, n * 84);
	g_assert_cmpuint(below_p90 * 100, <, n * 96);
	gyp_run_forecast_free(f);
}

/*
 * A kind whose run times change must be followed within a few dozen runs. Runs
 * stopped as too slow must be enough for that: otherwise such a kind would be
 * stopped again and again without anything being learned.
 */
static void
test_changed_kind(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct kind k;
	int i;

	kind_init(&k, "q", "a");
	for (i = 0; i < 200; i++)
		run(f, &k, 0, around(1000, 0.1));
	gyp_run_forecast_add_stopped(f, &k.flow, &k.unit, 0, 300);
	assert_near(forecast(f, &k, 0, 0.5), 1000, 0.1);
	for (i = 0; i < 40; i++)
		run(f, &k, 0, around(8000, 0.1));
	assert_near(forecast(f, &k, 0, 0.5), 8000, 0.3);
	for (i = 0; i < 40; i++)
		gyp_run_forecast_add_stopped(f, &k.flow, &k.unit, 0, 30000);
	g_assert_cmpuint(forecast(f, &k, 0, 0.5), >, 20000);
	gyp_run_forecast_free(f);
}

/*
 * A new kind must be forecast from its queue, not from another one, and from
 * its own runs after a few.
 */
static void
test_few_runs(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct kind known, other, fresh;
	int i;

	kind_init(&known, "q", "a");
	kind_init(&other, "other", "a");
	kind_init(&fresh, "q", "b");
	for (i = 0; i < 100; i++) {
		run(f, &known, 0, around(2000, 0.1));
		run(f, &other, 0, around(90000, 0.1));
	}
	assert_near(forecast(f, &fresh, 0, 0.5), 2000, 0.2);
	g_assert_cmpuint(
	    gyp_run_forecast_confidence(f, &fresh.flow, &fresh.unit), ==, 0);
	for (i = 0; i < 8; i++)
		run(f, &fresh, 0, around(16000, 0.1));
	assert_near(forecast(f, &fresh, 0, 0.5), 16000, 0.4);
	assert_near(forecast(f, &known, 0, 0.5), 2000, 0.1);
	g_assert_cmpuint(
	    gyp_run_forecast_confidence(f, &fresh.flow, &fresh.unit), ==, 80);
	gyp_run_forecast_free(f);
}

/*
 * Callers choose images and workspaces freely: the number of kinds must stay
 * bounded, and a kind in use must not be dropped for them.
 */
static void
test_bound(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct kind used, k;
	int i;

	kind_init(&used, "used", "a");
	for (i = 0; i < 3 * GYP_RUN_FORECAST_KINDS; i++) {
		char *name = g_strdup_printf("%d", i);

		kind_init(&k, name, name);
		k.spec.workspace = name;
		run(f, &k, 0, 50000);
		run(f, &used, 0, 1000);
		g_free(name);
	}
	g_assert_cmpuint(gyp_run_forecast_kinds(f), ==, GYP_RUN_FORECAST_KINDS);
	assert_near(forecast(f, &used, 0, 0.5), 1000, 0.01);
	kind_init(&k, "0", "0");
	g_assert_cmpuint(forecast(f, &k, 77, 0.5), ==, 77);
	gyp_run_forecast_free(f);
}

/*
 * A slow endpoint must not make its tasks' kind look slow, and a change of all
 * run times must not be attributed to the endpoints.
 */
static void
test_slow_endpoint(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct kind k;
	uint32_t i;

	kind_init(&k, "q", "a");
	for (i = 0; i < 400; i++)
		gyp_run_forecast_add(f, &k.flow, &k.unit, i % 8,
		    (uint64_t)around(i % 8 == 0 ? 3000 : 1000, 0.1));
	/* All runs are at the slow endpoint while the others are full. */
	for (i = 0; i < 20; i++)
		gyp_run_forecast_add(
		    f, &k.flow, &k.unit, 0, (uint64_t)around(3000, 0.1));
	g_assert_cmpuint(forecast(f, &k, 0, 0.5), <, 1600);
	for (i = 0; i < 100; i++)
		gyp_run_forecast_add(f, &k.flow, &k.unit, 1 + i % 7,
		    (uint64_t)around(6000, 0.1));
	assert_near(forecast(f, &k, 0, 0.5), 6000, 0.35);
	gyp_run_forecast_free(f);
}

static GBytes *
pack(const struct gyp_run_forecast *f)
{
	Gyp__SnapForecast *snap = gyp_run_forecast_save(f);
	GBytes *bytes = gyp_message_pack(&snap->base);

	gyp_message_free(snap);
	return bytes;
}

static void
assert_equal(const struct gyp_run_forecast *x, const struct gyp_run_forecast *y)
{
	GBytes *a = pack(x), *b = pack(y);

	g_assert_true(g_bytes_equal(a, b));
	g_bytes_unref(a);
	g_bytes_unref(b);
}

/*
 * A replica restored from a snapshot must know the same as the others and stay
 * equal to them; a snapshot without the message must load as empty.
 */
static void
test_snapshot(void)
{
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct gyp_run_forecast *copy = gyp_run_forecast_new();
	Gyp__SnapForecast *snap;
	struct kind k[3];
	int i;

	for (i = 0; i < 3; i++)
		kind_init(&k[i], i < 2 ? "q" : "r", i == 1 ? "b" : "a");
	for (i = 0; i < 100; i++)
		run(f, &k[i % 40 == 39 ? 2 : i % 2],
		    (uint64_t)around(1000, 0.5), around(1000, 0.5));
	snap = gyp_run_forecast_save(f);
	gyp_run_forecast_restore(copy, snap);
	gyp_message_free(snap);
	assert_equal(f, copy);
	for (i = 0; i < 100; i++) {
		uint64_t ms = (uint64_t)around(1000, 0.5);

		run(f, &k[i % 3], 500, (double)ms);
		run(copy, &k[i % 3], 500, (double)ms);
	}
	assert_equal(f, copy);
	gyp_run_forecast_restore(copy, NULL);
	g_assert_cmpuint(forecast(copy, &k[0], 77, 0.5), ==, 77);
	gyp_run_forecast_free(f);
	gyp_run_forecast_free(copy);
}

/* ---- Committed commands ------------------------------------------------- */

/* Starts a task, ends it after ms and returns the confidence that results. */
static unsigned
commit_run(struct placer_fixture *f, uint64_t id, uint32_t task,
    uint32_t run_number, uint64_t ms, Gyp__FlowHow how)
{
	const struct gyp_flow *flow = gyp_flow_get(f->base.flows, id);

	flow_fixture_start(&f->base, id, task, task, run_number, 0);
	f->base.now += ms;
	placer_fixture_end_run(f, id, task, how);
	return gyp_run_forecast_confidence(
	    gyp_flows_forecast(f->base.flows), flow, &flow->units[0]);
}

/*
 * Lost runs, and later runs, which may have resumed from a checkpoint, must not
 * be learned from: their times are not those of a whole task.
 */
static void
test_committed_ends(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(9);
	const struct gyp_flow *flow;

	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 0, step);
	flow = gyp_flow_get(f.base.flows, 1);
	g_assert_cmpuint(
	    commit_run(&f, 1, 0, 1, 900, GYP__FLOW_HOW__FLOW_LOST), ==, 0);
	g_assert_cmpuint(
	    commit_run(&f, 1, 0, 2, 900, GYP__FLOW_HOW__FLOW_DONE), ==, 0);
	g_assert_cmpuint(
	    commit_run(&f, 1, 1, 1, 5000, GYP__FLOW_HOW__FLOW_DONE), ==, 33);
	g_assert_cmpuint(
	    commit_run(&f, 1, 2, 1, 5000, GYP__FLOW_HOW__FLOW_DONE), ==, 50);
	assert_near(gyp_run_forecast_ms(gyp_flows_forecast(f.base.flows), flow,
			&flow->units[0], 0.5),
	    5000, 0.01);
	placer_fixture_clear(&f);
}

/*
 * A replica restored while a run is open must learn the run's whole time, or it
 * would differ from the other replicas from then on.
 */
static void
test_restored_while_running(void)
{
	struct placer_fixture f;
	Gyp__SnapFlows *snap;
	struct gyp_flows *copy = gyp_flows_new();
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 0, flow_fixture_step(2));
	flow_fixture_start(&f.base, 1, 0, 0, 1, 0);
	snap = gyp_flows_save(f.base.flows);
	g_assert_true(gyp_flows_restore(copy, snap));
	gyp_flows_free_saved(snap);
	end.flow = 1;
	end.run = 1;
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	gyp_flows_apply(copy, f.base.now + 3000, &cmd);
	gyp_flows_apply(f.base.flows, f.base.now + 3000, &cmd);
	assert_equal(
	    gyp_flows_forecast(copy), gyp_flows_forecast(f.base.flows));
	gyp_flows_free(copy);
	placer_fixture_clear(&f);
}

/* ---- Decisions ---------------------------------------------------------- */

/* Submits a flow that fills the endpoint, and learns run times of its kind. */
static struct gyp_flow *
submit_learned(struct placer_fixture *f, uint64_t id, const char *image,
    uint64_t estimate_ms, uint64_t real_ms)
{
	Gyp__FlowStep step = flow_fixture_step(10);
	struct gyp_flow *flow;
	int i;

	step.image = (char *)image;
	step.estimate_ms = estimate_ms;
	placer_fixture_submit(f, id, 0, step);
	flow = gyp_flow_get(f->base.flows, id);
	flow->spec->queue->stretch = 2;
	flow->spec->queue->target_ms = 500;
	for (i = 0; i < 40; i++)
		gyp_run_forecast_add(gyp_flows_forecast(f->base.flows), flow,
		    &flow->units[0], 0, real_ms);
	return flow;
}

/*
 * Of two flows that have waited for 2 s, the older one runs for 100 ms and is
 * late already, the younger one runs for 3 s and has a slack of 1.5 s. Their
 * estimates say the opposite. Without the forecast, the late flow would take
 * the endpoint and make the other one late too.
 */
static void
test_order(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	submit_learned(&f, 1, "short", 10000, 100);
	submit_learned(&f, 2, "long", 50, 3000);
	f.base.now += 2000;
	flow_fixture_add_host(&f.base, "e0", 1);
	flow_fixture_contact_all(&f.base);
	placer_fixture_run_round(&f, 0);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 1);
	gyp_run_stats_use_forecast(f.stats, gyp_flows_forecast(f.base.flows));
	placer_fixture_run_round(&f, 0);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 2);
	placer_fixture_clear(&f);
}

/*
 * Without the setting the forecast must not be used, whatever was learned; with
 * it, an unknown kind must not have a usual time that makes runs look slow.
 */
static void
test_setting(void)
{
	struct placer_fixture f;
	const struct gyp_flow *known, *unknown;

	placer_fixture_init(&f, 1);
	known = submit_learned(&f, 1, "known", 700, 3000);
	placer_fixture_submit(&f, 2, 0, flow_fixture_step(1));
	unknown = gyp_flow_get(f.base.flows, 2);
	g_assert_cmpuint(gyp_run_stats_time_ms(
			     f.stats, known, &known->units[0], GYP_RUN_ORDER),
	    ==, 700);
	g_assert_cmpuint(gyp_run_stats_time_ms(f.stats, known, &known->units[0],
			     GYP_RUN_STRAGGLER),
	    ==, 0);
	gyp_run_stats_use_forecast(f.stats, gyp_flows_forecast(f.base.flows));
	assert_near(gyp_run_stats_time_ms(
			f.stats, known, &known->units[0], GYP_RUN_STRAGGLER),
	    3000, 0.1);
	g_assert_cmpuint(gyp_run_stats_time_ms(f.stats, unknown,
			     &unknown->units[0], GYP_RUN_STRAGGLER),
	    ==, 0);
	placer_fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	random_numbers = g_rand_new_with_seed(1);
	g_test_add_func("/run_forecast/useless", test_useless_estimates);
	g_test_add_func(
	    "/run_forecast/informative", test_informative_estimates);
	g_test_add_func("/run_forecast/long-tail", test_long_tail);
	g_test_add_func("/run_forecast/changed", test_changed_kind);
	g_test_add_func("/run_forecast/few-runs", test_few_runs);
	g_test_add_func("/run_forecast/bound", test_bound);
	g_test_add_func("/run_forecast/slow-endpoint", test_slow_endpoint);
	g_test_add_func("/run_forecast/snapshot", test_snapshot);
	g_test_add_func("/run_forecast/committed", test_committed_ends);
	g_test_add_func("/run_forecast/restored", test_restored_while_running);
	g_test_add_func("/run_forecast/order", test_order);
	g_test_add_func("/run_forecast/setting", test_setting);
	result = g_test_run();
	g_rand_free(random_numbers);
	return result;
}
