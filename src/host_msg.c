#include <string.h>

#include "host_msg.h"

/* ---- Calls -------------------------------------------------------------- */

/* Moves the string out; a message has the empty string in place of NULL. */
static char *
steal_string(char **text)
{
	char *string = *text;

	*text = NULL;
	return string != NULL ? string : (char *)protobuf_c_empty_string;
}

Gyp__HostCall *
gyp_host_msg_from_call(struct gyp_fleet_call *call)
{
	Gyp__HostCall *m = g_new(Gyp__HostCall, 1);

	gyp__host_call__init(m);
	m->id = call->id;
	m->kind = call->kind;
	m->address = steal_string(&call->address);
	m->endpoint = steal_string(&call->endpoint);
	m->fence = call->fence;
	m->timeout_ms = call->timeout_ms;
	m->flow = call->flow;
	m->id_capitals = call->id_capitals;
	m->time = call->repetition;
	m->step = call->step;
	m->index = call->index;
	m->run = call->run;
	m->until_ms = call->until_ms;
	m->payload = steal_string(&call->payload);
	m->checkpoint = steal_string(&call->checkpoint);
	m->ticket = steal_string(&call->ticket);
	m->acked = call->acked;
	m->wait_ms = call->wait_ms;
	m->percent = call->percent;
	return m;
}

static char *
string_or_null(const char *text)
{
	return text[0] != '\0' ? g_strdup(text) : NULL;
}

struct gyp_fleet_call *
gyp_host_msg_to_call(const Gyp__HostCall *m)
{
	struct gyp_fleet_call *call = g_new0(struct gyp_fleet_call, 1);

	call->id = m->id;
	call->kind = (enum gyp_fleet_call_kind)m->kind;
	call->address = g_strdup(m->address);
	call->endpoint = g_strdup(m->endpoint);
	call->fence = m->fence;
	call->timeout_ms = m->timeout_ms;
	call->flow = m->flow;
	call->id_capitals = m->id_capitals;
	call->repetition = m->time;
	call->step = m->step;
	call->index = m->index;
	call->run = m->run;
	call->until_ms = m->until_ms;
	call->payload = g_strdup(m->payload);
	call->checkpoint = string_or_null(m->checkpoint);
	call->ticket = string_or_null(m->ticket);
	call->acked = m->acked;
	call->wait_ms = m->wait_ms;
	call->percent = m->percent;
	return call;
}

/* ---- Answers ------------------------------------------------------------ */

static Gyp__HostRun *
from_run(const struct gyp_listed_run *run)
{
	Gyp__HostRun *m = g_new(Gyp__HostRun, 1);

	gyp__host_run__init(m);
	m->flow = run->flow;
	m->id_capitals = run->id_capitals;
	m->time = run->repetition;
	m->step = run->step;
	m->index = run->index;
	m->run = run->run;
	if (run->checkpoint != NULL)
		m->checkpoint = g_strdup(run->checkpoint);
	m->percent = run->percent;
	m->load = run->load;
	return m;
}

static Gyp__HostEnd *
from_end(const struct gyp_listed_end *end)
{
	Gyp__HostEnd *m = g_new(Gyp__HostEnd, 1);

	gyp__host_end__init(m);
	m->number = end->number;
	m->run = from_run(&end->run);
	m->how = end->how;
	return m;
}

Gyp__HostAnswer *
gyp_host_msg_from_answer(const struct gyp_fleet_answer *a)
{
	Gyp__HostAnswer *m = g_new(Gyp__HostAnswer, 1);
	guint i;

	gyp__host_answer__init(m);
	m->call = a->call;
	m->end = a->end;
	m->reason = a->reason;
	m->has_clock = a->has_clock;
	m->clock_ms = a->clock_ms;
	m->born_ms = a->incarnation_start_ms;
	m->listed = a->listed;
	m->unreadable_rows = a->unreadable_rows;
	m->ends_complete = a->ends_complete;
	m->refused_checkpoints = a->refused_checkpoints;
	if (!a->listed)
		return m;
	m->n_running = a->running->len;
	m->running = g_new(Gyp__HostRun *, a->running->len + 1);
	for (i = 0; i < a->running->len; i++)
		m->running[i] = from_run(
		    &g_array_index(a->running, struct gyp_listed_run, i));
	m->n_ended = a->ended->len;
	m->ended = g_new(Gyp__HostEnd *, a->ended->len + 1);
	for (i = 0; i < a->ended->len; i++)
		m->ended[i] = from_end(
		    &g_array_index(a->ended, struct gyp_listed_end, i));
	return m;
}

static void
to_run(const Gyp__HostRun *m, struct gyp_listed_run *run)
{
	run->flow = m->flow;
	run->id_capitals = m->id_capitals;
	run->repetition = m->time;
	run->step = m->step;
	run->index = m->index;
	run->run = m->run;
	run->checkpoint = string_or_null(m->checkpoint);
	run->percent = m->percent;
	run->load = m->load;
}

void
gyp_host_msg_to_answer(const Gyp__HostAnswer *m, struct gyp_fleet_answer *a)
{
	size_t i;

	gyp_fleet_answer_init(a, m->call);
	a->end = MIN(m->end, GYP_FLEET_CARRIER_LOST);
	a->reason =
	    m->reason <= GYP_REASON_TOO_LARGE ? m->reason : GYP_REASON_OTHER;
	a->has_clock = m->has_clock;
	a->clock_ms = m->clock_ms;
	a->incarnation_start_ms = m->born_ms;
	a->listed = m->listed;
	a->unreadable_rows = m->unreadable_rows;
	a->ends_complete = m->ends_complete;
	a->refused_checkpoints = m->refused_checkpoints;
	g_array_set_size(a->running, (guint)m->n_running);
	for (i = 0; i < m->n_running; i++)
		to_run(m->running[i],
		    &g_array_index(a->running, struct gyp_listed_run, i));
	g_array_set_size(a->ended, (guint)m->n_ended);
	for (i = 0; i < m->n_ended; i++) {
		struct gyp_listed_end *end =
		    &g_array_index(a->ended, struct gyp_listed_end, i);

		end->number = m->ended[i]->number;
		end->how = m->ended[i]->how;
		if (m->ended[i]->run != NULL)
			to_run(m->ended[i]->run, &end->run);
	}
}
