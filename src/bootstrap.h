#ifndef GYP_BOOTSTRAP_H
#define GYP_BOOTSTRAP_H

#include <stdbool.h>
#include <stdint.h>

#include "replica.h"

/*
 * NAME
 *	bootstrap - replicas that start a new cell together
 *
 * DESCRIPTION
 *	All replicas of one list of addresses start as voters, with ids derived
 *	from these addresses and the same first log entry. The loss of one
 *	right after the first start then leaves a majority. The caller ensures
 *	that this is the first start: the data directory is empty, and the
 *	setting first_start is on.
 */

/* Returns true if the address is in the list, which may be NULL. */
bool gyp_bootstrap_contains(char *const *list, const char *address);

/* Returns the id of the replica at an address: the same on all replicas. */
uint64_t gyp_bootstrap_id(const char *address);

/* Writes the first log entry, with all addresses of the list as voters. */
void gyp_bootstrap(struct gyp_replica *, char *const *list);

#endif
