#include "cellsim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <uthash.h>

#include "buf.h"
#include "cell/cell.h"

#define UNIX_BASE 1700000000000ULL
#define START_MS 1000
#define LEASE_MS 5500
#define MINION_LEASE_MAX_MS 6000
#define GANG_TIMEOUT_MS 3000
#define TICKET_VALID_MS 2500
#define TICK_MS 20
#define LIST_INTERVAL_MS 600
#define RECORD_LATENCY_MS 14
#define PREDECESSOR_LEASE_MS 7400
/* From when on a smaller capacity binds: 4 s of contact and one heartbeat. */
#define SHRINK_GRACE_MS 5000
/* Longest time for which a restart holds back requests. */
#define HELD_BACK_MS 4000
/* Ends that a report lists at most, the oldest first. */
#define ENDS_LISTED_MAX 20
/* A listed end counts as taken note of after this time. */
#define LISTED_NOTE_MS 100
/* Late links of a zone: how long, and the delay each way. */
#define LATE_MIN_MS 1000
#define LATE_SPREAD_MS 11000
#define LATE_DELAY_MIN_MS 200
#define LATE_DELAY_SPREAD_MS 600
/*
 * No faults are injected in this last part of the simulation, so that all jobs
 * can finish: queued advice requests of deposed holders may occupy the advice
 * service for 20 s.
 */
#define FAULT_FREE_TAIL_MS 60000
/* How late calls and responses are at most that are late by themselves. */
#define LATE_CALL_MS 8000
#define LATE_RESPONSE_MS 3000
/* How long a confirmation of the term counts. */
#define CONFIRMED_MS 1500
#define FIRST_PORT 80

enum sim_event {
	SIM_NONE,
	SIM_TICK,
	SIM_SUBMIT,
	SIM_START_ARRIVES,
	SIM_START_ANSWERED,
	SIM_STOP_ARRIVES,
	SIM_STOP_ANSWERED,
	SIM_POLL_ARRIVES,
	SIM_POLL_EXPIRES,
	SIM_POLL_ANSWERED,
	SIM_ADVISED,
	SIM_RECORDED,
	SIM_RUN_ENDS,
	SIM_GANG_TIMEOUT,
	SIM_LIST_MINIONS,
	SIM_TAKEOVER,
	SIM_UNRESPONSIVE,
	SIM_CRASH,
	SIM_RESTART,
	SIM_RACK_CRASH,
	SIM_TASK_CRASH,
	SIM_OUTAGE,
	SIM_SHRINK,
	SIM_LATE_LINKS,
	SIM_UNLISTED,
	SIM_MOVE,
	SIM_CANCEL,
	SIM_UNCONFIRMED,
	SIM_PAUSE
};

/* Response to a poll. */
struct sim_report {
	struct cell_report report;
	struct cell_running *running;
	struct cell_ended *ended;
};

/* Scheduled event; which fields are used depends on the kind. */
struct event {
	uint64_t at_ms;
	uint64_t order; /* FIFO among events with the same time */
	enum sim_event kind;
	uint64_t token; /* fencing token of the holder that sent it */
	uint32_t minion;
	uint32_t incarnation;
	uint32_t port; /* that a call goes to */
	char task[CELL_TASK_MAX];
	uint64_t run;
	enum cell_result result;
	uint64_t deadline_ms;
	uint64_t observed;
	uint64_t sent_ms;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	uint64_t call;	 /* of which this is a request or response, 0: none */
	uint64_t seq;	 /* record number, or minion handle in the scheduler */
	bool unanswered; /* the reply is lost */
	bool errs;	 /* it is executed, and answered with an error */
	char *checkpoint;
	struct cell_advice_request *advice_request;
	struct sim_report *report;
};

struct sim_run {
	char task[CELL_TASK_MAX];
	uint64_t run;
	uint64_t began_ms;
	bool gang_pending;
	uint32_t class_index;
	uint64_t killed_ms; /* when it ends as @killed, 0: it is not killed */
	enum cell_end killed;
};

struct sim_end {
	bool voided;	    /* the lease expired before it was reported */
	bool noted;	    /* as it was listed, see LISTED_NOTE_MS */
	uint64_t listed_ms; /* first response that lists it, 0: none */
	uint64_t ended_ms;
	uint64_t number;
	char task[CELL_TASK_MAX];
	uint64_t run;
	enum cell_end end;
};

struct sim_minion {
	char id[CELL_NAME_MAX];
	uint32_t incarnation;
	uint64_t boot_ms;
	uint64_t unresponsive_until_ms;
	uint64_t down_until_ms;	 /* refuses connections until then */
	uint64_t held_until_ms;	 /* requests that are held back arrive */
	uint32_t shrunk_percent; /* capacity while shrunk */
	uint64_t shrunk_ms;	 /* since when */
	uint64_t shrunk_until_ms;
	uint64_t token;
	uint64_t lease_ms;
	uint64_t next_number;
	struct sim_run *runs;
	uint32_t run_count;
	struct sim_end *ends;
	uint32_t end_count;
	/* Highest run that was stopped or has ended, per task. */
	struct sim_end *past;
	uint32_t past_count;
	bool poll_pending;
	struct event poll;
	uint32_t port;		    /* of its address */
	uint32_t listed_port;	    /* of the address that is listed */
	bool port_reused;	    /* another one answers at the former */
	uint64_t away_until_ms;	    /* between two lives */
	uint64_t unlisted_until_ms; /* its entry is missing */
	uint64_t relisted_ms;	    /* its new address is listed from then on */
};

struct sim_task {
	bool done;
	bool ever_done;	     /* set also by ends that were voided later */
	bool listed_done;    /* an end counts as taken note of */
	uint64_t started_ms; /* latest start */
	uint32_t failures;
	uint32_t running;
	uint64_t failed_run;
	uint32_t crashes;	     /* minions that it crashed */
	uint32_t minions_lost;	     /* that crashed while it ran there */
	uint32_t starts_over_budget; /* since CELLSIM_CRASH_BUDGET crashes */
};

struct sim_job {
	char id[CELL_ID_MAX];
	uint32_t class_index;
	uint32_t count;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t work_ms;
	uint64_t at_ms;
	struct sim_task *tasks;
	uint32_t gang_failures;
	uint64_t gang_failed_run;
	uint64_t done_ms;
	bool crashes_minions;
	bool cancelled;
	UT_hash_handle hh;
};

struct stored_record {
	enum cell_record_kind kind;
	char subject[CELL_NAME_MAX];
	char minion[CELL_NAME_MAX]; /* of a crash */
	char addr[CELL_ADDR_MAX];
	uint64_t run;
	enum cell_end end;
	uint64_t age_ms;
	uint32_t blame;
	uint32_t others;
	bool begun;
	bool durable;
};

struct cellsim {
	struct cell_owner owner; /* first member */
	const struct cellsim_settings *settings;
	struct cellsim_result *result;
	struct cell *cell;
	struct cell_config config;
	uint64_t token;
	uint64_t now;
	uint64_t order;
	uint64_t random;
	uint64_t outage_until_ms;
	uint64_t paused_until_ms;      /* the holder does nothing */
	uint64_t unconfirmed_until_ms; /* nothing confirms the term */
	uint64_t confirmed_ms;	       /* latest confirmation of the term */
	uint64_t *late_until_ms;       /* by zone */
	uint32_t *late_ms;	       /* delay each way, by zone */
	bool *call_closed;	       /* answered or given up, by call */
	uint64_t call_count;
	uint64_t call_capacity;
	struct event *heap;
	uint32_t heap_count;
	uint32_t heap_capacity;
	struct sim_minion *minions;
	struct sim_job *jobs;
	uint32_t job_count;
	struct stored_record *records;
	uint32_t record_count;
	uint32_t record_capacity;
	uint64_t *pending; /* sequence numbers of this term, by record */
	uint64_t lane_free_ms[64]; /* when each advice lane becomes idle */
	uint64_t used_core_ms;
};

