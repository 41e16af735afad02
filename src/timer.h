#ifndef GYP_TIMER_H
#define GYP_TIMER_H

#include <stdint.h>

struct ev_loop;

/*
 * NAME
 *	timer - timers on the event loop
 *
 * DESCRIPTION
 *	The clock is CLOCK_BOOTTIME, which includes time in suspend and cannot
 *	be set. After a pause of the process, due timers run before any socket
 *	event of the same iteration of the loop.
 */

struct gyp_timers;
struct gyp_timer;

typedef void (*gyp_timer_fn)(void *arg, uint64_t now);

struct gyp_timers *gyp_timers_new(struct ev_loop *);
void gyp_timers_free(struct gyp_timers *);

/* Milliseconds of CLOCK_BOOTTIME. */
uint64_t gyp_clock_ms(void);

/* Unix time in ms, which may jump; only for wall_clock.h. */
uint64_t gyp_unix_ms(void);

/* Calls fn every interval_ms until the timer is cancelled. */
struct gyp_timer *gyp_timer_every(
    struct gyp_timers *, uint32_t interval_ms, gyp_timer_fn, void *arg);

/* Calls fn once; the timer is freed before the call. */
struct gyp_timer *gyp_timer_once(
    struct gyp_timers *, uint32_t delay_ms, gyp_timer_fn, void *arg);

/* Cancels and frees a timer, which may be NULL. */
void gyp_timer_cancel(struct gyp_timers *, struct gyp_timer *);

#endif
