#include <string.h>

#include "msg.h"
#include "mutant.h"
#include "rendezvous.h"
#include "replica_int.h"

/*
 * Longest time until an entry's frame is answered when there is nothing else to
 * send, in ms. Entries send many frames that request nothing; one answer serves
 * all that arrive in this time.
 */
#define IDLE_ANSWER_MS 60

/*
 * Number of different snapshot limits and delays that replicas can have, and
 * the difference between two delays, in ms.
 */
#define COMPACT_LIMIT_STEPS   64
#define COMPACT_DELAY_STEP_MS 20

/* ---- Output queues ----------------------------------------------------- */

const char *
gyp_replica_member_address(const struct gyp_replica *r, uint64_t id)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == id)
			return c->members[i]->address;
	}
	/* A new replica has to reply before it has the list of members. */
	return r->last_sender_id == id ? r->last_sender_address : NULL;
}

static bool
is_voter(const struct gyp_replica *r, uint64_t id)
{
	const Gyp__Config *c = gyp_raft_members(r->raft);
	size_t i;

	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == id)
			return c->members[i]->voter;
	}
	return false;
}

static struct gyp_replica *
from_io(struct gyp_raft_io *io)
{
	return (struct gyp_replica *)io; /* io is the first member */
}

static void
on_send(struct gyp_raft_io *io, uint64_t to, const Gyp__RaftMsg *msg)
{
	struct gyp_replica *r = from_io(io);
	Gyp__RaftMsg copy = *msg;
	Gyp__Frame frame = GYP__FRAME__INIT;
	struct gyp_out_frame *out = g_new0(struct gyp_out_frame, 1);

	frame.body_case = GYP__FRAME__BODY_RAFT;
	frame.raft = &copy;
	/*
	 * The receiver may not have this replica in its list of members yet:
	 * it then replies to this address. The types up to RAFT_VOTE_REPLY are
	 * those of elections.
	 */
	if (!is_voter(r, to) || msg->type <= GYP__RAFT_TYPE__RAFT_VOTE_REPLY)
		copy.address = (char *)r->cfg.address;
	out->to = to;
	out->address = g_strdup(gyp_replica_member_address(r, to));
	out->packed = gyp_message_pack(&frame.base);
	g_queue_push_tail(&r->out_frames, out);
}

static void
on_write(struct gyp_raft_io *io, const struct gyp_record *rec)
{
	struct gyp_replica *r = from_io(io);
	struct gyp_record *copy = g_memdup2(rec, sizeof(*rec));

	if (copy->data != NULL)
		g_bytes_ref(copy->data);
	g_queue_push_tail(&r->records, copy);
}

bool
gyp_replica_pop_frame(struct gyp_replica *r, struct gyp_out_frame *out)
{
	struct gyp_out_frame *head = g_queue_pop_head(&r->out_frames);

	if (head == NULL)
		return false;
	*out = *head;
	g_free(head);
	return true;
}

bool
gyp_replica_pop_record(struct gyp_replica *r, struct gyp_record *rec)
{
	struct gyp_record *head = g_queue_pop_head(&r->records);

	if (head == NULL)
		return false;
	*rec = *head;
	g_free(head);
	return true;
}

/* ---- Committed entries ------------------------------------------------- */

static void
on_apply(struct gyp_raft_io *io, const struct gyp_log_entry *e)
{
	struct gyp_replica *r = from_io(io);
	Gyp__Batch *batch;
	gsize len;
	const uint8_t *data;

	if (e->kind != GYP__ENTRY_KIND__ENTRY_BATCH)
		return;
	data = g_bytes_get_data(e->data, &len);
	batch = gyp__batch__unpack(NULL, len, data);
	g_assert(batch != NULL);
	gyp_state_take(r->state, batch);
	gyp_replica_refresh_rules(r, e->index);
	if (r->leading && r->batch_index == e->index) {
		r->batch_index = 0;
		gyp_replica_answer_committed(r, e->index);
	}
}

static void
on_restore(struct gyp_raft_io *io, const Gyp__SnapshotFile *file)
{
	struct gyp_replica *r = from_io(io);

	gyp_replica_free_flow_scheduler(r); /* uses the old tables */
	if (!gyp_state_restore(r->state, file->state.data, file->state.len))
		g_error("snapshot at index %" G_GUINT64_FORMAT " can't be read",
		    file->index);
	gyp_replica_refresh_rules(r, file->index);
}

