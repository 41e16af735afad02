#include <errno.h>
#include <string.h>

#include <glib.h>

#include "units.h"

const struct gyp_unit gyp_units_none[] = {{"", 1}, {NULL, 0}};
const struct gyp_unit gyp_units_percent[] = {{"%", 1}, {NULL, 0}};
const struct gyp_unit gyp_units_ms[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60000}, {NULL, 0}};
const struct gyp_unit gyp_units_bytes[] = {
    {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}, {NULL, 0}};

bool
gyp_units_parse(const char *text, const struct gyp_unit *unit, uint64_t *out)
{
	char *end;
	uint64_t v;

	if (!g_ascii_isdigit(text[0]))
		return false;
	errno = 0;
	v = g_ascii_strtoull(text, &end, 10);
	if (errno != 0)
		return false;
	while (*end == ' ')
		end++;
	for (; unit->name != NULL; unit++) {
		if (strcmp(end, unit->name) != 0)
			continue;
		if (v > UINT64_MAX / unit->factor)
			return false;
		*out = v * unit->factor;
		return true;
	}
	return false;
}
