#include <string.h>

#include "buf.h"
#include "msg.h"
#include "state.h"

struct gyp_state {
	struct gyp_state_listener *listener;
	struct gyp_state_watcher *watcher;
	uint64_t time_ms;
	uint64_t next_seq;
	struct gyp_table *jobs;
	struct gyp_table *endpoints;
	GHashTable *keys;           /* "team/key" -> struct gyp_job */
	GHashTable *endpoint_names; /* name -> struct gyp_endpoint */
	GQueue queue;               /* struct gyp_job, by link */
	GQueue finished;            /* handles of finished jobs, oldest first */
	uint64_t finished_bytes;
	GHashTable *retired;  /* hashes of keys, as a set */
	GQueue retired_order; /* the same, oldest first */
	GPtrArray *rules;     /* struct gyp_rules_version, oldest first */
};

/* ---- Rows -------------------------------------------------------------- */

static char *
make_key(const char *team, const char *key)
{
	return g_strdup_printf("%s/%s", team, key);
}

static uint64_t
key_hash(const char *team, const char *key)
{
	char *full = make_key(team, key);
	struct gyp_slice s = {(const uint8_t *)full, strlen(full)};
	uint64_t hash = gyp_hash64(s);

	g_free(full);
	return hash;
}

static void
release_job(struct gyp_job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		gyp_message_free(job->tasks[i].finish);
	gyp_message_free(job->spec);
	g_free(job->tasks);
	g_free(job->reason);
}

static void
release_endpoint(struct gyp_endpoint *ep)
{
	gyp_message_free(ep->spec);
	g_array_free(ep->attempts, TRUE);
}

static void
free_rules_version(gpointer p)
{
	struct gyp_rules_version *v = p;

	gyp_message_free(v->cmd);
	g_free(v);
}

/* ---- Watcher ------------------------------------------------------------ */

static void
watch_endpoint(const struct gyp_state *s, const struct gyp_endpoint *ep)
{
	if (s->watcher != NULL)
		s->watcher->ops->endpoint(s->watcher, ep->id, ep);
}

static void
watch_queued(const struct gyp_state *s, const struct gyp_job *job)
{
	if (s->watcher != NULL)
		s->watcher->ops->queued(s->watcher, job);
}

static void
set_reason(struct gyp_job *job, const char *reason)
{
	g_free(job->reason);
	job->reason = g_strdup(reason);
}

/* ---- Retention --------------------------------------------------------- */

static void
retire_key(struct gyp_state *s, uint64_t hash)
{
	if (g_hash_table_contains(s->retired, &hash))
		return;
	g_hash_table_add(s->retired, g_memdup2(&hash, sizeof(hash)));
	g_queue_push_tail(&s->retired_order, g_memdup2(&hash, sizeof(hash)));
	if (s->retired_order.length > GYP_RETIRED_MAX) {
		uint64_t *oldest = g_queue_pop_head(&s->retired_order);

		g_hash_table_remove(s->retired, oldest);
		g_free(oldest);
	}
}

static uint64_t
job_bytes(const struct gyp_job *job)
{
	uint64_t bytes = job->spec->payload.len;
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].finish != NULL)
			bytes += job->tasks[i].finish->answer.len;
	}
	return bytes;
}

static void
forget_job(struct gyp_state *s, struct gyp_job *job)
{
	char *key = make_key(job->spec->team, job->spec->key);

	retire_key(s, key_hash(job->spec->team, job->spec->key));
	g_hash_table_remove(s->keys, key);
	g_free(key);
	s->finished_bytes -= job_bytes(job);
	release_job(job);
	gyp_table_remove(s->jobs, job->id);
}

static bool
over_retention(const struct gyp_state *s, const struct gyp_job *job)
{
	return s->finished.length > GYP_KEEP_JOBS ||
	       s->finished_bytes > GYP_KEEP_BYTES ||
	       job->finished_ms + GYP_KEEP_MS < s->time_ms;
}

static void
forget_old_jobs(struct gyp_state *s)
{
	uint64_t *id;

	while ((id = g_queue_peek_head(&s->finished)) != NULL) {
		struct gyp_job *job = gyp_table_get(s->jobs, *id);

		g_assert(job != NULL);
		if (!over_retention(s, job))
			break;
		forget_job(s, job);
		g_free(g_queue_pop_head(&s->finished));
	}
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
	s->finished_bytes += job_bytes(job);
	if (s->listener != NULL)
		s->listener->ops->job_finished(s->listener, job);
}