/* The first start of a task ends its waiting time; later ones are retries. */
static void
count_start(
    struct gyp_replica *r, const struct gyp_job *job, const struct gyp_task *t)
{
	char labels[GYP_LABELS_MAX];

	gyp_labels(labels, "class", job->spec->class_, NULL);
	gyp_count(r->counters, "gyp_starts_total", labels, 1);
	if (t->attempt == 1)
		gyp_observe_ms(r->counters, "gyp_wait_seconds", labels,
		    t->changed_ms - job->submitted_ms);
	else
		gyp_count(r->counters, "gyp_retries_total", labels, 1);
}

static void
on_placed(struct gyp_state_listener *l, struct gyp_job *job, uint32_t task)
{
	struct gyp_replica *r = ((struct gyp_replica_listener *)l)->replica;
	struct gyp_task_ref ref = {.job = job->id, .task = task};
	struct gyp_entry_peer *peer;

	if (!r->leading)
		return;
	count_start(r, job, &job->tasks[task]);
	peer = gyp_replica_entry_peer(r, job->tasks[task].entry);
	g_queue_push_tail(&peer->unsent_starts, g_memdup2(&ref, sizeof(ref)));
}

static void
on_attempt_ended(
    struct gyp_state_listener *l, struct gyp_job *job, uint32_t task)
{
	struct gyp_replica *r = ((struct gyp_replica_listener *)l)->replica;

	gyp_usage_drop_task(r->usage, job->id, task);
	gyp_reported_attempts_drop_task(r->reported_attempts, job->id, task);
}

static void
on_job_finished(struct gyp_state_listener *l, struct gyp_job *job)
{
	struct gyp_replica *r = ((struct gyp_replica_listener *)l)->replica;

	if (r->leading)
		gyp_replica_job_finished(r, job);
}

static void
on_stop_attempts(struct gyp_state_listener *l, struct gyp_job *job)
{
	struct gyp_replica *r = ((struct gyp_replica_listener *)l)->replica;
	uint32_t i;

	for (i = 0; i < job->n_tasks && r->leading && !GYP_MUTANT(NO_STOP);
	     i++) {
		if (job->tasks[i].state == GYP_TASK_PLACED)
			gyp_replica_queue_order(
			    r, job, i, GYP__ORDER_TYPE__ORDER_STOP);
	}
}

/* ---- Leadership -------------------------------------------------------- */

static void
drop_leader_state(struct gyp_replica *r)
{
	if (r->leading)
		r->led_until = r->now;
	r->leading = false;
	gyp_replica_free_flow_scheduler(r);
	gyp_policy_detach(r->policy);
	r->batch_index = 0;
	g_ptr_array_set_size(r->pending_cmds, 0);
	g_ptr_array_set_size(r->waiting_calls, 0);
	g_ptr_array_set_size(r->rules_waits, 0);
	g_hash_table_remove_all(r->subscribers);
	g_hash_table_remove_all(r->entries);
	gyp_replica_drop_member_requests(r);
}

static void
become_leader(struct gyp_replica *r)
{
	drop_leader_state(r);
	r->leading = true;
	r->transferring = false;
	r->leader_term = gyp_raft_term(r->raft);
	r->lead_since = r->now;
	r->time_base = gyp_state_time(r->state);
	gyp_policy_attach(r->policy, r->state, r->time_base);
	gyp_leases_reset(r->leases, r->now);
	gyp_usage_reset(r->usage);
	gyp_reported_attempts_reset(r->reported_attempts);
	gyp_replica_start_flow_scheduler(r);
}

static void
check_role(struct gyp_replica *r)
{
	bool ready = gyp_raft_ready(r->raft);

	if (r->leading && (!ready || r->leader_term != gyp_raft_term(r->raft)))
		drop_leader_state(r);
	if (ready && !r->leading)
		become_leader(r);
}

bool
gyp_replica_serving(const struct gyp_replica *r)
{
	return r->leading && !r->transferring &&
	       gyp_raft_has_lease(r->raft, r->now);
}

/* From 0 to COMPACT_LIMIT_STEPS - 1, depending on the replica's id. */
static uint64_t
compact_step(const struct gyp_replica_config *cfg)
{
	uint64_t weight = gyp_rendezvous_weight(cfg->id, 0) >> 32;

	return weight % COMPACT_LIMIT_STEPS;
}

