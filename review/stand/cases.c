/*
 * The cases of the review: "cases NAME RECORD" plays one and exits with 1 if
 * its rule was broken, 0 if it held, and 2 if the case could not run.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LIMIT_S 117

enum { HELD = 0, BROKEN = 1, NOT_RUN = 2 };

static int verdict(const char *rule, uint32_t count)
{
	record("%s is broken %u times", rule, count);
	printf("%s is broken %u times\n", rule, count);
	return count ? BROKEN : HELD;
}

static int not_run(const char *why)
{
	record("not run: %s", why);
	printf("not run: %s\n", why);
	return NOT_RUN;
}

/*
 * A job with due times; the daemon that schedules is killed after the first
 * occurrences are done and their ends are taken note of.
 */
static int timed_job(void)
{
	const char *id = "00000000000000a1";
	struct worker_options workers = { 6, 64000, 262144 };
	char more[128];
	int old;

	workers_open(&workers);
	if (!cell_open(3, 120))
		return not_run("the cell did not start");
	snprintf(more, sizeof(more),
		 ",\"repeat_count\":4,\"first_run_ms\":%llu,"
		 "\"interval_ms\":3000",
		 (unsigned long long)unix_ms() + 1000);
	if (submit(1, id, "ms=400 cpu=1000 mem=256",
		   "{\"count\":2,\"cpu\":1000,\"mem_mb\":256,"
		   "\"estimate_ms\":400}",
		   more) != 200)
		return not_run("the job was not accepted");
	sleep_ms(6000);
	if (ends_of(id, "done") < 4)
		return not_run("two occurrences are not done");
	old = holder();
	if (trouble()) {
		daemon_kill((uint32_t)old);
		sleep_ms(500);
		daemon_start((uint32_t)old);
	}
	wait_state(id, "completed", 20000);
	sleep_ms(4000);
	record("%u starts of 8 tasks", starts_of(id));
	return verdict("TWICE", count_twice());
}

/* The store is down while workers end more runs than one answer lists. */
static int many_ends(void)
{
	struct worker_options workers = { 3, 64000, 262144 };
	uint32_t jobs = 40;
	uint32_t accepted = 0;
	char id[20];
	bool done = true;

	workers_open(&workers);
	if (!cell_open(3, 120))
		return not_run("the cell did not start");
	sleep_ms(1000);
	for (uint32_t i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "00000000000000%02x", 0x20 + i);
		accepted += submit(i % 3 + 1, id, "ms=900 cpu=500 mem=256",
				   "{\"count\":60,\"cpu\":500,\"mem_mb\":256,"
				   "\"estimate_ms\":900}",
				   "") == 200;
	}
	if (accepted < jobs)
		return not_run("a job was not accepted");
	if (trouble()) {
		lock();
		record("store: down");
		store_set_down(true);
		unlock();
		sleep_ms(5500);
		lock();
		record("store: up");
		store_set_down(false);
		unlock();
	}
	for (uint32_t i = 0; i < jobs && done; i++) {
		snprintf(id, sizeof(id), "00000000000000%02x", 0x20 + i);
		done = wait_state(id, "completed", 15000);
	}
	sleep_ms(2000);
	return verdict("TWICE", count_twice());
}

/*
 * Two of twelve workers are cut off and run on; the daemon that schedules is
 * killed a second later.
 */
static int cut_workers(void)
{
	struct worker_options workers = { 12, 64000, 262144 };
	char id[20];
	uint32_t accepted = 0;
	int old;

	workers_open(&workers);
	if (!cell_open(3, 120))
		return not_run("the cell did not start");
	sleep_ms(6000);
	for (uint32_t i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "00000000000000%02x", 0xc0 + i);
		accepted +=
			submit(i % 3 + 1, id, "ms=11000 cpu=18000 mem=52000",
			       "{\"count\":2,\"cpu\":18000,"
			       "\"mem_mb\":52000,\"estimate_ms\":11000}",
			       "") == 200;
	}
	if (accepted < 12)
		return not_run("a job was not accepted");
	sleep_ms(1500);
	old = holder();
	if (trouble()) {
		uint32_t cut[2];
		uint32_t n = 0;

		for (uint32_t i = 0; i < 12 && n < 2; i++) {
			if (worker_runs(i))
				cut[n++] = i;
		}
		for (uint32_t i = 0; i < n; i++)
			worker_cut(cut[i], LINK_DARK);
		sleep_ms(800);
		daemon_kill((uint32_t)old);
		sleep_ms(500);
		daemon_start((uint32_t)old);
		sleep_ms(3600);
		for (uint32_t i = 0; i < n; i++)
			worker_cut(cut[i], LINK_OPEN);
	}
	for (uint32_t i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "00000000000000%02x", 0xc0 + i);
		wait_state(id, "completed", 30000);
	}
	return verdict("TWICE", count_twice());
}

