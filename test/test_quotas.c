#include <string.h>

#include <glib.h>

#include "msg.h"
#include "placer_fixture.h"
#include "slack.h"

/*
 * Caps and rates of workspaces in the placement and in the tables. Tasks use
 * one CPU, endpoints have 10.
 */

static void
set_cap(struct flow_fixture *f, const char *workspace, uint32_t cpu_milli)
{
	const struct flow_fixture_cap cap = {workspace, cpu_milli};

	flow_fixture_set_caps(f, &cap, 1);
}

/* Submits a flow of one step to the workspace. */
static void
submit(struct placer_fixture *f, const char *workspace, uint64_t id,
    uint32_t priority, Gyp__FlowStep step)
{
	f->base.workspace = workspace;
	placer_fixture_submit(f, id, priority, step);
}

/* Runs proposed for the flow in this round. */
static size_t
proposed(const struct placer_fixture *f, uint64_t flow)
{
	size_t n = 0;
	guint i;

	for (i = 0; i < f->cmds->len; i++) {
		const Gyp__CmdFlowStart *s = placer_fixture_start(f, i);

		n += s->flow == flow ? s->n_runs : 0;
	}
	return n;
}

static void
run_and_apply(struct placer_fixture *f)
{
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	placer_fixture_apply(f);
	gyp_flows_check(f->base.flows);
}

static const struct gyp_workspace_use *
use_of(const struct flow_fixture *f, const char *name)
{
	uint32_t i;

	for (i = 0; i < gyp_workspaces_size(f->flows); i++) {
		if (strcmp(gyp_workspace_at(f->flows, i)->name, name) == 0)
			return gyp_workspace_at(f->flows, i);
	}
	return NULL;
}

/* ---- Placement ---------------------------------------------------------- */

/*
 * Guards against starts above a cap that binds while endpoints are free, and
 * against a wide step that does not go on as its runs end.
 */
static void
test_waves(void)
{
	struct placer_fixture f;
	uint32_t task;

	placer_fixture_init(&f, 2);
	set_cap(&f.base, "a", 3500);
	submit(&f, "a", 1, 0, flow_fixture_step(8));
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 1), ==, 3);
	for (task = 0; task < 5; task++) {
		run_and_apply(&f);
		g_assert_cmpuint(f.cmds->len, ==, 0);
		g_assert_cmpuint(gyp_placer_summary(f.placer)->over_cap, ==, 1);
		placer_fixture_end_run(&f, 1, task, GYP__FLOW_HOW__FLOW_DONE);
		run_and_apply(&f);
		g_assert_cmpuint(proposed(&f, 1), ==, 1);
	}
	placer_fixture_clear(&f);
}

/*
 * Guards against a gang that starts in part, also when other work of the
 * workspace starts before it in the round.
 */
static void
test_gang(void)
{
	struct placer_fixture f;
	Gyp__FlowStep gang = flow_fixture_step(3);

	gang.gang = true;
	placer_fixture_init(&f, 2);
	set_cap(&f.base, "a", 4000);
	submit(&f, "a", 1, 0, flow_fixture_step(2));
	submit(&f, "a", 2, 0, gang);
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 1), ==, 2);
	g_assert_cmpuint(proposed(&f, 2), ==, 0);
	placer_fixture_end_run(&f, 1, 0, GYP__FLOW_HOW__FLOW_DONE);
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 2), ==, 3);
	placer_fixture_clear(&f);
}

/*
 * Guards against a cap that binds another workspace, or work of none, and
 * against flows that together exceed it in one round.
 */
static void
test_side_by_side(void)
{
	static const struct flow_fixture_cap caps[] = {
	    {"a", 3000}, {"b", 2000}};
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	flow_fixture_set_caps(&f.base, caps, G_N_ELEMENTS(caps));
	submit(&f, "a", 1, 0, flow_fixture_step(2));
	submit(&f, "a", 2, 0, flow_fixture_step(9));
	submit(&f, "b", 3, 1, flow_fixture_step(9));
	submit(&f, NULL, 4, 2, flow_fixture_step(9));
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 1), ==, 2);
	g_assert_cmpuint(proposed(&f, 2), ==, 1);
	g_assert_cmpuint(proposed(&f, 3), ==, 2);
	g_assert_cmpuint(proposed(&f, 4), ==, 5);
	g_assert_cmpuint(use_of(&f.base, "a")->open, ==, 3);
	g_assert_cmpuint(use_of(&f.base, "b")->used.cpu_milli, ==, 2000);
	placer_fixture_clear(&f);
}

