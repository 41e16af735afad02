#include <string.h>

#include "flow_int.h"
#include "msg.h"
#include "quota.h"
#include "workspace.h"

/* Rank of the most urgent flow beyond its workspace's rate. */
#define EXCESS_RANK (1U << 16)

/* ---- Keys of tasks and units -------------------------------------------- */

guint
gyp_flow_key_hash(gconstpointer p)
{
	const struct gyp_flow_key *key = p;

	return (guint)(key->flow ^ (key->flow >> 32)) * 31 + key->index;
}

gboolean
gyp_flow_key_equal(gconstpointer a, gconstpointer b)
{
	const struct gyp_flow_key *x = a, *y = b;

	return x->flow == y->flow && x->index == y->index;
}

/* ---- Flows -------------------------------------------------------------- */

static uint32_t
repetitions(const Gyp__FlowSpec *spec)
{
	return MAX(spec->times, 1);
}

static const char *
check_step(const Gyp__FlowStep *step, size_t number)
{
	size_t i;

	if (step->count == 0)
		return "a step without tasks";
	if (step->count > GYP_FLOW_TASKS_MAX)
		return "too many tasks";
	for (i = 0; i < step->n_after; i++) {
		if (step->after[i] >= number)
			return "a step depends on itself or a later one";
	}
	return NULL;
}

const char *
gyp_flow_check_spec(const Gyp__FlowSpec *spec)
{
	uint64_t tasks = 0;
	size_t i;

	if (spec->n_steps == 0)
		return "no steps";
	for (i = 0; i < spec->n_steps; i++) {
		const char *error = check_step(spec->steps[i], i);

		if (error != NULL)
			return error;
		tasks += spec->steps[i]->count;
	}
	if (tasks * repetitions(spec) > GYP_FLOW_TASKS_MAX)
		return "too many tasks";
	return NULL;
}

/* Filler work books no CPU time: it uses only what is spare. */
static struct gyp_res
step_size(const Gyp__FlowStep *step)
{
	struct gyp_res size = {0, 0, 0, 0};

	if (step->size != NULL)
		size = gyp_res_from(step->size);
	if (step->fills)
		size.cpu_milli = 0;
	size.slots = 0;
	return size;
}

static void
init_units(struct gyp_flow *flow)
{
	const Gyp__FlowSpec *spec = flow->spec;
	uint32_t repetition, step, first = 0;
	struct gyp_flow_unit *u;

	flow->n_units = (uint32_t)spec->n_steps * repetitions(spec);
	flow->units = g_new0(struct gyp_flow_unit, flow->n_units);
	u = flow->units;
	for (repetition = 0; repetition < repetitions(spec); repetition++) {
		for (step = 0; step < spec->n_steps; step++, u++) {
			u->step = spec->steps[step];
			u->size = step_size(u->step);
			u->repetition = repetition;
			u->step_number = step;
			u->first = first;
			u->left = u->step->count;
			first += u->step->count;
		}
	}
	flow->left = flow->n_units;
	flow->n_tasks = first;
	flow->tasks = g_new0(struct gyp_flow_task, first);
}

struct gyp_flow *
gyp_flow_make(const Gyp__FlowSpec *spec)
{
	struct gyp_flow *flow = g_new0(struct gyp_flow, 1);

	flow->id = spec->id;
	flow->spec = gyp_message_copy(&spec->base);
	if (flow->spec->queue != NULL)
		flow->pool = g_intern_string(flow->spec->queue->pool);
	init_units(flow);
	return flow;
}

void
gyp_flow_free(gpointer p)
{
	struct gyp_flow *flow = p;
	uint32_t i;

	for (i = 0; i < flow->n_tasks; i++)
		g_free(flow->tasks[i].checkpoint);
	g_free(flow->tasks);
	g_free(flow->units);
	gyp_message_free(flow->spec);
	g_free(flow);
}

