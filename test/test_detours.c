#include <glib.h>

#include "carriers.h"
#include "members_fixture.h"
#include "msg.h"
#include "replica_int.h"

/*
 * The leader's calls to an endpoint that the VMs of the replicas do not reach,
 * with one entry that carries calls and one that does not.
 */

#define CARRIER 101ULL
#define SPARE   102ULL

struct fixture {
	struct cell cell;
	Gyp__CmdHost host; /* the endpoint */
	Gyp__Res capacity;
	uint64_t entry; /* that the latest call was sent to */
	uint64_t call;  /* its id; 0 if there was none */
};

static struct gyp_replica *
leader(const struct fixture *f)
{
	return f->cell.nodes[0].replica;
}

/* A leader alone in its cell, with one endpoint. */
static void
fixture_init(struct fixture *f)
{
	Gyp__Call call = GYP__CALL__INIT;

	*f = (struct fixture){
	    .host = GYP__CMD_HOST__INIT, .capacity = GYP__RES__INIT};
	cell_init(&f->cell, 1, "");
	cell_add_node(&f->cell, 'a');
	gyp_replica_bootstrap(leader(f), NULL);
	cell_settle(&f->cell);
	f->capacity.cpu_milli = 1000;
	f->host.id = "e0";
	f->host.address = "10.1.0.1:1";
	f->host.born_ms = 7;
	f->host.capacity = &f->capacity;
	call.id = 1;
	call.c_case = GYP__CALL__C_HOST;
	call.host = &f->host;
	g_assert_true(gyp_replica_local_call(leader(f), f->cell.now, &call));
	cell_run(&f->cell, 200);
	gyp_message_free(gyp_replica_pop_local_reply(leader(f)));
}

/* A frame from an entry, with one answer unless that is NULL. */
static void
send_frame(struct fixture *f, uint64_t entry, Gyp__HostAnswer *answer)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;

	up.round = f->cell.now;
	up.carries = entry == CARRIER;
	up.host_answers = &answer;
	up.n_host_answers = answer != NULL;
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	gyp_replica_receive(leader(f), f->cell.now, entry, &frame);
}

/* Keeps the first call in the frames that the leader sends to entries. */
static void
collect_calls(struct fixture *f)
{
	struct gyp_out_frame out;

	while (gyp_replica_pop_frame(leader(f), &out)) {
		Gyp__Frame *frame =
		    gyp__frame__unpack(NULL, g_bytes_get_size(out.packed),
			g_bytes_get_data(out.packed, NULL));

		if (out.entry && frame->down->n_host_calls > 0 &&
		    f->call == 0) {
			f->entry = out.to;
			f->call = frame->down->host_calls[0]->id;
		}
		gyp__frame__free_unpacked(frame, NULL);
		g_bytes_unref(out.packed);
	}
}

/*
 * Returns the entry that is to make the next call. The endpoint's heartbeats
 * arrive.
 */
static uint64_t
next_carrier(struct fixture *f)
{
	int i;

	f->call = 0;
	for (i = 0; i < 100 && f->call == 0; i++) {
		f->cell.now += 10;
		gyp_replica_heartbeat(
		    leader(f), f->cell.now, &f->host, f->cell.now);
		send_frame(f, CARRIER, NULL);
		send_frame(f, SPARE, NULL);
		gyp_replica_tick(leader(f), f->cell.now);
		collect_calls(f);
	}
	g_assert_cmpuint(f->call, !=, 0);
	return f->entry;
}

static void
answer(struct fixture *f, enum gyp_fleet_call_result end)
{
	Gyp__HostAnswer a = GYP__HOST_ANSWER__INIT;

	a.call = f->call;
	a.end = end;
	a.listed = end == GYP_FLEET_OK;
	a.has_clock = a.listed;
	a.clock_ms = f->cell.now;
	a.born_ms = 7;
	send_frame(f, f->entry, &a);
}

/*
 * Guards against an endpoint that counts as silent while only the carrier of
 * its calls is cut off from it.
 */
static void
test_spare_reaches_endpoint(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpuint(next_carrier(&f), ==, CARRIER);
	answer(&f, GYP_FLEET_LOST);
	g_assert_cmpuint(next_carrier(&f), ==, SPARE);
	answer(&f, GYP_FLEET_OK);
	g_assert_true(gyp_fleet_is_contacted(
	    gyp_flow_scheduler_fleet(leader(&f)->flow_scheduler), 0));
	cell_clear(&f.cell);
}

/* An endpoint that nobody reaches is called by all in turn. */
static void
test_nobody_reaches_endpoint(void)
{
	struct fixture f;
	int i;

	fixture_init(&f);
	for (i = 0; i < 4; i++) {
		g_assert_cmpuint(next_carrier(&f), ==, CARRIER);
		answer(&f, GYP_FLEET_LOST);
		g_assert_cmpuint(next_carrier(&f), ==, SPARE);
		answer(&f, GYP_FLEET_LOST);
	}
	cell_clear(&f.cell);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/detours/spare-reaches-endpoint", test_spare_reaches_endpoint);
	g_test_add_func(
	    "/detours/nobody-reaches-endpoint", test_nobody_reaches_endpoint);
	return g_test_run();
}
