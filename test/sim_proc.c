#include <string.h>

#include "mutant.h"
#include "sim.h"

/* A frame or exchange that a process has emitted and not yet sent. */
struct output {
	int to; /* node, -1 for none */
	uint64_t to_id;
	GBytes *packed;
	struct gyp_exchange exchange; /* when packed is NULL */
};

static void
free_output(gpointer p)
{
	struct output *o = p;

	if (o->packed != NULL)
		g_bytes_unref(o->packed);
	gyp_message_free(o->exchange.order);
	g_free(o);
}

static void
queue_frame(struct sim_node *n, int to, uint64_t to_id, GBytes *packed)
{
	struct output *o = g_new0(struct output, 1);

	o->to = to;
	o->to_id = to_id;
	o->packed = packed;
	g_queue_push_tail(&n->pending_output, o);
}

static int
node_of_address(const struct sim *s, const char *address)
{
	int i;

	for (i = 0; i < SIM_REPLICAS && address != NULL; i++) {
		if (strcmp(s->nodes[i].address, address) == 0)
			return i;
	}
	return -1;
}

static int
node_of_entry(const struct sim *s, uint64_t id)
{
	int i;

	for (i = SIM_ENTRY; i < SIM_ENDPOINT; i++) {
		if (s->nodes[i].up && s->nodes[i].id == id)
			return i;
	}
	return -1;
}

/* ---- Simulated disk ---------------------------------------------------- */

static void
free_record(gpointer p)
{
	struct gyp_record *rec = p;

	if (rec->data != NULL)
		g_bytes_unref(rec->data);
	g_free(rec);
}

static GPtrArray *
new_disk(void)
{
	return g_ptr_array_new_with_free_func(free_record);
}

/*
 * Loads the newest snapshot before all other records, as the store does, and
 * sets its index. Returns the position of the last snapshot that voids the
 * entries written before it, or 0.
 */
static guint
load_snapshot(struct sim_node *n, uint64_t *index)
{
	guint i, first_valid = 0, at = G_MAXUINT;

	for (i = 0; i < n->disk->len; i++) {
		const struct gyp_record *rec = n->disk->pdata[i];

		if (rec->type != GYP_RECORD_SNAPSHOT)
			continue;
		at = i;
		if (rec->kind != 0)
			first_valid = i;
	}
	if (at != G_MAXUINT) {
		const struct gyp_record *rec = n->disk->pdata[at];

		gyp_replica_load(n->replica, rec);
		*index = rec->index;
	}
	return first_valid;
}

static void
load_disk(struct sim_node *n)
{
	uint64_t index = 0;
	guint i, first = load_snapshot(n, &index);

	for (i = 0; i < n->disk->len; i++) {
		const struct gyp_record *rec = n->disk->pdata[i];

		if (rec->type == GYP_RECORD_VOTE ||
		    (rec->type == GYP_RECORD_ENTRY && i >= first &&
			rec->index > index))
			gyp_replica_load(n->replica, rec);
	}
}

/* Keeps a random prefix of the records that were not synced. */
static void
truncate_unsynced(struct sim *s, struct sim_node *n)
{
	guint unsynced = n->disk->len - n->synced;
	guint kept = n->synced + (guint)sim_random(s, 0, (int)unsynced + 1);

	g_ptr_array_set_size(n->disk, (gint)kept);
	n->synced = kept;
}

static void
sync_disk(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	n->sync_at = 0;
	n->synced = n->disk->len;
	gyp_replica_synced(
	    n->replica, sim_clock(s, node), n->synced - n->records_at_start);
	sim_process_output(s, node);
}

/* ---- Start and kill of processes --------------------------------------- */

static void
init_clock(struct sim *s, struct sim_node *n)
{
	n->clock_offset = (uint64_t)sim_random(s, 1, 1000000);
	n->clock_ppm = s->worst_clocks ? SIM_MAX_CLOCK_PPM
				       : sim_random(s, -SIM_MAX_CLOCK_PPM,
					     SIM_MAX_CLOCK_PPM + 1);
}

