#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "cell.h"

/*
 * Measures the cost of control work at several cell sizes and prints the
 * tables of docs/CAPACITY.md: the cost of one operation for each role, and the
 * total at the stated size.
 */

/* Peak rate of starts at the stated size. */
#define PEAK_STARTS_PER_S 410

/* Runs of each size; the minimum CPU time counts, as noise only adds. */
#define REPEATS 3

/* Virtual time of the heartbeat measurement, in s. */
#define MEASURE_S 5

/* Heartbeat interval of the endpoints, in s. */
#define HEARTBEAT_S 1

#define TEAMS        98
#define ENDPOINT_CPU 32000
#define SLOTS        32

/* Required limits of the control work on a VM. */
#define LIMIT_CPU_PERCENT 3.9
#define LIMIT_MEMORY_MB   32.0
#define LIMIT_KB_S        25.0

/* Virtual time of the measurement of an idle cell, in s. */
#define IDLE_S 3

enum role { LEADER, FOLLOWER, ENTRY, N_ROLES };

static const char *const role_names[] = {"leader", "follower", "entry"};

enum work {
	IDLE,
	HEARTBEAT,
	START_1_TASK,
	START_1_TASK_SLOW,
	START_64_TASKS,
	RULES,
	N_WORKS
};

static const char *const work_names[] = {"idle, a second",
    "heartbeat of an endpoint", "start, jobs of 1 task, 410/s",
    "start, jobs of 1 task, 41/s", "start, jobs of 64 tasks, 410/s",
    "change of rules, 7.4 KB"};

/* Cost of one operation for one process. */
struct operation_cost {
	double us;
	double bytes; /* sent and received */
	double frames;
	double disk; /* bytes of log records */
};

struct tables_size {
	uint32_t jobs;
	gsize snapshot;
	gsize memory;
	double save_ms;
	double restore_ms;
};

struct sample {
	uint32_t endpoints;
	uint32_t tasks;
	struct operation_cost cost[N_WORKS][N_ROLES];
	struct tables_size tables;
	gsize memory[N_ROLES];        /* heap bytes of one process's core */
	double finished_job_heap;     /* bytes per finished job of one task */
	double finished_job_snapshot; /* snapshot bytes per finished job */
};

struct bench {
	struct cell *cell;
	uint32_t next_key;
	uint32_t next_entry;
	struct cell_costs idle; /* of IDLE_S idle seconds */
	struct sample *sample;
};

/* ---- Load -------------------------------------------------------------- */

static void
announce(struct bench *bench, uint32_t n)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res cap = GYP__RES__INIT;
	char name[32], address[32], rack[32];

	g_snprintf(name, sizeof(name), "worker-%04u", n);
	g_snprintf(
	    address, sizeof(address), "10.1.%u.%u:8080", n / 250, n % 250 + 1);
	g_snprintf(rack, sizeof(rack), "rack-%03u", n / 8);
	cap.cpu_milli = ENDPOINT_CPU;
	cap.memory = 64ULL << 30;
	cap.slots = SLOTS;
	ep.name = name;
	ep.address = address;
	ep.rack = rack;
	ep.data_centre = "jamnagar";
	ep.capacity = &cap;
	ep.connections = 64;
	ep.incarnation = n + 1;
	call.c_case = GYP__CALL__C_ANNOUNCE;
	call.announce = &ep;
	cell_call(bench->cell, n, &call);
}

static void
submit(struct bench *bench, Gyp__Kind kind, uint32_t tasks)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdSubmit sub = GYP__CMD_SUBMIT__INIT;
	Gyp__JobSpec spec = GYP__JOB_SPEC__INIT;
	Gyp__Res size = GYP__RES__INIT;
	char team[16], key[32];

	size.cpu_milli = 500;
	size.memory = 1ULL << 30;
	size.slots = 1;
	g_snprintf(team, sizeof(team), "team-%02u", bench->next_key % TEAMS);
	g_snprintf(key, sizeof(key), "%08x-%08x", bench->next_key * 2654435761U,
	    bench->next_key);
	bench->next_key++;
	spec.kind = kind;
	spec.team = team;
	spec.class_ = "batch";
	spec.key = key;
	spec.idempotent = true;
	spec.tasks = tasks;
	spec.size = &size;
	spec.run_ms = 1000;
	sub.spec = &spec;
	call.c_case = GYP__CALL__C_SUBMIT;
	call.submit = &sub;
	cell_call(bench->cell, bench->next_entry++, &call);
}