uint64_t
gyp_replica_compact_limit(
    const struct gyp_replica_config *cfg, uint64_t snapshot_bytes)
{
	uint64_t mean = cfg->compact_bytes + snapshot_bytes;

	return mean / 2 + mean / COMPACT_LIMIT_STEPS * compact_step(cfg);
}

uint32_t
gyp_replica_compact_delay_ms(const struct gyp_replica_config *cfg)
{
	return (uint32_t)compact_step(cfg) * COMPACT_DELAY_STEP_MS;
}

/*
 * True if a snapshot must still wait: for its delay, and on a leader for
 * members that lack the latest entries.
 */
static bool
must_delay_snapshot(struct gyp_replica *r)
{
	if (r->compact_at == 0)
		r->compact_at = r->now + gyp_replica_compact_delay_ms(&r->cfg);
	return r->now < r->compact_at || !gyp_raft_prepare_compaction(r->raft);
}

/* It waits, but not for ever: the log grows meanwhile. */
static void
compact_if_large(struct gyp_replica *r)
{
	uint64_t limit = gyp_replica_compact_limit(
	    &r->cfg, gyp_raft_snapshot_bytes(r->raft));
	uint64_t bytes = gyp_raft_applied_bytes(r->raft);
	GBytes *state;

	if (bytes < limit || (bytes < 2 * limit && must_delay_snapshot(r)))
		return;
	r->compact_at = 0;
	state = gyp_state_save(r->state);
	gyp_raft_compact(r->raft, gyp_raft_applied_index(r->raft), state);
	g_bytes_unref(state);
}

/* Does all the work that the latest input allows. */
void
gyp_replica_process(struct gyp_replica *r)
{
	check_role(r);
	compact_if_large(r);
	if (!gyp_replica_serving(r))
		return;
	if (r->now >= r->periodic_work_at)
		gyp_replica_periodic_work(r);
	gyp_replica_schedule_flows(r, r->batch_index == 0);
	if (r->batch_index == 0) {
		gyp_replica_decide(r);
		if (r->pending_cmds->len > 0)
			gyp_replica_propose_batch(r);
	}
	gyp_replica_flush_entries(r);
}

void
gyp_replica_advance(struct gyp_replica *r, uint64_t now)
{
	r->now = MAX(r->now, now);
	gyp_events_set_time(r->events, r->now);
	gyp_raft_tick(r->raft, r->now);
	check_role(r);
}

uint64_t
gyp_replica_leaderless_ms(const struct gyp_replica *r)
{
	uint64_t heard = MAX(gyp_raft_leader_contact(r->raft), r->led_until);

	return heard != 0 ? r->now - heard : 0;
}

uint64_t
gyp_replica_cell_time(const struct gyp_replica *r)
{
	return r->time_base + (r->now - r->lead_since);
}

/* ---- Incoming frames --------------------------------------------------- */

static void
send_to_entry(struct gyp_replica *r, uint64_t entry, Gyp__EntryDown *down)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	struct gyp_out_frame *out = g_new0(struct gyp_out_frame, 1);

	frame.body_case = GYP__FRAME__BODY_DOWN;
	frame.down = down;
	out->to = entry;
	out->entry = true;
	out->packed = gyp_message_pack(&frame.base);
	g_queue_push_tail(&r->out_frames, out);
}

/*
 * Includes the leader's address, so that the entry need not try other replicas.
 */
static void
redirect_entry(struct gyp_replica *r, uint64_t entry)
{
	Gyp__EntryDown down = GYP__ENTRY_DOWN__INIT;
	uint64_t leader = gyp_raft_leader(r->raft);
	const char *address = gyp_replica_member_address(r, leader);

	down.term = gyp_raft_term(r->raft);
	if (address != NULL && leader != r->cfg.id)
		down.leader_address = (char *)address;
	send_to_entry(r, entry, &down);
}

