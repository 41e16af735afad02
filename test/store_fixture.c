#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "store_fixture.h"

/* Retries when there is no space: interval, in ms, and bytes that must fit. */
#define RETRY_MS    1
#define SPARE_BYTES 250

#define VOTE(t, v)                                                             \
	{                                                                      \
		.type = GYP_RECORD_VOTE, .term = (t), .vote = (v)              \
	}
#define ENTRY(t, i)                                                            \
	{                                                                      \
		.type = GYP_RECORD_ENTRY, .term = (t), .index = (i)            \
	}
#define SNAPSHOT(t, i, k)                                                      \
	{                                                                      \
		.type = GYP_RECORD_SNAPSHOT, .term = (t), .index = (i),        \
		.kind = (k)                                                    \
	}

const struct gyp_record script[SCRIPT_RECORDS] = {
    VOTE(1, 7),
    ENTRY(1, 1),
    ENTRY(1, 2),
    ENTRY(1, 3),
    VOTE(2, 9),
    ENTRY(2, 3),
    SNAPSHOT(1, 2, 0),
    ENTRY(2, 4),
    SNAPSHOT(2, 9, 1),
    VOTE(3, 0),
    ENTRY(3, 10),
    ENTRY(3, 11),
};

/* ---- Fault injection ---------------------------------------------------- */

static bool
inject_fault(struct gyp_files *f)
{
	struct disk *d = (struct disk *)f;

	d->n_ops++;
	if (d->fault == NO_FAULT || d->n_ops < d->fail_at ||
	    d->n_ops - d->fail_at >= d->fail_count)
		return false;
	errno = d->fault == FULL ? ENOSPC : EIO;
	return true;
}

static int
disk_open(struct gyp_files *f, const char *path, int flags)
{
	return inject_fault(f) ? -1
			       : gyp_files_system()->ops->open(f, path, flags);
}

static ssize_t
disk_write(struct gyp_files *f, int fd, const void *data, size_t len)
{
	struct disk *d = (struct disk *)f;

	if (inject_fault(f)) {
		int cause = errno;

		if (d->fault != FAIL && d->torn_bytes > 0)
			g_assert(write(fd, data,
				     MIN((size_t)d->torn_bytes, len)) > 0);
		errno = cause;
		return -1;
	}
	return write(fd, data, MIN(len, 100)); /* short, not an error */
}

static ssize_t
disk_pwrite(struct gyp_files *f, int fd, const void *data, size_t len, off_t at)
{
	return inject_fault(f) ? -1 : pwrite(fd, data, len, at);
}

static int
disk_sync(struct gyp_files *f, int fd)
{
	struct disk *d = (struct disk *)f;
	struct stat sb;
	gpointer key, before;

	g_assert_cmpint(fstat(fd, &sb), ==, 0);
	key = GSIZE_TO_POINTER(sb.st_ino);
	if (inject_fault(f)) {
		int cause = errno;

		before = g_hash_table_lookup(d->synced, key);
		if (S_ISREG(sb.st_mode))
			g_assert_cmpint(
			    ftruncate(fd, GPOINTER_TO_INT(before)), ==, 0);
		errno = cause;
		return -1;
	}
	g_hash_table_insert(d->synced, key, GINT_TO_POINTER(sb.st_size));
	return 0;
}

static int
disk_rename(struct gyp_files *f, const char *from, const char *to)
{
	return inject_fault(f) ? -1 : rename(from, to);
}

static int
disk_unlink(struct gyp_files *f, const char *path)
{
	return inject_fault(f) ? -1 : unlink(path);
}

static const struct gyp_file_ops disk_ops = {disk_open, disk_write, disk_pwrite,
    disk_sync, disk_sync, disk_rename, disk_unlink};

void
disk_init(struct disk *d, enum fault fault, int fail_at)
{
	memset(d, 0, sizeof(*d));
	d->base.ops = &disk_ops;
	d->fault = fault;
	d->fail_at = fail_at;
	d->fail_count = 1;
	d->synced = g_hash_table_new(NULL, NULL);
}

/* ---- Directories -------------------------------------------------------- */

char *
make_temp_dir(void)
{
	GError *error = NULL;
	char *dir = g_dir_make_tmp("gyp-store-XXXXXX", &error);

	g_assert_no_error(error);
	return dir;
}

void
empty_dir(const char *dir)
{
	GDir *listing = g_dir_open(dir, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(listing)) != NULL) {
		char *path = g_build_filename(dir, name, NULL);

		g_assert_cmpint(g_unlink(path), ==, 0);
		g_free(path);
	}
	g_dir_close(listing);
}

void
remove_dir(char *dir)
{
	empty_dir(dir);
	g_assert_cmpint(g_rmdir(dir), ==, 0);
	g_free(dir);
}

/* ---- Sessions ----------------------------------------------------------- */

void
model_add(void *arg, const struct gyp_record *rec)
{
	struct model *m = arg;
	gsize len = 0;
	struct gyp_slice s = {NULL, 0};

	if (rec->data != NULL)
		s.data = g_bytes_get_data(rec->data, &len);
	s.len = len;
	if (rec->type == GYP_RECORD_VOTE) {
		m->term = rec->term;
		m->vote = rec->vote;
	} else if (rec->type == GYP_RECORD_SNAPSHOT) {
		sscanf((const char *)s.data, "snapshot %" G_GUINT64_FORMAT,
		    &m->snapshot);
		m->last =
		    rec->kind == 1 ? m->snapshot : MAX(m->last, m->snapshot);
	} else if (rec->index > m->snapshot) {
		m->entries++;
		m->last = rec->index;
		m->at[rec->index] = gyp_crc32(s) ^ (uint32_t)rec->term;
	}
}

