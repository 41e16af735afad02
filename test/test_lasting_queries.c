#include <glib.h>

#include "admission_query.h"
#include "msg.h"
#include "placer_fixture.h"

/*
 * Guards against lasting tasks that wait for the admission service although
 * endpoints have room. Endpoints have 10 processors and 10 GiB; each takes one
 * task. A query takes 585 ms, and 8.45 ms for each endpoint that it names.
 */

#define QUERY_MS 585
#define EACH_MS  8.45

/* Time of a query about as many endpoints as are cheap to name, in ms. */
#define ANSWER_MS 729

/* Time between two rounds, in ms. */
#define ROUND_MS 50

/* Endpoints that are named for a quarter of the time of the query itself. */
#define CHEAP_ENDPOINTS 17

/* Returns a step whose tasks need nine processors; the caller keeps *size. */
static Gyp__FlowStep
large_step(uint32_t count, Gyp__Res *size)
{
	Gyp__FlowStep step = flow_fixture_step(count);

	gyp__res__init(size);
	size->cpu_milli = 9000;
	step.size = size;
	return step;
}

static void
submit(struct placer_fixture *f, uint64_t id, uint32_t priority, uint32_t count,
    bool lasting)
{
	Gyp__Res size;
	Gyp__FlowStep step = large_step(count, &size);

	step.lasting = lasting;
	placer_fixture_submit(f, id, priority, step);
	placer_fixture_set_queue(f, id, priority, true, QUERY_MS, EACH_MS);
	gyp_flow_get(f->base.flows, id)->spec->queue->ticket_ms = 2500;
}

static const Gyp__Ask *
query_at(const struct placer_fixture *f, guint i)
{
	return f->queries->pdata[i];
}

/* Returns the number of endpoints named in all queries of the round. */
static size_t
count_named(const struct placer_fixture *f)
{
	size_t n = 0;
	guint i;

	for (i = 0; i < f->queries->len; i++)
		n += query_at(f, i)->n_endpoints;
	return n;
}

/* Returns the number of different endpoints among these. */
static guint
count_different(const struct placer_fixture *f)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	guint i, n;
	size_t k;

	for (i = 0; i < f->queries->len; i++) {
		for (k = 0; k < query_at(f, i)->n_endpoints; k++)
			g_hash_table_add(names, query_at(f, i)->endpoints[k]);
	}
	n = g_hash_table_size(names);
	g_hash_table_destroy(names);
	return n;
}

/*
 * The admission service does not answer. Work of the same priority must not
 * wait for room that is held for a lasting unit all the time.
 */
static void
test_room_held_without_answers(void)
{
	struct placer_fixture f;
	Gyp__Res size;
	uint64_t end;
	guint i;

	placer_fixture_init(&f, 40);
	submit(&f, 1, 1, 20, true);
	placer_fixture_submit(&f, 2, 1, large_step(40, &size));
	for (end = f.base.now + 10000; f.base.now < end;
	     f.base.now += ROUND_MS) {
		for (i = 0; i < 40; i++)
			gyp_fleet_heartbeat(
			    f.base.fleet, f.base.now, i, 1, f.base.now);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		for (i = 0; i < f.queries->len; i++)
			gyp_admission_drop_query(
			    f.admission, query_at(&f, i)->id);
		placer_fixture_apply(&f);
	}
	g_assert_cmpuint(gyp_flow_get(f.base.flows, 2)->open, ==, 40);
	placer_fixture_clear(&f);
}

/* Answers the polls of all endpoints but that one for that time. */
static void
lose_calls_to(struct placer_fixture *f, uint32_t row, uint64_t ms)
{
	uint64_t end = f->base.now + ms;
	struct gyp_fleet_call *call;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		while ((call = gyp_fleet_pop_call(f->base.fleet)) != NULL) {
			if (call->row == row)
				flow_fixture_answer(
				    &f->base, call, GYP_FLEET_LOST);
			else
				flow_fixture_answer_poll(
				    &f->base, call, 1, NULL, 0, NULL, 0);
		}
	}
}

/*
 * Rows of endpoints that left are empty. A query that named an endpoint twice
 * for them would count its room twice.
 */
static void
test_endpoint_named_once(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 10);
	gyp_fleet_departed(f.base.fleet, f.base.now, 8, 1);
	flow_fixture_commit_end(&f.base, gyp_host_name(f.base.flows, 8), 1);
	lose_calls_to(&f, 8, 2000);
	g_assert_cmpuint(gyp_hosts_count(f.base.flows), ==, 9);
	submit(&f, 1, 1, 20, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(count_named(&f), ==, 9);
	g_assert_cmpuint(count_different(&f), ==, 9);
	placer_fixture_clear(&f);
}

/* ---- Few slots ----------------------------------------------------------- */

