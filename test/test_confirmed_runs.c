#include <string.h>

#include "flow_fixture.h"
#include "msg.h"

/*
 * Runs of lasting steps whose only start was carried out by a known incarnation
 * of their endpoint, as the tables say. Endpoint "a" has the runs; "b" answers
 * all its polls. The first incarnation of "a" starts at time 1.
 */

#define FLOW 0xf1ULL

/*
 * Longest time from the last answer, or from an election, until the runs of an
 * endpoint that is gone end, in ms: the lists need 1.5 s, the lease 6 s.
 */
#define GONE_END_MS 2500

/* The same from the announcement of a shutdown, and from a restart. */
#define DEPARTED_END_MS 250
#define RESTART_END_MS  50

/* The same for a shutdown that names no incarnation: calls fail first. */
#define DRAINED_END_MS 1500

/* Time by which a list may be out of date, in ms. */
#define LAG_MS 2000

/* Time after which no start of this, or of an earlier, leader can arrive. */
#define LATE_MS    15000
#define OLD_RUN_MS 25000

struct fixture {
	struct flow_fixture base;
	uint32_t a, b;        /* rows of the endpoints */
	const char *lists;    /* the ids of each list, a letter each */
	bool a_lost;          /* calls to "a" are lost */
	uint32_t lost_starts; /* starts at "a" that get no answer */
	uint64_t a_incarnation;
	size_t n_up; /* runs that "a" lists */
	struct flow_fixture_run up[2];
};

static const struct gyp_flow_task *
task_of(const struct fixture *f, uint32_t task)
{
	return &gyp_flow_get(f->base.flows, FLOW)->tasks[task];
}

static bool
is_open(const struct fixture *f, uint32_t task)
{
	return task_of(f, task)->state == GYP_FLOW_TASK_OPEN;
}

static void
answer_list(struct fixture *f, uint64_t request)
{
	struct gyp_inventory_answer answer = {
	    .request = request, .complete = true};
	GHashTable *ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t i;

	for (i = 0; i < strlen(f->lists); i++)
		g_hash_table_add(ids, g_strndup(&f->lists[i], 1));
	answer.ids = ids;
	gyp_fleet_handle_inventory(f->base.fleet, f->base.now, &answer);
	g_hash_table_destroy(ids);
}

static void
answer_call(struct fixture *f, struct gyp_fleet_call *call)
{
	bool is_a = call->row == f->a;

	if (is_a && f->a_lost) {
		flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
	} else if (call->kind == GYP_FLEET_POLL) {
		flow_fixture_answer_poll(&f->base, call,
		    is_a ? f->a_incarnation : 1, f->up, is_a ? f->n_up : 0,
		    NULL, 0);
	} else if (call->kind == GYP_FLEET_START && f->lost_starts > 0) {
		f->lost_starts--;
		flow_fixture_answer(&f->base, call, GYP_FLEET_CARRIER_LOST);
	} else {
		flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
	}
}

/* Answers two calls and the request that is due. */
static void
answer_due(struct fixture *f)
{
	struct gyp_fleet_call *call;
	uint64_t request;
	int i;

	/* Each answer makes the next poll of the endpoint due. */
	for (i = 0; i < 2; i++) {
		call = gyp_fleet_pop_call(f->base.fleet);
		if (call != NULL)
			answer_call(f, call);
	}
	if (gyp_fleet_pop_inventory_request(f->base.fleet, &request))
		answer_list(f, request);
}

static void
play(struct fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		answer_due(f);
	}
}

/* Two endpoints that have been known for a while, and a step of two tasks. */
static void
init_with(struct fixture *f, bool lasting, bool gang)
{
	Gyp__FlowStep step = flow_fixture_step(2);

	*f = (struct fixture){.lists = "ab", .a_incarnation = 1};
	step.lasting = lasting;
	step.gang = gang;
	flow_fixture_init(&f->base);
	f->base.inventory = true;
	flow_fixture_new_leader(&f->base, 1);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	f->b = flow_fixture_add_host(&f->base, "b", 1);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
	play(f, 2 * LAG_MS);
}

static void
init(struct fixture *f)
{
	init_with(f, true, false);
}

/* Tasks 0 to last run on "a", which lists them, for that time. */
static void
run_on_a(struct fixture *f, uint32_t last, uint64_t ms)
{
	flow_fixture_start(&f->base, FLOW, 0, last, 1, f->a);
	f->up[0] = (struct flow_fixture_run){FLOW, 0, 1, 0, 0};
	f->up[1] = (struct flow_fixture_run){FLOW, 1, 1, 0, 0};
	f->n_up = last + 1;
	play(f, ms);
	g_assert_true(is_open(f, 0));
}

static void
end_a(struct fixture *f)
{
	f->a_lost = true;
	f->lists = "b";
}

