#include <string.h>

#include "policy_int.h"

/* Cells of the grid along each of the two dimensions. */
#define CELLS 32

/* Fitting endpoints that a search scores before it takes the best. */
#define SCORED_MAX 24

/* Draws of a search by sample. */
#define SAMPLE 16

#define NO_CELL UINT32_MAX

/* Weight of each task of the job that a domain holds already. */
#define SPREAD_PENALTY 10.0

/* Endpoints of one capacity. */
struct shape {
	struct gyp_res capacity;
	uint32_t count;
};

/*
 * Rows by free processors and free memory, each in steps of a share of the
 * largest capacity seen. A row without a free slot stands in no cell.
 */
struct index {
	GPtrArray *spots;      /* struct spot by row */
	GPtrArray *cells;      /* GArray of row, CELLS * CELLS */
	uint32_t masks[CELLS]; /* of a processor step: steps of memory in use */
	uint64_t max_cpu;
	uint64_t max_memory;
	struct gyp_res grown;
	struct gyp_res capacity;
	struct gyp_res left;
	GArray *shapes; /* struct shape */
};

/* ---- Construction ------------------------------------------------------ */

static void
free_cell(gpointer p)
{
	g_array_free(p, TRUE);
}

struct index *
index_new(void)
{
	struct index *x = g_new0(struct index, 1);
	guint i;

	x->spots = g_ptr_array_new_with_free_func(g_free);
	x->cells = g_ptr_array_new_with_free_func(free_cell);
	for (i = 0; i < CELLS * CELLS; i++)
		g_ptr_array_add(
		    x->cells, g_array_new(FALSE, FALSE, sizeof(uint32_t)));
	x->shapes = g_array_new(FALSE, FALSE, sizeof(struct shape));
	x->max_cpu = 1;
	x->max_memory = 1;
	return x;
}

void
index_free(struct index *x)
{
	if (x == NULL)
		return;
	g_ptr_array_free(x->spots, TRUE);
	g_ptr_array_free(x->cells, TRUE);
	g_array_free(x->shapes, TRUE);
	g_free(x);
}

uint32_t
index_size(const struct index *x)
{
	return x->spots->len;
}

struct spot *
index_at(struct index *x, uint32_t row)
{
	struct spot *s = x->spots->pdata[row];

	return s != NULL && s->id != 0 ? s : NULL;
}

struct spot *
index_spot(struct index *x, uint64_t id)
{
	uint32_t row = (uint32_t)id;
	struct spot *s = row < x->spots->len ? x->spots->pdata[row] : NULL;

	return s != NULL && s->id == id ? s : NULL;
}

/* ---- Grid -------------------------------------------------------------- */

static uint32_t
step_of(uint64_t amount, uint64_t max)
{
	/* In two parts, so that bytes don't overflow. */
	uint64_t step = (uint64_t)((double)amount / (double)max * CELLS);

	return (uint32_t)MIN(step, CELLS - 1);
}

static GArray *
cell_at(const struct index *x, uint32_t cell)
{
	return x->cells->pdata[cell];
}

static void
leave_cell(struct index *x, struct spot *s)
{
	GArray *cell;
	uint32_t last;

	if (s->cell == NO_CELL)
		return;
	cell = cell_at(x, s->cell);
	last = g_array_index(cell, uint32_t, cell->len - 1);
	((struct spot *)x->spots->pdata[last])->pos = s->pos;
	g_array_remove_index_fast(cell, s->pos);
	if (cell->len == 0)
		x->masks[s->cell / CELLS] &= ~(1U << s->cell % CELLS);
	s->cell = NO_CELL;
}

static void
enter_cell(struct index *x, struct spot *s)
{
	uint32_t cpu, memory, row = (uint32_t)s->id;
	GArray *cell;

	if (s->id == 0 || !s->usable || s->left.slots == 0)
		return;
	cpu = step_of(s->left.cpu_milli, x->max_cpu);
	memory = step_of(s->left.memory, x->max_memory);
	s->cell = cpu * CELLS + memory;
	cell = cell_at(x, s->cell);
	s->pos = cell->len;
	g_array_append_val(cell, row);
	x->masks[cpu] |= 1U << memory;
}

