/* Internal state of the cell scheduler. */
#ifndef JAYSPOKE_CELL_INT_H
#define JAYSPOKE_CELL_INT_H

#include "cell/cell.h"
#include "cell/numset.h"
#include "rtt.h"

#include <uthash.h>

struct cell_job;
struct cell_tombstone;

enum cell_task_state {
	CELL_TASK_READY, /* no run exists */
	CELL_TASK_ACTIVE,
	CELL_TASK_DONE
};

/* A run whose end has been applied. */
struct cell_ended_run {
	uint64_t run;
	enum cell_end end;
};

/* A crash of a minion under a run of a task. */
struct cell_crash {
	uint64_t run;
	uint64_t age_ms; /* from its start to the crash */
	uint32_t blame;	 /* share of the task, in thousandths */
	uint32_t others; /* runs beside it */
	bool begun;	 /* the minion had confirmed the run */
	char minion[CELL_NAME_MAX];
};

struct cell_task {
	uint64_t run;		      /* of the latest start, 0: none */
	struct cell_ended_run *ended; /* unordered */
	uint32_t ended_count;
	uint64_t progress_ms;
	uint32_t minion;    /* of the latest start */
	uint32_t failed_on; /* minion of the latest failure */
	uint8_t state;
	uint8_t fails;
	uint8_t percent;
	char *checkpoint; /* latest, NULL: none */
	struct cell_crash *crashes;
	uint32_t crash_count;
	uint64_t crash_seq;    /* record of the latest crash */
	uint64_t isolation_ms; /* first reservation of a minion for it */
};

/* A placement ticket: the minion may run the step until it expires. */
struct cell_grant {
	uint32_t minion;
	uint32_t incarnation;
	uint64_t until_ms;
	char ticket[CELL_TICKET_MAX];
};

struct cell_step {
	struct cell_job *job;
	const struct cell_step_spec *spec;
	uint32_t occurrence;
	uint32_t index;
	uint32_t tasks_left;   /* tasks that are not done */
	uint32_t tasks_active; /* tasks with a run */
	uint64_t *gang_failed; /* gang runs with a failed member */
	uint32_t gang_failed_count;
	uint32_t most_fails; /* failed attempts, of the task with the most */
	uint32_t crashes;    /* of all tasks */
	uint64_t unblocked_ms;
	uint64_t deadline_unix_ms; /* of its job, or of its occurrence */
	bool unblocked;		   /* all steps it depends on are done */
	bool in_ready_list;
	bool advice_in_flight;
	uint64_t advice_after_ms;
	uint32_t advice_failures; /* requests without a response in a row */
	uint32_t advice_requests_sent;
	uint64_t lanes_busy_ms; /* since when all lanes are busy for it, or 0 */
	uint32_t grant_count;
	struct cell_grant *grants;
	/* By minion: the incarnation that the advice service decided on. */
	uint32_t *decided;
	uint32_t decided_size;
	struct cell_task *tasks;
};

struct cell_occurrence {
	uint32_t number;
	uint32_t steps_left;
	struct cell_step *steps;
};

/* Resources of any number of runs. */
struct cell_use {
	uint64_t cpu_milli;
	uint64_t mem_mb;
	uint64_t gpu;
};

struct cell_job {
	struct cell_job_spec spec;
	uint32_t team; /* handle, 0: none */
	/* Of an inherited job that has ended: its tasks that may still run. */
	struct cell_use left;
	enum cell_job_state state; /* as reported to callers */
	/* Terminal state that may not be durable yet; UNKNOWN: none. */
	enum cell_job_state final_state;
	uint32_t pending_records; /* records not yet durable */
	uint64_t cancel_seq;
	uint64_t deadline_unix_ms; /* of the service level objective */
	/* Nothing starts before the term is confirmed as of later, 0: none. */
	uint64_t confirm_after_ms;
	uint64_t added_ms;
	uint64_t ended_ms;
	bool inherited; /* an earlier holder may have started runs */
	bool started;	/* a minion has started a task */
	/* Those that were added and are not done; a few that are, see job.c. */
	uint32_t occurrence_count;
	uint32_t occurrences_ended; /* of these */
	struct cell_occurrence *occurrences;
	uint32_t next_occurrence; /* the next to be added when it is due */
	struct numset occurrences_done;
	struct cell_job *next; /* while it is being freed */
	UT_hash_handle hh;
};