static void
assert_ends(struct fixture *f, uint64_t ms)
{
	uint64_t since = f->base.now;

	while (is_open(f, 0) && f->base.now < since + 30000)
		play(f, 10);
	g_assert_cmpuint(f->base.now - since, <=, ms);
}

/* Only the lease of six seconds ends the run. */
static void
assert_waits(struct fixture *f)
{
	play(f, FLOW_FIXTURE_LEASE_MS - 1500);
	g_assert_true(is_open(f, 0));
}

/* A new leader that has the tables as a snapshot of that version holds them. */
static void
restore(struct fixture *f, bool older_version)
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
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 3000);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same for a run that is younger than a list may be. */
static void
test_just_started(void)
{
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 500);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, LAG_MS - 600);
	g_assert_true(is_open(&f, 0));
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the endpoint announced its shutdown. */
static void
test_departed(void)
{
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 1000);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_ends(&f, DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same for a run whose start was repeated, so long ago that it is over. */
static void
test_departed_after_repeated_start(void)
{
	struct fixture f;

	init(&f);
	f.lost_starts = 1;
	run_on_a(&f, 0, LATE_MS + 2000);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_ends(&f, DEPARTED_END_MS);
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
	struct fixture f;

	init(&f);
	flow_fixture_start(&f.base, FLOW, 1, 1, 1, f.a);
	f.up[0] = (struct flow_fixture_run){FLOW, 1, 1, 0, 0};
	f.n_up = 1;
	play(&f, OLD_RUN_MS);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	f.up[1] = (struct flow_fixture_run){FLOW, 0, 1, 0, 0};
	f.n_up = 2;
	play(&f, 1000);
	flow_fixture_drain(&f.base, f.a);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 1000);
	f.a_lost = true;
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0);
	assert_ends(&f, DRAINED_END_MS);
	flow_fixture_clear(&f.base);
}

/* Guards against a wait that each further election makes longer. */
static void
test_three_terms(void)
{
	struct fixture f;
	uint64_t term;

	init(&f);
	run_on_a(&f, 0, 3000);
	end_a(&f);
	for (term = 2; term <= 4; term++) {
		play(&f, 700);
		g_assert_true(is_open(&f, 0));
		flow_fixture_new_leader(&f.base, term);
	}
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* The knowledge is passed on by leaders that learn nothing themselves. */
static void
test_passed_on(void)
{
	struct fixture f;
	uint64_t term;

	init(&f);
	run_on_a(&f, 0, 1000);
	for (term = 2; term <= 4; term++) {
		flow_fixture_new_leader(&f.base, term);
		play(&f, 1000);
	}
	end_a(&f);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_ends(&f, DEPARTED_END_MS);
	flow_fixture_clear(&f.base);
}

/* ---- Runs that are not confirmed ---------------------------------------- */

/* Both a list and an announcement leave the run to its lease. */
static void
assert_not_confirmed(struct fixture *f)
{
	g_assert_cmpuint(task_of(f, 0)->confirmed_born_ms, ==, 0);
	end_a(f);
	flow_fixture_new_leader(&f->base, 2);
	assert_waits(f);
	flow_fixture_new_leader(&f->base, 3);
	play(f, 100);
	gyp_fleet_departed(f->base.fleet, f->base.now, f->a, 1);
	assert_waits(f);
	flow_fixture_clear(&f->base);
}

/*
 * A start without an answer may still be carried out, by a later incarnation:
 * ended before its lease is over, the task could run twice.
 */
static void
test_repeated_start(void)
{
	struct fixture f;

	init(&f);
	f.lost_starts = 1;
	run_on_a(&f, 0, 3000);
	assert_not_confirmed(&f);
}

/* The same if the only start got no answer, and a list shows its run. */
static void
test_unanswered_start(void)
{
	struct fixture f;
	struct gyp_fleet_call *start = NULL, *poll;

	init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	f.up[0] = (struct flow_fixture_run){FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	while (start == NULL) {
		flow_fixture_advance(&f.base, 10);
		start = flow_fixture_next_call(&f.base, GYP_FLEET_START);
	}
	while ((poll = flow_fixture_next_call(&f.base, GYP_FLEET_POLL)) == NULL)
		flow_fixture_advance(&f.base, 10);
	answer_call(&f, poll);
	flow_fixture_answer(&f.base, start, GYP_FLEET_LOST);
	play(&f, 1000);
	g_assert_cmpuint(
	    gyp_fleet_run_view(f.base.fleet, FLOW, 0)->listed_at, !=, 0);
	assert_not_confirmed(&f);
}

/* The answer to a start need not tell which incarnation carried it out. */
static void
test_unlisted(void)
{
	struct fixture f;

	init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, FLOW, 0)->confirmed_at == 0)
		play(&f, 10);
	assert_not_confirmed(&f);
}

