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

struct order {
	uint64_t cpu_milli; /* free at the start of the round */
	uint32_t row;
};

struct gyp_rooms {
	GArray *rooms;  /* struct gyp_room by row */
	GArray *orders; /* struct order, the most free first */
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

static gint
by_free(gconstpointer a, gconstpointer b)
{
	const struct order *x = a, *y = b;

	if (x->cpu_milli != y->cpu_milli)
		return x->cpu_milli > y->cpu_milli ? -1 : 1;
	return x->row < y->row ? -1 : x->row > y->row;
}

void
gyp_rooms_measure(struct gyp_rooms *r, const struct gyp_flows *flows,
    const struct gyp_fleet *fleet, const struct gyp_track *track, uint64_t now)
{
	uint32_t row;

	g_array_set_size(r->rooms, gyp_hosts_size(flows));
	g_array_set_size(r->orders, 0);
	r->compared = 0;
	r->now = now;
	for (row = 0; row < r->rooms->len; row++) {
		struct gyp_room *room = gyp_rooms_at(r, row);
		struct order order = {.row = row};

		memset(room, 0, sizeof(*room));
		room->word = gyp_track_word(track, row, now);
		room->pace = gyp_track_pace(track, row);
		measure_room(room, flows, fleet, row);
		if (room->host == NULL)
			continue;
		order.cpu_milli = room->left.cpu_milli;
		g_array_append_val(r->orders, order);
	}
	g_array_sort(r->orders, by_free);
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
gyp_rooms_nth(
    const struct gyp_rooms *r, guint i, uint64_t cpu_milli, uint32_t *row)
{
	const struct order *order;

	if (i >= r->orders->len)
		return false;
	order = &g_array_index(r->orders, struct order, i);
	*row = order->row;
	return order->cpu_milli >= cpu_milli;
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
	r->orders = g_array_new(FALSE, FALSE, sizeof(struct order));
	return r;
}

void
gyp_rooms_free(struct gyp_rooms *r)
{
	if (r == NULL)
		return;
	g_array_free(r->rooms, TRUE);
	g_array_free(r->orders, TRUE);
	g_free(r);
}
