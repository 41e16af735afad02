#include "fleet_int.h"
#include "msg.h"

/*
 * Silence after which the provider's list is requested for an endpoint with
 * open runs, in ms: longer than the longest poll and a repetition of it.
 */
#define INVENTORY_SILENT_MS 800

/* Longest time by which a list may be out of date, in ms. */
#define INVENTORY_LAG_MS 2000

/* The same in cell time, as the clocks of two leaders differ. */
#define LISTED_RUN_MS                                                          \
	(INVENTORY_LAG_MS + INVENTORY_LAG_MS / (GYP_CLOCK_SLOW - 1) + 1)

/* Lists in a row that lack an endpoint which has ended. */
#define INVENTORY_LISTS 2

/*
 * An endpoint that answered less than this long before a list was requested
 * existed at that time, in ms.
 */
#define INVENTORY_ANSWERED_MS 250

/* Longest pause of this process that leaves an open request valid, in ms. */
#define INVENTORY_PAUSE_MS 250

/*
 * Time from the proposal of a run until none of its starts can be carried out,
 * in ms: each was sent within START_WINDOW_MS, is late by LATE_CALL_MAX_MS at
 * most, and the clocks of two leaders differ by one part in GYP_CLOCK_SLOW at
 * most.
 */
#define STARTS_MS      (START_WINDOW_MS + LATE_CALL_MAX_MS)
#define STARTS_OVER_MS (STARTS_MS + STARTS_MS / (GYP_CLOCK_SLOW - 1) + 1)

/* ---- Requests ------------------------------------------------------------ */

bool
gyp_fleet_endpoint_is_delisted(const struct gyp_fleet_endpoint *endpoint)
{
	return endpoint->unlisted >= INVENTORY_LISTS;
}

void
gyp_fleet_endpoint_heard(struct gyp_fleet_endpoint *endpoint)
{
	endpoint->unlisted = 0;
}

/* True if it drains or announced its shutdown, and a call to it was lost. */
static bool
may_have_ended(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	return (endpoint->leaving_at != 0 ||
		   (h != NULL && h->spec->draining)) &&
	       endpoint->failures > 0;
}

/*
 * True if the endpoint was silent at that time: for INVENTORY_SILENT_MS, or at
 * all if its end is expected. One without runs is hardly polled.
 */
static bool
was_silent(const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint,
    uint64_t at)
{
	uint64_t heard = MAX(endpoint->last_seen_at, endpoint->added_at);
	uint64_t polled = MAX(endpoint->busy_at, f->resumed_at);

	if (may_have_ended(f, endpoint))
		return at >= MAX(heard, polled);
	return at >= MAX(heard, polled) + INVENTORY_SILENT_MS;
}

/* True if a list that was requested then would have the incarnation. */
static bool
was_known(const struct gyp_fleet_endpoint *endpoint, uint64_t requested_at)
{
	return MAX(endpoint->added_at, endpoint->restarted_at) +
		   INVENTORY_LAG_MS <=
	       requested_at;
}

/*
 * True if a list that was requested then would have the incarnation which has
 * the run: this leader has known it for long enough, or by the tables it was
 * registered before the run was proposed.
 */
static bool
would_have_listed(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_fleet_run *run,
    uint64_t requested_at)
{
	const Gyp__CmdHost *spec = gyp_host_at(f->flows, endpoint->row)->spec;
	const struct gyp_flow_task *t = &run->flow->tasks[run->key.index];

	if (was_known(endpoint, requested_at))
		return true;
	return spec->born_ms == gyp_fleet_run_incarnation(run) &&
	       spec->reborn_ms <= t->changed_ms &&
	       gyp_fleet_run_age_ms(f, run) >=
		   LISTED_RUN_MS + (f->now - requested_at);
}

/*
 * True if the only start of the run was carried out: it was answered, or it is
 * that of an earlier leader and this one has seen the run listed.
 */
static bool
started_once(const struct gyp_fleet_run *run)
{
	if (run->phase != GYP_RUN_CONFIRMED)
		return false;
	if (run->starts_sent == 0)
		return gyp_fleet_run_is_sent_once(run) &&
		       run->view.listed_at != 0;
	return run->starts_sent == 1;
}

/*
 * True if the only start of the run was carried out by an incarnation that the
 * lists would show if it still existed. The answer to a start need not tell
 * which one that was; a list of its runs does.
 */
