#include <math.h>
#include <string.h>

#include <glib.h>

#include "load_shed.h"
#include "quota.h"
#include "token_bucket.h"
#include "workspace.h"

/*
 * Keys, access, caps and rates of workspaces, and delays of refused callers.
 */

#define SECOND_MS 1000

/* ---- Manifests ---------------------------------------------------------- */

#define KEYS_MAX 2

/* A workspace with up to KEYS_MAX keys. */
struct keyed_workspace {
	Gyp__Workspace ws;
	uint8_t digests[KEYS_MAX][GYP_KEY_DIGEST_BYTES];
	ProtobufCBinaryData keys[KEYS_MAX];
};

static void
init_workspace(struct keyed_workspace *m, const char *name, double rate,
    const char *key, const char *other_key)
{
	const char *const keys[KEYS_MAX] = {key, other_key};
	size_t i;

	gyp__workspace__init(&m->ws);
	m->ws.name = (char *)name;
	m->ws.rate = rate;
	m->ws.key_digests = m->keys;
	for (i = 0; i < KEYS_MAX && keys[i] != NULL; i++) {
		gyp_api_key_digest(keys[i], strlen(keys[i]), m->digests[i]);
		m->keys[i].data = m->digests[i];
		m->keys[i].len = GYP_KEY_DIGEST_BYTES;
		m->ws.n_key_digests++;
	}
}

/* A manifest with workspaces "a" (keys ka, ka2) and "b" (key kb). */
struct manifest {
	Gyp__CmdManifest m;
	struct keyed_workspace a, b;
	Gyp__Workspace *list[2];
};

static void
init_manifest(struct manifest *x)
{
	gyp__cmd_manifest__init(&x->m);
	init_workspace(&x->a, "a", 1, "ka", "ka2");
	init_workspace(&x->b, "b", 1, "kb", NULL);
	x->list[0] = &x->a.ws;
	x->list[1] = &x->b.ws;
	x->m.requires_keys = true;
	x->m.n_workspaces = G_N_ELEMENTS(x->list);
	x->m.workspaces = x->list;
}

static const char *
name_by_key(const struct manifest *x, const char *key)
{
	uint8_t digest[GYP_KEY_DIGEST_BYTES];
	ProtobufCBinaryData data = {.len = sizeof(digest), .data = digest};
	const Gyp__Workspace *w;

	gyp_api_key_digest(key, strlen(key), digest);
	w = gyp_workspace_by_key(&x->m, &data);
	return w != NULL ? w->name : NULL;
}

/* Guards against a key that admits a caller as another workspace. */
static void
test_key_lookup(void)
{
	struct manifest x;

	init_manifest(&x);
	g_assert_cmpstr(name_by_key(&x, "ka"), ==, "a");
	g_assert_cmpstr(name_by_key(&x, "ka2"), ==, "a");
	g_assert_cmpstr(name_by_key(&x, "kb"), ==, "b");
	g_assert_null(name_by_key(&x, "k"));
	g_assert_null(name_by_key(&x, "kb2"));
	g_assert_null(name_by_key(&x, ""));
}

/*
 * Guards against a digest that is absent, or is the beginning of one, and
 * matches a key.
 */
static void
test_partial_digest(void)
{
	struct manifest x;
	size_t len;

	init_manifest(&x);
	for (len = 0; len < GYP_KEY_DIGEST_BYTES; len++) {
		ProtobufCBinaryData part = {.len = len, .data = x.a.digests[0]};

		g_assert_null(gyp_workspace_by_key(&x.m, &part));
	}
}

