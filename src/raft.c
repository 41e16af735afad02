#include <string.h>

#include "raft.h"

/* Default of the bytes of entries in one append message. */
#define APPEND_BYTES (256 * 1024)

/* Default of the bytes of a snapshot in one message. */
#define CHUNK_BYTES (256 * 1024)

/* Largest snapshot taken from another replica, in bytes. */
#define SNAPSHOT_BYTES_MAX (256ULL * 1024 * 1024)

/* Appends to one member that may be under way without an answer. */
#define INFLIGHT_MAX 16

/* What the leader knows of another member. */
struct progress {
	uint64_t id;
	uint64_t next;  /* next index to send */
	uint64_t match; /* known to be on its disk */
	uint64_t heard; /* our clock when it got our latest answered message */
	uint64_t sent;  /* time of the latest message */
	uint64_t answered; /* time of the latest answer */
	uint64_t offset;   /* bytes of the snapshot it has */
	uint32_t inflight;
	bool snapshot; /* is being sent a snapshot */
};

/* A record batch that is not known to be synced. */
struct unsynced {
	uint64_t seq;
	uint64_t last_index;
};

/* A message that waits for a sync. */
struct deferred {
	uint64_t seq;
	uint64_t to;
	GBytes *packed;
};

struct gyp_raft {
	struct gyp_raft_io *io;
	struct gyp_raft_config cfg;
	GRand *rand;
	uint64_t now;
	uint64_t started; /* time of the first tick */

	enum gyp_raft_role role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	uint64_t leader_contact; /* last time the leader was heard */
	uint64_t election_at;
	uint64_t heartbeat_at;
	uint64_t successor;       /* is to take over, 0 for none */
	uint64_t successor_until; /* then the leader goes on */
	uint64_t prevote_at;      /* when the latest pre-vote was asked for */
	bool forced;              /* the campaign was asked for by the leader */

	GArray *log; /* struct gyp_entry; index snap_index + 1 comes first */
	uint64_t log_bytes;
	uint64_t snap_index;
	uint64_t snap_term;
	GBytes *snap_file;
	struct {
		uint64_t index;
		uint64_t from;
		GByteArray *data;
	} incoming;

	uint64_t commit;
	uint64_t applied;
	uint64_t term_start; /* index of the leader's first own entry */

	Gyp__Config *config;   /* newest known to be committed */
	uint64_t config_index; /* no entry up to here can be pending */
	uint64_t settled;      /* a majority knows once this is committed */
	Gyp__Config *pending;  /* appended after it, or NULL */
	uint64_t pending_index;

	GArray *peers; /* struct progress */
	GHashTable *votes;

	uint64_t write_seq;
	uint64_t synced_seq;
	uint64_t persisted; /* last index on our own disk */
	GArray *unsynced;
	GQueue deferred; /* struct deferred */
};

static void apply_committed(struct gyp_raft *);
static void call_successor(struct gyp_raft *, const struct progress *);

/* ---- Configurations ---------------------------------------------------- */

static Gyp__Config *
copy_config(const Gyp__Config *config)
{
	size_t len = gyp__config__get_packed_size(config);
	uint8_t *bytes = g_malloc(len + 1);
	Gyp__Config *copy;

	gyp__config__pack(config, bytes);
	copy = gyp__config__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

static const Gyp__Member *
find_member(const Gyp__Config *config, uint64_t id)
{
	size_t i;

	if (config == NULL)
		return NULL;
	for (i = 0; i < config->n_members; i++) {
		if (config->members[i]->id == id)
			return config->members[i];
	}
	return NULL;
}

const Gyp__Config *
gyp_raft_members(const struct gyp_raft *r)
{
	return r->pending != NULL ? r->pending : r->config;
}

bool
gyp_raft_changing(const struct gyp_raft *r)
{
	return r->pending != NULL ||
	       (r->role == GYP_RAFT_LEADER && r->commit < r->settled);
}

static bool
is_voter(const struct gyp_raft *r, uint64_t id)
{
	const Gyp__Member *a = find_member(r->config, id);
	const Gyp__Member *b = find_member(r->pending, id);

	return (a != NULL && a->voter) || (b != NULL && b->voter);
}

static void
set_config(struct gyp_raft *r, Gyp__Config *config)
{
	gyp__config__free_unpacked(r->config, NULL);
	r->config = config;
}

static void
drop_pending(struct gyp_raft *r)
{
	if (r->pending != NULL)
		gyp__config__free_unpacked(r->pending, NULL);
	r->pending = NULL;
	r->pending_index = 0;
}

/*
 * Only one configuration is ever uncommitted, so the append of another
 * proves that the one before it was committed.
 */
static void
adopt_config(struct gyp_raft *r, const struct gyp_entry *e)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);
	Gyp__Config *config = gyp__config__unpack(NULL, len, data);

	if (config == NULL)
		return;
	if (r->pending != NULL)
		set_config(r, r->pending);
	r->pending = config;
	r->pending_index = e->index;
	if (e->index <= r->config_index) {
		set_config(r, config);
		r->pending = NULL;
		r->pending_index = 0;
	}
}

typedef bool (*member_test)(const struct gyp_raft *, uint64_t id, uint64_t arg);

