#include <string.h>

#include "policy_int.h"

/* Most searches for preemption victims in one round. */
#define PREEMPTS_MAX 8

/* Weight of a new run time in the moving mean of a queue. */
#define RUN_MEAN_WEIGHT 0.1

/* Most unplaceable sizes recorded in one round in order of submission. */
#define UNPLACEABLE_SIZES_MAX 32

/* ---- Decisions --------------------------------------------------------- */

static void
clear_refusal(gpointer p)
{
	g_free(((struct gyp_refusal *)p)->reason);
}

static GArray *
new_refusals(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct gyp_refusal));

	g_array_set_clear_func(a, clear_refusal);
	return a;
}

struct gyp_decision *
gyp_decision_new(void)
{
	struct gyp_decision *d = g_new0(struct gyp_decision, 1);

	d->placements = g_array_new(FALSE, FALSE, sizeof(struct gyp_placement));
	d->evictions = g_array_new(FALSE, FALSE, sizeof(struct gyp_eviction));
	d->refusals = new_refusals();
	d->transitions =
	    g_array_new(FALSE, FALSE, sizeof(struct gyp_endpoint_transition));
	return d;
}

void
gyp_decision_free(struct gyp_decision *d)
{
	if (d == NULL)
		return;
	g_array_free(d->placements, TRUE);
	g_array_free(d->evictions, TRUE);
	g_array_free(d->refusals, TRUE);
	g_array_free(d->transitions, TRUE);
	g_free(d);
}

void
policy_refuse(struct gyp_policy *p, uint64_t job, char *reason)
{
	struct gyp_refusal r = {.job = job, .reason = reason};

	g_array_append_val(p->refusals, r);
	p->due = true;
}

static void
move_refusals(struct gyp_policy *p, struct gyp_decision *out)
{
	GArray *pending = p->refusals;

	p->counters.refused += pending->len;
	p->refusals = out->refusals;
	out->refusals = pending;
}

/* ---- Watched tables ---------------------------------------------------- */

static struct gyp_policy *
from_observer(struct gyp_state_observer *w)
{
	return (struct gyp_policy *)w; /* watcher is the first member */
}

static void
on_endpoint(
    struct gyp_state_observer *w, uint64_t id, const struct gyp_endpoint *ep)
{
	struct gyp_policy *p = from_observer(w);

	if (ep == NULL)
		gyp_health_forget_endpoint(p->health, id);
	index_update(p->index, id, ep);
	p->due = true;
}

static void
on_queued(struct gyp_state_observer *w, const struct gyp_job *job)
{
	struct gyp_policy *p = from_observer(w);

	g_hash_table_remove(p->placed_jobs, &job->id);
	if (p->ops->weighted)
		queue_add(p, job);
	p->due = true;
}

static void
on_booked(
    struct gyp_state_observer *w, const struct gyp_job *job, uint32_t task)
{
	struct gyp_policy *p = from_observer(w);

	(void)task;
	gyp_res_add(&queue_ensure_team(p, job->spec->team)->booked, &job->size);
}

static void
learn_run_time(struct gyp_policy *p, const struct gyp_job *job, uint32_t task)
{
	struct queue *queue = queue_for_job(p, job);
	double run_ms =
	    (double)(gyp_state_time(p->state) - job->tasks[task].changed_ms);

	if (queue->run_ms == 0)
		queue->run_ms = run_ms;
	else
		queue->run_ms += RUN_MEAN_WEIGHT * (run_ms - queue->run_ms);
}

static void
on_released(struct gyp_state_observer *w, const struct gyp_job *job,
    uint32_t task, const Gyp__CmdFinish *finish)
{
	struct gyp_policy *p = from_observer(w);
	uint64_t endpoint = job->tasks[task].endpoint;

	gyp_res_sub(&queue_ensure_team(p, job->spec->team)->booked, &job->size);
	if (!p->ops->weighted || finish == NULL)
		return;
	if (finish->outcome == GYP__OUTCOME__OUTCOME_DONE) {
		learn_run_time(p, job, task);
		gyp_health_record_success(p->health, job->id, endpoint);
	} else if (finish->outcome == GYP__OUTCOME__OUTCOME_FAILED &&
		   !finish->checkpointed && !job->restarting &&
		   !job->cancelled) {
		gyp_health_record_failure(
		    p->health, job->id, endpoint, gyp_state_time(p->state));
		/* Attribute the failure in the next round. */
		p->next_full_round_at = 0;
	}
}

