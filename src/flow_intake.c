#include <string.h>

#include "flow_intake.h"
#include "token_bucket.h"

/*
 * Age of the flows from which a new leader fills the buckets, in ms: a bucket
 * holds the tokens of one second.
 */
#define REPLAY_MS 2000

/*
 * Longest time for which a request may be delayed between an entry and the
 * leader, in ms: callers wait a few seconds, and a broken connection is
 * detected sooner.
 */
#define DELAYED_MAX_MS 15000

/*
 * Flows beyond a rate are refused when more flows than this have not ended, so
 * that those within their rate always find room.
 */
#define EXCESS_FLOWS_MAX (GYP_FLOWS_MAX / 2)

/*
 * Share of a second's tokens, and number of tokens, that must be unspent for a
 * flow that was refused before. A workspace of one flow a second has its token
 * each second: a new flow is expected then.
 */
#define RETRY_LEVEL_MIN  0.5
#define RETRY_TOKENS_MIN 1.5

/*
 * Refused flows that are remembered, and for how long in ms: callers retry
 * within GYP_LOAD_SHED_RETRY_MAX_MS, and their requests may be slow. The limit
 * bounds the memory under a flood; a flow that is forgotten counts as new.
 */
#define REFUSED_MAX     20000
#define REFUSED_KEEP_MS (GYP_LOAD_SHED_RETRY_MAX_MS + 10000)

/* A flow that was refused lately. */
struct refused_flow {
	uint64_t id;
	uint64_t at; /* of its latest refusal */
	GList link;  /* in the queue of refusals */
};

struct workspace_intake {
	struct gyp_token_bucket bucket;
	uint64_t retry_slot_ms; /* see gyp_load_shed_retry_ms() */
	struct gyp_intake_counts counts;
};

struct gyp_flow_intake {
	const struct gyp_flows *flows;
	GHashTable *workspaces; /* name -> struct workspace_intake */
	GHashTable *refused;    /* id -> struct refused_flow */
	GQueue refusals;        /* struct refused_flow, by time of refusal */
};

static struct workspace_intake *
get_workspace(struct gyp_flow_intake *in, const char *name)
{
	struct workspace_intake *w = g_hash_table_lookup(in->workspaces, name);

	if (w == NULL) {
		w = g_new0(struct workspace_intake, 1);
		g_hash_table_insert(in->workspaces, g_strdup(name), w);
	}
	return w;
}

/* ---- Refused flows ------------------------------------------------------ */

static void
forget_oldest(struct gyp_flow_intake *in)
{
	struct refused_flow *r = g_queue_pop_head_link(&in->refusals)->data;

	g_hash_table_remove(in->refused, &r->id);
	g_free(r);
}

static void
forget_old_refusals(struct gyp_flow_intake *in, uint64_t now)
{
	const struct refused_flow *r;

	while ((r = g_queue_peek_head(&in->refusals)) != NULL &&
	       now >= r->at + REFUSED_KEEP_MS)
		forget_oldest(in);
}

static void
remember_refusal(struct gyp_flow_intake *in, uint64_t flow, uint64_t now)
{
	struct refused_flow *r = g_hash_table_lookup(in->refused, &flow);

	if (r != NULL) {
		g_queue_unlink(&in->refusals, &r->link);
	} else {
		if (in->refusals.length >= REFUSED_MAX)
			forget_oldest(in);
		r = g_new0(struct refused_flow, 1);
		r->id = flow;
		r->link.data = r;
		g_hash_table_insert(in->refused, &r->id, r);
	}
	r->at = now;
	g_queue_push_tail_link(&in->refusals, &r->link);
}

/* ---- Decision ----------------------------------------------------------- */

static bool
take_token(struct workspace_intake *w, double rate, bool again, uint64_t now)
{
	double needed = MAX(RETRY_LEVEL_MIN * rate, RETRY_TOKENS_MIN);

	if (again && gyp_token_bucket_unspent(&w->bucket, rate, now) < needed)
		return false;
	return gyp_token_bucket_take(&w->bucket, rate, now);
}

/* Decides on a flow, which was refused before if again is true. */
static enum gyp_intake_verdict
decide(const struct gyp_flow_intake *in, struct workspace_intake *w,
    uint64_t now, const Gyp__Workspace *ws, bool again, double max_delay_ms,
    const struct gyp_pool_load *load, uint32_t *retry_ms)
{
	if (ws->rate <= 0 || take_token(w, ws->rate, again, now)) {
		w->counts.accepted++;
		return GYP_INTAKE_ACCEPT;
	}
	if (gyp_flows_active(in->flows)->length < EXCESS_FLOWS_MAX &&
	    gyp_load_shed_accepts(load, max_delay_ms)) {
		w->counts.excess++;
		return GYP_INTAKE_ACCEPT_EXCESS;
	}
	w->counts.refused++;
	*retry_ms = gyp_load_shed_retry_ms(now, &w->retry_slot_ms, ws->rate,
	    gyp_token_bucket_wait_ms(&w->bucket, ws->rate, now));
	return GYP_INTAKE_REFUSE;
}