static void
set_task_state(struct gyp_state *s, struct gyp_job *job, struct gyp_task *t,
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
		watch_queued(s, job);
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
	set_task_state(s, job, t, GYP_TASK_OVER);
}

static void
cancel_job(struct gyp_state *s, struct gyp_job *job, const char *reason)
{
	uint32_t i;

	if (job->cancelled || job->outcome != GYP__OUTCOME__OUTCOME_NONE)
		return;
	job->cancelled = true;
	set_reason(job, reason);
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

static void
release_booking(struct gyp_state *s, struct gyp_job *job,
    const struct gyp_task *t, Gyp__Outcome outcome)
{
	struct gyp_endpoint *ep = gyp_table_get(s->endpoints, t->endpoint);

	g_assert(ep != NULL);
	gyp_res_sub(&ep->booked, &job->size);
	remove_attempt(ep, job, t);
	if (s->watcher == NULL)
		return;
	s->watcher->ops->released(
	    s->watcher, job, (uint32_t)(t - job->tasks), outcome);
	watch_endpoint(s, ep);
}

/* Whether a task whose attempt ended so gets another one. */
static bool
wants_retry(
    const struct gyp_job *job, const struct gyp_task *t, Gyp__Outcome outcome)
{
	if (outcome == GYP__OUTCOME__OUTCOME_DONE || job->cancelled)
		return false;
	if (!job->spec->idempotent || job->spec->kind == GYP__KIND__KIND_GANG)
		return false;
	return t->failures < GYP_TASK_FAILURES_MAX;
}

static void
end_attempt(struct gyp_state *s, struct gyp_job *job, uint32_t index,
    const Gyp__CmdFinish *finish)
{
	struct gyp_task *t = &job->tasks[index];
	Gyp__Outcome outcome = finish->outcome;
	bool ran_before = t->last != GYP__OUTCOME__OUTCOME_NONE &&
			  t->last != GYP__OUTCOME__OUTCOME_NOT_RUN;

	release_booking(s, job, t, outcome);
	if (outcome == GYP__OUTCOME__OUTCOME_FAILED)
		t->failures++;
	/* An attempt that was not run takes nothing back of earlier ones. */
	if (outcome != GYP__OUTCOME__OUTCOME_NOT_RUN || !ran_before)
		t->last = outcome;
	if (s->listener != NULL)
		s->listener->ops->attempt_over(s->listener, job, index);
	if (wants_retry(job, t, outcome)) {
		set_task_state(s, job, t, GYP_TASK_QUEUED);
		return;
	}
	gyp_message_free(t->finish);
	t->finish = gyp_message_copy(&finish->base);
	set_task_state(s, job, t, GYP_TASK_OVER);
	if (outcome != GYP__OUTCOME__OUTCOME_DONE) {
		if (job->reason == NULL)
			set_reason(job, finish->reason);
		if (job->spec->kind == GYP__KIND__KIND_GANG)
			cancel_job(s, job, "another task of the gang ended");
	}
	finish_job_if_over(s, job);
}

/* ---- Commands ---------------------------------------------------------- */

static bool
spec_is_sound(const Gyp__JobSpec *spec)
{
	return spec != NULL && spec->size != NULL && spec->tasks >= 1 &&
	       spec->tasks <= GYP_TASKS_MAX && spec->key[0] != '\0' &&
	       spec->payload.len <= GYP_PAYLOAD_MAX;
}

static struct gyp_job *
init_job(struct gyp_state *s, struct gyp_job *job, uint64_t id,
    const Gyp__JobSpec *spec)
{
	job->id = id;
	job->spec = gyp_message_copy(&spec->base);
	job->size = gyp_res_from(spec->size);
	job->n_tasks = spec->tasks;
	job->tasks = g_new0(struct gyp_task, spec->tasks);
	job->link.data = job;
	g_hash_table_insert(s->keys, make_key(spec->team, spec->key), job);
	return job;
}

static void
apply_submit(struct gyp_state *s, const Gyp__CmdSubmit *cmd)
{
	const Gyp__JobSpec *spec = cmd->spec;
	struct gyp_job *job;
	uint64_t id;

	if (!spec_is_sound(spec) ||
	    gyp_state_job_by_key(s, spec->team, spec->key) != NULL ||
	    gyp_state_key_retired(s, spec->team, spec->key))
		return;
	job = gyp_table_add(s->jobs, &id);
	init_job(s, job, id, spec);
	job->seq = s->next_seq++;
	job->submitted_ms = s->time_ms;
	job->n_queued = job->n_tasks;
	g_queue_push_tail_link(&s->queue, &job->link);
	watch_queued(s, job);
}

static bool
placement_is_sound(const struct gyp_state *s, const Gyp__Placement *p)
{
	const struct gyp_job *job = gyp_table_get(s->jobs, p->job);
	const struct gyp_endpoint *ep =
	    gyp_table_get(s->endpoints, p->endpoint);
	const struct gyp_task *t;

	if (job == NULL || ep == NULL || p->task >= job->n_tasks ||
	    ep->state != GYP_ENDPOINT_ACTIVE)
		return false;
	t = &job->tasks[p->task];
	if (t->state != GYP_TASK_QUEUED || p->attempt != t->attempt + 1)
		return false;
	return p->attempt == 1 || job->spec->idempotent;
}

static void
place_task(struct gyp_state *s, const Gyp__Placement *p)
{
	struct gyp_job *job = gyp_table_get(s->jobs, p->job);
	struct gyp_endpoint *ep = gyp_table_get(s->endpoints, p->endpoint);
	struct gyp_task *t = &job->tasks[p->task];
	struct gyp_task_ref ref = {.job = p->job, .task = p->task};

	gyp_res_add(&ep->booked, &job->size);
	g_array_append_val(ep->attempts, ref);
	t->attempt = p->attempt;
	t->endpoint = p->endpoint;
	t->entry = p->entry;
	set_task_state(s, job, t, GYP_TASK_PLACED);
	watch_endpoint(s, ep);
	if (s->watcher != NULL)
		s->watcher->ops->booked(s->watcher, job, p->task);
}

static void
unplace_task(struct gyp_state *s, const Gyp__Placement *p)
{
	struct gyp_job *job = gyp_table_get(s->jobs, p->job);
	struct gyp_task *t = &job->tasks[p->task];

	release_booking(s, job, t, GYP__OUTCOME__OUTCOME_NONE);
	t->attempt--;
	set_task_state(s, job, t, GYP_TASK_QUEUED);
}

static bool
fits_endpoint(const struct gyp_state *s, const Gyp__Placement *p)
{
	const struct gyp_job *job = gyp_table_get(s->jobs, p->job);
	const struct gyp_endpoint *ep =
	    gyp_table_get(s->endpoints, p->endpoint);
	struct gyp_res left = ep->capacity;

	gyp_res_sub(&left, &ep->booked);
	return gyp_res_fits(&job->size, &left);
}

static void
apply_place(struct gyp_state *s, const Gyp__CmdPlace *cmd)
{
	size_t i, done;

	for (done = 0; done < cmd->n_places; done++) {
		if (!placement_is_sound(s, cmd->places[done]) ||
		    !fits_endpoint(s, cmd->places[done]))
			break;
		place_task(s, cmd->places[done]);
	}
	if (done < cmd->n_places) {
		while (done > 0)
			unplace_task(s, cmd->places[--done]);
		return;
	}
	for (i = 0; i < done && s->listener != NULL; i++)
		s->listener->ops->placed(s->listener,
		    gyp_table_get(s->jobs, cmd->places[i]->job),
		    cmd->places[i]->task);
}

static void
apply_finish(struct gyp_state *s, const Gyp__CmdFinish *cmd)
{
	struct gyp_job *job = gyp_table_get(s->jobs, cmd->job);
	const struct gyp_task *t;

	if (job == NULL || cmd->task >= job->n_tasks ||
	    cmd->outcome < GYP__OUTCOME__OUTCOME_DONE ||
	    cmd->outcome > GYP__OUTCOME__OUTCOME_UNKNOWN ||
	    cmd->answer.len > GYP_ANSWER_MAX)
		return;
	t = &job->tasks[cmd->task];
	/* A late report of an older attempt is dropped. */
	if (t->state != GYP_TASK_PLACED || t->attempt != cmd->attempt)
		return;
	end_attempt(s, job, cmd->task, cmd);
}

static struct gyp_endpoint *
init_endpoint(struct gyp_state *s, struct gyp_endpoint *ep, uint64_t id,
    const Gyp__CmdEndpoint *spec)
{
	ep->id = id;
	ep->spec = gyp_message_copy(&spec->base);
	ep->capacity = gyp_res_from(spec->capacity);
	ep->state = GYP_ENDPOINT_ACTIVE;
	ep->attempts = g_array_new(FALSE, FALSE, sizeof(struct gyp_task_ref));
	g_hash_table_insert(s->endpoint_names, ep->spec->name, ep);
	return ep;
}

/*
 * A name returns with a new incarnation only after its old row is gone, so
 * that what may still run there is never booked over.
 */
static void
apply_endpoint(struct gyp_state *s, const Gyp__CmdEndpoint *cmd)
{
	struct gyp_endpoint *ep;
	uint64_t id;

	if (cmd->name[0] == '\0' || cmd->capacity == NULL ||
	    gyp_state_endpoint_by_name(s, cmd->name) != NULL)
		return;
	ep = gyp_table_add(s->endpoints, &id);
	init_endpoint(s, ep, id, cmd);
	watch_endpoint(s, ep);
}

static gint
by_task(gconstpointer a, gconstpointer b)
{
	const struct gyp_task_ref *x = a, *y = b;

	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return x->task < y->task ? -1 : x->task > y->task;
}

/* In the order of handles, so that every replica ends them alike. */
static void
end_attempts_of(struct gyp_state *s, struct gyp_endpoint *ep)
{
	Gyp__CmdFinish lost = GYP__CMD_FINISH__INIT;
	GArray *refs;
	guint i;

	lost.outcome = GYP__OUTCOME__OUTCOME_UNKNOWN;
	lost.reason = "endpoint lost";
	g_array_sort(ep->attempts, by_task);
	refs = g_array_copy(ep->attempts);
	for (i = 0; i < refs->len; i++) {
		struct gyp_task_ref ref =
		    g_array_index(refs, struct gyp_task_ref, i);
		struct gyp_job *job = gyp_table_get(s->jobs, ref.job);

		lost.job = ref.job;
		lost.task = ref.task;
		lost.attempt = job->tasks[ref.task].attempt;
		end_attempt(s, job, ref.task, &lost);
	}
	g_array_free(refs, TRUE);
}

/* Only an operator's command, which names the state, ends a drain. */
static bool
may_change_endpoint(
    const struct gyp_endpoint *ep, const Gyp__CmdEndpointState *cmd)
{
	if (cmd->state < GYP_ENDPOINT_ACTIVE ||
	    cmd->state > GYP_ENDPOINT_DRAINED)
		return false;
	if (cmd->from != 0 && cmd->from != (uint32_t)ep->state)
		return false;
	if (cmd->state == GYP_ENDPOINT_GONE)
		return true;
	if (ep->state == GYP_ENDPOINT_LEAVING)
		return false;
	return ep->state != GYP_ENDPOINT_DRAINED ||
	       cmd->from == GYP_ENDPOINT_DRAINED ||
	       cmd->state == GYP_ENDPOINT_LEAVING;
}

static void
apply_endpoint_state(struct gyp_state *s, const Gyp__CmdEndpointState *cmd)
{
	struct gyp_endpoint *ep = gyp_table_get(s->endpoints, cmd->endpoint);

	if (ep == NULL || !may_change_endpoint(ep, cmd))
		return;
	if (cmd->state != GYP_ENDPOINT_GONE) {
		ep->state = cmd->state;
		watch_endpoint(s, ep);
		return;
	}
	end_attempts_of(s, ep);
	if (s->watcher != NULL)
		s->watcher->ops->endpoint(s->watcher, ep->id, NULL);
	g_hash_table_remove(s->endpoint_names, ep->spec->name);
	release_endpoint(ep);
	gyp_table_remove(s->endpoints, cmd->endpoint);
}

static void
apply_cancel(struct gyp_state *s, const Gyp__CmdCancel *cmd)
{
	struct gyp_job *job = gyp_table_get(s->jobs, cmd->job);

	if (job == NULL && cmd->key[0] != '\0') {
		job = gyp_state_job_by_key(s, cmd->team, cmd->key);
		if (job == NULL)
			retire_key(s, key_hash(cmd->team, cmd->key));
	}
	if (job != NULL)
		cancel_job(s, job, cmd->reason);
}

static void
push_rules(struct gyp_state *s, uint64_t version, uint64_t time_ms,
    const Gyp__CmdRules *cmd)
{
	struct gyp_rules_version *v = g_new0(struct gyp_rules_version, 1);

	v->version = version;
	v->time_ms = time_ms;
	v->cmd = gyp_message_copy(&cmd->base);
	g_ptr_array_add(s->rules, v);
	if (s->rules->len > GYP_RULES_KEPT)
		g_ptr_array_remove_index(s->rules, 0);
}

static void
apply_rules(struct gyp_state *s, const Gyp__CmdRules *cmd)
{
	const struct gyp_rules_version *now = gyp_state_rules(s);
	uint64_t version = now != NULL ? now->version : 0;

	if (cmd->base_version != version ||
	    gyp_state_rules_by_request(s, cmd->request) != NULL)
		return;
	push_rules(s, version + 1, s->time_ms, cmd);
}

static void
apply_cmd(struct gyp_state *s, const Gyp__Cmd *cmd)
{
	switch (cmd->c_case) {
	case GYP__CMD__C_SUBMIT:
		apply_submit(s, cmd->submit);
		break;
	case GYP__CMD__C_PLACE:
		apply_place(s, cmd->place);
		break;
	case GYP__CMD__C_FINISH:
		apply_finish(s, cmd->finish);
		break;
	case GYP__CMD__C_ENDPOINT:
		apply_endpoint(s, cmd->endpoint);
		break;
	case GYP__CMD__C_ENDPOINT_STATE:
		apply_endpoint_state(s, cmd->endpoint_state);
		break;
	case GYP__CMD__C_CANCEL:
		apply_cancel(s, cmd->cancel);
		break;
	case GYP__CMD__C_RULES:
		apply_rules(s, cmd->rules);
		break;
	default:
		break;
	}
}

void
gyp_state_apply(struct gyp_state *s, const Gyp__Batch *batch)
{
	size_t i;

	s->time_ms = MAX(s->time_ms, batch->time_ms);
	for (i = 0; i < batch->n_cmds; i++)
		apply_cmd(s, batch->cmds[i]);
	forget_old_jobs(s);
#ifdef GYP_CHECKED
	gyp_state_check(s);
#endif
}

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

	for (i = 0; i < job->n_tasks; i++) {
		const struct gyp_task *t = &job->tasks[i];

		queued += t->state == GYP_TASK_QUEUED;
		placed += t->state == GYP_TASK_PLACED;
		g_assert(job->spec->idempotent || t->attempt <= 1);
		g_assert(t->state != GYP_TASK_PLACED ||
			 gyp_table_get(s->endpoints, t->endpoint) != NULL);
		g_assert(t->state != GYP_TASK_OVER ||
			 t->last != GYP__OUTCOME__OUTCOME_NONE);
		/* Not run means that no attempt can have run. */
		g_assert(job->outcome != GYP__OUTCOME__OUTCOME_NOT_RUN ||
			 t->last == GYP__OUTCOME__OUTCOME_NOT_RUN);
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
}

/* ---- Construction and access ------------------------------------------- */

struct gyp_state *
gyp_state_new(struct gyp_state_listener *listener)
{
	struct gyp_state *s = g_new0(struct gyp_state, 1);

	s->listener = listener;
	s->next_seq = 1;
	s->jobs = gyp_table_new(sizeof(struct gyp_job));
	s->endpoints = gyp_table_new(sizeof(struct gyp_endpoint));
	s->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->endpoint_names = g_hash_table_new(g_str_hash, g_str_equal);
	s->retired =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	s->rules = g_ptr_array_new_with_free_func(free_rules_version);
	return s;
}

static void
clear_state(struct gyp_state *s)
{
	uint32_t i;

	for (i = 0; i < gyp_table_size(s->jobs); i++) {
		struct gyp_job *job = gyp_table_at(s->jobs, i, NULL);

		if (job != NULL)
			release_job(job);
	}
	for (i = 0; i < gyp_table_size(s->endpoints); i++) {
		struct gyp_endpoint *ep = gyp_table_at(s->endpoints, i, NULL);

		if (ep != NULL)
			release_endpoint(ep);
	}
	g_hash_table_destroy(s->keys);
	g_hash_table_destroy(s->endpoint_names);
	g_hash_table_destroy(s->retired);
	g_queue_clear_full(&s->finished, g_free);
	g_queue_clear_full(&s->retired_order, g_free);
	g_ptr_array_free(s->rules, TRUE);
	gyp_table_free(s->jobs);
	gyp_table_free(s->endpoints);
}

void
gyp_state_free(struct gyp_state *s)
{
	if (s == NULL)
		return;
	clear_state(s);
	g_free(s);
}

void
gyp_state_watch(struct gyp_state *s, struct gyp_state_watcher *watcher)
{
	s->watcher = watcher;
}

uint64_t
gyp_state_time(const struct gyp_state *s)
{
	return s->time_ms;
}

const struct gyp_table *
gyp_state_jobs(const struct gyp_state *s)
{
	return s->jobs;
}

const struct gyp_table *
gyp_state_endpoints(const struct gyp_state *s)
{
	return s->endpoints;
}

const GQueue *
gyp_state_queue(const struct gyp_state *s)
{
	return &s->queue;
}

struct gyp_job *
gyp_state_job(const struct gyp_state *s, uint64_t id)
{
	return gyp_table_get(s->jobs, id);
}

struct gyp_job *
gyp_state_job_by_key(
    const struct gyp_state *s, const char *team, const char *key)
{
	char *full = make_key(team, key);
	struct gyp_job *job = g_hash_table_lookup(s->keys, full);

	g_free(full);
	return job;
}

struct gyp_endpoint *
gyp_state_endpoint(const struct gyp_state *s, uint64_t id)
{
	return gyp_table_get(s->endpoints, id);
}

struct gyp_endpoint *
gyp_state_endpoint_by_name(const struct gyp_state *s, const char *name)
{
	return g_hash_table_lookup(s->endpoint_names, name);
}

bool
gyp_state_key_retired(
    const struct gyp_state *s, const char *team, const char *key)
{
	uint64_t hash = key_hash(team, key);

	return g_hash_table_contains(s->retired, &hash);
}

const struct gyp_rules_version *
gyp_state_rules(const struct gyp_state *s)
{
	return gyp_state_rules_at(s, 0);
}

const struct gyp_rules_version *
gyp_state_rules_at(const struct gyp_state *s, uint32_t nth)
{
	if (nth >= s->rules->len)
		return NULL;
	return s->rules->pdata[s->rules->len - 1 - nth];
}

const struct gyp_rules_version *
gyp_state_rules_by_request(const struct gyp_state *s, const char *request)
{
	guint i;

	if (request[0] == '\0')
		return NULL;
	for (i = 0; i < s->rules->len; i++) {
		const struct gyp_rules_version *v = s->rules->pdata[i];

		if (strcmp(v->cmd->request, request) == 0)
			return v;
	}
	return NULL;
}

/* ---- Snapshots --------------------------------------------------------- */

static Gyp__SnapTask *
save_task(const struct gyp_task *t)
{
	Gyp__SnapTask *st = g_new(Gyp__SnapTask, 1);

	gyp__snap_task__init(st);
	st->state = t->state;
	st->attempt = t->attempt;
	st->endpoint = t->endpoint;
	st->entry = t->entry;
	st->finish = t->finish;
	st->changed_ms = t->changed_ms;
	st->failures = t->failures;
	st->last = t->last;
	return st;
}

static Gyp__SnapJob *
save_job(const struct gyp_job *job)
{
	Gyp__SnapJob *sj = g_new(Gyp__SnapJob, 1);
	uint32_t i;

	gyp__snap_job__init(sj);
	sj->id = job->id;
	sj->seq = job->seq;
	sj->finished_seq = job->finished_seq;
	sj->spec = job->spec;
	sj->submitted_ms = job->submitted_ms;
	sj->finished_ms = job->finished_ms;
	sj->outcome = job->outcome;
	sj->cancelled = job->cancelled;
	sj->reason = job->reason != NULL ? job->reason : "";
	sj->n_tasks = job->n_tasks;
	sj->tasks = g_new(Gyp__SnapTask *, job->n_tasks);
	for (i = 0; i < job->n_tasks; i++)
		sj->tasks[i] = save_task(&job->tasks[i]);
	return sj;
}

static void
free_snap_job(Gyp__SnapJob *sj)
{
	size_t i;

	for (i = 0; i < sj->n_tasks; i++)
		g_free(sj->tasks[i]);
	g_free(sj->tasks);
	g_free(sj);
}

static gint
by_seq(gconstpointer a, gconstpointer b)
{
	const Gyp__SnapJob *x = *(Gyp__SnapJob *const *)a;
	const Gyp__SnapJob *y = *(Gyp__SnapJob *const *)b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static GPtrArray *
save_jobs(const struct gyp_state *s)
{
	GPtrArray *list = g_ptr_array_new();
	uint32_t i;

	for (i = 0; i < gyp_table_size(s->jobs); i++) {
		const struct gyp_job *job = gyp_table_at(s->jobs, i, NULL);

		if (job != NULL)
			g_ptr_array_add(list, save_job(job));
	}
	g_ptr_array_sort(list, by_seq);
	return list;
}

static GPtrArray *
save_endpoints(const struct gyp_state *s)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	uint32_t i;

	for (i = 0; i < gyp_table_size(s->endpoints); i++) {
		const struct gyp_endpoint *ep =
		    gyp_table_at(s->endpoints, i, NULL);
		Gyp__SnapEndpoint *se;

		if (ep == NULL)
			continue;
		se = g_new(Gyp__SnapEndpoint, 1);
		gyp__snap_endpoint__init(se);
		se->id = ep->id;
		se->spec = ep->spec;
		se->state = ep->state;
		g_ptr_array_add(list, se);
	}
	return list;
}

static GPtrArray *
save_rules(const struct gyp_state *s)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	guint i;

	for (i = 0; i < s->rules->len; i++) {
		const struct gyp_rules_version *v = s->rules->pdata[i];
		Gyp__SnapRules *sr = g_new(Gyp__SnapRules, 1);

		gyp__snap_rules__init(sr);
		sr->version = v->version;
		sr->time_ms = v->time_ms;
		sr->cmd = v->cmd;
		g_ptr_array_add(list, sr);
	}
	return list;
}

