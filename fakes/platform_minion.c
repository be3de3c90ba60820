/*
 * Minions of the platform's test double, each on a port of its own. They start
 * what they are told to, even beyond their capacity, and note what must not
 * happen. The payload of a task is JSON; all members are optional:
 * {"run_ms": N, "fail": true, "cpu": N, "mem_mb": N, "attempts": N,
 *  "width": N, "gang": true}. "cpu" and "mem_mb" are what a task takes,
 * "width" the number of tasks of each step, "attempts" the failures allowed.
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
/* A draining minion serves for so long before it leaves, in ms. */
#define DRAIN_MS 3000
#define FAULTS_MAX 50 /* texts that are kept */

struct run {
	char task[CELL_TASK_MAX];
	uint64_t number;
	uint64_t begun_ms;
	uint64_t run_ms;
	uint64_t ends_ms; /* 0: a member of a gang that waits */
	uint32_t cpu;
	uint32_t mem_mb;
	uint32_t gang; /* members, 0: none */
	bool fails;
};

struct end {
	uint64_t number;
	char task[CELL_TASK_MAX];
	uint64_t run;
	const char *how;
	bool lost; /* the lease lapsed before it was observed */
};

struct minion {
	char id[32];
	uint32_t life;
	uint64_t born_unix_ms;
	uint64_t born_ms;    /* its clock begins here */
	uint64_t down_until; /* crashed, 0: up */
	uint64_t drain_until;
	uint64_t grey_until; /* fails all that it starts */
	uint64_t hang_until; /* nothing ends */
	uint64_t token;
	uint64_t lease_ms; /* on the clock of the loop */
	struct run *runs;
	uint32_t run_count;
	struct end *ends;
	uint32_t end_count;
	uint64_t next_end;
	uint64_t hold_call; /* 0: none waits */
	uint64_t hold_until_ms;
};

/* What is known of a task over all minions. */
struct tally {
	char task[CELL_TASK_MAX];
	uint32_t running;
	uint32_t starts;
	uint32_t done;
	uint32_t failed;
	/* The same without ends that were lost before anyone took note. */
	uint32_t done_noted;
	uint32_t failed_noted;
	uint64_t past_run;   /* highest that was stopped or has ended */
	uint64_t ordered_ms; /* when the latest start was asked for, Unix */
	UT_hash_handle hh;
};

/* An order that had no answer and is carried out later. */
struct late_order {
	struct platform_minions *p;
	uint32_t minion;
	uint32_t life;
	json_t *body;
	uint64_t ordered_unix_ms;
	struct timer timer;
};

struct platform_minions {
	struct loop *loop;
	struct platform_kv *kv;
	struct fake *fake;
	uint32_t first_port;
	uint32_t public_base; /* first port that minions register, 0: their own
			       */
	uint32_t count;
	struct minion *table;
	struct tally *tallies;
	uint64_t beat_ms;
	uint64_t sequence;
	uint32_t late_orders;
	uint32_t late_ms;
	uint64_t twice;
	uint64_t after_done;
	uint64_t over_capacity;
	uint64_t over_budget;
	uint64_t too_early;
	uint64_t fenced;
	uint64_t questions;
	char *faults[FAULTS_MAX];
	uint32_t fault_count;
	struct timer tick;
};

static uint64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* Notes that @task was started on @m against a promise. */
static void note_fault(struct platform_minions *p, uint64_t *counter,
		       const char *what, const struct minion *m,
		       const char *task, uint64_t run)
{
	struct buf text;

	(*counter)++;
	if (p->fault_count == FAULTS_MAX)
		return;
	text = buf_fmt("%s task=%s run=%llu minion=%s unix_ms=%llu", what, task,
		       (unsigned long long)run, m->id,
		       (unsigned long long)unix_ms());
	p->faults[p->fault_count++] = text.data;
}

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

/*
 * The clock of a minion begins with its life; that of every second one is 2%
 * slow.
 */
static uint64_t clock_of(const struct platform_minions *p,
			 const struct minion *m)
{
	uint64_t age = loop_now_ms() - m->born_ms;

	return (m - p->table) % 2 ? age - age / 50 : age;
}

/* Returns when the clock of the minion will show @clock_ms. */
static uint64_t when_clock(const struct platform_minions *p,
			   const struct minion *m, uint64_t clock_ms)
{
	uint64_t age = (m - p->table) % 2 ? clock_ms + clock_ms / 49 : clock_ms;

	return m->born_ms + age;
}

