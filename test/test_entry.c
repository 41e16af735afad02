#include <string.h>

#include "entry_fixture.h"
#include "replica_int.h"

#define START GYP__ORDER_TYPE__ORDER_START
#define QUERY GYP__ORDER_TYPE__ORDER_QUERY
#define STOP  GYP__ORDER_TYPE__ORDER_STOP

#define REQUEST GYP__KIND__KIND_REQUEST
#define GANG    GYP__KIND__KIND_GANG

static const struct gyp_job *
job_of(const struct entry_fixture *fx, const char *key)
{
	return gyp_state_job_by_key(gyp_replica_state(fx->replica), "t", key);
}

/* ---- Outcomes ---------------------------------------------------------- */

/* Cuts the network around a submit and gives the expected answer. */
struct late_submit_case {
	const char *name;
	uint32_t heal_ms; /* after the submit, 0 for never */
	bool cut_up;      /* before the submit */
	bool cut_down;    /* before the submit */
	bool refused;     /* answer: certainly not run */
	bool found;       /* answer: has the job */
};

static const struct late_submit_case late_submit_cases[] = {
    {"submit lost", 1500, true, false, true, false},
    {"answer lost", 1500, false, true, false, true},
    {"cut permanently", 0, true, true, false, false},
    {"answer lost permanently", 0, false, true, false, false},
};

static void
check_late_submit(const struct late_submit_case *c)
{
	struct entry_fixture *fx = entry_fixture_new();
	const struct gyp_answer *a;

	g_test_message("%s", c->name);
	fx->cut_up[0] = c->cut_up;
	fx->cut_down[0] = c->cut_down;
	entry_fixture_submit(fx, 0, "k", REQUEST, 1, false, 1000);
	entry_fixture_run(fx, c->heal_ms != 0 ? c->heal_ms : 1000);
	g_assert_null(entry_fixture_last_answer(fx, 0));
	if (c->heal_ms != 0) {
		fx->cut_up[0] = fx->cut_down[0] = false;
		gyp_entry_connected(fx->entries[0], fx->now, "127.0.0.1:1");
	}
	entry_fixture_run(fx, GYP_KEY_REFUSAL_MS + 1000);
	a = entry_fixture_last_answer(fx, 0);
	g_assert_nonnull(a);
	g_assert_true(a->final && a->sent);
	g_assert_cmpint(a->refused, ==, c->refused);
	g_assert_cmpint(
	    a->reply != NULL && a->reply->job != NULL, ==, c->found);
	g_assert_cmpint(job_of(fx, "k") != NULL, ==, !c->cut_up);
	g_assert_true(c->cut_up || !job_of(fx, "k")->cancelled);
	entry_fixture_free(fx);
}

static void
test_late_submit(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(late_submit_cases); i++)
		check_late_submit(&late_submit_cases[i]);
}

/* A submit with a refused key never runs, from any entry and at any time. */
static void
test_refused_key(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	cancel.team = "t";
	cancel.key = "k";
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	entry_fixture_call(fx, 0, &call, 1000);
	entry_fixture_run(fx, 100);
	g_assert_cmpint(entry_fixture_last_answer(fx, 0)->reply->code, ==,
	    GYP__CODE__CODE_REFUSED);
	entry_fixture_submit(fx, 1, "k", REQUEST, 1, true, 1000);
	entry_fixture_run(fx, 100);
	g_assert_cmpint(entry_fixture_last_answer(fx, 1)->reply->code, ==,
	    GYP__CODE__CODE_REFUSED);
	g_assert_null(job_of(fx, "k"));
	entry_fixture_free(fx);
}

/* Without a leader the submit is not sent, and the answer says so. */
static void
test_never_sent(void)
{
	struct entry_fixture *fx = entry_fixture_new();

	fx->cut_up[0] = fx->cut_down[0] = true;
	entry_fixture_run(fx, 3000);
	entry_fixture_submit(fx, 0, "k", REQUEST, 1, true, 1000);
	entry_fixture_run(fx, 1500);
	g_assert_nonnull(entry_fixture_last_answer(fx, 0));
	g_assert_false(entry_fixture_last_answer(fx, 0)->sent);
	entry_fixture_free(fx);
}

static void
test_lost_start_is_queried(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	int i;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "k", REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 1);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_UNKNOWN, NULL);
	for (i = 0; i < 5; i++) {
		entry_fixture_run(fx, 2000);
		entry_fixture_heartbeat(
		    fx, job_of(fx, "k")->tasks[0].endpoint, 1, 0, NULL, 0);
		g_assert_cmpuint(
		    entry_fixture_count_orders(fx, 0, START), ==, 0);
		g_assert_cmpuint(
		    entry_fixture_count_orders(fx, 1, START), ==, 0);
	}
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, QUERY), >, 0);
	entry_fixture_answer_orders(fx, 0, QUERY, GYP_ATTEMPT_DONE, "complete");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(
	    job_of(fx, "k")->outcome, ==, GYP__OUTCOME__OUTCOME_DONE);
	g_assert_cmpuint(job_of(fx, "k")->tasks[0].attempt, ==, 1);
	g_assert_cmpint(entry_fixture_last_answer(fx, 0)->reply->code, ==,
	    GYP__CODE__CODE_OK);
	entry_fixture_free(fx);
}

