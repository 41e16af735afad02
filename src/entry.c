#include <string.h>

#include "entry_int.h"
#include "fleet.h"
#include "msg.h"
#include "mutant.h"

/*
 * Delay before another replica is tried after one that names no leader, in ms.
 */
#define ROTATE_DELAY_MS 100

/*
 * Most bytes of endpoints' answers in a frame; a larger answer is sent alone.
 */
#define ANSWER_BYTES_MAX (512 * 1024)

/* ---- Choice of replica ------------------------------------------------- */

static const char *
target_address(const struct gyp_entry_core *e)
{
	return e->replicas->pdata[e->target];
}

static void
set_target(struct gyp_entry_core *e, guint target)
{
	e->target = target;
	e->epoch++;
	e->last_seen = e->now;
	e->rotate_at = 0;
	e->frame_due = true;
}

/*
 * Tries all replicas in rotation and ignores hints: a replica that names a
 * wrong leader again and again must not prevent the entry from trying the
 * others.
 */
static void
rotate_target(struct gyp_entry_core *e)
{
	e->rotation = (e->rotation + 1) % e->replicas->len;
	if (e->rotation == e->target)
		e->rotation = (e->rotation + 1) % e->replicas->len;
	set_target(e, e->rotation);
}

/* Returns the index of a replica's address; adds a new address. */
static guint
ensure_replica(struct gyp_entry_core *e, const char *address)
{
	guint i;

	for (i = 0; i < e->replicas->len; i++) {
		if (strcmp(e->replicas->pdata[i], address) == 0)
			return i;
	}
	g_ptr_array_add(e->replicas, g_strdup(address));
	return i;
}

void
gyp_entry_add_replica(struct gyp_entry_core *e, const char *address)
{
	ensure_replica(e, address);
}

static void
switch_target(struct gyp_entry_core *e, const char *address)
{
	guint i = ensure_replica(e, address);

	if (i != e->target)
		set_target(e, i);
}

void
gyp_entry_connected(struct gyp_entry_core *e, uint64_t now, const char *address)
{
	e->now = MAX(e->now, now);
	if (strcmp(address, target_address(e)) != 0)
		return;
	e->epoch++;
	e->last_seen = e->now;
	e->frame_due = true;
	gyp_entry_tick(e, now);
}

void
gyp_entry_disconnected(
    struct gyp_entry_core *e, uint64_t now, const char *address)
{
	e->now = MAX(e->now, now);
	if (strcmp(address, target_address(e)) != 0)
		return;
	e->leader_epoch = 0;
	if (e->rotate_at == 0)
		e->rotate_at = e->now + ROTATE_DELAY_MS;
}

/* ---- Frames ------------------------------------------------------------ */

static void
store_rules(struct gyp_entry_core *e, const Gyp__EntryDown *down)
{
	if (down->rules_version <= e->rules_version || down->rules[0] == '\0')
		return;
	g_free(e->rules);
	e->rules = g_strdup(down->rules);
	e->rules_version = down->rules_version;
	e->frame_due = true;
}

static void
on_not_leader(struct gyp_entry_core *e, const Gyp__EntryDown *down)
{
	e->leader_epoch = 0;
	if (down->leader_address[0] != '\0')
		switch_target(e, down->leader_address);
	else if (e->rotate_at == 0)
		e->rotate_at = e->now + ROTATE_DELAY_MS;
}

/*
 * Requeues all open calls in a new epoch: a leader of a new term has no record
 * of the calls that were sent before, even when it is the same process on the
 * same connection.
 */
static void
on_leader(struct gyp_entry_core *e)
{
	e->last_seen = e->now;
	e->leader_seen_at = e->now;
	e->rotate_at = 0;
	if (e->leader_epoch == e->epoch)
		return;
	e->leader_epoch = e->epoch;
	gyp_entry_requeue_calls(e);
	e->frame_due = true;
}

/*
 * The leader echoes in round the local time at which this entry sent the frame
 * that is answered. The calls are no older than that frame, so their age is at
 * most the time since then.
 */
static void
queue_endpoint_calls(struct gyp_entry_core *e, const Gyp__EntryDown *down)
{
	size_t i;

	if (e->now >= down->round + GYP_ENDPOINT_CALL_MAX_AGE_MS)
		return;
	for (i = 0; i < down->n_host_calls; i++) {
		Gyp__HostCall *call =
		    gyp_message_copy(&down->host_calls[i]->base);

		g_queue_push_tail(&e->host_calls, call);
		if (call->kind != GYP_FLEET_POLL)
			g_hash_table_add(
			    e->carried, g_memdup2(&call->id, sizeof(call->id)));
	}
}

