#include <string.h>

#include <glib.h>

#include "api_int.h"
#include "json.h"
#include "state.h"

/* ---- Endpoints --------------------------------------------------------- */

/* Fewest connections of an endpoint: one for each of up to seven entries. */
#define CONNECTIONS_MIN 7

static const struct gyp_json_field announce_fields[] = {{"name", JSON_STRING},
    {"address", JSON_STRING}, {"rack", JSON_STRING},
    {"data_centre", JSON_STRING}, {"incarnation", JSON_STRING},
    {"cpu_milli", JSON_INTEGER}, {"memory_bytes", JSON_INTEGER},
    {"accelerators", JSON_INTEGER}, {"slots", JSON_INTEGER},
    {"connections", JSON_INTEGER}};

static const struct gyp_json_field heartbeat_fields[] = {
    {"incarnation", JSON_STRING}, {"clock_ms", JSON_INTEGER},
    {"used", JSON_OBJECT}, {"list", JSON_INTEGER}, {"running", JSON_ARRAY},
    {"usage", JSON_ARRAY}};

static void
on_endpoint_answer(struct gyp_api_request *p, const struct gyp_answer *a)
{
	const Gyp__Reply *reply = a->reply;
	char id[GYP_HEX_MAX];
	json_t *stop;
	size_t i;

	if (reply->code != GYP__CODE__CODE_OK) {
		gyp_api_reply_error(
		    p->req, gyp_api_code_status(reply->code), reply->message);
		return;
	}
	if (reply->endpoint == 0) {
		gyp_api_reply_json(p->req, 200, json_object());
		return;
	}
	stop = json_array();
	for (i = 0; i < reply->n_stop; i++) {
		const Gyp__Attempt *at = reply->stop[i];

		json_array_append_new(
		    stop, json_sprintf("%" G_GINT64_MODIFIER "x.%x.%x", at->job,
			      at->task, at->attempt));
	}
	gyp_hex_format(reply->endpoint, id);
	gyp_api_reply_json(p->req, 200,
	    json_pack("{s:s,s:I,s:b,s:o}", "endpoint", id, "lease_ms",
		(json_int_t)reply->lease_ms, "resend", (int)reply->resend,
		"stop", stop));
}

static void
parse_res(json_t *json, Gyp__Res *res)
{
	res->cpu_milli = (uint32_t)gyp_json_u64(json, "cpu_milli");
	res->memory = gyp_json_u64(json, "memory_bytes");
	res->accel = (uint32_t)gyp_json_u64(json, "accelerators");
	res->slots = (uint32_t)gyp_json_u64(json, "slots");
}

