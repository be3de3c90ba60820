/*
 * Test double of workers, one per port, with the protocol and the contract W1
 * to W5 of docs/design.md. A worker does not reject duplicate starts or starts
 * beyond its capacity but counts them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "buf.h"
#include "err.h"
#include "fake.h"

#define BODY_MAX (1U << 20)
#define ID_MAX 160
#define DEFAULT_RUN_MS 100
/* Run time of failing tasks; not 0, so that a retry loop stays bounded. */
#define FAIL_RUN_MS 10
#define DEFAULT_TTL_MS 2000

enum task_state { TASK_NONE, TASK_RUNNING, TASK_DONE, TASK_FAILED };

struct size {
	int64_t cpus;
	int64_t mem_mb;
	int64_t accel;
};

/*
 * Counters of one job.task, or of one tag in the inputs, over all workers of
 * the process. Tags identify the jobs of a test that did not receive their ids.
 */
struct task_stats {
	char name[ID_MAX];
	uint32_t starts;
	uint32_t running;
	uint32_t max_running;
	UT_hash_handle hh;
};

/* Counters of a job: its distinct tasks that run at the same time. */
struct job {
	char name[ID_MAX];
	uint32_t tasks_running;
	uint32_t max_tasks_running;
	UT_hash_handle hh;
};

/* Process created by a start; a lease can have several. */
struct run {
	struct worker *worker;
	char lease[ID_MAX];
	struct task_stats *task_stats;
	struct task_stats *tag; /* by the input's "tag", NULL without */
	struct job *job;
	struct size size;
	struct timer timer;
	bool fail;
	char *output;
	struct run *next;
};

struct lease {
	struct worker *worker;
	char id[ID_MAX];
	bool live;
	struct timer timer;
	/* The latest task. */
	enum task_state state;
	int64_t cpus_used;
	int64_t mem_mb_used;
	char *output;
	bool reported; /* the end was sent in a sync answer */
	UT_hash_handle hh;
};

/* A pending sync request. */
struct poll {
	struct worker *worker;
	uint64_t call;
	struct timer timer;
	struct poll *next;
};

struct worker {
	struct workers *workers;
	uint32_t port;
	struct lease *leases;
	struct run *runs;
	struct poll *polls;
	struct size used;
	struct size max_used;
};

struct workers {
	struct loop *loop;
	struct fake *fake;
	struct size capacity;
	struct worker *table; /* by port index */
	struct task_stats *task_stats;
	struct task_stats *tags;
	struct job *jobs;
	uint64_t starts;
	uint64_t refused_starts;
	uint64_t running;
	uint64_t max_running;
	uint64_t overlaps;
	uint64_t overcommits;
	uint64_t syncs;
	uint64_t throttles;
	uint64_t checkpoints;
};

static struct task_stats *task_stats_get(struct task_stats **table,
					 const char *name)
{
	struct task_stats *task_stats;

	HASH_FIND_STR(*table, name, task_stats);
	if (task_stats)
		return task_stats;
	task_stats = xcalloc(1, sizeof(*task_stats));
	snprintf(task_stats->name, sizeof(task_stats->name), "%s", name);
	HASH_ADD_STR(*table, name, task_stats);
	return task_stats;
}

static void task_stats_begin(struct task_stats *task_stats)
{
	task_stats->starts++;
	task_stats->running++;
	if (task_stats->running > task_stats->max_running)
		task_stats->max_running = task_stats->running;
}

static struct job *job_get(struct workers *workers, const char *name)
{
	struct job *job;

	HASH_FIND_STR(workers->jobs, name, job);
	if (job)
		return job;
	job = xcalloc(1, sizeof(*job));
	snprintf(job->name, sizeof(job->name), "%s", name);
	HASH_ADD_STR(workers->jobs, name, job);
	return job;
}

static void update_max(int64_t value, int64_t *max)
{
	if (value > *max)
		*max = value;
}