/* Guards against manifests in which it is ambiguous whose a call is. */
static void
test_invalid_manifests(void)
{
	static const double invalid[] = {-1, NAN, INFINITY, -INFINITY};
	struct manifest x;
	const char *error;
	size_t i;

	init_manifest(&x);
	g_assert_null(gyp_workspaces_check(&x.m));
	init_workspace(&x.b, "b", 1, "kb", "ka2");
	error = gyp_workspaces_check(&x.m);
	g_assert_nonnull(strstr(error, "share a key"));
	g_assert_null(strstr(error, "ka2"));
	init_workspace(&x.b, "a", 1, "kb", NULL);
	g_assert_nonnull(strstr(gyp_workspaces_check(&x.m), "same name"));
	init_workspace(&x.b, "", 1, "kb", NULL);
	g_assert_nonnull(strstr(gyp_workspaces_check(&x.m), "no name"));
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		init_workspace(&x.b, "b", invalid[i], "kb", NULL);
		g_assert_nonnull(strstr(gyp_workspaces_check(&x.m), "weight"));
	}
}

/* Guards against a refusal of a manifest that lists a key twice. */
static void
test_repeated_key(void)
{
	struct manifest x;

	init_manifest(&x);
	init_workspace(&x.a, "a", 0, "ka", "ka");
	g_assert_null(gyp_workspaces_check(&x.m));
	g_assert_cmpstr(name_by_key(&x, "ka"), ==, "a");
}

/* ---- Access ------------------------------------------------------------- */

static enum gyp_access
access_with(const struct manifest *x, bool is_public,
    const ProtobufCBinaryData *key, const char *name)
{
	Gyp__FlowQueue q = GYP__FLOW_QUEUE__INIT;
	const Gyp__Workspace *w;
	enum gyp_access access;

	q.is_public = is_public;
	access = gyp_workspace_access(&x->m, &q, key, &w);
	g_assert_cmpstr(w != NULL ? w->name : NULL, ==, name);
	return access;
}

/* Guards against calls to private queues without a key that is in force. */
static void
test_queue_access(void)
{
	const ProtobufCBinaryData none = {0};
	struct manifest x;
	struct keyed_workspace unknown;

	init_manifest(&x);
	init_workspace(&unknown, "u", 1, "other", NULL);
	g_assert_cmpint(
	    access_with(&x, false, &x.a.keys[0], "a"), ==, GYP_ACCESS_GRANTED);
	g_assert_cmpint(access_with(&x, false, &none, NULL), ==,
	    GYP_ACCESS_UNAUTHENTICATED);
	g_assert_cmpint(access_with(&x, false, &unknown.keys[0], NULL), ==,
	    GYP_ACCESS_UNAUTHENTICATED);
	g_assert_cmpint(
	    access_with(&x, true, &none, NULL), ==, GYP_ACCESS_GRANTED);
	g_assert_cmpint(access_with(&x, true, &unknown.keys[0], NULL), ==,
	    GYP_ACCESS_GRANTED);
	g_assert_cmpint(
	    access_with(&x, true, &x.b.keys[0], "b"), ==, GYP_ACCESS_GRANTED);
	x.m.n_workspaces = 0; /* an empty list admits nobody */
	g_assert_cmpint(access_with(&x, false, &x.a.keys[0], NULL), ==,
	    GYP_ACCESS_UNAUTHENTICATED);
	x.m.requires_keys = false;
	g_assert_cmpint(
	    access_with(&x, false, &none, NULL), ==, GYP_ACCESS_GRANTED);
}

/* A call through one queue for a flow of another. */
struct flow_access_case {
	const char *caller;
	const char *owner;
	bool call_public; /* the queue of the call */
	bool flow_public; /* the queue that accepted the flow */
	bool granted;
};

/*
 * Guards against access to flows of another workspace, also through a public
 * queue: the id of a flow finds it through any queue.
 */
