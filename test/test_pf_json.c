#include <string.h>

#include <glib.h>

#include "msg.h"
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

/* ---- Reports of other writers -------------------------------------------- */

/* A heartbeat with that address, start time, clock and capacity. */
static char *
heartbeat(const char *address, const char *born, const char *clock,
    const char *capacity)
{
	return g_strdup_printf("{\"backend\":\"p\",\"address\":\"%s\","
			       "\"zone\":\"z\",\"state\":\"ready\","
			       "\"born\":%s,\"clock_ms\":%s,"
			       "\"labels\":[\"a\",\"r1\"],\"capacity\":%s}",
	    address, born, clock, capacity);
}

static bool
decode_heartbeat(const char *id, const char *body)
{
	struct gyp_pf_heartbeat hb;
	const char *why = NULL;
	bool ok = gyp_pf_decode_heartbeat(id, body, strlen(body), &hb, &why);

	g_assert_true(ok ? hb.host != NULL : why != NULL && hb.host == NULL);
	gyp_message_free(hb.host);
	return ok;
}

#define ADDRESS  "10.0.0.1:8080"
#define CAPACITY "{\"cpu\":1000,\"mem_mb\":1}"

/*
 * Guards against an endpoint that can't be called, or whose incarnation or
 * clock no real one ever reaches, from a report of another writer.
 */
static void
test_odd_heartbeats(void)
{
	static const struct {
		const char *address, *born, *clock, *capacity;
		bool ok;
	} rows[] = {{ADDRESS, "1788277010045", "5", CAPACITY, true},
	    {"[::1]:65535", "1", "5", CAPACITY, true},
	    {"10.0.0.1:65536", "1", "5", CAPACITY, false},
	    {"10.0.0.1:0", "1", "5", CAPACITY, false},
	    {"10.0.0.1:-1", "1", "5", CAPACITY, false},
	    {"10.0.0.1:80x", "1", "5", CAPACITY, false},
	    {"10.0.0.1", "1", "5", CAPACITY, false},
	    {"10.0.0.256:80", "1", "5", CAPACITY, false},
	    {"::1:80", "1", "5", CAPACITY, false},
	    {"some.host:80", "1", "5", CAPACITY, false},
	    {"10.0.0.1:80/path", "1", "5", CAPACITY, false},
	    {"10.0.0.1:80\\r\\nX: y", "1", "5", CAPACITY, false},
	    {ADDRESS, "9007199254740992", "5", CAPACITY, false},
	    {ADDRESS, "9223372036854775807", "5", CAPACITY, false},
	    {ADDRESS, "9223372036854775808", "5", CAPACITY, false},
	    {ADDRESS, "1e999", "5", CAPACITY, false},
	    {ADDRESS, "1.5", "5", CAPACITY, false},
	    {ADDRESS, "1", "9007199254740992", CAPACITY, false},
	    {ADDRESS, "1", "-1", CAPACITY, false},
	    {ADDRESS, "1", "5", "{\"cpu\":4294967296,\"mem_mb\":1}", false},
	    {ADDRESS, "1", "5", "{\"cpu\":1,\"mem_mb\":1e300}", false},
	    {ADDRESS, "1", "5", "[[[[1]]]]", false}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *body = heartbeat(rows[i].address, rows[i].born,
		    rows[i].clock, rows[i].capacity);

		if (decode_heartbeat("i-1", body) != rows[i].ok)
			g_error("row %u: %s", i, body);
		g_free(body);
	}
}

/*
 * Guards against calls that carry another id, or a further header, than the
 * endpoint has: an id stands in a header of each.
 */
static void
test_odd_ids(void)
{
	static const char *const ids[] = {
	    "", " i-1", "i-1 ", "i 1", "i-1\t", "i-1\r\nX-Other: y", "i-1\x7f"};
	char *body = heartbeat(ADDRESS, "1", "5", CAPACITY);
	guint i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		g_assert_false(decode_heartbeat(ids[i], body));
	g_assert_true(decode_heartbeat("i-1:\xc3\xbc", body));
	g_free(body);
}