static void
on_replica_frame(
    struct gyp_entry_core *e, const char *address, const Gyp__EntryDown *down)
{
	size_t i;

	/* Orders of a deposed leader must not be executed. */
	if (down->term < e->term && !GYP_MUTANT(OLD_TERM))
		return;
	if (!down->leader) {
		if (strcmp(address, target_address(e)) == 0)
			on_not_leader(e, down);
		return;
	}
	if (down->term > e->term) {
		e->term = down->term;
		e->epoch++;
	}
	for (i = 0; i < down->n_cells; i++)
		ensure_replica(e, down->cells[i]);
	if (strcmp(address, target_address(e)) == 0)
		on_leader(e);
	e->cell_time = MAX(e->cell_time, down->time_ms);
	if (down->round != 0)
		e->lease_end = MAX(e->lease_end, down->round + down->lease_ms);
	e->confirmed_round = MAX(e->confirmed_round, down->round);
	store_rules(e, down);
	for (i = 0; i < down->n_replies; i++)
		gyp_entry_on_reply(e, down->replies[i]);
	for (i = 0; i < down->n_orders; i++)
		gyp_entry_on_order(e, down->orders[i]);
	for (i = 0; i < down->n_asks; i++)
		g_queue_push_tail(
		    &e->queries, gyp_message_copy(&down->asks[i]->base));
	queue_endpoint_calls(e, down);
}

void
gyp_entry_receive(struct gyp_entry_core *e, uint64_t now, const char *address,
    const Gyp__Frame *frame)
{
	e->now = MAX(e->now, now);
	if (frame->body_case == GYP__FRAME__BODY_DOWN)
		on_replica_frame(e, address, frame->down);
	gyp_entry_tick(e, now);
}

/* Returns how many answers fit into a frame: at least one, if there are any. */
static guint
count_answers(const GPtrArray *answers)
{
	size_t bytes = 0;
	guint n;

	for (n = 0; n < answers->len; n++) {
		bytes += protobuf_c_message_get_packed_size(answers->pdata[n]);
		if (n > 0 && bytes > ANSWER_BYTES_MAX)
			break;
	}
	return n;
}

/*
 * Records that the leader must have the frame that is sent now. Its round is
 * echoed, but an earlier frame of this millisecond has the same one.
 */
static void
note_last_word(struct gyp_entry_core *e)
{
	e->last_word_at = e->sent_at == e->now ? e->now + 1 : e->now;
}

/* Queues a frame with the calls and answers that fit; returns their number. */
static guint
send_frame(struct gyp_entry_core *e)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;
	GPtrArray *list = g_ptr_array_new();
	guint n, answers;

	/*
	 * Without a leader, drop the answers: a new leader did not make their
	 * calls.
	 */
	if (e->leader_epoch == e->epoch)
		gyp_entry_append_unsent_calls(e, list);
	else
		g_ptr_array_set_size(e->host_answers, 0);
	n = list->len;
	answers = count_answers(e->host_answers);
	up.n_host_answers = answers;
	up.host_answers = (Gyp__HostAnswer **)e->host_answers->pdata;
	up.carries = e->cfg.carries;
	up.n_calls = n;
	up.calls = (Gyp__Call **)list->pdata;
	up.rules_version = e->rules_version;
	up.round = e->now;
	up.draining = e->draining;
	if (e->name_sent_epoch != e->epoch && e->cfg.name != NULL)
		up.name = (char *)e->cfg.name;
	if (e->name_sent_epoch != e->epoch && e->cfg.address != NULL)
		up.address = (char *)e->cfg.address;
	e->name_sent_epoch = e->epoch;
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	g_queue_push_tail(&e->frames, gyp_message_pack(&frame.base));
	g_ptr_array_free(list, TRUE);
	if (answers > 0)
		g_ptr_array_remove_range(e->host_answers, 0, answers);
	if (e->draining && (answers > 0 || e->last_word_at == 0))
		note_last_word(e);
	e->sent_at = e->now;
	e->frame_due = false;
	e->next_frame_at =
	    e->last_word_at > e->now ? e->last_word_at : UINT64_MAX;
	return n + answers;
}

void
gyp_entry_tick(struct gyp_entry_core *e, uint64_t now)
{
	if (e->now == 0) {
		e->last_seen = now;
		e->leader_seen_at = now;
	}
	e->now = MAX(e->now, now);
	gyp_entry_expire_calls(e);
	gyp_entry_shed_calls(e);
	gyp_entry_sweep_attempts(e);
	if ((e->rotate_at != 0 && e->now >= e->rotate_at) ||
	    e->now >= e->last_seen + e->cfg.silence_ms)
		rotate_target(e);
	if (!e->frame_due && e->now < e->next_frame_at &&
	    e->now < e->sent_at + e->cfg.keepalive_ms)
		return;
	while (send_frame(e) > 0 &&
	       (e->unsent.length > 0 || e->host_answers->len > 0))
		continue;
}