/*
 * Guards against work beyond the rate that goes before work within it, and that
 * keeps its endpoints while such work waits.
 */
static void
test_excess(void)
{
	struct placer_fixture f;
	struct gyp_preempt_stop stop;

	placer_fixture_init(&f, 1);
	f.base.excess = true;
	submit(&f, "a", 1, 0, flow_fixture_step(6));
	f.base.excess = false;
	submit(&f, "b", 2, 7, flow_fixture_step(6));
	run_and_apply(&f);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 2);
	g_assert_cmpuint(proposed(&f, 2), ==, 6);
	g_assert_cmpuint(proposed(&f, 1), ==, 4);
	placer_fixture_confirm(&f);
	submit(&f, "b", 3, 7, flow_fixture_step(2));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_true(gyp_placer_pop_stop(f.placer, &stop));
	g_assert_cmpuint(stop.flow, ==, 1);
	g_assert_cmpuint(stop.for_flow, ==, 3);
	g_assert_true(gyp_placer_pop_stop(f.placer, &stop));
	g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
	placer_fixture_clear(&f);
}

/*
 * Guards against accepted work beyond the rate that never runs, since work
 * within the rates fills the pool for good: when it has waited long enough it
 * goes by its priority, and is not stopped for work of a lower one.
 */
static void
test_excess_waits(void)
{
	struct placer_fixture f;
	struct gyp_preempt_stop stop;

	placer_fixture_init(&f, 1);
	f.base.excess = true;
	submit(&f, "a", 1, 0, flow_fixture_step(6));
	gyp_flow_get(f.base.flows, 1)->accepted_ms -= GYP_FLOW_EXCESS_WAIT_MS;
	f.base.excess = false;
	submit(&f, "b", 2, 7, flow_fixture_step(6));
	run_and_apply(&f);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 1);
	g_assert_cmpuint(proposed(&f, 1), ==, 6);
	g_assert_cmpuint(proposed(&f, 2), ==, 4);
	placer_fixture_confirm(&f);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
	placer_fixture_clear(&f);
}

/* Guards against runs that are stopped for work that its quota holds back. */
static void
test_no_stop_over_quota(void)
{
	struct placer_fixture f;
	struct gyp_preempt_stop stop;

	placer_fixture_init(&f, 1);
	set_cap(&f.base, "b", 1000);
	submit(&f, "b", 1, 0, flow_fixture_step(1));
	f.base.excess = true;
	submit(&f, "a", 2, 0, flow_fixture_step(9));
	f.base.excess = false;
	run_and_apply(&f);
	placer_fixture_confirm(&f);
	submit(&f, "b", 3, 0, flow_fixture_step(1));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
	placer_fixture_clear(&f);
}

/*
 * Guards against a gang that never starts, since small tasks of its workspace
 * take what ends: once it has waited too long, the quota is kept for it. One
 * that is larger than the cap holds nothing up.
 */
static void
test_gang_starves(void)
{
	struct placer_fixture f;
	Gyp__FlowStep gang = flow_fixture_step(3);
	uint64_t id;

	gang.gang = true;
	placer_fixture_init(&f, 1);
	set_cap(&f.base, "a", 4000);
	submit(&f, "a", 1, 0, flow_fixture_step(4));
	run_and_apply(&f);
	for (id = 2; id <= 3; id++) {
		gang.count = id == 2 ? 5 : 3;
		submit(&f, "a", id, 0, gang);
		gyp_flow_get(f.base.flows, id)->spec->queue->stretch = 1;
		gyp_flow_get(f.base.flows, id)->accepted_ms -=
		    2 * GYP_SLACK_STARVE_MS;
	}
	submit(&f, "a", 4, 0, flow_fixture_step(9));
	for (id = 0; id < 3; id++) {
		run_and_apply(&f);
		g_assert_cmpuint(f.cmds->len, ==, 0);
		placer_fixture_end_run(
		    &f, 1, (uint32_t)id, GYP__FLOW_HOW__FLOW_DONE);
	}
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 3), ==, 3);
	placer_fixture_end_run(&f, 1, 3, GYP__FLOW_HOW__FLOW_DONE);
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 4), ==, 1);
	placer_fixture_clear(&f);
}

