/*
 * Scheduler of a cell, a set of availability zones whose minions one leader,
 * the holder, allocates. A state machine without I/O and without a clock:
 * events are function calls that pass the time, and orders to minions are calls
 * of the owner's cell_ops.
 */
#ifndef JAYSPOKE_CELL_H
#define JAYSPOKE_CELL_H

#include "cell/spec.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CELL_NONE UINT32_MAX	    /* no minion or lane */
#define CELL_ADVICE_MINIONS_MAX 100 /* minions in one advice request */

struct cell;
struct cell_owner;

enum cell_job_state {
	CELL_JOB_UNKNOWN,
	CELL_JOB_QUEUED,
	CELL_JOB_RUNNING,
	CELL_JOB_COMPLETED,
	CELL_JOB_FAILED,
	CELL_JOB_CANCELLED,
	CELL_JOB_STATES
};

enum cell_end {
	CELL_END_DONE,
	CELL_END_FAILED,  /* the task or the minion failed */
	CELL_END_STOPPED, /* stopped by the scheduler */
	CELL_END_LAPSED,  /* the lease expired */
	CELL_END_BROKEN,  /* another member of the gang ended */
	CELL_END_ALONE,	  /* the other members did not start in time */
	CELL_ENDS
};

/* Starts one run of a task. Strings are valid during the call. */
struct cell_start {
	uint32_t minion;
	const char *addr;
	const char *minion_id;
	char task[CELL_TASK_MAX];
	uint64_t run;
	const char *payload;
	const char *ticket;	/* NULL: none */
	const char *checkpoint; /* NULL: none */
	uint64_t deadline_ms;	/* lease expiry, clock of the minion */
	uint32_t timeout_ms;	/* of the response */
};

struct cell_stop {
	uint32_t minion;
	const char *addr;
	const char *minion_id;
	char task[CELL_TASK_MAX];
	uint64_t run;
	uint32_t timeout_ms; /* of the response */
};

/* Throttles a run. */
struct cell_pace {
	uint32_t minion;
	const char *addr;
	const char *minion_id;
	char task[CELL_TASK_MAX];
	uint64_t run;
	uint32_t percent;    /* of full speed, 0 to 100 */
	uint32_t timeout_ms; /* of the response */
};

/* Advice request: which of the minions may run a step? */
struct cell_advice_request {
	uint32_t handle;
	uint32_t lane; /* daemon that sends it, as in cell_lane_up() */
	char step[CELL_TASK_MAX];
	uint32_t count;
	const char *minions[CELL_ADVICE_MINIONS_MAX];
};

enum cell_record_kind {
	CELL_RECORD_END,      /* a run ended */
	CELL_RECORD_CANCEL,   /* a job was cancelled */
	CELL_RECORD_ENROLLED, /* orders may be sent to a minion */
	CELL_RECORD_SETTLED,  /* no run is left on a minion */
	CELL_RECORD_STATE,    /* terminal state of a job, in @run */
	CELL_RECORD_CRASH,    /* a minion crashed under a run */
	CELL_RECORD_CLEARED,  /* the minion had not crashed under a run */
	/* A queue, in @job, was contained or released, in @run. */
	CELL_RECORD_CONTAINED,
	CELL_RECORD_UNANSWERED, /* a start had no response */
	/* Occurrences of a job are done: from @run >> 32 to below @run. */
	CELL_RECORD_OCCURRENCES,
	/* A job was cancelled before it was stored, or @run 1: that expired */
	CELL_RECORD_TOMBSTONE,
	CELL_RECORD_KINDS
};

/* A journal record. Pointers are valid during the call. */
struct cell_record {
	enum cell_record_kind kind;
	const char *job;	/* of a job; CONTAINED: a queue */
	const char *task;	/* END, CRASH, CLEARED, UNANSWERED */
	uint64_t run;		/* as task; STATE: the state */
	enum cell_end end;	/* END */
	const char *checkpoint; /* END; NULL or empty: none */
	const char *minion;
	const char *addr; /* ENROLLED */
	uint64_t age_ms;  /* CRASH: of the run */
	uint32_t blame;	  /* CRASH: of the run, in thousandths */
	uint32_t others;  /* CRASH: number of runs beside it */
	bool begun;	  /* CRASH: the minion had confirmed the run */
};

