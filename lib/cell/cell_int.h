/* State of the cell scheduler, shared by its files. */
#ifndef JAYSPOKE_CELL_INT_H
#define JAYSPOKE_CELL_INT_H

#include "cell/cell.h"

#include <uthash.h>

struct cell_job;

enum cell_task_state {
	CELL_TASK_READY, /* no run is known */
	CELL_TASK_ACTIVE,
	CELL_TASK_DONE
};

/* A run whose end was handled. */
struct cell_past {
	uint64_t run;
	enum cell_end end;
};

struct cell_task {
	uint64_t run;		 /* of the latest start, 0: none */
	struct cell_past *ended; /* in any order */
	uint32_t ended_count;
	uint64_t progress_ms;
	uint32_t minion;    /* of the latest start */
	uint32_t failed_on; /* minion of the latest failure */
	uint8_t state;
	uint8_t fails;
	uint8_t percent;
	char *saved; /* latest checkpoint, NULL: none */
};

/* A minion that may run a step. */
struct cell_grant {
	uint32_t minion;
	uint32_t life;
	uint64_t until_ms;
	char ticket[CELL_TICKET_MAX];
};

struct cell_step {
	struct cell_job *job;
	const struct cell_step_spec *spec;
	uint32_t occurrence;
	uint32_t index;
	uint32_t left;	       /* tasks that are not done */
	uint32_t active;       /* tasks with a run */
	uint64_t *gang_failed; /* runs of the gang that failed */
	uint32_t gang_failed_count;
	uint64_t opened_ms;
	bool open;    /* the steps before it are done */
	bool waiting; /* in the list of ready steps */
	bool asking;
	uint64_t ask_after_ms;
	uint32_t asked_count;
	uint32_t grant_count;
	struct cell_grant *grants;
	uint32_t *refused; /* by minion: the life that may not run it */
	uint32_t refused_size;
	struct cell_task *tasks;
};

struct cell_occurrence {
	uint32_t number;
	uint32_t steps_left;
	struct cell_step *steps;
};

struct cell_job {
	struct cell_job_spec spec;
	enum cell_job_state state; /* as callers see it */
	enum cell_job_state final; /* decided, not yet durable; or UNKNOWN */
	uint32_t unrecorded;	   /* records that are not durable yet */
	uint64_t cancel_seq;
	uint64_t deadline_unix_ms; /* of its objective */
	uint64_t known_ms;
	uint64_t ended_ms;
	bool inherited; /* an earlier holder may have started it */
	bool begun;	/* a minion has begun a task */
	uint32_t occurrence_count;
	struct cell_occurrence *occurrences;
	UT_hash_handle hh;
};

/* The speed of a run, in percent of what it has at its start. */
#define CELL_PACE_FULL 100
#define CELL_PACE_UNKNOWN 255

struct cell_run {
	char task[CELL_TASK_MAX];
	uint64_t run;
	struct cell_res held;
	uint64_t sent_ms;
	uint64_t acked_ms; /* 0: no answer yet */
	bool foreign;	   /* its job is not known */
	bool stopping;
	bool stop_in_flight;
	uint64_t stop_after_ms; /* next attempt */
	uint64_t stopped_ms;	/* the stop was acknowledged, 0: not */
	bool seen;		/* in the report at hand */
	bool fills;		/* takes what others leave unused */
	bool pace_acked;
	uint8_t pace;	    /* percent of its speed, or CELL_PACE_UNKNOWN */
	uint32_t target_ms; /* tail of a serving task, 0: it serves nobody */
	uint32_t load;	    /* as in cell_running */
	uint64_t pace_sent_ms;
};

