#ifndef GYP_FLEET_H
#define GYP_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "event.h"
#include "flow.h"

/*
 * NAME
 *	fleet - what a leader knows of endpoints, and the calls it makes there
 *
 * DESCRIPTION
 *	Turns committed runs into calls at endpoints and what endpoints tell
 *	into commands for the log. Time and answers come in as arguments; calls
 *	and commands go out through queues. Only a leader has a fleet, and it
 *	begins with nothing but the tables.
 *
 *	All runs on an endpoint share one lease, which every call extends. It
 *	is a time of the endpoint's own clock. That clock is learnt from
 *	answers and may be slow by one in GYP_CLOCK_SLOW; so a lease of which
 *	the end U was sent is over when (U - C) / (1 - 1/GYP_CLOCK_SLOW) ms
 *	have passed since the clock was read as C. A leader that never heard an
 *	endpoint counts from the moment it began to lead.
 *
 *	A look at an endpoint lists what runs there and what ended. A run that
 *	should be listed and is not is stopped by its number, which refuses it
 *	should its start arrive yet; only when that was confirmed and a later
 *	look does not list it either, it counts as lost. An end is acknowledged
 *	to the endpoint after it is committed.
 */

/* The endpoints' clocks are at most one part in this slow. */
#define GYP_CLOCK_SLOW 50

enum gyp_fleet_call_kind {
	GYP_FLEET_START,
	GYP_FLEET_STOP,
	GYP_FLEET_POLL,
	GYP_FLEET_SET_SPEED
};

/* A call to be made at an endpoint. */
struct gyp_fleet_call {
	uint64_t id;
	enum gyp_fleet_call_kind kind;
	uint32_t row; /* of the endpoint */
	char *address;
	char *endpoint; /* id of the endpoint that is meant */
	uint64_t fence;
	uint32_t timeout_ms;
	uint64_t give_up_at; /* of no use any more from then on */
	/* All but looks: */
	uint64_t flow;
	uint32_t time, step, index;
	uint32_t run;
	/* Starts and looks: end of the lease, endpoint's clock; 0 for none. */
	uint64_t until_ms;
	/* Starts: */
	char *payload;
	char *checkpoint; /* or NULL */
	char *ticket;     /* or NULL */
	/* Looks: */
	uint64_t acked; /* ends up to this number are committed */
	uint32_t wait_ms;
	/* Paces: */
	uint32_t percent;
};

enum gyp_fleet_call_result {
	GYP_FLEET_OK,
	GYP_FLEET_REFUSED,        /* it answered that it did nothing */
	GYP_FLEET_WRONG_ENDPOINT, /* another endpoint has this address */
	GYP_FLEET_LOST,        /* no whole answer: it may be carried out yet */
	GYP_FLEET_CARRIER_LOST /* likewise, and the endpoint is not to blame */
};

enum gyp_fleet_reason {
	GYP_REASON_NONE,
	GYP_REASON_FENCE,
	GYP_REASON_OLD_RUN,
	GYP_REASON_LATE,
	GYP_REASON_CAPACITY,
	GYP_REASON_TICKET,
	GYP_REASON_BUSY, /* the endpoint is not well */
	GYP_REASON_OTHER
};

struct gyp_listed_run {
	uint64_t flow;
	uint32_t time, step, index;
	uint32_t run;
	char checkpoint[64];
	uint32_t percent; /* of the work done, or of its pace: see the user */
	uint32_t load;    /* tail in ms of a task that serves, else cpu_milli */
};

struct gyp_listed_end {
	uint64_t number;
	struct gyp_listed_run run;
	Gyp__FlowHow how;
};

/* The answer to a call. */
struct gyp_fleet_answer {
	uint64_t call;
	enum gyp_fleet_call_result end;
	enum gyp_fleet_reason reason;
	bool has_clock;
	uint64_t clock_ms;
	uint64_t born_ms; /* 0 when it was not told */
	bool listed;      /* the lists were told */
	GArray *running;  /* struct gyp_listed_run */
	GArray *ended;    /* struct gyp_listed_end */
};

struct gyp_fleet_config {
	uint32_t lease_ms;         /* longest lease that endpoints grant */
	uint32_t stop_grace_ms;    /* longest time that a stop takes */
	struct gyp_events *events; /* or NULL */
};

/* What the leader learnt of a run from the last look. */
struct gyp_run_view {
	bool confirmed;
	bool start_observed;   /* this leader saw it begin */
	uint64_t confirmed_at; /* when it was confirmed */
	uint64_t progress_at;  /* when its progress last changed */
	uint64_t listed_at;    /* last look that listed it */
	uint32_t percent;
	uint32_t load;
};

/* Called for each run that the endpoints confirmed. */
typedef void (*gyp_fleet_run_fn)(void *arg, struct gyp_flow *, uint32_t task,
    uint32_t row, const struct gyp_run_view *);

struct gyp_fleet;

struct gyp_fleet *gyp_fleet_new(const struct gyp_fleet_config *,
    struct gyp_flows *, uint64_t now, uint64_t fence);
void gyp_fleet_free(struct gyp_fleet *);

/* Called by whoever listens to the tables. */
void gyp_fleet_run_started(
    struct gyp_fleet *, struct gyp_flow *, uint32_t task, const char *ticket);
void gyp_fleet_run_ended(struct gyp_fleet *, struct gyp_flow *, uint32_t task);
void gyp_fleet_run_unwanted(
    struct gyp_fleet *, struct gyp_flow *, uint32_t task);

/* An endpoint's heartbeat told its clock. */
void gyp_fleet_heartbeat(struct gyp_fleet *, uint64_t now, uint32_t row,
    uint64_t born_ms, uint64_t clock_ms);

/* The endpoint said itself that it ends now. */
void gyp_fleet_departed(struct gyp_fleet *, uint64_t now, uint32_t row);

void gyp_fleet_handle_answer(
    struct gyp_fleet *, uint64_t now, const struct gyp_fleet_answer *);

/* Does what is due: calls and commands. */
void gyp_fleet_tick(struct gyp_fleet *, uint64_t now);

/* The caller owns what it pops. */
struct gyp_fleet_call *gyp_fleet_pop_call(struct gyp_fleet *);
void gyp_fleet_call_free(struct gyp_fleet_call *);
Gyp__Cmd *gyp_fleet_pop_cmd(struct gyp_fleet *);

/* True when a new run may be placed there. */
bool gyp_fleet_usable(const struct gyp_fleet *, uint32_t row);

/* NULL when the run is not known. */
const struct gyp_run_view *gyp_fleet_run_view(
    const struct gyp_fleet *, uint64_t flow, uint32_t task);

/* fn must not end runs. */
void gyp_fleet_each_run(const struct gyp_fleet *, gyp_fleet_run_fn, void *arg);

/* Stops a run, so that another may begin. */
void gyp_fleet_stop_run(struct gyp_fleet *, uint64_t flow, uint32_t task);

/* The endpoint refused the ticket of a start: true once for each. */
bool gyp_fleet_pop_bad_ticket(
    struct gyp_fleet *, uint64_t *flow, uint32_t *task, uint32_t *row);

#endif
