#include <glib.h>

#include "lasting_watch.h"
#include "msg.h"
#include "placer_fixture.h"

/*
 * The log lines about lasting tasks that do not run, in scripted runs of one
 * flow with one task. Endpoints have 10 processors.
 */

#define FLOW    0xf1ULL
#define OUTAGES "gyp_lasting_outage_seconds"
#define TASK    "flow=00000000000000f1 task=0 "
#define WAITING "state=waiting rank=1 slack=interrupted under_cap=1 avoids=0 "
#define NO_MORE "sharing=0 uncontacted=0"
#define NO_END  "last_end=none refused=0 refuse_reason=none "

struct fixture {
	struct placer_fixture base;
	struct gyp_events *events;
	struct gyp_counters *counters;
	struct gyp_lasting_watch *watch;
};

/* The watch of a leader whose tables got their latest command age_ms ago. */
static void
new_watch(struct fixture *f, uint64_t age_ms)
{
	const struct gyp_lasting_sources from = {.flows = f->base.base.flows,
	    .fleet = f->base.base.fleet,
	    .admission = f->base.admission,
	    .placer = f->base.placer,
	    .stats = f->base.stats,
	    .events = f->events,
	    .counters = f->counters,
	    .tables_age_ms = age_ms};

	gyp_lasting_watch_free(f->watch);
	f->watch = gyp_lasting_watch_new(&from, f->base.base.now);
}

static void
fixture_init(struct fixture *f, uint32_t tasks)
{
	Gyp__FlowStep step = flow_fixture_step(tasks);

	step.lasting = true;
	*f = (struct fixture){
	    .events = gyp_events_new(), .counters = gyp_counters_new()};
	placer_fixture_init(&f->base, 2);
	placer_fixture_submit(&f->base, FLOW, 1, step);
	new_watch(f, 0);
}

/* Starts task 0 on that endpoint, which confirms it or refuses its ticket. */
static void
start_at(struct fixture *f, uint32_t run, uint32_t row,
    enum gyp_fleet_call_result result)
{
	struct flow_fixture *base = &f->base.base;
	struct gyp_fleet_answer a = {.end = result,
	    .reason = GYP_REASON_TICKET,
	    .has_clock = true,
	    .clock_ms = base->now};
	struct gyp_fleet_call *call;

	flow_fixture_start(base, FLOW, 0, 0, run, row);
	gyp_fleet_tick(base->fleet, base->now);
	call = flow_fixture_next_call(base, GYP_FLEET_START);
	a.call = call->id;
	gyp_fleet_handle_answer(base->fleet, base->now, &a);
	gyp_fleet_call_free(call);
}

static void
start(struct fixture *f, uint32_t run, enum gyp_fleet_call_result result)
{
	start_at(f, run, 0, result);
}

static void
end_run(struct fixture *f, Gyp__FlowHow how)
{
	gyp_lasting_watch_ended(f->watch, f->base.base.now,
	    gyp_flow_get(f->base.base.flows, FLOW), 0, how);
	placer_fixture_end_run(&f->base, FLOW, 0, how);
}

/* Endpoint e0 lists the run of task 0 in the answer to the next poll. */
static void
list_run(struct fixture *f, uint32_t run)
{
	const struct flow_fixture_run listed = {FLOW, 0, run, 0, 0};
	struct gyp_fleet_call *call =
	    flow_fixture_next_call(&f->base.base, GYP_FLEET_POLL);

	g_assert_cmpuint(call->row, ==, 0);
	flow_fixture_answer_poll(&f->base.base, call, 1, &listed, 1, NULL, 0);
}

/* Passes ms without any answer of an endpoint, then scans. */
static void
scan_after(struct fixture *f, uint64_t ms)
{
	f->base.base.now += ms;
	gyp_fleet_tick(f->base.base.fleet, f->base.base.now);
	gyp_events_set_time(f->events, f->base.base.now);
	gyp_lasting_watch_tick(f->watch, f->base.base.now, 0);
}