static bool
majority_of(const struct gyp_raft *r, const Gyp__Config *config,
    member_test test, uint64_t arg)
{
	size_t i, voters = 0, yes = 0;

	for (i = 0; i < config->n_members; i++) {
		if (!config->members[i]->voter)
			continue;
		voters++;
		if (test(r, config->members[i]->id, arg))
			yes++;
	}
	return voters > 0 && yes > voters / 2;
}

static bool
quorum(const struct gyp_raft *r, member_test test, uint64_t arg)
{
	if (!majority_of(r, r->config, test, arg))
		return r->config->n_members == 0 && r->pending != NULL &&
		       majority_of(r, r->pending, test, arg);
	return r->pending == NULL || majority_of(r, r->pending, test, arg);
}

/* ---- Log in memory ----------------------------------------------------- */

uint64_t
gyp_raft_last_index(const struct gyp_raft *r)
{
	return r->snap_index + r->log->len;
}

static struct gyp_entry *
entry_at(const struct gyp_raft *r, uint64_t index)
{
	if (index <= r->snap_index || index > gyp_raft_last_index(r))
		return NULL;
	return &g_array_index(
	    r->log, struct gyp_entry, index - r->snap_index - 1);
}

static uint64_t
term_at(const struct gyp_raft *r, uint64_t index)
{
	const struct gyp_entry *e = entry_at(r, index);

	if (e != NULL)
		return e->term;
	return index == r->snap_index ? r->snap_term : 0;
}

static void
clear_entry(gpointer p)
{
	struct gyp_entry *e = p;

	g_bytes_unref(e->data);
}

/* Entries past last are replaced: their records no longer count. */
static void
forget_persisted(struct gyp_raft *r, uint64_t last)
{
	guint i;

	r->persisted = MIN(r->persisted, last);
	for (i = 0; i < r->unsynced->len; i++) {
		struct unsynced *u =
		    &g_array_index(r->unsynced, struct unsynced, i);

		u->last_index = MIN(u->last_index, last);
	}
}

static void
truncate_from(struct gyp_raft *r, uint64_t index)
{
	guint i;

	for (i = index - r->snap_index - 1; i < r->log->len; i++)
		r->log_bytes -= g_bytes_get_size(
		    g_array_index(r->log, struct gyp_entry, i).data);
	g_array_set_size(r->log, index - r->snap_index - 1);
	if (r->pending != NULL && r->pending_index >= index)
		drop_pending(r);
	forget_persisted(r, index - 1);
}

static void
push_entry(struct gyp_raft *r, uint64_t term, uint32_t kind, GBytes *data)
{
	struct gyp_entry e = {.index = gyp_raft_last_index(r) + 1,
	    .term = term,
	    .kind = kind,
	    .data = g_bytes_ref(data)};

	g_array_append_val(r->log, e);
	r->log_bytes += g_bytes_get_size(data);
	if (kind == GYP__ENTRY_KIND__ENTRY_CONFIG)
		adopt_config(r, &e);
}

/* ---- Records ----------------------------------------------------------- */

static void
write_record(struct gyp_raft *r, const struct gyp_record *rec)
{
	struct unsynced u = {
	    .seq = ++r->write_seq, .last_index = gyp_raft_last_index(r)};

	g_array_append_val(r->unsynced, u);
	r->io->ops->write(r->io, rec);
}

static void
write_vote(struct gyp_raft *r)
{
	struct gyp_record rec = {.type = GYP_RECORD_VOTE,
	    .term = r->term,
	    .vote = r->vote,
	    .index = r->config_index};

	write_record(r, &rec);
}

static void
append_entry(struct gyp_raft *r, uint64_t term, uint32_t kind, GBytes *data)
{
	struct gyp_record rec = {.type = GYP_RECORD_ENTRY,
	    .term = term,
	    .index = gyp_raft_last_index(r) + 1,
	    .kind = kind,
	    .data = data};

	push_entry(r, term, kind, data);
	write_record(r, &rec);
}

/* ---- Sending ----------------------------------------------------------- */

static Gyp__RaftMsg
make_message(const struct gyp_raft *r, Gyp__RaftType type, uint64_t to)
{
	Gyp__RaftMsg m = GYP__RAFT_MSG__INIT;

	m.type = type;
	m.from = r->cfg.id;
	m.to = to;
	m.term = r->term;
	return m;
}

static void
free_deferred(gpointer p)
{
	struct deferred *d = p;

	g_bytes_unref(d->packed);
	g_free(d);
}

/* Sends m once every record written so far is synced. */
static void
send_durable(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	struct deferred *d;
	size_t len;
	uint8_t *bytes;

	if (r->synced_seq >= r->write_seq) {
		r->io->ops->send(r->io, m->to, m);
		return;
	}
	len = gyp__raft_msg__get_packed_size(m);
	bytes = g_malloc(len + 1);
	gyp__raft_msg__pack(m, bytes);
	d = g_new0(struct deferred, 1);
	d->seq = r->write_seq;
	d->to = m->to;
	d->packed = g_bytes_new_take(bytes, len);
	g_queue_push_tail(&r->deferred, d);
}

