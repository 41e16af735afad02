#include <string.h>

#include <glib.h>

#include "fleet_int.h"
#include "members_fixture.h"
#include "msg.h"
#include "replica_int.h"

/* Heartbeats that followers answer and relay to the leader. */

/* As in fleet.c: an endpoint silent for longer gets no new run, in ms. */
#define SILENT_MS 4500

/* Interval of an endpoint's heartbeats, in ms. */
#define INTERVAL_MS 1500

/* Time after which no announcement of an earlier incarnation arrives, in ms. */
#define KNOWN_MS 16000

struct endpoint {
	char id[8];
	Gyp__CmdHost host;
	Gyp__Res capacity;
};

static void
endpoint_init(struct endpoint *e, guint nth)
{
	g_snprintf(e->id, sizeof(e->id), "e%u", nth);
	gyp__cmd_host__init(&e->host);
	gyp__res__init(&e->capacity);
	e->capacity.cpu_milli = 1000;
	e->host.id = e->id;
	e->host.address = "10.1.0.1:1";
	e->host.born_ms = 7;
	e->host.capacity = &e->capacity;
}

static struct gyp_replica *
leader(const struct cell *c)
{
	g_assert_cmpint(cell_leader(c), >=, 0);
	return c->nodes[cell_leader(c)].replica;
}

static int
follower(const struct cell *c)
{
	return (cell_leader(c) + 1) % c->n;
}

static enum gyp_heartbeat_result
beat(const struct cell *c, int node, const struct endpoint *e)
{
	return gyp_replica_heartbeat(
	    c->nodes[node].replica, c->now, &e->host, c->now);
}

/* Sends what an endpoint reports to the leader and waits for the commit. */
static void
commit(struct cell *c, struct endpoint *e)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Reply *reply;

	g_assert_cmpint(beat(c, cell_leader(c), e), ==, GYP_HEARTBEAT_CHANGED);
	call.id = ++c->calls;
	call.c_case = GYP__CALL__C_HOST;
	call.host = &e->host;
	g_assert_true(gyp_replica_local_call(leader(c), c->now, &call));
	cell_run(c, 200);
	reply = gyp_replica_pop_local_reply(leader(c));
	g_assert_nonnull(reply);
	gyp_message_free(reply);
}

/* The endpoint announces the shutdown of its incarnation to the leader. */
static void
depart(struct cell *c, struct endpoint *e, uint64_t incarnation_start_ms)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdHost host = GYP__CMD_HOST__INIT;

	host.id = e->id;
	host.born_ms = incarnation_start_ms;
	host.gone = true;
	call.id = ++c->calls;
	call.c_case = GYP__CALL__C_HOST;
	call.host = &host;
	g_assert_true(gyp_replica_local_call(leader(c), c->now, &call));
}

static bool
is_answered(const struct cell *c)
{
	Gyp__Reply *reply = gyp_replica_pop_local_reply(leader(c));
	bool answered = reply != NULL;

	if (answered)
		gyp_message_free(reply);
	return answered;
}

static struct gyp_fleet *
fleet(const struct cell *c)
{
	return gyp_flow_scheduler_fleet(leader(c)->flow_scheduler);
}

/* The leader's state of the endpoint that was committed first. */
static const struct gyp_fleet_endpoint *
first_endpoint(const struct cell *c)
{
	return gyp_fleet_get_endpoint(fleet(c), 0);
}

/* A cell whose followers relay from that many endpoints on, and one endpoint.
 */
static void
set_up(struct cell *c, const char *centres, uint32_t from, struct endpoint *e)
{
	const char *centre;

	cell_init(c, 1, "");
	c->relay_heartbeats_from = from;
	for (centre = centres; *centre != '\0'; centre++)
		cell_add_node(c, *centre);
	gyp_replica_bootstrap(c->nodes[0].replica, NULL);
	cell_settle(c);
	endpoint_init(e, 0);
	commit(c, e);
	g_assert_cmpint(beat(c, cell_leader(c), e), ==, GYP_HEARTBEAT_TAKEN);
}

