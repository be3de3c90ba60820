/*
 * Minions of the platform test double, each on its own port. A minion accepts
 * starts even beyond its capacity and counts violated invariants. The payload
 * of a task is a JSON object with optional members:
 * {"run_ms": N, "fail": true, "cpu": N, "mem_mb": N, "attempts": N,
 *  "width": N, "gang": true, "crash_ms": N}
 * "cpu" and "mem_mb" are the resources of the task, "width" is the number of
 * tasks in each step, "attempts" the number of failures allowed. The first task
 * of a step crashes its minion after "crash_ms".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "buf.h"
#include "cell/spec.h"
#include "platform.h"

/* Ends that a report lists at most, the oldest first. */
#define ENDS_LISTED_MAX 500
#define CPU_MILLI 8000
/* How long a minion is away that a task has crashed, in ms. */
#define TASK_CRASH_MS 1500
#define MEM_MB 16000
#define HEARTBEAT_MS 500
/* An entry lapses after so many heartbeat intervals of silence. */
#define ENTRY_HEARTBEATS 3
/* After a failed heartbeat the next ones are spread over this time. */
#define HEARTBEAT_RETRY_MIN_MS 100
#define HEARTBEAT_RETRY_SPREAD_MS 1700
#define LEASE_MAX_MS 6000
#define GANG_TIMEOUT_MS 3000
#define DEFAULT_RUN_MS 200
#define TICK_MS 20
#define TICKET_MAX 24
#define INELIGIBLE_EVERY 3 /* the advice rejects every third minion */
/* A listed end counts as taken note of after this time, in ms. */
#define LISTED_NOTE_MS 100
/* Time from the start of a drain until the minion leaves. */
#define DRAIN_MS 3000
#define VIOLATIONS_MAX 50 /* stored for platform_minions_observe() */

struct run {
	char task[CELL_TASK_MAX];
	uint64_t number;
	uint64_t started_ms;
	uint64_t run_ms;
	uint64_t crashes_ms; /* when it crashes the minion, 0: never */
	uint64_t ends_ms;    /* 0: waits for the rest of its gang */
	const char *killed;  /* the outcome at ends_ms, NULL: not killed */
	uint32_t cpu;
	uint32_t mem_mb;
	uint32_t gang; /* number of members, 0: no gang */
	bool fails;
};

struct end {
	uint64_t number;
	char task[CELL_TASK_MAX];
	uint64_t run;
	uint64_t order; /* see struct start */
	const char *outcome;
	bool discarded;	    /* the lease lapsed before it was observed */
	uint64_t listed_ms; /* first response that lists it, 0: none */
	bool noted;	    /* as it was listed, see LISTED_NOTE_MS */
};

/* The highest run of a task that a minion has stopped or ended. */
struct floor {
	char task[CELL_TASK_MAX];
	uint64_t run;
	UT_hash_handle hh;
};

struct minion {
	char id[32];
	uint32_t incarnation;
	uint64_t boot_unix_ms;
	uint64_t boot_connection; /* the latest one of its former lives */
	uint64_t boot_ms;	  /* loop time at which its clock is 0 */
	uint64_t down_until;	  /* end of a crash, 0: up */
	uint64_t drain_until;
	uint64_t fail_until; /* all runs started before then fail */
	uint64_t hang_until; /* no run completes before then */
	uint64_t cut_until;  /* its heartbeats do not reach the store */
	uint64_t late_until; /* its requests and responses are late */
	uint64_t next_heartbeat_ms;
	uint64_t entry_until; /* when the entry lapses, 0: there is none */
	uint64_t sequence;
	uint64_t token;
	uint64_t lease_ms; /* expiry in loop time */
	struct run *runs;
	uint32_t run_count;
	struct end *ends;
	uint32_t end_count;
	uint64_t next_end;
	struct floor *floors;
	uint64_t poll_call; /* pending long poll, 0: none */
	uint64_t poll_until_ms;
};

/*
 * A start of a task. Starts and ends are in one order, since an end may be
 * observed after a later start, which is a violation all the same.
 */
struct start {
	uint64_t order;
	uint64_t run;
	char minion[32];
	uint64_t attempts; /* failures allowed, 0: any number */
	bool after_done;   /* as noted */
	bool after_listed;
	bool over_budget;
};

/* An end that counts as completion or failure. */
struct observation {
	uint64_t order;
	bool done;
	bool listed; /* not observed, but listed for LISTED_NOTE_MS */
};

/* Totals of a task over all minions. */
struct tally {
	char task[CELL_TASK_MAX];
	uint32_t running;
	uint32_t starts;
	uint32_t done;
	uint32_t failed;
	struct start *history;
	uint32_t history_count;
	struct observation *observations;
	uint32_t observation_count;
	uint64_t ordered_ms; /* Unix time of the latest start request */
	UT_hash_handle hh;
};

/*
 * A request that is not answered and is executed after a delay: a start, or a
 * poll if @poll.
 */
struct late_order {
	struct platform_minions *p;
	uint32_t minion;
	uint32_t incarnation;
	char id[32];
	bool poll;
	bool next_life; /* also executed in a later life under the same id */
	json_t *body;
	uint64_t ordered_unix_ms;
	struct timer timer;
};

