#ifndef GYP_ADMISSION_PREFETCH_H
#define GYP_ADMISSION_PREFETCH_H

#include <stdbool.h>

#include "fleet.h"
#include "flow.h"
#include "run_stats.h"

/*
 * NAME
 *	admission_prefetch - when to query the admission service in advance
 *
 * DESCRIPTION
 *	Handles this load: flows of several steps with little slack, where each
 *	step starts with an admission query of 30 to 700 ms. The query is
 *	therefore sent while the preceding steps still run: late enough that the
 *	ticket is still valid when they end, and only on query slots that no
 *	ready unit needs.
 *
 *	And this one: an endpoint with lasting tasks is gone without notice.
 *	Each of them may run elsewhere once its lease there is over, or before
 *	if the endpoint is known to have ended, and must within seconds from
 *	then, most of which a query about so many tasks would take. Which
 *	endpoints are allowed is therefore queried once the endpoint is silent,
 *	and tickets that outlast the lease before it is over. Nothing starts
 *	before the end of the run is committed.
 */

/*
 * True when the unit waits for other units whose remaining tasks all run and
 * which should end while a ticket requested now is valid.
 */
bool gyp_admission_prefetch_due(const struct gyp_run_stats *,
    const struct gyp_flow *, const struct gyp_flow_unit *);

/* Open runs of a unit at endpoints that are expected to be gone. */
struct gyp_lost_runs {
	uint32_t silent; /* all of them */
	uint32_t ending; /* those whose leases are over soon: tickets are due */
	uint64_t ending_ms; /* until the last lease of these is over */
};

/*
 * All are 0 unless the unit lasts and its queue needs admission, and for gangs.
 */
struct gyp_lost_runs gyp_admission_lost_runs(const struct gyp_fleet *,
    const struct gyp_flow *, const struct gyp_flow_unit *);

#endif
