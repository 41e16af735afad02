#include <string.h>

#include "msg.h"
#include "placer.h"

/* Most runs proposed in one round. */
#define RUNS_MAX 256

/* Fewest and most endpoints named in one question. */
#define ASK_MIN 6
#define ASK_MAX 30

/* A question that takes longer leaves one lane in so many free. */
#define SLOW_QUESTION_MS 100
#define KEPT_DIVISOR     5

/* One in so many endpoints is expected to be allowed, in thousandths. */
#define ALLOWED_PERMILLE 350

/*
 * What takes an endpoint back in the order, in shares of free processors:
 * a failure since its last success, and a pace of twice the usual time.
 */
#define DOUBT_COST 0.5
#define PACE_COST  0.4

/* An endpoint during a round. */
struct room {
	const struct gyp_host *host; /* NULL when it takes nothing */
	struct gyp_res left;
	bool serves; /* runs tasks with a bound on their tail */
	bool filled; /* runs tasks that take what is left */
	enum gyp_track_word word;
	double pace;
};

/* A unit with waiting tasks. */
struct candidate {
	struct gyp_flow *flow;
	struct gyp_flow_unit *unit;
};

struct gyp_placer {
	struct gyp_flows *flows;
	struct gyp_fleet *fleet;
	struct gyp_admission *admission;
	const struct gyp_track *track;
	GArray *rooms;   /* struct room by row, of this round */
	GArray *units;   /* struct candidate, of this round */
	GPtrArray *runs; /* Gyp__FlowRun being collected */
	uint64_t now;
	uint32_t budget;
};

/* ---- Rooms -------------------------------------------------------------- */

static void
measure_rooms(struct gyp_placer *p)
{
	uint32_t row;

	g_array_set_size(p->rooms, gyp_hosts_size(p->flows));
	for (row = 0; row < p->rooms->len; row++) {
		struct room *room = &g_array_index(p->rooms, struct room, row);

		memset(room, 0, sizeof(*room));
		room->word = gyp_track_word(p->track, row, p->now);
		if (!gyp_fleet_usable(p->fleet, row) ||
		    room->word >= GYP_TRACK_PROBING)
			continue;
		room->pace = gyp_track_pace(p->track, row);
		room->host = gyp_host_at(p->flows, row);
		room->left = room->host->capacity;
		room->left.slots = 0;
		if (!gyp_res_fits(&room->host->booked, &room->left)) {
			room->host = NULL;
			continue;
		}
		gyp_res_sub(&room->left, &room->host->booked);
		room->serves = room->host->serving > 0;
		room->filled = room->host->filling > 0;
	}
}

static bool
has_label(const Gyp__CmdHost *spec, const char *label)
{
	size_t i;

	for (i = 0; i < spec->n_labels; i++) {
		if (strcmp(spec->labels[i], label) == 0)
			return true;
	}
	return false;
}

/* Tasks of the unit with an open run on that endpoint. */
static uint32_t
count_there(
    const struct gyp_flow *flow, const struct gyp_flow_unit *u, uint32_t row)
{
	uint32_t i, n = 0;

	for (i = u->first; i < u->first + u->step->count; i++)
		n += flow->tasks[i].state == GYP_FLOW_TASK_OPEN &&
		     flow->tasks[i].host == row;
	return n;
}

/* True when an empty endpoint like this one could take tasks of the unit. */
static bool
host_suits(const struct room *room, const struct candidate *c)
{
	const Gyp__FlowStep *step = c->unit->step;

	if (room->host == NULL || room->host->pool != c->flow->pool ||
	    c->unit->size.cpu_milli > room->host->capacity.cpu_milli ||
	    c->unit->size.memory > room->host->capacity.memory ||
	    c->unit->size.accel > room->host->capacity.accel)
		return false;
	if (step->label[0] != '\0' && !has_label(room->host->spec, step->label))
		return false;
	/* Work that fills disturbs work that serves, so they stay apart. */
	return !(step->fills && room->serves) &&
	       !(step->tail_ms > 0 && room->filled);
}

/* True when the endpoint could take a task of the unit now, tickets apart. */
static bool
room_suits(const struct room *room, const struct candidate *c)
{
	return host_suits(room, c) && gyp_res_fits(&c->unit->size, &room->left);
}

