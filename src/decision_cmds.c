#include "decision_cmds.h"

static Gyp__Placement *
make_placement(struct gyp_state *state, const struct gyp_decision_sink *sink,
    const struct gyp_placement *placement)
{
	const struct gyp_job *job = gyp_state_job(state, placement->job);
	Gyp__Placement *p = g_new(Gyp__Placement, 1);

	gyp__placement__init(p);
	p->job = placement->job;
	p->task = placement->task;
	p->attempt = job->tasks[placement->task].attempt + 1;
	p->endpoint = placement->endpoint;
	if (sink->pick_entry != NULL)
		p->entry =
		    sink->pick_entry(sink->arg, job, placement->endpoint);
	return p;
}

/* Makes one command of the group that begins at `first`; returns its size. */
static guint
place_group(const GArray *placements, guint first, struct gyp_state *state,
    const struct gyp_decision_sink *sink)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdPlace place = GYP__CMD_PLACE__INIT;
	GPtrArray *places = g_ptr_array_new_with_free_func(g_free);
	uint32_t group =
	    g_array_index(placements, struct gyp_placement, first).group;
	guint i;

	for (i = first; i < placements->len; i++) {
		const struct gyp_placement *c =
		    &g_array_index(placements, struct gyp_placement, i);

		if (c->group != group)
			break;
		g_ptr_array_add(places, make_placement(state, sink, c));
	}
	place.n_places = places->len;
	place.places = (Gyp__Placement **)places->pdata;
	cmd.c_case = GYP__CMD__C_PLACE;
	cmd.place = &place;
	sink->cmd(sink->arg, &cmd);
	g_ptr_array_free(places, TRUE);
	return i - first;
}

static void
cancel_refused_jobs(
    const GArray *refusals, const struct gyp_decision_sink *sink)
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
		sink->cmd(sink->arg, &cmd);
	}
}

static void
change_endpoint_states(
    const GArray *transitions, const struct gyp_decision_sink *sink)
{
	guint i;

	for (i = 0; i < transitions->len; i++) {
		const struct gyp_endpoint_transition *transition =
		    &g_array_index(
			transitions, struct gyp_endpoint_transition, i);
		Gyp__Cmd cmd = GYP__CMD__INIT;
		Gyp__CmdEndpointState es = GYP__CMD_ENDPOINT_STATE__INIT;

		es.endpoint = transition->endpoint;
		es.from = transition->from;
		es.state = transition->to;
		cmd.c_case = GYP__CMD__C_ENDPOINT_STATE;
		cmd.endpoint_state = &es;
		sink->cmd(sink->arg, &cmd);
	}
}

void
gyp_decision_cmds(const struct gyp_decision *d, struct gyp_state *state,
    const struct gyp_decision_sink *sink)
{
	guint i = 0;

	while (i < d->placements->len)
		i += place_group(d->placements, i, state, sink);
	cancel_refused_jobs(d->refusals, sink);
	change_endpoint_states(d->transitions, sink);
}
