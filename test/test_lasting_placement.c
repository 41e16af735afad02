#include <glib.h>

#include "clearing.h"
#include "flow_scheduler.h"
#include "lasting_load.h"
#include "msg.h"
#include "placer_fixture.h"

/*
 * Guards against lasting tasks that wait although endpoints have room for them.
 * After a disturbance has ended, a lasting task must run within QUIET_MS +
 * ROOM_MS. Endpoints have 10 processors and 10 GiB.
 */

/* Time without disturbance, and time with room, after which it must run. */
#define QUIET_MS 4000
#define ROOM_MS  3000

/* Time between two rounds, in ms. */
#define ROUND_MS 50

#define GIBIBYTE (1024ULL * 1024 * 1024)

static Gyp__FlowStep
lasting_step(uint32_t count)
{
	Gyp__FlowStep step = flow_fixture_step(count);

	step.lasting = true;
	return step;
}

/* Advances the time of the tables and keeps all endpoints in contact. */
static void
advance(struct placer_fixture *f, uint64_t ms)
{
	uint32_t row;

	f->base.now += ms;
	for (row = 0; row < gyp_hosts_size(f->base.flows); row++)
		gyp_fleet_heartbeat(
		    f->base.fleet, f->base.now, row, 1, f->base.now);
}

/*
 * Runs rounds until the flow has that many open tasks or the time is over.
 * Returns the time taken; what starts is committed at once.
 */
static uint64_t
wait_for_open(
    struct placer_fixture *f, uint64_t flow, uint32_t open, uint64_t max_ms)
{
	uint64_t begin = f->base.now;
	guint i, k;

	while (f->base.now < begin + max_ms) {
		placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
		placer_fixture_apply(f);
		for (i = 0; i < f->cmds->len; i++) {
			const Gyp__CmdFlowStart *s = placer_fixture_start(f, i);

			for (k = 0; k < s->n_runs; k++)
				gyp_run_stats_started(
				    f->stats, s->runs[k]->host, f->base.now);
		}
		if (gyp_flow_get(f->base.flows, flow)->open >= open)
			break;
		advance(f, ROUND_MS);
	}
	return f->base.now - begin;
}

/* ---- Endpoints that failed ---------------------------------------------- */

/*
 * Two endpoints fail all 14 runs that they have at once, then recover. The sum
 * of failures must not keep them without a probe until long after.
 */
static void
test_simultaneous_failures(void)
{
	struct placer_fixture f;
	uint32_t row, task;

	placer_fixture_init(&f, 2);
	for (row = 0; row < 2; row++) {
		for (task = 0; task < 14; task++)
			gyp_run_stats_failed(
			    f.stats, 100 + row * 14 + task, 0, row, f.base.now);
	}
	placer_fixture_submit(&f, 1, 1, lasting_step(1));
	g_assert_cmpuint(
	    wait_for_open(&f, 1, 1, 60000), <=, QUIET_MS + ROOM_MS);
	placer_fixture_clear(&f);
}

/*
 * Two endpoints fail their probes for a minute, then recover. The next probe
 * must not be put off until long after.
 */
static void
test_failed_probes(void)
{
	struct placer_fixture f;
	uint32_t row, i;

	placer_fixture_init(&f, 2);
	for (i = 0; i < 60000 / ROUND_MS; i++) {
		for (row = 0; row < 2; row++) {
			if (gyp_run_stats_state(f.stats, row, f.base.now) <
			    GYP_RUN_STATS_PROBING)
				gyp_run_stats_failed(
				    f.stats, 100 + i, row, row, f.base.now);
		}
		advance(&f, ROUND_MS);
	}
	placer_fixture_submit(&f, 1, 1, lasting_step(1));
	g_assert_cmpuint(
	    wait_for_open(&f, 1, 1, 60000), <=, QUIET_MS + ROOM_MS);
	placer_fixture_clear(&f);
}

/*
 * After a quarantine the probe of an endpoint is a lasting task, which does not
 * end. The endpoint must not stay closed to all other tasks.
 */