/* Guards against a follower that stops answering although it reaches the
 * leader. */
static void
test_confirmed(void)
{
	struct cell c;
	struct endpoint e;
	int i;

	set_up(&c, "abc", 1, &e);
	for (i = 0; i < 200; i++) {
		g_assert_cmpint(
		    beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_TAKEN);
		cell_run(&c, i < 100 ? 20 : INTERVAL_MS);
	}
	cell_clear(&c);
}

/*
 * Guards against relayed heartbeats that the leader does not count, and against
 * news (an unknown endpoint, another address or incarnation, a drain) that a
 * follower acknowledges before its commit.
 */
static void
test_relay(void)
{
	struct cell c;
	struct endpoint e, other;

	set_up(&c, "abc", 1, &e);
	cell_run(&c, 1000);
	g_assert_cmpint(beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_TAKEN);
	cell_run(&c, 100);
	g_assert_cmpuint(first_endpoint(&c)->last_seen_at + 100, >=, c.now);
	g_assert_cmpuint(first_endpoint(&c)->clock_ms + 100, <=, c.now);

	endpoint_init(&other, 1);
	g_assert_cmpint(
	    beat(&c, follower(&c), &other), ==, GYP_HEARTBEAT_NO_LEADER);
	other = e;
	other.host.id = e.id;
	other.host.address = "10.1.0.2:1";
	g_assert_cmpint(
	    beat(&c, follower(&c), &other), ==, GYP_HEARTBEAT_NO_LEADER);
	other.host.address = e.host.address;
	other.host.born_ms = 6;
	g_assert_cmpint(
	    beat(&c, follower(&c), &other), ==, GYP_HEARTBEAT_NO_LEADER);
	other.host.born_ms = 8;
	g_assert_cmpint(
	    beat(&c, follower(&c), &other), ==, GYP_HEARTBEAT_NO_LEADER);

	/* A drain is acknowledged after its commit only. */
	e.host.draining = true;
	g_assert_cmpint(
	    beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_NO_LEADER);
	commit(&c, &e);
	g_assert_cmpint(beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_TAKEN);
	cell_clear(&c);
}

/*
 * Guards against a shutdown that only one leader knows of, which confirmed it
 * and is lost: its successors would wait for the lease of the endpoint.
 */
static void
test_departure_is_committed(void)
{
	struct cell c;
	struct endpoint e, second;
	const struct gyp_flows *flows;

	set_up(&c, "abc", 1, &e);
	endpoint_init(&second, 1);
	commit(&c, &second);
	flows = gyp_state_flows(gyp_replica_state(leader(&c)));
	depart(&c, &second, 7);
	g_assert_false(is_answered(&c));
	cell_run(&c, 50);
	g_assert_true(gyp_host_has_ended(gyp_host_at(flows, 1)));
	g_assert_true(is_answered(&c));
	c.nodes[cell_leader(&c)].mute = true;
	depart(&c, &e, 7);
	cell_run(&c, 50);
	g_assert_false(gyp_host_has_ended(gyp_host_at(flows, 0)));
	g_assert_false(is_answered(&c));
	c.nodes[cell_leader(&c)].mute = false;
	cell_run(&c, 500);
	g_assert_true(is_answered(&c));
	cell_clear(&c);
}

/*
 * The same for a shutdown that names no incarnation, if it must be the present
 * one's: that drained, and has been known for long.
 */
static void
test_unnamed_departure_is_committed(void)
{
	struct cell c;
	struct endpoint e;
	const struct gyp_flows *flows;

	set_up(&c, "abc", 1, &e);
	e.host.draining = true;
	commit(&c, &e);
	cell_run(&c, KNOWN_MS);
	flows = gyp_state_flows(gyp_replica_state(leader(&c)));
	depart(&c, &e, 0);
	g_assert_false(is_answered(&c));
	cell_run(&c, 50);
	g_assert_true(gyp_host_has_ended(gyp_host_at(flows, 0)));
	g_assert_true(is_answered(&c));
	cell_clear(&c);
}

