#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "door.h"
#include "jobspec.h"
#include "json.h"
#include "msg.h"
#include "state.h"
#include "timer.h"

/* Most path segments of a request. */
#define SEGMENTS_MAX 5

#define JSON_TYPE "application/json"

struct gyp_door {
	struct gyp_httpd_owner owner;
	struct gyp_entry_core *core;
	void (*flush)(void *arg);
	void *flush_arg;
	bool draining;
	uint32_t waiting;
};

/* A request whose call is not answered yet. */
struct pending {
	struct gyp_door *door;
	struct gyp_http_request *req;
	void (*reply)(struct pending *, const struct gyp_answer *);
	bool wait;     /* for the end of the job */
	bool raw;      /* the answer's bytes, not a description */
	uint32_t task; /* whose answer */
};

/* ---- Replies ----------------------------------------------------------- */

static void
reply_json(struct gyp_http_request *req, unsigned status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *line = g_strconcat(text, "\n", NULL);

	gyp_http_reply(req, status, JSON_TYPE, line, strlen(line));
	free(text); /* jansson's allocator */
	g_free(line);
	json_decref(json);
}

static void
reply_error(struct gyp_http_request *req, unsigned status, const char *message)
{
	reply_json(req, status, json_pack("{s:s}", "error", message));
}

static unsigned
http_status_of(enum gyp_status code)
{
	return code == GYP_TOO_LARGE ? 413 : 400;
}

static unsigned
http_status_of_code(Gyp__Code code)
{
	switch (code) {
	case GYP__CODE__CODE_OK:
		return 200;
	case GYP__CODE__CODE_ACCEPTED:
		return 202;
	case GYP__CODE__CODE_NOT_FOUND:
		return 404;
	case GYP__CODE__CODE_CONFLICT:
		return 409;
	case GYP__CODE__CODE_RETIRED:
		return 410;
	case GYP__CODE__CODE_BUSY:
		return 503;
	case GYP__CODE__CODE_BAD:
	default:
		return 400;
	}
}

static unsigned
http_status_of_outcome(Gyp__Outcome outcome)
{
	switch (outcome) {
	case GYP__OUTCOME__OUTCOME_DONE:
		return 200;
	case GYP__OUTCOME__OUTCOME_FAILED:
		return 502;
	case GYP__OUTCOME__OUTCOME_NOT_RUN:
		return 503;
	case GYP__OUTCOME__OUTCOME_UNKNOWN:
		return 504;
	default:
		return 202;
	}
}

/* An outcome that was settled at this entry, without a job. */
static void
reply_outcome(
    struct gyp_http_request *req, Gyp__Outcome outcome, const char *reason)
{
	gyp_http_add_header(req, "Gyp-Outcome", gyp_outcome_name(outcome));
	if (outcome == GYP__OUTCOME__OUTCOME_NOT_RUN)
		gyp_http_add_header(req, "Retry-After", "1");
	reply_json(req, http_status_of_outcome(outcome),
	    json_pack("{s:s,s:s}", "outcome", gyp_outcome_name(outcome),
		"reason", reason));
}

/* ---- Jobs -------------------------------------------------------------- */

static json_t *
task_json(const Gyp__CmdFinish *f)
{
	return json_pack("{s:s,s:I,s:I,s:s,s:I}", "outcome",
	    gyp_outcome_name(f->outcome), "task", (json_int_t)f->task,
	    "attempts", (json_int_t)f->attempt, "reason", f->reason, "status",
	    (json_int_t)f->http_status);
}

static json_t *
job_json(const Gyp__JobView *view)
{
	char id[GYP_HEX_MAX];
	json_t *tasks = json_array();
	size_t i;

	gyp_hex(view->job, id);
	for (i = 0; i < view->n_finishes; i++)
		json_array_append_new(tasks, task_json(view->finishes[i]));
	return json_pack("{s:s,s:s,s:s,s:I,s:o}", "job", id, "outcome",
	    gyp_outcome_name(view->outcome), "reason", view->reason, "running",
	    (json_int_t)view->running, "tasks", tasks);
}

