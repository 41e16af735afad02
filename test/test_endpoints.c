#include "entry_fixture.h"
#include "leases.h"

#define START GYP__ORDER_TYPE__ORDER_START
#define QUERY GYP__ORDER_TYPE__ORDER_QUERY

/* Tasks of the job of start_tasks(); the endpoint has a slot for each. */
#define TASK_COUNT 200

/*
 * Completes a second after entry_fixture_heartbeat(), which advances the time
 * by 100 ms.
 */
#define HEARTBEAT_REST_MS 900

static const struct gyp_job *
job_of(const struct entry_fixture *fx, const char *key)
{
	return gyp_state_job_by_key(gyp_replica_state(fx->replica), "t", key);
}

/* ---- Lease table ------------------------------------------------------- */

/*
 * A new leader takes a silent endpoint's lease as expired only after a whole
 * lease.
 */
static void
test_new_leader_waits(void)
{
	struct gyp_leases *l = gyp_leases_new(5000);
	uint64_t not_after;

	gyp_leases_reset(l, 1000);
	g_assert_false(gyp_leases_expired(l, 7, gyp_lease_expiry(1000, 5000)));
	g_assert_true(
	    gyp_leases_expired(l, 7, gyp_lease_expiry(1000, 5000) + 1));
	g_assert_false(gyp_leases_not_after(l, 7, 1000, 2000, &not_after));
	gyp_leases_renew(l, 7, 2000, 100000);
	g_assert_true(gyp_leases_not_after(l, 7, 2500, 2000, &not_after));
	g_assert_cmpuint(not_after, ==, 102500);
	g_assert_true(gyp_leases_not_after(l, 7, 6500, 2000, &not_after));
	g_assert_cmpuint(not_after, ==, 105000);
	g_assert_false(gyp_leases_not_after(l, 7, 7000, 2000, &not_after));
	gyp_leases_free(l);
}

/* ---- Lists of running attempts ----------------------------------------- */

static Gyp__Attempt *
attempts_of(const struct gyp_job *job)
{
	Gyp__Attempt *list = g_new(Gyp__Attempt, job->n_tasks);
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		gyp__attempt__init(&list[i]);
		list[i].job = job->id;
		list[i].task = i;
		list[i].attempt = job->tasks[i].attempt;
	}
	return list;
}

static uint64_t
start_tasks(struct entry_fixture *fx)
{
	uint64_t ep = entry_fixture_announce(fx, "vm", TASK_COUNT, 1);

	entry_fixture_submit(
	    fx, 0, "k", GYP__KIND__KIND_BATCH, TASK_COUNT, true, 600000);
	entry_fixture_run(fx, 200);
	g_assert_cmpuint(
	    entry_fixture_count_orders(fx, 0, START), ==, TASK_COUNT);
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_RUNNING, NULL);
	return ep;
}

/* Answers the waiting queries of both entries; returns their number. */
static guint
answer_queries(struct entry_fixture *fx, enum gyp_attempt_state state)
{
	guint n = entry_fixture_count_orders(fx, 0, QUERY) +
		  entry_fixture_count_orders(fx, 1, QUERY);

	entry_fixture_answer_orders(fx, 0, QUERY, state, NULL);
	entry_fixture_answer_orders(fx, 1, QUERY, state, NULL);
	return n;
}

/* Sends heartbeats and returns the number of queries; none is answered. */
static guint
count_queries(
    struct entry_fixture *fx, uint64_t ep, uint32_t list, uint32_t beats)
{
	uint32_t i;
	guint n = 0;

	for (i = 0; i < beats; i++) {
		entry_fixture_heartbeat(fx, ep, 1, list, NULL, 0);
		entry_fixture_run(fx, HEARTBEAT_REST_MS);
		n += answer_queries(fx, GYP_ATTEMPT_UNKNOWN);
	}
	return n;
}

/*
 * After a restart of their entry, attempts in the endpoint's list are not
 * queried.
 */
static void
test_no_query_storm(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	uint64_t ep = start_tasks(fx);
	Gyp__Attempt *list = attempts_of(job_of(fx, "k"));

	entry_fixture_heartbeat(fx, ep, 1, 1, list, TASK_COUNT);
	entry_fixture_restart_entry(fx, 0);
	g_assert_cmpuint(count_queries(fx, ep, 1, 60), ==, 0);
	g_assert_cmpuint(job_of(fx, "k")->n_placed, ==, TASK_COUNT);

	/* An attempt missing from the list is queried at growing intervals. */
	entry_fixture_heartbeat(fx, ep, 1, 2, list, TASK_COUNT - 1);
	g_assert_cmpuint(count_queries(fx, ep, 2, 62), ==, 5);

	/*
	 * It is started again once the endpoint answers that it never started.
	 */
	while (answer_queries(fx, GYP_ATTEMPT_NOT_STARTED) == 0) {
		entry_fixture_heartbeat(fx, ep, 1, 2, NULL, 0);
		entry_fixture_run(fx, HEARTBEAT_REST_MS);
	}
	entry_fixture_run(fx, 200);
	g_assert_cmpuint(job_of(fx, "k")->tasks[TASK_COUNT - 1].attempt, ==, 2);
	g_free(list);
	entry_fixture_free(fx);
}