/* A request to a minion. */
struct order {
	char path[16];
	char expected[32]; /* life of the minion, empty: any */
	json_t *body;
	uint64_t call; /* for answers */
	uint64_t connection;
};

/* A request that is on its way to a minion with late links. */
struct late_request {
	struct platform_minions *p;
	uint32_t minion;
	struct order order;
	struct timer timer;
};

/* A response that is on its way from a minion with late links. */
struct late_answer {
	struct platform_minions *p;
	uint64_t call;
	int status;
	json_t *body;
	struct timer timer;
};

struct platform_minions {
	struct loop *loop;
	struct platform_kv *kv;
	struct fake *fake;
	uint32_t first_port;
	/* First TCP port that minions register, 0: their own. */
	uint32_t advertised_base_port;
	uint32_t count;
	struct minion *table;
	struct tally *tallies;
	uint64_t order; /* of the latest start or end */
	uint32_t late_orders;
	uint32_t late_polls;
	uint32_t late_ms;
	uint32_t link_delay_ms; /* of late links, each way */
	bool link_vary;		/* each message takes up to link_delay_ms */
	uint32_t kill_ms;	/* how long a run goes on that is killed */
	bool kill_vary;		/* each run goes on for up to kill_ms */
	unsigned short random[3];
	uint32_t late_answers;
	uint64_t lapsed; /* runs whose lease ended */
	bool late_next_life;
	uint64_t twice;
	uint64_t after_done;
	uint64_t after_listed;
	uint64_t over_capacity;
	uint64_t over_budget;
	uint64_t too_early;
	uint64_t fenced;
	uint64_t advice_requests;
	char *violations[VIOLATIONS_MAX];
	uint32_t violation_count;
	struct timer tick;
};

static uint64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/*
 * Counts a start of @task on @minion that violates an invariant. @other is the
 * other run concerned, empty if there is none.
 */
static void note_violation(struct platform_minions *p, uint64_t *counter,
			   const char *what, const char *minion,
			   const char *task, uint64_t run, const char *other)
{
	struct buf text;

	(*counter)++;
	if (p->violation_count == VIOLATIONS_MAX)
		return;
	text = buf_fmt("%s task=%s run=%llu minion=%s unix_ms=%llu%s", what,
		       task, (unsigned long long)run, minion,
		       (unsigned long long)unix_ms(), other);
	p->violations[p->violation_count++] = text.data;
}

static struct tally *tally_get(struct platform_minions *p, const char *task)
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

/* Returns the highest run of @task stopped or ended on @m, 0: none. */
static uint64_t floor_get(const struct minion *m, const char *task)
{
	struct floor *floor;

	HASH_FIND_STR(m->floors, task, floor);
	return floor ? floor->run : 0;
}

static void floor_raise(struct minion *m, const char *task, uint64_t run)
{
	struct floor *floor;

	HASH_FIND_STR(m->floors, task, floor);
	if (!floor) {
		floor = xcalloc(1, sizeof(*floor));
		snprintf(floor->task, sizeof(floor->task), "%s", task);
		HASH_ADD_STR(m->floors, task, floor);
	}
	if (run > floor->run)
		floor->run = run;
}

static void floors_clear(struct minion *m)
{
	struct floor *floor = m->floors;

	HASH_CLEAR(hh, m->floors);
	while (floor) {
		struct floor *next = floor->hh.next;

		free(floor);
		floor = next;
	}
}

/*
 * Notes the starts of a task that come after an end that has been observed, be
 * it before the start or after it.
 */
static void check_history(struct platform_minions *p, struct tally *tally)
{
	for (uint32_t i = 0; i < tally->history_count; i++) {
		struct start *start = &tally->history[i];
		uint64_t failed = 0;
		bool done = false;
		bool listed = false;

		for (uint32_t k = 0; k < tally->observation_count; k++) {
			const struct observation *o = &tally->observations[k];

			if (o->order > start->order)
				continue;
			listed = listed || (o->done && o->listed);
			done = done || (o->done && !o->listed);
			failed += !o->done && !o->listed;
		}
		if (done && !start->after_done) {
			start->after_done = true;
			note_violation(p, &p->after_done, "after-done",
				       start->minion, tally->task, start->run,
				       "");
		}
		if (listed && !start->after_listed) {
			start->after_listed = true;
			note_violation(p, &p->after_listed, "after-listed",
				       start->minion, tally->task, start->run,
				       "");
		}
		if (start->attempts && failed >= start->attempts &&
		    !start->over_budget) {
			start->over_budget = true;
			note_violation(p, &p->over_budget, "over-budget",
				       start->minion, tally->task, start->run,
				       "");
		}
	}
}

/*
 * Handles that a caller of the minion has taken note of an end, or counts as if
 * it had since the end was @listed.
 */
static void observe_end(struct platform_minions *p, const struct end *end,
			bool listed)
{
	struct tally *tally = tally_get(p, end->task);
	bool done = !strcmp(end->outcome, "done");

	if (end->discarded || (!done && strcmp(end->outcome, "failed") != 0))
		return;
	tally->observations = xrealloc(tally->observations,
				       (tally->observation_count + 1) *
					       sizeof(*tally->observations));
	tally->observations[tally->observation_count++] = (struct observation){
		.order = end->order, .done = done, .listed = listed
	};
	check_history(p, tally);
}

