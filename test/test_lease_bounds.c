#include <glib.h>

#include "flow_fixture.h"
#include "msg.h"

/*
 * Bounds of leases in the tables: what a leader records of a silent endpoint
 * shortens the wait of the next one, and is never contradicted by a lease that
 * an endpoint was granted. The first incarnation of endpoint "a" starts at
 * time 1.
 */

#define FLOW 0xf1ULL

/* A lease by the slowest clock. */
#define SLOW_LEASE_MS                                                          \
	(FLOW_FIXTURE_LEASE_MS * GYP_CLOCK_SLOW / (GYP_CLOCK_SLOW - 1))

/*
 * Longest time from the last call that an endpoint may have carried out until
 * its runs end, in ms: the lease, two margins of leaders, and 1500 ms to notice
 * the silence.
 */
#define SILENT_END_MS (SLOW_LEASE_MS + 200 + 1500)

/* Time in which a leader notices that an endpoint is silent, in ms. */
#define NOTICED_MS 2000

struct fixture {
	struct flow_fixture base;
	uint32_t a; /* row of the endpoint */
	/* Latest time at which a lease of the endpoint was over, or 0. */
	uint64_t granted_until;
};

static void
next_leader(struct fixture *f)
{
	flow_fixture_new_leader(&f->base, f->base.term + 1);
}

static bool
is_open(const struct fixture *f)
{
	return gyp_flow_get(f->base.flows, FLOW)->tasks[0].state ==
	       GYP_FLOW_TASK_OPEN;
}

static const Gyp__CmdHost *
host(const struct fixture *f)
{
	return gyp_host_at(f->base.flows, f->a)->spec;
}

/* Carries out the call: the run is in the list of each poll. */
static void
answer(struct fixture *f, struct gyp_fleet_call *call, bool has_run)
{
	struct flow_fixture_run run = {FLOW, 0, 1, 0, 0};

	f->granted_until = MAX(f->granted_until, call->until_ms);
	if (call->kind == GYP_FLEET_POLL)
		flow_fixture_answer_poll(&f->base, call, host(f)->born_ms, &run,
		    has_run ? 1 : 0, NULL, 0);
	else
		flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
}

/* Answers all calls for ms, as the endpoint that has the run. */
static void
answer_all(struct fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;
	struct gyp_fleet_call *call;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		while (f->base.now < end &&
		       (call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
			answer(f, call, true);
			flow_fixture_advance(&f->base, 10);
		}
	}
}

/* Loses all calls for ms. */
static void
lose_calls(struct fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;
	struct gyp_fleet_call *call;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL)
			flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
	}
}

/* Loses all calls until the run ends, at most for ms; returns the time. */
static uint64_t
lose_until_end(struct fixture *f, uint64_t ms)
{
	uint64_t since = f->base.now;

	while (is_open(f) && f->base.now < since + ms)
		lose_calls(f, 10);
	return f->base.now - since;
}

/* The endpoint has run 1 of the task and answers its leader, term 1. */
static void
fixture_init(struct fixture *f)
{
	Gyp__FlowStep step = flow_fixture_step(1);

	*f = (struct fixture){0};
	step.lasting = true;
	flow_fixture_init(&f->base);
	f->base.lease_bounds = true;
	flow_fixture_new_leader(&f->base, 1);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	flow_fixture_contact_all(&f->base);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
	flow_fixture_start(&f->base, FLOW, 0, 0, 1, f->a);
	answer_all(f, 1000);
}

/*
 * Guards against lasting tasks that wait for 21 s: the endpoint is lost, and
 * new terms begin each 5 s. Its run must end with its lease, not a lease after
 * the begin of the last of these terms.
 */
