#ifndef GYP_HEADROOM_H
#define GYP_HEADROOM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	balance - holds the chosen balance between waiting and packing
 *
 * DESCRIPTION
 *	Keeps a share of the cell free for urgent work. The share rises while
 *	urgent work waits for more than a quarter of its time and falls slowly
 *	while it does not, so that other work gets what urgent work does not
 *	need. The sums tell whether the balance was held.
 */

/* Largest share kept free. */
#define GYP_HEADROOM_MAX 0.3

struct gyp_headroom {
	double share;        /* share kept free, 0 to GYP_HEADROOM_MAX */
	bool under_pressure; /* since the last turn */
	uint64_t in_time;    /* urgent starts within their time */
	uint64_t late;       /* and later */
};

/* Urgent work has waited this long, and has started or not. */
void gyp_headroom_record(struct gyp_headroom *, uint64_t waited_ms,
    uint64_t within_ms, bool started);

/* Adjusts the headroom; call twice a second. */
void gyp_headroom_adjust(struct gyp_headroom *);

#endif
