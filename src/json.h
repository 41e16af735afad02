#ifndef GYP_JSON_H
#define GYP_JSON_H

#include <jansson.h>

#include "buf.h"
#include "status.h"

/*
 * NAME
 *	json - checked JSON objects
 */

/* A field that an object may have; JSON_TRUE stands for any boolean. */
struct gyp_json_field {
	const char *name;
	json_type type;
};

/* Parses an object that has no other fields and no wrong types, or NULL. */
json_t *gyp_json_parse(struct gyp_slice, const struct gyp_json_field *,
    size_t n, struct gyp_error *);

/* A string field, or the fallback. */
const char *gyp_json_string(json_t *, const char *field, const char *fallback);

/* An integer field, or 0. */
uint64_t gyp_json_u64(json_t *, const char *field);

/* Handles and incarnations are written as hexadecimal strings. */
#define GYP_HEX_MAX 20
void gyp_hex_format(uint64_t, char text[GYP_HEX_MAX]);

/* False unless the whole text is a hexadecimal number. */
int gyp_hex_parse(const char *text, uint64_t *);

#endif
