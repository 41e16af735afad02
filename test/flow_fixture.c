#include "flow_fixture.h"
#include "msg.h"

#define GIBIBYTE (1024ULL * 1024 * 1024)

/* Time between two ticks, in ms. */
#define STEP_MS 10

/* ---- Flow tables and commands ------------------------------------------- */

static void
on_started(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task)
{
	struct flow_fixture *f = (struct flow_fixture *)l;

	gyp_fleet_run_started(f->fleet, flow, task, f->ticket);
}

static void
on_ended(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task,
    uint32_t row, Gyp__FlowHow how)
{
	(void)row;
	(void)how;
	gyp_fleet_run_ended(((struct flow_fixture *)l)->fleet, flow, task);
}

static void
on_unwanted(struct gyp_flows_listener *l, struct gyp_flow *flow, uint32_t task)
{
	gyp_fleet_run_unwanted(((struct flow_fixture *)l)->fleet, flow, task);
}

static void
on_dropped(struct gyp_flows_listener *l, struct gyp_flow *flow)
{
	(void)l;
	(void)flow;
}

static const struct gyp_flows_listener_ops ops = {.started = on_started,
    .ended = on_ended,
    .unwanted = on_unwanted,
    .dropped = on_dropped};

Gyp__SnapFlows *
flow_fixture_snapshot(const struct gyp_flows *flows)
{
	Gyp__SnapFlows *saved = gyp_flows_save(flows);
	Gyp__SnapFlows *snap = gyp_message_copy(&saved->base);

	gyp_flows_free_saved(saved);
	return snap;
}

void
flow_fixture_new_leader(struct flow_fixture *f, uint64_t fence)
{
	struct gyp_fleet_config cfg = {.lease_ms = FLOW_FIXTURE_LEASE_MS,
	    .stop_grace_ms = 400,
	    .fence_incarnations = f->fence_incarnations,
	    .events = f->events,
	    .cell_time_ms = f->now,
	    .inventory = f->inventory,
	    .lease_bounds = f->lease_bounds,
	    .previous_term = f->term};

	gyp_fleet_free(f->fleet);
	f->term = fence;
	f->fleet = gyp_fleet_new(&cfg, f->flows, f->now, fence);
}

void
flow_fixture_init(struct flow_fixture *f)
{
	*f = (struct flow_fixture){.listener.ops = &ops, .now = 100000};
	f->flows = gyp_flows_new();
	gyp_flows_set_listener(f->flows, &f->listener);
	flow_fixture_new_leader(f, 1);
}

void
flow_fixture_clear(struct flow_fixture *f)
{
	gyp_fleet_free(f->fleet);
	gyp_flows_free(f->flows);
}

uint32_t
flow_fixture_add_host_at(struct flow_fixture *f, const char *id,
    uint64_t incarnation_start_ms, const char *address)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host = GYP__CMD_HOST__INIT;
	Gyp__Res capacity = GYP__RES__INIT;

	capacity.cpu_milli = 10000;
	capacity.memory = 10 * GIBIBYTE;
	capacity.accel = 8;
	host.id = (char *)id;
	host.born_ms = incarnation_start_ms;
	host.address = (char *)address;
	host.pool = "pool";
	host.rack = "r1";
	host.capacity = &capacity;
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = &host;
	gyp_flows_apply(f->flows, f->now, &cmd);
	return gyp_host_by_id(f->flows, id)->row;
}

uint32_t
flow_fixture_add_host(
    struct flow_fixture *f, const char *id, uint64_t incarnation_start_ms)
{
	return flow_fixture_add_host_at(
	    f, id, incarnation_start_ms, "127.0.0.1:1");
}

void
flow_fixture_drain(struct flow_fixture *f, uint32_t row)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost *host =
	    gyp_message_copy(&gyp_host_at(f->flows, row)->spec->base);

	host->draining = true;
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = host;
	gyp_flows_apply(f->flows, f->now, &cmd);
	gyp_message_free(host);
}

void
flow_fixture_commit_end(
    struct flow_fixture *f, const char *id, uint64_t incarnation_start_ms)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHostEnded ended = GYP__CMD_HOST_ENDED__INIT;

	ended.id = (char *)id;
	ended.born_ms = incarnation_start_ms;
	cmd.c_case = GYP__CMD__C_HOST_ENDED;
	cmd.host_ended = &ended;
	gyp_flows_apply(f->flows, f->now, &cmd);
}

Gyp__FlowStep
flow_fixture_step(uint32_t count)
{
	static Gyp__Res size = GYP__RES__INIT;
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT;

	size.cpu_milli = 1000;
	size.memory = GIBIBYTE;
	step.count = count;
	step.size = &size;
	return step;
}

struct gyp_flow *
flow_fixture_submit(
    struct flow_fixture *f, uint64_t id, Gyp__FlowStep *steps, size_t n)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow submit = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowStep **list = g_new(Gyp__FlowStep *, n);
	size_t i;

	for (i = 0; i < n; i++)
		list[i] = &steps[i];
	queue.name = "queue";
	queue.pool = "pool";
	queue.attempts = 3;
	spec.id = id;
	spec.queue = &queue;
	spec.n_steps = n;
	spec.steps = list;
	if (f->workspace != NULL)
		spec.workspace = (char *)f->workspace;
	spec.excess = f->excess;
	submit.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &submit;
	gyp_flows_apply(f->flows, f->now, &cmd);
	g_free(list);
	return gyp_flow_get(f->flows, id);
}

