#include <stdlib.h>

#include <glib.h>

#include "flow_sim.h"
#include "msg.h"

/*
 * Randomised runs of a lead on flows against model endpoints. Commands are
 * committed after a while; with a change of leader a suffix of them is lost.
 * GYP_SEED=n repeats one run, GYP_SECONDS=n draws fresh seeds for so long.
 */

/* Length of a run with faults, and of the time after it, in ms. */
#define FAULTS_MS 60000
#define CALM_MS   120000

#define STEP_MS      5
#define COMMIT_MS    15
#define SEEDS        100
#define FLOWS_MAX    60
#define HEARTBEAT_MS 1500

struct pending {
	uint64_t at;
	Gyp__Cmd *cmd;
};

struct world {
	struct gyp_flows *flows;
	struct gyp_flow_lead *lead;
	struct sim *sim;
	GRand *rand;
	GQueue pending; /* struct pending */
	uint64_t now;
	uint64_t fence;
	uint64_t change_at; /* of leader */
	uint64_t leaderless_until;
	uint64_t submit_at;
	uint64_t beat_at;
	uint64_t next_flow;
	bool faults;
};

/* ---- Log ---------------------------------------------------------------- */

static void
apply(struct world *w, const Gyp__Cmd *cmd)
{
	gyp_flows_apply(w->flows, w->now, cmd);
	if (cmd->c_case == GYP__CMD__C_FLOW_CANCEL)
		sim_cancelled(w->sim, w->now, cmd->flow_cancel->flow);
	gyp_flows_check(w->flows);
}

static void
propose(struct world *w, Gyp__Cmd *cmd)
{
	struct pending *p = g_new0(struct pending, 1);

	p->at = w->now + COMMIT_MS;
	p->cmd = cmd;
	g_queue_push_tail(&w->pending, p);
}

static void
commit_due(struct world *w)
{
	struct pending *p;

	while (
	    (p = g_queue_peek_head(&w->pending)) != NULL && w->now >= p->at) {
		g_queue_pop_head(&w->pending);
		apply(w, p->cmd);
		gyp_message_free(p->cmd);
		g_free(p);
	}
}

/* ---- Leaders ------------------------------------------------------------ */

static void
lead(struct world *w)
{
	struct gyp_fleet_config cfg = {
	    .lease_ms = SIM_LEASE_MS, .stop_grace_ms = 400};

	w->lead = gyp_flow_lead_new(&cfg, w->flows, w->now, ++w->fence);
}

static void
lose_leader(struct world *w)
{
	guint kept =
	    (guint)g_rand_int_range(w->rand, 0, (gint32)w->pending.length + 1);
	struct pending *p;

	gyp_flow_lead_free(w->lead);
	w->lead = NULL;
	while ((p = g_queue_pop_head(&w->pending)) != NULL) {
		if (kept > 0) {
			kept--;
			apply(w, p->cmd);
		}
		gyp_message_free(p->cmd);
		g_free(p);
	}
	w->leaderless_until =
	    w->now + (uint64_t)g_rand_int_range(w->rand, 100, 3000);
}

/* ---- Callers and endpoints ---------------------------------------------- */

static Gyp__FlowStep
random_step(struct world *w, Gyp__Res *size, uint32_t *after, bool second)
{
	Gyp__FlowStep step = GYP__FLOW_STEP__INIT;

	gyp__res__init(size);
	size->cpu_milli = (uint32_t)g_rand_int_range(w->rand, 300, 3000);
	size->memory = 1 << 20;
	step.size = size;
	step.count = (uint32_t)g_rand_int_range(w->rand, 1, 6);
	step.gang = g_rand_int_range(w->rand, 0, 6) == 0;
	step.estimate_ms = 1500;
	if (second) {
		*after = 0;
		step.n_after = 1;
		step.after = after;
	}
	return step;
}

static void
submit(struct world *w)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow flow = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__Res sizes[2];
	uint32_t after;
	Gyp__FlowStep steps[2] = {random_step(w, &sizes[0], &after, false),
	    random_step(w, &sizes[1], &after, true)};
	Gyp__FlowStep *list[] = {&steps[0], &steps[1]};

	queue.pool = "pool";
	queue.attempts = 3;
	queue.priority = (uint32_t)g_rand_int_range(w->rand, 0, 3);
	spec.id = ++w->next_flow;
	spec.queue = &queue;
	spec.n_steps = 2;
	spec.steps = list;
	flow.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &flow;
	propose(w, gyp_message_copy(&cmd.base));
}

static void
cancel_some(struct world *w)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;

	cancel.flow =
	    (uint64_t)g_rand_int_range(w->rand, 1, (gint32)w->next_flow + 1);
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	propose(w, gyp_message_copy(&cmd.base));
}

static void
beat(struct world *w, uint32_t i)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host;
	const struct gyp_host *h;

	sim_describe(w->sim, i, &host);
	h = gyp_host_by_id(w->flows, host.id);
	if (h == NULL || h->spec->born_ms < host.born_ms) {
		cmd.c_case = GYP__CMD__C_HOST;
		cmd.host = &host;
		propose(w, gyp_message_copy(&cmd.base));
	}
	if (h != NULL)
		gyp_fleet_heartbeat(gyp_flow_lead_fleet(w->lead), w->now,
		    h->row, host.born_ms, sim_clock(w->sim, i, w->now));
}

/* ---- Time --------------------------------------------------------------- */

