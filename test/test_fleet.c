#include <glib.h>

#include "fleet_fixture.h"

/*
 * Tests of the leader's calls and commands for committed runs. The tests write
 * the answers of endpoints themselves.
 */

/* An end is acknowledged only after it is committed to the tables. */
static void
test_acknowledged_after_commit(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run end = {
	    FLEET_FIXTURE_FLOW, 0, 1, 7, GYP__FLOW_HOW__FLOW_DONE};
	struct gyp_fleet_call *call;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	call = fleet_fixture_next_poll(&f, 500);
	g_assert_cmpuint(call->acked, ==, 0);
	flow_fixture_answer_poll(&f.base, call, 1, NULL, 0, &end, 1);
	g_assert_cmpint(gyp_flow_get(f.base.flows, FLEET_FIXTURE_FLOW)->state,
	    ==, GYP_FLOW_COMPLETED);
	call = fleet_fixture_next_poll(&f, 500);
	g_assert_cmpuint(call->acked, ==, 7);
	gyp_fleet_call_free(call);
	flow_fixture_clear(&f.base);
}

/*
 * A poll whose answer never reaches the fleet must not prevent further polls:
 * the lease of all runs on the endpoint would expire.
 */
static void
test_answer_never_arrives(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 0, 1, 0, 0};

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	gyp_fleet_call_free(fleet_fixture_next_poll(&f, 500));
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 3000), 1, &up, 1, NULL, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	flow_fixture_clear(&f.base);
}

/*
 * A lost start is repeated under the same run number, then stopped. The task
 * gets another run only after the stop is confirmed and a later poll does not
 * list the run.
 */
static void
test_lost_start(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *stop = NULL;
	int starts = 0;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	while (stop == NULL && f.base.now < 200000) {
		struct gyp_fleet_call *call;

		flow_fixture_advance(&f.base, 10);
		call = gyp_fleet_pop_call(f.base.fleet);
		if (call == NULL) {
			continue;
		} else if (call->kind == GYP_FLEET_STOP) {
			stop = call;
		} else if (call->kind == GYP_FLEET_START) {
			g_assert_cmpuint(call->run, ==, 1);
			starts++;
			flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
		} else {
			flow_fixture_answer_poll(
			    &f.base, call, 1, NULL, 0, NULL, 0);
		}
	}
	g_assert_cmpint(starts, >, 1);
	g_assert_nonnull(stop);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	flow_fixture_answer(&f.base, stop, GYP_FLEET_OK);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	/* One poll may have been sent before the stop was confirmed. */
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 1, NULL, 0, NULL, 0);
	if (fleet_fixture_task(&f, 0)->state == GYP_FLOW_TASK_OPEN)
		flow_fixture_answer_poll(&f.base,
		    fleet_fixture_next_poll(&f, 1000), 1, NULL, 0, NULL, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/*
 * The runs of a silent endpoint are over only when its lease is over on a
 * clock that is slow by one part in GYP_CLOCK_SLOW.
 */
static void
test_lease_of_silent_endpoint(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 0, 1, 0, 0};
	uint64_t last, until = 0;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 500), 1, &up, 1, NULL, 0);
	last = f.base.now;
	while (fleet_fixture_task(&f, 0)->state == GYP_FLOW_TASK_OPEN) {
		struct gyp_fleet_call *call;

		flow_fixture_advance(&f.base, 10);
		while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL) {
			until = MAX(until, call->until_ms);
			flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
		}
		g_assert_cmpuint(
		    f.base.now, <, last + 3 * FLOW_FIXTURE_LEASE_MS);
	}
	/*
	 * The endpoint's clock shows the fixture's time, so its last reading
	 * was `last`.
	 */
	g_assert_cmpuint(f.base.now, >=,
	    last + (until - last) * GYP_CLOCK_SLOW / (GYP_CLOCK_SLOW - 1));
	flow_fixture_clear(&f.base);
}

