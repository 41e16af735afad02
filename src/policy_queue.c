#include <string.h>

#include "policy_int.h"
#include "quota.h"

/* Wait that doubles the weight of a job, in ms; the growth is linear. */
#define AGE_DOUBLING_MS 600000.0

/* Bounds of a team's use relative to its share. */
#define RELATIVE_USE_MIN 0.1
#define RELATIVE_USE_MAX 10.0

/* Added to the sort key of urgent work, to exceed that of other work. */
#define URGENT_SORT_BASE 1e12

/* Fewest removed items at the head of a queue that are compacted. */
#define COMPACT_MIN_ITEMS 256

/* Most retry tokens that a queue may save up. */
#define RETRY_TOKENS_MAX 10.0

/* Time until a queue out of tokens gets one more retry, in ms. */
#define RETRY_REFILL_MS 5000

/* ---- Teams and queues -------------------------------------------------- */

void
queue_free(gpointer p)
{
	struct queue *queue = p;

	g_array_free(queue->items, TRUE);
	g_free(queue->class_name);
	g_free(queue);
}

void
queue_free_team(gpointer p)
{
	struct team *team = p;

	g_free(team->name);
	g_free(team);
}

static void
refresh_team_rules(const struct gyp_policy *p, struct team *team)
{
	team->quota = gyp_rules_quota(p->rules, team->name);
	team->share = gyp_rules_share(p->rules, team->name);
}

static void
refresh_queue_rules(const struct gyp_policy *p, struct queue *queue)
{
	queue->weight = gyp_rules_weight(p->rules, queue->class_name);
	queue->urgent = gyp_rules_urgent(p->rules, queue->class_name);
	queue->retry = gyp_rules_retry(p->rules, queue->class_name);
	queue->spread = gyp_rules_spread(p->rules, queue->class_name);
}

void
queue_refresh_rules(struct gyp_policy *p)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, p->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		refresh_team_rules(p, value);
	for (i = 0; i < p->queue_list->len; i++)
		refresh_queue_rules(p, p->queue_list->pdata[i]);
}

struct team *
queue_ensure_team(struct gyp_policy *p, const char *name)
{
	struct team *team = g_hash_table_lookup(p->teams, name);

	if (team != NULL)
		return team;
	team = g_new0(struct team, 1);
	team->name = g_strdup(name);
	refresh_team_rules(p, team);
	g_hash_table_insert(p->teams, team->name, team);
	return team;
}

struct queue *
queue_for_job(struct gyp_policy *p, const struct gyp_job *job)
{
	char *key =
	    g_strdup_printf("%s/%s", job->spec->team, job->spec->class_);
	struct queue *queue = g_hash_table_lookup(p->queues, key);

	if (queue != NULL) {
		g_free(key);
		return queue;
	}
	queue = g_new0(struct queue, 1);
	queue->team = queue_ensure_team(p, job->spec->team);
	queue->class_name = g_strdup(job->spec->class_);
	queue->items = g_array_new(FALSE, FALSE, sizeof(struct queue_item));
	queue->retry_tokens = RETRY_TOKENS_MAX;
	refresh_queue_rules(p, queue);
	g_hash_table_insert(p->queues, key, queue);
	g_ptr_array_add(p->queue_list, queue);
	return queue;
}

static struct queue_item *
item_at(const struct queue *queue, guint i)
{
	return &g_array_index(queue->items, struct queue_item, i);
}

static void
compact(struct queue *queue)
{
	if (queue->head < COMPACT_MIN_ITEMS ||
	    queue->head < queue->items->len / 2)
		return;
	g_array_remove_range(queue->items, 0, queue->head);
	queue->head = 0;
}

/* Jobs that return after an attempt go before those never placed. */
void
queue_add(struct gyp_policy *p, const struct gyp_job *job)
{
	struct queue *queue = queue_for_job(p, job);
	struct queue_item item = {.job = job->id};
	bool returned = job->tasks[0].attempt > 0;

	if (!returned && queue->n_jobs >= GYP_QUEUE_MAX) {
		policy_refuse(p, job->id,
		    g_strdup_printf("the queue of team %s, class %s is full",
			job->spec->team, job->spec->class_));
		return;
	}
	if (!returned)
		g_array_append_val(queue->items, item);
	else if (queue->head > 0)
		*item_at(queue, --queue->head) = item;
	else
		g_array_prepend_val(queue->items, item);
	queue->n_jobs++;
	p->due = true;
}

