/*
 * One of eight workers crashes and comes back as a new life when the leader has
 * led for more than a minute. A job that needs its kind never runs after that,
 * though the worker is idle.
 */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LED_MS  64000 /* of the leader, when the worker crashes */
#define DOWN_MS 1000  /* from the crash until the new life begins */
#define WORKERS 8
#define JOB     "00000000000000e1"
#define BODY                                                                   \
	"{\"task_spec\":\"work 500\",\"steps\":[{\"count\":2,"                 \
	"\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":500,"                     \
	"\"requires\":\"b\"}]}"

/* Bounds of the deployment, in ms. */
#define FINISH_MS  14000
#define WITHOUT_MS 3000 /* without a run, at which the rule is broken */

static struct worker workers[WORKERS];
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
	struct worker *crashing = &workers[WORKERS - 1];
	char *address;
	struct response r;
	uint64_t accepted_at;

	standin_init();
	on_start = check_start;
	workers_start(workers, WORKERS - 1);
	address = worker_address(WORKERS - 1);
	worker_start(crashing, "i-old", address, 'b');
	if (!wait_ready(one_queue))
		return 2;
	sleep_until(now_ms() + LED_MS);
	if (trouble()) {
		worker_end(crashing);
		sleep_until(now_ms() + DOWN_MS);
		worker_start(crashing, "i-new", address, 'b');
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
