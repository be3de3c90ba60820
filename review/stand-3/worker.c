/*
 * Workers of one service. Each has a port, tells the store of itself every
 * second, and carries out starts, stops and polls as the protocol says. The
 * spec of a task is a JSON object with "run_ms".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand.h"

#define RUNS_MAX 256
#define ENDS_MAX 2000
#define FLOORS_MAX 4000
#define TALLIES_MAX 4000
#define HEARTBEAT_MS 1000
#define HOLD_MAX_MS 6000
#define STOP_MS 50
#define CPU_MILLI 64000
#define MEM_MB 262144
#define TASK_MAX 64

struct run {
	char task[TASK_MAX];
	uint64_t run;
	uint64_t started_ms;
	uint64_t ends_ms;
	uint64_t stops_ms; /* 0: is not being stopped */
	uint64_t run_ms;
};

struct end {
	uint64_t number;
	char task[TASK_MAX];
	uint64_t run;
	const char *how;
};

struct floor {
	char task[TASK_MAX];
	uint64_t run;
};

struct worker {
	int index;
	char id[32];
	struct port *port;
	int number; /* of the port */
	bool up;
	uint64_t life;
	uint64_t born;
	uint64_t clock_from; /* now_ms() at which its clock was 0 */
	uint64_t token;
	uint64_t deadline; /* on its clock */
	uint64_t next_end;
	uint64_t beat_ms;
	uint64_t sequence;
	struct run runs[RUNS_MAX];
	int run_count;
	struct end ends[ENDS_MAX];
	int end_count;
	struct floor floors[FLOORS_MAX];
	int floor_count;
};

struct tally {
	char task[TASK_MAX];
	int starts;
	int dones;
	int running;
};

static struct worker workers[WORKERS_MAX];
static int worker_count;
static struct tally tallies[TALLIES_MAX];
static int tally_count;

static struct tally *tally(const char *task)
{
	for (int i = 0; i < tally_count; i++) {
		if (!strcmp(tallies[i].task, task))
			return &tallies[i];
	}
	if (tally_count == TALLIES_MAX)
		exit(2);
	snprintf(tallies[tally_count].task, TASK_MAX, "%s", task);
	return &tallies[tally_count++];
}

static uint64_t clock_of(const struct worker *w)
{
	return now_ms() - w->clock_from;
}

static struct floor *floor_of(struct worker *w, const char *task)
{
	for (int i = 0; i < w->floor_count; i++) {
		if (!strcmp(w->floors[i].task, task))
			return &w->floors[i];
	}
	if (w->floor_count == FLOORS_MAX)
		exit(2);
	w->floors[w->floor_count] = (struct floor){ 0 };
	snprintf(w->floors[w->floor_count].task, TASK_MAX, "%s", task);
	return &w->floors[w->floor_count++];
}

static void raise_floor(struct worker *w, const char *task, uint64_t run)
{
	struct floor *f = floor_of(w, task);

	if (run > f->run)
		f->run = run;
}

static void end_run(struct worker *w, int at, const char *how)
{
	struct run r = w->runs[at];

	w->runs[at] = w->runs[--w->run_count];
	raise_floor(w, r.task, r.run);
	if (w->end_count == ENDS_MAX)
		exit(2);
	w->ends[w->end_count] = (struct end){ .number = ++w->next_end,
					      .run = r.run,
					      .how = how };
	snprintf(w->ends[w->end_count++].task, TASK_MAX, "%s", r.task);
	tally(r.task)->running--;
	if (!strcmp(how, "done"))
		tally(r.task)->dones++;
	note("worker %s: %s run %llu ended %s", w->id, r.task,
	     (unsigned long long)r.run, how);
	pthread_cond_broadcast(&changed);
}

static void heartbeat(struct worker *w)
{
	char key[64];
	char address[32];
	json_t *entry;

	snprintf(key, sizeof(key), "servers/%s", w->id);
	snprintf(address, sizeof(address), "127.0.0.1:%d", w->number);
	w->beat_ms = now_ms() + HEARTBEAT_MS;
	entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:{s:i,s:i,s:i},s:[s,s]}",
		"service", "svc", "address", address, "zone", "az-a", "version",
		"1", "slots", 8, "state", "ready", "cold_remaining_ms", 0,
		"sequence", (json_int_t)++w->sequence, "born",
		(json_int_t)w->born, "capacity", "cpu", CPU_MILLI, "mem_mb",
		MEM_MB, "gpu", 0, "labels", "a",
		w->index % 2 ? "rack-1" : "rack-2");
	store_put(key, entry);
	json_decref(entry);
}

