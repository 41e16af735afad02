#include "leases.h"
#include "world.h"

#define START GYP__ORDER_TYPE__ORDER_START
#define QUERY GYP__ORDER_TYPE__ORDER_QUERY

/* Tasks at one endpoint in the cases with many; slots allow them all. */
#define MANY 200

#define BEAT_MS 900 /* and the 100 that sending one takes */

static const struct gyp_job *
job_of(const struct world *w, const char *key)
{
	return gyp_state_job_by_key(gyp_replica_state(w->replica), "t", key);
}

/* ---- Table ------------------------------------------------------------- */

/* A new leader takes silence for an end only after one whole lease. */
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
start_many(struct world *w)
{
	uint64_t ep = world_announce(w, "vm", MANY, 1);

	world_submit(w, 0, "k", GYP__KIND__KIND_BATCH, MANY, true, 600000);
	world_run(w, 200);
	g_assert_cmpuint(world_count(w, 0, START), ==, MANY);
	world_settle(w, 0, START, GYP_FATE_RUNNING, NULL);
	return ep;
}

static guint
answer_questions(struct world *w, enum gyp_fate fate)
{
	guint n = world_count(w, 0, QUERY) + world_count(w, 1, QUERY);

	world_settle(w, 0, QUERY, fate, NULL);
	world_settle(w, 1, QUERY, fate, NULL);
	return n;
}

/* Returns how many questions came; none of them gets an answer. */
static guint
beat_for(struct world *w, uint64_t ep, uint32_t list, uint32_t beats)
{
	uint32_t i;
	guint n = 0;

	for (i = 0; i < beats; i++) {
		world_beat(w, ep, 1, list, NULL, 0);
		world_run(w, BEAT_MS);
		n += answer_questions(w, GYP_FATE_LOST);
	}
	return n;
}

/* After a restart of their entry, listed tasks cause no question at all. */
static void
test_no_question_storm(void)
{
	struct world *w = world_new();
	uint64_t ep = start_many(w);
	Gyp__Attempt *list = attempts_of(job_of(w, "k"));

	world_beat(w, ep, 1, 1, list, MANY);
	world_restart_entry(w, 0);
	g_assert_cmpuint(beat_for(w, ep, 1, 60), ==, 0);
	g_assert_cmpuint(job_of(w, "k")->n_placed, ==, MANY);

	/* One that the list leaves out is asked about, less and less often. */
	world_beat(w, ep, 1, 2, list, MANY - 1);
	g_assert_cmpuint(beat_for(w, ep, 2, 62), ==, 5);

	/* And is resolved when the endpoint does not know it. */
	while (answer_questions(w, GYP_FATE_NOT_STARTED) == 0) {
		world_beat(w, ep, 1, 2, NULL, 0);
		world_run(w, BEAT_MS);
	}
	world_run(w, 200);
	g_assert_cmpuint(job_of(w, "k")->tasks[MANY - 1].attempt, ==, 2);
	g_free(list);
	world_free(w);
}

/* A start that its entry has forgotten is never sent a second time. */
static void
test_started_is_forgotten_safely(void)
{
	struct world *w = world_new();
	uint64_t ep = start_many(w);
	Gyp__Attempt *list = attempts_of(job_of(w, "k"));

	world_beat(w, ep, 1, 1, list, MANY);
	beat_for(w, ep, 1, 10);
	/* A commit tells the entry the cell's time. */
	world_submit(w, 1, "later", GYP__KIND__KIND_BATCH, 1, true, 600000);
	beat_for(w, ep, 1, 2);
	gyp_replica_entry_connected(w->replica, w->now, w->ids[0]);
	gyp_entry_connected(w->entries[0], w->now, "127.0.0.1:1");
	beat_for(w, ep, 1, 5);
	g_assert_cmpuint(world_count(w, 0, START), ==, 0);
	g_free(list);
	world_free(w);
}

/* What runs on after its end is named to the endpoint until it is gone. */
static void
test_stop_listed_but_over(void)
{
	struct world *w = world_new();
	uint64_t ep = start_many(w);
	Gyp__Attempt *list = attempts_of(job_of(w, "k"));
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	world_beat(w, ep, 1, 1, list, MANY);
	g_assert_cmpuint(world_answer(w, 0)->reply->n_stop, ==, 0);
	cancel.job = job_of(w, "k")->id;
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	world_call(w, 0, &call, 1000);
	world_run(w, 200);
	world_beat(w, ep, 1, 1, NULL, 0);
	g_assert_cmpuint(world_answer(w, 0)->reply->n_stop, ==, MANY);
	world_beat(w, ep, 1, 2, list, 0);
	g_assert_cmpuint(world_answer(w, 0)->reply->n_stop, ==, 0);
	/* A number that the leader lacks is asked for. */
	world_beat(w, ep, 1, 3, NULL, 0);
	g_assert_true(world_answer(w, 0)->reply->resend);
	g_free(list);
	world_free(w);
}

