#include <string.h>

#include "admin_int.h"
#include "json.h"

/* Most earlier jobs that are listed by id. */
#define AHEAD_LISTED_MAX 5

struct explain {
	const struct gyp_replica *r;
	const struct gyp_job *job;
	json_t *reasons;
	json_t *rules; /* rules that decided, each once */
};

static void add_reason(struct explain *ex, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_reason(struct explain *ex, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	json_array_append_new(ex->reasons, json_string(text));
	g_free(text);
}

/* Lists a rule once; line 0 is a built-in default. */
static void
add_rule(struct explain *ex, const struct gyp_rule *rule)
{
	size_t i;
	json_t *old;

	if (rule == NULL)
		return;
	json_array_foreach(ex->rules, i, old)
	{
		if (strcmp(json_string_value(json_object_get(old, "text")),
			rule->text) == 0)
			return;
	}
	json_array_append_new(
	    ex->rules, json_pack("{s:I,s:s}", "line", (json_int_t)rule->line,
			   "text", rule->text));
}

/* Lists a rule, unless it is a built-in default. */
static void
add_explicit_rule(struct explain *ex, const struct gyp_rule *rule)
{
	if (rule != NULL && rule->line != 0)
		add_rule(ex, rule);
}

/* ---- Waiting jobs ------------------------------------------------------ */

/* How many endpoints fit a task, and why others do not. */
struct endpoint_counts {
	uint32_t announced;
	uint32_t not_active; /* leaving, drained or quarantined */
	uint32_t too_small;  /* even when empty */
	uint32_t short_cpu;  /* counted by the first resource that is short */
	uint32_t short_memory;
	uint32_t short_accel;
	uint32_t short_slots;
	uint32_t fitting;
	struct gyp_res largest; /* of each resource, over all endpoints */
};

static void
update_largest(struct gyp_res *largest, const struct gyp_res *capacity)
{
	largest->cpu_milli = MAX(largest->cpu_milli, capacity->cpu_milli);
	largest->memory = MAX(largest->memory, capacity->memory);
	largest->accel = MAX(largest->accel, capacity->accel);
	largest->slots = MAX(largest->slots, capacity->slots);
}

static void
count_endpoint(struct endpoint_counts *counts, const struct gyp_endpoint *ep,
    const struct gyp_res *size)
{
	struct gyp_res available = ep->capacity;

	counts->announced++;
	update_largest(&counts->largest, &ep->capacity);
	gyp_res_sub(&available, &ep->booked);
	if (!gyp_res_fits(size, &ep->capacity))
		counts->too_small++;
	else if (ep->state != GYP_ENDPOINT_ACTIVE)
		counts->not_active++;
	else if (available.cpu_milli < size->cpu_milli)
		counts->short_cpu++;
	else if (available.memory < size->memory)
		counts->short_memory++;
	else if (available.accel < size->accel)
		counts->short_accel++;
	else if (available.slots < size->slots)
		counts->short_slots++;
	else
		counts->fitting++;
}

static struct endpoint_counts
count_endpoints(const struct explain *ex)
{
	const struct gyp_table *t = gyp_state_endpoints(ex->r->state);
	struct endpoint_counts counts = {.announced = 0};
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep != NULL)
			count_endpoint(&counts, ep, &ex->job->size);
	}
	return counts;
}

static void
explain_capacity(struct explain *ex)
{
	const struct gyp_res *size = &ex->job->size;
	struct endpoint_counts counts = count_endpoints(ex);

	if (counts.announced == 0) {
		add_reason(ex, "no endpoint has announced itself");
		return;
	}
	if (counts.too_small == counts.announced) {
		add_reason(ex,
		    "no announced endpoint could hold a task even if it were "
		    "empty: a task needs cpu_milli=%u "
		    "memory_bytes=%" G_GUINT64_FORMAT
		    " accelerators=%u slots=%u, the largest of %u endpoints "
		    "have cpu_milli=%u memory_bytes=%" G_GUINT64_FORMAT
		    " accelerators=%u slots=%u",
		    size->cpu_milli, size->memory, size->accel, size->slots,
		    counts.announced, counts.largest.cpu_milli,
		    counts.largest.memory, counts.largest.accel,
		    counts.largest.slots);
		return;
	}
	add_reason(ex,
	    "of %u endpoints %u have free capacity for a task now, %u are too "
	    "small even when empty, %u are leaving, drained or quarantined; "
	    "short "
	    "of processors: %u, of memory: %u, of accelerators: %u, of slots: "
	    "%u",
	    counts.announced, counts.fitting, counts.too_small,
	    counts.not_active, counts.short_cpu, counts.short_memory,
	    counts.short_accel, counts.short_slots);
	if (ex->job->spec->kind == GYP__KIND__KIND_GANG)
		add_reason(ex, "all %u tasks must fit at the same time",
		    ex->job->n_tasks);
}

