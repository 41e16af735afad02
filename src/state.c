#include <string.h>

#include "buf.h"
#include "msg.h"
#include "mutant.h"
#include "state_int.h"

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
clear_job(struct gyp_job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		gyp_message_free(job->tasks[i].finish);
	gyp_message_free(job->spec);
	g_free(job->tasks);
	g_free(job->reason);
}

static void
clear_endpoint(struct gyp_endpoint *ep)
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

void
gyp_state_set_reason(struct gyp_job *job, const char *reason)
{
	g_free(job->reason);
	job->reason = g_strdup(reason);
}

/* ---- Observer ----------------------------------------------------------- */

void
gyp_state_notify_endpoint(
    const struct gyp_state *s, const struct gyp_endpoint *ep)
{
	if (s->observer != NULL)
		s->observer->ops->endpoint(s->observer, ep->id, ep);
}

void
gyp_state_notify_queued(const struct gyp_state *s, const struct gyp_job *job)
{
	if (s->observer != NULL)
		s->observer->ops->queued(s->observer, job);
}

void
gyp_state_set_observer(struct gyp_state *s, struct gyp_state_observer *observer)
{
	s->observer = observer;
}

/* ---- Retention --------------------------------------------------------- */

void
gyp_state_retire_key(struct gyp_state *s, uint64_t hash, bool had_job)
{
	if (g_hash_table_contains(s->retired, &hash))
		return;
	g_hash_table_insert(s->retired, g_memdup2(&hash, sizeof(hash)),
	    GINT_TO_POINTER(had_job));
	g_queue_push_tail(&s->retired_order, g_memdup2(&hash, sizeof(hash)));
	if (s->retired_order.length > GYP_RETIRED_KEYS_MAX) {
		uint64_t *oldest = g_queue_pop_head(&s->retired_order);

		g_hash_table_remove(s->retired, oldest);
		g_free(oldest);
	}
}

uint64_t
gyp_state_job_bytes(const struct gyp_job *job)
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
drop_job(struct gyp_state *s, struct gyp_job *job)
{
	char *key = make_key(job->spec->team, job->spec->key);

	gyp_state_retire_key(
	    s, key_hash(job->spec->team, job->spec->key), true);
	g_hash_table_remove(s->keys, key);
	g_free(key);
	s->finished_bytes -= gyp_state_job_bytes(job);
	clear_job(job);
	gyp_table_remove(s->jobs, job->id);
}

static bool
exceeds_retention(const struct gyp_state *s, const struct gyp_job *job)
{
	return s->finished.length > GYP_RETAINED_JOBS_MAX ||
	       s->finished_bytes > GYP_RETAINED_BYTES_MAX ||
	       job->finished_ms + GYP_JOB_RETENTION_MS < s->time_ms;
}

static void
drop_expired_jobs(struct gyp_state *s)
{
	uint64_t *id;

	while ((id = g_queue_peek_head(&s->finished)) != NULL) {
		struct gyp_job *job = gyp_table_get(s->jobs, *id);

		g_assert(job != NULL);
		if (!exceeds_retention(s, job))
			break;
		drop_job(s, job);
		g_free(g_queue_pop_head(&s->finished));
	}
}

/* ---- Commands ---------------------------------------------------------- */

static bool
spec_is_valid(const Gyp__JobSpec *spec)
{
	return spec != NULL && spec->size != NULL && spec->tasks >= 1 &&
	       spec->tasks <= GYP_TASKS_MAX && spec->key[0] != '\0' &&
	       spec->payload.len <= GYP_PAYLOAD_MAX;
}

struct gyp_job *
gyp_state_init_job(struct gyp_state *s, struct gyp_job *job, uint64_t id,
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

	if (!spec_is_valid(spec) ||
	    gyp_state_job_by_key(s, spec->team, spec->key) != NULL ||
	    gyp_state_key_retired(s, spec->team, spec->key))
		return;
	job = gyp_table_add(s->jobs, &id);
	gyp_state_init_job(s, job, id, spec);
	job->seq = s->next_seq++;
	job->submitted_ms = s->time_ms;
	job->n_queued = job->n_tasks;
	g_queue_push_tail_link(&s->queue, &job->link);
	gyp_state_notify_queued(s, job);
}

static bool
placement_is_valid(const struct gyp_state *s, const Gyp__Placement *p)
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
	return p->attempt == 1 || job->spec->idempotent ||
	       GYP_MUTANT(RETRY_NON_IDEMPOTENT);
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
	gyp_state_set_task(s, job, t, GYP_TASK_PLACED);
	gyp_state_notify_endpoint(s, ep);
	if (s->observer != NULL)
		s->observer->ops->booked(s->observer, job, p->task);
}