static void
flush_deferred(struct gyp_raft *r)
{
	struct deferred *d;

	while ((d = g_queue_peek_head(&r->deferred)) != NULL &&
	       d->seq <= r->synced_seq) {
		gsize len;
		const uint8_t *bytes = g_bytes_get_data(d->packed, &len);
		Gyp__RaftMsg *m = gyp__raft_msg__unpack(NULL, len, bytes);

		g_queue_pop_head(&r->deferred);
		r->io->ops->send(r->io, d->to, m);
		gyp__raft_msg__free_unpacked(m, NULL);
		free_deferred(d);
	}
}

static struct progress *
find_peer(const struct gyp_raft *r, uint64_t id)
{
	guint i;

	for (i = 0; i < r->peers->len; i++) {
		struct progress *p =
		    &g_array_index(r->peers, struct progress, i);

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
		struct progress p = {.id = config->members[i]->id,
		    .next = gyp_raft_last_index(r) + 1};

		if (p.id == r->cfg.id || find_peer(r, p.id) != NULL)
			continue;
		g_array_append_val(r->peers, p);
	}
}

static void
sync_peers(struct gyp_raft *r)
{
	guint i = 0;

	add_peers(r, r->config);
	add_peers(r, r->pending);
	while (i < r->peers->len) {
		uint64_t id = g_array_index(r->peers, struct progress, i).id;

		if (find_member(r->config, id) == NULL &&
		    find_member(r->pending, id) == NULL)
			g_array_remove_index(r->peers, i);
		else
			i++;
	}
}

static void
send_chunk(struct gyp_raft *r, struct progress *p)
{
	Gyp__RaftMsg m = make_message(r, GYP__RAFT_TYPE__RAFT_SNAPSHOT, p->id);
	gsize len, room = r->cfg.chunk_bytes;
	const uint8_t *data = g_bytes_get_data(r->snap_file, &len);

	/* Probes with an empty chunk while the member does not answer. */
	if (r->now > p->answered + r->cfg.election_ms)
		room = 0;
	p->offset = MIN(p->offset, len);
	m.index = r->snap_index;
	m.log_term = r->snap_term;
	m.offset = p->offset;
	m.total = len;
	m.chunk.data = (uint8_t *)data + p->offset;
	m.chunk.len = MIN(len - p->offset, room);
	m.round = r->now;
	p->sent = r->now;
	r->io->ops->send(r->io, p->id, &m);
}

static void
send_entries(struct gyp_raft *r, struct progress *p)
{
	Gyp__RaftMsg m = make_message(r, GYP__RAFT_TYPE__RAFT_APPEND, p->id);
	GPtrArray *ptrs = g_ptr_array_new_with_free_func(g_free);
	size_t bytes = 0;
	struct gyp_entry *e;

	m.index = p->next - 1;
	m.log_term = term_at(r, m.index);
	m.commit = r->commit;
	m.round = r->now;
	while (
	    bytes < r->cfg.append_bytes && (e = entry_at(r, p->next)) != NULL) {
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
	}
	m.n_entries = ptrs->len;
	m.entries = (Gyp__LogEntry **)ptrs->pdata;
	p->sent = r->now;
	p->inflight++;
	r->io->ops->send(r->io, p->id, &m);
	g_ptr_array_free(ptrs, TRUE);
}

/* Sends what a member lacks; with force an empty append serves as heartbeat. */
static void
replicate(struct gyp_raft *r, struct progress *p, bool force)
{
	if (p->next <= r->snap_index) {
		if (!p->snapshot)
			p->offset = 0;
		if (!p->snapshot || force) {
			p->snapshot = true;
			send_chunk(r, p);
		}
		return;
	}
	p->snapshot = false;
	if (force && p->inflight >= INFLIGHT_MAX / 2 &&
	    r->now > p->answered + 2 * r->cfg.heartbeat_ms) {
		p->next = MAX(p->match + 1, r->snap_index + 1);
		p->inflight = 0;
	}
	if (!force &&
	    (p->inflight >= INFLIGHT_MAX || p->next > gyp_raft_last_index(r)))
		return;
	send_entries(r, p);
}

static void
replicate_all(struct gyp_raft *r, bool force)
{
	guint i;

	for (i = 0; i < r->peers->len; i++)
		replicate(
		    r, &g_array_index(r->peers, struct progress, i), force);
}

/* ---- Roles ------------------------------------------------------------- */

static void
reset_election(struct gyp_raft *r)
{
	r->election_at =
	    r->now + r->cfg.election_ms +
	    (uint64_t)g_rand_int_range(r->rand, 0, (gint32)r->cfg.election_ms);
}

static void
set_term(struct gyp_raft *r, uint64_t term, uint64_t vote)
{
	struct deferred *d;

	if (term == r->term && vote == r->vote)
		return;
	if (term != r->term) {
		/* Acknowledgements of an older term may no longer be true. */
		while ((d = g_queue_pop_head(&r->deferred)) != NULL)
			free_deferred(d);
	}
	r->term = term;
	r->vote = vote;
	write_vote(r);
}

static void
become_follower(struct gyp_raft *r, uint64_t term, uint64_t leader)
{
	if (term > r->term)
		set_term(r, term, 0);
	if (r->role != GYP_RAFT_FOLLOWER || leader != r->leader)
		reset_election(r);
	r->role = GYP_RAFT_FOLLOWER;
	r->leader = leader;
}

