#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "burn.h"
#include "units.h"

#define REQUESTS_METRIC "gyp_requests_total"
#define WAIT_METRIC     "gyp_wait_seconds_bucket"

/* Upper bound of a histogram's last bucket. */
#define BOUND_INF UINT32_MAX

#define PPM 1000000

struct point {
	uint64_t time_s;
	uint64_t value;
};

/* Samples of one counter of one source. */
struct series {
	char *class_name;
	enum gyp_burn_kind kind;
	bool bad;          /* for GYP_BURN_ERRORS: counts a bad outcome */
	uint32_t bound_ms; /* for GYP_BURN_WAITING: bucket bound */
	GArray *points;    /* struct point, oldest first */
};

/* Sample times of a process, in s. */
struct source {
	uint64_t first;
	uint64_t previous; /* time before the latest, 0: none */
	uint64_t latest;
};

struct gyp_burn {
	GHashTable *series;  /* "source metric" -> struct series */
	GHashTable *sources; /* name -> struct source */
	uint64_t oldest;
	uint64_t newest;
};

static void
free_series(gpointer p)
{
	struct series *s = p;

	g_array_free(s->points, TRUE);
	g_free(s->class_name);
	g_free(s);
}

struct gyp_burn *
gyp_burn_new(void)
{
	struct gyp_burn *b = g_new0(struct gyp_burn, 1);

	b->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_series);
	b->sources =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void
gyp_burn_free(struct gyp_burn *b)
{
	if (b == NULL)
		return;
	g_hash_table_destroy(b->series);
	g_hash_table_destroy(b->sources);
	g_free(b);
}

uint64_t
gyp_burn_newest_time(const struct gyp_burn *b)
{
	return b->newest;
}

/* ---- Samples ----------------------------------------------------------- */

/* Returns the unescaped value of a label, or NULL. */
static char *
find_label(const char *labels, const char *name)
{
	char *start = g_strconcat(name, "=\"", NULL);
	const char *s = strstr(labels, start);
	GString *value;

	/* Skip a longer label name that ends in this one. */
	while (s != NULL && s != labels && s[-1] != ',' && s[-1] != '{')
		s = strstr(s + 1, start);
	if (s == NULL) {
		g_free(start);
		return NULL;
	}
	value = g_string_new(NULL);
	for (s += strlen(start); *s != '\0' && *s != '"'; s++) {
		if (*s == '\\' && s[1] != '\0')
			s++;
		g_string_append_c(value, *s);
	}
	g_free(start);
	return g_string_free(value, FALSE);
}

static uint32_t
parse_bound(const char *text)
{
	double seconds = g_ascii_strtod(text, NULL);

	if (isinf(seconds) || seconds * 1000 >= BOUND_INF || seconds < 0)
		return BOUND_INF;
	return (uint32_t)(seconds * 1000 + 0.5);
}

/* Returns false for a metric that no objective uses. */
static bool
parse_metric(const char *metric, struct series *s)
{
	bool is_wait = g_str_has_prefix(metric, WAIT_METRIC "{");
	char *detail;

	if (!is_wait && !g_str_has_prefix(metric, REQUESTS_METRIC "{"))
		return false;
	detail = find_label(metric, is_wait ? "le" : "outcome");
	s->class_name = find_label(metric, "class");
	if (detail == NULL || s->class_name == NULL) {
		g_free(detail);
		g_clear_pointer(&s->class_name, g_free);
		return false;
	}
	s->kind = is_wait ? GYP_BURN_WAITING : GYP_BURN_ERRORS;
	s->bad =
	    strcmp(detail, "not_run") == 0 || strcmp(detail, "unknown") == 0;
	s->bound_ms = is_wait ? parse_bound(detail) : 0;
	g_free(detail);
	return true;
}

