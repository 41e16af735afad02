#include "policy_int.h"

/* Time for evicted attempts to end, in ms. */
#define CLAIM_MS 5000

struct victim {
	const struct gyp_job *job;
	uint32_t task;
	uint64_t since;
	uint32_t line;
};

static gint
youngest_first(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a, *y = b;

	return x->since > y->since ? -1 : x->since < y->since;
}

/* The line that lets the job push out the other, or NULL. */
static const struct gyp_rule *
may_evict(const struct gyp_policy *p, const struct gyp_job *job,
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
    const struct spot *s, bool same_team)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct victim));
	guint i;

	for (i = 0; i < s->ep->attempts->len; i++) {
		const struct gyp_task_ref *ref =
		    &g_array_index(s->ep->attempts, struct gyp_task_ref, i);
		struct victim v = {.job = gyp_state_job(p->state, ref->job),
		    .task = ref->task};
		const struct gyp_rule *rule = may_evict(p, job, v.job);

		if (rule == NULL || (same_team && g_strcmp0(v.job->spec->team,
						      job->spec->team) != 0))
			continue;
		v.since = v.job->tasks[ref->task].changed_ms;
		v.line = rule->line;
		g_array_append_val(list, v);
	}
	g_array_sort(list, youngest_first);
	return list;
}

/* Fewest of the youngest victims that make room; 0 when all are too few. */
static guint
count_needed(
    const struct spot *s, const struct gyp_job *job, const GArray *victims)
{
	struct gyp_res left = s->left;
	guint i;

	for (i = 0; i < victims->len; i++) {
		gyp_res_add(
		    &left, &g_array_index(victims, struct victim, i).job->size);
		if (gyp_res_fits(&job->size, &left))
			return i + 1;
	}
	return 0;
}

static void
evict(struct round *round, struct spot *s, const struct gyp_job *job,
    const GArray *victims, guint n)
{
	guint i;

	for (i = 0; i < n; i++) {
		const struct victim *v =
		    &g_array_index(victims, struct victim, i);
		struct gyp_eviction e = {.job = v->job->id,
		    .task = v->task,
		    .for_job = job->id,
		    .rule_line = v->line};

		g_array_append_val(round->out->evictions, e);
	}
	s->held_for = job->id;
	s->held_until = round->policy->now + CLAIM_MS;
}

static bool
has_claim(const struct gyp_policy *p, const struct gyp_job *job)
{
	uint32_t i;

	for (i = 0; i < index_size(p->index); i++) {
		struct spot *s = index_at(p->index, i);

		if (s == NULL || s->held_for == 0)
			continue;
		if (s->held_for != p->reserved && p->now > s->held_until)
			s->held_for = 0;
		else if (s->held_for == job->id)
			return true;
	}
	return false;
}

/* Least work lost: the endpoint where the fewest attempts must go. */
static struct spot *
cheapest(const struct round *round, const struct gyp_job *job, bool same_team,
    guint *needed)
{
	struct gyp_policy *p = round->policy;
	struct spot *best = NULL;
	uint32_t i;

	*needed = 0;
	for (i = 0; i < index_size(p->index); i++) {
		struct spot *s = index_at(p->index, i);
		GArray *victims;
		guint n;

		if (s == NULL || !s->usable || s->held_for != 0 ||
		    !gyp_res_fits(&job->size, &s->capacity))
			continue;
		victims = list_victims(p, job, s, same_team);
		n = count_needed(s, job, victims);
		if (n > 0 && (best == NULL || n < *needed)) {
			best = s;
			*needed = n;
		}
		g_array_free(victims, TRUE);
	}
	return best;
}

bool
preempt_for(struct round *round, struct lane *lane, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	bool same_team = queue_over_quota(lane->team, &job->size) != NULL;
	uint64_t waited = p->now - job->submitted_ms;
	uint64_t within = lane->urgent->u.within_ms;
	struct spot *s;
	GArray *victims;
	guint needed;

	/* Most of the time something ends before the time is up. */
	if (within != GYP_UNLIMITED && waited < within / 2)
		return false;
	if (round->preempt_left == 0 || has_claim(p, job))
		return false;
	round->preempt_left--;
	s = cheapest(round, job, same_team, &needed);
	if (s == NULL)
		return false;
	victims = list_victims(p, job, s, same_team);
	evict(round, s, job, victims, needed);
	g_array_free(victims, TRUE);
	return true;
}
