#include "fleet_int.h"
#include "msg.h"

/* Added to the end of a lease for the leader's own timers, in ms. */
#define LEASE_MARGIN_MS 60

/*
 * Low bits of a fence number that count restarts. JSON numbers are exact below
 * 2^53, so this leaves 33 bits for the term.
 */
#define RESTART_BITS 20
#define RESTARTS_MAX ((1U << RESTART_BITS) - 1)

static uint64_t
clock_lower_bound(const struct gyp_fleet_endpoint *endpoint, uint64_t now)
{
	uint64_t elapsed = now - endpoint->clock_at;

	return endpoint->clock_ms + elapsed - elapsed / GYP_CLOCK_SLOW;
}

uint64_t
gyp_fleet_endpoint_silence_ms(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return f->now - MAX(endpoint->last_seen_at, endpoint->added_at);
}

const char *
gyp_fleet_endpoint_name(const struct gyp_fleet *f, uint32_t row)
{
	return gyp_host_name(f->flows, row);
}

bool
gyp_fleet_endpoint_end_is_recorded(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	/* A restart that only the clock shows is of an unknown incarnation. */
	if (endpoint->restarts > 0 && !endpoint->contacted)
		return false;
	return h != NULL && gyp_host_has_ended(h) &&
	       h->spec->ended_born_ms >= endpoint->incarnation_start_ms;
}

uint64_t
gyp_fleet_endpoint_recorded_ms_ago(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	uint64_t cell_time = gyp_fleet_cell_time(f);

	if (!gyp_fleet_endpoint_end_is_recorded(f, endpoint) ||
	    cell_time <= h->spec->ended_ms)
		return 0;
	return cell_time - h->spec->ended_ms;
}

void
gyp_fleet_endpoint_update_clock(
    struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint, uint64_t clock_ms)
{
	bool first = endpoint->clock_at == 0;
	uint64_t bound = first ? 0 : clock_lower_bound(endpoint, f->now);

	/*
	 * A reading below the bound was delayed on its way by the difference
	 * or more. The earlier reading still holds.
	 */
	if (clock_ms < bound) {
		endpoint->clock_seen_at = MAX(endpoint->clock_seen_at,
		    f->now - MIN(f->now, bound - clock_ms));
		return;
	}
	endpoint->clock_seen_at = f->now;
	endpoint->clock_ms = clock_ms;
	endpoint->clock_at = f->now;
	/* An earlier leader or a late call may have extended it this far. */
	if (first)
		endpoint->until_ms = MAX(endpoint->until_ms,
		    clock_ms + f->cfg.lease_ms + endpoint->late_grant_ms);
}

bool
gyp_fleet_endpoint_clock_restarted(const struct gyp_fleet_endpoint *endpoint,
    uint64_t sent_at, uint64_t clock_ms)
{
	return endpoint->clock_at != 0 && sent_at >= endpoint->clock_at &&
	       clock_ms < clock_lower_bound(endpoint, sent_at);
}

/*
 * Records the restart, so that the next leader allows for late calls too; or,
 * with fenced, that it need not.
 */
static void
propose_incarnation(
    struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint, bool fenced)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHostReborn restart = GYP__CMD_HOST_REBORN__INIT;

	restart.id = h->spec->id;
	restart.born_ms = endpoint->incarnation_start_ms;
	restart.fenced = fenced;
	cmd.c_case = GYP__CMD__C_HOST_REBORN;
	cmd.host_reborn = &restart;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

void
gyp_fleet_endpoint_restarted(struct gyp_fleet *f,
    struct gyp_fleet_endpoint *endpoint, uint64_t incarnation_start_ms)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);
	guint i;

	gyp_events_add(f->cfg.events, "endpoint-reborn",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT
	    " before_ms=%" G_GUINT64_FORMAT " runs=%u",
	    gyp_fleet_endpoint_name(f, endpoint->row), incarnation_start_ms,
	    endpoint->incarnation_start_ms, endpoint->runs->len);
	endpoint->incarnation_start_ms = incarnation_start_ms;
	endpoint->replaced_at = 0;
	endpoint->leaving_at = 0;
	endpoint->restarted_at = f->now;
	endpoint->restart_call = f->next_call;
	endpoint->restarts++;
	/*
	 * An unanswered call with a time of the earlier incarnation's clock
	 * may still reach this one, which then grants a whole lease.
	 */
	endpoint->late_grant_ms = LATE_CALL_MAX_MS;
	endpoint->fenced = false;
	endpoint->sent_until_ms = 0;
	endpoint->listed_at = 0;
	endpoint->poll_failed = false;
	endpoint->clock_at = 0;
	endpoint->until_ms = 0;
	endpoint->acked = 0;
	endpoint->acked_sent = 0;
	g_array_set_size(endpoint->unacked, 0);
	for (i = 0; i < endpoint->runs->len; i++) {
		struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (run->phase == GYP_RUN_CONFIRMED)
			run->phase = GYP_RUN_INHERITED;
		/* A late start may still begin it in this incarnation. */
		if (run->stop == GYP_STOP_CONFIRMED ||
		    run->stop == GYP_STOP_SENT) {
			run->stop = GYP_STOP_DUE;
			gyp_fleet_enqueue_run(f, run);
		}
	}
	endpoint->poll_due = true;
	gyp_fleet_mark_dirty(f, endpoint);
	if (h != NULL && incarnation_start_ms > h->spec->born_ms)
		propose_incarnation(f, endpoint, false);
}

