/*
 * Messages between the tasks of a daemon. The sender of a request chooses its
 * reference, and the reply repeats it.
 */
#ifndef JAYSPOKE_MSG_H
#define JAYSPOKE_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "buf.h"
#include "err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MSG_KEY_MAX 192	  /* bytes of a store key, with NUL */
#define MSG_NAME_MAX 80	  /* bytes of an id, entry or zone name, with NUL */
#define MSG_ID_MAX 120	  /* bytes of a job id, with NUL */
#define MSG_LEASE_MAX 160 /* bytes of a lease id, with NUL */
#define MSG_ADDR_MAX 56	  /* bytes of "address:port", with NUL */
#define MSG_DETAIL_MAX 200

enum task_id {
	TASK_CALLER,
	TASK_MINION,
	TASK_SCHED,
	TASK_WORKER,
	TASK_STORE,
	TASK_CATALOGUE,
	TASK_INSTLIST,
	TASK_PEER,
	TASK_MAIN,
	TASK_COUNT
};

enum msg_kind {
	/* Requests to the store task, and its reply. */
	MSG_STORE,
	MSG_STORE_REPLY,
	/* Requests to the catalogue task, its replies and its broadcast. */
	MSG_CAT_EDIT,
	MSG_CAT_EDIT_REPLY,
	MSG_CAT_CHANGED,
	MSG_CAT_PULL,  /* a peer requests the changes since a revision */
	MSG_CAT_STATE, /* encoded catalogue or changes, from a peer */
	/* Broadcast of the instance list task. */
	MSG_INSTANCES,
	/* Jobs: to the sched task, or via the peer task to another daemon. */
	MSG_JOB,
	MSG_JOB_REPLY,
	/* Interactive requests: to the minion task, or to the peer task. */
	MSG_CALL,
	MSG_CALL_REPLY,
	MSG_CALL_CANCEL, /* the caller of this reference has disconnected */
	/* Requests to the worker task, and its replies. */
	MSG_WORKER,
	MSG_WORKER_REPLY,
	/* Broadcasts. */
	MSG_CLAIM, /* from the sched task: state of the zone's claim */
	MSG_PEERS, /* from the peer task: the known daemons */
	MSG_DRAIN, /* from main: a graceful stop has begun */
	/* Promises of zone members, between the sched and the peer task. */
	MSG_PROMISE,
	MSG_PROMISE_REPLY,
	/* Minion slots: demand sent to the holder, grants received from it. */
	MSG_SLOT_DEMAND,
	MSG_SLOT_GRANT,
	/* Timelines of other daemons, between the caller and the peer task. */
	MSG_TIMELINE,
	MSG_TIMELINE_REPLY,
	MSG_KIND_COUNT
};

enum store_op { STORE_GET, STORE_PUT, STORE_DELETE };

enum store_status {
	STORE_OK,	   /* the write took effect, or the value was read */
	STORE_ABSENT,	   /* no such key */
	STORE_CONFLICT,	   /* index mismatch: no effect */
	STORE_UNAVAILABLE, /* not sent, or rejected by the store: no effect */
	STORE_UNKNOWN,	   /* sent, no response: may have taken effect */
};

/* body: the value (PUT). */
struct msg_store {
	enum store_op op;
	char key[MSG_KEY_MAX];
	bool recurse;	     /* GET, DELETE: all keys below the prefix */
	bool has_cas;	     /* PUT: compare-and-swap with @index */
	uint64_t index;	     /* PUT: 0 requires absence; GET: see wait_ms */
	uint32_t wait_ms;    /* GET: wait for an index above @index */
	uint32_t timeout_ms; /* 0: the default */
};

/* body: the value, or the raw JSON array of a recursive GET. */
struct msg_store_reply {
	enum store_op op;
	enum store_status status;
	uint64_t index; /* modify index of the key, or index of the response */
};

/* body: the JSON array of changes. */
struct msg_cat_edit {
	uint64_t revision; /* of the catalogue that the edit is based on */
	char operator_name[MSG_NAME_MAX];
};

struct msg_cat_edit_reply {
	struct err err;
	uint64_t revision; /* first revision that includes the edit */
};

/* MSG_CAT_CHANGED (obj: struct cat_obj), MSG_CAT_PULL, MSG_CAT_STATE (body). */
struct msg_cat {
	uint64_t revision;
	char peer[MSG_NAME_MAX];
};

enum job_op { JOB_SUBMIT, JOB_STATUS, JOB_CANCEL };

/* body: the JSON submission (SUBMIT). */
struct msg_job {
	enum job_op op;
	char az[MSG_NAME_MAX];	/* home zone */
	char id[MSG_ID_MAX];	/* STATUS, CANCEL: the job */
	char key[MSG_NAME_MAX]; /* idempotency key, may be empty */
};

/* body: the JSON state of the job. */
struct msg_job_reply {
	struct err err;
	enum outcome outcome;
};

/* body: the request body. */
struct msg_call {
	char entry[MSG_NAME_MAX];
	char key[MSG_NAME_MAX]; /* idempotency key, may be empty */
	char az[MSG_NAME_MAX];	/* zone that must serve it, empty: any */
	uint32_t deadline_ms;	/* time left when the message is received */
	bool to_holder;		/* only the holder of az may dispatch it */
	bool forwarded;		/* received from another daemon */
};

