#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "sim.h"

#define HEARTBEAT_MS     1500
#define HEARTBEAT_WAIT   1000
#define TICK_MS          5
#define REQUEST_MAX      (256 * 1024)
#define REDIRECTS        3
#define SUBMIT_ATTEMPTS  20
#define CLIENT_WAIT_MS   3000
#define ENDS_LISTED_MAX  500
#define WORKER_CPU_MILLI 32000
#define WORKER_MEM_MB    65536

struct sim sim = {.lock = PTHREAD_MUTEX_INITIALIZER,
    .ended = PTHREAD_COND_INITIALIZER,
    .hold_max_ms = 6000};

static FILE *record_file;
static uint64_t record_start;

/* ---- Time and record ---------------------------------------------------- */

uint64_t
sim_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
sim_unix(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void
sim_sleep(uint64_t ms)
{
	struct timespec ts = {.tv_sec = (time_t)(ms / 1000),
	    .tv_nsec = (long)(ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

void
sim_record(const char *fmt, ...)
{
	uint64_t at = sim_now() - record_start;
	char text[2048];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	fprintf(record_file, "%3llu.%03llu %s\n",
	    (unsigned long long)(at / 1000), (unsigned long long)(at % 1000),
	    text);
	fflush(record_file);
}

/* ---- HTTP --------------------------------------------------------------- */

static bool
parse_address(const char *address, struct sockaddr_in *in)
{
	char ip[32];
	const char *colon = strrchr(address, ':');

	memset(in, 0, sizeof(*in));
	in->sin_family = AF_INET;
	if (colon == NULL)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	in->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &in->sin_addr) == 1;
}

static bool
wait_io(int fd, short events, uint64_t deadline)
{
	struct pollfd p = {.fd = fd, .events = events};
	uint64_t now = sim_now();

	return now < deadline && poll(&p, 1, (int)(deadline - now)) == 1;
}

static bool
send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Value of a header in the head of a message, or NULL. */
static const char *
find_header(const char *head, const char *name)
{
	const char *line = strstr(head, "\r\n");
	size_t n = strlen(name);

	while (line != NULL && strncmp(line, "\r\n\r\n", 4) != 0) {
		line += 2;
		if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
			line += n + 1;
			while (*line == ' ')
				line++;
			return line;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

/*
 * Reads one message into buf, head and body; returns the body, or NULL if the
 * channel ends or the time is over.
 */
static char *
read_message(int fd, char *buf, size_t size, uint64_t deadline)
{
	size_t len = 0;

	for (;;) {
		char *end;
		ssize_t n;

		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end != NULL) {
			const char *value = find_header(buf, "Content-Length");
			size_t body = value != NULL ? (size_t)atol(value) : 0;

			if ((size_t)(buf + len - (end + 4)) >= body)
				return end + 4;
		}
		if (len + 1 >= size || !wait_io(fd, POLLIN, deadline))
			return NULL;
		n = recv(fd, buf + len, size - 1 - len, 0);
		if (n <= 0)
			return NULL;
		len += (size_t)n;
	}
}

static void
copy_location(const char *head, char location[32])
{
	const char *value = find_header(head, "Location");

	location[0] = '\0';
	if (value == NULL || strncmp(value, "http://", 7) != 0)
		return;
	value += 7;
	snprintf(location, 32, "%.*s", (int)strcspn(value, "/\r"), value);
}

int
sim_http(const char *address, const char *method, const char *path,
    const char *host, const char *body, int timeout_ms, char *answer,
    size_t answer_size, char location[32])
{
	uint64_t deadline = sim_now() + (uint64_t)timeout_ms;
	bool with_key = sim.key != NULL && strcmp(address, sim.front) == 0;
	char *buf = malloc(REQUEST_MAX), *text;
	struct sockaddr_in in;
	int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0, n;

	if (answer != NULL)
		answer[0] = '\0';
	if (location != NULL)
		location[0] = '\0';
	if (!parse_address(address, &in) ||
	    connect(fd, (struct sockaddr *)&in, sizeof(in)) != 0)
		goto out;
	n = snprintf(buf, REQUEST_MAX,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "X-Deadline-Ms: %d\r\n%s%s%sContent-Length: %zu\r\n\r\n%s",
	    method, path, host != NULL ? host : address, timeout_ms,
	    with_key ? "Authorization: Bearer " : "", with_key ? sim.key : "",
	    with_key ? "\r\n" : "", body != NULL ? strlen(body) : 0,
	    body != NULL ? body : "");
	if (!send_all(fd, buf, (size_t)n))
		goto out;
	text = read_message(fd, buf, REQUEST_MAX, deadline);
	if (text == NULL || sscanf(buf, "HTTP/1.1 %d", &status) != 1)
		goto out;
	if (answer != NULL)
		snprintf(answer, answer_size, "%s", text);
	if (location != NULL)
		copy_location(buf, location);
out:
	close(fd);
	free(buf);
	return status;
}

/* Calls a control address and follows redirects, to *address. */
static int
call_control(char address[32], const char *method, const char *path,
    const char *body, char *answer, size_t size)
{
	char location[32];
	int i, status = 0;

	for (i = 0; i < REDIRECTS; i++) {
		status = sim_http(address, method, path, NULL, body,
		    HEARTBEAT_WAIT, answer, size, location);
		if (status != 307 || location[0] == '\0')
			break;
		snprintf(address, 32, "%s", location);
	}
	return status;
}

/* ---- Runs --------------------------------------------------------------- */

static uint64_t
worker_clock(const struct sim_worker *w)
{
	return sim_now() - w->clock_zero;
}

static struct sim_run *
find_run(struct sim_worker *w, const char *task)
{
	int i;

	for (i = 0; i < w->n_runs; i++) {
		if (strcmp(w->runs[i].task, task) == 0)
			return &w->runs[i];
	}
	return NULL;
}

static unsigned
last_run(const struct sim_worker *w, const char *task)
{
	int i;

	for (i = 0; i < w->n_last; i++) {
		if (strcmp(w->last[i].task, task) == 0)
			return w->last[i].run;
	}
	return 0;
}

static void
note_last(struct sim_worker *w, const char *task, unsigned run)
{
	int i;

	for (i = 0; i < w->n_last; i++) {
		if (strcmp(w->last[i].task, task) == 0)
			break;
	}
	if (i == w->n_last && w->n_last < SIM_ENDS_MAX) {
		snprintf(w->last[i].task, SIM_TASK_MAX, "%s", task);
		w->last[w->n_last++].run = 0;
	}
	if (i < w->n_last && w->last[i].run < run)
		w->last[i].run = run;
}

static void
remove_run(struct sim_worker *w, struct sim_run *run)
{
	*run = w->runs[--w->n_runs];
}

static void
end_run(struct sim_worker *w, struct sim_run *run, const char *how)
{
	struct sim_run ended = *run;

	remove_run(w, run);
	if (w->n_ends < SIM_ENDS_MAX) {
		struct sim_end *e = &w->ends[w->n_ends++];

		e->number = ++w->last_end;
		snprintf(e->task, SIM_TASK_MAX, "%s", ended.task);
		e->run = ended.number;
		e->how = how;
	}
	note_last(w, ended.task, ended.number);
	sim_record(
	    "%s ends %s run %u: %s", w->id, ended.task, ended.number, how);
	if (sim.on_end != NULL)
		sim.on_end(w, &ended, how);
	pthread_cond_broadcast(&sim.ended);
}

static void
discard_acked(struct sim_worker *w, uint64_t acked)
{
	int i, kept = 0;

	for (i = 0; i < w->n_ends; i++) {
		if (w->ends[i].number > acked)
			w->ends[kept++] = w->ends[i];
	}
	w->n_ends = kept;
}

static void *
tick_main(void *arg)
{
	(void)arg;
	for (;;) {
		int i, k;

		sim_sleep(TICK_MS);
		pthread_mutex_lock(&sim.lock);
		for (i = 0; i < sim.workers; i++) {
			struct sim_worker *w = &sim.worker[i];

			for (k = w->n_runs; k-- > 0;) {
				struct sim_run *run = &w->runs[k];

				if (worker_clock(w) >= w->lease_end)
					end_run(w, run, "lapsed");
				else if (sim_now() >= run->ends_at)
					end_run(w, run, "done");
			}
		}
		pthread_mutex_unlock(&sim.lock);
	}
	return NULL;
}

/* ---- Calls at workers --------------------------------------------------- */

static json_t *
new_answer(const struct sim_worker *w)
{
	return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)worker_clock(w),
	    "born", (json_int_t)w->born);
}

static int
refuse(json_t *answer, const char *reason)
{
	json_object_set_new(answer, "reason", json_string(reason));
	return 409;
}

static int
handle_start(struct sim_worker *w, const json_t *o, json_t *answer)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	unsigned number =
	    (unsigned)json_integer_value(json_object_get(o, "run_id"));
	uint64_t until =
	    (uint64_t)json_integer_value(json_object_get(o, "until_ms"));
	struct sim_run *run;
	uint64_t ms;

	if (task == NULL)
		return 400;
	run = find_run(w, task);
	if (run != NULL && run->number == number)
		return 200;
	if (run != NULL || last_run(w, task) >= number)
		return refuse(answer, "old");
	if (until <= worker_clock(w))
		return refuse(answer, "late");
	if (w->n_runs == SIM_RUNS_MAX)
		return refuse(answer, "room");
	run = &w->runs[w->n_runs++];
	ms = sim.task_ms(task);
	snprintf(run->task, SIM_TASK_MAX, "%s", task);
	run->number = number;
	run->started_at = sim_now();
	run->ends_at = ms == SIM_NEVER ? SIM_NEVER : sim_now() + ms;
	sim_record("%s starts %s run %u", w->id, task, number);
	if (sim.on_start != NULL)
		sim.on_start(w, run);
	return 200;
}

static int
handle_stop(struct sim_worker *w, const json_t *o)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	unsigned number =
	    (unsigned)json_integer_value(json_object_get(o, "run_id"));
	struct sim_run *run = task != NULL ? find_run(w, task) : NULL;

	if (task == NULL)
		return 400;
	sim_record("%s is told to stop %s run %u", w->id, task, number);
	if (run != NULL && run->number == number)
		end_run(w, run, "stopped");
	note_last(w, task, number);
	return 200;
}

