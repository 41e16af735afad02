/*
 * Tasks that fill and tasks that serve, on a service whose workers are nearly
 * idle. A worker is lost for good; shows whether the task that ran there runs
 * again. Variant "serve": the lost task lasts and serves, and fillers that last
 * are on all other workers. Variant "fill": the lost task fills, and tasks that
 * serve are on all other workers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* Time for which the task is watched after the loss, in ms. */
#define WATCH_MS 35000

/* Longest time without a run that the rule allows within it, in ms. */
#define LAST_RUN_MS 6000
#define IDLE_MS     3000
#define CALM_MS     4000

/* Run time of the filling batch task, in ms. */
#define FILL_MS 60000

#define OTHERS "00000000000000a1"
#define JOB    "00000000000000b1"

static const char manifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-q\",\"host\":\"jobs.example\","
    "\"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":2500,\"priority\":1,\"backend\":\"pool\","
    "\"max_attempts\":3,\"stretch\":2.2}],\"backends\":[{\"name\":\"pool\","
    "\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admission_check\":false,\"standby\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* Tasks that fill at most one to a worker, on all workers but one. */
static const char lasting_fillers[] =
    "{\"task_spec\":\"fill\",\"steps\":[{\"count\":6,\"cpu\":8000,"
    "\"mem_mb\":512,\"long_running\":true,\"fills\":true,\"anti_affinity\":1,"
    "\"image\":\"filler\"}]}";
static const char serving_task[] =
    "{\"task_spec\":\"serve\",\"steps\":[{\"count\":1,\"cpu\":2000,"
    "\"mem_mb\":512,\"long_running\":true,\"target_ms\":200,"
    "\"image\":\"watch\"}]}";

static const char lasting_servers[] =
    "{\"task_spec\":\"serve\",\"steps\":[{\"count\":6,\"cpu\":2000,"
    "\"mem_mb\":512,\"long_running\":true,\"target_ms\":200,"
    "\"anti_affinity\":1,\"image\":\"watch\"}]}";
static const char filling_task[] =
    "{\"task_spec\":\"fill\",\"steps\":[{\"count\":1,\"cpu\":8000,"
    "\"mem_mb\":512,\"estimate_ms\":60000,\"fills\":true,"
    "\"image\":\"filler\"}]}";

static bool serve_variant;

static uint64_t
task_ms(const char *task)
{
	bool job = strncmp(task, JOB, strlen(JOB)) == 0;

	return job && !serve_variant ? FILL_MS : SIM_NEVER;
}

static bool
wait_for(const char *job, int tasks)
{
	int i;

	for (i = 0; i < 100; i++) {
		if (sim_count(job) == tasks)
			return true;
		sim_sleep(100);
	}
	sim_record("%d of %d tasks of %s run", sim_count(job), tasks, job);
	return false;
}

/*
 * Watches the task. Returns the longest time without a run that began
 * LAST_RUN_MS after the loss or later and CALM_MS into calm, in ms.
 */
static uint64_t
watch(uint64_t lost_at)
{
	uint64_t from = lost_at + LAST_RUN_MS + CALM_MS;
	uint64_t end = lost_at + WATCH_MS, idle_since = 0, longest = 0;
	bool was = true;

	while (sim_now() < end) {
		bool runs = sim_find(JOB, NULL) != NULL;
		uint64_t now = sim_now();

		if (runs != was)
			sim_record("the task of %s %s", JOB,
			    runs ? "runs" : "has no run");
		was = runs;
		if (runs || now < from)
			idle_since = now;
		if (now > from && now - idle_since > longest)
			longest = now - idle_since;
		sim_sleep(50);
	}
	return longest;
}

int
main(int argc, char **argv)
{
	struct sim_worker *w;
	uint64_t lost_at, longest;
	char state[32];

	if (argc != 5)
		return 2;
	sim.base = atoi(argv[1]);
	sim.trouble = strcmp(argv[2], "0") != 0;
	serve_variant = strcmp(argv[4], "serve") == 0;
	sim.cells = 3;
	sim.workers = 7;
	sim.task_ms = task_ms;
	sim_start(argv[3]);
	if (!sim_manifest(manifest, 50))
		return 2;
	sim_sleep(3000);
	if (sim_submit("/q/" OTHERS,
		serve_variant ? lasting_fillers : lasting_servers) != 200 ||
	    !wait_for(OTHERS, 6))
		return 2;
	if (sim_submit("/q/" JOB,
		serve_variant ? serving_task : filling_task) != 200 ||
	    !wait_for(JOB, 1))
		return 2;
	sim_sleep(5000);
	w = sim_find(JOB, NULL);
	if (w == NULL)
		return 2;
	lost_at = sim_now();
	if (sim.trouble)
		sim_end_worker(w, "crashes and is lost for good");
	longest = watch(lost_at);
	sim_state("/q/" JOB, state, sizeof(state));
	sim_record("six workers of 32 cores are up and sound; the other job's "
		   "tasks run: %d",
	    sim_count(OTHERS));
	sim_record("longest time without a run, 10 s after the loss or later: "
		   "%llu ms; allowed: %d ms",
	    (unsigned long long)longest, IDLE_MS);
	return longest > IDLE_MS ? 1 : 0;
}
