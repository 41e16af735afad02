#include <stdlib.h>

#include <glib.h>

#include "flow_sim.h"
#include "msg.h"

/*
 * Randomised runs of the flow scheduler against simulated endpoints. Commands
 * commit after a delay; a change of leader loses a suffix of them.
 * Half of the runs have workspaces whose caps and keys change, and whose tables
 * come from a snapshot after each change of leader.
 * GYP_SEED=n repeats one run, GYP_SECONDS=n runs new random seeds for n
 * seconds.
 */

/* Duration of the phase with faults, and of the one without, in ms. */
#define FAULTS_MS   60000
#define RECOVERY_MS 120000

#define STEP_MS      5
#define COMMIT_MS    15
#define SEEDS        100
#define FLOWS_MAX    60
#define HEARTBEAT_MS 1500

/* Number of workspaces, and a cap that lets any single gang start. */
#define WORKSPACES       3
#define SUFFICIENT_MILLI 15000

struct pending {
	uint64_t at;
	Gyp__Cmd *cmd;
};

struct fixture {
	struct gyp_flows *flows;
	struct gyp_flow_scheduler *scheduler;
	struct flow_sim *sim;
	GRand *rand;
	GQueue pending; /* struct pending */
	uint64_t now;
	uint64_t fence;
	uint64_t change_at; /* next change of leader */
	uint64_t leaderless_until;
	uint64_t submit_at;
	uint64_t heartbeat_at;
	uint64_t next_flow;
	bool faults;
	GRand *workspace_rand; /* NULL in a run without workspaces */
	uint64_t manifest_at;  /* next change of caps and keys */
	uint64_t manifest_version;
	/* Cap of each workspace at its latest start, by row. */
	uint32_t start_caps[WORKSPACES];
};

static const char *const workspace_names[WORKSPACES] = {"a", "b", "c"};

/* ---- Log ---------------------------------------------------------------- */

/* Guards against a start that raises the use of a workspace above its cap. */
static void
apply_and_check_caps(struct fixture *f, const Gyp__Cmd *cmd)
{
	uint32_t before[WORKSPACES], i, n = gyp_workspaces_size(f->flows);

	for (i = 0; i < n; i++)
		before[i] = gyp_workspace_at(f->flows, i)->used.cpu_milli;
	gyp_flows_apply(f->flows, f->now, cmd);
	for (i = 0; i < n; i++) {
		const struct gyp_workspace_use *use =
		    gyp_workspace_at(f->flows, i);

		if (use->used.cpu_milli <= before[i])
			continue;
		g_assert_cmpuint(use->used.cpu_milli, <=, use->cap.cpu_milli);
		f->start_caps[i] = use->cap.cpu_milli;
	}
}

/*
 * Guards against runs that the use of their workspace leaves out. At any time,
 * what the endpoints actually run for a workspace is at most what its open runs
 * book, since a run is closed only once it is known to be over; and that is at
 * most the cap at the workspace's latest start, since it falls until the next.
 */
static void
check_actual_use(const struct fixture *f)
{
	uint32_t i;

	for (i = 0; i < gyp_workspaces_size(f->flows); i++) {
		const struct gyp_workspace_use *use =
		    gyp_workspace_at(f->flows, i);

		g_assert_cmpuint(
		    flow_sim_cpu(f->sim, use), <=, use->used.cpu_milli);
		g_assert_cmpuint(use->used.cpu_milli, <=, f->start_caps[i]);
	}
}

static void
apply(struct fixture *f, const Gyp__Cmd *cmd)
{
	apply_and_check_caps(f, cmd);
	if (cmd->c_case == GYP__CMD__C_FLOW_CANCEL)
		flow_sim_flow_cancelled(f->sim, f->now, cmd->flow_cancel->flow);
	gyp_flows_check(f->flows);
}

static void
propose(struct fixture *f, Gyp__Cmd *cmd)
{
	struct pending *p = g_new0(struct pending, 1);

	p->at = f->now + COMMIT_MS;
	p->cmd = cmd;
	g_queue_push_tail(&f->pending, p);
}

static void
commit_due(struct fixture *f)
{
	struct pending *p;

	while (
	    (p = g_queue_peek_head(&f->pending)) != NULL && f->now >= p->at) {
		g_queue_pop_head(&f->pending);
		apply(f, p->cmd);
		gyp_message_free(p->cmd);
		g_free(p);
	}
}

/* ---- Changes of leader -------------------------------------------------- */

