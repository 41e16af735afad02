#include <string.h>

#include "fleet_int.h"
#include "msg.h"

/* Most unknown runs that are stopped after one poll. */
#define UNKNOWN_STOPS_MAX 50

/* ---- Ends --------------------------------------------------------------- */

static struct gyp_flow_key
find_key(const struct gyp_fleet *f, const struct gyp_listed_run *l)
{
	const struct gyp_flow *flow = gyp_flow_get(f->flows, l->flow);
	struct gyp_flow_key key = {.flow = l->flow, .index = UINT32_MAX};

	if (flow != NULL)
		key.index =
		    gyp_flow_task_at(flow, l->repetition, l->step, l->index);
	return key;
}

/* Returns the listed run if it is open on the endpoint, else NULL. */
static struct gyp_fleet_run *
find_listed_run(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_flow_key *key,
    uint32_t number)
{
	struct gyp_fleet_run *run = gyp_fleet_find_run(f, key);

	if (run == NULL || run->run != number || run->row != endpoint->row)
		return NULL;
	return run;
}

/*
 * True when the run is the latest one of a task that waits for its next run,
 * and may therefore still be reported as done; see
 * gyp_flow_accepts_late_done().
 */
static bool
accepts_late_done(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_flow_key *key,
    uint32_t number)
{
	const struct gyp_flow *flow = gyp_flow_get(f->flows, key->flow);

	return flow != NULL && key->index < flow->n_tasks &&
	       flow->tasks[key->index].run == number &&
	       flow->tasks[key->index].row == endpoint->row &&
	       gyp_flow_accepts_late_done(flow, key->index);
}

static void
propose_late_done(struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_flow_key *key,
    uint32_t number)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowEnd end = GYP__CMD_FLOW_END__INIT;

	end.flow = key->flow;
	end.task = key->index;
	end.run = number;
	end.host = endpoint->row;
	end.how = GYP__FLOW_HOW__FLOW_DONE;
	cmd.c_case = GYP__CMD__C_FLOW_END;
	cmd.flow_end = &end;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
	gyp_events_add(f->cfg.events, "late-done",
	    "flow=%016" G_GINT64_MODIFIER "x task=%u run=%u endpoint=%s",
	    key->flow, key->index, number,
	    gyp_fleet_endpoint_name(f, endpoint->row));
}

/* Most tasks end well in their first run: only later runs get a line. */
static void
log_done(struct gyp_fleet *f, const struct gyp_fleet_run *run, Gyp__FlowHow how)
{
	if (how != GYP__FLOW_HOW__FLOW_DONE || run->run == 1 ||
	    run->end_proposed)
		return;
	gyp_events_add(f->cfg.events, "run-done",
	    RUN_ID " open_ms=%" G_GUINT64_FORMAT " endpoint=%s", RUN_ARGS(run),
	    f->now - run->opened_at, gyp_fleet_endpoint_name(f, run->row));
}

static void
handle_end(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const struct gyp_listed_end *e)
{
	struct gyp_flow_key key = find_key(f, &e->run);
	struct gyp_fleet_run *run =
	    find_listed_run(f, endpoint, &key, e->run.run);
	struct gyp_unacked_end unacked = {
	    .number = e->number, .key = key, .run = e->run.run};

	unacked.late_done = run == NULL && e->how == GYP__FLOW_HOW__FLOW_DONE;
	g_array_append_val(endpoint->unacked, unacked);
	if (run != NULL) {
		log_done(f, run, e->how);
		gyp_fleet_propose_end(f, run, e->how,
		    e->run.checkpoint != NULL ? e->run.checkpoint : "");
	} else if (unacked.late_done &&
		   accepts_late_done(f, endpoint, &key, e->run.run))
		propose_late_done(f, endpoint, &key, e->run.run);
}

static uint64_t
last_listed_end(const struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->unacked->len == 0)
		return endpoint->acked;
	return g_array_index(endpoint->unacked, struct gyp_unacked_end,
	    endpoint->unacked->len - 1)
	    .number;
}

