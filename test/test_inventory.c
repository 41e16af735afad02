#include <string.h>

#include "flow_fixture.h"
#include "msg.h"

/*
 * The provider's list of endpoints that exist, and the runs of endpoints that
 * it no longer has. Endpoint "a" has the runs; "b" answers all its polls.
 */

#define FLOW 0xf1ULL

/*
 * Longest time from the last answer of an endpoint that is gone until its runs
 * end, in ms: the lists need 1.5 s, the lease 6 s.
 */
#define GONE_END_MS 2500

/* Time after which no start of an earlier leader can be under way, in ms. */
#define OLD_RUN_MS 25000

/* The same before the shutdown that an announcement of up to 15 s ago tells. */
#define DEPARTED_RUN_MS 36000

/* Age of a run of which a start may still be under way, in ms. */
#define YOUNG_RUN_MS 18000

/* Time by which a list may be out of date, in ms. */
#define LAG_MS 2000

/* Time after which no announcement of an earlier incarnation arrives, in ms. */
#define KNOWN_MS 15000

/* How long an endpoint goes on that announced its shutdown in vain, in ms. */
#define GOES_ON_MS 3500

/*
 * Longest time until the run of such an endpoint ends once the lists lack it,
 * in ms: they may be requested as seldom as each 2 s by then.
 */
#define LEFT_END_MS (2 * LAG_MS)

/* The same if it ends at once, in ms: the first lists follow soon. */
#define ACKED_END_MS 1000

/* A term that ends before two lists can show that an endpoint is gone, in ms.
 */
#define TERM_MS 1000

struct fixture {
	struct flow_fixture base;
	uint32_t a, b;     /* rows of the endpoints */
	const char *lists; /* the ids of each list, a letter each */
	bool partial;      /* lists are not complete */
	uint32_t requests;
	bool a_lost, b_lost; /* calls to the endpoint are lost */
	bool a_runs;         /* "a" lists a run of task 0 */
	bool b_runs;         /* "b" lists a run of task 1 */
	uint64_t a_incarnation;
};

static bool
is_open(const struct fixture *f, uint32_t task)
{
	return gyp_flow_get(f->base.flows, FLOW)->tasks[task].state ==
	       GYP_FLOW_TASK_OPEN;
}

static void
answer_list(struct fixture *f, uint64_t request, const char *names)
{
	struct gyp_inventory_answer answer = {
	    .request = request, .complete = !f->partial, .reason = "test"};
	GHashTable *ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t i;

	for (i = 0; i < strlen(names); i++)
		g_hash_table_add(ids, g_strndup(&names[i], 1));
	answer.ids = ids;
	gyp_fleet_handle_inventory(f->base.fleet, f->base.now, &answer);
	g_hash_table_destroy(ids);
}