/* Text that is nested n times. */
static char *
nested(guint n)
{
	GString *s = g_string_new(NULL);
	guint i;

	for (i = 0; i < n; i++)
		g_string_append_c(s, '[');
	for (i = 0; i < n; i++)
		g_string_append_c(s, ']');
	return g_string_free(s, FALSE);
}

/* Guards against a report that fills the memory, the stack or the log. */
static void
test_large_heartbeats(void)
{
	char *deep = nested(100000);
	char *id = g_strnfill(5000, 'i');
	char *body = heartbeat(ADDRESS, "1", "5", CAPACITY);
	char *label = g_strdup_printf("{\"backend\":\"p\",\"address\":"
				      "\"" ADDRESS "\",\"state\":\"ready\","
				      "\"capacity\":{},\"labels\":[\"%s\"]}",
	    id);
	char *extra = g_strdup_printf("{\"backend\":\"p\",\"address\":"
				      "\"" ADDRESS "\",\"state\":\"ready\","
				      "\"capacity\":{},\"more\":%s}",
	    deep);

	g_assert_false(decode_heartbeat("i-1", deep));
	g_assert_false(decode_heartbeat("i-1", extra));
	g_assert_false(decode_heartbeat(id, body));
	g_assert_false(decode_heartbeat("", body));
	g_assert_false(decode_heartbeat("i-1", label));
	g_assert_true(decode_heartbeat("i-1", body));
	g_free(deep);
	g_free(id);
	g_free(body);
	g_free(label);
	g_free(extra);
}

/* ---- Lists of runs ------------------------------------------------------- */

#define TASK(n) "\"00000000000000a1.0.0." #n "\""

/*
 * Guards against an endpoint that is given up because of one row, and against a
 * row that is taken for another run or acknowledges ends that were not listed.
 */
static void
test_odd_rows(void)
{
	static const char body[] =
	    "{\"clock_ms\":5,\"born\":1,\"running\":["
	    "[" TASK(
		0) ",1,\"\",0],"
		   "[" TASK(
		       1) ",4294967297,\"\",0],"
			  "[" TASK(
			      2) ",-1,\"\",0],"
				 "[" TASK(
				     3) ",\"1\",\"\",0],"
					"[\"00000000000000a1.0.0.4294967296\","
					"1,\"\",0],"
					"[\"00000000000000a1.0.0.-1\",1,\"\",0]"
					","
					"[\"other\",1,\"\",0],[[[[]]]],7,null,{"
					"},"
					"[" TASK(
					    5) ",2,\"\",1e300,-1e300]],"
					       "\"ended\":["
					       "[1," TASK(
						   6) ",1,\"done\",\"\"],"
						      "[-1," TASK(
							  7) ",1,\"done\",\"\"]"
							     ","
							     "[9007199254740992"
							     "," TASK(
								 7) ",1,"
								    "\"done\","
								    "\"\"],"
								    "[2," TASK(
									7) ",1,"
									   "\"v"
									   "ani"
									   "she"
									   "d\""
									   ",\""
									   "\"]"
									   ","
									   "[3"
									   "," TASK(
									       8) ",1,\"failed\",\"\"]]}";
	struct gyp_fleet_answer a = {.end = GYP_FLEET_OK};
	const struct gyp_listed_run *run;
	const struct gyp_listed_end *end;

	a.running = g_array_new(FALSE, FALSE, sizeof(struct gyp_listed_run));
	a.ended = g_array_new(FALSE, FALSE, sizeof(struct gyp_listed_end));
	g_assert_true(gyp_pf_decode_answer(body, strlen(body), &a));
	g_assert_true(a.listed);
	g_assert_cmpuint(a.running->len, ==, 2);
	run = &g_array_index(a.running, struct gyp_listed_run, 1);
	g_assert_cmpuint(run->index, ==, 5);
	g_assert_cmpuint(run->run, ==, 2);
	g_assert_cmpuint(run->percent, ==, UINT32_MAX);
	g_assert_cmpuint(run->load, ==, 0);
	g_assert_cmpuint(a.ended->len, ==, 2);
	end = &g_array_index(a.ended, struct gyp_listed_end, 1);
	g_assert_cmpuint(end->number, ==, 3);
	g_assert_cmpuint(end->run.index, ==, 8);
	g_assert_cmpuint(a.unreadable_rows, ==, 13);
	g_array_free(a.running, TRUE);
	g_array_free(a.ended, TRUE);
}

