#include <glib.h>

#include "flow_fixture.h"

/*
 * Tests of lists of ends that come in parts: an endpoint with many ends lists
 * the first ones, and the others once these are acknowledged. The incarnation
 * of endpoint "a" starts at time 1.
 */

#define FLOW  0xf1ULL
#define TASKS 4

/* A poll that is due must be sent within this time, in ms. */
#define POLL_DUE_MS 500

/* A leader polls an endpoint that it does not know at this interval, in ms. */
#define UNANSWERED_MS 300

struct fixture {
	struct flow_fixture base;
	uint32_t a; /* row of the endpoint */
};

/* All tasks of a flow run on the endpoint, started by an earlier leader. */
static void
fixture_init(struct fixture *f)
{
	Gyp__FlowStep step = flow_fixture_step(TASKS);

	flow_fixture_init(&f->base);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
	flow_fixture_start(&f->base, FLOW, 0, TASKS - 1, 1, f->a);
	flow_fixture_new_leader(&f->base, 2);
	flow_fixture_advance(&f->base, UNANSWERED_MS);
}

static const struct gyp_flow_task *
task_of(const struct fixture *f, uint32_t task)
{
	return &gyp_flow_get(f->base.flows, FLOW)->tasks[task];
}

/* Answers starts and stops until a poll is sent; *stops counts the stops. */
static struct gyp_fleet_call *
next_poll(struct fixture *f, uint32_t *stops)
{
	uint64_t end = f->base.now + POLL_DUE_MS;
	struct gyp_fleet_call *call;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
			if (call->kind == GYP_FLEET_POLL)
				return call;
			*stops += call->kind == GYP_FLEET_STOP;
			flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
		}
	}
	g_assert_not_reached();
}

/*
 * Answers the next poll with the ends of tasks first to last, numbered by task
 * from 1 on; nothing runs. more: these are not all.
 */
static void
answer_ends(struct fixture *f, uint32_t first, uint32_t last, bool more,
    Gyp__FlowHow how, uint32_t *stops)
{
	struct flow_fixture_run ends[TASKS];
	struct gyp_fleet_call *poll = next_poll(f, stops);
	uint32_t i;

	for (i = first; i <= last; i++)
		ends[i - first] =
		    (struct flow_fixture_run){FLOW, i, 1, i + 1, how};
	f->base.more_ends = more;
	flow_fixture_answer_poll(
	    &f->base, poll, 1, NULL, 0, ends, last - first + 1);
}

/*
 * Guards against a task that is done and runs again: its end came after the
 * last one that the endpoint listed, and the list was taken for all.
 */
static void
test_done_in_later_part(void)
{
	struct fixture f;
	struct gyp_fleet_call *poll;
	uint32_t stops = 0;

	fixture_init(&f);
	answer_ends(&f, 0, 1, true, GYP__FLOW_HOW__FLOW_DONE, &stops);
	g_assert_cmpint(task_of(&f, 1)->state, ==, GYP_FLOW_TASK_DONE);
	g_assert_cmpint(task_of(&f, 2)->state, ==, GYP_FLOW_TASK_OPEN);
	/* The next part comes once this one is acknowledged, without a wait. */
	poll = next_poll(&f, &stops);
	g_assert_cmpuint(poll->acked, ==, 2);
	f.base.more_ends = true;
	flow_fixture_answer_poll(&f.base, poll, 1, NULL, 0,
	    &(struct flow_fixture_run){FLOW, 2, 1, 3, GYP__FLOW_HOW__FLOW_DONE},
	    1);
	g_assert_cmpint(task_of(&f, 3)->state, ==, GYP_FLOW_TASK_OPEN);
	answer_ends(&f, 3, 3, false, GYP__FLOW_HOW__FLOW_DONE, &stops);
	g_assert_cmpuint(stops, ==, 0);
	g_assert_cmpint(
	    gyp_flow_get(f.base.flows, FLOW)->state, ==, GYP_FLOW_COMPLETED);
	flow_fixture_clear(&f.base);
}

/* Guards against a failed run that is not counted as an attempt, likewise. */
static void
test_failed_in_later_part(void)
{
	struct fixture f;
	uint32_t stops = 0;

	fixture_init(&f);
	answer_ends(&f, 0, 1, true, GYP__FLOW_HOW__FLOW_FAILED, &stops);
	g_assert_cmpint(task_of(&f, 3)->state, ==, GYP_FLOW_TASK_OPEN);
	answer_ends(&f, 2, 3, false, GYP__FLOW_HOW__FLOW_FAILED, &stops);
	g_assert_cmpuint(stops, ==, 0);
	g_assert_cmpuint(task_of(&f, 3)->failures, ==, 1);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a run that is stopped and counts as lost because the first
 * part of the ends lacks it, although it was done before the stop.
 */
static void
test_stopped_in_later_part(void)
{
	struct fixture f;
	uint32_t stops = 0;

	fixture_init(&f);
	gyp_fleet_stop_run(f.base.fleet, FLOW, 3);
	answer_ends(&f, 0, 0, true, GYP__FLOW_HOW__FLOW_DONE, &stops);
	answer_ends(&f, 1, 1, true, GYP__FLOW_HOW__FLOW_DONE, &stops);
	answer_ends(&f, 2, 2, true, GYP__FLOW_HOW__FLOW_DONE, &stops);
	g_assert_cmpuint(stops, ==, 1);
	g_assert_cmpint(task_of(&f, 3)->state, ==, GYP_FLOW_TASK_OPEN);
	answer_ends(&f, 3, 3, false, GYP__FLOW_HOW__FLOW_DONE, &stops);
	g_assert_cmpint(
	    gyp_flow_get(f.base.flows, FLOW)->state, ==, GYP_FLOW_COMPLETED);
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/partial-lists/done-in-later-part", test_done_in_later_part);
	g_test_add_func(
	    "/partial-lists/failed-in-later-part", test_failed_in_later_part);
	g_test_add_func(
	    "/partial-lists/stopped-in-later-part", test_stopped_in_later_part);
	return g_test_run();
}
