#include <glib.h>

#include "carriers.h"
#include "entry.h"
#include "host_msg.h"
#include "msg.h"

/*
 * Assignment of a leader's calls to carriers while its CPU time is short,
 * and the loss of calls when a carrier is stopped, frozen or disconnected.
 */

#define ROWS 350

struct fixture {
	struct gyp_carriers *cs;
	uint64_t now;
};

static void
set_up(struct fixture *f, uint64_t carriers)
{
	uint64_t i;

	f->cs = gyp_carriers_new();
	f->now = 1000;
	for (i = 1; i <= carriers; i++)
		gyp_carriers_seen(f->cs, f->now, i);
}

/* Receives a frame from each carrier except that one; 0 excepts none. */
static void
receive_from_all_except(struct fixture *f, uint64_t carriers, uint64_t except)
{
	uint64_t i;

	for (i = 1; i <= carriers; i++) {
		if (i != except)
			gyp_carriers_seen(f->cs, f->now, i);
	}
}

static guint
count_lost(struct fixture *f)
{
	uint64_t call;
	guint n = 0;

	while (gyp_carriers_pop_lost(f->cs, f->now, &call))
		n++;
	return n;
}

/* Endpoints are spread over the carriers, and each keeps its carrier. */
static void
test_spread(void)
{
	struct fixture f;
	guint share[5] = {0, 0, 0, 0, 0};
	uint32_t row;

	set_up(&f, 4);
	for (row = 0; row < ROWS; row++) {
		uint64_t entry = gyp_carriers_pick(f.cs, f.now, row);

		g_assert_cmpuint(entry, >=, 1);
		g_assert_cmpuint(entry, <=, 4);
		g_assert_cmpuint(
		    gyp_carriers_pick(f.cs, f.now, row), ==, entry);
		share[entry]++;
	}
	for (row = 1; row <= 4; row++)
		g_assert_cmpuint(share[row], >, ROWS / 8);
	gyp_carriers_free(f.cs);
}

/* Without a carrier the leader makes its calls itself. */
static void
test_no_carriers(void)
{
	struct fixture f;

	set_up(&f, 0);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 3), ==, 0);
	gyp_carriers_seen(f.cs, f.now, 7);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 3), ==, 7);
	gyp_carriers_draining(f.cs, f.now, 7);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 3), ==, 0);
	gyp_carriers_free(f.cs);
}

/* A frozen carrier loses its calls; others replace it until it is back. */
static void
test_frozen(void)
{
	struct fixture f;
	uint64_t entry, changed;
	bool live;
	int i;

	set_up(&f, 3);
	entry = gyp_carriers_pick(f.cs, f.now, 0);
	gyp_carriers_sent(f.cs, f.now, 100, false, 5000, entry);
	gyp_carriers_sent(f.cs, f.now, 101, false, 5000, 1 + entry % 3);
	f.now += GYP_CARRIER_SILENT_MS;
	receive_from_all_except(&f, 3, entry);
	g_assert_cmpuint(count_lost(&f), ==, 1);
	g_assert_false(gyp_carriers_answered(f.cs, 100));
	g_assert_true(gyp_carriers_answered(f.cs, 101));
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 0), !=, entry);
	f.now += GYP_CARRIER_BACKOFF_MS;
	receive_from_all_except(&f, 3, 0);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 0), ==, entry);
	/* Three carriers became live, one was lost and became live again. */
	for (i = 0; i < 5; i++) {
		g_assert_true(gyp_carriers_pop_change(f.cs, &changed, &live));
		g_assert_cmpint(live, ==, i != 3);
		g_assert_true(i < 3 || changed == entry);
	}
	g_assert_false(gyp_carriers_pop_change(f.cs, &changed, &live));
	gyp_carriers_free(f.cs);
}

/*
 * Starts that a carrier makes while it drains are not lost: a repeated start
 * would keep the run open for a lease once its endpoint has ended.
 */
