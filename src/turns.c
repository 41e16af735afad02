#include <ev.h>
#include <glib.h>

#include "counters.h"
#include "log.h"
#include "timer.h"
#include "turns.h"

/* Shortest interval between two lines, in ms. */
#define LINE_MS 1000

struct gyp_turns {
	struct ev_loop *loop;
	struct gyp_counters *counters;
	ev_prepare prepare; /* before the loop waits */
	ev_check check;     /* after it has waited */
	uint64_t since;     /* start of the turn, our clock; 0 for none */
	uint64_t line_at;
	unsigned left_out; /* slow turns since the last line */
};

static void
note_slow(struct gyp_turns *t, uint64_t now)
{
	uint64_t took = now - t->since;

	gyp_observe_ms(t->counters, "gyp_slow_turn_seconds", "", took);
	if (now < t->line_at) {
		t->left_out++;
		return;
	}
	gyp_log(GYP_LOG_WARNING, "slow-turn",
	    "took_ms=%" G_GUINT64_FORMAT " others=%u", took, t->left_out);
	t->line_at = now + LINE_MS;
	t->left_out = 0;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct gyp_turns *t = w->data;
	uint64_t now = gyp_clock_ms();

	(void)loop;
	(void)revents;
	if (t->since != 0 && now >= t->since + GYP_TURNS_SLOW_MS)
		note_slow(t, now);
}

static void
on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	struct gyp_turns *t = w->data;

	(void)loop;
	(void)revents;
	t->since = gyp_clock_ms();
}

struct gyp_turns *
gyp_turns_new(struct ev_loop *loop, struct gyp_counters *counters)
{
	struct gyp_turns *t = g_new0(struct gyp_turns, 1);

	t->loop = loop;
	t->counters = counters;
	ev_prepare_init(&t->prepare, on_prepare);
	ev_check_init(&t->check, on_check);
	t->prepare.data = t->check.data = t;
	ev_set_priority(&t->check, EV_MAXPRI);
	ev_prepare_start(loop, &t->prepare);
	ev_check_start(loop, &t->check);
	return t;
}

void
gyp_turns_free(struct gyp_turns *t)
{
	if (t == NULL)
		return;
	ev_prepare_stop(t->loop, &t->prepare);
	ev_check_stop(t->loop, &t->check);
	g_free(t);
}
