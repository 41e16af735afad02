#define _GNU_SOURCE
#include "standin.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#define REQUEST_MAX 65536
#define WORKERS_MAX 32

/* Longest time that a driver runs, in seconds. */
#define DRIVER_S 110

const char one_queue[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"" QUEUE_HOST
    "\",\"path_prefix\":\"" QUEUE_PREFIX
    "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":250,\"priority\":0,\"backend\":\"pool\","
    "\"max_attempts\":3,\"stretch\":1.5}],\"backends\":[{\"name\":\"pool\","
    "\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admission_check\":false,\"standby\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

void (*on_start)(struct worker *, const char *, unsigned);
char *controls[16], *fronts[16];
int n_controls, n_fronts;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct worker *workers[WORKERS_MAX];
static int n_workers;
static FILE *record_file;
static struct timespec started;

/* ---- Time and record ---------------------------------------------------- */

uint64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)((t.tv_sec - started.tv_sec) * 1000 +
			  (t.tv_nsec - started.tv_nsec) / 1000000);
}

void
sleep_until(uint64_t ms)
{
	while (now_ms() < ms)
		usleep(1000);
}

void
record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	flockfile(record_file);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	vfprintf(record_file, fmt, ap);
	fputc('\n', record_file);
	fflush(record_file);
	funlockfile(record_file);
	va_end(ap);
}

void
lock(void)
{
	pthread_mutex_lock(&mutex);
}

void
unlock(void)
{
	pthread_mutex_unlock(&mutex);
}

static void
spawn(void *(*fn)(void *), void *arg)
{
	pthread_t t;

	pthread_create(&t, NULL, fn, arg);
	pthread_detach(t);
}

/* ---- Sockets ------------------------------------------------------------ */

static void
parse_address(const char *text, struct sockaddr_in *in)
{
	char ip[32];
	const char *colon = strrchr(text, ':');

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	memset(in, 0, sizeof(*in));
	in->sin_family = AF_INET;
	in->sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &in->sin_addr);
}

