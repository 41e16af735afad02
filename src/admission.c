#include <string.h>

#include "admission.h"
#include "msg.h"

/* Expected share of allowed endpoints before the first answer. */
#define INITIAL_SHARE 0.35

/*
 * Weight of one answer in the moving average of that share, and its lower
 * bound.
 */
#define SHARE_WEIGHT 0.1
#define SHARE_MIN    0.1

/*
 * Deducted from the validity of a ticket for the time to reach the endpoint, in
 * ms.
 */
#define TICKET_MARGIN_MS 200

/* Longest time from a query until its answer arrives at a later leader, in ms.
 */
#define EARLIER_QUERY_MS 5000

/*
 * The answer about one endpoint for one unit. Kept small, since a round reads
 * many of them.
 */
struct endpoint_answer {
	bool pending;
	bool answered;
	bool allowed;   /* by the latest answer */
	uint16_t grant; /* index in grants plus one, 0 without a grant */
	/* The latest query that was answered, 0 for none, and the endpoint's
	   incarnation when it was sent. */
	uint64_t query;
	uint64_t incarnation_start_ms;
};

/* The latest ticket of an endpoint that may run the unit. */
struct grant {
	uint64_t incarnation_start_ms;
	uint64_t valid_until;
	char *ticket;
};

struct gyp_admission_unit {
	struct gyp_flow_key key;
	struct gyp_admission_pending pending;
	uint64_t paused_until;
	uint64_t asked_at; /* time of the latest query */
	bool failed;       /* a query after answered_query got no answer */
	uint64_t answered_query; /* the latest one with an answer; 0: none */
	GArray *answers;         /* struct endpoint_answer by row */
	GArray *grants;          /* struct grant */
	GArray *granted_rows;    /* uint32_t, the row of each grant */
	GArray *pending_rows;    /* uint32_t */
};

struct query {
	uint64_t id;
	struct gyp_flow_key key;
	bool overdue;         /* neither pending nor claiming any more */
	GArray *targets;      /* struct gyp_admission_target */
	GArray *incarnations; /* uint64_t, start of that of each target */
};

struct gyp_admission {
	struct gyp_flows *flows;
	GHashTable *units;          /* key -> struct gyp_admission_unit */
	GHashTable *queries;        /* id -> struct query */
	GHashTable *allowed_shares; /* queue name -> double */
	GArray *claimed; /* struct gyp_res by row, of pending queries */
	uint64_t first_id;
	uint64_t next_id;
	uint64_t held_ms; /* see gyp_admission_new() */
};

/* ---- Tables ------------------------------------------------------------- */

static void
clear_grant(gpointer p)
{
	struct grant *g = p;

	g_free(g->ticket);
}

static void
free_unit(gpointer p)
{
	struct gyp_admission_unit *u = p;

	g_array_free(u->answers, TRUE);
	g_array_free(u->grants, TRUE);
	g_array_free(u->granted_rows, TRUE);
	g_array_free(u->pending_rows, TRUE);
	g_free(u);
}

static void
free_query(gpointer p)
{
	struct query *q = p;

	g_array_free(q->targets, TRUE);
	g_array_free(q->incarnations, TRUE);
	g_free(q);
}

static struct gyp_flow_key
key_of(const struct gyp_flow *flow, const struct gyp_flow_unit *unit)
{
	struct gyp_flow_key key = {
	    .flow = flow->id, .index = (uint32_t)(unit - flow->units)};

	return key;
}

static struct gyp_admission_unit *
find_unit(const struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit)
{
	struct gyp_flow_key key = key_of(flow, unit);

	return g_hash_table_lookup(a->units, &key);
}

