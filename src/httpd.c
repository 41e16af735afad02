#include <sys/socket.h>

#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <microhttpd.h>

#include "httpd.h"
#include "socket.h"
#include "timer.h"

/* Interval of the check for expired connections, in ms. */
#define SWEEP_MS 500

/* Memory per connection for headers, in bytes. */
#define CONNECTION_MEMORY_BYTES (16 * 1024)

struct gyp_httpd {
	struct ev_loop *loop;
	struct gyp_timers *timers;
	struct gyp_httpd_owner *owner;
	struct MHD_Daemon *daemon;
	ev_io io;
	struct gyp_timer *wakeup;
	uint32_t active_requests;
	uint64_t buffered_bytes; /* of bodies and replies */
	uint32_t receive_ms;
	uint32_t send_ms;
	size_t body_max;
	bool quiesced;
	bool stopping;
	struct gyp_timer *sweep;
	GHashTable *connections; /* struct connection, as a set */
	GHashTable *suspended;   /* struct gyp_http_request, as a set */
};

/* A connection, with the deadline for its request or its reply. */
struct connection {
	struct MHD_Connection *mhd;
	uint64_t deadline; /* 0 while the owner handles the request */
};

struct gyp_http_request {
	struct gyp_httpd *httpd;
	struct MHD_Connection *mhd;
	char *method;
	char *path;
	struct gyp_buf body;
	bool too_large;
	bool overloaded;
	size_t reply_len;
	bool dispatched;
	bool suspended;
	GPtrArray *headers; /* name, value, name, value, ... */
	struct MHD_Response *response;
	unsigned status;
};

static void run_daemon(struct gyp_httpd *);

/* ---- Event loop -------------------------------------------------------- */

static void
on_wakeup(void *arg, uint64_t now)
{
	struct gyp_httpd *h = arg;

	(void)now;
	h->wakeup = NULL;
	run_daemon(h);
}

static void
run_daemon(struct gyp_httpd *h)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(h->daemon);
	gyp_timer_cancel(h->timers, h->wakeup);
	h->wakeup = NULL;
	if (MHD_get_timeout(h->daemon, &timeout_ms) == MHD_YES)
		h->wakeup = gyp_timer_once(
		    h->timers, (uint32_t)timeout_ms, on_wakeup, h);
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

/* ---- Timeouts ---------------------------------------------------------- */

static struct connection *
get_connection(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

static void
on_connection(void *cls, struct MHD_Connection *mhd, void **socket_context,
    enum MHD_ConnectionNotificationCode code)
{
	struct gyp_httpd *h = cls;
	struct connection *c;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		g_hash_table_remove(h->connections, *socket_context);
		*socket_context = NULL;
		return;
	}
	c = g_new0(struct connection, 1);
	c->mhd = mhd;
	c->deadline = gyp_clock_ms() + h->receive_ms;
	g_hash_table_add(h->connections, c);
	*socket_context = c;
}

/*
 * Sets the deadline of the connection, or none if delay_ms is 0. Unlike
 * libmicrohttpd's timeout, it is not extended by each byte.
 */
static void
set_deadline(struct gyp_http_request *req, uint32_t delay_ms)
{
	struct connection *c = get_connection(req->mhd);

	if (c != NULL)
		c->deadline = delay_ms != 0 ? gyp_clock_ms() + delay_ms : 0;
}

static void
on_sweep(void *arg, uint64_t now)
{
	struct gyp_httpd *h = arg;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, h->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct connection *c = key;
		const union MHD_ConnectionInfo *info;

		if (c->deadline == 0 || now <= c->deadline)
			continue;
		info = MHD_get_connection_info(
		    c->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (info != NULL)
			shutdown(info->connect_fd, SHUT_RDWR);
	}
}

/* ---- Requests ---------------------------------------------------------- */

