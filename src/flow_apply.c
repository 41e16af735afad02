#include <string.h>

#include "flow_int.h"
#include "msg.h"

/* ---- Bookings ----------------------------------------------------------- */

void
gyp_flow_book(struct gyp_flows *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_host *h = gyp_host_at(f, flow->tasks[task].row);
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	struct gyp_host_run run = {.flow = flow, .task = task};

	u->open++;
	flow->open++;
	gyp_res_add(&h->booked, &u->size);
	if (flow->use != NULL) {
		flow->use->open++;
		gyp_res_add(&flow->use->used, &u->size);
		if (u->step->lasting)
			gyp_res_add(&flow->use->lasting, &u->size);
	}
	h->serving += u->step->tail_ms > 0;
	h->filling += u->step->fills;
	g_array_append_val(h->runs, run);
}

void
gyp_flow_release(struct gyp_flows *f, struct gyp_flow *flow, uint32_t task)
{
	struct gyp_host *h = gyp_host_at(f, flow->tasks[task].row);
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	guint i;

	flow->tasks[task].confirmed_born_ms = 0;
	flow->tasks[task].sent_once = false;
	u->open--;
	flow->open--;
	gyp_res_sub(&h->booked, &u->size);
	if (flow->use != NULL) {
		flow->use->open--;
		gyp_res_sub(&flow->use->used, &u->size);
		if (u->step->lasting)
			gyp_res_sub(&flow->use->lasting, &u->size);
	}
	h->serving -= u->step->tail_ms > 0;
	h->filling -= u->step->fills;
	for (i = 0; i < h->runs->len; i++) {
		const struct gyp_host_run *run =
		    &g_array_index(h->runs, struct gyp_host_run, i);

		if (run->flow == flow && run->task == task) {
			g_array_remove_index_fast(h->runs, i);
			return;
		}
	}
}

/* ---- Rows of endpoints -------------------------------------------------- */

/* Removes a departed endpoint once the ends of its runs are committed. */
static void
drop_host(struct gyp_flows *f, uint32_t row)
{
	struct gyp_host *h = gyp_host_at(f, row);

	if (h == NULL || !h->spec->gone || h->runs->len > 0)
		return;
	g_hash_table_remove(f->host_ids, h->spec->id);
	f->hosts->pdata[row] = NULL;
	gyp_host_free(h);
}

/* ---- Ends of flows ------------------------------------------------------ */

static void
end_flow(struct gyp_flows *f, struct gyp_flow *flow, uint64_t now,
    enum gyp_flow_state state)
{
	uint32_t i;

	flow->state = state;
	flow->ended_ms = now;
	g_queue_push_tail(&f->ended, flow);
	for (i = 0; i < flow->n_tasks && f->listener != NULL; i++) {
		if (flow->tasks[i].state == GYP_FLOW_TASK_OPEN)
			f->listener->ops->unwanted(f->listener, flow, i);
	}
}

/* A gang cannot finish once one of its runs ended without success. */
static void
stop_gang(struct gyp_flows *f, struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	uint32_t i;

	if (!u->step->gang || f->listener == NULL)
		return;
	for (i = u->first; i < u->first + u->step->count; i++) {
		if (flow->tasks[i].state == GYP_FLOW_TASK_OPEN)
			f->listener->ops->unwanted(f->listener, flow, i);
	}
}

/* An ended flow stays in the active list while it has open runs. */
static void
remove_if_ended(struct gyp_flows *f, struct gyp_flow *flow)
{
	if (!gyp_flow_is_alive(flow) && flow->open == 0)
		g_queue_remove(&f->active, flow);
}

void
gyp_flows_drop_expired(struct gyp_flows *f, uint64_t now)
{
	struct gyp_flow *flow;

	while ((flow = g_queue_peek_head(&f->ended)) != NULL &&
	       now >= flow->ended_ms + GYP_FLOW_RETENTION_MS &&
	       flow->open == 0) {
		g_queue_pop_head(&f->ended);
		if (f->listener != NULL)
			f->listener->ops->dropped(f->listener, flow);
		g_hash_table_remove(f->by_id, &flow->id);
	}
	gyp_early_cancels_drop_expired(f->early_cancels, now);
}

