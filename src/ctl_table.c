#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* Spaces between columns. */
#define COLUMN_GAP 2

struct gyp_ctl_table {
	guint columns;
	GPtrArray *cells; /* row by row, header first */
};

struct gyp_ctl_table *
gyp_ctl_table_new(const char *const *header)
{
	struct gyp_ctl_table *t = g_new0(struct gyp_ctl_table, 1);

	t->cells = g_ptr_array_new_with_free_func(g_free);
	for (; header[t->columns] != NULL; t->columns++)
		g_ptr_array_add(t->cells, g_strdup(header[t->columns]));
	return t;
}

void
gyp_ctl_table_add(struct gyp_ctl_table *t, ...)
{
	va_list ap;
	guint i;

	va_start(ap, t);
	for (i = 0; i < t->columns; i++)
		g_ptr_array_add(t->cells, va_arg(ap, char *));
	va_end(ap);
}

static int
compare_rows(const void *a, const void *b, void *user)
{
	const struct gyp_ctl_table *t = user;
	char *const *x = a, *const *y = b;
	guint i;
	int order = 0;

	for (i = 0; i < t->columns && order == 0; i++)
		order = strcmp(x[i], y[i]);
	return order;
}

void
gyp_ctl_table_sort(struct gyp_ctl_table *t)
{
	guint rows = t->cells->len / t->columns;

	/* The header stays the first row. */
	if (rows > 2)
		g_qsort_with_data(t->cells->pdata + t->columns,
		    (gint)(rows - 1), t->columns * sizeof(char *), compare_rows,
		    t);
}

static int
column_width(const struct gyp_ctl_table *t, guint column)
{
	glong width = 0;
	guint i;

	for (i = column; i < t->cells->len; i += t->columns)
		width = MAX(width, g_utf8_strlen(t->cells->pdata[i], -1));
	return (int)width;
}

static void
print_cell(const char *text, int width, bool last)
{
	int pad = width - (int)g_utf8_strlen(text, -1) + COLUMN_GAP;

	if (last)
		printf("%s\n", text);
	else
		printf("%s%*s", text, pad, "");
}

void
gyp_ctl_table_print(struct gyp_ctl_table *t)
{
	guint i;
	int *widths = g_new(int, t->columns);

	for (i = 0; i < t->columns; i++)
		widths[i] = column_width(t, i);
	for (i = 0; i < t->cells->len; i++)
		print_cell(t->cells->pdata[i], widths[i % t->columns],
		    (i + 1) % t->columns == 0);
	g_free(widths);
	g_ptr_array_free(t->cells, TRUE);
	g_free(t);
}

const char *
gyp_ctl_text(const json_t *json, const char *field)
{
	const char *text = json_string_value(json_object_get(json, field));

	return text != NULL ? text : "";
}

char *
gyp_ctl_value(const json_t *json, const char *field)
{
	const json_t *value = json_object_get(json, field);

	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (json_is_integer(value))
		return g_strdup_printf(
		    "%" JSON_INTEGER_FORMAT, json_integer_value(value));
	return g_strdup(gyp_ctl_text(json, field));
}
