#ifndef GYP_DATA_DIR_H
#define GYP_DATA_DIR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "file.h"
#include "status.h"
#include "wal.h"

/*
 * NAME
 *	data_dir - the files of a data directory
 *
 * DESCRIPTION
 *	Reads and writes the lock, identity, snapshot and segments that store.h
 *	lists; store.c decides when.
 */

/*
 * Size of a snapshot file's header, in bytes: magic (8), checksum of the rest
 * (4), number of the first segment needed (8).
 */
#define GYP_SNAPSHOT_HEADER_BYTES 20

/* Creates the directory if needed and locks it until *fd is closed. */
enum gyp_status gyp_data_dir_lock(
    struct gyp_files *, const char *dir, int *fd, struct gyp_error *);

/*
 * Loads the identity into *id. A new directory gets the first segment and an
 * identity: *id as given, or a random id if that is 0.
 */
enum gyp_status gyp_data_dir_open_identity(struct gyp_files *, const char *dir,
    uint64_t *id, bool *is_new, struct gyp_error *);

/* Returns the path of a segment, to be freed with g_free(). */
char *gyp_data_dir_segment_path(const char *dir, uint64_t number);

/*
 * Lists the numbers of the segments from `first` on as uint64_t, ascending;
 * GYP_CORRUPT if one is missing. Removes earlier segments and unfinished files.
 */
enum gyp_status gyp_data_dir_list_segments(struct gyp_files *, const char *dir,
    uint64_t first, GArray *numbers, struct gyp_error *);

/* Writes and removes a file of that size; GYP_FULL if it does not fit. */
enum gyp_status gyp_data_dir_probe_space(
    struct gyp_files *, const char *dir, size_t bytes, struct gyp_error *);

/* Reads a segment and decodes its header. */
enum gyp_status gyp_data_dir_read_segment(const char *dir, uint64_t number,
    struct gyp_buf *, struct gyp_wal_header *, struct gyp_error *);

/*
 * Reads the body of the snapshot, and the number of the first segment needed
 * with it; NULL and 1 when there is no snapshot.
 */
enum gyp_status gyp_data_dir_read_snapshot(
    const char *dir, GBytes **body, uint64_t *first, struct gyp_error *);

/* Replaces the snapshot; `first` is the first segment needed with it. */
enum gyp_status gyp_data_dir_write_snapshot(struct gyp_files *, const char *dir,
    GBytes *body, uint64_t first, struct gyp_error *);

#endif
