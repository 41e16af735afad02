#ifndef GYP_FLOW_SCHEDULER_H
#define GYP_FLOW_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "flow.h"
#include "load_shed.h"
#include "placer.h"

/*
 * NAME
 *	flow_scheduler - schedules flows on a leader
 *
 * DESCRIPTION
 *	Composes the fleet, admission and the placer, and passes events between
 *	them. It exists while the replica leads. Commands, calls to endpoints
 *	and admission queries for entries are put on queues; the caller owns
 *	the items that it pops.
 */

struct gyp_flow_scheduler;

struct gyp_flow_scheduler *gyp_flow_scheduler_new(
    const struct gyp_fleet_config *, struct gyp_flows *, uint64_t now,
    uint64_t fence);
void gyp_flow_scheduler_free(struct gyp_flow_scheduler *);

/*
 * Offers the entry's slot for one admission query at a time. Call before each
 * round for every entry that can answer queries; a slot that is not offered
 * again is removed.
 */
void gyp_flow_scheduler_offer_entry(
    struct gyp_flow_scheduler *, uint64_t now, uint64_t entry);

/*
 * Does the work that is due; now is the monotonic clock, wall_ms Unix time,
 * both in ms. Tasks are placed only if place is true, which requires that all
 * commands of the previous round have been applied.
 */
void gyp_flow_scheduler_round(
    struct gyp_flow_scheduler *, uint64_t now, uint64_t wall_ms, bool place);

/* Makes the next round place tasks, because the state has changed. */
void gyp_flow_scheduler_request_round(struct gyp_flow_scheduler *);

/* The next queued item, or NULL; *entry is the entry that carries a query. */
Gyp__Cmd *gyp_flow_scheduler_pop_cmd(struct gyp_flow_scheduler *);
struct gyp_fleet_call *gyp_flow_scheduler_pop_call(struct gyp_flow_scheduler *);
Gyp__Ask *gyp_flow_scheduler_pop_query(
    struct gyp_flow_scheduler *, uint64_t *entry);

/* Handle an endpoint's answer to a call and an entry's answer to a query. */
void gyp_flow_scheduler_call_answered(
    struct gyp_flow_scheduler *, uint64_t now, const struct gyp_fleet_answer *);
void gyp_flow_scheduler_query_answered(struct gyp_flow_scheduler *,
    uint64_t now, uint64_t entry, const Gyp__Advised *);

struct gyp_fleet *gyp_flow_scheduler_fleet(struct gyp_flow_scheduler *);
struct gyp_placer *gyp_flow_scheduler_placer(const struct gyp_flow_scheduler *);
const struct gyp_run_stats *gyp_flow_scheduler_stats(
    const struct gyp_flow_scheduler *);

/*
 * The load of a pool of endpoints for a workspace, which may be NULL: its
 * capacity as of the latest load line in the log, and the work that waited in
 * the latest round.
 */
struct gyp_pool_load gyp_flow_scheduler_load(const struct gyp_flow_scheduler *,
    const char *pool, const struct gyp_workspace_use *);

#endif
