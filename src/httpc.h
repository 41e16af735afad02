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
 *	libcurl repeats a request by itself when a kept-alive connection is
 *	closed without an answer. So each request has a connection of its own
 *	that is never kept, unless the caller says that a repetition does no
 *	harm. An answer counts only when it is whole: its length
 *	was announced and met.
 */

/* Longest time to open a connection, in ms. */
#define GYP_HTTPC_CONNECT_TIMEOUT_MS 1000

enum gyp_httpc_end {
	GYP_HTTPC_ANSWERED, /* the whole answer is here */
	GYP_HTTPC_NOT_SENT, /* no byte of the request left */
	GYP_HTTPC_LOST      /* sent, perhaps in part; no whole answer */
};

struct gyp_httpc_result {
	enum gyp_httpc_end end;
	uint32_t status;
	const char *content_type; /* "" when there is none */
	const char *state;        /* header Gyp-State, "" when there is none */
	const uint8_t *body;
	size_t len;
	bool body_dropped; /* the body was over the limit */
	const char *reason;
};

typedef void (*gyp_httpc_fn)(void *arg, const struct gyp_httpc_result *);

struct gyp_httpc_request {
	const char *method;
	const char *url;
	const char *const
	    *headers; /* "Name: value", NULL-terminated, or NULL */
	const void *body;
	size_t len;
	size_t response_max; /* bytes of the answer that are kept */
	uint32_t timeout_ms; /* for the whole exchange, 0 for none */
	uint64_t send_by;    /* our clock; not sent from then on, 0 for none */
	bool reuse;          /* may be sent twice, so connections may be kept */
	gyp_httpc_fn done;
	void *arg;
	/* Releases arg after done, or when the client ends first; may be NULL.
	 */
	void (*free_arg)(void *arg);
};

struct gyp_httpc;

struct gyp_httpc *gyp_httpc_new(struct ev_loop *, struct gyp_timers *);

/* Ends all exchanges; releases their args and calls no done. */
void gyp_httpc_free(struct gyp_httpc *);

/* Copies what it needs of the request. */
void gyp_httpc_send(struct gyp_httpc *, const struct gyp_httpc_request *);

#endif