static void
test_counted_once_over_three_terms(void)
{
	struct fixture f;
	uint64_t lost_at, i;

	fixture_init(&f);
	lost_at = f.base.now;
	next_leader(&f);
	for (i = 0; i < 3 && is_open(&f); i++) {
		lose_until_end(&f, 5000);
		if (is_open(&f))
			next_leader(&f);
	}
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.base.now - lost_at, >=, FLOW_FIXTURE_LEASE_MS);
	g_assert_cmpuint(f.base.now - lost_at, <=, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/* The next call of that kind within three seconds; other calls are lost. */
static struct gyp_fleet_call *
next_call(struct fixture *f, enum gyp_fleet_call_kind kind)
{
	struct gyp_fleet_call *call = NULL;
	int i;

	for (i = 0; i < 300 && call == NULL; i++) {
		flow_fixture_advance(&f->base, 10);
		call = flow_fixture_next_call(&f->base, kind);
	}
	g_assert_nonnull(call);
	return call;
}

/* As flow_fixture_advance(), but the fleet's commands are not applied. */
static GPtrArray *
hold_commands(struct fixture *f, uint64_t ms)
{
	GPtrArray *cmds = g_ptr_array_new_with_free_func(gyp_message_free);
	uint64_t end = f->base.now + ms;
	Gyp__Cmd *cmd;

	while (f->base.now < end) {
		f->base.now += 10;
		gyp_fleet_tick(f->base.fleet, f->base.now);
		while ((cmd = gyp_fleet_pop_cmd(f->base.fleet)) != NULL)
			g_ptr_array_add(cmds, cmd);
	}
	return cmds;
}

static void
apply_commands(struct fixture *f, GPtrArray *cmds)
{
	guint i;

	for (i = 0; i < cmds->len; i++)
		gyp_flows_apply(f->base.flows, f->base.now, cmds->pdata[i]);
	g_ptr_array_unref(cmds);
}

/* The answer to a poll, whose commands the test applies later. */
static void
answer_poll_only(struct fixture *f, struct gyp_fleet_call *call)
{
	struct gyp_fleet_answer a = {.call = call->id,
	    .end = GYP_FLEET_OK,
	    .has_clock = true,
	    .clock_ms = f->base.now,
	    .incarnation_start_ms = 1};

	gyp_fleet_handle_answer(f->base.fleet, f->base.now, &a);
	gyp_fleet_call_free(call);
}

/* Frees all calls that are due; none may extend the lease. */
static void
assert_no_lease(struct fixture *f)
{
	struct gyp_fleet_call *call;

	while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
		g_assert_cmpuint(call->until_ms, ==, 0);
		gyp_fleet_call_free(call);
	}
}

/*
 * Guards against a bound that is earlier than the lease: the endpoint answers
 * again, under the leader that recorded the bound, and may not get a longer
 * lease before the withdrawal is applied. It gets one after that, and its run
 * goes on.
 */
static void
test_extended_after_withdrawal(void)
{
	struct fixture f;
	GPtrArray *cmds;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 1);
	g_assert_false(gyp_fleet_usable(f.base.fleet, f.a));
	answer_poll_only(&f, next_call(&f, GYP_FLEET_POLL));
	cmds = hold_commands(&f, 500);
	g_assert_cmpuint(cmds->len, ==, 1);
	assert_no_lease(&f);
	g_assert_false(gyp_fleet_usable(f.base.fleet, f.a));
	apply_commands(&f, cmds);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	answer_all(&f, 10000);
	g_assert_true(is_open(&f));
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	flow_fixture_clear(&f.base);
}

/*
 * The same for an endpoint that answers before the bound is applied: the
 * withdrawal follows it in the log.
 */
static void
test_answers_before_bound_is_applied(void)
{
	struct fixture f;
	struct gyp_fleet_call *call;
	GPtrArray *cmds;

	fixture_init(&f);
	lose_calls(&f, 600);
	call = next_call(&f, GYP_FLEET_POLL);
	gyp_fleet_call_free(call);
	cmds = hold_commands(&f, NOTICED_MS);
	g_assert_cmpuint(cmds->len, ==, 1);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL) {
		if (call->kind == GYP_FLEET_POLL)
			answer_poll_only(&f, call);
		else
			gyp_fleet_call_free(call);
	}
	g_ptr_array_unref(hold_commands(&f, 500));
	assert_no_lease(&f);
	apply_commands(&f, cmds);
	answer_all(&f, 10000);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	g_assert_true(is_open(&f));
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a run that ends while its endpoint goes on: the leader changes
 * during the silence, and the endpoint answers the next one.
 */
