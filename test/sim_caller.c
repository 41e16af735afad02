#include <string.h>

#include "sim.h"

/* Most jobs per seed. */
#define JOBS_MAX 140

/* Mean time between two jobs, in ms. */
#define JOB_INTERVAL_MS 400

/* Time between two pairs of concurrent changes of the rules, in ms. */
#define APPLY_INTERVAL_MS 1500

/* Delay of a resend, in ms. */
#define RESEND_DELAY_MS 600

/* Time limit of a call, in ms. */
#define CALL_TIMEOUT_MS 3000

/* Time in which the runs of a cancelled job must end without faults, in ms. */
#define STOP_BOUND_MS 10000

int
sim_random_entry(struct sim *s)
{
	int i, first = sim_random(s, 0, s->n_entries);

	for (i = 0; i < s->n_entries; i++) {
		int e = SIM_ENTRY + (first + i) % s->n_entries;

		if (sim_is_running(s, e))
			return e;
	}
	return -1;
}

struct sim_call *
sim_call(struct sim *s, int entry, const Gyp__Call *msg, uint32_t timeout_ms,
    const struct sim_call_ops *ops, void *subject)
{
	struct sim_call *c = g_new0(struct sim_call, 1);

	c->ops = ops;
	c->subject = subject;
	c->entry = entry;
	c->open = true;
	g_ptr_array_add(s->calls, c);
	gyp_entry_call(
	    s->nodes[entry].entry, sim_clock(s, entry), msg, timeout_ms, c);
	return c;
}

/* ---- Answers to callers ------------------------------------------------ */

static void
check_not_run(struct sim *s, struct sim_job *job, const Gyp__JobView *view)
{
	size_t i;

	for (i = 0; i < view->n_finishes; i++) {
		uint32_t t = view->finishes[i]->task;

		if (view->finishes[i]->outcome != GYP__OUTCOME__OUTCOME_NOT_RUN)
			continue;
		if (job->starts[t] > 0)
			sim_fail(s, "%s task %u: reported not_run, but it ran",
			    job->key, t);
		job->not_run[t] = true;
	}
}

static void
check_answer_produced(
    struct sim *s, struct sim_job *job, const Gyp__CmdFinish *f)
{
	char *reported = g_strdup_printf("%u %.*s", f->task, (int)f->answer.len,
	    (const char *)f->answer.data);

	if (f->outcome == GYP__OUTCOME__OUTCOME_DONE &&
	    !g_hash_table_contains(job->answers, reported))
		sim_fail(s,
		    "%s: reported an answer that no endpoint produced: %s",
		    job->key, reported);
	g_free(reported);
}

/* Records the first reported outcome; fails if a later one differs. */
static void
record_outcome(struct sim *s, struct sim_job *job, const Gyp__JobView *view)
{
	const Gyp__CmdFinish *f = view->finishes[0];
	GBytes *answer = g_bytes_new(f->answer.data, f->answer.len);

	if (job->reported && (job->outcome != view->outcome ||
				 !g_bytes_equal(job->answer, answer)))
		sim_fail(s, "%s: reported %s, and then %s", job->key,
		    gyp_outcome_name(job->outcome),
		    gyp_outcome_name(view->outcome));
	if (job->reported) {
		g_bytes_unref(answer);
		return;
	}
	job->reported = true;
	sim_trace(
	    s, "reported %s of %s", gyp_outcome_name(view->outcome), job->key);
	job->outcome = view->outcome;
	job->answer = answer;
	s->n_done += view->outcome == GYP__OUTCOME__OUTCOME_DONE;
	s->n_failed += view->outcome == GYP__OUTCOME__OUTCOME_FAILED;
	s->n_not_run += view->outcome == GYP__OUTCOME__OUTCOME_NOT_RUN;
	s->n_unknown += view->outcome == GYP__OUTCOME__OUTCOME_UNKNOWN;
}

static void
handle_job_view(struct sim *s, struct sim_job *job, const Gyp__JobView *view)
{
	job->accepted = true;
	if (job->id != 0 && job->id != view->job)
		sim_fail(s, "%s: two jobs for one key", job->key);
	job->id = view->job;
	check_not_run(s, job, view);
	if (view->outcome == GYP__OUTCOME__OUTCOME_NONE)
		return;
	check_answer_produced(s, job, view->finishes[0]);
	record_outcome(s, job, view);
}

/* The key was refused before a job was submitted with it. */
static void
handle_refusal(struct sim *s, struct sim_job *job)
{
	uint32_t t;

	if (job->accepted)
		sim_fail(s, "%s: refused, but the job was accepted", job->key);
	for (t = 0; t < job->spec.tasks; t++) {
		if (job->starts[t] > 0)
			sim_fail(s, "%s: refused, but it ran", job->key);
		job->not_run[t] = true;
	}
	s->n_not_run += !job->closed;
	job->closed = true;
}