enum gyp_intake_verdict
gyp_flow_intake_decide(struct gyp_flow_intake *in, uint64_t now,
    const Gyp__Workspace *ws, uint64_t flow, double max_delay_ms,
    const struct gyp_pool_load *load, uint32_t *retry_ms)
{
	enum gyp_intake_verdict verdict;

	if (ws == NULL)
		return GYP_INTAKE_ACCEPT;
	forget_old_refusals(in, now);
	verdict = decide(in, get_workspace(in, ws->name), now, ws,
	    g_hash_table_contains(in->refused, &flow), max_delay_ms, load,
	    retry_ms);
	if (verdict == GYP_INTAKE_REFUSE)
		remember_refusal(in, flow, now);
	return verdict;
}

bool
gyp_flow_intake_is_outdated(const struct gyp_flow_intake *in, uint64_t now,
    uint64_t flow, uint64_t received_ms)
{
	const struct refused_flow *r = g_hash_table_lookup(in->refused, &flow);

	return r != NULL && received_ms != 0 && received_ms < r->at &&
	       now < r->at + DELAYED_MAX_MS;
}

enum gyp_intake_verdict
gyp_flow_intake_preview(const struct gyp_flow_intake *in, uint64_t now,
    const Gyp__Workspace *ws, double max_delay_ms,
    const struct gyp_pool_load *load, uint32_t *retry_ms)
{
	struct workspace_intake copy = {.retry_slot_ms = 0};
	const struct workspace_intake *known;

	if (ws == NULL)
		return GYP_INTAKE_ACCEPT;
	known = g_hash_table_lookup(in->workspaces, ws->name);
	if (known != NULL)
		copy = *known;
	return decide(in, &copy, now, ws, false, max_delay_ms, load, retry_ms);
}

struct gyp_intake_counts
gyp_flow_intake_counts(const struct gyp_flow_intake *in, const char *workspace)
{
	static const struct gyp_intake_counts none;
	const struct workspace_intake *w =
	    g_hash_table_lookup(in->workspaces, workspace);

	return w != NULL ? w->counts : none;
}

const char *
gyp_intake_verdict_name(enum gyp_intake_verdict verdict)
{
	static const char *const names[] = {"accepted", "excess", "refused"};

	return names[verdict];
}

/* ---- Construction ------------------------------------------------------- */

static gint
by_seq(gconstpointer a, gconstpointer b)
{
	const struct gyp_flow *x = *(struct gyp_flow *const *)a;
	const struct gyp_flow *y = *(struct gyp_flow *const *)b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/*
 * Takes the tokens of the flows that were accepted lately, oldest first. Their
 * buckets start empty: a full one would stay full while a workspace that sends
 * too much gets its rate, which would then get a second's tokens again. As the
 * replay covers more than a second, no work within the rate is refused.
 */
static void
replay_recent(struct gyp_flow_intake *in, uint64_t now)
{
	GPtrArray *recent = g_ptr_array_new();
	uint64_t since = now - MIN(now, REPLAY_MS);
	guint i;

	gyp_flows_list_recent(in->flows, since, recent);
	g_ptr_array_sort(recent, by_seq);
	for (i = 0; i < recent->len; i++) {
		const struct gyp_flow *flow = recent->pdata[i];
		struct gyp_token_bucket *bucket;

		if (flow->use == NULL || flow->spec->excess)
			continue;
		bucket = &get_workspace(in, flow->use->name)->bucket;
		bucket->refilled_at = MAX(bucket->refilled_at, MAX(since, 1));
		gyp_token_bucket_take(
		    bucket, flow->use->rate, flow->accepted_ms);
	}
	g_ptr_array_free(recent, TRUE);
}

struct gyp_flow_intake *
gyp_flow_intake_new(const struct gyp_flows *flows, uint64_t now)
{
	struct gyp_flow_intake *in = g_new0(struct gyp_flow_intake, 1);

	in->flows = flows;
	in->workspaces =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	in->refused = g_hash_table_new(g_int64_hash, g_int64_equal);
	replay_recent(in, now);
	return in;
}

void
gyp_flow_intake_free(struct gyp_flow_intake *in)
{
	if (in == NULL)
		return;
	while (!g_queue_is_empty(&in->refusals))
		forget_oldest(in);
	g_hash_table_destroy(in->workspaces);
	g_hash_table_destroy(in->refused);
	g_free(in);
}
