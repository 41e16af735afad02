#include <glib.h>

#include "balance.h"

/* Change of the headroom in one turn. */
#define RISE 0.01
#define FALL 0.0005

/* Part of the time for urgent work after which it counts as pressed. */
#define PRESSED_DIVISOR 4

void
gyp_balance_note(
    struct gyp_balance *b, uint64_t waited_ms, uint64_t within_ms, bool started)
{
	if (waited_ms > within_ms / PRESSED_DIVISOR)
		b->pressed = true;
	if (!started)
		return;
	if (waited_ms <= within_ms)
		b->held++;
	else
		b->missed++;
}

void
gyp_balance_turn(struct gyp_balance *b)
{
	b->headroom += b->pressed ? RISE : -FALL;
	b->headroom = CLAMP(b->headroom, 0, GYP_BALANCE_MAX);
	b->pressed = false;
}