static void report_violation(struct cellsim *s, uint32_t *counter,
			     const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void report_violation(struct cellsim *s, uint32_t *counter,
			     const char *fmt, ...)
{
	va_list ap;
	int n;

	(*counter)++;
	if (s->settings->trace) {
		printf("%" PRIu64 " violation: ", s->now);
		va_start(ap, fmt);
		vprintf(fmt, ap);
		va_end(ap);
		putchar('\n');
	}
	if (s->result->first_violation[0])
		return;
	n = snprintf(s->result->first_violation,
		     sizeof(s->result->first_violation),
		     "%" PRIu64 " ms: ", s->now);
	va_start(ap, fmt);
	vsnprintf(s->result->first_violation + n,
		  sizeof(s->result->first_violation) - (size_t)n, fmt, ap);
	va_end(ap);
}

/* xorshift64*: a seed gives the same run on every platform. */
static uint64_t draw(struct cellsim *s)
{
	s->random ^= s->random >> 12;
	s->random ^= s->random << 25;
	s->random ^= s->random >> 27;
	return s->random * 2685821657736338717ULL;
}

static double draw_unit(struct cellsim *s)
{
	return (double)(draw(s) >> 11) / 9007199254740992.0;
}

static uint32_t draw_around(struct cellsim *s, uint32_t mean)
{
	double v = mean * (0.5 + draw_unit(s));

	return v < 1 ? 1 : (uint32_t)v;
}

static uint32_t network_delay_ms(struct cellsim *s)
{
	return 1 + (uint32_t)(draw(s) % 12);
}

static bool event_before(const struct event *a, const struct event *b)
{
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms;
	return a->order < b->order;
}

static void event_swap(struct event *a, struct event *b)
{
	struct event t = *a;

	*a = *b;
	*b = t;
}

static void event_push(struct cellsim *s, const struct event *event,
		       uint64_t in_ms)
{
	uint32_t i = s->heap_count++;

	if (s->heap_count > s->heap_capacity) {
		s->heap_capacity =
			s->heap_capacity ? s->heap_capacity * 2 : 1024;
		s->heap =
			xrealloc(s->heap, s->heap_capacity * sizeof(*s->heap));
	}
	s->heap[i] = *event;
	s->heap[i].at_ms = s->now + in_ms;
	s->heap[i].order = s->order++;
	while (i && event_before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		event_swap(&s->heap[i], &s->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct event event_pop(struct cellsim *s)
{
	struct event top = s->heap[0];
	uint32_t i = 0;

	s->heap[0] = s->heap[--s->heap_count];
	for (;;) {
		uint32_t child = i * 2 + 1;

		if (child >= s->heap_count)
			break;
		if (child + 1 < s->heap_count &&
		    event_before(&s->heap[child + 1], &s->heap[child]))
			child++;
		if (!event_before(&s->heap[child], &s->heap[i]))
			break;
		event_swap(&s->heap[i], &s->heap[child]);
		i = child;
	}
	return top;
}

static uint32_t zone_count(const struct cellsim *s)
{
	return s->settings->zones ? s->settings->zones : 1;
}

/* Returns how long a message to or from a minion takes. */
static uint32_t link_delay_ms(struct cellsim *s, uint32_t minion)
{
	uint32_t zone = minion % zone_count(s);
	uint32_t ms = network_delay_ms(s);

	if (s->now >= s->late_until_ms[zone])
		return ms;
	return ms + draw_around(s, s->late_ms[zone]);
}

/* Draws whether a fault of that share of the calls occurs now. */
static bool draw_fault(struct cellsim *s, double share)
{
	return share > 0 &&
	       s->now + FAULT_FREE_TAIL_MS <= s->settings->run_ms &&
	       draw_unit(s) < share;
}

/* Returns how long a response from a minion takes. */
static uint32_t response_delay_ms(struct cellsim *s, uint32_t minion)
{
	uint32_t ms = link_delay_ms(s, minion);

	if (draw_fault(s, s->settings->late_response_share))
		ms += (uint32_t)(draw(s) % LATE_RESPONSE_MS);
	return ms;
}

static uint32_t port_of(const char *addr)
{
	return (uint32_t)strtoul(strrchr(addr, ':') + 1, NULL, 10);
}

/*
 * Opens a call: unless it is answered before, @answer arrives without a result
 * after the timeout of the request @e.
 */
static void call_open(struct cellsim *s, struct event *e, enum sim_event answer)
{
	struct event expiry;

	e->call = ++s->call_count;
	if (e->call >= s->call_capacity) {
		s->call_capacity =
			s->call_capacity ? s->call_capacity * 2 : 1024;
		s->call_closed = xrealloc(s->call_closed, s->call_capacity);
	}
	s->call_closed[e->call] = false;
	expiry = *e;
	expiry.kind = answer;
	expiry.result = CELL_NO_ANSWER;
	event_push(s, &expiry, e->timeout_ms);
}

/* Returns false if the call has been answered or given up before. */
static bool call_close(struct cellsim *s, uint64_t call)
{
	if (s->call_closed[call])
		return false;
	s->call_closed[call] = true;
	return true;
}

static void report_free(struct sim_report *report)
{
	if (!report)
		return;
	free(report->running);
	free(report->ended);
	free(report);
}

static struct cellsim *to_cellsim(struct cell_owner *owner)
{
	return (struct cellsim *)owner;
}

static struct sim_job *job_find(struct cellsim *s, const char *task,
				struct cell_task_name *name)
{
	struct sim_job *job;

	if (!cell_task_parse(task, name))
		return NULL;
	HASH_FIND_STR(s->jobs, name->job, job);
	return job;
}

/* Sends a call late with the configured probability. */
static void delay_call(struct cellsim *s, uint64_t *in_ms)
{
	if (draw_fault(s, s->settings->late_call_share))
		*in_ms += draw(s) % LATE_CALL_MS;
}

/*
 * Loses the reply to a request with the configured probability; half of these
 * requests also arrive up to 8.5 s late.
 */
static void drop_reply(struct cellsim *s, struct event *event, uint64_t *in_ms)
{
	if (draw_unit(s) >= s->settings->reply_loss_share)
		return;
	event->unanswered = true;
	if (draw(s) & 1)
		*in_ms += 500 + draw(s) % 8000;
}

static void op_start(struct cell_owner *owner, const struct cell_start *start)
{
	struct cellsim *s = to_cellsim(owner);
	struct event e = { .kind = SIM_START_ARRIVES,
			   .token = s->token,
			   .minion = (uint32_t)strtoul(start->minion_id + 1,
						       NULL, 10),
			   .seq = start->minion,
			   .run = start->run,
			   .deadline_ms = start->deadline_ms,
			   .timeout_ms = start->timeout_ms };
	uint64_t in_ms = link_delay_ms(s, e.minion);

	e.port = port_of(start->addr);
	e.incarnation = s->minions[e.minion].incarnation;
	memcpy(e.task, start->task, sizeof(e.task));
	call_open(s, &e, SIM_START_ANSWERED);
	s->result->starts++;
	drop_reply(s, &e, &in_ms);
	delay_call(s, &in_ms);
	event_push(s, &e, in_ms);
}

static void op_stop(struct cell_owner *owner, const struct cell_stop *stop)
{
	struct cellsim *s = to_cellsim(owner);
	struct event e = { .kind = SIM_STOP_ARRIVES,
			   .token = s->token,
			   .minion = (uint32_t)strtoul(stop->minion_id + 1,
						       NULL, 10),
			   .seq = stop->minion,
			   .run = stop->run,
			   .timeout_ms = stop->timeout_ms };
	uint64_t in_ms = link_delay_ms(s, e.minion);

	e.port = port_of(stop->addr);
	e.incarnation = s->minions[e.minion].incarnation;
	memcpy(e.task, stop->task, sizeof(e.task));
	call_open(s, &e, SIM_STOP_ANSWERED);
	drop_reply(s, &e, &in_ms);
	delay_call(s, &in_ms);
	if (s->settings->trace)
		printf("%" PRIu64 " run-stop %s %s run %" PRIu64 "\n", s->now,
		       stop->task, stop->minion_id, stop->run);
	event_push(s, &e, in_ms);
}

static void op_hold(struct cell_owner *owner, uint32_t minion)
{
	struct cellsim *s = to_cellsim(owner);
	struct cell_poll poll;
	struct event e = { .kind = SIM_POLL_ARRIVES,
			   .token = s->token,
			   .seq = minion,
			   .sent_ms = s->now };
	uint64_t in_ms;

	if (!cell_poll_request(s->cell, minion, &poll, s->now))
		return;
	e.minion = (uint32_t)strtoul(poll.id + 1, NULL, 10);
	e.observed = poll.observed;
	e.deadline_ms = poll.deadline_ms;
	e.wait_ms = poll.wait_ms;
	e.timeout_ms = poll.timeout_ms;
	e.port = port_of(poll.addr);
	call_open(s, &e, SIM_POLL_ANSWERED);
	in_ms = link_delay_ms(s, e.minion);
	if (draw_fault(s, s->settings->poll_loss_share)) {
		e.unanswered = true;
		if (draw(s) & 1)
			in_ms += draw(s) % LATE_CALL_MS;
	}
	delay_call(s, &in_ms);
	event_push(s, &e, in_ms);
}

static bool is_eligible(const struct cellsim *s, const char *step,
			const char *minion, double share)
{
	uint64_t h =
		s->settings->seed * 1099511628211ULL + 14695981039346656037ULL;

	for (; *step; step++)
		h = (h ^ (unsigned char)*step) * 1099511628211ULL;
	for (; *minion; minion++)
		h = (h ^ (unsigned char)*minion) * 1099511628211ULL;
	h ^= h >> 33;
	return (double)(h % 10000) < share * 10000;
}

static const struct cellsim_class *class_of(struct cellsim *s, const char *task,
					    struct sim_job **job)
{
	struct cell_task_name name;
	char copy[CELL_TASK_MAX + 4];

	snprintf(copy, sizeof(copy), "%s.0", task);
	*job = job_find(s, cell_task_parse(task, &name) ? task : copy, &name);
	return *job ? &s->settings->classes[(*job)->class_index] : NULL;
}

static void op_ask(struct cell_owner *owner,
		   const struct cell_advice_request *q)
{
	struct cellsim *s = to_cellsim(owner);
	struct event e = { .kind = SIM_ADVISED, .token = s->token };
	struct sim_job *job;
	const struct cellsim_class *c = class_of(s, q->step, &job);
	uint64_t *lane = &s->lane_free_ms[q->lane];

	e.advice_request = xcalloc(1, sizeof(*e.advice_request));
	*e.advice_request = *q;
	/* The ids of the simulated minions outlive the call. */
	for (uint32_t i = 0; i < q->count; i++)
		e.advice_request->minions[i] =
			s->minions[strtoul(q->minions[i] + 1, NULL, 10)].id;
	if (*lane < s->now)
		*lane = s->now;
	*lane += (uint64_t)(c->advice_ms + c->advice_minion_ms * q->count);
	event_push(s, &e, *lane - s->now + network_delay_ms(s));
}

static const char *record_subject(const struct cell_record *record)
{
	switch (record->kind) {
	case CELL_RECORD_END:
	case CELL_RECORD_CRASH:
	case CELL_RECORD_CLEARED:
	case CELL_RECORD_UNANSWERED:
		return record->task;
	case CELL_RECORD_CANCEL:
	case CELL_RECORD_STATE:
	case CELL_RECORD_CONTAINED:
	case CELL_RECORD_OCCURRENCES:
	case CELL_RECORD_TOMBSTONE:
		return record->job;
	default:
		return record->minion;
	}
}

static void op_record(struct cell_owner *owner, uint64_t seq,
		      const struct cell_record *record)
{
	struct cellsim *s = to_cellsim(owner);
	struct event e = { .kind = SIM_RECORDED,
			   .token = s->token,
			   .seq = seq };
	struct stored_record *r;

	if (s->record_count == s->record_capacity) {
		s->record_capacity =
			s->record_capacity ? s->record_capacity * 2 : 1024;
		s->records = xrealloc(s->records,
				      s->record_capacity * sizeof(*s->records));
	}
	r = &s->records[s->record_count++];
	*r = (struct stored_record){ .kind = record->kind,
				     .run = record->run,
				     .end = record->end,
				     .age_ms = record->age_ms,
				     .blame = record->blame,
				     .others = record->others,
				     .begun = record->begun };
	snprintf(r->subject, sizeof(r->subject), "%s", record_subject(record));
	if (record->kind == CELL_RECORD_CRASH)
		snprintf(r->minion, sizeof(r->minion), "%s", record->minion);
	if (record->kind == CELL_RECORD_ENROLLED)
		snprintf(r->addr, sizeof(r->addr), "%s", record->addr);
	e.run = s->record_count; /* records before this index become durable */
	event_push(s, &e,
		   RECORD_LATENCY_MS + (s->outage_until_ms > s->now
						? s->outage_until_ms - s->now
						: 0));
}

static void op_event(struct cell_owner *owner, const struct cell_event *e)
{
	const struct cellsim *s = to_cellsim(owner);

	if (s->settings->trace)
		printf("%" PRIu64 " %s %s %s run %" PRIu64 " %s %" PRIu64 "\n",
		       s->now, e->what,
		       e->task	? e->task
		       : e->job ? e->job
				: "-",
		       e->minion ? e->minion : "-", e->run,
		       e->detail ? e->detail : "", e->value);
}

static const struct cell_ops sim_ops = {
	.start = op_start,
	.stop = op_stop,
	.request_advice = op_ask,
	.record = op_record,
	.poll = op_hold,
	.event = op_event,
};

/* Returns the monotonic clock of a minion; it starts at 1000 ms on boot. */
static uint64_t clock_of(const struct cellsim *s, const struct sim_minion *m)
{
	uint64_t age_ms = s->now - m->boot_ms;

	if ((m - s->minions) & 1)
		age_ms -= age_ms * s->settings->slow_clock_percent / 100;
	return age_ms + 1000;
}

static struct sim_run *run_find(struct sim_minion *m, const char *task,
				uint64_t run)
{
	for (uint32_t i = 0; i < m->run_count; i++) {
		if (m->runs[i].run == run && !strcmp(m->runs[i].task, task))
			return &m->runs[i];
	}
	return NULL;
}

static void note_past_run(struct sim_minion *m, const char *task, uint64_t run)
{
	for (uint32_t i = 0; i < m->past_count; i++) {
		if (!strcmp(m->past[i].task, task)) {
			if (run > m->past[i].run)
				m->past[i].run = run;
			return;
		}
	}
	m->past = xrealloc(m->past, (m->past_count + 1) * sizeof(*m->past));
	m->past[m->past_count] = (struct sim_end){ .run = run };
	snprintf(m->past[m->past_count].task, CELL_TASK_MAX, "%s", task);
	m->past_count++;
}

static bool is_past_run(const struct sim_minion *m, const char *task,
			uint64_t run)
{
	for (uint32_t i = 0; i < m->past_count; i++) {
		if (!strcmp(m->past[i].task, task))
			return run <= m->past[i].run;
	}
	return false;
}

static void answer_poll(struct cellsim *s, struct sim_minion *m);

static void update_job_done(struct cellsim *s, struct sim_job *job)
{
	for (uint32_t i = 0; i < job->count; i++) {
		if (!job->tasks[i].ever_done)
			return;
	}
	if (!job->done_ms)
		job->done_ms = s->now;
}

static void count_failure(struct sim_job *job, struct sim_task *task, bool gang,
			  uint64_t run)
{
	if (!gang) {
		task->failures++;
	} else if (job->gang_failed_run != run) {
		job->gang_failed_run = run;
		job->gang_failures++;
	}
}

/* Ends a run on a minion and queues the end for its next report. */
static void end_run(struct cellsim *s, struct sim_minion *m,
		    struct sim_run *run, enum cell_end how)
{
	struct cell_task_name name;
	struct sim_job *job = job_find(s, run->task, &name);
	struct sim_task *task = &job->tasks[name.index];
	bool gang = s->settings->classes[job->class_index].gang;
	struct sim_end *end;

	m->ends = xrealloc(m->ends, (m->end_count + 1) * sizeof(*m->ends));
	end = &m->ends[m->end_count++];
	*end = (struct sim_end){ .number = ++m->next_number,
				 .run = run->run,
				 .ended_ms = s->now,
				 .end = how };
	memcpy(end->task, run->task, sizeof(end->task));
	note_past_run(m, run->task, run->run);
	if (s->settings->trace)
		printf("%" PRIu64 " ends %s %s run %" PRIu64 " %s\n", s->now,
		       run->task, m->id, run->run, cell_end_name(how));
	task->running--;
	if (how == CELL_END_DONE) {
		task->done = true;
		task->ever_done = true;
	} else {
		s->result->wasted_core_ms +=
			(s->now - run->began_ms) * job->cpu_milli / 1000;
	}
	if (how == CELL_END_FAILED)
		count_failure(job, task, gang, run->run);
	s->result->gang_timeouts += how == CELL_END_ALONE;
	*run = m->runs[--m->run_count];
	update_job_done(s, job);
	answer_poll(s, m);
}

/* Ends the runs of the other members of a gang on all minions. */
static void end_gang(struct cellsim *s, const char *task, uint64_t run,
		     enum cell_end how)
{
	size_t len = (size_t)(strrchr(task, '.') - task) + 1;

	for (uint32_t i = 0; i < s->settings->minions; i++) {
		struct sim_minion *m = &s->minions[i];

		for (uint32_t r = 0; r < m->run_count;) {
			struct sim_run *other = &m->runs[r];

			if (other->run == run &&
			    !strncmp(other->task, task, len) &&
			    strcmp(other->task, task) != 0)
				end_run(s, m, other, how);
			else
				r++;
		}
	}
}

static uint32_t count_gang_members(struct cellsim *s, const char *task,
				   uint64_t run)
{
	size_t len = (size_t)(strrchr(task, '.') - task) + 1;
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->settings->minions; i++) {
		for (uint32_t r = 0; r < s->minions[i].run_count; r++) {
			const struct sim_run *other = &s->minions[i].runs[r];

			n += other->run == run &&
			     !strncmp(other->task, task, len);
		}
	}
	return n;
}

static void start_work(struct cellsim *s, uint32_t minion, const char *task,
		       uint64_t run, struct sim_job *job)
{
	const struct cellsim_class *c = &s->settings->classes[job->class_index];
	struct event e = { .kind = SIM_RUN_ENDS,
			   .minion = minion,
			   .incarnation = s->minions[minion].incarnation,
			   .run = run };

	snprintf(e.task, sizeof(e.task), "%s", task);
	e.result = draw_unit(s) < c->fail_share ? CELL_REJECTED_OTHER : CELL_OK;
	event_push(s, &e, draw_around(s, job->work_ms));
}

static void start_gang(struct cellsim *s, const char *task, uint64_t run,
		       struct sim_job *job)
{
	size_t len = (size_t)(strrchr(task, '.') - task) + 1;
	bool first = true;

	for (uint32_t i = 0; i < s->settings->minions; i++) {
		for (uint32_t r = 0; r < s->minions[i].run_count; r++) {
			struct sim_run *other = &s->minions[i].runs[r];

			if (other->run != run ||
			    strncmp(other->task, task, len) != 0)
				continue;
			other->gang_pending = false;
			/* The first member determines how the gang ends. */
			if (first)
				start_work(s, i, other->task, run, job);
			first = false;
		}
	}
}

static bool is_shrunk(const struct cellsim *s, const struct sim_minion *m)
{
	return s->now < m->shrunk_until_ms;
}

static uint32_t capacity_of(uint32_t full, const struct sim_minion *m,
			    bool shrunk)
{
	return shrunk ? full * m->shrunk_percent / 100 : full;
}

static void check_capacity(struct cellsim *s, struct sim_minion *m)
{
	bool shrunk =
		is_shrunk(s, m) && s->now > m->shrunk_ms + SHRINK_GRACE_MS;
	uint64_t cpu = 0;
	uint64_t mem = 0;

	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_task_name name;
		struct sim_job *job = job_find(s, m->runs[i].task, &name);

		cpu += job->cpu_milli;
		mem += job->mem_mb;
	}
	if (cpu > capacity_of(s->settings->cpu_milli, m, shrunk) ||
	    mem > capacity_of(s->settings->mem_mb, m, shrunk))
		report_violation(s, &s->result->over_capacity,
				 "%s exceeds its capacity: %" PRIu64
				 " millicores in use",
				 m->id, cpu);
}

static void check_start(struct cellsim *s, struct sim_job *job,
			const struct sim_task *task, const struct event *e)
{
	const struct cellsim_class *c = &s->settings->classes[job->class_index];

	s->result->concurrent_runs += task->running > 0;
	if (task->running)
		report_violation(s, &s->result->duplicate_runs,
				 "%s started while another run is active",
				 e->task);
	else if (task->done)
		report_violation(s, &s->result->duplicate_runs,
				 "%s started again after completion", e->task);
	else if (task->listed_done)
		report_violation(s, &s->result->after_listed,
				 "%s started after its end was listed",
				 e->task);
	if ((c->gang ? job->gang_failures : task->failures) >= c->max_attempts)
		report_violation(s, &s->result->over_max_attempts,
				 "%s started after %u failures", e->task,
				 c->gang ? job->gang_failures : task->failures);
}

/* Counts a start, and schedules the crash that the task causes, if any. */
static void note_crash_start(struct cellsim *s, struct sim_job *job,
			     const struct cell_task_name *name,
			     const struct event *e)
{
	struct sim_task *task = &job->tasks[name->index];
	struct event crash = *e;

	if (!job->crashes_minions || name->index)
		return;
	if (task->crashes >= CELLSIM_CRASH_BUDGET &&
	    ++task->starts_over_budget >= CELLSIM_CRASH_BUDGET)
		report_violation(s, &s->result->over_crash_budget,
				 "%s started %u times more after it had "
				 "crashed %u minions",
				 e->task, task->starts_over_budget,
				 CELLSIM_CRASH_BUDGET);
	crash.kind = SIM_TASK_CRASH;
	crash.incarnation = s->minions[e->minion].incarnation;
	event_push(s, &crash, draw_around(s, s->settings->crash_after_ms));
}

static void extend_lease(const struct cellsim *s, struct sim_minion *m,
			 uint64_t deadline_ms)
{
	uint64_t latest_ms = clock_of(s, m) + MINION_LEASE_MAX_MS;

	if (deadline_ms > latest_ms)
		deadline_ms = latest_ms;
	if (deadline_ms > m->lease_ms)
		m->lease_ms = deadline_ms;
}

static enum cell_result accept_start(struct cellsim *s, const struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];
	struct cell_task_name name;
	struct sim_job *job = job_find(s, e->task, &name);
	struct sim_task *task = &job->tasks[name.index];
	const struct cellsim_class *c = &s->settings->classes[job->class_index];
	struct sim_run *run;

	if (e->token < m->token)
		return CELL_REJECTED_FENCE;
	m->token = e->token;
	if (run_find(m, e->task, e->run))
		return CELL_OK;
	if (is_past_run(m, e->task, e->run))
		return CELL_REJECTED_OLD;
	if (clock_of(s, m) > e->deadline_ms)
		return CELL_REJECTED_LATE;
	/* A ticket is valid in the life for which it was granted. */
	if (c->advice_ms > 0 && e->incarnation != m->incarnation)
		return CELL_REJECTED_TICKET;
	extend_lease(s, m, e->deadline_ms);
	check_start(s, job, task, e);
	task->started_ms = s->now;
	if (s->settings->trace)
		printf("%" PRIu64 " begins %s %s run %" PRIu64 "\n", s->now,
		       e->task, m->id, e->run);
	m->runs = xrealloc(m->runs, (m->run_count + 1) * sizeof(*m->runs));
	run = &m->runs[m->run_count++];
	*run = (struct sim_run){ .run = e->run,
				 .began_ms = s->now,
				 .gang_pending = c->gang };
	memcpy(run->task, e->task, sizeof(run->task));
	task->running++;
	check_capacity(s, m);
	note_crash_start(s, job, &name, e);
	if (!c->gang) {
		start_work(s, e->minion, e->task, e->run, job);
	} else if (count_gang_members(s, e->task, e->run) == job->count) {
		start_gang(s, e->task, e->run, job);
	} else {
		struct event timeout = *e;

		timeout.kind = SIM_GANG_TIMEOUT;
		timeout.incarnation = m->incarnation;
		event_push(s, &timeout, GANG_TIMEOUT_MS);
	}
	return CELL_OK;
}

/* Kills a run: it ends as @how after some time, until then it goes on. */
static void kill_run(const struct cellsim *s, struct sim_run *run,
		     enum cell_end how)
{
	if (run->killed_ms)
		return;
	run->killed_ms = s->now + s->settings->kill_ms;
	run->killed = how;
}

/* Ends the runs of the minion that were killed long enough ago. */
static void end_killed_runs(struct cellsim *s, struct sim_minion *m)
{
	uint32_t i = 0;

	while (i < m->run_count) {
		struct sim_run run = m->runs[i];

		if (!run.killed_ms || s->now < run.killed_ms) {
			i++;
			continue;
		}
		end_run(s, m, &m->runs[i], run.killed);
		end_gang(s, run.task, run.run, CELL_END_BROKEN);
		i = 0;
	}
}

static bool is_unresponsive(const struct cellsim *s, uint32_t minion)
{
	return s->now < s->minions[minion].unresponsive_until_ms;
}

/*
 * Answers a request to a minion that refuses connections. Returns false if the
 * minion is up.
 */
static bool refuse(struct cellsim *s, const struct event *e,
		   enum sim_event answer)
{
	struct event refused = *e;

	if (s->now >= s->minions[e->minion].down_until_ms)
		return false;
	refused.kind = answer;
	refused.result = CELL_NOT_SENT;
	if (!e->unanswered)
		event_push(s, &refused, link_delay_ms(s, e->minion));
	return true;
}

/*
 * Answers a call that goes to a former address, or to a minion between two
 * lives. Returns false if it reaches its minion.
 */
static bool misdirect(struct cellsim *s, const struct event *e,
		      enum sim_event answer)
{
	const struct sim_minion *m = &s->minions[e->minion];
	struct event reply = *e;

	if (e->port == m->port && s->now >= m->away_until_ms)
		return false;
	reply.kind = answer;
	reply.result = m->port_reused ? CELL_OTHER_INCARNATION : CELL_NOT_SENT;
	if (!e->unanswered)
		event_push(s, &reply, response_delay_ms(s, e->minion));
	return true;
}

/*
 * Answers a call with an error with the configured probability. Returns true if
 * nothing was done.
 */
static bool fail_call(struct cellsim *s, struct event *e, enum sim_event answer)
{
	struct event reply = *e;
	uint64_t how;

	if (!draw_fault(s, s->settings->error_share))
		return false;
	how = draw(s) % 4;
	reply.kind = answer;
	reply.result = CELL_REJECTED_OTHER;
	if (how == 2) {
		e->errs = draw(s) & 1;
		if (e->errs)
			return false;
		reply.result = CELL_NO_ANSWER;
	} else if (how == 3) {
		reply.result = CELL_NOT_SENT;
	}
	if (!e->unanswered)
		event_push(s, &reply, response_delay_ms(s, e->minion));
	return true;
}

static bool call_fails(struct cellsim *s, struct event *e,
		       enum sim_event answer)
{
	return refuse(s, e, answer) || is_unresponsive(s, e->minion) ||
	       misdirect(s, e, answer) || fail_call(s, e, answer);
}

static void on_start_arrives(struct cellsim *s, struct event *e)
{
	if (s->settings->starts_end_with_life &&
	    e->incarnation != s->minions[e->minion].incarnation)
		return;
	if (call_fails(s, e, SIM_START_ANSWERED))
		return;
	e->result = accept_start(s, e);
	if (e->unanswered)
		return;
	if (e->errs)
		e->result = CELL_NO_ANSWER;
	e->kind = SIM_START_ANSWERED;
	event_push(s, e, response_delay_ms(s, e->minion));
}

static void on_stop_arrives(struct cellsim *s, struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];
	struct sim_run *run = run_find(m, e->task, e->run);

	if (call_fails(s, e, SIM_STOP_ANSWERED))
		return;
	e->result = CELL_OK;
	if (e->token >= m->token) {
		m->token = e->token;
		note_past_run(m, e->task, e->run);
		if (run)
			kill_run(s, run, CELL_END_STOPPED);
		end_killed_runs(s, m);
	} else {
		e->result = CELL_REJECTED_FENCE;
	}
	if (e->unanswered)
		return;
	if (e->errs)
		e->result = CELL_NO_ANSWER;
	e->kind = SIM_STOP_ANSWERED;
	event_push(s, e, response_delay_ms(s, e->minion));
}

