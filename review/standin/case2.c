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

#define CUT_MS       5000 /* the partition of the worker */
#define RESEND_MS    1200 /* until the kernel sends the bytes again after it */
#define DRAIN_MS     2000
#define OBSERVE_MS   5000
#define TASKS        8
#define JOB          "00000000000000a1"

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
static int starts, starts_at_a, twice;

static void
check_start(struct worker *w, const char *task, unsigned run_id)
{
	starts++;
	starts_at_a += w == &a;
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
			http_call(at, "DELETE", "/api/instances/i-a",
			    "Host: control\r\n", body, 1000, &r);
			if (r.status != 307)
				break;
			sscanf(r.location, "%127[^/]", at);
		}
		d->status = r.status;
	}
	record("worker i-a: the DELETE of the life born %lu arrives, answered "
	       "%d",
	    (unsigned long)d->born, d->status);
	return NULL;
}

int
main(void)
{
	struct departure leave = {.status = 0};
	struct response r;
	char address_a[32], address_b[32], job[256];
	uint64_t cut_at, since;
	pthread_t sender;
	int base;

	standin_init();
	base = atoi(getenv("BASE_PORT"));
	on_start = check_start;
	snprintf(address_a, sizeof(address_a), "127.43.0.1:%d", base);
	snprintf(address_b, sizeof(address_b), "127.43.1.1:%d", base);
	worker_start(&a, "i-a", address_a, 32000);
	worker_start(&b, "i-b", address_b, 32000);
	if (!wait_ready(manifest))
		return 2;
	sleep_until(now_ms() + 3000);

	lock();
	a.draining = true;
	leave.born = a.born_ms;
	unlock();
	if (worker_report(&a) != 200)
		return 2;
	record("worker i-a: the ack of its draining");
	sleep_until(now_ms() + DRAIN_MS);
	cut_at = now_ms();
	record("worker i-a: sends its DELETE%s",
	    trouble() ? "; a partition holds it back" : "");
	a.cut = trouble();
	leave.send_at = trouble() ? cut_at + CUT_MS + RESEND_MS : cut_at;
	pthread_create(&sender, NULL, send_departure, &leave);
	sleep_until(cut_at + 1000);
	worker_end(&a);

	sleep_until(cut_at + CUT_MS);
	worker_start(&a, "i-a", address_a, 32000);
	sleep_until(now_ms() + 300);
	snprintf(job, sizeof(job),
	    "{\"task_spec\":\"work 8000\",\"steps\":[{\"count\":%d,\"cpu\":3000,"
	    "\"mem_mb\":100,\"estimate_ms\":8000}]}",
	    TASKS);
	client_call(0, "POST", JOB, job, 3000, &r);
	if (r.status != 200)
		return 2;
	since = now_ms();
	while (starts < TASKS && now_ms() < since + 700)
		sleep_until(now_ms() + 5);
	record("%d of %d tasks have started, %d of them on i-a", starts, TASKS,
	    starts_at_a);
	if (starts_at_a == 0)
		return 2;
	pthread_join(sender, NULL);
	sleep_until(cut_at + CUT_MS + RESEND_MS + OBSERVE_MS);
	record("end: %d starts beside another run of the same task", twice);
	return twice > 0;
}
