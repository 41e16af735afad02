#include <float.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "pool.h"
#include "token_bucket.h"

/*
 * NAME
 *	bench-shares - how the decisions for workspaces serve their jobs
 *
 * DESCRIPTION
 *	Prints a table with one row for each load pattern and policy, over
 *	SEEDS seeded runs in virtual time. Arrivals and run times depend on the
 *	seed and the pattern only, so all policies get the same jobs.
 *
 *	Whether a job is within the rate of its workspace is determined by a
 *	token bucket of the bench, on first submissions and with the weights of
 *	the built policy, so that the columns cover the same jobs for all
 *	policies.
 */

#define SEEDS     3
#define ENDPOINTS 100
#define CPUS      16 /* of an endpoint */

/* Workspaces, the large ones first, and the share of the jobs of each large. */
#define WORKSPACES  20
#define LARGE       3
#define LARGE_SHARE 0.15
#define HOT         0 /* the one that sends too much or has a cap that binds */
#define TENTH       2 /* workspaces in a tenth of them */

/* Weight of a workspace as a multiple of its usual rate. */
#define WEIGHT_FACTOR 1.9

/*
 * Caps in thousandths of a CPU: that of each workspace is the whole pool; half
 * the pool binds for HOT at 30 times its rate, and the tight cap always.
 */
#define CAP_MILLI       1600000
#define HALF_CAP_MILLI  800000
#define TIGHT_CAP_MILLI 100000

/* Times of a run in ms. Jobs that arrive in the measured period count. */
#define BEGIN_MS     100000
#define MEASURED_MS  (BEGIN_MS + 10000)
#define HOT_END_MS   (MEASURED_MS + 10000)
#define ARRIVALS_MS  (MEASURED_MS + 25000)
#define END_MS       (MEASURED_MS + 90000)
#define NO_LEADER_MS (MEASURED_MS + 5000)
#define LEADER_MS    (NO_LEADER_MS + 1000)

/* Times that a refused job is sent again, where callers do that. */
#define RETURNS_MAX 3

/* Spread of the logarithm of run times; their mean is that of the queue. */
#define SPREAD 0.6

#define STEPS_MAX 2
#define TASKS_MAX 20 /* of a step */

enum { URGENT, BATCH, QUEUES };

struct queue_kind {
	char *name;
	uint32_t priority;
	uint32_t tasks;   /* of a step */
	uint32_t mean_ms; /* run time of a task */
	uint32_t cpu_milli;
	double stretch;
	uint32_t target_ms;
	double rate; /* jobs per second */
};

/* Urgent jobs need 300 CPUs and batch jobs 900 of the pool's 1600. */
static const struct queue_kind kinds[QUEUES] = {
    {"urgent", 0, 10, 1000, 2000, 1.5, 250, 10},
    {"batch", 2, 20, 4000, 4000, 2.2, 1200, 900.0 / 640}};

struct pattern {
	const char *name;
	double hot;         /* factor of the rate of HOT for 10 s */
	double batch;       /* factor of the rate of all batch jobs for 10 s */
	uint32_t cap_milli; /* of HOT */
	bool new_leader;
	bool returns; /* callers send refused jobs again */
};

static const struct pattern patterns[] = {
    {"usual", 1, 1, CAP_MILLI, false, false},
    {"one at 4 times", 4, 1, CAP_MILLI, false, false},
    {"one at 8 times", 8, 1, CAP_MILLI, false, false},
    {"one at 30 times", 30, 1, CAP_MILLI, false, false},
    {"one at 30 times, refused return", 30, 1, CAP_MILLI, false, true},
    {"one at 30 times, cap of half the pool", 30, 1, HALF_CAP_MILLI, false,
	false},
    {"one at 30 times, new leader", 30, 1, CAP_MILLI, true, false},
    {"batch at 1.8 times", 1, 1.8, CAP_MILLI, false, false},
    {"batch at 1.8 times, refused return", 1, 1.8, CAP_MILLI, false, true},
    {"cap binds for one", 1, 1, TIGHT_CAP_MILLI, false, false}};

