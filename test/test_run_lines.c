#include <glib.h>

#include "flow_fixture.h"

/*
 * The log lines about runs that are not confirmed, in scripted runs of one flow
 * on endpoint "a".
 */

#define FLOW 0xf1ULL

/* Tasks of the flow; endpoint "a" has room for 10. */
#define TASKS 10

struct fixture {
	struct flow_fixture base;
	uint32_t a; /* row of the endpoint */
};

static void
fixture_init(struct fixture *f)
{
	Gyp__FlowStep step = flow_fixture_step(TASKS);

	flow_fixture_init(&f->base);
	f->base.events = gyp_events_new();
	flow_fixture_new_leader(&f->base, 2);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	flow_fixture_contact_all(&f->base);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
}

static void
fixture_clear(struct fixture *f)
{
	struct gyp_events *events = f->base.events;

	flow_fixture_clear(&f->base);
	gyp_events_free(events);
}

/* Advances by ms, while no call is answered. */
static void
advance(struct fixture *f, uint64_t ms)
{
	gyp_events_set_time(f->base.events, f->base.now + ms);
	flow_fixture_advance(&f->base, ms);
}

/* Removes all lines; returns how many begin with that text. */
static guint
count_lines(struct fixture *f, const char *text)
{
	struct gyp_event e;
	guint n = 0;

	while (gyp_events_pop(f->base.events, &e)) {
		char *line = g_strdup_printf("%s %s", e.name, e.fields);

		n += g_str_has_prefix(line, text);
		g_free(line);
		g_free(e.fields);
	}
	return n;
}

/* A start without an answer: a line after a second, and again each second. */
static void
test_start_unanswered(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 3, 3, 2, f.a);
	advance(&f, 900);
	g_assert_cmpuint(count_lines(&f, "run-unconfirmed"), ==, 0);
	advance(&f, 700);
	g_assert_cmpuint(
	    count_lines(&f,
		"run-unconfirmed flow=00000000000000f1 task=3 run=2 open_ms="),
	    ==, 1);
	advance(&f, 3000);
	g_assert_cmpuint(count_lines(&f, "run-unconfirmed"), ==, 3);
	fixture_clear(&f);
}

/* No more than 20 lines a scan, two scans a second. */
static void
test_lines_are_bounded(void)
{
	struct fixture f;
	Gyp__FlowStep step = flow_fixture_step(TASKS);
	guint i;

	fixture_init(&f);
	for (i = 0; i < 10; i++) {
		char *id = g_strdup_printf("h%u", i);
		uint32_t row = flow_fixture_add_host(&f.base, id, 1);

		flow_fixture_submit(&f.base, FLOW + 1 + i, &step, 1);
		flow_fixture_start(&f.base, FLOW + 1 + i, 0, TASKS - 1, 1, row);
		g_free(id);
	}
	advance(&f, 900);
	count_lines(&f, "");
	advance(&f, 1000);
	i = count_lines(&f, "run-unconfirmed");
	g_assert_cmpuint(i, >=, 20);
	g_assert_cmpuint(i, <=, 40);
	fixture_clear(&f);
}

/* The endpoint confirms a start at once, then is silent for 2 s. */
static void
test_confirmed_then_silent(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	advance(&f, 10);
	flow_fixture_answer(&f.base,
	    flow_fixture_next_call(&f.base, GYP_FLEET_START), GYP_FLEET_OK);
	advance(&f, 1800);
	g_assert_cmpuint(count_lines(&f, "run-unconfirmed"), ==, 0);
	advance(&f, 900);
	g_assert_cmpuint(count_lines(&f, "run-unconfirmed"), ==, 1);
	fixture_clear(&f);
}

/* A start is confirmed by a list, 1.2 s after it was committed. */
static void
test_confirmed_late(void)
{
	struct flow_fixture_run up = {FLOW, 0, 1, 0, 0};
	struct fixture f;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	advance(&f, 1200);
	flow_fixture_answer_poll(&f.base,
	    flow_fixture_next_call(&f.base, GYP_FLEET_POLL), 1, &up, 1, NULL,
	    0);
	g_assert_cmpuint(
	    count_lines(&f,
		"run-confirmed flow=00000000000000f1 task=0 run=1 open_ms="),
	    ==, 1);
	fixture_clear(&f);
}

/* Ends as done have a line from the second run on. */
static void
test_done(void)
{
	struct flow_fixture_run done[] = {
	    {FLOW, 0, 1, 1, GYP__FLOW_HOW__FLOW_DONE},
	    {FLOW, 1, 2, 2, GYP__FLOW_HOW__FLOW_DONE}};
	struct fixture f;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	flow_fixture_start(&f.base, FLOW, 1, 1, 2, f.a);
	advance(&f, 500);
	flow_fixture_answer_poll(&f.base,
	    flow_fixture_next_call(&f.base, GYP_FLEET_POLL), 1, NULL, 0, done,
	    2);
	g_assert_cmpuint(
	    count_lines(&f, "run-done flow=00000000000000f1 task="), ==, 1);
	fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/run-lines/start-unanswered", test_start_unanswered);
	g_test_add_func("/run-lines/lines-are-bounded", test_lines_are_bounded);
	g_test_add_func(
	    "/run-lines/confirmed-then-silent", test_confirmed_then_silent);
	g_test_add_func("/run-lines/confirmed-late", test_confirmed_late);
	g_test_add_func("/run-lines/done", test_done);
	return g_test_run();
}
