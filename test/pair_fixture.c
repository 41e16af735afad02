#include <string.h>

#include "pair_fixture.h"

const struct gyp_flow_task *
pair_fixture_task(const struct pair_fixture *f, uint32_t task)
{
	return &gyp_flow_get(f->base.flows, PAIR_FIXTURE_FLOW)->tasks[task];
}

bool
pair_fixture_is_open(const struct pair_fixture *f, uint32_t task)
{
	return pair_fixture_task(f, task)->state == GYP_FLOW_TASK_OPEN;
}

static void
answer_list(struct pair_fixture *f, uint64_t request)
{
	struct gyp_inventory_answer answer = {
	    .request = request, .complete = true};
	GHashTable *ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t i;

	for (i = 0; i < strlen(f->lists); i++)
		g_hash_table_add(ids, g_strndup(&f->lists[i], 1));
	answer.ids = ids;
	gyp_fleet_handle_inventory(f->base.fleet, f->base.now, &answer);
	g_hash_table_destroy(ids);
}

void
pair_fixture_answer(struct pair_fixture *f, struct gyp_fleet_call *call)
{
	bool is_a = call->row == f->a;

	if (is_a && f->long_polls_wait && call->wait_ms > 0) {
		gyp_fleet_call_free(call);
	} else if (is_a && f->a_lost) {
		flow_fixture_answer(&f->base, call, GYP_FLEET_LOST);
	} else if (call->kind == GYP_FLEET_POLL) {
		flow_fixture_answer_poll(&f->base, call,
		    is_a ? f->a_incarnation : 1, f->up, is_a ? f->n_up : 0,
		    NULL, 0);
	} else if (call->kind == GYP_FLEET_START && f->lost_starts > 0) {
		f->lost_starts--;
		flow_fixture_answer(&f->base, call, GYP_FLEET_CARRIER_LOST);
	} else {
		flow_fixture_answer(&f->base, call, GYP_FLEET_OK);
	}
}

/* Answers two calls and the request that is due. */
static void
answer_due(struct pair_fixture *f)
{
	struct gyp_fleet_call *call;
	uint64_t request;
	int i;

	/* Each answer makes the next poll of the endpoint due. */
	for (i = 0; i < 2; i++) {
		call = gyp_fleet_pop_call(f->base.fleet);
		if (call != NULL)
			pair_fixture_answer(f, call);
	}
	if (gyp_fleet_pop_inventory_request(f->base.fleet, &request))
		answer_list(f, request);
}

void
pair_fixture_play(struct pair_fixture *f, uint64_t ms)
{
	uint64_t end = f->base.now + ms;

	while (f->base.now < end) {
		flow_fixture_advance(&f->base, 10);
		answer_due(f);
	}
}

void
pair_fixture_init_with(struct pair_fixture *f, bool lasting, bool gang)
{
	Gyp__FlowStep step = flow_fixture_step(2);

	*f = (struct pair_fixture){.lists = "ab", .a_incarnation = 1};
	step.lasting = lasting;
	step.gang = gang;
	flow_fixture_init(&f->base);
	f->base.inventory = true;
	flow_fixture_new_leader(&f->base, 1);
	f->a = flow_fixture_add_host(&f->base, "a", 1);
	f->b = flow_fixture_add_host(&f->base, "b", 1);
	flow_fixture_submit(&f->base, PAIR_FIXTURE_FLOW, &step, 1);
	pair_fixture_play(f, 2 * PAIR_FIXTURE_LAG_MS);
}

void
pair_fixture_init(struct pair_fixture *f)
{
	pair_fixture_init_with(f, true, false);
}

void
pair_fixture_run_on_a(struct pair_fixture *f, uint32_t last, uint64_t ms)
{
	flow_fixture_start(&f->base, PAIR_FIXTURE_FLOW, 0, last, 1, f->a);
	f->up[0] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 0, 1, 0, 0};
	f->up[1] = (struct flow_fixture_run){PAIR_FIXTURE_FLOW, 1, 1, 0, 0};
	f->n_up = last + 1;
	pair_fixture_play(f, ms);
	g_assert_true(pair_fixture_is_open(f, 0));
}

void
pair_fixture_end_a(struct pair_fixture *f)
{
	f->a_lost = true;
	f->lists = "b";
}

void
pair_fixture_assert_ends(struct pair_fixture *f, uint64_t ms)
{
	uint64_t since = f->base.now;

	while (pair_fixture_is_open(f, 0) && f->base.now < since + 30000)
		pair_fixture_play(f, 10);
	g_assert_cmpuint(f->base.now - since, <=, ms);
}

void
pair_fixture_assert_waits(struct pair_fixture *f)
{
	pair_fixture_play(f, FLOW_FIXTURE_LEASE_MS - 1500);
	g_assert_true(pair_fixture_is_open(f, 0));
}