static void
answer_call(struct fixture *f, struct gyp_fleet_call *call)
{
	bool is_a = call->row == f->a;
	struct flow_fixture_run up = {FLOW, is_a ? 0 : 1, 1, 0, 0};

	if (is_a ? f->a_lost : f->b_lost)
		flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
	else if (call->kind == GYP_FLEET_POLL)
		flow_fixture_answer_poll(&f->base, call,
		    is_a ? f->a_incarnation : 1, &up,
		    is_a ? f->a_runs : f->b_runs, NULL, 0);
	else
		flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
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
	if (gyp_fleet_pop_inventory_request(f->base.fleet, &request)) {
		f->requests++;
		answer_list(f, request, f->lists);
	}
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
fixture_init_with(struct fixture *f, bool lasting)
{
	Gyp__FlowStep step = flow_fixture_step(2);

	*f = (struct fixture){.lists = "ab", .a_incarnation = 1};
	step.lasting = lasting;
	flow_fixture_init(&f->base);
	f->base.inventory = true;
	flow_fixture_new_leader(&f->base, 1);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	f->b = flow_fixture_add_host(&f->base, "b", 1);
	flow_fixture_submit(&f->base, FLOW, &step, 1);
	play(f, 2 * LAG_MS);
}

static void
fixture_init(struct fixture *f)
{
	fixture_init_with(f, true);
}

/* Task 0 runs on "a", which lists it. */
static void
start_on_a(struct fixture *f)
{
	flow_fixture_start(&f->base, FLOW, 0, 0, 1, f->a);
	f->a_runs = true;
	play(f, 1000);
	g_assert_true(is_open(f, 0));
}

/* Task 1 runs on "b", which is polled from then on. */
static void
start_on_b(struct fixture *f)
{
	flow_fixture_start(&f->base, FLOW, 1, 1, 1, f->b);
	f->b_runs = true;
	play(f, 1000);
	g_assert_true(is_open(f, 1));
}

/* Plays until the next request for a list was answered. */
static void
play_to_list(struct fixture *f)
{
	uint32_t before = f->requests;

	while (f->requests == before)
		play(f, 10);
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

static void
assert_stays_open(struct fixture *f)
{
	play(f, GONE_END_MS);
	g_assert_true(is_open(f, 0));
}

/*
 * Guards against a lasting task that waits for the lease of an endpoint that is
 * gone for good, though the provider does not list that any more.
 */
static void
test_gone(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	end_a(&f);
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* Answers calls until the start of task 0 was answered, and no poll after it.
 */
static void
start_on_a_then_end(struct fixture *f)
{
	flow_fixture_start(&f->base, FLOW, 0, 0, 1, f->a);
	while (gyp_fleet_run_view(f->base.fleet, FLOW, 0)->confirmed_at == 0)
		play(f, 10);
	end_a(f);
}

/*
 * Guards against a task that waits for the lease because its endpoint was gone
 * right after it had answered the start: no list of its runs shows the task.
 */
static void
test_gone_after_start(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a_then_end(&f);
	assert_ends(&f, LAG_MS + GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * A list may be as old as LAG_MS, and so from before the incarnation that
 * answered the start: it ends no run that was confirmed since.
 */
static void
test_started_after_list(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a_then_end(&f);
	play(&f, LAG_MS - 100);
	g_assert_cmpuint(f.requests, >=, 2);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* The same as test_gone() when the leader is lost with the endpoint. */
static void
test_gone_with_leader(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, OLD_RUN_MS);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a task that waits for the lease because its endpoint announced
 * its shutdown before it answered the next leader: silent, it would wait less.
 */
static void
test_departed_with_leader(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_ends(&f, GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a run that waits for the lease because its endpoint announced
 * its shutdown: lists would end it earlier.
 */
static void
test_departed_and_gone(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, OLD_RUN_MS);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_ends(&f, GONE_END_MS);
	play(&f, 100);
	g_assert_null(gyp_host_at(f.base.flows, f.a));
	flow_fixture_clear(&f.base);
}

/* The same right after its start was answered. */
static void
test_departed_and_gone_after_start(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a_then_end(&f);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_ends(&f, LAG_MS + GONE_END_MS);
	flow_fixture_clear(&f.base);
}

/* But not while the lists have the endpoint: it may have started again. */
static void
test_departed_and_listed(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a_then_end(&f);
	f.lists = "ab";
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	play(&f, LAG_MS);
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/*
 * A younger run may have been started late, at a later incarnation. That of a
 * lasting step may not, if the tables say so; see test_confirmed_runs.c.
 */
static void
test_young_run_departed_with_leader(void)
{
	struct fixture f;

	fixture_init_with(&f, false);
	start_on_a(&f);
	play(&f, YOUNG_RUN_MS);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* So it is without lists, if a start may follow a late announcement. */
static void
test_old_run_departed_without_lists(void)
{
	struct fixture f;

	fixture_init_with(&f, false);
	f.partial = true;
	start_on_a(&f);
	play(&f, OLD_RUN_MS);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 100);
	gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 1);
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* "a" announces its shutdown, which is committed, and ends. */
static void
depart_a(struct fixture *f)
{
	end_a(f);
	flow_fixture_commit_end(&f->base, "a", f->a_incarnation);
	gyp_fleet_departed(f->base.fleet, f->base.now, f->a, f->a_incarnation);
}

/*
 * Time until task 0 has no run any more, at most 30 s, while a new leader
 * begins each term_ms, in ms.
 */
static uint64_t
time_to_end_over_terms(struct fixture *f, uint64_t term_ms)
{
	uint64_t since = f->base.now, term, fence = 2;

	while (is_open(f, 0) && f->base.now < since + 30000) {
		flow_fixture_new_leader(&f->base, fence++);
		term = f->base.now + term_ms;
		while (is_open(f, 0) && f->base.now < term)
			play(f, 10);
	}
	return f->base.now - since;
}

/*
 * Guards against a task that waits for the lease, or for lists, of each of
 * several leaders, because only the one before them knew that its endpoint had
 * announced its shutdown.
 */
static void
test_departed_before_leaders(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS);
	depart_a(&f);
	g_assert_cmpuint(time_to_end_over_terms(&f, TERM_MS), <, TERM_MS);
	play(&f, 100);
	g_assert_null(gyp_host_at(f.base.flows, f.a));
	flow_fixture_clear(&f.base);
}

/* The same when the next leader has its tables from a snapshot. */
static void
test_departed_before_snapshot(void)
{
	struct fixture f;
	Gyp__SnapFlows *snap;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS);
	depart_a(&f);
	snap = flow_fixture_snapshot(f.base.flows);
	g_assert_true(gyp_flows_restore(f.base.flows, snap));
	gyp_message_free(snap);
	g_assert_cmpuint(time_to_end_over_terms(&f, TERM_MS), <, TERM_MS);
	flow_fixture_clear(&f.base);
}

/*
 * A start that was sent before the shutdown may be carried out after it, by a
 * later incarnation: what counts is the age of the run then, not that in the
 * term of the next leader.
 */
static void
test_young_run_departed_before_leader(void)
{
	struct fixture f;

	fixture_init_with(&f, false);
	f.partial = true;
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS - 3500);
	depart_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 3000);
	flow_fixture_new_leader(&f.base, 3);
	assert_stays_open(&f);
	assert_ends(&f, FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/* How "a" announces its shutdown. */
enum announcement {
	NAMED,          /* with its incarnation */
	UNNAMED,        /* without, after it drained */
	AFTER_ELECTION, /* the same to a young leader */
	RECORDED,       /* to an earlier leader, which committed it */
	ANNOUNCEMENTS
};

static void
announce_shutdown(struct fixture *f, enum announcement how)
{
	if (how == UNNAMED || how == AFTER_ELECTION)
		flow_fixture_drain(&f->base, f->a);
	if (how == RECORDED)
		flow_fixture_commit_end(&f->base, "a", f->a_incarnation);
	if (how == RECORDED || how == AFTER_ELECTION) {
		flow_fixture_new_leader(&f->base, 2);
		play(f, 1000);
	}
	if (how != RECORDED)
		gyp_fleet_departed(f->base.fleet, f->base.now, f->a,
		    how == NAMED ? f->a_incarnation : 0);
}

/*
 * Guards against a task that runs twice: its endpoint announced its shutdown,
 * got no acknowledgement and goes on for some seconds while it is cut off.
 */
static void
test_departed_without_ack(void)
{
	struct fixture f;
	int how, ms;

	for (how = 0; how < ANNOUNCEMENTS; how++) {
		fixture_init(&f);
		start_on_a(&f);
		play(&f, DEPARTED_RUN_MS);
		announce_shutdown(&f, (enum announcement)how);
		f.a_lost = true;
		for (ms = 0; ms < GOES_ON_MS; ms += 100) {
			play(&f, 100);
			g_assert_true(is_open(&f, 0));
		}
		f.lists = "b";
		assert_ends(&f, LEFT_END_MS);
		flow_fixture_clear(&f.base);
	}
}

/* The next run must not wait longer than two lists take to show the end. */
static void
test_departed_with_ack(void)
{
	struct fixture f;
	int how;

	for (how = 0; how < ANNOUNCEMENTS; how++) {
		fixture_init(&f);
		start_on_a(&f);
		play(&f, DEPARTED_RUN_MS);
		announce_shutdown(&f, (enum announcement)how);
		end_a(&f);
		assert_ends(&f, ACKED_END_MS);
		play(&f, 100);
		g_assert_null(gyp_host_at(f.base.flows, f.a));
		flow_fixture_clear(&f.base);
	}
}

/* Without a list, nothing but its lease shows that the endpoint has ended. */
static void
test_departed_without_lists(void)
{
	struct fixture f;
	int how, ms;

	for (how = 0; how < ANNOUNCEMENTS; how++) {
		fixture_init(&f);
		start_on_a(&f);
		play(&f, DEPARTED_RUN_MS);
		f.partial = true;
		announce_shutdown(&f, (enum announcement)how);
		end_a(&f);
		for (ms = 0; ms < GOES_ON_MS; ms += 100) {
			play(&f, 100);
			g_assert_true(is_open(&f, 0));
		}
		assert_ends(&f, FLOW_FIXTURE_LEASE_MS - GOES_ON_MS + 500);
		flow_fixture_clear(&f.base);
	}
}

/*
 * Guards against a shutdown that only one leader knows, so that each leader
 * after it would wait anew: the endpoint drained and announced it without its
 * incarnation, before it was known for long enough to tell whose shutdown that
 * is.
 */
static void
test_departed_young_before_leaders(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, KNOWN_MS - 500 - 2 * LAG_MS - 1000);
	flow_fixture_drain(&f.base, f.a);
	end_a(&f);
	g_assert_cmpuint(
	    gyp_fleet_departed(f.base.fleet, f.base.now, f.a, 0), ==, 0);
	g_assert_cmpuint(time_to_end_over_terms(&f, TERM_MS), <, TERM_MS);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against tasks that run twice: the leader that recorded the end may not
 * have confirmed it, and then the endpoint goes on for a while.
 */
static void
test_departed_unconfirmed(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS);
	flow_fixture_commit_end(&f.base, "a", 1);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 3000);
	g_assert_true(is_open(&f, 0));
	g_assert_false(gyp_fleet_usable(f.base.fleet, f.a));
	end_a(&f);
	assert_ends(&f, 1000);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against an end that is taken for that of a later incarnation, which
 * runs the task: it would run twice.
 */
static void
test_end_of_earlier_incarnation(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_commit_end(&f.base, "a", 1);
	f.a_incarnation = 2;
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 2 * LAG_MS);
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	start_on_a(&f);
	flow_fixture_commit_end(&f.base, "a", 1);
	play(&f, DEPARTED_RUN_MS);
	flow_fixture_new_leader(&f.base, 3);
	play(&f, 2000);
	g_assert_true(is_open(&f, 0));
	g_assert_true(gyp_fleet_usable(f.base.fleet, f.a));
	flow_fixture_clear(&f.base);
}

/* The same when only an answer has shown the later incarnation so far. */
static void
test_end_before_unreported_restart(void)
{
	struct fixture f;
	struct flow_fixture_run up = {FLOW, 0, 1, 0, 0};
	struct gyp_fleet_call *poll = NULL;

	fixture_init_with(&f, false);
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS);
	while (poll == NULL) {
		flow_fixture_advance(&f.base, 10);
		poll = gyp_fleet_pop_call(f.base.fleet);
	}
	g_assert_cmpuint(poll->row, ==, f.a);
	g_assert_cmpint(poll->kind, ==, GYP_FLEET_POLL);
	flow_fixture_answer_poll(&f.base, poll, 2, &up, 1, NULL, 0);
	flow_fixture_advance(&f.base, 10);
	flow_fixture_commit_end(&f.base, "a", 1);
	flow_fixture_new_leader(&f.base, 2);
	f.a_incarnation = 2;
	play(&f, 1000);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* An end that names no incarnation is no end of any. */
static void
test_end_of_unnamed_incarnation(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, DEPARTED_RUN_MS);
	flow_fixture_commit_end(&f.base, "a", 0);
	flow_fixture_new_leader(&f.base, 2);
	play(&f, 1000);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/*
 * A start of the earlier leader may still be carried out by a later incarnation
 * of the endpoint: ended before its lease is over, the task could run twice.
 * The tables do not say that there is none, as the step is not lasting.
 */
static void
test_young_run_of_earlier_leader(void)
{
	struct fixture f;

	fixture_init_with(&f, false);
	start_on_a(&f);
	end_a(&f);
	flow_fixture_new_leader(&f.base, 2);
	assert_stays_open(&f);
	assert_ends(&f, FLOW_FIXTURE_LEASE_MS);
	flow_fixture_clear(&f.base);
}

/* The same for a start of this leader that got no answer. */
static void
test_unanswered_start(void)
{
	struct fixture f;

	fixture_init(&f);
	end_a(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	play(&f, 10);
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* The same for two starts, of which one was confirmed. */
static void
test_repeated_start(void)
{
	struct fixture f;
	struct gyp_fleet_call *start = NULL;

	fixture_init(&f);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	while (start == NULL) {
		flow_fixture_advance(&f.base, 10);
		start = flow_fixture_next_call(&f.base, GYP_FLEET_START);
	}
	flow_fixture_answer(&f.base, start, GYP_FLEET_CARRIER_LOST);
	f.a_runs = true;
	play(&f, 3000);
	end_a(&f);
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* An endpoint that is only cut off is listed: its runs must stay open. */
static void
test_cut_off(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	f.a_lost = true;
	play(&f, FLOW_FIXTURE_LEASE_MS - 1500);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* One list without the endpoint is not enough. */
static void
test_one_list(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	end_a(&f);
	play_to_list(&f);
	f.lists = "ab";
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* A list that lacks an endpoint that answers is of no use. */
static void
test_list_contradicted(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_add_host(&f.base, "c", 1);
	start_on_b(&f);
	start_on_a(&f);
	f.a_lost = true;
	f.lists = "c";
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* So is one with none of the endpoints, as an empty one. */
static void
test_list_of_none(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	flow_fixture_drain(&f.base, f.b);
	f.a_lost = true;
	f.lists = "";
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* Lists that fail say nothing. */
static void
test_lists_fail(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	end_a(&f);
	f.partial = true;
	f.requests = 0;
	assert_stays_open(&f);
	g_assert_cmpuint(f.requests, >, 0);
	flow_fixture_clear(&f.base);
}

/* A list may be older than the endpoint, which has a run and is cut off. */
static void
test_new_endpoint(void)
{
	struct fixture f;
	uint64_t since;

	fixture_init(&f);
	f.a_incarnation = 2;
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 2, f.base.now);
	f.a = flow_fixture_add_host(&f.base, "a", 2);
	since = f.base.now;
	play(&f, 200);
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	f.a_runs = true;
	play(&f, 300);
	g_assert_cmpuint(f.base.now, <, since + LAG_MS);
	end_a(&f);
	assert_stays_open(&f);
	flow_fixture_clear(&f.base);
}

/* A heartbeat after the first of two lists shows that the endpoint exists. */
static void
test_heard_between_lists(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	end_a(&f);
	play_to_list(&f);
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, f.a, 1, f.base.now);
	play_to_list(&f);
	play(&f, 50);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* A list that was under way during a pause of the leader is dropped. */
static void
test_paused(void)
{
	struct fixture f;
	uint64_t request;

	fixture_init(&f);
	start_on_a(&f);
	end_a(&f);
	play_to_list(&f);
	while (!gyp_fleet_pop_inventory_request(f.base.fleet, &request))
		flow_fixture_advance(&f.base, 10);
	f.base.now += 1000;
	answer_list(&f, request, "b");
	play(&f, 700);
	g_assert_true(is_open(&f, 0));
	flow_fixture_clear(&f.base);
}

/* An endpoint that was heard lately is not ended with another one. */
static void
test_heard_lately(void)
{
	struct fixture f;

	fixture_init(&f);
	flow_fixture_add_host(&f.base, "c", 1);
	start_on_b(&f);
	start_on_a(&f);
	end_a(&f);
	f.lists = "c";
	play(&f, 400);
	f.b_lost = true;
	assert_ends(&f, GONE_END_MS);
	g_assert_true(is_open(&f, 1));
	flow_fixture_clear(&f.base);
}

/* No list is requested while all answer, or without a provider. */
static void
test_no_request(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	play(&f, 3000);
	g_assert_cmpuint(f.requests, ==, 0);
	f.base.inventory = false;
	flow_fixture_new_leader(&f.base, 2);
	end_a(&f);
	play(&f, 3000);
	g_assert_cmpuint(f.requests, ==, 0);
	flow_fixture_clear(&f.base);
}

/* A cut of seconds costs few requests. */
static void
test_few_requests(void)
{
	struct fixture f;

	fixture_init(&f);
	start_on_a(&f);
	f.a_lost = true;
	f.requests = 0;
	play(&f, 5000);
	g_assert_cmpuint(f.requests, >=, 2);
	g_assert_cmpuint(f.requests, <=, 5);
	flow_fixture_clear(&f.base);
}

/*
 * Guards against a start that is sent long after its run was committed: the
 * next leader counts on START_WINDOW_MS.
 */
static void
test_start_window(void)
{
	struct fixture f;
	struct gyp_fleet_call *call;
	uint64_t committed;
	int starts = 0;

	fixture_init(&f);
	f.lists = "ab";
	committed = f.base.now;
	flow_fixture_start(&f.base, FLOW, 0, 0, 1, f.a);
	while (is_open(&f, 0) && f.base.now < committed + 15000) {
		flow_fixture_advance(&f.base, 10);
		call = gyp_fleet_pop_call(f.base.fleet);
		if (call != NULL && call->kind == GYP_FLEET_START) {
			g_assert_cmpuint(f.base.now, <, committed + 5000);
			starts++;
			flow_fixture_advance(&f.base, 2000);
			flow_fixture_answer(
			    &f.base, call, GYP_FLEET_CARRIER_LOST);
		} else if (call != NULL) {
			answer_call(&f, call);
		}
	}
	g_assert_cmpint(starts, ==, 3);
	flow_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/inventory/gone", test_gone);
	g_test_add_func("/inventory/gone-after-start", test_gone_after_start);
	g_test_add_func(
	    "/inventory/started-after-list", test_started_after_list);
	g_test_add_func("/inventory/gone-with-leader", test_gone_with_leader);
	g_test_add_func(
	    "/inventory/departed-with-leader", test_departed_with_leader);
	g_test_add_func("/inventory/departed-and-gone", test_departed_and_gone);
	g_test_add_func("/inventory/departed-and-gone-after-start",
	    test_departed_and_gone_after_start);
	g_test_add_func(
	    "/inventory/departed-and-listed", test_departed_and_listed);
	g_test_add_func("/inventory/old-run-departed-without-lists",
	    test_old_run_departed_without_lists);
	g_test_add_func("/inventory/young-run-departed-with-leader",
	    test_young_run_departed_with_leader);
	g_test_add_func(
	    "/inventory/departed-before-leaders", test_departed_before_leaders);
	g_test_add_func("/inventory/departed-before-snapshot",
	    test_departed_before_snapshot);
	g_test_add_func("/inventory/young-run-departed-before-leader",
	    test_young_run_departed_before_leader);
	g_test_add_func("/inventory/departed-young-before-leaders",
	    test_departed_young_before_leaders);
	g_test_add_func(
	    "/inventory/departed-without-ack", test_departed_without_ack);
	g_test_add_func("/inventory/departed-with-ack", test_departed_with_ack);
	g_test_add_func(
	    "/inventory/departed-without-lists", test_departed_without_lists);
	g_test_add_func(
	    "/inventory/departed-unconfirmed", test_departed_unconfirmed);
	g_test_add_func("/inventory/end-of-earlier-incarnation",
	    test_end_of_earlier_incarnation);
	g_test_add_func("/inventory/end-before-unreported-restart",
	    test_end_before_unreported_restart);
	g_test_add_func("/inventory/end-of-unnamed-incarnation",
	    test_end_of_unnamed_incarnation);
	g_test_add_func("/inventory/young-run-of-earlier-leader",
	    test_young_run_of_earlier_leader);
	g_test_add_func("/inventory/unanswered-start", test_unanswered_start);
	g_test_add_func("/inventory/repeated-start", test_repeated_start);
	g_test_add_func("/inventory/cut-off", test_cut_off);
	g_test_add_func("/inventory/one-list", test_one_list);
	g_test_add_func("/inventory/list-contradicted", test_list_contradicted);
	g_test_add_func("/inventory/list-of-none", test_list_of_none);
	g_test_add_func("/inventory/lists-fail", test_lists_fail);
	g_test_add_func("/inventory/new-endpoint", test_new_endpoint);
	g_test_add_func(
	    "/inventory/heard-between-lists", test_heard_between_lists);
	g_test_add_func("/inventory/paused", test_paused);
	g_test_add_func("/inventory/heard-lately", test_heard_lately);
	g_test_add_func("/inventory/no-request", test_no_request);
	g_test_add_func("/inventory/few-requests", test_few_requests);
	g_test_add_func("/inventory/start-window", test_start_window);
	return g_test_run();
}
