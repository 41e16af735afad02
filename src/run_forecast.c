#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "run_forecast_int.h"

/*
 * Runs after which a mean counts as much as what it is shrunk towards: the
 * second run of a kind tells more about it than the rest of its queue does.
 */
#define PRIOR_RUNS 2.0

/*
 * The slope assumed before any run is known, and the number of runs that it
 * counts as; 0.5 favours neither model.
 */
#define PRIOR_SLOPE_RUNS 8.0
#define PRIOR_SLOPE      0.5

/*
 * Runs over which the mean of a kind and the moments of a queue adapt. A queue
 * has several kinds, and a regression needs more runs than a mean.
 */
#define KIND_MEMORY_RUNS  32
#define QUEUE_MEMORY_RUNS 256

/* Longest forecast, in ms: 100 days. It keeps the conversion defined. */
#define FORECAST_MAX_MS (100.0 * 24 * 3600 * 1000)

/*
 * Errors assumed before any is known, as logarithms: a forecast from an
 * estimate alone is often off by a factor of two.
 */
static const double initial_errors[] = {-0.7, -0.3, 0, 0.3, 0.7};

/* ---- Kinds and queues --------------------------------------------------- */

struct kind_key {
	const char *queue, *workspace, *image;
	uint32_t size_class;
};

/* Hashes the significant bytes of the name. */
static guint
hash_name(guint hash, const char *name)
{
	guint i;

	for (i = 0; i < GYP_RUN_FORECAST_NAME && name[i] != '\0'; i++)
		hash = hash * 33 + (guchar)name[i];
	return hash * 33;
}

static guint
name_hash(gconstpointer p)
{
	return hash_name(0, p);
}

static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
	return strncmp(a, b, GYP_RUN_FORECAST_NAME) == 0;
}

static guint
kind_hash(gconstpointer p)
{
	const struct kind_key *key = p;
	guint hash = key->size_class;

	hash = hash_name(hash, key->queue);
	hash = hash_name(hash, key->workspace);
	return hash_name(hash, key->image);
}

static gboolean
kind_equal(gconstpointer a, gconstpointer b)
{
	const struct kind_key *x = a, *y = b;

	return x->size_class == y->size_class &&
	       name_equal(x->image, y->image) &&
	       name_equal(x->workspace, y->workspace) &&
	       name_equal(x->queue, y->queue);
}

/* Returns the number of significant bits: one class per power of two. */
static uint32_t
log2_class(uint64_t value)
{
	return value == 0 ? 0 : 64 - (uint32_t)__builtin_clzll(value);
}

static uint32_t
size_class_of(const struct gyp_res *size)
{
	return log2_class(size->cpu_milli) << 16 |
	       log2_class(size->memory) << 8 | log2_class(size->accel);
}

static struct kind_key
key_of(const struct gyp_flow *flow, const struct gyp_flow_unit *u)
{
	return (struct kind_key){.queue = flow->spec->queue->name,
	    .workspace = flow->spec->workspace,
	    .image = u->step->image,
	    .size_class = size_class_of(&u->size)};
}

static const struct gyp_forecast_kind *
find_kind(const struct gyp_run_forecast *f, const struct kind_key *key)
{
	const GList *link = g_hash_table_lookup(f->links, key);

	return link != NULL ? link->data : NULL;
}

static void
free_queue(gpointer p)
{
	struct gyp_forecast_queue *q = p;

	g_free(q->name);
	g_free(q);
}

static void
free_kind(gpointer p)
{
	struct gyp_forecast_kind *k = p;

	g_free(k->workspace);
	g_free(k->image);
	g_free(k);
}

struct gyp_forecast_queue *
gyp_forecast_add_queue(struct gyp_run_forecast *f, const char *name)
{
	struct gyp_forecast_queue *q = g_hash_table_lookup(f->queues, name);
	guint i;

	if (q != NULL)
		return q;
	q = g_new0(struct gyp_forecast_queue, 1);
	q->name = g_strndup(name, GYP_RUN_FORECAST_NAME);
	for (i = 0; i < G_N_ELEMENTS(initial_errors); i++) {
		gyp_forecast_errors_add(&q->known, initial_errors[i]);
		gyp_forecast_errors_add(&q->fresh, initial_errors[i]);
	}
	g_hash_table_insert(f->queues, q->name, q);
	return q;
}

/* Drops the kind without a run for longest, and its queue with its last one. */
static void
drop_oldest_kind(struct gyp_run_forecast *f)
{
	struct gyp_forecast_kind *k = g_queue_peek_head(&f->recent);
	struct kind_key key = {
	    k->queue->name, k->workspace, k->image, k->size_class};

	g_hash_table_remove(f->links, &key);
	g_queue_pop_head(&f->recent);
	if (--k->queue->kinds == 0)
		g_hash_table_remove(f->queues, k->queue->name);
	free_kind(k);
}