struct gyp_flow_unit *
gyp_flow_unit_of(const struct gyp_flow *flow, uint32_t task)
{
	uint32_t low = 0, high = flow->n_units;

	while (high - low > 1) {
		uint32_t middle = (low + high) / 2;

		if (flow->units[middle].first <= task)
			low = middle;
		else
			high = middle;
	}
	return &flow->units[low];
}

uint32_t
gyp_flow_task_at(const struct gyp_flow *flow, uint32_t repetition,
    uint32_t step, uint32_t index)
{
	uint64_t unit;

	if (step >= flow->spec->n_steps ||
	    index >= flow->spec->steps[step]->count)
		return UINT32_MAX;
	unit = (uint64_t)repetition * flow->spec->n_steps + step;
	return unit < flow->n_units ? flow->units[unit].first + index
				    : UINT32_MAX;
}

bool
gyp_flow_unit_is_ready(
    const struct gyp_flow *flow, const struct gyp_flow_unit *u)
{
	const struct gyp_flow_unit *base = u - u->step_number;
	size_t i;

	(void)flow;
	for (i = 0; i < u->step->n_after; i++) {
		if (base[u->step->after[i]].left > 0)
			return false;
	}
	return true;
}

bool
gyp_flow_is_alive(const struct gyp_flow *flow)
{
	return flow->state == GYP_FLOW_QUEUED ||
	       flow->state == GYP_FLOW_RUNNING;
}

bool
gyp_flow_run_is_unwanted(const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u;

	if (!gyp_flow_is_alive(flow))
		return true;
	u = gyp_flow_unit_of(flow, task);
	return u->step->gang && u->open < u->step->count;
}

/* ---- Endpoints ---------------------------------------------------------- */

struct gyp_host *
gyp_host_make(uint32_t row, const Gyp__CmdHost *spec)
{
	struct gyp_host *h = g_new0(struct gyp_host, 1);

	h->row = row;
	h->spec = gyp_message_copy(&spec->base);
	h->pool = g_intern_string(h->spec->pool);
	if (spec->capacity != NULL)
		h->capacity = gyp_res_from(spec->capacity);
	h->runs = g_array_new(FALSE, FALSE, sizeof(struct gyp_host_run));
	return h;
}

void
gyp_host_free(gpointer p)
{
	struct gyp_host *h = p;

	if (h == NULL)
		return;
	gyp_message_free(h->spec);
	g_array_free(h->runs, TRUE);
	g_free(h);
}

struct gyp_host *
gyp_host_at(const struct gyp_flows *f, uint32_t row)
{
	return row < f->hosts->len ? f->hosts->pdata[row] : NULL;
}

const char *
gyp_host_name(const struct gyp_flows *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f, row);

	return h != NULL ? h->spec->id : "gone";
}

uint32_t
gyp_hosts_size(const struct gyp_flows *f)
{
	return f->hosts->len;
}

uint32_t
gyp_hosts_count(const struct gyp_flows *f)
{
	return g_hash_table_size(f->host_ids);
}

struct gyp_host *
gyp_host_by_id(const struct gyp_flows *f, const char *id)
{
	return g_hash_table_lookup(f->host_ids, id);
}

uint64_t
gyp_host_restart_left_ms(
    const struct gyp_flows *f, const struct gyp_host *h, uint32_t period_ms)
{
	uint64_t end = h->spec->reborn_ms + period_ms;
	uint64_t latest = MAX(h->spec->born_ms, h->spec->seen_born_ms);

	if (h->spec->reborn_ms == 0 || f->time_ms >= end ||
	    h->spec->fenced_born_ms >= latest)
		return 0;
	return MIN(end - f->time_ms, period_ms);
}

bool
gyp_host_has_ended(const struct gyp_host *h)
{
	return h->spec->ended_born_ms != 0 &&
	       h->spec->ended_born_ms >=
		   MAX(h->spec->born_ms, h->spec->seen_born_ms);
}

uint64_t
gyp_flows_bounds_term(const struct gyp_flows *f)
{
	return f->bounds_term;
}

uint64_t
gyp_flows_bounds_applied(const struct gyp_flows *f)
{
	return f->bounds_applied;
}

