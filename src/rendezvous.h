#ifndef GYP_RENDEZVOUS_H
#define GYP_RENDEZVOUS_H

#include <stdint.h>

/*
 * NAME
 *	rendezvous - rendezvous hashing of items to processes
 *
 * DESCRIPTION
 *	An item belongs to the process with the highest weight. When a process
 *	leaves, only its own items move to others, and they return to it when
 *	it returns.
 */

uint64_t gyp_rendezvous_weight(uint64_t process, uint64_t item);

#endif
