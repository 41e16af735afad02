#include <stdbool.h>

#include <glib.h>

#include "loop_deferred.h"

struct gyp_loop_deferred {
	struct ev_loop *loop;
	ev_prepare prepare; /* runs before the loop waits */
	gyp_loop_deferred_fn fn;
	void *arg;
	bool scheduled;
};

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct gyp_loop_deferred *d = w->data;

	(void)loop;
	(void)revents;
	if (!d->scheduled)
		return;
	d->scheduled = false;
	d->fn(d->arg);
}

void
gyp_loop_deferred_schedule(struct gyp_loop_deferred *d)
{
	d->scheduled = true;
}

struct gyp_loop_deferred *
gyp_loop_deferred_new(struct ev_loop *loop, enum gyp_loop_phase phase,
    gyp_loop_deferred_fn fn, void *arg)
{
	struct gyp_loop_deferred *d = g_new0(struct gyp_loop_deferred, 1);

	d->loop = loop;
	d->fn = fn;
	d->arg = arg;
	ev_prepare_init(&d->prepare, on_prepare);
	d->prepare.data = d;
	/*
	 * The prepare watcher of loop_monitor.c has the default priority: work
	 * runs before it and counts as part of the iteration, sending runs
	 * after it.
	 */
	ev_set_priority(
	    &d->prepare, phase == GYP_LOOP_WORK ? EV_MAXPRI : EV_MINPRI);
	ev_prepare_start(loop, &d->prepare);
	return d;
}

void
gyp_loop_deferred_free(struct gyp_loop_deferred *d)
{
	if (d == NULL)
		return;
	ev_prepare_stop(d->loop, &d->prepare);
	g_free(d);
}
