#ifndef GYP_TEXTDIFF_H
#define GYP_TEXTDIFF_H

/*
 * NAME
 *	textdiff - lines that differ between two texts
 *
 * DESCRIPTION
 *	Each hunk starts with "@@ -LINE +LINE @@", the number of its first line
 *	in the old and in the new text; "-" marks lines of the old text and "+"
 *	lines of the new. There are no lines of context.
 */

/* Returns "" if the texts are equal. The caller frees the result. */
char *gyp_textdiff(const char *old_text, const char *new_text);

#endif