static struct gyp_admission_unit *
ensure_unit(struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit)
{
	struct gyp_admission_unit *u = find_unit(a, flow, unit);

	if (u != NULL)
		return u;
	u = g_new0(struct gyp_admission_unit, 1);
	u->key = key_of(flow, unit);
	u->answers = g_array_new(FALSE, TRUE, sizeof(struct endpoint_answer));
	u->grants = g_array_new(FALSE, TRUE, sizeof(struct grant));
	g_array_set_clear_func(u->grants, clear_grant);
	u->granted_rows = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	u->pending_rows = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(a->units, &u->key, u);
	return u;
}

static struct endpoint_answer *
answer_at(const struct gyp_admission_unit *u, uint32_t row)
{
	if (u == NULL || row >= u->answers->len)
		return NULL;
	return &g_array_index(u->answers, struct endpoint_answer, row);
}

static struct endpoint_answer *
ensure_answer(struct gyp_admission_unit *u, uint32_t row)
{
	if (row >= u->answers->len)
		g_array_set_size(u->answers, row + 1);
	return answer_at(u, row);
}

/* ---- Lookup ------------------------------------------------------------- */

/* Returns the grant of an allowed endpoint, or NULL. */
static struct grant *
grant_of(const struct gyp_admission_unit *u, const struct endpoint_answer *e)
{
	if (e == NULL || !e->allowed)
		return NULL;
	return &g_array_index(u->grants, struct grant, e->grant - 1);
}

static bool
ticket_is_valid(const struct gyp_admission *a, const struct grant *g,
    uint32_t row, uint64_t now)
{
	const struct gyp_host *h = gyp_host_at(a->flows, row);

	return h != NULL && now < g->valid_until &&
	       h->spec->born_ms == g->incarnation_start_ms;
}

/*
 * True if the answer is about the present incarnation of the endpoint. The next
 * one may be of another kind and be allowed although this one was denied.
 */
static bool
is_answered(const struct gyp_admission *a, const struct endpoint_answer *e,
    uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(a->flows, row);

	return e->answered && h != NULL &&
	       h->spec->born_ms == e->incarnation_start_ms;
}

const struct gyp_admission_unit *
gyp_admission_unit(const struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit)
{
	return find_unit(a, flow, unit);
}

enum gyp_admission_state
gyp_admission_state(const struct gyp_admission *a,
    const struct gyp_admission_unit *u, uint32_t row, uint64_t now)
{
	const struct endpoint_answer *e = answer_at(u, row);
	const struct grant *g = grant_of(u, e);

	if (e == NULL)
		return GYP_ADMISSION_UNKNOWN;
	if (g != NULL && ticket_is_valid(a, g, row, now))
		return GYP_ADMISSION_ALLOWED;
	if (e->pending)
		return GYP_ADMISSION_PENDING;
	if (g != NULL)
		return GYP_ADMISSION_EXPIRED;
	return is_answered(a, e, row) ? GYP_ADMISSION_DENIED
				      : GYP_ADMISSION_UNKNOWN;
}

const uint32_t *
gyp_admission_granted_rows(const struct gyp_admission_unit *u, guint *n)
{
	*n = u != NULL ? u->granted_rows->len : 0;
	return u != NULL ? (const uint32_t *)u->granted_rows->data : NULL;
}

const char *
gyp_admission_ticket(const struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint32_t row, uint64_t now)
{
	const struct gyp_admission_unit *u = find_unit(a, flow, unit);
	const struct grant *g = grant_of(u, answer_at(u, row));

	return g != NULL && ticket_is_valid(a, g, row, now) ? g->ticket : NULL;
}

const uint32_t *
gyp_admission_pending_rows(const struct gyp_admission_unit *u, guint *n)
{
	*n = u != NULL ? u->pending_rows->len : 0;
	return u != NULL ? (const uint32_t *)u->pending_rows->data : NULL;
}

bool
gyp_admission_was_allowed(const struct gyp_admission_unit *u, uint32_t row)
{
	return grant_of(u, answer_at(u, row)) != NULL;
}

