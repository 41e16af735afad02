#include <string.h>

#include "mutant.h"
#include "policy_int.h"

/* Longest time for held endpoints to drain while others backfill, in ms. */
#define HOLD_MAX_MS 60000

enum placed_tasks
gang_place(struct round *round, struct queue *queue, const struct gyp_job *job)
{
	guint before = round->out->placements->len;
	uint32_t i;

	/* A gang is placed whole, even if it is larger than the budget. */
	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state != GYP_TASK_QUEUED ||
		    policy_block_reason(round, queue, job, 1) != NULL ||
		    !policy_place_task(round, queue, job, i)) {
			policy_undo_placements(round, job, before);
			return PLACED_NONE;
		}
		round->next_group += GYP_MUTANT(SPLIT_GANG);
	}
	round->next_group++;
	return PLACED_ALL;
}

/* ---- Reservation ------------------------------------------------------- */

struct hold_candidate {
	struct endpoint_view *view;
	uint64_t tasks;    /* that fit in capacity_beside_watchers() */
	double busy_share; /* share of processors used by all but watchers */
};

static gint
compare_busy_share(gconstpointer a, gconstpointer b)
{
	const struct hold_candidate *x = a, *y = b;

	if (x->busy_share != y->busy_share)
		return x->busy_share < y->busy_share ? -1 : 1;
	return x->view->id < y->view->id ? -1 : x->view->id > y->view->id;
}

/*
 * Returns the capacity that is free once all attempts except those of watchers
 * have ended.
 */
static struct gyp_res
capacity_beside_watchers(
    const struct gyp_policy *p, const struct endpoint_view *view)
{
	struct gyp_res available = view->capacity;
	guint i;

	for (i = 0; i < view->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(view->ep->attempts, struct gyp_task_ref, i);
		const struct gyp_job *job = gyp_state_job(p->state, ref->job);

		if (job->spec->kind == GYP__KIND__KIND_WATCHER)
			gyp_res_sub(&available, &job->size);
	}
	return available;
}

static uint64_t
count_fitting_tasks(const struct gyp_res *capacity, const struct gyp_res *size)
{
	struct gyp_res available = *capacity;
	uint64_t n = 0;

	while (n < GYP_TASKS_MAX && gyp_res_fits(size, &available)) {
		gyp_res_sub(&available, size);
		n++;
	}
	return n;
}

static GArray *
list_hold_candidates(struct gyp_policy *p, const struct gyp_job *job)
{
	GArray *candidates =
	    g_array_new(FALSE, FALSE, sizeof(struct hold_candidate));
	uint32_t i;

	for (i = 0; i < index_size(p->index); i++) {
		struct endpoint_view *view = index_at(p->index, i);
		struct hold_candidate candidate = {.view = view};
		struct gyp_res capacity;

		if (view == NULL || !view->usable || view->probing)
			continue;
		capacity = capacity_beside_watchers(p, view);
		candidate.tasks = count_fitting_tasks(&capacity, &job->size);
		candidate.busy_share =
		    (double)(capacity.cpu_milli - view->available.cpu_milli) /
		    MAX(view->capacity.cpu_milli, 1);
		if (view->available.cpu_milli > capacity.cpu_milli)
			candidate.busy_share = 0;
		if (candidate.tasks > 0)
			g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, compare_busy_share);
	return candidates;
}

void
reservation_release(struct gyp_policy *p)
{
	uint32_t i;

	if (p->reserved_job == 0)
		return;

	for (i = 0; i < index_size(p->index); i++) {
		struct endpoint_view *view = index_at(p->index, i);

		if (view != NULL && view->held_for == p->reserved_job)
			view->held_for = 0;
	}
	p->reserved_job = 0;
}

/*
 * Returns the expected time until all attempts except those of watchers have
 * ended, in ms.
 */
static uint64_t
expected_drain_ms(struct gyp_policy *p, const struct endpoint_view *view)
{
	uint64_t longest = 0;
	guint i;

	for (i = 0; i < view->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(view->ep->attempts, struct gyp_task_ref, i);
		const struct gyp_job *job = gyp_state_job(p->state, ref->job);
		uint64_t end =
		    job->tasks[ref->task].changed_ms +
		    policy_expected_run_ms(queue_for_job(p, job), job);

		if (end > p->now)
			longest = MAX(longest, end - p->now);
	}
	return MIN(longest, HOLD_MAX_MS);
}

/* Holds endpoints, the least busy first, until the job would fit. */
static void
hold_endpoints(struct gyp_policy *p, const struct gyp_job *job)
{
	GArray *candidates = list_hold_candidates(p, job);
	bool gang = job->spec->kind == GYP__KIND__KIND_GANG;
	uint64_t tasks = 0, needed = gang ? job->n_queued : 1, drain = 0;
	guint i;

	for (i = 0; i < candidates->len && tasks < needed; i++) {
		const struct hold_candidate *candidate =
		    &g_array_index(candidates, struct hold_candidate, i);

		if (candidate->view->held_for != 0)
			continue;
		candidate->view->held_for = job->id;
		drain = MAX(drain, expected_drain_ms(p, candidate->view));
		tasks += candidate->tasks;
	}
	/* Holding endpoints again does not extend the reservation. */
	if (p->reserved_until == 0)
		p->reserved_until = p->now + drain;
	g_array_free(candidates, TRUE);
}

/*
 * There is one reservation at a time, so that two gangs cannot block each other
 * by holding what the other one needs. Held endpoints drain: other work may use
 * them only if it is expected to end well before the reservation is due, and
 * not at all after that; urgent work may use them at any time.
 */
void
reservation_consider(struct round *round, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	uint64_t waited = p->now - job->submitted_ms;
	if (p->reserved_job != 0 || waited < POLICY_RESERVE_AFTER_MS)
		return;
	p->reserved_job = job->id;
	p->reserved_until = 0;
	hold_endpoints(p, job);
}

void
reservation_place(struct round *round)
{
	struct gyp_policy *p = round->policy;
	const struct gyp_job *job;

	if (p->reserved_job == 0)
		return;
	job = gyp_state_job(p->state, p->reserved_job);
	if (job == NULL || job->n_queued == 0 || job->cancelled) {
		reservation_release(p);
		return;
	}
	if (policy_try_job(round, queue_for_job(p, job), job) == PLACED_ALL)
		return;
	/* Endpoints may have joined or departed: hold a new selection. */
	if (p->last_full_round == p->round) {
		uint64_t id = p->reserved_job;

		reservation_release(p);
		p->reserved_job = id;
		hold_endpoints(p, job);
	}
}