static void
test_back_under_next_leader(void)
{
	struct fixture f;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	next_leader(&f);
	lose_calls(&f, 1000);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 1);
	answer_all(&f, 20000);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	g_assert_true(is_open(&f));
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: the withdrawal is lost with its
 * leader, so that leader has extended no lease, and the next one ends the run
 * by the bound, but not before the endpoint has.
 */
static void
test_withdrawal_lost_with_leader(void)
{
	struct fixture f;
	struct gyp_fleet_call *call;
	uint64_t last;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	last = f.granted_until;
	answer_poll_only(&f, next_call(&f, GYP_FLEET_POLL));
	g_ptr_array_unref(hold_commands(&f, 1000));
	while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL) {
		f.granted_until = MAX(f.granted_until, call->until_ms);
		gyp_fleet_call_free(call);
	}
	next_leader(&f);
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.granted_until, ==, last);
	g_assert_cmpuint(f.base.now, >=, f.granted_until);
	g_assert_cmpuint(f.base.now, <=,
	    f.granted_until + SILENT_END_MS - FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: a leader of a version without bounds
 * extends the lease and withdraws nothing. The next leader must count a whole
 * lease from its own term.
 */
static void
test_leader_of_earlier_version(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	f.base.lease_bounds = false;
	next_leader(&f);
	answer_all(&f, 4500);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 1);
	f.base.lease_bounds = true;
	next_leader(&f);
	since = f.base.now;
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.base.now, >=, f.granted_until);
	g_assert_cmpuint(f.base.now - since, >=, FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/* A leader that keeps to the bounds, but whose command to begin its term is
 * lost, counts as one that doesn't. */
static void
test_leader_that_did_not_begin(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	next_leader(&f);
	g_ptr_array_unref(hold_commands(&f, 100));
	next_leader(&f);
	since = f.base.now;
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.base.now - since, >=, FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/* Replaces the tables by those of a snapshot, for a new leader. */
static void
restore(struct fixture *f, bool by_earlier_version)
{
	Gyp__SnapFlows *snap = gyp_flows_save(f->base.flows);

	if (by_earlier_version)
		snap->bounds_term = 0;
	gyp_fleet_free(f->base.fleet);
	f->base.fleet = NULL;
	g_assert_true(gyp_flows_restore(f->base.flows, snap));
	gyp_message_free(snap);
	next_leader(f);
}

static void
test_kept_by_snapshot(void)
{
	struct fixture f;
	uint64_t lost_at;

	fixture_init(&f);
	lost_at = f.base.now;
	lose_calls(&f, 5000);
	restore(&f, false);
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.base.now - lost_at, >=, FLOW_FIXTURE_LEASE_MS);
	g_assert_cmpuint(f.base.now - lost_at, <=, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * A snapshot of an earlier version may hold bounds that were withdrawn since:
 * that version keeps them as unknown fields.
 */
static void
test_snapshot_of_earlier_version(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	lose_calls(&f, 5000);
	restore(&f, true);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	since = f.base.now;
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.base.now - since, >=, FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

static void
begin_term(struct gyp_flows *flows, uint64_t term, uint64_t previous_term)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdTermBegun begun = GYP__CMD_TERM_BEGUN__INIT;

	begun.term = term;
	begun.previous_term = previous_term;
	cmd.c_case = GYP__CMD__C_TERM_BEGUN;
	cmd.term_begun = &begun;
	gyp_flows_apply(flows, 200000, &cmd);
}

/*
 * Guards against a task that runs twice: a replica that began with a snapshot
 * of an earlier version lacks a bound that the others have. It must not take
 * part in the chain of terms, as it would not withdraw that bound: its term
 * voids the bounds of all.
 */
static void
test_replica_without_bounds(void)
{
	struct fixture f;
	struct gyp_flows *other = gyp_flows_new();
	Gyp__SnapFlows *snap;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	snap = gyp_flows_save(f.base.flows);
	snap->bounds_term = 0;
	g_assert_true(gyp_flows_restore(other, snap));
	gyp_message_free(snap);
	begin_term(f.base.flows, 2, 1);
	begin_term(other, 2, 1);
	g_assert_cmpuint(gyp_flows_bounds_term(f.base.flows), ==, 2);
	g_assert_cmpuint(gyp_flows_bounds_term(other), ==, 0);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 1);
	begin_term(f.base.flows, 3, 0);
	begin_term(other, 3, 0);
	g_assert_cmpuint(gyp_flows_bounds_term(f.base.flows), ==, 3);
	g_assert_cmpuint(gyp_flows_bounds_term(other), ==, 3);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	gyp_flows_free(other);
	flow_fixture_clear(&f.base);
}

/* Reports that answers have shown that incarnation of endpoint "a". */
static void
show_incarnation(struct fixture *f, uint64_t born_ms)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHostReborn shown = GYP__CMD_HOST_REBORN__INIT;

	shown.id = "a";
	shown.born_ms = born_ms;
	cmd.c_case = GYP__CMD__C_HOST_REBORN;
	cmd.host_reborn = &shown;
	gyp_flows_apply(f->base.flows, f->base.now, &cmd);
}

/*
 * Guards against a bound of an incarnation that has ended: the endpoint has
 * restarted, registered or not, and late calls may have granted a lease to the
 * next one. A registration of the same incarnation changes nothing.
 */
static void
test_voided_by_restart(gconstpointer arg)
{
	bool registered = GPOINTER_TO_INT(arg);
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	lose_calls(&f, NOTICED_MS);
	flow_fixture_add_host(&f.base, "a", 1);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 1);
	if (registered)
		flow_fixture_add_host(&f.base, "a", 2);
	else
		show_incarnation(&f, 2);
	g_assert_cmpuint(host(&f)->bound_born_ms, ==, 0);
	next_leader(&f);
	since = f.base.now;
	lose_until_end(&f, 60000);
	g_assert_cmpuint(f.base.now - since, >=, 14000 + FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease-bounds/counted-once-over-three-terms",
	    test_counted_once_over_three_terms);
	g_test_add_func("/lease-bounds/extended-after-withdrawal",
	    test_extended_after_withdrawal);
	g_test_add_func("/lease-bounds/answers-before-bound-is-applied",
	    test_answers_before_bound_is_applied);
	g_test_add_func("/lease-bounds/back-under-next-leader",
	    test_back_under_next_leader);
	g_test_add_func("/lease-bounds/withdrawal-lost-with-leader",
	    test_withdrawal_lost_with_leader);
	g_test_add_func("/lease-bounds/leader-of-earlier-version",
	    test_leader_of_earlier_version);
	g_test_add_func("/lease-bounds/leader-that-did-not-begin",
	    test_leader_that_did_not_begin);
	g_test_add_func(
	    "/lease-bounds/kept-by-snapshot", test_kept_by_snapshot);
	g_test_add_func("/lease-bounds/snapshot-of-earlier-version",
	    test_snapshot_of_earlier_version);
	g_test_add_func("/lease-bounds/replica-without-bounds",
	    test_replica_without_bounds);
	g_test_add_data_func("/lease-bounds/voided-by-registration",
	    GINT_TO_POINTER(true), test_voided_by_restart);
	g_test_add_data_func("/lease-bounds/voided-by-incarnation-shown",
	    GINT_TO_POINTER(false), test_voided_by_restart);
	return g_test_run();
}
