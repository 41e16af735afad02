#ifndef GYP_JSON_H
#define GYP_JSON_H

#include <jansson.h>

#include "buf.h"
#include "status.h"

/*
 * NAME
 *	json - JSON objects checked against a list of fields
 */

/* An allowed field and its type; JSON_TRUE stands for any boolean. */
struct gyp_json_field {
	const char *name;
	json_type type;
};

/*
 * Parses an object; NULL on an unknown field, a wrong type or a syntax error.
 */
json_t *gyp_json_parse(struct gyp_slice, const struct gyp_json_field *,
    size_t n, struct gyp_error *);

/*
 * Checks an object and its fields; path precedes their names in messages, such
 * as "steps[2]."
 */
enum gyp_status gyp_json_check(json_t *, const char *path,
    const struct gyp_json_field *, size_t n, struct gyp_error *);

/* Returns a string field, or the fallback if it is absent. */
const char *gyp_json_string(json_t *, const char *field, const char *fallback);

/*
 * Returns an integer field, or 0 if it is absent, negative or not an integer.
 */
uint64_t gyp_json_u64(json_t *, const char *field);

/* Size of a buffer for the text and its NUL. */
#define GYP_HEX_MAX 20

/* Formats a handle or an incarnation as a hexadecimal string. */
void gyp_hex_format(uint64_t, char text[GYP_HEX_MAX]);

/*
 * Parses a text that is a hexadecimal number as a whole. Returns 1, or 0 and
 * leaves the value unchanged.
 */
int gyp_hex_parse(const char *text, uint64_t *);

#endif