static void
test_lasting_probe(void)
{
	struct placer_fixture f;
	uint32_t row, task;

	placer_fixture_init(&f, 2);
	for (row = 0; row < 2; row++) {
		for (task = 0; task < GYP_RUN_STATS_FAILURES; task++)
			gyp_run_stats_failed(
			    f.stats, 100 + row, task, row, f.base.now);
	}
	advance(&f, GYP_RUN_STATS_QUARANTINE_MS);
	placer_fixture_submit(&f, 1, 1, lasting_step(3));
	g_assert_cmpuint(
	    wait_for_open(&f, 1, 2, 60000), <=, QUIET_MS + ROOM_MS);
	g_assert_cmpuint(
	    wait_for_open(&f, 1, 3, 60000), <=, QUIET_MS + ROOM_MS);
	placer_fixture_clear(&f);
}

/*
 * A lasting task that has failed often waits, after its next failure, only for
 * a limited time for an endpoint without failures.
 */
static void
test_many_failures_of_task(void)
{
	struct placer_fixture f;
	uint32_t row;

	placer_fixture_init(&f, 4);
	placer_fixture_submit(&f, 1, 1, lasting_step(1));
	gyp_flow_get(f.base.flows, 1)->tasks[0].failures = 50;
	for (row = 0; row < 4; row++)
		gyp_run_stats_failed(f.stats, 1, 0, row, f.base.now);
	g_assert_cmpuint(wait_for_open(&f, 1, 1, 60000), <=, ROOM_MS);
	placer_fixture_clear(&f);
}

/* Ends the task's run as failed, as it does at once at these endpoints. */
static void
fail(struct placer_fixture *f, uint64_t flow, uint32_t task)
{
	uint32_t row = gyp_flow_get(f->base.flows, flow)->tasks[task].row;

	placer_fixture_end_run(f, flow, task, GYP__FLOW_HOW__FLOW_FAILED);
	gyp_run_stats_failed(f->stats, flow, task, row, f->base.now);
}

/*
 * All endpoints but the last two fail all runs at once, and nothing else runs
 * that would show it. A lasting task must reach one of those two in time; it
 * takes some time to start it each time, such as for an admission query.
 */
static void
check_failing_endpoints(guint failing, uint64_t start_ms)
{
	struct placer_fixture f;
	const struct gyp_flow *flow;
	uint64_t begin;
	guint starts;

	placer_fixture_init(&f, failing + 2);
	placer_fixture_submit(&f, 1, 1, lasting_step(1));
	flow = gyp_flow_get(f.base.flows, 1);
	begin = f.base.now;
	for (starts = 1;; starts++) {
		wait_for_open(&f, 1, 1, 60000);
		g_assert_cmpuint(flow->open, ==, 1);
		if (flow->tasks[0].row >= failing)
			break;
		advance(&f, start_ms);
		fail(&f, 1, 0);
	}
	g_assert_cmpuint(starts, <=, failing + 1);
	g_assert_cmpuint(f.base.now - begin, <=, QUIET_MS + ROOM_MS);
	placer_fixture_clear(&f);
}

static void
test_failing_endpoints(void)
{
	check_failing_endpoints(20, ROUND_MS);
	check_failing_endpoints(3, 2000);
}

/* ---- Endpoints that are lost ----------------------------------------------
 */

/*
 * Endpoints without runs are not polled. One of them that is lost still counts
 * as usable for seconds, and a task that is placed there waits for a whole
 * lease: it must go elsewhere if there is room.
 */
static void
test_silent_endpoint_last(void)
{
	struct placer_fixture f;
	guint i;
	uint32_t row;

	placer_fixture_init(&f, 3);
	for (i = 0; i < 2500 / ROUND_MS; i++) {
		f.base.now += ROUND_MS;
		for (row = 1; row < 3; row++)
			gyp_fleet_heartbeat(
			    f.base.fleet, f.base.now, row, 1, f.base.now);
		gyp_fleet_tick(f.base.fleet, f.base.now);
	}
	g_assert_true(gyp_fleet_usable(f.base.fleet, 0));
	placer_fixture_submit(&f, 1, 1, lasting_step(1));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->runs[0]->host, !=, 0);
	placer_fixture_clear(&f);
}

/* With room only at such an endpoint, which may be late, the task goes there.
 */
static void
test_silent_endpoint_used(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	f.base.now += 2500;
	gyp_fleet_tick(f.base.fleet, f.base.now);
	placer_fixture_submit(&f, 1, 1, lasting_step(1));
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	placer_fixture_clear(&f);
}

