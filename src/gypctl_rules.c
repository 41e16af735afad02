#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "rules.h"
#include "textdiff.h"

/* ---- Files ------------------------------------------------------------- */

char *
gyp_ctl_read_text(const char *path, size_t *len)
{
	GError *error = NULL;
	const char *name = strcmp(path, "-") == 0 ? "/dev/stdin" : path;
	char *text = NULL;

	if (!g_file_get_contents(name, &text, len, &error)) {
		fprintf(stderr, "gypctl: %s\n", error->message);
		g_error_free(error);
	}
	return text;
}

/* Reads and parses a file. Returns its text, or NULL and the exit code. */
static char *
load_rules(const char *path, struct gyp_rules **rules, int *code)
{
	struct gyp_error err = {.code = GYP_OK};
	gsize len;
	char *text = gyp_ctl_read_text(path, &len);
	struct gyp_slice slice = {(const uint8_t *)text, len};

	*code = GYP_CTL_NO_INPUT;
	if (text == NULL)
		return NULL;
	*rules = gyp_rules_parse(path, slice, &err);
	if (*rules != NULL)
		return text;
	fprintf(stderr, "%s\n", err.message);
	*code = GYP_CTL_REFUSED;
	g_free(text);
	return NULL;
}

/* ---- Check ------------------------------------------------------------- */

static void
print_check_json(const struct gyp_rules *rules, const char *pairs)
{
	json_t *json = json_pack("{s:I,s:s}", "rules",
	    (json_int_t)gyp_rules_count(rules), "disagreements", pairs);

	json_dumpf(json, stdout, JSON_SORT_KEYS | JSON_COMPACT);
	putchar('\n');
	json_decref(json);
}

int
gyp_ctl_rules_check(struct gyp_ctl *ctl, char **args)
{
	struct gyp_rules *rules = NULL;
	int code;
	char *text = load_rules(args[0], &rules, &code);
	char *pairs;

	if (text == NULL)
		return code;
	pairs = gyp_rules_conflicts(rules);
	if (ctl->json)
		print_check_json(rules, pairs);
	else if (pairs[0] != '\0')
		fputs(pairs, stdout);
	else
		printf("%s: %u rules, no two of them disagree\n", args[0],
		    gyp_rules_count(rules));
	code = pairs[0] != '\0' ? GYP_CTL_DISAGREE : GYP_CTL_OK;
	g_free(pairs);
	gyp_rules_free(rules);
	g_free(text);
	return code;
}

/* ---- Versions of the cell ---------------------------------------------- */

/* Fetches a version, or the newest for 0. Returns NULL and the exit code. */
static json_t *
fetch_version(const struct gyp_ctl *ctl, gint64 version, int *code)
{
	struct gyp_ctl no_print = *ctl;
	struct gyp_ctl_request req = {.method = "GET"};
	json_t *json;

	/* With json set, the response would be printed, not returned. */
	no_print.json = false;
	req.path =
	    version > 0
		? g_strdup_printf("/v1/admin/rules/%" G_GINT64_FORMAT, version)
		: g_strdup("/v1/admin/rules");
	json = gyp_ctl_request_json(&no_print, &req, code);
	g_free(req.path);
	return json;
}

int
gyp_ctl_rules_diff(struct gyp_ctl *ctl, char **args)
{
	struct gyp_rules *rules = NULL;
	int code;
	char *text = load_rules(args[0], &rules, &code);
	json_t *json;
	char *diff, *version;

	gyp_rules_free(rules);
	if (text == NULL)
		return code;
	json = fetch_version(ctl, 0, &code);
	if (json == NULL) {
		g_free(text);
		return code;
	}
	diff = gyp_textdiff(gyp_ctl_text(json, "text"), text);
	version = gyp_ctl_value(json, "version");
	fputs(diff, stdout);
	fprintf(stderr, "%s version %s; apply with --base %s\n",
	    diff[0] != '\0' ? "differs from" : "equal to", version, version);
	g_free(diff);
	g_free(version);
	json_decref(json);
	g_free(text);
	return GYP_CTL_OK;
}

/* ---- Apply ------------------------------------------------------------- */

static void
print_missing(const json_t *json)
{
	const json_t *missing = json_object_get(json, "missing");
	size_t i;
	json_t *name;

	json_array_foreach(missing, i, name)
	    printf("waiting for %s\n", json_string_value(name));
}

static int
show_accepted(const struct gyp_ctl *ctl, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	bool in_force = json_is_true(json_object_get(json, "in_force"));
	char *version = gyp_ctl_value(json, "version");

	if (ctl->json) {
		fputs(body, stdout);
	} else {
		printf("version %s accepted, %s\n", version,
		    in_force ? "in force everywhere"
			     : "not yet in force everywhere");
		print_missing(json);
	}
	g_free(version);
	json_decref(json);
	return in_force ? GYP_CTL_OK : GYP_CTL_NOT_IN_FORCE;
}

/* Shows how the text differs from the version that was accepted instead. */
static int
show_newer_version(
    const struct gyp_ctl *ctl, const char *text, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	char *version = gyp_ctl_value(json, "version");
	char *diff = gyp_textdiff(gyp_ctl_text(json, "text"), text);

	fprintf(stderr, "gypctl: %s\n", gyp_ctl_text(json, "error"));
	if (ctl->json) {
		fputs(body, stdout);
	} else if (json_object_get(json, "version") != NULL) {
		printf(
		    "version %s by %s is the newest; your file differs by\n%s",
		    version, gyp_ctl_text(json, "author"), diff);
	}
	g_free(diff);
	g_free(version);
	json_decref(json);
	return GYP_CTL_REFUSED;
}

