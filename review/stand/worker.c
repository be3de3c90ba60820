/*
 * Stand-in of the workers and of the advice service. The spec of a job is text
 * like "ms=600 cpu=500 mem=256 fail=2": how long each task works, what it needs
 * and how many of its runs fail.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TASK_MAX 64
#define ENDS_PAGE 500 /* ends in one answer */
#define HOLD_MAX_MS 6000
#define HEARTBEAT_MS 1500
#define JOBS_MAX 1024
#define ADVICE_WAITING_MAX 32
#define ADVICE_VALID_MS 1500

struct run {
	char task[TASK_MAX];
	uint64_t number;
	uint64_t ends_ms;
	uint32_t cpu;
	uint32_t mem_mb;
	bool fails;
	char needs; /* label that it requires, 0: any */
};

/* An end, kept for the whole case. */
struct end {
	char task[TASK_MAX];
	uint64_t run;
	const char *how;
	uint32_t worker;
	uint64_t number;
	uint64_t at_ms;
	uint32_t life;	   /* of the worker */
	uint64_t noted_ms; /* when it was observed, 0: not yet */
	bool lapsed;	   /* the lease ran out before it was observed */
};

struct start {
	char task[TASK_MAX];
	uint64_t run;
	uint32_t worker;
	uint64_t at_ms;
	bool beside;	/* another run of the task was at work */
	bool over;	/* the worker was brought over its room */
	bool misplaced; /* it has not the label that the task requires */
};

struct stopped {
	char task[TASK_MAX];
	uint64_t run; /* highest that was stopped or has ended */
};

struct worker {
	char id[16];
	uint16_t port;
	uint64_t boot_ms;
	uint64_t born;
	uint32_t life;
	const char *kind;     /* its first label */
	uint64_t down_until;  /* of a crash, 0: up */
	const char *new_kind; /* of the next life */
	uint64_t token;
	uint64_t lease_ms; /* on its own clock */
	struct run *runs;
	uint32_t run_count;
	struct stopped *stopped;
	uint32_t stopped_count;
	uint64_t last_end;
	uint64_t observed;
	uint64_t poll_call;
	uint64_t poll_until_ms;
	enum link_mode mode;
	bool listed;
	uint64_t beat_ms; /* latest */
};

struct job {
	char id[20];
	uint32_t attempts;
};

/* Calls for advice of one machine: the first is at work, the others wait. */
struct advice_call {
	uint64_t call;
	double ms;
	json_t *good;
};

struct advice_lane {
	struct advice_call calls[ADVICE_WAITING_MAX + 1];
	uint32_t count;
	uint64_t until_ms;
};

static struct advice_lane lanes[DAEMONS_MAX + 1];
static double advice_decide_ms;
static double advice_per_item_ms;
static uint32_t advice_calls;
static struct worker_options options;
static struct worker workers[WORKERS_MAX];
static struct end *ends;
static uint32_t end_count;
static struct start *starts;
static uint32_t start_count;
static struct job jobs[JOBS_MAX];
static uint32_t job_count;

static uint64_t clock_of(const struct worker *w)
{
	return now_ms() - w->boot_ms;
}

static void write_entry(struct worker *w)
{
	char key[64];
	char addr[32];
	uint32_t at = (uint32_t)(w - workers);
	char rack[16];

	snprintf(key, sizeof(key), "servers/%s", w->id);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", w->port);
	snprintf(rack, sizeof(rack), "r1-%u", at / 8);
	store_put(key,
		  json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,"
			    "s],s:I,s:I,s:i}",
			    "service", "press", "address", addr, "zone", "z-a",
			    "version", "v1", "slots", 8, "state", "ready",
			    "cold_remaining_ms", 0, "capacity", "cpu",
			    (int)options.cpu, "mem_mb", (int)options.mem_mb,
			    "gpu", 0, "labels", w->kind, rack, "born",
			    (json_int_t)w->born, "clock_ms",
			    (json_int_t)clock_of(w), "sequence", 1));
	w->listed = true;
}

/* Starts the workers; they are listed at once. */
void workers_open(const struct worker_options *o)
{
	options = *o;
	for (uint32_t i = 0; i < o->count; i++) {
		struct worker *w = &workers[i];

		snprintf(w->id, sizeof(w->id), "i-%08x", 0x5eed0000 + i);
		w->port = listen_on(PEER_WORKER, i);
		w->kind = i % 2 ? "b" : "a";
		/* They did not start at the same moment. */
		w->boot_ms = now_ms() - 20000 - 137 * i;
		w->born = unix_ms() - 20000 - 137 * i;
		w->beat_ms = now_ms() - (i * 397) % HEARTBEAT_MS;
		write_entry(w);
	}
}

