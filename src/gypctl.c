#include <locale.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "ctl.h"
#include "program.h"

/* Environment variable used without --entry: "ip:port,ip:port". */
#define ENTRY_VARIABLE "GYPCTL_ENTRY"

/* Most words in the name of a command. */
#define WORDS_MAX 2

#define DEFAULT_TIMEOUT_S 30
#define DEFAULT_WAIT_S    6

/* Options that a command takes besides the common ones. */
enum {
	TAKES_BASE = 1,
	TAKES_REQUEST = 2,
	TAKES_AUTHOR = 4,
	TAKES_WAIT = 8,
	TAKES_VERSION = 16,
	TAKES_UNDO = 32
};

#define TAKES_APPLY (TAKES_BASE | TAKES_REQUEST | TAKES_AUTHOR | TAKES_WAIT)

struct command {
	const char *name;    /* one or two words */
	const char *operand; /* name of its one operand, or NULL */
	const char *summary;
	int (*run)(struct gyp_ctl *, char **args);
	unsigned takes;
	bool offline;
};

static const struct command commands[] = {
    {"rules check", "FILE", "check a rules file and list lines that disagree",
	gyp_ctl_rules_check, 0, true},
    {"rules diff", "FILE", "compare a file with the newest version",
	gyp_ctl_rules_diff, 0, false},
    {"rules apply", "FILE", "apply a file as the next version",
	gyp_ctl_rules_apply, TAKES_APPLY, false},
    {"rules history", NULL, "list the versions that are kept",
	gyp_ctl_rules_history, 0, false},
    {"rules show", NULL, "print the text of a version", gyp_ctl_rules_show,
	TAKES_VERSION, false},
    {"rules status", NULL, "show which version each process has",
	gyp_ctl_rules_status, 0, false},
    {"status", NULL, "print statistics of the cell", gyp_ctl_status, 0, false},
    {"endpoints", NULL, "list the announced endpoints", gyp_ctl_endpoints, 0,
	false},
    {"workspaces", NULL, "list the workspaces and what they use",
	gyp_ctl_workspaces, 0, false},
    {"preview", "FILE", "show where a flow would go now, and why",
	gyp_ctl_preview, 0, false},
    {"drain", "ENDPOINT", "stop giving an endpoint new work", gyp_ctl_drain,
	TAKES_UNDO, false},
    {"members remove", "ID", "remove a replica from the cell",
	gyp_ctl_members_remove, 0, false},
    {"members", NULL, "list the replicas", gyp_ctl_members, 0, false},
    {"job", "ID", "print a job", gyp_ctl_job, 0, false},
    {"explain", "ID", "explain why a job waits, or why it runs where it does",
	gyp_ctl_explain, 0, false},
    {"cancel", "ID", "cancel a job", gyp_ctl_cancel, 0, false}};

/* ---- Command line ------------------------------------------------------ */

/*
 * Returns the number of words in the command's name if the arguments start with
 * it, else 0.
 */
static int
match_command(const struct command *cmd, char **args)
{
	char **words = g_strsplit(cmd->name, " ", WORDS_MAX);
	int i;

	for (i = 0; words[i] != NULL; i++) {
		if (args[i] == NULL || strcmp(args[i], words[i]) != 0)
			break;
	}
	if (words[i] != NULL)
		i = 0;
	g_strfreev(words);
	return i;
}

static const struct command *
find_command(char **args, int *words)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		*words = match_command(&commands[i], args);
		if (*words > 0)
			return &commands[i];
	}
	return NULL;
}

static char *
describe_commands(void)
{
	GString *text = g_string_new("Commands:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *cmd = &commands[i];
		char *usage = g_strjoin(" ", cmd->name, cmd->operand, NULL);

		g_string_append_printf(
		    text, "  %-24s %s\n", usage, cmd->summary);
		g_free(usage);
	}
	g_string_append(text,
	    "\nExit codes: 0 success; 1 refused, or another version was "
	    "accepted first; 2 lines\nof the rules disagree; 3 accepted, not "
	    "yet in force everywhere; 64 bad command\nline; 66 the file can't "
	    "be read; 69 no answer.\n"
	    "Options of a command: gypctl COMMAND --help\n");
	return g_string_free(text, FALSE);
}

