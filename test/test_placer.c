#include <string.h>

#include <glib.h>

#include "placer_fixture.h"

/*
 * What the placer proposes and queries for tables built by hand, one load
 * pattern at a time. Endpoints have 10 processors.
 */

/*
 * Urgent work is placed first, whatever was submitted before it; then the
 * oldest.
 */
static void
test_urgent_first(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 2, flow_fixture_step(10));
	placer_fixture_submit(&f, 2, 0, flow_fixture_step(6));
	placer_fixture_submit(&f, 3, 0, flow_fixture_step(6));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 2);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 2);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->n_runs, ==, 6);
	g_assert_cmpuint(placer_fixture_start(&f, 1)->flow, ==, 3);
	g_assert_cmpuint(placer_fixture_start(&f, 1)->n_runs, ==, 4);
	placer_fixture_clear(&f);
}

/* A gang starts as a whole or not at all, and does not block other work. */
static void
test_gang(void)
{
	struct placer_fixture f;
	Gyp__FlowStep gang = flow_fixture_step(15);

	gang.gang = true;
	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 0, gang);
	placer_fixture_submit(&f, 2, 1, flow_fixture_step(3));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 2);
	placer_fixture_clear(&f);
}

/* A step with a spread runs at most that many tasks on one endpoint. */
static void
test_spread(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(8);

	step.spread = 2;
	placer_fixture_init(&f, 3);
	placer_fixture_submit(&f, 1, 0, step);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->n_runs, ==, 6);
	placer_fixture_apply(&f);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	placer_fixture_clear(&f);
}

/*
 * Tasks that use all spare capacity never share an endpoint with tasks that
 * have a latency bound.
 */
static void
test_serving_and_filling_apart(void)
{
	struct placer_fixture f;
	Gyp__FlowStep serves = flow_fixture_step(1);
	Gyp__FlowStep fills = flow_fixture_step(4);
	uint32_t row;
	guint i;

	serves.lasting = true;
	serves.tail_ms = 50;
	fills.fills = true;
	placer_fixture_init(&f, 2);
	placer_fixture_submit(&f, 1, 1, serves);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	row = placer_fixture_start(&f, 0)->runs[0]->host;
	placer_fixture_apply(&f);
	placer_fixture_submit(&f, 2, 2, fills);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	for (i = 0; i < placer_fixture_start(&f, 0)->n_runs; i++)
		g_assert_cmpuint(
		    placer_fixture_start(&f, 0)->runs[i]->host, !=, row);
	placer_fixture_clear(&f);
}

static void
quarantine(struct placer_fixture *f, uint32_t row)
{
	uint32_t task;

	for (task = 0; task < GYP_RUN_STATS_FAILURES; task++)
		gyp_run_stats_failed(f->stats, 9, task, row, f->base.now);
	g_assert_cmpint(gyp_run_stats_state(f->stats, row, f->base.now), ==,
	    GYP_RUN_STATS_BLOCKED);
}

/*
 * An endpoint that fails all its runs looks the least loaded: after a few
 * failures it gets no more runs.
 */
static void
test_failing_endpoint(void)
{
	struct placer_fixture f;
	guint i;

	placer_fixture_init(&f, 3);
	quarantine(&f, 1);
	placer_fixture_submit(&f, 1, 0, flow_fixture_step(12));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->n_runs, ==, 12);
	for (i = 0; i < 12; i++)
		g_assert_cmpuint(
		    placer_fixture_start(&f, 0)->runs[i]->host, !=, 1);
	placer_fixture_clear(&f);
}

/*
 * After a quarantine an endpoint gets one run as a probe, even if lasting tasks
 * run there; otherwise it would never be used again.
 */
static void
test_probe(void)
{
	struct placer_fixture f;
	Gyp__FlowStep lasting = flow_fixture_step(2);

	lasting.lasting = true;
	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 1, lasting);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	placer_fixture_apply(&f);
	quarantine(&f, 0);
	placer_fixture_submit(&f, 2, 0, flow_fixture_step(3));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	f.base.now += GYP_RUN_STATS_QUARANTINE_MS;
	gyp_fleet_heartbeat(f.base.fleet, f.base.now, 0, 1, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->n_runs, ==, 1);
	placer_fixture_apply(&f);
	gyp_run_stats_started(f.stats, 0, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	gyp_run_stats_done(f.stats, 2, 0, 0, 500, 0, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->n_runs, ==, 2);
	placer_fixture_clear(&f);
}