/* ---- Order -------------------------------------------------------------- */

/* Fills nine of the ten processors of the only endpoint, for one task's room.
 */
static void
fill_endpoint(struct placer_fixture *f)
{
	placer_fixture_submit(f, 9, 2, flow_fixture_step(9));
	flow_fixture_start(&f->base, 9, 0, 8, 1, 0);
}

/*
 * In a full service a lasting task that lost its run goes before older lasting
 * tasks that never ran, or it waits until all of those run.
 */
static void
test_interrupted_task_first(void)
{
	struct placer_fixture f;
	const Gyp__CmdFlowStart *s;

	placer_fixture_init(&f, 1);
	fill_endpoint(&f);
	placer_fixture_submit(&f, 1, 1, lasting_step(3));
	placer_fixture_submit(&f, 2, 1, lasting_step(3));
	flow_fixture_start(&f.base, 2, 2, 2, 1, 0);
	placer_fixture_end_run(&f, 2, 2, GYP__FLOW_HOW__FLOW_LAPSED);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	s = placer_fixture_start(&f, 0);
	g_assert_cmpuint(s->flow, ==, 2);
	g_assert_cmpuint(s->n_runs, ==, 1);
	g_assert_cmpuint(s->runs[0]->task, ==, 2);
	placer_fixture_clear(&f);
}

/* Ends the first run of a task of the flow, some time after the last one. */
static void
interrupt_task(struct placer_fixture *f, uint64_t flow, uint32_t task)
{
	f->base.now += 100;
	flow_fixture_start(&f->base, flow, task, task, 1, 0);
	placer_fixture_end_run(f, flow, task, GYP__FLOW_HOW__FLOW_LAPSED);
}

/*
 * Of the tasks that lost their runs, those of the oldest flow got the room, and
 * of these the first of the step, however long the others had been down.
 */
static void
test_longest_down_first(void)
{
	struct placer_fixture f;
	const Gyp__CmdFlowStart *s;

	placer_fixture_init(&f, 1);
	fill_endpoint(&f);
	placer_fixture_submit(&f, 1, 1, lasting_step(3));
	placer_fixture_submit(&f, 2, 1, lasting_step(3));
	interrupt_task(&f, 2, 2);
	interrupt_task(&f, 1, 0);
	interrupt_task(&f, 2, 0);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	s = placer_fixture_start(&f, 0);
	g_assert_cmpuint(s->flow, ==, 2);
	g_assert_cmpuint(s->n_runs, ==, 1);
	g_assert_cmpuint(s->runs[0]->task, ==, 2);
	placer_fixture_clear(&f);
}

/*
 * A lasting task that fails at once again and again must not go before all
 * other work of its priority each time.
 */
static void
test_failing_task_not_first(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	fill_endpoint(&f);
	placer_fixture_submit(&f, 1, 1, flow_fixture_step(3));
	placer_fixture_submit(&f, 2, 1, lasting_step(1));
	flow_fixture_start(&f.base, 2, 0, 0, 1, 0);
	placer_fixture_end_run(&f, 2, 0, GYP__FLOW_HOW__FLOW_FAILED);
	gyp_run_stats_failed(f.stats, 2, 0, 0, f.base.now);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->flow, ==, 1);
	placer_fixture_clear(&f);
}

/* ---- Queries ------------------------------------------------------------ */

/*
 * Most endpoints have free processors, but no memory; two that have less free
 * processors have the memory. The query must name these two.
 */
static void
test_query_finds_memory(void)
{
	static const guint n_full = 210, n = 212;
	struct placer_fixture f;
	Gyp__Res big = GYP__RES__INIT, half = GYP__RES__INIT;
	Gyp__FlowStep memory_only = flow_fixture_step(n_full);
	Gyp__FlowStep cpu_only = flow_fixture_step(n - n_full);
	guint i;

	big.cpu_milli = 100;
	big.memory = 10 * GIBIBYTE;
	half.cpu_milli = 5000;
	memory_only.size = &big;
	cpu_only.size = &half;
	placer_fixture_init(&f, n);
	placer_fixture_submit(&f, 1, 2, memory_only);
	placer_fixture_submit(&f, 2, 2, cpu_only);
	for (i = 0; i < n_full; i++)
		flow_fixture_start(&f.base, 1, i, i, 1, i);
	for (i = n_full; i < n; i++)
		flow_fixture_start(&f.base, 2, i - n_full, i - n_full, 1, i);
	placer_fixture_submit(&f, 3, 1, lasting_step(1));
	placer_fixture_set_queue(&f, 3, 1, true, 585, 8.45);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 1);
	placer_fixture_clear(&f);
}

