#ifndef GYP_API_H
#define GYP_API_H

#include <stdbool.h>
#include <stdint.h>

#include "counters.h"
#include "entry.h"
#include "httpd.h"

/*
 * NAME
 *	api - the entry's HTTP API
 *
 * DESCRIPTION
 *	Translates HTTP requests from callers, endpoints and operators into
 *	calls to the entry's core, and the core's answers into HTTP replies.
 *	docs/API.md lists the requests.
 */

/* Upper limit of the query argument wait_ms. */
#define GYP_API_WAIT_MAX_MS 600000

/* Timeout of calls that do not wait for a job to end, in ms. */
#define GYP_API_CALL_TIMEOUT_MS 5000

struct gyp_api;

/* Calls flush(arg) after each /v1/ request, to send the core's output. */
struct gyp_api *gyp_api_new(struct gyp_entry_core *, struct gyp_counters *,
    void (*flush)(void *arg), void *arg);
void gyp_api_free(struct gyp_api *);

/* Returns the owner to pass to gyp_httpd_new(). */
struct gyp_httpd_owner *gyp_api_httpd_owner(struct gyp_api *);

/* Passes an answer of the core to its request. Frees the answer's reply. */
void gyp_api_handle_answer(struct gyp_api *, struct gyp_answer *);

/*
 * Refuses new requests, except health checks and those of operators. Pending
 * requests are still answered.
 */
void gyp_api_drain(struct gyp_api *);

/* Returns the number of requests that await an answer of the core. */
uint32_t gyp_api_pending_requests(const struct gyp_api *);

#endif
