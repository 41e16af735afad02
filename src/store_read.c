#include <glib.h>

#include "store_int.h"

/* ---- Segments ----------------------------------------------------------- */

/* A segment read into memory. */
struct loaded_segment {
	struct gyp_buf buf;
	struct gyp_wal_header header;
};

static enum gyp_status
load_segment(struct gyp_store *s, guint i, struct loaded_segment *l,
    struct gyp_error *err)
{
	l->buf.len = 0;
	return gyp_data_dir_read_segment(s->dir,
	    g_array_index(s->segments, struct segment, i).number, &l->buf,
	    &l->header, err);
}

/*
 * Finds the end of the valid records. A segment that has a successor must be
 * valid up to the length in the successor's header; any records past that were
 * copied to the successor.
 */
static enum gyp_status
check_segment(struct gyp_store *s, struct loaded_segment *l,
    const struct loaded_segment *next, size_t *end, struct gyp_error *err)
{
	struct gyp_slice all = {l->buf.data, l->buf.len};
	struct gyp_error cause = {.code = GYP_OK};
	char *path = gyp_data_dir_segment_path(s->dir, l->header.number);
	enum gyp_status st;

	if (next != NULL) {
		l->header.synced =
		    MAX(l->header.synced, next->header.previous_synced);
		all.len = MIN(all.len, next->header.previous_synced);
	}
	st = gyp_wal_check(all, &l->header, end, &cause);
	if (st == GYP_OK && next == NULL && l->header.sealed)
		st = gyp_fail(&cause, GYP_CORRUPT,
		    "log.%" G_GUINT64_FORMAT " is missing after it",
		    l->header.number + 1);
	if (st != GYP_OK)
		gyp_fail(err, st, "%s: %s", path, cause.message);
	g_free(path);
	return st;
}

/* Passes the records to fn; collects those past the synced length. */
static void
deliver_records(struct gyp_store *s, struct segment *seg,
    const struct loaded_segment *l, size_t end, gyp_record_fn fn, void *arg)
{
	struct gyp_slice remaining = {
	    l->buf.data + GYP_WAL_HEADER_BYTES, end - GYP_WAL_HEADER_BYTES};

	while (remaining.len > 0) {
		struct gyp_record rec = {.type = GYP_RECORD_VOTE};
		uint64_t synced;
		size_t n =
		    gyp_wal_decode(remaining, l->header.salt, &rec, &synced);

		g_assert(n > 0);
		gyp_store_track_record(s, seg, &rec);
		fn(arg, &rec);
		if (end - remaining.len >= l->header.synced)
			g_array_append_val(s->unsynced, rec);
		else
			g_bytes_unref(rec.data);
		remaining.data += n;
		remaining.len -= n;
	}
}

static enum gyp_status
replay_segments(
    struct gyp_store *s, gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	struct loaded_segment pair[2] = {
	    {{NULL, 0, 0}, {0}}, {{NULL, 0, 0}, {0}}};
	enum gyp_status st = load_segment(s, 0, &pair[0], err);
	guint i;

	for (i = 0; st == GYP_OK && i < s->segments->len; i++) {
		struct loaded_segment *l = &pair[i % 2], *next = NULL;
		size_t end = 0;

		if (i + 1 < s->segments->len) {
			next = &pair[(i + 1) % 2];
			st = load_segment(s, i + 1, next, err);
		}
		if (st == GYP_OK)
			st = check_segment(s, l, next, &end, err);
		if (st != GYP_OK)
			break;
		deliver_records(s,
		    &g_array_index(s->segments, struct segment, i), l, end, fn,
		    arg);
		s->header = l->header;
	}
	gyp_buf_clear(&pair[0].buf);
	gyp_buf_clear(&pair[1].buf);
	return st;
}

static enum gyp_status
replay_snapshot(struct gyp_store *s, gyp_record_fn fn, void *arg,
    uint64_t *first, struct gyp_error *err)
{
	struct gyp_record rec = {.type = GYP_RECORD_SNAPSHOT};
	enum gyp_status st =
	    gyp_data_dir_read_snapshot(s->dir, &rec.data, first, err);

	if (st == GYP_OK && rec.data != NULL)
		fn(arg, &rec);
	if (rec.data != NULL)
		g_bytes_unref(rec.data);
	return st;
}

static enum gyp_status
list_segments(struct gyp_store *s, uint64_t first, struct gyp_error *err)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	enum gyp_status st =
	    gyp_data_dir_list_segments(s->files, s->dir, first, numbers, err);
	guint i;

	for (i = 0; i < numbers->len; i++) {
		struct segment seg = {
		    .number = g_array_index(numbers, uint64_t, i)};

		g_array_append_val(s->segments, seg);
	}
	g_array_free(numbers, TRUE);
	return st;
}

enum gyp_status
gyp_store_read(
    struct gyp_store *s, gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	uint64_t first;
	enum gyp_status st = replay_snapshot(s, fn, arg, &first, err);

	if (st == GYP_OK)
		st = list_segments(s, first, err);
	if (st == GYP_OK)
		st = replay_segments(s, fn, arg, err);
	return st;
}