/* ---- Time and manifest -------------------------------------------------- */

uint64_t
gyp_flows_time(const struct gyp_flows *f)
{
	return f->time_ms;
}

struct gyp_run_forecast *
gyp_flows_forecast(const struct gyp_flows *f)
{
	return f->forecast;
}

const Gyp__CmdManifest *
gyp_flows_manifest(const struct gyp_flows *f)
{
	return f->manifest;
}

const Gyp__CmdManifest *
gyp_flows_manifest_when(const struct gyp_flows *f, uint64_t ms)
{
	if (f->manifest == NULL || ms == 0)
		return NULL;
	return ms > f->replaced_ms ? f->manifest : f->replaced;
}

const Gyp__FlowQueue *
gyp_manifest_queue(const Gyp__CmdManifest *m, const char *http_host,
    const char *path, const char **rest)
{
	const Gyp__FlowQueue *best = NULL;
	size_t best_len = 0;
	size_t i;

	for (i = 0; i < m->n_queues; i++) {
		const Gyp__FlowQueue *q = m->queues[i];
		size_t len = strlen(q->prefix);

		if (g_ascii_strcasecmp(q->host, http_host) != 0 ||
		    strncmp(path, q->prefix, len) != 0)
			continue;
		if (best == NULL || len > best_len) {
			best = q;
			best_len = len;
		}
	}
	if (best != NULL)
		*rest = path + best_len;
	return best;
}

/* ---- Workspaces --------------------------------------------------------- */

static void
free_workspace(gpointer p)
{
	struct gyp_workspace_use *use = p;

	g_free(use->name);
	g_free(use);
}

static void
refresh_limits(const struct gyp_flows *f, struct gyp_workspace_use *use)
{
	const Gyp__Workspace *w = NULL;

	if (f->manifest != NULL)
		w = gyp_workspace_by_name(f->manifest, use->name);
	use->cap = gyp_quota_from(w != NULL ? w->cap : NULL);
	use->rate = w != NULL ? w->rate : 0;
}

void
gyp_flows_refresh_limits(struct gyp_flows *f)
{
	guint i;

	for (i = 0; i < f->workspaces->len; i++)
		refresh_limits(f, f->workspaces->pdata[i]);
}

void
gyp_flow_join_workspace(struct gyp_flows *f, struct gyp_flow *flow)
{
	const char *name = flow->spec->workspace;
	struct gyp_workspace_use *use;

	if (name[0] == '\0')
		return;
	use = g_hash_table_lookup(f->workspace_names, name);
	if (use == NULL) {
		use = g_new0(struct gyp_workspace_use, 1);
		use->row = f->workspaces->len;
		use->name = g_strdup(name);
		refresh_limits(f, use);
		g_ptr_array_add(f->workspaces, use);
		g_hash_table_insert(f->workspace_names, use->name, use);
	}
	flow->use = use;
}

uint32_t
gyp_workspaces_size(const struct gyp_flows *f)
{
	return f->workspaces->len;
}

struct gyp_workspace_use *
gyp_workspace_at(const struct gyp_flows *f, uint32_t row)
{
	return row < f->workspaces->len ? f->workspaces->pdata[row] : NULL;
}

struct gyp_workspace_use *
gyp_workspace_use_by_name(const struct gyp_flows *f, const char *name)
{
	return g_hash_table_lookup(f->workspace_names, name);
}

uint32_t
gyp_flow_rank(const struct gyp_flow *flow, uint64_t now_ms)
{
	uint32_t priority = MIN(flow->spec->queue->priority, EXCESS_RANK - 1);
	bool behind = flow->spec->excess &&
		      now_ms < flow->accepted_ms + GYP_FLOW_EXCESS_WAIT_MS;

	return behind ? EXCESS_RANK + priority : priority;
}

/* ---- Access ------------------------------------------------------------- */

struct gyp_flow *
gyp_flow_get(const struct gyp_flows *f, uint64_t id)
{
	return g_hash_table_lookup(f->by_id, &id);
}

