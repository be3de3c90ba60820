/* Internal interface of the zone scheduler, for zone*.c only. */
#ifndef JAYSPOKE_ZONE_INT_H
#define JAYSPOKE_ZONE_INT_H

#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "est.h"
#include "health.h"
#include "place.h"
#include "queue.h"
#include "share.h"
#include "zone.h"

#define ZONE_MAX_ATTEMPTS 3    /* per task, or per gang */
#define ZONE_RETAIN_MS 3600000 /* time for which ended jobs are kept */
#define ZONE_EXPIRE_INTERVAL_MS 500
/* A job takes 1.7 KB; this limit keeps a daemon below 32 MB. */
#define ZONE_JOBS_MAX 12000
#define ZONE_TASKS_MAX 4096	  /* of one job */
#define ZONE_OUTPUT_MAX 16384	  /* bytes; longer task output is truncated */
#define ZONE_RETRANSMIT_MS 2000	  /* bound on TCP retransmission */
#define ZONE_LISTING_WAIT_MS 2000 /* see zone_awaits_listing() */
#define ZONE_SYNC_BYTES 300	  /* size of one sync request and reply */
#define ZONE_SYNC_BANDWIDTH 3500  /* bytes per second, over all workers */
#define ZONE_NO_WORKER UINT32_MAX

enum task_state {
	TASK_WAIT,	/* not placed */
	TASK_ASSIGN,	/* the assignment is being journalled */
	TASK_LEASE,	/* the lease is being created */
	TASK_LEASED,	/* gang: waits for the other leases */
	TASK_START,	/* the start request is in flight */
	TASK_UNCERTAIN, /* lease and task may or may not exist */
	TASK_RUN,
	TASK_STOP, /* a stop is in flight or to be retried */
	TASK_DONE,
	TASK_FAILED
};

enum job_state {
	JOB_ACCEPTING, /* JNL_ACCEPT is not committed yet */
	JOB_QUEUED,
	JOB_ACTIVE, /* every task is placed or has ended */
	JOB_ENDING, /* JNL_END is not committed yet */
	JOB_ENDED
};

struct zone_job;

struct zone_task {
	enum task_state state;
	uint32_t worker; /* index, ZONE_NO_WORKER if none */
	uint32_t attempt;
	uint32_t failures;
	uint64_t since_ms;	/* time of the last state change */
	uint64_t not_before_ms; /* end of the backoff */
	uint64_t started_ms;
	char lease[ZONE_LEASE_MAX]; /* empty if none */
	bool assigned; /* JNL_ASSIGN committed; unrepeatable jobs only */
	bool seen_up;  /* unused */
	char assigned_to[JNL_NAME_MAX];
	struct res charged; /* reserved on the worker, charged to the owner */
	bool throttled;
	char *output;
	size_t output_len;
};

struct zone_job {
	char id[ZONE_ID_MAX];
	struct jnl_id jid;
	struct jnl_spec spec;
	char *input;
	size_t input_len;
	enum job_state state;
	bool recovered;	   /* accepted before the last takeover */
	bool may_have_run; /* a start may have taken effect */
	bool delayed;	   /* in zone.delayed */
	bool cancelled;
	bool stopping;		/* stopping all tasks: gang abort or cancel */
	uint32_t attempts;	/* failed attempts of a gang */
	uint64_t not_before_ms; /* end of a gang's backoff */
	uint32_t entry;		/* index into zone.entries */
	uint32_t owner;		/* handle of share.h */
	queue_ref queued;
	uint64_t queued_ms;
	uint64_t ended_ms;
	enum err_kind kind;
	enum outcome outcome;
	char text[JNL_TEXT_MAX];
	uint32_t submit_ref;
	uint32_t cancel_ref;
	uint32_t task_count;
	struct zone_task *tasks;
	struct zone_job *next_delayed;
	struct zone_job *prev; /* in zone.active */
	struct zone_job *next;
	UT_hash_handle hh;     /* by id */
	UT_hash_handle hh_key; /* by idempotency key */
};

enum worker_state {
	WORKER_NEW,	/* JNL_WORKER_ADD is not committed yet */
	WORKER_UNKNOWN, /* no lease listing since the takeover */
	WORKER_UP,
	WORKER_UNRESPONSIVE, /* no reply; leases may still be valid */
	WORKER_EXPIRED	     /* no reply; every lease has expired */
};

struct sync_slot {
	uint32_t ref; /* 0: none in flight */
	uint64_t sent_ms;
	bool renews; /* the request renews leases */
};

struct zone_worker {
	char id[JNL_NAME_MAX];
	char addr[JNL_ADDR_MAX];
	enum worker_state state;
	bool listed; /* on the instance list */
	bool leaving;
	bool used;		/* this element of zone.workers is in use */
	uint64_t last_ok_ms;	/* last successful sync */
	uint64_t last_renew_ms; /* last time a renewal was sent */
	uint64_t next_sync_ms;
	uint64_t reconcile_by_ms; /* earlier leases expire; 0 if reconciled */
	bool sync_now;		  /* sync without waiting for the long poll */
	struct sync_slot long_poll;
	struct sync_slot immediate;
	struct health health;
	struct res reported;
	json_t *acks; /* leases whose end is committed, for the next sync */
	UT_hash_handle hh;
};

