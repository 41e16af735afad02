#ifndef GYP_FILE_H
#define GYP_FILE_H

#include <sys/types.h>

#include <stdint.h>

#include "buf.h"
#include "status.h"

/*
 * NAME
 *	file - file operations for durable data
 *
 * DESCRIPTION
 *	All operations but gyp_file_read() go through a table of functions, so
 *	that tests can make each of them fail. These return the same values as
 *	the system calls that they replace and set errno. The helpers below
 *	convert that to a status: GYP_FULL when there is no space, GYP_IO for
 *	everything else. Nothing is retried after an error; a short or
 *	interrupted write is continued.
 */

struct gyp_files;

struct gyp_file_ops {
	int (*open)(struct gyp_files *, const char *path, int flags);
	ssize_t (*write)(struct gyp_files *, int fd, const void *, size_t);
	ssize_t (*pwrite)(
	    struct gyp_files *, int fd, const void *, size_t, off_t);
	int (*sync)(struct gyp_files *, int fd);     /* fsync */
	int (*datasync)(struct gyp_files *, int fd); /* fdatasync */
	int (*rename)(struct gyp_files *, const char *from, const char *to);
	int (*unlink)(struct gyp_files *, const char *path);
};

struct gyp_files {
	const struct gyp_file_ops *ops;
};

/* Returns the operations that make the system calls. */
struct gyp_files *gyp_files_system(void);

/*
 * Stores the status for errno and the message "operation path: reason".
 * Returns the status.
 */
enum gyp_status gyp_file_fail(
    struct gyp_error *, const char *operation, const char *path);

/* Writes the whole slice. */
enum gyp_status gyp_file_write(struct gyp_files *, int fd, const char *path,
    struct gyp_slice, struct gyp_error *);

enum gyp_status gyp_file_sync(
    struct gyp_files *, int fd, const char *path, struct gyp_error *);

/* Makes creations, renames and removals in a directory durable. */
enum gyp_status gyp_file_sync_dir(
    struct gyp_files *, const char *dir, struct gyp_error *);

/* Writes and syncs a file; removes its earlier content. */
enum gyp_status gyp_file_create(
    struct gyp_files *, const char *path, struct gyp_slice, struct gyp_error *);

/*
 * Replaces a file atomically and durably: writes and syncs a .tmp file, renames
 * it and syncs the directory.
 */
enum gyp_status gyp_file_replace(struct gyp_files *, const char *dir,
    const char *name, struct gyp_slice, struct gyp_error *);

/* Appends a whole file to the buffer; GYP_NOT_FOUND when there is none. */
enum gyp_status gyp_file_read(
    const char *path, struct gyp_buf *, struct gyp_error *);

#endif
