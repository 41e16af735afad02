#include <string.h>

#include "decision_cmds.h"
#include "replay_int.h"

/* Placements per round; must equal PLACEMENTS_MAX in replica_batch.c. */
#define PLACEMENTS_MAX 512

/* Time from a start at a bad endpoint to its failure, in ms. */
#define BAD_ENDPOINT_MS 5

/* Time that an evicted task takes to checkpoint, in ms. */
#define CHECKPOINT_MS 100

/* Interval of rounds and deadline checks while jobs are queued, in ms. */
#define ROUND_INTERVAL_MS 100

/* ---- Heap of attempt ends ---------------------------------------------- */

static bool
earlier(const struct attempt_end *a, const struct attempt_end *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
swap(GPtrArray *heap, guint a, guint b)
{
	gpointer tmp = heap->pdata[a];

	heap->pdata[a] = heap->pdata[b];
	heap->pdata[b] = tmp;
}

static void
push_attempt_end(struct gyp_replay *r, const struct attempt_end *e)
{
	GPtrArray *heap = r->attempt_ends;
	guint i = heap->len;
	struct attempt_end *copy = g_memdup2(e, sizeof(*e));

	copy->seq = r->next_seq++;
	g_ptr_array_add(heap, copy);
	while (i > 0 && earlier(heap->pdata[i], heap->pdata[(i - 1) / 2])) {
		swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct attempt_end *
pop_attempt_end(GPtrArray *heap)
{
	struct attempt_end *top = heap->pdata[0];
	guint i = 0;

	heap->pdata[0] = heap->pdata[heap->len - 1];
	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	for (;;) {
		guint left = 2 * i + 1, least = i;

		if (left < heap->len &&
		    earlier(heap->pdata[left], heap->pdata[least]))
			least = left;
		if (left + 1 < heap->len &&
		    earlier(heap->pdata[left + 1], heap->pdata[least]))
			least = left + 1;
		if (least == i)
			return top;
		swap(heap, i, least);
		i = least;
	}
}

/* ---- Commands ---------------------------------------------------------- */

static void
apply(struct gyp_replay *r, Gyp__Cmd *cmd)
{
	Gyp__Batch batch = GYP__BATCH__INIT;

	batch.time_ms = r->now;
	batch.n_cmds = 1;
	batch.cmds = &cmd;
	gyp_state_apply(r->state, &batch);
}

static void
apply_cmd(void *arg, Gyp__Cmd *cmd)
{
	apply(arg, cmd);
}

static void
cancel_job(struct gyp_replay *r, uint64_t job, const char *reason)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdCancel c = GYP__CMD_CANCEL__INIT;

	c.job = job;
	c.reason = (char *)reason;
	cmd.c_case = GYP__CMD__C_CANCEL;
	cmd.cancel = &c;
	apply(r, &cmd);
}

static void
set_endpoint_state(struct gyp_replay *r, uint64_t id,
    enum gyp_endpoint_state from, enum gyp_endpoint_state state)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

	es.endpoint = id;
	es.from = from;
	es.state = state;
	cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
	cmd.endpoint_state = &es;
	apply(r, &cmd);
}

static void
finish_task(
    struct gyp_replay *r, const struct attempt_end *e, Gyp__Outcome outcome)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;

	f.job = e->job;
	f.task = e->task;
	f.attempt = e->attempt;
	f.outcome = outcome;
	f.checkpointed = e->checkpoint;
	cmd.c_case = GYP__CMD__C_FINISH;
	cmd.finish = &f;
	apply(r, &cmd);
}

/* ---- Packing ----------------------------------------------------------- */

/* Adds the bookings from now until end to the packing sums. */
static void
integrate_packing(struct gyp_replay *r, uint64_t end)
{
	const struct gyp_table *t = gyp_state_endpoints(r->state);
	double ms = (double)(end - r->now);
	uint32_t i;

	if (!r->in_window || ms == 0)
		return;
	r->time_ms += ms;
	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep == NULL)
			continue;
		if (ep->attempts->len == 0) {
			r->empty_ms += ms;
			continue;
		}
		r->used_cpu += ms * ep->booked.cpu_milli;
		r->used_memory += ms * (double)ep->booked.memory;
		r->cap_cpu += ms * ep->capacity.cpu_milli;
		r->cap_memory += ms * (double)ep->capacity.memory;
	}
}

/* ---- Starts and ends --------------------------------------------------- */

