#include <locale.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "burn.h"
#include "ctl.h"
#include "program.h"
#include "rules.h"

/* Retention of samples, in s: a day longer than the longest window. */
#define RETENTION_S (4ULL * 24 * 3600)

/* Default target of objectives that come from rules, in percent. */
#define DEFAULT_TARGET "99"

/*
 * Burn rate that pages if both the 1 h and the 5 min window exceed it. An hour
 * at 7.2 spends a tenth of the budget of three days.
 */
#define PAGE_RATE 7.2

#define DEFAULT_TIMEOUT_S 10

static const struct {
	const char *name;
	uint64_t seconds;
} windows[] = {
    {"5m", 300}, {"1h", 3600}, {"6h", 6 * 3600}, {"3d", 3ULL * 24 * 3600}};

#define WINDOWS G_N_ELEMENTS(windows)

struct options {
	char **sources;
	char **objectives;
	char *samples;
	char *rules;
	char *target;
	char *format;
	gint64 at;
	int pause_s;
	int timeout_s;
	gboolean version;
};

/* ---- Reading ----------------------------------------------------------- */

static char *
fetch_metrics(const struct options *o, char *source)
{
	char *entries[] = {source, NULL};
	struct gyp_ctl ctl = {.entries = entries, .timeout_s = o->timeout_s};
	struct gyp_ctl_request req = {.method = "GET", .path = "/metrics"};
	unsigned status;
	char *body = gyp_ctl_send(&ctl, &req, &status);

	if (body != NULL && status != 200) {
		fprintf(
		    stderr, "gyp-burn: %s: HTTP status %u\n", source, status);
		g_clear_pointer(&body, g_free);
	}
	return body;
}

/* Appends a sample for each line of the two metrics that objectives use. */
static void
append_samples(
    GString *out, guint64 time_s, const char *source, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	size_t i;

	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], "gyp_requests_total{") ||
		    g_str_has_prefix(lines[i], "gyp_wait_seconds_bucket{"))
			g_string_append_printf(out,
			    "%" G_GUINT64_FORMAT " %s %s\n", time_s, source,
			    lines[i]);
	}
	/* Records that the source was read even if it has no counters yet. */
	g_string_append_printf(
	    out, "%" G_GUINT64_FORMAT " %s gyp_read 1\n", time_s, source);
	g_strfreev(lines);
}

/* Reads all sources once; returns false if none answered. */
static bool
read_sources(const struct options *o, GString *out)
{
	guint64 now = (guint64)g_get_real_time() / G_USEC_PER_SEC;
	bool any = false;
	size_t i;

	for (i = 0; o->sources != NULL && o->sources[i] != NULL; i++) {
		char *text = fetch_metrics(o, o->sources[i]);

		if (text == NULL)
			continue;
		append_samples(out, now, o->sources[i], text);
		g_free(text);
		any = true;
	}
	return any;
}

/* ---- Samples ----------------------------------------------------------- */

static bool
add_lines(struct gyp_burn *burn, const char *name, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	struct gyp_error err = {.code = GYP_OK};
	bool ok = true;
	size_t i;

	for (i = 0; lines[i] != NULL && ok; i++) {
		ok = lines[i][0] == '\0' ||
		     gyp_burn_add_sample(burn, lines[i], &err) == GYP_OK;
		if (!ok)
			fprintf(
			    stderr, "%s:%zu: %s\n", name, i + 1, err.message);
	}
	g_strfreev(lines);
	return ok;
}

static guint64
line_time(const char *line)
{
	return g_ascii_strtoull(line, NULL, 10);
}

/* Skips the lines that are too old for every window. */
static const char *
skip_expired(const char *text, guint64 now)
{
	while (*text != '\0' && line_time(text) + RETENTION_S < now) {
		const char *end = strchr(text, '\n');

		text = end != NULL ? end + 1 : text + strlen(text);
	}
	return text;
}

