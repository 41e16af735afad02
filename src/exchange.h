#ifndef GYP_EXCHANGE_H
#define GYP_EXCHANGE_H

#include "entry.h"
#include "httpc.h"

/*
 * NAME
 *	exchange - sends orders to endpoints over HTTP
 *
 * DESCRIPTION
 *	POST /v1/attempts/ATTEMPT/start		starts it, at most once
 *	GET /v1/attempts/ATTEMPT		queries it; the endpoint refuses
 *						to start an unknown attempt
 *						after that
 *	POST /v1/attempts/ATTEMPT/stop		stops it
 *	POST /v1/attempts/ATTEMPT/checkpoint	saves its state and ends it
 *	POST /v1/attempts/ATTEMPT/throttle	limits its CPU
 *
 *	The answer's Gyp-State header is done, failed, running, refused or
 *	checkpointed. Without it, the HTTP status of a start gives the state:
 *	202 is running, any other 2xx is done and all else is failed. The
 *	answer to any other order without the header leaves the state unknown.
 *
 *	An order's cap limits the open connections to its endpoint, because all
 *	entries share them. Starts leave one connection below the cap free, so
 *	that queries and stops get through. Orders over the cap wait; a start
 *	that waits past its send-by time is not sent.
 */

/* Longest wait for the answer to an order that is not a start, in ms. */
#define GYP_ORDER_TIMEOUT_MS 2000

/* Limit of orders that wait for a connection to one endpoint. */
#define GYP_EXCHANGE_QUEUE_MAX 256

struct gyp_exchanges;

/*
 * Receives the result of the exchange with this id; the result is valid during
 * the call only.
 */
typedef void (*gyp_exchange_fn)(
    void *arg, uint64_t id, const struct gyp_exchange_result *);

struct gyp_exchanges *gyp_exchanges_new(
    struct gyp_httpc *, gyp_exchange_fn, void *arg);

/* The client must be freed first: its requests point to this table. */
void gyp_exchanges_free(struct gyp_exchanges *);

/* Sends the order, or queues it; takes ownership of it. */
void gyp_exchanges_run(struct gyp_exchanges *, struct gyp_exchange *);

#endif
