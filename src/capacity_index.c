#include <string.h>

#include "capacity_index.h"

/*
 * Score penalties, as a share of free CPU: for an endpoint with a failure since
 * its last success, and for one that takes twice the usual time.
 */
#define SUSPECT_PENALTY  0.5
#define SLOWDOWN_PENALTY 0.4

/*
 * Lasting tasks go to an endpoint that has been silent for UNHEARD_MS, about a
 * heartbeat's interval, only when no other has room: if it is gone, they wait
 * until the lease there is over.
 */
#define UNHEARD_MS     1500
#define SILENT_PENALTY 5

/*
 * Score bonus for the rack that holds the data of the step, also as a share of
 * free CPU.
 */
#define DATA_RACK_BONUS 2

/*
 * Width of a bucket of free CPU, in thousandths of a processor, and number of
 * buckets; the last one has no upper bound. An exact order would cost more than
 * all comparisons of a round.
 */
#define BUCKET_MILLI  500
#define BUCKETS       256
#define BUCKET_ABSENT BUCKETS /* the row has no endpoint */

struct gyp_capacity_index {
	const struct gyp_flows *flows;
	const struct gyp_fleet *fleet;
	const struct gyp_run_stats *stats;
	const struct gyp_preempt *preempt;
	uint32_t round;     /* number of the round, from 1 */
	GArray *capacities; /* struct gyp_capacity by row */
	GArray *buckets;    /* uint32_t by row, at the start of the round */
	GArray *order;      /* uint32_t, rows by bucket, most free CPU first */
	bool sorted;        /* order is that of this round */
	uint32_t bucket_start[BUCKETS]; /* scratch space of sort_rows() */
	uint64_t comparisons;
	uint64_t now;
};

static uint32_t
bucket_of(uint64_t cpu_milli)
{
	return (uint32_t)MIN(cpu_milli / BUCKET_MILLI, BUCKETS - 1);
}

/* ---- Computation -------------------------------------------------------- */

void
gyp_capacity_set_tables(struct gyp_capacity *cap, const struct gyp_host *h)
{
	cap->available = h->capacity;
	cap->available.slots = 0; /* flows use no slots */
	if (!gyp_res_fits(&h->booked, &cap->available))
		return;
	cap->host = h;
	gyp_res_sub(&cap->available, &h->booked);
	cap->runs_serving = h->serving > 0;
	cap->runs_filling = h->filling > 0;
}

static void
compute_capacity(const struct gyp_capacity_index *index,
    struct gyp_capacity *cap, uint32_t row)
{
	memset(cap, 0, sizeof(*cap));
	cap->round = index->round;
	cap->state = gyp_run_stats_state(index->stats, row, index->now);
	cap->slowdown = gyp_run_stats_slowdown(index->stats, row);
	cap->releasing = gyp_preempt_releasing(index->preempt, row);
	if (!gyp_fleet_usable(index->fleet, row) ||
	    cap->state >= GYP_RUN_STATS_PROBING)
		return;
	gyp_capacity_set_tables(cap, gyp_host_at(index->flows, row));
	cap->may_clear =
	    cap->runs_filling && gyp_preempt_may_clear(index->preempt, row);
	cap->silent = gyp_fleet_is_silent(index->fleet, row, UNHEARD_MS);
}

/*
 * Finds the bucket of an endpoint by its free CPU; false when the row is empty.
 */
static bool
find_bucket(
    const struct gyp_capacity_index *index, uint32_t row, uint32_t *bucket)
{
	const struct gyp_host *h = gyp_host_at(index->flows, row);
	uint64_t left;

	if (h == NULL)
		return false;
	left = h->capacity.cpu_milli -
	       MIN(h->capacity.cpu_milli, h->booked.cpu_milli);
	*bucket = bucket_of(left);
	return true;
}

/* Sorts the rows by bucket with a counting sort. */
static void
sort_rows(struct gyp_capacity_index *index)
{
	uint32_t row, i, bucket, before = 0;

	memset(index->bucket_start, 0, sizeof(index->bucket_start));
	g_array_set_size(index->buckets, index->capacities->len);
	for (row = 0; row < index->capacities->len; row++) {
		if (find_bucket(index, row, &bucket))
			index->bucket_start[bucket]++;
		else
			bucket = BUCKET_ABSENT;
		g_array_index(index->buckets, uint32_t, row) = bucket;
	}
	for (i = BUCKETS; i-- > 0;) {
		uint32_t n = index->bucket_start[i];

		index->bucket_start[i] = before;
		before += n;
	}
	g_array_set_size(index->order, before);
	for (row = 0; row < index->capacities->len; row++) {
		bucket = g_array_index(index->buckets, uint32_t, row);
		if (bucket != BUCKET_ABSENT)
			g_array_index(index->order, uint32_t,
			    index->bucket_start[bucket]++) = row;
	}
	index->sorted = true;
}