/* States what a heartbeat costs; the log must get nothing of it. */
static void
test_heartbeats_stay_out_of_log(void)
{
	struct world *w = world_new();
	uint64_t ep = start_many(w);
	Gyp__Attempt *list = attempts_of(job_of(w, "k"));
	uint64_t index, bytes, frames;
	int i;

	world_run(w, 200);
	index = gyp_raft_last_index(gyp_replica_raft(w->replica));
	bytes = w->bytes;
	world_beat(w, ep, 1, 1, list, 22);
	g_test_message("heartbeat with 22 listed: %" G_GUINT64_FORMAT
		       " bytes both ways",
	    w->bytes - bytes);
	bytes = w->bytes;
	world_beat(w, ep, 1, 1, NULL, 0);
	g_test_message("heartbeat without a change: %" G_GUINT64_FORMAT
		       " bytes both ways",
	    w->bytes - bytes);
	frames = w->frames;
	bytes = w->bytes;
	for (i = 0; i < 20; i++)
		world_queue_beat(w, ep, 1, 1, NULL, 0);
	world_run(w, 100);
	g_test_message("each of 20 at a time: %" G_GUINT64_FORMAT
		       " bytes both ways",
	    (w->bytes - bytes) / 20);
	/* They share a frame; a keepalive may come between. */
	g_assert_cmpuint(w->frames - frames, <=, 4);
	g_assert_cmpuint(
	    gyp_raft_last_index(gyp_replica_raft(w->replica)), ==, index);
	g_free(list);
	world_free(w);
}

/* ---- Endpoints that leave and come back -------------------------------- */

static void
leave(struct world *w, uint64_t ep)
{
	Gyp__Call call = GYP__CALL__INIT;

	call.c_case = GYP__CALL__C_LEAVE;
	call.leave = ep;
	world_call(w, 0, &call, 1000);
	world_run(w, 100);
}

static void
test_leaving(void)
{
	struct world *w = world_new();
	const struct gyp_state *s = gyp_replica_state(w->replica);
	uint64_t ep = world_announce(w, "vm", 8, 1);
	uint64_t bound;

	world_submit(w, 0, "a", GYP__KIND__KIND_REQUEST, 1, false, 60000);
	world_run(w, 100);
	leave(w, ep);
	bound = w->now + gyp_leave_bound_ms(2000);
	world_submit(w, 0, "b", GYP__KIND__KIND_REQUEST, 1, false, 60000);
	world_run(w, 1000);
	/* Only the start that was placed before, and not for long. */
	g_assert_cmpuint(world_count(w, 0, START), ==, 1);
	g_assert_cmpuint(
	    ((struct gyp_exchange *)w->exchanges[0]->pdata[0])->send_by, <=,
	    bound);
	g_assert_cmpuint(((struct gyp_exchange *)w->exchanges[0]->pdata[0])
			     ->order->not_after_ms,
	    <=, bound);
	g_assert_nonnull(gyp_state_endpoint(s, ep));
	world_settle(w, 0, START, GYP_FATE_DONE, "ok");
	world_run(w, 300);
	g_assert_null(gyp_state_endpoint(s, ep));
	world_free(w);
}

/* The name returns with another capacity, at once when nothing is open. */
static void
test_restart_with_other_capacity(void)
{
	struct world *w = world_new();
	const struct gyp_state *s = gyp_replica_state(w->replica);
	uint64_t old = world_announce(w, "vm", 8, 1), fresh;

	world_submit(w, 0, "a", GYP__KIND__KIND_REQUEST, 1, true, 60000);
	world_run(w, 100);
	g_assert_cmpuint(world_announce(w, "vm", 2, 2), ==, 0);
	g_assert_cmpint(
	    gyp_state_endpoint(s, old)->state, ==, GYP_ENDPOINT_LEAVING);
	/* What may still run there is waited out. */
	world_run(w, 3000);
	g_assert_cmpuint(world_announce(w, "vm", 2, 2), ==, 0);
	world_run(w, 3000);
	fresh = world_announce(w, "vm", 2, 2);
	g_assert_cmpuint(fresh, !=, 0);
	g_assert_cmpuint(gyp_state_endpoint(s, fresh)->capacity.slots, ==, 2);
	g_assert_null(gyp_state_endpoint(s, old));
	world_free(w);
}

/* The announcement reaches two entries at the same time. */
static void
test_announced_twice(void)
{
	struct world *w = world_new();
	const struct gyp_state *s = gyp_replica_state(w->replica);
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
	world_call(w, 0, &call, 1000);
	world_call(w, 1, &call, 1000);
	world_run(w, 200);
	g_assert_cmpuint(gyp_table_count(gyp_state_endpoints(s)), ==, 1);
	g_assert_cmpuint(world_answer(w, 0)->reply->endpoint, !=, 0);
	g_assert_cmpuint(world_answer(w, 0)->reply->endpoint, ==,
	    world_answer(w, 1)->reply->endpoint);
	world_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endpoints/new-leader-waits", test_new_leader_waits);
	g_test_add_func("/endpoints/no-question-storm", test_no_question_storm);
	g_test_add_func(
	    "/endpoints/forgotten-safely", test_started_is_forgotten_safely);
	g_test_add_func(
	    "/endpoints/listed-but-over", test_stop_listed_but_over);
	g_test_add_func(
	    "/endpoints/heartbeats", test_heartbeats_stay_out_of_log);
	g_test_add_func("/endpoints/leaving", test_leaving);
	g_test_add_func(
	    "/endpoints/other-capacity", test_restart_with_other_capacity);
	g_test_add_func("/endpoints/announced-twice", test_announced_twice);
	return g_test_run();
}