/* Records a sample time of a source; returns NULL if it decreases. */
static struct source *
update_source(struct gyp_burn *b, const char *name, uint64_t time_s)
{
	struct source *src = g_hash_table_lookup(b->sources, name);

	if (src == NULL) {
		src = g_new0(struct source, 1);
		src->first = src->latest = time_s;
		g_hash_table_insert(b->sources, g_strdup(name), src);
	}
	if (time_s < src->latest)
		return NULL;
	if (time_s > src->latest) {
		src->previous = src->latest;
		src->latest = time_s;
	}
	b->newest = MAX(b->newest, time_s);
	b->oldest = b->oldest == 0 ? time_s : MIN(b->oldest, time_s);
	return src;
}

/*
 * A counter that its source did not list in the previous sample was 0 then.
 * Without this zero point the first bad outcome would be the base of the
 * increase and not be counted.
 */
static struct series *
add_series(struct gyp_burn *b, const struct source *src, const char *key,
    const struct series *parsed)
{
	struct series *s = g_memdup2(parsed, sizeof(*parsed));
	struct point zero = {.time_s = src->previous, .value = 0};

	s->points = g_array_new(FALSE, FALSE, sizeof(struct point));
	if (src->previous != 0)
		g_array_append_val(s->points, zero);
	g_hash_table_insert(b->series, g_strdup(key), s);
	return s;
}

static void
add_point(struct gyp_burn *b, const char *source, const char *metric,
    uint64_t time_s, uint64_t value, const struct source *src)
{
	char *key = g_strconcat(source, " ", metric, NULL);
	struct series *s = g_hash_table_lookup(b->series, key);
	struct series parsed = {.class_name = NULL};
	struct point p = {.time_s = time_s, .value = value};

	if (s == NULL && parse_metric(metric, &parsed))
		s = add_series(b, src, key, &parsed);
	if (s != NULL)
		g_array_append_val(s->points, p);
	g_free(key);
}

enum gyp_status
gyp_burn_add_sample(struct gyp_burn *b, const char *line, struct gyp_error *err)
{
	char **words;
	const char *metric, *blank;
	const struct source *src;
	guint64 time_s, value;
	char *name;

	if (strlen(line) > GYP_BURN_LINE_MAX)
		return gyp_fail(err, GYP_TOO_LARGE,
		    "expected a line of at most %d bytes", GYP_BURN_LINE_MAX);
	words = g_strsplit(line, " ", 3);
	metric = g_strv_length(words) == 3 ? words[2] : NULL;
	blank = metric != NULL ? strrchr(metric, ' ') : NULL;
	if (blank == NULL ||
	    !g_ascii_string_to_unsigned(
		words[0], 10, 1, INT64_MAX, &time_s, NULL) ||
	    !g_ascii_string_to_unsigned(
		blank + 1, 10, 0, UINT64_MAX, &value, NULL)) {
		g_strfreev(words);
		return gyp_fail(err, GYP_BAD_INPUT,
		    "expected TIME SOURCE METRIC{LABELS} VALUE");
	}
	src = update_source(b, words[1], time_s);
	name = g_strndup(metric, (gsize)(blank - metric));
	if (src != NULL)
		add_point(b, words[1], name, time_s, value, src);
	g_free(name);
	g_strfreev(words);
	if (src == NULL)
		return gyp_fail(err, GYP_BAD_INPUT,
		    "sample times of a source must not decrease");
	return GYP_OK;
}

/* ---- Windows ----------------------------------------------------------- */

static uint64_t
counter_increase(const struct series *s, uint64_t start, uint64_t end)
{
	const struct point *last = NULL;
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < s->points->len; i++) {
		const struct point *p =
		    &g_array_index(s->points, struct point, i);

		if (p->time_s > end)
			break;
		if (last != NULL && p->time_s > start)
			sum += p->value >= last->value ? p->value - last->value
						       : p->value;
		last = p;
	}
	return sum;
}