void
sim_replica_start(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	struct gyp_replica_config cfg = {.address = n->address,
	    .seed = g_rand_int(s->rand),
	    .election_ms = SIM_ELECTION_MS,
	    .heartbeat_ms = SIM_HEARTBEAT_MS,
	    .endpoint_lease_ms = s->endpoint_lease_ms,
	    .entry_lease_ms = SIM_ENTRY_LEASE_MS,
	    .start_window_ms = SIM_START_WINDOW_MS,
	    .voters = (uint32_t)s->n_replicas,
	    .compact_bytes = 16 * 1024};

	if (n->disk == NULL) {
		n->disk = new_disk();
		if (n->id == 0 || !GYP_MUTANT(REUSED_ID))
			n->id = sim_new_id(s);
	}
	cfg.id = n->id;
	init_clock(s, n);
	n->replica = gyp_replica_new(&cfg);
	n->records_at_start = n->synced = n->disk->len;
	n->sync_at = 0;
	n->applied = 0;
	n->rules = 0;
	load_disk(n);
	if (n->full_until != 0)
		gyp_replica_suspend(n->replica, sim_clock(s, node));
	/*
	 * The bootstrap is repeated if the replica was killed before its first
	 * record was on disk.
	 */
	if (node == 0 && s->n_disks_lost == 0 &&
	    gyp_raft_last_index(gyp_replica_raft(n->replica)) == 0)
		gyp_replica_bootstrap(n->replica, NULL);
	n->up = true;
	n->start_count++;
	sim_process_output(s, node);
}

static void
stop_node(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	n->up = false;
	n->frozen_until = 0;
	n->resume_pending = n->freeze_at_send = false;
	g_queue_clear_full(&n->pending_output, free_output);
	sim_disconnect_node(s, node);
	n->restart_at = s->now + (uint64_t)sim_random(s, 200, 4000);
	s->n_kills++;
	sim_trace(s, "kill node %d", node);
}

void
sim_replica_kill(struct sim *s, int node, bool lose_disk)
{
	struct sim_node *n = &s->nodes[node];

	stop_node(s, node);
	gyp_replica_free(n->replica);
	n->replica = NULL;
	truncate_unsynced(s, n);
	if (!lose_disk)
		return;
	g_ptr_array_free(n->disk, TRUE);
	n->disk = NULL;
	n->synced = 0;
	n->full_until = 0;
	s->n_disks_lost++;
}

void
sim_entry_start(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	const char *replicas[SIM_REPLICAS + 1] = {NULL};
	struct gyp_entry_config cfg = {.replicas = replicas,
	    .keepalive_ms = SIM_KEEPALIVE_MS,
	    .silence_ms = SIM_SILENCE_MS};
	int i;

	for (i = 0; i < s->n_replicas; i++) {
		replicas[i] = s->nodes[i].address;
		n->reconnect_at[i] = s->now + (uint64_t)sim_random(s, 0, 100);
	}
	init_clock(s, n);
	cfg.id = n->id = sim_new_id(s);
	n->entry = gyp_entry_new(&cfg);
	n->entry_rules = 0;
	n->max_leader_term = 0;
	n->up = true;
	n->start_count++;
}

void
sim_entry_kill(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	guint i;

	stop_node(s, node);
	gyp_entry_free(n->entry);
	n->entry = NULL;
	/* The connections of its callers are closed. */
	for (i = 0; i < s->calls->len; i++) {
		struct sim_call *c = s->calls->pdata[i];

		if (c->open && c->entry == node) {
			c->open = false;
			c->ops->answered(s, c, NULL);
		}
	}
}

/* ---- Output ------------------------------------------------------------ */

/*
 * Returns the duration of a sync in ms; with faults, one in 100 takes up to
 * 1.5 s.
 */
static uint64_t
sync_time(struct sim *s)
{
	bool stall = s->faults && sim_one_in(s, 100);

	return (uint64_t)sim_random(s, 0, stall ? 1500 : 30);
}

static void
collect_replica_output(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	struct gyp_record rec;
	struct gyp_out_frame out;

	while (gyp_replica_pop_record(n->replica, &rec)) {
		g_ptr_array_add(n->disk, g_memdup2(&rec, sizeof(rec)));
		if (n->sync_at == 0)
			n->sync_at = s->now + sync_time(s);
	}
	while (gyp_replica_pop_frame(n->replica, &out)) {
		if (n->full_until != 0 && !out.entry)
			sim_fail(
			    s, "replica %d sends while its disk is full", node);
		queue_frame(n,
		    out.entry ? node_of_entry(s, out.to)
			      : node_of_address(s, out.address),
		    out.entry ? out.to : 0, out.packed);
		g_free(out.address);
	}
}

static void
deliver_answers(struct sim *s, int node)
{
	struct gyp_answer a;

	while (s->nodes[node].entry != NULL &&
	       gyp_entry_pop_answer(s->nodes[node].entry, &a)) {
		struct sim_call *c = a.owner;

		if (c != NULL && c->open) {
			c->open = !a.final;
			c->ops->answered(s, c, &a);
		}
		gyp_message_free(a.reply);
	}
}

static void
collect_entry_output(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	const char *address;
	GBytes *packed;
	struct gyp_exchange x;

	while (gyp_entry_pop_frame(n->entry, &address, &packed))
		queue_frame(n, node_of_address(s, address), 0, packed);
	while (gyp_entry_pop_exchange(n->entry, &x)) {
		struct output *o = g_new0(struct output, 1);

		o->exchange = x;
		g_queue_push_tail(&n->pending_output, o);
	}
}

