#include <math.h>
#include <string.h>

#include "replay_int.h"

/* ---- Statistics -------------------------------------------------------- */

struct class_stats *
gyp_replay_class_stats(struct gyp_replay *r, const char *name)
{
	struct class_stats *c;
	guint i;

	for (i = 0; i < r->classes->len; i++) {
		c = r->classes->pdata[i];
		if (strcmp(c->name, name) == 0)
			return c;
	}
	c = g_new0(struct class_stats, 1);
	c->name = g_strdup(name);
	c->waits = g_array_new(FALSE, FALSE, sizeof(double));
	g_ptr_array_add(r->classes, c);
	return c;
}

struct team_stats *
gyp_replay_team_stats(struct gyp_replay *r, const char *name)
{
	struct team_stats *t;
	guint i;

	for (i = 0; i < r->teams->len; i++) {
		t = r->teams->pdata[i];
		if (strcmp(t->name, name) == 0)
			return t;
	}
	t = g_new0(struct team_stats, 1);
	t->name = g_strdup(name);
	g_ptr_array_add(r->teams, t);
	return t;
}

/* ---- Reports ----------------------------------------------------------- */

void
gyp_replay_print_outcomes(const struct gyp_replay *r, FILE *out)
{
	guint i;

	for (i = 0; i < r->jobs->len; i++) {
		const struct replay_job *j = r->jobs->pdata[i];
		const struct gyp_job *job = gyp_state_job(r->state, j->id);

		fprintf(out, "%s %s", j->event.name,
		    job != NULL ? gyp_outcome_name(job->outcome) : "forgotten");
		if (j->wait_ms[0] != UINT64_MAX)
			fprintf(out, " waited=%" G_GUINT64_FORMAT " on=%s",
			    j->wait_ms[0], j->endpoint);
		if (job != NULL && job->reason != NULL &&
		    job->reason[0] != '\0')
			fprintf(out, " reason=\"%s\"", job->reason);
		fprintf(out, "\n");
	}
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
quantile(const GArray *sorted, double q)
{
	double rank;

	if (sorted->len == 0)
		return 0;
	rank = ceil(q * sorted->len);
	return g_array_index(sorted, double, (guint)MAX(rank, 1) - 1);
}

/* Counts the tasks of each class that never started. */
static void
count_not_started(struct gyp_replay *r)
{
	guint i;
	uint32_t t;

	for (i = 0; i < r->jobs->len; i++) {
		const struct replay_job *j = r->jobs->pdata[i];
		struct class_stats *c =
		    gyp_replay_class_stats(r, j->event.class_name);

		for (t = 0; t < j->event.tasks; t++)
			c->not_started += j->wait_ms[t] == UINT64_MAX;
	}
}

/* Jain's fairness index over each team's ratio of served time to demand. */
static double
fairness(const struct gyp_replay *r)
{
	double sum = 0, squares = 0;
	guint i, n = 0;

	for (i = 0; i < r->teams->len; i++) {
		const struct team_stats *t = r->teams->pdata[i];
		double share = t->demand > 0 ? t->served / t->demand : 0;

		if (t->demand <= 0)
			continue;
		n++;
		sum += share;
		squares += share * share;
	}
	return squares > 0 ? sum * sum / (n * squares) : 1;
}

void
gyp_replay_print_summary(const struct gyp_replay *cr, FILE *out)
{
	struct gyp_replay *r = (struct gyp_replay *)cr;
	double cpu = r->cap_cpu > 0 ? r->used_cpu / r->cap_cpu : 0;
	double memory = r->cap_memory > 0 ? r->used_memory / r->cap_memory : 0;
	guint i;

	count_not_started(r);
	fprintf(out,
	    "packing cpu=%.4f memory=%.4f empty=%.2f\n"
	    "jobs done=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT
	    " not_run=%" G_GUINT64_FORMAT " unknown=%" G_GUINT64_FORMAT
	    " open=%" G_GUINT64_FORMAT "\n"
	    "starts=%" G_GUINT64_FORMAT " retries=%" G_GUINT64_FORMAT
	    " evictions=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
	    " expired=%" G_GUINT64_FORMAT " fairness=%.4f\n",
	    cpu, memory, r->time_ms > 0 ? r->empty_ms / r->time_ms : 0,
	    r->outcomes[1], r->outcomes[2], r->outcomes[3], r->outcomes[4],
	    r->jobs->len - r->outcomes[1] - r->outcomes[2] - r->outcomes[3] -
		r->outcomes[4],
	    r->starts, r->retries, r->evictions, r->refused, r->expired,
	    fairness(r));
	for (i = 0; i < r->classes->len; i++) {
		struct class_stats *c = r->classes->pdata[i];

		g_array_sort(c->waits, compare_doubles);
		fprintf(out,
		    "class=%s jobs=%" G_GUINT64_FORMAT
		    " started=%u not_started=%" G_GUINT64_FORMAT
		    " median=%.0f p99=%.0f p999=%.0f worst=%.0f\n",
		    c->name, c->jobs, c->waits->len, c->not_started,
		    quantile(c->waits, 0.5), quantile(c->waits, 0.99),
		    quantile(c->waits, 0.999), quantile(c->waits, 1));
	}
}