/* The next line must have this text; NULL: there is none. */
static void
expect_line(struct fixture *f, const char *expected)
{
	struct gyp_event e;
	char *line;

	if (!gyp_events_pop(f->events, &e)) {
		g_assert_null(expected);
		return;
	}
	line = g_strdup_printf("%s %s", e.name, e.fields);
	g_assert_cmpstr(line, ==, expected);
	g_free(line);
	g_free(e.fields);
}

static void
expect_count(const struct fixture *f, const char *counter, uint64_t n)
{
	g_assert_cmpuint(gyp_counter_get(f->counters, counter, ""), ==, n);
}

/*
 * H1 of incident lost-lasting: the tables hold an open run, and its endpoint
 * has been silent since. The task would count as running until the lease ends.
 */
static void
test_silent_endpoint(struct fixture *f)
{
	start(f, 1, GYP_FLEET_OK);
	scan_after(f, 1000);
	expect_line(f, NULL);
	scan_after(f, 1500);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=2500 run=1 " NO_END
	    "state=open endpoint=e0 phase=confirmed stop=none call=none "
	    "end_proposed=0 starts_sent=1 silent_ms=2500 failures=1 departed=0 "
	    "lease_left_ms=4683 "
	    "restarted_ms_ago=-1 left_out=0 end_proposed_ms_ago=0");
	expect_count(f, "gyp_lasting_down", 1);
}

/*
 * H2: the task waits although endpoints have room, as they are blocked. The
 * outage is measured from the end of the run to the next confirmation, whenever
 * the scans are.
 */
static void
test_blocked_endpoints(struct fixture *f)
{
	uint32_t i;

	start(f, 1, GYP_FLEET_OK);
	end_run(f, GYP__FLOW_HOW__FLOW_FAILED);
	for (i = 1; i <= 3; i++)
		gyp_run_stats_failed(
		    f->base.stats, FLOW + i, 0, 1, f->base.base.now);
	scan_after(f, 1000);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=1000 run=1 last_end=failed "
	    "refused=0 refuse_reason=none " WAITING "admission=0 query=none "
	    "suits=1 fits=1 room=2 no_contact=0 blocked=1 suspect=0 unknown=1 "
	    "pending=0 denied=0 expired=0 allowed=0 left_out=0 " NO_MORE);
	f->base.base.now += 250;
	start(f, 2, GYP_FLEET_OK);
	scan_after(f, 900);
	expect_line(f, "lasting-up " TASK
		       "down_ms=1250 run=2 after_run=1 refused=0 endpoint=e0");
	expect_count(f, OUTAGES, 1);
}

/* H3: each start is refused; the line must say how many were, and why. */
static void
test_refused_starts(struct fixture *f)
{
	uint32_t run;

	placer_fixture_set_queue(&f->base, FLOW, 1, true, 0, 0);
	start(f, 1, GYP_FLEET_OK);
	end_run(f, GYP__FLOW_HOW__FLOW_DONE);
	for (run = 2; run <= 3; run++) {
		start(f, run, GYP_FLEET_REFUSED);
		end_run(f, GYP__FLOW_HOW__FLOW_STOPPED);
	}
	scan_after(f, 1000);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=1000 run=3 last_end=stopped "
	    "refused=2 refuse_reason=ticket " WAITING "admission=1 query=none "
	    "suits=2 fits=2 room=2 no_contact=0 blocked=0 suspect=0 unknown=2 "
	    "pending=0 denied=0 expired=0 allowed=0 left_out=0 " NO_MORE);
}

/*
 * The only endpoints are one with filling tasks and one that has registered and
 * never answered: the line must tell the two apart.
 */
static void
test_left_out_endpoints(struct fixture *f)
{
	struct flow_fixture *base = &f->base.base;
	Gyp__FlowStep fills = flow_fixture_step(2);

	fills.fills = true;
	placer_fixture_submit(&f->base, FLOW + 1, 2, fills);
	flow_fixture_start(base, FLOW + 1, 0, 0, 1, 0);
	flow_fixture_start(base, FLOW + 1, 1, 1, 1, 1);
	gyp_flow_get(base->flows, FLOW)->spec->steps[0]->tail_ms = 50;
	flow_fixture_add_host(base, "e2", 1);
	scan_after(f, 0);
	scan_after(f, 1000);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=1000 run=0 " NO_END
	    "state=waiting rank=1 slack=in-time under_cap=1 avoids=0 "
	    "admission=0 query=none suits=0 fits=0 room=1 no_contact=1 "
	    "blocked=0 suspect=0 unknown=0 pending=0 denied=0 expired=0 "
	    "allowed=0 left_out=0 sharing=2 uncontacted=1");
}

