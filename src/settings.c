#include <sys/socket.h>

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <ini.h>

#include "settings.h"
#include "socket.h"
#include "units.h"

struct parse {
	const char *path;
	FILE *file;
	int line;
	const struct gyp_settings *set;
	int *lines; /* line of each setting, 0 if it has not occurred */
	struct gyp_error *err;
	bool failed;
};

static int
refuse(struct parse *p, const struct gyp_setting *s, const char *value,
    const char *expected)
{
	gyp_fail(p->err, GYP_BAD_INPUT, "%s:%d: [%s] %s = %s: expected %s",
	    p->path, p->line, s->section, s->key, value, expected);
	p->failed = true;
	return 0;
}

static const struct gyp_unit *
units_for(enum gyp_setting_type type)
{
	if (type == GYP_SETTING_MS)
		return gyp_units_ms;
	return type == GYP_SETTING_BYTES ? gyp_units_bytes : gyp_units_none;
}

static char *
describe_number(const struct gyp_setting *s)
{
	static const char *const kinds[] = {
	    [GYP_SETTING_MS] = "a time such as 500ms or 3s",
	    [GYP_SETTING_BYTES] = "a size such as 64KiB, 8MiB or 1GiB",
	    [GYP_SETTING_COUNT] = "a whole number"};

	if (s->max == 0)
		return g_strdup(kinds[s->type]);
	return g_strdup_printf("%s, from %" G_GUINT64_FORMAT
			       " to %" G_GUINT64_FORMAT " %s",
	    kinds[s->type], s->min, s->max,
	    s->type == GYP_SETTING_MS      ? "ms"
	    : s->type == GYP_SETTING_BYTES ? "bytes"
					   : "");
}

static int
set_number(struct parse *p, const struct gyp_setting *s, const char *value)
{
	uint64_t v = 0;
	uint64_t max = s->max != 0                    ? s->max
		       : s->type == GYP_SETTING_BYTES ? UINT64_MAX
						      : UINT32_MAX;

	if (!gyp_units_parse(value, units_for(s->type), &v) || v < s->min ||
	    v > max) {
		char *expected = describe_number(s);

		refuse(p, s, value, expected);
		g_free(expected);
		return 0;
	}
	if (s->type == GYP_SETTING_BYTES)
		*(uint64_t *)s->dest = v;
	else
		*(uint32_t *)s->dest = (uint32_t)v;
	return 1;
}

static bool
is_address(const char *value)
{
	struct sockaddr_storage ss;
	uint32_t len;

	return gyp_address_parse(value, &ss, &len);
}

static void
set_text(const struct gyp_setting *s, const char *value)
{
	char **dest = s->dest;

	g_free(*dest);
	*dest = g_strdup(value);
}

static int
set_addresses(struct parse *p, const struct gyp_setting *s, const char *value)
{
	char **list = g_strsplit(value, ",", -1);
	char ***dest = s->dest;
	size_t i;

	for (i = 0; list[i] != NULL; i++) {
		g_strstrip(list[i]);
		if (!is_address(list[i])) {
			g_strfreev(list);
			return refuse(p, s, value,
			    "ip:port, ip:port, ... with numeric addresses");
		}
	}
	g_strfreev(*dest);
	*dest = list;
	return 1;
}

static bool
is_writable_dir(const char *path)
{
	return g_file_test(path, G_FILE_TEST_IS_DIR) &&
	       access(path, W_OK | X_OK) == 0;
}

/* Returns true if the nearest existing parent directory is writable. */
static bool
can_create_dir(const char *path)
{
	char *parent = g_strdup(path);
	bool ok;

	while (!g_file_test(parent, G_FILE_TEST_EXISTS)) {
		char *next = g_path_get_dirname(parent);

		g_free(parent);
		parent = next;
	}
	ok = is_writable_dir(parent);
	g_free(parent);
	return ok;
}

static int
set_dir(struct parse *p, const struct gyp_setting *s, const char *value)
{
	bool ok = value[0] != '\0';

	if (p->set->create_dirs)
		ok = ok && g_mkdir_with_parents(value, 0700) == 0 &&
		     is_writable_dir(value);
	else
		ok = ok && can_create_dir(value);
	if (!ok)
		return refuse(p, s, value, "a writable directory");
	set_text(s, value);
	return 1;
}

static int
set_value(struct parse *p, const struct gyp_setting *s, const char *value)
{
	switch (s->type) {
	case GYP_SETTING_ADDRESS:
		if (!is_address(value))
			return refuse(
			    p, s, value, "ip:port with a numeric address");
		set_text(s, value);
		return 1;
	case GYP_SETTING_ADDRESSES:
		return set_addresses(p, s, value);
	case GYP_SETTING_DIR:
		return set_dir(p, s, value);
	case GYP_SETTING_MS:
	case GYP_SETTING_BYTES:
	case GYP_SETTING_COUNT:
		return set_number(p, s, value);
	case GYP_SETTING_FLAG:
		if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0)
			return refuse(p, s, value, "yes or no");
		*(bool *)s->dest = strcmp(value, "yes") == 0;
		return 1;
	case GYP_SETTING_TEXT:
	default:
		if (value[0] == '\0')
			return refuse(p, s, value, "a value that is not empty");
		set_text(s, value);
		return 1;
	}
}

