/*
 * A worker starts again under its id, gets lasting tasks and is lost for good.
 * Then the leader is killed. The next leader waits for a lease that the lost
 * worker cannot have, and the tasks don't run though another worker is idle.
 */
#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOSS_MS 3000 /* from the worker's restart until it is lost */
#define KILL_MS 200  /* from then until the leader is killed */
#define WORKERS 8
#define TASKS   16
#define JOB     "00000000000000f1"
#define BODY                                                                   \
	"{\"task_spec\":\"lasts\",\"steps\":[{\"count\":16,\"cpu\":2000,"      \
	"\"mem_mb\":100,\"estimate_ms\":1000,\"long_running\":true}]}"

/*
 * The rule: from 6 s after the last run on, in any 3 s that are calm like the
 * 4 s before them. Calm begins CONTACT_MS after the killed replica is back.
 */
#define AFTER_RUN_MS 6000
#define WITHOUT_MS   3000
#define CALM_MS      4000
#define CONTACT_MS   3000
#define BACK_MS      500 /* from the kill until the replica is back */
#define OBSERVE_MS   30000

static struct worker workers[WORKERS], *const a = &workers[0];

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

/* Number of the replica that leads: the others redirect a read. */
static int
find_leader(void)
{
	struct response r;
	int i;

	for (i = 0; i < n_controls; i++) {
		http_call(controls[i], "GET", "/api/config",
		    "Host: control\r\n", "", 1000, &r);
		if (r.status == 200)
			return i;
	}
	return -1;
}

int
main(void)
{
	struct response r;
	char *address, name[16];
	uint64_t lost_at, judged_from, back_at = 0;
	int leader, n;

	standin_init();
	address = worker_address(0);
	workers_start(workers, WORKERS);
	if (!wait_ready(one_queue))
		return 2;
	sleep_until(now_ms() + 3000);
	if (trouble()) {
		worker_end(a);
		sleep_until(now_ms() + 500);
		worker_start(a, "i-0", address, 'a');
	}
	sleep_until(now_ms() + 1000);
	client_call(0, "POST", JOB, BODY, 3000, &r);
	if (r.status != 200)
		return 2;
	sleep_until(now_ms() + LOSS_MS - 1000);
	if (count_tasks() != TASKS)
		return 2;

	leader = find_leader();
	if (leader < 0)
		return 2;
	lost_at = now_ms();
	if (trouble()) {
		worker_end(a);
		record("worker i-0 is lost for good");
		sleep_until(lost_at + KILL_MS);
		snprintf(name, sizeof(name), "CORE_%d", leader);
		kill(pid_of(name), SIGKILL);
		record("the leader, core %d, is killed; run.sh starts it again",
		    leader);
	}
	judged_from = KILL_MS + BACK_MS + CONTACT_MS + CALM_MS;
	if (judged_from < AFTER_RUN_MS)
		judged_from = AFTER_RUN_MS;
	judged_from += lost_at;
	while (now_ms() < lost_at + OBSERVE_MS && back_at == 0) {
		n = count_tasks();
		if (n == TASKS)
			back_at = now_ms();
		sleep_until(now_ms() + 10);
	}
	record("all tasks run again %lu ms after the loss (0: never)",
	    back_at > 0 ? (unsigned long)(back_at - lost_at) : 0);
	if (back_at > 0 && back_at < judged_from + WITHOUT_MS)
		return 0;
	record("BROKEN LOST: tasks that last did not run in the %d ms from "
	       "%lu ms after the loss on, with seven workers idle",
	    WITHOUT_MS, (unsigned long)(judged_from - lost_at));
	return 1;
}