/*
 * Handles the ends that were listed long enough ago, in a lease that had not
 * lapsed by then: they count as taken note of, whoever read the response.
 */
static void note_listed_ends(struct platform_minions *p, struct minion *m,
			     uint64_t now)
{
	for (uint32_t i = 0; i < m->end_count; i++) {
		struct end *end = &m->ends[i];
		uint64_t noted_ms = end->listed_ms + LISTED_NOTE_MS;

		if (!end->listed_ms || end->noted || now < noted_ms ||
		    noted_ms > m->lease_ms)
			continue;
		end->noted = true;
		observe_end(p, end, true);
	}
}

/*
 * Returns the clock of a minion, which is 0 when it boots. The clocks of every
 * second minion run 2% slow.
 */
static uint64_t minion_clock(const struct platform_minions *p,
			     const struct minion *m)
{
	uint64_t age = loop_now_ms() - m->boot_ms;

	return (m - p->table) % 2 ? age - age / 50 : age;
}

/* Returns the loop time at which the minion's clock reads @clock_ms. */
static uint64_t loop_time_at(const struct platform_minions *p,
			     const struct minion *m, uint64_t clock_ms)
{
	uint64_t age = (m - p->table) % 2 ? clock_ms + clock_ms / 49 : clock_ms;

	return m->boot_ms + age;
}

static void write_entry(struct platform_minions *p, struct minion *m)
{
	uint32_t at = (uint32_t)(m - p->table);
	int port = p->advertised_base_port
			   ? (int)(p->advertised_base_port + at)
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
			(json_int_t)m->boot_unix_ms, "sequence",
			(json_int_t)m->sequence, "clock_ms",
			(json_int_t)minion_clock(p, m)));
}

/*
 * Writes the entry of a minion when it is due, unless the heartbeat does not
 * reach the store, and removes the entry of one that has been silent.
 */
static void tick_entry(struct platform_minions *p, struct minion *m,
		       uint64_t now)
{
	char key[64];

	if (!m->down_until && now >= m->next_heartbeat_ms) {
		if (platform_kv_is_away(p->kv) || now < m->cut_until) {
			m->next_heartbeat_ms =
				now + HEARTBEAT_RETRY_MIN_MS +
				(uint64_t)(m - p->table) * 331 %
					HEARTBEAT_RETRY_SPREAD_MS;
		} else {
			m->next_heartbeat_ms = now + HEARTBEAT_MS;
			m->entry_until =
				now + (uint64_t)HEARTBEAT_MS * ENTRY_HEARTBEATS;
			m->sequence++;
			write_entry(p, m);
		}
	}
	/* While the store is away no entry lapses, but see platform_kv.c. */
	if (m->entry_until && platform_kv_is_away(p->kv))
		m->entry_until =
			now + (uint64_t)HEARTBEAT_MS * ENTRY_HEARTBEATS;
	if (!m->entry_until || now <= m->entry_until)
		return;
	m->entry_until = 0;
	snprintf(key, sizeof(key), "servers/%s", m->id);
	platform_kv_remove(p->kv, key);
}

static json_t *report_json(const struct minion *m,
			   const struct platform_minions *p)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (uint32_t i = 0; i < m->run_count; i++)
		json_array_append_new(running,
				      json_pack("[s,I,s,i]", m->runs[i].task,
						(json_int_t)m->runs[i].number,
						"", 50));
	for (uint32_t i = 0; i < m->end_count && i < ENDS_LISTED_MAX; i++)
		json_array_append_new(
			ended,
			json_pack("[I,s,I,s,s]", (json_int_t)m->ends[i].number,
				  m->ends[i].task, (json_int_t)m->ends[i].run,
				  m->ends[i].outcome, ""));
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)minion_clock(p, m), "born",
			 (json_int_t)m->boot_unix_ms, "running", running,
			 "ended", ended);
}

/* Returns @ms, or a pseudo-random time up to it if it varies. */
static uint32_t vary_ms(struct platform_minions *p, uint32_t ms, bool vary)
{
	return vary ? (uint32_t)(erand48(p->random) * (ms + 1)) : ms;
}

static void on_late_answer(struct timer *timer)
{
	struct late_answer *late = timer->ctx;

	fake_answer_json(late->p->fake, late->call, late->status, NULL,
			 late->body);
	free(late);
}

/* Sends a response, whose reference is taken; it is late if the links are. */
static void answer(struct platform_minions *p, const struct minion *m,
		   uint64_t call, int status, json_t *body)
{
	struct late_answer *late;

	if (loop_now_ms() >= m->late_until) {
		fake_answer_json(p->fake, call, status, NULL, body);
		return;
	}
	p->late_answers++;
	late = xcalloc(1, sizeof(*late));
	*late = (struct late_answer){
		.p = p, .call = call, .status = status, .body = body
	};
	late->timer = (struct timer){ .fn = on_late_answer, .ctx = late };
	timer_start(p->loop, &late->timer,
		    vary_ms(p, p->link_delay_ms, p->link_vary));
}