/* Outages between two scans must be counted, without a line each. */
static void
test_short_outages(struct fixture *f)
{
	uint32_t run;

	start(f, 1, GYP_FLEET_OK);
	scan_after(f, 10);
	for (run = 2; run <= 4; run++) {
		end_run(f, GYP__FLOW_HOW__FLOW_DONE);
		f->base.base.now += 100;
		start(f, run, GYP_FLEET_OK);
	}
	scan_after(f, 700);
	expect_line(f, NULL);
	expect_count(f, OUTAGES, 3);
}

/*
 * A new leader knows nothing of the runs before its term: one that is confirmed
 * later under the same number was no outage.
 */
static void
test_new_leader(struct fixture *f)
{
	start(f, 1, GYP_FLEET_OK);
	flow_fixture_new_leader(&f->base.base, 2);
	new_watch(f, 0);
	scan_after(f, 0);
	expect_line(f, NULL);
	scan_after(f, 1000);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=1000 run=1 " NO_END
	    "state=open endpoint=e0 phase=inherited stop=none call=none "
	    "end_proposed=0 starts_sent=0 silent_ms=1000 failures=0 departed=0 "
	    "lease_left_ms=5183 "
	    "restarted_ms_ago=-1 left_out=0 end_proposed_ms_ago=0");
	list_run(f, 1);
	scan_after(f, 1000);
	expect_line(f, "lasting-up " TASK
		       "down_ms=1000 run=1 after_run=1 refused=0 endpoint=e0");
	expect_count(f, OUTAGES, 0);
}

/* The task has waited for 1900 ms when the next leader begins. */
static void
expect_wait_over_election(struct fixture *f)
{
	f->base.base.now += 400;
	flow_fixture_add_host(&f->base.base, "e2", 1);
	f->base.base.now += 1500;
	placer_fixture_new_leader(&f->base, 2);
	new_watch(f, 1500);
	scan_after(f, 0);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=1900 run=1 " NO_END WAITING
	    "admission=0 query=none suits=0 fits=0 room=3 no_contact=3 "
	    "blocked=0 suspect=0 unknown=0 pending=0 denied=0 expired=0 "
	    "allowed=0 left_out=0 sharing=0 uncontacted=3");
	flow_fixture_contact_all(&f->base.base); /* takes 100 ms */
	start(f, 2, GYP_FLEET_OK);
	scan_after(f, 1000);
	expect_line(f, "lasting-up " TASK
		       "down_ms=2000 run=2 after_run=1 refused=0 endpoint=e0");
	expect_count(f, OUTAGES, 1);
}

/*
 * A task waits since an earlier leader. Its outage must count from the end of
 * its run, not from the begin of the term.
 */
static void
test_waits_over_election(struct fixture *f)
{
	start(f, 1, GYP_FLEET_OK);
	end_run(f, GYP__FLOW_HOW__FLOW_LAPSED);
	expect_wait_over_election(f);
}

/*
 * Guards against an outage that a leader whose tables come from a snapshot logs
 * as long as the cell has existed.
 */
static void
test_waits_over_snapshot(struct fixture *f)
{
	Gyp__SnapFlows *snap;

	start(f, 1, GYP_FLEET_OK);
	end_run(f, GYP__FLOW_HOW__FLOW_LAPSED);
	snap = flow_fixture_snapshot(f->base.base.flows);
	g_assert_true(gyp_flows_restore(f->base.base.flows, snap));
	gyp_message_free(snap);
	expect_wait_over_election(f);
}

/*
 * Guards against an outage that is logged too short: the endpoint of an open
 * run announced its shutdown to an earlier leader.
 */