/* ---- Ends of runs ------------------------------------------------------- */

static void
finish_unit(struct gyp_flows *f, struct gyp_flow *flow, struct gyp_flow_unit *u,
    uint64_t now)
{
	if (u->left > 0)
		return;
	flow->left--;
	if (flow->left == 0 && gyp_flow_is_alive(flow))
		end_flow(f, flow, now, GYP_FLOW_COMPLETED);
}

/* One run of a gang that ends as done completes all of its tasks. */
static void
finish_task(
    struct gyp_flows *f, struct gyp_flow *flow, uint32_t task, uint64_t now)
{
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	uint32_t first = u->step->gang ? u->first : task;
	uint32_t last = u->step->gang ? u->first + u->step->count : task + 1;
	uint32_t i;

	for (i = first; i < last; i++) {
		struct gyp_flow_task *t = &flow->tasks[i];
		uint32_t row = t->row;

		if (t->state == GYP_FLOW_TASK_DONE)
			continue;
		if (t->state == GYP_FLOW_TASK_OPEN && i != task) {
			gyp_flow_release(f, flow, i);
			if (f->listener != NULL)
				f->listener->ops->ended(f->listener, flow, i,
				    row, GYP__FLOW_HOW__FLOW_DONE);
			drop_host(f, row);
		}
		t->state = GYP_FLOW_TASK_DONE;
		t->changed_ms = now;
		u->left--;
	}
	finish_unit(f, flow, u, now);
}

static void
count_failure(struct gyp_flows *f, struct gyp_flow *flow, uint32_t task,
    uint32_t run, uint64_t now)
{
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	struct gyp_flow_task *t = &flow->tasks[u->step->gang ? u->first : task];
	uint32_t limit = MAX(flow->spec->queue->attempts, 1);

	if (u->step->gang && u->failed_run == run)
		return;
	u->failed_run = run;
	t->failures++;
	if (!u->step->lasting && t->failures >= limit &&
	    gyp_flow_is_alive(flow))
		end_flow(f, flow, now, GYP_FLOW_FAILED);
}

/* A checkpoint of one task of a gang applies to all of them. */
static void
store_checkpoint(struct gyp_flow *flow, uint32_t task, const char *checkpoint)
{
	struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);
	uint32_t first = u->step->gang ? u->first : task;
	uint32_t last = u->step->gang ? u->first + u->step->count : task + 1;
	uint32_t i;

	if (checkpoint[0] == '\0')
		return;
	for (i = first; i < last; i++) {
		g_free(flow->tasks[i].checkpoint);
		flow->tasks[i].checkpoint = g_strdup(checkpoint);
	}
}

bool
gyp_flow_accepts_late_done(const struct gyp_flow *flow, uint32_t task)
{
	const struct gyp_flow_task *t = &flow->tasks[task];
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, task);

	return gyp_flow_is_alive(flow) && t->state == GYP_FLOW_TASK_WAITING &&
	       t->run > 0 && !u->step->lasting && !u->step->gang;
}

/*
 * Returns the start of an open run whose time shows how long the task takes, or
 * 0: a later run may have resumed from a checkpoint.
 */
static uint64_t
first_run_start(const struct gyp_flow_task *t)
{
	return t->run == 1 && t->checkpoint == NULL ? t->changed_ms : 0;
}

/*
 * Only a run that was done or stopped was running until its end: one that was
 * lost, for example, may have ended long before.
 */
static void
learn_run_time(struct gyp_flows *f, const struct gyp_flow *flow,
    const Gyp__CmdFlowEnd *end, uint64_t start_ms, uint64_t now)
{
	const struct gyp_flow_unit *u = gyp_flow_unit_of(flow, end->task);

	if (start_ms == 0 || now < start_ms)
		return;
	if (end->how == GYP__FLOW_HOW__FLOW_DONE)
		gyp_run_forecast_add(
		    f->forecast, flow, u, end->host, now - start_ms);
	else if (end->how == GYP__FLOW_HOW__FLOW_STOPPED && !u->step->gang)
		gyp_run_forecast_add_stopped(
		    f->forecast, flow, u, end->host, now - start_ms);
}

