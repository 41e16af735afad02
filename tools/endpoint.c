/*
 * NAME
 *	gyp-endpoint - simulated endpoint for the demo and tests
 *
 * DESCRIPTION
 *	Announces itself, sends heartbeats to the entries in turn, and
 *	simulates each run by waiting. The payload controls the run:
 *
 *	run_ms=N	the run takes N ms
 *	size=N		the answer has N bytes
 *	uses=N		usage of N thousandths of a processor is reported
 *	fail ...	the run fails
 *	async ...	the start is answered with 202, and the end of the run
 *			is reported to an entry
 *
 *	The first three may be anywhere in the payload, the last two only at
 *	its start. Each start, throttle order and end adds a line to the
 *	journal: event, attempt, name of the endpoint, time in ms and, for a
 *	start, the payload.
 *
 *	SIGUSR1 makes it leave: it waits until its runs have ended and exits.
 *	SIGTERM ends it at once.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "httpc.h"
#include "httpd.h"
#include "json.h"
#include "log.h"
#include "timer.h"

/* Interval of heartbeats, in ms. */
#define HEARTBEAT_MS 500

/* Interval of the check for ended runs and an expired lease, in ms. */
#define CHECK_MS 10

enum run_state {
	RUN_RUNNING,
	RUN_DONE,
	RUN_FAILED,
	RUN_REFUSED,
	RUN_CHECKPOINTED
};

struct run {
	char *attempt;
	enum run_state state;
	uint64_t ends_at;
	bool fail;
	bool async;
	bool delivered; /* the end need not be reported to an entry any more */
	bool delivering;
	uint32_t cpu_used; /* reported usage, thousandths of a processor */
	char *answer;
	struct gyp_http_request *req; /* answered at the end; or NULL */
};

struct options {
	char *name;
	char *listen;
	char *entries;
	char *rack;
	char *data_centre;
	char *journal;
	gint cpu_milli;
	gint memory_mib;
	gint slots;
	gint connections;
	gint run_ms;
};

struct app {
	struct gyp_httpd_owner owner;
	struct options o;
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_httpd *httpd;
	struct gyp_httpc *httpc;
	char **entries;
	guint next_entry;
	char incarnation[GYP_HEX_MAX];
	char id[GYP_HEX_MAX]; /* "" before the announcement */
	uint64_t lease_end;
	uint64_t heartbeat_sent_at;
	bool call_pending;
	bool leaving;
	bool leave_accepted;
	uint32_t list_version; /* incremented when the set of runs changes */
	uint32_t list_version_sent;  /* in the pending heartbeat */
	uint32_t list_version_acked; /* by the leader; 0: none */
	GHashTable *runs;            /* attempt -> struct run */
	FILE *journal;
};

static void
write_journal(
    struct app *app, const char *what, const char *attempt, const char *payload)
{
	if (app->journal == NULL)
		return;
	fprintf(app->journal, "%s %s %s %" G_GUINT64_FORMAT " %.64s\n", what,
	    attempt, app->o.name, gyp_clock_ms(), payload);
	fflush(app->journal);
}

/* ---- Runs -------------------------------------------------------------- */

static const char *
state_name(enum run_state state)
{
	static const char *const names[] = {
	    "running", "done", "failed", "refused", "checkpointed"};

	return names[state];
}

static void
reply_run(struct app *app, struct gyp_http_request *req, const struct run *r)
{
	unsigned status = r->state == RUN_RUNNING        ? 202
			  : r->state == RUN_DONE         ? 200
			  : r->state == RUN_REFUSED      ? 409
			  : r->state == RUN_CHECKPOINTED ? 200
							 : 500;
	const char *text = r->answer != NULL ? r->answer : "";

	(void)app;
	gyp_http_add_header(req, "Gyp-State", state_name(r->state));
	gyp_http_reply(req, status, "text/plain", text, strlen(text));
}

static struct run *
new_run(struct app *app, const char *attempt)
{
	struct run *r = g_new0(struct run, 1);

	r->attempt = g_strdup(attempt);
	g_hash_table_insert(app->runs, r->attempt, r);
	return r;
}

static void
end_run(struct app *app, struct run *r, enum run_state state)
{
	r->state = state;
	app->list_version++;
	write_journal(app, state_name(state), r->attempt, "");
	if (r->req != NULL)
		reply_run(app, r->req, r);
	r->req = NULL;
}

