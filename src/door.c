#include <string.h>

#include <glib.h>

#include "door_int.h"
#include "msg.h"
#include "state.h"
#include "timer.h"

/* Most path segments of a request. */
#define SEGMENTS_MAX 5

/* ---- Replies ----------------------------------------------------------- */

void
gyp_door_reply_json(struct gyp_http_request *req, unsigned status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *line = g_strconcat(text, "\n", NULL);

	gyp_http_reply(req, status, GYP_JSON_TYPE, line, strlen(line));
	free(text); /* jansson's allocator */
	g_free(line);
	json_decref(json);
}

void
gyp_door_reply_error(
    struct gyp_http_request *req, unsigned status, const char *message)
{
	gyp_door_reply_json(req, status, json_pack("{s:s}", "error", message));
}

unsigned
gyp_door_status_of_code(Gyp__Code code)
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
gyp_door_status_of_outcome(Gyp__Outcome outcome)
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
gyp_door_reply_outcome(
    struct gyp_http_request *req, Gyp__Outcome outcome, const char *reason)
{
	gyp_http_add_header(req, "Gyp-Outcome", gyp_outcome_name(outcome));
	if (outcome == GYP__OUTCOME__OUTCOME_NOT_RUN)
		gyp_http_add_header(req, "Retry-After", "1");
	gyp_door_reply_json(req, gyp_door_status_of_outcome(outcome),
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
 * Nothing is known here of what an earlier request with the same key led to
 * elsewhere, so only a request that can be no resend was surely not run.
 */
Gyp__Outcome
gyp_door_reply_not_taken(struct gyp_http_request *req, const char *reason)
{
	bool resend = gyp_http_header(req, "Idempotency-Key") != NULL;
	Gyp__Outcome outcome = resend ? GYP__OUTCOME__OUTCOME_UNKNOWN
				      : GYP__OUTCOME__OUTCOME_NOT_RUN;

	gyp_http_add_header(req, "Retry-After", "1");
	if (!is_submit(req)) {
		gyp_door_reply_error(req, 503, reason);
		return GYP__OUTCOME__OUTCOME_NONE;
	}
	gyp_http_add_header(req, "Gyp-Outcome", gyp_outcome_name(outcome));
	gyp_door_reply_json(req, 503,
	    json_pack("{s:s,s:s}", "outcome", gyp_outcome_name(outcome),
		"reason", reason));
	return outcome;
}

/* ---- Calls ------------------------------------------------------------- */

static void
free_pending(struct gyp_pending *p)
{
	p->door->waiting--;
	g_free(p->class_name);
	g_free(p);
}

void
gyp_door_call(struct gyp_door *door, struct gyp_http_request *req,
    const Gyp__Call *call, uint32_t timeout_ms,
    void (*reply)(struct gyp_pending *, const struct gyp_answer *),
    const struct gyp_pending *options)
{
	struct gyp_pending *p = g_new0(struct gyp_pending, 1);

	if (options != NULL)
		*p = *options;
	p->door = door;
	p->req = req;
	p->reply = reply;
	p->since = gyp_clock_ms();
	door->waiting++;
	if (gyp_entry_call(door->core, p->since, call, timeout_ms, p) != 0)
		return;
	gyp_count(door->counters, "gyp_refused_total", "reason=\"full\"", 1);
	gyp_door_reply_not_taken(req, "too many requests wait at this entry");
	free_pending(p);
}

void
gyp_door_answer(struct gyp_door *door, struct gyp_answer *a)
{
	struct gyp_pending *p = a->owner;

	if (p == NULL || (!a->final && p->wait)) {
		gyp_message_free(a->reply);
		return;
	}
	if (!a->final)
		gyp_entry_drop_call(door->core, a->call);
	if (a->reply == NULL && !p->submit)
		gyp_door_reply_error(p->req, 503, "no answer from the cell");
	else
		p->reply(p, a);
	gyp_message_free(a->reply);
	free_pending(p);
}

bool
gyp_door_wait_of(const struct gyp_http_request *req, uint32_t *wait_ms)
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

/* ---- Routes ------------------------------------------------------------ */

/* For the balancer: 200 while new requests are taken. */
static void
health(struct gyp_door *door, struct gyp_http_request *req, char **seg, guint n)
{
	const char *state = door->draining ? "draining" : "serving";

	(void)seg;
	(void)n;
	gyp_door_reply_json(req, door->draining ? 503u : 200u,
	    json_pack("{s:s}", "state", state));
}

struct route {
	const char *name;
	void (*take)(
	    struct gyp_door *, struct gyp_http_request *, char **seg, guint n);
	bool while_draining;
};

static const struct route routes[] = {
    {"jobs", gyp_door_route_jobs, false},
    {"keys", gyp_door_route_keys, false},
    {"endpoints", gyp_door_route_endpoints, false},
    {"attempts", gyp_door_route_attempts, false},
    {"admin", gyp_door_route_admin, true},
    {"health", health, true},
};

/* What comes while draining is left to another entry. */
static void
refuse_draining(struct gyp_door *door, struct gyp_http_request *req)
{
	gyp_count(
	    door->counters, "gyp_refused_total", "reason=\"draining\"", 1);
	gyp_http_add_header(req, "Connection", "close");
	gyp_door_reply_not_taken(req, "this entry is shutting down");
}

static void
take_request(
    struct gyp_door *door, struct gyp_http_request *req, char **seg, guint n)
{
	size_t i;

	for (i = 0; n > 0 && i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].name, seg[0]) != 0)
			continue;
		if (door->draining && !routes[i].while_draining)
			refuse_draining(door, req);
		else
			routes[i].take(door, req, seg, n);
		return;
	}
	gyp_door_reply_error(req, 404, "no such path");
}

static void
reply_metrics(struct gyp_door *door, struct gyp_http_request *req)
{
	char *text;

	gyp_gauge(door->counters, "gyp_open_requests", "", door->waiting);
	gyp_gauge(door->counters, "gyp_open_attempts", "",
	    gyp_entry_open_attempts(door->core));
	text = gyp_counters_text(door->counters);
	gyp_http_reply(
	    req, 200, "text/plain; version=0.0.4", text, strlen(text));
	g_free(text);
}

static void
on_request(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	struct gyp_door *door = (struct gyp_door *)owner;
	const char *path = gyp_http_path(req);
	char **seg;

	if (strcmp(path, "/metrics") == 0) {
		reply_metrics(door, req);
		return;
	}
	if (!g_str_has_prefix(path, "/v1/")) {
		gyp_door_reply_error(req, 404, "no such path");
		return;
	}
	seg = g_strsplit(path + strlen("/v1/"), "/", SEGMENTS_MAX + 1);
	take_request(door, req, seg, g_strv_length(seg));
	g_strfreev(seg);
	door->flush(door->flush_arg);
}

static const struct gyp_httpd_owner_ops owner_ops = {.request = on_request};

struct gyp_door *
gyp_door_new(struct gyp_entry_core *core, struct gyp_counters *counters,
    void (*flush)(void *arg), void *arg)
{
	struct gyp_door *door = g_new0(struct gyp_door, 1);

	door->owner.ops = &owner_ops;
	door->core = core;
	door->counters = counters;
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
	gyp_entry_drain(door->core);
}

uint32_t
gyp_door_waiting(const struct gyp_door *door)
{
	return door->waiting;
}
