#ifndef GYP_WORKSPACE_H
#define GYP_WORKSPACE_H

#include <stddef.h>
#include <stdint.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	workspace - workspaces of a manifest and their API keys
 *
 * DESCRIPTION
 *	Callers belong to workspaces, which a manifest lists with their API
 *	keys, rates and caps. The manifest and the reports call the rate a
 *	weight. Keys are compared by their SHA-256 digests, so that the time of
 *	a look-up does not depend on how much of a key is right, and a process
 *	that holds no manifest text holds no key.
 *
 *	A manifest that has no list of workspaces requires no keys.
 */

/* Size of the digest of an API key, in bytes. */
#define GYP_KEY_DIGEST_BYTES 32

/* Computes the digest of a key of len bytes. */
void gyp_api_key_digest(
    const char *key, size_t len, uint8_t digest[GYP_KEY_DIGEST_BYTES]);

/* The workspace that has the key with that digest, or NULL. */
const Gyp__Workspace *gyp_workspace_by_key(
    const Gyp__CmdManifest *, const ProtobufCBinaryData *digest);

/* The workspace of that name, or NULL. */
const Gyp__Workspace *gyp_workspace_by_name(
    const Gyp__CmdManifest *, const char *name);

/*
 * NULL if the workspaces of the manifest are valid, else a description of the
 * error, which holds no key: two have the same name or share a key, or a weight
 * is not a finite number of at least 0.
 */
const char *gyp_workspaces_check(const Gyp__CmdManifest *);

/* Why a call to a queue is allowed or not. */
enum gyp_access {
	GYP_ACCESS_GRANTED,
	GYP_ACCESS_UNAUTHENTICATED, /* no key, or a key that is not in force */
	GYP_ACCESS_FORBIDDEN        /* the flow is of another workspace */
};

/*
 * Decides whether a caller with the key of that digest, which may be empty, may
 * call the queue. *workspace is set to the caller's workspace, or to NULL when
 * the call is allowed without one.
 */
enum gyp_access gyp_workspace_access(const Gyp__CmdManifest *,
    const Gyp__FlowQueue *, const ProtobufCBinaryData *digest,
    const Gyp__Workspace **workspace);

/*
 * Decides whether a caller of the workspace, NULL for none, may read or cancel
 * a flow with that specification through the queue. The flow may have been
 * submitted to another queue: that the queue of the call is public gives no
 * access to the flows of the other queues.
 */
enum gyp_access gyp_workspace_flow_access(const Gyp__CmdManifest *,
    const Gyp__FlowQueue *, const Gyp__Workspace *, const Gyp__FlowSpec *);

#endif