/* Answers the polls of the only endpoint. */
static void
contact(struct gyp_flow_scheduler *fs, uint64_t now)
{
	struct gyp_fleet_call *call;

	gyp_flow_scheduler_round(fs, now, 0, false);
	while ((call = gyp_flow_scheduler_pop_call(fs)) != NULL) {
		struct gyp_fleet_answer a = {.call = call->id,
		    .end = GYP_FLEET_OK,
		    .has_clock = true,
		    .clock_ms = now,
		    .incarnation_start_ms = 1};

		gyp_flow_scheduler_call_answered(fs, now, &a);
		gyp_fleet_call_free(call);
	}
}

/* Waits for the next query; returns it and the entry that carries it. */
static Gyp__Ask *
next_query(struct gyp_flow_scheduler *fs, uint64_t *now, guint entries,
    uint64_t *entry)
{
	Gyp__Ask *query;
	guint i, k;

	for (i = 0; i < 100; i++) {
		*now += ROUND_MS;
		for (k = 1; k <= entries; k++)
			gyp_flow_scheduler_offer_entry(fs, *now, k);
		contact(fs, *now);
		gyp_flow_scheduler_round(fs, *now, 0, true);
		query = gyp_flow_scheduler_pop_query(fs, entry);
		if (query != NULL)
			return query;
	}
	return NULL;
}

/* A flow with one lasting task that needs admission, and an endpoint. */
struct query_fixture {
	struct flow_fixture base;
	struct gyp_flow_scheduler *fs;
};

static void
query_fixture_init(struct query_fixture *f)
{
	struct gyp_fleet_config cfg = {
	    .lease_ms = FLOW_FIXTURE_LEASE_MS, .stop_grace_ms = 400};
	Gyp__FlowStep step = lasting_step(1);
	Gyp__FlowQueue *queue;

	flow_fixture_init(&f->base);
	flow_fixture_add_host(&f->base, "e0", 1);
	queue = flow_fixture_submit(&f->base, 1, &step, 1)->spec->queue;
	queue->admission = true;
	queue->admission_ms = 585;
	queue->admission_each_ms = 8.45;
	f->fs = gyp_flow_scheduler_new(&cfg, f->base.flows, f->base.now, 1);
	contact(f->fs, f->base.now);
}

static void
query_fixture_clear(struct query_fixture *f)
{
	gyp_flow_scheduler_free(f->fs);
	flow_fixture_clear(&f->base);
}

/* A single entry is left: its slot must not be kept free of slow queries. */
static void
test_single_entry(void)
{
	struct query_fixture f;
	uint64_t entry;
	Gyp__Ask *query;

	query_fixture_init(&f);
	query = next_query(f.fs, &f.base.now, 1, &entry);
	g_assert_nonnull(query);
	gyp__ask__free_unpacked(query, NULL);
	query_fixture_clear(&f);
}

/*
 * The queries of one entry fail, for instance because it does not reach the
 * admission service. The next query about the task must use another entry.
 */
static void
test_query_after_failed_entry(void)
{
	struct query_fixture f;
	uint64_t failing = 0, entry;
	guint i, failed = 0;

	query_fixture_init(&f);
	for (i = 0; i < 5; i++) {
		Gyp__Ask *query = next_query(f.fs, &f.base.now, 5, &entry);
		Gyp__Advised answer = GYP__ADVISED__INIT;

		g_assert_nonnull(query);
		if (failing == 0)
			failing = entry;
		failed += entry == failing;
		answer.id = query->id;
		gyp_flow_scheduler_query_answered(
		    f.fs, f.base.now, entry, &answer);
		gyp__ask__free_unpacked(query, NULL);
	}
	query_fixture_clear(&f);
	g_assert_cmpuint(failed, ==, 1);
}