double
gyp_admission_allowed_share(const struct gyp_admission *a, const char *queue)
{
	const double *share = g_hash_table_lookup(a->allowed_shares, queue);

	return share != NULL ? MAX(*share, SHARE_MIN) : INITIAL_SHARE;
}

bool
gyp_admission_has_pending_query(const struct gyp_admission_unit *u)
{
	return u != NULL && u->pending.queries > 0;
}

struct gyp_admission_pending
gyp_admission_pending(const struct gyp_admission_unit *u)
{
	struct gyp_admission_pending none = {.queries = 0};

	return u != NULL ? u->pending : none;
}

void
gyp_admission_pause_queries(struct gyp_admission *a,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit,
    uint64_t until)
{
	struct gyp_admission_unit *u = find_unit(a, flow, unit);

	if (u != NULL)
		u->paused_until = until;
}

uint64_t
gyp_admission_asked_at(const struct gyp_admission_unit *u)
{
	return u != NULL ? u->asked_at : 0;
}

bool
gyp_admission_query_failed(const struct gyp_admission_unit *u)
{
	return u != NULL && u->failed;
}

bool
gyp_admission_is_paused(const struct gyp_admission_unit *u, uint64_t now)
{
	return u != NULL && now < u->paused_until;
}

/* ---- Claims ------------------------------------------------------------- */

struct gyp_res
gyp_admission_claimed(const struct gyp_admission *a, uint32_t row)
{
	struct gyp_res none = {0, 0, 0, 0};

	if (row >= a->claimed->len)
		return none;
	return g_array_index(a->claimed, struct gyp_res, row);
}

static const struct gyp_admission_target *
target_at(const struct query *q, guint i)
{
	return &g_array_index(q->targets, struct gyp_admission_target, i);
}

static void
add_claims(struct gyp_admission *a, const struct query *q)
{
	guint i;

	for (i = 0; i < q->targets->len; i++) {
		const struct gyp_admission_target *t = target_at(q, i);

		if (t->row >= a->claimed->len)
			g_array_set_size(a->claimed, t->row + 1);
		gyp_res_add(&g_array_index(a->claimed, struct gyp_res, t->row),
		    &t->claim);
	}
}

static void
remove_claims(struct gyp_admission *a, const struct query *q)
{
	guint i;

	for (i = 0; i < q->targets->len; i++) {
		const struct gyp_admission_target *t = target_at(q, i);

		gyp_res_sub(&g_array_index(a->claimed, struct gyp_res, t->row),
		    &t->claim);
	}
}

/* ---- Queries ------------------------------------------------------------ */

/* Returns the number of tasks that the endpoints of a query should take. */
static double
expected_tasks(const struct query *q)
{
	double sum = 0;
	guint i;

	for (i = 0; i < q->targets->len; i++)
		sum += target_at(q, i)->expected;
	return sum;
}

static void
add_pending(struct gyp_admission_unit *u, const struct query *q)
{
	guint i;

	u->pending.queries++;
	u->pending.expected += expected_tasks(q);
	for (i = 0; i < q->targets->len; i++) {
		uint32_t row = target_at(q, i)->row;

		ensure_answer(u, row)->pending = true;
		g_array_append_val(u->pending_rows, row);
	}
}

static void
remove_pending(struct gyp_admission_unit *u, const struct query *q)
{
	guint i;

	for (i = 0; i < q->targets->len; i++)
		ensure_answer(u, target_at(q, i)->row)->pending = false;
	for (i = u->pending_rows->len; i-- > 0;) {
		uint32_t row = g_array_index(u->pending_rows, uint32_t, i);

		if (!answer_at(u, row)->pending)
			g_array_remove_index_fast(u->pending_rows, i);
	}
	u->pending.queries--;
	u->pending.expected -= expected_tasks(q);
	if (u->pending.queries == 0)
		u->pending.expected = 0; /* without rounding errors */
}