static void
test_flow_access(void)
{
	static const struct flow_access_case cases[] = {
	    {"a", "a", false, false, true}, {"b", "a", false, false, false},
	    {"b", "", false, false, true}, {NULL, "a", true, false, false},
	    {"b", "a", true, false, false}, {"a", "a", true, false, true},
	    {NULL, "", true, false, false}, {NULL, "", true, true, true},
	    {NULL, "a", true, true, true}, {"b", "a", false, true, false}};
	struct manifest x;
	size_t i;

	init_manifest(&x);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct flow_access_case *c = &cases[i];
		Gyp__FlowQueue q = GYP__FLOW_QUEUE__INIT, own = q;
		Gyp__FlowSpec spec = GYP__FLOW_SPEC__INIT;
		const Gyp__Workspace *w = NULL;

		q.is_public = c->call_public;
		own.is_public = c->flow_public;
		spec.queue = &own;
		spec.workspace = (char *)c->owner;
		if (c->caller != NULL)
			w = gyp_workspace_by_name(&x.m, c->caller);
		x.m.requires_keys = true;
		g_assert_cmpint(gyp_workspace_flow_access(&x.m, &q, w, &spec) ==
				    GYP_ACCESS_GRANTED,
		    ==, c->granted);
		/* A manifest without workspaces shuts nobody out. */
		x.m.requires_keys = false;
		g_assert_cmpint(
		    gyp_workspace_flow_access(&x.m, &q, NULL, &spec), ==,
		    GYP_ACCESS_GRANTED);
	}
}

/* ---- Caps --------------------------------------------------------------- */

/*
 * Guards against counts that are off by one: starts above the cap, or none of
 * the last that fits.
 */
static void
test_quota_count(void)
{
	const struct gyp_res size = {.cpu_milli = 1000, .memory = 10};
	struct gyp_res cap = gyp_quota_none;
	struct gyp_res used = {.cpu_milli = 7000, .memory = 70};

	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 9), ==, 9);
	cap.cpu_milli = 10000;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 9), ==, 3);
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 2), ==, 2);
	cap.cpu_milli = 9999;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 9), ==, 2);
	cap.cpu_milli = 7000;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 9), ==, 0);
	cap = gyp_quota_none;
	cap.memory = 89;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 9), ==, 1);
}

/*
 * Guards against starts after a cap fell below the use, also of tasks that need
 * none of the resource, and of an amount below zero.
 */
static void
test_quota_lowered(void)
{
	const struct gyp_res size = {.memory = 10};
	const struct gyp_res used = {.cpu_milli = 7000, .memory = 70};
	struct gyp_res cap = gyp_quota_none;

	cap.cpu_milli = 7000;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 4), ==, 4);
	cap.cpu_milli = 6999;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 4), ==, 0);
	cap.cpu_milli = 1;
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &size, 4), ==, 0);
}

/* Guards against counts that wrap around. */
static void
test_quota_overflow(void)
{
	const struct gyp_res unit = {.cpu_milli = 1, .memory = 1};
	const struct gyp_res most = {UINT32_MAX, UINT64_MAX, 0, 0};
	const struct gyp_res none = {0, 0, 0, 0};
	struct gyp_res used = {UINT32_MAX - 1, UINT64_MAX - 1, 0, 0};
	Gyp__Res zero = GYP__RES__INIT;
	struct gyp_res cap = gyp_quota_from(&zero);

	g_assert_cmpuint(cap.memory, ==, UINT64_MAX);
	g_assert_cmpuint(
	    gyp_quota_count(&cap, &none, &unit, UINT32_MAX), ==, UINT32_MAX);
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &unit, 5), ==, 1);
	g_assert_cmpuint(gyp_quota_count(&cap, &none, &most, 5), ==, 1);
	g_assert_cmpuint(gyp_quota_count(&cap, &used, &most, 5), ==, 0);
}

/* ---- Token buckets ------------------------------------------------------ */

/*
 * Guards against refusals of work within the rate: all of a second's events at
 * its beginning or end, or spread, and alternating between these.
 */
