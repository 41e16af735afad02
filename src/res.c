#include "state.h"

struct gyp_res
gyp_res_from(const Gyp__Res *r)
{
	struct gyp_res res = {0, 0, 0, 0};

	if (r == NULL)
		return res;
	res.cpu_milli = r->cpu_milli;
	res.memory = r->memory;
	res.accel = r->accel;
	res.slots = r->slots;
	return res;
}

bool
gyp_res_fits(const struct gyp_res *need, const struct gyp_res *free)
{
	return need->cpu_milli <= free->cpu_milli &&
	       need->memory <= free->memory && need->accel <= free->accel &&
	       need->slots <= free->slots;
}

void
gyp_res_add(struct gyp_res *sum, const struct gyp_res *r)
{
	sum->cpu_milli += r->cpu_milli;
	sum->memory += r->memory;
	sum->accel += r->accel;
	sum->slots += r->slots;
}

void
gyp_res_sub(struct gyp_res *sum, const struct gyp_res *r)
{
	g_assert(gyp_res_fits(r, sum));
	sum->cpu_milli -= r->cpu_milli;
	sum->memory -= r->memory;
	sum->accel -= r->accel;
	sum->slots -= r->slots;
}

const char *
gyp_outcome_name(Gyp__Outcome outcome)
{
	static const char *const names[] = {
	    "none", "done", "failed", "not_run", "unknown"};

	return (unsigned)outcome < G_N_ELEMENTS(names) ? names[outcome] : "?";
}

const char *
gyp_kind_name(Gyp__Kind kind)
{
	static const char *const names[] = {
	    "request", "batch", "watcher", "gang"};

	return (unsigned)kind < G_N_ELEMENTS(names) ? names[kind] : "?";
}