static void
on_entry_frame(struct gyp_replica *r, uint64_t from, const Gyp__EntryUp *up)
{
	struct gyp_entry_peer *peer;
	bool first;
	size_t i;

	if (!gyp_replica_serving(r)) {
		redirect_entry(r, from);
		return;
	}
	peer = gyp_replica_entry_peer(r, from);
	first = peer->last_seen == 0;
	peer->last_seen = r->now;
	peer->round = up->round;
	peer->lease_end = gyp_lease_expiry(r->now, r->cfg.entry_lease_ms);
	peer->rules_version = up->rules_version;
	peer->draining = up->draining;
	if (up->name[0] != '\0') {
		g_free(peer->name);
		peer->name = g_strdup(up->name);
	}
	if (up->address[0] != '\0') {
		g_free(peer->address);
		peer->address = g_strdup(up->address);
	}
	/* A process that drains ends when it has this frame's echo. */
	peer->frame_due = peer->frame_due || first || up->draining;
	if (peer->frame_due_at == 0)
		peer->frame_due_at = r->now + IDLE_ANSWER_MS;
	if (first)
		gyp_replica_requeue_starts(r, peer);
	for (i = 0; i < up->n_calls; i++)
		gyp_replica_handle_call(r, from, up->calls[i]);
	gyp_replica_handle_carrier(r, peer, up);
}

static void
on_raft_frame(struct gyp_replica *r, uint64_t from, const Gyp__RaftMsg *msg)
{
	if (msg->from != from)
		return;
	if (msg->address[0] != '\0') {
		g_free(r->last_sender_address);
		r->last_sender_address = g_strdup(msg->address);
		r->last_sender_id = from;
	}
	gyp_raft_step(r->raft, r->now, msg);
}

void
gyp_replica_accept(
    struct gyp_replica *r, uint64_t now, uint64_t from, const Gyp__Frame *frame)
{
	gyp_replica_advance(r, now);
	switch (frame->body_case) {
	case GYP__FRAME__BODY_RAFT:
		on_raft_frame(r, from, frame->raft);
		break;
	case GYP__FRAME__BODY_UP:
		on_entry_frame(r, from, frame->up);
		break;
	case GYP__FRAME__BODY_BEATS:
		gyp_replica_handle_heartbeats(r, from, frame->beats);
		break;
	case GYP__FRAME__BODY_JOIN:
		gyp_replica_join(r, frame->join);
		break;
	default:
		break;
	}
}

void
gyp_replica_process_accepted(struct gyp_replica *r, uint64_t now)
{
	gyp_replica_advance(r, now);
	gyp_replica_process(r);
}

void
gyp_replica_receive(
    struct gyp_replica *r, uint64_t now, uint64_t from, const Gyp__Frame *frame)
{
	gyp_replica_accept(r, now, from, frame);
	gyp_replica_process(r);
}

void
gyp_replica_entry_connected(struct gyp_replica *r, uint64_t now, uint64_t entry)
{
	struct gyp_entry_peer *peer;

	gyp_replica_advance(r, now);
	peer = g_hash_table_lookup(r->entries, &entry);
	if (peer != NULL)
		peer->last_seen = 0; /* orders may be lost; send them again */
	gyp_replica_process(r);
}

void
gyp_replica_tick(struct gyp_replica *r, uint64_t now)
{
	gyp_replica_advance(r, now);
	gyp_raft_apply_more(r->raft);
	gyp_replica_relay_heartbeats(r);
	/* Repeats the request for a transfer, which may have been lost. */
	if (r->leading && r->transferring)
		gyp_raft_transfer_leadership(r->raft);
	gyp_replica_process(r);
}

void
gyp_replica_synced(struct gyp_replica *r, uint64_t now, uint64_t seq)
{
	gyp_replica_advance(r, now);
	gyp_raft_synced(r->raft, r->now, seq);
	gyp_replica_process(r);
}

void
gyp_replica_load(struct gyp_replica *r, const struct gyp_record *rec)
{
	gyp_raft_load(r->raft, rec);
}

void
gyp_replica_bootstrap(struct gyp_replica *r, const Gyp__Config *members)
{
	Gyp__Config alone = GYP__CONFIG__INIT;
	Gyp__Member self = GYP__MEMBER__INIT;
	Gyp__Member *list[] = {&self};

	self.id = r->cfg.id;
	self.address = (char *)r->cfg.address;
	if (r->cfg.data_centre != NULL)
		self.data_centre = (char *)r->cfg.data_centre;
	self.voter = true;
	alone.n_members = 1;
	alone.members = list;
	gyp_raft_bootstrap(r->raft, members != NULL ? members : &alone);
}

void
gyp_replica_transfer_leadership(struct gyp_replica *r)
{
	if (r->leading && gyp_raft_transfer_leadership(r->raft))
		r->transferring = true;
}

