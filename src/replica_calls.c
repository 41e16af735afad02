#include <string.h>

#include "msg.h"
#include "mutant.h"
#include "replica_int.h"

void
gyp_free_waiting_call(gpointer p)
{
	struct gyp_waiting_call *w = p;

	gyp_message_free(w->call);
	g_free(w);
}

/* ---- Replies ----------------------------------------------------------- */

void
gyp_replica_reply(struct gyp_replica *r, uint64_t entry, const Gyp__Reply *msg)
{
	struct gyp_entry_peer *peer;

	if (entry == GYP_LOCAL_ENTRY) {
		g_queue_push_tail(
		    &r->local_replies, gyp_message_copy(&msg->base));
		return;
	}
	peer = gyp_replica_entry_peer(r, entry);
	g_ptr_array_add(peer->replies, gyp_message_copy(&msg->base));
	peer->frame_due = true;
}

static void
reply_code(struct gyp_replica *r, uint64_t entry, uint64_t call, Gyp__Code code,
    const char *message)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	msg.id = call;
	msg.code = code;
	msg.message = (char *)message;
	gyp_replica_reply(r, entry, &msg);
}

/* Makes the report on one task; it includes the answer only on request. */
static Gyp__CmdFinish *
make_finish(const struct gyp_job *job, uint32_t index, bool answer)
{
	const struct gyp_task *t = &job->tasks[index];
	Gyp__CmdFinish *f = g_new(Gyp__CmdFinish, 1);

	gyp__cmd_finish__init(f);
	if (t->finish != NULL)
		*f = *t->finish;
	f->job = job->id;
	f->task = index;
	f->attempt = t->attempt;
	/* A task of a gang that is restarting may still run. */
	f->outcome = GYP__OUTCOME__OUTCOME_NONE;
	if (t->state == GYP_TASK_ENDED && (!job->restarting || job->cancelled))
		f->outcome = t->last_outcome;
	if (!answer) {
		f->answer.data = NULL;
		f->answer.len = 0;
	}
	return f;
}

/* Replies with the job, and with the answer of one task; UINT32_MAX: none. */
static void
reply_job(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const struct gyp_job *job, uint32_t answer_task)
{
	Gyp__Reply msg = GYP__REPLY__INIT;
	Gyp__JobView view = GYP__JOB_VIEW__INIT;
	GPtrArray *finishes = g_ptr_array_new_with_free_func(g_free);
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++)
		g_ptr_array_add(
		    finishes, make_finish(job, i, i == answer_task));
	view.job = job->id;
	view.outcome = job->outcome;
	view.reason = job->reason != NULL ? job->reason : "";
	view.tasks = job->n_tasks;
	view.running = job->n_placed;
	view.n_finishes = finishes->len;
	view.finishes = (Gyp__CmdFinish **)finishes->pdata;
	msg.id = call;
	msg.code = job->outcome == GYP__OUTCOME__OUTCOME_NONE
		       ? GYP__CODE__CODE_ACCEPTED
		       : GYP__CODE__CODE_OK;
	msg.job = &view;
	gyp_replica_reply(r, entry, &msg);
	g_ptr_array_free(finishes, TRUE);
}

static void
subscribe(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const struct gyp_job *job)
{
	GArray *list = g_hash_table_lookup(r->subscribers, &job->id);
	struct gyp_subscriber sub = {.entry = entry, .call = call};
	guint i;

	if (list == NULL) {
		list = g_array_new(FALSE, FALSE, sizeof(struct gyp_subscriber));
		g_hash_table_insert(
		    r->subscribers, g_memdup2(&job->id, sizeof(job->id)), list);
	}
	for (i = 0; i < list->len; i++) {
		const struct gyp_subscriber *old =
		    &g_array_index(list, struct gyp_subscriber, i);

		if (old->entry == entry && old->call == call)
			return;
	}
	g_array_append_val(list, sub);
}

static void
reply_and_subscribe(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const struct gyp_job *job)
{
	if (job->outcome == GYP__OUTCOME__OUTCOME_NONE)
		subscribe(r, entry, call, job);
	reply_job(r, entry, call, job, 0);
}

void
gyp_replica_job_finished(struct gyp_replica *r, struct gyp_job *job)
{
	GArray *list = g_hash_table_lookup(r->subscribers, &job->id);
	guint i;

	for (i = 0; list != NULL && i < list->len; i++) {
		const struct gyp_subscriber *sub =
		    &g_array_index(list, struct gyp_subscriber, i);

		reply_job(r, sub->entry, sub->call, job, 0);
	}
	g_hash_table_remove(r->subscribers, &job->id);
}

/* ---- Calls that write -------------------------------------------------- */

/*
 * Puts the command of a call into the next batch; the call is answered once the
 * batch is applied.
 */
