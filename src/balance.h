#ifndef GYP_BALANCE_H
#define GYP_BALANCE_H

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
#define GYP_BALANCE_MAX 0.3

struct gyp_balance {
	double headroom; /* share kept free, 0 to GYP_BALANCE_MAX */
	bool pressed;    /* since the last turn */
	uint64_t held;   /* urgent starts within their time */
	uint64_t missed; /* and later */
};

/* Urgent work has waited this long, and has started or not. */
void gyp_balance_note(
    struct gyp_balance *, uint64_t waited_ms, uint64_t within_ms, bool started);

/* Adjusts the headroom; call twice a second. */
void gyp_balance_turn(struct gyp_balance *);

#endif
