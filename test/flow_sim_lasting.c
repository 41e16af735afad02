#include "flow_sim_lasting.h"
#include "flow_sim_int.h"

/* The promise, see flow_sim_lasting.h, in ms. */
#define LOST_MS   6000
#define WINDOW_MS 3000
#define BEFORE_MS 4000
#define ENDPOINTS 2

/* Time for a new incarnation to be registered: a heartbeat, in ms. */
#define REGISTER_MS 2000

/*
 * Share of the starts at which the endpoint restarts, and the longest time that
 * it is down then, in ms: the start is carried out before it times out.
 */
#define RESTART_PERCENT     1
#define RESTART_DOWN_MAX_MS 130

/* How long an endpoint fails all runs, in ms. */
#define FAILING_MS 6000

/* A lasting task that had a run. */
struct lasting_task {
	uint64_t flow;
	uint32_t task;
	bool runs;
	uint64_t ran_at;    /* last time at which it had a run */
	uint64_t window_at; /* start of the window; 0: none */
	uint64_t room_since[FLOW_SIM_LASTING_ENDPOINTS]; /* 0: no room */
};

struct flow_sim_lasting {
	GRand *rand;
	uint64_t burst_at; /* next burst of faults */
	uint64_t burst_until;
	uint64_t disturbed_at; /* latest disturbance */
	bool restarts_at_start;
	GHashTable *tasks; /* task key -> struct lasting_task */
	uint64_t lost_runs;
	uint64_t windows;
};

/* ---- Faults ------------------------------------------------------------- */

static uint64_t
draw_ms(struct flow_sim *s, gint32 from, gint32 to)
{
	return (uint64_t)g_rand_int_range(s->lasting->rand, from, to);
}

static bool
draw_percent(struct flow_sim *s, gint32 percent)
{
	return g_rand_int_range(s->lasting->rand, 0, 100) < percent;
}

void
flow_sim_lasting_disturbed(struct flow_sim *s)
{
	s->lasting->disturbed_at = s->now;
}

void
flow_sim_disturbed(struct flow_sim *s)
{
	flow_sim_lasting_disturbed(s);
}

bool
flow_sim_in_burst(const struct flow_sim *s)
{
	return s->faults;
}

static bool
is_silent_for_good(const struct endpoint *e)
{
	return e->disconnected_until == G_MAXUINT64;
}

/* The endpoint ends for good; another one takes its place. */
static void
replace_endpoint(struct flow_sim *s, struct endpoint *e)
{
	uint64_t down_ms = draw_ms(s, 500, 5000);

	e->keeps_address = draw_percent(s, 50);
	e->generation++;
	g_snprintf(e->id, sizeof(e->id), "e%u.%u",
	    (unsigned)(e - s->endpoints) % 100, e->generation % 1000);
	e->disconnected_until = 0;
	e->wrong_until = 0;
	e->fails_until = 0;
	e->replace_at = 0;
	flow_sim_restart(s, e, down_ms);
}

static void
crash(struct flow_sim *s, struct endpoint *e, uint64_t down_ms)
{
	flow_sim_restart(s, e, down_ms);
	if (draw_percent(s, 40))
		e->wrong_until = e->up_at;
}

static void
inject(struct flow_sim *s, struct endpoint *e)
{
	switch (g_rand_int_range(s->lasting->rand, 0, 8)) {
	case 0:
	case 1: /* it crashes and restarts under its id */
		crash(s, e, draw_ms(s, 60, 3000));
		break;
	case 2: /* it continues to run, disconnected */
		e->disconnected_until = s->now + draw_ms(s, 300, 4000);
		break;
	case 3: /* it crashes for good */
		replace_endpoint(s, e);
		break;
	case 4: /* it restarts and is silent for good soon after */
		crash(s, e, draw_ms(s, 60, 1500));
		e->replace_at = e->up_at + draw_ms(s, 20, 3000);
		break;
	case 5: /* it is silent for good, but continues to run */
		e->disconnected_until = G_MAXUINT64;
		e->replace_at = s->now + draw_ms(s, 7000, 20000);
		break;
	case 6: /* it fails all runs */
		e->fails_until = s->now + FAILING_MS;
		break;
	default:
		break;
	}
}