uint64_t
gyp_fleet_endpoint_fence(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	if (!f->cfg.fence_incarnations)
		return f->fence;
	return f->fence << RESTART_BITS | MIN(endpoint->restarts, RESTARTS_MAX);
}

/* True if calls sent before the latest restart have a lower fence number. */
static bool
fences_restart(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return endpoint->restarts == 0 ||
	       (f->cfg.fence_incarnations &&
		   endpoint->restarts <= RESTARTS_MAX);
}

void
gyp_fleet_endpoint_fenced(struct gyp_fleet *f,
    struct gyp_fleet_endpoint *endpoint, uint64_t call, uint64_t clock_ms)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	if (endpoint->fenced || call < endpoint->restart_call ||
	    !fences_restart(f, endpoint))
		return;
	if (h != NULL &&
	    (endpoint->restarts > 0 ||
		gyp_host_restart_left_ms(f->flows, h, LATE_CALL_MAX_MS) > 0))
		propose_incarnation(f, endpoint, true);
	endpoint->fenced = true;
	endpoint->late_grant_ms = 0;
	endpoint->until_ms =
	    MAX(endpoint->sent_until_ms, clock_ms + f->cfg.lease_ms);
}

static uint64_t
expiry_after(uint64_t from, uint64_t left_ms)
{
	return from + left_ms + left_ms / (GYP_CLOCK_SLOW - 1) + 1 +
	       LEASE_MARGIN_MS;
}

/*
 * Leases that earlier leaders granted, or that late calls may grant, expire at
 * the latest one lease after the start of the term or the restart. Readings of
 * the clock cannot shorten this before the endpoint is fenced: the first one
 * may have been taken before, and until_ms is derived from it.
 */
static uint64_t
counted_expiry(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	uint64_t inherited =
	    expiry_after(MAX(f->leader_since, endpoint->restarted_at),
		f->cfg.lease_ms + endpoint->late_grant_ms);
	uint64_t left = endpoint->until_ms > endpoint->clock_ms
			    ? endpoint->until_ms - endpoint->clock_ms
			    : 0;

	if (endpoint->clock_at == 0)
		return inherited;
	if (endpoint->fenced)
		return expiry_after(endpoint->clock_at, left);
	return MAX(inherited, expiry_after(endpoint->clock_at, left));
}

uint64_t
gyp_fleet_endpoint_lease_expiry(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return MIN(
	    counted_expiry(f, endpoint), gyp_fleet_endpoint_bound(f, endpoint));
}

bool
gyp_fleet_endpoint_lacks_lease(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return endpoint->poll_failed &&
	       f->now >= gyp_fleet_endpoint_lease_expiry(f, endpoint);
}

bool
gyp_fleet_is_silent(const struct gyp_fleet *f, uint32_t row, uint64_t silent_ms)
{
	const struct gyp_fleet_endpoint *endpoint =
	    row < f->endpoints->len ? f->endpoints->pdata[row] : NULL;

	return endpoint != NULL &&
	       gyp_fleet_endpoint_silence_ms(f, endpoint) >= silent_ms;
}

bool
gyp_fleet_lease_runs_out(const struct gyp_fleet *f, uint32_t row,
    uint64_t silent_ms, uint64_t *left_ms)
{
	uint64_t expiry;

	if (!gyp_fleet_is_silent(f, row, silent_ms))
		return false;
	expiry = gyp_fleet_endpoint_lease_expiry(f, f->endpoints->pdata[row]);
	*left_ms = expiry > f->now ? expiry - f->now : 0;
	return true;
}
