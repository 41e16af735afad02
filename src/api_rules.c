#include <string.h>

#include <glib.h>

#include "api_int.h"
#include "json.h"
#include "rules.h"

/* Requests of operators: rules, explanations, drains and members. */

static void
on_operation_answer(struct gyp_api_request *p, const struct gyp_answer *a)
{
	const Gyp__Reply *reply = a->reply;
	unsigned status = gyp_api_code_status(reply->code);
	char *line;

	if (reply->json[0] == '\0') {
		gyp_api_reply_error(p->req, status, reply->message);
		return;
	}
	line = g_strconcat(reply->json, "\n", NULL);
	gyp_http_reply(p->req, status, GYP_API_JSON_TYPE, line, strlen(line));
	g_free(line);
}

static void
send_admin(struct gyp_api *api, struct gyp_http_request *req, Gyp__Admin *msg)
{
	Gyp__Call call = GYP__CALL__INIT;

	call.c_case = GYP__CALL__C_ADMIN;
	call.admin = msg;
	gyp_api_call(api, req, &call, GYP_API_CALL_TIMEOUT_MS,
	    on_operation_answer, NULL);
}

/* ---- Rules ------------------------------------------------------------- */

static void
send_rules(struct gyp_api *api, struct gyp_http_request *req, uint64_t base,
    uint32_t wait_ms, const char *text)
{
	const char *request = gyp_http_header(req, "Gyp-Request");
	const char *author = gyp_http_header(req, "Gyp-Author");
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdRules rules = GYP__CMD_RULES__INIT;

	rules.base_version = base;
	rules.request = request != NULL ? (char *)request : "";
	rules.author = author != NULL ? (char *)author : "";
	rules.text = (char *)text;
	call.wait_ms = wait_ms;
	call.c_case = GYP__CALL__C_RULES;
	call.rules = &rules;
	gyp_api_call(api, req, &call, wait_ms + GYP_API_CALL_TIMEOUT_MS,
	    on_operation_answer, NULL);
}

static void
apply_rules(struct gyp_api *api, struct gyp_http_request *req)
{
	const char *base_text = gyp_http_query(req, "base");
	struct gyp_slice body = gyp_http_body(req);
	uint32_t wait_ms;
	guint64 base;
	char *text;

	if (base_text == NULL || !g_ascii_string_to_unsigned(base_text, 10, 0,
				     INT64_MAX, &base, NULL)) {
		gyp_api_reply_error(req, 400,
		    "base: expected the version that the text was made from");
		return;
	}
	if (!gyp_api_parse_wait(req, &wait_ms)) {
		gyp_api_reply_error(req, 400, "wait_ms: expected 0 to 600000");
		return;
	}
	if (body.len > GYP_RULES_MAX) {
		gyp_api_reply_error(
		    req, 413, "expected at most 65536 bytes of rules");
		return;
	}
	/* The text would be cut off at a NUL. */
	if (body.len > 0 && memchr(body.data, '\0', body.len) != NULL) {
		gyp_api_reply_error(req, 400, "expected text without NUL");
		return;
	}
	text = g_strndup((const char *)body.data, body.len);
	send_rules(api, req, base, wait_ms, text);
	g_free(text);
}

static void
read_rules(
    struct gyp_api *api, struct gyp_http_request *req, const char *selector)
{
	Gyp__Admin msg = GYP__ADMIN__INIT;
	guint64 version = 0;

	msg.op = GYP__ADMIN_OP__ADMIN_RULES;
	if (selector != NULL && strcmp(selector, "history") == 0) {
		msg.op = GYP__ADMIN_OP__ADMIN_HISTORY;
	} else if (selector != NULL && !g_ascii_string_to_unsigned(selector, 10,
					   1, INT64_MAX, &version, NULL)) {
		gyp_api_reply_error(req, 404, "expected history or a version");
		return;
	}
	msg.version = version;
	send_admin(api, req, &msg);
}

static bool
route_rules(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	const char *method = gyp_http_method(req);

	if (n == 2 && strcmp(method, "POST") == 0)
		apply_rules(api, req);
	else if (n <= 3 && strcmp(method, "GET") == 0)
		read_rules(api, req, seg[2]);
	else
		return false;
	return true;
}

/* ---- Jobs, endpoints and members --------------------------------------- */

static bool
route_explain(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	Gyp__Admin msg = GYP__ADMIN__INIT;

	if (n != 4 || strcmp(seg[3], "explain") != 0 ||
	    strcmp(gyp_http_method(req), "GET") != 0)
		return false;
	msg.op = GYP__ADMIN_OP__ADMIN_EXPLAIN;
	if (gyp_hex_parse(seg[2], &msg.job))
		send_admin(api, req, &msg);
	else
		gyp_api_reply_error(req, 404, "no such job");
	return true;
}

static bool
route_drain(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	const char *method = gyp_http_method(req);
	Gyp__Admin msg = GYP__ADMIN__INIT;

	if (n != 4 || strcmp(seg[3], "drain") != 0)
		return false;
	msg.op = GYP__ADMIN_OP__ADMIN_DRAIN;
	msg.name = seg[2];
	msg.enable = strcmp(method, "POST") == 0;
	if (!msg.enable && strcmp(method, "DELETE") != 0)
		return false;
	send_admin(api, req, &msg);
	return true;
}

static bool
route_member(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	Gyp__Admin msg = GYP__ADMIN__INIT;

	if (n != 3 || strcmp(gyp_http_method(req), "DELETE") != 0)
		return false;
	msg.op = GYP__ADMIN_OP__ADMIN_REMOVE_MEMBER;
	msg.name = seg[2];
	send_admin(api, req, &msg);
	return true;
}

bool
gyp_api_route_operations(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	if (n >= 2 && strcmp(seg[1], "rules") == 0)
		return route_rules(api, req, seg, n);
	if (n >= 3 && strcmp(seg[1], "jobs") == 0)
		return route_explain(api, req, seg, n);
	if (n >= 3 && strcmp(seg[1], "endpoints") == 0)
		return route_drain(api, req, seg, n);
	if (n >= 3 && strcmp(seg[1], "members") == 0)
		return route_member(api, req, seg, n);
	return false;
}