static Gyp__Ask *
make_query(const struct gyp_admission *a, const struct query *q,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit)
{
	Gyp__Ask query = GYP__ASK__INIT;
	GPtrArray *names = g_ptr_array_new();
	Gyp__Ask *copy;
	guint i;

	for (i = 0; i < q->targets->len; i++)
		g_ptr_array_add(names,
		    gyp_host_at(a->flows, target_at(q, i)->row)->spec->id);
	query.id = q->id;
	query.flow = q->key.flow;
	query.id_capitals = flow->spec->id_capitals;
	query.time = unit->repetition;
	query.step = unit->step_number;
	query.n_endpoints = names->len;
	query.endpoints = (char **)names->pdata;
	copy = gyp_message_copy(&query.base);
	g_ptr_array_free(names, TRUE);
	return copy;
}

static void
set_targets(const struct gyp_admission *a, struct query *q,
    const struct gyp_admission_target *targets, guint n)
{
	guint i;

	q->targets =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_admission_target));
	g_array_append_vals(q->targets, targets, n);
	q->incarnations = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < n; i++)
		g_array_append_val(q->incarnations,
		    gyp_host_at(a->flows, targets[i].row)->spec->born_ms);
}

Gyp__Ask *
gyp_admission_begin_query(struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint64_t now,
    const struct gyp_admission_target *targets, guint n)
{
	struct gyp_admission_unit *u = ensure_unit(a, flow, unit);
	struct query *q = g_new0(struct query, 1);

	q->id = a->next_id++;
	q->key = u->key;
	set_targets(a, q, targets, n);
	u->asked_at = now;
	add_claims(a, q);
	add_pending(u, q);
	g_hash_table_insert(a->queries, &q->id, q);
	return make_query(a, q, flow, unit);
}

static struct grant *
ensure_grant(struct gyp_admission_unit *u, uint32_t row)
{
	struct endpoint_answer *e = ensure_answer(u, row);
	struct grant none = {.ticket = NULL};

	e->answered = true;
	e->allowed = true;
	if (e->grant == 0) {
		g_array_append_val(u->grants, none);
		g_array_append_val(u->granted_rows, row);
		e->grant = (uint16_t)u->grants->len;
	}
	return grant_of(u, e);
}

/*
 * Returns the answer about a target of the query to record, or NULL: that to an
 * overdue query may arrive after that to a later one.
 */
static struct endpoint_answer *
answer_to_record(
    struct gyp_admission_unit *u, const struct query *q, guint target)
{
	struct endpoint_answer *e = ensure_answer(u, target_at(q, target)->row);

	return e->query > q->id ? NULL : e;
}

static const Gyp__Ticket *
find_ticket(const Gyp__Advised *answer, const char *endpoint)
{
	size_t i;

	for (i = 0; i < answer->n_tickets; i++) {
		if (strcmp(answer->tickets[i]->endpoint, endpoint) == 0)
			return answer->tickets[i];
	}
	return NULL;
}

static void
record_ticket(struct gyp_admission_unit *u, uint32_t row, uint64_t now,
    uint32_t valid_ms, const char *ticket)
{
	struct grant *g = ensure_grant(u, row);

	g->incarnation_start_ms = answer_at(u, row)->incarnation_start_ms;
	g->valid_until =
	    now +
	    (valid_ms > TICKET_MARGIN_MS ? valid_ms - TICKET_MARGIN_MS : 0);
	g_free(g->ticket);
	g->ticket = g_strdup(ticket);
}

/*
 * Updates the allowed share of the queue: of n endpoints without an earlier
 * answer, `allowed` were allowed.
 */
static void
update_share(
    struct gyp_admission *a, const struct query *q, guint n, guint allowed)
{
	const struct gyp_flow *flow = gyp_flow_get(a->flows, q->key.flow);
	const char *queue;
	double *share;

