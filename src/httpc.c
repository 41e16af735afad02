#include <string.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

#include "buf.h"
#include "httpc.h"
#include "timer.h"

/* TCP keepalive, in seconds: idle time before probing, and probe interval. */
#define KEEPALIVE_IDLE_S     10
#define KEEPALIVE_INTERVAL_S 5

/* Most connections kept for reuse, and most open to one address. */
#define CACHED_CONNECTIONS_MAX 2000L
#define HOST_CONNECTIONS_MAX   24L

/* Most curl handles kept for reuse. */
#define IDLE_HANDLES_MAX 256

struct gyp_httpc {
	struct ev_loop *loop;
	struct gyp_timers *timers;
	CURLM *multi;
	struct gyp_timer *timeout;
	GPtrArray *exchanges;    /* struct exchange */
	GPtrArray *idle_handles; /* CURL *, options set for reuse */
};

/* The event watcher of one of curl's sockets. */
struct watcher {
	struct gyp_httpc *client;
	ev_io io;
	bool active;
};

struct exchange {
	struct gyp_httpc *client;
	CURL *easy;
	struct curl_slist *headers;
	struct gyp_buf request;
	struct gyp_buf body;
	size_t response_max;
	bool body_dropped;
	bool framed; /* the response's length is declared */
	uint64_t send_by;
	bool once;
	bool sent; /* the request was sent, or a part of it may have been */
	char state[32];
	bool reuse;
	gyp_httpc_fn done;
	void *arg;
	void (*free_arg)(void *arg); /* or NULL */
};

static void
free_exchange(gpointer p)
{
	struct exchange *x = p;

	curl_multi_remove_handle(x->client->multi, x->easy);
	if (x->reuse && x->client->idle_handles->len < IDLE_HANDLES_MAX)
		g_ptr_array_add(x->client->idle_handles, x->easy);
	else
		curl_easy_cleanup(x->easy);
	curl_slist_free_all(x->headers);
	gyp_buf_clear(&x->request);
	gyp_buf_clear(&x->body);
	if (x->free_arg != NULL)
		x->free_arg(x->arg);
	g_free(x);
}

/* ---- Completion -------------------------------------------------------- */

static enum gyp_httpc_end
classify(const struct exchange *x, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_OK)
		return x->framed ? GYP_HTTPC_ANSWERED : GYP_HTTPC_LOST;
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (sent == 0 && !(x->once && x->sent) &&
	    (code == CURLE_COULDNT_CONNECT ||
		code == CURLE_OPERATION_TIMEDOUT ||
		code == CURLE_ABORTED_BY_CALLBACK))
		return GYP_HTTPC_NOT_SENT;
	return GYP_HTTPC_LOST;
}

static void
finish_exchange(struct exchange *x, CURLcode code)
{
	struct gyp_httpc_result res = {.end = classify(x, code)};
	const char *type = NULL;
	long status = 0;

	curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(x->easy, CURLINFO_CONTENT_TYPE, &type);
	res.status = (uint32_t)status;
	res.content_type = type != NULL ? type : "";
	res.state = x->state;
	res.body = x->body.data;
	res.len = x->body.len;
	res.body_dropped = x->body_dropped;
	res.reason = code == CURLE_OK ? "" : curl_easy_strerror(code);
	x->done(x->arg, &res);
	g_ptr_array_remove_fast(x->client->exchanges, x);
}

static void
finish_completed(struct gyp_httpc *client)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left)) != NULL) {
		struct exchange *x;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
		finish_exchange(x, code);
	}
}

/* ---- Event loop -------------------------------------------------------- */

static void
on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct watcher *watcher = w->data;
	struct gyp_httpc *client = watcher->client;
	int running;
	int mask = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		   (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);

	(void)loop;
	curl_multi_socket_action(client->multi, w->fd, mask, &running);
	finish_completed(client);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *assigned)
{
	struct gyp_httpc *client = user;
	struct watcher *watcher = assigned;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (watcher == NULL) {
		watcher = g_new0(struct watcher, 1);
		watcher->client = client;
		ev_init(&watcher->io, on_io);
		watcher->io.data = watcher;
		curl_multi_assign(client->multi, fd, watcher);
	}
	if (watcher->active)
		ev_io_stop(client->loop, &watcher->io);
	watcher->active = false;
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(client->multi, fd, NULL);
		g_free(watcher);
		return 0;
	}
	ev_io_set(&watcher->io, fd, events);
	ev_io_start(client->loop, &watcher->io);
	watcher->active = true;
	return 0;
}

static void
on_timeout(void *arg, uint64_t now)
{
	struct gyp_httpc *client = arg;
	int running;

	(void)now;
	client->timeout = NULL;
	curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed(client);
}

/* Called by curl to set its only timer, or to remove it (-1). */
static int
set_curl_timer(CURLM *multi, long timeout_ms, void *user)
{
	struct gyp_httpc *client = user;

	(void)multi;
	gyp_timer_cancel(client->timers, client->timeout);
	client->timeout = NULL;
	if (timeout_ms >= 0)
		client->timeout = gyp_timer_once(
		    client->timers, (uint32_t)timeout_ms, on_timeout, client);
	return 0;
}

