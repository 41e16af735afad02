#include <stdio.h>
#include <string.h>

#include "rules_int.h"
#include "units.h"

/* Longest line, in bytes. */
#define LINE_BYTES_MAX 1024

/* Longest name of a class or team, in bytes. */
#define NAME_BYTES_MAX 64

/* Most keys of a verb. */
#define KEYS_MAX 4

/* What follows a verb: nothing, a class or team, or endpoint or rack. */
enum subject_kind { SUBJECT_NONE, SUBJECT_NAME, SUBJECT_SCOPE };

enum value_type {
	VALUE_COUNT,
	VALUE_PERCENT,
	VALUE_MS,
	VALUE_BYTES,
	VALUE_CPU, /* whole processors, stored as thousandths */
	VALUE_CLASS,
	VALUE_DOMAIN
};

struct key_spec {
	const char *name; /* "" for a value without a key */
	enum value_type type;
	size_t offset; /* in struct gyp_rule */
	uint64_t min;
	uint64_t max;
};

struct verb_spec {
	enum subject_kind subject;
	bool optional; /* at least one key; else all are required */
	const char *usage;
	struct key_spec keys[KEYS_MAX];
};

#define FIELD_OFFSET(member) offsetof(struct gyp_rule, member)

static const struct verb_spec verbs[GYP_RULE_VERB_COUNT] = {
    [GYP_RULE_WEIGHT] = {SUBJECT_NAME, false,
	"weight CLASS waiting=N packing=N",
	{{"waiting", VALUE_COUNT, FIELD_OFFSET(u.weight.waiting), 0, 1000},
	    {"packing", VALUE_COUNT, FIELD_OFFSET(u.weight.packing), 0, 1000}}},
    [GYP_RULE_QUOTA] = {SUBJECT_NAME, true,
	"quota TEAM cpu=N memory=SIZE accel=N slots=N",
	{{"cpu", VALUE_CPU, FIELD_OFFSET(u.quota.cpu_milli), 0, 1000000},
	    {"memory", VALUE_BYTES, FIELD_OFFSET(u.quota.memory), 0,
		1ULL << 50},
	    {"accel", VALUE_COUNT, FIELD_OFFSET(u.quota.accel), 0, 1000000},
	    {"slots", VALUE_COUNT, FIELD_OFFSET(u.quota.slots), 0, 1000000}}},
    [GYP_RULE_SHARE] = {SUBJECT_NAME, false, "share TEAM N",
	{{"", VALUE_COUNT, FIELD_OFFSET(u.share), 1, 10000}}},
    [GYP_RULE_URGENT] = {SUBJECT_NAME, false, "urgent CLASS within=TIME",
	{{"within", VALUE_MS, FIELD_OFFSET(u.within_ms), 1, 3600000}}},
    [GYP_RULE_LIMIT] = {SUBJECT_SCOPE, false, "limit endpoint|rack tasks=N",
	{{"tasks", VALUE_COUNT, FIELD_OFFSET(u.tasks), 1, 1000000}}},
    [GYP_RULE_SPREAD] = {SUBJECT_NAME, false,
	"spread CLASS over=rack|data-centre",
	{{"over", VALUE_DOMAIN, FIELD_OFFSET(u.over), 0, 0}}},
    [GYP_RULE_RESERVE] = {SUBJECT_NONE, true, "reserve cpu=N% memory=N%",
	{{"cpu", VALUE_PERCENT, FIELD_OFFSET(u.reserve.cpu_percent), 0, 90},
	    {"memory", VALUE_PERCENT, FIELD_OFFSET(u.reserve.memory_percent), 0,
		90}}},
    [GYP_RULE_RETRY] = {SUBJECT_NAME, false, "retry CLASS attempts=N budget=N%",
	{{"attempts", VALUE_COUNT, FIELD_OFFSET(u.retry.attempts), 1, 100},
	    {"budget", VALUE_PERCENT, FIELD_OFFSET(u.retry.budget_percent), 0,
		100}}},
    [GYP_RULE_PREEMPT] = {SUBJECT_NAME, false, "preempt CLASS by=CLASS",
	{{"by", VALUE_CLASS, FIELD_OFFSET(u.by), 0, 0}}},
    [GYP_RULE_QUARANTINE] = {SUBJECT_NONE, false,
	"quarantine failures=N within=TIME for=TIME",
	{{"failures", VALUE_COUNT, FIELD_OFFSET(u.quarantine.failures), 1,
	     10000},
	    {"within", VALUE_MS, FIELD_OFFSET(u.quarantine.within_ms), 1,
		86400000},
	    {"for", VALUE_MS, FIELD_OFFSET(u.quarantine.for_ms), 1, 86400000}}},
    [GYP_RULE_LEARN] = {SUBJECT_NAME, false, "learn CLASS margin=N%",
	{{"margin", VALUE_PERCENT, FIELD_OFFSET(u.margin_percent), 0, 1000}}}};