static void
on_submit_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_job *job = c->subject;
	const Gyp__Reply *reply = a != NULL ? a->reply : NULL;

	if (!c->open)
		job->calling = false;
	job->next_at = s->now + RESEND_DELAY_MS;
	if (a != NULL && a->refused)
		handle_refusal(s, job);
	if (reply == NULL || (s->faults && sim_one_in(s, 6)))
		return; /* as if the answer were lost */
	if (reply->job != NULL)
		handle_job_view(s, job, reply->job);
	else if (reply->code == GYP__CODE__CODE_REFUSED)
		handle_refusal(s, job);
	else if (reply->code != GYP__CODE__CODE_BUSY)
		sim_fail(s, "%s: code %d: %s", job->key, reply->code,
		    reply->message);
	if (job->reported && sim_one_in(s, 3))
		job->closed = true;
}

static const struct sim_call_ops submit_ops = {on_submit_answer};

static void
on_cancel_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_job *job = c->subject;

	if (a == NULL || a->reply == NULL)
		return;
	if (a->reply->code != GYP__CODE__CODE_OK &&
	    a->reply->code != GYP__CODE__CODE_ACCEPTED &&
	    a->reply->code != GYP__CODE__CODE_REFUSED)
		return;
	if (!job->cancelled)
		job->cancel_acked_at = s->now;
	job->cancelled = true;
	job->want_cancel = false;
	if (a->reply->job != NULL)
		check_not_run(s, job, a->reply->job);
}

static const struct sim_call_ops cancel_ops = {on_cancel_answer};

/* ---- Calls ------------------------------------------------------------- */

static void
submit(struct sim *s, struct sim_job *job)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdSubmit cmd = GYP__CMD_SUBMIT__INIT;
	int entry = sim_random_entry(s);

	job->next_at = s->now + RESEND_DELAY_MS;
	if (entry < 0)
		return;
	cmd.spec = &job->spec;
	call.c_case = GYP__CALL__C_SUBMIT;
	call.submit = &cmd;
	job->calling = true;
	job->submits++;
	sim_call(s, entry, &call, CALL_TIMEOUT_MS, &submit_ops, job);
	sim_process_output(s, entry);
}

static void
cancel(struct sim *s, struct sim_job *job)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cmd = GYP__CMD_CANCEL__INIT;
	int entry = sim_random_entry(s);

	if (entry < 0)
		return;
	cmd.reason = "cancelled by its caller";
	if (job->id != 0) {
		cmd.job = job->id;
	} else {
		cmd.team = job->spec.team;
		cmd.key = job->spec.key;
	}
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cmd;
	sim_call(s, entry, &call, CALL_TIMEOUT_MS, &cancel_ops, job);
	sim_process_output(s, entry);
}

static void
new_job(struct sim *s)
{
	static const Gyp__Kind kinds[] = {GYP__KIND__KIND_REQUEST,
	    GYP__KIND__KIND_REQUEST, GYP__KIND__KIND_REQUEST,
	    GYP__KIND__KIND_BATCH, GYP__KIND__KIND_BATCH, GYP__KIND__KIND_GANG,
	    GYP__KIND__KIND_WATCHER};
	struct sim_job *job = g_new0(struct sim_job, 1);

	job->key = g_strdup_printf("job-%u", s->jobs->len);
	gyp__job_spec__init(&job->spec);
	gyp__res__init(&job->size);
	job->size.cpu_milli = (uint32_t)sim_random(s, 1, 5) * 400;
	job->size.memory = (uint64_t)sim_random(s, 1, 5) * 400;
	job->size.slots = 1;
	job->spec.kind = kinds[sim_random(s, 0, G_N_ELEMENTS(kinds))];
	job->spec.team = sim_one_in(s, 2) ? "rota" : "press";
	job->spec.class_ = "booking";
	job->spec.key = job->key;
	job->spec.idempotent = !sim_one_in(s, 3);
	/*
	 * With long leases, every sixth job runs until its endpoint is lost.
	 * These jobs are small, to leave capacity for the others.
	 */
	if (s->worst_clocks) {
		bool long_running = s->jobs->len % 6 == 0;

		job->spec.kind = long_running ? GYP__KIND__KIND_WATCHER
					      : GYP__KIND__KIND_REQUEST;
		job->spec.idempotent = true;
		job->size.cpu_milli = long_running ? 400 : job->size.cpu_milli;
		job->size.memory = long_running ? 400 : job->size.memory;
	}
	job->spec.tasks = job->spec.kind == GYP__KIND__KIND_GANG
			      ? (uint32_t)sim_random(s, 2, 4)
			      : 1;
	job->spec.size = &job->size;
	job->spec.deadline_ms = sim_one_in(s, 10) ? 1500 : 0;
	job->spec.payload.data = (uint8_t *)job->key;
	job->spec.payload.len = strlen(job->key);
	job->spec.digest = 1;
	job->want_cancel =
	    job->spec.kind == GYP__KIND__KIND_WATCHER || sim_one_in(s, 6);
	job->answers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(s->jobs, job);
	g_hash_table_insert(s->by_key, job->key, job);
	submit(s, job);
	if (job->want_cancel && sim_one_in(s, 3))
		cancel(s, job);
}

