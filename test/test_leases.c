#include <glib.h>

#include "leases.h"

#define LEASE_MS 5000

/* A lease granted after the initial leases expired lasts its whole time. */
static void
test_grant_after_reset(void)
{
	struct gyp_leases *l = gyp_leases_new(LEASE_MS);
	uint64_t late = 10 * LEASE_MS, not_after;

	gyp_leases_reset(l, 0);
	g_assert_true(gyp_leases_expired(l, 7, late));
	gyp_leases_grant(l, 7, late);
	g_assert_false(gyp_leases_expired(l, 7, late + LEASE_MS));
	g_assert_true(gyp_leases_expired(l, 7, late + 2 * LEASE_MS));
	/* The clock is not known before the first heartbeat. */
	g_assert_false(gyp_leases_not_after(l, 7, late + 1, 1000, &not_after));
	gyp_leases_renew(l, 7, late + 10, 99);
	g_assert_true(gyp_leases_not_after(l, 7, late + 10, 1000, &not_after));
	g_assert_cmpuint(not_after, ==, 1099);
	gyp_leases_free(l);
}

/* A heartbeat renews nothing between proposal and commit of a removal. */
static void
test_closed(void)
{
	struct gyp_leases *l = gyp_leases_new(LEASE_MS);
	uint64_t late = 10 * LEASE_MS, not_after;

	gyp_leases_reset(l, 0);
	g_assert_true(gyp_leases_renew(l, 7, 1, 99));
	g_assert_true(gyp_leases_expired(l, 7, late));
	gyp_leases_close(l, 7);
	g_assert_false(gyp_leases_renew(l, 7, late, 99 + late));
	g_assert_false(gyp_leases_grant(l, 7, late));
	g_assert_false(gyp_leases_not_after(l, 7, late, 1000, &not_after));
	g_assert_false(gyp_leases_expired(l, 7, 2 * late));
	gyp_leases_reset(l, late);
	g_assert_true(gyp_leases_renew(l, 7, late, 99 + late));
	gyp_leases_free(l);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leases/grant-after-reset", test_grant_after_reset);
	g_test_add_func("/leases/closed", test_closed);
	return g_test_run();
}