void
flow_fixture_set_caps(
    struct flow_fixture *f, const struct flow_fixture_cap *caps, size_t n)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdManifest m = GYP__CMD_MANIFEST__INIT;
	Gyp__Workspace ws[4], *list[4];
	Gyp__Res res[4];
	size_t i;

	g_assert_cmpuint(n, <=, G_N_ELEMENTS(ws));
	for (i = 0; i < n; i++) {
		gyp__workspace__init(&ws[i]);
		gyp__res__init(&res[i]);
		res[i].cpu_milli = caps[i].cpu_milli;
		ws[i].name = (char *)caps[i].workspace;
		ws[i].cap = &res[i];
		list[i] = &ws[i];
	}
	m.version = ++f->manifest_version;
	m.n_workspaces = n;
	m.workspaces = list;
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = &m;
	gyp_flows_apply(f->flows, f->now, &cmd);
}

void
flow_fixture_start(struct flow_fixture *f, uint64_t flow, uint32_t first,
    uint32_t last, uint32_t run, uint32_t row)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowStart start = GYP__CMD_FLOW_START__INIT;
	uint32_t n = last - first + 1, i;
	Gyp__FlowRun *runs = g_new(Gyp__FlowRun, n);
	Gyp__FlowRun **list = g_new(Gyp__FlowRun *, n);

	for (i = 0; i < n; i++) {
		gyp__flow_run__init(&runs[i]);
		runs[i].task = first + i;
		runs[i].host = row;
		list[i] = &runs[i];
	}
	start.flow = flow;
	start.run = run;
	start.n_runs = n;
	start.runs = list;
	start.sent_once = f->sent_once;
	cmd.c_case = GYP__CMD__C_FLOW_START;
	cmd.flow_start = &start;
	gyp_flows_apply(f->flows, f->now, &cmd);
	g_free(runs);
	g_free(list);
}

void
flow_fixture_cancel(struct flow_fixture *f, uint64_t flow)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;

	cancel.flow = flow;
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	gyp_flows_apply(f->flows, f->now, &cmd);
}

/* ---- Time and calls ----------------------------------------------------- */

static void
tick(struct flow_fixture *f)
{
	Gyp__Cmd *cmd;

	gyp_fleet_tick(f->fleet, f->now);
	while ((cmd = gyp_fleet_pop_cmd(f->fleet)) != NULL) {
		gyp_flows_apply(f->flows, f->now, cmd);
		gyp_message_free(cmd);
	}
	gyp_flows_check(f->flows);
}

void
flow_fixture_advance(struct flow_fixture *f, uint64_t ms)
{
	uint64_t end = f->now + ms;

	do {
		f->now = MIN(f->now + STEP_MS, end);
		tick(f);
	} while (f->now < end);
}

struct gyp_fleet_call *
flow_fixture_next_call(struct flow_fixture *f, enum gyp_fleet_call_kind kind)
{
	struct gyp_fleet_call *call;

	while ((call = gyp_fleet_pop_call(f->fleet)) != NULL) {
		if (call->kind == kind)
			return call;
		gyp_fleet_call_free(call);
	}
	return NULL;
}

void
flow_fixture_answer(struct flow_fixture *f, struct gyp_fleet_call *call,
    enum gyp_fleet_call_result end)
{
	struct gyp_fleet_answer a = {.call = call->id, .end = end};

	a.has_clock = end == GYP_FLEET_OK || end == GYP_FLEET_REFUSED;
	a.clock_ms = f->now - f->clock_lag_ms;
	gyp_fleet_handle_answer(f->fleet, f->now, &a);
	gyp_fleet_call_free(call);
	tick(f);
}

static void
fill_run(const struct flow_fixture *f, struct gyp_listed_run *run,
    const struct flow_fixture_run *from)
{
	*run = (struct gyp_listed_run){
	    .flow = from->flow, .index = from->index, .run = from->run};
	run->checkpoint = (char *)f->checkpoint;
}

void
flow_fixture_answer_poll(struct flow_fixture *f, struct gyp_fleet_call *call,
    uint64_t incarnation_start_ms, const struct flow_fixture_run *running,
    size_t n_running, const struct flow_fixture_run *ended, size_t n_ended)
{
	struct gyp_fleet_answer a = {.call = call->id,
	    .end = GYP_FLEET_OK,
	    .has_clock = true,
	    .clock_ms = f->now - f->clock_lag_ms,
	    .incarnation_start_ms = incarnation_start_ms,
	    .listed = true,
	    .ends_complete = !f->more_ends};
	size_t i;

	a.running = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_run));
	a.ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	for (i = 0; i < n_running; i++) {
		struct gyp_listed_run run;

		fill_run(f, &run, &running[i]);
		g_array_append_val(a.running, run);
	}
	for (i = 0; i < n_ended; i++) {
		struct gyp_listed_end end = {
		    .number = ended[i].number, .how = ended[i].how};

		fill_run(f, &end.run, &ended[i]);
		g_array_append_val(a.ended, end);
	}
	gyp_fleet_handle_answer(f->fleet, f->now, &a);
	g_array_free(a.running, TRUE);
	g_array_free(a.ended, TRUE);
	gyp_fleet_call_free(call);
	tick(f);
}

void
flow_fixture_contact_all(struct flow_fixture *f)
{
	struct gyp_fleet_call *call;

	flow_fixture_advance(f, 100);
	while ((call = flow_fixture_next_call(f, GYP_FLEET_POLL)) != NULL) {
		const struct gyp_host *h =
		    gyp_host_by_id(f->flows, call->endpoint);

		flow_fixture_answer_poll(
		    f, call, h->spec->born_ms, NULL, 0, NULL, 0);
	}
}