/* body: the complete response of the minion. */
struct msg_call_reply {
	struct err err;
	enum outcome outcome;
	int http_status; /* of the minion, 0 without a response */
	char minion[MSG_NAME_MAX];
	char content_type[MSG_NAME_MAX];
};

enum worker_op {
	WORKER_LEASE, /* create a lease */
	WORKER_START, /* body: the JSON task; sent at most once per lease */
	WORKER_STOP,
	WORKER_THROTTLE,
	WORKER_SYNC, /* body: the JSON body of POST /v1/sync */
};

struct msg_worker {
	enum worker_op op;
	char worker[MSG_NAME_MAX];
	char addr[MSG_ADDR_MAX];
	char lease[MSG_LEASE_MAX];
	uint32_t ttl_ms;
	uint32_t timeout_ms;
	uint64_t decided_ms; /* when the scheduler made the decision */
};

enum worker_status {
	WORKER_OK,
	WORKER_REFUSED,	   /* error response: no effect */
	WORKER_NOT_SENT,   /* no effect */
	WORKER_NO_RESPONSE /* sent, no response: may have taken effect */
};

/* body: the response. */
struct msg_worker_reply {
	enum worker_op op;
	enum worker_status status;
	int http_status;
	char worker[MSG_NAME_MAX];
	char lease[MSG_LEASE_MAX];
};

struct msg_claim {
	char holder[MSG_NAME_MAX]; /* daemon id, empty if none is known */
	uint64_t epoch;
	bool held;		 /* this daemon holds a valid claim */
	uint32_t window;	 /* seconds since the claim was acquired */
	uint64_t valid_until_ms; /* on CLOCK_BOOTTIME, if held */
	/* Members of the zone according to the journal, and their version. */
	uint32_t member_count;
	char members[8][MSG_NAME_MAX];
	uint64_t members_version;
};

/* A member's promise not to acquire the claim; see docs/design.md, 4.2. */
struct msg_promise {
	char peer[MSG_NAME_MAX]; /* recipient, or sender */
	uint64_t epoch;
	uint32_t term_ms;
	bool renounce;	      /* request a statement that none is outstanding */
	bool granted;	      /* MSG_PROMISE_REPLY */
	bool store_reachable; /* reply: the store is reachable from the member
			       */
};

/* body: JSON, or msgpack of the minion task. peer: recipient, or sender. */
struct msg_peer_body {
	char peer[MSG_NAME_MAX];
	uint64_t since; /* MSG_TIMELINE */
	bool answered;	/* MSG_TIMELINE_REPLY: false without a response */
};

/* Header of a reference-counted object that messages share. */
struct shared {
	uint32_t refs;
	void (*free)(struct shared *obj);
};

struct msg {
	enum msg_kind kind;
	enum task_id from;
	enum task_id to;
	uint32_t ref;
	struct msg *next;
	struct buf body;
	struct shared *obj;
	union {
		struct msg_store store;
		struct msg_store_reply store_reply;
		struct msg_cat_edit cat_edit;
		struct msg_cat_edit_reply cat_edit_reply;
		struct msg_cat cat;
		struct msg_job job;
		struct msg_job_reply job_reply;
		struct msg_call call;
		struct msg_call_reply call_reply;
		struct msg_worker worker;
		struct msg_worker_reply worker_reply;
		struct msg_claim claim;
		struct msg_promise promise;
		struct msg_peer_body peer;
	};
};

/* State of a daemon, as last reported by its heartbeats. */
struct peer_info {
	char id[MSG_NAME_MAX];
	char az[MSG_NAME_MAX];
	char region[MSG_NAME_MAX];
	bool alive;  /* received a frame within the timeout */
	bool holder; /* reports that it holds the claim of its zone */
	bool draining;
	uint64_t epoch;	 /* latest claim epoch that it reports */
	uint32_t window; /* seconds of the claim, if it is the holder */
	uint64_t cat_revision;
	uint64_t last_frame_ms; /* last frame, see loop_now_ms() */
	uint32_t free_milli; /* free share of its zone's capacity, 0 to 1000 */
	uint32_t inflight;
};

/* Object of MSG_PEERS. */
struct peer_table {
	struct shared shared;
	uint32_t count;
	struct peer_info peers[];
};

enum inst_kind { INST_WORKER, INST_MINION, INST_DAEMON };

struct instance {
	char id[MSG_NAME_MAX];
	enum inst_kind kind;
	char az[MSG_NAME_MAX];
	char rack[MSG_NAME_MAX];
	char addr[MSG_ADDR_MAX];
	bool leaving;
	uint32_t cpus;
	uint32_t mem_mb;
	uint32_t accel;
	char upstream[MSG_NAME_MAX];
	uint32_t slots;
	uint32_t connections;
};

/* Object of MSG_INSTANCES: the instances of this daemon's zone. */
struct inst_list {
	struct shared shared;
	uint32_t count;
	struct instance items[];
};

struct msg *msg_new(enum msg_kind kind, enum task_id from, uint32_t ref);
struct msg *msg_clone(const struct msg *msg);
void msg_free(struct msg *msg);

void *shared_ref(void *obj);
void shared_unref(void *obj);

#ifdef __cplusplus
}
#endif

#endif