static struct gyp_res
booked_by_team(const struct gyp_replica *r, const char *team)
{
	const struct gyp_table *t = gyp_state_jobs(r->state);
	struct gyp_res sum = {0, 0, 0, 0};
	uint32_t i, k;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_job *job = gyp_table_at(t, i, NULL);

		if (job == NULL || strcmp(job->spec->team, team) != 0)
			continue;
		for (k = 0; k < job->n_placed; k++)
			gyp_res_add(&sum, &job->size);
	}
	return sum;
}

static void
explain_quota(struct explain *ex)
{
	const char *team = ex->job->spec->team;
	const struct gyp_rule *quota = gyp_rules_quota(ex->r->rules, team);
	struct gyp_res sum = booked_by_team(ex->r, team);

	gyp_res_add(&sum, &ex->job->size);
	if (gyp_res_fits(&sum, &quota->u.quota))
		return;
	gyp_res_sub(&sum, &ex->job->size);
	add_reason(ex,
	    "team %s is at its quota: it has booked cpu_milli=%u "
	    "memory_bytes=%" G_GUINT64_FORMAT " accelerators=%u slots=%u",
	    team, sum.cpu_milli, sum.memory, sum.accel, sum.slots);
	add_rule(ex, quota);
}

static void
explain_queue(struct explain *ex)
{
	GString *names = g_string_new(NULL);
	const GList *l = gyp_state_queue(ex->r->state)->head;
	uint32_t ahead = 0;

	for (; l != NULL && l->data != ex->job; l = l->next, ahead++) {
		const struct gyp_job *other = l->data;

		if (ahead < AHEAD_LISTED_MAX)
			g_string_append_printf(names,
			    "%s%" G_GINT64_MODIFIER "x (%s)",
			    ahead > 0 ? ", " : "", other->id,
			    other->spec->class_);
	}
	if (ahead > 0)
		add_reason(ex, "%u jobs were submitted before it: %s%s", ahead,
		    names->str, ahead > AHEAD_LISTED_MAX ? ", ..." : "");
	g_string_free(names, TRUE);
}

static void
explain_deadline(struct explain *ex)
{
	uint64_t end = ex->job->submitted_ms + ex->job->spec->deadline_ms;
	uint64_t now = gyp_replica_cell_time(ex->r);

	if (ex->job->spec->deadline_ms == 0 || ex->job->n_placed > 0)
		return;
	if (end > now)
		add_reason(ex,
		    "it will end as not run in %" G_GUINT64_FORMAT
		    " ms, at its deadline",
		    end - now);
	else
		add_reason(ex, "its deadline has passed");
}

/*
 * Adds why the policy did not place the job in its last round: the first lines
 * of its explanation, up to the rules, which the report lists separately.
 */
static void
explain_policy(struct explain *ex)
{
	char *text = gyp_policy_explain(ex->r->policy, ex->job);
	char **lines = g_strsplit(text, "\n", -1);
	size_t i;

	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], "policy "))
			break;
		if (lines[i][0] != '\0' && lines[i][0] != ' ' &&
		    !g_str_has_prefix(lines[i], "task "))
			add_reason(ex, "%s", lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
}

static void
explain_waiting(struct explain *ex)
{
	const char *class_name = ex->job->spec->class_;

	explain_policy(ex);
	explain_quota(ex);
	explain_capacity(ex);
	explain_queue(ex);
	explain_deadline(ex);
	add_explicit_rule(ex, gyp_rules_urgent(ex->r->rules, class_name));
	add_explicit_rule(
	    ex, gyp_rules_share(ex->r->rules, ex->job->spec->team));
	add_explicit_rule(ex, gyp_rules_weight(ex->r->rules, class_name));
	add_explicit_rule(ex, gyp_rules_reserve(ex->r->rules));
}