/* What is known of the lease of a minion, in ms of the clock of the minion. */
struct cell_lease_state {
	uint64_t clock_ms;	  /* as last reported */
	uint64_t clock_age_ms;	  /* since that report */
	uint64_t estimate_ms;	  /* present clock, if it does not drift */
	uint64_t deadline_ms;	  /* latest that was sent, 0: none */
	uint64_t deadline_age_ms; /* since it was sent */
};

/* What shows that a run is over, for the log. */
struct cell_evidence {
	uint64_t born_unix_ms;	/* life of the minion, 0: none was reported */
	uint64_t sent_ago_ms;	/* the call that was answered, 0: none was */
	uint64_t lease_over_ms; /* since its lease ended, 0: it has not */
};

/* A state change, for the log. */
struct cell_event {
	const char *what; /* event name, static */
	const char *job;  /* NULL: none */
	const char *task; /* NULL: none */
	const char *minion;
	uint64_t run;
	const char *detail; /* valid during the call, NULL: none */
	uint64_t age_ms;    /* of the job, run, step or request */
	uint64_t input;	    /* measured value behind the decision, 0: none */
	uint64_t value;
	const struct cell_lease_state *lease; /* NULL: none */
	const struct cell_evidence *evidence; /* NULL: none */
};

struct cell_ops {
	void (*start)(struct cell_owner *owner, const struct cell_start *start);
	void (*stop)(struct cell_owner *owner, const struct cell_stop *stop);
	void (*pace)(struct cell_owner *owner, const struct cell_pace *pace);
	void (*request_advice)(struct cell_owner *owner,
			       const struct cell_advice_request *q);
	/*
	 * Appends a record to the journal; cell_on_durable() acknowledges it.
	 */
	void (*record)(struct cell_owner *owner, uint64_t seq,
		       const struct cell_record *record);
	/* Polls a minion with the request that cell_poll_request() returns. */
	void (*poll)(struct cell_owner *owner, uint32_t minion);
	/*
	 * The status retention of an ended job has expired: its owner deletes
	 * it from the store and calls cell_on_job_deleted(). May be NULL if
	 * jobs are not stored.
	 */
	void (*job_expired)(struct cell_owner *owner, const char *job);
	void (*event)(struct cell_owner *owner, const struct cell_event *event);
};

/* An overloaded queue, and the wait of a new job for its first start. */
typedef void (*cell_overload_fn)(void *ctx, const char *queue,
				 uint32_t wait_ms);

/* Why a minion is no candidate for a step; the first reason that holds. */
enum cell_excluded {
	CELL_CANDIDATE,
	CELL_EXCLUDED_TERM,	/* the term is not valid */
	CELL_EXCLUDED_UNLISTED, /* the platform does not list it */
	CELL_EXCLUDED_DRAINING,
	CELL_EXCLUDED_NEW,	 /* it is not enrolled yet */
	CELL_EXCLUDED_FAILING,	 /* it does not respond */
	CELL_EXCLUDED_SUSPECTED, /* several runs in a row failed there */
	CELL_EXCLUDED_SERVICE,	 /* of another service */
	CELL_EXCLUDED_LABEL,	 /* without the label that is required */
	CELL_EXCLUDED_CONTAINED, /* by the containment of a queue */
	CELL_EXCLUDED_ISOLATED,	 /* for a suspect */
	CELL_EXCLUDED_RESERVED,	 /* for a gang that waits */
	CELL_EXCLUDED_FULL,	 /* no room for a task */
	CELL_EXCLUDED_RACK,	 /* the step goes to another rack */
	CELL_EXCLUDED
};

struct cell_where_minion {
	const char *id;
	const char *rack;
	enum cell_excluded excluded;
	uint32_t rank;	/* sum of penalties, lower is better */
	uint32_t slots; /* tasks that fit now */
	uint32_t free_cpu_milli;
	uint32_t tasks; /* that would start there */
};

/* Where the tasks of a step would start now. */
struct cell_where {
	uint32_t ahead;	 /* ready steps that are tried before */
	uint32_t slots;	 /* of all candidates */
	uint32_t starts; /* tasks that would start */
	uint32_t ever;	 /* minions with room for a task when empty */
	uint32_t minion_count;
	struct cell_where_minion *minions; /* candidates first, by rank */
};

/* A pair of images, or queues, of which one slows down the other. */
struct cell_interfering {
	const char *slowed;
	const char *beside;
	uint32_t percent; /* run time or tail latency beside it */
};