const GQueue *
gyp_flows_active(const struct gyp_flows *f)
{
	return &f->active;
}

uint32_t
gyp_flows_count(const struct gyp_flows *f)
{
	return g_hash_table_size(f->by_id);
}

bool
gyp_flows_is_cancelled_early(
    const struct gyp_flows *f, uint64_t id, const char *workspace)
{
	return gyp_early_cancels_has(f->early_cancels, id, workspace);
}

void
gyp_flows_list_recent(
    const struct gyp_flows *f, uint64_t since_ms, GPtrArray *list)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gyp_flow *flow = value;

		if (flow->accepted_ms >= since_ms)
			g_ptr_array_add(list, value);
	}
}

void
gyp_flows_set_listener(struct gyp_flows *f, struct gyp_flows_listener *listener)
{
	f->listener = listener;
}

const char *
gyp_flow_state_name(enum gyp_flow_state state)
{
	static const char *const names[] = {
	    "queued", "running", "completed", "failed", "cancelled"};

	return names[state];
}

const char *
gyp_flow_how_name(Gyp__FlowHow how)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"};

	return how < G_N_ELEMENTS(names) ? names[how] : "unknown";
}

/* ---- Construction ------------------------------------------------------- */

static void
init_tables(struct gyp_flows *f)
{
	f->next_seq = 1;
	f->bounds_term = 0;
	f->by_id = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, gyp_flow_free);
	f->hosts = g_ptr_array_new_with_free_func(gyp_host_free);
	f->host_ids = g_hash_table_new(g_str_hash, g_str_equal);
	f->workspaces = g_ptr_array_new_with_free_func(free_workspace);
	f->workspace_names = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&f->active);
	g_queue_init(&f->ended);
}

static void
free_tables(struct gyp_flows *f)
{
	g_queue_clear(&f->active);
	g_queue_clear(&f->ended);
	g_hash_table_destroy(f->host_ids);
	g_ptr_array_free(f->hosts, TRUE);
	g_hash_table_destroy(f->by_id);
	g_hash_table_destroy(f->workspace_names);
	g_ptr_array_free(f->workspaces, TRUE);
	gyp_message_free(f->manifest);
	f->manifest = NULL;
	gyp_message_free(f->replaced);
	f->replaced = NULL;
	f->replaced_ms = 0;
}

void
gyp_flows_clear(struct gyp_flows *f)
{
	free_tables(f);
	init_tables(f);
	gyp_early_cancels_clear(f->early_cancels);
	gyp_run_forecast_clear(f->forecast);
}

struct gyp_flows *
gyp_flows_new(void)
{
	struct gyp_flows *f = g_new0(struct gyp_flows, 1);

	init_tables(f);
	f->early_cancels = gyp_early_cancels_new();
	f->forecast = gyp_run_forecast_new();
	return f;
}

bool
gyp_flow_id_parse(const char *text, uint64_t *id, uint32_t *capitals)
{
	uint32_t i;

	if (strlen(text) != GYP_FLOW_ID_DIGITS ||
	    !g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, id, NULL))
		return false;
	*capitals = 0;
	for (i = 0; i < GYP_FLOW_ID_DIGITS; i++) {
		if (g_ascii_isupper(text[i]))
			*capitals |= 1U << i;
	}
	return true;
}

void
gyp_flow_id_format(
    uint64_t id, uint32_t capitals, char text[GYP_FLOW_ID_DIGITS + 1])
{
	uint32_t i;

	g_snprintf(
	    text, GYP_FLOW_ID_DIGITS + 1, "%016" G_GINT64_MODIFIER "x", id);
	for (i = 0; i < GYP_FLOW_ID_DIGITS; i++) {
		if ((capitals & 1U << i) != 0)
			text[i] = g_ascii_toupper(text[i]);
	}
}

void
gyp_flows_free(struct gyp_flows *f)
{
	if (f == NULL)
		return;
	free_tables(f);
	gyp_early_cancels_free(f->early_cancels);
	gyp_run_forecast_free(f->forecast);
	g_free(f);
}