/* The route of a job is removed while its last attempt fails, and restored. */
static int restored_route(void)
{
	const char *id = "00000000000000d1";
	struct worker_options workers = { 6, 64000, 262144 };

	workers_open(&workers);
	if (!cell_open(3, 120))
		return not_run("the cell did not start");
	sleep_ms(500);
	if (submit(1, id, "ms=4000 cpu=1000 mem=256 fail=9",
		   "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,"
		   "\"estimate_ms\":4000}",
		   "") != 200)
		return not_run("the job was not accepted");
	note_job(id, 3);
	while (starts_of(id) < 3)
		sleep_ms(20);
	if (trouble()) {
		put_config(5, false, 3);
		while (ends_of(id, "failed") < 3)
			sleep_ms(20);
		sleep_ms(3000);
		put_config(9, true, 3);
	}
	wait_state(id, "failed", 10000);
	sleep_ms(5000);
	return verdict("BUDGET", count_budget());
}

/*
 * A configuration adds a route with a long host name; the daemons are stopped
 * and started in turn.
 */
static int long_host(void)
{
	const char *id = "00000000000000e1";
	const char *steps = "{\"count\":2,\"cpu\":1000,\"mem_mb\":256,"
			    "\"estimate_ms\":9000},"
			    "{\"count\":2,\"cpu\":1000,\"mem_mb\":256,"
			    "\"estimate_ms\":9000,\"after\":[0]},"
			    "{\"count\":2,\"cpu\":1000,\"mem_mb\":256,"
			    "\"estimate_ms\":9000,\"after\":[1]}";
	struct worker_options workers = { 6, 64000, 262144 };
	uint64_t until;
	bool answered = false;

	workers_open(&workers);
	if (!cell_open(3, 120))
		return not_run("the cell did not start");
	sleep_ms(500);
	if (submit(1, id, "ms=9000 cpu=1000 mem=256", steps, "") != 200)
		return not_run("the job was not accepted");
	put_config_host(5, trouble() ? "counter-stock-checks.seed-paper-"
				       "pressing.bengal-south.valley."
				       "example"
				     : "stock.example");
	sleep_ms(4000);
	for (uint32_t n = 1; n <= 3; n++) {
		daemon_stop(n);
		sleep_ms(500);
		daemon_start(n);
		sleep_ms(1500);
	}
	until = now_ms() + 30000;
	while (now_ms() < until && !answered) {
		for (uint32_t n = 1; n <= 3 && !answered; n++)
			answered = !strcmp(state_of(n, id), "completed");
		sleep_ms(500);
	}
	record("%u of 6 tasks are done", ends_of(id, "done"));
	return verdict("LOST", !answered);
}

/*
 * Many users come at once; after the time for which the state of their jobs is
 * kept, clients ask for it once more.
 */
