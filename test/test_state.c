#include <string.h>

#include <glib.h>

#include "flow.h"
#include "msg.h"
#include "state.h"

static void
apply(struct gyp_state *s, Gyp__Cmd *cmd)
{
	Gyp__Batch batch = GYP__BATCH__INIT;

	batch.time_ms = gyp_state_time(s) + 1;
	batch.n_cmds = 1;
	batch.cmds = &cmd;
	gyp_state_apply(s, &batch);
	gyp_state_check(s);
}

static void
add_endpoint(struct gyp_state *s, const char *name, uint32_t cpu)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res cap = GYP__RES__INIT;

	cap.cpu_milli = cpu;
	cap.memory = 1 << 30;
	cap.slots = 8;
	ep.name = (char *)name;
	ep.capacity = &cap;
	cmd.c_case = GYP__CMD__C_ENDPOINT;
	cmd.endpoint = &ep;
	apply(s, &cmd);
}

static uint64_t
submit(struct gyp_state *s, const char *key, uint32_t tasks, uint32_t cpu,
    bool idempotent)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdSubmit sub = GYP__CMD_SUBMIT__INIT;
	Gyp__JobSpec spec = GYP__JOB_SPEC__INIT;
	Gyp__Res size = GYP__RES__INIT;

	size.cpu_milli = cpu;
	size.slots = 1;
	spec.team = "t";
	spec.key = (char *)key;
	spec.tasks = tasks;
	spec.size = &size;
	spec.idempotent = idempotent;
	sub.spec = &spec;
	cmd.c_case = GYP__CMD__C_SUBMIT;
	cmd.submit = &sub;
	apply(s, &cmd);
	return gyp_state_job_by_key(s, "t", key)->id;
}

static void
place(struct gyp_state *s, uint64_t job, uint32_t task, uint32_t attempt,
    const char *endpoint)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdPlace pl = GYP__CMD_PLACE__INIT;
	Gyp__Placement p = GYP__PLACEMENT__INIT;
	Gyp__Placement *list[] = {&p};

	p.job = job;
	p.task = task;
	p.attempt = attempt;
	p.endpoint = gyp_state_endpoint_by_name(s, endpoint)->id;
	p.entry = 7;
	pl.n_places = 1;
	pl.places = list;
	cmd.c_case = GYP__CMD__C_PLACE;
	cmd.place = &pl;
	apply(s, &cmd);
}

static void
finish(struct gyp_state *s, uint64_t job, uint32_t task, uint32_t attempt,
    Gyp__Outcome outcome)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;

	f.job = job;
	f.task = task;
	f.attempt = attempt;
	f.outcome = outcome;
	cmd.c_case = GYP__CMD__C_FINISH;
	cmd.finish = &f;
	apply(s, &cmd);
}

static void
cancel(struct gyp_state *s, uint64_t job)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdCancel c = GYP__CMD_CANCEL__INIT;

	c.job = job;
	c.reason = "test";
	cmd.c_case = GYP__CMD__C_CANCEL;
	cmd.cancel = &c;
	apply(s, &cmd);
}

static void
refuse_key(struct gyp_state *s, const char *key)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdCancel c = GYP__CMD_CANCEL__INIT;

	c.team = "t";
	c.key = (char *)key;
	cmd.c_case = GYP__CMD__C_CANCEL;
	cmd.cancel = &c;
	apply(s, &cmd);
}

static void
test_capacity(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	uint64_t a, b;

	add_endpoint(s, "e", 1000);
	a = submit(s, "a", 1, 600, true);
	b = submit(s, "b", 1, 600, true);
	place(s, a, 0, 1, "e");
	place(s, b, 0, 1, "e");
	g_assert_cmpint(
	    gyp_state_job(s, a)->tasks[0].state, ==, GYP_TASK_PLACED);
	g_assert_cmpint(
	    gyp_state_job(s, b)->tasks[0].state, ==, GYP_TASK_QUEUED);
	gyp_state_free(s);
}

static void
test_not_idempotent(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	uint64_t a;

	add_endpoint(s, "e", 1000);
	a = submit(s, "a", 1, 100, false);
	place(s, a, 0, 1, "e");
	finish(s, a, 0, 1, GYP__OUTCOME__OUTCOME_UNKNOWN);
	g_assert_cmpint(
	    gyp_state_job(s, a)->outcome, ==, GYP__OUTCOME__OUTCOME_UNKNOWN);
	place(s, a, 0, 2, "e");
	g_assert_cmpuint(gyp_state_job(s, a)->tasks[0].attempt, ==, 1);
	gyp_state_free(s);
}

