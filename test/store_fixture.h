#ifndef STORE_FIXTURE_H
#define STORE_FIXTURE_H

#include <glib.h>

#include "store.h"

/*
 * NAME
 *	store_fixture - a store on files that inject faults
 *
 * DESCRIPTION
 *	A session opens a store, appends the records of a script and waits for
 *	them. The model is the state that a replay of the records results in.
 */

enum fault { NO_FAULT, FAIL, FULL, SHORT_WRITE };

/*
 * Files whose operations from number fail_at on fail, fail_count of them; a
 * failed sync loses the unsynced data.
 */
struct disk {
	struct gyp_files base;
	enum fault fault;
	int fail_at; /* counts operations from 1 */
	int fail_count;
	int n_ops;
	int torn_bytes;     /* written by a failing write before it fails */
	GHashTable *synced; /* inode -> length */
};

struct session {
	struct gyp_store_owner owner;
	struct gyp_store *store;
	struct ev_loop *loop;
	uint64_t synced, appended;
	guint n_full, n_recovered; /* reports of the store */
	struct gyp_error err;
};

/* State that a replay of the log results in, expected or found. */
struct model {
	uint64_t term, vote, snapshot, last;
	uint32_t at[64]; /* CRC of the entry of each index */
	guint entries;   /* entry records, not compared */
};

/* Records with elections, a replaced entry and both kinds of snapshots. */
#define SCRIPT_RECORDS 12
extern const struct gyp_record script[SCRIPT_RECORDS];

/* The nth record of the script, from 1, with unique data. */
struct gyp_record script_record(guint n);

/* One operation fails, number fail_at; the caller may set fail_count. */
void disk_init(struct disk *d, enum fault fault, int fail_at);

char *make_temp_dir(void);
void empty_dir(const char *dir);
void remove_dir(char *dir);

void model_add(void *arg, const struct gyp_record *rec);
bool model_equal(const struct model *a, const struct model *b);
void model_script(struct model *m, guint records);

/* Opens and replays the store; returns false with the error set on failure. */
bool session_open(struct session *r, const char *dir, struct gyp_files *files,
    struct model *m);
void session_close(struct session *r);

/* Appends records one by one until one fails. */
void session_append(struct session *r, guint first, guint last);

/* Appends the records without waiting for each. */
void session_append_burst(struct session *r, guint first, guint last);

/* Waits until all appended records are synced, or one fails. */
void session_wait(struct session *r);

void write_script(const char *dir, guint records);

/* A restart recovers at least the synced and at most the appended records. */
void check_recovered(const char *dir, uint64_t synced, uint64_t appended);

/* A damaged directory is refused, and the message names the file. */
void check_refused(const char *dir, const char *name);

#endif
