#ifndef GYP_FLOW_INT_H
#define GYP_FLOW_INT_H

#include "early_cancels.h"
#include "flow.h"
#include "run_forecast.h"

/*
 * NAME
 *	flow_int - internals shared by the files of the flow tables
 *
 * DESCRIPTION
 *	flow.c		construction, lookup and the manifest
 *	flow_apply.c	application of committed commands
 *	flow_save.c	snapshots and the check of invariants
 *	flow_starts.c	commands that begin runs and confirm them
 *	admin_preview.c	makes a flow that is not in the tables
 */

struct gyp_flows {
	struct gyp_flows_listener *listener;
	uint64_t next_seq;
	uint64_t time_ms;     /* cell time of the latest command, 0 for none */
	uint64_t bounds_term; /* see gyp_flows_bounds_term() */
	uint64_t bounds_applied; /* commands about bounds; not replicated */
	GHashTable *by_id;       /* id -> struct gyp_flow, owned */
	GQueue active;           /* struct gyp_flow */
	GQueue ended;            /* struct gyp_flow, by time of their end */
	GPtrArray *hosts;        /* struct gyp_host by row; NULL if removed */
	GHashTable *host_ids;    /* id -> struct gyp_host */
	Gyp__CmdManifest *manifest;
	Gyp__CmdManifest *replaced;  /* the one before, without its text; or
					NULL, also after a restore */
	uint64_t replaced_ms;        /* cell time of that change */
	GPtrArray *workspaces;       /* struct gyp_workspace_use by row */
	GHashTable *workspace_names; /* name -> struct gyp_workspace_use */
	struct gyp_early_cancels *early_cancels;
	struct gyp_run_forecast *forecast;
};

/* flow.c */
struct gyp_flow *gyp_flow_make(const Gyp__FlowSpec *);
void gyp_flow_free(gpointer);
struct gyp_host *gyp_host_make(uint32_t row, const Gyp__CmdHost *);
void gyp_host_free(gpointer);
void gyp_flows_clear(struct gyp_flows *);
/* Attaches a new flow to its workspace, if it has one. */
void gyp_flow_join_workspace(struct gyp_flows *, struct gyp_flow *);
/* Takes the caps and rates of the workspaces from the manifest. */
void gyp_flows_refresh_limits(struct gyp_flows *);

/* flow_apply.c */
/* Books the open run of the task on the endpoint in tasks[task].row. */
void gyp_flow_book(struct gyp_flows *, struct gyp_flow *, uint32_t task);
/* The inverse of gyp_flow_book(), when the run is over. */
void gyp_flow_release(struct gyp_flows *, struct gyp_flow *, uint32_t task);
/* Voids the bounds of the leases of all endpoints. */
void gyp_flows_void_bounds(struct gyp_flows *);
/* Tells the forecast the class of the endpoint. */
void gyp_flows_set_speed_class(struct gyp_flows *, const struct gyp_host *);

/* flow_starts.c: commands that begin a run, and say what is known of it. */
void gyp_flow_apply_start(
    struct gyp_flows *, uint64_t now, const Gyp__CmdFlowStart *);
void gyp_flow_apply_confirmed(
    struct gyp_flows *, const Gyp__CmdFlowConfirmed *);
void gyp_flow_apply_repeat(struct gyp_flows *, const Gyp__CmdFlowRepeat *);

#endif
