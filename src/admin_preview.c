#include <string.h>

#include "admin_int.h"
#include "cap_hold.h"
#include "endpoint_ranking.h"
#include "flow_int.h"
#include "flow_json.h"
#include "msg.h"
#include "quota.h"
#include "workspace.h"

/*
 * Where a flow that is not submitted would go now. Uses the functions that
 * decide on flows, and changes neither the tables nor later decisions.
 */

/*
 * Steps in a preview: each is compared with all endpoints, and a leader must
 * not be busy with one report for long.
 */
#define STEPS_MAX 32

/* Candidates listed for each step. */
#define CANDIDATES_LISTED 5

struct preview {
	const struct gyp_replica *r;
	struct gyp_flows *flows;
	struct gyp_placer *placer;
	const struct gyp_capacity_index *capacities;
	Gyp__FlowSpec *spec;
	const Gyp__Workspace *ws;     /* or NULL */
	struct gyp_workspace_use use; /* committed use of ws */
	struct gyp_flow *flow;
};

/* ---- Input -------------------------------------------------------------- */

static const Gyp__FlowQueue *
queue_by_name(const Gyp__CmdManifest *m, const char *name)
{
	size_t i;

	for (i = 0; i < m->n_queues; i++) {
		if (strcmp(m->queues[i]->name, name) == 0)
			return m->queues[i];
	}
	return NULL;
}

/*
 * Checks the specification, sets the workspace and replaces the queue's name by
 * the queue. Returns NULL or an error.
 */
static const char *
resolve_spec(struct preview *v)
{
	const Gyp__CmdManifest *m = gyp_flows_manifest(v->flows);
	const ProtobufCBinaryData no_key = {.len = 0};
	const Gyp__FlowQueue *q;
	const Gyp__Workspace *none;

	if (m == NULL)
		return "no manifest yet";
	q = queue_by_name(m, v->spec->queue->name);
	if (q == NULL)
		return "queue: expected the name of a queue of the manifest";
	if (v->spec->workspace[0] != '\0') {
		v->ws = gyp_workspace_by_name(m, v->spec->workspace);
		if (v->ws == NULL)
			return "workspace: expected the name of a workspace of "
			       "the manifest";
	} else if (gyp_workspace_access(m, q, &no_key, &none) !=
		   GYP_ACCESS_GRANTED) {
		return "workspace: the queue requires one";
	}
	gyp_message_free(v->spec->queue);
	v->spec->queue = gyp_message_copy(&q->base);
	if (v->spec->n_steps > STEPS_MAX)
		return "steps: at most " G_STRINGIFY(STEPS_MAX) " in a preview";
	return gyp_flow_check_spec(v->spec);
}

/* ---- Flow --------------------------------------------------------------- */

/* Sets a row that is not in the tables, see gyp_placer_allowance(). */
static void
copy_use(struct preview *v)
{
	const struct gyp_workspace_use *use =
	    gyp_workspace_use_by_name(v->flows, v->ws->name);

	v->use.row = UINT32_MAX;
	v->use.name = v->ws->name;
	v->use.cap = gyp_quota_from(v->ws->cap);
	if (use == NULL)
		return;
	v->use.used = use->used;
	v->use.lasting = use->lasting;
}

static void
make_flow(struct preview *v)
{
	v->flow = gyp_flow_make(v->spec);
	v->flow->accepted_ms = gyp_replica_cell_time(v->r);
	if (v->ws == NULL)
		return;
	copy_use(v);
	v->flow->use = &v->use;
}

/* ---- Steps -------------------------------------------------------------- */

static json_t *
candidates_json(const struct preview *v, const GArray *ranking)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < ranking->len; i++) {
		const struct gyp_ranked_endpoint *e =
		    &g_array_index(ranking, struct gyp_ranked_endpoint, i);
		const struct gyp_host *h = gyp_host_at(v->flows, e->row);

		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:I,s:f}", "endpoint",
			      h->spec->id, "rack", h->spec->rack, "tasks",
			      (json_int_t)e->count, "score", e->score));
	}
	return list;
}

static const char *
quota_wait_name(const struct gyp_candidate *c)
{
	switch (gyp_cap_fit(c->flow->use, c->unit)) {
	case GYP_CAP_LASTING:
		return "quota that lasting tasks use";
	case GYP_CAP_TOO_LOW:
		return "higher quota";
	case GYP_CAP_FITS:
	default:
		return "quota";
	}
}

static const char *
waits_for(const struct preview *v, const struct gyp_candidate *c,
    uint32_t allowed, uint32_t suit, uint64_t free_tasks)
{
	const Gyp__FlowStep *step = c->unit->step;

	if (!gyp_flow_unit_is_ready(c->flow, c->unit))
		return "steps before it";
	if (!gyp_placer_unit_is_due(c->flow, c->unit, v->r->wall_ms))
		return "its due time";
	if (allowed == 0)
		return quota_wait_name(c);
	if (suit == 0)
		return "an endpoint that suits";
	if (free_tasks == 0 || (step->gang && free_tasks < step->count))
		return "capacity";
	if (c->flow->spec->queue->admission)
		return "admission query";
	if (allowed < step->count)
		return "quota, for some of its tasks";
	if (free_tasks < step->count)
		return "capacity, for some of its tasks";
	return "nothing";
}

