#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "admin_int.h"
#include "endpoint_ranking.h"
#include "flow_int.h"
#include "placer_fixture.h"
#include "workspace.h"
#include "workspace_metrics.h"
#include "workspace_view.h"

/*
 * What operators see of workspaces: reports, metrics and the log line. They
 * must state use, caps and reasons as the placer has them, hold no key, and be
 * bounded.
 */

/* Workspaces in the manifest of the test of bounds. */
#define MANY 100

static void
apply_manifest(struct placer_fixture *f, Gyp__Workspace **list, size_t n)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdManifest m = GYP__CMD_MANIFEST__INIT;

	m.version = 1;
	m.requires_keys = true;
	m.workspaces = list;
	m.n_workspaces = n;
	cmd.c_case = GYP__CMD__C_MANIFEST;
	cmd.manifest = &m;
	g_assert_true(gyp_flows_apply(f->base.flows, f->base.now, &cmd));
}

/* Two workspaces; "press" may use two processors. */
static void
apply_two(struct placer_fixture *f)
{
	static uint8_t digest[GYP_KEY_DIGEST_BYTES] = "digest";
	ProtobufCBinaryData keys = {.len = sizeof(digest), .data = digest};
	Gyp__Res cap = GYP__RES__INIT;
	Gyp__Workspace press = GYP__WORKSPACE__INIT;
	Gyp__Workspace rota = GYP__WORKSPACE__INIT;
	Gyp__Workspace *list[] = {&press, &rota};

	cap.cpu_milli = 2000;
	press.name = "press";
	press.rate = 2.5;
	press.cap = &cap;
	press.key_digests = &keys;
	press.n_key_digests = 1;
	rota.name = "rota";
	apply_manifest(f, list, 2);
}

static void
submit(struct placer_fixture *f, uint64_t id, char *workspace,
    Gyp__FlowStep *steps, size_t n)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow flow = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue queue = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowStep *list[2];
	size_t i;

	for (i = 0; i < n; i++)
		list[i] = &steps[i];
	queue.name = "queue";
	queue.pool = "pool";
	queue.attempts = 3;
	spec.id = id;
	spec.workspace = workspace;
	spec.queue = &queue;
	spec.n_steps = n;
	spec.steps = list;
	flow.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &flow;
	gyp_flows_apply(f->base.flows, f->base.now, &cmd);
}

static void
run_round(struct placer_fixture *f)
{
	placer_fixture_run_round(f, PLACER_QUERY_SLOTS);
	placer_fixture_apply(f);
}

static json_t *
report(struct placer_fixture *f, const struct gyp_flow_intake *intake)
{
	GArray *views =
	    gyp_workspace_views(f->base.flows, f->placer, intake, 0);
	json_t *json = gyp_admin_workspace_views(views);

	g_array_free(views, TRUE);
	return json;
}

static json_int_t
number(const json_t *list, size_t row, const char *field)
{
	return json_integer_value(
	    json_object_get(json_array_get(list, row), field));
}

static const char *
waits_for(const json_t *list, size_t row)
{
	return json_string_value(
	    json_object_get(json_array_get(list, row), "next_waits_for"));
}

/*
 * Guards against a report that counts a run or a waiting task for the wrong
 * workspace, or names another reason than the placer's.
 */
static void
test_report(void)
{
	struct placer_fixture f;
	struct gyp_flow_intake *intake;
	Gyp__FlowStep steps[2] = {flow_fixture_step(3), flow_fixture_step(1)};
	uint32_t after = 0;
	json_t *list;
	char *text;

	placer_fixture_init(&f, 1);
	apply_two(&f);
	intake = gyp_flow_intake_new(f.base.flows, f.base.now);
	steps[1].after = &after;
	steps[1].n_after = 1;
	submit(&f, 1, "press", steps, 2);
	list = report(&f, intake);
	g_assert_cmpstr(waits_for(list, 0), ==, "next round");
	g_assert_cmpstr(waits_for(list, 1), ==, "nothing waits");
	json_decref(list);
	run_round(&f);
	list = report(&f, intake);
	g_assert_cmpuint(json_array_size(list), ==, 2);
	g_assert_cmpint(number(list, 0, "open_runs"), ==, 2);
	g_assert_cmpint(number(list, 0, "waiting_tasks"), ==, 1);
	g_assert_cmpint(number(list, 0, "later_tasks"), ==, 1);
	g_assert_cmpint(number(list, 1, "open_runs"), ==, 0);
	run_round(&f);
	json_decref(list);
	list = report(&f, intake);
	g_assert_cmpstr(waits_for(list, 0), ==, "quota");
	text = json_dumps(list, JSON_COMPACT);
	g_assert_null(strstr(text, "digest"));
	free(text); /* allocated by jansson */
	json_decref(list);
	gyp_flow_intake_free(intake);
	placer_fixture_clear(&f);
}

