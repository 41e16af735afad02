#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "msg.h"
#include "replica.h"

/* Versions of the rules at a cell of one replica, without sockets or disk. */

#define ENTRY_LEASE_MS 3000
#define FIRST_ENTRY    77
#define OTHER_ENTRY    78

#define RULE(n) "share t " #n " # Asha: fair\n"

struct cell {
	struct gyp_replica *r;
	uint64_t now;
	uint64_t next_call;
	GHashTable *replies;     /* call -> latest Gyp__Reply */
	uint64_t pushed_version; /* in the latest frame to an entry */
	uint64_t records_written;
	uint64_t entry; /* sends the next frame */
};

static void
collect_frames(struct cell *c)
{
	struct gyp_out_frame out;

	while (gyp_replica_pop_frame(c->r, &out)) {
		gsize len;
		const uint8_t *data = g_bytes_get_data(out.packed, &len);
		Gyp__Frame *frame = gyp__frame__unpack(NULL, len, data);
		size_t i;

		if (frame->body_case == GYP__FRAME__BODY_DOWN) {
			c->pushed_version = frame->down->rules_version;
			for (i = 0; i < frame->down->n_replies; i++) {
				Gyp__Reply *reply = gyp_message_copy(
				    &frame->down->replies[i]->base);

				g_hash_table_replace(
				    c->replies, &reply->id, reply);
			}
		}
		gyp_message_free(frame);
		g_free(out.address);
		g_bytes_unref(out.packed);
	}
}

static void
run(struct cell *c, uint64_t ms)
{
	uint64_t end = c->now + ms;

	for (; c->now <= end; c->now += GYP_TICK_MS) {
		struct gyp_record rec;

		gyp_replica_tick(c->r, c->now);
		while (gyp_replica_pop_record(c->r, &rec)) {
			c->records_written++;
			if (rec.data != NULL)
				g_bytes_unref(rec.data);
		}
		gyp_replica_synced(c->r, c->now, c->records_written);
		collect_frames(c);
	}
}

/* Runs until the replica leads, and for settle_ms more. */
static struct cell *
make_cell(uint64_t settle_ms)
{
	struct gyp_replica_config cfg = {.id = 1,
	    .address = "127.0.0.1:1",
	    .election_ms = 1000,
	    .heartbeat_ms = 100,
	    .endpoint_lease_ms = 5000,
	    .entry_lease_ms = ENTRY_LEASE_MS,
	    .start_window_ms = 2000,
	    .voters = 1,
	    .compact_bytes = 1 << 20};
	struct cell *c = g_new0(struct cell, 1);

	c->now = GYP_TICK_MS;
	c->next_call = 1;
	c->entry = FIRST_ENTRY;
	c->replies = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, gyp_message_free);
	c->r = gyp_replica_new(&cfg);
	gyp_replica_bootstrap(c->r, NULL);
	while (!gyp_replica_serving(c->r))
		run(c, GYP_TICK_MS);
	run(c, settle_ms);
	return c;
}

static void
free_cell(struct cell *c)
{
	gyp_replica_free(c->r);
	g_hash_table_destroy(c->replies);
	g_free(c);
}

/* Sends a frame from the entry; call may be NULL. */
static void
send_up(struct cell *c, Gyp__Call *call, uint64_t held_version)
{
	Gyp__Frame frame = GYP__FRAME__INIT;
	Gyp__EntryUp up = GYP__ENTRY_UP__INIT;

	up.n_calls = call != NULL;
	up.calls = &call;
	up.rules_version = held_version;
	up.round = c->now;
	up.name = "front";
	frame.body_case = GYP__FRAME__BODY_UP;
	frame.up = &up;
	gyp_replica_receive(c->r, c->now, c->entry, &frame);
}

static uint64_t
send_rules(struct cell *c, uint64_t base, const char *request, const char *text,
    uint32_t wait_ms, uint64_t held_version)
{
	Gyp__Call call = GYP__CALL__INIT;
	Gyp__CmdRules rules = GYP__CMD_RULES__INIT;

	call.id = c->next_call++;
	call.wait_ms = wait_ms;
	call.c_case = GYP__CALL__C_RULES;
	call.rules = &rules;
	rules.base_version = base;
	rules.request = (char *)request;
	rules.author = "test";
	rules.text = (char *)text;
	send_up(c, &call, held_version);
	return call.id;
}

static const Gyp__Reply *
reply_to(const struct cell *c, uint64_t call)
{
	return g_hash_table_lookup(c->replies, &call);
}

static Gyp__Code
apply(struct cell *c, uint64_t base, const char *request, const char *text)
{
	uint64_t call = send_rules(c, base, request, text, 0, 0);

	run(c, 100);
	g_assert_nonnull(reply_to(c, call));
	return reply_to(c, call)->code;
}

static uint64_t
version(const struct cell *c)
{
	const struct gyp_rules_version *v =
	    gyp_state_rules(gyp_replica_state(c->r));

	return v != NULL ? v->version : 0;
}