static struct gyp_forecast_kind *
add_kind(struct gyp_run_forecast *f, struct gyp_forecast_queue *q,
    const char *workspace, const char *image, uint32_t size_class)
{
	struct gyp_forecast_kind *k = g_new0(struct gyp_forecast_kind, 1);
	struct kind_key *key = g_new0(struct kind_key, 1);

	q->kinds++; /* before another kind goes, so that the queue stays */
	if (f->recent.length >= GYP_RUN_FORECAST_KINDS)
		drop_oldest_kind(f);
	k->queue = q;
	k->workspace = g_strndup(workspace, GYP_RUN_FORECAST_NAME);
	k->image = g_strndup(image, GYP_RUN_FORECAST_NAME);
	k->size_class = size_class;
	*key = (struct kind_key){q->name, k->workspace, k->image, size_class};
	g_queue_push_tail(&f->recent, k);
	g_hash_table_insert(f->links, key, f->recent.tail);
	return k;
}

struct gyp_forecast_kind *
gyp_forecast_touch_kind(struct gyp_run_forecast *f,
    struct gyp_forecast_queue *q, const char *workspace, const char *image,
    uint32_t size_class)
{
	struct kind_key key = {q->name, workspace, image, size_class};
	GList *link = g_hash_table_lookup(f->links, &key);

	if (link == NULL)
		return add_kind(f, q, workspace, image, size_class);
	g_queue_unlink(&f->recent, link);
	g_queue_push_tail_link(&f->recent, link);
	return link->data;
}

/* ---- Errors ------------------------------------------------------------- */

static int
by_value(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x > y) - (x < y);
}

void
gyp_forecast_errors_add(struct gyp_forecast_errors *e, double error)
{
	e->ring[e->next] = (float)error;
	e->next = (e->next + 1) % GYP_FORECAST_ERRORS;
	e->n = MIN(e->n + 1, GYP_FORECAST_ERRORS);
	memcpy(e->sorted, e->ring, e->n * sizeof(e->ring[0]));
	qsort(e->sorted, e->n, sizeof(e->sorted[0]), by_value);
}

/*
 * The quantile of both sets together, each element of y with weight weight_y.
 */
static double
quantile_of(const struct gyp_forecast_errors *x,
    const struct gyp_forecast_errors *y, double weight_y, double quantile)
{
	/* Rounding errors of the sum must not move a quantile up by one. */
	double goal = quantile * (x->n + weight_y * y->n) - 1e-9, sum = 0;
	float value = 0;
	uint32_t i = 0, k = 0;

	while (i < x->n || k < y->n) {
		if (k >= y->n || (i < x->n && x->sorted[i] <= y->sorted[k])) {
			value = x->sorted[i++];
			sum += 1;
		} else {
			value = y->sorted[k++];
			sum += weight_y;
		}
		if (sum >= goal)
			break;
	}
	return value;
}

/* ---- Locations ---------------------------------------------------------- */

static double
blend(double value, double runs, double prior)
{
	return (value * runs + prior * PRIOR_RUNS) / (runs + PRIOR_RUNS);
}

/*
 * The slope of the regression, between 0 and 1: the blend of a model of run
 * times with one of run times relative to the estimates that leaves the least
 * spread.
 */
static double
slope_of(const struct gyp_forecast_moments *m)
{
	double runs = (double)MIN(m->runs, QUEUE_MEMORY_RUNS);
	double slope = PRIOR_SLOPE;

	if (m->variance > 0)
		slope = CLAMP(m->covariance / m->variance, 0, 1);
	return (slope * runs + PRIOR_SLOPE * PRIOR_SLOPE_RUNS) /
	       (runs + PRIOR_SLOPE_RUNS);
}

/* Log of the estimate; one that was not declared counts as the mean. */
static double
log_estimate(uint64_t estimate_ms, double mean)
{
	return estimate_ms > 0 ? log((double)estimate_ms) : mean;
}

static double
queue_location(const struct gyp_forecast_queue *q, uint64_t estimate_ms)
{
	const struct gyp_forecast_moments *m = &q->moments;
	double estimate = log_estimate(estimate_ms, m->mean_estimate);
	double location =
	    m->mean_run + slope_of(m) * (estimate - m->mean_estimate);

	if (estimate_ms == 0)
		return location;
	return blend(location, (double)m->runs, estimate);
}

/* k is NULL for a kind without runs. */
static double
location_of(const struct gyp_forecast_queue *q,
    const struct gyp_forecast_kind *k, uint64_t estimate_ms)
{
	double location = queue_location(q, estimate_ms);
	double own;

	if (k == NULL || k->runs == 0)
		return location;
	own = k->mean_run + slope_of(&q->inner) *
				(log_estimate(estimate_ms, k->mean_estimate) -
				    k->mean_estimate);
	return blend(own, (double)k->runs, location);
}