/* Submits a flow that has been late for long enough to be starving. */
static void
submit_starving(struct placer_fixture *f, uint64_t id, Gyp__FlowStep step)
{
	submit(f, "a", id, 0, step);
	gyp_flow_get(f->base.flows, id)->spec->queue->stretch = 1;
	gyp_flow_get(f->base.flows, id)->accepted_ms -=
	    2 * GYP_SLACK_STARVE_MS + step.estimate_ms;
}

static Gyp__FlowStep
make_step(uint32_t count, uint32_t cpu_milli, uint32_t estimate_ms, bool gang)
{
	Gyp__FlowStep step = flow_fixture_step(count);

	step.size->cpu_milli = cpu_milli;
	step.estimate_ms = estimate_ms;
	step.gang = gang;
	return step;
}

/*
 * Starts a flow of tasks of one CPU, as if ago_ms before now. Its runs are
 * expected to end run_ms after that, or never if that is 0.
 */
static void
start_earlier(struct placer_fixture *f, uint64_t id, uint32_t tasks,
    uint32_t run_ms, uint64_t ago_ms)
{
	Gyp__FlowStep step = make_step(tasks, 1000, run_ms, false);
	uint32_t i;

	step.lasting = run_ms == 0;
	submit(f, "a", id, 0, step);
	run_and_apply(f);
	g_assert_cmpuint(proposed(f, id), ==, tasks);
	for (i = 0; i < tasks; i++)
		gyp_flow_get(f->base.flows, id)->tasks[i].changed_ms -= ago_ms;
}

/*
 * Guards against small jobs that never start, because a gang or a large task
 * of their workspace waits for lasting runs to end: nothing is kept for it.
 */
static void
test_behind_lasting(void)
{
	const struct gyp_workspace_use *use;
	struct placer_fixture f;
	int gang;

	for (gang = 0; gang < 2; gang++) {
		placer_fixture_init(&f, 2);
		set_cap(&f.base, "a", 10000);
		start_earlier(&f, 1, 4, 0, 60000);
		use = use_of(&f.base, "a");
		submit_starving(&f, 2,
		    gang ? make_step(7, 1000, 60000, true)
			 : make_step(1, 7000, 60000, false));
		submit_starving(&f, 3, make_step(8, 1000, 500, true));
		submit(&f, "a", 4, 0, make_step(6, 1000, 500, false));
		run_and_apply(&f);
		g_assert_cmpuint(proposed(&f, 4), ==, 6);
		g_assert_cmpuint(f.cmds->len, ==, 1);
		g_assert_cmpint(gyp_placer_wait(f.placer, use), ==,
		    GYP_PLACER_WAIT_LASTING);
		g_assert_cmpfloat(gyp_placer_cap_wait_ms(f.placer, use), ==, 0);
		set_cap(&f.base, "a", 5000);
		run_and_apply(&f);
		g_assert_cmpint(gyp_placer_wait(f.placer, use), ==,
		    GYP_PLACER_WAIT_HIGHER_CAP);
		placer_fixture_clear(&f);
	}
}

/*
 * Guards against the same behind runs that end in ten minutes: what is over by
 * then, or fits beside the gang, does not wait; what would delay it does.
 */
static void
test_behind_long_runs(void)
{
	struct placer_fixture f;
	uint32_t task;

	placer_fixture_init(&f, 3);
	set_cap(&f.base, "a", 10000);
	start_earlier(&f, 1, 4, 600000, 60000);
	submit_starving(&f, 2, make_step(8, 1000, 500, true));
	submit_starving(&f, 3, make_step(8, 1000, 500, true));
	submit(&f, "a", 4, 0, make_step(2, 1000, 500, false));
	submit(&f, "a", 5, 0, make_step(4, 1000, 700000, false));
	submit(&f, "a", 6, 0, make_step(4, 1000, 530000, false));
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 2) + proposed(&f, 3), ==, 0);
	g_assert_cmpuint(proposed(&f, 4), ==, 2);
	g_assert_cmpuint(proposed(&f, 5), ==, 2);
	g_assert_cmpuint(proposed(&f, 6), ==, 2);
	for (task = 0; task < 4; task++)
		placer_fixture_end_run(&f, 1, task, GYP__FLOW_HOW__FLOW_DONE);
	for (task = 0; task < 2; task++)
		placer_fixture_end_run(&f, 4, task, GYP__FLOW_HOW__FLOW_DONE);
	/* It waits for what went ahead, and no more does so now. */
	submit(&f, "a", 7, 0, make_step(4, 1000, 600000, false));
	run_and_apply(&f);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	for (task = 0; task < 2; task++)
		placer_fixture_end_run(&f, 6, task, GYP__FLOW_HOW__FLOW_DONE);
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 2), ==, 8);
	placer_fixture_clear(&f);
}

