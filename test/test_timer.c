#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "timer.h"

/* More sockets than one call of the kernel reports. */
#define PIPES 300

struct seen {
	int timers;
	int reads;
	int reads_before; /* the first timer */
};

static void
on_timer(void *arg, uint64_t now)
{
	struct seen *seen = arg;

	g_assert_cmpuint(now, <=, gyp_clock_ms());
	if (seen->timers++ == 0)
		seen->reads_before = seen->reads;
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct seen *seen = w->data;

	(void)revents;
	seen->reads++;
	ev_io_stop(loop, w);
}

/* After a pause everything is due at once: the clock comes first. */
static void
test_timers_first(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct seen seen = {0, 0, 0};
	ev_io watchers[PIPES];
	int fds[PIPES][2], i;

	for (i = 0; i < PIPES; i++) {
		g_assert_cmpint(pipe(fds[i]), ==, 0);
		ev_io_init(&watchers[i], on_readable, fds[i][0], EV_READ);
		watchers[i].data = &seen;
		ev_io_start(loop, &watchers[i]);
	}
	gyp_timer_once(timers, 20, on_timer, &seen);
	ev_run(loop, EVRUN_NOWAIT);
	for (i = 0; i < PIPES; i++)
		g_assert_cmpint(write(fds[i][1], "x", 1), ==, 1);
	g_usleep(40000);
	while (seen.timers == 0 || seen.reads < PIPES)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(seen.reads_before, ==, 0);
	for (i = 0; i < PIPES; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
}

/* After a pause a periodic subscription runs once, not once a missed turn. */
static void
test_no_burst(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct seen seen = {0, 0, 0};
	struct gyp_timer *t = gyp_timer_every(timers, 2, on_timer, &seen);

	g_usleep(30000);
	ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(seen.timers, ==, 1);
	gyp_timer_cancel(timers, t);
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/timer/first", test_timers_first);
	g_test_add_func("/timer/no-burst", test_no_burst);
	return g_test_run();
}