/* Adds the common options and those that the bits of takes select. */
static void
add_options(GOptionContext *ctx, struct gyp_ctl *ctl, unsigned takes)
{
	const struct {
		unsigned bit;
		GOptionEntry entry;
	} all[] = {
	    {0, {"entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &ctl->entries,
		    "Entry to connect to; may be repeated", "IP:PORT"}},
	    {0, {"format", 'f', 0, G_OPTION_ARG_STRING, &ctl->format,
		    "Print text or json", "FORMAT"}},
	    {0, {"timeout", 't', 0, G_OPTION_ARG_INT, &ctl->timeout_s,
		    "Time limit for the answer of one entry", "SECONDS"}},
	    {TAKES_BASE, {"base", 'b', 0, G_OPTION_ARG_INT64, &ctl->base,
			     "Version that the file is based on", "N"}},
	    {TAKES_REQUEST,
		{"request", 'r', 0, G_OPTION_ARG_STRING, &ctl->request,
		    "Id of the request, for a resend after a lost answer",
		    "ID"}},
	    {TAKES_AUTHOR, {"author", 'a', 0, G_OPTION_ARG_STRING, &ctl->author,
			       "Author to store with the version", "NAME"}},
	    {TAKES_WAIT,
		{"wait", 'w', 0, G_OPTION_ARG_INT, &ctl->wait_s,
		    "Time to wait until it is in force everywhere", "SECONDS"}},
	    {TAKES_VERSION,
		{"rules-version", 0, 0, G_OPTION_ARG_INT64, &ctl->version,
		    "Version to print instead of the newest", "N"}},
	    {TAKES_UNDO, {"undo", 'u', 0, G_OPTION_ARG_NONE, &ctl->undo,
			     "Give it new work again", NULL}}};
	GOptionEntry chosen[G_N_ELEMENTS(all) + 1] = {{.long_name = NULL}};
	size_t i, n = 0;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		if (all[i].bit == 0 || (all[i].bit & takes) != 0)
			chosen[n++] = all[i].entry;
	}
	g_option_context_add_main_entries(ctx, chosen, NULL);
}