/* Ends the first run of the flow's first task, which was started on e0. */
static void
interrupt(struct placer_fixture *f, uint64_t id)
{
	flow_fixture_start(&f->base, id, 0, 0, 1, 0);
	placer_fixture_end_run(f, id, 0, GYP__FLOW_HOW__FLOW_LAPSED);
}

/*
 * While few slots are free, the oldest interrupted units took all of them,
 * again and again, and the others had no query for seconds.
 */
static void
test_queries_take_turns(void)
{
	struct placer_fixture f;
	uint64_t id;

	placer_fixture_init(&f, 200);
	for (id = 1; id <= 2; id++) {
		submit(&f, id, 1, 20, true);
		interrupt(&f, id);
	}
	placer_fixture_run_round(&f, 3); /* two are kept for quick queries */
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(query_at(&f, 0)->flow, ==, 1);
	gyp_admission_drop_query(f.admission, query_at(&f, 0)->id);
	f.base.now += ROUND_MS;
	placer_fixture_run_round(&f, 3);
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(query_at(&f, 0)->flow, ==, 2);
	f.base.now += ROUND_MS;
	placer_fixture_run_round(&f, 4);
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(query_at(&f, 0)->flow, ==, 1);
	placer_fixture_clear(&f);
}

/*
 * Quick queries about urgent units took all free slots, round after round: an
 * interrupted unit had no query while they lasted.
 */
static void
test_slot_despite_urgent_work(void)
{
	struct placer_fixture f;
	uint64_t id;
	guint round, i, urgent = 0, lasting = 0;

	placer_fixture_init(&f, 40);
	submit(&f, 1, 1, 20, true);
	interrupt(&f, 1);
	for (id = 2; id <= 4; id++) {
		submit(&f, id, 0, 20, false);
		placer_fixture_set_queue(&f, id, 0, true, 34, 0.5);
	}
	for (round = 0; round < 4; round++) {
		placer_fixture_run_round(&f, 2);
		for (i = 0; i < f.queries->len; i++) {
			if (query_at(&f, i)->flow == 1) {
				lasting++;
				continue;
			}
			urgent++;
			gyp_admission_drop_query(
			    f.admission, query_at(&f, i)->id);
		}
		f.base.now += ROUND_MS;
	}
	g_assert_cmpuint(lasting, ==, 1);
	/* Both slots are for urgent work while the query is under way. */
	g_assert_cmpuint(urgent, ==, 7);
	placer_fixture_clear(&f);
}

/* ---- Several queries about a unit ---------------------------------------- */

/*
 * One query about as many endpoints as 20 tasks need takes more than a second,
 * while other slots are free: the tasks waited for it, and other work took the
 * room.
 */
static void
test_one_long_answer(void)
{
	struct placer_fixture f;
	guint i;

	placer_fixture_init(&f, 100);
	submit(&f, 1, 1, 20, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 4);
	for (i = 0; i < f.queries->len; i++)
		g_assert_cmpuint(
		    query_at(&f, i)->n_endpoints, ==, CHEAP_ENDPOINTS);
	g_assert_cmpuint(count_different(&f), ==, count_named(&f));
	/* The tasks that the pending queries should place need no others. */
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 0);
	placer_fixture_clear(&f);
}

/*
 * Queries about a unit of which no task waits beyond those that the pending
 * ones should place would take the slots of other units.
 */
static void
test_needless_queries(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 100);
	submit(&f, 1, 1, 7, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 2);
	placer_fixture_clear(&f);
}

/*
 * With one slot left, a short query would find less room in the same time than
 * one about all the endpoints that the tasks need.
 */
static void
test_one_slot(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 100);
	submit(&f, 1, 1, 20, true);
	placer_fixture_run_round(&f, 3); /* two are kept for quick queries */
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(count_named(&f), >, 50);
	placer_fixture_clear(&f);
}

/* Units of other work keep one query each, so that more units get a slot. */
static void
test_other_work(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 100);
	submit(&f, 1, 1, 20, false);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 1);
	g_assert_cmpuint(count_named(&f), >, 50);
	placer_fixture_clear(&f);
}

/* ---- Denials ------------------------------------------------------------- */

/* Answers the only query of the round: allows none of its endpoints. */
static void
deny_all(struct placer_fixture *f)
{
	Gyp__Advised answer = GYP__ADVISED__INIT;

	g_assert_cmpuint(f->queries->len, ==, 1);
	answer.id = query_at(f, 0)->id;
	answer.ok = true;
	gyp_admission_record_answer(f->admission, f->base.now, &answer);
}

/* The endpoint starts again under its id and answers the leader. */
static void
restart_endpoint(struct placer_fixture *f, uint64_t incarnation_start_ms)
{
	flow_fixture_add_host(&f->base, "e0", incarnation_start_ms);
	flow_fixture_contact_all(&f->base);
	g_assert_true(gyp_fleet_usable(f->base.fleet, 0));
}

