#ifndef GYP_LASTING_WATCH_H
#define GYP_LASTING_WATCH_H

#include <stdint.h>

#include "admission.h"
#include "counters.h"
#include "event.h"
#include "fleet.h"
#include "flow.h"
#include "placer.h"
#include "run_stats.h"

/*
 * NAME
 *	lasting_watch - logs lasting tasks that do not run, and why
 *
 * DESCRIPTION
 *	A task of a lasting step must run again after its run has ended. It is
 *	down while it has no run that its endpoint has confirmed to this leader
 *	and that is neither stopped nor over, or while that endpoint has been
 *	silent for GYP_LASTING_SILENT_MS: the tables hold the run as open until
 *	its lease is over. Tasks that wait for other steps or for their time are
 *	not down.
 *
 *	A scan visits the tasks of all lasting steps and logs what the tables,
 *	the fleet and the admission state hold about those that are down. It
 *	changes no decision. Only a leader has a watch. For a task that waits,
 *	the tables hold when its latest run ended, so the time under earlier
 *	leaders and the election count too. A task whose run is still open at
 *	the first scan counts as down since the start of the term: the tables
 *	do not hold since when its endpoint has been silent. If they hold that
 *	its endpoint announced its shutdown, and the run ends without having
 *	been seen, it was down since then.
 */

/* Interval of the scans, in ms. */
#define GYP_LASTING_SCAN_MS 1000

/* Silence of an endpoint from which its runs count as down: 3 lost polls. */
#define GYP_LASTING_SILENT_MS 2000

/* Shortest outage that is logged and counted in gyp_lasting_down, in ms. */
#define GYP_LASTING_LOGGED_MS 1000

/* Most lines about tasks that are down in one scan. */
#define GYP_LASTING_LINES_MAX 20

struct gyp_lasting_watch;

/* What a watch reads and where it logs; all but its own must stay valid. */
struct gyp_lasting_sources {
	struct gyp_flows *flows;
	const struct gyp_fleet *fleet;
	const struct gyp_admission *admission;
	struct gyp_placer *placer;
	const struct gyp_run_stats *stats;
	struct gyp_events *events;     /* or NULL */
	struct gyp_counters *counters; /* or NULL */
	/* Time since the latest command in flows, at least, in ms. */
	uint64_t tables_age_ms;
};

struct gyp_lasting_watch *gyp_lasting_watch_new(
    const struct gyp_lasting_sources *, uint64_t now);
void gyp_lasting_watch_free(struct gyp_lasting_watch *);

/*
 * Records the end of a run of any task. Call before the fleet removes the run.
 */
void gyp_lasting_watch_ended(struct gyp_lasting_watch *, uint64_t now,
    const struct gyp_flow *, uint32_t task, Gyp__FlowHow);

/* Scans all lasting steps if a scan is due; wall_ms is Unix time. */
void gyp_lasting_watch_tick(
    struct gyp_lasting_watch *, uint64_t now, uint64_t wall_ms);

#endif
