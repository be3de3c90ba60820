#include "request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 0xffff
#define REQUEST_GROWTH 64

#define JOB_TIMEOUT_MS 10000
#define PROMISE_TIMEOUT_MS 1000
#define DEFAULT_TIMEOUT_MS 3000
/* The peer replies to a call by its deadline; time for that reply to arrive. */
#define CALL_MARGIN_MS 1000

/* Frees the entries and empties the table. */
void request_table_free(struct request_table *table)
{
	free(table->items);
	*table = (struct request_table){ 0 };
}

static struct request *find_free_slot(struct request_table *table)
{
	uint32_t size = table->size;

	for (uint32_t i = 0; i < size && table->count < size; i++) {
		if (!table->items[i].used)
			return &table->items[i];
	}
	if (size + REQUEST_GROWTH > REQUESTS_MAX)
		return NULL;
	table->size = size + REQUEST_GROWTH;
	table->items =
		xrealloc(table->items, table->size * sizeof(*table->items));
	memset(table->items + size, 0, REQUEST_GROWTH * sizeof(*table->items));
	return &table->items[size];
}

static uint64_t timeout_ms(const struct msg *msg)
{
	switch (msg->kind) {
	case MSG_JOB:
		return JOB_TIMEOUT_MS;
	case MSG_CALL:
		return (uint64_t)msg->call.deadline_ms + CALL_MARGIN_MS;
	case MSG_PROMISE:
		return PROMISE_TIMEOUT_MS;
	default:
		return DEFAULT_TIMEOUT_MS;
	}
}

/* Returns an entry for @msg, outside any table, with what a reply needs. */
struct request request_from_msg(const struct msg *msg, const char *peer)
{
	struct request r = { .kind = msg->kind,
			     .from = msg->from,
			     .ref = msg->ref };

	if (msg->kind == MSG_JOB)
		r.job_op = msg->job.op;
	if (msg->kind == MSG_PROMISE)
		r.promise = msg->promise;
	snprintf(r.peer, sizeof(r.peer), "%s", peer);
	return r;
}

/*
 * Adds the request @msg, which is sent to or came from the daemon @peer over
 * the connection @link. Returns its handle, or 0 when the table is full.
 */
uint32_t request_open(struct request_table *table, const struct msg *msg,
		      const char *peer, uint32_t link, uint64_t now_ms)
{
	struct request *r = find_free_slot(table);
	uint32_t generation;

	if (!r)
		return 0;
	generation = (r->generation + 1) & 0xffff;
	*r = request_from_msg(msg, peer);
	r->used = true;
	r->generation = generation;
	r->link = link;
	r->expires_ms = now_ms + timeout_ms(msg);
	table->count++;
	return r->generation << 16 | (uint32_t)(r - table->items + 1);
}

/* Returns the request with the handle @handle, or NULL if it was closed. */
struct request *request_find(struct request_table *table, uint32_t handle)
{
	uint32_t at = (handle & 0xffff) - 1;

	if (!(handle & 0xffff) || at >= table->size || !table->items[at].used ||
	    table->items[at].generation != handle >> 16)
		return NULL;
	return &table->items[at];
}

/* Frees the entry of @request, which invalidates its handle. */
void request_close(struct request_table *table, struct request *request)
{
	request->used = false;
	table->count--;
}

/*
 * Returns the kind of the reply to a request of @kind, or MSG_KIND_COUNT if
 * there is none.
 */
enum msg_kind request_reply_kind(enum msg_kind kind)
{
	switch (kind) {
	case MSG_JOB:
		return MSG_JOB_REPLY;
	case MSG_CALL:
		return MSG_CALL_REPLY;
	case MSG_PROMISE:
		return MSG_PROMISE_REPLY;
	case MSG_CAT_PULL:
		return MSG_CAT_STATE;
	case MSG_TIMELINE:
		return MSG_TIMELINE_REPLY;
	default:
		return MSG_KIND_COUNT;
	}
}

static void fill_job_failure(const struct request *r, struct msg *reply,
			     enum err_kind kind)
{
	/*
	 * The outcome is that of the job, not of this request. A status or
	 * cancel request that fails does not tell whether a job that was
	 * accepted earlier has run.
	 */
	bool submits = r->job_op == JOB_SUBMIT;

	if (r->job_op == JOB_STATUS && kind == ERR_LOST)
		kind = ERR_UNREACHABLE;
	reply->job_reply.err.kind = kind;
	reply->job_reply.outcome =
		submits ? err_outcome(kind) : OUTCOME_UNKNOWN;
}

/* Returns a new error reply to a request for which the peer sent none. */
struct msg *request_failure(const struct request *request, enum err_kind kind,
			    const char *text)
{
	struct msg *reply = msg_new(request_reply_kind(request->kind),
				    TASK_PEER, request->ref);

	switch (request->kind) {
	case MSG_JOB:
		err_set(&reply->job_reply.err, kind, "%s", text);
		fill_job_failure(request, reply, kind);
		break;
	case MSG_CALL:
		err_set(&reply->call_reply.err, kind, "%s", text);
		reply->call_reply.outcome = err_outcome(kind);
		break;
	case MSG_PROMISE:
		reply->promise = request->promise;
		reply->promise.granted = false;
		reply->promise.store_reachable = false;
		break;
	case MSG_CAT_PULL:
		snprintf(reply->cat.peer, sizeof(reply->cat.peer), "%s",
			 request->peer);
		break;
	default:
		snprintf(reply->peer.peer, sizeof(reply->peer.peer), "%s",
			 request->peer);
		break;
	}
	return reply;
}