/*
 * Guards against a lasting task that waits for a gang although both fit, and
 * against one that takes what the gang will need.
 */
static void
test_lasting_beside_gang(void)
{
	struct placer_fixture f;
	Gyp__FlowStep lasting = make_step(5, 1000, 0, false);

	lasting.lasting = true;
	placer_fixture_init(&f, 3);
	set_cap(&f.base, "a", 10000);
	start_earlier(&f, 1, 4, 600000, 60000);
	submit_starving(&f, 2, make_step(8, 1000, 500, true));
	submit(&f, "a", 3, 0, lasting);
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 2), ==, 0);
	g_assert_cmpuint(proposed(&f, 3), ==, 2);
	run_and_apply(&f);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	placer_fixture_clear(&f);
}

/*
 * Guards against a gang that never starts beside a stream of tasks that all run
 * much longer than expected: its delay is bounded by one of them.
 */
static void
test_wrong_estimates(void)
{
	struct placer_fixture f;
	uint64_t id, started = 0;

	placer_fixture_init(&f, 2);
	set_cap(&f.base, "a", 4000);
	start_earlier(&f, 1, 2, 60000, 0);
	submit_starving(&f, 2, make_step(3, 1000, 500, true));
	for (id = 3; id < 9; id++)
		submit(&f, "a", id, 0, make_step(1, 1000, 100, false));
	run_and_apply(&f);
	placer_fixture_end_run(&f, 1, 0, GYP__FLOW_HOW__FLOW_DONE);
	placer_fixture_end_run(&f, 1, 1, GYP__FLOW_HOW__FLOW_DONE);
	for (id = 3; id < 9; id++) {
		struct gyp_flow *flow = gyp_flow_get(f.base.flows, id);

		started += flow->tasks[0].state == GYP_FLOW_TASK_OPEN;
	}
	g_assert_cmpuint(started, ==, 2);
	/* Both are over their time for long: no more of their kind start. */
	gyp_flow_get(f.base.flows, 3)->tasks[0].changed_ms -= 10000;
	gyp_flow_get(f.base.flows, 4)->tasks[0].changed_ms -= 10000;
	gyp_flow_get(f.base.flows, 2)->accepted_ms -= 20000;
	run_and_apply(&f);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	placer_fixture_end_run(&f, 3, 0, GYP__FLOW_HOW__FLOW_DONE);
	run_and_apply(&f);
	g_assert_cmpuint(proposed(&f, 2), ==, 3);
	placer_fixture_clear(&f);
}

/*
 * Guards against a load estimate that counts the same rest of a quota for each
 * waiting unit: others would be refused for work that cannot start.
 */
static void
test_waiting_work(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(1);
	uint64_t id;
	double one;

	step.estimate_ms = 1000;
	placer_fixture_init(&f, 1);
	set_cap(&f.base, "a", 12000);
	submit(&f, "a", 1, 0, flow_fixture_step(10));
	run_and_apply(&f);
	submit(&f, "a", 2, 0, step);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	one = gyp_placer_waiting(f.placer, "pool");
	g_assert_cmpfloat(one, >, 0);
	for (id = 3; id < 20; id++)
		submit(&f, "a", id, 0, step);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpfloat(gyp_placer_waiting(f.placer, "pool"), ==, 2 * one);
	placer_fixture_clear(&f);
}

/*
 * Guards against a workspace whose flows beyond its rate are accepted without
 * limit, because only its cap holds them back and the pool has room: the time
 * in which its cap lets it do what waits is known.
 */
static void
test_quota_wait(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(4);
	const struct gyp_workspace_use *use;
	uint64_t id;

	step.estimate_ms = 1000;
	placer_fixture_init(&f, 10);
	set_cap(&f.base, "a", 4000);
	submit(&f, "a", 1, 0, step);
	run_and_apply(&f);
	use = gyp_workspace_use_by_name(f.base.flows, "a");
	g_assert_cmpfloat(gyp_placer_cap_wait_ms(f.placer, use), ==, 0);
	for (id = 2; id < 12; id++)
		submit(&f, "a", id, 0, step);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpfloat(gyp_placer_cap_wait_ms(f.placer, use), ==, 10000);
	g_assert_cmpfloat(gyp_placer_waiting(f.placer, "pool"), ==, 0);
	placer_fixture_clear(&f);
}

