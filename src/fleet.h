#ifndef GYP_FLEET_H
#define GYP_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "counters.h"
#include "event.h"
#include "flow.h"
#include "inventory.h"

/*
 * NAME
 *	fleet - the leader's state of endpoints and its calls to them
 *
 * DESCRIPTION
 *	Turns committed runs into calls at endpoints, and the answers of
 *	endpoints into commands for the log. Time and answers are passed in as
 *	arguments; calls and commands are returned through queues. Only a
 *	leader has a fleet, and it starts from the replicated tables alone.
 *
 *	All runs on an endpoint share one lease, which every start and poll
 *	extends. The end of the lease is a time of the endpoint's own clock.
 *	The leader reads that clock from answers and assumes that it may be
 *	slow by one part in GYP_CLOCK_SLOW. If U is the latest end that was
 *	sent and C the last reading of the clock, the lease is over
 *	(U - C) / (1 - 1/GYP_CLOCK_SLOW) ms after that reading. For an
 *	endpoint that has not answered yet, a leader counts a whole lease from
 *	the start of its term.
 *
 *	A call has a fence number; once an endpoint has carried out a call, it
 *	refuses those with lower numbers. The number is the leader's term, or,
 *	with fence_incarnations, the term and the count of restarts of this
 *	endpoint that the leader noticed. Then calls that were sent before a
 *	restart can extend no lease after the first poll that the new
 *	incarnation answers. Otherwise they are waited out.
 *
 *	A poll lists the runs on an endpoint and the runs that ended, the
 *	latter in parts if there are many; the next part is listed once this
 *	one is acknowledged. Only complete lists show that a run is missing. The
 *	leader then stops it by its number, so that the endpoint refuses a start
 *	of that number that arrives later. The run counts as lost only after the
 *	stop is confirmed and a later complete list does not have it either. An
 *	end is acknowledged to the endpoint once it is committed.
 *
 *	A leader sends one start of each run, and commits that there may be more
 *	before it sends another.
 *
 *	Once no start of a lasting run can be carried out any more, and a list
 *	shows which incarnation has the run, the leader records that in the
 *	tables. The run ends with this incarnation, under any leader: when a
 *	later one is seen, or the provider no longer lists the endpoint.
 *
 *	With cfg.inventory, the leader requests the provider's list of
 *	endpoints that exist while one with open runs is silent. An endpoint
 *	that two lists in a row lack has ended, and the runs that it had end
 *	before its lease is over, unless a start of theirs may still arrive.
 */

/* An endpoint's clock is slow by at most one part in this. */
#define GYP_CLOCK_SLOW 50

enum gyp_fleet_call_kind {
	GYP_FLEET_START,
	GYP_FLEET_STOP,
	GYP_FLEET_POLL,
	GYP_FLEET_SET_SPEED
};

/* A call to make at an endpoint. */
struct gyp_fleet_call {
	uint64_t id;
	enum gyp_fleet_call_kind kind;
	uint32_t row; /* of the endpoint in the table of hosts */
	char *address;
	char *endpoint; /* id that the endpoint must have */
	uint64_t fence;
	uint32_t timeout_ms;
	uint64_t give_up_at; /* the call is useless from this time on */
	/* All but polls: */
	uint64_t flow;
	uint32_t id_capitals; /* of the flow's id, as the caller wrote it */
	uint32_t repetition, step, index;
	uint32_t run;
	/* Starts and polls: end of the lease, endpoint's clock; 0: none. */
	uint64_t until_ms;
	/* Starts: */
	char *payload;
	char *checkpoint; /* or NULL */
	char *ticket;     /* or NULL */
	/* Polls: */
	uint64_t acked;   /* the endpoint may forget ends up to this number */
	uint32_t wait_ms; /* a long poll waits this long for an end */
	/* GYP_FLEET_SET_SPEED: */
	uint32_t percent;
};

enum gyp_fleet_call_result {
	GYP_FLEET_OK,
	GYP_FLEET_REFUSED, /* the endpoint answered that it did nothing */
	GYP_FLEET_WRONG_ENDPOINT, /* another endpoint answers at this address */
	GYP_FLEET_LOST, /* no complete answer; may still be carried out */
	GYP_FLEET_CARRIER_LOST /* as LOST, but no failure of the endpoint */
};

/*
 * Longest checkpoint, in bytes. A longer one is refused, never cut: a run
 * resumes from the exact text that its task's run made, or from none.
 */
#define GYP_CHECKPOINT_MAX (64 * 1024)

