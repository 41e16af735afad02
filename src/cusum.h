#ifndef GYP_CUSUM_H
#define GYP_CUSUM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	cusum - tells an endpoint that fails part of its runs from a sound one
 *
 * DESCRIPTION
 *	Load pattern answered: endpoints that fail two runs in five and do the
 *	others well, so that failures in a row are rare and a success says
 *	little. A cumulative sum of log-likelihood ratios is kept for each
 *	endpoint: a failure raises it, a success lowers it by less, down to 0.
 *	It halves every GYP_CUSUM_HALF_LIFE_MS, so that an endpoint that gets no
 *	work is trusted again in time.
 */

/* The sum from which an endpoint counts as bad, and as doubtful. */
#define GYP_CUSUM_BAD     5.0
#define GYP_CUSUM_SUSPECT 1.0

/* Time in which a sum halves, in ms. */
#define GYP_CUSUM_HALF_LIFE_MS 8000

struct gyp_cusum;

struct gyp_cusum *gyp_cusum_new(void);
void gyp_cusum_free(struct gyp_cusum *);

/* A run at the row ended, as failed or as done; returns the new sum. */
double gyp_cusum_add(
    struct gyp_cusum *, uint32_t row, bool failed, uint64_t now);

/* The sum of the row at time now, 0 or above. */
double gyp_cusum_at(const struct gyp_cusum *, uint32_t row, uint64_t now);

/*
 * The endpoint passed a probe. Failures in a row are forgotten, since one
 * outage that is over explains them; failures among successes are not.
 */
void gyp_cusum_probe_passed(struct gyp_cusum *, uint32_t row);

/* Another life begins at the row: nothing is known of it. */
void gyp_cusum_reset(struct gyp_cusum *, uint32_t row);

#endif
