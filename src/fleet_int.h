#ifndef GYP_FLEET_INT_H
#define GYP_FLEET_INT_H

#include "fleet.h"

/*
 * NAME
 *	fleet_int - internal structures and functions of the fleet
 *
 * DESCRIPTION
 *	fleet.c			runs, endpoints and the periodic sweep
 *	fleet_bound.c		bounds of leases in the tables
 *	fleet_calls.c		calls and their answers
 *	fleet_confirmed.c	runs known to belong to one incarnation
 *	fleet_departure.c	announced shutdowns, and removal
 *	fleet_diagnosis.c	reports on single runs, for logs
 *	fleet_endpoint.c	clocks, leases and incarnations of endpoints
 *	fleet_inventory.c	endpoints that the provider no longer lists
 *	fleet_poll.c		lists of runs and ends
 */

/* Fields that identify a run in events. */
#define RUN_ID      "flow=%016" G_GINT64_MODIFIER "x task=%u run=%u"
#define RUN_ARGS(r) (r)->key.flow, (r)->key.index, (r)->run

/* Concurrent polls of one endpoint: one long poll and one immediate poll. */
#define GYP_POLLS_MAX 2

enum gyp_run_phase {
	GYP_RUN_UNSENT,    /* this leader has not sent its start */
	GYP_RUN_STARTING,  /* a start is under way or was lost */
	GYP_RUN_CONFIRMED, /* the endpoint confirmed it */
	GYP_RUN_INHERITED  /* an earlier leader may have sent its start */
};

enum gyp_run_stop {
	GYP_STOP_NONE,
	GYP_STOP_DUE,
	GYP_STOP_SENT,
	GYP_STOP_CONFIRMED /* the endpoint refuses to start this run */
};

struct gyp_fleet_run {
	struct gyp_flow_key key;
	struct gyp_flow *flow;
	uint32_t run;
	uint32_t row;
	uint64_t opened_at;           /* when this leader got to know it */
	uint64_t unconfirmed_line_at; /* its last line of that kind, or 0 */
	enum gyp_run_phase phase;
	enum gyp_run_stop stop;
	uint64_t confirmed_at;
	uint64_t stopped_at; /* when the stop was confirmed */
	bool stop_refused;   /* its endpoint answered a stop and did nothing */
	uint64_t retry_at;   /* when to send the call again; 0: not due */
	uint32_t starts_sent;
	uint64_t start_sent_at; /* the latest of them */
	const char *refused;    /* why its start was refused, or NULL */
	bool start_pending;     /* a start is under way */
	bool start_answered;    /* one was carried out, by its answer */
	bool confirm_proposed;  /* CmdFlowConfirmed is proposed */
	bool repeat_proposed;   /* CmdFlowRepeat is proposed */
	bool end_proposed;      /* its end is proposed, not committed */
	uint64_t end_proposed_at;
	char *ticket;
	char *checkpoint; /* the latest that was listed, or NULL */
	struct gyp_run_view view;
};

/* An end that a poll listed and that is not acknowledged yet. */
struct gyp_unacked_end {
	uint64_t number;
	struct gyp_flow_key key;
	uint32_t run;
	bool late_done; /* listed as done, but its run is not open */
};

