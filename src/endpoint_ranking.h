#ifndef GYP_ENDPOINT_RANKING_H
#define GYP_ENDPOINT_RANKING_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	fits - endpoints that could take tasks of a unit, by how good they are
 *
 * DESCRIPTION
 *	A list is a GArray of struct gyp_ranked_endpoint. Equal scores are
 *ordered by row, so that the same tables give the same decisions.
 */

struct gyp_ranked_endpoint {
	uint32_t row;
	uint32_t count;      /* tasks that the endpoint can take now */
	bool allowed_before; /* it was allowed before */
	double score;
};

GArray *gyp_ranking_new(void);

/* Best first. */
void gyp_ranking_sort(GArray *ranking);

/* Keeps the best n, best first: sorting all costs most of a question. */
void gyp_ranking_keep_best(GArray *ranking, guint n);

/* Tasks that all of them together can take. */
uint64_t gyp_ranking_total(const GArray *ranking);

#endif
