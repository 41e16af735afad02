#include <stdbool.h>

#include <glib.h>

#include "turn_end.h"

struct gyp_turn_end {
	struct ev_loop *loop;
	ev_prepare prepare; /* before the loop waits */
	gyp_turn_end_fn fn;
	void *arg;
	bool asked;
};

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct gyp_turn_end *t = w->data;

	(void)loop;
	(void)revents;
	if (!t->asked)
		return;
	t->asked = false;
	t->fn(t->arg);
}

void
gyp_turn_end_ask(struct gyp_turn_end *t)
{
	t->asked = true;
}

struct gyp_turn_end *
gyp_turn_end_new(struct ev_loop *loop, enum gyp_turn_part part,
    gyp_turn_end_fn fn, void *arg)
{
	struct gyp_turn_end *t = g_new0(struct gyp_turn_end, 1);

	t->loop = loop;
	t->fn = fn;
	t->arg = arg;
	ev_prepare_init(&t->prepare, on_prepare);
	t->prepare.data = t;
	/* Work counts as part of the turn, see turns.h, and goes first. */
	ev_set_priority(
	    &t->prepare, part == GYP_TURN_WORK ? EV_MAXPRI : EV_MINPRI);
	ev_prepare_start(loop, &t->prepare);
	return t;
}

void
gyp_turn_end_free(struct gyp_turn_end *t)
{
	if (t == NULL)
		return;
	ev_prepare_stop(t->loop, &t->prepare);
	g_free(t);
}
