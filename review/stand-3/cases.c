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

#define LONG_JOB                                                        \
	"{\"spec\":\"{\\\"run_ms\\\":30000}\",\"steps\":[{\"count\":1," \
	"\"cpu\":4000,\"mem_mb\":4000,\"estimate_ms\":30000}]}"
/* Makes its worker, of the other rack, the best fit for the next start. */
#define NEIGHBOUR                                                       \
	"{\"spec\":\"{\\\"run_ms\\\":45000}\",\"steps\":[{\"count\":1," \
	"\"cpu\":4000,\"mem_mb\":4000,\"estimate_ms\":45000,"           \
	"\"requires\":\"rack-1\"}]}"
/* The pages let an order without an answer be carried out 2 to 12 s later. */
#define LATE_MS 11500

/*
 * TWICE: a start is not answered, and arrives after 11.5 s. Its worker crashes
 * after 9.5 s and is back, under its id, 0.9 s later.
 */
static int late_start(void)
{
	const int number = 0x1201;
	char task[64];
	char state[24];
	uint64_t at;
	int w = -1;

	open_cell(8);
	task_name(number, 0, task);
	if (trouble) {
		for (int i = 0; i < 8; i++)
			worker_delay_start(i, LATE_MS);
	}
	at = now_ms();
	if (job_submit(0, number, LONG_JOB) != 200)
		return 2;
	if (trouble) {
		while ((w = worker_delayed()) < 0 && now_ms() < at + 5000)
			sleep_ms(5);
		if (w < 0)
			return 2;
		at = now_ms();
		for (int i = 0; i < 8; i++)
			worker_delay_start(i, 0);
		if (job_submit(1, number + 1, NEIGHBOUR) != 200)
			return 2;
		wait_until(at + 9500);
		worker_crash(w);
		wait_until(at + 10400);
		worker_restart(w);
	}
	wait_until(at + 50000);
	job_state(1, number, state);
	note("client: GET job: %s; %d starts, at most %d runs at the same "
	     "time, for %llu ms",
	     state, task_starts(task), task_most(task),
	     (unsigned long long)task_overlap_ms(task));
	if (task_most(task) > 1)
		return 1;
	return strcmp(state, "completed") ? 2 : 0;
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

/*
 * LOST: all machines are removed for good at the same time, and as many come at
 * other addresses 2 s later.
 */
static int replaced(void)
{
	const int first = 0x1301;
	char state[24];
	int base = 0;
	int unanswered = 0;
	int idle;

	open_cell(8);
	for (int i = 0; i < JOBS; i++) {
		if (job_submit(i % DAEMONS, first + i, TWO_STEPS) != 200)
			return 2;
	}
	if (trouble) {
		for (int d = 0; d < DAEMONS; d++)
			daemon_signal(d, SIGKILL);
		sleep_ms(2000);
		base = DAEMONS;
		for (int d = 0; d < DAEMONS; d++)
			daemon_open(base + d);
	}
	note("the traffic has ended");
	sleep_ms(FINISH_MS);
	idle = count_idle(first, 1);
	note("%d of %d accepted jobs are not done and have had no run for %d "
	     "ms",
	     idle, JOBS, IDLE_MS);
	for (int i = 0; i < JOBS; i++) {
		job_state(base + i % DAEMONS, first + i, state);
		note("client: GET job %d at daemon %d: %s", i,
		     base + i % DAEMONS, state);
		unanswered += strcmp(state, "completed") != 0;
	}
	note("%d of %d accepted jobs are not answered for", unanswered, JOBS);
	return idle && unanswered;
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

static const struct {
	const char *name;
	int (*fn)(void);
} cases[] = {
	{ "late-start", late_start },
	{ "replaced", replaced },
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