/* Returns the largest bound of the class not above within_ms, or 0. */
static uint32_t
find_bound(const struct gyp_burn *b, const struct gyp_burn_objective *o)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t best = 0;

	g_hash_table_iter_init(&iter, b->series);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct series *s = value;

		if (s->kind == GYP_BURN_WAITING &&
		    s->bound_ms <= o->within_ms &&
		    strcmp(s->class_name, o->class_name) == 0)
			best = MAX(best, s->bound_ms);
	}
	return best;
}

void
gyp_burn_measure(const struct gyp_burn *b, const struct gyp_burn_objective *o,
    enum gyp_burn_kind kind, uint64_t now, uint64_t seconds,
    struct gyp_burn_window *w)
{
	uint32_t bound = find_bound(b, o);
	uint64_t start = now > seconds ? now - seconds : 0;
	uint64_t good = 0;
	GHashTableIter iter;
	gpointer value;

	memset(w, 0, sizeof(*w));
	w->covered_s = MIN(seconds, now > b->oldest ? now - b->oldest : 0);
	g_hash_table_iter_init(&iter, b->series);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct series *s = value;
		uint64_t n;

		if (s->kind != kind ||
		    strcmp(s->class_name, o->class_name) != 0)
			continue;
		n = counter_increase(s, start, now);
		if (kind == GYP_BURN_ERRORS || s->bound_ms == BOUND_INF)
			w->total += n;
		if (kind == GYP_BURN_ERRORS
			? !s->bad
			: bound != 0 && s->bound_ms == bound)
			good += n;
	}
	w->bad = w->total > good ? w->total - good : 0;
	if (w->total > 0)
		w->rate = (double)w->bad / (double)w->total /
			  ((double)(PPM - o->target_ppm) / PPM);
}

double
gyp_burn_budget_left(
    const struct gyp_burn_objective *o, const struct gyp_burn_window *w)
{
	double allowed =
	    (double)w->total * ((double)(PPM - o->target_ppm) / PPM);

	return allowed > 0 ? 1 - (double)w->bad / allowed : 1;
}

/* ---- Objectives -------------------------------------------------------- */

/* Parses a percentage above 0 and below 100, such as "99.9" or "99.9%". */
static bool
parse_target(const char *text, uint32_t *ppm)
{
	char *end;
	double percent = g_ascii_strtod(text, &end);

	if (*end == '%')
		end++;
	if (end == text || *end != '\0' || !(percent > 0 && percent < 100))
		return false;
	*ppm = (uint32_t)(percent * (PPM / 100.0) + 0.5);
	return *ppm > 0 && *ppm < PPM;
}

static bool
parse_time(const char *text, uint32_t *ms)
{
	uint64_t v;

	if (!gyp_units_parse(text, gyp_units_ms, &v) || v == 0 ||
	    v > UINT32_MAX)
		return false;
	*ms = (uint32_t)v;
	return true;
}

static bool
parse_field(struct gyp_burn_objective *o, const char *part)
{
	if (g_str_has_prefix(part, "class=") && o->class_name == NULL) {
		o->class_name = g_strdup(part + strlen("class="));
		return o->class_name[0] != '\0';
	}
	if (g_str_has_prefix(part, "target="))
		return parse_target(part + strlen("target="), &o->target_ppm);
	if (g_str_has_prefix(part, "within="))
		return parse_time(part + strlen("within="), &o->within_ms);
	return false;
}

enum gyp_status
gyp_burn_objective_parse(
    const char *text, struct gyp_burn_objective *o, struct gyp_error *err)
{
	char **parts = g_strsplit(text, ",", -1);
	bool ok = true;
	size_t i;

	memset(o, 0, sizeof(*o));
	for (i = 0; parts[i] != NULL && ok; i++)
		ok = parse_field(o, parts[i]);
	g_strfreev(parts);
	if (ok && o->class_name != NULL && o->target_ppm != 0)
		return GYP_OK;
	g_clear_pointer(&o->class_name, g_free);
	return gyp_fail(err, GYP_BAD_INPUT,
	    "%s: expected class=NAME,target=99.9[,within=3s], the target in "
	    "percent and below 100",
	    text);
}
