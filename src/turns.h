#ifndef GYP_TURNS_H
#define GYP_TURNS_H

struct ev_loop;
struct gyp_counters;

/*
 * NAME
 *	turns - tells when one turn of a loop takes long
 *
 * DESCRIPTION
 *	While a turn lasts nothing else is read or sent, so that a leader that
 *	is busy looks silent to others and doubts its own lease. Turns above
 *	GYP_TURNS_SLOW_MS are logged, one a second at most, and counted.
 */

/* A turn that takes this long is logged, in ms. */
#define GYP_TURNS_SLOW_MS 60

struct gyp_turns;

struct gyp_turns *gyp_turns_new(struct ev_loop *, struct gyp_counters *);
void gyp_turns_free(struct gyp_turns *);

#endif
