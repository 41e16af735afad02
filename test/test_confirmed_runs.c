#include <string.h>

#include "msg.h"
#include "pair_fixture.h"

/*
 * Runs of lasting steps whose only start was carried out by a known incarnation
 * of their endpoint, as the tables say.
 */

/*
 * Longest time from the last answer, or from an election, until the runs of an
 * endpoint that is gone end, in ms: the lists need 1.5 s, the lease 6 s.
 */
#define GONE_END_MS 2500

/*
 * The same from the announcement of a shutdown, in ms, if a list would have the
 * endpoint: two follow its first lost call. And from a restart.
 */
#define DEPARTED_END_MS 1000
#define RESTART_END_MS  50

/* The same for a run of which a list may be older than the endpoint. */
#define YOUNG_DEPARTED_END_MS (PAIR_FIXTURE_LAG_MS + DEPARTED_END_MS)

/* Time after which no start of this, or of an earlier, leader can arrive. */
#define LATE_MS    15000
#define OLD_RUN_MS 25000

/* A new leader that has the tables as a snapshot of that version holds them. */
static void
restore(struct pair_fixture *f, bool older_version)
{
	Gyp__SnapFlows *snap = flow_fixture_snapshot(f->base.flows);
	size_t i;

	for (i = 0; older_version && i < snap->flows[0]->n_tasks; i++)
		snap->flows[0]->tasks[i]->confirmed_born_ms = 0;
	g_assert_true(gyp_flows_restore(f->base.flows, snap));
	gyp_message_free(snap);
}

/* ---- An endpoint ends, and a leader with it ------------------------------ */

/*
 * Guards against a lasting task that waits for a lease after each election,
 * though the provider no longer lists its endpoint: the run was so young that
 * another start of it could be under way for all that the next leader knew.
 */
static void
test_delisted(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 3000);
	pair_fixture_end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same for a run that is younger than a list may be. */
static void
test_just_started(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 500);
	pair_fixture_end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, PAIR_FIXTURE_LAG_MS - 600);
	g_assert_true(pair_fixture_is_open(&f, 0));
	pair_fixture_assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the endpoint announced its shutdown. */
static void
test_departed(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 1000);
	pair_fixture_end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	pair_fixture_assert_ends(&f, YOUNG_DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same for a run whose start was repeated, so long ago that it is over. */
static void
test_departed_after_repeated_start(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	f.lost_starts = 1;
	pair_fixture_run_on_a(&f, 0, LATE_MS + 2000);
	pair_fixture_end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	pair_fixture_assert_ends(&f, DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a wait for the lease of an endpoint that drained, announced
 * its shutdown without naming its incarnation, and answers no longer: the next
 * leader had listed the young run, but did not know whether an earlier start of
 * it was still under way. Task 1 shows that the endpoint is an old one.
 */
static void
test_drained(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 1, 1, 1, f.a);
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 1, 1, 0, 0};
	f.n_up = 1;
	pair_fixture_play(&f, OLD_RUN_MS);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	f.up[1] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 2;
	pair_fixture_play(&f, 1000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, 1000);
	pair_fixture_end_a(&f);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	pair_fixture_assert_ends(&f, DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/* Guards against a wait that each further election makes longer. */
static void
test_three_terms(void)
{
	struct pair_fixture f;
	uint64_t term;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 3000);
	pair_fixture_end_a(&f);
	for (term = 2; term <= 4; term++) {
		pair_fixture_play(&f, 700);
		g_assert_true(pair_fixture_is_open(&f, 0));
		flow_fixture_new_leader(&f.base, term);
	}
	pair_fixture_assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The knowledge is passed on by leaders that learn nothing themselves. */
static void
test_passed_on(void)
{
	struct pair_fixture f;
	uint64_t term;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 1000);
	for (term = 2; term <= 4; term++) {
		flow_fixture_new_leader(&f.base, term);
		pair_fixture_play(&f, 1000);
	}
	pair_fixture_end_a(&f);
	pair_fixture_play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	pair_fixture_assert_ends(&f, DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/* ---- Runs that are not confirmed ---------------------------------------- */

/* Both a list and an announcement leave the run to its lease. */
static void
assert_not_confirmed(struct pair_fixture *f)
{
	g_assert_cmpuint(pair_fixture_task(f, 0)->confirmed_born_ms, ==, 0);
	pair_fixture_end_a(f);
	flow_fixture_new_leader(&f->base, 2);
	pair_fixture_assert_waits(f);
	flow_fixture_new_leader(&f->base, 3);
	pair_fixture_play(f, 100);
	gyp_fleet_departed(f->base.fleet, f->base.now, f->a, 1);
	pair_fixture_assert_waits(f);
	flow_fixture_clear(&f->base);
}

/*
 * A start without an answer may still be carried out, by a later incarnation:
 * ended before its lease is over, the task could run twice.
 */
static void
test_repeated_start(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	f.lost_starts = 1;
	pair_fixture_run_on_a(&f, 0, 3000);
	assert_not_confirmed(&f);
}

/* The same if the only start got no answer, and a list shows its run. */
static void
test_unanswered_start(void)
{
	struct pair_fixture f;
	struct gyp_fleet_call *start = NULL, *poll;

	pair_fixture_init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	while (start == NULL) {
		flow_fixture_advance(&f.base, 10);
		start = flow_fixture_next_call(&f.base, GYP_FLEET_START);
	}
	while ((poll = flow_fixture_next_call(&f.base, GYP_FLEET_POLL)) == NULL)
		flow_fixture_advance(&f.base, 10);
	pair_fixture_answer(&f, poll);
	flow_fixture_answer(&f.base, start, GYP_FLEET_LOST);
	pair_fixture_play(&f, 1000);
	g_assert_cmpuint(
	    gyp_fleet_run_view(f.base.fleet, PAIR_FIXTURE_FLOW, 0)->listed_at,
	    !=, 0);
	assert_not_confirmed(&f);
}

/* The answer to a start need not tell which incarnation carried it out. */
static void
test_unlisted(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, PAIR_FIXTURE_FLOW, 0)
		   ->confirmed_at == 0)
		pair_fixture_play(&f, 10);
	assert_not_confirmed(&f);
}

/* A leader does not know which starts of an earlier one are under way. */
static void
test_listed_after_election(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, PAIR_FIXTURE_FLOW, 0)
		   ->confirmed_at == 0)
		pair_fixture_play(&f, 10);
	flow_fixture_new_leader(&f.base, 2);
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	pair_fixture_play(&f, 5000);
	assert_not_confirmed(&f);
}