/* Percent of the work done; a task that lasts is at work, at 100. */
static int
percent_of(const struct sim_run *run)
{
	uint64_t ms = sim.task_ms(run->task);

	if (ms == SIM_NEVER)
		return 100;
	return (int)((sim_now() - run->started_at) * 99 / (ms + 1));
}

static int
handle_hold(struct sim_worker *w, const json_t *o, json_t *answer)
{
	uint64_t wait =
	    (uint64_t)json_integer_value(json_object_get(o, "wait_ms"));
	json_t *running = json_array(), *ended = json_array();
	struct timespec until;
	int i;

	discard_acked(
	    w, (uint64_t)json_integer_value(json_object_get(o, "last_acked")));
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait / 1000);
	until.tv_nsec += (long)(wait % 1000) * 1000000;
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	while (wait > 0 && w->n_ends == 0 && w->up &&
	       pthread_cond_timedwait(&sim.ended, &sim.lock, &until) == 0)
		continue;
	for (i = 0; i < w->n_runs; i++)
		json_array_append_new(
		    running, json_pack("[s,i,s,i,i]", w->runs[i].task,
				 (int)w->runs[i].number, "",
				 percent_of(&w->runs[i]), 50));
	for (i = 0; i < w->n_ends && i < ENDS_LISTED_MAX; i++)
		json_array_append_new(
		    ended, json_pack("[I,s,i,s,s]",
			       (json_int_t)w->ends[i].number, w->ends[i].task,
			       (int)w->ends[i].run, w->ends[i].how, ""));
	json_object_set_new(
	    answer, "clock_ms", json_integer((json_int_t)worker_clock(w)));
	json_object_set_new(answer, "running", running);
	json_object_set_new(answer, "ended", ended);
	return 200;
}

