#include "policy_int.h"

/* Appends a rule line, or the text of a built-in default. */
static void
add_rule(GString *out, const struct gyp_rule *rule)
{
	if (rule == NULL)
		return;
	if (rule->line == 0)
		g_string_append_printf(out, "  %s\n", rule->text);
	else
		g_string_append_printf(
		    out, "  rules line %u: %s\n", rule->line, rule->text);
}

static void
add_placed(GString *out, const struct gyp_policy *p, const struct gyp_job *job)
{
	uint32_t i;

	for (i = 0; i < job->n_tasks; i++) {
		const struct gyp_task *t = &job->tasks[i];
		const struct gyp_endpoint *ep;

		if (t->state != GYP_TASK_PLACED)
			continue;
		ep = gyp_state_endpoint(p->state, t->endpoint);
		g_string_append_printf(out,
		    "task %u: attempt %u on %s, rack %s, data centre %s\n", i,
		    t->attempt, ep->spec->name, ep->spec->rack,
		    ep->spec->data_centre);
	}
}

static void
add_waiting(GString *out, struct gyp_policy *p, const struct queue *queue,
    const struct gyp_job *job)
{
	g_string_append_printf(
	    out, "%u of %u tasks wait: ", job->n_queued, job->n_tasks);
	if (queue_exceeded_quota(
		queue->team, &job->size, policy_tasks_at_once(job)) != NULL) {
		g_string_append_printf(
		    out, "team %s is at its quota\n", queue->team->name);
		add_rule(out, queue->team->quota);
	} else if (gyp_health_is_faulty_job(p->health, job->id)) {
		g_string_append(out, "it failed at several endpoints and is "
				     "retried less often\n");
	} else if (!index_is_feasible(p->index, &job->size)) {
		g_string_append(out, "no announced endpoint could hold one\n");
	} else {
		g_string_append_printf(out, "%s\n",
		    queue->blocked_reason != NULL ? queue->blocked_reason
						  : "not tried yet");
		if (gyp_rules_reserve(p->rules) != NULL)
			add_rule(out, gyp_rules_reserve(p->rules));
	}
	if (p->reserved_job == job->id)
		g_string_append(out, "endpoints are reserved for it\n");
	else if (p->reserved_job != 0)
		g_string_append_printf(out,
		    "endpoints are reserved for job %" G_GINT64_MODIFIER
		    "x, which has waited longer\n",
		    p->reserved_job);
}

char *
gyp_policy_explain(struct gyp_policy *p, const struct gyp_job *job)
{
	GString *out = g_string_new(NULL);
	struct queue *queue;

	if (p->state == NULL)
		return g_string_free(out, FALSE);
	queue = queue_for_job(p, job);
	add_placed(out, p, job);
	if (job->n_queued > 0)
		add_waiting(out, p, queue, job);
	g_string_append_printf(out,
	    "policy %s; these rules set its order and placement:\n",
	    p->ops->name);
	add_rule(out, queue->urgent);
	add_rule(out, queue->weight);
	add_rule(out, queue->team->share);
	add_rule(out, queue->spread);
	if (queue->urgent->u.within_ms != GYP_UNLIMITED)
		add_rule(
		    out, gyp_rules_preempt(p->rules, "*", job->spec->class_));
	return g_string_free(out, FALSE);
}
