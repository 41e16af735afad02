#include <string.h>

#include <glib.h>

#include "entry_fixture.h"
#include "members_fixture.h"
#include "workspace.h"

/*
 * Refused flows never run, also when the same request was sent before. The
 * pools have no endpoints, so that a flow beyond the rate is always refused.
 * Workspace "a" has the key "ka" and one flow a second, "b" has "kb" and ten.
 */

#define KEYS 2

struct keyed_manifest {
	Gyp__CmdManifest m;
	Gyp__FlowQueue queue;
	Gyp__FlowQueue *queues[1];
	Gyp__Workspace ws[KEYS], *list[KEYS];
	ProtobufCBinaryData keys[KEYS];
	uint8_t digests[KEYS][GYP_KEY_DIGEST_BYTES];
	Gyp__Call call;
};

/* Makes a call that sets a manifest with the first n workspaces. */
static const Gyp__Call *
make_manifest(struct keyed_manifest *x, uint64_t version, size_t n)
{
	static const char *const names[KEYS] = {"a", "b"};
	static const char *const keys[KEYS] = {"ka", "kb"};
	static const double rates[KEYS] = {1, 10};
	size_t i;

	gyp__cmd_manifest__init(&x->m);
	gyp__flow_queue__init(&x->queue);
	gyp__call__init(&x->call);
	for (i = 0; i < KEYS; i++) {
		gyp__workspace__init(&x->ws[i]);
		gyp_api_key_digest(keys[i], strlen(keys[i]), x->digests[i]);
		x->keys[i].data = x->digests[i];
		x->keys[i].len = GYP_KEY_DIGEST_BYTES;
		x->ws[i].name = (char *)names[i];
		x->ws[i].rate = rates[i];
		x->ws[i].n_key_digests = 1;
		x->ws[i].key_digests = &x->keys[i];
		x->list[i] = &x->ws[i];
	}
	x->queue.name = "q";
	x->queue.host = "h";
	x->queue.prefix = "/q/";
	x->queue.pool = "pool";
	x->queues[0] = &x->queue;
	x->m.version = version;
	x->m.n_queues = 1;
	x->m.queues = x->queues;
	x->m.n_workspaces = n;
	x->m.workspaces = x->list;
	x->m.requires_keys = true;
	x->call.c_case = GYP__CALL__C_MANIFEST;
	x->call.manifest = &x->m;
	return &x->call;
}

struct flow_call {
	Gyp__Call call;
	Gyp__FlowCall flow;
	Gyp__FlowSpec spec;
	Gyp__FlowStep step, *steps[1];
	Gyp__Res size;
	char path[32];
	uint8_t digest[GYP_KEY_DIGEST_BYTES];
};

/* Makes a call that submits a flow; key may be NULL. */
static Gyp__Call *
make_submit(struct flow_call *c, uint64_t id, const char *key)
{
	gyp__call__init(&c->call);
	gyp__flow_call__init(&c->flow);
	gyp__flow_spec__init(&c->spec);
	gyp__flow_step__init(&c->step);
	gyp__res__init(&c->size);
	c->size.cpu_milli = 1000;
	c->step.count = 1;
	c->step.size = &c->size;
	c->steps[0] = &c->step;
	c->spec.n_steps = 1;
	c->spec.steps = c->steps;
	g_snprintf(
	    c->path, sizeof(c->path), "/q/%016" G_GINT64_MODIFIER "x", id);
	c->flow.host = "h";
	c->flow.path = c->path;
	c->flow.submit = &c->spec;
	if (key != NULL) {
		gyp_api_key_digest(key, strlen(key), c->digest);
		c->flow.key_digest.data = c->digest;
		c->flow.key_digest.len = GYP_KEY_DIGEST_BYTES;
	}
	c->call.c_case = GYP__CALL__C_FLOW;
	c->call.flow = &c->flow;
	return &c->call;
}

/* ---- One replica and two entries ---------------------------------------- */

static struct entry_fixture *
new_fixture(void)
{
	struct entry_fixture *fx = entry_fixture_new();
	struct keyed_manifest x;

	g_assert_true(gyp_replica_local_call(
	    fx->replica, fx->now, make_manifest(&x, 1, KEYS)));
	entry_fixture_run(fx, 100);
	return fx;
}

static void
submit(struct entry_fixture *fx, int entry, uint64_t id, const char *key)
{
	struct flow_call c;

	g_assert_cmpuint(
	    entry_fixture_call(fx, entry, make_submit(&c, id, key), 3000), !=,
	    0);
}

