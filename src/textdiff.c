#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "textdiff.h"

/* Largest table of common lengths; texts beyond it differ as a whole. */
#define CELLS_MAX (4 * 1024 * 1024)

struct diff {
	char **a; /* lines of the old text that are not common ends */
	char **b;
	guint n;
	guint m;
	guint skipped;    /* equal lines in front */
	uint16_t *common; /* (n + 1) x (m + 1), or NULL */
	GString *out;
	gboolean in_run;
};

static uint16_t *
cell(const struct diff *d, guint i, guint j)
{
	return &d->common[(gsize)i * (d->m + 1) + j];
}

/* Length of the longest common subsequence of each pair of tails. */
static void
fill_common(struct diff *d)
{
	guint i, j;

	for (i = d->n; i-- > 0;) {
		for (j = d->m; j-- > 0;) {
			if (strcmp(d->a[i], d->b[j]) == 0)
				*cell(d, i, j) =
				    (uint16_t)(*cell(d, i + 1, j + 1) + 1);
			else
				*cell(d, i, j) =
				    MAX(*cell(d, i + 1, j), *cell(d, i, j + 1));
		}
	}
}

static void
add_line(struct diff *d, char mark, const char *line, guint i, guint j)
{
	if (!d->in_run)
		g_string_append_printf(d->out, "@@ -%u +%u @@\n",
		    d->skipped + i + 1, d->skipped + j + 1);
	d->in_run = TRUE;
	g_string_append_printf(d->out, "%c%s\n", mark, line);
}

static gboolean
drop_old_first(const struct diff *d, guint i, guint j)
{
	if (j == d->m)
		return TRUE;
	if (i == d->n)
		return FALSE;
	return d->common == NULL || *cell(d, i + 1, j) >= *cell(d, i, j + 1);
}

static void
walk(struct diff *d)
{
	guint i = 0, j = 0;

	while (i < d->n || j < d->m) {
		if (d->common != NULL && i < d->n && j < d->m &&
		    strcmp(d->a[i], d->b[j]) == 0) {
			d->in_run = FALSE;
			i++;
			j++;
		} else if (drop_old_first(d, i, j)) {
			add_line(d, '-', d->a[i], i, j);
			i++;
		} else {
			add_line(d, '+', d->b[j], i, j);
			j++;
		}
	}
}

static void
skip_common_ends(struct diff *d)
{
	while (d->n > 0 && d->m > 0 && strcmp(d->a[0], d->b[0]) == 0) {
		d->a++;
		d->b++;
		d->n--;
		d->m--;
		d->skipped++;
	}
	while (d->n > 0 && d->m > 0 &&
	       strcmp(d->a[d->n - 1], d->b[d->m - 1]) == 0) {
		d->n--;
		d->m--;
	}
}

/* The last line end does not start another line. */
static char **
split_lines(const char *text, guint *n)
{
	char **lines = g_strsplit(text, "\n", -1);

	*n = g_strv_length(lines);
	if (*n > 0 && lines[*n - 1][0] == '\0')
		--*n;
	return lines;
}

char *
gyp_textdiff(const char *old_text, const char *new_text)
{
	struct diff d = {.out = g_string_new(NULL)};
	char **a = split_lines(old_text, &d.n);
	char **b = split_lines(new_text, &d.m);
	gsize cells;

	d.a = a;
	d.b = b;
	skip_common_ends(&d);
	cells = ((gsize)d.n + 1) * ((gsize)d.m + 1);
	if (cells <= CELLS_MAX) {
		d.common = g_new0(uint16_t, cells);
		fill_common(&d);
	}
	walk(&d);
	g_free(d.common);
	g_strfreev(a);
	g_strfreev(b);
	return g_string_free(d.out, FALSE);
}
