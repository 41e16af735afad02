#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "headroom.h"
#include "replay.h"

/*
 * Replays a trace and prints a summary. Exit codes: 0 done, 64 usage error,
 * 65 a trace or rules file is unreadable or invalid.
 */

#define EXIT_USAGE 64
#define EXIT_DATA  65

/* Default limit of the virtual time after the last event, in ms. */
#define DEFAULT_FINISH_MS 3600000

static char *policy_name = "weighted";
static char *rules_file;
static char *search_name = "index";
static gboolean outcomes;
static gboolean counters;
static gint64 finish_ms = DEFAULT_FINISH_MS;
static gint seed = 1;

static const GOptionEntry options[] = {
    {"policy", 'p', 0, G_OPTION_ARG_STRING, &policy_name,
	"weighted, first-fit, random, least-loaded or best-fit", "NAME"},
    {"rules", 'r', 0, G_OPTION_ARG_FILENAME, &rules_file, "rules file to use",
	"FILE"},
    {"search", 's', 0, G_OPTION_ARG_STRING, &search_name,
	"index, linear or sample", "HOW"},
    {"outcomes", 'o', 0, G_OPTION_ARG_NONE, &outcomes,
	"print a line for each job", NULL},
    {"counters", 'c', 0, G_OPTION_ARG_NONE, &counters,
	"print the policy's counters", NULL},
    {"finish-ms", 'f', 0, G_OPTION_ARG_INT64, &finish_ms,
	"continue for this long after the last event", "MS"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of random choices", "N"},
    {.long_name = NULL}};

static bool
set_search(struct gyp_policy *p, const char *name)
{
	static const char *const names[] = {"index", "linear", "sample"};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], name) == 0) {
			gyp_policy_set_search(p, (enum gyp_search)i);
			return true;
		}
	}
	return false;
}

static struct gyp_rules *
read_rules(const char *file)
{
	struct gyp_error err = {.code = GYP_OK};
	struct gyp_slice text;
	struct gyp_rules *rules;
	char *data;
	gsize len;

	if (!g_file_get_contents(file, &data, &len, NULL)) {
		fprintf(stderr, "gyp-replay: %s can't be read\n", file);
		return NULL;
	}
	text.data = (const uint8_t *)data;
	text.len = len;
	rules = gyp_rules_parse(file, text, &err);
	if (rules == NULL)
		fprintf(stderr, "gyp-replay: %s\n", err.message);
	g_free(data);
	return rules;
}

static bool
replay_file(struct gyp_replay *r, const char *name)
{
	FILE *file = strcmp(name, "-") == 0 ? stdin : fopen(name, "r");
	char *line = NULL;
	size_t size = 0, number = 0;
	bool ok = true;

	if (file == NULL) {
		fprintf(stderr, "gyp-replay: %s can't be read\n", name);
		return false;
	}
	while (ok && getline(&line, &size, file) > 0) {
		struct gyp_trace_event e;
		struct gyp_error err = {.code = GYP_OK};

		number++;
		if (gyp_trace_parse(line, &e, &err)) {
			gyp_replay_event(r, &e);
		} else if (err.code != GYP_OK) {
			fprintf(stderr, "gyp-replay: %s:%zu: %s\n", name,
			    number, err.message);
			ok = false;
		}
	}
	free(line);
	if (file != stdin)
		fclose(file);
	return ok;
}

static int
run(const struct gyp_policy_ops *ops, const char *trace)
{
	struct gyp_replay *r = gyp_replay_new(ops, (uint32_t)seed);
	struct gyp_rules *rules = NULL;
	int code = EXIT_SUCCESS;

	if (!set_search(gyp_replay_policy(r), search_name))
		code = EXIT_USAGE;
	if (code == EXIT_SUCCESS && rules_file != NULL) {
		rules = read_rules(rules_file);
		if (rules == NULL)
			code = EXIT_DATA;
		else
			gyp_policy_set_rules(gyp_replay_policy(r), rules);
	}
	if (code == EXIT_SUCCESS && !replay_file(r, trace))
		code = EXIT_DATA;
	if (code == EXIT_SUCCESS) {
		gyp_replay_finish(r, (uint64_t)finish_ms);
		if (outcomes)
			gyp_replay_print_outcomes(r, stdout);
		gyp_replay_print_summary(r, stdout);
	}
	if (code == EXIT_SUCCESS && counters) {
		const struct gyp_policy_counters *c =
		    gyp_policy_counters(gyp_replay_policy(r));

		const struct gyp_headroom *h =
		    gyp_policy_headroom(gyp_replay_policy(r));

		printf("urgent in_time=%" G_GUINT64_FORMAT
		       " late=%" G_GUINT64_FORMAT " headroom=%.3f\n",
		    h->in_time, h->late, h->share);
		printf("rounds=%" G_GUINT64_FORMAT " placed=%" G_GUINT64_FORMAT
		       " looked_at=%" G_GUINT64_FORMAT
		       " quarantined=%" G_GUINT64_FORMAT "\n",
		    c->rounds, c->placed, c->endpoints_examined,
		    c->quarantined);
	}
	gyp_replay_free(r);
	gyp_rules_free(rules);
	return code;
}

int
main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new("TRACE");
	const struct gyp_policy_ops *ops;
	GError *error = NULL;
	int code = EXIT_USAGE;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "gyp-replay: %s\n", error->message);
		g_error_free(error);
	} else if (argc != 2) {
		fprintf(stderr, "gyp-replay: expected one trace; see --help\n");
	} else {
		ops = gyp_policy_by_name(policy_name);
		if (ops != NULL)
			code = run(ops, argv[1]);
		else
			fprintf(stderr, "gyp-replay: unknown policy %s\n",
			    policy_name);
	}
	g_option_context_free(ctx);
	return code;
}