void
gyp_replica_suspend(struct gyp_replica *r, uint64_t now)
{
	gyp_replica_advance(r, now);
	gyp_raft_suspend(r->raft, r->now);
	gyp_replica_process(r);
}

void
gyp_replica_resume(struct gyp_replica *r, uint64_t now)
{
	gyp_replica_advance(r, now);
	gyp_raft_resume(r->raft, r->now);
	gyp_replica_process(r);
}

/* ---- Construction ------------------------------------------------------ */

static const struct gyp_raft_io_ops io_ops = {.send = on_send,
    .write = on_write,
    .apply = on_apply,
    .restore = on_restore};

static const struct gyp_state_listener_ops listener_ops = {.placed = on_placed,
    .attempt_ended = on_attempt_ended,
    .job_finished = on_job_finished,
    .stop_attempts = on_stop_attempts};

static void
free_subscribers(gpointer p)
{
	g_array_free(p, TRUE);
}

struct gyp_replica *
gyp_replica_new(const struct gyp_replica_config *cfg)
{
	struct gyp_replica *r = g_new0(struct gyp_replica, 1);
	struct gyp_raft_config rc = {.id = cfg->id,
	    .election_ms = cfg->election_ms,
	    .heartbeat_ms = cfg->heartbeat_ms,
	    .seed = cfg->seed};

	r->io.ops = &io_ops;
	r->cfg = *cfg;
	r->cfg.address = g_strdup(cfg->address);
	if (r->cfg.catch_up_ms == 0)
		r->cfg.catch_up_ms = GYP_CATCH_UP_MS;
	r->cfg.data_centre = g_strdup(cfg->data_centre);
	r->listener.base.ops = &listener_ops;
	r->listener.replica = r;
	r->raft = gyp_raft_new(&rc, &r->io);
	r->state = gyp_state_new(&r->listener.base);
	r->rules = gyp_rules_defaults();
	r->rules_waits = g_ptr_array_new_with_free_func(gyp_free_rules_wait);
	r->policy = gyp_policy_new(&gyp_policy_weighted, cfg->seed);
	gyp_policy_set_rules(r->policy, r->rules);
	r->pending_cmds = g_ptr_array_new_with_free_func(gyp_message_free);
	r->waiting_calls =
	    g_ptr_array_new_with_free_func(gyp_free_waiting_call);
	r->subscribers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_subscribers);
	r->entries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, gyp_free_entry_peer);
	r->leases = gyp_leases_new(cfg->endpoint_lease_ms);
	r->usage = gyp_usage_new();
	r->reported_attempts = gyp_reported_attempts_new();
	r->counters = gyp_counters_new();
	r->relay.heartbeats = g_ptr_array_new_with_free_func(gyp_message_free);
	r->workspace_metrics = gyp_workspace_metrics_new(r->counters);
	r->events = gyp_events_new();
	return r;
}

void
gyp_replica_free(struct gyp_replica *r)
{
	struct gyp_out_frame out;
	struct gyp_record rec;

	if (r == NULL)
		return;
	while (gyp_replica_pop_frame(r, &out)) {
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
	while (gyp_replica_pop_record(r, &rec)) {
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
	}
	drop_leader_state(r);
	g_ptr_array_free(r->pending_cmds, TRUE);
	g_ptr_array_free(r->waiting_calls, TRUE);
	g_ptr_array_free(r->rules_waits, TRUE);
	gyp_rules_free(r->rules);
	g_hash_table_destroy(r->subscribers);
	g_hash_table_destroy(r->entries);
	gyp_leases_free(r->leases);
	gyp_policy_free(r->policy);
	gyp_usage_free(r->usage);
	gyp_reported_attempts_free(r->reported_attempts);
	gyp_workspace_metrics_free(r->workspace_metrics);
	gyp_counters_free(r->counters);
	g_ptr_array_free(r->relay.heartbeats, TRUE);
	gyp_events_free(r->events);
	gyp_state_free(r->state);
	gyp_raft_free(r->raft);
	g_free(r->last_sender_address);
	g_free((char *)r->cfg.address);
	g_free((char *)r->cfg.data_centre);
	g_free(r);
}

const struct gyp_raft *
gyp_replica_raft(const struct gyp_replica *r)
{
	return r->raft;
}

struct gyp_counters *
gyp_replica_counters(const struct gyp_replica *r)
{
	return r->counters;
}

const struct gyp_state *
gyp_replica_state(const struct gyp_replica *r)
{
	return r->state;
}