bool
gyp_entry_pop_frame(
    struct gyp_entry_core *e, const char **address, GBytes **packed)
{
	*packed = g_queue_pop_head(&e->frames);
	*address = target_address(e);
	return *packed != NULL;
}

Gyp__Ask *
gyp_entry_pop_query(struct gyp_entry_core *e)
{
	return g_queue_pop_head(&e->queries);
}

Gyp__HostCall *
gyp_entry_pop_endpoint_call(struct gyp_entry_core *e)
{
	return g_queue_pop_head(&e->host_calls);
}

void
gyp_entry_endpoint_call_answered(
    struct gyp_entry_core *e, Gyp__HostAnswer *answer)
{
	g_hash_table_remove(e->carried, &answer->call);
	g_ptr_array_add(e->host_answers, answer);
	e->frame_due = true;
}

bool
gyp_entry_pop_exchange(struct gyp_entry_core *e, struct gyp_exchange *x)
{
	struct gyp_exchange *head = g_queue_pop_head(&e->new_exchanges);

	if (head == NULL)
		return false;
	*x = *head;
	g_free(head);
	return true;
}

bool
gyp_entry_pop_answer(struct gyp_entry_core *e, struct gyp_answer *a)
{
	struct gyp_answer *head = g_queue_pop_head(&e->answers);

	if (head == NULL)
		return false;
	*a = *head;
	g_free(head);
	return true;
}

/* ---- Core -------------------------------------------------------------- */

void
gyp_entry_drain(struct gyp_entry_core *e)
{
	if (!e->draining)
		e->drain_since = e->now;
	e->draining = true;
	e->frame_due = true;
}

bool
gyp_entry_is_drained(const struct gyp_entry_core *e)
{
	if (!e->draining)
		return false;
	if (e->now >= e->drain_since + GYP_ENTRY_DRAIN_MAX_MS)
		return true;
	return g_hash_table_size(e->carried) == 0 &&
	       e->host_answers->len == 0 && e->last_word_at != 0 &&
	       e->confirmed_round >= e->last_word_at;
}

uint64_t
gyp_entry_rules(const struct gyp_entry_core *e, const char **text)
{
	if (text != NULL)
		*text = e->rules;
	return e->rules_version;
}

struct gyp_entry_core *
gyp_entry_new(const struct gyp_entry_config *cfg)
{
	struct gyp_entry_core *e = g_new0(struct gyp_entry_core, 1);
	const char *const *replica;

	e->cfg = *cfg;
	e->replicas = g_ptr_array_new_with_free_func(g_free);
	for (replica = cfg->replicas; *replica != NULL; replica++)
		g_ptr_array_add(e->replicas, g_strdup(*replica));
	g_assert(e->replicas->len > 0);
	e->target = (guint)(cfg->id % e->replicas->len);
	e->rotation = e->target;
	e->epoch = 1;
	e->next_id = 1;
	e->expire_at = UINT64_MAX;
	e->next_frame_at = UINT64_MAX;
	e->host_answers = g_ptr_array_new_with_free_func(gyp_message_free);
	e->carried =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	e->calls = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, gyp_entry_free_call);
	e->attempts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, gyp_entry_free_attempt);
	e->exchanges =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return e;
}

void
gyp_entry_free(struct gyp_entry_core *e)
{
	struct gyp_exchange x;
	struct gyp_answer a;
	const char *address;
	GBytes *packed;

	if (e == NULL)
		return;
	while (gyp_entry_pop_frame(e, &address, &packed))
		g_bytes_unref(packed);
	while (gyp_entry_pop_exchange(e, &x))
		gyp_message_free(x.order);
	while (gyp_entry_pop_answer(e, &a))
		gyp_message_free(a.reply);
	g_queue_clear_full(&e->unsent, g_free);
	g_queue_clear_full(&e->queries, gyp_message_free);
	g_queue_clear_full(&e->host_calls, gyp_message_free);
	g_hash_table_destroy(e->carried);
	g_ptr_array_free(e->host_answers, TRUE);
	g_hash_table_destroy(e->calls);
	g_hash_table_destroy(e->exchanges);
	g_hash_table_destroy(e->attempts);
	g_ptr_array_free(e->replicas, TRUE);
	g_free(e->rules);
	g_free(e);
}
