#include <string.h>

#include "policy_int.h"

/* Buckets of the grid along each of its two dimensions. */
#define GRID_STEPS 32

/* Most fitting endpoints that a search of the grid scores. */
#define SCORED_MAX 24

/* Draws of a search by random sample. */
#define SAMPLE_SIZE 16

#define NO_BUCKET UINT32_MAX

/* Subtracted from the score for each task of the job in the same domain. */
#define SPREAD_PENALTY 10.0

/* A capacity and the number of endpoints that have it. */
struct shape {
	struct gyp_res capacity;
	uint32_t count;
};

/*
 * Grid of endpoints by free processors and free memory, each in steps that are
 * a fraction of the largest capacity seen. An endpoint that is not usable or
 * has no free slot is in no bucket.
 */
struct index {
	GPtrArray *views;   /* struct endpoint_view by row */
	GPtrArray *buckets; /* GArray of row, GRID_STEPS * GRID_STEPS */
	uint32_t memory_masks[GRID_STEPS]; /* per processor step: bits of the
					      memory steps with a bucket
					      that is not empty */
	uint64_t max_cpu;
	uint64_t max_memory;
	struct gyp_res newly_free;
	struct gyp_res capacity;
	struct gyp_res available;
	GArray *shapes; /* struct shape */
};

/* ---- Construction ------------------------------------------------------ */

static void
free_bucket(gpointer p)
{
	g_array_free(p, TRUE);
}

struct index *
index_new(void)
{
	struct index *idx = g_new0(struct index, 1);
	guint i;

	idx->views = g_ptr_array_new_with_free_func(g_free);
	idx->buckets = g_ptr_array_new_with_free_func(free_bucket);
	for (i = 0; i < GRID_STEPS * GRID_STEPS; i++)
		g_ptr_array_add(
		    idx->buckets, g_array_new(FALSE, FALSE, sizeof(uint32_t)));
	idx->shapes = g_array_new(FALSE, FALSE, sizeof(struct shape));
	idx->max_cpu = 1;
	idx->max_memory = 1;
	return idx;
}

void
index_free(struct index *idx)
{
	if (idx == NULL)
		return;
	g_ptr_array_free(idx->views, TRUE);
	g_ptr_array_free(idx->buckets, TRUE);
	g_array_free(idx->shapes, TRUE);
	g_free(idx);
}

uint32_t
index_size(const struct index *idx)
{
	return idx->views->len;
}

struct endpoint_view *
index_at(struct index *idx, uint32_t row)
{
	struct endpoint_view *view = idx->views->pdata[row];

	return view != NULL && view->id != 0 ? view : NULL;
}

struct endpoint_view *
index_lookup(struct index *idx, uint64_t id)
{
	uint32_t row = (uint32_t)id;
	struct endpoint_view *view =
	    row < idx->views->len ? idx->views->pdata[row] : NULL;

	return view != NULL && view->id == id ? view : NULL;
}

/* ---- Grid -------------------------------------------------------------- */

static uint32_t
grid_step(uint64_t amount, uint64_t max)
{
	/* Floating point: amount * GRID_STEPS could overflow for bytes. */
	uint64_t step = (uint64_t)((double)amount / (double)max * GRID_STEPS);

	return (uint32_t)MIN(step, GRID_STEPS - 1);
}

static GArray *
bucket_at(const struct index *idx, uint32_t bucket)
{
	return idx->buckets->pdata[bucket];
}

static void
leave_bucket(struct index *idx, struct endpoint_view *view)
{
	GArray *bucket;
	uint32_t last;

	if (view->bucket == NO_BUCKET)
		return;
	bucket = bucket_at(idx, view->bucket);
	last = g_array_index(bucket, uint32_t, bucket->len - 1);
	((struct endpoint_view *)idx->views->pdata[last])->pos = view->pos;
	g_array_remove_index_fast(bucket, view->pos);
	if (bucket->len == 0)
		idx->memory_masks[view->bucket / GRID_STEPS] &=
		    ~(1U << view->bucket % GRID_STEPS);
	view->bucket = NO_BUCKET;
}

static void
enter_bucket(struct index *idx, struct endpoint_view *view)
{
	uint32_t cpu, memory, row = (uint32_t)view->id;
	GArray *bucket;

	if (view->id == 0 || !view->usable || view->available.slots == 0)
		return;
	cpu = grid_step(view->available.cpu_milli, idx->max_cpu);
	memory = grid_step(view->available.memory, idx->max_memory);
	view->bucket = cpu * GRID_STEPS + memory;
	bucket = bucket_at(idx, view->bucket);
	view->pos = bucket->len;
	g_array_append_val(bucket, row);
	idx->memory_masks[cpu] |= 1U << memory;
}

