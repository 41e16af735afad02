#include "fleet_int.h"
#include "msg.h"
#include "mutant.h"

uint64_t
gyp_fleet_run_incarnation(const struct gyp_fleet_run *run)
{
	return run->flow->tasks[run->key.index].confirmed_born_ms;
}

bool
gyp_fleet_run_is_sent_once(const struct gyp_fleet_run *run)
{
	return run->flow->tasks[run->key.index].sent_once;
}

static void
propose_repeat(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowRepeat repeat = GYP__CMD_FLOW_REPEAT__INIT;

	run->repeat_proposed = true;
	repeat.flow = run->key.flow;
	repeat.task = run->key.index;
	repeat.run = run->run;
	cmd.c_case = GYP__CMD__C_FLOW_REPEAT;
	cmd.flow_repeat = &repeat;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

bool
gyp_fleet_may_send_start(struct gyp_fleet *f, struct gyp_fleet_run *run)
{
	if (run->starts_sent == 0 || !gyp_fleet_run_is_sent_once(run) ||
	    GYP_MUTANT(CONFIRM_REPEATED))
		return true;
	if (!run->repeat_proposed)
		propose_repeat(f, run);
	return false;
}

/*
 * True if no start of a run that is listed can be carried out after the time of
 * the list: the only one that is ever sent was carried out before, or all were
 * sent long before.
 */
static bool
starts_were_past(
    const struct gyp_fleet *f, const struct gyp_fleet_run *run, uint64_t at)
{
	if (gyp_fleet_run_is_sent_once(run) && !run->repeat_proposed)
		return true;
	if (run->start_pending)
		return false;
	if (run->start_answered &&
	    (run->starts_sent == 1 || GYP_MUTANT(CONFIRM_REPEATED)))
		return true;
	return gyp_fleet_starts_are_past(f, run, f->now - at);
}

static void
propose_confirmed(struct gyp_fleet *f, struct gyp_fleet_run *run,
    uint64_t incarnation_start_ms)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowConfirmed confirmed = GYP__CMD_FLOW_CONFIRMED__INIT;

	run->confirm_proposed = true;
	confirmed.flow = run->key.flow;
	confirmed.task = run->key.index;
	confirmed.run = run->run;
	confirmed.born_ms = incarnation_start_ms;
	cmd.c_case = GYP__CMD__C_FLOW_CONFIRMED;
	cmd.flow_confirmed = &confirmed;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

/*
 * Only for lasting steps: other runs are over soon, and a command for each
 * would be half as many again.
 */
void
gyp_fleet_confirm_incarnation(struct gyp_fleet *f, struct gyp_fleet_run *run,
    uint64_t incarnation_start_ms, uint64_t sent_at)
{
	const struct gyp_flow_unit *u =
	    gyp_flow_unit_of(run->flow, run->key.index);

	if (!u->step->lasting || incarnation_start_ms == 0 ||
	    run->confirm_proposed || gyp_fleet_run_incarnation(run) != 0 ||
	    !gyp_fleet_run_is_running(run) ||
	    !starts_were_past(f, run, sent_at))
		return;
	propose_confirmed(f, run, incarnation_start_ms);
}

void
gyp_fleet_list_soon(struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	struct gyp_fleet_endpoint *endpoint =
	    gyp_fleet_get_endpoint(f, run->row);

	if (!gyp_flow_unit_of(run->flow, run->key.index)->step->lasting ||
	    run->confirm_proposed || gyp_fleet_run_incarnation(run) != 0)
		return;
	endpoint->poll_due = true;
	gyp_fleet_mark_dirty(f, endpoint);
}

/* True if the incarnation that has the run ended: there is a later one. */
static bool
is_of_earlier_incarnation(
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_fleet_run *run)
{
	uint64_t incarnation = gyp_fleet_run_incarnation(run);

	return incarnation != 0 && incarnation < endpoint->incarnation_start_ms;
}

void
gyp_fleet_end_runs_of_earlier(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (is_of_earlier_incarnation(endpoint, run))
			gyp_fleet_propose_end(
			    f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	}
}
