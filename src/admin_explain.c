#include <string.h>

#include "admin_int.h"
#include "json.h"

/* Most jobs named as being ahead in the queue. */
#define AHEAD_NAMED_MAX 5

struct explain {
	const struct gyp_replica *r;
	const struct gyp_job *job;
	json_t *reasons;
	json_t *rules; /* lines that decided, each once */
};

static void add_reason(struct explain *x, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_reason(struct explain *x, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	json_array_append_new(x->reasons, json_string(text));
	g_free(text);
}

/* Names a rule line; line 0 is a built-in default. */
static void
add_rule(struct explain *x, const struct gyp_rule *rule)
{
	size_t i;
	json_t *old;

	if (rule == NULL)
		return;
	json_array_foreach(x->rules, i, old)
	{
		if (strcmp(json_string_value(json_object_get(old, "text")),
			rule->text) == 0)
			return;
	}
	json_array_append_new(
	    x->rules, json_pack("{s:I,s:s}", "line", (json_int_t)rule->line,
			  "text", rule->text));
}

/* Names a line of the file, but no built-in default. */
static void
add_written(struct explain *x, const struct gyp_rule *rule)
{
	if (rule != NULL && rule->line != 0)
		add_rule(x, rule);
}

/* ---- Why it waits ------------------------------------------------------ */

/* What the endpoints offer for one task of a size. */
struct offer {
	uint32_t announced;
	uint32_t closed;    /* leaving, drained or quarantined */
	uint32_t too_small; /* even when empty */
	uint32_t short_cpu; /* counted by the first resource that lacks */
	uint32_t short_memory;
	uint32_t short_accel;
	uint32_t short_slots;
	uint32_t free;
	struct gyp_res largest; /* of each resource, over all endpoints */
};

static void
take_largest(struct gyp_res *largest, const struct gyp_res *capacity)
{
	largest->cpu_milli = MAX(largest->cpu_milli, capacity->cpu_milli);
	largest->memory = MAX(largest->memory, capacity->memory);
	largest->accel = MAX(largest->accel, capacity->accel);
	largest->slots = MAX(largest->slots, capacity->slots);
}

static void
count_endpoint(
    struct offer *o, const struct gyp_endpoint *ep, const struct gyp_res *size)
{
	struct gyp_res left = ep->capacity;

	o->announced++;
	take_largest(&o->largest, &ep->capacity);
	gyp_res_sub(&left, &ep->booked);
	if (!gyp_res_fits(size, &ep->capacity))
		o->too_small++;
	else if (ep->state != GYP_ENDPOINT_ACTIVE)
		o->closed++;
	else if (left.cpu_milli < size->cpu_milli)
		o->short_cpu++;
	else if (left.memory < size->memory)
		o->short_memory++;
	else if (left.accel < size->accel)
		o->short_accel++;
	else if (left.slots < size->slots)
		o->short_slots++;
	else
		o->free++;
}

static struct offer
count_offer(const struct explain *x)
{
	const struct gyp_table *t = gyp_state_endpoints(x->r->state);
	struct offer o = {.announced = 0};
	uint32_t i;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep != NULL)
			count_endpoint(&o, ep, &x->job->size);
	}
	return o;
}