static struct gyp_replay *
from_listener(struct gyp_state_listener *l)
{
	return (struct gyp_replay *)l; /* listener is the first member */
}

static void
on_placed(struct gyp_state_listener *l, struct gyp_job *job, uint32_t task)
{
	struct gyp_replay *r = from_listener(l);
	struct replay_job *j = g_hash_table_lookup(r->jobs_by_id, &job->id);
	const struct gyp_task *t = &job->tasks[task];
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint(r->state, t->endpoint);
	struct attempt_end e = {
	    .job = job->id, .task = task, .attempt = t->attempt};
	bool bad = g_hash_table_contains(r->bad_endpoints, ep->spec->name);

	r->starts++;
	r->retries += t->attempt > 1;
	if (j->wait_ms[task] == UINT64_MAX) {
		double waited = (double)(r->now - j->event.at);

		j->wait_ms[task] = r->now - j->event.at;
		g_array_append_val(
		    gyp_replay_class_stats(r, j->event.class_name)->waits,
		    waited);
	}
	if (task == 0) {
		g_free(j->endpoint);
		j->endpoint = g_strdup(ep->spec->name);
	}
	e.at = r->now + (bad ? BAD_ENDPOINT_MS : j->remaining_ms[task]);
	push_attempt_end(r, &e);
}

static void
on_attempt_ended(
    struct gyp_state_listener *l, struct gyp_job *job, uint32_t task)
{
	struct gyp_replay *r = from_listener(l);
	const struct replay_job *j =
	    g_hash_table_lookup(r->jobs_by_id, &job->id);

	if (r->now <= r->window_end)
		gyp_replay_team_stats(r, j->event.team)->served +=
		    (double)(r->now - job->tasks[task].changed_ms) *
		    job->size.cpu_milli;
}

static void
on_finished(struct gyp_state_listener *l, struct gyp_job *job)
{
	struct gyp_replay *r = from_listener(l);

	r->outcomes[job->outcome]++;
}

/* Cancelled tasks stop without delay. */
static void
on_stop_attempts(struct gyp_state_listener *l, struct gyp_job *job)
{
	struct gyp_replay *r = from_listener(l);
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		struct attempt_end e = {.at = r->now,
		    .job = job->id,
		    .task = i,
		    .attempt = job->tasks[i].attempt,
		    .checkpoint = true};

		if (job->tasks[i].state == GYP_TASK_PLACED)
			push_attempt_end(r, &e);
	}
}

static const struct gyp_state_listener_ops listener_ops = {.placed = on_placed,
    .attempt_ended = on_attempt_ended,
    .job_finished = on_finished,
    .stop_attempts = on_stop_attempts};

static void
end_attempt(struct gyp_replay *r, const struct attempt_end *e)
{
	const struct gyp_job *job = gyp_state_job(r->state, e->job);
	struct replay_job *j;
	const struct gyp_task *t;
	const struct gyp_endpoint *ep;
	bool fails;

	if (job == NULL)
		return;
	t = &job->tasks[e->task];
	if (t->state != GYP_TASK_PLACED || t->attempt != e->attempt)
		return;
	j = g_hash_table_lookup(r->jobs_by_id, &e->job);
	ep = gyp_state_endpoint(r->state, t->endpoint);
	fails = j->event.bad || e->checkpoint ||
		g_hash_table_contains(r->bad_endpoints, ep->spec->name);
	if (e->checkpoint)
		j->remaining_ms[e->task] -=
		    MIN(j->remaining_ms[e->task] - 1, r->now - t->changed_ms);
	finish_task(r, e,
	    fails ? GYP__OUTCOME__OUTCOME_FAILED : GYP__OUTCOME__OUTCOME_DONE);
}

/* ---- Decisions --------------------------------------------------------- */

static void
apply_decision(struct gyp_replay *r)
{
	const struct gyp_decision_sink sink = {.cmd = apply_cmd, .arg = r};
	struct gyp_decision *d = r->decision;
	guint i;

	gyp_decision_cmds(d, r->state, &sink);
	r->refused += d->refusals->len;
	for (i = 0; i < d->evictions->len; i++) {
		const struct gyp_eviction *v =
		    &g_array_index(d->evictions, struct gyp_eviction, i);
		const struct gyp_job *job = gyp_state_job(r->state, v->job);
		struct attempt_end e = {.at = r->now + CHECKPOINT_MS,
		    .job = v->job,
		    .task = v->task,
		    .attempt = job->tasks[v->task].attempt,
		    .checkpoint = true};

		push_attempt_end(r, &e);
		r->evictions++;
	}
}