struct cell_minion {
	struct cell_minion_info info;
	uint32_t handle;
	uint32_t life; /* counts incarnations in this slot */
	bool used;
	bool listed;
	uint64_t unlisted_ms;
	bool enrolled; /* durable: orders may be sent */
	bool enrolling;
	bool reached;	     /* knows the token of this term */
	bool inherited;	     /* an earlier term may have started work on it */
	bool failing;	     /* the latest call failed */
	uint32_t looks;	     /* in flight */
	bool look_now;	     /* beside one that waits, and without waiting */
	uint64_t unknown_ms; /* an end of an unknown job was listed, 0: none */
	uint64_t look_at_ms;
	uint64_t settle_ms; /* of an inherited minion that stays silent */
	uint64_t born_unix_ms;
	bool clock_known;
	uint64_t anchor_clock_ms;
	uint64_t anchor_ms;
	uint64_t lease_until_ms; /* on our clock, whatever happens */
	uint64_t seen;		 /* highest number of an end handled */
	uint64_t observed;	 /* highest that is durable */
	double fail_score;
	uint64_t suspect_until_ms;
	uint64_t drain_ms;  /* when it was listed as draining, 0: it is not */
	uint64_t wanted_ms; /* a gang waited for room on it, then */
	uint32_t wanted_priority; /* of the most urgent such gang */
	uint64_t calm_ms; /* tails were high, or filling tasks got more, then */
	struct cell_res held;
	uint32_t run_count;
	uint32_t run_capacity;
	struct cell_run *runs;
	/* Tasks of the step being placed that still have room. */
	uint32_t trial_tasks;
};

/* A queue of the configuration, by its name. */
struct cell_queue_ref {
	const struct cell_queue_spec *queue;
	UT_hash_handle hh;
};

struct cell_pending {
	uint64_t seq;
	enum cell_record_kind kind;
	char job[CELL_ID_MAX];
	uint32_t minion; /* CELL_NONE: none */
	uint32_t life;
	uint64_t number;
};

struct cell_lane {
	bool up;
	double travel_ms; /* beyond the cost of the questions before */
	uint64_t busy_until_ms;
	uint32_t open;
};

struct cell_question_state {
	bool used;
	uint32_t generation;
	uint32_t lane;
	uint32_t cost_ms;
	uint64_t sent_ms;
	uint64_t due_ms; /* as the costs of the lane say */
	char step[CELL_TASK_MAX];
	uint32_t count;
	uint32_t minions[CELL_QUESTION_MAX];
	uint32_t lives[CELL_QUESTION_MAX];
};

/* Share of the minions that the advice allows, by queue. */
struct cell_odds {
	char queue[CELL_NAME_MAX];
	double asked;
	double good;
};

struct cell {
	struct cell_owner *owner;
	struct cell_settings settings;
	const struct cell_config *config;
	struct cell_queue_ref *queue_refs; /* one for each queue of it */
	struct cell_queue_ref *queues;	   /* by name */
	uint64_t started_ms;
	bool valid;
	bool minions_listed;
	uint64_t first_listed_ms;
	bool replaying;
	bool dirty;
	uint64_t next_run;
	struct cell_job *jobs; /* by id */
	uint32_t live_jobs;
	uint32_t timed_jobs;
	struct cell_minion **minions;
	uint32_t minion_count;
	uint32_t unsettled;
	struct cell_step **ready;
	uint32_t ready_count;
	uint32_t ready_capacity;
	struct cell_pending *pending;
	uint32_t pending_head;
	uint32_t pending_count;
	uint32_t pending_capacity;
	uint64_t next_seq;
	uint64_t durable_seq;
	struct cell_lane *lanes;
	uint32_t lane_count;
	struct cell_question_state *questions;
	uint32_t question_count;
	struct cell_odds *odds;
	uint32_t odds_count;
	uint64_t tidy_ms;
	uint64_t scheduled_ms;
	uint64_t unix_ms;		  /* of the latest tick */
	char load_service[CELL_NAME_MAX]; /* whose load is known */
	uint64_t load_ms;
	bool load_busy; /* most of its processors are in use */
	struct cell_stats stats;
};

/* job.c */
struct cell_job *cell_job_find(const struct cell *cell, const char *id);
struct cell_step *cell_step_find(const struct cell *cell,
				 const struct cell_task_name *name);
struct cell_task *cell_task_find(const struct cell *cell, const char *task,
				 struct cell_step **step);
const struct cell_step_spec *cell_step_spec_find(const struct cell *cell,
						 const char *task);
void cell_step_name(const struct cell_step *step, uint32_t task,
		    char out[CELL_TASK_MAX]);