struct zone_entry {
	char name[JNL_NAME_MAX];
	uint32_t queued;
	uint32_t running;
	struct est est;
	double drain_per_s; /* moving average of jobs placed per second */
	uint64_t last_start_ms;
	UT_hash_handle hh;
};

/* Actions deferred until a journal batch is committed. */
enum commit_kind {
	COMMIT_ACCEPTED,
	COMMIT_ASSIGNED,
	COMMIT_ATTEMPT_ENDED,
	COMMIT_JOB_ENDED,
	COMMIT_CANCEL,
	COMMIT_WORKER
};

struct commit_action {
	enum commit_kind kind;
	uint64_t batch;
	struct zone_job *job;
	uint32_t task;
	uint32_t worker;
	char lease[ZONE_LEASE_MAX];
	struct commit_action *next;
};

struct zone {
	struct zone_settings settings;
	uint64_t epoch;
	uint64_t next_seq;
	uint64_t now_ms;
	uint64_t unix_ms;
	uint64_t takeover_ms;
	bool reconciling; /* after a takeover, see zone_reconcile() */
	struct zone_job *jobs;
	struct zone_job *by_key; /* hash by idempotency key */
	struct zone_job *active; /* list of jobs that have not ended */
	struct zone_worker *workers;
	struct place_worker *places; /* same index as workers */
	uint32_t worker_count;
	uint32_t worker_capacity;
	struct zone_worker *worker_ids;
	struct zone_entry **entries;
	uint32_t entry_count;
	struct zone_entry *entry_names;
	struct share *share;
	struct queue *queue;
	struct zone_job *delayed; /* jobs in backoff or awaiting listings */
	uint64_t expired_ms;	  /* when zone_expire() last ran */
	struct place_policy policy;
	struct jnl_pending pending;
	uint64_t batch; /* number of the batch that pending belongs to */
	struct commit_action *commit_actions;
	struct commit_action **commit_actions_tail;
	struct zone_action *actions;
	struct zone_action **actions_tail;
	uint32_t next_ref;
	uint32_t racks;
	char (*rack_names)[JNL_NAME_MAX];
	uint64_t rng;
	struct zone_stats stats;
};

/* zone.c */
struct zone_action *zone_add_action(struct zone *z, enum zone_action_kind kind);
void zone_on_commit(struct zone *z, enum commit_kind kind, struct zone_job *job,
		    uint32_t task, uint32_t worker);
struct zone_job *zone_find_job(struct zone *z, const char *id);
void zone_job_end(struct zone *z, struct zone_job *job, enum err_kind kind,
		  enum outcome outcome, const char *text);
void zone_mark_ended(struct zone *z, struct zone_job *job);
void zone_requeue(struct zone *z, struct zone_job *job);
void zone_dequeue(struct zone *z, struct zone_job *job);
struct zone_job *zone_add_job(struct zone *z, const struct jnl_id *id,
			      const struct jnl_spec *spec, const char *input,
			      size_t input_len);
struct zone_entry *zone_get_entry(struct zone *z, const char *name);
uint64_t zone_random(struct zone *z);

/* zone_start.c */
void zone_place_queued(struct zone *z, bool may_start);
bool zone_awaits_listing(const struct zone *z, const struct zone_job *job);
void zone_assignment_committed(struct zone *z, struct zone_job *job,
			       uint32_t task);
void zone_on_lease(struct zone *z, struct zone_job *job, uint32_t task,
		   enum zone_result result, bool may_start);
void zone_on_start(struct zone *z, struct zone_job *job, uint32_t task,
		   enum zone_result result);
void zone_on_stop(struct zone *z, struct zone_job *job, uint32_t task,
		  enum zone_result result);
void zone_task_release(struct zone *z, struct zone_job *job, uint32_t task);
void zone_task_reset(struct zone *z, struct zone_job *job, uint32_t task);
void zone_task_stopped(struct zone *z, struct zone_job *job, uint32_t task);
void zone_task_failed(struct zone *z, struct zone_job *job, uint32_t task,
		      const char *why);
void zone_task_done(struct zone *z, struct zone_job *job, uint32_t task,
		    const char *output, size_t len);
void zone_set_task_state(struct zone *z, struct zone_task *t,
			 enum task_state state);
void zone_charge(struct zone *z, struct zone_job *job, uint32_t task,
		 uint32_t worker, const struct res *need);
void zone_stop_tasks(struct zone *z, struct zone_job *job);
void zone_update_job(struct zone *z, struct zone_job *job);

/* zone_recover.c */
void zone_reconcile(struct zone *z);

/* zone_sync.c */
void zone_sync_workers(struct zone *z, bool valid);
void zone_add_ack(struct zone_worker *w, const char *lease);
void zone_on_sync(struct zone *z, uint32_t worker, uint32_t ref,
		  enum zone_result result, const char *body, size_t len,
		  bool valid);
uint32_t zone_unreconciled_workers(const struct zone *z);
uint32_t zone_used_workers(const struct zone *z);
uint32_t zone_worker_index(struct zone *z, const char *id);
uint32_t zone_add_worker(struct zone *z, const char *id, const char *addr,
			 enum worker_state state);
bool zone_lease_parse(const char *lease, char *job, size_t size,
		      uint32_t *task);

#endif
