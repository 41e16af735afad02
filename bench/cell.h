#ifndef BENCH_CELL_H
#define BENCH_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "entry.h"
#include "replica.h"

/*
 * NAME
 *	cell - replicas and entries in one process, with cost accounting
 *
 * DESCRIPTION
 *	Runs the production cores and passes packed frames between them. A
 *	frame, a sync and an exchange with an endpoint each take one step of
 *	virtual time; nothing is lost. CPU time covers unpacking, the core's
 *	work and packing, but not sockets, files and HTTP.
 */

#define CELL_REPLICAS 3
#define CELL_ENTRIES  7

/* Virtual time of one step, in ms. */
#define CELL_STEP_MS 2

/* Resources used by one process. */
struct cell_cost {
	uint64_t cpu_ns;
	uint64_t frames_out;
	uint64_t bytes_out; /* frames with their 4-byte lengths */
	uint64_t bytes_in;
	uint64_t disk_bytes; /* data of log records to sync */
	uint64_t records;
};

struct cell;

struct cell *cell_new(void);
void cell_free(struct cell *);

/* Advances virtual time by ms. */
void cell_run(struct cell *, uint32_t ms);

uint64_t cell_now(const struct cell *);

/* Makes a call at an entry. Answers are counted and discarded. */
void cell_call(struct cell *, uint32_t entry, const Gyp__Call *);

const struct gyp_replica *cell_leader(const struct cell *);

/*
 * Free one process, to measure its memory. The cell must not run afterwards.
 */
void cell_free_entry(struct cell *);
void cell_free_replica(struct cell *, guint index);

/* Costs since the last reset, of the leader, a follower and an entry. */
struct cell_costs {
	struct cell_cost leader;
	struct cell_cost follower;
	struct cell_cost entry; /* mean of all entries */
	uint64_t starts;        /* start orders to endpoints */
	uint64_t answers;
};
void cell_reset_costs(struct cell *);
struct cell_costs cell_costs(const struct cell *);

#endif
