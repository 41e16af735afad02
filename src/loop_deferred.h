#ifndef GYP_LOOP_DEFERRED_H
#define GYP_LOOP_DEFERRED_H

#include <ev.h>

/*
 * NAME
 *	turn_end - work that is done once at the end of a loop's turn
 *
 * DESCRIPTION
 *	Load pattern answered: a burst in which many sockets are ready at once.
 *	What several of their callbacks ask for is done once, just before the
 *	loop waits again: first the work, then the sending of what it made.
 */

enum gyp_loop_phase { GYP_LOOP_WORK, GYP_LOOP_SEND };

typedef void (*gyp_loop_deferred_fn)(void *arg);

struct gyp_loop_deferred;

struct gyp_loop_deferred *gyp_loop_deferred_new(
    struct ev_loop *, enum gyp_loop_phase, gyp_loop_deferred_fn, void *arg);
void gyp_loop_deferred_free(struct gyp_loop_deferred *);

/* Calls the function at the end of this turn, once. */
void gyp_loop_deferred_schedule(struct gyp_loop_deferred *);

#endif