static void
undo_placement(struct gyp_state *s, const Gyp__Placement *p)
{
	struct gyp_job *job = gyp_table_get(s->jobs, p->job);
	struct gyp_task *t = &job->tasks[p->task];

	gyp_state_release_booking(s, job, t, NULL);
	t->attempt--;
	gyp_state_set_task(s, job, t, GYP_TASK_QUEUED);
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

/* One command must place all tasks of a gang. */
static bool
gangs_are_fully_placed(const struct gyp_state *s, const Gyp__CmdPlace *cmd)
{
	size_t i;

	for (i = 0; i < cmd->n_places; i++) {
		const struct gyp_job *job =
		    gyp_table_get(s->jobs, cmd->places[i]->job);

		if (job->spec->kind == GYP__KIND__KIND_GANG &&
		    job->n_queued > 0)
			return false;
	}
	return true;
}

static void
apply_place(struct gyp_state *s, const Gyp__CmdPlace *cmd)
{
	size_t i, done;

	for (done = 0; done < cmd->n_places; done++) {
		if (!placement_is_valid(s, cmd->places[done]) ||
		    !fits_endpoint(s, cmd->places[done]))
			break;
		place_task(s, cmd->places[done]);
	}
	if (done < cmd->n_places || !gangs_are_fully_placed(s, cmd)) {
		while (done > 0)
			undo_placement(s, cmd->places[--done]);
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
	/* Ignores a late report of an earlier attempt. */
	if (t->state != GYP_TASK_PLACED || t->attempt != cmd->attempt)
		return;
	gyp_state_end_attempt(s, job, cmd->task, cmd);
}

struct gyp_endpoint *
gyp_state_init_endpoint(struct gyp_state *s, struct gyp_endpoint *ep,
    uint64_t id, const Gyp__CmdEndpoint *spec)
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
 * Ignores a name that has a row. A new incarnation of an endpoint gets a row
 * only after the old one is removed, so that capacity which earlier attempts
 * may still use is never booked twice.
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
	gyp_state_init_endpoint(s, ep, id, cmd);
	gyp_state_notify_endpoint(s, ep);
}

static gint
compare_task_refs(gconstpointer a, gconstpointer b)
{
	const struct gyp_task_ref *x = a, *y = b;

	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return x->task < y->task ? -1 : x->task > y->task;
}

/* Sorted by handle, so that every replica ends them in the same order. */
static void
end_all_attempts(struct gyp_state *s, struct gyp_endpoint *ep)
{
	Gyp__CmdFinish lost = GYP__CMD_FINISH__INIT;
	GArray *refs;
	guint i;

	lost.outcome = GYP__OUTCOME__OUTCOME_UNKNOWN;
	lost.reason = "endpoint lost";
	g_array_sort(ep->attempts, compare_task_refs);
	refs = g_array_copy(ep->attempts);
	for (i = 0; i < refs->len; i++) {
		struct gyp_task_ref ref =
		    g_array_index(refs, struct gyp_task_ref, i);
		struct gyp_job *job = gyp_table_get(s->jobs, ref.job);

		lost.job = ref.job;
		lost.task = ref.task;
		lost.attempt = job->tasks[ref.task].attempt;
		gyp_state_end_attempt(s, job, ref.task, &lost);
	}
	g_array_free(refs, TRUE);
}

/*
 * A drained endpoint returns to work only by an operator's command, which names
 * that state in `from`.
 */
static bool
may_change_endpoint(
    const struct gyp_endpoint *ep, const Gyp__CmdEndpointState *cmd)
{
	if (cmd->state < GYP_ENDPOINT_ACTIVE ||
	    cmd->state > GYP_ENDPOINT_DRAINED)
		return false;
	if (cmd->from != 0 && cmd->from != (uint32_t)ep->state)
		return false;
	if (cmd->state == GYP_ENDPOINT_REMOVED)
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
	if (cmd->state != GYP_ENDPOINT_REMOVED) {
		ep->state = cmd->state;
		gyp_state_notify_endpoint(s, ep);
		return;
	}
	end_all_attempts(s, ep);
	if (s->observer != NULL)
		s->observer->ops->endpoint(s->observer, ep->id, NULL);
	g_hash_table_remove(s->endpoint_names, ep->spec->name);
	clear_endpoint(ep);
	gyp_table_remove(s->endpoints, cmd->endpoint);
}

static void
apply_cancel(struct gyp_state *s, const Gyp__CmdCancel *cmd)
{
	struct gyp_job *job = gyp_table_get(s->jobs, cmd->job);

	if (job == NULL && cmd->key[0] != '\0') {
		job = gyp_state_job_by_key(s, cmd->team, cmd->key);
		if (job == NULL)
			gyp_state_retire_key(
			    s, key_hash(cmd->team, cmd->key), false);
	}
	if (job != NULL && !cmd->unless_job)
		gyp_state_cancel_job(s, job, cmd->reason);
}

void
gyp_state_push_rules(struct gyp_state *s, uint64_t version, uint64_t time_ms,
    const Gyp__CmdRules *cmd)
{
	struct gyp_rules_version *v = g_new0(struct gyp_rules_version, 1);

	v->version = version;
	v->time_ms = time_ms;
	v->cmd = gyp_message_copy(&cmd->base);
	g_ptr_array_add(s->rules, v);
	if (s->rules->len > GYP_RULES_VERSIONS_MAX)
		g_ptr_array_remove_index(s->rules, 0);
}

static void
apply_rules(struct gyp_state *s, const Gyp__CmdRules *cmd)
{
	const struct gyp_rules_version *newest = gyp_state_rules(s);
	uint64_t version = newest != NULL ? newest->version : 0;

	if (cmd->base_version != version ||
	    gyp_state_rules_by_request(s, cmd->request) != NULL)
		return;
	gyp_state_push_rules(s, version + 1, s->time_ms, cmd);
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
		gyp_flows_apply(s->flows, s->time_ms, cmd);
		break;
	}
}

