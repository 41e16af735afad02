#ifndef GYP_STATUS_H
#define GYP_STATUS_H

/*
 * NAME
 *	status - result codes with the last message
 *
 * DESCRIPTION
 *	Functions that can fail take a struct gyp_error, which may be NULL.
 *	On failure the code and a one-line message are stored there. Layers
 *	turn an error from below into one of their own codes and keep its
 *	text at the end of their message.
 */

/* Longest message, in bytes, with the terminating NUL. */
#define GYP_ERROR_MAX 256

enum gyp_status {
	GYP_OK = 0,
	GYP_BAD_INPUT,   /* the caller's data is malformed */
	GYP_TOO_LARGE,   /* over a stated limit */
	GYP_NOT_FOUND,   /* no such job, endpoint, file or key */
	GYP_CONFLICT,    /* a compare-and-set lost */
	GYP_UNAVAILABLE, /* no leader, no connection, queue full */
	GYP_IO,          /* the operating system refused */
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

/* Returns the name of a code, such as "conflict". */
const char *gyp_status_name(enum gyp_status code);

#endif
