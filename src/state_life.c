#include "msg.h"
#include "mutant.h"
#include "state_int.h"

guint
gyp_task_ref_hash(gconstpointer p)
{
	const struct gyp_task_ref *ref = p;

	return g_int64_hash(&ref->job) ^ (ref->task * 2654435761U);
}

gboolean
gyp_task_ref_equal(gconstpointer a, gconstpointer b)
{
	const struct gyp_task_ref *x = a, *y = b;

	return x->job == y->job && x->task == y->task;
}

/* ---- Life of tasks and jobs -------------------------------------------- */

static Gyp__Outcome
joint_outcome(const struct gyp_job *job)
{
	uint32_t count[5] = {0};
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		count[job->tasks[i].last]++;
	if (count[GYP__OUTCOME__OUTCOME_UNKNOWN] > 0)
		return GYP__OUTCOME__OUTCOME_UNKNOWN;
	if (count[GYP__OUTCOME__OUTCOME_DONE] == job->n_tasks)
		return GYP__OUTCOME__OUTCOME_DONE;
	if (count[GYP__OUTCOME__OUTCOME_NOT_RUN] == job->n_tasks)
		return GYP__OUTCOME__OUTCOME_NOT_RUN;
	return GYP__OUTCOME__OUTCOME_FAILED;
}

static void
finish_job_if_over(struct gyp_state *s, struct gyp_job *job)
{
	if (job->outcome != GYP__OUTCOME__OUTCOME_NONE || job->n_queued > 0 ||
	    job->n_placed > 0)
		return;
	job->outcome = joint_outcome(job);
	job->finished_ms = s->time_ms;
	job->finished_seq = s->next_seq++;
	g_queue_push_tail(&s->finished, g_memdup2(&job->id, sizeof(job->id)));
	s->finished_bytes += gyp_state_job_bytes(job);
	if (s->listener != NULL)
		s->listener->ops->job_finished(s->listener, job);
}

void
gyp_state_set_task(struct gyp_state *s, struct gyp_job *job, struct gyp_task *t,
    enum gyp_task_state state)
{
	uint32_t queued_before = job->n_queued;

	job->n_queued -= t->state == GYP_TASK_QUEUED;
	job->n_placed -= t->state == GYP_TASK_PLACED;
	job->n_queued += state == GYP_TASK_QUEUED;
	job->n_placed += state == GYP_TASK_PLACED;
	t->state = state;
	t->changed_ms = s->time_ms;
	if (queued_before == 0 && job->n_queued > 0) {
		g_queue_push_head_link(&s->queue, &job->link);
		gyp_state_watch_queued(s, job);
	} else if (queued_before > 0 && job->n_queued == 0) {
		g_queue_unlink(&s->queue, &job->link);
	}
}

/* Ends a queued task without a further attempt. */
static void
drop_queued_task(struct gyp_state *s, struct gyp_job *job, struct gyp_task *t)
{
	if (t->last == GYP__OUTCOME__OUTCOME_NONE)
		t->last = GYP__OUTCOME__OUTCOME_NOT_RUN;
	gyp_state_set_task(s, job, t, GYP_TASK_OVER);
}

void
gyp_state_cancel_job(
    struct gyp_state *s, struct gyp_job *job, const char *reason)
{
	uint32_t i;

	if (job->cancelled || job->outcome != GYP__OUTCOME__OUTCOME_NONE)
		return;
	job->cancelled = true;
	gyp_state_set_reason(job, reason);
	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state == GYP_TASK_QUEUED)
			drop_queued_task(s, job, &job->tasks[i]);
	}
	if (job->n_placed > 0 && s->listener != NULL)
		s->listener->ops->job_cancelled(s->listener, job);
	finish_job_if_over(s, job);
}

static void
remove_attempt(struct gyp_endpoint *ep, const struct gyp_job *job,
    const struct gyp_task *t)
{
	guint i;

	for (i = 0; i < ep->attempts->len; i++) {
		struct gyp_task_ref *ref =
		    &g_array_index(ep->attempts, struct gyp_task_ref, i);

		if (ref->job == job->id && &job->tasks[ref->task] == t) {
			g_array_remove_index_fast(ep->attempts, i);
			return;
		}
	}
	g_assert_not_reached();
}

