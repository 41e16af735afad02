#include "raft_int.h"

/* ---- Log in memory ------------------------------------------------------ */

uint64_t
gyp_raft_last_index(const struct gyp_raft *r)
{
	return r->snap_index + r->log->len;
}

struct gyp_log_entry *
gyp_raft_entry_at(const struct gyp_raft *r, uint64_t index)
{
	if (index <= r->snap_index || index > gyp_raft_last_index(r))
		return NULL;
	return &g_array_index(
	    r->log, struct gyp_log_entry, index - r->snap_index - 1);
}

uint64_t
gyp_raft_term_at(const struct gyp_raft *r, uint64_t index)
{
	const struct gyp_log_entry *e = gyp_raft_entry_at(r, index);

	if (e != NULL)
		return e->term;
	return index == r->snap_index ? r->snap_term : 0;
}

void
gyp_raft_clear_entry(gpointer p)
{
	struct gyp_log_entry *e = p;

	g_bytes_unref(e->data);
}

/* Entries after last are replaced: syncs of their records no longer count. */
void
gyp_raft_limit_persisted(struct gyp_raft *r, uint64_t last)
{
	guint i;

	r->persisted_index = MIN(r->persisted_index, last);
	for (i = 0; i < r->unsynced->len; i++) {
		struct gyp_raft_unsynced *u =
		    &g_array_index(r->unsynced, struct gyp_raft_unsynced, i);

		u->last_index = MIN(u->last_index, last);
	}
}

void
gyp_raft_truncate_from(struct gyp_raft *r, uint64_t index)
{
	g_array_set_size(r->log, index - r->snap_index - 1);
	if (r->pending != NULL && r->pending_index >= index)
		gyp_raft_drop_pending_config(r);
	gyp_raft_limit_persisted(r, index - 1);
}

void
gyp_raft_push_entry(
    struct gyp_raft *r, uint64_t term, uint32_t kind, GBytes *data)
{
	struct gyp_log_entry e = {.index = gyp_raft_last_index(r) + 1,
	    .term = term,
	    .kind = kind,
	    .data = g_bytes_ref(data)};

	g_array_append_val(r->log, e);
	if (kind == GYP__ENTRY_KIND__ENTRY_CONFIG)
		gyp_raft_adopt_config(r, &e);
}

/* ---- Records ------------------------------------------------------------ */

void
gyp_raft_write_record(struct gyp_raft *r, const struct gyp_record *rec)
{
	struct gyp_raft_unsynced u = {
	    .seq = ++r->write_seq, .last_index = gyp_raft_last_index(r)};

	g_array_append_val(r->unsynced, u);
	r->io->ops->write(r->io, rec);
}

void
gyp_raft_write_vote(struct gyp_raft *r)
{
	struct gyp_record rec = {.type = GYP_RECORD_VOTE,
	    .term = r->term,
	    .vote = r->vote,
	    .index = r->config_index,
	    .kind = (r->former_voter ? GYP_VOTE_FORMER_VOTER : 0) |
		    (r->was_leader ? GYP_VOTE_WAS_LEADER : 0)};

	gyp_raft_write_record(r, &rec);
}

void
gyp_raft_append_entry(
    struct gyp_raft *r, uint64_t term, uint32_t kind, GBytes *data)
{
	struct gyp_record rec = {.type = GYP_RECORD_ENTRY,
	    .term = term,
	    .index = gyp_raft_last_index(r) + 1,
	    .kind = kind,
	    .data = data};

	gyp_raft_push_entry(r, term, kind, data);
	gyp_raft_write_record(r, &rec);
}

void
gyp_raft_append_noop(struct gyp_raft *r)
{
	GBytes *empty = g_bytes_new_static("", 0);

	gyp_raft_append_entry(r, r->term, GYP__ENTRY_KIND__ENTRY_NOOP, empty);
	g_bytes_unref(empty);
}