static void
test_departed_before_election(struct fixture *f)
{
	start(f, 1, GYP_FLEET_OK);
	flow_fixture_commit_end(&f->base.base, "e0", 1);
	f->base.base.now += 400;
	flow_fixture_add_host(&f->base.base, "e2", 1);
	f->base.base.now += 1500;
	placer_fixture_new_leader(&f->base, 2);
	new_watch(f, 1500);
	scan_after(f, 0);
	end_run(f, GYP__FLOW_HOW__FLOW_LOST);
	flow_fixture_contact_all(&f->base.base); /* takes 100 ms */
	start_at(f, 2, 1, GYP_FLEET_OK);
	scan_after(f, 1000);
	expect_line(f, "lasting-up " TASK
		       "down_ms=2000 run=2 after_run=1 refused=0 endpoint=e1");
	expect_count(f, OUTAGES, 1);
}

/* Many tasks that are down must not flood the log, and all get their line. */
static void
test_lines_are_bounded(struct fixture *f)
{
	struct gyp_event e;
	guint scan, n, i;

	scan_after(f, 0);
	for (scan = 0; scan < 2; scan++) {
		scan_after(f, 1000);
		n = scan == 0 ? GYP_LASTING_LINES_MAX
			      : 30 - GYP_LASTING_LINES_MAX;
		for (i = 0; i < n; i++) {
			g_assert_true(gyp_events_pop(f->events, &e));
			g_assert_true(g_str_has_suffix(
			    e.fields, scan == 0 ? " left_out=10 " NO_MORE
						: " left_out=0 " NO_MORE));
			g_free(e.fields);
		}
		expect_line(f, NULL);
	}
}

/* The end of a run was proposed and is not applied: the line says since when.
 */
static void
test_end_not_applied(struct fixture *f)
{
	flow_fixture_start(&f->base.base, FLOW, 0, 0, 1, 0);
	gyp_fleet_stop_run(f->base.base.fleet, FLOW, 0);
	scan_after(f, 0);
	scan_after(f, 1000);
	expect_line(f,
	    "lasting-down " TASK "step=0 for_ms=1000 run=1 " NO_END
	    "state=open endpoint=e0 phase=unsent stop=none call=none "
	    "end_proposed=1 starts_sent=0 silent_ms=1000 failures=0 departed=0 "
	    "lease_left_ms=6183 "
	    "restarted_ms_ago=-1 left_out=0 end_proposed_ms_ago=1000");
}

/* A cancelled flow must not be reported: its tasks need no run. */
static void
test_cancelled_flow(struct fixture *f)
{
	scan_after(f, 0);
	flow_fixture_cancel(&f->base.base, FLOW);
	scan_after(f, 1000);
	expect_line(f, NULL);
}

static const struct script {
	const char *path;
	uint32_t tasks;
	void (*run)(struct fixture *);
} scripts[] = {{"/lasting/silent-endpoint", 1, test_silent_endpoint},
    {"/lasting/blocked-endpoints", 1, test_blocked_endpoints},
    {"/lasting/refused-starts", 1, test_refused_starts},
    {"/lasting/left-out-endpoints", 1, test_left_out_endpoints},
    {"/lasting/short-outages", 1, test_short_outages},
    {"/lasting/new-leader", 1, test_new_leader},
    {"/lasting/waits-over-election", 1, test_waits_over_election},
    {"/lasting/waits-over-snapshot", 1, test_waits_over_snapshot},
    {"/lasting/departed-before-election", 1, test_departed_before_election},
    {"/lasting/lines-are-bounded", 30, test_lines_are_bounded},
    {"/lasting/end-not-applied", 1, test_end_not_applied},
    {"/lasting/cancelled-flow", 1, test_cancelled_flow}};

static void
run_script(gconstpointer arg)
{
	const struct script *s = arg;
	struct fixture f;

	fixture_init(&f, s->tasks);
	s->run(&f);
	gyp_lasting_watch_free(f.watch);
	gyp_events_free(f.events);
	gyp_counters_free(f.counters);
	placer_fixture_clear(&f.base);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(scripts); i++)
		g_test_add_data_func(scripts[i].path, &scripts[i], run_script);
	return g_test_run();
}