static void
remove_item(struct queue *queue, struct queue_item *item)
{
	item->job = 0;
	queue->n_jobs--;
	while (queue->head < queue->items->len &&
	       item_at(queue, queue->head)->job == 0)
		queue->head++;
}

/* ---- Order ------------------------------------------------------------- */

bool
queue_is_urgent(const struct queue *queue, const struct gyp_job *job)
{
	return job->spec->urgent || queue->urgent->u.within_ms != GYP_UNLIMITED;
}

/* Returns the first job that is still queued; removes others before it. */
static const struct gyp_job *
first_job(struct gyp_policy *p, struct queue *queue)
{
	while (queue->head < queue->items->len) {
		struct queue_item *item = item_at(queue, queue->head);
		const struct gyp_job *job;

		if (item->job == 0) {
			queue->head++;
			continue;
		}
		job = gyp_state_job(p->state, item->job);
		if (job != NULL && job->n_queued > 0)
			return job;
		remove_item(queue, item);
	}
	g_array_set_size(queue->items, 0);
	queue->head = 0;
	return NULL;
}

/* Returns the use of the team relative to its fair share. */
static double
relative_use(const struct round *round, const struct team *team)
{
	double teams = g_hash_table_size(round->policy->teams);
	double use = gyp_dominant_share(&team->booked, &round->capacity) +
		     gyp_dominant_share(&team->proposed, &round->capacity);

	use = use * teams / MAX(team->share->u.share, 1);
	return CLAMP(use, RELATIVE_USE_MIN, RELATIVE_USE_MAX);
}

static double
queue_sort_key(
    const struct round *round, struct queue *queue, const struct gyp_job *job)
{
	double age = (double)(round->policy->now - job->submitted_ms);
	double within = queue->urgent->u.within_ms;

	/* The least remaining time comes first. */
	if (queue_is_urgent(queue, job))
		return URGENT_SORT_BASE + age -
		       (within == GYP_UNLIMITED ? 0 : within);
	/* 0.01: for a weight of 0, age and share still decide. */
	return (queue->weight->u.weight.waiting + 0.01) *
	       (1 + age / AGE_DOUBLING_MS) / relative_use(round, queue->team);
}

/* ---- Heap of queues ---------------------------------------------------- */

static struct queue *
heap_at(const GPtrArray *heap, guint i)
{
	return heap->pdata[i];
}

static void
swap(GPtrArray *heap, guint a, guint b)
{
	gpointer tmp = heap->pdata[a];

	heap->pdata[a] = heap->pdata[b];
	heap->pdata[b] = tmp;
}

static void
sift_down(GPtrArray *heap, guint i)
{
	for (;;) {
		guint left = 2 * i + 1, top = i;

		if (left < heap->len && heap_at(heap, left)->sort_key >
					    heap_at(heap, top)->sort_key)
			top = left;
		if (left + 1 < heap->len && heap_at(heap, left + 1)->sort_key >
						heap_at(heap, top)->sort_key)
			top = left + 1;
		if (top == i)
			return;
		swap(heap, i, top);
		i = top;
	}
}

static void
fill_heap(struct round *round)
{
	struct gyp_policy *p = round->policy;
	guint i;

	for (i = 0; i < p->queue_list->len; i++) {
		struct queue *queue = p->queue_list->pdata[i];
		const struct gyp_job *job = first_job(p, queue);

		compact(queue);
		if (job == NULL)
			continue;
		queue->sort_key = queue_sort_key(round, queue, job);
		g_ptr_array_add(round->heap, queue);
	}
	for (i = round->heap->len / 2; i > 0; i--)
		sift_down(round->heap, i - 1);
}

static void
drop_top(GPtrArray *heap)
{
	g_ptr_array_remove_index_fast(heap, 0);
	sift_down(heap, 0);
}

/* ---- One queue --------------------------------------------------------- */

const struct gyp_rule *
queue_exceeded_quota(
    const struct team *team, const struct gyp_res *size, uint32_t tasks)
{
	const struct gyp_res *quota = &team->quota->u.quota;
	struct gyp_res used = team->booked;

	gyp_res_add(&used, &team->proposed);
	return gyp_quota_count(quota, &used, size, tasks) == tasks
		   ? NULL
		   : team->quota;
}

