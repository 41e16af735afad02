#include <sys/stat.h>

#include <signal.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "log.h"
#include "reload.h"

struct gyp_reload {
	struct ev_loop *loop;
	struct gyp_timers *timers;
	ev_signal hup;
	struct gyp_timer *poll_timer;
	const char *path;
	const struct gyp_setting *table;
	size_t n;
	gyp_reload_fn on_change;
	void *arg;
	struct stat last_stat;
};

/* Value of a setting of any type. */
union value {
	char *text;
	char **list;
	uint32_t count;
	uint64_t bytes;
	bool flag;
};

static bool
lists_equal(char *const *a, char *const *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	return g_strv_equal((const gchar *const *)a, (const gchar *const *)b);
}

static bool
values_equal(const struct gyp_setting *s, const union value *v)
{
	switch (s->type) {
	case GYP_SETTING_ADDRESSES:
		return lists_equal(*(char ***)s->dest, v->list);
	case GYP_SETTING_BYTES:
		return *(uint64_t *)s->dest == v->bytes;
	case GYP_SETTING_MS:
	case GYP_SETTING_COUNT:
		return *(uint32_t *)s->dest == v->count;
	case GYP_SETTING_FLAG:
		return *(bool *)s->dest == v->flag;
	default:
		return g_strcmp0(*(char **)s->dest, v->text) == 0;
	}
}

/* Stores the new list, and leaves the old one in *v to be freed. */
static void
swap_list(const struct gyp_setting *s, union value *v)
{
	char **old = *(char ***)s->dest;

	*(char ***)s->dest = v->list;
	v->list = old;
}

/* Copies the current value, which applies if the key is not in the file. */
static void
copy_value(const struct gyp_setting *s, union value *v)
{
	memset(v, 0, sizeof(*v));
	if (s->type == GYP_SETTING_ADDRESSES)
		v->list = g_strdupv(*(char ***)s->dest);
	else if (s->type == GYP_SETTING_BYTES)
		v->bytes = *(uint64_t *)s->dest;
	else if (s->type == GYP_SETTING_MS || s->type == GYP_SETTING_COUNT)
		v->count = *(uint32_t *)s->dest;
	else if (s->type == GYP_SETTING_FLAG)
		v->flag = *(bool *)s->dest;
	else
		v->text = g_strdup(*(char **)s->dest);
}

static void
apply_value(struct gyp_reload *r, const struct gyp_setting *s, union value *v)
{
	if (values_equal(s, v))
		return;
	if (s->type == GYP_SETTING_ADDRESSES) {
		swap_list(s, v);
		gyp_log(GYP_LOG_NOTICE, "setting-changed", "section=%s key=%s",
		    s->section, s->key);
		r->on_change(r->arg, s);
		return;
	}
	gyp_log(GYP_LOG_WARNING, "setting-waits",
	    "section=%s key=%s reason=\"takes effect at the next start\"",
	    s->section, s->key);
}

static void
reload(struct gyp_reload *r, const char *why)
{
	struct gyp_setting *copy =
	    g_memdup2(r->table, r->n * sizeof(*r->table));
	union value *values = g_new0(union value, r->n);
	struct gyp_settings set = {.table = copy, .n = r->n};
	struct gyp_error err = {.code = GYP_OK};
	size_t i;

	for (i = 0; i < r->n; i++) {
		copy_value(&r->table[i], &values[i]);
		copy[i].dest = &values[i];
	}
	if (gyp_settings_load(r->path, &set, &err) != GYP_OK) {
		gyp_log(GYP_LOG_ERR, "reload-refused", "cause=%s error=\"%s\"",
		    why, err.message);
	} else {
		gyp_log(GYP_LOG_NOTICE, "reloaded", "cause=%s", why);
		for (i = 0; i < r->n; i++)
			apply_value(r, &r->table[i], &values[i]);
	}
	gyp_settings_clear(copy, r->n);
	g_free(copy);
	g_free(values);
}

/* Stores the file's status. Returns true if it differs from the last one. */
static bool
update_stat(struct gyp_reload *r)
{
	struct stat st;
	bool differs;

	if (stat(r->path, &st) != 0)
		return false;
	differs = st.st_mtim.tv_sec != r->last_stat.st_mtim.tv_sec ||
		  st.st_mtim.tv_nsec != r->last_stat.st_mtim.tv_nsec ||
		  st.st_size != r->last_stat.st_size ||
		  st.st_ino != r->last_stat.st_ino;
	r->last_stat = st;
	return differs;
}

static void
on_hup(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct gyp_reload *r = w->data;

	(void)loop;
	(void)revents;
	update_stat(r);
	reload(r, "signal");
}

static void
on_poll(void *arg, uint64_t now)
{
	struct gyp_reload *r = arg;

	(void)now;
	if (update_stat(r))
		reload(r, "file");
}

struct gyp_reload *
gyp_reload_new(struct ev_loop *loop, struct gyp_timers *timers,
    const char *path, const struct gyp_setting *table, size_t n,
    gyp_reload_fn on_change, void *arg)
{
	struct gyp_reload *r = g_new0(struct gyp_reload, 1);

	r->loop = loop;
	r->timers = timers;
	r->path = path;
	r->table = table;
	r->n = n;
	r->on_change = on_change;
	r->arg = arg;
	update_stat(r);
	ev_signal_init(&r->hup, on_hup, SIGHUP);
	r->hup.data = r;
	ev_signal_start(loop, &r->hup);
	r->poll_timer = gyp_timer_every(timers, GYP_RELOAD_POLL_MS, on_poll, r);
	return r;
}

void
gyp_reload_free(struct gyp_reload *r)
{
	if (r == NULL)
		return;
	ev_signal_stop(r->loop, &r->hup);
	signal(SIGHUP, SIG_IGN); /* the process is about to end */
	gyp_timer_cancel(r->timers, r->poll_timer);
	g_free(r);
}
