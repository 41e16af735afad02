#include "state_int.h"

/* ---- Invariants -------------------------------------------------------- */

static void
check_endpoint(const struct gyp_state *s, const struct gyp_endpoint *ep)
{
	struct gyp_res sum = {0, 0, 0, 0};
	guint i;

	for (i = 0; i < ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(ep->attempts, struct gyp_task_ref, i);
		const struct gyp_job *job = gyp_table_get(s->jobs, ref->job);

		g_assert(job != NULL && ref->task < job->n_tasks);
		g_assert(job->tasks[ref->task].state == GYP_TASK_PLACED);
		g_assert(job->tasks[ref->task].endpoint == ep->id);
		gyp_res_add(&sum, &job->size);
	}
	g_assert(gyp_res_fits(&sum, &ep->booked));
	g_assert(gyp_res_fits(&ep->booked, &sum));
	g_assert(gyp_res_fits(&ep->booked, &ep->capacity));
}

static void
check_job(const struct gyp_state *s, const struct gyp_job *job)
{
	uint32_t i, queued = 0, placed = 0;

	/* All tasks of a gang are queued, or none is. */
	g_assert(job->spec->kind != GYP__KIND__KIND_GANG ||
		 job->n_queued == 0 || job->n_queued == job->n_tasks);

	for (i = 0; i < job->n_tasks; i++) {
		const struct gyp_task *t = &job->tasks[i];

		queued += t->state == GYP_TASK_QUEUED;
		placed += t->state == GYP_TASK_PLACED;
		g_assert(job->spec->idempotent || t->attempt <= 1);
		g_assert(t->state != GYP_TASK_PLACED ||
			 gyp_table_get(s->endpoints, t->endpoint) != NULL);
		g_assert(t->state != GYP_TASK_ENDED ||
			 t->last_outcome != GYP__OUTCOME__OUTCOME_NONE);
		/* A job is NOT_RUN only if none of its attempts ran. */
		g_assert(job->outcome != GYP__OUTCOME__OUTCOME_NOT_RUN ||
			 t->last_outcome == GYP__OUTCOME__OUTCOME_NOT_RUN);
	}
	g_assert(queued == job->n_queued && placed == job->n_placed);
	g_assert((job->outcome != GYP__OUTCOME__OUTCOME_NONE) ==
		 (queued + placed == 0));
}

void
gyp_state_check(const struct gyp_state *s)
{
	uint32_t i;

	for (i = 0; i < gyp_table_size(s->endpoints); i++) {
		const struct gyp_endpoint *ep =
		    gyp_table_at(s->endpoints, i, NULL);

		if (ep != NULL)
			check_endpoint(s, ep);
	}
	for (i = 0; i < gyp_table_size(s->jobs); i++) {
		const struct gyp_job *job = gyp_table_at(s->jobs, i, NULL);

		if (job != NULL)
			check_job(s, job);
	}
	gyp_flows_check(s->flows);
}
