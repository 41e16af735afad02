#include "msg.h"
#include "mutant.h"
#include "state_int.h"

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
	st->last = t->last_outcome;
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
	sj->restarting = job->restarting;
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
compare_seq(gconstpointer a, gconstpointer b)
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
	g_ptr_array_sort(list, compare_seq);
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

static GArray *
save_had_job(const struct gyp_state *s)
{
	GArray *flags = g_array_new(FALSE, FALSE, sizeof(protobuf_c_boolean));
	const GList *l;

	for (l = s->retired_order.head; l != NULL; l = l->next) {
		protobuf_c_boolean had_job =
		    g_hash_table_lookup(s->retired, l->data) != NULL;

		g_array_append_val(flags, had_job);
	}
	return flags;
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
	GArray *had_job = save_had_job(s);
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
	snap.n_retired_had_job = had_job->len;
	snap.retired_had_job = (protobuf_c_boolean *)(void *)had_job->data;
	snap.flows = gyp_flows_save(s->flows);
	len = gyp__snapshot__get_packed_size(&snap);
	bytes = g_malloc(len + 1);
	gyp__snapshot__pack(&snap, bytes);

	gyp_flows_free_saved(snap.flows);
	for (i = 0; i < jobs->len; i++)
		free_snap_job(jobs->pdata[i]);
	g_ptr_array_free(jobs, TRUE);
	g_ptr_array_free(endpoints, TRUE);
	g_ptr_array_free(rules, TRUE);
	g_array_free(job_gens, TRUE);
	g_array_free(endpoint_gens, TRUE);
	g_array_free(retired, TRUE);
	g_array_free(had_job, TRUE);
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
	t->last_outcome = st->last;
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
	struct gyp_job *job = gyp_table_occupy(s->jobs, sj->id);
	uint32_t i;

	if (job == NULL || sj->spec == NULL || sj->n_tasks != sj->spec->tasks)
		return false;
	gyp_state_init_job(s, job, sj->id, sj->spec);
	job->seq = sj->seq;
	job->finished_seq = sj->finished_seq;
	job->submitted_ms = sj->submitted_ms;
	job->finished_ms = sj->finished_ms;
	job->outcome = sj->outcome;
	job->cancelled = sj->cancelled;
	job->restarting = sj->restarting;
	if (sj->reason[0] != '\0')
		job->reason = g_strdup(sj->reason);
	for (i = 0; i < job->n_tasks; i++)
		restore_task(s, job, i, sj->tasks[i]);
	if (job->n_queued > 0)
		g_queue_push_tail_link(&s->queue, &job->link);
	return true;
}

static gint
compare_finish_order(gconstpointer a, gconstpointer b, gpointer user)
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
		s->finished_bytes += gyp_state_job_bytes(job);
	}
	g_queue_sort(&s->finished, compare_finish_order, s);
}

static bool
restore_tables(struct gyp_state *s, const Gyp__Snapshot *snap)
{
	size_t i;

	s->time_ms = snap->time_ms;
	s->next_seq = snap->next_seq;
	for (i = 0; i < snap->n_job_gens; i++)
		gyp_table_append_free(s->jobs, snap->job_gens[i]);
	for (i = 0; i < snap->n_endpoint_gens; i++)
		gyp_table_append_free(s->endpoints, snap->endpoint_gens[i]);
	for (i = 0; i < snap->n_endpoints; i++) {
		const Gyp__SnapEndpoint *se = snap->endpoints[i];
		struct gyp_endpoint *ep =
		    gyp_table_occupy(s->endpoints, se->id);

		if (ep == NULL || se->spec == NULL)
			return false;
		gyp_state_init_endpoint(s, ep, se->id, se->spec);
		ep->state = se->state;
	}
	for (i = 0; i < snap->n_jobs; i++) {
		if (!restore_job(s, snap->jobs[i]))
			return false;
	}
	for (i = 0; i + GYP_MUTANT(RULES_LOST) < snap->n_rules; i++)
		gyp_state_push_rules(s, snap->rules[i]->version,
		    snap->rules[i]->time_ms, snap->rules[i]->cmd);
	for (i = 0; i < snap->n_retired_keys; i++)
		gyp_state_retire_key(s, snap->retired_keys[i],
		    i >= snap->n_retired_had_job || snap->retired_had_job[i]);
	restore_finished(s);
	return gyp_flows_restore(s->flows, snap->flows);
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
	fresh->observer = s->observer;
	gyp_state_clear(s);
	*s = *fresh;
	g_free(fresh);
	ok = restore_tables(s, snap);
	gyp__snapshot__free_unpacked(snap, NULL);
	return ok;
}