/* A leader does not know which starts of an earlier one are under way. */
static void
test_listed_after_election(void)
{
	struct fixture f;

	init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, FLOW, 0)->confirmed_at == 0)
		play(&f, 10);
	flow_fixture_new_leader(&f.base, 2);
	f.up[0] = (struct flow_fixture_run){FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	play(&f, 5000);
	assert_not_confirmed(&f);
}

/* Until none of them can be. */
static void
test_confirmed_late(void)
{
	struct fixture f;

	init(&f);
	f.lost_starts = 1;
	run_on_a(&f, 0, 3000);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, LATE_MS);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 0);
	play(&f, OLD_RUN_MS - LATE_MS);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 1);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: a list that shows the run is from
 * before its last start could arrive, and a later incarnation began it since.
 */
static void
test_list_before_late_start(void)
{
	struct fixture f;
	struct gyp_fleet_call *poll = NULL;

	init(&f);
	f.lost_starts = 1;
	run_on_a(&f, 0, LATE_MS - 1000);
	while (poll == NULL) {
		flow_fixture_advance(&f.base, 10);
		poll = flow_fixture_next_call(&f.base, GYP_FLEET_POLL);
		if (poll != NULL && poll->row != f.a) {
			answer_call(&f, poll);
			poll = NULL;
		}
	}
	f.base.now += 1100;
	answer_call(&f, poll);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 0);
	play(&f, 1000);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 1);
	flow_fixture_clear(&f.base);
}

/* Only lasting steps are worth the commands. */
static void
test_not_lasting(void)
{
	struct fixture f;

	init_with(&f, false, false);
	run_on_a(&f, 0, 3000);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 0);
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
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 1000);
	f.a_lost = true;
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, 10);
	assert_ends(&f, RESTART_END_MS);
	flow_fixture_clear(&f.base);
}

/* The same when the next leader knows of that incarnation from the tables. */
static void
test_later_incarnation_in_tables(void)
{
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 1000);
	f.a_lost = true;
	flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_new_leader(&f.base, 2);
	assert_ends(&f, RESTART_END_MS);
	flow_fixture_clear(&f.base);
}

/* All runs of a gang that was there are over. */
static void
test_later_incarnation_of_gang(void)
{
	struct fixture f;

	init_with(&f, true, true);
	run_on_a(&f, 1, 1000);
	f.a_lost = true;
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, 10);
	assert_ends(&f, RESTART_END_MS);
	g_assert_false(is_open(&f, 1));
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that runs twice: the later incarnation carried out the
 * start, and its answer did not tell so.
 */
static void
test_started_by_later_incarnation(void)
{
	struct fixture f;
	int i;

	init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, FLOW, 0)->confirmed_at == 0)
		play(&f, 10);
	f.a_incarnation = 2;
	f.up[0] = (struct flow_fixture_run){FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	gyp_fleet_heartbeat(
	    f.base.fleet, f.base.now, f.a, f.a_incarnation, f.base.now);
	for (i = 0; i < 2; i++) {
		play(&f, 1000);
		g_assert_true(is_open(&f, 0));
		flow_fixture_new_leader(&f.base, 2);
	}
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 2);
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
	struct fixture f;

	init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	while (gyp_fleet_run_view(f.base.fleet, FLOW, 0)->confirmed_at == 0)
		play(&f, 10);
	f.a_incarnation = 2;
	f.up[0] = (struct flow_fixture_run){FLOW, 0, 1, 0, 0};
	f.n_up = 1;
	play(&f, 1000);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 2);
	flow_fixture_new_leader(&f.base, 2);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	play(&f, 1000);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* ---- Tables ------------------------------------------------------------- */

static void
test_save_restore(void)
{
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 3000);
	end_a(&f);
	restore(&f, false);
	flow_fixture_new_leader(&f.base, 2);
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* A snapshot by an older version lacks it: the wait is as long as before. */
static void
test_restore_of_older_version(void)
{
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 3000);
	restore(&f, true);
	assert_not_confirmed(&f);
}

static void
confirm(struct fixture *f, uint32_t task, uint32_t run)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowConfirmed confirmed = GYP__CMD_FLOW_CONFIRMED__INIT;

	confirmed.flow = FLOW;
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
	struct fixture f;

	init(&f);
	run_on_a(&f, 0, 1000);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 1);
	f.n_up = 0;
	assert_ends(&f, 3000);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 0);
	confirm(&f, 0, 1);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 0);
	flow_fixture_start(&f.base, FLOW, 0, 0, 2, f.a);
	confirm(&f, 0, 1);
	confirm(&f, 2, 1);
	g_assert_cmpuint(task_of(&f, 0)->confirmed_born_ms, ==, 0);
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