/* Code of the latest answer at the entry, -1 for "no answer". */
static int
last_code(const struct entry_fixture *fx, int entry)
{
	const struct gyp_answer *a = entry_fixture_last_answer(fx, entry);

	g_assert_nonnull(a);
	g_assert_true(a->final && a->sent);
	return a->reply != NULL ? (int)a->reply->code : -1;
}

static bool
is_known(const struct entry_fixture *fx, uint64_t id)
{
	return gyp_flow_get(
		   gyp_state_flows(gyp_replica_state(fx->replica)), id) != NULL;
}

/* Sends what the entry has not got an answer to once more. */
static void
reconnect(struct entry_fixture *fx, int entry)
{
	fx->cut_up[entry] = fx->cut_down[entry] = false;
	gyp_entry_connected(fx->entries[entry], fx->now, "127.0.0.1:1");
	entry_fixture_run(fx, 200);
}

/* Guards against a task that has another name than its caller's id gives it. */
static void
test_id_is_kept(void)
{
	static const char id[] = "00aBCdef0000000F";
	struct entry_fixture *fx = new_fixture();
	struct flow_call c;
	const struct gyp_flow *flow;
	char text[GYP_FLOW_ID_DIGITS + 1];

	make_submit(&c, 0, "ka");
	g_snprintf(c.path, sizeof(c.path), "/q/%s", id);
	entry_fixture_call(fx, 0, &c.call, 3000);
	entry_fixture_run(fx, 200);
	flow = gyp_flow_get(gyp_state_flows(gyp_replica_state(fx->replica)),
	    0x00abcdef0000000fULL);
	g_assert_nonnull(flow);
	gyp_flow_id_format(flow->id, flow->spec->id_capitals, text);
	g_assert_cmpstr(text, ==, id);
	entry_fixture_free(fx);
}

/*
 * Guards against a refusal of a request whose first sending, through this or
 * another entry, is not committed yet and will be accepted.
 */
static void
check_uncommitted(int second_entry)
{
	struct entry_fixture *fx = new_fixture();
	guint i;

	submit(fx, 0, 1, "ka"); /* takes the only token */
	submit(fx, second_entry, 1, "ka");
	submit(fx, 1, 2, "ka");
	entry_fixture_run(fx, 200);
	g_assert_true(is_known(fx, 1));
	g_assert_false(is_known(fx, 2));
	g_assert_cmpuint(fx->answers[0]->len + fx->answers[1]->len, ==, 3);
	for (i = 0; i < fx->answers[0]->len; i++)
		g_assert_cmpint(((struct gyp_answer *)fx->answers[0]->pdata[i])
				    ->reply->code,
		    ==, GYP__CODE__CODE_OK);
	entry_fixture_free(fx);
}

static void
test_uncommitted(void)
{
	check_uncommitted(0);
	check_uncommitted(1);
}

/*
 * Guards against a caller that is told that its flow is accepted when another
 * workspace's flow of that id is about to be.
 */
static void
test_same_id(void)
{
	struct entry_fixture *fx = new_fixture();

	submit(fx, 0, 1, "ka");
	submit(fx, 1, 1, "kb");
	entry_fixture_run(fx, 200);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_BUSY);
	submit(fx, 1, 1, "kb");
	entry_fixture_run(fx, 200);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_FORBIDDEN);
	entry_fixture_free(fx);
}

/*
 * Guards against an entry that passes on a refusal although an earlier sending
 * may be accepted, and against one that withholds the first sending's.
 */
static void
test_sent_twice(void)
{
	struct entry_fixture *fx = new_fixture();

	fx->cut_up[0] = true;
	submit(fx, 0, 1, "ka");
	entry_fixture_run(fx, 100);
	submit(fx, 1, 2, "ka");
	entry_fixture_run(fx, 100);
	submit(fx, 1, 3, "ka");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_OVER_RATE);
	g_assert_cmpuint(
	    entry_fixture_last_answer(fx, 1)->reply->retry_ms, >=, 1000);
	reconnect(fx, 0);
	g_assert_cmpint(last_code(fx, 0), ==, -1);
	entry_fixture_free(fx);
}