static void
begin_or_end_burst(struct flow_sim *s)
{
	struct flow_sim_lasting *l = s->lasting;

	s->faults = s->now < l->burst_until;
	if (s->faults || s->now < l->burst_at)
		return;
	l->burst_until = s->now + draw_ms(s, 500, 4000);
	l->burst_at = l->burst_until + draw_ms(s, 8000, 15000);
}

void
flow_sim_lasting_end_faults(struct flow_sim *s)
{
	s->lasting->burst_at = G_MAXUINT64;
	s->lasting->burst_until = 0;
	s->lasting->restarts_at_start = false;
	flow_sim_lasting_disturbed(s);
}

/* Records what disturbs as long as it lasts. */
static void
note_disturbances(struct flow_sim *s)
{
	guint i;

	for (i = 0; i < s->n_endpoints; i++) {
		const struct endpoint *e = &s->endpoints[i];

		if (!is_up(s, e) || s->now < e->fails_until ||
		    (s->now < e->disconnected_until && !is_silent_for_good(e)))
			flow_sim_lasting_disturbed(s);
	}
}

void
flow_sim_use_restarts_at_start(struct flow_sim *s)
{
	s->lasting->restarts_at_start = true;
}

uint64_t
flow_sim_restart_at_start(struct flow_sim *s, struct endpoint *e)
{
	uint64_t down_ms;

	if (!s->lasting->restarts_at_start || e->replace_at != 0 ||
	    !draw_percent(s, RESTART_PERCENT))
		return 0;
	down_ms = draw_ms(s, 60, RESTART_DOWN_MAX_MS);
	flow_sim_lasting_disturbed(s);
	flow_sim_restart(s, e, down_ms);
	return down_ms;
}

void
flow_sim_disturb_endpoint(struct flow_sim *s)
{
	struct endpoint *e = &s->endpoints[g_rand_int_range(
	    s->lasting->rand, 0, (gint32)s->n_endpoints)];

	flow_sim_lasting_disturbed(s);
	if (is_up(s, e) && s->now >= e->disconnected_until &&
	    e->replace_at == 0)
		inject(s, e);
}

void
flow_sim_lasting_faults(struct flow_sim *s)
{
	struct endpoint *e;
	guint i;

	for (i = 0; i < s->n_endpoints; i++) {
		e = &s->endpoints[i];
		if (e->replace_at != 0 && s->now >= e->replace_at)
			replace_endpoint(s, e);
	}
	begin_or_end_burst(s);
	if (s->faults && s->now >= s->fault_at) {
		s->fault_at = s->now + draw_ms(s, 100, 1500);
		flow_sim_disturb_endpoint(s);
	}
	note_disturbances(s);
}

/* The index of the endpoint with that id, or of the one that replaced it. */
static guint
place_of(const char *id)
{
	return (guint)g_ascii_strtoull(id + 1, NULL, 10);
}

bool
flow_sim_lasting_is_wrong(const struct flow_sim *s, const char *id)
{
	const struct endpoint *e = &s->endpoints[place_of(id)];

	if (g_str_equal(e->id, id))
		return s->now < e->wrong_until;
	return e->keeps_address && is_up(s, e) &&
	       s->now >= e->disconnected_until;
}

/* ---- Runs --------------------------------------------------------------- */

/* The share of runs of a lasting step that fail, by its flow. */
static gint32
failing_percent(const struct gyp_flow *flow)
{
	static const gint32 percents[] = {0, 0, 5, 30};

	return percents[flow->id % G_N_ELEMENTS(percents)];
}

void
flow_sim_lasting_set_end(struct flow_sim *s, const struct endpoint *e,
    const struct gyp_flow *flow, struct run *r)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, r->task);
	uint64_t usual_ms = u->step->estimate_ms;

	if (s->now < e->fails_until) {
		r->fails = true;
		r->ends_at = s->now + draw_ms(s, 20, 200);
	} else if (u->step->lasting) {
		r->fails = draw_percent(s, failing_percent(flow));
		r->ends_at = G_MAXUINT64;
		if (r->fails)
			r->ends_at = s->now + draw_ms(s, 100, 4000);
	} else {
		r->fails = draw_percent(s, 3);
		r->ends_at = s->now + usual_ms / 2;
		r->ends_at += draw_ms(s, 0, (gint32)usual_ms);
	}
}