enum policy { BUILT, NO_REFUSALS, NO_RATES, EQUAL, POLICIES };

static const char *const policy_names[POLICIES] = {
    "as built", "without refusals", "without rates", "equal weights"};

struct job {
	uint64_t id;
	uint64_t arrived_ms;
	uint64_t due_ms;   /* of the next submission */
	uint64_t chain_ms; /* run time with any number of endpoints */
	int queue;
	uint32_t workspace;
	uint32_t steps;
	uint32_t refusals;
	bool within;
	struct pool_task tasks[STEPS_MAX * TASKS_MAX];
};

/* Counts of one pattern and policy, over all seeds. */
struct result {
	uint32_t within[QUEUES][WORKSPACES];
	uint32_t in_time[QUEUES][WORKSPACES];
	uint32_t within_refused; /* at least once */
	uint32_t beyond, beyond_done, beyond_in_time, beyond_refused;
	double measured_booked; /* as in struct pool */
	double booked, thrown;
};

struct bench {
	enum policy policy;
	const struct pattern *pattern;
	struct result *result;
	struct pool pool;
	GRand *rand;
	GPtrArray *jobs;     /* struct job */
	GSequence *arrivals; /* struct job, by due_ms */
};

/* ---- Jobs --------------------------------------------------------------- */

static double
share_of(uint32_t workspace)
{
	return workspace < LARGE
		   ? LARGE_SHARE
		   : (1 - LARGE * LARGE_SHARE) / (WORKSPACES - LARGE);
}

static double
rate_of(uint32_t workspace, enum policy policy)
{
	double sum = WEIGHT_FACTOR * (kinds[URGENT].rate + kinds[BATCH].rate);

	if (policy == NO_RATES)
		return 0;
	return sum * (policy == EQUAL ? 1.0 / WORKSPACES : share_of(workspace));
}

