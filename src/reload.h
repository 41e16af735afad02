#ifndef GYP_RELOAD_H
#define GYP_RELOAD_H

#include "settings.h"
#include "timer.h"

struct ev_loop;

/*
 * NAME
 *	reload - reloads a settings file while a program runs
 *
 * DESCRIPTION
 *	The file is read again on SIGHUP, and when a poll finds that its size,
 *	inode or modification time has changed. The whole file is checked
 *	first: if it is refused, no setting changes. Lists of addresses take
 *	effect at once; for each other key that differs, a log line says that
 *	it takes effect at the next start.
 */

/* Interval at which the file is polled, in ms. */
#define GYP_RELOAD_POLL_MS 1000

struct gyp_reload;

/* Called after a list of addresses was replaced. */
typedef void (*gyp_reload_fn)(void *arg, const struct gyp_setting *);

/* The table and the path must outlive the returned object. */
struct gyp_reload *gyp_reload_new(struct ev_loop *, struct gyp_timers *,
    const char *path, const struct gyp_setting *table, size_t n, gyp_reload_fn,
    void *arg);
void gyp_reload_free(struct gyp_reload *);

#endif