/* Before, an earlier incarnation may have announced it. */
static void
test_unnamed_departure_of_young(void)
{
	struct cell c;
	struct endpoint e;

	set_up(&c, "abc", 1, &e);
	e.host.draining = true;
	commit(&c, &e);
	depart(&c, &e, 0);
	g_assert_true(is_answered(&c));
	cell_run(&c, 50);
	g_assert_false(gyp_host_has_ended(
	    gyp_host_at(gyp_state_flows(gyp_replica_state(leader(&c))), 0)));
	cell_clear(&c);
}

/* Without news there is nothing to wait for. */
static void
test_departure_without_news(void)
{
	struct cell c;
	struct endpoint e, unknown;

	set_up(&c, "abc", 1, &e);
	endpoint_init(&unknown, 1);
	c.nodes[cell_leader(&c)].mute = true;
	depart(&c, &e, 6);
	g_assert_true(is_answered(&c));
	depart(&c, &unknown, 7);
	g_assert_true(is_answered(&c));
	depart(&c, &e, 0);
	g_assert_true(is_answered(&c));
	cell_clear(&c);
}

/*
 * Guards against followers that answer with fewer endpoints than the setting:
 * the heartbeats go to the leader as without it.
 */
static void
test_below_limit(void)
{
	struct cell c;
	struct endpoint e, second;

	set_up(&c, "abc", 2, &e);
	g_assert_cmpint(
	    beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_NO_LEADER);
	g_assert_null(gyp_replica_heartbeat_address(leader(&c), e.id));
	endpoint_init(&second, 1);
	commit(&c, &second);
	g_assert_cmpint(beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_TAKEN);
	g_assert_nonnull(gyp_replica_heartbeat_address(leader(&c), e.id));
	cell_clear(&c);
}

/*
 * Guards against a follower that answers while it is cut off or its disk is
 * full: the leader would not hear of the endpoint.
 */
static void
test_no_contact(void)
{
	struct cell c;
	struct endpoint e;
	int full, last;

	set_up(&c, "abc", 1, &e);
	full = follower(&c);
	last = (full + 1) % 3;
	g_assert_cmpint(beat(&c, full, &e), ==, GYP_HEARTBEAT_TAKEN);
	cell_fill_disk(&c, full);
	cell_run(&c, 200);
	g_assert_cmpint(beat(&c, full, &e), ==, GYP_HEARTBEAT_NO_LEADER);
	g_assert_cmpuint(c.frames_while_full, ==, 0);
	g_assert_cmpint(beat(&c, last, &e), ==, GYP_HEARTBEAT_TAKEN);
	cell_stop(&c, cell_leader(&c));
	cell_run(&c, 2 * ELECTION_MS);
	g_assert_cmpint(beat(&c, last, &e), ==, GYP_HEARTBEAT_NO_LEADER);
	cell_clear(&c);
}

/* Counts to which replica the leader sends each of many endpoints. */
static void
count_named(const struct cell *c, guint counts[NODES])
{
	guint i;
	int node;

	memset(counts, 0, NODES * sizeof(counts[0]));
	for (i = 0; i < 400; i++) {
		char *id = g_strdup_printf("e%u", i);
		const char *address =
		    gyp_replica_heartbeat_address(leader(c), id);

		g_assert_nonnull(address);
		for (node = 0; node < c->n; node++)
			counts[node] +=
			    g_str_equal(address, c->nodes[node].address);
		g_free(id);
	}
}

/*
 * Guards against a leader that names itself, one follower for all endpoints, or
 * a follower that has stopped.
 */
