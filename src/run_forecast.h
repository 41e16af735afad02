#ifndef GYP_RUN_FORECAST_H
#define GYP_RUN_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

#include "event.h"
#include "flow.h"

/*
 * NAME
 *	run_forecast - run times learned from the committed ends of runs
 *
 * DESCRIPTION
 *	Forecasts how long a task will run, as a quantile. A kind of task is
 *	the queue, workspace, image and size class (powers of two of CPU,
 *	memory and accelerators) of its step. Names are compared up to
 *	GYP_RUN_FORECAST_NAME bytes.
 *
 *	A forecast is a location plus an error, both in the logarithm of the
 *	run time. The location of a kind is its moving mean, corrected by a
 *	regression on the declared estimate whose slope lies between 0 (the
 *	estimates explain nothing) and 1 (run times are proportional to them).
 *	With few runs of the kind it is blended with that of the queue, and with
 *	few runs of the queue with the estimate itself. The error is a quantile
 *	of the latest errors of the kind, with few of them also of the queue.
 *	Each error was measured before the module learned from that run. Run
 *	times are divided by the speed of their endpoint, see endpoint_speed.h.
 *
 *	The module is part of the replicated tables: it changes only by
 *	committed ends and snapshots, and the same sequence of them gives the
 *	same state. It keeps at most GYP_RUN_FORECAST_KINDS kinds, dropping the
 *	one that has had no run for longest, and only the queues of these kinds.
 *	It needs at most 1.5 MB, including the speeds of endpoints.
 */

/* Maximum number of kinds. */
#define GYP_RUN_FORECAST_KINDS 512

/* Significant bytes of the name of a queue, workspace or image. */
#define GYP_RUN_FORECAST_NAME 64

struct gyp_run_forecast;

struct gyp_run_forecast *gyp_run_forecast_new(void);
void gyp_run_forecast_free(struct gyp_run_forecast *);

/* Forgets everything. */
void gyp_run_forecast_clear(struct gyp_run_forecast *);

/* Records a complete run of a task of the unit on the endpoint of that row. */
void gyp_run_forecast_add(struct gyp_run_forecast *, const struct gyp_flow *,
    const struct gyp_flow_unit *, uint32_t row, uint64_t ran_ms);

/*
 * Records a run that was stopped after ran_ms. It counts as a run of that
 * length if the median forecast is shorter, and is ignored otherwise.
 */
void gyp_run_forecast_add_stopped(struct gyp_run_forecast *,
    const struct gyp_flow *, const struct gyp_flow_unit *, uint32_t row,
    uint64_t ran_ms);

/*
 * The quantile, from 0 to 1, of the run time of a task of the unit at an
 * endpoint of mean speed, in ms. Returns the declared estimate, which may be 0,
 * while nothing is known about the queue.
 */
uint64_t gyp_run_forecast_ms(const struct gyp_run_forecast *,
    const struct gyp_flow *, const struct gyp_flow_unit *, double quantile);

/*
 * Sets the class of the endpoint of that row, see endpoint_speed.h. Restore
 * forgets the classes.
 */
void gyp_run_forecast_set_class(
    struct gyp_run_forecast *, uint32_t row, uint32_t class_id);

/*
 * The factor by which run times at the endpoint are longer than the mean; 1 if
 * nothing is known about it and its class.
 */
double gyp_run_forecast_slowdown(const struct gyp_run_forecast *, uint32_t row);

/*
 * The weight of the kind's own runs in the forecast, in percent: 0 if there are
 * none, 50 after two, and 100 in the end.
 */
unsigned gyp_run_forecast_confidence(const struct gyp_run_forecast *,
    const struct gyp_flow *, const struct gyp_flow_unit *);

uint32_t gyp_run_forecast_kinds(const struct gyp_run_forecast *);

/* A kind for a report; the names are valid until the next change. */
struct gyp_run_forecast_report {
	const char *queue, *workspace, *image;
	uint64_t runs;              /* in total */
	uint64_t median_ms, p90_ms; /* of a task with the mean estimate */
	uint32_t new_runs;          /* since the previous report */
	uint32_t error_percent;     /* mean error of the median, in the queue */
};

/*
 * Fills in up to n kinds with the most runs since the previous call, most
 * first, and returns their number. Kinds without runs since then are left out.
 */
uint32_t gyp_run_forecast_busiest(
    struct gyp_run_forecast *, struct gyp_run_forecast_report *, uint32_t n);

/* Logs the kinds with the most runs since the previous report. */
void gyp_run_forecast_log(struct gyp_run_forecast *, struct gyp_events *);

/* Save returns NULL if nothing is known; restore accepts NULL. */
Gyp__SnapForecast *gyp_run_forecast_save(const struct gyp_run_forecast *);
void gyp_run_forecast_restore(
    struct gyp_run_forecast *, const Gyp__SnapForecast *);

#endif
