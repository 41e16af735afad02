#ifndef GYP_FITS_H
#define GYP_FITS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * NAME
 *	fits - endpoints that could take tasks of a unit, by how good they are
 *
 * DESCRIPTION
 *	A list is a GArray of struct gyp_fit. Equal scores are ordered by row,
 *	so that the same tables give the same decisions.
 */

struct gyp_fit {
	uint32_t row;
	uint32_t count; /* tasks that the endpoint can take now */
	bool known;     /* it was allowed before */
	double score;
};

GArray *gyp_fits_new(void);

/* Best first. */
void gyp_fits_sort(GArray *fits);

/* Keeps the best n, best first: sorting all costs most of a question. */
void gyp_fits_keep_best(GArray *fits, guint n);

/* Tasks that all of them together can take. */
uint64_t gyp_fits_total(const GArray *fits);

#endif
