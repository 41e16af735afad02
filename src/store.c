#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "store_int.h"

/*
 * When there is no space: the time until the next attempt, in ms, and the bytes
 * that must fit beside the records. Without these spare bytes a replica would
 * resume, lead and fail again within a second.
 */
#define RETRY_INTERVAL_MS 1000
#define RETRY_SPARE_BYTES (4 * 1024 * 1024)

struct write_request {
	struct gyp_record rec;
	bool stop;
};

enum write_event { WRITE_SYNCED, WRITE_FAILED, WRITE_FULL, WRITE_RECOVERED };

/* Passed from the writer thread to the loop's thread. */
struct write_result {
	enum write_event event;
	uint64_t seq;
	struct gyp_error err;
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
	s->retry_ms = RETRY_INTERVAL_MS;
	s->spare_bytes = RETRY_SPARE_BYTES;
	g_mutex_init(&s->lock);
	g_cond_init(&s->close_requested);
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

void
gyp_store_track_record(
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
 * behind after a power failure, see wal.h. It may therefore stay as it is when
 * there is no space for a copy of its block.
 */
static enum gyp_status
write_sync_mark(struct gyp_store *s, struct gyp_error *err)
{
	uint8_t mark[GYP_WAL_SYNC_MARK_BYTES];
	struct gyp_error cause = {.code = GYP_OK};
	ssize_t n;

	gyp_wal_put_sync_mark(mark, &s->header);
	n = s->files->ops->pwrite(
	    s->files, s->fd, mark, sizeof(mark), GYP_WAL_SYNC_MARK_OFFSET);
	if (n == (ssize_t)sizeof(mark))
		return GYP_OK;
	if (n >= 0)
		errno = EIO; /* torn */
	if (gyp_file_fail(&cause, "write", s->path) == GYP_FULL)
		return GYP_OK;
	*err = cause;
	return cause.code;
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
 * Starts the next segment. It begins with the newest vote and the records that
 * are not known to be synced: those read after a restart, or those of a write
 * for which there was no space. It gets its name only when all of these are
 * durable. After GYP_FULL it can be called again.
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
		gyp_store_track_record(s, &seg, rec);
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

enum gyp_status
gyp_store_replay(
    struct gyp_store *s, gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	enum gyp_status st = gyp_store_read(s, fn, arg, err);

	if (st == GYP_OK)
		st = rotate_segment(s, err);
	if (st != GYP_FULL)
		return st;
	s->full = true; /* the writer thread tries again */
	if (err != NULL)
		err->code = GYP_OK;
	return GYP_OK;
}

bool
gyp_store_is_full(const struct gyp_store *s)
{
	return s->full;
}

void
gyp_store_set_retry(
    struct gyp_store *s, uint32_t interval_ms, size_t spare_bytes)
{
	s->retry_ms = interval_ms;
	s->spare_bytes = spare_bytes;
}

/* ---- Waiting for space -------------------------------------------------- */

static void
post_result(
    struct gyp_store *s, enum write_event event, const struct gyp_error *err)
{
	struct write_result *result = g_new0(struct write_result, 1);

	result->event = event;
	result->seq = s->last_seq;
	result->err = *err;
	g_async_queue_push(s->results, result);
	ev_async_send(s->loop, &s->results_ready);
}

/* Waits for the next attempt; false when the store closes. */
static bool
wait_for_retry(struct gyp_store *s)
{
	gint64 end = g_get_monotonic_time() +
		     (gint64)s->retry_ms * G_TIME_SPAN_MILLISECOND;
	bool closing;

	g_mutex_lock(&s->lock);
	while (!s->closing &&
	       g_cond_wait_until(&s->close_requested, &s->lock, end))
		continue;
	closing = s->closing;
	g_mutex_unlock(&s->lock);
	return !closing;
}

/*
 * After a failure for lack of space, waits until the spare bytes fit. Returns
 * true when the operation is to be repeated; otherwise the error stands.
 */
static bool
wait_for_space(struct gyp_store *s, struct gyp_error *err)
{
	while (err->code == GYP_FULL) {
		if (!s->full)
			post_result(s, WRITE_FULL, err);
		s->full = true;
		if (!wait_for_retry(s))
			return false;
		err->code = GYP_OK;
		if (gyp_data_dir_probe_space(
			s->files, s->dir, s->spare_bytes, err) == GYP_OK)
			return true;
	}
	return false;
}

/* Starts the next segment, and waits for space if needed. */
static enum gyp_status
rotate_when_space(struct gyp_store *s, struct gyp_error *err)
{
	enum gyp_status st;

	do {
		st = rotate_segment(s, err);
	} while (st != GYP_OK && wait_for_space(s, err));
	return err->code;
}

/* Reports the end of the wait; all records taken so far are durable. */
static void
report_recovered(struct gyp_store *s)
{
	struct gyp_error none = {.code = GYP_OK};

	if (!s->full)
		return;
	s->full = false;
	post_result(s, WRITE_RECOVERED, &none);
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
	enum gyp_status st = rotate_when_space(s, err);

	if (st != GYP_OK)
		return st;
	first = first_needed_segment(s, rec);
	do {
		st = gyp_data_dir_write_snapshot(
		    s->files, s->dir, rec->data, first, err);
	} while (st != GYP_OK && wait_for_space(s, err));
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
		g_array_set_size(s->unsynced, 0);
		st = write_sync_mark(s, err);
	} else if (wait_for_space(s, err)) {
		/*
		 * The bytes past the synced length may be torn, and the sync
		 * that failed may have dropped them from the page cache.
		 */
		st = rotate_when_space(s, err);
	}
	gyp_buf_clear(buf);
	return st;
}

static enum gyp_status
write_record(struct gyp_store *s, struct gyp_buf *buf,
    const struct gyp_record *rec, struct gyp_error *err)
{
	struct gyp_record copy = *rec;
	enum gyp_status st;

	s->last_seq++;
	if (rec->type != GYP_RECORD_SNAPSHOT) {
		gyp_store_track_record(s, current_segment(s), rec);
		gyp_wal_encode(buf, rec, s->header.salt, s->header.synced);
		if (copy.data != NULL)
			g_bytes_ref(copy.data);
		g_array_append_val(s->unsynced, copy);
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
		return false;
	post_result(s, WRITE_SYNCED, err);
	report_recovered(s);
	return more;
}

static gpointer
run_writer(gpointer p)
{
	struct gyp_store *s = p;
	struct gyp_error err = {.code = s->full ? GYP_FULL : GYP_OK};

	/* There was no space for the first segment after a restart. */
	if (s->full && wait_for_space(s, &err) &&
	    rotate_when_space(s, &err) == GYP_OK)
		report_recovered(s);
	while (err.code == GYP_OK && write_batch(s, &err))
		continue;
	if (err.code != GYP_OK) {
		g_atomic_int_set(&s->failed, 1);
		post_result(s, WRITE_FAILED, &err);
	}
	return NULL;
}

static void
deliver_result(struct gyp_store *s, const struct write_result *result)
{
	switch (result->event) {
	case WRITE_SYNCED:
		s->owner->ops->synced(s->owner, result->seq);
		break;
	case WRITE_FAILED:
		s->owner->ops->failed(s->owner, &result->err);
		break;
	case WRITE_FULL:
		s->owner->ops->full(s->owner, &result->err);
		break;
	case WRITE_RECOVERED:
		s->owner->ops->recovered(s->owner);
		break;
	}
}

static void
on_results_ready(struct ev_loop *loop, ev_async *w, int revents)
{
	struct gyp_store *s = w->data;
	struct write_result *result;

	(void)loop;
	(void)revents;
	while ((result = g_async_queue_try_pop(s->results)) != NULL) {
		deliver_result(s, result);
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
		g_mutex_lock(&s->lock);
		s->closing = true;
		g_cond_signal(&s->close_requested);
		g_mutex_unlock(&s->lock);
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
	g_mutex_clear(&s->lock);
	g_cond_clear(&s->close_requested);
	g_array_free(s->segments, TRUE);
	g_array_free(s->unsynced, TRUE);
	g_free(s->path);
	g_free(s->dir);
	g_free(s);
}