static void
test_spread(void)
{
	struct cell c;
	struct endpoint e;
	guint counts[NODES];
	int node, stopped;

	set_up(&c, "abcab", 1, &e);
	count_named(&c, counts);
	for (node = 0; node < c.n; node++) {
		if (node == cell_leader(&c))
			g_assert_cmpuint(counts[node], ==, 0);
		else
			g_assert_cmpuint(counts[node], >, 50);
	}
	stopped = follower(&c);
	cell_stop(&c, stopped);
	cell_run(&c, 2 * ELECTION_MS);
	count_named(&c, counts);
	g_assert_cmpuint(counts[stopped], ==, 0);
	cell_clear(&c);
}

/*
 * Guards against a follower that hears the leader, doesn't reach it and goes on
 * answering: the leader would take these endpoints for silent, although they
 * are alive.
 */
static void
test_leader_not_reached(void)
{
	struct cell c;
	struct endpoint e;
	int mute, i;

	set_up(&c, "abc", 1, &e);
	mute = follower(&c);
	c.nodes[mute].mute = true;
	for (i = 0; i < 20; i++) {
		if (beat(&c, mute, &e) == GYP_HEARTBEAT_NO_LEADER)
			g_assert_cmpint(beat(&c, cell_leader(&c), &e), ==,
			    GYP_HEARTBEAT_TAKEN);
		cell_run(&c, INTERVAL_MS);
		g_assert_cmpuint(gyp_fleet_endpoint_silence_ms(
				     fleet(&c), first_endpoint(&c)),
		    <, SILENT_MS);
	}
	c.nodes[mute].mute = false;
	beat(&c, mute, &e);
	cell_run(&c, 200);
	g_assert_cmpint(beat(&c, mute, &e), ==, GYP_HEARTBEAT_TAKEN);
	cell_clear(&c);
}

/*
 * A follower is paused with a heartbeat that it has not relayed. Afterwards it
 * reads messages of the leader that waited; what it then relayed would make an
 * endpoint that has died meanwhile look alive.
 */
static void
test_paused(void)
{
	struct cell c;
	struct endpoint e;
	int node;
	uint64_t seen;

	set_up(&c, "abc", 1, &e);
	node = follower(&c);
	g_assert_cmpint(beat(&c, node, &e), ==, GYP_HEARTBEAT_TAKEN);
	seen = first_endpoint(&c)->last_seen_at;
	c.nodes[node].paused = true;
	cell_run(&c, 10000);
	cell_resume(&c, node);
	/* A heartbeat that waited in a socket is not vouched for either. */
	g_assert_cmpint(beat(&c, node, &e), ==, GYP_HEARTBEAT_NO_LEADER);
	cell_run(&c, 400);
	g_assert_cmpuint(first_endpoint(&c)->last_seen_at, ==, seen);
	cell_run(&c, 400);
	g_assert_cmpint(beat(&c, node, &e), ==, GYP_HEARTBEAT_TAKEN);
	cell_clear(&c);
}

/* Guards against an acknowledged heartbeat that is dropped for lack of room. */
static void
test_too_many(void)
{
	struct cell c;
	struct endpoint e;
	int i;

	set_up(&c, "abc", 1, &e);
	for (i = 0; i < 4096; i++)
		g_assert_cmpint(
		    beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_TAKEN);
	g_assert_cmpint(
	    beat(&c, follower(&c), &e), ==, GYP_HEARTBEAT_NO_LEADER);
	cell_clear(&c);
}

static void
send_beats(struct cell *c, uint64_t from, Gyp__HostBeat *b, size_t n)
{
	Gyp__HostBeat **list = g_new(Gyp__HostBeat *, n);
	Gyp__HostBeats beats = GYP__HOST_BEATS__INIT;
	Gyp__Frame frame = GYP__FRAME__INIT;
	size_t i;

	for (i = 0; i < n; i++)
		list[i] = b;
	beats.n_beats = n;
	beats.beats = list;
	frame.body_case = GYP__FRAME__BODY_BEATS;
	frame.beats = &beats;
	gyp_replica_receive(leader(c), c->now, from, &frame);
	g_free(list);
}

