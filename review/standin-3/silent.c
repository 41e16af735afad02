/*
 * All open channels between the machines go silent at one moment, new ones
 * work. Shows whether a client is answered again at the edge.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy.h"
#include "sim.h"

/* From the silence until answers are demanded, in ms: finish_s of anar-rota. */
#define FINISH_MS 14000

/* Time for which a client then asks, in ms. */
#define ASK_MS 45000

#define JOB "00000000000000b1"

static const char manifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-q\",\"host\":\"jobs.example\","
    "\"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":250,\"priority\":0,\"backend\":\"pool\","
    "\"max_attempts\":3,\"stretch\":1.5}],\"backends\":[{\"name\":\"pool\","
    "\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admission_check\":false,\"standby\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static uint64_t
task_ms(const char *task)
{
	(void)task;
	return 1000;
}

/* Counts the states told within the time; asks every half second. */
static int
ask(uint64_t for_ms)
{
	uint64_t end = sim_now() + for_ms;
	char state[32];
	int told = 0;

	while (sim_now() < end) {
		sim_state("/q/" JOB, state, sizeof(state));
		told += state[0] != '\0';
		sim_sleep(500);
	}
	return told;
}

int
main(int argc, char **argv)
{
	char from[32], to[32];
	int i, before, after;

	if (argc != 4)
		return 2;
	sim.base = atoi(argv[1]);
	sim.trouble = strcmp(argv[2], "0") != 0;
	sim.cells = 3;
	sim.workers = 7;
	sim.task_ms = task_ms;
	for (i = 0; i < sim.cells; i++) {
		snprintf(from, sizeof(from), "127.0.0.%d:%d", 10 + i, sim.base);
		snprintf(to, sizeof(to), "127.0.0.%d:%d", 10 + i, sim.base + 5);
		proxy_start(from, to);
	}
	sim_start(argv[3]);
	if (!sim_manifest(manifest, 100))
		return 2;
	sim_sleep(3000);
	if (sim_submit("/q/" JOB,
		"{\"task_spec\":\"press\",\"steps\":[{\"count\":2,\"cpu\":2500,"
		"\"mem_mb\":512,\"estimate_ms\":1000}]}") != 200)
		return 2;
	before = ask(5000);
	if (before == 0)
		return 2;
	if (sim.trouble)
		sim_record("%d open channels between machines go silent",
		    proxy_silence());
	sim_sleep(FINISH_MS);
	after = ask(ASK_MS);
	sim_record("told before: %d times; told from %d s after the silence "
		   "on, for %d s: %d times",
	    before, FINISH_MS / 1000, ASK_MS / 1000, after);
	return after == 0 ? 1 : 0;
}