static void
add_job_headers(struct gyp_http_request *req, const Gyp__JobView *view)
{
	char id[GYP_HEX_MAX];

	gyp_hex(view->job, id);
	gyp_http_add_header(req, "Gyp-Job", id);
	gyp_http_add_header(
	    req, "Gyp-Outcome", gyp_outcome_name(view->outcome));
	if (view->outcome == GYP__OUTCOME__OUTCOME_NOT_RUN)
		gyp_http_add_header(req, "Retry-After", "1");
}

/* The endpoint's answer, byte for byte. */
static void
reply_answer(struct gyp_http_request *req, const Gyp__CmdFinish *f)
{
	if (f->outcome == GYP__OUTCOME__OUTCOME_NONE)
		reply_error(req, 404, "the task has no answer yet");
	else if (f->answer_dropped)
		reply_error(req, 413, "the answer was larger than is kept");
	else
		gyp_http_reply(req, f->http_status != 0 ? f->http_status : 200,
		    f->content_type, f->answer.data, f->answer.len);
}

static void
reply_job(struct pending *p, const Gyp__JobView *view)
{
	bool whole = p->raw || (p->wait && view->n_finishes == 1 &&
				   view->outcome == GYP__OUTCOME__OUTCOME_DONE);

	add_job_headers(p->req, view);
	if (whole && p->task < view->n_finishes)
		reply_answer(p->req, view->finishes[p->task]);
	else if (p->raw)
		reply_error(p->req, 404, "no such task");
	else
		reply_json(p->req,
		    p->wait ? http_status_of_outcome(view->outcome)
			    : (view->outcome == 0 ? 202u : 200u),
		    job_json(view));
}

static void
on_job_answer(struct pending *p, const struct gyp_answer *a)
{
	const Gyp__Reply *reply = a->reply;

	if (reply->job != NULL)
		reply_job(p, reply->job);
	else
		reply_error(
		    p->req, http_status_of_code(reply->code), reply->message);
}

/* Time is over: the truth depends on what may have been heard of the call. */
static void
on_submit_timeout(struct pending *p, const struct gyp_answer *a)
{
	char id[GYP_HEX_MAX];

	if (a->job != 0) {
		gyp_hex(a->job, id);
		gyp_http_add_header(p->req, "Gyp-Job", id);
		reply_json(p->req, 202,
		    json_pack("{s:s,s:s}", "job", id, "outcome", "none"));
	} else if (a->sent) {
		reply_outcome(p->req, GYP__OUTCOME__OUTCOME_UNKNOWN,
		    "no answer from the cell; resend with the same key");
	} else {
		reply_outcome(p->req, GYP__OUTCOME__OUTCOME_NOT_RUN,
		    "the cell could not be reached");
	}
}

static void
on_submit_answer(struct pending *p, const struct gyp_answer *a)
{
	if (a->reply == NULL)
		on_submit_timeout(p, a);
	else
		on_job_answer(p, a);
}

/* ---- Calls ------------------------------------------------------------- */

static void
make_call(struct gyp_door *door, struct gyp_http_request *req,
    const Gyp__Call *call, uint32_t timeout_ms,
    void (*reply)(struct pending *, const struct gyp_answer *),
    const struct pending *options)
{
	struct pending *p = g_new0(struct pending, 1);

	if (options != NULL)
		*p = *options;
	p->door = door;
	p->req = req;
	p->reply = reply;
	door->waiting++;
	gyp_entry_call(door->core, gyp_clock_ms(), call, timeout_ms, p);
}

void
gyp_door_answer(struct gyp_door *door, struct gyp_answer *a)
{
	struct pending *p = a->owner;

	if (p == NULL || (!a->final && p->wait)) {
		gyp_message_free(a->reply);
		return;
	}
	if (!a->final)
		gyp_entry_forget(door->core, a->call);
	if (a->reply == NULL && p->reply != on_submit_answer)
		reply_error(p->req, 503, "no answer from the cell");
	else
		p->reply(p, a);
	gyp_message_free(a->reply);
	g_free(p);
	door->waiting--;
}

