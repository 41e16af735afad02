#include <glib.h>

#include "flow_fixture.h"
#include "msg.h"

/*
 * Open runs that no endpoint has: each must end soon, or its task is not placed
 * again. The first incarnation of endpoint "a" starts at time 1.
 */

#define FLOW 0xf1ULL

/*
 * Longest time from the last call that an endpoint may have carried out until
 * its runs end, in ms: the lease by the slowest clock, the leader's margin, and
 * 1500 ms to notice the silence.
 */
#define SILENT_END_MS                                                          \
	(FLOW_FIXTURE_LEASE_MS * GYP_CLOCK_SLOW / (GYP_CLOCK_SLOW - 1) + 100 + \
	    1500)

/* Time for an undisturbed endpoint to list or end a run, in ms. */
#define CONTACT_END_MS 1500

/* Longest time until a call without an answer is carried out, in ms. */
#define LATE_CALL_MS 15000

struct fixture {
	struct flow_fixture base;
	uint32_t a; /* row of the endpoint */
};

static void
fixture_init(struct fixture *f)
{
	Gyp__FlowStep step = flow_fixture_step(2);

	step.lasting = true;
	flow_fixture_init(&f->base);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	flow_fixture_contact_all(&f->base);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
}

static bool
is_open(const struct fixture *f, uint32_t task)
{
	return gyp_flow_get(f->base.flows, FLOW)->tasks[task].state ==
	       GYP_FLOW_TASK_OPEN;
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

static void
start_run(struct fixture *f, uint32_t task, uint32_t run)
{
	flow_fixture_start(&f->base, FLOW, task, task, run, f->a);
	flow_fixture_answer(
	    &f->base, next_call(f, GYP_FLEET_START), GYP_FLEET_OK);
}

/* The endpoint restarts, announces itself and answers a poll. */
static void
restart(struct fixture *f, uint64_t incarnation_start_ms)
{
	gyp_fleet_heartbeat(f->base.fleet, f->base.now, f->a,
	    incarnation_start_ms, f->base.now);
	f->a = flow_fixture_add_host(&f->base, "a", incarnation_start_ms);
	flow_fixture_answer_poll(&f->base, next_call(f, GYP_FLEET_POLL),
	    incarnation_start_ms, NULL, 0, NULL, 0);
}

/*
 * Answers each call for ms: polls with an empty list of that incarnation if
 * their result is GYP_FLEET_OK, stops and starts as carried out.
 */
static void
answer_all(struct fixture *f, uint64_t ms, uint64_t incarnation_start_ms,
    enum gyp_fleet_call_result polls)
{
	uint64_t end = f->base.now + ms;
	struct gyp_fleet_call *call;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		while (f->base.now < end &&
		       (call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
			if (call->kind != GYP_FLEET_POLL)
				flow_fixture_answer(
				    &f->base, call, GYP_FLEET_OK);
			else if (polls != GYP_FLEET_OK)
				flow_fixture_answer(&f->base, call, polls);
			else
				flow_fixture_answer_poll(&f->base, call,
				    incarnation_start_ms, NULL, 0, NULL, 0);
			flow_fixture_advance(&f->base, 20);
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

/* Loses all calls until the task has no open run, at most for ms. */
static void
assert_ends_in_silence(struct fixture *f, uint32_t task, uint64_t ms)
{
	uint64_t since = f->base.now;
	struct gyp_fleet_call *call;

	while (is_open(f, task) && f->base.now < since + 60000) {
		flow_fixture_advance(&f->base, 10);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL)
			flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
	}
	g_assert_cmpuint(f->base.now - since, <=, ms);
}

/*
 * A start is answered by another endpoint at the address, then a heartbeat
 * shows that the endpoint restarted: the run must not stay open without a call.
 */
static void
test_wrong_endpoint_then_restart(void)
{
	struct fixture f;
	struct gyp_fleet_call *start;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	start = next_call(&f, GYP_FLEET_START);
	flow_fixture_answer(&f.base, start, GYP_FLEET_WRONG_ENDPOINT);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	answer_all(&f, CONTACT_END_MS, 2, GYP_FLEET_OK);
	g_assert_false(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* As fixture_init(), with fences that tell incarnations apart. */
static void
fixture_init_fenced(struct fixture *f)
{
	fixture_init(f);
	f->base.fence_incarnations = true;
	flow_fixture_new_leader(&f->base, 2);
	flow_fixture_contact_all(&f->base);
}

/*
 * An endpoint gets a run after its restart and then is silent for good: the run
 * must end with its lease, not with one that calls before the restart granted.
 */
static void
test_silent_after_restart(void)
{
	struct fixture f;

	fixture_init_fenced(&f);
	restart(&f, 2);
	start_run(&f, 0, 1);
	assert_ends_in_silence(&f, 0, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/* The run must stay open for that long though all calls are lost. */
static void
assert_open_in_silence(struct fixture *f, uint32_t task, uint64_t ms)
{
	lose_calls(f, ms);
	g_assert_true(is_open(f, task));
}

/*
 * Without such fences, a call that was sent before the restart may extend the
 * lease for 15 s: the task of a run that ends earlier could run twice.
 */
static void
test_silent_without_fences(void)
{
	struct fixture f;

	fixture_init(&f);
	restart(&f, 2);
	start_run(&f, 0, 1);
	assert_open_in_silence(&f, 0, 14000 + FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/*
 * A poll that was sent before the restart is answered after it. It has the
 * lower number, so it fences nothing off: the run must not end early.
 */
static void
test_fenced_by_later_calls_only(void)
{
	struct fixture f;
	struct gyp_fleet_call *poll;

	fixture_init_fenced(&f);
	start_run(&f, 0, 1);
	poll = next_call(&f, GYP_FLEET_POLL);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_answer_poll(&f.base, poll, 2, NULL, 0, NULL, 0);
	assert_open_in_silence(&f, 0, 14000 + FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/* The fence number of the next poll, whose answer shows that incarnation. */
static uint64_t
next_fence(struct fixture *f, uint64_t incarnation_start_ms)
{
	struct gyp_fleet_call *call = next_call(f, GYP_FLEET_POLL);
	uint64_t fence = call->fence;

	flow_fixture_answer_poll(
	    &f->base, call, incarnation_start_ms, NULL, 0, NULL, 0);
	return fence;
}

/*
 * The numbers rise with each restart and each term, and JSON holds them
 * exactly; without the setting they are the term.
 */
static void
test_fence_numbers(void)
{
	struct fixture f;
	uint64_t last, fence;

	fixture_init_fenced(&f);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	last = next_fence(&f, 2);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 3, f.base.now);
	fence = next_fence(&f, 3);
	g_assert_cmpuint(fence, >, last);
	flow_fixture_new_leader(&f.base, 3);
	last = next_fence(&f, 3);
	g_assert_cmpuint(last, >, fence);
	g_assert_cmpuint(last, <, 1ULL << 53);
	f.base.fence_incarnations = false;
	flow_fixture_new_leader(&f.base, 4);
	g_assert_cmpuint(next_fence(&f, 3), ==, 4);
	flow_fixture_clear(&f.base);
}

/*
 * A leader is elected 14 s after a restart of an endpoint, hears from it, and
 * the endpoint is silent from then on: calls from before the restart reach it
 * for one second at most, so the run must not be held for a further 15 s.
 */
static void
test_next_leader_long_after_restart(void)
{
	struct fixture f;
	struct flow_fixture_run up = {FLOW, 0, 1, 0, 0};

	fixture_init(&f);
	restart(&f, 2);
	answer_all(&f, 14000, 2, GYP_FLEET_OK);
	start_run(&f, 0, 1);
	flow_fixture_new_leader(&f.base, 2);
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 2, &up, 1, NULL, 0);
	assert_ends_in_silence(&f, 0, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: an endpoint restarted, and the answer
 * to a stop, which names no incarnation, passed for one of the earlier one. The
 * endpoint then got starts with a lease by the clock of that one.
 */
static void
test_restart_shown_by_clock(void)
{
	struct fixture f;
	struct gyp_fleet_call *stop;
	uint64_t left_ms;

	fixture_init_fenced(&f);
	start_run(&f, 0, 1);
	lose_calls(&f, 4000);
	gyp_fleet_stop_run(f.base.fleet, FLOW, 0);
	stop = next_call(&f, GYP_FLEET_STOP);
	f.base.clock_lag_ms = f.base.now - 50;
	flow_fixture_answer(&f.base, stop, GYP_FLEET_OK);
	g_assert_false(gyp_fleet_usable(f.base.fleet, f.a));
	g_assert_true(gyp_fleet_lease_runs_out(f.base.fleet, f.a, 0, &left_ms));
	g_assert_cmpuint(left_ms, >=, FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a lease that counts as 15 s longer although the answer to a
 * stop, which names no incarnation, shows that the endpoint refuses calls from
 * before its restart.
 */
static void
test_fenced_by_stop(void)
{
	struct fixture f;
	struct gyp_fleet_call *stop;

	fixture_init_fenced(&f);
	start_run(&f, 0, 1);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	gyp_fleet_stop_run(f.base.fleet, FLOW, 0);
	stop = next_call(&f, GYP_FLEET_STOP);
	flow_fixture_answer(&f.base, stop, GYP_FLEET_OK);
	assert_ends_in_silence(&f, 0, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against lasting tasks that wait for 20 s: an endpoint restarts,
 * refuses calls from before, gets a run and is lost, and so is the leader. The
 * next one must not count on late calls.
 */
static void
test_next_leader_of_fenced(void)
{
	struct fixture f;

	fixture_init_fenced(&f);
	restart(&f, 2);
	start_run(&f, 0, 1);
	lose_calls(&f, 200);
	flow_fixture_new_leader(&f.base, 3);
	assert_ends_in_silence(&f, 0, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the endpoint announces the restart after it answered. */
static void
test_next_leader_of_fenced_unannounced(void)
{
	struct fixture f;

	fixture_init_fenced(&f);
	start_run(&f, 0, 1);
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 2, NULL, 0, NULL, 0);
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 2, NULL, 0, NULL, 0);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	lose_calls(&f, 200);
	flow_fixture_new_leader(&f.base, 3);
	assert_ends_in_silence(&f, 0, SILENT_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * An incarnation after the one that refuses earlier calls refuses none yet: the
 * next leader waits for a late call and its lease.
 */
static void
test_next_leader_of_later_incarnation(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init_fenced(&f);
	restart(&f, 2);
	start_run(&f, 0, 1);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 3, f.base.now);
	lose_calls(&f, 200);
	flow_fixture_new_leader(&f.base, 3);
	since = f.base.now;
	lose_calls(&f, 2 * FLOW_FIXTURE_LEASE_MS);
	g_assert_true(is_open(&f, 0));
	assert_ends_in_silence(&f, 0, 30000);
	g_assert_cmpuint(f.base.now - since, >=, 2 * FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/*
 * An endpoint refuses all polls: they grant no lease, so its runs end there and
 * must not stay open.
 */
static void
test_refused_polls(void)
{
	struct fixture f;

	fixture_init(&f);
	start_run(&f, 0, 1);
	answer_all(&f, SILENT_END_MS, 1, GYP_FLEET_REFUSED);
	g_assert_false(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/*
 * An endpoint without runs refuses one poll: it must be polled again, or it
 * gets no run once its lease is over.
 */
static void
test_refused_poll_while_idle(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_new_leader(&f.base, 2);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_POLL), GYP_FLEET_REFUSED);
	answer_all(&f, SILENT_END_MS, 1, GYP_FLEET_OK);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 1, f.base.now);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	start_run(&f, 0, 1);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/*
 * No poll reaches an endpoint because each is lost with its carrier, while its
 * heartbeats arrive: its lease ends, so its runs must not stay open.
 */
static void
test_polls_lost_with_carrier(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	start_run(&f, 0, 1);
	since = f.base.now;
	while (f.base.now < since + SILENT_END_MS) {
		gyp_fleet_heartbeat(
		    f.base.fleet, f.base.now, f.a, 1, f.base.now);
		answer_all(&f, 500, 1, GYP_FLEET_CARRIER_LOST);
	}
	g_assert_false(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* A confirmed run that its endpoint never lists must end. */
static void
test_never_listed(void)
{
	struct fixture f;

	fixture_init(&f);
	start_run(&f, 0, 1);
	answer_all(&f, CONTACT_END_MS, 1, GYP_FLEET_OK);
	g_assert_false(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* An endpoint restarts while its run is stopped: the run must end. */
static void
test_restart_during_stop(void)
{
	struct fixture f;
	struct gyp_fleet_call *stop;

	fixture_init(&f);
	start_run(&f, 0, 1);
	gyp_fleet_stop_run(f.base.fleet, FLOW, 0);
	stop = next_call(&f, GYP_FLEET_STOP);
	flow_fixture_answer(&f.base, stop, GYP_FLEET_OK);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	answer_all(&f, CONTACT_END_MS, 2, GYP_FLEET_OK);
	g_assert_false(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/*
 * An endpoint announces its shutdown with a start under way and comes back
 * under its id: the run must be listed or end.
 */
static void
test_back_after_shutdown(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	gyp_fleet_call_free(next_call(&f, GYP_FLEET_START));
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	flow_fixture_advance(&f.base, 50);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	answer_all(&f, CONTACT_END_MS + 1500, 2, GYP_FLEET_OK);
	g_assert_false(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/*
 * Answers polls with empty lists and each stop with that result until the task
 * has no open run, at most for ms.
 */
static void
assert_ends_without_stop(struct fixture *f, uint32_t task,
    enum gyp_fleet_call_result stops, uint64_t ms)
{
	uint64_t since = f->base.now;
	struct gyp_fleet_call *call;

	while (is_open(f, task) && f->base.now < since + 60000) {
		flow_fixture_advance(&f->base, 10);
		call = gyp_fleet_pop_call(f->base.fleet);
		if (call == NULL)
			continue;
		if (call->kind == GYP_FLEET_POLL)
			flow_fixture_answer_poll(
			    &f->base, call, 1, NULL, 0, NULL, 0);
		else
			flow_fixture_answer(&f->base, call, stops);
	}
	g_assert_cmpuint(f->base.now - since, <=, ms);
}

/*
 * Guards against a run that is open without end: its endpoint lists it neither
 * as running nor as ended, and refuses each stop. Once no start of it can be
 * under way, the list is proof enough.
 */
static void
test_refused_stops(void)
{
	struct fixture f;

	fixture_init(&f);
	start_run(&f, 0, 1);
	assert_ends_without_stop(
	    &f, 0, GYP_FLEET_REFUSED, LATE_CALL_MS + CONTACT_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same for a run that an earlier leader started. */
static void
test_refused_stops_inherited(void)
{
	struct fixture f;

	fixture_init(&f);
	start_run(&f, 0, 1);
	flow_fixture_new_leader(&f.base, 2);
	assert_ends_without_stop(
	    &f, 0, GYP_FLEET_REFUSED, LATE_CALL_MS + CONTACT_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * A list made for this leader shows that the endpoint refuses the starts of
 * earlier ones, so the run must not stay open for 15 s of each leader's term.
 */
static void
test_refused_stops_after_election(void)
{
	struct fixture f;

	fixture_init(&f);
	start_run(&f, 0, 1);
	flow_fixture_new_leader(&f.base, 2);
	assert_ends_without_stop(&f, 0, GYP_FLEET_REFUSED, 2 * CONTACT_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * A start without an answer may be carried out for 15 s: until then, a list
 * without the run doesn't end it, or its task could run twice.
 */
static void
test_refused_stops_late_start(void)
{
	struct fixture f;
	uint64_t sent;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_REFUSED);
	sent = f.base.now;
	assert_ends_without_stop(
	    &f, 0, GYP_FLEET_REFUSED, LATE_CALL_MS + CONTACT_END_MS);
	g_assert_cmpuint(f.base.now - sent, >=, LATE_CALL_MS - 100);
	flow_fixture_clear(&f.base);
}

/* A row that can't be read may be that of the run, so the run isn't over. */
static void
test_refused_stops_unreadable_row(void)
{
	struct fixture f;
	struct gyp_fleet_answer a = {.end = GYP_FLEET_REFUSED};
	struct gyp_fleet_call *call;
	uint64_t end;

	fixture_init(&f);
	start_run(&f, 0, 1);
	end = f.base.now + 2 * LATE_CALL_MS;
	a.running = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_run));
	a.ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	while (f.base.now < end) {
		flow_fixture_advance(&f.base, 10);
		call = gyp_fleet_pop_call(f.base.fleet);
		if (call == NULL)
			continue;
		a.call = call->id;
		a.listed = call->kind == GYP_FLEET_POLL;
		a.end = a.listed ? GYP_FLEET_OK : GYP_FLEET_REFUSED;
		a.unreadable_rows = a.listed ? 1 : 0;
		a.ends_complete = true;
		a.has_clock = true;
		a.clock_ms = f.base.now;
		gyp_fleet_handle_answer(f.base.fleet, f.base.now, &a);
		gyp_fleet_call_free(call);
	}
	g_assert_true(is_open(&f, 0));
	g_array_free(a.running, TRUE);
	g_array_free(a.ended, TRUE);
	flow_fixture_clear(&f.base);
}

/* Loses calls until there is a command, which the test applies later. */
static Gyp__Cmd *
next_cmd(struct fixture *f)
{
	Gyp__Cmd *cmd = NULL;
	int i;

	for (i = 0; i < 300 && cmd == NULL; i++) {
		struct gyp_fleet_answer lost = {.end = GYP_FLEET_LOST};
		struct gyp_fleet_call *call;

		f->base.now += 10;
		gyp_fleet_tick(f->base.fleet, f->base.now);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
			lost.call = call->id;
			gyp_fleet_handle_answer(
			    f->base.fleet, f->base.now, &lost);
			gyp_fleet_call_free(call);
		}
		cmd = gyp_fleet_pop_cmd(f->base.fleet);
	}
	g_assert_nonnull(cmd);
	return cmd;
}

/*
 * An endpoint shuts down and registers again before its removal is committed,
 * so the removal has no effect. Its next shutdown must remove it, or the tables
 * hold an endpoint that is gone as long as this leader leads.
 */
static void
test_removal_without_effect(void)
{
	struct fixture f;
	Gyp__Cmd *removal;

	fixture_init(&f);
	flow_fixture_commit_end(&f.base, "a", 1);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	removal = next_cmd(&f);
	g_assert_cmpint(removal->c_case, ==, GYP__CMD__C_HOST);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	gyp_flows_apply(f.base.flows, f.base.now, removal);
	gyp_message_free(removal);
	restart(&f, 2);
	answer_all(&f, CONTACT_END_MS, 2, GYP_FLEET_OK);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	flow_fixture_commit_end(&f.base, "a", 2);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 2);
	lose_calls(&f, 3000);
	g_assert_null(gyp_host_by_id(f.base.flows, "a"));
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/open-runs/wrong-endpoint-then-restart",
	    test_wrong_endpoint_then_restart);
	g_test_add_func(
	    "/open-runs/silent-after-restart", test_silent_after_restart);
	g_test_add_func(
	    "/open-runs/silent-without-fences", test_silent_without_fences);
	g_test_add_func("/open-runs/fenced-by-later-calls-only",
	    test_fenced_by_later_calls_only);
	g_test_add_func("/open-runs/fence-numbers", test_fence_numbers);
	g_test_add_func("/open-runs/next-leader-long-after-restart",
	    test_next_leader_long_after_restart);
	g_test_add_func(
	    "/open-runs/restart-shown-by-clock", test_restart_shown_by_clock);
	g_test_add_func("/open-runs/fenced-by-stop", test_fenced_by_stop);
	g_test_add_func(
	    "/open-runs/next-leader-of-fenced", test_next_leader_of_fenced);
	g_test_add_func("/open-runs/next-leader-of-fenced-unannounced",
	    test_next_leader_of_fenced_unannounced);
	g_test_add_func("/open-runs/next-leader-of-later-incarnation",
	    test_next_leader_of_later_incarnation);
	g_test_add_func("/open-runs/refused-polls", test_refused_polls);
	g_test_add_func(
	    "/open-runs/refused-poll-while-idle", test_refused_poll_while_idle);
	g_test_add_func(
	    "/open-runs/polls-lost-with-carrier", test_polls_lost_with_carrier);
	g_test_add_func("/open-runs/never-listed", test_never_listed);
	g_test_add_func(
	    "/open-runs/restart-during-stop", test_restart_during_stop);
	g_test_add_func(
	    "/open-runs/back-after-shutdown", test_back_after_shutdown);
	g_test_add_func("/open-runs/refused-stops", test_refused_stops);
	g_test_add_func(
	    "/open-runs/refused-stops-inherited", test_refused_stops_inherited);
	g_test_add_func("/open-runs/refused-stops-after-election",
	    test_refused_stops_after_election);
	g_test_add_func("/open-runs/refused-stops-late-start",
	    test_refused_stops_late_start);
	g_test_add_func(
	    "/open-runs/removal-without-effect", test_removal_without_effect);
	g_test_add_func("/open-runs/refused-stops-unreadable-row",
	    test_refused_stops_unreadable_row);
	return g_test_run();
}
