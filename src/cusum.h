#ifndef GYP_CUSUM_H
#define GYP_CUSUM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	cusum - detects endpoints that fail part of their runs
 *
 * DESCRIPTION
 *	Detects endpoints that, for instance, fail two runs in five and
 *	complete the others: consecutive failures are rare there, and a success
 *	is weak evidence. Each endpoint has a cumulative sum of log-likelihood
 *	ratios: a failure raises it, a success lowers it by less, down to 0.
 *	The sum halves every GYP_CUSUM_HALF_LIFE_MS, so that an endpoint that
 *	gets no work becomes eligible again in time.
 */

/* Thresholds from which an endpoint counts as bad, and as suspect. */
#define GYP_CUSUM_BAD     5.0
#define GYP_CUSUM_SUSPECT 1.0

/* Half-life of a sum, in ms. */
#define GYP_CUSUM_HALF_LIFE_MS 8000

/*
 * Longest time for which a sum stays bad after the latest failure, in ms. All
 * runs of an endpoint may fail at once; without this bound, 14 such failures
 * kept it from all work for 18 s.
 */
#define GYP_CUSUM_BAD_MAX_MS 4000

struct gyp_cusum;

struct gyp_cusum *gyp_cusum_new(void);
void gyp_cusum_free(struct gyp_cusum *);

/* Records that a run at the row failed or succeeded; returns the new sum. */
double gyp_cusum_add(
    struct gyp_cusum *, uint32_t row, bool failed, uint64_t now);

/* The sum of the row at time now, 0 or above. */
double gyp_cusum_at(const struct gyp_cusum *, uint32_t row, uint64_t now);

/*
 * Records that the endpoint passed a probe. Resets the sum if it is due to
 * consecutive failures, which a past outage explains, but not if successes
 * were among them.
 */
void gyp_cusum_probe_passed(struct gyp_cusum *, uint32_t row);

/* Discards the sum of the row, for instance when the endpoint restarts. */
void gyp_cusum_reset(struct gyp_cusum *, uint32_t row);

#endif
