#ifndef GYP_STATUS_H
#define GYP_STATUS_H

/*
 * NAME
 *	status - result codes and error messages
 *
 * DESCRIPTION
 *	Functions that can fail take a struct gyp_error, which may be NULL.
 *	On failure the code and a one-line message are stored there. A layer
 *	maps an error of a lower layer to one of its own codes and keeps the
 *	lower message at the end of its own.
 */

/* Maximum size of a message, in bytes, with the terminating NUL. */
#define GYP_ERROR_MAX 256

enum gyp_status {
	GYP_OK = 0,
	GYP_BAD_INPUT,   /* the caller's data is malformed */
	GYP_TOO_LARGE,   /* over a stated limit */
	GYP_NOT_FOUND,   /* no such job, endpoint, file or key */
	GYP_CONFLICT,    /* lost against a concurrent change or a lock */
	GYP_UNAVAILABLE, /* no leader, no connection, queue full */
	GYP_IO,          /* a system call failed */
	GYP_CORRUPT,     /* stored data fails its checksum */
	GYP_FULL         /* no space left on the disk */
};

struct gyp_error {
	enum gyp_status code;
	char message[GYP_ERROR_MAX];
};

/* Stores code and the formatted message in err and returns code. */
enum gyp_status gyp_fail(struct gyp_error *err, enum gyp_status code,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/* Returns the name of a code, for example "conflict". */
const char *gyp_status_name(enum gyp_status code);

#endif
