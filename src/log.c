#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#include "log.h"

/* Longest line, in bytes. */
#define LINE_MAX_BYTES 1024

static const char *log_program = "gyp";
static enum gyp_priority log_least = GYP_LOG_INFO;

void
gyp_log_open(const char *program, enum gyp_priority least)
{
	log_program = program;
	log_least = least;
}

/* What came from elsewhere must not begin a line of its own. */
static void
hide_controls(char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
	}
}

void
gyp_log(enum gyp_priority priority, const char *event, const char *fmt, ...)
{
	char fields[LINE_MAX_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	if (priority > log_least)
		return;
	hide_controls(fields);
	fprintf(stderr, "<%d> %s[%d]: %s %s\n", priority, log_program,
	    (int)getpid(), event, fields);
}