static void
test_draining(void)
{
	struct fixture f;
	uint64_t entry;

	set_up(&f, 3);
	entry = gyp_carriers_pick(f.cs, f.now, 0);
	gyp_carriers_sent(f.cs, f.now, 100, false, 150, entry);
	gyp_carriers_sent(f.cs, f.now, 101, true, 650, entry);
	gyp_carriers_draining(f.cs, f.now, entry);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 0), !=, entry);
	g_assert_cmpuint(count_lost(&f), ==, 1); /* the poll */
	g_assert_true(gyp_carriers_answered(f.cs, 100));
	gyp_carriers_sent(f.cs, f.now, 102, false, 5000, entry);
	f.now += GYP_CARRIER_SILENT_MS;
	receive_from_all_except(&f, 3, entry);
	g_assert_cmpuint(count_lost(&f), ==, 1); /* it is gone */
	gyp_carriers_free(f.cs);
}

/* No call is sent over a connection that was closed. */
static void
test_disconnected(void)
{
	struct fixture f;
	uint64_t entry;

	set_up(&f, 3);
	entry = gyp_carriers_pick(f.cs, f.now, 0);
	gyp_carriers_sent(f.cs, f.now, 100, false, 150, entry);
	gyp_carriers_sent(f.cs, f.now, 101, true, 650, entry);
	gyp_carriers_disconnected(f.cs, entry);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 0), !=, entry);
	g_assert_cmpuint(count_lost(&f), ==, 1); /* the poll */
	receive_from_all_except(&f, 3, 0);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 0), ==, entry);
	g_assert_true(gyp_carriers_answered(f.cs, 100));
	gyp_carriers_free(f.cs);
}

/* A carrier that sends frames but leaves calls unanswered gets no calls. */
static void
test_unanswered_call(void)
{
	struct fixture f;
	uint64_t entry;

	set_up(&f, 3);
	entry = gyp_carriers_pick(f.cs, f.now, 0);
	gyp_carriers_sent(f.cs, f.now, 100, false, 150, entry);
	f.now += 150 + GYP_CARRIER_TRANSIT_MS - 1;
	receive_from_all_except(&f, 3, 0);
	g_assert_cmpuint(count_lost(&f), ==, 0);
	f.now += 100;
	receive_from_all_except(&f, 3, 0);
	g_assert_cmpuint(count_lost(&f), ==, 1);
	g_assert_cmpuint(gyp_carriers_pick(f.cs, f.now, 0), !=, entry);
	gyp_carriers_free(f.cs);
}

/* A new leader doesn't call hundreds of endpoints at once. */
static void
test_direct_calls(void)
{
	struct fixture f;
	guint i, n = 0;

	set_up(&f, 0);
	while (n < ROWS && gyp_carriers_take_direct_call(f.cs, f.now))
		n++;
	g_assert_cmpuint(n, ==, GYP_DIRECT_CALLS_MAX);
	for (i = 0; i < 100; i++) {
		f.now += 10;
		while (gyp_carriers_take_direct_call(f.cs, f.now))
			n++;
	}
	g_assert_cmpuint(
	    n, ==, GYP_DIRECT_CALLS_MAX + 1000 * GYP_DIRECT_CALLS_PER_MS);
	gyp_carriers_free(f.cs);
}

/* ---- Calls at the entry ------------------------------------------------- */

#define REPLICA "127.0.0.1:1"

static const char *const replicas[] = {REPLICA, NULL};

static void
receive_call(struct gyp_entry_core *e, uint64_t now, uint64_t round)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;
	Gyp__HostCall call = GYP__HOST_CALL__INIT;
	Gyp__HostCall *calls[] = {&call};

	call.id = 42;
	down.term = 1;
	down.leader = true;
	down.round = round;
	down.lease_ms = 3000;
	down.n_host_calls = 1;
	down.host_calls = calls;
	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = &down;
	gyp_entry_receive(e, now, REPLICA, &frame);
}

/* Pops all frames and returns the number of answers in them. */
static size_t
sent_answers(struct gyp_entry_core *e)
{
	const char *address;
	GBytes *packed;
	size_t n = 0;

	while (gyp_entry_pop_frame(e, &address, &packed)) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(packed, &len);
		Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);

		g_assert_true(frame->up->carries);
		n += frame->up->n_host_answers;
		gyp_message_free(frame);
		g_bytes_unref(packed);
	}
	return n;
}