static const struct gyp_state_observer_ops observer_ops = {
    .endpoint = on_endpoint,
    .queued = on_queued,
    .booked = on_booked,
    .released = on_released};

/* ---- One job ----------------------------------------------------------- */

/*
 * Returns true if the size would use capacity that is kept free for urgent
 * work. The reserve is that of the rule or, for processors, the headroom where
 * that is larger. Slots follow the share of processors.
 */
static bool
uses_reserve(const struct round *round, const struct gyp_res *size)
{
	const struct gyp_policy *p = round->policy;
	const struct gyp_rule *rule = gyp_rules_reserve(p->rules);
	double cpu = p->urgent_headroom.share, memory = 0;
	struct gyp_res all, available;

	if (rule != NULL) {
		cpu = MAX(cpu, rule->u.reserve.cpu_percent / 100.0);
		memory = rule->u.reserve.memory_percent / 100.0;
	}
	if (cpu == 0 && memory == 0)
		return false;
	index_totals(p->index, &all, &available);
	return available.cpu_milli < all.cpu_milli * cpu + size->cpu_milli ||
	       available.slots < all.slots * cpu + size->slots ||
	       (double)available.memory <
		   (double)all.memory * memory + (double)size->memory;
}

uint32_t
policy_tasks_at_once(const struct gyp_job *job)
{
	return job->spec->kind == GYP__KIND__KIND_GANG ? job->n_queued : 1;
}

const char *
policy_block_reason(const struct round *round, const struct queue *queue,
    const struct gyp_job *job, uint32_t tasks)
{
	if (queue == NULL)
		return NULL;
	if (queue_exceeded_quota(queue->team, &job->size, tasks) != NULL)
		return "the team's quota is used up";
	if (!queue_is_urgent(queue, job) && uses_reserve(round, &job->size))
		return "the remaining capacity is reserved for urgent work";
	return NULL;
}

uint64_t
policy_expected_run_ms(const struct queue *queue, const struct gyp_job *job)
{
	if (job->spec->kind == GYP__KIND__KIND_WATCHER)
		return 0;
	return MAX(job->spec->run_ms, (uint64_t)queue->run_ms);
}

static void
fill_query(const struct round *round, const struct queue *queue,
    const struct gyp_job *job, uint32_t task, struct index_query *q)
{
	const struct gyp_policy *p = round->policy;

	memset(q, 0, sizeof(*q));
	q->size = &job->size;
	q->job = job;
	q->now = p->now;
	q->placements = round->out->placements;
	q->max_tasks = GYP_UNLIMITED;
	q->rack_limit = GYP_UNLIMITED;
	if (queue == NULL)
		return;
	q->avoid_failed = job->tasks[task].attempt > 0;
	q->urgent = queue_is_urgent(queue, job);
	q->run_ms = policy_expected_run_ms(queue, job);
	q->max_tasks = gyp_rules_limit(p->rules, "endpoint")->u.tasks;
	q->rack_limit = gyp_rules_limit(p->rules, "rack")->u.tasks;
	q->over = queue->spread->u.over;
	q->scan_all = job->n_tasks > 1 && (q->over != GYP_SPREAD_NONE ||
					      q->rack_limit != GYP_UNLIMITED);
}

/* Books one task for this round; returns false when no endpoint fits. */
bool
policy_place_task(struct round *round, struct queue *queue,
    const struct gyp_job *job, uint32_t task)
{
	struct gyp_policy *p = round->policy;
	struct gyp_placement placement = {
	    .job = job->id, .task = task, .group = round->next_group};
	struct index_query q;
	struct endpoint_view *view;

	fill_query(round, queue, job, task, &q);
	view = index_find(p, &q);
	if (view == NULL && q.avoid_failed) {
		/* Fall back to endpoints where the job failed before. */
		q.avoid_failed = false;
		view = index_find(p, &q);
	}
	if (view == NULL)
		return false;
	index_book(p->index, view, &job->size);
	placement.endpoint = view->id;
	g_array_append_val(p->dirty, view->id);
	g_array_append_val(round->out->placements, placement);
	if (queue != NULL)
		gyp_res_add(&queue->team->proposed, &job->size);
	return true;
}

