#ifndef GYP_ENDPOINT_SPEED_H
#define GYP_ENDPOINT_SPEED_H

#include <stdint.h>

#include "wire.pb-c.h"

/*
 * NAME
 *	endpoint_speed - learned speed of each endpoint
 *
 * DESCRIPTION
 *	Keeps, for each endpoint, a moving mean of the log ratio of real to
 *	expected run time, shrunk towards the mean of the endpoint's class while
 *	few runs are known: endpoints of one kind of VM are alike, so that a new
 *	one needs no runs of its own. The mean over all runs is subtracted, so
 *	that a change of the run times themselves is not attributed to all
 *	endpoints.
 *
 *	At most GYP_ENDPOINT_SPEED_ROWS endpoints are kept, in less than
 *	0.5 MB; the one without a run for longest is dropped first. The result
 *	depends only on the sequence of calls, so replicas that apply the same
 *	commands agree.
 */

/* Maximum number of endpoints; more than a large deployment has. */
#define GYP_ENDPOINT_SPEED_ROWS 4096

struct gyp_endpoint_speed;

struct gyp_endpoint_speed *gyp_endpoint_speed_new(void);
void gyp_endpoint_speed_free(struct gyp_endpoint_speed *);

/*
 * Sets the class of an endpoint, any number; 0 without one. What is known about
 * the endpoint itself is forgotten when its class changes.
 */
void gyp_endpoint_speed_set_class(
    struct gyp_endpoint_speed *, uint32_t row, uint32_t class_id);

/* Records a run at the endpoint: log of real divided by expected time. */
void gyp_endpoint_speed_add(
    struct gyp_endpoint_speed *, uint32_t row, double log_ratio);

/* Log of the factor by which run times at the endpoint are longer; 0 if new. */
double gyp_endpoint_speed_log(const struct gyp_endpoint_speed *, uint32_t row);

/* Packs into the snapshot, and adds what a snapshot holds to an empty table. */
void gyp_endpoint_speed_save(
    const struct gyp_endpoint_speed *, Gyp__SnapForecast *);
void gyp_endpoint_speed_restore(
    struct gyp_endpoint_speed *, const Gyp__SnapForecast *);

#endif
