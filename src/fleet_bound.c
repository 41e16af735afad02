#include "fleet_int.h"
#include "msg.h"
#include "mutant.h"

/*
 * Silence from which the lease of an endpoint is bounded in the tables, in ms,
 * and the unanswered calls in a row that it takes: one alone may be lost.
 */
#define BOUND_SILENT_MS 800
#define BOUND_FAILURES  2

/*
 * The same for an endpoint that has not answered this leader: its second poll
 * has had the time to be answered.
 */
#define BOUND_UNKNOWN_MS       400
#define BOUND_UNKNOWN_FAILURES 1

/* Added to the end of a bound for the rounding of each leader's time, in ms. */
#define BOUND_MARGIN_MS 60

/* True if the bounds of the tables hold under this leader. */
static bool
bounds_are_valid(const struct gyp_fleet *f)
{
	uint64_t term = gyp_flows_bounds_term(f->flows);

	return f->cfg.lease_bounds && term != 0 &&
	       (term == f->fence || term == f->cfg.previous_term ||
		   GYP_MUTANT(BOUND_OUTDATED));
}

/* True if a command about the bound is proposed and not applied. */
static bool
is_pending(const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return gyp_flows_bounds_applied(f->flows) - f->bounds_applied_before <
	       endpoint->bound_cmd;
}

static uint64_t
bound_incarnation(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	return h != NULL ? h->spec->bound_born_ms : 0;
}

bool
gyp_fleet_endpoint_is_bounded(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	return f->cfg.lease_bounds && !GYP_MUTANT(BOUND_EXTENDED) &&
	       (is_pending(f, endpoint) || bound_incarnation(f, endpoint) != 0);
}

uint64_t
gyp_fleet_endpoint_bound(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	uint64_t incarnation = bound_incarnation(f, endpoint), over;

	if (incarnation == 0 || !bounds_are_valid(f) ||
	    incarnation != endpoint->incarnation_start_ms ||
	    endpoint->restarts > 0)
		return UINT64_MAX;
	over = gyp_host_at(f->flows, endpoint->row)->spec->bound_over_ms;
	return f->leader_since + BOUND_MARGIN_MS +
	       (over > f->cfg.cell_time_ms ? over - f->cfg.cell_time_ms : 0);
}

/* ---- Commands ----------------------------------------------------------- */

static void
propose(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint,
    Gyp__CmdLeaseBound *bound)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;

	bound->id = gyp_host_at(f->flows, endpoint->row)->spec->id;
	cmd.c_case = GYP__CMD__C_LEASE_BOUND;
	cmd.lease_bound = bound;
	endpoint->bound_cmd = ++f->bounds_proposed;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

static void
propose_bound(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	Gyp__CmdLeaseBound bound = GYP__CMD_LEASE_BOUND__INIT;

	bound.born_ms = endpoint->incarnation_start_ms;
	bound.left_ms = gyp_fleet_endpoint_lease_expiry(f, endpoint) - f->now;
	propose(f, endpoint, &bound);
	gyp_events_add(f->cfg.events, "lease-bounded",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT
	    " left_ms=%" G_GUINT64_FORMAT " runs=%u failures=%u",
	    bound.id, bound.born_ms, bound.left_ms, endpoint->runs->len,
	    endpoint->failures);
}

static void
propose_withdrawal(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	Gyp__CmdLeaseBound bound = GYP__CMD_LEASE_BOUND__INIT;

	bound.born_ms = bound_incarnation(f, endpoint);
	bound.withdrawn = true;
	propose(f, endpoint, &bound);
	gyp_events_add(f->cfg.events, "lease-unbounded",
	    "endpoint=%s born_ms=%" G_GUINT64_FORMAT, bound.id, bound.born_ms);
}

void
gyp_fleet_bounds_begin(struct gyp_fleet *f)
{
	Gyp__Cmd cmd = GYP__CMD__INIT;
	Gyp__CmdTermBegun begun = GYP__CMD_TERM_BEGUN__INIT;

	if (!f->cfg.lease_bounds || f->bounds_begun ||
	    gyp_hosts_count(f->flows) == 0)
		return;
	f->bounds_begun = true;
	begun.term = f->fence;
	if (bounds_are_valid(f))
		begun.previous_term = gyp_flows_bounds_term(f->flows);
	cmd.c_case = GYP__CMD__C_TERM_BEGUN;
	cmd.term_begun = &begun;
	g_queue_push_tail(&f->cmds, gyp_message_copy(&cmd.base));
}

/* ---- Silence ------------------------------------------------------------ */

/* True if a run waits for the end of the lease. */
static bool
has_waiting_run(const struct gyp_fleet_endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->runs->len; i++) {
		const struct gyp_fleet_run *run = endpoint->runs->pdata[i];

		if (!run->end_proposed && run->phase != GYP_RUN_UNSENT)
			return true;
	}
	return false;
}

static bool
is_silent(const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	uint64_t since = MAX(endpoint->answered_at, endpoint->added_at);

	if (!endpoint->contacted)
		return endpoint->failures >= BOUND_UNKNOWN_FAILURES &&
		       f->now >= since + BOUND_UNKNOWN_MS;
	return endpoint->failures >= BOUND_FAILURES &&
	       f->now >= since + BOUND_SILENT_MS;
}

/*
 * A removal that is proposed may give the id to another row before a command
 * that names it is applied.
 */
static bool
may_be_removed(
    const struct gyp_fleet *f, const struct gyp_fleet_endpoint *endpoint)
{
	const struct gyp_host *h = gyp_host_at(f->flows, endpoint->row);

	return h->spec->gone || endpoint->removal_proposed_at != 0;
}

static bool
answers(const struct gyp_fleet_endpoint *endpoint)
{
	return endpoint->contacted && endpoint->failures == 0 &&
	       endpoint->replaced_at == 0;
}

void
gyp_fleet_bound_sweep(struct gyp_fleet *f, struct gyp_fleet_endpoint *endpoint)
{
	bool bounded = gyp_fleet_endpoint_is_bounded(f, endpoint);

	if (!f->cfg.lease_bounds)
		return;
	/* The lease was not extended for a while. */
	if (endpoint->was_bounded && !bounded)
		endpoint->poll_due = true;
	endpoint->was_bounded = bounded;
	if (is_pending(f, endpoint))
		return;
	if (bounded && answers(endpoint))
		propose_withdrawal(f, endpoint);
	else if (!bounded && has_waiting_run(endpoint) &&
		 is_silent(f, endpoint) && !may_be_removed(f, endpoint) &&
		 f->now < gyp_fleet_endpoint_lease_expiry(f, endpoint))
		propose_bound(f, endpoint);
}
