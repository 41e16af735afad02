#ifndef GYP_LOOP_MONITOR_H
#define GYP_LOOP_MONITOR_H

struct ev_loop;
struct gyp_counters;

/*
 * NAME
 *	loop_monitor - reports slow iterations of an event loop
 *
 * DESCRIPTION
 *	Nothing is read or sent during an iteration, so a busy leader appears
 *	silent to other processes and may consider its own lease expired.
 *	Iterations of GYP_LOOP_MONITOR_SLOW_MS or longer are counted, and
 *	logged at most once a second.
 */

/* An iteration that takes this long counts as slow, in ms. */
#define GYP_LOOP_MONITOR_SLOW_MS 60

struct gyp_loop_monitor;

struct gyp_loop_monitor *gyp_loop_monitor_new(
    struct ev_loop *, struct gyp_counters *);
void gyp_loop_monitor_free(struct gyp_loop_monitor *);

#endif