static int
record(const struct options *o)
{
	GString *new_lines = g_string_new(NULL);
	GError *error = NULL;
	char *old = NULL;
	char *all;
	bool ok;

	if (!read_sources(o, new_lines)) {
		g_string_free(new_lines, TRUE);
		return GYP_CTL_UNAVAILABLE;
	}
	if (g_file_test(o->samples, G_FILE_TEST_EXISTS) &&
	    !g_file_get_contents(o->samples, &old, NULL, &error)) {
		fprintf(stderr, "gyp-burn: %s\n", error->message);
		g_error_free(error);
		g_string_free(new_lines, TRUE);
		return GYP_CTL_NO_INPUT;
	}
	all = g_strconcat(
	    skip_expired(old != NULL ? old : "", line_time(new_lines->str)),
	    new_lines->str, NULL);
	/* Replaces the file atomically: readers see whole lines only. */
	ok = g_file_set_contents(o->samples, all, -1, &error);
	if (!ok) {
		fprintf(stderr, "gyp-burn: %s\n", error->message);
		g_error_free(error);
	}
	g_free(all);
	g_free(old);
	g_string_free(new_lines, TRUE);
	return ok ? GYP_CTL_OK : GYP_CTL_NO_INPUT;
}

static int
load_file(const char *path, char **text)
{
	GError *error = NULL;

	if (g_file_get_contents(path, text, NULL, &error))
		return GYP_CTL_OK;
	fprintf(stderr, "gyp-burn: %s\n", error->message);
	g_error_free(error);
	return GYP_CTL_NO_INPUT;
}

/* Loads the samples from a file, or reads the sources twice. */
static int
load_samples(const struct options *o, struct gyp_burn *burn)
{
	GString *lines;
	char *text;
	int code = GYP_CTL_OK;

	if (o->samples != NULL) {
		code = load_file(o->samples, &text);
		if (code != GYP_CTL_OK)
			return code;
		code = add_lines(burn, o->samples, text) ? GYP_CTL_OK
							 : GYP_CTL_REFUSED;
		g_free(text);
		return code;
	}
	lines = g_string_new(NULL);
	if (!read_sources(o, lines))
		code = GYP_CTL_UNAVAILABLE;
	g_usleep((gulong)o->pause_s * G_USEC_PER_SEC);
	if (code == GYP_CTL_OK && !read_sources(o, lines))
		code = GYP_CTL_UNAVAILABLE;
	if (code == GYP_CTL_OK && !add_lines(burn, "samples", lines->str))
		code = GYP_CTL_REFUSED;
	g_string_free(lines, TRUE);
	return code;
}

/* ---- Objectives -------------------------------------------------------- */

static void
clear_objective(gpointer p)
{
	struct gyp_burn_objective *o = p;

	g_free(o->class_name);
}

static bool
add_objectives(const struct options *o, GArray *list)
{
	struct gyp_error err = {.code = GYP_OK};
	size_t i;

	for (i = 0; o->objectives != NULL && o->objectives[i] != NULL; i++) {
		struct gyp_burn_objective objective;

		if (gyp_burn_objective_parse(
			o->objectives[i], &objective, &err) != GYP_OK) {
			fprintf(
			    stderr, "gyp-burn: --objective %s\n", err.message);
			return false;
		}
		g_array_append_val(list, objective);
	}
	return true;
}

/* Adds a waiting objective for each urgent rule of a class. */
static bool
add_urgent_rules(
    const struct options *o, const struct gyp_rules *rules, GArray *list)
{
	uint32_t i;

	for (i = 0; i < gyp_rules_count(rules); i++) {
		const struct gyp_rule *rule = gyp_rules_at(rules, i);
		struct gyp_burn_objective objective;
		struct gyp_error err = {.code = GYP_OK};
		char *text;
		bool ok;

		if (rule->verb != GYP_RULE_URGENT ||
		    strcmp(rule->subject, "*") == 0)
			continue;
		text = g_strdup_printf("class=%s,target=%s,within=%ums",
		    rule->subject,
		    o->target != NULL ? o->target : DEFAULT_TARGET,
		    rule->u.within_ms);
		ok = gyp_burn_objective_parse(text, &objective, &err) == GYP_OK;
		g_free(text);
		if (!ok) {
			fprintf(stderr, "gyp-burn: --target %s\n", err.message);
			return false;
		}
		objective.rule_line = rule->line;
		g_array_append_val(list, objective);
	}
	return true;
}