static bool
is_known(const struct gyp_forecast_kind *k)
{
	return k != NULL && (double)k->runs >= PRIOR_RUNS;
}

/* The quantile of the error; the queue's errors count as PRIOR_RUNS runs. */
static double
error_of(const struct gyp_forecast_queue *q, const struct gyp_forecast_kind *k,
    double quantile)
{
	static const struct gyp_forecast_errors none = {.n = 0};
	const struct gyp_forecast_errors *own = k != NULL ? &k->errors : &none;
	const struct gyp_forecast_errors *prior =
	    is_known(k) ? &q->known : &q->fresh;

	return quantile_of(own, prior, PRIOR_RUNS / prior->n, quantile);
}

static uint64_t
to_ms(double log_ms)
{
	return (uint64_t)CLAMP(exp(log_ms), 1, FORECAST_MAX_MS);
}

uint64_t
gyp_run_forecast_ms(const struct gyp_run_forecast *f,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u, double quantile)
{
	struct kind_key key = key_of(flow, u);
	const struct gyp_forecast_kind *k = find_kind(f, &key);
	const struct gyp_forecast_queue *q =
	    k != NULL ? k->queue : g_hash_table_lookup(f->queues, key.queue);

	if (q == NULL || u->step->lasting)
		return u->step->estimate_ms;
	return to_ms(
	    location_of(q, k, u->step->estimate_ms) + error_of(q, k, quantile));
}

unsigned
gyp_run_forecast_confidence(const struct gyp_run_forecast *f,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u)
{
	struct kind_key key = key_of(flow, u);
	const struct gyp_forecast_kind *k = find_kind(f, &key);

	if (k == NULL || u->step->lasting)
		return 0;
	return (
	    unsigned)(100 * (double)k->runs / ((double)k->runs + PRIOR_RUNS));
}

/* ---- Learning ----------------------------------------------------------- */

static double
weight_of(uint64_t runs, uint64_t memory_runs)
{
	return 1.0 / (double)MIN(runs, memory_runs);
}

/* Adds one deviation from the means to the variance and covariance. */
static void
add_deviation(
    struct gyp_forecast_moments *m, double estimate, double run, double weight)
{
	m->variance +=
	    weight * ((1 - weight) * estimate * estimate - m->variance);
	m->covariance +=
	    weight * ((1 - weight) * estimate * run - m->covariance);
}

static void
update_queue(struct gyp_forecast_queue *q, uint64_t estimate_ms, double run)
{
	struct gyp_forecast_moments *m = &q->moments;
	double estimate = log_estimate(estimate_ms, m->mean_estimate);
	double weight = weight_of(++m->runs, QUEUE_MEMORY_RUNS);

	add_deviation(
	    m, estimate - m->mean_estimate, run - m->mean_run, weight);
	m->mean_estimate += weight * (estimate - m->mean_estimate);
	m->mean_run += weight * (run - m->mean_run);
}

static void
update_kind(struct gyp_forecast_kind *k, uint64_t estimate_ms, double run)
{
	struct gyp_forecast_moments *inner = &k->queue->inner;
	double estimate = log_estimate(estimate_ms,
	    k->runs > 0 ? k->mean_estimate : k->queue->moments.mean_estimate);
	double weight = weight_of(++k->runs, KIND_MEMORY_RUNS);

	k->new_runs++;
	if (k->runs > 1) {
		inner->runs++;
		add_deviation(inner, estimate - k->mean_estimate,
		    run - k->mean_run,
		    weight_of(inner->runs, QUEUE_MEMORY_RUNS));
	}
	k->mean_estimate += weight * (estimate - k->mean_estimate);
	k->mean_run += weight * (run - k->mean_run);
}

/* Records the error that the forecast of a run had before it ended. */
static void
record_error(struct gyp_forecast_kind *k, double location, double run)
{
	struct gyp_forecast_queue *q = k->queue;
	double forecast = location + error_of(q, k, 0.5);

	q->error += (fabs(run - forecast) - q->error) *
		    weight_of(q->moments.runs + 1, QUEUE_MEMORY_RUNS);
	if (is_known(k)) {
		gyp_forecast_errors_add(&k->errors, run - location);
		gyp_forecast_errors_add(&q->known, run - location);
	} else {
		gyp_forecast_errors_add(&q->fresh, run - location);
	}
}

void
gyp_run_forecast_set_class(
    struct gyp_run_forecast *f, uint32_t row, uint32_t class_id)
{
	gyp_endpoint_speed_set_class(f->speeds, row, class_id);
}

double
gyp_run_forecast_slowdown(const struct gyp_run_forecast *f, uint32_t row)
{
	return exp(gyp_endpoint_speed_log(f->speeds, row));
}

