#include <string.h>

#include <glib.h>

#include "flow_fixture.h"
#include "flow_intake.h"

/* Which flows a leader accepts and refuses, on a pool without free capacity. */

#define SECOND_MS 1000

#define SMALL 20 /* workspaces that stay within their rate */

/* Intake with a pool that is full. */
struct intake {
	struct flow_fixture base;
	struct gyp_flow_intake *in;
	struct gyp_pool_load load;
	uint64_t next_flow;
};

static void
init_intake(struct intake *x)
{
	memset(x, 0, sizeof(*x));
	flow_fixture_init(&x->base);
	x->in = gyp_flow_intake_new(x->base.flows, x->base.now);
	x->load.capacity_milli = 10000;
	x->load.waiting_milli_ms = 1e12;
}

static void
clear_intake(struct intake *x)
{
	gyp_flow_intake_free(x->in);
	flow_fixture_clear(&x->base);
}

static enum gyp_intake_verdict
decide(struct intake *x, const Gyp__Workspace *ws, uint64_t flow, uint64_t now)
{
	uint32_t retry_ms = 0;
	enum gyp_intake_verdict v = gyp_flow_intake_decide(
	    x->in, now, ws, flow, 250, &x->load, &retry_ms);

	if (v == GYP_INTAKE_REFUSE)
		g_assert_cmpuint(retry_ms, >=, GYP_LOAD_SHED_RETRY_MIN_MS);
	return v;
}

static void
init_workspace(Gyp__Workspace *ws, const char *name, double rate)
{
	gyp__workspace__init(ws);
	ws->name = (char *)name;
	ws->rate = rate;
}

/*
 * Guards against small workspaces that are refused because a large one sends
 * too much, and against a large one that gets less than its rate.
 */
static void
check_flood(uint32_t factor)
{
	const uint32_t rate = 10, seconds = 60;
	Gyp__Workspace large, small[SMALL];
	char names[SMALL][8];
	struct gyp_intake_counts counts;
	struct intake x;
	uint32_t i, ms;

	init_intake(&x);
	init_workspace(&large, "large", rate);
	for (i = 0; i < SMALL; i++) {
		g_snprintf(names[i], sizeof(names[i]), "s%u", i);
		init_workspace(&small[i], names[i], 1);
	}
	for (ms = 0; ms < seconds * SECOND_MS; ms++) {
		uint64_t now = x.base.now + ms;

		if (ms % (SECOND_MS / rate) == 0) {
			for (i = 0; i < factor; i++)
				decide(&x, &large, ++x.next_flow, now);
		}
		if (ms % 50 == 0)
			g_assert_cmpint(decide(&x, &small[ms / 50 % SMALL],
					    ++x.next_flow, now),
			    ==, GYP_INTAKE_ACCEPT);
	}
	counts = gyp_flow_intake_counts(x.in, "large");
	g_assert_cmpuint(counts.accepted, >=, rate * seconds);
	g_assert_cmpuint(counts.accepted, <=, rate * (seconds + 1));
	g_assert_cmpuint(counts.excess, ==, 0);
	g_assert_cmpuint(counts.accepted + counts.refused, ==,
	    (uint64_t)factor * rate * seconds);
	clear_intake(&x);
}

static void
test_flood(void)
{
	check_flood(4);
	check_flood(8);
	check_flood(30);
}

/* Guards against idle capacity: excess is accepted while the pool has room. */
static void
test_excess_with_room(void)
{
	Gyp__Workspace ws;
	struct intake x;
	uint32_t i;

	init_intake(&x);
	x.load.waiting_milli_ms = 0;
	init_workspace(&ws, "a", 2);
	for (i = 0; i < 40; i++)
		g_assert_cmpint(decide(&x, &ws, i, x.base.now), ==,
		    i < 2 ? GYP_INTAKE_ACCEPT : GYP_INTAKE_ACCEPT_EXCESS);
	clear_intake(&x);
}

/*
 * Guards against a rate that repeated submissions use up: while all refused
 * flows are sent again each second, for longer than refusals are remembered,
 * the new ones are accepted: four, just less than half a second's tokens.
 */