/* How many more tasks of the unit the endpoint can take. */
static uint32_t
count_fitting(const struct room *room, const struct candidate *c)
{
	const Gyp__FlowStep *step = c->unit->step;
	struct gyp_res size = c->unit->size;
	uint64_t n = step->count;

	if (size.cpu_milli > 0)
		n = MIN(n, room->left.cpu_milli / size.cpu_milli);
	if (size.memory > 0)
		n = MIN(n, room->left.memory / size.memory);
	if (size.accel > 0)
		n = MIN(n, room->left.accel / size.accel);
	if (step->spread > 0) {
		uint32_t there = count_there(c->flow, c->unit, room->host->row);

		n = MIN(n, step->spread > there ? step->spread - there : 0);
	}
	/* After a quarantine, one run tells. */
	if (room->word == GYP_TRACK_PROBE)
		n = MIN(n, 1);
	return (uint32_t)n;
}

/* ---- Candidates --------------------------------------------------------- */

static bool
is_due(const struct gyp_flow *flow, const struct gyp_flow_unit *u,
    uint64_t wall_ms)
{
	const Gyp__FlowSpec *spec = flow->spec;

	if (spec->times == 0)
		return true;
	return wall_ms >=
	       spec->first_ms + (uint64_t)u->time * spec->interval_ms;
}

static gint
by_urgency(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;
	uint32_t px = x->flow->spec->queue->priority;
	uint32_t py = y->flow->spec->queue->priority;

	if (px != py)
		return px < py ? -1 : 1;
	if (x->flow->seq != y->flow->seq)
		return x->flow->seq < y->flow->seq ? -1 : 1;
	return x->unit < y->unit ? -1 : x->unit > y->unit;
}

static void
find_candidates(struct gyp_placer *p, uint64_t wall_ms)
{
	const GList *l;
	uint32_t i;

	g_array_set_size(p->units, 0);
	for (l = gyp_flows_active(p->flows)->head; l != NULL; l = l->next) {
		struct gyp_flow *flow = l->data;

		if (!gyp_flow_is_alive(flow))
			continue;
		for (i = 0; i < flow->n_units; i++) {
			struct candidate c = {flow, &flow->units[i]};

			if (c.unit->left > c.unit->open &&
			    (!c.unit->step->gang || c.unit->open == 0) &&
			    gyp_flow_unit_is_ready(flow, c.unit) &&
			    is_due(flow, c.unit, wall_ms))
				g_array_append_val(p->units, c);
		}
	}
	g_array_sort(p->units, by_urgency);
}

/* ---- Placing ------------------------------------------------------------ */

static double
score_room(const struct room *room, const struct candidate *c)
{
	double total = room->host->capacity.cpu_milli + 1;
	double score = room->left.cpu_milli / total;
	const Gyp__FlowStep *step = c->unit->step;

	if (step->data_rack[0] != '\0' &&
	    strcmp(step->data_rack, room->host->spec->rack) == 0)
		score += 2;
	if (room->word == GYP_TRACK_DOUBTFUL)
		score -= DOUBT_COST;
	return score - (room->pace - 1) * PACE_COST;
}

struct fit {
	uint32_t row;
	uint32_t count;
	double score;
};

static gint
by_score(gconstpointer a, gconstpointer b)
{
	const struct fit *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->row < y->row ? -1 : 1;
}

/* Moves the entry at i down a heap of n that has the worst on top. */
static void
sift_down(struct fit *heap, guint n, guint i)
{
	guint child;

	while ((child = 2 * i + 1) < n) {
		struct fit kept = heap[i];

		if (child + 1 < n &&
		    by_score(&heap[child + 1], &heap[child]) > 0)
			child++;
		if (by_score(&heap[child], &heap[i]) <= 0)
			return;
		heap[i] = heap[child];
		heap[child] = kept;
		i = child;
	}
}

/* Keeps the best n, best first: sorting all costs most of a question. */
static void
keep_best(GArray *fits, guint n)
{
	struct fit *heap = (struct fit *)fits->data;
	guint i;

	if (fits->len > n) {
		for (i = n / 2; i-- > 0;)
			sift_down(heap, n, i);
		for (i = n; i < fits->len; i++) {
			if (by_score(&heap[i], &heap[0]) >= 0)
				continue;
			heap[0] = heap[i];
			sift_down(heap, n, 0);
		}
		g_array_set_size(fits, n);
	}
	g_array_sort(fits, by_score);
}

/* Endpoints that can take tasks of the unit now, best first. */
static GArray *
find_fits(const struct gyp_placer *p, const struct candidate *c)
{
	GArray *fits = g_array_new(FALSE, FALSE, sizeof(struct fit));
	const struct gyp_admission_unit *known =
	    gyp_admission_unit(p->admission, c->flow, c->unit);
	bool admission = c->flow->spec->queue->admission;
	uint32_t row;

	if (admission && known == NULL)
		return fits;
	for (row = 0; row < p->rooms->len; row++) {
		const struct room *room =
		    &g_array_index(p->rooms, struct room, row);
		struct fit fit = {.row = row};

		if (!room_suits(room, c) ||
		    (admission && gyp_admission_word(p->admission, known, row,
				      p->now) != GYP_ADMISSION_YES))
			continue;
		fit.count = count_fitting(room, c);
		fit.score = score_room(room, c);
		if (fit.count > 0)
			g_array_append_val(fits, fit);
	}
	g_array_sort(fits, by_score);
	return fits;
}