/* Returns the report of a minion as of now; lists its first ends. */
static struct sim_report *report_new(struct cellsim *s, struct sim_minion *m)
{
	struct sim_report *r = xcalloc(1, sizeof(*r));

	r->running = xcalloc(m->run_count + 1, sizeof(*r->running));
	r->ended = xcalloc(m->end_count + 1, sizeof(*r->ended));
	for (uint32_t i = 0; i < m->run_count; i++) {
		memcpy(r->running[i].task, m->runs[i].task, CELL_TASK_MAX);
		r->running[i].run = m->runs[i].run;
	}
	r->report = (struct cell_report){
		.born_unix_ms = UNIX_BASE + m->boot_ms,
		.clock_ms = clock_of(s, m),
		.running = r->running,
		.running_count = m->run_count,
		.ended = r->ended,
		.ended_count = m->end_count,
		.more_ends = m->end_count > ENDS_LISTED_MAX,
	};
	if (r->report.more_ends)
		r->report.ended_count = ENDS_LISTED_MAX;
	for (uint32_t i = 0; i < r->report.ended_count; i++) {
		struct sim_end *end = &m->ends[i];

		memcpy(r->ended[i].task, end->task, CELL_TASK_MAX);
		r->ended[i].number = end->number;
		r->ended[i].run = end->run;
		r->ended[i].end = end->end;
		if (!end->listed_ms)
			end->listed_ms = s->now;
	}
	return r;
}