static void answer_error(struct platform_minions *p, const struct minion *m,
			 uint64_t call, int status, const char *text)
{
	answer(p, m, call, status, json_pack("{s:s}", "error", text));
}

static void answer_poll(struct platform_minions *p, struct minion *m)
{
	uint64_t call = m->poll_call;
	uint64_t now = loop_now_ms();

	if (!call)
		return;
	m->poll_call = 0;
	for (uint32_t i = 0; i < m->end_count && i < ENDS_LISTED_MAX; i++) {
		if (!m->ends[i].listed_ms)
			m->ends[i].listed_ms = now;
	}
	answer(p, m, call, 200, report_json(m, p));
}

static void end_run(struct platform_minions *p, struct minion *m, uint32_t at,
		    const char *outcome);

/* Ends the runs of the other members of a gang. */
static void end_gang(struct platform_minions *p, const struct run *run,
		     const char *outcome)
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
				end_run(p, m, k, outcome);
			} else {
				k++;
			}
		}
	}
}

static void end_run(struct platform_minions *p, struct minion *m, uint32_t at,
		    const char *outcome)
{
	struct run run = m->runs[at];
	struct tally *tally = tally_get(p, run.task);
	struct end *end;

	m->runs[at] = m->runs[--m->run_count];
	m->ends = xrealloc(m->ends, (m->end_count + 1) * sizeof(*m->ends));
	end = &m->ends[m->end_count++];
	*end = (struct end){ .number = ++m->next_end,
			     .run = run.number,
			     .order = ++p->order,
			     .outcome = outcome };
	memcpy(end->task, run.task, sizeof(end->task));
	tally->running--;
	tally->done += !strcmp(outcome, "done");
	tally->failed += !strcmp(outcome, "failed");
	p->lapsed += !strcmp(outcome, "lapsed");
	floor_raise(m, run.task, run.number);
	if (run.gang)
		end_gang(p, &run, !strcmp(outcome, "done") ? "done" : "broken");
	answer_poll(p, m);
}

/*
 * Marks the ends that were not observed before the lease lapsed or the minion
 * was gone; the scheduler may restart these tasks.
 */
static void discard_ends(struct minion *m)
{
	for (uint32_t i = 0; i < m->end_count; i++)
		m->ends[i].discarded = true;
}

static uint32_t gang_started_count(const struct platform_minions *p,
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

/* Starts a gang's run time once all members are present. */
static void gang_tick(struct platform_minions *p, struct run *run, uint64_t now)
{
	if (run->gang && !run->ends_ms &&
	    gang_started_count(p, run) >= run->gang)
		run->ends_ms = now + run->run_ms;
}

static void crash(struct platform_minions *p, struct minion *m,
		  uint64_t for_ms);

/* Crashes the minion if it is time for one of its runs to do so. */
static bool crash_by_run(struct platform_minions *p, struct minion *m,
			 uint64_t now)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (!m->runs[i].crashes_ms || now < m->runs[i].crashes_ms)
			continue;
		crash(p, m, TASK_CRASH_MS);
		return true;
	}
	return false;
}

/* Kills a run: it ends as @outcome after some time, until then it goes on. */
static void kill_run(struct platform_minions *p, struct run *run,
		     const char *outcome, uint64_t now)
{
	if (run->killed)
		return;
	run->killed = outcome;
	run->ends_ms = now + vary_ms(p, p->kill_ms, p->kill_vary);
}

/* Returns how the run ends now, NULL if it goes on. */
static const char *due_outcome(const struct run *run, bool hangs, uint64_t now)
{
	if (run->killed)
		return now >= run->ends_ms ? run->killed : NULL;
	if (!run->ends_ms)
		return now > run->started_ms + GANG_TIMEOUT_MS ? "alone" : NULL;
	if (now < run->ends_ms || hangs)
		return NULL;
	return run->fails ? "failed" : "done";
}

static void tick_minion(struct platform_minions *p, struct minion *m,
			uint64_t now)
{
	bool hangs = now < m->hang_until;
	uint32_t i = 0;

	if (crash_by_run(p, m, now))
		return;
	note_listed_ends(p, m, now);
	if (now > m->lease_ms)
		discard_ends(m);
	while (i < m->run_count) {
		struct run *run = &m->runs[i];
		const char *outcome;

		gang_tick(p, run, now);
		if (now > m->lease_ms)
			kill_run(p, run, "lapsed", m->lease_ms);
		outcome = due_outcome(run, hangs, now);
		if (outcome) {
			end_run(p, m, i, outcome);
			i = 0;
		} else {
			i++;
		}
	}
	if (m->poll_call && now >= m->poll_until_ms)
		answer_poll(p, m);
}

/* Drops all runs and ends of a minion that crashed or left. */
static void discard_runs(struct platform_minions *p, struct minion *m)
{
	while (m->run_count) {
		struct run run = m->runs[0];

		tally_get(p, run.task)->running--;
		m->runs[0] = m->runs[--m->run_count];
		if (run.gang)
			end_gang(p, &run, "broken");
	}
	discard_ends(m);
	m->end_count = 0;
	answer_poll(p, m);
}

