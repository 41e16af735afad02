#include <glib.h>

#include "fleet_fixture.h"

void
fleet_fixture_init(struct fleet_fixture *f, uint32_t n, bool gang)
{
	Gyp__FlowStep step = flow_fixture_step(n);

	step.gang = gang;
	flow_fixture_init(&f->base);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	flow_fixture_contact_all(&f->base);
	g_assert_true(gyp_fleet_usable(f->base.fleet, f->a));
	flow_fixture_submit(&f->base, FLEET_FIXTURE_FLOW, &step, 1);
}

const struct gyp_flow_task *
fleet_fixture_task(const struct fleet_fixture *f, uint32_t task)
{
	return &gyp_flow_get(f->base.flows, FLEET_FIXTURE_FLOW)->tasks[task];
}

uint32_t
fleet_fixture_answer_start(
    struct fleet_fixture *f, enum gyp_fleet_call_result end)
{
	struct gyp_fleet_call *call;
	uint32_t run;

	flow_fixture_advance(&f->base, 10);
	call = flow_fixture_next_call(&f->base, GYP_FLEET_START);
	g_assert_nonnull(call);
	run = call->run;
	flow_fixture_answer(&f->base, call, end);
	return run;
}

struct gyp_fleet_call *
fleet_fixture_next_poll(struct fleet_fixture *f, uint64_t within_ms)
{
	struct gyp_fleet_call *call = NULL;
	uint64_t end = f->base.now + within_ms;

	while (call == NULL && f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		call = flow_fixture_next_call(&f->base, GYP_FLEET_POLL);
	}
	g_assert_nonnull(call);
	return call;
}
