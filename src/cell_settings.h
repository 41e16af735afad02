#ifndef GYP_CELL_SETTINGS_H
#define GYP_CELL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "program.h"

/*
 * NAME
 *	cell_settings - settings of a replica
 *
 * DESCRIPTION
 *	gyp-cell(8) describes each key. A process has one set of settings. They
 *	are loaded at the start, and a reload changes them in place.
 */

struct gyp_cell_settings {
	char *listen;
	char *announce; /* address for other processes; NULL for listen */
	char *metrics;
	char **join;
	uint32_t join_port;
	bool first_start;
	char *control;
	char *provider; /* NULL for none */
	uint32_t run_lease_ms;
	uint32_t stop_grace_ms;
	bool learn_run_times;
	bool fence_incarnations;
	uint32_t relay_heartbeats_from;
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

/* The settings, with defaults until gyp_program_start() has loaded them. */
struct gyp_cell_settings *gyp_cell_settings(void);

/* The description of gyp-cell for gyp_program_start(). */
struct gyp_program *gyp_cell_program(void);

#endif
