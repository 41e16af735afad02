#include <glib.h>

#include "carriers.h"
#include "rendezvous.h"

/* Interval of the scan for lost calls, in ms. */
#define SCAN_MS 50

struct carrier {
	uint64_t id;
	uint64_t last_seen_at;
	uint64_t backoff_until;
	bool draining;
	bool connected;
	bool reported_live; /* the last change reported was live */
};

/* A carrier that was lost or is live again. */
struct change {
	uint64_t entry;
	bool live;
};

struct carried_call {
	uint64_t call;
	uint64_t entry;
	uint64_t give_up_at;
	bool poll;
};

/* The carrier of an endpoint. */
struct assignment {
	uint64_t entry;
	uint64_t generation; /* of the carriers at the time of the choice */
};

struct gyp_carriers {
	GHashTable *carriers; /* id -> struct carrier */
	GHashTable *calls;    /* id -> struct carried_call */
	GArray *assignments;  /* struct assignment by row */
	GArray *lost;         /* uint64_t, ids of calls */
	GQueue changes;       /* struct change */
	uint64_t generation;  /* incremented when a carrier becomes live */
	uint64_t scan_at;
	uint32_t direct_left; /* direct calls that the rate limit allows */
	uint64_t direct_at;   /* time of the latest update of direct_left */
};

static bool
is_live(const struct carrier *c, uint64_t now)
{
	return c != NULL && !c->draining && c->connected &&
	       now < c->last_seen_at + GYP_CARRIER_SILENT_MS &&
	       now >= c->backoff_until;
}

static void
report_change(struct gyp_carriers *cs, struct carrier *c, bool live)
{
	struct change *change;

	if (c->reported_live == live)
		return;
	c->reported_live = live;
	change = g_new(struct change, 1);
	change->entry = c->id;
	change->live = live;
	g_queue_push_tail(&cs->changes, change);
}

void
gyp_carriers_seen(struct gyp_carriers *cs, uint64_t now, uint64_t entry)
{
	struct carrier *c = g_hash_table_lookup(cs->carriers, &entry);

	if (c == NULL) {
		c = g_new0(struct carrier, 1);
		c->id = entry;
		g_hash_table_insert(cs->carriers, &c->id, c);
	}
	if (!is_live(c, now))
		cs->generation++;
	c->last_seen_at = now;
	c->connected = true;
	if (is_live(c, now))
		report_change(cs, c, true);
}

static void
lose_polls(struct gyp_carriers *cs, uint64_t entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cs->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct carried_call *call = value;

		if (call->entry != entry || !call->poll)
			continue;
		g_array_append_val(cs->lost, call->call);
		g_hash_table_iter_remove(&iter);
	}
}

void
gyp_carriers_draining(struct gyp_carriers *cs, uint64_t now, uint64_t entry)
{
	struct carrier *c = g_hash_table_lookup(cs->carriers, &entry);

	if (c == NULL)
		return;
	c->last_seen_at = now;
	if (c->draining)
		return;
	c->draining = true;
	report_change(cs, c, false);
	lose_polls(cs, entry);
}

void
gyp_carriers_disconnected(struct gyp_carriers *cs, uint64_t entry)
{
	struct carrier *c = g_hash_table_lookup(cs->carriers, &entry);

	if (c == NULL)
		return;
	c->connected = false;
	report_change(cs, c, false);
	lose_polls(cs, entry);
}

static uint64_t
choose_carrier(const struct gyp_carriers *cs, uint64_t now, uint32_t row)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t best = 0, best_weight = 0;

	g_hash_table_iter_init(&iter, cs->carriers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct carrier *c = value;
		uint64_t weight = gyp_rendezvous_weight(c->id, row);

		if (!is_live(c, now) || weight < best_weight)
			continue;
		best = c->id;
		best_weight = weight;
	}
	return best;
}

uint64_t
gyp_carriers_pick(struct gyp_carriers *cs, uint64_t now, uint32_t row)
{
	struct assignment *p;

	if (row >= cs->assignments->len)
		g_array_set_size(cs->assignments, row + 1);
	p = &g_array_index(cs->assignments, struct assignment, row);
	if (p->generation == cs->generation &&
	    is_live(g_hash_table_lookup(cs->carriers, &p->entry), now))
		return p->entry;
	p->entry = choose_carrier(cs, now, row);
	p->generation = cs->generation;
	return p->entry;
}

