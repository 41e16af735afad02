#include <string.h>

#include "flow_intake.h"
#include "token_bucket.h"

/*
 * Age of the flows from which a new leader fills the buckets, in ms: a bucket
 * holds the tokens of one second.
 */
#define REPLAY_MS 2000

/*
 * Flows beyond a rate are refused when the tables hold more flows than this, so
 * that those within their rate always find room.
 */
#define EXCESS_FLOWS_MAX (GYP_FLOWS_MAX / 2)

struct workspace_intake {
	struct gyp_token_bucket bucket;
	uint64_t retry_slot_ms; /* see gyp_load_shed_retry_ms() */
	struct gyp_intake_counts counts;
};

struct gyp_flow_intake {
	const struct gyp_flows *flows;
	GHashTable *workspaces; /* name -> struct workspace_intake */
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

/* ---- Decision ----------------------------------------------------------- */

enum gyp_intake_verdict
gyp_flow_intake_decide(struct gyp_flow_intake *in, uint64_t now,
    const Gyp__Workspace *ws, double slack_ms, const struct gyp_pool_load *load,
    uint32_t *retry_ms)
{
	struct workspace_intake *w;

	if (ws == NULL)
		return GYP_INTAKE_ACCEPT;
	w = get_workspace(in, ws->name);
	if (ws->rate <= 0 || gyp_token_bucket_take(&w->bucket, ws->rate, now)) {
		w->counts.accepted++;
		return GYP_INTAKE_ACCEPT;
	}
	if (gyp_flows_count(in->flows) < EXCESS_FLOWS_MAX &&
	    gyp_load_shed_accepts(load, slack_ms)) {
		w->counts.excess++;
		return GYP_INTAKE_ACCEPT_EXCESS;
	}
	w->counts.refused++;
	*retry_ms = gyp_load_shed_retry_ms(now, &w->retry_slot_ms, ws->rate,
	    gyp_token_bucket_wait_ms(&w->bucket, ws->rate, now));
	return GYP_INTAKE_REFUSE;
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

/* Takes the tokens of the flows that were accepted lately, oldest first. */
static void
replay_recent(struct gyp_flow_intake *in, uint64_t now)
{
	GPtrArray *recent = g_ptr_array_new();
	guint i;

	gyp_flows_list_recent(in->flows, now - MIN(now, REPLAY_MS), recent);
	g_ptr_array_sort(recent, by_seq);
	for (i = 0; i < recent->len; i++) {
		const struct gyp_flow *flow = recent->pdata[i];

		if (flow->use != NULL && !flow->spec->excess)
			gyp_token_bucket_take(
			    &get_workspace(in, flow->use->name)->bucket,
			    flow->use->rate, flow->accepted_ms);
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
	replay_recent(in, now);
	return in;
}

void
gyp_flow_intake_free(struct gyp_flow_intake *in)
{
	if (in == NULL)
		return;
	g_hash_table_destroy(in->workspaces);
	g_free(in);
}