static void
append_noop(struct gyp_raft *r)
{
	GBytes *empty = g_bytes_new_static("", 0);

	append_entry(r, r->term, GYP__ENTRY_KIND__ENTRY_NOOP, empty);
	g_bytes_unref(empty);
}

static void
become_leader(struct gyp_raft *r)
{
	guint i;

	r->role = GYP_RAFT_LEADER;
	r->leader = r->cfg.id;
	r->successor = 0;
	r->heartbeat_at = r->now + r->cfg.heartbeat_ms;
	g_array_set_size(r->peers, 0);
	sync_peers(r);
	for (i = 0; i < r->peers->len; i++) {
		struct progress *p =
		    &g_array_index(r->peers, struct progress, i);

		p->heard = r->now;
	}
	append_noop(r);
	r->term_start = gyp_raft_last_index(r);
	r->settled = r->term_start;
	replicate_all(r, true);
}

static bool
has_voted(const struct gyp_raft *r, uint64_t id, uint64_t arg)
{
	(void)arg;
	return g_hash_table_contains(r->votes, &id);
}

static void
add_vote(struct gyp_raft *r, uint64_t id)
{
	g_hash_table_add(r->votes, g_memdup2(&id, sizeof(id)));
}

static void
ask_for_votes(struct gyp_raft *r, Gyp__RaftType type, uint64_t term)
{
	guint i;

	g_array_set_size(r->peers, 0);
	sync_peers(r);
	for (i = 0; i < r->peers->len; i++) {
		uint64_t id = g_array_index(r->peers, struct progress, i).id;
		Gyp__RaftMsg m = make_message(r, type, id);

		if (!is_voter(r, id))
			continue;
		m.term = term;
		m.index = gyp_raft_last_index(r);
		m.log_term = term_at(r, m.index);
		m.force = r->forced;
		m.round = r->prevote_at;
		send_durable(r, &m);
	}
}

static void
start_election(struct gyp_raft *r)
{
	r->role = GYP_RAFT_CANDIDATE;
	r->leader = 0;
	set_term(r, r->term + 1, r->cfg.id);
	reset_election(r);
	g_hash_table_remove_all(r->votes);
	ask_for_votes(r, GYP__RAFT_TYPE__RAFT_VOTE, r->term);
	/* The own vote counts once it is synced, see gyp_raft_synced(). */
}

static void
start_prevote(struct gyp_raft *r)
{
	reset_election(r);
	if (!is_voter(r, r->cfg.id))
		return;
	r->role = GYP_RAFT_PRECANDIDATE;
	r->leader = 0;
	r->forced = false;
	r->prevote_at = r->now;
	g_hash_table_remove_all(r->votes);
	add_vote(r, r->cfg.id);
	if (quorum(r, has_voted, 0)) {
		start_election(r);
		return;
	}
	ask_for_votes(r, GYP__RAFT_TYPE__RAFT_PREVOTE, r->term + 1);
}

static bool
heard_since(const struct gyp_raft *r, uint64_t id, uint64_t since)
{
	const struct progress *p;

	if (id == r->cfg.id)
		return true;
	p = find_peer(r, id);
	return p != NULL && p->heard >= since;
}

bool
gyp_raft_has_lease(const struct gyp_raft *r, uint64_t now)
{
	uint64_t window = r->cfg.election_ms - r->cfg.heartbeat_ms;

	return r->role == GYP_RAFT_LEADER &&
	       quorum(r, heard_since, now > window ? now - window : 0);
}

static void
tick_leader(struct gyp_raft *r)
{
	uint64_t window = r->cfg.election_ms;

	if (!quorum(r, heard_since, r->now > window ? r->now - window : 0)) {
		become_follower(r, r->term, 0);
		return;
	}
	if (r->now >= r->successor_until)
		r->successor = 0;
	if (r->now >= r->heartbeat_at) {
		r->heartbeat_at = r->now + r->cfg.heartbeat_ms;
		replicate_all(r, true);
	}
}

/* After a restart: what the records tell of the commit. */
static void
resume_commit(struct gyp_raft *r)
{
	r->commit =
	    MAX(r->commit, MIN(r->config_index, gyp_raft_last_index(r)));
	apply_committed(r);
}

void
gyp_raft_tick(struct gyp_raft *r, uint64_t now)
{
	if (r->now == 0) {
		r->now = now;
		r->started = now;
		reset_election(r);
		resume_commit(r);
	}
	r->now = MAX(r->now, now);
	if (r->role == GYP_RAFT_LEADER)
		tick_leader(r);
	else if (r->now >= r->election_at)
		start_prevote(r);
}

/* ---- Commit ------------------------------------------------------------ */

static bool
holds(const struct gyp_raft *r, uint64_t id, uint64_t index)
{
	const struct progress *p;

	if (id == r->cfg.id)
		return r->persisted >= index;
	p = find_peer(r, id);
	return p != NULL && p->match >= index;
}

static void
try_commit(struct gyp_raft *r, uint64_t index)
{
	if (index > r->commit && term_at(r, index) == r->term &&
	    quorum(r, holds, index))
		r->commit = index;
}

