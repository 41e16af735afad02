#ifndef GYP_CELL_SETTINGS_H
#define GYP_CELL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "program.h"

/*
 * NAME
 *	cell_settings - what a replica is told at its start
 *
 * DESCRIPTION
 *	gyp-cell(8) describes each key. There is one set in a process; the
 *	program reads it, and a reload changes it in place.
 */

struct gyp_cell_settings {
	char *listen;
	char *announce; /* where others reach it; NULL for listen */
	char *metrics;
	char **join;
	uint32_t join_port;
	bool init;
	char *control;
	uint32_t run_lease_ms;
	uint32_t stop_grace_ms;
	char *data_folder;
	char *data_centre;
	char *name;
	uint32_t voters;
	uint32_t catch_up_ms;
	uint32_t election_ms;
	uint32_t heartbeat_ms;
	uint32_t endpoint_lease_ms;
	uint32_t entry_lease_ms;
	uint32_t start_window_ms;
	uint64_t compact_bytes;
};

/* The settings with their defaults, and the program that reads them. */
struct gyp_cell_settings *gyp_cell_settings(void);
struct gyp_program *gyp_cell_program(void);

#endif
