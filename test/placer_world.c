#include "placer_world.h"
#include "msg.h"

void
placer_world_init(struct placer_world *f, guint endpoints)
{
	guint i;

	flow_fixture_init(&f->w);
	f->admission = gyp_admission_new(f->w.flows, 1);
	f->track = gyp_run_stats_new();
	f->placer =
	    gyp_placer_new(f->w.flows, f->w.fleet, f->admission, f->track);
	f->cmds = g_ptr_array_new_with_free_func(gyp_message_free);
	f->asks = g_ptr_array_new_with_free_func(gyp_message_free);
	for (i = 0; i < endpoints; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "e%u", i);
		flow_fixture_add_host(&f->w, id, 1);
	}
	flow_fixture_contact_all(&f->w);
}

void
placer_world_clear(struct placer_world *f)
{
	g_ptr_array_free(f->cmds, TRUE);
	g_ptr_array_free(f->asks, TRUE);
	gyp_placer_free(f->placer);
	gyp_run_stats_free(f->track);
	gyp_admission_free(f->admission);
	flow_fixture_clear(&f->w);
}

void
placer_world_queue(struct placer_world *f, uint64_t id, uint32_t priority,
    bool admission, double question_ms, double each_ms)
{
	Gyp__FlowQueue *q = gyp_flow_get(f->w.flows, id)->spec->queue;

	q->priority = priority;
	q->admission = admission;
	q->admission_ms = question_ms;
	q->admission_each_ms = each_ms;
}

void
placer_world_submit(
    struct placer_world *f, uint64_t id, uint32_t priority, Gyp__FlowStep step)
{
	flow_fixture_submit(&f->w, id, &step, 1);
	placer_world_queue(f, id, priority, false, 0, 0);
}

void
placer_world_decide(struct placer_world *f, uint32_t lanes)
{
	g_ptr_array_set_size(f->cmds, 0);
	g_ptr_array_set_size(f->asks, 0);
	gyp_placer_round(
	    f->placer, f->w.now, 0, lanes, PLACER_LANES, f->cmds, f->asks);
}

const Gyp__CmdFlowStart *
placer_world_start(const struct placer_world *f, guint i)
{
	const Gyp__Cmd *cmd = f->cmds->pdata[i];

	g_assert_cmpint(cmd->c_case, ==, GYP__CMD__C_FLOW_START);
	return cmd->flow_start;
}

void
placer_world_apply(struct placer_world *f)
{
	guint i;

	for (i = 0; i < f->cmds->len; i++)
		gyp_flows_apply(f->w.flows, f->w.now, f->cmds->pdata[i]);
}

void
placer_world_confirm(struct placer_world *f)
{
	struct gyp_fleet_call *call;

	gyp_fleet_tick(f->w.fleet, f->w.now);
	while ((call = flow_fixture_next_call(&f->w, GYP_FLEET_START)) != NULL)
		flow_fixture_answer(&f->w, call, GYP_FLEET_OK);
}

void
placer_world_end(
    struct placer_world *f, uint64_t flow, uint32_t task, Gyp__FlowHow how)
{
	const struct gyp_flow_task *t =
	    &gyp_flow_get(f->w.flows, flow)->tasks[task];
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	end.flow = flow;
	end.task = task;
	end.run = t->run;
	end.host = t->host;
	end.how = how;
	end.checkpoint = how == GYP__FLOW_HOW__FLOW_STOPPED ? "saved" : "";
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	gyp_flows_apply(f->w.flows, f->w.now, &cmd);
}

void
placer_world_allow(struct placer_world *f, const Gyp__Ask *ask)
{
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket *tickets = g_new(Gyp__Ticket, ask->n_endpoints);
	Gyp__Ticket **list = g_new(Gyp__Ticket *, ask->n_endpoints);
	size_t i;

	for (i = 0; i < ask->n_endpoints; i++) {
		gyp__ticket__init(&tickets[i]);
		tickets[i].endpoint = ask->endpoints[i];
		tickets[i].ticket = "t";
		list[i] = &tickets[i];
	}
	answer.id = ask->id;
	answer.ok = true;
	answer.valid_ms = 2500;
	answer.n_tickets = ask->n_endpoints;
	answer.tickets = list;
	gyp_admission_learn(f->admission, f->w.now, &answer);
	g_free(tickets);
	g_free(list);
}
