#include <stdbool.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "timer.h"

struct gyp_timer {
	uint64_t due;
	uint32_t interval_ms; /* 0 for once */
	gyp_timer_fn fn;
	void *arg;
	GSequenceIter *iter;
};

struct gyp_timers {
	struct ev_loop *loop;
	ev_io io;       /* readable when the first timer is due */
	ev_check check; /* runs in each iteration, before any socket event */
	int fd;
	uint64_t armed_at; /* next expiry, in ms of gyp_clock_ms(); 0: none */
	GSequence *by_due;
};

uint64_t
gyp_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
gyp_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static gint
by_due(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct gyp_timer *x = a, *y = b;

	(void)user;
	return x->due < y->due ? -1 : x->due > y->due;
}

/*
 * Most timers are cancelled before they are due, so the descriptor is only set
 * to an earlier time, never to a later one. An expiry that is too early is
 * harmless: no timer is due then.
 */
static void
arm(struct gyp_timers *ts)
{
	GSequenceIter *first = g_sequence_get_begin_iter(ts->by_due);
	struct itimerspec when = {{0, 0}, {0, 0}};
	const struct gyp_timer *t;
	uint64_t due;

	if (g_sequence_iter_is_end(first))
		return;
	t = g_sequence_get(first);
	due = MAX(t->due, 1);
	if (ts->armed_at != 0 && ts->armed_at <= due)
		return;
	ts->armed_at = due;
	when.it_value.tv_sec = (time_t)(due / 1000);
	when.it_value.tv_nsec = (long)(due % 1000) * 1000000;
	timerfd_settime(ts->fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
insert(struct gyp_timers *ts, struct gyp_timer *t)
{
	t->iter = g_sequence_insert_sorted(ts->by_due, t, by_due, NULL);
}

static void
fire(struct gyp_timers *ts, struct gyp_timer *t, uint64_t now)
{
	gyp_timer_fn fn = t->fn;
	void *arg = t->arg;

	g_sequence_remove(t->iter);
	if (t->interval_ms > 0) {
		t->due = now + t->interval_ms;
		insert(ts, t);
	} else {
		g_free(t);
	}
	fn(arg, now);
}

/* Ends the wait for events; on_check() runs the due timers. */
static void
on_expired(struct ev_loop *loop, ev_io *w, int revents)
{
	struct gyp_timers *ts = w->data;
	uint64_t expirations;

	(void)loop;
	(void)revents;
	if (read(ts->fd, &expirations, sizeof(expirations)) < 0)
		return;
	ts->armed_at = 0;
	arm(ts);
}

/*
 * Reads the clock instead of relying on on_expired(): after a pause the kernel
 * may report many sockets before the timer's descriptor.
 */
static void
on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	struct gyp_timers *ts = w->data;
	uint64_t now = gyp_clock_ms();
	bool ran = false;

	(void)loop;
	(void)revents;
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(ts->by_due);
		struct gyp_timer *t;

		if (g_sequence_iter_is_end(first))
			break;
		t = g_sequence_get(first);
		if (t->due > now)
			break;
		fire(ts, t, now);
		ran = true;
	}
	if (ran)
		arm(ts);
}

struct gyp_timers *
gyp_timers_new(struct ev_loop *loop)
{
	struct gyp_timers *ts = g_new0(struct gyp_timers, 1);

	ts->loop = loop;
	ts->by_due = g_sequence_new(NULL);
	ts->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (ts->fd < 0)
		g_error("timerfd_create failed");
	ev_io_init(&ts->io, on_expired, ts->fd, EV_READ);
	ts->io.data = ts;
	ev_io_start(loop, &ts->io);
	ev_check_init(&ts->check, on_check);
	ev_set_priority(&ts->check, EV_MAXPRI);
	ts->check.data = ts;
	ev_check_start(loop, &ts->check);
	return ts;
}

void
gyp_timers_free(struct gyp_timers *ts)
{
	GSequenceIter *it;

	if (ts == NULL)
		return;
	ev_io_stop(ts->loop, &ts->io);
	ev_check_stop(ts->loop, &ts->check);
	close(ts->fd);
	it = g_sequence_get_begin_iter(ts->by_due);
	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it))
		g_free(g_sequence_get(it));
	g_sequence_free(ts->by_due);
	g_free(ts);
}

static struct gyp_timer *
add(struct gyp_timers *ts, uint32_t delay_ms, uint32_t interval_ms,
    gyp_timer_fn fn, void *arg)
{
	struct gyp_timer *t = g_new0(struct gyp_timer, 1);

	t->due = gyp_clock_ms() + delay_ms;
	t->interval_ms = interval_ms;
	t->fn = fn;
	t->arg = arg;
	insert(ts, t);
	arm(ts);
	return t;
}

struct gyp_timer *
gyp_timer_every(
    struct gyp_timers *ts, uint32_t interval_ms, gyp_timer_fn fn, void *arg)
{
	return add(ts, interval_ms, interval_ms, fn, arg);
}

struct gyp_timer *
gyp_timer_once(
    struct gyp_timers *ts, uint32_t delay_ms, gyp_timer_fn fn, void *arg)
{
	return add(ts, delay_ms, 0, fn, arg);
}

void
gyp_timer_cancel(struct gyp_timers *ts, struct gyp_timer *t)
{
	if (t == NULL)
		return;
	g_sequence_remove(t->iter);
	g_free(t);
	arm(ts);
}