bool
flow_sim_allows(uint64_t flow, uint32_t step, const char *id)
{
	guint place = place_of(id);
	guint hash = g_str_hash(id) * 31 + (guint)flow * 7919 + step * 104729;

	/* Two at least, so that no step waits for ever. */
	if (place == flow % FLOW_SIM_LASTING_ENDPOINTS ||
	    place == (flow + 3) % FLOW_SIM_LASTING_ENDPOINTS)
		return true;
	hash ^= hash >> 15;
	hash *= 0x2c1b3c6d;
	hash ^= hash >> 12;
	return hash % 100 < FLOW_SIM_ALLOWED_PERCENT;
}

/* ---- Check -------------------------------------------------------------- */

static bool
has_room(const struct flow_sim *s, const struct endpoint *e,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u)
{
	uint64_t used = u->size.cpu_milli;
	uint32_t same = 0;
	guint i;

	if (s->now < e->up_at + REGISTER_MS || s->now < e->disconnected_until)
		return false;
	if (flow->spec->queue->admission &&
	    !flow_sim_allows(flow->id, u->step_number, e->id))
		return false;
	for (i = 0; i < e->runs->len; i++) {
		const struct run *r = &g_array_index(e->runs, struct run, i);
		const struct gyp_flow *other = gyp_flow_get(s->flows, r->flow);
		const struct gyp_flow_unit *v =
		    gyp_flow_unit_of(other, r->task);

		used += v->size.cpu_milli;
		same += v == u;
	}
	return used <= FLOW_SIM_CPU_MILLI &&
	       (u->step->spread == 0 || same < u->step->spread);
}

/* Marks the lasting tasks that run; adds those that run for the first time. */
static void
mark_running(struct flow_sim *s)
{
	guint i, j;

	for (i = 0; i < s->n_endpoints; i++) {
		const struct endpoint *e = &s->endpoints[i];

		for (j = 0; j < e->runs->len && is_up(s, e); j++) {
			const struct run *r =
			    &g_array_index(e->runs, struct run, j);
			const struct gyp_flow *flow =
			    gyp_flow_get(s->flows, r->flow);
			gpointer key = task_key(r->flow, r->task);
			struct lasting_task *t =
			    g_hash_table_lookup(s->lasting->tasks, key);

			if (t == NULL &&
			    gyp_flow_unit_of(flow, r->task)->step->lasting) {
				t = g_new0(struct lasting_task, 1);
				t->flow = r->flow;
				t->task = r->task;
				g_hash_table_insert(s->lasting->tasks, key, t);
			}
			if (t != NULL)
				t->ran_at = s->now;
		}
	}
}

static void
print_endpoints(const struct flow_sim *s, const struct lasting_task *t,
    const struct gyp_flow_scheduler *scheduler)
{
	struct gyp_flow_scheduler *fs = (struct gyp_flow_scheduler *)scheduler;
	const struct gyp_flow *flow = gyp_flow_get(s->flows, t->flow);
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, t->task);
	guint i;

	for (i = 0; i < s->n_endpoints; i++) {
		const struct endpoint *e = &s->endpoints[i];
		const struct gyp_host *h = gyp_host_by_id(s->flows, e->id);

		g_printerr("endpoint=%s up=%d connected=%d runs=%u room=%d "
			   "allowed=%d room_since=%" G_GUINT64_FORMAT,
		    e->id, is_up(s, e), s->now >= e->disconnected_until,
		    e->runs->len, has_room(s, e, flow, u),
		    flow_sim_allows(t->flow, u->step_number, e->id),
		    t->room_since[i]);
		if (h != NULL && fs != NULL)
			g_printerr(" row=%u booked=%u open=%u usable=%d "
				   "stats=%d",
			    h->row, h->booked.cpu_milli, h->runs->len,
			    gyp_fleet_usable(
				gyp_flow_scheduler_fleet(fs), h->row),
			    gyp_run_stats_state(
				gyp_flow_scheduler_stats(fs), h->row, s->now));
		g_printerr("\n");
	}
}

