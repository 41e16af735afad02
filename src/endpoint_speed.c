#include <math.h>

#include <glib.h>

#include "endpoint_speed.h"

/* Runs after which an endpoint's mean counts as much as the prior of 0. */
#define PRIOR_RUNS 8

/* Runs over which an endpoint's mean adapts; hardware speed changes rarely. */
#define ROW_MEMORY 32

/* Runs over which the mean of all endpoints adapts: several of each. */
#define ALL_MEMORY 1024

/*
 * Bound on one run's factor: a task in the long tail of its kind says little
 * about its endpoint.
 */
#define FACTOR_MAX 4.0

struct row_speed {
	uint32_t row;
	uint32_t runs;
	double mean; /* of the log ratio */
};

struct gyp_endpoint_speed {
	GHashTable *links; /* row -> GList in recent */
	GQueue recent;     /* struct row_speed, latest run last */
	uint64_t runs;
	double mean; /* of the shrunk means of the endpoints of all runs */
};

static double
shrunk_mean(const struct row_speed *r)
{
	return r->mean * r->runs / (r->runs + PRIOR_RUNS);
}

static struct row_speed *
append_row(struct gyp_endpoint_speed *s, uint32_t row)
{
	struct row_speed *r = g_new0(struct row_speed, 1);

	r->row = row;
	g_queue_push_tail(&s->recent, r);
	g_hash_table_insert(s->links, GUINT_TO_POINTER(row), s->recent.tail);
	return r;
}

static void
drop_oldest(struct gyp_endpoint_speed *s)
{
	struct row_speed *r = g_queue_pop_head(&s->recent);

	g_hash_table_remove(s->links, GUINT_TO_POINTER(r->row));
	g_free(r);
}

/* Returns the row's record, as the most recently used one. */
static struct row_speed *
touch_row(struct gyp_endpoint_speed *s, uint32_t row)
{
	GList *link = g_hash_table_lookup(s->links, GUINT_TO_POINTER(row));

	if (link == NULL) {
		if (s->recent.length >= GYP_ENDPOINT_SPEED_ROWS)
			drop_oldest(s);
		return append_row(s, row);
	}
	g_queue_unlink(&s->recent, link);
	g_queue_push_tail_link(&s->recent, link);
	return link->data;
}

void
gyp_endpoint_speed_add(
    struct gyp_endpoint_speed *s, uint32_t row, double log_ratio)
{
	struct row_speed *r = touch_row(s, row);
	double bounded = CLAMP(log_ratio, -log(FACTOR_MAX), log(FACTOR_MAX));

	r->runs = MIN(r->runs + 1, ROW_MEMORY);
	r->mean += (bounded - r->mean) / r->runs;
	s->runs = MIN(s->runs + 1, ALL_MEMORY);
	s->mean += (shrunk_mean(r) - s->mean) / (double)s->runs;
}

double
gyp_endpoint_speed_log(const struct gyp_endpoint_speed *s, uint32_t row)
{
	const GList *link =
	    g_hash_table_lookup(s->links, GUINT_TO_POINTER(row));

	return link != NULL ? shrunk_mean(link->data) - s->mean : 0;
}

/* ---- Snapshots ---------------------------------------------------------- */

void
gyp_endpoint_speed_save(
    const struct gyp_endpoint_speed *s, Gyp__SnapForecast *snap)
{
	const GList *l;
	size_t i = 0;

	snap->speed_runs = s->runs;
	snap->speed_mean = s->mean;
	snap->n_speed_row = s->recent.length;
	snap->n_speed_row_runs = s->recent.length;
	snap->n_speed_row_mean = s->recent.length;
	snap->speed_row = g_new(uint32_t, s->recent.length + 1);
	snap->speed_row_runs = g_new(uint32_t, s->recent.length + 1);
	snap->speed_row_mean = g_new(double, s->recent.length + 1);
	for (l = s->recent.head; l != NULL; l = l->next, i++) {
		const struct row_speed *r = l->data;

		snap->speed_row[i] = r->row;
		snap->speed_row_runs[i] = r->runs;
		snap->speed_row_mean[i] = r->mean;
	}
}

void
gyp_endpoint_speed_restore(
    struct gyp_endpoint_speed *s, const Gyp__SnapForecast *snap)
{
	size_t n = MIN(snap->n_speed_row,
	    MIN(snap->n_speed_row_runs, snap->n_speed_row_mean));
	size_t i;

	s->runs = snap->speed_runs;
	s->mean = snap->speed_mean;
	for (i = 0; i < n && i < GYP_ENDPOINT_SPEED_ROWS; i++) {
		struct row_speed *r = touch_row(s, snap->speed_row[i]);

		r->runs = snap->speed_row_runs[i];
		r->mean = snap->speed_row_mean[i];
	}
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_endpoint_speed *
gyp_endpoint_speed_new(void)
{
	struct gyp_endpoint_speed *s = g_new0(struct gyp_endpoint_speed, 1);

	s->links = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_queue_init(&s->recent);
	return s;
}

void
gyp_endpoint_speed_free(struct gyp_endpoint_speed *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->links);
	g_queue_clear_full(&s->recent, g_free);
	g_free(s);
}