static void answer_poll(struct cellsim *s, struct sim_minion *m)
{
	struct event e;

	if (!m->poll_pending)
		return;
	m->poll_pending = false;
	e = m->poll;
	e.kind = SIM_POLL_ANSWERED;
	e.result = CELL_OK;
	/* Otherwise the report is as of its arrival. */
	if (s->settings->late_links_every_ms ||
	    s->settings->late_response_share)
		e.report = report_new(s, m);
	if (e.errs)
		e.result = CELL_NO_ANSWER;
	if (e.unanswered)
		report_free(e.report);
	else
		event_push(s, &e, response_delay_ms(s, e.minion));
}

static void on_poll_arrives(struct cellsim *s, struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];
	uint32_t kept = 0;

	if (call_fails(s, e, SIM_POLL_ANSWERED))
		return;
	if (e->token < m->token) {
		e->kind = SIM_POLL_ANSWERED;
		e->result = CELL_REJECTED_FENCE;
		if (!e->unanswered)
			event_push(s, e, response_delay_ms(s, e->minion));
		return;
	}
	m->token = e->token;
	extend_lease(s, m, e->deadline_ms);
	for (uint32_t i = 0; i < m->end_count; i++) {
		if (m->ends[i].number > e->observed)
			m->ends[kept++] = m->ends[i];
		else if (s->settings->trace && e->sent_ms < m->boot_ms)
			printf("%" PRIu64 " end-forgotten %s %s run %" PRIu64
			       " by a poll of a former life\n",
			       s->now, m->ends[i].task, m->id, m->ends[i].run);
	}
	m->end_count = kept;
	answer_poll(s, m);
	m->poll_pending = true;
	m->poll = *e;
	if (m->end_count || !e->wait_ms) {
		answer_poll(s, m);
		return;
	}
	e->kind = SIM_POLL_EXPIRES;
	event_push(s, e, e->wait_ms);
}

