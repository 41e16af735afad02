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
 *
 *	The header Gyp-State of the answer is done, failed, running or
 *	refused. Without it, a start's status tells: 202 is running, any other
 *	2xx is done, the rest is failed; a question's answer tells nothing.
 */

/* Longest wait for the answer to a question or a stop, in ms. */
#define GYP_QUESTION_MS 2000

struct gyp_exchanges;

typedef void (*gyp_exchange_fn)(
    void *arg, uint64_t id, const struct gyp_exchange_result *);

struct gyp_exchanges *gyp_exchanges_new(
    struct gyp_httpc *, gyp_exchange_fn, void *arg);
void gyp_exchanges_free(struct gyp_exchanges *);

/* Takes over the exchange's order. */
void gyp_exchanges_run(struct gyp_exchanges *, struct gyp_exchange *);

#endif
