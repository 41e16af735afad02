#include "raft_int.h"

/* Largest snapshot taken from another replica, in bytes. */
#define SNAPSHOT_BYTES_MAX (256ULL * 1024 * 1024)

/* ---- Snapshots ---------------------------------------------------------- */

static void
set_snapshot(struct gyp_raft *r, const Gyp__SnapshotFile *file, GBytes *raw)
{
	if (r->snap_file != NULL)
		g_bytes_unref(r->snap_file);
	r->snap_file = g_bytes_ref(raw);
	r->snap_index = file->index;
	r->snap_term = file->term;
}

/* Replaces log and state by a snapshot; false when it is malformed. */
bool
gyp_raft_install_snapshot(struct gyp_raft *r, GBytes *raw)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(raw, &len);
	Gyp__SnapshotFile *file = gyp__snapshot_file__unpack(NULL, len, data);

	if (file == NULL || file->config == NULL) {
		if (file != NULL)
			gyp__snapshot_file__free_unpacked(file, NULL);
		return false;
	}
	g_array_set_size(r->log, 0);
	r->applied_bytes = 0;
	gyp_raft_drop_pending_config(r);
	gyp_raft_set_config(r, gyp_raft_copy_config(file->config));
	r->config_index = MAX(r->config_index, file->index);
	set_snapshot(r, file, raw);
	r->commit = file->index;
	r->applied = file->index;
	r->io->ops->restore(r->io, file);
	gyp__snapshot_file__free_unpacked(file, NULL);
	return true;
}

/*
 * A foreign snapshot, received from another replica, voids all entry records
 * written before it.
 */
static void
write_snapshot(struct gyp_raft *r, bool foreign)
{
	struct gyp_record rec = {.type = GYP_RECORD_SNAPSHOT,
	    .kind = foreign,
	    .index = r->snap_index,
	    .term = r->snap_term,
	    .data = r->snap_file};

	gyp_raft_write_record(r, &rec);
}

static void
reset_incoming(struct gyp_raft *r, uint64_t index, uint64_t from)
{
	r->incoming.index = index;
	r->incoming.from = from;
	g_byte_array_set_size(r->incoming.data, 0);
}

static void
finish_incoming(struct gyp_raft *r)
{
	guint len = r->incoming.data->len;
	GBytes *raw = g_bytes_new(r->incoming.data->data, len);

	if (gyp_raft_install_snapshot(r, raw)) {
		gyp_raft_limit_persisted(r, 0);
		write_snapshot(r, true);
	}
	g_bytes_unref(raw);
	reset_incoming(r, 0, 0);
}

/*
 * When the log holds the last entry that the snapshot covers, the two agree up
 * to it, and all entries up to it are committed. The snapshot is not installed
 * then: that would drop the entries after it, which this replica may have
 * acknowledged to an earlier leader.
 */
static void
commit_covered_entries(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	if (m->index <= r->commit || m->index > gyp_raft_last_index(r) ||
	    gyp_raft_term_at(r, m->index) != m->log_term)
		return;
	r->commit = m->index;
	gyp_raft_apply_committed(r);
}

void
gyp_raft_on_snapshot(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply;
	uint64_t received;

	gyp_raft_accept_leader(r, m);
	reply = gyp_raft_make_message(
	    r, GYP__RAFT_TYPE__RAFT_SNAPSHOT_REPLY, m->from);
	reply.round = m->round;
	commit_covered_entries(r, m);
	if (m->index <= r->commit) {
		reply.type = GYP__RAFT_TYPE__RAFT_APPEND_REPLY;
		reply.index = r->commit;
		gyp_raft_send_after_sync(r, &reply);
		return;
	}
	if (m->total > SNAPSHOT_BYTES_MAX)
		return;
	if (r->incoming.index != m->index || r->incoming.from != m->from)
		reset_incoming(r, m->index, m->from);
	if (m->offset == r->incoming.data->len)
		g_byte_array_append(
		    r->incoming.data, m->chunk.data, m->chunk.len);
	received = r->incoming.data->len;
	if (received >= m->total) {
		finish_incoming(r);
		reply.type = GYP__RAFT_TYPE__RAFT_APPEND_REPLY;
		reply.index = r->snap_index;
		gyp_raft_send_after_sync(r, &reply);
		return;
	}
	reply.index = m->index;
	reply.offset = received;
	r->io->ops->send(r->io, m->from, &reply);
}

void
gyp_raft_on_snapshot_reply(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	struct gyp_raft_progress *p = gyp_raft_find_peer(r, m->from);

	if (r->role != GYP_RAFT_LEADER || m->term != r->term || p == NULL)
		return;
	p->acked_sent_at = MAX(p->acked_sent_at, MIN(m->round, r->now));
	p->answered_at = r->now;
	if (!p->sending_snapshot || m->index != r->snap_index)
		return;
	/* Late replies must neither rewind the transfer nor duplicate it. */
	if (m->offset < p->offset && m->round <= p->offset_changed_at)
		return;
	if (m->offset == p->offset && m->round != p->sent_at)
		return;
	if (m->offset != p->offset)
		p->offset_changed_at = r->now;
	p->offset = m->offset;
	gyp_raft_send_snapshot_chunk(r, p, false);
}

void
gyp_raft_compact(struct gyp_raft *r, uint64_t index, GBytes *state)
{
	Gyp__SnapshotFile file = GYP__SNAPSHOT_FILE__INIT;
	gsize len;
	guint i, drop;
	uint8_t *bytes;
	GBytes *raw;

	if (index <= r->snap_index || index > r->applied)
		return;
	file.index = index;
	file.term = gyp_raft_term_at(r, index);
	file.config = r->config;
	file.state.data = (uint8_t *)g_bytes_get_data(state, &len);
	file.state.len = len;
	len = gyp__snapshot_file__get_packed_size(&file);
	bytes = g_malloc(len);
	gyp__snapshot_file__pack(&file, bytes);
	raw = g_bytes_new_take(bytes, len);

	drop = (guint)(index - r->snap_index);
	for (i = 0; i < drop; i++)
		r->applied_bytes -= g_bytes_get_size(
		    g_array_index(r->log, struct gyp_log_entry, i).data);
	g_array_remove_range(r->log, 0, drop);
	set_snapshot(r, &file, raw);
	g_bytes_unref(raw);
	write_snapshot(r, false);
}
