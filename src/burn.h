#ifndef GYP_BURN_H
#define GYP_BURN_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * NAME
 *	burn - burn rate of the error budget of an objective
 *
 * DESCRIPTION
 *	A sample is a line of the metrics text format, prefixed with the time
 *	and the process that it was read from. A counter that falls was reset
 *	by a restart of its process. The increase over a window counts from the
 *	last sample at or before the start of the window.
 *
 *	An objective allows a share of 1 - target of the requests of a class
 *	to be bad. The burn rate is the share of bad requests divided by the
 *	allowed share: at 1 the budget lasts exactly for the window.
 *
 *	Errors are the outcomes "not_run" and "unknown"; "failed" is no error,
 *	as it is the result of the caller's own task. A request waits too long
 *	if its wait exceeds the largest histogram bucket bound at or below
 *	within_ms.
 */

enum gyp_burn_kind { GYP_BURN_ERRORS, GYP_BURN_WAITING };

struct gyp_burn_objective {
	char *class_name;
	uint32_t target_ppm; /* required good requests per million */
	uint32_t within_ms;  /* limit from request to start, 0: none */
	uint32_t rule_line;  /* of the rule that sets within_ms, 0: none */
};

struct gyp_burn_window {
	uint64_t covered_s; /* less than the window if samples start later */
	uint64_t total;
	uint64_t bad;
	double rate; /* burn rate, 0 if there were no requests */
};

struct gyp_burn;

struct gyp_burn *gyp_burn_new(void);
void gyp_burn_free(struct gyp_burn *);

/* Longest line of a sample, in bytes. */
#define GYP_BURN_LINE_MAX 1024

/*
 * Adds a line "TIME SOURCE METRIC{LABELS} VALUE", the time in seconds. Metrics
 * that no objective uses are ignored. The times of a source must not decrease.
 */
enum gyp_status gyp_burn_add_sample(
    struct gyp_burn *, const char *line, struct gyp_error *);

/* Returns the time of the newest sample in s, or 0 if there is none. */
uint64_t gyp_burn_newest_time(const struct gyp_burn *);

/* Measures the window of `seconds` that ends at `now`, a time in s. */
void gyp_burn_measure(const struct gyp_burn *,
    const struct gyp_burn_objective *, enum gyp_burn_kind, uint64_t now,
    uint64_t seconds, struct gyp_burn_window *);

/* Parses "class=NAME,target=PERCENT[,within=TIME]". */
enum gyp_status gyp_burn_objective_parse(
    const char *text, struct gyp_burn_objective *, struct gyp_error *);

/* Returns the share of the budget left in a window, below 0 if overspent. */
double gyp_burn_budget_left(
    const struct gyp_burn_objective *, const struct gyp_burn_window *);

#endif