static void write_entry(struct platform_minions *p, struct minion *m)
{
	uint32_t at = (uint32_t)(m - p->table);
	int port = p->public_base ? (int)(p->public_base + at)
				  : fake_port(p->fake, p->first_port + at);
	char key[64];
	char addr[32];

	snprintf(key, sizeof(key), "servers/%s", m->id);
	snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	platform_kv_put(
		p->kv, key,
		json_pack(
			"{s:s,s:s,s:s,s:s,s:s,s:i,s:{s:i,s:i},s:[s,s],s:I,s:I,"
			"s:I}",
			"service", "svc", "address", addr, "zone", "az-a",
			"version", "v1", "state",
			m->drain_until ? "draining" : "ready", "slots", 8,
			"capacity", "cpu", CPU_MILLI, "mem_mb", MEM_MB,
			"labels", "a", "r1-1", "born",
			(json_int_t)m->born_unix_ms, "sequence",
			(json_int_t)p->sequence, "clock_ms",
			(json_int_t)clock_of(p, m)));
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
			 (json_int_t)clock_of(p, m), "born",
			 (json_int_t)m->born_unix_ms, "running", running,
			 "ended", ended);
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
		    const char *how);

/* Ends the other members of a gang, one of which has ended. */
static void end_gang(struct platform_minions *p, const struct run *run,
		     const char *how)
{
	size_t len = (size_t)(strrchr(run->task, '.') + 1 - run->task);

	for (uint32_t i = 0; i < p->count; i++) {
		struct minion *m = &p->table[i];
		uint32_t k = 0;

		while (k < m->run_count) {
			struct run *r = &m->runs[k];

			if (r->gang && r->number == run->number &&
			    !strncmp(r->task, run->task, len)) {
				r->gang = 0;
				end_run(p, m, k, how);
			} else {
				k++;
			}
		}
	}
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
	tally->done_noted += !strcmp(how, "done");
	tally->failed += !strcmp(how, "failed");
	tally->failed_noted += !strcmp(how, "failed");
	if (run.number > tally->past_run)
		tally->past_run = run.number;
	if (run.gang)
		end_gang(p, &run, !strcmp(how, "done") ? "done" : "broken");
	answer_hold(p, m);
}

/* Ends that nobody has taken note of when the lease lapses do not count. */
static void lose_ends(struct platform_minions *p, struct minion *m)
{
	for (uint32_t i = 0; i < m->end_count; i++) {
		struct end *end = &m->ends[i];
		struct tally *tally = tally_of(p, end->task);

		if (end->lost)
			continue;
		end->lost = true;
		tally->done_noted -= !strcmp(end->how, "done");
		tally->failed_noted -= !strcmp(end->how, "failed");
	}
}

static uint32_t gang_present(const struct platform_minions *p,
			     const struct run *run)
{
	size_t len = (size_t)(strrchr(run->task, '.') + 1 - run->task);
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->count; i++) {
		const struct minion *m = &p->table[i];

		for (uint32_t k = 0; k < m->run_count; k++)
			n += m->runs[k].number == run->number &&
			     !strncmp(m->runs[k].task, run->task, len);
	}
	return n;
}

/* The members of a gang begin to work once all are there. */
static void gang_tick(struct platform_minions *p, struct run *run, uint64_t now)
{
	if (run->gang && !run->ends_ms && gang_present(p, run) >= run->gang)
		run->ends_ms = now + run->run_ms;
}

static void tick_minion(struct platform_minions *p, struct minion *m,
			uint64_t now)
{
	bool hangs = now < m->hang_until;
	uint32_t i = 0;

	if (now > m->lease_ms)
		lose_ends(p, m);
	while (i < m->run_count) {
		struct run *run = &m->runs[i];

		gang_tick(p, run, now);
		if (now > m->lease_ms) {
			end_run(p, m, i, "lapsed");
			i = 0;
		} else if (!run->ends_ms &&
			   now > run->begun_ms + GANG_TIMEOUT_MS) {
			end_run(p, m, i, "alone");
			i = 0;
		} else if (run->ends_ms && now >= run->ends_ms && !hangs) {
			end_run(p, m, i, run->fails ? "failed" : "done");
			i = 0;
		} else {
			i++;
		}
	}
	if (m->hold_call && now >= m->hold_until_ms)
		answer_hold(p, m);
}

