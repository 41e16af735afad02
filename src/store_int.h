#ifndef GYP_STORE_INT_H
#define GYP_STORE_INT_H

#include <ev.h>
#include <glib.h>

#include "buf.h"
#include "data_dir.h"
#include "store.h"

/*
 * NAME
 *	store_int - declarations shared by the files of the store
 *
 * DESCRIPTION
 *	store.c		opening, segments, writer thread
 *	store_read.c	reads the snapshot and the segments after a restart
 */

struct segment {
	uint64_t number;
	uint64_t last_index; /* highest log index in it */
};

struct gyp_store {
	char *dir;
	struct gyp_files *files;
	int lock_fd;
	uint64_t id;
	bool is_new;
	GArray *segments; /* struct segment, the current one last */
	int fd;           /* of the current segment */
	char *path;
	struct gyp_wal_header header;
	struct gyp_record vote; /* newest vote record */
	/* struct gyp_record, read or written but not known to be durable */
	GArray *unsynced;
	uint64_t last_seq; /* sequence number of the last record taken */
	gint failed;       /* atomic */
	bool full;         /* used by the writer thread once it runs */
	uint32_t retry_ms;
	size_t spare_bytes;
	GMutex lock; /* of closing */
	GCond close_requested;
	bool closing;

	struct ev_loop *loop;
	ev_async results_ready;
	struct gyp_store_owner *owner;
	GThread *thread;
	GAsyncQueue *requests; /* struct write_request */
	GAsyncQueue *results;  /* struct write_result */
};

/* Updates the segment's highest log index, or the newest vote. */
void gyp_store_track_record(
    struct gyp_store *, struct segment *, const struct gyp_record *);

/*
 * Passes all stored records in order to fn; collects those that are not known
 * to be synced.
 */
enum gyp_status gyp_store_read(
    struct gyp_store *, gyp_record_fn, void *arg, struct gyp_error *);

#endif
