#ifndef GYP_LOG_H
#define GYP_LOG_H

/*
 * NAME
 *	log - structured lines on standard output
 *
 * DESCRIPTION
 *	One line per event: "<priority> program[pid]: event key=value ...".
 *	Values with spaces are for the caller to quote; control characters are
 *	written as "?". Writing never waits: a line that the reader has no room
 *	for is dropped, and the next line that gets through is preceded by one
 *	that tells how many were. Lines of one turn of a loop may be gathered
 *	and written together, up to the size that a pipe takes whole.
 */

enum gyp_priority {
	GYP_LOG_ERR = 3,
	GYP_LOG_WARNING = 4,
	GYP_LOG_NOTICE = 5,
	GYP_LOG_INFO = 6,
	GYP_LOG_DEBUG = 7
};

/* Lines that were dropped so far. */
unsigned long gyp_log_dropped(void);

/* Names the program and sets the least urgent priority that is written. */
void gyp_log_open(const char *program, enum gyp_priority threshold);

void gyp_log(enum gyp_priority, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

struct gyp_events;

/* Writes and empties the queue of events, gathered. */
void gyp_log_events(struct gyp_events *);

/* Gathers lines from here on, and writes them; the two come in pairs. */
void gyp_log_begin_batch(void);
void gyp_log_end_batch(void);

#endif
