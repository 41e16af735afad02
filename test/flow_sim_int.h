#ifndef FLOW_SIM_INT_H
#define FLOW_SIM_INT_H

#include "flow_sim.h"

/*
 * NAME
 *	flow_sim_int - internals shared by the files of the simulation
 *
 * DESCRIPTION
 *	flow_sim.c		endpoints, messages and faults
 *	flow_sim_access.c	access to the state, and its output
 *	flow_sim_check.c	invariants of the actual runs
 *	flow_sim_departure.c	endpoints that drain and leave as planned
 *	flow_sim_lasting.c	faults and checks of runs with lasting steps
 *	flow_sim_provider.c	the provider's list of endpoints
 */

#define FLOW_SIM_CPU_MILLI 10000

struct run {
	uint64_t flow;
	uint32_t task;
	uint32_t run;
	uint64_t ends_at;       /* 0 while its gang is incomplete */
	uint64_t gang_deadline; /* gives up waiting for its gang */
	bool fails;
};

struct end {
	uint64_t number;
	struct run run;
	Gyp__FlowHow how;
	bool lease_lapsed; /* before this end was acknowledged */
};

struct endpoint {
	char id[8];
	uint64_t incarnation_start_ms;
	uint64_t clock_zero_at;   /* simulated time at which its clock is 0 */
	double rate;              /* of its clock against simulated time */
	uint64_t up_at;           /* it is down before this time */
	uint64_t previous_end_at; /* end of the previous incarnation */
	uint64_t disconnected_until; /* simulated time */
	uint64_t fence;
	uint64_t lease_end; /* by its clock */
	uint64_t next_end;
	GArray *runs;             /* struct run */
	GArray *ends;             /* struct end */
	GHashTable *highest_runs; /* task key -> highest run ended or stopped */
	uint32_t generation; /* number of endpoints before it in this place */
	/* Only in runs with departures; 0: not at all. */
	uint64_t drained_at;   /* it reports that it drains since then */
	uint64_t announces_at; /* it announces its shutdown */
	uint64_t leaves_at;    /* it ends for good and is replaced */
	/* Only in runs with lasting steps: */
	bool keeps_address;   /* its address is that of the one before */
	uint64_t wrong_until; /* another answers at its address until then */
	uint64_t fails_until; /* it fails all runs until then */
	uint64_t replace_at;  /* ends for good and is replaced; 0: never */
};

/* The latest start of a task that an endpoint carried out. */
struct started {
	uint32_t run;
	uint64_t incarnation_start_ms;
};

/* A call or an answer in transit. */
struct message {
	uint64_t at;
	uint64_t sent_at;
	uint64_t incarnation_start_ms;   /* incarnation of the endpoint */
	struct gyp_fleet_call *call;     /* to the endpoint, or NULL */
	struct gyp_fleet_answer *answer; /* from the endpoint, or NULL */
	/* Receiver of the call or sender of the answer. */
	const struct endpoint *endpoint;
};

struct flow_sim_lasting;
struct flow_sim_departures;
struct flow_sim_provider;

struct flow_sim {
	struct gyp_flows *flows;
	GRand *rand;
	bool faults;
	uint64_t now;
	uint64_t fault_at;
	uint32_t n_endpoints;
	struct endpoint endpoints[FLOW_SIM_LASTING_ENDPOINTS];
	struct flow_sim_lasting *lasting;       /* NULL in other runs */
	struct flow_sim_departures *departures; /* NULL in other runs */
	struct flow_sim_provider *provider;
	GPtrArray *messages;       /* struct message */
	GHashTable *pending_calls; /* call id -> time at which it times out */
	GHashTable *done;          /* set of task keys: acknowledged as done */
	GHashTable *failed;        /* task key -> failures acknowledged */
	GHashTable *cancelled;     /* flow id -> time */
	GHashTable *started;       /* task key -> struct started, owned */
	uint64_t confirmed;        /* runs that were confirmed */
	uint64_t starts;
	uint32_t longest_run_ms; /* of half of the runs; 0: as the others */
	uint64_t sent_at;        /* send time of the call being carried out */
};

static inline gpointer
task_key(uint64_t flow, uint32_t task)
{
	return GSIZE_TO_POINTER((gsize)(flow * 1000 + task + 1));
}

static inline bool
is_up(const struct flow_sim *s, const struct endpoint *e)
{
	return s->now >= e->up_at;
}

static inline uint32_t
lookup_uint(GHashTable *table, gpointer key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(table, key));
}

static inline uint64_t
clock_of(const struct endpoint *e, uint64_t now)
{
	return (uint64_t)((double)(now - e->clock_zero_at) * e->rate);
}

/* flow_sim.c */
void flow_sim_restart(struct flow_sim *, struct endpoint *, uint64_t down_ms);

/* Raises the number of endpoints to FLOW_SIM_LASTING_ENDPOINTS. */
void flow_sim_add_endpoints(struct flow_sim *);

/* flow_sim_lasting.c; the functions require s->lasting. */
void flow_sim_lasting_free(struct flow_sim *);
/* Ends the bursts of faults. */
void flow_sim_lasting_end_faults(struct flow_sim *);
/*
 * Restarts the endpoint while a start is on its way to it, now and then in runs
 * with chains of terms, so that the next incarnation carries it out. Returns
 * how long it is down, in ms, or 0.
 */
uint64_t flow_sim_restart_at_start(struct flow_sim *, struct endpoint *);
/* Injects the faults that are due. */
void flow_sim_lasting_faults(struct flow_sim *);
/* Records a disturbance, which ends the calm time. */
void flow_sim_lasting_disturbed(struct flow_sim *);
/* Sets the end of a run that is not of a gang. */
void flow_sim_lasting_set_end(struct flow_sim *, const struct endpoint *,
    const struct gyp_flow *, struct run *);
/* True if another endpoint answers at the address of the one with that id. */
bool flow_sim_lasting_is_wrong(const struct flow_sim *, const char *id);

/* flow_sim_departure.c; the functions require s->departures. */
void flow_sim_departures_free(struct flow_sim *);
/* Endpoints begin to drain, announce their shutdown and leave. */
void flow_sim_departures_tick(struct flow_sim *);

/* flow_sim_provider.c */
struct flow_sim_provider *flow_sim_provider_new(uint32_t seed);
void flow_sim_provider_free(struct flow_sim_provider *);
/* Publishes the list when that is due, and passes on answers. */
void flow_sim_provider_tick(struct flow_sim *, struct gyp_flow_scheduler *);

/* flow_sim_check.c */
/* Aborts the program if the start of a run violates an invariant. */
void flow_sim_check_start(struct flow_sim *, const struct endpoint *,
    const struct gyp_flow *, uint32_t task, uint32_t cpu_milli);

#endif