static void tick(struct worker *w)
{
	uint64_t now = now_ms();

	if (!w->up)
		return;
	if (now >= w->beat_ms)
		heartbeat(w);
	for (int i = w->run_count - 1; i >= 0; i--) {
		struct run *r = &w->runs[i];

		if (clock_of(w) > w->deadline)
			end_run(w, i, "lapsed");
		else if (r->stops_ms && now >= r->stops_ms)
			end_run(w, i, "stopped");
		else if (now >= r->ends_ms)
			end_run(w, i, "done");
	}
}

static void *run_workers(void *arg)
{
	for (;;) {
		pthread_mutex_lock(&big_lock);
		for (int i = 0; i < worker_count; i++)
			tick(&workers[i]);
		pthread_mutex_unlock(&big_lock);
		sleep_ms(5);
	}
	return arg;
}

static uint64_t number(const json_t *o, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(o, name));
}

static const char *text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static json_t *reply(const struct worker *w, const char *reason)
{
	json_t *body = json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w));

	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	return body;
}

/* Returns true if the order is of an earlier holder. */
static bool is_fenced(struct worker *w, const json_t *order)
{
	uint64_t token = number(order, "fencing_token");

	if (token > w->token)
		w->token = token;
	return token < w->token;
}

static void extend(struct worker *w, const json_t *order)
{
	uint64_t deadline = number(order, "deadline_ms");
	uint64_t longest = clock_of(w) + HOLD_MAX_MS;

	if (deadline > longest)
		deadline = longest;
	if (deadline > w->deadline)
		w->deadline = deadline;
}

static struct run *run_find(struct worker *w, const char *task, uint64_t run)
{
	for (int i = 0; i < w->run_count; i++) {
		if (w->runs[i].run == run && !strcmp(w->runs[i].task, task))
			return &w->runs[i];
	}
	return NULL;
}

static int start(struct worker *w, const json_t *order, json_t **body)
{
	const char *task = text(order, "task");
	uint64_t run = number(order, "run");
	json_t *spec = json_loads(text(order, "spec"), 0, NULL);
	uint64_t run_ms = number(spec, "run_ms");
	uint64_t now = now_ms();
	struct tally *t;

	json_decref(spec);
	if (is_fenced(w, order)) {
		*body = reply(w, "fence");
		return 409;
	}
	if (run_find(w, task, run)) {
		extend(w, order);
		*body = reply(w, NULL);
		return 200;
	}
	if (run <= floor_of(w, task)->run) {
		extend(w, order);
		*body = reply(w, "old");
		note("worker %s: %s run %llu rejected, old", w->id, task,
		     (unsigned long long)run);
		return 409;
	}
	if (number(order, "deadline_ms") < clock_of(w)) {
		*body = reply(w, "late");
		note("worker %s: %s run %llu rejected, late", w->id, task,
		     (unsigned long long)run);
		return 409;
	}
	if (w->run_count == RUNS_MAX)
		exit(2);
	extend(w, order);
	w->runs[w->run_count] = (struct run){ .run = run,
					      .started_ms = now,
					      .ends_ms = now + run_ms,
					      .run_ms = run_ms };
	snprintf(w->runs[w->run_count++].task, TASK_MAX, "%s", task);
	t = tally(task);
	t->starts++;
	note("worker %s (life %llu): %s run %llu starts", w->id,
	     (unsigned long long)w->life, task, (unsigned long long)run);
	t->running++;
	*body = reply(w, NULL);
	return 200;
}

static int stop(struct worker *w, const json_t *order, json_t **body)
{
	const char *task = text(order, "task");
	uint64_t run = number(order, "run");
	struct run *r;

	if (is_fenced(w, order)) {
		*body = reply(w, "fence");
		return 409;
	}
	note("worker %s (life %llu): %s run %llu is to stop", w->id,
	     (unsigned long long)w->life, task, (unsigned long long)run);
	r = run_find(w, task, run);
	if (r && !r->stops_ms)
		r->stops_ms = now_ms() + STOP_MS;
	if (!r)
		raise_floor(w, task, run);
	*body = reply(w, NULL);
	return 200;
}

