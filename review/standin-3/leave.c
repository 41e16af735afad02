/*
 * A worker that drains announces its end while it is cut off one way: what it
 * sends still arrives, and nothing reaches it. It gets no ack, goes on for some
 * seconds and then ends. Shows whether its task is started elsewhere meanwhile.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* The worker has been known for longer than this before it drains, in ms. */
#define KNOWN_MS 17000

/* From the ack of the drain to the announcement of the end, in ms. */
#define DRAIN_MS 2600

/* From the announcement without an ack to the worker's end, in ms. */
#define GOES_ON_MS 3500

/* Run time of the task, in ms. */
#define TASK_MS 30000

#define JOB "00000000000000b1"

static const char manifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-q\",\"host\":\"jobs.example\","
    "\"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":1200,\"priority\":2,\"backend\":\"pool\","
    "\"max_attempts\":3,\"stretch\":2.2}],\"backends\":[{\"name\":\"pool\","
    "\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admission_check\":false,\"standby\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static int starts;
static bool twice;

static uint64_t
task_ms(const char *task)
{
	(void)task;
	return TASK_MS;
}

/* The new run is on the list already. */
static void
on_start(struct sim_worker *at, const struct sim_run *run)
{
	int i, k;

	starts++;
	for (i = 0; i < sim.workers; i++) {
		const struct sim_worker *w = &sim.worker[i];

		for (k = 0; w != at && w->up && k < w->n_runs; k++) {
			if (strcmp(w->runs[k].task, run->task) != 0)
				continue;
			twice = true;
			sim_record("TWICE: %s run %u starts at %s while run %u "
				   "is at work at %s, which is up",
			    run->task, run->number, at->id, w->runs[k].number,
			    w->id);
		}
	}
}

/* The worker goes on reporting, now as draining, until it ends. */
static bool
drain(struct sim_worker *w)
{
	int i;

	pthread_mutex_lock(&sim.lock);
	w->draining = true;
	pthread_mutex_unlock(&sim.lock);
	for (i = 0; i < 5; i++) {
		if (sim_beat(w)) {
			sim_record("%s: draining is acknowledged", w->id);
			return true;
		}
	}
	return false;
}

static void
leave(struct sim_worker *w)
{
	int status;

	if (!sim.trouble) {
		status = sim_announce_end(w);
		sim_record("%s announces its end, gets %d", w->id, status);
		sim_end_worker(w, "ends");
		return;
	}
	sim_record("%s is cut off one way: nothing reaches it", w->id);
	w->deaf = true;
	status = sim_announce_end(w);
	sim_record("%s announces its end; the ack (%d) is lost in the cut",
	    w->id, status);
	sim_sleep(GOES_ON_MS);
	sim_end_worker(w, "got no ack and ends anyway");
}

int
main(int argc, char **argv)
{
	struct sim_worker *w;
	int i;

	if (argc != 4)
		return 2;
	sim.base = atoi(argv[1]);
	sim.trouble = strcmp(argv[2], "0") != 0;
	sim.cells = 3;
	sim.workers = 7;
	sim.task_ms = task_ms;
	sim.on_start = on_start;
	sim_start(argv[3]);
	if (!sim_manifest(manifest, 50))
		return 2;
	sim_sleep(KNOWN_MS);
	if (sim_submit("/q/" JOB,
		"{\"task_spec\":\"press\",\"steps\":[{\"count\":1,\"cpu\":4000,"
		"\"mem_mb\":512,\"estimate_ms\":30000}]}") != 200)
		return 2;
	for (i = 0; i < 50 && sim_find(JOB, NULL) == NULL; i++)
		sim_sleep(100);
	w = sim_find(JOB, NULL);
	if (w == NULL || !drain(w))
		return 2;
	sim_sleep(DRAIN_MS);
	leave(w);
	/* The task has to run elsewhere once the worker has ended. */
	for (i = 0; i < 200 && sim_find(JOB, NULL) == NULL; i++)
		sim_sleep(100);
	sim_record("starts of the task: %d; two runs at a time: %s", starts,
	    twice ? "yes" : "no");
	if (!twice && starts < 2)
		return 2;
	return twice ? 1 : 0;
}
