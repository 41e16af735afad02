#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "socket.h"

/*
 * A silent peer is detected by keepalive probes (times in seconds), and by the
 * timeout for unacknowledged data (in ms).
 */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
#define UNACKED_TIMEOUT_MS   2000

gboolean
gyp_address_parse(
    const char *address, struct sockaddr_storage *ss, uint32_t *len)
{
	struct sockaddr_in *in = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)ss;
	const char *colon = strrchr(address, ':');
	gchar *host;
	guint64 port;
	gboolean ok = TRUE;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return FALSE;
	memset(ss, 0, sizeof(*ss));
	if (address[0] == '[' && colon > address + 2 && colon[-1] == ']')
		host = g_strndup(address + 1, (gsize)(colon - address) - 2);
	else
		host = g_strndup(address, (gsize)(colon - address));
	if (inet_pton(AF_INET, host, &in->sin_addr) == 1) {
		in->sin_family = AF_INET;
		in->sin_port = htons((uint16_t)port);
		*len = sizeof(*in);
	} else if (inet_pton(AF_INET6, host, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons((uint16_t)port);
		*len = sizeof(*in6);
	} else {
		ok = FALSE;
	}
	g_free(host);
	return ok;
}

/* An unreachable peer sends no reset: only kernel timeouts detect it. */
void
gyp_socket_set_options(int fd)
{
	int on = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	unsigned timeout = UNACKED_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

int
gyp_socket_dial(const struct sockaddr_storage *ss, uint32_t len)
{
	int fd = socket(
	    ss->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	gyp_socket_set_options(fd);
	if (connect(fd, (const struct sockaddr *)ss, len) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

enum gyp_status
gyp_socket_listen(const char *address, int *fd, struct gyp_error *err)
{
	struct sockaddr_storage ss;
	uint32_t len;
	int on = 1;

	if (!gyp_address_parse(address, &ss, &len))
		return gyp_fail(
		    err, GYP_BAD_INPUT, "%s: expected ip:port", address);
	*fd =
	    socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return gyp_fail(err, GYP_IO, "socket: %s", g_strerror(errno));
	setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(*fd, (struct sockaddr *)&ss, len) == 0 &&
	    listen(*fd, SOMAXCONN) == 0)
		return GYP_OK;
	gyp_fail(err, GYP_IO, "listen on %s: %s", address, g_strerror(errno));
	close(*fd);
	return GYP_IO;
}