/* A start that its entry has dropped from its table is not sent again. */
static void
test_dropped_start_is_not_resent(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	uint64_t ep = start_tasks(fx);
	Gyp__Attempt *list = attempts_of(job_of(fx, "k"));

	entry_fixture_heartbeat(fx, ep, 1, 1, list, TASK_COUNT);
	count_queries(fx, ep, 1, 10);
	/* A commit makes the cell's time known to the entry. */
	entry_fixture_submit(
	    fx, 1, "later", GYP__KIND__KIND_BATCH, 1, true, 600000);
	count_queries(fx, ep, 1, 2);
	gyp_replica_entry_connected(fx->replica, fx->now, fx->ids[0]);
	gyp_entry_connected(fx->entries[0], fx->now, "127.0.0.1:1");
	count_queries(fx, ep, 1, 5);
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 0);
	g_free(list);
	entry_fixture_free(fx);
}

/*
 * Runs that go on after their job was cancelled are listed to the endpoint as
 * to be stopped, until the endpoint no longer lists them.
 */
static void
test_ended_runs_are_stopped(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	uint64_t ep = start_tasks(fx);
	Gyp__Attempt *list = attempts_of(job_of(fx, "k"));
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	entry_fixture_heartbeat(fx, ep, 1, 1, list, TASK_COUNT);
	g_assert_cmpuint(
	    entry_fixture_last_answer(fx, 0)->reply->n_stop, ==, 0);
	cancel.job = job_of(fx, "k")->id;
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	entry_fixture_call(fx, 0, &call, 1000);
	entry_fixture_run(fx, 200);
	entry_fixture_heartbeat(fx, ep, 1, 1, NULL, 0);
	g_assert_cmpuint(
	    entry_fixture_last_answer(fx, 0)->reply->n_stop, ==, TASK_COUNT);
	entry_fixture_heartbeat(fx, ep, 1, 2, list, 0);
	g_assert_cmpuint(
	    entry_fixture_last_answer(fx, 0)->reply->n_stop, ==, 0);
	/* The reply requests a resend: the leader lacks this list. */
	entry_fixture_heartbeat(fx, ep, 1, 3, NULL, 0);
	g_assert_true(entry_fixture_last_answer(fx, 0)->reply->resend);
	g_free(list);
	entry_fixture_free(fx);
}

/* Heartbeats are not written to the log. Also prints their cost in bytes. */
static void
test_heartbeats_stay_out_of_log(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	uint64_t ep = start_tasks(fx);
	Gyp__Attempt *list = attempts_of(job_of(fx, "k"));
	uint64_t index, bytes, frames;
	int i;

	entry_fixture_run(fx, 200);
	index = gyp_raft_last_index(gyp_replica_raft(fx->replica));
	bytes = fx->bytes;
	entry_fixture_heartbeat(fx, ep, 1, 1, list, 22);
	g_test_message("heartbeat with 22 listed: %" G_GUINT64_FORMAT
		       " bytes both ways",
	    fx->bytes - bytes);
	bytes = fx->bytes;
	entry_fixture_heartbeat(fx, ep, 1, 1, NULL, 0);
	g_test_message("heartbeat without a change: %" G_GUINT64_FORMAT
		       " bytes both ways",
	    fx->bytes - bytes);
	frames = fx->frames;
	bytes = fx->bytes;
	for (i = 0; i < 20; i++)
		entry_fixture_queue_heartbeat(fx, ep, 1, 1, NULL, 0);
	entry_fixture_run(fx, 100);
	g_test_message("each of 20 at a time: %" G_GUINT64_FORMAT
		       " bytes both ways",
	    (fx->bytes - bytes) / 20);
	/* The heartbeats share a frame; a keepalive may be sent as well. */
	g_assert_cmpuint(fx->frames - frames, <=, 4);
	g_assert_cmpuint(
	    gyp_raft_last_index(gyp_replica_raft(fx->replica)), ==, index);
	g_free(list);
	entry_fixture_free(fx);
}

/* ---- Endpoints that leave and return ----------------------------------- */

static void
leave(struct entry_fixture *fx, uint64_t ep)
{
	Gyp__Call call = GYP__CALL__INIT;

	call.c_case = GYP__CALL__C_LEAVE;
	call.leave = ep;
	entry_fixture_call(fx, 0, &call, 1000);
	entry_fixture_run(fx, 100);
}