/* The leader's state of one endpoint. */
struct gyp_fleet_endpoint {
	uint32_t row;
	uint64_t incarnation_start_ms;
	uint64_t added_at;      /* this leader found it in the tables */
	uint64_t busy_at;       /* it got a run while it had none */
	bool contacted;         /* it has answered this leader */
	uint64_t clock_ms;      /* reading of its clock, a lower bound */
	uint64_t clock_at;      /* leader's time of that reading; 0: none */
	uint64_t clock_seen_at; /* leader's time of the latest reading */
	uint64_t until_ms;      /* latest end of its lease, by its clock */
	uint64_t sent_until_ms; /* latest end sent to this incarnation */
	uint64_t late_grant_ms; /* lease that late calls may add, in ms */
	bool fenced; /* it refuses all calls that could add a late lease */
	uint64_t last_seen_at;     /* last answer or heartbeat; 0: none */
	uint64_t answered_at;      /* last answer; 0: none */
	uint64_t unlisted_last_at; /* when the latest of these was requested */
	uint64_t unlisted_prev_at; /* when the one before was requested */
	uint64_t unlisted_at;      /* first list that lacks it was requested */
	uint64_t listed_at;        /* last list of this incarnation; 0: none */
	uint64_t replaced_at;      /* another endpoint was found at its
				      address, so it has ended; 0: never */
	uint64_t leaving_at;       /* its shutdown was announced, to this
				      leader or an earlier one: it ends soon,
				      unless that was of an earlier
				      incarnation; 0: never */
	uint64_t restarted_at;     /* latest restart was noticed; 0: never */
	uint64_t restart_call;     /* id of the first call after the restart */
	uint32_t restarts;         /* that this leader noticed */
	uint64_t removal_proposed_at; /* the latest; 0: never */
	uint64_t bound_cmd;    /* latest command about its bound; 0: none */
	bool was_bounded;      /* when it was last swept */
	uint32_t unlisted;     /* lists in a row that lack it while silent */
	uint32_t failures;     /* consecutive calls without an answer */
	bool poll_failed;      /* the latest poll was not carried out */
	uint32_t polls;        /* polls under way */
	bool long_poll;        /* one of these is a long poll */
	bool poll_due;         /* an immediate poll is due */
	bool dirty;            /* its row is in the fleet's dirty queue */
	bool list_wanted;      /* a list is wanted for it */
	uint64_t next_poll_at; /* no poll before this time */
	uint64_t acked;        /* ends up to this number are committed */
	uint64_t acked_sent;
	GArray *unacked; /* struct gyp_unacked_end, ordered by number */
	GPtrArray *runs; /* struct gyp_fleet_run */
};

/* A call that has no answer yet. */
struct gyp_fleet_pending {
	uint64_t id;
	enum gyp_fleet_call_kind kind;
	uint32_t row;
	struct gyp_flow_key key;
	uint32_t run;
	uint64_t sent_at;
	uint64_t give_up_at;
	bool long_poll;
	char *address; /* that it was sent to */
};

struct gyp_refused_ticket {
	struct gyp_flow_key key;
	uint32_t row;
};

struct gyp_fleet {
	struct gyp_fleet_config cfg;
	struct gyp_flows *flows;
	uint64_t fence;
	uint64_t leader_since;
	uint64_t now;
	uint64_t next_sweep_at;
	uint64_t next_expire_at;
	uint64_t stale_until; /* answers may be old, see current_ack() */
	uint64_t resumed_at;  /* latest pause of this process; 0: none */
	uint64_t next_call;
	bool bounds_begun;               /* their term is proposed */
	uint64_t bounds_proposed;        /* commands about bounds */
	uint64_t bounds_applied_before;  /* those before this leader */
	struct gyp_inventory *inventory; /* NULL without a provider */
	GPtrArray *endpoints;            /* struct gyp_fleet_endpoint by row */
	GHashTable *runs;                /* key -> struct gyp_fleet_run */
	GHashTable *pending;             /* id -> struct gyp_fleet_pending */
	GQueue to_send; /* struct gyp_flow_key of runs to send a call for */
	GQueue dirty;   /* rows of endpoints that the next tick sweeps */
	GQueue calls;   /* struct gyp_fleet_call */
	GQueue cmds;    /* Gyp__Cmd */
	GQueue refused_tickets; /* struct gyp_refused_ticket */
};

/*
 * A call without an answer may be carried out this much later, in ms: the
 * endpoint may take 12 s, and the process that makes the call may have held it
 * before.
 */
#define LATE_CALL_MAX_MS 15000

/*
 * Starts of a run are sent for at most this long after its proposal, in ms: no
 * later leader need wait for one longer than LATE_CALL_MAX_MS after that.
 */
#define START_WINDOW_MS 5000

/*
 * An answer to a call that was sent less than this long after the notice of a
 * shutdown may be from before it, in ms.
 */
#define DEPARTURE_GRACE_MS 100

/* Shortest time in which an endpoint ends and is restarted, in ms. */
#define RESTART_MIN_MS 50

/* A run that is not confirmed for this long gets a line in the log, in ms. */
#define GYP_RUN_LATE_MS 1000

/* fleet.c */
/* Increments a counter without labels. */
void gyp_fleet_count(const struct gyp_fleet *, const char *name);
/* Advances the time; a jump shows that this process was paused. */
void gyp_fleet_advance(struct gyp_fleet *, uint64_t now);
struct gyp_fleet_endpoint *gyp_fleet_get_endpoint(
    struct gyp_fleet *, uint32_t row);
struct gyp_fleet_run *gyp_fleet_find_run(
    const struct gyp_fleet *, const struct gyp_flow_key *);