/* Until none of them can be. */
static void
test_confirmed_late(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	f.lost_starts = 1;
	pair_fixture_run_on_a(&f, 0, 3000);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_play(&f, LATE_MS);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 0);
	pair_fixture_play(&f, OLD_RUN_MS - LATE_MS);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 1);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: a list that shows the run is from
 * before its last start could arrive, and a later incarnation began it since.
 */
static void
test_list_before_late_start(void)
{
	struct pair_fixture f;
	struct gyp_fleet_call *poll = NULL;

	pair_fixture_init(&f);
	f.lost_starts = 1;
	pair_fixture_run_on_a(&f, 0, LATE_MS - 1000);
	while (poll == NULL) {
		flow_fixture_advance(&f.base, 10);
		poll = flow_fixture_next_call(&f.base, GYP_FLEET_POLL);
		if (poll != NULL && poll->row != f.a) {
			pair_fixture_answer(&f, poll);
			poll = NULL;
		}
	}
	f.base.now += 1100;
	pair_fixture_answer(&f, poll);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 0);
	pair_fixture_play(&f, 1000);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 1);
	flow_fixture_clear(&f.base);
}

/* Only lasting steps are worth the commands. */
static void
test_not_lasting(void)
{
	struct pair_fixture f;

	pair_fixture_init_with(&f, false, false);
	pair_fixture_run_on_a(&f, 0, 3000);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 0);
	flow_fixture_clear(&f.base);
}

/* ---- Later incarnations ------------------------------------------------- */

/*
 * Guards against a lasting task that waits for a list of the next incarnation,
 * a stop and a second list: the one that had its run has ended.
 */
static void
test_later_incarnation(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 1000);
	f.a_lost = true;
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, 10);
	pair_fixture_assert_ends(&f, RESTART_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the next leader knows of that incarnation from the tables. */
static void
test_later_incarnation_in_tables(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 1000);
	f.a_lost = true;
	flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_assert_ends(&f, RESTART_END_MS);
	flow_fixture_clear(&f.base);
}

/* All runs of a gang that was there are over. */
static void
test_later_incarnation_of_gang(void)
{
	struct pair_fixture f;

	pair_fixture_init_with(&f, true, true);
	pair_fixture_run_on_a(&f, 1, 1000);
	f.a_lost = true;
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, 10);
	pair_fixture_assert_ends(&f, RESTART_END_MS);
	g_assert_false(pair_fixture_is_open(&f, 1));
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: the later incarnation carried out the
 * start, and its answer did not tell so.
 */
static void
test_started_by_later_incarnation(void)
{
	struct pair_fixture f;
	int i;

	pair_fixture_init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, PAIR_FIXTURE_FLOW, 0)
		   ->confirmed_at == 0)
		pair_fixture_play(&f, 10);
	f.a_incarnation = 2;
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	gyp_fleet_heartbeat(
	    f.base.fleet, f.base.now, f.a, f.a_incarnation, f.base.now);
	for (i = 0; i < 2; i++) {
		pair_fixture_play(&f, 1000);
		g_assert_true(pair_fixture_is_open(&f, 0));
		flow_fixture_new_leader(&f.base, 2);
	}
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 2);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: the announcement of an incarnation
 * before the one that has the run is late, and the next leader knows the later
 * one from the run only, as its heartbeat is still to come.
 */