static void
send_heartbeat(struct bench *bench, const struct gyp_endpoint *ep)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Beat beat = GYP__BEAT__INIT;
	Gyp__Res used = GYP__RES__INIT;
	Gyp__Attempt *attempts = g_new(Gyp__Attempt, ep->attempts->len + 1);
	Gyp__Attempt **list = g_new(Gyp__Attempt *, ep->attempts->len + 1);
	guint i;

	used.cpu_milli = ep->booked.cpu_milli;
	used.memory = ep->booked.memory;
	for (i = 0; i < ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(ep->attempts, struct gyp_task_ref, i);

		gyp__attempt__init(&attempts[i]);
		attempts[i].job = ref->job;
		attempts[i].task = ref->task;
		attempts[i].attempt = 1;
		list[i] = &attempts[i];
	}
	beat.incarnation = ep->spec->incarnation;
	beat.endpoint = ep->id;
	beat.clock_ms = cell_now(bench->cell);
	beat.used = &used;
	beat.n_running = ep->attempts->len;
	beat.running = list;
	call.c_case = GYP__CALL__C_BEAT;
	call.beat = &beat;
	cell_call(bench->cell, bench->next_entry++, &call);
	g_free(attempts);
	g_free(list);
}

/* Sends a heartbeat of each endpoint, spread over HEARTBEAT_S seconds. */
static void
heartbeat_round(struct bench *bench)
{
	const struct gyp_state *s = gyp_replica_state(cell_leader(bench->cell));
	const struct gyp_table *t = gyp_state_endpoints(s);
	uint32_t steps = HEARTBEAT_S * 1000 / CELL_STEP_MS;
	uint32_t next = 0, i;

	for (i = 0; i < steps; i++) {
		uint32_t due =
		    (uint32_t)((uint64_t)gyp_table_size(t) * (i + 1) / steps);

		for (; next < due; next++)
			send_heartbeat(bench, gyp_table_at(t, next, NULL));
		cell_run(bench->cell, CELL_STEP_MS);
	}
}

static void
populate(struct bench *bench)
{
	uint32_t i;

	for (i = 0; i < bench->sample->endpoints; i++) {
		announce(bench, i);
		if (i % 64 == 0)
			cell_run(bench->cell, CELL_STEP_MS);
	}
	cell_run(bench->cell, 100);
	heartbeat_round(bench);
	for (i = 0; i < bench->sample->tasks / 10; i++) {
		submit(bench, GYP__KIND__KIND_WATCHER, 10);
		if (i % 64 == 63)
			cell_run(bench->cell, 20);
	}
	heartbeat_round(bench);
	heartbeat_round(bench);
	g_assert(gyp_state_queue(gyp_replica_state(cell_leader(bench->cell)))
		     ->length == 0);
}

/* ---- Measurements ------------------------------------------------------ */

static struct operation_cost
cost_per_operation(const struct cell_cost *c, const struct cell_cost *idle,
    double idle_s, double operations)
{
	double share = idle_s / IDLE_S;
	struct operation_cost u = {
	    .us = ((double)c->cpu_ns - (double)idle->cpu_ns * share) / 1000,
	    .bytes = (double)(c->bytes_out + c->bytes_in) -
		     (double)(idle->bytes_out + idle->bytes_in) * share,
	    .frames = (double)c->frames_out - (double)idle->frames_out * share,
	    .disk = (double)c->disk_bytes};

	u.us = MAX(u.us, 0) / operations;
	u.bytes /= operations;
	u.frames /= operations;
	u.disk /= operations;
	return u;
}

/* Records the cost per operation since the reset, less idle_s idle seconds. */
static void
record_cost(
    struct bench *bench, enum work work, double idle_s, double operations)
{
	struct cell_costs c = cell_costs(bench->cell);
	struct operation_cost *u = bench->sample->cost[work];

	u[LEADER] = cost_per_operation(
	    &c.leader, &bench->idle.leader, idle_s, operations);
	u[FOLLOWER] = cost_per_operation(
	    &c.follower, &bench->idle.follower, idle_s, operations);
	u[ENTRY] = cost_per_operation(
	    &c.entry, &bench->idle.entry, idle_s, operations);
}

