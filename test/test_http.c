#include <sys/resource.h>
#include <sys/socket.h>

#include <string.h>
#include <unistd.h>

#include "api.h"
#include "exchange.h"
#include "httpc.h"
#include "httpd.h"
#include "msg.h"
#include "raw_socket.h"
#include "timer.h"

struct fixture {
	struct ev_loop *loop;
	struct gyp_timers *timers;
};

static void
set_up(struct fixture *f)
{
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = gyp_timers_new(f->loop);
}

static void
tear_down(struct fixture *f)
{
	gyp_timers_free(f->timers);
	ev_loop_destroy(f->loop);
}

/* ---- Client: misbehaving servers --------------------------------------- */

struct server {
	int listen_fd;
	uint16_t port;
	const char *answer;
	size_t len;        /* bytes of the answer that are sent */
	uint32_t answered; /* requests answered per connection */
	bool closes;       /* the connection, after the first answer */
	gint requests;
	GThread *thread;
};

static void
serve_connection(struct server *s, int fd)
{
	uint32_t n = 0;

	while (raw_read_request(fd)) {
		g_atomic_int_inc(&s->requests);
		if (n++ >= s->answered)
			break;
		raw_send(fd, s->answer, s->len);
		if (s->closes || s->len < strlen(s->answer))
			break;
	}
	close(fd);
}

static gpointer
serve(gpointer p)
{
	struct server *s = p;
	int fd;

	while ((fd = accept(s->listen_fd, NULL, NULL)) >= 0)
		serve_connection(s, fd);
	return NULL;
}

static void
start_server(struct server *s)
{
	s->listen_fd = raw_listen(&s->port);
	s->thread = g_thread_new("server", serve, s);
}

static void
stop_server(struct server *s)
{
	shutdown(s->listen_fd, SHUT_RDWR);
	g_thread_join(s->thread);
	close(s->listen_fd);
}

/* A copy of the client's result. */
struct result {
	struct ev_loop *loop;
	enum gyp_httpc_end end;
	uint32_t status;
	bool body_dropped;
	char *body;
};

static void
on_result(void *arg, const struct gyp_httpc_result *res)
{
	struct result *result = arg;

	result->end = res->end;
	result->status = res->status;
	result->body_dropped = res->body_dropped;
	g_free(result->body);
	result->body = g_strndup(
	    res->body != NULL ? (const char *)res->body : "", res->len);
	ev_break(result->loop, EVBREAK_ALL);
}

static void
post_request(struct fixture *f, struct gyp_httpc *client,
    const struct server *s, struct gyp_httpc_request req, struct result *result)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/start", s->port);

	req.method = "POST";
	req.url = url;
	req.body = "work";
	req.len = 4;
	req.response_max = 64;
	req.timeout_ms = 20000;
	req.done = on_result;
	req.arg = result;
	result->loop = f->loop;
	gyp_httpc_send(client, &req);
	ev_run(f->loop, 0);
	g_free(url);
}

static void
post(struct fixture *f, struct gyp_httpc *client, const struct server *s,
    uint64_t send_by, struct result *result)
{
	struct gyp_httpc_request req = {.send_by = send_by};

	post_request(f, client, s, req, result);
}

#define COMPLETE "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
#define CHUNKED                                                                \
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"                \
	"3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"

/* A request is not resent when the server closes a kept-alive connection. */
static void
test_sent_once(void)
{
	struct fixture f;
	struct server s = {
	    .answer = COMPLETE, .len = strlen(COMPLETE), .answered = 1};
	struct result result = {.body = NULL};
	struct gyp_httpc *client;
	int i;

	set_up(&f);
	start_server(&s);
	client = gyp_httpc_new(f.loop, f.timers);
	for (i = 1; i <= 5; i++) {
		post(&f, client, &s, 0, &result);
		g_assert_cmpint(result.end, ==, GYP_HTTPC_ANSWERED);
		g_assert_cmpint(g_atomic_int_get(&s.requests), ==, i);
	}
	s.answered = 0;
	for (; i <= 10; i++) {
		post(&f, client, &s, 0, &result);
		g_assert_cmpint(result.end, ==, GYP_HTTPC_LOST);
		g_assert_cmpint(g_atomic_int_get(&s.requests), ==, i);
	}
	g_free(result.body);
	gyp_httpc_free(client);
	stop_server(&s);
	tear_down(&f);
}