/* An endpoint that has become slow is used last. */
static void
test_slow_endpoint(void)
{
	struct placer_fixture f;
	uint32_t task;

	placer_fixture_init(&f, 3);
	for (task = 0; task < 10; task++)
		gyp_run_stats_done(f.stats, 9, task, 0, 5000, 1000, f.base.now);
	placer_fixture_submit(&f, 1, 0, flow_fixture_step(4));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	for (task = 0; task < 2; task++)
		g_assert_cmpuint(
		    placer_fixture_start(&f, 0)->runs[task]->host, !=, 0);
	placer_fixture_clear(&f);
}

/*
 * With slow queries, each unit has one query at a time, which names as many
 * endpoints as are cheap to name, and some query slots stay free for quick
 * queries.
 */
static void
test_slow_queries(void)
{
	struct placer_fixture f;
	uint64_t id;
	guint i;

	placer_fixture_init(&f, 40);
	for (id = 1; id <= 20; id++) {
		placer_fixture_submit(&f, id, 2, flow_fixture_step(2));
		placer_fixture_set_queue(&f, id, 2, true, 370, 5.3);
	}
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	g_assert_cmpuint(f.queries->len, <, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, >, 0);
	for (i = 0; i < f.queries->len; i++) {
		const Gyp__Ask *query = f.queries->pdata[i];

		g_assert_cmpuint(query->flow, ==, i + 1); /* oldest first */
		g_assert_cmpuint(query->n_endpoints, >=, 17);
		g_assert_cmpuint(query->n_endpoints, <=, 30);
	}
	placer_fixture_submit(&f, 100, 0, flow_fixture_step(2));
	placer_fixture_set_queue(&f, 100, 0, true, 24, 0.34);
	placer_fixture_run_round(&f, 1); /* one free slot */
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(
	    ((const Gyp__Ask *)f.queries->pdata[0])->flow, ==, 100);
	placer_fixture_clear(&f);
}

/* CPU that queries under way are expected to use on all endpoints. */
static uint32_t
claimed_cpu(const struct placer_fixture *f)
{
	uint32_t row, sum = 0;

	for (row = 0; row < gyp_hosts_size(f->base.flows); row++)
		sum += gyp_admission_claimed(f->admission, row).cpu_milli;
	return sum;
}

/*
 * Guards against a claim that outlives its query: it would keep endpoints out
 * of slow queries for good.
 */
static void
test_claims_end(void)
{
	struct placer_fixture f;
	const Gyp__Ask *query;
	int how;

	for (how = 0; how < 3; how++) {
		placer_fixture_init(&f, 20);
		placer_fixture_submit(&f, 1, 2, flow_fixture_step(2));
		placer_fixture_set_queue(&f, 1, 2, true, 370, 5.3);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.queries->len, ==, 1);
		g_assert_cmpuint(claimed_cpu(&f), >, 1500);
		query = f.queries->pdata[0];
		if (how == 0)
			placer_fixture_allow_all(&f, query);
		else if (how == 1)
			gyp_admission_drop_query(f.admission, query->id);
		else
			gyp_admission_forget_flow(
			    f.admission, gyp_flow_get(f.base.flows, 1));
		g_assert_cmpuint(claimed_cpu(&f), ==, 0);
		/* An answer that arrives afterwards is ignored. */
		placer_fixture_allow_all(&f, query);
		g_assert_cmpuint(claimed_cpu(&f), ==, 0);
		placer_fixture_clear(&f);
	}
}

/*
 * Guards against slow queries that name the same endpoints, and against packed
 * tasks that are spread because they leave each other theirs.
 */
static void
check_claims(bool packed)
{
	struct placer_fixture f;
	const Gyp__Ask *first, *second;
	Gyp__FlowStep step = flow_fixture_step(10);
	guint i, common = 0;
	size_t k;

	placer_fixture_init(&f, 60);
	step.size->accel = packed ? 1 : 0;
	for (i = 1; i <= 2; i++) {
		placer_fixture_submit(&f, i, 2, step);
		placer_fixture_set_queue(&f, i, 2, true, 370, 40);
	}
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 2);
	first = f.queries->pdata[0];
	second = f.queries->pdata[1];
	for (i = 0; i < first->n_endpoints; i++) {
		for (k = 0; k < second->n_endpoints; k++)
			common += g_str_equal(
			    first->endpoints[i], second->endpoints[k]);
	}
	if (packed)
		g_assert_cmpuint(common, ==, first->n_endpoints);
	else
		g_assert_cmpuint(common, <, first->n_endpoints);
	step.size->accel = 0; /* shared by all steps */
	placer_fixture_clear(&f);
}

static void
test_claims(void)
{
	check_claims(false);
	check_claims(true);
}