/* False when the argument is there but not a time. */
static bool
wait_of(const struct gyp_http_request *req, uint32_t *wait_ms)
{
	const char *text = gyp_http_query(req, "wait_ms");
	guint64 v;

	*wait_ms = 0;
	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, GYP_WAIT_MAX_MS, &v, NULL))
		return false;
	*wait_ms = (uint32_t)v;
	return true;
}

static void
submit_job(struct gyp_door *door, struct gyp_http_request *req)
{
	const char *key = gyp_http_header(req, "Idempotency-Key");
	char *drawn = NULL;
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdSubmit submit = GYP__CMD_SUBMIT__INIT;
	struct pending options = {.raw = false};
	struct gyp_error err = {.code = GYP_OK};
	uint32_t wait_ms;

	if (door->draining) {
		reply_outcome(req, GYP__OUTCOME__OUTCOME_NOT_RUN,
		    "this entry is shutting down");
		return;
	}
	if (!wait_of(req, &wait_ms)) {
		reply_error(req, 400, "wait_ms: expected 0 to 600000");
		return;
	}
	if (key == NULL)
		key = drawn = g_uuid_string_random();
	if (gyp_jobspec_parse(gyp_http_body(req), key, &submit.spec, &err) !=
	    GYP_OK) {
		reply_error(req, http_status_of(err.code), err.message);
		g_free(drawn);
		return;
	}
	call.c_case = GYP__CALL__C_SUBMIT;
	call.submit = &submit;
	options.wait = wait_ms > 0;
	make_call(door, req, &call, wait_ms > 0 ? wait_ms : GYP_CALL_MS,
	    on_submit_answer, &options);
	gyp_message_free(submit.spec);
	g_free(drawn);
}

static void
read_job(struct gyp_door *door, struct gyp_http_request *req, uint64_t job,
    const char *task)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__ReadJob read = GYP__READ_JOB__INIT;
	struct pending options = {.raw = task != NULL};
	uint32_t wait_ms;
	guint64 index = 0;

	if (!wait_of(req, &wait_ms) ||
	    (task != NULL && !g_ascii_string_to_unsigned(task, 10, 0,
				 GYP_TASKS_MAX - 1, &index, NULL))) {
		reply_error(req, 400, "wait_ms or task: expected a number");
		return;
	}
	options.task = (uint32_t)index;
	options.wait = wait_ms > 0;
	read.job = job;
	read.task = (uint32_t)index;
	read.answer = true;
	read.subscribe = wait_ms > 0;
	call.c_case = GYP__CALL__C_READ_JOB;
	call.read_job = &read;
	make_call(door, req, &call, wait_ms > 0 ? wait_ms : GYP_CALL_MS,
	    on_job_answer, &options);
}

static void
cancel_job(struct gyp_door *door, struct gyp_http_request *req, uint64_t job)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

	cancel.job = job;
	cancel.reason = "cancelled by its caller";
	call.c_case = GYP__CALL__C_CANCEL;
	call.cancel = &cancel;
	make_call(door, req, &call, GYP_CALL_MS, on_job_answer, NULL);
}

/* ---- Endpoints --------------------------------------------------------- */

static const struct gyp_json_field announce_fields[] = {{"name", JSON_STRING},
    {"address", JSON_STRING}, {"rack", JSON_STRING},
    {"data_centre", JSON_STRING}, {"incarnation", JSON_STRING},
    {"cpu_milli", JSON_INTEGER}, {"memory_bytes", JSON_INTEGER},
    {"accelerators", JSON_INTEGER}, {"slots", JSON_INTEGER},
    {"connections", JSON_INTEGER}};

static const struct gyp_json_field beat_fields[] = {
    {"incarnation", JSON_STRING}, {"clock_ms", JSON_INTEGER},
    {"used", JSON_OBJECT}, {"running", JSON_ARRAY}};