/* The minion is gone with all that it ran. */
static void lose_all(struct platform_minions *p, struct minion *m)
{
	while (m->run_count) {
		struct run run = m->runs[0];

		tally_of(p, run.task)->running--;
		m->runs[0] = m->runs[--m->run_count];
		if (run.gang)
			end_gang(p, &run, "broken");
	}
	lose_ends(p, m);
	m->end_count = 0;
	answer_hold(p, m);
}

static void be_born(struct minion *m, uint64_t now)
{
	m->born_ms = now;
	m->born_unix_ms = unix_ms();
	m->down_until = 0;
	m->drain_until = 0;
	m->token = 0;
	m->lease_ms = 0;
	m->next_end = 0;
	m->life++;
}

static void leave(struct platform_minions *p, struct minion *m)
{
	char key[64];

	lose_all(p, m);
	snprintf(key, sizeof(key), "servers/%s", m->id);
	platform_kv_remove(p->kv, key);
}

static void tick_life(struct platform_minions *p, struct minion *m,
		      uint64_t now)
{
	if (m->down_until && now >= m->down_until) {
		be_born(m, now);
	} else if (m->drain_until && now >= m->drain_until) {
		leave(p, m);
		/* Another minion comes at its address. */
		be_born(m, now);
		snprintf(m->id, sizeof(m->id), "m%u-%u",
			 (uint32_t)(m - p->table), m->life);
	}
}

static void on_tick(struct timer *timer)
{
	struct platform_minions *p = timer->ctx;
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < p->count; i++) {
		tick_life(p, &p->table[i], now);
		tick_minion(p, &p->table[i], now);
	}
	if (now >= p->beat_ms) {
		p->beat_ms = now + HEARTBEAT_MS;
		p->sequence++;
		for (uint32_t i = 0; i < p->count; i++) {
			if (!p->table[i].down_until)
				write_entry(p, &p->table[i]);
		}
	}
	timer_start(p->loop, &p->tick, TICK_MS);
}

static uint64_t get_u64(const json_t *body, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(body, name));

	return v > 0 ? (uint64_t)v : 0;
}

/* Answers an order; a call of 0 waits for no answer. */
static void reject(struct platform_minions *p, const struct minion *m,
		   uint64_t call, const char *reason)
{
	if (call)
		fake_answer_json(p->fake, call, 409, NULL,
				 json_pack("{s:I,s:s}", "clock_ms",
					   (json_int_t)clock_of(p, m), "reason",
					   reason));
}

static void accept_order(struct platform_minions *p, const struct minion *m,
			 uint64_t call)
{
	if (!call)
		return;
	fake_may_lose_answer(p->fake, call);
	fake_answer_json(
		p->fake, call, 200, NULL,
		json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(p, m)));
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

/* Returns false if a task of the step before has not ended well. */
static bool step_before_done(struct platform_minions *p, const char *task,
			     uint64_t width)
{
	struct cell_task_name name;
	char before[CELL_TASK_MAX];

	if (!cell_task_parse(task, &name) || !name.step)
		return true;
	name.step--;
	for (name.index = 0; name.index < width; name.index++) {
		cell_task_format(&name, before);
		if (!tally_of(p, before)->done)
			return false;
	}
	return true;
}

static void check_room(struct platform_minions *p, const struct minion *m,
		       const struct run *run)
{
	uint64_t cpu = 0;
	uint64_t mem = 0;

	for (uint32_t i = 0; i < m->run_count; i++) {
		cpu += m->runs[i].cpu;
		mem += m->runs[i].mem_mb;
	}
	if (cpu > CPU_MILLI || mem > MEM_MB)
		note_fault(p, &p->over_capacity, "over-capacity", m, run->task,
			   run->number);
}

static void check_start(struct platform_minions *p, const struct minion *m,
			const struct tally *tally, const json_t *payload,
			uint64_t run)
{
	uint64_t attempts = get_u64(payload, "attempts");

	if (tally->running)
		note_fault(p, &p->twice, "twice", m, tally->task, run);
	if (tally->done_noted)
		note_fault(p, &p->after_done, "after-done", m, tally->task,
			   run);
	if (attempts && tally->failed_noted >= attempts)
		note_fault(p, &p->over_budget, "over-budget", m, tally->task,
			   run);
	if (!step_before_done(p, tally->task, get_u64(payload, "width")))
		note_fault(p, &p->too_early, "too-early", m, tally->task, run);
}

