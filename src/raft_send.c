#include "mutant.h"
#include "raft_int.h"

/* Maximum number of unanswered appends to one member. */
#define INFLIGHT_MAX 16

/* ---- Sending ------------------------------------------------------------ */

Gyp__RaftMsg
gyp_raft_make_message(const struct gyp_raft *r, Gyp__RaftType type, uint64_t to)
{
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;

	m.type = type;
	m.from = r->cfg.id;
	m.to = to;
	m.term = r->term;
	return m;
}

void
gyp_raft_free_deferred(gpointer p)
{
	struct gyp_raft_deferred *d = p;

	g_bytes_unref(d->packed);
	g_free(d);
}

/* Sends m once all records written so far are synced. */
void
gyp_raft_send_after_sync(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	struct gyp_raft_deferred *d;
	size_t len;
	uint8_t *bytes;

	if (r->synced_seq >= r->write_seq || GYP_MUTANT(EARLY_ACK)) {
		r->io->ops->send(r->io, m->to, m);
		return;
	}
	len = gyp__raft_msg__get_packed_size(m);
	bytes = g_malloc(len + 1);
	gyp__raft_msg__pack(m, bytes);
	d = g_new0(struct gyp_raft_deferred, 1);
	d->seq = r->write_seq;
	d->to = m->to;
	d->packed = g_bytes_new_take(bytes, len);
	g_queue_push_tail(&r->deferred, d);
}

void
gyp_raft_flush_deferred(struct gyp_raft *r)
{
	struct gyp_raft_deferred *d;

	while ((d = g_queue_peek_head(&r->deferred)) != NULL &&
	       d->seq <= r->synced_seq) {
		gsize len;
		const uint8_t *bytes = g_bytes_get_data(d->packed, &len);
		Gyp__RaftMsg *m = gyp__raft_msg__unpack(NULL, len, bytes);

		g_queue_pop_head(&r->deferred);
		r->io->ops->send(r->io, d->to, m);
		gyp__raft_msg__free_unpacked(m, NULL);
		gyp_raft_free_deferred(d);
	}
}

void
gyp_raft_drop_deferred(struct gyp_raft *r)
{
	g_queue_clear_full(&r->deferred, gyp_raft_free_deferred);
}

