#include <string.h>

#include <glib.h>

#include "decision_cmds.h"
#include "health.h"
#include "policy.h"

#define GIB (1ULL << 30)

/* Tables and a policy; the test advances cell time. */
struct fixture {
	struct gyp_state *state;
	struct gyp_policy *policy;
	struct gyp_rules *rules;
	struct gyp_decision *last;
	uint64_t now;
	uint32_t keys;
};

static void
apply(struct fixture *fx, Gyp__Cmd *cmd)
{
	Gyp__Batch batch = GYP__BATCH__INIT;

	batch.time_ms = fx->now;
	batch.n_cmds = 1;
	batch.cmds = &cmd;
	gyp_state_apply(fx->state, &batch);
}

static void
set_rules(struct fixture *fx, const char *text)
{
	struct gyp_slice slice = {(const uint8_t *)text, strlen(text)};
	struct gyp_error err = {.code = GYP_OK};
	struct gyp_rules *old = fx->rules;

	fx->rules = gyp_rules_parse("test", slice, &err);
	if (fx->rules == NULL)
		g_error("%s", err.message);
	gyp_policy_set_rules(fx->policy, fx->rules);
	gyp_rules_free(old);
}

static struct fixture *
fixture_new(const char *rules)
{
	struct fixture *fx = g_new0(struct fixture, 1);

	fx->now = 1000;
	fx->state = gyp_state_new(NULL);
	fx->policy = gyp_policy_new(&gyp_policy_weighted, 1);
	set_rules(fx, rules);
	gyp_policy_attach(fx->policy, fx->state, fx->now);
	fx->last = gyp_decision_new();
	return fx;
}

static void
fixture_free(struct fixture *fx)
{
	gyp_decision_free(fx->last);
	gyp_policy_free(fx->policy);
	gyp_rules_free(fx->rules);
	gyp_state_check(fx->state);
	gyp_state_free(fx->state);
	g_free(fx);
}

/*
 * Adds endpoints of 8 processors, 8 GiB and 8 slots, two per rack, alternating
 * between two data centres.
 */
static void
add_endpoints(struct fixture *fx, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
		Gyp__Res cap = GYP__RES__INIT;
		char name[16], rack[16];

		g_snprintf(name, sizeof(name), "e%u", i);
		g_snprintf(rack, sizeof(rack), "r%u", i / 2);
		cap.cpu_milli = 8000;
		cap.memory = 8 * GIB;
		cap.slots = 8;
		ep.name = name;
		ep.rack = rack;
		ep.data_centre = i % 2 == 0 ? "even" : "odd";
		ep.capacity = &cap;
		cmd.c_case = GYP__CMD__C_ENDPOINT;
		cmd.endpoint = &ep;
		apply(fx, &cmd);
	}
}

struct job_params {
	Gyp__Kind kind;
	const char *team;
	const char *class_name;
	uint32_t tasks;
	uint32_t cpu;
	uint64_t memory; /* 0: 128 MiB */
};

static uint64_t
submit(struct fixture *fx, struct job_params j)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdSubmit sub = GYP__CMD_SUBMIT__INIT;
	Gyp__JobSpec spec = GYP__JOB_SPEC__INIT;
	Gyp__Res size = GYP__RES__INIT;
	char key[16];

	g_snprintf(key, sizeof(key), "k%u", fx->keys++);
	size.cpu_milli = j.cpu;
	size.memory = j.memory != 0 ? j.memory : GIB / 8;
	size.slots = 1;
	spec.kind = j.kind;
	spec.team = (char *)j.team;
	spec.class_ = (char *)j.class_name;
	spec.key = key;
	spec.idempotent = true;
	spec.tasks = j.tasks;
	spec.size = &size;
	spec.run_ms = 1000;
	sub.spec = &spec;
	cmd.c_case = GYP__CMD__C_SUBMIT;
	cmd.submit = &sub;
	apply(fx, &cmd);
	return gyp_state_job_by_key(fx->state, j.team, key)->id;
}

static uint64_t
submit_batch(struct fixture *fx, uint32_t tasks, uint32_t cpu)
{
	return submit(fx, (struct job_params){GYP__KIND__KIND_BATCH, "press",
			      "batch", tasks, cpu, 0});
}

static uint64_t
submit_urgent(struct fixture *fx, const char *team, uint32_t cpu)
{
	return submit(fx, (struct job_params){GYP__KIND__KIND_REQUEST, team,
			      "booking", 1, cpu, 0});
}

