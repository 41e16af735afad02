/*
 * NAME
 *	bench-map - how entries learn of a new leader and of missed rules
 *
 * DESCRIPTION
 *	Three replicas and seven entries in one process, 1 ms apart, in virtual
 *	time. The leader is killed; measured is the time from the moment that
 *	its successor serves until each entry has spoken to it, and what that
 *	costs, when a refusal names the leader ("map"), when it does not
 *	("rotate"), and when entries poll for the leader's address instead.
 *	Then one entry misses many versions of the rules. Random numbers are
 *	seeded: equal runs give equal figures.
 *
 *	The idea of the map on the error is that of libcouchbase 2.3-DP2,
 *	"Enhanced Configuration Updates" (February 2014).
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "entry.h"
#include "msg.h"
#include "replica.h"

#define REPLICAS   3
#define ENTRIES    7
#define LATENCY_MS 1
#define RUNS       20
#define WATCH_MS   10000

/* Lines of the rules in the second part, and their versions. */
#define RULES_LINES   100
#define RULES_CHANGES 300

enum way { WAY_MAP, WAY_ROTATE, WAY_POLL };

struct packet {
	uint64_t due;
	int from; /* replicas first, then entries */
	int to;
	GBytes *packed;
};

struct bench {
	enum way way;
	uint32_t poll_ms;
	uint64_t now;
	struct gyp_replica *replicas[REPLICAS];
	uint64_t synced[REPLICAS];
	bool dead[REPLICAS];
	struct gyp_entry_core *entries[ENTRIES];
	bool cut[ENTRIES];
	uint64_t met[ENTRIES]; /* when the new leader was heard, or 0 */
	int leader;            /* that is waited for, or -1 */
	GQueue packets;
	uint64_t messages; /* between entries and replicas */
	uint64_t bytes;
};

static const char *const addresses[] = {
    "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", NULL};

static uint64_t
replica_id(int i)
{
	return (uint64_t)i + 101;
}

static uint64_t
entry_id(int i)
{
	return (uint64_t)i + 1001;
}

static int
find_address(const char *address)
{
	int i;

	for (i = 0; i < REPLICAS; i++) {
		if (strcmp(addresses[i], address) == 0)
			return i;
	}
	return -1;
}

static void
push_packet(struct bench *b, int from, int to, GBytes *packed)
{
	struct packet *p = g_new0(struct packet, 1);

	p->due = b->now + LATENCY_MS;
	p->from = from;
	p->to = to;
	p->packed = packed;
	g_queue_push_tail(&b->packets, p);
	if (from >= REPLICAS || to >= REPLICAS) {
		b->messages++;
		b->bytes += g_bytes_get_size(packed) + 4;
	}
}

static void
empty_replica(struct bench *b, int i)
{
	struct gyp_record rec;
	struct gyp_out_frame out;
	bool wrote = true;

	while (wrote) {
		wrote = false;
		while (gyp_replica_pop_record(b->replicas[i], &rec)) {
			if (rec.data != NULL)
				g_bytes_unref(rec.data);
			b->synced[i]++;
			wrote = true;
		}
		if (wrote)
			gyp_replica_synced(
			    b->replicas[i], b->now, b->synced[i]);
	}
	while (gyp_replica_pop_frame(b->replicas[i], &out)) {
		int to =
		    out.entry
			? REPLICAS + (int)(out.to - entry_id(0))
			: find_address(out.address != NULL ? out.address : "");

		g_free(out.address);
		if (to >= 0)
			push_packet(b, i, to, out.packed);
		else
			g_bytes_unref(out.packed);
	}
}

static void
empty_entry(struct bench *b, int i)
{
	const char *address;
	struct gyp_answer a;
	GBytes *packed;

	while (gyp_entry_pop_frame(b->entries[i], &address, &packed))
		push_packet(b, REPLICAS + i, find_address(address), packed);
	while (gyp_entry_pop_answer(b->entries[i], &a))
		gyp_message_free(a.reply);
}

/* What a refusal tells depends on the way under test. */
static bool
weaken(const struct bench *b, Gyp__Frame *frame)
{
	if (b->way == WAY_MAP || frame->down->leader)
		return true;
	if (frame->down->leader_address[0] != '\0')
		frame->down->leader_address[0] = '\0';
	return b->way != WAY_POLL;
}

static void
to_entry(struct bench *b, int from, int i, Gyp__Frame *frame)
{
	if (b->cut[i] || !weaken(b, frame))
		return;
	if (from == b->leader && frame->down->leader && b->met[i] == 0)
		b->met[i] = b->now;
	gyp_entry_receive(b->entries[i], b->now, addresses[from], frame);
	empty_entry(b, i);
}

