#include <stdio.h>
#include <string.h>

#include "ctl.h"

/*
 * Sends a request without a body; its path is the prefix, the escaped name and
 * the suffix.
 */
static json_t *
request_json(const struct gyp_ctl *ctl, const char *method, const char *prefix,
    const char *name, const char *suffix, int *code)
{
	struct gyp_ctl_request req = {.method = method};
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	json_t *json;

	req.path = g_strconcat(prefix, escaped, suffix, NULL);
	json = gyp_ctl_request_json(ctl, &req, code);
	g_free(req.path);
	g_free(escaped);
	return json;
}

/* Prints a line "name  value" for each scalar field, in two columns. */
static void
print_fields(const json_t *json)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)json, name, value)
	{
		char *text;

		if (json_is_object(value) || json_is_array(value))
			continue;
		text = gyp_ctl_value(json, name);
		printf("%-16s %s\n", name, text);
		g_free(text);
	}
}

int
gyp_ctl_status(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json =
	    request_json(ctl, "GET", "/v1/admin/status", "", "", &code);

	(void)args;
	if (json != NULL)
		print_fields(json);
	json_decref(json);
	return code;
}

/* ---- Endpoints --------------------------------------------------------- */

/* Returns "booked/capacity" of one resource as new text, in a unit. */
static char *
format_ratio(const json_t *row, const char *field, json_int_t unit)
{
	json_int_t booked = json_integer_value(
	    json_object_get(json_object_get(row, "booked"), field));
	json_int_t capacity = json_integer_value(
	    json_object_get(json_object_get(row, "capacity"), field));

	return g_strdup_printf("%.4g/%.4g", (double)booked / (double)unit,
	    (double)capacity / (double)unit);
}

/* Prints an array of rows; returns the exit code of the request. */
static int
print_rows(json_t *rows, int code, const char *const *header, bool sorted,
    void (*add)(struct gyp_ctl_table *, const json_t *))
{
	struct gyp_ctl_table *table;
	json_t *row;
	size_t i;

	if (rows == NULL)
		return code;
	table = gyp_ctl_table_new(header);
	json_array_foreach(rows, i, row) add(table, row);
	if (sorted)
		gyp_ctl_table_sort(table);
	gyp_ctl_table_print(table);
	json_decref(rows);
	return code;
}

static void
add_endpoint(struct gyp_ctl_table *table, const json_t *row)
{
	gyp_ctl_table_add(table, gyp_ctl_value(row, "name"),
	    gyp_ctl_value(row, "state"), gyp_ctl_value(row, "attempts"),
	    format_ratio(row, "cpu_milli", 1000),
	    format_ratio(row, "memory_bytes", 1 << 30),
	    format_ratio(row, "accelerators", 1), format_ratio(row, "slots", 1),
	    gyp_ctl_value(row, "rack"), gyp_ctl_value(row, "data_centre"),
	    gyp_ctl_value(row, "address"), NULL);
}

static const char *const endpoint_header[] = {"NAME", "STATE", "TASKS", "CPU",
    "GIB", "ACCEL", "SLOTS", "RACK", "DATA-CENTRE", "ADDRESS", NULL};

int
gyp_ctl_endpoints(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *rows =
	    request_json(ctl, "GET", "/v1/admin/endpoints", "", "", &code);

	(void)args;
	return print_rows(rows, code, endpoint_header, true, add_endpoint);
}

int
gyp_ctl_drain(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json = request_json(ctl, ctl->undo ? "DELETE" : "POST",
	    "/v1/admin/endpoints/", args[0], "/drain", &code);
	struct gyp_ctl_table *table;

	if (json == NULL)
		return code;
	table = gyp_ctl_table_new(endpoint_header);
	add_endpoint(table, json);
	gyp_ctl_table_print(table);
	json_decref(json);
	return code;
}

/* ---- Workspaces -------------------------------------------------------- */

/* Returns "used/cap" of one resource as new text, in a unit; "-": no limit. */
static char *
format_use(const json_t *row, const char *field, json_int_t unit)
{
	json_int_t used = json_integer_value(
	    json_object_get(json_object_get(row, "used"), field));
	json_int_t cap = json_integer_value(
	    json_object_get(json_object_get(row, "cap"), field));

	if (cap == 0)
		return g_strdup_printf("%.4g/-", (double)used / (double)unit);
	return g_strdup_printf("%.4g/%.4g", (double)used / (double)unit,
	    (double)cap / (double)unit);
}

