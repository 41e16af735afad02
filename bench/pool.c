#include <stdio.h>

#include "msg.h"
#include "pool.h"

/* Interval of the heartbeats of endpoints, in ms. */
#define HEARTBEAT_MS 1000

/* Interval at which long polls are answered, in ms. */
#define POLLS_MS 400

#define LEASE_MS 6000

/* ---- Runs --------------------------------------------------------------- */

static struct pool_task *
task_at(const struct pool *p, uint64_t flow, uint32_t task)
{
	struct pool_task *tasks = p->tasks->pdata[flow];

	return &tasks[task];
}

static void
end_run(const struct pool *p, const struct gyp_flow *flow, uint32_t task,
    Gyp__FlowHow how)
{
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	end.flow = flow->id;
	end.task = task;
	end.run = flow->tasks[task].run;
	end.host = flow->tasks[task].row;
	end.how = how;
	if (how == GYP__FLOW_HOW__FLOW_STOPPED &&
	    gyp_flow_unit_of(flow, task)->step->checkpoints)
		end.checkpoint = "saved";
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	gyp_flows_apply(p->flows, p->now, &cmd);
}

static void
end_run_if_over(const struct pool *p, const struct gyp_host_run *r)
{
	const struct gyp_flow *flow = r->flow;
	struct pool_task *t = task_at(p, flow->id, r->task);
	uint64_t stop_at = t->stop_at;

	if (stop_at == 0 &&
	    p->now >= flow->tasks[r->task].changed_ms + t->left_ms)
		end_run(p, flow, r->task, GYP__FLOW_HOW__FLOW_DONE);
	if (stop_at == 0 || p->now < stop_at)
		return;
	t->stop_at = 0;
	end_run(p, flow, r->task, GYP__FLOW_HOW__FLOW_STOPPED);
}

/* Without a leader, nobody learns of ends. */
void
pool_advance(struct pool *p)
{
	uint32_t row;
	guint i;

	p->now += POOL_STEP_MS;
	for (row = 0; row < gyp_hosts_size(p->flows); row++) {
		const struct gyp_host *h = gyp_host_at(p->flows, row);

		p->booked += (double)h->booked.cpu_milli * POOL_STEP_MS;
		for (i = h->runs->len; i-- > 0 && p->scheduler != NULL;) {
			struct gyp_host_run r =
			    g_array_index(h->runs, struct gyp_host_run, i);

			end_run_if_over(p, &r);
		}
	}
}

static void
begin_stop(struct pool *p, const struct gyp_fleet_call *call)
{
	const struct gyp_flow *flow = gyp_flow_get(p->flows, call->flow);
	uint32_t task = gyp_flow_task_at(flow, 0, call->step, call->index);
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	struct pool_task *t = task_at(p, flow->id, task);
	uint64_t ran_ms = p->now - flow->tasks[task].changed_ms;
	uint64_t lost_ms = POOL_STOP_MS;

	if (flow->tasks[task].state != GYP_FLOW_TASK_OPEN ||
	    flow->tasks[task].run != call->run || t->stop_at != 0)
		return;
	t->stop_at = p->now + POOL_STOP_MS;
	if (u->step->checkpoints) {
		t->left_ms -= (uint32_t)MIN(ran_ms, t->left_ms);
		t->left_ms += POOL_RESUME_MS;
		lost_ms += POOL_RESUME_MS;
	} else {
		lost_ms += ran_ms;
	}
	p->thrown += (double)lost_ms * u->size.cpu_milli;
}

/* ---- Calls -------------------------------------------------------------- */

static void
list_run(const struct pool *p, const struct gyp_host_run *r, GArray *running)
{
	const struct gyp_flow_task *ft = &r->flow->tasks[r->task];
	const struct gyp_flow_unit *u = gyp_flow_unit_of(r->flow, r->task);
	const struct pool_task *t = task_at(p, r->flow->id, r->task);
	uint64_t ran_ms = p->now - ft->changed_ms;
	uint64_t left_ms = t->left_ms - MIN(t->left_ms, ran_ms);
	struct gyp_listed_run l = {.flow = r->flow->id,
	    .step = u->step_number,
	    .index = r->task - u->first,
	    .run = ft->run};

	l.percent = (uint32_t)(100 - 100 * MIN(left_ms, t->run_ms) / t->run_ms);
	g_array_append_val(running, l);
}

