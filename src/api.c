#include <string.h>

#include <glib.h>

#include "api_int.h"
#include "msg.h"
#include "state.h"
#include "timer.h"

/* Largest number of path segments after "/v1/". */
#define SEGMENTS_MAX 5

/* ---- Replies ----------------------------------------------------------- */

void
gyp_api_reply_json(struct gyp_http_request *req, unsigned status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *line = g_strconcat(text, "\n", NULL);

	gyp_http_reply(req, status, GYP_API_JSON_TYPE, line, strlen(line));
	free(text); /* allocated by jansson */
	g_free(line);
	json_decref(json);
}

void
gyp_api_reply_error(
    struct gyp_http_request *req, unsigned status, const char *message)
{
	gyp_api_reply_json(req, status, json_pack("{s:s}", "error", message));
}

unsigned
gyp_api_code_status(Gyp__Code code)
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
	case GYP__CODE__CODE_REFUSED:
		return 410;
	case GYP__CODE__CODE_BUSY:
		return 503;
	case GYP__CODE__CODE_BAD:
	default:
		return 400;
	}
}

unsigned
gyp_api_outcome_status(Gyp__Outcome outcome)
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

void
gyp_api_reply_outcome(
    struct gyp_http_request *req, Gyp__Outcome outcome, const char *reason)
{
	gyp_http_add_header(req, "Gyp-Outcome", gyp_outcome_name(outcome));
	if (outcome == GYP__OUTCOME__OUTCOME_NOT_RUN)
		gyp_http_add_header(req, "Retry-After", "1");
	gyp_api_reply_json(req, gyp_api_outcome_status(outcome),
	    json_pack("{s:s,s:s}", "outcome", gyp_outcome_name(outcome),
		"reason", reason));
}

static bool
is_submit(const struct gyp_http_request *req)
{
	return strcmp(gyp_http_method(req), "POST") == 0 &&
	       strcmp(gyp_http_path(req), "/v1/jobs") == 0;
}

/*
 * An earlier request with the same key may have been accepted through another
 * entry. So the outcome is not_run only for a request without a key, which
 * cannot be a resend.
 */
Gyp__Outcome
gyp_api_reply_unavailable(struct gyp_http_request *req, const char *reason)
{
	bool resend = gyp_http_header(req, "Idempotency-Key") != NULL;
	Gyp__Outcome outcome = resend ? GYP__OUTCOME__OUTCOME_UNKNOWN
				      : GYP__OUTCOME__OUTCOME_NOT_RUN;

	gyp_http_add_header(req, "Retry-After", "1");
	if (!is_submit(req)) {
		gyp_api_reply_error(req, 503, reason);
		return GYP__OUTCOME__OUTCOME_NONE;
	}
	gyp_http_add_header(req, "Gyp-Outcome", gyp_outcome_name(outcome));
	gyp_api_reply_json(req, 503,
	    json_pack("{s:s,s:s}", "outcome", gyp_outcome_name(outcome),
		"reason", reason));
	return outcome;
}

/* ---- Calls ------------------------------------------------------------- */

static void
free_request(struct gyp_api_request *p)
{
	p->api->pending--;
	g_free(p->class_name);
	g_free(p);
}

void
gyp_api_call(struct gyp_api *api, struct gyp_http_request *req,
    const Gyp__Call *call, uint32_t timeout_ms,
    void (*reply)(struct gyp_api_request *, const struct gyp_answer *),
    const struct gyp_api_request *options)
{
	struct gyp_api_request *p = g_new0(struct gyp_api_request, 1);

	if (options != NULL)
		*p = *options;
	p->api = api;
	p->req = req;
	p->reply = reply;
	p->received_ms = gyp_clock_ms();
	api->pending++;
	if (gyp_entry_call(api->core, p->received_ms, call, timeout_ms, p) != 0)
		return;
	gyp_count(api->counters, "gyp_refused_total", "reason=\"full\"", 1);
	gyp_api_reply_unavailable(req, "too many requests wait at this entry");
	free_request(p);
}

void
gyp_api_handle_answer(struct gyp_api *api, struct gyp_answer *a)
{
	struct gyp_api_request *p = a->owner;

	if (p == NULL || (!a->final && p->wait)) {
		gyp_message_free(a->reply);
		return;
	}
	if (!a->final)
		gyp_entry_drop_call(api->core, a->call);
	if (a->reply == NULL && !p->submit)
		gyp_api_reply_error(p->req, 503, "no answer from the cell");
	else
		p->reply(p, a);
	gyp_message_free(a->reply);
	free_request(p);
}

