#ifndef GYP_WORKSPACE_METRICS_H
#define GYP_WORKSPACE_METRICS_H

#include <glib.h>

#include "counters.h"
#include "event.h"
#include "workspace_view.h"

/*
 * NAME
 *	workspace_metrics - metrics and log line of workspaces
 *
 * DESCRIPTION
 *	Handles these loads: a manifest with thousands of workspaces, and one
 *	that changes often. The first GYP_WORKSPACES_MEASURED workspaces that
 *have flows get a label of their own, which they keep until the process ends,
 *	so that their counters never decrease. All others share the label
 *	"other".
 */

/* Workspaces with a label of their own. */
#define GYP_WORKSPACES_MEASURED 64

struct gyp_workspace_metrics;

/* The counters must stay valid. */
struct gyp_workspace_metrics *gyp_workspace_metrics_new(struct gyp_counters *);
void gyp_workspace_metrics_free(struct gyp_workspace_metrics *);

/* Counts a flow that was accepted or refused. */
void gyp_workspace_metrics_submit(
    struct gyp_workspace_metrics *, const char *workspace, const char *verdict);

/*
 * Sets the gauges from struct gyp_workspace_view. A cap of the label "other" is
 * the sum of the caps, or 0 if one of these workspaces has no limit.
 */
void gyp_workspace_metrics_set(
    struct gyp_workspace_metrics *, const GArray *views);

/* Sets all gauges to 0: this process no longer leads. */
void gyp_workspace_metrics_clear(struct gyp_workspace_metrics *);

/*
 * Logs one line with the workspaces that have the most open runs, tasks that
 * could start and flows since the previous line; none if there is no such
 * workspace.
 */
void gyp_workspace_metrics_log(
    struct gyp_workspace_metrics *, const GArray *views, struct gyp_events *);

#endif
