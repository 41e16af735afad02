#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "first_start.h"
#include "msg.h"
#include "replica.h"

/*
 * Whole replicas in one process, with links that lose nothing and disks that
 * sync at once: who becomes a member, who votes, and what is sent to one that
 * was away.
 */

#define NODES       6
#define VOTERS      3
#define ELECTION_MS 400
#define JOIN_MS     500
#define ENTRY_ID    999999

struct node {
	struct gyp_replica *replica; /* NULL while stopped */
	uint64_t id;
	char address[24];
	const char *data_centre;
	GPtrArray *disk; /* struct gyp_record */
	guint boot;      /* records there at the start */
};

struct frame {
	int to;
	uint64_t from;
	GBytes *packed;
};

struct cell {
	struct node nodes[NODES];
	int n;
	GQueue wire; /* struct frame */
	uint64_t now;
	uint64_t round;
	uint64_t last_id;
	uint32_t seed;
	uint32_t catch_up_ms;        /* 0 for the default */
	uint32_t snapshots, entries; /* sent to anybody */
	Gyp__Reply *reply;           /* the newest to the entry */
};

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
load(struct node *n)
{
	const struct gyp_record *snapshot = NULL;
	guint i, first = 0;

	for (i = 0; i < n->disk->len; i++) {
		const struct gyp_record *rec = n->disk->pdata[i];

		if (rec->type != GYP_RECORD_SNAPSHOT)
			continue;
		snapshot = rec;
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

static void
start(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];
	struct gyp_replica_config cfg = {.address = n->address,
	    .data_centre = n->data_centre,
	    .seed = c->seed * 100 + (uint32_t)i,
	    .election_ms = ELECTION_MS,
	    .heartbeat_ms = 50,
	    .endpoint_lease_ms = 60000,
	    .entry_lease_ms = 1500,
	    .start_window_ms = 800,
	    .voters = VOTERS,
	    .catch_up_ms = c->catch_up_ms,
	    .compact_bytes = 8 * 1024};

	if (n->id == 0) {
		n->id = ++c->last_id;
		n->disk = g_ptr_array_new_with_free_func(free_record);
	}
	cfg.id = n->id;
	n->boot = n->disk->len;
	n->replica = gyp_replica_new(&cfg);
	load(n);
}

static void
stop(struct cell *c, int i)
{
	gyp_replica_free(c->nodes[i].replica);
	c->nodes[i].replica = NULL;
}

static void
lose_disk(struct cell *c, int i)
{
	if (c->nodes[i].replica != NULL)
		stop(c, i);
	if (c->nodes[i].disk != NULL)
		g_ptr_array_free(c->nodes[i].disk, TRUE);
	c->nodes[i].disk = NULL;
	c->nodes[i].id = 0;
}

/* Starts one more replica, with an empty disk; returns its number. */
static int
add_node(struct cell *c, char centre)
{
	static const char *const names[] = {"a", "b", "c", "d"};
	int i = c->n++;

	g_assert_cmpint(c->n, <=, NODES);
	snprintf(c->nodes[i].address, sizeof(c->nodes[i].address),
	    "10.0.0.%d:1", i + 1);
	c->nodes[i].data_centre = names[centre - 'a'];
	start(c, i);
	return i;
}

/* One letter a replica names its data centre. */
static void
cell_init(struct cell *c, uint32_t seed, const char *centres)
{
	const char *centre;

	memset(c, 0, sizeof(*c));
	g_queue_init(&c->wire);
	c->seed = seed;
	c->now = 5000;
	for (centre = centres; *centre != '\0'; centre++)
		add_node(c, *centre);
	gyp_replica_bootstrap(c->nodes[0].replica, NULL);
}

static void
free_frame(gpointer p)
{
	struct frame *f = p;

	g_bytes_unref(f->packed);
	g_free(f);
}

static void
cell_clear(struct cell *c)
{
	int i;

	for (i = 0; i < c->n; i++)
		lose_disk(c, i);
	g_queue_clear_full(&c->wire, free_frame);
	gyp_message_free(c->reply);
}

/* ---- Frames ------------------------------------------------------------- */

static void
post(struct cell *c, int to, uint64_t from, GBytes *packed)
{
	struct frame *f = g_new0(struct frame, 1);

	f->to = to;
	f->from = from;
	f->packed = packed;
	g_queue_push_tail(&c->wire, f);
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
	c->entries += (uint32_t)frame->raft->n_entries;
}

static void
take_replies(struct cell *c, const Gyp__Frame *frame)
{
	size_t i;

	for (i = 0; i < frame->down->n_replies; i++) {
		gyp_message_free(c->reply);
		c->reply = gyp_message_copy(&frame->down->replies[i]->base);
	}
}

/* Moves what a replica put out; its records are synced at once. */
static void
pump(struct cell *c, int i)
{
	struct node *n = &c->nodes[i];
	struct gyp_record rec;
	struct gyp_out out;
	bool wrote = false;
	int to;

	while (gyp_replica_pop_record(n->replica, &rec)) {
		g_ptr_array_add(n->disk, g_memdup2(&rec, sizeof(rec)));
		wrote = true;
	}
	while (gyp_replica_pop_out(n->replica, &out)) {
		Gyp__Frame *frame = unpack(out.packed);

		count_raft(c, frame);
		if (out.entry)
			take_replies(c, frame);
		for (to = 0; to < c->n && !out.entry; to++) {
			if (g_strcmp0(c->nodes[to].address, out.address) == 0)
				post(c, to, n->id, g_bytes_ref(out.packed));
		}
		gyp_message_free(frame);
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
	if (wrote) {
		gyp_replica_synced(n->replica, c->now, n->disk->len - n->boot);
		pump(c, i);
	}
}

static void
deliver_all(struct cell *c)
{
	struct frame *f;
	guint left = c->wire.length;

	while (left-- > 0) {
		f = g_queue_pop_head(&c->wire);
		if (c->nodes[f->to].replica != NULL) {
			Gyp__Frame *frame = unpack(f->packed);

			gyp_replica_receive(
			    c->nodes[f->to].replica, c->now, f->from, frame);
			pump(c, f->to);
			gyp_message_free(frame);
		}
		free_frame(f);
	}
}

static const Gyp__Member *
find_member(const Gyp__Config *config, uint64_t id)
{
	size_t i;

	for (i = 0; i < config->n_members; i++) {
		if (config->members[i]->id == id)
			return config->members[i];
	}
	return NULL;
}

static void
ask_to_join(struct cell *c, int i)
{
	const struct node *n = &c->nodes[i];
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join join = GYP__JOIN__INIT;
	Gyp__Member m = GYP__MEMBER__INIT;
	int to;

	if (find_member(
		gyp_raft_members(gyp_replica_raft(n->replica)), n->id) != NULL)
		return;
	m.id = n->id;
	m.address = (char *)n->address;
	m.data_centre = (char *)n->data_centre;
	join.member = &m;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &join;
	for (to = 0; to < c->n; to++) {
		if (to != i)
			post(c, to, n->id, gyp_message_pack(&frame.base));
	}
}

static void
run(struct cell *c, uint32_t ms)
{
	uint64_t end = c->now + ms;
	int i;

	while (c->now < end) {
		c->now += 10;
		for (i = 0; i < c->n; i++) {
			if (c->nodes[i].replica == NULL)
				continue;
			gyp_replica_tick(c->nodes[i].replica, c->now);
			if (c->now % JOIN_MS == 0)
				ask_to_join(c, i);
			pump(c, i);
		}
		deliver_all(c);
	}
}

static int
leader(const struct cell *c)
{
	int i;

	for (i = 0; i < c->n; i++) {
		if (c->nodes[i].replica != NULL &&
		    gyp_replica_serving(c->nodes[i].replica))
			return i;
	}
	return -1;
}

/* ---- Looking and asking ------------------------------------------------- */

static const Gyp__Config *
members(const struct cell *c)
{
	int i = leader(c);

	g_assert_cmpint(i, >=, 0);
	return gyp_raft_members(gyp_replica_raft(c->nodes[i].replica));
}

static bool
votes(const struct cell *c, uint64_t id)
{
	const Gyp__Member *m = find_member(members(c), id);

	return m != NULL && m->voter;
}

/* The voters' data centres, sorted, as one string. */
static char *
voting_centres(const struct cell *c)
{
	const Gyp__Config *config = members(c);
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

static void
assert_centres(const struct cell *c, const char *expected)
{
	char *found = voting_centres(c);

	g_assert_cmpstr(found, ==, expected);
	g_free(found);
}

/* Sends a call to the leader as an entry would; the reply comes later. */
static void
call(struct cell *c, Gyp__Call *msg)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	int i = leader(c);

	g_assert_cmpint(i, >=, 0);
	gyp_message_free(c->reply);
	c->reply = NULL;
	msg->id = 1;
	up.round = ++c->round;
	up.n_calls = 1;
	up.calls = &msg;
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	gyp_replica_receive(c->nodes[i].replica, c->now, ENTRY_ID, &frame);
	pump(c, i);
}

/* Asks until the answer is not that another change is under way. */
static Gyp__Code
remove_member(struct cell *c, const char *name)
{
	Gyp__Call msg = GYP__CALL__INIT;
	Gyp__Admin admin = GYP__ADMIN__INIT;
	int tries;

	admin.op = GYP__ADMIN_OP__ADMIN_REMOVE_MEMBER;
	admin.name = (char *)name;
	msg.c_case = GYP__CALL__C_ADMIN;
	msg.admin = &admin;
	for (tries = 0; tries < 20; tries++) {
		call(c, &msg);
		run(c, 500);
		g_assert_nonnull(c->reply);
		if (c->reply->code != GYP__CODE__CODE_BUSY)
			break;
	}
	return c->reply->code;
}

/* Commits one command; true when it was answered. */
static bool
announce(struct cell *c, uint64_t nth)
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
	msg.c_case = GYP__CALL__C_ANNOUNCE;
	msg.announce = &ep;
	call(c, &msg);
	run(c, 100);
	g_free(name);
	return c->reply != NULL && c->reply->code == GYP__CODE__CODE_OK;
}

/* Runs until the members have stayed the same for several join intervals. */
static void
settle(struct cell *c)
{
	GBytes *before = g_bytes_new_static("", 0);
	int quiet = 0, tries;

	for (tries = 0; tries < 600 && quiet < 30; tries++) {
		GBytes *now;

		run(c, 100);
		if (leader(c) < 0)
			continue;
		now = gyp_message_pack(&members(c)->base);
		quiet = g_bytes_equal(now, before) ? quiet + 1 : 0;
		g_bytes_unref(before);
		before = now;
	}
	g_bytes_unref(before);
	g_assert_cmpint(quiet, ==, 30);
}

/* ---- Tests -------------------------------------------------------------- */

/* Whatever the order of joining, each data centre gets a voter. */
static void
test_spread(void)
{
	static const char *const orders[][2] = {{"abc", "abc"}, {"aabc", "abc"},
	    {"aaabc", "abc"}, {"abbbbc", "abc"}, {"aabb", "aab"},
	    {"aaa", "aaa"}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		struct cell c;
		char *found;

		cell_init(&c, i + 1, orders[i][0]);
		settle(&c);
		found = voting_centres(&c);
		if (strcmp(orders[i][0], "aabb") == 0)
			g_assert_true(strcmp(found, "aab") == 0 ||
				      strcmp(found, "abb") == 0);
		else
			g_assert_cmpstr(found, ==, orders[i][1]);
		g_assert_cmpuint(members(&c)->n_members, ==, c.n);
		g_free(found);
		cell_clear(&c);
	}
}

/*
 * A lost disk comes back under a new id, which takes the old one's place in
 * one change. A second loss right after leaves a majority that goes on.
 */
static void
test_second_loss(void)
{
	int first, second;

	for (first = 0; first < 3; first++) {
		for (second = 0; second < 3; second++) {
			struct cell c;
			uint64_t old;
			int i;

			if (first == second)
				continue;
			cell_init(&c, (uint32_t)(first * 3 + second), "abc");
			settle(&c);
			old = c.nodes[first].id;
			lose_disk(&c, first);
			start(&c, first);
			for (i = 0; i < 2000; i++) {
				run(&c, 10);
				if (leader(&c) >= 0 &&
				    votes(&c, c.nodes[first].id) &&
				    !gyp_raft_changing(gyp_replica_raft(
					c.nodes[leader(&c)].replica)))
					break;
			}
			g_assert_cmpint(i, <, 2000);
			g_assert_null(find_member(members(&c), old));
			g_assert_cmpuint(members(&c)->n_members, ==, 3);
			lose_disk(&c, second);
			run(&c, 10 * ELECTION_MS);
			g_assert_true(announce(&c, 1));
			cell_clear(&c);
		}
	}
}

static void
test_removal(void)
{
	struct cell c;
	char id[32];
	int lead, other, i;

	cell_init(&c, 1, "abcd");
	settle(&c);
	lead = leader(&c);
	g_assert_cmpint(
	    remove_member(&c, "10.9.9.9:1"), ==, GYP__CODE__CODE_NOT_FOUND);
	g_assert_cmpint(remove_member(&c, c.nodes[lead].address), ==,
	    GYP__CODE__CODE_CONFLICT);
	other = (lead + 1) % 3;
	snprintf(
	    id, sizeof(id), "%016" G_GINT64_MODIFIER "x", c.nodes[other].id);
	g_assert_cmpint(remove_member(&c, id), ==, GYP__CODE__CODE_OK);
	g_assert_nonnull(strstr(c.reply->json, id));
	settle(&c);

	/* The spare votes now; the removed id asks to join and is refused. */
	g_assert_true(votes(&c, c.nodes[3].id));
	g_assert_null(find_member(members(&c), c.nodes[other].id));

	/* Two of three voters must answer without the one that goes. */
	for (i = 0; i < c.n; i++) {
		if (i != lead && i != other)
			break;
	}
	stop(&c, i);
	run(&c, 3 * ELECTION_MS);
	for (i = 0; i < c.n; i++) {
		if (i != leader(&c) && i != other && c.nodes[i].replica != NULL)
			break;
	}
	g_assert_cmpint(remove_member(&c, c.nodes[i].address), ==,
	    GYP__CODE__CODE_CONFLICT);
	cell_clear(&c);
}

/* A voter gone for long gives its vote to the spare, and returns as one. */
static void
test_spare(void)
{
	struct cell c;
	int gone;

	cell_init(&c, 1, "abca");
	settle(&c);
	assert_centres(&c, "abc");
	gone = (leader(&c) + 1) % 3;
	stop(&c, gone);
	run(&c, 20000);
	g_assert_true(votes(&c, c.nodes[gone].id));
	run(&c, 20000);
	g_assert_false(votes(&c, c.nodes[gone].id));
	g_assert_true(votes(&c, c.nodes[3].id));
	g_assert_nonnull(find_member(members(&c), c.nodes[gone].id));
	start(&c, gone);
	settle(&c);
	assert_centres(&c, "abc");
	g_assert_true(announce(&c, 1));
	cell_clear(&c);
}

/*
 * Load pattern: VMs with a disk that are replaced at other addresses, one after
 * the other. The successor must have the vote within the time to catch up, also
 * when the leader changes meanwhile; else two replaced voters and one more lost
 * disk leave no majority.
 */
static void
check_successor(uint32_t seed, bool leader_stops, uint32_t leader_stops_at)
{
	const uint32_t catch_up_ms = 4000;
	struct cell c;
	int gone, next, lead;

	cell_init(&c, seed, "abc");
	settle(&c);
	for (next = 0; next < VOTERS; next++) {
		stop(&c, next);
		c.catch_up_ms = catch_up_ms;
		start(&c, next);
		settle(&c);
	}
	gone = (leader(&c) + 1) % VOTERS;
	stop(&c, gone);
	next = add_node(&c, "abc"[gone]);
	run(&c, leader_stops_at);
	lead = leader(&c);
	if (leader_stops && lead >= 0) {
		stop(&c, lead);
		start(&c, lead);
	}
	run(&c, catch_up_ms - leader_stops_at);
	g_assert_cmpint(leader(&c), >=, 0);
	g_assert_true(votes(&c, c.nodes[next].id));
	g_assert_false(votes(&c, c.nodes[gone].id));

	/* The next loss leaves a majority. */
	lose_disk(&c, (gone + 1) % VOTERS);
	run(&c, 10 * ELECTION_MS);
	g_assert_true(announce(&c, 1));
	cell_clear(&c);
}

static void
test_successor(void)
{
	check_successor(1, false, 0);
	check_successor(2, true, 300);
	check_successor(3, true, 900);
	check_successor(4, true, 1500);
}

/* Hundreds of changes that a replica missed come to it as one snapshot. */
static void
test_growth(void)
{
	struct cell c;
	uint64_t commit;
	uint64_t i;
	int away;

	cell_init(&c, 1, "abc");
	settle(&c);
	away = (leader(&c) + 1) % 3;
	stop(&c, away);
	for (i = 1; i <= 400; i++)
		g_assert_true(announce(&c, i));
	commit = gyp_raft_commit(gyp_replica_raft(c.nodes[leader(&c)].replica));
	c.snapshots = c.entries = 0;
	start(&c, away);
	run(&c, 3000);
	g_assert_cmpuint(
	    gyp_raft_applied(gyp_replica_raft(c.nodes[away].replica)), >=,
	    commit);
	g_test_message("%u snapshots and %u entries for %u changes missed",
	    c.snapshots, c.entries, 400);
	g_assert_cmpuint(c.snapshots, ==, 1);
	g_assert_cmpuint(c.entries, <, 200);
	cell_clear(&c);
}

/*
 * Logs of all replicas grow alike. A snapshot takes a hundredth of the time
 * that its part of the log takes to grow, so limits that are further apart than
 * that are not reached at the same moment.
 */
static void
test_snapshots_apart(void)
{
	struct gyp_replica_config cfg = {.compact_bytes = 4 << 20};
	uint64_t limits[9], i, k, near;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		char address[32];

		g_snprintf(address, sizeof(address), "10.%d.0.%d:7500",
		    (int)i % 4 + 1, (int)i + 14);
		cfg.id = gyp_first_start_id(address);
		limits[i] = gyp_replica_compact_limit(&cfg);
		g_assert_cmpuint(limits[i], >=, cfg.compact_bytes / 2);
		g_assert_cmpuint(limits[i], <, cfg.compact_bytes * 3 / 2);
	}
	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		near = 0;
		for (k = 0; k < G_N_ELEMENTS(limits); k++)
			near +=
			    limits[k] + cfg.compact_bytes / 100 >= limits[i] &&
			    limits[k] <= limits[i] + cfg.compact_bytes / 100;
		g_assert_cmpuint(near, <, 3);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/members/spread", test_spread);
	g_test_add_func("/members/second-loss", test_second_loss);
	g_test_add_func("/members/removal", test_removal);
	g_test_add_func("/members/spare", test_spare);
	g_test_add_func("/members/successor", test_successor);
	g_test_add_func("/members/growth", test_growth);
	g_test_add_func("/members/snapshots-apart", test_snapshots_apart);
	return g_test_run();
}