static void
apply_end(struct gyp_flows *f, uint64_t now, const Gyp__CmdFlowEnd *end)
{
	struct gyp_flow *flow = gyp_flow_get(f, end->flow);
	struct gyp_flow_task *t;
	uint64_t start_ms;
	bool lasting;

	if (flow == NULL || end->task >= flow->n_tasks)
		return;
	t = &flow->tasks[end->task];
	if (t->run != end->run || t->row != end->host)
		return;
	if (gyp_flow_accepts_late_done(flow, end->task) &&
	    end->how == GYP__FLOW_HOW__FLOW_DONE) {
		finish_task(f, flow, end->task, now);
		remove_if_ended(f, flow);
		return;
	}
	if (t->state != GYP_FLOW_TASK_OPEN)
		return;
	start_ms = first_run_start(t);
	lasting = gyp_flow_unit_of(flow, end->task)->step->lasting;
	gyp_flow_release(f, flow, end->task);
	t->state = GYP_FLOW_TASK_WAITING;
	t->changed_ms = now;
	if (end->how == GYP__FLOW_HOW__FLOW_DONE && !lasting)
		finish_task(f, flow, end->task, now);
	else
		store_checkpoint(flow, end->task, end->checkpoint);
	if (end->how == GYP__FLOW_HOW__FLOW_FAILED)
		count_failure(f, flow, end->task, end->run, now);
	if (f->listener != NULL)
		f->listener->ops->ended(
		    f->listener, flow, end->task, end->host, end->how);
	learn_run_time(f, flow, end, start_ms, now);
	if (end->how != GYP__FLOW_HOW__FLOW_DONE)
		stop_gang(f, flow, end->task);
	drop_host(f, end->host);
	remove_if_ended(f, flow);
}

/* ---- Flows, endpoints, manifest ----------------------------------------- */

/* The workspace whose callers may cancel the flow; "" if all may. */
static const char *
owner(const struct gyp_flow *flow)
{
	return flow->spec->queue->is_public ? "" : flow->spec->workspace;
}

static void
cancel_flow(struct gyp_flows *f, struct gyp_flow *flow, uint64_t now)
{
	if (!gyp_flow_is_alive(flow))
		return;
	end_flow(f, flow, now, GYP_FLOW_CANCELLED);
	remove_if_ended(f, flow);
}

static void
apply_flow(struct gyp_flows *f, uint64_t now, const Gyp__CmdFlow *cmd)
{
	struct gyp_flow *flow;

	if (cmd->spec == NULL || cmd->spec->queue == NULL ||
	    gyp_flow_get(f, cmd->spec->id) != NULL ||
	    gyp_flow_check_spec(cmd->spec) != NULL ||
	    g_hash_table_size(f->by_id) >= GYP_FLOWS_MAX)
		return;
	flow = gyp_flow_make(cmd->spec);
	gyp_flow_join_workspace(f, flow);
	flow->seq = f->next_seq++;
	flow->accepted_ms = now;
	g_hash_table_insert(f->by_id, &flow->id, flow);
	g_queue_push_tail(&f->active, flow);
	if (gyp_early_cancels_has(f->early_cancels, flow->id, owner(flow)))
		cancel_flow(f, flow, now);
}

static void
apply_cancel(
    struct gyp_flows *f, uint64_t now, const Gyp__CmdFlowCancel *cancel)
{
	struct gyp_flow *flow = gyp_flow_get(f, cancel->flow);

	if (cancel->early &&
	    (flow == NULL || strcmp(owner(flow), cancel->workspace) != 0))
		gyp_early_cancels_add(
		    f->early_cancels, now, cancel->flow, cancel->workspace);
	else if (flow != NULL)
		cancel_flow(f, flow, now);
}

/* Endpoints whose first label is the same are of one kind of VM. */
void
gyp_flows_set_speed_class(struct gyp_flows *f, const struct gyp_host *h)
{
	gyp_run_forecast_set_class(f->forecast, h->row,
	    h->spec->n_labels > 0 ? g_str_hash(h->spec->labels[0]) : 0);
}