static void
move_cell(struct index *x, struct spot *s)
{
	leave_cell(x, s);
	enter_cell(x, s);
}

static void
rebuild_grid(struct index *x)
{
	uint32_t i;

	for (i = 0; i < x->spots->len; i++) {
		struct spot *s = index_at(x, i);

		if (s != NULL)
			leave_cell(x, s);
	}
	for (i = 0; i < x->spots->len; i++) {
		struct spot *s = index_at(x, i);

		if (s != NULL)
			enter_cell(x, s);
	}
}

/* ---- Updates ----------------------------------------------------------- */

static void
note_growth(struct index *x, const struct gyp_res *left)
{
	x->grown.cpu_milli = MAX(x->grown.cpu_milli, left->cpu_milli);
	x->grown.memory = MAX(x->grown.memory, left->memory);
	x->grown.accel = MAX(x->grown.accel, left->accel);
	x->grown.slots = MAX(x->grown.slots, left->slots);
}

static void
count_shape(struct index *x, const struct gyp_res *capacity, int by)
{
	struct shape fresh = {.capacity = *capacity};
	guint i;

	for (i = 0; i < x->shapes->len; i++) {
		struct shape *shape =
		    &g_array_index(x->shapes, struct shape, i);

		if (!gyp_res_fits(&shape->capacity, capacity) ||
		    !gyp_res_fits(capacity, &shape->capacity))
			continue;
		shape->count += (uint32_t)by;
		if (shape->count == 0)
			g_array_remove_index_fast(x->shapes, i);
		return;
	}
	fresh.count = (uint32_t)by;
	g_array_append_val(x->shapes, fresh);
}

static void
add_sums(struct index *x, const struct spot *s)
{
	if (!s->usable)
		return;
	gyp_res_add(&x->capacity, &s->capacity);
	gyp_res_add(&x->left, &s->left);
}

static void
sub_sums(struct index *x, const struct spot *s)
{
	if (!s->usable)
		return;
	gyp_res_sub(&x->capacity, &s->capacity);
	gyp_res_sub(&x->left, &s->left);
}

static struct spot *
make_room(struct index *x, uint64_t id)
{
	uint32_t row = (uint32_t)id;

	while (x->spots->len <= row)
		g_ptr_array_add(x->spots, NULL);
	if (x->spots->pdata[row] == NULL) {
		struct spot *s = g_new0(struct spot, 1);

		s->cell = NO_CELL;
		x->spots->pdata[row] = s;
	}
	return x->spots->pdata[row];
}

static void
remove_spot(struct index *x, struct spot *s)
{
	sub_sums(x, s);
	leave_cell(x, s);
	count_shape(x, &s->capacity, -1);
	memset(s, 0, sizeof(*s));
	s->cell = NO_CELL;
}

static void
add_spot(struct index *x, struct spot *s, const struct gyp_endpoint *ep)
{
	s->id = ep->id;
	s->ep = ep;
	s->capacity = ep->capacity;
	count_shape(x, &s->capacity, 1);
	if (s->capacity.cpu_milli > x->max_cpu ||
	    s->capacity.memory > x->max_memory) {
		x->max_cpu = MAX(x->max_cpu, s->capacity.cpu_milli);
		x->max_memory = MAX(x->max_memory, s->capacity.memory);
		rebuild_grid(x);
	}
}

void
index_update(struct index *x, uint64_t id, const struct gyp_endpoint *ep)
{
	struct spot *s = make_room(x, id);
	bool was_usable;
	struct gyp_res before;

	if (s->id != 0 && (ep == NULL || s->id != id))
		remove_spot(x, s);
	if (ep == NULL)
		return;
	if (s->id == 0)
		add_spot(x, s, ep);
	else
		sub_sums(x, s);
	was_usable = s->usable;
	before = s->left;
	s->usable = ep->state == GYP_ENDPOINT_ACTIVE;
	s->left = ep->capacity;
	gyp_res_sub(&s->left, &ep->booked);
	s->tasks = ep->attempts->len;
	if (s->usable && (!was_usable || !gyp_res_fits(&s->left, &before)))
		note_growth(x, &s->left);
	add_sums(x, s);
	move_cell(x, s);
}

