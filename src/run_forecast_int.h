#ifndef GYP_RUN_FORECAST_INT_H
#define GYP_RUN_FORECAST_INT_H

#include <glib.h>

#include "endpoint_speed.h"
#include "run_forecast.h"

/*
 * NAME
 *	run_forecast_int - internals shared by the files of run_forecast
 *
 * DESCRIPTION
 *	run_forecast.c		learning and forecasts
 *	run_forecast_log.c	reports in the log
 *	run_forecast_save.c	snapshots
 */

/*
 * Errors kept of a kind or a queue: enough for a 90 % quantile that does not
 * rest on the largest one alone, and few enough that old ones go soon.
 */
#define GYP_FORECAST_ERRORS 32

/* Latest errors of forecasts, as logarithms of real divided by forecast. */
struct gyp_forecast_errors {
	float ring[GYP_FORECAST_ERRORS];
	float sorted[GYP_FORECAST_ERRORS];
	uint32_t n;
	uint32_t next; /* index of the next one in ring */
};

/* Moving moments of a regression of log run time on log estimate. */
struct gyp_forecast_moments {
	uint64_t runs;
	double mean_run;
	double mean_estimate;
	double variance; /* of the estimates */
	double covariance;
};

struct gyp_forecast_queue {
	char *name;
	uint32_t kinds;                      /* that refer to it */
	struct gyp_forecast_moments moments; /* of all runs */
	struct gyp_forecast_moments inner;   /* around the means of kinds */
	double error;                        /* mean absolute error */
	struct gyp_forecast_errors known;    /* of kinds with 2 runs or more */
	struct gyp_forecast_errors fresh;    /* of kinds with fewer runs */
};

struct gyp_forecast_kind {
	struct gyp_forecast_queue *queue;
	char *workspace;
	char *image;
	uint32_t size_class;
	uint32_t new_runs; /* since the previous report; not replicated */
	uint64_t runs;
	double mean_run;
	double mean_estimate;
	struct gyp_forecast_errors errors;
};

struct gyp_run_forecast {
	GHashTable *queues; /* name -> struct gyp_forecast_queue */
	GHashTable *links;  /* struct kind_key -> GList in recent */
	GQueue recent;      /* struct gyp_forecast_kind, latest run last */
	struct gyp_endpoint_speed *speeds;
};

void gyp_forecast_errors_add(struct gyp_forecast_errors *, double);

/* Returns the queue of that name, which is created if it is new. */
struct gyp_forecast_queue *gyp_forecast_add_queue(
    struct gyp_run_forecast *, const char *name);

/* Returns the kind, created if it is new, as the most recently used one. */
struct gyp_forecast_kind *gyp_forecast_touch_kind(struct gyp_run_forecast *,
    struct gyp_forecast_queue *, const char *workspace, const char *image,
    uint32_t size_class);

#endif