/* A call that was delayed in a buffer while the link was cut is discarded. */
static void
test_stale_call(void)
{
	struct gyp_entry_config cfg = {.id = 1,
	    .replicas = replicas,
	    .carries = true,
	    .keepalive_ms = 300,
	    .silence_ms = 9000};
	struct gyp_entry_core *e = gyp_entry_new(&cfg);
	struct gyp_fleet_answer a = {.call = 42};
	Gyp__HostCall *call;

	gyp_entry_tick(e, 1000);
	receive_call(e, 1000 + GYP_ENDPOINT_CALL_MAX_AGE_MS, 1000);
	g_assert_null(gyp_entry_pop_endpoint_call(e));
	receive_call(e, 2100, 2000);
	call = gyp_entry_pop_endpoint_call(e);
	g_assert_nonnull(call);
	gyp_message_free(call);
	sent_answers(e);
	gyp_entry_endpoint_call_answered(e, gyp_host_msg_from_answer(&a));
	gyp_entry_tick(e, 2200);
	g_assert_cmpuint(sent_answers(e), ==, 1);
	gyp_entry_tick(e, 3000);
	g_assert_cmpuint(sent_answers(e), ==, 0);
	gyp_entry_free(e);
}

/* Over 64 bytes, of which the last ones are one character. */
#define LONG_TEXT                                                              \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"     \
	"\xc3\xbc"

/* Calls and answers survive conversion to messages and back. */
static void
test_messages(void)
{
	struct gyp_fleet_call call = {.id = 9,
	    .kind = GYP_FLEET_START,
	    .address = g_strdup("127.0.0.1:9"),
	    .endpoint = g_strdup("e"),
	    .flow = 3,
	    .id_capitals = 5,
	    .run = 2,
	    .until_ms = 77,
	    .payload = g_strdup("work"),
	    .checkpoint = g_strdup(LONG_TEXT)};
	struct gyp_listed_run run = {.flow = 3,
	    .index = 4,
	    .run = 2,
	    .checkpoint = (char *)LONG_TEXT,
	    .percent = 50};
	struct gyp_listed_end end = {
	    .number = 8, .run = run, .how = GYP__FLOW_HOW__FLOW_FAILED};
	struct gyp_fleet_answer a = {.call = 9,
				    .listed = true,
				    .ends_complete = true},
				b;
	Gyp__HostCall *m = gyp_host_msg_from_call(&call);
	struct gyp_fleet_call *back = gyp_host_msg_to_call(m);
	Gyp__HostAnswer *am;

	g_assert_cmpstr(back->payload, ==, "work");
	g_assert_cmpstr(back->checkpoint, ==, LONG_TEXT);
	g_assert_null(back->ticket);
	g_assert_cmpuint(back->until_ms, ==, 77);
	g_assert_cmpuint(back->id_capitals, ==, 5);
	g_assert_cmpint(back->kind, ==, GYP_FLEET_START);
	gyp_fleet_call_free(back);
	gyp_message_free(m);
	a.running = g_array_new(FALSE, FALSE, sizeof(run));
	a.ended = g_array_new(FALSE, FALSE, sizeof(end));
	g_array_append_val(a.running, run);
	g_array_append_val(a.ended, end);
	am = gyp_host_msg_from_answer(&a);
	gyp_host_msg_to_answer(am, &b);
	g_assert_cmpuint(b.running->len, ==, 1);
	g_assert_cmpstr(
	    g_array_index(b.running, struct gyp_listed_run, 0).checkpoint, ==,
	    LONG_TEXT);
	g_assert_cmpstr(
	    g_array_index(b.ended, struct gyp_listed_end, 0).run.checkpoint, ==,
	    LONG_TEXT);
	g_assert_cmpuint(
	    g_array_index(b.ended, struct gyp_listed_end, 0).number, ==, 8);
	g_assert_cmpint(g_array_index(b.ended, struct gyp_listed_end, 0).how,
	    ==, GYP__FLOW_HOW__FLOW_FAILED);
	g_assert_true(b.ends_complete);
	gyp_fleet_answer_clear(&b);
	gyp_message_free(am);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/carriers/spread", test_spread);
	g_test_add_func("/carriers/no-carriers", test_no_carriers);
	g_test_add_func("/carriers/frozen", test_frozen);
	g_test_add_func("/carriers/draining", test_draining);
	g_test_add_func("/carriers/disconnected", test_disconnected);
	g_test_add_func("/carriers/unanswered-call", test_unanswered_call);
	g_test_add_func("/carriers/direct-calls", test_direct_calls);
	g_test_add_func("/carriers/stale-call", test_stale_call);
	g_test_add_func("/carriers/messages", test_messages);
	return g_test_run();
}