enum gyp_fleet_reason {
	GYP_REASON_NONE,
	GYP_REASON_FENCE,
	GYP_REASON_OLD_RUN,
	GYP_REASON_LATE,
	GYP_REASON_CAPACITY,
	GYP_REASON_TICKET,
	GYP_REASON_BUSY, /* overloaded: HTTP status 429 or 503 */
	GYP_REASON_OTHER,
	/* Of an answer that counts as lost: */
	GYP_REASON_UNREADABLE,
	GYP_REASON_TOO_LARGE
};

struct gyp_listed_run {
	uint64_t flow;
	uint32_t id_capitals; /* of the flow's id */
	uint32_t repetition, step, index;
	uint32_t run;
	char *checkpoint; /* owned by the list, NULL for none */
	uint32_t percent; /* of work done or of full speed, by kind of task */
	uint32_t load;    /* tail latency, ms, of a serving task; else CPU use
			     in thousandths of a processor */
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
	uint64_t incarnation_start_ms; /* 0 if not in the answer */
	bool listed;                   /* the answer has the two lists */
	uint32_t unreadable_rows;      /* of the lists; they are left out */
	uint32_t refused_checkpoints;  /* of rows that are listed without */
	/*
	 * No run has ended that is not listed. Otherwise the list of ends may
	 * be the first part of a longer one: it says nothing about runs after
	 * its last number.
	 */
	bool ends_complete;
	GArray *running; /* struct gyp_listed_run */
	GArray *ended;   /* struct gyp_listed_end */
};

/* Makes empty lists, which gyp_fleet_answer_clear() frees. */
void gyp_fleet_answer_init(struct gyp_fleet_answer *, uint64_t call);
void gyp_fleet_answer_clear(struct gyp_fleet_answer *);

struct gyp_fleet_config {
	uint32_t lease_ms;         /* longest lease that endpoints grant */
	uint32_t stop_grace_ms;    /* longest time that a stop takes */
	struct gyp_events *events; /* or NULL */
	/*
	 * Fence numbers tell apart the incarnations of an endpoint too, see
	 * above. All leaders of a cell must have it, or none.
	 */
	bool fence_incarnations;
	/* Cell time at the start of the term, see gyp_replica_cell_time(). */
	uint64_t cell_time_ms;
	/* The provider's list of endpoints can be requested. */
	bool inventory;
	/* Keeps to the bounds of leases in the tables, and records them. */
	bool lease_bounds;
	uint64_t previous_term; /* of the last log entry before the term */
	/* Only for the flow scheduler: */
	struct gyp_counters *counters; /* or NULL */
	bool learn_run_times; /* decisions use the forecast of the tables */
	/* Time since the latest command in the tables, at least, in ms. */
	uint64_t tables_age_ms;
};

/* State of a run according to the answers of its endpoint to this leader. */
struct gyp_run_view {
	bool confirmed;
	bool start_observed;   /* this leader sent the confirmed start */
	uint64_t confirmed_at; /* first confirmation to this leader */
	uint64_t progress_at;  /* last change of percent */
	uint64_t listed_at;    /* last poll that listed it */
	uint32_t percent;
	uint32_t load;
};

/* Called for each confirmed run that is neither stopped nor over. */
typedef void (*gyp_fleet_run_fn)(void *arg, struct gyp_flow *, uint32_t task,
    uint32_t row, const struct gyp_run_view *);

struct gyp_fleet;

struct gyp_fleet *gyp_fleet_new(const struct gyp_fleet_config *,
    struct gyp_flows *, uint64_t now, uint64_t fence);
void gyp_fleet_free(struct gyp_fleet *);

/* The listener of the flow tables reports committed changes through these. */
void gyp_fleet_run_started(
    struct gyp_fleet *, struct gyp_flow *, uint32_t task, const char *ticket);
void gyp_fleet_run_ended(struct gyp_fleet *, struct gyp_flow *, uint32_t task);
void gyp_fleet_run_unwanted(
    struct gyp_fleet *, struct gyp_flow *, uint32_t task);

/*
 * Records a heartbeat. incarnation_start_ms is the start of the incarnation,
 * clock_ms the endpoint's clock or 0 if unknown.
 */
void gyp_fleet_heartbeat(struct gyp_fleet *, uint64_t now, uint32_t row,
    uint64_t incarnation_start_ms, uint64_t clock_ms);