static void
move_bucket(struct index *idx, struct endpoint_view *view)
{
	leave_bucket(idx, view);
	enter_bucket(idx, view);
}

static void
rebuild_grid(struct index *idx)
{
	uint32_t i;

	for (i = 0; i < idx->views->len; i++) {
		struct endpoint_view *view = index_at(idx, i);

		if (view != NULL)
			leave_bucket(idx, view);
	}
	for (i = 0; i < idx->views->len; i++) {
		struct endpoint_view *view = index_at(idx, i);

		if (view != NULL)
			enter_bucket(idx, view);
	}
}

/* ---- Updates ----------------------------------------------------------- */

static void
record_newly_free(struct index *idx, const struct gyp_res *available)
{
	idx->newly_free.cpu_milli =
	    MAX(idx->newly_free.cpu_milli, available->cpu_milli);
	idx->newly_free.memory = MAX(idx->newly_free.memory, available->memory);
	idx->newly_free.accel = MAX(idx->newly_free.accel, available->accel);
	idx->newly_free.slots = MAX(idx->newly_free.slots, available->slots);
}

/* Adds delta, 1 or -1, to the number of endpoints with the capacity. */
static void
count_shape(struct index *idx, const struct gyp_res *capacity, int delta)
{
	struct shape added = {.capacity = *capacity};
	guint i;

	for (i = 0; i < idx->shapes->len; i++) {
		struct shape *shape =
		    &g_array_index(idx->shapes, struct shape, i);

		if (!gyp_res_fits(&shape->capacity, capacity) ||
		    !gyp_res_fits(capacity, &shape->capacity))
			continue;
		shape->count += (uint32_t)delta;
		if (shape->count == 0)
			g_array_remove_index_fast(idx->shapes, i);
		return;
	}
	added.count = (uint32_t)delta;
	g_array_append_val(idx->shapes, added);
}

static void
add_totals(struct index *idx, const struct endpoint_view *view)
{
	if (!view->usable)
		return;
	gyp_res_add(&idx->capacity, &view->capacity);
	gyp_res_add(&idx->available, &view->available);
}

static void
sub_totals(struct index *idx, const struct endpoint_view *view)
{
	if (!view->usable)
		return;
	gyp_res_sub(&idx->capacity, &view->capacity);
	gyp_res_sub(&idx->available, &view->available);
}

static struct endpoint_view *
ensure_view(struct index *idx, uint64_t id)
{
	uint32_t row = (uint32_t)id;

	while (idx->views->len <= row)
		g_ptr_array_add(idx->views, NULL);
	if (idx->views->pdata[row] == NULL) {
		struct endpoint_view *view = g_new0(struct endpoint_view, 1);

		view->bucket = NO_BUCKET;
		idx->views->pdata[row] = view;
	}
	return idx->views->pdata[row];
}

static void
remove_view(struct index *idx, struct endpoint_view *view)
{
	sub_totals(idx, view);
	leave_bucket(idx, view);
	count_shape(idx, &view->capacity, -1);
	memset(view, 0, sizeof(*view));
	view->bucket = NO_BUCKET;
}

static void
add_view(struct index *idx, struct endpoint_view *view,
    const struct gyp_endpoint *ep)
{
	view->id = ep->id;
	view->ep = ep;
	view->capacity = ep->capacity;
	count_shape(idx, &view->capacity, 1);
	if (view->capacity.cpu_milli > idx->max_cpu ||
	    view->capacity.memory > idx->max_memory) {
		idx->max_cpu = MAX(idx->max_cpu, view->capacity.cpu_milli);
		idx->max_memory = MAX(idx->max_memory, view->capacity.memory);
		rebuild_grid(idx);
	}
}

void
index_update(struct index *idx, uint64_t id, const struct gyp_endpoint *ep)
{
	struct endpoint_view *view = ensure_view(idx, id);
	bool was_usable;
	struct gyp_res before;

	if (view->id != 0 && (ep == NULL || view->id != id))
		remove_view(idx, view);
	if (ep == NULL)
		return;
	if (view->id == 0)
		add_view(idx, view, ep);
	else
		sub_totals(idx, view);
	was_usable = view->usable;
	before = view->available;
	view->usable = ep->state == GYP_ENDPOINT_ACTIVE;
	view->available = ep->capacity;
	gyp_res_sub(&view->available, &ep->booked);
	view->tasks = ep->attempts->len;
	if (view->usable &&
	    (!was_usable || !gyp_res_fits(&view->available, &before)))
		record_newly_free(idx, &view->available);
	add_totals(idx, view);
	move_bucket(idx, view);
}