static void
handle_ends(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const GArray *ended)
{
	guint i;

	for (i = 0; i < ended->len; i++) {
		const struct gyp_listed_end *e =
		    &g_array_index(ended, struct gyp_listed_end, i);

		if (e->number > last_listed_end(endpoint))
			handle_end(f, endpoint, e);
	}
}

void
gyp_fleet_endpoint_advance_acked(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	guint done = 0;

	while (done < endpoint->unacked->len) {
		const struct gyp_unacked_end *e = &g_array_index(
		    endpoint->unacked, struct gyp_unacked_end, done);

		if (find_listed_run(f, endpoint, &e->key, e->run) != NULL ||
		    (e->late_done &&
			accepts_late_done(f, endpoint, &e->key, e->run)))
			break;
		endpoint->acked = e->number;
		done++;
	}
	if (done > 0)
		g_array_remove_range(endpoint->unacked, 0, done);
}

/* ---- Runs --------------------------------------------------------------- */

/* Stops a run that is not in the tables; the answer is ignored. */
static void
stop_unknown_run(struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint,
    const struct gyp_listed_run *l)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	struct gyp_fleet_call *call = g_new0(struct gyp_fleet_call, 1);

	call->id = f->next_call++;
	call->kind = GYP_FLEET_STOP;
	call->row = h->row;
	call->address = g_strdup(h->spec->address);
	call->endpoint = g_strdup(h->spec->id);
	call->fence = gyp_fleet_endpoint_fence(f, endpoint);
	call->timeout_ms = 1000;
	call->give_up_at = f->now + 1000;
	call->flow = l->flow;
	call->id_capitals = l->id_capitals;
	call->repetition = l->repetition;
	call->step = l->step;
	call->index = l->index;
	call->run = l->run;
	g_queue_push_tail(&f->calls, call);
}

static void
log_late_confirmation(struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	if (f->now < run->opened_at + GYP_RUN_LATE_MS)
		return;
	gyp_events_add(f->cfg.events, "run-confirmed",
	    RUN_ID " open_ms=%" G_GUINT64_FORMAT
		   " endpoint=%s starts_sent=%u observed=%d",
	    RUN_ARGS(run), f->now - run->opened_at,
	    gyp_fleet_endpoint_name(f, run->row), run->starts_sent,
	    run->view.start_observed);
}

void
gyp_fleet_confirm_run(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	if (run->phase == GYP_RUN_CONFIRMED)
		return;
	run->view.start_observed = run->phase == GYP_RUN_STARTING;
	run->phase = GYP_RUN_CONFIRMED;
	run->confirmed_at = f->now;
	log_late_confirmation(f, run);
	if (run->stop == GYP_STOP_NONE)
		run->retry_at = 0;
	run->view.confirmed = true;
	run->view.confirmed_at = f->now;
	run->view.progress_at = f->now;
}

/* A list may come before the first checkpoint of a run that resumed. */
static void
update_checkpoint(struct gyp_fleet_run *run, const char *checkpoint)
{
	if (checkpoint == NULL || g_strcmp0(run->checkpoint, checkpoint) == 0)
		return;
	g_free(run->checkpoint);
	run->checkpoint = g_strdup(checkpoint);
}

static void
update_view(struct gyp_fleet *f, struct gyp_fleet_run *run,
    const struct gyp_listed_run *l)
{
	gyp_fleet_confirm_run(f, run);
	if (run->view.percent != l->percent)
		run->view.progress_at = f->now;
	run->view.percent = l->percent;
	run->view.load = l->load;
	update_checkpoint(run, l->checkpoint);
	run->view.listed_at = f->now;
}

/*
 * Updates the runs that the endpoint lists and stops those that are not open
 * there, at most UNKNOWN_STOPS_MAX. Returns the set of struct gyp_fleet_run
 * that are listed and open.
 */