/* True if it is confirmed and neither stopped nor over. */
bool gyp_fleet_run_is_running(const struct gyp_fleet_run *);
/* Queues the endpoint, so that the next tick sweeps it. */
void gyp_fleet_mark_dirty(struct gyp_fleet *, struct gyp_fleet_endpoint *);
/*
 * Has the run stopped; if its start was never sent, proposes its end as lost
 * instead.
 */
void gyp_fleet_request_stop(struct gyp_fleet *, struct gyp_fleet_run *);
/* Queues the run: the next tick sends the call that is due for it. */
void gyp_fleet_enqueue_run(struct gyp_fleet *, const struct gyp_fleet_run *);
/*
 * Proposes the end of the run, unless one was proposed already. With NULL as
 * the checkpoint, the next run resumes from the latest one that was listed.
 */
void gyp_fleet_propose_end(struct gyp_fleet *, struct gyp_fleet_run *,
    Gyp__FlowHow, const char *checkpoint);

/* fleet_endpoint.c */
/* Time since it was last seen, or else since this leader knows it, in ms. */
uint64_t gyp_fleet_endpoint_silence_ms(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/* Id of the endpoint, for events. */
const char *gyp_fleet_endpoint_name(const struct gyp_fleet *, uint32_t row);
/*
 * True if the tables hold that the present incarnation announced its shutdown,
 * and it is known which one that is.
 */
bool gyp_fleet_endpoint_end_is_recorded(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/* Cell time since then, in ms; 0 if it is not recorded. */
uint64_t gyp_fleet_endpoint_recorded_ms_ago(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/* Records a reading of the endpoint's clock. */
void gyp_fleet_endpoint_update_clock(
    struct gyp_fleet *, struct gyp_fleet_endpoint *, uint64_t clock_ms);
/*
 * True if the clock in an answer to a call that was sent then shows that a
 * later incarnation carried it out: the present one's clock was beyond that.
 */
bool gyp_fleet_endpoint_clock_restarted(
    const struct gyp_fleet_endpoint *, uint64_t sent_at, uint64_t clock_ms);
/* Handles a new incarnation, which holds no runs of the one before. */
void gyp_fleet_endpoint_restarted(struct gyp_fleet *,
    struct gyp_fleet_endpoint *, uint64_t incarnation_start_ms);
/* Fence number of the next call to the endpoint. */
uint64_t gyp_fleet_endpoint_fence(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/*
 * Records that the present incarnation carried out that call of this leader
 * when its clock showed clock_ms. It refuses the calls with lower fence numbers
 * from then on, so they grant no lease beyond one whole lease from that time.
 */
void gyp_fleet_endpoint_fenced(struct gyp_fleet *, struct gyp_fleet_endpoint *,
    uint64_t call, uint64_t clock_ms);
/* Time from which nothing can run on the endpoint under its lease. */
uint64_t gyp_fleet_endpoint_lease_expiry(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/*
 * True when its polls fail and its lease is over, so that a start would be
 * refused as late.
 */
bool gyp_fleet_endpoint_lacks_lease(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);

/* fleet_bound.c */
/*
 * Begins the term in the tables, once, when these have endpoints: the bounds
 * there stay valid.
 */
void gyp_fleet_bounds_begin(struct gyp_fleet *);
/*
 * True if the lease of the endpoint must not be extended: the tables bound it,
 * or that or its withdrawal is proposed.
 */
bool gyp_fleet_endpoint_is_bounded(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/* When the lease is over by the bound in the tables; UINT64_MAX: none. */
uint64_t gyp_fleet_endpoint_bound(
    const struct gyp_fleet *, const struct gyp_fleet_endpoint *);
/* Bounds the lease of a silent endpoint; withdraws it when it answers. */
void gyp_fleet_bound_sweep(struct gyp_fleet *, struct gyp_fleet_endpoint *);

/* fleet_calls.c */
void gyp_fleet_send_start(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_send_stop(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_send_poll(
    struct gyp_fleet *, struct gyp_fleet_endpoint *, uint32_t wait_ms);

/* Handles calls whose answer is long overdue as lost. */
void gyp_fleet_expire_calls(struct gyp_fleet *);

/* fleet_confirmed.c */
/*
 * The incarnation that has the run, by the tables; 0 if it is not known. No
 * start of the run is under way then, so no other one will ever have it.
 */
uint64_t gyp_fleet_run_incarnation(const struct gyp_fleet_run *);
/*
 * Handles a list that has the run, made by that incarnation (0: unknown) for a
 * poll that was sent at sent_at: proposes to record the incarnation, if no
 * start of the run can be carried out later.
 */
void gyp_fleet_confirm_incarnation(struct gyp_fleet *, struct gyp_fleet_run *,
    uint64_t incarnation_start_ms, uint64_t sent_at);
/*
 * Has the endpoint of a lasting run list it soon: until then only this leader
 * knows that the run began.
 */
void gyp_fleet_list_soon(struct gyp_fleet *, const struct gyp_fleet_run *);
/* True if by the tables no start of the run but the first one was sent. */
bool gyp_fleet_run_is_sent_once(const struct gyp_fleet_run *);
/*
 * True if a start of the run may be sent now. Before a further start the tables
 * must say that there may be more than one; if they don't yet, that is
 * proposed.
 */
bool gyp_fleet_may_send_start(struct gyp_fleet *, struct gyp_fleet_run *);
/* Ends the runs of incarnations before the present one. */
void gyp_fleet_end_runs_of_earlier(
    struct gyp_fleet *, struct gyp_fleet_endpoint *);

/* fleet_departure.c */
/*
 * Notes the shutdown that the endpoint announced to an earlier leader. If that
 * did not confirm it, the endpoint may go on for a while.
 */
void gyp_fleet_note_recorded_end(
    struct gyp_fleet *, struct gyp_fleet_endpoint *);
/*
 * Polls an endpoint that announced its shutdown. Whether it has ended, that
 * does not tell: without an acknowledgement it goes on for a while. Its runs
 * end as those of a silent endpoint do. It is removed when it has no open run.
 */
void gyp_fleet_check_leaving(struct gyp_fleet *, struct gyp_fleet_endpoint *);
/* Ends all runs of an endpoint whose address another one has. */
void gyp_fleet_end_replaced_runs(
    struct gyp_fleet *, struct gyp_fleet_endpoint *);
/* Has the endpoint removed from the tables, unless that is under way. */
void gyp_fleet_propose_removal(struct gyp_fleet *, struct gyp_fleet_endpoint *);

/* fleet_diagnosis.c */
/*
 * Logs runs that have not run for GYP_RUN_LATE_MS, and again each second, at
 * most 20 a call.
 */
void gyp_fleet_log_unconfirmed(struct gyp_fleet *);

/* fleet_inventory.c */
/* Notes that this process was paused: the silence meanwhile says nothing. */
void gyp_fleet_inventory_paused(struct gyp_fleet *, uint64_t paused_ms);
/* Requests a list if one is due. */
void gyp_fleet_inventory_sweep(struct gyp_fleet *);
/* True if the provider lists the endpoint no longer, so that it has ended. */
bool gyp_fleet_endpoint_is_delisted(const struct gyp_fleet_endpoint *);
/* The endpoint was heard from: it exists. */
void gyp_fleet_endpoint_heard(struct gyp_fleet_endpoint *);
/* Cell time, which stands still between two leaders. */
uint64_t gyp_fleet_cell_time(const struct gyp_fleet *);
/* Time since the run was proposed, in ms. */
uint64_t gyp_fleet_run_age_ms(
    const struct gyp_fleet *, const struct gyp_fleet_run *);
/*
 * True if no start of the run was carried out after the endpoint ended, which
 * was at most ago_ms ago, and none will be, by an unknown incarnation either.
 * Always false without a provider: then earlier leaders may be of a version
 * that sends starts for longer than START_WINDOW_MS.
 */
bool gyp_fleet_starts_are_past(
    const struct gyp_fleet *, const struct gyp_fleet_run *, uint64_t ago_ms);
/* Ends the runs of a delisted endpoint that nothing can bring back. */
void gyp_fleet_end_delisted_runs(
    struct gyp_fleet *, struct gyp_fleet_endpoint *);

/* fleet_poll.c */
/* Records that the endpoint confirmed the run. */
void gyp_fleet_confirm_run(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_apply_lists(struct gyp_fleet *, struct gyp_fleet_endpoint *,
    const struct gyp_fleet_pending *, const struct gyp_fleet_answer *);
/* Advances endpoint->acked over the ends that are committed. */
void gyp_fleet_endpoint_advance_acked(
    struct gyp_fleet *, struct gyp_fleet_endpoint *);

#endif