void
index_book(
    struct index *idx, struct endpoint_view *view, const struct gyp_res *size)
{
	gyp_res_sub(&view->available, size);
	gyp_res_sub(&idx->available, size);
	view->tasks++;
	move_bucket(idx, view);
}

void
index_release(
    struct index *idx, struct endpoint_view *view, const struct gyp_res *size)
{
	gyp_res_add(&view->available, size);
	gyp_res_add(&idx->available, size);
	view->tasks--;
	move_bucket(idx, view);
}

const struct gyp_res *
index_newly_free(const struct index *idx)
{
	return &idx->newly_free;
}

void
index_reset_newly_free(struct index *idx)
{
	memset(&idx->newly_free, 0, sizeof(idx->newly_free));
}

void
index_totals(const struct index *idx, struct gyp_res *capacity,
    struct gyp_res *available)
{
	*capacity = idx->capacity;
	*available = idx->available;
}

/* ---- Feasibility ------------------------------------------------------- */

bool
index_is_feasible(const struct index *idx, const struct gyp_res *size)
{
	guint i;

	for (i = 0; i < idx->shapes->len; i++) {
		if (gyp_res_fits(size,
			&g_array_index(idx->shapes, struct shape, i).capacity))
			return true;
	}
	return false;
}

static uint64_t
tasks_per_endpoint(const struct gyp_res *size, const struct gyp_res *capacity)
{
	uint64_t n = UINT32_MAX;

	if (size->cpu_milli > 0)
		n = MIN(n, capacity->cpu_milli / size->cpu_milli);
	if (size->memory > 0)
		n = MIN(n, capacity->memory / size->memory);
	if (size->accel > 0)
		n = MIN(n, capacity->accel / size->accel);
	if (size->slots > 0)
		n = MIN(n, capacity->slots / size->slots);
	return n;
}

uint64_t
index_task_capacity(struct index *idx, const struct gyp_res *size)
{
	uint64_t n = 0;
	guint i;

	for (i = 0; i < idx->shapes->len; i++) {
		const struct shape *shape =
		    &g_array_index(idx->shapes, struct shape, i);

		n += tasks_per_endpoint(size, &shape->capacity) * shape->count;
	}
	return n;
}

/* ---- Search ------------------------------------------------------------ */

struct search {
	struct gyp_policy *policy;
	const struct index_query *q;
	struct endpoint_view *best;
	double best_score;
	uint32_t scored;
};

static const char *
domain_name(const struct gyp_endpoint *ep, enum gyp_spread_domain over)
{
	return over == GYP_SPREAD_RACK ? ep->spec->rack : ep->spec->data_centre;
}

/*
 * Returns how many tasks of the job are placed in the endpoint's rack or data
 * centre, with those of this round.
 */
static uint32_t
tasks_in_domain(const struct search *s, const struct endpoint_view *view,
    enum gyp_spread_domain over)
{
	const struct gyp_job *job = s->q->job;
	const char *domain = domain_name(view->ep, over);
	uint32_t i, n = 0;

	for (i = 0; i < job->n_tasks; i++) {
		const struct gyp_task *t = &job->tasks[i];
		const struct gyp_endpoint *ep;

		if (t->state != GYP_TASK_PLACED)
			continue;
		ep = gyp_state_endpoint(s->policy->state, t->endpoint);
		n += strcmp(domain_name(ep, over), domain) == 0;
	}
	for (i = s->q->placements->len; i > 0; i--) {
		const struct gyp_placement *c = &g_array_index(
		    s->q->placements, struct gyp_placement, i - 1);
		const struct gyp_endpoint *ep =
		    gyp_state_endpoint(s->policy->state, c->endpoint);

		if (c->job != job->id)
			break;
		n += strcmp(domain_name(ep, over), domain) == 0;
	}
	return n;
}

static bool
is_waiting(const struct gyp_policy *p, uint64_t id)
{
	const struct gyp_job *job = gyp_state_job(p->state, id);

	return job != NULL && job->n_queued > 0 &&
	       !g_hash_table_contains(p->placed_jobs, &id);
}

