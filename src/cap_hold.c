#include "cap_hold.h"
#include "quota.h"
#include "slack.h"

/* ---- Units and their cap ------------------------------------------------ */

/* Number of tasks of the unit that have to start together. */
static uint32_t
tasks_at_once(const struct gyp_flow_unit *u)
{
	return u->step->gang ? u->step->count : 1;
}

/* True if the tasks that have to start together fit beside that use. */
static bool
fits_beside(const struct gyp_res *cap, const struct gyp_res *used,
    const struct gyp_flow_unit *u)
{
	uint32_t n = tasks_at_once(u);

	return gyp_quota_count(cap, used, &u->size, n) == n;
}

enum gyp_cap_fit
gyp_cap_fit(const struct gyp_workspace_use *use, const struct gyp_flow_unit *u)
{
	const struct gyp_res none = {0, 0, 0, 0};

	if (use == NULL)
		return GYP_CAP_FITS;
	if (!fits_beside(&use->cap, &none, u))
		return GYP_CAP_TOO_LOW;
	return fits_beside(&use->cap, &use->lasting, u) ? GYP_CAP_FITS
							: GYP_CAP_LASTING;
}

/* ---- Expected ends ------------------------------------------------------ */

/* An open run that is expected to end. */
struct ending {
	uint64_t began_ms;
	uint64_t late_ms; /* for which it has gone on longer than expected */
	uint64_t end_ms;
	bool is_reliable; /* its run time is known, and it isn't late */
	const struct gyp_flow_unit *unit;
};

static void
add_endings_of_unit(const struct gyp_run_stats *stats,
    const struct gyp_flow *flow, const struct gyp_flow_unit *u, uint64_t now_ms,
    GArray *endings)
{
	uint64_t run_ms = gyp_run_stats_time_ms(stats, flow, u, GYP_RUN_ORDER);
	uint32_t i;

	for (i = u->first; i < u->first + u->step->count; i++) {
		const struct gyp_flow_task *t = &flow->tasks[i];
		struct ending e = {.began_ms = t->changed_ms, .unit = u};

		if (t->state != GYP_FLOW_TASK_OPEN)
			continue;
		e.end_ms = t->changed_ms + run_ms;
		if (e.end_ms < now_ms)
			e.late_ms = now_ms - e.end_ms;
		e.is_reliable = run_ms > 0 && e.late_ms == 0;
		e.end_ms = MAX(e.end_ms, now_ms);
		g_array_append_val(endings, e);
	}
}

/* Returns struct ending of the open runs of the workspace; lasting ones have
 * none. */
static GArray *
list_endings(const struct gyp_flows *flows, const struct gyp_run_stats *stats,
    const struct gyp_workspace_use *use)
{
	GArray *endings = g_array_new(FALSE, FALSE, sizeof(struct ending));
	const GList *l;
	uint32_t i;

	for (l = gyp_flows_active(flows)->head; l != NULL; l = l->next) {
		const struct gyp_flow *flow = l->data;

		if (flow->use != use || flow->open == 0)
			continue;
		for (i = 0; i < flow->n_units; i++) {
			const struct gyp_flow_unit *u = &flow->units[i];

			if (u->open > 0 && !u->step->lasting)
				add_endings_of_unit(stats, flow, u,
				    gyp_flows_time(flows), endings);
		}
	}
	return endings;
}

static gint
by_end(gconstpointer a, gconstpointer b)
{
	const struct ending *x = a, *y = b;

	if (x->end_ms != y->end_ms)
		return x->end_ms < y->end_ms ? -1 : 1;
	return x->began_ms < y->began_ms ? -1 : x->began_ms > y->began_ms;
}

/* ---- Reservation -------------------------------------------------------- */

static uint64_t
latest_change(const struct gyp_flow *flow, const struct gyp_flow_unit *u,
    enum gyp_flow_task_state state)
{
	uint64_t latest = 0;
	uint32_t i;

	for (i = u->first; i < u->first + u->step->count; i++)
		if (flow->tasks[i].state == state)
			latest = MAX(latest, flow->tasks[i].changed_ms);
	return latest;
}

/* Cell time since which the unit has been able to start, and starving. */
static uint64_t
starving_since(const struct gyp_flows *flows, const struct gyp_run_stats *stats,
    const struct gyp_candidate *c)
{
	uint64_t now_ms = gyp_flows_time(flows);
	double late_ms = -gyp_slack_ms(stats, c->flow, c->unit, now_ms);
	uint64_t ago_ms = (uint64_t)MAX(late_ms - GYP_SLACK_STARVE_MS, 0);
	uint64_t since = now_ms > ago_ms ? now_ms - ago_ms : 0;
	const struct gyp_flow_unit *base = c->unit - c->unit->step_number;
	size_t i;

	since =
	    MAX(since, latest_change(c->flow, c->unit, GYP_FLOW_TASK_WAITING));
	for (i = 0; i < c->unit->step->n_after; i++)
		since = MAX(since,
		    latest_change(c->flow, &base[c->unit->step->after[i]],
			GYP_FLOW_TASK_DONE));
	return since;
}

