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

/* ---- State changes of tasks and jobs ----------------------------------- */

static Gyp__Outcome
combined_outcome(const struct gyp_job *job)
{
	uint32_t count[5] = {0};
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		count[job->tasks[i].last_outcome]++;
	if (count[GYP__OUTCOME__OUTCOME_UNKNOWN] > 0)
		return GYP__OUTCOME__OUTCOME_UNKNOWN;
	if (count[GYP__OUTCOME__OUTCOME_DONE] == job->n_tasks)
		return GYP__OUTCOME__OUTCOME_DONE;
	if (count[GYP__OUTCOME__OUTCOME_NOT_RUN] == job->n_tasks)
		return GYP__OUTCOME__OUTCOME_NOT_RUN;
	return GYP__OUTCOME__OUTCOME_FAILED;
}

static void
finish_job_if_ended(struct gyp_state *s, struct gyp_job *job)
{
	if (job->outcome != GYP__OUTCOME__OUTCOME_NONE || job->n_queued > 0 ||
	    job->n_placed > 0)
		return;
	job->outcome = combined_outcome(job);
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
		gyp_state_notify_queued(s, job);
	} else if (queued_before > 0 && job->n_queued == 0) {
		g_queue_unlink(&s->queue, &job->link);
	}
}

/* Ends a queued task without a further attempt. */
static void
end_queued_task(struct gyp_state *s, struct gyp_job *job, struct gyp_task *t)
{
	if (t->last_outcome == GYP__OUTCOME__OUTCOME_NONE)
		t->last_outcome = GYP__OUTCOME__OUTCOME_NOT_RUN;
	gyp_state_set_task(s, job, t, GYP_TASK_ENDED);
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
			end_queued_task(s, job, &job->tasks[i]);
	}
	if (job->n_placed > 0 && s->listener != NULL)
		s->listener->ops->stop_attempts(s->listener, job);
	finish_job_if_ended(s, job);
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
	if (s->observer == NULL)
		return;
	s->observer->ops->released(
	    s->observer, job, (uint32_t)(t - job->tasks), finish);
	gyp_state_notify_endpoint(s, ep);
}

/* Returns whether a task gets another attempt after this outcome. */
static bool
should_retry(
    const struct gyp_job *job, const struct gyp_task *t, Gyp__Outcome outcome)
{
	uint32_t max_failures = job->spec->attempts != 0
				    ? job->spec->attempts
				    : GYP_TASK_FAILURES_MAX;

	if (outcome == GYP__OUTCOME__OUTCOME_DONE || job->cancelled)
		return false;
	return (job->spec->idempotent || GYP_MUTANT(RETRY_NON_IDEMPOTENT)) &&
	       t->failures < max_failures;
}

/*
 * Queues all tasks again. Results of the last round are discarded, because a
 * gang is done only when all its tasks are done in the same round.
 */
static void
requeue_gang(struct gyp_state *s, struct gyp_job *job)
{
	uint32_t i;

	job->restarting = false;
	for (i = 0; i < job->n_tasks; i++) {
		struct gyp_task *t = &job->tasks[i];

		if (t->last_outcome == GYP__OUTCOME__OUTCOME_DONE)
			t->last_outcome = GYP__OUTCOME__OUTCOME_FAILED;
		g_clear_pointer(&t->finish, gyp_message_free);
		gyp_state_set_task(s, job, t, GYP_TASK_QUEUED);
	}
}

/*
 * Ends the task; queues the gang again once no attempt of its round is open.
 * The listener stops those that are still open.
 */
static void
restart_gang(struct gyp_state *s, struct gyp_job *job, struct gyp_task *t)
{
	bool first = !job->restarting;

	job->restarting = true;
	gyp_state_set_task(s, job, t, GYP_TASK_ENDED);
	if (job->n_placed == 0)
		requeue_gang(s, job);
	else if (first && s->listener != NULL)
		s->listener->ops->stop_attempts(s->listener, job);
}

static void
cancel_gang(
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
	bool ran_before = t->last_outcome != GYP__OUTCOME__OUTCOME_NONE &&
			  t->last_outcome != GYP__OUTCOME__OUTCOME_NOT_RUN;

	gyp_state_release_booking(s, job, t, finish);
	if (outcome == GYP__OUTCOME__OUTCOME_FAILED && !finish->checkpointed &&
	    !job->restarting && !job->cancelled)
		t->failures++;
	/* NOT_RUN keeps the outcome of an earlier attempt that may have run. */
	if (outcome != GYP__OUTCOME__OUTCOME_NOT_RUN || !ran_before)
		t->last_outcome = outcome;
	if (s->listener != NULL)
		s->listener->ops->attempt_ended(s->listener, job, index);
	retry = should_retry(job, t, outcome);
	/*
	 * A restarting gang keeps the finish as well: the job may be cancelled
	 * before it is queued again, and the finish is then final.
	 */
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
	gyp_state_set_task(s, job, t, GYP_TASK_ENDED);
	if (outcome != GYP__OUTCOME__OUTCOME_DONE) {
		if (job->reason == NULL)
			gyp_state_set_reason(job, finish->reason);
		if (gang)
			cancel_gang(s, job, index, finish->reason);
	}
	finish_job_if_ended(s, job);
}
