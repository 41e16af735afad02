#include "query_entries.h"
#include "admission_query.h"
#include "msg.h"

/* An entry whose slot was not offered for this long is removed, in ms. */
#define OFFER_VALID_MS 50

/* Time for an entry to answer an admission query, in ms. */
#define QUERY_TIMEOUT_MS 4000

/*
 * The answer to a query about a lasting unit is overdue when it takes this much
 * longer than the service does, in ms.
 */
#define OVERDUE_MS 500

/*
 * Answers that are late by less than LATE_MS count as in time. Entries are
 * compared by how late their answers are in units of as much.
 */
#define LATE_MS 250

/* An entry that carries admission queries, one at a time. */
struct query_slot {
	uint64_t entry;
	uint64_t offered_at;
	uint64_t query_id; /* 0 if the slot is free */
	bool lasting;      /* it is about a lasting unit */
	uint64_t queried_at;
	uint64_t usual_ms; /* time that the service takes for the query */
	uint64_t late_ms;  /* what the latest answer took beyond that */
	uint32_t failures; /* failed queries since the last answer */
};

/* A query and the entry that carries it. */
struct sent_query {
	uint64_t entry;
	Gyp__Ask *query;
};

struct gyp_query_entries {
	const struct gyp_flows *flows;
	struct gyp_admission *admission;
	struct gyp_events *events;
	GHashTable *slots; /* entry -> struct query_slot */
	GQueue sent;       /* struct sent_query */
	uint64_t now;
};

void
gyp_query_entries_offer(
    struct gyp_query_entries *qe, uint64_t now, uint64_t entry)
{
	struct query_slot *slot = g_hash_table_lookup(qe->slots, &entry);

	if (slot == NULL) {
		slot = g_new0(struct query_slot, 1);
		slot->entry = entry;
		g_hash_table_insert(qe->slots, &slot->entry, slot);
	}
	slot->offered_at = now;
}

/*
 * Lasting tasks must run again within seconds, so their endpoints are queried
 * about through another entry when one does not answer in time.
 */
static void
give_up_waiting(struct gyp_query_entries *qe, const struct query_slot *slot)
{
	if (slot->query_id != 0 && slot->lasting &&
	    qe->now >= slot->queried_at + slot->usual_ms + OVERDUE_MS)
		gyp_admission_query_overdue(qe->admission, slot->query_id);
}

uint32_t
gyp_query_entries_reclaim(struct gyp_query_entries *qe, uint64_t now)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	qe->now = MAX(qe->now, now);
	g_hash_table_iter_init(&iter, qe->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct query_slot *slot = value;
		bool offered = qe->now <= slot->offered_at + OFFER_VALID_MS;

		give_up_waiting(qe, slot);
		if (slot->query_id != 0 &&
		    (!offered ||
			qe->now >= slot->queried_at + QUERY_TIMEOUT_MS)) {
			gyp_admission_drop_query(qe->admission, slot->query_id);
			slot->query_id = 0;
			slot->failures++;
		}
		if (!offered)
			g_hash_table_iter_remove(&iter);
		else
			n += slot->query_id == 0;
	}
	return n;
}

static gint
by_usefulness(gconstpointer a, gconstpointer b)
{
	const struct query_slot *x = *(const struct query_slot *const *)a;
	const struct query_slot *y = *(const struct query_slot *const *)b;

	if (x->failures != y->failures)
		return x->failures < y->failures ? -1 : 1;
	if (x->late_ms / LATE_MS != y->late_ms / LATE_MS)
		return x->late_ms < y->late_ms ? -1 : 1;
	if (x->queried_at != y->queried_at)
		return x->queried_at < y->queried_at ? -1 : 1;
	return x->entry < y->entry ? -1 : x->entry > y->entry;
}

/*
 * Returns the free slots, those of entries whose queries fail last. An entry
 * that does not reach the admission service is free again soonest, and would
 * otherwise get the next query about the same unit each time. Before them come
 * those whose answers are late: their tickets may be over when a start arrives.
 */
static GPtrArray *
rank_free_slots(const struct gyp_query_entries *qe)
{
	GPtrArray *slots = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, qe->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct query_slot *)value)->query_id == 0)
			g_ptr_array_add(slots, value);
	}
	g_ptr_array_sort(slots, by_usefulness);
	return slots;
}

