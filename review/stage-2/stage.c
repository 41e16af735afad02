/*
 * NAME
 *	stage - stand-ins for the scripts of the second review
 *
 * SYNOPSIS
 *	stage workers RECORD POOL CONTROL[,CONTROL...] IP:PORT ...
 *	stage provider IP:PORT DIRECTORY POOL
 *	stage call METHOD IP:PORT HOST PATH [BODY]
 *
 * DESCRIPTION
 *	"workers" plays one worker at each address, as PROTOCOL.md describes
 *	them (service discovery, running tasks), until it is killed. It appends
 *	one line to RECORD for each start, end, refusal, stop, acknowledged end
 *	and lapsed lease, with the time in ms first.
 *
 *	A task's work is named by its task_spec: "MIN MAX [CHECKPOINT_MS
 *	[CHECKPOINT_BYTES]]". It takes between MIN and MAX ms, by its name; a
 *	task with CHECKPOINT_MS makes a checkpoint of CHECKPOINT_BYTES
 *	characters after each such time of work.
 *
 *	At SIGUSR1 the workers report that they drain, go on for DRAIN_MS after
 *	the ack, send DELETE and end. With the variable UP set to a directory,
 *	each worker has a file with its id there as long as it exists.
 *
 *	A task whose MAX is 0 lasts: it is at work 100 ms after its start.
 *
 *	"provider" answers GET /api/machines with one machine for each file in
 *	the directory.
 *
 *	"call" sends one request, follows two redirects (none if the variable
 *	NO_REDIRECT is set), and prints the status and the body; "000" when
 *	there is no answer within 3 s.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define BODY_MAX       (4 * 1024 * 1024)
#define ENDS_AT_A_TIME 500 /* "The others are returned again (500 at a time)" */
#define HEARTBEAT_MS   1500
#define STOP_MS	       50
#define HOLD_MAX_MS    10000
#define CPU_MILLI      32000
#define MEM_MB	       131072
#define WORKERS_MAX    64
#define RUNS_MAX       20000
#define DRAIN_MS       7000 /* after the ack; drain_ms is the least */

struct run {
	char task[64];
	char checkpoint[256]; /* the latest one, "" for none */
	char resumed[256];    /* the one it was started with */
	uint32_t number;
	int64_t end_at;	  /* done at this time */
	int64_t stop_at;  /* 0, or stopped at this time */
	int64_t began_at; /* with the work that was saved before */
	int64_t checkpoint_ms;
	int checkpoint_bytes;
	uint32_t checkpoints;
	bool open;
};

struct end {
	int64_t number;
	char task[64];
	char checkpoint[256];
	uint32_t run;
	const char *how;
};

/* Highest number of a run of a task that was stopped or ended here. */
struct closed {
	char task[64];
	uint32_t run;
};