struct gyp_raft_progress *
gyp_raft_find_peer(const struct gyp_raft *r, uint64_t id)
{
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		struct gyp_raft_progress *p =
		    &g_array_index(r->peers, struct gyp_raft_progress, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

static void
add_peers(struct gyp_raft *r, const Gyp__Config *config)
{
	size_t i;

	if (config == NULL)
		return;
	for (i = 0; i < config->n_members; i++) {
		struct gyp_raft_progress p = {.id = config->members[i]->id,
		    .next = gyp_raft_last_index(r) + 1};

		if (p.id == r->cfg.id || gyp_raft_find_peer(r, p.id) != NULL)
			continue;
		g_array_append_val(r->peers, p);
	}
}

void
gyp_raft_update_peers(struct gyp_raft *r)
{
	guint i = 0;

	add_peers(r, r->config);
	add_peers(r, r->pending);
	while (i < r->peers->len) {
		uint64_t id =
		    g_array_index(r->peers, struct gyp_raft_progress, i).id;

		if (gyp_raft_find_member(r->config, id) == NULL &&
		    gyp_raft_find_member(r->pending, id) == NULL)
			g_array_remove_index(r->peers, i);
		else
			i++;
	}
}

/*
 * True when a member has not answered for an election timeout. It is then only
 * probed: messages to it may be lost, and a dead member must not be sent the
 * log again and again.
 */
static bool
is_unresponsive(const struct gyp_raft *r, const struct gyp_raft_progress *p)
{
	return r->now > p->answered_at + r->cfg.election_ms;
}

void
gyp_raft_send_snapshot_chunk(
    struct gyp_raft *r, struct gyp_raft_progress *p, bool empty)
{
	Gyp__RaftMsg m =
	    gyp_raft_make_message(r, GYP__RAFT_TYPE__RAFT_SNAPSHOT, p->id);
	gsize len, max_len = r->cfg.chunk_bytes;
	const uint8_t *data = g_bytes_get_data(r->snap_file, &len);

	/* An unresponsive member is probed with an empty chunk. */
	if (is_unresponsive(r, p) || empty)
		max_len = 0;
	p->offset = MIN(p->offset, len);
	m.index = r->snap_index;
	m.log_term = r->snap_term;
	m.offset = p->offset;
	m.total = len;
	m.chunk.data = (uint8_t *)data + p->offset;
	m.chunk.len = MIN(len - p->offset, max_len);
	m.round = r->now;
	p->sent_at = r->now;
	r->io->ops->send(r->io, p->id, &m);
}

/* Sends an append without entries; the reply shows what the member holds. */
static void
probe(struct gyp_raft *r, struct gyp_raft_progress *p)
{
	Gyp__RaftMsg m =
	    gyp_raft_make_message(r, GYP__RAFT_TYPE__RAFT_APPEND, p->id);

	p->next = MAX(p->match + 1, r->snap_index + 1);
	p->inflight = 0;
	m.index = p->next - 1;
	m.log_term = gyp_raft_term_at(r, m.index);
	m.commit = r->commit;
	m.round = r->now;
	p->sent_at = r->now;
	r->io->ops->send(r->io, p->id, &m);
}

/* ---- Large entries ------------------------------------------------------ */

bool
gyp_raft_is_receiving_large(const struct gyp_raft_progress *p)
{
	return p->large_index > p->match;
}

/* An entry that fills a message alone. */
static bool
is_large(const struct gyp_raft *r, const struct gyp_log_entry *e)
{
	return g_bytes_get_size(e->data) > r->cfg.append_bytes;
}

/* Voters, or learners, other than p that are receiving a large entry. */
static guint
count_receiving(const struct gyp_raft *r, const struct gyp_raft_progress *p)
{
	bool voter = gyp_raft_is_voter(r, p->id);
	guint n = 0, i;

	for (i = 0; i < r->peers->len; i++) {
		const struct gyp_raft_progress *q =
		    &g_array_index(r->peers, struct gyp_raft_progress, i);

		n += q != p && gyp_raft_is_voter(r, q->id) == voter &&
		     gyp_raft_is_receiving_large(q) && !q->sending_snapshot &&
		     !is_unresponsive(r, q);
	}
	return n;
}

static guint
count_voters(const struct gyp_raft *r)
{
	guint n = 0;
	size_t i;

	for (i = 0; i < r->config->n_members; i++)
		n += r->config->members[i]->voter;
	return n;
}

/*
 * Heartbeats wait behind a large entry on the same link, so it is sent to only
 * so many voters at once that the others suffice for the lease. Learners get it
 * one by one, once it is committed.
 */
static bool
may_send_large(const struct gyp_raft *r, const struct gyp_raft_progress *p,
    const struct gyp_log_entry *e)
{
	guint voters = count_voters(r);
	guint spare = voters - voters / 2 - 1;

	if (!gyp_raft_is_voter(r, p->id))
		return e->index <= r->commit && count_receiving(r, p) == 0;
	return count_receiving(r, p) < MAX(spare, 1);
}

/* The next entry for a member, or NULL if there is none that may be sent. */
static struct gyp_log_entry *
next_entry(const struct gyp_raft *r, const struct gyp_raft_progress *p)
{
	struct gyp_log_entry *e = gyp_raft_entry_at(r, p->next);

	return e != NULL && is_large(r, e) && !may_send_large(r, p, e) ? NULL
								       : e;
}

/* ---- Appends ------------------------------------------------------------ */

static void
send_entries(struct gyp_raft *r, struct gyp_raft_progress *p)
{
	Gyp__RaftMsg m =
	    gyp_raft_make_message(r, GYP__RAFT_TYPE__RAFT_APPEND, p->id);
	GPtrArray *ptrs = g_ptr_array_new_with_free_func(g_free);
	size_t bytes = 0;
	struct gyp_log_entry *e;

	m.index = p->next - 1;
	m.log_term = gyp_raft_term_at(r, m.index);
	m.commit = r->commit;
	m.round = r->now;
	while (bytes < r->cfg.append_bytes && (e = next_entry(r, p)) != NULL) {
		Gyp__LogEntry *le = g_new(Gyp__LogEntry, 1);
		gsize len;

		gyp__log_entry__init(le);
		le->index = e->index;
		le->term = e->term;
		le->kind = e->kind;
		le->data.data = (uint8_t *)g_bytes_get_data(e->data, &len);
		le->data.len = len;
		g_ptr_array_add(ptrs, le);
		bytes += len;
		p->next++;
		if (is_large(r, e))
			p->large_index = e->index;
	}
	m.n_entries = ptrs->len;
	m.entries = (Gyp__LogEntry **)ptrs->pdata;
	p->append_full = bytes >= r->cfg.append_bytes;
	p->sent_at = r->now;
	p->inflight++;
	r->io->ops->send(r->io, p->id, &m);
	g_ptr_array_free(ptrs, TRUE);
}

/*
 * Sends entries or a snapshot that a member lacks. With force, sends a message
 * in any case, empty if need be, as a heartbeat.
 */
void
gyp_raft_replicate(struct gyp_raft *r, struct gyp_raft_progress *p, bool force)
{
	if (p->next <= r->snap_index) {
		if (!p->sending_snapshot)
			p->offset = 0;
		/* A heartbeat during a snapshot transfer carries no data. */
		if (!p->sending_snapshot || force) {
			gyp_raft_send_snapshot_chunk(r, p, p->sending_snapshot);
			p->sending_snapshot = true;
		}
		return;
	}
	p->sending_snapshot = false;
	if (is_unresponsive(r, p)) {
		if (force)
			probe(r, p);
		return;
	}
	if (!force && (p->inflight >= INFLIGHT_MAX || next_entry(r, p) == NULL))
		return;
	send_entries(r, p);
}

void
gyp_raft_replicate_all(struct gyp_raft *r, bool force)
{
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		struct gyp_raft_progress *p =
		    &g_array_index(r->peers, struct gyp_raft_progress, i);

		/*
		 * No commit depends on a learner: it gets its entries with
		 * heartbeats, many in one message.
		 */
		if (force || gyp_raft_is_voter(r, p->id))
			gyp_raft_replicate(r, p, force);
	}
}

bool
gyp_raft_prepare_compaction(struct gyp_raft *r)
{
	bool all_sent = true;
	guint i;

	for (i = 0; i < r->peers->len && r->role == GYP_RAFT_LEADER; i++) {
		struct gyp_raft_progress *p =
		    &g_array_index(r->peers, struct gyp_raft_progress, i);

		if (p->sending_snapshot || is_unresponsive(r, p) ||
		    p->next > r->applied)
			continue;
		gyp_raft_replicate(r, p, false);
		all_sent = all_sent && p->next > r->applied;
	}
	return all_sent;
}