/*
 * The only endpoint is denied and starts again, perhaps as one of another kind.
 * The denial was for its earlier incarnation: it must be asked about again, and
 * so must one that restarts while a query is under way.
 */
static void
test_denied_before_restart(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	submit(&f, 1, 1, 1, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	deny_all(&f);
	f.base.now += 1000;
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 0);
	restart_endpoint(&f, 2);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 1);
	restart_endpoint(&f, 3);
	deny_all(&f);
	f.base.now += 100;
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	deny_all(&f);
	f.base.now += 100;
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 0);
	placer_fixture_clear(&f);
}

/* ---- Room while a query is under way ------------------------------------- */

/* Submits tasks of that priority that need no admission, for all endpoints. */
static void
submit_rival(struct placer_fixture *f, uint32_t priority, bool lasting)
{
	submit(f, 2, priority, 40, lasting);
	placer_fixture_set_queue(f, 2, priority, false, 0, 0);
}

/* Runs a round; returns the number of tasks of the flow that it starts. */
static size_t
start(struct placer_fixture *f, uint64_t flow)
{
	size_t n = 0;
	guint i;

	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	for (i = 0; i < f->cmds->len; i++) {
		if (placer_fixture_start(f, i)->flow == flow)
			n += placer_fixture_start(f, i)->n_runs;
	}
	placer_fixture_apply(f);
	return n;
}

/*
 * Answers the queries of the round: allows every third endpoint, as many as the
 * service is expected to allow.
 */
static void
allow_a_third(struct placer_fixture *f)
{
	guint i, k;

	for (i = 0; i < f->queries->len; i++) {
		Gyp__Ask *query = f->queries->pdata[i];
		Gyp__Advised answer = GYP__ADVISED__INIT;
		Gyp__Ticket tickets[100], *list[100];

		answer.id = query->id;
		answer.ok = true;
		answer.valid_ms = 2500;
		answer.tickets = list;
		for (k = 0; k < query->n_endpoints; k += 3) {
			Gyp__Ticket *t = &tickets[answer.n_tickets];

			gyp__ticket__init(t);
			t->endpoint = query->endpoints[k];
			t->ticket = "t";
			list[answer.n_tickets++] = t;
		}
		gyp_admission_record_answer(f->admission, f->base.now, &answer);
	}
}

/*
 * Less urgent work took all room at the endpoints named while the query about a
 * lasting task was under way, each time anew.
 */
static void
test_room_taken_by_batch(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 40);
	submit(&f, 1, 1, 5, true);
	submit_rival(&f, 2, false);
	g_assert_cmpuint(start(&f, 2), ==, 25);
	allow_a_third(&f);
	g_assert_cmpuint(start(&f, 1), ==, 5);
	placer_fixture_clear(&f);
}

/*
 * The same for endpoints whose tickets have expired, all of which are allowed,
 * and younger work of the same rank that does not last.
 */
static void
test_room_taken_before_renewal(void)
{
	struct placer_fixture f;
	guint i;

	placer_fixture_init(&f, 40);
	submit(&f, 1, 1, 5, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, ==, 1);
	allow_a_third(&f);
	f.base.now += 3000;
	for (i = 0; i < 40; i++)
		gyp_fleet_heartbeat(f.base.fleet, f.base.now, i, 1, f.base.now);
	submit_rival(&f, 1, false);
	g_assert_cmpuint(start(&f, 2), ==, 35);
	for (i = 0; i < f.queries->len; i++)
		placer_fixture_allow_all(&f, f.queries->pdata[i]);
	g_assert_cmpuint(start(&f, 1), ==, 5);
	placer_fixture_clear(&f);
}

/*
 * Room is not held against more urgent work, nor against other lasting tasks
 * that could start at once.
 */
static void
test_room_held_against_others(void)
{
	static const struct {
		uint32_t priority;
		bool lasting;
	} rivals[] = {{0, false}, {0, true}, {1, true}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rivals); i++) {
		struct placer_fixture f;

		placer_fixture_init(&f, 40);
		submit(&f, 1, 1, 5, true);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		submit_rival(&f, rivals[i].priority, rivals[i].lasting);
		g_assert_cmpuint(start(&f, 2), ==, 40);
		placer_fixture_clear(&f);
	}
}

/* No run is stopped at an endpoint that the service may not allow. */
static void
test_stops_where_not_allowed(void)
{
	struct placer_fixture f;
	struct gyp_preempt_stop stop;
	Gyp__Res size;
	Gyp__FlowStep batch = large_step(39, &size);

	batch.checkpoints = true;
	placer_fixture_init(&f, 40);
	placer_fixture_submit(&f, 2, 2, batch);
	g_assert_cmpuint(start(&f, 2), ==, 39);
	placer_fixture_confirm(&f);
	submit(&f, 1, 1, 5, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.queries->len, >, 0);
	g_assert_false(gyp_placer_pop_stop(f.placer, &stop));
	placer_fixture_clear(&f);
}