static void
on_endpoint_answer(struct pending *p, const struct gyp_answer *a)
{
	const Gyp__Reply *reply = a->reply;
	char id[GYP_HEX_MAX];
	json_t *stop;
	size_t i;

	if (reply->code != GYP__CODE__CODE_OK) {
		reply_error(
		    p->req, http_status_of_code(reply->code), reply->message);
		return;
	}
	stop = json_array();
	for (i = 0; i < reply->n_stop; i++) {
		const Gyp__Attempt *at = reply->stop[i];

		json_array_append_new(
		    stop, json_sprintf("%" G_GINT64_MODIFIER "x.%x.%x", at->job,
			      at->task, at->attempt));
	}
	gyp_hex(reply->endpoint, id);
	reply_json(p->req, 200,
	    json_pack("{s:s,s:I,s:o}", "endpoint", id, "lease_ms",
		(json_int_t)reply->lease_ms, "stop", stop));
}

static void
fill_res(json_t *json, Gyp__Res *res)
{
	res->cpu_milli = (uint32_t)gyp_json_u64(json, "cpu_milli");
	res->memory = gyp_json_u64(json, "memory_bytes");
	res->accel = (uint32_t)gyp_json_u64(json, "accelerators");
	res->slots = (uint32_t)gyp_json_u64(json, "slots");
}

static void
announce(struct gyp_door *door, struct gyp_http_request *req)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res res = GYP__RES__INIT;
	struct gyp_error err = {.code = GYP_OK};
	json_t *json = gyp_json_parse(gyp_http_body(req), announce_fields,
	    G_N_ELEMENTS(announce_fields), &err);

	if (json == NULL) {
		reply_error(req, 400, err.message);
		return;
	}
	ep.name = (char *)gyp_json_string(json, "name", "");
	ep.address = (char *)gyp_json_string(json, "address", "");
	ep.rack = (char *)gyp_json_string(json, "rack", "");
	ep.data_centre = (char *)gyp_json_string(json, "data_centre", "");
	ep.connections = (uint32_t)gyp_json_u64(json, "connections");
	fill_res(json, &res);
	ep.capacity = &res;
	if (ep.name[0] == '\0' || ep.address[0] == '\0' ||
	    !gyp_hex_parse(
		gyp_json_string(json, "incarnation", ""), &ep.incarnation)) {
		reply_error(req, 400,
		    "name, address and incarnation (hexadecimal) are needed");
	} else {
		call.c_case = GYP__CALL__C_ANNOUNCE;
		call.announce = &ep;
		make_call(
		    door, req, &call, GYP_CALL_MS, on_endpoint_answer, NULL);
	}
	json_decref(json);
}

static bool
parse_attempt(const char *text, Gyp__Attempt *a)
{
	char **parts = g_strsplit(text, ".", 4);
	uint64_t v[3];
	bool ok = g_strv_length(parts) == 3 && gyp_hex_parse(parts[0], &v[0]) &&
		  gyp_hex_parse(parts[1], &v[1]) &&
		  gyp_hex_parse(parts[2], &v[2]) && v[1] <= UINT32_MAX &&
		  v[2] <= UINT32_MAX;

	g_strfreev(parts);
	gyp__attempt__init(a);
	if (!ok)
		return false;
	a->job = v[0];
	a->task = (uint32_t)v[1];
	a->attempt = (uint32_t)v[2];
	return true;
}

static void
send_beat(struct gyp_door *door, struct gyp_http_request *req, json_t *json,
    Gyp__Beat *beat)
{
	json_t *running = json_object_get(json, "running");
	size_t i, n = json_array_size(running);
	Gyp__Attempt *attempts = g_new(Gyp__Attempt, n + 1);
	Gyp__Call call = GYP__CALL__INIT;

	beat->running = g_new(Gyp__Attempt *, n + 1);
	for (i = 0; i < n; i++) {
		const char *text =
		    json_string_value(json_array_get(running, i));

		if (text == NULL ||
		    !parse_attempt(text, &attempts[beat->n_running]))
			continue;
		beat->running[beat->n_running] = &attempts[beat->n_running];
		beat->n_running++;
	}
	call.c_case = GYP__CALL__C_BEAT;
	call.beat = beat;
	make_call(door, req, &call, GYP_CALL_MS, on_endpoint_answer, NULL);
	g_free(beat->running);
	g_free(attempts);
}

