#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "buf.h"
#include "data_dir.h"
#include "store.h"

struct segment {
	uint64_t number;
	uint64_t last_index; /* highest log index in it */
};

struct write_request {
	struct gyp_record rec;
	bool stop;
};

/* Result of a batch, passed from the writer thread to the loop's thread. */
struct write_result {
	uint64_t seq;
	struct gyp_error err;
};

struct gyp_store {
	char *dir;
	struct gyp_files *files;
	int lock_fd;
	uint64_t id;
	bool is_new;
	GArray *segments; /* struct segment, the current one last */
	int fd;           /* of the current segment */
	char *path;
	struct gyp_wal_header header;
	struct gyp_record vote; /* newest vote record */
	GArray *unsynced;       /* struct gyp_record, read but not durable */
	uint64_t last_seq;      /* sequence number of the last record taken */
	gint failed;            /* atomic */

	struct ev_loop *loop;
	ev_async results_ready;
	struct gyp_store_owner *owner;
	GThread *thread;
	GAsyncQueue *requests; /* struct write_request */
	GAsyncQueue *results;  /* struct write_result */
};

/* ---- Opening ------------------------------------------------------------ */

static void
free_record(gpointer p)
{
	struct gyp_record *rec = p;

	if (rec->data != NULL)
		g_bytes_unref(rec->data);
}

struct gyp_store *
gyp_store_open(const char *dir, struct gyp_files *files, struct gyp_error *err)
{
	return gyp_store_open_with_id(dir, files, 0, err);
}

struct gyp_store *
gyp_store_open_with_id(const char *dir, struct gyp_files *files,
    uint64_t initial_id, struct gyp_error *err)
{
	struct gyp_store *s = g_new0(struct gyp_store, 1);

	s->dir = g_strdup(dir);
	s->id = initial_id;
	s->files = files;
	s->fd = -1;
	s->lock_fd = -1;
	s->vote.type = GYP_RECORD_VOTE;
	s->segments = g_array_new(FALSE, FALSE, sizeof(struct segment));
	s->unsynced = g_array_new(FALSE, FALSE, sizeof(struct gyp_record));
	g_array_set_clear_func(s->unsynced, free_record);
	s->requests = g_async_queue_new();
	s->results = g_async_queue_new_full(g_free);
	if (gyp_data_dir_lock(files, dir, &s->lock_fd, err) != GYP_OK ||
	    gyp_data_dir_open_identity(files, dir, &s->id, &s->is_new, err) !=
		GYP_OK) {
		gyp_store_close(s);
		return NULL;
	}
	return s;
}

uint64_t
gyp_store_id(const struct gyp_store *s)
{
	return s->id;
}

bool
gyp_store_is_new(const struct gyp_store *s)
{
	return s->is_new;
}

/* ---- Segments ----------------------------------------------------------- */

static struct segment *
current_segment(struct gyp_store *s)
{
	return &g_array_index(
	    s->segments, struct segment, s->segments->len - 1);
}

static void
track_record(
    struct gyp_store *s, struct segment *seg, const struct gyp_record *rec)
{
	if (rec->type == GYP_RECORD_ENTRY)
		seg->last_index = MAX(seg->last_index, rec->index);
	if (rec->type == GYP_RECORD_VOTE) {
		s->vote = *rec;
		s->vote.data = NULL;
	}
}

/*
 * Overwrites the segment's sync mark. It is not synced itself: it may lag
 * behind after a power failure, see wal.h.
 */
static enum gyp_status
write_sync_mark(struct gyp_store *s, struct gyp_error *err)
{
	uint8_t mark[GYP_WAL_SYNC_MARK_BYTES];

	gyp_wal_put_sync_mark(mark, &s->header);
	if (s->files->ops->pwrite(s->files, s->fd, mark, sizeof(mark),
		GYP_WAL_SYNC_MARK_OFFSET) != (ssize_t)sizeof(mark))
		return gyp_file_fail(err, "write", s->path);
	return GYP_OK;
}

/* Opens a segment for appending. */
static enum gyp_status
open_segment(struct gyp_store *s, uint64_t number, struct gyp_error *err)
{
	g_free(s->path);
	s->path = gyp_data_dir_segment_path(s->dir, number);
	s->fd = s->files->ops->open(s->files, s->path, O_WRONLY);
	if (s->fd < 0 || lseek(s->fd, 0, SEEK_END) < 0)
		return gyp_file_fail(err, "open", s->path);
	return GYP_OK;
}

