/*
 * Minions of the platform's test double, each on a port of its own. They start
 * what they are told to, even beyond their capacity, and observe whether a task
 * ran twice or a minion was filled too far. The payload of a task is JSON:
 * {"run_ms": N, "fail": true}.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "buf.h"
#include "cell/spec.h"
#include "platform.h"

#define CPU_MILLI 8000
#define MEM_MB 16000
#define HEARTBEAT_MS 500
#define HOLD_MAX_MS 6000
#define GANG_TIMEOUT_MS 3000
#define DEFAULT_RUN_MS 200
#define TICK_MS 20
#define GOOD_SHARE 3 /* all but every third minion may run a step */

struct run {
	char task[CELL_TASK_MAX];
	uint64_t number;
	uint64_t ends_ms;
	bool fails;
};

struct end {
	uint64_t number;
	char task[CELL_TASK_MAX];
	uint64_t run;
	const char *how;
};

struct minion {
	char id[32];
	uint64_t token;
	uint64_t
		lease_ms; /* on the minion's clock, which is that of the loop */
	struct run *runs;
	uint32_t run_count;
	struct end *ends;
	uint32_t end_count;
	uint64_t next_end;
	uint64_t observed;
	uint64_t hold_call; /* 0: none waits */
	uint64_t hold_until_ms;
};

/* What is known of a task over all minions. */
struct tally {
	char task[CELL_TASK_MAX];
	uint32_t running;
	uint32_t starts;
	uint32_t done;
	uint64_t past_run; /* highest that was stopped or has ended */
	UT_hash_handle hh;
};

struct platform_minions {
	struct loop *loop;
	struct platform_kv *kv;
	struct fake *fake;
	uint32_t first_port;
	uint32_t count;
	struct minion *table;
	struct tally *tallies;
	uint64_t born_ms;
	uint64_t beat_ms;
	uint64_t sequence;
	uint64_t twice;
	uint64_t after_done;
	uint64_t fenced;
	uint64_t questions;
	struct timer tick;
};

static struct tally *tally_of(struct platform_minions *p, const char *task)
{
	struct tally *tally;

	HASH_FIND_STR(p->tallies, task, tally);
	if (!tally) {
		tally = xcalloc(1, sizeof(*tally));
		snprintf(tally->task, sizeof(tally->task), "%s", task);
		HASH_ADD_STR(p->tallies, task, tally);
	}
	return tally;
}

static void write_entry(struct platform_minions *p, uint32_t at)
{
	struct minion *m = &p->table[at];
	char key[64];
	char addr[32];

	snprintf(key, sizeof(key), "servers/%s", m->id);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d",
		 fake_port(p->fake, p->first_port + at));
	platform_kv_put(
		p->kv, key,
		json_pack(
			"{s:s,s:s,s:s,s:s,s:s,s:i,s:{s:i,s:i},s:[s,s],s:I,s:I,"
			"s:I}",
			"service", "svc", "address", addr, "zone", "az-a",
			"version", "v1", "state", "ready", "slots", 8,
			"capacity", "cpu", CPU_MILLI, "mem_mb", MEM_MB,
			"labels", "a", "r1-1", "born", (json_int_t)p->born_ms,
			"sequence", (json_int_t)p->sequence, "clock_ms",
			(json_int_t)loop_now_ms()));
}

static json_t *lists(const struct minion *m, const struct platform_minions *p)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (uint32_t i = 0; i < m->run_count; i++)
		json_array_append_new(running,
				      json_pack("[s,I,s,i]", m->runs[i].task,
						(json_int_t)m->runs[i].number,
						"", 50));
	for (uint32_t i = 0; i < m->end_count; i++)
		json_array_append_new(
			ended,
			json_pack("[I,s,I,s,s]", (json_int_t)m->ends[i].number,
				  m->ends[i].task, (json_int_t)m->ends[i].run,
				  m->ends[i].how, ""));
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)loop_now_ms(), "born",
			 (json_int_t)p->born_ms, "running", running, "ended",
			 ended);
}

static void answer_hold(struct platform_minions *p, struct minion *m)
{
	uint64_t call = m->hold_call;

	if (!call)
		return;
	m->hold_call = 0;
	fake_answer_json(p->fake, call, 200, NULL, lists(m, p));
}

