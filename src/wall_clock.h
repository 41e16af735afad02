#ifndef GYP_WALL_CLOCK_H
#define GYP_WALL_CLOCK_H

#include <stdint.h>

/*
 * NAME
 *	wall_clock - Unix time that does not follow a short step
 *
 * DESCRIPTION
 *	The wall clock of a VM may jump by seconds and jump back. It is read
 *	against the monotonic clock; the time shown is the monotonic one plus
 *	the median of the differences in the last GYP_WALL_CLOCK_WINDOW_MS. So
 *	a step is followed once it has lasted for half of that, and shorter ones
 *	are not seen. While the process knows less, it has the median of what it
 *	has read. For due times only: all other times are monotonic.
 */

#define GYP_WALL_CLOCK_WINDOW_MS 30000

struct gyp_wall_clock;

struct gyp_wall_clock *gyp_wall_clock_new(void);
void gyp_wall_clock_free(struct gyp_wall_clock *);

/*
 * Takes the readings of both clocks at one moment, in ms, and returns the Unix
 * time in ms. now never decreases.
 */
uint64_t gyp_wall_clock_ms(
    struct gyp_wall_clock *, uint64_t now, uint64_t unix_ms);

#endif