/* Cuts the placements back to len and releases what they booked. */
void
policy_undo_placements(
    struct round *round, const struct gyp_job *job, guint len)
{
	struct gyp_policy *p = round->policy;
	GArray *placements = round->out->placements;
	guint i;

	for (i = len; i < placements->len; i++) {
		const struct gyp_placement *c =
		    &g_array_index(placements, struct gyp_placement, i);

		index_release(
		    p->index, index_lookup(p->index, c->endpoint), &job->size);
		if (p->ops->weighted)
			gyp_res_sub(
			    &queue_ensure_team(p, job->spec->team)->proposed,
			    &job->size);
	}
	g_array_set_size(placements, len);
}

static enum placed_tasks
try_tasks(struct round *round, struct queue *queue, const struct gyp_job *job)
{
	guint before = round->out->placements->len;
	uint32_t i, wanted = 0;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state != GYP_TASK_QUEUED)
			continue;
		wanted++;
		if (round->out->placements->len >= round->budget ||
		    policy_block_reason(round, queue, job, 1) != NULL ||
		    !policy_place_task(round, queue, job, i))
			break;
		round->next_group++;
	}
	if (round->out->placements->len == before)
		return PLACED_NONE;
	return i == job->n_tasks &&
		       round->out->placements->len - before == wanted
		   ? PLACED_ALL
		   : PLACED_SOME;
}

static enum placed_tasks
place_job(struct round *round, struct queue *queue, const struct gyp_job *job)
{
	if (job->spec->kind == GYP__KIND__KIND_GANG)
		return gang_place(round, queue, job);
	return try_tasks(round, queue, job);
}

/*
 * Refuses a job that can never run, so that it does not delay others. Returns
 * true if the job is refused.
 */
static bool
refuse_if_infeasible(
    struct round *round, const struct queue *queue, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	uint64_t since = MAX(p->attached_ms, job->submitted_ms);
	bool gang = job->spec->kind == GYP__KIND__KIND_GANG;
	struct gyp_res quota = queue->team->quota->u.quota;

	if (job->n_queued < job->n_tasks || job->tasks[0].attempt > 0)
		return false;
	if (!gyp_res_fits(&job->size, &quota)) {
		policy_refuse(p, job->id,
		    g_strdup_printf("one task is larger than the quota of team"
				    " %s (rules line %u)",
			queue->team->name, queue->team->quota->line));
		return true;
	}
	if (round->capacity.slots == 0 ||
	    p->now < since + GYP_INFEASIBLE_GRACE_MS)
		return false;
	if (index_is_feasible(p->index, &job->size) &&
	    (!gang ||
		index_task_capacity(p->index, &job->size) >= job->n_tasks))
		return false;
	policy_refuse(p, job->id,
	    g_strdup(gang ? "the announced endpoints could never hold all"
			    " tasks of the job at once"
			  : "no announced endpoint could ever hold a task of"
			    " the job"));
	return true;
}

static void
record_urgent_wait(struct gyp_policy *p, const struct queue *queue,
    const struct gyp_job *job, bool started)
{
	if (queue->urgent->u.within_ms != GYP_UNLIMITED &&
	    job->tasks[0].attempt == 0)
		gyp_headroom_record(&p->urgent_headroom,
		    p->now - job->submitted_ms, queue->urgent->u.within_ms,
		    started);
}