static void
test_departure_of_earlier_incarnation(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, PAIR_FIXTURE_FLOW, 0)
		   ->confirmed_at == 0)
		pair_fixture_play(&f, 10);
	f.a_incarnation = 2;
	f.up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	pair_fixture_play(&f, 1000);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 2);
	flow_fixture_new_leader(&f.base, 2);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	pair_fixture_play(&f, 1000);
	g_assert_true(pair_fixture_is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* ---- Tables ------------------------------------------------------------- */

static void
test_save_restore(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 3000);
	pair_fixture_end_a(&f);
	restore(&f, false);
	flow_fixture_new_leader(&f.base, 2);
	pair_fixture_assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* A snapshot by an older version lacks it: the wait is as long as before. */
static void
test_restore_of_older_version(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 3000);
	restore(&f, true);
	assert_not_confirmed(&f);
}

static void
confirm(struct pair_fixture *f, uint32_t task, uint32_t run)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowConfirmed confirmed = GYP__CMD_FLOW_CONFIRMED__INIT;

	confirmed.flow = PAIR_FIXTURE_FLOW;
	confirmed.task = task;
	confirmed.run = run;
	confirmed.born_ms = 1;
	cmd.c_case = GYP__CMD__C_FLOW_CONFIRMED;
	cmd.flow_confirmed = &confirmed;
	g_assert_true(gyp_flows_apply(f->base.flows, f->base.now, &cmd));
	gyp_flows_check(f->base.flows);
}

/* What is known of a run says nothing of the next one. */
static void
test_next_run(void)
{
	struct pair_fixture f;

	pair_fixture_init(&f);
	pair_fixture_run_on_a(&f, 0, 1000);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 1);
	f.n_up = 0;
	pair_fixture_assert_ends(&f, 3000);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 0);
	confirm(&f, 0, 1);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 0);
	flow_fixture_start(&f.base, PAIR_FIXTURE_FLOW, 0, 0, 2, f.a);
	confirm(&f, 0, 1);
	confirm(&f, 2, 1);
	g_assert_cmpuint(pair_fixture_task(&f, 0)->confirmed_born_ms, ==, 0);
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/confirmed-runs/young-run-delisted-after-election", test_delisted);
	g_test_add_func("/confirmed-runs/just-started-delisted-after-election",
	    test_just_started);
	g_test_add_func(
	    "/confirmed-runs/young-run-departed-after-election", test_departed);
	g_test_add_func("/confirmed-runs/departed-after-repeated-start",
	    test_departed_after_repeated_start);
	g_test_add_func("/confirmed-runs/drained-after-election", test_drained);
	g_test_add_func("/confirmed-runs/three-terms", test_three_terms);
	g_test_add_func("/confirmed-runs/passed-on", test_passed_on);
	g_test_add_func("/confirmed-runs/not-confirmed-still-waits/repeated",
	    test_repeated_start);
	g_test_add_func("/confirmed-runs/not-confirmed-still-waits/unanswered",
	    test_unanswered_start);
	g_test_add_func("/confirmed-runs/not-confirmed-still-waits/unlisted",
	    test_unlisted);
	g_test_add_func(
	    "/confirmed-runs/not-confirmed-still-waits/listed-after-election",
	    test_listed_after_election);
	g_test_add_func("/confirmed-runs/confirmed-late", test_confirmed_late);
	g_test_add_func("/confirmed-runs/list-before-late-start",
	    test_list_before_late_start);
	g_test_add_func("/confirmed-runs/not-lasting", test_not_lasting);
	g_test_add_func("/confirmed-runs/later-incarnation-ends-it",
	    test_later_incarnation);
	g_test_add_func("/confirmed-runs/later-incarnation-in-tables",
	    test_later_incarnation_in_tables);
	g_test_add_func("/confirmed-runs/later-incarnation-of-gang",
	    test_later_incarnation_of_gang);
	g_test_add_func("/confirmed-runs/started-by-later-incarnation",
	    test_started_by_later_incarnation);
	g_test_add_func("/confirmed-runs/departure-of-earlier-incarnation",
	    test_departure_of_earlier_incarnation);
	g_test_add_func("/confirmed-runs/save-restore", test_save_restore);
	g_test_add_func("/confirmed-runs/restore-of-older-version",
	    test_restore_of_older_version);
	g_test_add_func(
	    "/confirmed-runs/next-run-not-confirmed", test_next_run);
	return g_test_run();
}