static void
deliver(struct bench *b, const struct packet *p)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(p->packed, &len);
	Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);
	bool to_replica = p->to < REPLICAS;

	if (to_replica && b->dead[p->to]) {
		if (p->from >= REPLICAS)
			gyp_entry_disconnected(b->entries[p->from - REPLICAS],
			    b->now, addresses[p->to]);
	} else if (!to_replica) {
		to_entry(b, p->from, p->to - REPLICAS, frame);
	} else if (p->from < REPLICAS || !b->cut[p->from - REPLICAS]) {
		gyp_replica_receive(b->replicas[p->to], b->now,
		    p->from < REPLICAS ? replica_id(p->from)
				       : entry_id(p->from - REPLICAS),
		    frame);
		empty_replica(b, p->to);
	}
	gyp_message_free(frame);
}

/* A question and its answer, each of the size of a refusal. */
static void
poll_leader(struct bench *b, int i)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;
	int k;

	for (k = 0; k < REPLICAS; k++) {
		if (b->dead[k] || !gyp_replica_serving(b->replicas[k]))
			continue;
		down.term = gyp_raft_term(gyp_replica_raft(b->replicas[k]));
		down.leader_address = (char *)addresses[k];
	}
	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = &down;
	b->messages += 2;
	b->bytes += 2 * (4 + gyp__frame__get_packed_size(&frame));
	if (down.leader_address[0] == '\0')
		return;
	for (k = 0; k < REPLICAS; k++)
		gyp_entry_receive(b->entries[i], b->now, addresses[k], &frame);
	empty_entry(b, i);
}

static void
step(struct bench *b)
{
	struct packet *p;
	int i;

	b->now++;
	while (
	    (p = g_queue_peek_head(&b->packets)) != NULL && p->due <= b->now) {
		g_queue_pop_head(&b->packets);
		deliver(b, p);
		g_bytes_unref(p->packed);
		g_free(p);
	}
	for (i = 0; i < REPLICAS && b->now % GYP_TICK_MS == 0; i++) {
		if (b->dead[i])
			continue;
		gyp_replica_tick(b->replicas[i], b->now);
		empty_replica(b, i);
	}
	for (i = 0; i < ENTRIES; i++) {
		if (b->now % GYP_TICK_MS == (uint64_t)i) {
			gyp_entry_tick(b->entries[i], b->now);
			empty_entry(b, i);
		}
		if (b->way == WAY_POLL &&
		    (b->now + (uint64_t)i * 37) % b->poll_ms == 0)
			poll_leader(b, i);
	}
}

static void
run_for(struct bench *b, uint32_t ms)
{
	uint64_t end = b->now + ms;

	while (b->now < end)
		step(b);
}

static int
serving(const struct bench *b)
{
	int i;

	for (i = 0; i < REPLICAS; i++) {
		if (!b->dead[i] && gyp_replica_serving(b->replicas[i]))
			return i;
	}
	return -1;
}

static void
join(struct bench *b, int i)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join msg = GYP__JOIN__INIT;
	Gyp__Member member = GYP__MEMBER__INIT;

	member.id = replica_id(i);
	member.address = (char *)addresses[i];
	msg.member = &member;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &msg;
	push_packet(b, i, 0, gyp_message_pack(&frame.base));
}

static struct bench *
make_bench(enum way way, uint32_t poll_ms, uint32_t seed)
{
	struct bench *b = g_new0(struct bench, 1);
	int i;

	b->way = way;
	b->poll_ms = poll_ms;
	b->now = 1000000 + seed * 13;
	b->leader = -1;
	for (i = 0; i < REPLICAS; i++) {
		struct gyp_replica_config cfg = {.id = replica_id(i),
		    .address = addresses[i],
		    .seed = seed * 31 + (uint32_t)i,
		    .election_ms = 1000,
		    .heartbeat_ms = 100,
		    .endpoint_lease_ms = 5000,
		    .entry_lease_ms = 3000,
		    .start_window_ms = 2000,
		    .voters = REPLICAS,
		    .compact_bytes = 4 * 1024 * 1024};

		b->replicas[i] = gyp_replica_new(&cfg);
	}
	gyp_replica_bootstrap(b->replicas[0], NULL);
	for (i = 0; i < ENTRIES; i++) {
		struct gyp_entry_config cfg = {.id = entry_id(i),
		    .replicas = addresses,
		    .keepalive_ms = 300,
		    .silence_ms = 1200};

		b->entries[i] = gyp_entry_new(&cfg);
	}
	while (serving(b) < 0)
		step(b);
	for (i = 1; i < REPLICAS; i++) {
		join(b, i);
		run_for(b, 3000);
	}
	run_for(b, 5000);
	return b;
}