/* True when the start comes too late to be carried out. */
static bool
is_late(const struct app *app, const struct gyp_http_request *req)
{
	const char *text = gyp_http_header(req, "Gyp-Not-After");
	uint64_t now = gyp_clock_ms();

	return text == NULL || now > g_ascii_strtoull(text, NULL, 10) ||
	       now > app->lease_end;
}

/* Returns the number after name in text, or fallback if name is absent. */
static uint64_t
parse_number(const char *text, const char *name, uint64_t fallback)
{
	const char *at = strstr(text, name);

	if (at == NULL)
		return fallback;
	return g_ascii_strtoull(at + strlen(name), NULL, 10);
}

static char *
make_answer(const struct app *app, const char *attempt, const char *payload)
{
	uint64_t size = parse_number(payload, "size=", 0);

	if (size > 0)
		return g_strnfill((gsize)size, 'x');
	return g_strdup_printf(
	    "%s ran %s: %s\n", app->o.name, attempt, payload);
}

static void
start_run(struct app *app, struct gyp_http_request *req, const char *attempt)
{
	struct gyp_slice body = gyp_http_body(req);
	char *payload = g_strndup((const char *)body.data, body.len);
	struct run *r = new_run(app, attempt);

	if (is_late(app, req)) {
		end_run(app, r, RUN_REFUSED);
		reply_run(app, req, r);
		g_free(payload);
		return;
	}
	write_journal(app, "start", attempt, payload);
	app->list_version++;
	r->ends_at = gyp_clock_ms() +
		     parse_number(payload, "run_ms=", (uint64_t)app->o.run_ms);
	r->fail = g_str_has_prefix(payload, "fail");
	r->async = g_str_has_prefix(payload, "async");
	r->cpu_used = (uint32_t)parse_number(payload, "uses=", 0);
	r->answer = make_answer(app, attempt, payload);
	if (r->async)
		reply_run(app, req, r);
	else
		r->req = req;
	g_free(payload);
}

/* A query about an unknown attempt makes any later start of it refused. */
static void
query_run(struct app *app, struct gyp_http_request *req, const char *attempt)
{
	struct run *r = g_hash_table_lookup(app->runs, attempt);

	if (r == NULL) {
		r = new_run(app, attempt);
		end_run(app, r, RUN_REFUSED);
	}
	reply_run(app, req, r);
}

static void
stop_run(struct app *app, struct gyp_http_request *req, const char *attempt)
{
	struct run *r = g_hash_table_lookup(app->runs, attempt);

	if (r != NULL && r->state == RUN_RUNNING) {
		r->delivered = true;
		end_run(app, r, RUN_FAILED);
	}
	query_run(app, req, attempt);
}

static void
checkpoint_run(
    struct app *app, struct gyp_http_request *req, const char *attempt)
{
	struct run *r = g_hash_table_lookup(app->runs, attempt);

	if (r != NULL && r->state == RUN_RUNNING) {
		r->delivered = true;
		end_run(app, r, RUN_CHECKPOINTED);
	}
	query_run(app, req, attempt);
}

static void
throttle_run(struct app *app, struct gyp_http_request *req, const char *attempt)
{
	const char *limit = gyp_http_header(req, "Gyp-Cpu-Limit");
	struct run *r = g_hash_table_lookup(app->runs, attempt);

	if (r != NULL && limit != NULL)
		r->cpu_used = MIN(
		    r->cpu_used, (uint32_t)g_ascii_strtoull(limit, NULL, 10));
	write_journal(app, "throttled", attempt, "");
	query_run(app, req, attempt);
}

/*
 * Answers a request that is meant for another incarnation and returns true. An
 * earlier incarnation may have run the attempt, so only a start has a definite
 * answer (refused); other requests get "unknown".
 */
static bool
reject_wrong_incarnation(
    struct app *app, struct gyp_http_request *req, bool start)
{
	const char *text = gyp_http_header(req, "Gyp-Incarnation");
	uint64_t expected, own;

	if (text != NULL && gyp_hex_parse(text, &expected) &&
	    gyp_hex_parse(app->incarnation, &own) && expected == own)
		return false;
	gyp_http_add_header(req, "Gyp-State", start ? "refused" : "unknown");
	gyp_http_reply(req, 409, "text/plain", "", 0);
	return true;
}

