#include "flow_lasting.h"
#include "msg.h"

#define FLOWS_MAX     600
#define LASTING_FLOWS 10
#define ENTRIES       4

/* Time of an admission query and validity of its tickets, in ms. */
#define QUERY_MIN_MS 600
#define QUERY_MAX_MS 900
#define TICKET_MS    9000

/* Longest time from the start of an endpoint to its first heartbeat, in ms. */
#define FIRST_BEAT_MS 1500

/* Length of a stretch with more, or with less, work than the pool can do. */
#define STRETCH_MIN_MS 10000
#define STRETCH_MAX_MS 40000

enum queue { URGENT, LASTING, BATCH };

/* An entry, which carries one admission query at a time. */
struct entry {
	uint64_t absent_until;
	Gyp__Ask *query; /* or NULL */
	uint64_t answer_at;
};

struct flow_lasting {
	GRand *rand;
	struct flow_sim *sim;
	bool admission;
	bool overload;
	uint64_t stretch_until;
	uint64_t submit_at;
	uint64_t lasting_at; /* next lasting flow */
	uint64_t change_at;  /* next change of leader, in a burst of faults */
	uint64_t entry_fault_at;
	uint64_t last_flow;
	GQueue lasting; /* ids of lasting flows that were not cancelled */
	uint32_t lasting_flows;
	struct entry entries[ENTRIES];
};

/* ---- Callers ------------------------------------------------------------ */

static uint32_t
draw(struct flow_lasting *l, gint32 from, gint32 to)
{
	return (uint32_t)g_rand_int_range(l->rand, from, to);
}

static void
set_queue(struct flow_lasting *l, Gyp__FlowQueue *q, enum queue queue)
{
	static const char *const names[] = {"urgent", "lasting", "batch"};

	q->name = (char *)names[queue];
	q->pool = "pool";
	q->attempts = 3;
	q->priority = queue;
	q->admission = l->admission && queue != URGENT;
	q->admission_ms = 700;
	q->admission_each_ms = 10;
	q->ticket_ms = TICKET_MS;
}

static void
set_step(struct flow_lasting *l, Gyp__FlowStep *step, Gyp__Res *size,
    enum queue queue)
{
	gyp__flow_step__init(step);
	gyp__res__init(size);
	size->cpu_milli = draw(l, 300, 3000);
	size->memory = 1 << 20;
	step->size = size;
	step->count = draw(l, 1, 7);
	step->lasting = queue == LASTING;
	if (queue == LASTING) {
		if (draw(l, 0, 2) == 0)
			step->spread = draw(l, 1, 3);
		return;
	}
	/* The endpoints allowed for a gang may never have room for it. */
	step->gang = draw(l, 0, 8) == 0 && !(l->admission && queue == BATCH);
	step->estimate_ms = 1000;
	if (queue == BATCH)
		step->estimate_ms = draw(l, 1500, 8000);
}

static Gyp__Cmd *
new_flow(struct flow_lasting *l, enum queue queue)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlow flow = GYP__CMD_FLOW__INIT;
	Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
	Gyp__FlowQueue q = GYP__FLOW_QUEUE__INIT;
	Gyp__FlowStep step, *list[] = {&step};
	Gyp__Res size;

	set_queue(l, &q, queue);
	set_step(l, &step, &size, queue);
	spec.id = ++l->last_flow;
	spec.queue = &q;
	spec.n_steps = 1;
	spec.steps = list;
	flow.spec = &spec;
	cmd.c_case = GYP__CMD__C_FLOW;
	cmd.flow = &flow;
	if (queue == LASTING)
		g_queue_push_tail(
		    &l->lasting, GSIZE_TO_POINTER((gsize)spec.id));
	return gyp_message_copy(&cmd.base);
}

static Gyp__Cmd *
cancel_lasting(struct flow_lasting *l, bool last)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdFlowCancel cancel = GYP__CMD_FLOW_CANCEL__INIT;

	gpointer id = g_queue_pop_head(&l->lasting);

	/* The command may be lost with its leader. */
	if (!last)
		g_queue_push_tail(&l->lasting, id);
	cancel.flow = GPOINTER_TO_SIZE(id);
	cmd.c_case = GYP__CMD__C_FLOW_CANCEL;
	cmd.flow_cancel = &cancel;
	return gyp_message_copy(&cmd.base);
}

static void
change_load(struct flow_lasting *l, uint64_t now)
{
	if (now < l->stretch_until)
		return;
	l->overload = !l->overload;
	l->stretch_until = now + draw(l, STRETCH_MIN_MS, STRETCH_MAX_MS);
}

Gyp__Cmd *
flow_lasting_pop_cmd(struct flow_lasting *l, uint64_t now, bool submit)
{
	if (!submit)
		return g_queue_is_empty(&l->lasting) ? NULL
						     : cancel_lasting(l, true);
	change_load(l, now);
	if (now >= l->lasting_at && l->lasting_flows < LASTING_FLOWS) {
		l->lasting_at = now + draw(l, 200, 8000);
		l->lasting_flows++;
		return new_flow(l, LASTING);
	}
	if (now < l->submit_at || l->last_flow >= FLOWS_MAX)
		return NULL;
	l->submit_at =
	    now + (l->overload ? draw(l, 50, 350) : draw(l, 800, 2500));
	if (l->lasting.length > 4 && draw(l, 0, 40) == 0)
		return cancel_lasting(l, false);
	return new_flow(l, draw(l, 0, 6) == 0 ? URGENT : BATCH);
}

