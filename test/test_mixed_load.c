#include <glib.h>

#include "placer_fixture.h"
#include "slack.h"

/*
 * Unlike work on one service at its worst load: small tasks beside wide gangs,
 * urgent work on top of batch work. Endpoints have 10 processors and 8
 * accelerators.
 */

/* A step of which each task needs so much. */
static Gyp__FlowStep
sized_step(uint32_t count, Gyp__Res *size, uint64_t cpu_milli, uint64_t accel)
{
	Gyp__FlowStep step = flow_world_step(count);

	gyp__res__init(size);
	size->cpu_milli = cpu_milli;
	size->accel = accel;
	step.size = size;
	return step;
}

/*
 * Load pattern: a pool of accelerators that is half full of tasks of one, which
 * came one flow at a time; then gangs of tasks that need two, four and all
 * eight of an endpoint. The small ones must have left whole endpoints.
 */
static void
test_small_tasks_leave_room(void)
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

/* Fills the endpoints with flows of ten tasks of one processor. */
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
	Gyp__FlowStep step = flow_world_step(10);

	step.checkpoints = true;
	return step;
}

/* Takes all stops of the round; returns how many. */
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
 * Load pattern: a burst of urgent work on a service full of batch work. Just as
 * many batch runs stop as the burst needs, once, and what they leave goes to
 * the burst, also when other batch work waits.
 */
static void
test_burst_on_full_service(void)
{
	GArray *stops =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_preempt_stop));
	struct placer_fixture f;
	guint i;

	placer_fixture_init(&f, 4);
	fill(&f, 4, 2, batch_step());
	placer_fixture_submit(&f, 50, 2, batch_step());
	placer_fixture_submit(&f, 60, 0, flow_world_step(6));
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

/* Work that would lose more than a moment, lasts, is a gang or as urgent. */
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
		gyp_fleet_beat(f.base.fleet, f.base.now, 0, 1, f.base.now);
		placer_fixture_submit(&f, 50, 2, batch_step());
		placer_fixture_submit(&f, 60, 0, flow_world_step(1));
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.cmds->len, ==, 0);
		g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
		placer_fixture_clear(&f);
	}
}

/*
 * Load pattern: a burst before batch work that has little time to spare: a stop
 * would make it late. The flow of ten tasks of 6 s has 6.1 s to spare when it
 * is accepted, which is enough for another run of a task, and then less.
 */
static void
test_no_stop_makes_others_late(void)
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
		placer_fixture_submit(&f, 60, 0, flow_world_step(1));
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpint(
		    gyp_placer_pop_stop(f.placer, &stop), ==, ages[i] == 0);
		placer_fixture_clear(&f);
	}
}

/*
 * Load pattern: a gang before a pool of accelerators full of tasks of one. It
 * gets whole endpoints, and runs stop there only; a gang that can't have all of
 * its places has nothing stopped.
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

/* A flow of ten tasks of a second, accepted so long ago, due in 2.5 s. */
static void
submit_aged(struct placer_fixture *f, uint64_t id, uint64_t age_ms)
{
	Gyp__FlowStep step = flow_world_step(10);
	struct gyp_flow *flow;

	step.estimate_ms = 1000;
	placer_fixture_submit(f, id, 1, step);
	flow = gyp_flow_get(f->base.flows, id);
	flow->spec->queue->stretch = 2;
	flow->spec->queue->target_ms = 500;
	flow->accepted_ms = gyp_flows_time(f->base.flows) - age_ms;
}

/*
 * Load pattern: overload for many seconds. What can't be in time any more goes
 * behind what can, and has nothing stopped; after long it comes first.
 */
static void
test_late_work(void)
{
	static const struct {
		uint64_t oldest_ms;
		uint64_t first;
	} rows[] = {{1400, 1}, {1600, 2}, {GYP_SLACK_STARVE_MS, 2},
	    {GYP_SLACK_STARVE_MS + 2000, 1}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct placer_fixture f;

		placer_fixture_init(&f, 1);
		submit_aged(&f, 1, rows[i].oldest_ms);
		submit_aged(&f, 2, 1000);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.cmds->len, ==, 1);
		g_assert_cmpuint(
		    placer_fixture_start(&f, 0)->flow, ==, rows[i].first);
		placer_fixture_clear(&f);
	}
}

static void
test_late_work_stops_nothing(void)
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
	    "/unlike/small-tasks-leave-room", test_small_tasks_leave_room);
	g_test_add_func(
	    "/unlike/burst-on-full-service", test_burst_on_full_service);
	g_test_add_func("/unlike/who-never-yields", test_never_preempted);
	g_test_add_func("/unlike/no-stop-makes-others-late",
	    test_no_stop_makes_others_late);
	g_test_add_func("/unlike/gang-on-full-pool", test_gang_on_full_pool);
	g_test_add_func("/unlike/late-work", test_late_work);
	g_test_add_func(
	    "/unlike/late-work-stops-nothing", test_late_work_stops_nothing);
	return g_test_run();
}
