#ifndef GYP_API_H
#define GYP_API_H

#include <stdbool.h>
#include <stdint.h>

#include "counters.h"
#include "entry.h"
#include "httpd.h"

/*
 * NAME
 *	door - the entry's HTTP interface
 *
 * DESCRIPTION
 *	Turns requests of callers, endpoints and operators into calls of the
 *	entry's core, and answers of the core into replies. docs/API.md lists
 *	the requests.
 */

/* Longest time that a request may wait for its job's end, in ms. */
#define GYP_API_WAIT_MAX_MS 600000

/* Time for a replica to answer any other call, in ms. */
#define GYP_API_CALL_TIMEOUT_MS 5000

struct gyp_api;

/* After each request the door calls flush(arg), to move the core's output. */
struct gyp_api *gyp_api_new(struct gyp_entry_core *, struct gyp_counters *,
    void (*flush)(void *arg), void *arg);
void gyp_api_free(struct gyp_api *);

/* For gyp_httpd_new(). */
struct gyp_httpd_owner *gyp_api_httpd_owner(struct gyp_api *);

/* An answer of the core; takes over its reply. */
void gyp_api_handle_answer(struct gyp_api *, struct gyp_answer *);

/* From now on all that is new is refused; what is held is finished. */
void gyp_api_drain(struct gyp_api *);

/* Requests that wait for an answer. */
uint32_t gyp_api_pending_requests(const struct gyp_api *);

#endif
