#include <stdlib.h>
#include <string.h>

#include "trace.h"

static const char *const verbs[] = {[GYP_TRACE_ENDPOINT] = "endpoint",
    [GYP_TRACE_LEAVE] = "leave",
    [GYP_TRACE_LOST] = "lost",
    [GYP_TRACE_SUBMIT] = "submit",
    [GYP_TRACE_CANCEL] = "cancel"};

/* ---- Reading ----------------------------------------------------------- */

enum value_type { VALUE_TEXT, VALUE_U32, VALUE_U64, VALUE_FLAG, VALUE_KIND };

struct field {
	const char *key;
	enum value_type type;
	size_t offset;
};

#define OFFSET_OF(member) offsetof(struct gyp_trace_event, member)

static const struct field fields[] = {{"name", VALUE_TEXT, OFFSET_OF(name)},
    {"key", VALUE_TEXT, OFFSET_OF(name)}, {"rack", VALUE_TEXT, OFFSET_OF(rack)},
    {"dc", VALUE_TEXT, OFFSET_OF(data_centre)},
    {"team", VALUE_TEXT, OFFSET_OF(team)},
    {"class", VALUE_TEXT, OFFSET_OF(class_name)},
    {"kind", VALUE_KIND, OFFSET_OF(kind)},
    {"tasks", VALUE_U32, OFFSET_OF(tasks)},
    {"cpu", VALUE_U32, OFFSET_OF(size.cpu_milli)},
    {"mem", VALUE_U64, OFFSET_OF(size.memory)},
    {"accel", VALUE_U32, OFFSET_OF(size.accel)},
    {"slots", VALUE_U32, OFFSET_OF(size.slots)},
    {"idem", VALUE_FLAG, OFFSET_OF(idempotent)},
    {"deadline", VALUE_U64, OFFSET_OF(deadline_ms)},
    {"run", VALUE_U64, OFFSET_OF(run_ms)},
    {"true_run", VALUE_U64, OFFSET_OF(true_run_ms)},
    {"true_cpu", VALUE_U32, OFFSET_OF(used.cpu_milli)},
    {"true_mem", VALUE_U64, OFFSET_OF(used.memory)},
    {"bad", VALUE_FLAG, OFFSET_OF(bad)}};

static bool
parse_number(const char *text, uint64_t max, uint64_t *value)
{
	return g_ascii_string_to_unsigned(text, 10, 0, max, value, NULL);
}

static bool
parse_kind(const char *text, Gyp__Kind *kind)
{
	int k;

	for (k = GYP__KIND__KIND_REQUEST; k <= GYP__KIND__KIND_GANG; k++) {
		if (strcmp(gyp_kind_name(k), text) == 0) {
			*kind = k;
			return true;
		}
	}
	return false;
}

static bool
store_value(struct gyp_trace_event *e, const struct field *f, const char *text)
{
	void *at = (char *)e + f->offset;
	uint64_t value;

	switch (f->type) {
	case VALUE_TEXT:
		return g_strlcpy(at, text, GYP_TRACE_NAME_SIZE) <
		       GYP_TRACE_NAME_SIZE;
	case VALUE_KIND:
		return parse_kind(text, at);
	case VALUE_FLAG:
		if (!parse_number(text, 1, &value))
			return false;
		*(bool *)at = value != 0;
		return true;
	case VALUE_U32:
		if (!parse_number(text, UINT32_MAX, &value))
			return false;
		*(uint32_t *)at = (uint32_t)value;
		return true;
	case VALUE_U64:
	default:
		return parse_number(text, UINT64_MAX, at);
	}
}

static bool
store_pair(struct gyp_trace_event *e, const char *pair)
{
	const char *eq = strchr(pair, '=');
	guint i;

	for (i = 0; eq != NULL && i < G_N_ELEMENTS(fields); i++) {
		if (strlen(fields[i].key) == (size_t)(eq - pair) &&
		    strncmp(fields[i].key, pair, (size_t)(eq - pair)) == 0)
			return store_value(e, &fields[i], eq + 1);
	}
	return false;
}

static bool
parse_verb(const char *text, enum gyp_trace_type *type)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verbs[i], text) == 0) {
			*type = i;
			return true;
		}
	}
	return false;
}

static bool
parse_words(char **words, struct gyp_trace_event *e, struct gyp_error *err)
{
	guint i;

	if (words[0] == NULL || words[1] == NULL ||
	    !parse_number(words[0], UINT64_MAX, &e->at) ||
	    !parse_verb(words[1], &e->type)) {
		gyp_fail(err, GYP_BAD_INPUT, "expected a time and a verb");
		return false;
	}
	for (i = 2; words[i] != NULL; i++) {
		if (words[i][0] != '\0' && !store_pair(e, words[i])) {
			gyp_fail(err, GYP_BAD_INPUT,
			    "unknown key or invalid value: %s", words[i]);
			return false;
		}
	}
	if (e->name[0] == '\0') {
		gyp_fail(err, GYP_BAD_INPUT, "name or key is missing");
		return false;
	}
	return true;
}

bool
gyp_trace_parse(
    const char *line, struct gyp_trace_event *e, struct gyp_error *err)
{
	char *copy, **words;
	bool ok;

	err->code = GYP_OK;
	copy = g_strstrip(g_strdup(line));
	if (copy[0] == '#' || copy[0] == '\0') {
		g_free(copy);
		return false;
	}
	memset(e, 0, sizeof(*e));
	e->tasks = 1;
	words = g_strsplit(copy, " ", 64);
	ok = parse_words(words, e, err);
	g_strfreev(words);
	g_free(copy);
	return ok;
}

/* ---- Writing ----------------------------------------------------------- */

static void
format_size(GString *out, const struct gyp_res *r)
{
	g_string_append_printf(out,
	    " cpu=%u mem=%" G_GUINT64_FORMAT " accel=%u slots=%u", r->cpu_milli,
	    r->memory, r->accel, r->slots);
}

static void
format_submit(GString *out, const struct gyp_trace_event *e)
{
	g_string_append_printf(out, " key=%s kind=%s team=%s class=%s tasks=%u",
	    e->name, gyp_kind_name(e->kind), e->team, e->class_name, e->tasks);
	format_size(out, &e->size);
	g_string_append_printf(out,
	    " idem=%d deadline=%" G_GUINT64_FORMAT " run=%" G_GUINT64_FORMAT
	    " true_run=%" G_GUINT64_FORMAT
	    " true_cpu=%u true_mem=%" G_GUINT64_FORMAT " bad=%d",
	    e->idempotent, e->deadline_ms, e->run_ms, e->true_run_ms,
	    e->used.cpu_milli, e->used.memory, e->bad);
}

void
gyp_trace_format(GString *out, const struct gyp_trace_event *e)
{
	g_string_append_printf(
	    out, "%" G_GUINT64_FORMAT " %s", e->at, verbs[e->type]);
	switch (e->type) {
	case GYP_TRACE_SUBMIT:
		format_submit(out, e);
		break;
	case GYP_TRACE_ENDPOINT:
		g_string_append_printf(out, " name=%s rack=%s dc=%s", e->name,
		    e->rack, e->data_centre);
		format_size(out, &e->size);
		g_string_append_printf(out, " bad=%d", e->bad);
		break;
	case GYP_TRACE_CANCEL:
		g_string_append_printf(
		    out, " team=%s key=%s", e->team, e->name);
		break;
	case GYP_TRACE_LEAVE:
	case GYP_TRACE_LOST:
	default:
		g_string_append_printf(out, " name=%s", e->name);
		break;
	}
	g_string_append_c(out, '\n');
}
