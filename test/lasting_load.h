#ifndef LASTING_LOAD_H
#define LASTING_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	lasting_load - a nearly full pool of urgent, lasting and batch work
 *
 * DESCRIPTION
 *	Runs the flow scheduler against simulated endpoints, entries and an
 *	admission service in virtual time, and measures how long lasting tasks
 *	are without a run while endpoints that the service allows for them have
 *	room. Nothing is lost on the network.
 */

struct lasting_load_config {
	uint32_t seed;
	uint32_t endpoints;
	uint32_t entries;
	uint32_t watch_flows;
	double load;          /* share of the CPUs that all work needs */
	uint64_t duration_ms; /* with arrivals from the start */
	/* At disturbed_at, 0 for never: */
	uint64_t disturbed_at;
	uint32_t gone;            /* endpoints that disappear for good */
	uint32_t failing;         /* endpoints that fail all runs at once, */
	uint64_t failing_ms;      /* for this long */
	uint32_t failing_entries; /* entries whose queries always fail */
	/* From late_at on: */
	uint64_t late_at;
	uint32_t late_entries; /* entries that pass answers on late, */
	uint64_t late_ms;      /* by this time */
};

struct lasting_load_result {
	uint32_t waits;      /* ends of runs of lasting tasks */
	uint64_t longest_ms; /* longest time without a run */
	/* Longest time without a run while at least two endpoints had room: */
	uint64_t longest_room_ms; /* which ones may change */
	uint64_t longest_two_ms;  /* the same two throughout */
	uint32_t broken;          /* tasks with two for ROOM_MS or longer */
	uint32_t refused_starts;
	uint32_t used_percent; /* mean share of the CPUs in use */
};

struct lasting_load_result lasting_load_run(const struct lasting_load_config *);

#endif