static void
on_attempt(struct app *app, struct gyp_http_request *req, const char *attempt,
    const char *verb)
{
	bool seen = g_hash_table_contains(app->runs, attempt);

	if (reject_wrong_incarnation(app, req, strcmp(verb, "start") == 0))
		return;
	if (strcmp(verb, "stop") == 0)
		stop_run(app, req, attempt);
	else if (strcmp(verb, "checkpoint") == 0)
		checkpoint_run(app, req, attempt);
	else if (strcmp(verb, "throttle") == 0)
		throttle_run(app, req, attempt);
	else if (strcmp(verb, "start") == 0 && !seen)
		start_run(app, req, attempt);
	else
		query_run(app, req, attempt);
}

static void
on_request(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	struct app *app = (struct app *)owner;
	char **seg = g_strsplit(gyp_http_path(req), "/", 6);
	guint n = g_strv_length(seg);

	if (n >= 4 && strcmp(seg[2], "attempts") == 0)
		on_attempt(app, req, seg[3], n >= 5 ? seg[4] : "");
	else
		gyp_http_reply(req, 404, "text/plain", "", 0);
	g_strfreev(seg);
}

/* ---- Calls to the entries ---------------------------------------------- */

static char *
entry_url(struct app *app, const char *path)
{
	const char *entry = app->entries[app->next_entry];

	app->next_entry = (app->next_entry + 1) % g_strv_length(app->entries);
	return g_strdup_printf("http://%s%s", entry, path);
}

static void
call_entry(struct app *app, const char *method, const char *path,
    const char *body, gyp_httpc_fn done, void *arg)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char *url = entry_url(app, path);
	struct gyp_httpc_request req = {.method = method,
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .len = strlen(body),
	    .response_max = 64 * 1024,
	    .timeout_ms = 2000,
	    .done = done,
	    .arg = arg};

	gyp_httpc_send(app->httpc, &req);
	g_free(url);
}

static void
stop_listed(struct app *app, json_t *list)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *attempt =
		    json_string_value(json_array_get(list, i));
		struct run *r = attempt != NULL
				    ? g_hash_table_lookup(app->runs, attempt)
				    : NULL;

		if (r != NULL && r->state == RUN_RUNNING)
			end_run(app, r, RUN_FAILED);
	}
}

/* Handles the answer to an announcement or heartbeat. */
static void
on_entry_answer(void *arg, const struct gyp_httpc_result *res)
{
	struct app *app = arg;
	json_t *json;

	app->call_pending = false;
	if (res->end != GYP_HTTPC_ANSWERED)
		return;
	if (res->status == 404) /* not registered: announce again */
		app->id[0] = '\0';
	if (res->status != 200)
		return;
	json = json_loadb((const char *)res->body, res->len, 0, NULL);
	if (json == NULL)
		return;
	g_strlcpy(
	    app->id, gyp_json_string(json, "endpoint", ""), sizeof(app->id));
	app->lease_end =
	    app->heartbeat_sent_at + gyp_json_u64(json, "lease_ms");
	app->list_version_acked = json_is_true(json_object_get(json, "resend"))
				      ? 0
				      : app->list_version_sent;
	stop_listed(app, json_object_get(json, "stop"));
	json_decref(json);
}

static void
on_leave_answer(void *arg, const struct gyp_httpc_result *res)
{
	struct app *app = arg;

	app->call_pending = false;
	app->leave_accepted = res->end == GYP_HTTPC_ANSWERED &&
			      (res->status == 200 || res->status == 404);
}

static void
announce(struct app *app)
{
	json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:i,s:i}",
	    "name", app->o.name, "address", app->o.listen, "rack", app->o.rack,
	    "data_centre", app->o.data_centre, "incarnation", app->incarnation,
	    "cpu_milli", app->o.cpu_milli, "memory_bytes",
	    (json_int_t)app->o.memory_mib * 1024 * 1024, "slots", app->o.slots,
	    "connections", app->o.connections);
	char *body = json_dumps(json, JSON_COMPACT);

	call_entry(app, "POST", "/v1/endpoints", body, on_entry_answer, app);
	free(body);
	json_decref(json);
}