/* Without learned run times there is no quantile. */
static void
add_run_time(
    const struct preview *v, const struct gyp_candidate *c, json_t *json)
{
	const struct gyp_run_forecast *f = gyp_flows_forecast(v->flows);
	uint64_t median_ms = gyp_run_stats_time_ms(
	    gyp_flow_scheduler_stats(v->r->flow_scheduler), c->flow, c->unit,
	    GYP_RUN_ORDER);

	json_object_set_new(
	    json, "median_ms", json_integer((json_int_t)median_ms));
	json_object_set_new(json, "p90_ms",
	    v->r->cfg.learn_run_times
		? json_integer(
		      (json_int_t)gyp_run_forecast_ms(f, c->flow, c->unit, 0.9))
		: json_null());
}

static json_t *
step_json(const struct preview *v, struct gyp_flow_unit *unit)
{
	struct gyp_candidate c = {.flow = v->flow, .unit = unit};
	GArray *ranking = gyp_placer_preview(v->placer, &c);
	uint32_t allowed = gyp_placer_allowance(v->placer, &c);
	uint32_t misfits[GYP_MISFITS], suit, full;
	uint64_t free_tasks = gyp_ranking_total(ranking);
	json_t *json;

	gyp_capacity_index_count_misfits(v->capacities, &c, misfits);
	suit = misfits[GYP_MISFIT_NONE];
	full = suit - ranking->len;
	gyp_ranking_keep_best(ranking, CANDIDATES_LISTED);
	json = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:o}", "step",
	    (json_int_t)unit->step_number, "tasks",
	    (json_int_t)unit->step->count, "suit", (json_int_t)suit, "full",
	    (json_int_t)full, "free_tasks", (json_int_t)free_tasks,
	    "quota_tasks", (json_int_t)allowed, "waits_for",
	    waits_for(v, &c, allowed, suit, free_tasks), "candidates",
	    candidates_json(v, ranking));
	json_object_set_new(json, "ruled_out",
	    json_pack("{s:I,s:I,s:I,s:I,s:I}", "no_contact",
		(json_int_t)misfits[GYP_MISFIT_CONTACT], "failures",
		(json_int_t)misfits[GYP_MISFIT_FAILURES], "size",
		(json_int_t)misfits[GYP_MISFIT_SIZE], "label",
		(json_int_t)misfits[GYP_MISFIT_LABEL], "sharing",
		(json_int_t)misfits[GYP_MISFIT_SHARING]));
	add_run_time(v, &c, json);
	g_array_free(ranking, TRUE);
	return json;
}

/* ---- Report ------------------------------------------------------------- */

static json_t *
preview_json(const struct preview *v)
{
	const Gyp__FlowQueue *q = v->flow->spec->queue;
	struct gyp_pool_load load =
	    gyp_flow_scheduler_load(v->r->flow_scheduler, q->pool,
		v->ws != NULL ? gyp_workspace_use_by_name(v->flows, v->ws->name)
			      : NULL);
	uint32_t retry_ms = 0;
	enum gyp_intake_verdict verdict = gyp_flow_intake_preview(
	    v->r->flow_intake, gyp_replica_cell_time(v->r), v->ws, q->target_ms,
	    &load, &retry_ms);
	json_t *steps = json_array();
	size_t i;

	for (i = 0; i < v->flow->spec->n_steps; i++)
		json_array_append_new(steps, step_json(v, &v->flow->units[i]));
	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:o}", "queue", q->name,
	    "pool", q->pool, "workspace", v->ws != NULL ? v->ws->name : "",
	    "verdict", gyp_intake_verdict_name(verdict), "retry_ms",
	    (json_int_t)retry_ms, "pool_delay_ms",
	    (json_int_t)gyp_load_shed_delay_ms(&load), "run_times",
	    v->r->cfg.learn_run_times ? "learned" : "statistics", "steps",
	    steps);
}

json_t *
gyp_admin_preview(
    const struct gyp_replica *r, const char *text, Gyp__Code *code)
{
	struct gyp_slice slice = {(const uint8_t *)text, strlen(text)};
	struct gyp_error err = {.code = GYP_OK};
	struct preview v = {.r = r, .flows = gyp_state_flows(r->state)};
	const char *error;
	json_t *json;

	if (r->flow_scheduler == NULL)
		return NULL;
	v.placer = gyp_flow_scheduler_placer(r->flow_scheduler);
	v.spec = gyp_flow_json_parse(slice, &err);
	error = v.spec != NULL ? resolve_spec(&v) : err.message;
	if (error != NULL) {
		*code = GYP__CODE__CODE_BAD;
		json = json_pack("{s:s}", "error", error);
	} else {
		make_flow(&v);
		v.capacities = gyp_placer_begin_preview(v.placer, r->now);
		json = preview_json(&v);
		gyp_flow_free(v.flow);
	}
	gyp_message_free(v.spec);
	return json;
}
