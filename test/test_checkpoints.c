#include <string.h>

#include <glib.h>

#include "fleet_fixture.h"
#include "msg.h"

/* Tests of what a task resumes from after its run is lost. */

/* Endpoint "a" lists run 1 of task 0 as running, with that checkpoint. */
static void
list_run(struct fleet_fixture *f, const char *checkpoint)
{
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 0, 1, 0, 0};

	f->base.checkpoint = checkpoint;
	flow_fixture_answer_poll(
	    &f->base, fleet_fixture_next_poll(f, 1000), 1, &up, 1, NULL, 0);
	f->base.checkpoint = NULL;
}

/* Loses all calls until the run of task 0 is over. */
static void
lose_run(struct fleet_fixture *f)
{
	struct gyp_fleet_call *call;

	while (fleet_fixture_task(f, 0)->state == GYP_FLOW_TASK_OPEN) {
		flow_fixture_advance(&f->base, 10);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL)
			flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
	}
}

/* The next start of task 0, at another endpoint, carries that checkpoint. */
static void
expect_resumes_from(struct fleet_fixture *f, const char *checkpoint)
{
	uint32_t b = flow_fixture_add_host(&f->base, "b", 1);
	struct gyp_fleet_call *call;

	flow_fixture_contact_all(&f->base);
	flow_fixture_start(&f->base, FLEET_FIXTURE_FLOW, 0, 0, 2, b);
	flow_fixture_advance(&f->base, 10);
	call = flow_fixture_next_call(&f->base, GYP_FLEET_START);
	g_assert_nonnull(call);
	g_assert_cmpstr(call->checkpoint, ==, checkpoint);
	gyp_fleet_call_free(call);
}

/*
 * Guards against a run that is nearly done, is lost with its endpoint, and is
 * done again from the start although the endpoint has listed a checkpoint.
 */
static void
test_lapsed_run_resumes(void)
{
	struct fleet_fixture f;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	list_run(&f, "c1");
	list_run(&f, "c2");
	lose_run(&f);
	expect_resumes_from(&f, "c2");
	flow_fixture_clear(&f.base);
}

/* The same when the endpoint restarts, and no longer lists the run. */
static void
test_lost_run_resumes(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *call;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	list_run(&f, "c1");
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	while (fleet_fixture_task(&f, 0)->state == GYP_FLOW_TASK_OPEN) {
		flow_fixture_advance(&f.base, 10);
		while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL) {
			if (call->kind == GYP_FLEET_POLL)
				flow_fixture_answer_poll(
				    &f.base, call, 2, NULL, 0, NULL, 0);
			else
				flow_fixture_answer(
				    &f.base, call, GYP_FLEET_OK);
		}
	}
	expect_resumes_from(&f, "c1");
	flow_fixture_clear(&f.base);
}

/* The same when the endpoint announces that it ends. */
static void
test_departed_run_resumes(void)
{
	struct fleet_fixture f;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	list_run(&f, "c1");
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	lose_run(&f);
	expect_resumes_from(&f, "c1");
	flow_fixture_clear(&f.base);
}

/* A list without a checkpoint does not discard an earlier one. */
static void
test_empty_checkpoint_keeps_earlier(void)
{
	struct fleet_fixture f;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	list_run(&f, "c1");
	list_run(&f, NULL);
	lose_run(&f);
	expect_resumes_from(&f, "c1");
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a gang that loses progress: one member ended with a later
 * checkpoint than was listed of another, which is lost after it.
 */
static void
test_lost_gang_keeps_later_checkpoint(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run end = {
	    FLEET_FIXTURE_FLOW, 1, 1, 1, GYP__FLOW_HOW__FLOW_BROKEN};
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 0, 1, 0, 0};

	fleet_fixture_init(&f, 2, true);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 1, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	list_run(&f, "c1");
	f.base.checkpoint = "c2";
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 1, NULL, 0, &end, 1);
	f.base.checkpoint = "c1";
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 1, &up, 1, NULL, 0);
	lose_run(&f);
	g_assert_cmpstr(fleet_fixture_task(&f, 0)->checkpoint, ==, "c2");
	g_assert_cmpstr(fleet_fixture_task(&f, 1)->checkpoint, ==, "c2");
	flow_fixture_clear(&f.base);
}

/* The same when both members are lost before either end is committed. */
static void
test_gang_lost_at_once_keeps_later_checkpoint(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run up[] = {
	    {FLEET_FIXTURE_FLOW, 0, 1, 0, 0}, {FLEET_FIXTURE_FLOW, 1, 1, 0, 0}};

	fleet_fixture_init(&f, 2, true);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 1, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	f.base.checkpoint = "c1";
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 1, &up[1], 1, NULL, 0);
	f.base.checkpoint = "c2";
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 1, &up[0], 1, NULL, 0);
	lose_run(&f);
	g_assert_cmpstr(fleet_fixture_task(&f, 0)->checkpoint, ==, "c2");
	g_assert_cmpstr(fleet_fixture_task(&f, 1)->checkpoint, ==, "c2");
	flow_fixture_clear(&f.base);
}

/* A character of two bytes in UTF-8. */
#define TWO_BYTES "\xc3\xbc"

/*
 * A text of n bytes that differs at its end only. Its last character has two
 * bytes, so that a cut would leave half of it.
 */
static char *
long_text(gsize n)
{
	char *head = g_strnfill(n - strlen(TWO_BYTES), 'c');
	char *text = g_strconcat(head, TWO_BYTES, NULL);

	g_free(head);
	return text;
}

/* The tables of the next leader are restored from a snapshot of these. */
static void
restore_tables(struct fleet_fixture *f)
{
	Gyp__SnapFlows *snap = flow_fixture_snapshot(f->base.flows);

	g_assert_true(gyp_flows_restore(f->base.flows, snap));
	gyp_message_free(snap);
	flow_fixture_new_leader(&f->base, 2);
}

/*
 * Guards against a task that starts from a text which no run of it made, as a
 * long checkpoint was cut: on its way to the next start, through the tables and
 * a snapshot of them.
 */
static void
test_long_checkpoint_is_whole(void)
{
	static const gsize sizes[] = {63, 64, 65, 4000, GYP_CHECKPOINT_MAX};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_fixture f;
		char *text = long_text(sizes[i]);

		fleet_fixture_init(&f, 1, false);
		flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
		fleet_fixture_answer_start(&f, GYP_FLEET_OK);
		list_run(&f, text);
		lose_run(&f);
		restore_tables(&f);
		expect_resumes_from(&f, text);
		flow_fixture_clear(&f.base);
		g_free(text);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/checkpoints/lapsed-run-resumes", test_lapsed_run_resumes);
	g_test_add_func("/checkpoints/lost-run-resumes", test_lost_run_resumes);
	g_test_add_func(
	    "/checkpoints/departed-run-resumes", test_departed_run_resumes);
	g_test_add_func("/checkpoints/empty-checkpoint-keeps-earlier",
	    test_empty_checkpoint_keeps_earlier);
	g_test_add_func("/checkpoints/lost-gang-keeps-later-checkpoint",
	    test_lost_gang_keeps_later_checkpoint);
	g_test_add_func("/checkpoints/gang-lost-at-once-keeps-later-checkpoint",
	    test_gang_lost_at_once_keeps_later_checkpoint);
	g_test_add_func("/checkpoints/long-checkpoint-is-whole",
	    test_long_checkpoint_is_whole);
	return g_test_run();
}