/* Fails if a run of a cancelled job goes on for too long after the faults. */
static void
check_stopped(
    struct sim *s, const struct sim_job *job, uint64_t faults_ended_at)
{
	uint32_t t;

	if (!job->cancelled ||
	    s->now < MAX(faults_ended_at, job->cancel_acked_at) + STOP_BOUND_MS)
		return;
	for (t = 0; t < job->spec.tasks; t++) {
		if (job->running[t] > 0)
			sim_fail(s,
			    "%s task %u still runs %" G_GUINT64_FORMAT
			    " ms after its cancellation was acknowledged",
			    job->key, t, s->now - job->cancel_acked_at);
	}
}

static void
step_job(struct sim *s, struct sim_job *job)
{
	if (!s->faults)
		check_stopped(s, job, s->faults_ended_at);
	if (job->want_cancel && !(s->faults && s->worst_clocks) &&
	    sim_one_in(s, s->faults ? 150 : 20))
		cancel(s, job);
	if (!job->closed && !job->calling && s->now >= job->next_at)
		submit(s, job);
}

/* ---- Operators --------------------------------------------------------- */

static void
on_apply_answer(struct sim *s, struct sim_call *c, const struct gyp_answer *a)
{
	struct sim_apply *ap = c->subject;
	const Gyp__Reply *reply = a != NULL ? a->reply : NULL;

	ap->calling = false;
	ap->next_at = s->now + RESEND_DELAY_MS;
	if (reply == NULL || (s->faults && sim_one_in(s, 4)))
		return;
	if (reply->code == GYP__CODE__CODE_CONFLICT) {
		if (ap->version != 0)
			sim_fail(s,
			    "%s: applied as %" G_GUINT64_FORMAT
			    " and then refused",
			    ap->request, ap->version);
		ap->refused = true;
	} else if (reply->code == GYP__CODE__CODE_OK) {
		if (ap->refused ||
		    (ap->version != 0 && ap->version != reply->version) ||
		    reply->version != ap->base + 1)
			sim_fail(s, "%s: contradictory answers to one apply",
			    ap->request);
		if (ap->version == 0) {
			s->n_applied++;
			ap->acked_at = s->now;
		}
		ap->version = reply->version;
		sim_trace(s, "applied %s as %" G_GUINT64_FORMAT, ap->request,
		    ap->version);
	}
}

static const struct sim_call_ops apply_ops = {on_apply_answer};

static void
apply(struct sim *s, struct sim_apply *ap)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdRules cmd = GYP__CMD_RULES__INIT;
	int entry = sim_random_entry(s);

	ap->next_at = s->now + RESEND_DELAY_MS;
	if (entry < 0)
		return;
	ap->calling = true;
	cmd.base_version = ap->base;
	cmd.request = ap->request;
	cmd.author = "ann";
	cmd.text = ap->text;
	call.c_case = GYP__CALL__C_RULES;
	call.rules = &cmd;
	sim_call(s, entry, &call, CALL_TIMEOUT_MS, &apply_ops, ap);
	sim_process_output(s, entry);
}

/* Two operators apply rules on the same base version at the same time. */
static void
new_applies(struct sim *s)
{
	int i, entry = sim_random_entry(s);

	s->next_apply_at = s->now + APPLY_INTERVAL_MS;
	if (entry < 0)
		return;
	for (i = 0; i < 2; i++) {
		struct sim_apply *ap = g_new0(struct sim_apply, 1);

		ap->request = g_strdup_printf("apply-%u", s->applies->len);
		ap->text = g_strdup_printf("share rota %u # ann: trial %u\n",
		    s->applies->len + 1, s->applies->len);
		ap->base = gyp_entry_rules(s->nodes[entry].entry, NULL);
		g_ptr_array_add(s->applies, ap);
		apply(s, ap);
	}
}

