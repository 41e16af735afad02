#include <glib.h>

#include "entry.h"
#include "retry_after.h"

#define CALLERS 4000
#define TRIES   4

/* The delay grows with the outage and stays within its bounds. */
static void
test_bounds(void)
{
	uint64_t request, outage;

	for (request = 0; request < 1000; request++) {
		uint32_t last = 0;

		for (outage = 0; outage < 20000; outage += 100) {
			uint32_t ms = gyp_retry_after_ms(outage, request);

			g_assert_cmpuint(ms, >=, last);
			g_assert_cmpuint(
			    ms, >=, GYP_RETRY_AFTER_MIN_MS * 3 / 4);
			g_assert_cmpuint(
			    ms, <=, GYP_RETRY_AFTER_MAX_MS * 5 / 4);
			last = ms;
		}
	}
}

/* Callers refused at the same time don't retry at the same time. */
static void
test_spread(void)
{
	guint per_window[20] = {0};
	uint64_t request;
	guint i;

	for (request = 0; request < CALLERS; request++)
		per_window[gyp_retry_after_ms(2000, request) / 200]++;
	for (i = 0; i < G_N_ELEMENTS(per_window); i++)
		g_assert_cmpuint(per_window[i], <, CALLERS / 3);
}

/*
 * Load: an outage of nine seconds. Callers that arrive in its first four
 * seconds outlast it with four tries.
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
			    at, GYP_OUTAGE_THRESHOLD_MS); /* requests are held
							     until then */
			at += gyp_retry_after_ms(at, request);
		}
		g_assert_cmpuint(at, >=, end);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-after/bounds", test_bounds);
	g_test_add_func("/retry-after/spread", test_spread);
	g_test_add_func("/retry-after/long-outage", test_long_outage);
	return g_test_run();
}
