#include <string.h>

#include "rooms.h"

/*
 * What takes an endpoint back in the order, in shares of free processors:
 * a failure since its last success, and a pace of twice the usual time.
 */
#define DOUBT_COST 0.5
#define PACE_COST  0.4

/* What the rack where a step's data lies is worth, likewise. */
#define DATA_WORTH 2

/*
 * Free processors are told apart in steps of this, in thousandths, up to a
 * largest one: an exact order would cost more than all comparisons of a round.
 */
#define STEP_MILLI 500
#define STEPS      256
#define STEP_GONE  STEPS /* of an endpoint that is no more */

struct gyp_rooms {
	const struct gyp_flows *flows;
	const struct gyp_fleet *fleet;
	const struct gyp_run_stats *track;
	const struct gyp_preempt *preempt;
	uint32_t round;     /* counts rounds, from 1 */
	GArray *rooms;      /* struct gyp_room by row */
	GArray *steps;      /* uint32_t by row, at the start of the round */
	GArray *order;      /* uint32_t, rows by step, the most free first */
	bool ordered;       /* order is that of this round */
	uint32_t at[STEPS]; /* rows of each step, while they are ordered */
	uint64_t compared;
	uint64_t now;
};

static uint32_t
step_of(uint64_t cpu_milli)
{
	return (uint32_t)MIN(cpu_milli / STEP_MILLI, STEPS - 1);
}

/* ---- Measuring ---------------------------------------------------------- */

static void
measure_capacity(struct gyp_room *room, const struct gyp_host *h)
{
	room->left = h->capacity;
	room->left.slots = 0;
	if (!gyp_res_fits(&h->booked, &room->left))
		return;
	room->host = h;
	gyp_res_sub(&room->left, &h->booked);
	room->serves = h->serving > 0;
	room->filled = h->filling > 0;
}

static void
measure_room(const struct gyp_rooms *r, struct gyp_room *room, uint32_t row)
{
	memset(room, 0, sizeof(*room));
	room->round = r->round;
	room->word = gyp_run_stats_state(r->track, row, r->now);
	room->pace = gyp_run_stats_slowdown(r->track, row);
	room->coming = gyp_preempt_coming(r->preempt, row);
	if (gyp_fleet_usable(r->fleet, row) &&
	    room->word < GYP_RUN_STATS_PROBING)
		measure_capacity(room, gyp_host_at(r->flows, row));
}

/* The step of what an endpoint has left; false when it is gone. */
static bool
find_step(const struct gyp_rooms *r, uint32_t row, uint32_t *step)
{
	const struct gyp_host *h = gyp_host_at(r->flows, row);
	uint64_t left;

	if (h == NULL)
		return false;
	left = h->capacity.cpu_milli -
	       MIN(h->capacity.cpu_milli, h->booked.cpu_milli);
	*step = step_of(left);
	return true;
}

/* Sorts the endpoints by counting those of each step. */
static void
make_order(struct gyp_rooms *r)
{
	uint32_t row, i, step, before = 0;

	memset(r->at, 0, sizeof(r->at));
	g_array_set_size(r->steps, r->rooms->len);
	for (row = 0; row < r->rooms->len; row++) {
		if (find_step(r, row, &step))
			r->at[step]++;
		else
			step = STEP_GONE;
		g_array_index(r->steps, uint32_t, row) = step;
	}
	for (i = STEPS; i-- > 0;) {
		uint32_t n = r->at[i];

		r->at[i] = before;
		before += n;
	}
	g_array_set_size(r->order, before);
	for (row = 0; row < r->rooms->len; row++) {
		step = g_array_index(r->steps, uint32_t, row);
		if (step != STEP_GONE)
			g_array_index(r->order, uint32_t, r->at[step]++) = row;
	}
	r->ordered = true;
}

void
gyp_rooms_begin(struct gyp_rooms *r, uint64_t now)
{
	g_array_set_size(r->rooms, gyp_hosts_size(r->flows));
	r->round++;
	r->ordered = false;
	r->compared = 0;
	r->now = now;
}

/* ---- Access ------------------------------------------------------------- */

struct gyp_room *
gyp_rooms_at(const struct gyp_rooms *r, uint32_t row)
{
	struct gyp_room *room = &g_array_index(r->rooms, struct gyp_room, row);

	if (room->round != r->round)
		measure_room(r, room, row);
	return room;
}