static void start_minion(struct minion *m, uint64_t now)
{
	m->boot_ms = now;
	m->boot_unix_ms = unix_ms();
	m->boot_connection = fake_latest_connection();
	m->down_until = 0;
	m->drain_until = 0;
	m->token = 0;
	m->lease_ms = 0;
	m->next_end = 0;
	m->next_heartbeat_ms = now;
	m->sequence = 0;
	m->incarnation++;
	floors_clear(m);
}

static void deregister(struct platform_minions *p, struct minion *m)
{
	char key[64];

	discard_runs(p, m);
	m->entry_until = 0;
	snprintf(key, sizeof(key), "servers/%s", m->id);
	platform_kv_remove(p->kv, key);
}

static void tick_lifecycle(struct platform_minions *p, struct minion *m,
			   uint64_t now)
{
	if (m->down_until && now >= m->down_until) {
		start_minion(m, now);
	} else if (m->drain_until && now >= m->drain_until) {
		deregister(p, m);
		/* A new minion registers at the same address. */
		start_minion(m, now);
		snprintf(m->id, sizeof(m->id), "m%u-%u",
			 (uint32_t)(m - p->table), m->incarnation);
	}
}

static void on_tick(struct timer *timer)
{
	struct platform_minions *p = timer->ctx;
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < p->count; i++) {
		tick_lifecycle(p, &p->table[i], now);
		tick_minion(p, &p->table[i], now);
		tick_entry(p, &p->table[i], now);
	}
	timer_start(p->loop, &p->tick, TICK_MS);
}

static uint64_t get_u64(const json_t *body, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(body, name));

	return v > 0 ? (uint64_t)v : 0;
}

/* Rejects a request; @call is 0 if no reply is sent. */
static void reject(struct platform_minions *p, const struct minion *m,
		   uint64_t call, const char *reason)
{
	if (call)
		answer(p, m, call, 409,
		       json_pack("{s:I,s:s}", "clock_ms",
				 (json_int_t)minion_clock(p, m), "reason",
				 reason));
}

static void accept_order(struct platform_minions *p, const struct minion *m,
			 uint64_t call)
{
	if (!call)
		return;
	fake_may_lose_answer(p->fake, call);
	answer(p, m, call, 200,
	       json_pack("{s:I}", "clock_ms", (json_int_t)minion_clock(p, m)));
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

static int run_index(const struct minion *m, const char *task, uint64_t run)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (m->runs[i].number == run && !strcmp(m->runs[i].task, task))
			return (int)i;
	}
	return -1;
}

/* Returns false unless all tasks of the previous step are done. */
static bool previous_step_done(struct platform_minions *p, const char *task,
			       uint64_t width)
{
	struct cell_task_name name;
	char before[CELL_TASK_MAX];

	if (!cell_task_parse(task, &name) || !name.step)
		return true;
	name.step--;
	for (name.index = 0; name.index < width; name.index++) {
		cell_task_format(&name, before);
		if (!tally_get(p, before)->done)
			return false;
	}
	return true;
}

static void check_capacity(struct platform_minions *p, const struct minion *m,
			   const struct run *run)
{
	uint64_t cpu = 0;
	uint64_t mem = 0;

	for (uint32_t i = 0; i < m->run_count; i++) {
		cpu += m->runs[i].cpu;
		mem += m->runs[i].mem_mb;
	}
	if (cpu > CPU_MILLI || mem > MEM_MB)
		note_violation(p, &p->over_capacity, "over-capacity", m->id,
			       run->task, run->number, "");
}

/* Notes a start of a task of which another run goes on. */
static void note_twice(struct platform_minions *p, const struct minion *m,
		       const char *task, uint64_t run)
{
	for (uint32_t i = 0; i < p->count; i++) {
		const struct minion *at = &p->table[i];

		for (uint32_t k = 0; k < at->run_count; k++) {
			struct buf other;

			if (strcmp(at->runs[k].task, task) != 0)
				continue;
			other = buf_fmt(
				" beside=%s run=%llu lease_left_ms=%llu",
				at->id, (unsigned long long)at->runs[k].number,
				(unsigned long long)(at->lease_ms -
						     loop_now_ms()));
			note_violation(p, &p->twice, "twice", m->id, task, run,
				       other.data);
			buf_free(&other);
			return;
		}
	}
}

static void check_start(struct platform_minions *p, const struct minion *m,
			struct tally *tally, const json_t *payload,
			uint64_t run)
{
	struct start *start;

	if (tally->running)
		note_twice(p, m, tally->task, run);
	if (!previous_step_done(p, tally->task, get_u64(payload, "width")))
		note_violation(p, &p->too_early, "too-early", m->id,
			       tally->task, run, "");
	tally->history =
		xrealloc(tally->history,
			 (tally->history_count + 1) * sizeof(*tally->history));
	start = &tally->history[tally->history_count++];
	*start = (struct start){ .order = ++p->order,
				 .run = run,
				 .attempts = get_u64(payload, "attempts") };
	snprintf(start->minion, sizeof(start->minion), "%s", m->id);
	check_history(p, tally);
}

static bool is_first_of_step(const char *task)
{
	struct cell_task_name name;

	return cell_task_parse(task, &name) && !name.index;
}

