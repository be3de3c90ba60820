/* Internals of the caller task. */
#ifndef JAYSPOKE_CALLER_H
#define JAYSPOKE_CALLER_H

#include <jansson.h>

#include "ctr.h"
#include "env.h"
#include "httpd.h"
#include "idem.h"
#include "minion/entries.h"

/* Request and metadata must fit in a 1 MiB frame between daemons. */
#define CALLER_CALL_BYTES_MAX (1000U << 10)
#define CALLER_JSON_BYTES_MAX (300U << 10)
#define CALLER_JSON_DEPTH_MAX 16
/* Other zones in which a request is retried after its own. */
#define CALLER_RETRY_ZONES_MAX 3
#define CALLER_NAME_CHARS_MAX 64

enum pending_kind {
	PENDING_CALL,
	PENDING_JOB,
	PENDING_EDIT,
	PENDING_TIMELINE,
};

/* An HTTP request that waits for the reply of another task. */
struct pending {
	struct caller_task *caller;
	uint32_t index;
	uint32_t generation;
	bool used;
	bool disconnected; /* the caller closed the connection */
	enum pending_kind kind;
	struct httpd *httpd;
	uint32_t handle;
	struct timer timer; /* in case no reply arrives */
	/* PENDING_CALL */
	char entry[MSG_NAME_MAX];
	char key[MSG_NAME_MAX];
	bool at_most_once;
	bool key_generated; /* by this daemon, not given by the caller */
	bool sent_local;    /* last sent to the minion task of this daemon */
	uint64_t deadline_ms;
	uint64_t tried_zones;  /* bit mask of zone indices in the settings */
	uint32_t hops;	       /* other zones tried */
	bool tried_local_peer; /* another daemon of the own zone */
	struct buf body;
	/* PENDING_JOB */
	enum job_op op;
	/* PENDING_TIMELINE */
	json_t *daemons;
	json_t *missing; /* ids of daemons that have not replied */
};

struct caller_task {
	struct task task;
	const struct env *env;
	struct httpd *callers;
	struct httpd *operators;
	struct entries *entries;
	struct msg_claim claim;
	uint64_t claim_ms;	  /* when the claim was received */
	struct peer_table *peers; /* NULL until known */
	bool draining;
	bool closed; /* listeners closed, after the drain lag */
	struct timer drain_timer;
	struct timer disconnect_timer;
	struct pending **table; /* stable addresses */
	uint32_t table_size;
	uint32_t *free_indices;
	uint32_t free_index_count;
	uint32_t open;
	ctr_id requests;
	ctr_id forwarded;
	ctr_id disconnects;
	ctr_id no_share;
};

/* An HTTP request and the server that received it. */
struct caller_request {
	struct caller_task *caller;
	struct httpd *httpd;
	const struct httpd_request *http;
	const char *name; /* rest of the path after that of the route */
};

/* An HTTP response. */
struct caller_response {
	int status;
	enum outcome outcome;
	const char *content_type;
	const char *headers; /* NULL or complete lines ending in CRLF */
	const char *body;
	size_t len;
};

/* caller.c */
void caller_reply(struct httpd *httpd, uint32_t handle,
		  const struct caller_response *response);
void caller_reply_error(struct httpd *httpd, uint32_t handle,
			const struct err *err, enum outcome outcome,
			const char *headers);
void caller_reject(const struct caller_request *in, enum err_kind kind,
		   const char *text);
void caller_reply_json(struct httpd *httpd, uint32_t handle, int status,
		       json_t *json);
bool caller_ready(const struct caller_task *caller);
struct pending *caller_pending_new(const struct caller_request *in,
				   enum pending_kind kind);
uint32_t caller_pending_ref(const struct pending *p);
void caller_pending_free(struct pending *p);
json_t *caller_parse_json(const struct caller_request *in, struct err *err);
bool caller_read_key(const struct caller_request *in, char *key, size_t size,
		     struct err *err);

/* zones.c */
int zones_index(const struct conf *conf, const char *az);
const char *zones_home(const struct conf *conf, const char *key);
bool zones_issue_key(const struct caller_task *caller, uint64_t tried_zones,
		     char *key, size_t size);
bool zones_has_local_peer(const struct caller_task *caller);
int zones_next(const struct caller_task *caller, uint64_t tried_zones);
bool zones_is_holder(const struct caller_task *caller, const char *az);

/* call.c */
void call_post(const struct caller_request *in);
void call_reply(struct pending *p, struct msg *msg);
void call_cancel(struct pending *p);
void call_timeout(struct pending *p);

/* job.c */
void job_post(const struct caller_request *in);
void job_get(const struct caller_request *in);
void job_delete(const struct caller_request *in);
void job_reply(struct pending *p, const struct msg *msg);
void job_timeout(struct pending *p);

/* operator.c */
bool operator_allowed(const struct caller_request *in);
void operator_catalogue(const struct caller_request *in);
void operator_edit(const struct caller_request *in);
void operator_edit_reply(struct pending *p, const struct msg *msg);
void operator_edit_timeout(struct pending *p);
void operator_timeline(const struct caller_request *in);
void operator_timeline_reply(struct pending *p, const struct msg *msg);
void operator_timeline_end(struct pending *p);
void operator_peers(const struct caller_request *in);
void operator_metrics(const struct caller_request *in);
void operator_stats(const struct caller_request *in);

#endif