/* Returns true if the job might be placed now. */
static bool
should_try(const struct gyp_policy *p, const struct queue_item *item,
    const struct gyp_job *job)
{
	if (p->now < item->not_before_ms || item->last_tried_round == p->round)
		return false;
	return item->last_tried_round == 0 ||
	       item->last_tried_round < p->last_full_round ||
	       gyp_res_fits(&job->size, index_newly_free(p->index));
}

static uint32_t
most_failures(const struct gyp_job *job)
{
	uint32_t i, most = 0;

	for (i = 0; i < job->n_tasks; i++)
		most = MAX(most, job->tasks[i].failures);
	return most;
}

/*
 * Defers a job that fails at several endpoints, once each time it is queued, so
 * that other jobs can be placed.
 */
static bool
defer_if_faulty(
    struct gyp_policy *p, struct queue_item *item, const struct gyp_job *job)
{
	uint32_t failures = most_failures(job);

	if (failures == 0 || !gyp_health_is_faulty_job(p->health, job->id) ||
	    item->not_before_ms != 0)
		return false;
	item->not_before_ms = p->now + (1000ULL << MIN(failures, 10));
	return true;
}

/*
 * Returns true if the job is no retry or a token is available. Retries consume
 * tokens and first starts add them. Time adds them too, so that a retry is
 * delayed but never refused for good.
 */
static bool
may_retry(
    const struct gyp_policy *p, struct queue *queue, const struct gyp_job *job)
{
	if (most_failures(job) == 0 || queue->retry_tokens >= 1)
		return true;
	if (p->now < queue->retry_refill_at)
		return false;
	queue->retry_refill_at = p->now + RETRY_REFILL_MS;
	queue->retry_tokens = 1;
	return true;
}

static void
update_retry_tokens(struct queue *queue, const struct gyp_job *job)
{
	double add = queue->retry->u.retry.budget_percent / 100.0;

	if (most_failures(job) > 0)
		queue->retry_tokens -= 1;
	else
		queue->retry_tokens =
		    MIN(queue->retry_tokens + add, RETRY_TOKENS_MAX);
}

static enum placed_tasks
try_item(struct round *round, struct queue *queue, struct queue_item *item,
    const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	enum placed_tasks placed;

	if (!should_try(p, item, job) || defer_if_faulty(p, item, job))
		return PLACED_BLOCKED;
	if (!may_retry(p, queue, job)) {
		queue->blocked_reason =
		    "the retry budget of the class is used up";
		return PLACED_BLOCKED;
	}
	placed = policy_try_job(round, queue, job);
	if (placed >= PLACED_SOME)
		update_retry_tokens(queue, job);
	if (placed == PLACED_NONE || placed == PLACED_SOME)
		item->last_tried_round = p->round;
	return placed;
}

/* Places one of the first jobs; returns false if none of them fits. */
static bool
serve_queue(struct round *round, struct queue *queue)
{
	struct gyp_policy *p = round->policy;
	guint i, seen = 0;

	for (i = queue->head; i < queue->items->len && seen < POLICY_SCAN_DEPTH;
	     i++) {
		struct queue_item *item = item_at(queue, i);
		const struct gyp_job *job;
		enum placed_tasks placed;

		if (item->job == 0)
			continue;
		job = gyp_state_job(p->state, item->job);
		if (job == NULL || job->n_queued == 0 ||
		    g_hash_table_contains(p->placed_jobs, &item->job)) {
			remove_item(queue, item);
			continue;
		}
		seen++;
		placed = try_item(round, queue, item, job);
		if (placed == PLACED_ALL)
			remove_item(queue, item);
		if (placed >= PLACED_SOME)
			return true;
	}
	return false;
}

void
queue_run(struct round *round)
{
	struct gyp_policy *p = round->policy;

	round->heap = g_ptr_array_new();
	fill_heap(round);
	while (round->heap->len > 0 &&
	       round->out->placements->len < round->budget) {
		struct queue *queue = heap_at(round->heap, 0);
		const struct gyp_job *job = NULL;

		if (serve_queue(round, queue))
			job = first_job(p, queue);
		if (job == NULL) {
			drop_top(round->heap);
			continue;
		}
		queue->sort_key = queue_sort_key(round, queue, job);
		sift_down(round->heap, 0);
	}
	/* Out of budget: queues remain that this round has not served. */
	if (round->heap->len > 0)
		p->due = true;
	g_ptr_array_free(round->heap, TRUE);
}
