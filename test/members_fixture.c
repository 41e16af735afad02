#include <stdio.h>
#include <string.h>

#include "members_fixture.h"
#include "msg.h"

/* ---- Replicas ----------------------------------------------------------- */

static void
free_record(gpointer p)
{
	struct gyp_record *rec = p;

	if (rec->data != NULL)
		g_bytes_unref(rec->data);
	g_free(rec);
}

static void
load_disk(struct node *n)
{
	const struct gyp_record *snapshot = NULL;
	guint i, first = 0;

	for (i = 0; i < n->disk->len; i++) {
		const struct gyp_record *rec = n->disk->pdata[i];

		if (rec->type != GYP_RECORD_SNAPSHOT)
			continue;
		snapshot = rec;
		/* A snapshot of kind 1 voids all entries before it. */
		first = rec->kind == 1 ? i : first;
	}
	if (snapshot != NULL)
		gyp_replica_load(n->replica, snapshot);
	for (i = 0; i < n->disk->len; i++) {
		const struct gyp_record *rec = n->disk->pdata[i];

		if (rec->type == GYP_RECORD_VOTE ||
		    (rec->type == GYP_RECORD_ENTRY && i >= first))
			gyp_replica_load(n->replica, rec);
	}
}

void
cell_start(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];
	struct gyp_replica_config cfg = {.address = n->address,
	    .data_centre = n->data_centre,
	    .seed = c->seed * 100 + (uint32_t)i,
	    .election_ms = c->election_ms != 0 ? c->election_ms : ELECTION_MS,
	    .heartbeat_ms = 50,
	    .endpoint_lease_ms =
		c->endpoint_lease_ms != 0 ? c->endpoint_lease_ms : 60000,
	    .entry_lease_ms = 1500,
	    .start_window_ms = 800,
	    .voters = c->voters != 0 ? c->voters : VOTERS,
	    .catch_up_ms = c->catch_up_ms,
	    .relay_heartbeats_from = c->relay_heartbeats_from,
	    .compact_bytes = 8 * 1024};

	if (n->id == 0) {
		n->id = ++c->last_replica_id;
		n->disk = g_ptr_array_new_with_free_func(free_record);
	}
	cfg.id = n->id;
	n->boot_records = n->synced = n->disk->len;
	n->sync_at = 0;
	n->replica = gyp_replica_new(&cfg);
	load_disk(n);
}

void
cell_stop(struct cell *c, int i)
{
	gyp_replica_free(c->nodes[i].replica);
	c->nodes[i].replica = NULL;
}

void
cell_cut_power(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];
	gint32 kept = g_rand_int_range(
	    c->rand, (gint32)n->synced, (gint32)n->disk->len + 1);

	cell_stop(c, i);
	g_ptr_array_set_size(n->disk, kept);
}

void
cell_lose_disk(struct cell *c, int i)
{
	if (c->nodes[i].replica != NULL)
		cell_stop(c, i);
	if (c->nodes[i].disk != NULL)
		g_ptr_array_free(c->nodes[i].disk, TRUE);
	c->nodes[i].disk = NULL;
	c->nodes[i].id = 0;
}

int
cell_add_node(struct cell *c, char centre)
{
	static const char *const names[] = {"a", "b", "c", "d"};
	int i = c->n++;

	g_assert_cmpint(c->n, <=, NODES);
	snprintf(c->nodes[i].address, sizeof(c->nodes[i].address),
	    "10.0.0.%d:1", i + 1);
	c->nodes[i].data_centre = names[centre - 'a'];
	cell_start(c, i);
	return i;
}

void
cell_prepare(struct cell *c, uint32_t seed)
{
	memset(c, 0, sizeof(*c));
	g_queue_init(&c->frames);
	c->seed = seed;
	c->now = 5000;
}

void
cell_init(struct cell *c, uint32_t seed, const char *centres)
{
	cell_prepare(c, seed);
	cell_populate(c, centres);
}

void
cell_populate(struct cell *c, const char *centres)
{
	const char *centre;

	for (centre = centres; *centre != '\0'; centre++)
		cell_add_node(c, *centre);
	if (c->n > 0)
		gyp_replica_bootstrap(c->nodes[0].replica, NULL);
}

static void
free_frame(gpointer p)
{
	struct frame *f = p;

	g_bytes_unref(f->packed);
	g_free(f);
}

void
cell_clear(struct cell *c)
{
	int i;

	for (i = 0; i < c->n; i++)
		cell_lose_disk(c, i);
	g_queue_clear_full(&c->frames, free_frame);
	gyp_message_free(c->reply);
}

void
cell_drop_frames(struct cell *c)
{
	g_queue_clear_full(&c->frames, free_frame);
}

/* ---- Frames ------------------------------------------------------------- */

static void
post_frame(struct cell *c, int to, uint64_t from, GBytes *packed)
{
	struct frame *f = g_new0(struct frame, 1);

	f->to = to;
	f->from = from;
	f->packed = packed;
	g_queue_push_tail(&c->frames, f);
}

static Gyp__Frame *
unpack(GBytes *packed)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(packed, &len);
	Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);

	g_assert_nonnull(frame);
	return frame;
}