/*
 * Frames that no follower sends have no effect: unknown rows, too many, another
 * sender. An incarnation that is not in the tables would make the leader ignore
 * the present one.
 */
static void
test_malformed(void)
{
	struct cell c;
	struct endpoint e;
	Gyp__HostBeat b = GYP__HOST_BEAT__INIT;
	uint64_t from, seen;

	set_up(&c, "abc", 1, &e);
	from = c.nodes[follower(&c)].id;
	seen = first_endpoint(&c)->last_seen_at;
	cell_run(&c, 100);
	b.born_ms = 9;
	send_beats(&c, from, &b, 1);
	b.born_ms = 7;
	b.host = UINT32_MAX;
	send_beats(&c, from, &b, 1);
	b.host = 0;
	send_beats(&c, ENTRY_ID, &b, 1);
	send_beats(&c, from, &b, 5000);
	g_assert_cmpuint(first_endpoint(&c)->incarnation_start_ms, ==, 7);
	g_assert_cmpuint(first_endpoint(&c)->last_seen_at, ==, seen);
	send_beats(&c, from, &b, 1);
	g_assert_cmpuint(first_endpoint(&c)->last_seen_at, ==, c.now);
	cell_clear(&c);
}

/* ---- A shutdown whose confirmation is late ------------------------------- */

/* As in pf_control.c: a call that is not committed by then gets 504, in ms. */
#define COMMIT_TIMEOUT_MS 900

/* Time for which an endpoint goes on after a shutdown without an answer. */
#define UNCONFIRMED_MS 3000

#define FLOW 0xf1ULL

/* Run numbers of the only task at each endpoint, 0 for none. */
static uint32_t runs_at[2];

/* The leader, also while it has no lease. */
static struct gyp_replica *served;

static void
answer_poll(struct cell *c, const struct gyp_fleet_call *call)
{
	struct gyp_fleet_answer a = {.call = call->id,
	    .end = GYP_FLEET_OK,
	    .has_clock = true,
	    .clock_ms = c->now,
	    .incarnation_start_ms = 7,
	    .listed = true,
	    .ends_complete = true};
	struct gyp_listed_run run = {.flow = FLOW, .run = runs_at[call->row]};

	a.running = g_array_new(FALSE, TRUE, sizeof(run));
	a.ended = g_array_new(FALSE, TRUE, sizeof(struct gyp_listed_end));
	if (run.run != 0)
		g_array_append_val(a.running, run);
	gyp_replica_endpoint_call_answered(served, c->now, &a);
	g_array_free(a.running, TRUE);
	g_array_free(a.ended, TRUE);
}

/* Both endpoints are up, report that they are, and answer all calls. */
static void
serve(struct cell *c, struct endpoint *both[2], uint32_t ms)
{
	uint64_t end = c->now + ms;
	struct gyp_fleet_call *call;

	while (c->now < end) {
		cell_run(c, 10);
		if (c->now % 500 == 0) {
			gyp_replica_heartbeat(
			    served, c->now, &both[0]->host, c->now);
			gyp_replica_heartbeat(
			    served, c->now, &both[1]->host, c->now);
		}
		while ((call = gyp_replica_pop_endpoint_call(served)) != NULL) {
			struct gyp_fleet_answer a = {.call = call->id,
			    .end = GYP_FLEET_OK,
			    .has_clock = true,
			    .clock_ms = c->now,
			    .incarnation_start_ms = 7};

			if (call->kind == GYP_FLEET_START)
				runs_at[call->row] = call->run;
			if (call->kind == GYP_FLEET_POLL)
				answer_poll(c, call);
			else
				gyp_replica_endpoint_call_answered(
				    served, c->now, &a);
			gyp_fleet_call_free(call);
		}
	}
}

