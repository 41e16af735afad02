/*
 * A worker is lost for good while the provider's list has one entry of another
 * writer. Shows how long the lasting task that ran there has no run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* Longest lease, in ms: hold_max_ms of strikeline-qld. */
#define HOLD_MAX_MS 10000

/*
 * The task must run at some time from LAST_RUN_MS to LAST_RUN_MS + IDLE_MS
 * after its last run; the CALM_MS before that are calm, too.
 */
#define LAST_RUN_MS 6000
#define IDLE_MS     3000

/* Time for which the task is watched after the loss, in ms. */
#define WATCH_MS 16000

#define JOB "00000000000000b1"

static const char manifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-q\",\"host\":\"jobs.example\","
    "\"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":2500,\"priority\":1,\"backend\":\"pool\","
    "\"max_attempts\":2,\"stretch\":2.2}],\"backends\":[{\"name\":\"pool\","
    "\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admission_check\":false,\"standby\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static uint64_t
task_ms(const char *task)
{
	(void)task;
	return SIM_NEVER;
}

int
main(int argc, char **argv)
{
	struct sim_worker *w = NULL;
	uint64_t lost_at, runs_at = 0;
	bool in_time = false;
	int i;

	if (argc != 5)
		return 2;
	sim.base = atoi(argv[1]);
	sim.trouble = strcmp(argv[2], "0") != 0;
	sim.cells = 3;
	sim.workers = 7;
	sim.hold_max_ms = HOLD_MAX_MS;
	sim.task_ms = task_ms;
	sim.odd_entry = sim.trouble && strcmp(argv[4], "odd") == 0;
	sim_start(argv[3]);
	if (!sim_manifest(manifest, 50))
		return 2;
	sim_sleep(3000);
	if (sim_submit("/q/" JOB,
		"{\"task_spec\":\"watch\",\"steps\":[{\"count\":1,\"cpu\":2000,"
		"\"mem_mb\":512,\"long_running\":true}]}") != 200)
		return 2;
	for (i = 0; i < 50 && w == NULL; i++) {
		sim_sleep(100);
		w = sim_find(JOB, NULL);
	}
	sim_sleep(8000);
	w = sim_find(JOB, NULL);
	if (w == NULL)
		return 2;
	lost_at = sim_now();
	if (sim.trouble)
		sim_end_worker(w, "crashes and is lost for good");
	while (sim_now() < lost_at + WATCH_MS) {
		uint64_t ago = sim_now() - lost_at;

		if (sim_find(JOB, NULL) != NULL) {
			if (runs_at == 0 && sim.trouble) {
				runs_at = ago;
				sim_record("it runs again %llu ms after its "
					   "last run",
				    (unsigned long long)ago);
			}
			in_time |=
			    ago >= LAST_RUN_MS && ago < LAST_RUN_MS + IDLE_MS;
		}
		sim_sleep(10);
	}
	sim_record("a run of the task from %d to %d ms after its last run: %s",
	    LAST_RUN_MS, LAST_RUN_MS + IDLE_MS, in_time ? "yes" : "no");
	return in_time ? 0 : 1;
}