static void
send_pending_output(struct sim *s, int node)
{
	struct output *o;

	while ((o = g_queue_pop_head(&s->nodes[node].pending_output)) != NULL) {
		if (o->packed == NULL) {
			sim_exchange(s, node, &o->exchange);
			o->exchange.order = NULL;
		} else if (o->to >= 0) {
			sim_send(s, node, o->to, o->to_id, o->packed);
		}
		free_output(o);
	}
}

void
sim_process_output(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	if (!n->up)
		return;
	if (n->replica != NULL)
		collect_replica_output(s, node);
	else
		collect_entry_output(s, node);
	if (n->freeze_at_send && n->pending_output.length > 0) {
		n->freeze_at_send = false;
		n->resume_pending = true;
		n->frozen_until = s->now + (uint64_t)sim_random(s, 50, 5000);
		s->n_freezes++;
		sim_trace(s, "freeze %d until %" G_GUINT64_FORMAT, node,
		    n->frozen_until);
	}
	if (!sim_is_running(s, node))
		return;
	send_pending_output(s, node);
	if (n->entry != NULL)
		deliver_answers(s, node);
}

static guint
count_starts(const struct sim_node *n)
{
	const GList *l;
	guint starts = 0;

	for (l = n->pending_output.head; l != NULL; l = l->next) {
		const struct output *o = l->data;

		starts += o->packed == NULL && o->exchange.order->type ==
						   GYP__ORDER_TYPE__ORDER_START;
	}
	return starts;
}

/* Fails if the entry carries out a start of a leader with an older term. */
static void
receive_at_entry(struct sim *s, int node, int from, const Gyp__EntryDown *down,
    const Gyp__Frame *frame)
{
	struct sim_node *n = &s->nodes[node];
	guint before = count_starts(n);

	gyp_entry_receive(
	    n->entry, sim_clock(s, node), s->nodes[from].address, frame);
	collect_entry_output(s, node);
	if (down->term < n->max_leader_term && count_starts(n) > before)
		sim_fail(
		    s, "entry %d starts a task for a deposed leader", node);
	if (down->leader)
		n->max_leader_term = MAX(n->max_leader_term, down->term);
}

static void
trace_reports(const struct sim *s, int node, const Gyp__Frame *frame)
{
	size_t i;

	if (frame->body_case != GYP__FRAME__BODY_UP || !s->trace)
		return;
	for (i = 0; i < frame->up->n_calls; i++) {
		const Gyp__Call *c = frame->up->calls[i];

		if (c->c_case == GYP__CALL__C_REPORT)
			sim_trace(s,
			    "report at %d (serving %d): attempt "
			    "%" G_GINT64_MODIFIER "x.%x.%x %s",
			    node, gyp_replica_serving(s->nodes[node].replica),
			    c->report->job, c->report->task, c->report->attempt,
			    gyp_outcome_name(c->report->outcome));
	}
}

void
sim_receive(struct sim *s, int node, const struct sim_msg *m)
{
	struct sim_node *n = &s->nodes[node];
	gsize len;
	const uint8_t *data = g_bytes_get_data(m->packed, &len);
	Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);
	int i;

	g_assert(frame != NULL);
	if (n->replica != NULL) {
		trace_reports(s, node, frame);
		gyp_replica_receive(
		    n->replica, sim_clock(s, node), m->from_id, frame);
	} else {
		for (i = 0; i < s->n_replicas; i++) {
			if (s->nodes[i].id == m->from_id)
				receive_at_entry(
				    s, node, i, frame->down, frame);
		}
	}
	gyp__frame__free_unpacked(frame, NULL);
	sim_process_output(s, node);
}

/* ---- Steps and checks -------------------------------------------------- */

static void
request_join(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	const Gyp__Config *c = gyp_raft_members(gyp_replica_raft(n->replica));
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__Join join = GYP__JOIN__INIT;
	Gyp__Member member = GYP__MEMBER__INIT;
	GBytes *packed;
	size_t i;
	int to;

	n->join_at = s->now + 500;
	for (i = 0; i < c->n_members; i++) {
		if (c->members[i]->id == n->id &&
		    !gyp_raft_is_leaderless(gyp_replica_raft(n->replica)))
			return;
	}
	member.id = n->id;
	member.address = n->address;
	join.member = &member;
	frame.body_case = GYP__FRAME__BODY_JOIN;
	frame.join = &join;
	packed = gyp_message_pack(&frame.base);
	for (to = 0; to < s->n_replicas; to++) {
		if (to != node)
			sim_send(s, node, to, 0, packed);
	}
	g_bytes_unref(packed);
}

/*
 * Fails if the rules went back to an older version, or if the state differs
 * from that of another replica with the same applied index. Compares at every
 * fourth index.
 */