static void end_run(struct platform_minions *p, struct minion *m, uint32_t at,
		    const char *how)
{
	struct run run = m->runs[at];
	struct tally *tally = tally_of(p, run.task);
	struct end *end;

	m->runs[at] = m->runs[--m->run_count];
	m->ends = xrealloc(m->ends, (m->end_count + 1) * sizeof(*m->ends));
	end = &m->ends[m->end_count++];
	*end = (struct end){ .number = ++m->next_end,
			     .run = run.number,
			     .how = how };
	memcpy(end->task, run.task, sizeof(end->task));
	tally->running--;
	tally->done += !strcmp(how, "done");
	if (run.number > tally->past_run)
		tally->past_run = run.number;
	answer_hold(p, m);
}

static void tick_minion(struct platform_minions *p, struct minion *m,
			uint64_t now)
{
	uint32_t i = 0;

	while (i < m->run_count) {
		if (now > m->lease_ms)
			end_run(p, m, i, "lapsed");
		else if (now >= m->runs[i].ends_ms)
			end_run(p, m, i, m->runs[i].fails ? "failed" : "done");
		else
			i++;
	}
	if (m->hold_call && now >= m->hold_until_ms)
		answer_hold(p, m);
}

static void on_tick(struct timer *timer)
{
	struct platform_minions *p = timer->ctx;
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < p->count; i++)
		tick_minion(p, &p->table[i], now);
	if (now >= p->beat_ms) {
		p->beat_ms = now + HEARTBEAT_MS;
		p->sequence++;
		for (uint32_t i = 0; i < p->count; i++)
			write_entry(p, i);
	}
	timer_start(p->loop, &p->tick, TICK_MS);
}

static uint64_t get_u64(const json_t *body, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(body, name));

	return v > 0 ? (uint64_t)v : 0;
}

static void reject(struct platform_minions *p, uint64_t call,
		   const char *reason)
{
	fake_answer_json(p->fake, call, 409, NULL,
			 json_pack("{s:I,s:s}", "clock_ms",
				   (json_int_t)loop_now_ms(), "reason",
				   reason));
}

static void accept_order(struct platform_minions *p, uint64_t call)
{
	fake_may_lose_answer(p->fake, call);
	fake_answer_json(
		p->fake, call, 200, NULL,
		json_pack("{s:I}", "clock_ms", (json_int_t)loop_now_ms()));
}

static bool is_fenced(struct platform_minions *p, struct minion *m,
		      const json_t *body)
{
	uint64_t token = get_u64(body, "fencing_token");

	if (token < m->token) {
		p->fenced++;
		return true;
	}
	m->token = token;
	return false;
}

static int run_at(const struct minion *m, const char *task, uint64_t run)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (m->runs[i].number == run && !strcmp(m->runs[i].task, task))
			return (int)i;
	}
	return -1;
}

static void begin_run(struct platform_minions *p, struct minion *m,
		      const json_t *body, const char *task)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));
	json_t *payload = json_loads(spec ? spec : "{}", 0, NULL);
	uint64_t run_ms = get_u64(payload, "run_ms");
	struct tally *tally = tally_of(p, task);
	struct run *run;

	p->twice += tally->running > 0;
	p->after_done += tally->done > 0;
	tally->running++;
	tally->starts++;
	m->runs = xrealloc(m->runs, (m->run_count + 1) * sizeof(*m->runs));
	run = &m->runs[m->run_count++];
	*run = (struct run){
		.number = get_u64(body, "run"),
		.ends_ms = loop_now_ms() + (run_ms ? run_ms : DEFAULT_RUN_MS),
		.fails = json_is_true(json_object_get(payload, "fail"))
	};
	snprintf(run->task, sizeof(run->task), "%s", task);
	json_decref(payload);
}

static void handle_start(struct platform_minions *p, struct minion *m,
			 uint64_t call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint64_t deadline = get_u64(body, "deadline_ms");

	if (!task) {
		fake_answer_error(p->fake, call, 400, "no task");
	} else if (is_fenced(p, m, body)) {
		reject(p, call, "fence");
	} else if (run_at(m, task, get_u64(body, "run")) >= 0) {
		accept_order(p, call);
	} else if (get_u64(body, "run") <= tally_of(p, task)->past_run) {
		reject(p, call, "old");
	} else if (deadline < loop_now_ms()) {
		reject(p, call, "late");
	} else {
		if (deadline > m->lease_ms)
			m->lease_ms = deadline;
		begin_run(p, m, body, task);
		accept_order(p, call);
	}
}

static void handle_stop(struct platform_minions *p, struct minion *m,
			uint64_t call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int at;

	if (!task || is_fenced(p, m, body)) {
		reject(p, call, "fence");
		return;
	}
	at = run_at(m, task, get_u64(body, "run"));
	if (at >= 0)
		end_run(p, m, (uint32_t)at, "stopped");
	else if (get_u64(body, "run") > tally_of(p, task)->past_run)
		tally_of(p, task)->past_run = get_u64(body, "run");
	accept_order(p, call);
}