static void
end_task(struct fixture *fx, uint64_t job, uint32_t task, Gyp__Outcome outcome,
    bool checkpointed)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;

	f.job = job;
	f.task = task;
	f.attempt = gyp_state_job(fx->state, job)->tasks[task].attempt;
	f.outcome = outcome;
	f.checkpointed = checkpointed;
	cmd.c_case = GYP__CMD__C_FINISH;
	cmd.finish = &f;
	apply(fx, &cmd);
}

static void
cancel(struct fixture *fx, uint64_t job, const char *reason)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdCancel c = GYP__CMD_CANCEL__INIT;

	c.job = job;
	c.reason = (char *)reason;
	cmd.c_case = GYP__CMD__C_CANCEL;
	cmd.cancel = &c;
	apply(fx, &cmd);
}

static void
apply_cmd(void *arg, Gyp__Cmd *cmd)
{
	apply(arg, cmd);
}

/* Decides and applies, as a leader does; evicted attempts end at once. */
static void
run_round(struct fixture *fx, uint32_t ms)
{
	const struct gyp_decision_sink sink = {.cmd = apply_cmd, .arg = fx};
	guint i;

	fx->now += ms;
	gyp_decision_free(fx->last);
	fx->last = gyp_decision_new();
	gyp_policy_decide(fx->policy, fx->now, 512, fx->last);
	gyp_decision_cmds(fx->last, fx->state, &sink);
	for (i = 0; i < fx->last->evictions->len; i++) {
		const struct gyp_eviction *e =
		    &g_array_index(fx->last->evictions, struct gyp_eviction, i);

		end_task(
		    fx, e->job, e->task, GYP__OUTCOME__OUTCOME_FAILED, true);
	}
}

static uint32_t
placed_tasks(const struct fixture *fx, uint64_t job)
{
	return gyp_state_job(fx->state, job)->n_placed;
}

static const char *
endpoint_of(const struct fixture *fx, uint64_t job, uint32_t task)
{
	const struct gyp_job *j = gyp_state_job(fx->state, job);

	return gyp_state_endpoint(fx->state, j->tasks[task].endpoint)
	    ->spec->name;
}

/* ---- Feasibility ------------------------------------------------------- */

static void
test_infeasible(void)
{
	struct fixture *fx =
	    fixture_new("quota small cpu=1 # asha: trial team\n");
	uint64_t big = submit_batch(fx, 1, 9000), ok, over;

	run_round(fx, GYP_INFEASIBLE_GRACE_MS * 2);
	g_assert_cmpuint(fx->last->refusals->len, ==, 0); /* no endpoint yet */
	add_endpoints(fx, 2);
	ok = submit_batch(fx, 1, 1000);
	over = submit(fx, (struct job_params){GYP__KIND__KIND_BATCH, "small",
			      "batch", 1, 2000, 0});
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, ok), ==, 1);
	run_round(fx, GYP_INFEASIBLE_GRACE_MS);
	g_assert_cmpint(gyp_state_job(fx->state, big)->outcome, ==,
	    GYP__OUTCOME__OUTCOME_NOT_RUN);
	g_assert_nonnull(
	    strstr(gyp_state_job(fx->state, big)->reason, "could ever hold"));
	g_assert_nonnull(
	    strstr(gyp_state_job(fx->state, over)->reason, "rules line 1"));
	fixture_free(fx);
}

/* ---- Order ------------------------------------------------------------- */

static void
test_urgent_first(void)
{
	struct fixture *fx = fixture_new(
	    "urgent booking within=3s # asha: growers wait\n"
	    "weight check waiting=10 packing=1 # ravi: crews wait\n");
	uint64_t old, check, book;

	old = submit_batch(fx, 1, 8000);
	fx->now += 5000;
	check = submit(fx, (struct job_params){GYP__KIND__KIND_REQUEST, "press",
			       "check", 1, 8000, 0});
	book = submit_urgent(fx, "rota", 8000);
	add_endpoints(fx, 1);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, book), ==, 1);
	end_task(fx, book, 0, GYP__OUTCOME__OUTCOME_DONE, false);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, check), ==, 1);
	end_task(fx, check, 0, GYP__OUTCOME__OUTCOME_DONE, false);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, old), ==, 1);
	fixture_free(fx);
}