/*
 * Seals the current segment, which is not open after a restart, and continues
 * with the next one.
 */
static enum gyp_status
switch_segment(
    struct gyp_store *s, const struct gyp_wal_header *h, struct gyp_error *err)
{
	enum gyp_status st = GYP_OK;

	if (s->fd < 0)
		st = open_segment(s, s->header.number, err);
	s->header.sealed = true;
	if (st == GYP_OK)
		st = write_sync_mark(s, err);
	if (s->fd >= 0)
		close(s->fd);
	s->fd = -1;
	s->header = *h;
	return st == GYP_OK ? open_segment(s, h->number, err) : st;
}

/*
 * Starts the next segment. It begins with the newest vote and, after a restart,
 * with the records that were read but are not known to be synced. It gets its
 * name only when all of these are durable.
 */
static enum gyp_status
rotate_segment(struct gyp_store *s, struct gyp_error *err)
{
	struct gyp_wal_header h = {.number = s->header.number + 1,
	    .previous_synced = s->header.synced,
	    .salt = g_random_int()};
	struct segment seg = {.number = h.number};
	struct gyp_buf buf = {NULL, 0, 0};
	struct gyp_slice all;
	char *name = g_strdup_printf("log.%" G_GUINT64_FORMAT, h.number);
	enum gyp_status st;
	guint i;

	gyp_buf_extend(&buf, GYP_WAL_HEADER_BYTES);
	gyp_wal_encode(&buf, &s->vote, h.salt, 0);
	for (i = 0; i < s->unsynced->len; i++) {
		const struct gyp_record *rec =
		    &g_array_index(s->unsynced, struct gyp_record, i);

		gyp_wal_encode(&buf, rec, h.salt, 0);
		track_record(s, &seg, rec);
	}
	h.synced = buf.len;
	gyp_wal_put_header(buf.data, &h);
	all.data = buf.data;
	all.len = buf.len;
	st = gyp_file_replace(s->files, s->dir, name, all, err);
	gyp_buf_clear(&buf);
	g_free(name);
	if (st != GYP_OK)
		return st;
	g_array_set_size(s->unsynced, 0);
	g_array_append_val(s->segments, seg);
	return switch_segment(s, &h, err);
}

static void
drop_segments_before(struct gyp_store *s, uint64_t first)
{
	while (g_array_index(s->segments, struct segment, 0).number < first) {
		char *path = gyp_data_dir_segment_path(s->dir,
		    g_array_index(s->segments, struct segment, 0).number);

		s->files->ops->unlink(s->files, path);
		g_free(path);
		g_array_remove_index(s->segments, 0);
	}
}

/* ---- Replay ------------------------------------------------------------- */

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
		track_record(s, seg, &rec);
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
	free_record(&rec);
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
gyp_store_replay(
    struct gyp_store *s, gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	uint64_t first;
	enum gyp_status st = replay_snapshot(s, fn, arg, &first, err);

	if (st == GYP_OK)
		st = list_segments(s, first, err);
	if (st == GYP_OK)
		st = replay_segments(s, fn, arg, err);
	if (st == GYP_OK)
		st = rotate_segment(s, err);
	return st;
}

/* ---- Writer thread ------------------------------------------------------ */

/*
 * Returns the first segment to keep after a snapshot: the first one that has
 * entries which the snapshot does not cover. A snapshot received from another
 * replica (kind 1) voids all older entries: only the current segment is kept.
 */
static uint64_t
first_needed_segment(const struct gyp_store *s, const struct gyp_record *rec)
{
	guint i;

	for (i = 0; i + 1 < s->segments->len && rec->kind == 0; i++) {
		const struct segment *seg =
		    &g_array_index(s->segments, struct segment, i);

		if (seg->last_index > rec->index)
			return seg->number;
	}
	return s->header.number;
}

static enum gyp_status
write_snapshot(
    struct gyp_store *s, const struct gyp_record *rec, struct gyp_error *err)
{
	uint64_t first;
	enum gyp_status st = rotate_segment(s, err);

	if (st != GYP_OK)
		return st;
	first = first_needed_segment(s, rec);
	st = gyp_data_dir_write_snapshot(
	    s->files, s->dir, rec->data, first, err);
	if (st == GYP_OK)
		drop_segments_before(s, first);
	return st;
}