/* Guards against a refusal of a flow that was accepted but not answered. */
static void
test_answer_lost(void)
{
	struct entry_fixture *fx = new_fixture();

	fx->cut_down[0] = true;
	submit(fx, 0, 1, "ka");
	entry_fixture_run(fx, 100);
	g_assert_true(is_known(fx, 1));
	reconnect(fx, 0);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_OK);
	entry_fixture_free(fx);
}

/*
 * Guards against a 401, which says that the flow never runs, for one that was
 * accepted before its key was removed. A call without a key is answered.
 */
static void
test_key_removed(void)
{
	struct entry_fixture *fx = new_fixture();
	struct keyed_manifest x;

	fx->cut_down[0] = fx->cut_down[1] = true;
	submit(fx, 0, 1, "kb");
	submit(fx, 1, 2, NULL);
	entry_fixture_run(fx, 100);
	g_assert_true(is_known(fx, 1));
	g_assert_true(gyp_replica_local_call(
	    fx->replica, fx->now, make_manifest(&x, 2, 1)));
	entry_fixture_run(fx, 100);
	reconnect(fx, 0);
	reconnect(fx, 1);
	g_assert_cmpint(last_code(fx, 0), ==, -1);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_UNAUTHENTICATED);
	submit(fx, 0, 3, "kb");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_UNAUTHENTICATED);
	g_assert_false(is_known(fx, 2) || is_known(fx, 3));
	entry_fixture_free(fx);
}

/* ---- Routes that are dropped --------------------------------------------- */

/* A fixture whose entries have heard the cell time. */
static struct entry_fixture *
new_timed_fixture(void)
{
	struct entry_fixture *fx = new_fixture();

	entry_fixture_run(fx, 3000);
	return fx;
}

/* Commits a manifest in which the queue has that prefix. */
static void
move_queue(struct entry_fixture *fx, uint64_t version, const char *prefix)
{
	struct keyed_manifest x;
	const Gyp__Call *call = make_manifest(&x, version, KEYS);

	x.queue.prefix = (char *)prefix;
	g_assert_true(gyp_replica_local_call(fx->replica, fx->now, call));
	entry_fixture_run(fx, 100);
}

/*
 * Guards against a 404 for a flow that was accepted: the answer was lost in a
 * cut, and the route was dropped before the entry sent the request again.
 */
static void
test_route_dropped(void)
{
	struct entry_fixture *fx = new_timed_fixture();

	fx->cut_down[0] = true;
	submit(fx, 0, 1, "kb");
	entry_fixture_run(fx, 100);
	g_assert_true(is_known(fx, 1));
	move_queue(fx, 2, "/other/");
	reconnect(fx, 0);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_OK);
	entry_fixture_free(fx);
}

/* The same when another route has a prefix of the flow's path. */
static void
test_route_shortened(void)
{
	struct entry_fixture *fx = new_timed_fixture();

	fx->cut_down[0] = true;
	submit(fx, 0, 1, "kb");
	entry_fixture_run(fx, 100);
	move_queue(fx, 2, "/");
	reconnect(fx, 0);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_OK);
	entry_fixture_free(fx);
}

/*
 * A request that is received after the change is handled by it, also for a flow
 * that was accepted before.
 */
static void
test_route_dropped_before(void)
{
	struct entry_fixture *fx = new_timed_fixture();

	submit(fx, 0, 1, "kb");
	entry_fixture_run(fx, 100);
	move_queue(fx, 2, "/other/");
	entry_fixture_run(fx, 2000);
	submit(fx, 1, 1, "kb");
	submit(fx, 1, 2, "kb");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_NOT_FOUND);
	g_assert_false(is_known(fx, 2));
	entry_fixture_free(fx);
}

/*
 * The leader does not know whether an earlier sending is still on its way, so
 * a refusal of a later one is not passed on.
 */
static void
test_route_dropped_unknown(void)
{
	struct entry_fixture *fx = new_timed_fixture();

	fx->cut_up[0] = true;
	submit(fx, 0, 1, "kb");
	entry_fixture_run(fx, 100);
	move_queue(fx, 2, "/other/");
	reconnect(fx, 0);
	g_assert_cmpint(last_code(fx, 0), ==, -1);
	g_assert_false(is_known(fx, 1));
	entry_fixture_free(fx);
}

/* ---- Cancellations --------------------------------------------------------
 */

static void
cancel(struct entry_fixture *fx, int entry, uint64_t id, const char *key)
{
	struct flow_call c;
	Gyp__Call *call = make_submit(&c, id, key);

	call->flow->submit = NULL;
	call->flow->cancel = true;
	g_assert_cmpuint(entry_fixture_call(fx, entry, call, 3000), !=, 0);
}