/* Decodes an answer whose only run has that checkpoint, as it is in JSON. */
static void
decode_checkpoint(const char *checkpoint, struct gyp_fleet_answer *a)
{
	char *body = g_strdup_printf(
	    "{\"clock_ms\":5,\"born\":1,\"ended\":[],\"running\":[[\""
	    "00000000000000a1.0.0.0\",1,\"%s\",50]]}",
	    checkpoint);

	gyp_fleet_answer_init(a, 1);
	g_assert_true(gyp_pf_decode_answer(body, strlen(body), a));
	g_assert_true(a->listed);
	g_assert_cmpuint(a->running->len, ==, 1);
	g_free(body);
}

/* Guards against a run that resumes from a text that none made, as it is cut.
 */
static void
test_whole_checkpoints(void)
{
	static const gsize sizes[] = {0, 63, 64, 4000, GYP_CHECKPOINT_MAX};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *text = g_strnfill(sizes[i], 'c');
		struct gyp_fleet_call call = {.kind = GYP_FLEET_START};
		struct gyp_fleet_answer a;
		json_t *sent;
		char *body;

		decode_checkpoint(text, &a);
		g_assert_cmpuint(a.refused_checkpoints, ==, 0);
		call.checkpoint =
		    g_array_index(a.running, struct gyp_listed_run, 0)
			.checkpoint;
		body = gyp_pf_encode_call(&call);
		sent = json_loads(body, 0, NULL);
		g_assert_cmpstr(
		    json_string_value(json_object_get(sent, "checkpoint")), ==,
		    sizes[i] > 0 ? text : NULL);
		json_decref(sent);
		free(body);
		gyp_fleet_answer_clear(&a);
		g_free(text);
	}
}

/*
 * A checkpoint that can't be stored whole is refused and counted. Its run is
 * listed all the same, or it would be stopped as missing.
 */
static void
test_refused_checkpoints(void)
{
	char *texts[] = {
	    g_strnfill(GYP_CHECKPOINT_MAX + 1, 'c'), g_strdup("c\\u0000d")};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct gyp_fleet_answer a;

		decode_checkpoint(texts[i], &a);
		g_assert_cmpuint(a.refused_checkpoints, ==, 1);
		g_assert_cmpuint(a.unreadable_rows, ==, 0);
		g_assert_null(g_array_index(a.running, struct gyp_listed_run, 0)
				  .checkpoint);
		gyp_fleet_answer_clear(&a);
		g_free(texts[i]);
	}
}

/* Guards against a stop of another task: digits of ids may be capitals. */
static void
test_capital_ids(void)
{
	static const char task[] = "00aBCdef0000000F.1.2.3";
	static const char body[] =
	    "{\"clock_ms\":5,\"born\":1,\"ended\":[],\"running\":"
	    "[[\"00aBCdef0000000F.1.2.3\",1,\"\",0]]}";
	struct gyp_fleet_call call = {.kind = GYP_FLEET_STOP};
	const struct gyp_listed_run *run;
	struct gyp_fleet_answer a;
	json_t *sent;
	char *text;

	gyp_fleet_answer_init(&a, 1);
	g_assert_true(gyp_pf_decode_answer(body, strlen(body), &a));
	g_assert_cmpuint(a.running->len, ==, 1);
	run = &g_array_index(a.running, struct gyp_listed_run, 0);
	g_assert_cmphex(run->flow, ==, 0x00abcdef0000000fULL);
	call.flow = run->flow;
	call.id_capitals = run->id_capitals;
	call.repetition = run->repetition;
	call.step = run->step;
	call.index = run->index;
	text = gyp_pf_encode_call(&call);
	sent = json_loads(text, 0, NULL);
	g_assert_cmpstr(
	    json_string_value(json_object_get(sent, "task")), ==, task);
	json_decref(sent);
	free(text);
	gyp_fleet_answer_clear(&a);
}

