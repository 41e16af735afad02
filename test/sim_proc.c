#include <string.h>

#include "mutant.h"
#include "sim.h"

/* Output of a process that is not sent yet. */
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
stash_frame(struct sim_node *n, int to, uint64_t to_id, GBytes *packed)
{
	struct output *o = g_new0(struct output, 1);

	o->to = to;
	o->to_id = to_id;
	o->packed = packed;
	g_queue_push_tail(&n->stash, o);
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

/* ---- Fake disk --------------------------------------------------------- */

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

/* The newest snapshot comes first, as from the store. */
static guint
load_snapshot(struct sim_node *n, uint64_t *index)
{
	guint i, foreign = 0, at = G_MAXUINT;

	for (i = 0; i < n->disk->len; i++) {
		const struct gyp_record *rec = n->disk->pdata[i];

		if (rec->type != GYP_RECORD_SNAPSHOT)
			continue;
		at = i;
		if (rec->kind != 0)
			foreign = i;
	}
	if (at != G_MAXUINT) {
		const struct gyp_record *rec = n->disk->pdata[at];

		gyp_replica_load(n->replica, rec);
		*index = rec->index;
	}
	return foreign;
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

/* Of what was not synced any prefix may have reached the disk. */
static void
tear_disk(struct sim *s, struct sim_node *n)
{
	guint torn = n->disk->len - n->synced;
	guint kept = n->synced + (guint)sim_pick(s, 0, (int)torn + 1);

	g_ptr_array_set_size(n->disk, (gint)kept);
	n->synced = kept;
}

static void
sync_disk(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	n->sync_at = 0;
	n->synced = n->disk->len;
	gyp_replica_synced(n->replica, sim_clock(s, node), n->synced - n->boot);
	sim_pump(s, node);
}

/* ---- Lives of processes ------------------------------------------------ */

static void
new_clock(struct sim *s, struct sim_node *n)
{
	n->clock_offset = (uint64_t)sim_pick(s, 1, 1000000);
	n->clock_ppm = s->slow_clocks
			   ? SIM_PPM_MAX
			   : sim_pick(s, -SIM_PPM_MAX, SIM_PPM_MAX + 1);
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
		if (n->id == 0 || !GYP_MUTANT(OLD_NAME))
			n->id = sim_new_id(s);
	}
	cfg.id = n->id;
	new_clock(s, n);
	n->replica = gyp_replica_new(&cfg);
	n->boot = n->synced = n->disk->len;
	n->sync_at = 0;
	n->applied = 0;
	n->rules = 0;
	load_disk(n);
	/* Once more, if it was killed before anything was on its disk. */
	if (node == 0 && s->n_disks == 0 &&
	    gyp_raft_last_index(gyp_replica_raft(n->replica)) == 0)
		gyp_replica_bootstrap(n->replica, NULL);
	n->up = true;
	n->life++;
	sim_pump(s, node);
}

static void
stop_node(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	n->up = false;
	n->frozen_until = 0;
	n->thawing = n->freeze_at_send = false;
	g_queue_clear_full(&n->stash, free_output);
	sim_drop_node(s, node);
	n->restart_at = s->now + (uint64_t)sim_pick(s, 200, 4000);
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
	tear_disk(s, n);
	if (!lose_disk)
		return;
	g_ptr_array_free(n->disk, TRUE);
	n->disk = NULL;
	n->synced = 0;
	s->n_disks++;
}

void
sim_entry_start(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	const char *cells[SIM_REPLICAS + 1] = {NULL};
	struct gyp_entry_config cfg = {.replicas = cells,
	    .keepalive_ms = SIM_KEEPALIVE_MS,
	    .silence_ms = SIM_SILENCE_MS};
	int i;

	for (i = 0; i < s->n_replicas; i++) {
		cells[i] = s->nodes[i].address;
		n->link_up[i] = s->now + (uint64_t)sim_pick(s, 0, 100);
	}
	new_clock(s, n);
	cfg.id = n->id = sim_new_id(s);
	n->entry = gyp_entry_new(&cfg);
	n->entry_rules = 0;
	n->entry_term = 0;
	n->up = true;
	n->life++;
}

void
sim_entry_kill(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	guint i;

	stop_node(s, node);
	gyp_entry_free(n->entry);
	n->entry = NULL;
	/* The callers see their connections closed. */
	for (i = 0; i < s->calls->len; i++) {
		struct sim_call *c = s->calls->pdata[i];

		if (c->open && c->entry == node) {
			c->open = false;
			c->ops->answered(s, c, NULL);
		}
	}
}

/* ---- Moving output ----------------------------------------------------- */

/* A disk stalls now and then. */
static uint64_t
sync_time(struct sim *s)
{
	bool stall = s->faults && sim_one_in(s, 100);

	return (uint64_t)sim_pick(s, 0, stall ? 1500 : 30);
}

static void
take_replica_output(struct sim *s, int node)
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
		stash_frame(n,
		    out.entry ? node_of_entry(s, out.to)
			      : node_of_address(s, out.address),
		    out.entry ? out.to : 0, out.packed);
		g_free(out.address);
	}
}

