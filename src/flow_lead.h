#ifndef GYP_FLOW_LEAD_H
#define GYP_FLOW_LEAD_H

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

struct gyp_flow_lead;

struct gyp_flow_lead *gyp_flow_lead_new(const struct gyp_fleet_config *,
    struct gyp_flows *, uint64_t now, uint64_t fence);
void gyp_flow_lead_free(struct gyp_flow_lead *);

/* An entry is there to carry questions; call before each round. */
void gyp_flow_lead_offer(struct gyp_flow_lead *, uint64_t now, uint64_t entry);

/*
 * Does what is due. Only when decide is true are tasks placed: all commands
 * of the round before must have been applied.
 */
void gyp_flow_lead_round(
    struct gyp_flow_lead *, uint64_t now, uint64_t wall_ms, bool decide);

/* Something changed that a round should look at soon. */
void gyp_flow_lead_touch(struct gyp_flow_lead *);

Gyp__Cmd *gyp_flow_lead_pop_cmd(struct gyp_flow_lead *);
struct gyp_fleet_call *gyp_flow_lead_pop_call(struct gyp_flow_lead *);
Gyp__Ask *gyp_flow_lead_pop_ask(struct gyp_flow_lead *, uint64_t *entry);

void gyp_flow_lead_answered(
    struct gyp_flow_lead *, uint64_t now, const struct gyp_fleet_answer *);
void gyp_flow_lead_advised(
    struct gyp_flow_lead *, uint64_t now, uint64_t entry, const Gyp__Advised *);

struct gyp_fleet *gyp_flow_lead_fleet(struct gyp_flow_lead *);

#endif