uint64_t
flow_lasting_flows(const struct flow_lasting *l)
{
	return l->last_flow;
}

/* ---- Leaders ------------------------------------------------------------ */

bool
flow_lasting_changes_leader(struct flow_lasting *l, uint64_t now)
{
	if (!flow_sim_in_burst(l->sim) || now < l->change_at)
		return false;
	l->change_at = now + draw(l, 5000, 60000);
	return true;
}

uint64_t
flow_lasting_first_beat_ms(struct flow_lasting *l)
{
	if (draw(l, 0, 2) == 0)
		return 0;
	return draw(l, 0, FIRST_BEAT_MS);
}

static void
drop_query(struct entry *e)
{
	gyp_message_free(e->query);
	e->query = NULL;
}

void
flow_lasting_leader_lost(struct flow_lasting *l)
{
	uint32_t i;

	for (i = 0; i < ENTRIES; i++)
		drop_query(&l->entries[i]);
}

/* ---- Admission service -------------------------------------------------- */

/* An entry is lost with its query; it may be back before this is noticed. */
static void
lose_entry(struct flow_lasting *l, uint64_t now)
{
	struct entry *e;

	if (!flow_sim_in_burst(l->sim) || now < l->entry_fault_at)
		return;
	l->entry_fault_at = now + draw(l, 300, 3000);
	e = &l->entries[draw(l, 0, ENTRIES)];
	drop_query(e);
	if (draw(l, 0, 2) == 0)
		e->absent_until = now + draw(l, 20, 4000);
	flow_sim_disturbed(l->sim);
}

void
flow_lasting_offer_entries(
    struct flow_lasting *l, uint64_t now, struct gyp_flow_scheduler *scheduler)
{
	uint32_t i;

	lose_entry(l, now);
	for (i = 0; i < ENTRIES && l->admission; i++) {
		if (now >= l->entries[i].absent_until)
			gyp_flow_scheduler_offer_entry(scheduler, now, i + 1);
	}
}

static void
take_query(struct flow_lasting *l, uint64_t now, uint64_t entry, Gyp__Ask *ask)
{
	struct entry *e = &l->entries[entry - 1];

	if (now < e->absent_until) {
		gyp_message_free(ask);
		return;
	}
	drop_query(e);
	e->query = ask;
	e->answer_at = now + draw(l, QUERY_MIN_MS, QUERY_MAX_MS);
}

static void
answer_query(struct flow_lasting *l, uint64_t now, uint64_t entry,
    struct gyp_flow_scheduler *scheduler)
{
	struct entry *e = &l->entries[entry - 1];
	Gyp__Advised answer = GYP__ADVISED__INIT;
	Gyp__Ticket *tickets = g_new(Gyp__Ticket, e->query->n_endpoints + 1);
	Gyp__Ticket **list = g_new(Gyp__Ticket *, e->query->n_endpoints + 1);
	size_t i;

	for (i = 0; i < e->query->n_endpoints; i++) {
		if (!flow_sim_allows(
			e->query->flow, e->query->step, e->query->endpoints[i]))
			continue;
		gyp__ticket__init(&tickets[i]);
		tickets[i].endpoint = e->query->endpoints[i];
		tickets[i].ticket = "ticket";
		list[answer.n_tickets++] = &tickets[i];
	}
	answer.id = e->query->id;
	answer.ok = true;
	answer.valid_ms = TICKET_MS;
	answer.tickets = list;
	gyp_flow_scheduler_query_answered(scheduler, now, entry, &answer);
	g_free(tickets);
	g_free(list);
	drop_query(e);
}

void
flow_lasting_admission(
    struct flow_lasting *l, uint64_t now, struct gyp_flow_scheduler *scheduler)
{
	Gyp__Ask *ask;
	uint64_t entry, i;

	while ((ask = gyp_flow_scheduler_pop_query(scheduler, &entry)) != NULL)
		take_query(l, now, entry, ask);
	for (i = 1; i <= ENTRIES; i++) {
		if (l->entries[i - 1].query != NULL &&
		    now >= l->entries[i - 1].answer_at)
			answer_query(l, now, i, scheduler);
	}
}

/* ---- Construction ------------------------------------------------------- */

struct flow_lasting *
flow_lasting_new(uint32_t seed, struct flow_sim *sim)
{
	struct flow_lasting *l = g_new0(struct flow_lasting, 1);

	l->rand = g_rand_new_with_seed(seed);
	l->sim = sim;
	l->admission = draw(l, 0, 2) == 0;
	g_queue_init(&l->lasting);
	return l;
}

void
flow_lasting_free(struct flow_lasting *l)
{
	flow_lasting_leader_lost(l);
	g_queue_clear(&l->lasting);
	g_rand_free(l->rand);
	g_free(l);
}