static void
add_workspace(struct gyp_ctl_table *table, const json_t *row)
{
	double weight = json_number_value(json_object_get(row, "weight"));

	gyp_ctl_table_add(table, gyp_ctl_value(row, "name"),
	    weight > 0 ? g_strdup_printf("%.4g", weight) : g_strdup("-"),
	    format_use(row, "cpu_milli", 1000),
	    format_use(row, "memory_bytes", 1 << 30),
	    format_use(row, "accelerators", 1), gyp_ctl_value(row, "open_runs"),
	    gyp_ctl_value(row, "waiting_tasks"),
	    gyp_ctl_value(row, "later_tasks"), gyp_ctl_value(row, "accepted"),
	    gyp_ctl_value(row, "excess"), gyp_ctl_value(row, "refused"),
	    gyp_ctl_value(row, "next_waits_for"), NULL);
}

int
gyp_ctl_workspaces(struct gyp_ctl *ctl, char **args)
{
	static const char *const header[] = {"WORKSPACE", "WEIGHT", "CPU",
	    "GIB", "ACCEL", "RUNS", "WAITING", "LATER", "ACCEPTED", "EXCESS",
	    "REFUSED", "NEXT-WAITS-FOR", NULL};
	int code;
	json_t *rows =
	    request_json(ctl, "GET", "/v1/admin/workspaces", "", "", &code);

	(void)args;
	return print_rows(rows, code, header, false, add_workspace);
}

/* ---- Preview ----------------------------------------------------------- */

static void
print_candidates(const json_t *step)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(step, "candidates"), i, row)
	    printf("step %d: %s, rack %s, %d tasks, score %.3f\n",
		(int)json_integer_value(json_object_get(step, "step")),
		gyp_ctl_text(row, "endpoint"), gyp_ctl_text(row, "rack"),
		(int)json_integer_value(json_object_get(row, "tasks")),
		json_real_value(json_object_get(row, "score")));
}

static void
add_step(struct gyp_ctl_table *table, const json_t *row)
{
	const json_t *out = json_object_get(row, "ruled_out");

	gyp_ctl_table_add(table, gyp_ctl_value(row, "step"),
	    gyp_ctl_value(row, "tasks"), gyp_ctl_value(row, "median_ms"),
	    json_is_null(json_object_get(row, "p90_ms"))
		? g_strdup("-")
		: gyp_ctl_value(row, "p90_ms"),
	    gyp_ctl_value(row, "suit"), gyp_ctl_value(row, "full"),
	    gyp_ctl_value(row, "free_tasks"), gyp_ctl_value(row, "quota_tasks"),
	    gyp_ctl_value(out, "no_contact"), gyp_ctl_value(out, "failures"),
	    gyp_ctl_value(out, "size"), gyp_ctl_value(out, "label"),
	    gyp_ctl_value(out, "sharing"), gyp_ctl_value(row, "waits_for"),
	    NULL);
}

static void
print_preview(const json_t *json)
{
	static const char *const header[] = {"STEP", "TASKS", "MEDIAN-MS",
	    "P90-MS", "SUIT", "FULL", "FREE", "QUOTA", "NO-CONTACT", "FAILURES",
	    "SIZE", "LABEL", "SHARING", "WAITS-FOR", NULL};
	const json_t *steps = json_object_get(json, "steps");
	struct gyp_ctl_table *table = gyp_ctl_table_new(header);
	json_t *row;
	size_t i;

	print_fields(json);
	json_array_foreach(steps, i, row) add_step(table, row);
	gyp_ctl_table_print(table);
	json_array_foreach(steps, i, row) print_candidates(row);
}

int
gyp_ctl_preview(struct gyp_ctl *ctl, char **args)
{
	struct gyp_ctl_request req = {
	    .method = "POST", .path = "/v1/admin/preview"};
	size_t len;
	char *text = gyp_ctl_read_text(args[0], &len);
	json_t *json;
	int code;

	if (text == NULL)
		return GYP_CTL_NO_INPUT;
	req.body = text;
	json = gyp_ctl_request_json(ctl, &req, &code);
	if (json != NULL)
		print_preview(json);
	json_decref(json);
	g_free(text);
	return code;
}