static void
test_resubmitted(void)
{
	const uint32_t refused = 200;
	Gyp__Workspace ws;
	struct intake x;
	uint32_t second, i, accepted = 0;

	init_intake(&x);
	init_workspace(&ws, "a", 10);
	for (i = 0; i < 10 + refused; i++)
		decide(&x, &ws, ++x.next_flow, x.base.now);
	for (second = 1; second <= 100; second++) {
		uint64_t now = x.base.now + second * SECOND_MS;

		for (i = 0; i < refused; i++)
			accepted +=
			    decide(&x, &ws, 11 + i, now) != GYP_INTAKE_REFUSE;
		for (i = 0; i < 4; i++)
			g_assert_cmpint(decide(&x, &ws, ++x.next_flow, now + 1),
			    ==, GYP_INTAKE_ACCEPT);
	}
	/* They do get what the new ones leave. */
	g_assert_cmpuint(accepted, >=, 400);
	clear_intake(&x);
}

/* Submits a flow of workspace "a" to the tables, as committed at that time. */
static void
commit_flow(struct intake *x, uint64_t id, uint64_t now, bool excess)
{
	Gyp__FlowStep step = flow_fixture_step(1), *steps[] = {&step};
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__CmdFlow submit = GYP__CMD_FLOW__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	spec.id = id;
	spec.queue = &queue;
	spec.n_steps = 1;
	spec.steps = steps;
	spec.workspace = "a";
	spec.excess = excess;
	submit.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &submit;
	gyp_flows_apply(x->base.flows, now, &cmd);
	g_assert_nonnull(gyp_flow_get(x->base.flows, id));
}

/* Intake of a full pool with a manifest in which "a" has 10 flows a second. */
static void
init_rated_intake(struct intake *x, Gyp__Workspace *ws)
{
	Gyp__CmdManifest m = GYP__CMD_MANIFEST__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;

	init_intake(x);
	init_workspace(ws, "a", 10);
	m.version = 1;
	m.n_workspaces = 1;
	m.workspaces = &ws;
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = &m;
	gyp_flows_apply(x->base.flows, x->base.now, &cmd);
}

/*
 * Guards against a new leader that grants a workspace a second's tokens again:
 * after a flood it accepts as many as the old one would, or one more.
 */
static void
test_new_leader(void)
{
	Gyp__Workspace ws;
	struct gyp_flow_intake *successor;
	struct intake x;
	uint32_t ms, retry_ms, old = 0, new = 0, i;

	init_rated_intake(&x, &ws);
	for (ms = 0; ms < 3330; ms += 10) {
		bool within = decide(&x, &ws, ++x.next_flow, x.base.now + ms) ==
			      GYP_INTAKE_ACCEPT;

		/* Accepted excess takes no tokens. */
		commit_flow(&x, x.next_flow, x.base.now + ms + 5, !within);
	}
	successor = gyp_flow_intake_new(x.base.flows, x.base.now + ms);
	for (i = 0; i < 100; i++) {
		uint64_t now = x.base.now + ms + 10 * i;

		old += decide(&x, &ws, 5000 + i, now) == GYP_INTAKE_ACCEPT;
		new += gyp_flow_intake_decide(successor, now, &ws, 5000 + i,
			   250, &x.load, &retry_ms) == GYP_INTAKE_ACCEPT;
	}
	g_assert_cmpuint(old, ==, 10);
	g_assert_cmpuint(new, >=, old);
	g_assert_cmpuint(new, <=, old + 1);
	gyp_flow_intake_free(successor);
	clear_intake(&x);
}

/*
 * Guards against a new leader that refuses work within the rate: a burst of a
 * second's flows each second, and a change of leader at any time between two.
 */