/* Voids the bound of an incarnation before that one. */
static void
void_bound_before(struct gyp_host *h, uint64_t born_ms)
{
	if (h->spec->bound_born_ms >= born_ms)
		return;
	h->spec->bound_born_ms = 0;
	h->spec->bound_over_ms = 0;
}

static void
apply_host(struct gyp_flows *f, uint64_t now, const Gyp__CmdHost *cmd)
{
	struct gyp_host *h = gyp_host_by_id(f, cmd->id);
	Gyp__CmdHost *spec;

	if (h == NULL && cmd->gone)
		return;
	if (h == NULL) {
		h = gyp_host_make(f->hosts->len, cmd);
		void_bound_before(h, UINT64_MAX);
		h->spec->registered_ms = now;
		g_ptr_array_add(f->hosts, h);
		g_hash_table_insert(f->host_ids, h->spec->id, h);
		gyp_flows_set_speed_class(f, h);
		return;
	}
	if (cmd->born_ms < h->spec->born_ms)
		return;
	spec = gyp_message_copy(&cmd->base);
	spec->reborn_ms =
	    cmd->born_ms > h->spec->born_ms ? now : h->spec->reborn_ms;
	spec->registered_ms =
	    cmd->born_ms > h->spec->born_ms ? now : h->spec->registered_ms;
	spec->seen_born_ms = h->spec->seen_born_ms;
	spec->fenced_born_ms = h->spec->fenced_born_ms;
	spec->ended_born_ms = h->spec->ended_born_ms;
	spec->ended_ms = h->spec->ended_ms;
	spec->bound_born_ms = h->spec->bound_born_ms;
	spec->bound_over_ms = h->spec->bound_over_ms;
	g_hash_table_steal(f->host_ids, h->spec->id);
	gyp_message_free(h->spec);
	h->spec = spec;
	void_bound_before(h, cmd->born_ms);
	h->pool = g_intern_string(h->spec->pool);
	g_hash_table_insert(f->host_ids, h->spec->id, h);
	if (cmd->capacity != NULL)
		h->capacity = gyp_res_from(cmd->capacity);
	gyp_flows_set_speed_class(f, h);
	drop_host(f, h->row);
}

static void
apply_host_reborn(
    struct gyp_flows *f, uint64_t now, const Gyp__CmdHostReborn *cmd)
{
	struct gyp_host *h = gyp_host_by_id(f, cmd->id);

	if (h == NULL)
		return;
	void_bound_before(h, cmd->born_ms);
	if (cmd->fenced) {
		h->spec->fenced_born_ms =
		    MAX(h->spec->fenced_born_ms, cmd->born_ms);
		return;
	}
	if (cmd->born_ms > h->spec->born_ms)
		h->spec->reborn_ms = now;
	h->spec->seen_born_ms = MAX(h->spec->seen_born_ms, cmd->born_ms);
}

/* Names the incarnation, so it may be late, repeated or out of order. */
static void
apply_host_ended(
    struct gyp_flows *f, uint64_t now, const Gyp__CmdHostEnded *cmd)
{
	struct gyp_host *h = gyp_host_by_id(f, cmd->id);

	if (h == NULL || cmd->born_ms <= h->spec->ended_born_ms)
		return;
	h->spec->ended_born_ms = cmd->born_ms;
	h->spec->ended_ms = now;
}

/* ---- Bounds of leases --------------------------------------------------- */

/*
 * The bound holds for all incarnations up to the one that it names, so it is
 * void once a later one is known. The latest one counts: its leader has kept to
 * the one before.
 */
static void
apply_lease_bound(
    struct gyp_flows *f, uint64_t now, const Gyp__CmdLeaseBound *cmd)
{
	struct gyp_host *h = gyp_host_by_id(f, cmd->id);