/* Index in workspace_names. */
static uint32_t
workspace_number(const struct gyp_workspace_use *use)
{
	return (uint32_t)(use->name[0] - workspace_names[0][0]);
}

/*
 * Guards against use of workspaces that a snapshot loses. Rows are numbered in
 * the order of the flows, so they may change.
 */
static void
restore_from_snapshot(struct fixture *f)
{
	Gyp__SnapFlows *snap = gyp_flows_save(f->flows);
	uint32_t caps[WORKSPACES] = {0}, used[WORKSPACES] = {0}, i, k;

	for (i = 0; i < gyp_workspaces_size(f->flows); i++) {
		k = workspace_number(gyp_workspace_at(f->flows, i));
		caps[k] = f->start_caps[i];
		used[k] = gyp_workspace_at(f->flows, i)->used.cpu_milli;
	}
	g_assert_true(gyp_flows_restore(f->flows, snap));
	gyp_message_free(snap);
	for (i = 0; i < gyp_workspaces_size(f->flows); i++) {
		k = workspace_number(gyp_workspace_at(f->flows, i));
		f->start_caps[i] = caps[k];
		g_assert_cmpuint(
		    gyp_workspace_at(f->flows, i)->used.cpu_milli, ==, used[k]);
		used[k] = 0;
	}
	for (k = 0; k < WORKSPACES; k++)
		g_assert_cmpuint(used[k], ==, 0);
	gyp_flows_check(f->flows);
}

static void
become_leader(struct fixture *f)
{
	struct gyp_fleet_config cfg = {
	    .lease_ms = FLOW_SIM_LEASE_MS, .stop_grace_ms = 400};

	if (f->workspace_rand != NULL)
		restore_from_snapshot(f);
	f->scheduler =
	    gyp_flow_scheduler_new(&cfg, f->flows, f->now, ++f->fence);
}

static void
lose_leader(struct fixture *f)
{
	guint kept =
	    (guint)g_rand_int_range(f->rand, 0, (gint32)f->pending.length + 1);
	struct pending *p;

	gyp_flow_scheduler_free(f->scheduler);
	f->scheduler = NULL;
	while ((p = g_queue_pop_head(&f->pending)) != NULL) {
		if (kept > 0) {
			kept--;
			apply(f, p->cmd);
		}
		gyp_message_free(p->cmd);
		g_free(p);
	}
	f->leaderless_until =
	    f->now + (uint64_t)g_rand_int_range(f->rand, 100, 3000);
}

/* ---- Callers and endpoints ---------------------------------------------- */

static Gyp__FlowStep
random_step(struct fixture *f, Gyp__Res *size, uint32_t *after, bool second)
{
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT;

	gyp__res__init(size);
	size->cpu_milli = (uint32_t)g_rand_int_range(f->rand, 300, 3000);
	size->memory = 1 << 20;
	step.size = size;
	step.count = (uint32_t)g_rand_int_range(f->rand, 1, 6);
	step.gang = g_rand_int_range(f->rand, 0, 6) == 0;
	step.estimate_ms = 1500;
	if (second) {
		*after = 0;
		step.n_after = 1;
		step.after = after;
	}
	return step;
}

static void
submit(struct fixture *f)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow flow = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__Res sizes[2];
	uint32_t after;
	Gyp__FlowStep steps[2] = {random_step(f, &sizes[0], &after, false),
	    random_step(f, &sizes[1], &after, true)};
	Gyp__FlowStep *list[] = {&steps[0], &steps[1]};

	queue.pool = "pool";
	queue.attempts = 3;
	queue.priority = (uint32_t)g_rand_int_range(f->rand, 0, 3);
	if (f->workspace_rand != NULL) {
		spec.workspace = (char *)workspace_names[g_rand_int_range(
		    f->workspace_rand, 0, WORKSPACES)];
		spec.excess = g_rand_int_range(f->workspace_rand, 0, 4) == 0;
	}
	spec.id = ++f->next_flow;
	spec.queue = &queue;
	spec.n_steps = 2;
	spec.steps = list;
	flow.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &flow;
	propose(f, gyp_message_copy(&cmd.base));
}

/*
 * Proposes a manifest with new caps and keys that may leave workspaces out;
 * without faults, one that lets everything end.
 */