static void start_run(struct platform_minions *p, struct minion *m,
		      const json_t *body, const char *task)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));
	json_t *payload = json_loads(spec ? spec : "{}", 0, NULL);
	struct tally *tally = tally_get(p, task);
	uint64_t now = loop_now_ms();
	struct run *run;

	check_start(p, m, tally, payload, get_u64(body, "run"));
	tally->running++;
	tally->starts++;
	m->runs = xrealloc(m->runs, (m->run_count + 1) * sizeof(*m->runs));
	run = &m->runs[m->run_count++];
	*run = (struct run){
		.number = get_u64(body, "run"),
		.started_ms = now,
		.run_ms = get_u64(payload, "run_ms"),
		.cpu = (uint32_t)get_u64(payload, "cpu"),
		.mem_mb = (uint32_t)get_u64(payload, "mem_mb"),
		.fails = json_is_true(json_object_get(payload, "fail")) ||
			 now < m->fail_until,
	};
	snprintf(run->task, sizeof(run->task), "%s", task);
	if (!run->run_ms)
		run->run_ms = DEFAULT_RUN_MS;
	if (get_u64(payload, "crash_ms") && is_first_of_step(task))
		run->crashes_ms = now + get_u64(payload, "crash_ms");
	if (json_is_true(json_object_get(payload, "gang")))
		run->gang = (uint32_t)get_u64(payload, "width");
	if (!run->gang)
		run->ends_ms = now + run->run_ms;
	check_capacity(p, m, run);
	json_decref(payload);
}

/* Extends the lease up to @deadline, a time on the minion's clock. */
static void renew_lease(const struct platform_minions *p, struct minion *m,
			uint64_t deadline)
{
	uint64_t limit = minion_clock(p, m) + LEASE_MAX_MS;
	uint64_t lease =
		loop_time_at(p, m, deadline < limit ? deadline : limit);

	if (lease > m->lease_ms)
		m->lease_ms = lease;
}

/* Writes the ticket that is valid in this life of the minion. */
static void ticket_of(const struct minion *m, char out[TICKET_MAX])
{
	snprintf(out, TICKET_MAX, "t%llu", (unsigned long long)m->boot_unix_ms);
}

/* Returns false if the start carries a ticket of another life. */
static bool ticket_valid(const struct minion *m, const json_t *body)
{
	const char *ticket = json_string_value(json_object_get(body, "ticket"));
	char valid[TICKET_MAX];

	ticket_of(m, valid);
	return !ticket || !strcmp(ticket, valid);
}

static void handle_start(struct platform_minions *p, struct minion *m,
			 uint64_t call, const json_t *body,
			 uint64_t ordered_unix_ms)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint64_t deadline = get_u64(body, "deadline_ms");

	if (!task) {
		if (call)
			answer_error(p, m, call, 400, "no task");
	} else if (is_fenced(p, m, body)) {
		reject(p, m, call, "fence");
	} else if (run_index(m, task, get_u64(body, "run")) >= 0) {
		accept_order(p, m, call);
	} else if (get_u64(body, "run") <= floor_get(m, task)) {
		renew_lease(p, m, deadline);
		reject(p, m, call, "old");
	} else if (deadline < minion_clock(p, m)) {
		reject(p, m, call, "late");
	} else if (!ticket_valid(m, body)) {
		reject(p, m, call, "ticket");
	} else {
		renew_lease(p, m, deadline);
		tally_get(p, task)->ordered_ms = ordered_unix_ms;
		start_run(p, m, body, task);
		accept_order(p, m, call);
	}
}

/* Applies what is due: under load the timer may be late for a lapsed lease. */
static void tick_minions(struct platform_minions *p)
{
	for (uint32_t i = 0; i < p->count; i++)
		tick_minion(p, &p->table[i], loop_now_ms());
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
	at = run_index(m, task, get_u64(body, "run"));
	if (at >= 0)
		kill_run(p, &m->runs[at], "stopped", loop_now_ms());
	else
		floor_raise(m, task, get_u64(body, "run"));
	accept_order(p, m, call);
	tick_minion(p, m, loop_now_ms());
}

/* Applies a poll, without its answer; returns false if it is fenced. */
static bool execute_poll(struct platform_minions *p, struct minion *m,
			 const json_t *body)
{
	uint64_t observed = get_u64(body, "observed");
	uint64_t deadline = get_u64(body, "deadline_ms");
	uint32_t kept = 0;

	if (is_fenced(p, m, body))
		return false;
	if (deadline)
		renew_lease(p, m, deadline);
	for (uint32_t i = 0; i < m->end_count; i++) {
		if (m->ends[i].number > observed)
			m->ends[kept++] = m->ends[i];
		else
			observe_end(p, &m->ends[i], false);
	}
	m->end_count = kept;
	return true;
}

static void handle_poll(struct platform_minions *p, struct minion *m,
			uint64_t call, const json_t *body)
{
	uint64_t wait_ms = get_u64(body, "wait_ms");

	if (!execute_poll(p, m, body)) {
		reject(p, m, call, "fence");
		return;
	}
	answer_poll(p, m);
	m->poll_call = call;
	m->poll_until_ms = loop_now_ms() + wait_ms;
	if (!wait_ms || m->end_count)
		answer_poll(p, m);
}

