#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "data_dir.h"
#include "store.h"

/*
 * Runs a store on files that inject faults. Records that it reported as synced
 * must be recovered after a restart; damaged files must be refused, never
 * truncated.
 */

enum fault { NO_FAULT, FAIL, FULL, SHORT_WRITE };

/*
 * Files whose operation number fail_at fails; a failed sync loses the unsynced
 * data.
 */
struct disk {
	struct gyp_files base;
	enum fault fault;
	int fail_at; /* counts operations from 1 */
	int n_ops;
	int torn_bytes;     /* written by SHORT_WRITE before it fails */
	GHashTable *synced; /* inode -> length */
};

struct session {
	struct gyp_store_owner owner;
	struct gyp_store *store;
	struct ev_loop *loop;
	uint64_t synced, appended;
	struct gyp_error err;
};

/* State that a replay of the log results in, expected or found. */
struct model {
	uint64_t term, vote, snapshot, last;
	uint32_t at[64]; /* CRC of the entry of each index */
};

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

static const struct gyp_record script[] = {
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

	if (++d->n_ops != d->fail_at || d->fault == NO_FAULT)
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
		if (d->fault == SHORT_WRITE && d->torn_bytes > 0)
			g_assert(write(fd, data,
				     MIN((size_t)d->torn_bytes, len)) > 0);
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
		before = g_hash_table_lookup(d->synced, key);
		if (S_ISREG(sb.st_mode))
			g_assert_cmpint(
			    ftruncate(fd, GPOINTER_TO_INT(before)), ==, 0);
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

static void
disk_init(struct disk *d, enum fault fault, int fail_at)
{
	memset(d, 0, sizeof(*d));
	d->base.ops = &disk_ops;
	d->fault = fault;
	d->fail_at = fail_at;
	d->synced = g_hash_table_new(NULL, NULL);
}

/* ---- Directories -------------------------------------------------------- */

static char *
make_temp_dir(void)
{
	GError *error = NULL;
	char *dir = g_dir_make_tmp("gyp-store-XXXXXX", &error);

	g_assert_no_error(error);
	return dir;
}

static void
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

static void
remove_dir(char *dir)
{
	empty_dir(dir);
	g_assert_cmpint(g_rmdir(dir), ==, 0);
	g_free(dir);
}

/* ---- Sessions ----------------------------------------------------------- */

static void
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
		m->last = rec->index;
		m->at[rec->index] = gyp_crc32(s) ^ (uint32_t)rec->term;
	}
}

static bool
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

/* The nth record of the script, from 1, with unique data. */
static struct gyp_record
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

static void
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

static const struct gyp_store_owner_ops owner_ops = {on_synced, on_failed};

/* Opens and replays the store; returns false with the error set on failure. */
static bool
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
	gyp_store_start(r->store, r->loop, &r->owner);
	return true;
}

static void
session_close(struct session *r)
{
	if (r->store == NULL)
		return;
	gyp_store_close(r->store);
	ev_loop_destroy(r->loop);
}

/* Appends records one by one until one fails. */
static void
session_append(struct session *r, guint first, guint last)
{
	guint n;

	for (n = first; n <= last && r->err.code == GYP_OK; n++) {
		struct gyp_record rec = script_record(n);

		gyp_store_append(r->store, &rec);
		if (rec.data != NULL)
			g_bytes_unref(rec.data);
		r->appended++;
		while (r->synced < r->appended && r->err.code == GYP_OK)
			ev_run(r->loop, 0);
	}
}

static void
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

/* A restart recovers at least the synced and at most the appended records. */
static void
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

/* A damaged directory is refused, and the message names the file. */
static void
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

/* ---- Tests -------------------------------------------------------------- */

/* Each operation of a session fails once, in each way; all later ones work. */
static void
test_each_fault(void)
{
	enum fault fault;
	char *dir = make_temp_dir();

	for (fault = FAIL; fault <= SHORT_WRITE; fault++) {
		bool reached = true;
		int at;

		for (at = 1; reached; at++) {
			struct disk d;
			struct session r;
			struct model m;

			disk_init(&d, fault, at);
			d.torn_bytes = at % 60;
			if (session_open(&r, dir, &d.base, &m))
				session_append(&r, 1, G_N_ELEMENTS(script));
			if (r.err.code != GYP_OK)
				g_assert_cmpint(r.err.code, ==,
				    fault == FULL ? GYP_FULL : GYP_IO);
			session_close(&r);
			reached = d.n_ops >= at;
			check_recovered(dir, r.synced, r.appended);
			empty_dir(dir);
			g_hash_table_destroy(d.synced);
		}
		/* Faults were injected into at least 59 operations. */
		g_assert_cmpint(at, >, 60);
	}
	remove_dir(dir);
}