static void
change_manifest(struct fixture *f)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdManifest m = GYP__CMD_MANIFEST__INIT;
	Gyp__Workspace ws[WORKSPACES], *list[WORKSPACES];
	Gyp__Res caps[WORKSPACES];
	uint32_t key = g_rand_int(f->workspace_rand), i;
	ProtobufCBinaryData digest = {
	    .len = sizeof(key), .data = (uint8_t *)&key};

	f->manifest_at =
	    f->now + (uint64_t)g_rand_int_range(f->workspace_rand, 20, 4000);
	m.version = ++f->manifest_version;
	m.requires_keys = true;
	m.workspaces = list;
	for (i = 0; i < WORKSPACES; i++) {
		gyp__workspace__init(&ws[i]);
		gyp__res__init(&caps[i]);
		caps[i].cpu_milli = SUFFICIENT_MILLI;
		if (f->faults)
			caps[i].cpu_milli = (uint32_t)g_rand_int_range(
			    f->workspace_rand, 0, SUFFICIENT_MILLI);
		ws[i].name = (char *)workspace_names[i];
		ws[i].cap = &caps[i];
		ws[i].n_key_digests = 1;
		ws[i].key_digests = &digest;
		if (!f->faults || g_rand_int_range(f->workspace_rand, 0, 8) > 0)
			list[m.n_workspaces++] = &ws[i];
	}
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = &m;
	propose(f, gyp_message_copy(&cmd.base));
}

static void
cancel_random(struct fixture *f)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;

	cancel.flow =
	    (uint64_t)g_rand_int_range(f->rand, 1, (gint32)f->next_flow + 1);
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	propose(f, gyp_message_copy(&cmd.base));
}

static void
send_heartbeat(struct fixture *f, uint32_t i)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host;
	const struct gyp_host *h;

	flow_sim_describe(f->sim, i, &host);
	h = gyp_host_by_id(f->flows, host.id);
	if (h == NULL || h->spec->born_ms < host.born_ms) {
		cmd.c_case = GYP__CMD__C_HOST;
		cmd.host = &host;
		propose(f, gyp_message_copy(&cmd.base));
	}
	if (h != NULL)
		gyp_fleet_heartbeat(gyp_flow_scheduler_fleet(f->scheduler),
		    f->now, h->row, host.born_ms,
		    flow_sim_clock(f->sim, i, f->now));
}

/* ---- Simulated time ----------------------------------------------------- */

static void
run_leader(struct fixture *f)
{
	struct gyp_fleet_call *call;
	Gyp__Cmd *cmd;
	uint32_t i;
	bool idle;

	if (f->now >= f->heartbeat_at) {
		f->heartbeat_at = f->now + HEARTBEAT_MS;
		for (i = 0; i < FLOW_SIM_ENDPOINTS; i++) {
			if (flow_sim_is_up(f->sim, i))
				send_heartbeat(f, i);
		}
	}
	if (f->faults && f->now >= f->submit_at && f->next_flow < FLOWS_MAX) {
		f->submit_at =
		    f->now + (uint64_t)g_rand_int_range(f->rand, 100, 1500);
		submit(f);
		if (g_rand_int_range(f->rand, 0, 8) == 0)
			cancel_random(f);
	}
	/* A round may follow a manifest that is proposed but not committed. */
	idle = g_queue_is_empty(&f->pending);
	if (f->workspace_rand != NULL && f->now >= f->manifest_at)
		change_manifest(f);
	gyp_flow_scheduler_round(f->scheduler, f->now, 0, idle);
	while ((cmd = gyp_flow_scheduler_pop_cmd(f->scheduler)) != NULL)
		propose(f, cmd);
	while ((call = gyp_flow_scheduler_pop_call(f->scheduler)) != NULL)
		flow_sim_call(f->sim, f->now, call);
}

static void
step(struct fixture *f)
{
	f->now += STEP_MS;
	commit_due(f);
	flow_sim_tick(f->sim, f->now, f->scheduler);
	check_actual_use(f);
	if (f->scheduler == NULL && f->now >= f->leaderless_until)
		become_leader(f);
	if (f->scheduler != NULL)
		run_leader(f);
	if (f->faults && f->scheduler != NULL && f->now >= f->change_at) {
		f->change_at =
		    f->now + (uint64_t)g_rand_int_range(f->rand, 2000, 15000);
		lose_leader(f);
	}
}