struct worker {
	char address[64];
	char id[32];
	char rack[16];
	int64_t born_ms;
	int64_t born_at;
	int64_t until_ms;
	int64_t fence;
	int64_t acked;
	int64_t next_end;
	int64_t seq;
	struct run *runs;
	int n_runs;
	struct end *ends;
	int n_ends;
	struct closed *closed;
	int n_closed;
	pthread_cond_t changed;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct worker workers[WORKERS_MAX];
static int n_workers;
static FILE *record;
static const char *pool;
static volatile sig_atomic_t draining;
static char controls[16][64];
static int n_controls;

static int64_t
mono_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t
unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t
clock_of(const struct worker *w)
{
	return mono_ms() - w->born_at + 1000;
}

__attribute__((format(printf, 1, 2))) static void
note(const char *format, ...)
{
	va_list ap;

	fprintf(record, "%lld ", (long long)unix_ms());
	va_start(ap, format);
	vfprintf(record, format, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

/* ---- HTTP --------------------------------------------------------------- */

struct message {
	char start[1024]; /* request or status line */
	char instance[128];
	char location[256];
	char *body;
	size_t len;
};

static int
connect_to(const char *address, int timeout_ms)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct timeval tv = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	char ip[64];
	char *colon;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	snprintf(ip, sizeof(ip), "%s", address);
	if ((colon = strchr(ip, ':')) == NULL)
		return -1;
	*colon = '\0';
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
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

/* Reads a head byte by byte, which is enough for a stand-in, and the body. */
static bool
read_message(int fd, struct message *m)
{
	char line[2048];
	size_t used = 0, got = 0;
	bool first = true;
	char c;

	memset(m, 0, sizeof(*m));
	for (;;) {
		if (recv(fd, &c, 1, 0) != 1)
			return false;
		if (c == '\r')
			continue;
		if (c != '\n') {
			if (used < sizeof(line) - 1)
				line[used++] = c;
			continue;
		}
		line[used] = '\0';
		if (used == 0)
			break;
		used = 0;
		if (first)
			snprintf(m->start, sizeof(m->start), "%.1000s", line);
		else if (strncasecmp(line, "Content-Length:", 15) == 0)
			m->len = strtoul(line + 15, NULL, 10);
		else if (strncasecmp(line, "X-Expected-Instance:", 20) == 0)
			sscanf(line + 20, " %127s", m->instance);
		else if (strncasecmp(line, "Location:", 9) == 0)
			sscanf(line + 9, " %255s", m->location);
		first = false;
	}
	if (m->len > BODY_MAX)
		return false;
	m->body = calloc(1, m->len + 1);
	while (got < m->len) {
		ssize_t n = recv(fd, m->body + got, m->len - got, 0);

		if (n <= 0) {
			free(m->body);
			return false;
		}
		got += (size_t)n;
	}
	return true;
}

/* Returns the status, 0 without an answer; *answer is to be freed. */
static int
request(const char *address, const char *method, const char *host,
    const char *path, const char *body, int timeout_ms, char **answer)
{
	char target[64], where[256], head[1024];
	struct message m;
	int redirects, status = 0;

	*answer = NULL;
	snprintf(target, sizeof(target), "%s", address);
	snprintf(where, sizeof(where), "%s", path);
	for (redirects = 0; redirects <= 2; redirects++) {
		int fd = connect_to(target, timeout_ms);
		bool ok;

		if (fd < 0)
			return 0;
		snprintf(head, sizeof(head),
		    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
		    "Content-Type: application/json\r\n"
		    "X-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
		    method, where, host, timeout_ms, strlen(body));
		ok = send_all(fd, head, strlen(head)) &&
		     send_all(fd, body, strlen(body)) && read_message(fd, &m);
		close(fd);
		if (!ok)
			return 0;
		status = atoi(m.start + 9);
		if (status != 307 || getenv("NO_REDIRECT") != NULL) {
			*answer = m.body;
			return status;
		}
		free(m.body);
		if (sscanf(m.location, "http://%63[^/]%255s", target, where) !=
		    2)
			return 0;
	}
	return status;
}

/* ---- Runs --------------------------------------------------------------- */

static uint32_t
hash(const char *s)
{
	uint32_t h = 2166136261u;

	while (*s != '\0')
		h = (h ^ (uint8_t)*s++) * 16777619u;
	return h ^ h >> 15;
}

static struct closed *
closed_of(struct worker *w, const char *task)
{
	int i;

	for (i = 0; i < w->n_closed; i++) {
		if (strcmp(w->closed[i].task, task) == 0)
			return &w->closed[i];
	}
	return NULL;
}

static void
close_run(struct worker *w, const char *task, uint32_t run)
{
	struct closed *c = closed_of(w, task);

	if (c == NULL && w->n_closed < RUNS_MAX) {
		c = &w->closed[w->n_closed++];
		snprintf(c->task, sizeof(c->task), "%s", task);
		c->run = run;
	} else if (c != NULL && c->run < run) {
		c->run = run;
	}
}

static void
end_run(struct worker *w, struct run *r, const char *how)
{
	struct end *e;

	r->open = false;
	close_run(w, r->task, r->number);
	note("end worker=%s task=%s run=%u how=%s number=%lld", w->id, r->task,
	    r->number, how, (long long)w->next_end);
	if (w->n_ends < RUNS_MAX) {
		e = &w->ends[w->n_ends++];
		e->number = w->next_end++;
		snprintf(e->task, sizeof(e->task), "%s", r->task);
		snprintf(e->checkpoint, sizeof(e->checkpoint), "%s",
		    r->checkpoint);
		e->run = r->number;
		e->how = how;
	}
	pthread_cond_broadcast(&w->changed);
}

static void
make_checkpoint(struct worker *w, struct run *r)
{
	char name[80];
	size_t len;

	snprintf(name, sizeof(name), "/%s/%06u-%u", r->task, r->checkpoints,
	    r->number);
	len = (size_t)r->checkpoint_bytes;
	if (len < strlen(name))
		len = strlen(name);
	if (len > sizeof(r->checkpoint) - 1)
		len = sizeof(r->checkpoint) - 1;
	/* The part that differs stands at the end, as in a path. */
	memset(r->checkpoint, 'c', len);
	memcpy(r->checkpoint + len - strlen(name), name, strlen(name));
	r->checkpoint[len] = '\0';
	note("checkpoint worker=%s task=%s run=%u value=%s", w->id, r->task,
	    r->number, r->checkpoint);
}

/* Ends what is due; all of it when the lease is over. */
static void
advance(struct worker *w)
{
	int64_t now = mono_ms();
	int i;

	if (w->until_ms != 0 && clock_of(w) > w->until_ms) {
		note("lease-over worker=%s", w->id);
		for (i = 0; i < w->n_runs; i++) {
			if (w->runs[i].open)
				end_run(w, &w->runs[i], "lapsed");
		}
		w->until_ms = 0;
	}
	for (i = 0; i < w->n_runs; i++) {
		struct run *r = &w->runs[i];

		if (!r->open)
			continue;
		if (r->stop_at != 0 && now >= r->stop_at) {
			end_run(w, r, "stopped");
			continue;
		}
		while (r->checkpoint_ms > 0 &&
		       now >= r->began_at + (r->checkpoints + 1) *
						r->checkpoint_ms) {
			r->checkpoints++;
			make_checkpoint(w, r);
		}
		if (r->end_at != 0 && now >= r->end_at)
			end_run(w, r, "done");
	}
	/* Forget closed rows at the end of the table. */
	while (w->n_runs > 0 && !w->runs[w->n_runs - 1].open)
		w->n_runs--;
}

static void
extend(struct worker *w, const json_t *o)
{
	int64_t until = json_integer_value(json_object_get(o, "until_ms"));
	int64_t most = clock_of(w) + HOLD_MAX_MS;

	if (until > most)
		until = most;
	if (until > w->until_ms)
		w->until_ms = until;
}

static const char *
text_of(const json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	return text != NULL ? text : "";
}

static json_t *
answer_of(const struct worker *w)
{
	return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)clock_of(w),
	    "born", (json_int_t)w->born_ms);
}

static int
refuse(struct worker *w, json_t *answer, const char *reason, const json_t *o)
{
	json_object_set_new(answer, "reason", json_string(reason));
	note("refused worker=%s task=%s run=%lld reason=%s", w->id,
	    text_of(o, "task"),
	    (long long)json_integer_value(json_object_get(o, "run_id")),
	    reason);
	return 409;
}

static struct run *
find_run(struct worker *w, const char *task)
{
	int i;

	for (i = 0; i < w->n_runs; i++) {
		if (w->runs[i].open && strcmp(w->runs[i].task, task) == 0)
			return &w->runs[i];
	}
	return NULL;
}

static int
start(struct worker *w, const json_t *o, json_t *answer)
{
	const char *task = text_of(o, "task");
	const char *from = text_of(o, "checkpoint");
	uint32_t number =
	    (uint32_t)json_integer_value(json_object_get(o, "run_id"));
	struct closed *c = closed_of(w, task);
	struct run *r = find_run(w, task);
	long long min = 1000, max = 1000, checkpoint_ms = 0, bytes = 0;
	long long saved = 0;
	const char *last;

	if (r != NULL && r->number == number) {
		extend(w, o);
		return 200;
	}
	if ((c != NULL && c->run >= number) || r != NULL) {
		extend(w, o);
		return refuse(w, answer, "old", o);
	}
	if (json_integer_value(json_object_get(o, "until_ms")) <= clock_of(w))
		return refuse(w, answer, "late", o);
	extend(w, o);
	if (w->n_runs >= RUNS_MAX)
		return refuse(w, answer, "room", o);
	sscanf(text_of(o, "task_spec"), "%lld %lld %lld %lld", &min, &max,
	    &checkpoint_ms, &bytes);
	r = &w->runs[w->n_runs++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	snprintf(r->checkpoint, sizeof(r->checkpoint), "%s", from);
	r->number = number;
	r->open = true;
	r->checkpoint_ms = checkpoint_ms;
	r->checkpoint_bytes = (int)bytes;
	last = strrchr(from, '/');
	if (last != NULL && checkpoint_ms > 0)
		saved = strtoll(last + 1, NULL, 10);
	r->checkpoints = (uint32_t)saved;
	r->began_at = mono_ms() - saved * checkpoint_ms;
	r->end_at = max > 0 ? r->began_at + min : 0;
	if (max > min)
		r->end_at += hash(task) % (uint32_t)(max - min);
	note("start worker=%s task=%s run=%u checkpoint=%s", w->id, task,
	    number, from);
	return 200;
}

static int
stop(struct worker *w, const json_t *o)
{
	const char *task = text_of(o, "task");
	uint32_t number =
	    (uint32_t)json_integer_value(json_object_get(o, "run_id"));
	struct run *r = find_run(w, task);

	note("stop worker=%s task=%s run=%u there=%d", w->id, task, number,
	    r != NULL && r->number == number);
	if (r != NULL && r->number == number) {
		if (r->stop_at == 0)
			r->stop_at = mono_ms() + STOP_MS;
	} else {
		close_run(w, task, number);
	}
	return 200;
}

/* Waits up to wait_ms for an end that has not been acknowledged. */
static void
wait_for_end(struct worker *w, int64_t wait_ms)
{
	int64_t give_up_at = mono_ms() + (wait_ms < 2000 ? wait_ms : 2000);

	while (w->n_ends == 0 && mono_ms() < give_up_at) {
		struct timespec t;

		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 5 * 1000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_nsec -= 1000000000;
			t.tv_sec++;
		}
		pthread_cond_timedwait(&w->changed, &lock, &t);
		advance(w);
	}
}

/* Share of the work that is done. */
static int
percent_of(const struct run *r)
{
	int64_t worked = mono_ms() - r->began_at;

	if (r->end_at == 0)
		return worked >= 100 ? 100 : 0;
	return (int)(worked * 100 / (r->end_at - r->began_at + 1));
}

static int
hold(struct worker *w, const json_t *o, json_t **answer)
{
	json_t *running = json_array(), *ended = json_array();
	int64_t acked = json_integer_value(json_object_get(o, "last_acked"));
	int i, gone = 0;

	extend(w, o);
	if (acked > w->acked && acked < w->next_end) {
		w->acked = acked;
		note("acked worker=%s number=%lld", w->id, (long long)acked);
	}
	while (gone < w->n_ends && w->ends[gone].number <= w->acked)
		gone++;
	w->n_ends -= gone;
	memmove(w->ends, w->ends + gone, (size_t)w->n_ends * sizeof(*w->ends));
	wait_for_end(w, json_integer_value(json_object_get(o, "wait_ms")));
	for (i = 0; i < w->n_runs; i++) {
		const struct run *r = &w->runs[i];

		if (r->open)
			json_array_append_new(running,
			    json_pack("[s,i,s,i,i]", r->task, (int)r->number,
				r->checkpoint, percent_of(r), 20));
	}
	for (i = 0; i < w->n_ends && i < ENDS_AT_A_TIME; i++) {
		const struct end *e = &w->ends[i];

		json_array_append_new(ended,
		    json_pack("[I,s,i,s,s]", (json_int_t)e->number, e->task,
			(int)e->run, e->how, e->checkpoint));
	}
	if (w->n_ends > ENDS_AT_A_TIME)
		note("list-cut worker=%s ends=%d listed=%d", w->id, w->n_ends,
		    ENDS_AT_A_TIME);
	json_decref(*answer);
	*answer = answer_of(w);
	json_object_set_new(*answer, "running", running);
	json_object_set_new(*answer, "ended", ended);
	return 200;
}

static int
handle(struct worker *w, const struct message *m, json_t **answer)
{
	json_t *o = json_loadb(m->body, m->len, 0, NULL);
	int64_t fence = json_integer_value(json_object_get(o, "fencing_token"));
	int status = 400;

	advance(w);
	*answer = answer_of(w);
	if (m->instance[0] != '\0' && strcmp(m->instance, w->id) != 0) {
		json_decref(o);
		return 421;
	}
	if (fence < w->fence) {
		status = refuse(w, *answer, "fence", o);
		json_decref(o);
		return status;
	}
	w->fence = fence;
	if (strstr(m->start, " /api/run-start ") != NULL)
		status = start(w, o, *answer);
	else if (strstr(m->start, " /api/run-stop ") != NULL)
		status = stop(w, o);
	else if (strstr(m->start, " /api/hold ") != NULL)
		status = hold(w, o, answer);
	else if (strstr(m->start, " /api/pace ") != NULL)
		status = 200;
	json_decref(o);
	return status;
}

/* ---- Workers ------------------------------------------------------------ */

struct connection {
	struct worker *w;
	int fd;
};

static void *
serve(void *arg)
{
	struct connection c = *(struct connection *)arg;
	struct message m;
	char head[256];

	free(arg);
	while (read_message(c.fd, &m)) {
		json_t *answer;
		char *text;
		int status;
		bool ok;

		pthread_mutex_lock(&lock);
		status = handle(c.w, &m, &answer);
		pthread_mutex_unlock(&lock);
		text = json_dumps(answer, JSON_COMPACT);
		json_decref(answer);
		snprintf(head, sizeof(head),
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, strlen(text));
		ok = send_all(c.fd, head, strlen(head)) &&
		     send_all(c.fd, text, strlen(text));
		free(text);
		free(m.body);
		if (!ok)
			break;
	}
	close(c.fd);
	return NULL;
}

static void
spawn(void *(*f)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, f, arg) == 0)
		pthread_detach(t);
}