/*
 * The same submit through a second entry gets the same answer, and no second
 * start.
 */
static void
test_resend_elsewhere(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	int i;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "k", REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 100);
	entry_fixture_submit(fx, 1, "k", REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 100);
	entry_fixture_answer_orders(
	    fx, 0, START, GYP_ATTEMPT_DONE, "the complete answer");
	entry_fixture_run(fx, 100);
	for (i = 0; i < FIXTURE_ENTRIES; i++) {
		const struct gyp_answer *a = entry_fixture_last_answer(fx, i);
		const Gyp__CmdFinish *f = a->reply->job->finishes[0];

		g_assert_true(a->final);
		g_assert_cmpmem(f->answer.data, f->answer.len,
		    "the complete answer", strlen("the complete answer"));
	}
	g_assert_cmpuint(entry_fixture_count_orders(fx, 1, START), ==, 0);
	entry_fixture_free(fx);
}

/* Results that arrive twice, or while a later attempt runs, change nothing. */
static void
test_late_and_duplicate_results(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	struct gyp_exchange_result late = {.state = GYP_ATTEMPT_DONE,
	    .http_status = 200,
	    .answer = (const uint8_t *)"old",
	    .answer_len = 3};
	uint64_t first;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "k", REQUEST, 1, true, 60000);
	entry_fixture_run(fx, 100);
	first = ((struct gyp_exchange *)fx->exchanges[0]->pdata[0])->id;
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_FAILED, NULL);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(job_of(fx, "k")->tasks[0].attempt, ==, 2);
	gyp_entry_exchange_done(fx->entries[0], fx->now, first, &late);
	gyp_entry_exchange_done(fx->entries[0], fx->now, 123456, &late);
	entry_fixture_run(fx, 100);
	g_assert_cmpint(
	    job_of(fx, "k")->outcome, ==, GYP__OUTCOME__OUTCOME_NONE);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_DONE, "new");
	entry_fixture_run(fx, 100);
	gyp_entry_exchange_done(fx->entries[0], fx->now, first, &late);
	entry_fixture_run(fx, 100);
	g_assert_cmpmem(entry_fixture_last_answer(fx, 0)
			    ->reply->job->finishes[0]
			    ->answer.data,
	    3, "new", 3);
	entry_fixture_free(fx);
}

/*
 * A CPU limit reaches the endpoint; a checkpoint does not count as a failure.
 */
static void
test_throttle_and_checkpoint(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	const struct gyp_exchange *x;
	const struct gyp_job *job;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "k", GYP__KIND__KIND_BATCH, 1, true, 60000);
	entry_fixture_submit(
	    fx, 0, "once", GYP__KIND__KIND_BATCH, 1, false, 60000);
	entry_fixture_run(fx, 100);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_RUNNING, NULL);
	job = job_of(fx, "k");
	gyp_replica_queue_throttle(fx->replica, job, 0, 250);
	entry_fixture_run(fx, 100);
	x = fx->exchanges[0]->pdata[0];
	g_assert_cmpint(x->order->type, ==, GYP__ORDER_TYPE__ORDER_THROTTLE);
	g_assert_cmpuint(x->order->cpu_limit_milli, ==, 250);
	entry_fixture_answer_orders(
	    fx, 0, GYP__ORDER_TYPE__ORDER_THROTTLE, GYP_ATTEMPT_RUNNING, NULL);
	gyp_replica_queue_order(
	    fx->replica, job, 0, GYP__ORDER_TYPE__ORDER_CHECKPOINT);
	/*
	 * A job that is not idempotent is not checkpointed: it can't run again.
	 */
	gyp_replica_queue_order(fx->replica, job_of(fx, "once"), 0,
	    GYP__ORDER_TYPE__ORDER_CHECKPOINT);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(entry_fixture_count_orders(
			     fx, 0, GYP__ORDER_TYPE__ORDER_CHECKPOINT),
	    ==, 1);
	entry_fixture_answer_orders(fx, 0, GYP__ORDER_TYPE__ORDER_CHECKPOINT,
	    GYP_ATTEMPT_CHECKPOINTED, NULL);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(job->tasks[0].attempt, ==, 2);
	g_assert_cmpuint(job->tasks[0].failures, ==, 0);
	entry_fixture_free(fx);
}

/* ---- Gangs ------------------------------------------------------------- */

static void
fail_first_start(struct entry_fixture *fx)
{
	const struct gyp_exchange *x = fx->exchanges[0]->pdata[0];
	struct gyp_exchange_result res = {
	    .state = GYP_ATTEMPT_FAILED, .reason = "out of memory"};

	gyp_entry_exchange_done(fx->entries[0], fx->now, x->id, &res);
	g_ptr_array_remove_index(fx->exchanges[0], 0);
	entry_fixture_run(fx, 100);
}