static void
heartbeat(struct gyp_door *door, struct gyp_http_request *req, uint64_t id)
{
	Gyp__Beat beat = GYP__BEAT__INIT;
	Gyp__Res used = GYP__RES__INIT;
	struct gyp_error err = {.code = GYP_OK};
	json_t *json = gyp_json_parse(
	    gyp_http_body(req), beat_fields, G_N_ELEMENTS(beat_fields), &err);

	if (json == NULL) {
		reply_error(req, 400, err.message);
		return;
	}
	fill_res(json_object_get(json, "used"), &used);
	beat.used = &used;
	beat.endpoint = id;
	beat.clock_ms = gyp_json_u64(json, "clock_ms");
	if (beat.clock_ms == 0 ||
	    !gyp_hex_parse(
		gyp_json_string(json, "incarnation", ""), &beat.incarnation))
		reply_error(req, 400, "incarnation and clock_ms are needed");
	else
		send_beat(door, req, json, &beat);
	json_decref(json);
}

static void
leave(struct gyp_door *door, struct gyp_http_request *req, uint64_t id)
{
	Gyp__Call call = GYP__CALL__INIT;

	call.c_case = GYP__CALL__C_LEAVE;
	call.leave = id;
	make_call(door, req, &call, GYP_CALL_MS, on_endpoint_answer, NULL);
}

/* The end of an attempt that the endpoint took with 202. */
static void
finished(struct gyp_door *door, struct gyp_http_request *req, const char *key)
{
	const char *state = gyp_http_header(req, "Gyp-State");
	const char *type = gyp_http_header(req, "Content-Type");
	struct gyp_slice body = gyp_http_body(req);
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdFinish f = GYP__CMD_FINISH__INIT;
	Gyp__Attempt a;
	bool done = g_strcmp0(state, "done") == 0;

	if (!parse_attempt(key, &a) ||
	    (!done && g_strcmp0(state, "failed") != 0)) {
		reply_error(req, 400,
		    "expected an attempt and Gyp-State: done or failed");
		return;
	}
	f.job = a.job;
	f.task = a.task;
	f.attempt = a.attempt;
	f.outcome =
	    done ? GYP__OUTCOME__OUTCOME_DONE : GYP__OUTCOME__OUTCOME_FAILED;
	f.http_status = 200;
	f.content_type = type != NULL ? (char *)type : "";
	f.reason = done ? "" : "failed at the endpoint";
	f.answer_dropped = body.len > GYP_ANSWER_MAX;
	if (!f.answer_dropped) {
		f.answer.data = (uint8_t *)body.data;
		f.answer.len = body.len;
	}
	call.c_case = GYP__CALL__C_REPORT;
	call.report = &f;
	make_call(door, req, &call, GYP_CALL_MS, on_endpoint_answer, NULL);
}

/* ---- Operators --------------------------------------------------------- */

static void
on_admin_answer(struct pending *p, const struct gyp_answer *a)
{
	char *line = g_strconcat(a->reply->json, "\n", NULL);

	gyp_http_reply(p->req, http_status_of_code(a->reply->code), JSON_TYPE,
	    line, strlen(line));
	g_free(line);
}

static void
admin(struct gyp_door *door, struct gyp_http_request *req, const char *what)
{
	static const struct {
		const char *name;
		Gyp__AdminOp op;
	} ops[] = {{"status", GYP__ADMIN_OP__ADMIN_STATUS},
	    {"endpoints", GYP__ADMIN_OP__ADMIN_ENDPOINTS},
	    {"members", GYP__ADMIN_OP__ADMIN_MEMBERS}};
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Admin msg = GYP__ADMIN__INIT;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		if (strcmp(ops[i].name, what) != 0)
			continue;
		msg.op = ops[i].op;
		call.c_case = GYP__CALL__C_ADMIN;
		call.admin = &msg;
		make_call(door, req, &call, GYP_CALL_MS, on_admin_answer, NULL);
		return;
	}
	reply_error(req, 404, "no such report");
}

