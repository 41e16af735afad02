/*
 * A worker crashes and is replaced by another one when the leader has led for
 * more than a minute. A job that comes after that never runs, though the new
 * worker is idle.
 */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LED_MS     64000 /* of the leader, when the worker crashes */
#define REPLACE_MS 1000  /* from the crash until the new worker starts */
#define JOB        "00000000000000e1"
#define BODY                                                    \
	"{\"task_spec\":\"work 500\",\"steps\":[{\"count\":2,"  \
	"\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":500}]}"

/* Bounds of the deployment, in ms. */
#define FINISH_MS  14000
#define WITHOUT_MS 3000 /* without a run, at which the rule is broken */

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

static struct worker a, b;
static int starts;

static void
check_start(struct worker *w, const char *task, unsigned run_id)
{
	(void)w;
	(void)run_id;
	starts += strncmp(task, JOB, strlen(JOB)) == 0;
}

int
main(void)
{
	struct response r;
	char address[32];
	uint64_t accepted_at;
	int base;

	standin_init();
	base = atoi(getenv("BASE_PORT"));
	on_start = check_start;
	snprintf(address, sizeof(address), "127.43.0.1:%d", base);
	worker_start(&a, "i-a", address, 32000);
	if (!wait_ready(manifest))
		return 2;
	sleep_until(now_ms() + LED_MS);
	if (trouble()) {
		worker_end(&a);
		sleep_until(now_ms() + REPLACE_MS);
		snprintf(address, sizeof(address), "127.43.1.1:%d", base);
		worker_start(&b, "i-b", address, 32000);
	}
	sleep_until(now_ms() + 3000);
	client_call(0, "POST", JOB, BODY, 3000, &r);
	if (r.status != 200)
		return 2;
	accepted_at = now_ms();
	sleep_until(accepted_at + FINISH_MS + WITHOUT_MS);
	client_call(0, "GET", JOB, "", 1000, &r);
	if (starts == 0)
		record("BROKEN LOST: no task of the job has started in %lu ms, "
		       "with a whole worker idle",
		    (unsigned long)(now_ms() - accepted_at));
	record("end: %d starts", starts);
	return starts == 0;
}