static void
expire_deadlines(struct gyp_replay *r)
{
	const GList *l = gyp_state_queue(r->state)->head;

	while (l != NULL) {
		const struct gyp_job *job = l->data;

		l = l->next;
		if (job->spec->deadline_ms == 0 || job->n_placed > 0 ||
		    r->now < job->submitted_ms + job->spec->deadline_ms)
			continue;
		r->expired++;
		cancel_job(r, job->id, "not started by its deadline");
	}
}

static void
decide(struct gyp_replay *r)
{
	if (r->now >= r->decide_at) {
		r->decide_at = r->now + ROUND_INTERVAL_MS;
		expire_deadlines(r);
	}
	while (gyp_policy_is_due(r->policy, r->now)) {
		gyp_decision_free(r->decision);
		r->decision = gyp_decision_new();
		gyp_policy_decide(
		    r->policy, r->now, PLACEMENTS_MAX, r->decision);
		r->rounds++;
		if (r->decision->placements->len + r->decision->refusals->len +
			r->decision->transitions->len ==
		    0)
			break;
		apply_decision(r);
	}
}

/* Processes attempt ends and rounds in order until virtual time `end`. */
static void
run_until(struct gyp_replay *r, uint64_t end)
{
	for (;;) {
		uint64_t next = end;
		struct attempt_end *e = NULL;

		if (r->attempt_ends->len > 0)
			next = MIN(next,
			    ((struct attempt_end *)r->attempt_ends->pdata[0])
				->at);
		if (gyp_state_queue(r->state)->length > 0)
			next = MIN(next, r->decide_at);
		next = MAX(next, r->now);
		integrate_packing(r, next);
		r->now = next;
		while (r->attempt_ends->len > 0 &&
		       ((struct attempt_end *)r->attempt_ends->pdata[0])->at <=
			   r->now) {
			e = pop_attempt_end(r->attempt_ends);
			end_attempt(r, e);
			g_free(e);
		}
		decide(r);
		if (r->now >= end)
			return;
	}
}

/* ---- Events ------------------------------------------------------------ */

static void
announce(struct gyp_replay *r, const struct gyp_trace_event *e)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res cap = GYP__RES__INIT;

	cap.cpu_milli = e->size.cpu_milli;
	cap.memory = e->size.memory;
	cap.accel = e->size.accel;
	cap.slots = e->size.slots;
	ep.name = (char *)e->name;
	ep.rack = (char *)e->rack;
	ep.data_centre = (char *)e->data_centre;
	ep.capacity = &cap;
	cmd.c_case = GYP__CMD__C_ENDPOINT;
	cmd.endpoint = &ep;
	if (e->bad)
		g_hash_table_add(r->bad_endpoints, g_strdup(e->name));
	apply(r, &cmd);
}

static void
add_job(struct gyp_replay *r, const struct gyp_trace_event *e,
    const struct gyp_job *job)
{
	struct replay_job *j = g_new0(struct replay_job, 1);
	uint32_t i;

	j->id = job->id;
	j->event = *e;
	j->remaining_ms = g_new(uint64_t, e->tasks);
	j->wait_ms = g_new(uint64_t, e->tasks);
	for (i = 0; i < e->tasks; i++) {
		j->remaining_ms[i] = MAX(e->true_run_ms, 1);
		j->wait_ms[i] = UINT64_MAX;
	}
	g_ptr_array_add(r->jobs, j);
	g_hash_table_insert(r->jobs_by_id, &j->id, j);
	gyp_replay_class_stats(r, e->class_name)->jobs++;
	gyp_replay_team_stats(r, e->team)->demand +=
	    (double)e->true_run_ms * e->size.cpu_milli * e->tasks;
}