/* A start without a response of an earlier term. */
struct cell_former_start {
	char task[CELL_TASK_MAX];
	uint64_t run;
};

/* A task that must not be started beside former runs, or starts of it. */
struct cell_detached {
	char task[CELL_TASK_MAX];
	uint32_t runs;
	struct cell_detached *next; /* while it is being freed */
	UT_hash_handle hh;
};

/* A job that has ended and whose status is no longer kept. */
struct cell_expired {
	char id[CELL_ID_MAX];
	enum cell_job_state state;
	bool deleted;		   /* from the store */
	uint64_t revision;	   /* of the store, of its deletion */
	struct cell_expired *next; /* while it is being freed */
	UT_hash_handle hh;
};

/* Kinds of neighbours that a run notes, which ended beside it. */
#define CELL_BESIDE_MAX 6

/* How long runs of a kind ran beside a run. */
struct cell_beside {
	uint32_t kind; /* as in cell_kind_get(), 0: unused */
	uint32_t ms;
};

/*
 * How long an order without a response may still be carried out, in ms: the
 * platform lets one be 12 s late; the rest is for its way.
 */
#define CELL_LATE_ORDER_MS 12500
/* Pace of a run, in percent of its full speed. */
#define CELL_PACE_FULL 100
#define CELL_PACE_UNKNOWN 255

struct cell_run {
	char task[CELL_TASK_MAX];
	uint64_t run;
	struct cell_res held;
	struct cell_res need; /* as in cell_step_spec; counts for its team */
	uint32_t team;	      /* handle, 0: none */
	uint64_t sent_ms;
	uint32_t timeout_ms; /* of the response to its start */
	uint64_t acked_ms;   /* start acknowledged, 0: not yet */
	bool job_unknown;    /* the holder does not know the job */
	bool detached;	     /* not the run of its task, and being stopped */
	bool late;	     /* of a contained queue, past its deadline */
	bool isolated;	     /* of a suspect, started in isolation */
	bool unanswered;     /* its start had no response */
	bool ticket;	     /* its start carries one, of that life */
	bool stopping;
	bool stop_in_flight;
	bool stop_void;		/* that stop may have reached an earlier life */
	uint64_t next_stop_ms;	/* next attempt */
	uint64_t stop_acked_ms; /* 0: not acknowledged */
	uint64_t missing_ms;	/* first report that should show it, or 0 */
	bool in_report;		/* listed in the report being processed */
	bool listed;		/* in a report of the life that is known */
	bool fills;		/* best effort, as in cell_step_spec */
	bool pace_acked;
	uint8_t pace;	    /* percent, or CELL_PACE_UNKNOWN */
	uint32_t target_ms; /* tail latency target, 0: not a serving task */
	uint32_t load;	    /* as in cell_running */
	uint64_t pace_sent_ms;
	uint32_t kind;	  /* as in cell_kind_get(), 0: none */
	bool measured;	  /* started by this term, from the beginning */
	uint64_t tail_ms; /* when its tail latency was last counted */
	struct cell_beside beside[CELL_BESIDE_MAX];
};

/* Polls of one minion that may be open at the same time. */
#define CELL_POLLS_MAX 6

/* A poll that was sent. */
struct cell_open_poll {
	uint64_t sent_ms;
	uint32_t wait_ms; /* as in cell_poll */
	bool open;	  /* neither answered nor failed */
	bool overdue;	  /* its response is late */
};

