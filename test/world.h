#ifndef WORLD_H
#define WORLD_H

#include <glib.h>

#include "entry.h"
#include "msg.h"
#include "replica.h"

/*
 * NAME
 *	world - one replica and its entries in one process, for tests
 *
 * DESCRIPTION
 *	Time moves only by world_run(). Frames arrive at once, unless a link is
 *	cut. Exchanges with endpoints wait in a list until a test answers them.
 */

#define WORLD_ENTRIES 2
#define WORLD_START   1000000

struct world {
	uint64_t now;
	uint64_t synced;
	struct gyp_replica *replica;
	struct gyp_entry_core *entries[WORLD_ENTRIES];
	uint64_t ids[WORLD_ENTRIES];
	bool cut_up[WORLD_ENTRIES];   /* frames to the replica are lost */
	bool cut_down[WORLD_ENTRIES]; /* frames from it are lost */
	GPtrArray *exchanges[WORLD_ENTRIES]; /* struct gyp_exchange */
	GPtrArray *answers[WORLD_ENTRIES];   /* struct gyp_answer */
	uint64_t frames; /* passed between entries and the replica */
	uint64_t bytes;  /* of these frames */
	uint64_t orders; /* in them */
};

struct world *world_new(void);
void world_free(struct world *);

/* Lets the time pass in steps of the tick. */
void world_run(struct world *, uint32_t ms);

/* A new process in place of the entry; what it held is gone. */
void world_restart_entry(struct world *, int entry);

uint64_t world_call(
    struct world *, int entry, const Gyp__Call *, uint32_t timeout_ms);

/* Submits a job of one class for the team "t". */
uint64_t world_submit(struct world *, int entry, const char *key,
    Gyp__Kind kind, uint32_t tasks, bool idempotent, uint32_t timeout_ms);

/* Announces an endpoint and returns its handle; sends its heartbeat. */
uint64_t world_announce(
    struct world *, const char *name, uint32_t slots, uint64_t incarnation);
void world_queue_beat(struct world *, uint64_t endpoint, uint64_t incarnation,
    uint32_t list, const Gyp__Attempt *running, uint32_t n);

/* The same, and waits for the answer. */
void world_beat(struct world *, uint64_t endpoint, uint64_t incarnation,
    uint32_t list, const Gyp__Attempt *running, uint32_t n);

/* The last answer at the entry, or NULL; and the number of exchanges. */
const struct gyp_answer *world_answer(const struct world *, int entry);
guint world_count(const struct world *, int entry, Gyp__OrderType);

/* Answers all exchanges of a type that wait at the entry, and forgets them. */
void world_settle(
    struct world *, int entry, Gyp__OrderType, enum gyp_fate, const char *body);

#endif