static void
advance_commit(struct gyp_raft *r)
{
	uint64_t before = r->commit;
	guint i;

	if (r->role != GYP_RAFT_LEADER)
		return;
	try_commit(r, r->persisted);
	for (i = 0; i < r->peers->len; i++)
		try_commit(
		    r, g_array_index(r->peers, struct progress, i).match);
	if (r->commit > before) {
		apply_committed(r);
		if (r->role == GYP_RAFT_LEADER)
			replicate_all(r, false);
	}
}

/*
 * While a replica does not know of the commit it needs a majority of the old
 * configuration too. If a voter were lost then, the others could be too few
 * for that. So each replica records the commit, and a change is over only
 * when a majority has acknowledged a later entry, which told it.
 */
static void
commit_config(struct gyp_raft *r)
{
	r->config_index = r->pending_index;
	set_config(r, r->pending);
	r->pending = NULL;
	r->pending_index = 0;
	write_vote(r);
	if (r->role != GYP_RAFT_LEADER)
		return;
	sync_peers(r);
	if (is_voter(r, r->cfg.id)) {
		append_noop(r);
		r->settled = gyp_raft_last_index(r);
	} else {
		become_follower(r, r->term, 0);
	}
}

static void
apply_committed(struct gyp_raft *r)
{
	while (r->applied < r->commit) {
		const struct gyp_entry *e = entry_at(r, r->applied + 1);

		g_assert(e != NULL);
		r->applied++;
		r->io->ops->apply(r->io, e);
		if (r->pending != NULL && r->pending_index <= r->applied)
			commit_config(r);
	}
}

/* ---- Messages ---------------------------------------------------------- */

static bool
log_is_current(const struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	uint64_t last = gyp_raft_last_index(r);
	uint64_t last_term = term_at(r, last);

	return m->log_term > last_term ||
	       (m->log_term == last_term && m->index >= last);
}

/*
 * A live leader must not be deposed by a replica that merely lost touch. A
 * restarted replica may have answered a leader just before it stopped.
 */
static bool
leader_is_live(const struct gyp_raft *r)
{
	if (r->role == GYP_RAFT_LEADER)
		return gyp_raft_has_lease(r, r->now);
	if (r->now < r->started + r->cfg.election_ms)
		return true;
	return r->leader != 0 &&
	       r->now < r->leader_contact + r->cfg.election_ms;
}

static void
on_prevote(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply =
	    make_message(r, GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY, m->from);

	reply.reject =
	    m->term <= r->term || leader_is_live(r) || !log_is_current(r, m);
	reply.term = reply.reject ? r->term : m->term;
	reply.round = m->round;
	r->io->ops->send(r->io, m->from, &reply);
}

static void
on_vote(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply;
	bool grant;

	if (!m->force && leader_is_live(r))
		return;
	if (m->term > r->term)
		become_follower(r, m->term, 0);
	grant = m->term == r->term && (r->vote == 0 || r->vote == m->from) &&
		log_is_current(r, m);
	if (grant) {
		set_term(r, r->term, m->from);
		reset_election(r);
	}
	reply = make_message(r, GYP__RAFT_TYPE__RAFT_VOTE_REPLY, m->from);
	reply.reject = !grant;
	send_durable(r, &reply);
}

static void
on_vote_reply(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	bool pre = m->type == GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY;

	if (m->reject) {
		if (m->term > r->term)
			become_follower(r, m->term, 0);
		return;
	}
	/* A late grant says nothing of the leader that there may be by now. */
	if (pre && r->role == GYP_RAFT_PRECANDIDATE && m->term == r->term + 1 &&
	    m->round == r->prevote_at) {
		add_vote(r, m->from);
		if (quorum(r, has_voted, 0))
			start_election(r);
	} else if (!pre && r->role == GYP_RAFT_CANDIDATE &&
		   m->term == r->term) {
		add_vote(r, m->from);
		if (quorum(r, has_voted, 0))
			become_leader(r);
	}
}

/* Where the leader should try next after a mismatch at m->index. */
static uint64_t
mismatch_hint(const struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	uint64_t index = MIN(m->index, gyp_raft_last_index(r) + 1);
	uint64_t term = term_at(r, m->index);

	while (
	    index > r->commit + 1 && term != 0 && term_at(r, index - 1) == term)
		index--;
	return index > 0 ? index - 1 : 0;
}

static void
take_entries(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		const Gyp__LogEntry *le = m->entries[i];
		GBytes *data;

		if (le->index <= r->snap_index ||
		    term_at(r, le->index) == le->term)
			continue;
		if (le->index <= gyp_raft_last_index(r)) {
			g_assert(le->index > r->commit);
			truncate_from(r, le->index);
		}
		data = g_bytes_new(le->data.data, le->data.len);
		append_entry(r, le->term, le->kind, data);
		g_bytes_unref(data);
	}
}

static void
follow(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	become_follower(r, m->term, m->from);
	r->leader_contact = r->now;
	reset_election(r);
}

/* Entries must follow m->index without a gap; anything else is malformed. */
static bool
entries_are_consecutive(const Gyp__RaftMsg *m)
{
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		if (m->entries[i]->index != m->index + 1 + i)
			return false;
	}
	return true;
}