/* Answers that e0 may run the task, with that ticket. */
static void
allow(struct query_fixture *f, uint64_t entry, const Gyp__Ask *query,
    const char *ticket)
{
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket t = GYP__TICKET__INIT, *tickets[] = {&t};

	t.endpoint = "e0";
	t.ticket = (char *)ticket;
	answer.id = query->id;
	answer.ok = true;
	answer.valid_ms = 2000;
	answer.n_tickets = G_N_ELEMENTS(tickets);
	answer.tickets = tickets;
	gyp_flow_scheduler_query_answered(f->fs, f->base.now, entry, &answer);
}

/*
 * One entry passes answers on so late that their tickets are of no use. The
 * next queries about the task must use other entries while some are free.
 */
static void
test_query_after_late_entry(void)
{
	struct query_fixture f;
	uint64_t late = 0, entry;
	guint i, used = 0;

	query_fixture_init(&f);
	for (i = 0; i < 12; i++) {
		Gyp__Ask *query = next_query(f.fs, &f.base.now, 5, &entry);

		g_assert_nonnull(query);
		if (late == 0)
			late = entry;
		used += entry == late;
		f.base.now += 600 + (entry == late ? 2000 : 0);
		allow(&f, entry, query, "t");
		gyp__ask__free_unpacked(query, NULL);
	}
	query_fixture_clear(&f);
	g_assert_cmpuint(used, ==, 1);
}

/*
 * A query is lost with its entry, which still counts as available for seconds.
 * The task must not wait for the answer for longer than leaves the time for
 * another query.
 */
static void
test_query_without_answer(void)
{
	struct query_fixture f;
	Gyp__Ask *first, *second;
	uint64_t first_entry, second_entry, asked_at;

	query_fixture_init(&f);
	first = next_query(f.fs, &f.base.now, 5, &first_entry);
	asked_at = f.base.now;
	second = next_query(f.fs, &f.base.now, 5, &second_entry);
	g_assert_nonnull(first);
	g_assert_nonnull(second);
	g_assert_cmpuint(second_entry, !=, first_entry);
	g_assert_cmpuint(f.base.now - asked_at, <=, ROOM_MS / 2);
	gyp__ask__free_unpacked(first, NULL);
	gyp__ask__free_unpacked(second, NULL);
	query_fixture_clear(&f);
}

/* Runs a round; returns the ticket of the task's start, or NULL. */
static char *
ticket_of_start(struct query_fixture *f)
{
	struct gyp_fleet_call *call;
	char *ticket = NULL;
	Gyp__Cmd *cmd;

	gyp_flow_scheduler_round(f->fs, f->base.now, 0, true);
	while ((cmd = gyp_flow_scheduler_pop_cmd(f->fs)) != NULL) {
		gyp_flows_apply(f->base.flows, f->base.now, cmd);
		gyp_message_free(cmd);
	}
	gyp_flow_scheduler_round(f->fs, f->base.now, 0, false);
	while ((call = gyp_flow_scheduler_pop_call(f->fs)) != NULL) {
		if (call->kind == GYP_FLEET_START)
			ticket = g_strdup(call->ticket);
		gyp_fleet_call_free(call);
	}
	return ticket;
}

/*
 * The answer to an overdue query is used if it comes first, and does not
 * replace that to a later query if it comes after it.
 */
static void
test_overdue_answer(gconstpointer arg)
{
	bool second_answered = GPOINTER_TO_INT(arg) != 0;
	struct query_fixture f;
	Gyp__Ask *first, *second;
	uint64_t first_entry, second_entry;
	char *ticket;

	query_fixture_init(&f);
	first = next_query(f.fs, &f.base.now, 5, &first_entry);
	second = next_query(f.fs, &f.base.now, 5, &second_entry);
	g_assert_nonnull(second);
	if (second_answered)
		allow(&f, second_entry, second, "second");
	allow(&f, first_entry, first, "first");
	ticket = ticket_of_start(&f);
	g_assert_cmpstr(ticket, ==, second_answered ? "second" : "first");
	g_free(ticket);
	gyp__ask__free_unpacked(first, NULL);
	gyp__ask__free_unpacked(second, NULL);
	query_fixture_clear(&f);
}

