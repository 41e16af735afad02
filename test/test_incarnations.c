#include <glib.h>

#include "flow_fixture.h"

/*
 * Endpoints that restart under the same id: answers from and calls to an
 * earlier incarnation must not apply to the current one. The first incarnation
 * of endpoint "a" starts at time 1.
 */

#define FLOW 0xf1ULL

struct fixture {
	struct flow_fixture base;
	uint32_t a; /* row of the endpoint */
};

static void
fixture_init(struct fixture *f)
{
	Gyp__FlowStep step = flow_fixture_step(2);

	flow_fixture_init(&f->base);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	flow_fixture_contact_all(&f->base);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
}

static const struct gyp_flow_task *
task_of(const struct fixture *f, uint32_t task)
{
	return &gyp_flow_get(f->base.flows, FLOW)->tasks[task];
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

/* A heartbeat reports an incarnation that started at incarnation_start_ms. */
static void
report_restart(struct fixture *f, uint64_t incarnation_start_ms)
{
	gyp_fleet_heartbeat(
	    f->base.fleet, f->base.now, f->a, incarnation_start_ms, 10);
}

/*
 * A start is lost, and its stop is under way when the endpoint restarts. The
 * stop must be sent to the new incarnation too, since the start may still
 * arrive there.
 */
static void
test_stop_is_repeated(void)
{
	struct fixture f;
	struct gyp_fleet_call *call;
	int i;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	for (i = 0; i < 4; i++) {
		call = next_call(&f, GYP_FLEET_START);
		flow_fixture_answer(&f.base, call, GYP_FLEET_CARRIER_LOST);
	}
	call = next_call(&f, GYP_FLEET_STOP);
	report_restart(&f, 2);
	flow_fixture_answer(&f.base, call, GYP_FLEET_OK);
	g_assert_cmpint(task_of(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	call = next_call(&f, GYP_FLEET_STOP);
	g_assert_cmpuint(call->run, ==, 1);
	flow_fixture_answer(&f.base, call, GYP_FLEET_OK);
	call = next_call(&f, GYP_FLEET_POLL);
	flow_fixture_answer_poll(&f.base, call, 2, NULL, 0, NULL, 0);
	g_assert_cmpint(task_of(&f, 0)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/*
 * The answer to a start arrives after its endpoint restarted. Its clock is that
 * of the earlier incarnation, far ahead: a lease computed from it would count
 * as over while runs continue.
 */
static void
test_clock_of_earlier_incarnation(void)
{
	struct fixture f;
	struct flow_fixture_run up = {FLOW, 1, 1, 0, 0};
	struct gyp_fleet_call *start, *call;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	start = next_call(&f, GYP_FLEET_START);
	report_restart(&f, 2);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_answer(&f.base, start, GYP_FLEET_OK);
	call = next_call(&f, GYP_FLEET_POLL);
	g_assert_cmpuint(call->until_ms, <, 2 * FLOW_FIXTURE_LEASE_MS);
	flow_fixture_answer_poll(&f.base, call, 2, &up, 1, NULL, 0);
	flow_fixture_clear(&f.base);
}

/*
 * After a restart the leader allows for leases that late calls to the earlier
 * incarnation may grant. It must not grant so long a lease itself: a call that
 * is carried out late would outlast the time that the next leader waits, and a
 * task would run twice.
 */
static void
test_lease_not_extended_after_restart(void)
{
	struct fixture f;
	struct flow_fixture_run up = {FLOW, 1, 1, 0, 0};
	struct gyp_fleet_call *start, *call;
	int i;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	start = next_call(&f, GYP_FLEET_START);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_answer(&f.base, start, GYP_FLEET_OK);
	call = next_call(&f, GYP_FLEET_POLL);
	flow_fixture_answer_poll(&f.base, call, 2, &up, 1, NULL, 0);
	for (i = 0; i < 3; i++) {
		call = next_call(&f, GYP_FLEET_POLL);
		g_assert_cmpuint(
		    call->until_ms, <=, f.base.now + FLOW_FIXTURE_LEASE_MS);
		flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
	}
	flow_fixture_clear(&f.base);
}

/* A new incarnation gets no run before it reports its capacity. */
static void
test_unknown_capacity(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	report_restart(&f, 2);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, 20);
	g_assert_false(gyp_fleet_usable(f.base.fleet, f.a));
	flow_fixture_add_host(&f.base, "a", 2);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	flow_fixture_clear(&f.base);
}

/*
 * The leader fails after it noticed a restart. One of its late calls may grant
 * a whole lease, so the next leader waits longer for a silent endpoint.
 */
static void
test_next_leader_waits(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	report_restart(&f, 2);
	flow_fixture_advance(&f.base, 10);
	flow_fixture_new_leader(&f.base, 2);
	since = f.base.now;
	flow_fixture_advance(&f.base, 2 * FLOW_FIXTURE_LEASE_MS);
	g_assert_cmpint(task_of(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	while (task_of(&f, 0)->state == GYP_FLOW_TASK_OPEN) {
		flow_fixture_advance(&f.base, 100);
		g_assert_cmpuint(f.base.now, <, since + 30000);
	}
	flow_fixture_clear(&f.base);
}

/*
 * After a pause of the leader an answer may be as old as the pause. Its number
 * is not acknowledged, since the endpoint may have restarted since.
 */
static void
test_no_ack_after_pause(void)
{
	struct fixture f;
	struct flow_fixture_run end = {FLOW, 0, 1, 7, GYP__FLOW_HOW__FLOW_DONE};
	struct gyp_fleet_call *call;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 1, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_OK);
	call = next_call(&f, GYP_FLEET_POLL);
	f.base.now += 400;
	flow_fixture_answer_poll(&f.base, call, 1, NULL, 0, &end, 1);
	flow_fixture_advance(&f.base, 1);
	while ((call = gyp_fleet_pop_call(f.base.fleet)) != NULL) {
		g_assert_cmpuint(call->acked, ==, 0);
		gyp_fleet_call_free(call);
	}
	flow_fixture_clear(&f.base);
}

/* Task 0 runs at the endpoint, and still does after a departure would count. */
static void
assert_keeps_run(struct fixture *f)
{
	flow_fixture_advance(&f->base, 300);
	g_assert_nonnull(gyp_host_at(f->base.flows, f->a));
	g_assert_cmpint(task_of(f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
}

/*
 * An endpoint restarts at another address. The answer of the one that has its
 * old address now must not end the runs at the new address: their tasks would
 * run twice.
 */
static void
test_wrong_endpoint_at_old_address(void)
{
	struct fixture f;
	struct gyp_fleet_call *poll, *start;

	fixture_init(&f);
	report_restart(&f, 2);
	poll = next_call(&f, GYP_FLEET_POLL);
	f.a = flow_fixture_add_host_at(&f.base, "a", 2, "127.0.0.1:2");
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	start = next_call(&f, GYP_FLEET_START);
	g_assert_cmpstr(start->address, ==, "127.0.0.1:2");
	flow_fixture_answer(&f.base, start, GYP_FLEET_OK);
	flow_fixture_answer(&f.base, poll, GYP_FLEET_WRONG_ENDPOINT);
	assert_keeps_run(&f);
	flow_fixture_clear(&f.base);
}

/* The same for a call from before the restart, at an address that is kept. */
static void
test_wrong_endpoint_before_restart(void)
{
	struct fixture f;
	struct gyp_fleet_call *poll, *start;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 1, 1, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_OK);
	poll = next_call(&f, GYP_FLEET_POLL);
	report_restart(&f, 2);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_start(&f.base, FLOW, 0, 0, 2, f.a);
	start = next_call(&f, GYP_FLEET_START);
	flow_fixture_answer(&f.base, start, GYP_FLEET_OK);
	flow_fixture_answer(&f.base, poll, GYP_FLEET_WRONG_ENDPOINT);
	assert_keeps_run(&f);
	flow_fixture_clear(&f.base);
}

static void
start_task(struct fixture *f)
{
	flow_fixture_start(&f->base, FLOW, 0, 0, 1, f->a);
	flow_fixture_answer(
	    &f->base, next_call(f, GYP_FLEET_START), GYP_FLEET_OK);
}

static void
restart(struct fixture *f)
{
	fixture_init(f);
	report_restart(f, 2);
	f->a = flow_fixture_add_host(&f->base, "a", 2);
	flow_fixture_contact_all(&f->base);
}

/* Task 0 runs at incarnation 2 of the endpoint, which has restarted. */
static void
run_at_second_incarnation(struct fixture *f)
{
	restart(f);
	start_task(f);
}

/*
 * Guards against tasks that run twice: the announcement of the earlier
 * incarnation's shutdown was held up, and ended the runs of the present one,
 * which went on.
 */
static void
test_departure_of_earlier_incarnation(void)
{
	struct fixture f;

	run_at_second_incarnation(&f);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_keeps_run(&f);
	flow_fixture_clear(&f.base);
}

/* The same when only an answer has shown the restart so far. */
static void
test_departure_after_unreported_restart(void)
{
	struct fixture f;
	struct flow_fixture_run up = {FLOW, 0, 1, 0, 0};

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	gyp_fleet_call_free(next_call(&f, GYP_FLEET_START));
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 2, &up, 1, NULL, 0);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_keeps_run(&f);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against tasks that run twice: a start without an answer may be carried
 * out by the next incarnation, which runs it.
 */
static void
test_departure_with_unanswered_start(void)
{
	struct fixture f;
	struct flow_fixture_run listed = {FLOW, 0, 1, 0, 0};
	struct flow_fixture_run up = {FLOW, 1, 2, 0, 0};

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_OK);
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 1, &listed, 1, NULL, 0);
	flow_fixture_start(&f.base, FLOW, 1, 1, 2, f.a);
	gyp_fleet_call_free(next_call(&f, GYP_FLEET_START));
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	flow_fixture_advance(&f.base, 1400);
	g_assert_cmpint(task_of(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	g_assert_cmpint(task_of(&f, 1)->state, ==, GYP_FLOW_TASK_OPEN);
	report_restart(&f, 2);
	flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 2, &up, 1, NULL, 0);
	flow_fixture_advance(&f.base, 300);
	g_assert_cmpint(task_of(&f, 1)->state, ==, GYP_FLOW_TASK_OPEN);
	flow_fixture_clear(&f.base);
}

/*
 * The same for a start that was answered: by which incarnation is not known
 * before the run is listed.
 */
static void
test_departure_with_unlisted_run(void)
{
	struct fixture f;
	struct flow_fixture_run up = {FLOW, 0, 1, 0, 0};

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_OK);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	flow_fixture_advance(&f.base, 1400);
	report_restart(&f, 2);
	flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_answer_poll(
	    &f.base, next_call(&f, GYP_FLEET_POLL), 2, &up, 1, NULL, 0);
	assert_keeps_run(&f);
	flow_fixture_clear(&f.base);
}

/* If no incarnation follows, such a run ends too. */
static void
test_departure_for_good(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 1, 1, 2, f.a);
	gyp_fleet_call_free(next_call(&f, GYP_FLEET_START));
	flow_fixture_commit_end(&f.base, "a", 1);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	since = f.base.now;
	while (gyp_host_at(f.base.flows, f.a) != NULL) {
		flow_fixture_advance(&f.base, 100);
		g_assert_cmpuint(
		    f.base.now, <, since + FLOW_FIXTURE_LEASE_MS + 1500);
	}
	g_assert_cmpint(task_of(&f, 1)->state, ==, GYP_FLOW_TASK_WAITING);
	flow_fixture_clear(&f.base);
}

/* That incarnation answers all polls with the run of task 0 for that time. */
static void
keep_answering_as(struct fixture *f, uint64_t incarnation_start_ms, uint64_t ms)
{
	size_t open = task_of(f, 0)->state == GYP_FLOW_TASK_OPEN;
	struct flow_fixture_run up = {FLOW, 0, 1, 0, 0};
	uint64_t end = f->base.now + ms;

	while (f->base.now < end) {
		struct gyp_fleet_call *call;

		flow_fixture_advance(&f->base, 10);
		call = flow_fixture_next_call(&f->base, GYP_FLEET_POLL);
		if (call != NULL)
			flow_fixture_answer_poll(&f->base, call,
			    incarnation_start_ms, &up, open, NULL, 0);
	}
}

static void
keep_answering(struct fixture *f, uint64_t ms)
{
	keep_answering_as(f, 2, ms);
}

/*
 * An announcement that names no incarnation may be of an earlier one. An
 * endpoint that still answers a while later has not ended.
 */
static void
test_departure_of_endpoint_that_answers(void)
{
	struct fixture f;

	run_at_second_incarnation(&f);
	keep_answering(&f, 20000);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_false(gyp_fleet_usable(f.base.fleet, f.a));
	keep_answering(&f, 1000);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	g_assert_cmpint(task_of(&f, 0)->state, ==, GYP_FLOW_TASK_OPEN);
	flow_fixture_clear(&f.base);
}

/* Time until the run of task 0 is over while no call is answered, in ms. */
static uint64_t
time_to_end(struct fixture *f)
{
	uint64_t since = f->base.now;

	while (task_of(f, 0)->state == GYP_FLOW_TASK_OPEN) {
		struct gyp_fleet_call *call;

		flow_fixture_advance(&f->base, 100);
		call = flow_fixture_next_call(&f->base, GYP_FLEET_POLL);
		if (call != NULL)
			flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
		g_assert_cmpuint(f->base.now, <, since + 30000);
	}
	return f->base.now - since;
}

/*
 * The same of an endpoint that no longer answers: unless it drained, it may
 * only be cut off, and its runs are over with its lease.
 */
static void
test_departure_of_silent_endpoint(void)
{
	struct fixture f;

	run_at_second_incarnation(&f);
	keep_answering(&f, 20000);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(time_to_end(&f), >=, FLOW_FIXTURE_LEASE_MS - 500);
	flow_fixture_clear(&f.base);
}

/* An idle endpoint that announced its shutdown is not polled for ever. */
static void
test_departure_of_idle_endpoint(void)
{
	struct fixture f;
	uint32_t polls = 0;
	uint64_t end;

	fixture_init(&f);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	for (end = f.base.now + 20000; f.base.now < end;) {
		struct gyp_fleet_call *call;

		flow_fixture_advance(&f.base, 10);
		call = flow_fixture_next_call(&f.base, GYP_FLEET_POLL);
		if (call == NULL)
			continue;
		polls++;
		flow_fixture_answer(&f.base, call, GYP_FLEET_LOST);
	}
	g_assert_cmpuint(polls, >=, 1);
	g_assert_cmpuint(polls, <=, 4);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against tasks that run twice: an endpoint that drained and no longer
 * answers may be cut off and go on. Without a provider's list its lease tells;
 * see /inventory/departed-without-ack.
 */
static void
test_departure_of_drained_endpoint(void)
{
	struct fixture f;

	run_at_second_incarnation(&f);
	keep_answering(&f, 20000);
	flow_fixture_drain(&f.base, f.a);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(time_to_end(&f), >=, FLOW_FIXTURE_LEASE_MS - 500);
	flow_fixture_advance(&f.base, 1000);
	g_assert_null(gyp_host_at(f.base.flows, f.a));
	flow_fixture_clear(&f.base);
}

/* But an earlier incarnation, which ended lately, may have drained too. */
static void
test_departure_soon_after_restart(void)
{
	struct fixture f;

	run_at_second_incarnation(&f);
	flow_fixture_drain(&f.base, f.a);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(time_to_end(&f), >=, FLOW_FIXTURE_LEASE_MS - 500);
	flow_fixture_clear(&f.base);
}

/*
 * The same under the next leader. It does not wait longer than for the lease,
 * and the tables hold how long the incarnation has been known, so that the
 * endpoint is removed after it.
 */
static void
test_departure_of_drained_after_election(void)
{
	struct fixture f;
	uint64_t ms;

	run_at_second_incarnation(&f);
	keep_answering(&f, 20000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	keep_answering(&f, 1000);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	ms = time_to_end(&f);
	g_assert_cmpuint(ms, >=, FLOW_FIXTURE_LEASE_MS - 500);
	g_assert_cmpuint(ms, <=, FLOW_FIXTURE_LEASE_MS + 500);
	flow_fixture_advance(&f.base, 1000);
	g_assert_null(gyp_host_at(f.base.flows, f.a));
	flow_fixture_clear(&f.base);
}

/* The same of an endpoint that has never restarted. */
static void
test_departure_of_first_after_election(void)
{
	struct fixture f;
	uint64_t ms;

	fixture_init(&f);
	start_task(&f);
	keep_answering_as(&f, 1, 20000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	keep_answering_as(&f, 1, 1000);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	ms = time_to_end(&f);
	g_assert_cmpuint(ms, >=, FLOW_FIXTURE_LEASE_MS - 500);
	g_assert_cmpuint(ms, <=, FLOW_FIXTURE_LEASE_MS + 500);
	flow_fixture_advance(&f.base, 1000);
	g_assert_null(gyp_host_at(f.base.flows, f.a));
	flow_fixture_clear(&f.base);
}

/* But an earlier incarnation, which ended lately, may have drained. */
static void
test_departure_after_restart_and_election(void)
{
	struct fixture f;

	run_at_second_incarnation(&f);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	keep_answering(&f, 1000);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(time_to_end(&f), >=, FLOW_FIXTURE_LEASE_MS - 500);
	flow_fixture_clear(&f.base);
}

/* And a late start by the earlier leader may reach a next incarnation. */
static void
test_departure_after_start_and_election(void)
{
	struct fixture f;

	restart(&f);
	keep_answering(&f, 20000);
	start_task(&f);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	keep_answering(&f, 1000);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(time_to_end(&f), >=, FLOW_FIXTURE_LEASE_MS - 500);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: its start was repeated 4 s after the
 * proposal, is late by up to 15 s, and reaches the next incarnation.
 */
static void
test_departure_after_repeated_start_and_election(void)
{
	struct fixture f;

	restart(&f);
	keep_answering(&f, 20000);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	start_task(&f);
	keep_answering(&f, 16000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	keep_answering(&f, 1000);
	g_assert_true(task_of(&f, 0)->state == GYP_FLOW_TASK_OPEN);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	g_assert_cmpuint(time_to_end(&f), >=, FLOW_FIXTURE_LEASE_MS - 500);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a shutdown that a young leader takes for one of an earlier
 * incarnation, as only young runs show how long this one has been known.
 */
static void
test_departure_of_known_after_election(void)
{
	struct fixture f;

	fixture_init(&f);
	keep_answering(&f, 20000);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_OK);
	keep_answering(&f, 1000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	g_assert_cmpuint(
	    gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0), ==, 1);
	flow_fixture_clear(&f.base);
}

/* A later incarnation has not been known for as long. */
static void
test_departure_of_restarted_after_election(void)
{
	struct fixture f;

	fixture_init(&f);
	keep_answering(&f, 20000);
	report_restart(&f, 2);
	flow_fixture_add_host(&f.base, "a", 2);
	keep_answering_as(&f, 2, 10000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	g_assert_cmpuint(
	    gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0), ==, 0);
	flow_fixture_clear(&f.base);
}

/* The same when only an answer to the leader before has shown the later one. */
static void
test_departure_of_seen_after_election(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	flow_fixture_answer(
	    &f.base, next_call(&f, GYP_FLEET_START), GYP_FLEET_OK);
	keep_answering(&f, 20000);
	flow_fixture_drain(&f.base, f.a);
	keep_answering_as(&f, 2, 1000);
	flow_fixture_new_leader(&f.base, 2);
	g_assert_cmpuint(
	    gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0), ==, 0);
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/incarnations/stop-is-repeated", test_stop_is_repeated);
	g_test_add_func("/incarnations/clock-of-earlier-incarnation",
	    test_clock_of_earlier_incarnation);
	g_test_add_func("/incarnations/lease-not-extended-after-restart",
	    test_lease_not_extended_after_restart);
	g_test_add_func(
	    "/incarnations/unknown-capacity", test_unknown_capacity);
	g_test_add_func(
	    "/incarnations/next-leader-waits", test_next_leader_waits);
	g_test_add_func(
	    "/incarnations/no-ack-after-pause", test_no_ack_after_pause);
	g_test_add_func("/incarnations/wrong-endpoint-at-old-address",
	    test_wrong_endpoint_at_old_address);
	g_test_add_func("/incarnations/wrong-endpoint-before-restart",
	    test_wrong_endpoint_before_restart);
	g_test_add_func("/incarnations/departure-of-earlier-incarnation",
	    test_departure_of_earlier_incarnation);
	g_test_add_func("/incarnations/departure-after-unreported-restart",
	    test_departure_after_unreported_restart);
	g_test_add_func("/incarnations/departure-with-unanswered-start",
	    test_departure_with_unanswered_start);
	g_test_add_func("/incarnations/departure-with-unlisted-run",
	    test_departure_with_unlisted_run);
	g_test_add_func(
	    "/incarnations/departure-for-good", test_departure_for_good);
	g_test_add_func("/incarnations/departure-of-endpoint-that-answers",
	    test_departure_of_endpoint_that_answers);
	g_test_add_func("/incarnations/departure-of-silent-endpoint",
	    test_departure_of_silent_endpoint);
	g_test_add_func("/incarnations/departure-of-idle-endpoint",
	    test_departure_of_idle_endpoint);
	g_test_add_func("/incarnations/departure-of-drained-endpoint",
	    test_departure_of_drained_endpoint);
	g_test_add_func("/incarnations/departure-soon-after-restart",
	    test_departure_soon_after_restart);
	g_test_add_func("/incarnations/departure-of-drained-after-election",
	    test_departure_of_drained_after_election);
	g_test_add_func("/incarnations/departure-of-first-after-election",
	    test_departure_of_first_after_election);
	g_test_add_func("/incarnations/departure-of-known-after-election",
	    test_departure_of_known_after_election);
	g_test_add_func("/incarnations/departure-of-restarted-after-election",
	    test_departure_of_restarted_after_election);
	g_test_add_func("/incarnations/departure-of-seen-after-election",
	    test_departure_of_seen_after_election);
	g_test_add_func("/incarnations/departure-after-restart-and-election",
	    test_departure_after_restart_and_election);
	g_test_add_func("/incarnations/departure-after-start-and-election",
	    test_departure_after_start_and_election);
	g_test_add_func(
	    "/incarnations/departure-after-repeated-start-and-election",
	    test_departure_after_repeated_start_and_election);
	return g_test_run();
}
