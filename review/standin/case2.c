/*
 * A worker says that it leaves, in a request that a partition holds back. It
 * ends without an ack, as the page says, and starts again under its id. The
 * request arrives after the new life has registered and has work.
 */
#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CUT_MS     5000 /* the partition of the worker */
#define RESEND_MS  1200 /* until the kernel sends the bytes again after it */
#define DRAIN_MS   2000
#define OBSERVE_MS 5000
#define WORKERS    8
#define TASKS      16
#define JOB        "00000000000000a1"

static struct worker workers[WORKERS], *const a = &workers[0];
static int starts, starts_at_a, twice;

static void
check_start(struct worker *w, const char *task, unsigned run_id)
{
	starts++;
	starts_at_a += w == a;
	if (count_runs(task) < 2)
		return;
	twice++;
	record("BROKEN TWICE: %s run %u starts on %s while another run of it "
	       "is at work",
	    task, run_id, w->id);
}

struct departure {
	uint64_t send_at;
	uint64_t born;
	int status;
};

static void *
send_departure(void *arg)
{
	struct departure *d = arg;
	struct response r;
	char at[128], body[64];
	int node, follow;

	snprintf(body, sizeof(body), "{\"born\":%lu}", (unsigned long)d->born);
	sleep_until(d->send_at);
	for (node = 0; node < n_controls && d->status != 200; node++) {
		snprintf(at, sizeof(at), "%s", controls[node]);
		for (follow = 0; follow < 3; follow++) {
			http_call(at, "DELETE", "/api/instances/i-0",
			    "Host: control\r\n", body, 1000, &r);
			if (r.status != 307)
				break;
			sscanf(r.location, "%127[^/]", at);
		}
		d->status = r.status;
	}
	record("worker i-0: the DELETE of the life born %lu arrives, answered "
	       "%d",
	    (unsigned long)d->born, d->status);
	return NULL;
}

int
main(void)
{
	struct departure leave = {.status = 0};
	struct response r;
	char *address = NULL, job[256];
	uint64_t cut_at, since;
	pthread_t sender;

	standin_init();
	address = worker_address(0);
	on_start = check_start;
	workers_start(workers, WORKERS);
	if (!wait_ready(one_queue))
		return 2;
	sleep_until(now_ms() + 3000);

	lock();
	a->draining = true;
	leave.born = a->born_ms;
	unlock();
	if (worker_report(a) != 200)
		return 2;
	record("worker i-0: the ack of its draining");
	sleep_until(now_ms() + DRAIN_MS);
	cut_at = now_ms();
	record("worker i-0: sends its DELETE%s",
	    trouble() ? "; a partition holds it back" : "");
	a->cut = trouble();
	leave.send_at = trouble() ? cut_at + CUT_MS + RESEND_MS : cut_at;
	pthread_create(&sender, NULL, send_departure, &leave);
	sleep_until(cut_at + 1000);
	worker_end(a);

	sleep_until(cut_at + CUT_MS);
	worker_start(a, "i-0", address, 'a');
	sleep_until(now_ms() + 300);
	snprintf(job, sizeof(job),
	    "{\"task_spec\":\"work "
	    "8000\",\"steps\":[{\"count\":%d,\"cpu\":3000,"
	    "\"mem_mb\":100,\"estimate_ms\":8000}]}",
	    TASKS);
	client_call(0, "POST", JOB, job, 3000, &r);
	if (r.status != 200)
		return 2;
	since = now_ms();
	while (starts < TASKS && now_ms() < since + 700)
		sleep_until(now_ms() + 5);
	record("%d of %d tasks have started, %d of them on i-0", starts, TASKS,
	    starts_at_a);
	if (starts_at_a == 0)
		return 2;
	pthread_join(sender, NULL);
	sleep_until(cut_at + CUT_MS + RESEND_MS + OBSERVE_MS);
	record("end: %d starts beside another run of the same task", twice);
	return twice > 0;
}
