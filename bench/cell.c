#include <string.h>
#include <time.h>

#include "cell.h"
#include "msg.h"

struct process {
	struct gyp_replica *replica; /* NULL for an entry */
	struct gyp_entry_core *entry;
	uint64_t id;
	char address[32];
	uint64_t synced;
	struct cell_cost cost;
};

/* A frame, sync or exchange that arrives in the next step. */
struct delivery {
	struct process *from;
	struct process *to;
	GBytes *packed; /* the frame, or NULL */
	uint64_t sync;  /* number of synced records, of a sync */
	struct gyp_exchange exchange;
};

struct cell {
	uint64_t now;
	struct process replicas[CELL_REPLICAS];
	struct process entries[CELL_ENTRIES];
	GQueue deliveries;
	uint64_t starts;
	uint64_t answers;
};

static uint64_t
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

/* ---- Delivery ---------------------------------------------------------- */

static struct process *
find_process(struct cell *c, uint64_t id)
{
	guint i;

	for (i = 0; i < CELL_REPLICAS; i++) {
		if (c->replicas[i].id == id)
			return &c->replicas[i];
	}
	for (i = 0; i < CELL_ENTRIES; i++) {
		if (c->entries[i].id == id)
			return &c->entries[i];
	}
	return NULL;
}

static struct process *
find_by_address(struct cell *c, const char *address)
{
	guint i;

	for (i = 0; i < CELL_REPLICAS; i++) {
		if (strcmp(c->replicas[i].address, address) == 0)
			return &c->replicas[i];
	}
	return NULL;
}

static void
send_frame(
    struct cell *c, struct process *from, struct process *to, GBytes *packed)
{
	struct delivery *p = g_new0(struct delivery, 1);
	uint64_t bytes = g_bytes_get_size(packed) + sizeof(uint32_t);

	from->cost.frames_out++;
	from->cost.bytes_out += bytes;
	to->cost.bytes_in += bytes;
	p->from = from;
	p->to = to;
	p->packed = packed;
	g_queue_push_tail(&c->deliveries, p);
}

static void
collect_replica(struct cell *c, struct process *p)
{
	struct gyp_record rec;
	struct gyp_out_frame out;
	struct delivery *sync;
	uint64_t before = p->synced;

	while (gyp_replica_pop_record(p->replica, &rec)) {
		p->synced++;
		p->cost.records++;
		if (rec.data != NULL) {
			p->cost.disk_bytes += g_bytes_get_size(rec.data);
			g_bytes_unref(rec.data);
		}
	}
	if (p->synced != before) {
		sync = g_new0(struct delivery, 1);
		sync->to = p;
		sync->sync = p->synced;
		g_queue_push_tail(&c->deliveries, sync);
	}
	while (gyp_replica_pop_frame(p->replica, &out)) {
		send_frame(c, p, find_process(c, out.to), out.packed);
		g_free(out.address);
	}
}

static void
collect_entry(struct cell *c, struct process *p)
{
	const char *address;
	GBytes *packed;
	struct gyp_exchange x;
	struct gyp_answer a;

	while (gyp_entry_pop_frame(p->entry, &address, &packed))
		send_frame(c, p, find_by_address(c, address), packed);
	while (gyp_entry_pop_exchange(p->entry, &x)) {
		struct delivery *delivery = g_new0(struct delivery, 1);

		delivery->to = p;
		delivery->exchange = x;
		g_queue_push_tail(&c->deliveries, delivery);
	}
	while (gyp_entry_pop_answer(p->entry, &a)) {
		c->answers++;
		gyp_message_free(a.reply);
	}
}

/* Watchers keep running; other tasks end at once with a short answer. */
static void
finish_exchange(struct cell *c, struct process *p, struct gyp_exchange *x)
{
	struct gyp_exchange_result res = {.state = GYP_ATTEMPT_DONE,
	    .http_status = 200,
	    .answer = (const uint8_t *)"ok",
	    .answer_len = 2};

	if (x->order->kind == GYP__KIND__KIND_WATCHER)
		res.state = GYP_ATTEMPT_RUNNING;
	c->starts += x->order->type == GYP__ORDER_TYPE__ORDER_START;
	gyp_entry_exchange_done(p->entry, c->now, x->id, &res);
	gyp_message_free(x->order);
}

static void
receive(struct cell *c, const struct delivery *p)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(p->packed, &len);
	Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);

	if (p->to->replica != NULL)
		gyp_replica_receive(p->to->replica, c->now, p->from->id, frame);
	else
		gyp_entry_receive(
		    p->to->entry, c->now, p->from->address, frame);
	gyp__frame__free_unpacked(frame, NULL);
	g_bytes_unref(p->packed);
}

static void
deliver(struct cell *c, struct delivery *p)
{
	uint64_t start = cpu_ns();

	if (p->packed != NULL)
		receive(c, p);
	else if (p->exchange.order != NULL)
		finish_exchange(c, p->to, &p->exchange);
	else
		gyp_replica_synced(p->to->replica, c->now, p->sync);
	p->to->cost.cpu_ns += cpu_ns() - start;
	if (p->to->replica != NULL)
		collect_replica(c, p->to);
	else
		collect_entry(c, p->to);
}

static void
tick_all(struct cell *c)
{
	guint i;

	for (i = 0; i < CELL_REPLICAS; i++) {
		struct process *p = &c->replicas[i];
		uint64_t start = cpu_ns();

		gyp_replica_tick(p->replica, c->now);
		p->cost.cpu_ns += cpu_ns() - start;
		collect_replica(c, p);
	}
	for (i = 0; i < CELL_ENTRIES; i++) {
		struct process *p = &c->entries[i];
		uint64_t start = cpu_ns();

		gyp_entry_tick(p->entry, c->now);
		p->cost.cpu_ns += cpu_ns() - start;
		collect_entry(c, p);
	}
}