static void
fail_task(const struct flow_sim *s, const struct lasting_task *t,
    const struct gyp_flow_scheduler *scheduler)
{
	const struct gyp_flow *flow = gyp_flow_get(s->flows, t->flow);
	const struct gyp_flow_task *task = &flow->tasks[t->task];
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, t->task);
	const struct gyp_host *h = gyp_host_at(s->flows, task->row);

	g_printerr("now=%" G_GUINT64_FORMAT " ran_at=%" G_GUINT64_FORMAT
		   " window_at=%" G_GUINT64_FORMAT
		   " disturbed_at=%" G_GUINT64_FORMAT "\n",
	    s->now, t->ran_at, t->window_at, s->lasting->disturbed_at);
	g_printerr("task=%u step=%u count=%u cpu_milli=%u spread=%u "
		   "admission=%d state=%d run=%u failures=%u endpoint=%s "
		   "changed_ms=%" G_GUINT64_FORMAT " unit_open=%u\n",
	    t->task, u->step_number, u->step->count, u->size.cpu_milli,
	    u->step->spread, flow->spec->queue->admission, task->state,
	    task->run, task->failures, h != NULL ? h->spec->id : "gone",
	    task->changed_ms, u->open);
	print_endpoints(s, t, scheduler);
	g_error("lasting task %u of %" G_GUINT64_FORMAT
		" waits though endpoints have room",
	    t->task, t->flow);
}

/* Returns the number of endpoints that have had room since that time. */
static guint
count_room(const struct flow_sim *s, const struct lasting_task *t, uint64_t at)
{
	guint i, n = 0;

	for (i = 0; i < s->n_endpoints; i++)
		n += t->room_since[i] != 0 && t->room_since[i] <= at;
	return n;
}

static void
update_room(
    struct flow_sim *s, struct lasting_task *t, const struct gyp_flow *flow)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, t->task);
	guint i;

	for (i = 0; i < s->n_endpoints; i++) {
		if (!has_room(s, &s->endpoints[i], flow, u))
			t->room_since[i] = 0;
		else if (t->room_since[i] == 0)
			t->room_since[i] = s->now;
	}
}

static void
check_task(struct flow_sim *s, struct lasting_task *t,
    const struct gyp_flow_scheduler *scheduler)
{
	const struct gyp_flow *flow = gyp_flow_get(s->flows, t->flow);
	uint64_t start = s->now - WINDOW_MS;
	bool calm = s->now >= s->lasting->disturbed_at + BEFORE_MS;

	s->lasting->lost_runs += t->runs && t->ran_at < s->now;
	t->runs = t->ran_at == s->now;
	if (t->runs && t->window_at != 0)
		s->lasting->windows++;
	if (t->runs || !gyp_flow_is_alive(flow)) {
		t->window_at = 0;
		return;
	}
	update_room(s, t, flow);
	if (!calm || s->now < t->ran_at + LOST_MS ||
	    count_room(s, t, s->now) < ENDPOINTS)
		t->window_at = 0;
	else if (t->window_at == 0)
		t->window_at = s->now;
	if (t->window_at != 0 && t->window_at <= start &&
	    count_room(s, t, start) >= ENDPOINTS)
		fail_task(s, t, scheduler);
}

void
flow_sim_check_lasting(struct flow_sim *s, uint64_t now,
    const struct gyp_flow_scheduler *scheduler)
{
	GHashTableIter iter;
	gpointer value;

	s->now = now;
	mark_running(s);
	g_hash_table_iter_init(&iter, s->lasting->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_task(s, value, scheduler);
}

uint64_t
flow_sim_lost_runs(const struct flow_sim *s)
{
	return s->lasting->lost_runs;
}

uint64_t
flow_sim_judged_windows(const struct flow_sim *s)
{
	return s->lasting->windows;
}

/* ---- Construction ------------------------------------------------------- */

void
flow_sim_use_lasting(struct flow_sim *s, uint32_t seed)
{
	s->lasting = g_new0(struct flow_sim_lasting, 1);
	s->lasting->rand = g_rand_new_with_seed(seed);
	s->lasting->tasks = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	flow_sim_add_endpoints(s);
}

void
flow_sim_lasting_free(struct flow_sim *s)
{
	g_hash_table_destroy(s->lasting->tasks);
	g_rand_free(s->lasting->rand);
	g_free(s->lasting);
}
