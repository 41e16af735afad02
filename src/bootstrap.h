#ifndef GYP_BOOTSTRAP_H
#define GYP_BOOTSTRAP_H

#include <stdbool.h>
#include <stdint.h>

#include "replica.h"

/*
 * NAME
 *	first_start - replicas that begin a cell together
 *
 * DESCRIPTION
 *	All replicas of one list of addresses begin as voters with ids made
 *	from these addresses and the same first entry, so that a loss right
 *	after the first start leaves a majority. The caller makes sure that
 *	this is the first start: the data folder is empty, and the settings say
 *	so.
 */

/* True when the address is in the list, which may be NULL. */
bool gyp_bootstrap_contains(char *const *list, const char *address);

/* Id of the replica at an address: equal on all replicas. */
uint64_t gyp_bootstrap_id(const char *address);

/* Begins the cell with all of the list. */
void gyp_bootstrap(struct gyp_replica *, char *const *list);

#endif