static struct gyp_http_request *
new_request(struct gyp_httpd *h, struct MHD_Connection *connection,
    const char *method, const char *path)
{
	struct gyp_http_request *req = g_new0(struct gyp_http_request, 1);

	req->httpd = h;
	req->mhd = connection;
	req->method = g_strdup(method);
	req->path = g_strdup(path);
	req->headers = g_ptr_array_new_with_free_func(g_free);
	h->active_requests++;
	return req;
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct gyp_http_request *req = *con_cls;

	(void)cls;
	(void)connection;
	(void)code;
	if (req == NULL)
		return;
	*con_cls = NULL;
	req->httpd->active_requests--;
	req->httpd->buffered_bytes -= req->body.len + req->reply_len;
	set_deadline(req, req->httpd->receive_ms);
	if (req->response != NULL)
		MHD_destroy_response(req->response);
	g_hash_table_remove(req->httpd->suspended, req);
	gyp_buf_clear(&req->body);
	g_ptr_array_free(req->headers, TRUE);
	g_free(req->method);
	g_free(req->path);
	g_free(req);
}

static void
append_body(struct gyp_http_request *req, const char *data, size_t len)
{
	struct gyp_httpd *h = req->httpd;

	if (req->body.len + len > h->body_max)
		req->too_large = true;
	if (h->buffered_bytes + len > GYP_HTTP_BUFFERED_BYTES_MAX)
		req->overloaded = true;
	if (req->too_large || req->overloaded) {
		h->buffered_bytes -= req->body.len;
		gyp_buf_clear(&req->body);
		return;
	}
	gyp_buf_append(&req->body, data, len);
	h->buffered_bytes += len;
}

static void
refuse_too_large(struct gyp_http_request *req)
{
	static const char text[] = "{\"error\":\"the body is too large\"}\n";

	gyp_http_reply(req, MHD_HTTP_CONTENT_TOO_LARGE, "application/json",
	    text, strlen(text));
}

/* States no outcome: the request may repeat one that was carried out. */
static void
refuse_overloaded(struct gyp_http_request *req)
{
	static const char text[] = "{\"error\":\"the server is overloaded\"}\n";
	struct gyp_httpd_owner *owner = req->httpd->owner;

	if (owner->ops->overloaded != NULL) {
		owner->ops->overloaded(owner, req);
		return;
	}
	gyp_http_add_header(req, "Retry-After", "1");
	gyp_http_reply(req, MHD_HTTP_SERVICE_UNAVAILABLE, "application/json",
	    text, strlen(text));
}

static void
dispatch(struct gyp_http_request *req)
{
	req->dispatched = true;
	set_deadline(req, 0);
	if (req->too_large)
		refuse_too_large(req);
	else if (req->overloaded)
		refuse_overloaded(req);
	else
		req->httpd->owner->ops->request(req->httpd->owner, req);
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload_data,
    size_t *upload_data_size, void **con_cls)
{
	struct gyp_http_request *req = *con_cls;

	(void)version;
	if (req == NULL) {
		*con_cls = new_request(cls, connection, method, url);
		return MHD_YES;
	}
	if (req->httpd->stopping)
		return MHD_NO;
	if (*upload_data_size > 0) {
		append_body(req, upload_data, *upload_data_size);
		*upload_data_size = 0;
		return MHD_YES;
	}
	if (!req->dispatched)
		dispatch(req);
	if (req->response != NULL)
		return MHD_queue_response(
		    connection, req->status, req->response);
	req->suspended = true;
	g_hash_table_add(req->httpd->suspended, req);
	MHD_suspend_connection(connection);
	return MHD_YES;
}

const char *
gyp_http_method(const struct gyp_http_request *req)
{
	return req->method;
}

const char *
gyp_http_path(const struct gyp_http_request *req)
{
	return req->path;
}

struct gyp_slice
gyp_http_body(const struct gyp_http_request *req)
{
	struct gyp_slice s = {req->body.data, req->body.len};

	return s;
}

const char *
gyp_http_header(const struct gyp_http_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->mhd, MHD_HEADER_KIND, name);
}

const char *
gyp_http_query(const struct gyp_http_request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    req->mhd, MHD_GET_ARGUMENT_KIND, name);
}

void
gyp_http_add_header(
    struct gyp_http_request *req, const char *name, const char *value)
{
	g_ptr_array_add(req->headers, g_strdup(name));
	g_ptr_array_add(req->headers, g_strdup(value));
}

