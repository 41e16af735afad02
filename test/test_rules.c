#include <string.h>

#include <glib.h>

#include "rules.h"

static struct gyp_rules *
parse(const char *text, struct gyp_error *err)
{
	struct gyp_slice s = {(const uint8_t *)text, strlen(text)};

	return gyp_rules_parse("r", s, err);
}

static struct gyp_rules *
parse_ok(const char *text)
{
	struct gyp_error err = {.code = GYP_OK, .message = ""};
	struct gyp_rules *rules = parse(text, &err);

	g_assert_cmpstr(err.message, ==, "");
	g_assert_nonnull(rules);
	return rules;
}

static const char every_verb[] =
    "# the whole grammar\n"
    "\n"
    "weight booking waiting=9 packing=1 # Asha: trucks wait\n"
    "weight * waiting=1 packing=3\t# Ravi: savings\n"
    "quota press cpu=64 memory=128GiB accel=2 slots=40 # Ravi: fair\n"
    "quota rota cpu=8 # Ravi: fair\n"
    "share press 3 # Ravi: fair\n"
    "urgent booking within=3s # Asha: trucks\n"
    "limit endpoint tasks=8 # Mehul: old VMs\n"
    "limit rack tasks=2 # Mehul: switches fail\n"
    "spread booking over=data-centre # Asha: outages\n"
    "reserve cpu=10% memory=5% # Asha: urgent work\n"
    "retry juicing attempts=5 budget=10% # Mehul: flaky\n"
    "preempt juicing by=booking # Asha: trucks\n"
    "quarantine failures=5 within=1m for=10m # Mehul: bad VMs\n"
    "learn juicing margin=25% # Ravi: savings\n";

static void
test_lookups(void)
{
	struct gyp_rules *r = parse_ok(every_verb);

	g_assert_cmpuint(gyp_rules_count(r), ==, 14);
	g_assert_cmpuint(gyp_rules_at(r, 0)->line, ==, 3);
	g_assert_cmpuint(
	    gyp_rules_weight(r, "booking")->u.weight.waiting, ==, 9);
	g_assert_cmpuint(gyp_rules_weight(r, "other")->u.weight.packing, ==, 3);
	g_assert_cmpstr(
	    gyp_rules_weight(r, "other")->comment, ==, "Ravi: savings");
	g_assert_cmpuint(
	    gyp_rules_quota(r, "press")->u.quota.cpu_milli, ==, 64000);
	g_assert_cmpuint(
	    gyp_rules_quota(r, "press")->u.quota.memory, ==, 128ULL << 30);
	g_assert_cmpuint(gyp_rules_quota(r, "rota")->u.quota.memory, ==,
	    GYP_UNLIMITED_MEMORY);
	g_assert_cmpuint(gyp_rules_quota(r, "x")->line, ==, 0);
	g_assert_cmpuint(gyp_rules_share(r, "press")->u.share, ==, 3);
	g_assert_cmpuint(gyp_rules_share(r, "x")->u.share, ==, 1);
	g_assert_cmpuint(gyp_rules_urgent(r, "booking")->u.within_ms, ==, 3000);
	g_assert_cmpuint(
	    gyp_rules_urgent(r, "x")->u.within_ms, ==, GYP_UNLIMITED);
	g_assert_cmpuint(gyp_rules_limit(r, "endpoint")->u.tasks, ==, 8);
	g_assert_cmpuint(gyp_rules_limit(r, "rack")->u.tasks, ==, 2);
	g_assert_cmpint(
	    gyp_rules_spread(r, "booking")->u.over, ==, GYP_SPREAD_DATA_CENTRE);
	g_assert_cmpint(gyp_rules_spread(r, "x")->u.over, ==, GYP_SPREAD_NONE);
	g_assert_cmpuint(gyp_rules_reserve(r)->u.reserve.cpu_percent, ==, 10);
	g_assert_cmpuint(
	    gyp_rules_retry(r, "juicing")->u.retry.attempts, ==, 5);
	g_assert_cmpuint(
	    gyp_rules_preempt(r, "juicing", "booking")->line, ==, 14);
	g_assert_null(gyp_rules_preempt(r, "booking", "juicing"));
	g_assert_cmpuint(
	    gyp_rules_quarantine(r)->u.quarantine.for_ms, ==, 600000);
	g_assert_cmpuint(
	    gyp_rules_learn(r, "juicing")->u.margin_percent, ==, 25);
	g_assert_null(gyp_rules_learn(r, "x"));
	gyp_rules_free(r);
}

static void
test_defaults(void)
{
	struct gyp_rules *r = gyp_rules_defaults();
	char *pairs = gyp_rules_conflicts(r);

	g_assert_cmpuint(gyp_rules_count(r), ==, 0);
	g_assert_cmpuint(gyp_rules_weight(r, "x")->u.weight.waiting, ==, 1);
	g_assert_cmpuint(gyp_rules_retry(r, "x")->u.retry.attempts, ==, 3);
	g_assert_null(gyp_rules_reserve(r));
	g_assert_null(gyp_rules_quarantine(r));
	g_assert_cmpstr(pairs, ==, "");
	g_free(pairs);
	gyp_rules_free(r);
}

/*
 * A text that is cut at any byte or has any byte changed is parsed or rejected
 * with a message.
 */
static void
test_damaged(void)
{
	GRand *rand = g_rand_new_with_seed(23);
	size_t len = strlen(every_verb);
	size_t i;

	for (i = 0; i < 20 * len; i++) {
		char *text = g_strdup(every_verb);
		struct gyp_slice s = {(uint8_t *)text, i % (len + 1)};
		struct gyp_error err = {.code = GYP_OK};
		struct gyp_rules *r;

		if (i > len)
			text[g_rand_int_range(rand, 0, (gint32)len)] =
			    (char)g_rand_int_range(rand, 0, 256);
		r = gyp_rules_parse("r", s, &err);
		g_assert_true(r != NULL || err.message[0] != '\0');
		gyp_rules_free(r);
		g_free(text);
	}
	g_rand_free(rand);
}

static void
test_too_large(void)
{
	char *text = g_strnfill(GYP_RULES_MAX + 1, '\n');
	struct gyp_error err = {.code = GYP_OK};

	g_assert_null(parse(text, &err));
	g_assert_cmpint(err.code, ==, GYP_TOO_LARGE);
	text[GYP_RULES_MAX] = '\0';
	gyp_rules_free(parse_ok(text));
	g_free(text);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rules/lookups", test_lookups);
	g_test_add_func("/rules/defaults", test_defaults);
	g_test_add_func("/rules/damaged", test_damaged);
	g_test_add_func("/rules/too-large", test_too_large);
	return g_test_run();
}
