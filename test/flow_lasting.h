#ifndef FLOW_LASTING_H
#define FLOW_LASTING_H

#include "flow_scheduler.h"
#include "flow_sim_lasting.h"

/*
 * NAME
 *	flow_lasting - callers, entries and admission service of randomised
 *	runs with lasting steps
 *
 * DESCRIPTION
 *	Submits flows of three queues: urgent, lasting and batch, in this order
 *	of priorities, for long stretches more than the endpoints can do. In
 *	half of the runs the last two queues use a simulated admission service,
 *	which answers late; in bursts of faults, entries come and go, and
 *	queries are lost with their entry.
 */

struct flow_lasting;

struct flow_lasting *flow_lasting_new(uint32_t seed, struct flow_sim *);
void flow_lasting_free(struct flow_lasting *);

/*
 * The next command of the callers, or NULL; the receiver frees it. Cancels the
 * lasting flows if submit is false.
 */
Gyp__Cmd *flow_lasting_pop_cmd(
    struct flow_lasting *, uint64_t now, bool submit);

/* True if the leader changes now. */
bool flow_lasting_changes_leader(struct flow_lasting *, uint64_t now);

/* Time from the start of an endpoint to its first heartbeat. */
uint64_t flow_lasting_first_beat_ms(struct flow_lasting *);

/* Forgets the queries of the leader that is lost. */
void flow_lasting_leader_lost(struct flow_lasting *);

/* Offers the entries, before a round. */
void flow_lasting_offer_entries(
    struct flow_lasting *, uint64_t now, struct gyp_flow_scheduler *);

/* Takes the queries of a round and passes on the answers that are due. */
void flow_lasting_admission(
    struct flow_lasting *, uint64_t now, struct gyp_flow_scheduler *);

/* The number of the latest flow. */
uint64_t flow_lasting_flows(const struct flow_lasting *);

#endif