/* ---- Responses --------------------------------------------------------- */

static size_t
on_body(char *data, size_t size, size_t n, void *user)
{
	struct exchange *x = user;
	size_t len = size * n;

	if (x->body.len + len > x->response_max) {
		x->body_dropped = true;
		gyp_buf_clear(&x->body);
	}
	if (!x->body_dropped)
		gyp_buf_append(&x->body, data, len);
	return len;
}

static bool
header_is(const char *line, size_t len, const char *name)
{
	size_t n = strlen(name);

	return len > n && line[n] == ':' &&
	       g_ascii_strncasecmp(line, name, n) == 0;
}

static size_t
on_header(char *line, size_t size, size_t n, void *user)
{
	struct exchange *x = user;
	size_t len = size * n;

	/* The headers of an interim response do not apply to the final one. */
	if (len > 5 && memcmp(line, "HTTP/", 5) == 0) {
		x->framed = false;
		x->state[0] = '\0';
	}
	if (header_is(line, len, "Content-Length") ||
	    header_is(line, len, "Transfer-Encoding"))
		x->framed = true;
	if (header_is(line, len, "Gyp-State")) {
		char *value = g_strndup(line + 10, len - 10);

		g_strlcpy(x->state, g_strstrip(value), sizeof(x->state));
		g_free(value);
	}
	return len;
}

/* ---- Requests ---------------------------------------------------------- */

/*
 * Called when the connection is open, before any byte is sent. Aborts a request
 * whose send_by has passed, and one that must not be sent again: libcurl does
 * that when a kept connection ends without an answer.
 */
static int
on_prereq(void *user, char *ip, char *local_ip, int port, int local_port)
{
	struct exchange *x = user;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (x->send_by != 0 && gyp_clock_ms() >= x->send_by)
		return CURL_PREREQFUNC_ABORT;
	if (x->once && x->sent)
		return CURL_PREREQFUNC_ABORT;
	x->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Sets the options that stay the same for all requests of a handle. */
static void
set_common_options(CURL *e, bool reuse)
{
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, reuse ? 0L : 1L);
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE, reuse ? 0L : 1L);
	curl_easy_setopt(
	    e, CURLOPT_CONNECTTIMEOUT_MS, (long)GYP_HTTPC_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	/* Ends the exchange when the peer becomes unreachable. */
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_IDLE_S);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
}

static void
set_request_options(struct exchange *x, const struct gyp_httpc_request *req)
{
	CURL *e = x->easy;

	curl_easy_setopt(e, CURLOPT_URL, req->url);
	curl_easy_setopt(e, CURLOPT_PRIVATE, x);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)req->timeout_ms);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, x);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, x->headers);
	if (strcmp(req->method, "GET") == 0) {
		curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, NULL);
		return;
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(e, CURLOPT_POSTFIELDS,
	    x->request.data != NULL ? (char *)x->request.data : "");
	curl_easy_setopt(
	    e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)x->request.len);
}

static CURL *
get_handle(struct gyp_httpc *client, bool reuse)
{
	CURL *easy;

	if (reuse && client->idle_handles->len > 0)
		return g_ptr_array_steal_index_fast(
		    client->idle_handles, client->idle_handles->len - 1);
	easy = curl_easy_init();
	set_common_options(easy, reuse);
	return easy;
}

void
gyp_httpc_send(struct gyp_httpc *client, const struct gyp_httpc_request *req)
{
	struct exchange *x = g_new0(struct exchange, 1);
	const char *const *h;

	x->client = client;
	x->easy = get_handle(client, req->reuse);
	x->reuse = req->reuse;
	x->response_max = req->response_max;
	x->send_by = req->send_by;
	x->once = req->once;
	x->done = req->done;
	x->arg = req->arg;
	x->free_arg = req->free_arg;
	gyp_buf_append(&x->request, req->body, req->len);
	x->headers = curl_slist_append(NULL, "Expect:");
	for (h = req->headers; h != NULL && *h != NULL; h++)
		x->headers = curl_slist_append(x->headers, *h);
	set_request_options(x, req);
	g_ptr_array_add(client->exchanges, x);
	curl_multi_add_handle(client->multi, x->easy);
}

struct gyp_httpc *
gyp_httpc_new(struct ev_loop *loop, struct gyp_timers *timers)
{
	struct gyp_httpc *client = g_new0(struct gyp_httpc, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->timers = timers;
	client->multi = curl_multi_init();
	client->exchanges = g_ptr_array_new_with_free_func(free_exchange);
	client->idle_handles =
	    g_ptr_array_new_with_free_func(curl_easy_cleanup);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_TIMERFUNCTION, set_curl_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, HOST_CONNECTIONS_MAX);
	return client;
}

void
gyp_httpc_free(struct gyp_httpc *client)
{
	if (client == NULL)
		return;
	g_ptr_array_free(client->exchanges, TRUE);
	g_ptr_array_free(client->idle_handles, TRUE);
	curl_multi_cleanup(client->multi);
	gyp_timer_cancel(client->timers, client->timeout);
	curl_global_cleanup();
	g_free(client);
}