	f->bounds_applied++;
	if (h == NULL ||
	    cmd->born_ms < MAX(h->spec->born_ms, h->spec->seen_born_ms))
		return;
	if (cmd->withdrawn && cmd->born_ms != h->spec->bound_born_ms)
		return;
	h->spec->bound_born_ms = cmd->withdrawn ? 0 : cmd->born_ms;
	h->spec->bound_over_ms = cmd->withdrawn ? 0 : now + cmd->left_ms;
}

void
gyp_flows_void_bounds(struct gyp_flows *f)
{
	guint i;

	for (i = 0; i < f->hosts->len; i++) {
		if (f->hosts->pdata[i] != NULL)
			void_bound_before(f->hosts->pdata[i], UINT64_MAX);
	}
}

/*
 * A leader that does not know the bounds of the leaders before it names no
 * previous term, and all replicas void them. One that names another term than
 * these tables have knows bounds that these tables lack, as after a snapshot of
 * an earlier version: they stay invalid here until a leader voids them all.
 */
static void
apply_term_begun(struct gyp_flows *f, const Gyp__CmdTermBegun *cmd)
{
	if (cmd->previous_term != 0 && cmd->previous_term == f->bounds_term) {
		f->bounds_term = cmd->term;
		return;
	}
	gyp_flows_void_bounds(f);
	f->bounds_term = cmd->previous_term == 0 ? cmd->term : 0;
}

/* Keeps the manifest for requests that were received before the change. */
static void
keep_replaced(struct gyp_flows *f, uint64_t now)
{
	gyp_message_free(f->replaced);
	f->replaced = f->manifest;
	f->replaced_ms = now;
	if (f->replaced == NULL)
		return;
	g_free(f->replaced->text.data);
	f->replaced->text.data = NULL;
	f->replaced->text.len = 0;
}

static void
apply_manifest(struct gyp_flows *f, uint64_t now, const Gyp__CmdManifest *m)
{
	if (f->manifest == NULL || m->version > f->manifest->version)
		gyp_flows_take_manifest(f, now, gyp_message_copy(&m->base));
}

void
gyp_flows_take_manifest(struct gyp_flows *f, uint64_t now, Gyp__CmdManifest *m)
{
	f->time_ms = MAX(f->time_ms, now);
	if (f->manifest != NULL && m->version <= f->manifest->version) {
		gyp_message_free(m);
		return;
	}
	keep_replaced(f, now);
	f->manifest = m;
	gyp_flows_refresh_limits(f);
}

bool
gyp_flows_apply(struct gyp_flows *f, uint64_t now, const Gyp__Cmd *cmd)
{
	f->time_ms = MAX(f->time_ms, now);
	switch (cmd->c_case) {
	case GYP__CMD__C_FLOW:
		apply_flow(f, now, cmd->flow);
		return true;
	case GYP__CMD__C_FLOW_CANCEL:
		apply_cancel(f, now, cmd->flow_cancel);
		return true;
	case GYP__CMD__C_FLOW_START:
		gyp_flow_apply_start(f, now, cmd->flow_start);
		return true;
	case GYP__CMD__C_FLOW_END:
		apply_end(f, now, cmd->flow_end);
		return true;
	case GYP__CMD__C_FLOW_CONFIRMED:
		gyp_flow_apply_confirmed(f, cmd->flow_confirmed);
		return true;
	case GYP__CMD__C_FLOW_REPEAT:
		gyp_flow_apply_repeat(f, cmd->flow_repeat);
		return true;
	case GYP__CMD__C_HOST:
		apply_host(f, now, cmd->host);
		return true;
	case GYP__CMD__C_HOST_REBORN:
		apply_host_reborn(f, now, cmd->host_reborn);
		return true;
	case GYP__CMD__C_HOST_ENDED:
		apply_host_ended(f, now, cmd->host_ended);
		return true;
	case GYP__CMD__C_LEASE_BOUND:
		apply_lease_bound(f, now, cmd->lease_bound);
		return true;
	case GYP__CMD__C_TERM_BEGUN:
		apply_term_begun(f, cmd->term_begun);
		return true;
	case GYP__CMD__C_MANIFEST:
		apply_manifest(f, now, cmd->manifest);
		return true;
	default:
		return false;
	}
}