static int
add_rules(const struct options *o, GArray *list)
{
	struct gyp_error err = {.code = GYP_OK};
	struct gyp_rules *rules;
	struct gyp_slice slice;
	char *text;
	int code = load_file(o->rules, &text);

	if (code != GYP_CTL_OK)
		return code;
	slice.data = (const uint8_t *)text;
	slice.len = strlen(text);
	rules = gyp_rules_parse(o->rules, slice, &err);
	if (rules == NULL) {
		fprintf(stderr, "%s\n", err.message);
		code = GYP_CTL_REFUSED;
	} else if (!add_urgent_rules(o, rules, list)) {
		code = GYP_CTL_USAGE;
	}
	gyp_rules_free(rules);
	g_free(text);
	return code;
}

/* ---- Report ------------------------------------------------------------ */

struct report_row {
	const struct gyp_burn_objective *objective;
	enum gyp_burn_kind kind;
	struct gyp_burn_window windows[WINDOWS];
};

static const char *
state_of(const struct report_row *row)
{
	if (row->windows[0].rate > PAGE_RATE &&
	    row->windows[1].rate > PAGE_RATE)
		return "page";
	if (row->windows[2].rate > 1 && row->windows[3].rate > 1)
		return "ticket";
	return "ok";
}

static const char *
kind_of(const struct report_row *row)
{
	return row->kind == GYP_BURN_ERRORS ? "errors" : "waiting";
}

static char *
target_text(const struct report_row *row)
{
	const struct gyp_burn_objective *o = row->objective;
	char *percent = g_strdup_printf("%g%%", (double)o->target_ppm / 10000);
	char *text;

	if (row->kind == GYP_BURN_ERRORS)
		return percent;
	text = g_strdup_printf("%s within %ums", percent, o->within_ms);
	g_free(percent);
	return text;
}

/* "-": no requests; "~" marks a window that samples only partly cover. */
static char *
rate_text(const struct report_row *row, size_t i)
{
	const struct gyp_burn_window *w = &row->windows[i];

	if (w->total == 0)
		return g_strdup("-");
	return g_strdup_printf(
	    "%s%.2f", w->covered_s < windows[i].seconds ? "~" : "", w->rate);
}

static char *
rule_text(const struct report_row *row)
{
	if (row->objective->rule_line == 0)
		return g_strdup("-");
	return g_strdup_printf("line %u", row->objective->rule_line);
}

static void
print_table(const GArray *rows)
{
	static const char *const header[] = {"CLASS", "OBJECTIVE", "TARGET",
	    "REQUESTS", "BAD", "5m", "1h", "6h", "3d", "BUDGET-LEFT", "STATE",
	    "RULE", NULL};
	struct gyp_ctl_table *table = gyp_ctl_table_new(header);
	guint i;

	for (i = 0; i < rows->len; i++) {
		const struct report_row *row =
		    &g_array_index(rows, struct report_row, i);
		const struct gyp_burn_window *longest =
		    &row->windows[WINDOWS - 1];

		gyp_ctl_table_add(table, g_strdup(row->objective->class_name),
		    g_strdup(kind_of(row)), target_text(row),
		    g_strdup_printf("%" G_GUINT64_FORMAT, longest->total),
		    g_strdup_printf("%" G_GUINT64_FORMAT, longest->bad),
		    rate_text(row, 0), rate_text(row, 1), rate_text(row, 2),
		    rate_text(row, 3),
		    g_strdup_printf("%.1f%%",
			100 * gyp_burn_budget_left(row->objective, longest)),
		    g_strdup(state_of(row)), rule_text(row), NULL);
	}
	gyp_ctl_table_print(table);
}