/*
 * Answers that take longer than the first ones show older clocks, which are
 * below what the leader derives from its first reading. The lease is extended
 * all the same, or the runs of an endpoint that answers every poll would lapse.
 */
static void
test_answers_become_slow(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run running = {
	    .flow = FLEET_FIXTURE_FLOW, .run = 1};
	uint64_t end;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	f.base.clock_lag_ms = 200;
	end = f.base.now + 3 * FLOW_FIXTURE_LEASE_MS;
	while (f.base.now < end) {
		flow_fixture_answer_poll(&f.base,
		    fleet_fixture_next_poll(&f, 1000), 1, &running, 1, NULL, 0);
		flow_fixture_advance(&f.base, 300);
		g_assert_cmpint(
		    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	}
	flow_fixture_clear(&f.base);
}

/*
 * The first reading that a new leader gets may have been taken before its term,
 * as a heartbeat can be delayed. The lease that the earlier leader granted last
 * must be waited out all the same.
 */
static void
test_old_first_reading(void)
{
	struct fleet_fixture f;
	uint64_t since;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	flow_fixture_new_leader(&f.base, 2);
	since = f.base.now;
	gyp_fleet_heartbeat(f.base.fleet, since, f.a, 1, since - 3000);
	flow_fixture_advance(&f.base, 10);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 1, f.base.now);
	while (fleet_fixture_task(&f, 0)->state == GYP_FLOW_TASK_OPEN) {
		struct gyp_fleet_call *call;

		flow_fixture_advance(&f.base, 10);
		while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL)
			flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
		g_assert_cmpuint(
		    f.base.now, <, since + 3 * FLOW_FIXTURE_LEASE_MS);
	}
	g_assert_cmpuint(f.base.now, >=,
	    since +
		FLOW_FIXTURE_LEASE_MS * GYP_CLOCK_SLOW / (GYP_CLOCK_SLOW - 1));
	flow_fixture_clear(&f.base);
}

/*
 * A heartbeat that arrives late doesn't show that the endpoint's clock goes on
 * now: a lease counts from little after the time of its reading.
 */
static void
test_late_reading(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *call;
	uint64_t read_at;

	fleet_fixture_init(&f, 1, false);
	read_at = f.base.now + 100;
	flow_fixture_advance(&f.base, 10000);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 1, read_at);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	flow_fixture_advance(&f.base, 10);
	call = flow_fixture_next_call(&f.base, GYP_FLEET_START);
	g_assert_nonnull(call);
	g_assert_cmpuint(
	    call->until_ms, <=, read_at + 3000 + FLOW_FIXTURE_LEASE_MS);
	gyp_fleet_call_free(call);
	flow_fixture_clear(&f.base);
}

/*
 * The lease of an endpoint without runs is over, so it bounds no run whose
 * start was not sent: such a run must not lapse before its start is sent.
 */
static void
test_start_at_idle_endpoint(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *call;
	uint64_t ms;

	for (ms = 100; ms < 200; ms += 10) {
		fleet_fixture_init(&f, 1, false);
		flow_fixture_advance(&f.base, 2 * FLOW_FIXTURE_LEASE_MS);
		gyp_fleet_heartbeat(
		    f.base.fleet, f.base.now, f.a, 1, f.base.now);
		flow_fixture_advance(&f.base, ms);
		flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
		flow_fixture_advance(&f.base, 10);
		call = flow_fixture_next_call(&f.base, GYP_FLEET_START);
		g_assert_nonnull(call);
		gyp_fleet_call_free(call);
		flow_fixture_clear(&f.base);
	}
}

/*
 * A new leader keeps the runs that an endpoint lists. It stops a run that is
 * not listed before it counts the run as lost.
 */