static void
take_lease(struct sim_worker *w, const json_t *o)
{
	uint64_t until =
	    (uint64_t)json_integer_value(json_object_get(o, "until_ms"));
	uint64_t max = worker_clock(w) + sim.hold_max_ms;

	if (until > max)
		until = max;
	if (until > w->lease_end)
		w->lease_end = until;
}

/* With the lock held. */
static int
handle_call(
    struct sim_worker *w, const char *path, const json_t *o, json_t *answer)
{
	uint64_t fence =
	    (uint64_t)json_integer_value(json_object_get(o, "fencing_token"));

	if (!json_is_object(o))
		return 400;
	if (fence < w->fence)
		return refuse(answer, "fence");
	w->fence = fence;
	take_lease(w, o);
	if (strcmp(path, "/api/run-start") == 0)
		return handle_start(w, o, answer);
	if (strcmp(path, "/api/run-stop") == 0)
		return handle_stop(w, o);
	if (strcmp(path, "/api/hold") == 0)
		return handle_hold(w, o, answer);
	return 200;
}

/* Returns the answer's body, or NULL if the worker is silent. */
static char *
answer_call(struct sim_worker *w, const char *head, const char *path,
    const char *body, int *status)
{
	const char *expected = find_header(head, "X-Expected-Instance");
	json_t *o = json_loads(body, 0, NULL), *answer;
	size_t n = strlen(w->id);
	char *text = NULL;

	pthread_mutex_lock(&sim.lock);
	answer = new_answer(w);
	if (expected != NULL &&
	    (strncmp(expected, w->id, n) != 0 || expected[n] != '\r'))
		*status = 421;
	else if (w->up && !w->deaf)
		*status = handle_call(w, path, o, answer);
	if (w->up && !w->deaf)
		text = json_dumps(answer, JSON_COMPACT);
	pthread_mutex_unlock(&sim.lock);
	json_decref(answer);
	json_decref(o);
	return text;
}

