#ifndef GYP_API_INT_H
#define GYP_API_INT_H

#include <jansson.h>

#include "api.h"
#include "counters.h"

/*
 * NAME
 *	door_int - what the files of the door share
 *
 * DESCRIPTION
 *	api.c			routes, replies and calls
 *	api_jobs.c		callers: jobs and keys
 *	api_endpoints.c	endpoints: announcements, heartbeats, ends
 *	api_admin.c		operators: reports
 *	api_rules.c		operators: rules, explanations, drains
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

/* A request whose call is not answered yet. */
struct gyp_api_request {
	struct gyp_api *api;
	struct gyp_http_request *req;
	void (*reply)(struct gyp_api_request *, const struct gyp_answer *);
	bool submit;          /* reply() is called without a reply, too */
	bool wait;            /* for the end of the job */
	bool raw;             /* the answer's bytes, not a description */
	uint32_t task;        /* whose answer */
	char *class_name;     /* of a submit, owned */
	uint64_t received_ms; /* of a submit, our clock */
};

/* Takes over the JSON value. */
void gyp_api_reply_json(struct gyp_http_request *, unsigned status, json_t *);
void gyp_api_reply_error(
    struct gyp_http_request *, unsigned status, const char *message);

/*
 * Refuses, with 503, a request that never left this entry; of a submit it
 * returns the outcome that was told, else NONE.
 */
Gyp__Outcome gyp_api_reply_unavailable(
    struct gyp_http_request *, const char *reason);

/* An outcome that was settled at this entry, without a job. */
void gyp_api_reply_outcome(
    struct gyp_http_request *, Gyp__Outcome, const char *reason);
unsigned gyp_api_code_status(Gyp__Code);
unsigned gyp_api_outcome_status(Gyp__Outcome);

/*
 * Makes a call for a request; the options, which may be NULL, are copied and
 * their class name is taken over. A full entry answers 503 at once.
 */
void gyp_api_call(struct gyp_api *, struct gyp_http_request *,
    const Gyp__Call *, uint32_t timeout_ms,
    void (*reply)(struct gyp_api_request *, const struct gyp_answer *),
    const struct gyp_api_request *options);

/* False when the argument wait_ms is there but not a time; 0 without it. */
bool gyp_api_parse_wait(const struct gyp_http_request *, uint32_t *wait_ms);

/* The path's segments after "/v1/", the first of which chose the route. */
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
/* False when the path is none of its own. */
bool gyp_api_route_operations(
    struct gyp_api *, struct gyp_http_request *, char **seg, guint n);

#endif