/* ---- Admission queries -------------------------------------------------- */

/* Guards against slow queries for a unit that its quota holds back. */
static void
test_no_query_over_quota(void)
{
	struct placer_fixture f;
	uint64_t id;

	placer_fixture_init(&f, 4);
	set_cap(&f.base, "a", 1000);
	submit(&f, "a", 1, 0, flow_fixture_step(1));
	run_and_apply(&f);
	for (id = 2; id <= 3; id++) {
		submit(&f, id == 2 ? "a" : "b", id, 0, flow_fixture_step(1));
		placer_fixture_set_queue(&f, id, 0, true, 370, 5.3);
	}
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(((const Gyp__Ask *)f.queries->pdata[0])->flow, ==, 3);
	placer_fixture_end_run(&f, 1, 0, GYP__FLOW_HOW__FLOW_DONE);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(((const Gyp__Ask *)f.queries->pdata[0])->flow, ==, 2);
	placer_fixture_clear(&f);
}

static guint
count_claimed(const struct placer_fixture *f)
{
	guint n = 0;
	uint32_t row;

	for (row = 0; row < gyp_hosts_size(f->base.flows); row++)
		n += gyp_admission_claimed(f->admission, row).cpu_milli > 0;
	return n;
}

/*
 * Guards against slow queries that all name the same free endpoints, which the
 * first answer takes: each claims others. Guards against claims that outlast
 * their query: dropped, answered, or of a flow that is gone.
 */
static void
test_claims(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(2);
	Gyp__Res size = GYP__RES__INIT;
	uint64_t id, ids[3];
	guint first = 0;

	placer_fixture_init(&f, 60);
	size.cpu_milli = 10000;
	step.size = &size;
	for (id = 1; id <= 3; id++) {
		submit(&f, NULL, id, 0, step);
		placer_fixture_set_queue(&f, id, 0, true, 370, 5.3);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.queries->len, ==, 1);
		ids[id - 1] = ((const Gyp__Ask *)f.queries->pdata[0])->id;
		first = id == 1 ? count_claimed(&f) : first;
		g_assert_cmpuint(first, >, 1);
		g_assert_cmpuint(count_claimed(&f), ==, id * first);
	}
	placer_fixture_allow_all(&f, f.queries->pdata[0]);
	g_assert_cmpuint(count_claimed(&f), ==, 2 * first);
	gyp_admission_forget_flow(f.admission, gyp_flow_get(f.base.flows, 2));
	gyp_admission_drop_query(f.admission, ids[1]);
	gyp_admission_drop_query(f.admission, ids[1]);
	g_assert_cmpuint(count_claimed(&f), ==, first);
	gyp_admission_drop_query(f.admission, ids[0]);
	g_assert_cmpuint(count_claimed(&f), ==, 0);
	placer_fixture_clear(&f);
}

/* ---- Tables ------------------------------------------------------------- */

/* Tables with two endpoints and workspace "a", capped at 3 CPUs. */
static void
init_tables(struct flow_fixture *f)
{
	Gyp__FlowStep step = flow_fixture_step(8);

	flow_fixture_init(f);
	flow_fixture_add_host(f, "e0", 1);
	set_cap(f, "a", 3000);
	f->workspace = "a";
	flow_fixture_submit(f, 1, &step, 1);
	flow_fixture_submit(f, 2, &step, 1);
}

/* Starts tasks first to last of the flow and checks the use of "a". */
static void
check_start(struct flow_fixture *f, uint64_t flow, uint32_t first,
    uint32_t last, uint32_t open)
{
	flow_fixture_start(f, flow, first, last, 1, 0);
	gyp_flows_check(f->flows);
	g_assert_cmpuint(use_of(f, "a")->open, ==, open);
	g_assert_cmpuint(use_of(f, "a")->used.cpu_milli, ==, 1000 * open);
}

/*
 * Guards against a start above the cap that is applied, whole or in part, and
 * against two commands that each fit but not together.
 */
static void
test_tables_cap(void)
{
	struct flow_fixture f;

	init_tables(&f);
	check_start(&f, 1, 0, 3, 0);
	check_start(&f, 1, 0, 1, 2);
	check_start(&f, 2, 0, 1, 2);
	g_assert_cmpuint(gyp_flow_get(f.flows, 2)->open, ==, 0);
	check_start(&f, 2, 0, 0, 3);
	check_start(&f, 2, 1, 1, 3);
	flow_fixture_clear(&f);
}