struct channel {
	struct sim_worker *worker; /* NULL: the provider */
	int fd;
};

/* The provider lists each machine; one that is down has no worker. */
static char *
answer_list(int *status)
{
	json_t *rows = json_array(), *o;
	char *text;
	int i;

	pthread_mutex_lock(&sim.lock);
	for (i = 0; i < sim.workers; i++) {
		const struct sim_worker *w = &sim.worker[i];
		char machine[48];

		snprintf(machine, sizeof(machine), "m-%s", w->id);
		json_array_append_new(rows,
		    json_pack("{s:s,s:s,s:s,s:s,s:s?}", "machine_id", machine,
			"pool", "pool", "state", w->listed ? "up" : "down",
			"zone", "here", "id", w->listed ? w->id : NULL));
	}
	if (sim.odd_entry)
		json_array_append_new(
		    rows, json_pack("{s:s,s:s}", "machine_id",
			      "m-of-another-writer", "state", "lent"));
	pthread_mutex_unlock(&sim.lock);
	o = json_pack("{s:o,s:s}", "machines", rows, "next_token", "");
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	*status = 200;
	return text;
}

static void *
channel_main(void *arg)
{
	struct channel *c = arg;
	char *buf = malloc(REQUEST_MAX), *body;

	while ((body = read_message(
		    c->fd, buf, REQUEST_MAX, sim_now() + 60000)) != NULL) {
		char method[16], path[256], head[256], *text;
		int status = 200;
		bool sent;

		if (sscanf(buf, "%15s %255s", method, path) != 2)
			break;
		text = c->worker != NULL
			   ? answer_call(c->worker, buf, path, body, &status)
			   : answer_list(&status);
		if (text == NULL) {
			sim_sleep(30000); /* silence */
			break;
		}
		snprintf(head, sizeof(head),
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, strlen(text));
		sent = send_all(c->fd, head, strlen(head)) &&
		       send_all(c->fd, text, strlen(text));
		free(text);
		if (!sent)
			break;
	}
	close(c->fd);
	free(buf);
	free(c);
	return NULL;
}

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, fn, arg) != 0) {
		fprintf(stderr, "no thread\n");
		exit(2);
	}
	pthread_attr_destroy(&attr);
}