/* Backfill: work that ends before the reservation is due may run. */
static bool
may_use_held(const struct gyp_policy *p, const struct index_query *q,
    const struct endpoint_view *view)
{
	if (view->held_for == 0 || view->held_for == q->job->id)
		return true;
	if (view->held_for != p->reserved_job)
		return q->now > view->held_until ||
		       !is_waiting(p, view->held_for);
	if (q->urgent)
		return true;
	/* Run times are estimates: twice the expected one must fit. */
	return q->run_ms > 0 && q->now + 2 * q->run_ms <= p->reserved_until;
}

static bool
is_allowed(const struct search *s, const struct endpoint_view *view)
{
	const struct index_query *q = s->q;

	if (!view->usable || !gyp_res_fits(q->size, &view->available))
		return false;
	if (view->tasks >= q->max_tasks ||
	    (view->probing && view->tasks > view->tasks_before_probe))
		return false;
	if (q->avoid_failed &&
	    gyp_health_failed_at(s->policy->health, q->job->id, view->id))
		return false;
	if (!may_use_held(s->policy, q, view))
		return false;
	return q->rack_limit == GYP_UNLIMITED ||
	       tasks_in_domain(s, view, GYP_SPREAD_RACK) < q->rack_limit;
}

static void
examine(struct search *s, struct endpoint_view *view)
{
	struct gyp_score_input input = {.capacity = &view->capacity};
	struct gyp_res remaining = view->available;
	double score;

	s->policy->counters.endpoints_examined++;
	if (!is_allowed(s, view))
		return;
	gyp_res_sub(&remaining, s->q->size);
	input.remaining = &remaining;
	input.row = (uint32_t)view->id;
	if (s->policy->ops == &gyp_policy_random)
		input.random = g_rand_int(s->policy->rand);
	score = s->policy->ops->score(s->q->size, &input);
	if (s->q->over != GYP_SPREAD_NONE)
		score -= SPREAD_PENALTY * tasks_in_domain(s, view, s->q->over);
	s->scored++;
	if (s->best == NULL || score > s->best_score) {
		s->best = view;
		s->best_score = score;
	}
}

static void
search_all(struct index *idx, struct search *s)
{
	uint32_t i;

	for (i = 0; i < idx->views->len; i++) {
		struct endpoint_view *view = index_at(idx, i);

		if (view != NULL)
			examine(s, view);
	}
}

static void
search_sample(struct index *idx, struct search *s)
{
	uint32_t i;

	for (i = 0; i < SAMPLE_SIZE && idx->views->len > 0; i++) {
		uint32_t row = (uint32_t)g_rand_int_range(
		    s->policy->rand, 0, (gint32)idx->views->len);
		struct endpoint_view *view = index_at(idx, row);

		if (view != NULL)
			examine(s, view);
	}
	if (s->best == NULL)
		search_all(idx, s);
}

static void
search_bucket(struct index *idx, struct search *s, uint32_t bucket)
{
	const GArray *rows = bucket_at(idx, bucket);
	guint i;

	for (i = 0; i < rows->len && s->scored < SCORED_MAX; i++)
		examine(s, idx->views->pdata[g_array_index(rows, uint32_t, i)]);
}

/* Searches from the least free buckets up, until enough are scored. */
static void
search_grid(struct index *idx, struct search *s)
{
	uint32_t cpu = grid_step(s->q->size->cpu_milli, idx->max_cpu);
	uint32_t memory = grid_step(s->q->size->memory, idx->max_memory);
	uint32_t large_enough = ~0U << memory;

	for (; cpu < GRID_STEPS && s->scored < SCORED_MAX; cpu++) {
		uint32_t mask = idx->memory_masks[cpu] & large_enough;

		while (mask != 0 && s->scored < SCORED_MAX) {
			uint32_t bit = (uint32_t)__builtin_ctz(mask);

			search_bucket(idx, s, cpu * GRID_STEPS + bit);
			mask &= mask - 1;
		}
	}
}

struct endpoint_view *
index_find(struct gyp_policy *p, const struct index_query *q)
{
	struct search s = {.policy = p, .q = q};

	if (q->scan_all || p->search == GYP_SEARCH_LINEAR || !p->ops->weighted)
		search_all(p->index, &s);
	else if (p->search == GYP_SEARCH_SAMPLE)
		search_sample(p->index, &s);
	else
		search_grid(p->index, &s);
	return s.best;
}
