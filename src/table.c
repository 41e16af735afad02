#include <glib.h>

#include "table.h"

struct row {
	uint32_t generation;
	void *data; /* NULL when free */
};

struct gyp_table {
	size_t row_size;
	GArray *rows;
	uint32_t lowest; /* no row below it is free */
	uint32_t used;
};

static struct row *
row_at(const struct gyp_table *t, uint32_t index)
{
	return &g_array_index(t->rows, struct row, index);
}

static uint64_t
make_handle(const struct row *row, uint32_t index)
{
	return ((uint64_t)row->generation << 32) | index;
}

struct gyp_table *
gyp_table_new(size_t row_size)
{
	struct gyp_table *t = g_new0(struct gyp_table, 1);

	t->row_size = row_size;
	t->rows = g_array_new(FALSE, TRUE, sizeof(struct row));
	return t;
}

void
gyp_table_free(struct gyp_table *t)
{
	uint32_t i;

	if (t == NULL)
		return;
	for (i = 0; i < t->rows->len; i++)
		g_free(row_at(t, i)->data);
	g_array_free(t->rows, TRUE);
	g_free(t);
}

void *
gyp_table_add(struct gyp_table *t, uint64_t *handle)
{
	struct row *row;

	while (t->lowest < t->rows->len && row_at(t, t->lowest)->data != NULL)
		t->lowest++;
	if (t->lowest == t->rows->len)
		gyp_table_append_free(t, 1);
	row = row_at(t, t->lowest);
	row->data = g_malloc0(t->row_size);
	t->used++;
	*handle = make_handle(row, t->lowest);
	return row->data;
}

void *
gyp_table_get(const struct gyp_table *t, uint64_t handle)
{
	uint32_t index = (uint32_t)handle;

	if (index >= t->rows->len ||
	    row_at(t, index)->generation != handle >> 32)
		return NULL;
	return row_at(t, index)->data;
}

void
gyp_table_remove(struct gyp_table *t, uint64_t handle)
{
	uint32_t index = (uint32_t)handle;
	struct row *row;

	if (gyp_table_get(t, handle) == NULL)
		return;
	row = row_at(t, index);
	g_free(row->data);
	row->data = NULL;
	row->generation++;
	t->used--;
	t->lowest = MIN(t->lowest, index);
}

uint32_t
gyp_table_size(const struct gyp_table *t)
{
	return t->rows->len;
}

uint32_t
gyp_table_count(const struct gyp_table *t)
{
	return t->used;
}

void *
gyp_table_at(const struct gyp_table *t, uint32_t index, uint64_t *handle)
{
	struct row *row = row_at(t, index);

	if (handle != NULL)
		*handle = make_handle(row, index);
	return row->data;
}

uint32_t
gyp_table_generation(const struct gyp_table *t, uint32_t index)
{
	return row_at(t, index)->generation;
}

void
gyp_table_append_free(struct gyp_table *t, uint32_t generation)
{
	struct row row = {.generation = generation, .data = NULL};

	g_array_append_val(t->rows, row);
}

void *
gyp_table_occupy(struct gyp_table *t, uint64_t handle)
{
	uint32_t index = (uint32_t)handle;
	struct row *row;

	if (index >= t->rows->len)
		return NULL;
	row = row_at(t, index);
	if (row->generation != handle >> 32 || row->data != NULL)
		return NULL;
	row->data = g_malloc0(t->row_size);
	t->used++;
	return row->data;
}