void
gyp_carriers_sent(struct gyp_carriers *cs, uint64_t now, uint64_t call,
    bool poll, uint32_t timeout_ms, uint64_t entry)
{
	struct carried_call *c = g_new0(struct carried_call, 1);

	c->call = call;
	c->entry = entry;
	c->poll = poll;
	c->give_up_at = now + timeout_ms + GYP_CARRIER_TRANSIT_MS;
	g_hash_table_insert(cs->calls, &c->call, c);
}

bool
gyp_carriers_answered(struct gyp_carriers *cs, uint64_t call)
{
	return g_hash_table_remove(cs->calls, &call);
}

/* ---- Lost calls --------------------------------------------------------- */

static void
back_off_carrier(struct gyp_carriers *cs, uint64_t now, uint64_t entry)
{
	struct carrier *c = g_hash_table_lookup(cs->carriers, &entry);

	if (c == NULL)
		return;
	c->backoff_until = now + GYP_CARRIER_BACKOFF_MS;
	report_change(cs, c, false);
}

/* True if no answer can be expected: the carrier is lost or time is up. */
static bool
is_lost(const struct gyp_carriers *cs, const struct carried_call *call,
    uint64_t now)
{
	const struct carrier *c =
	    g_hash_table_lookup(cs->carriers, &call->entry);

	return c == NULL || now >= call->give_up_at ||
	       now >= c->last_seen_at + GYP_CARRIER_SILENT_MS;
}

static void
scan_lost(struct gyp_carriers *cs, uint64_t now)
{
	GHashTableIter iter;
	gpointer value;

	cs->scan_at = now + SCAN_MS;
	g_hash_table_iter_init(&iter, cs->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct carried_call *call = value;

		if (!is_lost(cs, call, now))
			continue;
		back_off_carrier(cs, now, call->entry);
		g_array_append_val(cs->lost, call->call);
		g_hash_table_iter_remove(&iter);
	}
}

bool
gyp_carriers_pop_lost(struct gyp_carriers *cs, uint64_t now, uint64_t *call)
{
	if (now >= cs->scan_at)
		scan_lost(cs, now);
	if (cs->lost->len == 0)
		return false;
	*call = g_array_index(cs->lost, uint64_t, cs->lost->len - 1);
	g_array_set_size(cs->lost, cs->lost->len - 1);
	return true;
}

bool
gyp_carriers_take_direct_call(struct gyp_carriers *cs, uint64_t now)
{
	uint64_t more = (now - cs->direct_at) * GYP_DIRECT_CALLS_PER_MS;

	cs->direct_left =
	    (uint32_t)MIN(cs->direct_left + more, GYP_DIRECT_CALLS_MAX);
	cs->direct_at = now;
	if (cs->direct_left == 0)
		return false;
	cs->direct_left--;
	return true;
}

bool
gyp_carriers_pop_change(struct gyp_carriers *cs, uint64_t *entry, bool *live)
{
	struct change *change = g_queue_pop_head(&cs->changes);

	if (change == NULL)
		return false;
	*entry = change->entry;
	*live = change->live;
	g_free(change);
	return true;
}

/* ---- Construction ------------------------------------------------------- */

struct gyp_carriers *
gyp_carriers_new(void)
{
	struct gyp_carriers *cs = g_new0(struct gyp_carriers, 1);

	cs->carriers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	cs->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	cs->assignments = g_array_new(FALSE, TRUE, sizeof(struct assignment));
	cs->lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return cs;
}

void
gyp_carriers_free(struct gyp_carriers *cs)
{
	if (cs == NULL)
		return;
	g_hash_table_destroy(cs->carriers);
	g_hash_table_destroy(cs->calls);
	g_array_free(cs->assignments, TRUE);
	g_array_free(cs->lost, TRUE);
	g_queue_clear_full(&cs->changes, g_free);
	g_free(cs);
}
