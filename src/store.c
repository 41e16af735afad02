#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "buf.h"
#include "folder.h"
#include "store.h"

struct segment {
	uint64_t number;
	uint64_t last_index; /* highest entry in it */
};

struct task {
	struct gyp_record rec;
	bool stop;
};

/* From the writer to the loop. */
struct notice {
	uint64_t seq;
	struct gyp_error err;
};

struct gyp_store {
	char *folder;
	struct gyp_files *files;
	int lock;
	uint64_t id;
	bool is_new;
	GArray *segments; /* struct segment, the current one last */
	int fd;           /* of the current segment */
	char *path;
	struct gyp_wal_header header;
	struct gyp_record vote; /* newest vote record */
	GArray *unsynced;       /* struct gyp_record, read but not durable */
	uint64_t written;       /* sequence number */
	gint failed;            /* atomic */

	struct ev_loop *loop;
	ev_async wake;
	struct gyp_store_owner *owner;
	GThread *thread;
	GAsyncQueue *tasks;   /* struct task */
	GAsyncQueue *notices; /* struct notice */
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
gyp_store_open(
    const char *folder, struct gyp_files *files, struct gyp_error *err)
{
	return gyp_store_open_as(folder, files, 0, err);
}

struct gyp_store *
gyp_store_open_as(const char *folder, struct gyp_files *files,
    uint64_t first_id, struct gyp_error *err)
{
	struct gyp_store *s = g_new0(struct gyp_store, 1);

	s->folder = g_strdup(folder);
	s->id = first_id;
	s->files = files;
	s->fd = -1;
	s->lock = -1;
	s->vote.type = GYP_RECORD_VOTE;
	s->segments = g_array_new(FALSE, FALSE, sizeof(struct segment));
	s->unsynced = g_array_new(FALSE, FALSE, sizeof(struct gyp_record));
	g_array_set_clear_func(s->unsynced, free_record);
	s->tasks = g_async_queue_new();
	s->notices = g_async_queue_new_full(g_free);
	if (gyp_folder_lock(files, folder, &s->lock, err) != GYP_OK ||
	    gyp_folder_identity(files, folder, &s->id, &s->is_new, err) !=
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
note_record(
    struct gyp_store *s, struct segment *seg, const struct gyp_record *rec)
{
	if (rec->type == GYP_RECORD_ENTRY)
		seg->last_index = MAX(seg->last_index, rec->index);
	if (rec->type == GYP_RECORD_VOTE) {
		s->vote = *rec;
		s->vote.data = NULL;
	}
}

/* Writes the header's synced length over the old one; not synced itself. */
static enum gyp_status
write_mark(struct gyp_store *s, struct gyp_error *err)
{
	uint8_t mark[GYP_WAL_MARK_BYTES];

	gyp_wal_put_mark(mark, &s->header);
	if (s->files->ops->pwrite(s->files, s->fd, mark, sizeof(mark),
		GYP_WAL_MARK_OFFSET) != (ssize_t)sizeof(mark))
		return gyp_file_fail(err, "write", s->path);
	return GYP_OK;
}

/* After a restart the segment is not open. */
static enum gyp_status
open_segment(struct gyp_store *s, uint64_t number, struct gyp_error *err)
{
	g_free(s->path);
	s->path = gyp_folder_segment_path(s->folder, number);
	s->fd = s->files->ops->open(s->files, s->path, O_WRONLY);
	if (s->fd < 0 || lseek(s->fd, 0, SEEK_END) < 0)
		return gyp_file_fail(err, "open", s->path);
	return GYP_OK;
}

/* Marks the segment as followed by another, and goes on with that one. */
static enum gyp_status
enter_segment(
    struct gyp_store *s, const struct gyp_wal_header *h, struct gyp_error *err)
{
	enum gyp_status st = GYP_OK;

	if (s->fd < 0)
		st = open_segment(s, s->header.number, err);
	s->header.sealed = true;
	if (st == GYP_OK)
		st = write_mark(s, err);
	if (s->fd >= 0)
		close(s->fd);
	s->fd = -1;
	s->header = *h;
	return st == GYP_OK ? open_segment(s, h->number, err) : st;
}

/*
 * Each segment starts with the newest vote, after a restart also with the
 * records that were read but not known to be synced. It appears under its
 * name only when all of that is durable.
 */
static enum gyp_status
next_segment(struct gyp_store *s, struct gyp_error *err)
{
	struct gyp_wal_header h = {.number = s->header.number + 1,
	    .previous = s->header.synced,
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
		note_record(s, &seg, rec);
	}
	h.synced = buf.len;
	gyp_wal_put_header(buf.data, &h);
	all.data = buf.data;
	all.len = buf.len;
	st = gyp_file_replace(s->files, s->folder, name, all, err);
	gyp_buf_clear(&buf);
	g_free(name);
	if (st != GYP_OK)
		return st;
	g_array_set_size(s->unsynced, 0);
	g_array_append_val(s->segments, seg);
	return enter_segment(s, &h, err);
}

static void
drop_segments_before(struct gyp_store *s, uint64_t first)
{
	while (g_array_index(s->segments, struct segment, 0).number < first) {
		char *path = gyp_folder_segment_path(s->folder,
		    g_array_index(s->segments, struct segment, 0).number);

		s->files->ops->unlink(s->files, path);
		g_free(path);
		g_array_remove_index(s->segments, 0);
	}
}

/* ---- Replay ------------------------------------------------------------- */

/* A segment in memory. */
struct loaded {
	struct gyp_buf buf;
	struct gyp_wal_header header;
};

static enum gyp_status
load_segment(
    struct gyp_store *s, guint i, struct loaded *l, struct gyp_error *err)
{
	l->buf.len = 0;
	return gyp_folder_read_segment(s->folder,
	    g_array_index(s->segments, struct segment, i).number, &l->buf,
	    &l->header, err);
}

/*
 * Finds the end of the valid records. All but the last segment must be valid
 * up to the length that the next one tells of; what follows there was moved
 * to the next one.
 */
static enum gyp_status
check_segment(struct gyp_store *s, struct loaded *l, const struct loaded *next,
    size_t *end, struct gyp_error *err)
{
	struct gyp_slice all = {l->buf.data, l->buf.len};
	struct gyp_error why = {.code = GYP_OK};
	char *path = gyp_folder_segment_path(s->folder, l->header.number);
	enum gyp_status st;

	if (next != NULL) {
		l->header.synced = MAX(l->header.synced, next->header.previous);
		all.len = MIN(all.len, next->header.previous);
	}
	st = gyp_wal_check(all, &l->header, end, &why);
	if (st == GYP_OK && next == NULL && l->header.sealed)
		st = gyp_fail(&why, GYP_CORRUPT,
		    "log.%" G_GUINT64_FORMAT " is missing after it",
		    l->header.number + 1);
	if (st != GYP_OK)
		gyp_fail(err, st, "%s: %s", path, why.message);
	g_free(path);
	return st;
}

/* Hands over the records; those past the synced length are noted as such. */
static void
hand_over(struct gyp_store *s, struct segment *seg, const struct loaded *l,
    size_t end, gyp_record_fn fn, void *arg)
{
	struct gyp_slice rest = {
	    l->buf.data + GYP_WAL_HEADER_BYTES, end - GYP_WAL_HEADER_BYTES};

	while (rest.len > 0) {
		struct gyp_record rec = {.type = GYP_RECORD_VOTE};
		uint64_t synced;
		size_t n = gyp_wal_decode(rest, l->header.salt, &rec, &synced);

		g_assert(n > 0);
		note_record(s, seg, &rec);
		fn(arg, &rec);
		if (end - rest.len >= l->header.synced)
			g_array_append_val(s->unsynced, rec);
		else
			g_bytes_unref(rec.data);
		rest.data += n;
		rest.len -= n;
	}
}

static enum gyp_status
replay_segments(
    struct gyp_store *s, gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	struct loaded pair[2] = {{{NULL, 0, 0}, {0}}, {{NULL, 0, 0}, {0}}};
	enum gyp_status st = load_segment(s, 0, &pair[0], err);
	guint i;

	for (i = 0; st == GYP_OK && i < s->segments->len; i++) {
		struct loaded *l = &pair[i % 2], *next = NULL;
		size_t end = 0;

		if (i + 1 < s->segments->len) {
			next = &pair[(i + 1) % 2];
			st = load_segment(s, i + 1, next, err);
		}
		if (st == GYP_OK)
			st = check_segment(s, l, next, &end, err);
		if (st != GYP_OK)
			break;
		hand_over(s, &g_array_index(s->segments, struct segment, i), l,
		    end, fn, arg);
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
	    gyp_folder_read_snapshot(s->folder, &rec.data, first, err);

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
	    gyp_folder_segments(s->files, s->folder, first, numbers, err);
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
		st = next_segment(s, err);
	return st;
}

/* ---- Writer thread ------------------------------------------------------ */

/*
 * Segments whose entries the snapshot covers go; when it was taken over from
 * another replica (kind 1), older entries are void and all segments go.
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
	enum gyp_status st = next_segment(s, err);

	if (st != GYP_OK)
		return st;
	first = first_needed_segment(s, rec);
	st = gyp_folder_write_snapshot(
	    s->files, s->folder, rec->data, first, err);
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
		st = write_mark(s, err);
	}
	gyp_buf_clear(buf);
	return st;
}

static enum gyp_status
take_record(struct gyp_store *s, struct gyp_buf *buf,
    const struct gyp_record *rec, struct gyp_error *err)
{
	enum gyp_status st;

	s->written++;
	if (rec->type != GYP_RECORD_SNAPSHOT) {
		note_record(s, current_segment(s), rec);
		gyp_wal_encode(buf, rec, s->header.salt, s->header.synced);
		return GYP_OK;
	}
	st = flush(s, buf, err);
	return st == GYP_OK ? write_snapshot(s, rec, err) : st;
}

static void
free_task(gpointer p)
{
	struct task *t = p;

	free_record(&t->rec);
	g_free(t);
}

static void
notify(struct gyp_store *s, const struct gyp_error *err)
{
	struct notice *n = g_new0(struct notice, 1);

	n->seq = s->written;
	n->err = *err;
	g_async_queue_push(s->notices, n);
	ev_async_send(s->loop, &s->wake);
}

/* Writes all that is queued as one batch; false when asked to stop. */
static bool
write_batch(struct gyp_store *s, struct gyp_error *err)
{
	struct gyp_buf buf = {NULL, 0, 0};
	struct task *t = g_async_queue_pop(s->tasks);
	bool more = true;

	while (t != NULL && err->code == GYP_OK) {
		if (t->stop)
			more = false;
		else
			take_record(s, &buf, &t->rec, err);
		free_task(t);
		t = more ? g_async_queue_try_pop(s->tasks) : NULL;
	}
	if (t != NULL)
		free_task(t);
	if (err->code == GYP_OK)
		flush(s, &buf, err);
	gyp_buf_clear(&buf);
	if (err->code != GYP_OK)
		g_atomic_int_set(&s->failed, 1);
	notify(s, err);
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
on_wake(struct ev_loop *loop, ev_async *w, int revents)
{
	struct gyp_store *s = w->data;
	struct notice *n;

	(void)loop;
	(void)revents;
	while ((n = g_async_queue_try_pop(s->notices)) != NULL) {
		if (n->err.code == GYP_OK)
			s->owner->ops->synced(s->owner, n->seq);
		else
			s->owner->ops->failed(s->owner, &n->err);
		g_free(n);
	}
}

void
gyp_store_start(
    struct gyp_store *s, struct ev_loop *loop, struct gyp_store_owner *owner)
{
	s->loop = loop;
	s->owner = owner;
	ev_async_init(&s->wake, on_wake);
	s->wake.data = s;
	ev_async_start(loop, &s->wake);
	s->thread = g_thread_new("store", run_writer, s);
}

void
gyp_store_append(struct gyp_store *s, const struct gyp_record *rec)
{
	struct task *t;

	if (g_atomic_int_get(&s->failed))
		return;
	t = g_new0(struct task, 1);
	t->rec = *rec;
	if (t->rec.data != NULL)
		g_bytes_ref(t->rec.data);
	g_async_queue_push(s->tasks, t);
}

void
gyp_store_close(struct gyp_store *s)
{
	struct task *t;

	if (s->thread != NULL) {
		t = g_new0(struct task, 1);
		t->stop = true;
		g_async_queue_push(s->tasks, t);
		g_thread_join(s->thread);
		ev_async_stop(s->loop, &s->wake);
	}
	while ((t = g_async_queue_try_pop(s->tasks)) != NULL)
		free_task(t);
	g_async_queue_unref(s->tasks);
	g_async_queue_unref(s->notices);
	if (s->fd >= 0)
		close(s->fd);
	if (s->lock >= 0)
		close(s->lock);
	g_array_free(s->segments, TRUE);
	g_array_free(s->unsynced, TRUE);
	g_free(s->path);
	g_free(s->folder);
	g_free(s);
}
