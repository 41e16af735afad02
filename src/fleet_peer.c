#include "fleet_int.h"
#include "msg.h"

/* Added to the end of a lease for the leader's own timers, in ms. */
#define LEASE_MARGIN_MS 60

static uint64_t
clock_lower_bound(const struct gyp_peer *peer, uint64_t now)
{
	uint64_t elapsed = now - peer->clock_at;

	return peer->clock_ms + elapsed - elapsed / GYP_CLOCK_SLOW;
}

uint64_t
gyp_peer_silence_ms(const struct gyp_fleet *f, const struct gyp_peer *peer)
{
	return f->now - MAX(peer->last_seen_at, f->leader_since);
}

const char *
gyp_peer_name(const struct gyp_fleet *f, uint32_t row)
{
	const struct gyp_host *h = gyp_host_at(f->flows, row);

	return h != NULL ? h->spec->id : "gone";
}

void
gyp_peer_update_clock(
    struct gyp_fleet *f, struct gyp_peer *peer, uint64_t clock_ms)
{
	bool first = peer->clock_at == 0;

	if (!first && clock_ms < clock_lower_bound(peer, f->now))
		return;
	peer->clock_ms = clock_ms;
	peer->clock_at = f->now;
	/* An earlier leader or a late call may have extended it this far. */
	if (first)
		peer->until_ms = MAX(peer->until_ms,
		    clock_ms + f->cfg.lease_ms + peer->late_grant_ms);
}

/* Records the restart, so that the next leader allows for late calls too. */
static void
propose_restart(struct gyp_fleet *f, const struct gyp_peer *peer)
{
	const struct gyp_host *h = gyp_host_at(f->flows, peer->row);
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdHostReborn restart = GYP__CMD_HOST_REBORN__INIT;

	if (h == NULL || peer->born_ms <= h->spec->born_ms)
		return;
	restart.id = h->spec->id;
	restart.born_ms = peer->born_ms;
	cmd.c_case = GYP__CMD__C_HOST_REBORN;
	cmd.host_reborn = &restart;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

void
gyp_peer_restarted(struct gyp_fleet *f, struct gyp_peer *peer, uint64_t born_ms)
{
	guint i;

	gyp_events_add(f->cfg.events, "endpoint-reborn",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT
	    " before_ms=%" G_GUINT64_FORMAT " runs=%u",
	    gyp_peer_name(f, peer->row), born_ms, peer->born_ms,
	    peer->runs->len);
	peer->born_ms = born_ms;
	peer->departed_at = 0;
	peer->restarted_at = f->now;
	peer->restart_call = f->next_call;
	/*
	 * An unanswered call with a time of the earlier incarnation's clock
	 * may still reach this one, which then grants a whole lease.
	 */
	peer->late_grant_ms = LATE_CALL_MAX_MS;
	peer->listed_at = 0;
	peer->clock_at = 0;
	peer->until_ms = 0;
	peer->acked = 0;
	peer->acked_sent = 0;
	g_array_set_size(peer->unacked, 0);
	for (i = 0; i < peer->runs->len; i++) {
		struct gyp_fleet_run *run = peer->runs->pdata[i];

		if (run->phase == GYP_RUN_CONFIRMED)
			run->phase = GYP_RUN_INHERITED;
		/* A late start may still begin it in this incarnation. */
		if (run->stop == GYP_STOP_CONFIRMED ||
		    run->stop == GYP_STOP_SENT) {
			run->stop = GYP_STOP_DUE;
			gyp_fleet_enqueue_run(f, run);
		}
	}
	peer->poll_due = true;
	gyp_fleet_mark_dirty(f, peer);
	propose_restart(f, peer);
}

uint64_t
gyp_peer_lease_expiry(const struct gyp_fleet *f, const struct gyp_peer *peer)
{
	uint64_t from = peer->clock_at != 0
			    ? peer->clock_at
			    : MAX(f->leader_since, peer->restarted_at);
	uint64_t left = f->cfg.lease_ms + peer->late_grant_ms;

	if (peer->clock_at != 0)
		left = peer->until_ms > peer->clock_ms
			   ? peer->until_ms - peer->clock_ms
			   : 0;
	return from + left + left / (GYP_CLOCK_SLOW - 1) + 1 + LEASE_MARGIN_MS;
}