enum placed_tasks
policy_try_job(
    struct round *round, struct queue *queue, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	bool urgent = queue_is_urgent(queue, job);
	const char *block_reason =
	    policy_block_reason(round, queue, job, policy_tasks_at_once(job));
	enum placed_tasks placed;

	if (block_reason != NULL) {
		queue->blocked_reason = block_reason;
		if (refuse_if_infeasible(round, queue, job))
			return PLACED_NONE;
		if (urgent)
			preempt_for(round, queue, job);
		return PLACED_BLOCKED;
	}
	placed = place_job(round, queue, job);
	if (placed == PLACED_ALL) {
		record_urgent_wait(p, queue, job, true);
		g_hash_table_add(
		    p->placed_jobs, g_memdup2(&job->id, sizeof(job->id)));
		if (p->reserved_job == job->id)
			reservation_release(p);
		return placed;
	}
	if (placed == PLACED_NONE && refuse_if_infeasible(round, queue, job))
		return PLACED_NONE;
	queue->blocked_reason = "no endpoint has enough free capacity";
	record_urgent_wait(p, queue, job, false);
	if (urgent)
		preempt_for(round, queue, job);
	if (placed == PLACED_NONE)
		reservation_consider(round, job);
	return placed;
}

/* ---- Rounds in order of submission ------------------------------------- */

/* Sizes that fit nowhere in this round; larger ones need no search. */
struct unplaceable_sizes {
	struct gyp_res sizes[UNPLACEABLE_SIZES_MAX];
	guint n;
};

static bool
is_known_unplaceable(
    const struct unplaceable_sizes *f, const struct gyp_res *size)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (gyp_res_fits(&f->sizes[i], size))
			return true;
	}
	return false;
}

static void
run_unweighted(struct round *round)
{
	struct gyp_policy *p = round->policy;
	const GList *l = gyp_state_queue(p->state)->head;
	struct unplaceable_sizes unplaceable = {.n = 0};
	struct gyp_res capacity, available;

	for (; l != NULL; l = l->next) {
		const struct gyp_job *job = l->data;

		index_totals(p->index, &capacity, &available);
		if (round->out->placements->len >= round->budget ||
		    available.slots == 0)
			return;
		if (is_known_unplaceable(&unplaceable, &job->size) ||
		    place_job(round, NULL, job) == PLACED_ALL)
			continue;
		if (job->spec->kind != GYP__KIND__KIND_GANG &&
		    unplaceable.n < UNPLACEABLE_SIZES_MAX)
			unplaceable.sizes[unplaceable.n++] = job->size;
	}
}

/* ---- Rounds ------------------------------------------------------------ */

/* Requeues jobs whose placement in the last round did not take effect. */
static void
requeue_unplaced(struct gyp_policy *p)
{
	GHashTable *unplaced = p->placed_jobs;
	GHashTableIter iter;
	gpointer key;

	p->placed_jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	g_hash_table_iter_init(&iter, unplaced);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct gyp_job *job =
		    gyp_state_job(p->state, *(uint64_t *)key);

		if (job != NULL && job->n_queued > 0)
			queue_add(p, job);
	}
	g_hash_table_destroy(unplaced);
}

/* Resets what the last round booked to what the tables hold. */
static void
refresh_dirty(struct gyp_policy *p)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < p->dirty->len; i++) {
		uint64_t id = g_array_index(p->dirty, uint64_t, i);

		if (index_lookup(p->index, id) != NULL)
			index_update(
			    p->index, id, gyp_state_endpoint(p->state, id));
	}
	g_array_set_size(p->dirty, 0);
	g_hash_table_iter_init(&iter, p->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		memset(&((struct team *)value)->proposed, 0,
		    sizeof(struct gyp_res));
}

static void
run_weighted(struct round *round)
{
	struct gyp_policy *p = round->policy;

	if (p->now >= p->next_full_round_at) {
		p->next_full_round_at = p->now + POLICY_FULL_ROUND_MS;
		p->last_full_round = p->round;
		gyp_headroom_adjust(&p->urgent_headroom);
		faults_update_endpoints(round);
	}
	reservation_place(round);
	queue_run(round);
	move_refusals(p, round->out);
}

bool
gyp_policy_is_due(const struct gyp_policy *p, uint64_t now)
{
	if (p->due)
		return true;
	return p->ops->weighted && now >= p->next_full_round_at &&
	       gyp_state_queue(p->state)->length > 0;
}

void
gyp_policy_decide(struct gyp_policy *p, uint64_t now, uint32_t budget,
    struct gyp_decision *out)
{
	struct round round = {.policy = p,
	    .out = out,
	    .budget = budget,
	    .preempts_left = PREEMPTS_MAX};
	struct gyp_res available;

