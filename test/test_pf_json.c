#include <string.h>

#include <glib.h>

#include "pf_json.h"

/* Bodies that endpoints and other writers send to the control server. */

static bool
decode_departure(const char *body, uint64_t *born_ms)
{
	const char *why = NULL;
	bool ok = gyp_pf_decode_departure(body, strlen(body), born_ms, &why);

	g_assert_true(ok || why != NULL);
	return ok;
}

/* Guards against a shutdown that is taken for one of another incarnation. */
static void
test_departure(void)
{
	uint64_t born_ms = 1;

	g_assert_true(decode_departure("", &born_ms));
	g_assert_cmpuint(born_ms, ==, 0);
	g_assert_true(decode_departure("{}", &born_ms));
	g_assert_cmpuint(born_ms, ==, 0);
	g_assert_true(decode_departure("{\"born\":1788277010045}", &born_ms));
	g_assert_cmpuint(born_ms, ==, 1788277010045);
	g_assert_false(decode_departure("{\"born\":\"1\"}", &born_ms));
	g_assert_false(decode_departure("{\"born\":-1}", &born_ms));
	g_assert_false(decode_departure("[1]", &born_ms));
	g_assert_false(decode_departure("{\"born\":", &born_ms));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pf-json/departure", test_departure);
	return g_test_run();
}
