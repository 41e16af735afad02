#include "admin_int.h"
#include "workspace_view.h"

static json_t *
res_json(const struct gyp_res *res)
{
	return json_pack("{s:I,s:I,s:I}", "cpu_milli",
	    (json_int_t)res->cpu_milli, "memory_bytes", (json_int_t)res->memory,
	    "accelerators", (json_int_t)res->accel);
}

static json_t *
view_json(const struct gyp_workspace_view *v)
{
	return json_pack("{s:s,s:f,s:o,s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:s}",
	    "name", v->name, "weight", v->rate, "cap", res_json(&v->cap),
	    "used", res_json(&v->used), "open_runs", (json_int_t)v->open,
	    "waiting_tasks", (json_int_t)v->waiting, "later_tasks",
	    (json_int_t)v->later, "accepted", (json_int_t)v->counts.accepted,
	    "excess", (json_int_t)v->counts.excess, "refused",
	    (json_int_t)v->counts.refused, "next_waits_for",
	    gyp_workspace_wait_name(v));
}

json_t *
gyp_admin_workspace_views(const GArray *views)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < views->len; i++)
		json_array_append_new(list, view_json(&g_array_index(views,
						struct gyp_workspace_view, i)));
	return list;
}

json_t *
gyp_admin_workspaces(const struct gyp_replica *r)
{
	GArray *views;
	json_t *list;

	if (r->flow_scheduler == NULL)
		return NULL;
	views = gyp_workspace_views(gyp_state_flows(r->state),
	    gyp_flow_scheduler_placer(r->flow_scheduler), r->flow_intake,
	    r->wall_ms);
	list = gyp_admin_workspace_views(views);
	g_array_free(views, TRUE);
	return list;
}
