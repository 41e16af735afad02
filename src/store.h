#ifndef GYP_STORE_H
#define GYP_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "record.h"
#include "status.h"

struct ev_loop;

/*
 * NAME
 *	store - a replica's records on its disk
 *
 * DESCRIPTION
 *	One data folder holds:
 *
 *	identity	the replica's id; made once, never copied
 *	snapshot	the newest snapshot
 *	log.N		segments of records, N rising
 *
 *	A writer thread takes records from a queue, writes what has gathered
 *	as one batch, syncs it and reports the last sequence number to the
 *	loop's thread. A failed write or sync is final: the data counts as
 *	lost, nothing is retried, and the failure is reported instead.
 */

struct gyp_store;
struct gyp_store_owner;

struct gyp_store_owner_ops {
	void (*synced)(struct gyp_store_owner *, uint64_t seq);
	void (*failed)(struct gyp_store_owner *, const struct gyp_error *);
};

struct gyp_store_owner {
	const struct gyp_store_owner_ops *ops;
};

typedef void (*gyp_record_fn)(void *arg, const struct gyp_record *);

/* Opens or creates the folder's identity. NULL on failure. */
struct gyp_store *gyp_store_open(const char *folder, struct gyp_error *);
void gyp_store_close(struct gyp_store *);

/* The replica id, and whether the folder was new. */
uint64_t gyp_store_id(const struct gyp_store *);
bool gyp_store_is_new(const struct gyp_store *);

/* Hands over all stored records in order. A torn tail is cut. */
enum gyp_status gyp_store_replay(
    struct gyp_store *, gyp_record_fn, void *arg, struct gyp_error *);

/* Starts the writer; call after gyp_store_replay(). */
void gyp_store_start(
    struct gyp_store *, struct ev_loop *, struct gyp_store_owner *);

/* Queues a record; sequence numbers count from 1. */
void gyp_store_append(struct gyp_store *, const struct gyp_record *);

#endif
