#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "msg.h"
#include "run_forecast.h"
#include "run_stats.h"

/*
 * NAME
 *	bench-forecast - errors of forecast run times on synthetic traces
 *
 * DESCRIPTION
 *	Prints, for each trace, the mean and the 90 % quantile of the relative
 *	error of the forecast by the declared estimate, by the regression of
 *	run_stats.c and by run_forecast.c, each made before it learned from the
 *	run; then the share of runs below the forecast 90 % quantile, and the
 *	time of one forecast and the size of full tables. A trace has one queue
 *	with several kinds, whose medians are log-normal. The seed is fixed.
 */

/* Kinds and runs of a trace, and ways to forecast a run. */
#define KINDS 20
#define RUNS  4000
#define WAYS  3

/* Forecasts timed. */
#define TIMED 1000000

struct trace {
	const char *name;
	double estimate_spread; /* of the estimate, around bias * real time */
	double bias;            /* 0: the estimate does not depend on the run */
	double spread;          /* of the runs of a kind, as a logarithm */
	double tail;            /* share of runs that take 10 times as long */
	bool changes;           /* half-way, runs become 4 times as long */
};

static const struct trace traces[] = {
    {"useless estimates", 1, 0, 0.3, 0, false},
    {"estimates 3 times too long", 0.2, 3, 1, 0, false},
    {"useless, long tail, change", 1, 0, 0.3, 0.1, true}};

static double errors[WAYS][RUNS];
static uint32_t below_p90;

static double
around(GRand *rand, double median, double spread)
{
	double u = 1 - g_rand_double(rand), v = g_rand_double(rand);

	return median * exp(spread * sqrt(-2 * log(u)) * cos(2 * G_PI * v));
}

static double
real_time(GRand *rand, const struct trace *t, double median, int run)
{
	double real = around(rand, median, t->spread);

	if (g_rand_double(rand) < t->tail)
		real *= 10;
	if (t->changes && run >= RUNS / 2)
		real *= 4;
	return MAX(real, 1);
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Forecasts a run of the unit and learns from it. */
static void
forecast_run(struct gyp_run_forecast *f, struct gyp_run_stats *stats,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u, double real,
    int run)
{
	const char *queue = flow->spec->queue->name;
	uint64_t estimate_ms = u->step->estimate_ms;
	double forecasts[WAYS] = {(double)estimate_ms,
	    (double)gyp_run_stats_expected_ms(stats, queue, estimate_ms),
	    (double)gyp_run_forecast_ms(f, flow, u, 0.5)};
	int way;

	for (way = 0; way < WAYS; way++)
		errors[way][run] = fabs(forecasts[way] / real - 1) * 100;
	below_p90 += real <= (double)gyp_run_forecast_ms(f, flow, u, 0.9);
	gyp_run_stats_add_estimate(stats, queue, estimate_ms, (uint64_t)real);
	gyp_run_forecast_add(f, flow, u, 0, (uint64_t)real);
}

static void
print_errors(const char *trace)
{
	static const char *const names[WAYS] = {
	    "declared", "regression", "run_forecast"};
	int way, run;

	for (way = 0; way < WAYS; way++) {
		double sum = 0;

		for (run = 0; run < RUNS; run++)
			sum += errors[way][run];
		qsort(errors[way], RUNS, sizeof(double), by_value);
		printf("| %s | %s | %.0f %% | %.0f %% |\n", trace, names[way],
		    sum / RUNS, errors[way][RUNS * 9 / 10]);
	}
	printf("| %s | below the forecast 90 %% | %.1f %% | |\n", trace,
	    100.0 * below_p90 / RUNS);
}

static void
time_forecasts(const struct gyp_run_forecast *f, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u)
{
	gint64 begin = g_get_monotonic_time();
	volatile uint64_t sum = 0;
	int i;

	for (i = 0; i < TIMED; i++)
		sum += gyp_run_forecast_ms(f, flow, u, 0.5);
	printf("one forecast: %.0f ns\n",
	    (double)(g_get_monotonic_time() - begin) * 1000 / TIMED);
}

static void
play(const struct trace *t, bool timed)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	struct gyp_run_stats *stats = gyp_run_stats_new();
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT;
	struct gyp_flow flow = {.spec = &spec};
	struct gyp_flow_unit unit = {
	    .step = &step, .size = {.cpu_milli = 1000}};
	double medians[KINDS];
	char image[16];
	int i;

	below_p90 = 0;
	queue.name = "queue";
	spec.queue = &queue;
	step.image = image;
	for (i = 0; i < KINDS; i++)
		medians[i] = around(rand, 3000, 1);
	for (i = 0; i < RUNS; i++) {
		int kind = g_rand_int_range(rand, 0, KINDS);
		double real = real_time(rand, t, medians[kind], i);

		snprintf(image, sizeof(image), "%d", kind);
		step.estimate_ms = (uint64_t)MAX(
		    1, around(rand, t->bias > 0 ? t->bias * real : 3000,
			   t->estimate_spread));
		forecast_run(f, stats, &flow, &unit, real, i);
	}
	print_errors(t->name);
	if (timed)
		time_forecasts(f, &flow, &unit);
	gyp_run_forecast_free(f);
	gyp_run_stats_free(stats);
	g_rand_free(rand);
}

/* Prints the memory and the snapshot of tables that hold all they can. */
static void
measure_full(void)
{
	size_t before = mallinfo2().uordblks;
	struct gyp_run_forecast *f = gyp_run_forecast_new();
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT;
	struct gyp_flow flow = {.spec = &spec};
	struct gyp_flow_unit unit = {.step = &step};
	char name[GYP_RUN_FORECAST_NAME + 1];
	Gyp__SnapForecast *snap;
	uint32_t i;

	queue.name = spec.workspace = step.image = name;
	spec.queue = &queue;
	for (i = 0; i < 64 * GYP_RUN_FORECAST_KINDS; i++) {
		snprintf(name, sizeof(name), "%0*u", GYP_RUN_FORECAST_NAME,
		    i % GYP_RUN_FORECAST_KINDS);
		step.estimate_ms = 1000 + i % 100;
		gyp_run_forecast_add(f, &flow, &unit, i % 4099, 1000 + i % 77);
	}
	printf("full tables: %zu KB", (mallinfo2().uordblks - before) / 1024);
	snap = gyp_run_forecast_save(f);
	printf(", snapshot: %zu KB\n",
	    gyp__snap_forecast__get_packed_size(snap) / 1024);
	gyp_message_free(snap);
	gyp_run_forecast_free(f);
}

int
main(void)
{
	guint i;

	printf("| trace | forecast by | mean error | 90 %% of errors |\n");
	printf("| --- | --- | --- | --- |\n");
	for (i = 0; i < G_N_ELEMENTS(traces); i++)
		play(&traces[i], i + 1 == G_N_ELEMENTS(traces));
	measure_full();
	return 0;
}