/* Records the query in the slot of the entry that carries it. */
static void
occupy_slot(const struct gyp_query_entries *qe, struct query_slot *slot,
    const Gyp__Ask *query)
{
	const Gyp__FlowSpec *spec = gyp_flow_get(qe->flows, query->flow)->spec;

	slot->query_id = query->id;
	slot->lasting = spec->steps[query->step]->lasting;
	slot->queried_at = qe->now;
	slot->usual_ms =
	    (uint64_t)gyp_admission_service_ms(spec->queue, query->n_endpoints);
}

void
gyp_query_entries_send(
    struct gyp_query_entries *qe, uint64_t now, GPtrArray *queries)
{
	GPtrArray *slots;
	guint i;

	qe->now = MAX(qe->now, now);
	if (queries->len == 0)
		return;
	slots = rank_free_slots(qe);
	g_assert(queries->len <= slots->len);
	for (i = 0; i < queries->len; i++) {
		struct query_slot *slot = slots->pdata[i];
		struct sent_query *sent = g_new0(struct sent_query, 1);

		sent->entry = slot->entry;
		sent->query = queries->pdata[i];
		occupy_slot(qe, slot, sent->query);
		gyp_events_add(qe->events, "asked",
		    "ask=%" G_GUINT64_FORMAT " flow=%016" G_GINT64_MODIFIER
		    "x time=%u step=%u endpoints=%zu",
		    sent->query->id, sent->query->flow, sent->query->time,
		    sent->query->step, sent->query->n_endpoints);
		g_queue_push_tail(&qe->sent, sent);
	}
	g_ptr_array_free(slots, TRUE);
}

/* How late the answer is that arrives now, in ms. */
static uint64_t
late_ms(const struct query_slot *slot, uint64_t now)
{
	uint64_t due = slot->queried_at + slot->usual_ms;

	return now > due ? now - due : 0;
}

void
gyp_query_entries_answered(struct gyp_query_entries *qe, uint64_t now,
    uint64_t entry, const Gyp__Advised *answer)
{
	struct query_slot *slot = g_hash_table_lookup(qe->slots, &entry);

	qe->now = MAX(qe->now, now);
	gyp_events_add(qe->events, "admitted",
	    "ask=%" G_GUINT64_FORMAT " ok=%d endpoints=%zu valid_ms=%u "
	    "took_ms=%" G_GUINT64_FORMAT,
	    answer->id, answer->ok, answer->n_tickets, answer->valid_ms,
	    slot != NULL ? qe->now - slot->queried_at : 0);
	if (slot != NULL && slot->query_id == answer->id) {
		slot->query_id = 0;
		slot->failures = answer->ok ? 0 : slot->failures + 1;
		slot->late_ms = late_ms(slot, qe->now);
	}
	gyp_admission_record_answer(qe->admission, qe->now, answer);
}

Gyp__Ask *
gyp_query_entries_pop(struct gyp_query_entries *qe, uint64_t *entry)
{
	struct sent_query *sent = g_queue_pop_head(&qe->sent);
	Gyp__Ask *query;

	if (sent == NULL)
		return NULL;
	query = sent->query;
	*entry = sent->entry;
	g_free(sent);
	return query;
}

uint32_t
gyp_query_entries_count(const struct gyp_query_entries *qe)
{
	return g_hash_table_size(qe->slots);
}

struct gyp_query_entries *
gyp_query_entries_new(const struct gyp_flows *flows,
    struct gyp_admission *admission, struct gyp_events *events)
{
	struct gyp_query_entries *qe = g_new0(struct gyp_query_entries, 1);

	qe->flows = flows;
	qe->admission = admission;
	qe->events = events;
	qe->slots =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return qe;
}

void
gyp_query_entries_free(struct gyp_query_entries *qe)
{
	Gyp__Ask *query;
	uint64_t entry;

	if (qe == NULL)
		return;
	while ((query = gyp_query_entries_pop(qe, &entry)) != NULL)
		gyp_message_free(query);
	g_hash_table_destroy(qe->slots);
	g_free(qe);
}