/* Answers are kept; a ticket that has expired is requested again. */
static void
test_tickets(void)
{
	struct placer_fixture f;
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket ticket = GYP__TICKET__INIT;
	Gyp__Ticket *list[] = {&ticket};
	const Gyp__Ask *query;

	placer_fixture_init(&f, 3);
	placer_fixture_submit(&f, 1, 0, flow_fixture_step(2));
	placer_fixture_set_queue(&f, 1, 0, true, 24, 0.34);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	query = f.queries->pdata[0];
	answer.id = query->id;
	answer.ok = true;
	answer.valid_ms = 2500;
	ticket.endpoint = "e1";
	ticket.ticket = "t";
	answer.n_tickets = 1;
	answer.tickets = list;
	gyp_admission_record_answer(f.admission, f.base.now, &answer);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->runs[0]->host, ==,
	    gyp_host_by_id(f.base.flows, "e1")->row);
	/* No run is committed before the ticket of e1 expires. */
	flow_fixture_contact_all(&f.base);
	f.base.now += 3000;
	flow_fixture_contact_all(&f.base);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	g_assert_cmpuint(f.queries->len, ==, 1);
	query = f.queries->pdata[0];
	g_assert_cmpuint(query->n_endpoints, ==, 1);
	g_assert_cmpstr(query->endpoints[0], ==, "e1");
	placer_fixture_clear(&f);
}

/*
 * Burst on a full pool: 200 units wait for 50 endpoints, one of which has free
 * capacity. A round compares each unit with that endpoint only; with all
 * endpoints it compares only the units for which it sends a query.
 */
static void
test_long_queue(void)
{
	struct placer_fixture f;
	Gyp__FlowStep big = flow_fixture_step(10);
	guint i;

	placer_fixture_init(&f, 50);
	for (i = 0; i < 49; i++) {
		placer_fixture_submit(&f, 1000 + i, 0, big);
		placer_fixture_run_round(&f, 0);
		placer_fixture_apply(&f);
	}
	for (i = 0; i < 200; i++) {
		placer_fixture_submit(&f, 1 + i, 1, flow_fixture_step(20));
		placer_fixture_set_queue(&f, 1 + i, 1, true, 30, 0.5);
	}
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(gyp_placer_comparisons(f.placer), <=,
	    200 + 50 * PLACER_QUERY_SLOTS);
	placer_fixture_clear(&f);
}

/*
 * Before its last attempt, a task avoids endpoints where any task failed, but
 * only for a limited time: in a small pool all endpoints may be suspect.
 */
static void
test_avoidance_expires(void)
{
	struct placer_fixture f;
	struct gyp_flow *flow;

	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 0, flow_fixture_step(1));
	flow = gyp_flow_get(f.base.flows, 1);
	flow->tasks[0].failures = flow->spec->queue->attempts - 1;
	gyp_run_stats_failed(f.stats, 1, 0, 0, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	f.base.now += GYP_RUN_STATS_AVOID_MS;
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	placer_fixture_clear(&f);
}

/* When one task of a gang cannot be placed, no run of the gang is proposed. */
static void
test_gang_with_unplaceable_task(void)
{
	struct placer_fixture f;
	Gyp__FlowStep gang = flow_fixture_step(8);

	gang.gang = true;
	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 0, gang);
	gyp_flow_get(f.base.flows, 1)->tasks[0].failures = 1;
	gyp_run_stats_failed(f.stats, 1, 0, 0, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	placer_fixture_clear(&f);
}

/*
 * A wide step of large tasks, one per endpoint, with queries of half a second
 * each: one query names enough endpoints for the whole step, and fewer once
 * answers show that most endpoints are allowed.
 */
static void
test_wide_step(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(21);
	Gyp__Res size = GYP__RES__INIT;
	size_t first = 0;
	uint64_t id;

	placer_fixture_init(&f, 100);
	size.cpu_milli = 8000;
	step.size = &size;
	for (id = 1; id <= 20; id++) {
		placer_fixture_submit(&f, id, 0, step);
		placer_fixture_set_queue(&f, id, 0, true, 494, 7.15);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_cmpuint(f.queries->len, ==, 1);
		if (id == 1)
			first = ((const Gyp__Ask *)f.queries->pdata[0])
				    ->n_endpoints;
		placer_fixture_allow_all(&f, f.queries->pdata[0]);
		gyp_flow_get(f.base.flows, id)->state = GYP_FLOW_CANCELLED;
	}
	g_assert_cmpuint(first, >=, 60);
	g_assert_cmpuint(
	    ((const Gyp__Ask *)f.queries->pdata[0])->n_endpoints, <, 35);
	placer_fixture_clear(&f);
}

