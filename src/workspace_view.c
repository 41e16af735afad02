#include <string.h>

#include "workspace_view.h"

/* Views by name; the values of the table are indices + 1. */
struct views {
	GArray *list;
	GHashTable *by_name;
};

static struct gyp_workspace_view *
get_view(struct views *v, const char *name)
{
	guint i = GPOINTER_TO_UINT(g_hash_table_lookup(v->by_name, name));

	if (i == 0) {
		struct gyp_workspace_view fresh = {.name = name};

		g_array_append_val(v->list, fresh);
		i = v->list->len;
		g_hash_table_insert(
		    v->by_name, (gpointer)name, GUINT_TO_POINTER(i));
	}
	return &g_array_index(v->list, struct gyp_workspace_view, i - 1);
}

static void
add_manifest(struct views *v, const Gyp__CmdManifest *m)
{
	size_t i;

	for (i = 0; m != NULL && i < m->n_workspaces; i++) {
		const Gyp__Workspace *ws = m->workspaces[i];
		struct gyp_workspace_view *view = get_view(v, ws->name);

		view->rate = ws->rate;
		if (ws->cap != NULL)
			view->cap = gyp_res_from(ws->cap);
	}
}

static void
add_flow(struct views *v, const struct gyp_flow *flow, uint64_t wall_ms)
{
	struct gyp_workspace_view *view;
	uint32_t waiting, later;

	if (flow->use == NULL)
		return;
	view = get_view(v, flow->use->name);
	gyp_placer_count_waiting(flow, wall_ms, &waiting, &later);
	view->waiting += waiting;
	view->later += later;
}

/* Workspaces that are in neither the manifest nor in use are left out. */
static void
add_use(struct views *v, const struct gyp_workspace_use *use,
    const struct gyp_placer *p)
{
	struct gyp_workspace_view *view;

	if (!g_hash_table_contains(v->by_name, use->name))
		return;
	view = get_view(v, use->name);
	view->used = use->used;
	view->open = use->open;
	view->wait = gyp_placer_wait(p, use);
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	const struct gyp_workspace_view *x = a, *y = b;

	return strcmp(x->name, y->name);
}

GArray *
gyp_workspace_views(const struct gyp_flows *flows, const struct gyp_placer *p,
    const struct gyp_flow_intake *intake, uint64_t wall_ms)
{
	struct views v = {
	    .list = g_array_new(FALSE, TRUE, sizeof(struct gyp_workspace_view)),
	    .by_name = g_hash_table_new(g_str_hash, g_str_equal)};
	const GList *l;
	uint32_t i;

	add_manifest(&v, gyp_flows_manifest(flows));
	for (l = gyp_flows_active(flows)->head; l != NULL; l = l->next)
		add_flow(&v, l->data, wall_ms);
	for (i = 0; i < gyp_workspaces_size(flows); i++)
		add_use(&v, gyp_workspace_at(flows, i), p);
	g_hash_table_destroy(v.by_name);
	for (i = 0; i < v.list->len; i++) {
		struct gyp_workspace_view *view =
		    &g_array_index(v.list, struct gyp_workspace_view, i);

		view->counts = gyp_flow_intake_counts(intake, view->name);
	}
	g_array_sort(v.list, by_name);
	return v.list;
}

const char *
gyp_workspace_wait_name(const struct gyp_workspace_view *view)
{
	if (view->waiting == 0)
		return view->later > 0 ? "dependency or due time"
				       : "nothing waits";
	switch (view->wait) {
	case GYP_PLACER_WAIT_CAP:
		return "quota";
	case GYP_PLACER_WAIT_LASTING:
		return "quota that lasting tasks use";
	case GYP_PLACER_WAIT_HIGHER_CAP:
		return "higher quota";
	case GYP_PLACER_WAIT_CAPACITY:
		return "capacity";
	case GYP_PLACER_WAIT_QUERY:
		return "admission query under way";
	case GYP_PLACER_WAIT_NONE:
	default:
		return "next round";
	}
}