/*
 * Guards against a start that the client sends again by itself: the server
 * closed the kept connection after it had read the start. The leader counts one
 * start, and the other may be carried out much later.
 */
static void
test_sent_once_over_kept_connection(void)
{
	struct fixture f;
	struct server s = {
	    .answer = COMPLETE, .len = strlen(COMPLETE), .answered = 1};
	struct gyp_httpc_request req = {.reuse = true, .once = true};
	struct result result = {.body = NULL};
	struct gyp_httpc *client;
	int i;

	set_up(&f);
	start_server(&s);
	client = gyp_httpc_new(f.loop, f.timers);
	for (i = 1; i <= 9; i += 2) {
		post_request(&f, client, &s, req, &result);
		g_assert_cmpint(result.end, ==, GYP_HTTPC_ANSWERED);
		g_assert_cmpint(g_atomic_int_get(&s.requests), ==, i);
		post_request(&f, client, &s, req, &result);
		g_assert_cmpint(result.end, ==, GYP_HTTPC_LOST);
		g_assert_cmpint(g_atomic_int_get(&s.requests), ==, i + 1);
	}
	g_free(result.body);
	gyp_httpc_free(client);
	stop_server(&s);
	tear_down(&f);
}

/* A request is not sent when send_by passes before the connection is open. */
static void
test_not_sent_late(void)
{
	struct fixture f;
	struct server s = {
	    .answer = COMPLETE, .len = strlen(COMPLETE), .answered = 1};
	struct result result = {.body = NULL};
	struct gyp_httpc *client;

	set_up(&f);
	start_server(&s);
	client = gyp_httpc_new(f.loop, f.timers);
	post(&f, client, &s, gyp_clock_ms(), &result);
	g_assert_cmpint(result.end, ==, GYP_HTTPC_NOT_SENT);
	g_assert_cmpint(g_atomic_int_get(&s.requests), ==, 0);
	g_free(result.body);
	gyp_httpc_free(client);
	stop_server(&s);
	tear_down(&f);
}

/*
 * Truncates an answer after every byte. It must be lost when it is shorter than
 * complete_len.
 */
static void
check_truncated(const char *answer, size_t complete_len)
{
	struct fixture f;
	struct server s = {.answer = answer, .answered = 1};
	struct result result = {.body = NULL};
	struct gyp_httpc *client;

	set_up(&f);
	start_server(&s);
	client = gyp_httpc_new(f.loop, f.timers);
	for (s.len = 0; s.len <= strlen(answer); s.len++) {
		post(&f, client, &s, 0, &result);
		if (s.len < complete_len)
			g_assert_cmpint(result.end, ==, GYP_HTTPC_LOST);
		else if (s.len == strlen(answer))
			g_assert_cmpint(result.end, ==, GYP_HTTPC_ANSWERED);
		if (result.end == GYP_HTTPC_ANSWERED)
			g_assert_cmpstr(result.body, ==, "whole");
	}
	g_free(result.body);
	gyp_httpc_free(client);
	stop_server(&s);
	tear_down(&f);
}

static void
test_truncated_responses(void)
{
	check_truncated(COMPLETE, strlen(COMPLETE));
	/*
	 * libcurl may take a chunked body as complete from the "0" of the last
	 * chunk on; shorter answers must be lost.
	 */
	check_truncated(CHUNKED, strlen(CHUNKED) - strlen("0\r\n\r\n") + 1);
}