void
gyp_run_forecast_add(struct gyp_run_forecast *f, const struct gyp_flow *flow,
    const struct gyp_flow_unit *u, uint32_t row, uint64_t ran_ms)
{
	struct kind_key key = key_of(flow, u);
	uint64_t estimate_ms = u->step->estimate_ms;
	struct gyp_forecast_kind *k;
	double location, raw, run;

	if (u->step->lasting)
		return;
	k = gyp_forecast_touch_kind(f, gyp_forecast_add_queue(f, key.queue),
	    key.workspace, key.image, key.size_class);
	raw = log((double)CLAMP(ran_ms, 1, FORECAST_MAX_MS));
	run = raw - gyp_endpoint_speed_log(f->speeds, row);
	location = location_of(k->queue, k, estimate_ms);
	if (k->queue->moments.runs > 0)
		record_error(k, location, run);
	if (is_known(k))
		gyp_endpoint_speed_add(f->speeds, row,
		    raw - location - error_of(k->queue, k, 0.5));
	update_kind(k, estimate_ms, run);
	update_queue(k->queue, estimate_ms, run);
}

void
gyp_run_forecast_add_stopped(struct gyp_run_forecast *f,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u, uint32_t row,
    uint64_t ran_ms)
{
	if (ran_ms > gyp_run_forecast_ms(f, flow, u, 0.5))
		gyp_run_forecast_add(f, flow, u, row, ran_ms);
}

/* ---- Reports ------------------------------------------------------------ */

static void
fill_report(
    const struct gyp_forecast_kind *k, struct gyp_run_forecast_report *r)
{
	const struct gyp_forecast_queue *q = k->queue;
	uint64_t estimate_ms = to_ms(k->mean_estimate);
	double location = location_of(q, k, estimate_ms);

	r->queue = q->name;
	r->workspace = k->workspace;
	r->image = k->image;
	r->runs = k->runs;
	r->new_runs = k->new_runs;
	r->median_ms = to_ms(location + error_of(q, k, 0.5));
	r->p90_ms = to_ms(location + error_of(q, k, 0.9));
	r->error_percent = (uint32_t)(100 * (exp(MIN(q->error, 10)) - 1));
}

/* Inserts the kind in front of those with fewer new runs. */
static uint32_t
insert_busy(struct gyp_forecast_kind **list, uint32_t n, uint32_t max,
    struct gyp_forecast_kind *k)
{
	uint32_t i;

	if (n < max)
		n++;
	else if (n == 0 || list[n - 1]->new_runs >= k->new_runs)
		return n;
	for (i = n - 1; i > 0 && list[i - 1]->new_runs < k->new_runs; i--)
		list[i] = list[i - 1];
	list[i] = k;
	return n;
}

uint32_t
gyp_run_forecast_busiest(struct gyp_run_forecast *f,
    struct gyp_run_forecast_report *reports, uint32_t max)
{
	struct gyp_forecast_kind **list =
	    g_new0(struct gyp_forecast_kind *, max + 1);
	uint32_t i, n = 0;
	const GList *l;

	for (l = f->recent.head; l != NULL; l = l->next) {
		struct gyp_forecast_kind *k = l->data;

		if (k->new_runs > 0)
			n = insert_busy(list, n, max, k);
	}
	for (i = 0; i < n; i++)
		fill_report(list[i], &reports[i]);
	for (l = f->recent.head; l != NULL; l = l->next)
		((struct gyp_forecast_kind *)l->data)->new_runs = 0;
	g_free(list);
	return n;
}

uint32_t
gyp_run_forecast_kinds(const struct gyp_run_forecast *f)
{
	return f->recent.length;
}

/* ---- Construction ------------------------------------------------------- */

static void
init_tables(struct gyp_run_forecast *f)
{
	f->queues =
	    g_hash_table_new_full(name_hash, name_equal, NULL, free_queue);
	f->links = g_hash_table_new_full(kind_hash, kind_equal, g_free, NULL);
	g_queue_init(&f->recent);
	f->speeds = gyp_endpoint_speed_new();
}

static void
free_tables(struct gyp_run_forecast *f)
{
	g_hash_table_destroy(f->links);
	g_queue_clear_full(&f->recent, free_kind);
	g_hash_table_destroy(f->queues);
	gyp_endpoint_speed_free(f->speeds);
}

void
gyp_run_forecast_clear(struct gyp_run_forecast *f)
{
	free_tables(f);
	init_tables(f);
}

struct gyp_run_forecast *
gyp_run_forecast_new(void)
{
	struct gyp_run_forecast *f = g_new0(struct gyp_run_forecast, 1);

	init_tables(f);
	return f;
}

void
gyp_run_forecast_free(struct gyp_run_forecast *f)
{
	if (f == NULL)
		return;
	free_tables(f);
	g_free(f);
}
