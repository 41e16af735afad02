#ifndef GYP_RUNNING_H
#define GYP_RUNNING_H

#include <stdbool.h>
#include <stdint.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	running - what endpoints say that they run, and when to ask
 *
 * DESCRIPTION
 *	Volatile table of the leader. A heartbeat carries the list of running
 *	attempts only when it changed, and its number otherwise; so an idle
 *	hour of 22,000 running tasks costs no more than one of none. An
 *	attempt that a list leaves out is asked about, first after
 *	GYP_ASK_MIN_MS and then after twice as long each time.
 */

/* Bounds of the pause between questions about one attempt, in ms. */
#define GYP_ASK_MIN_MS 1000
#define GYP_ASK_MAX_MS 64000

struct gyp_running;

struct gyp_running *gyp_running_new(void);
void gyp_running_free(struct gyp_running *);
void gyp_running_reset(struct gyp_running *);

/*
 * Takes the list of a heartbeat. False when the heartbeat leaves it out and
 * the list of its number is not known here.
 */
bool gyp_running_take(struct gyp_running *, uint64_t now, const Gyp__Beat *);
void gyp_running_drop_endpoint(struct gyp_running *, uint64_t endpoint);

/* Time of the endpoint's latest list or confirmation, 0 for none. */
uint64_t gyp_running_heard(const struct gyp_running *, uint64_t endpoint);

/* The latest list; valid until the next change. */
const Gyp__Attempt *gyp_running_list(
    const struct gyp_running *, uint64_t endpoint, uint32_t *n);

bool gyp_running_lists(
    const struct gyp_running *, uint64_t endpoint, const Gyp__Attempt *);

/*
 * Called for an attempt that should be listed and is not. Returns 0, or the
 * number of the question when one is due now.
 */
uint32_t gyp_running_question(
    struct gyp_running *, uint64_t now, const Gyp__Attempt *);
void gyp_running_drop_task(struct gyp_running *, uint64_t job, uint32_t task);

#endif
