#ifndef GYP_EVENT_H
#define GYP_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	event - decisions of the core, as lines for the log
 *
 * DESCRIPTION
 *	The core has no output: it queues what it decided, and the shell takes
 *	the lines and logs them. Each kind of event has a budget of lines a
 *	second, so that the volume stays bounded under load; what is left out
 *	is counted and told in the next second.
 */

/* Lines of one kind of event in one second. */
#define GYP_EVENT_BUDGET 100

struct gyp_events;

/* A line: name of the event, and its fields as "key=value key=value". */
struct gyp_event {
	const char *name; /* a literal */
	char *fields;     /* released by the taker */
};

struct gyp_events *gyp_events_new(void);
void gyp_events_free(struct gyp_events *);

/* Time for the budgets, in ms. */
void gyp_events_set_time(struct gyp_events *, uint64_t now);

/* The name must be a literal. Formats nothing when the budget is spent. */
void gyp_events_add(struct gyp_events *, const char *name, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

bool gyp_events_pop(struct gyp_events *, struct gyp_event *);

#endif
