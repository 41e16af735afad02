#ifndef GYP_FILE_H
#define GYP_FILE_H

#include <sys/types.h>

#include <stdint.h>

#include "buf.h"
#include "status.h"

/*
 * NAME
 *	file - the file operations that durable data rests on
 *
 * DESCRIPTION
 *	The operations go through a table of functions, so that tests can make
 *	each of them fail. They return as the system calls of their names do
 *	and set errno. The helpers below turn that into a status: GYP_FULL
 *	when there is no space, GYP_IO for everything else. Nothing is retried
 *	after an error; a write that was merely short or interrupted goes on.
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

/* The operating system's own files. */
struct gyp_files *gyp_files_system(void);

/* Stores the status of errno with "what path: reason"; returns it. */
enum gyp_status gyp_file_fail(
    struct gyp_error *, const char *operation, const char *path);

enum gyp_status gyp_file_write(struct gyp_files *, int fd, const char *path,
    struct gyp_slice, struct gyp_error *);

enum gyp_status gyp_file_sync(
    struct gyp_files *, int fd, const char *path, struct gyp_error *);

/* Makes creations, renames and removals in a folder durable. */
enum gyp_status gyp_file_sync_dir(
    struct gyp_files *, const char *dir, struct gyp_error *);

/* Writes beside, syncs, renames and syncs the folder. */
enum gyp_status gyp_file_replace(struct gyp_files *, const char *dir,
    const char *name, struct gyp_slice, struct gyp_error *);

/* Reads a whole file; GYP_NOT_FOUND when there is none. */
enum gyp_status gyp_file_read(
    const char *path, struct gyp_buf *, struct gyp_error *);

#endif
