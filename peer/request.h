/* Table of pending requests between daemons, by handle. */
#ifndef JAYSPOKE_REQUEST_H
#define JAYSPOKE_REQUEST_H

#include "msg.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Pending request: outgoing to a peer, or incoming from a peer. */
struct request {
	bool used;
	uint32_t generation;
	enum msg_kind kind;  /* kind of the request */
	enum task_id from;   /* outgoing: the requesting task */
	uint32_t ref;	     /* reference of that task, or of the peer */
	uint32_t link;	     /* handle of the connection */
	uint64_t expires_ms; /* timeout at the requesting daemon */
	enum job_op job_op;
	struct msg_promise promise;
	char peer[MSG_NAME_MAX];
};

struct request_table {
	struct request *items;
	uint32_t size;
	uint32_t count; /* entries in use */
};

void request_table_free(struct request_table *table);
struct request request_from_msg(const struct msg *msg, const char *peer);
uint32_t request_open(struct request_table *table, const struct msg *msg,
		      const char *peer, uint32_t link, uint64_t now_ms);
struct request *request_find(struct request_table *table, uint32_t handle);
void request_close(struct request_table *table, struct request *request);
struct msg *request_failure(const struct request *request, enum err_kind kind,
			    const char *text);
enum msg_kind request_reply_kind(enum msg_kind kind);

#ifdef __cplusplus
}
#endif

#endif