void cell_job_settle(struct cell *cell, struct cell_job *job, uint64_t now_ms);
void cell_job_timed(struct cell *cell, uint64_t unix_ms, uint64_t now_ms);
void cell_jobs_tidy(struct cell *cell, uint64_t now_ms);
void cell_jobs_free(struct cell *cell);
void cell_ready_add(struct cell *cell, struct cell_step *step);
uint32_t cell_step_todo(const struct cell_step *step);
void cell_task_release(struct cell *cell, const char *task, uint64_t run,
		       uint64_t now_ms);
bool cell_task_ended(const struct cell_task *task, uint64_t run);
void cell_job_begun(struct cell_job *job);
bool cell_end_apply(struct cell *cell, const struct cell_ended *end,
		    uint32_t minion, uint64_t now_ms);
void cell_job_stop_runs(struct cell *cell, struct cell_job *job,
			uint64_t now_ms);
void cell_gang_abort(struct cell *cell, struct cell_step *step, uint64_t run,
		     uint64_t now_ms);
void cell_event(struct cell *cell, const struct cell_event *event);
void cell_grow(void **items, uint32_t *capacity, uint32_t count, size_t size);

/* cell.c */
const struct cell_queue_spec *cell_queue(const struct cell *cell,
					 const char *name);

/* record.c */
uint64_t cell_record_add(struct cell *cell, const struct cell_record *record,
			 const char *job, struct cell_minion *minion,
			 uint64_t number, uint64_t now_ms);
void cell_observe(struct cell *cell, struct cell_minion *minion,
		  uint64_t number);

/* minion.c */
struct cell_run *cell_run_find(struct cell_minion *m, const char *task,
			       uint64_t run);
struct cell_run *cell_run_add(struct cell_minion *m, const char *task,
			      uint64_t run, const struct cell_step_spec *spec,
			      const struct cell_res *held, uint64_t now_ms);
void cell_run_stop(struct cell *cell, struct cell_minion *m,
		   struct cell_run *run, uint64_t now_ms);
bool cell_minion_usable(const struct cell *cell, const struct cell_minion *m,
			uint64_t now_ms);
uint64_t cell_minion_deadline(struct cell *cell, struct cell_minion *m,
			      uint64_t now_ms);
void cell_minions_tick(struct cell *cell, uint64_t now_ms);
void cell_minions_free(struct cell *cell);
struct cell_minion *cell_minion_inherit(struct cell *cell, const char *id,
					const char *addr);
void cell_minion_forget(struct cell *cell, const char *id);
void cell_run_drop(struct cell *cell, struct cell_minion *m, uint32_t at);

/* pace.c */
bool cell_minion_paced(const struct cell_minion *m);
uint32_t cell_minion_look_wait(const struct cell *cell,
			       const struct cell_minion *m);
void cell_minion_pace(struct cell *cell, struct cell_minion *m,
		      uint64_t now_ms);

/* drain.c */
void cell_minion_evacuate(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms);

/* yield.c */
void cell_gang_waits(struct cell *cell, const struct cell_step *step,
		     const struct cell_queue_spec *queue, uint64_t now_ms);
bool cell_minion_wanted(const struct cell_minion *m, uint64_t now_ms);
bool cell_gives_way(const struct cell *cell, const struct cell_minion *m,
		    const struct cell_step *step,
		    const struct cell_queue_spec *queue, uint64_t now_ms);

/* place.c */
struct cell_res cell_step_held(const struct cell_step_spec *spec);
uint32_t cell_fit(const struct cell_minion *m, const struct cell_step *step);
bool cell_minion_suits(const struct cell *cell, const struct cell_minion *m,
		       const struct cell_step *step,
		       const struct cell_queue_spec *queue, uint64_t now_ms);
void cell_schedule(struct cell *cell, uint64_t now_ms);

/* advice.c */
bool cell_advice_wanted(struct cell *cell, struct cell_step *step,
			const struct cell_queue_spec *queue, uint64_t now_ms);
struct cell_grant *cell_grant_find(struct cell_step *step, uint32_t minion);
void cell_advice_free(struct cell *cell);

#endif