void
index_take(struct index *x, struct spot *s, const struct gyp_res *size)
{
	gyp_res_sub(&s->left, size);
	gyp_res_sub(&x->left, size);
	s->tasks++;
	move_cell(x, s);
}

void
index_give(struct index *x, struct spot *s, const struct gyp_res *size)
{
	gyp_res_add(&s->left, size);
	gyp_res_add(&x->left, size);
	s->tasks--;
	move_cell(x, s);
}

const struct gyp_res *
index_grown(const struct index *x)
{
	return &x->grown;
}

void
index_reset_grown(struct index *x)
{
	memset(&x->grown, 0, sizeof(x->grown));
}

void
index_sums(
    const struct index *x, struct gyp_res *capacity, struct gyp_res *left)
{
	*capacity = x->capacity;
	*left = x->left;
}

/* ---- Feasibility ------------------------------------------------------- */

bool
index_could_hold(const struct index *x, const struct gyp_res *size)
{
	guint i;

	for (i = 0; i < x->shapes->len; i++) {
		if (gyp_res_fits(size,
			&g_array_index(x->shapes, struct shape, i).capacity))
			return true;
	}
	return false;
}

static uint64_t
times(const struct gyp_res *size, const struct gyp_res *capacity)
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
index_could_hold_tasks(struct index *x, const struct gyp_res *size)
{
	uint64_t n = 0;
	guint i;

	for (i = 0; i < x->shapes->len; i++) {
		const struct shape *shape =
		    &g_array_index(x->shapes, struct shape, i);

		n += times(size, &shape->capacity) * shape->count;
	}
	return n;
}

/* ---- Search ------------------------------------------------------------ */

struct search {
	struct gyp_policy *policy;
	const struct query *q;
	struct spot *best;
	double best_score;
	uint32_t scored;
};

static const char *
domain_of(const struct gyp_endpoint *ep, enum gyp_spread_domain over)
{
	return over == GYP_SPREAD_RACK ? ep->spec->rack : ep->spec->data_centre;
}

/* Open tasks of the job in the endpoint's rack or data centre. */
static uint32_t
tasks_in_domain(const struct search *s, const struct spot *spot,
    enum gyp_spread_domain over)
{
	const struct gyp_job *job = s->q->job;
	const char *domain = domain_of(spot->ep, over);
	uint32_t i, n = 0;

	for (i = 0; i < job->n_tasks; i++) {
		const struct gyp_task *t = &job->tasks[i];
		const struct gyp_endpoint *ep;

		if (t->state != GYP_TASK_PLACED)
			continue;
		ep = gyp_state_endpoint(s->policy->state, t->endpoint);
		n += strcmp(domain_of(ep, over), domain) == 0;
	}
	for (i = s->q->choices->len; i > 0; i--) {
		const struct gyp_choice *c =
		    &g_array_index(s->q->choices, struct gyp_choice, i - 1);
		const struct gyp_endpoint *ep =
		    gyp_state_endpoint(s->policy->state, c->endpoint);

		if (c->job != job->id)
			break;
		n += strcmp(domain_of(ep, over), domain) == 0;
	}
	return n;
}

static bool
is_waiting(const struct gyp_policy *p, uint64_t id)
{
	const struct gyp_job *job = gyp_state_job(p->state, id);

	return job != NULL && job->n_queued > 0 &&
	       !g_hash_table_contains(p->chosen, &id);
}