/* ---- Placed and ended jobs --------------------------------------------- */

static void
explain_placed(struct explain *ex)
{
	const char *class_name = ex->job->spec->class_;
	const struct gyp_rules *rules = ex->r->rules;
	const struct gyp_rule *weight = gyp_rules_weight(rules, class_name);
	uint32_t waiting = weight->u.weight.waiting;
	uint32_t packing = weight->u.weight.packing;

	add_reason(ex,
	    "%u of %u tasks are placed; among the endpoints with free capacity "
	    "the score weighs waiting %u against packing %u",
	    ex->job->n_placed, ex->job->n_tasks, waiting, packing);
	add_rule(ex, weight);
	add_explicit_rule(ex, gyp_rules_spread(rules, class_name));
	add_explicit_rule(ex, gyp_rules_limit(rules, "endpoint"));
	add_explicit_rule(ex, gyp_rules_limit(rules, "rack"));
}

static void
explain_end(struct explain *ex)
{
	const char *reason = ex->job->reason != NULL ? ex->job->reason : "";

	add_reason(ex, "it has ended: %s%s%s",
	    gyp_outcome_name(ex->job->outcome), reason[0] != '\0' ? ", " : "",
	    reason);
	if (ex->job->outcome != GYP__OUTCOME__OUTCOME_DONE)
		add_rule(
		    ex, gyp_rules_retry(ex->r->rules, ex->job->spec->class_));
}

/* ---- Report ------------------------------------------------------------ */

static json_t *
task_json(const struct explain *ex, uint32_t index)
{
	static const char *const states[] = {"queued", "placed", "over"};
	const struct gyp_task *t = &ex->job->tasks[index];
	const struct gyp_endpoint *ep =
	    t->state == GYP_TASK_PLACED
		? gyp_state_endpoint(ex->r->state, t->endpoint)
		: NULL;
	json_t *json =
	    json_pack("{s:I,s:s,s:I,s:I,s:I}", "task", (json_int_t)index,
		"state", states[t->state], "attempts", (json_int_t)t->attempt,
		"failures", (json_int_t)t->failures, "since_ms",
		(json_int_t)(gyp_replica_cell_time(ex->r) -
			     MIN(t->changed_ms, gyp_replica_cell_time(ex->r))));

	if (ep != NULL)
		json_object_update_new(
		    json, json_pack("{s:s,s:s,s:s}", "endpoint", ep->spec->name,
			      "rack", ep->spec->rack, "data_centre",
			      ep->spec->data_centre));
	return json;
}

json_t *
gyp_admin_explain(const struct gyp_replica *r, uint64_t id)
{
	struct explain ex = {.r = r, .job = gyp_state_job(r->state, id)};
	json_t *tasks = json_array();
	char hex[GYP_HEX_MAX];
	uint32_t i;

	if (ex.job == NULL) {
		json_decref(tasks);
		return NULL;
	}
	ex.reasons = json_array();
	ex.rules = json_array();
	if (ex.job->cancelled)
		add_reason(&ex, "it was cancelled: %s", ex.job->reason);
	if (ex.job->n_queued > 0)
		explain_waiting(&ex);
	if (ex.job->n_placed > 0)
		explain_placed(&ex);
	if (ex.job->outcome != GYP__OUTCOME__OUTCOME_NONE)
		explain_end(&ex);
	for (i = 0; i < ex.job->n_tasks; i++)
		json_array_append_new(tasks, task_json(&ex, i));
	gyp_hex_format(id, hex);
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:o,s:o,s:o,s:o,s:I}", "job",
	    hex, "kind", gyp_kind_name(ex.job->spec->kind), "team",
	    ex.job->spec->team, "class", ex.job->spec->class_, "outcome",
	    gyp_outcome_name(ex.job->outcome), "size",
	    gyp_admin_res(&ex.job->size), "reasons", ex.reasons, "rules",
	    ex.rules, "tasks", tasks, "rules_version",
	    (json_int_t)r->rules_version);
}