/* Prints the tasks of the oldest active flow that are not done. */
static void
print_unended(const struct fixture *f)
{
	const struct gyp_flow *flow = gyp_flows_active(f->flows)->head->data;
	uint32_t i;

	g_printerr("flow=%016" G_GINT64_MODIFIER "x state=%s open=%u\n",
	    flow->id, gyp_flow_state_name(flow->state), flow->open);
	for (i = 0; i < flow->n_tasks; i++) {
		const struct gyp_flow_task *t = &flow->tasks[i];
		const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, i);
		const struct gyp_host *h = gyp_host_at(f->flows, t->row);

		if (t->state == GYP_FLOW_TASK_DONE)
			continue;
		g_printerr(
		    "task=%u step=%u gang=%d lasting=%d state=%d "
		    "run=%u failures=%u endpoint=%s since_ms=%" G_GUINT64_FORMAT
		    "\n",
		    i, u->step_number, u->step->gang, u->step->lasting,
		    t->state, t->run, t->failures,
		    h != NULL ? h->spec->id : "gone", t->changed_ms);
	}
}

static void
run_seed(uint32_t seed, bool workspaces)
{
	struct fixture f = {.now = 100000, .faults = true};
	uint64_t end;

	f.rand = g_rand_new_with_seed(seed);
	if (workspaces)
		f.workspace_rand = g_rand_new_with_seed(seed + 2);
	f.flows = gyp_flows_new();
	f.sim = flow_sim_new(seed + 1, f.flows);
	f.change_at = f.now + 5000;
	become_leader(&f);
	flow_sim_set_faults(f.sim, true);
	end = f.now + FAULTS_MS;
	while (f.now < end)
		step(&f);
	f.faults = false;
	flow_sim_set_faults(f.sim, false);
	end = f.now + RECOVERY_MS;
	while (f.now < end && gyp_flows_active(f.flows)->length > 0)
		step(&f);
	if (gyp_flows_active(f.flows)->length > 0) {
		print_unended(&f);
		g_error("seed %u: %u flows do not end", seed,
		    gyp_flows_active(f.flows)->length);
	}
	g_test_message("seed %u: %" G_GUINT64_FORMAT
		       " flows, %" G_GUINT64_FORMAT
		       " starts, %" G_GUINT64_FORMAT " leaders",
	    seed, f.next_flow, flow_sim_starts(f.sim), f.fence);
	gyp_flow_scheduler_free(f.scheduler);
	while (!g_queue_is_empty(&f.pending)) {
		struct pending *p = g_queue_pop_head(&f.pending);

		gyp_message_free(p->cmd);
		g_free(p);
	}
	flow_sim_free(f.sim);
	gyp_flows_free(f.flows);
	g_rand_free(f.rand);
	if (workspaces)
		g_rand_free(f.workspace_rand);
}

/* Seeds that once failed, by the fault that they found. */
static const uint32_t regression_seeds[] = {
    /* a stop in progress was forgotten when the endpoint restarted */
    1684898666, 1134779978, 897712932, 2482597244,
    /* an answer carried the clock of an earlier incarnation */
    2900181452, 3345282737, 1462790446,
    /* the last attempt waited for an endpoint without a failure */
    695336016, 1050758850,
    /* a late call used an earlier incarnation's clock after a new election */
    2336330427, 3366270582, 3681171080, 1510894980,
    /* a lease longer than usual, granted while a restarted endpoint was silent
     */
    2946799434,
    /* in the simulation: an answer that its endpoint crashed before sending */
    3451910720};

static void
run_seeds(bool workspaces)
{
	const char *single_seed = g_getenv("GYP_SEED");
	const char *seconds = g_getenv("GYP_SECONDS");
	uint32_t seed;
	size_t i;

	if (single_seed != NULL) {
		run_seed((uint32_t)strtoul(single_seed, NULL, 10), workspaces);
		return;
	}
	if (seconds != NULL) {
		gint64 end =
		    g_get_monotonic_time() +
		    (gint64)strtoul(seconds, NULL, 10) * G_USEC_PER_SEC;

		while (g_get_monotonic_time() < end) {
			seed = g_random_int();
			g_printerr("seed %u\n", seed);
			run_seed(seed, workspaces);
		}
		return;
	}
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, workspaces);
	for (i = 0; i < G_N_ELEMENTS(regression_seeds); i++)
		run_seed(regression_seeds[i], workspaces);
}

static void
test_random(void)
{
	run_seeds(false);
}

static void
test_workspaces(void)
{
	run_seeds(true);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/flows/random", test_random);
	g_test_add_func("/flows/workspaces", test_workspaces);
	return g_test_run();
}
