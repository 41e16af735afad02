#include "fleet_int.h"

/* Silence of an endpoint from which its runs count as unconfirmed, in ms. */
#define SILENT_RUN_MS 2000

/* Pause between two lines about one run that does not run, in ms. */
#define UNCONFIRMED_LINES_MS 1000

/* Most lines about runs that do not run in one scan. */
#define UNCONFIRMED_LINES_MAX 20

static const char *
phase_name(enum gyp_run_phase phase)
{
	static const char *const names[] = {[GYP_RUN_UNSENT] = "unsent",
	    [GYP_RUN_STARTING] = "starting",
	    [GYP_RUN_CONFIRMED] = "confirmed",
	    [GYP_RUN_INHERITED] = "inherited"};

	return names[phase];
}

static const char *
stop_name(enum gyp_run_stop stop)
{
	static const char *const names[] = {[GYP_STOP_NONE] = "none",
	    [GYP_STOP_DUE] = "due",
	    [GYP_STOP_SENT] = "sent",
	    [GYP_STOP_CONFIRMED] = "confirmed"};

	return names[stop];
}

static const char *
call_name(const struct gyp_fleet_run *run)
{
	if (run->start_pending || run->stop == GYP_STOP_SENT)
		return "pending";
	return run->retry_at != 0 ? "due" : "none";
}

static void
diagnose_endpoint(const struct gyp_fleet *f,
    const struct gyp_fleet_endpoint *endpoint, struct gyp_run_diagnosis *d)
{
	uint64_t expiry = gyp_fleet_endpoint_lease_expiry(f, endpoint);

	d->endpoint = gyp_fleet_endpoint_name(f, endpoint->row);
	d->silent_ms = gyp_fleet_endpoint_silence_ms(f, endpoint);
	d->failures = endpoint->failures;
	d->departed = endpoint->leaving_at != 0 || endpoint->replaced_at != 0;
	d->lease_left_ms = expiry > f->now ? expiry - f->now : 0;
	d->restarted_ms_ago = endpoint->restarted_at != 0
				  ? (int64_t)(f->now - endpoint->restarted_at)
				  : -1;
}

bool
gyp_fleet_is_contacted(const struct gyp_fleet *f, uint32_t row)
{
	const struct gyp_fleet_endpoint *endpoint =
	    row < f->endpoints->len ? f->endpoints->pdata[row] : NULL;

	return endpoint != NULL && endpoint->contacted &&
	       endpoint->clock_at != 0;
}

bool
gyp_fleet_run_diagnosis(const struct gyp_fleet *f, uint64_t flow, uint32_t task,
    struct gyp_run_diagnosis *d)
{
	struct gyp_flow_key key = {.flow = flow, .index = task};
	const struct gyp_fleet_run *run = gyp_fleet_find_run(f, &key);

	if (run == NULL)
		return false;
	diagnose_endpoint(f, f->endpoints->pdata[run->row], d);
	d->phase = phase_name(run->phase);
	d->stop = stop_name(run->stop);
	d->call = call_name(run);
	d->refused = run->refused;
	d->running = gyp_fleet_run_is_running(run);
	d->began = run->view.confirmed || run->phase == GYP_RUN_INHERITED;
	d->end_proposed = run->end_proposed;
	d->end_proposed_ms_ago =
	    run->end_proposed ? f->now - run->end_proposed_at : 0;
	d->starts_sent = run->starts_sent;
	d->confirmed_at = run->view.confirmed_at;
	return true;
}

/* ---- Runs without confirmation ------------------------------------------ */

/*
 * True if the run is not known to run. One whose end is proposed counts once
 * the commit takes long; one that is being stopped still runs.
 */
static bool
is_unconfirmed(const struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	if (run->end_proposed)
		return f->now >= run->end_proposed_at + GYP_RUN_LATE_MS;
	return run->phase != GYP_RUN_CONFIRMED ||
	       gyp_fleet_is_silent(f, run->row, SILENT_RUN_MS);
}

/*
 * True if a line about the run is due: it has been open for GYP_RUN_LATE_MS, or
 * for another UNCONFIRMED_LINES_MS since its last line.
 */
static bool
unconfirmed_line_is_due(
    const struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	if (!is_unconfirmed(f, run))
		return false;
	if (run->unconfirmed_line_at != 0)
		return f->now >=
		       run->unconfirmed_line_at + UNCONFIRMED_LINES_MS;
	return f->now >= run->opened_at + GYP_RUN_LATE_MS;
}

static void
log_unconfirmed(const struct gyp_fleet *f, const struct gyp_fleet_run *run)
{
	struct gyp_run_diagnosis d;

	if (!gyp_fleet_run_diagnosis(f, run->key.flow, run->key.index, &d))
		return;
	gyp_events_add(f->cfg.events, "run-unconfirmed",
	    RUN_ID " open_ms=%" G_GUINT64_FORMAT
		   " endpoint=%s phase=%s stop=%s call=%s refused=%s "
		   "end_proposed=%d starts_sent=%u "
		   "silent_ms=%" G_GUINT64_FORMAT
		   " failures=%u departed=%d lease_left_ms=%" G_GUINT64_FORMAT
		   " restarted_ms_ago=%" G_GINT64_FORMAT,
	    RUN_ARGS(run), f->now - run->opened_at, d.endpoint, d.phase, d.stop,
	    d.call, d.refused != NULL ? d.refused : "none", d.end_proposed,
	    d.starts_sent, d.silent_ms, d.failures, d.departed, d.lease_left_ms,
	    d.restarted_ms_ago);
}

void
gyp_fleet_log_unconfirmed(struct gyp_fleet *f)
{
	GHashTableIter iter;
	gpointer value;
	guint lines = 0;

	g_hash_table_iter_init(&iter, f->runs);
	while (lines < UNCONFIRMED_LINES_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gyp_fleet_run *run = value;

		if (!unconfirmed_line_is_due(f, run))
			continue;
		log_unconfirmed(f, run);
		run->unconfirmed_line_at = f->now;
		lines++;
	}
}