static void
set_timeout(int fd, int ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

int
http_connect(const char *address, int timeout_ms)
{
	struct sockaddr_in in;
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	parse_address(address, &in);
	set_timeout(fd, timeout_ms);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

bool
http_send(int fd, const char *method, const char *path, const char *headers,
    const char *body)
{
	char text[8192];
	int len = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\n%sContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    method, path, headers, strlen(body), body);

	return send(fd, text, (size_t)len, MSG_NOSIGNAL) == len;
}

/* Length of a complete message with its body, or 0. */
static size_t
message_length(const char *text, size_t len)
{
	const char *end = memmem(text, len, "\r\n\r\n", 4);
	const char *field;
	size_t total;

	if (end == NULL)
		return 0;
	field = strcasestr(text, "\r\ncontent-length:");
	total = (size_t)(end - text) + 4;
	if (field != NULL && field < end)
		total += (size_t)atol(field + 17);
	return len >= total ? total : 0;
}

void
http_receive(int fd, int timeout_ms, struct response *r)
{
	static const char location[] = "\r\nLocation: http://";
	char text[REQUEST_MAX] = "";
	size_t len = 0;
	ssize_t n;
	const char *p;

	memset(r, 0, sizeof(*r));
	set_timeout(fd, timeout_ms);
	while (message_length(text, len) == 0) {
		n = recv(fd, text + len, sizeof(text) - 1 - len, 0);
		if (n <= 0)
			return;
		len += (size_t)n;
		text[len] = '\0';
	}
	sscanf(text, "HTTP/1.1 %d", &r->status);
	p = strcasestr(text, location);
	if (p != NULL)
		sscanf(p + strlen(location), "%127[^\r]", r->location);
	p = strstr(text, "\r\n\r\n");
	snprintf(r->body, sizeof(r->body), "%s", p + 4);
}

void
http_call(const char *address, const char *method, const char *path,
    const char *headers, const char *body, int timeout_ms, struct response *r)
{
	int fd = http_connect(address, timeout_ms);

	memset(r, 0, sizeof(*r));
	if (fd < 0)
		return;
	if (http_send(fd, method, path, headers, body))
		http_receive(fd, timeout_ms, r);
	close(fd);
}

/* ---- JSON --------------------------------------------------------------- */

/* Fields of flat objects without white space, as the programs write them. */
static const char *
find_field(const char *body, const char *name)
{
	char key[64];
	const char *p;

	snprintf(key, sizeof(key), "\"%s\":", name);
	p = strstr(body, key);
	return p != NULL ? p + strlen(key) : NULL;
}

static uint64_t
get_uint(const char *body, const char *name)
{
	const char *p = find_field(body, name);

	return p != NULL ? strtoull(p, NULL, 10) : 0;
}

static void
get_text(const char *body, const char *name, char *text, size_t size)
{
	const char *p = find_field(body, name);
	size_t i = 0;

	if (p != NULL && *p == '"') {
		for (p++; *p != '"' && *p != '\0' && i + 1 < size; p++)
			text[i++] = *p;
	}
	text[i] = '\0';
}

/* ---- Workers: runs ------------------------------------------------------ */

static uint64_t
clock_of(const struct worker *w)
{
	return now_ms() - w->clock_zero + 1000;
}

int
count_runs(const char *task)
{
	int i, j, n = 0;

	for (i = 0; i < n_workers; i++) {
		for (j = 0; workers[i]->born_ms != 0 && j < workers[i]->n_runs;
		     j++)
			n += strcmp(workers[i]->runs[j].task, task) == 0;
	}
	return n;
}

static unsigned *
old_run(struct worker *w, const char *task)
{
	int i;

	for (i = 0; i < w->n_old; i++) {
		if (strcmp(w->old[i].task, task) == 0)
			return &w->old[i].run_id;
	}
	snprintf(w->old[w->n_old].task, sizeof(w->old[0].task), "%s", task);
	w->old[w->n_old].run_id = 0;
	return &w->old[w->n_old++].run_id;
}

static void
end_run(struct worker *w, int i, const char *how)
{
	struct end *e = &w->ends[w->n_ends++];

	e->number = ++w->last_end;
	memcpy(e->task, w->runs[i].task, sizeof(e->task));
	e->run_id = w->runs[i].run_id;
	e->how = how;
	if (*old_run(w, e->task) < e->run_id)
		*old_run(w, e->task) = e->run_id;
	record("worker %s: %s run %u ends %s", w->id, e->task, e->run_id, how);
	w->runs[i] = w->runs[--w->n_runs];
}

/* Ends runs whose work is done, and all of them once the lease is over. */
static void
advance(struct worker *w)
{
	int i;

	for (i = w->n_runs - 1; i >= 0; i--) {
		if (w->runs[i].ends_at != 0 && now_ms() >= w->runs[i].ends_at)
			end_run(w, i, "done");
	}
	while (w->n_runs > 0 && clock_of(w) >= w->lease_until)
		end_run(w, 0, "lapsed");
}

static void *
run_clock(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		lock();
		for (i = 0; i < n_workers; i++) {
			if (workers[i]->born_ms != 0)
				advance(workers[i]);
		}
		unlock();
		usleep(2000);
	}
	return NULL;
}

static void
extend_lease(struct worker *w, uint64_t until)
{
	uint64_t most = clock_of(w) + HOLD_MAX_MS;

	if (until > most)
		until = most;
	if (until > w->lease_until)
		w->lease_until = until;
}

/* ---- Workers: calls ----------------------------------------------------- */

static int
refuse(struct worker *w, const char *reason, char *out, size_t size)
{
	snprintf(out, size, "{\"clock_ms\":%lu,\"born\":%lu,\"reason\":\"%s\"}",
	    (unsigned long)clock_of(w), (unsigned long)w->born_ms, reason);
	return 409;
}

static int
accept_call(struct worker *w, char *out, size_t size)
{
	snprintf(out, size, "{\"clock_ms\":%lu,\"born\":%lu}",
	    (unsigned long)clock_of(w), (unsigned long)w->born_ms);
	return 200;
}