static void
test_new_leader_within_rate(void)
{
	Gyp__Workspace ws;
	struct intake x;
	uint32_t phase, second, i;

	for (phase = 10; phase < SECOND_MS; phase += 30) {
		init_rated_intake(&x, &ws);
		for (second = 0; second < 3; second++) {
			for (i = 0; i < 10; i++)
				commit_flow(&x, ++x.next_flow,
				    x.base.now + second * SECOND_MS, false);
		}
		gyp_flow_intake_free(x.in);
		x.in = gyp_flow_intake_new(
		    x.base.flows, x.base.now + 2 * SECOND_MS + phase);
		for (i = 0; i < 10; i++)
			g_assert_cmpint(decide(&x, &ws, ++x.next_flow,
					    x.base.now + 3 * SECOND_MS),
			    ==, GYP_INTAKE_ACCEPT);
		clear_intake(&x);
	}
}

/*
 * Guards against memory that grows with the refusals: the oldest are forgotten,
 * and may then compete again.
 */
static void
test_refusals_bounded(void)
{
	Gyp__Workspace ws;
	struct intake x;
	uint64_t now;
	uint32_t i;

	init_intake(&x);
	init_workspace(&ws, "a", 4);
	now = x.base.now;
	for (i = 0; i < 4; i++)
		decide(&x, &ws, ++x.next_flow, now);
	for (i = 0; i < 100000; i++)
		g_assert_cmpint(
		    decide(&x, &ws, ++x.next_flow, now), ==, GYP_INTAKE_REFUSE);
	/* One token: not half of a bucket, so only for flows not known. */
	now += 250;
	g_assert_cmpint(
	    decide(&x, &ws, x.next_flow, now), ==, GYP_INTAKE_REFUSE);
	g_assert_cmpint(
	    decide(&x, &ws, x.next_flow - 19000, now), ==, GYP_INTAKE_REFUSE);
	g_assert_cmpint(decide(&x, &ws, 5, now), ==, GYP_INTAKE_ACCEPT);
	clear_intake(&x);
}

/* Guards against refusals of flows of no workspace, and of one without rate. */
static void
test_without_rate(void)
{
	Gyp__Workspace ws;
	struct intake x;
	uint32_t i;

	init_intake(&x);
	init_workspace(&ws, "a", 0);
	for (i = 0; i < 100; i++) {
		g_assert_cmpint(decide(&x, NULL, ++x.next_flow, x.base.now), ==,
		    GYP_INTAKE_ACCEPT);
		g_assert_cmpint(decide(&x, &ws, ++x.next_flow, x.base.now), ==,
		    GYP_INTAKE_ACCEPT);
	}
	clear_intake(&x);
}

/*
 * Guards against refused flows that take the only token of a workspace of one
 * flow a second, which is there for its next new flow.
 */
static void
test_resubmitted_small(void)
{
	Gyp__Workspace ws;
	struct intake x;
	uint32_t second;

	init_intake(&x);
	init_workspace(&ws, "a", 1);
	g_assert_cmpint(decide(&x, &ws, 1, x.base.now), ==, GYP_INTAKE_ACCEPT);
	g_assert_cmpint(decide(&x, &ws, 2, x.base.now), ==, GYP_INTAKE_REFUSE);
	for (second = 1; second <= 20; second++) {
		uint64_t now = x.base.now + second * SECOND_MS;

		g_assert_cmpint(decide(&x, &ws, 2, now), ==, GYP_INTAKE_REFUSE);
		g_assert_cmpint(
		    decide(&x, &ws, 2 + second, now), ==, GYP_INTAKE_ACCEPT);
	}
	g_assert_cmpint(decide(&x, &ws, 2, x.base.now + 22 * SECOND_MS), ==,
	    GYP_INTAKE_ACCEPT);
	clear_intake(&x);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/intake/flood", test_flood);
	g_test_add_func("/intake/excess-with-room", test_excess_with_room);
	g_test_add_func("/intake/resubmitted", test_resubmitted);
	g_test_add_func("/intake/resubmitted-small", test_resubmitted_small);
	g_test_add_func("/intake/new-leader", test_new_leader);
	g_test_add_func(
	    "/intake/new-leader-within-rate", test_new_leader_within_rate);
	g_test_add_func("/intake/refusals-bounded", test_refusals_bounded);
	g_test_add_func("/intake/without-rate", test_without_rate);
	return g_test_run();
}
