#include <string.h>

#include <ev.h>
#include <glib.h>

#include "store_fixture.h"

/*
 * A store whose disk is full must wait for space, report nothing as synced that
 * is not, take no torn write for a record, and then go on without losing or
 * duplicating one.
 */

/* Records 1 to 6 of the script have no snapshot among them. */
#define RECORDS_BEFORE_SNAPSHOT 6
#define ENTRIES_BEFORE_SNAPSHOT 4

/* Numbers of operations for which the disk is full. */
static const int durations[] = {1, 2, 3, 5, 9, 20};

struct tally {
	guint waited;  /* sessions that waited for space */
	guint refused; /* sessions that could not open the directory */
	int last_at;   /* number of the last operation that failed */
};

static void
append(struct session *r, guint first, guint last, bool burst)
{
	if (!burst) {
		session_append(r, first, last);
		return;
	}
	session_append_burst(r, first, last);
	session_wait(r);
}

/* Runs a session on a disk that is full for a while; false: never reached. */
static bool
run_full(const char *dir, int at, int duration, bool burst, struct tally *tally)
{
	struct disk d;
	struct session r;
	struct model m;
	bool reached;

	disk_init(&d, FULL, at);
	d.fail_count = duration;
	d.torn_bytes = at % 60;
	if (session_open(&r, dir, &d.base, &m)) {
		append(&r, 1, SCRIPT_RECORDS, burst);
		g_assert_cmpint(r.err.code, ==, GYP_OK);
		g_assert_cmpuint(r.synced, ==, SCRIPT_RECORDS);
		g_assert_cmpuint(r.n_recovered, ==, r.n_full);
		tally->waited += r.n_full > 0;
	} else {
		g_assert_cmpint(r.err.code, ==, GYP_FULL);
		tally->refused++;
	}
	session_close(&r);
	reached = d.n_ops >= at;
	check_recovered(dir, r.synced, r.appended);
	g_hash_table_destroy(d.synced);
	return reached;
}

/*
 * Guards against a store that ends, hangs or loses records when the disk is
 * full for a while, from each operation of a session on.
 */
static void
test_recovers(void)
{
	char *dir = make_temp_dir();
	struct tally tally = {0};
	guint i;

	for (i = 0; i < 2 * G_N_ELEMENTS(durations); i++) {
		int at = 1;

		while (run_full(dir, at, durations[i / 2], i % 2, &tally)) {
			empty_dir(dir);
			at++;
		}
		empty_dir(dir);
	}
	g_test_message("%u waited, %u refused", tally.waited, tally.refused);
	g_assert_cmpuint(tally.waited, >, 100);
	remove_dir(dir);
}

/* Guards against a record that a replay after a wait for space finds twice. */
static void
test_no_duplicates(void)
{
	char *dir = make_temp_dir();
	bool reached = true;
	int at;

	for (at = 1; reached; at++) {
		struct disk d;
		struct session r;
		struct model m, found;

		disk_init(&d, NO_FAULT, 0);
		g_assert_true(session_open(&r, dir, &d.base, &m));
		d.n_ops = 0;
		d.fail_at = at;
		d.fail_count = 2;
		d.torn_bytes = at % 60;
		d.fault = FULL;
		append(&r, 1, RECORDS_BEFORE_SNAPSHOT, at % 2);
		session_close(&r);
		reached = d.n_ops >= at;
		g_hash_table_destroy(d.synced);

		disk_init(&d, NO_FAULT, 0);
		g_assert_true(session_open(&r, dir, &d.base, &found));
		model_script(&m, RECORDS_BEFORE_SNAPSHOT);
		g_assert_true(model_equal(&found, &m));
		g_assert_cmpuint(found.entries, ==, ENTRIES_BEFORE_SNAPSHOT);
		session_close(&r);
		g_hash_table_destroy(d.synced);
		empty_dir(dir);
	}
	remove_dir(dir);
}