/* ---- Endpoints that are gone --------------------------------------------- */

/* Answers the polls of all endpoints but one with their runs. */
static void
answer_polls(struct placer_fixture *f, uint32_t silent_row)
{
	struct gyp_fleet_call *call;
	uint32_t answers;

	/* Each answer is followed by the next poll at once. */
	for (answers = 0; answers < gyp_hosts_size(f->base.flows); answers++) {
		struct flow_fixture_run running[2];
		const struct gyp_host *h;
		guint i, n;

		call = flow_fixture_next_call(&f->base, GYP_FLEET_POLL);
		if (call == NULL)
			return;
		h = gyp_host_at(f->base.flows, call->row);
		n = h->runs->len;
		g_assert_cmpuint(n, <=, G_N_ELEMENTS(running));
		if (call->row == silent_row) {
			if (f->silent_is_replaced)
				flow_fixture_answer(
				    &f->base, call, GYP_FLEET_WRONG_ENDPOINT);
			else
				gyp_fleet_call_free(call);
			continue;
		}
		for (i = 0; i < n; i++) {
			const struct gyp_host_run *r =
			    &g_array_index(h->runs, struct gyp_host_run, i);

			running[i].flow = r->flow->id;
			running[i].index = r->task;
			running[i].run = r->flow->tasks[r->task].run;
		}
		flow_fixture_answer_poll(
		    &f->base, call, 1, running, n, NULL, 0);
	}
}

/* Advances the time by one round; one endpoint stays silent. */
static void
advance(struct placer_fixture *f, uint32_t silent_row)
{
	uint32_t row;

	flow_fixture_advance(&f->base, ROUND_MS);
	answer_polls(f, silent_row);
	for (row = 0; row < gyp_hosts_size(f->base.flows); row++) {
		if (row != silent_row)
			gyp_fleet_heartbeat(
			    f->base.fleet, f->base.now, row, 1, f->base.now);
	}
}

/* Starts and confirms a lasting flow of ten tasks; returns one's endpoint. */
static uint32_t
run_lasting_flow(struct placer_fixture *f)
{
	guint i;

	submit(f, 1, 1, 10, true);
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	for (i = 0; i < f->queries->len; i++)
		placer_fixture_allow_all(f, f->queries->pdata[i]);
	g_assert_cmpuint(start(f, 1), ==, 10);
	placer_fixture_confirm(f);
	return gyp_flow_get(f->base.flows, 1)->tasks[3].row;
}

/* The queries of the round about other flows than the first get no answer. */
static void
drop_other_queries(struct placer_fixture *f)
{
	guint i;

	for (i = f->queries->len; i-- > 0;) {
		if (query_at(f, i)->flow == 1)
			continue;
		gyp_admission_drop_query(f->admission, query_at(f, i)->id);
		g_ptr_array_remove_index(f->queries, i);
	}
}

/* What is seen of a task on an endpoint that is silent from now on. */
struct restart {
	uint64_t replaced_ms; /* until another one has its address; 0: never */
	uint64_t rival_ms;    /* until other work comes for all endpoints */
	uint64_t ended_ms;    /* until the end of the lost run is committed */
	uint64_t waited_ms;   /* from then to the next start */
	uint64_t queried_ms;  /* from the first query to that end */
	guint queries;
};

/*
 * Runs rounds until the task has another run, and answers each query when it
 * would be.
 */
static void
wait_for_restart(
    struct placer_fixture *f, uint32_t silent_row, struct restart *r)
{
	const struct gyp_flow *flow = gyp_flow_get(f->base.flows, 1);
	GPtrArray *queries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)gyp_message_free);
	uint64_t answer_at = 0, queried_at = 0, ended_at = 0, began;
	guint i;

	for (began = f->base.now; f->base.now < began + 20000;) {
		advance(f, silent_row);
		f->silent_is_replaced = r->replaced_ms != 0 &&
					f->base.now >= began + r->replaced_ms;
		if (r->rival_ms != 0 && f->base.now == began + r->rival_ms)
			submit_rival(f, 2, false);
		if (flow->open < 10 && ended_at == 0)
			ended_at = f->base.now;
		if (queries->len > 0 && f->base.now >= answer_at) {
			for (i = 0; i < queries->len; i++)
				placer_fixture_allow_all(f, queries->pdata[i]);
			g_ptr_array_set_size(queries, 0);
		}
		if (start(f, 1) > 0)
			break;
		drop_other_queries(f);
		while (f->queries->len > 0) {
			if (queries->len == 0)
				answer_at = f->base.now + ANSWER_MS;
			if (queried_at == 0)
				queried_at = f->base.now;
			r->queries++;
			g_ptr_array_add(
			    queries, g_ptr_array_steal_index(f->queries, 0));
		}
	}
	g_ptr_array_free(queries, TRUE);
	g_assert_cmpuint(ended_at, >, 0);
	g_assert_cmpuint(queried_at, >, 0);
	r->ended_ms = ended_at - began;
	r->queried_ms = ended_at - MIN(ended_at, queried_at);
	r->waited_ms = f->base.now - ended_at;
}

