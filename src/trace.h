#ifndef GYP_TRACE_H
#define GYP_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state.h"
#include "status.h"

/*
 * NAME
 *	trace - what happened to a cell, one event a line
 *
 * DESCRIPTION
 *	A line is a time in ms, a verb and key=value pairs; "#" starts a
 *	comment line:
 *
 *	0 endpoint name=N rack=R dc=D cpu=MILLI mem=BYTES accel=N slots=N bad=B
 *	0 leave name=N
 *	0 lost name=N
 *	5 submit key=K kind=KIND team=T class=C tasks=N cpu=MILLI mem=BYTES
 *	  accel=N slots=N idem=B deadline=MS run=MS true_run=MS true_cpu=MILLI
 *	  true_mem=BYTES bad=B
 *	9 cancel team=T key=K
 *
 *	(a submit is one line). "run" is declared, "true_run" is what the task
 *	takes; a bad job fails after it, a bad endpoint fails all at once.
 *	Absent numbers are 0.
 */

enum gyp_trace_type {
	GYP_TRACE_ENDPOINT,
	GYP_TRACE_LEAVE,
	GYP_TRACE_LOST,
	GYP_TRACE_SUBMIT,
	GYP_TRACE_CANCEL
};

/* Longest name or key in a trace, with its end. */
#define GYP_TRACE_NAME_SIZE 64

struct gyp_trace_event {
	enum gyp_trace_type type;
	uint64_t at; /* ms */
	char
	    name[GYP_TRACE_NAME_SIZE]; /* of an endpoint, or the key of a job */
	char rack[GYP_TRACE_NAME_SIZE];
	char data_centre[GYP_TRACE_NAME_SIZE];
	char team[GYP_TRACE_NAME_SIZE];
	char class_name[GYP_TRACE_NAME_SIZE];
	Gyp__Kind kind;
	uint32_t tasks;
	struct gyp_res size; /* of a task, or the capacity */
	struct gyp_res used; /* true usage */
	uint64_t deadline_ms;
	uint64_t run_ms;
	uint64_t true_run_ms;
	bool idempotent;
	bool bad;
};

/* Reads one line; false for a comment or an empty line, see the error. */
bool gyp_trace_parse(
    const char *line, struct gyp_trace_event *, struct gyp_error *);

/* Appends the line of an event, with its end of line. */
void gyp_trace_format(GString *, const struct gyp_trace_event *);

#endif