static gint
by_due(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct job *x = a, *y = b;

	(void)arg;
	if (x->due_ms != y->due_ms)
		return x->due_ms < y->due_ms ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

static uint32_t
draw_run_ms(GRand *rand, double mean_ms)
{
	double u = 1 - g_rand_double(rand), v = g_rand_double(rand);
	double normal = sqrt(-2 * log(u)) * cos(2 * G_PI * v);

	return 1 +
	       (uint32_t)(mean_ms * exp(SPREAD * normal - SPREAD * SPREAD / 2));
}

static void
add_job(struct bench *b, uint64_t at, int queue, uint32_t workspace)
{
	const struct queue_kind *k = &kinds[queue];
	struct job *job = g_new0(struct job, 1);
	uint32_t longest[STEPS_MAX] = {0}, i;

	g_ptr_array_add(b->jobs, job);
	job->id = b->jobs->len;
	job->arrived_ms = job->due_ms = at;
	job->queue = queue;
	job->workspace = workspace;
	job->steps = queue == BATCH ? 2 : 1 + g_rand_boolean(b->rand);
	for (i = 0; i < job->steps * k->tasks; i++) {
		struct pool_task *t = &job->tasks[i];

		t->run_ms = t->left_ms = draw_run_ms(b->rand, k->mean_ms);
		longest[i / k->tasks] = MAX(longest[i / k->tasks], t->run_ms);
	}
	job->chain_ms = longest[0] + longest[1];
	g_sequence_insert_sorted(b->arrivals, job, by_due, NULL);
}

static double
arrival_rate(
    const struct pattern *p, uint64_t at, int queue, uint32_t workspace)
{
	double rate = kinds[queue].rate * share_of(workspace);

	if (at < MEASURED_MS || at >= HOT_END_MS)
		return rate;
	return rate * (workspace == HOT ? p->hot : 1) *
	       (queue == BATCH ? p->batch : 1);
}

/*
 * Draws the arrivals of a Poisson process whose rate changes over time. They
 * are decided on at their time, so that the bucket of the bench and that of the
 * intake agree.
 */
static void
draw_arrivals(struct bench *b, int queue, uint32_t workspace)
{
	double left = -log(1 - g_rand_double(b->rand));
	uint64_t at;

	for (at = BEGIN_MS + POOL_STEP_MS; at < ARRIVALS_MS;
	     at += POOL_STEP_MS) {
		left -= arrival_rate(b->pattern, at, queue, workspace) *
			POOL_STEP_MS / 1000;
		while (left <= 0) {
			add_job(b, at, queue, workspace);
			left -= log(1 - g_rand_double(b->rand));
		}
	}
}

static void
mark_jobs_within(struct bench *b)
{
	struct gyp_token_bucket buckets[WORKSPACES] = {{0, 0}};
	GSequenceIter *it;

	for (it = g_sequence_get_begin_iter(b->arrivals);
	     !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct job *job = g_sequence_get(it);

		job->within = gyp_token_bucket_take(&buckets[job->workspace],
		    rate_of(job->workspace, BUILT), job->arrived_ms);
	}
}

/* ---- Manifest ----------------------------------------------------------- */

static void
fill_queue(Gyp__FlowQueue *q, const struct queue_kind *k)
{
	gyp__flow_queue__init(q);
	q->name = k->name;
	q->pool = "pool";
	q->priority = k->priority;
	q->attempts = 3;
	q->stretch = k->stretch;
	q->target_ms = k->target_ms;
}

static void
apply_manifest(struct bench *b)
{
	Gyp__Workspace workspaces[WORKSPACES], *list[WORKSPACES];
	Gyp__Res caps[WORKSPACES];
	Gyp__FlowQueue queues[QUEUES], *queue_list[QUEUES];
	Gyp__CmdManifest manifest = GYP__CMD_MANIFEST__INIT;
	Gyp__Cmd cmd = GYP__CMD__INIT;
	char names[WORKSPACES][8];
	uint32_t i;

	for (i = 0; i < WORKSPACES; i++) {
		gyp__workspace__init(&workspaces[i]);
		gyp__res__init(&caps[i]);
		snprintf(names[i], sizeof(names[i]), "w%u", i);
		workspaces[i].name = names[i];
		workspaces[i].rate = rate_of(i, b->policy);
		workspaces[i].cap = &caps[i];
		caps[i].cpu_milli =
		    i == HOT ? b->pattern->cap_milli : CAP_MILLI;
		list[i] = &workspaces[i];
	}
	for (i = 0; i < QUEUES; i++) {
		fill_queue(&queues[i], &kinds[i]);
		queue_list[i] = &queues[i];
	}
	manifest.version = 1;
	manifest.n_workspaces = WORKSPACES;
	manifest.workspaces = list;
	manifest.n_queues = QUEUES;
	manifest.queues = queue_list;
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = &manifest;
	gyp_flows_apply(b->pool.flows, b->pool.now, &cmd);
}

/* ---- Submission --------------------------------------------------------- */

static void
commit_job(struct bench *b, struct job *job, bool excess)
{
	const Gyp__CmdManifest *m = gyp_flows_manifest(b->pool.flows);
	const struct queue_kind *k = &kinds[job->queue];
	Gyp__FlowStep steps[STEPS_MAX], *list[STEPS_MAX];
	Gyp__Res size = GYP__RES__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	uint32_t first = 0, i;

	size.cpu_milli = k->cpu_milli;
	for (i = 0; i < job->steps; i++) {
		gyp__flow_step__init(&steps[i]);
		steps[i].count = k->tasks;
		steps[i].size = &size;
		/* Does not depend on the run times. */
		steps[i].estimate_ms = 100 + job->id * 7919 % 10000;
		steps[i].checkpoints = job->queue == BATCH;
		steps[i].n_after = i;
		steps[i].after = &first;
		list[i] = &steps[i];
	}
	spec.id = job->id;
	spec.n_steps = job->steps;
	spec.steps = list;
	spec.queue = m->queues[job->queue];
	spec.workspace = m->workspaces[job->workspace]->name;
	spec.excess = excess;
	pool_commit_flow(&b->pool, &spec, job->tasks);
}

static void
submit_job(struct bench *b, struct job *job)
{
	const Gyp__CmdManifest *m = gyp_flows_manifest(b->pool.flows);
	const struct gyp_workspace_use *use = gyp_workspace_use_by_name(
	    b->pool.flows, m->workspaces[job->workspace]->name);
	struct gyp_pool_load load =
	    gyp_flow_scheduler_load(b->pool.scheduler, "pool", use);
	double max_delay_ms =
	    b->policy == NO_REFUSALS ? DBL_MAX : kinds[job->queue].target_ms;
	uint32_t retry_ms = 0;
	enum gyp_intake_verdict verdict = gyp_flow_intake_decide(b->pool.intake,
	    b->pool.now, m->workspaces[job->workspace], job->id, max_delay_ms,
	    &load, &retry_ms);

	if (verdict != GYP_INTAKE_REFUSE) {
		commit_job(b, job, verdict == GYP_INTAKE_ACCEPT_EXCESS);
		return;
	}
	if (job->refusals++ < (b->pattern->returns ? RETURNS_MAX : 0)) {
		job->due_ms = b->pool.now + retry_ms;
		g_sequence_insert_sorted(b->arrivals, job, by_due, NULL);
	}
}

/* Submits the jobs that are due; they wait while there is no leader. */
static void
submit_due_jobs(struct bench *b)
{
	while (b->pool.scheduler != NULL && !g_sequence_is_empty(b->arrivals)) {
		GSequenceIter *it = g_sequence_get_begin_iter(b->arrivals);
		struct job *job = g_sequence_get(it);

		if (job->due_ms > b->pool.now)
			return;
		g_sequence_remove(it);
		submit_job(b, job);
	}
}

/* ---- Runs of the bench -------------------------------------------------- */

static void
step(struct bench *b)
{
	double booked = b->pool.booked;

	if (b->pattern->new_leader && b->pool.now == NO_LEADER_MS)
		pool_lose_leader(&b->pool);
	if (b->pattern->new_leader && b->pool.now == LEADER_MS)
		pool_new_leader(&b->pool);
	pool_advance(&b->pool);
	if (b->pool.now > MEASURED_MS && b->pool.now <= ARRIVALS_MS)
		b->result->measured_booked += b->pool.booked - booked;
	submit_due_jobs(b);
	pool_decide(&b->pool);
}

static void
count_job(gpointer item, gpointer arg)
{
	const struct job *job = item;
	const struct bench *b = arg;
	const struct queue_kind *k = &kinds[job->queue];
	const struct gyp_flow *flow = gyp_flow_get(b->pool.flows, job->id);
	double objective_ms = k->stretch * (double)job->chain_ms + k->target_ms;
	bool done = flow != NULL && flow->state == GYP_FLOW_COMPLETED;
	bool in_time =
	    done && (double)(flow->ended_ms - job->arrived_ms) <= objective_ms;
	struct result *r = b->result;

	if (job->arrived_ms < MEASURED_MS)
		return;
	if (job->within) {
		r->within[job->queue][job->workspace]++;
		r->in_time[job->queue][job->workspace] += in_time;
		r->within_refused += job->refusals > 0;
		return;
	}
	r->beyond++;
	r->beyond_done += done;
	r->beyond_in_time += in_time;
	r->beyond_refused += job->refusals > 0;
}

static bool
is_over(const struct bench *b)
{
	return b->pool.now >= END_MS ||
	       (b->pool.now >= ARRIVALS_MS &&
		   g_sequence_is_empty(b->arrivals) &&
		   gyp_flows_active(b->pool.flows)->length == 0);
}

static void
run(const struct pattern *pattern, enum policy policy, uint32_t seed,
    struct result *r)
{
	struct bench b = {.policy = policy, .pattern = pattern, .result = r};
	uint32_t i;

	b.rand = g_rand_new_with_seed(seed);
	b.jobs = g_ptr_array_new_with_free_func(g_free);
	b.arrivals = g_sequence_new(NULL);
	pool_init(&b.pool, BEGIN_MS, ENDPOINTS, CPUS);
	apply_manifest(&b);
	for (i = 0; i < WORKSPACES * QUEUES; i++)
		draw_arrivals(&b, (int)(i % QUEUES), i / QUEUES);
	mark_jobs_within(&b);
	while (!is_over(&b))
		step(&b);
	gyp_flows_check(b.pool.flows);
	g_ptr_array_foreach(b.jobs, count_job, &b);
	r->booked += b.pool.booked;
	r->thrown += b.pool.thrown;
	pool_clear(&b.pool);
	g_sequence_free(b.arrivals);
	g_ptr_array_free(b.jobs, TRUE);
	g_rand_free(b.rand);
}

/* ---- Report ------------------------------------------------------------- */

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Prints the percentage in time of the jobs within the rate, of all workspaces
 * from the first one on, and the mean percentage of the worst-served tenth.
 */
static void
print_in_time(const struct result *r, int queue, uint32_t first)
{
	double percent[WORKSPACES], worst = 0;
	uint32_t within = 0, in_time = 0, n = 0, i;

	for (i = first; i < WORKSPACES; i++) {
		uint32_t jobs = r->within[queue][i];

		within += jobs;
		in_time += r->in_time[queue][i];
		if (jobs > 0)
			percent[n++] = 100.0 * r->in_time[queue][i] / jobs;
	}
	qsort(percent, n, sizeof(percent[0]), by_value);
	for (i = 0; i < TENTH; i++)
		worst += percent[i];
	printf(" %.1f | %.1f |", 100.0 * in_time / within, worst / TENTH);
}

static void
print_row(const struct pattern *p, enum policy policy, const struct result *r)
{
	double capacity = (double)SEEDS * ENDPOINTS * CPUS * 1000 *
			  (ARRIVALS_MS - MEASURED_MS);
	/* The tight cap makes the jobs under it late by intention. */
	uint32_t first = p->cap_milli == TIGHT_CAP_MILLI ? HOT + 1 : 0;

	printf("| %s | %s |", p->name, policy_names[policy]);
	print_in_time(r, URGENT, first);
	print_in_time(r, BATCH, first);
	printf(" %u | %u | %u | %u | %u | %.1f | %.2f |\n", r->within_refused,
	    r->beyond, r->beyond_refused, r->beyond_done, r->beyond_in_time,
	    100 * r->measured_booked / capacity, 100 * r->thrown / r->booked);
}

int
main(void)
{
	uint32_t i, policy, seed;

	printf("| load | policy | urgent in time %% | worst tenth | "
	       "batch in time %% | worst tenth | refused within | "
	       "jobs beyond | refused | done | in time | "
	       "CPUs booked %% | thrown away %% |\n");
	printf("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|"
	       "---:|\n");
	for (i = 0; i < G_N_ELEMENTS(patterns); i++) {
		for (policy = 0; policy < POLICIES; policy++) {
			struct result r = {0};

			/* Policies without refusals have no other result. */
			if (patterns[i].returns &&
			    (policy == NO_REFUSALS || policy == NO_RATES))
				continue;
			for (seed = 1; seed <= SEEDS; seed++)
				run(&patterns[i], policy, seed, &r);
			print_row(&patterns[i], policy, &r);
		}
	}
	return 0;
}