/*
 * The admission service was queried only when the lease of an endpoint that was
 * gone was over: its lasting tasks then waited for the answer.
 */
static void
test_query_after_lease(void)
{
	struct placer_fixture f;
	struct restart r = {.replaced_ms = 0};

	placer_fixture_init(&f, 60);
	wait_for_restart(&f, run_lasting_flow(&f), &r);
	g_assert_cmpuint(r.waited_ms, <=, ROUND_MS);
	g_assert_cmpuint(r.queried_ms, >=, ANSWER_MS);
	/* Once in the silence, and once for tickets that outlast the lease. */
	g_assert_cmpuint(r.queries, <=, 2);
	placer_fixture_clear(&f);
}

/*
 * In a full service the slow queries about less urgent units took all slots but
 * those kept for quick ones, and none was left for the tasks of an endpoint
 * that was gone until its lease was over.
 */
static void
test_query_after_lease_in_full_service(void)
{
	struct placer_fixture f;
	struct restart r = {.replaced_ms = 0};
	uint64_t id;
	uint32_t row;

	placer_fixture_init(&f, 60);
	row = run_lasting_flow(&f);
	for (id = 2; id <= 12; id++)
		submit(&f, id, 2, 20, false);
	wait_for_restart(&f, row, &r);
	g_assert_cmpuint(r.waited_ms, <=, ROUND_MS);
	g_assert_cmpuint(r.queried_ms, >=, ANSWER_MS);
	placer_fixture_clear(&f);
}

/*
 * A silent endpoint was known to have ended well before its lease would have
 * been over. Its tasks were queried about only a fixed time before that.
 */
static void
test_query_after_early_end(void)
{
	struct placer_fixture f;
	struct restart r = {.replaced_ms = 2500};
	uint32_t row;
	guint i;

	placer_fixture_init(&f, 60);
	row = run_lasting_flow(&f);
	for (i = 0; i < 2000 / ROUND_MS; i++)
		advance(&f, UINT32_MAX);
	wait_for_restart(&f, row, &r);
	g_assert_cmpuint(r.ended_ms, <, 4000);
	g_assert_cmpuint(r.waited_ms, <=, ROUND_MS);
	g_assert_cmpuint(r.queries, ==, 1);
	placer_fixture_clear(&f);
}

/*
 * An endpoint is silent, but its lease runs for seconds yet: it may only be cut
 * off. Room was held for its tasks all that time, and other work had none.
 */
static void
test_room_held_in_silence(void)
{
	struct placer_fixture f;
	uint32_t row;

	placer_fixture_init(&f, 40);
	row = run_lasting_flow(&f);
	while (!gyp_fleet_is_silent(f.base.fleet, row, 2000))
		advance(&f, row);
	submit_rival(&f, 2, false);
	g_assert_cmpuint(start(&f, 2), ==, 30);
	placer_fixture_clear(&f);
}

/*
 * Two units have a task each on an endpoint that is gone. While a single slot
 * is free, the older one took it again and again.
 */
static void
test_lost_units_take_turns(void)
{
	Gyp__FlowStep step = flow_fixture_step(1);
	struct placer_fixture f;
	uint64_t id;

	step.lasting = true;
	placer_fixture_init(&f, 60);
	for (id = 1; id <= 2; id++) {
		placer_fixture_submit(&f, id, 1, step);
		placer_fixture_set_queue(&f, id, 1, true, QUERY_MS, EACH_MS);
		flow_fixture_start(&f.base, id, 0, 0, 1, 0);
	}
	placer_fixture_confirm(&f);
	while (!gyp_fleet_is_silent(f.base.fleet, 0, 2000))
		advance(&f, 0);
	for (id = 1; id <= 2; id++) {
		placer_fixture_run_round(&f, 3); /* two are for quick ones */
		g_assert_cmpuint(f.queries->len, ==, 1);
		g_assert_cmpuint(query_at(&f, 0)->flow, ==, id);
		gyp_admission_drop_query(f.admission, query_at(&f, 0)->id);
		advance(&f, 0);
	}
	placer_fixture_clear(&f);
}

/*
 * Less urgent work took the room at the endpoints allowed while the lease of an
 * endpoint that was gone ran out.
 */
static void
test_room_taken_before_end(void)
{
	struct placer_fixture f;
	struct restart r = {.rival_ms = 5000};

	placer_fixture_init(&f, 40);
	wait_for_restart(&f, run_lasting_flow(&f), &r);
	g_assert_cmpuint(r.waited_ms, <=, ROUND_MS);
	g_assert_cmpuint(gyp_flow_get(f.base.flows, 2)->open, >=, 25);
	placer_fixture_clear(&f);
}