struct cell_minion {
	struct cell_minion_info info;
	uint32_t handle;
	uint32_t incarnation; /* counts incarnations in this slot */
	bool used;
	bool listed;
	uint64_t addr_ms;     /* when its address changed, 0: never */
	uint64_t unlisted_ms; /* when the platform stopped listing it */
	bool enrolled;	      /* the record is durable: orders may be sent */
	bool enrolling;	      /* the record is not durable yet */
	bool contacted;	      /* has the fencing token of this term */
	bool inherited;	      /* may have runs of an earlier term */
	bool failing;	      /* the latest call to it failed */
	uint64_t failing_ms;  /* when it last began to fail, 0: never */
	uint64_t failing_run; /* the run that began last before that */
	bool explained;	      /* that run explains the failure */
	/* It failed as its connection broke or was refused, not by timeout. */
	bool disconnected;
	bool blamed;	   /* its runs, for the current failure */
	uint64_t alive_ms; /* latest response */
	/* No other start until then; the suspect that it is isolated for. */
	uint64_t isolated_until_ms;
	char isolated_task[CELL_TASK_MAX];
	/* Containment: the queue whose set it is in, or under which it failed.
	 */
	char contained_queue[CELL_NAME_MAX]; /* empty: none */
	char down_queue[CELL_NAME_MAX];	     /* empty: none */
	uint32_t foreign_cpu; /* of runs of other queues than that */
	struct cell_open_poll polls[CELL_POLLS_MAX];
	uint32_t latest_poll;	 /* index in polls */
	bool poll_now;		 /* at once, even if a long poll is open */
	uint64_t unknown_job_ms; /* first end of an unknown job, 0: none */
	uint64_t next_poll_ms;
	uint64_t missing_poll_ms; /* when a missing run has ended, 0: none */
	uint64_t born_unix_ms;
	uint64_t report_sent_ms; /* latest poll that was answered */
	uint64_t reported_ms;	 /* latest report */
	bool clock_known;
	uint64_t anchor_clock_ms; /* clock of the minion at anchor_ms */
	uint64_t anchor_ms;
	/* Latest possible expiry of this and earlier terms, our clock. */
	uint64_t lease_until_ms;
	uint64_t longest_until_ms; /* likewise, in a life that is not known */
	uint64_t deadline_ms; /* latest that was sent, clock of the minion */
	uint64_t deadline_sent_ms;
	uint64_t record_seq;	   /* its latest record, but SETTLED */
	uint64_t addr_seq;	   /* record of its address after a move */
	bool addr_unrecorded;	   /* the journal has a former address */
	uint64_t last_end_handled; /* highest end number applied */
	uint64_t last_end_durable; /* highest end number made durable */
	uint64_t first_end;	   /* not known to be forgotten, 0: none */
	double fail_score;
	uint64_t suspect_until_ms;
	uint64_t unstable_ms; /* when it last failed or came back, 0: never */
	uint64_t drain_ms;    /* when draining began, 0: not draining */
	uint64_t reserved_ms; /* latest reservation for a waiting gang */
	uint32_t reserved_priority; /* of the most urgent such gang */
	uint64_t tail_low_ms; /* latest tail that was not low, or step up */
	struct cell_res held;
	uint32_t run_count;
	uint32_t run_capacity;
	struct cell_run *runs;
	/* Removed from runs, though their starts have no response. */
	struct cell_run *unanswered;
	uint32_t unanswered_count;
	uint32_t unanswered_capacity;
	/* Tasks of the step being placed that still fit. */
	uint32_t free_slots;
	UT_hash_handle hh; /* by id */
};

/* A queue whose tasks have crashed minions. */
struct cell_contained {
	char queue[CELL_NAME_MAX];
	char service[CELL_NAME_MAX];
	bool active;
	uint64_t crash_ms;     /* latest crash */
	uint32_t grown;	       /* size of its set by its crashes, 0: not set */
	uint64_t grown_ms;     /* latest change of that */
	uint32_t free_minions; /* that run no work of other queues */
	uint64_t others_ms;    /* when work of other queues last waited long */
	uint64_t counted_cpu_ms; /* when that is counted again */
	uint32_t size;		 /* of its set, with minions that are down */
	uint32_t room;		 /* jobs that may be placed in this pass */
	uint32_t late_room;	 /* late ones of these */
	uint32_t waiting;	 /* jobs without a start, in the latest pass */
	uint64_t in_time_ms;	 /* when there was one in time */
	uint32_t in_time;	 /* those that can still meet their objective */
	uint32_t retrying;	 /* jobs that wait for another start */
	double starts;		 /* of jobs, of late, decaying */
	double restarts;	 /* further ones of these */
	double crashes;		 /* by them */
	uint64_t counted_ms;
};

/* Penalties that add up to the rank of a minion. */
enum cell_rank {
	CELL_RANK_INTERFERES = 1, /* best-effort beside serving tasks */
	CELL_RANK_SLOWED = 2,	  /* a pair that was seen to interfere */
	CELL_RANK_SLOW = 4,	  /* the step would end late there */
	CELL_RANK_UNSTABLE = 8,	  /* a gang, and the minion failed lately */
	CELL_RANK_NO_AFFINITY = 16,
	CELL_RANK_RESERVED = 32
};