static int
listen_at(const char *address)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	char ip[64];
	char *colon;
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(ip, sizeof(ip), "%s", address);
	colon = strchr(ip, ':');
	*colon = '\0';
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 128) != 0) {
		perror(address);
		exit(2);
	}
	return fd;
}

static void *
accept_all(void *arg)
{
	struct worker *w = arg;
	int one = 1, fd = listen_at(w->address);

	for (;;) {
		struct connection *c = calloc(1, sizeof(*c));

		c->w = w;
		c->fd = accept(fd, NULL, NULL);
		if (c->fd < 0) {
			free(c);
			continue;
		}
		setsockopt(
		    c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		spawn(serve, c);
	}
	return NULL;
}

static char *
heartbeat_body(struct worker *w)
{
	json_t *o;
	char *text;

	pthread_mutex_lock(&lock);
	o = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		      "s:I,s:I,s:I}",
	    "backend", pool, "address", w->address, "zone", "z-1", "version",
	    "v1", "slots", 8, "state", draining ? "draining" : "ready", "cold_remaining_ms", 0,
	    "capacity", "cpu", CPU_MILLI, "mem_mb", MEM_MB, "gpu", 0, "labels",
	    "a", w->rack, "clock_ms", (json_int_t)clock_of(w), "seq",
	    (json_int_t)++w->seq, "born", (json_int_t)w->born_ms);
	pthread_mutex_unlock(&lock);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Tries the nodes in turn until one acknowledges; false if none does. */
static bool
report(const struct worker *w, const char *method, const char *body)
{
	static int next;
	char path[64], *answer;
	int tries;

	snprintf(path, sizeof(path), "/api/instances/%s", w->id);
	for (tries = 0; tries < n_controls; tries++) {
		int status = request(controls[next], method, controls[next],
		    path, body, 1000, &answer);

		free(answer);
		if (status >= 200 && status < 300)
			return true;
		next = (next + 1) % n_controls;
	}
	return false;
}

static void
up_path(const struct worker *w, char *path, size_t size)
{
	snprintf(path, size, "%s/%s", getenv("UP"), w->id);
}

/* The worker leaves: all that runs on it terminates. */
static void
leave(struct worker *w)
{
	char path[300];
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < w->n_runs; i++) {
		if (w->runs[i].open)
			note("gone worker=%s task=%s run=%u", w->id,
			    w->runs[i].task, w->runs[i].number);
	}
	pthread_mutex_unlock(&lock);
	if (getenv("UP") != NULL) {
		up_path(w, path, sizeof(path));
		unlink(path);
	}
	note("leaves worker=%s acked=%d", w->id, report(w, "DELETE", ""));
	_exit(0);
}