static void
work(struct world *w)
{
	struct gyp_fleet_call *call;
	Gyp__Cmd *cmd;
	uint32_t i;

	if (w->now >= w->beat_at) {
		w->beat_at = w->now + HEARTBEAT_MS;
		for (i = 0; i < SIM_ENDPOINTS; i++) {
			if (sim_is_up(w->sim, i))
				beat(w, i);
		}
	}
	if (w->faults && w->now >= w->submit_at && w->next_flow < FLOWS_MAX) {
		w->submit_at =
		    w->now + (uint64_t)g_rand_int_range(w->rand, 100, 1500);
		submit(w);
		if (g_rand_int_range(w->rand, 0, 8) == 0)
			cancel_some(w);
	}
	gyp_flow_lead_round(w->lead, w->now, 0, g_queue_is_empty(&w->pending));
	while ((cmd = gyp_flow_lead_pop_cmd(w->lead)) != NULL)
		propose(w, cmd);
	while ((call = gyp_flow_lead_pop_call(w->lead)) != NULL)
		sim_call(w->sim, w->now, call);
}

static void
step(struct world *w)
{
	w->now += STEP_MS;
	commit_due(w);
	sim_tick(w->sim, w->now, w->lead);
	if (w->lead == NULL && w->now >= w->leaderless_until)
		lead(w);
	if (w->lead != NULL)
		work(w);
	if (w->faults && w->lead != NULL && w->now >= w->change_at) {
		w->change_at =
		    w->now + (uint64_t)g_rand_int_range(w->rand, 2000, 15000);
		lose_leader(w);
	}
}

/* The tasks that keep the first flow from its end. */
static void
print_unended(const struct world *w)
{
	const struct gyp_flow *flow = gyp_flows_active(w->flows)->head->data;
	uint32_t i;

	g_printerr("flow=%016" G_GINT64_MODIFIER "x state=%s open=%u\n",
	    flow->id, gyp_flow_state_name(flow->state), flow->open);
	for (i = 0; i < flow->n_tasks; i++) {
		const struct gyp_flow_task *t = &flow->tasks[i];
		const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, i);
		const struct gyp_host *h = gyp_host_at(w->flows, t->host);

		if (t->state == GYP_FLOW_TASK_DONE)
			continue;
		g_printerr(
		    "task=%u step=%u gang=%d lasting=%d state=%d "
		    "run=%u failures=%u endpoint=%s since_ms=%" G_GUINT64_FORMAT
		    "\n",
		    i, u->number, u->step->gang, u->step->lasting, t->state,
		    t->run, t->failures, h != NULL ? h->spec->id : "gone",
		    t->since_ms);
	}
}

static void
run_seed(uint32_t seed)
{
	struct world w = {.now = 100000, .faults = true};
	uint64_t end;

	w.rand = g_rand_new_with_seed(seed);
	w.flows = gyp_flows_new();
	w.sim = sim_new(seed + 1, w.flows);
	w.change_at = w.now + 5000;
	lead(&w);
	sim_set_faults(w.sim, true);
	end = w.now + FAULTS_MS;
	while (w.now < end)
		step(&w);
	w.faults = false;
	sim_set_faults(w.sim, false);
	end = w.now + CALM_MS;
	while (w.now < end && gyp_flows_active(w.flows)->length > 0)
		step(&w);
	if (gyp_flows_active(w.flows)->length > 0) {
		print_unended(&w);
		g_error("seed %u: %u flows do not end", seed,
		    gyp_flows_active(w.flows)->length);
	}
	g_test_message("seed %u: %" G_GUINT64_FORMAT
		       " flows, %" G_GUINT64_FORMAT
		       " starts, %" G_GUINT64_FORMAT " leaders",
	    seed, w.next_flow, sim_starts(w.sim), w.fence);
	gyp_flow_lead_free(w.lead);
	while (!g_queue_is_empty(&w.pending)) {
		struct pending *p = g_queue_pop_head(&w.pending);

		gyp_message_free(p->cmd);
		g_free(p);
	}
	sim_free(w.sim);
	gyp_flows_free(w.flows);
	g_rand_free(w.rand);
}

/* Seeds that failed once, by their cause. */
static const uint32_t once_failed[] = {
    /* a stop under way was forgotten when the endpoint was born again */
    1684898666, 1134779978, 897712932, 2482597244,
    /* the clock in an answer of an earlier life */
    2900181452, 3345282737, 1462790446,
    /* the last attempt waited for an endpoint that nothing had failed at */
    695336016, 1050758850,
    /* a late call with an earlier life's clock, and a new leader */
    2336330427, 3366270582, 3681171080, 1510894980,
    /* a lease longer than usual, granted while a reborn endpoint was silent */
    2946799434,
    /* an answer that its endpoint did not live to send, in the simulation */
    3451910720};

static void
test_random(void)
{
	const char *one = g_getenv("GYP_SEED");
	const char *seconds = g_getenv("GYP_SECONDS");
	uint32_t seed;
	size_t i;

	if (one != NULL) {
		run_seed((uint32_t)strtoul(one, NULL, 10));
		return;
	}
	if (seconds != NULL) {
		gint64 end =
		    g_get_monotonic_time() +
		    (gint64)strtoul(seconds, NULL, 10) * G_USEC_PER_SEC;

		while (g_get_monotonic_time() < end) {
			seed = g_random_int();
			g_printerr("seed %u\n", seed);
			run_seed(seed);
		}
		return;
	}
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
	for (i = 0; i < G_N_ELEMENTS(once_failed); i++)
		run_seed(once_failed[i]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/flows/random", test_random);
	return g_test_run();
}
