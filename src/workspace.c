#include <math.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "workspace.h"

void
gyp_api_key_digest(
    const char *key, size_t len, uint8_t digest[GYP_KEY_DIGEST_BYTES])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = GYP_KEY_DIGEST_BYTES;

	g_checksum_update(sum, (const guchar *)key, (gssize)len);
	g_checksum_get_digest(sum, digest, &size);
	g_checksum_free(sum);
}

/* ---- Look-up ------------------------------------------------------------ */

static bool
has_key(const Gyp__Workspace *w, const ProtobufCBinaryData *digest)
{
	size_t i;

	for (i = 0; i < w->n_key_digests; i++) {
		if (w->key_digests[i].len == digest->len &&
		    memcmp(w->key_digests[i].data, digest->data, digest->len) ==
			0)
			return true;
	}
	return false;
}

const Gyp__Workspace *
gyp_workspace_by_key(
    const Gyp__CmdManifest *m, const ProtobufCBinaryData *digest)
{
	size_t i;

	if (digest->len != GYP_KEY_DIGEST_BYTES)
		return NULL;
	for (i = 0; i < m->n_workspaces; i++) {
		if (has_key(m->workspaces[i], digest))
			return m->workspaces[i];
	}
	return NULL;
}

const Gyp__Workspace *
gyp_workspace_by_name(const Gyp__CmdManifest *m, const char *name)
{
	size_t i;

	for (i = 0; i < m->n_workspaces; i++) {
		if (strcmp(m->workspaces[i]->name, name) == 0)
			return m->workspaces[i];
	}
	return NULL;
}

/* ---- Validation --------------------------------------------------------- */

/*
 * Adds the keys of the workspace to a map of digests to workspaces; false if
 * another workspace has one of them.
 */
static bool
add_keys(GHashTable *owners, const Gyp__Workspace *w)
{
	size_t i;

	for (i = 0; i < w->n_key_digests; i++) {
		GBytes *key = g_bytes_new_static(
		    w->key_digests[i].data, w->key_digests[i].len);
		const Gyp__Workspace *owner = g_hash_table_lookup(owners, key);

		if (owner != NULL && owner != w) {
			g_bytes_unref(key);
			return false;
		}
		g_hash_table_insert(owners, key, (gpointer)w);
	}
	return true;
}

const char *
gyp_workspaces_check(const Gyp__CmdManifest *m)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *owners = g_hash_table_new_full(
	    g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
	const char *error = NULL;
	size_t i;

	for (i = 0; error == NULL && i < m->n_workspaces; i++) {
		const Gyp__Workspace *w = m->workspaces[i];

		if (w->name[0] == '\0')
			error = "a workspace has no name";
		else if (!isfinite(w->rate) || w->rate < 0)
			error = "the weight of a workspace is negative or not "
				"finite";
		else if (!g_hash_table_add(names, w->name))
			error = "two workspaces have the same name";
		else if (!add_keys(owners, w))
			error = "two workspaces share a key";
	}
	g_hash_table_destroy(owners);
	g_hash_table_destroy(names);
	return error;
}

/* ---- Access ------------------------------------------------------------- */

enum gyp_access
gyp_workspace_access(const Gyp__CmdManifest *m, const Gyp__FlowQueue *q,
    const ProtobufCBinaryData *digest, const Gyp__Workspace **workspace)
{
	*workspace = NULL;
	if (!m->requires_keys)
		return GYP_ACCESS_GRANTED;
	*workspace = gyp_workspace_by_key(m, digest);
	return *workspace != NULL || q->is_public ? GYP_ACCESS_GRANTED
						  : GYP_ACCESS_UNAUTHENTICATED;
}

enum gyp_access
gyp_workspace_flow_access(const Gyp__CmdManifest *m, const Gyp__FlowQueue *q,
    const Gyp__Workspace *w, const Gyp__FlowSpec *spec)
{
	if (!m->requires_keys || (q->is_public && spec->queue->is_public))
		return GYP_ACCESS_GRANTED;
	if (w != NULL && (spec->workspace[0] == '\0' ||
			     strcmp(w->name, spec->workspace) == 0))
		return GYP_ACCESS_GRANTED;
	return GYP_ACCESS_FORBIDDEN;
}