struct response_case {
	const char *answer;
	enum gyp_httpc_end end;
	bool body_dropped;
};

static const struct response_case response_cases[] = {
    /* No declared length. */
    {"HTTP/1.1 200 OK\r\n\r\nwhole", GYP_HTTPC_LOST, false},
    {"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nwhole", GYP_HTTPC_LOST,
	false},
    /* The length of an interim response does not apply to the final one. */
    {"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
     "HTTP/1.1 200 OK\r\n\r\nwhole",
	GYP_HTTPC_LOST, false},
    {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole", GYP_HTTPC_LOST,
	false},
    {"nonsense\r\n\r\n", GYP_HTTPC_LOST, false},
    /* Larger than response_max: 70 bytes. */
    {"HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n"
     "0123456789012345678901234567890123456789012345678901234567890123456789",
	GYP_HTTPC_ANSWERED, true},
    /* A second answer to one request is ignored. */
    {COMPLETE "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
	GYP_HTTPC_ANSWERED, false},
};

static void
test_malformed_responses(void)
{
	struct fixture f;
	struct gyp_httpc *client;
	size_t i;

	set_up(&f);
	client = gyp_httpc_new(f.loop, f.timers);
	for (i = 0; i < G_N_ELEMENTS(response_cases); i++) {
		const struct response_case *c = &response_cases[i];
		struct server s = {
		    .answer = c->answer, .answered = 1, .closes = true};
		struct result result = {.body = NULL};

		s.len = strlen(c->answer);
		start_server(&s);
		post(&f, client, &s, 0, &result);
		g_test_message("case %zu", i);
		g_assert_cmpint(result.end, ==, c->end);
		g_assert_cmpint(result.body_dropped, ==, c->body_dropped);
		g_assert_true(!c->body_dropped || result.body[0] == '\0');
		g_free(result.body);
		stop_server(&s);
	}
	gyp_httpc_free(client);
	tear_down(&f);
}

/* ---- Server: misbehaving callers --------------------------------------- */

struct api_fixture {
	struct fixture base;
	struct gyp_entry_core *core;
	struct gyp_counters *counters;
	struct gyp_api *api;
	struct gyp_httpd *httpd;
	uint16_t port;
};

static void
on_flush(void *arg)
{
	struct api_fixture *f = arg;
	struct gyp_answer a;
	const char *address;
	GBytes *packed;

	while (gyp_entry_pop_frame(f->core, &address, &packed))
		g_bytes_unref(packed);
	while (gyp_entry_pop_answer(f->core, &a))
		gyp_api_handle_answer(f->api, &a);
}

static void
set_up_api(struct api_fixture *f)
{
	static const char *const replicas[] = {"127.0.0.1:1", NULL};
	struct gyp_entry_config cfg = {.id = 1,
	    .replicas = replicas,
	    .keepalive_ms = 300,
	    .silence_ms = 1200};
	char address[32];

	set_up(&f->base);
	f->core = gyp_entry_new(&cfg);
	f->counters = gyp_counters_new();
	f->api = gyp_api_new(f->core, f->counters, on_flush, f);
	f->port = raw_free_port();
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", f->port);
	f->httpd = gyp_httpd_new(f->base.loop, f->base.timers,
	    gyp_api_httpd_owner(f->api), address, NULL);
	g_assert_nonnull(f->httpd);
}

static void
tear_down_api(struct api_fixture *f)
{
	gyp_httpd_free(f->httpd);
	gyp_api_free(f->api);
	gyp_entry_free(f->core);
	gyp_counters_free(f->counters);
	tear_down(&f->base);
}

#define HEALTH "GET /v1/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
#define POST(path, length)                                                     \
	"POST " path " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"           \
	"Content-Length: " length "\r\n\r\n"

struct request_case {
	const char *request;
	const char *status; /* start of the answer, "" for none */
};