	if (flow == NULL || n == 0)
		return;
	queue = flow->spec->queue->name;
	share = g_hash_table_lookup(a->allowed_shares, queue);
	if (share == NULL) {
		share = g_new(double, 1);
		*share = INITIAL_SHARE;
		g_hash_table_insert(a->allowed_shares, g_strdup(queue), share);
	}
	*share += SHARE_WEIGHT * ((double)allowed / n - *share);
}

static void
stop_waiting(struct gyp_admission *a, struct gyp_admission_unit *u,
    const struct query *q)
{
	if (u != NULL)
		remove_pending(u, q);
	remove_claims(a, q);
}

/* Records what the answer says about a target; true if it is the first one. */
static bool
record_target(struct gyp_admission *a, struct gyp_admission_unit *u,
    const struct query *q, guint target, uint64_t now,
    const Gyp__Advised *answer)
{
	uint32_t row = target_at(q, target)->row;
	const struct gyp_host *h = gyp_host_at(a->flows, row);
	struct endpoint_answer *e = answer_to_record(u, q, target);
	const Gyp__Ticket *ticket;
	bool first;

	if (e == NULL || h == NULL)
		return false;
	first = e->grant == 0 && !is_answered(a, e, row);
	e->query = q->id;
	e->incarnation_start_ms =
	    g_array_index(q->incarnations, uint64_t, target);
	e->answered = true;
	e->allowed = false;
	ticket = find_ticket(answer, h->spec->id);
	if (ticket != NULL)
		record_ticket(u, row, now, answer->valid_ms, ticket->ticket);
	return first;
}

/* Records an answer. It allows exactly those endpoints with a ticket. */
static void
record_answer(struct gyp_admission *a, struct gyp_admission_unit *u,
    const struct query *q, uint64_t now, const Gyp__Advised *answer)
{
	guint first = 0, grants_before = u->grants->len, i;

	for (i = 0; i < q->targets->len; i++)
		first += record_target(a, u, q, i, now, answer);
	u->failed = false;
	u->answered_query = MAX(u->answered_query, q->id);
	update_share(a, q, first, u->grants->len - grants_before);
}

/* Closes a query. Without an answer (NULL), earlier ones stay. */
static void
close_query(struct gyp_admission *a, uint64_t id, uint64_t now,
    const Gyp__Advised *answer)
{
	const struct query *q = g_hash_table_lookup(a->queries, &id);
	struct gyp_admission_unit *u;

	if (q == NULL)
		return;
	u = g_hash_table_lookup(a->units, &q->key);
	if (!q->overdue)
		stop_waiting(a, u, q);
	else if (u != NULL)
		u->pending.overdue--;
	if (u != NULL && answer != NULL)
		record_answer(a, u, q, now, answer);
	else if (u != NULL && q->id > u->answered_query)
		u->failed = true;
	g_hash_table_remove(a->queries, &id);
}

void
gyp_admission_query_overdue(struct gyp_admission *a, uint64_t query)
{
	struct query *q = g_hash_table_lookup(a->queries, &query);
	struct gyp_admission_unit *u;

	if (q == NULL || q->overdue)
		return;
	q->overdue = true;
	u = g_hash_table_lookup(a->units, &q->key);
	stop_waiting(a, u, q);
	if (u != NULL)
		u->pending.overdue++;
}

/* The unit that the answer says it is about, or NULL. */
static struct gyp_flow_unit *
unit_of_answer(const struct gyp_flow *flow, const Gyp__Advised *answer)
{
	uint32_t task = gyp_flow_task_at(flow, answer->time, answer->step, 0);

	return task != UINT32_MAX ? gyp_flow_unit_of(flow, task) : NULL;
}

/*
 * Records a ticket from an answer to a query of an earlier leader. It is not
 * known which incarnation of the endpoint the query was about: one that has
 * restarted lately is left out, and a ticket that is not valid is refused.
 */
