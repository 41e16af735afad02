#include <string.h>

#include "policy_int.h"

/* Searches for victims in one round. */
#define PREEMPTS_MAX 8

/* Weight of a new run time in the mean of its class. */
#define RUN_MEAN_WEIGHT 0.1

/* Sizes without a place that a plain round remembers. */
#define FAILED_SIZES 32

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

	d->choices = g_array_new(FALSE, FALSE, sizeof(struct gyp_choice));
	d->evictions = g_array_new(FALSE, FALSE, sizeof(struct gyp_eviction));
	d->refusals = new_refusals();
	d->verdicts = g_array_new(FALSE, FALSE, sizeof(struct gyp_verdict));
	return d;
}

void
gyp_decision_free(struct gyp_decision *d)
{
	if (d == NULL)
		return;
	g_array_free(d->choices, TRUE);
	g_array_free(d->evictions, TRUE);
	g_array_free(d->refusals, TRUE);
	g_array_free(d->verdicts, TRUE);
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
hand_over_refusals(struct gyp_policy *p, struct gyp_decision *out)
{
	GArray *mine = p->refusals;

	p->counters.refused += mine->len;
	p->refusals = out->refusals;
	out->refusals = mine;
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

	g_hash_table_remove(p->chosen, &job->id);
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
	gyp_res_add(&queue_team(p, job->spec->team)->booked, &job->size);
}

static void
learn_run_time(struct gyp_policy *p, const struct gyp_job *job, uint32_t task)
{
	struct lane *lane = queue_lane(p, job);
	double ran =
	    (double)(gyp_state_time(p->state) - job->tasks[task].changed_ms);

	if (lane->run_ms == 0)
		lane->run_ms = ran;
	else
		lane->run_ms += RUN_MEAN_WEIGHT * (ran - lane->run_ms);
}

static void
on_released(struct gyp_state_observer *w, const struct gyp_job *job,
    uint32_t task, const Gyp__CmdFinish *finish)
{
	struct gyp_policy *p = from_observer(w);
	uint64_t endpoint = job->tasks[task].endpoint;

	gyp_res_sub(&queue_team(p, job->spec->team)->booked, &job->size);
	if (!p->ops->weighted || finish == NULL)
		return;
	if (finish->outcome == GYP__OUTCOME__OUTCOME_DONE) {
		learn_run_time(p, job, task);
		gyp_health_succeeded(p->health, job->id, endpoint);
	} else if (finish->outcome == GYP__OUTCOME__OUTCOME_FAILED &&
		   !finish->checkpointed && !job->restarting &&
		   !job->cancelled) {
		gyp_health_failed(
		    p->health, job->id, endpoint, gyp_state_time(p->state));
		p->turn_at = 0; /* blame at once */
	}
}

static const struct gyp_state_observer_ops observer_ops = {
    .endpoint = on_endpoint,
    .queued = on_queued,
    .booked = on_booked,
    .released = on_released};

/* ---- One job ----------------------------------------------------------- */

/*
 * Non-urgent work leaves the reserve of the cell free: that of the rule, or
 * the headroom of the balance where that is more. Slots go with processors.
 */
static bool
in_reserve(const struct round *round, const struct gyp_res *size)
{
	const struct gyp_policy *p = round->policy;
	const struct gyp_rule *rule = gyp_rules_reserve(p->rules);
	double cpu = p->balance.headroom, memory = 0;
	struct gyp_res all, left;

	if (rule != NULL) {
		cpu = MAX(cpu, rule->u.reserve.cpu_percent / 100.0);
		memory = rule->u.reserve.memory_percent / 100.0;
	}
	if (cpu == 0 && memory == 0)
		return false;
	index_sums(p->index, &all, &left);
	return left.cpu_milli < all.cpu_milli * cpu + size->cpu_milli ||
	       left.slots < all.slots * cpu + size->slots ||
	       (double)left.memory <
		   (double)all.memory * memory + (double)size->memory;
}

const char *
policy_barred(const struct round *round, const struct lane *lane,
    const struct gyp_job *job)
{
	if (lane == NULL)
		return NULL;
	if (queue_over_quota(lane->team, &job->size) != NULL)
		return "the team's quota is used up";
	if (!queue_is_urgent(lane, job) && in_reserve(round, &job->size))
		return "the rest is reserved for urgent work";
	return NULL;
}

uint64_t
policy_expected_run(const struct lane *lane, const struct gyp_job *job)
{
	if (job->spec->kind == GYP__KIND__KIND_WATCHER)
		return 0;
	return MAX(job->spec->run_ms, (uint64_t)lane->run_ms);
}

static void
fill_query(const struct round *round, const struct lane *lane,
    const struct gyp_job *job, uint32_t task, struct query *q)
{
	const struct gyp_policy *p = round->policy;

	memset(q, 0, sizeof(*q));
	q->size = &job->size;
	q->job = job;
	q->now = p->now;
	q->choices = round->out->choices;
	q->max_tasks = GYP_UNLIMITED;
	q->rack_limit = GYP_UNLIMITED;
	if (lane == NULL)
		return;
	q->avoid = job->tasks[task].attempt > 0;
	q->urgent = queue_is_urgent(lane, job);
	q->run_ms = policy_expected_run(lane, job);
	q->max_tasks = gyp_rules_limit(p->rules, "endpoint")->u.tasks;
	q->rack_limit = gyp_rules_limit(p->rules, "rack")->u.tasks;
	q->over = lane->spread->u.over;
	q->domains = job->n_tasks > 1 && (q->over != GYP_SPREAD_NONE ||
					     q->rack_limit != GYP_UNLIMITED);
}

/* Books one task for the length of this round; false when nothing fits. */
bool
policy_choose(struct round *round, struct lane *lane, const struct gyp_job *job,
    uint32_t task)
{
	struct gyp_policy *p = round->policy;
	struct gyp_choice choice = {
	    .job = job->id, .task = task, .group = round->next_group};
	struct query q;
	struct spot *spot;

	fill_query(round, lane, job, task, &q);
	spot = index_find(p, &q);
	if (spot == NULL && q.avoid) {
		/* Better where it failed before than nowhere. */
		q.avoid = false;
		spot = index_find(p, &q);
	}
	if (spot == NULL)
		return false;
	index_take(p->index, spot, &job->size);
	choice.endpoint = spot->id;
	g_array_append_val(p->touched, spot->id);
	g_array_append_val(round->out->choices, choice);
	if (lane != NULL)
		gyp_res_add(&lane->team->chosen, &job->size);
	return true;
}

/* Gives back the choices made since there were len of them. */
void
policy_undo(struct round *round, const struct gyp_job *job, guint len)
{
	struct gyp_policy *p = round->policy;
	GArray *choices = round->out->choices;
	guint i;

	for (i = len; i < choices->len; i++) {
		const struct gyp_choice *c =
		    &g_array_index(choices, struct gyp_choice, i);

		index_give(
		    p->index, index_spot(p->index, c->endpoint), &job->size);
		if (p->ops->weighted)
			gyp_res_sub(&queue_team(p, job->spec->team)->chosen,
			    &job->size);
	}
	g_array_set_size(choices, len);
}

static enum fit
try_tasks(struct round *round, struct lane *lane, const struct gyp_job *job)
{
	guint before = round->out->choices->len;
	uint32_t i, wanted = 0;

	for (i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].state != GYP_TASK_QUEUED)
			continue;
		wanted++;
		if (round->out->choices->len >= round->budget ||
		    policy_barred(round, lane, job) != NULL ||
		    !policy_choose(round, lane, job, i))
			break;
		round->next_group++;
	}
	if (round->out->choices->len == before)
		return FIT_NONE;
	return i == job->n_tasks && round->out->choices->len - before == wanted
		   ? FIT_ALL
		   : FIT_SOME;
}