static const struct request_case request_cases[] = {
    {HEALTH, "HTTP/1.1 200"},
    {"", ""},
    {"GE", ""},
    {"GET /v1/hea", ""},
    {POST("/v1/jobs", "100") "{\"kind\":", ""},
    {POST("/v1/jobs", "-1"), "HTTP/1.1 400"},
    {POST("/v1/jobs", "4") "{\"a\"", "HTTP/1.1 400"},
    {POST("/v1/jobs", "2") "[]", "HTTP/1.1 400"},
    {POST("/v1/jobs", "9") "{\"x\":\"y\"}", "HTTP/1.1 400"},
    {POST("/v1/jobs", "10") "{\"kind\":1}", "HTTP/1.1 400"},
    {POST("/v1/jobs", "14") "{\"kind\":\"nil\"}", "HTTP/1.1 400"},
    {POST("/v1/jobs", "12") "{\"tasks\":-1}", "HTTP/1.1 400"},
    {POST("/v1/jobs?wait_ms=-4", "2") "{}", "HTTP/1.1 400"},
    {POST("/v1/endpoints", "2") "{}", "HTTP/1.1 400"},
    {POST("/v1/endpoints/zz/heartbeat", "2") "{}", "HTTP/1.1 404"},
    {POST("/v1/endpoints/7/heartbeat", "2") "{}", "HTTP/1.1 400"},
    {POST("/v1/endpoints/7/heartbeat",
	 "54") "{\"incarnation\":\"1\",\"clock_ms\":1,\"running\":[\"x\",\"1."
	       "2\"]}",
	"HTTP/1.1 400"},
    {POST("/v1/attempts/1.2/finished", "0"), "HTTP/1.1 400"},
    {POST("/v1/nothing", "0"), "HTTP/1.1 404"},
    {POST("/", "0"), "HTTP/1.1 404"},
    {"PUT /v1/jobs HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
     "Content-Length: 0\r\n\r\n",
	"HTTP/1.1 405"},
    {"DELETE /v1/keys/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
	"HTTP/1.1 400"},
    {"\x16\x03\x01\x02\x7f\x01\xff\r\n\r\n", ""},
};

static void
check_request(uint16_t port, const struct request_case *c)
{
	char *answer = raw_request(port, c->request, strlen(c->request), TRUE);

	g_test_message("%s", c->request);
	/* libmicrohttpd answers malformed requests with 4xx, or closes. */
	if (c->status[0] != '\0' || answer[0] == '\0')
		g_assert_true(g_str_has_prefix(answer, c->status));
	else
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 4"));
	g_free(answer);
	answer = raw_request(port, HEALTH, strlen(HEALTH), FALSE);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	g_free(answer);
}

static void
send_bad_requests(void *arg)
{
	const struct api_fixture *f = arg;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(request_cases); i++)
		check_request(f->port, &request_cases[i]);
}

static void
send_too_large(void *arg)
{
	const struct api_fixture *f = arg;
	GString *req = g_string_new(NULL);
	char *answer;

	g_string_printf(req, POST("/v1/jobs", "%d"), GYP_HTTP_BODY_MAX + 1);
	while (req->len < GYP_HTTP_BODY_MAX * 2)
		g_string_append_c(req, 'x');
	answer = raw_request(f->port, req->str, req->len, FALSE);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 413"));
	g_free(answer);
	g_string_assign(req, "GET /v1/health HTTP/1.1\r\nHost: x\r\nX: ");
	while (req->len < 64 * 1024)
		g_string_append_c(req, 'x');
	answer = raw_request(f->port, req->str, req->len, TRUE);
	g_assert_true(
	    answer[0] == '\0' || g_str_has_prefix(answer, "HTTP/1.1 4"));
	g_free(answer);
	g_string_free(req, TRUE);
}

