#ifndef GYP_ADMIN_INT_H
#define GYP_ADMIN_INT_H

#include <jansson.h>

#include "replica_int.h"

/*
 * NAME
 *	admin_int - JSON reports for operators
 *
 * DESCRIPTION
 *	admin.c		status, endpoints, members
 *	admin_workspaces.c	workspaces: cap, use, what waits
 *	admin_preview.c	where a flow would go now
 *	admin_rules.c	rules in force and their history
 *	admin_explain.c	why a job waits or how it was placed
 *
 *	Each function returns a new JSON value. Those of a version or a job
 *	return NULL if it does not exist.
 */

json_t *gyp_admin_res(const struct gyp_res *);
json_t *gyp_admin_endpoint(const struct gyp_endpoint *);
json_t *gyp_admin_workspaces(const struct gyp_replica *);
/* The same, for an array of struct gyp_workspace_view. */
json_t *gyp_admin_workspace_views(const GArray *);
/* Sets the code, and returns the error as JSON if the text is not valid. */
json_t *gyp_admin_preview(
    const struct gyp_replica *, const char *text, Gyp__Code *);
json_t *gyp_admin_rules(const struct gyp_replica *, uint64_t version);
json_t *gyp_admin_history(const struct gyp_replica *);
json_t *gyp_admin_explain(const struct gyp_replica *, uint64_t job);

#endif
