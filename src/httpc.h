#ifndef GYP_HTTPC_H
#define GYP_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ev_loop;
struct gyp_timers;

/*
 * NAME
 *	httpc - HTTP client that sends each request at most once
 *
 * DESCRIPTION
 *	libcurl resends a request by itself when a reused connection is closed
 *	without a response. So each request opens a new connection that is
 *	closed afterwards. A caller may set reuse if resending is harmless.
 *	A response counts only when it is complete: it must have a
 *	Content-Length or a Transfer-Encoding, and all of its body must have
 *	arrived.
 */

/* Timeout for opening a connection, in ms. */
#define GYP_HTTPC_CONNECT_TIMEOUT_MS 1000

enum gyp_httpc_end {
	GYP_HTTPC_ANSWERED, /* a complete response was received */
	GYP_HTTPC_NOT_SENT, /* no byte of the request was sent */
	GYP_HTTPC_LOST      /* sent, at least in part; no complete response */
};

struct gyp_httpc_result {
	enum gyp_httpc_end end;
	uint32_t status;
	const char *content_type; /* "" if absent */
	const char *state;        /* header Gyp-State, "" if absent */
	const uint8_t *body;
	size_t len;
	bool body_dropped;  /* the body exceeded response_max */
	const char *reason; /* libcurl's error text, "" for none */
};

typedef void (*gyp_httpc_fn)(void *arg, const struct gyp_httpc_result *);

struct gyp_httpc_request {
	const char *method;
	const char *url;
	const char *const
	    *headers; /* "Name: value", NULL-terminated, or NULL */
	const void *body;
	size_t len;
	size_t response_max; /* largest body that is stored, in bytes */
	uint32_t timeout_ms; /* of the whole exchange, 0 for none */
	uint64_t send_by; /* local clock; not sent from then on, 0 for none */
	bool reuse;       /* may be sent twice: use kept connections */
	/*
	 * With reuse: it must not be sent twice. It ends as lost when the peer
	 * closes a kept connection without an answer.
	 */
	bool once;
	gyp_httpc_fn done;
	void *arg;
	/* Frees arg after done, or when the client is freed; may be NULL. */
	void (*free_arg)(void *arg);
};

struct gyp_httpc;

struct gyp_httpc *gyp_httpc_new(struct ev_loop *, struct gyp_timers *);

/* Aborts all exchanges: frees their args without calling done. */
void gyp_httpc_free(struct gyp_httpc *);

/* Starts an exchange. Copies the method, URL, headers and body. */
void gyp_httpc_send(struct gyp_httpc *, const struct gyp_httpc_request *);

#endif