/* ---- Endpoints with filling work ---------------------------------------- */

/* Interval at which each endpoint ends a filling run as done, in ms. */
#define FILLING_END_MS 500

/* A serving task waits beside a stream of filling work; the queue of each. */
struct filled_case {
	uint32_t filling_priority;
	bool admission; /* of the serving task */
};

static void
end_first_filling_run(struct placer_fixture *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f->base.flows, row);
	guint i;

	for (i = 0; i < h->runs->len; i++) {
		const struct gyp_host_run *r =
		    &g_array_index(h->runs, struct gyp_host_run, i);

		if (r->flow->id == 9) {
			placer_fixture_end_run(
			    f, 9, r->task, GYP__FLOW_HOW__FLOW_DONE);
			return;
		}
	}
}

/* Ends what the last round stopped, and answers its queries. */
static void
settle_filled(struct placer_fixture *f)
{
	struct gyp_preempt_stop stop;
	guint i;

	while (gyp_placer_pop_stop(f->placer, &stop))
		placer_fixture_end_run(
		    f, stop.flow, stop.task, GYP__FLOW_HOW__FLOW_STOPPED);
	for (i = 0; i < f->queries->len; i++)
		placer_fixture_allow_all(f, f->queries->pdata[i]);
	placer_fixture_apply(f);
	placer_fixture_confirm(f);
}

/* Runs rounds while filling runs end and others start in their place. */
static void
advance_filled(struct placer_fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;
	uint32_t row;

	while (f->base.now < end &&
	       (ms == FILLING_END_MS ||
		   gyp_flow_get(f->base.flows, 1)->open == 0)) {
		placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
		settle_filled(f);
		advance(f, ROUND_MS);
		for (row = 0; row < gyp_hosts_size(f->base.flows) &&
			      f->base.now % FILLING_END_MS == 0;
		     row++)
			end_first_filling_run(f, row);
	}
}

/*
 * Filling work on all endpoints books no processor, and further filling tasks
 * start as others end. A task that serves shares no endpoint with it, and must
 * run all the same; the filling work goes on at the other endpoint.
 */
static void
test_filled_endpoints(gconstpointer arg)
{
	const struct filled_case *t = arg;
	Gyp__FlowStep serves = lasting_step(1);
	Gyp__FlowStep fills = flow_fixture_step(1000);
	const struct gyp_host *h;
	struct placer_fixture f;
	uint64_t begin;

	serves.tail_ms = 50;
	fills.fills = true;
	fills.spread = 4;
	placer_fixture_init(&f, 2);
	placer_fixture_submit(&f, 9, t->filling_priority, fills);
	advance_filled(&f, FILLING_END_MS);
	/* Filling runs have ended, and others took their place. */
	g_assert_cmpuint(gyp_flow_get(f.base.flows, 9)->units[0].left, ==, 998);
	g_assert_cmpuint(gyp_host_at(f.base.flows, 0)->filling, ==, 4);
	placer_fixture_submit(&f, 1, 1, serves);
	placer_fixture_set_queue(&f, 1, 1, t->admission, 0, 0);
	begin = f.base.now;
	advance_filled(&f, 60000);
	g_assert_cmpuint(f.base.now - begin, <=, ROOM_MS);
	advance_filled(&f, FILLING_END_MS);
	h = gyp_host_at(
	    f.base.flows, gyp_flow_get(f.base.flows, 1)->tasks[0].row);
	g_assert_cmpuint(h->serving, ==, 1);
	g_assert_cmpuint(h->filling, ==, 0);
	g_assert_cmpuint(gyp_host_at(f.base.flows, 1 - h->row)->filling, ==, 4);
	placer_fixture_clear(&f);
}

/*
 * A serving task that has just failed must not have filling work stopped: if it
 * fails at once each time, that work would never end.
 */
static void
test_failing_task_clears_nothing(void)
{
	Gyp__FlowStep serves = lasting_step(1);
	Gyp__FlowStep fills = flow_fixture_step(2);
	struct gyp_preempt_stop stop;
	struct placer_fixture f;
	uint64_t end;

	serves.tail_ms = 50;
	fills.fills = true;
	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 1, 1, serves);
	placer_fixture_submit(&f, 9, 2, fills);
	flow_fixture_start(&f.base, 9, 0, 1, 1, 0);
	placer_fixture_confirm(&f);
	end = f.base.now + 10 * GYP_CLEARING_WAIT_MS;
	while (f.base.now < end) {
		gyp_run_stats_failed(f.stats, 1, 0, 1, f.base.now);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
		advance(&f, ROUND_MS);
	}
	placer_fixture_clear(&f);
}

