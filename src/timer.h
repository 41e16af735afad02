#ifndef GYP_TIMER_H
#define GYP_TIMER_H

#include <stdint.h>

struct ev_loop;

/*
 * NAME
 *	timer - timer service that parts of a process subscribe to
 *
 * DESCRIPTION
 *	Runs on CLOCK_BOOTTIME, which counts the time a machine is suspended
 *	and which nobody can set. After a pause, due subscriptions run before
 *	any socket event of the same turn of the loop.
 */

struct gyp_timers;
struct gyp_timer;

typedef void (*gyp_timer_fn)(void *arg, uint64_t now);

struct gyp_timers *gyp_timers_new(struct ev_loop *);
void gyp_timers_free(struct gyp_timers *);

/* Milliseconds of CLOCK_BOOTTIME. */
uint64_t gyp_clock_ms(void);

/* Calls fn every interval_ms until it is unsubscribed. */
struct gyp_timer *gyp_timer_every(
    struct gyp_timers *, uint32_t interval_ms, gyp_timer_fn, void *arg);

/* Calls fn once; the handle is invalid from then on. */
struct gyp_timer *gyp_timer_once(
    struct gyp_timers *, uint32_t delay_ms, gyp_timer_fn, void *arg);

/* NULL is allowed. */
void gyp_timer_cancel(struct gyp_timers *, struct gyp_timer *);

#endif
