#ifndef GYP_HEADROOM_H
#define GYP_HEADROOM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	headroom - adaptive share of the cell kept free for urgent work
 *
 * DESCRIPTION
 *	The share rises while urgent work waits for more than a quarter of the
 *	time that its rule allows, and falls slowly otherwise, so that other
 *	work gets what urgent work does not need. Counts of urgent starts in
 *	time and late show whether the share suffices.
 */

/* Largest share kept free. */
#define GYP_HEADROOM_MAX 0.3

struct gyp_headroom {
	double share;        /* from 0 to GYP_HEADROOM_MAX */
	bool under_pressure; /* since the last adjustment */
	uint64_t in_time;    /* urgent starts within the time allowed */
	uint64_t late;       /* later urgent starts */
};

/* Records the wait of an urgent job, and whether it has started. */
void gyp_headroom_record(struct gyp_headroom *, uint64_t waited_ms,
    uint64_t within_ms, bool started);

/* Adjusts the share; to be called twice a second. */
void gyp_headroom_adjust(struct gyp_headroom *);

#endif
