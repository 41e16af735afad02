#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <jansson.h>

#include "msg.h"
#include "pf_manifest.h"
#include "state.h"

/*
 * Prints the CPU time of each step that a large manifest passes through, for
 * manifests of the numbers of routes given as arguments.
 */

#define FOLLOWERS  8
#define ROUNDS     5
#define PART_BYTES (64 * 1024)

static double
cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static char *
make_manifest(int routes, unsigned version)
{
	GString *s = g_string_new(NULL);
	int i;

	g_string_printf(s, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < routes; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"r-%06d\",\"host\":\"nony%02d.example\","
		    "\"path_prefix\":\"/lohu%06d/\",\"kind\":"
		    "\"non_idempotent\",\"timeout_ms\":3000,"
		    "\"target_latency_ms\":250,\"priority\":0,\"backend\":"
		    "\"huvo11a\",\"max_attempts\":3,\"stretch\":1.5,"
		    "\"advice\":{\"decision_ms\":23.0,\"per_worker_ms\":0.32,"
		    "\"valid_ms\":2000}}",
		    i > 0 ? "," : "", i, i % 40, i);
	g_string_append(s, "],\"backends\":[{\"name\":\"huvo11a\","
			   "\"health_path\":\"/health\"}]}");
	return g_string_free(s, FALSE);
}

static Gyp__CmdManifest *
read_manifest(const char *text, size_t len, size_t part)
{
	GBytes *bytes = g_bytes_new_static(text, len);
	struct gyp_pf_manifest_reader *r = gyp_pf_manifest_reader_new(bytes);
	Gyp__CmdManifest *m;

	while (gyp_pf_manifest_reader_step(r, part) == GYP_PF_READING_MORE)
		continue;
	m = gyp_pf_manifest_reader_take(r);
	g_assert(m != NULL);
	gyp_pf_manifest_reader_free(r);
	g_bytes_unref(bytes);
	return m;
}

static void
report(const char *step, double start, int rounds)
{
	printf("  %-34s %8.2f ms\n", step, (cpu_ms() - start) / rounds);
}

static void
measure_decoding(const char *text, size_t len)
{
	double start = cpu_ms();
	int i;

	for (i = 0; i < ROUNDS; i++)
		json_decref(json_loadb(text, len, 0, NULL));
	report("JSON library alone", start, ROUNDS);
	start = cpu_ms();
	for (i = 0; i < ROUNDS; i++)
		gyp_message_free(read_manifest(text, len, PART_BYTES));
	report("read and check, in parts", start, ROUNDS);
}

static GBytes *
measure_proposal(Gyp__CmdManifest *m)
{
	Gyp__Cmd cmd = GYP__CMD__INIT, *cmds[] = {&cmd};
	Gyp__Batch batch = GYP__BATCH__INIT;
	GBytes *data = NULL;
	double start;
	int i;

	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = m;
	batch.n_cmds = 1;
	batch.cmds = cmds;
	start = cpu_ms();
	for (i = 0; i < ROUNDS; i++) {
		if (data != NULL)
			g_bytes_unref(data);
		data = gyp_message_pack(&batch.base);
	}
	report("pack the batch", start, ROUNDS);
	return data;
}

static void
measure_frames(GBytes *data)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__RaftMsg raft = GYP__RAFT_MSG__INIT;
	Gyp__LogEntry entry = GYP__LOG_ENTRY__INIT, *entries[] = {&entry};
	GBytes *packed = NULL;
	const uint8_t *bytes;
	double start = cpu_ms();
	gsize len;
	int i;

	entry.data.data = (uint8_t *)g_bytes_get_data(data, &entry.data.len);
	raft.n_entries = 1;
	raft.entries = entries;
	frame.body_case = GYP__FRAME__BODY_RAFT;
	frame.raft = &raft;
	for (i = 0; i < ROUNDS * FOLLOWERS; i++) {
		if (packed != NULL)
			g_bytes_unref(packed);
		packed = gyp_message_pack(&frame.base);
	}
	report("pack the frames of 8 followers", start, ROUNDS);
	bytes = g_bytes_get_data(packed, &len);
	start = cpu_ms();
	for (i = 0; i < ROUNDS; i++)
		gyp_message_free(gyp__frame__unpack(NULL, len, bytes));
	report("unpack one frame", start, ROUNDS);
	g_bytes_unref(packed);
}

static void
measure_tables(GBytes *data)
{
	struct gyp_state *s = gyp_state_new(NULL);
	gsize len;
	const uint8_t *bytes = g_bytes_get_data(data, &len);
	double start = cpu_ms();
	Gyp__Batch *batch;
	int i;

	for (i = 0; i < ROUNDS; i++) {
		batch = gyp__batch__unpack(NULL, len, bytes);
		batch->cmds[0]->manifest->version += (uint64_t)i;
		gyp_state_take(s, batch);
	}
	report("unpack the batch and apply it", start, ROUNDS);
	start = cpu_ms();
	for (i = 0; i < ROUNDS; i++)
		g_bytes_unref(gyp_state_save(s));
	report("save the tables", start, ROUNDS);
	gyp_state_free(s);
}

static void
measure(int routes)
{
	char *text = make_manifest(routes, 7);
	size_t len = strlen(text);
	Gyp__CmdManifest *m;
	GBytes *data;

	printf("%d routes, %zu bytes\n", routes, len);
	measure_decoding(text, len);
	m = read_manifest(text, len, PART_BYTES);
	data = measure_proposal(m);
	printf("  batch of %zu bytes\n", g_bytes_get_size(data));
	measure_frames(data);
	measure_tables(data);
	g_bytes_unref(data);
	gyp_message_free(m);
	g_free(text);
}

int
main(int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++)
		measure(atoi(argv[i]));
	return EXIT_SUCCESS;
}
