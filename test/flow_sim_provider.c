#include "flow_sim_int.h"

/* Longest time until a list arrives, in ms. */
#define DELAY_MAX_MS 400

/* Share of requests that are lost, and of lists that are cut short. */
#define LOST_PERCENT  5
#define SHORT_PERCENT 5

struct flow_sim_provider {
	GRand *rand;
	GHashTable *published; /* set of ids */
	uint64_t publish_at;
	uint64_t request; /* open request; 0: none */
	uint64_t answer_at;
	GHashTable *answer; /* set of ids */
	bool complete;
	uint64_t lists;
};

static GHashTable *
new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct flow_sim_provider *
flow_sim_provider_new(uint32_t seed)
{
	struct flow_sim_provider *p = g_new0(struct flow_sim_provider, 1);

	p->rand = g_rand_new_with_seed(seed);
	p->published = new_set();
	p->answer = new_set();
	return p;
}

void
flow_sim_provider_free(struct flow_sim_provider *p)
{
	g_hash_table_destroy(p->published);
	g_hash_table_destroy(p->answer);
	g_rand_free(p->rand);
	g_free(p);
}

/* An endpoint that is only cut off is published. */
static void
publish(struct flow_sim *s)
{
	struct flow_sim_provider *p = s->provider;
	guint i;

	p->publish_at =
	    s->now + (uint64_t)g_rand_int_range(p->rand, 50, FLOW_SIM_LIST_MS);
	g_hash_table_remove_all(p->published);
	for (i = 0; i < s->n_endpoints; i++) {
		if (is_up(s, &s->endpoints[i]))
			g_hash_table_add(
			    p->published, g_strdup(s->endpoints[i].id));
	}
}

void
flow_sim_request_list(struct flow_sim *s, uint64_t now, uint64_t request)
{
	struct flow_sim_provider *p = s->provider;
	GHashTableIter iter;
	gpointer id;

	p->lists++;
	p->request = 0;
	if (g_rand_int_range(p->rand, 0, 100) < LOST_PERCENT)
		return;
	p->request = request;
	p->answer_at =
	    now + (uint64_t)g_rand_int_range(p->rand, 2, DELAY_MAX_MS);
	p->complete = g_rand_int_range(p->rand, 0, 100) >= SHORT_PERCENT;
	g_hash_table_remove_all(p->answer);
	g_hash_table_iter_init(&iter, p->published);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		if (p->complete || g_rand_boolean(p->rand))
			g_hash_table_add(p->answer, g_strdup(id));
	}
}

void
flow_sim_provider_tick(struct flow_sim *s, struct gyp_flow_scheduler *scheduler)
{
	struct flow_sim_provider *p = s->provider;
	struct gyp_inventory_answer a = {.request = p->request,
	    .complete = p->complete,
	    .ids = p->answer,
	    .reason = "cut"};

	if (s->now >= p->publish_at)
		publish(s);
	if (p->request == 0 || s->now < p->answer_at)
		return;
	p->request = 0;
	if (scheduler != NULL)
		gyp_fleet_handle_inventory(
		    gyp_flow_scheduler_fleet(scheduler), s->now, &a);
}

uint64_t
flow_sim_lists(const struct flow_sim *s)
{
	return s->provider->lists;
}