static void
take_room(struct gyp_placer *p, const struct candidate *c, uint32_t row)
{
	struct room *room = &g_array_index(p->rooms, struct room, row);

	gyp_res_sub(&room->left, &c->unit->size);
	room->serves = room->serves || c->unit->step->tail_ms > 0;
	room->filled = room->filled || c->unit->step->fills;
	if (room->word == GYP_TRACK_PROBE)
		room->host = NULL;
}

static void
collect_run(struct gyp_placer *p, uint32_t task, uint32_t row)
{
	Gyp__FlowRun *run = g_new(Gyp__FlowRun, 1);

	gyp__flow_run__init(run);
	run->task = task;
	run->host = row;
	g_ptr_array_add(p->runs, run);
}

/* Proposes the collected runs of one number as one command. */
static void
propose_runs(struct gyp_placer *p, const struct candidate *c, uint32_t number,
    GPtrArray *cmds)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowStart start = GYP__CMD_FLOW_START__INIT;

	if (p->runs->len == 0)
		return;
	start.flow = c->flow->id;
	start.run = number;
	start.n_runs = p->runs->len;
	start.runs = (Gyp__FlowRun **)p->runs->pdata;
	cmd.c_case = GYP__CMD__C_FLOW_START;
	cmd.flow_start = &start;
	g_ptr_array_add(cmds, gyp_message_copy(&cmd.base));
	p->budget -= MIN(p->budget, p->runs->len);
	g_ptr_array_set_size(p->runs, 0);
}

static uint32_t
next_run(const struct candidate *c)
{
	uint32_t i, run = 0;

	for (i = 0; i < c->unit->step->count; i++)
		run = MAX(run, c->flow->tasks[c->unit->first + i].run);
	return run + 1;
}

/*
 * The next fit with room left, in turn. A task does not go where it failed,
 * and one that must not fail again goes where nothing failed.
 */
static struct fit *
next_fit(const struct gyp_placer *p, const struct candidate *c, uint32_t task,
    GArray *fits, guint *at)
{
	const struct gyp_flow_task *t = &c->flow->tasks[task];
	bool last = t->failures + 1 >= c->flow->spec->queue->attempts;
	guint tried;

	for (tried = 0; tried < fits->len; tried++) {
		struct fit *fit =
		    &g_array_index(fits, struct fit, *at % fits->len);
		const struct room *room =
		    &g_array_index(p->rooms, struct room, fit->row);

		*at += 1;
		if (fit->count == 0)
			continue;
		if (t->failures > 0 &&
		    (gyp_track_failed_at(
			 p->track, c->flow->id, task, fit->row) ||
			(last && room->word != GYP_TRACK_GOOD)))
			continue;
		return fit;
	}
	return NULL;
}

static bool
fits_whole(const GArray *fits, uint32_t need)
{
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < fits->len; i++)
		sum += g_array_index(fits, struct fit, i).count;
	return sum >= need;
}

/* Returns how many tasks still wait. */
static uint32_t
place_unit(struct gyp_placer *p, const struct candidate *c, GPtrArray *cmds)
{
	struct gyp_flow_unit *u = c->unit;
	uint32_t waiting = u->left - u->open;
	GArray *fits = find_fits(p, c);
	uint32_t i, number = next_run(c);
	guint at = 0;

	if (u->step->gang && !fits_whole(fits, waiting)) {
		g_array_free(fits, TRUE);
		return waiting;
	}
	for (i = u->first; i < u->first + u->step->count; i++) {
		struct fit *fit;

		if (c->flow->tasks[i].state != GYP_FLOW_TASK_WAITING)
			continue;
		fit = next_fit(p, c, i, fits, &at);
		if (fit == NULL)
			continue;
		fit->count--;
		take_room(p, c, fit->row);
		collect_run(p, i, fit->row);
		waiting--;
	}
	g_array_free(fits, TRUE);
	propose_runs(p, c, number, cmds);
	return waiting;
}

/* ---- Questions ---------------------------------------------------------- */

/*
 * Endpoints worth asking about: those with the most room come first, then
 * those that are full now and may have room before the ticket runs out.
 */