/* Answers the polls of the only endpoint with the runs that the tables have. */
static void
list_runs(struct placer_fixture *f)
{
	const struct gyp_host *h = gyp_host_at(f->base.flows, 0);
	GArray *up = g_array_new(FALSE, TRUE, sizeof(struct flow_fixture_run));
	struct gyp_fleet_call *call;
	bool polled = false;
	guint i;

	for (i = 0; i < h->runs->len; i++) {
		const struct gyp_host_run *r =
		    &g_array_index(h->runs, struct gyp_host_run, i);
		struct flow_fixture_run run = {.flow = r->flow->id,
		    .index = r->task,
		    .run = r->flow->tasks[r->task].run};

		g_array_append_val(up, run);
	}
	gyp_fleet_tick(f->base.fleet, f->base.now);
	/* Each answer makes another poll due. */
	while (!polled && (call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
		polled = call->kind == GYP_FLEET_POLL;
		if (polled)
			flow_fixture_answer_poll(&f->base, call, 1,
			    (struct flow_fixture_run *)up->data, up->len, NULL,
			    0);
		else if (call->kind == GYP_FLEET_START)
			flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
		else
			gyp_fleet_call_free(call);
	}
	g_array_free(up, TRUE);
}

/*
 * A serving task was allowed once, and later queries about it get no answer:
 * filling work must not be stopped for it again and again.
 */
static void
test_no_clearing_without_ticket(void)
{
	Gyp__FlowStep serves = lasting_step(1);
	Gyp__FlowStep fills = flow_fixture_step(1000);
	struct gyp_preempt_stop stop;
	struct placer_fixture f;
	guint i, k;

	serves.tail_ms = 50;
	fills.fills = true;
	fills.spread = 4;
	placer_fixture_init(&f, 1);
	placer_fixture_submit(&f, 9, 2, fills);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	settle_filled(&f);
	placer_fixture_submit(&f, 1, 1, serves);
	placer_fixture_set_queue(&f, 1, 1, true, 0, 0);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	settle_filled(&f);
	for (i = 0; i < 3000 / ROUND_MS; i++) {
		advance(&f, ROUND_MS);
		list_runs(&f);
	}
	for (i = 0; i < 30000 / ROUND_MS; i++) {
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
		for (k = 0; k < f.queries->len; k++)
			gyp_admission_drop_query(f.admission,
			    ((const Gyp__Ask *)f.queries->pdata[k])->id);
		placer_fixture_apply(&f);
		list_runs(&f);
		advance(&f, ROUND_MS);
	}
	placer_fixture_clear(&f);
}

/* ---- Load ---------------------------------------------------------------- */

static uint64_t
setting(const char *name, uint64_t usual)
{
	const char *value = g_getenv(name);

	return value != NULL ? g_ascii_strtoull(value, NULL, 10) : usual;
}

static void
run_load(struct lasting_load_config *cfg)
{
	struct lasting_load_result r;

	cfg->seed = (uint32_t)setting("GYP_SEED", 1);
	cfg->endpoints = (uint32_t)setting("GYP_ENDPOINTS", 350);
	cfg->entries = 38;
	cfg->watch_flows = (uint32_t)setting("GYP_WATCH", 10);
	cfg->load = (double)setting("GYP_LOAD", 75) / 100;
	cfg->duration_ms = setting("GYP_SECONDS", 25) * 1000;
	r = lasting_load_run(cfg);
	g_print("# seed %u waits %u longest %" G_GUINT64_FORMAT
		" ms, with room %" G_GUINT64_FORMAT
		" ms, with the same two %" G_GUINT64_FORMAT
		" ms, broken %u, refused starts %u, used %u %%\n",
	    cfg->seed, r.waits, r.longest_ms, r.longest_room_ms,
	    r.longest_two_ms, r.broken, r.refused_starts, r.used_percent);
	g_assert_cmpuint(r.broken, ==, 0);
}

static void
test_load_quiet(void)
{
	struct lasting_load_config cfg = {.seed = 0};

	run_load(&cfg);
}

static void
test_load_gone(void)
{
	struct lasting_load_config cfg = {
	    .disturbed_at = 15000, .gone = (uint32_t)setting("GYP_GONE", 30)};

	run_load(&cfg);
}

static void
test_load_failing(void)
{
	struct lasting_load_config cfg = {.disturbed_at = 15000,
	    .failing = (uint32_t)setting("GYP_FAILING", 40),
	    .failing_ms = 5000};

	run_load(&cfg);
}

static void
test_load_failing_entries(void)
{
	struct lasting_load_config cfg = {
	    .disturbed_at = 15000, .failing_entries = 3};

	run_load(&cfg);
}

static const struct filled_case less_urgent = {2, false};
static const struct filled_case more_urgent = {0, false};
static const struct filled_case queried = {2, true};

/* Entries whose answers are late, while endpoints are lost. */
static void
test_load_late_entries(void)
{
	struct lasting_load_config cfg = {.disturbed_at = 15000,
	    .gone = (uint32_t)setting("GYP_GONE", 30),
	    .late_at = 5000,
	    .late_entries = (uint32_t)setting("GYP_LATE", 12),
	    .late_ms = setting("GYP_LATE_MS", 2500)};

	run_load(&cfg);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lasting-placement/simultaneous-failures",
	    test_simultaneous_failures);
	g_test_add_func("/lasting-placement/failed-probes", test_failed_probes);
	g_test_add_func("/lasting-placement/lasting-probe", test_lasting_probe);
	g_test_add_func("/lasting-placement/many-failures-of-task",
	    test_many_failures_of_task);
	g_test_add_func(
	    "/lasting-placement/failing-endpoints", test_failing_endpoints);
	g_test_add_func("/lasting-placement/silent-endpoint-last",
	    test_silent_endpoint_last);
	g_test_add_func("/lasting-placement/silent-endpoint-used",
	    test_silent_endpoint_used);
	g_test_add_func("/lasting-placement/interrupted-task-first",
	    test_interrupted_task_first);
	g_test_add_func(
	    "/lasting-placement/longest-down-first", test_longest_down_first);
	g_test_add_func("/lasting-placement/failing-task-not-first",
	    test_failing_task_not_first);
	g_test_add_func(
	    "/lasting-placement/query-finds-memory", test_query_finds_memory);
	g_test_add_func("/lasting-placement/query-after-failed-entry",
	    test_query_after_failed_entry);
	g_test_add_func("/lasting-placement/single-entry", test_single_entry);
	g_test_add_data_func("/lasting-placement/filled-endpoints",
	    &less_urgent, test_filled_endpoints);
	g_test_add_data_func("/lasting-placement/more-urgent-filling",
	    &more_urgent, test_filled_endpoints);
	g_test_add_data_func("/lasting-placement/filled-endpoints-queried",
	    &queried, test_filled_endpoints);
	g_test_add_func("/lasting-placement/failing-task-clears-nothing",
	    test_failing_task_clears_nothing);
	g_test_add_func("/lasting-placement/no-clearing-without-ticket",
	    test_no_clearing_without_ticket);
	g_test_add_func("/lasting-placement/query-after-late-entry",
	    test_query_after_late_entry);
	g_test_add_func("/lasting-placement/query-without-answer",
	    test_query_without_answer);
	g_test_add_data_func("/lasting-placement/overdue-answer/alone",
	    GINT_TO_POINTER(0), test_overdue_answer);
	g_test_add_data_func("/lasting-placement/overdue-answer/older",
	    GINT_TO_POINTER(1), test_overdue_answer);
	g_test_add_func("/lasting-placement/load/quiet", test_load_quiet);
	g_test_add_func("/lasting-placement/load/gone", test_load_gone);
	g_test_add_func("/lasting-placement/load/failing", test_load_failing);
	g_test_add_func("/lasting-placement/load/failing-entries",
	    test_load_failing_entries);
	g_test_add_func(
	    "/lasting-placement/load/late-entries", test_load_late_entries);
	return g_test_run();
}
