/*
 * Cases of the review. Each plays one order of events against three daemons and
 * returns 1 if a rule was broken, 0 if it held, and 2 if it could not run.
 * TROUBLE=0 plays the same without the disruption.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "stand.h"

#define DAEMONS 3
#define READY_MS 15000

static bool trouble;

static void open_cell(int workers)
{
	store_open();
	workers_open(workers);
	config_put(3, true);
	for (int d = 0; d < DAEMONS; d++)
		daemon_open(d);
	for (int d = 0; d < DAEMONS; d++) {
		if (daemon_wait_ready(d, READY_MS))
			continue;
		note("daemon %d is not ready", d);
		exit(2);
	}
	/* By now the list of daemons in the store names all of them. */
	sleep_ms(4000);
}

/* The first task of a step. */
static void task_name(int number, int step, char out[64])
{
	char id[20];

	job_id(number, id);
	snprintf(out, 64, "%s.0.%d.0", id, step);
}

#define TWO_STEPS                                                          \
	"{\"spec\":\"{\\\"run_ms\\\":2500}\",\"steps\":[{\"count\":1,"     \
	"\"cpu\":4000,\"mem_mb\":4000,\"estimate_ms\":2500},{\"count\":1," \
	"\"cpu\":4000,\"mem_mb\":4000,\"estimate_ms\":2500,\"after\":[0]}]}"

#define JOBS 8
#define FINISH_MS 14000
/* How long a job may have nothing running while there is room for it. */
#define IDLE_MS 3000

/* Returns how many jobs are neither done nor have a run for IDLE_MS. */
static int count_idle(int first, int step)
{
	bool idle[JOBS];
	char task[64];
	int n = 0;

	for (int i = 0; i < JOBS; i++)
		idle[i] = true;
	for (int k = 0; k <= IDLE_MS / 100; k++) {
		for (int i = 0; i < JOBS; i++) {
			task_name(first + i, step, task);
			if (task_runs(task) || task_dones(task))
				idle[i] = false;
		}
		sleep_ms(100);
	}
	for (int i = 0; i < JOBS; i++)
		n += idle[i];
	return n;
}

/* LOST: the operator removes a route while accepted jobs of it run. */
static int route_removed(void)
{
	const int first = 0x1401;
	char state[24];
	char task[64];
	int done = 0;
	int idle;

	open_cell(8);
	for (int i = 0; i < JOBS; i++) {
		if (job_submit(i % DAEMONS, first + i, TWO_STEPS) != 200)
			return 2;
	}
	sleep_ms(1000);
	config_put(5, !trouble);
	note("the traffic has ended");
	sleep_ms(FINISH_MS);
	idle = count_idle(first, 1);
	for (int i = 0; i < JOBS; i++) {
		task_name(first + i, 1, task);
		done += task_dones(task);
		job_state(i % DAEMONS, first + i, state);
		note("client: GET job %d: %s; its second step is %s", i, state,
		     task_dones(task) ? "done" : "not done");
	}
	note("%d of %d accepted jobs are not done and have had no run for %d "
	     "ms, and %d are done; 8 workers of 64 cores run nothing else",
	     idle, JOBS, IDLE_MS, done);
	return idle ? 1 : done == JOBS ? 0 : 2;
}

#define ONE_TASK                                                        \
	"{\"spec\":\"{\\\"run_ms\\\":25000}\",\"steps\":[{\"count\":1," \
	"\"cpu\":4000,\"mem_mb\":4000,\"estimate_ms\":25000}]}"
/* The client leaves after this time without an answer. */
#define PATIENCE_MS 150
/* The store carries out the write without an answer after this time. */
#define WRITE_LATE_MS 1500
#define CANCEL_MS 3000
#define STOP_MS 400
#define CONTACT_MS 4000

/*
 * UNASKED: the store's answer to the write of a job is lost. The client leaves
 * and cancels the job, and is told that there is none; then it runs.
 */
static int cancelled(void)
{
	const int number = 0x1501;
	uint64_t at;
	char task[64];
	char state[24];
	int status;
	int runs;

	open_cell(8);
	task_name(number, 0, task);
	if (trouble)
		store_lose_job_write(WRITE_LATE_MS);
	status = job_submit_for(0, number, ONE_TASK, PATIENCE_MS);
	if (status != (trouble ? 0 : 200))
		return 2;
	status = job_cancel(1, number);
	at = now_ms();
	if (status != 200 && status != 410)
		return 2;
	wait_until(at + CANCEL_MS + STOP_MS);
	note("%d runs %d ms after the cancel", task_runs(task),
	     CANCEL_MS + STOP_MS);
	wait_until(at + WRITE_LATE_MS + CONTACT_MS + CANCEL_MS + STOP_MS);
	runs = task_runs(task);
	note("%d runs %d ms after the cancel, and no disruption for %d ms",
	     runs, WRITE_LATE_MS + CONTACT_MS + CANCEL_MS + STOP_MS,
	     CONTACT_MS + CANCEL_MS + STOP_MS);
	wait_until(at + 30000);
	job_state(2, number, state);
	note("client: GET job: %s; %d starts, %d ends `done`", state,
	     task_starts(task), task_dones(task));
	return runs || task_dones(task);
}

static const struct {
	const char *name;
	int (*fn)(void);
} cases[] = {
	{ "cancelled", cancelled },
	{ "route-removed", route_removed },
};

static void on_signal(int signal)
{
	(void)signal;
	exit(2);
}

int main(int argc, char **argv)
{
	const char *mode = getenv("TROUBLE");
	int rc = 2;

	trouble = !mode || strcmp(mode, "0") != 0;
	if (argc != 3) {
		fprintf(stderr, "usage: cases CASE RECORD\n");
		return 2;
	}
	srandom((unsigned int)(now_ms() ^ (uint64_t)getpid()));
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	atexit(daemons_end);
	record_open(argv[2]);
	alarm(118);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (!strcmp(cases[i].name, argv[1]))
			rc = cases[i].fn();
	}
	note("result: %s", rc == 1   ? "the rule was broken"
			   : rc == 0 ? "the rule held"
				     : "the case could not run");
	exit(rc);
}
