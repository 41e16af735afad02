#include "run_forecast.h"

/* Forecasts in the log at a time. */
#define FORECASTS_LOGGED 5

static void
log_kind(struct gyp_events *events, const struct gyp_run_forecast_report *r)
{
	char *queue = gyp_event_name(r->queue);
	char *workspace = gyp_event_name(r->workspace);
	char *image = gyp_event_name(r->image);

	gyp_events_add(events, "run-forecast",
	    "queue=%s workspace=%s image=%s runs=%" G_GUINT64_FORMAT
	    " new_runs=%u median_ms=%" G_GUINT64_FORMAT
	    " p90_ms=%" G_GUINT64_FORMAT " queue_error_percent=%u",
	    queue, workspace, image, r->runs, r->new_runs, r->median_ms,
	    r->p90_ms, r->error_percent);
	g_free(queue);
	g_free(workspace);
	g_free(image);
}

void
gyp_run_forecast_log(struct gyp_run_forecast *f, struct gyp_events *events)
{
	struct gyp_run_forecast_report reports[FORECASTS_LOGGED];
	uint32_t i, n = gyp_run_forecast_busiest(f, reports, FORECASTS_LOGGED);

	for (i = 0; i < n; i++)
		log_kind(events, &reports[i]);
}
