#include <string.h>

#include <glib.h>

#include "json.h"

static int
type_matches(const json_t *value, json_type type)
{
	return type == JSON_TRUE ? json_is_boolean(value)
				 : json_typeof(value) == type;
}

static enum gyp_status
check_field(const char *path, const char *name, const json_t *value,
    const struct gyp_json_field *fields, size_t n, struct gyp_error *err)
{
	static const char *const types[] = {[JSON_OBJECT] = "an object",
	    [JSON_ARRAY] = "an array",
	    [JSON_STRING] = "a string",
	    [JSON_INTEGER] = "a whole number",
	    [JSON_REAL] = "a number",
	    [JSON_TRUE] = "true or false"};
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(fields[i].name, name) != 0)
			continue;
		if (type_matches(value, fields[i].type))
			return GYP_OK;
		return gyp_fail(err, GYP_BAD_INPUT, "%s%s: expected %s", path,
		    name, types[fields[i].type]);
	}
	return gyp_fail(err, GYP_BAD_INPUT, "%s%s: unknown field", path, name);
}

enum gyp_status
gyp_json_check(json_t *json, const char *path,
    const struct gyp_json_field *fields, size_t n, struct gyp_error *err)
{
	const char *name;
	json_t *value;

	if (!json_is_object(json))
		return gyp_fail(err, GYP_BAD_INPUT, "expected a JSON object");
	json_object_foreach(json, name, value)
	{
		if (check_field(path, name, value, fields, n, err) != GYP_OK)
			return GYP_BAD_INPUT;
	}
	return GYP_OK;
}

json_t *
gyp_json_parse(struct gyp_slice text, const struct gyp_json_field *fields,
    size_t n, struct gyp_error *err)
{
	json_error_t je;
	json_t *json = json_loadb(
	    (const char *)text.data, text.len, JSON_REJECT_DUPLICATES, &je);

	if (json == NULL) {
		gyp_fail(err, GYP_BAD_INPUT, "line %d, column %d: %s", je.line,
		    je.column, je.text);
		return NULL;
	}
	if (gyp_json_check(json, "", fields, n, err) != GYP_OK) {
		json_decref(json);
		return NULL;
	}
	return json;
}

const char *
gyp_json_string(json_t *json, const char *field, const char *fallback)
{
	json_t *value = json_object_get(json, field);

	return value != NULL ? json_string_value(value) : fallback;
}

uint64_t
gyp_json_u64(json_t *json, const char *field)
{
	json_int_t v = json_integer_value(json_object_get(json, field));

	return v > 0 ? (uint64_t)v : 0;
}

void
gyp_hex_format(uint64_t v, char text[GYP_HEX_MAX])
{
	g_snprintf(text, GYP_HEX_MAX, "%" G_GINT64_MODIFIER "x", v);
}

int
gyp_hex_parse(const char *text, uint64_t *v)
{
	guint64 parsed;

	if (!g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &parsed, NULL))
		return 0;
	*v = parsed;
	return 1;
}
