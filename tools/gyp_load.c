#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "trace.h"

/*
 * NAME
 *	gyp-load - generates a trace of jobs for gyp-replay
 *
 * DESCRIPTION
 *	Writes a trace of open-loop arrivals: they do not depend on how the
 *	cell performs. The arrival rate is set so that the demand for the
 *	scarcest of processors, memory and slots is NOMINAL_UTILISATION of the
 *	capacity, times the scale.
 */

/* Use of the scarcest resource at scale 1, as a share of its capacity. */
#define NOMINAL_UTILISATION 0.9

#define MIB (1024.0 * 1024.0)
#define GIB (1024.0 * MIB)

/* Sample size for estimating the mean demand of a job. */
#define CALIBRATION_DRAWS 4000

/* Largest ratio of a lognormal draw to the median, and of the median to it. */
#define LOGNORMAL_MAX 30.0

/* Most jobs cancelled in one wave, and the interval of waves, in s. */
#define CANCEL_WAVE_JOBS       40
#define CANCEL_WAVE_INTERVAL_S 120

/* Share of idempotent batch jobs whose tasks always fail. */
#define BAD_JOB_PERCENT 2

/* The distribution of jobs of one class. */
struct mix {
	const char *class_name;
	Gyp__Kind kind;
	const char *teams;         /* comma-separated */
	double weight;             /* relative arrival rate */
	uint32_t cpu_min, cpu_max; /* thousandths, in steps of 500 */
	double mem_min, mem_max;   /* GiB */
	uint32_t tasks_min, tasks_max;
	double run_ms; /* median */
	double sigma;  /* standard deviation of ln(run time) */
	uint32_t deadline_ms;
	bool idempotent;
};

/* An organisation: its endpoints and its jobs. */
struct firm {
	const char *name;
	const char *const *data_centres;
	uint32_t per_rack;
	double memory; /* GiB per endpoint */
	struct mix watcher;
	const struct mix *mixes;
	guint n_mixes;
};

static const char *const press_centres[] = {
    "jamnagar", "rajkot", "bhavnagar", "morbi", NULL};
static const char *const strikeline_centres[] = {
    "qld-east-a", "qld-east-b", "qld-east-c", NULL};

static const struct mix press_mixes[] = {
    {"booking", GYP__KIND__KIND_REQUEST, "rota,growers", 60, 500, 1000, 0.25,
	0.5, 1, 1, 600, 0.8, 0, false},
    {"juicing", GYP__KIND__KIND_BATCH, "press-a,press-b,press-c", 2, 1000, 8000,
	1, 14, 1, 4, 40000, 1.0, 0, true},
    {"pressing", GYP__KIND__KIND_GANG, "press-a,press-b,press-c", 0.25, 2000,
	4000, 2, 8, 3, 10, 60000, 0.7, 0, true}};
static const struct mix strikeline_mixes[] = {
    {"check", GYP__KIND__KIND_REQUEST, "crews", 60, 500, 2000, 0.5, 4, 1, 1,
	900, 0.8, 0, true},
    {"interactive", GYP__KIND__KIND_REQUEST, "office", 10, 500, 2000, 0.5, 4, 1,
	1, 2500, 1.0, 0, true},
    {"report", GYP__KIND__KIND_BATCH, "council,audit", 3, 2000, 8000, 8, 32, 1,
	2, 25000, 1.0, 0, false},
    {"analysis", GYP__KIND__KIND_BATCH, "audit,office", 1, 4000, 12000, 8, 48,
	1, 4, 60000, 1.0, 0, true}};

static const struct firm firms[] = {
    {"press", press_centres, 6, 64,
	{"watch", GYP__KIND__KIND_WATCHER, "cold", 1, 500, 1500, 0.5, 3, 1, 1,
	    1e9, 0, 0, true},
	press_mixes, G_N_ELEMENTS(press_mixes)},
    {"strikeline", strikeline_centres, 8, 128,
	{"survey", GYP__KIND__KIND_WATCHER, "storm", 1, 500, 2000, 1, 8, 1, 1,
	    1e9, 0, 0, true},
	strikeline_mixes, G_N_ELEMENTS(strikeline_mixes)}};

static char *firm_name = "press";
static gint endpoints = 48;
static gint seconds = 600;
static gint seed = 1;
static gint bad_endpoints;
static gint watchers = -1;
static gdouble scale = 1;
static gdouble declared_sigma = 0.5;

