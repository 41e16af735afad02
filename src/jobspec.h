#ifndef GYP_JOBSPEC_H
#define GYP_JOBSPEC_H

#include "buf.h"
#include "status.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	jobspec - parser for job requests in JSON
 *
 * DESCRIPTION
 *	Fields: kind (request, batch, watcher, gang), team, class, tasks,
 *	cpu_milli, memory_bytes, accelerators, slots, idempotent, urgent,
 *	deadline_ms, run_ms, and payload or payload_base64. The error for an
 *	unknown field or a wrong type names the field.
 */

/* Longest team, class or key, in bytes. */
#define GYP_NAME_MAX 128

/* Parses a request. The caller frees the spec with gyp_message_free(). */
enum gyp_status gyp_jobspec_parse(struct gyp_slice json, const char *key,
    Gyp__JobSpec **, struct gyp_error *);

#endif