static int
handle_start(struct worker *w, const char *body, char *out, size_t size)
{
	uint64_t until = get_uint(body, "until_ms");
	unsigned run_id = (unsigned)get_uint(body, "run_id");
	struct run *run;
	char task[64], spec[128];
	int i, work_ms = 0;

	get_text(body, "task", task, sizeof(task));
	get_text(body, "task_spec", spec, sizeof(spec));
	for (i = 0; i < w->n_runs; i++) {
		if (strcmp(w->runs[i].task, task) == 0 &&
		    w->runs[i].run_id == run_id)
			return accept_call(w, out, size);
	}
	extend_lease(w, until);
	if (*old_run(w, task) >= run_id)
		return refuse(w, "old", out, size);
	if (until <= clock_of(w))
		return refuse(w, "late", out, size);
	run = &w->runs[w->n_runs++];
	snprintf(run->task, sizeof(run->task), "%s", task);
	run->run_id = run_id;
	sscanf(spec, "work %d", &work_ms);
	run->ends_at = work_ms > 0 ? now_ms() + (uint64_t)work_ms : 0;
	record("worker %s: starts %s run %u", w->id, task, run_id);
	if (on_start != NULL)
		on_start(w, task, run_id);
	return accept_call(w, out, size);
}

static int
handle_stop(struct worker *w, const char *body, char *out, size_t size)
{
	unsigned run_id = (unsigned)get_uint(body, "run_id");
	char task[64];
	int i;

	get_text(body, "task", task, sizeof(task));
	for (i = 0; i < w->n_runs; i++) {
		if (strcmp(w->runs[i].task, task) == 0 &&
		    w->runs[i].run_id == run_id) {
			end_run(w, i, "stopped");
			break;
		}
	}
	if (*old_run(w, task) < run_id)
		*old_run(w, task) = run_id;
	return accept_call(w, out, size);
}

static void
forget_ends(struct worker *w, uint64_t acked)
{
	int i = 0;

	while (i < w->n_ends && w->ends[i].number <= acked)
		i++;
	memmove(
	    w->ends, w->ends + i, sizeof(w->ends[0]) * (size_t)(w->n_ends - i));
	w->n_ends -= i;
}

/* Waits, without the lock, until a run ends, the time is up or the life ends.
 */
static void
wait_for_end(const struct worker *w, uint64_t born, uint64_t wait_ms)
{
	uint64_t until = now_ms() + wait_ms;

	while (now_ms() < until && w->born_ms == born && w->n_ends == 0) {
		unlock();
		usleep(2000);
		lock();
	}
}

static int
handle_hold(struct worker *w, const char *body, char *out, size_t size)
{
	int i, len;

	forget_ends(w, get_uint(body, "last_acked"));
	extend_lease(w, get_uint(body, "until_ms"));
	wait_for_end(w, w->born_ms, get_uint(body, "wait_ms"));
	len =
	    snprintf(out, size, "{\"clock_ms\":%lu,\"born\":%lu,\"running\":[",
		(unsigned long)clock_of(w), (unsigned long)w->born_ms);
	for (i = 0; i < w->n_runs; i++)
		len += snprintf(out + len, size - (size_t)len,
		    "%s[\"%s\",%u,\"\",100,1000]", i > 0 ? "," : "",
		    w->runs[i].task, w->runs[i].run_id);
	len += snprintf(out + len, size - (size_t)len, "],\"ended\":[");
	for (i = 0; i < w->n_ends && i < 500; i++)
		len += snprintf(out + len, size - (size_t)len,
		    "%s[%lu,\"%s\",%u,\"%s\",\"\"]", i > 0 ? "," : "",
		    (unsigned long)w->ends[i].number, w->ends[i].task,
		    w->ends[i].run_id, w->ends[i].how);
	snprintf(out + len, size - (size_t)len, "]}");
	return 200;
}

static int
handle_call(struct worker *w, const char *text, char *out, size_t size)
{
	const char *body = strstr(text, "\r\n\r\n") + 4;
	const char *p = strcasestr(text, "\r\nX-Expected-Instance:");
	uint64_t fence = get_uint(body, "fencing_token");
	char id[32] = "", path[64] = "";

	snprintf(out, size, "{}");
	sscanf(text, "POST %63s", path);
	if (p != NULL)
		sscanf(p + strlen("\r\nX-Expected-Instance:"), " %31[^\r]", id);
	if (strcmp(id, w->id) != 0)
		return 421;
	if (fence < w->fence)
		return refuse(w, "fence", out, size);
	w->fence = fence;
	if (strcmp(path, "/api/run-start") == 0)
		return handle_start(w, body, out, size);
	if (strcmp(path, "/api/run-stop") == 0)
		return handle_stop(w, body, out, size);
	if (strcmp(path, "/api/hold") == 0)
		return handle_hold(w, body, out, size);
	return 400;
}

/* ---- Workers: server ---------------------------------------------------- */

struct channel {
	struct worker *w;
	uint64_t born;
	int fd;
};

