#ifndef GYP_QUOTA_H
#define GYP_QUOTA_H

#include <stdint.h>

#include "state.h"

/*
 * NAME
 *	quota - how much more may start under a cap, and shares of resources
 *
 * DESCRIPTION
 *	Handles these loads: a cap that is reached before the endpoints are
 *	full, and a cap that is lowered far below what runs: nothing starts
 *	until the use is below it. Takes plain amounts, so that teams of jobs
 *	and workspaces of flows are decided alike.
 *
 *	A cap is the most that may be in use. In the rules of teams and in
 *	reports it is called a quota.
 */

/* A cap that allows any use. */
extern const struct gyp_res gyp_quota_none;

/* The cap that a message states; an amount of 0 is no limit. */
struct gyp_res gyp_quota_from(const Gyp__Res *);

/*
 * Returns how many tasks of that size, at most `wanted`, can start without
 * raising the use above the cap; none while any resource is above it.
 */
uint32_t gyp_quota_count(const struct gyp_res *cap, const struct gyp_res *used,
    const struct gyp_res *size, uint32_t wanted);

/*
 * Returns the larger share of the total that is in use, of processors and of
 * memory; a resource of which there is none does not count.
 */
double gyp_dominant_share(
    const struct gyp_res *used, const struct gyp_res *total);

#endif
