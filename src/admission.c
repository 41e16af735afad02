#include <string.h>

#include "admission.h"
#include "msg.h"

/* Share of endpoints that is expected to be allowed before any answer. */
#define SHARE_FIRST 0.35

/* Weight of one answer in that share, and its lower bound. */
#define SHARE_WEIGHT 0.1
#define SHARE_MIN    0.1

/* Taken off a ticket's validity for the way to the endpoint, in ms. */
#define TICKET_MARGIN_MS 200

/*
 * What is known of one endpoint for one unit. Small, since a round looks at
 * many of them.
 */
struct word {
	bool asked;
	bool known;
	bool allowed;   /* by the latest answer */
	uint16_t grant; /* index in grants plus one, 0 without one */
};

/* An endpoint that may run the unit, and its latest ticket. */
struct grant {
	uint64_t born_ms;
	uint64_t valid_until;
	char *ticket;
};

struct gyp_admission_unit {
	struct gyp_flow_key key;
	uint32_t asking; /* questions under way */
	uint64_t rests_until;
	GArray *words;   /* struct word by row */
	GArray *grants;  /* struct grant */
	GArray *allowed; /* uint32_t, the row of each grant */
};

struct question {
	uint64_t id;
	struct gyp_flow_key key;
	GArray *rows;
};

struct gyp_admission {
	struct gyp_flows *flows;
	GHashTable *units;     /* key -> struct gyp_admission_unit */
	GHashTable *questions; /* id -> struct question */
	GHashTable *shares;    /* name of a queue -> double */
	uint64_t next_id;
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

	g_array_free(u->words, TRUE);
	g_array_free(u->grants, TRUE);
	g_array_free(u->allowed, TRUE);
	g_free(u);
}

