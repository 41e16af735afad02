#ifndef GYP_STORE_H
#define GYP_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "file.h"
#include "record.h"
#include "status.h"

struct ev_loop;

/*
 * NAME
 *	store - durable storage of a replica's records
 *
 * DESCRIPTION
 *	A data directory holds:
 *
 *	lock		locked while a process uses the directory
 *	identity	the replica's id; created once, never copied
 *	snapshot	the newest snapshot
 *	log.N		segments of records, N ascending, see wal.h
 *
 *	A writer thread takes records from a queue, writes all that are queued
 *	as one batch, syncs it and reports the last sequence number to the
 *	loop's thread. A failed write or sync is final: the data counts as
 *	lost, nothing is retried, the failure is reported, and later records
 *	are dropped without being reported as synced.
 *
 *	When there is no space, the writer reports this, waits and tries again.
 *	It writes no more to the current segment, whose end may be torn and
 *	whose unsynced bytes may be lost: all records that are not known to be
 *	synced go into the next segment, which voids them in the current one.
 *	Nothing is reported as synced meanwhile. The wait ends when every
 *	queued record is durable.
 *
 *	At a restart, valid records past the synced length are kept, and are
 *	written and synced again before they are relied upon. The first
 *	invalid one ends the log. Damage anywhere else is refused with
 *	GYP_CORRUPT and a message that names the file or directory and, for
 *	damage in a segment, the byte offset: a bad byte below the synced
 *	length, a segment that is short or missing, a bad snapshot or identity,
 *	a log without its identity or an identity without its log.
 *	The remedy is then an empty directory, with which the replica joins
 *	under a new id.
 */

struct gyp_store;
struct gyp_store_owner;

struct gyp_store_owner_ops {
	/* All records up to seq are durable. */
	void (*synced)(struct gyp_store_owner *, uint64_t seq);
	/* At most once; nothing is reported after it. */
	void (*failed)(struct gyp_store_owner *, const struct gyp_error *);
	/* There is no space; records after the last sync are not durable. */
	void (*full)(struct gyp_store_owner *, const struct gyp_error *);
	/* There is space again; reported once after each full(). */
	void (*recovered)(struct gyp_store_owner *);
};

struct gyp_store_owner {
	const struct gyp_store_owner_ops *ops;
};

typedef void (*gyp_record_fn)(void *arg, const struct gyp_record *);

/*
 * Locks the directory and loads or creates its identity. The files must
 * outlive the store. Returns NULL on failure, with GYP_CONFLICT when another
 * process holds the lock.
 */
struct gyp_store *gyp_store_open(
    const char *dir, struct gyp_files *files, struct gyp_error *);

/* The same; a new directory gets initial_id, or a random id if that is 0. */
struct gyp_store *gyp_store_open_with_id(const char *dir,
    struct gyp_files *files, uint64_t initial_id, struct gyp_error *);
void gyp_store_close(struct gyp_store *);

/* The replica id, and whether the directory was new. */
uint64_t gyp_store_id(const struct gyp_store *);
bool gyp_store_is_new(const struct gyp_store *);

/*
 * Passes all stored records in order to fn, then makes them durable. If there
 * is no space for that, it succeeds, gyp_store_is_full() is true, and the
 * records must not be relied upon until recovered() is reported.
 */
enum gyp_status gyp_store_replay(
    struct gyp_store *, gyp_record_fn, void *arg, struct gyp_error *);
bool gyp_store_is_full(const struct gyp_store *);

/*
 * Sets how long to wait before writing again when there was no space, and how
 * many bytes must then fit beside the records. Call before gyp_store_start().
 */
void gyp_store_set_retry(
    struct gyp_store *, uint32_t interval_ms, size_t spare_bytes);

/* Starts the writer thread; call after gyp_store_replay(). */
void gyp_store_start(
    struct gyp_store *, struct ev_loop *, struct gyp_store_owner *);

/* Queues a record for writing; sequence numbers count from 1. */
void gyp_store_append(struct gyp_store *, const struct gyp_record *);

#endif
