#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "msg.h"
#include "raft.h"
#include "state.h"

/*
 * Saves and restores the state tables with a given number of running tasks
 * (the argument, 1000 by default) and prints the size and the CPU time.
 * `valgrind --tool=callgrind --toggle-collect=gyp_state_save` counts the
 * instructions of saving only.
 */

#define TASKS_PER_JOB 2
#define ENDPOINTS     960
#define PAYLOAD_BYTES 200

static void
apply(struct gyp_state *s, Gyp__Cmd *cmd)
{
	Gyp__Batch batch = GYP__BATCH__INIT;

	batch.time_ms = gyp_state_time(s) + 1;
	batch.n_cmds = 1;
	batch.cmds = &cmd;
	gyp_state_apply(s, &batch);
}

static void
add_endpoint(struct gyp_state *s, int nth)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res cap = GYP__RES__INIT;
	char name[32];

	snprintf(name, sizeof(name), "vm-%04d", nth);
	cap.cpu_milli = 1000000;
	cap.memory = 1ULL << 40;
	cap.slots = 10000;
	ep.name = name;
	ep.address = "10.0.0.1:8080";
	ep.rack = "rack-7";
	ep.data_centre = "rajkot";
	ep.capacity = &cap;
	ep.connections = 64;
	ep.incarnation = (uint64_t)nth + 1;
	cmd.c_case = GYP__CMD__C_ENDPOINT;
	cmd.endpoint = &ep;
	apply(s, &cmd);
}

static void
submit(struct gyp_state *s, const char *key)
{
	static uint8_t payload[PAYLOAD_BYTES];
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdSubmit sub = GYP__CMD_SUBMIT__INIT;
	Gyp__JobSpec spec = GYP__JOB_SPEC__INIT;
	Gyp__Res size = GYP__RES__INIT;

	size.cpu_milli = 500;
	size.memory = 1 << 28;
	size.slots = 1;
	spec.kind = GYP__KIND__KIND_BATCH;
	spec.team = "press";
	spec.class_ = "juicing";
	spec.key = (char *)key;
	spec.tasks = TASKS_PER_JOB;
	spec.size = &size;
	spec.payload.data = payload;
	spec.payload.len = sizeof(payload);
	sub.spec = &spec;
	cmd.c_case = GYP__CMD__C_SUBMIT;
	cmd.submit = &sub;
	apply(s, &cmd);
}

static void
place(struct gyp_state *s, uint64_t job, uint32_t task, uint64_t endpoint)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdPlace pl = GYP__CMD_PLACE__INIT;
	Gyp__Placement p = GYP__PLACEMENT__INIT;
	Gyp__Placement *list[] = {&p};

	p.job = job;
	p.task = task;
	p.attempt = 1;
	p.endpoint = endpoint;
	p.entry = 7;
	pl.n_places = 1;
	pl.places = list;
	cmd.c_case = GYP__CMD__C_PLACE;
	cmd.place = &pl;
	apply(s, &cmd);
}

static struct gyp_state *
make_state(int tasks)
{
	struct gyp_state *s = gyp_state_new(NULL);
	uint64_t endpoints[ENDPOINTS];
	int i, k;

	for (i = 0; i < ENDPOINTS; i++) {
		char name[32];

		add_endpoint(s, i);
		snprintf(name, sizeof(name), "vm-%04d", i);
		endpoints[i] = gyp_state_endpoint_by_name(s, name)->id;
	}
	for (i = 0; i < tasks / TASKS_PER_JOB; i++) {
		char key[32];
		const struct gyp_job *job;

		snprintf(key, sizeof(key), "key-%08d", i);
		submit(s, key);
		job = gyp_state_job_by_key(s, "press", key);
		for (k = 0; k < TASKS_PER_JOB; k++)
			place(s, job->id, (uint32_t)k,
			    endpoints[(i + k) % ENDPOINTS]);
	}
	return s;
}

static double
cpu_ms(void)
{
	return (double)clock() * 1000 / CLOCKS_PER_SEC;
}

int
main(int argc, char **argv)
{
	int tasks = argc > 1 ? (int)strtol(argv[1], NULL, 10) : 1000;
	struct gyp_state *s = make_state(tasks), *copy = gyp_state_new(NULL);
	double before = cpu_ms(), saved;
	GBytes *bytes = gyp_state_save(s);
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);

	saved = cpu_ms();
	if (!gyp_state_restore(copy, data, len))
		return EXIT_FAILURE;
	printf("tasks=%d bytes=%zu save_ms=%.1f restore_ms=%.1f\n", tasks, len,
	    saved - before, cpu_ms() - saved);
	g_bytes_unref(bytes);
	gyp_state_free(copy);
	gyp_state_free(s);
	return EXIT_SUCCESS;
}
