#ifndef GYP_LOG_H
#define GYP_LOG_H

/*
 * NAME
 *	log - structured lines on standard output
 *
 * DESCRIPTION
 *	One line per event: "<priority> program[pid]: event key=value ...".
 *	The caller quotes values with spaces; control characters are written as
 *	"?". Writing never blocks: a line is dropped if standard output is not
 *	writable. The next line that is written is preceded by a line
 *	"lines-dropped" with the number of dropped lines. Lines may be collected
 *	in a batch and written together, at most PIPE_BUF bytes at a time, which
 *	a pipe takes whole.
 */

enum gyp_priority {
	GYP_LOG_ERR = 3,
	GYP_LOG_WARNING = 4,
	GYP_LOG_NOTICE = 5,
	GYP_LOG_INFO = 6,
	GYP_LOG_DEBUG = 7
};

/* Returns the number of lines dropped so far. */
unsigned long gyp_log_dropped(void);

/* Sets the program's name and the least urgent priority that is written. */
void gyp_log_open(const char *program, enum gyp_priority threshold);

void gyp_log(enum gyp_priority, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

struct gyp_events;

/* Removes all events from the queue and writes them as a batch. */
void gyp_log_events(struct gyp_events *);

/* Lines logged between the two calls are collected and written together. */
void gyp_log_begin_batch(void);
void gyp_log_end_batch(void);

#endif
