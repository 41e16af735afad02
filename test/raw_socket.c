#include <sys/socket.h>

#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "raw_socket.h"

struct call {
	void (*work)(void *);
	void *arg;
	struct ev_loop *loop;
	ev_async done;
};

static void
on_done(struct ev_loop *loop, ev_async *w, int revents)
{
	(void)w;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static gpointer
run_call(gpointer p)
{
	struct call *call = p;

	call->work(call->arg);
	ev_async_send(call->loop, &call->done);
	return NULL;
}

void
raw_run_thread(struct ev_loop *loop, void (*work)(void *), void *arg)
{
	struct call call = {.work = work, .arg = arg, .loop = loop};
	GThread *thread;

	ev_async_init(&call.done, on_done);
	ev_async_start(loop, &call.done);
	thread = g_thread_new("raw", run_call, &call);
	ev_run(loop, 0);
	g_thread_join(thread);
	ev_async_stop(loop, &call.done);
}

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in in = {.sin_family = AF_INET};

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	in.sin_port = htons(port);
	return in;
}

int
raw_listen(uint16_t *port)
{
	struct sockaddr_in in = loopback(0);
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&in, len), ==, 0);
	g_assert_cmpint(listen(fd, 64), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&in, &len), ==, 0);
	*port = ntohs(in.sin_port);
	return fd;
}

uint16_t
raw_free_port(void)
{
	uint16_t port;

	close(raw_listen(&port));
	return port;
}

int
raw_connect(uint16_t port)
{
	struct sockaddr_in in = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&in, sizeof(in)), ==, 0);
	return fd;
}

gboolean
raw_send(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len > 0) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return FALSE;
		p += n;
		len -= (size_t)n;
	}
	return TRUE;
}

char *
raw_read_all(int fd)
{
	GString *all = g_string_new(NULL);
	char chunk[4096];
	ssize_t n;

	while ((n = recv(fd, chunk, sizeof(chunk), 0)) > 0)
		g_string_append_len(all, chunk, n);
	return g_string_free(all, FALSE);
}

gboolean
raw_read_request(int fd)
{
	GString *head = g_string_new(NULL);
	const char *length;
	size_t body = 0;
	char c;

	while (strstr(head->str, "\r\n\r\n") == NULL) {
		if (recv(fd, &c, 1, 0) != 1) {
			g_string_free(head, TRUE);
			return FALSE;
		}
		g_string_append_c(head, c);
	}
	length = strstr(head->str, "Content-Length: ");
	if (length != NULL)
		body = (size_t)g_ascii_strtoull(length + 16, NULL, 10);
	while (body > 0 && recv(fd, &c, 1, 0) == 1)
		body--;
	g_string_free(head, TRUE);
	return body == 0;
}

char *
raw_request(
    uint16_t port, const void *data, size_t len, gboolean shut_down_sending)
{
	int fd = raw_connect(port);
	char *answer;

	raw_send(fd, data, len);
	if (shut_down_sending)
		shutdown(fd, SHUT_WR);
	answer = raw_read_all(fd);
	close(fd);
	return answer;
}