static json_t *
window_json(const struct report_row *row, size_t i)
{
	const struct gyp_burn_window *w = &row->windows[i];

	return json_pack("{s:s,s:I,s:I,s:I,s:f}", "window", windows[i].name,
	    "covered_s", (json_int_t)w->covered_s, "total",
	    (json_int_t)w->total, "bad", (json_int_t)w->bad, "rate", w->rate);
}

static void
print_json(const GArray *rows)
{
	json_t *list = json_array();
	guint i;
	size_t k;

	for (i = 0; i < rows->len; i++) {
		const struct report_row *row =
		    &g_array_index(rows, struct report_row, i);
		const struct gyp_burn_objective *o = row->objective;
		json_t *w = json_array();

		for (k = 0; k < WINDOWS; k++)
			json_array_append_new(w, window_json(row, k));
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:f,s:I,s:I,s:o,s:f,s:s}", "class",
			o->class_name, "objective", kind_of(row),
			"target_percent", (double)o->target_ppm / 10000,
			"within_ms", (json_int_t)o->within_ms, "rule_line",
			(json_int_t)o->rule_line, "windows", w, "budget_left",
			gyp_burn_budget_left(o, &row->windows[WINDOWS - 1]),
			"state", state_of(row)));
	}
	json_dumpf(list, stdout,
	    JSON_SORT_KEYS | JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(list);
}

static void
add_row(const struct gyp_burn *burn, const struct options *o,
    const struct gyp_burn_objective *objective, enum gyp_burn_kind kind,
    GArray *rows)
{
	struct report_row row = {.objective = objective, .kind = kind};
	uint64_t now = o->at > 0 ? (uint64_t)o->at : gyp_burn_newest_time(burn);
	size_t i;

	for (i = 0; i < WINDOWS; i++)
		gyp_burn_measure(burn, objective, kind, now, windows[i].seconds,
		    &row.windows[i]);
	g_array_append_val(rows, row);
}

static void
print_report(
    const struct gyp_burn *burn, const struct options *o, const GArray *list)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct report_row));
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct gyp_burn_objective *objective =
		    &g_array_index(list, struct gyp_burn_objective, i);

		if (objective->rule_line == 0)
			add_row(burn, o, objective, GYP_BURN_ERRORS, rows);
		if (objective->within_ms != 0)
			add_row(burn, o, objective, GYP_BURN_WAITING, rows);
	}
	if (g_strcmp0(o->format, "json") == 0)
		print_json(rows);
	else
		print_table(rows);
	g_array_free(rows, TRUE);
}

static int
report(const struct options *o)
{
	GArray *list =
	    g_array_new(FALSE, TRUE, sizeof(struct gyp_burn_objective));
	struct gyp_burn *burn = gyp_burn_new();
	int code = GYP_CTL_OK;

	g_array_set_clear_func(list, clear_objective);
	if (!add_objectives(o, list))
		code = GYP_CTL_USAGE;
	if (code == GYP_CTL_OK && o->rules != NULL)
		code = add_rules(o, list);
	if (code == GYP_CTL_OK && list->len == 0) {
		fprintf(stderr, "gyp-burn: no objective: give --objective, or "
				"--rules with an urgent rule\n");
		code = GYP_CTL_USAGE;
	}
	if (code == GYP_CTL_OK)
		code = load_samples(o, burn);
	if (code == GYP_CTL_OK)
		print_report(burn, o, list);
	gyp_burn_free(burn);
	g_array_free(list, TRUE);
	return code;
}

/* ---- Command line ------------------------------------------------------ */