/*
 * Guards against reasons that hide a full pool, a query under way or steps that
 * are not due.
 */
static void
test_reasons(void)
{
	struct placer_fixture f;
	struct gyp_flow_intake *intake;
	Gyp__FlowStep big = flow_fixture_step(12);
	Gyp__FlowStep steps[2] = {flow_fixture_step(1), flow_fixture_step(1)};
	uint32_t after = 0;
	json_t *list;

	placer_fixture_init(&f, 1);
	apply_two(&f);
	intake = gyp_flow_intake_new(f.base.flows, f.base.now);
	steps[1].after = &after;
	steps[1].n_after = 1;
	submit(&f, 1, "press", steps, 2);
	run_round(&f);
	submit(&f, 2, "rota", &big, 1);
	run_round(&f);
	list = report(&f, intake);
	g_assert_cmpstr(waits_for(list, 0), ==, "dependency or due time");
	g_assert_cmpstr(waits_for(list, 1), ==, "capacity");
	json_decref(list);
	placer_fixture_end_run(&f, 2, 0, GYP__FLOW_HOW__FLOW_DONE);
	placer_fixture_set_queue(&f, 2, 0, true, 30, 1);
	run_round(&f);
	list = report(&f, intake);
	g_assert_cmpstr(waits_for(list, 1), ==, "admission query under way");
	json_decref(list);
	gyp_flow_intake_free(intake);
	placer_fixture_clear(&f);
}

/* Sums the values of a metric over all labels in the text exposition. */
static uint64_t
sum_metric(const char *text, const char *name, guint *labels)
{
	char **lines = g_strsplit(text, "\n", -1);
	uint64_t sum = 0;
	size_t i;

	*labels = 0;
	for (i = 0; lines[i] != NULL; i++) {
		if (!g_str_has_prefix(lines[i], name))
			continue;
		sum += g_ascii_strtoull(strrchr(lines[i], ' ') + 1, NULL, 10);
		*labels += 1;
	}
	g_strfreev(lines);
	return sum;
}

static void
check_metrics(const struct gyp_counters *c, uint64_t open)
{
	char *text = gyp_counters_text(c);
	guint labels;

	g_assert_cmpuint(
	    sum_metric(text, "gyp_workspace_open_runs{", &labels), ==, open);
	g_assert_cmpuint(labels, ==, GYP_WORKSPACES_MEASURED + 1);
	g_assert_cmpuint(
	    sum_metric(text, "gyp_flow_submits_total{", &labels), ==, MANY);
	g_assert_cmpuint(labels, ==, GYP_WORKSPACES_MEASURED + 1);
	g_assert_nonnull(strstr(text, "workspace=\"other\""));
	g_free(text);
}

/*
 * Guards against metrics and log lines that grow with the number of workspaces,
 * and against sums that lose those beyond the bound.
 */
