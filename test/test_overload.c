#include <string.h>

#include "api.h"
#include "httpd.h"
#include "raw_socket.h"
#include "timer.h"

/*
 * A refusal for lack of buffers must not claim an outcome that the entry cannot
 * know: an earlier request with the same key may have run.
 */

/* Bytes of a body that does not fit in the buffers. */
#define BODY_BYTES (GYP_HTTP_BUFFERED_BYTES_MAX + 1)

/* Requests that reach the owner; all should be refused before. */
struct counting_owner {
	struct gyp_httpd_owner owner;
	guint requests;
};

struct server {
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_httpd *httpd;
	uint16_t port;
};

struct overload_case {
	const char *target;
	const char *headers;
	const char *outcome; /* NULL for none */
};

static void
server_init(struct server *s, struct gyp_httpd_owner *owner)
{
	char address[32];

	s->loop = ev_loop_new(EVFLAG_AUTO);
	s->timers = gyp_timers_new(s->loop);
	s->port = raw_free_port();
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", s->port);
	s->httpd = gyp_httpd_new(s->loop, s->timers, owner, address, NULL);
	g_assert_nonnull(s->httpd);
	gyp_httpd_set_body_max(s->httpd, 2 * (size_t)BODY_BYTES);
}

static void
server_clear(struct server *s)
{
	g_assert_cmpuint(gyp_httpd_buffered_bytes(s->httpd), ==, 0);
	gyp_httpd_free(s->httpd);
	gyp_timers_free(s->timers);
	ev_loop_destroy(s->loop);
}

/* Sends a request whose body fills the buffers; returns the answer. */
static char *
send_large(const struct server *s, const struct overload_case *c)
{
	GString *request = g_string_new(NULL);
	char *body = g_malloc0(BODY_BYTES);
	char *answer;

	g_string_printf(request,
	    "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s"
	    "Content-Length: %d\r\n\r\n",
	    c->target, c->headers, BODY_BYTES);
	g_string_append_len(request, body, BODY_BYTES);
	answer = raw_request(s->port, request->str, request->len, FALSE);
	g_free(body);
	g_string_free(request, TRUE);
	return answer;
}

static void
check_refusal(const struct server *s, const struct overload_case *c)
{
	char *answer = send_large(s, c);
	char *header = g_strdup_printf("Gyp-Outcome: %s\r\n", c->outcome);
	char *field = g_strdup_printf("\"outcome\":\"%s\"", c->outcome);

	g_test_message("%s %s", c->target, c->headers);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503"));
	g_assert_nonnull(strstr(answer, "Retry-After: "));
	if (c->outcome != NULL) {
		g_assert_nonnull(strstr(answer, header));
		g_assert_nonnull(strstr(answer, field));
	} else {
		g_assert_null(strstr(answer, "Gyp-Outcome"));
		g_assert_null(strstr(answer, "not_run"));
		g_assert_nonnull(strstr(answer, "{\"error\":"));
	}
	g_free(header);
	g_free(field);
	g_free(answer);
}

/* ---- The entry's API ---------------------------------------------------- */

static void
send_to_api(void *arg)
{
	static const struct overload_case cases[] = {
	    {"/v1/jobs", "Idempotency-Key: k\r\n", "unknown"},
	    {"/v1/jobs?wait_ms=1000", "Idempotency-Key: k\r\n", "unknown"},
	    /* Without a key it is no repetition, and it was not passed on. */
	    {"/v1/jobs", "", "not_run"},
	    {"/v1/endpoints", "", NULL},
	    {"/v1/attempts/1.0.1/finished", "", NULL},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		check_refusal(arg, &cases[i]);
}

static void
on_flush(void *arg)
{
	(void)arg;
}

/*
 * Guards against an entry that says `not_run` of a request that may have run
 * when it was sent before, and against refusals that the metrics leave out.
 */
static void
test_api(void)
{
	static const char *const replicas[] = {"127.0.0.1:1", NULL};
	struct gyp_entry_config cfg = {.id = 1,
	    .replicas = replicas,
	    .keepalive_ms = 300,
	    .silence_ms = 1200};
	struct gyp_entry_core *core = gyp_entry_new(&cfg);
	struct gyp_counters *counters = gyp_counters_new();
	struct gyp_api *api = gyp_api_new(core, counters, on_flush, NULL);
	struct server s;
	char *metrics;

	server_init(&s, gyp_api_httpd_owner(api));
	raw_run_thread(s.loop, send_to_api, &s);
	g_assert_cmpuint(gyp_api_pending_requests(api), ==, 0);
	metrics = gyp_counters_text(counters);
	g_assert_nonnull(
	    strstr(metrics, "gyp_refused_total{reason=\"buffers\"} 5"));
	g_free(metrics);
	server_clear(&s);
	gyp_api_free(api);
	gyp_entry_free(core);
	gyp_counters_free(counters);
}

/* ---- Other servers ------------------------------------------------------ */

static void
on_request(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	((struct counting_owner *)owner)->requests++;
	gyp_http_reply(req, 200, "text/plain", "", 0);
}

static void
send_to_other(void *arg)
{
	static const struct overload_case c = {
	    "/run", "Idempotency-Key: k\r\n", NULL};

	check_refusal(arg, &c);
}

/*
 * Guards against a default refusal that claims an outcome, from a server whose
 * owner has no answer of its own.
 */
static void
test_no_claim(void)
{
	static const struct gyp_httpd_owner_ops ops = {.request = on_request};
	struct counting_owner owner = {.owner = {.ops = &ops}};
	struct server s;

	server_init(&s, &owner.owner);
	raw_run_thread(s.loop, send_to_other, &s);
	g_assert_cmpuint(owner.requests, ==, 0);
	server_clear(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/overload/api", test_api);
	g_test_add_func("/overload/no-claim", test_no_claim);
	return g_test_run();
}
