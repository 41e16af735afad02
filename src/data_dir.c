#include <sys/stat.h>

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "data_dir.h"

static const char snapshot_magic[8] = {'g', 'y', 'p', 's', 'n', 'a', 'p', '1'};

/* Digits of an id and of its checksum; the blank between, and the newline. */
#define IDENTITY_BYTES (16 + 8 + 2)

#define SEGMENT_PREFIX "log."

/* Reads a file that may be absent, which is not an error. */
static enum gyp_status
read_optional(
    const char *path, struct gyp_buf *buf, bool *found, struct gyp_error *err)
{
	struct gyp_error cause = {.code = GYP_OK};
	enum gyp_status st = gyp_file_read(path, buf, &cause);

	*found = st != GYP_NOT_FOUND;
	if (st == GYP_NOT_FOUND || st == GYP_OK)
		return GYP_OK;
	return gyp_fail(err, st, "%s", cause.message);
}

/* ---- Lock --------------------------------------------------------------- */

enum gyp_status
gyp_data_dir_lock(
    struct gyp_files *f, const char *dir, int *fd, struct gyp_error *err)
{
	struct flock lock = {.l_type = F_WRLCK, .l_whence = SEEK_SET};
	enum gyp_status st = GYP_OK;
	char *path;

	if (g_mkdir_with_parents(dir, 0700) != 0)
		return gyp_file_fail(err, "create", dir);
	path = g_build_filename(dir, "lock", NULL);
	*fd = f->ops->open(f, path, O_RDWR | O_CREAT);
	if (*fd < 0)
		st = gyp_file_fail(err, "open", path);
	else if (fcntl(*fd, F_OFD_SETLK, &lock) != 0)
		st = gyp_fail(err, GYP_CONFLICT,
		    "%s: another process uses this folder", path);
	g_free(path);
	return st;
}

/* ---- Identity ----------------------------------------------------------- */

static uint64_t
random_id(void)
{
	uint64_t id = 0;

	while (id == 0)
		id = ((uint64_t)g_random_int() << 32) | g_random_int();
	return id;
}

static uint32_t
text_checksum(const char *text, size_t len)
{
	struct gyp_slice s = {(const uint8_t *)text, len};

	return gyp_crc32(s);
}

static char *
identity_text(uint64_t id)
{
	char digits[17];

	g_snprintf(digits, sizeof(digits), "%016" G_GINT64_MODIFIER "x", id);
	return g_strdup_printf("%s %08x\n", digits, text_checksum(digits, 16));
}

static enum gyp_status
parse_identity(const char *path, const struct gyp_buf *buf, uint64_t *id,
    struct gyp_error *err)
{
	char digits[17] = "";
	char *expected;
	bool same;

	if (buf->len == IDENTITY_BYTES)
		memcpy(digits, buf->data, 16);
	*id = g_ascii_strtoull(digits, NULL, 16);
	expected = identity_text(*id);
	same = *id != 0 && buf->len == IDENTITY_BYTES &&
	       memcmp(expected, buf->data, buf->len) == 0;
	g_free(expected);
	if (!same)
		return gyp_fail(err, GYP_CORRUPT,
		    "%s: malformed replica id or wrong checksum", path);
	return GYP_OK;
}

/* Returns whether there are files that require an identity. */
static bool
contains_data(const char *dir)
{
	char *snapshot = g_build_filename(dir, "snapshot", NULL);
	char *second = gyp_data_dir_segment_path(dir, 2);
	char *first = gyp_data_dir_segment_path(dir, 1);
	struct stat sb;
	bool found =
	    g_file_test(snapshot, G_FILE_TEST_EXISTS) ||
	    g_file_test(second, G_FILE_TEST_EXISTS) ||
	    (stat(first, &sb) == 0 && sb.st_size != GYP_WAL_HEADER_BYTES);

	g_free(snapshot);
	g_free(second);
	g_free(first);
	return found;
}

/*
 * Syncs all directories above this one, up to the first in which this process
 * cannot have created any: else a power failure could remove the data directory
 * with all its files. Those that exist may be new as well: reading the settings
 * creates them, and an earlier start may have been killed before the sync.
 */
