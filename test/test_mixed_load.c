#include <glib.h>

#include "placer_fixture.h"
#include "slack.h"

/*
 * Different kinds of work in one pool at its peak load: small tasks next to
 * wide gangs, urgent work on top of batch work. Endpoints have 10 processors
 * and 8 accelerators.
 */

/* Returns a step whose tasks have the given size. */
static Gyp__FlowStep
sized_step(uint32_t count, Gyp__Res *size, uint64_t cpu_milli, uint64_t accel)
{
	Gyp__FlowStep step = flow_fixture_step(count);

	gyp__res__init(size);
	size->cpu_milli = cpu_milli;
	size->accel = accel;
	step.size = size;
	return step;
}

/*
 * A pool is half full of tasks with one accelerator each, submitted one flow at
 * a time; then come gangs whose tasks need two, four or all eight accelerators
 * of an endpoint. The small tasks must have been packed so that whole endpoints
 * are free.
 */
static void
test_small_tasks_are_packed(void)
{
	static const uint32_t sizes[] = {8, 4, 2};
	struct placer_fixture f;
	uint64_t id;
	guint i;

	placer_fixture_init(&f, 8);
	for (id = 1; id <= 8; id++) {
		Gyp__Res size;

		placer_fixture_submit(&f, id, 2, sized_step(4, &size, 500, 1));
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		placer_fixture_apply(&f);
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		Gyp__Res size;
		Gyp__FlowStep gang =
		    sized_step(8 / sizes[i], &size, 1000, sizes[i]);

		gang.gang = true;
		placer_fixture_submit(&f, 100 + i, 1, gang);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.cmds->len, ==, 1);
		g_assert_cmpuint(
		    placer_fixture_start(&f, 0)->n_runs, ==, 8 / sizes[i]);
		placer_fixture_apply(&f);
	}
	placer_fixture_clear(&f);
}

/*
 * Fills the endpoints with one flow of the given step for each of them; the
 * step must need ten processors.
 */
static void
fill(struct placer_fixture *f, guint endpoints, uint32_t priority,
    Gyp__FlowStep step)
{
	uint64_t id;

	for (id = 1; id <= endpoints; id++) {
		placer_fixture_submit(f, id, priority, step);
		placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
		placer_fixture_apply(f);
		placer_fixture_confirm(f);
	}
}

static Gyp__FlowStep
batch_step(void)
{
	Gyp__FlowStep step = flow_fixture_step(10);

	step.checkpoints = true;
	return step;
}

/* Pops all stops of the round; returns their number. */
static guint
take_stops(struct placer_fixture *f, GArray *stops)
{
	struct gyp_preempt_stop stop;

	g_array_set_size(stops, 0);
	while (gyp_placer_pop_stop(f->placer, &stop))
		g_array_append_val(stops, stop);
	return stops->len;
}

/*
 * A burst of urgent work on a pool full of batch work. Exactly as many batch
 * runs are stopped as the burst needs, each once, and the burst gets the freed
 * capacity even if other batch work waits.
 */
static void
test_burst_on_full_pool(void)
{
	GArray *stops =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_preempt_stop));
	struct placer_fixture f;
	guint i;

	placer_fixture_init(&f, 4);
	fill(&f, 4, 2, batch_step());
	placer_fixture_submit(&f, 50, 2, batch_step());
	placer_fixture_submit(&f, 60, 0, flow_fixture_step(6));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	g_assert_cmpuint(take_stops(&f, stops), ==, 6);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_false(gyp_placer_pop_stop(
	    f.placer, &g_array_index(stops, struct gyp_preempt_stop, 0)));
	for (i = 0; i < stops->len; i++) {
		const struct gyp_preempt_stop *s =
		    &g_array_index(stops, struct gyp_preempt_stop, i);

		g_assert_cmpuint(s->for_flow, ==, 60);
		placer_fixture_end_run(
		    &f, s->flow, s->task, GYP__FLOW_HOW__FLOW_STOPPED);
	}
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 60);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->n_runs, ==, 6);
	placer_fixture_clear(&f);
	g_array_free(stops, TRUE);
}

/*
 * Never stopped: long-running work without checkpoints, lasting work, gangs,
 * and work that is as urgent.
 */
static void
test_never_preempted(void)
{
	Gyp__FlowStep kinds[4];
	guint i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		kinds[i] = batch_step();
	kinds[0].checkpoints = false;
	kinds[1].lasting = true;
	kinds[2].gang = true;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct gyp_preempt_stop stop;
		struct placer_fixture f;

		placer_fixture_init(&f, 1);
		fill(&f, 1, i == 3 ? 0 : 1, kinds[i]);
		f.base.now += 1000;
		gyp_fleet_heartbeat(f.base.fleet, f.base.now, 0, 1, f.base.now);
		placer_fixture_submit(&f, 50, 2, batch_step());
		placer_fixture_submit(&f, 60, 0, flow_fixture_step(1));
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.cmds->len, ==, 0);
		g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
		placer_fixture_clear(&f);
	}
}

/*
 * A burst waits for batch work with little slack, which a stop would make late.
 * The flow of ten tasks of 6 s has a slack of 6.1 s when it is accepted, enough
 * for another run of a task; 200 ms later it is not enough.
 */