static void
test_bounds(void)
{
	struct gyp_counters *c = gyp_counters_new();
	struct gyp_events *events = gyp_events_new();
	struct gyp_workspace_metrics *m = gyp_workspace_metrics_new(c);
	GArray *views =
	    g_array_new(FALSE, TRUE, sizeof(struct gyp_workspace_view));
	char names[MANY][80];
	struct gyp_event e;
	guint i;

	for (i = 0; i < MANY; i++) {
		struct gyp_workspace_view v = {
		    .name = names[i], .open = 1, .counts.accepted = 1};

		g_snprintf(names[i], sizeof(names[i]), "team %02u %070u", i, 0);
		g_array_append_val(views, v);
		gyp_workspace_metrics_submit(m, names[i], "accepted");
	}
	gyp_workspace_metrics_set(m, views);
	check_metrics(c, MANY);
	gyp_workspace_metrics_log(m, views, events);
	g_assert_true(gyp_events_pop(events, &e));
	g_assert_cmpstr(e.name, ==, "workspaces");
	g_assert_true(
	    g_str_has_prefix(e.fields, "known=100 busy=100 w1=team_00"));
	g_assert_cmpuint(strlen(e.fields), <, 1500);
	g_assert_null(strstr(e.fields, "w6="));
	g_free(e.fields);
	gyp_workspace_metrics_clear(m);
	check_metrics(c, 0);
	g_array_free(views, TRUE);
	gyp_workspace_metrics_free(m);
	gyp_events_free(events);
	gyp_counters_free(c);
}

/*
 * Guards against a preview that takes tokens, counts, or gives another verdict
 * than the decision that follows it.
 */
static void
test_intake_preview(void)
{
	struct placer_fixture f;
	struct gyp_flow_intake *in;
	struct gyp_pool_load load = {.capacity_milli = 0};
	Gyp__Workspace ws = GYP__WORKSPACE__INIT;
	uint32_t seen_ms = 0, retry_ms = 0;
	uint64_t i;

	placer_fixture_init(&f, 0);
	in = gyp_flow_intake_new(f.base.flows, f.base.now);
	ws.name = "press";
	ws.rate = 2;
	for (i = 1; i <= 4; i++) {
		enum gyp_intake_verdict verdict = gyp_flow_intake_preview(
		    in, f.base.now, &ws, 0, &load, &seen_ms);

		g_assert_cmpint(verdict, ==,
		    gyp_flow_intake_preview(
			in, f.base.now, &ws, 0, &load, &seen_ms));
		g_assert_cmpint(verdict, ==,
		    gyp_flow_intake_decide(
			in, f.base.now, &ws, i, 0, &load, &retry_ms));
		g_assert_cmpuint(seen_ms, ==, retry_ms);
		g_assert_cmpint(verdict, ==,
		    i <= 2 ? GYP_INTAKE_ACCEPT : GYP_INTAKE_REFUSE);
	}
	g_assert_cmpuint(gyp_flow_intake_counts(in, "press").refused, ==, 2);
	gyp_flow_intake_free(in);
	placer_fixture_clear(&f);
}

/*
 * Guards against a preview that ranks endpoints differently from the placer, or
 * changes what the next round does.
 */
static void
test_placement_preview(void)
{
	struct placer_fixture f;
	Gyp__FlowStep step = flow_fixture_step(1);
	struct gyp_candidate c;
	struct gyp_flow *flow;
	GArray *ranking;
	uint32_t best;

	placer_fixture_init(&f, 3);
	placer_fixture_submit(&f, 1, 0, flow_fixture_step(5));
	run_round(&f);
	placer_fixture_submit(&f, 2, 0, step);
	flow = gyp_flow_make(gyp_flow_get(f.base.flows, 2)->spec);
	c = (struct gyp_candidate){.flow = flow, .unit = &flow->units[0]};
	g_assert_cmpuint(gyp_placer_allowance(f.placer, &c), ==, 1);
	gyp_placer_begin_preview(f.placer, f.base.now);
	ranking = gyp_placer_preview(f.placer, &c);
	g_assert_cmpuint(ranking->len, ==, 3);
	gyp_ranking_keep_best(ranking, 1);
	best = g_array_index(ranking, struct gyp_ranked_endpoint, 0).row;
	g_array_free(ranking, TRUE);
	gyp_flow_free(flow);
	placer_fixture_run_round(&f, PLACER_QUERY_SLOTS);
	g_assert_cmpuint(f.cmds->len, ==, 1);
	g_assert_cmpuint(placer_fixture_start(&f, 0)->runs[0]->host, ==, best);
	placer_fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/workspace-view/report", test_report);
	g_test_add_func("/workspace-view/reasons", test_reasons);
	g_test_add_func("/workspace-view/bounds", test_bounds);
	g_test_add_func("/workspace-view/intake-preview", test_intake_preview);
	g_test_add_func(
	    "/workspace-view/placement-preview", test_placement_preview);
	return g_test_run();
}
