#ifndef GYP_WORKSPACE_VIEW_H
#define GYP_WORKSPACE_VIEW_H

#include <stdint.h>

#include <glib.h>

#include "flow.h"
#include "flow_intake.h"
#include "placer.h"

/*
 * NAME
 *	workspace_view - what operators see of workspaces
 *
 * DESCRIPTION
 *	Gathers what the tables, the placer and the intake of a leader know
 *	about each workspace, for reports, metrics and the log. Reads only, and
 *	never the keys.
 */

struct gyp_workspace_view {
	const char *name;    /* owned by the tables */
	double rate;         /* jobs a second, reported as weight; 0: any */
	struct gyp_res cap;  /* an amount of 0 is no limit */
	struct gyp_res used; /* booked by open runs */
	uint32_t open;       /* open runs */
	uint32_t waiting;    /* tasks that could start */
	uint32_t later;      /* tasks that wait for other steps or their time */
	struct gyp_intake_counts counts;
	enum gyp_placer_wait wait; /* of the latest round */
};

/*
 * Returns struct gyp_workspace_view of the workspaces that are in the manifest
 * or have flows that are not over, by name. Valid until the tables change.
 */
GArray *gyp_workspace_views(const struct gyp_flows *, const struct gyp_placer *,
    const struct gyp_flow_intake *, uint64_t wall_ms);

/* What the next task of the workspace waits for, for reports. */
const char *gyp_workspace_wait_name(const struct gyp_workspace_view *);

#endif
