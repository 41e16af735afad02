#include <glib.h>

#include "early_cancels.h"
#include "flow_fixture.h"
#include "msg.h"

/*
 * Records of cancellations that came before their flows: bounded in number and
 * time, and part of a snapshot.
 */

#define FLOW 0xf1ULL

static void
cancel_early(struct flow_fixture *f, uint64_t id, const char *workspace)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;

	cancel.flow = id;
	cancel.early = true;
	cancel.workspace = (char *)workspace;
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	gyp_flows_apply(f->flows, f->now, &cmd);
}

/* Replaces the tables by their snapshot. */
static void
restore_snapshot(struct flow_fixture *f)
{
	Gyp__SnapFlows *saved = gyp_flows_save(f->flows);
	Gyp__SnapFlows *snap = gyp_message_copy(&saved->base);

	gyp_flows_free_saved(saved);
	g_assert_true(gyp_flows_restore(f->flows, snap));
	gyp_message_free(snap);
	flow_fixture_new_leader(f, 2);
}

/* A flow that arrives after its cancellation books nothing and is ended. */
static void
test_flow_arrives(void)
{
	struct flow_fixture f;
	Gyp__FlowStep step = flow_fixture_step(2);
	uint32_t a;

	flow_fixture_init(&f);
	a = flow_fixture_add_host(&f, "a", 1);
	cancel_early(&f, FLOW, "");
	restore_snapshot(&f);
	g_assert_cmpint(flow_fixture_submit(&f, FLOW, &step, 1)->state, ==,
	    GYP_FLOW_CANCELLED);
	flow_fixture_start(&f, FLOW, 0, 0, 1, a);
	g_assert_cmpuint(gyp_flow_get(f.flows, FLOW)->open, ==, 0);
	g_assert_cmpuint(gyp_flows_active(f.flows)->length, ==, 0);
	gyp_flows_check(f.flows);
	flow_fixture_clear(&f);
}

/* Flows with other ids and of other workspaces are not affected. */
static void
test_other_flows(void)
{
	struct flow_fixture f;
	Gyp__FlowStep step = flow_fixture_step(1);

	flow_fixture_init(&f);
	cancel_early(&f, FLOW, "");
	g_assert_cmpint(flow_fixture_submit(&f, FLOW + 1, &step, 1)->state, ==,
	    GYP_FLOW_QUEUED);
	f.workspace = "w";
	g_assert_cmpint(flow_fixture_submit(&f, FLOW, &step, 1)->state, ==,
	    GYP_FLOW_QUEUED);
	cancel_early(&f, FLOW, "");
	g_assert_cmpint(
	    gyp_flow_get(f.flows, FLOW)->state, ==, GYP_FLOW_QUEUED);
	cancel_early(&f, FLOW, "w");
	g_assert_cmpint(
	    gyp_flow_get(f.flows, FLOW)->state, ==, GYP_FLOW_CANCELLED);
	flow_fixture_clear(&f);
}

static void
test_expiry(void)
{
	struct gyp_early_cancels *e = gyp_early_cancels_new();

	g_assert_true(gyp_early_cancels_add(e, 1000, 1, ""));
	g_assert_true(gyp_early_cancels_add(e, 2000, 2, ""));
	g_assert_true(gyp_early_cancels_add(e, 2000, 1, ""));
	gyp_early_cancels_drop_expired(
	    e, 1000 + GYP_EARLY_CANCEL_RETENTION_MS - 1);
	g_assert_cmpuint(gyp_early_cancels_count(e), ==, 2);
	gyp_early_cancels_drop_expired(e, 1000 + GYP_EARLY_CANCEL_RETENTION_MS);
	g_assert_false(gyp_early_cancels_has(e, 1, ""));
	g_assert_true(gyp_early_cancels_has(e, 2, ""));
	gyp_early_cancels_free(e);
}

/* A cancellation that can't be recorded is refused, not forgotten. */
static void
test_bound(void)
{
	struct gyp_early_cancels *e = gyp_early_cancels_new();
	uint64_t i;

	for (i = 0; i < GYP_EARLY_CANCELS_MAX; i++)
		g_assert_true(gyp_early_cancels_add(e, 1000, i, ""));
	g_assert_false(gyp_early_cancels_add(e, 1000, i, ""));
	g_assert_true(gyp_early_cancels_add(e, 1000, 0, ""));
	g_assert_false(gyp_early_cancels_has(e, i, ""));
	gyp_early_cancels_free(e);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/early-cancels/flow-arrives", test_flow_arrives);
	g_test_add_func("/early-cancels/other-flows", test_other_flows);
	g_test_add_func("/early-cancels/expiry", test_expiry);
	g_test_add_func("/early-cancels/bound", test_bound);
	return g_test_run();
}
