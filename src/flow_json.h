#ifndef GYP_FLOW_JSON_H
#define GYP_FLOW_JSON_H

#include "buf.h"
#include "status.h"
#include "wire.pb-c.h"

/*
 * NAME
 *	flow_json - parser for flows in the JSON of the operators' interface
 *
 * DESCRIPTION
 *	The format is described in docs/API.md. Names and units are those of
 *	jobs in the same interface; the platform's own format stays in
 *	platform/.
 */

/* Longest text of a flow, in bytes. */
#define GYP_FLOW_JSON_MAX (64 * 1024)

/*
 * Returns a specification whose queue has only a name; NULL with an error that
 * names the field. The caller frees it with gyp_message_free().
 */
Gyp__FlowSpec *gyp_flow_json_parse(struct gyp_slice, struct gyp_error *);

#endif
