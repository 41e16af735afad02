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
 *	httpd - HTTP server on the process's own loop
 *
 * DESCRIPTION
 *	libmicrohttpd's epoll descriptor is one more watcher of the loop. A
 *	request is handed over once its body is complete; it may be answered
 *	at once or later, and is answered exactly once. A request must be whole
 *	within GYP_HTTP_RECEIVE_TIMEOUT_MS of the connection's opening, or of
 *the answer before it, however many bytes arrive meanwhile.
 */

/* Largest body of a request, in bytes; a larger one is answered with 413. */
#define GYP_HTTP_BODY_MAX (160 * 1024)

/* Most bytes of bodies and replies at a time; over it, requests get 503. */
#define GYP_HTTP_BUFFERED_BYTES_MAX (16 * 1024 * 1024)

/* Longest time to receive a request, in ms. */
#define GYP_HTTP_RECEIVE_TIMEOUT_MS 30000

/* Longest time for a caller to read its answer, in ms. */
#define GYP_HTTP_SEND_TIMEOUT_MS 600000

/* Most connections at a time. */
#define GYP_HTTP_CONNECTIONS_MAX 2000

/* Longest idle time of a connection, in seconds. */
#define GYP_HTTP_IDLE_TIMEOUT_S 30

struct gyp_httpd;
struct gyp_httpd_owner;
struct gyp_http_request;

struct gyp_httpd_owner_ops {
	void (*request)(struct gyp_httpd_owner *, struct gyp_http_request *);
};

struct gyp_httpd_owner {
	const struct gyp_httpd_owner_ops *ops;
};

struct gyp_httpd *gyp_httpd_new(struct ev_loop *, struct gyp_timers *,
    struct gyp_httpd_owner *, const char *address, struct gyp_error *);
void gyp_httpd_free(struct gyp_httpd *);

/* Takes no new connection from now on; open ones end with their answer. */
void gyp_httpd_quiesce(struct gyp_httpd *);

/* Replaces GYP_HTTP_RECEIVE_TIMEOUT_MS and GYP_HTTP_SEND_TIMEOUT_MS. */
void gyp_httpd_set_timeouts(
    struct gyp_httpd *, uint32_t receive_ms, uint32_t send_ms);

/* Replaces GYP_HTTP_BODY_MAX. */
void gyp_httpd_set_body_max(struct gyp_httpd *, size_t bytes);

/* Bytes of bodies and replies that are held. */
uint64_t gyp_httpd_buffered_bytes(const struct gyp_httpd *);

/* Requests that are not wholly answered, slow readers included. */
uint32_t gyp_httpd_active_requests(const struct gyp_httpd *);

const char *gyp_http_method(const struct gyp_http_request *);
const char *gyp_http_path(const struct gyp_http_request *);
struct gyp_slice gyp_http_body(const struct gyp_http_request *);

/* A header or query argument, or NULL. */
const char *gyp_http_header(const struct gyp_http_request *, const char *);
const char *gyp_http_query(const struct gyp_http_request *, const char *);

/* Adds a header to the coming reply. */
void gyp_http_add_header(
    struct gyp_http_request *, const char *name, const char *value);

/* Answers; the request must not be used afterwards. Copies the body. */
void gyp_http_reply(struct gyp_http_request *, unsigned status,
    const char *content_type, const void *body, size_t len);

#endif