static void begin_run(struct platform_minions *p, struct minion *m,
		      const json_t *body, const char *task)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));
	json_t *payload = json_loads(spec ? spec : "{}", 0, NULL);
	struct tally *tally = tally_of(p, task);
	uint64_t now = loop_now_ms();
	struct run *run;

	check_start(p, m, tally, payload, get_u64(body, "run"));
	tally->running++;
	tally->starts++;
	m->runs = xrealloc(m->runs, (m->run_count + 1) * sizeof(*m->runs));
	run = &m->runs[m->run_count++];
	*run = (struct run){
		.number = get_u64(body, "run"),
		.begun_ms = now,
		.run_ms = get_u64(payload, "run_ms"),
		.cpu = (uint32_t)get_u64(payload, "cpu"),
		.mem_mb = (uint32_t)get_u64(payload, "mem_mb"),
		.fails = json_is_true(json_object_get(payload, "fail")) ||
			 now < m->grey_until,
	};
	snprintf(run->task, sizeof(run->task), "%s", task);
	if (!run->run_ms)
		run->run_ms = DEFAULT_RUN_MS;
	if (json_is_true(json_object_get(payload, "gang")))
		run->gang = (uint32_t)get_u64(payload, "width");
	if (!run->gang)
		run->ends_ms = now + run->run_ms;
	check_room(p, m, run);
	json_decref(payload);
}

static void handle_start(struct platform_minions *p, struct minion *m,
			 uint64_t call, const json_t *body,
			 uint64_t ordered_unix_ms)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint64_t deadline = get_u64(body, "deadline_ms");
	uint64_t lease = when_clock(p, m, deadline);

	if (!task) {
		if (call)
			fake_answer_error(p->fake, call, 400, "no task");
	} else if (is_fenced(p, m, body)) {
		reject(p, m, call, "fence");
	} else if (run_at(m, task, get_u64(body, "run")) >= 0) {
		accept_order(p, m, call);
	} else if (get_u64(body, "run") <= tally_of(p, task)->past_run) {
		reject(p, m, call, "old");
	} else if (deadline < clock_of(p, m)) {
		reject(p, m, call, "late");
	} else {
		if (lease > m->lease_ms)
			m->lease_ms = lease;
		tally_of(p, task)->ordered_ms = ordered_unix_ms;
		begin_run(p, m, body, task);
		accept_order(p, m, call);
	}
}

static void on_late_order(struct timer *timer)
{
	struct late_order *late = timer->ctx;
	struct minion *m = &late->p->table[late->minion];

	if (m->life == late->life && !m->down_until)
		handle_start(late->p, m, 0, late->body, late->ordered_unix_ms);
	json_decref(late->body);
	free(late);
}

static void order_late(struct platform_minions *p, const struct minion *m,
		       json_t *body)
{
	struct late_order *late = xcalloc(1, sizeof(*late));

	p->late_orders--;
	*late = (struct late_order){ .p = p,
				     .minion = (uint32_t)(m - p->table),
				     .life = m->life,
				     .body = json_incref(body),
				     .ordered_unix_ms = unix_ms() };
	late->timer = (struct timer){ .fn = on_late_order, .ctx = late };
	timer_start(p->loop, &late->timer, p->late_ms);
}

static void handle_stop(struct platform_minions *p, struct minion *m,
			uint64_t call, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int at;

	if (!task || is_fenced(p, m, body)) {
		reject(p, m, call, "fence");
		return;
	}
	at = run_at(m, task, get_u64(body, "run"));
	if (at >= 0)
		end_run(p, m, (uint32_t)at, "stopped");
	else if (get_u64(body, "run") > tally_of(p, task)->past_run)
		tally_of(p, task)->past_run = get_u64(body, "run");
	accept_order(p, m, call);
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
		reject(p, m, call, "fence");
		return;
	}
	if (deadline && when_clock(p, m, deadline) > m->lease_ms)
		m->lease_ms = when_clock(p, m, deadline);
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

	/* A crashed minion does not answer. */
	if (m->down_until)
		goto out;
	if (httpd_header(&request->http, "jayspoke-expect-instance", expected,
			 sizeof(expected)) &&
	    strcmp(expected, m->id) != 0)
		fake_answer_error(p->fake, request->id, 421, "another life");
	else if (!strcmp(request->http.path, "/run-start") && p->late_orders)
		order_late(p, m, body);
	else if (!strcmp(request->http.path, "/run-start"))
		handle_start(p, m, request->id, body, unix_ms());
	else if (!strcmp(request->http.path, "/run-stop"))
		handle_stop(p, m, request->id, body);
	else if (!strcmp(request->http.path, "/hold"))
		handle_hold(p, m, request->id, body);
	else
		fake_answer_error(p->fake, request->id, 400, "no such call");