struct listener {
	struct sim_worker *worker;
	int fd;
};

static void *
listener_main(void *arg)
{
	struct listener *l = arg;
	int fd, on = 1;

	while ((fd = accept(l->fd, NULL, NULL)) >= 0) {
		struct channel *c = malloc(sizeof(*c));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c->worker = l->worker;
		c->fd = fd;
		start_thread(channel_main, c);
	}
	return NULL;
}

static int
listen_at(const char *address)
{
	struct sockaddr_in in;
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!parse_address(address, &in) ||
	    bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(fd, 64) != 0) {
		fprintf(stderr, "can't listen on %s\n", address);
		exit(2);
	}
	return fd;
}

static void
serve(struct sim_worker *w, const char *address)
{
	struct listener *l = malloc(sizeof(*l));

	l->worker = w;
	l->fd = listen_at(address);
	if (w != NULL)
		w->listen_fd = l->fd;
	start_thread(listener_main, l);
}

/* ---- Status reports ----------------------------------------------------- */

static char *
report_text(struct sim_worker *w)
{
	char rack[16];
	json_t *o;
	char *text;

	snprintf(rack, sizeof(rack), "r%d", w->index / 3);
	o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		      "s:I,s:I,s:I}",
	    "backend", "pool", "address", w->address, "zone", "here", "version",
	    "v1", "slots", 8, "state", w->draining ? "draining" : "ready",
	    "cold_remaining_ms", 0, "capacity", "cpu", WORKER_CPU_MILLI,
	    "mem_mb", WORKER_MEM_MB, "gpu", 0, "labels", "a", rack, "clock_ms",
	    (json_int_t)worker_clock(w), "seq", (json_int_t)++w->seq, "born",
	    (json_int_t)w->born);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static void
pick_control(char address[32])
{
	snprintf(address, 32, "%s", sim.control[rand() % sim.cells]);
}

bool
sim_beat(struct sim_worker *w)
{
	char address[32], path[64], answer[512], *text;
	const char *url;
	json_t *o;
	int status;

	pthread_mutex_lock(&sim.lock);
	text = report_text(w);
	snprintf(address, sizeof(address), "%s", w->beat_address);
	pthread_mutex_unlock(&sim.lock);
	if (address[0] == '\0')
		pick_control(address);
	snprintf(path, sizeof(path), "/api/instances/%s", w->id);
	status =
	    call_control(address, "PUT", path, text, answer, sizeof(answer));
	free(text);
	o = json_loads(answer, 0, NULL);
	url = json_string_value(json_object_get(o, "heartbeat_url"));
	pthread_mutex_lock(&sim.lock);
	w->beat_address[0] = '\0';
	if (status == 200 && url != NULL && strlen(url) > 7)
		snprintf(w->beat_address, 32, "%s", url + 7);
	pthread_mutex_unlock(&sim.lock);
	json_decref(o);
	return status == 200;
}

static void *
report_main(void *arg)
{
	struct sim_worker *w = arg;

	for (;;) {
		if (w->reports && !sim_beat(w) && w->reports)
			sim_beat(w);
		sim_sleep(HEARTBEAT_MS);
	}
	return NULL;
}

int
sim_announce_end(struct sim_worker *w)
{
	char address[32], path[64];

	snprintf(address, sizeof(address), "%s", w->beat_address);
	if (address[0] == '\0')
		pick_control(address);
	snprintf(path, sizeof(path), "/api/instances/%s", w->id);
	return call_control(address, "DELETE", path, NULL, NULL, 0);
}

void
sim_end_worker(struct sim_worker *w, const char *why)
{
	pthread_mutex_lock(&sim.lock);
	sim_record("%s %s; what ran on it ends: %d", w->id, why, w->n_runs);
	w->reports = false;
	w->up = false;
	w->listed = false;
	while (w->n_runs > 0) {
		struct sim_run ended = w->runs[0];

		remove_run(w, &w->runs[0]);
		if (sim.on_end != NULL)
			sim.on_end(w, &ended, "gone");
	}
	pthread_cond_broadcast(&sim.ended);
	pthread_mutex_unlock(&sim.lock);
}

