#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "timer.h"

/* More sockets than the kernel reports in one call. */
#define PIPES 300

struct counts {
	int timers;
	int reads;
	int reads_before_timer; /* reads before the first timer ran */
};

static void
on_timer(void *arg, uint64_t now)
{
	struct counts *counts = arg;

	g_assert_cmpuint(now, <=, gyp_clock_ms());
	if (counts->timers++ == 0)
		counts->reads_before_timer = counts->reads;
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct counts *counts = w->data;

	(void)revents;
	counts->reads++;
	ev_io_stop(loop, w);
}

/* After a pause, due timers run before the sockets that are also ready. */
static void
test_timers_first(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct counts counts = {0, 0, 0};
	ev_io watchers[PIPES];
	int fds[PIPES][2], i;

	for (i = 0; i < PIPES; i++) {
		g_assert_cmpint(pipe(fds[i]), ==, 0);
		ev_io_init(&watchers[i], on_readable, fds[i][0], EV_READ);
		watchers[i].data = &counts;
		ev_io_start(loop, &watchers[i]);
	}
	gyp_timer_once(timers, 20, on_timer, &counts);
	ev_run(loop, EVRUN_NOWAIT);
	for (i = 0; i < PIPES; i++)
		g_assert_cmpint(write(fds[i][1], "x", 1), ==, 1);
	g_usleep(40000);
	while (counts.timers == 0 || counts.reads < PIPES)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(counts.reads_before_timer, ==, 0);
	for (i = 0; i < PIPES; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
	gyp_timers_free(timers);
	ev_loop_destroy(loop);
}

/* After a pause a periodic timer runs once, not once per missed interval. */
static void
test_no_burst(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct gyp_timers *timers = gyp_timers_new(loop);
	struct counts counts = {0, 0, 0};
	struct gyp_timer *t = gyp_timer_every(timers, 2, on_timer, &counts);

	g_usleep(30000);
	ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(counts.timers, ==, 1);
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