/* ---- Members ----------------------------------------------------------- */

int
gyp_ctl_members(struct gyp_ctl *ctl, char **args)
{
	static const char *const header[] = {
	    "ID", "ADDRESS", "VOTER", "LEADER", "LIVE", "BEHIND", NULL};
	int code;
	json_t *json =
	    request_json(ctl, "GET", "/v1/admin/members", "", "", &code);
	struct gyp_ctl_table *table;
	json_t *row;
	size_t i;

	(void)args;
	if (json == NULL)
		return code;
	table = gyp_ctl_table_new(header);
	json_array_foreach(json, i, row) gyp_ctl_table_add(table,
	    gyp_ctl_value(row, "id"), gyp_ctl_value(row, "address"),
	    gyp_ctl_value(row, "voter"), gyp_ctl_value(row, "leader"),
	    gyp_ctl_value(row, "live"), gyp_ctl_value(row, "behind"), NULL);
	gyp_ctl_table_print(table);
	json_decref(json);
	return code;
}

int
gyp_ctl_members_remove(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json = request_json(
	    ctl, "DELETE", "/v1/admin/members/", args[0], "", &code);

	if (json != NULL)
		printf("removal of %s was accepted\n", args[0]);
	json_decref(json);
	return code;
}

/* ---- Jobs -------------------------------------------------------------- */

static void
print_tasks(const json_t *tasks)
{
	static const char *const header[] = {
	    "TASK", "OUTCOME", "ATTEMPTS", "STATUS", "REASON", NULL};
	struct gyp_ctl_table *table = gyp_ctl_table_new(header);
	json_t *row;
	size_t i;

	json_array_foreach(tasks, i, row) gyp_ctl_table_add(table,
	    gyp_ctl_value(row, "task"), gyp_ctl_value(row, "outcome"),
	    gyp_ctl_value(row, "attempts"), gyp_ctl_value(row, "status"),
	    gyp_ctl_value(row, "reason"), NULL);
	gyp_ctl_table_print(table);
}

static int
show_job(json_t *json, int code)
{
	if (json == NULL)
		return code;
	print_fields(json);
	print_tasks(json_object_get(json, "tasks"));
	json_decref(json);
	return code;
}

int
gyp_ctl_job(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json =
	    request_json(ctl, "GET", "/v1/jobs/", args[0], "", &code);

	return show_job(json, code);
}

int
gyp_ctl_cancel(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json =
	    request_json(ctl, "DELETE", "/v1/jobs/", args[0], "", &code);

	return show_job(json, code);
}

static void
print_placements(const json_t *tasks)
{
	static const char *const header[] = {"TASK", "STATE", "SINCE-MS",
	    "ENDPOINT", "RACK", "DATA-CENTRE", NULL};
	struct gyp_ctl_table *table = gyp_ctl_table_new(header);
	json_t *row;
	size_t i;

	json_array_foreach(tasks, i, row)
	    gyp_ctl_table_add(table, gyp_ctl_value(row, "task"),
		gyp_ctl_value(row, "state"), gyp_ctl_value(row, "since_ms"),
		gyp_ctl_value(row, "endpoint"), gyp_ctl_value(row, "rack"),
		gyp_ctl_value(row, "data_centre"), NULL);
	gyp_ctl_table_print(table);
}

static void
print_rule_lines(const json_t *rules)
{
	json_t *row;
	size_t i;

	json_array_foreach(rules, i, row)
	{
		json_int_t line =
		    json_integer_value(json_object_get(row, "line"));

		if (line == 0)
			printf("rule: %s\n", gyp_ctl_text(row, "text"));
		else
			printf("rule line %d: %s\n", (int)line,
			    gyp_ctl_text(row, "text"));
	}
}

int
gyp_ctl_explain(struct gyp_ctl *ctl, char **args)
{
	int code;
	json_t *json = request_json(
	    ctl, "GET", "/v1/admin/jobs/", args[0], "/explain", &code);
	json_t *reason;
	size_t i;

	if (json == NULL)
		return code;
	print_fields(json);
	json_array_foreach(json_object_get(json, "reasons"), i, reason)
	    printf("because: %s\n", json_string_value(reason));
	print_rule_lines(json_object_get(json, "rules"));
	print_placements(json_object_get(json, "tasks"));
	json_decref(json);
	return code;
}