static void
test_within_rate(void)
{
	const uint32_t rate = 20;
	struct gyp_token_bucket b = {0};
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t second;
	uint32_t i;

	for (second = 1; second < 500; second++) {
		uint32_t at[20];

		for (i = 0; i < rate; i++)
			at[i] = (uint32_t)g_rand_int_range(rand, 0, 50) +
				(second % 2 == 0 ? 0 : 40 * i % 950);
		for (i = 1; i < rate; i++)
			at[i] = MAX(at[i], at[i - 1]);
		/* Windows are not aligned: leave every other second out. */
		for (i = 0; i < rate; i++)
			g_assert_true(gyp_token_bucket_take(
			    &b, rate, 2 * second * SECOND_MS + at[i]));
	}
	g_rand_free(rand);
}

/* Guards against a burst that gets more than the tokens of one second. */
static void
test_burst(void)
{
	struct gyp_token_bucket b = {0};
	uint32_t taken = 0, i;

	for (i = 0; i < 100; i++)
		taken += gyp_token_bucket_take(&b, 8, 5000);
	g_assert_cmpuint(taken, ==, 8);
	g_assert_cmpuint(gyp_token_bucket_wait_ms(&b, 8, 5000), ==, 125);
	g_assert_false(gyp_token_bucket_take(&b, 8, 5124));
	g_assert_true(gyp_token_bucket_take(&b, 8, 5125));
	for (i = taken = 0; i < 100; i++)
		taken += gyp_token_bucket_take(&b, 8, 500000);
	g_assert_cmpuint(taken, ==, 8);
}

/*
 * Guards against the sum of rounding errors: of 10,000 events at exactly the
 * rate after a burst, none is refused; of 10,000 at three times the rate, as
 * many are allowed as the rate.
 */
static void
test_rounding(void)
{
	struct gyp_token_bucket b = {0};
	uint32_t i, taken = 0;

	for (i = 0; i < 8; i++)
		g_assert_true(gyp_token_bucket_take(&b, 8, 1000));
	for (i = 1; i <= 10000; i++)
		g_assert_true(gyp_token_bucket_take(&b, 8, 1000 + i * 125));
	b = (struct gyp_token_bucket){0};
	for (i = 0; i < 10000; i++)
		taken += gyp_token_bucket_take(&b, 3.3, 1000 + i * 100);
	g_assert_cmpuint(taken, >=, 3300);
	g_assert_cmpuint(taken, <=, 3303);
}

/* Guards against tokens that are granted while the time stands or goes back. */
static void
test_time_stands(void)
{
	struct gyp_token_bucket b = {0};
	uint32_t i, taken = 0;

	for (i = 0; i < 50; i++) {
		taken += gyp_token_bucket_take(&b, 4, 9000);
		taken += gyp_token_bucket_take(&b, 4, 7000);
	}
	g_assert_cmpuint(taken, ==, 4);
	g_assert_false(gyp_token_bucket_take(&b, 4, 9100));
	g_assert_true(gyp_token_bucket_take(&b, 4, 9250));
}

/* Guards against a rate below one a second that never lets anything pass. */
static void
test_slow_rate(void)
{
	struct gyp_token_bucket b = {0};

	g_assert_true(gyp_token_bucket_take(&b, 0.25, 1000));
	g_assert_false(gyp_token_bucket_take(&b, 0.25, 4999));
	g_assert_cmpuint(gyp_token_bucket_wait_ms(&b, 0.25, 4999), ==, 1);
	g_assert_true(gyp_token_bucket_take(&b, 0.25, 5000));
	g_assert_cmpuint(
	    gyp_token_bucket_wait_ms(&b, 1e-30, 5000), ==, UINT32_MAX);
}

/* ---- Refusals ----------------------------------------------------------- */

