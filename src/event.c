#include <stdarg.h>

#include "event.h"

/* Length of a budget's window, in ms. */
#define WINDOW_MS 1000

/* Lines of one kind in the current window. */
struct tally {
	const char *name;
	uint32_t lines;
	uint32_t left_out;
};

struct gyp_events {
	GQueue queue;    /* struct gyp_event */
	GArray *tallies; /* struct tally; few, and names are literals */
	uint64_t window; /* start of the current one */
};

static void
push(struct gyp_events *ev, const char *name, char *fields)
{
	struct gyp_event *e = g_new(struct gyp_event, 1);

	e->name = name;
	e->fields = fields;
	g_queue_push_tail(&ev->queue, e);
}

static struct tally *
find_tally(struct gyp_events *ev, const char *name)
{
	struct tally fresh = {.name = name};
	guint i;

	for (i = 0; i < ev->tallies->len; i++) {
		struct tally *t = &g_array_index(ev->tallies, struct tally, i);

		if (t->name == name)
			return t;
	}
	g_array_append_val(ev->tallies, fresh);
	return &g_array_index(ev->tallies, struct tally, ev->tallies->len - 1);
}

void
gyp_events_set_time(struct gyp_events *ev, uint64_t now)
{
	guint i;

	if (now < ev->window + WINDOW_MS)
		return;
	ev->window = now;
	for (i = 0; i < ev->tallies->len; i++) {
		struct tally *t = &g_array_index(ev->tallies, struct tally, i);

		if (t->left_out > 0)
			push(ev, "events-left-out",
			    g_strdup_printf(
				"of=%s lines=%u", t->name, t->left_out));
		t->lines = 0;
		t->left_out = 0;
	}
}

void
gyp_events_add(struct gyp_events *ev, const char *name, const char *fmt, ...)
{
	struct tally *t;
	va_list ap;

	if (ev == NULL)
		return;
	t = find_tally(ev, name);
	if (t->lines >= GYP_EVENT_BUDGET) {
		t->left_out++;
		return;
	}
	t->lines++;
	va_start(ap, fmt);
	push(ev, name, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

bool
gyp_events_pop(struct gyp_events *ev, struct gyp_event *e)
{
	struct gyp_event *head = g_queue_pop_head(&ev->queue);

	if (head == NULL)
		return false;
	*e = *head;
	g_free(head);
	return true;
}

struct gyp_events *
gyp_events_new(void)
{
	struct gyp_events *ev = g_new0(struct gyp_events, 1);

	ev->tallies = g_array_new(FALSE, FALSE, sizeof(struct tally));
	return ev;
}

void
gyp_events_free(struct gyp_events *ev)
{
	struct gyp_event e;

	if (ev == NULL)
		return;
	while (gyp_events_pop(ev, &e))
		g_free(e.fields);
	g_array_free(ev->tallies, TRUE);
	g_free(ev);
}