static GHashTable *
handle_running(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	const GArray *running = a->running;
	GHashTable *listed = g_hash_table_new(NULL, NULL);
	guint i, unknown = 0;

	for (i = 0; i < running->len; i++) {
		const struct gyp_listed_run *l =
		    &g_array_index(running, struct gyp_listed_run, i);
		struct gyp_flow_key key = find_key(f, l);
		struct gyp_fleet_run *run =
		    find_listed_run(f, endpoint, &key, l->run);

		if (run != NULL) {
			g_hash_table_add(listed, run);
			update_view(f, run, l);
			gyp_fleet_confirm_incarnation(
			    f, run, a->incarnation_start_ms, p->sent_at);
		} else if (unknown++ < UNKNOWN_STOPS_MAX) {
			stop_unknown_run(f, endpoint, l);
		}
	}
	return listed;
}

static bool
end_is_listed(
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_fleet_run *run)
{
	guint i;

	for (i = 0; i < endpoint->unacked->len; i++) {
		const struct gyp_unacked_end *e = &g_array_index(
		    endpoint->unacked, struct gyp_unacked_end, i);

		if (e->key.flow == run->key.flow &&
		    e->key.index == run->key.index && e->run == run->run)
			return true;
	}
	return false;
}

/*
 * True if no start of a run that is to stop can be carried out after a list
 * whose poll was sent at sent_at. The poll has a higher fence number than the
 * starts of earlier leaders, so the endpoint refuses these from then on; a stop
 * that may still be confirmed is waited for nevertheless.
 */
static bool
starts_are_over(const struct gyp_fleet *f, const struct gyp_fleet_run *run,
    uint64_t sent_at)
{
	uint64_t last_start = MAX(f->leader_since, run->start_sent_at);

	if (run->start_pending)
		return false;
	return (run->starts_sent == 0 && run->stop_refused) ||
	       sent_at >= last_start + LATE_CALL_MAX_MS;
}

/*
 * Handles a run that complete lists have neither as running nor as ended. After
 * a confirmed stop no start of it is carried out. A stop may be refused each
 * time, so the run is over, too, once none can be under way; but a row that was
 * unreadable may be that of the run.
 */
static void
handle_missing_run(struct gyp_fleet *f, struct gyp_fleet_run *run,
    uint64_t sent_at, bool complete)
{
	bool should_be_listed =
	    run->phase == GYP_RUN_INHERITED ||
	    (run->phase == GYP_RUN_CONFIRMED && run->confirmed_at <= sent_at);
	bool stopped = run->stop == GYP_STOP_CONFIRMED &&
		       run->stopped_at <= sent_at && !run->start_pending;

	if (stopped || (complete && run->stop != GYP_STOP_NONE &&
			   starts_are_over(f, run, sent_at)))
		gyp_fleet_propose_end(f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	else if (run->stop == GYP_STOP_NONE && should_be_listed)
		gyp_fleet_request_stop(f, run);
}

static void
handle_missing_runs(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    GHashTable *listed, const struct gyp_fleet_pending *p,
    const struct gyp_fleet_answer *a)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (!run->end_proposed && !g_hash_table_contains(listed, run) &&
		    !end_is_listed(endpoint, run))
			handle_missing_run(
			    f, run, p->sent_at, a->unreadable_rows == 0);
	}
}

/* An incomplete list of ends is rare: it shows a backlog of them. */
static void
log_incomplete(struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_answer *a)
{
	gyp_fleet_count(f, "gyp_incomplete_lists_total");
	gyp_events_add(f->cfg.events, "ends-incomplete",
	    "endpoint=%s ends=%u acked=%" G_GUINT64_FORMAT
	    " last=%" G_GUINT64_FORMAT " open=%u",
	    gyp_fleet_endpoint_name(f, endpoint->row), a->ended->len,
	    endpoint->acked, last_listed_end(endpoint), endpoint->runs->len);
}

void
gyp_fleet_apply_lists(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    const struct gyp_fleet_pending *p, const struct gyp_fleet_answer *a)
{
	GHashTable *listed;

	endpoint->listed_at = f->now;
	handle_ends(f, endpoint, a->ended);
	gyp_fleet_endpoint_advance_acked(f, endpoint);
	listed = handle_running(f, endpoint, p, a);
	if (a->ends_complete)
		handle_missing_runs(f, endpoint, listed, p, a);
	else
		log_incomplete(f, endpoint, a);
	g_hash_table_destroy(listed);
}