/* A word of a line; col is its column, from 1. */
struct word {
	const char *text; /* NUL-terminated */
	guint col;
};

struct parser {
	const char *name;
	guint line;
	struct gyp_error *err;
	struct gyp_rules *rules;
};

static bool parse_error(struct parser *p, guint col, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static bool
parse_error(struct parser *p, guint col, const char *fmt, ...)
{
	char message[GYP_ERROR_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	gyp_fail(p->err, GYP_BAD_INPUT, "%s:%u:%u: %s", p->name, p->line, col,
	    message);
	return false;
}

/* ---- Values ------------------------------------------------------------ */

static bool
is_name(const char *text)
{
	size_t i;

	if (strcmp(text, GYP_RULE_ANY) == 0)
		return true;
	for (i = 0; text[i] != '\0'; i++) {
		if (!g_ascii_isalnum(text[i]) && strchr("_.-", text[i]) == NULL)
			return false;
	}
	return i > 0 && i <= NAME_BYTES_MAX;
}

static const struct gyp_unit *const units[] = {[VALUE_COUNT] = gyp_units_none,
    [VALUE_PERCENT] = gyp_units_percent,
    [VALUE_MS] = gyp_units_ms,
    [VALUE_BYTES] = gyp_units_bytes,
    [VALUE_CPU] = gyp_units_none};

static const char *const value_help[] = {[VALUE_COUNT] = "a whole number",
    [VALUE_PERCENT] = "a percentage such as 10%",
    [VALUE_MS] = "a time such as 500ms, 3s or 5m",
    [VALUE_BYTES] = "a size such as 512MiB or 64GiB",
    [VALUE_CPU] = "a whole number of processors"};

static bool
set_number(struct parser *p, const struct key_spec *key, void *dest,
    const char *text, guint col)
{
	uint64_t v = 0;

	if (!gyp_units_parse(text, units[key->type], &v))
		return parse_error(p, col, "\"%.40s\": expected %s", text,
		    value_help[key->type]);
	if (v < key->min || v > key->max)
		return parse_error(p, col,
		    "\"%.40s\": expected %s, from %" G_GUINT64_FORMAT
		    " to %" G_GUINT64_FORMAT "%s",
		    text, value_help[key->type], key->min, key->max,
		    key->type == VALUE_MS      ? " ms"
		    : key->type == VALUE_BYTES ? " bytes"
					       : "");
	if (key->type == VALUE_BYTES)
		*(uint64_t *)dest = v;
	else
		*(uint32_t *)dest =
		    (uint32_t)(key->type == VALUE_CPU ? v * 1000 : v);
	return true;
}

static bool
set_value(struct parser *p, const struct key_spec *key, struct gyp_rule *rule,
    const char *text, guint col)
{
	void *dest = (char *)rule + key->offset;

	switch (key->type) {
	case VALUE_CLASS:
		if (!is_name(text))
			return parse_error(
			    p, col, "\"%.40s\": expected a class or *", text);
		*(char **)dest = g_strdup(text);
		return true;
	case VALUE_DOMAIN:
		if (strcmp(text, "rack") != 0 &&
		    strcmp(text, "data-centre") != 0)
			return parse_error(p, col,
			    "\"%.40s\": expected rack or data-centre", text);
		*(enum gyp_spread_domain *)dest =
		    text[0] == 'r' ? GYP_SPREAD_RACK : GYP_SPREAD_DATA_CENTRE;
		return true;
	default:
		return set_number(p, key, dest, text, col);
	}
}

/* ---- Keys and subjects ------------------------------------------------- */

/* Finds the value after "name="; all of the text if the key has no name. */
static bool
match_key(const struct key_spec *key, const char *text, const char **value)
{
	size_t len = strlen(key->name);

	*value = text;
	if (len == 0)
		return true;
	if (!g_str_has_prefix(text, key->name) || text[len] != '=')
		return false;
	*value += len + 1;
	return true;
}

static bool
parse_key(struct parser *p, const struct verb_spec *spec, struct gyp_rule *rule,
    const struct word *word, bool seen[KEYS_MAX])
{
	guint i;

	for (i = 0; i < KEYS_MAX && spec->keys[i].name != NULL; i++) {
		const char *value;

		if (!match_key(&spec->keys[i], word->text, &value))
			continue;
		if (seen[i])
			return parse_error(p, word->col,
			    "\"%.40s\": expected the key only once",
			    word->text);
		seen[i] = true;
		return set_value(p, &spec->keys[i], rule, value,
		    word->col + (guint)(value - word->text));
	}
	return parse_error(
	    p, word->col, "\"%.40s\": expected %s", word->text, spec->usage);
}

static bool
parse_keys(struct parser *p, const struct verb_spec *spec,
    struct gyp_rule *rule, const GArray *words, guint first, guint end_col)
{
	bool seen[KEYS_MAX] = {false};
	guint i;

	for (i = first; i < words->len; i++) {
		if (!parse_key(p, spec, rule,
			&g_array_index(words, struct word, i), seen))
			return false;
	}
	if (spec->optional && words->len > first)
		return true;
	for (i = 0; i < KEYS_MAX && spec->keys[i].name != NULL; i++) {
		if (!seen[i])
			return parse_error(p, end_col, "%s: expected %s",
			    spec->keys[i].name[0] != '\0' ? spec->keys[i].name
							  : "a number",
			    spec->usage);
	}
	return true;
}

static bool
parse_subject(struct parser *p, const struct verb_spec *spec,
    struct gyp_rule *rule, const GArray *words, guint end_col)
{
	const struct word *word;

	if (spec->subject == SUBJECT_NONE) {
		rule->subject = g_strdup("");
		return true;
	}
	if (words->len < 2)
		return parse_error(p, end_col, "expected %s", spec->usage);
	word = &g_array_index(words, struct word, 1);
	if (spec->subject == SUBJECT_SCOPE
		? strcmp(word->text, "endpoint") != 0 &&
		      strcmp(word->text, "rack") != 0
		: !is_name(word->text))
		return parse_error(p, word->col, "\"%.40s\": expected %s",
		    word->text, spec->usage);
	rule->subject = g_strdup(word->text);
	return true;
}

/* Checks the values of one line against each other. */
static bool
check_values(struct parser *p, const struct gyp_rule *rule)
{
	if (rule->verb == GYP_RULE_WEIGHT && rule->u.weight.waiting == 0 &&
	    rule->u.weight.packing == 0)
		return parse_error(p, 1, "expected a weight above 0");
	if (rule->verb == GYP_RULE_PREEMPT &&
	    strcmp(rule->subject, rule->u.by) == 0)
		return parse_error(p, 1, "expected two different classes");
	return true;
}

static bool
same_rule(const struct gyp_rule *a, const struct gyp_rule *b)
{
	return a->verb == b->verb && strcmp(a->subject, b->subject) == 0 &&
	       (a->verb != GYP_RULE_PREEMPT || strcmp(a->u.by, b->u.by) == 0);
}

static bool
check_unique(struct parser *p, const struct gyp_rule *rule)
{
	GPtrArray *lines = p->rules->lines;
	guint i;

	for (i = 0; i < lines->len; i++) {
		const struct gyp_rule *old = lines->pdata[i];

		if (same_rule(old, rule))
			return parse_error(p, 1,
			    "duplicate of the rule in line %u", old->line);
	}
	return true;
}

/* ---- Lines ------------------------------------------------------------- */

/* Splits the text at blanks, in place. */
static GArray *
split_words(char *text)
{
	GArray *words = g_array_new(FALSE, FALSE, sizeof(struct word));
	char *s = text;

	for (;;) {
		struct word word;

		s += strspn(s, " \t");
		if (*s == '\0')
			return words;
		word.text = s;
		word.col = (guint)(s - text) + 1;
		g_array_append_val(words, word);
		s += strcspn(s, " \t");
		if (*s != '\0')
			*s++ = '\0';
	}
}

static int
find_verb(const char *text)
{
	int verb;

	for (verb = 0; verb < GYP_RULE_VERB_COUNT; verb++) {
		if (strcmp(gyp_rule_verb_name(verb), text) == 0)
			return verb;
	}
	return -1;
}

static void
set_quota_defaults(struct gyp_rule *rule)
{
	if (rule->verb != GYP_RULE_QUOTA)
		return;
	rule->u.quota.cpu_milli = GYP_UNLIMITED;
	rule->u.quota.memory = GYP_UNLIMITED_MEMORY;
	rule->u.quota.accel = GYP_UNLIMITED;
	rule->u.quota.slots = GYP_UNLIMITED;
}

static bool
parse_words(
    struct parser *p, struct gyp_rule *rule, const GArray *words, guint end_col)
{
	const struct word *first = &g_array_index(words, struct word, 0);
	int verb = find_verb(first->text);
	const struct verb_spec *spec;
	guint keys;

	if (verb < 0)
		return parse_error(p, first->col,
		    "\"%.40s\": expected weight, quota, share, urgent, limit, "
		    "spread, reserve, retry, preempt, quarantine or learn",
		    first->text);
	spec = &verbs[verb];
	rule->verb = verb;
	set_quota_defaults(rule);
	keys = spec->subject == SUBJECT_NONE ? 1 : 2;
	return parse_subject(p, spec, rule, words, end_col) &&
	       parse_keys(p, spec, rule, words, keys, end_col) &&
	       check_values(p, rule) && check_unique(p, rule);
}

/* Parses the comment "name: reason"; both parts are required. */
static bool
parse_comment(struct parser *p, struct gyp_rule *rule, const char *text,
    const char *hash, guint end_col)
{
	guint col = hash != NULL ? (guint)(hash - text) + 1 : end_col;
	const char *colon;
	char *name, *reason;
	bool ok;

	colon = hash != NULL ? strchr(hash, ':') : NULL;
	if (colon == NULL)
		return parse_error(p, col,
		    "expected a comment with a name and a reason: "
		    "# name: reason");
	name = g_strstrip(g_strndup(hash + 1, (gsize)(colon - hash - 1)));
	reason = g_strstrip(g_strdup(colon + 1));
	ok = name[0] != '\0' && reason[0] != '\0';
	g_free(name);
	g_free(reason);
	rule->comment = g_strstrip(g_strdup(hash + 1));
	return ok || parse_error(p, col,
			 "expected a name and a reason: # name: reason");
}

static bool
parse_rule(struct parser *p, struct gyp_rule *rule, const char *text)
{
	const char *hash = strchr(text, '#');
	size_t len = hash != NULL ? (size_t)(hash - text) : strlen(text);
	char *code = g_strndup(text, len);
	guint end_col = (guint)strlen(g_strchomp(code)) + 1;
	GArray *words = split_words(code);
	bool ok = parse_words(p, rule, words, end_col) &&
		  parse_comment(p, rule, text, hash, end_col);

	g_array_free(words, TRUE);
	g_free(code);
	return ok;
}

static bool
parse_line(struct parser *p, const char *text)
{
	const char *start = text + strspn(text, " \t");
	struct gyp_rule *rule;

	if (*start == '\0' || *start == '#')
		return true;
	rule = g_new0(struct gyp_rule, 1);
	rule->line = p->line;
	rule->text = g_strchomp(g_strdup(text));
	if (!parse_rule(p, rule, text)) {
		gyp_rule_free(rule);
		return false;
	}
	g_ptr_array_add(p->rules->lines, rule);
	g_hash_table_insert(p->rules->index[rule->verb], rule->subject, rule);
	return true;
}

/* Rejects long lines, control characters and invalid UTF-8. */
static bool
check_bytes(struct parser *p, const char *text, size_t len)
{
	const char *end;
	size_t i;

	if (len > LINE_BYTES_MAX)
		return parse_error(p, LINE_BYTES_MAX + 1,
		    "expected a line of at most %d bytes", LINE_BYTES_MAX);
	for (i = 0; i < len; i++) {
		if ((guchar)text[i] < ' ' && text[i] != '\t')
			return parse_error(p, (guint)i + 1,
			    "control character %d: expected text", text[i]);
	}
	if (!g_utf8_validate(text, (gssize)len, &end))
		return parse_error(
		    p, (guint)(end - text) + 1, "expected text in UTF-8");
	return true;
}

static bool
parse_lines(struct parser *p, struct gyp_slice text)
{
	const char *s = (const char *)text.data;
	const char *end = s + text.len;

	while (s < end) {
		const char *newline = memchr(s, '\n', (size_t)(end - s));
		size_t len = (size_t)((newline != NULL ? newline : end) - s);
		char *line;
		bool ok;

		p->line++;
		if (!check_bytes(p, s, len))
			return false;
		line = g_strndup(s, len);
		ok = parse_line(p, line);
		g_free(line);
		if (!ok)
			return false;
		s += len + 1;
	}
	return true;
}

struct gyp_rules *
gyp_rules_parse(const char *name, struct gyp_slice text, struct gyp_error *err)
{
	struct parser p = {.name = name, .err = err};

	if (text.len > GYP_RULES_MAX) {
		gyp_fail(err, GYP_TOO_LARGE,
		    "%s: expected at most %d bytes of rules", name,
		    GYP_RULES_MAX);
		return NULL;
	}
	p.rules = gyp_rules_defaults();
	if (parse_lines(&p, text))
		return p.rules;
	gyp_rules_free(p.rules);
	return NULL;
}