static void
measure_idle(struct bench *bench)
{
	heartbeat_round(bench);
	cell_reset_costs(bench->cell);
	cell_run(bench->cell, IDLE_S * 1000);
	record_cost(bench, IDLE, 0, IDLE_S);
	bench->idle = cell_costs(bench->cell);
	heartbeat_round(bench);
}

static void
measure_heartbeats(struct bench *bench)
{
	uint32_t i;

	cell_reset_costs(bench->cell);
	for (i = 0; i < MEASURE_S; i++)
		heartbeat_round(bench);
	record_cost(bench, HEARTBEAT, (double)MEASURE_S * HEARTBEAT_S,
	    (double)bench->sample->endpoints * MEASURE_S);
}

/*
 * Measures `rate` task starts per second, as jobs of `tasks_a_job` tasks.
 * Submits for 3 s, then waits 200 ms for the last ends; the idle cost of both
 * is subtracted. The cost includes the ends of the tasks.
 */
static void
measure_starts(
    struct bench *bench, enum work work, uint32_t rate, uint32_t tasks_a_job)
{
	uint32_t steps = 3000 / CELL_STEP_MS;
	uint32_t jobs = rate * 3 / tasks_a_job;
	uint32_t sent = 0, i;

	heartbeat_round(bench);
	cell_reset_costs(bench->cell);
	for (i = 0; i < steps; i++) {
		while (sent * steps < jobs * (i + 1)) {
			submit(bench, GYP__KIND__KIND_BATCH, tasks_a_job);
			sent++;
		}
		cell_run(bench->cell, CELL_STEP_MS);
	}
	cell_run(bench->cell, 200);
	record_cost(bench, work, 3.2, (double)cell_costs(bench->cell).starts);
	heartbeat_round(bench);
}

static void
measure_rules(struct bench *bench)
{
	GString *text = g_string_new(NULL);
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdRules rules = GYP__CMD_RULES__INIT;
	uint32_t i;

	for (i = 0; i < TEAMS; i++)
		g_string_append_printf(text,
		    "quota team-%02u cpu=%u memory=65536GiB slots=64000"
		    " # asha: agreed share of the crew\n",
		    i, 8000 + i);
	rules.request = "r-1";
	rules.author = "asha";
	rules.text = text->str;
	call.c_case = GYP__CALL__C_RULES;
	call.rules = &rules;
	heartbeat_round(bench);
	cell_reset_costs(bench->cell);
	cell_call(bench->cell, bench->next_entry++, &call);
	cell_run(bench->cell, 1000);
	record_cost(bench, RULES, 1, 1);
	g_string_free(text, TRUE);
	heartbeat_round(bench);
}

static double
cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static struct tables_size
measure_tables(struct bench *bench)
{
	const struct gyp_state *s = gyp_replica_state(cell_leader(bench->cell));
	struct tables_size size, *t = &size;
	struct gyp_state *copy = gyp_state_new(NULL);
	double t0 = cpu_ms(), t1;
	GBytes *saved = gyp_state_save(s);
	const uint8_t *data = g_bytes_get_data(saved, &t->snapshot);
	gsize before;

	t1 = cpu_ms();
	t->save_ms = t1 - t0;
	before = mallinfo2().uordblks;
	g_assert(gyp_state_restore(copy, data, t->snapshot));
	t->memory = mallinfo2().uordblks - before;
	t->restore_ms = cpu_ms() - t1;
	t->jobs = gyp_table_count(gyp_state_jobs(s));
	g_bytes_unref(saved);
	gyp_state_free(copy);
	return size;
}

/* Measures the memory and snapshot bytes that each finished job keeps. */
static void
measure_finished_jobs(struct bench *bench)
{
	struct tables_size before = bench->sample->tables;
	struct tables_size after = measure_tables(bench);
	double jobs = after.jobs - before.jobs;

	bench->sample->finished_job_heap =
	    ((double)after.memory - (double)before.memory) / jobs;
	bench->sample->finished_job_snapshot =
	    ((double)after.snapshot - (double)before.snapshot) / jobs;
}

