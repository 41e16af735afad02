#include <string.h>

#include "replica_int.h"
#include "world.h"

#define START GYP__ORDER_TYPE__ORDER_START
#define QUERY GYP__ORDER_TYPE__ORDER_QUERY
#define STOP  GYP__ORDER_TYPE__ORDER_STOP

#define REQUEST GYP__KIND__KIND_REQUEST
#define GANG    GYP__KIND__KIND_GANG

static const struct gyp_job *
job_of(const struct world *w, const char *key)
{
	return gyp_state_job_by_key(gyp_replica_state(w->replica), "t", key);
}

/* ---- Truth of outcomes ------------------------------------------------- */

/* What the network does to a submit, and what may be said of it. */
struct late_case {
	const char *name;
	uint32_t heal_ms; /* after the submit, 0 for never */
	bool cut_up;      /* before the submit */
	bool cut_down;    /* before the submit */
	bool refused;     /* the answer: certainly not run */
	bool found;       /* the answer: accepted */
};

static const struct late_case late_cases[] = {
    {"request lost", 1500, true, false, true, false},
    {"answer lost", 1500, false, true, false, true},
    {"cut for good", 0, true, true, false, false},
    {"answer lost for good", 0, false, true, false, false},
};

static void
check_late(const struct late_case *c)
{
	struct world *w = world_new();
	const struct gyp_answer *a;

	g_test_message("%s", c->name);
	w->cut_up[0] = c->cut_up;
	w->cut_down[0] = c->cut_down;
	world_submit(w, 0, "k", REQUEST, 1, false, 1000);
	world_run(w, c->heal_ms != 0 ? c->heal_ms : 1000);
	g_assert_null(world_answer(w, 0));
	if (c->heal_ms != 0) {
		w->cut_up[0] = w->cut_down[0] = false;
		gyp_entry_connected(w->entries[0], w->now, "127.0.0.1:1");
	}
	world_run(w, GYP_REFUSE_MS + 1000);
	a = world_answer(w, 0);
	g_assert_nonnull(a);
	g_assert_true(a->final && a->sent);
	g_assert_cmpint(a->refused, ==, c->refused);
	g_assert_cmpint(
	    a->reply != NULL && a->reply->job != NULL, ==, c->found);
	g_assert_cmpint(job_of(w, "k") != NULL, ==, !c->cut_up);
	g_assert_true(c->cut_up || !job_of(w, "k")->cancelled);
	world_free(w);
}

static void
test_late_submit(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(late_cases); i++)
		check_late(&late_cases[i]);
}

/* A refused key never runs, whoever sends it and however late. */
static void
test_refused_key(void)
{
	struct world *w = world_new();
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	cancel.team = "t";
	cancel.key = "k";
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	world_call(w, 0, &call, 1000);
	world_run(w, 100);
	g_assert_cmpint(
	    world_answer(w, 0)->reply->code, ==, GYP__CODE__CODE_REFUSED);
	world_submit(w, 1, "k", REQUEST, 1, true, 1000);
	world_run(w, 100);
	g_assert_cmpint(
	    world_answer(w, 1)->reply->code, ==, GYP__CODE__CODE_REFUSED);
	g_assert_null(job_of(w, "k"));
	world_free(w);
}

/* Without a leader nothing is sent, and that is known. */
static void
test_never_sent(void)
{
	struct world *w = world_new();

	w->cut_up[0] = w->cut_down[0] = true;
	world_run(w, 3000);
	world_submit(w, 0, "k", REQUEST, 1, true, 1000);
	world_run(w, 1500);
	g_assert_nonnull(world_answer(w, 0));
	g_assert_false(world_answer(w, 0)->sent);
	world_free(w);
}

static void
test_lost_start_is_asked(void)
{
	struct world *w = world_new();
	int i;

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "k", REQUEST, 1, false, 60000);
	world_run(w, 100);
	g_assert_cmpuint(world_count(w, 0, START), ==, 1);
	world_settle(w, 0, START, GYP_FATE_LOST, NULL);
	for (i = 0; i < 5; i++) {
		world_run(w, 2000);
		world_beat(w, job_of(w, "k")->tasks[0].endpoint, 1, 0, NULL, 0);
		g_assert_cmpuint(world_count(w, 0, START), ==, 0);
		g_assert_cmpuint(world_count(w, 1, START), ==, 0);
	}
	g_assert_cmpuint(world_count(w, 0, QUERY), >, 0);
	world_settle(w, 0, QUERY, GYP_FATE_DONE, "whole");
	world_run(w, 100);
	g_assert_cmpint(
	    job_of(w, "k")->outcome, ==, GYP__OUTCOME__OUTCOME_DONE);
	g_assert_cmpuint(job_of(w, "k")->tasks[0].attempt, ==, 1);
	g_assert_cmpint(
	    world_answer(w, 0)->reply->code, ==, GYP__CODE__CODE_OK);
	world_free(w);
}