/* A cancelled job whose first attempt may have run is not reported NOT_RUN. */
static void
test_not_run_is_true(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	uint64_t a, b;

	add_endpoint(s, "e", 1000);
	a = submit(s, "a", 1, 100, true);
	place(s, a, 0, 1, "e");
	finish(s, a, 0, 1, GYP__OUTCOME__OUTCOME_UNKNOWN);
	cancel(s, a);
	g_assert_cmpint(
	    gyp_state_job(s, a)->outcome, ==, GYP__OUTCOME__OUTCOME_UNKNOWN);
	b = submit(s, "b", 1, 100, true);
	cancel(s, b);
	g_assert_cmpint(
	    gyp_state_job(s, b)->outcome, ==, GYP__OUTCOME__OUTCOME_NOT_RUN);
	gyp_state_free(s);
}

/* A cancellation during a gang's restart keeps the answers of done tasks. */
static void
test_cancelled_restart(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	const struct gyp_job *job;
	uint64_t a;
	uint32_t i;

	add_endpoint(s, "e", 1000);
	a = submit(s, "a", 3, 100, true);
	job = gyp_state_job(s, a);
	for (i = 0; i < 3; i++)
		place(s, a, i, 1, "e");
	/*
	 * One command must place all tasks of a gang, but place() makes one for
	 * each task; so the job becomes a gang only now.
	 */
	job->spec->kind = GYP__KIND__KIND_GANG;
	finish(s, a, 2, 1, GYP__OUTCOME__OUTCOME_FAILED);
	finish(s, a, 0, 1, GYP__OUTCOME__OUTCOME_DONE);
	cancel(s, a);
	finish(s, a, 1, 1, GYP__OUTCOME__OUTCOME_NOT_RUN);
	g_assert_cmpint(job->outcome, ==, GYP__OUTCOME__OUTCOME_FAILED);
	g_assert_cmpint(
	    job->tasks[0].last_outcome, ==, GYP__OUTCOME__OUTCOME_DONE);
	g_assert_nonnull(job->tasks[0].finish);
	gyp_state_free(s);
}

static void
test_late_report(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	uint64_t a;

	add_endpoint(s, "e", 1000);
	a = submit(s, "a", 1, 100, true);
	place(s, a, 0, 1, "e");
	finish(s, a, 0, 1, GYP__OUTCOME__OUTCOME_UNKNOWN);
	place(s, a, 0, 2, "e");
	finish(s, a, 0, 1, GYP__OUTCOME__OUTCOME_DONE);
	g_assert_cmpint(
	    gyp_state_job(s, a)->tasks[0].state, ==, GYP_TASK_PLACED);
	gyp_state_free(s);
}

static const struct {
	enum gyp_endpoint_state from; /* named by the command, 0 for none */
	enum gyp_endpoint_state to;
	enum gyp_endpoint_state after;
} endpoint_steps[] = {{0, GYP_ENDPOINT_QUARANTINED, GYP_ENDPOINT_QUARANTINED},
    {0, GYP_ENDPOINT_DRAINED, GYP_ENDPOINT_DRAINED},
    /* The end of a quarantine does not undo the operator's drain. */
    {0, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_DRAINED},
    {GYP_ENDPOINT_QUARANTINED, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_DRAINED},
    {0, GYP_ENDPOINT_QUARANTINED, GYP_ENDPOINT_DRAINED},
    {GYP_ENDPOINT_DRAINED, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_ACTIVE},
    {0, GYP_ENDPOINT_DRAINED, GYP_ENDPOINT_DRAINED},
    {0, GYP_ENDPOINT_LEAVING, GYP_ENDPOINT_LEAVING},
    /* A departing endpoint never gets work again. */
    {0, GYP_ENDPOINT_DRAINED, GYP_ENDPOINT_LEAVING},
    {GYP_ENDPOINT_DRAINED, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_LEAVING},
    {GYP_ENDPOINT_LEAVING, GYP_ENDPOINT_ACTIVE, GYP_ENDPOINT_LEAVING}};