/* Backfill: what is over before the holder can use the endpoint may run. */
static bool
may_use_held(
    const struct gyp_policy *p, const struct query *q, const struct spot *spot)
{
	if (spot->held_for == 0 || spot->held_for == q->job->id)
		return true;
	if (spot->held_for != p->reserved)
		return q->now > spot->held_until ||
		       !is_waiting(p, spot->held_for);
	if (q->urgent)
		return true;
	/* Run times are not to be relied on: twice the expected one counts. */
	return q->run_ms > 0 && q->now + 2 * q->run_ms <= p->reserved_until;
}

static bool
is_allowed(const struct search *s, const struct spot *spot)
{
	const struct query *q = s->q;

	if (!spot->usable || !gyp_res_fits(q->size, &spot->left))
		return false;
	if (spot->tasks >= q->max_tasks || (spot->probing && spot->tasks > 0))
		return false;
	if (q->avoid &&
	    gyp_health_failed_at(s->policy->health, q->job->id, spot->id))
		return false;
	if (!may_use_held(s->policy, q, spot))
		return false;
	return q->rack_limit == GYP_UNLIMITED ||
	       tasks_in_domain(s, spot, GYP_SPREAD_RACK) < q->rack_limit;
}

static void
look_at(struct search *s, struct spot *spot)
{
	struct gyp_offer offer = {.capacity = &spot->capacity};
	struct gyp_res left = spot->left;
	double score;

	s->policy->counters.looked_at++;
	if (!is_allowed(s, spot))
		return;
	gyp_res_sub(&left, s->q->size);
	offer.left = &left;
	offer.row = (uint32_t)spot->id;
	if (s->policy->ops == &gyp_policy_random)
		offer.random = g_rand_int(s->policy->rand);
	score = s->policy->ops->score(s->q->size, &offer);
	if (s->q->over != GYP_SPREAD_NONE)
		score -= SPREAD_PENALTY * tasks_in_domain(s, spot, s->q->over);
	s->scored++;
	if (s->best == NULL || score > s->best_score) {
		s->best = spot;
		s->best_score = score;
	}
}

static void
look_at_all(struct index *x, struct search *s)
{
	uint32_t i;

	for (i = 0; i < x->spots->len; i++) {
		struct spot *spot = index_at(x, i);

		if (spot != NULL)
			look_at(s, spot);
	}
}

static void
look_at_sample(struct index *x, struct search *s)
{
	uint32_t i;

	for (i = 0; i < SAMPLE && x->spots->len > 0; i++) {
		uint32_t row = (uint32_t)g_rand_int_range(
		    s->policy->rand, 0, (gint32)x->spots->len);
		struct spot *spot = index_at(x, row);

		if (spot != NULL)
			look_at(s, spot);
	}
	if (s->best == NULL)
		look_at_all(x, s);
}

static void
look_at_cell(struct index *x, struct search *s, uint32_t cell)
{
	const GArray *rows = cell_at(x, cell);
	guint i;

	for (i = 0; i < rows->len && s->scored < SCORED_MAX; i++)
		look_at(s, x->spots->pdata[g_array_index(rows, uint32_t, i)]);
}

/* From tight cells to roomy ones, until enough have been scored. */
static void
look_at_grid(struct index *x, struct search *s)
{
	uint32_t cpu = step_of(s->q->size->cpu_milli, x->max_cpu);
	uint32_t memory = step_of(s->q->size->memory, x->max_memory);
	uint32_t usable = ~0U << memory;

	for (; cpu < CELLS && s->scored < SCORED_MAX; cpu++) {
		uint32_t mask = x->masks[cpu] & usable;

		while (mask != 0 && s->scored < SCORED_MAX) {
			uint32_t bit = (uint32_t)__builtin_ctz(mask);

			look_at_cell(x, s, cpu * CELLS + bit);
			mask &= mask - 1;
		}
	}
}

struct spot *
index_find(struct gyp_policy *p, const struct query *q)
{
	struct search s = {.policy = p, .q = q};

	if (q->domains || p->search == GYP_SEARCH_LINEAR || !p->ops->weighted)
		look_at_all(p->index, &s);
	else if (p->search == GYP_SEARCH_SAMPLE)
		look_at_sample(p->index, &s);
	else
		look_at_grid(p->index, &s);
	return s.best;
}