static const struct {
	Gyp__Code code;
	uint64_t base;
	const char *request;
	const char *text;
	uint64_t version; /* afterwards */
} steps[] = {{GYP__CODE__CODE_OK, 0, "a", RULE(1), 1},
    /* The same base again is refused, whatever the id. */
    {GYP__CODE__CODE_CONFLICT, 0, "b", RULE(2), 1},
    {GYP__CODE__CODE_OK, 1, "c", RULE(3), 2},
    /* An accepted and a refused request, sent again after a newer version. */
    {GYP__CODE__CODE_OK, 0, "a", RULE(1), 2},
    {GYP__CODE__CODE_CONFLICT, 0, "b", RULE(2), 2},
    /* The id of a request with another text, or another base. */
    {GYP__CODE__CODE_CONFLICT, 0, "a", RULE(4), 2},
    {GYP__CODE__CODE_CONFLICT, 2, "a", RULE(1), 2},
    /* A future base, no id, and a text that does not parse. */
    {GYP__CODE__CODE_CONFLICT, 9, "d", RULE(5), 2},
    {GYP__CODE__CODE_BAD, 2, "", RULE(5), 2},
    {GYP__CODE__CODE_BAD, 2, "e", "share t 3\n", 2},
    {GYP__CODE__CODE_OK, 2, "f", "", 3}};

static void
test_compare_and_set(void)
{
	struct cell *c = make_cell(2 * ENTRY_LEASE_MS);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_assert_cmpint(
		    apply(c, steps[i].base, steps[i].request, steps[i].text),
		    ==, steps[i].code);
		g_assert_cmpuint(version(c), ==, steps[i].version);
	}
	free_cell(c);
}

/* Of two requests with the same base in one batch, exactly one is accepted. */
static void
test_race(void)
{
	struct cell *c = make_cell(2 * ENTRY_LEASE_MS);
	uint64_t x = send_rules(c, 0, "x", RULE(1), 0, 0);
	uint64_t y = send_rules(c, 0, "y", RULE(2), 0, 0);
	json_t *json;

	run(c, 100);
	g_assert_cmpint(reply_to(c, x)->code, ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(reply_to(c, y)->code, ==, GYP__CODE__CODE_CONFLICT);
	json = json_loads(reply_to(c, y)->json, 0, NULL);
	g_assert_cmpstr(
	    json_string_value(json_object_get(json, "text")), ==, RULE(1));
	json_decref(json);
	free_cell(c);
}

/* A request older than the kept versions is refused, never applied again. */
static void
test_older_than_kept(void)
{
	struct cell *c = make_cell(2 * ENTRY_LEASE_MS);
	uint64_t v;

	for (v = 0; v < GYP_RULES_VERSIONS_MAX + 2; v++) {
		char *request = g_strdup_printf("r%d", (int)v);

		g_assert_cmpint(
		    apply(c, v, request, RULE(1)), ==, GYP__CODE__CODE_OK);
		g_free(request);
	}
	g_assert_cmpint(
	    apply(c, 1, "r1", RULE(1)), ==, GYP__CODE__CODE_RETIRED);
	g_assert_cmpint(apply(c, 2, "r2", RULE(1)), ==, GYP__CODE__CODE_OK);
	g_assert_cmpint(
	    apply(c, 2, "new", RULE(1)), ==, GYP__CODE__CODE_CONFLICT);
	g_assert_cmpuint(version(c), ==, GYP_RULES_VERSIONS_MAX + 2);
	free_cell(c);
}

static bool
in_force(const struct cell *c, uint64_t call)
{
	json_t *json = json_loads(reply_to(c, call)->json, 0, NULL);
	bool yes = json_is_true(json_object_get(json, "in_force"));

	g_assert_true(
	    yes || json_array_size(json_object_get(json, "missing")) > 0);
	json_decref(json);
	return yes;
}

/* A version is in force only when each live entry has reported it. */
static void
test_in_force(void)
{
	struct cell *c = make_cell(2 * ENTRY_LEASE_MS);
	uint64_t call = send_rules(c, 0, "a", RULE(1), 2000, 0);
	int i;

	run(c, 300);
	g_assert_null(reply_to(c, call));
	g_assert_cmpuint(
	    c->pushed_version, ==, 1); /* sent although the entry was idle */
	send_up(c, NULL, 1);
	run(c, 300);
	g_assert_true(in_force(c, call));
	call = send_rules(c, 1, "b", RULE(2), 500, 1);
	run(c, 1000);
	g_assert_false(in_force(c, call));
	/* An entry that is silent past its lease sends no starts. */
	c->entry = OTHER_ENTRY;
	call = send_rules(c, 1, "b", RULE(2), 60000, 2);
	for (i = 0; i < 20 && reply_to(c, call) == NULL; i++) {
		run(c, 500);
		send_up(c, NULL, 2);
	}
	g_assert_cmpuint(i, >, ENTRY_LEASE_MS / 2 / 500);
	g_assert_true(in_force(c, call));
	free_cell(c);
}

/*
 * A new leader has not been contacted by all live entries yet. The entry here
 * reports a version that is newer than any, so only other entries can be
 * missing.
 */
static void
test_in_force_after_take_over(void)
{
	struct cell *c = make_cell(0);
	uint64_t call = send_rules(c, 0, "a", RULE(1), 0, 9);

	run(c, 100);
	g_assert_false(in_force(c, call));
	call = send_rules(c, 0, "a", RULE(1), 10000, 9);
	run(c, ENTRY_LEASE_MS);
	send_up(c, NULL, 9);
	run(c, 500);
	g_assert_true(in_force(c, call));
	free_cell(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/versions/compare-and-set", test_compare_and_set);
	g_test_add_func("/versions/race", test_race);
	g_test_add_func("/versions/older-than-kept", test_older_than_kept);
	g_test_add_func("/versions/in-force", test_in_force);
	g_test_add_func("/versions/in-force-after-take-over",
	    test_in_force_after_take_over);
	return g_test_run();
}