	p->now = MAX(p->now, now);
	p->round++;
	p->due = false;
	refresh_dirty(p);
	requeue_unplaced(p);
	index_totals(p->index, &round.capacity, &available);
	if (p->ops->weighted)
		run_weighted(&round);
	else
		run_unweighted(&round);
	index_reset_newly_free(p->index);
	p->counters.rounds++;
	p->counters.placed += out->placements->len;
	p->counters.evicted += out->evictions->len;
}

const struct gyp_headroom *
gyp_policy_headroom(const struct gyp_policy *p)
{
	return &p->urgent_headroom;
}

const struct gyp_policy_counters *
gyp_policy_counters(const struct gyp_policy *p)
{
	return &p->counters;
}

/* ---- Construction ------------------------------------------------------ */

static void
clear_tables(struct gyp_policy *p)
{
	g_hash_table_remove_all(p->queues);
	g_ptr_array_set_size(p->queue_list, 0);
	g_hash_table_remove_all(p->teams);
	g_hash_table_remove_all(p->placed_jobs);
	g_array_set_size(p->dirty, 0);
	g_array_set_size(p->refusals, 0);
	index_free(p->index);
	gyp_health_free(p->health);
	p->index = index_new();
	p->health = gyp_health_new();
	p->reserved_job = 0;
}

struct gyp_policy *
gyp_policy_new(const struct gyp_policy_ops *ops, uint32_t seed)
{
	struct gyp_policy *p = g_new0(struct gyp_policy, 1);

	p->observer.ops = &observer_ops;
	p->ops = ops;
	p->defaults = gyp_rules_defaults();
	p->rules = p->defaults;
	p->rand = g_rand_new_with_seed(seed);
	p->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, queue_free);
	p->queue_list = g_ptr_array_new();
	p->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, queue_free_team);
	p->placed_jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	p->dirty = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	p->refusals = new_refusals();
	p->index = index_new();
	p->health = gyp_health_new();
	return p;
}

void
gyp_policy_free(struct gyp_policy *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->queues);
	g_ptr_array_free(p->queue_list, TRUE);
	g_hash_table_destroy(p->teams);
	g_hash_table_destroy(p->placed_jobs);
	g_array_free(p->dirty, TRUE);
	g_array_free(p->refusals, TRUE);
	index_free(p->index);
	gyp_health_free(p->health);
	gyp_rules_free(p->defaults);
	g_rand_free(p->rand);
	g_free(p);
}

void
gyp_policy_set_search(struct gyp_policy *p, enum gyp_search search)
{
	p->search = search;
}

static void
read_tables(struct gyp_policy *p)
{
	const struct gyp_table *t = gyp_state_endpoints(p->state);
	const GList *l;
	uint32_t i;
	guint k;

	for (i = 0; i < gyp_table_size(t); i++) {
		const struct gyp_endpoint *ep = gyp_table_at(t, i, NULL);

		if (ep == NULL)
			continue;
		index_update(p->index, ep->id, ep);
		for (k = 0; k < ep->attempts->len; k++) {
			const struct gyp_task_ref *ref = &g_array_index(
			    ep->attempts, struct gyp_task_ref, k);

			on_booked(&p->observer,
			    gyp_state_job(p->state, ref->job), ref->task);
		}
	}
	for (l = gyp_state_queue(p->state)->head; l != NULL; l = l->next)
		on_queued(&p->observer, l->data);
}

void
gyp_policy_attach(struct gyp_policy *p, struct gyp_state *s, uint64_t now)
{
	gyp_policy_detach(p);
	clear_tables(p);
	p->state = s;
	p->attached_ms = now;
	p->now = now;
	p->next_full_round_at = 0;
	p->due = true;
	read_tables(p);
	gyp_state_set_observer(s, &p->observer);
}

void
gyp_policy_detach(struct gyp_policy *p)
{
	if (p->state == NULL)
		return;
	gyp_state_set_observer(p->state, NULL);
	p->state = NULL;
	clear_tables(p);
}

void
gyp_policy_set_rules(struct gyp_policy *p, const struct gyp_rules *rules)
{
	p->rules = rules;
	p->due = true;
	p->next_full_round_at = 0;
	queue_refresh_rules(p);
}
