#ifndef GYP_LOOP_DEFERRED_H
#define GYP_LOOP_DEFERRED_H

#include <ev.h>

/*
 * NAME
 *	loop_deferred - work deferred to the end of an event loop iteration
 *
 * DESCRIPTION
 *	In a burst, many sockets are ready at once. Work that several of their
 *	callbacks schedule is done once, just before the loop waits again; its
 *	results are sent after it.
 */

enum gyp_loop_phase { GYP_LOOP_WORK, GYP_LOOP_SEND };

typedef void (*gyp_loop_deferred_fn)(void *arg);

struct gyp_loop_deferred;

struct gyp_loop_deferred *gyp_loop_deferred_new(
    struct ev_loop *, enum gyp_loop_phase, gyp_loop_deferred_fn, void *arg);
void gyp_loop_deferred_free(struct gyp_loop_deferred *);

/* Calls the function once, at the end of the current iteration. */
void gyp_loop_deferred_schedule(struct gyp_loop_deferred *);

#endif
