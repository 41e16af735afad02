#ifndef GYP_RELOAD_H
#define GYP_RELOAD_H

#include "settings.h"
#include "timer.h"

struct ev_loop;

/*
 * NAME
 *	reload - a settings file that changes while a program runs
 *
 * DESCRIPTION
 *	The file is read again at SIGHUP, and when its size or time of change
 *	differ at the next look. It is checked as a whole first: a file that is
 *	refused changes nothing. Lists of addresses take effect at once; for
 *	other keys that differ, a line says that they wait for the next start.
 */

/* Interval of the looks at the file, in ms. */
#define GYP_RELOAD_POLL_MS 1000

struct gyp_reload;

/* A list of addresses has a new value, which is stored already. */
typedef void (*gyp_reload_fn)(void *arg, const struct gyp_setting *);

/* The table and the path must outlive it. */
struct gyp_reload *gyp_reload_new(struct ev_loop *, struct gyp_timers *,
    const char *path, const struct gyp_setting *table, size_t n, gyp_reload_fn,
    void *arg);
void gyp_reload_free(struct gyp_reload *);

#endif