/* Shares of 3 and 1 give placements in a ratio of 3 to 1. */
static void
test_shares(void)
{
	struct fixture *fx =
	    fixture_new("share a 3 # asha: bought three presses\n"
			"share b 1 # ravi: bought one\n");
	uint32_t n_placed_by_team[2] = {0, 0}, i;
	uint64_t jobs[128];

	for (i = 0; i < 128; i++)
		jobs[i] = submit(fx, (struct job_params){GYP__KIND__KIND_BATCH,
					 i < 64 ? "b" : "a", "x", 1, 1000, 0});
	add_endpoints(fx, 4);
	run_round(fx, 1);
	for (i = 0; i < 128; i++)
		n_placed_by_team[i / 64] += placed_tasks(fx, jobs[i]);
	g_assert_cmpuint(n_placed_by_team[0], ==, 8);
	g_assert_cmpuint(n_placed_by_team[1], ==, 24);
	fixture_free(fx);
}

static void
test_quota_blocks_its_team_only(void)
{
	struct fixture *fx =
	    fixture_new("quota press cpu=4 # asha: half of the presses\n"
			"urgent booking within=3s # asha: growers wait\n"
			"preempt batch by=booking # ravi: juice can wait\n");
	uint64_t mine, other, book;

	add_endpoints(fx, 2);
	mine = submit_batch(fx, 6, 1000);
	other = submit(fx, (struct job_params){GYP__KIND__KIND_BATCH, "crews",
			       "batch", 6, 1000, 0});
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, mine), ==, 4);
	g_assert_cmpuint(placed_tasks(fx, other), ==, 6);
	/* Urgent work at its team's quota evicts batch work of the team. */
	book = submit_urgent(fx, "press", 1000);
	run_round(fx, 1);
	g_assert_cmpuint(fx->last->evictions->len, ==, 0);
	/* Preemption waits for half of the 3 s that the rule allows. */
	run_round(fx, 1499);
	g_assert_cmpuint(fx->last->evictions->len, ==, 1);
	g_assert_cmpuint(
	    g_array_index(fx->last->evictions, struct gyp_eviction, 0).job, ==,
	    mine);
	g_assert_cmpuint(
	    g_array_index(fx->last->evictions, struct gyp_eviction, 0)
		.rule_line,
	    ==, 3);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, book), ==, 1);
	g_assert_cmpuint(placed_tasks(fx, mine), ==, 3);
	g_assert_cmpuint(
	    gyp_state_job(fx->state, mine)->tasks[0].failures, ==, 0);
	fixture_free(fx);
}

static void
test_reserve(void)
{
	struct fixture *fx =
	    fixture_new("reserve cpu=25% memory=0% # asha: for bookings\n"
			"urgent booking within=3s # asha: growers wait\n");
	uint64_t b, u;

	add_endpoints(fx, 2);
	b = submit_batch(fx, 16, 1000);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, b), ==, 12);
	u = submit_urgent(fx, "rota", 4000);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, u), ==, 1);
	fixture_free(fx);
}

/* ---- Placement --------------------------------------------------------- */

static void
test_spread_and_limits(void)
{
	struct fixture *fx =
	    fixture_new("spread watch over=rack # asha: a rack may burn\n"
			"limit rack tasks=2 # ravi: the same\n"
			"limit endpoint tasks=3 # ravi: noisy neighbours\n");
	uint64_t job;
	uint32_t i, k;

	add_endpoints(fx, 8);
	job = submit(fx, (struct job_params){GYP__KIND__KIND_WATCHER, "cold",
			     "watch", 4, 100, 0});
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, job), ==, 4);
	for (i = 0; i < 4; i++) {
		for (k = 0; k < i; k++)
			g_assert_cmpint(endpoint_of(fx, job, i)[1] / 2, !=,
			    endpoint_of(fx, job, k)[1] / 2);
	}
	job = submit_batch(fx, 64, 100);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, job), ==, 8); /* two per rack */
	fixture_free(fx);
}

/*
 * Two gangs that each need three of four endpoints both start, one after the
 * other, although small jobs keep arriving: the reservation protects them from
 * starvation and from blocking each other.
 */
