/*
 * Nothing that the core sends reaches an edge machine for a moment. A client
 * hands a job in there; it is accepted, but the reply is lost. The operator
 * drops the job's route meanwhile. After the cut the edge machine sends the job
 * again and rejects it, though it runs.
 */
#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CUT_MS     2200
#define DIAL_MS    300 /* until the edge machine has a new channel after it */
#define POST_MS    100 /* from the begin of the cut until the client's call */
#define OBSERVE_MS 5000
#define JOB        "00000000000000c1"
#define BODY                                                                   \
	"{\"task_spec\":\"work 3000\",\"steps\":[{\"count\":4,"                \
	"\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":3000}]}"

#define ROUTE(name, prefix)                                                    \
	"{\"name\":\"" name "\",\"host\":\"" QUEUE_HOST                        \
	"\",\"path_prefix\":\"" prefix                                         \
	"\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"                  \
	"\"target_latency_ms\":250,\"priority\":0,\"backend\":\"pool\","       \
	"\"max_attempts\":3,\"stretch\":1.5}"
#define REST                                                                   \
	"],\"backends\":[{\"name\":\"pool\",\"health_path\":\"/health\","      \
	"\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"            \
	"\"admission_check\":false,\"standby\":false}],"                       \
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"    \
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"

static const char first_manifest[] = "{\"version\":1,\"routes\":[" ROUTE(
    "r", QUEUE_PREFIX) "," ROUTE("other", "/other/") REST;
static const char second_manifest[] =
    "{\"version\":2,\"routes\":[" ROUTE("other", "/other/") REST;

static struct worker workers[2];
static int starts;
static struct response answer;

static void
check_start(struct worker *w, const char *task, unsigned run_id)
{
	(void)w;
	(void)run_id;
	starts += strncmp(task, JOB, strlen(JOB)) == 0;
}

static void *
submit(void *arg)
{
	(void)arg;
	client_call(0, "POST", JOB, BODY, 3000, &answer);
	return NULL;
}

int
main(void)
{
	uint64_t sent_at;
	pthread_t client;
	bool broken;

	standin_init();
	proxies_start();
	on_start = check_start;
	workers_start(workers, 2);
	if (!wait_ready(first_manifest))
		return 2;
	sleep_until(now_ms() + 3000);

	cut.one_way = true;
	if (trouble())
		cut_begin();
	sleep_until(now_ms() + POST_MS);
	sent_at = now_ms();
	pthread_create(&client, NULL, submit, NULL);
	sleep_until(sent_at + 500);
	if (!put_manifest(second_manifest, 1000))
		return 2;
	record("operator: version 2, without the job's route, is acknowledged");
	sleep_until(sent_at - POST_MS + CUT_MS + DIAL_MS);
	if (trouble())
		cut_end();
	pthread_join(client, NULL);
	sleep_until(sent_at + OBSERVE_MS);
	broken = starts > 0 && (answer.status == 404 || answer.status == 429 ||
				   answer.status == 503);
	if (broken)
		record("BROKEN REFUSED: the only attempt was rejected with %d, "
		       "and %d tasks have started",
		    answer.status, starts);
	record("end: answer %d, %d starts", answer.status, starts);
	return broken;
}
