#include <string.h>

#include "workspace_metrics.h"

/* Label of the workspaces beyond GYP_WORKSPACES_MEASURED. */
#define OTHER_LABEL "other"

/* Longest name that is used as a label, in bytes: longer labels do not fit. */
#define LABEL_NAME_MAX 96

/* Workspaces in a log line, and characters of their names. */
#define LOGGED_MAX      5
#define LOGGED_NAME_MAX 64

/* Gauges of one label. */
struct gauges {
	uint64_t used[3], cap[3]; /* by resource */
	bool unlimited[3];
	uint64_t open, waiting;
};

static const char *const resources[] = {
    "cpu_milli", "memory_bytes", "accelerators"};

struct gyp_workspace_metrics {
	struct gyp_counters *counters;
	GHashTable *labels;  /* name -> struct gauges */
	GHashTable *submits; /* name -> uint64_t, at the previous log line */
};

/* ---- Labels ------------------------------------------------------------- */

static struct gauges *
add_label(struct gyp_workspace_metrics *m, const char *name)
{
	struct gauges *g = g_new0(struct gauges, 1);

	g_hash_table_insert(m->labels, g_strdup(name), g);
	return g;
}

/* Returns the gauges of the workspace; *label is set to its label. */
static struct gauges *
find_label(
    struct gyp_workspace_metrics *m, const char *name, const char **label)
{
	struct gauges *g = g_hash_table_lookup(m->labels, name);

	*label = name;
	if (g != NULL)
		return g;
	if (strlen(name) <= LABEL_NAME_MAX &&
	    g_hash_table_size(m->labels) <= GYP_WORKSPACES_MEASURED)
		return add_label(m, name);
	*label = OTHER_LABEL;
	return g_hash_table_lookup(m->labels, OTHER_LABEL);
}

void
gyp_workspace_metrics_submit(
    struct gyp_workspace_metrics *m, const char *workspace, const char *verdict)
{
	char labels[GYP_LABELS_MAX];
	const char *label;

	find_label(m, workspace, &label);
	gyp_count(m->counters, "gyp_flow_submits_total",
	    gyp_labels(labels, "workspace", label, "verdict", verdict, NULL),
	    1);
}

/* ---- Gauges ------------------------------------------------------------- */

static uint64_t
submits(const struct gyp_workspace_view *v)
{
	return v->counts.accepted + v->counts.excess + v->counts.refused;
}

static void
add_view(struct gyp_workspace_metrics *m, const struct gyp_workspace_view *v)
{
	const uint64_t used[] = {
	    v->used.cpu_milli, v->used.memory, v->used.accel};
	const uint64_t cap[] = {v->cap.cpu_milli, v->cap.memory, v->cap.accel};
	const char *label;
	struct gauges *g;
	size_t i;

	/* A workspace without flows takes no label of its own. */
	if (v->open + v->waiting + v->later + submits(v) == 0 &&
	    !g_hash_table_contains(m->labels, v->name))
		return;
	g = find_label(m, v->name, &label);
	g->open += v->open;
	g->waiting += v->waiting;
	for (i = 0; i < G_N_ELEMENTS(resources); i++) {
		g->used[i] += used[i];
		g->cap[i] += cap[i];
		g->unlimited[i] = g->unlimited[i] || cap[i] == 0;
	}
}

static void
set_gauges(
    struct gyp_counters *c, const char *workspace, const struct gauges *g)
{
	char labels[GYP_LABELS_MAX];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(resources); i++) {
		gyp_labels(labels, "workspace", workspace, "resource",
		    resources[i], NULL);
		gyp_gauge(c, "gyp_workspace_used", labels, g->used[i]);
		gyp_gauge(c, "gyp_workspace_cap", labels,
		    g->unlimited[i] ? 0 : g->cap[i]);
	}
	gyp_labels(labels, "workspace", workspace, NULL);
	gyp_gauge(c, "gyp_workspace_open_runs", labels, g->open);
	gyp_gauge(c, "gyp_workspace_waiting_tasks", labels, g->waiting);
}