static void
test_two_gangs(void)
{
	struct fixture *fx = fixture_new("");
	uint64_t gangs[2], small[4];
	uint32_t i, rounds, started[2] = {0, 0};

	add_endpoints(fx, 4);
	for (i = 0; i < 4; i++)
		small[i] = submit_batch(fx, 1, 5000);
	run_round(fx, 1);
	for (i = 0; i < 2; i++)
		gangs[i] =
		    submit(fx, (struct job_params){GYP__KIND__KIND_GANG,
				   i == 0 ? "a" : "b", "juice", 3, 8000, 0});
	for (rounds = 1; rounds < 400; rounds++) {
		run_round(fx, 500);
		/* One small job ends and another arrives. */
		if (placed_tasks(fx, small[rounds % 4]) > 0) {
			end_task(fx, small[rounds % 4], 0,
			    GYP__OUTCOME__OUTCOME_DONE, false);
			small[rounds % 4] = submit_batch(fx, 1, 5000);
		}
		for (i = 0; i < 2; i++) {
			const struct gyp_job *job =
			    gyp_state_job(fx->state, gangs[i]);

			/* A gang is placed whole or not at all. */
			g_assert_true(job->n_placed == 0 || job->n_placed == 3);
			if (job->n_placed == 3 && started[i] == 0)
				started[i] = rounds;
			if (job->n_placed == 3 && rounds > started[i] + 10) {
				for (uint32_t t = 0; t < 3; t++)
					end_task(fx, gangs[i], t,
					    GYP__OUTCOME__OUTCOME_DONE, false);
			}
		}
	}
	g_assert_cmpuint(started[0], >, 0);
	g_assert_cmpuint(started[1], >, 0);
	fixture_free(fx);
}

/*
 * Guards against endpoints that are reserved for a gang which its team's quota
 * keeps from starting: beside a watcher it can't, and the work of others would
 * wait in vain.
 */
static void
test_gang_over_quota(void)
{
	struct fixture *fx = fixture_new("quota press cpu=4 # asha: small\n");
	uint64_t gang, other;
	int i;

	add_endpoints(fx, 1);
	submit(fx, (struct job_params){
		       GYP__KIND__KIND_WATCHER, "press", "batch", 2, 1000, 0});
	run_round(fx, 1);
	gang = submit(fx, (struct job_params){GYP__KIND__KIND_GANG, "press",
			      "batch", 3, 1000, 0});
	for (i = 0; i < 120; i++)
		run_round(fx, 1000);
	other = submit(fx, (struct job_params){GYP__KIND__KIND_BATCH, "crews",
			       "batch", 2, 1000, 0});
	for (i = 0; i < 5; i++)
		run_round(fx, 1000);
	g_assert_cmpuint(placed_tasks(fx, gang), ==, 0);
	g_assert_cmpuint(placed_tasks(fx, other), ==, 2);
	fixture_free(fx);
}

/* ---- Fault attribution ------------------------------------------------- */

/*
 * An endpoint that fails every attempt at once is always free; without
 * quarantine it would take and fail most of the work.
 */
static void
test_quarantine(void)
{
	struct fixture *fx = fixture_new(
	    "quarantine failures=3 within=60s for=30s # ravi: bad VMs\n");
	uint64_t jobs[40];
	uint32_t i, k, bad = 0;
	struct gyp_endpoint *e0;

	add_endpoints(fx, 4);
	e0 = gyp_state_endpoint_by_name(fx->state, "e0");
	for (i = 0; i < 40; i++)
		jobs[i] = submit_batch(fx, 1, 2000);
	for (k = 0; k < 60; k++) {
		run_round(fx, 500);
		for (i = 0; i < 40; i++) {
			bool fails;

			if (placed_tasks(fx, jobs[i]) == 0)
				continue;
			fails = strcmp(endpoint_of(fx, jobs[i], 0), "e0") == 0;
			bad += fails;
			end_task(fx, jobs[i], 0,
			    fails ? GYP__OUTCOME__OUTCOME_FAILED
				  : GYP__OUTCOME__OUTCOME_DONE,
			    false);
		}
	}
	for (i = 0; i < 40; i++)
		g_assert_cmpint(gyp_state_job(fx->state, jobs[i])->outcome, ==,
		    GYP__OUTCOME__OUTCOME_DONE);
	g_assert_cmpint(e0->state, ==, GYP_ENDPOINT_QUARANTINED);
	g_assert_cmpuint(bad, <=, 8);
	/* It becomes active again, for one probing task at a time. */
	run_round(fx, 30000);
	run_round(fx, 1);
	g_assert_cmpint(e0->state, ==, GYP_ENDPOINT_ACTIVE);
	jobs[0] = submit_batch(fx, 32, 1000);
	run_round(fx, 1);
	g_assert_cmpuint(e0->attempts->len, <=, 1);
	fixture_free(fx);
}

#define QUARANTINE_RULE                                                        \
	"quarantine failures=3 within=60s for=30s # ravi: bad VMs\n"

