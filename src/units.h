#ifndef GYP_UNITS_H
#define GYP_UNITS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	units - whole numbers with a unit, in settings, rules and objectives
 */

struct gyp_unit {
	const char *name;
	uint64_t factor;
};

/* Each list ends with a NULL name. */
extern const struct gyp_unit gyp_units_none[];    /* plain numbers */
extern const struct gyp_unit gyp_units_percent[]; /* "%" */
extern const struct gyp_unit gyp_units_ms[];      /* "ms", "s", "m" */
extern const struct gyp_unit gyp_units_bytes[];   /* "KiB", "MiB", "GiB" */

/*
 * Parses a number, optional blanks and one of the units, for example 1.5s.
 * False on anything else, and when the product is not a whole number that fits
 * 64 bits.
 */
bool gyp_units_parse(const char *text, const struct gyp_unit *, uint64_t *out);

#endif
