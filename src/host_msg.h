#ifndef GYP_HOST_MSG_H
#define GYP_HOST_MSG_H

#include "fleet.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	host_msg - calls at endpoints and their answers as messages
 *
 * DESCRIPTION
 *	What a leader and the entries that carry its calls tell each other.
 *	All results are owned by the caller.
 */

/* Takes the call's strings. */
Gyp__HostCall *gyp_host_msg_from_call(struct gyp_fleet_call *);
struct gyp_fleet_call *gyp_host_msg_to_call(const Gyp__HostCall *);

Gyp__HostAnswer *gyp_host_msg_from_answer(const struct gyp_fleet_answer *);

/* Fills the answer; its lists are released by gyp_host_msg_clear(). */
void gyp_host_msg_to_answer(const Gyp__HostAnswer *, struct gyp_fleet_answer *);
void gyp_host_msg_clear(struct gyp_fleet_answer *);

#endif