/* When a task fails, the others are stopped and then all tasks run again. */
static void
test_gang_restarts_all_tasks(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	uint32_t i;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "g", GANG, 3, true, 600000);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 3);
	fail_first_start(fx);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, STOP), ==, 2);
	/*
	 * No task starts again while another of the same attempt of the gang
	 * may still run.
	 */
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_UNKNOWN, NULL);
	entry_fixture_run(fx, 1000);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 0);
	entry_fixture_answer_orders(fx, 0, STOP, GYP_ATTEMPT_FAILED, NULL);
	entry_fixture_run(fx, 200);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 3);
	for (i = 0; i < 3; i++)
		g_assert_cmpuint(job_of(fx, "g")->tasks[i].attempt, ==, 2);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_DONE, "ok");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(
	    job_of(fx, "g")->outcome, ==, GYP__OUTCOME__OUTCOME_DONE);
	entry_fixture_free(fx);
}

static void
test_gang_gives_up(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	const struct gyp_job *job;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "g", GANG, 3, false, 600000);
	entry_fixture_run(fx, 100);
	fail_first_start(fx);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, STOP), ==, 2);
	entry_fixture_answer_orders(fx, 0, STOP, GYP_ATTEMPT_FAILED, NULL);
	entry_fixture_run(fx, 200);
	job = job_of(fx, "g");
	g_assert_cmpint(job->outcome, ==, GYP__OUTCOME__OUTCOME_FAILED);
	g_assert_nonnull(strstr(job->reason, "out of memory"));
	entry_fixture_free(fx);
}

/* ---- Limits and draining ----------------------------------------------- */

static void
test_calls_are_bounded(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	char key[32];
	uint32_t i;

	fx->cut_up[0] = true;
	for (i = 0; i < GYP_ENTRY_CALLS_MAX + 10; i++) {
		g_snprintf(key, sizeof(key), "k%u", i);
		if (entry_fixture_submit(fx, 0, key, REQUEST, 1, true, 1000) ==
		    0)
			break;
	}
	g_assert_cmpuint(i, ==, GYP_ENTRY_CALLS_MAX);
	fx->cut_up[0] = false;
	gyp_entry_connected(fx->entries[0], fx->now, "127.0.0.1:1");
	entry_fixture_run(fx, 1000 + GYP_KEY_REFUSAL_MS);
	g_assert_cmpuint(fx->answers[0]->len, >=, GYP_ENTRY_CALLS_MAX);
	entry_fixture_free(fx);
}

/* A draining entry gets no new start and finishes its open attempts. */
static void
test_drain(void)
{
	struct entry_fixture *fx = entry_fixture_new();

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "a", REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 100);
	gyp_entry_drain(fx->entries[0]);
	entry_fixture_run(fx, 100);
	entry_fixture_submit(fx, 1, "b", REQUEST, 1, false, 60000);
	entry_fixture_submit(fx, 0, "c", REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 1);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 1, START), ==, 2);
	g_assert_cmpuint(gyp_entry_open_attempts(fx->entries[0]), ==, 1);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_DONE, "ok");
	entry_fixture_answer_orders(fx, 1, START, GYP_ATTEMPT_DONE, "ok");
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(gyp_entry_open_attempts(fx->entries[0]), ==, 0);
	g_assert_cmpuint(gyp_entry_open_calls(fx->entries[0]), ==, 0);
	entry_fixture_free(fx);
}

/*
 * Guards against an entry that never ends its shutdown: the endpoint of an
 * attempt was lost, so nothing answers the queries about it.
 */
static void
test_drain_after_lost_endpoint(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	int i;

	entry_fixture_announce(fx, "vm", 8, 1);
	entry_fixture_submit(fx, 0, "a", REQUEST, 1, false, 5000);
	entry_fixture_run(fx, 100);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_UNKNOWN, NULL);
	gyp_entry_drain(fx->entries[0]);
	for (i = 0; i < 240 && gyp_entry_open_attempts(fx->entries[0]) > 0;
	     i++) {
		entry_fixture_run(fx, 1000);
		entry_fixture_answer_orders(
		    fx, 0, QUERY, GYP_ATTEMPT_UNKNOWN, NULL);
	}
	g_assert_cmpuint(gyp_entry_open_attempts(fx->entries[0]), ==, 0);
	entry_fixture_free(fx);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/late-submit", test_late_submit);
	g_test_add_func("/entry/refused-key", test_refused_key);
	g_test_add_func("/entry/never-sent", test_never_sent);
	g_test_add_func("/entry/lost-start", test_lost_start_is_queried);
	g_test_add_func("/entry/resend-elsewhere", test_resend_elsewhere);
	g_test_add_func(
	    "/entry/late-and-duplicate", test_late_and_duplicate_results);
	g_test_add_func(
	    "/entry/throttle-checkpoint", test_throttle_and_checkpoint);
	g_test_add_func("/entry/gang-restarts", test_gang_restarts_all_tasks);
	g_test_add_func("/entry/gang-gives-up", test_gang_gives_up);
	g_test_add_func("/entry/calls-bounded", test_calls_are_bounded);
	g_test_add_func("/entry/drain", test_drain);
	g_test_add_func(
	    "/entry/drain-after-lost-endpoint", test_drain_after_lost_endpoint);
	return g_test_run();
}