static void
submit(struct gyp_replay *r, const struct gyp_trace_event *e)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdSubmit sub = GYP__CMD_SUBMIT__INIT;
	Gyp__JobSpec spec = GYP__JOB_SPEC__INIT;
	Gyp__Res size = GYP__RES__INIT;
	const struct gyp_job *job;

	size.cpu_milli = e->size.cpu_milli;
	size.memory = e->size.memory;
	size.accel = e->size.accel;
	size.slots = e->size.slots;
	spec.kind = e->kind;
	spec.team = (char *)e->team;
	spec.class_ = (char *)e->class_name;
	spec.key = (char *)e->name;
	spec.idempotent = e->idempotent;
	spec.tasks = e->tasks;
	spec.size = &size;
	spec.deadline_ms = e->deadline_ms;
	spec.run_ms = e->run_ms;
	sub.spec = &spec;
	cmd.c_case = GYP__CMD__C_SUBMIT;
	cmd.submit = &sub;
	apply(r, &cmd);
	job = gyp_state_job_by_key(r->state, e->team, e->name);
	if (job != NULL && g_hash_table_lookup(r->jobs_by_id, &job->id) == NULL)
		add_job(r, e, job);
}

static void
remove_endpoint(struct gyp_replay *r, const struct gyp_trace_event *e)
{
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint_by_name(r->state, e->name);

	if (ep != NULL)
		set_endpoint_state(r, ep->id, 0,
		    e->type == GYP_TRACE_LOST ? GYP_ENDPOINT_REMOVED
					      : GYP_ENDPOINT_LEAVING);
}

static void
cancel_by_key(struct gyp_replay *r, const struct gyp_trace_event *e)
{
	const struct gyp_job *job =
	    gyp_state_job_by_key(r->state, e->team, e->name);

	if (job != NULL)
		cancel_job(r, job->id, "cancelled by the caller");
}

void
gyp_replay_event(struct gyp_replay *r, const struct gyp_trace_event *e)
{
	if (e->at > r->now)
		run_until(r, e->at);
	switch (e->type) {
	case GYP_TRACE_ENDPOINT:
		announce(r, e);
		break;
	case GYP_TRACE_SUBMIT:
		submit(r, e);
		break;
	case GYP_TRACE_CANCEL:
		cancel_by_key(r, e);
		break;
	case GYP_TRACE_LEAVE:
	case GYP_TRACE_LOST:
	default:
		remove_endpoint(r, e);
		break;
	}
	r->window_end = MAX(r->window_end, e->at);
}

void
gyp_replay_finish(struct gyp_replay *r, uint64_t ms)
{
	uint64_t end = r->now + ms;

	run_until(r, r->now);
	r->in_window = false;
	while (r->now < end && (r->attempt_ends->len > 0 ||
				   gyp_state_queue(r->state)->length > 0))
		run_until(r, MIN(end, r->now + ROUND_INTERVAL_MS * 10));
}

/* ---- Construction ------------------------------------------------------ */

static void
free_class(gpointer p)
{
	struct class_stats *c = p;

	g_array_free(c->waits, TRUE);
	g_free(c->name);
	g_free(c);
}

static void
free_team(gpointer p)
{
	g_free(((struct team_stats *)p)->name);
	g_free(p);
}

static void
free_job(gpointer p)
{
	struct replay_job *j = p;

	g_free(j->remaining_ms);
	g_free(j->wait_ms);
	g_free(j->endpoint);
	g_free(j);
}

struct gyp_replay *
gyp_replay_new(const struct gyp_policy_ops *ops, uint32_t seed)
{
	struct gyp_replay *r = g_new0(struct gyp_replay, 1);

	r->listener.ops = &listener_ops;
	r->state = gyp_state_new(&r->listener);
	r->policy = gyp_policy_new(ops, seed);
	gyp_policy_attach(r->policy, r->state, 0);
	r->decision = gyp_decision_new();
	r->attempt_ends = g_ptr_array_new();
	r->jobs_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	r->jobs = g_ptr_array_new_with_free_func(free_job);
	r->bad_endpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->classes = g_ptr_array_new_with_free_func(free_class);
	r->teams = g_ptr_array_new_with_free_func(free_team);
	r->in_window = true;
	return r;
}

struct gyp_policy *
gyp_replay_policy(struct gyp_replay *r)
{
	return r->policy;
}

void
gyp_replay_free(struct gyp_replay *r)
{
	if (r == NULL)
		return;
	gyp_decision_free(r->decision);
	gyp_policy_free(r->policy);
	gyp_state_free(r->state);
	g_ptr_array_set_free_func(r->attempt_ends, g_free);
	g_ptr_array_free(r->attempt_ends, TRUE);
	g_hash_table_destroy(r->jobs_by_id);
	g_ptr_array_free(r->jobs, TRUE);
	g_hash_table_destroy(r->bad_endpoints);
	g_ptr_array_free(r->classes, TRUE);
	g_ptr_array_free(r->teams, TRUE);
	g_free(r);
}