static void on_poll_answered(struct cellsim *s, struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];

	if (!call_close(s, e->call) || e->token != s->token)
		return;
	/* The connection broke before the response was sent. */
	if (e->result == CELL_OK && s->now < m->down_until_ms)
		e->result = CELL_NO_ANSWER;
	if (e->result == CELL_OK && !e->report)
		e->report = report_new(s, m);
	if (e->result == CELL_OK)
		cell_on_report(s->cell, (uint32_t)e->seq, m->id,
			       &e->report->report, e->sent_ms, s->now);
	else
		cell_on_poll_failed(s->cell, (uint32_t)e->seq, m->id, e->result,
				    e->sent_ms, s->now);
}

static void on_run_ends(struct cellsim *s, const struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];
	struct sim_run *run = run_find(m, e->task, e->run);
	struct cell_task_name name;
	struct sim_job *job = job_find(s, e->task, &name);
	bool gang = s->settings->classes[job->class_index].gang;
	bool done = e->result == CELL_OK;

	if (m->incarnation != e->incarnation || !run)
		return;
	end_run(s, m, run, done ? CELL_END_DONE : CELL_END_FAILED);
	if (gang)
		end_gang(s, e->task, e->run,
			 done ? CELL_END_DONE : CELL_END_BROKEN);
}

static void on_gang_timeout(struct cellsim *s, const struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];
	struct sim_run *run = run_find(m, e->task, e->run);

	if (m->incarnation == e->incarnation && run && run->gang_pending)
		end_run(s, m, run, CELL_END_ALONE);
}

static void on_advised(struct cellsim *s, struct event *e)
{
	struct cell_ticket eligible[CELL_ADVICE_MINIONS_MAX];
	struct sim_job *job;
	const struct cellsim_class *c =
		class_of(s, e->advice_request->step, &job);
	uint32_t n = 0;

	for (uint32_t i = 0; i < e->advice_request->count; i++) {
		if (is_eligible(s, e->advice_request->step,
				e->advice_request->minions[i],
				c->advice_eligible_share))
			eligible[n++] = (struct cell_ticket){
				.minion = e->advice_request->minions[i],
				.ticket = "t"
			};
	}
	if (e->token == s->token)
		cell_on_advice(s->cell, e->advice_request->handle, true,
			       eligible, n, s->now);
	free(e->advice_request);
}

static void submit_job(struct cellsim *s, const struct sim_job *job, bool fresh)
{
	const struct cellsim_class *c = &s->settings->classes[job->class_index];
	struct cell_job_spec spec = { .step_count = 1 };

	snprintf(spec.id, sizeof(spec.id), "%s", job->id);
	snprintf(spec.queue, sizeof(spec.queue), "%s", c->queue);
	spec.payload = strdup("");
	spec.accepted_unix_ms = UNIX_BASE + job->at_ms;
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].count = job->count;
	spec.steps[0].need.cpu_milli = job->cpu_milli;
	spec.steps[0].need.mem_mb = job->mem_mb;
	spec.steps[0].estimate_ms = job->work_ms;
	spec.steps[0].gang = c->gang;
	cell_submit(s->cell, &spec, fresh, UNIX_BASE + s->now, s->now);
}

struct overload_query {
	const char *queue;
	uint32_t wait_ms;
};

static void on_overload(void *ctx, const char *queue, uint32_t wait_ms)
{
	struct overload_query *q = ctx;

	if (!strcmp(queue, q->queue))
		q->wait_ms = wait_ms;
}

/* Refuses a job like a daemon does, if its queue is overloaded. */
static bool refuse_job(struct cellsim *s, const struct sim_job *job)
{
	struct cell_step_spec step = { .estimate_ms = job->work_ms };
	struct cell_job_spec spec = { .step_count = 1, .steps = &step };
	struct overload_query q = {
		.queue = s->settings->classes[job->class_index].queue
	};

	cell_each_overload(s->cell, on_overload, &q, s->now);
	return cell_job_is_late(&s->config.queues[job->class_index], &spec,
				q.wait_ms);
}

static void on_submit(struct cellsim *s, struct event *e)
{
	const struct cellsim_class *c = &s->settings->classes[e->minion];
	struct sim_job *job;

	if (s->now > s->settings->submit_ms)
		return;
	job = xcalloc(1, sizeof(*job));
	snprintf(job->id, sizeof(job->id), "%016x", ++s->job_count);
	job->class_index = e->minion;
	job->count = draw_around(s, c->width);
	job->cpu_milli = draw_around(s, c->cpu_milli);
	job->mem_mb = draw_around(s, c->mem_mb);
	job->work_ms = draw_around(s, c->work_ms);
	job->at_ms = s->now;
	event_push(s, e, (uint64_t)(2000.0 / c->per_s * draw_unit(s)));
	if (refuse_job(s, job)) {
		s->result->jobs_by_class[e->minion]++;
		s->result->refused[e->minion]++;
		free(job);
		return;
	}
	job->tasks = xcalloc(job->count, sizeof(*job->tasks));
	HASH_ADD_STR(s->jobs, id, job);
	if (e->minion == s->settings->crash_class &&
	    s->now >= s->settings->crash_from_ms &&
	    s->now < s->settings->crash_until_ms)
		job->crashes_minions = draw_unit(s) < s->settings->crash_share;
	s->result->jobs++;
	if (job->crashes_minions)
		s->result->crashing_jobs++;
	else
		s->result->jobs_by_class[e->minion]++;
	submit_job(s, job, true);
}

