#ifndef GYP_ENDPOINT_RANKING_H
#define GYP_ENDPOINT_RANKING_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	endpoint_ranking - endpoints that can take tasks of a unit, best first
 *
 * DESCRIPTION
 *	A ranking is a GArray of struct gyp_ranked_endpoint. Endpoints with
 *	equal scores are ordered by row, so that the same tables always give the
 *	same decisions.
 */

struct gyp_ranked_endpoint {
	uint32_t row;
	uint32_t count;      /* tasks that the endpoint can take now */
	bool allowed_before; /* its latest admission answer allowed it */
	double score;
};

GArray *gyp_ranking_new(void);

/* Sorts by score, best first. */
void gyp_ranking_sort(GArray *ranking);

/*
 * Keeps the best n, sorted. Sorting all of them would take most of the time
 * that it takes to build a query.
 */
void gyp_ranking_keep_best(GArray *ranking, guint n);

/* Number of tasks that all endpoints of the ranking can take together. */
uint64_t gyp_ranking_total(const GArray *ranking);

#endif