/* A minion that a step may use and that has free slots. */
struct cell_candidate {
	struct cell_minion *minion;
	const struct cell_grant *grant; /* NULL: no ticket is needed */
	uint32_t rank;			/* lower is better */
	uint32_t free_cpu;
};

/* Index entry: a queue of the configuration by name. */
struct cell_queue_ref {
	const struct cell_queue_spec *queue;
	UT_hash_handle hh;
};

/* A team that the configuration or a job has named. */
struct cell_team {
	char name[CELL_NAME_MAX];
	uint32_t handle;
	bool configured;
	struct cell_res max; /* running at once on all minions; 0: unlimited */
	struct cell_use use;
	struct cell_use left; /* part of it: runs that are not known */
	UT_hash_handle hh;    /* by name */
};

/* A record that was issued and is not durable yet. */
struct cell_pending_record {
	uint64_t seq;
	enum cell_record_kind kind;
	char job[CELL_ID_MAX];
	uint32_t minion; /* CELL_NONE: none */
	uint32_t incarnation;
	uint64_t number; /* of the end that becomes durable, 0: none */
};

/* A connection to the advice service, by way of one daemon. */
struct cell_lane {
	bool up;
	uint32_t rank;	      /* among the lanes that are up, by latency */
	double latency_ms;    /* response delay beyond the backlog */
	uint64_t measured_ms; /* when the latency was last updated */
	uint64_t backlog_until_ms;
	uint32_t in_flight;
};

/* An advice request that was sent. */
struct cell_advice_pending {
	bool used;
	uint32_t generation;
	uint32_t lane;
	uint32_t cost_ms;
	uint64_t sent_ms;
	uint64_t due_ms; /* expected response, from the lane backlog */
	char step[CELL_TASK_MAX];
	uint32_t count;
	uint32_t minions[CELL_ADVICE_MINIONS_MAX];
	uint32_t incarnations[CELL_ADVICE_MINIONS_MAX];
};

/* Share of the minions that the advice service accepts, by queue. */
struct cell_accept_rate {
	char queue[CELL_NAME_MAX];
	double asked;
	double accepted;
};

struct cell_zone {
	char name[CELL_NAME_MAX];
	struct rtt rtt; /* of the minions of the availability zone */
};

struct cell {
	struct cell_owner *owner;
	struct cell_settings settings;
	const struct cell_config *config;
	struct cell_queue_ref *queue_refs; /* one per queue of config */
	struct cell_queue_ref *queues;	   /* by name */
	struct cell_team **teams;	   /* by handle, from 1 */
	struct cell_team *team_index;
	uint32_t team_count;
	uint32_t team_capacity;
	bool team_limits;      /* a team of the configuration has a limit */
	bool team_use_counted; /* the use of the teams is that of now */
	bool team_left_void;   /* an inherited job was added since */
	uint64_t team_left_ms; /* when the runs not known were counted */
	uint64_t started_ms;
	bool valid;	       /* the term may start runs and renew leases */
	uint64_t confirmed_ms; /* by the store: no later term had begun */
	uint64_t fenced_ms;    /* when a minion last knew a later one, or 0 */
	uint64_t tick_ms;      /* latest tick, for which that was set */
	bool minions_listed;
	bool replaying;
	bool dirty; /* a scheduling pass is needed */
	uint64_t next_run;
	struct cell_job *jobs;		   /* by id */
	struct cell_expired *expired;	   /* by id */
	struct cell_tombstone *tombstones; /* by id, the oldest first */
	uint64_t jobs_read_ms;		   /* start of the latest read of all */
	uint32_t live_jobs;
	uint32_t recurring_jobs;
	struct cell_minion **minions;
	struct cell_minion *minion_index; /* by id */
	uint32_t minion_count;
	struct cell_zone *zones;
	uint32_t zone_count;
	uint32_t zone_capacity;
	uint64_t minions_tick_ms; /* latest tick of the minions */
	bool minions_due;	  /* the next tick must not wait */
	uint32_t unsettled;
	struct cell_detached *detached; /* by task */
	struct cell_former_start *former_starts;
	uint32_t former_start_count;
	uint32_t former_start_capacity;
	uint32_t unknown_job_runs; /* with job_unknown set */
	uint64_t lease_ended_ms;   /* when a minion was last settled by time */
	double losses;		   /* minions lost of late, decaying */
	uint64_t losses_ms;	   /* when the count was updated */
	struct cell_contained *contained;
	uint32_t contained_count;
	uint32_t contained_active;
	struct cell_step **ready;
	uint32_t ready_count;
	uint32_t ready_capacity;
	struct cell_pending_record *pending;
	uint32_t pending_head;
	uint32_t pending_count;
	uint32_t pending_capacity;
	uint64_t next_seq;
	uint64_t durable_seq;
	struct cell_lane *lanes;
	uint32_t lane_count;
	uint32_t lanes_up;
	uint32_t slice_requests; /* advice requests prepared in this slice */
	bool request_deferred; /* by the latest step: too many in this slice */
	/* Index in ready at which the pass goes on, CELL_NONE: it is done. */
	uint32_t deferred_from;
	uint64_t last_slice_ms;
	bool lanes_ranked; /* lanes_up and the ranks are current */
	struct cell_advice_pending *advice_requests;
	uint32_t advice_request_count;
	struct cell_accept_rate *accept_rates;
	uint32_t accept_rate_count;
	uint64_t next_purge_ms;
	uint64_t last_pass_ms;
	uint64_t unix_ms;		  /* of the latest tick or submission */
	char load_service[CELL_NAME_MAX]; /* of the cached load */
	uint64_t load_ms;
	bool load_high; /* above RESERVE_MIN_LOAD_PERCENT */
	struct cell_interference *interference; /* NULL: not in force */
	uint32_t kind_generation;
	struct cell_learn *learn; /* NULL: not in force */
	struct cell_stats stats;
};