static void
send_random(void *arg)
{
	static const guint8 end[] = {'\r', '\n', '\r', '\n'};
	const struct api_fixture *f = arg;
	GRand *rand = g_rand_new_with_seed(7);
	int i, k;

	for (i = 0; i < 100; i++) {
		guint8 bytes[512];
		char *answer;

		for (k = 0; k < (int)sizeof(bytes); k++)
			bytes[k] = (guint8)g_rand_int(rand);
		/* Ends the headers, so that the server does not wait. */
		memcpy(bytes + sizeof(bytes) - sizeof(end), end, sizeof(end));
		answer = raw_request(f->port, bytes, sizeof(bytes), TRUE);
		g_assert_false(g_str_has_prefix(answer, "HTTP/1.1 2"));
		g_free(answer);
	}
	g_rand_free(rand);
	check_request(f->port, &request_cases[0]);
}

/* Sends a byte every 20 ms until the server closes the connection. */
static void
send_slowly(void *arg)
{
	const struct api_fixture *f = arg;
	int fd = raw_connect(f->port);

	while (raw_send(fd, "G", 1))
		g_usleep(20000);
	close(fd);
	check_request(f->port, &request_cases[0]);
}

#define HALF_OPEN_COUNT 1500

static void
hold_half_open(void *arg)
{
	const struct api_fixture *f = arg;
	int fds[HALF_OPEN_COUNT], i;

	for (i = 0; i < HALF_OPEN_COUNT; i++) {
		fds[i] = raw_connect(f->port);
		raw_send(fds[i], "GET /v1/health HTTP/1.1\r\nHo", 27);
	}
	for (i = 0; i < 10; i++)
		check_request(f->port, &request_cases[0]);
	for (i = 0; i < HALF_OPEN_COUNT; i++)
		close(fds[i]);
	check_request(f->port, &request_cases[0]);
}

static void
test_bad_requests(void)
{
	struct api_fixture f;

	set_up_api(&f);
	gyp_httpd_set_timeouts(f.httpd, 1000, 60000);
	raw_run_thread(f.base.loop, send_bad_requests, &f);
	raw_run_thread(f.base.loop, send_too_large, &f);
	raw_run_thread(f.base.loop, send_random, &f);
	g_assert_cmpuint(gyp_httpd_buffered_bytes(f.httpd), ==, 0);
	tear_down_api(&f);
}

static void
test_slow_sender(void)
{
	struct api_fixture f;

	set_up_api(&f);
	gyp_httpd_set_timeouts(f.httpd, 300, 60000);
	raw_run_thread(f.base.loop, send_slowly, &f);
	tear_down_api(&f);
}

static void
test_half_open(void)
{
	struct api_fixture f;
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = MIN(limit.rlim_max, 8192);
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	set_up_api(&f);
	raw_run_thread(f.base.loop, hold_half_open, &f);
	tear_down_api(&f);
}

/* ---- Drain ------------------------------------------------------------- */

static void
send_while_draining(void *arg)
{
	const struct api_fixture *f = arg;
	static const struct {
		const char *request;
		const char *outcome; /* NULL for none */
	} cases[] = {
	    {POST("/v1/jobs", "2") "{}", "Gyp-Outcome: not_run"},
	    /* An earlier request with this key may have run. */
	    {"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
	     "Content-Length: 2\r\n\r\n{}",
		"Gyp-Outcome: unknown"},
	    {POST("/v1/endpoints", "2") "{}", NULL},
	};
	char *answer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *outcome =
		    cases[i].outcome != NULL ? cases[i].outcome : "Gyp-Outcome";

		answer = raw_request(
		    f->port, cases[i].request, strlen(cases[i].request), FALSE);
		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503"));
		g_assert_cmpint(strstr(answer, outcome) != NULL, ==,
		    cases[i].outcome != NULL);
		g_free(answer);
	}
	answer = raw_request(f->port, HEALTH, strlen(HEALTH), FALSE);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503"));
	g_assert_nonnull(strstr(answer, "draining"));
	g_free(answer);
}

