#include <stdarg.h>

#include "event.h"

/* Length of a budget's window, in ms. */
#define WINDOW_MS 1000

/* Characters of names that the log shows as they are. */
#define NAME_CHARACTERS                                                        \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"       \
	"-_./:@+"

/* Lines of one kind of event in the current window. */
struct line_count {
	const char *name;
	uint32_t lines;
	uint32_t suppressed;
};

struct gyp_events {
	GQueue queue; /* struct gyp_event */
	/* struct line_count; few, found by the address of the name. */
	GArray *line_counts;
	uint64_t window; /* start of the current window, in ms */
};

static void
push(struct gyp_events *ev, const char *name, char *fields)
{
	struct gyp_event *e = g_new(struct gyp_event, 1);

	e->name = name;
	e->fields = fields;
	g_queue_push_tail(&ev->queue, e);
}

static struct line_count *
find_line_count(struct gyp_events *ev, const char *name)
{
	struct line_count fresh = {.name = name};
	guint i;

	for (i = 0; i < ev->line_counts->len; i++) {
		struct line_count *count =
		    &g_array_index(ev->line_counts, struct line_count, i);

		if (count->name == name)
			return count;
	}
	g_array_append_val(ev->line_counts, fresh);
	return &g_array_index(
	    ev->line_counts, struct line_count, ev->line_counts->len - 1);
}

void
gyp_events_set_time(struct gyp_events *ev, uint64_t now)
{
	guint i;

	if (now < ev->window + WINDOW_MS)
		return;
	ev->window = now;
	for (i = 0; i < ev->line_counts->len; i++) {
		struct line_count *count =
		    &g_array_index(ev->line_counts, struct line_count, i);

		if (count->suppressed > 0)
			push(ev, "events-left-out",
			    g_strdup_printf("of=%s lines=%u", count->name,
				count->suppressed));
		count->lines = 0;
		count->suppressed = 0;
	}
}

void
gyp_events_add(struct gyp_events *ev, const char *name, const char *fmt, ...)
{
	struct line_count *count;
	va_list ap;

	if (ev == NULL)
		return;
	count = find_line_count(ev, name);
	if (count->lines >= GYP_EVENT_BUDGET) {
		count->suppressed++;
		return;
	}
	count->lines++;
	va_start(ap, fmt);
	push(ev, name, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

char *
gyp_event_name(const char *name)
{
	return g_strcanon(g_strdup(name), NAME_CHARACTERS, '_');
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

	ev->line_counts = g_array_new(FALSE, FALSE, sizeof(struct line_count));
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
	g_array_free(ev->line_counts, TRUE);
	g_free(ev);
}