static void list_minions(struct cellsim *s)
{
	struct cell_minion_info *infos =
		xcalloc(s->settings->minions, sizeof(*infos));
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->settings->minions; i++) {
		struct cell_minion_info *info = &infos[n];
		struct sim_minion *m = &s->minions[i];

		if (s->now < m->unlisted_until_ms)
			continue;
		n++;
		if (s->now >= m->relisted_ms)
			m->listed_port = m->port;

		snprintf(info->id, sizeof(info->id), "%s", s->minions[i].id);
		snprintf(info->addr, sizeof(info->addr), "10.0.0.1:%u",
			 m->listed_port);
		snprintf(info->service, sizeof(info->service), "svc");
		if (s->settings->zones)
			snprintf(info->az, sizeof(info->az), "z%u",
				 i % s->settings->zones);
		info->capacity.cpu_milli =
			capacity_of(s->settings->cpu_milli, m, is_shrunk(s, m));
		info->capacity.mem_mb =
			capacity_of(s->settings->mem_mb, m, is_shrunk(s, m));
	}
	cell_set_minions(s->cell, infos, n, s->now);
	free(infos);
}

/* Returns true if the term is confirmed from time to time, not for ever. */
static bool confirms_term(const struct cellsim *s)
{
	return s->settings->unconfirmed_every_ms || s->settings->pause_every_ms;
}

static void new_term(struct cellsim *s)
{
	struct cell_settings settings = { .token = ++s->token,
					  .lease_ms = LEASE_MS,
					  .hold_max_ms = MINION_LEASE_MAX_MS,
					  .stop_timeout_ms =
						  s->settings->kill_ms,
					  .poll_wait_ms = 1500,
					  .predecessor_lease_ms =
						  PREDECESSOR_LEASE_MS,
					  .ended_job_ttl_ms = 120000 };
	struct sim_job *job;
	struct sim_job *tmp;

	cell_free(s->cell);
	s->cell = cell_new(&s->owner, &settings, s->now);
	cell_set_config(s->cell, &s->config);
	HASH_ITER(hh, s->jobs, job, tmp)
	submit_job(s, job, false);
	for (uint32_t i = 0; i < s->record_count; i++) {
		const struct stored_record *r = &s->records[i];
		struct cell_record record = {
			.kind = r->kind,
			.job = r->subject,
			.task = r->subject,
			.minion = r->kind == CELL_RECORD_CRASH ? r->minion
							       : r->subject,
			.age_ms = r->age_ms,
			.blame = r->blame,
			.others = r->others,
			.begun = r->begun,
			.addr = r->addr,
			.run = r->run,
			.end = r->end,
			.checkpoint = ""
		};

		if (r->durable)
			cell_replay(s->cell, &record);
	}
	cell_replay_done(s->cell, s->now);
	for (uint32_t i = 0; i < s->settings->lanes; i++)
		cell_lane_up(s->cell, i);
	s->paused_until_ms = 0;
	s->confirmed_ms = s->now;
	cell_set_term_valid(s->cell, true,
			    confirms_term(s) ? s->now : UINT64_MAX);
	list_minions(s);
}

static void on_takeover(struct cellsim *s, struct event *e)
{
	s->result->takeovers++;
	/* Records that were not durable are lost with the old holder. */
	for (uint32_t i = 0; i < s->record_count; i++) {
		if (!s->records[i].durable)
			s->records[i].kind = CELL_RECORD_KINDS;
	}
	new_term(s);
	event_push(s, e, draw_around(s, s->settings->takeover_every_ms));
}

static void on_recorded(struct cellsim *s, const struct event *e)
{
	if (e->token != s->token)
		return;
	for (uint32_t i = (uint32_t)e->run; i > 0; i--) {
		if (s->records[i - 1].durable)
			break;
		s->records[i - 1].durable = true;
	}
	cell_on_durable(s->cell, e->seq, s->now);
}

/*
 * Reverts the effect of an end that was not reported before the lease expired:
 * the task may have been started on another minion by then.
 */
static void void_end(struct cellsim *s, struct sim_end *end)
{
	struct cell_task_name name;
	struct sim_job *job = job_find(s, end->task, &name);
	bool gang = s->settings->classes[job->class_index].gang;

	if (end->voided)
		return;
	end->voided = true;
	if (end->end == CELL_END_DONE)
		job->tasks[name.index].done = false;
	else if (end->end == CELL_END_FAILED && gang)
		job->gang_failures -= job->gang_failures > 0;
	else if (end->end == CELL_END_FAILED)
		job->tasks[name.index].failures--;
}

/* Notes the ends of done tasks that were listed long enough ago. */
static void note_listed_ends(struct cellsim *s, struct sim_minion *m)
{
	for (uint32_t i = 0; i < m->end_count; i++) {
		struct sim_end *end = &m->ends[i];
		struct cell_task_name name;
		struct sim_task *task;

		if (!end->listed_ms || end->noted || end->voided ||
		    end->end != CELL_END_DONE ||
		    s->now < end->listed_ms + LISTED_NOTE_MS)
			continue;
		end->noted = true;
		if (end->listed_ms + LISTED_NOTE_MS - m->boot_ms + 1000 >
		    m->lease_ms)
			continue;
		task = &job_find(s, end->task, &name)->tasks[name.index];
		task->listed_done = true;
		if (task->started_ms > end->ended_ms)
			report_violation(s, &s->result->after_listed,
					 "%s started after its end was listed",
					 end->task);
	}
}

static void expire_leases(struct cellsim *s)
{
	for (uint32_t i = 0; i < s->settings->minions; i++) {
		struct sim_minion *m = &s->minions[i];

		note_listed_ends(s, m);
		for (uint32_t k = 0;
		     k < m->end_count && clock_of(s, m) > m->lease_ms; k++)
			void_end(s, &m->ends[k]);
		for (uint32_t k = 0;
		     k < m->run_count && clock_of(s, m) > m->lease_ms; k++)
			kill_run(s, &m->runs[k], CELL_END_LAPSED);
		end_killed_runs(s, m);
	}
}

static void crash_minion(struct cellsim *s, struct sim_minion *m)
{
	if (s->settings->trace)
		printf("%" PRIu64 " life-ends %s\n", s->now, m->id);
	if (m->poll_pending) {
		m->poll.kind = SIM_POLL_ANSWERED;
		m->poll.result = CELL_NO_ANSWER;
		event_push(s, &m->poll, network_delay_ms(s));
	}
	m->poll_pending = false;
	for (uint32_t i = 0; i < m->run_count; i++) {
		struct cell_task_name name;
		struct sim_job *job = job_find(s, m->runs[i].task, &name);

		if (job)
			job->tasks[name.index].minions_lost++;
	}
	while (m->run_count) {
		struct sim_run run = m->runs[0];

		end_run(s, m, &m->runs[0], CELL_END_FAILED);
		end_gang(s, run.task, run.run, CELL_END_BROKEN);
	}
	/* The new incarnation starts without any state. */
	for (uint32_t i = 0; i < m->end_count; i++)
		void_end(s, &m->ends[i]);
	m->end_count = 0;
	m->past_count = 0;
	m->next_number = 0;
	m->token = 0;
	m->lease_ms = 0;
	m->incarnation++;
	m->boot_ms = s->now;
	m->unresponsive_until_ms = s->now + 300;
	if (s->settings->restart_ms)
		m->down_until_ms = s->now + s->settings->restart_ms;
}

/* Delays the requests that are on the way to the minion. */
static void hold_back_requests(struct cellsim *s, const struct sim_minion *m)
{
	struct event *held = xcalloc(s->heap_count + 1, sizeof(*held));
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->heap_count; i++) {
		if ((s->heap[i].kind != SIM_START_ARRIVES &&
		     s->heap[i].kind != SIM_STOP_ARRIVES) ||
		    &s->minions[s->heap[i].minion] != m)
			continue;
		held[n++] = s->heap[i];
		s->heap[i].kind = SIM_NONE;
	}
	for (uint32_t i = 0; i < n; i++) {
		uint64_t in_ms = draw(s) % HELD_BACK_MS;

		/* Its call times out if the reply is late, or lost. */
		held[i].unanswered |= draw(s) & 1;
		event_push(s, &held[i], in_ms);
	}
	free(held);
}

static void on_crash(struct cellsim *s, struct event *e)
{
	crash_minion(s, &s->minions[draw(s) % s->settings->minions]);
	event_push(s, e, draw_around(s, s->settings->crash_every_ms));
}

/*
 * Crashes a minion to which a start is on the way. Requests to it are held
 * back, and reach its next life; half of the responses are lost. Once at a
 * time: no request is held back for longer than a life.
 */