/* Sent again through another entry while the first waits. */
static void
test_resend_elsewhere(void)
{
	struct world *w = world_new();
	int i;

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "k", REQUEST, 1, false, 60000);
	world_run(w, 100);
	world_submit(w, 1, "k", REQUEST, 1, false, 60000);
	world_run(w, 100);
	world_settle(w, 0, START, GYP_FATE_DONE, "the whole answer");
	world_run(w, 100);
	for (i = 0; i < WORLD_ENTRIES; i++) {
		const struct gyp_answer *a = world_answer(w, i);
		const Gyp__CmdFinish *f = a->reply->job->finishes[0];

		g_assert_true(a->final);
		g_assert_cmpmem(f->answer.data, f->answer.len,
		    "the whole answer", strlen("the whole answer"));
	}
	g_assert_cmpuint(world_count(w, 1, START), ==, 0);
	world_free(w);
}

/* Answers that come twice, or when another attempt runs, change nothing. */
static void
test_late_and_doubled(void)
{
	struct world *w = world_new();
	struct gyp_exchange_result late = {.fate = GYP_FATE_DONE,
	    .http_status = 200,
	    .answer = (const uint8_t *)"old",
	    .answer_len = 3};
	uint64_t first;

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "k", REQUEST, 1, true, 60000);
	world_run(w, 100);
	first = ((struct gyp_exchange *)w->exchanges[0]->pdata[0])->id;
	world_settle(w, 0, START, GYP_FATE_FAILED, NULL);
	world_run(w, 100);
	g_assert_cmpuint(job_of(w, "k")->tasks[0].attempt, ==, 2);
	gyp_entry_exchange_done(w->entries[0], w->now, first, &late);
	gyp_entry_exchange_done(w->entries[0], w->now, 123456, &late);
	world_run(w, 100);
	g_assert_cmpint(
	    job_of(w, "k")->outcome, ==, GYP__OUTCOME__OUTCOME_NONE);
	world_settle(w, 0, START, GYP_FATE_DONE, "new");
	world_run(w, 100);
	gyp_entry_exchange_done(w->entries[0], w->now, first, &late);
	world_run(w, 100);
	g_assert_cmpmem(
	    world_answer(w, 0)->reply->job->finishes[0]->answer.data, 3, "new",
	    3);
	world_free(w);
}

/* A limit reaches the endpoint; a checkpoint costs the task no retry. */
static void
test_throttle_and_checkpoint(void)
{
	struct world *w = world_new();
	const struct gyp_exchange *x;
	const struct gyp_job *job;

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "k", GYP__KIND__KIND_BATCH, 1, true, 60000);
	world_submit(w, 0, "once", GYP__KIND__KIND_BATCH, 1, false, 60000);
	world_run(w, 100);
	world_settle(w, 0, START, GYP_FATE_RUNNING, NULL);
	job = job_of(w, "k");
	gyp_replica_queue_throttle(w->replica, job, 0, 250);
	world_run(w, 100);
	x = w->exchanges[0]->pdata[0];
	g_assert_cmpint(x->order->type, ==, GYP__ORDER_TYPE__ORDER_THROTTLE);
	g_assert_cmpuint(x->order->cpu_limit_milli, ==, 250);
	world_settle(
	    w, 0, GYP__ORDER_TYPE__ORDER_THROTTLE, GYP_FATE_RUNNING, NULL);
	gyp_replica_queue_order(
	    w->replica, job, 0, GYP__ORDER_TYPE__ORDER_CHECKPOINT);
	/* What may run only once is not ended to run again. */
	gyp_replica_queue_order(w->replica, job_of(w, "once"), 0,
	    GYP__ORDER_TYPE__ORDER_CHECKPOINT);
	world_run(w, 100);
	g_assert_cmpuint(
	    world_count(w, 0, GYP__ORDER_TYPE__ORDER_CHECKPOINT), ==, 1);
	world_settle(w, 0, GYP__ORDER_TYPE__ORDER_CHECKPOINT,
	    GYP_FATE_CHECKPOINTED, NULL);
	world_run(w, 100);
	g_assert_cmpuint(job->tasks[0].attempt, ==, 2);
	g_assert_cmpuint(job->tasks[0].failures, ==, 0);
	world_free(w);
}

/* ---- Gangs ------------------------------------------------------------- */

static void
fail_first_start(struct world *w)
{
	const struct gyp_exchange *x = w->exchanges[0]->pdata[0];
	struct gyp_exchange_result res = {
	    .fate = GYP_FATE_FAILED, .reason = "out of fruit"};

	gyp_entry_exchange_done(w->entries[0], w->now, x->id, &res);
	g_ptr_array_remove_index(w->exchanges[0], 0);
	world_run(w, 100);
}

