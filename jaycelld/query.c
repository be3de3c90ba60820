/* Requests to the holder: job states, cancels and forwarded submissions. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "holder_int.h"

#define JOB_READ_TIMEOUT_MS 600
/* Time to store a job for a follower. */
#define SUBMIT_TIMEOUT_MS 2000

struct lookup {
	struct holder *h;
	struct cd_origin origin;
	enum cd_op op;
	char id[CELL_ID_MAX];
	uint64_t queued_ms;
	struct lookup *next; /* in the queue of the holder */
};

static void on_submitted(void *ctx, enum cd_status status, uint32_t number)
{
	struct lookup *l = ctx;
	struct celld *d = l->h->d;

	holder_end_call(l->h);
	cd_reply(d, &l->origin, status, number);
	free(l);
}

static void query_state(struct holder *h, const struct cd_origin *origin,
			const char *id);
static void query_cancel(struct holder *h, const struct cd_origin *origin,
			 const char *id);
static void cancel_absent(struct holder *h, const struct cd_origin *origin,
			  const char *id);

static void start_lookups(struct holder *h);

/* Answers for a job that neither the holder nor the store has. */
static void answer_absent(const struct lookup *l)
{
	struct holder *h = l->h;

	if (l->op == CD_OP_CANCEL)
		cancel_absent(h, &l->origin, l->id);
	else
		cd_reply(h->d, &l->origin, CD_GONE, 0);
}

static void on_lookup(void *ctx, const struct pf_reply *reply)
{
	struct lookup *l = ctx;
	struct holder *h = l->h;
	struct celld *d = h->d;

	h->lookups--;
	start_lookups(h);
	if (!holder_end_call(h) ||
	    (reply->status != PF_OK && reply->status != PF_MISSING)) {
		cd_reply(d, &l->origin, CD_RETRY, 0);
	} else {
		holder_add_jobs(h, reply);
		if (cell_get_job_state(h->cell, l->id) == CELL_JOB_UNKNOWN)
			answer_absent(l);
		else if (l->op == CD_OP_STATE)
			query_state(h, &l->origin, l->id);
		else
			query_cancel(h, &l->origin, l->id);
	}
	free(l);
}

/* Returns the first queued look-up that is not too late; refuses the others. */
static struct lookup *next_lookup(struct holder *h)
{
	uint64_t now = loop_now_ms();
	struct lookup *l;

	while ((l = h->lookup_first) != NULL) {
		h->lookup_first = l->next;
		if (!h->closed && terms_valid(h->d->terms, now) &&
		    now < l->queued_ms + JOB_READ_TIMEOUT_MS)
			return l;
		cd_reply(h->d, &l->origin, CD_RETRY, 0);
		/* The call that frees a slot is still in flight. */
		holder_end_call(h);
		free(l);
	}
	return NULL;
}

/*
 * Starts queued look-ups. Each takes a connection to the store, and callers may
 * ask for any number of jobs that do not exist.
 */
static void start_lookups(struct holder *h)
{
	uint32_t max = limits_of(&h->d->conf).store_lookups;
	char key[sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];
	struct lookup *l;

	/* A call that fails at once comes back here. */
	if (h->lookups_starting)
		return;
	h->lookups_starting = true;
	while (h->lookups < max && (l = next_lookup(h)) != NULL) {
		snprintf(key, sizeof(key), CD_JOB_PREFIX "%s", l->id);
		h->lookups++;
		pf_get(h->d->store, key, JOB_READ_TIMEOUT_MS, on_lookup, l);
	}
	h->lookups_starting = false;
}

/* Reads an unknown job from the store: its daemon may have been cut off. */
static void lookup(struct holder *h, const struct cd_origin *origin,
		   enum cd_op op, const char *id)
{
	struct lookup *l = xcalloc(1, sizeof(*l));

	l->h = h;
	l->origin = *origin;
	l->op = op;
	snprintf(l->id, sizeof(l->id), "%s", id);
	l->queued_ms = loop_now_ms();
	h->calls_in_flight++;
	if (h->lookup_first)
		h->lookup_last->next = l;
	else
		h->lookup_first = l;
	h->lookup_last = l;
	start_lookups(h);
}

static void query_state(struct holder *h, const struct cd_origin *origin,
			const char *id)
{
	enum cell_job_state state = cell_get_job_state(h->cell, id);

	if (cell_job_expired(h->cell, id))
		cd_reply(h->d, origin, CD_GONE, 0);
	else if (state == CELL_JOB_UNKNOWN)
		lookup(h, origin, CD_OP_STATE, id);
	else
		cd_reply(h->d, origin, CD_OK, state);
}

static void answer_when_durable(struct holder *h, uint64_t seq,
				const struct cd_origin *origin,
				enum cd_status status)
{
	h->cancels = xrealloc(h->cancels,
			      (h->cancel_count + 1) * sizeof(*h->cancels));
	h->cancels[h->cancel_count++] = (struct pending_cancel){
		.seq = seq, .origin = *origin, .status = status
	};
}

static void query_cancel(struct holder *h, const struct cd_origin *origin,
			 const char *id)
{
	uint64_t seq = cell_cancel(h->cell, id, loop_now_ms());

	if (cell_job_expired(h->cell, id)) {
		cd_reply(h->d, origin, CD_GONE, 0);
		return;
	}
	if (seq == UINT64_MAX) {
		lookup(h, origin, CD_OP_CANCEL, id);
		return;
	}
	if (!seq) {
		cd_reply(h->d, origin, CD_OK, 0);
		return;
	}
	answer_when_durable(h, seq, origin, CD_OK);
}

/*
 * Cancels a job that is not stored, as a write of it may be under way: what is
 * answered with CD_GONE must not run later.
 */
static void cancel_absent(struct holder *h, const struct cd_origin *origin,
			  const char *id)
{
	uint32_t wait_ms;
	uint64_t seq = cell_cancel_absent(h->cell, id, &wait_ms, loop_now_ms());

	if (seq) {
		answer_when_durable(h, seq, origin, CD_GONE);
		return;
	}
	ev("cancel-refused", "id=%s wait_ms=%u", id, wait_ms);
	cd_reply(h->d, origin, CD_REFUSED, wait_ms / 1000 + 1);
}

static void query_submit(struct holder *h, const struct cd_origin *origin,
			 const char *id, const struct buf *blob)
{
	struct lookup *l = xcalloc(1, sizeof(*l));

	l->h = h;
	l->origin = *origin;
	h->calls_in_flight++;
	accept_job(h->d->acceptor, id, blob, false,
		   loop_now_ms() + SUBMIT_TIMEOUT_MS, on_submitted, l);
}

/*
 * Handles a request of this daemon or a follower. The response goes to
 * cd_reply(), now or later.
 */
void holder_query(struct holder *h, const struct cd_origin *origin,
		  enum cd_op op, const char *text, const struct buf *blob)
{
	/* After its term, a holder must not respond from stale state. */
	if (h->phase != PHASE_READY ||
	    !terms_valid(h->d->terms, loop_now_ms())) {
		cd_reply(h->d, origin, CD_RETRY, 0);
		return;
	}
	switch (op) {
	case CD_OP_STATE:
		query_state(h, origin, text);
		break;
	case CD_OP_CANCEL:
		query_cancel(h, origin, text);
		break;
	case CD_OP_PENDING:
		cd_reply(h->d, origin, CD_OK, cell_pending_jobs(h->cell, text));
		break;
	case CD_OP_SUBMIT:
		query_submit(h, origin, text, blob);
		break;
	case CD_OPS:
		break;
	}
}