static bool
parse_options(struct options *o, char ***argv)
{
	GOptionEntry entries[] = {
	    {"entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &o->sources,
		"Process to read, an entry or a cell's metrics address; may be "
		"given again",
		"IP:PORT"},
	    {"samples", 's', 0, G_OPTION_ARG_FILENAME, &o->samples,
		"File of samples", "FILE"},
	    {"objective", 'o', 0, G_OPTION_ARG_STRING_ARRAY, &o->objectives,
		"class=NAME,target=99.9[,within=3s]; may be given again",
		"OBJECTIVE"},
	    {"rules", 'r', 0, G_OPTION_ARG_FILENAME, &o->rules,
		"Rules file whose urgent lines are objectives", "FILE"},
	    {"target", 0, 0, G_OPTION_ARG_STRING, &o->target,
		"Target of the rules' objectives, in percent (99)", "PERCENT"},
	    {"at", 0, 0, G_OPTION_ARG_INT64, &o->at,
		"End of the windows, in seconds since 1970 (newest sample)",
		"TIME"},
	    {"pause", 'p', 0, G_OPTION_ARG_INT, &o->pause_s,
		"Time between two readings without samples (10)", "SECONDS"},
	    {"timeout", 't', 0, G_OPTION_ARG_INT, &o->timeout_s,
		"Longest time for one process to answer (10)", "SECONDS"},
	    {"format", 'f', 0, G_OPTION_ARG_STRING, &o->format,
		"Print text or json", "FORMAT"},
	    {"version", 0, 0, G_OPTION_ARG_NONE, &o->version,
		"Print the version and exit", NULL},
	    {.long_name = NULL}};
	GOptionContext *ctx = g_option_context_new("record|report");
	GError *error = NULL;
	bool ok;

	g_option_context_set_summary(ctx,
	    "record reads counters and adds them to a file of samples. report "
	    "shows how\nfast each objective's error budget is spent, from that "
	    "file, or from two\nreadings.");
	g_option_context_set_description(ctx,
	    "Exit codes: 0 done; 1 a line of a file is refused; 64 bad command "
	    "line;\n66 a file can't be read or written; 69 no process "
	    "answered.\n");
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse_strv(ctx, argv, &error);
	if (!ok) {
		fprintf(stderr, "gyp-burn: %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(ctx);
	return ok;
}

static int
usage_error(const char *message)
{
	fprintf(stderr, "gyp-burn: %s\n", message);
	return GYP_CTL_USAGE;
}

static int
run(const struct options *o, char **args)
{
	bool records = g_strcmp0(args[0], "record") == 0;

	if (args[0] == NULL || args[1] != NULL ||
	    (!records && strcmp(args[0], "report") != 0))
		return usage_error("expected record or report; see --help");
	if (o->format != NULL && strcmp(o->format, "text") != 0 &&
	    strcmp(o->format, "json") != 0)
		return usage_error("--format: expected text or json");
	if (o->pause_s < 0 || o->timeout_s <= 0)
		return usage_error(
		    "expected --pause of at least 0 and --timeout above 0");
	if (records && (o->samples == NULL || o->sources == NULL))
		return usage_error("record needs --entry and --samples");
	if (o->samples == NULL && o->sources == NULL)
		return usage_error("report needs --samples or --entry");
	return records ? record(o) : report(o);
}

int
main(int argc, char **argv)
{
	struct options o = {.pause_s = 10, .timeout_s = DEFAULT_TIMEOUT_S};
	char **args = g_strdupv(argv);
	int code = GYP_CTL_USAGE;

	(void)argc;
	setlocale(LC_ALL, "");
	g_set_prgname("gyp-burn");
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (parse_options(&o, &args)) {
		if (o.version) {
			printf("gyp-burn %s\n", GYP_VERSION);
			code = GYP_CTL_OK;
		} else {
			code = run(&o, args + 1);
		}
	}
	curl_global_cleanup();
	g_strfreev(args);
	g_strfreev(o.sources);
	g_strfreev(o.objectives);
	g_free(o.samples);
	g_free(o.rules);
	g_free(o.target);
	g_free(o.format);
	return code;
}