/* The same during a restart after the start of a new segment has failed. */
static void
test_fault_in_recovery(void)
{
	char *dir = make_temp_dir();
	bool reached = true;
	int at;

	for (at = 1; reached; at++) {
		struct disk d;
		struct session r;
		struct model m;

		write_script(dir, 5);
		/* Tears the write of log.4.tmp, which record 7 starts. */
		disk_init(&d, SHORT_WRITE, 15);
		d.torn_bytes = 40;
		g_assert_true(session_open(&r, dir, &d.base, &m));
		session_append(&r, 6, G_N_ELEMENTS(script));
		g_assert_cmpint(r.err.code, ==, GYP_IO);
		session_close(&r);
		d.n_ops = 0;
		d.fail_at = at;
		if (session_open(&r, dir, &d.base, &m))
			session_close(&r);
		reached = d.n_ops >= at;
		check_recovered(dir, 5, G_N_ELEMENTS(script));
		empty_dir(dir);
		g_hash_table_destroy(d.synced);
	}
	remove_dir(dir);
}

/* A last record torn at any byte is dropped; all earlier ones are kept. */
static void
test_torn_tail(void)
{
	char *dir = make_temp_dir();
	int torn_bytes;

	for (torn_bytes = 0; torn_bytes < 60; torn_bytes++) {
		struct disk d;
		struct session r;
		struct model m;
		int n_ops;

		disk_init(&d, NO_FAULT, 0);
		g_assert_true(session_open(&r, dir, &d.base, &m));
		session_append(&r, 1, 5);
		n_ops = d.n_ops;
		session_close(&r);
		empty_dir(dir);
		g_hash_table_destroy(d.synced);

		disk_init(&d, SHORT_WRITE, n_ops + 1);
		d.torn_bytes = torn_bytes;
		g_assert_true(session_open(&r, dir, &d.base, &m));
		session_append(&r, 1, 6);
		g_assert_cmpuint(r.synced, ==, 5);
		session_close(&r);
		check_recovered(dir, 5, 5);
		empty_dir(dir);
		g_hash_table_destroy(d.synced);
	}
	remove_dir(dir);
}

/* After one failed sync nothing is reported, though later syncs would work. */
static void
test_failed_sync_is_final(void)
{
	char *dir = make_temp_dir();
	struct disk d;
	struct session r;
	struct model m;
	struct gyp_record rec = script[9];

	disk_init(&d, NO_FAULT, 0);
	g_assert_true(session_open(&r, dir, &d.base, &m));
	session_append(&r, 1, 3);
	d.fault = FAIL;
	d.fail_at = d.n_ops + 2; /* write, then sync */
	session_append(&r, 4, 4);
	g_assert_cmpint(r.err.code, ==, GYP_IO);
	g_assert_cmpuint(r.synced, ==, 3);
	gyp_store_append(r.store, &rec);
	gyp_store_close(r.store);
	ev_run(r.loop, EVRUN_NOWAIT);
	ev_loop_destroy(r.loop);
	g_assert_cmpuint(r.synced, ==, 3);
	check_recovered(dir, 3, 3);
	g_hash_table_destroy(d.synced);
	remove_dir(dir);
}

static void
put_file(const char *path, const char *text, size_t len)
{
	FILE *file = fopen(path, "w");

	g_assert_nonnull(file);
	g_assert_cmpuint(fwrite(text, 1, len, file), ==, len);
	g_assert_cmpint(fclose(file), ==, 0);
}

static void
flip_all_bits(const char *dir, const char *name)
{
	char *path = g_build_filename(dir, name, NULL);
	char *text;
	gsize len, bit;

	g_assert_true(g_file_get_contents(path, &text, &len, NULL));
	for (bit = 0; bit < len * 8; bit++) {
		text[bit / 8] ^= (char)(1 << bit % 8);
		put_file(path, text, len);
		check_refused(dir, name);
		text[bit / 8] ^= (char)(1 << bit % 8);
	}
	put_file(path, text, len);
	g_free(text);
	g_free(path);
}