void
gyp_replica_propose_call(struct gyp_replica *r, uint64_t entry,
    const Gyp__Call *call, const Gyp__Cmd *cmd)
{
	struct gyp_waiting_call *w = g_new0(struct gyp_waiting_call, 1);

	w->position = r->pending_cmds->len;
	gyp_replica_propose(r, cmd);
	w->entry = entry;
	w->call = gyp_message_copy(&call->base);
	g_ptr_array_add(r->waiting_calls, w);
}

/*
 * Answers a call whose key is refused or whose job is no longer kept; false for
 * any other key.
 */
static bool
answer_key_without_job(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const char *team, const char *key)
{
	if (gyp_state_key_refused(r->state, team, key))
		reply_code(r, entry, call, GYP__CODE__CODE_REFUSED,
		    "the key is refused, and no job ever had it");
	else if (gyp_state_key_retired(r->state, team, key))
		reply_code(r, entry, call, GYP__CODE__CODE_RETIRED,
		    "the key's job is no longer kept");
	else
		return false;
	return true;
}

/* Answers a submit from the tables; false when they do not contain its key. */
static bool
answer_submit(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__JobSpec *spec = call->submit->spec;
	const struct gyp_job *job;

	if (spec == NULL) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_BAD,
		    "no job specification");
		return true;
	}
	job = gyp_state_job_by_key(r->state, spec->team, spec->key);
	if (job != NULL && job->spec->digest != spec->digest) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_CONFLICT,
		    "the key was used for a different request");
		return true;
	}
	if (job != NULL) {
		reply_and_subscribe(r, entry, call->id, job);
		return true;
	}
	return answer_key_without_job(
	    r, entry, call->id, spec->team, spec->key);
}

static void
handle_submit(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdSubmit submit = GYP__CMD_SUBMIT__INIT;
	const struct gyp_rule *rule;
	Gyp__JobSpec spec;

	if (answer_submit(r, entry, call))
		return;
	/* The retry rule in force now applies to the job until it finishes. */
	rule = gyp_rules_retry(r->rules, call->submit->spec->class_);
	spec = *call->submit->spec;
	spec.attempts = rule->line != 0 ? rule->u.retry.attempts : 0;
	submit.spec = &spec;
	cmd.c_case = GYP__CMD__C_SUBMIT;
	cmd.submit = &submit;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

static void
handle_report(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__CmdFinish *f = call->report;
	const struct gyp_job *job = gyp_state_job(r->state, f->job);
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (job == NULL || f->task >= job->n_tasks ||
	    job->tasks[f->task].state != GYP_TASK_PLACED ||
	    job->tasks[f->task].attempt != f->attempt) {
		/*
		 * A report on an attempt that is over or not kept changes
		 * nothing; it is confirmed, so that the entry does not send it
		 * again.
		 */
		reply_code(r, entry, call->id, GYP__CODE__CODE_OK, "");
		return;
	}
	cmd.c_case = GYP__CMD__C_FINISH;
	cmd.finish = call->report;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

static void
handle_cancel(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (call->cancel->job != 0 &&
	    gyp_state_job(r->state, call->cancel->job) == NULL) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_NOT_FOUND,
		    "no such job");
		return;
	}
	cmd.c_case = GYP__CMD__C_CANCEL;
	cmd.cancel = call->cancel;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

static void
propose_endpoint_state(
    struct gyp_replica *r, uint64_t endpoint, enum gyp_endpoint_state state)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

	es.endpoint = endpoint;
	es.state = state;
	cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
	cmd.endpoint_state = &es;
	gyp_replica_propose(r, &cmd);
}

static void
reply_endpoint(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const struct gyp_endpoint *ep)
{
	Gyp__Reply msg = GYP__REPLY__INIT;

	if (!gyp_leases_grant(r->leases, ep->id, r->now)) {
		reply_code(r, entry, call, GYP__CODE__CODE_BUSY,
		    "the lease has run out");
		return;
	}
	msg.id = call;
	msg.endpoint = ep->id;
	msg.lease_ms = r->cfg.endpoint_lease_ms;
	gyp_replica_reply(r, entry, &msg);
}

/* An older incarnation must be removed before its name can be used again. */
static void
handle_announce(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint_by_name(r->state, call->announce->name);
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (ep != NULL &&
	    ep->spec->incarnation == call->announce->incarnation) {
		reply_endpoint(r, entry, call->id, ep);
		return;
	}
	if (ep != NULL) {
		if (ep->state != GYP_ENDPOINT_LEAVING)
			propose_endpoint_state(r, ep->id, GYP_ENDPOINT_LEAVING);
		reply_code(r, entry, call->id, GYP__CODE__CODE_BUSY,
		    "the name's earlier lease has not run out");
		return;
	}
	cmd.c_case = GYP__CMD__C_ENDPOINT;
	cmd.endpoint = call->announce;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

static void
handle_leave(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

	if (gyp_state_endpoint(r->state, call->leave) == NULL) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_NOT_FOUND,
		    "no such endpoint");
		return;
	}
	es.endpoint = call->leave;
	es.state = GYP_ENDPOINT_LEAVING;
	cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
	cmd.endpoint_state = &es;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