static json_t *
list_running(struct app *app)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, app->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		if (r->state == RUN_RUNNING)
			json_array_append_new(list, json_string(r->attempt));
	}
	return list;
}

static json_t *
list_usage(struct app *app, uint32_t *sum)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	*sum = 0;
	g_hash_table_iter_init(&iter, app->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		if (r->state != RUN_RUNNING || r->cpu_used == 0)
			continue;
		*sum += r->cpu_used;
		json_array_append_new(
		    list, json_pack("{s:s,s:I}", "attempt", r->attempt,
			      "cpu_milli", (json_int_t)r->cpu_used));
	}
	return list;
}

/* Sends the list of runs only if it changed since the leader received it. */
static void
send_heartbeat(struct app *app)
{
	uint32_t sum;
	json_t *usage = list_usage(app, &sum);
	json_t *json = json_pack("{s:s,s:I,s:{s:I},s:o,s:I}", "incarnation",
	    app->incarnation, "clock_ms", (json_int_t)gyp_clock_ms(), "used",
	    "cpu_milli", (json_int_t)sum, "usage", usage, "list",
	    (json_int_t)app->list_version);
	char *body;
	char *path = g_strdup_printf("/v1/endpoints/%s/heartbeat", app->id);

	app->list_version_sent = app->list_version;
	if (app->list_version != app->list_version_acked)
		json_object_set_new(json, "running", list_running(app));
	body = json_dumps(json, JSON_COMPACT);
	call_entry(app, "POST", path, body, on_entry_answer, app);
	g_free(path);
	free(body);
	json_decref(json);
}

/* Counts runs that have not ended or whose end is not delivered. */
static guint
count_open_runs(struct app *app)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, app->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		n += r->state == RUN_RUNNING || (r->async && !r->delivered);
	}
	return n;
}

/* Keeps sending heartbeats until the leader has removed the endpoint. */
static void
leave(struct app *app)
{
	char *path;

	if (app->id[0] == '\0') {
		if (count_open_runs(app) == 0)
			ev_break(app->loop, EVBREAK_ALL);
		app->call_pending = false;
		return;
	}
	if (app->leave_accepted) {
		send_heartbeat(app);
		return;
	}
	path = g_strdup_printf("/v1/endpoints/%s", app->id);
	call_entry(app, "DELETE", path, "", on_leave_answer, app);
	g_free(path);
}

static void
on_heartbeat_due(void *arg, uint64_t now)
{
	struct app *app = arg;

	if (app->call_pending)
		return;
	app->call_pending = true;
	app->heartbeat_sent_at = now;
	if (app->leaving)
		leave(app);
	else if (app->id[0] == '\0')
		announce(app);
	else
		send_heartbeat(app);
}

/* ---- Time -------------------------------------------------------------- */

struct delivery {
	struct app *app;
	char *attempt;
};

static void
free_delivery(void *arg)
{
	struct delivery *d = arg;

	g_free(d->attempt);
	g_free(d);
}

static void
on_delivered(void *arg, const struct gyp_httpc_result *res)
{
	struct delivery *d = arg;
	struct run *r = g_hash_table_lookup(d->app->runs, d->attempt);

	r->delivering = false;
	r->delivered = res->end == GYP_HTTPC_ANSWERED && res->status == 200;
}

static void
deliver(struct app *app, struct run *r)
{
	const char *headers[] = {
	    r->state == RUN_DONE ? "Gyp-State: done" : "Gyp-State: failed",
	    "Content-Type: text/plain", NULL};
	char *path = g_strdup_printf("/v1/attempts/%s/finished", r->attempt);
	char *url = entry_url(app, path);
	struct delivery *d = g_new0(struct delivery, 1);
	struct gyp_httpc_request req = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = r->answer,
	    .len = strlen(r->answer),
	    .response_max = 1024,
	    .timeout_ms = 2000,
	    .done = on_delivered,
	    .arg = d,
	    .free_arg = free_delivery};

	d->app = app;
	d->attempt = g_strdup(r->attempt);
	r->delivering = true;
	gyp_httpc_send(app->httpc, &req);
	g_free(url);
	g_free(path);
}