/* A task fails: the others are stopped, and then all of them run again. */
static void
test_gang_restarts_whole(void)
{
	struct world *w = world_new();
	uint32_t i;

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "g", GANG, 3, true, 600000);
	world_run(w, 100);
	g_assert_cmpuint(world_count(w, 0, START), ==, 3);
	fail_first_start(w);
	g_assert_cmpuint(world_count(w, 0, STOP), ==, 2);
	/* No task starts again while another of its round may run. */
	world_settle(w, 0, START, GYP_FATE_LOST, NULL);
	world_run(w, 1000);
	g_assert_cmpuint(world_count(w, 0, START), ==, 0);
	world_settle(w, 0, STOP, GYP_FATE_FAILED, NULL);
	world_run(w, 200);
	g_assert_cmpuint(world_count(w, 0, START), ==, 3);
	for (i = 0; i < 3; i++)
		g_assert_cmpuint(job_of(w, "g")->tasks[i].attempt, ==, 2);
	world_settle(w, 0, START, GYP_FATE_DONE, "ok");
	world_run(w, 100);
	g_assert_cmpint(
	    job_of(w, "g")->outcome, ==, GYP__OUTCOME__OUTCOME_DONE);
	world_free(w);
}

static void
test_gang_gives_up(void)
{
	struct world *w = world_new();
	const struct gyp_job *job;

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "g", GANG, 3, false, 600000);
	world_run(w, 100);
	fail_first_start(w);
	g_assert_cmpuint(world_count(w, 0, STOP), ==, 2);
	world_settle(w, 0, STOP, GYP_FATE_FAILED, NULL);
	world_run(w, 200);
	job = job_of(w, "g");
	g_assert_cmpint(job->outcome, ==, GYP__OUTCOME__OUTCOME_FAILED);
	g_assert_nonnull(strstr(job->reason, "out of fruit"));
	world_free(w);
}

/* ---- Bounds ------------------------------------------------------------ */

static void
test_calls_are_bounded(void)
{
	struct world *w = world_new();
	char key[32];
	uint32_t i;

	w->cut_up[0] = true;
	for (i = 0; i < GYP_ENTRY_CALLS_MAX + 10; i++) {
		g_snprintf(key, sizeof(key), "k%u", i);
		if (world_submit(w, 0, key, REQUEST, 1, true, 1000) == 0)
			break;
	}
	g_assert_cmpuint(i, ==, GYP_ENTRY_CALLS_MAX);
	w->cut_up[0] = false;
	gyp_entry_connected(w->entries[0], w->now, "127.0.0.1:1");
	world_run(w, 1000 + GYP_REFUSE_MS);
	g_assert_cmpuint(w->answers[0]->len, >=, GYP_ENTRY_CALLS_MAX);
	world_free(w);
}

/* An entry that drains gets no new start, and finishes what it has. */
static void
test_drain(void)
{
	struct world *w = world_new();

	world_announce(w, "vm", 8, 1);
	world_submit(w, 0, "a", REQUEST, 1, false, 60000);
	world_run(w, 100);
	gyp_entry_drain(w->entries[0]);
	world_run(w, 100);
	world_submit(w, 1, "b", REQUEST, 1, false, 60000);
	world_submit(w, 0, "c", REQUEST, 1, false, 60000);
	world_run(w, 100);
	g_assert_cmpuint(world_count(w, 0, START), ==, 1);
	g_assert_cmpuint(world_count(w, 1, START), ==, 2);
	g_assert_cmpuint(gyp_entry_open_attempts(w->entries[0]), ==, 1);
	world_settle(w, 0, START, GYP_FATE_DONE, "ok");
	world_settle(w, 1, START, GYP_FATE_DONE, "ok");
	world_run(w, 100);
	g_assert_cmpuint(gyp_entry_open_attempts(w->entries[0]), ==, 0);
	g_assert_cmpuint(gyp_entry_open_calls(w->entries[0]), ==, 0);
	world_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/late-submit", test_late_submit);
	g_test_add_func("/entry/refused-key", test_refused_key);
	g_test_add_func("/entry/never-sent", test_never_sent);
	g_test_add_func("/entry/lost-start", test_lost_start_is_asked);
	g_test_add_func("/entry/resend-elsewhere", test_resend_elsewhere);
	g_test_add_func("/entry/late-and-doubled", test_late_and_doubled);
	g_test_add_func(
	    "/entry/throttle-checkpoint", test_throttle_and_checkpoint);
	g_test_add_func("/entry/gang-restarts", test_gang_restarts_whole);
	g_test_add_func("/entry/gang-gives-up", test_gang_gives_up);
	g_test_add_func("/entry/calls-bounded", test_calls_are_bounded);
	g_test_add_func("/entry/drain", test_drain);
	return g_test_run();
}