static json_t *report(const struct worker *w)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	uint32_t at = (uint32_t)(w - workers);

	for (uint32_t i = 0; i < w->run_count; i++)
		json_array_append_new(running,
				      json_pack("[s,I,s,i,i]", w->runs[i].task,
						(json_int_t)w->runs[i].number,
						"", 50, (int)w->runs[i].cpu));
	for (uint32_t i = 0;
	     i < end_count && json_array_size(ended) < ENDS_PAGE; i++) {
		if (ends[i].worker == at && ends[i].life == w->life &&
		    ends[i].number > w->observed)
			json_array_append_new(
				ended,
				json_pack("[I,s,I,s,s]",
					  (json_int_t)ends[i].number,
					  ends[i].task, (json_int_t)ends[i].run,
					  ends[i].how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_of(w), "born", (json_int_t)w->born,
			 "running", running, "ended", ended);
}

static void answer_poll(struct worker *w)
{
	if (w->poll_call && call_is_open(w->poll_call))
		answer(w->poll_call, 200, report(w));
	w->poll_call = 0;
}

static struct stopped *stopped_get(struct worker *w, const char *task)
{
	for (uint32_t i = 0; i < w->stopped_count; i++) {
		if (!strcmp(w->stopped[i].task, task))
			return &w->stopped[i];
	}
	w->stopped = realloc(w->stopped,
			     (w->stopped_count + 1) * sizeof(*w->stopped));
	w->stopped[w->stopped_count] = (struct stopped){ .run = 0 };
	snprintf(w->stopped[w->stopped_count].task, TASK_MAX, "%s", task);
	return &w->stopped[w->stopped_count++];
}

static void end_run(struct worker *w, uint32_t at, const char *how)
{
	struct run run = w->runs[at];
	struct stopped *s = stopped_get(w, run.task);
	struct end *e;

	w->runs[at] = w->runs[--w->run_count];
	if (run.number > s->run)
		s->run = run.number;
	ends = realloc(ends, (end_count + 1) * sizeof(*ends));
	e = &ends[end_count++];
	*e = (struct end){ .run = run.number,
			   .how = how,
			   .worker = (uint32_t)(w - workers),
			   .number = ++w->last_end,
			   .life = w->life,
			   .at_ms = now_ms() };
	memcpy(e->task, run.task, TASK_MAX);
	record("%s: run %s %llu ended %s, number %llu", w->id, run.task,
	       (unsigned long long)run.number, how,
	       (unsigned long long)e->number);
}

static uint32_t option(const char *spec, const char *name, uint32_t absent)
{
	const char *at = strstr(spec, name);

	return at ? (uint32_t)strtoul(at + strlen(name), NULL, 10) : absent;
}

static uint64_t number_of(const json_t *row, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(row, name));
}

static const char *text_of(const json_t *row, const char *name)
{
	const char *s = json_string_value(json_object_get(row, name));

	return s ? s : "";
}

static void reject(const struct worker *w, uint64_t call, const char *reason)
{
	answer(call, 409,
	       json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock_of(w),
			 "reason", reason));
}

static void accept_call(const struct worker *w, uint64_t call)
{
	answer(call, 200,
	       json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w)));
}

/* Extends the lease; it never shortens, and is at most HOLD_MAX_MS. */
static void extend(struct worker *w, uint64_t deadline_ms)
{
	uint64_t most = clock_of(w) + HOLD_MAX_MS;

	if (deadline_ms > most)
		deadline_ms = most;
	if (deadline_ms > w->lease_ms)
		w->lease_ms = deadline_ms;
}

static uint32_t failed_runs(const char *task)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < end_count; i++)
		n += !strcmp(ends[i].task, task) &&
		     !strcmp(ends[i].how, "failed");
	return n;
}

