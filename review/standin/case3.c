/*
 * An edge machine is cut off from the core for a moment while a client hands a
 * job in there. The client leaves and cancels the job at another edge machine,
 * which acknowledges that. Then the cut ends, and the job is accepted.
 */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX(a, b) ((a) > (b) ? (a) : (b))

#define CUT_MS      1500
#define PATIENCE_MS 500 /* of the client, of the 3,000 ms in X-Deadline-Ms */
#define OBSERVE_MS  15000

/* Bounds of the deployment, in ms. */
#define CANCEL_MS     3000
#define STOP_GRACE_MS 400
#define CONTACT_MS    3000

#define TASKS 4
#define JOB   "00000000000000b1"
#define BODY                                                                   \
	"{\"task_spec\":\"lasts\",\"steps\":[{\"count\":4,\"cpu\":2000,"       \
	"\"mem_mb\":100,\"estimate_ms\":1000,\"long_running\":true}]}"

static struct worker workers[2];
static uint64_t acked_at; /* of the cancelling */

/* Number of the job's tasks that are at work. */
static int
count_tasks(void)
{
	char task[64];
	int i, n = 0;

	lock();
	for (i = 0; i < TASKS; i++) {
		snprintf(task, sizeof(task), JOB ".0.0.%d", i);
		n += count_runs(task) > 0;
	}
	unlock();
	return n;
}

/* Hands the job in and closes the channel after PATIENCE_MS. */
static void
submit(void)
{
	int fd = http_connect(fronts[0], 1000);
	struct response r;

	if (fd < 0 ||
	    !http_send(fd, "POST", QUEUE_PREFIX JOB,
		"Host: " QUEUE_HOST "\r\nX-Deadline-Ms: 3000\r\n", BODY))
		exit(2);
	record("client: POST %s sent to edge 0", JOB);
	http_receive(fd, PATIENCE_MS, &r);
	close(fd);
	record("client: POST %s answered %d %s (0: no answer, it leaves)", JOB,
	    r.status, r.body);
}

int
main(void)
{
	struct response r;
	uint64_t cut_at, judged_from;
	int most = 0, n;

	standin_init();
	proxies_start();
	workers_start(workers, 2);
	if (!wait_ready(one_queue))
		return 2;
	sleep_until(now_ms() + 3000);

	cut_at = now_ms();
	if (trouble())
		cut_begin();
	sleep_until(cut_at + 100);
	submit();
	do {
		client_call(1, "DELETE", JOB, "", 1000, &r);
	} while (r.status != 200 && r.status != 410 && now_ms() < 30000);
	acked_at = now_ms();
	record(
	    "client: the job's cancelling is acknowledged with %d", r.status);
	sleep_until(cut_at + CUT_MS);
	if (trouble())
		cut_end();
	/* No impairment is near from CONTACT_MS after the end of the cut on. */
	judged_from = MAX(
	    acked_at + CANCEL_MS + STOP_GRACE_MS, cut_at + CUT_MS + CONTACT_MS);
	sleep_until(judged_from);
	while (now_ms() < judged_from + OBSERVE_MS) {
		n = count_tasks();
		if (n > 0 && most == 0)
			record("BROKEN UNASKED: %d tasks of the job run %lu ms "
			       "after the ack of its cancelling",
			    n, (unsigned long)(now_ms() - acked_at));
		most = MAX(most, n);
		sleep_until(now_ms() + 20);
	}
	client_call(1, "GET", JOB, "", 1000, &r);
	record("end: %d tasks of the cancelled job still run", count_tasks());
	return most > 0;
}