/* Submits four jobs; endpoint e0 fails them until it is quarantined. */
static void
fail_until_quarantined(struct fixture *fx, uint64_t jobs[4])
{
	const struct gyp_endpoint *e0 =
	    gyp_state_endpoint_by_name(fx->state, "e0");
	uint32_t i, k;

	for (i = 0; i < 4; i++)
		jobs[i] = submit_batch(fx, 1, 1000);
	for (k = 0; k < 40 && e0->state == GYP_ENDPOINT_ACTIVE; k++) {
		run_round(fx, 500);
		for (i = 0; i < 4; i++) {
			if (placed_tasks(fx, jobs[i]) > 0)
				end_task(fx, jobs[i], 0,
				    GYP__OUTCOME__OUTCOME_FAILED, false);
		}
	}
	g_assert_cmpint(e0->state, ==, GYP_ENDPOINT_QUARANTINED);
}

/* A fixture with endpoint e0 only, which is quarantined and idle. */
static struct fixture *
new_with_quarantined(const char *rules)
{
	struct fixture *fx = fixture_new(rules);
	uint64_t jobs[4];
	uint32_t i;

	add_endpoints(fx, 1);
	fail_until_quarantined(fx, jobs);
	for (i = 0; i < 4; i++)
		cancel(fx, jobs[i], "");
	return fx;
}

/*
 * Guards against an endpoint that gets no work for ever, since the rule by
 * which it was quarantined was removed meanwhile.
 */
static void
test_quarantine_rule_removed(void)
{
	struct fixture *fx = new_with_quarantined(QUARANTINE_RULE);
	const struct gyp_endpoint *e0 =
	    gyp_state_endpoint_by_name(fx->state, "e0");
	uint32_t k;

	set_rules(fx, "");
	submit_batch(fx, 4, 1000);
	for (k = 0; k < 120; k++)
		run_round(fx, 1000);
	g_assert_cmpint(e0->state, ==, GYP_ENDPOINT_ACTIVE);
	g_assert_cmpuint(e0->attempts->len, ==, 4);
	fixture_free(fx);
}

/*
 * Guards against a second, longer quarantine without a probe: an attempt from
 * before the first one that fails during it shows nothing new.
 */
static void
test_failure_during_quarantine(void)
{
	struct gyp_health *h = gyp_health_new();
	struct gyp_health_limits limits = {
	    .failures = 2, .within_ms = 1000, .for_ms = 500};

	gyp_health_record_failure(h, 1, 13, 40);
	gyp_health_record_failure(h, 2, 13, 50);
	g_assert_true(gyp_health_is_faulty_endpoint(h, 13, &limits, 60));
	gyp_health_quarantine(h, 13, &limits, 60);
	gyp_health_record_failure(h, 3, 13, 100);
	g_assert_true(gyp_health_may_probe(h, 13, 560));
	g_assert_false(gyp_health_is_faulty_endpoint(h, 13, &limits, 560));
	gyp_health_record_failure(h, 4, 13, 570);
	g_assert_true(gyp_health_is_faulty_endpoint(h, 13, &limits, 570));
	gyp_health_free(h);
}

/*
 * Guards against an endpoint that is closed to all others as long as its probe
 * runs: a task of a service has no end.
 */
static void
test_probe_without_end(void)
{
	struct fixture *fx = new_with_quarantined(QUARANTINE_RULE);
	const struct gyp_endpoint *e0 =
	    gyp_state_endpoint_by_name(fx->state, "e0");
	uint32_t k;

	submit(fx, (struct job_params){
		       GYP__KIND__KIND_WATCHER, "press", "batch", 1, 1000, 0});
	for (k = 0; k < 120 && e0->attempts->len == 0; k++)
		run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 1);
	submit_batch(fx, 4, 1000);
	run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 1);
	for (k = 0; k < 120; k++)
		run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 5);
	fixture_free(fx);
}

/*
 * Guards against an endpoint that gets no probe as long as a task from before
 * its quarantine runs.
 */
static void
test_probe_beside_older_task(void)
{
	struct fixture *fx = fixture_new(QUARANTINE_RULE);
	const struct gyp_endpoint *e0;
	uint64_t jobs[4];
	uint32_t i, k;

	add_endpoints(fx, 1);
	e0 = gyp_state_endpoint_by_name(fx->state, "e0");
	submit(fx, (struct job_params){
		       GYP__KIND__KIND_WATCHER, "press", "batch", 1, 1000, 0});
	run_round(fx, 500);
	fail_until_quarantined(fx, jobs);
	for (i = 0; i < 4; i++)
		cancel(fx, jobs[i], "");
	submit_batch(fx, 4, 1000);
	for (k = 0; k < 40; k++)
		run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 2);
	for (k = 0; k < 120; k++)
		run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 5);
	fixture_free(fx);
}

