#ifndef GYP_CTL_H
#define GYP_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/*
 * NAME
 *	ctl - declarations shared by gypctl and gyp-burn
 *
 * DESCRIPTION
 *	gypctl.c	command line
 *	gypctl_rules.c	rules: check, diff, apply, history, show
 *	gypctl_views.c	commands about jobs, endpoints, workspaces,
 *			members and previews
 *	ctl_http.c	requests to any of the entries
 *	ctl_table.c	aligned columns
 */

enum gyp_ctl_exit {
	GYP_CTL_OK = 0,
	GYP_CTL_REFUSED = 1,      /* or another version was accepted first */
	GYP_CTL_DISAGREE = 2,     /* lines of the rules disagree */
	GYP_CTL_NOT_IN_FORCE = 3, /* accepted, but not yet everywhere */
	GYP_CTL_USAGE = 64,
	GYP_CTL_NO_INPUT = 66, /* the file can't be read */
	GYP_CTL_UNAVAILABLE = 69
};

struct gyp_ctl {
	char **entries; /* "ip:port", NULL-terminated */
	char *format;
	bool json; /* the format is json */
	int timeout_s;
	gint64 base;    /* version that a file is based on, -1 for none */
	gint64 version; /* 0 for the newest */
	char *request;
	char *author;
	int wait_s;
	gboolean undo;
};

/* ---- ctl_http.c ---------------------------------------------------------- */

struct gyp_ctl_request {
	const char *method;
	char *path;
	const char *const *headers; /* NULL-terminated, or NULL */
	const char *body;           /* NULL for none */
};

/*
 * Sends the request, which must be idempotent, to one entry after another until
 * one answers with a status other than 503 (no contact to the cell). Returns
 * the body of the last request, which the caller frees. If no entry answers,
 * prints an error and returns NULL.
 */
char *gyp_ctl_send(
    const struct gyp_ctl *, const struct gyp_ctl_request *, unsigned *status);

/* Returns the exit code for an HTTP status; prints the error of a failure. */
int gyp_ctl_exit_code(unsigned status, const char *body);

/*
 * Sends the request and parses the response. Sets the exit code. Returns NULL
 * if nothing is left to print: after an error, or when the format is json and
 * the response was printed as received.
 */
json_t *gyp_ctl_request_json(
    const struct gyp_ctl *, const struct gyp_ctl_request *, int *code);

/* ---- ctl_table.c --------------------------------------------------------- */

struct gyp_ctl_table;

/* Makes a table from its header cells, which end with NULL. */
struct gyp_ctl_table *gyp_ctl_table_new(const char *const *header);

/* Adds a row with as many cells as the header; takes over the strings. */
void gyp_ctl_table_add(struct gyp_ctl_table *, ...) __attribute__((sentinel));

/* Sorts the rows by their cells, the first column first. */
void gyp_ctl_table_sort(struct gyp_ctl_table *);

/* Prints and frees the table. */
void gyp_ctl_table_print(struct gyp_ctl_table *);

/* Returns a string field, or "" if it is missing; owned by the object. */
const char *gyp_ctl_text(const json_t *, const char *field);

/* Returns an integer, boolean or string field as new text. */
char *gyp_ctl_value(const json_t *, const char *field);

/* ---- gypctl_rules.c ------------------------------------------------------ */

/*
 * Returns the text of a file, of standard input for "-". Prints an error and
 * returns NULL on failure.
 */
char *gyp_ctl_read_text(const char *path, size_t *len);

/* ---- Commands ------------------------------------------------------------ */

int gyp_ctl_rules_check(struct gyp_ctl *, char **args);
int gyp_ctl_rules_diff(struct gyp_ctl *, char **args);
int gyp_ctl_rules_apply(struct gyp_ctl *, char **args);
int gyp_ctl_rules_history(struct gyp_ctl *, char **args);
int gyp_ctl_rules_show(struct gyp_ctl *, char **args);
int gyp_ctl_rules_status(struct gyp_ctl *, char **args);
int gyp_ctl_status(struct gyp_ctl *, char **args);
int gyp_ctl_endpoints(struct gyp_ctl *, char **args);
int gyp_ctl_workspaces(struct gyp_ctl *, char **args);
int gyp_ctl_preview(struct gyp_ctl *, char **args);
int gyp_ctl_drain(struct gyp_ctl *, char **args);
int gyp_ctl_members(struct gyp_ctl *, char **args);
int gyp_ctl_members_remove(struct gyp_ctl *, char **args);
int gyp_ctl_job(struct gyp_ctl *, char **args);
int gyp_ctl_explain(struct gyp_ctl *, char **args);
int gyp_ctl_cancel(struct gyp_ctl *, char **args);

#endif