/* ---- Calls that read --------------------------------------------------- */

static bool
is_placed_at(
    const struct gyp_replica *r, uint64_t endpoint, const Gyp__Attempt *a)
{
	const struct gyp_job *job = gyp_state_job(r->state, a->job);
	const struct gyp_task *t;

	if (job == NULL || a->task >= job->n_tasks ||
	    (job->cancelled && !GYP_MUTANT(NO_STOP)) || job->restarting)
		return false;
	t = &job->tasks[a->task];
	return t->state == GYP_TASK_PLACED && t->endpoint == endpoint &&
	       t->attempt == a->attempt;
}

static bool
has_usage(const Gyp__Res *used)
{
	return used != NULL && (used->cpu_milli > 0 || used->memory > 0 ||
				   used->accel > 0 || used->slots > 0);
}

static void
record_usage(
    struct gyp_replica *r, const struct gyp_endpoint *ep, const Gyp__Beat *beat)
{
	struct gyp_usage_sample s = {.received_at = r->now};
	size_t i;

	if (has_usage(beat->used)) {
		s.used = gyp_res_from(beat->used);
		gyp_usage_put_endpoint(r->usage, ep->id, &s);
	}
	for (i = 0; i < beat->n_usage; i++) {
		const Gyp__Attempt *a = beat->usage[i];

		if (!has_usage(a->used) || !is_placed_at(r, ep->id, a))
			continue;
		s.used = gyp_res_from(a->used);
		gyp_usage_put_attempt(
		    r->usage, a->job, a->task, a->attempt, &s);
	}
}

/* Lists the attempts that run at the endpoint and should not. */
static void
reply_heartbeat(struct gyp_replica *r, uint64_t entry, uint64_t call,
    const struct gyp_endpoint *ep, bool resend)
{
	Gyp__Reply msg = GYP__REPLY__INIT;
	uint32_t i, n;
	const Gyp__Attempt *list =
	    gyp_reported_attempts_get(r->reported_attempts, ep->id, &n);

	msg.id = call;
	msg.endpoint = ep->id;
	msg.lease_ms = r->cfg.endpoint_lease_ms;
	msg.resend = resend;
	msg.stop = g_new(Gyp__Attempt *, n + 1);
	for (i = 0; i < n; i++) {
		if (!is_placed_at(r, ep->id, &list[i]))
			msg.stop[msg.n_stop++] = (Gyp__Attempt *)&list[i];
	}
	gyp_replica_reply(r, entry, &msg);
	g_free(msg.stop);
}

static void
handle_heartbeat(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__Beat *beat = call->beat;
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint(r->state, beat->endpoint);

	if (ep == NULL || ep->spec->incarnation != beat->incarnation) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_NOT_FOUND,
		    "announce again");
		return;
	}
	if (!gyp_leases_renew(r->leases, ep->id, r->now, beat->clock_ms)) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_BUSY,
		    "the lease has run out");
		return;
	}
	record_usage(r, ep, beat);
	reply_heartbeat(r, entry, call->id, ep,
	    !gyp_reported_attempts_update(r->reported_attempts, r->now, beat));
}

static void
handle_read_job(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__ReadJob *read = call->read_job;
	const struct gyp_job *job = gyp_state_job(r->state, read->job);

	if (job == NULL) {
		reply_code(r, entry, call->id, GYP__CODE__CODE_NOT_FOUND,
		    "no such job, or it is no longer kept");
		return;
	}
	if (read->subscribe && job->outcome == GYP__OUTCOME__OUTCOME_NONE)
		subscribe(r, entry, call->id, job);
	else
		reply_job(r, entry, call->id, job,
		    read->answer ? read->task : UINT32_MAX);
}

/* A drain is committed first, so that the report shows its effect. */
static void
handle_drain(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__Admin *admin = call->admin;
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint_by_name(r->state, admin->name);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

	es.endpoint = ep != NULL ? ep->id : 0;
	es.state = admin->enable ? GYP_ENDPOINT_DRAINED : GYP_ENDPOINT_ACTIVE;
	es.from = admin->enable ? 0 : GYP_ENDPOINT_DRAINED;
	cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
	cmd.endpoint_state = &es;
	gyp_replica_propose_call(r, entry, call, &cmd);
}

