#ifndef GYP_SETTINGS_H
#define GYP_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

/*
 * NAME
 *	settings - checked INI files
 *
 * DESCRIPTION
 *	A program lists its settings in a table; the file may hold these and
 *	no others. Each error names file, line and what was expected.
 */

/* Exit code of a program whose settings are refused (EX_CONFIG). */
#define GYP_EXIT_SETTINGS 78

enum gyp_setting_type {
	GYP_SETTING_TEXT,      /* char * */
	GYP_SETTING_ADDRESS,   /* char *, "ip:port" */
	GYP_SETTING_ADDRESSES, /* char **, NULL-terminated, comma-separated */
	GYP_SETTING_DIR,       /* char *, made if missing, must be writable */
	GYP_SETTING_MS,        /* uint32_t, written with "ms", "s" or "m" */
	GYP_SETTING_BYTES,     /* uint64_t, written with "KiB", "MiB", "GiB" */
	GYP_SETTING_COUNT,     /* uint32_t, plain */
	GYP_SETTING_FLAG       /* bool, "yes" or "no" */
};

struct gyp_setting {
	const char *section;
	const char *key;
	void *dest;   /* keeps its value when the key is not in the file */
	uint64_t min; /* of MS, BYTES and COUNT, when max is not 0 */
	uint64_t max;
	enum gyp_setting_type type;
	bool required;
};

/* Two times or counts of a table, the first of which has to be smaller. */
struct gyp_setting_constraint {
	const uint32_t *smaller;
	const uint32_t *larger;
};

struct gyp_settings {
	const struct gyp_setting *table;
	size_t n;
	const struct gyp_setting_constraint *constraints;
	size_t n_constraints;
	/* Without it a missing folder has to be one that could be made. */
	bool create_dirs;
};

enum gyp_status gyp_settings_load(
    const char *path, const struct gyp_settings *, struct gyp_error *);

/* Gives all addresses of a list this port; 0 leaves them as they are. */
void gyp_settings_replace_port(char **addresses, uint32_t port);

/* Releases the values of the table. */
void gyp_settings_clear(const struct gyp_setting *table, size_t n);

#endif
