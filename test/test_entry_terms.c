#include <string.h>

#include <glib.h>

#include "entry.h"
#include "fleet.h"
#include "msg.h"

#define REPLICA_A "127.0.0.1:1"
#define REPLICA_B "127.0.0.1:2"

static const char *const replicas[] = {REPLICA_A, NULL};

static struct gyp_entry_core *
make_entry(void)
{
	struct gyp_entry_config cfg = {.id = 1,
	    .replicas = replicas,
	    .keepalive_ms = 300,
	    .silence_ms = 1000};

	return gyp_entry_new(&cfg);
}

/* Passes a frame from the leader REPLICA_A or from the follower REPLICA_B. */
static void
receive(struct gyp_entry_core *e, uint64_t now, uint64_t term, bool leader)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;

	down.term = term;
	down.leader = leader;
	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = &down;
	gyp_entry_receive(e, now, leader ? REPLICA_A : REPLICA_B, &frame);
}

/* Empties the queue of frames; returns the number of calls in them. */
static size_t
sent_calls(struct gyp_entry_core *e)
{
	const char *address;
	GBytes *packed;
	size_t n = 0;

	while (gyp_entry_pop_frame(e, &address, &packed)) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(packed, &len);
		Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);

		n += frame->up->n_calls;
		gyp_message_free(frame);
		g_bytes_unref(packed);
	}
	return n;
}

static void
send_read_job(struct gyp_entry_core *e, uint64_t now)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__ReadJob read = GYP__READ_JOB__INIT;

	msg.c_case = GYP__CALL__C_READ_JOB;
	msg.read_job = &read;
	gyp_entry_call(e, now, &msg, 60000, NULL);
}

/*
 * A replica that leads again in a new term has lost the calls of its old term,
 * so they are sent again.
 */
static void
test_resend_in_new_term(void)
{
	struct gyp_entry_core *e = make_entry();

	gyp_entry_tick(e, 1000);
	receive(e, 1010, 3, true);
	send_read_job(e, 1020);
	g_assert_cmpuint(sent_calls(e), ==, 1);
	receive(e, 1030, 3, true);
	g_assert_cmpuint(sent_calls(e), ==, 0);
	receive(e, 1040, 4, true);
	g_assert_cmpuint(sent_calls(e), ==, 1);
	gyp_entry_free(e);
}

/*
 * The higher term of a replica that does not lead must not make the entry
 * ignore the leader.
 */
static void
test_not_leader_keeps_term(void)
{
	struct gyp_entry_core *e = make_entry();

	gyp_entry_tick(e, 1000);
	receive(e, 1010, 3, true);
	receive(e, 1020, 9, false);
	send_read_job(e, 1030);
	g_assert_cmpuint(sent_calls(e), ==, 1);
	receive(e, 1040, 4, true);
	g_assert_cmpuint(sent_calls(e), ==, 1);
	gyp_entry_free(e);
}

static uint64_t
send_flow_call(struct gyp_entry_core *e, uint64_t now)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__FlowCall flow = GYP__FLOW_CALL__INIT;

	msg.c_case = GYP__CALL__C_FLOW;
	msg.flow = &flow;
	return gyp_entry_call(e, now, &msg, 60000, NULL);
}

/*
 * In a long outage of all replicas, unsent calls about flows are given up
 * before their timeout, and new ones are refused.
 */
static void
test_outage(void)
{
	struct gyp_entry_core *e = make_entry();
	struct gyp_answer answer;
	uint64_t id, now;

	gyp_entry_tick(e, 1000);
	receive(e, 1010, 3, true);
	gyp_entry_disconnected(e, 1020, REPLICA_A);
	id = send_flow_call(e, 1030);
	g_assert_cmpuint(id, !=, 0);
	for (now = 1040; now < 1010 + GYP_OUTAGE_THRESHOLD_MS; now += 20) {
		gyp_entry_tick(e, now);
		g_assert_false(gyp_entry_pop_answer(e, &answer));
	}
	gyp_entry_tick(e, 1010 + GYP_OUTAGE_THRESHOLD_MS);
	g_assert_true(gyp_entry_pop_answer(e, &answer));
	g_assert_cmpuint(answer.call, ==, id);
	g_assert_null(answer.reply);
	g_assert_false(answer.sent);
	now = 1020 + GYP_OUTAGE_THRESHOLD_MS;
	g_assert_cmpuint(send_flow_call(e, now), ==, 0);
	receive(e, now + 10, 4, true);
	g_assert_cmpuint(send_flow_call(e, now + 20), !=, 0);
	gyp_entry_free(e);
}

static const char *const three_replicas[] = {
    REPLICA_A, REPLICA_B, "127.0.0.1:3", NULL};

