#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy.h"

#define CHANNELS_MAX 1024
#define BUFFER_BYTES 65536

struct channel {
	int fd[2];
	volatile bool silent;
	volatile int open; /* directions that are forwarded */
};

struct pump {
	struct channel *channel;
	int from; /* index in fd */
};

struct route {
	int fd;
	struct sockaddr_in to;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct channel *channels[CHANNELS_MAX];
static int n_channels;

static void
run(void *(*fn)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, fn, arg) != 0)
		exit(2);
	pthread_detach(thread);
}

static struct sockaddr_in
parse(const char *address)
{
	struct sockaddr_in in = {.sin_family = AF_INET};
	const char *colon = strrchr(address, ':');
	char ip[32];

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	in.sin_port = htons((unsigned short)atoi(colon + 1));
	inet_pton(AF_INET, ip, &in.sin_addr);
	return in;
}

/* What arrives on a silent channel is lost. */
static void *
pump_main(void *arg)
{
	struct pump *p = arg;
	struct channel *c = p->channel;
	char *buf = malloc(BUFFER_BYTES);
	ssize_t n;

	while ((n = recv(c->fd[p->from], buf, BUFFER_BYTES, 0)) > 0) {
		ssize_t sent = 0;

		while (!c->silent && sent < n) {
			ssize_t k = send(c->fd[1 - p->from], buf + sent,
			    (size_t)(n - sent), MSG_NOSIGNAL);

			if (k <= 0)
				break;
			sent += k;
		}
		if (!c->silent && sent < n)
			break;
	}
	/* The end of a silent channel is not passed on. */
	if (!c->silent) {
		shutdown(c->fd[0], SHUT_RDWR);
		shutdown(c->fd[1], SHUT_RDWR);
	}
	pthread_mutex_lock(&lock);
	c->open--;
	if (c->open == 0 && !c->silent) {
		close(c->fd[0]);
		close(c->fd[1]);
	}
	pthread_mutex_unlock(&lock);
	free(buf);
	free(p);
	return NULL;
}

static void
start_pump(struct channel *c, int from)
{
	struct pump *p = malloc(sizeof(*p));

	p->channel = c;
	p->from = from;
	run(pump_main, p);
}

static void *
route_main(void *arg)
{
	struct route *r = arg;
	int fd, on = 1;

	while ((fd = accept(r->fd, NULL, NULL)) >= 0) {
		int to = socket(AF_INET, SOCK_STREAM, 0);
		struct channel *c;

		if (connect(to, (struct sockaddr *)&r->to, sizeof(r->to)) !=
			0 ||
		    n_channels == CHANNELS_MAX) {
			close(to);
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = calloc(1, sizeof(*c));
		c->fd[0] = fd;
		c->fd[1] = to;
		c->open = 2;
		pthread_mutex_lock(&lock);
		channels[n_channels++] = c;
		pthread_mutex_unlock(&lock);
		start_pump(c, 0);
		start_pump(c, 1);
	}
	return NULL;
}

void
proxy_start(const char *from, const char *to)
{
	struct sockaddr_in in = parse(from);
	struct route *r = malloc(sizeof(*r));
	int on = 1;

	r->fd = socket(AF_INET, SOCK_STREAM, 0);
	r->to = parse(to);
	setsockopt(r->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(r->fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(r->fd, 64) != 0) {
		fprintf(stderr, "can't listen on %s\n", from);
		exit(2);
	}
	run(route_main, r);
}

int
proxy_silence(void)
{
	int i, n = 0;

	pthread_mutex_lock(&lock);
	for (i = 0; i < n_channels; i++) {
		n += channels[i]->open == 2 && !channels[i]->silent;
		channels[i]->silent = true;
	}
	pthread_mutex_unlock(&lock);
	return n;
}