static int late_question(void)
{
	struct worker_options workers = { 12, 64000, 262144 };
	uint32_t jobs = trouble() ? 440 : 10;
	uint32_t status_s = 80;
	char id[20];
	char last[20];
	uint32_t starts = 0;

	workers_open(&workers);
	if (!cell_open(3, status_s))
		return not_run("the cell did not start");
	sleep_ms(500);
	for (uint32_t i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "0000000000010%03x", i);
		if (submit(i % 3 + 1, id, "ms=300 cpu=500 mem=256",
			   "{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
			   "\"estimate_ms\":300}",
			   "") != 200)
			return not_run("a job was not accepted");
		sleep_ms(4000 / jobs);
	}
	memcpy(last, id, sizeof(last));
	if (!wait_state(last, "completed", 10000))
		return not_run("the jobs are not done");
	sleep_ms(status_s * 1000 + 1000);
	for (uint32_t k = 0; k < 70; k++) {
		snprintf(id, sizeof(id), "0000000000010%03x",
			 (jobs - 1 - k % 10));
		state_of(k % 3 + 1, id);
		sleep_ms(100);
	}
	sleep_ms(4000);
	for (uint32_t i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "0000000000010%03x", i);
		starts += starts_of(id);
	}
	record("%u starts of %u tasks", starts, jobs * 2);
	return verdict("TWICE", count_twice());
}

/*
 * Large jobs come at once, and two of three machines leave in turn, each time
 * the one that schedules.
 */
static int machines_leave(void)
{
	struct worker_options workers = { 8, 64000, 262144 };
	const uint32_t jobs = 31;
	const uint32_t tasks = 8;
	uint32_t accepted = 0;
	uint32_t done = 0;
	uint32_t calls;
	uint64_t traffic_end;
	uint64_t idle_since = 0;
	char id[20];

	workers_open(&workers);
	if (!cell_open(3, 120))
		return not_run("the cell did not start");
	put_config_advice(5, 450.0, 6.4);
	sleep_ms(1000);
	for (uint32_t i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "00000000000001%02x", i);
		accepted += submit(i % 3 + 1, id, "ms=5000 cpu=18000 mem=52000",
				   "{\"count\":8,\"cpu\":18000,"
				   "\"mem_mb\":52000,\"estimate_ms\":5000}",
				   "") == 200;
		sleep_ms(380);
	}
	if (accepted < jobs)
		return not_run("a job was not accepted");
	traffic_end = now_ms();
	for (uint32_t k = 0; trouble() && k < 2; k++) {
		daemon_signal((uint32_t)holder(), SIGTERM);
		sleep_ms(1300);
	}
	/*
	 * finish_s after the end of the traffic, a job must not be without a
	 * run for 3 s while there is room.
	 */
	calls = advice_count();
	while (now_ms() < traffic_end + 60000) {
		uint64_t now = now_ms();

		done = 0;
		for (uint32_t i = 0; i < jobs; i++) {
			snprintf(id, sizeof(id), "00000000000001%02x", i);
			done += ends_of(id, "done");
		}
		if (done == jobs * tasks)
			break;
		if (total_runs())
			idle_since = 0;
		else if (!idle_since)
			idle_since = now;
		if (idle_since && now > traffic_end + 14000 &&
		    now > idle_since + 20000)
			break;
		sleep_ms(50);
	}
	record("%u of %u tasks are done, %u calls for advice since the "
	       "machines left",
	       done, jobs * tasks, advice_count() - calls);
	for (uint32_t i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "00000000000001%02x", i);
		state_of((uint32_t)holder(), id);
	}
	if (done == jobs * tasks)
		return verdict("LOST", 0);
	if (!idle_since || now_ms() < idle_since + 3000)
		return not_run("the jobs are not done, but tasks run");
	record("nothing runs for the last %llu ms",
	       (unsigned long long)(now_ms() - idle_since));
	return verdict("LOST", jobs - done / tasks);
}

static const struct {
	const char *name;
	int (*play)(void);
} cases[] = {
	{ "timed-job", timed_job },
	{ "many-ends", many_ends },
	{ "cut-workers", cut_workers },
	{ "restored-route", restored_route },
	{ "long-host", long_host },
	{ "machines-leave", machines_leave },
	{ "late-question", late_question },
};

static void on_alarm(int signal)
{
	(void)signal;
	record("not run: the time is over");
	cell_close();
	_exit(NOT_RUN);
}

int main(int argc, char **argv)
{
	int rc = NOT_RUN;

	if (argc != 3)
		return NOT_RUN;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	signal(SIGTERM, on_alarm);
	signal(SIGINT, on_alarm);
	alarm(LIMIT_S);
	record_open(argv[2]);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (!strcmp(cases[i].name, argv[1]))
			rc = cases[i].play();
	}
	cell_close();
	return rc;
}
