#ifndef GYP_INVENTORY_H
#define GYP_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	inventory - requests for the provider's list of endpoints that exist
 *
 * DESCRIPTION
 *	Decides when the leader requests the list. It is requested only while
 *	it is wanted, one request at a time. The interval begins small and
 *	doubles while the lists bring nothing new, so that an endpoint that is
 *	only cut off costs few requests. What a list says of the endpoints is
 *	the fleet's part, see fleet_inventory.c.
 *
 *	Time is passed in as an argument; requests are returned by
 *	gyp_inventory_pop_request() and made by the caller.
 */

/* Shortest and longest time from a list to the next request, in ms. */
#define GYP_INVENTORY_INTERVAL_MIN_MS 250
#define GYP_INVENTORY_INTERVAL_MAX_MS 2000

/* A request without an answer has failed after this time, in ms. */
#define GYP_INVENTORY_TIMEOUT_MS 3000

/* The answer to a request. */
struct gyp_inventory_answer {
	uint64_t request;
	bool complete;      /* ids has every endpoint that exists */
	GHashTable *ids;    /* set of ids, or NULL if not complete */
	uint32_t odd_rows;  /* rows that name no endpoint, for logs */
	const char *reason; /* why it is not complete, for logs */
};

struct gyp_inventory;

/* Requests are numbered from first_request on, which must be above 0. */
struct gyp_inventory *gyp_inventory_new(uint64_t first_request);
void gyp_inventory_free(struct gyp_inventory *);

/*
 * Makes the request that is due, if a list is wanted. fresh: it is wanted for
 * an endpoint for which it was not before.
 */
void gyp_inventory_tick(
    struct gyp_inventory *, uint64_t now, bool wanted, bool fresh);

/* The next request to make; false when there is none. */
bool gyp_inventory_pop_request(struct gyp_inventory *, uint64_t *request);

/*
 * True if the answer is that of the open request, which it closes; then
 * *requested_at is the time of the request.
 */
bool gyp_inventory_close(struct gyp_inventory *, uint64_t now,
    const struct gyp_inventory_answer *, uint64_t *requested_at);

/* The latest list brought something new: the next one follows soon. */
void gyp_inventory_hurry(struct gyp_inventory *);

/* Drops the open request, whose answer would be too old. */
void gyp_inventory_drop(struct gyp_inventory *);

#endif
