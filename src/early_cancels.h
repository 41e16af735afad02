#ifndef GYP_EARLY_CANCELS_H
#define GYP_EARLY_CANCELS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	early_cancels - cancellations of flows that are not known yet
 *
 * DESCRIPTION
 *	Part of the replicated tables. A flow may be cancelled while the
 *	request that submits it is still on its way. The cancellation is
 *	recorded, so that the flow gets no run when it arrives. A record
 *	applies to flows of the workspace that cancelled, "" for those that
 *	anyone may cancel: others may use the same id.
 *
 *	Times are cell time in ms, and must not decrease.
 */

/*
 * How long a record is kept, in ms: longer than a request that was received
 * before the cancellation can be on its way.
 */
#define GYP_EARLY_CANCEL_RETENTION_MS (2 * 60 * 1000)

/* Maximum number of records; further cancellations are refused. */
#define GYP_EARLY_CANCELS_MAX 20000

struct gyp_early_cancels;

struct gyp_early_cancels *gyp_early_cancels_new(void);
void gyp_early_cancels_free(struct gyp_early_cancels *);
void gyp_early_cancels_clear(struct gyp_early_cancels *);

/*
 * Records a cancellation; one that is on record keeps its time. Returns false
 * if GYP_EARLY_CANCELS_MAX others are on record.
 */
bool gyp_early_cancels_add(struct gyp_early_cancels *, uint64_t now,
    uint64_t flow, const char *workspace);

bool gyp_early_cancels_has(
    const struct gyp_early_cancels *, uint64_t flow, const char *workspace);

uint32_t gyp_early_cancels_count(const struct gyp_early_cancels *);

/* Removes the records of GYP_EARLY_CANCEL_RETENTION_MS ago or earlier. */
void gyp_early_cancels_drop_expired(struct gyp_early_cancels *, uint64_t now);

/* Adds all records to a snapshot, oldest first, and replaces them by its own.
 */
void gyp_early_cancels_save(const struct gyp_early_cancels *, Gyp__SnapFlows *);
void gyp_early_cancels_restore(
    struct gyp_early_cancels *, const Gyp__SnapFlows *);

#endif