bool
model_equal(const struct model *a, const struct model *b)
{
	uint64_t i;

	if (a->term != b->term || a->vote != b->vote ||
	    a->snapshot != b->snapshot || a->last != b->last)
		return false;
	for (i = a->snapshot + 1; i <= a->last; i++) {
		if (a->at[i] != b->at[i])
			return false;
	}
	return true;
}

struct gyp_record
script_record(guint n)
{
	struct gyp_record rec = script[n - 1];
	char *text =
	    rec.type == GYP_RECORD_SNAPSHOT
		? g_strdup_printf("snapshot %" G_GUINT64_FORMAT, rec.index)
		: g_strdup_printf("entry %u", n);

	if (rec.type != GYP_RECORD_VOTE)
		rec.data = g_bytes_new(text, strlen(text) + 1);
	g_free(text);
	return rec;
}

void
model_script(struct model *m, guint records)
{
	guint n;

	memset(m, 0, sizeof(*m));
	for (n = 1; n <= records; n++) {
		struct gyp_record rec = script_record(n);

		model_add(m, &rec);
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
	}
}

static void
on_synced(struct gyp_store_owner *owner, uint64_t seq)
{
	struct session *r = (struct session *)owner;

	g_assert_cmpint(r->err.code, ==, GYP_OK);
	r->synced = seq;
	ev_break(r->loop, EVBREAK_ALL);
}

static void
on_failed(struct gyp_store_owner *owner, const struct gyp_error *err)
{
	struct session *r = (struct session *)owner;

	g_assert_cmpint(r->err.code, ==, GYP_OK);
	r->err = *err;
	ev_break(r->loop, EVBREAK_ALL);
}

static void
on_full(struct gyp_store_owner *owner, const struct gyp_error *err)
{
	struct session *r = (struct session *)owner;

	g_assert_cmpint(err->code, ==, GYP_FULL);
	g_assert_cmpuint(r->n_full, ==, r->n_recovered);
	r->n_full++;
	ev_break(r->loop, EVBREAK_ALL);
}

static void
on_recovered(struct gyp_store_owner *owner)
{
	struct session *r = (struct session *)owner;

	r->n_recovered++;
	g_assert_cmpuint(r->n_full, ==, r->n_recovered);
	ev_break(r->loop, EVBREAK_ALL);
}

static const struct gyp_store_owner_ops owner_ops = {
    on_synced, on_failed, on_full, on_recovered};

bool
session_open(struct session *r, const char *dir, struct gyp_files *files,
    struct model *m)
{
	memset(r, 0, sizeof(*r));
	memset(m, 0, sizeof(*m));
	r->owner.ops = &owner_ops;
	r->store = gyp_store_open(dir, files, &r->err);
	if (r->store == NULL)
		return false;
	if (gyp_store_replay(r->store, model_add, m, &r->err) != GYP_OK) {
		gyp_store_close(r->store);
		r->store = NULL;
		return false;
	}
	r->loop = ev_loop_new(EVFLAG_AUTO);
	r->n_full = gyp_store_is_full(r->store);
	gyp_store_set_retry(r->store, RETRY_MS, SPARE_BYTES);
	gyp_store_start(r->store, r->loop, &r->owner);
	return true;
}

void
session_close(struct session *r)
{
	if (r->store == NULL)
		return;
	gyp_store_close(r->store);
	ev_loop_destroy(r->loop);
}

void
session_wait(struct session *r)
{
	while (r->synced < r->appended && r->err.code == GYP_OK)
		ev_run(r->loop, 0);
	/* The end of a wait for space is reported after the last sync. */
	while (r->n_recovered < r->n_full && r->err.code == GYP_OK)
		ev_run(r->loop, 0);
}

void
session_append_burst(struct session *r, guint first, guint last)
{
	guint n;

	for (n = first; n <= last; n++) {
		struct gyp_record rec = script_record(n);

		gyp_store_append(r->store, &rec);
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
		r->appended++;
	}
}

void
session_append(struct session *r, guint first, guint last)
{
	guint n;

	for (n = first; n <= last && r->err.code == GYP_OK; n++) {
		session_append_burst(r, n, n);
		session_wait(r);
	}
}

void
write_script(const char *dir, guint records)
{
	struct disk d;
	struct session r;
	struct model m;

	disk_init(&d, NO_FAULT, 0);
	g_assert_true(session_open(&r, dir, &d.base, &m));
	session_append(&r, 1, records);
	g_assert_cmpint(r.err.code, ==, GYP_OK);
	session_close(&r);
	g_hash_table_destroy(d.synced);
}

void
check_recovered(const char *dir, uint64_t synced, uint64_t appended)
{
	struct disk d;
	struct session r;
	struct model found, expected;
	uint64_t n;

	disk_init(&d, NO_FAULT, 0);
	if (!session_open(&r, dir, &d.base, &found))
		g_error("refused after a restart: %s", r.err.message);
	for (n = synced; n <= appended; n++) {
		model_script(&expected, (guint)n);
		if (model_equal(&expected, &found))
			break;
	}
	g_assert_cmpuint(n, <=, appended);
	session_close(&r);
	g_hash_table_destroy(d.synced);
}

void
check_refused(const char *dir, const char *name)
{
	struct session r;
	struct model m;
	struct disk d;

	disk_init(&d, NO_FAULT, 0);
	if (session_open(&r, dir, &d.base, &m))
		g_error("damage of %s was not detected", name);
	g_assert_cmpint(r.err.code, ==, GYP_CORRUPT);
	if (strstr(r.err.message, name) == NULL)
		g_error("%s not named: %s", name, r.err.message);
	g_hash_table_destroy(d.synced);
}