/*
 * Guards against records that are lost, or torn ones that are read, when the
 * process ends while it waits for space, and against a restart that fails while
 * the disk is still full: it reads the records and waits too.
 */
static void
test_killed_while_full(void)
{
	char *dir = make_temp_dir();
	bool reached = true;
	int at;

	for (at = 1; reached; at++) {
		struct disk d;
		struct session r;
		struct model m;
		uint64_t synced, appended;

		disk_init(&d, NO_FAULT, 0);
		g_assert_true(session_open(&r, dir, &d.base, &m));
		d.n_ops = 0;
		d.fail_at = at;
		d.fail_count = G_MAXINT;
		d.torn_bytes = at % 60;
		d.fault = FULL;
		session_append_burst(&r, 1, SCRIPT_RECORDS);
		while (r.n_full == 0 && r.synced < r.appended)
			ev_run(r.loop, 0);
		g_assert_cmpint(r.err.code, ==, GYP_OK);
		synced = r.synced;
		appended = r.appended;
		session_close(&r);
		reached = d.n_ops >= at;

		d.n_ops = 0;
		d.fail_at = 2; /* the lock file exists */
		g_assert_true(session_open(&r, dir, &d.base, &m));
		g_assert_true(gyp_store_is_full(r.store));
		g_assert_cmpuint(r.n_recovered, ==, 0);
		session_close(&r);
		g_assert_cmpuint(r.synced, ==, 0);
		check_recovered(dir, synced, appended);
		empty_dir(dir);
		g_hash_table_destroy(d.synced);
	}
	remove_dir(dir);
}

/*
 * Guards against a store that stays unusable, or has lost records, once there
 * is space because it was opened on a full disk.
 */
static void
test_full_at_start(void)
{
	char *dir = make_temp_dir();
	struct disk d;
	struct session r;
	struct model m, expected;

	write_script(dir, 3);
	disk_init(&d, FULL, 2);
	d.fail_count = 50;
	g_assert_true(session_open(&r, dir, &d.base, &m));
	g_assert_true(gyp_store_is_full(r.store));
	model_script(&expected, 3);
	g_assert_true(model_equal(&m, &expected));
	session_append(&r, 4, 5);
	g_assert_cmpint(r.err.code, ==, GYP_OK);
	g_assert_cmpuint(r.synced, ==, 2);
	g_assert_cmpuint(r.n_recovered, ==, 1);
	session_close(&r);
	check_recovered(dir, 5, 5);
	g_hash_table_destroy(d.synced);
	remove_dir(dir);
}

/*
 * Guards against a wait that goes on after another error: what is on the disk
 * is then unknown.
 */
static void
test_error_while_full(void)
{
	char *dir = make_temp_dir();
	struct disk d;
	struct session r;
	struct model m;

	disk_init(&d, NO_FAULT, 0);
	g_assert_true(session_open(&r, dir, &d.base, &m));
	session_append(&r, 1, 3);
	d.fail_at = d.n_ops + 1;
	d.fail_count = G_MAXINT;
	d.fault = FULL;
	session_append_burst(&r, 4, 4);
	while (r.n_full == 0)
		ev_run(r.loop, 0);
	d.fault = FAIL;
	session_wait(&r);
	g_assert_cmpint(r.err.code, ==, GYP_IO);
	g_assert_cmpuint(r.synced, ==, 3);
	g_assert_cmpuint(r.n_recovered, ==, 0);
	session_close(&r);
	check_recovered(dir, 3, 4);
	g_hash_table_destroy(d.synced);
	remove_dir(dir);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/full-disk/recovers", test_recovers);
	g_test_add_func("/full-disk/no-duplicates", test_no_duplicates);
	g_test_add_func("/full-disk/killed-while-full", test_killed_while_full);
	g_test_add_func("/full-disk/full-at-start", test_full_at_start);
	g_test_add_func("/full-disk/error-while-full", test_error_while_full);
	return g_test_run();
}
