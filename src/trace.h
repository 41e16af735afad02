#ifndef GYP_TRACE_H
#define GYP_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state.h"
#include "status.h"

/*
 * NAME
 *	trace - text format of the events of a cell, one per line
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
 *	A submit is a single line; it is folded here. "run" is the declared run
 *	time, "true_run" the actual one. A bad job fails after its true run
 *	time; every start at a bad endpoint fails. Absent numbers are 0, except
 *	"tasks", which is 1.
 */

enum gyp_trace_type {
	GYP_TRACE_ENDPOINT,
	GYP_TRACE_LEAVE,
	GYP_TRACE_LOST,
	GYP_TRACE_SUBMIT,
	GYP_TRACE_CANCEL
};

/* Size of a name or key in a trace, with the terminating NUL. */
#define GYP_TRACE_NAME_SIZE 64

struct gyp_trace_event {
	enum gyp_trace_type type;
	uint64_t at;                    /* ms */
	char name[GYP_TRACE_NAME_SIZE]; /* of the endpoint, or key of the job */
	char rack[GYP_TRACE_NAME_SIZE];
	char data_centre[GYP_TRACE_NAME_SIZE];
	char team[GYP_TRACE_NAME_SIZE];
	char class_name[GYP_TRACE_NAME_SIZE];
	Gyp__Kind kind;
	uint32_t tasks;
	struct gyp_res size; /* of a task, or capacity of the endpoint */
	struct gyp_res used; /* true usage of a task */
	uint64_t deadline_ms;
	uint64_t run_ms;
	uint64_t true_run_ms;
	bool idempotent;
	bool bad;
};

/*
 * Parses one line. Returns false with the error set if the line is malformed,
 * and false with the error code GYP_OK for a comment or an empty line.
 */
bool gyp_trace_parse(
    const char *line, struct gyp_trace_event *, struct gyp_error *);

/* Appends the line of an event, with a newline. */
void gyp_trace_format(GString *, const struct gyp_trace_event *);

#endif
