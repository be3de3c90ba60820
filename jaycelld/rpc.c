/*
 * Requests to the current holder, in this daemon or another. A request is
 * resent until it is answered or its deadline passes, also to a new holder:
 * every operation is idempotent.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "celld.h"

#define TICK_MS 20
/* Resend interval of a request without a response, also on the same link. */
#define RESEND_INTERVAL_MS 700
/* Retry delay while there is no connection or the holder is not ready. */
#define NOT_READY_RETRY_MS 40

struct rpc_request {
	uint32_t ref; /* 0: free */
	enum cd_op op;
	char text[CELL_NAME_MAX];
	struct buf blob;
	uint64_t created_ms;
	uint64_t deadline_ms;
	uint64_t send_ms; /* earliest time of the next attempt */
	/* Copies sent, except those that a holder returned unprocessed. */
	uint32_t outstanding;
	cd_done done;
	void *ctx;
};

struct rpc {
	struct celld *d;
	struct rpc_request **slots;
	uint32_t count;
	uint32_t pending;
	uint32_t generation;
	struct timer tick;
};

static void finish(struct rpc *rpc, struct rpc_request *r,
		   enum cd_status status, uint32_t number)
{
	cd_done done = r->done;
	void *ctx = r->ctx;

	buf_free(&r->blob);
	r->ref = 0;
	rpc->pending--;
	done(ctx, status, number);
}

static void dispatch(struct rpc *rpc, struct rpc_request *r, uint64_t now)
{
	struct celld *d = rpc->d;
	struct cd_origin self = { .ref = r->ref };

	r->send_ms = now + RESEND_INTERVAL_MS;
	r->outstanding++;
	if (d->holder && holder_ready(d->holder)) {
		holder_query(d->holder, &self, r->op, r->text, &r->blob);
		return;
	}
	if (!d->holder && links_holder_up(d->links) &&
	    links_send_query(d->links, r->ref, r->op, r->text, &r->blob))
		return;
	r->outstanding--;
	r->send_ms = now + NOT_READY_RETRY_MS;
}

/*
 * Returns the status to report for a response. A refusal holds only for the
 * copy of the request that it answers; another copy may still be executed.
 */
static enum cd_status confirmed_status(const struct rpc_request *r,
				       enum cd_status status)
{
	return status == CD_REFUSED && r->outstanding > 1 ? CD_UNKNOWN : status;
}

/* Returns the status of a request whose deadline has passed. */
static enum cd_status timeout_status(const struct rpc_request *r)
{
	switch (r->op) {
	case CD_OP_STATE:
	case CD_OP_PENDING:
		return CD_RETRY;
	default:
		return r->outstanding ? CD_UNKNOWN : CD_REFUSED;
	}
}

/*
 * Sends a request to the holder; @text and @blob are copied. @done is called
 * once. At @deadline_ms the status is CD_RETRY for a read-only request,
 * CD_REFUSED for a change that no holder can have started, and CD_UNKNOWN
 * otherwise.
 */
void rpc_call(struct rpc *rpc, enum cd_op op, const char *text,
	      const struct buf *blob, uint64_t deadline_ms, cd_done done,
	      void *ctx)
{
	struct rpc_request *r = NULL;
	uint32_t i = 0;

	while (i < rpc->count && rpc->slots[i]->ref)
		i++;
	if (i == rpc->count) {
		rpc->slots = xrealloc(rpc->slots, (rpc->count + 1) * sizeof(r));
		rpc->slots[rpc->count++] = xcalloc(1, sizeof(*r));
	}
	r = rpc->slots[i];
	*r = (struct rpc_request){ .op = op,
				   .created_ms = loop_now_ms(),
				   .deadline_ms = deadline_ms,
				   .done = done,
				   .ctx = ctx };
	rpc->generation = (rpc->generation + 1) & 0xffff;
	r->ref = rpc->generation << 16 | (i + 1);
	snprintf(r->text, sizeof(r->text), "%s", text);
	if (blob && blob->len)
		r->blob = buf_copy(blob->data, blob->len);
	rpc->pending++;
	dispatch(rpc, r, r->created_ms);
}

/* Handles the response to request @ref. Late responses are ignored. */
void rpc_reply(struct rpc *rpc, uint32_t ref, enum cd_status status,
	       uint32_t number)
{
	uint32_t at = (ref & 0xffff) - 1;
	struct rpc_request *r;

	if (!(ref & 0xffff) || at >= rpc->count)
		return;
	r = rpc->slots[at];
	if (r->ref != ref)
		return;
	if (status == CD_RETRY) {
		r->outstanding -= r->outstanding > 0;
		r->send_ms = loop_now_ms() + NOT_READY_RETRY_MS;
		return;
	}
	finish(rpc, r, confirmed_status(r, status), number);
}

/* Makes all pending requests due, to send them to the new holder. */
void rpc_holder_changed(struct rpc *rpc)
{
	uint64_t now = loop_now_ms();

	for (uint32_t i = 0; i < rpc->count; i++) {
		if (rpc->slots[i]->ref)
			rpc->slots[i]->send_ms = now;
	}
}

/* Resends requests that are due and times out those past their deadline. */
void rpc_tick(struct rpc *rpc, uint64_t now_ms)
{
	for (uint32_t i = 0; i < rpc->count; i++) {
		struct rpc_request *r = rpc->slots[i];

		if (!r->ref)
			continue;
		if (now_ms >= r->deadline_ms) {
			ev("ask-timeout",
			   "op=%u text=%s waited_ms=%llu "
			   "unsettled=%u linked=%d",
			   r->op, r->text,
			   (unsigned long long)(now_ms - r->created_ms),
			   r->outstanding, links_holder_up(rpc->d->links));
			finish(rpc, r, timeout_status(r), 0);
		} else if (now_ms >= r->send_ms) {
			dispatch(rpc, r, now_ms);
		}
	}
}

static void on_tick(struct timer *timer)
{
	struct rpc *rpc = timer->ctx;

	rpc_tick(rpc, loop_now_ms());
	timer_start(rpc->d->loop, &rpc->tick, TICK_MS);
}

/* Returns the number of pending requests. */
uint32_t rpc_pending(const struct rpc *rpc)
{
	return rpc->pending;
}

/* Returns a client without requests; it lives as long as the process. */
struct rpc *rpc_new(struct celld *d)
{
	struct rpc *rpc = xcalloc(1, sizeof(*rpc));

	rpc->d = d;
	rpc->tick = (struct timer){ .fn = on_tick, .ctx = rpc };
	timer_start(d->loop, &rpc->tick, TICK_MS);
	return rpc;
}