/* job.c */
uint64_t cell_job_deadline(const struct cell *cell,
			   const struct cell_job_spec *spec);
struct cell_job *cell_job_find(const struct cell *cell, const char *id);
struct cell_step *cell_step_find(const struct cell *cell,
				 const struct cell_task_name *name);
struct cell_task *cell_task_find(const struct cell *cell, const char *task,
				 struct cell_step **step);
struct cell_task *cell_task_of_run(struct cell *cell, const char *task,
				   struct cell_step **step, uint64_t now_ms);
bool cell_step_is_due(const struct cell *cell, const struct cell_step *step);
const struct cell_step_spec *cell_step_spec_find(const struct cell *cell,
						 const char *task);
void cell_step_name(const struct cell_step *step, uint32_t task,
		    char out[CELL_TASK_MAX]);
void cell_job_publish_state(struct cell *cell, struct cell_job *job,
			    uint64_t now_ms);
void cell_jobs_add_due(struct cell *cell, uint64_t unix_ms, uint64_t now_ms);
void cell_jobs_purge(struct cell *cell, uint64_t now_ms);
void cell_jobs_free(struct cell *cell);
void cell_ready_add(struct cell *cell, struct cell_step *step);
uint32_t cell_step_unstarted(const struct cell_step *step);
void cell_task_release(struct cell *cell, const char *task, uint64_t run,
		       uint64_t now_ms);
bool cell_task_ended(const struct cell_task *task, uint64_t run);
void cell_job_mark_started(struct cell_job *job);
bool cell_end_apply(struct cell *cell, const struct cell_ended *end,
		    uint32_t minion, uint64_t now_ms);
void cell_job_fail(struct cell *cell, struct cell_job *job, uint64_t now_ms);
bool cell_step_exhausted(struct cell *cell, struct cell_step *step,
			 const struct cell_queue_spec *queue, uint64_t now_ms);
bool cell_job_has_task(const struct cell_job *job, const char *task);
void cell_job_stop_runs(struct cell *cell, struct cell_job *job,
			uint64_t now_ms);
void cell_gang_abort(struct cell *cell, struct cell_step *step, uint64_t run,
		     uint64_t now_ms);
void cell_event(struct cell *cell, const struct cell_event *event);
void cell_grow(void **items, uint32_t *capacity, uint32_t count, size_t size);

/* expired.c */
void cell_expired_add(struct cell *cell, const struct cell_job *job);
void cell_expired_snapshot(const struct cell *cell,
			   void (*emit)(void *ctx,
					const struct cell_record *record),
			   void *ctx);