/* True if the unit would fit without the runs that began after that time. */
static bool
fits_without_later(const struct gyp_candidate *c, const struct gyp_res *used,
    const GArray *endings, uint64_t since)
{
	struct gyp_res earlier = *used;
	guint i;

	for (i = 0; i < endings->len; i++) {
		const struct ending *e =
		    &g_array_index(endings, struct ending, i);

		if (e->began_ms > since && e->unit != c->unit)
			gyp_res_sub(&earlier, &e->unit->size);
	}
	return fits_beside(&c->flow->use->cap, &earlier, c->unit);
}

static void
expect_late_runs_to_go_on(GArray *endings)
{
	guint i;

	for (i = 0; i < endings->len; i++) {
		struct ending *e = &g_array_index(endings, struct ending, i);

		e->end_ms += e->late_ms;
	}
}

/* Amounts of the cap that neither the use nor the unit takes. */
static struct gyp_res
rest_beside(const struct gyp_res *cap, const struct gyp_res *used,
    const struct gyp_flow_unit *u)
{
	struct gyp_res taken = *used, rest = {0, 0, 0, 0};
	uint32_t i;

	for (i = 0; i < tasks_at_once(u); i++)
		gyp_res_add(&taken, &u->size);
	if (cap->cpu_milli > taken.cpu_milli)
		rest.cpu_milli = cap->cpu_milli - taken.cpu_milli;
	if (cap->memory > taken.memory)
		rest.memory = cap->memory - taken.memory;
	if (cap->accel > taken.accel)
		rest.accel = cap->accel - taken.accel;
	if (cap->slots > taken.slots)
		rest.slots = cap->slots - taken.slots;
	return rest;
}

void
gyp_cap_hold_add(struct gyp_cap_hold *h, const struct gyp_flows *flows,
    const struct gyp_run_stats *stats, const struct gyp_candidate *c,
    const struct gyp_res *used)
{
	const struct gyp_workspace_use *use = c->flow->use;
	struct gyp_res left = *used;
	GArray *endings;
	guint i;

	if (h->holder != NULL || c->slack != GYP_SLACK_STARVING ||
	    gyp_cap_fit(use, c->unit) != GYP_CAP_FITS)
		return;
	endings = list_endings(flows, stats, use);
	if (!fits_without_later(
		c, used, endings, starving_since(flows, stats, c)))
		expect_late_runs_to_go_on(endings);
	g_array_sort(endings, by_end);
	h->holder = c->unit;
	h->from_ms = gyp_flows_time(flows);
	for (i = 0; i < endings->len; i++) {
		const struct ending *e =
		    &g_array_index(endings, struct ending, i);

		if (fits_beside(&use->cap, &left, c->unit) &&
		    (e->end_ms > h->from_ms || !e->is_reliable))
			continue;
		gyp_res_sub(&left, &e->unit->size);
		h->from_ms = MAX(h->from_ms, e->end_ms);
	}
	h->beside = rest_beside(&use->cap, &left, c->unit);
	g_array_free(endings, TRUE);
}

/* True if tasks of the unit are expected to end before the time reserved. */
static bool
ends_before(const struct gyp_cap_hold *h, const struct gyp_flows *flows,
    const struct gyp_run_stats *stats, const struct gyp_candidate *c)
{
	uint64_t run_ms =
	    gyp_run_stats_time_ms(stats, c->flow, c->unit, GYP_RUN_RESTART);

	return !c->unit->step->lasting && run_ms > 0 &&
	       gyp_flows_time(flows) + run_ms < h->from_ms;
}

uint32_t
gyp_cap_hold_count(const struct gyp_cap_hold *h, const struct gyp_flows *flows,
    const struct gyp_run_stats *stats, const struct gyp_candidate *c,
    uint32_t n)
{
	const struct gyp_res none = {0, 0, 0, 0};

	if (h->holder == NULL || h->holder == c->unit ||
	    ends_before(h, flows, stats, c))
		return n;
	return gyp_quota_count(&h->beside, &none, &c->unit->size, n);
}

void
gyp_cap_hold_note_start(struct gyp_cap_hold *h, const struct gyp_flows *flows,
    const struct gyp_run_stats *stats, const struct gyp_candidate *c,
    uint32_t tasks)
{
	if (h->holder == NULL || ends_before(h, flows, stats, c))
		return;
	while (tasks-- > 0 && gyp_res_fits(&c->unit->size, &h->beside))
		gyp_res_sub(&h->beside, &c->unit->size);
}