static const struct gyp_flow *
find_flow(const struct entry_fixture *fx, uint64_t id)
{
	return gyp_flow_get(
	    gyp_state_flows(gyp_replica_state(fx->replica)), id);
}

/*
 * Guards against a flow that runs after its cancellation was acknowledged: the
 * request that submits it was still at an entry that was cut off.
 */
static void
test_cancelled_before_submit(void)
{
	struct entry_fixture *fx = new_fixture();

	fx->cut_up[0] = true;
	submit(fx, 0, 1, "kb");
	entry_fixture_run(fx, 100);
	cancel(fx, 1, 1, "kb");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_RETIRED);
	g_assert_false(is_known(fx, 1));
	reconnect(fx, 0);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(find_flow(fx, 1)->state, ==, GYP_FLOW_CANCELLED);
	cancel(fx, 1, 1, "kb");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_OK);
	entry_fixture_free(fx);
}

/* The same when the submission has arrived and is not committed yet. */
static void
test_cancelled_beside_submit(void)
{
	struct entry_fixture *fx = new_fixture();

	submit(fx, 0, 1, "kb");
	cancel(fx, 1, 1, "kb");
	entry_fixture_run(fx, 200);
	g_assert_cmpint(last_code(fx, 0), ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(find_flow(fx, 1)->state, ==, GYP_FLOW_CANCELLED);
	entry_fixture_free(fx);
}

/* A workspace cannot cancel what another one submits under the same id. */
static void
test_cancelled_by_other_workspace(void)
{
	struct entry_fixture *fx = new_fixture();

	cancel(fx, 1, 1, "ka");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(last_code(fx, 1), ==, GYP__CODE__CODE_RETIRED);
	submit(fx, 0, 1, "kb");
	entry_fixture_run(fx, 100);
	g_assert_cmpint(find_flow(fx, 1)->state, ==, GYP_FLOW_QUEUED);
	entry_fixture_free(fx);
}

/* ---- Delayed requests ---------------------------------------------------- */

static uint64_t
cell_time(const struct cell *c)
{
	return gyp_state_time(
	    gyp_replica_state(c->nodes[cell_leader(c)].replica));
}

static Gyp__Code
cell_submit_received(struct cell *c, uint64_t id, uint64_t received_ms)
{
	struct flow_call f;
	Gyp__Call *call = make_submit(&f, id, "ka");

	call->flow->received_ms = received_ms;
	cell_send_call(c, call);
	cell_run(c, 100);
	g_assert_nonnull(c->reply);
	return c->reply->code;
}

/*
 * Guards against a flow that runs after its caller was told that it will not:
 * the first sending of the request was delayed between an entry and the leader,
 * the second one was refused, and the first one arrives when the rate allows
 * it.
 */
static void
test_delayed(void)
{
	struct keyed_manifest x;
	struct cell c;
	uint64_t received;

	cell_init(&c, 1, "abc");
	cell_settle(&c);
	g_assert_true(gyp_replica_local_call(c.nodes[cell_leader(&c)].replica,
	    c.now, make_manifest(&x, 1, KEYS)));
	cell_run(&c, 100);
	received = cell_time(&c);
	g_assert_cmpint(
	    cell_submit_received(&c, 2, received), ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(cell_submit_received(&c, 1, cell_time(&c)), ==,
	    GYP__CODE__CODE_OVER_RATE);
	cell_run(&c, 2000);
	g_assert_cmpint(cell_submit_received(&c, 1, received), ==,
	    GYP__CODE__CODE_OVER_RATE);
	cell_run(&c, 2000);
	g_assert_cmpint(cell_submit_received(&c, 1, received + 3000), ==,
	    GYP__CODE__CODE_OK);
	cell_clear(&c);
}

/* ---- Three replicas ----------------------------------------------------- */

static bool
cell_knows(const struct cell *c, uint64_t id)
{
	const struct gyp_replica *r = c->nodes[cell_leader(c)].replica;

	return gyp_flow_get(gyp_state_flows(gyp_replica_state(r)), id) != NULL;
}

static Gyp__Code
cell_submit(struct cell *c, uint64_t id, uint32_t wait_ms)
{
	struct flow_call f;

	cell_send_call(c, make_submit(&f, id, "ka"));
	cell_run(c, wait_ms);
	return c->reply != NULL ? c->reply->code : GYP__CODE__CODE_ACCEPTED;
}

/*
 * A request is sent to a leader that stops at once, and again to its successor,
 * where the workspace's rate is used up. Guards against a refusal when the
 * first sending is in the log, and against a flow that runs though it was
 * refused.
 */
static void
check_new_leader(uint32_t seed, bool replicated)
{
	struct keyed_manifest x;
	struct flow_call f;
	struct cell c;
	Gyp__Code code;

	cell_init(&c, seed, "abc");
	cell_settle(&c);
	g_assert_true(gyp_replica_local_call(c.nodes[cell_leader(&c)].replica,
	    c.now, make_manifest(&x, 1, KEYS)));
	cell_run(&c, 100);
	cell_send_call(&c, make_submit(&f, 1, "ka"));
	g_assert_null(c.reply);
	cell_stop(&c, cell_leader(&c));
	if (!replicated)
		cell_drop_frames(&c);
	while (cell_leader(&c) < 0)
		cell_run(&c, 10);
	g_assert_cmpint(cell_knows(&c, 1), ==, replicated);
	cell_submit(&c, 2, 100);
	code = cell_submit(&c, 1, 100);
	g_assert_cmpint(code, ==,
	    replicated ? GYP__CODE__CODE_OK : GYP__CODE__CODE_OVER_RATE);
	cell_run(&c, 2000);
	g_assert_cmpint(cell_knows(&c, 1), ==, replicated);
	/* Decided afresh, when its rate allows it. */
	g_assert_cmpint(cell_submit(&c, 1, 100), ==, GYP__CODE__CODE_OK);
	cell_clear(&c);
}

/* The next leader knows of a cancellation that came before its flow. */
static void
test_cancelled_before_new_leader(void)
{
	struct keyed_manifest x;
	struct flow_call f;
	struct cell c;
	Gyp__Call *call;
	const struct gyp_flow *flow;

	cell_init(&c, 3, "abc");
	cell_settle(&c);
	g_assert_true(gyp_replica_local_call(c.nodes[cell_leader(&c)].replica,
	    c.now, make_manifest(&x, 1, KEYS)));
	cell_run(&c, 100);
	call = make_submit(&f, 1, "ka");
	call->flow->submit = NULL;
	call->flow->cancel = true;
	cell_send_call(&c, call);
	cell_run(&c, 100);
	g_assert_cmpint(c.reply->code, ==, GYP__CODE__CODE_RETIRED);
	cell_stop(&c, cell_leader(&c));
	while (cell_leader(&c) < 0)
		cell_run(&c, 10);
	g_assert_cmpint(cell_submit(&c, 1, 100), ==, GYP__CODE__CODE_OK);
	flow = gyp_flow_get(gyp_state_flows(gyp_replica_state(
				c.nodes[cell_leader(&c)].replica)),
	    1);
	g_assert_cmpint(flow->state, ==, GYP_FLOW_CANCELLED);
	cell_clear(&c);
}

static void
test_new_leader(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 4; seed++) {
		check_new_leader(seed, false);
		check_new_leader(seed, true);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/refusals/uncommitted", test_uncommitted);
	g_test_add_func("/refusals/same-id", test_same_id);
	g_test_add_func("/refusals/sent-twice", test_sent_twice);
	g_test_add_func("/refusals/answer-lost", test_answer_lost);
	g_test_add_func("/refusals/key-removed", test_key_removed);
	g_test_add_func("/refusals/route-dropped", test_route_dropped);
	g_test_add_func("/refusals/route-shortened", test_route_shortened);
	g_test_add_func(
	    "/refusals/route-dropped-before", test_route_dropped_before);
	g_test_add_func(
	    "/refusals/route-dropped-unknown", test_route_dropped_unknown);
	g_test_add_func(
	    "/refusals/cancelled-before-submit", test_cancelled_before_submit);
	g_test_add_func(
	    "/refusals/cancelled-beside-submit", test_cancelled_beside_submit);
	g_test_add_func("/refusals/cancelled-by-other-workspace",
	    test_cancelled_by_other_workspace);
	g_test_add_func("/refusals/cancelled-before-new-leader",
	    test_cancelled_before_new_leader);
	g_test_add_func("/refusals/id-is-kept", test_id_is_kept);
	g_test_add_func("/refusals/delayed", test_delayed);
	g_test_add_func("/refusals/new-leader", test_new_leader);
	return g_test_run();
}