void cell_expired_free(struct cell *cell);

/* tombstone.c */
bool cell_tombstone_exists(const struct cell *cell, const char *id);
void cell_tombstone_replay(struct cell *cell, const struct cell_record *record);
void cell_tombstones_expire(struct cell *cell, uint64_t now_ms);
void cell_tombstones_snapshot(const struct cell *cell,
			      void (*emit)(void *ctx,
					   const struct cell_record *record),
			      void *ctx);
uint32_t cell_tombstone_count(const struct cell *cell);
void cell_tombstones_free(struct cell *cell);

/* cell.c */
const struct cell_queue_spec *cell_queue(const struct cell *cell,
					 const char *name);

/* record.c */
uint64_t cell_record_add(struct cell *cell, const struct cell_record *record,
			 const char *job, struct cell_minion *minion,
			 uint64_t number, uint64_t now_ms);
void cell_ack_ends(struct cell *cell, struct cell_minion *minion,
		   uint64_t number);

/* poll.c */
void cell_response_time_add(struct cell *cell, const struct cell_minion *m,
			    uint64_t took_ms);
void cell_response_missed(struct cell *cell, const struct cell_minion *m,
			  uint64_t timeout_ms);
uint32_t cell_order_timeout_ms(struct cell *cell, const struct cell_minion *m);
uint32_t cell_longest_order_timeout_ms(const struct cell *cell);
bool cell_poll_is_open(const struct cell_minion *m);
void cell_poll_if_due(struct cell *cell, struct cell_minion *m,
		      uint64_t now_ms);
bool cell_poll_overdue(struct cell *cell, struct cell_minion *m,
		       uint64_t now_ms);
struct cell_open_poll cell_poll_close(struct cell_minion *m, uint64_t sent_ms);

/* minion.c */
struct cell_minion *cell_minion_get(const struct cell *cell, uint32_t handle,
				    const char *id);
struct cell_run *cell_run_find(struct cell_minion *m, const char *task,
			       uint64_t run);
struct cell_run *cell_run_add(struct cell_minion *m, const char *task,
			      uint64_t run, const struct cell_step_spec *spec,
			      const struct cell_res *held, uint64_t now_ms);
void cell_run_stop(struct cell *cell, struct cell_minion *m,
		   struct cell_run *run, uint64_t now_ms);
bool cell_minion_usable(const struct cell *cell, const struct cell_minion *m,
			uint64_t now_ms);
uint64_t cell_minion_renew_lease(struct cell *cell, struct cell_minion *m,
				 uint64_t now_ms);
void cell_adopt_runs(struct cell *cell, const struct cell_job *job,
		     uint64_t now_ms);
void cell_minions_tick(struct cell *cell, uint64_t now_ms);
void cell_minions_free(struct cell *cell);
struct cell_minion *cell_minion_inherit(struct cell *cell, const char *id,
					const char *addr);
uint64_t cell_longest_lease_ms(const struct cell *cell);
void cell_minion_remove(struct cell *cell, const char *id);
void cell_run_remove(struct cell *cell, struct cell_minion *m, uint32_t at);

/* detached.c */
void cell_detached_add(struct cell *cell, const char *task);
void cell_run_detach(struct cell *cell, struct cell_run *run);
void cell_detached_remove(struct cell *cell, const char *task);
bool cell_task_has_former_run(const struct cell *cell,
			      const struct cell_step *step, uint32_t index);
void cell_detached_free(struct cell *cell);

/* unanswered.c */
bool cell_run_may_begin(const struct cell_run *run, uint64_t sent_ms);
void cell_run_void_stops(struct cell_run *run);
void cell_unanswered_add(struct cell *cell, struct cell_minion *m,
			 const struct cell_run *run);
struct cell_run *cell_unanswered_find(struct cell_minion *m, const char *task,
				      uint64_t run);
void cell_unanswered_remove(struct cell *cell, struct cell_minion *m,
			    struct cell_run *run);
void cell_unanswered_record(struct cell *cell, struct cell_run *run,
			    uint64_t now_ms);
void cell_unanswered_begun(struct cell *cell, struct cell_minion *m,
			   const char *task, uint64_t run);
void cell_unanswered_expire(struct cell *cell, struct cell_minion *m,
			    uint64_t now_ms);