static void
check_run(struct app *app, struct run *r, uint64_t now)
{
	if (r->state == RUN_RUNNING && now > app->lease_end)
		end_run(app, r, RUN_FAILED);
	else if (r->state == RUN_RUNNING && now >= r->ends_at)
		end_run(app, r, r->fail ? RUN_FAILED : RUN_DONE);
	if (r->async && r->state != RUN_RUNNING && !r->delivered &&
	    !r->delivering)
		deliver(app, r);
}

static void
on_check(void *arg, uint64_t now)
{
	struct app *app = arg;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, app->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_run(app, value, now);
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	(void)w;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void
on_leave_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct app *app = w->data;

	(void)loop;
	(void)revents;
	app->leaving = true;
}

/* ---- Main -------------------------------------------------------------- */

static const struct gyp_httpd_owner_ops owner_ops = {.request = on_request};

static void
free_run(gpointer p)
{
	struct run *r = p;

	g_free(r->attempt);
	g_free(r->answer);
	g_free(r);
}

static bool
parse_options(struct options *o, int argc, char **argv)
{
	GOptionEntry entries[] = {{"name", 0, 0, G_OPTION_ARG_STRING, &o->name,
				      "Name of the endpoint", "S"},
	    {"listen", 0, 0, G_OPTION_ARG_STRING, &o->listen,
		"Address to listen on", "IP:PORT"},
	    {"entries", 0, 0, G_OPTION_ARG_STRING, &o->entries,
		"Addresses of the entries", "IP:PORT,..."},
	    {"rack", 0, 0, G_OPTION_ARG_STRING, &o->rack, "Rack", "S"},
	    {"data-centre", 0, 0, G_OPTION_ARG_STRING, &o->data_centre,
		"Data centre", "S"},
	    {"journal", 0, 0, G_OPTION_ARG_STRING, &o->journal,
		"File that records starts, throttle orders and ends", "FILE"},
	    {"cpu", 0, 0, G_OPTION_ARG_INT, &o->cpu_milli,
		"Processors, in thousandths", "N"},
	    {"memory", 0, 0, G_OPTION_ARG_INT, &o->memory_mib, "Memory, in MiB",
		"N"},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &o->slots, "Slots", "N"},
	    {"run-ms", 0, 0, G_OPTION_ARG_INT, &o->run_ms,
		"Default duration of a run, in ms", "N"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &error);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "gyp-endpoint: %s\n", error->message);
		g_error_free(error);
	}
	return ok && o->name != NULL && o->listen != NULL && o->entries != NULL;
}

int
main(int argc, char **argv)
{
	struct app app = {.o = {.rack = "rack-1",
			      .data_centre = "dc-1",
			      .cpu_milli = 32000,
			      .memory_mib = 65536,
			      .slots = 8,
			      .connections = 64,
			      .run_ms = 50},
	    .list_version = 1};
	struct gyp_error err = {.code = GYP_OK};
	ev_signal term, leaving;

	gyp_log_open("gyp-endpoint", GYP_LOG_INFO);
	if (!parse_options(&app.o, argc, argv))
		return 64;
	app.owner.ops = &owner_ops;
	app.entries = g_strsplit(app.o.entries, ",", -1);
	gyp_hex_format(
	    ((uint64_t)g_random_int() << 32) | g_random_int(), app.incarnation);
	app.runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_run);
	if (app.o.journal != NULL)
		app.journal = fopen(app.o.journal, "ae");
	app.loop = ev_default_loop(EVFLAG_AUTO);
	app.timers = gyp_timers_new(app.loop);
	app.httpc = gyp_httpc_new(app.loop, app.timers);
	app.httpd =
	    gyp_httpd_new(app.loop, app.timers, &app.owner, app.o.listen, &err);
	if (app.httpd == NULL) {
		gyp_log(GYP_LOG_ERR, "start-failed", "%s", err.message);
		return 1;
	}
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_start(app.loop, &term);
	ev_signal_init(&leaving, on_leave_signal, SIGUSR1);
	leaving.data = &app;
	ev_signal_start(app.loop, &leaving);
	gyp_timer_once(app.timers, 0, on_heartbeat_due, &app);
	gyp_timer_every(app.timers, HEARTBEAT_MS, on_heartbeat_due, &app);
	gyp_timer_every(app.timers, CHECK_MS, on_check, &app);
	ev_run(app.loop, 0);
	gyp_httpc_free(app.httpc);
	_Exit(0); /* open requests are cut off, as in a crash */
}