static bool
was_seen_to_run(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_fleet_run *run)
{
	if (gyp_fleet_run_incarnation(run) != 0)
		return would_have_listed(
		    f, endpoint, run, endpoint->unlisted_prev_at);
	return started_once(run) &&
	       was_known(endpoint, endpoint->unlisted_at) &&
	       (run->view.listed_at != 0 ||
		   run->confirmed_at + INVENTORY_LAG_MS <=
		       endpoint->unlisted_last_at);
}

/* True if a later list can show that a run of a delisted endpoint is over. */
static bool
awaits_later_list(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	bool known = was_known(endpoint, endpoint->unlisted_at);
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		const struct gyp_fleet_run *run = endpoint->runs->pdata[i];
		bool may_show = gyp_fleet_run_incarnation(run) != 0 ||
				(known && started_once(run));

		if (may_show && !run->end_proposed &&
		    !was_seen_to_run(f, endpoint, run))
			return true;
	}
	return false;
}

static bool
wants_list(const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return endpoint->runs->len > 0 && was_silent(f, endpoint, f->now) &&
	       (!gyp_fleet_endpoint_is_delisted(endpoint) ||
		   awaits_later_list(f, endpoint));
}

void
gyp_fleet_inventory_sweep(struct gyp_fleet *f)
{
	bool wanted = false, fresh = false;
	guint i;

	if (f->inventory == NULL)
		return;
	for (i = 0; i < f->endpoints->len; i++) {
		struct gyp_fleet_endpoint *endpoint = f->endpoints->pdata[i];
		bool before;

		if (endpoint == NULL)
			continue;
		before = endpoint->list_wanted;
		endpoint->list_wanted = wants_list(f, endpoint);
		wanted = wanted || endpoint->list_wanted;
		fresh = fresh || (endpoint->list_wanted && !before);
	}
	gyp_inventory_tick(f->inventory, f->now, wanted, fresh);
}

bool
gyp_fleet_pop_inventory_request(struct gyp_fleet *f, uint64_t *request)
{
	if (f->inventory == NULL ||
	    !gyp_inventory_pop_request(f->inventory, request))
		return false;
	gyp_fleet_count(f, "gyp_inventory_requests_total");
	return true;
}

void
gyp_fleet_inventory_paused(struct gyp_fleet *f, uint64_t paused_ms)
{
	if (f->inventory == NULL || paused_ms < INVENTORY_PAUSE_MS)
		return;
	f->resumed_at = f->now;
	gyp_inventory_drop(f->inventory);
}

/* ---- Lists --------------------------------------------------------------- */

/* True if the endpoint existed when a list without it was requested. */
static bool
contradicts(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, uint64_t requested_at)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	return !h->spec->draining && endpoint->replaced_at == 0 &&
	       endpoint->leaving_at == 0 && endpoint->answered_at != 0 &&
	       endpoint->answered_at + INVENTORY_ANSWERED_MS >= requested_at &&
	       was_known(endpoint, requested_at);
}

/*
 * Returns an endpoint that shows that the list is not to be trusted, as one
 * that is out of date or of another pool; "none" if it has no endpoint of the
 * tables, and NULL if the list is plausible.
 */
static const char *
find_contradiction(
    const struct gyp_fleet *f, GHashTable *ids, uint64_t requested_at)
{
	bool any = false;
	guint i;

	for (i = 0; i < f->endpoints->len; i++) {
		const struct gyp_fleet_endpoint *endpoint =
		    f->endpoints->pdata[i];
		const struct gyp_host *h = gyp_host_at(f->flows, i);

		if (endpoint == NULL || h == NULL || h->spec->gone)
			continue;
		if (g_hash_table_contains(ids, h->spec->id))
			any = true;
		else if (contradicts(f, endpoint, requested_at))
			return h->spec->id;
	}
	return any ? NULL : "none";
}