void cell_unanswered_free(struct cell *cell, struct cell_minion *m);
void cell_unanswered_snapshot(const struct cell *cell,
			      void (*emit)(void *ctx,
					   const struct cell_record *record),
			      void *ctx);
bool cell_order_may_arrive(const struct cell_minion *m, uint64_t now_ms);
void cell_unanswered_stop(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms);

/* former_start.c */
void cell_former_start_add(struct cell *cell, const char *task, uint64_t run);
void cell_former_start_over(struct cell *cell, const char *task, uint64_t run);
void cell_former_starts_expire(struct cell *cell, uint64_t now_ms);
void cell_former_starts_snapshot(const struct cell *cell,
				 void (*emit)(void *ctx,
					      const struct cell_record *record),
				 void *ctx);

/* pace.c */
bool cell_minion_needs_pacing(const struct cell_minion *m);
uint32_t cell_minion_poll_wait_ms(const struct cell *cell,
				  const struct cell_minion *m);
void cell_minion_update_pace(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms);

/* drain.c */
void cell_minion_evacuate(struct cell *cell, struct cell_minion *m,
			  uint64_t now_ms);

/* team.c */
uint32_t cell_team_handle(struct cell *cell, const char *name);
void cell_teams_configure(struct cell *cell);
void cell_teams_free(struct cell *cell);
void cell_teams_recount(struct cell *cell);
void cell_team_keep_left(struct cell_job *job);
uint32_t cell_team_of_task(const struct cell *cell, const char *task);
uint32_t cell_team_room(struct cell *cell, const struct cell_step *step,
			uint64_t now_ms);
bool cell_team_permits(struct cell *cell, const struct cell_step *step,
		       uint64_t now_ms);
void cell_team_add_start(struct cell *cell, const struct cell_step *step);

/* reserve.c */
void cell_gang_reserve(struct cell *cell, const struct cell_step *step,
		       const struct cell_queue_spec *queue, uint64_t now_ms);
bool cell_minion_reserved(const struct cell_minion *m, uint64_t now_ms);
bool cell_step_yields(const struct cell *cell, const struct cell_minion *m,
		      const struct cell_step *step,
		      const struct cell_queue_spec *queue, uint64_t now_ms);

/* place.c */
struct cell_res cell_step_held(const struct cell_step_spec *spec);
uint32_t cell_fit(const struct cell_minion *m, const struct cell_step *step);
bool cell_minion_has_label(const struct cell_minion *m, const char *label);
bool cell_minion_suits(const struct cell *cell, const struct cell_minion *m,
		       const struct cell_step *step,
		       const struct cell_queue_spec *queue, uint64_t now_ms);
void cell_task_start(struct cell *cell, struct cell_step *step, uint32_t index,
		     const struct cell_candidate *c, uint64_t run,
		     uint64_t now_ms);
uint32_t cell_candidates_collect(struct cell *cell, struct cell_step *step,
				 const struct cell_queue_spec *queue,
				 struct cell_candidate *out, bool *yielded,
				 uint64_t now_ms);
uint32_t cell_candidates_filter_rack(const struct cell *cell,
				     const struct cell_step *step,
				     struct cell_candidate *c, uint32_t count);
const struct cell_candidate *
cell_candidate_select(const struct cell_candidate *c, uint32_t count,
		      const struct cell_task *task);
uint32_t cell_ready_ahead(const struct cell *cell, struct cell_step *step);
void cell_schedule(struct cell *cell, uint64_t now_ms);
void cell_schedule_deferred(struct cell *cell, uint64_t now_ms);

/* crash.c */
bool cell_task_suspect(const struct cell_task *task);
uint32_t cell_task_crashes(const struct cell_task *task);
bool cell_step_suspect(const struct cell_step *step);
void cell_crash_replay(struct cell *cell, const struct cell_record *record);
void cell_crash_record(const struct cell_crash *crash, const char *task,
		       struct cell_record *record);
bool cell_crash_clear(struct cell *cell, const char *name, uint64_t run);
void cell_minion_clear_runs(struct cell *cell, const struct cell_minion *m,
			    uint64_t now_ms);
void cell_minion_blame_early(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms);
void cell_minion_blame(struct cell *cell, struct cell_minion *m,
		       uint64_t now_ms);
bool cell_step_give_up(struct cell *cell, struct cell_step *step,
		       uint64_t now_ms);