static GArray *
save_generations(const struct gyp_table *t)
{
	GArray *gens = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		uint32_t gen = gyp_table_generation(t, i);

		g_array_append_val(gens, gen);
	}
	return gens;
}

static GArray *
save_retired(const struct gyp_state *s)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const GList *l;

	for (l = s->retired_order.head; l != NULL; l = l->next)
		g_array_append_vals(hashes, l->data, 1);
	return hashes;
}

GBytes *
gyp_state_save(const struct gyp_state *s)
{
	Gyp__Snapshot snap = GYP__SNAPSHOT__INIT;
	GPtrArray *jobs = save_jobs(s);
	GPtrArray *endpoints = save_endpoints(s);
	GPtrArray *rules = save_rules(s);
	GArray *job_gens = save_generations(s->jobs);
	GArray *endpoint_gens = save_generations(s->endpoints);
	GArray *retired = save_retired(s);
	uint8_t *bytes;
	size_t len;
	guint i;

	snap.time_ms = s->time_ms;
	snap.next_seq = s->next_seq;
	snap.n_jobs = jobs->len;
	snap.jobs = (Gyp__SnapJob **)jobs->pdata;
	snap.n_endpoints = endpoints->len;
	snap.endpoints = (Gyp__SnapEndpoint **)endpoints->pdata;
	snap.n_rules = rules->len;
	snap.rules = (Gyp__SnapRules **)rules->pdata;
	snap.n_job_gens = job_gens->len;
	snap.job_gens = (uint32_t *)(void *)job_gens->data;
	snap.n_endpoint_gens = endpoint_gens->len;
	snap.endpoint_gens = (uint32_t *)(void *)endpoint_gens->data;
	snap.n_retired_keys = retired->len;
	snap.retired_keys = (uint64_t *)(void *)retired->data;
	len = gyp__snapshot__get_packed_size(&snap);
	bytes = g_malloc(len + 1);
	gyp__snapshot__pack(&snap, bytes);

	for (i = 0; i < jobs->len; i++)
		free_snap_job(jobs->pdata[i]);
	g_ptr_array_free(jobs, TRUE);
	g_ptr_array_free(endpoints, TRUE);
	g_ptr_array_free(rules, TRUE);
	g_array_free(job_gens, TRUE);
	g_array_free(endpoint_gens, TRUE);
	g_array_free(retired, TRUE);
	return g_bytes_new_take(bytes, len);
}