bool
gyp_api_parse_wait(const struct gyp_http_request *req, uint32_t *wait_ms)
{
	const char *text = gyp_http_query(req, "wait_ms");
	guint64 v;

	*wait_ms = 0;
	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(
		text, 10, 0, GYP_API_WAIT_MAX_MS, &v, NULL))
		return false;
	*wait_ms = (uint32_t)v;
	return true;
}

/* ---- Routes ------------------------------------------------------------ */

/* Health check for load balancers: 200 while new requests are accepted. */
static void
health(struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	const char *state = api->draining ? "draining" : "serving";

	(void)seg;
	(void)n;
	gyp_api_reply_json(req, api->draining ? 503u : 200u,
	    json_pack("{s:s}", "state", state));
}

struct route {
	const char *name;
	void (*handle)(
	    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);
	bool while_draining;
};

static const struct route routes[] = {
    {"jobs", gyp_api_route_jobs, false},
    {"keys", gyp_api_route_keys, false},
    {"endpoints", gyp_api_route_endpoints, false},
    {"attempts", gyp_api_route_attempts, false},
    {"admin", gyp_api_route_admin, true},
    {"health", health, true},
};

/* Replies 503 and closes the connection: the caller must use another entry. */
static void
refuse_draining(struct gyp_api *api, struct gyp_http_request *req)
{
	gyp_count(api->counters, "gyp_refused_total", "reason=\"draining\"", 1);
	gyp_http_add_header(req, "Connection", "close");
	gyp_api_reply_unavailable(req, "this entry is shutting down");
}

static void
route_request(
    struct gyp_api *api, struct gyp_http_request *req, char **seg, guint n)
{
	size_t i;

	for (i = 0; n > 0 && i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].name, seg[0]) != 0)
			continue;
		if (api->draining && !routes[i].while_draining)
			refuse_draining(api, req);
		else
			routes[i].handle(api, req, seg, n);
		return;
	}
	gyp_api_reply_error(req, 404, "no such path");
}

static void
reply_metrics(struct gyp_api *api, struct gyp_http_request *req)
{
	char *text;

	gyp_gauge(api->counters, "gyp_open_requests", "", api->pending);
	gyp_gauge(api->counters, "gyp_open_attempts", "",
	    gyp_entry_open_attempts(api->core));
	text = gyp_counters_text(api->counters);
	gyp_http_reply(
	    req, 200, "text/plain; version=0.0.4", text, strlen(text));
	g_free(text);
}

static void
on_request(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	struct gyp_api *api = (struct gyp_api *)owner;
	const char *path = gyp_http_path(req);
	char **seg;

	if (strcmp(path, "/metrics") == 0) {
		reply_metrics(api, req);
		return;
	}
	if (!g_str_has_prefix(path, "/v1/")) {
		gyp_api_reply_error(req, 404, "no such path");
		return;
	}
	seg = g_strsplit(path + strlen("/v1/"), "/", SEGMENTS_MAX + 1);
	route_request(api, req, seg, g_strv_length(seg));
	g_strfreev(seg);
	api->flush(api->flush_arg);
}

static void
on_overloaded(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	struct gyp_api *api = (struct gyp_api *)owner;

	gyp_count(api->counters, "gyp_refused_total", "reason=\"buffers\"", 1);
	gyp_api_reply_unavailable(req, "this entry is overloaded");
}

static const struct gyp_httpd_owner_ops owner_ops = {
    .request = on_request, .overloaded = on_overloaded};

struct gyp_api *
gyp_api_new(struct gyp_entry_core *core, struct gyp_counters *counters,
    void (*flush)(void *arg), void *arg)
{
	struct gyp_api *api = g_new0(struct gyp_api, 1);

	api->owner.ops = &owner_ops;
	api->core = core;
	api->counters = counters;
	api->flush = flush;
	api->flush_arg = arg;
	return api;
}

void
gyp_api_free(struct gyp_api *api)
{
	g_free(api);
}

struct gyp_httpd_owner *
gyp_api_httpd_owner(struct gyp_api *api)
{
	return &api->owner;
}

void
gyp_api_drain(struct gyp_api *api)
{
	api->draining = true;
	gyp_entry_drain(api->core);
}

uint32_t
gyp_api_pending_requests(const struct gyp_api *api)
{
	return api->pending;
}
