#ifndef GYP_COUNTERS_H
#define GYP_COUNTERS_H

#include <stdint.h>

/*
 * NAME
 *	counters - named counters and histograms of one process
 *
 * DESCRIPTION
 *	A counter is identified by its name and labels, for example
 *	gyp_requests_total with the labels class="booking",outcome="done".
 *	Labels are written as in the text exposition format, without the
 *	braces; gyp_labels() formats and escapes them. Counters start at 0 with
 *	the process and never decrease; gauges may.
 *
 *	Names in use:
 *
 *	gyp_requests_total{class,outcome}	answered requests for jobs
 *	gyp_wait_seconds{class}			submission to first placement
 *	gyp_starts_total{class}			placements by the leader
 *	gyp_retries_total{class}		placements of later attempts
 *	gyp_questions_total			queries about unlisted attempts
 *	gyp_flow_submits_total{workspace,verdict}	flows accepted or
 *refused gyp_workspace_used{workspace,resource}	gauge, booked by open
 *runs gyp_workspace_cap{workspace,resource}	gauge, 0 for no limit
 *	gyp_workspace_open_runs{workspace}	gauge
 *	gyp_workspace_waiting_tasks{workspace}	gauge, tasks that could start
 *	gyp_refused_total{reason}		requests refused by the API
 *	gyp_run_forecast_error_seconds{queue}	real minus forecast run time,
 *						without its sign
 *	gyp_lasting_down			gauge, lasting tasks that have
 *						not run for 1 s or longer
 *	gyp_lasting_outage_seconds		end of a lasting task's run to
 *						the confirmation of its next
 *	gyp_inventory_requests_total		lists requested of the provider
 *	gyp_inventory_failed_total		of these, not complete
 *	gyp_inventory_delisted_total		endpoints found to have ended
 *	gyp_incomplete_lists_total		polls that listed only the
 *						first part of the ends
 *	gyp_link_bytes_total{link,direction}	bytes, with length prefixes
 *	gyp_messages_total{link,direction}	frames
 *	gyp_links_refused_total			connections beyond a limit
 *	gyp_slow_turn_seconds			slow iterations of the loop
 *	gyp_uncounted_total			updates beyond GYP_COUNTERS_MAX
 *	gyp_leading				gauge, 1 while serving as leader
 *	gyp_disk_full				gauge, 1 while waiting for space
 *	gyp_open_requests			gauge, open calls of an entry
 *	gyp_open_attempts			gauge, open attempts of an entry
 *
 *	Names that end in _seconds are histograms. The label workspace has a
 *	bounded number of values, see workspace_metrics.h.
 */

/* Most counters kept; all others are counted in gyp_uncounted_total. */
#define GYP_COUNTERS_MAX 4096

/* Longest labels, in bytes, with the terminating NUL. */
#define GYP_LABELS_MAX 256

/* Upper bounds of histogram buckets, in ms; a last bucket has no bound. */
#define GYP_TIME_BUCKETS                                                       \
	{                                                                      \
		5, 10, 25, 50, 100, 250, 500, 1000, 3000, 10000, 60000         \
	}
#define GYP_TIME_BUCKETS_N 11

struct gyp_counters;

struct gyp_counters *gyp_counters_new(void);
void gyp_counters_free(struct gyp_counters *);

/* Adds to a counter; labels may be "". */
void gyp_count(
    struct gyp_counters *, const char *name, const char *labels, uint64_t n);

/* Sets a gauge, which may decrease, such as a number of open connections. */
void gyp_gauge(struct gyp_counters *, const char *name, const char *labels,
    uint64_t value);

/* Adds a time in ms to a histogram, whose name ends in _seconds. */
void gyp_observe_ms(
    struct gyp_counters *, const char *name, const char *labels, uint64_t ms);

/* Returns a counter's value, or a histogram's count; 0 if unknown. */
uint64_t gyp_counter_get(
    const struct gyp_counters *, const char *name, const char *labels);

/*
 * Writes key="value",... from pairs of strings that end with NULL; "" if it
 * does not fit.
 */
const char *gyp_labels(char buf[GYP_LABELS_MAX], const char *key, ...)
    __attribute__((sentinel));

/* Returns all counters in the text exposition format; the caller frees. */
char *gyp_counters_text(const struct gyp_counters *);

#endif