static int
show_applied(const struct gyp_ctl *ctl, const char *text, unsigned status,
    const char *body)
{
	if (status == 409)
		return show_newer_version(ctl, text, body);
	if (status != 200)
		return gyp_ctl_exit_code(status, body);
	return show_accepted(ctl, body);
}

static char *
send_rules(const struct gyp_ctl *ctl, const char *request, const char *text,
    unsigned *status)
{
	char *id = g_strconcat("Gyp-Request: ", request, NULL);
	char *author = g_strconcat("Gyp-Author: ",
	    ctl->author != NULL ? ctl->author : g_get_user_name(), NULL);
	const char *const headers[] = {id, author, NULL};
	struct gyp_ctl_request req = {
	    .method = "POST", .headers = headers, .body = text};
	char *body;

	req.path = g_strdup_printf("/v1/admin/rules?base=%" G_GINT64_FORMAT
				   "&wait_ms=%d",
	    ctl->base, ctl->wait_s * 1000);
	body = gyp_ctl_send(ctl, &req, status);
	g_free(req.path);
	g_free(author);
	g_free(id);
	return body;
}

static int
apply_text(struct gyp_ctl *ctl, const char *path, const char *text)
{
	char *request = ctl->request != NULL ? g_strdup(ctl->request)
					     : g_uuid_string_random();
	unsigned status = 0;
	char *body = send_rules(ctl, request, text, &status);
	int code = GYP_CTL_UNAVAILABLE;

	if (body != NULL)
		code = show_applied(ctl, text, status, body);
	if (code == GYP_CTL_UNAVAILABLE)
		fprintf(stderr,
		    "gypctl: unknown whether it was accepted; resend with "
		    "rules apply %s --base %" G_GINT64_FORMAT " --request %s\n",
		    path, ctl->base, request);
	g_free(body);
	g_free(request);
	return code;
}

int
gyp_ctl_rules_apply(struct gyp_ctl *ctl, char **args)
{
	struct gyp_rules *rules = NULL;
	char *text, *pairs;
	int code;

	if (ctl->base < 0) {
		fprintf(stderr,
		    "gypctl: --base N is required: the version that the file "
		    "is based on, see rules diff\n");
		return GYP_CTL_USAGE;
	}
	text = load_rules(args[0], &rules, &code);
	if (text == NULL)
		return code;
	pairs = gyp_rules_conflicts(rules);
	if (pairs[0] != '\0')
		fprintf(stderr, "%s", pairs);
	code = apply_text(ctl, args[0], text);
	g_free(pairs);
	gyp_rules_free(rules);
	g_free(text);
	return code;
}

/* ---- Reports ----------------------------------------------------------- */

int
gyp_ctl_rules_history(struct gyp_ctl *ctl, char **args)
{
	static const char *const header[] = {
	    "VERSION", "AUTHOR", "BYTES", "REQUEST", NULL};
	struct gyp_ctl_request req = {.method = "GET"};
	struct gyp_ctl_table *table;
	json_t *json, *row;
	int code;
	size_t i;

	(void)args;
	req.path = g_strdup("/v1/admin/rules/history");
	json = gyp_ctl_request_json(ctl, &req, &code);
	g_free(req.path);
	if (json == NULL)
		return code;
	table = gyp_ctl_table_new(header);
	json_array_foreach(json, i, row)
	    gyp_ctl_table_add(table, gyp_ctl_value(row, "version"),
		gyp_ctl_value(row, "author"), gyp_ctl_value(row, "text_bytes"),
		gyp_ctl_value(row, "request"), NULL);
	gyp_ctl_table_print(table);
	json_decref(json);
	return GYP_CTL_OK;
}

static void
print_processes(const json_t *json)
{
	static const char *const header[] = {
	    "ROLE", "NAME", "LIVE", "HAS", NULL};
	struct gyp_ctl_table *table = gyp_ctl_table_new(header);
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(json, "processes"), i, row)
	    gyp_ctl_table_add(table, gyp_ctl_value(row, "role"),
		gyp_ctl_value(row, "name"), gyp_ctl_value(row, "live"),
		json_object_get(row, "has_newest") != NULL
		    ? gyp_ctl_value(row, "has_newest")
		    : gyp_ctl_value(row, "rules_version"),
		NULL);
	gyp_ctl_table_sort(table);
	gyp_ctl_table_print(table);
}

/* Prints only the text to standard output, so it can be saved as a file. */
int
gyp_ctl_rules_show(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json = fetch_version(ctl, ctl->version, &code);
	char *version;

	(void)args;
	if (json == NULL)
		return code;
	if (ctl->json) {
		json_dumpf(json, stdout, JSON_SORT_KEYS | JSON_COMPACT);
		putchar('\n');
	} else {
		version = gyp_ctl_value(json, "version");
		fputs(gyp_ctl_text(json, "text"), stdout);
		fprintf(stderr, "version %s\n", version);
		g_free(version);
	}
	json_decref(json);
	return GYP_CTL_OK;
}

int
gyp_ctl_rules_status(struct gyp_ctl *ctl, char **args)
{
	struct gyp_ctl_request req = {.method = "GET"};
	char *version;
	json_t *json;
	int code;

	(void)args;
	req.path = g_strdup("/v1/admin/rules");
	json = gyp_ctl_request_json(ctl, &req, &code);
	g_free(req.path);
	if (json == NULL)
		return code;
	version = gyp_ctl_value(json, "version");
	printf("version %s, %s\n", version,
	    json_is_true(json_object_get(json, "in_force"))
		? "in force everywhere"
		: "not yet in force everywhere");
	print_missing(json);
	print_processes(json);
	g_free(version);
	json_decref(json);
	return GYP_CTL_OK;
}
