#include <string.h>

#include "flow_int.h"
#include "msg.h"

/* ---- Saving ------------------------------------------------------------- */

/* Strings and specifications of a saved message are those of the tables. */

static void
save_task(const struct gyp_flow *flow, uint32_t task, Gyp__SnapFlowTask *st)
{
	const struct gyp_flow_task *t = &flow->tasks[task];
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);

	gyp__snap_flow_task__init(st);
	st->state = t->state;
	st->run = t->run;
	st->host = t->row;
	st->failures = t->failures;
	if (t->checkpoint != NULL)
		st->checkpoint = t->checkpoint;
	if (task == u->first)
		st->failed_run = u->failed_run;
	if (t->state != GYP_FLOW_TASK_DONE && t->run > 0)
		st->changed_ms = t->changed_ms;
	if (t->state == GYP_FLOW_TASK_OPEN)
		st->confirmed_born_ms = t->confirmed_born_ms;
	st->sent_once = t->sent_once;
}

static Gyp__SnapFlow *
save_flow(const struct gyp_flow *flow)
{
	Gyp__SnapFlow *sf = g_new(Gyp__SnapFlow, 1);
	Gyp__SnapFlowTask *tasks = g_new(Gyp__SnapFlowTask, flow->n_tasks + 1);
	uint32_t i;

	gyp__snap_flow__init(sf);
	sf->spec = flow->spec;
	sf->state = flow->state;
	sf->accepted_ms = flow->accepted_ms;
	sf->ended_ms = flow->ended_ms;
	sf->seq = flow->seq;
	sf->begun = flow->begun;
	sf->n_tasks = flow->n_tasks;
	sf->tasks = g_new(Gyp__SnapFlowTask *, flow->n_tasks + 1);
	sf->tasks[0] = tasks; /* also if there are none, for free_flow() */
	for (i = 0; i < flow->n_tasks; i++) {
		sf->tasks[i] = &tasks[i];
		save_task(flow, i, sf->tasks[i]);
	}
	return sf;
}

static void
free_flow(Gyp__SnapFlow *sf)
{
	g_free(sf->tasks[0]); /* all tasks */
	g_free(sf->tasks);
	g_free(sf);
}

static const Gyp__CmdHost no_host = GYP__CMD_HOST__INIT;

/* A row that has no endpoint any more is saved as one without id. */
static Gyp__CmdHost *
save_host(const struct gyp_host *h)
{
	return h != NULL ? h->spec : (Gyp__CmdHost *)&no_host;
}

static gint
by_seq(gconstpointer a, gconstpointer b)
{
	const struct gyp_flow *x = *(struct gyp_flow *const *)a;
	const struct gyp_flow *y = *(struct gyp_flow *const *)b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static GPtrArray *
sorted_flows(const struct gyp_flows *f)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, by_seq);
	return list;
}

Gyp__SnapFlows *
gyp_flows_save(const struct gyp_flows *f)
{
	Gyp__SnapFlows *snap = g_new(Gyp__SnapFlows, 1);
	GPtrArray *list = sorted_flows(f);
	guint i;

	gyp__snap_flows__init(snap);
	snap->next_seq = f->next_seq;
	snap->bounds_term = f->bounds_term;
	gyp_early_cancels_save(f->early_cancels, snap);
	snap->n_flows = list->len;
	snap->flows = g_new(Gyp__SnapFlow *, list->len + 1);
	for (i = 0; i < list->len; i++)
		snap->flows[i] = save_flow(list->pdata[i]);
	g_ptr_array_free(list, TRUE);
	snap->n_hosts = f->hosts->len;
	snap->hosts = g_new(Gyp__CmdHost *, f->hosts->len + 1);
	for (i = 0; i < f->hosts->len; i++)
		snap->hosts[i] = save_host(f->hosts->pdata[i]);
	snap->manifest = f->manifest;
	snap->forecast = gyp_run_forecast_save(f->forecast);
	return snap;
}

