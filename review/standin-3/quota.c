/*
 * A tenant has lasting tasks, a gang that waits for its cap, and small jobs.
 * The operator lowers the cap a little, so that the gang can't start beside the
 * lasting tasks any more. Shows whether the small jobs, which have room under
 * the cap, still run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* From the gang's acceptance until the small jobs come, in ms. */
#define WAIT_MS 26000

/* From the small jobs' acceptance until their end is demanded: finish_s. */
#define FINISH_MS 14000

/* For this long after that they are watched, in ms; the rule allows 3 s. */
#define WATCH_MS 15000

#define SMALL_JOBS 5
#define SMALL_MS   500

#define LASTING "00000000000000a1"
#define GANG    "00000000000000a2"
#define EARLY   "00000000000000c1"

/* The cap is 60 cores at first. */
static const char manifest[] =
    "{\"version\":%d,\"routes\":[{\"name\":\"r-q\",\"host\":\"jobs.example\","
    "\"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":250,\"priority\":0,\"backend\":\"pool\","
    "\"max_attempts\":3,\"stretch\":1.5,\"public\":false}],\"backends\":[{"
    "\"name\":\"pool\",\"health_path\":\"/health\",\"max_connections\":64,"
    "\"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,"
    "\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"kaje80\","
    "\"api_keys\":[\"gkcuyj8pjbvk9m68k7b2\"],\"priority\":1,\"weight\":24,"
    "\"cap\":{\"cpu\":%d,\"mem_mb\":400000,\"gpu\":0}}]}";

static uint64_t
task_ms(const char *task)
{
	if (strncmp(task, LASTING, strlen(LASTING)) == 0)
		return SIM_NEVER;
	return strncmp(task, GANG, strlen(GANG)) == 0 ? 5000 : SMALL_MS;
}

static bool
set_cap(int version, int cpu)
{
	char text[2048];

	snprintf(text, sizeof(text), manifest, version, cpu);
	sim_record(
	    "manifest %d: the tenant's cap is %d cores", version, cpu / 1000);
	return sim_manifest(text, 50);
}

static int
submit_small(const char *id)
{
	char path[64];

	snprintf(path, sizeof(path), "/q/%s", id);
	return sim_submit(path,
	    "{\"task_spec\":\"sign\",\"steps\":[{\"count\":1,\"cpu\":1000,"
	    "\"mem_mb\":100,\"estimate_ms\":500}]}");
}

/* Number of the small jobs that are shown as completed. */
static int
count_completed(void)
{
	int i, n = 0;

	for (i = 0; i < SMALL_JOBS; i++) {
		char path[64], state[32];

		snprintf(path, sizeof(path), "/q/00000000000000d%d", i);
		sim_state(path, state, sizeof(state));
		n += strcmp(state, "completed") == 0;
	}
	return n;
}

int
main(int argc, char **argv)
{
	uint64_t end;
	char state[32], id[32];
	int i, before, after;

	if (argc != 4)
		return 2;
	sim.base = atoi(argv[1]);
	sim.trouble = strcmp(argv[2], "0") != 0;
	sim.cells = 3;
	sim.workers = 7;
	sim.task_ms = task_ms;
	sim.key = "gkcuyj8pjbvk9m68k7b2";
	sim_start(argv[3]);
	if (!set_cap(1, 60000))
		return 2;
	sim_sleep(3000);
	if (sim_submit("/q/" LASTING,
		"{\"task_spec\":\"watch\",\"steps\":[{\"count\":4,\"cpu\":5000,"
		"\"mem_mb\":512,\"long_running\":true}]}") != 200)
		return 2;
	for (i = 0; i < 50 && sim_count(LASTING) < 4; i++)
		sim_sleep(100);
	if (sim_count(LASTING) != 4 || (sim.trouble && !set_cap(2, 50000)))
		return 2;
	sim_sleep(3000);
	if (submit_small(EARLY) != 200 ||
	    sim_submit("/q/" GANG,
		"{\"task_spec\":\"bundle\",\"steps\":[{\"count\":5,\"cpu\":"
		"8000,"
		"\"mem_mb\":512,\"estimate_ms\":500,\"gang\":true}]}") != 200)
		return 2;
	sim_sleep(WAIT_MS);
	sim_state("/q/" EARLY, state, sizeof(state));
	if (strcmp(state, "completed") != 0)
		return 2;
	for (i = 0; i < SMALL_JOBS; i++) {
		snprintf(id, sizeof(id), "00000000000000d%d", i);
		if (submit_small(id) != 200)
			return 2;
	}
	sim_sleep(FINISH_MS);
	before = count_completed();
	end = sim_now() + WATCH_MS;
	while (sim_now() < end && sim_count("00000000000000d") == 0)
		sim_sleep(20);
	after = count_completed();
	sim_state("/q/" GANG, state, sizeof(state));
	sim_record("%d small jobs accepted; completed after %d s: %d; %d s "
		   "later: %d; the lasting tasks use 20 cores, the workers "
		   "have 224",
	    SMALL_JOBS, FINISH_MS / 1000, before, WATCH_MS / 1000, after);
	return after == 0 ? 1 : 0;
}