/* Empties the queue of frames; returns the target of the last one, or NULL. */
static const char *
target_of(struct gyp_entry_core *e)
{
	const char *address = NULL;
	GBytes *packed;

	while (gyp_entry_pop_frame(e, &address, &packed))
		g_bytes_unref(packed);
	return address;
}

static void
send_not_leader(struct gyp_entry_core *e, uint64_t now, const char *from,
    const char *leader)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;

	down.term = 3;
	down.leader_address = (char *)leader;
	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = &down;
	gyp_entry_receive(e, now, from, &frame);
}

/*
 * One replica names no leader and a second one names the first: the entry must
 * still try the third.
 */
static void
test_wrong_leader_hints(void)
{
	struct gyp_entry_config cfg = {.id = 3,
	    .replicas = three_replicas,
	    .keepalive_ms = 100,
	    .silence_ms = 60000};
	struct gyp_entry_core *e = gyp_entry_new(&cfg);
	uint64_t now = 1000;
	bool reached = false;

	gyp_entry_tick(e, now);
	while (!reached && now < 4000) {
		const char *target = target_of(e);

		now += 20;
		gyp_entry_tick(e, now);
		if (target == NULL)
			continue;
		if (strcmp(target, REPLICA_A) == 0)
			send_not_leader(e, now, REPLICA_A, "");
		else if (strcmp(target, REPLICA_B) == 0)
			send_not_leader(e, now, REPLICA_B, REPLICA_A);
		else
			reached = true;
	}
	g_assert_true(reached);
	gyp_entry_free(e);
}

/* Passes a frame of the leader that echoes a round, with a call or without. */
static void
receive_round(
    struct gyp_entry_core *e, uint64_t now, uint64_t round, Gyp__HostCall *call)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;

	down.term = 3;
	down.leader = true;
	down.round = round;
	down.n_host_calls = call != NULL;
	down.host_calls = &call;
	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = &down;
	gyp_entry_receive(e, now, REPLICA_A, &frame);
}

static void
answer_call(struct gyp_entry_core *e, uint64_t id)
{
	Gyp__HostAnswer *answer = g_new(Gyp__HostAnswer, 1);

	gyp__host_answer__init(answer);
	answer->call = id;
	gyp_entry_endpoint_call_answered(e, answer);
}

/*
 * A carrier that is told to stop ends only when the leader knows it and has the
 * answers to its starts: else the leader repeats them.
 */
static void
test_drained_carrier_answers(void)
{
	struct gyp_entry_core *e = make_entry();
	Gyp__HostCall start = GYP__HOST_CALL__INIT;
	Gyp__HostCall poll = GYP__HOST_CALL__INIT;

	start.id = 7;
	start.kind = GYP_FLEET_START;
	poll.id = 8;
	poll.kind = GYP_FLEET_POLL;
	gyp_entry_tick(e, 1000);
	receive_round(e, 1010, 1000, &start);
	receive_round(e, 1010, 1000, &poll);
	g_assert_false(gyp_entry_is_drained(e));
	gyp_entry_drain(e);
	gyp_entry_tick(e, 1020); /* says that it drains */
	receive_round(e, 1030, 1010, NULL);
	g_assert_false(gyp_entry_is_drained(e));
	receive_round(e, 1040, 1020, NULL);
	g_assert_false(gyp_entry_is_drained(e)); /* the start is open */
	answer_call(e, 7);
	gyp_entry_tick(e, 1050);
	g_assert_false(gyp_entry_is_drained(e));
	receive_round(e, 1060, 1050, NULL);
	g_assert_true(gyp_entry_is_drained(e)); /* polls are repeated anyhow */
	gyp_entry_free(e);
}

/* Without a leader, a process that is told to stop ends nevertheless. */
static void
test_drained_without_leader(void)
{
	struct gyp_entry_core *e = make_entry();

	gyp_entry_tick(e, 1000);
	gyp_entry_drain(e);
	gyp_entry_tick(e, 1000 + GYP_ENTRY_DRAIN_MAX_MS - 1);
	g_assert_false(gyp_entry_is_drained(e));
	gyp_entry_tick(e, 1000 + GYP_ENTRY_DRAIN_MAX_MS);
	g_assert_true(gyp_entry_is_drained(e));
	gyp_entry_free(e);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/resend-in-new-term", test_resend_in_new_term);
	g_test_add_func(
	    "/entry/not-leader-keeps-term", test_not_leader_keeps_term);
	g_test_add_func("/entry/outage", test_outage);
	g_test_add_func("/entry/wrong-leader-hints", test_wrong_leader_hints);
	g_test_add_func(
	    "/entry/drained-carrier-answers", test_drained_carrier_answers);
	g_test_add_func(
	    "/entry/drained-without-leader", test_drained_without_leader);
	return g_test_run();
}
