#include <sys/stat.h>

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "buf.h"
#include "store.h"

/* Bytes before the body of a record: length, checksum. */
#define HEADER_BYTES 8

/* Fixed part of a record's body: type, kind, term, vote, index. */
#define FIXED_BYTES 32

/* Largest body of a log record, in bytes. */
#define RECORD_MAX (8 * 1024 * 1024)

/* Header of a snapshot file: checksum, first segment that goes with it. */
#define SNAPSHOT_HEADER_BYTES 12

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
	uint64_t id;
	bool is_new;
	GArray *segments; /* struct segment, the current one last */
	int fd;
	uint64_t term; /* newest vote record */
	uint64_t vote;
	uint64_t written; /* sequence number */

	struct ev_loop *loop;
	ev_async wake;
	struct gyp_store_owner *owner;
	GThread *thread;
	GAsyncQueue *tasks;   /* struct task */
	GAsyncQueue *notices; /* struct notice */
};

/* ---- Files ------------------------------------------------------------- */

static enum gyp_status
fail_errno(struct gyp_error *err, const char *what, const char *path)
{
	return gyp_fail(
	    err, GYP_IO, "%s %s: %s", what, path, g_strerror(errno));
}

static enum gyp_status
sync_folder(const char *folder, struct gyp_error *err)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	enum gyp_status st = GYP_OK;

	if (fd < 0)
		return fail_errno(err, "open", folder);
	if (fsync(fd) != 0)
		st = fail_errno(err, "sync", folder);
	close(fd);
	return st;
}

static enum gyp_status
write_all(int fd, const uint8_t *data, size_t len, struct gyp_error *err)
{
	while (len > 0) {
		ssize_t n = write(fd, data, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return fail_errno(err, "write", "records");
		data += n;
		len -= (size_t)n;
	}
	return GYP_OK;
}

/* Writes beside, syncs, renames and syncs the folder. */
static enum gyp_status
replace_file(const char *folder, const char *name, const struct gyp_buf *buf,
    struct gyp_error *err)
{
	char *path = g_build_filename(folder, name, NULL);
	char *tmp = g_strconcat(path, ".tmp", NULL);
	int fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	enum gyp_status st;

	if (fd < 0) {
		st = fail_errno(err, "open", tmp);
		goto out;
	}
	st = write_all(fd, buf->data, buf->len, err);
	if (st == GYP_OK && fsync(fd) != 0)
		st = fail_errno(err, "sync", tmp);
	close(fd);
	if (st == GYP_OK && rename(tmp, path) != 0)
		st = fail_errno(err, "rename", tmp);
	if (st == GYP_OK)
		st = sync_folder(folder, err);
out:
	g_free(tmp);
	g_free(path);
	return st;
}

static char *
segment_path(const struct gyp_store *s, uint64_t number)
{
	return g_strdup_printf("%s/log.%" G_GUINT64_FORMAT, s->folder, number);
}

/* ---- Encoding ---------------------------------------------------------- */

static void
put_u64(uint8_t *p, uint64_t v)
{
	gyp_put_u32(p, (uint32_t)(v >> 32));
	gyp_put_u32(p + 4, (uint32_t)v);
}

static uint64_t
get_u64(const uint8_t *p)
{
	return ((uint64_t)gyp_get_u32(p) << 32) | gyp_get_u32(p + 4);
}

static void
encode_record(struct gyp_buf *buf, const struct gyp_record *rec)
{
	gsize len = 0;
	const void *data =
	    rec->data != NULL ? g_bytes_get_data(rec->data, &len) : NULL;
	uint8_t *p = gyp_buf_extend(buf, HEADER_BYTES + FIXED_BYTES);
	size_t start = buf->len - FIXED_BYTES;
	struct gyp_slice body;

	gyp_put_u32(p + 8, rec->type);
	gyp_put_u32(p + 12, rec->kind);
	put_u64(p + 16, rec->term);
	put_u64(p + 24, rec->vote);
	put_u64(p + 32, rec->index);
	gyp_buf_append(buf, data, len);
	body.data = buf->data + start;
	body.len = buf->len - start;
	p = buf->data + start - HEADER_BYTES;
	gyp_put_u32(p, (uint32_t)body.len);
	gyp_put_u32(p + 4, gyp_crc32(body));
}

/* Size of the whole record at the start of s, or 0 when there is none. */
static size_t
decode_record(struct gyp_slice s, struct gyp_record *rec)
{
	struct gyp_slice body;
	const uint8_t *p = s.data;

	if (s.len < HEADER_BYTES + FIXED_BYTES)
		return 0;
	body.data = p + HEADER_BYTES;
	body.len = gyp_get_u32(p);
	if (body.len < FIXED_BYTES || body.len > s.len - HEADER_BYTES ||
	    gyp_crc32(body) != gyp_get_u32(p + 4))
		return 0;
	rec->type = gyp_get_u32(p + 8);
	rec->kind = gyp_get_u32(p + 12);
	rec->term = get_u64(p + 16);
	rec->vote = get_u64(p + 24);
	rec->index = get_u64(p + 32);
	rec->data =
	    g_bytes_new(body.data + FIXED_BYTES, body.len - FIXED_BYTES);
	return HEADER_BYTES + body.len;
}

/* ---- Opening ----------------------------------------------------------- */

static uint64_t
random_id(void)
{
	uint64_t id = 0;

	while (id == 0)
		id = ((uint64_t)g_random_int() << 32) | g_random_int();
	return id;
}

static enum gyp_status
load_identity(struct gyp_store *s, struct gyp_error *err)
{
	char *path = g_build_filename(s->folder, "identity", NULL);
	char *text = NULL;
	struct gyp_buf buf = {NULL, 0, 0};
	enum gyp_status st = GYP_OK;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		s->id = g_ascii_strtoull(text, NULL, 16);
		if (s->id == 0)
			st = gyp_fail(
			    err, GYP_CORRUPT, "%s: not a replica id", path);
	} else {
		s->is_new = true;
		s->id = random_id();
		text = g_strdup_printf("%016" G_GINT64_MODIFIER "x\n", s->id);
		gyp_buf_append(&buf, text, strlen(text));
		st = replace_file(s->folder, "identity", &buf, err);
		gyp_buf_clear(&buf);
	}
	g_free(text);
	g_free(path);
	return st;
}

