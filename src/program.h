#ifndef GYP_PROGRAM_H
#define GYP_PROGRAM_H

#include <stdbool.h>
#include <stddef.h>

#include "settings.h"

/*
 * NAME
 *	program - command line and settings of the daemons
 */

#define GYP_VERSION "0.1.0"

/* Exit codes of a program with durable data. */
#define GYP_EXIT_CORRUPT 65 /* damaged data: use an empty directory */
#define GYP_EXIT_DISK    74 /* a write or sync failed */
#define GYP_EXIT_BUSY    75 /* data directory in use, or --init on a cell */

struct gyp_program {
	const char *name;
	const char *summary;
	const struct gyp_setting *settings;
	size_t n_settings;
	const struct gyp_setting_constraint *constraints;
	size_t n_constraints;
	char *config; /* set to the path of the settings file */
	bool init;    /* set by --init, for programs that allow it */
	bool allow_init;
};

/*
 * Raises the limit of open files, parses the command line and loads the
 * settings. Returns -1 if the program should run, else the exit code: 0 after
 * --help, --version and --check-config, 64 for a bad command line,
 * GYP_EXIT_SETTINGS for refused settings.
 */
int gyp_program_start(struct gyp_program *, int argc, char **argv);

#endif