void
gyp_flows_free_saved(Gyp__SnapFlows *snap)
{
	size_t i;

	for (i = 0; i < snap->n_flows; i++)
		free_flow(snap->flows[i]);
	g_free(snap->flows);
	g_free(snap->hosts);
	snap->n_flows = snap->n_hosts = 0;
	snap->flows = NULL;
	snap->hosts = NULL;
	snap->manifest = NULL;
	gyp_message_free(snap);
}

/* ---- Restoring ---------------------------------------------------------- */

static bool
restore_tasks(
    struct gyp_flows *f, struct gyp_flow *flow, const Gyp__SnapFlow *sf)
{
	uint32_t i;

	for (i = 0; i < flow->n_tasks; i++) {
		const Gyp__SnapFlowTask *st = sf->tasks[i];
		struct gyp_flow_task *t = &flow->tasks[i];
		struct gyp_flow_unit *u = gyp_flow_unit_of(flow, i);

		t->state = st->state;
		t->run = st->run;
		t->failures = st->failures;
		if (st->checkpoint[0] != '\0')
			t->checkpoint = g_strdup(st->checkpoint);
		if (i == u->first)
			u->failed_run = st->failed_run;
		if (t->state == GYP_FLOW_TASK_DONE && --u->left == 0)
			flow->left--;
		t->row = st->host;
		t->changed_ms = st->changed_ms;
		if (t->state != GYP_FLOW_TASK_OPEN)
			continue;
		if (gyp_host_at(f, t->row) == NULL)
			return false;
		t->confirmed_born_ms = st->confirmed_born_ms;
		t->sent_once = st->sent_once;
		gyp_flow_book(f, flow, i);
	}
	return true;
}