/*
 * An incarnation of the endpoint announced that it is shutting down.
 * incarnation_start_ms is its start, or 0 if it is not known. The announcement
 * of an earlier incarnation is ignored. Otherwise the endpoint gets no new run,
 * and the provider's list is requested as soon as a call to it is lost. None of
 * its runs ends by the announcement: the endpoint goes on for a while if it
 * gets no acknowledgement, and whether it got one is not known here. If it is
 * not known whose announcement it is, an answer to a later call shows that the
 * endpoint goes on for good. Returns the start of the incarnation that it is
 * about, to be recorded in the tables; 0 if that is an earlier one or not
 * known.
 */
uint64_t gyp_fleet_departed(struct gyp_fleet *, uint64_t now, uint32_t row,
    uint64_t incarnation_start_ms);

/* Handles the answer to a call, or the report that the call was lost. */
void gyp_fleet_handle_answer(
    struct gyp_fleet *, uint64_t now, const struct gyp_fleet_answer *);

/* Queues the calls and commands that are due. */
void gyp_fleet_tick(struct gyp_fleet *, uint64_t now);

/*
 * gyp_fleet_pop_call() and gyp_fleet_pop_cmd() return NULL when their queue is
 * empty; the caller owns the result.
 */
struct gyp_fleet_call *gyp_fleet_pop_call(struct gyp_fleet *);
void gyp_fleet_call_free(struct gyp_fleet_call *);
Gyp__Cmd *gyp_fleet_pop_cmd(struct gyp_fleet *);

/*
 * Pops the number of a request for the provider's list, to be answered through
 * gyp_fleet_handle_inventory(); false when there is none.
 */
bool gyp_fleet_pop_inventory_request(struct gyp_fleet *, uint64_t *request);
void gyp_fleet_handle_inventory(
    struct gyp_fleet *, uint64_t now, const struct gyp_inventory_answer *);

/* True when a new run may be placed on the endpoint. */
bool gyp_fleet_usable(const struct gyp_fleet *, uint32_t row);

/*
 * True if the endpoint of the row has been silent for silent_ms or longer, at
 * most since this leader knows it.
 */
bool gyp_fleet_is_silent(
    const struct gyp_fleet *, uint32_t row, uint64_t silent_ms);

/*
 * The same; *left_ms is then set to the time until its lease, and with it each
 * of its runs, is over unless it answers.
 */
bool gyp_fleet_lease_runs_out(const struct gyp_fleet *, uint32_t row,
    uint64_t silent_ms, uint64_t *left_ms);

/* Returns NULL when the task has no open run. */
const struct gyp_run_view *gyp_fleet_run_view(
    const struct gyp_fleet *, uint64_t flow, uint32_t task);

/* What a leader knows of an open run and its endpoint; for logs. */
struct gyp_run_diagnosis {
	const char *endpoint; /* valid until the next command */
	const char *phase;    /* unsent, starting, confirmed or inherited */
	const char *stop;     /* none, due, sent or confirmed */
	const char *call;     /* of this run: none, due or pending */
	const char *refused;  /* why its start was refused, or NULL */
	bool running;         /* confirmed, neither stopped nor over */
	bool began;           /* confirmed once, or of an earlier leader */
	bool end_proposed;    /* its end is proposed, not committed */
	uint64_t end_proposed_ms_ago; /* 0 if it is not */
	uint32_t starts_sent;
	uint64_t confirmed_at; /* first confirmation to this leader, or 0 */
	/* Of the endpoint: */
	uint64_t silent_ms; /* at most since this leader knows it */
	uint32_t failures;  /* consecutive calls without an answer */
	bool departed;      /* announced its shutdown, or was replaced */
	uint64_t lease_left_ms;
	int64_t restarted_ms_ago; /* -1 if this leader saw no restart */
};

/*
 * True if the endpoint has answered this leader and the clock of its present
 * incarnation was read. Until then gyp_fleet_usable() is false; for logs.
 */
bool gyp_fleet_is_contacted(const struct gyp_fleet *, uint32_t row);

/* False when the task has no open run. */
bool gyp_fleet_run_diagnosis(const struct gyp_fleet *, uint64_t flow,
    uint32_t task, struct gyp_run_diagnosis *);

/* fn must not end runs. */
void gyp_fleet_each_run(const struct gyp_fleet *, gyp_fleet_run_fn, void *arg);

/* Stops a run, so that the task can get another one. */
void gyp_fleet_stop_run(struct gyp_fleet *, uint64_t flow, uint32_t task);

/*
 * Pops the next start whose ticket the endpoint refused; false when there is
 * none.
 */
bool gyp_fleet_pop_refused_ticket(
    struct gyp_fleet *, uint64_t *flow, uint32_t *task, uint32_t *row);

#endif