uint32_t
gyp_rooms_size(const struct gyp_rooms *r)
{
	return r->rooms->len;
}

uint64_t
gyp_rooms_now(const struct gyp_rooms *r)
{
	return r->now;
}

bool
gyp_rooms_nth(struct gyp_rooms *r, guint i, uint64_t cpu_milli, uint32_t *row)
{
	if (!r->ordered)
		make_order(r);
	if (i >= r->order->len)
		return false;
	*row = g_array_index(r->order, uint32_t, i);
	return g_array_index(r->steps, uint32_t, *row) >= step_of(cpu_milli);
}

uint64_t
gyp_rooms_compared(const struct gyp_rooms *r)
{
	return r->compared;
}

void
gyp_rooms_count(struct gyp_rooms *r, guint n)
{
	r->compared += n;
}

/* ---- One endpoint and one unit ------------------------------------------ */

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

bool
gyp_room_suits(const struct gyp_room *room, const struct gyp_candidate *c)
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

uint32_t
gyp_room_count(const struct gyp_room *room, const struct gyp_candidate *c)
{
	return gyp_room_count_of(room, c, &room->left);
}

uint32_t
gyp_room_count_of(const struct gyp_room *room, const struct gyp_candidate *c,
    const struct gyp_res *have)
{
	const Gyp__FlowStep *step = c->unit->step;
	struct gyp_res size = c->unit->size;
	uint64_t n = step->count;

	if (size.cpu_milli > 0)
		n = MIN(n, have->cpu_milli / size.cpu_milli);
	if (size.memory > 0)
		n = MIN(n, have->memory / size.memory);
	if (size.accel > 0)
		n = MIN(n, have->accel / size.accel);
	if (n > 0 && step->spread > 0) {
		uint32_t there = count_there(c->flow, c->unit, room->host->row);

		n = MIN(n, step->spread > there ? step->spread - there : 0);
	}
	/* After a quarantine, one run tells. */
	if (room->word == GYP_RUN_STATS_PROBE)
		n = MIN(n, 1);
	return (uint32_t)n;
}

bool
gyp_candidate_packs(const struct gyp_candidate *c)
{
	return c->unit->size.accel > 0;
}

/* From 0 to 1: where accelerators are free, or where processors are. */
static double
score_room(const struct gyp_room *room, const struct gyp_candidate *c)
{
	double total = room->host->capacity.cpu_milli + 1;

	if (gyp_candidate_packs(c))
		return 1 - (double)room->left.accel /
			       (room->host->capacity.accel + 1);
	return room->left.cpu_milli / total;
}

double
gyp_room_score(const struct gyp_room *room, const struct gyp_candidate *c)
{
	double score = score_room(room, c);
	const Gyp__FlowStep *step = c->unit->step;

	if (step->data_rack[0] != '\0' &&
	    strcmp(step->data_rack, room->host->spec->rack) == 0)
		score += DATA_WORTH;
	if (room->word == GYP_RUN_STATS_SUSPECT)
		score -= DOUBT_COST;
	return score - (room->pace - 1) * PACE_COST;
}

void
gyp_room_take(struct gyp_room *room, const struct gyp_candidate *c)
{
	gyp_res_sub(&room->left, &c->unit->size);
	room->serves = room->serves || c->unit->step->tail_ms > 0;
	room->filled = room->filled || c->unit->step->fills;
	if (room->word == GYP_RUN_STATS_PROBE)
		room->host = NULL;
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_rooms *
gyp_rooms_new(const struct gyp_flows *flows, const struct gyp_fleet *fleet,
    const struct gyp_run_stats *track, const struct gyp_preempt *preempt)
{
	struct gyp_rooms *r = g_new0(struct gyp_rooms, 1);

	r->flows = flows;
	r->fleet = fleet;
	r->track = track;
	r->preempt = preempt;
	r->rooms = g_array_new(FALSE, TRUE, sizeof(struct gyp_room));
	r->steps = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	r->order = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return r;
}

void
gyp_rooms_free(struct gyp_rooms *r)
{
	if (r == NULL)
		return;
	g_array_free(r->rooms, TRUE);
	g_array_free(r->steps, TRUE);
	g_array_free(r->order, TRUE);
	g_free(r);
}