void cell_minion_note_failure(struct cell_minion *m);

/* isolate.c */
bool cell_minion_isolated_from(const struct cell_minion *m,
			       const struct cell_step *step, uint64_t now_ms);
bool cell_isolation_possible(const struct cell *cell,
			     const struct cell_step *step, uint64_t now_ms);
bool cell_crashes_durable(const struct cell *cell,
			  const struct cell_step *step);
uint32_t cell_suspect_crashes(const struct cell_step *step);
bool cell_suspects_only(const struct cell_step *step);
void cell_start_suspects(struct cell *cell, struct cell_step *step,
			 struct cell_candidate *candidates, uint32_t count,
			 uint64_t now_ms);
void cell_isolate_gang(struct cell_step *step, struct cell_minion *m,
		       uint64_t now_ms);

/* contain.c */
void cell_contain_crash(struct cell *cell, struct cell_minion *m,
			const struct cell_run *run, uint64_t now_ms);
void cell_contain_replay(struct cell *cell, const struct cell_record *record);
void cell_contain_snapshot(const struct cell *cell,
			   void (*emit)(void *ctx,
					const struct cell_record *record),
			   void *ctx);
void cell_contain_update(struct cell *cell, uint64_t now_ms);
bool cell_contain_permits(const struct cell *cell, const struct cell_minion *m,
			  const char *queue);
bool cell_contain_admits(struct cell *cell, const struct cell_step *step,
			 bool late);
bool cell_contain_full(const struct cell *cell, const struct cell_minion *m,
		       const struct cell_job *job);
void cell_contain_start(struct cell *cell, const struct cell_job *job,
			bool first, uint64_t now_ms);
void cell_contain_waiting(struct cell *cell, const struct cell_step *step,
			  const struct cell_queue_spec *queue, bool late,
			  uint64_t now_ms);
uint32_t cell_contain_isolation(const struct cell *cell, const char *queue);
bool cell_contain_active(const struct cell *cell, const char *queue);
void cell_contain_each_wait(const struct cell *cell, cell_overload_fn fn,
			    void *ctx);

/* interference.c */
uint32_t cell_kind_get(struct cell *cell, const struct cell_step *step,
		       uint64_t now_ms);
uint32_t cell_kind_find(const struct cell *cell, const struct cell_step *step);
bool cell_kind_has_partners(const struct cell *cell, uint32_t kind);
bool cell_kind_interferes(const struct cell *cell, uint32_t kind,
			  const struct cell_minion *m);
void cell_interference_run_ended(struct cell *cell, struct cell_minion *m,
				 const struct cell_run *run, enum cell_end end,
				 uint64_t now_ms);
void cell_interference_tails(struct cell *cell, struct cell_minion *m,
			     uint64_t now_ms);
void cell_interference_tick(struct cell *cell, uint64_t now_ms);
void cell_interference_free(struct cell *cell);

/* learn.c */
void cell_learn_run_ended(struct cell *cell, const struct cell_minion *m,
			  const struct cell_run *run, enum cell_end end,
			  uint64_t now_ms);
uint64_t cell_learn_step_ms(const struct cell *cell, const char *queue,
			    const struct cell_step_spec *spec);
uint64_t cell_learn_task_ms(const struct cell *cell,
			    const struct cell_step *step,
			    const struct cell_minion *m);
uint64_t cell_learn_rest_ms(const struct cell *cell,
			    const struct cell_step *step);
uint64_t cell_learn_deadline(const struct cell *cell,
			     const struct cell_step *step);
void cell_learn_rank(const struct cell *cell, const struct cell_step *step,
		     struct cell_candidate *c, uint32_t count);
bool cell_learn_unstable(const struct cell *cell, const struct cell_minion *m,
			 uint64_t now_ms);
void cell_learn_free(struct cell *cell);

/* advice.c */
bool cell_request_advice(struct cell *cell, struct cell_step *step,
			 const struct cell_queue_spec *queue, uint64_t now_ms);
struct cell_grant *cell_grant_find(struct cell_step *step, uint32_t minion);
bool cell_step_waits_for_lane(const struct cell_step *step);
double cell_advice_cost_ms(const struct cell_advice_spec *advice);
uint32_t cell_lanes_for(const struct cell *cell, double cost_ms);
void cell_advice_free(struct cell *cell);

#endif