/* Counts a run that starts and the violations that it causes. */
static void count_run_begin(struct run *run)
{
	struct worker *worker = run->worker;
	struct workers *workers = worker->workers;
	const struct size *capacity = &workers->capacity;

	workers->starts++;
	workers->running++;
	if (workers->running > workers->max_running)
		workers->max_running = workers->running;
	if (!run->task_stats->running)
		run->job->tasks_running++;
	if (run->job->tasks_running > run->job->max_tasks_running)
		run->job->max_tasks_running = run->job->tasks_running;
	task_stats_begin(run->task_stats);
	if (run->tag)
		task_stats_begin(run->tag);
	if (run->task_stats->running > 1)
		workers->overlaps++;
	worker->used.cpus += run->size.cpus;
	worker->used.mem_mb += run->size.mem_mb;
	worker->used.accel += run->size.accel;
	update_max(worker->used.cpus, &worker->max_used.cpus);
	update_max(worker->used.mem_mb, &worker->max_used.mem_mb);
	update_max(worker->used.accel, &worker->max_used.accel);
	if (worker->used.cpus > capacity->cpus ||
	    worker->used.mem_mb > capacity->mem_mb ||
	    worker->used.accel > capacity->accel)
		workers->overcommits++;
}

static void count_run_end(struct run *run)
{
	struct worker *worker = run->worker;

	worker->workers->running--;
	run->task_stats->running--;
	if (run->tag)
		run->tag->running--;
	if (!run->task_stats->running)
		run->job->tasks_running--;
	worker->used.cpus -= run->size.cpus;
	worker->used.mem_mb -= run->size.mem_mb;
	worker->used.accel -= run->size.accel;
}

static json_t *lease_json(const struct lease *lease)
{
	static const char *const names[] = {
		[TASK_RUNNING] = "running",
		[TASK_DONE] = "done",
		[TASK_FAILED] = "failed",
	};
	json_t *task = json_null();

	if (lease->state != TASK_NONE)
		task = json_pack("{s:s, s:I, s:I, s:s}", "state",
				 names[lease->state], "cpus_used",
				 (json_int_t)lease->cpus_used, "mem_mb_used",
				 (json_int_t)lease->mem_mb_used, "output",
				 lease->output ? lease->output : "");
	return json_pack("{s:s, s:o}", "id", lease->id, "task", task);
}

static bool lease_has_ended(const struct lease *lease)
{
	return lease->state == TASK_DONE || lease->state == TASK_FAILED;
}

static void answer_sync(struct worker *worker, uint64_t call)
{
	json_t *list = json_array();

	for (struct lease *l = worker->leases; l; l = l->hh.next) {
		json_array_append_new(list, lease_json(l));
		if (lease_has_ended(l))
			l->reported = true;
	}
	fake_answer_json(worker->workers->fake, call, 200, NULL,
			 json_pack("{s:o}", "leases", list));
}

/* Answers and frees a poll that was removed from the list. */
static void poll_finish(struct poll *poll)
{
	timer_stop(poll->worker->workers->loop, &poll->timer);
	answer_sync(poll->worker, poll->call);
	free(poll);
}

static void on_poll_timeout(struct timer *timer)
{
	struct poll *poll = timer->ctx;

	LL_DELETE(poll->worker->polls, poll);
	poll_finish(poll);
}

static void polls_finish(struct worker *worker)
{
	struct poll *poll = worker->polls;

	worker->polls = NULL;
	while (poll) {
		struct poll *next = poll->next;

		poll_finish(poll);
		poll = next;
	}
}

static struct lease *lease_find(struct worker *worker, const char *id)
{
	struct lease *lease;

	HASH_FIND_STR(worker->leases, id, lease);
	return lease;
}

static void lease_free(struct lease *lease)
{
	timer_stop(lease->worker->workers->loop, &lease->timer);
	HASH_DEL(lease->worker->leases, lease);
	free(lease->output);
	free(lease);
}

static void lease_set_ended(struct lease *lease, enum task_state state,
			    const char *output)
{
	lease->state = state;
	lease->reported = false;
	free(lease->output);
	lease->output = buf_str(output).data;
}

static void run_free(struct run *run)
{
	LL_DELETE(run->worker->runs, run);
	timer_stop(run->worker->workers->loop, &run->timer);
	count_run_end(run);
	free(run->output);
	free(run);
}

/* Kills the runs of lease @id; returns true if there were any. */
static bool runs_kill(struct worker *worker, const char *id)
{
	struct run *run = worker->runs;
	bool any = false;

	while (run) {
		struct run *next = run->next;

		if (!strcmp(run->lease, id)) {
			run_free(run);
			any = true;
		}
		run = next;
	}
	return any;
}

/*
 * Ends a lease. A running task is killed and stays listed as failed until it is
 * acknowledged; a lease without an unacknowledged task is freed.
 */