static enum gyp_status
sync_parents(struct gyp_files *f, const char *dir, struct gyp_error *err)
{
	char *path = g_canonicalize_filename(dir, NULL);
	enum gyp_status st = GYP_OK;
	bool done = false;

	while (!done && st == GYP_OK) {
		char *parent = g_path_get_dirname(path);

		done = strcmp(parent, path) == 0 || access(parent, W_OK) != 0;
		if (!done)
			st = gyp_file_sync_dir(f, parent, err);
		g_free(path);
		path = parent;
	}
	g_free(path);
	return st;
}

/*
 * Syncs the parent directories first, so that an identity shows that this was
 * done. Writes the first segment before the identity, so that an identity
 * without a log shows that the log was lost: this replica must not vote again.
 */
static enum gyp_status
create_identity(
    struct gyp_files *f, const char *dir, uint64_t *id, struct gyp_error *err)
{
	struct gyp_wal_header h = {.number = 1,
	    .salt = g_random_int(),
	    .synced = GYP_WAL_HEADER_BYTES};
	uint8_t header[GYP_WAL_HEADER_BYTES];
	struct gyp_slice s = {header, sizeof(header)};
	enum gyp_status st;
	char *text;

	if (contains_data(dir))
		return gyp_fail(
		    err, GYP_CORRUPT, "%s: holds a log but no identity", dir);
	st = sync_parents(f, dir, err);
	if (st != GYP_OK)
		return st;
	gyp_wal_put_header(header, &h);
	st = gyp_file_replace(f, dir, SEGMENT_PREFIX "1", s, err);
	if (st != GYP_OK)
		return st;
	if (*id == 0)
		*id = random_id();
	text = identity_text(*id);
	s.data = (const uint8_t *)text;
	s.len = strlen(text);
	st = gyp_file_replace(f, dir, "identity", s, err);
	g_free(text);
	return st;
}

enum gyp_status
gyp_data_dir_open_identity(struct gyp_files *f, const char *dir, uint64_t *id,
    bool *is_new, struct gyp_error *err)
{
	char *path = g_build_filename(dir, "identity", NULL);
	struct gyp_buf buf = {NULL, 0, 0};
	bool found;
	enum gyp_status st = read_optional(path, &buf, &found, err);

	*is_new = !found;
	if (st == GYP_OK)
		st = found ? parse_identity(path, &buf, id, err)
			   : create_identity(f, dir, id, err);
	gyp_buf_clear(&buf);
	g_free(path);
	return st;
}

/* ---- Segments ----------------------------------------------------------- */

char *
gyp_data_dir_segment_path(const char *dir, uint64_t number)
{
	return g_strdup_printf(
	    "%s/" SEGMENT_PREFIX "%" G_GUINT64_FORMAT, dir, number);
}

/* Returns the number in a segment's file name, or 0 for another file. */
static uint64_t
segment_number(const char *name)
{
	guint64 number = 0;

	if (!g_str_has_prefix(name, SEGMENT_PREFIX) ||
	    !g_ascii_string_to_unsigned(name + strlen(SEGMENT_PREFIX), 10, 1,
		G_MAXUINT64, &number, NULL))
		return 0;
	return number;
}

static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static enum gyp_status
list_files(struct gyp_files *f, const char *dir, uint64_t first,
    GArray *numbers, struct gyp_error *err)
{
	GError *error = NULL;
	GDir *listing = g_dir_open(dir, 0, &error);
	const char *name;

	if (listing == NULL) {
		gyp_fail(err, GYP_IO, "%s", error->message);
		g_error_free(error);
		return GYP_IO;
	}
	while ((name = g_dir_read_name(listing)) != NULL) {
		uint64_t number = segment_number(name);
		char *path = g_build_filename(dir, name, NULL);

		if (g_str_has_suffix(name, ".tmp") ||
		    (number > 0 && number < first))
			f->ops->unlink(f, path);
		else if (number > 0)
			g_array_append_val(numbers, number);
		g_free(path);
	}
	g_dir_close(listing);
	return GYP_OK;
}

