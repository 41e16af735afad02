#ifndef GYP_RENDEZVOUS_H
#define GYP_RENDEZVOUS_H

#include <stdint.h>

/*
 * NAME
 *	rendezvous - which of several processes looks after a thing
 *
 * DESCRIPTION
 *	The process with the highest weight does. When one goes, only what it
 *	looked after moves, and it comes back to the same process.
 */

uint64_t gyp_rendezvous_weight(uint64_t process, uint64_t item);

#endif