out:
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

static void crash(struct platform_minions *p, struct minion *m, uint64_t for_ms)
{
	lose_all(p, m);
	m->down_until = loop_now_ms() + for_ms;
	m->drain_until = 0;
}

/*
 * Changes the faults of the minions: {"late_orders": N, "late_ms": M}, or one
 * of "crash", "drain", "grey" and "hang" with the number of a minion and
 * "for_ms". Returns false if @change names none of them.
 */
bool platform_minions_fault(struct platform_minions *p, const json_t *change)
{
	uint64_t until = loop_now_ms() + get_u64(change, "for_ms");
	struct minion *m;
	const char *key;
	json_t *value;

	if (json_object_get(change, "late_orders")) {
		p->late_orders = (uint32_t)get_u64(change, "late_orders");
		p->late_ms = (uint32_t)get_u64(change, "late_ms");
		return true;
	}
	json_object_foreach((json_t *)change, key, value)
	{
		if (!json_is_integer(value) || json_integer_value(value) < 0 ||
		    json_integer_value(value) >= p->count)
			continue;
		m = &p->table[json_integer_value(value)];
		if (!strcmp(key, "crash"))
			crash(p, m, get_u64(change, "for_ms"));
		else if (!strcmp(key, "drain") && !m->down_until)
			m->drain_until = loop_now_ms() + DRAIN_MS;
		else if (!strcmp(key, "grey"))
			m->grey_until = until;
		else if (!strcmp(key, "hang"))
			m->hang_until = until;
		else
			continue;
		return true;
	}
	return false;
}

/* Returns what the minions have observed. */
json_t *platform_minions_observe(const struct platform_minions *p)
{
	json_t *starts = json_object();
	json_t *tasks = json_object();
	json_t *faults = json_array();
	uint32_t running = 0;
	uint32_t done = 0;

	for (const struct tally *t = p->tallies; t; t = t->hh.next) {
		json_object_set_new(starts, t->task, json_integer(t->starts));
		/* Starts, good ends, failures, latest order, runs. */
		json_object_set_new(tasks, t->task,
				    json_pack("[i,i,i,I,i]", (int)t->starts,
					      (int)t->done, (int)t->failed,
					      (json_int_t)t->ordered_ms,
					      (int)t->running));
		done += t->done > 0;
	}
	for (uint32_t i = 0; i < p->count; i++)
		running += p->table[i].run_count;
	for (uint32_t i = 0; i < p->fault_count; i++)
		json_array_append_new(faults, json_string(p->faults[i]));
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:o,s:o,s:o}", "twice",
		(json_int_t)p->twice, "after_done", (json_int_t)p->after_done,
		"over_capacity", (json_int_t)p->over_capacity, "over_budget",
		(json_int_t)p->over_budget, "too_early",
		(json_int_t)p->too_early, "fenced", (json_int_t)p->fenced,
		"questions", (json_int_t)p->questions, "running", (int)running,
		"done", (int)done, "starts", starts, "tasks", tasks, "faults",
		faults);
}

struct platform_minions *platform_minions_new(struct loop *loop,
					      struct platform_kv *kv)
{
	struct platform_minions *p = xcalloc(1, sizeof(*p));

	p->loop = loop;
	p->kv = kv;
	p->tick = (struct timer){ .fn = on_tick, .ctx = p };
	return p;
}

/*
 * Gives each listener of @fake from @first_port on to a minion. Minions
 * register with ports from @public_base on, or with their own if that is 0.
 */
void platform_minions_open(struct platform_minions *p, struct fake *fake,
			   uint32_t first_port, uint32_t public_base)
{
	p->fake = fake;
	p->first_port = first_port;
	p->public_base = public_base;
	p->count = fake_port_count(fake) - first_port;
	p->table = xcalloc(p->count, sizeof(*p->table));
	for (uint32_t i = 0; i < p->count; i++) {
		snprintf(p->table[i].id, sizeof(p->table[i].id), "m%u", i);
		be_born(&p->table[i], loop_now_ms());
	}
	timer_start(p->loop, &p->tick, TICK_MS);
}