void
gyp_capacity_index_begin_round(struct gyp_capacity_index *index, uint64_t now)
{
	g_array_set_size(index->capacities, gyp_hosts_size(index->flows));
	index->round++;
	index->sorted = false;
	index->comparisons = 0;
	index->now = now;
}

/* ---- Access ------------------------------------------------------------- */

struct gyp_capacity *
gyp_capacity_index_at(const struct gyp_capacity_index *index, uint32_t row)
{
	struct gyp_capacity *cap =
	    &g_array_index(index->capacities, struct gyp_capacity, row);

	if (cap->round != index->round)
		compute_capacity(index, cap, row);
	return cap;
}

uint32_t
gyp_capacity_index_size(const struct gyp_capacity_index *index)
{
	return index->capacities->len;
}

uint64_t
gyp_capacity_index_now(const struct gyp_capacity_index *index)
{
	return index->now;
}

uint32_t
gyp_capacity_index_count(struct gyp_capacity_index *index)
{
	if (!index->sorted)
		sort_rows(index);
	return index->order->len;
}

bool
gyp_capacity_index_nth(struct gyp_capacity_index *index, guint i,
    uint64_t cpu_milli, uint32_t *row)
{
	if (!index->sorted)
		sort_rows(index);
	if (i >= index->order->len)
		return false;
	*row = g_array_index(index->order, uint32_t, i);
	return g_array_index(index->buckets, uint32_t, *row) >=
	       bucket_of(cpu_milli);
}

uint64_t
gyp_capacity_index_comparisons(const struct gyp_capacity_index *index)
{
	return index->comparisons;
}

void
gyp_capacity_index_add_comparisons(struct gyp_capacity_index *index, guint n)
{
	index->comparisons += n;
}

/* ---- One endpoint and one unit ------------------------------------------ */

static bool
has_label(const Gyp__CmdHost *spec, const char *label)
{
	size_t i;

	for (i = 0; i < spec->n_labels; i++) {
		if (strcmp(spec->labels[i], label) == 0)
			return true;
	}
	return false;
}

enum gyp_misfit
gyp_capacity_misfit(
    const struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	const Gyp__FlowStep *step = c->unit->step;

	if (cap->host == NULL)
		return cap->state >= GYP_RUN_STATS_PROBING ? GYP_MISFIT_FAILURES
							   : GYP_MISFIT_CONTACT;
	if (cap->host->pool != c->flow->pool)
		return GYP_MISFIT_POOL;
	if (c->unit->size.cpu_milli > cap->host->capacity.cpu_milli ||
	    c->unit->size.memory > cap->host->capacity.memory ||
	    c->unit->size.accel > cap->host->capacity.accel)
		return GYP_MISFIT_SIZE;
	if (step->label[0] != '\0' && !has_label(cap->host->spec, step->label))
		return GYP_MISFIT_LABEL;
	/*
	 * Tasks that use all spare capacity slow down tasks with a latency
	 * bound, so the two never share an endpoint.
	 */
	if ((step->fills && (cap->runs_serving || cap->held)) ||
	    (step->tail_ms > 0 && cap->runs_filling))
		return GYP_MISFIT_SHARING;
	return GYP_MISFIT_NONE;
}

bool
gyp_capacity_suits(
    const struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	return gyp_capacity_misfit(cap, c) == GYP_MISFIT_NONE;
}

bool
gyp_candidate_clears(const struct gyp_candidate *c)
{
	const Gyp__FlowStep *step = c->unit->step;

	return step->lasting && step->tail_ms > 0 && !step->fills &&
	       !step->gang;
}

bool
gyp_capacity_suits_when_cleared(
    const struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	return cap->may_clear && gyp_candidate_clears(c) &&
	       gyp_capacity_misfit(cap, c) == GYP_MISFIT_SHARING;
}

