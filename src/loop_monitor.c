#include <ev.h>
#include <glib.h>

#include "counters.h"
#include "log.h"
#include "loop_monitor.h"
#include "timer.h"

/* Shortest interval between two log lines, in ms. */
#define LOG_INTERVAL_MS 1000

struct gyp_loop_monitor {
	struct ev_loop *loop;
	struct gyp_counters *counters;
	ev_prepare prepare;       /* runs before the loop waits */
	ev_check check;           /* runs after the loop has waited */
	uint64_t iteration_start; /* by gyp_clock_ms(); 0 before the first */
	uint64_t log_after;
	unsigned suppressed; /* slow iterations since the last line */
};

static void
log_slow(struct gyp_loop_monitor *m, uint64_t now)
{
	uint64_t duration = now - m->iteration_start;

	gyp_observe_ms(m->counters, "gyp_slow_turn_seconds", "", duration);
	if (now < m->log_after) {
		m->suppressed++;
		return;
	}
	gyp_log(GYP_LOG_WARNING, "slow-turn",
	    "took_ms=%" G_GUINT64_FORMAT " others=%u", duration, m->suppressed);
	m->log_after = now + LOG_INTERVAL_MS;
	m->suppressed = 0;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct gyp_loop_monitor *m = w->data;
	uint64_t now = gyp_clock_ms();

	(void)loop;
	(void)revents;
	if (m->iteration_start != 0 &&
	    now >= m->iteration_start + GYP_LOOP_MONITOR_SLOW_MS)
		log_slow(m, now);
}

static void
on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	struct gyp_loop_monitor *m = w->data;

	(void)loop;
	(void)revents;
	m->iteration_start = gyp_clock_ms();
}

struct gyp_loop_monitor *
gyp_loop_monitor_new(struct ev_loop *loop, struct gyp_counters *counters)
{
	struct gyp_loop_monitor *m = g_new0(struct gyp_loop_monitor, 1);

	m->loop = loop;
	m->counters = counters;
	ev_prepare_init(&m->prepare, on_prepare);
	ev_check_init(&m->check, on_check);
	m->prepare.data = m->check.data = m;
	ev_set_priority(&m->check, EV_MAXPRI);
	ev_prepare_start(loop, &m->prepare);
	ev_check_start(loop, &m->check);
	return m;
}

void
gyp_loop_monitor_free(struct gyp_loop_monitor *m)
{
	if (m == NULL)
		return;
	ev_prepare_stop(m->loop, &m->prepare);
	ev_check_stop(m->loop, &m->check);
	g_free(m);
}
