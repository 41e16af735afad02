#include "reserve.h"
#include "fits.h"

/* What a place counts less for each part of a task that stops must free. */
#define STOP_COST 10

static struct gyp_res
sum_of(const struct gyp_res *a, const struct gyp_res *b)
{
	struct gyp_res sum = *a;

	gyp_res_add(&sum, b);
	return sum;
}

static uint64_t
shortage(uint64_t need, uint64_t have)
{
	return need > have ? need - have : 0;
}

/* What is missing of a task's size. */
static struct gyp_res
missing(const struct gyp_res *size, const struct gyp_res *have)
{
	struct gyp_res res = {
	    .cpu_milli = shortage(size->cpu_milli, have->cpu_milli),
	    .memory = shortage(size->memory, have->memory),
	    .accel = shortage(size->accel, have->accel)};

	return res;
}

/* Takes a task off what is free, and what is short there off what comes. */
static void
take(struct gyp_room *room, const struct gyp_res *size)
{
	struct gyp_res later = missing(size, &room->left);
	struct gyp_res now = *size;

	now.slots = 0;
	gyp_res_sub(&now, &later);
	gyp_res_sub(&room->left, &now);
	gyp_res_sub(&room->coming, &later);
}

/* ---- Places ------------------------------------------------------------- */

/* An endpoint that was allowed keeps its place while its ticket is renewed. */
static bool
is_allowed(const struct gyp_admission_unit *known,
    const struct gyp_admission *a, const struct gyp_rooms *rooms, uint32_t row)
{
	return gyp_admission_word(a, known, row, gyp_rooms_now(rooms)) !=
	       GYP_ADMISSION_NO;
}

/* The part of a task's size that is neither free nor coming, 0 to 1. */
static double
part_missing(const struct gyp_room *room, const struct gyp_res *size)
{
	struct gyp_res have = sum_of(&room->left, &room->coming);
	struct gyp_res need = missing(size, &have);
	double part = 0;

	if (size->cpu_milli > 0)
		part = MAX(part, (double)need.cpu_milli / size->cpu_milli);
	if (size->memory > 0)
		part = MAX(part, (double)need.memory / size->memory);
	if (size->accel > 0)
		part = MAX(part, (double)need.accel / size->accel);
	return part;
}

static void
add_place(const struct gyp_rooms *rooms, struct gyp_preempt *preempt,
    const struct gyp_candidate *c, uint32_t row, bool preempts, GArray *places)
{
	struct gyp_room *room = gyp_rooms_at(rooms, row);
	struct gyp_fit place = {.row = row};
	struct gyp_res have, yield;
	uint32_t soon;

	if (!gyp_room_suits(room, c) || room->word > GYP_RUN_STATS_SUSPECT)
		return;
	have = sum_of(&room->left, &room->coming);
	soon = gyp_room_count_of(room, c, &have);
	place.count = soon;
	if (preempts && soon < c->unit->step->count) {
		yield = gyp_preempt_yield(
		    preempt, row, c->flow->spec->queue->priority);
		have = sum_of(&have, &yield);
		place.count = gyp_room_count_of(room, c, &have);
	}
	if (place.count == 0)
		return;
	place.score = gyp_room_score(room, c) -
		      STOP_COST * part_missing(room, &c->unit->size);
	g_array_append_val(places, place);
}

static GArray *
find_places(const struct gyp_rooms *rooms, struct gyp_preempt *preempt,
    const struct gyp_admission *a, const struct gyp_candidate *c, bool preempts)
{
	const struct gyp_admission_unit *known =
	    gyp_admission_unit(a, c->flow, c->unit);
	GArray *places = gyp_fits_new();
	const uint32_t *rows;
	guint i, n;

	if (!c->flow->spec->queue->admission) {
		for (i = 0; i < gyp_rooms_size(rooms); i++)
			add_place(rooms, preempt, c, i, preempts, places);
		return places;
	}
	rows = gyp_admission_allowed(known, &n);
	for (i = 0; i < n; i++) {
		if (rows[i] < gyp_rooms_size(rooms) &&
		    is_allowed(known, a, rooms, rows[i]))
			add_place(rooms, preempt, c, rows[i], preempts, places);
	}
	return places;
}

/* ---- Reservation -------------------------------------------------------- */

/* Reserves one task at the endpoint; false when there will be no room. */
static bool
reserve_one(struct gyp_room *room, struct gyp_preempt *preempt,
    const struct gyp_candidate *c, uint32_t row, bool preempts)
{
	const struct gyp_res *size = &c->unit->size;
	struct gyp_res have = sum_of(&room->left, &room->coming);
	struct gyp_res need = missing(size, &have);
	struct gyp_res freed = {0, 0, 0, 0};

	if (need.cpu_milli + need.memory + need.accel > 0) {
		if (!preempts || !gyp_preempt_pick(preempt, row,
				     c->flow->spec->queue->priority, &need,
				     c->flow->id, &freed))
			return false;
		gyp_res_add(&room->coming, &freed);
	}
	take(room, size);
	return true;
}

uint32_t
gyp_reserve(struct gyp_rooms *rooms, struct gyp_preempt *preempt,
    const struct gyp_admission *a, const struct gyp_candidate *c,
    uint32_t waiting, bool preempts)
{
	GArray *places = find_places(rooms, preempt, a, c, preempts);
	uint32_t reserved = 0;
	guint i;

	if (c->unit->step->gang && gyp_fits_total(places) < waiting) {
		g_array_free(places, TRUE);
		return 0;
	}
	gyp_fits_sort(places);
	for (i = 0; i < places->len && reserved < waiting; i++) {
		struct gyp_fit *place =
		    &g_array_index(places, struct gyp_fit, i);
		struct gyp_room *room = gyp_rooms_at(rooms, place->row);

		while (place->count > 0 && reserved < waiting &&
		       reserve_one(room, preempt, c, place->row, preempts)) {
			place->count--;
			reserved++;
		}
	}
	g_array_free(places, TRUE);
	return reserved;
}
