#include <string.h>

#include <glib.h>

#include "early_cancels.h"

struct early_cancel {
	uint64_t flow;
	char *workspace;
	uint64_t at;
};

struct gyp_early_cancels {
	GHashTable *set; /* struct early_cancel, owned */
	GQueue by_time;  /* the same, oldest first */
};

static guint
cancel_hash(gconstpointer p)
{
	const struct early_cancel *c = p;

	return g_int64_hash(&c->flow) * 31 + g_str_hash(c->workspace);
}

static gboolean
cancel_equal(gconstpointer a, gconstpointer b)
{
	const struct early_cancel *x = a, *y = b;

	return x->flow == y->flow && strcmp(x->workspace, y->workspace) == 0;
}

static void
free_cancel(gpointer p)
{
	struct early_cancel *c = p;

	g_free(c->workspace);
	g_free(c);
}

struct gyp_early_cancels *
gyp_early_cancels_new(void)
{
	struct gyp_early_cancels *e = g_new0(struct gyp_early_cancels, 1);

	e->set =
	    g_hash_table_new_full(cancel_hash, cancel_equal, free_cancel, NULL);
	return e;
}

void
gyp_early_cancels_clear(struct gyp_early_cancels *e)
{
	g_queue_clear(&e->by_time);
	g_hash_table_remove_all(e->set);
}

void
gyp_early_cancels_free(struct gyp_early_cancels *e)
{
	gyp_early_cancels_clear(e);
	g_hash_table_destroy(e->set);
	g_free(e);
}

bool
gyp_early_cancels_has(
    const struct gyp_early_cancels *e, uint64_t flow, const char *workspace)
{
	const struct early_cancel key = {
	    .flow = flow, .workspace = (char *)workspace};

	return g_hash_table_contains(e->set, &key);
}

uint32_t
gyp_early_cancels_count(const struct gyp_early_cancels *e)
{
	return g_hash_table_size(e->set);
}

bool
gyp_early_cancels_add(struct gyp_early_cancels *e, uint64_t now, uint64_t flow,
    const char *workspace)
{
	struct early_cancel *c;

	if (gyp_early_cancels_has(e, flow, workspace))
		return true;
	if (gyp_early_cancels_count(e) >= GYP_EARLY_CANCELS_MAX)
		return false;
	c = g_new(struct early_cancel, 1);
	c->flow = flow;
	c->workspace = g_strdup(workspace);
	c->at = now;
	g_hash_table_add(e->set, c);
	g_queue_push_tail(&e->by_time, c);
	return true;
}

void
gyp_early_cancels_drop_expired(struct gyp_early_cancels *e, uint64_t now)
{
	struct early_cancel *c;

	while ((c = g_queue_peek_head(&e->by_time)) != NULL &&
	       now >= c->at + GYP_EARLY_CANCEL_RETENTION_MS) {
		g_queue_pop_head(&e->by_time);
		g_hash_table_remove(e->set, c);
	}
}

void
gyp_early_cancels_save(const struct gyp_early_cancels *e, Gyp__SnapFlows *snap)
{
	const GList *l;

	snap->early_cancels =
	    g_new(Gyp__SnapEarlyCancel *, e->by_time.length + 1);
	for (l = e->by_time.head; l != NULL; l = l->next) {
		const struct early_cancel *c = l->data;
		Gyp__SnapEarlyCancel *sc = g_new(Gyp__SnapEarlyCancel, 1);

		gyp__snap_early_cancel__init(sc);
		sc->flow = c->flow;
		sc->workspace = g_strdup(c->workspace);
		sc->at_ms = c->at;
		snap->early_cancels[snap->n_early_cancels++] = sc;
	}
}

void
gyp_early_cancels_restore(
    struct gyp_early_cancels *e, const Gyp__SnapFlows *snap)
{
	size_t i;

	gyp_early_cancels_clear(e);
	for (i = 0; i < snap->n_early_cancels; i++) {
		const Gyp__SnapEarlyCancel *sc = snap->early_cancels[i];

		gyp_early_cancels_add(e, sc->at_ms, sc->flow, sc->workspace);
	}
}
