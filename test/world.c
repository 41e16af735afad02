#include <string.h>

#include "world.h"

static const char *const cells[] = {"127.0.0.1:1", NULL};

static void
free_exchange(gpointer p)
{
	struct gyp_exchange *x = p;

	gyp_message_free(x->order);
	g_free(x);
}

static void
free_answer(gpointer p)
{
	struct gyp_answer *a = p;

	gyp_message_free(a->reply);
	g_free(a);
}

static void
start_entry(struct world *w, int i)
{
	struct gyp_entry_config cfg = {
	    .cells = cells, .keepalive_ms = 300, .silence_ms = 1200};

	w->ids[i] += WORLD_ENTRIES;
	cfg.id = w->ids[i];
	w->entries[i] = gyp_entry_new(&cfg);
	gyp_entry_tick(w->entries[i], w->now);
	gyp_replica_entry_connected(w->replica, w->now, cfg.id);
	gyp_entry_connected(w->entries[i], w->now, cells[0]);
}

struct world *
world_new(void)
{
	struct world *w = g_new0(struct world, 1);
	struct gyp_replica_config cfg = {.id = 99,
	    .address = cells[0],
	    .seed = 1,
	    .election_ms = 1000,
	    .heartbeat_ms = 100,
	    .endpoint_lease_ms = 5000,
	    .entry_lease_ms = 3000,
	    .start_window_ms = 2000,
	    .voters = 1,
	    .compact_bytes = 64 * 1024 * 1024};
	int i;

	w->now = WORLD_START;
	w->replica = gyp_replica_new(&cfg);
	gyp_replica_bootstrap(w->replica, NULL);
	for (i = 0; i < WORLD_ENTRIES; i++) {
		w->exchanges[i] = g_ptr_array_new_with_free_func(free_exchange);
		w->answers[i] = g_ptr_array_new_with_free_func(free_answer);
		w->ids[i] = (uint64_t)i + 1;
		start_entry(w, i);
	}
	world_run(w, 5000);
	return w;
}

void
world_free(struct world *w)
{
	int i;

	for (i = 0; i < WORLD_ENTRIES; i++) {
		gyp_entry_free(w->entries[i]);
		g_ptr_array_free(w->exchanges[i], TRUE);
		g_ptr_array_free(w->answers[i], TRUE);
	}
	gyp_replica_free(w->replica);
	g_free(w);
}

/* ---- Moving frames ----------------------------------------------------- */

static Gyp__Frame *
count_frame(struct world *w, GBytes *packed)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(packed, &len);

	w->frames++;
	w->bytes += len;
	return gyp__frame__unpack(NULL, len, data);
}

static bool
move_up(struct world *w, int i)
{
	const char *address;
	GBytes *packed;
	bool moved = false;

	while (gyp_entry_pop_frame(w->entries[i], &address, &packed)) {
		Gyp__Frame *frame = count_frame(w, packed);

		if (!w->cut_up[i])
			gyp_replica_receive(
			    w->replica, w->now, w->ids[i], frame);
		gyp_message_free(frame);
		g_bytes_unref(packed);
		moved = true;
	}
	return moved;
}

static bool
move_out(struct world *w)
{
	struct gyp_out_frame out;
	bool moved = false;
	int i;

	while (gyp_replica_pop_frame(w->replica, &out)) {
		Gyp__Frame *frame = count_frame(w, out.packed);

		for (i = 0; i < WORLD_ENTRIES; i++) {
			if (out.to != w->ids[i] || w->cut_down[i])
				continue;
			w->orders += frame->down->n_orders;
			gyp_entry_receive(
			    w->entries[i], w->now, cells[0], frame);
		}
		gyp_message_free(frame);
		g_free(out.address);
		g_bytes_unref(out.packed);
		moved = true;
	}
	return moved;
}

static bool
move_records(struct world *w)
{
	struct gyp_record rec;
	bool moved = false;

	while (gyp_replica_pop_record(w->replica, &rec)) {
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
		w->synced++;
		moved = true;
	}
	if (moved)
		gyp_replica_synced(w->replica, w->now, w->synced);
	return moved;
}

static void
collect(struct world *w, int i)
{
	struct gyp_exchange x;
	struct gyp_answer a;

	while (gyp_entry_pop_exchange(w->entries[i], &x))
		g_ptr_array_add(w->exchanges[i], g_memdup2(&x, sizeof(x)));
	while (gyp_entry_pop_answer(w->entries[i], &a))
		g_ptr_array_add(w->answers[i], g_memdup2(&a, sizeof(a)));
}

static void
pump(struct world *w)
{
	bool more = true;
	int i;

	while (more) {
		more = move_records(w);
		more = move_out(w) || more;
		for (i = 0; i < WORLD_ENTRIES; i++) {
			more = move_up(w, i) || more;
			collect(w, i);
		}
	}
}