/* The wait of a queue of which more jobs wait than can be served soon. */
#define CELL_WAIT_UNBOUNDED UINT32_MAX

/* Base of the owner: embed it as the first member. */
struct cell_owner {
	const struct cell_ops *ops;
};

struct cell_settings {
	uint64_t token;		       /* fencing token of this term */
	uint32_t lease_ms;	       /* granted to running tasks */
	uint32_t hold_max_ms;	       /* longest lease that a minion accepts */
	uint32_t stop_timeout_ms;      /* longest time to end a run */
	uint32_t poll_wait_ms;	       /* long poll: max. wait for an end */
	uint32_t predecessor_lease_ms; /* max. lease left of earlier terms */
	uint32_t ended_job_ttl_ms;     /* retention of ended jobs */
};

/* A minion as listed by the platform. */
struct cell_minion_info {
	char id[CELL_NAME_MAX];
	char addr[CELL_ADDR_MAX];
	char service[CELL_NAME_MAX];
	char az[CELL_NAME_MAX];
	char labels[CELL_LABELS_MAX][CELL_NAME_MAX];
	uint32_t label_count;
	char rack[CELL_NAME_MAX]; /* empty: not known */
	struct cell_res capacity;
	uint64_t born_unix_ms; /* start of this incarnation */
	bool draining;
	uint32_t remaining_ms; /* minimum while draining */
};

struct cell_running {
	char task[CELL_TASK_MAX];
	uint64_t run;
	const char *checkpoint; /* latest */
	uint32_t percent;	/* progress */
	/* Recent tail latency of a serving task in ms, else millicores used. */
	uint32_t load;
};

struct cell_ended {
	uint64_t number; /* per minion, increasing */
	char task[CELL_TASK_MAX];
	uint64_t run;
	enum cell_end end;
	const char *checkpoint;
};

/* Report of a minion on its runs. */
struct cell_report {
	uint64_t born_unix_ms;
	uint64_t clock_ms; /* of the minion */
	uint32_t running_count;
	const struct cell_running *running;
	uint32_t ended_count;
	const struct cell_ended *ended;
	bool more_ends; /* that are not listed */
};

/* A poll of a minion, which also renews its lease. */
struct cell_poll {
	const char *addr;
	const char *id;
	uint64_t observed;    /* ends up to this number are acknowledged */
	uint64_t deadline_ms; /* 0: the lease is not renewed */
	uint32_t wait_ms;     /* long poll: max. wait for an end */
	uint64_t sent_ms;     /* returned with the response */
	uint32_t timeout_ms;  /* of the response, with wait_ms */
	bool fresh;	      /* on a new connection: others may be dead */
};

enum cell_result {
	CELL_OK,
	CELL_REJECTED_FENCE,	/* the fencing token is too low */
	CELL_REJECTED_OLD,	/* the run has already ended or been stopped */
	CELL_REJECTED_LATE,	/* the lease deadline has passed */
	CELL_REJECTED_ROOM,	/* not enough free resources */
	CELL_REJECTED_TICKET,	/* the ticket is invalid or expired */
	CELL_REJECTED_OTHER,	/* for another reason; nothing was done */
	CELL_OTHER_INCARNATION, /* another incarnation answered */
	CELL_NOT_SENT,
	CELL_NO_ANSWER, /* it may have taken effect, or still will */
	CELL_RESULTS
};

struct cell_ticket {
	const char *minion;
	const char *ticket;
};

struct cell_stats {
	uint32_t jobs;
	uint32_t live_jobs;
	uint32_t ready_steps;
	uint32_t running;
	uint32_t minions;
	uint32_t unsettled; /* minions of earlier terms without a report */
	uint64_t starts;
	uint64_t ends[CELL_ENDS];
	uint64_t rejected;
	uint64_t questions;
	uint64_t minions_lost; /* minions that were lost with runs on them */
	uint64_t runs_lost;    /* runs that were lost with their minion */
	uint64_t tasks_given_up;
	uint64_t duplicate_runs; /* found beside another run of their task */
	uint32_t failing;	 /* listed minions that do not respond */
	uint32_t interfering;	 /* pairs of images that are kept apart */
	uint32_t tombstones;	 /* of cancelled jobs that are not stored */
	/* Longest time, of all zones, that a response to an order may take. */
	uint32_t order_timeout_ms;
	uint64_t used_cpu_milli;
	uint64_t total_cpu_milli;
};

