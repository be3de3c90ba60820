/* The worker task: sends the scheduler's requests to workers over HTTP. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctr.h"
#include "env.h"
#include "log.h"

/*
 * Maximum age of a request when it is sent. Older ones are dropped: the process
 * has been paused, and a late renewal among them must not extend a lease.
 */
#define WORKER_STALE_MS 1000
#define WORKER_MAX_ANSWER (2U << 20) /* bytes of a listing */

struct worker_request {
	struct msg_worker worker;
	uint32_t ref;
	bool used;
};

struct worker_task {
	struct task task;
	struct env env;
	struct worker_request *requests;
	uint32_t count;
	ctr_id sent;
	ctr_id failed;
};

static uint32_t request_new(struct worker_task *w, const struct msg *msg)
{
	uint32_t i = 0;

	while (i < w->count && w->requests[i].used)
		i++;
	if (i == w->count) {
		w->count++;
		w->requests =
			xrealloc(w->requests, w->count * sizeof(*w->requests));
	}
	w->requests[i] = (struct worker_request){ .worker = msg->worker,
						  .ref = msg->ref,
						  .used = true };
	return i;
}

static enum worker_status response_status(const struct httpc_response *response)
{
	if (response->state == HTTPC_NOT_SENT)
		return WORKER_NOT_SENT;
	if (response->state == HTTPC_NO_RESPONSE)
		return WORKER_NO_RESPONSE;
	if (response->status >= 200 && response->status < 300)
		return WORKER_OK;
	/* After a gateway error or a handler crash the result is unknown. */
	return response->status < 500 ? WORKER_REFUSED : WORKER_NO_RESPONSE;
}

static void on_response(void *ctx, uint32_t ref,
			struct httpc_response *response)
{
	struct worker_task *w = ctx;
	struct worker_request *r = &w->requests[ref];
	struct msg *reply = msg_new(MSG_WORKER_REPLY, TASK_WORKER, r->ref);

	reply->worker_reply = (struct msg_worker_reply){
		.op = r->worker.op,
		.status = response_status(response),
		.http_status = response->status,
	};
	memcpy(reply->worker_reply.worker, r->worker.worker,
	       sizeof(reply->worker_reply.worker));
	memcpy(reply->worker_reply.lease, r->worker.lease,
	       sizeof(reply->worker_reply.lease));
	reply->body = buf_take(&response->body);
	if (reply->worker_reply.status != WORKER_OK) {
		ctr_add(w->failed, 1);
		log_debug("request failed worker=%s op=%d status=%d error=%s",
			  r->worker.worker, r->worker.op, response->status,
			  response->error ? response->error : "none");
	}
	r->used = false;
	bus_send(w->env.bus, TASK_SCHED, reply);
}

static void worker_send(struct worker_task *w, const struct msg *msg)
{
	const struct msg_worker *m = &msg->worker;
	struct buf path = { 0 };
	struct buf body = { 0 };
	struct httpc_request request = {
		.addr = m->addr,
		.method = "POST",
		.body = msg->body.data,
		.body_len = msg->body.len,
		.headers = "Content-Type: application/json\r\n",
		.timeout_ms = m->timeout_ms,
		.max_response_bytes = WORKER_MAX_ANSWER,
		.done = on_response,
		.ctx = w,
	};

	switch (m->op) {
	case WORKER_LEASE:
		request.method = "PUT";
		path = buf_fmt("/v1/leases/%s", m->lease);
		body = buf_fmt("{\"ttl_ms\":%u}", m->ttl_ms);
		request.body = body.data;
		request.body_len = body.len;
		break;
	case WORKER_START:
		path = buf_str("/v1/tasks");
		break;
	case WORKER_STOP:
		request.method = "DELETE";
		path = buf_fmt("/v1/tasks/%s", m->lease);
		break;
	case WORKER_THROTTLE:
		path = buf_fmt("/v1/tasks/%s/throttle", m->lease);
		break;
	case WORKER_SYNC:
		path = buf_str("/v1/sync");
		break;
	}
	request.path = path.data;
	request.ref = request_new(w, msg);
	ctr_add(w->sent, 1);
	httpc_send(w->env.httpc, &request);
	buf_free(&path);
	buf_free(&body);
}

/* Replies to a request that is too old to be sent. */
static void reply_not_sent(struct worker_task *w, const struct msg *msg)
{
	struct msg *reply = msg_new(MSG_WORKER_REPLY, TASK_WORKER, msg->ref);

	reply->worker_reply.op = msg->worker.op;
	reply->worker_reply.status = WORKER_NOT_SENT;
	memcpy(reply->worker_reply.worker, msg->worker.worker,
	       sizeof(reply->worker_reply.worker));
	memcpy(reply->worker_reply.lease, msg->worker.lease,
	       sizeof(reply->worker_reply.lease));
	ctr_add(w->failed, 1);
	bus_send(w->env.bus, msg->from, reply);
}

static void worker_handle(struct task *task, struct msg *msg)
{
	struct worker_task *w = (struct worker_task *)task;

	if (msg->kind != MSG_WORKER)
		return;
	if (loop_now_ms() - msg->worker.decided_ms > WORKER_STALE_MS)
		reply_not_sent(w, msg);
	else
		worker_send(w, msg);
}

static const struct task_ops worker_ops = {
	.name = "worker",
	.handle = worker_handle,
};

/* Creates the worker task. It opens connections when requests arrive. */
struct task *worker_new(const struct env *env, struct err *err)
{
	struct worker_task *w = xcalloc(1, sizeof(*w));

	(void)err;
	w->task.ops = &worker_ops;
	w->env = *env;
	w->sent = ctr_counter("jayspoke_worker_requests_total",
			      "Requests to workers.");
	w->failed = ctr_counter("jayspoke_worker_failures_total",
				"Requests to workers that were not answered "
				"with success.");
	bus_register(env->bus, TASK_WORKER, &w->task);
	return &w->task;
}
