#include "policy_int.h"

/* Time that an endpoint is held while evicted attempts end, in ms. */
#define EVICTION_HOLD_MS 5000

struct victim {
	const struct gyp_job *job;
	uint32_t task;
	uint64_t placed_ms;
	uint32_t rule_line;
};

static gint
youngest_first(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a, *y = b;

	return x->placed_ms > y->placed_ms ? -1 : x->placed_ms < y->placed_ms;
}

/* Returns the rule that lets the job preempt the other, or NULL. */
static const struct gyp_rule *
eviction_rule(const struct gyp_policy *p, const struct gyp_job *job,
    const struct gyp_job *other)
{
	if (!other->spec->idempotent || other->cancelled ||
	    other->spec->kind == GYP__KIND__KIND_GANG || other->spec->urgent)
		return NULL;
	return gyp_rules_preempt(
	    p->rules, other->spec->class_, job->spec->class_);
}

static GArray *
list_victims(const struct gyp_policy *p, const struct gyp_job *job,
    const struct endpoint_view *view, bool same_team)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct victim));
	guint i;

	for (i = 0; i < view->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(view->ep->attempts, struct gyp_task_ref, i);
		struct victim v = {.job = gyp_state_job(p->state, ref->job),
		    .task = ref->task};
		const struct gyp_rule *rule = eviction_rule(p, job, v.job);

		if (rule == NULL || (same_team && g_strcmp0(v.job->spec->team,
						      job->spec->team) != 0))
			continue;
		v.placed_ms = v.job->tasks[ref->task].changed_ms;
		v.rule_line = rule->line;
		g_array_append_val(list, v);
	}
	g_array_sort(list, youngest_first);
	return list;
}

/*
 * Returns how many victims, the youngest first, must be evicted for a task to
 * fit; 0 if evicting all of them is not enough.
 */
static guint
count_victims_needed(const struct endpoint_view *view,
    const struct gyp_job *job, const GArray *victims)
{
	struct gyp_res available = view->available;
	guint i;

	for (i = 0; i < victims->len; i++) {
		gyp_res_add(&available,
		    &g_array_index(victims, struct victim, i).job->size);
		if (gyp_res_fits(&job->size, &available))
			return i + 1;
	}
	return 0;
}

static void
propose_evictions(struct round *round, struct endpoint_view *view,
    const struct gyp_job *job, const GArray *victims, guint n)
{
	guint i;

	for (i = 0; i < n; i++) {
		const struct victim *v =
		    &g_array_index(victims, struct victim, i);
		struct gyp_eviction e = {.job = v->job->id,
		    .task = v->task,
		    .preemptor = job->id,
		    .rule_line = v->rule_line};

		g_array_append_val(round->out->evictions, e);
	}
	view->held_for = job->id;
	view->held_until = round->policy->now + EVICTION_HOLD_MS;
}

/* Returns true if an endpoint is held for the job; drops expired holds. */
static bool
holds_endpoint(const struct gyp_policy *p, const struct gyp_job *job)
{
	uint32_t i;

	for (i = 0; i < index_size(p->index); i++) {
		struct endpoint_view *view = index_at(p->index, i);

		if (view == NULL || view->held_for == 0)
			continue;
		if (view->held_for != p->reserved_job &&
		    p->now > view->held_until)
			view->held_for = 0;
		else if (view->held_for == job->id)
			return true;
	}
	return false;
}

/* Finds the endpoint with the fewest attempts to evict: least work lost. */
static struct endpoint_view *
cheapest_eviction(const struct round *round, const struct gyp_job *job,
    bool same_team, guint *needed)
{
	struct gyp_policy *p = round->policy;
	struct endpoint_view *best = NULL;
	uint32_t i;

	*needed = 0;
	for (i = 0; i < index_size(p->index); i++) {
		struct endpoint_view *view = index_at(p->index, i);
		GArray *victims;
		guint n;

		if (view == NULL || !view->usable || view->held_for != 0 ||
		    !gyp_res_fits(&job->size, &view->capacity))
			continue;
		victims = list_victims(p, job, view, same_team);
		n = count_victims_needed(view, job, victims);
		if (n > 0 && (best == NULL || n < *needed)) {
			best = view;
			*needed = n;
		}
		g_array_free(victims, TRUE);
	}
	return best;
}

bool
preempt_for(struct round *round, struct queue *queue, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	bool same_team = queue_exceeded_quota(queue->team, &job->size,
			     policy_tasks_at_once(job)) != NULL;
	uint64_t waited = p->now - job->submitted_ms;
	uint64_t within = queue->urgent->u.within_ms;
	struct endpoint_view *view;
	GArray *victims;
	guint needed;

	/*
	 * Preemption waits for half of the time allowed: usually an attempt
	 * ends by itself by then.
	 */
	if (within != GYP_UNLIMITED && waited < within / 2)
		return false;
	if (round->preempts_left == 0 || holds_endpoint(p, job))
		return false;
	round->preempts_left--;
	view = cheapest_eviction(round, job, same_team, &needed);
	if (view == NULL)
		return false;
	victims = list_victims(p, job, view, same_team);
	propose_evictions(round, view, job, victims, needed);
	g_array_free(victims, TRUE);
	return true;
}