/* Guards against a start without the text that it should carry. */
static void
test_unsendable_text(void)
{
	struct gyp_fleet_call call = {
	    .kind = GYP_FLEET_START, .checkpoint = (char *)"half\xc3"};

	g_assert_null(gyp_pf_encode_call(&call));
}

/* An answer with n ends and nothing running. */
static char *
answer_with_ends(uint32_t n)
{
	GString *body =
	    g_string_new("{\"clock_ms\":5,\"born\":1,\"running\":[],"
			 "\"ended\":[");
	uint32_t i;

	for (i = 0; i < n; i++)
		g_string_append_printf(body,
		    "%s[%u,\"00000000000000a1.0.0.%u\",1,\"done\",\"\"]",
		    i > 0 ? "," : "", i + 1, i);
	g_string_append(body, "]}");
	return g_string_free(body, FALSE);
}

/*
 * Guards against a task that runs again because its end comes after the most
 * that an endpoint lists at a time.
 */
static void
test_ends_in_parts(void)
{
	static const uint32_t counts[] = {0, 499, 500};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct gyp_fleet_answer a = {.end = GYP_FLEET_OK};
		char *body = answer_with_ends(counts[i]);

		a.running =
		    g_array_new(FALSE, FALSE, sizeof(struct gyp_listed_run));
		a.ended =
		    g_array_new(FALSE, FALSE, sizeof(struct gyp_listed_end));
		g_assert_true(gyp_pf_decode_answer(body, strlen(body), &a));
		g_assert_cmpuint(a.ended->len, ==, counts[i]);
		g_assert_cmpint(a.ends_complete, ==, counts[i] < 500);
		g_array_free(a.running, TRUE);
		g_array_free(a.ended, TRUE);
		g_free(body);
	}
}

/* ---- The provider's list --------------------------------------------------
 */

static struct gyp_pf_listing
new_listing(GHashTable *earlier)
{
	struct gyp_pf_listing l = {.earlier = earlier};

	l.ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l.workers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

static void
free_listing(struct gyp_pf_listing *l)
{
	g_hash_table_destroy(l->ids);
	g_hash_table_destroy(l->workers);
}

/* The number of ids, or -1 if the page can't be read. */
static int
decode_inventory(const char *body, char **next_token)
{
	struct gyp_pf_listing l = new_listing(NULL);
	int n = -1;

	if (gyp_pf_decode_inventory(body, strlen(body), &l, next_token)) {
		n = (int)g_hash_table_size(l.ids);
		g_assert_true(n == 0 || g_hash_table_contains(l.ids, "a"));
	}
	free_listing(&l);
	return n;
}

/* VMs without an endpoint have no id; the last page has no token. */
static void
test_inventory(void)
{
	char *token;

	g_assert_cmpint(
	    decode_inventory("{\"machines\":[{\"id\":\"a\",\"state\":\"up\"},"
			     "{\"id\":\"\"},{\"id\":null}],"
			     "\"next_token\":\"t 1\"}",
		&token),
	    ==, 1);
	g_assert_cmpstr(token, ==, "t 1");
	g_free(token);
	g_assert_cmpint(decode_inventory("{\"machines\":[]}", &token), ==, 0);
	g_assert_null(token);
	g_assert_cmpint(decode_inventory("{\"machines\":[{\"id\":\"a\"}],"
					 "\"next_token\":null}",
			    &token),
	    ==, 1);
	g_assert_null(token);
	g_assert_cmpint(
	    decode_inventory(
		"{\"machines\":[{\"id\":\"a\"}],\"next_token\":\"\"}", &token),
	    ==, 1);
	g_assert_null(token);
}

/* Guards against a page that is taken for complete and can't be read. */
static void
test_odd_inventory(void)
{
	static const char *const bodies[] = {"", "[]", "{}",
	    "{\"machines\":{}}", "{\"machines\":[{\"id\":\"a\"}",
	    "{\"machines\":[],\"next_token\":7}"};
	char *token;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		g_assert_cmpint(decode_inventory(bodies[i], &token), ==, -1);
		g_assert_null(token);
	}
}