static void on_restart(struct cellsim *s, struct event *e)
{
	struct sim_minion *m = NULL;

	for (uint32_t i = 0; i < s->heap_count && !m; i++) {
		if (s->heap[i].kind == SIM_START_ARRIVES &&
		    s->now >= s->minions[s->heap[i].minion].held_until_ms)
			m = &s->minions[s->heap[i].minion];
	}
	if (!m) {
		event_push(s, e, 1);
		return;
	}
	crash_minion(s, m);
	m->held_until_ms = s->now + HELD_BACK_MS;
	hold_back_requests(s, m);
	event_push(s, e, draw_around(s, s->settings->restart_every_ms));
}

static void on_rack_crash(struct cellsim *s, struct event *e)
{
	uint32_t racks = s->settings->minions / CELLSIM_RACK_MINIONS;
	uint32_t first;

	if (!racks)
		return;
	first = (uint32_t)(draw(s) % racks) * CELLSIM_RACK_MINIONS;
	for (uint32_t i = 0; i < CELLSIM_RACK_MINIONS; i++)
		crash_minion(s, &s->minions[first + i]);
	event_push(s, e, draw_around(s, s->settings->rack_crash_every_ms));
}

static void on_shrink(struct cellsim *s, struct event *e)
{
	struct sim_minion *m = &s->minions[draw(s) % s->settings->minions];

	if (!is_shrunk(s, m)) {
		m->shrunk_percent = 30 + (uint32_t)(draw(s) % 61);
		m->shrunk_ms = s->now;
		m->shrunk_until_ms = s->now + 1000 + draw(s) % 7000;
	}
	event_push(s, e, draw_around(s, s->settings->shrink_every_ms));
}

static void on_late_links(struct cellsim *s, struct event *e)
{
	uint32_t zone = (uint32_t)(draw(s) % zone_count(s));

	if (s->now >= s->late_until_ms[zone]) {
		s->late_ms[zone] = LATE_DELAY_MIN_MS +
				   (uint32_t)(draw(s) % LATE_DELAY_SPREAD_MS);
		s->late_until_ms[zone] =
			s->now + LATE_MIN_MS + draw(s) % LATE_SPREAD_MS;
	}
	event_push(s, e, draw_around(s, s->settings->late_links_every_ms));
}

/* A minion ends, and returns at another address. */
static void on_move(struct cellsim *s, struct event *e)
{
	struct sim_minion *m = &s->minions[draw(s) % s->settings->minions];

	if (s->now >= m->relisted_ms) {
		crash_minion(s, m);
		m->port++;
		m->port_reused = draw(s) & 1;
		m->away_until_ms = s->now + draw(s) % 5000;
		m->relisted_ms = m->away_until_ms + draw(s) % 2000;
		if (draw(s) & 1)
			m->unlisted_until_ms = m->relisted_ms;
	}
	event_push(s, e, draw_around(s, s->settings->move_every_ms));
}

static void on_cancel(struct cellsim *s, struct event *e)
{
	uint32_t back = (uint32_t)(draw(s) % 30);
	char id[CELL_ID_MAX];
	struct sim_job *job;

	snprintf(id, sizeof(id), "%016x", s->job_count - back);
	HASH_FIND_STR(s->jobs, id, job);
	if (job && !job->done_ms) {
		job->cancelled = true;
		cell_cancel(s->cell, id, s->now);
	}
	event_push(s, e, draw_around(s, s->settings->cancel_every_ms));
}

/* Tells the scheduler whether its term is confirmed. */
static void confirm_term(struct cellsim *s)
{
	if (!confirms_term(s))
		return;
	cell_set_term_valid(s->cell, s->now < s->confirmed_ms + CONFIRMED_MS,
			    s->confirmed_ms);
	if (s->now >= s->unconfirmed_until_ms)
		s->confirmed_ms = s->now;
}

/* Defers what the holder does while it is paused. */
static bool defer(struct cellsim *s, const struct event *e)
{
	if (s->now >= s->paused_until_ms)
		return false;
	switch (e->kind) {
	case SIM_TICK:
		expire_leases(s);
		event_push(s, e, TICK_MS);
		return true;
	case SIM_START_ANSWERED:
	case SIM_STOP_ANSWERED:
	case SIM_POLL_ANSWERED:
	case SIM_ADVISED:
	case SIM_RECORDED:
	case SIM_LIST_MINIONS:
		event_push(s, e, s->paused_until_ms - s->now + draw(s) % 30);
		return true;
	default:
		return false;
	}
}

static void on_task_crash(struct cellsim *s, const struct event *e)
{
	struct sim_minion *m = &s->minions[e->minion];
	struct cell_task_name name;
	struct sim_job *job = job_find(s, e->task, &name);

	if (m->incarnation != e->incarnation || !run_find(m, e->task, e->run))
		return;
	job->tasks[name.index].crashes++;
	s->result->crashes++;
	crash_minion(s, m);
}

static void on_tick(struct cellsim *s, struct event *e)
{
	struct timespec a;
	struct timespec b;

	expire_leases(s);
	confirm_term(s);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	cell_tick(s->cell, UNIX_BASE + s->now, s->now);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	s->result->cpu_ns += (uint64_t)((b.tv_sec - a.tv_sec) * 1000000000LL +
					(b.tv_nsec - a.tv_nsec));
	if (s->now <= s->settings->submit_ms) {
		struct cell_stats stats;

		cell_get_stats(s->cell, &stats);
		s->used_core_ms += stats.used_cpu_milli * TICK_MS / 1000;
	}
	event_push(s, e, TICK_MS);
}

static bool is_fault(enum sim_event kind)
{
	return kind == SIM_TAKEOVER || kind == SIM_UNRESPONSIVE ||
	       kind == SIM_CRASH || kind == SIM_RESTART ||
	       kind == SIM_RACK_CRASH || kind == SIM_SHRINK ||
	       kind == SIM_OUTAGE || kind == SIM_LATE_LINKS ||
	       kind == SIM_UNLISTED || kind == SIM_MOVE || kind == SIM_CANCEL ||
	       kind == SIM_UNCONFIRMED || kind == SIM_PAUSE;
}

static void dispatch(struct cellsim *s, struct event *e)
{
	bool current = e->token == s->token;
	uint32_t handle = (uint32_t)e->seq;

	if (is_fault(e->kind) &&
	    s->now + FAULT_FREE_TAIL_MS > s->settings->run_ms)
		return;
	if (defer(s, e))
		return;
	switch (e->kind) {
	case SIM_NONE:
		break;
	case SIM_TICK:
		on_tick(s, e);
		return;
	case SIM_SUBMIT:
		on_submit(s, e);
		break;
	case SIM_START_ARRIVES:
		on_start_arrives(s, e);
		break;
	case SIM_START_ANSWERED:
		if (call_close(s, e->call) && current)
			cell_on_start(s->cell, handle, e->task, e->run,
				      e->result, s->now);
		break;
	case SIM_STOP_ARRIVES:
		on_stop_arrives(s, e);
		break;
	case SIM_STOP_ANSWERED:
		if (call_close(s, e->call) && current)
			cell_on_stop(s->cell, handle, e->task, e->run,
				     e->result, s->now);
		break;
	case SIM_POLL_ARRIVES:
		on_poll_arrives(s, e);
		break;
	case SIM_POLL_EXPIRES:
		if (s->minions[e->minion].poll_pending &&
		    s->minions[e->minion].poll.sent_ms == e->sent_ms)
			answer_poll(s, &s->minions[e->minion]);
		break;
	case SIM_POLL_ANSWERED:
		on_poll_answered(s, e);
		report_free(e->report);
		break;
	case SIM_ADVISED:
		on_advised(s, e);
		break;
	case SIM_RECORDED:
		on_recorded(s, e);
		break;
	case SIM_RUN_ENDS:
		on_run_ends(s, e);
		break;
	case SIM_GANG_TIMEOUT:
		on_gang_timeout(s, e);
		break;
	case SIM_LIST_MINIONS:
		list_minions(s);
		event_push(s, e, LIST_INTERVAL_MS);
		break;
	case SIM_TAKEOVER:
		on_takeover(s, e);
		break;
	case SIM_UNRESPONSIVE:
		s->minions[draw(s) % s->settings->minions]
			.unresponsive_until_ms = s->now + 1000 + draw(s) % 7000;
		event_push(s, e,
			   draw_around(s, s->settings->unresponsive_every_ms));
		break;
	case SIM_CRASH:
		on_crash(s, e);
		break;
	case SIM_RESTART:
		on_restart(s, e);
		break;
	case SIM_RACK_CRASH:
		on_rack_crash(s, e);
		break;
	case SIM_TASK_CRASH:
		on_task_crash(s, e);
		break;
	case SIM_SHRINK:
		on_shrink(s, e);
		break;
	case SIM_LATE_LINKS:
		on_late_links(s, e);
		break;
	case SIM_UNLISTED:
		s->minions[draw(s) % s->settings->minions].unlisted_until_ms =
			s->now + 1000 + draw(s) % 8000;
		event_push(s, e,
			   draw_around(s, s->settings->unlisted_every_ms));
		break;
	case SIM_MOVE:
		on_move(s, e);
		break;
	case SIM_CANCEL:
		on_cancel(s, e);
		break;
	case SIM_UNCONFIRMED:
		s->unconfirmed_until_ms = s->now + draw(s) % 4000;
		event_push(s, e,
			   draw_around(s, s->settings->unconfirmed_every_ms));
		break;
	case SIM_PAUSE:
		s->paused_until_ms = s->now + draw(s) % 7000;
		event_push(s, e, draw_around(s, s->settings->pause_every_ms));
		break;
	case SIM_OUTAGE:
		s->outage_until_ms = s->now + 1000 + draw(s) % 3000;
		event_push(s, e, draw_around(s, s->settings->outage_every_ms));
		break;
	}
}

