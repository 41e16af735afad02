#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "event.h"
#include "log.h"

/* Longest line, in bytes. */
#define LINE_BYTES_MAX 1024

static const char *log_program = "gyp";
static enum gyp_priority log_threshold = GYP_LOG_INFO;
static int log_pid;

/* Lines of the current batch that are not written yet. */
static char log_batch[PIPE_BUF];
static size_t log_batch_len;
static unsigned long log_batch_lines;
static bool log_batching;

void
gyp_log_open(const char *program, enum gyp_priority threshold)
{
	log_program = program;
	log_threshold = threshold;
	log_pid = (int)getpid();
}

/* Lines dropped so far, and those not yet reported by "lines-dropped". */
static unsigned long log_dropped;
static unsigned long log_unreported;

/* Returns true if a write would not block now. */
static bool
stdout_writable(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

/*
 * A writable pipe takes up to PIPE_BUF bytes whole. The descriptor may be
 * shared with other processes, so it is not made non-blocking.
 */
static bool
write_bytes(const char *bytes, size_t size)
{
	return stdout_writable() && write(STDOUT_FILENO, bytes, size) > 0;
}

static void
write_batch(void)
{
	if (log_batch_len > 0 && !write_bytes(log_batch, log_batch_len)) {
		log_unreported += log_batch_lines;
		log_dropped += log_batch_lines;
	}
	log_batch_len = 0;
	log_batch_lines = 0;
}

static void
append_to_batch(const char *line, size_t size)
{
	if (log_batch_len + size > sizeof(log_batch))
		write_batch();
	memcpy(log_batch + log_batch_len, line, size);
	log_batch_len += size;
	log_batch_lines++;
}

/* Returns false if the line was dropped; a batch may still be dropped later. */
static bool
write_line(int priority, const char *event, const char *fields)
{
	char line[LINE_BYTES_MAX + 256];
	int len = snprintf(line, sizeof(line), "<%d> %s[%d]: %s %s\n", priority,
	    log_program, log_pid, event, fields);
	size_t size = MIN((size_t)len, sizeof(line) - 1);

	if (!log_batching)
		return write_bytes(line, size);
	append_to_batch(line, size);
	return true;
}

void
gyp_log_begin_batch(void)
{
	log_batching = true;
}

void
gyp_log_end_batch(void)
{
	write_batch();
	log_batching = false;
}

static const char *
dropped_text(void)
{
	static char text[64];

	snprintf(text, sizeof(text), "lines=%lu", log_unreported);
	return text;
}

unsigned long
gyp_log_dropped(void)
{
	return log_dropped;
}

/* Text from other processes must not start a line of its own. */
static void
mask_controls(char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
	}
}

void
gyp_log(enum gyp_priority priority, const char *event, const char *fmt, ...)
{
	char fields[LINE_BYTES_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	if (priority > log_threshold)
		return;
	mask_controls(fields);
	if (log_unreported > 0 &&
	    write_line(GYP_LOG_WARNING, "lines-dropped", dropped_text()))
		log_unreported = 0;
	if (log_unreported > 0 || !write_line(priority, event, fields)) {
		log_unreported++;
		log_dropped++;
	}
}

void
gyp_log_events(struct gyp_events *events)
{
	struct gyp_event e;

	gyp_log_begin_batch();
	while (gyp_events_pop(events, &e)) {
		gyp_log(GYP_LOG_INFO, e.name, "%s", e.fields);
		g_free(e.fields);
	}
	gyp_log_end_batch();
}