static void
free_question(gpointer p)
{
	struct question *q = p;

	g_array_free(q->rows, TRUE);
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

static struct word *
word_at(const struct gyp_admission_unit *u, uint32_t row)
{
	if (u == NULL || row >= u->words->len)
		return NULL;
	return &g_array_index(u->words, struct word, row);
}

static struct word *
need_word(struct gyp_admission_unit *u, uint32_t row)
{
	if (row >= u->words->len)
		g_array_set_size(u->words, row + 1);
	return word_at(u, row);
}

/* ---- Reading ------------------------------------------------------------ */

/* The grant of an endpoint that is allowed, or NULL. */
static struct grant *
grant_of(const struct gyp_admission_unit *u, const struct word *w)
{
	if (w == NULL || !w->allowed)
		return NULL;
	return &g_array_index(u->grants, struct grant, w->grant - 1);
}

static bool
ticket_holds(const struct gyp_admission *a, const struct grant *g, uint32_t row,
    uint64_t now)
{
	const struct gyp_host *h = gyp_host_at(a->flows, row);

	return h != NULL && now < g->valid_until &&
	       h->spec->born_ms == g->born_ms;
}

const struct gyp_admission_unit *
gyp_admission_unit(const struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit)
{
	return find_unit(a, flow, unit);
}

enum gyp_admission_word
gyp_admission_word(const struct gyp_admission *a,
    const struct gyp_admission_unit *u, uint32_t row, uint64_t now)
{
	const struct word *w = word_at(u, row);
	const struct grant *g = grant_of(u, w);

	if (w == NULL)
		return GYP_ADMISSION_UNKNOWN;
	if (g != NULL && ticket_holds(a, g, row, now))
		return GYP_ADMISSION_YES;
	if (w->asked)
		return GYP_ADMISSION_ASKED;
	if (!w->known)
		return GYP_ADMISSION_UNKNOWN;
	return g != NULL ? GYP_ADMISSION_STALE : GYP_ADMISSION_NO;
}

const uint32_t *
gyp_admission_allowed(const struct gyp_admission_unit *u, guint *n)
{
	*n = u != NULL ? u->allowed->len : 0;
	return u != NULL ? (const uint32_t *)u->allowed->data : NULL;
}

const char *
gyp_admission_ticket(const struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint32_t row, uint64_t now)
{
	const struct gyp_admission_unit *u = find_unit(a, flow, unit);
	const struct grant *g = grant_of(u, word_at(u, row));

	return g != NULL && ticket_holds(a, g, row, now) ? g->ticket : NULL;
}

double
gyp_admission_share(const struct gyp_admission *a, const char *queue)
{
	const double *share = g_hash_table_lookup(a->shares, queue);

	return share != NULL ? MAX(*share, SHARE_MIN) : SHARE_FIRST;
}

bool
gyp_admission_is_asking(const struct gyp_admission_unit *u)
{
	return u != NULL && u->asking > 0;
}

void
gyp_admission_rest(struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint64_t until)
{
	struct gyp_admission_unit *u = find_unit(a, flow, unit);

	if (u != NULL)
		u->rests_until = until;
}

bool
gyp_admission_rests(const struct gyp_admission_unit *u, uint64_t now)
{
	return u != NULL && now < u->rests_until;
}

/* ---- Questions ---------------------------------------------------------- */

static Gyp__Ask *
make_ask(const struct gyp_admission *a, const struct question *q,
    const struct gyp_flow_unit *unit)
{
	Gyp__Ask ask = GYP__ASK__INIT;
	GPtrArray *names = g_ptr_array_new();
	Gyp__Ask *copy;
	guint i;

	for (i = 0; i < q->rows->len; i++)
		g_ptr_array_add(names,
		    gyp_host_at(a->flows, g_array_index(q->rows, uint32_t, i))
			->spec->id);
	ask.id = q->id;
	ask.flow = q->key.flow;
	ask.time = unit->time;
	ask.step = unit->number;
	ask.n_endpoints = names->len;
	ask.endpoints = (char **)names->pdata;
	copy = gyp_message_copy(&ask.base);
	g_ptr_array_free(names, TRUE);
	return copy;
}

Gyp__Ask *
gyp_admission_ask(struct gyp_admission *a, uint64_t now,
    const struct gyp_flow *flow, const struct gyp_flow_unit *unit,
    const uint32_t *rows, guint n)
{
	struct gyp_admission_unit *u = find_unit(a, flow, unit);
	struct question *q = g_new0(struct question, 1);
	guint i;

	(void)now;
	if (u == NULL) {
		u = g_new0(struct gyp_admission_unit, 1);
		u->key = key_of(flow, unit);
		u->words = g_array_new(FALSE, TRUE, sizeof(struct word));
		u->grants = g_array_new(FALSE, TRUE, sizeof(struct grant));
		g_array_set_clear_func(u->grants, clear_grant);
		u->allowed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_hash_table_insert(a->units, &u->key, u);
	}
	q->id = a->next_id++;
	q->key = u->key;
	q->rows = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (i = 0; i < n; i++) {
		need_word(u, rows[i])->asked = true;
		g_array_append_val(q->rows, rows[i]);
	}
	u->asking++;
	g_hash_table_insert(a->questions, &q->id, q);
	return make_ask(a, q, unit);
}

static struct grant *
need_grant(struct gyp_admission_unit *u, uint32_t row)
{
	struct word *w = need_word(u, row);
	struct grant none = {.ticket = NULL};

	w->known = true;
	w->allowed = true;
	if (w->grant == 0) {
		g_array_append_val(u->grants, none);
		g_array_append_val(u->allowed, row);
		w->grant = (uint16_t)u->grants->len;
	}
	return grant_of(u, w);
}

static void
learn_ticket(struct gyp_admission *a, struct gyp_admission_unit *u,
    uint64_t now, uint32_t valid_ms, const Gyp__Ticket *t)
{
	const struct gyp_host *h = gyp_host_by_id(a->flows, t->endpoint);
	struct grant *g;

	if (h == NULL)
		return;
	g = need_grant(u, h->row);
	g->born_ms = h->spec->born_ms;
	g->valid_until =
	    now +
	    (valid_ms > TICKET_MARGIN_MS ? valid_ms - TICKET_MARGIN_MS : 0);
	g_free(g->ticket);
	g->ticket = g_strdup(t->ticket);
}

/* Of n endpoints that nothing was known of so many are allowed. */
static void
learn_share(
    struct gyp_admission *a, const struct question *q, guint n, guint allowed)
{
	const struct gyp_flow *flow = gyp_flow_get(a->flows, q->key.flow);
	const char *queue;
	double *share;

	if (flow == NULL || n == 0)
		return;
	queue = flow->spec->queue->name;
	share = g_hash_table_lookup(a->shares, queue);
	if (share == NULL) {
		share = g_new(double, 1);
		*share = SHARE_FIRST;
		g_hash_table_insert(a->shares, g_strdup(queue), share);
	}
	*share += SHARE_WEIGHT * ((double)allowed / n - *share);
}

/* Ends a question; its endpoints are allowed only if the answer says so. */
static void
close_question(struct gyp_admission *a, uint64_t id, uint64_t now,
    const Gyp__Advised *answer)
{
	struct question *q = g_hash_table_lookup(a->questions, &id);
	struct gyp_admission_unit *u;
	guint unknown = 0, granted;
	size_t i;

	if (q == NULL)
		return;
	u = g_hash_table_lookup(a->units, &q->key);
	for (i = 0; u != NULL && i < q->rows->len; i++) {
		struct word *w =
		    need_word(u, g_array_index(q->rows, uint32_t, i));

		w->asked = false;
		if (answer == NULL)
			continue;
		unknown += !w->known;
		w->known = true;
		w->allowed = false;
	}
	granted = u != NULL ? u->grants->len : 0;
	for (i = 0; u != NULL && answer != NULL && i < answer->n_tickets; i++)
		learn_ticket(a, u, now, answer->valid_ms, answer->tickets[i]);
	if (u != NULL) {
		u->asking--;
		learn_share(a, q, unknown, u->grants->len - granted);
	}
	g_hash_table_remove(a->questions, &id);
}

void
gyp_admission_learn(
    struct gyp_admission *a, uint64_t now, const Gyp__Advised *answer)
{
	close_question(a, answer->id, now, answer->ok ? answer : NULL);
}

void
gyp_admission_lost(struct gyp_admission *a, uint64_t ask)
{
	close_question(a, ask, 0, NULL);
}

void
gyp_admission_refused(struct gyp_admission *a, const struct gyp_flow *flow,
    const struct gyp_flow_unit *unit, uint32_t row)
{
	const struct gyp_admission_unit *u = find_unit(a, flow, unit);
	struct grant *g = grant_of(u, word_at(u, row));

	if (g != NULL)
		g->valid_until = 0;
}

/* ---- Construction ------------------------------------------------------- */

void
gyp_admission_forget(struct gyp_admission *a, const struct gyp_flow *flow)
{
	uint32_t i;

	for (i = 0; i < flow->n_units; i++) {
		struct gyp_flow_key key = {.flow = flow->id, .index = i};

		g_hash_table_remove(a->units, &key);
	}
}

struct gyp_admission *
gyp_admission_new(struct gyp_flows *flows, uint64_t first_id)
{
	struct gyp_admission *a = g_new0(struct gyp_admission, 1);

	a->flows = flows;
	a->next_id = first_id;
	a->units = g_hash_table_new_full(
	    gyp_flow_key_hash, gyp_flow_key_equal, NULL, free_unit);
	a->shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->questions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_question);
	return a;
}

void
gyp_admission_free(struct gyp_admission *a)
{
	if (a == NULL)
		return;
	g_hash_table_destroy(a->units);
	g_hash_table_destroy(a->questions);
	g_hash_table_destroy(a->shares);
	g_free(a);
}