struct cell *cell_new(struct cell_owner *owner,
		      const struct cell_settings *settings, uint64_t now_ms);
void cell_free(struct cell *cell);
void cell_set_config(struct cell *cell, const struct cell_config *config);
void cell_set_learn_run_times(struct cell *cell, bool on);
void cell_set_separate_interfering(struct cell *cell, bool on);
uint32_t cell_list_interfering(const struct cell *cell,
			       struct cell_interfering *out, uint32_t max);
void cell_where(struct cell *cell, const struct cell_job_spec *spec,
		uint32_t step, struct cell_where *out, uint64_t now_ms);
void cell_where_free(struct cell_where *where);
const char *cell_excluded_name(enum cell_excluded excluded);
const char *cell_rank_name(uint32_t penalty);
bool cell_team_admits(const struct cell_team_spec *team,
		      const struct cell_step_spec *step);
void cell_lane_up(struct cell *cell, uint32_t lane);
void cell_lane_lost(struct cell *cell, uint32_t lane);
void cell_set_term_valid(struct cell *cell, bool valid, uint64_t confirmed_ms);

bool cell_submit(struct cell *cell, struct cell_job_spec *spec, bool is_new,
		 uint64_t unix_ms, uint64_t now_ms);
void cell_replay(struct cell *cell, const struct cell_record *record);
void cell_replay_done(struct cell *cell, uint64_t now_ms);
void cell_snapshot(const struct cell *cell,
		   void (*emit)(void *ctx, const struct cell_record *record),
		   void *ctx);
uint64_t cell_append_record(struct cell *cell,
			    const struct cell_record *record);
uint64_t cell_cancel(struct cell *cell, const char *id, uint64_t now_ms);
uint64_t cell_cancel_absent(struct cell *cell, const char *id,
			    uint32_t *wait_ms, uint64_t now_ms);
enum cell_job_state cell_get_job_state(const struct cell *cell, const char *id);
const char *cell_job_state_name(enum cell_job_state state);
bool cell_job_expired(const struct cell *cell, const char *id);
void cell_on_job_deleted(struct cell *cell, const char *id, uint64_t revision);
void cell_on_jobs_read(struct cell *cell, uint64_t revision, uint64_t sent_ms);
uint32_t cell_pending_jobs(const struct cell *cell, const char *queue);
bool cell_end_parse(const char *text, enum cell_end *end);
const char *cell_end_name(enum cell_end end);

void cell_set_minions(struct cell *cell, const struct cell_minion_info *infos,
		      uint32_t count, uint64_t now_ms);
bool cell_poll_request(struct cell *cell, uint32_t minion,
		       struct cell_poll *out, uint64_t now_ms);
void cell_on_report(struct cell *cell, uint32_t minion, const char *id,
		    const struct cell_report *report, uint64_t sent_ms,
		    uint64_t now_ms);
void cell_on_poll_failed(struct cell *cell, uint32_t minion, const char *id,
			 enum cell_result result, uint64_t sent_ms,
			 uint64_t now_ms);
void cell_on_start(struct cell *cell, uint32_t minion, const char *task,
		   uint64_t run, enum cell_result result, uint64_t now_ms);
void cell_on_stop(struct cell *cell, uint32_t minion, const char *task,
		  uint64_t run, enum cell_result result, uint64_t now_ms);
void cell_on_pace(struct cell *cell, uint32_t minion, const char *task,
		  uint64_t run, uint32_t percent, enum cell_result result);
void cell_on_advice(struct cell *cell, uint32_t handle, bool answered,
		    const struct cell_ticket *tickets, uint32_t count,
		    uint64_t now_ms);
void cell_each_overload(const struct cell *cell, cell_overload_fn fn, void *ctx,
			uint64_t now_ms);
bool cell_job_is_late(const struct cell_queue_spec *queue,
		      const struct cell_job_spec *spec, uint32_t wait_ms);
void cell_on_durable(struct cell *cell, uint64_t seq, uint64_t now_ms);
void cell_tick(struct cell *cell, uint64_t unix_ms, uint64_t now_ms);
void cell_get_stats(const struct cell *cell, struct cell_stats *stats);

#ifdef __cplusplus
}
#endif

#endif