/*
 * More urgent work was allowed at the only endpoint, its ticket is over, and
 * queries about it get no answer any more. The room must not be reserved for it
 * for good: a lasting task that needs no query must start.
 */
static void
test_reserved_without_answers(void)
{
	struct placer_fixture f;
	guint i, k;

	placer_fixture_init(&f, 1);
	submit(&f, 1, 0, 1, false);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	placer_fixture_allow_all(&f, query_at(&f, 0));
	f.base.now += 3000; /* longer than the ticket is valid */
	submit_rival(&f, 1, true);
	for (i = 0;
	     i < 3000 / ROUND_MS && gyp_flow_get(f.base.flows, 2)->open == 0;
	     i++) {
		f.base.now += ROUND_MS;
		gyp_fleet_heartbeat(f.base.fleet, f.base.now, 0, 1, f.base.now);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		placer_fixture_apply(&f);
		for (k = 0; k < f.queries->len; k++)
			gyp_admission_drop_query(
			    f.admission, query_at(&f, k)->id);
	}
	g_assert_cmpuint(gyp_flow_get(f.base.flows, 2)->open, ==, 1);
	placer_fixture_clear(&f);
}

/* ---- Overdue queries ----------------------------------------------------- */

/* Sends a query about the only unit, and another one once it is overdue. */
static uint64_t
query_twice(struct placer_fixture *f)
{
	uint64_t first;

	placer_fixture_init(f, 1);
	submit(f, 1, 1, 1, true);
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	first = query_at(f, 0)->id;
	gyp_admission_query_overdue(f->admission, first);
	f->base.now += ROUND_MS;
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f->queries->len, ==, 1);
	return first;
}

/* Its claims were removed when it was overdue: not again with the flow. */
static void
test_forget_overdue(void)
{
	struct placer_fixture f;

	query_twice(&f);
	gyp_admission_forget_flow(f.admission, gyp_flow_get(f.base.flows, 1));
	placer_fixture_clear(&f);
}

/* An overdue query that is closed after the answer to a later one. */
static void
test_overdue_after_answer(void)
{
	struct placer_fixture f;
	uint64_t first = query_twice(&f);
	const struct gyp_flow *flow = gyp_flow_get(f.base.flows, 1);

	placer_fixture_allow_all(&f, query_at(&f, 0));
	gyp_admission_drop_query(f.admission, first);
	g_assert_false(gyp_admission_query_failed(
	    gyp_admission_unit(f.admission, flow, &flow->units[0])));
	placer_fixture_clear(&f);
}

/* Entries that answer nothing must not all be taken up by one unit. */
static void
test_overdue_are_bounded(void)
{
	struct placer_fixture f;
	guint i, k, sent = 0;

	placer_fixture_init(&f, 40);
	submit(&f, 1, 1, 20, true);
	for (i = 0; i < 20; i++) {
		guint row;

		for (row = 0; row < 40; row++)
			gyp_fleet_heartbeat(
			    f.base.fleet, f.base.now, row, 1, f.base.now);
		placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
		for (k = 0; k < f.queries->len; k++)
			gyp_admission_query_overdue(
			    f.admission, query_at(&f, k)->id);
		sent += f.queries->len;
		f.base.now += ROUND_MS;
	}
	g_assert_cmpuint(sent, <=, 2 * GYP_LASTING_QUERIES_MAX);
	placer_fixture_clear(&f);
}

/* The answer is about the incarnation that the query named, not the next. */
static void
test_restart_before_answer(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	submit(&f, 1, 1, 1, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	restart_endpoint(&f, 2);
	placer_fixture_allow_all(&f, query_at(&f, 0));
	f.base.now += ROUND_MS;
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 0);
	g_assert_cmpuint(f.queries->len, ==, 1);
	placer_fixture_clear(&f);
}

/* ---- Several leaders ------------------------------------------------------
 */

/* A term that ends before a query is answered, in ms. */
#define SHORT_TERM_MS 600

/* A query under way. */
struct sent_query {
	uint64_t due;
	Gyp__Ask *query;
};

static void
allow_first(struct placer_fixture *f, const Gyp__Ask *query)
{
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket ticket = GYP__TICKET__INIT, *tickets[] = {&ticket};

	ticket.endpoint = query->endpoints[0];
	ticket.ticket = "t";
	answer.id = query->id;
	answer.ok = true;
	answer.valid_ms = 2500;
	answer.n_tickets = 1;
	answer.tickets = tickets;
	answer.flow = query->flow;
	answer.time = query->time;
	answer.step = query->step;
	gyp_admission_record_answer(f->admission, f->base.now, &answer);
}