static const GOptionEntry options[] = {
    {"firm", 0, 0, G_OPTION_ARG_STRING, &firm_name, "press or strikeline",
	"NAME"},
    {"endpoints", 0, 0, G_OPTION_ARG_INT, &endpoints, "number of endpoints",
	"N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "duration of arrivals", "N"},
    {"scale", 0, 0, G_OPTION_ARG_DOUBLE, &scale,
	"offered load, as a multiple of what fits", "X"},
    {"bad-endpoints", 0, 0, G_OPTION_ARG_INT, &bad_endpoints,
	"number of endpoints that fail every start", "N"},
    {"watchers", 0, 0, G_OPTION_ARG_INT, &watchers,
	"number of watchers at the start; one per endpoint by default", "N"},
    {"off", 0, 0, G_OPTION_ARG_DOUBLE, &declared_sigma,
	"spread of declared relative to true run times and sizes", "SIGMA"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the random numbers", "N"},
    {.long_name = NULL}};

/* ---- Draws ------------------------------------------------------------- */

static double
draw_normal(GRand *rand)
{
	double u = 1 - g_rand_double(rand);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(rand));
}

/* Lognormal with median 1, bounded by LOGNORMAL_MAX. */
static double
draw_lognormal(GRand *rand, double sigma)
{
	return CLAMP(
	    exp(sigma * draw_normal(rand)), 1 / LOGNORMAL_MAX, LOGNORMAL_MAX);
}

static void
draw_team(GRand *rand, const char *teams, char *team)
{
	char **names = g_strsplit(teams, ",", 0);
	gint n = (gint)g_strv_length(names);

	g_strlcpy(
	    team, names[g_rand_int_range(rand, 0, n)], GYP_TRACE_NAME_SIZE);
	g_strfreev(names);
}

static void
draw_job(GRand *rand, const struct mix *m, struct gyp_trace_event *e)
{
	double memory = m->mem_min +
			pow(g_rand_double(rand), 2) * (m->mem_max - m->mem_min);
	gint steps = (gint)((m->cpu_max - m->cpu_min) / 500);
	double run = m->run_ms * draw_lognormal(rand, m->sigma);

	memset(e, 0, sizeof(*e));
	e->type = GYP_TRACE_SUBMIT;
	e->kind = m->kind;
	g_strlcpy(e->class_name, m->class_name, sizeof(e->class_name));
	draw_team(rand, m->teams, e->team);
	e->tasks = (uint32_t)g_rand_int_range(
	    rand, (gint)m->tasks_min, (gint)m->tasks_max + 1);
	e->size.cpu_milli =
	    m->cpu_min + 500 * (uint32_t)g_rand_int_range(rand, 0, steps + 1);
	e->size.memory = (uint64_t)(memory * GIB);
	e->size.slots = 1;
	e->true_run_ms = (uint64_t)MAX(run, 1);
	e->run_ms =
	    (uint64_t)MAX(run * draw_lognormal(rand, declared_sigma), 1);
	e->used.cpu_milli =
	    (uint32_t)(e->size.cpu_milli *
		       MIN(draw_lognormal(rand, declared_sigma) * 0.6, 1));
	e->used.memory =
	    (uint64_t)((double)e->size.memory *
		       MIN(draw_lognormal(rand, declared_sigma) * 0.6, 1));
	e->deadline_ms = m->deadline_ms;
	e->idempotent = m->idempotent;
	e->bad = m->idempotent && m->kind == GYP__KIND__KIND_BATCH &&
		 g_rand_int_range(rand, 0, 100) < BAD_JOB_PERCENT;
}

/* ---- Calibration ------------------------------------------------------- */

static double
total_weight(const struct firm *f)
{
	double sum = 0;
	guint i;

	for (i = 0; i < f->n_mixes; i++)
		sum += f->mixes[i].weight;
	return sum;
}

static const struct mix *
draw_mix(GRand *rand, const struct firm *f)
{
	double at = g_rand_double(rand) * total_weight(f);
	guint i;

	for (i = 0; i + 1 < f->n_mixes; i++) {
		at -= f->mixes[i].weight;
		if (at < 0)
			break;
	}
	return &f->mixes[i];
}

/* Arrivals per second that use NOMINAL_UTILISATION of the scarcest resource. */
static double
nominal_rate(const struct firm *f)
{
	GRand *rand = g_rand_new_with_seed(99);
	double cpu = 0, memory = 0, slots = 0, n = endpoints;
	int i;

	for (i = 0; i < CALIBRATION_DRAWS; i++) {
		struct gyp_trace_event e;
		double time;

		draw_job(rand, draw_mix(rand, f), &e);
		time = (double)e.true_run_ms / 1000 * e.tasks;
		cpu += time * e.size.cpu_milli / (32000 * n);
		memory += time * (double)e.size.memory / (f->memory * GIB * n);
		slots += time / (8 * n);
	}
	g_rand_free(rand);
	return NOMINAL_UTILISATION * CALIBRATION_DRAWS /
	       MAX(cpu, MAX(memory, slots));
}

/* ---- Writing ----------------------------------------------------------- */

static void
print_event(const struct gyp_trace_event *e)
{
	GString *line = g_string_new(NULL);

	gyp_trace_format(line, e);
	fputs(line->str, stdout);
	g_string_free(line, TRUE);
}

static void
print_endpoints(const struct firm *f)
{
	guint n_centres = g_strv_length((char **)f->data_centres);
	int i;

	for (i = 0; i < endpoints; i++) {
		struct gyp_trace_event e = {.type = GYP_TRACE_ENDPOINT};
		guint rack = (guint)i / f->per_rack;

		g_snprintf(e.name, sizeof(e.name), "vm-%03d", i);
		g_snprintf(e.rack, sizeof(e.rack), "rack-%02u", rack);
		g_strlcpy(e.data_centre, f->data_centres[rack % n_centres],
		    sizeof(e.data_centre));
		e.size.cpu_milli = 32000;
		e.size.memory = (uint64_t)(f->memory * GIB);
		e.size.slots = 8;
		e.bad = i < bad_endpoints;
		print_event(&e);
	}
}

/*
 * Cancels the last CANCEL_WAVE_JOBS batch jobs, whatever their class; some may
 * have ended.
 */
static void
print_cancel_wave(const GPtrArray *recent, uint64_t at)
{
	guint i;

	for (i = 0; i < recent->len; i++) {
		struct gyp_trace_event e =
		    *(const struct gyp_trace_event *)recent->pdata[i];

		e.type = GYP_TRACE_CANCEL;
		e.at = at;
		print_event(&e);
	}
}

static void
remember_batch_job(GPtrArray *recent, const struct gyp_trace_event *e)
{
	if (e->kind != GYP__KIND__KIND_BATCH)
		return;
	if (recent->len == CANCEL_WAVE_JOBS)
		g_ptr_array_remove_index(recent, 0);
	g_ptr_array_add(recent, g_memdup2(e, sizeof(*e)));
}

static void
print_arrivals(const struct firm *f)
{
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	GPtrArray *recent = g_ptr_array_new_with_free_func(g_free);
	double rate = nominal_rate(f) * scale, at = 0;
	uint64_t wave = CANCEL_WAVE_INTERVAL_S * 1000;
	uint32_t n = 0;
	struct gyp_trace_event e;

	if (watchers < 0)
		watchers = endpoints;
	for (n = 0; n < (uint32_t)watchers; n++) {
		draw_job(rand, &f->watcher, &e);
		g_snprintf(e.name, sizeof(e.name), "w%u", n);
		print_event(&e);
	}
	for (n = 0;; n++) {
		at += -log(1 - g_rand_double(rand)) / rate * 1000;
		if (at > seconds * 1000.0)
			break;
		if (at >= (double)wave) {
			print_cancel_wave(recent, (uint64_t)at);
			wave += CANCEL_WAVE_INTERVAL_S * 1000;
		}
		draw_job(rand, draw_mix(rand, f), &e);
		g_snprintf(e.name, sizeof(e.name), "j%u", n);
		e.at = (uint64_t)at;
		print_event(&e);
		remember_batch_job(recent, &e);
	}
	g_ptr_array_free(recent, TRUE);
	g_rand_free(rand);
}

int
main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new("> TRACE");
	GError *error = NULL;
	guint i;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "gyp-load: %s\n", error->message);
		return 64;
	}
	g_option_context_free(ctx);
	for (i = 0; i < G_N_ELEMENTS(firms); i++) {
		if (strcmp(firms[i].name, firm_name) != 0)
			continue;
		printf("# %s: %d endpoints, %d s at %.2f times what fits,"
		       " seed %d\n",
		    firm_name, endpoints, seconds, scale, seed);
		print_endpoints(&firms[i]);
		print_arrivals(&firms[i]);
		return 0;
	}
	fprintf(stderr, "gyp-load: unknown firm %s\n", firm_name);
	return 64;
}