static void
step(struct cell *c)
{
	guint left = c->deliveries.length;

	c->now += CELL_STEP_MS;
	while (left-- > 0) {
		struct delivery *p = g_queue_pop_head(&c->deliveries);

		deliver(c, p);
		g_free(p);
	}
	if (c->now % GYP_TICK_MS < CELL_STEP_MS)
		tick_all(c);
}

void
cell_run(struct cell *c, uint32_t ms)
{
	uint64_t end = c->now + ms;

	while (c->now < end)
		step(c);
}

uint64_t
cell_now(const struct cell *c)
{
	return c->now;
}

void
cell_call(struct cell *c, uint32_t entry, const Gyp__Call *call)
{
	struct process *p = &c->entries[entry % CELL_ENTRIES];
	uint64_t start = cpu_ns();

	gyp_entry_call(p->entry, c->now, call, 600000, NULL);
	p->cost.cpu_ns += cpu_ns() - start;
	collect_entry(c, p);
}

/* ---- Construction ------------------------------------------------------ */

static void
request_join(struct cell *c, struct process *p)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join msg = GYP__JOIN__INIT;
	Gyp__Member member = GYP__MEMBER__INIT;

	member.id = p->id;
	member.address = p->address;
	msg.member = &member;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &msg;
	send_frame(c, p, &c->replicas[0], gyp_message_pack(&frame.base));
	cell_run(c, 3000);
}

static void
add_replica(struct cell *c, guint i)
{
	struct process *p = &c->replicas[i];
	struct gyp_replica_config cfg = {.election_ms = 1000,
	    .heartbeat_ms = 100,
	    .endpoint_lease_ms = 5000,
	    .entry_lease_ms = 3000,
	    .start_window_ms = 2000,
	    .voters = CELL_REPLICAS,
	    .compact_bytes = 4 * 1024 * 1024};

	p->id = 1000 + i;
	g_snprintf(p->address, sizeof(p->address), "10.0.0.%u:1", i + 1);
	cfg.id = p->id;
	cfg.address = p->address;
	cfg.seed = i;
	p->replica = gyp_replica_new(&cfg);
}

static void
add_entry(struct cell *c, guint i)
{
	const char *replicas[] = {c->replicas[0].address, NULL};
	struct gyp_entry_config cfg = {.id = 2000 + i,
	    .replicas = replicas,
	    .keepalive_ms = 500,
	    .silence_ms = 2000};

	c->entries[i].id = cfg.id;
	c->entries[i].entry = gyp_entry_new(&cfg);
}

struct cell *
cell_new(void)
{
	struct cell *c = g_new0(struct cell, 1);
	guint i;

	c->now = 1000;
	for (i = 0; i < CELL_REPLICAS; i++)
		add_replica(c, i);
	for (i = 0; i < CELL_ENTRIES; i++)
		add_entry(c, i);
	gyp_replica_bootstrap(c->replicas[0].replica, NULL);
	cell_run(c, 5000);
	for (i = 1; i < CELL_REPLICAS; i++)
		request_join(c, &c->replicas[i]);
	g_assert(gyp_replica_serving(c->replicas[0].replica));
	return c;
}

void
cell_free(struct cell *c)
{
	struct delivery *p;
	guint i;

	while ((p = g_queue_pop_head(&c->deliveries)) != NULL) {
		if (p->packed != NULL)
			g_bytes_unref(p->packed);
		gyp_message_free(p->exchange.order);
		g_free(p);
	}
	for (i = 0; i < CELL_REPLICAS; i++)
		gyp_replica_free(c->replicas[i].replica);
	for (i = 0; i < CELL_ENTRIES; i++)
		gyp_entry_free(c->entries[i].entry);
	g_free(c);
}

void
cell_free_entry(struct cell *c)
{
	gyp_entry_free(c->entries[0].entry);
	c->entries[0].entry = NULL;
}

void
cell_free_replica(struct cell *c, guint index)
{
	gyp_replica_free(c->replicas[index].replica);
	c->replicas[index].replica = NULL;
}

const struct gyp_replica *
cell_leader(const struct cell *c)
{
	g_assert(gyp_replica_serving(c->replicas[0].replica));
	return c->replicas[0].replica;
}

/* ---- Costs ------------------------------------------------------------- */

void
cell_reset_costs(struct cell *c)
{
	guint i;

	for (i = 0; i < CELL_REPLICAS; i++)
		memset(&c->replicas[i].cost, 0, sizeof(struct cell_cost));
	for (i = 0; i < CELL_ENTRIES; i++)
		memset(&c->entries[i].cost, 0, sizeof(struct cell_cost));
	c->starts = 0;
	c->answers = 0;
}

struct cell_costs
cell_costs(const struct cell *c)
{
	struct cell_costs sum = {.leader = c->replicas[0].cost,
	    .follower = c->replicas[1].cost,
	    .starts = c->starts,
	    .answers = c->answers};
	guint i;

	for (i = 0; i < CELL_ENTRIES; i++) {
		const struct cell_cost *e = &c->entries[i].cost;

		sum.entry.cpu_ns += e->cpu_ns / CELL_ENTRIES;
		sum.entry.frames_out += e->frames_out / CELL_ENTRIES;
		sum.entry.bytes_out += e->bytes_out / CELL_ENTRIES;
		sum.entry.bytes_in += e->bytes_in / CELL_ENTRIES;
	}
	return sum;
}