static void
send_queries(struct placer_fixture *f, GQueue *sent)
{
	guint i;

	for (i = 0; i < f->queries->len; i++) {
		const Gyp__Ask *query = query_at(f, i);
		struct sent_query *s = g_new0(struct sent_query, 1);

		s->due =
		    f->base.now +
		    (uint64_t)(QUERY_MS + EACH_MS * (double)query->n_endpoints);
		s->query = gyp_message_copy(&query->base);
		g_queue_push_tail(sent, s);
	}
}

static void
answer_queries(struct placer_fixture *f, GQueue *sent)
{
	struct sent_query *s;

	while ((s = g_queue_peek_head(sent)) != NULL && f->base.now >= s->due) {
		allow_first(f, s->query);
		gyp_message_free(s->query);
		g_free(g_queue_pop_head(sent));
	}
}

static void
free_sent(gpointer p)
{
	struct sent_query *s = p;

	gyp_message_free(s->query);
	g_free(s);
}

/*
 * Guards against a task that waits while leaders follow each other, because
 * each of them drops the answer to the query of the one before.
 */
static void
test_answers_over_terms(void)
{
	struct placer_fixture f;
	GQueue sent = G_QUEUE_INIT;
	const struct gyp_flow *flow;
	uint64_t since, term_end, fence = 1;

	placer_fixture_init(&f, 2);
	submit(&f, 1, 1, 1, true);
	flow = gyp_flow_get(f.base.flows, 1);
	since = f.base.now;
	while (flow->open == 0 && f.base.now < since + 10000) {
		placer_fixture_new_leader(&f, fence++ << 32);
		term_end = f.base.now + SHORT_TERM_MS;
		flow_fixture_contact_all(&f.base);
		while (f.base.now < term_end) {
			answer_queries(&f, &sent);
			placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
			send_queries(&f, &sent);
			placer_fixture_apply(&f);
			f.base.now += ROUND_MS;
		}
	}
	g_assert_cmpuint(f.base.now - since, <=, 2 * SHORT_TERM_MS);
	g_queue_clear_full(&sent, free_sent);
	placer_fixture_clear(&f);
}

/* The only endpoint and the only unit. */
static enum gyp_admission_state
only_state(const struct placer_fixture *f)
{
	struct gyp_flow *flow = gyp_flow_get(f->base.flows, 1);

	return gyp_admission_state(f->admission,
	    gyp_admission_unit(f->admission, flow, &flow->units[0]), 0,
	    f->base.now);
}

/*
 * The earlier leader may have asked about the incarnation before: its ticket
 * would be refused.
 */