/*
 * Guards against a list that counts for nothing as long as it has one row of
 * another writer: such a row names no endpoint, and the others hold.
 */
static void
test_odd_inventory_rows(void)
{
	static const char *const rows[] = {"{}", "7", "[]", "null",
	    "{\"id\":7}", "{\"id\":[\"b\"]}",
	    "{\"machine_id\":\"m-9\",\"state\":\"odd\"}",
	    "{\"machine_id\":7,\"id\":{}}"};
	char *long_id = g_strnfill(256, 'x');
	struct gyp_pf_listing l = new_listing(NULL);
	char *token, *body;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		body = g_strdup_printf(
		    "{\"machines\":[%s,{\"id\":\"a\"},%s]}", rows[i], rows[i]);
		g_assert_cmpint(decode_inventory(body, &token), ==, 1);
		g_free(body);
	}
	body =
	    g_strdup_printf("{\"machines\":[{\"id\":\"%s\"},{\"id\":\"a\"},{},"
			    "{\"id\":null}]}",
		long_id);
	g_assert_true(gyp_pf_decode_inventory(body, strlen(body), &l, &token));
	g_assert_cmpuint(g_hash_table_size(l.ids), ==, 1);
	g_assert_cmpuint(l.odd_rows, ==, 2);
	g_free(body);
	g_free(long_id);
	free_listing(&l);
}

/*
 * Guards against an endpoint that counts as gone while it runs, since the row
 * of its machine has become odd: it is still listed, in later lists too.
 */
static void
test_odd_row_of_known_machine(void)
{
	static const char *const pages[] = {
	    "{\"machines\":[{\"id\":\"a\",\"machine_id\":\"m-1\"},"
	    "{\"id\":\"b\",\"machine_id\":\"m-2\"}]}",
	    "{\"machines\":[{\"id\":7,\"machine_id\":\"m-1\"}]}",
	    "{\"machines\":[{\"machine_id\":\"m-1\"},"
	    "{\"machine_id\":\"m-2\"}]}",
	    "{\"machines\":[{\"machine_id\":\"m-1\",\"id\":null}]}"};
	static const guint ids[] = {2, 1, 1, 0};
	struct gyp_pf_listing l[G_N_ELEMENTS(pages)];
	char *token;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		l[i] = new_listing(i > 0 ? l[i - 1].workers : NULL);
		g_assert_true(gyp_pf_decode_inventory(
		    pages[i], strlen(pages[i]), &l[i], &token));
		g_assert_cmpuint(g_hash_table_size(l[i].ids), ==, ids[i]);
		g_assert_true(g_hash_table_contains(l[i].ids, "a") == (i < 3));
	}
	for (i = 0; i < G_N_ELEMENTS(pages); i++)
		free_listing(&l[i]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pf-json/departure", test_departure);
	g_test_add_func("/pf-json/odd-heartbeats", test_odd_heartbeats);
	g_test_add_func("/pf-json/odd-ids", test_odd_ids);
	g_test_add_func("/pf-json/large-heartbeats", test_large_heartbeats);
	g_test_add_func("/pf-json/odd-rows", test_odd_rows);
	g_test_add_func("/pf-json/whole-checkpoints", test_whole_checkpoints);
	g_test_add_func(
	    "/pf-json/refused-checkpoints", test_refused_checkpoints);
	g_test_add_func("/pf-json/capital-ids", test_capital_ids);
	g_test_add_func("/pf-json/unsendable-text", test_unsendable_text);
	g_test_add_func("/pf-json/ends-in-parts", test_ends_in_parts);
	g_test_add_func("/pf-json/inventory", test_inventory);
	g_test_add_func("/pf-json/odd-inventory", test_odd_inventory);
	g_test_add_func("/pf-json/odd-inventory-rows", test_odd_inventory_rows);
	g_test_add_func(
	    "/pf-json/odd-row-of-known-machine", test_odd_row_of_known_machine);
	return g_test_run();
}