void
gyp_capacity_index_count_misfits(const struct gyp_capacity_index *index,
    const struct gyp_candidate *c, uint32_t counts[GYP_MISFITS])
{
	uint32_t row;

	memset(counts, 0, GYP_MISFITS * sizeof(counts[0]));
	for (row = 0; row < gyp_capacity_index_size(index); row++) {
		const struct gyp_host *h = gyp_host_at(index->flows, row);

		if (h != NULL && h->pool == c->flow->pool)
			counts[gyp_capacity_misfit(
			    gyp_capacity_index_at(index, row), c)]++;
	}
}

/* Counts the open runs of the unit on the endpoint. */
static uint32_t
count_open_on(
    const struct gyp_flow *flow, const struct gyp_flow_unit *u, uint32_t row)
{
	uint32_t i, n = 0;

	for (i = u->first; i < u->first + u->step->count; i++)
		n += flow->tasks[i].state == GYP_FLOW_TASK_OPEN &&
		     flow->tasks[i].row == row;
	return n;
}

uint32_t
gyp_capacity_count_tasks(
    const struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	return gyp_capacity_count_tasks_in(cap, c, &cap->available);
}

uint32_t
gyp_capacity_count_tasks_in(const struct gyp_capacity *cap,
    const struct gyp_candidate *c, const struct gyp_res *available)
{
	const Gyp__FlowStep *step = c->unit->step;
	struct gyp_res size = c->unit->size;
	uint64_t n = step->count;

	if (size.cpu_milli > 0)
		n = MIN(n, available->cpu_milli / size.cpu_milli);
	if (size.memory > 0)
		n = MIN(n, available->memory / size.memory);
	if (size.accel > 0)
		n = MIN(n, available->accel / size.accel);
	if (n > 0 && step->spread > 0) {
		uint32_t present =
		    count_open_on(c->flow, c->unit, cap->host->row);

		n = MIN(n, step->spread > present ? step->spread - present : 0);
	}
	/* After a quarantine, a single run probes the endpoint. */
	if (cap->state == GYP_RUN_STATS_PROBE_DUE)
		n = MIN(n, 1);
	return (uint32_t)n;
}

bool
gyp_candidate_packs(const struct gyp_candidate *c)
{
	return c->unit->size.accel > 0;
}

/*
 * Returns 0 to 1: the share of free CPU, or for tasks with accelerators, which
 * are packed, the share of accelerators in use.
 */
static double
base_score(const struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	double total = cap->host->capacity.cpu_milli + 1;

	if (gyp_candidate_packs(c))
		return 1 - (double)cap->available.accel /
			       (cap->host->capacity.accel + 1);
	return cap->available.cpu_milli / total;
}

double
gyp_capacity_score(
    const struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	double score = base_score(cap, c);
	const Gyp__FlowStep *step = c->unit->step;

	if (step->data_rack[0] != '\0' &&
	    strcmp(step->data_rack, cap->host->spec->rack) == 0)
		score += DATA_RACK_BONUS;
	if (cap->state == GYP_RUN_STATS_SUSPECT)
		score -= SUSPECT_PENALTY;
	if (cap->silent && step->lasting)
		score -= SILENT_PENALTY;
	return score - (cap->slowdown - 1) * SLOWDOWN_PENALTY;
}

void
gyp_capacity_book(struct gyp_capacity *cap, const struct gyp_candidate *c)
{
	gyp_res_sub(&cap->available, &c->unit->size);
	cap->runs_serving = cap->runs_serving || c->unit->step->tail_ms > 0;
	cap->runs_filling = cap->runs_filling || c->unit->step->fills;
	if (cap->state == GYP_RUN_STATS_PROBE_DUE)
		cap->host = NULL;
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_capacity_index *
gyp_capacity_index_new(const struct gyp_flows *flows,
    const struct gyp_fleet *fleet, const struct gyp_run_stats *stats,
    const struct gyp_preempt *preempt)
{
	struct gyp_capacity_index *index = g_new0(struct gyp_capacity_index, 1);

	index->flows = flows;
	index->fleet = fleet;
	index->stats = stats;
	index->preempt = preempt;
	index->capacities =
	    g_array_new(FALSE, TRUE, sizeof(struct gyp_capacity));
	index->buckets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	index->order = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return index;
}

void
gyp_capacity_index_free(struct gyp_capacity_index *index)
{
	if (index == NULL)
		return;
	g_array_free(index->capacities, TRUE);
	g_array_free(index->buckets, TRUE);
	g_array_free(index->order, TRUE);
	g_free(index);
}
