#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "counters.h"

enum metric_type { METRIC_COUNTER, METRIC_GAUGE, METRIC_HISTOGRAM };

struct metric {
	char *name;
	char *labels;
	enum metric_type type;
	uint64_t value; /* of a histogram, the number of observations */
	uint64_t sum_ms;
	uint64_t buckets[GYP_TIME_BUCKETS_N]; /* not cumulative */
};

struct gyp_counters {
	GHashTable *table; /* set of struct metric */
};

static const uint32_t bounds[GYP_TIME_BUCKETS_N] = GYP_TIME_BUCKETS;

static guint
hash_metric(gconstpointer p)
{
	const struct metric *m = p;

	return g_str_hash(m->name) * 33 ^ g_str_hash(m->labels);
}

static gboolean
equal_metrics(gconstpointer a, gconstpointer b)
{
	const struct metric *x = a, *y = b;

	return strcmp(x->name, y->name) == 0 &&
	       strcmp(x->labels, y->labels) == 0;
}

static void
free_metric(gpointer p)
{
	struct metric *m = p;

	g_free(m->name);
	g_free(m->labels);
	g_free(m);
}

static struct metric *
find(const struct gyp_counters *c, const char *name, const char *labels)
{
	struct metric key = {.name = (char *)name, .labels = (char *)labels};

	return g_hash_table_lookup(c->table, &key);
}

/*
 * Labels can contain what callers send, so the table must not grow without
 * limit: when it is full, one counter takes the rest.
 */
static struct metric *
find_or_add(struct gyp_counters *c, const char *name, const char *labels,
    enum metric_type type)
{
	struct metric *m = find(c, name, labels);

	if (m == NULL && g_hash_table_size(c->table) >= GYP_COUNTERS_MAX - 1) {
		name = "gyp_uncounted_total";
		labels = "";
		type = METRIC_COUNTER;
		m = find(c, name, labels);
	}
	if (m != NULL)
		return m;
	m = g_new0(struct metric, 1);
	m->name = g_strdup(name);
	m->labels = g_strdup(labels);
	m->type = type;
	g_hash_table_add(c->table, m);
	return m;
}

void
gyp_count(
    struct gyp_counters *c, const char *name, const char *labels, uint64_t n)
{
	find_or_add(c, name, labels, METRIC_COUNTER)->value += n;
}

void
gyp_gauge(struct gyp_counters *c, const char *name, const char *labels,
    uint64_t value)
{
	find_or_add(c, name, labels, METRIC_GAUGE)->value = value;
}

void
gyp_observe_ms(
    struct gyp_counters *c, const char *name, const char *labels, uint64_t ms)
{
	struct metric *m = find_or_add(c, name, labels, METRIC_HISTOGRAM);
	size_t i;

	m->value++;
	m->sum_ms += ms;
	for (i = 0; i < GYP_TIME_BUCKETS_N; i++) {
		if (ms <= bounds[i]) {
			m->buckets[i]++;
			return;
		}
	}
}

uint64_t
gyp_counter_get(
    const struct gyp_counters *c, const char *name, const char *labels)
{
	const struct metric *m = find(c, name, labels);

	return m != NULL ? m->value : 0;
}

static void
append_escaped(GString *out, const char *value)
{
	for (; *value != '\0'; value++) {
		if (*value == '"' || *value == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *value == '\n' ? ' ' : *value);
	}
}

const char *
gyp_labels(char buf[GYP_LABELS_MAX], const char *key, ...)
{
	GString *out = g_string_new(NULL);
	va_list ap;

	va_start(ap, key);
	while (key != NULL) {
		if (out->len > 0)
			g_string_append_c(out, ',');
		g_string_append_printf(out, "%s=\"", key);
		append_escaped(out, va_arg(ap, const char *));
		g_string_append_c(out, '"');
		key = va_arg(ap, const char *);
	}
	va_end(ap);
	/* Truncated labels would be malformed, so they are left out. */
	if (out->len < GYP_LABELS_MAX)
		g_strlcpy(buf, out->str, GYP_LABELS_MAX);
	else
		buf[0] = '\0';
	g_string_free(out, TRUE);
	return buf;
}

/* ---- Text exposition --------------------------------------------------- */

static gint
by_name(gconstpointer a, gconstpointer b)
{
	const struct metric *x = a, *y = b;
	int order = strcmp(x->name, y->name);

	return order != 0 ? order : strcmp(x->labels, y->labels);
}

static void
put_line(GString *out, const char *name, const char *suffix, const char *labels,
    const char *le, const char *value)
{
	const char *comma = labels[0] != '\0' && le[0] != '\0' ? "," : "";

	if (labels[0] == '\0' && le[0] == '\0')
		g_string_append_printf(out, "%s%s %s\n", name, suffix, value);
	else
		g_string_append_printf(out, "%s%s{%s%s%s} %s\n", name, suffix,
		    labels, comma, le, value);
}

static void
put_histogram(GString *out, const struct metric *m)
{
	char le[64], value[64];
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < GYP_TIME_BUCKETS_N; i++) {
		total += m->buckets[i];
		g_snprintf(le, sizeof(le), "le=\"%u.%03u\"", bounds[i] / 1000,
		    bounds[i] % 1000);
		g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT, total);
		put_line(out, m->name, "_bucket", m->labels, le, value);
	}
	g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT, m->value);
	put_line(out, m->name, "_bucket", m->labels, "le=\"+Inf\"", value);
	put_line(out, m->name, "_count", m->labels, "", value);
	g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT ".%03u",
	    m->sum_ms / 1000, (unsigned)(m->sum_ms % 1000));
	put_line(out, m->name, "_sum", m->labels, "", value);
}

static void
put_metric(GString *out, const struct metric *m, bool first)
{
	static const char *const types[] = {"counter", "gauge", "histogram"};
	char value[64];

	if (first)
		g_string_append_printf(
		    out, "# TYPE %s %s\n", m->name, types[m->type]);
	if (m->type == METRIC_HISTOGRAM) {
		put_histogram(out, m);
		return;
	}
	g_snprintf(value, sizeof(value), "%" G_GUINT64_FORMAT, m->value);
	put_line(out, m->name, "", m->labels, "", value);
}

char *
gyp_counters_text(const struct gyp_counters *c)
{
	GString *out = g_string_new(NULL);
	GList *sorted = g_list_sort(g_hash_table_get_keys(c->table), by_name);
	const char *previous = "";
	const GList *l;

	for (l = sorted; l != NULL; l = l->next) {
		const struct metric *m = l->data;

		put_metric(out, m, strcmp(previous, m->name) != 0);
		previous = m->name;
	}
	g_list_free(sorted);
	return g_string_free(out, FALSE);
}

struct gyp_counters *
gyp_counters_new(void)
{
	struct gyp_counters *c = g_new0(struct gyp_counters, 1);

	c->table = g_hash_table_new_full(
	    hash_metric, equal_metrics, free_metric, NULL);
	return c;
}

void
gyp_counters_free(struct gyp_counters *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->table);
	g_free(c);
}