/* Returns true if the next list is wanted soon. */
static bool
note_listing(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    bool listed, uint64_t requested_at)
{
	if (listed) {
		endpoint->unlisted = 0;
		return false;
	}
	if (endpoint->runs->len == 0 || !was_silent(f, endpoint, requested_at))
		return false;
	endpoint->unlisted_prev_at = endpoint->unlisted_last_at;
	endpoint->unlisted_last_at = requested_at;
	if (gyp_fleet_endpoint_is_delisted(endpoint))
		return may_have_ended(f, endpoint) &&
		       awaits_later_list(f, endpoint);
	if (endpoint->unlisted++ == 0)
		endpoint->unlisted_at = requested_at;
	if (gyp_fleet_endpoint_is_delisted(endpoint)) {
		gyp_fleet_count(f, "gyp_inventory_delisted_total");
		gyp_events_add(f->cfg.events, "endpoint-delisted",
		    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT,
		    gyp_fleet_endpoint_name(f, endpoint->row),
		    endpoint->runs->len,
		    gyp_fleet_endpoint_silence_ms(f, endpoint));
		gyp_fleet_mark_dirty(f, endpoint);
	}
	return true;
}

static void
apply_list(struct gyp_fleet *f, GHashTable *ids, uint64_t requested_at)
{
	bool news = false;
	guint i;

	for (i = 0; i < f->endpoints->len; i++) {
		struct gyp_fleet_endpoint *endpoint = f->endpoints->pdata[i];
		const struct gyp_host *h = gyp_host_at(f->flows, i);

		if (endpoint != NULL && h != NULL &&
		    note_listing(f, endpoint,
			g_hash_table_contains(ids, h->spec->id), requested_at))
			news = true;
	}
	if (news)
		gyp_inventory_hurry(f->inventory);
}

/* The lists that lack an endpoint are not in a row any more. */
static void
forget_lists(struct gyp_fleet *f)
{
	guint i;

	for (i = 0; i < f->endpoints->len; i++) {
		struct gyp_fleet_endpoint *endpoint = f->endpoints->pdata[i];

		if (endpoint != NULL &&
		    !gyp_fleet_endpoint_is_delisted(endpoint))
			endpoint->unlisted = 0;
	}
}

void
gyp_fleet_handle_inventory(
    struct gyp_fleet *f, uint64_t now, const struct gyp_inventory_answer *a)
{
	uint64_t requested_at;
	const char *witness;

	gyp_fleet_advance(f, now);
	if (f->inventory == NULL ||
	    !gyp_inventory_close(f->inventory, f->now, a, &requested_at))
		return;
	if (!a->complete) {
		gyp_fleet_count(f, "gyp_inventory_failed_total");
		gyp_events_add(f->cfg.events, "inventory-failed", "reason=%s",
		    a->reason != NULL ? a->reason : "unknown");
		return;
	}
	if (a->odd_rows > 0)
		gyp_events_add(f->cfg.events, "inventory-odd-rows",
		    "rows=%u listed=%u", a->odd_rows,
		    g_hash_table_size(a->ids));
	witness = find_contradiction(f, a->ids, requested_at);
	if (witness == NULL) {
		apply_list(f, a->ids, requested_at);
		return;
	}
	gyp_events_add(f->cfg.events, "inventory-distrusted",
	    "endpoint=%s listed=%u", witness, g_hash_table_size(a->ids));
	forget_lists(f);
}

/* ---- Ends of runs -------------------------------------------------------- */

uint64_t
gyp_fleet_cell_time(const struct gyp_fleet *f)
{
	return f->cfg.cell_time_ms + (f->now - f->leader_since);
}

uint64_t
gyp_fleet_run_age_ms(const struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	uint64_t cell_time = gyp_fleet_cell_time(f);
	uint64_t started = run->flow->tasks[run->key.index].changed_ms;

	return cell_time > started ? cell_time - started : 0;
}

bool
gyp_fleet_starts_are_past(
    const struct gyp_fleet *f, const struct gyp_fleet_run *run, uint64_t ago_ms)
{
	if (f->inventory == NULL)
		return false;
	if (run->starts_sent == 0)
		return gyp_fleet_run_age_ms(f, run) >= STARTS_OVER_MS + ago_ms;
	return f->now >= run->start_sent_at + LATE_CALL_MAX_MS + ago_ms;
}

void
gyp_fleet_end_delisted_runs(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	uint64_t ago_ms = f->now - endpoint->unlisted_at + INVENTORY_LAG_MS;
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (run->phase == GYP_RUN_UNSENT ||
		    was_seen_to_run(f, endpoint, run) ||
		    gyp_fleet_starts_are_past(f, run, ago_ms))
			gyp_fleet_propose_end(
			    f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	}
}
