#include "flow_fixture.h"
#include "flow_scheduler.h"

/*
 * Whether the scheduler stops runs that make no progress. One endpoint, with a
 * flow of which enough tasks have ended to know how long the others take.
 */

#define FLOW       0xf1ULL
#define ENDED      10  /* tasks that have ended */
#define USUAL_MS   400 /* their run time */
#define PROGRESS   40  /* percent of work done, listed for the run */
#define STOPPED_MS 2500
#define STEP_MS    50

struct fixture {
	struct flow_fixture base;
	struct gyp_flow_scheduler *fs;
	bool stopped; /* the run of the task that stalls was stopped */
	bool learns;
};

static void
new_leader(struct fixture *f, uint64_t fence)
{
	struct gyp_fleet_config cfg = {.lease_ms = FLOW_FIXTURE_LEASE_MS,
	    .stop_grace_ms = 400,
	    .learn_run_times = f->learns};

	gyp_flow_scheduler_free(f->fs);
	f->fs = gyp_flow_scheduler_new(&cfg, f->base.flows, f->base.now, fence);
}

static void
end_task(struct fixture *f, uint32_t task)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	end.flow = FLOW;
	end.task = task;
	end.run = 1;
	end.how = GYP__FLOW_HOW__FLOW_DONE;
	end.checkpoint = "";
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	gyp_flows_apply(f->base.flows, f->base.now, &cmd);
}

/* Lists the run of the last task, which makes no progress. */
static void
answer(struct fixture *f, const struct gyp_fleet_call *call)
{
	const struct gyp_listed_run run = {
	    .flow = FLOW, .index = ENDED, .run = 1, .percent = PROGRESS};
	struct gyp_fleet_answer a = {.call = call->id,
	    .end = GYP_FLEET_OK,
	    .has_clock = true,
	    .clock_ms = f->base.now,
	    .incarnation_start_ms = 1,
	    .listed = call->kind == GYP_FLEET_POLL,
	    .ends_complete = true};

	a.running = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_run));
	a.ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	if (a.listed)
		g_array_append_val(a.running, run);
	gyp_flow_scheduler_call_answered(f->fs, f->base.now, &a);
	g_array_free(a.running, TRUE);
	g_array_free(a.ended, TRUE);
}

/* The endpoint answers all calls for that time. */
static void
run_for(struct fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;

	while (f->base.now < end) {
		struct gyp_fleet_call *call;

		f->base.now += STEP_MS;
		gyp_flow_scheduler_round(f->fs, f->base.now, 0, false);
		while ((call = gyp_flow_scheduler_pop_call(f->fs)) != NULL) {
			f->stopped |= call->kind == GYP_FLEET_STOP;
			answer(f, call);
			gyp_fleet_call_free(call);
		}
	}
}

/* The last task runs at the endpoint, for less than a stall takes. */
static void
fixture_init(struct fixture *f, bool learns)
{
	Gyp__FlowStep step = flow_fixture_step(ENDED + 1);
	uint32_t i;

	*f = (struct fixture){.learns = learns};
	flow_fixture_init(&f->base);
	flow_fixture_add_host(&f->base, "e0", 1);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
	new_leader(f, 1);
	flow_fixture_start(&f->base, FLOW, 0, ENDED - 1, 1, 0);
	f->base.now += USUAL_MS;
	for (i = 0; i < ENDED; i++)
		end_task(f, i);
	flow_fixture_start(&f->base, FLOW, ENDED, ENDED, 1, 0);
	run_for(f, 500);
	g_assert_false(f->stopped);
}

static void
fixture_clear(struct fixture *f)
{
	gyp_flow_scheduler_free(f->fs);
	flow_fixture_clear(&f->base);
}

static void
test_stalled(void)
{
	struct fixture f;

	fixture_init(&f, true);
	run_for(&f, STOPPED_MS);
	g_assert_true(f.stopped);
	fixture_clear(&f);
}

/*
 * Guards against a run that stalls over an election: its endpoint answers and
 * extends the lease, so no later leader would ever end it.
 */
static void
test_stalled_over_election(void)
{
	struct fixture f;

	fixture_init(&f, true);
	new_leader(&f, 2);
	run_for(&f, STOPPED_MS);
	g_assert_true(f.stopped);
	fixture_clear(&f);
}

/*
 * Without a known run time, a slow run looks the same. That of an earlier
 * leader may have done much work and goes on.
 */
static void
test_unknown_over_election(void)
{
	struct fixture f;

	fixture_init(&f, false);
	gyp_flow_get(f.base.flows, FLOW)->units[0].timed_runs = 0;
	new_leader(&f, 2);
	run_for(&f, 4 * STOPPED_MS);
	g_assert_false(f.stopped);
	fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stragglers/stalled", test_stalled);
	g_test_add_func(
	    "/stragglers/stalled-over-election", test_stalled_over_election);
	g_test_add_func(
	    "/stragglers/unknown-over-election", test_unknown_over_election);
	return g_test_run();
}