/*
 * Guards against a gang that is shut out for ever of an endpoint that was
 * quarantined: it can't be a probe, and nothing else is there to probe with.
 */
static void
test_gang_after_quarantine(void)
{
	struct fixture *fx = new_with_quarantined(QUARANTINE_RULE);
	const struct gyp_endpoint *e0 =
	    gyp_state_endpoint_by_name(fx->state, "e0");
	uint32_t k;

	submit(fx, (struct job_params){
		       GYP__KIND__KIND_GANG, "press", "batch", 2, 1000, 0});
	for (k = 0; k < 120; k++)
		run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 2);
	fixture_free(fx);
}

/*
 * Guards against several probes at once, one for each task that ran there
 * during an earlier probation.
 */
static void
test_second_probation(void)
{
	struct fixture *fx = fixture_new(QUARANTINE_RULE);
	const struct gyp_endpoint *e0;
	uint64_t jobs[4], older;
	uint32_t i, k;

	add_endpoints(fx, 1);
	e0 = gyp_state_endpoint_by_name(fx->state, "e0");
	older = submit(fx, (struct job_params){GYP__KIND__KIND_WATCHER, "press",
			       "batch", 3, 1000, 0});
	run_round(fx, 500);
	g_assert_cmpuint(e0->attempts->len, ==, 3);
	fail_until_quarantined(fx, jobs);
	for (k = 0; k < 60 && e0->attempts->len == 3; k++)
		run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 4);
	run_round(fx, 1000);
	for (i = 0; i < 4; i++) {
		if (placed_tasks(fx, jobs[i]) > 0)
			end_task(fx, jobs[i], 0, GYP__OUTCOME__OUTCOME_FAILED,
			    false);
		cancel(fx, jobs[i], "");
	}
	run_round(fx, 1000);
	g_assert_cmpint(e0->state, ==, GYP_ENDPOINT_QUARANTINED);
	for (i = 0; i < 3; i++)
		end_task(fx, older, i, GYP__OUTCOME__OUTCOME_FAILED, false);
	cancel(fx, older, "");
	for (k = 0; k < 120 && e0->state == GYP_ENDPOINT_QUARANTINED; k++)
		run_round(fx, 1000);
	g_assert_cmpint(e0->state, ==, GYP_ENDPOINT_ACTIVE);
	submit_batch(fx, 5, 1000);
	run_round(fx, 1);
	g_assert_cmpuint(e0->attempts->len, ==, 1);
	fixture_free(fx);
}

/*
 * Guards against a probation that ends before the quarantine: the transition
 * may be applied some rounds after the one that proposes it.
 */
static void
test_quarantine_applied_late(void)
{
	struct fixture *fx = fixture_new(QUARANTINE_RULE);
	const struct gyp_endpoint *e0;
	uint64_t job;
	uint32_t i;

	add_endpoints(fx, 1);
	e0 = gyp_state_endpoint_by_name(fx->state, "e0");
	run_round(fx, GYP_HEALTH_PROBE_MS);
	for (i = 0; i < 3; i++) {
		job = submit_batch(fx, 1, 1000);
		run_round(fx, 1);
		g_assert_cmpuint(placed_tasks(fx, job), ==, 1);
		end_task(fx, job, 0, GYP__OUTCOME__OUTCOME_FAILED, false);
		cancel(fx, job, "");
	}
	for (i = 0; i < 3; i++) {
		fx->now += 1000;
		gyp_decision_free(fx->last);
		fx->last = gyp_decision_new();
		gyp_policy_decide(fx->policy, fx->now, 512, fx->last);
		g_assert_cmpuint(fx->last->transitions->len, ==, i == 0);
	}
	submit_batch(fx, 4, 1000);
	run_round(fx, 1000);
	g_assert_cmpuint(e0->attempts->len, ==, 1);
	fixture_free(fx);
}

/*
 * Failures of a job that fails everywhere are not attributed to endpoints, and
 * failures of several jobs at one endpoint are not attributed to the jobs.
 */