static void
test_draining(void)
{
	struct api_fixture f;

	set_up_api(&f);
	gyp_api_drain(f.api);
	raw_run_thread(f.base.loop, send_while_draining, &f);
	tear_down_api(&f);
}

/* ---- Server: stop with pending requests -------------------------------- */

/* An owner that answers no request and stops the loop at the first one. */
struct silent_owner {
	struct gyp_httpd_owner owner;
	struct ev_loop *loop;
};

static void
on_silent_request(struct gyp_httpd_owner *owner, struct gyp_http_request *req)
{
	(void)req;
	ev_break(((struct silent_owner *)owner)->loop, EVBREAK_ALL);
}

static gpointer
send_to_silent_owner(gpointer p)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

	g_free(raw_request(*(uint16_t *)p, text, strlen(text), FALSE));
	return NULL;
}

/* gyp_httpd_free() must not abort while a request awaits its answer. */
static void
test_stop_while_waiting(void)
{
	static const struct gyp_httpd_owner_ops ops = {
	    .request = on_silent_request};
	struct fixture f;
	struct silent_owner silent_owner = {.owner.ops = &ops};
	struct gyp_error err = {.code = GYP_OK};
	uint16_t port = raw_free_port();
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	struct gyp_httpd *httpd;
	GThread *thread;

	set_up(&f);
	silent_owner.loop = f.loop;
	httpd =
	    gyp_httpd_new(f.loop, f.timers, &silent_owner.owner, address, &err);
	g_assert_nonnull(httpd);
	thread = g_thread_new("caller", send_to_silent_owner, &port);
	ev_run(f.loop, 0);
	gyp_httpd_free(httpd);
	g_thread_join(thread);
	g_free(address);
	tear_down(&f);
}

/* ---- Client: stop with an open exchange -------------------------------- */

static void
on_late_answer(void *arg, uint64_t id, const struct gyp_exchange_result *res)
{
	(void)arg;
	(void)id;
	(void)res;
	g_assert_not_reached();
}

/* An open exchange is freed with the client; its callback is not called. */
static void
test_stop_with_open_exchange(void)
{
	struct fixture f;
	struct gyp_httpc *client;
	struct gyp_exchanges *xs;
	struct gyp_exchange x = {.id = 1};
	Gyp__Attempt attempt = GYP__ATTEMPT__INIT;
	Gyp__Order order = GYP__ORDER__INIT;
	uint16_t port;
	int fd = raw_listen(&port);

	set_up(&f);
	client = gyp_httpc_new(f.loop, f.timers);
	xs = gyp_exchanges_new(client, on_late_answer, NULL);
	order.type = GYP__ORDER_TYPE__ORDER_STOP;
	order.attempt = &attempt;
	order.address = g_strdup_printf("127.0.0.1:%u", port);
	x.order = gyp_message_copy(&order.base);
	gyp_exchanges_run(xs, &x);
	ev_run(f.loop, EVRUN_NOWAIT);
	gyp_httpc_free(client);
	gyp_exchanges_free(xs);
	g_free(order.address);
	close(fd);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/sent-once", test_sent_once);
	g_test_add_func("/http/sent-once-over-kept-connection",
	    test_sent_once_over_kept_connection);
	g_test_add_func("/http/not-sent-late", test_not_sent_late);
	g_test_add_func("/http/truncated-responses", test_truncated_responses);
	g_test_add_func("/http/malformed-responses", test_malformed_responses);
	g_test_add_func("/http/bad-requests", test_bad_requests);
	g_test_add_func("/http/slow-sender", test_slow_sender);
	g_test_add_func("/http/half-open", test_half_open);
	g_test_add_func("/http/draining", test_draining);
	g_test_add_func("/http/stop-while-waiting", test_stop_while_waiting);
	g_test_add_func(
	    "/http/stop-with-open-exchange", test_stop_with_open_exchange);
	return g_test_run();
}