/* Notes a start for the checks at the end. */
static void note_start(struct worker *w, const struct run *run)
{
	struct start s = { .run = run->number,
			   .worker = (uint32_t)(w - workers),
			   .at_ms = now_ms() };
	uint64_t cpu = 0;
	uint64_t mem = 0;

	memcpy(s.task, run->task, TASK_MAX);
	for (uint32_t i = 0; i < options.count; i++) {
		for (uint32_t k = 0; k < workers[i].run_count; k++) {
			const struct run *other = &workers[i].runs[k];

			if (!strcmp(other->task, run->task) && other != run &&
			    (i != s.worker || other->number != run->number)) {
				s.beside = true;
				record("%s: run %s %llu started while %s runs "
				       "%llu",
				       w->id, run->task,
				       (unsigned long long)run->number,
				       workers[i].id,
				       (unsigned long long)other->number);
			}
		}
	}
	for (uint32_t k = 0; k < w->run_count; k++) {
		cpu += w->runs[k].cpu;
		mem += w->runs[k].mem_mb;
	}
	s.over = cpu > options.cpu || mem > options.mem_mb;
	s.misplaced = run->needs && run->needs != w->kind[0];
	if (s.misplaced)
		record("%s: run %s %llu requires label %c, the worker is of "
		       "kind %s",
		       w->id, run->task, (unsigned long long)run->number,
		       run->needs, w->kind);
	starts = realloc(starts, (start_count + 1) * sizeof(*starts));
	starts[start_count++] = s;
}

static void handle_start(struct worker *w, const struct request *r)
{
	const char *task = text_of(r->body, "task");
	const char *spec = text_of(r->body, "spec");
	uint64_t number = number_of(r->body, "run");
	struct run *run;

	for (uint32_t i = 0; i < w->run_count; i++) {
		if (!strcmp(w->runs[i].task, task) &&
		    w->runs[i].number == number) {
			accept_call(w, r->call);
			return;
		}
	}
	if (number <= stopped_get(w, task)->run) {
		extend(w, number_of(r->body, "deadline_ms"));
		reject(w, r->call, "old");
		return;
	}
	if (number_of(r->body, "deadline_ms") <= clock_of(w)) {
		reject(w, r->call, "late");
		return;
	}
	extend(w, number_of(r->body, "deadline_ms"));
	w->runs = realloc(w->runs, (w->run_count + 1) * sizeof(*w->runs));
	run = &w->runs[w->run_count++];
	*run = (struct run){
		.number = number,
		.ends_ms = now_ms() + option(spec, "ms=", 500),
		.cpu = option(spec, "cpu=", 1000),
		.mem_mb = option(spec, "mem=", 256),
		.fails = failed_runs(task) < option(spec, "fail=", 0),
		.needs = strstr(spec, "need=") ? strstr(spec, "need=")[5] : 0
	};
	snprintf(run->task, TASK_MAX, "%s", task);
	record("%s: run %s %llu started, token %llu", w->id, task,
	       (unsigned long long)number, (unsigned long long)w->token);
	note_start(w, run);
	accept_call(w, r->call);
}

static void handle_stop(struct worker *w, const struct request *r)
{
	const char *task = text_of(r->body, "task");
	uint64_t number = number_of(r->body, "run");
	struct stopped *s = stopped_get(w, task);

	if (number > s->run)
		s->run = number;
	for (uint32_t i = 0; i < w->run_count; i++) {
		if (strcmp(w->runs[i].task, task) != 0 ||
		    w->runs[i].number != number)
			continue;
		end_run(w, i, "stopped");
		break;
	}
	accept_call(w, r->call);
	answer_poll(w);
}

static void handle_hold(struct worker *w, const struct request *r)
{
	uint64_t observed = number_of(r->body, "observed");
	uint64_t wait_ms = number_of(r->body, "wait_ms");
	uint32_t at = (uint32_t)(w - workers);

	extend(w, number_of(r->body, "deadline_ms"));
	if (observed > w->last_end)
		observed = w->last_end;
	for (uint32_t i = 0; i < end_count; i++) {
		if (ends[i].worker == at && ends[i].life == w->life &&
		    ends[i].number <= observed && !ends[i].noted_ms)
			ends[i].noted_ms = now_ms();
	}
	if (observed > w->observed) {
		record("%s: ends up to %llu are taken note of", w->id,
		       (unsigned long long)observed);
		w->observed = observed;
	}
	answer_poll(w);
	w->poll_call = r->call;
	w->poll_until_ms = now_ms() + wait_ms;
	if (!wait_ms || w->last_end > w->observed)
		answer_poll(w);
}

/* Handles a call to a worker. */
void worker_handle(const struct request *r)
{
	struct worker *w = &workers[r->index];
	uint64_t token = number_of(r->body, "fencing_token");

	if (r->expect[0] && strcmp(r->expect, w->id) != 0) {
		answer(r->call, 421, NULL);
		return;
	}
	if (token < w->token) {
		record("%s: %s of token %llu is rejected", w->id, r->path,
		       (unsigned long long)token);
		reject(w, r->call, "fence");
		return;
	}
	w->token = token;
	if (!strcmp(r->path, "/run-start"))
		handle_start(w, r);
	else if (!strcmp(r->path, "/run-stop"))
		handle_stop(w, r);
	else if (!strcmp(r->path, "/hold"))
		handle_hold(w, r);
	else if (!strcmp(r->path, "/pace"))
		accept_call(w, r->call);
	else
		answer(r->call, 400, NULL);
}

