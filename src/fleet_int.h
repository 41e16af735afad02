#ifndef GYP_FLEET_INT_H
#define GYP_FLEET_INT_H

#include "fleet.h"

/*
 * NAME
 *	fleet_int - what the files of the fleet share
 *
 * DESCRIPTION
 *	fleet.c		runs, leases and what is due
 *	fleet_calls.c	calls and their answers
 *	fleet_peer.c	clocks, leases and lives of endpoints
 *	fleet_poll.c	lists of runs and ends
 */

/* How events name a run. */
#define RUN_ID      "flow=%016" G_GINT64_MODIFIER "x task=%u run=%u"
#define RUN_ARGS(r) (r)->key.flow, (r)->key.index, (r)->run

/* Looks under way at one endpoint: one that waits and one that does not. */
#define GYP_POLLS_MAX 2

enum gyp_run_phase {
	GYP_RUN_UNSENT,    /* its start was never sent by this leader */
	GYP_RUN_STARTING,  /* a start is under way or was lost */
	GYP_RUN_CONFIRMED, /* the endpoint confirmed it */
	GYP_RUN_INHERITED  /* an earlier leader may have sent its start */
};

enum gyp_run_stop {
	GYP_STOP_NONE,
	GYP_STOP_DUE,
	GYP_STOP_SENT,
	GYP_STOP_CONFIRMED /* the endpoint will not begin this run any more */
};

struct gyp_fleet_run {
	struct gyp_flow_item key;
	struct gyp_flow *flow;
	uint32_t run;
	uint32_t row;
	enum gyp_run_phase phase;
	enum gyp_run_stop stop;
	uint64_t confirmed_at;
	uint64_t stopped_at; /* when the stop was confirmed */
	uint64_t retry_at;   /* 0: nothing to repeat */
	uint32_t starts_sent;
	bool start_pending; /* a start is under way */
	bool end_proposed;  /* its end is proposed */
	char *ticket;
	struct gyp_run_view view;
};

/* An end that was listed and is not acknowledged yet. */
struct gyp_unacked_end {
	uint64_t number;
	struct gyp_flow_item key;
	uint32_t run;
	bool late_done; /* done, of a run that was given up */
};

struct gyp_peer {
	uint32_t row;
	uint64_t born_ms;
	bool contacted;         /* it answered this leader */
	uint64_t clock_ms;      /* its clock was at least this */
	uint64_t clock_at;      /* at this time of ours; 0 when not known */
	uint64_t until_ms;      /* latest end of its lease, its clock */
	uint64_t late_grant_ms; /* see gyp_peer_restarted() */
	uint64_t last_seen_at;  /* last answer or heartbeat */
	uint64_t listed_at;     /* last list, of this life; 0 for none */
	uint64_t departed_at;   /* it said that it ends; 0 if not */
	uint64_t restarted_at;  /* its new life was noticed; 0 if not */
	uint64_t restart_call;  /* the first call after that */
	bool removal_proposed;
	uint32_t failures;     /* calls without an answer in a row */
	uint32_t polls;        /* under way */
	bool long_poll;        /* one of them waits for an end */
	bool poll_due;         /* a look without waiting is due */
	bool dirty;            /* is in the fleet's queue of that name */
	uint64_t next_poll_at; /* no look before */
	uint64_t acked;
	uint64_t acked_sent;
	GArray *unacked; /* struct gyp_unacked_end, by number */
	GPtrArray *runs; /* struct gyp_fleet_run */
};

/* A call under way. */
struct gyp_fleet_pending {
	uint64_t id;
	enum gyp_fleet_call_kind kind;
	uint32_t row;
	struct gyp_flow_item key;
	uint32_t run;
	uint64_t sent_at;
	uint64_t give_up_at;
	bool long_poll;
};

struct gyp_bad_ticket {
	struct gyp_flow_item key;
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
	uint64_t stale_until; /* answers may be older than they look before */
	uint64_t next_call;
	GPtrArray *peers;    /* struct gyp_peer by row */
	GHashTable *runs;    /* key -> struct gyp_fleet_run */
	GHashTable *pending; /* id -> struct gyp_fleet_pending */
	GQueue to_send;      /* struct gyp_flow_item: something to send */
	GQueue dirty;        /* rows of endpoints to look after at once */
	GQueue calls;        /* struct gyp_fleet_call */
	GQueue cmds;         /* Gyp__Cmd */
	GQueue bad_tickets;  /* struct gyp_bad_ticket */
};

/*
 * A call without an answer may be carried out so much later, in ms: 12 s by
 * the endpoint, and what it may have lain with the process that made it.
 */
#define LATE_CALL_MAX_MS 15000

/* Shortest time in which an endpoint dies and is born again, in ms. */
#define RESTART_MIN_MS 50

/* fleet.c */
/* Takes the time; notices a pause of this process. */
void gyp_fleet_advance(struct gyp_fleet *, uint64_t now);
struct gyp_peer *gyp_fleet_peer(struct gyp_fleet *, uint32_t row);
struct gyp_fleet_run *gyp_fleet_find_run(
    const struct gyp_fleet *, const struct gyp_flow_item *);
/* Something happened to the endpoint that the next tick must look after. */
void gyp_fleet_mark_dirty(struct gyp_fleet *, struct gyp_peer *);
void gyp_fleet_request_stop(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_enqueue_run(struct gyp_fleet *, const struct gyp_fleet_run *);
void gyp_fleet_propose_end(struct gyp_fleet *, struct gyp_fleet_run *,
    Gyp__FlowHow, const char *checkpoint);

/* fleet_peer.c */
/* Time since it was last heard, or since this leader began, in ms. */
uint64_t gyp_peer_silence_ms(const struct gyp_fleet *, const struct gyp_peer *);
/* Id of an endpoint, for lines. */
const char *gyp_peer_name(const struct gyp_fleet *, uint32_t row);
/* Takes a reading of the endpoint's clock. */
void gyp_peer_update_clock(
    struct gyp_fleet *, struct gyp_peer *, uint64_t clock_ms);
/* Its process began anew: it holds nothing of before. */
void gyp_peer_restarted(
    struct gyp_fleet *, struct gyp_peer *, uint64_t born_ms);
/* When everything that may run there is certainly over. */
uint64_t gyp_peer_lease_expiry(
    const struct gyp_fleet *, const struct gyp_peer *);

/* fleet_calls.c */
void gyp_fleet_send_start(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_send_stop(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_send_poll(
    struct gyp_fleet *, struct gyp_peer *, uint32_t wait_ms);

/* Takes calls as lost whose answer is long overdue. */
void gyp_fleet_expire_calls(struct gyp_fleet *);

/* fleet_poll.c */
/* The endpoint answered that it has the run. */
void gyp_fleet_confirm_run(struct gyp_fleet *, struct gyp_fleet_run *);
void gyp_fleet_apply_lists(struct gyp_fleet *, struct gyp_peer *,
    const struct gyp_fleet_pending *, const struct gyp_fleet_answer *);
/* Advances the acknowledged number over ends that are committed. */
void gyp_peer_advance_acked(struct gyp_fleet *, struct gyp_peer *);

#endif