static void *
send_heartbeats(void *arg)
{
	struct worker *w = arg;
	int64_t acked_at = 0;

	for (;;) {
		char *body = heartbeat_body(w);
		bool drains = draining;
		bool acked = report(w, "PUT", body);
		int i;

		free(body);
		if (drains && acked && acked_at == 0) {
			acked_at = mono_ms();
			note("draining worker=%s", w->id);
		}
		for (i = 0; i < HEARTBEAT_MS / 10; i++) {
			usleep(10 * 1000);
			if (acked_at != 0 && mono_ms() >= acked_at + DRAIN_MS)
				leave(w);
			if (draining && !drains)
				break;
		}
	}
	return NULL;
}

static void
on_drain(int sig)
{
	(void)sig;
	draining = 1;
}

static void *
tick(void *arg)
{
	(void)arg;
	for (;;) {
		int i;

		pthread_mutex_lock(&lock);
		for (i = 0; i < n_workers; i++)
			advance(&workers[i]);
		pthread_mutex_unlock(&lock);
		usleep(5000);
	}
	return NULL;
}

static int
play_workers(int argc, char **argv)
{
	char *list, *one;
	int i;

	record = fopen(argv[0], "a");
	pool = argv[1];
	list = strdup(argv[2]);
	for (one = strtok(list, ","); one != NULL; one = strtok(NULL, ","))
		snprintf(controls[n_controls++], sizeof(controls[0]), "%s", one);
	for (i = 3; i < argc; i++) {
		struct worker *w = &workers[n_workers++];

		snprintf(w->address, sizeof(w->address), "%s", argv[i]);
		snprintf(w->id, sizeof(w->id), "i-%04d%04x", i,
		    (unsigned)getpid() & 0xffff);
		snprintf(w->rack, sizeof(w->rack), "r1-%d", i);
		w->born_ms = unix_ms();
		w->born_at = mono_ms();
		w->next_end = 1;
		w->runs = calloc(RUNS_MAX, sizeof(*w->runs));
		w->ends = calloc(RUNS_MAX, sizeof(*w->ends));
		w->closed = calloc(RUNS_MAX, sizeof(*w->closed));
		pthread_cond_init(&w->changed, NULL);
	}
	signal(SIGUSR1, on_drain);
	for (i = 0; i < n_workers; i++) {
		char path[300];

		up_path(&workers[i], path, sizeof(path));
		if (getenv("UP") != NULL)
			fclose(fopen(path, "w"));
		note("worker worker=%s address=%s", workers[i].id,
		    workers[i].address);
		spawn(accept_all, &workers[i]);
		spawn(send_heartbeats, &workers[i]);
	}
	tick(NULL);
	return 0;
}