/* Returns the heap bytes per key that is kept after its job's removal. */
static double
measure_retired_key(void)
{
	enum { KEYS = 10000 };
	struct gyp_state *s = gyp_state_new(NULL);
	gsize before = mallinfo2().uordblks;
	uint32_t i;
	double bytes;

	for (i = 0; i < KEYS; i++) {
		Gyp__Batch batch = GYP__BATCH__INIT;
		Gyp__Cmd cmd = GYP__CMD__INIT, *list = &cmd;
		Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;
		char key[16];

		g_snprintf(key, sizeof(key), "key-%u", i);
		cancel.key = key;
		cancel.team = "team";
		cmd.c_case = GYP__CMD__C_CANCEL;
		cmd.cancel = &cancel;
		batch.n_cmds = 1;
		batch.cmds = &list;
		gyp_state_apply(s, &batch);
	}
	bytes = (double)(mallinfo2().uordblks - before) / KEYS;
	gyp_state_free(s);
	return bytes;
}

/* Measures the heap that is released by freeing one process of each role. */
static void
measure_memory(struct bench *bench)
{
	gsize before = mallinfo2().uordblks, after;
	int role;

	for (role = N_ROLES - 1; role >= 0; role--) {
		if (role == ENTRY)
			cell_free_entry(bench->cell);
		else
			cell_free_replica(bench->cell, (guint)role);
		after = mallinfo2().uordblks;
		bench->sample->memory[role] = before - after;
		before = after;
	}
}

static void
measure(struct sample *sample)
{
	struct bench bench = {.sample = sample};

	bench.cell = cell_new();
	populate(&bench);
	sample->tables = measure_tables(&bench);
	measure_idle(&bench);
	measure_heartbeats(&bench);
	measure_rules(&bench);
	measure_starts(&bench, START_1_TASK, PEAK_STARTS_PER_S, 1);
	measure_finished_jobs(&bench);
	measure_starts(&bench, START_1_TASK_SLOW, PEAK_STARTS_PER_S / 10, 1);
	measure_starts(&bench, START_64_TASKS, PEAK_STARTS_PER_S, 64);
	measure_memory(&bench);
	cell_free(bench.cell);
}

static void
measure_repeatedly(struct sample *sample)
{
	struct sample next;
	int work, role, i;

	measure(sample);
	for (i = 1; i < REPEATS; i++) {
		next = *sample;
		measure(&next);
		for (work = 0; work < N_WORKS; work++) {
			for (role = 0; role < N_ROLES; role++) {
				double *us = &sample->cost[work][role].us;

				*us = MIN(*us, next.cost[work][role].us);
			}
		}
	}
}

/* ---- Tables ------------------------------------------------------------ */

