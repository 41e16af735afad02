#include <glib.h>

#include "comeback.h"
#include "entry.h"

#define CALLERS 4000
#define TRIES   4

/* The time named grows with the outage, between its bounds. */
static void
test_bounds(void)
{
	uint64_t request, outage;

	for (request = 0; request < 1000; request++) {
		uint32_t last = 0;

		for (outage = 0; outage < 20000; outage += 100) {
			uint32_t ms = gyp_comeback_ms(outage, request);

			g_assert_cmpuint(ms, >=, last);
			g_assert_cmpuint(ms, >=, GYP_COMEBACK_MIN_MS * 3 / 4);
			g_assert_cmpuint(ms, <=, GYP_COMEBACK_MAX_MS * 5 / 4);
			last = ms;
		}
	}
}

/* Callers refused at one moment don't return at one moment. */
static void
test_spread(void)
{
	guint per_window[20] = {0};
	uint64_t request;
	guint i;

	for (request = 0; request < CALLERS; request++)
		per_window[gyp_comeback_ms(2000, request) / 200]++;
	for (i = 0; i < G_N_ELEMENTS(per_window); i++)
		g_assert_cmpuint(per_window[i], <, CALLERS / 3);
}

/*
 * Load pattern: an outage of nine seconds. Callers who come in its first four
 * and have four tries are all still there when it ends.
 */
static void
test_long_outage(void)
{
	const uint64_t end = 9000;
	uint64_t request;

	for (request = 0; request < CALLERS; request++) {
		uint64_t at = request % 4000;
		guint tries;

		for (tries = 0; tries < TRIES && at < end; tries++) {
			at = MAX(
			    at, GYP_OUTAGE_THRESHOLD_MS); /* held until then */
			at += gyp_comeback_ms(at, request);
		}
		g_assert_cmpuint(at, >=, end);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/comeback/bounds", test_bounds);
	g_test_add_func("/comeback/spread", test_spread);
	g_test_add_func("/comeback/long-outage", test_long_outage);
	return g_test_run();
}
