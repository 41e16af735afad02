#include "decision_cmds.h"
#include "msg.h"
#include "replica_int.h"

/* Maximum placements in one round of decisions. */
#define PLACEMENTS_MAX 512

/* Maximum bytes of commands in one batch; a larger command is sent alone. */
#define BATCH_BYTES_MAX (1024 * 1024)

/* ---- Batches ----------------------------------------------------------- */

void
gyp_replica_propose(struct gyp_replica *r, const Gyp__Cmd *cmd)
{
	g_ptr_array_add(r->pending_cmds, gyp_message_copy(&cmd->base));
}

static void
propose_cmd(void *arg, Gyp__Cmd *cmd)
{
	gyp_replica_propose(arg, cmd);
}

static uint64_t
pick_entry(void *arg, const struct gyp_job *job, uint64_t endpoint)
{
	return gyp_replica_pick_entry(arg, job, endpoint);
}

/* An evicted task is queued again once the endpoint has ended its attempt. */
static void
order_evictions(struct gyp_replica *r, const GArray *evictions)
{
	guint i;

	for (i = 0; i < evictions->len; i++) {
		const struct gyp_eviction *e =
		    &g_array_index(evictions, struct gyp_eviction, i);

		gyp_replica_queue_order(r, gyp_state_job(r->state, e->job),
		    e->task, GYP__ORDER_TYPE__ORDER_CHECKPOINT);
	}
}

void
gyp_replica_decide(struct gyp_replica *r)
{
	uint64_t cell_time = gyp_replica_cell_time(r);
	const struct gyp_decision_sink sink = {
	    .cmd = propose_cmd, .pick_entry = pick_entry, .arg = r};
	struct gyp_decision *d;

	if (!gyp_policy_is_due(r->policy, cell_time) ||
	    gyp_replica_pick_entry(r, NULL, 0) == 0)
		return;
	d = gyp_decision_new();
	gyp_policy_decide(r->policy, cell_time, PLACEMENTS_MAX, d);
	gyp_decision_cmds(d, r->state, &sink);
	order_evictions(r, d->evictions);
	gyp_decision_free(d);
}

/* Returns how many commands fit in the next batch; the rest stays pending. */
static guint
count_batch_cmds(const struct gyp_replica *r)
{
	size_t bytes = 0;
	guint n;

	for (n = 0; n < r->pending_cmds->len; n++) {
		const ProtobufCMessage *cmd = r->pending_cmds->pdata[n];

		bytes += protobuf_c_message_get_packed_size(cmd);
		if (n > 0 && bytes > BATCH_BYTES_MAX)
			break;
	}
	return n;
}

void
gyp_replica_propose_batch(struct gyp_replica *r)
{
	guint n = count_batch_cmds(r);
	Gyp__Batch batch = GYP__BATCH__INIT;
	GBytes *data;
	guint i;

	batch.time_ms = gyp_replica_cell_time(r);
	batch.n_cmds = n;
	batch.cmds = (Gyp__Cmd **)r->pending_cmds->pdata;
	data = gyp_message_pack(&batch.base);
	r->batch_index =
	    gyp_raft_propose(r->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
	g_ptr_array_remove_range(r->pending_cmds, 0, n);
	for (i = 0; i < r->waiting_calls->len; i++) {
		struct gyp_waiting_call *w = r->waiting_calls->pdata[i];

		if (w->index == 0 && w->position < n)
			w->index = r->batch_index;
		else if (w->index == 0)
			w->position -= n;
	}
}
