#include "fleet_int.h"
#include "msg.h"

/*
 * Pause before the removal of an endpoint is proposed again, in ms: it has no
 * effect if the endpoint registers before it is committed.
 */
#define REMOVAL_RETRY_MS 2000

/*
 * An announcement that is confirmed later than this after it arrived may have
 * been given up by its endpoint, in ms.
 */
#define CONFIRMATION_MAX_MS 500

/*
 * Unanswered calls in a row after which an endpoint that drained and announced
 * its shutdown has ended.
 */
#define ENDED_FAILURES 3

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

static void
propose_host_end(struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHostEnded ended = GYP__CMD_HOST_ENDED__INIT;

	ended.id = h->spec->id;
	ended.born_ms = endpoint->incarnation_start_ms;
	cmd.c_case = GYP__CMD__C_HOST_ENDED;
	cmd.host_ended = &ended;
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

/*
 * True if an earlier leader's start of a listed run may still be on its way: a
 * further one, sent within START_WINDOW_MS of the proposal.
 */
static bool
earlier_start_may_arrive(
    const struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	return run->starts_sent == 0 && !gyp_fleet_run_is_sent_once(run) &&
	       f->now < f->leader_since + LATE_CALL_MAX_MS &&
	       !is_long_ago(f, started_ms(run) + START_WINDOW_MS);
}

/*
 * True if a later incarnation of the endpoint may have the run, or begin it:
 * the answer to a start need not tell which one carried it out, only a list
 * does, and a start that got no answer may still be carried out. None does if
 * all starts of the run were over when the incarnation ended, if it listed the
 * run and the tables say that there was one start, or if they say which
 * incarnation has it.
 */
static bool
may_outlast_incarnation(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, const struct gyp_fleet_run *run)
{
	/* The announcement may have been late. */
	uint64_t ago_ms = f->now - endpoint->departed_at +
			  endpoint->departed_before_ms + LATE_CALL_MAX_MS;
	uint64_t incarnation = gyp_fleet_run_incarnation(run);

	if (run->phase == GYP_RUN_UNSENT)
		return false;
	if (incarnation != 0)
		return incarnation > endpoint->incarnation_start_ms;
	if (run->may_outlast)
		return true;
	if (run->phase != GYP_RUN_CONFIRMED || run->view.listed_at == 0)
		return !gyp_fleet_starts_are_past(f, run, ago_ms);
	if (earlier_start_may_arrive(f, run))
		return true;
	return run->starts_sent > 1 &&
	       f->now < run->start_sent_at + LATE_CALL_MAX_MS;
}

void
gyp_fleet_end_departed_runs(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	bool lease_over =
	    f->now >= gyp_fleet_endpoint_lease_expiry(f, endpoint);
	guint i, open = 0;

	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		run->may_outlast = may_outlast_incarnation(f, endpoint, run);
		if (run->may_outlast && !lease_over && !endpoint->replaced)
			open++;
		else
			gyp_fleet_propose_end(
			    f, run, GYP__FLOW_HOW__FLOW_LOST, NULL);
	}
	if (open == 0)
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

/*
 * Handles the announcement of a shutdown that names no incarnation. Returns the
 * start of the one that it is about, 0 if that is not known.
 */
static uint64_t
note_leaving(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->departed_at == 0 && endpoint->leaving_at == 0)
		endpoint->leaving_at = f->now;
	return drained_without_predecessor(f, endpoint)
		   ? endpoint->incarnation_start_ms
		   : 0;
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
	if (incarnation_start_ms == 0)
		return note_leaving(f, endpoint);
	if (endpoint->departed_at == 0)
		endpoint->departed_at = f->now;
	return incarnation_start_ms;
}

uint64_t
gyp_fleet_announced(struct gyp_fleet *f, uint64_t now, uint32_t row,
    uint64_t incarnation_start_ms)
{
	struct gyp_fleet_endpoint *endpoint;

	gyp_fleet_advance(f, now);
	endpoint = gyp_fleet_get_endpoint(f, row);
	if (incarnation_start_ms < endpoint->incarnation_start_ms ||
	    endpoint->departed_at != 0)
		return gyp_fleet_departed(f, now, row, incarnation_start_ms);
	/* No later incarnation was seen, so its start may be wrong. */
	if (incarnation_start_ms > endpoint->incarnation_start_ms) {
		gyp_fleet_departed(f, now, row, incarnation_start_ms);
		return 0;
	}
	endpoint->announced_at = f->now;
	if (endpoint->leaving_at == 0)
		endpoint->leaving_at = f->now;
	return incarnation_start_ms;
}

void
gyp_fleet_announcement_confirmed(struct gyp_fleet *f, uint64_t now,
    uint32_t row, uint64_t incarnation_start_ms)
{
	struct gyp_fleet_endpoint *endpoint;

	gyp_fleet_advance(f, now);
	endpoint = gyp_fleet_get_endpoint(f, row);
	if (endpoint->announced_at != 0 &&
	    f->now < endpoint->announced_at + CONFIRMATION_MAX_MS)
		gyp_fleet_departed(f, now, row, incarnation_start_ms);
}

/* The present incarnation has ended, which later leaders have to know. */
static void
depart(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	endpoint->departed_at = f->now;
	endpoint->departed_before_ms =
	    gyp_fleet_endpoint_recorded_ms_ago(f, endpoint);
	if (!gyp_fleet_endpoint_end_is_recorded(f, endpoint))
		propose_host_end(f, endpoint);
}

void
gyp_fleet_check_leaving(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	if (endpoint->leaving_at == 0 ||
	    f->now < endpoint->leaving_at + DEPARTURE_GRACE_MS)
		return;
	if (endpoint->failures < ENDED_FAILURES)
		endpoint->poll_due = true;
	else if (gyp_fleet_endpoint_end_is_recorded(f, endpoint) ||
		 drained_without_predecessor(f, endpoint))
		depart(f, endpoint);
}

void
gyp_fleet_note_recorded_end(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	if (endpoint->departed_at != 0 || endpoint->leaving_at != 0 ||
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