static GArray *
find_unasked(const struct gyp_placer *p, const struct candidate *c,
    const struct gyp_admission_unit *known)
{
	GArray *fits = g_array_new(FALSE, FALSE, sizeof(struct fit));
	uint32_t row;

	for (row = 0; row < p->rooms->len; row++) {
		const struct room *room =
		    &g_array_index(p->rooms, struct room, row);
		enum gyp_admission_word word;
		struct fit fit = {.row = row};

		if (!host_suits(room, c))
			continue;
		word = gyp_admission_word(p->admission, known, row, p->now);
		if (word != GYP_ADMISSION_UNKNOWN &&
		    word != GYP_ADMISSION_STALE)
			continue;
		fit.count = count_fitting(room, c);
		fit.score = score_room(room, c) +
			    (word == GYP_ADMISSION_STALE ? 10 : 0) +
			    (fit.count > 0 ? 100 : 0);
		g_array_append_val(fits, fit);
	}
	keep_best(fits, ASK_MAX);
	return fits;
}

/* Naming so many endpoints costs a quarter of the question itself. */
static guint
cheap_to_name(const Gyp__FlowQueue *q)
{
	double n = q->admission_each_ms > 0
		       ? q->admission_ms / (4 * q->admission_each_ms)
		       : ASK_MAX;

	return (guint)CLAMP(n, ASK_MIN, ASK_MAX);
}

/* Endpoints to name so that about enough of them are allowed. */
static guint
count_to_ask(const GArray *fits, uint32_t waiting, guint cheap)
{
	uint64_t expected = 0; /* thousandths of tasks */
	guint n;

	if (fits->len == 0 || g_array_index(fits, struct fit, 0).count == 0)
		return 0;
	for (n = 0; n < fits->len && n < ASK_MAX; n++) {
		if (n >= cheap && expected >= (uint64_t)waiting * 1000)
			break;
		expected += (uint64_t)g_array_index(fits, struct fit, n).count *
			    ALLOWED_PERMILLE;
	}
	return n;
}

static bool
ask_unit(struct gyp_placer *p, const struct candidate *c, uint32_t waiting,
    GPtrArray *asks)
{
	const struct gyp_admission_unit *known =
	    gyp_admission_unit(p->admission, c->flow, c->unit);
	GArray *fits;
	uint32_t rows[ASK_MAX];
	guint i, n;

	if (!c->flow->spec->queue->admission || gyp_admission_is_asking(known))
		return false;
	fits = find_unasked(p, c, known);
	n = count_to_ask(fits, waiting, cheap_to_name(c->flow->spec->queue));
	for (i = 0; i < n; i++)
		rows[i] = g_array_index(fits, struct fit, i).row;
	g_array_free(fits, TRUE);
	if (n == 0)
		return false;
	g_ptr_array_add(asks,
	    gyp_admission_ask(p->admission, p->now, c->flow, c->unit, rows, n));
	return true;
}

/* ---- Round -------------------------------------------------------------- */

/* Slow questions leave a part of the lanes to quick ones. */
static uint32_t
lanes_for(const struct candidate *c, uint32_t lanes, uint32_t all_lanes)
{
	uint32_t kept = (all_lanes + KEPT_DIVISOR - 1) / KEPT_DIVISOR;

	if (c->flow->spec->queue->admission_ms < SLOW_QUESTION_MS)
		return lanes;
	return lanes > kept ? lanes - kept : 0;
}

void
gyp_placer_round(struct gyp_placer *p, uint64_t now, uint64_t wall_ms,
    uint32_t lanes, uint32_t all_lanes, GPtrArray *cmds, GPtrArray *asks)
{
	guint i;

	p->now = now;
	p->budget = RUNS_MAX;
	find_candidates(p, wall_ms);
	if (p->units->len == 0)
		return;
	measure_rooms(p);
	for (i = 0; i < p->units->len && p->budget > 0; i++) {
		const struct candidate *c =
		    &g_array_index(p->units, struct candidate, i);
		uint32_t waiting = place_unit(p, c, cmds);

		if (waiting > 0 && asks->len < lanes_for(c, lanes, all_lanes))
			ask_unit(p, c, waiting, asks);
	}
}

struct gyp_placer *
gyp_placer_new(struct gyp_flows *flows, struct gyp_fleet *fleet,
    struct gyp_admission *admission, const struct gyp_track *track)
{
	struct gyp_placer *p = g_new0(struct gyp_placer, 1);

	p->flows = flows;
	p->fleet = fleet;
	p->admission = admission;
	p->track = track;
	p->rooms = g_array_new(FALSE, FALSE, sizeof(struct room));
	p->units = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	p->runs = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void
gyp_placer_free(struct gyp_placer *p)
{
	if (p == NULL)
		return;
	g_array_free(p->rooms, TRUE);
	g_array_free(p->units, TRUE);
	g_ptr_array_free(p->runs, TRUE);
	g_free(p);
}