static void
take_answers(struct sim *s, int node)
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
take_entry_output(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	const char *address;
	GBytes *packed;
	struct gyp_exchange x;

	while (gyp_entry_pop_frame(n->entry, &address, &packed))
		stash_frame(n, node_of_address(s, address), 0, packed);
	while (gyp_entry_pop_exchange(n->entry, &x)) {
		struct output *o = g_new0(struct output, 1);

		o->exchange = x;
		g_queue_push_tail(&n->stash, o);
	}
}

static void
send_stash(struct sim *s, int node)
{
	struct output *o;

	while ((o = g_queue_pop_head(&s->nodes[node].stash)) != NULL) {
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
sim_pump(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	if (!n->up)
		return;
	if (n->replica != NULL)
		take_replica_output(s, node);
	else
		take_entry_output(s, node);
	if (n->freeze_at_send && n->stash.length > 0) {
		n->freeze_at_send = false;
		n->thawing = true;
		n->frozen_until = s->now + (uint64_t)sim_pick(s, 50, 5000);
		s->n_freezes++;
		sim_trace(s, "freeze %d until %" G_GUINT64_FORMAT, node,
		    n->frozen_until);
	}
	if (!sim_runs(s, node))
		return;
	send_stash(s, node);
	if (n->entry != NULL)
		take_answers(s, node);
}

static guint
count_starts(const struct sim_node *n)
{
	const GList *l;
	guint starts = 0;

	for (l = n->stash.head; l != NULL; l = l->next) {
		const struct output *o = l->data;

		starts += o->packed == NULL && o->exchange.order->type ==
						   GYP__ORDER_TYPE__ORDER_START;
	}
	return starts;
}

/* An entry carries out no start of a leader that it knows to be deposed. */
static void
receive_at_entry(struct sim *s, int node, int from, const Gyp__EntryDown *down,
    const Gyp__Frame *frame)
{
	struct sim_node *n = &s->nodes[node];
	guint before = count_starts(n);

	gyp_entry_receive(
	    n->entry, sim_clock(s, node), s->nodes[from].address, frame);
	take_entry_output(s, node);
	if (down->term < n->entry_term && count_starts(n) > before)
		sim_fail(
		    s, "entry %d starts a task for a deposed leader", node);
	if (down->leader)
		n->entry_term = MAX(n->entry_term, down->term);
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
	sim_pump(s, node);
}

/* ---- Steps and checks -------------------------------------------------- */

static void
ask_to_join(struct sim *s, int node)
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

/* Tables of equal applied index are equal, byte for byte. */
static void
check_tables(struct sim *s, int node)
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
	if (!g_hash_table_lookup_extended(s->hashes, &applied, NULL, &seen))
		g_hash_table_insert(s->hashes,
		    g_memdup2(&applied, sizeof(applied)),
		    GUINT_TO_POINTER(hash));
	else if (GPOINTER_TO_UINT(seen) != hash)
		sim_fail(s,
		    "tables differ at index %" G_GUINT64_FORMAT
		    " on replica %d",
		    applied, node);
}

static void
step_replica(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	if (n->sync_at != 0 && s->now >= n->sync_at)
		sync_disk(s, node);
	if (s->now >= n->join_at && (node > 0 || n->life > 1))
		ask_to_join(s, node);
	gyp_replica_tick(n->replica, sim_clock(s, node));
	sim_pump(s, node);
	check_tables(s, node);
}

static void
step_entry(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];
	uint64_t version;

	gyp_entry_tick(n->entry, sim_clock(s, node));
	sim_pump(s, node);
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
	if (!sim_runs(s, node))
		return;
	if (n->thawing) { /* what was under way leaves first */
		n->thawing = false;
		sim_pump(s, node);
	}
	if (!sim_runs(s, node))
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
		if (sim_runs(s, i) && gyp_replica_serving(s->nodes[i].replica))
			return i;
	}
	return -1;
}

void
sim_step_procs(struct sim *s)
{
	int i, first = sim_pick(s, 0, SIM_ENDPOINT);

	for (i = 0; i < SIM_ENDPOINT; i++) {
		int node = (first + i) % SIM_ENDPOINT;

		if (node < s->n_replicas ||
		    (node >= SIM_ENTRY && node < SIM_ENTRY + s->n_entries))
			step_node(s, node);
	}
	if (sim_leader(s) >= 0) {
		if (s->leaderless_since != 0)
			s->leaderless_max = MAX(
			    s->leaderless_max, s->now - s->leaderless_since);
		s->leaderless_since = 0;
	} else if (s->leaderless_since == 0) {
		s->leaderless_since = s->now;
	}
}
