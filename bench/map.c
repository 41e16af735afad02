/*
 * NAME
 *	bench-map - time and traffic to find a new leader and fetch missed rules
 *
 * DESCRIPTION
 *	Runs three replicas and seven entries in one process in virtual time,
 *	with a latency of 1 ms. The leader is killed. For each entry the bench
 *	measures the time from when the new leader starts to serve until its
 *	first reply, and it counts the messages and bytes between entries and
 *	replicas, in three variants: a refusal names the leader ("map"), it
 *	does not ("rotate"), or entries poll for the leader's address. Then one
 *	entry misses many versions of the rules. Random numbers are seeded, so
 *	runs are reproducible.
 *
 *	Naming the leader in a refusal follows the configuration map that
 *	comes with an error in libcouchbase 2.3-DP2, "Enhanced Configuration
 *	Updates" (February 2014).
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "entry.h"
#include "msg.h"
#include "replica.h"

#define REPLICAS       3
#define ENTRIES        7
#define LATENCY_MS     1
#define RUNS           20
#define OBSERVATION_MS 10000

/* Lines of the rules and number of versions that an entry misses. */
#define RULES_LINES   100
#define RULES_CHANGES 300

enum strategy { STRATEGY_MAP, STRATEGY_ROTATE, STRATEGY_POLL };

struct packet {
	uint64_t due;
	int from; /* index: replicas first, then entries */
	int to;
	GBytes *packed;
};

struct bench {
	enum strategy strategy;
	uint32_t poll_ms;
	uint64_t now;
	struct gyp_replica *replicas[REPLICAS];
	uint64_t synced[REPLICAS];
	bool dead[REPLICAS];
	struct gyp_entry_core *entries[ENTRIES];
	bool blocked[ENTRIES];
	uint64_t contacted_at[ENTRIES]; /* first frame from the new leader, ms;
					   0: none */
	int new_leader;                 /* index, or -1 before the failover */
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
find_by_address(const char *address)
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
collect_replica_output(struct bench *b, int i)
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
		int to = out.entry
			     ? REPLICAS + (int)(out.to - entry_id(0))
			     : find_by_address(
				   out.address != NULL ? out.address : "");

		g_free(out.address);
		if (to >= 0)
			push_packet(b, i, to, out.packed);
		else
			g_bytes_unref(out.packed);
	}
}

static void
collect_entry_output(struct bench *b, int i)
{
	const char *address;
	struct gyp_answer a;
	GBytes *packed;

	while (gyp_entry_pop_frame(b->entries[i], &address, &packed))
		push_packet(b, REPLICAS + i, find_by_address(address), packed);
	while (gyp_entry_pop_answer(b->entries[i], &a))
		gyp_message_free(a.reply);
}

/*
 * Removes the leader's address from a refusal unless the strategy is "map".
 * Returns false if the entry must not receive the frame.
 */
static bool
filter_refusal(const struct bench *b, Gyp__Frame *frame)
{
	if (b->strategy == STRATEGY_MAP || frame->down->leader)
		return true;
	if (frame->down->leader_address[0] != '\0')
		frame->down->leader_address[0] = '\0';
	return b->strategy != STRATEGY_POLL;
}

static void
receive_at_entry(struct bench *b, int from, int i, Gyp__Frame *frame)
{
	if (b->blocked[i] || !filter_refusal(b, frame))
		return;
	if (from == b->new_leader && frame->down->leader &&
	    b->contacted_at[i] == 0)
		b->contacted_at[i] = b->now;
	gyp_entry_receive(b->entries[i], b->now, addresses[from], frame);
	collect_entry_output(b, i);
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
		receive_at_entry(b, p->from, p->to - REPLICAS, frame);
	} else if (p->from < REPLICAS || !b->blocked[p->from - REPLICAS]) {
		gyp_replica_receive(b->replicas[p->to], b->now,
		    p->from < REPLICAS ? replica_id(p->from)
				       : entry_id(p->from - REPLICAS),
		    frame);
		collect_replica_output(b, p->to);
	}
	gyp_message_free(frame);
}

