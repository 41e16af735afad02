#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

/*
 * NAME
 *	soak-proxy - loopback proxy that injects seeded network faults
 *
 * SYNOPSIS
 *	soak-proxy SEED LISTEN:TARGET ...
 *
 * DESCRIPTION
 *	Forwards connections from port LISTEN to port TARGET of 127.0.0.1. At
 *	random times and for random durations, a port delays the data, resets
 *	its connections, or silently stops forwarding in one direction or
 *	both, on new connections too. Each port has faults independently.
 */

/* Most bytes forwarded by one read. */
#define FORWARD_MAX 65536

/* Longest pause between two faults and longest fault, in seconds. */
#define PAUSE_S 6.0
#define FAULT_S 5.0

enum mode {
	MODE_FORWARD,
	MODE_DELAY,
	MODE_SILENT_IN,
	MODE_SILENT_OUT,
	MODE_SILENT
};

struct port {
	int target;
	ev_io accept;
	enum mode mode;
	GPtrArray *connections; /* struct connection */
	ev_timer mode_timer;
};

/* One direction of a connection. */
struct stream {
	struct connection *connection;
	int from;
	int to;
	bool inward;
	ev_io io;
	ev_timer resume; /* ends a pause of reading */
};

struct connection {
	struct port *port;
	struct stream in;
	struct stream out;
};

static GRand *prng;

static void
close_connection(struct ev_loop *loop, struct connection *c, bool reset)
{
	struct linger abort_on_close = {.l_onoff = 1, .l_linger = 0};

	if (reset) {
		setsockopt(c->in.from, SOL_SOCKET, SO_LINGER, &abort_on_close,
		    sizeof(abort_on_close));
		setsockopt(c->in.to, SOL_SOCKET, SO_LINGER, &abort_on_close,
		    sizeof(abort_on_close));
	}
	ev_io_stop(loop, &c->in.io);
	ev_io_stop(loop, &c->out.io);
	ev_timer_stop(loop, &c->in.resume);
	ev_timer_stop(loop, &c->out.resume);
	close(c->in.from);
	close(c->in.to);
	g_ptr_array_remove_fast(c->port->connections, c);
	g_free(c);
}

static bool
is_silent(const struct stream *st)
{
	enum mode mode = st->connection->port->mode;

	return mode == MODE_SILENT ||
	       mode == (st->inward ? MODE_SILENT_IN : MODE_SILENT_OUT);
}

static void
on_resume(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct stream *st = w->data;

	(void)revents;
	if (is_silent(st) || st->connection->port->mode == MODE_DELAY)
		ev_timer_again(loop, w);
	else
		ev_timer_stop(loop, w);
	if (!is_silent(st))
		ev_io_start(loop, &st->io);
}

/* Does not read while paused, so that the data stays with the sender. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct stream *st = w->data;
	char bytes[FORWARD_MAX];
	ssize_t n, done = 0;

	(void)revents;
	if (is_silent(st)) {
		ev_io_stop(loop, w);
		st->resume.repeat = 0.05;
		ev_timer_again(loop, &st->resume);
		return;
	}
	n = read(st->from, bytes, sizeof(bytes));
	if (n <= 0) {
		close_connection(loop, st->connection, n < 0);
		return;
	}
	while (done < n) {
		ssize_t sent = send(
		    st->to, bytes + done, (size_t)(n - done), MSG_NOSIGNAL);

		if (sent < 0) {
			close_connection(loop, st->connection, true);
			return;
		}
		done += sent;
	}
	if (st->connection->port->mode == MODE_DELAY) {
		ev_io_stop(loop, w);
		st->resume.repeat = g_rand_double_range(prng, 0.01, 0.3);
		ev_timer_again(loop, &st->resume);
	}
}

static void
start_stream(struct ev_loop *loop, struct connection *c, struct stream *st,
    int from, int to, bool inward)
{
	st->connection = c;
	st->from = from;
	st->to = to;
	st->inward = inward;
	ev_io_init(&st->io, on_readable, from, EV_READ);
	st->io.data = st;
	ev_init(&st->resume, on_resume);
	st->resume.data = st;
	ev_io_start(loop, &st->io);
}

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in in = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};

	return in;
}

static void
on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct port *port = w->data;
	struct sockaddr_in in = loopback(port->target);
	int fd = accept(w->fd, NULL, NULL);
	int to = socket(AF_INET, SOCK_STREAM, 0);
	struct connection *c;

	(void)revents;
	if (fd < 0 || connect(to, (struct sockaddr *)&in, sizeof(in)) != 0) {
		close(fd);
		close(to);
		return;
	}
	c = g_new0(struct connection, 1);
	c->port = port;
	g_ptr_array_add(port->connections, c);
	start_stream(loop, c, &c->in, fd, to, true);
	start_stream(loop, c, &c->out, to, fd, false);
}

static void
reset_all(struct ev_loop *loop, const struct port *port)
{
	GPtrArray *all = g_ptr_array_copy(port->connections, NULL, NULL);
	guint i;

	for (i = 0; i < all->len; i++)
		close_connection(loop, all->pdata[i], true);
	g_ptr_array_free(all, TRUE);
}

static void
on_mode_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct port *port = w->data;
	/* 0 resets the connections; others are the enum mode of a fault. */
	int kind = g_rand_int_range(prng, 0, 5);

	(void)revents;
	if (port->mode != MODE_FORWARD) {
		port->mode = MODE_FORWARD;
		w->repeat = g_rand_double_range(prng, 0.5, PAUSE_S);
	} else if (kind == 0) {
		reset_all(loop, port);
		w->repeat = g_rand_double_range(prng, 0.5, PAUSE_S);
	} else {
		port->mode = (enum mode)kind;
		w->repeat = g_rand_double_range(prng, 0.2, FAULT_S);
	}
	ev_timer_again(loop, w);
}

static void
open_port(struct ev_loop *loop, int from, int target)
{
	struct port *port = g_new0(struct port, 1);
	struct sockaddr_in in = loopback(from);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(fd, 64) != 0) {
		perror("soak-proxy");
		exit(EXIT_FAILURE);
	}
	port->target = target;
	port->connections = g_ptr_array_new();
	ev_io_init(&port->accept, on_accept, fd, EV_READ);
	port->accept.data = port;
	ev_io_start(loop, &port->accept);
	ev_init(&port->mode_timer, on_mode_timer);
	port->mode_timer.data = port;
	port->mode_timer.repeat = g_rand_double_range(prng, 3.0, 3.0 + PAUSE_S);
	ev_timer_again(loop, &port->mode_timer);
}

int
main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	int i, from, target;

	signal(SIGPIPE, SIG_IGN);
	if (argc < 3) {
		fprintf(stderr, "usage: soak-proxy SEED LISTEN:TARGET ...\n");
		return 64;
	}
	prng = g_rand_new_with_seed((guint32)strtoul(argv[1], NULL, 10));
	for (i = 2; i < argc; i++) {
		if (sscanf(argv[i], "%d:%d", &from, &target) != 2)
			return 64;
		open_port(loop, from, target);
	}
	ev_run(loop, 0);
	return 0;
}