static void
test_preemption_keeps_others_in_time(void)
{
	static const uint64_t ages[] = {0, 200};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(ages); i++) {
		struct gyp_preempt_stop stop;
		struct placer_fixture f;
		struct gyp_flow *flow;
		Gyp__FlowStep batch = batch_step();

		batch.estimate_ms = 6000;
		placer_fixture_init(&f, 1);
		fill(&f, 1, 2, batch);
		flow = gyp_flow_get(f.base.flows, 1);
		flow->spec->queue->stretch = 2;
		flow->spec->queue->target_ms = 100;
		flow->accepted_ms = gyp_flows_time(f.base.flows) - ages[i];
		placer_fixture_submit(&f, 60, 0, flow_fixture_step(1));
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpint(
		    gyp_placer_pop_stop(f.placer, &stop), ==, ages[i] == 0);
		placer_fixture_clear(&f);
	}
}

/*
 * A gang waits for a pool of accelerators full of tasks with one each. It gets
 * whole endpoints, and runs are stopped only there; for a gang that cannot be
 * placed as a whole, no run is stopped.
 */
static void
test_gang_on_full_pool(void)
{
	GArray *stops =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_preempt_stop));
	struct placer_fixture f;
	Gyp__Res small, large;
	Gyp__FlowStep ones = sized_step(16, &small, 100, 1);
	Gyp__FlowStep gang = sized_step(3, &large, 1000, 8);
	guint i;

	ones.checkpoints = true;
	gang.gang = true;
	placer_fixture_init(&f, 2);
	placer_fixture_submit(&f, 1, 2, ones);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	placer_fixture_apply(&f);
	placer_fixture_confirm(&f);
	placer_fixture_submit(&f, 2, 1, gang);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(take_stops(&f, stops), ==, 0);
	gyp_flow_get(f.base.flows, 2)->state = GYP_FLOW_CANCELLED;

	gang.count = 1;
	placer_fixture_submit(&f, 3, 1, gang);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(take_stops(&f, stops), ==, 8);
	for (i = 0; i < stops->len; i++) {
		const struct gyp_preempt_stop *s =
		    &g_array_index(stops, struct gyp_preempt_stop, i);

		g_assert_cmpuint(s->row, ==,
		    g_array_index(stops, struct gyp_preempt_stop, 0).row);
		placer_fixture_end_run(
		    &f, s->flow, s->task, GYP__FLOW_HOW__FLOW_STOPPED);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.cmds->len, ==, i + 1 == stops->len);
	}
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 3);
	placer_fixture_clear(&f);
	g_array_free(stops, TRUE);
}

/*
 * Submits a flow of ten tasks of 1 s that was accepted age_ms ago, with an
 * objective of 2.5 s.
 */
static void
submit_aged(struct placer_fixture *f, uint64_t id, uint64_t age_ms)
{
	Gyp__FlowStep step = flow_fixture_step(10);
	struct gyp_flow *flow;

	step.estimate_ms = 1000;
	placer_fixture_submit(f, id, 1, step);
	flow = gyp_flow_get(f->base.flows, id);
	flow->spec->queue->stretch = 2;
	flow->spec->queue->target_ms = 500;
	flow->accepted_ms = gyp_flows_time(f->base.flows) - age_ms;
}

/*
 * Overload for many seconds. A flow that can no longer be in time is ordered
 * after those that can; after GYP_SLACK_STARVE_MS it is ordered first.
 */
static void
test_late_work(void)
{
	static const struct {
		uint64_t oldest_ms;
		uint64_t first;
	} cases[] = {{1400, 1}, {1600, 2}, {GYP_SLACK_STARVE_MS, 2},
	    {GYP_SLACK_STARVE_MS + 2000, 1}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct placer_fixture f;

		placer_fixture_init(&f, 1);
		submit_aged(&f, 1, cases[i].oldest_ms);
		submit_aged(&f, 2, 1000);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.cmds->len, ==, 1);
		g_assert_cmpuint(
		    placer_fixture_start(&f, 0)->flow, ==, cases[i].first);
		placer_fixture_clear(&f);
	}
}

static void
test_late_work_never_preempts(void)
{
	struct gyp_preempt_stop stop;
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	fill(&f, 1, 2, batch_step());
	submit_aged(&f, 60, 2000);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
	submit_aged(&f, 61, 1000);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_true(gyp_placer_pop_stop(f.placer, &stop));
	g_assert_cmpuint(stop.for_flow, ==, 61);
	placer_fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/mixed-load/small-tasks-are-packed", test_small_tasks_are_packed);
	g_test_add_func(
	    "/mixed-load/burst-on-full-pool", test_burst_on_full_pool);
	g_test_add_func("/mixed-load/never-preempted", test_never_preempted);
	g_test_add_func("/mixed-load/preemption-keeps-others-in-time",
	    test_preemption_keeps_others_in_time);
	g_test_add_func(
	    "/mixed-load/gang-on-full-pool", test_gang_on_full_pool);
	g_test_add_func("/mixed-load/late-work", test_late_work);
	g_test_add_func("/mixed-load/late-work-never-preempts",
	    test_late_work_never_preempts);
	return g_test_run();
}