static bool
parse(GOptionContext *ctx, char ***argv)
{
	GError *error = NULL;
	bool ok = g_option_context_parse_strv(ctx, argv, &error);

	if (!ok) {
		fprintf(stderr, "gypctl: %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(ctx);
	return ok;
}

/* Parses the options before the command. Returns -1 to continue, or a code. */
static int
parse_common(struct gyp_ctl *ctl, char ***argv)
{
	gboolean version = FALSE;
	GOptionEntry extra[] = {{"version", 0, 0, G_OPTION_ARG_NONE, &version,
				    "Print the version and exit", NULL},
	    {.long_name = NULL}};
	GOptionContext *ctx = g_option_context_new("COMMAND ...");
	char *description = describe_commands();
	bool ok;

	g_option_context_set_summary(
	    ctx, "Queries and controls a cell through any of its entries.");
	g_option_context_set_description(ctx, description);
	g_option_context_set_strict_posix(ctx, TRUE);
	add_options(ctx, ctl, 0);
	g_option_context_add_main_entries(ctx, extra, NULL);
	ok = parse(ctx, argv);
	g_free(description);
	if (!ok)
		return GYP_CTL_USAGE;
	if (version) {
		printf("gypctl %s\n", GYP_VERSION);
		return GYP_CTL_OK;
	}
	if ((*argv)[1] != NULL)
		return -1;
	fprintf(stderr, "gypctl: expected a command; see --help\n");
	return GYP_CTL_USAGE;
}

/* Parses the options after the command's name; *argv keeps the operands. */
static bool
parse_command(struct gyp_ctl *ctl, const struct command *cmd, char ***argv)
{
	char *usage = g_strjoin(" ", cmd->name, cmd->operand, NULL);
	GOptionContext *ctx = g_option_context_new(usage);
	guint operands;
	bool ok;

	g_option_context_set_summary(ctx, cmd->summary);
	add_options(ctx, ctl, cmd->takes);
	ok = parse(ctx, argv);
	operands = g_strv_length(*argv) - 1;
	if (ok && operands != (cmd->operand != NULL)) {
		fprintf(stderr, "gypctl: expected %s\n", usage);
		ok = false;
	}
	g_free(usage);
	return ok;
}

/* ---- Checks ------------------------------------------------------------ */

static bool
check_format(struct gyp_ctl *ctl)
{
	ctl->json = g_strcmp0(ctl->format, "json") == 0;
	if (ctl->json || ctl->format == NULL ||
	    strcmp(ctl->format, "text") == 0)
		return true;
	fprintf(stderr, "gypctl: --format: expected text or json\n");
	return false;
}

static bool
check_entries(struct gyp_ctl *ctl)
{
	const char *list = g_getenv(ENTRY_VARIABLE);

	if (ctl->entries == NULL && list != NULL && list[0] != '\0')
		ctl->entries = g_strsplit(list, ",", -1);
	if (ctl->entries != NULL)
		return true;
	fprintf(stderr,
	    "gypctl: --entry IP:PORT or the variable %s is required\n",
	    ENTRY_VARIABLE);
	return false;
}

static bool
check_times(const struct gyp_ctl *ctl)
{
	if (ctl->timeout_s > 0 && ctl->wait_s >= 0 && ctl->wait_s <= 600)
		return true;
	fprintf(stderr, "gypctl: expected --timeout above 0 and --wait "
			"from 0 to 600 seconds\n");
	return false;
}

static int
run_command(struct gyp_ctl *ctl, const struct command *cmd, char **argv)
{
	if (!check_format(ctl) || !check_times(ctl) ||
	    (!cmd->offline && !check_entries(ctl)))
		return GYP_CTL_USAGE;
	/* The answer may arrive only at the end of the wait. */
	ctl->timeout_s = MAX(ctl->timeout_s, ctl->wait_s + 5);
	return cmd->run(ctl, argv + 1);
}

/* Removes the words of the command's name, which start at argv[1]. */
static void
drop_words(char **argv, int words)
{
	int i;

	for (i = 1; i <= words; i++)
		g_free(argv[i]);
	for (i = 1; argv[i + words] != NULL; i++)
		argv[i] = argv[i + words];
	argv[i] = NULL;
}

static int
dispatch(struct gyp_ctl *ctl, char ***argv)
{
	const struct command *cmd;
	int words = 0;

	cmd = find_command(*argv + 1, &words);
	if (cmd == NULL) {
		fprintf(stderr, "gypctl: %s: unknown command; see --help\n",
		    (*argv)[1]);
		return GYP_CTL_USAGE;
	}
	drop_words(*argv, words);
	if (!parse_command(ctl, cmd, argv))
		return GYP_CTL_USAGE;
	return run_command(ctl, cmd, *argv);
}

int
main(int argc, char **argv)
{
	struct gyp_ctl ctl = {.base = -1,
	    .timeout_s = DEFAULT_TIMEOUT_S,
	    .wait_s = DEFAULT_WAIT_S};
	char **args = g_strdupv(argv);
	int code;

	(void)argc;
	setlocale(LC_ALL, "");
	g_set_prgname("gypctl");
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = parse_common(&ctl, &args);
	if (code < 0)
		code = dispatch(&ctl, &args);
	curl_global_cleanup();
	g_strfreev(args);
	g_strfreev(ctl.entries);
	g_free(ctl.format);
	g_free(ctl.request);
	g_free(ctl.author);
	return code;
}