static void
on_append(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply;
	uint64_t last = m->index + m->n_entries;

	if (!entries_are_consecutive(m))
		return;
	follow(r, m);
	reply = make_message(r, GYP__RAFT_TYPE__RAFT_APPEND_REPLY, m->from);
	reply.round = m->round;
	if (m->index > gyp_raft_last_index(r) ||
	    (m->index > r->snap_index && term_at(r, m->index) != m->log_term)) {
		reply.reject = true;
		reply.index = mismatch_hint(r, m);
		r->io->ops->send(r->io, m->from, &reply);
		return;
	}
	take_entries(r, m);
	if (MIN(m->commit, last) > r->commit) {
		r->commit = MIN(m->commit, last);
		apply_committed(r);
	}
	reply.index = MAX(last, r->snap_index);
	send_durable(r, &reply);
}

static void
on_append_reply(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	struct progress *p = find_peer(r, m->from);

	if (r->role != GYP_RAFT_LEADER || m->term != r->term || p == NULL)
		return;
	p->heard = MAX(p->heard, MIN(m->round, r->now));
	p->answered = r->now;
	if (p->inflight > 0)
		p->inflight--;
	if (m->reject) {
		if (m->index + 1 < p->next && m->index >= p->match) {
			p->next = m->index + 1;
			p->inflight = 0;
			replicate(r, p, true);
		}
		return;
	}
	if (m->index > gyp_raft_last_index(r))
		return;
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	if (p->match + 1 == p->next)
		p->inflight = 0; /* lost messages never count down */
	advance_commit(r);
	p = find_peer(r, m->from);
	if (r->role != GYP_RAFT_LEADER || p == NULL)
		return;
	replicate(r, p, false);
	call_successor(r, p);
}

/* ---- Snapshots --------------------------------------------------------- */

static void
adopt_snapshot(struct gyp_raft *r, const Gyp__SnapshotFile *file, GBytes *raw)
{
	if (r->snap_file != NULL)
		g_bytes_unref(r->snap_file);
	r->snap_file = g_bytes_ref(raw);
	r->snap_index = file->index;
	r->snap_term = file->term;
}

/* Replaces log and state by a snapshot; false when it can't be read. */
static bool
install(struct gyp_raft *r, GBytes *raw)
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
	r->log_bytes = 0;
	drop_pending(r);
	set_config(r, copy_config(file->config));
	r->config_index = MAX(r->config_index, file->index);
	adopt_snapshot(r, file, raw);
	r->commit = file->index;
	r->applied = file->index;
	r->io->ops->restore(r->io, file);
	gyp__snapshot_file__free_unpacked(file, NULL);
	return true;
}

/* With foreign, all entries written before are void. */
static void
write_snapshot(struct gyp_raft *r, bool foreign)
{
	struct gyp_record rec = {.type = GYP_RECORD_SNAPSHOT,
	    .kind = foreign,
	    .index = r->snap_index,
	    .term = r->snap_term,
	    .data = r->snap_file};

	write_record(r, &rec);
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

	if (install(r, raw)) {
		forget_persisted(r, 0);
		write_snapshot(r, true);
	}
	g_bytes_unref(raw);
	reset_incoming(r, 0, 0);
}

static void
on_snapshot(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	Gyp__RaftMsg reply;
	uint64_t have;

	follow(r, m);
	reply = make_message(r, GYP__RAFT_TYPE__RAFT_SNAPSHOT_REPLY, m->from);
	reply.round = m->round;
	if (m->index <= r->commit) {
		reply.type = GYP__RAFT_TYPE__RAFT_APPEND_REPLY;
		reply.index = r->commit;
		send_durable(r, &reply);
		return;
	}
	if (m->total > SNAPSHOT_BYTES_MAX)
		return;
	if (r->incoming.index != m->index || r->incoming.from != m->from)
		reset_incoming(r, m->index, m->from);
	if (m->offset == r->incoming.data->len)
		g_byte_array_append(
		    r->incoming.data, m->chunk.data, m->chunk.len);
	have = r->incoming.data->len;
	if (have >= m->total) {
		finish_incoming(r);
		reply.type = GYP__RAFT_TYPE__RAFT_APPEND_REPLY;
		reply.index = r->snap_index;
		send_durable(r, &reply);
		return;
	}
	reply.index = m->index;
	reply.offset = have;
	r->io->ops->send(r->io, m->from, &reply);
}

static void
on_snapshot_reply(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	struct progress *p = find_peer(r, m->from);

	if (r->role != GYP_RAFT_LEADER || m->term != r->term || p == NULL)
		return;
	p->heard = MAX(p->heard, MIN(m->round, r->now));
	p->answered = r->now;
	if (!p->snapshot || m->index != r->snap_index)
		return;
	/* Only the answer to the latest chunk may take the transfer back. */
	if (m->offset <= p->offset && m->round != p->sent)
		return;
	p->offset = m->offset;
	send_chunk(r, p);
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
	file.term = term_at(r, index);
	file.config = r->config;
	file.state.data = (uint8_t *)g_bytes_get_data(state, &len);
	file.state.len = len;
	len = gyp__snapshot_file__get_packed_size(&file);
	bytes = g_malloc(len);
	gyp__snapshot_file__pack(&file, bytes);
	raw = g_bytes_new_take(bytes, len);

	drop = (guint)(index - r->snap_index);
	for (i = 0; i < drop; i++)
		r->log_bytes -= g_bytes_get_size(
		    g_array_index(r->log, struct gyp_entry, i).data);
	g_array_remove_range(r->log, 0, drop);
	adopt_snapshot(r, &file, raw);
	g_bytes_unref(raw);
	write_snapshot(r, false);
}