static void
announce(struct gyp_api *api, struct gyp_http_request *req)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res res = GYP__RES__INIT;
	struct gyp_error err = {.code = GYP_OK};
	json_t *json = gyp_json_parse(gyp_http_body(req), announce_fields,
	    G_N_ELEMENTS(announce_fields), &err);

	if (json == NULL) {
		gyp_api_reply_error(req, 400, err.message);
		return;
	}
	ep.name = (char *)gyp_json_string(json, "name", "");
	ep.address = (char *)gyp_json_string(json, "address", "");
	ep.rack = (char *)gyp_json_string(json, "rack", "");
	ep.data_centre = (char *)gyp_json_string(json, "data_centre", "");
	ep.connections = (uint32_t)gyp_json_u64(json, "connections");
	parse_res(json, &res);
	ep.capacity = &res;
	if (ep.name[0] == '\0' || ep.address[0] == '\0' ||
	    !gyp_hex_parse(
		gyp_json_string(json, "incarnation", ""), &ep.incarnation) ||
	    ep.connections < CONNECTIONS_MIN) {
		gyp_api_reply_error(req, 400,
		    "needed: name, address, incarnation (hexadecimal) and "
		    "connections (7 or more, one for each entry)");
	} else {
		call.c_case = GYP__CALL__C_ANNOUNCE;
		call.announce = &ep;
		gyp_api_call(api, req, &call, GYP_API_CALL_TIMEOUT_MS,
		    on_endpoint_answer, NULL);
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

/* The attempts that a heartbeat lists; each array is one allocation. */
struct attempt_list {
	Gyp__Attempt *attempts;
	Gyp__Res *used;
	Gyp__Attempt **pointers;
	size_t n;
};

static void
init_list(struct attempt_list *l, size_t n)
{
	l->attempts = g_new(Gyp__Attempt, n + 1);
	l->used = g_new(Gyp__Res, n + 1);
	l->pointers = g_new(Gyp__Attempt *, n + 1);
	l->n = 0;
}

static void
clear_list(struct attempt_list *l)
{
	g_free(l->attempts);
	g_free(l->used);
	g_free(l->pointers);
}

/* Appends an attempt. Returns false when the text is not an attempt. */
static bool
add_attempt(struct attempt_list *l, const char *text)
{
	if (text == NULL || !parse_attempt(text, &l->attempts[l->n]))
		return false;
	l->pointers[l->n] = &l->attempts[l->n];
	l->n++;
	return true;
}

static bool
parse_running(struct attempt_list *l, json_t *running)
{
	size_t i;

	for (i = 0; i < json_array_size(running); i++) {
		if (!add_attempt(
			l, json_string_value(json_array_get(running, i))))
			return false;
	}
	return true;
}

static bool
parse_usage(struct attempt_list *l, json_t *usage)
{
	size_t i;

	for (i = 0; i < json_array_size(usage); i++) {
		json_t *item = json_array_get(usage, i);
		size_t at = l->n;

		if (!add_attempt(l, gyp_json_string(item, "attempt", NULL)))
			return false;
		gyp__res__init(&l->used[at]);
		parse_res(item, &l->used[at]);
		l->attempts[at].used = &l->used[at];
	}
	return true;
}

/*
 * A heartbeat may omit "running"; the list that was sent before with the same
 * number is then still current.
 */
static void
send_heartbeat(struct gyp_api *api, struct gyp_http_request *req, json_t *json,
    Gyp__Beat *beat)
{
	json_t *running = json_object_get(json, "running");
	json_t *usage = json_object_get(json, "usage");
	struct attempt_list listed, measured;
	Gyp__Call call = GYP__CALL__INIT;

	init_list(&listed, json_array_size(running));
	init_list(&measured, json_array_size(usage));
	if (parse_running(&listed, running) && parse_usage(&measured, usage)) {
		beat->unchanged = running == NULL;
		beat->list = (uint32_t)gyp_json_u64(json, "list");
		beat->running = listed.pointers;
		beat->n_running = listed.n;
		beat->usage = measured.pointers;
		beat->n_usage = measured.n;
		call.c_case = GYP__CALL__C_BEAT;
		call.beat = beat;
		gyp_api_call(api, req, &call, GYP_API_CALL_TIMEOUT_MS,
		    on_endpoint_answer, NULL);
	} else {
		gyp_api_reply_error(
		    req, 400, "running or usage: expected attempts");
	}
	clear_list(&listed);
	clear_list(&measured);
}

static void
heartbeat(struct gyp_api *api, struct gyp_http_request *req, uint64_t id)
{
	Gyp__Beat beat = GYP__BEAT__INIT;
	Gyp__Res used = GYP__RES__INIT;
	struct gyp_error err = {.code = GYP_OK};
	json_t *json = gyp_json_parse(gyp_http_body(req), heartbeat_fields,
	    G_N_ELEMENTS(heartbeat_fields), &err);

	if (json == NULL) {
		gyp_api_reply_error(req, 400, err.message);
		return;
	}
	parse_res(json_object_get(json, "used"), &used);
	beat.used = &used;
	beat.endpoint = id;
	beat.clock_ms = gyp_json_u64(json, "clock_ms");
	if (beat.clock_ms == 0 ||
	    !gyp_hex_parse(
		gyp_json_string(json, "incarnation", ""), &beat.incarnation))
		gyp_api_reply_error(
		    req, 400, "incarnation and clock_ms are needed");
	else
		send_heartbeat(api, req, json, &beat);
	json_decref(json);
}

static void
leave(struct gyp_api *api, struct gyp_http_request *req, uint64_t id)
{
	Gyp__Call call = GYP__CALL__INIT;

	call.c_case = GYP__CALL__C_LEAVE;
	call.leave = id;
	gyp_api_call(
	    api, req, &call, GYP_API_CALL_TIMEOUT_MS, on_endpoint_answer, NULL);
}

/* Reports the end of an attempt whose start the endpoint answered with 202. */
static void
report_finished(
    struct gyp_api *api, struct gyp_http_request *req, const char *key)
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
		gyp_api_reply_error(req, 400,
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
	gyp_api_call(
	    api, req, &call, GYP_API_CALL_TIMEOUT_MS, on_endpoint_answer, NULL);
}

void
gyp_api_route_endpoints(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	const char *method = gyp_http_method(req);
	uint64_t id = 0;

	if (n == 1 && strcmp(method, "POST") == 0)
		announce(api, req);
	else if (n >= 2 && !gyp_hex_parse(seg[1], &id))
		gyp_api_reply_error(req, 404, "no such endpoint");
	else if (n == 2 && strcmp(method, "DELETE") == 0)
		leave(api, req, id);
	else if (n == 3 && strcmp(method, "POST") == 0 &&
		 strcmp(seg[2], "heartbeat") == 0)
		heartbeat(api, req, id);
	else
		gyp_api_reply_error(req, 405, "method or path not known");
}

void
gyp_api_route_attempts(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	if (n == 3 && strcmp(seg[2], "finished") == 0 &&
	    strcmp(gyp_http_method(req), "POST") == 0)
		report_finished(api, req, seg[1]);
	else
		gyp_api_reply_error(req, 405, "method or path not known");
}