static void
reply_admin(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	Gyp__Reply msg = GYP__REPLY__INIT;
	char *json;

	if (call->admin->op == GYP__ADMIN_OP__ADMIN_REMOVE_MEMBER) {
		gyp_replica_remove_member(
		    r, entry, call->id, call->admin->name);
		return;
	}
	json = gyp_admin_json(r, call->admin, &msg.code);
	msg.id = call->id;
	msg.json = json;
	gyp_replica_reply(r, entry, &msg);
	g_free(json);
}

void
gyp_replica_handle_call(
    struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	switch (call->c_case) {
	case GYP__CALL__C_SUBMIT:
		handle_submit(r, entry, call);
		break;
	case GYP__CALL__C_READ_JOB:
		handle_read_job(r, entry, call);
		break;
	case GYP__CALL__C_CANCEL:
		handle_cancel(r, entry, call);
		break;
	case GYP__CALL__C_ANNOUNCE:
		handle_announce(r, entry, call);
		break;
	case GYP__CALL__C_BEAT:
		handle_heartbeat(r, entry, call);
		break;
	case GYP__CALL__C_LEAVE:
		handle_leave(r, entry, call);
		break;
	case GYP__CALL__C_RULES:
		gyp_replica_handle_rules(r, entry, call);
		break;
	case GYP__CALL__C_ADMIN:
		if (call->admin->op == GYP__ADMIN_OP__ADMIN_DRAIN)
			handle_drain(r, entry, call);
		else
			reply_admin(r, entry, call);
		break;
	case GYP__CALL__C_REPORT:
		handle_report(r, entry, call);
		break;
	case GYP__CALL__C_FLOW:
		gyp_replica_handle_flow(r, entry, call);
		break;
	case GYP__CALL__C_ADVISED:
		gyp_flow_scheduler_query_answered(
		    r->flow_scheduler, r->now, entry, call->advised);
		reply_code(r, entry, call->id, GYP__CODE__CODE_OK, "");
		break;
	case GYP__CALL__C_HOST:
		gyp_replica_handle_host(r, entry, call);
		break;
	case GYP__CALL__C_MANIFEST:
		gyp_replica_handle_manifest(r, entry, call);
		break;
	default:
		reply_code(
		    r, entry, call->id, GYP__CODE__CODE_BAD, "unknown call");
		break;
	}
}

/* ---- Answers after the commit ------------------------------------------ */

static void
answer_cancel(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const Gyp__CmdCancel *c = call->cancel;
	const struct gyp_job *job = gyp_state_job(r->state, c->job);

	if (job == NULL && c->key[0] != '\0')
		job = gyp_state_job_by_key(r->state, c->team, c->key);
	if (job != NULL)
		reply_job(
		    r, entry, call->id, job, c->unless_job ? 0 : UINT32_MAX);
	else if (!answer_key_without_job(r, entry, call->id, c->team, c->key))
		reply_code(r, entry, call->id, GYP__CODE__CODE_NOT_FOUND,
		    "no such job");
}

static void
answer_announce(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	const struct gyp_endpoint *ep =
	    gyp_state_endpoint_by_name(r->state, call->announce->name);

	if (ep != NULL &&
	    ep->spec->incarnation == call->announce->incarnation) {
		reply_endpoint(r, entry, call->id, ep);
	} else {
		reply_code(r, entry, call->id, GYP__CODE__CODE_BAD,
		    "the announcement was refused");
	}
}

static void
answer_call(struct gyp_replica *r, uint64_t entry, const Gyp__Call *call)
{
	switch (call->c_case) {
	case GYP__CALL__C_SUBMIT:
		if (!answer_submit(r, entry, call))
			reply_code(r, entry, call->id, GYP__CODE__CODE_BAD,
			    "the job was refused");
		break;
	case GYP__CALL__C_CANCEL:
		answer_cancel(r, entry, call);
		break;
	case GYP__CALL__C_ANNOUNCE:
		answer_announce(r, entry, call);
		break;
	case GYP__CALL__C_RULES:
		gyp_replica_answer_rules(r, entry, call);
		break;
	case GYP__CALL__C_ADMIN:
		reply_admin(r, entry, call);
		break;
	case GYP__CALL__C_FLOW:
		gyp_replica_answer_flow(r, entry, call);
		break;
	default:
		reply_code(r, entry, call->id, GYP__CODE__CODE_OK, "");
		break;
	}
}

void
gyp_replica_answer_committed(struct gyp_replica *r, uint64_t index)
{
	guint i = 0;

	while (i < r->waiting_calls->len) {
		struct gyp_waiting_call *w = r->waiting_calls->pdata[i];

		if (w->index != index) {
			i++;
			continue;
		}
		answer_call(r, w->entry, w->call);
		g_ptr_array_remove_index(r->waiting_calls, i);
	}
}