static void
free_bench(struct bench *b)
{
	struct packet *p;
	int i;

	while ((p = g_queue_pop_head(&b->packets)) != NULL) {
		g_bytes_unref(p->packed);
		g_free(p);
	}
	for (i = 0; i < REPLICAS; i++)
		gyp_replica_free(b->replicas[i]);
	for (i = 0; i < ENTRIES; i++)
		gyp_entry_free(b->entries[i]);
	g_free(b);
}

/* ---- A change of leader ------------------------------------------------ */

struct sums {
	uint64_t late_ms; /* over entries and runs */
	uint64_t worst_ms;
	uint64_t messages;
	uint64_t bytes;
	uint64_t idle_messages;
};

static void
kill_leader(enum way way, uint32_t poll_ms, uint32_t seed, struct sums *sums)
{
	struct bench *b = make_bench(way, poll_ms, seed);
	uint64_t since, idle = b->messages;
	int i;

	run_for(b, WATCH_MS);
	sums->idle_messages += b->messages - idle;
	b->dead[serving(b)] = true;
	b->messages = b->bytes = 0;
	while (serving(b) < 0)
		step(b);
	b->leader = serving(b);
	since = b->now;
	run_for(b, WATCH_MS);
	for (i = 0; i < ENTRIES; i++) {
		uint64_t late = b->met[i] != 0 ? b->met[i] - since : WATCH_MS;

		sums->late_ms += late;
		sums->worst_ms = MAX(sums->worst_ms, late);
	}
	sums->messages += b->messages;
	sums->bytes += b->bytes;
	free_bench(b);
}

static void
measure_way(const char *name, enum way way, uint32_t poll_ms)
{
	struct sums sums = {0, 0, 0, 0, 0};
	uint32_t seed;

	for (seed = 1; seed <= RUNS; seed++)
		kill_leader(way, poll_ms, seed, &sums);
	printf("%-12s %9.0f %9" G_GUINT64_FORMAT " %9.0f %9.0f %9.1f\n", name,
	    (double)sums.late_ms / (RUNS * ENTRIES), sums.worst_ms,
	    (double)sums.messages / RUNS, (double)sums.bytes / RUNS,
	    (double)sums.idle_messages / RUNS / ENTRIES / (WATCH_MS / 1000.0));
}

/* ---- Missed rules ------------------------------------------------------ */

static char *
make_rules(void)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < RULES_LINES; i++)
		g_string_append_printf(
		    text, "share team-%03d 10 # bench: measures\n", i);
	return g_string_free(text, FALSE);
}

static void
apply_rules(struct bench *b, uint64_t base)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdRules rules = GYP__CMD_RULES__INIT;
	char request[32];
	char *text = make_rules();

	g_snprintf(request, sizeof(request), "r%" G_GUINT64_FORMAT, base);
	rules.base_version = base;
	rules.request = request;
	rules.author = "bench";
	rules.text = text;
	call.c_case = GYP__CALL__C_RULES;
	call.rules = &rules;
	gyp_entry_call(b->entries[0], b->now, &call, 5000, NULL);
	empty_entry(b, 0);
	run_for(b, 50);
	g_free(text);
}

static void
measure_missed_rules(void)
{
	struct bench *b = make_bench(WAY_MAP, 0, 1);
	uint64_t since, bytes, v;
	char *text;

	b->cut[ENTRIES - 1] = true;
	for (v = 0; v < RULES_CHANGES; v++)
		apply_rules(b, v);
	b->cut[ENTRIES - 1] = false;
	since = b->now;
	bytes = b->bytes;
	while (gyp_entry_rules(b->entries[ENTRIES - 1], NULL) < RULES_CHANGES &&
	       b->now < since + WATCH_MS)
		step(b);
	text = make_rules();
	if (gyp_entry_rules(b->entries[ENTRIES - 1], NULL) < RULES_CHANGES)
		printf("the entry did not converge\n");
	printf("missed %d versions of %zu bytes: %" G_GUINT64_FORMAT
	       " ms, %" G_GUINT64_FORMAT
	       " bytes to and from all entries; each version once would be "
	       "%zu\n",
	    RULES_CHANGES, strlen(text), b->now - since, b->bytes - bytes,
	    RULES_CHANGES * strlen(text));
	g_free(text);
	free_bench(b);
}

int
main(void)
{
	printf("%-12s %9s %9s %9s %9s %9s\n", "way", "mean_ms", "worst_ms",
	    "messages", "bytes", "idle/s");
	measure_way("map", WAY_MAP, 0);
	measure_way("rotate", WAY_ROTATE, 0);
	measure_way("poll 300 ms", WAY_POLL, 300);
	measure_way("poll 1 s", WAY_POLL, 1000);
	measure_missed_rules();
	return 0;
}
