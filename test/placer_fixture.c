#include "placer_fixture.h"
#include "msg.h"

static void
add_leader_state(struct placer_fixture *f, uint64_t fence)
{
	f->admission = gyp_admission_new(f->base.flows, fence, 0);
	f->stats = gyp_run_stats_new();
	f->placer = gyp_placer_new(
	    f->base.flows, f->base.fleet, f->admission, f->stats);
}

static void
free_leader_state(struct placer_fixture *f)
{
	gyp_placer_free(f->placer);
	gyp_run_stats_free(f->stats);
	gyp_admission_free(f->admission);
}

void
placer_fixture_new_leader(struct placer_fixture *f, uint64_t fence)
{
	free_leader_state(f);
	flow_fixture_new_leader(&f->base, fence);
	add_leader_state(f, fence);
}

void
placer_fixture_init(struct placer_fixture *f, guint endpoints)
{
	guint i;

	flow_fixture_init(&f->base);
	add_leader_state(f, 1);
	f->silent_is_replaced = false;
	f->cmds = g_ptr_array_new_with_free_func(gyp_message_free);
	f->queries = g_ptr_array_new_with_free_func(gyp_message_free);
	for (i = 0; i < endpoints; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "e%u", i);
		flow_fixture_add_host(&f->base, id, 1);
	}
	flow_fixture_contact_all(&f->base);
}

void
placer_fixture_clear(struct placer_fixture *f)
{
	g_ptr_array_free(f->cmds, TRUE);
	g_ptr_array_free(f->queries, TRUE);
	free_leader_state(f);
	flow_fixture_clear(&f->base);
}

void
placer_fixture_set_queue(struct placer_fixture *f, uint64_t id,
    uint32_t priority, bool admission, double query_ms, double each_ms)
{
	Gyp__FlowQueue *q = gyp_flow_get(f->base.flows, id)->spec->queue;

	q->priority = priority;
	q->admission = admission;
	q->admission_ms = query_ms;
	q->admission_each_ms = each_ms;
}

void
placer_fixture_submit(struct placer_fixture *f, uint64_t id, uint32_t priority,
    Gyp__FlowStep step)
{
	flow_fixture_submit(&f->base, id, &step, 1);
	placer_fixture_set_queue(f, id, priority, false, 0, 0);
}

void
placer_fixture_run_round(struct placer_fixture *f, uint32_t slots)
{
	g_ptr_array_set_size(f->cmds, 0);
	g_ptr_array_set_size(f->queries, 0);
	gyp_placer_round(f->placer, f->base.now, 0, slots, PLACER_QUERY_SLOTS,
	    f->cmds, f->queries);
}

const Gyp__CmdFlowStart *
placer_fixture_start(const struct placer_fixture *f, guint i)
{
	const Gyp__Cmd *cmd = f->cmds->pdata[i];

	g_assert_cmpint(cmd->c_case, ==, GYP__CMD__C_FLOW_START);
	return cmd->flow_start;
}

void
placer_fixture_apply(struct placer_fixture *f)
{
	guint i;

	for (i = 0; i < f->cmds->len; i++)
		gyp_flows_apply(f->base.flows, f->base.now, f->cmds->pdata[i]);
}

void
placer_fixture_confirm(struct placer_fixture *f)
{
	struct gyp_fleet_call *call;

	gyp_fleet_tick(f->base.fleet, f->base.now);
	while (
	    (call = flow_fixture_next_call(&f->base, GYP_FLEET_START)) != NULL)
		flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
}

void
placer_fixture_end_run(
    struct placer_fixture *f, uint64_t flow, uint32_t task, Gyp__FlowHow how)
{
	const struct gyp_flow_task *t =
	    &gyp_flow_get(f->base.flows, flow)->tasks[task];
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	end.flow = flow;
	end.task = task;
	end.run = t->run;
	end.host = t->row;
	end.how = how;
	end.checkpoint = how == GYP__FLOW_HOW__FLOW_STOPPED ? "saved" : "";
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	gyp_flows_apply(f->base.flows, f->base.now, &cmd);
}

void
placer_fixture_allow_all(struct placer_fixture *f, const Gyp__Ask *query)
{
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket *tickets = g_new(Gyp__Ticket, query->n_endpoints);
	Gyp__Ticket **list = g_new(Gyp__Ticket *, query->n_endpoints);
	size_t i;

	for (i = 0; i < query->n_endpoints; i++) {
		gyp__ticket__init(&tickets[i]);
		tickets[i].endpoint = query->endpoints[i];
		tickets[i].ticket = "t";
		list[i] = &tickets[i];
	}
	answer.id = query->id;
	answer.ok = true;
	answer.valid_ms = 2500;
	answer.n_tickets = query->n_endpoints;
	answer.tickets = list;
	gyp_admission_record_answer(f->admission, f->base.now, &answer);
	g_free(tickets);
	g_free(list);
}