static enum fit
place_job(struct round *round, struct lane *lane, const struct gyp_job *job)
{
	if (job->spec->kind == GYP__KIND__KIND_GANG)
		return gang_try(round, lane, job);
	return try_tasks(round, lane, job);
}

/* Refuses what can never run, so that it stands in nobody's way. */
static bool
is_hopeless(
    struct round *round, const struct lane *lane, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	uint64_t since = MAX(p->attached_ms, job->submitted_ms);
	bool gang = job->spec->kind == GYP__KIND__KIND_GANG;
	struct gyp_res quota = lane->team->quota->u.quota;

	if (job->n_queued < job->n_tasks || job->tasks[0].attempt > 0)
		return false;
	if (!gyp_res_fits(&job->size, &quota)) {
		policy_refuse(p, job->id,
		    g_strdup_printf("one task is larger than the quota of team"
				    " %s (rules line %u)",
			lane->team->name, lane->team->quota->line));
		return true;
	}
	if (round->capacity.slots == 0 ||
	    p->now < since + GYP_FEASIBLE_GRACE_MS)
		return false;
	if (index_could_hold(p->index, &job->size) &&
	    (!gang ||
		index_could_hold_tasks(p->index, &job->size) >= job->n_tasks))
		return false;
	policy_refuse(p, job->id,
	    g_strdup(gang ? "the announced endpoints could never hold all"
			    " tasks of the job at once"
			  : "no announced endpoint could ever hold a task of"
			    " the job"));
	return true;
}

