#include <string.h>

#include "policy_int.h"

/* Wait that doubles the weight of a job, in ms. */
#define AGE_MS 600000.0

/* Bounds of a team's use against its share. */
#define USE_MIN 0.1
#define USE_MAX 10.0

/* Added to the order of urgent work, above all other. */
#define URGENT_KEY 1e12

/* Empty places at the head of a queue that are worth closing. */
#define COMPACT_ITEMS 256

/* Retries that a class may have saved up. */
#define RETRY_TOKENS_MAX 10.0

/* Time in which a class gets one retry beyond its budget, in ms. */
#define RETRY_REFILL_MS 5000

/* ---- Teams and queues -------------------------------------------------- */

void
queue_free_lane(gpointer p)
{
	struct lane *lane = p;

	g_array_free(lane->items, TRUE);
	g_free(lane->class_name);
	g_free(lane);
}

void
queue_free_team(gpointer p)
{
	struct team *team = p;

	g_free(team->name);
	g_free(team);
}

static void
look_up_team(const struct gyp_policy *p, struct team *team)
{
	team->quota = gyp_rules_quota(p->rules, team->name);
	team->share = gyp_rules_share(p->rules, team->name);
}

static void
look_up_lane(const struct gyp_policy *p, struct lane *lane)
{
	lane->weight = gyp_rules_weight(p->rules, lane->class_name);
	lane->urgent = gyp_rules_urgent(p->rules, lane->class_name);
	lane->retry = gyp_rules_retry(p->rules, lane->class_name);
	lane->spread = gyp_rules_spread(p->rules, lane->class_name);
}

void
queue_refresh_rules(struct gyp_policy *p)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, p->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		look_up_team(p, value);
	for (i = 0; i < p->lane_list->len; i++)
		look_up_lane(p, p->lane_list->pdata[i]);
}

struct team *
queue_team(struct gyp_policy *p, const char *name)
{
	struct team *team = g_hash_table_lookup(p->teams, name);

	if (team != NULL)
		return team;
	team = g_new0(struct team, 1);
	team->name = g_strdup(name);
	look_up_team(p, team);
	g_hash_table_insert(p->teams, team->name, team);
	return team;
}

struct lane *
queue_lane(struct gyp_policy *p, const struct gyp_job *job)
{
	char *key =
	    g_strdup_printf("%s/%s", job->spec->team, job->spec->class_);
	struct lane *lane = g_hash_table_lookup(p->lanes, key);

	if (lane != NULL) {
		g_free(key);
		return lane;
	}
	lane = g_new0(struct lane, 1);
	lane->team = queue_team(p, job->spec->team);
	lane->class_name = g_strdup(job->spec->class_);
	lane->items = g_array_new(FALSE, FALSE, sizeof(struct item));
	lane->retry_tokens = RETRY_TOKENS_MAX;
	look_up_lane(p, lane);
	g_hash_table_insert(p->lanes, key, lane);
	g_ptr_array_add(p->lane_list, lane);
	return lane;
}

static struct item *
item_at(const struct lane *lane, guint i)
{
	return &g_array_index(lane->items, struct item, i);
}

static void
compact(struct lane *lane)
{
	if (lane->head < COMPACT_ITEMS || lane->head < lane->items->len / 2)
		return;
	g_array_remove_range(lane->items, 0, lane->head);
	lane->head = 0;
}

/* Jobs that come back stand before those that never had a place. */
void
queue_add(struct gyp_policy *p, const struct gyp_job *job)
{
	struct lane *lane = queue_lane(p, job);
	struct item item = {.job = job->id};
	bool returned = job->tasks[0].attempt > 0;

	if (!returned && lane->live >= GYP_LANE_MAX) {
		policy_refuse(p, job->id,
		    g_strdup_printf("the queue of team %s, class %s is full",
			job->spec->team, job->spec->class_));
		return;
	}
	if (!returned)
		g_array_append_val(lane->items, item);
	else if (lane->head > 0)
		*item_at(lane, --lane->head) = item;
	else
		g_array_prepend_val(lane->items, item);
	lane->live++;
	p->due = true;
}

static void
take_out(struct lane *lane, struct item *item)
{
	item->job = 0;
	lane->live--;
	while (lane->head < lane->items->len &&
	       item_at(lane, lane->head)->job == 0)
		lane->head++;
}

/* ---- Order ------------------------------------------------------------- */

bool
queue_is_urgent(const struct lane *lane, const struct gyp_job *job)
{
	return job->spec->urgent || lane->urgent->u.within_ms != GYP_UNLIMITED;
}

/* First job that is still queued; drops those that are not. */
static const struct gyp_job *
first_job(struct gyp_policy *p, struct lane *lane)
{
	while (lane->head < lane->items->len) {
		struct item *item = item_at(lane, lane->head);
		const struct gyp_job *job;

		if (item->job == 0) {
			lane->head++;
			continue;
		}
		job = gyp_state_job(p->state, item->job);
		if (job != NULL && job->n_queued > 0)
			return job;
		take_out(lane, item);
	}
	g_array_set_size(lane->items, 0);
	lane->head = 0;
	return NULL;
}

static double
dominant_share(const struct gyp_res *used, const struct gyp_res *capacity)
{
	double cpu = 0, memory = 0;

	if (capacity->cpu_milli > 0)
		cpu = (double)used->cpu_milli / (double)capacity->cpu_milli;
	if (capacity->memory > 0)
		memory = (double)used->memory / (double)capacity->memory;
	return MAX(cpu, memory);
}

