#ifndef GYP_COUNTERS_H
#define GYP_COUNTERS_H

#include <stdint.h>

/*
 * NAME
 *	counters - named counters and histograms of one process
 *
 * DESCRIPTION
 *	A counter is found by its name and labels, for example
 *	gyp_requests_total with the labels class="booking",outcome="done".
 *	Labels are written as they stand in the text exposition, without the
 *	braces; gyp_labels() makes and escapes them. Counters only rise, and
 *	start at 0 with the process.
 *
 *	Names in use:
 *
 *	gyp_requests_total{class,outcome}	answered requests for jobs
 *	gyp_wait_seconds{class}			histogram: submit to first
 *placement gyp_starts_total{class}			placements, by the
 *leader gyp_retries_total{class}		of these, later attempts
 *	gyp_questions_total			attempts that a list left out
 *	gyp_refused_total{reason}		requests refused at the door
 *	gyp_link_bytes_total{link,direction}	frames, with their lengths
 *	gyp_messages_total{link,direction}
 *	gyp_slow_turn_seconds			histogram: long turns
 */

/* Most different counters kept; those beyond it are all counted in one. */
#define GYP_COUNTERS_MAX 4096

/* Longest labels, in bytes, with the terminating NUL. */
#define GYP_LABELS_MAX 256

/* Upper bounds of the buckets of a time, in ms; a last one is unbounded. */
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

/* Sets a value that may fall, such as a number of open connections. */
void gyp_gauge(struct gyp_counters *, const char *name, const char *labels,
    uint64_t value);

/* Counts a time in ms in a histogram; its name ends in _seconds. */
void gyp_observe_ms(
    struct gyp_counters *, const char *name, const char *labels, uint64_t ms);

/* A counter's value, or the number of times in a histogram; 0 if unknown. */
uint64_t gyp_counter_get(
    const struct gyp_counters *, const char *name, const char *labels);

/* Writes key="value",... from pairs of strings that end with NULL. */
const char *gyp_labels(char buf[GYP_LABELS_MAX], const char *key, ...)
    __attribute__((sentinel));

/* All of them in the text exposition format, sorted; the caller frees. */
char *gyp_counters_text(const struct gyp_counters *);

#endif
