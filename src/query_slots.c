#include "query_slots.h"
#include "admission_query.h"

/*
 * Queries that take SLOW_QUERY_MS or longer leave one query slot in
 * RESERVED_SLOTS_DIVISOR free for quicker ones.
 */
#define SLOW_QUERY_MS          100
#define RESERVED_SLOTS_DIVISOR 5

/*
 * Prefetched queries leave one query slot in PREFETCH_RESERVED_DIVISOR free for
 * units that are ready.
 */
#define PREFETCH_RESERVED_DIVISOR 3

/*
 * A unit gets a second query at a time only while more than one slot in
 * SECOND_QUERY_DIVISOR is free: otherwise other units need the slots for their
 * first one.
 */
#define SECOND_QUERY_DIVISOR 2

bool
gyp_query_is_quick(const struct gyp_candidate *c)
{
	return c->flow->spec->queue->admission_ms < SLOW_QUERY_MS;
}

/*
 * Returns how many of the free slots of the round queries about the unit may
 * use, together with those of the units before it.
 */
static uint32_t
slots_for(const struct gyp_query_slots *s, const struct gyp_candidate *c)
{
	uint32_t reserved =
	    (s->total + RESERVED_SLOTS_DIVISOR - 1) / RESERVED_SLOTS_DIVISOR;

	/* A single slot is for all: slow queries would never be sent. */
	if (gyp_query_is_quick(c) || s->total == 1)
		return s->free;
	return s->free > reserved ? s->free - reserved : 0;
}

static bool
may_query(const struct gyp_query_slots *s, const struct gyp_candidate *c)
{
	const struct gyp_admission_unit *unit =
	    gyp_admission_unit(s->admission, c->flow, c->unit);
	uint32_t left = s->free - s->queries->len;

	return !gyp_admission_has_pending_query(unit) ||
	       left * SECOND_QUERY_DIVISOR > s->total;
}

/* Adds the queries about the unit that are to be sent now. */
static void
add_queries(struct gyp_query_slots *s, const struct gyp_candidate *c,
    uint32_t tasks, uint32_t slots)
{
	Gyp__Ask *query;

	while (s->queries->len < slots && may_query(s, c)) {
		query = gyp_admission_query_new(s->admission, s->capacities, c,
		    tasks, slots - s->queries->len, s->now);
		if (query == NULL)
			return;
		g_ptr_array_add(s->queries, query);
	}
}

void
gyp_query_slots_use(
    struct gyp_query_slots *s, const struct gyp_candidate *c, uint32_t tasks)
{
	add_queries(s, c, tasks, slots_for(s, c));
}

bool
gyp_query_slots_need_first(
    const struct gyp_query_slots *s, const struct gyp_candidate *c)
{
	const struct gyp_admission_unit *unit =
	    gyp_admission_unit(s->admission, c->flow, c->unit);

	return s->total > 1 && s->free > 0 &&
	       c->slack == GYP_SLACK_INTERRUPTED &&
	       c->flow->spec->queue->admission &&
	       !gyp_admission_has_pending_query(unit) &&
	       !gyp_admission_is_paused(unit, s->now);
}

bool
gyp_query_slots_use_first(
    struct gyp_query_slots *s, const struct gyp_candidate *c, uint32_t tasks)
{
	add_queries(s, c, tasks, 1);
	return s->queries->len > 0;
}

void
gyp_query_slots_prefetch(
    struct gyp_query_slots *s, const struct gyp_candidate *c, uint32_t tasks)
{
	uint32_t reserved = s->total / PREFETCH_RESERVED_DIVISOR;

	if (s->free > reserved)
		add_queries(s, c, tasks, s->free - reserved);
}