/* Guards against idle capacity, and accepted work that would be late. */
static void
test_load_shed(void)
{
	struct gyp_pool_load load = {.capacity_milli = 10000};

	g_assert_true(gyp_load_shed_accepts(&load, 0));
	load.waiting_milli_ms = 10000.0 * 500;
	g_assert_cmpuint(gyp_load_shed_delay_ms(&load), ==, 500);
	g_assert_true(gyp_load_shed_accepts(&load, 500));
	g_assert_false(gyp_load_shed_accepts(&load, 499));
	load.cap_wait_ms = 800;
	g_assert_cmpuint(gyp_load_shed_delay_ms(&load), ==, 800);
	load.cap_wait_ms = 0;
	load.capacity_milli = 0;
	load.waiting_milli_ms = 0;
	g_assert_cmpuint(gyp_load_shed_delay_ms(&load), ==, UINT32_MAX);
	g_assert_false(gyp_load_shed_accepts(&load, 60000));
	load.capacity_milli = 1;
	load.waiting_milli_ms = 1e300;
	g_assert_cmpuint(gyp_load_shed_delay_ms(&load), ==, UINT32_MAX);
}

/*
 * Guards against refused callers that return at the same time, or sooner than
 * their workspace has tokens: each is asked to return at least a token after
 * the one before, within the bounds.
 */
static void
test_retry_slots(void)
{
	static const double rates[] = {0.5, 3, 8, 300};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rates); i++) {
		double token_ms = SECOND_MS / rates[i];
		uint64_t now = 100000, slot = 0, before = 0;
		uint32_t n;

		for (n = 0; n < 20000; n++) {
			uint32_t retry = gyp_load_shed_retry_ms(
			    now, &slot, rates[i], (uint32_t)token_ms);

			g_assert_cmpuint(retry, >=, GYP_LOAD_SHED_RETRY_MIN_MS);
			g_assert_cmpuint(retry, <=, GYP_LOAD_SHED_RETRY_MAX_MS);
			if (slot == now + GYP_LOAD_SHED_RETRY_MAX_MS)
				break;
			if (before > 0)
				g_assert_cmpfloat(
				    (double)(slot - before), >=, token_ms);
			before = slot;
		}
		g_assert_cmpuint(n, <, 20000);
		/* After a pause the next slot is the next token's. */
		now += 10 * GYP_LOAD_SHED_RETRY_MAX_MS;
		gyp_load_shed_retry_ms(now, &slot, rates[i], 7);
		g_assert_cmpuint(slot, ==, now + 7);
	}
}

/* Guards against delays out of bounds with rates near zero. */
static void
test_retry_tiny_rate(void)
{
	uint64_t slot = 0;

	g_assert_cmpuint(gyp_load_shed_retry_ms(5000, &slot, 0, UINT32_MAX), ==,
	    GYP_LOAD_SHED_RETRY_MAX_MS);
	g_assert_cmpuint(
	    gyp_load_shed_retry_ms(5000, &slot, 1e-300, UINT32_MAX), ==,
	    GYP_LOAD_SHED_RETRY_MAX_MS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/workspaces/key-lookup", test_key_lookup);
	g_test_add_func("/workspaces/partial-digest", test_partial_digest);
	g_test_add_func(
	    "/workspaces/invalid-manifests", test_invalid_manifests);
	g_test_add_func("/workspaces/repeated-key", test_repeated_key);
	g_test_add_func("/workspaces/queue-access", test_queue_access);
	g_test_add_func("/workspaces/flow-access", test_flow_access);
	g_test_add_func("/workspaces/quota-count", test_quota_count);
	g_test_add_func("/workspaces/quota-lowered", test_quota_lowered);
	g_test_add_func("/workspaces/quota-overflow", test_quota_overflow);
	g_test_add_func("/workspaces/within-rate", test_within_rate);
	g_test_add_func("/workspaces/burst", test_burst);
	g_test_add_func("/workspaces/rounding", test_rounding);
	g_test_add_func("/workspaces/time-stands", test_time_stands);
	g_test_add_func("/workspaces/slow-rate", test_slow_rate);
	g_test_add_func("/workspaces/load-shed", test_load_shed);
	g_test_add_func("/workspaces/retry-slots", test_retry_slots);
	g_test_add_func("/workspaces/retry-tiny-rate", test_retry_tiny_rate);
	return g_test_run();
}
