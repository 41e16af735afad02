#include "reserve.h"
#include "endpoint_ranking.h"

/*
 * Score penalty of an endpoint where stops must free a whole task;
 * proportionally less for a part of it.
 */
#define STOP_PENALTY 10

static struct gyp_res
sum_of(const struct gyp_res *a, const struct gyp_res *b)
{
	struct gyp_res sum = *a;

	gyp_res_add(&sum, b);
	return sum;
}

static uint64_t
shortage(uint64_t need, uint64_t have)
{
	return need > have ? need - have : 0;
}

/* Returns the part of size that exceeds the available resources. */
static struct gyp_res
missing(const struct gyp_res *size, const struct gyp_res *have)
{
	struct gyp_res res = {
	    .cpu_milli = shortage(size->cpu_milli, have->cpu_milli),
	    .memory = shortage(size->memory, have->memory),
	    .accel = shortage(size->accel, have->accel)};

	return res;
}

/*
 * Deducts a task from the free capacity, and what exceeds that from the
 * capacity being released.
 */
static void
reserve_task(struct gyp_capacity *cap, const struct gyp_res *size)
{
	struct gyp_res later = missing(size, &cap->available);
	struct gyp_res now = *size;

	now.slots = 0; /* flows use no slots */
	gyp_res_sub(&now, &later);
	gyp_res_sub(&cap->available, &now);
	gyp_res_sub(&cap->releasing, &later);
}

/* ---- Ranking ------------------------------------------------------------ */

/*
 * An allowed endpoint stays eligible while its ticket is renewed, unless the
 * latest query got no answer: capacity would be reserved again and again for
 * tasks that cannot start.
 */
static bool
may_be_allowed(const struct gyp_admission_unit *answers,
    const struct gyp_admission *a, const struct gyp_capacity_index *capacities,
    uint32_t row)
{
	enum gyp_admission_state state = gyp_admission_state(
	    a, answers, row, gyp_capacity_index_now(capacities));

	if (state == GYP_ADMISSION_ALLOWED)
		return true;
	return state != GYP_ADMISSION_DENIED &&
	       !gyp_admission_query_failed(answers);
}

/*
 * Returns the share of the task size that is neither free nor being released, 0
 * to 1, of the scarcest resource.
 */
static double
missing_share(const struct gyp_capacity *cap, const struct gyp_res *size)
{
	struct gyp_res have = sum_of(&cap->available, &cap->releasing);
	struct gyp_res need = missing(size, &have);
	double share = 0;

	if (size->cpu_milli > 0)
		share = MAX(share, (double)need.cpu_milli / size->cpu_milli);
	if (size->memory > 0)
		share = MAX(share, (double)need.memory / size->memory);
	if (size->accel > 0)
		share = MAX(share, (double)need.accel / size->accel);
	return share;
}

static void
add_endpoint(const struct gyp_capacity_index *capacities,
    struct gyp_preempt *preempt, const struct gyp_candidate *c, uint32_t row,
    bool may_preempt, GArray *ranking)
{
	struct gyp_capacity *cap = gyp_capacity_index_at(capacities, row);
	struct gyp_ranked_endpoint endpoint = {.row = row};
	struct gyp_res have, reclaimable;
	uint32_t without_stops;

	if (!gyp_capacity_suits(cap, c) || cap->state > GYP_RUN_STATS_SUSPECT)
		return;
	have = sum_of(&cap->available, &cap->releasing);
	without_stops = gyp_capacity_count_tasks_in(cap, c, &have);
	endpoint.count = without_stops;
	if (may_preempt && without_stops < c->unit->step->count) {
		reclaimable = gyp_preempt_reclaimable(preempt, row, c->rank);
		have = sum_of(&have, &reclaimable);
		endpoint.count = gyp_capacity_count_tasks_in(cap, c, &have);
	}
	if (endpoint.count == 0)
		return;
	endpoint.score = gyp_capacity_score(cap, c) -
			 STOP_PENALTY * missing_share(cap, &c->unit->size);
	g_array_append_val(ranking, endpoint);
}

static GArray *
rank_endpoints(const struct gyp_capacity_index *capacities,
    struct gyp_preempt *preempt, const struct gyp_admission *a,
    const struct gyp_candidate *c, bool may_preempt)
{
	const struct gyp_admission_unit *answers =
	    gyp_admission_unit(a, c->flow, c->unit);
	GArray *ranking = gyp_ranking_new();
	const uint32_t *rows;
	guint i, n;

	if (!c->flow->spec->queue->admission) {
		for (i = 0; i < gyp_capacity_index_size(capacities); i++)
			add_endpoint(
			    capacities, preempt, c, i, may_preempt, ranking);
		return ranking;
	}
	rows = gyp_admission_granted_rows(answers, &n);
	for (i = 0; i < n; i++) {
		if (rows[i] < gyp_capacity_index_size(capacities) &&
		    may_be_allowed(answers, a, capacities, rows[i]))
			add_endpoint(capacities, preempt, c, rows[i],
			    may_preempt, ranking);
	}
	return ranking;
}

/* ---- Reservation -------------------------------------------------------- */

/*
 * Reserves capacity for one task on the endpoint; false when it cannot be
 * freed.
 */
static bool
reserve_one(struct gyp_capacity *cap, struct gyp_preempt *preempt,
    const struct gyp_candidate *c, uint32_t row, bool may_preempt)
{
	const struct gyp_res *size = &c->unit->size;
	struct gyp_res have = sum_of(&cap->available, &cap->releasing);
	struct gyp_res need = missing(size, &have);
	struct gyp_res freed = {0, 0, 0, 0};

	if (need.cpu_milli + need.memory + need.accel > 0) {
		if (!may_preempt || !gyp_preempt_select(preempt, row, c->rank,
					&need, c->flow->id, &freed))
			return false;
		gyp_res_add(&cap->releasing, &freed);
	}
	reserve_task(cap, size);
	return true;
}

uint32_t
gyp_reserve(struct gyp_capacity_index *capacities, struct gyp_preempt *preempt,
    const struct gyp_admission *a, const struct gyp_candidate *c,
    uint32_t waiting, bool may_preempt)
{
	GArray *ranking =
	    rank_endpoints(capacities, preempt, a, c, may_preempt);
	uint32_t reserved = 0;
	guint i;

	if (c->unit->step->gang && gyp_ranking_total(ranking) < waiting) {
		g_array_free(ranking, TRUE);
		return 0;
	}
	gyp_ranking_sort(ranking);
	for (i = 0; i < ranking->len && reserved < waiting; i++) {
		struct gyp_ranked_endpoint *endpoint =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, i);
		struct gyp_capacity *cap =
		    gyp_capacity_index_at(capacities, endpoint->row);

		while (
		    endpoint->count > 0 && reserved < waiting &&
		    reserve_one(cap, preempt, c, endpoint->row, may_preempt)) {
			endpoint->count--;
			reserved++;
		}
	}
	g_array_free(ranking, TRUE);
	return reserved;
}