static void
print_units(const struct sample *samples, guint n, enum work work)
{
	guint i;
	int r;

	printf("\nPer %s:\n\n", work_names[work]);
	printf("| endpoints | tasks | leader us | bytes | frames | disk |"
	       " follower us | bytes | entry us | bytes |\n");
	printf("|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
	for (i = 0; i < n; i++) {
		const struct operation_cost *u = samples[i].cost[work];

		printf("| %u | %u", samples[i].endpoints, samples[i].tasks);
		for (r = 0; r < N_ROLES; r++) {
			printf(" | %.1f | %.0f", u[r].us, u[r].bytes);
			if (r == LEADER)
				printf(
				    " | %.2f | %.0f", u[r].frames, u[r].disk);
		}
		printf(" |\n");
	}
}

static void
print_tables(const struct sample *samples, guint n)
{
	guint i;

	printf("\nTables and heap (heap after all runs, with the log):\n\n");
	printf("| endpoints | tasks | jobs | snapshot bytes | tables bytes |"
	       " save ms | restore ms | leader heap KB | follower heap KB |"
	       " entry heap KB |\n");
	printf("|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
	for (i = 0; i < n; i++) {
		const struct sample *s = &samples[i];

		printf("| %u | %u | %u | %zu | %zu | %.1f | %.1f | %zu | %zu |"
		       " %zu |\n",
		    s->endpoints, s->tasks, s->tables.jobs, s->tables.snapshot,
		    s->tables.memory, s->tables.save_ms, s->tables.restore_ms,
		    s->memory[LEADER] / 1024, s->memory[FOLLOWER] / 1024,
		    s->memory[ENTRY] / 1024);
	}
}

static double
slope(double first, double last, double first_x, double last_x)
{
	return (last - first) / (last_x - first_x);
}

/* Samples 0 to 2 differ in endpoints, samples 2 to 4 in tasks. */
static void
print_slopes(const struct sample *s)
{
	printf("\nA finished job of one task that is kept takes %.0f bytes of"
	       " heap and %.0f\nof a snapshot; a retired key (its job removed)"
	       " takes %.0f bytes of heap.\n",
	    s[4].finished_job_heap, s[4].finished_job_snapshot,
	    measure_retired_key());
	printf("\nSlopes, first to last size of each row above:\n\n");
	printf("| what | per endpoint | per task |\n|---|---:|---:|\n");
	printf("| snapshot, bytes | %.0f | %.1f |\n",
	    slope((double)s[0].tables.snapshot, (double)s[2].tables.snapshot,
		s[0].endpoints, s[2].endpoints),
	    slope((double)s[2].tables.snapshot, (double)s[4].tables.snapshot,
		s[2].tasks, s[4].tasks));
	printf("| tables, bytes | %.0f | %.1f |\n",
	    slope((double)s[0].tables.memory, (double)s[2].tables.memory,
		s[0].endpoints, s[2].endpoints),
	    slope((double)s[2].tables.memory, (double)s[4].tables.memory,
		s[2].tasks, s[4].tasks));
	printf("| leader, us per start (1 task) | %.3f | %.5f |\n",
	    slope(s[0].cost[START_1_TASK][LEADER].us,
		s[2].cost[START_1_TASK][LEADER].us, s[0].endpoints,
		s[2].endpoints),
	    slope(s[2].cost[START_1_TASK][LEADER].us,
		s[4].cost[START_1_TASK][LEADER].us, s[2].tasks, s[4].tasks));
	printf("| leader, us per idle second | %.2f | %.4f |\n",
	    slope(s[0].cost[IDLE][LEADER].us, s[2].cost[IDLE][LEADER].us,
		s[0].endpoints, s[2].endpoints),
	    slope(s[2].cost[IDLE][LEADER].us, s[4].cost[IDLE][LEADER].us,
		s[2].tasks, s[4].tasks));
	printf("| entry, us per idle second | %.2f | %.4f |\n",
	    slope(s[0].cost[IDLE][ENTRY].us, s[2].cost[IDLE][ENTRY].us,
		s[0].endpoints, s[2].endpoints),
	    slope(s[2].cost[IDLE][ENTRY].us, s[4].cost[IDLE][ENTRY].us,
		s[2].tasks, s[4].tasks));
}

static void
print_budget_row(const struct sample *s, int role, enum work start)
{
	double heartbeats = (double)s->endpoints / HEARTBEAT_S;
	double us = s->cost[IDLE][role].us +
		    s->cost[HEARTBEAT][role].us * heartbeats +
		    s->cost[start][role].us * PEAK_STARTS_PER_S;
	double bytes = s->cost[IDLE][role].bytes +
		       s->cost[HEARTBEAT][role].bytes * heartbeats +
		       s->cost[start][role].bytes * PEAK_STARTS_PER_S;
	double cpu = us / 1e4, kb = bytes / 1000;
	double mb = (double)s->memory[role] / 1e6;

	printf("| %s, %s | %.2f %% | %.0f %% | %.1f | %.1f x | %.1f |\n",
	    role_names[role],
	    start == START_1_TASK ? "jobs of 1 task" : "jobs of 64 tasks", cpu,
	    cpu / LIMIT_CPU_PERCENT * 100, kb, kb / LIMIT_KB_S, mb);
}

static void
print_budget(const struct sample *s)
{
	int role;

	printf("\nCores alone at %u endpoints, %u tasks, %d starts/s, a"
	       " heartbeat a second:\n\n",
	    s->endpoints, s->tasks, PEAK_STARTS_PER_S);
	printf("| process | of a core | of the limit | KB/s sent and received"
	       " | over the limit | heap MB |\n");
	printf("|---|---:|---:|---:|---:|---:|\n");
	for (role = 0; role < N_ROLES; role++) {
		print_budget_row(s, role, START_1_TASK);
		print_budget_row(s, role, START_64_TASKS);
	}
}

int
main(void)
{
	static struct sample samples[] = {{.endpoints = 48, .tasks = 1000},
	    {.endpoints = 240, .tasks = 1000},
	    {.endpoints = 960, .tasks = 1000},
	    {.endpoints = 960, .tasks = 5000},
	    {.endpoints = 960, .tasks = 22000}};
	guint n = G_N_ELEMENTS(samples), i;
	int work;

	for (i = 0; i < n; i++)
		measure_repeatedly(&samples[i]);
	for (work = 0; work < N_WORKS; work++)
		print_units(samples, n, work);
	print_tables(samples, n);
	print_slopes(samples);
	print_budget(&samples[n - 1]);
	return 0;
}
