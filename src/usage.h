#ifndef GYP_USAGE_H
#define GYP_USAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "state.h"

/*
 * NAME
 *	usage - latest measured usage of endpoints and attempts
 *
 * DESCRIPTION
 *	The leader fills the table from heartbeats. It is not replicated, so a
 *	new leader starts with an empty table and has no sample of an endpoint
 *	until its next heartbeat. Each sample carries the time of its receipt,
 *	since reports lag behind. A report without usage keeps the earlier
 *	sample.
 */

struct gyp_usage_sample {
	struct gyp_res used;
	uint64_t received_at; /* receipt, in ms of the leader's clock */
};

struct gyp_usage;

struct gyp_usage *gyp_usage_new(void);
void gyp_usage_free(struct gyp_usage *);
void gyp_usage_reset(struct gyp_usage *);

void gyp_usage_put_endpoint(
    struct gyp_usage *, uint64_t endpoint, const struct gyp_usage_sample *);
void gyp_usage_put_attempt(struct gyp_usage *, uint64_t job, uint32_t task,
    uint32_t attempt, const struct gyp_usage_sample *);

/* Removes the sample of the endpoint, or of the task's latest attempt. */
void gyp_usage_drop_endpoint(struct gyp_usage *, uint64_t endpoint);
void gyp_usage_drop_task(struct gyp_usage *, uint64_t job, uint32_t task);

/* False when there is no sample of the endpoint, or of this attempt. */
bool gyp_usage_of_endpoint(
    const struct gyp_usage *, uint64_t endpoint, struct gyp_usage_sample *);
bool gyp_usage_of_attempt(const struct gyp_usage *, uint64_t job, uint32_t task,
    uint32_t attempt, struct gyp_usage_sample *);

#endif