/* Truncates the file at each byte, then removes it. */
static void
cut_at_all_bytes(const char *dir, const char *name, const char *expected_name)
{
	char *path = g_build_filename(dir, name, NULL);
	char *text;
	gsize len, left;

	g_assert_true(g_file_get_contents(path, &text, &len, NULL));
	for (left = 0; left < len; left++) {
		put_file(path, text, left);
		check_refused(dir, name);
	}
	g_assert_cmpint(g_unlink(path), ==, 0);
	check_refused(dir, expected_name);
	put_file(path, text, len);
	g_free(text);
	g_free(path);
}

/* Two restarts without a snapshot make three segments with records. */
static void
make_segments(const char *dir)
{
	struct disk d;
	struct session r;
	struct model m;

	disk_init(&d, NO_FAULT, 0);
	write_script(dir, 2);
	g_assert_true(session_open(&r, dir, &d.base, &m));
	session_append(&r, 3, 5);
	session_close(&r);
	g_assert_true(session_open(&r, dir, &d.base, &m));
	session_append(&r, 6, 6);
	session_close(&r);
	g_hash_table_destroy(d.synced);
}

static void
test_damage(void)
{
	char *dir = make_temp_dir();
	static const char *const names[] = {
	    "identity", "log.1", "log.2", "log.3", "log.4"};
	guint i;

	make_segments(dir);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		flip_all_bits(dir, names[i]);
		cut_at_all_bytes(dir, names[i], i == 0 ? dir : names[i]);
	}
	check_recovered(dir, 6, 6);
	empty_dir(dir);
	write_script(dir, 8);
	flip_all_bits(dir, "snapshot");
	cut_at_all_bytes(dir, "snapshot", "log.1");
	check_recovered(dir, 8, 8);
	remove_dir(dir);
}

/* Sets the mark as after a power failure: older than the last syncs. */
static void
set_back_sync_mark(const char *path, char *text, size_t len)
{
	struct gyp_slice all = {(uint8_t *)text, len};
	struct gyp_wal_header h;

	g_assert_true(gyp_wal_get_header(all, &h));
	h.synced = GYP_WAL_HEADER_BYTES;
	gyp_wal_put_sync_mark((uint8_t *)text + GYP_WAL_SYNC_MARK_OFFSET, &h);
	put_file(path, text, len);
}

static void
test_lagging_mark(void)
{
	char *dir = make_temp_dir();
	char *path = gyp_data_dir_segment_path(dir, 2);
	char *text;
	gsize len, last, bit;

	write_script(dir, 4);
	g_assert_true(g_file_get_contents(path, &text, &last, NULL));
	g_free(text);
	empty_dir(dir);
	write_script(dir, 5);
	g_assert_true(g_file_get_contents(path, &text, &len, NULL));
	g_assert_cmpuint(len, >, last);
	set_back_sync_mark(path, text, len);
	for (bit = GYP_WAL_HEADER_BYTES * 8; bit < last * 8; bit++) {
		text[bit / 8] ^= (char)(1 << bit % 8);
		put_file(path, text, len);
		check_refused(dir, "log.2");
		text[bit / 8] ^= (char)(1 << bit % 8);
	}
	put_file(path, text, len);
	check_recovered(dir, 5, 5);
	check_recovered(dir, 5, 5);
	g_free(text);
	g_free(path);
	remove_dir(dir);
}

static void
test_lock(void)
{
	char *dir = make_temp_dir();
	struct gyp_error err = {.code = GYP_OK};
	struct gyp_store *a, *b;

	a = gyp_store_open(dir, gyp_files_system(), &err);
	g_assert_nonnull(a);
	g_assert_true(gyp_store_is_new(a));
	b = gyp_store_open(dir, gyp_files_system(), &err);
	g_assert_null(b);
	g_assert_cmpint(err.code, ==, GYP_CONFLICT);
	gyp_store_close(a);
	a = gyp_store_open(dir, gyp_files_system(), &err);
	g_assert_nonnull(a);
	g_assert_false(gyp_store_is_new(a));
	gyp_store_close(a);
	remove_dir(dir);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/torn-tail", test_torn_tail);
	g_test_add_func(
	    "/store/failed-sync-is-final", test_failed_sync_is_final);
	g_test_add_func("/store/each-fault", test_each_fault);
	g_test_add_func("/store/fault-in-recovery", test_fault_in_recovery);
	g_test_add_func("/store/damage", test_damage);
	g_test_add_func("/store/lagging-mark", test_lagging_mark);
	g_test_add_func("/store/lock", test_lock);
	return g_test_run();
}
