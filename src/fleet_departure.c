#include "fleet_int.h"
#include "msg.h"
#include "mutant.h"

/*
 * Pause before the removal of an endpoint is proposed again, in ms: it has no
 * effect if the endpoint registers before it is committed.
 */
#define REMOVAL_RETRY_MS 2000

/*
 * Unanswered calls in a row after which an idle endpoint that drained and
 * announced its shutdown is removed.
 */
#define REMOVE_FAILURES 3

/*
 * Pause between two polls of an endpoint that goes on after the notice of its
 * shutdown, in ms.
 */
#define LEAVING_POLL_MS 250

void
gyp_fleet_propose_removal(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHost host;

	if (h == NULL || h->spec->gone ||
	    (endpoint->removal_proposed_at != 0 &&
		f->now < endpoint->removal_proposed_at + REMOVAL_RETRY_MS))
		return;
	endpoint->removal_proposed_at = f->now;
	gyp_events_add(f->cfg.events, "endpoint-gone",
	    "endpoint=%s runs=%u heard_ms_ago=%" G_GUINT64_FORMAT, h->spec->id,
	    endpoint->runs->len, gyp_fleet_endpoint_silence_ms(f, endpoint));
	host = *h->spec;
	host.gone = true;
	cmd.c_case = GYP__CMD__C_HOST;
	cmd.host = &host;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

/* Cell time of the start of an open run. */
static uint64_t
started_ms(const struct gyp_fleet_run *run)
{
	return run->flow->tasks[run->key.index].changed_ms;
}

/* True if calls from before that cell time are over, or were carried out. */
static bool
is_long_ago(const struct gyp_fleet *f, uint64_t ms)
{
	return gyp_flows_time(f->flows) >= ms + LATE_CALL_MAX_MS;
}

/* True if the end of each run of the endpoint is proposed. */
static bool
all_ends_are_proposed(const struct gyp_fleet_endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		const struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (!run->end_proposed)
			return false;
	}
	return true;
}

static void
end_all_runs(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++)
		gyp_fleet_propose_end(f, endpoint->runs->pdata[i],
		    GYP__FLOW_HOW__FLOW_LOST, NULL);
}

void
gyp_fleet_end_replaced_runs(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	if (f->now < endpoint->replaced_at + DEPARTURE_GRACE_MS)
		return;
	end_all_runs(f, endpoint);
	gyp_fleet_propose_removal(f, endpoint);
}

/*
 * Cell time since which the tables have the present incarnation at the latest.
 * If it registered with replicas of an earlier version, that of its restart, or
 * of the oldest start of a run there.
 */
static uint64_t
registered_ms(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	uint64_t oldest = gyp_flows_time(f->flows);
	guint i;

	if (h->spec->registered_ms != 0)
		return h->spec->registered_ms;
	if (h->spec->reborn_ms != 0)
		return h->spec->reborn_ms;
	for (i = 0; i < endpoint->runs->len; i++)
		oldest = MIN(oldest, started_ms(endpoint->runs->pdata[i]));
	return oldest;
}

/*
 * True if no announcement of an earlier incarnation can be on its way: this
 * leader, or by the tables the one before, has known the present one for long.
 */
static bool
is_known_for_long(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	uint64_t known_at = MAX(endpoint->added_at, endpoint->restarted_at);

	return f->now >= known_at + LATE_CALL_MAX_MS ||
	       (endpoint->restarted_at == 0 &&
		   is_long_ago(f, registered_ms(f, endpoint)));
}

/*
 * True if the present incarnation drained, and none before it can have
 * announced a shutdown that arrives only now. A later one that has not
 * registered yet may have been seen.
 */
static bool
drained_without_predecessor(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	return h->spec->draining &&
	       h->spec->born_ms == endpoint->incarnation_start_ms &&
	       h->spec->seen_born_ms <= h->spec->born_ms &&
	       is_known_for_long(f, endpoint);
}

uint64_t
gyp_fleet_departed(struct gyp_fleet *f, uint64_t now, uint32_t row,
    uint64_t incarnation_start_ms)
{
	struct gyp_fleet_endpoint *endpoint;
	bool outdated;

	gyp_fleet_advance(f, now);
	endpoint = gyp_fleet_get_endpoint(f, row);
	outdated = incarnation_start_ms != 0 &&
		   incarnation_start_ms < endpoint->incarnation_start_ms;
	gyp_events_add(f->cfg.events, "endpoint-leaves",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT
	    " present_ms=%" G_GUINT64_FORMAT " outdated=%d runs=%u",
	    gyp_fleet_endpoint_name(f, row), incarnation_start_ms,
	    endpoint->incarnation_start_ms, outdated, endpoint->runs->len);
	if (outdated)
		return 0;
	if (endpoint->leaving_at == 0)
		endpoint->leaving_at = f->now;
	if (incarnation_start_ms == 0)
		return drained_without_predecessor(f, endpoint)
			   ? endpoint->incarnation_start_ms
			   : 0;
	/* No later incarnation was seen, so a later start may be wrong. */
	return incarnation_start_ms == endpoint->incarnation_start_ms
		   ? incarnation_start_ms
		   : 0;
}

/*
 * True if the endpoint is to be polled for whether it goes on: it has not
 * answered since the notice, or not for a while.
 */
static bool
leaving_poll_is_due(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->failures >= REMOVE_FAILURES)
		return false;
	return !gyp_fleet_endpoint_end_is_recorded(f, endpoint) ||
	       f->now >= MAX(endpoint->answered_at, endpoint->leaving_at) +
			     LEAVING_POLL_MS;
}

/*
 * True if the endpoint, which has no open run, need not stay in the tables. If
 * it goes on, it registers anew.
 */
static bool
may_be_forgotten(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	if (gyp_fleet_endpoint_is_delisted(endpoint))
		return true;
	return endpoint->failures >= REMOVE_FAILURES &&
	       (gyp_fleet_endpoint_end_is_recorded(f, endpoint) ||
		   drained_without_predecessor(f, endpoint));
}

void
gyp_fleet_check_leaving(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->leaving_at == 0 ||
	    f->now < endpoint->leaving_at + DEPARTURE_GRACE_MS)
		return;
	if (leaving_poll_is_due(f, endpoint))
		endpoint->poll_due = true;
	if (GYP_MUTANT(ANNOUNCED_END) && endpoint->failures >= REMOVE_FAILURES)
		end_all_runs(f, endpoint);
	if (all_ends_are_proposed(endpoint) && may_be_forgotten(f, endpoint))
		gyp_fleet_propose_removal(f, endpoint);
}

void
gyp_fleet_note_recorded_end(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	if (endpoint->replaced_at != 0 || endpoint->leaving_at != 0 ||
	    !gyp_fleet_endpoint_end_is_recorded(f, endpoint))
		return;
	endpoint->leaving_at = f->now;
	gyp_events_add(f->cfg.events, "endpoint-end-recorded",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT
	    " recorded_ms_ago=%" G_GUINT64_FORMAT " runs=%u",
	    h->spec->id, h->spec->ended_born_ms,
	    gyp_fleet_endpoint_recorded_ms_ago(f, endpoint),
	    endpoint->runs->len);
}
