#ifndef ENTRY_FIXTURE_H
#define ENTRY_FIXTURE_H

#include <glib.h>

#include "entry.h"
#include "msg.h"
#include "replica.h"

/*
 * NAME
 *	entry_fixture - one replica and its entries in one process, for tests
 *
 * DESCRIPTION
 *	Time advances only in entry_fixture_run(). Frames are delivered at once
 *	unless the link is cut. Exchanges with endpoints are kept in a list
 *	until the test answers them.
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
	uint64_t frames; /* between entries and the replica */
	uint64_t bytes;  /* of these frames */
	uint64_t orders; /* orders in these frames */
};

struct entry_fixture *entry_fixture_new(void);
void entry_fixture_free(struct entry_fixture *);

/* Advances the time in steps of GYP_TICK_MS. */
void entry_fixture_run(struct entry_fixture *, uint32_t ms);

/* Replaces the entry by a new process with empty tables. */
void entry_fixture_restart_entry(struct entry_fixture *, int entry);

uint64_t entry_fixture_call(
    struct entry_fixture *, int entry, const Gyp__Call *, uint32_t timeout_ms);

/* Submits a job of class "c" for team "t". */
uint64_t entry_fixture_submit(struct entry_fixture *, int entry,
    const char *key, Gyp__Kind kind, uint32_t tasks, bool idempotent,
    uint32_t timeout_ms);

/*
 * Announces an endpoint and sends its first heartbeat. Returns its handle, or 0
 * if the announcement was not accepted.
 */
uint64_t entry_fixture_announce(struct entry_fixture *, const char *name,
    uint32_t slots, uint64_t incarnation);

/*
 * Queues a heartbeat without advancing the time. list is the number of the list
 * of running attempts. If running is NULL, the heartbeat reports that this list
 * is unchanged or, if list is 0, an empty list.
 */
void entry_fixture_queue_heartbeat(struct entry_fixture *, uint64_t endpoint,
    uint64_t incarnation, uint32_t list, const Gyp__Attempt *running,
    uint32_t n);

/* Sends a heartbeat and runs until it is answered. */
void entry_fixture_heartbeat(struct entry_fixture *, uint64_t endpoint,
    uint64_t incarnation, uint32_t list, const Gyp__Attempt *running,
    uint32_t n);

/* Returns the last answer at the entry, or NULL. */
const struct gyp_answer *entry_fixture_last_answer(
    const struct entry_fixture *, int entry);

/* Counts the waiting exchanges of a type at the entry. */
guint entry_fixture_count_orders(
    const struct entry_fixture *, int entry, Gyp__OrderType);

/* Answers all waiting exchanges of a type at the entry and removes them. */
void entry_fixture_answer_orders(struct entry_fixture *, int entry,
    Gyp__OrderType, enum gyp_attempt_state, const char *body);

#endif