/* Submits a flow of two steps with the given run time and slow queries. */
static void
submit_two_steps(struct placer_fixture *f, uint64_t id, uint64_t estimate_ms)
{
	static uint32_t first;
	Gyp__FlowStep steps[] = {flow_fixture_step(4), flow_fixture_step(4)};

	steps[0].estimate_ms = steps[1].estimate_ms = estimate_ms;
	steps[1].after = &first;
	steps[1].n_after = 1;
	flow_fixture_submit(&f->base, id, steps, 2);
	placer_fixture_set_queue(f, id, 0, true, 370, 5.3);
	gyp_flow_get(f->base.flows, id)->spec->queue->ticket_ms = 2000;
}

/* Queries the first step and starts it. */
static void
begin_first_step(struct placer_fixture *f)
{
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f->queries->len, ==, 1);
	g_assert_cmpuint(((const Gyp__Ask *)f->queries->pdata[0])->step, ==, 0);
	placer_fixture_allow_all(f, f->queries->pdata[0]);
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f->queries->len, ==, 0);
	placer_fixture_apply(f);
}

/*
 * Flows of several steps with little slack. The query about the next step is
 * sent once, while the preceding step runs, and only when most query slots are
 * free. If the preceding step is long, the query is sent after half of that
 * step's tasks have ended, so that the ticket is still valid when the rest end.
 */
static void
test_admission_prefetch(void)
{
	static const struct {
		uint64_t estimate_ms;
		uint32_t ended; /* ended tasks of the first step */
		uint32_t slots;
		guint queries;
	} cases[] = {{800, 0, PLACER_QUERY_SLOTS, 1}, {800, 0, 2, 0},
	    {6000, 1, PLACER_QUERY_SLOTS, 0}, {6000, 2, PLACER_QUERY_SLOTS, 1}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct placer_fixture f;
		uint32_t task;

		placer_fixture_init(&f, 3);
		submit_two_steps(&f, 1, cases[i].estimate_ms);
		begin_first_step(&f);
		for (task = 0; task < cases[i].ended; task++)
			placer_fixture_end_run(
			    &f, 1, task, GYP__FLOW_HOW__FLOW_DONE);
		placer_fixture_run_round(&f, cases[i].slots);
		g_assert_cmpuint(f.queries->len, ==, cases[i].queries);
		if (cases[i].queries > 0)
			g_assert_cmpuint(
			    ((const Gyp__Ask *)f.queries->pdata[0])->step, ==,
			    1);
		placer_fixture_run_round(&f, cases[i].slots);
		g_assert_cmpuint(f.queries->len, ==, 0);
		placer_fixture_clear(&f);
	}
}

/*
 * While a task of the first step waits for a run, the second step is not
 * queried.
 */
static void
test_no_prefetch_while_task_waits(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 3);
	submit_two_steps(&f, 1, 800);
	begin_first_step(&f);
	placer_fixture_end_run(&f, 1, 0, GYP__FLOW_HOW__FLOW_FAILED);
	gyp_run_stats_failed(f.stats, 1, 0, 0, f.base.now);
	gyp_run_stats_failed(f.stats, 1, 0, 1, f.base.now);
	gyp_run_stats_failed(f.stats, 1, 0, 2, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	g_assert_cmpuint(f.queries->len, ==, 0);
	placer_fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placer/urgent-first", test_urgent_first);
	g_test_add_func("/placer/gang", test_gang);
	g_test_add_func("/placer/spread", test_spread);
	g_test_add_func("/placer/serving-and-filling-apart",
	    test_serving_and_filling_apart);
	g_test_add_func("/placer/failing-endpoint", test_failing_endpoint);
	g_test_add_func("/placer/probe", test_probe);
	g_test_add_func("/placer/slow-endpoint", test_slow_endpoint);
	g_test_add_func("/placer/slow-queries", test_slow_queries);
	g_test_add_func("/placer/claims", test_claims);
	g_test_add_func("/placer/claims-end", test_claims_end);
	g_test_add_func("/placer/tickets", test_tickets);
	g_test_add_func("/placer/long-queue", test_long_queue);
	g_test_add_func("/placer/wide-step", test_wide_step);
	g_test_add_func("/placer/avoidance-expires", test_avoidance_expires);
	g_test_add_func("/placer/gang-with-unplaceable-task",
	    test_gang_with_unplaceable_task);
	g_test_add_func("/placer/admission-prefetch", test_admission_prefetch);
	g_test_add_func("/placer/no-prefetch-while-task-waits",
	    test_no_prefetch_while_task_waits);
	return g_test_run();
}