static void
count_raft(struct cell *c, const Gyp__Frame *frame)
{
	if (frame->body_case != GYP__FRAME__BODY_RAFT)
		return;
	c->snapshots += frame->raft->type == GYP__RAFT_TYPE__RAFT_SNAPSHOT &&
			frame->raft->offset == 0 && frame->raft->chunk.len > 0;
	c->log_entries += (uint32_t)frame->raft->n_entries;
}

static void
take_replies(struct cell *c, const Gyp__Frame *frame)
{
	size_t i;

	for (i = 0; i < frame->down->n_replies; i++) {
		gyp_message_free(c->reply);
		c->reply = gyp_message_copy(&frame->down->replies[i]->base);
		if (c->replied != NULL)
			c->replied(c, frame->down->replies[i]);
	}
}

static void collect_output(struct cell *c, int i);

static void
sync_disk(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];

	n->sync_at = 0;
	n->synced = n->disk->len;
	gyp_replica_synced(n->replica, c->now, n->synced - n->boot_records);
	collect_output(c, i);
}

/* Syncs the disk at once or starts a sync, unless one is under way. */
static void
start_sync(struct cell *c, int i)
{
	if (c->sync_max_ms == 0)
		sync_disk(c, i);
	else if (c->nodes[i].sync_at == 0)
		c->nodes[i].sync_at =
		    c->now + (uint64_t)g_rand_int_range(
				 c->rand, 0, (gint32)c->sync_max_ms + 1);
}

/* Moves a replica's output to the disk and the links. */
static void
collect_output(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];
	struct gyp_record rec;
	struct gyp_out_frame out;
	bool wrote = false;
	int to;

	while (gyp_replica_pop_record(n->replica, &rec)) {
		g_ptr_array_add(n->disk, g_memdup2(&rec, sizeof(rec)));
		wrote = true;
	}
	while (gyp_replica_pop_frame(n->replica, &out)) {
		Gyp__Frame *frame = unpack(out.packed);

		count_raft(c, frame);
		if (out.entry)
			take_replies(c, frame);
		c->frames_while_full += n->disk_full && !out.entry;
		for (to = 0; to < c->n && !out.entry && !n->mute && !n->cut;
		     to++) {
			if (g_strcmp0(c->nodes[to].address, out.address) == 0)
				post_frame(
				    c, to, n->id, g_bytes_ref(out.packed));
		}
		gyp_message_free(frame);
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
	if (wrote && !n->disk_full)
		start_sync(c, i);
}

void
cell_fill_disk(struct cell *c, int i)
{
	gyp_replica_suspend(c->nodes[i].replica, c->now);
	collect_output(c, i);
	c->nodes[i].disk_full = true;
}

void
cell_free_disk(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];

	gyp_replica_synced(n->replica, c->now, n->disk->len - n->boot_records);
	collect_output(c, i);
	n->disk_full = false;
	gyp_replica_resume(n->replica, c->now);
	collect_output(c, i);
}

/*
 * In cells with an odd seed, replicas accept all frames of an iteration before
 * they process them, as the daemon does; with an even seed they process each.
 */
static void
deliver(struct cell *c, const struct frame *f)
{
	struct gyp_replica *replica = c->nodes[f->to].replica;
	Gyp__Frame *frame = unpack(f->packed);

	if (c->seed % 2 == 1) {
		gyp_replica_accept(replica, c->now, f->from, frame);
	} else {
		gyp_replica_receive(replica, c->now, f->from, frame);
		collect_output(c, f->to);
	}
	gyp_message_free(frame);
}

static void
deliver_all(struct cell *c)
{
	struct frame *f;
	guint left = c->frames.length;
	int i;

	while (left-- > 0) {
		f = g_queue_pop_head(&c->frames);
		if (c->nodes[f->to].paused) {
			g_queue_push_tail(&c->frames, f);
			continue;
		}
		if (c->nodes[f->to].replica != NULL && !c->nodes[f->to].cut)
			deliver(c, f);
		free_frame(f);
	}
	for (i = 0; i < c->n && c->seed % 2 == 1; i++) {
		if (c->nodes[i].replica == NULL || c->nodes[i].paused)
			continue;
		gyp_replica_process_accepted(c->nodes[i].replica, c->now);
		collect_output(c, i);
	}
}

void
cell_resume(struct cell *c, int i)
{
	c->nodes[i].paused = false;
	deliver_all(c);
}

const Gyp__Member *
cell_find_member(const Gyp__Config *config, uint64_t id)
{
	size_t i;

	for (i = 0; i < config->n_members; i++) {
		if (config->members[i]->id == id)
			return config->members[i];
	}
	return NULL;
}

