#include "quota.h"

const struct gyp_res gyp_quota_none = {
    UINT32_MAX, UINT64_MAX, UINT32_MAX, UINT32_MAX};

struct gyp_res
gyp_quota_from(const Gyp__Res *r)
{
	struct gyp_res cap = gyp_quota_none;

	if (r == NULL)
		return cap;
	if (r->cpu_milli > 0)
		cap.cpu_milli = r->cpu_milli;
	if (r->memory > 0)
		cap.memory = r->memory;
	if (r->accel > 0)
		cap.accel = r->accel;
	if (r->slots > 0)
		cap.slots = r->slots;
	return cap;
}

/* Returns how many times size fits between used and cap, at most `wanted`. */
static uint32_t
count_one(uint64_t cap, uint64_t used, uint64_t size, uint32_t wanted)
{
	if (used > cap)
		return 0;
	return size == 0 ? wanted : (uint32_t)MIN(wanted, (cap - used) / size);
}

uint32_t
gyp_quota_count(const struct gyp_res *cap, const struct gyp_res *used,
    const struct gyp_res *size, uint32_t wanted)
{
	uint32_t n = wanted;

	n = count_one(cap->cpu_milli, used->cpu_milli, size->cpu_milli, n);
	n = count_one(cap->memory, used->memory, size->memory, n);
	n = count_one(cap->accel, used->accel, size->accel, n);
	return count_one(cap->slots, used->slots, size->slots, n);
}

static double
share_of(uint64_t used, uint64_t total)
{
	return total > 0 ? (double)used / (double)total : 0;
}

double
gyp_dominant_share(const struct gyp_res *used, const struct gyp_res *total)
{
	double cpu = share_of(used->cpu_milli, total->cpu_milli);
	double memory = share_of(used->memory, total->memory);

	return MAX(cpu, memory);
}