/* ---- Provider ----------------------------------------------------------- */

static json_t *
list_machines(const char *directory)
{
	json_t *list = json_array();
	DIR *d = opendir(directory);
	struct dirent *e;

	while (d != NULL && (e = readdir(d)) != NULL) {
		if (e->d_name[0] != '.')
			json_array_append_new(list,
			    json_pack("{s:s+,s:s,s:s,s:s,s:[s],s:{s:i,s:i,s:i},"
				      "s:s}",
				"machine_id", "m-", e->d_name, "pool", pool,
				"state", "up", "zone", "z-1", "labels", "a",
				"capacity", "cpu", CPU_MILLI, "mem_mb", MEM_MB,
				"gpu", 0, "id", e->d_name));
	}
	if (d != NULL)
		closedir(d);
	return list;
}

struct provider_connection {
	const char *directory;
	int fd;
};

static void *
serve_provider(void *arg)
{
	struct provider_connection c = *(struct provider_connection *)arg;
	struct message m;
	char head[256];

	free(arg);
	while (read_message(c.fd, &m)) {
		json_t *answer = json_pack(
		    "{s:o}", "machines", list_machines(c.directory));
		char *text = json_dumps(answer, JSON_COMPACT);

		json_decref(answer);
		snprintf(head, sizeof(head),
		    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    strlen(text));
		if (send_all(c.fd, head, strlen(head)))
			send_all(c.fd, text, strlen(text));
		free(text);
		free(m.body);
	}
	close(c.fd);
	return NULL;
}

static int
play_provider(char **argv)
{
	int fd = listen_at(argv[0]);

	pool = argv[2];
	for (;;) {
		struct provider_connection *c = calloc(1, sizeof(*c));

		c->directory = argv[1];
		c->fd = accept(fd, NULL, NULL);
		if (c->fd >= 0)
			spawn(serve_provider, c);
	}
	return 0;
}

static int
call(int argc, char **argv)
{
	char *answer;
	int status = request(argv[1], argv[0], argv[2], argv[3],
	    argc > 4 ? argv[4] : "", 3000, &answer);

	printf("%03d %s\n", status, answer != NULL ? answer : "");
	free(answer);
	return 0;
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc >= 6 && strcmp(argv[1], "workers") == 0)
		return play_workers(argc - 2, argv + 2);
	if (argc == 5 && strcmp(argv[1], "provider") == 0)
		return play_provider(argv + 2);
	if (argc >= 6 && strcmp(argv[1], "call") == 0)
		return call(argc - 2, argv + 2);
	fprintf(stderr, "usage: stage workers|provider|call ...\n");
	return 2;
}
