#include "msg.h"
#include "pair_fixture.h"

/*
 * Runs of lasting steps of which the tables say that one start is sent, not
 * more. A list that has such a run shows which incarnation carried that start
 * out, under any leader.
 */

/*
 * Longest time from an announced shutdown until the runs end, in ms: two lists,
 * which may be older than the endpoint is known.
 */
#define DEPARTED_END_MS (PAIR_FIXTURE_LAG_MS + 1000)

/* The same from the last answer, if the provider's lists have to show it. */
#define GONE_END_MS 2500

/* Longest time in which the tables get to know who has a run, in ms. */
#define CONFIRMED_MS 100

/* Time for a leader to take an unanswered start for lost, in ms. */
#define UNANSWERED_MS 2000

static uint64_t
incarnation_of(const struct pair_fixture *f)
{
	return pair_fixture_task(f, 0)->confirmed_born_ms;
}

static void
init(struct pair_fixture *f)
{
	pair_fixture_init(f);
	f->base.sent_once = true;
}

/* Starts task 0 on "a"; the leader is lost before a list can show the run. */
static void
start_and_lose_leader(struct pair_fixture *f)
{
	struct gyp_fleet_call *start = NULL;

	init(f);
	flow_fixture_start(&f->base, PAIR_FIXTURE_FLOW, 0, 0, 1, f->a);
	while (start == NULL) {
		flow_fixture_advance(&f->base, 10);
		start = flow_fixture_next_call(&f->base, GYP_FLEET_START);
	}
	gyp_fleet_call_free(start);
	f->up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f->n_up = 1;
	flow_fixture_new_leader(&f->base, 2);
	pair_fixture_play(f, CONFIRMED_MS);
}

/*
 * Guards against a lasting task that waits for a lease when its endpoint leaves
 * as planned: the leader that started it was lost at once, and the next one did
 * not know that no further start was under way.
 */
static void
test_departed_after_leader(void)
{
	struct pair_fixture f;

	start_and_lose_leader(&f);
	g_assert_cmpuint(incarnation_of(&f), ==, 1);
	pair_fixture_end_a(&f);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	pair_fixture_assert_ends(&f, DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the endpoint is lost, and another leader with it. */
static void
test_gone_after_leaders(void)
{
	struct pair_fixture f;

	start_and_lose_leader(&f);
	pair_fixture_play(&f, PAIR_FIXTURE_LAG_MS);
	pair_fixture_end_a(&f);
	flow_fixture_new_leader(&f.base, 3);
	pair_fixture_assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the tables come from a snapshot. */
static void
test_departed_after_snapshot(void)
{
	struct pair_fixture f;
	Gyp__SnapFlows *snap;

	init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	snap = flow_fixture_snapshot(f.base.flows);
	g_assert_true(gyp_flows_restore(f.base.flows, snap));
	gyp_message_free(snap);
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, CONFIRMED_MS);
	g_assert_cmpuint(incarnation_of(&f), ==, 1);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a window of a whole long poll in which only the leader knows
 * that a lasting run has begun.
 */
static void
test_listed_at_once(void)
{
	struct pair_fixture f;

	init(&f);
	/* "a" has another run, so that a long poll is under way. */
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 1, 1, 1, f.a);
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 1, 1, 0, 0};
	f.n_up = 1;
	pair_fixture_play(&f, 1000);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	f.up[1] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 2;
	f.long_polls_wait = true;
	pair_fixture_play(&f, CONFIRMED_MS);
	g_assert_cmpuint(incarnation_of(&f), ==, 1);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: a further start was sent before the
 * tables said so. A leader that is lost in between would leave a run for which
 * its successor takes the first start for the only one.
 */
static void
test_repeat_after_commit(void)
{
	struct pair_fixture f;
	struct gyp_fleet_call *start;
	uint32_t starts = 0;
	uint64_t end;

	init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	end = f.base.now + UNANSWERED_MS;
	while (f.base.now < end) {
		flow_fixture_advance(&f.base, 10);
		start = flow_fixture_next_call(&f.base, GYP_FLEET_START);
		if (start == NULL)
			continue;
		g_assert_cmpint(
		    pair_fixture_task(&f, 0)->sent_once, ==, starts == 0);
		starts++;
		flow_fixture_answer(&f.base, start, GYP_FLEET_CARRIER_LOST);
	}
	g_assert_cmpuint(starts, >, 1);
	flow_fixture_clear(&f.base);
}

/* Starts task 0 on "a", which lists it after a second start. */
static void
start_twice(struct pair_fixture *f)
{
	f->lost_starts = 1;
	flow_fixture_start(&f->base, PAIR_FIXTURE_FLOW, 0, 0, 1, f->a);
	while (pair_fixture_task(f, 0)->sent_once)
		pair_fixture_play(f, 10);
	f->up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f->n_up = 1;
}

/*
 * Guards against a task that runs twice: a further start may still be carried
 * out by a later incarnation, so the run keeps its lease.
 */
static void
test_repeated_start_waits(void)
{
	struct pair_fixture f;

	init(&f);
	start_twice(&f);
	pair_fixture_play(&f, 1000);
	g_assert_true(pair_fixture_is_open(&f, 0));
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, 1000);
	g_assert_cmpuint(incarnation_of(&f), ==, 0);
	pair_fixture_end_a(&f);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	pair_fixture_assert_waits(&f);
	flow_fixture_clear(&f.base);
}

/* The next run of the task is sent once, whatever the one before was. */
static void
test_next_run(void)
{
	struct pair_fixture f;

	init(&f);
	start_twice(&f);
	pair_fixture_play(&f, 1000);
	f.n_up = 0;
	while (pair_fixture_is_open(&f, 0))
		pair_fixture_play(&f, 10);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 2, f.a);
	g_assert_true(pair_fixture_task(&f, 0)->sent_once);
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/single-starts/departed-after-leader", test_departed_after_leader);
	g_test_add_func(
	    "/single-starts/gone-after-leaders", test_gone_after_leaders);
	g_test_add_func("/single-starts/departed-after-snapshot",
	    test_departed_after_snapshot);
	g_test_add_func("/single-starts/listed-at-once", test_listed_at_once);
	g_test_add_func(
	    "/single-starts/repeat-after-commit", test_repeat_after_commit);
	g_test_add_func(
	    "/single-starts/repeated-start-waits", test_repeated_start_waits);
	g_test_add_func("/single-starts/next-run", test_next_run);
	return g_test_run();
}