static gint
by_end(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct gyp_flow *x = a, *y = b;

	(void)user;
	if (x->ended_ms != y->ended_ms)
		return x->ended_ms < y->ended_ms ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static bool
restore_flow(struct gyp_flows *f, const Gyp__SnapFlow *sf)
{
	struct gyp_flow *flow;

	if (sf->spec == NULL || sf->spec->queue == NULL ||
	    gyp_flow_check_spec(sf->spec) != NULL)
		return false;
	flow = gyp_flow_make(sf->spec);
	gyp_flow_join_workspace(f, flow);
	g_hash_table_insert(f->by_id, &flow->id, flow);
	flow->seq = sf->seq;
	flow->state = sf->state;
	flow->begun = sf->begun;
	flow->accepted_ms = sf->accepted_ms;
	flow->ended_ms = sf->ended_ms;
	if (sf->n_tasks != flow->n_tasks || !restore_tasks(f, flow, sf))
		return false;
	if (gyp_flow_is_alive(flow) || flow->open > 0)
		g_queue_push_tail(&f->active, flow);
	if (!gyp_flow_is_alive(flow))
		g_queue_push_tail(&f->ended, flow);
	return true;
}

bool
gyp_flows_restore(struct gyp_flows *f, const Gyp__SnapFlows *snap)
{
	size_t i;

	gyp_flows_clear(f);
	if (snap == NULL)
		return true;
	f->next_seq = snap->next_seq;
	if (snap->manifest != NULL)
		f->manifest = gyp_message_copy(&snap->manifest->base);
	for (i = 0; i < snap->n_hosts; i++) {
		const Gyp__CmdHost *spec = snap->hosts[i];
		struct gyp_host *h = NULL;

		if (spec->id[0] != '\0') {
			h = gyp_host_make((uint32_t)i, spec);
			g_hash_table_insert(f->host_ids, h->spec->id, h);
		}
		g_ptr_array_add(f->hosts, h);
	}
	/* Snapshots of earlier versions hold outdated bounds, or none. */
	f->bounds_term = snap->bounds_term;
	if (f->bounds_term == 0)
		gyp_flows_void_bounds(f);
	for (i = 0; i < snap->n_flows; i++) {
		if (!restore_flow(f, snap->flows[i]))
			return false;
	}
	g_queue_sort(&f->ended, by_end, NULL);
	gyp_early_cancels_restore(f->early_cancels, snap);
	gyp_run_forecast_restore(f->forecast, snap->forecast);
	for (i = 0; i < f->hosts->len; i++) {
		if (f->hosts->pdata[i] != NULL)
			gyp_flows_set_speed_class(f, f->hosts->pdata[i]);
	}
	return true;
}

/* ---- Invariants --------------------------------------------------------- */

static void
check_flow(const struct gyp_flows *f, const struct gyp_flow *flow)
{
	uint32_t i, open = 0;

	for (i = 0; i < flow->n_tasks; i++) {
		const struct gyp_flow_task *t = &flow->tasks[i];

		g_assert((t->confirmed_born_ms == 0 && !t->sent_once) ||
			 t->state == GYP_FLOW_TASK_OPEN);
		if (t->state != GYP_FLOW_TASK_OPEN)
			continue;
		open++;
		g_assert(t->run > 0);
		g_assert(gyp_host_at(f, t->row) != NULL);
	}
	g_assert(open == flow->open);
	g_assert(flow->state != GYP_FLOW_COMPLETED || flow->left == 0);
}

static bool
are_equal(const struct gyp_res *a, const struct gyp_res *b)
{
	return gyp_res_fits(a, b) && gyp_res_fits(b, a);
}

/* The use of each workspace is the sum over its open runs. */
static void
check_workspaces(const struct gyp_flows *f)
{
	guint n = f->workspaces->len, i;
	struct gyp_res *sums = g_new0(struct gyp_res, n + 1);
	struct gyp_res *lasting = g_new0(struct gyp_res, n + 1);
	uint32_t *open = g_new0(uint32_t, n + 1);
	guint row;

	for (row = 0; row < f->hosts->len; row++) {
		const struct gyp_host *h = f->hosts->pdata[row];

		for (i = 0; h != NULL && i < h->runs->len; i++) {
			const struct gyp_host_run *run =
			    &g_array_index(h->runs, struct gyp_host_run, i);
			const struct gyp_workspace_use *use = run->flow->use;
			const struct gyp_flow_unit *u =
			    gyp_flow_unit_of(run->flow, run->task);

			if (use == NULL)
				continue;
			open[use->row]++;
			gyp_res_add(&sums[use->row], &u->size);
			if (u->step->lasting)
				gyp_res_add(&lasting[use->row], &u->size);
		}
	}
	for (i = 0; i < n; i++) {
		const struct gyp_workspace_use *use = f->workspaces->pdata[i];

		g_assert(open[i] == use->open);
		g_assert(are_equal(&sums[i], &use->used));
		g_assert(are_equal(&lasting[i], &use->lasting));
	}
	g_free(sums);
	g_free(lasting);
	g_free(open);
}

void
gyp_flows_check(const struct gyp_flows *f)
{
	const GList *l;
	guint row;

	check_workspaces(f);
	for (l = f->active.head; l != NULL; l = l->next)
		check_flow(f, l->data);
	for (row = 0; row < f->hosts->len; row++) {
		const struct gyp_host *h = f->hosts->pdata[row];
		struct gyp_res sum = {0, 0, 0, 0};
		guint i;

		for (i = 0; h != NULL && i < h->runs->len; i++) {
			const struct gyp_host_run *run =
			    &g_array_index(h->runs, struct gyp_host_run, i);
			const struct gyp_flow_unit *u =
			    gyp_flow_unit_of(run->flow, run->task);

			gyp_res_add(&sum, &u->size);
		}
		g_assert(h == NULL || (sum.cpu_milli == h->booked.cpu_milli &&
					  sum.memory == h->booked.memory));
	}
}