static int
on_value(void *user, const char *section, const char *key, const char *value)
{
	struct parse *p = user;
	size_t i;

	if (p->failed)
		return 0;
	for (i = 0; i < p->set->n; i++) {
		const struct gyp_setting *s = &p->set->table[i];

		if (strcmp(s->section, section) != 0 ||
		    strcmp(s->key, key) != 0)
			continue;
		if (p->lines[i] != 0)
			return refuse(p, s, value, "the key only once");
		p->lines[i] = p->line;
		return set_value(p, s, value);
	}
	gyp_fail(p->err, GYP_BAD_INPUT, "%s:%d: [%s] %s: unknown setting",
	    p->path, p->line, section, key);
	p->failed = true;
	return 0;
}

/* Reads a line for the INI parser, and counts lines for error messages. */
static char *
read_line(char *str, int num, void *stream)
{
	struct parse *p = stream;
	char *line = fgets(str, num, p->file);

	p->line++;
	/* The parser would read the rest as another line. */
	if (line != NULL && strlen(line) == (size_t)num - 1 &&
	    line[num - 2] != '\n' && !p->failed) {
		gyp_fail(p->err, GYP_BAD_INPUT,
		    "%s:%d: expected a line of at most %d bytes", p->path,
		    p->line, num - 2);
		p->failed = true;
		return NULL;
	}
	return line;
}

static void
check_required(struct parse *p)
{
	size_t i;

	for (i = 0; i < p->set->n && !p->failed; i++) {
		if (!p->set->table[i].required || p->lines[i] != 0)
			continue;
		gyp_fail(p->err, GYP_BAD_INPUT,
		    "%s:%d: [%s] %s: missing, no default value", p->path,
		    p->line, p->set->table[i].section, p->set->table[i].key);
		p->failed = true;
	}
}

static size_t
find_setting(const struct gyp_settings *set, const uint32_t *dest)
{
	size_t i;

	for (i = 0; i < set->n; i++) {
		if (set->table[i].dest == (const void *)dest)
			break;
	}
	g_assert(i < set->n);
	return i;
}

static void
check_constraint(
    struct parse *p, const struct gyp_setting_constraint *constraint)
{
	size_t smaller = find_setting(p->set, constraint->smaller);
	size_t larger = find_setting(p->set, constraint->larger);
	const struct gyp_setting *s = &p->set->table[smaller];

	if (*constraint->smaller < *constraint->larger || p->failed)
		return;
	gyp_fail(p->err, GYP_BAD_INPUT,
	    "%s:%d: [%s] %s = %u: expected less than %s, which is %u%s",
	    p->path,
	    p->lines[smaller] != 0  ? p->lines[smaller]
	    : p->lines[larger] != 0 ? p->lines[larger]
				    : p->line,
	    s->section, s->key, *constraint->smaller, p->set->table[larger].key,
	    *constraint->larger, s->type == GYP_SETTING_MS ? " (in ms)" : "");
	p->failed = true;
}

enum gyp_status
gyp_settings_load(
    const char *path, const struct gyp_settings *set, struct gyp_error *err)
{
	struct parse p = {.path = path, .set = set, .err = err};
	size_t i;
	int rc;

	p.file = fopen(path, "re");
	if (p.file == NULL)
		return gyp_fail(err, GYP_IO, "%s: %s", path, g_strerror(errno));
	p.lines = g_new0(int, set->n);
	rc = ini_parse_stream(read_line, &p, on_value, &p);
	fclose(p.file);
	if (rc != 0 && !p.failed) {
		gyp_fail(err, GYP_BAD_INPUT,
		    "%s:%d: expected [section] or key = value", path, rc);
		p.failed = true;
	}
	check_required(&p);
	for (i = 0; i < set->n_constraints; i++)
		check_constraint(&p, &set->constraints[i]);
	g_free(p.lines);
	return p.failed ? GYP_BAD_INPUT : GYP_OK;
}

void
gyp_settings_replace_port(char **addresses, uint32_t port)
{
	for (; port != 0 && addresses != NULL && *addresses != NULL;
	     addresses++) {
		char *colon = strrchr(*addresses, ':');
		char *ip = g_strndup(*addresses, (gsize)(colon - *addresses));

		g_free(*addresses);
		*addresses = g_strdup_printf("%s:%u", ip, port);
		g_free(ip);
	}
}

void
gyp_settings_clear(const struct gyp_setting *table, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		switch (table[i].type) {
		case GYP_SETTING_TEXT:
		case GYP_SETTING_ADDRESS:
		case GYP_SETTING_DIR:
			g_clear_pointer((char **)table[i].dest, g_free);
			break;
		case GYP_SETTING_ADDRESSES:
			g_clear_pointer((char ***)table[i].dest, g_strfreev);
			break;
		default:
			break;
		}
	}
}
