#include <string.h>

#include "policy_int.h"

/* Time for a held endpoint to become free, where nothing better is known. */
#define HOLD_MS 60000

enum fit
gang_try(struct round *round, struct lane *lane, const struct gyp_job *job)
{
	guint before = round->out->choices->len;
	uint32_t i;

	/* A gang larger than the budget still goes in one piece. */
	for (i = 0; i < job->n_tasks; i++) {
		bool over = lane != NULL &&
			    queue_over_quota(lane->team, &job->size) != NULL;

		if (job->tasks[i].state != GYP_TASK_QUEUED || over ||
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

static void
release_all(struct gyp_policy *p)
{
	uint32_t i;

	for (i = 0; i < index_size(p->index); i++) {
		struct spot *s = index_at(p->index, i);

		if (s != NULL && s->held_for == p->reserved)
			s->held_for = 0;
	}
	p->reserved = 0;
}

static void
hold(struct gyp_policy *p, const struct gyp_job *job, uint64_t until)
{
	GArray *offers = list_offers(p, job);
	uint64_t tasks = 0;
	guint i;

	for (i = 0; i < offers->len && tasks < job->n_queued; i++) {
		const struct offer *o = &g_array_index(offers, struct offer, i);

		if (o->spot->held_for != 0)
			continue;
		o->spot->held_for = job->id;
		o->spot->held_until = until;
		tasks += o->tasks;
	}
	g_array_free(offers, TRUE);
}

/*
 * One reservation at a time, so that two gangs never hold what the other one
 * needs. The endpoints drain: others use them only for work that is expected
 * to be over well before the time of the reservation, and not at all after.
 */
void
gang_consider(
    struct round *round, const struct lane *lane, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	uint64_t waited = p->now - job->submitted_ms;
	uint64_t run = MAX((uint64_t)lane->run_ms, HOLD_MS);

	if (p->reserved != 0 || waited < POLICY_RESERVE_AFTER_MS)
		return;
	p->reserved = job->id;
	p->reserved_at = p->now + run;
	hold(p, job, p->reserved_at);
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
		release_all(p);
		return;
	}
	if (policy_try_job(round, queue_lane(p, job), job) == FIT_ALL)
		return;
	/* Endpoints may have gone, or joined: look again now and then. */
	if (p->full_round == p->round) {
		uint64_t id = p->reserved;

		release_all(p);
		p->reserved = id;
		hold(p, job, p->reserved_at);
	}
}