void
gyp_http_reply(struct gyp_http_request *req, unsigned status,
    const char *content_type, const void *body, size_t len)
{
	guint i;

	g_assert(req->response == NULL);
	req->response = MHD_create_response_from_buffer(
	    len, (void *)body, MHD_RESPMEM_MUST_COPY);
	req->status = status;
	req->reply_len = len;
	req->httpd->buffered_bytes += len;
	set_deadline(req, req->httpd->send_ms);
	if (content_type != NULL && content_type[0] != '\0')
		MHD_add_response_header(
		    req->response, "Content-Type", content_type);
	for (i = 0; i + 1 < req->headers->len; i += 2)
		MHD_add_response_header(req->response, req->headers->pdata[i],
		    req->headers->pdata[i + 1]);
	/* Makes callers with open connections reconnect elsewhere. */
	if (req->httpd->quiesced)
		MHD_add_response_header(req->response, "Connection", "close");
	if (!req->suspended)
		return;
	req->suspended = false;
	g_hash_table_remove(req->httpd->suspended, req);
	MHD_resume_connection(req->mhd);
	ev_feed_event(req->httpd->loop, &req->httpd->io, EV_READ);
}

/* ---- Server ------------------------------------------------------------ */

static struct MHD_Daemon *
start_daemon(struct gyp_httpd *h, struct sockaddr_storage *ss)
{
	return MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		(ss->ss_family == AF_INET6 ? MHD_USE_IPv6 : 0),
	    0, NULL, NULL, on_request, h, MHD_OPTION_SOCK_ADDR, ss,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
	    MHD_OPTION_CONNECTION_LIMIT, GYP_HTTP_CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, GYP_HTTP_IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

struct gyp_httpd *
gyp_httpd_new(struct ev_loop *loop, struct gyp_timers *timers,
    struct gyp_httpd_owner *owner, const char *address, struct gyp_error *err)
{
	struct gyp_httpd *h = g_new0(struct gyp_httpd, 1);
	const union MHD_DaemonInfo *info;
	struct sockaddr_storage ss;
	uint32_t len;

	h->loop = loop;
	h->timers = timers;
	h->owner = owner;
	h->receive_ms = GYP_HTTP_RECEIVE_TIMEOUT_MS;
	h->send_ms = GYP_HTTP_SEND_TIMEOUT_MS;
	h->body_max = GYP_HTTP_BODY_MAX;
	h->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	h->suspended = g_hash_table_new(NULL, NULL);
	if (!gyp_address_parse(address, &ss, &len) ||
	    (h->daemon = start_daemon(h, &ss)) == NULL) {
		gyp_fail(err, GYP_IO, "can't serve HTTP on %s", address);
		g_hash_table_destroy(h->connections);
		g_hash_table_destroy(h->suspended);
		g_free(h);
		return NULL;
	}
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&h->io, on_readable, info->epoll_fd, EV_READ);
	h->io.data = h;
	ev_io_start(loop, &h->io);
	h->sweep = gyp_timer_every(timers, SWEEP_MS, on_sweep, h);
	return h;
}

void
gyp_httpd_quiesce(struct gyp_httpd *h)
{
	int fd = MHD_quiesce_daemon(h->daemon);

	h->quiesced = true;

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void
gyp_httpd_set_body_max(struct gyp_httpd *h, size_t bytes)
{
	h->body_max = bytes;
}

void
gyp_httpd_set_timeouts(
    struct gyp_httpd *h, uint32_t receive_ms, uint32_t send_ms)
{
	h->receive_ms = receive_ms;
	h->send_ms = send_ms;
}

uint64_t
gyp_httpd_buffered_bytes(const struct gyp_httpd *h)
{
	return h->buffered_bytes;
}

uint32_t
gyp_httpd_active_requests(const struct gyp_httpd *h)
{
	return h->active_requests;
}

void
gyp_httpd_free(struct gyp_httpd *h)
{
	GHashTableIter iter;
	gpointer key;

	if (h == NULL)
		return;
	ev_io_stop(h->loop, &h->io);
	gyp_timer_cancel(h->timers, h->wakeup);
	gyp_timer_cancel(h->timers, h->sweep);
	/* libmicrohttpd cannot stop while connections are suspended. */
	g_hash_table_iter_init(&iter, h->suspended);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct gyp_http_request *req = key;

		MHD_resume_connection(req->mhd);
	}
	h->stopping = true;
	MHD_stop_daemon(h->daemon);
	g_hash_table_destroy(h->suspended);
	g_hash_table_destroy(h->connections);
	g_free(h);
}