static void lease_end(struct lease *lease, const char *reason)
{
	struct worker *worker = lease->worker;
	bool killed = runs_kill(worker, lease->id);

	timer_stop(worker->workers->loop, &lease->timer);
	lease->live = false;
	if (killed) {
		lease_set_ended(lease, TASK_FAILED, reason);
		polls_finish(worker);
	} else if (!lease_has_ended(lease)) {
		lease_free(lease);
	}
}

static void on_lease_expired(struct timer *timer)
{
	lease_end(timer->ctx, "lease lapsed");
}

static void lease_renew(struct lease *lease, uint64_t ttl_ms)
{
	if (lease->live)
		timer_start(lease->worker->workers->loop, &lease->timer,
			    ttl_ms);
}

static void lease_create(struct worker *worker, const char *id, uint64_t ttl_ms)
{
	struct lease *lease = lease_find(worker, id);

	if (!lease) {
		lease = xcalloc(1, sizeof(*lease));
		lease->worker = worker;
		snprintf(lease->id, sizeof(lease->id), "%s", id);
		lease->timer =
			(struct timer){ .fn = on_lease_expired, .ctx = lease };
		HASH_ADD_STR(worker->leases, id, lease);
	}
	lease->live = true;
	lease_renew(lease, ttl_ms);
}

static int64_t get_number(const json_t *json, const char *key, int64_t fallback)
{
	const json_t *value = json_object_get(json, key);

	return json_is_number(value) ? (int64_t)json_number_value(value)
				     : fallback;
}

static const char *get_string(const json_t *json, const char *key,
			      const char *fallback)
{
	const char *s = json_string_value(json_object_get(json, key));

	return s ? s : fallback;
}

static void on_run_end(struct timer *timer)
{
	struct run *run = timer->ctx;
	struct worker *worker = run->worker;
	struct lease *lease = lease_find(worker, run->lease);
	enum task_state state = run->fail ? TASK_FAILED : TASK_DONE;

	if (lease)
		lease_set_ended(lease, state, run->output);
	run_free(run);
	polls_finish(worker);
}

/* Parses the task's input, an object or a string that contains one. */
static json_t *parse_input(const json_t *task)
{
	json_t *input = json_object_get(task, "input");
	json_t *parsed = NULL;

	if (json_is_object(input))
		return json_incref(input);
	if (json_is_string(input))
		parsed = json_loads(json_string_value(input), 0, NULL);
	if (json_is_object(parsed))
		return parsed;
	json_decref(parsed);
	return json_object();
}

static void task_name(const json_t *task, char *name, size_t size)
{
	const json_t *number = json_object_get(task, "task");

	if (json_is_integer(number))
		snprintf(name, size, "%s.%lld", get_string(task, "job", ""),
			 (long long)json_integer_value(number));
	else
		snprintf(name, size, "%s.%s", get_string(task, "job", ""),
			 get_string(task, "task", "0"));
}

static void run_start(struct lease *lease, const json_t *task)
{
	struct worker *worker = lease->worker;
	struct workers *workers = worker->workers;
	struct run *run = xcalloc(1, sizeof(*run));
	json_t *input = parse_input(task);
	int64_t run_ms = get_number(input, "run_ms", DEFAULT_RUN_MS);
	const char *tag;
	char name[ID_MAX];

	task_name(task, name, sizeof(name));
	run->worker = worker;
	memcpy(run->lease, lease->id, sizeof(run->lease));
	run->task_stats = task_stats_get(&workers->task_stats, name);
	tag = get_string(input, "tag", NULL);
	run->tag = tag ? task_stats_get(&workers->tags, tag) : NULL;
	run->job = job_get(workers, get_string(task, "job", ""));
	run->size.cpus = get_number(task, "cpus", 0);
	run->size.mem_mb = get_number(task, "mem_mb", 0);
	run->size.accel = get_number(task, "accel", 0);
	run->output = buf_str(get_string(input, "output", "")).data;
	run->fail = json_is_true(json_object_get(input, "fail"));
	if (fake_fails(workers->fake, worker->port)) {
		run->fail = true;
		run_ms = FAIL_RUN_MS;
	}
	run->timer = (struct timer){ .fn = on_run_end, .ctx = run };
	LL_PREPEND(worker->runs, run);
	lease->state = TASK_RUNNING;
	lease->cpus_used = get_number(input, "cpus_used", run->size.cpus);
	lease->mem_mb_used = get_number(input, "mem_mb_used", run->size.mem_mb);
	count_run_begin(run);
	timer_start(workers->loop, &run->timer, (uint64_t)run_ms);
	json_decref(input);
}

