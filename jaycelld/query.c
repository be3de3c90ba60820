/* Questions to the holder: states, cancels and submissions for others. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "holder_int.h"

#define LOOKUP_TIMEOUT_MS 600

struct lookup {
	struct holder *h;
	struct cd_asker asker;
	enum cd_op op;
	char id[CELL_ID_MAX];
};

static void on_submitted(void *ctx, enum cd_answer answer, uint32_t number)
{
	struct lookup *l = ctx;
	struct celld *d = l->h->d;

	holder_call_returned(l->h);
	cd_answer(d, &l->asker, answer, number);
	free(l);
}

static void query_state(struct holder *h, const struct cd_asker *asker,
			const char *id);
static void query_cancel(struct holder *h, const struct cd_asker *asker,
			 const char *id);

static void on_lookup(void *ctx, const struct pf_reply *reply)
{
	struct lookup *l = ctx;
	struct holder *h = l->h;
	struct celld *d = h->d;

	if (!holder_call_returned(h) ||
	    (reply->status != PF_OK && reply->status != PF_MISSING)) {
		cd_answer(d, &l->asker, CD_RETRY, 0);
	} else {
		holder_take_jobs(h, reply);
		if (cell_state(h->cell, l->id) == CELL_JOB_UNKNOWN)
			cd_answer(d, &l->asker, CD_GONE, 0);
		else if (l->op == CD_OP_STATE)
			query_state(h, &l->asker, l->id);
		else
			query_cancel(h, &l->asker, l->id);
	}
	free(l);
}

/* An unknown job may have been stored by a daemon that is cut off since. */
static void lookup(struct holder *h, const struct cd_asker *asker,
		   enum cd_op op, const char *id)
{
	struct lookup *l = xcalloc(1, sizeof(*l));
	char key[sizeof(CD_JOB_PREFIX) + CELL_ID_MAX];

	l->h = h;
	l->asker = *asker;
	l->op = op;
	snprintf(l->id, sizeof(l->id), "%s", id);
	snprintf(key, sizeof(key), CD_JOB_PREFIX "%s", l->id);
	h->calls++;
	pf_get(h->d->store, key, LOOKUP_TIMEOUT_MS, on_lookup, l);
}

static void query_state(struct holder *h, const struct cd_asker *asker,
			const char *id)
{
	enum cell_job_state state = cell_state(h->cell, id);

	if (state == CELL_JOB_UNKNOWN)
		lookup(h, asker, CD_OP_STATE, id);
	else
		cd_answer(h->d, asker, CD_OK, state);
}

static void query_cancel(struct holder *h, const struct cd_asker *asker,
			 const char *id)
{
	uint64_t seq = cell_cancel(h->cell, id, loop_now_ms());

	if (seq == UINT64_MAX) {
		lookup(h, asker, CD_OP_CANCEL, id);
		return;
	}
	if (!seq) {
		cd_answer(h->d, asker, CD_OK, 0);
		return;
	}
	h->cancels = xrealloc(h->cancels,
			      (h->cancel_count + 1) * sizeof(*h->cancels));
	h->cancels[h->cancel_count++] =
		(struct cancel_waiter){ .seq = seq, .asker = *asker };
}

static void query_submit(struct holder *h, const struct cd_asker *asker,
			 const char *id, const struct buf *blob)
{
	struct lookup *l = xcalloc(1, sizeof(*l));

	l->h = h;
	l->asker = *asker;
	h->calls++;
	accept_job(h->d->acceptor, id, blob, false, loop_now_ms() + 2000,
		   on_submitted, l);
}

/* Answers a question of this or another daemon, now or later. */
void holder_query(struct holder *h, const struct cd_asker *asker, enum cd_op op,
		  const char *text, const struct buf *blob)
{
	/* A former holder must not answer from what it remembers. */
	if (h->phase != PHASE_READY ||
	    !terms_valid(h->d->terms, loop_now_ms())) {
		cd_answer(h->d, asker, CD_RETRY, 0);
		return;
	}
	switch (op) {
	case CD_OP_STATE:
		query_state(h, asker, text);
		break;
	case CD_OP_CANCEL:
		query_cancel(h, asker, text);
		break;
	case CD_OP_PENDING:
		cd_answer(h->d, asker, CD_OK, cell_pending(h->cell, text));
		break;
	case CD_OP_SUBMIT:
		query_submit(h, asker, text, blob);
		break;
	case CD_OPS:
		break;
	}
}