static void
note_urgent(struct gyp_policy *p, const struct lane *lane,
    const struct gyp_job *job, bool started)
{
	if (lane->urgent->u.within_ms != GYP_UNLIMITED &&
	    job->tasks[0].attempt == 0)
		gyp_balance_note(&p->balance, p->now - job->submitted_ms,
		    lane->urgent->u.within_ms, started);
}

enum fit
policy_try_job(
    struct round *round, struct lane *lane, const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	bool urgent = queue_is_urgent(lane, job);
	const char *barred = policy_barred(round, lane, job);
	enum fit fit;

	if (barred != NULL) {
		lane->blocked = barred;
		if (is_hopeless(round, lane, job))
			return FIT_NONE;
		if (urgent)
			preempt_for(round, lane, job);
		return FIT_BLOCKED;
	}
	fit = place_job(round, lane, job);
	if (fit == FIT_ALL) {
		note_urgent(p, lane, job, true);
		g_hash_table_add(
		    p->chosen, g_memdup2(&job->id, sizeof(job->id)));
		if (p->reserved == job->id)
			gang_release(p);
		return fit;
	}
	if (fit == FIT_NONE && is_hopeless(round, lane, job))
		return FIT_NONE;
	lane->blocked = "no endpoint has room";
	note_urgent(p, lane, job, false);
	if (urgent)
		preempt_for(round, lane, job);
	if (fit == FIT_NONE)
		gang_consider(round, job);
	return fit;
}

/* ---- Plain rounds ------------------------------------------------------ */

/* Sizes that found no place in this round; nothing larger needs a look. */
struct failed_sizes {
	struct gyp_res sizes[FAILED_SIZES];
	guint n;
};

static bool
will_fail(const struct failed_sizes *f, const struct gyp_res *size)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		if (gyp_res_fits(&f->sizes[i], size))
			return true;
	}
	return false;
}

static void
run_plain(struct round *round)
{
	struct gyp_policy *p = round->policy;
	const GList *l = gyp_state_queue(p->state)->head;
	struct failed_sizes failed = {.n = 0};
	struct gyp_res capacity, left;

	for (; l != NULL; l = l->next) {
		const struct gyp_job *job = l->data;

		index_sums(p->index, &capacity, &left);
		if (round->out->choices->len >= round->budget ||
		    left.slots == 0)
			return;
		if (will_fail(&failed, &job->size) ||
		    place_job(round, NULL, job) == FIT_ALL)
			continue;
		if (job->spec->kind != GYP__KIND__KIND_GANG &&
		    failed.n < FAILED_SIZES)
			failed.sizes[failed.n++] = job->size;
	}
}

