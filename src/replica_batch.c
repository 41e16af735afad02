#include "msg.h"
#include "replica_int.h"

/* Most placements in one batch. */
#define DECISIONS_MAX 512

/* Most bytes of commands in one batch, unless one is larger. */
#define BATCH_BYTES (1024 * 1024)

/* ---- Batches ----------------------------------------------------------- */

void
gyp_replica_propose(struct gyp_replica *r, const Gyp__Cmd *cmd)
{
	g_ptr_array_add(r->batch, gyp_message_copy(&cmd->base));
}

static Gyp__Placement *
make_placement(struct gyp_replica *r, const struct gyp_choice *choice)
{
	const struct gyp_job *job = gyp_state_job(r->state, choice->job);
	Gyp__Placement *p = g_new(Gyp__Placement, 1);

	gyp__placement__init(p);
	p->job = choice->job;
	p->task = choice->task;
	p->attempt = job->tasks[choice->task].attempt + 1;
	p->endpoint = choice->endpoint;
	p->entry = gyp_replica_pick_entry(r, job, choice->endpoint);
	return p;
}

/* Proposes the choices of one group; returns how many there were. */
static guint
propose_group(struct gyp_replica *r, const GArray *choices, guint first)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdPlace place = GYP__CMD_PLACE__INIT;
	GPtrArray *places = g_ptr_array_new_with_free_func(g_free);
	uint32_t group = g_array_index(choices, struct gyp_choice, first).group;
	guint i;

	for (i = first; i < choices->len; i++) {
		const struct gyp_choice *c =
		    &g_array_index(choices, struct gyp_choice, i);

		if (c->group != group)
			break;
		g_ptr_array_add(places, make_placement(r, c));
	}
	place.n_places = places->len;
	place.places = (Gyp__Placement **)places->pdata;
	cmd.c_case = GYP__CMD__C_PLACE;
	cmd.place = &place;
	gyp_replica_propose(r, &cmd);
	g_ptr_array_free(places, TRUE);
	return i - first;
}

static void
propose_refusals(struct gyp_replica *r, const GArray *refusals)
{
	guint i;

	for (i = 0; i < refusals->len; i++) {
		const struct gyp_refusal *refusal =
		    &g_array_index(refusals, struct gyp_refusal, i);
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdCancel cancel = GYP__CMD_CANCEL__INIT;

		cancel.job = refusal->job;
		cancel.reason = refusal->reason;
		cmd.c_case = GYP__CMD__C_CANCEL;
		cmd.cancel = &cancel;
		gyp_replica_propose(r, &cmd);
	}
}

static void
propose_verdicts(struct gyp_replica *r, const GArray *verdicts)
{
	guint i;

	for (i = 0; i < verdicts->len; i++) {
		const struct gyp_verdict *v =
		    &g_array_index(verdicts, struct gyp_verdict, i);
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

		es.endpoint = v->endpoint;
		es.state = v->state;
		es.from = v->from;
		cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
		cmd.endpoint_state = &es;
		gyp_replica_propose(r, &cmd);
	}
}

/* Evicted tasks are queued again once the endpoint has ended them. */
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
	uint64_t cell_time = r->time_base + (r->now - r->lead_since);
	struct gyp_decision *d;
	guint i = 0;

	if (!gyp_policy_is_due(r->policy, cell_time) ||
	    gyp_replica_pick_entry(r, NULL, 0) == 0)
		return;
	d = gyp_decision_new();
	gyp_policy_decide(r->policy, cell_time, DECISIONS_MAX, d);
	while (i < d->choices->len)
		i += propose_group(r, d->choices, i);
	propose_refusals(r, d->refusals);
	propose_verdicts(r, d->verdicts);
	order_evictions(r, d->evictions);
	gyp_decision_free(d);
}

/* How many commands go into the next batch; the rest waits for its turn. */
static guint
count_batch(const struct gyp_replica *r)
{
	size_t bytes = 0;
	guint n;

	for (n = 0; n < r->batch->len; n++) {
		const ProtobufCMessage *cmd = r->batch->pdata[n];

		bytes += protobuf_c_message_get_packed_size(cmd);
		if (n > 0 && bytes > BATCH_BYTES)
			break;
	}
	return n;
}

void
gyp_replica_propose_batch(struct gyp_replica *r)
{
	guint n = count_batch(r);
	Gyp__Batch batch = GYP__BATCH__INIT;
	GBytes *data;
	guint i;

	batch.time_ms = r->time_base + (r->now - r->lead_since);
	batch.n_cmds = n;
	batch.cmds = (Gyp__Cmd **)r->batch->pdata;
	data = gyp_message_pack(&batch.base);
	r->batch_index =
	    gyp_raft_propose(r->raft, GYP__ENTRY_KIND__ENTRY_BATCH, data);
	g_bytes_unref(data);
	g_ptr_array_remove_range(r->batch, 0, n);
	for (i = 0; i < r->waiting->len; i++) {
		struct gyp_waiting_call *w = r->waiting->pdata[i];

		if (w->index == 0 && w->position < n)
			w->index = r->batch_index;
		else if (w->index == 0)
			w->position -= n;
	}
}
