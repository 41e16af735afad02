#include <string.h>

#include "entry_fixture.h"

static const char *const replicas[] = {"127.0.0.1:1", NULL};

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
start_entry(struct entry_fixture *fx, int i)
{
	struct gyp_entry_config cfg = {
	    .replicas = replicas, .keepalive_ms = 300, .silence_ms = 1200};

	/* Each process of an entry has an id of its own. */
	fx->ids[i] += FIXTURE_ENTRIES;
	cfg.id = fx->ids[i];
	fx->entries[i] = gyp_entry_new(&cfg);
	gyp_entry_tick(fx->entries[i], fx->now);
	gyp_replica_entry_connected(fx->replica, fx->now, cfg.id);
	gyp_entry_connected(fx->entries[i], fx->now, replicas[0]);
}

struct entry_fixture *
entry_fixture_new(void)
{
	struct entry_fixture *fx = g_new0(struct entry_fixture, 1);
	struct gyp_replica_config cfg = {.id = 99,
	    .address = replicas[0],
	    .seed = 1,
	    .election_ms = 1000,
	    .heartbeat_ms = 100,
	    .endpoint_lease_ms = 5000,
	    .entry_lease_ms = 3000,
	    .start_window_ms = 2000,
	    .voters = 1,
	    .compact_bytes = 64 * 1024 * 1024};
	int i;

	fx->now = FIXTURE_START_MS;
	fx->replica = gyp_replica_new(&cfg);
	gyp_replica_bootstrap(fx->replica, NULL);
	for (i = 0; i < FIXTURE_ENTRIES; i++) {
		fx->exchanges[i] =
		    g_ptr_array_new_with_free_func(free_exchange);
		fx->answers[i] = g_ptr_array_new_with_free_func(free_answer);
		fx->ids[i] = (uint64_t)i + 1;
		start_entry(fx, i);
	}
	entry_fixture_run(fx, 5000);
	return fx;
}

void
entry_fixture_free(struct entry_fixture *fx)
{
	int i;

	for (i = 0; i < FIXTURE_ENTRIES; i++) {
		gyp_entry_free(fx->entries[i]);
		g_ptr_array_free(fx->exchanges[i], TRUE);
		g_ptr_array_free(fx->answers[i], TRUE);
	}
	gyp_replica_free(fx->replica);
	g_free(fx);
}

/* ---- Delivery of frames ------------------------------------------------ */

static Gyp__Frame *
unpack_frame(struct entry_fixture *fx, GBytes *packed)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(packed, &len);

	fx->frames++;
	fx->bytes += len;
	return gyp__frame__unpack(NULL, len, data);
}

static bool
deliver_to_replica(struct entry_fixture *fx, int i)
{
	const char *address;
	GBytes *packed;
	bool moved = false;

	while (gyp_entry_pop_frame(fx->entries[i], &address, &packed)) {
		Gyp__Frame *frame = unpack_frame(fx, packed);

		if (!fx->cut_up[i])
			gyp_replica_receive(
			    fx->replica, fx->now, fx->ids[i], frame);
		gyp_message_free(frame);
		g_bytes_unref(packed);
		moved = true;
	}
	return moved;
}

static bool
deliver_to_entries(struct entry_fixture *fx)
{
	struct gyp_out_frame out;
	bool moved = false;
	int i;

	while (gyp_replica_pop_frame(fx->replica, &out)) {
		Gyp__Frame *frame = unpack_frame(fx, out.packed);

		for (i = 0; i < FIXTURE_ENTRIES; i++) {
			if (out.to != fx->ids[i] || fx->cut_down[i])
				continue;
			fx->orders += frame->down->n_orders;
			gyp_entry_receive(
			    fx->entries[i], fx->now, replicas[0], frame);
		}
		gyp_message_free(frame);
		g_free(out.address);
		g_bytes_unref(out.packed);
		moved = true;
	}
	return moved;
}

static bool
sync_records(struct entry_fixture *fx)
{
	struct gyp_record rec;
	bool moved = false;

	while (gyp_replica_pop_record(fx->replica, &rec)) {
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
		fx->synced++;
		moved = true;
	}
	if (moved)
		gyp_replica_synced(fx->replica, fx->now, fx->synced);
	return moved;
}

static void
collect_output(struct entry_fixture *fx, int i)
{
	struct gyp_exchange x;
	struct gyp_answer a;

	while (gyp_entry_pop_exchange(fx->entries[i], &x))
		g_ptr_array_add(fx->exchanges[i], g_memdup2(&x, sizeof(x)));
	while (gyp_entry_pop_answer(fx->entries[i], &a))
		g_ptr_array_add(fx->answers[i], g_memdup2(&a, sizeof(a)));
}

static void
deliver_all(struct entry_fixture *fx)
{
	bool more = true;
	int i;

	while (more) {
		more = sync_records(fx);
		more = deliver_to_entries(fx) || more;
		for (i = 0; i < FIXTURE_ENTRIES; i++) {
			more = deliver_to_replica(fx, i) || more;
			collect_output(fx, i);
		}
	}
}