static bool
serve_request(struct channel *c, const char *text)
{
	static const size_t size = REQUEST_MAX;
	char *out = malloc(size), *reply = malloc(size + 256);
	bool ok;
	int status, len;

	while (c->w->cut && c->w->born_ms == c->born)
		usleep(10000);
	lock();
	ok = c->w->born_ms == c->born;
	status = ok ? handle_call(c->w, text, out, size) : 0;
	ok = ok && c->w->born_ms == c->born;
	unlock();
	len = snprintf(reply, size + 256,
	    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, strlen(out), out);
	ok = ok && send(c->fd, reply, (size_t)len, MSG_NOSIGNAL) == len;
	free(out);
	free(reply);
	return ok;
}

static void *
run_channel(void *arg)
{
	struct channel *c = arg;
	char *text = calloc(1, REQUEST_MAX);
	size_t len = 0, used;
	ssize_t n;

	set_timeout(c->fd, 60000);
	while ((n = recv(c->fd, text + len, REQUEST_MAX - 1 - len, 0)) > 0) {
		len += (size_t)n;
		text[len] = '\0';
		while ((used = message_length(text, len)) > 0) {
			if (!serve_request(c, text)) {
				close(c->fd);
				free(text);
				free(c);
				return NULL;
			}
			memmove(text, text + used, len - used + 1);
			len -= used;
		}
	}
	close(c->fd);
	free(text);
	free(c);
	return NULL;
}

static int
listen_on(const char *address)
{
	struct sockaddr_in in;
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	parse_address(address, &in);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(fd, 128) != 0) {
		record("can't listen on %s", address);
		exit(2);
	}
	return fd;
}

/* One life of a worker: accepts channels until the life ends. */
static void *
run_server(void *arg)
{
	struct channel *self = arg, *c;
	struct pollfd p = {.fd = self->fd, .events = POLLIN};

	while (self->w->born_ms == self->born) {
		if (poll(&p, 1, 10) <= 0)
			continue;
		c = calloc(1, sizeof(*c));
		*c = *self;
		c->fd = accept4(self->fd, NULL, NULL, SOCK_CLOEXEC);
		spawn(run_channel, c);
	}
	close(self->fd);
	free(self);
	return NULL;
}

/* ---- Workers: status reports -------------------------------------------- */

static void
take_heartbeat_url(struct worker *w, const char *body)
{
	char url[96];

	get_text(body, "heartbeat_url", url, sizeof(url));
	if (strncmp(url, "http://", 7) == 0)
		snprintf(
		    w->heartbeat_at, sizeof(w->heartbeat_at), "%.63s", url + 7);
}

int
worker_report(struct worker *w)
{
	struct response r;
	char body[1024], path[64], at[128];
	int follow;

	lock();
	if (w->heartbeat_at[0] == '\0')
		snprintf(w->heartbeat_at, sizeof(w->heartbeat_at), "%s",
		    controls[w->next_control++ % n_controls]);
	snprintf(at, sizeof(at), "%s", w->heartbeat_at);
	snprintf(path, sizeof(path), "/api/instances/%s", w->id);
	snprintf(body, sizeof(body),
	    "{\"backend\":\"pool\",\"address\":\"%s\",\"zone\":\"z0\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,"
	    "\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"%c\",\"r1-1\"],"
	    "\"clock_ms\":%lu,\"seq\":%lu,\"born\":%lu}",
	    w->address, w->draining ? "draining" : "ready", WORKER_CPU, w->kind,
	    (unsigned long)clock_of(w), (unsigned long)++w->seq,
	    (unsigned long)w->born_ms);
	unlock();
	http_call(at, "PUT", path, "Host: control\r\n", body, 1000, &r);
	for (follow = 0; r.status == 307 && follow < 2; follow++) {
		sscanf(r.location, "%127[^/]", at);
		http_call(at, "PUT", path, "Host: control\r\n", body, 1000, &r);
	}
	lock();
	w->heartbeat_at[0] = '\0';
	if (r.status == 200)
		take_heartbeat_url(w, r.body);
	unlock();
	return r.status;
}

static void *
run_reports(void *arg)
{
	struct channel *self = arg;
	int status = 0;

	while (self->w->born_ms == self->born) {
		int last = status;

		if (self->w->cut) {
			usleep(10000);
			continue;
		}
		status = worker_report(self->w);
		if (status != last)
			record("worker %s: report answered %d", self->w->id,
			    status);
		usleep(status == 200 ? HEARTBEAT_MS * 1000 : 100000);
	}
	free(self);
	return NULL;
}

