#include <string.h>

#include "policy_int.h"

/* Longest time that held endpoints get to become free while others backfill. */
#define HOLD_MS 60000

enum fit
gang_try(struct round *round, struct lane *lane, const struct gyp_job *job)
{
	guint before = round->out->choices->len;
	uint32_t i;

	/* A gang larger than the budget still goes in one piece. */
	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state != GYP_TASK_QUEUED ||
		    policy_barred(round, lane, job) != NULL ||
		    !policy_choose(round, lane, job, i)) {
			policy_undo(round, job, before);
			return FIT_NONE;
		}
	}
	round->next_group++;
	return FIT_ALL;
}

/* ---- Reservation ------------------------------------------------------- */

struct offer {
	struct spot *spot;
	uint64_t tasks; /* of the job, once what ends has ended */
	double busy;    /* share that must end first */
};

static gint
by_busy(gconstpointer a, gconstpointer b)
{
	const struct offer *x = a, *y = b;

	if (x->busy != y->busy)
		return x->busy < y->busy ? -1 : 1;
	return x->spot->id < y->spot->id ? -1 : x->spot->id > y->spot->id;
}

/* What remains of the endpoint when all but services has ended. */
static struct gyp_res
without_batch(const struct gyp_policy *p, const struct spot *s)
{
	struct gyp_res left = s->capacity;
	guint i;

	for (i = 0; i < s->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(s->ep->attempts, struct gyp_task_ref, i);
		const struct gyp_job *job = gyp_state_job(p->state, ref->job);

		if (job->spec->kind == GYP__KIND__KIND_WATCHER)
			gyp_res_sub(&left, &job->size);
	}
	return left;
}

static uint64_t
tasks_in(const struct gyp_res *room, const struct gyp_res *size)
{
	struct gyp_res left = *room;
	uint64_t n = 0;

	while (n < GYP_TASKS_MAX && gyp_res_fits(size, &left)) {
		gyp_res_sub(&left, size);
		n++;
	}
	return n;
}

static GArray *
list_offers(struct gyp_policy *p, const struct gyp_job *job)
{
	GArray *offers = g_array_new(FALSE, FALSE, sizeof(struct offer));
	uint32_t i;

	for (i = 0; i < index_size(p->index); i++) {
		struct spot *s = index_at(p->index, i);
		struct offer o = {.spot = s};
		struct gyp_res room;

		if (s == NULL || !s->usable || s->probing)
			continue;
		room = without_batch(p, s);
		o.tasks = tasks_in(&room, &job->size);
		o.busy = (double)(room.cpu_milli - s->left.cpu_milli) /
			 MAX(s->capacity.cpu_milli, 1);
		if (s->left.cpu_milli > room.cpu_milli)
			o.busy = 0;
		if (o.tasks > 0)
			g_array_append_val(offers, o);
	}
	g_array_sort(offers, by_busy);
	return offers;
}

void
gang_release(struct gyp_policy *p)
{
	uint32_t i;

	if (p->reserved == 0)
		return;

	for (i = 0; i < index_size(p->index); i++) {
		struct spot *s = index_at(p->index, i);

		if (s != NULL && s->held_for == p->reserved)
			s->held_for = 0;
	}
	p->reserved = 0;
}

/* Longest expected time until what runs there, but for services, has ended. */
static uint64_t
time_to_drain(struct gyp_policy *p, const struct spot *s)
{
	uint64_t longest = 0;
	guint i;

	for (i = 0; i < s->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(s->ep->attempts, struct gyp_task_ref, i);
		const struct gyp_job *job = gyp_state_job(p->state, ref->job);
		uint64_t end = job->tasks[ref->task].changed_ms +
			       policy_expected_run(queue_lane(p, job), job);

		if (end > p->now)
			longest = MAX(longest, end - p->now);
	}
	return MIN(longest, HOLD_MS);
}

/* Holds endpoints until the job could start on them. */
static void
hold(struct gyp_policy *p, const struct gyp_job *job)
{
	GArray *offers = list_offers(p, job);
	bool gang = job->spec->kind == GYP__KIND__KIND_GANG;
	uint64_t tasks = 0, needed = gang ? job->n_queued : 1, drain = 0;
	guint i;

	for (i = 0; i < offers->len && tasks < needed; i++) {
		const struct offer *o = &g_array_index(offers, struct offer, i);

		if (o->spot->held_for != 0)
			continue;
		o->spot->held_for = job->id;
		drain = MAX(drain, time_to_drain(p, o->spot));
		tasks += o->tasks;
	}
	/* Looking again later does not put the time off. */
	if (p->reserved_until == 0)
		p->reserved_until = p->now + drain;
	g_array_free(offers, TRUE);
}

/*
 * One reservation at a time, so that two gangs never hold what the other one
 * needs. The endpoints drain: others use them only for work that is expected
 * to be over well before the time of the reservation, and not at all after.
 */
void
gang_consider(struct round *round, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	uint64_t waited = p->now - job->submitted_ms;
	if (p->reserved != 0 || waited < POLICY_RESERVE_AFTER_MS)
		return;
	p->reserved = job->id;
	p->reserved_until = 0;
	hold(p, job);
}

void
gang_try_reserved(struct round *round)
{
	struct gyp_policy *p = round->policy;
	const struct gyp_job *job;

	if (p->reserved == 0)
		return;
	job = gyp_state_job(p->state, p->reserved);
	if (job == NULL || job->n_queued == 0 || job->cancelled) {
		gang_release(p);
		return;
	}
	if (policy_try_job(round, queue_lane(p, job), job) == FIT_ALL)
		return;
	/* Endpoints may have gone, or joined: look again now and then. */
	if (p->full_round == p->round) {
		uint64_t id = p->reserved;

		gang_release(p);
		p->reserved = id;
		hold(p, job);
	}
}
