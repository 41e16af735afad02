#include <glib.h>

#include "cell_settings.h"
#include "replica.h"

static struct gyp_cell_settings set = {.voters = 3,
    .catch_up_ms = GYP_CATCH_UP_MS,
    .election_ms = 1000,
    .heartbeat_ms = 100,
    .endpoint_lease_ms = 5000,
    .entry_lease_ms = 3000,
    .start_window_ms = 2000,
    .run_lease_ms = 6000,
    .stop_grace_ms = 1000,
    .compact_bytes = 4 * 1024 * 1024};

static const struct gyp_setting table[] = {
    {"cell", "listen", &set.listen, 0, 0, GYP_SETTING_ADDRESS, true},
    {"cell", "announce", &set.announce, 0, 0, GYP_SETTING_ADDRESS, false},
    {"cell", "metrics", &set.metrics, 0, 0, GYP_SETTING_ADDRESS, false},
    {"cell", "join", &set.join, 0, 0, GYP_SETTING_ADDRESSES, false},
    {"cell", "join_port", &set.join_port, 1, 65535, GYP_SETTING_COUNT, false},
    {"cell", "first_start", &set.first_start, 0, 0, GYP_SETTING_FLAG, false},
    {"platform", "control", &set.control, 0, 0, GYP_SETTING_ADDRESS, false},
    {"platform", "provider", &set.provider, 0, 0, GYP_SETTING_ADDRESS, false},
    {"platform", "run_lease", &set.run_lease_ms, 500, 600000, GYP_SETTING_MS,
	false},
    {"platform", "stop_grace", &set.stop_grace_ms, 1, 60000, GYP_SETTING_MS,
	false},
    {"platform", "learn_run_times", &set.learn_run_times, 0, 0,
	GYP_SETTING_FLAG, false},
    {"platform", "fence_incarnations", &set.fence_incarnations, 0, 0,
	GYP_SETTING_FLAG, false},
    {"platform", "relay_heartbeats_from", &set.relay_heartbeats_from, 0,
	1000000, GYP_SETTING_COUNT, false},
    {"cell", "data_folder", &set.data_folder, 0, 0, GYP_SETTING_DIR, true},
    {"cell", "data_centre", &set.data_centre, 0, 0, GYP_SETTING_TEXT, true},
    {"cell", "name", &set.name, 0, 0, GYP_SETTING_TEXT, true},
    {"cell", "voters", &set.voters, 1, 7, GYP_SETTING_COUNT, false},
    {"cell", "catch_up", &set.catch_up_ms, 1000, 600000, GYP_SETTING_MS, false},
    {"cell", "election", &set.election_ms, 200, 60000, GYP_SETTING_MS, false},
    {"cell", "heartbeat", &set.heartbeat_ms, 20, 10000, GYP_SETTING_MS, false},
    {"cell", "endpoint_lease", &set.endpoint_lease_ms, 500, 600000,
	GYP_SETTING_MS, false},
    {"cell", "entry_lease", &set.entry_lease_ms, 500, 600000, GYP_SETTING_MS,
	false},
    {"cell", "start_window", &set.start_window_ms, 100, 600000, GYP_SETTING_MS,
	false},
    {"cell", "compact", &set.compact_bytes, 4096, 1ULL << 30, GYP_SETTING_BYTES,
	false},
};

static const struct gyp_setting_constraint constraints[] = {
    {&set.heartbeat_ms, &set.election_ms},
    {&set.start_window_ms, &set.endpoint_lease_ms}};

static struct gyp_program program = {.name = "gyp-cell",
    .summary = "Keeps a replica of the cell's state and, while "
	       "it leads, places tasks.",
    .settings = table,
    .n_settings = G_N_ELEMENTS(table),
    .constraints = constraints,
    .n_constraints = G_N_ELEMENTS(constraints),
    .allow_init = true};

struct gyp_cell_settings *
gyp_cell_settings(void)
{
	return &set;
}

struct gyp_program *
gyp_cell_program(void)
{
	return &program;
}