void
worker_start(struct worker *w, const char *id, const char *address, char kind)
{
	struct timespec t;
	struct channel *server = calloc(1, sizeof(*server));
	struct channel *reports = calloc(1, sizeof(*reports));
	int i;

	clock_gettime(CLOCK_REALTIME, &t);
	lock();
	memset(w, 0, sizeof(*w));
	snprintf(w->id, sizeof(w->id), "%s", id);
	snprintf(w->address, sizeof(w->address), "%s", address);
	w->kind = kind;
	w->clock_zero = now_ms();
	w->born_ms = (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
	server->w = reports->w = w;
	server->born = reports->born = w->born_ms;
	server->fd = listen_on(address);
	for (i = 0; i < n_workers && workers[i] != w; i++)
		continue;
	if (i == n_workers)
		workers[n_workers++] = w;
	unlock();
	record("worker %s: a life begins, born %lu", id,
	    (unsigned long)w->born_ms);
	spawn(run_server, server);
	spawn(run_reports, reports);
}

char *
worker_address(int n)
{
	char text[32];

	snprintf(text, sizeof(text), "127.43.%d.1:%s", n, getenv("BASE_PORT"));
	return strdup(text);
}

void
workers_start(struct worker *list, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		char *address = worker_address(i);
		char id[16];

		snprintf(id, sizeof(id), "i-%d", i);
		worker_start(&list[i], id, address, 'a');
		free(address);
	}
}

void
worker_end(struct worker *w)
{
	lock();
	record("worker %s: the life ends, %d runs with it", w->id, w->n_runs);
	w->born_ms = 0;
	w->n_runs = 0;
	unlock();
	usleep(50000); /* until its server is closed */
}

/* ---- Links between machines --------------------------------------------- */

#define CORES 5

struct cut cut;

struct proxy {
	char listen[32], target[32];
};

struct link {
	int near,
	    far; /* sockets of the one that connected and of the replica */
	bool of_edge_0;
	bool broken;
	uint64_t opened_at;
	unsigned users;
};

static void
reset_socket(int fd)
{
	struct linger linger = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	shutdown(fd, SHUT_RDWR);
}

void
cut_begin(void)
{
	cut.since = now_ms();
	cut.on = true;
	record("edge 0 is cut off from the core%s",
	    cut.one_way ? ": nothing that the core sends arrives there" : "");
}

void
cut_end(void)
{
	cut.on = false;
	record("edge 0 is connected again");
}

/* True for a channel that a one-way cut has found open. */
static bool
is_half_open(const struct link *l)
{
	return l->of_edge_0 && cut.on && cut.one_way &&
	       l->opened_at < cut.since;
}

/*
 * Returns whether the bytes may pass; holds them while the cut lasts. Bytes
 * that the core sends on a half-open channel are dropped.
 */
static bool
pass_cut(struct link *l, bool from_edge)
{
	if (is_half_open(l))
		return from_edge;
	while (l->of_edge_0 && cut.on && !l->broken)
		usleep(1000);
	return !l->broken;
}

/* Closes half-open channels once their time is over. */
static bool
is_over(struct link *l)
{
	if (is_half_open(l) && now_ms() >= cut.since + UNACKED_MS)
		l->broken = true;
	return l->broken;
}

/* Forwards one direction of a link. */
static void
forward(struct link *l, int from, int to)
{
	struct pollfd p = {.fd = from, .events = POLLIN};
	char *chunk = malloc(REQUEST_MAX);
	bool from_edge = from == l->near;
	ssize_t n;

	while (!is_over(l)) {
		if (poll(&p, 1, 10) <= 0)
			continue;
		n = recv(from, chunk, REQUEST_MAX, 0);
		if (n <= 0)
			break;
		if (from_edge && !l->of_edge_0 &&
		    memmem(chunk, (size_t)n, "edge-0", 6) != NULL)
			l->of_edge_0 = true;
		if (pass_cut(l, from_edge) &&
		    send(to, chunk, (size_t)n, MSG_NOSIGNAL) != n)
			break;
	}
	l->broken = true;
	reset_socket(l->near);
	reset_socket(l->far);
	free(chunk);
}