/*
 * Handles a call for advice: one call at a time for each calling machine, in
 * turn, and every worker is good.
 */
void advice_handle(const struct request *r)
{
	struct advice_lane *lane = &lanes[r->index];
	struct advice_call *c = &lane->calls[lane->count];
	const json_t *row;
	size_t at;

	/* One is at work, the others wait. */
	if (lane->count == ADVICE_WAITING_MAX + 1) {
		answer(r->call, 429, NULL);
		return;
	}
	*c = (struct advice_call){ .call = r->call, .good = json_array() };
	json_array_foreach(json_object_get(r->body, "workers"), at, row)
		json_array_append_new(
			c->good,
			json_pack("[s,s]", json_string_value(row), "t-1"));
	c->ms = advice_decide_ms + advice_per_item_ms * at;
	if (!lane->count++)
		lane->until_ms = now_ms() + (uint64_t)c->ms;
	advice_calls++;
}

/* Answers the calls for advice whose time has come. */
static void advice_tick(uint64_t now)
{
	for (uint32_t k = 0; k <= DAEMONS_MAX; k++) {
		struct advice_lane *lane = &lanes[k];

		while (lane->count && now >= lane->until_ms) {
			struct advice_call c = lane->calls[0];

			memmove(lane->calls, lane->calls + 1,
				--lane->count * sizeof(c));
			if (lane->count)
				lane->until_ms =
					now + (uint64_t)lane->calls[0].ms;
			answer(c.call, 200,
			       json_pack("{s:o,s:i}", "good", c.good,
					 "valid_ms", ADVICE_VALID_MS));
		}
	}
}

/* Sets how long the advice service takes for a call, and for each worker. */
void advice_set(double decide_ms, double per_item_ms)
{
	lock();
	advice_decide_ms = decide_ms;
	advice_per_item_ms = per_item_ms;
	unlock();
}

/* Returns the number of calls for advice so far. */
uint32_t advice_count(void)
{
	uint32_t n;

	lock();
	n = advice_calls;
	unlock();
	return n;
}

/* Returns the number of runs on all workers. */
uint32_t total_runs(void)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < options.count; i++)
		n += workers[i].run_count;
	unlock();
	return n;
}

static void lapse(struct worker *w)
{
	uint32_t at = (uint32_t)(w - workers);

	for (uint32_t i = 0; i < end_count; i++) {
		if (ends[i].worker == at && !ends[i].noted_ms)
			ends[i].lapsed = true;
	}
	while (w->run_count)
		end_run(w, 0, "lapsed");
}

/* Starts a worker again under its id; it knows nothing of before. */
static void reborn(struct worker *w)
{
	w->down_until = 0;
	w->life++;
	w->kind = w->new_kind;
	w->boot_ms = now_ms();
	w->born = unix_ms();
	w->token = 0;
	w->lease_ms = 0;
	w->last_end = 0;
	w->observed = 0;
	w->stopped_count = 0;
	record("%s: is back, as kind %s", w->id, w->kind);
	link_set(PEER_WORKER, (uint32_t)(w - workers), LINK_OPEN);
	w->mode = LINK_OPEN;
	w->beat_ms = now_ms();
	write_entry(w);
}

/* Crashes a worker: its runs and ends are lost. */
void worker_crash(uint32_t index, uint32_t down_ms, const char *kind)
{
	struct worker *w = &workers[index];

	lock();
	record("%s: crashes under %u runs", w->id, w->run_count);
	w->run_count = 0;
	w->poll_call = 0;
	w->down_until = now_ms() + down_ms;
	w->new_kind = kind ? kind : w->kind;
	w->mode = LINK_RESET;
	link_set(PEER_WORKER, index, LINK_RESET);
	unlock();
}