static void
test_new_leader(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 0, 1, 0, 0};
	struct gyp_fleet_call *stop;

	fleet_fixture_init(&f, 2, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 1, 1, f.a);
	flow_fixture_new_leader(&f.base, 2);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 500), 1, &up, 1, NULL, 0);
	stop = flow_fixture_next_call(&f.base, GYP_FLEET_STOP);
	g_assert_nonnull(stop);
	g_assert_cmpuint(stop->index, ==, 1);
	g_assert_cmpuint(stop->fence, ==, 2);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 1)->state, ==, GYP_FLOW_TASK_OPEN);
	flow_fixture_answer(&f.base, stop, GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 1, &up, 1, NULL, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 1)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/* A restarted endpoint has lost its runs, but a late start may still arrive. */
static void
test_restarted(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *stop;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 500), 2, NULL, 0, NULL, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	stop = flow_fixture_next_call(&f.base, GYP_FLEET_STOP);
	g_assert_nonnull(stop);
	flow_fixture_answer(&f.base, stop, GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 1000), 2, NULL, 0, NULL, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/*
 * An idle endpoint may have restarted and numbers its ends from the start: an
 * old acknowledgement would make it forget ends that the leader never received.
 */
static void
test_ack_of_earlier_incarnation(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run end = {
	    FLEET_FIXTURE_FLOW, 0, 1, 9, GYP__FLOW_HOW__FLOW_DONE};
	struct flow_fixture_run again = {
	    FLEET_FIXTURE_FLOW, 1, 2, 1, GYP__FLOW_HOW__FLOW_DONE};
	struct gyp_fleet_call *call;

	fleet_fixture_init(&f, 2, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 500), 1, NULL, 0, &end, 1);
	call = fleet_fixture_next_poll(&f, 500);
	g_assert_cmpuint(call->acked, ==, 9);
	flow_fixture_answer_poll(&f.base, call, 1, NULL, 0, NULL, 0);
	/* It restarts while nothing runs there. */
	flow_fixture_advance(&f.base, 1000);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 1, 1, 2, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	call = fleet_fixture_next_poll(&f, 500);
	g_assert_cmpuint(call->acked, ==, 0);
	flow_fixture_answer_poll(&f.base, call, 2, NULL, 0, &again, 1);
	g_assert_cmpint(gyp_flow_get(f.base.flows, FLEET_FIXTURE_FLOW)->state,
	    ==, GYP_FLOW_COMPLETED);
	flow_fixture_clear(&f.base);
}

/*
 * A run is given up with its lease, then the endpoint answers again and lists
 * the run as done: the task is done and gets no other run.
 */
static void
test_late_done(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run end = {
	    FLEET_FIXTURE_FLOW, 0, 1, 1, GYP__FLOW_HOW__FLOW_DONE};
	struct gyp_fleet_call *call;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	while (fleet_fixture_task(&f, 0)->state == GYP_FLOW_TASK_OPEN) {
		flow_fixture_advance(&f.base, 10);
		while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL)
			flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
	}
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 1, f.base.now);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 2000), 1, NULL, 0, &end, 1);
	g_assert_cmpint(gyp_flow_get(f.base.flows, FLEET_FIXTURE_FLOW)->state,
	    ==, GYP_FLOW_COMPLETED);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that is done and runs again: its next start was refused
 * at the commit, and the end as done of the run before was taken for one at
 * another endpoint.
 */
static void
test_late_done_after_refused_start(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run end = {
	    FLEET_FIXTURE_FLOW, 0, 1, 1, GYP__FLOW_HOW__FLOW_DONE};
	struct gyp_fleet_call *call;
	uint32_t b;

	fleet_fixture_init(&f, 2, false);
	b = flow_fixture_add_host(&f.base, "b", 1);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	while (fleet_fixture_task(&f, 0)->state == GYP_FLOW_TASK_OPEN) {
		flow_fixture_advance(&f.base, 10);
		while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL)
			flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
	}
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 1, 1, 1, b);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 1, 2, b);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	g_assert_cmpuint(fleet_fixture_task(&f, 0)->run, ==, 1);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 1, f.base.now);
	while ((call = fleet_fixture_next_poll(&f, 2000))->row != f.a)
		flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
	flow_fixture_answer_poll(&f.base, call, 1, NULL, 0, &end, 1);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_DONE);
	flow_fixture_clear(&f.base);
}

