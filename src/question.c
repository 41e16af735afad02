#include "question.h"
#include "fits.h"

/* Fewest and most endpoints named in one question; the service takes 100. */
#define ASK_MIN 6
#define ASK_MAX 100

/* Pause after nothing was found to ask about a unit, in ms. */
#define REST_MS 40

/*
 * Endpoints compared for one question, unless tasks go together on the fullest:
 * they come in the order of their free processors, so the best are among them.
 */
#define COMPARED_MAX (2 * ASK_MAX)

/* Added to the score of an endpoint with room, and of one known as allowed. */
#define ROOM_WORTH    100
#define ALLOWED_WORTH 10

/* Naming so many endpoints costs a quarter of the question itself. */
static guint
cheap_to_name(const Gyp__FlowQueue *q)
{
	double n = q->admission_each_ms > 0
		       ? q->admission_ms / (4 * q->admission_each_ms)
		       : ASK_MAX;

	return (guint)CLAMP(n, ASK_MIN, ASK_MAX);
}

/*
 * Adds the endpoint unless it does not suit or its answer is known; true when
 * it has room.
 */
static bool
consider(GArray *fits, const struct gyp_room *room, uint32_t row,
    enum gyp_admission_word word, const struct gyp_candidate *c)
{
	struct gyp_fit fit = {.row = row};

	if ((word != GYP_ADMISSION_UNKNOWN && word != GYP_ADMISSION_STALE) ||
	    !gyp_room_suits(room, c))
		return false;
	fit.count = gyp_room_count(room, c);
	fit.known = word == GYP_ADMISSION_STALE;
	fit.score = gyp_room_score(room, c) + (fit.known ? ALLOWED_WORTH : 0) +
		    (fit.count > 0 ? ROOM_WORTH : 0);
	g_array_append_val(fits, fit);
	return fit.count > 0;
}

/* Endpoints worth asking about, best first; none unless one has room. */
static GArray *
find_unasked(const struct gyp_admission *a, struct gyp_rooms *rooms,
    const struct gyp_candidate *c, uint64_t now, guint cheap)
{
	GArray *fits = gyp_fits_new();
	const struct gyp_admission_unit *known =
	    gyp_admission_unit(a, c->flow, c->unit);
	bool any = false;
	uint32_t row;
	guint i;

	for (i = 0; i < gyp_rooms_size(rooms); i++) {
		bool fits_cpu =
		    gyp_rooms_nth(rooms, i, c->unit->size.cpu_milli, &row);

		if (!fits_cpu && (!any || fits->len >= cheap))
			break;
		if (fits->len >= COMPARED_MAX && !gyp_candidate_packs(c))
			break;
		any |= consider(fits, gyp_rooms_at(rooms, row), row,
		    gyp_admission_word(a, known, row, now), c);
	}
	gyp_rooms_count(rooms, i);
	gyp_fits_keep_best(fits, any ? ASK_MAX : 0);
	return fits;
}

/*
 * Endpoints to name so that about enough of them are allowed, when a share of
 * those that are not known is.
 */
static guint
count_to_ask(const GArray *fits, uint32_t waiting, guint cheap, double share)
{
	double expected = 0; /* tasks */
	guint n;

	for (n = 0; n < fits->len && n < ASK_MAX; n++) {
		const struct gyp_fit *fit =
		    &g_array_index(fits, struct gyp_fit, n);

		if (n >= cheap && expected >= waiting)
			break;
		expected += fit->count * (fit->known ? 1 : share);
	}
	return n;
}

Gyp__Ask *
gyp_question_for(struct gyp_admission *a, struct gyp_rooms *rooms,
    const struct gyp_candidate *c, uint32_t waiting, uint64_t now)
{
	const struct gyp_admission_unit *known =
	    gyp_admission_unit(a, c->flow, c->unit);
	guint cheap = cheap_to_name(c->flow->spec->queue);
	uint32_t rows[ASK_MAX];
	GArray *fits;
	guint i, n;

	if (!c->flow->spec->queue->admission ||
	    gyp_admission_is_asking(known) || gyp_admission_rests(known, now))
		return NULL;
	fits = find_unasked(a, rooms, c, now, cheap);
	n = count_to_ask(fits, waiting, cheap,
	    gyp_admission_share(a, c->flow->spec->queue->name));
	for (i = 0; i < n; i++)
		rows[i] = g_array_index(fits, struct gyp_fit, i).row;
	g_array_free(fits, TRUE);
	if (n == 0) {
		gyp_admission_rest(a, c->flow, c->unit, now + REST_MS);
		return NULL;
	}
	return gyp_admission_ask(a, now, c->flow, c->unit, rows, n);
}