static void
test_fault_attribution(void)
{
	struct gyp_health *h = gyp_health_new();
	struct gyp_health_limits limits = {
	    .failures = 2, .within_ms = 1000, .for_ms = 500};
	enum { BAD_JOB = 1, OTHER = 2, THIRD = 3 };

	gyp_health_record_failure(h, BAD_JOB, 11, 10);
	g_assert_false(gyp_health_is_faulty_job(h, BAD_JOB));
	gyp_health_record_failure(h, BAD_JOB, 12, 20);
	g_assert_true(gyp_health_is_faulty_job(h, BAD_JOB));
	gyp_health_record_failure(h, BAD_JOB, 13, 30);
	gyp_health_record_failure(h, OTHER, 13, 40);
	g_assert_false(gyp_health_is_faulty_endpoint(h, 13, &limits, 50));
	gyp_health_record_failure(h, THIRD, 13, 50);
	g_assert_true(gyp_health_is_faulty_endpoint(h, 13, &limits, 60));
	g_assert_false(gyp_health_is_faulty_endpoint(h, 13, &limits, 5000));
	g_assert_false(gyp_health_is_faulty_job(h, OTHER));
	/* A failed probe doubles the quarantine. */
	gyp_health_quarantine(h, 13, &limits, 100);
	g_assert_false(gyp_health_may_probe(h, 13, 599));
	g_assert_true(gyp_health_may_probe(h, 13, 600));
	g_assert_true(gyp_health_on_probation(h, 13));
	gyp_health_record_failure(h, OTHER, 13, 610);
	g_assert_true(gyp_health_is_faulty_endpoint(h, 13, &limits, 620));
	gyp_health_quarantine(h, 13, &limits, 620);
	g_assert_false(gyp_health_may_probe(h, 13, 1619));
	gyp_health_record_success(h, OTHER, 13);
	g_assert_false(gyp_health_on_probation(h, 13));
	gyp_health_free(h);
}

/* ---- Bounds ------------------------------------------------------------ */

/* A round stays cheap with a long queue and after many cancellations. */
static void
test_long_queue(void)
{
	struct fixture *fx = fixture_new("");
	GArray *jobs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t before, id;
	uint32_t i;

	add_endpoints(fx, 48);
	for (i = 0; i < 10000; i++) {
		id = submit_batch(fx, 1, 8000);
		g_array_append_val(jobs, id);
	}
	run_round(fx, 1);
	g_assert_cmpuint(fx->last->placements->len, ==, 48);
	before = gyp_policy_counters(fx->policy)->endpoints_examined;
	end_task(fx, g_array_index(jobs, uint64_t, 0), 0,
	    GYP__OUTCOME__OUTCOME_DONE, false);
	run_round(fx, 1);
	g_assert_cmpuint(fx->last->placements->len, ==, 1);
	/* Far fewer than jobs times endpoints. */
	g_assert_cmpuint(
	    gyp_policy_counters(fx->policy)->endpoints_examined - before, <,
	    10000);
	for (i = 100; i < 10000; i++)
		cancel(fx, g_array_index(jobs, uint64_t, i), "test");
	before = gyp_policy_counters(fx->policy)->endpoints_examined;
	run_round(fx, 1);
	g_assert_cmpuint(
	    gyp_policy_counters(fx->policy)->endpoints_examined - before, <,
	    10000);
	g_assert_cmpuint(gyp_state_queue(fx->state)->length, ==, 51);
	id = submit_batch(fx, 1, 8000);
	end_task(fx, g_array_index(jobs, uint64_t, 1), 0,
	    GYP__OUTCOME__OUTCOME_DONE, false);
	run_round(fx, 1);
	g_assert_cmpuint(fx->last->placements->len, ==, 1);
	g_array_free(jobs, TRUE);
	fixture_free(fx);
}

static void
test_full_queue(void)
{
	struct fixture *fx = fixture_new("");
	uint64_t last = 0;
	uint32_t i;

	add_endpoints(fx, 1);
	for (i = 0; i <= GYP_QUEUE_MAX; i++)
		last = submit_batch(fx, 1, 8000);
	run_round(fx, 1);
	g_assert_cmpuint(fx->last->refusals->len, ==, 1);
	g_assert_cmpint(gyp_state_job(fx->state, last)->outcome, ==,
	    GYP__OUTCOME__OUTCOME_NOT_RUN);
	fixture_free(fx);
}