static void
finish_batch(struct gyp_state *s)
{
	drop_expired_jobs(s);
	gyp_flows_drop_expired(s->flows, s->time_ms);
#ifdef GYP_CHECKED
	gyp_state_check(s);
#endif
}

void
gyp_state_apply(struct gyp_state *s, const Gyp__Batch *batch)
{
	size_t i;

	s->time_ms = MAX(s->time_ms, batch->time_ms);
	for (i = 0; i < batch->n_cmds; i++)
		apply_cmd(s, batch->cmds[i]);
	finish_batch(s);
}

static void
take_manifest(struct gyp_state *s, Gyp__Cmd *cmd)
{
	gyp_flows_take_manifest(s->flows, s->time_ms, cmd->manifest);
	cmd->manifest = NULL;
	cmd->c_case = GYP__CMD__C__NOT_SET;
}

void
gyp_state_take(struct gyp_state *s, Gyp__Batch *batch)
{
	size_t i;

	s->time_ms = MAX(s->time_ms, batch->time_ms);
	for (i = 0; i < batch->n_cmds; i++) {
		if (batch->cmds[i]->c_case == GYP__CMD__C_MANIFEST)
			take_manifest(s, batch->cmds[i]);
		else
			apply_cmd(s, batch->cmds[i]);
	}
	finish_batch(s);
	gyp_message_free(batch);
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
	s->flows = gyp_flows_new();
	return s;
}

void
gyp_state_clear(struct gyp_state *s)
{
	uint32_t i;

	for (i = 0; i < gyp_table_size(s->jobs); i++) {
		struct gyp_job *job = gyp_table_at(s->jobs, i, NULL);

		if (job != NULL)
			clear_job(job);
	}
	for (i = 0; i < gyp_table_size(s->endpoints); i++) {
		struct gyp_endpoint *ep = gyp_table_at(s->endpoints, i, NULL);

		if (ep != NULL)
			clear_endpoint(ep);
	}
	g_hash_table_destroy(s->keys);
	g_hash_table_destroy(s->endpoint_names);
	g_hash_table_destroy(s->retired);
	g_queue_clear_full(&s->finished, g_free);
	g_queue_clear_full(&s->retired_order, g_free);
	g_ptr_array_free(s->rules, TRUE);
	gyp_table_free(s->jobs);
	gyp_table_free(s->endpoints);
	gyp_flows_free(s->flows);
}

void
gyp_state_free(struct gyp_state *s)
{
	if (s == NULL)
		return;
	gyp_state_clear(s);
	g_free(s);
}

uint64_t
gyp_state_time(const struct gyp_state *s)
{
	return s->time_ms;
}

struct gyp_flows *
gyp_state_flows(const struct gyp_state *s)
{
	return s->flows;
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

bool
gyp_state_key_refused(
    const struct gyp_state *s, const char *team, const char *key)
{
	uint64_t hash = key_hash(team, key);
	gpointer had_job;

	return g_hash_table_lookup_extended(
		   s->retired, &hash, NULL, &had_job) &&
	       !GPOINTER_TO_INT(had_job);
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
