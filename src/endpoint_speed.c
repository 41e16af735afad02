#include <math.h>

#include <glib.h>

#include "endpoint_speed.h"

/* Runs after which an endpoint's mean counts as much as that of its class. */
#define PRIOR_RUNS 8

/* Runs after which the mean of a class counts as much as the prior, 0. */
#define CLASS_PRIOR_RUNS 32

/* Runs over which the mean of a class adapts. */
#define CLASS_MEMORY_RUNS 512

/* Maximum number of classes; endpoints of further ones have none. */
#define CLASSES_MAX 64

/* Runs over which an endpoint's mean adapts; hardware speed changes rarely. */
#define ENDPOINT_MEMORY_RUNS 32

/* Runs over which the mean of all endpoints adapts: several of each. */
#define ALL_MEMORY_RUNS 1024

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

struct class_speed {
	uint32_t id;
	uint32_t runs;
	double mean; /* of the log ratio */
};

struct gyp_endpoint_speed {
	GArray *class_ids; /* uint32_t by row */
	GArray *classes;   /* struct class_speed */
	GHashTable *links; /* row -> GList in recent */
	GQueue recent;     /* struct row_speed, latest run last */
	uint64_t runs;
	double mean; /* of the shrunk means of the endpoints of all runs */
};

/* Returns the class of that id, or NULL. */
static struct class_speed *
find_class(const struct gyp_endpoint_speed *s, uint32_t id)
{
	guint i;

	for (i = 0; id != 0 && i < s->classes->len; i++) {
		struct class_speed *c =
		    &g_array_index(s->classes, struct class_speed, i);

		if (c->id == id)
			return c;
	}
	return NULL;
}

static uint32_t
class_of(const struct gyp_endpoint_speed *s, uint32_t row)
{
	return row < s->class_ids->len
		   ? g_array_index(s->class_ids, uint32_t, row)
		   : 0;
}

static double
class_mean(const struct gyp_endpoint_speed *s, uint32_t row)
{
	const struct class_speed *c = find_class(s, class_of(s, row));

	return c != NULL ? c->mean * c->runs / (c->runs + CLASS_PRIOR_RUNS) : 0;
}

static void
add_to_class(struct gyp_endpoint_speed *s, uint32_t row, double log_ratio)
{
	struct class_speed *c = find_class(s, class_of(s, row));
	struct class_speed none = {.id = class_of(s, row)};

	if (c == NULL && none.id != 0 && s->classes->len < CLASSES_MAX) {
		g_array_append_val(s->classes, none);
		c = find_class(s, none.id);
	}
	if (c == NULL)
		return;
	c->runs = MIN(c->runs + 1, CLASS_MEMORY_RUNS);
	c->mean += (log_ratio - c->mean) / c->runs;
}

static double
shrunk_mean(const struct gyp_endpoint_speed *s, const struct row_speed *r)
{
	return (r->mean * r->runs + class_mean(s, r->row) * PRIOR_RUNS) /
	       (r->runs + PRIOR_RUNS);
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

	r->runs = MIN(r->runs + 1, ENDPOINT_MEMORY_RUNS);
	r->mean += (bounded - r->mean) / r->runs;
	add_to_class(s, row, bounded);
	s->runs = MIN(s->runs + 1, ALL_MEMORY_RUNS);
	s->mean += (shrunk_mean(s, r) - s->mean) / (double)s->runs;
}

double
gyp_endpoint_speed_log(const struct gyp_endpoint_speed *s, uint32_t row)
{
	const GList *link =
	    g_hash_table_lookup(s->links, GUINT_TO_POINTER(row));

	if (link != NULL)
		return shrunk_mean(s, link->data) - s->mean;
	return find_class(s, class_of(s, row)) != NULL
		   ? class_mean(s, row) - s->mean
		   : 0;
}

void
gyp_endpoint_speed_set_class(
    struct gyp_endpoint_speed *s, uint32_t row, uint32_t class_id)
{
	GList *link = g_hash_table_lookup(s->links, GUINT_TO_POINTER(row));

	if (class_of(s, row) == class_id)
		return;
	if (row >= s->class_ids->len)
		g_array_set_size(s->class_ids, row + 1);
	if (link != NULL && class_of(s, row) != 0) {
		g_hash_table_remove(s->links, GUINT_TO_POINTER(row));
		g_free(link->data);
		g_queue_delete_link(&s->recent, link);
	}
	g_array_index(s->class_ids, uint32_t, row) = class_id;
}

/* ---- Snapshots ---------------------------------------------------------- */

static void
save_classes(const struct gyp_endpoint_speed *s, Gyp__SnapForecast *snap)
{
	guint i, n = s->classes->len;

	snap->n_speed_class = n;
	snap->n_speed_class_runs = n;
	snap->n_speed_class_mean = n;
	snap->speed_class = g_new(uint32_t, n + 1);
	snap->speed_class_runs = g_new(uint32_t, n + 1);
	snap->speed_class_mean = g_new(double, n + 1);
	for (i = 0; i < n; i++) {
		const struct class_speed *c =
		    &g_array_index(s->classes, struct class_speed, i);

		snap->speed_class[i] = c->id;
		snap->speed_class_runs[i] = c->runs;
		snap->speed_class_mean[i] = c->mean;
	}
}

static void
restore_classes(struct gyp_endpoint_speed *s, const Gyp__SnapForecast *snap)
{
	size_t n = MIN(snap->n_speed_class,
	    MIN(snap->n_speed_class_runs, snap->n_speed_class_mean));
	size_t i;

	for (i = 0; i < n && i < CLASSES_MAX; i++) {
		struct class_speed c = {.id = snap->speed_class[i],
		    .runs = snap->speed_class_runs[i],
		    .mean = snap->speed_class_mean[i]};

		g_array_append_val(s->classes, c);
	}
}

void
gyp_endpoint_speed_save(
    const struct gyp_endpoint_speed *s, Gyp__SnapForecast *snap)
{
	const GList *l;
	size_t i = 0;

	save_classes(s, snap);
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

	restore_classes(s, snap);
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
	s->class_ids = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	s->classes = g_array_new(FALSE, FALSE, sizeof(struct class_speed));
	return s;
}

void
gyp_endpoint_speed_free(struct gyp_endpoint_speed *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->links);
	g_queue_clear_full(&s->recent, g_free);
	g_array_free(s->class_ids, TRUE);
	g_array_free(s->classes, TRUE);
	g_free(s);
}
