#ifndef GYP_API_INT_H
#define GYP_API_INT_H

#include <jansson.h>

#include "api.h"
#include "counters.h"

/*
 * NAME
 *	api_int - declarations shared by the files of the API
 *
 * DESCRIPTION
 *	api.c			routing, replies and calls to the core
 *	api_jobs.c		callers: jobs and keys
 *	api_endpoints.c	endpoints: announcements, heartbeats, finished runs
 *	api_admin.c		operators: status, endpoints, members,
 *				workspaces, previews
 *	api_rules.c		operators: rules, explanations, drains,
 *				removal of members
 */

#define GYP_API_JSON_TYPE "application/json"

struct gyp_api {
	struct gyp_httpd_owner owner;
	struct gyp_entry_core *core;
	struct gyp_counters *counters;
	void (*flush)(void *arg);
	void *flush_arg;
	bool draining;
	uint32_t pending;
};

/* A request that awaits the answer to its call. */
struct gyp_api_request {
	struct gyp_api *api;
	struct gyp_http_request *req;
	void (*reply)(struct gyp_api_request *, const struct gyp_answer *);
	/* A job submission: on a timeout, reply() is called without a reply. */
	bool submit;
	bool wait;            /* reply when the job ends, or on timeout */
	bool raw;             /* reply with the task's answer, not JSON */
	uint32_t task;        /* index of the task to read */
	char *class_name;     /* of a submitted job; freed with the request */
	uint64_t received_ms; /* local clock */
};

/* Takes ownership of the JSON value. */
void gyp_api_reply_json(struct gyp_http_request *, unsigned status, json_t *);
void gyp_api_reply_error(
    struct gyp_http_request *, unsigned status, const char *message);

/*
 * Replies 503 to a request that was not sent to the cell. Returns the outcome
 * that the reply states to a POST /v1/jobs, or NONE for any other request.
 */
Gyp__Outcome gyp_api_reply_unavailable(
    struct gyp_http_request *, const char *reason);

/* Replies with an outcome that this entry determined itself, without a job. */
void gyp_api_reply_outcome(
    struct gyp_http_request *, Gyp__Outcome, const char *reason);

/* Return the HTTP status for a reply code or an outcome. */
unsigned gyp_api_code_status(Gyp__Code);
unsigned gyp_api_outcome_status(Gyp__Outcome);

/*
 * Makes a call for a request. Copies the options, which may be NULL, and takes
 * ownership of their class name. Replies 503 at once when the core accepts no
 * more calls.
 */
void gyp_api_call(struct gyp_api *, struct gyp_http_request *,
    const Gyp__Call *, uint32_t timeout_ms,
    void (*reply)(struct gyp_api_request *, const struct gyp_answer *),
    const struct gyp_api_request *options);

/*
 * Reads the query argument wait_ms; 0 when it is absent. Returns false when it
 * is not a number up to GYP_API_WAIT_MAX_MS.
 */
bool gyp_api_parse_wait(const struct gyp_http_request *, uint32_t *wait_ms);

/*
 * Handle a request. seg holds the n path segments after "/v1/"; the first one
 * selected the route.
 */
void gyp_api_route_jobs(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);
void gyp_api_route_keys(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);
void gyp_api_route_endpoints(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);
void gyp_api_route_attempts(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);
void gyp_api_route_admin(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);

/* Returns false, without a reply, when the path or method is not handled. */
bool gyp_api_route_operations(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);

#endif