/* ---- Door -------------------------------------------------------------- */

static void
on_timeout_now(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	if (m->term != r->term || !is_voter(r, r->cfg.id))
		return;
	r->forced = true;
	start_election(r);
}

static void
dispatch(struct gyp_raft *r, const Gyp__RaftMsg *m)
{
	switch (m->type) {
	case GYP__RAFT_TYPE__RAFT_PREVOTE:
		on_prevote(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_VOTE:
		on_vote(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_PREVOTE_REPLY:
	case GYP__RAFT_TYPE__RAFT_VOTE_REPLY:
		on_vote_reply(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_APPEND:
		on_append(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_APPEND_REPLY:
		on_append_reply(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_SNAPSHOT:
		on_snapshot(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_SNAPSHOT_REPLY:
		on_snapshot_reply(r, m);
		break;
	case GYP__RAFT_TYPE__RAFT_TIMEOUT_NOW:
		on_timeout_now(r, m);
		break;
	default:
		break;
	}
}

/* Vote requests carry a term that the receiver need not take over. */
static bool
is_vote_type(const Gyp__RaftMsg *m)
{
	return m->type <= GYP__RAFT_TYPE__RAFT_VOTE_REPLY;
}

void
gyp_raft_step(struct gyp_raft *r, uint64_t now, const Gyp__RaftMsg *m)
{
	gyp_raft_tick(r, now);
	if (m->to != r->cfg.id || m->from == r->cfg.id)
		return;
	if (!is_vote_type(m)) {
		if (m->term > r->term)
			become_follower(r, m->term, 0);
		if (m->term < r->term) {
			/* Tells a deposed leader of the new term. */
			Gyp__RaftMsg reply = make_message(
			    r, GYP__RAFT_TYPE__RAFT_VOTE_REPLY, m->from);

			reply.reject = true;
			r->io->ops->send(r->io, m->from, &reply);
			return;
		}
	}
	dispatch(r, m);
}

void
gyp_raft_synced(struct gyp_raft *r, uint64_t now, uint64_t seq)
{
	guint done = 0;

	gyp_raft_tick(r, now);
	r->synced_seq = MAX(r->synced_seq, seq);
	while (done < r->unsynced->len) {
		struct unsynced *u =
		    &g_array_index(r->unsynced, struct unsynced, done);

		if (u->seq > seq)
			break;
		r->persisted = MAX(r->persisted, u->last_index);
		done++;
	}
	if (done > 0)
		g_array_remove_range(r->unsynced, 0, done);
	flush_deferred(r);
	if (r->role == GYP_RAFT_CANDIDATE && r->synced_seq >= r->write_seq &&
	    r->vote == r->cfg.id) {
		add_vote(r, r->cfg.id);
		if (quorum(r, has_voted, 0))
			become_leader(r);
	}
	advance_commit(r);
}

uint64_t
gyp_raft_propose(struct gyp_raft *r, uint32_t kind, GBytes *data)
{
	if (r->role != GYP_RAFT_LEADER || r->successor != 0)
		return 0;
	append_entry(r, r->term, kind, data);
	replicate_all(r, false);
	return gyp_raft_last_index(r);
}

uint64_t
gyp_raft_change(struct gyp_raft *r, const Gyp__Config *config)
{
	size_t len = gyp__config__get_packed_size(config);
	uint8_t *bytes;
	GBytes *data;
	uint64_t index;

	if (gyp_raft_changing(r) || !gyp_raft_ready(r) || r->successor != 0)
		return 0;
	bytes = g_malloc(len + 1);
	gyp__config__pack(config, bytes);
	data = g_bytes_new_take(bytes, len);
	append_entry(r, r->term, GYP__ENTRY_KIND__ENTRY_CONFIG, data);
	g_bytes_unref(data);
	index = gyp_raft_last_index(r);
	sync_peers(r);
	replicate_all(r, false);
	return index;
}

/* The successor must hold all entries, else it would lose the election. */
static void
call_successor(struct gyp_raft *r, const struct progress *p)
{
	Gyp__RaftMsg m =
	    make_message(r, GYP__RAFT_TYPE__RAFT_TIMEOUT_NOW, p->id);

	if (p->id == r->successor && p->match == gyp_raft_last_index(r))
		r->io->ops->send(r->io, p->id, &m);
}

bool
gyp_raft_hand_over(struct gyp_raft *r)
{
	uint64_t window = 2 * (uint64_t)r->cfg.heartbeat_ms;
	uint64_t since = r->now > window ? r->now - window : 0;
	const struct progress *best = NULL;
	guint i;

	if (r->role != GYP_RAFT_LEADER)
		return false;
	for (i = 0; i < r->peers->len; i++) {
		const struct progress *p =
		    &g_array_index(r->peers, struct progress, i);

		if (is_voter(r, p->id) && heard_since(r, p->id, since) &&
		    (best == NULL || p->match > best->match))
			best = p;
	}
	if (best == NULL)
		return false;
	r->successor = best->id;
	r->successor_until = r->now + r->cfg.election_ms;
	call_successor(r, best);
	return true;
}

static void
load_config_index(struct gyp_raft *r, uint64_t index)
{
	r->config_index = MAX(r->config_index, index);
	if (r->pending == NULL || r->pending_index > r->config_index)
		return;
	set_config(r, r->pending);
	r->pending = NULL;
	r->pending_index = 0;
}

void
gyp_raft_load(struct gyp_raft *r, const struct gyp_record *rec)
{
	switch (rec->type) {
	case GYP_RECORD_VOTE:
		r->term = rec->term;
		r->vote = rec->vote;
		load_config_index(r, rec->index);
		break;
	case GYP_RECORD_ENTRY:
		if (rec->index <= r->snap_index)
			break;
		if (rec->index <= gyp_raft_last_index(r))
			truncate_from(r, rec->index);
		push_entry(r, rec->term, rec->kind, rec->data);
		break;
	case GYP_RECORD_SNAPSHOT:
		install(r, rec->data);
		break;
	default:
		break;
	}
	r->persisted = gyp_raft_last_index(r);
}

void
gyp_raft_bootstrap(
    struct gyp_raft *r, const char *address, const char *data_centre)
{
	Gyp__Config config = GYP__CONFIG__INIT;
	Gyp__Member member = GYP__MEMBER__INIT;
	Gyp__Member *members[] = {&member};
	size_t len;
	uint8_t *bytes;
	GBytes *data;

	member.id = r->cfg.id;
	member.address = (char *)address;
	member.data_centre = (char *)(data_centre != NULL ? data_centre : "");
	member.voter = true;
	config.n_members = 1;
	config.members = members;
	len = gyp__config__get_packed_size(&config);
	bytes = g_malloc(len);
	gyp__config__pack(&config, bytes);
	data = g_bytes_new_take(bytes, len);
	set_term(r, 1, 0);
	append_entry(r, 1, GYP__ENTRY_KIND__ENTRY_CONFIG, data);
	g_bytes_unref(data);
}

struct gyp_raft *
gyp_raft_new(const struct gyp_raft_config *cfg, struct gyp_raft_io *io)
{
	Gyp__Config empty = GYP__CONFIG__INIT;
	struct gyp_raft *r = g_new0(struct gyp_raft, 1);

	r->io = io;
	r->cfg = *cfg;
	if (r->cfg.append_bytes == 0)
		r->cfg.append_bytes = APPEND_BYTES;
	if (r->cfg.chunk_bytes == 0)
		r->cfg.chunk_bytes = CHUNK_BYTES;
	r->rand = g_rand_new_with_seed(cfg->seed);
	r->log = g_array_new(FALSE, FALSE, sizeof(struct gyp_entry));
	g_array_set_clear_func(r->log, clear_entry);
	r->config = copy_config(&empty);
	r->peers = g_array_new(FALSE, FALSE, sizeof(struct progress));
	r->votes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	r->unsynced = g_array_new(FALSE, FALSE, sizeof(struct unsynced));
	r->incoming.data = g_byte_array_new();
	g_queue_init(&r->deferred);
	return r;
}

void
gyp_raft_free(struct gyp_raft *r)
{
	if (r == NULL)
		return;
	drop_pending(r);
	gyp__config__free_unpacked(r->config, NULL);
	if (r->snap_file != NULL)
		g_bytes_unref(r->snap_file);
	g_queue_clear_full(&r->deferred, free_deferred);
	g_byte_array_free(r->incoming.data, TRUE);
	g_array_free(r->unsynced, TRUE);
	g_hash_table_destroy(r->votes);
	g_array_free(r->peers, TRUE);
	g_array_free(r->log, TRUE);
	g_rand_free(r->rand);
	g_free(r);
}

/* ---- Accessors --------------------------------------------------------- */

bool
gyp_raft_ready(const struct gyp_raft *r)
{
	return r->role == GYP_RAFT_LEADER && r->applied >= r->term_start;
}

enum gyp_raft_role
gyp_raft_role(const struct gyp_raft *r)
{
	return r->role;
}

uint64_t
gyp_raft_id(const struct gyp_raft *r)
{
	return r->cfg.id;
}

uint64_t
gyp_raft_term(const struct gyp_raft *r)
{
	return r->term;
}

uint64_t
gyp_raft_leader(const struct gyp_raft *r)
{
	return r->leader;
}

uint64_t
gyp_raft_commit(const struct gyp_raft *r)
{
	return r->commit;
}

uint64_t
gyp_raft_applied(const struct gyp_raft *r)
{
	return r->applied;
}

uint64_t
gyp_raft_snapshot_index(const struct gyp_raft *r)
{
	return r->snap_index;
}

uint64_t
gyp_raft_entry_term(const struct gyp_raft *r, uint64_t index)
{
	const struct gyp_entry *e = entry_at(r, index);

	return e != NULL ? e->term : 0;
}

uint64_t
gyp_raft_log_bytes(const struct gyp_raft *r)
{
	return r->log_bytes;
}

uint64_t
gyp_raft_match(const struct gyp_raft *r, uint64_t id)
{
	const struct progress *p = find_peer(r, id);

	return p != NULL ? p->match : 0;
}

uint64_t
gyp_raft_heard(const struct gyp_raft *r, uint64_t id)
{
	const struct progress *p = find_peer(r, id);

	return p != NULL ? p->heard : 0;
}
