#ifndef GYP_FLOW_SCHEDULER_H
#define GYP_FLOW_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "flow.h"

/*
 * NAME
 *	flow_lead - a leader's work on flows
 *
 * DESCRIPTION
 *	Composes the fleet, the admissions and the placer, and moves what one
 *	tells the others. It exists while a replica leads. Commands, calls at
 *	endpoints and questions for entries go out through queues; the caller
 *	owns what it pops.
 */

struct gyp_flow_scheduler;

struct gyp_flow_scheduler *gyp_flow_scheduler_new(
    const struct gyp_fleet_config *, struct gyp_flows *, uint64_t now,
    uint64_t fence);
void gyp_flow_scheduler_free(struct gyp_flow_scheduler *);

/* An entry is there to carry questions; call before each round. */
void gyp_flow_scheduler_offer_entry(
    struct gyp_flow_scheduler *, uint64_t now, uint64_t entry);

/*
 * Does what is due. Only when decide is true are tasks placed: all commands
 * of the round before must have been applied.
 */
void gyp_flow_scheduler_round(
    struct gyp_flow_scheduler *, uint64_t now, uint64_t wall_ms, bool decide);

/* Something changed that a round should look at soon. */
void gyp_flow_scheduler_request_round(struct gyp_flow_scheduler *);

Gyp__Cmd *gyp_flow_scheduler_pop_cmd(struct gyp_flow_scheduler *);
struct gyp_fleet_call *gyp_flow_scheduler_pop_call(struct gyp_flow_scheduler *);
Gyp__Ask *gyp_flow_scheduler_pop_query(
    struct gyp_flow_scheduler *, uint64_t *entry);

void gyp_flow_scheduler_call_answered(
    struct gyp_flow_scheduler *, uint64_t now, const struct gyp_fleet_answer *);
void gyp_flow_scheduler_query_answered(struct gyp_flow_scheduler *,
    uint64_t now, uint64_t entry, const Gyp__Advised *);

struct gyp_fleet *gyp_flow_scheduler_fleet(struct gyp_flow_scheduler *);

#endif