/*
 * A run is committed after a call at its endpoint was lost, and the next call
 * is answered: the start must be sent, or the run given up.
 */
static void
test_start_after_lost_call(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 0, 1, 0, 0};
	struct gyp_fleet_call *call;
	bool started = false;
	int i;

	fleet_fixture_init(&f, 2, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	call = fleet_fixture_next_poll(&f, 500);
	flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 1, 1, 2, f.a);
	flow_fixture_advance(&f.base, 1);
	for (i = 0; i < 200 && !started; i++) {
		flow_fixture_advance(&f.base, 10);
		call = gyp_fleet_pop_call(f.base.fleet);
		if (call == NULL)
			continue;
		started = call->kind == GYP_FLEET_START;
		if (call->kind == GYP_FLEET_POLL)
			flow_fixture_answer_poll(
			    &f.base, call, 1, &up, 1, NULL, 0);
		else
			flow_fixture_answer(&f.base, call, GYP_FLEET_OK);
	}
	g_assert_true(started || fleet_fixture_task(&f, 1)->state ==
				     GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/* The runs of a cancelled flow are stopped, and no new run is started. */
static void
test_cancelled(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *call;

	fleet_fixture_init(&f, 2, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 1, 1, 2, f.a);
	flow_fixture_cancel(&f.base, FLEET_FIXTURE_FLOW);
	flow_fixture_advance(&f.base, 10);
	call = gyp_fleet_pop_call(f.base.fleet);
	while (call != NULL) {
		g_assert_cmpint(call->kind, !=, GYP_FLEET_START);
		if (call->kind == GYP_FLEET_STOP)
			g_assert_cmpuint(call->index, ==, 0);
		gyp_fleet_call_free(call);
		call = gyp_fleet_pop_call(f.base.fleet);
	}
	g_assert_cmpint(
	    fleet_fixture_task(&f, 1)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/* When one run of a gang fails, the others are stopped. */
static void
test_broken_gang(void)
{
	struct fleet_fixture f;
	struct flow_fixture_run end = {
	    FLEET_FIXTURE_FLOW, 0, 1, 1, GYP__FLOW_HOW__FLOW_FAILED};
	struct flow_fixture_run up = {FLEET_FIXTURE_FLOW, 1, 1, 0, 0};
	struct gyp_fleet_call *stop;

	fleet_fixture_init(&f, 2, true);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 1, 1, f.a);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	fleet_fixture_answer_start(&f, GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, fleet_fixture_next_poll(&f, 500), 1, &up, 1, &end, 1);
	flow_fixture_advance(&f.base, 10);
	stop = flow_fixture_next_call(&f.base, GYP_FLEET_STOP);
	g_assert_nonnull(stop);
	g_assert_cmpuint(stop->index, ==, 1);
	gyp_fleet_call_free(stop);
	g_assert_cmpuint(fleet_fixture_task(&f, 0)->failures, ==, 1);
	flow_fixture_clear(&f.base);
}

/*
 * A carrier is lost with a poll and a start under way. This is no failure of
 * the endpoint: it stays usable and is polled again at once, and the start is
 * repeated under the same run number.
 */
static void
test_carrier_lost(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *call;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	g_assert_cmpuint(
	    fleet_fixture_answer_start(&f, GYP_FLEET_CARRIER_LOST), ==, 1);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	flow_fixture_advance(&f.base, 50);
	g_assert_cmpuint(fleet_fixture_answer_start(&f, GYP_FLEET_OK), ==, 1);
	call = fleet_fixture_next_poll(&f, 500);
	flow_fixture_answer(&f.base, call, GYP_FLEET_CARRIER_LOST);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	call = fleet_fixture_next_poll(&f, 30);
	g_assert_cmpuint(call->wait_ms, ==, 0);
	gyp_fleet_call_free(call);
	flow_fixture_clear(&f.base);
}

/*
 * Loses all calls for ms; returns the number of starts among them. Stops are
 * carried out.
 */
static uint32_t
count_starts(struct fleet_fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;
	struct gyp_fleet_call *call;
	uint32_t starts = 0;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
			starts += call->kind == GYP_FLEET_START;
			flow_fixture_answer(&f->base, call,
			    call->kind == GYP_FLEET_STOP ? GYP_FLEET_OK
							 : GYP_FLEET_LOST);
		}
	}
	return starts;
}

