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
 *	folder - the files of a data folder
 *
 * DESCRIPTION
 *	Lock, identity, snapshot and segments as store.h lists them; store.c
 *	decides when to write what.
 */

/* First bytes of a snapshot file: magic, checksum, first segment needed. */
#define GYP_SNAPSHOT_HEADER_BYTES 20

/* Locks the folder; the lock goes with *fd. */
enum gyp_status gyp_data_dir_lock(
    struct gyp_files *, const char *dir, int *fd, struct gyp_error *);

/*
 * Loads the identity, or makes it together with the first segment: the one
 * in *id, or a random one when that is 0.
 */
enum gyp_status gyp_data_dir_open_identity(struct gyp_files *, const char *dir,
    uint64_t *id, bool *is_new, struct gyp_error *);

/* Path of a segment, to be freed. */
char *gyp_data_dir_segment_path(const char *dir, uint64_t number);

/*
 * Lists the numbers of the segments from `first` on as uint64_t, in order and
 * without a gap. Removes earlier ones and unfinished files.
 */
enum gyp_status gyp_data_dir_list_segments(struct gyp_files *, const char *dir,
    uint64_t first, GArray *numbers, struct gyp_error *);

/* Loads a segment with its header. */
enum gyp_status gyp_data_dir_read_segment(const char *dir, uint64_t number,
    struct gyp_buf *, struct gyp_wal_header *, struct gyp_error *);

/* The body of the snapshot, or NULL when there is none; *first is set. */
enum gyp_status gyp_data_dir_read_snapshot(
    const char *dir, GBytes **body, uint64_t *first, struct gyp_error *);

enum gyp_status gyp_data_dir_write_snapshot(struct gyp_files *, const char *dir,
    GBytes *body, uint64_t first, struct gyp_error *);

#endif
