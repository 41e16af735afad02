#include <string.h>

#include <glib.h>

#include "api_int.h"
#include "flow_json.h"

/* ---- Operators: reports ------------------------------------------------ */

static void
on_report_answer(struct gyp_api_request *p, const struct gyp_answer *a)
{
	char *line = g_strconcat(a->reply->json, "\n", NULL);

	gyp_http_reply(p->req, gyp_api_code_status(a->reply->code),
	    GYP_API_JSON_TYPE, line, strlen(line));
	g_free(line);
}

static void
send_preview(struct gyp_api *api, struct gyp_http_request *req)
{
	struct gyp_slice body = gyp_http_body(req);
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Admin msg = GYP__ADMIN__INIT;

	if (strcmp(gyp_http_method(req), "POST") != 0) {
		gyp_api_reply_error(req, 405, "expected POST");
		return;
	}
	if (body.len > GYP_FLOW_JSON_MAX) {
		gyp_api_reply_error(
		    req, 413, "expected at most 65536 bytes of JSON");
		return;
	}
	/* The text would be cut off at a NUL. */
	if (body.len > 0 && memchr(body.data, '\0', body.len) != NULL) {
		gyp_api_reply_error(req, 400, "expected text without NUL");
		return;
	}
	msg.op = GYP__ADMIN_OP__ADMIN_PREVIEW;
	msg.text = g_strndup((const char *)body.data, body.len);
	call.c_case = GYP__CALL__C_ADMIN;
	call.admin = &msg;
	gyp_api_call(
	    api, req, &call, GYP_API_CALL_TIMEOUT_MS, on_report_answer, NULL);
	g_free(msg.text);
}

/* Answers reports; other requests of operators are in api_rules.c. */
void
gyp_api_route_admin(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	static const struct {
		const char *name;
		Gyp__AdminOp op;
	} ops[] = {{"status", GYP__ADMIN_OP__ADMIN_STATUS},
	    {"endpoints", GYP__ADMIN_OP__ADMIN_ENDPOINTS},
	    {"members", GYP__ADMIN_OP__ADMIN_MEMBERS},
	    {"workspaces", GYP__ADMIN_OP__ADMIN_WORKSPACES}};
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Admin msg = GYP__ADMIN__INIT;
	size_t i;

	if (gyp_api_route_operations(api, req, seg, n))
		return;
	if (n == 2 && strcmp(seg[1], "preview") == 0) {
		send_preview(api, req);
		return;
	}
	for (i = 0; n == 2 && i < G_N_ELEMENTS(ops); i++) {
		if (strcmp(ops[i].name, seg[1]) != 0)
			continue;
		msg.op = ops[i].op;
		call.c_case = GYP__CALL__C_ADMIN;
		call.admin = &msg;
		gyp_api_call(api, req, &call, GYP_API_CALL_TIMEOUT_MS,
		    on_report_answer, NULL);
		return;
	}
	gyp_api_reply_error(req, 404, "no such report");
}
