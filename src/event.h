#ifndef GYP_EVENT_H
#define GYP_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	event - log events of the core
 *
 * DESCRIPTION
 *	The core does no I/O: it queues an event for each decision, and the
 *	I/O layer removes the events and logs them. Each kind of event has a
 *	budget of lines per second, so that the log's volume stays bounded
 *	under load; events over the budget are suppressed, and their number is
 *	logged as events-left-out at the start of the next second.
 */

/* Maximum lines per second of one kind of event. */
#define GYP_EVENT_BUDGET 100

struct gyp_events;

/* A log line: name of the event, and its fields as "key=value key=value". */
struct gyp_event {
	const char *name; /* a literal */
	char *fields;     /* freed by the caller of gyp_events_pop() */
};

struct gyp_events *gyp_events_new(void);
void gyp_events_free(struct gyp_events *);

/* Sets the time for the budgets, in ms. */
void gyp_events_set_time(struct gyp_events *, uint64_t now);

/* The name must be a literal. Formats nothing when the budget is used up. */
void gyp_events_add(struct gyp_events *, const char *name, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * Returns a copy of a name that callers or operators chose, in which all
 * characters but letters, digits and -_./:@+ are replaced by "_": none is
 * mistaken for the start of another field or line of the log.
 */
char *gyp_event_name(const char *name);

/* Removes the oldest event; false when there is none. */
bool gyp_events_pop(struct gyp_events *, struct gyp_event *);

#endif
