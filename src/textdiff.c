#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "textdiff.h"

/*
 * Largest LCS table, in elements. If the texts need a larger one, all lines
 * between the common first and last lines are reported as changed.
 */
#define LCS_TABLE_MAX (4 * 1024 * 1024)

struct diff {
	char **a;      /* old text without the common first and last lines */
	char **b;      /* the same of the new text */
	guint n;       /* lines in a */
	guint m;       /* lines in b */
	guint skipped; /* common lines at the start */
	uint16_t *lcs; /* (n + 1) x (m + 1), or NULL */
	GString *out;
	gboolean in_hunk;
};

static uint16_t *
lcs_at(const struct diff *d, guint i, guint j)
{
	return &d->lcs[(gsize)i * (d->m + 1) + j];
}

/*
 * Computes the length of the longest common subsequence (LCS) of each pair of
 * tails.
 */
static void
fill_lcs(struct diff *d)
{
	guint i, j;

	for (i = d->n; i-- > 0;) {
		for (j = d->m; j-- > 0;) {
			if (strcmp(d->a[i], d->b[j]) == 0)
				*lcs_at(d, i, j) =
				    (uint16_t)(*lcs_at(d, i + 1, j + 1) + 1);
			else
				*lcs_at(d, i, j) = MAX(
				    *lcs_at(d, i + 1, j), *lcs_at(d, i, j + 1));
		}
	}
}

static void
add_line(struct diff *d, char mark, const char *line, guint i, guint j)
{
	if (!d->in_hunk)
		g_string_append_printf(d->out, "@@ -%u +%u @@\n",
		    d->skipped + i + 1, d->skipped + j + 1);
	d->in_hunk = TRUE;
	g_string_append_printf(d->out, "%c%s\n", mark, line);
}

static gboolean
delete_first(const struct diff *d, guint i, guint j)
{
	if (j == d->m)
		return TRUE;
	if (i == d->n)
		return FALSE;
	return d->lcs == NULL || *lcs_at(d, i + 1, j) >= *lcs_at(d, i, j + 1);
}

static void
append_hunks(struct diff *d)
{
	guint i = 0, j = 0;

	while (i < d->n || j < d->m) {
		if (d->lcs != NULL && i < d->n && j < d->m &&
		    strcmp(d->a[i], d->b[j]) == 0) {
			d->in_hunk = FALSE;
			i++;
			j++;
		} else if (delete_first(d, i, j)) {
			add_line(d, '-', d->a[i], i, j);
			i++;
		} else {
			add_line(d, '+', d->b[j], i, j);
			j++;
		}
	}
}

static void
trim_common_lines(struct diff *d)
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

/* A newline at the end of the text does not start another line. */
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
	gsize table_size;

	d.a = a;
	d.b = b;
	trim_common_lines(&d);
	table_size = ((gsize)d.n + 1) * ((gsize)d.m + 1);
	if (table_size <= LCS_TABLE_MAX) {
		d.lcs = g_new0(uint16_t, table_size);
		fill_lcs(&d);
	}
	append_hunks(&d);
	g_free(d.lcs);
	g_strfreev(a);
	g_strfreev(b);
	return g_string_free(d.out, FALSE);
}
