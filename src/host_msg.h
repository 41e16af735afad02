#ifndef GYP_HOST_MSG_H
#define GYP_HOST_MSG_H

#include "fleet.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	host_msg - wire messages of calls at endpoints and of their answers
 *
 * DESCRIPTION
 *	Converts calls and answers to and from the messages that a leader and
 *	its carriers exchange. The caller owns all results.
 */

/* Moves the strings out of the call, which must still be freed. */
Gyp__HostCall *gyp_host_msg_from_call(struct gyp_fleet_call *);
struct gyp_fleet_call *gyp_host_msg_to_call(const Gyp__HostCall *);

Gyp__HostAnswer *gyp_host_msg_from_answer(const struct gyp_fleet_answer *);

/* Fills the answer, which gyp_fleet_answer_clear() releases. */
void gyp_host_msg_to_answer(const Gyp__HostAnswer *, struct gyp_fleet_answer *);

#endif