void
gyp_workspace_metrics_set(struct gyp_workspace_metrics *m, const GArray *views)
{
	GHashTableIter iter;
	gpointer name, g;
	guint i;

	g_hash_table_iter_init(&iter, m->labels);
	while (g_hash_table_iter_next(&iter, NULL, &g))
		memset(g, 0, sizeof(struct gauges));
	for (i = 0; views != NULL && i < views->len; i++)
		add_view(
		    m, &g_array_index(views, struct gyp_workspace_view, i));
	g_hash_table_iter_init(&iter, m->labels);
	while (g_hash_table_iter_next(&iter, &name, &g)) {
		/* Without workspaces there are no such metrics. */
		if (g_hash_table_size(m->labels) > 1)
			set_gauges(m->counters, name, g);
	}
}

void
gyp_workspace_metrics_clear(struct gyp_workspace_metrics *m)
{
	gyp_workspace_metrics_set(m, NULL);
	g_hash_table_remove_all(m->submits);
}

/* ---- Log ---------------------------------------------------------------- */

/* A workspace and how busy it was since the previous line. */
struct busy {
	const struct gyp_workspace_view *view;
	uint64_t activity;
};

static gint
busiest_first(gconstpointer a, gconstpointer b)
{
	const struct busy *x = a, *y = b;

	if (x->activity != y->activity)
		return x->activity > y->activity ? -1 : 1;
	return strcmp(x->view->name, y->view->name);
}

static GArray *
list_busy(struct gyp_workspace_metrics *m, const GArray *views)
{
	GHashTable *counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct busy));
	guint i;

	for (i = 0; i < views->len; i++) {
		const struct gyp_workspace_view *v =
		    &g_array_index(views, struct gyp_workspace_view, i);
		const uint64_t *before =
		    g_hash_table_lookup(m->submits, v->name);
		uint64_t now = submits(v);
		struct busy b = {.view = v,
		    .activity = v->open + v->waiting + now -
				(before != NULL ? MIN(now, *before) : 0)};

		if (b.activity > 0)
			g_array_append_val(list, b);
		if (now > 0)
			g_hash_table_insert(counts, g_strdup(v->name),
			    g_memdup2(&now, sizeof(now)));
	}
	g_hash_table_destroy(m->submits);
	m->submits = counts;
	g_array_sort(list, busiest_first);
	return list;
}

static void
append_use(GString *line, const char *name, uint64_t used, uint64_t cap)
{
	g_string_append_printf(line, ",%s=%" G_GUINT64_FORMAT, name, used);
	if (cap > 0)
		g_string_append_printf(line, "/%" G_GUINT64_FORMAT, cap);
}

static void
append_view(GString *line, guint number, const struct gyp_workspace_view *v)
{
	char *name = gyp_event_name(v->name);

	g_string_append_printf(
	    line, " w%u=%.*s", number, LOGGED_NAME_MAX, name);
	append_use(line, "cpu_milli", v->used.cpu_milli, v->cap.cpu_milli);
	append_use(line, "memory_bytes", v->used.memory, v->cap.memory);
	append_use(line, "accel", v->used.accel, v->cap.accel);
	g_string_append_printf(line,
	    ",open=%u,waiting=%u,later=%u,accepted=%" G_GUINT64_FORMAT
	    ",excess=%" G_GUINT64_FORMAT ",refused=%" G_GUINT64_FORMAT,
	    v->open, v->waiting, v->later, v->counts.accepted, v->counts.excess,
	    v->counts.refused);
	g_free(name);
}

void
gyp_workspace_metrics_log(struct gyp_workspace_metrics *m, const GArray *views,
    struct gyp_events *events)
{
	GArray *busy = list_busy(m, views);
	GString *line = g_string_new(NULL);
	guint i;

	for (i = 0; i < MIN(busy->len, LOGGED_MAX); i++)
		append_view(
		    line, i + 1, g_array_index(busy, struct busy, i).view);
	if (busy->len > 0)
		gyp_events_add(events, "workspaces", "known=%u busy=%u%s",
		    views->len, busy->len, line->str);
	g_string_free(line, TRUE);
	g_array_free(busy, TRUE);
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_workspace_metrics *
gyp_workspace_metrics_new(struct gyp_counters *counters)
{
	struct gyp_workspace_metrics *m =
	    g_new0(struct gyp_workspace_metrics, 1);

	m->counters = counters;
	m->labels =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->submits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	add_label(m, OTHER_LABEL);
	return m;
}

void
gyp_workspace_metrics_free(struct gyp_workspace_metrics *m)
{
	if (m == NULL)
		return;
	g_hash_table_destroy(m->labels);
	g_hash_table_destroy(m->submits);
	g_free(m);
}
