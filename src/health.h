#ifndef GYP_HEALTH_H
#define GYP_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	health - attributes failures to endpoints or to jobs
 *
 * DESCRIPTION
 *	Counts failures by endpoint and by job. Failures of several jobs at one
 *	endpoint are attributed to the endpoint. Failures of one job at several
 *	endpoints are attributed to the job and then count against no
 *	endpoint. A success clears the failures of the job and of the endpoint,
 *	and ends the endpoint's quarantine and probation. Some tasks never end:
 *	a probe that lasts ends the probation too, see GYP_HEALTH_PROBE_MS,
 *	and so does the same time without a probe: a gang can't be one.
 *
 *	Keeps at most GYP_HEALTH_JOBS_MAX jobs, and GYP_HEALTH_FAILURES_MAX
 *	failures of each endpoint. Times are milliseconds of cell time.
 */

/* Endpoints at which a job must fail to be faulty. */
#define GYP_HEALTH_FAULTY_JOB_ENDPOINTS 2

#define GYP_HEALTH_JOBS_MAX     4096
#define GYP_HEALTH_FAILURES_MAX 16

/* Longest quarantine, as a multiple of the limit's for_ms. */
#define GYP_HEALTH_BACKOFF_MAX 16

/*
 * A probe that has run for this long without failing is a success, in ms. An
 * endpoint that is back for this long is no longer on probation when no probe
 * runs.
 */
#define GYP_HEALTH_PROBE_MS 10000

struct gyp_health_limits {
	uint32_t failures;   /* of this many jobs make an endpoint faulty */
	uint32_t within_ms;  /* age up to which failures count */
	uint32_t for_ms;     /* length of a first quarantine */
	uint32_t for_max_ms; /* longest quarantine, 0 for no such limit */
};

struct gyp_health;

struct gyp_health *gyp_health_new(void);
void gyp_health_free(struct gyp_health *);

void gyp_health_record_success(
    struct gyp_health *, uint64_t job, uint64_t endpoint);
void gyp_health_record_failure(
    struct gyp_health *, uint64_t job, uint64_t endpoint, uint64_t now);
void gyp_health_forget_endpoint(struct gyp_health *, uint64_t endpoint);

/*
 * True when enough different jobs failed at the endpoint. False during a
 * quarantine, so that each fault leads to one quarantine.
 */
bool gyp_health_is_faulty_endpoint(const struct gyp_health *, uint64_t endpoint,
    const struct gyp_health_limits *, uint64_t now);

/* Starts a quarantine; a failed probe doubles the length of the last one. */
void gyp_health_quarantine(struct gyp_health *, uint64_t endpoint,
    const struct gyp_health_limits *, uint64_t now);

/* True when nothing failed at the endpoint since its last success. */
bool gyp_health_is_clear(const struct gyp_health *, uint64_t endpoint);

/* True when no quarantine is in force, so that a probe may be placed. */
bool gyp_health_may_probe(
    const struct gyp_health *, uint64_t endpoint, uint64_t now);

/* End of the endpoint's latest quarantine, 0 for none. */
uint64_t gyp_health_quarantine_end(
    const struct gyp_health *, uint64_t endpoint);

/* True from the start of a quarantine to the next success. */
bool gyp_health_on_probation(const struct gyp_health *, uint64_t endpoint);

/*
 * True when the job failed less than `ms` milliseconds ago and has not
 * succeeded since.
 */
bool gyp_health_failed_within(
    const struct gyp_health *, uint64_t job, uint32_t ms, uint64_t now);

/* True when the job failed at the endpoint and has not succeeded since. */
bool gyp_health_failed_at(
    const struct gyp_health *, uint64_t job, uint64_t endpoint);

/* Number of endpoints, at most 4, where the job failed since a success. */
uint32_t gyp_health_failed_endpoints(const struct gyp_health *, uint64_t job);

/* True when the job failed at several endpoints where no other job failed. */
bool gyp_health_is_faulty_job(const struct gyp_health *, uint64_t job);

#endif