/*
 * Guards against tasks that begin at an endpoint long after its draining was
 * acknowledged: a start that got no answer was sent again.
 */
static void
test_no_start_again_while_draining(void)
{
	struct fleet_fixture f;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	g_assert_cmpuint(
	    fleet_fixture_answer_start(&f, GYP_FLEET_CARRIER_LOST), ==, 1);
	flow_fixture_drain(&f.base, f.a);
	g_assert_cmpuint(count_starts(&f, 5000), ==, 0);
	flow_fixture_clear(&f.base);
}

/* A run that was committed before the draining and not sent ends at once. */
static void
test_no_first_start_while_draining(void)
{
	struct fleet_fixture f;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	flow_fixture_drain(&f.base, f.a);
	g_assert_cmpuint(count_starts(&f, 100), ==, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/* Nor is a start sent after the notice of a shutdown. */
static void
test_no_start_after_departure(void)
{
	struct fleet_fixture f;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, f.a);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(count_starts(&f, 100), ==, 0);
	g_assert_cmpint(
	    fleet_fixture_task(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/* Age of the leader when an endpoint registers, in ms; over a minute. */
#define OLD_LEADER_MS 70000

/* Silence after which an idle endpoint is removed, in ms. */
#define IDLE_REMOVED_MS 60000

/*
 * Guards against endpoints that are refused for good: one that registers with a
 * leader of more than a minute was removed as silent before its first poll, and
 * again after each heartbeat.
 */
static void
test_registers_at_old_leader(void)
{
	struct fleet_fixture f;
	uint32_t b;
	int i;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_advance(&f.base, OLD_LEADER_MS);
	b = flow_fixture_add_host(&f.base, "b", 1);
	for (i = 0; i < 10; i++) {
		flow_fixture_advance(&f.base, 150);
		flow_fixture_contact_all(&f.base);
		g_assert_nonnull(gyp_host_at(f.base.flows, b));
	}
	g_assert_true(gyp_fleet_usable(f.base.fleet, b));
	flow_fixture_clear(&f.base);
}

/* An endpoint that registers and is never heard of again is removed. */
static void
test_silent_since_registration(void)
{
	struct fleet_fixture f;
	uint32_t b;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_advance(&f.base, OLD_LEADER_MS);
	b = flow_fixture_add_host(&f.base, "b", 1);
	flow_fixture_advance(&f.base, IDLE_REMOVED_MS - 1000);
	g_assert_nonnull(gyp_host_at(f.base.flows, b));
	flow_fixture_advance(&f.base, 2000);
	g_assert_null(gyp_host_at(f.base.flows, b));
	flow_fixture_clear(&f.base);
}

/*
 * An endpoint that registered lately has not been silent for the whole term, so
 * its lease does not run out.
 */
static void
test_silence_of_new_endpoint(void)
{
	struct fleet_fixture f;
	uint64_t left_ms;
	uint32_t b;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_advance(&f.base, OLD_LEADER_MS);
	b = flow_fixture_add_host(&f.base, "b", 1);
	flow_fixture_start(&f.base, FLEET_FIXTURE_FLOW, 0, 0, 1, b);
	flow_fixture_advance(&f.base, 100);
	g_assert_false(
	    gyp_fleet_lease_runs_out(f.base.fleet, b, 1000, &left_ms));
	flow_fixture_clear(&f.base);
}

/*
 * Guards against an endpoint that is refused for good: its clock was set back
 * and it restarted, so its incarnation looks older than the one on record. That
 * one is removed as silent, and the endpoint registers.
 */
static void
test_restarts_with_earlier_clock(void)
{
	struct fleet_fixture f;
	struct gyp_fleet_call *call;
	const struct gyp_host *b;
	int i;

	fleet_fixture_init(&f, 1, false);
	flow_fixture_add_host(&f.base, "b", 5000);
	flow_fixture_contact_all(&f.base);
	for (i = 0; i < (IDLE_REMOVED_MS + 5000) / 1000; i++) {
		b = gyp_host_by_id(f.base.flows, "b");
		if (b == NULL)
			flow_fixture_add_host(&f.base, "b", 4000);
		else
			gyp_fleet_heartbeat(
			    f.base.fleet, f.base.now, b->row, 4000, f.base.now);
		flow_fixture_advance(&f.base, 1000);
		while ((call = flow_fixture_next_call(
			    &f.base, GYP_FLEET_POLL)) != NULL)
			flow_fixture_answer_poll(
			    &f.base, call, 4000, NULL, 0, NULL, 0);
	}
	b = gyp_host_by_id(f.base.flows, "b");
	g_assert_nonnull(b);
	g_assert_cmpuint(b->spec->born_ms, ==, 4000);
	g_assert_true(gyp_fleet_usable(f.base.fleet, b->row));
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/fleet/acknowledged-after-commit", test_acknowledged_after_commit);
	g_test_add_func(
	    "/fleet/answer-never-arrives", test_answer_never_arrives);
	g_test_add_func("/fleet/lost-start", test_lost_start);
	g_test_add_func(
	    "/fleet/lease-of-silent-endpoint", test_lease_of_silent_endpoint);
	g_test_add_func("/fleet/answers-become-slow", test_answers_become_slow);
	g_test_add_func("/fleet/old-first-reading", test_old_first_reading);
	g_test_add_func("/fleet/late-reading", test_late_reading);
	g_test_add_func(
	    "/fleet/start-at-idle-endpoint", test_start_at_idle_endpoint);
	g_test_add_func("/fleet/new-leader", test_new_leader);
	g_test_add_func("/fleet/restarted", test_restarted);
	g_test_add_func("/fleet/ack-of-earlier-incarnation",
	    test_ack_of_earlier_incarnation);
	g_test_add_func("/fleet/late-done", test_late_done);
	g_test_add_func("/fleet/late-done-after-refused-start",
	    test_late_done_after_refused_start);
	g_test_add_func(
	    "/fleet/start-after-lost-call", test_start_after_lost_call);
	g_test_add_func("/fleet/cancelled", test_cancelled);
	g_test_add_func("/fleet/broken-gang", test_broken_gang);
	g_test_add_func("/fleet/carrier-lost", test_carrier_lost);
	g_test_add_func("/fleet/no-start-again-while-draining",
	    test_no_start_again_while_draining);
	g_test_add_func("/fleet/no-first-start-while-draining",
	    test_no_first_start_while_draining);
	g_test_add_func(
	    "/fleet/no-start-after-departure", test_no_start_after_departure);
	g_test_add_func(
	    "/fleet/registers-at-old-leader", test_registers_at_old_leader);
	g_test_add_func(
	    "/fleet/silent-since-registration", test_silent_since_registration);
	g_test_add_func(
	    "/fleet/silence-of-new-endpoint", test_silence_of_new_endpoint);
	g_test_add_func("/fleet/restarts-with-earlier-clock",
	    test_restarts_with_earlier_clock);
	return g_test_run();
}