/* ---- Clients and the operator ------------------------------------------- */

bool
sim_manifest(const char *manifest, int attempts)
{
	while (attempts-- > 0) {
		char address[32];
		int status;

		pick_control(address);
		status = call_control(
		    address, "PUT", "/api/config", manifest, NULL, 0);
		if (status == 200) {
			sim_record("the operator's manifest is acknowledged");
			return true;
		}
		sim_sleep(200);
	}
	return false;
}

int
sim_submit(const char *path, const char *job)
{
	int i, status = 0;

	for (i = 0; i < SUBMIT_ATTEMPTS; i++) {
		status = sim_http(sim.front, "POST", path, "jobs.example", job,
		    CLIENT_WAIT_MS, NULL, 0, NULL);
		sim_record("POST %s %s: %d", path, job, status);
		if (status == 200 || (status >= 400 && status < 500))
			break;
		sim_sleep(200);
	}
	return status;
}

void
sim_state(const char *path, char *state, size_t size)
{
	char answer[256];
	int status = sim_http(sim.front, "GET", path, "jobs.example", NULL,
	    CLIENT_WAIT_MS, answer, sizeof(answer), NULL);
	json_t *o = json_loads(answer, 0, NULL);
	const char *text = json_string_value(json_object_get(o, "state"));

	snprintf(state, size, "%s", status == 200 && text != NULL ? text : "");
	sim_record("GET %s: %d %s", path, status, answer);
	json_decref(o);
}

struct sim_worker *
sim_find(const char *job, struct sim_run *run)
{
	struct sim_worker *found = NULL;
	int i, k;

	pthread_mutex_lock(&sim.lock);
	for (i = 0; i < sim.workers; i++) {
		struct sim_worker *w = &sim.worker[i];

		for (k = 0; w->up && k < w->n_runs; k++) {
			if (strncmp(w->runs[k].task, job, strlen(job)) != 0)
				continue;
			found = w;
			if (run != NULL)
				*run = w->runs[k];
		}
	}
	pthread_mutex_unlock(&sim.lock);
	return found;
}

int
sim_count(const char *job)
{
	int i, k, n = 0;

	pthread_mutex_lock(&sim.lock);
	for (i = 0; i < sim.workers; i++) {
		const struct sim_worker *w = &sim.worker[i];

		for (k = 0; w->up && k < w->n_runs; k++)
			n += strncmp(w->runs[k].task, job, strlen(job)) == 0;
	}
	pthread_mutex_unlock(&sim.lock);
	return n;
}

/* ---- Construction ------------------------------------------------------- */

void
sim_start(const char *record)
{
	char provider[32];
	int i;

	record_file = fopen(record, "w");
	if (record_file == NULL) {
		fprintf(stderr, "can't write %s\n", record);
		exit(2);
	}
	record_start = sim_now();
	srand((unsigned)time(NULL));
	for (i = 0; i < sim.cells; i++)
		snprintf(
		    sim.control[i], 32, "127.0.0.%d:%d", 10 + i, sim.base + 10);
	snprintf(sim.front, sizeof(sim.front), "127.0.1.10:%d", sim.base + 20);
	snprintf(provider, sizeof(provider), "127.0.3.1:%d", sim.base + 41);
	serve(NULL, provider);
	for (i = 0; i < sim.workers; i++) {
		struct sim_worker *w = &sim.worker[i];

		w->index = i;
		snprintf(w->id, sizeof(w->id), "i-%08x", i + 1);
		snprintf(w->address, sizeof(w->address), "127.0.2.%d:%d",
		    10 + i, sim.base + 30);
		w->born = sim_unix();
		w->clock_zero = sim_now() - 5000 - 1000 * (uint64_t)i;
		w->up = w->listed = w->reports = true;
		serve(w, w->address);
	}
	start_thread(tick_main, NULL);
	for (i = 0; i < sim.workers; i++)
		start_thread(report_main, &sim.worker[i]);
}