static void
record_earlier_ticket(struct gyp_admission *a, struct gyp_admission_unit *u,
    uint64_t now, const Gyp__Advised *answer, const Gyp__Ticket *ticket)
{
	const struct gyp_host *h = gyp_host_by_id(a->flows, ticket->endpoint);
	const struct endpoint_answer *e;

	if (h == NULL || answer->valid_ms <= a->held_ms ||
	    (h->spec->reborn_ms != 0 &&
		gyp_flows_time(a->flows) <
		    h->spec->reborn_ms + EARLIER_QUERY_MS))
		return;
	e = answer_at(u, h->row);
	if (e != NULL && is_answered(a, e, h->row))
		return;
	ensure_answer(u, h->row)->incarnation_start_ms = h->spec->born_ms;
	record_ticket(u, h->row, now, answer->valid_ms - (uint32_t)a->held_ms,
	    ticket->ticket);
}

/* Denied endpoints are not named in an answer, and are asked about again. */
static void
record_earlier_answer(
    struct gyp_admission *a, uint64_t now, const Gyp__Advised *answer)
{
	const struct gyp_flow *flow = gyp_flow_get(a->flows, answer->flow);
	const struct gyp_flow_unit *unit;
	size_t i;

	if (flow == NULL || !answer->ok ||
	    (unit = unit_of_answer(flow, answer)) == NULL)
		return;
	for (i = 0; i < answer->n_tickets; i++)
		record_earlier_ticket(a, ensure_unit(a, flow, unit), now,
		    answer, answer->tickets[i]);
}

void
gyp_admission_record_answer(
    struct gyp_admission *a, uint64_t now, const Gyp__Advised *answer)
{
	if (answer->id < a->first_id) {
		record_earlier_answer(a, now, answer);
		return;
	}
	close_query(a, answer->id, now, answer->ok ? answer : NULL);
}

void
gyp_admission_drop_query(struct gyp_admission *a, uint64_t query)
{
	close_query(a, query, 0, NULL);
}

void
gyp_admission_ticket_refused(struct gyp_admission *a,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit, uint32_t row)
{
	const struct gyp_admission_unit *u = find_unit(a, flow, unit);
	struct grant *g = grant_of(u, answer_at(u, row));

	if (g != NULL)
		g->valid_until = 0;
}

/* ---- Construction ------------------------------------------------------- */

/* Removes the flow's queries and their claims; ignores later answers. */
static void
forget_queries(struct gyp_admission *a, uint64_t flow)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct query *q = value;

		if (q->key.flow != flow)
			continue;
		if (!q->overdue)
			remove_claims(a, q);
		g_hash_table_iter_remove(&iter);
	}
}

void
gyp_admission_forget_flow(struct gyp_admission *a, const struct gyp_flow *flow)
{
	bool pending = false;
	uint32_t i;

	for (i = 0; i < flow->n_units; i++) {
		struct gyp_flow_key key = {.flow = flow->id, .index = i};

		pending = pending || gyp_admission_has_pending_query(
					 g_hash_table_lookup(a->units, &key));
		g_hash_table_remove(a->units, &key);
	}
	if (pending)
		forget_queries(a, flow->id);
}

struct gyp_admission *
gyp_admission_new(struct gyp_flows *flows, uint64_t first_id, uint64_t held_ms)
{
	struct gyp_admission *a = g_new0(struct gyp_admission, 1);

	a->flows = flows;
	a->first_id = first_id;
	a->next_id = first_id;
	a->held_ms = held_ms;
	a->units = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, free_unit);
	a->allowed_shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->claimed = g_array_new(FALSE, TRUE, sizeof(struct gyp_res));
	a->queries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_query);
	return a;
}

void
gyp_admission_free(struct gyp_admission *a)
{
	if (a == NULL)
		return;
	g_hash_table_destroy(a->units);
	g_hash_table_destroy(a->queries);
	g_hash_table_destroy(a->allowed_shares);
	g_array_free(a->claimed, TRUE);
	g_free(a);
}