static void
restore_task(struct gyp_state *s, struct gyp_job *job, uint32_t index,
    const Gyp__SnapTask *st)
{
	struct gyp_task *t = &job->tasks[index];
	struct gyp_task_ref ref = {.job = job->id, .task = index};
	struct gyp_endpoint *ep;

	t->state = st->state;
	t->attempt = st->attempt;
	t->endpoint = st->endpoint;
	t->entry = st->entry;
	t->changed_ms = st->changed_ms;
	t->failures = st->failures;
	t->last = st->last;
	if (st->finish != NULL)
		t->finish = gyp_message_copy(&st->finish->base);
	job->n_queued += t->state == GYP_TASK_QUEUED;
	if (t->state != GYP_TASK_PLACED)
		return;
	job->n_placed++;
	ep = gyp_table_get(s->endpoints, t->endpoint);
	g_assert(ep != NULL);
	gyp_res_add(&ep->booked, &job->size);
	g_array_append_val(ep->attempts, ref);
}

static bool
restore_job(struct gyp_state *s, const Gyp__SnapJob *sj)
{
	struct gyp_job *job = gyp_table_restore(s->jobs, sj->id);
	uint32_t i;

	if (job == NULL || sj->spec == NULL || sj->n_tasks != sj->spec->tasks)
		return false;
	init_job(s, job, sj->id, sj->spec);
	job->seq = sj->seq;
	job->finished_seq = sj->finished_seq;
	job->submitted_ms = sj->submitted_ms;
	job->finished_ms = sj->finished_ms;
	job->outcome = sj->outcome;
	job->cancelled = sj->cancelled;
	if (sj->reason[0] != '\0')
		job->reason = g_strdup(sj->reason);
	for (i = 0; i < job->n_tasks; i++)
		restore_task(s, job, i, sj->tasks[i]);
	if (job->n_queued > 0)
		g_queue_push_tail_link(&s->queue, &job->link);
	return true;
}

