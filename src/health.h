#ifndef GYP_HEALTH_H
#define GYP_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	health - who is to blame for failed attempts
 *
 * DESCRIPTION
 *	Counts failures on both sides. Failures of several jobs at one
 *	endpoint blame the endpoint; failures of one job at several endpoints
 *	blame the job, whose failures then count against no endpoint. A
 *	success at an endpoint clears it.
 *
 *	Bounded: at most GYP_HEALTH_JOBS_MAX jobs and GYP_HEALTH_FAILURES_MAX
 *failures an endpoint are remembered. Times are milliseconds of cell time.
 */

/* Endpoints at which a job fails before it is blamed. */
#define GYP_HEALTH_FAULTY_JOB_ENDPOINTS 2

#define GYP_HEALTH_JOBS_MAX     4096
#define GYP_HEALTH_FAILURES_MAX 16

/* Longest quarantine, as a multiple of the rule's. */
#define GYP_HEALTH_BACKOFF_MAX 16

struct gyp_health_limits {
	uint32_t failures; /* of different jobs */
	uint32_t within_ms;
	uint32_t for_ms;
};

struct gyp_health;

struct gyp_health *gyp_health_new(void);
void gyp_health_free(struct gyp_health *);

void gyp_health_record_success(
    struct gyp_health *, uint64_t job, uint64_t endpoint);
void gyp_health_record_failure(
    struct gyp_health *, uint64_t job, uint64_t endpoint, uint64_t now);
void gyp_health_forget_endpoint(struct gyp_health *, uint64_t endpoint);

/* True when enough different jobs failed there; at most once an offence. */
bool gyp_health_is_faulty_endpoint(const struct gyp_health *, uint64_t endpoint,
    const struct gyp_health_limits *, uint64_t now);

/* Begins a quarantine, twice as long as the last when it failed its probe. */
void gyp_health_quarantine(struct gyp_health *, uint64_t endpoint,
    const struct gyp_health_limits *, uint64_t now);

/* True when nothing failed there since its last success. */
bool gyp_health_is_clear(const struct gyp_health *, uint64_t endpoint);

/* True when a quarantine is over and a probe may go there. */
bool gyp_health_may_probe(
    const struct gyp_health *, uint64_t endpoint, uint64_t now);

/* True from the end of a quarantine to the next success or failure. */
bool gyp_health_on_probation(const struct gyp_health *, uint64_t endpoint);

/* True when the job failed somewhere in the last ms, and not well since. */
bool gyp_health_failed_within(
    const struct gyp_health *, uint64_t job, uint32_t ms, uint64_t now);

/* True when the job failed there and has not ended well since. */
bool gyp_health_failed_at(
    const struct gyp_health *, uint64_t job, uint64_t endpoint);

/* At how many endpoints the job failed since it ended well; 4 at most. */
uint32_t gyp_health_failed_endpoints(const struct gyp_health *, uint64_t job);

/* True when the job failed at several endpoints that others do well at. */
bool gyp_health_is_faulty_job(const struct gyp_health *, uint64_t job);

#endif