static void
test_drain(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	const struct gyp_endpoint *ep;
	uint64_t job;
	size_t i;

	add_endpoint(s, "e", 1000);
	job = submit(s, "a", 1, 100, true);
	ep = gyp_state_endpoint_by_name(s, "e");
	for (i = 0; i < G_N_ELEMENTS(endpoint_steps); i++) {
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

		es.endpoint = ep->id;
		es.from = endpoint_steps[i].from;
		es.state = endpoint_steps[i].to;
		cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
		cmd.endpoint_state = &es;
		apply(s, &cmd);
		g_assert_cmpint(ep->state, ==, endpoint_steps[i].after);
		if (ep->state == GYP_ENDPOINT_ACTIVE)
			continue;
		/* A placement that a leader still proposes is ignored. */
		place(s, job, 0, 1, "e");
		g_assert_cmpint(
		    gyp_state_job(s, job)->tasks[0].state, ==, GYP_TASK_QUEUED);
	}
	gyp_state_free(s);
}

/* A restored copy equals the original, byte for byte. */
static void
test_snapshot(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	struct gyp_state *copy = gyp_state_new(NULL);
	GBytes *saved, *again;
	gsize len;
	const uint8_t *data;
	uint64_t a;

	add_endpoint(s, "e", 1000);
	add_endpoint(s, "f", 1000);
	a = submit(s, "a", 3, 300, true);
	submit(s, "b", 1, 100, false);
	place(s, a, 0, 1, "e");
	place(s, a, 1, 1, "f");
	finish(s, a, 0, 1, GYP__OUTCOME__OUTCOME_DONE);
	refuse_key(s, "never");
	saved = gyp_state_save(s);
	data = g_bytes_get_data(saved, &len);
	g_assert_true(gyp_state_restore(copy, data, len));
	gyp_state_check(copy);
	again = gyp_state_save(copy);
	g_assert_true(g_bytes_equal(saved, again));
	g_assert_true(gyp_state_key_refused(copy, "t", "never"));
	g_assert_false(gyp_state_key_refused(copy, "t", "a"));
	g_assert_false(gyp_state_restore(copy, (const uint8_t *)"\xff", 1));
	g_bytes_unref(saved);
	g_bytes_unref(again);
	gyp_state_free(s);
	gyp_state_free(copy);
}

/* A batch with a manifest of one queue, unpacked. */
static Gyp__Batch *
make_manifest_batch(uint64_t version)
{
	Gyp__Batch batch = GYP__BATCH__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT, *cmds[] = {&cmd};
	Gyp__CmdManifest m = GYP__CMD_MANIFEST__INIT;
	Gyp__FlowQueue q = GYP__FLOW_QUEUE__INIT, *queues[] = {&q};

	q.name = "q";
	m.version = version;
	m.n_queues = 1;
	m.queues = queues;
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = &m;
	batch.n_cmds = 1;
	batch.cmds = cmds;
	return gyp_message_copy(&batch.base);
}

/*
 * Guards against replicas that are too busy for their heartbeats: each copied a
 * manifest of thousands of queues when it was committed, and in each snapshot.
 */
static void
test_manifest_is_not_copied(void)
{
	struct gyp_state *s = gyp_state_new(NULL);
	const struct gyp_flows *flows = gyp_state_flows(s);
	Gyp__Batch *batch = make_manifest_batch(2);
	const Gyp__CmdManifest *m = batch->cmds[0]->manifest;
	Gyp__SnapFlows *snap;

	gyp_state_take(s, batch);
	g_assert_true(gyp_flows_manifest(flows) == m);
	gyp_state_take(s, make_manifest_batch(2));
	gyp_state_take(s, make_manifest_batch(1));
	g_assert_true(gyp_flows_manifest(flows) == m);
	snap = gyp_flows_save(flows);
	g_assert_true(snap->manifest == m);
	gyp_flows_free_saved(snap);
	g_assert_cmpstr(gyp_flows_manifest(flows)->queues[0]->name, ==, "q");
	gyp_state_take(s, make_manifest_batch(3));
	g_assert_cmpuint(gyp_flows_manifest(flows)->version, ==, 3);
	gyp_state_free(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/state/capacity", test_capacity);
	g_test_add_func("/state/not-idempotent", test_not_idempotent);
	g_test_add_func("/state/not-run-is-true", test_not_run_is_true);
	g_test_add_func("/state/cancelled-restart", test_cancelled_restart);
	g_test_add_func("/state/late-report", test_late_report);
	g_test_add_func("/state/drain", test_drain);
	g_test_add_func("/state/snapshot", test_snapshot);
	g_test_add_func(
	    "/state/manifest-is-not-copied", test_manifest_is_not_copied);
	return g_test_run();
}