static void on_late_order(struct timer *timer)
{
	struct late_order *late = timer->ctx;
	struct platform_minions *p = late->p;
	struct minion *m = &p->table[late->minion];

	if (m->down_until || strcmp(m->id, late->id) != 0 ||
	    (m->incarnation != late->incarnation && !late->next_life))
		goto out;
	tick_minions(p);
	if (late->poll)
		execute_poll(p, m, late->body);
	else
		handle_start(p, m, 0, late->body, late->ordered_unix_ms);
out:
	json_decref(late->body);
	free(late);
}

static void delay_order(struct platform_minions *p, const struct minion *m,
			json_t *body, bool poll)
{
	struct late_order *late = xcalloc(1, sizeof(*late));

	if (poll)
		p->late_polls--;
	else
		p->late_orders--;
	*late = (struct late_order){ .p = p,
				     .minion = (uint32_t)(m - p->table),
				     .incarnation = m->incarnation,
				     .poll = poll,
				     .next_life = p->late_next_life,
				     .body = json_incref(body),
				     .ordered_unix_ms = unix_ms() };
	memcpy(late->id, m->id, sizeof(late->id));
	late->timer = (struct timer){ .fn = on_late_order, .ctx = late };
	timer_start(p->loop, &late->timer, p->late_ms);
}

/* Carries a request out that has reached its minion. */
static void handle_order(struct platform_minions *p, struct minion *m,
			 const struct order *order)
{
	tick_minions(p);
	/* A crashed minion does not answer. */
	if (m->down_until)
		return;
	/* What a proxy held back for a former life is lost with it. */
	if (order->connection <= m->boot_connection)
		fake_drop(p->fake, order->call);
	else if (order->expected[0] && strcmp(order->expected, m->id) != 0)
		answer_error(p, m, order->call, 421, "another life");
	else if (!strcmp(order->path, "/run-start") && p->late_orders)
		delay_order(p, m, order->body, false);
	else if (!strcmp(order->path, "/hold") && p->late_polls)
		delay_order(p, m, order->body, true);
	else if (!strcmp(order->path, "/run-start"))
		handle_start(p, m, order->call, order->body, unix_ms());
	else if (!strcmp(order->path, "/run-stop"))
		handle_stop(p, m, order->call, order->body);
	else if (!strcmp(order->path, "/hold"))
		handle_poll(p, m, order->call, order->body);
	else
		answer_error(p, m, order->call, 400, "unknown path");
}

static void on_late_request(struct timer *timer)
{
	struct late_request *late = timer->ctx;

	handle_order(late->p, &late->p->table[late->minion], &late->order);
	json_decref(late->order.body);
	free(late);
}

/*
 * Handles a request to the minion at the request's port. On late links it is
 * carried out later, even if its caller has gone by then.
 */
void platform_minions_handle(struct platform_minions *p,
			     const struct fake_request *request)
{
	uint32_t at = request->port - p->first_port;
	struct order order = {
		.body = json_loadb(request->http.body, request->http.body_len,
				   0, NULL),
		.call = request->id,
		.connection = request->connection,
	};
	struct late_request *late;

	snprintf(order.path, sizeof(order.path), "%s", request->http.path);
	if (!httpd_header(&request->http, "jayspoke-expect-instance",
			  order.expected, sizeof(order.expected)))
		order.expected[0] = '\0';
	if (loop_now_ms() >= p->table[at].late_until) {
		handle_order(p, &p->table[at], &order);
		json_decref(order.body);
		return;
	}
	late = xcalloc(1, sizeof(*late));
	*late = (struct late_request){ .p = p, .minion = at, .order = order };
	late->timer = (struct timer){ .fn = on_late_request, .ctx = late };
	timer_start(p->loop, &late->timer,
		    vary_ms(p, p->link_delay_ms, p->link_vary));
}

/* Handles an advice request: all but every third minion is eligible. */
void platform_advise(struct platform_minions *p,
		     const struct fake_request *request)
{
	json_t *body =
		json_loadb(request->http.body, request->http.body_len, 0, NULL);
	const json_t *ids = json_object_get(body, "workers");
	json_t *good = json_array();

	p->advice_requests++;
	for (size_t i = 0; i < json_array_size(ids); i++) {
		const char *id = json_string_value(json_array_get(ids, i));
		uint32_t at = id && id[0] ? (uint32_t)strtoul(id + 1, NULL, 10)
					  : p->count;
		char ticket[TICKET_MAX];

		if (at >= p->count || !(at % INELIGIBLE_EVERY))
			continue;
		ticket_of(&p->table[at], ticket);
		json_array_append_new(good, json_pack("[s,s]", id, ticket));
	}
	fake_answer_json(p->fake, request->id, 200, NULL,
			 json_pack("{s:o}", "good", good));
	json_decref(body);
}

static void crash(struct platform_minions *p, struct minion *m, uint64_t for_ms)
{
	/* A minion that crashes sends nothing. */
	m->poll_call = 0;
	discard_runs(p, m);
	m->down_until = loop_now_ms() + for_ms;
	m->drain_until = 0;
}