/* ---- Routes ------------------------------------------------------------ */

static void
route_jobs(
    struct gyp_door *door, struct gyp_http_request *req, char **seg, guint n)
{
	const char *method = gyp_http_method(req);
	uint64_t id = 0;

	if (n == 1 && strcmp(method, "POST") == 0)
		submit_job(door, req);
	else if (n >= 2 && !gyp_hex_parse(seg[1], &id))
		reply_error(req, 404, "no such job");
	else if (n == 2 && strcmp(method, "GET") == 0)
		read_job(door, req, id, NULL);
	else if (n == 2 && strcmp(method, "DELETE") == 0)
		cancel_job(door, req, id);
	else if (n == 5 && strcmp(method, "GET") == 0 &&
		 strcmp(seg[2], "tasks") == 0 && strcmp(seg[4], "answer") == 0)
		read_job(door, req, id, seg[3]);
	else
		reply_error(req, 405, "method or path not known");
}

static void
route_endpoints(
    struct gyp_door *door, struct gyp_http_request *req, char **seg, guint n)
{
	const char *method = gyp_http_method(req);
	uint64_t id = 0;

	if (n == 1 && strcmp(method, "POST") == 0)
		announce(door, req);
	else if (n >= 2 && !gyp_hex_parse(seg[1], &id))
		reply_error(req, 404, "no such endpoint");
	else if (n == 2 && strcmp(method, "DELETE") == 0)
		leave(door, req, id);
	else if (n == 3 && strcmp(method, "POST") == 0 &&
		 strcmp(seg[2], "heartbeat") == 0)
		heartbeat(door, req, id);
	else
		reply_error(req, 405, "method or path not known");
}

static void
route(struct gyp_door *door, struct gyp_http_request *req, char **seg, guint n)
{
	if (n >= 1 && strcmp(seg[0], "jobs") == 0)
		route_jobs(door, req, seg, n);
	else if (n >= 1 && strcmp(seg[0], "endpoints") == 0)
		route_endpoints(door, req, seg, n);
	else if (n == 3 && strcmp(seg[0], "attempts") == 0 &&
		 strcmp(seg[2], "finished") == 0)
		finished(door, req, seg[1]);
	else if (n == 2 && strcmp(seg[0], "admin") == 0)
		admin(door, req, seg[1]);
	else
		reply_error(req, 404, "no such path");
}

static void
on_request(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	struct gyp_door *door = (struct gyp_door *)owner;
	const char *path = gyp_http_path(req);
	char **seg;

	if (!g_str_has_prefix(path, "/v1/")) {
		reply_error(req, 404, "no such path");
		return;
	}
	seg = g_strsplit(path + strlen("/v1/"), "/", SEGMENTS_MAX + 1);
	route(door, req, seg, g_strv_length(seg));
	g_strfreev(seg);
	door->flush(door->flush_arg);
}

static const struct gyp_httpd_owner_ops owner_ops = {.request = on_request};

struct gyp_door *
gyp_door_new(struct gyp_entry_core *core, void (*flush)(void *arg), void *arg)
{
	struct gyp_door *door = g_new0(struct gyp_door, 1);

	door->owner.ops = &owner_ops;
	door->core = core;
	door->flush = flush;
	door->flush_arg = arg;
	return door;
}

void
gyp_door_free(struct gyp_door *door)
{
	g_free(door);
}

struct gyp_httpd_owner *
gyp_door_httpd_owner(struct gyp_door *door)
{
	return &door->owner;
}

void
gyp_door_drain(struct gyp_door *door)
{
	door->draining = true;
}

uint32_t
gyp_door_waiting(const struct gyp_door *door)
{
	return door->waiting;
}