static enum gyp_status
flush(struct gyp_store *s, struct gyp_buf *buf, struct gyp_error *err)
{
	struct gyp_slice all = {buf->data, buf->len};
	enum gyp_status st;

	if (buf->len == 0)
		return GYP_OK;
	st = gyp_file_write(s->files, s->fd, s->path, all, err);
	if (st == GYP_OK && s->files->ops->datasync(s->files, s->fd) != 0)
		st = gyp_file_fail(err, "sync", s->path);
	if (st == GYP_OK) {
		s->header.synced += buf->len;
		st = write_sync_mark(s, err);
	}
	gyp_buf_clear(buf);
	return st;
}

static enum gyp_status
write_record(struct gyp_store *s, struct gyp_buf *buf,
    const struct gyp_record *rec, struct gyp_error *err)
{
	enum gyp_status st;

	s->last_seq++;
	if (rec->type != GYP_RECORD_SNAPSHOT) {
		track_record(s, current_segment(s), rec);
		gyp_wal_encode(buf, rec, s->header.salt, s->header.synced);
		return GYP_OK;
	}
	st = flush(s, buf, err);
	return st == GYP_OK ? write_snapshot(s, rec, err) : st;
}

static void
free_request(gpointer p)
{
	struct write_request *req = p;

	free_record(&req->rec);
	g_free(req);
}

static void
post_result(struct gyp_store *s, const struct gyp_error *err)
{
	struct write_result *result = g_new0(struct write_result, 1);

	result->seq = s->last_seq;
	result->err = *err;
	g_async_queue_push(s->results, result);
	ev_async_send(s->loop, &s->results_ready);
}

/* Writes all queued records as one batch; false on a request to stop. */
static bool
write_batch(struct gyp_store *s, struct gyp_error *err)
{
	struct gyp_buf buf = {NULL, 0, 0};
	struct write_request *req = g_async_queue_pop(s->requests);
	bool more = true;

	while (req != NULL && err->code == GYP_OK) {
		if (req->stop)
			more = false;
		else
			write_record(s, &buf, &req->rec, err);
		free_request(req);
		req = more ? g_async_queue_try_pop(s->requests) : NULL;
	}
	if (req != NULL)
		free_request(req);
	if (err->code == GYP_OK)
		flush(s, &buf, err);
	gyp_buf_clear(&buf);
	if (err->code != GYP_OK)
		g_atomic_int_set(&s->failed, 1);
	post_result(s, err);
	return more;
}

static gpointer
run_writer(gpointer p)
{
	struct gyp_store *s = p;
	struct gyp_error err = {.code = GYP_OK};

	while (err.code == GYP_OK && write_batch(s, &err))
		continue;
	return NULL;
}

static void
on_results_ready(struct ev_loop *loop, ev_async *w, int revents)
{
	struct gyp_store *s = w->data;
	struct write_result *result;

	(void)loop;
	(void)revents;
	while ((result = g_async_queue_try_pop(s->results)) != NULL) {
		if (result->err.code == GYP_OK)
			s->owner->ops->synced(s->owner, result->seq);
		else
			s->owner->ops->failed(s->owner, &result->err);
		g_free(result);
	}
}

void
gyp_store_start(
    struct gyp_store *s, struct ev_loop *loop, struct gyp_store_owner *owner)
{
	s->loop = loop;
	s->owner = owner;
	ev_async_init(&s->results_ready, on_results_ready);
	s->results_ready.data = s;
	ev_async_start(loop, &s->results_ready);
	s->thread = g_thread_new("store", run_writer, s);
}

void
gyp_store_append(struct gyp_store *s, const struct gyp_record *rec)
{
	struct write_request *req;

	if (g_atomic_int_get(&s->failed))
		return;
	req = g_new0(struct write_request, 1);
	req->rec = *rec;
	if (req->rec.data != NULL)
		g_bytes_ref(req->rec.data);
	g_async_queue_push(s->requests, req);
}

void
gyp_store_close(struct gyp_store *s)
{
	struct write_request *req;

	if (s->thread != NULL) {
		req = g_new0(struct write_request, 1);
		req->stop = true;
		g_async_queue_push(s->requests, req);
		g_thread_join(s->thread);
		ev_async_stop(s->loop, &s->results_ready);
	}
	while ((req = g_async_queue_try_pop(s->requests)) != NULL)
		free_request(req);
	g_async_queue_unref(s->requests);
	g_async_queue_unref(s->results);
	if (s->fd >= 0)
		close(s->fd);
	if (s->lock_fd >= 0)
		close(s->lock_fd);
	g_array_free(s->segments, TRUE);
	g_array_free(s->unsynced, TRUE);
	g_free(s->path);
	g_free(s->dir);
	g_free(s);
}
