#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "data_dir.h"
#include "store_fixture.h"

/*
 * Runs a store on files that inject faults. Records that it reported as synced
 * must be recovered after a restart; damaged files must be refused, never
 * truncated.
 */

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
			/* A store that is open waits for space. */
			if (fault == FULL && r.store != NULL) {
				g_assert_cmpint(r.err.code, ==, GYP_OK);
				g_assert_cmpuint(
				    r.synced, ==, G_N_ELEMENTS(script));
				g_assert_cmpuint(r.n_full, ==, r.n_recovered);
			}
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

/* The directories that a store at DIR/a/b/c needs, below a test's own. */
static const char *const new_dirs[] = {"a", "a/b", "a/b/c"};

#define NEW_DIRS G_N_ELEMENTS(new_dirs)

static void
remove_new_dirs(const char *dir)
{
	guint i;

	for (i = NEW_DIRS; i > 0; i--) {
		char *path = g_build_filename(dir, new_dirs[i - 1], NULL);

		if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
			if (i == NEW_DIRS)
				empty_dir(path);
			g_assert_cmpint(g_rmdir(path), ==, 0);
		}
		g_free(path);
	}
}

static void
assert_synced(const struct disk *d, const char *path)
{
	struct stat sb;

	g_assert_cmpint(stat(path, &sb), ==, 0);
	if (!g_hash_table_contains(d->synced, GSIZE_TO_POINTER(sb.st_ino)))
		g_error("%s was not synced", path);
}

/*
 * Opens a store when that many of its directories exist and were not synced;
 * operation fail_at fails. Returns whether there was such an operation.
 */
static bool
check_new_dirs(const char *dir, guint existing, int fail_at)
{
	char *path = g_build_filename(dir, new_dirs[NEW_DIRS - 1], NULL);
	char *identity = g_build_filename(path, "identity", NULL);
	struct disk d;
	struct session r;
	struct model m;
	guint i;

	disk_init(&d, FAIL, fail_at);
	for (i = 0; i < existing; i++) {
		char *made = g_build_filename(dir, new_dirs[i], NULL);

		g_assert_cmpint(g_mkdir(made, 0700), ==, 0);
		g_free(made);
	}
	session_open(&r, path, &d.base, &m);
	session_close(&r);
	if (g_file_test(identity, G_FILE_TEST_EXISTS)) {
		assert_synced(&d, dir);
		for (i = 0; i + 1 < NEW_DIRS; i++) {
			char *made = g_build_filename(dir, new_dirs[i], NULL);

			assert_synced(&d, made);
			g_free(made);
		}
	}
	remove_new_dirs(dir);
	g_hash_table_destroy(d.synced);
	g_free(identity);
	g_free(path);
	return d.n_ops >= fail_at;
}

/*
 * Guards against a data directory that disappears in a power failure with all
 * records that were acknowledged, since a directory above it was not synced:
 * several were new, the process was killed after creating some, or reading the
 * settings created them.
 */
static void
test_new_dirs(void)
{
	char *dir = make_temp_dir();
	guint existing;

	for (existing = 0; existing <= NEW_DIRS; existing++) {
		int at = 1;

		while (check_new_dirs(dir, existing, at))
			at++;
	}
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
	g_test_add_func("/store/new-dirs", test_new_dirs);
	g_test_add_func("/store/each-fault", test_each_fault);
	g_test_add_func("/store/fault-in-recovery", test_fault_in_recovery);
	g_test_add_func("/store/damage", test_damage);
	g_test_add_func("/store/lagging-mark", test_lagging_mark);
	g_test_add_func("/store/lock", test_lock);
	return g_test_run();
}
