/*
 * Workers leave half of their orders unanswered and carry them out late, and
 * leave gracefully meanwhile. A start that got no answer is sent again, also
 * when the worker has said long before that it drains.
 */
#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WORKERS  16
#define ROUNDS   3
#define ROUND_MS 14000

#define LATE_PERCENT 50   /* of the orders */
#define LATE_MS      5500 /* in each round */
#define JOBS_MS      100  /* between two jobs */

/* Bounds of the deployment, in ms. */
#define DRAIN_MS 2000
/* How long a worker serves beyond it. */
#define LINGER_MS 2000

static const char manifest[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"" QUEUE_HOST
    "\",\"path_prefix\":\"" QUEUE_PREFIX
    "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":250,\"priority\":0,\"backend\":\"pool\","
    "\"max_attempts\":3,\"stretch\":1.5}],\"backends\":[{\"name\":\"pool\","
    "\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admission_check\":false,\"standby\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

struct member {
	struct worker w;
	uint64_t drain_acked_at; /* 0: not draining */
	char address[32];
};

static struct member members[WORKERS];
static int broken, drains;
static volatile bool stopping;

static void
check_start(struct worker *w, const char *task, unsigned run_id)
{
	const struct member *m = (const struct member *)w; /* first field */

	if (m->drain_acked_at == 0 || w->is_late ||
	    now_ms() <= m->drain_acked_at + DRAIN_MS)
		return;
	broken++;
	record("BROKEN DRAIN: %s run %u starts on %s, %lu ms after the ack of "
	       "its draining",
	    task, run_id, w->id,
	    (unsigned long)(now_ms() - m->drain_acked_at));
}

static void
start_life(struct member *m, int n, int round)
{
	char id[32];

	snprintf(id, sizeof(id), "i-%d-%d", n, round);
	m->drain_acked_at = 0;
	worker_start(&m->w, id, m->address, 16000);
}

/* Drains, serves on for a while, says that it leaves, and ends. */
static void *
leave(void *arg)
{
	struct member *m = arg;
	struct response r;
	char path[64];
	int i;

	lock();
	m->w.draining = true;
	unlock();
	if (worker_report(&m->w) == 200) {
		lock();
		m->drain_acked_at = now_ms();
		drains++;
		unlock();
		record("worker %s: the ack of its draining", m->w.id);
	}
	usleep((DRAIN_MS + LINGER_MS) * 1000);
	snprintf(path, sizeof(path), "/api/instances/%s", m->w.id);
	for (i = 0; i < n_controls; i++)
		http_call(controls[i], "DELETE", path, "Host: control\r\n", "",
		    1000, &r);
	worker_end(&m->w);
	return NULL;
}

static void *
submit_jobs(void *arg)
{
	struct response r;
	char id[32];
	unsigned n = 0;

	(void)arg;
	while (!stopping) {
		snprintf(id, sizeof(id), "%016x", 0xd0000000U + n++);
		client_call((int)(n % 2), "POST", id,
		    "{\"task_spec\":\"work 400\",\"steps\":[{\"count\":8,"
		    "\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":400}]}",
		    3000, &r);
		usleep(JOBS_MS * 1000);
	}
	return NULL;
}

static void
set_late(int percent)
{
	int i;

	lock();
	for (i = 0; i < WORKERS; i++)
		members[i].w.late_percent = percent;
	unlock();
	record("workers leave %d of 100 orders unanswered", percent);
}

/* Half of the workers leave while orders stay unanswered; others come then. */
static void
run_round(int round)
{
	uint64_t began = now_ms();
	pthread_t threads[WORKERS];
	int i, first = round % 2;

	if (trouble())
		set_late(LATE_PERCENT);
	for (i = first; i < WORKERS; i += 2) {
		sleep_until(began + 500 + (uint64_t)i * 250);
		pthread_create(&threads[i], NULL, leave, &members[i]);
	}
	sleep_until(began + LATE_MS);
	if (trouble())
		set_late(0);
	for (i = first; i < WORKERS; i += 2)
		pthread_join(threads[i], NULL);
	for (i = first; i < WORKERS; i += 2)
		start_life(&members[i], i, round + 1);
	sleep_until(began + ROUND_MS);
}

int
main(void)
{
	pthread_t client;
	int i, base;

	standin_init();
	base = atoi(getenv("BASE_PORT"));
	srand(getenv("SEED") != NULL ? (unsigned)atoi(getenv("SEED")) : 1);
	on_start = check_start;
	for (i = 0; i < WORKERS; i++) {
		snprintf(members[i].address, sizeof(members[i].address),
		    "127.43.%d.1:%d", i, base);
		start_life(&members[i], i, 0);
	}
	if (!wait_ready(manifest))
		return 2;
	sleep_until(now_ms() + 2000);
	pthread_create(&client, NULL, submit_jobs, NULL);
	for (i = 0; i < ROUNDS; i++)
		run_round(i);
	stopping = true;
	pthread_join(client, NULL);
	record("end: %d late starts on %d workers that drained", broken, drains);
	return broken > 0;
}
