#include <string.h>

#include "policy.h"

/* Penalty for a task without accelerators on an endpoint with them. */
#define ACCEL_PENALTY 4.0

/*
 * Weight of the difference between the free shares of processors and memory:
 * what is free of only one of them fits few tasks.
 */
#define IMBALANCE_PENALTY 0.5

static double
free_share(uint64_t remaining, uint64_t capacity)
{
	return capacity == 0 ? 0 : (double)remaining / (double)capacity;
}

static double
total_free_share(const struct gyp_score_input *in)
{
	return free_share(in->remaining->cpu_milli, in->capacity->cpu_milli) +
	       free_share(in->remaining->memory, in->capacity->memory);
}

/* Best fit that keeps the free shares of processors and memory even. */
static double
weighted_score(const struct gyp_res *size, const struct gyp_score_input *in)
{
	double cpu =
	    free_share(in->remaining->cpu_milli, in->capacity->cpu_milli);
	double memory = free_share(in->remaining->memory, in->capacity->memory);
	double score = -(cpu + memory);

	score -=
	    IMBALANCE_PENALTY * (cpu > memory ? cpu - memory : memory - cpu);
	if (size->accel == 0 && in->capacity->accel > 0)
		score -= ACCEL_PENALTY;
	return score;
}

static double
first_fit_score(const struct gyp_res *size, const struct gyp_score_input *in)
{
	(void)size;
	return -(double)in->row;
}

static double
random_score(const struct gyp_res *size, const struct gyp_score_input *in)
{
	(void)size;
	return in->random;
}

static double
least_loaded_score(const struct gyp_res *size, const struct gyp_score_input *in)
{
	(void)size;
	return total_free_share(in);
}

static double
best_fit_score(const struct gyp_res *size, const struct gyp_score_input *in)
{
	(void)size;
	return -total_free_share(in);
}

const struct gyp_policy_ops gyp_policy_weighted = {
    .name = "weighted", .weighted = true, .score = weighted_score};
const struct gyp_policy_ops gyp_policy_first_fit = {
    .name = "first-fit", .score = first_fit_score};
const struct gyp_policy_ops gyp_policy_random = {
    .name = "random", .score = random_score};
const struct gyp_policy_ops gyp_policy_least_loaded = {
    .name = "least-loaded", .score = least_loaded_score};
const struct gyp_policy_ops gyp_policy_best_fit = {
    .name = "best-fit", .score = best_fit_score};

const struct gyp_policy_ops *
gyp_policy_by_name(const char *name)
{
	static const struct gyp_policy_ops *const all[] = {&gyp_policy_weighted,
	    &gyp_policy_first_fit, &gyp_policy_random, &gyp_policy_least_loaded,
	    &gyp_policy_best_fit};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		if (strcmp(all[i]->name, name) == 0)
			return all[i];
	}
	return NULL;
}
