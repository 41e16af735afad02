#include "flow_sim_int.h"

/* A start sent this long after a committed cancellation is a fault, in ms. */
#define CANCEL_LIMIT_MS 3000

void
flow_sim_check_start(struct flow_sim *s, const struct endpoint *e,
    const struct gyp_flow *flow, uint32_t task, uint32_t cpu_milli)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	gpointer key = task_key(flow->id, task);
	gpointer at = g_hash_table_lookup(
	    s->cancelled, GSIZE_TO_POINTER((gsize)flow->id));
	uint64_t used = cpu_milli;
	guint i, j;

	if (g_hash_table_contains(s->done, key) && !u->step->lasting)
		g_error("task %u of %" G_GUINT64_FORMAT " runs after done",
		    task, flow->id);
	if (lookup_uint(s->failed, key) >= 3 && !u->step->lasting)
		g_error("task runs after its last allowed failure");
	/* An endpoint may carry out a call late that was sent in time. */
	if (at != NULL && s->sent_at > GPOINTER_TO_SIZE(at) + CANCEL_LIMIT_MS)
		g_error("start sent long after the flow was cancelled");
	if (!gyp_flow_unit_is_ready(flow, u))
		g_error("task runs before those that it depends on");
	for (i = 0; i < s->n_endpoints; i++) {
		const struct endpoint *other = &s->endpoints[i];

		for (j = 0; j < other->runs->len && is_up(s, other); j++) {
			const struct run *r =
			    &g_array_index(other->runs, struct run, j);

			if (r->flow == flow->id && r->task == task)
				g_error("task %u of %" G_GUINT64_FORMAT
					" runs twice, runs %u on %s and %s",
				    task, flow->id, r->run, other->id, e->id);
		}
	}
	for (j = 0; j < e->runs->len; j++) {
		const struct run *r = &g_array_index(e->runs, struct run, j);

		used +=
		    gyp_flow_unit_of(gyp_flow_get(s->flows, r->flow), r->task)
			->size.cpu_milli;
	}
	if (used > FLOW_SIM_CPU_MILLI)
		g_error("endpoint is over its capacity");
}

/* True if a start of the run is on its way to any incarnation. */
static bool
start_is_in_transit(
    const struct flow_sim *s, const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	guint i;

	for (i = 0; i < s->messages->len; i++) {
		const struct message *p = s->messages->pdata[i];
		const struct gyp_fleet_call *c = p->call;

		if (c != NULL && c->kind == GYP_FLEET_START &&
		    c->flow == flow->id && c->repetition == u->repetition &&
		    c->step == u->step_number && c->index == task - u->first &&
		    c->run == flow->tasks[task].run)
			return true;
	}
	return false;
}

void
flow_sim_check_confirmed(
    struct flow_sim *s, const Gyp__CmdFlowConfirmed *confirmed)
{
	const struct gyp_flow *flow = gyp_flow_get(s->flows, confirmed->flow);
	const struct gyp_flow_task *t = &flow->tasks[confirmed->task];
	const struct started *started = g_hash_table_lookup(
	    s->started, task_key(confirmed->flow, confirmed->task));

	if (t->state != GYP_FLOW_TASK_OPEN || t->run != confirmed->run)
		return;
	s->confirmed++;
	if (started == NULL || started->run != t->run ||
	    started->incarnation_start_ms != confirmed->born_ms)
		g_error("run %u of task %u is confirmed for an incarnation "
			"that does not have it",
		    t->run, confirmed->task);
	if (start_is_in_transit(s, flow, confirmed->task))
		g_error("run %u of task %u is confirmed, and a start of it "
			"is on its way",
		    t->run, confirmed->task);
}

uint64_t
flow_sim_cpu(const struct flow_sim *s, const struct gyp_workspace_use *use)
{
	uint64_t sum = 0;
	guint i, j;

	for (i = 0; i < s->n_endpoints; i++) {
		const struct endpoint *e = &s->endpoints[i];

		for (j = 0; j < e->runs->len && is_up(s, e); j++) {
			const struct run *r =
			    &g_array_index(e->runs, struct run, j);
			const struct gyp_flow *flow =
			    gyp_flow_get(s->flows, r->flow);

			if (flow->use == use)
				sum += gyp_flow_unit_of(flow, r->task)
					   ->size.cpu_milli;
		}
	}
	return sum;
}