static gint
by_finish(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct gyp_state *s = user;
	const struct gyp_job *x = gyp_table_get(s->jobs, *(const uint64_t *)a);
	const struct gyp_job *y = gyp_table_get(s->jobs, *(const uint64_t *)b);

	return x->finished_seq < y->finished_seq ? -1 : 1;
}

static void
restore_finished(struct gyp_state *s)
{
	uint32_t i;

	for (i = 0; i < gyp_table_size(s->jobs); i++) {
		uint64_t id;
		const struct gyp_job *job = gyp_table_at(s->jobs, i, &id);

		if (job == NULL || job->outcome == GYP__OUTCOME__OUTCOME_NONE)
			continue;
		g_queue_push_tail(&s->finished, g_memdup2(&id, sizeof(id)));
		s->finished_bytes += job_bytes(job);
	}
	g_queue_sort(&s->finished, by_finish, s);
}

static bool
restore_tables(struct gyp_state *s, const Gyp__Snapshot *snap)
{
	size_t i;

	s->time_ms = snap->time_ms;
	s->next_seq = snap->next_seq;
	for (i = 0; i < snap->n_job_gens; i++)
		gyp_table_restore_row(s->jobs, snap->job_gens[i]);
	for (i = 0; i < snap->n_endpoint_gens; i++)
		gyp_table_restore_row(s->endpoints, snap->endpoint_gens[i]);
	for (i = 0; i < snap->n_endpoints; i++) {
		const Gyp__SnapEndpoint *se = snap->endpoints[i];
		struct gyp_endpoint *ep =
		    gyp_table_restore(s->endpoints, se->id);

		if (ep == NULL || se->spec == NULL)
			return false;
		init_endpoint(s, ep, se->id, se->spec);
		ep->state = se->state;
	}
	for (i = 0; i < snap->n_jobs; i++) {
		if (!restore_job(s, snap->jobs[i]))
			return false;
	}
	for (i = 0; i < snap->n_rules; i++)
		push_rules(s, snap->rules[i]->version, snap->rules[i]->time_ms,
		    snap->rules[i]->cmd);
	for (i = 0; i < snap->n_retired_keys; i++)
		retire_key(s, snap->retired_keys[i]);
	restore_finished(s);
	return true;
}

bool
gyp_state_restore(struct gyp_state *s, const uint8_t *data, size_t len)
{
	struct gyp_state_listener *listener = s->listener;
	Gyp__Snapshot *snap = gyp__snapshot__unpack(NULL, len, data);
	struct gyp_state *fresh;
	bool ok;

	if (snap == NULL)
		return false;
	fresh = gyp_state_new(listener);
	fresh->watcher = s->watcher;
	clear_state(s);
	*s = *fresh;
	g_free(fresh);
	ok = restore_tables(s, snap);
	gyp__snapshot__free_unpacked(snap, NULL);
	return ok;
}