/* ---- Rounds ------------------------------------------------------------ */

/* Puts jobs back whose placement did not take effect. */
static void
return_unplaced(struct gyp_policy *p)
{
	GHashTable *chosen = p->chosen;
	GHashTableIter iter;
	gpointer key;

	p->chosen =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	g_hash_table_iter_init(&iter, chosen);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct gyp_job *job =
		    gyp_state_job(p->state, *(uint64_t *)key);

		if (job != NULL && job->n_queued > 0)
			queue_add(p, job);
	}
	g_hash_table_destroy(chosen);
}

/* What the last round booked counts only as far as the tables have it. */
static void
refresh_touched(struct gyp_policy *p)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < p->touched->len; i++) {
		uint64_t id = g_array_index(p->touched, uint64_t, i);

		if (index_spot(p->index, id) != NULL)
			index_update(
			    p->index, id, gyp_state_endpoint(p->state, id));
	}
	g_array_set_size(p->touched, 0);
	g_hash_table_iter_init(&iter, p->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		memset(
		    &((struct team *)value)->chosen, 0, sizeof(struct gyp_res));
}

static void
run_weighted(struct round *round)
{
	struct gyp_policy *p = round->policy;

	if (p->now >= p->turn_at) {
		p->turn_at = p->now + POLICY_TURN_MS;
		p->full_round = p->round;
		gyp_balance_turn(&p->balance);
		blame_endpoints(round);
	}
	gang_try_reserved(round);
	queue_run(round);
	hand_over_refusals(p, round->out);
}

bool
gyp_policy_is_due(const struct gyp_policy *p, uint64_t now)
{
	if (p->due)
		return true;
	return p->ops->weighted && now >= p->turn_at &&
	       gyp_state_queue(p->state)->length > 0;
}

void
gyp_policy_decide(struct gyp_policy *p, uint64_t now, uint32_t budget,
    struct gyp_decision *out)
{
	struct round round = {.policy = p,
	    .out = out,
	    .budget = budget,
	    .preempt_left = PREEMPTS_MAX};
	struct gyp_res left;

	p->now = MAX(p->now, now);
	p->round++;
	p->due = false;
	refresh_touched(p);
	return_unplaced(p);
	index_sums(p->index, &round.capacity, &left);
	if (p->ops->weighted)
		run_weighted(&round);
	else
		run_plain(&round);
	index_reset_grown(p->index);
	p->counters.rounds++;
	p->counters.placed += out->choices->len;
	p->counters.evicted += out->evictions->len;
}

const struct gyp_balance *
gyp_policy_balance(const struct gyp_policy *p)
{
	return &p->balance;
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
	g_hash_table_remove_all(p->lanes);
	g_ptr_array_set_size(p->lane_list, 0);
	g_hash_table_remove_all(p->teams);
	g_hash_table_remove_all(p->chosen);
	g_array_set_size(p->touched, 0);
	g_array_set_size(p->refusals, 0);
	index_free(p->index);
	gyp_health_free(p->health);
	p->index = index_new();
	p->health = gyp_health_new();
	p->reserved = 0;
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
	p->lanes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, queue_free_lane);
	p->lane_list = g_ptr_array_new();
	p->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, queue_free_team);
	p->chosen =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	p->touched = g_array_new(FALSE, FALSE, sizeof(uint64_t));
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
	g_hash_table_destroy(p->lanes);
	g_ptr_array_free(p->lane_list, TRUE);
	g_hash_table_destroy(p->teams);
	g_hash_table_destroy(p->chosen);
	g_array_free(p->touched, TRUE);
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
	p->turn_at = 0;
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
	p->turn_at = 0;
	queue_refresh_rules(p);
}
