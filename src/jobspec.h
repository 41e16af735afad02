#ifndef GYP_JOBSPEC_H
#define GYP_JOBSPEC_H

#include "buf.h"
#include "status.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	jobspec - job requests in JSON
 *
 * DESCRIPTION
 *	Fields: kind (request, batch, watcher, gang), team, class, tasks,
 *	cpu_milli, memory_bytes, accelerators, slots, idempotent, urgent,
 *	deadline_ms, run_ms, and payload or payload_base64. An unknown field
 *	or a wrong type is refused with the field's name.
 */

/* Longest team, class or key, in bytes. */
#define GYP_NAME_MAX 128

/* Parses a request; the spec is released by gyp_message_free(). */
enum gyp_status gyp_jobspec_parse(struct gyp_slice json, const char *key,
    Gyp__JobSpec **, struct gyp_error *);

#endif
