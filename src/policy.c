#include "policy.h"
#include "mutant.h"

/* An endpoint during one round, with what earlier choices left free. */
struct candidate {
	const struct gyp_endpoint *endpoint;
	struct gyp_res left;
};

struct round {
	const struct gyp_policy *policy;
	GArray *candidates; /* struct candidate */
	GArray *choices;
	uint32_t budget;
	uint32_t next_group;
};

static double
share_used(uint64_t left, uint64_t capacity)
{
	return capacity == 0 ? 0 : 1.0 - (double)left / (double)capacity;
}

static double
best_fit_score(const struct gyp_policy *policy, const struct gyp_job *job,
    const struct gyp_endpoint *ep, const struct gyp_res *left)
{
	(void)policy;
	(void)job;
	return share_used(left->cpu_milli, ep->capacity.cpu_milli) +
	       share_used(left->memory, ep->capacity.memory);
}

struct gyp_policy *
gyp_policy_best_fit(void)
{
	static const struct gyp_policy_ops ops = {
	    .name = "best-fit", .score = best_fit_score};
	static struct gyp_policy policy = {.ops = &ops};

	return &policy;
}

static GArray *
list_candidates(const struct gyp_state *s)
{
	const struct gyp_table *t = gyp_state_endpoints(s);
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);
		struct candidate c;

		if (ep == NULL || ep->state != GYP_ENDPOINT_ACTIVE)
			continue;
		c.endpoint = ep;
		c.left = ep->capacity;
		gyp_res_sub(&c.left, &ep->booked);
		g_array_append_val(list, c);
	}
	return list;
}

static struct candidate *
find_best(const struct round *round, const struct gyp_job *job)
{
	struct candidate *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < round->candidates->len; i++) {
		struct candidate *c =
		    &g_array_index(round->candidates, struct candidate, i);
		struct gyp_res left = c->left;
		double score;

		if (!gyp_res_fits(&job->size, &left))
			continue;
		gyp_res_sub(&left, &job->size);
		score = round->policy->ops->score(
		    round->policy, job, c->endpoint, &left);
		if (best == NULL || score > best_score) {
			best = c;
			best_score = score;
		}
	}
	return best;
}

static bool
choose(struct round *round, const struct gyp_job *job, uint32_t task)
{
	struct candidate *c = find_best(round, job);
	struct gyp_choice choice;

	if (c == NULL)
		return false;
	gyp_res_sub(&c->left, &job->size);
	choice.job = job->id;
	choice.task = task;
	choice.endpoint = c->endpoint->id;
	choice.group = round->next_group;
	g_array_append_val(round->choices, choice);
	return true;
}

/* Gives back the choices made since length len. */
static void
undo_choices(struct round *round, const struct gyp_job *job, guint len)
{
	guint i, k;

	for (i = len; i < round->choices->len; i++) {
		uint64_t id =
		    g_array_index(round->choices, struct gyp_choice, i)
			.endpoint;

		for (k = 0; k < round->candidates->len; k++) {
			struct candidate *c = &g_array_index(
			    round->candidates, struct candidate, k);

			if (c->endpoint->id == id)
				gyp_res_add(&c->left, &job->size);
		}
	}
	g_array_set_size(round->choices, len);
}

static void
choose_gang(struct round *round, const struct gyp_job *job)
{
	guint before = round->choices->len;
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state != GYP_TASK_QUEUED ||
		    !choose(round, job, i)) {
			undo_choices(round, job, before);
			return;
		}
		round->next_group += GYP_MUTANT(GANG_SINGLY);
	}
	round->next_group++;
}

static void
choose_tasks(struct round *round, const struct gyp_job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		if (round->choices->len >= round->budget)
			return;
		if (job->tasks[i].state != GYP_TASK_QUEUED)
			continue;
		if (!choose(round, job, i))
			return;
		round->next_group++;
	}
}

static void
choose_all(struct round *round, const struct gyp_state *s, bool urgent)
{
	const GList *l;

	for (l = gyp_state_queue(s)->head; l != NULL; l = l->next) {
		const struct gyp_job *job = l->data;

		if (round->choices->len >= round->budget)
			return;
		if ((bool)job->spec->urgent != urgent)
			continue;
		if (job->spec->kind == GYP__KIND__KIND_GANG)
			choose_gang(round, job);
		else
			choose_tasks(round, job);
	}
}

void
gyp_policy_decide(const struct gyp_policy *policy, const struct gyp_state *s,
    uint32_t budget, GArray *choices)
{
	struct round round = {
	    .policy = policy, .choices = choices, .budget = budget};

	if (gyp_state_queue(s)->length == 0)
		return;
	round.candidates = list_candidates(s);
	choose_all(&round, s, true);
	choose_all(&round, s, false);
	g_array_free(round.candidates, TRUE);
}

bool
gyp_policy_feasible(const struct gyp_state *s, const struct gyp_job *job)
{
	const struct gyp_table *t = gyp_state_endpoints(s);
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep != NULL && gyp_res_fits(&job->size, &ep->capacity))
			return true;
	}
	return false;
}