static void handle_start(struct worker *worker,
			 const struct fake_request *request, const json_t *body)
{
	struct workers *workers = worker->workers;
	struct lease *lease = lease_find(worker, get_string(body, "lease", ""));

	fake_may_lose_answer(workers->fake, request->id);
	if (!lease || !lease->live) {
		workers->refused_starts++;
		fake_answer_error(workers->fake, request->id, 409,
				  "lease is unknown or has lapsed");
		return;
	}
	run_start(lease, body);
	fake_answer_json(workers->fake, request->id, 200, NULL, json_object());
}

static void handle_lease(struct worker *worker,
			 const struct fake_request *request, const char *id,
			 const json_t *body)
{
	lease_create(worker, id,
		     (uint64_t)get_number(body, "ttl_ms", DEFAULT_TTL_MS));
	fake_answer_json(worker->workers->fake, request->id, 200, NULL,
			 json_object());
}

static void sync_apply(struct worker *worker, const json_t *body)
{
	uint64_t ttl_ms = (uint64_t)get_number(body, "ttl_ms", DEFAULT_TTL_MS);
	size_t i;
	json_t *id;

	json_array_foreach(json_object_get(body, "renew"), i, id)
	{
		struct lease *lease =
			json_is_string(id)
				? lease_find(worker, json_string_value(id))
				: NULL;

		if (lease)
			lease_renew(lease, ttl_ms);
	}
	json_array_foreach(json_object_get(body, "ack"), i, id)
	{
		struct lease *lease =
			json_is_string(id)
				? lease_find(worker, json_string_value(id))
				: NULL;

		if (lease && lease_has_ended(lease)) {
			runs_kill(worker, lease->id);
			lease_free(lease);
		}
	}
}

static bool has_unreported_end(const struct worker *worker)
{
	for (const struct lease *l = worker->leases; l; l = l->hh.next) {
		if (lease_has_ended(l) && !l->reported)
			return true;
	}
	return false;
}

/*
 * Answers at once if the wait is 0 or an end of a task was not reported yet,
 * otherwise when a task ends or the wait expires.
 */
static void handle_sync(struct worker *worker,
			const struct fake_request *request, const json_t *body)
{
	int64_t wait_ms = get_number(body, "wait_ms", 0);
	struct poll *poll;

	worker->workers->syncs++;
	sync_apply(worker, body);
	if (wait_ms <= 0 || has_unreported_end(worker)) {
		answer_sync(worker, request->id);
		return;
	}
	poll = xcalloc(1, sizeof(*poll));
	poll->worker = worker;
	poll->call = request->id;
	poll->timer = (struct timer){ .fn = on_poll_timeout, .ctx = poll };
	LL_PREPEND(worker->polls, poll);
	timer_start(worker->workers->loop, &poll->timer, (uint64_t)wait_ms);
}

/* Serves /v1/tasks/<lease>, .../throttle and .../checkpoint. */
static void handle_task(struct worker *worker,
			const struct fake_request *request, const char *rest)
{
	struct workers *workers = worker->workers;
	const char *slash = strchr(rest, '/');
	size_t len = slash ? (size_t)(slash - rest) : strlen(rest);
	char id[ID_MAX];
	struct lease *lease;
	int status = 200;

	snprintf(id, sizeof(id), "%.*s", (int)len, rest);
	lease = lease_find(worker, id);
	if (!lease) {
		status = 404;
	} else if (!slash && !strcmp(request->http.method, "DELETE")) {
		lease_end(lease, "stopped");
	} else if (slash && !strcmp(slash, "/throttle")) {
		workers->throttles++;
	} else if (slash && !strcmp(slash, "/checkpoint")) {
		workers->checkpoints++;
	} else {
		status = 405;
	}
	fake_answer_json(workers->fake, request->id, status, NULL,
			 json_object());
}

static const char *strip_prefix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) ? NULL : path + len;
}

static void handle(void *ctx, const struct fake_request *request)
{
	struct workers *workers = ctx;
	struct worker *worker = &workers->table[request->port];
	const struct httpd_request *http = &request->http;
	json_t *body = json_loadb(http->body, http->body_len, 0, NULL);
	bool post = !strcmp(http->method, "POST");
	const char *rest;

	if (http->body_len && !body)
		fake_answer_error(workers->fake, request->id, 400,
				  "body is not JSON");
	else if ((rest = strip_prefix(http->path, "/v1/leases/")) &&
		 !strcmp(http->method, "PUT"))
		handle_lease(worker, request, rest, body);
	else if (!strcmp(http->path, "/v1/tasks") && post)
		handle_start(worker, request, body);
	else if (!strcmp(http->path, "/v1/sync") && post)
		handle_sync(worker, request, body);
	else if ((rest = strip_prefix(http->path, "/v1/tasks/")))
		handle_task(worker, request, rest);
	else
		fake_answer_error(workers->fake, request->id, 404,
				  "no such path");
	json_decref(body);
}