/*
 * Guards against a snapshot that loses use, caps or the marks of flows beyond
 * the rate.
 */
static void
test_tables_restore(void)
{
	struct flow_fixture f;
	Gyp__FlowStep step = flow_fixture_step(1);
	Gyp__SnapFlows *saved, *snap;

	init_tables(&f);
	check_start(&f, 1, 0, 1, 2);
	f.excess = true;
	flow_fixture_submit(&f, 3, &step, 1);
	saved = gyp_flows_save(f.flows);
	snap = gyp_message_copy(&saved->base);
	gyp_flows_free_saved(saved);
	g_assert_true(gyp_flows_restore(f.flows, snap));
	gyp_message_free(snap);
	flow_fixture_new_leader(&f, 2);
	g_assert_true(gyp_flow_get(f.flows, 3)->spec->excess);
	g_assert_false(gyp_flow_get(f.flows, 1)->spec->excess);
	g_assert_cmpstr(gyp_flow_get(f.flows, 3)->use->name, ==, "a");
	g_assert_cmpuint(use_of(&f, "a")->cap.cpu_milli, ==, 3000);
	check_start(&f, 1, 2, 3, 2);
	check_start(&f, 1, 2, 2, 3);
	flow_fixture_clear(&f);
}

/*
 * Guards against a snapshot that takes longer than a leader's lease: it copied
 * each specification once more than needed.
 */
static void
test_saved_tables_are_not_copied(void)
{
	struct flow_fixture f;
	Gyp__SnapFlows *snap;

	init_tables(&f);
	check_start(&f, 1, 0, 1, 2);
	snap = gyp_flows_save(f.flows);
	g_assert_true(snap->flows[0]->spec == gyp_flow_get(f.flows, 1)->spec);
	g_assert_true(snap->hosts[0] == gyp_host_at(f.flows, 0)->spec);
	gyp_flows_free_saved(snap);
	flow_fixture_clear(&f);
}

/*
 * Guards against starts while the use is above a lowered cap, and against a
 * workspace that loses its use when a manifest leaves it out for a while.
 */
static void
test_tables_manifest(void)
{
	struct flow_fixture f;

	init_tables(&f);
	check_start(&f, 1, 0, 2, 3);
	set_cap(&f, "a", 1000);
	check_start(&f, 1, 3, 3, 3);
	set_cap(&f, "b", 1000); /* "a" is not listed: no cap */
	check_start(&f, 1, 3, 4, 5);
	set_cap(&f, "a", 5000);
	check_start(&f, 1, 5, 5, 5);
	f.manifest_version -= 2; /* an older manifest changes nothing */
	set_cap(&f, "a", 9000);
	check_start(&f, 1, 5, 5, 5);
	f.manifest_version += 2;
	set_cap(&f, "a", 6000);
	check_start(&f, 1, 5, 5, 6);
	flow_fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quotas/waves", test_waves);
	g_test_add_func("/quotas/gang", test_gang);
	g_test_add_func("/quotas/side-by-side", test_side_by_side);
	g_test_add_func("/quotas/excess", test_excess);
	g_test_add_func("/quotas/excess-waits", test_excess_waits);
	g_test_add_func("/quotas/no-stop-over-quota", test_no_stop_over_quota);
	g_test_add_func("/quotas/gang-starves", test_gang_starves);
	g_test_add_func("/quotas/behind-lasting", test_behind_lasting);
	g_test_add_func("/quotas/behind-long-runs", test_behind_long_runs);
	g_test_add_func(
	    "/quotas/lasting-beside-gang", test_lasting_beside_gang);
	g_test_add_func("/quotas/wrong-estimates", test_wrong_estimates);
	g_test_add_func("/quotas/waiting-work", test_waiting_work);
	g_test_add_func("/quotas/quota-wait", test_quota_wait);
	g_test_add_func(
	    "/quotas/no-query-over-quota", test_no_query_over_quota);
	g_test_add_func("/quotas/claims", test_claims);
	g_test_add_func("/quotas/tables-cap", test_tables_cap);
	g_test_add_func("/quotas/tables-restore", test_tables_restore);
	g_test_add_func("/quotas/saved-tables-are-not-copied",
	    test_saved_tables_are_not_copied);
	g_test_add_func("/quotas/tables-manifest", test_tables_manifest);
	return g_test_run();
}