static void
check_state(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	uint64_t applied = gyp_raft_applied_index(gyp_replica_raft(n->replica));
	const struct gyp_state *st = gyp_replica_state(n->replica);
	const struct gyp_rules_version *v = gyp_state_rules(st);
	GBytes *packed;
	gpointer seen;
	guint hash;

	if (applied == n->applied)
		return;
	n->applied = applied;
	if (v != NULL && v->version < n->rules)
		sim_fail(s,
		    "replica %d: rules went from %" G_GUINT64_FORMAT
		    " back to %" G_GUINT64_FORMAT,
		    node, n->rules, v->version);
	n->rules = v != NULL ? v->version : 0;
	if (applied % 4 != 0)
		return;
	gyp_state_check(st);
	packed = gyp_state_save(st);
	hash = g_bytes_hash(packed);
	g_bytes_unref(packed);
	if (!g_hash_table_lookup_extended(
		s->state_hashes, &applied, NULL, &seen))
		g_hash_table_insert(s->state_hashes,
		    g_memdup2(&applied, sizeof(applied)),
		    GUINT_TO_POINTER(hash));
	else if (GPOINTER_TO_UINT(seen) != hash)
		sim_fail(s,
		    "states differ at index %" G_GUINT64_FORMAT
		    " on replica %d",
		    applied, node);
}

void
sim_fill_disk(struct sim *s, int node, uint32_t ms)
{
	struct sim_node *n = &s->nodes[node];

	if (!sim_is_running(s, node) || n->full_until != 0)
		return;
	sim_trace(s, "disk of replica %d is full for %u ms", node, ms);
	gyp_replica_suspend(n->replica, sim_clock(s, node));
	sim_process_output(s, node);
	n->full_until = s->now + ms;
	s->n_disks_full++;
}

static void
free_disk(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	sim_trace(s, "disk of replica %d has space", node);
	sync_disk(s, node); /* sends nothing: see collect_replica_output() */
	n->full_until = 0;
	gyp_replica_resume(n->replica, sim_clock(s, node));
	sim_process_output(s, node);
}

static void
step_disk(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	if (n->full_until != 0) {
		if (gyp_replica_serving(n->replica))
			sim_fail(s, "replica %d serves while its disk is full",
			    node);
		if (s->now >= n->full_until)
			free_disk(s, node);
	} else if (n->sync_at != 0 && s->now >= n->sync_at) {
		sync_disk(s, node);
	}
}

static void
step_replica(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	step_disk(s, node);
	/* Node 0 bootstraps the cell; it does not join at its first start. */
	if (s->now >= n->join_at && (node > 0 || n->start_count > 1))
		request_join(s, node);
	gyp_replica_tick(n->replica, sim_clock(s, node));
	sim_process_output(s, node);
	check_state(s, node);
}

static void
step_entry(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	uint64_t version;

	gyp_entry_tick(n->entry, sim_clock(s, node));
	sim_process_output(s, node);
	version = gyp_entry_rules(n->entry, NULL);
	if (version < n->entry_rules)
		sim_fail(s,
		    "entry %d: rules went from %" G_GUINT64_FORMAT
		    " back to %" G_GUINT64_FORMAT,
		    node, n->entry_rules, version);
	n->entry_rules = version;
}

static void
step_node(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	if (!n->up && n->restart_at <= s->now) {
		if (node < SIM_ENTRY)
			sim_replica_start(s, node);
		else
			sim_entry_start(s, node);
	}
	if (!sim_is_running(s, node))
		return;
	if (n->resume_pending) { /* output from before the freeze comes first */
		n->resume_pending = false;
		sim_process_output(s, node);
	}
	if (!sim_is_running(s, node))
		return;
	if (node < SIM_ENTRY)
		step_replica(s, node);
	else
		step_entry(s, node);
}

int
sim_leader(const struct sim *s)
{
	int i;

	for (i = 0; i < s->n_replicas; i++) {
		if (sim_is_running(s, i) &&
		    gyp_replica_serving(s->nodes[i].replica))
			return i;
	}
	return -1;
}

void
sim_step_processes(struct sim *s)
{
	int i, first = sim_random(s, 0, SIM_ENDPOINT);

	for (i = 0; i < SIM_ENDPOINT; i++) {
		int node = (first + i) % SIM_ENDPOINT;

		if (node < s->n_replicas ||
		    (node >= SIM_ENTRY && node < SIM_ENTRY + s->n_entries))
			step_node(s, node);
	}
	if (sim_leader(s) >= 0) {
		if (s->leaderless_since != 0)
			s->max_leaderless_ms = MAX(
			    s->max_leaderless_ms, s->now - s->leaderless_since);
		s->leaderless_since = 0;
	} else if (s->leaderless_since == 0) {
		s->leaderless_since = s->now;
	}
}
