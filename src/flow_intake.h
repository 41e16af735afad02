#ifndef GYP_FLOW_INTAKE_H
#define GYP_FLOW_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "load_shed.h"

/*
 * NAME
 *	flow_intake - decides which submitted flows a leader accepts
 *
 * DESCRIPTION
 *	Handles this load: one workspace at many times its rate beside many
 *	that stay within theirs. Each flow takes a token of its workspace. A
 *	flow for which there is none is beyond the rate; whether it is accepted
 *	depends on the load, see load_shed.h.
 *
 *	A refused flow that is submitted again does not compete with new ones:
 *	it takes a token only when half a second's tokens, and more than one,
 *	are available. Otherwise a workspace that keeps sending too much would
 *	spend its rate on repeated submissions, and refuse new ones that are
 *	within it.
 *
 *	The buckets exist on a leader only. A new leader fills them from the
 *	flows that were accepted lately, which are replicated. Times are cell
 *	time in ms.
 */

enum gyp_intake_verdict {
	GYP_INTAKE_ACCEPT,
	GYP_INTAKE_ACCEPT_EXCESS, /* beyond the rate, ranked behind the rest */
	GYP_INTAKE_REFUSE
};

/* What one workspace has submitted to this leader, in flows. */
struct gyp_intake_counts {
	uint64_t accepted; /* within the rate */
	uint64_t excess;   /* accepted beyond it */
	uint64_t refused;
};

struct gyp_flow_intake;

struct gyp_flow_intake *gyp_flow_intake_new(
    const struct gyp_flows *, uint64_t now);
void gyp_flow_intake_free(struct gyp_flow_intake *);

/*
 * Decides on a flow of the workspace, which may be delayed by max_delay_ms.
 * With GYP_INTAKE_REFUSE, *retry_ms is set to the delay before a retry. A
 * workspace without a rate is never refused; nor is NULL, for no workspace.
 */
enum gyp_intake_verdict gyp_flow_intake_decide(struct gyp_flow_intake *,
    uint64_t now, const Gyp__Workspace *, uint64_t flow, double max_delay_ms,
    const struct gyp_pool_load *, uint32_t *retry_ms);

/*
 * True if the flow was refused lately, and the request was received before the
 * refusal: it was delayed on its way, and its caller has been told since that
 * the flow will not run. received_ms is 0 when unknown.
 */
bool gyp_flow_intake_is_outdated(const struct gyp_flow_intake *, uint64_t now,
    uint64_t flow, uint64_t received_ms);

/*
 * Returns what gyp_flow_intake_decide() would return for a new flow; takes no
 * token, and counts and remembers nothing.
 */
enum gyp_intake_verdict gyp_flow_intake_preview(const struct gyp_flow_intake *,
    uint64_t now, const Gyp__Workspace *, double max_delay_ms,
    const struct gyp_pool_load *, uint32_t *retry_ms);

/* Counts of the workspace of that name. */
struct gyp_intake_counts gyp_flow_intake_counts(
    const struct gyp_flow_intake *, const char *workspace);

const char *gyp_intake_verdict_name(enum gyp_intake_verdict);

#endif