void
world_run(struct world *w, uint32_t ms)
{
	uint64_t end = w->now + ms;
	int i;

	pump(w);
	while (w->now < end) {
		w->now += GYP_TICK_MS;
		gyp_replica_tick(w->replica, w->now);
		for (i = 0; i < WORLD_ENTRIES; i++)
			gyp_entry_tick(w->entries[i], w->now);
		pump(w);
	}
}

void
world_restart_entry(struct world *w, int i)
{
	gyp_entry_free(w->entries[i]);
	g_ptr_array_set_size(w->exchanges[i], 0);
	start_entry(w, i);
}

/* ---- Calls ------------------------------------------------------------- */

uint64_t
world_call(
    struct world *w, int entry, const Gyp__Call *call, uint32_t timeout_ms)
{
	return gyp_entry_call(w->entries[entry], w->now, call, timeout_ms, w);
}

uint64_t
world_submit(struct world *w, int entry, const char *key, Gyp__Kind kind,
    uint32_t tasks, bool idempotent, uint32_t timeout_ms)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdSubmit submit = GYP__CMD_SUBMIT__INIT;
	Gyp__JobSpec spec = GYP__JOB_SPEC__INIT;
	Gyp__Res size = GYP__RES__INIT;

	size.cpu_milli = 100;
	size.slots = 1;
	spec.kind = kind;
	spec.team = "t";
	spec.class_ = "c";
	spec.key = (char *)key;
	spec.idempotent = idempotent;
	spec.tasks = tasks;
	spec.size = &size;
	submit.spec = &spec;
	call.c_case = GYP__CALL__C_SUBMIT;
	call.submit = &submit;
	return world_call(w, entry, &call, timeout_ms);
}

uint64_t
world_announce(
    struct world *w, const char *name, uint32_t slots, uint64_t incarnation)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res capacity = GYP__RES__INIT;
	const struct gyp_endpoint *row;

	capacity.cpu_milli = slots * 1000;
	capacity.memory = 1 << 30;
	capacity.slots = slots;
	ep.name = (char *)name;
	ep.address = "127.0.0.1:2";
	ep.capacity = &capacity;
	ep.connections = 64;
	ep.incarnation = incarnation;
	call.c_case = GYP__CALL__C_ANNOUNCE;
	call.announce = &ep;
	world_call(w, 0, &call, 5000);
	world_run(w, 100);
	row = gyp_state_endpoint_by_name(gyp_replica_state(w->replica), name);
	if (row == NULL || row->spec->incarnation != incarnation)
		return 0;
	world_beat(w, row->id, incarnation, 0, NULL, 0);
	return row->id;
}

void
world_queue_beat(struct world *w, uint64_t endpoint, uint64_t incarnation,
    uint32_t list, const Gyp__Attempt *running, uint32_t n)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Beat beat = GYP__BEAT__INIT;
	Gyp__Attempt **pointers = g_new(Gyp__Attempt *, n + 1);
	uint32_t i;

	for (i = 0; i < n; i++)
		pointers[i] = (Gyp__Attempt *)&running[i];
	beat.endpoint = endpoint;
	beat.incarnation = incarnation;
	beat.clock_ms = w->now;
	beat.list = list;
	beat.running = pointers;
	beat.n_running = n;
	beat.unchanged = running == NULL && list != 0;
	call.c_case = GYP__CALL__C_BEAT;
	call.beat = &beat;
	world_call(w, 0, &call, 5000);
	g_free(pointers);
}

void
world_beat(struct world *w, uint64_t endpoint, uint64_t incarnation,
    uint32_t list, const Gyp__Attempt *running, uint32_t n)
{
	world_queue_beat(w, endpoint, incarnation, list, running, n);
	world_run(w, 100);
}

/* ---- What came of it --------------------------------------------------- */

const struct gyp_answer *
world_answer(const struct world *w, int entry)
{
	const GPtrArray *list = w->answers[entry];

	return list->len > 0 ? list->pdata[list->len - 1] : NULL;
}

guint
world_count(const struct world *w, int entry, Gyp__OrderType type)
{
	guint i, n = 0;

	for (i = 0; i < w->exchanges[entry]->len; i++) {
		const struct gyp_exchange *x = w->exchanges[entry]->pdata[i];

		n += x->order->type == type;
	}
	return n;
}

void
world_settle(struct world *w, int entry, Gyp__OrderType type,
    enum gyp_fate fate, const char *body)
{
	struct gyp_exchange_result res = {.fate = fate,
	    .http_status = 200,
	    .reason = "as the test has it",
	    .answer = (const uint8_t *)body,
	    .answer_len = body != NULL ? strlen(body) : 0};
	GPtrArray *list = w->exchanges[entry];
	guint i = 0;

	while (i < list->len) {
		const struct gyp_exchange *x = list->pdata[i];
		uint64_t id = x->id;

		if (x->order->type != type) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(list, i);
		gyp_entry_exchange_done(w->entries[entry], w->now, id, &res);
	}
	pump(w);
}
