#include <errno.h>
#include <string.h>

#include <glib.h>

#include "units.h"

/* Maximum digits after a point: their product with a unit fits 64 bits. */
#define FRACTION_DIGITS 9

const struct gyp_unit gyp_units_none[] = {{"", 1}, {NULL, 0}};
const struct gyp_unit gyp_units_percent[] = {{"%", 1}, {NULL, 0}};
const struct gyp_unit gyp_units_ms[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60000}, {NULL, 0}};
const struct gyp_unit gyp_units_bytes[] = {
    {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}, {NULL, 0}};

/* Parses the digits after a point; *scale is 10 to the power of their count. */
static bool
parse_fraction(char **at, uint64_t *fraction, uint64_t *scale)
{
	char *digits = *at + 1;
	const char *p;

	*fraction = 0;
	*scale = 1;
	if (**at != '.')
		return true;
	if (!g_ascii_isdigit(*digits))
		return false;
	*fraction = g_ascii_strtoull(digits, at, 10);
	if (*at - digits > FRACTION_DIGITS)
		return false;
	for (p = digits; p < *at; p++)
		*scale *= 10;
	return true;
}

bool
gyp_units_parse(const char *text, const struct gyp_unit *unit, uint64_t *out)
{
	char *end;
	uint64_t v, fraction, scale;

	if (!g_ascii_isdigit(text[0]))
		return false;
	errno = 0;
	v = g_ascii_strtoull(text, &end, 10);
	if (errno != 0 || !parse_fraction(&end, &fraction, &scale))
		return false;
	while (*end == ' ')
		end++;
	for (; unit->name != NULL; unit++) {
		if (strcmp(end, unit->name) != 0)
			continue;
		if (v >= UINT64_MAX / unit->factor ||
		    fraction * unit->factor % scale != 0)
			return false;
		*out = v * unit->factor + fraction * unit->factor / scale;
		return true;
	}
	return false;
}