static json_t *task_stats_json(const struct task_stats *table)
{
	json_t *json = json_object();

	for (const struct task_stats *s = table; s; s = s->hh.next)
		json_object_set_new(json, s->name,
				    json_pack("{s:i, s:i, s:i}", "starts",
					      (int)s->starts, "running",
					      (int)s->running, "max_running",
					      (int)s->max_running));
	return json;
}

static json_t *jobs_json(const struct workers *workers)
{
	json_t *json = json_object();

	for (const struct job *j = workers->jobs; j; j = j->hh.next)
		json_object_set_new(json, j->name,
				    json_pack("{s:i, s:i}", "tasks_running",
					      (int)j->tasks_running,
					      "max_tasks_running",
					      (int)j->max_tasks_running));
	return json;
}

static json_t *workers_json(const struct workers *workers)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < fake_port_count(workers->fake); i++) {
		const struct worker *w = &workers->table[i];

		json_array_append_new(
			list,
			json_pack("{s:i, s:I, s:I, s:I, s:i}", "port",
				  fake_port(workers->fake, i), "max_cpus",
				  (json_int_t)w->max_used.cpus, "max_mem_mb",
				  (json_int_t)w->max_used.mem_mb, "max_accel",
				  (json_int_t)w->max_used.accel, "leases",
				  (int)HASH_COUNT(w->leases)));
	}
	return list;
}

static json_t *observe(void *ctx)
{
	struct workers *workers = ctx;

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o, s:o}",
		"starts", (json_int_t)workers->starts, "refused_starts",
		(json_int_t)workers->refused_starts, "running",
		(json_int_t)workers->running, "max_running",
		(json_int_t)workers->max_running, "overlaps",
		(json_int_t)workers->overlaps, "overcommits",
		(json_int_t)workers->overcommits, "syncs",
		(json_int_t)workers->syncs, "throttles",
		(json_int_t)workers->throttles, "checkpoints",
		(json_int_t)workers->checkpoints, "tasks",
		task_stats_json(workers->task_stats), "tags",
		task_stats_json(workers->tags), "jobs", jobs_json(workers),
		"workers", workers_json(workers));
}

static void workers_init(struct workers *workers)
{
	uint32_t count = fake_port_count(workers->fake);

	workers->table = xcalloc(count, sizeof(struct worker));
	for (uint32_t i = 0; i < count; i++) {
		workers->table[i].workers = workers;
		workers->table[i].port = i;
	}
}

static int64_t option(const struct arg_int *arg, int64_t fallback)
{
	return arg->count ? arg->ival[0] : fallback;
}

int main(int argc, char **argv)
{
	struct fake_listen_args args = fake_listen_args();
	struct arg_int *cpus =
		arg_int0(NULL, "cpus", "N", "processors of each worker (64)");
	struct arg_int *mem = arg_int0(NULL, "mem-mb", "MB",
				       "memory of each worker (262144)");
	struct arg_int *accel =
		arg_int0(NULL, "accel", "N", "accelerators of each worker (0)");
	void *table[] = { args.listen, args.base_port, args.count, cpus,
			  mem,	       accel,	       arg_end(8) };
	struct workers workers = { .loop = loop_new() };
	struct fake_settings settings = {
		.program = "fakeworker",
		.observe_path = "/observe",
		.max_body = BODY_MAX,
		.handler = handle,
		.observe = observe,
		.ctx = &workers,
	};
	struct err err = { 0 };

	fake_parse_args(argc, argv, table);
	workers.capacity.cpus = option(cpus, 64);
	workers.capacity.mem_mb = option(mem, 262144);
	workers.capacity.accel = option(accel, 0);
	workers.fake = fake_new(workers.loop, &settings);
	if (!fake_listen(workers.fake, &args, &err)) {
		fprintf(stderr, "fakeworker: %s\n", err.text);
		return 1;
	}
	workers_init(&workers);
	return fake_run(workers.fake);
}
