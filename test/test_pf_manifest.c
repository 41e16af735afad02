/* Manifests that are read in parts. */
#include <string.h>

#include <glib.h>

#include "msg.h"
#include "pf_manifest.h"

#define QUEUE(name, prefix)                                                    \
	"{\"name\":\"" name "\",\"host\":\"H\",\"path_prefix\":\"" prefix      \
	"\",\"timeout_ms\":1,\"backend\":\"p\"}"
#define POOLS "\"backends\":[{\"name\":\"p\"}]"

struct result {
	Gyp__CmdManifest *manifest; /* NULL if it is not valid */
	guint steps;
};

static struct result
read_in_parts(const char *text, size_t part)
{
	GBytes *bytes = g_bytes_new_static(text, strlen(text));
	struct gyp_pf_manifest_reader *r = gyp_pf_manifest_reader_new(bytes);
	struct result res = {NULL, 1};
	enum gyp_pf_reading reading;

	while ((reading = gyp_pf_manifest_reader_step(r, part)) ==
	       GYP_PF_READING_MORE)
		res.steps++;
	if (reading == GYP_PF_READING_DONE)
		res.manifest = gyp_pf_manifest_reader_take(r);
	else
		g_assert_nonnull(gyp_pf_manifest_reader_error(r));
	gyp_pf_manifest_reader_free(r);
	g_bytes_unref(bytes);
	return res;
}

/*
 * Guards against a leader that loses its lease while it reads a manifest of
 * thousands of queues: no part has more bytes than were asked for and one
 * queue, and the result does not depend on them.
 */
static void
test_large_manifest_is_read_in_parts(void)
{
	GString *s = g_string_new("{\"version\":7,\"routes\":[");
	struct result whole, parts;
	GBytes *a, *b;
	int i;

	for (i = 0; i < 1000; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"q%d\",\"host\":\"h\",\"path_prefix\":\"/%d/"
		    "\",\"timeout_ms\":1,\"backend\":\"p\"}",
		    i > 0 ? "," : "", i, i);
	g_string_append(s, "]," POOLS "}");
	whole = read_in_parts(s->str, s->len);
	parts = read_in_parts(s->str, 1000);
	g_assert_cmpuint(whole.manifest->n_queues, ==, 1000);
	g_assert_cmpuint(parts.steps, >=, s->len / (1000 + 100));
	a = gyp_message_pack(&whole.manifest->base);
	b = gyp_message_pack(&parts.manifest->base);
	g_assert_true(g_bytes_equal(a, b));
	g_bytes_unref(a);
	g_bytes_unref(b);
	gyp_message_free(whole.manifest);
	gyp_message_free(parts.manifest);
	g_string_free(s, TRUE);
}

/* queues: -1 if the manifest is not valid */
static void
check(guint row, const char *text, int queues)
{
	size_t part;

	for (part = 1; part <= 64; part *= 8) {
		struct result r = read_in_parts(text, part);
		int n = r.manifest != NULL ? (int)r.manifest->n_queues : -1;

		if (n != queues)
			g_error("row %u, parts of %zu bytes: %d queues: %s",
			    row, part, n, text);
		gyp_message_free(r.manifest);
	}
}

/*
 * Guards against a difference between parts and the whole: an invalid manifest
 * that is accepted, a valid one that is refused, or queues that get lost.
 */
static void
test_odd_documents(void)
{
	static const struct {
		const char *text;
		int queues;
	} rows[] = {{"{\"version\":1,\"routes\":[]," POOLS "}", 0},
	    {"{\"version\":1," POOLS ",\"routes\":[" QUEUE("a", "/a") "]}", 1},
	    {" { \"version\" : 1 , \"routes\" : [ " QUEUE(
		 "a", "/a") " , " QUEUE("b", "/b") " ] , " POOLS " } ",
		2},
	    /* Brackets, quotes and escapes in strings. */
	    {"{\"version\":1,\"routes\":[" QUEUE("]}\\\"[{", "/a") "," QUEUE(
		 "\\\\", "/b") "]," POOLS "}",
		2},
	    /* The name as a value, in an inner object, and escaped. */
	    {"{\"version\":1,\"x\":\"routes\",\"y\":{\"routes\":[1]},"
	     "\"routes\":[" QUEUE("a", "/a") "]," POOLS "}",
		1},
	    {"{\"version\":1,\"rout\\u0065s\":[" QUEUE("a", "/a") "]," POOLS
								  "}",
		1},
	    /* The last of two members of one name counts. */
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") "," QUEUE(
		 "b", "/b") "],\"routes\":[" QUEUE("c", "/c") "]," POOLS "}",
		1},
	    {"{\"version\":0,\"version\":1,\"routes\":[" QUEUE(
		 "a", "/a") "]," POOLS "}",
		1},
	    {"{\"version\":1,\"routes\":[1],\"routes\":[]," POOLS "}", -1},
	    /* Not valid as JSON. */
	    {"", -1}, {"[]", -1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a"), -1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") "]," POOLS, -1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") "]," POOLS "}}",
		-1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") ",]," POOLS "}",
		-1},
	    {"{\"version\":1,\"routes\":[," QUEUE("a", "/a") "]," POOLS "}",
		-1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a")
		    QUEUE("b", "/b") "]," POOLS "}",
		-1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") "}," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":[{\"name\":]}]," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":[{\"host\":\"\xff\"}]," POOLS "}", -1},
	    {"{\"version\":1,\"x\":\"routes\":[]," POOLS "}", -1},
	    /* Not valid as a manifest. */
	    {"{\"version\":1," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":{}," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":[1]," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":[[]]," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":[{}]," POOLS "}", -1},
	    {"{\"version\":0,\"routes\":[]," POOLS "}", -1},
	    {"{\"routes\":[]," POOLS "}", -1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") "]}", -1},
	    {"{\"version\":1,\"routes\":[" QUEUE(
		 "a", "/a") "],\"backends\":[{\"name\":\"q\"}]}",
		-1},
	    {"{\"version\":1,\"routes\":[" QUEUE("a", "/a") "," QUEUE(
		 "b", "/a") "]," POOLS "}",
		-1}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		check(i, rows[i].text, rows[i].queues);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pf-manifest/large-manifest-is-read-in-parts",
	    test_large_manifest_is_read_in_parts);
	g_test_add_func("/pf-manifest/odd-documents", test_odd_documents);
	return g_test_run();
}