void
gyp_state_release_booking(struct gyp_state *s, struct gyp_job *job,
    const struct gyp_task *t, const Gyp__CmdFinish *finish)
{
	struct gyp_endpoint *ep = gyp_table_get(s->endpoints, t->endpoint);

	g_assert(ep != NULL);
	gyp_res_sub(&ep->booked, &job->size);
	remove_attempt(ep, job, t);
	if (s->watcher == NULL)
		return;
	s->watcher->ops->released(
	    s->watcher, job, (uint32_t)(t - job->tasks), finish);
	gyp_state_watch_endpoint(s, ep);
}

/* Whether a task whose attempt ended so gets another one. */
static bool
wants_retry(
    const struct gyp_job *job, const struct gyp_task *t, Gyp__Outcome outcome)
{
	uint32_t most = job->spec->attempts != 0 ? job->spec->attempts
						 : GYP_TASK_FAILURES_MAX;

	if (outcome == GYP__OUTCOME__OUTCOME_DONE || job->cancelled)
		return false;
	return (job->spec->idempotent || GYP_MUTANT(RETRY_NON_IDEMPOTENT)) &&
	       t->failures < most;
}

/* Nothing of the last round counts: its tasks did not end well together. */
static void
requeue_gang(struct gyp_state *s, struct gyp_job *job)
{
	uint32_t i;

	job->restarting = false;
	for (i = 0; i < job->n_tasks; i++) {
		struct gyp_task *t = &job->tasks[i];

		if (t->last == GYP__OUTCOME__OUTCOME_DONE)
			t->last = GYP__OUTCOME__OUTCOME_FAILED;
		g_clear_pointer(&t->finish, gyp_message_free);
		gyp_state_set_task(s, job, t, GYP_TASK_QUEUED);
	}
}

/* A gang starts again only when no attempt of its last round is open. */
static void
restart_gang(struct gyp_state *s, struct gyp_job *job, struct gyp_task *t)
{
	bool first = !job->restarting;

	job->restarting = true;
	gyp_state_set_task(s, job, t, GYP_TASK_OVER);
	if (job->n_placed == 0)
		requeue_gang(s, job);
	else if (first && s->listener != NULL)
		s->listener->ops->job_cancelled(s->listener, job);
}

static void
give_up_gang(
    struct gyp_state *s, struct gyp_job *job, uint32_t task, const char *why)
{
	char *reason =
	    g_strdup_printf("task %u of the gang ended: %s", task, why);

	gyp_state_cancel_job(s, job, reason);
	g_free(reason);
}

void
gyp_state_end_attempt(struct gyp_state *s, struct gyp_job *job, uint32_t index,
    const Gyp__CmdFinish *finish)
{
	struct gyp_task *t = &job->tasks[index];
	Gyp__Outcome outcome = finish->outcome;
	bool gang = job->spec->kind == GYP__KIND__KIND_GANG;
	bool retry;
	bool ran_before = t->last != GYP__OUTCOME__OUTCOME_NONE &&
			  t->last != GYP__OUTCOME__OUTCOME_NOT_RUN;

	gyp_state_release_booking(s, job, t, finish);
	if (outcome == GYP__OUTCOME__OUTCOME_FAILED && !finish->checkpointed &&
	    !job->restarting && !job->cancelled)
		t->failures++;
	/* An attempt that was not run takes nothing back of earlier ones. */
	if (outcome != GYP__OUTCOME__OUTCOME_NOT_RUN || !ran_before)
		t->last = outcome;
	if (s->listener != NULL)
		s->listener->ops->attempt_over(s->listener, job, index);
	retry = wants_retry(job, t, outcome);
	/* Of a restarting gang too: a cancellation makes it the last word. */
	if (gang || !retry) {
		gyp_message_free(t->finish);
		t->finish = gyp_message_copy(&finish->base);
	}
	if (gang && !job->cancelled && (retry || job->restarting)) {
		restart_gang(s, job, t);
		return;
	}
	if (retry) {
		gyp_state_set_task(s, job, t, GYP_TASK_QUEUED);
		return;
	}
	gyp_state_set_task(s, job, t, GYP_TASK_OVER);
	if (outcome != GYP__OUTCOME__OUTCOME_DONE) {
		if (job->reason == NULL)
			gyp_state_set_reason(job, finish->reason);
		if (gang)
			give_up_gang(s, job, index, finish->reason);
	}
	finish_job_if_over(s, job);
}