static void
submit_lasting(struct cell *c)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow submit = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT, *steps = &step;
	Gyp__Res need = GYP__RES__INIT;

	need.cpu_milli = 100;
	step.count = 1;
	step.size = &need;
	step.lasting = true;
	queue.name = "queue";
	queue.pool = "";
	queue.attempts = 3;
	spec.id = FLOW;
	spec.queue = &queue;
	spec.n_steps = 1;
	spec.steps = &steps;
	submit.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &submit;
	gyp_replica_propose(leader(c), &cmd);
}

/* Bytes of a manifest, more than a batch takes beside other commands. */
#define MANIFEST_BYTES (1024 * 1024)

static void
change_manifest(uint64_t version, uint64_t now)
{
	Gyp__CmdManifest *m = g_new(Gyp__CmdManifest, 1);

	gyp__cmd_manifest__init(m);
	m->version = version;
	m->text.data = g_malloc0(MANIFEST_BYTES);
	m->text.len = MANIFEST_BYTES;
	g_assert_true(gyp_replica_local_manifest(served, now, m));
}

/*
 * Guards against a task that runs twice: the record of a shutdown is committed
 * after eight changes of the manifest, so that its announcement got 504. The
 * endpoint then goes on for a while, and the leader must not take it for ended
 * since the announcement.
 */
static void
test_departure_confirmed_late(void)
{
	struct cell c;
	struct endpoint e, second, *both[2] = {&e, &second};
	uint64_t term;
	int at, i;

	set_up(&c, "abc", 100, &e);
	endpoint_init(&second, 1);
	second.host.address = "10.1.0.2:1";
	commit(&c, &second);
	served = leader(&c);
	fleet(&c)->cfg.lease_ms = 10000;
	serve(&c, both, 3000);
	submit_lasting(&c);
	serve(&c, both, 3000);
	g_assert_cmpuint(runs_at[0] + runs_at[1], ==, 1);
	at = runs_at[1] != 0;

	term = gyp_raft_term(served->raft);
	g_assert_null(c.rand);
	c.rand = g_rand_new_with_seed(1);
	c.sync_max_ms = 250;
	for (i = 1; i <= 8; i++)
		change_manifest((uint64_t)i, c.now);
	depart(&c, at == 0 ? &e : &second, 7);
	serve(&c, both, COMMIT_TIMEOUT_MS);
	g_assert_null(gyp_replica_pop_local_reply(served));
	/* 504 now: the endpoint goes on, and lists its run to all who ask. */
	serve(&c, both, UNCONFIRMED_MS - COMMIT_TIMEOUT_MS);
	g_assert_cmpuint(gyp_raft_term(served->raft), ==, term);
	g_assert_cmpuint(runs_at[at], ==, 1);
	g_assert_cmpuint(runs_at[1 - at], ==, 0);
	g_rand_free(c.rand);
	c.rand = NULL;
	cell_clear(&c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/heartbeats/relay", test_relay);
	g_test_add_func(
	    "/heartbeats/departure-is-committed", test_departure_is_committed);
	g_test_add_func("/heartbeats/unnamed-departure-is-committed",
	    test_unnamed_departure_is_committed);
	g_test_add_func("/heartbeats/unnamed-departure-of-young",
	    test_unnamed_departure_of_young);
	g_test_add_func(
	    "/heartbeats/departure-without-news", test_departure_without_news);
	g_test_add_func("/heartbeats/confirmed", test_confirmed);
	g_test_add_func("/heartbeats/below-limit", test_below_limit);
	g_test_add_func("/heartbeats/no-contact", test_no_contact);
	g_test_add_func("/heartbeats/spread", test_spread);
	g_test_add_func(
	    "/heartbeats/leader-not-reached", test_leader_not_reached);
	g_test_add_func("/heartbeats/paused", test_paused);
	g_test_add_func("/heartbeats/too-many", test_too_many);
	g_test_add_func("/heartbeats/malformed", test_malformed);
	g_test_add_func("/heartbeats/departure-confirmed-late",
	    test_departure_confirmed_late);
	return g_test_run();
}