struct gyp_store *
gyp_store_open(const char *folder, struct gyp_error *err)
{
	struct gyp_store *s;

	if (g_mkdir_with_parents(folder, 0700) != 0) {
		fail_errno(err, "create", folder);
		return NULL;
	}
	s = g_new0(struct gyp_store, 1);
	s->folder = g_strdup(folder);
	s->fd = -1;
	s->segments = g_array_new(FALSE, FALSE, sizeof(struct segment));
	s->tasks = g_async_queue_new();
	s->notices = g_async_queue_new_full(g_free);
	if (load_identity(s, err) != GYP_OK) {
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

/* ---- Replay ------------------------------------------------------------ */

static gint
by_number(gconstpointer a, gconstpointer b)
{
	const struct segment *x = a, *y = b;

	return x->number < y->number ? -1 : x->number > y->number;
}

static void
list_segments(struct gyp_store *s, uint64_t first)
{
	GDir *dir = g_dir_open(s->folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		struct segment seg = {0, 0};

		if (!g_str_has_prefix(name, "log."))
			continue;
		seg.number = g_ascii_strtoull(name + 4, NULL, 10);
		if (seg.number >= first)
			g_array_append_val(s->segments, seg);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_array_sort(s->segments, by_number);
}

static enum gyp_status
replay_snapshot(struct gyp_store *s, gyp_record_fn fn, void *arg,
    uint64_t *first, struct gyp_error *err)
{
	char *path = g_build_filename(s->folder, "snapshot", NULL);
	struct gyp_record rec = {.type = GYP_RECORD_SNAPSHOT};
	struct gyp_slice rest;
	char *text = NULL;
	gsize len;
	enum gyp_status st = GYP_OK;

	*first = 0;
	if (!g_file_get_contents(path, &text, &len, NULL))
		goto out;
	rest.data = (uint8_t *)text + 4;
	rest.len = len - 4;
	if (len < SNAPSHOT_HEADER_BYTES ||
	    gyp_crc32(rest) != gyp_get_u32((uint8_t *)text)) {
		st = gyp_fail(err, GYP_CORRUPT, "%s: wrong checksum", path);
		goto out;
	}
	*first = get_u64(rest.data);
	rec.data = g_bytes_new(
	    text + SNAPSHOT_HEADER_BYTES, len - SNAPSHOT_HEADER_BYTES);
	fn(arg, &rec);
	g_bytes_unref(rec.data);
out:
	g_free(text);
	g_free(path);
	return st;
}

static void
note_record(
    struct gyp_store *s, struct segment *seg, const struct gyp_record *rec)
{
	if (rec->type == GYP_RECORD_ENTRY)
		seg->last_index = MAX(seg->last_index, rec->index);
	if (rec->type == GYP_RECORD_VOTE) {
		s->term = rec->term;
		s->vote = rec->vote;
	}
}

static enum gyp_status
replay_segment(struct gyp_store *s, struct segment *seg, bool last,
    gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	char *path = segment_path(s, seg->number);
	char *text = NULL;
	gsize len = 0;
	struct gyp_slice rest;
	enum gyp_status st = GYP_OK;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		st = fail_errno(err, "read", path);
		goto out;
	}
	rest.data = (uint8_t *)text;
	rest.len = len;
	while (rest.len > 0) {
		struct gyp_record rec = {.type = GYP_RECORD_VOTE};
		size_t n = decode_record(rest, &rec);

		if (n == 0)
			break;
		note_record(s, seg, &rec);
		fn(arg, &rec);
		g_bytes_unref(rec.data);
		rest.data += n;
		rest.len -= n;
	}
	if (rest.len > 0 && !last)
		st = gyp_fail(err, GYP_CORRUPT, "%s: bad record at byte %zu",
		    path, len - rest.len);
	else if (rest.len > 0 && truncate(path, (off_t)(len - rest.len)) != 0)
		st = fail_errno(err, "truncate", path);
out:
	g_free(text);
	g_free(path);
	return st;
}

enum gyp_status
gyp_store_replay(
    struct gyp_store *s, gyp_record_fn fn, void *arg, struct gyp_error *err)
{
	uint64_t first;
	guint i;
	enum gyp_status st = replay_snapshot(s, fn, arg, &first, err);

	if (st != GYP_OK)
		return st;
	list_segments(s, first);
	for (i = 0; i < s->segments->len; i++) {
		st = replay_segment(s,
		    &g_array_index(s->segments, struct segment, i),
		    i + 1 == s->segments->len, fn, arg, err);
		if (st != GYP_OK)
			return st;
	}
	return GYP_OK;
}

/* ---- Writer thread ----------------------------------------------------- */

static struct segment *
current_segment(struct gyp_store *s)
{
	return &g_array_index(
	    s->segments, struct segment, s->segments->len - 1);
}

/* Each segment starts with the newest vote. */
static enum gyp_status
open_segment(struct gyp_store *s, struct gyp_error *err)
{
	struct segment seg = {.number = 1};
	struct gyp_record vote = {
	    .type = GYP_RECORD_VOTE, .term = s->term, .vote = s->vote};
	struct gyp_buf buf = {NULL, 0, 0};
	char *path;
	enum gyp_status st;

	if (s->segments->len > 0)
		seg.number = current_segment(s)->number + 1;
	path = segment_path(s, seg.number);
	if (s->fd >= 0)
		close(s->fd);
	s->fd = open(
	    path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
	if (s->fd < 0) {
		st = fail_errno(err, "open", path);
		g_free(path);
		return st;
	}
	g_free(path);
	g_array_append_val(s->segments, seg);
	encode_record(&buf, &vote);
	st = write_all(s->fd, buf.data, buf.len, err);
	gyp_buf_clear(&buf);
	if (st == GYP_OK && fsync(s->fd) != 0)
		st = fail_errno(err, "sync", "segment");
	return st == GYP_OK ? sync_folder(s->folder, err) : st;
}

static void
drop_segments_before(struct gyp_store *s, uint64_t first)
{
	while (g_array_index(s->segments, struct segment, 0).number < first) {
		char *path = segment_path(
		    s, g_array_index(s->segments, struct segment, 0).number);

		unlink(path);
		g_free(path);
		g_array_remove_index(s->segments, 0);
	}
}

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
	return g_array_index(s->segments, struct segment, s->segments->len - 1)
	    .number;
}

static enum gyp_status
write_snapshot(
    struct gyp_store *s, const struct gyp_record *rec, struct gyp_error *err)
{
	struct gyp_buf buf = {NULL, 0, 0};
	struct gyp_slice body;
	uint8_t *p;
	gsize len;
	const void *data = g_bytes_get_data(rec->data, &len);
	uint64_t first;
	enum gyp_status st = open_segment(s, err);

	if (st != GYP_OK)
		return st;
	first = first_needed_segment(s, rec);
	p = gyp_buf_extend(&buf, SNAPSHOT_HEADER_BYTES);
	put_u64(p + 4, first);
	gyp_buf_append(&buf, data, len);
	body.data = buf.data + 4;
	body.len = buf.len - 4;
	gyp_put_u32(buf.data, gyp_crc32(body));
	st = replace_file(s->folder, "snapshot", &buf, err);
	gyp_buf_clear(&buf);
	if (st == GYP_OK)
		drop_segments_before(s, first);
	return st;
}

static enum gyp_status
flush(struct gyp_store *s, struct gyp_buf *buf, struct gyp_error *err)
{
	enum gyp_status st;

	if (buf->len == 0)
		return GYP_OK;
	st = write_all(s->fd, buf->data, buf->len, err);
	if (st == GYP_OK && fdatasync(s->fd) != 0)
		st = fail_errno(err, "sync", "records");
	gyp_buf_clear(buf);
	return st;
}

static enum gyp_status
take_record(struct gyp_store *s, struct gyp_buf *buf,
    const struct gyp_record *rec, struct gyp_error *err)
{
	enum gyp_status st;

	s->written++;
	note_record(s, current_segment(s), rec);
	if (rec->type != GYP_RECORD_SNAPSHOT) {
		encode_record(buf, rec);
		return GYP_OK;
	}
	st = flush(s, buf, err);
	return st == GYP_OK ? write_snapshot(s, rec, err) : st;
}

static void
free_task(gpointer p)
{
	struct task *t = p;

	if (t->rec.data != NULL)
		g_bytes_unref(t->rec.data);
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
	notify(s, err);
	return more;
}

static gpointer
run_writer(gpointer p)
{
	struct gyp_store *s = p;
	struct gyp_error err = {.code = GYP_OK};

	open_segment(s, &err);
	while (err.code == GYP_OK && write_batch(s, &err))
		continue;
	if (err.code != GYP_OK)
		notify(s, &err);
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
	struct task *t = g_new0(struct task, 1);

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
	g_array_free(s->segments, TRUE);
	g_free(s->folder);
	g_free(s);
}