/* A proposal that did not take effect is made again. */
static void
test_lost_proposal(void)
{
	struct fixture *fx = fixture_new("");
	uint64_t job;
	struct gyp_decision *lost = gyp_decision_new();

	add_endpoints(fx, 1);
	job = submit_batch(fx, 1, 8000);
	gyp_policy_decide(fx->policy, fx->now, 512, lost);
	g_assert_cmpuint(lost->placements->len, ==, 1);
	gyp_decision_free(lost);
	run_round(fx, 1);
	g_assert_cmpuint(placed_tasks(fx, job), ==, 1);
	fixture_free(fx);
}

/* Random jobs: the grid finds an endpoint whenever the full scan does. */
static void
test_index_finds_all(void)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct fixture *fx = fixture_new("");
	struct gyp_policy *scan = gyp_policy_new(&gyp_policy_weighted, 1);
	uint64_t open[512] = {0};
	uint32_t i, k, diff = 0;

	gyp_policy_set_search(scan, GYP_SEARCH_LINEAR);
	add_endpoints(fx, 24);
	for (i = 0; i < 3000; i++) {
		struct gyp_decision *d = gyp_decision_new();

		k = (uint32_t)g_rand_int_range(rand, 0, 512);
		if (open[k] != 0 && placed_tasks(fx, open[k]) > 0)
			end_task(
			    fx, open[k], 0, GYP__OUTCOME__OUTCOME_DONE, false);
		else if (open[k] != 0)
			cancel(fx, open[k], "test");
		open[k] = submit(fx,
		    (struct job_params){GYP__KIND__KIND_BATCH, "press", "batch",
			1, (uint32_t)g_rand_int_range(rand, 100, 8000),
			g_rand_int_range(rand, 1, 64) * GIB / 8});
		fx->now += 600; /* past POLICY_FULL_ROUND_MS */
		gyp_policy_attach(scan, fx->state, fx->now);
		gyp_policy_decide(scan, fx->now, 512, d);
		gyp_policy_attach(fx->policy, fx->state, fx->now);
		run_round(fx, 0);
		diff += fx->last->placements->len != d->placements->len;
		gyp_decision_free(d);
	}
	g_assert_cmpuint(diff, ==, 0);
	gyp_policy_free(scan);
	g_rand_free(rand);
	fixture_free(fx);
}

static void
test_explain(void)
{
	struct fixture *fx =
	    fixture_new("quota press cpu=1 # asha: agreed at the merger\n");
	uint64_t job;
	char *text;

	add_endpoints(fx, 1);
	job = submit_batch(fx, 2, 1000);
	run_round(fx, 1);
	text = gyp_policy_explain(fx->policy, gyp_state_job(fx->state, job));
	g_assert_nonnull(strstr(text, "task 0: attempt 1 on e0"));
	g_assert_nonnull(strstr(text, "1 of 2 tasks wait: team press is at its"
				      " quota\n  rules line 1: quota press"));
	g_free(text);
	fixture_free(fx);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/infeasible", test_infeasible);
	g_test_add_func("/policy/urgent-first", test_urgent_first);
	g_test_add_func("/policy/shares", test_shares);
	g_test_add_func("/policy/gang-over-quota", test_gang_over_quota);
	g_test_add_func("/policy/quota-blocks-its-team-only",
	    test_quota_blocks_its_team_only);
	g_test_add_func("/policy/reserve", test_reserve);
	g_test_add_func("/policy/spread-and-limits", test_spread_and_limits);
	g_test_add_func("/policy/two-gangs", test_two_gangs);
	g_test_add_func("/policy/quarantine", test_quarantine);
	g_test_add_func(
	    "/policy/quarantine-rule-removed", test_quarantine_rule_removed);
	g_test_add_func("/policy/failure-during-quarantine",
	    test_failure_during_quarantine);
	g_test_add_func("/policy/probe-without-end", test_probe_without_end);
	g_test_add_func(
	    "/policy/probe-beside-older-task", test_probe_beside_older_task);
	g_test_add_func(
	    "/policy/gang-after-quarantine", test_gang_after_quarantine);
	g_test_add_func("/policy/second-probation", test_second_probation);
	g_test_add_func(
	    "/policy/quarantine-applied-late", test_quarantine_applied_late);
	g_test_add_func("/policy/fault-attribution", test_fault_attribution);
	g_test_add_func("/policy/long-queue", test_long_queue);
	g_test_add_func("/policy/full-queue", test_full_queue);
	g_test_add_func("/policy/lost-proposal", test_lost_proposal);
	g_test_add_func("/policy/index-finds-all", test_index_finds_all);
	g_test_add_func("/policy/explain", test_explain);
	return g_test_run();
}
