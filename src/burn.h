#ifndef GYP_BURN_H
#define GYP_BURN_H

#include <stdbool.h>
#include <stdint.h>

#include "status.h"

/*
 * NAME
 *	burn - how fast the error budget of an objective is spent
 *
 * DESCRIPTION
 *	Samples of counters come in as lines of the text exposition, each with
 *	the time and the process that it was read from. A counter that falls
 *	has started afresh with its process. The increase over a window counts
 *	from the last sample at or before the start of the window.
 *
 *	An objective allows a share of 1 - target of the requests of a class
 *	to be bad. The burn rate is the share of bad requests divided by the
 *	allowed share: at 1 the budget lasts exactly for the window.
 *
 *	Errors are the outcomes "not_run" and "unknown"; "failed" is the
 *	answer of the caller's own task. Waiting is bad when it is longer than
 *	the histogram's largest bound that is not above the objective's time.
 */

enum gyp_burn_kind { GYP_BURN_ERRORS, GYP_BURN_WAITING };

struct gyp_burn_objective {
	char *class_name;
	uint32_t target_ppm; /* good requests in a million */
	uint32_t within_ms;  /* from request to start, 0 for none */
	uint32_t rule_line;  /* that stated the time, 0 for none */
};

struct gyp_burn_window {
	uint64_t covered_s; /* shorter than the window without old samples */
	uint64_t total;
	uint64_t bad;
	double rate; /* burn rate, 0 when there were no requests */
};

struct gyp_burn;

struct gyp_burn *gyp_burn_new(void);
void gyp_burn_free(struct gyp_burn *);

/* Longest line of a sample, in bytes. */
#define GYP_BURN_LINE_MAX 1024

/*
 * Takes a line "TIME SOURCE METRIC{LABELS} VALUE", the time in seconds. Metrics
 * that say nothing of objectives are passed over; the times of a source must
 * not fall.
 */
enum gyp_status gyp_burn_add_sample(
    struct gyp_burn *, const char *line, struct gyp_error *);

/* Time of the newest sample, in s; 0 without any. */
uint64_t gyp_burn_newest_time(const struct gyp_burn *);

/* Counts the window of `seconds` that ends at `now`, in s. */
void gyp_burn_measure(const struct gyp_burn *,
    const struct gyp_burn_objective *, enum gyp_burn_kind, uint64_t now,
    uint64_t seconds, struct gyp_burn_window *);

/* Reads "class=NAME,target=PERCENT[,within=TIME]". */
enum gyp_status gyp_burn_objective_parse(
    const char *text, struct gyp_burn_objective *, struct gyp_error *);

/* Share of the budget that is left after a window, below 0 if overspent. */
double gyp_burn_budget_left(
    const struct gyp_burn_objective *, const struct gyp_burn_window *);

#endif
