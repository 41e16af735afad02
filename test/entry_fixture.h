#ifndef ENTRY_FIXTURE_H
#define ENTRY_FIXTURE_H

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

#define FIXTURE_ENTRIES  2
#define FIXTURE_START_MS 1000000

struct entry_fixture {
	uint64_t now;
	uint64_t synced;
	struct gyp_replica *replica;
	struct gyp_entry_core *entries[FIXTURE_ENTRIES];
	uint64_t ids[FIXTURE_ENTRIES];
	bool cut_up[FIXTURE_ENTRIES];   /* frames to the replica are lost */
	bool cut_down[FIXTURE_ENTRIES]; /* frames from it are lost */
	GPtrArray *exchanges[FIXTURE_ENTRIES]; /* struct gyp_exchange */
	GPtrArray *answers[FIXTURE_ENTRIES];   /* struct gyp_answer */
	uint64_t frames; /* passed between entries and the replica */
	uint64_t bytes;  /* of these frames */
	uint64_t orders; /* in them */
};

struct entry_fixture *entry_fixture_new(void);
void entry_fixture_free(struct entry_fixture *);

/* Lets the time pass in steps of the tick. */
void entry_fixture_run(struct entry_fixture *, uint32_t ms);

/* A new process in place of the entry; what it held is gone. */
void entry_fixture_restart_entry(struct entry_fixture *, int entry);

uint64_t entry_fixture_call(
    struct entry_fixture *, int entry, const Gyp__Call *, uint32_t timeout_ms);

/* Submits a job of one class for the team "t". */
uint64_t entry_fixture_submit(struct entry_fixture *, int entry,
    const char *key, Gyp__Kind kind, uint32_t tasks, bool idempotent,
    uint32_t timeout_ms);

/* Announces an endpoint and returns its handle; sends its heartbeat. */
uint64_t entry_fixture_announce(struct entry_fixture *, const char *name,
    uint32_t slots, uint64_t incarnation);
void entry_fixture_queue_heartbeat(struct entry_fixture *, uint64_t endpoint,
    uint64_t incarnation, uint32_t list, const Gyp__Attempt *running,
    uint32_t n);

/* The same, and waits for the answer. */
void entry_fixture_heartbeat(struct entry_fixture *, uint64_t endpoint,
    uint64_t incarnation, uint32_t list, const Gyp__Attempt *running,
    uint32_t n);

/* The last answer at the entry, or NULL; and the number of exchanges. */
const struct gyp_answer *entry_fixture_last_answer(
    const struct entry_fixture *, int entry);
guint entry_fixture_count_orders(
    const struct entry_fixture *, int entry, Gyp__OrderType);

/* Answers all exchanges of a type that wait at the entry, and forgets them. */
void entry_fixture_answer_orders(struct entry_fixture *, int entry,
    Gyp__OrderType, enum gyp_attempt_state, const char *body);

#endif
