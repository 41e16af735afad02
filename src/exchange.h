#ifndef GYP_EXCHANGE_H
#define GYP_EXCHANGE_H

#include "entry.h"
#include "httpc.h"

/*
 * NAME
 *	exchange - orders carried out at endpoints over HTTP
 *
 * DESCRIPTION
 *	POST /v1/attempts/ATTEMPT/start		starts, at most once
 *	GET /v1/attempts/ATTEMPT		asks; one never seen is refused
 *						from then on
 *	POST /v1/attempts/ATTEMPT/stop		stops
 *	POST /v1/attempts/ATTEMPT/checkpoint	saves and ends
 *	POST /v1/attempts/ATTEMPT/throttle	runs on with a limit
 *
 *	The header Gyp-State of the answer is done, failed, running, refused
 *	or checkpointed. Without it, a start's status tells: 202 is running,
 *	any other 2xx is done, the rest is failed; the answer to any other
 *	request tells nothing.
 *
 *	An endpoint's connections are shared by all entries: of each order's
 *	cap, one is kept free of starts, so that questions and stops get
 *	through. What is over the cap waits; a start that waits too long is
 *	not sent.
 */

/* Longest wait for the answer to anything but a start, in ms. */
#define GYP_ORDER_TIMEOUT_MS 2000

/* Most orders that wait for a connection to one endpoint. */
#define GYP_EXCHANGE_QUEUE_MAX 256

struct gyp_exchanges;

typedef void (*gyp_exchange_fn)(
    void *arg, uint64_t id, const struct gyp_exchange_result *);

struct gyp_exchanges *gyp_exchanges_new(
    struct gyp_httpc *, gyp_exchange_fn, void *arg);

/* Free the client first: it may still hold exchanges. */
void gyp_exchanges_free(struct gyp_exchanges *);

/* Takes over the exchange's order. */
void gyp_exchanges_run(struct gyp_exchanges *, struct gyp_exchange *);

#endif
