#ifndef GYP_QUERY_ENTRIES_H
#define GYP_QUERY_ENTRIES_H

#include <stdint.h>

#include <glib.h>

#include "admission.h"
#include "event.h"
#include "flow.h"

/*
 * NAME
 *	query_entries - entries that carry admission queries
 *
 * DESCRIPTION
 *	Each entry has one slot, for one admission query at a time. A query
 *	goes to the entry whose queries failed least and whose answers were
 *	late least, as one that does not reach the admission service is free
 *	again soonest. Which units send queries is decided in query_slots.h.
 *
 *	Times are the leader's monotonic clock, in ms.
 */

struct gyp_query_entries;

/* events may be NULL; the arguments must outlive the result. */
struct gyp_query_entries *gyp_query_entries_new(const struct gyp_flows *,
    struct gyp_admission *, struct gyp_events *events);
void gyp_query_entries_free(struct gyp_query_entries *);

/* Offers the slot of the entry; one that is not offered again is removed. */
void gyp_query_entries_offer(
    struct gyp_query_entries *, uint64_t now, uint64_t entry);

/*
 * Frees slots whose query has timed out and removes those that were not offered
 * lately. Returns the number of free slots.
 */
uint32_t gyp_query_entries_reclaim(struct gyp_query_entries *, uint64_t now);

/* Number of slots, including those in use. */
uint32_t gyp_query_entries_count(const struct gyp_query_entries *);

/* Queues each query for an entry with a free slot; there must be enough. */
void gyp_query_entries_send(
    struct gyp_query_entries *, uint64_t now, GPtrArray *queries);

/*
 * The next queued query, owned by the caller, or NULL; *entry is the entry that
 * carries it.
 */
Gyp__Ask *gyp_query_entries_pop(struct gyp_query_entries *, uint64_t *entry);

/* Frees the slot that the answer belongs to and records the answer. */
void gyp_query_entries_answered(struct gyp_query_entries *, uint64_t now,
    uint64_t entry, const Gyp__Advised *);

#endif