/* Ends runs and long polls, and beats. */
void workers_tick(uint64_t now)
{
	advice_tick(now);
	for (uint32_t i = 0; i < options.count; i++) {
		struct worker *w = &workers[i];
		bool ended = false;
		char key[sizeof(w->id) + 16];

		if (w->down_until && now < w->down_until)
			continue;
		if (w->down_until)
			reborn(w);
		if (clock_of(w) > w->lease_ms)
			lapse(w);
		for (uint32_t k = 0; k < w->run_count;) {
			if (now < w->runs[k].ends_ms) {
				k++;
				continue;
			}
			end_run(w, k, w->runs[k].fails ? "failed" : "done");
			ended = true;
		}
		if (w->poll_call && (ended || now >= w->poll_until_ms))
			answer_poll(w);
		if (w->mode == LINK_OPEN && now >= w->beat_ms + HEARTBEAT_MS) {
			w->beat_ms = now;
			if (!w->listed) {
				record("%s: its entry is back", w->id);
				write_entry(w);
			}
		}
		if (w->listed && now > w->beat_ms + 3 * HEARTBEAT_MS) {
			record("%s: its entry is removed after three "
			       "heartbeats",
			       w->id);
			snprintf(key, sizeof(key), "servers/%.15s", w->id);
			store_delete(key);
			w->listed = false;
		}
	}
}

/* Cuts a worker off from the daemons and the store, or connects it again. */
void worker_cut(uint32_t index, enum link_mode mode)
{
	lock();
	record("%s: %s", workers[index].id,
	       mode == LINK_OPEN ? "is connected again" : "is cut off");
	workers[index].mode = mode;
	link_set(PEER_WORKER, index, mode);
	unlock();
}

uint32_t worker_runs(uint32_t index)
{
	uint32_t n;

	lock();
	n = workers[index].run_count;
	unlock();
	return n;
}

static bool is_of_job(const char *task, const char *job)
{
	return !strncmp(task, job, strlen(job)) && task[strlen(job)] == '.';
}

/* Returns the worker that runs a task of the job, -1: none. */
int worker_of(const char *job)
{
	int found = -1;

	lock();
	for (uint32_t i = 0; i < options.count; i++) {
		for (uint32_t k = 0; k < workers[i].run_count; k++) {
			if (is_of_job(workers[i].runs[k].task, job))
				found = (int)i;
		}
	}
	unlock();
	return found;
}

uint32_t starts_of(const char *job)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < start_count; i++)
		n += is_of_job(starts[i].task, job);
	unlock();
	return n;
}

uint32_t ends_of(const char *job, const char *how)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < end_count; i++)
		n += is_of_job(ends[i].task, job) && !strcmp(ends[i].how, how);
	unlock();
	return n;
}

/* Notes how often the tasks of a job may fail. */
void note_job(const char *id, uint32_t max_attempts)
{
	lock();
	snprintf(jobs[job_count].id, sizeof(jobs[0].id), "%s", id);
	jobs[job_count++].attempts = max_attempts;
	unlock();
}

/*
 * Counts the starts that break TWICE: beside another run of the task, or after
 * a run has ended done whose end was taken note of then or later.
 */
uint32_t count_twice(void)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < start_count; i++) {
		const struct start *s = &starts[i];
		bool again = false;

		for (uint32_t k = 0; k < end_count && !again; k++)
			again = ends[k].at_ms < s->at_ms && ends[k].noted_ms &&
				!ends[k].lapsed && ends[k].run != s->run &&
				!strcmp(ends[k].how, "done") &&
				!strcmp(ends[k].task, s->task);
		if (again)
			record("TWICE: run %s %llu started after the task was "
			       "done",
			       s->task, (unsigned long long)s->run);
		else if (s->beside)
			record("TWICE: run %s %llu started beside another",
			       s->task, (unsigned long long)s->run);
		n += again || s->beside;
	}
	unlock();
	return n;
}

/* Counts the starts after as many failed runs as the job may have. */
uint32_t count_budget(void)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < start_count; i++) {
		const struct start *s = &starts[i];
		uint32_t attempts = 0;
		uint32_t failed = 0;

		for (uint32_t k = 0; k < job_count; k++) {
			if (is_of_job(s->task, jobs[k].id))
				attempts = jobs[k].attempts;
		}
		for (uint32_t k = 0; k < end_count; k++)
			failed += ends[k].at_ms < s->at_ms &&
				  ends[k].noted_ms && !ends[k].lapsed &&
				  !strcmp(ends[k].how, "failed") &&
				  !strcmp(ends[k].task, s->task);
		if (!attempts || failed < attempts)
			continue;
		record("BUDGET: run %s %llu started after %u of %u runs failed",
		       s->task, (unsigned long long)s->run, failed, attempts);
		n++;
	}
	unlock();
	return n;
}

uint32_t count_over_room(void)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < start_count; i++)
		n += starts[i].over;
	unlock();
	return n;
}

/* Counts the starts on workers without the label that the task requires. */
uint32_t count_misplaced(void)
{
	uint32_t n = 0;

	lock();
	for (uint32_t i = 0; i < start_count; i++)
		n += starts[i].misplaced;
	unlock();
	return n;
}