static void handle_hold(struct platform_minions *p, struct minion *m,
			uint64_t call, const json_t *body)
{
	uint64_t now = loop_now_ms();
	uint64_t observed = get_u64(body, "observed");
	uint64_t deadline = get_u64(body, "deadline_ms");
	uint64_t wait_ms = get_u64(body, "wait_ms");
	uint32_t kept = 0;

	if (is_fenced(p, m, body)) {
		reject(p, call, "fence");
		return;
	}
	if (deadline > m->lease_ms)
		m->lease_ms = deadline;
	if (m->lease_ms > now + HOLD_MAX_MS)
		m->lease_ms = now + HOLD_MAX_MS;
	for (uint32_t i = 0; i < m->end_count; i++) {
		if (m->ends[i].number > observed)
			m->ends[kept++] = m->ends[i];
	}
	m->end_count = kept;
	answer_hold(p, m);
	m->hold_call = call;
	m->hold_until_ms = now + wait_ms;
	if (!wait_ms || m->end_count)
		answer_hold(p, m);
}

/* Serves one call to the minion of the request's port. */
void platform_minions_handle(struct platform_minions *p,
			     const struct fake_request *request)
{
	struct minion *m = &p->table[request->port - p->first_port];
	json_t *body =
		json_loadb(request->http.body, request->http.body_len, 0, NULL);
	char expected[32];

	if (httpd_header(&request->http, "jayspoke-expect-instance", expected,
			 sizeof(expected)) &&
	    strcmp(expected, m->id) != 0)
		fake_answer_error(p->fake, request->id, 421, "another life");
	else if (!strcmp(request->http.path, "/run-start"))
		handle_start(p, m, request->id, body);
	else if (!strcmp(request->http.path, "/run-stop"))
		handle_stop(p, m, request->id, body);
	else if (!strcmp(request->http.path, "/hold"))
		handle_hold(p, m, request->id, body);
	else
		fake_answer_error(p->fake, request->id, 400, "no such call");
	json_decref(body);
}

/* Answers which minions may run a step: all but every third. */
void platform_advise(struct platform_minions *p,
		     const struct fake_request *request)
{
	json_t *body =
		json_loadb(request->http.body, request->http.body_len, 0, NULL);
	const json_t *ids = json_object_get(body, "workers");
	json_t *good = json_array();

	p->questions++;
	for (size_t i = 0; i < json_array_size(ids); i++) {
		const char *id = json_string_value(json_array_get(ids, i));

		if (id && strtoul(id + 1, NULL, 10) % GOOD_SHARE)
			json_array_append_new(good,
					      json_pack("[s,s]", id, "ticket"));
	}
	fake_answer_json(p->fake, request->id, 200, NULL,
			 json_pack("{s:o}", "good", good));
	json_decref(body);
}

/* Returns what the minions have observed. */
json_t *platform_minions_observe(const struct platform_minions *p)
{
	json_t *starts = json_object();
	uint32_t running = 0;
	uint32_t done = 0;

	for (const struct tally *t = p->tallies; t; t = t->hh.next) {
		json_object_set_new(starts, t->task, json_integer(t->starts));
		done += t->done > 0;
	}
	for (uint32_t i = 0; i < p->count; i++)
		running += p->table[i].run_count;
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:i,s:i,s:o}", "twice", (json_int_t)p->twice,
		"after_done", (json_int_t)p->after_done, "fenced",
		(json_int_t)p->fenced, "questions", (json_int_t)p->questions,
		"running", (int)running, "done", (int)done, "starts", starts);
}

struct platform_minions *platform_minions_new(struct loop *loop,
					      struct platform_kv *kv)
{
	struct platform_minions *p = xcalloc(1, sizeof(*p));

	p->loop = loop;
	p->kv = kv;
	p->born_ms = loop_now_ms();
	p->tick = (struct timer){ .fn = on_tick, .ctx = p };
	return p;
}

/* Gives each listener of @fake from @first_port on to a minion. */
void platform_minions_open(struct platform_minions *p, struct fake *fake,
			   uint32_t first_port)
{
	p->fake = fake;
	p->first_port = first_port;
	p->count = fake_port_count(fake) - first_port;
	p->table = xcalloc(p->count, sizeof(*p->table));
	for (uint32_t i = 0; i < p->count; i++)
		snprintf(p->table[i].id, sizeof(p->table[i].id), "m%u", i);
	timer_start(p->loop, &p->tick, TICK_MS);
}
