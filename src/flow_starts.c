#include "flow_int.h"
#include "quota.h"

static bool
task_may_start(const struct gyp_flow *flow, uint32_t task, uint32_t run)
{
	const struct gyp_flow_task *t;

	if (task >= flow->n_tasks)
		return false;
	t = &flow->tasks[task];
	return t->state == GYP_FLOW_TASK_WAITING && run > t->run &&
	       gyp_flow_unit_is_ready(flow, gyp_flow_unit_of(flow, task));
}

static bool
host_may_run(const struct gyp_host *h, const struct gyp_flow *flow,
    const struct gyp_res *size)
{
	struct gyp_res left;

	if (h == NULL || h->spec->draining || h->spec->gone ||
	    h->pool != flow->pool)
		return false;
	left = h->capacity;
	left.slots = 0;
	if (!gyp_res_fits(&h->booked, &left))
		return false;
	gyp_res_sub(&left, &h->booked);
	return gyp_res_fits(size, &left);
}

/* True if a run of that size fits under the cap of the flow's workspace. */
static bool
cap_allows(const struct gyp_flow *flow, const struct gyp_res *size)
{
	return flow->use == NULL ||
	       gyp_quota_count(&flow->use->cap, &flow->use->used, size, 1) > 0;
}

/* A gang starts with all of its tasks or not at all. */
static bool
start_is_complete(const struct gyp_flow *flow, const Gyp__CmdFlowStart *s)
{
	const struct gyp_flow_unit *u;

	if (s->n_runs == 0 || s->runs[0]->task >= flow->n_tasks)
		return false;
	u = gyp_flow_unit_of(flow, s->runs[0]->task);
	return !u->step->gang || (u->open == 0 && s->n_runs == u->step->count);
}

/* rows: the endpoints of the runs before, which may still report their ends. */
static void
undo_starts(struct gyp_flows *f, struct gyp_flow *flow,
    const Gyp__CmdFlowStart *s, const uint32_t *rows, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct gyp_flow_task *t = &flow->tasks[s->runs[i]->task];

		gyp_flow_release(f, flow, s->runs[i]->task);
		t->state = GYP_FLOW_TASK_WAITING;
		t->row = rows[i];
	}
}

/* Books a run of the task; false if it may not start on that endpoint. */
static bool
book_start(struct gyp_flows *f, struct gyp_flow *flow, uint32_t run,
    uint32_t task, uint32_t row)
{
	const struct gyp_res *size;

	if (!task_may_start(flow, task, run))
		return false;
	size = &gyp_flow_unit_of(flow, task)->size;
	if (!host_may_run(gyp_host_at(f, row), flow, size) ||
	    !cap_allows(flow, size))
		return false;
	flow->tasks[task].state = GYP_FLOW_TASK_OPEN;
	flow->tasks[task].row = row;
	gyp_flow_book(f, flow, task);
	return true;
}

static bool
book_starts(
    struct gyp_flows *f, struct gyp_flow *flow, const Gyp__CmdFlowStart *s)
{
	uint32_t *rows = g_new(uint32_t, s->n_runs);
	size_t i;

	for (i = 0; i < s->n_runs; i++) {
		uint32_t task = s->runs[i]->task;

		rows[i] = task < flow->n_tasks ? flow->tasks[task].row : 0;
		if (!book_start(f, flow, s->run, task, s->runs[i]->host))
			break;
	}
	if (i < s->n_runs)
		undo_starts(f, flow, s, rows, i);
	g_free(rows);
	return i == s->n_runs;
}

void
gyp_flow_apply_start(
    struct gyp_flows *f, uint64_t now, const Gyp__CmdFlowStart *s)
{
	struct gyp_flow *flow = gyp_flow_get(f, s->flow);
	size_t i;

	if (flow == NULL || !gyp_flow_is_alive(flow) ||
	    !start_is_complete(flow, s) || !book_starts(f, flow, s))
		return;
	flow->begun = true;
	flow->state = GYP_FLOW_RUNNING;
	for (i = 0; i < s->n_runs; i++) {
		struct gyp_flow_task *t = &flow->tasks[s->runs[i]->task];

		t->run = s->run;
		t->changed_ms = now;
		t->sent_once = s->sent_once;
	}
	for (i = 0; i < s->n_runs && f->listener != NULL; i++)
		f->listener->ops->started(f->listener, flow, s->runs[i]->task);
}

/* Returns the task if that is its open run, else NULL. */
static struct gyp_flow_task *
find_open_run(
    const struct gyp_flows *f, uint64_t id, uint32_t task, uint32_t run)
{
	const struct gyp_flow *flow = gyp_flow_get(f, id);
	struct gyp_flow_task *t;

	if (flow == NULL || task >= flow->n_tasks)
		return NULL;
	t = &flow->tasks[task];
	return t->state == GYP_FLOW_TASK_OPEN && t->run == run ? t : NULL;
}

/* A run that has ended, or is not the latest, is not confirmed any more. */
void
gyp_flow_apply_confirmed(struct gyp_flows *f, const Gyp__CmdFlowConfirmed *cmd)
{
	struct gyp_flow_task *t =
	    find_open_run(f, cmd->flow, cmd->task, cmd->run);

	if (t != NULL)
		t->confirmed_born_ms = cmd->born_ms;
}

void
gyp_flow_apply_repeat(struct gyp_flows *f, const Gyp__CmdFlowRepeat *cmd)
{
	struct gyp_flow_task *t =
	    find_open_run(f, cmd->flow, cmd->task, cmd->run);

	if (t != NULL)
		t->sent_once = false;
}
