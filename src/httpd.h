#ifndef GYP_HTTPD_H
#define GYP_HTTPD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "buf.h"
#include "status.h"

struct ev_loop;
struct gyp_timers;

/*
 * NAME
 *	httpd - HTTP server on the process's event loop
 *
 * DESCRIPTION
 *	libmicrohttpd's epoll descriptor is watched by the loop. A request is
 *	passed to the owner once its body is complete; the owner answers it
 *	exactly once, immediately or later. A request must be complete within
 *	GYP_HTTP_RECEIVE_TIMEOUT_MS after the connection was opened or the
 *	previous response was sent, even if bytes keep arriving.
 */

/* Largest request body, in bytes; a larger one is answered with 413. */
#define GYP_HTTP_BODY_MAX (160 * 1024)

/* Most buffered bytes of bodies and replies; beyond it, requests get 503. */
#define GYP_HTTP_BUFFERED_BYTES_MAX (16 * 1024 * 1024)

/* Timeout for receiving a complete request, in ms. */
#define GYP_HTTP_RECEIVE_TIMEOUT_MS 30000

/* Timeout for sending a response, in ms. */
#define GYP_HTTP_SEND_TIMEOUT_MS 600000

/* Most open connections. */
#define GYP_HTTP_CONNECTIONS_MAX 2000

/*
 * libmicrohttpd's own idle timeout, in seconds. The receive timeout above also
 * ends connections on which bytes keep arriving.
 */
#define GYP_HTTP_IDLE_TIMEOUT_S 30

struct gyp_httpd;
struct gyp_httpd_owner;
struct gyp_http_request;

struct gyp_httpd_owner_ops {
	void (*request)(struct gyp_httpd_owner *, struct gyp_http_request *);
	/*
	 * Answers a request whose body did not fit in the buffers and was
	 * dropped. If NULL, it gets 503, Retry-After and {"error": "..."}.
	 */
	void (*overloaded)(struct gyp_httpd_owner *, struct gyp_http_request *);
};

struct gyp_httpd_owner {
	const struct gyp_httpd_owner_ops *ops;
};

struct gyp_httpd *gyp_httpd_new(struct ev_loop *, struct gyp_timers *,
    struct gyp_httpd_owner *, const char *address, struct gyp_error *);
void gyp_httpd_free(struct gyp_httpd *);

/* Accepts no more connections; open ones are closed after their response. */
void gyp_httpd_quiesce(struct gyp_httpd *);

/* Overrides GYP_HTTP_RECEIVE_TIMEOUT_MS and GYP_HTTP_SEND_TIMEOUT_MS. */
void gyp_httpd_set_timeouts(
    struct gyp_httpd *, uint32_t receive_ms, uint32_t send_ms);

/* Overrides GYP_HTTP_BODY_MAX. */
void gyp_httpd_set_body_max(struct gyp_httpd *, size_t bytes);

/* Returns the buffered bytes of bodies and replies. */
uint64_t gyp_httpd_buffered_bytes(const struct gyp_httpd *);

/* Returns the number of requests whose response is not completely sent. */
uint32_t gyp_httpd_active_requests(const struct gyp_httpd *);

const char *gyp_http_method(const struct gyp_http_request *);
const char *gyp_http_path(const struct gyp_http_request *);
struct gyp_slice gyp_http_body(const struct gyp_http_request *);

/* Return the value of a header or query argument, or NULL if absent. */
const char *gyp_http_header(const struct gyp_http_request *, const char *);
const char *gyp_http_query(const struct gyp_http_request *, const char *);

/* Adds a header to the reply; call it before gyp_http_reply(). */
void gyp_http_add_header(
    struct gyp_http_request *, const char *name, const char *value);

/* Sends the reply. Copies the body; the request must not be used afterwards. */
void gyp_http_reply(struct gyp_http_request *, unsigned status,
    const char *content_type, const void *body, size_t len);

#endif
