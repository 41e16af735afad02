#ifndef GYP_TABLE_H
#define GYP_TABLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	table - rows addressed by handles
 *
 * DESCRIPTION
 *	A handle packs a row's index (low 32 bits) and its generation (high
 *	32 bits). Removing a row increments the generation, so that old handles
 *	become stale. Handle 0 is never issued. The lowest free index is always
 *	used next: two tables with equal contents issue equal handles, whatever
 *	their histories. Row pointers stay valid until the row is removed.
 */

struct gyp_table;

/* Rows are zeroed blocks of row_size bytes. */
struct gyp_table *gyp_table_new(size_t row_size);
void gyp_table_free(struct gyp_table *);

/* Allocates a row and stores its handle. */
void *gyp_table_add(struct gyp_table *, uint64_t *handle);

/* Returns the row, or NULL when the handle is stale or unknown. */
void *gyp_table_get(const struct gyp_table *, uint64_t handle);

void gyp_table_remove(struct gyp_table *, uint64_t handle);

/* Iteration: index runs from 0 to size - 1; NULL for a free row. */
uint32_t gyp_table_size(const struct gyp_table *);
void *gyp_table_at(const struct gyp_table *, uint32_t index, uint64_t *handle);

/* Number of rows in use. */
uint32_t gyp_table_count(const struct gyp_table *);

/* For snapshots: the generation of any row, also a free one. */
uint32_t gyp_table_generation(const struct gyp_table *, uint32_t index);

/* Appends a free row of the given generation. */
void gyp_table_append_free(struct gyp_table *, uint32_t generation);

/*
 * Occupies the row of a handle after gyp_table_append_free(); NULL when the
 * handle does not name a free row.
 */
void *gyp_table_occupy(struct gyp_table *, uint64_t handle);

#endif