static void
explain_capacity(struct explain *x)
{
	const struct gyp_res *size = &x->job->size;
	struct offer o = count_offer(x);

	if (o.announced == 0) {
		add_reason(x, "no endpoint has announced itself");
		return;
	}
	if (o.too_small == o.announced) {
		add_reason(x,
		    "no announced endpoint could hold a task even if it were "
		    "empty: a task needs cpu_milli=%u "
		    "memory_bytes=%" G_GUINT64_FORMAT
		    " accelerators=%u slots=%u, the largest of %u endpoints "
		    "have cpu_milli=%u memory_bytes=%" G_GUINT64_FORMAT
		    " accelerators=%u slots=%u",
		    size->cpu_milli, size->memory, size->accel, size->slots,
		    o.announced, o.largest.cpu_milli, o.largest.memory,
		    o.largest.accel, o.largest.slots);
		return;
	}
	add_reason(x,
	    "of %u endpoints %u have room for a task now, %u are too small "
	    "even when empty, %u are leaving, drained or quarantined; short "
	    "of processors: %u, of memory: %u, of accelerators: %u, of slots: "
	    "%u",
	    o.announced, o.free, o.too_small, o.closed, o.short_cpu,
	    o.short_memory, o.short_accel, o.short_slots);
	if (x->job->spec->kind == GYP__KIND__KIND_GANG)
		add_reason(x, "all %u tasks must fit at the same time",
		    x->job->n_tasks);
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
explain_quota(struct explain *x)
{
	const char *team = x->job->spec->team;
	const struct gyp_rule *quota = gyp_rules_quota(x->r->rules, team);
	struct gyp_res sum = booked_by_team(x->r, team);

	gyp_res_add(&sum, &x->job->size);
	if (gyp_res_fits(&sum, &quota->u.quota))
		return;
	gyp_res_sub(&sum, &x->job->size);
	add_reason(x,
	    "team %s is at its quota: it has booked cpu_milli=%u "
	    "memory_bytes=%" G_GUINT64_FORMAT " accelerators=%u slots=%u",
	    team, sum.cpu_milli, sum.memory, sum.accel, sum.slots);
	add_rule(x, quota);
}

static void
explain_queue(struct explain *x)
{
	GString *names = g_string_new(NULL);
	const GList *l = gyp_state_queue(x->r->state)->head;
	uint32_t ahead = 0;

	for (; l != NULL && l->data != x->job; l = l->next, ahead++) {
		const struct gyp_job *other = l->data;

		if (ahead < AHEAD_NAMED_MAX)
			g_string_append_printf(names,
			    "%s%" G_GINT64_MODIFIER "x (%s)",
			    ahead > 0 ? ", " : "", other->id,
			    other->spec->class_);
	}
	if (ahead > 0)
		add_reason(x, "%u jobs were submitted before it: %s%s", ahead,
		    names->str, ahead > AHEAD_NAMED_MAX ? ", ..." : "");
	g_string_free(names, TRUE);
}

static uint64_t
cell_time(const struct gyp_replica *r)
{
	return r->time_base + (r->now - r->lead_since);
}

static void
explain_deadline(struct explain *x)
{
	uint64_t end = x->job->submitted_ms + x->job->spec->deadline_ms;
	uint64_t now = cell_time(x->r);

	if (x->job->spec->deadline_ms == 0 || x->job->n_placed > 0)
		return;
	if (end > now)
		add_reason(x,
		    "it is given up as not run in %" G_GUINT64_FORMAT
		    " ms, at its deadline",
		    end - now);
	else
		add_reason(x, "its deadline is over");
}

/*
 * What held the job up in the policy's last round: its first lines, up to the
 * list of rules, which is given below in full.
 */
static void
explain_policy(struct explain *x)
{
	char *text = gyp_policy_explain(x->r->policy, x->job);
	char **lines = g_strsplit(text, "\n", -1);
	size_t i;

	for (i = 0; lines[i] != NULL; i++) {
		if (g_str_has_prefix(lines[i], "policy "))
			break;
		if (lines[i][0] != '\0' && lines[i][0] != ' ' &&
		    !g_str_has_prefix(lines[i], "task "))
			add_reason(x, "%s", lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
}

static void
explain_waiting(struct explain *x)
{
	const char *class_name = x->job->spec->class_;

	explain_policy(x);
	explain_quota(x);
	explain_capacity(x);
	explain_queue(x);
	explain_deadline(x);
	add_written(x, gyp_rules_urgent(x->r->rules, class_name));
	add_written(x, gyp_rules_share(x->r->rules, x->job->spec->team));
	add_written(x, gyp_rules_weight(x->r->rules, class_name));
	add_written(x, gyp_rules_reserve(x->r->rules));
}

/* ---- Why it is where it is --------------------------------------------- */

static void
explain_placed(struct explain *x)
{
	const char *class_name = x->job->spec->class_;
	const struct gyp_rules *rules = x->r->rules;
	const struct gyp_rule *weight = gyp_rules_weight(rules, class_name);
	uint32_t waiting = weight->u.weight.waiting;
	uint32_t packing = weight->u.weight.packing;

	add_reason(x,
	    "%u of %u tasks are placed; among the endpoints with room the "
	    "score weighs waiting %u against packing %u",
	    x->job->n_placed, x->job->n_tasks, waiting, packing);
	add_rule(x, weight);
	add_written(x, gyp_rules_spread(rules, class_name));
	add_written(x, gyp_rules_limit(rules, "endpoint"));
	add_written(x, gyp_rules_limit(rules, "rack"));
}

static void
explain_end(struct explain *x)
{
	const char *reason = x->job->reason != NULL ? x->job->reason : "";

	add_reason(x, "it is over: %s%s%s", gyp_outcome_name(x->job->outcome),
	    reason[0] != '\0' ? ", " : "", reason);
	if (x->job->outcome != GYP__OUTCOME__OUTCOME_DONE)
		add_rule(x, gyp_rules_retry(x->r->rules, x->job->spec->class_));
}

/* ---- Report ------------------------------------------------------------ */

static json_t *
task_json(const struct explain *x, uint32_t index)
{
	static const char *const states[] = {"queued", "placed", "over"};
	const struct gyp_task *t = &x->job->tasks[index];
	const struct gyp_endpoint *ep =
	    t->state == GYP_TASK_PLACED
		? gyp_state_endpoint(x->r->state, t->endpoint)
		: NULL;
	json_t *json =
	    json_pack("{s:I,s:s,s:I,s:I,s:I}", "task", (json_int_t)index,
		"state", states[t->state], "attempts", (json_int_t)t->attempt,
		"failures", (json_int_t)t->failures, "since_ms",
		(json_int_t)(cell_time(x->r) -
			     MIN(t->changed_ms, cell_time(x->r))));

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
	struct explain x = {.r = r, .job = gyp_state_job(r->state, id)};
	json_t *tasks = json_array();
	char hex[GYP_HEX_MAX];
	uint32_t i;

	if (x.job == NULL) {
		json_decref(tasks);
		return NULL;
	}
	x.reasons = json_array();
	x.rules = json_array();
	if (x.job->cancelled)
		add_reason(&x, "it was cancelled: %s", x.job->reason);
	if (x.job->n_queued > 0)
		explain_waiting(&x);
	if (x.job->n_placed > 0)
		explain_placed(&x);
	if (x.job->outcome != GYP__OUTCOME__OUTCOME_NONE)
		explain_end(&x);
	for (i = 0; i < x.job->n_tasks; i++)
		json_array_append_new(tasks, task_json(&x, i));
	gyp_hex_format(id, hex);
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:o,s:o,s:o,s:o,s:I}", "job",
	    hex, "kind", gyp_kind_name(x.job->spec->kind), "team",
	    x.job->spec->team, "class", x.job->spec->class_, "outcome",
	    gyp_outcome_name(x.job->outcome), "size",
	    gyp_admin_res(&x.job->size), "reasons", x.reasons, "rules", x.rules,
	    "tasks", tasks, "rules_version", (json_int_t)r->rules_version);
}
