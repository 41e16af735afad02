#include "flow_sim_int.h"

#define MEMORY (10ULL << 30)

void
flow_sim_describe(const struct flow_sim *s, uint32_t i, Gyp__CmdHost *host)
{
	static Gyp__Res capacity = GYP__RES__INIT;

	capacity.cpu_milli = FLOW_SIM_CPU_MILLI;
	capacity.memory = MEMORY;
	gyp__cmd_host__init(host);
	host->id = (char *)s->endpoints[i].id;
	host->born_ms = s->endpoints[i].incarnation_start_ms;
	host->address = "127.0.0.1:1";
	host->pool = "pool";
	host->capacity = &capacity;
	host->draining = s->endpoints[i].drained_at != 0;
}

uint64_t
flow_sim_clock(const struct flow_sim *s, uint32_t i, uint64_t now)
{
	return clock_of(&s->endpoints[i], now);
}

bool
flow_sim_is_up(const struct flow_sim *s, uint32_t i)
{
	return is_up(s, &s->endpoints[i]) &&
	       s->now >= s->endpoints[i].disconnected_until;
}

void
flow_sim_flow_cancelled(struct flow_sim *s, uint64_t now, uint64_t flow)
{
	if (!g_hash_table_contains(s->cancelled, GSIZE_TO_POINTER((gsize)flow)))
		g_hash_table_insert(s->cancelled, GSIZE_TO_POINTER((gsize)flow),
		    GSIZE_TO_POINTER((gsize)now));
}

uint32_t
flow_sim_size(const struct flow_sim *s)
{
	return s->n_endpoints;
}

uint64_t
flow_sim_starts(const struct flow_sim *s)
{
	return s->starts;
}

uint64_t
flow_sim_confirmed(const struct flow_sim *s)
{
	return s->confirmed;
}

void
flow_sim_print_unended(const struct gyp_flows *flows)
{
	const struct gyp_flow *flow = gyp_flows_active(flows)->head->data;
	uint32_t i;

	g_printerr("flow=%016" G_GINT64_MODIFIER "x state=%s open=%u\n",
	    flow->id, gyp_flow_state_name(flow->state), flow->open);
	for (i = 0; i < flow->n_tasks; i++) {
		const struct gyp_flow_task *t = &flow->tasks[i];
		const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, i);
		const struct gyp_host *h = gyp_host_at(flows, t->row);

		if (t->state == GYP_FLOW_TASK_DONE)
			continue;
		g_printerr(
		    "task=%u step=%u gang=%d lasting=%d state=%d "
		    "run=%u failures=%u endpoint=%s since_ms=%" G_GUINT64_FORMAT
		    "\n",
		    i, u->step_number, u->step->gang, u->step->lasting,
		    t->state, t->run, t->failures,
		    h != NULL ? h->spec->id : "gone", t->changed_ms);
	}
}
