#include "flow_sim_int.h"

/* Time between two endpoints that begin to drain, in ms. */
#define PAUSE_MIN_MS 1500
#define PAUSE_MAX_MS 6000

/* From the report that it drains to the announcement of the shutdown, in ms. */
#define DRAIN_MIN_MS 2000
#define DRAIN_MAX_MS 6000

/* From the announcement to the end: acknowledged, and in vain, in ms. */
#define ACKED_END_MS    60
#define GOES_ON_MIN_MS  1000
#define GOES_ON_MAX_MS  5500
#define IN_VAIN_PERCENT 60

/* Longest time until an endpoint takes the place of one that left, in ms. */
#define REPLACED_MAX_MS 3000

/* An endpoint that was up for longer before it drained had no restart, in ms.
 */
#define SETTLED_MS 25000

/* Longest time from its end until its runs are closed, in ms: its lease. */
#define CLOSED_MS (FLOW_SIM_LEASE_MS + 1000)

/* An endpoint that left as planned. */
struct left {
	char id[8];
	uint64_t drained_at;
	uint64_t ended_at;
	bool settled;
};

struct flow_sim_departures {
	GRand *rand;
	uint64_t next_at;
	GArray *left;     /* struct left */
	GQueue announced; /* struct flow_sim_departure */
	uint64_t in_vain; /* announcements without an acknowledgement */
};

static uint64_t
draw_ms(struct flow_sim *s, gint32 from, gint32 to)
{
	return (uint64_t)g_rand_int_range(s->departures->rand, from, to);
}

/*
 * Without an acknowledgement the endpoint goes on, cut off; the announcement
 * has arrived nevertheless.
 */
static void
announce(struct flow_sim *s, struct endpoint *e)
{
	struct flow_sim_departures *d = s->departures;
	struct flow_sim_departure *a = g_new0(struct flow_sim_departure, 1);

	g_strlcpy(a->id, e->id, sizeof(a->id));
	if (g_rand_boolean(d->rand))
		a->incarnation_start_ms = e->incarnation_start_ms;
	g_queue_push_tail(&d->announced, a);
	e->announces_at = 0;
	e->leaves_at = s->now + ACKED_END_MS;
	if (g_rand_int_range(d->rand, 0, 100) >= IN_VAIN_PERCENT)
		return;
	d->in_vain++;
	e->leaves_at = s->now + draw_ms(s, GOES_ON_MIN_MS, GOES_ON_MAX_MS);
	e->disconnected_until = G_MAXUINT64;
}

static void
leave(struct flow_sim *s, struct endpoint *e)
{
	struct left left = {.drained_at = e->drained_at,
	    .ended_at = s->now,
	    .settled = e->drained_at >= e->up_at + SETTLED_MS};

	g_strlcpy(left.id, e->id, sizeof(left.id));
	g_array_append_val(s->departures->left, left);
	e->generation++;
	g_snprintf(e->id, sizeof(e->id), "e%u.%u",
	    (unsigned)(e - s->endpoints) % 100, e->generation % 1000);
	e->disconnected_until = 0;
	flow_sim_restart(s, e, draw_ms(s, 300, REPLACED_MAX_MS));
}

static void
begin_drain(struct flow_sim *s)
{
	struct endpoint *e = &s->endpoints[g_rand_int_range(
	    s->departures->rand, 0, (gint32)s->n_endpoints)];

	s->departures->next_at =
	    s->now + draw_ms(s, PAUSE_MIN_MS, PAUSE_MAX_MS);
	if (!is_up(s, e) || s->now < e->disconnected_until ||
	    e->drained_at != 0)
		return;
	e->drained_at = s->now;
	e->announces_at = s->now + draw_ms(s, DRAIN_MIN_MS, DRAIN_MAX_MS);
}

void
flow_sim_departures_tick(struct flow_sim *s)
{
	guint i;

	if (s->faults && s->now >= s->departures->next_at)
		begin_drain(s);
	for (i = 0; i < s->n_endpoints; i++) {
		struct endpoint *e = &s->endpoints[i];

		if (e->announces_at != 0 && s->now >= e->announces_at)
			announce(s, e);
		else if (e->leaves_at != 0 && s->now >= e->leaves_at)
			leave(s, e);
	}
}

struct flow_sim_departure *
flow_sim_pop_departure(struct flow_sim *s)
{
	return g_queue_pop_head(&s->departures->announced);
}

uint64_t
flow_sim_departed_in_vain(const struct flow_sim *s)
{
	return s->departures->in_vain;
}

/* ---- Check -------------------------------------------------------------- */

/*
 * True if nothing more is to be seen of the endpoint that left. Aborts the
 * program if its runs stay open for too long.
 */
static bool
is_settled(struct flow_sim *s, const struct left *left, uint64_t leader_since)
{
	const struct gyp_host *h = gyp_host_by_id(s->flows, left->id);

	/* A leader counts the leases anew. */
	if (h == NULL || h->runs->len == 0 || !left->settled ||
	    leader_since > left->drained_at)
		return true;
	if (s->now > left->ended_at + CLOSED_MS)
		g_error("endpoint %s left %" G_GUINT64_FORMAT
			" ms ago and has %u runs",
		    left->id, s->now - left->ended_at, h->runs->len);
	return false;
}

void
flow_sim_check_departures(
    struct flow_sim *s, uint64_t now, uint64_t leader_since)
{
	GArray *left = s->departures->left;
	guint i = 0;

	s->now = now;
	while (i < left->len) {
		if (is_settled(
			s, &g_array_index(left, struct left, i), leader_since))
			g_array_remove_index_fast(left, i);
		else
			i++;
	}
}

/* ---- Construction ------------------------------------------------------- */

void
flow_sim_use_departures(struct flow_sim *s, uint32_t seed)
{
	s->departures = g_new0(struct flow_sim_departures, 1);
	s->departures->rand = g_rand_new_with_seed(seed);
	s->departures->left = g_array_new(FALSE, FALSE, sizeof(struct left));
}

void
flow_sim_departures_free(struct flow_sim *s)
{
	struct flow_sim_departures *d = s->departures;

	g_queue_clear_full(&d->announced, g_free);
	g_array_free(d->left, TRUE);
	g_rand_free(d->rand);
	g_free(d);
}