static json_t *lists(const struct worker *w)
{
	json_t *running = json_array();
	json_t *ended = json_array();
	uint64_t now = now_ms();

	for (int i = 0; i < w->run_count; i++) {
		const struct run *r = &w->runs[i];
		uint64_t percent =
			r->run_ms ? (now - r->started_ms) * 100 / r->run_ms : 0;

		json_array_append_new(running, json_pack("[s,I,s,i,i]", r->task,
							 (json_int_t)r->run, "",
							 (int)percent, 1000));
	}
	for (int i = 0; i < w->end_count && i < 500; i++)
		json_array_append_new(
			ended,
			json_pack("[I,s,I,s,s]", (json_int_t)w->ends[i].number,
				  w->ends[i].task, (json_int_t)w->ends[i].run,
				  w->ends[i].how, ""));
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_of(w), "born", (json_int_t)w->born,
			 "running", running, "ended", ended);
}

static void wait_end(struct worker *w, struct request *r, uint64_t until_ms)
{
	uint64_t life = w->life;

	while (!w->end_count && now_ms() < until_ms && w->life == life &&
	       w->up && !fd_is_dead(r->fd)) {
		struct timespec ts;

		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 50 * 1000000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&changed, &big_lock, &ts);
	}
}

static int hold(struct worker *w, struct request *r, json_t **body)
{
	uint64_t observed = number(r->body, "observed");
	uint64_t life = w->life;
	int kept = 0;

	if (is_fenced(w, r->body)) {
		*body = reply(w, "fence");
		return 409;
	}
	extend(w, r->body);
	for (int i = 0; i < w->end_count; i++) {
		if (w->ends[i].number > observed)
			w->ends[kept++] = w->ends[i];
	}
	w->end_count = kept;
	wait_end(w, r, now_ms() + number(r->body, "wait_ms"));
	if (!w->up || w->life != life)
		return 0;
	*body = lists(w);
	return 200;
}

static int handle(void *ctx, struct request *r, json_t **body)
{
	struct worker *w = ctx;
	int status = 404;

	pthread_mutex_lock(&big_lock);
	if (!w->up) {
		status = 0;
	} else if (r->expect[0] && strcmp(r->expect, w->id) != 0) {
		*body = reply(w, NULL);
		status = 421;
	} else if (!strcmp(r->path, "/run-start")) {
		status = start(w, r->body, body);
	} else if (!strcmp(r->path, "/run-stop")) {
		status = stop(w, r->body, body);
	} else if (!strcmp(r->path, "/hold")) {
		status = hold(w, r, body);
	} else if (!strcmp(r->path, "/pace")) {
		*body = reply(w, NULL);
		status = 200;
	}
	pthread_mutex_unlock(&big_lock);
	return status;
}

static void begin_life(struct worker *w)
{
	w->up = true;
	w->life++;
	w->born = unix_ms();
	w->clock_from = now_ms();
	w->token = 0;
	w->deadline = 0;
	w->next_end = 0;
	w->end_count = 0;
	w->run_count = 0;
	w->floor_count = 0;
	w->sequence = 0;
	w->beat_ms = 0;
}

void workers_open(int count)
{
	pthread_t t;

	pthread_mutex_lock(&big_lock);
	for (int i = 0; i < count; i++) {
		struct worker *w = &workers[i];

		w->index = i;
		snprintf(w->id, sizeof(w->id), "i-%02d%06x", i,
			 (unsigned int)random_below(1 << 24));
		w->number = free_port();
		begin_life(w);
		w->port = port_open(w->number, handle, w);
	}
	worker_count = count;
	pthread_mutex_unlock(&big_lock);
	pthread_create(&t, NULL, run_workers, NULL);
}

int task_runs(const char *task)
{
	int n;

	pthread_mutex_lock(&big_lock);
	n = tally(task)->running;
	pthread_mutex_unlock(&big_lock);
	return n;
}

int task_starts(const char *task)
{
	int n;

	pthread_mutex_lock(&big_lock);
	n = tally(task)->starts;
	pthread_mutex_unlock(&big_lock);
	return n;
}

int task_dones(const char *task)
{
	int n;

	pthread_mutex_lock(&big_lock);
	n = tally(task)->dones;
	pthread_mutex_unlock(&big_lock);
	return n;
}