static void
request_to_join(struct cell *c, int i)
{
	const struct node *n = &c->nodes[i];
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join join = GYP__JOIN__INIT;
	Gyp__Member m = GYP__MEMBER__INIT;
	int to;

	if (n->cut ||
	    (cell_find_member(gyp_raft_members(gyp_replica_raft(n->replica)),
		 n->id) != NULL &&
		!gyp_raft_is_leaderless(gyp_replica_raft(n->replica))))
		return;
	m.id = n->id;
	m.address = (char *)n->address;
	m.data_centre = (char *)n->data_centre;
	join.member = &m;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &join;
	for (to = 0; to < c->n; to++) {
		if (to != i)
			post_frame(c, to, n->id, gyp_message_pack(&frame.base));
	}
}

void
cell_run(struct cell *c, uint32_t ms)
{
	uint64_t end = c->now + ms;
	int i;

	while (c->now < end) {
		c->now += 10;
		for (i = 0; i < c->n; i++) {
			if (c->nodes[i].replica == NULL || c->nodes[i].paused)
				continue;
			if (c->nodes[i].sync_at != 0 &&
			    c->now >= c->nodes[i].sync_at)
				sync_disk(c, i);
			gyp_replica_tick(c->nodes[i].replica, c->now);
			if (c->now % JOIN_MS == 0)
				request_to_join(c, i);
			collect_output(c, i);
		}
		deliver_all(c);
	}
}

int
cell_leader(const struct cell *c)
{
	int i;

	for (i = 0; i < c->n; i++) {
		if (c->nodes[i].replica != NULL &&
		    gyp_replica_serving(c->nodes[i].replica))
			return i;
	}
	return -1;
}

/* ---- Queries and calls -------------------------------------------------- */

const Gyp__Config *
cell_members(const struct cell *c)
{
	int i = cell_leader(c);

	g_assert_cmpint(i, >=, 0);
	return gyp_raft_members(gyp_replica_raft(c->nodes[i].replica));
}

bool
cell_is_voter(const struct cell *c, uint64_t id)
{
	const Gyp__Member *m = cell_find_member(cell_members(c), id);

	return m != NULL && m->voter;
}

char *
cell_voting_centres(const struct cell *c)
{
	const Gyp__Config *config = cell_members(c);
	GString *s = g_string_new("");
	const char *name;
	size_t i;

	for (name = "abcd"; *name != '\0'; name++) {
		for (i = 0; i < config->n_members; i++) {
			if (config->members[i]->voter &&
			    config->members[i]->data_centre[0] == *name)
				g_string_append_c(s, *name);
		}
	}
	return g_string_free(s, FALSE);
}

void
cell_assert_centres(const struct cell *c, const char *expected)
{
	char *found = cell_voting_centres(c);

	g_assert_cmpstr(found, ==, expected);
	g_free(found);
}

void
cell_send_call(struct cell *c, Gyp__Call *msg)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	int i = cell_leader(c);

	g_assert_cmpint(i, >=, 0);
	gyp_message_free(c->reply);
	c->reply = NULL;
	up.round = ++c->round;
	up.n_calls = 1;
	up.calls = &msg;
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	gyp_replica_receive(c->nodes[i].replica, c->now, ENTRY_ID, &frame);
	collect_output(c, i);
}

void
cell_send_removal(struct cell *c, uint64_t call, const char *name)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__Admin admin = GYP__ADMIN__INIT;

	admin.op = GYP__ADMIN_OP__ADMIN_REMOVE_MEMBER;
	admin.name = (char *)name;
	msg.id = call;
	msg.c_case = GYP__CALL__C_ADMIN;
	msg.admin = &admin;
	cell_send_call(c, &msg);
}

Gyp__Code
cell_remove_member(struct cell *c, const char *name)
{
	int tries;

	for (tries = 0; tries < 20; tries++) {
		cell_send_removal(c, ++c->calls, name);
		cell_run(c, 500);
		g_assert_nonnull(c->reply);
		if (c->reply->code != GYP__CODE__CODE_BUSY)
			break;
	}
	return c->reply->code;
}

bool
cell_announce(struct cell *c, uint64_t nth)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res capacity = GYP__RES__INIT;
	char *name = g_strdup_printf("vm-%" G_GUINT64_FORMAT, nth);

	capacity.cpu_milli = 1000;
	capacity.slots = 1;
	ep.name = name;
	ep.address = "10.1.0.1:1";
	ep.rack = ep.data_centre = "a";
	ep.capacity = &capacity;
	ep.connections = 1;
	ep.incarnation = nth;
	msg.id = ++c->calls;
	msg.c_case = GYP__CALL__C_ANNOUNCE;
	msg.announce = &ep;
	cell_send_call(c, &msg);
	cell_run(c, 100);
	g_free(name);
	return c->reply != NULL && c->reply->code == GYP__CODE__CODE_OK;
}

void
cell_settle(struct cell *c)
{
	GBytes *before = g_bytes_new_static("", 0);
	int quiet = 0, tries;

	for (tries = 0; tries < 600 && quiet < 30; tries++) {
		GBytes *now;

		cell_run(c, 100);
		if (cell_leader(c) < 0)
			continue;
		now = gyp_message_pack(&cell_members(c)->base);
		quiet = g_bytes_equal(now, before) ? quiet + 1 : 0;
		g_bytes_unref(before);
		before = now;
	}
	g_bytes_unref(before);
	g_assert_cmpint(quiet, ==, 30);
}
