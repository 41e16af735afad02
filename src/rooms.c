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

struct gyp_rooms {
	GArray *rooms;      /* struct gyp_room by row */
	GArray *steps;      /* uint32_t by row, at the start of the round */
	GArray *order;      /* uint32_t, rows by step, the most free first */
	bool ordered;       /* order is that of this round */
	uint32_t at[STEPS]; /* rows of each step, while they are ordered */
	uint64_t compared;
	uint64_t now;
};

/* ---- Measuring ---------------------------------------------------------- */

static void
measure_room(struct gyp_room *room, const struct gyp_flows *flows,
    const struct gyp_fleet *fleet, uint32_t row)
{
	const struct gyp_host *h;

	if (!gyp_fleet_usable(fleet, row) || room->word >= GYP_TRACK_PROBING)
		return;
	h = gyp_host_at(flows, row);
	room->left = h->capacity;
	room->left.slots = 0;
	if (!gyp_res_fits(&h->booked, &room->left))
		return;
	room->host = h;
	gyp_res_sub(&room->left, &h->booked);
	room->serves = h->serving > 0;
	room->filled = h->filling > 0;
}

static uint32_t
step_of(uint64_t cpu_milli)
{
	return (uint32_t)MIN(cpu_milli / STEP_MILLI, STEPS - 1);
}

/* Sorts the rows that take something by counting those of each step. */
static void
make_order(struct gyp_rooms *r)
{
	uint32_t row, i, before = 0;

	memset(r->at, 0, sizeof(r->at));
	for (row = 0; row < r->rooms->len; row++) {
		if (gyp_rooms_at(r, row)->host != NULL)
			r->at[g_array_index(r->steps, uint32_t, row)]++;
	}
	for (i = STEPS; i-- > 0;) {
		uint32_t n = r->at[i];

		r->at[i] = before;
		before += n;
	}
	g_array_set_size(r->order, before);
	for (row = 0; row < r->rooms->len; row++) {
		uint32_t step = g_array_index(r->steps, uint32_t, row);

		if (gyp_rooms_at(r, row)->host != NULL)
			g_array_index(r->order, uint32_t, r->at[step]++) = row;
	}
	r->ordered = true;
}

void
gyp_rooms_measure(struct gyp_rooms *r, const struct gyp_flows *flows,
    const struct gyp_fleet *fleet, const struct gyp_track *track, uint64_t now)
{
	uint32_t row;

	g_array_set_size(r->rooms, gyp_hosts_size(flows));
	g_array_set_size(r->steps, r->rooms->len);
	r->ordered = false;
	r->compared = 0;
	r->now = now;
	for (row = 0; row < r->rooms->len; row++) {
		struct gyp_room *room = gyp_rooms_at(r, row);

		memset(room, 0, sizeof(*room));
		room->word = gyp_track_word(track, row, now);
		room->pace = gyp_track_pace(track, row);
		measure_room(room, flows, fleet, row);
		g_array_index(r->steps, uint32_t, row) =
		    step_of(room->left.cpu_milli);
	}
}

/* ---- Access ------------------------------------------------------------- */

struct gyp_room *
gyp_rooms_at(const struct gyp_rooms *r, uint32_t row)
{
	return &g_array_index(r->rooms, struct gyp_room, row);
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
	if (room->word == GYP_TRACK_PROBE)
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
	if (room->word == GYP_TRACK_DOUBTFUL)
		score -= DOUBT_COST;
	return score - (room->pace - 1) * PACE_COST;
}

void
gyp_room_take(struct gyp_room *room, const struct gyp_candidate *c)
{
	gyp_res_sub(&room->left, &c->unit->size);
	room->serves = room->serves || c->unit->step->tail_ms > 0;
	room->filled = room->filled || c->unit->step->fills;
	if (room->word == GYP_TRACK_PROBE)
		room->host = NULL;
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_rooms *
gyp_rooms_new(void)
{
	struct gyp_rooms *r = g_new0(struct gyp_rooms, 1);

	r->rooms = g_array_new(FALSE, FALSE, sizeof(struct gyp_room));
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