/* Simulates a poll: a query and its answer, each as large as a refusal. */
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
	collect_entry_output(b, i);
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
		collect_replica_output(b, i);
	}
	for (i = 0; i < ENTRIES; i++) {
		if (b->now % GYP_TICK_MS == (uint64_t)i) {
			gyp_entry_tick(b->entries[i], b->now);
			collect_entry_output(b, i);
		}
		if (b->strategy == STRATEGY_POLL &&
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
serving_replica(const struct bench *b)
{
	int i;

	for (i = 0; i < REPLICAS; i++) {
		if (!b->dead[i] && gyp_replica_serving(b->replicas[i]))
			return i;
	}
	return -1;
}

static void
request_join(struct bench *b, int i)
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
make_bench(enum strategy strategy, uint32_t poll_ms, uint32_t seed)
{
	struct bench *b = g_new0(struct bench, 1);
	int i;

	b->strategy = strategy;
	b->poll_ms = poll_ms;
	b->now = 1000000 + seed * 13;
	b->new_leader = -1;
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
	while (serving_replica(b) < 0)
		step(b);
	for (i = 1; i < REPLICAS; i++) {
		request_join(b, i);
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
	uint64_t delay_ms; /* sum over entries and runs */
	uint64_t worst_ms;
	uint64_t messages;
	uint64_t bytes;
	uint64_t idle_messages;
};

static void
measure_failover(
    enum strategy strategy, uint32_t poll_ms, uint32_t seed, struct sums *sums)
{
	struct bench *b = make_bench(strategy, poll_ms, seed);
	uint64_t since, idle = b->messages;
	int i;

	run_for(b, OBSERVATION_MS);
	sums->idle_messages += b->messages - idle;
	b->dead[serving_replica(b)] = true;
	b->messages = b->bytes = 0;
	while (serving_replica(b) < 0)
		step(b);
	b->new_leader = serving_replica(b);
	since = b->now;
	run_for(b, OBSERVATION_MS);
	for (i = 0; i < ENTRIES; i++) {
		uint64_t delay = b->contacted_at[i] != 0
				     ? b->contacted_at[i] - since
				     : OBSERVATION_MS;

		sums->delay_ms += delay;
		sums->worst_ms = MAX(sums->worst_ms, delay);
	}
	sums->messages += b->messages;
	sums->bytes += b->bytes;
	free_bench(b);
}

static void
measure_strategy(const char *name, enum strategy strategy, uint32_t poll_ms)
{
	struct sums sums = {0, 0, 0, 0, 0};
	uint32_t seed;

	for (seed = 1; seed <= RUNS; seed++)
		measure_failover(strategy, poll_ms, seed, &sums);
	printf("%-12s %9.0f %9" G_GUINT64_FORMAT " %9.0f %9.0f %9.1f\n", name,
	    (double)sums.delay_ms / (RUNS * ENTRIES), sums.worst_ms,
	    (double)sums.messages / RUNS, (double)sums.bytes / RUNS,
	    (double)sums.idle_messages / RUNS / ENTRIES /
		(OBSERVATION_MS / 1000.0));
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
	collect_entry_output(b, 0);
	run_for(b, 50);
	g_free(text);
}

static void
measure_missed_rules(void)
{
	struct bench *b = make_bench(STRATEGY_MAP, 0, 1);
	uint64_t since, bytes, v;
	char *text;

	b->blocked[ENTRIES - 1] = true;
	for (v = 0; v < RULES_CHANGES; v++)
		apply_rules(b, v);
	b->blocked[ENTRIES - 1] = false;
	since = b->now;
	bytes = b->bytes;
	while (gyp_entry_rules(b->entries[ENTRIES - 1], NULL) < RULES_CHANGES &&
	       b->now < since + OBSERVATION_MS)
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
	measure_strategy("map", STRATEGY_MAP, 0);
	measure_strategy("rotate", STRATEGY_ROTATE, 0);
	measure_strategy("poll 300 ms", STRATEGY_POLL, 300);
	measure_strategy("poll 1 s", STRATEGY_POLL, 1000);
	measure_missed_rules();
	return 0;
}