/* Cuts the minions of a list off from the store. */
static void cut_off(struct platform_minions *p, const json_t *list,
		    uint64_t until)
{
	for (size_t i = 0; i < json_array_size(list); i++) {
		json_int_t at = json_integer_value(json_array_get(list, i));

		if (at >= 0 && at < p->count)
			p->table[at].cut_until = until;
	}
}

/* Makes the links of the minions of a list late. */
static void delay_links(struct platform_minions *p, const json_t *list,
			uint64_t until)
{
	for (size_t i = 0; i < json_array_size(list); i++) {
		json_int_t at = json_integer_value(json_array_get(list, i));

		if (at >= 0 && at < p->count)
			p->table[at].late_until = until;
	}
}

/*
 * Injects a fault: {"late_orders": N, "late_ms": M}, optionally with
 * "late_polls" and "next_life", {"kill_ms": N}, or one of "crash",
 * "drain", "grey" and "hang" with the index of a minion and "for_ms", or "cut"
 * or "late_links" with a list of these. Runs that are stopped, or whose lease
 * has ended, go on for "kill_ms". A minion that is cut does not reach the
 * store; it still serves its callers. Requests on late links take "delay_ms" to
 * their minion, and responses as long to the caller. With "vary" each run, or
 * message, draws a time up to "kill_ms" or "delay_ms", so that messages on
 * different connections overtake each other. Returns false if @change names
 * none of these.
 */
bool platform_minions_fault(struct platform_minions *p, const json_t *change)
{
	uint64_t until = loop_now_ms() + get_u64(change, "for_ms");
	struct minion *m;
	const char *key;
	json_t *value;

	if (json_object_get(change, "late_orders")) {
		p->late_orders = (uint32_t)get_u64(change, "late_orders");
		p->late_polls = (uint32_t)get_u64(change, "late_polls");
		p->late_ms = (uint32_t)get_u64(change, "late_ms");
		p->late_next_life =
			json_is_true(json_object_get(change, "next_life"));
		return true;
	}
	if (json_object_get(change, "kill_ms")) {
		p->kill_ms = (uint32_t)get_u64(change, "kill_ms");
		p->kill_vary = json_is_true(json_object_get(change, "vary"));
		return true;
	}
	if (json_object_get(change, "cut")) {
		cut_off(p, json_object_get(change, "cut"), until);
		return true;
	}
	if (json_object_get(change, "late_links")) {
		p->link_delay_ms = (uint32_t)get_u64(change, "delay_ms");
		p->link_vary = json_is_true(json_object_get(change, "vary"));
		delay_links(p, json_object_get(change, "late_links"), until);
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
			m->fail_until = until;
		else if (!strcmp(key, "hang"))
			m->hang_until = until;
		else
			continue;
		return true;
	}
	return false;
}

/* Returns the totals and the recorded violations as a new object. */
json_t *platform_minions_observe(const struct platform_minions *p)
{
	json_t *starts = json_object();
	json_t *tasks = json_object();
	json_t *violations = json_array();
	uint32_t running = 0;
	uint32_t done = 0;

	for (const struct tally *t = p->tallies; t; t = t->hh.next) {
		json_object_set_new(starts, t->task, json_integer(t->starts));
		/* Starts, completions, failures, latest start, running. */
		json_object_set_new(tasks, t->task,
				    json_pack("[i,i,i,I,i]", (int)t->starts,
					      (int)t->done, (int)t->failed,
					      (json_int_t)t->ordered_ms,
					      (int)t->running));
		done += t->done > 0;
	}
	for (uint32_t i = 0; i < p->count; i++)
		running += p->table[i].run_count;
	for (uint32_t i = 0; i < p->violation_count; i++)
		json_array_append_new(violations,
				      json_string(p->violations[i]));
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:i,s:o,s:o,s:o}",
		"twice", (json_int_t)p->twice, "after_done",
		(json_int_t)p->after_done, "after_listed",
		(json_int_t)p->after_listed, "lapsed", (json_int_t)p->lapsed,
		"over_capacity", (json_int_t)p->over_capacity, "over_budget",
		(json_int_t)p->over_budget, "too_early",
		(json_int_t)p->too_early, "fenced", (json_int_t)p->fenced,
		"questions", (json_int_t)p->advice_requests, "running",
		(int)running, "late_answers", (int)p->late_answers, "done",
		(int)done, "starts", starts, "tasks", tasks, "faults",
		violations);
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
 * Creates a minion for each listener of @fake from index @first_port on. The
 * minions register consecutive TCP ports from @advertised_base_port on, or
 * their own ports if that is 0.
 */
void platform_minions_open(struct platform_minions *p, struct fake *fake,
			   uint32_t first_port, uint32_t advertised_base_port)
{
	p->fake = fake;
	p->first_port = first_port;
	p->advertised_base_port = advertised_base_port;
	p->count = fake_port_count(fake) - first_port;
	p->table = xcalloc(p->count, sizeof(*p->table));
	for (uint32_t i = 0; i < p->count; i++) {
		snprintf(p->table[i].id, sizeof(p->table[i].id), "m%u", i);
		start_minion(&p->table[i], loop_now_ms());
	}
	timer_start(p->loop, &p->tick, TICK_MS);
}