enum gyp_status
gyp_data_dir_list_segments(struct gyp_files *f, const char *dir, uint64_t first,
    GArray *numbers, struct gyp_error *err)
{
	enum gyp_status st = list_files(f, dir, first, numbers, err);
	guint i;

	if (st != GYP_OK)
		return st;
	g_array_sort(numbers, compare_numbers);
	for (i = 0; i < MAX(numbers->len, 1); i++) {
		if (i < numbers->len &&
		    g_array_index(numbers, uint64_t, i) == first + i)
			continue;
		return gyp_fail(err, GYP_CORRUPT,
		    "%s/" SEGMENT_PREFIX "%" G_GUINT64_FORMAT " is missing",
		    dir, first + i);
	}
	return GYP_OK;
}

enum gyp_status
gyp_data_dir_read_segment(const char *dir, uint64_t number, struct gyp_buf *buf,
    struct gyp_wal_header *h, struct gyp_error *err)
{
	char *path = gyp_data_dir_segment_path(dir, number);
	enum gyp_status st = gyp_file_read(path, buf, err);
	struct gyp_slice s = {buf->data, buf->len};

	if (st == GYP_OK && (!gyp_wal_get_header(s, h) || h->number != number))
		st = gyp_fail(
		    err, GYP_CORRUPT, "%s: bad header at byte 0", path);
	g_free(path);
	return st;
}

/* ---- Space -------------------------------------------------------------- */

enum gyp_status
gyp_data_dir_probe_space(
    struct gyp_files *f, const char *dir, size_t bytes, struct gyp_error *err)
{
	char *path = g_build_filename(dir, "space.tmp", NULL);
	struct gyp_buf buf = {NULL, 0, 0};
	struct gyp_slice s = {
	    memset(gyp_buf_extend(&buf, bytes), 0, bytes), bytes};
	enum gyp_status st = gyp_file_create(f, path, s, err);

	f->ops->unlink(f, path);
	gyp_buf_clear(&buf);
	g_free(path);
	return st;
}

/* ---- Snapshot ----------------------------------------------------------- */

enum gyp_status
gyp_data_dir_read_snapshot(
    const char *dir, GBytes **body, uint64_t *first, struct gyp_error *err)
{
	char *path = g_build_filename(dir, "snapshot", NULL);
	struct gyp_buf buf = {NULL, 0, 0};
	struct gyp_slice rest;
	bool found;
	enum gyp_status st = read_optional(path, &buf, &found, err);

	*body = NULL;
	*first = 1;
	if (!found) {
		g_free(path);
		return GYP_OK;
	}
	if (st == GYP_OK && buf.len >= GYP_SNAPSHOT_HEADER_BYTES &&
	    memcmp(buf.data, snapshot_magic, sizeof(snapshot_magic)) == 0) {
		rest.data = buf.data + 12;
		rest.len = buf.len - 12;
		if (gyp_crc32(rest) == gyp_get_u32(buf.data + 8)) {
			*first = gyp_wal_get_u64(rest.data);
			*body = g_bytes_new(rest.data + 8, rest.len - 8);
		}
	}
	if (st == GYP_OK && *body == NULL)
		st = gyp_fail(err, GYP_CORRUPT,
		    "%s: bad header or checksum, file has %zu bytes", path,
		    buf.len);
	gyp_buf_clear(&buf);
	g_free(path);
	return st;
}

enum gyp_status
gyp_data_dir_write_snapshot(struct gyp_files *f, const char *dir, GBytes *body,
    uint64_t first, struct gyp_error *err)
{
	struct gyp_buf buf = {NULL, 0, 0};
	struct gyp_slice s;
	gsize len;
	const void *data = g_bytes_get_data(body, &len);
	uint8_t *p = gyp_buf_extend(&buf, GYP_SNAPSHOT_HEADER_BYTES);
	enum gyp_status st;

	memcpy(p, snapshot_magic, sizeof(snapshot_magic));
	gyp_wal_put_u64(p + 12, first);
	gyp_buf_append(&buf, data, len);
	s.data = buf.data + 12;
	s.len = buf.len - 12;
	gyp_put_u32(buf.data + 8, gyp_crc32(s));
	s.data = buf.data;
	s.len = buf.len;
	st = gyp_file_replace(f, dir, "snapshot", s, err);
	gyp_buf_clear(&buf);
	return st;
}