/* Fails if an entry with a lease lacks a version that must be in force. */
static void
check_rules_in_force(struct sim *s, const struct sim_apply *ap)
{
	int e;

	if (ap->version == 0)
		return;
	for (e = SIM_ENTRY; e < SIM_ENTRY + s->n_entries; e++) {
		const struct sim_node *n = &s->nodes[e];

		if (!sim_is_running(s, e) ||
		    gyp_entry_rules(n->entry, NULL) >= ap->version ||
		    !gyp_entry_has_lease(n->entry))
			continue;
		s->max_rules_lag_ms =
		    MAX(s->max_rules_lag_ms, s->now - ap->acked_at);
		if (s->now > ap->acked_at + SIM_RULES_BOUND_MS)
			sim_fail(s,
			    "entry %d applies rules %" G_GUINT64_FORMAT
			    ", but %" G_GUINT64_FORMAT
			    " was acknowledged %" G_GUINT64_FORMAT " ms ago",
			    e, gyp_entry_rules(n->entry, NULL), ap->version,
			    s->now - ap->acked_at);
	}
}

/* ---- Steps and final checks -------------------------------------------- */

void
sim_step_callers(struct sim *s)
{
	guint i;

	if (s->faults && s->now >= s->next_job_at && s->jobs->len < JOBS_MAX) {
		new_job(s);
		s->next_job_at =
		    s->now + (uint64_t)sim_random(s, 0, 2 * JOB_INTERVAL_MS);
	}
	if (s->faults && s->now >= s->next_apply_at)
		new_applies(s);
	for (i = 0; i < s->jobs->len; i++)
		step_job(s, s->jobs->pdata[i]);
	for (i = 0; i < s->applies->len; i++) {
		struct sim_apply *ap = s->applies->pdata[i];

		check_rules_in_force(s, ap);
		if (!ap->calling && s->now >= ap->next_at &&
		    ((ap->version == 0 && !ap->refused) ||
			(s->faults && sim_one_in(s, 300))))
			apply(s, ap);
	}
}

bool
sim_callers_done(struct sim *s)
{
	guint i;

	for (i = 0; i < s->jobs->len; i++) {
		const struct sim_job *job = s->jobs->pdata[i];

		if (!job->closed && !job->reported)
			return false;
		if (job->want_cancel && !job->reported && !job->closed)
			return false;
	}
	for (i = 0; i < s->applies->len; i++) {
		const struct sim_apply *ap = s->applies->pdata[i];

		if (ap->version == 0 && !ap->refused)
			return false;
	}
	return true;
}

static void
check_rules_versions(struct sim *s, const struct gyp_state *st)
{
	guint i;
	uint32_t nth;

	for (i = 0; i < s->applies->len; i++) {
		const struct sim_apply *ap = s->applies->pdata[i];
		const struct gyp_rules_version *v = NULL;

		if (ap->version == 0)
			continue;
		for (nth = 0; (v = gyp_state_rules_at(st, nth)) != NULL; nth++)
			if (v->version == ap->version)
				break;
		if (v == NULL || strcmp(v->cmd->text, ap->text) != 0)
			sim_fail(s,
			    "%s: acknowledged as %" G_GUINT64_FORMAT
			    ", but not in the tables",
			    ap->request, ap->version);
	}
}

/*
 * Compares the state of every replica with the answers: acknowledged rules and
 * accepted jobs are there, with the reported outcomes.
 */
void
sim_check_final_state(struct sim *s)
{
	int r;
	guint i;

	for (r = 0; r < s->n_replicas; r++) {
		const struct gyp_state *st =
		    gyp_replica_state(s->nodes[r].replica);

		check_rules_versions(s, st);
		for (i = 0; i < s->jobs->len; i++) {
			const struct sim_job *job = s->jobs->pdata[i];
			const struct gyp_job *row = gyp_state_job_by_key(
			    st, job->spec.team, job->spec.key);

			if (!job->accepted)
				continue;
			if (row == NULL)
				sim_fail(s,
				    "%s: accepted, but not on "
				    "replica %d",
				    job->key, r);
			if (row->outcome != job->outcome && job->reported)
				sim_fail(s, "%s: reported %s, stored as %s",
				    job->key, gyp_outcome_name(job->outcome),
				    gyp_outcome_name(row->outcome));
		}
	}
}

static void
free_job(gpointer p)
{
	struct sim_job *job = p;

	if (job->answer != NULL)
		g_bytes_unref(job->answer);
	g_hash_table_destroy(job->answers);
	g_free(job->key);
	g_free(job);
}

static void
free_apply(gpointer p)
{
	struct sim_apply *ap = p;

	g_free(ap->request);
	g_free(ap->text);
	g_free(ap);
}

void
sim_callers_init(struct sim *s)
{
	s->jobs = g_ptr_array_new_with_free_func(free_job);
	s->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	s->calls = g_ptr_array_new_with_free_func(g_free);
	s->applies = g_ptr_array_new_with_free_func(free_apply);
}

void
sim_callers_free(struct sim *s)
{
	g_hash_table_destroy(s->by_key);
	g_ptr_array_free(s->jobs, TRUE);
	g_ptr_array_free(s->calls, TRUE);
	g_ptr_array_free(s->applies, TRUE);
}
