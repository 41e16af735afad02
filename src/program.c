#include <sys/resource.h>

#include <signal.h>
#include <stdio.h>

#include <glib.h>

#include "log.h"
#include "program.h"

/* Exit code of a bad command line (EX_USAGE). */
#define EXIT_USAGE 64

struct options {
	char *config;
	gboolean check;
	gboolean version;
	gboolean init;
};

static bool
parse_options(struct gyp_program *p, struct options *o, int argc, char **argv)
{
	GOptionEntry entries[] = {
	    {"config", 'c', 0, G_OPTION_ARG_FILENAME, &o->config,
		"Settings file (INI)", "FILE"},
	    {"check-config", 0, 0, G_OPTION_ARG_NONE, &o->check,
		"Check the settings and exit", NULL},
	    {"version", 0, 0, G_OPTION_ARG_NONE, &o->version,
		"Print the version and exit", NULL},
	    {"init", 0, p->allow_init ? 0 : G_OPTION_FLAG_HIDDEN,
		G_OPTION_ARG_NONE, &o->init,
		"Start a new cell with this replica alone", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_set_summary(ctx, p->summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &error);
	if (!ok) {
		fprintf(stderr, "%s: %s\n", p->name, error->message);
		g_error_free(error);
	} else if (argc > 1) {
		fprintf(
		    stderr, "%s: unexpected argument %s\n", p->name, argv[1]);
		ok = false;
	} else if (o->config == NULL && !o->version) {
		fprintf(stderr, "%s: --config FILE is required\n", p->name);
		ok = false;
	} else if (o->init && !p->allow_init) {
		fprintf(stderr, "%s: unknown option --init\n", p->name);
		ok = false;
	}
	g_option_context_free(ctx);
	return ok;
}

static int
load_settings(struct gyp_program *p, const struct options *o)
{
	const struct gyp_settings set = {.table = p->settings,
	    .n = p->n_settings,
	    .constraints = p->constraints,
	    .n_constraints = p->n_constraints,
	    .create_dirs = !o->check};
	struct gyp_error err = {.code = GYP_OK};

	if (gyp_settings_load(o->config, &set, &err) != GYP_OK) {
		fprintf(stderr, "%s: %s\n", p->name, err.message);
		return GYP_EXIT_SETTINGS;
	}
	if (!o->check)
		return -1;
	printf("%s: settings are valid\n", o->config);
	return 0;
}

/*
 * Allows as many open files as the system permits: the usual soft limit, 1,024,
 * is below the number of connections that a process accepts.
 */
static void
raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

int
gyp_program_start(struct gyp_program *p, int argc, char **argv)
{
	struct options o = {NULL, FALSE, FALSE, FALSE};
	int code;

	gyp_log_open(p->name, GYP_LOG_INFO);
	raise_file_limit();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGHUP, SIG_IGN); /* until gyp_reload_new() handles it */
	if (!parse_options(p, &o, argc, argv)) {
		code = EXIT_USAGE;
	} else if (o.version) {
		printf("%s %s\n", p->name, GYP_VERSION);
		code = 0;
	} else {
		code = load_settings(p, &o);
		p->init = o.init;
	}
	p->config = o.config;
	return code;
}
