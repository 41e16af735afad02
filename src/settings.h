#ifndef GYP_SETTINGS_H
#define GYP_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

/*
 * NAME
 *	settings - reads and checks settings files in INI format
 *
 * DESCRIPTION
 *	A program lists its settings in a table; any other key in the file is
 *	an error. Each error names file, line and what was expected.
 */

/* Exit code of a program whose settings are refused (EX_CONFIG). */
#define GYP_EXIT_SETTINGS 78

enum gyp_setting_type {
	GYP_SETTING_TEXT,      /* char * */
	GYP_SETTING_ADDRESS,   /* char *, "ip:port" */
	GYP_SETTING_ADDRESSES, /* char **, NULL-terminated, comma-separated */
	GYP_SETTING_DIR,       /* char *, writable; created if missing */
	GYP_SETTING_MS,        /* uint32_t, written with "ms", "s" or "m" */
	GYP_SETTING_BYTES,     /* uint64_t, written with "KiB", "MiB", "GiB" */
	GYP_SETTING_COUNT,     /* uint32_t, written without a unit */
	GYP_SETTING_FLAG       /* bool, "yes" or "no" */
};

struct gyp_setting {
	const char *section;
	const char *key;
	void *dest;   /* unchanged if the key is not in the file */
	uint64_t min; /* of MS, BYTES and COUNT */
	uint64_t max; /* 0 for the largest value that dest can hold */
	enum gyp_setting_type type;
	bool required;
};

/* Two settings of a table, MS or COUNT, the first of which must be smaller. */
struct gyp_setting_constraint {
	const uint32_t *smaller;
	const uint32_t *larger;
};

struct gyp_settings {
	const struct gyp_setting *table;
	size_t n;
	const struct gyp_setting_constraint *constraints;
	size_t n_constraints;
	/* If false, only checks that missing directories could be created. */
	bool create_dirs;
};

enum gyp_status gyp_settings_load(
    const char *path, const struct gyp_settings *, struct gyp_error *);

/* Sets the port of all addresses in a list; 0 leaves them unchanged. */
void gyp_settings_replace_port(char **addresses, uint32_t port);

/* Frees the values of the table. */
void gyp_settings_clear(const struct gyp_setting *table, size_t n);

#endif