static void schedule_fault(struct cellsim *s, enum sim_event kind,
			   uint32_t every_ms)
{
	struct event e = { .kind = kind };

	if (every_ms)
		event_push(s, &e, draw_around(s, every_ms));
}

static void sim_open(struct cellsim *s)
{
	const struct cellsim_settings *set = s->settings;
	struct event e = { .kind = SIM_TICK };

	s->owner.ops = &sim_ops;
	s->now = START_MS;
	s->random = set->seed * 0x9E3779B97F4A7C15ULL + 1;
	s->late_until_ms = xcalloc(zone_count(s), sizeof(*s->late_until_ms));
	s->late_ms = xcalloc(zone_count(s), sizeof(*s->late_ms));
	s->minions = xcalloc(set->minions, sizeof(*s->minions));
	for (uint32_t i = 0; i < set->minions; i++) {
		s->minions[i].boot_ms = 1;
		s->minions[i].port = FIRST_PORT;
		s->minions[i].listed_port = FIRST_PORT;
		snprintf(s->minions[i].id, sizeof(s->minions[i].id), "m%u", i);
	}
	s->config.version = 1;
	s->config.queue_count = set->class_count;
	s->config.queues = xcalloc(set->class_count, sizeof(*s->config.queues));
	for (uint32_t i = 0; i < set->class_count; i++) {
		const struct cellsim_class *c = &set->classes[i];
		struct cell_queue_spec *q = &s->config.queues[i];

		snprintf(q->name, sizeof(q->name), "%s", c->queue);
		snprintf(q->service, sizeof(q->service), "svc");
		q->priority = c->priority;
		q->max_attempts = c->max_attempts;
		q->slo_ms = c->slo_ms;
		q->stretch = c->stretch;
		q->advice.needed = c->advice_ms > 0;
		q->advice.decide_ms = c->advice_ms;
		q->advice.per_minion_ms = c->advice_minion_ms;
		q->advice.valid_ms = TICKET_VALID_MS;
	}
	new_term(s);
	event_push(s, &e, 0);
	e.kind = SIM_LIST_MINIONS;
	event_push(s, &e, LIST_INTERVAL_MS);
	for (uint32_t i = 0; i < set->class_count; i++) {
		e = (struct event){ .kind = SIM_SUBMIT, .minion = i };
		event_push(s, &e, 1000 + draw(s) % 100);
	}
	schedule_fault(s, SIM_TAKEOVER, set->takeover_every_ms);
	schedule_fault(s, SIM_UNRESPONSIVE, set->unresponsive_every_ms);
	schedule_fault(s, SIM_CRASH, set->crash_every_ms);
	schedule_fault(s, SIM_RESTART, set->restart_every_ms);
	schedule_fault(s, SIM_RACK_CRASH, set->rack_crash_every_ms);
	schedule_fault(s, SIM_OUTAGE, set->outage_every_ms);
	schedule_fault(s, SIM_SHRINK, set->shrink_every_ms);
	schedule_fault(s, SIM_LATE_LINKS, set->late_links_every_ms);
	schedule_fault(s, SIM_UNLISTED, set->unlisted_every_ms);
	schedule_fault(s, SIM_MOVE, set->move_every_ms);
	schedule_fault(s, SIM_CANCEL, set->cancel_every_ms);
	schedule_fault(s, SIM_UNCONFIRMED, set->unconfirmed_every_ms);
	schedule_fault(s, SIM_PAUSE, set->pause_every_ms);
}

/*
 * Returns true if the job can be completed: the eligible minions of an empty
 * cell fit all tasks of a gang, or at least one task otherwise.
 */
static bool is_feasible(const struct cellsim *s, const struct sim_job *job)
{
	const struct cellsim_class *c = &s->settings->classes[job->class_index];
	uint32_t each = s->settings->cpu_milli / job->cpu_milli;
	uint32_t by_mem = s->settings->mem_mb / job->mem_mb;
	char step[CELL_TASK_MAX];
	uint32_t places = 0;

	if (by_mem < each)
		each = by_mem;
	snprintf(step, sizeof(step), "%s.0.0", job->id);
	for (uint32_t i = 0; i < s->settings->minions; i++) {
		if (!c->advice_ms || is_eligible(s, step, s->minions[i].id,
						 c->advice_eligible_share))
			places += each;
	}
	return places >= (c->gang ? job->count : 1);
}

/* Returns true if a task of the job has failed as often as it may. */
static bool is_exhausted(const struct sim_job *job,
			 const struct cellsim_class *c)
{
	for (uint32_t i = 0; i < job->count; i++) {
		if ((c->gang ? job->gang_failures : job->tasks[i].failures) >=
		    c->max_attempts)
			return true;
	}
	return false;
}

static void check_given_up(struct cellsim *s, const struct sim_job *job,
			   const struct cellsim_class *c)
{
	if (!is_exhausted(job, c))
		report_violation(s, &s->result->given_up,
				 "%s is reported as failed, but could be done",
				 job->id);
}

/*
 * A job may be given up after two minions have crashed under its task, or if a
 * task has failed as often as it may.
 */
static void check_crashes(struct cellsim *s, const struct sim_job *job,
			  const struct cellsim_class *c)
{
	if (job->tasks[0].minions_lost < 2 && !is_exhausted(job, c))
		report_violation(s, &s->result->given_up,
				 "%s is reported as failed after %u crashes",
				 job->id, job->tasks[0].minions_lost);
}

static void check_final_states(struct cellsim *s)
{
	struct sim_job *job;
	struct sim_job *tmp;

	HASH_ITER(hh, s->jobs, job, tmp)
	{
		const struct cellsim_class *c =
			&s->settings->classes[job->class_index];
		enum cell_job_state state =
			cell_get_job_state(s->cell, job->id);
		uint64_t goal =
			c->slo_ms + (uint64_t)(c->stretch * job->work_ms);

		if (job->cancelled)
			continue;
		if (job->crashes_minions) {
			if (state == CELL_JOB_FAILED)
				check_crashes(s, job, c);
			s->result->crashing_jobs_ended +=
				state == CELL_JOB_FAILED ||
				state == CELL_JOB_COMPLETED;
			continue;
		}
		if (state == CELL_JOB_COMPLETED) {
			s->result->completed++;
			if (!job->done_ms)
				report_violation(
					s, &s->result->wrong_state,
					"%s reported as completed before all tasks were done",
					job->id);
			else if (job->done_ms - job->at_ms <= goal)
				s->result->met_slo[job->class_index]++;
		} else if (state == CELL_JOB_FAILED) {
			s->result->failed++;
			check_given_up(s, job, c);
		} else if (is_feasible(s, job)) {
			report_violation(s, &s->result->unfinished,
					 "%s is still %s at the end", job->id,
					 cell_job_state_name(state));
		}
	}
}

static void sim_close(struct cellsim *s)
{
	struct sim_job *job;
	struct sim_job *tmp;

	while (s->heap_count) {
		struct event e = event_pop(s);

		if (e.kind == SIM_ADVISED)
			free(e.advice_request);
		report_free(e.report);
	}
	HASH_ITER(hh, s->jobs, job, tmp)
	{
		HASH_DEL(s->jobs, job);
		free(job->tasks);
		free(job);
	}
	for (uint32_t i = 0; i < s->settings->minions; i++) {
		free(s->minions[i].runs);
		free(s->minions[i].ends);
		free(s->minions[i].past);
	}
	cell_free(s->cell);
	free(s->minions);
	free(s->records);
	free(s->heap);
	free(s->late_until_ms);
	free(s->late_ms);
	free(s->call_closed);
	free(s->config.queues);
}

/*
 * Runs a simulation and fills @result. The same settings give the same result,
 * except for cpu_ns.
 */
void cellsim_run(const struct cellsim_settings *settings,
		 struct cellsim_result *result)
{
	struct cellsim s = { .settings = settings, .result = result };
	double cores = (double)settings->cpu_milli * settings->minions / 1000;

	*result = (struct cellsim_result){ 0 };
	sim_open(&s);
	while (s.heap_count && s.heap[0].at_ms < settings->run_ms) {
		struct event e = event_pop(&s);

		s.now = e.at_ms;
		dispatch(&s, &e);
	}
	check_final_states(&s);
	result->cpu_utilization = (double)s.used_core_ms /
				  (cores * (settings->submit_ms - START_MS));
	sim_close(&s);
}