static void
release_link(struct link *l)
{
	lock();
	l->users--;
	if (l->users == 0) {
		close(l->near);
		close(l->far);
		free(l);
	}
	unlock();
}

static void *
run_back(void *arg)
{
	struct link *l = arg;

	forward(l, l->far, l->near);
	release_link(l);
	return NULL;
}

static void *
run_forth(void *arg)
{
	struct link *l = arg;

	forward(l, l->near, l->far);
	release_link(l);
	return NULL;
}

static void *
run_proxy(void *arg)
{
	struct proxy *p = arg;
	int on = 1, fd = listen_on(p->listen);

	for (;;) {
		struct link *l = calloc(1, sizeof(*l));

		l->users = 2;
		l->near = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
		l->opened_at = now_ms();
		l->far = http_connect(p->target, 1000);
		if (l->far < 0) {
			close(l->near);
			free(l);
			continue;
		}
		set_timeout(l->far, 0);
		setsockopt(l->near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		spawn(run_forth, l);
		spawn(run_back, l);
	}
	return NULL;
}

void
proxies_start(void)
{
	int i, base = atoi(getenv("BASE_PORT"));

	for (i = 0; i < CORES; i++) {
		struct proxy *p = calloc(1, sizeof(*p));

		snprintf(p->listen, sizeof(p->listen), "127.41.%d.1:%d", i,
		    base + 3);
		snprintf(
		    p->target, sizeof(p->target), "127.41.%d.1:%d", i, base);
		spawn(run_proxy, p);
	}
}

/* ---- Operator and client ------------------------------------------------ */

bool
put_manifest(const char *text, int timeout_ms)
{
	uint64_t until = now_ms() + (uint64_t)timeout_ms;
	struct response r;
	char at[128];
	int node = 0, follow;

	while (now_ms() < until) {
		snprintf(at, sizeof(at), "%s", controls[node++ % n_controls]);
		http_call(at, "PUT", "/api/config", "Host: control\r\n", text,
		    1000, &r);
		for (follow = 0; r.status == 307 && follow < 2; follow++) {
			sscanf(r.location, "%127[^/]", at);
			http_call(at, "PUT", "/api/config", "Host: control\r\n",
			    text, 1000, &r);
		}
		if (r.status == 200)
			return true;
		usleep(20000);
	}
	return false;
}

void
client_call(int front, const char *method, const char *id, const char *body,
    int timeout_ms, struct response *r)
{
	char path[64], headers[128];

	snprintf(path, sizeof(path), "%s%s", QUEUE_PREFIX, id);
	snprintf(headers, sizeof(headers), "Host: %s\r\nX-Deadline-Ms: %d\r\n",
	    QUEUE_HOST, timeout_ms);
	http_call(fronts[front], method, path, headers, body, timeout_ms, r);
	record("client: %s %s at edge %d answered %d %s", method, id, front,
	    r->status, r->body);
}

bool
wait_ready(const char *manifest)
{
	struct response r;
	int i;

	if (!put_manifest(manifest, 20000))
		return false;
	record("operator: the first manifest is acknowledged");
	for (i = 0; i < n_fronts; i++) {
		do {
			client_call(i, "GET", "", "", 1000, &r);
			usleep(r.status == 200 ? 0 : 500000);
		} while (r.status != 200 && now_ms() < 30000);
	}
	return r.status == 200;
}

bool
trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

int
pid_of(const char *name)
{
	const char *text = getenv(name);

	if (text == NULL) {
		fprintf(stderr, "%s is not set\n", name);
		exit(2);
	}
	return atoi(text);
}

static int
split(const char *name, char **list)
{
	char *text = getenv(name), *word, *save = NULL;
	int n = 0;

	if (text == NULL)
		exit(2);
	for (word = strtok_r(strdup(text), ",", &save); word != NULL;
	     word = strtok_r(NULL, ",", &save))
		list[n++] = word;
	return n;
}

void
standin_init(void)
{
	const char *path = getenv("RECORD");

	clock_gettime(CLOCK_MONOTONIC, &started);
	alarm(DRIVER_S);
	signal(SIGPIPE, SIG_IGN);
	record_file = path != NULL ? fopen(path, "a") : stdout;
	if (record_file == NULL)
		exit(2);
	n_controls = split("CONTROLS", controls);
	n_fronts = split("FRONTS", fronts);
	spawn(run_clock, NULL);
}