static void
test_restart_before_earlier_answer(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	submit(&f, 1, 1, 1, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	restart_endpoint(&f, 2);
	placer_fixture_new_leader(&f, 1ULL << 32);
	allow_first(&f, query_at(&f, 0));
	g_assert_cmpint(only_state(&f), ==, GYP_ADMISSION_UNKNOWN);
	placer_fixture_clear(&f);
}

/* An answer may have waited for the election, while its tickets grew old. */
static void
test_earlier_answer_held(void)
{
	struct placer_fixture f;

	placer_fixture_init(&f, 1);
	submit(&f, 1, 1, 1, true);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	gyp_admission_free(f.admission);
	f.admission = gyp_admission_new(f.base.flows, 1ULL << 32, 2000);
	allow_first(&f, query_at(&f, 0));
	g_assert_cmpint(only_state(&f), ==, GYP_ADMISSION_ALLOWED);
	f.base.now += 500;
	g_assert_cmpint(only_state(&f), ==, GYP_ADMISSION_EXPIRED);
	placer_fixture_clear(&f);
}

/* ---- The first query of a round ------------------------------------------ */

/* Runs rounds whose queries fail; counts those about each of two flows. */
static void
count_queries(struct placer_fixture *f, uint32_t slots, guint endpoints,
    uint64_t counted, guint *n)
{
	guint i, k, row;

	for (i = 0; i < 200; i++) {
		for (row = 0; row < endpoints; row++)
			gyp_fleet_heartbeat(
			    f->base.fleet, f->base.now, row, 1, f->base.now);
		placer_fixture_run_round(f, slots);
		for (k = 0; k < f->queries->len; k++) {
			*n += query_at(f, k)->flow == counted;
			gyp_admission_drop_query(
			    f->admission, query_at(f, k)->id);
		}
		f->base.now += ROUND_MS;
	}
}

/* Books half of each endpoint for a running task of priority 0. */
static void
fill_half(struct placer_fixture *f, guint endpoints)
{
	Gyp__Res size;
	Gyp__FlowStep step = large_step(endpoints, &size);
	guint i;

	size.cpu_milli = 5000;
	placer_fixture_submit(f, 9, 0, step);
	for (i = 0; i < endpoints; i++)
		flow_fixture_start(&f->base, 9, i, i, 1, i);
}

/* An interrupted task that has room nowhere takes no slot from other work. */
static void
test_first_without_room(void)
{
	Gyp__Res size;
	Gyp__FlowStep big = large_step(1, &size);
	struct placer_fixture f;
	guint urgent = 0;

	placer_fixture_init(&f, 1);
	big.lasting = true;
	placer_fixture_submit(&f, 1, 1, big);
	placer_fixture_set_queue(&f, 1, 1, true, QUERY_MS, EACH_MS);
	interrupt(&f, 1);
	fill_half(&f, 1);
	placer_fixture_submit(&f, 2, 0, flow_fixture_step(1));
	placer_fixture_set_queue(&f, 2, 0, true, 34, 0.5);
	count_queries(&f, 1, 1, 2, &urgent);
	g_assert_cmpuint(urgent, >, 0);
	placer_fixture_clear(&f);
}

/* Nor does it keep another interrupted task from the first query. */
static void
test_first_with_room(void)
{
	Gyp__Res size;
	Gyp__FlowStep big = large_step(1, &size);
	struct placer_fixture f;
	guint second = 0, i;
	uint64_t id;

	placer_fixture_init(&f, 40);
	size.cpu_milli = 10000; /* a whole endpoint */
	big.lasting = true;
	placer_fixture_submit(&f, 1, 1, big);
	placer_fixture_set_queue(&f, 1, 1, true, QUERY_MS, EACH_MS);
	interrupt(&f, 1);
	submit(&f, 2, 1, 1, true);
	interrupt(&f, 2);
	placer_fixture_submit(&f, 9, 0, flow_fixture_step(40));
	for (i = 0; i < 40; i++)
		flow_fixture_start(&f.base, 9, i, i, 1, i);
	for (id = 3; id <= 5; id++) {
		submit(&f, id, 0, 20, false);
		placer_fixture_set_queue(&f, id, 0, true, 34, 0.5);
	}
	count_queries(&f, 2, 40, 2, &second);
	g_assert_cmpuint(second, >, 0);
	placer_fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lasting-queries/room-held-without-answers",
	    test_room_held_without_answers);
	g_test_add_func(
	    "/lasting-queries/endpoint-named-once", test_endpoint_named_once);
	g_test_add_func(
	    "/lasting-queries/queries-take-turns", test_queries_take_turns);
	g_test_add_func("/lasting-queries/slot-despite-urgent-work",
	    test_slot_despite_urgent_work);
	g_test_add_func(
	    "/lasting-queries/one-long-answer", test_one_long_answer);
	g_test_add_func(
	    "/lasting-queries/needless-queries", test_needless_queries);
	g_test_add_func(
	    "/lasting-queries/answers-over-terms", test_answers_over_terms);
	g_test_add_func("/lasting-queries/restart-before-earlier-answer",
	    test_restart_before_earlier_answer);
	g_test_add_func(
	    "/lasting-queries/earlier-answer-held", test_earlier_answer_held);
	g_test_add_func("/lasting-queries/one-slot", test_one_slot);
	g_test_add_func("/lasting-queries/other-work", test_other_work);
	g_test_add_func("/lasting-queries/denied-before-restart",
	    test_denied_before_restart);
	g_test_add_func(
	    "/lasting-queries/room-taken-by-batch", test_room_taken_by_batch);
	g_test_add_func("/lasting-queries/room-taken-before-renewal",
	    test_room_taken_before_renewal);
	g_test_add_func("/lasting-queries/reserved-without-answers",
	    test_reserved_without_answers);
	g_test_add_func("/lasting-queries/forget-overdue", test_forget_overdue);
	g_test_add_func(
	    "/lasting-queries/overdue-after-answer", test_overdue_after_answer);
	g_test_add_func(
	    "/lasting-queries/overdue-are-bounded", test_overdue_are_bounded);
	g_test_add_func("/lasting-queries/restart-before-answer",
	    test_restart_before_answer);
	g_test_add_func(
	    "/lasting-queries/first-without-room", test_first_without_room);
	g_test_add_func(
	    "/lasting-queries/first-with-room", test_first_with_room);
	g_test_add_func("/lasting-queries/room-held-against-others",
	    test_room_held_against_others);
	g_test_add_func("/lasting-queries/stops-where-not-allowed",
	    test_stops_where_not_allowed);
	g_test_add_func(
	    "/lasting-queries/query-after-lease", test_query_after_lease);
	g_test_add_func("/lasting-queries/query-after-lease-in-full-service",
	    test_query_after_lease_in_full_service);
	g_test_add_func("/lasting-queries/query-after-early-end",
	    test_query_after_early_end);
	g_test_add_func(
	    "/lasting-queries/room-held-in-silence", test_room_held_in_silence);
	g_test_add_func("/lasting-queries/lost-units-take-turns",
	    test_lost_units_take_turns);
	g_test_add_func("/lasting-queries/room-taken-before-end",
	    test_room_taken_before_end);
	return g_test_run();
}
