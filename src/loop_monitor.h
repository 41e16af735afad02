#ifndef GYP_LOOP_MONITOR_H
#define GYP_LOOP_MONITOR_H

struct ev_loop;
struct gyp_counters;

/*
 * NAME
 *	turns - tells when one turn of a loop takes long
 *
 * DESCRIPTION
 *	While a turn lasts nothing else is read or sent, so that a leader that
 *	is busy looks silent to others and doubts its own lease. Turns above
 *	GYP_LOOP_MONITOR_SLOW_MS are logged, one a second at most, and counted.
 */

/* A turn that takes this long is logged, in ms. */
#define GYP_LOOP_MONITOR_SLOW_MS 60

struct gyp_loop_monitor;

struct gyp_loop_monitor *gyp_loop_monitor_new(
    struct ev_loop *, struct gyp_counters *);
void gyp_loop_monitor_free(struct gyp_loop_monitor *);

#endif