void
entry_fixture_run(struct entry_fixture *fx, uint32_t ms)
{
	uint64_t end = fx->now + ms;
	int i;

	deliver_all(fx);
	while (fx->now < end) {
		fx->now += GYP_TICK_MS;
		gyp_replica_tick(fx->replica, fx->now);
		for (i = 0; i < FIXTURE_ENTRIES; i++)
			gyp_entry_tick(fx->entries[i], fx->now);
		deliver_all(fx);
	}
}

void
entry_fixture_restart_entry(struct entry_fixture *fx, int i)
{
	gyp_entry_free(fx->entries[i]);
	g_ptr_array_set_size(fx->exchanges[i], 0);
	start_entry(fx, i);
}

/* ---- Calls ------------------------------------------------------------- */

uint64_t
entry_fixture_call(struct entry_fixture *fx, int entry, const Gyp__Call *call,
    uint32_t timeout_ms)
{
	return gyp_entry_call(
	    fx->entries[entry], fx->now, call, timeout_ms, fx);
}

uint64_t
entry_fixture_submit(struct entry_fixture *fx, int entry, const char *key,
    Gyp__Kind kind, uint32_t tasks, bool idempotent, uint32_t timeout_ms)
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
	return entry_fixture_call(fx, entry, &call, timeout_ms);
}

uint64_t
entry_fixture_announce(struct entry_fixture *fx, const char *name,
    uint32_t slots, uint64_t incarnation)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdEndpoint ep = GYP__CMD_ENDPOINT__INIT;
	Gyp__Res capacity = GYP__RES__INIT;
	const struct gyp_endpoint *endpoint;

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
	entry_fixture_call(fx, 0, &call, 5000);
	entry_fixture_run(fx, 100);
	endpoint =
	    gyp_state_endpoint_by_name(gyp_replica_state(fx->replica), name);
	if (endpoint == NULL || endpoint->spec->incarnation != incarnation)
		return 0;
	entry_fixture_heartbeat(fx, endpoint->id, incarnation, 0, NULL, 0);
	return endpoint->id;
}

void
entry_fixture_queue_heartbeat(struct entry_fixture *fx, uint64_t endpoint,
    uint64_t incarnation, uint32_t list, const Gyp__Attempt *running,
    uint32_t n)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__Beat beat = GYP__BEAT__INIT;
	Gyp__Attempt **pointers = g_new(Gyp__Attempt *, n + 1);
	uint32_t i;

	for (i = 0; i < n; i++)
		pointers[i] = (Gyp__Attempt *)&running[i];
	beat.endpoint = endpoint;
	beat.incarnation = incarnation;
	beat.clock_ms = fx->now;
	beat.list = list;
	beat.running = pointers;
	beat.n_running = n;
	beat.unchanged = running == NULL && list != 0;
	call.c_case = GYP__CALL__C_BEAT;
	call.beat = &beat;
	entry_fixture_call(fx, 0, &call, 5000);
	g_free(pointers);
}

void
entry_fixture_heartbeat(struct entry_fixture *fx, uint64_t endpoint,
    uint64_t incarnation, uint32_t list, const Gyp__Attempt *running,
    uint32_t n)
{
	entry_fixture_queue_heartbeat(
	    fx, endpoint, incarnation, list, running, n);
	entry_fixture_run(fx, 100);
}

/* ---- Results ----------------------------------------------------------- */

const struct gyp_answer *
entry_fixture_last_answer(const struct entry_fixture *fx, int entry)
{
	const GPtrArray *list = fx->answers[entry];

	return list->len > 0 ? list->pdata[list->len - 1] : NULL;
}

guint
entry_fixture_count_orders(
    const struct entry_fixture *fx, int entry, Gyp__OrderType type)
{
	guint i, n = 0;

	for (i = 0; i < fx->exchanges[entry]->len; i++) {
		const struct gyp_exchange *x = fx->exchanges[entry]->pdata[i];

		n += x->order->type == type;
	}
	return n;
}

void
entry_fixture_answer_orders(struct entry_fixture *fx, int entry,
    Gyp__OrderType type, enum gyp_attempt_state state, const char *body)
{
	struct gyp_exchange_result res = {.state = state,
	    .http_status = 200,
	    .reason = "set by the test",
	    .answer = (const uint8_t *)body,
	    .answer_len = body != NULL ? strlen(body) : 0};
	GPtrArray *list = fx->exchanges[entry];
	guint i = 0;

	while (i < list->len) {
		const struct gyp_exchange *x = list->pdata[i];
		uint64_t id = x->id;

		if (x->order->type != type) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(list, i);
		gyp_entry_exchange_done(fx->entries[entry], fx->now, id, &res);
	}
	deliver_all(fx);
}
