#include "run_forecast_int.h"

/* ---- Saving ------------------------------------------------------------- */

/* Returns the errors, oldest first. */
static float *
save_errors(const struct gyp_forecast_errors *e, size_t *n)
{
	float *list = g_new(float, GYP_FORECAST_ERRORS);
	uint32_t first = e->n < GYP_FORECAST_ERRORS ? 0 : e->next;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		list[i] = e->ring[(first + i) % GYP_FORECAST_ERRORS];
	*n = e->n;
	return list;
}

static Gyp__SnapForecastQueue *
save_queue(const struct gyp_forecast_queue *q)
{
	Gyp__SnapForecastQueue *sq = g_new(Gyp__SnapForecastQueue, 1);

	gyp__snap_forecast_queue__init(sq);
	sq->name = g_strdup(q->name);
	sq->runs = q->moments.runs;
	sq->mean_run = q->moments.mean_run;
	sq->mean_estimate = q->moments.mean_estimate;
	sq->variance = q->moments.variance;
	sq->covariance = q->moments.covariance;
	sq->inner_runs = q->inner.runs;
	sq->inner_variance = q->inner.variance;
	sq->inner_covariance = q->inner.covariance;
	sq->error = q->error;
	sq->known_errors = save_errors(&q->known, &sq->n_known_errors);
	sq->new_errors = save_errors(&q->fresh, &sq->n_new_errors);
	return sq;
}

static Gyp__SnapForecastKind *
save_kind(const struct gyp_forecast_kind *k, uint32_t queue)
{
	Gyp__SnapForecastKind *sk = g_new(Gyp__SnapForecastKind, 1);

	gyp__snap_forecast_kind__init(sk);
	sk->queue = queue;
	sk->workspace = g_strdup(k->workspace);
	sk->image = g_strdup(k->image);
	sk->size_class = k->size_class;
	sk->runs = k->runs;
	sk->mean_run = k->mean_run;
	sk->mean_estimate = k->mean_estimate;
	sk->errors = save_errors(&k->errors, &sk->n_errors);
	return sk;
}

/* Returns the queue's index in the snapshot, where it is added if missing. */
static uint32_t
index_of_queue(Gyp__SnapForecast *snap, GHashTable *indices,
    const struct gyp_forecast_queue *q)
{
	gpointer index;

	if (g_hash_table_lookup_extended(indices, q, NULL, &index))
		return GPOINTER_TO_UINT(index);
	snap->queues[snap->n_queues] = save_queue(q);
	g_hash_table_insert(
	    indices, (gpointer)q, GUINT_TO_POINTER(snap->n_queues));
	return (uint32_t)snap->n_queues++;
}

Gyp__SnapForecast *
gyp_run_forecast_save(const struct gyp_run_forecast *f)
{
	GHashTable *indices;
	Gyp__SnapForecast *snap;
	const GList *l;

	if (f->recent.length == 0)
		return NULL;
	snap = g_new(Gyp__SnapForecast, 1);
	gyp__snap_forecast__init(snap);
	snap->queues =
	    g_new(Gyp__SnapForecastQueue *, g_hash_table_size(f->queues));
	snap->kinds = g_new(Gyp__SnapForecastKind *, f->recent.length);
	indices = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (l = f->recent.head; l != NULL; l = l->next) {
		const struct gyp_forecast_kind *k = l->data;

		snap->kinds[snap->n_kinds++] =
		    save_kind(k, index_of_queue(snap, indices, k->queue));
	}
	g_hash_table_destroy(indices);
	gyp_endpoint_speed_save(f->speeds, snap);
	return snap;
}

/* ---- Restoring ---------------------------------------------------------- */

static void
restore_errors(struct gyp_forecast_errors *e, const float *list, size_t n)
{
	size_t i;

	*e = (struct gyp_forecast_errors){.n = 0};
	for (i = 0; i < n; i++)
		gyp_forecast_errors_add(e, list[i]);
}

static struct gyp_forecast_queue *
restore_queue(struct gyp_run_forecast *f, const Gyp__SnapForecastQueue *sq)
{
	struct gyp_forecast_queue *q = gyp_forecast_add_queue(f, sq->name);

	q->moments.runs = sq->runs;
	q->moments.mean_run = sq->mean_run;
	q->moments.mean_estimate = sq->mean_estimate;
	q->moments.variance = sq->variance;
	q->moments.covariance = sq->covariance;
	q->inner.runs = sq->inner_runs;
	q->inner.variance = sq->inner_variance;
	q->inner.covariance = sq->inner_covariance;
	q->error = sq->error;
	/* The errors assumed at first remain if the snapshot has none. */
	if (sq->n_known_errors > 0)
		restore_errors(&q->known, sq->known_errors, sq->n_known_errors);
	if (sq->n_new_errors > 0)
		restore_errors(&q->fresh, sq->new_errors, sq->n_new_errors);
	return q;
}

static void
restore_kind(struct gyp_run_forecast *f, struct gyp_forecast_queue *q,
    const Gyp__SnapForecastKind *sk)
{
	struct gyp_forecast_kind *k = gyp_forecast_touch_kind(
	    f, q, sk->workspace, sk->image, sk->size_class);

	k->runs = sk->runs;
	k->mean_run = sk->mean_run;
	k->mean_estimate = sk->mean_estimate;
	restore_errors(&k->errors, sk->errors, sk->n_errors);
}

void
gyp_run_forecast_restore(
    struct gyp_run_forecast *f, const Gyp__SnapForecast *snap)
{
	size_t i;

	gyp_run_forecast_clear(f);
	if (snap == NULL)
		return;
	for (i = 0; i < snap->n_kinds && i < GYP_RUN_FORECAST_KINDS; i++) {
		const Gyp__SnapForecastKind *sk = snap->kinds[i];

		if (sk->queue < snap->n_queues)
			restore_kind(
			    f, restore_queue(f, snap->queues[sk->queue]), sk);
	}
	gyp_endpoint_speed_restore(f->speeds, snap);
}