static void
test_leave_endpoint(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	const struct gyp_state *s = gyp_replica_state(fx->replica);
	uint64_t ep = entry_fixture_announce(fx, "vm", 8, 1);
	uint64_t bound;

	entry_fixture_submit(
	    fx, 0, "a", GYP__KIND__KIND_REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 100);
	leave(fx, ep);
	bound = fx->now + gyp_leave_bound_ms(2000);
	entry_fixture_submit(
	    fx, 0, "b", GYP__KIND__KIND_REQUEST, 1, false, 60000);
	entry_fixture_run(fx, 1000);
	/*
	 * Only the start placed before the leave is sent, with a bounded
	 * validity.
	 */
	g_assert_cmpuint(entry_fixture_count_orders(fx, 0, START), ==, 1);
	g_assert_cmpuint(
	    ((struct gyp_exchange *)fx->exchanges[0]->pdata[0])->send_by, <=,
	    bound);
	g_assert_cmpuint(((struct gyp_exchange *)fx->exchanges[0]->pdata[0])
			     ->order->not_after_ms,
	    <=, bound);
	g_assert_nonnull(gyp_state_endpoint(s, ep));
	entry_fixture_answer_orders(fx, 0, START, GYP_ATTEMPT_DONE, "ok");
	entry_fixture_run(fx, 300);
	g_assert_null(gyp_state_endpoint(s, ep));
	entry_fixture_free(fx);
}

/*
 * An endpoint that returns under its name with another capacity is accepted at
 * once when nothing is open at the old one. Otherwise the leader waits until
 * nothing can still run there.
 */
static void
test_restart_with_other_capacity(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	const struct gyp_state *s = gyp_replica_state(fx->replica);
	uint64_t old = entry_fixture_announce(fx, "vm", 8, 1), fresh;

	entry_fixture_submit(
	    fx, 0, "a", GYP__KIND__KIND_REQUEST, 1, true, 60000);
	entry_fixture_run(fx, 100);
	g_assert_cmpuint(entry_fixture_announce(fx, "vm", 2, 2), ==, 0);
	g_assert_cmpint(
	    gyp_state_endpoint(s, old)->state, ==, GYP_ENDPOINT_LEAVING);
	/* The leader waits until nothing can run at the old one. */
	entry_fixture_run(fx, 3000);
	g_assert_cmpuint(entry_fixture_announce(fx, "vm", 2, 2), ==, 0);
	entry_fixture_run(fx, 3000);
	fresh = entry_fixture_announce(fx, "vm", 2, 2);
	g_assert_cmpuint(fresh, !=, 0);
	g_assert_cmpuint(gyp_state_endpoint(s, fresh)->capacity.slots, ==, 2);
	g_assert_null(gyp_state_endpoint(s, old));
	entry_fixture_free(fx);
}

/* An announcement that reaches two entries at once adds one endpoint. */
static void
test_announced_twice(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	const struct gyp_state *s = gyp_replica_state(fx->replica);
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res capacity = GYP__RES__INIT;

	capacity.slots = 8;
	ep.name = "vm";
	ep.address = "127.0.0.1:2";
	ep.capacity = &capacity;
	ep.incarnation = 5;
	call.c_case = GYP__CALL__C_ANNOUNCE;
	call.announce = &ep;
	entry_fixture_call(fx, 0, &call, 1000);
	entry_fixture_call(fx, 1, &call, 1000);
	entry_fixture_run(fx, 200);
	g_assert_cmpuint(gyp_table_count(gyp_state_endpoints(s)), ==, 1);
	g_assert_cmpuint(
	    entry_fixture_last_answer(fx, 0)->reply->endpoint, !=, 0);
	g_assert_cmpuint(entry_fixture_last_answer(fx, 0)->reply->endpoint, ==,
	    entry_fixture_last_answer(fx, 1)->reply->endpoint);
	entry_fixture_free(fx);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endpoints/new-leader-waits", test_new_leader_waits);
	g_test_add_func("/endpoints/no-query-storm", test_no_query_storm);
	g_test_add_func("/endpoints/dropped-start-not-resent",
	    test_dropped_start_is_not_resent);
	g_test_add_func(
	    "/endpoints/stop-ended-runs", test_ended_runs_are_stopped);
	g_test_add_func(
	    "/endpoints/heartbeats", test_heartbeats_stay_out_of_log);
	g_test_add_func("/endpoints/leaving", test_leave_endpoint);
	g_test_add_func(
	    "/endpoints/other-capacity", test_restart_with_other_capacity);
	g_test_add_func("/endpoints/announced-twice", test_announced_twice);
	return g_test_run();
}
