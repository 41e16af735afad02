#include "fleet_int.h"
#include "msg.h"
#include "mutant.h"

uint64_t
gyp_fleet_run_incarnation(const struct gyp_fleet_run *run)
{
	return run->flow->tasks[run->key.index].confirmed_born_ms;
}

/*
 * True if no start of the run can be carried out after that time: the only one
 * was carried out before, or all were sent long before.
 */
static bool
starts_were_past(
    const struct gyp_fleet *f, const struct gyp_fleet_run *run, uint64_t at)
{
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
