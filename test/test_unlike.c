#include <glib.h>

#include "placer_world.h"

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
	struct placer_world f;
	uint64_t id;
	guint i;

	placer_world_init(&f, 8);
	for (id = 1; id <= 8; id++) {
		Gyp__Res size;

		placer_world_submit(&f, id, 2, sized_step(4, &size, 500, 1));
		placer_world_decide(&f, PLACER_LANES);
		placer_world_apply(&f);
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		Gyp__Res size;
		Gyp__FlowStep gang =
		    sized_step(8 / sizes[i], &size, 1000, sizes[i]);

		gang.gang = true;
		placer_world_submit(&f, 100 + i, 1, gang);
		placer_world_decide(&f, PLACER_LANES);
		g_assert_cmpuint(f.cmds->len, ==, 1);
		g_assert_cmpuint(
		    placer_world_start(&f, 0)->n_runs, ==, 8 / sizes[i]);
		placer_world_apply(&f);
	}
	placer_world_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/unlike/small-tasks-leave-room", test_small_tasks_leave_room);
	return g_test_run();
}