/* What the team uses against what its share entitles it to. */
static double
relative_use(const struct round *round, const struct team *team)
{
	double teams = g_hash_table_size(round->policy->teams);
	double use = dominant_share(&team->booked, &round->capacity) +
		     dominant_share(&team->chosen, &round->capacity);

	use = use * teams / MAX(team->share->u.share, 1);
	return CLAMP(use, USE_MIN, USE_MAX);
}

static double
lane_key(
    const struct round *round, struct lane *lane, const struct gyp_job *job)
{
	double age = (double)(round->policy->now - job->submitted_ms);
	double within = lane->urgent->u.within_ms;

	/* Less time left comes first. */
	if (queue_is_urgent(lane, job))
		return URGENT_KEY + age -
		       (within == GYP_UNLIMITED ? 0 : within);
	return (lane->weight->u.weight.waiting + 0.01) * (1 + age / AGE_MS) /
	       relative_use(round, lane->team);
}

/* ---- Heap of queues ---------------------------------------------------- */

static struct lane *
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

		if (left < heap->len &&
		    heap_at(heap, left)->key > heap_at(heap, top)->key)
			top = left;
		if (left + 1 < heap->len &&
		    heap_at(heap, left + 1)->key > heap_at(heap, top)->key)
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

	for (i = 0; i < p->lane_list->len; i++) {
		struct lane *lane = p->lane_list->pdata[i];
		const struct gyp_job *job = first_job(p, lane);

		compact(lane);
		if (job == NULL)
			continue;
		lane->key = lane_key(round, lane, job);
		g_ptr_array_add(round->heap, lane);
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
queue_over_quota(const struct team *team, const struct gyp_res *size)
{
	const struct gyp_res *quota = &team->quota->u.quota;
	struct gyp_res sum = team->booked;

	gyp_res_add(&sum, &team->chosen);
	gyp_res_add(&sum, size);
	return gyp_res_fits(&sum, quota) ? NULL : team->quota;
}

/* Whether a job that found no place before could find one now. */
static bool
worth_trying(const struct gyp_policy *p, const struct item *item,
    const struct gyp_job *job)
{
	if (p->now < item->parked_ms || item->tried == p->round)
		return false;
	return item->tried == 0 || item->tried < p->full_round ||
	       gyp_res_fits(&job->size, index_grown(p->index));
}

static uint32_t
most_failures(const struct gyp_job *job)
{
	uint32_t i, most = 0;

	for (i = 0; i < job->n_tasks; i++)
		most = MAX(most, job->tasks[i].failures);
	return most;
}

/* Delays a job that fails everywhere; the others keep their turn. */
static bool
park_if_bad(struct gyp_policy *p, struct item *item, const struct gyp_job *job)
{
	uint32_t failures = most_failures(job);

	if (failures == 0 || !gyp_health_is_faulty_job(p->health, job->id) ||
	    item->parked_ms != 0)
		return false;
	item->parked_ms = p->now + (1000ULL << MIN(failures, 10));
	return true;
}

/*
 * A retry costs a token; first starts bring them. Time brings them too, so
 * that a retry is delayed but never refused for good.
 */
static bool
may_retry(
    const struct gyp_policy *p, struct lane *lane, const struct gyp_job *job)
{
	if (most_failures(job) == 0 || lane->retry_tokens >= 1)
		return true;
	if (p->now < lane->retry_at)
		return false;
	lane->retry_at = p->now + RETRY_REFILL_MS;
	lane->retry_tokens = 1;
	return true;
}

static void
note_start(struct lane *lane, const struct gyp_job *job)
{
	double add = lane->retry->u.retry.budget_percent / 100.0;

	if (most_failures(job) > 0)
		lane->retry_tokens -= 1;
	else
		lane->retry_tokens =
		    MIN(lane->retry_tokens + add, RETRY_TOKENS_MAX);
}

static enum fit
try_item(struct round *round, struct lane *lane, struct item *item,
    const struct gyp_job *job)
{
	struct gyp_policy *p = round->policy;
	enum fit fit;

	if (!worth_trying(p, item, job) || park_if_bad(p, item, job))
		return FIT_BLOCKED;
	if (!may_retry(p, lane, job)) {
		lane->blocked = "the retry budget of the class is used up";
		return FIT_BLOCKED;
	}
	fit = policy_try_job(round, lane, job);
	if (fit >= FIT_SOME)
		note_start(lane, job);
	if (fit == FIT_NONE || fit == FIT_SOME)
		item->tried = p->round;
	return fit;
}

/* Places one job of the first few; false when none of them fits. */
static bool
serve_lane(struct round *round, struct lane *lane)
{
	struct gyp_policy *p = round->policy;
	guint i, seen = 0;

	for (i = lane->head; i < lane->items->len && seen < POLICY_DEPTH; i++) {
		struct item *item = item_at(lane, i);
		const struct gyp_job *job;
		enum fit fit;

		if (item->job == 0)
			continue;
		job = gyp_state_job(p->state, item->job);
		if (job == NULL || job->n_queued == 0 ||
		    g_hash_table_contains(p->chosen, &item->job)) {
			take_out(lane, item);
			continue;
		}
		seen++;
		fit = try_item(round, lane, item, job);
		if (fit == FIT_ALL)
			take_out(lane, item);
		if (fit >= FIT_SOME)
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
	while (
	    round->heap->len > 0 && round->out->choices->len < round->budget) {
		struct lane *lane = heap_at(round->heap, 0);
		const struct gyp_job *job = NULL;

		if (serve_lane(round, lane))
			job = first_job(p, lane);
		if (job == NULL) {
			drop_top(round->heap);
			continue;
		}
		lane->key = lane_key(round, lane, job);
		sift_down(round->heap, 0);
	}
	/* A round that ran out of budget has not looked at every queue. */
	if (round->heap->len > 0)
		p->due = true;
	g_ptr_array_free(round->heap, TRUE);
}
