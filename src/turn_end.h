#ifndef GYP_TURN_END_H
#define GYP_TURN_END_H

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

enum gyp_turn_part { GYP_TURN_WORK, GYP_TURN_SEND };

typedef void (*gyp_turn_end_fn)(void *arg);

struct gyp_turn_end;

struct gyp_turn_end *gyp_turn_end_new(
    struct ev_loop *, enum gyp_turn_part, gyp_turn_end_fn, void *arg);
void gyp_turn_end_free(struct gyp_turn_end *);

/* Calls the function at the end of this turn, once. */
void gyp_turn_end_ask(struct gyp_turn_end *);

#endif