static void
answer_call(struct pool *p, struct gyp_fleet_call *call)
{
	const struct gyp_host *h = gyp_host_at(p->flows, call->row);
	struct gyp_fleet_answer a = {.call = call->id,
	    .end = GYP_FLEET_OK,
	    .has_clock = true,
	    .clock_ms = p->now,
	    .incarnation_start_ms = h->spec->born_ms,
	    .listed = call->kind == GYP_FLEET_POLL,
	    .ends_complete = true};
	guint i;

	if (call->kind == GYP_FLEET_STOP)
		begin_stop(p, call);
	a.running = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_run));
	a.ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	for (i = 0; a.listed && i < h->runs->len; i++)
		list_run(p, &g_array_index(h->runs, struct gyp_host_run, i),
		    a.running);
	gyp_flow_scheduler_call_answered(p->scheduler, p->now, &a);
	g_array_free(a.running, TRUE);
	g_array_free(a.ended, TRUE);
	gyp_fleet_call_free(call);
}

static void
answer_calls(struct pool *p)
{
	struct gyp_fleet_call *call;

	while (p->now % POLLS_MS == 0 &&
	       (call = g_queue_pop_head(&p->polls)) != NULL)
		answer_call(p, call);
	while ((call = gyp_flow_scheduler_pop_call(p->scheduler)) != NULL) {
		if (call->wait_ms > 0)
			g_queue_push_tail(&p->polls, call);
		else
			answer_call(p, call);
	}
}

static void
send_heartbeats(struct pool *p)
{
	struct gyp_fleet *fleet = gyp_flow_scheduler_fleet(p->scheduler);
	uint32_t row;

	for (row = 0; row < gyp_hosts_size(p->flows); row++)
		gyp_fleet_heartbeat(fleet, p->now, row,
		    gyp_host_at(p->flows, row)->spec->born_ms, p->now);
}

/* ---- Leader ------------------------------------------------------------- */

void
pool_decide(struct pool *p)
{
	Gyp__Cmd *cmd;

	if (p->scheduler == NULL)
		return;
	if (p->now % HEARTBEAT_MS == 0)
		send_heartbeats(p);
	gyp_flow_scheduler_round(p->scheduler, p->now, p->now, true);
	while ((cmd = gyp_flow_scheduler_pop_cmd(p->scheduler)) != NULL) {
		gyp_flows_apply(p->flows, p->now, cmd);
		gyp_message_free(cmd);
	}
	answer_calls(p);
}

void
pool_commit_flow(struct pool *p, Gyp__FlowSpec *spec, struct pool_task *tasks)
{
	Gyp__CmdFlow submit = GYP__CMD_FLOW__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	if (spec->id >= p->tasks->len)
		g_ptr_array_set_size(p->tasks, (gint)spec->id + 1);
	p->tasks->pdata[spec->id] = tasks;
	submit.spec = spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &submit;
	gyp_flows_apply(p->flows, p->now, &cmd);
	gyp_flow_scheduler_request_round(p->scheduler);
}

void
pool_lose_leader(struct pool *p)
{
	gyp_flow_scheduler_free(p->scheduler);
	gyp_flow_intake_free(p->intake);
	g_queue_clear_full(
	    &p->polls, (GDestroyNotify)(void (*)(void))gyp_fleet_call_free);
	p->scheduler = NULL;
	p->intake = NULL;
}

void
pool_new_leader(struct pool *p)
{
	struct gyp_fleet_config cfg = {.lease_ms = LEASE_MS,
	    .stop_grace_ms = POOL_STOP_MS,
	    .learn_run_times = true};

	p->scheduler =
	    gyp_flow_scheduler_new(&cfg, p->flows, p->now, ++p->fence);
	p->intake = gyp_flow_intake_new(p->flows, p->now);
}

/* ---- Construction ------------------------------------------------------- */

void
pool_init(struct pool *p, uint64_t now, uint32_t endpoints, uint32_t cpus)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host = GYP__CMD_HOST__INIT;
	Gyp__Res capacity = GYP__RES__INIT;
	char id[16];
	uint32_t i;

	*p = (struct pool){.flows = gyp_flows_new(), .now = now};
	p->tasks = g_ptr_array_new();
	capacity.cpu_milli = cpus * 1000;
	host.id = id;
	host.born_ms = 1;
	host.address = "127.0.0.1:1";
	host.pool = "pool";
	host.rack = "r1";
	host.capacity = &capacity;
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = &host;
	for (i = 0; i < endpoints; i++) {
		snprintf(id, sizeof(id), "e%u", i);
		gyp_flows_apply(p->flows, now, &cmd);
	}
	pool_new_leader(p);
}

void
pool_clear(struct pool *p)
{
	pool_lose_leader(p);
	gyp_flows_free(p->flows);
	g_ptr_array_free(p->tasks, TRUE);
}
